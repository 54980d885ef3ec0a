package core

import (
	"dewlift/overload"
	"math"
	"time"
)

const (
	normalPlanInterval     = 500 * time.Millisecond // between two plans of the leader
	planIntervalOverloaded = time.Second

	minPendingSubmissions = 8  // submissions that may wait for their write whatever the rate
	maxRetryAfterSeconds  = 30 // longest retry time that a client is given
)

// handleLoadSample updates the load level from the state of the process and the write backlog.
func (c *Core) handleLoadSample(in LoadSample) {
	signals := overload.Signals{
		QueueDelay:      in.MaxLoopDelay,
		QueueUsage:      in.InputQueueUsage,
		ConnectionUsage: in.ConnectionUsage,
		WriteBacklog:    c.estimateWriteTime(c.transactions.backlog),
	}
	if c.overload.Update(c.now, signals) {
		c.log(LevelInfo, "load level changed", "level", c.overload.Level().String(),
			"late_ms", in.MaxLoopDelay.Milliseconds(), "queue", in.InputQueueUsage,
			"sockets", in.ConnectionUsage, "backlog_ms", signals.WriteBacklog.Milliseconds())
	}
}

// estimateWriteTime is how long a number of writes takes this controller at its own rate.
func (c *Core) estimateWriteTime(writes int) time.Duration {
	return time.Duration(float64(writes) / max(1, c.transactions.rateLimit.WriteRate) * float64(time.Second))
}

// stretchUnderLoad lengthens the interval of deferrable work: it doubles with each load level.
func (c *Core) stretchUnderLoad(interval time.Duration) time.Duration {
	return interval << c.overload.Level()
}

// planInterval is the time between two plans of the leader.
func (c *Core) planInterval() time.Duration {
	if c.overload.Level() == overload.Overloaded {
		return planIntervalOverloaded
	}
	return normalPlanInterval
}

// maxPendingSubmissions is how many submissions may wait for their write: those that are written before
// they time out. An overloaded controller relies only on its own share of the write rate.
func (c *Core) maxPendingSubmissions() int {
	rate := c.schema.storeWriteRate()
	if c.overload.Level() == overload.Overloaded {
		rate = min(rate, c.transactions.rateLimit.WriteRate)
	}
	return max(minPendingSubmissions, int(rate*c.cfg.Scheduling.SubmitWriteTimeout.Seconds()))
}

// retryAfterSeconds is when a client whose request was shed should retry: once the pending submissions
// are written, with as much jitter, so that clients don't retry all at once.
func (c *Core) retryAfterSeconds() int {
	writeSeconds := c.estimateWriteTime(c.pendingSubmissions).Seconds()
	return int(min(maxRetryAfterSeconds, max(1, math.Ceil(writeSeconds*(1+c.rng.Float64())))))
}
