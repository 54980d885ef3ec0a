package core

import "time"

// minLogInterval is the least time between two log lines of an event that may occur many times per second. The events
// in between are counted.
const minLogInterval = time.Second

// logLimiter limits the log lines of one kind of event.
type logLimiter struct {
	nextAt     time.Duration
	suppressed int // events since the last line
}

// allow reports whether an event at time now is logged, and how many events before it were not.
func (l *logLimiter) allow(now time.Duration) (suppressed int, ok bool) {
	if now < l.nextAt {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	*l = logLimiter{nextAt: now + minLogInterval}
	return suppressed, true
}
