package core

import (
	"math"
	"time"

	"dewlift/overload"
)

const (
	normalPlanInterval     = 500 * time.Millisecond // time between two scaling plans of the leader
	overloadedPlanInterval = time.Second

	minPendingSubmissions = 8  // submissions that may wait for their write however low the rate is
	maxRetryAfterSeconds  = 30 // upper limit of the Retry-After that a client gets
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

// estimateWriteTime returns how long a controller needs for a number of writes at a rate in writes per second.
func estimateWriteTime(writes int, rate float64) time.Duration {
	return time.Duration(float64(writes) / max(1, rate) * float64(time.Second))
}

// planInterval returns the time between two scaling plans of the leader at a load level.
func planInterval(level overload.Level) time.Duration {
	if level == overload.Overloaded {
		return overloadedPlanInterval
	}
	return normalPlanInterval
}

// maxPendingSubmissions returns how many submissions may wait for their write, so that all of them can be
// written before they time out. An overloaded controller counts only on its own share of the write rate.
func (c *Core) maxPendingSubmissions() int {
	rate := c.schema.storeWriteRate()
	if c.overload.Level() == overload.Overloaded {
		rate = min(rate, c.transactions.rateLimit.WriteRate)
	}
	return max(minPendingSubmissions, int(rate*c.cfg.Scheduling.SubmitWriteTimeout.Seconds()))
}

// retryAfterSeconds returns after how many seconds a client whose request was shed should retry: the time in
// which the pending submissions are written, with a jitter of up to the same time, so that clients don't
// retry all at once.
func (c *Core) retryAfterSeconds() int {
	writeSeconds := estimateWriteTime(c.pendingSubmissions, c.transactions.rateLimit.WriteRate).Seconds()
	return int(min(maxRetryAfterSeconds, max(1, math.Ceil(writeSeconds*(1+c.rng.Float64())))))
}
