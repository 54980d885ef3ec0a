package core

import (
	"math"
	"time"

	"dewlift/overload"
)

// strain works out the level of overload from how the process stands.
func (c *Core) strain(in Strain) {
	signs := overload.Signals{QueueDelay: in.Late, QueueUsage: in.Queue, ConnectionUsage: in.Sockets, WriteBacklog: c.toWrite(c.transactions.backlog)}
	if c.load.Update(c.now, signs) {
		c.note("info", "load", "level", c.load.Level().String(), "late_ms", in.Late.Milliseconds(), "queue", in.Queue, "sockets", in.Sockets,
			"backlog_ms", signs.WriteBacklog.Milliseconds())
	}
}

// toWrite is how long so many changes take this controller.
func (c *Core) toWrite(changes int) time.Duration {
	return time.Duration(float64(changes) / max(1, c.transactions.rateLimit.WriteRate) * float64(time.Second))
}

// eased is an interval of work that can wait: the longer, the more there is to do.
func (c *Core) eased(d time.Duration) time.Duration { return d << c.load.Level() }

// planGap is the time between two plans of the leader.
func (c *Core) planGap() time.Duration {
	if c.load.Level() == overload.Overloaded {
		return time.Second
	}
	return 500 * time.Millisecond
}

// acceptMost is how many submissions may wait for their write: what is written until they would be refused. Beyond what it can do, a
// controller counts on its own share of the changes alone.
func (c *Core) acceptMost() int {
	rate := c.writeRPS()
	if c.load.Level() == overload.Overloaded {
		rate = min(rate, c.transactions.rateLimit.WriteRate)
	}
	return max(8, int(rate*c.cfg.AcceptWait.Seconds()))
}

// comeBack is when somebody who was refused for too much work should come back, in seconds: when what waits now is written, and not all
// at the same moment.
func (c *Core) comeBack() int {
	s := c.toWrite(c.accepting).Seconds()
	return int(min(longestBack, max(1, math.Ceil(s*(1+c.rng.Float64())))))
}

const longestBack = 30 // seconds that users wait at most, whatever they are told
