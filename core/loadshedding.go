package core

import (
	"dewlift/overload"
	"math"
	"time"
)

// handleLoadSample works out the level of overload from how the process stands.
func (c *Core) handleLoadSample(in LoadSample) {
	signs := overload.Signals{
		QueueDelay:      in.MaxLoopDelay,
		QueueUsage:      in.InputQueueUsage,
		ConnectionUsage: in.ConnectionUsage,
		WriteBacklog:    c.estimateWriteTime(c.transactions.backlog),
	}
	if c.overload.Update(c.now, signs) {
		c.log(
			LevelInfo,
			"load",
			"level",
			c.overload.Level().String(),
			"late_ms",
			in.MaxLoopDelay.Milliseconds(),
			"queue",
			in.InputQueueUsage,
			"sockets",
			in.ConnectionUsage,
			"backlog_ms",
			signs.WriteBacklog.Milliseconds(),
		)
	}
}

// estimateWriteTime is how long so many changes take this controller.
func (c *Core) estimateWriteTime(changes int) time.Duration {
	return time.Duration(float64(changes) / max(1, c.transactions.rateLimit.WriteRate) * float64(time.Second))
}

// stretchUnderLoad is an interval of work that can wait: the longer, the more there is to do.
func (c *Core) stretchUnderLoad(d time.Duration) time.Duration { return d << c.overload.Level() }

// planInterval is the time between two plans of the leader.
func (c *Core) planInterval() time.Duration {
	if c.overload.Level() == overload.Overloaded {
		return time.Second
	}
	return 500 * time.Millisecond
}

// maxPendingSubmissions is how many submissions may wait for their write: what is written until
// they would be refused. Beyond what it can do, a controller counts on its own share of the changes
// alone.
func (c *Core) maxPendingSubmissions() int {
	rate := c.storeWriteRate()
	if c.overload.Level() == overload.Overloaded {
		rate = min(rate, c.transactions.rateLimit.WriteRate)
	}
	return max(8, int(rate*c.cfg.Scheduling.SubmitWriteTimeout.Seconds()))
}

// retryAfterSeconds is when somebody who was refused for too much work should come back, in
// seconds: when what waits now is written, and not all at the same moment.
func (c *Core) retryAfterSeconds() int {
	s := c.estimateWriteTime(c.pendingSubmissions).Seconds()
	return int(min(maxRetryAfterSeconds, max(1, math.Ceil(s*(1+c.rng.Float64())))))
}

const maxRetryAfterSeconds = 30 // seconds that users wait at most, whatever they are told
