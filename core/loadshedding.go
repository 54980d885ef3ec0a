package core

import (
	"math"
	"time"

	"dewlift/overload"
)

const (
	normalPlanInterval     = 500 * time.Millisecond // between two plans of the leader
	overloadedPlanInterval = time.Second

	minPendingSubmissions = 8  // submissions that may wait for their write whatever the rate
	maxRetryAfterSeconds  = 30 // longest retry time that a client is given
)

// handleLoadSample updates the load level from the state of the process and the write backlog.
func (c *Core) handleLoadSample(in LoadSample) {
	signals := overload.Signals{
		QueueDelay:      in.MaxLoopDelay,
		QueueUsage:      in.InputQueueUsage,
		ConnectionUsage: in.ConnectionUsage,
		WriteBacklog:    estimateWriteTime(c.transactions.backlog, c.transactions.rateLimit.WriteRate),
	}
	if c.overload.Update(c.now, signals) {
		c.log(LevelInfo, "load level changed", "level", c.overload.Level().String(),
			"late_ms", in.MaxLoopDelay.Milliseconds(), "queue", in.InputQueueUsage,
			"sockets", in.ConnectionUsage, "backlog_ms", signals.WriteBacklog.Milliseconds())
	}
}

// estimateWriteTime is how long a number of writes takes a controller at its rate, in writes a second.
func estimateWriteTime(writes int, rate float64) time.Duration {
	return time.Duration(float64(writes) / max(1, rate) * float64(time.Second))
}

// planInterval is the time between two plans of the leader at a load level.
func planInterval(level overload.Level) time.Duration {
	if level == overload.Overloaded {
		return overloadedPlanInterval
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
	writeSeconds := estimateWriteTime(c.pendingSubmissions, c.transactions.rateLimit.WriteRate).Seconds()
	return int(min(maxRetryAfterSeconds, max(1, math.Ceil(writeSeconds*(1+c.rng.Float64())))))
}
