// Package overload tells how far a controller is beyond what it can do. It has no clock: times,
// since the process began, come in.
package overload

import "time"

// Level is how far. What is done at which is decided where it is done; docs/operations/overload.md has the whole order.
type Level int

// The levels.
const (
	Normal     Level = iota
	Busy             // what can wait waits
	Overloaded       // what is new is refused, with an honest time to come back
	levelCount = iota
)

func (l Level) String() string { return [levelCount]string{"calm", "busy", "over"}[l] }

// Signals are what it is known by.
type Signals struct {
	QueueDelay      time.Duration // what came in last had waited for so long when it was decided
	QueueUsage      float64       // part of the queue of what came in that is in use
	ConnectionUsage float64       // part of the connections that may be open which are
	WriteBacklog    time.Duration // that writing what waits to be written would take
}

// enterThresholds are the least signs of each level but the first. One is enough.
var enterThresholds = [levelCount]Signals{
	Busy:       {100 * time.Millisecond, 0.25, 0.85, 4 * time.Second},
	Overloaded: {600 * time.Millisecond, 0.6, 0.98, 15 * time.Second},
}

const (
	leaveFactor = 0.5             // of all signs of a level, under which it can be left
	leaveDelay  = 3 * time.Second // for which they must have been
)

// State is a controller's level. The zero value is calm.
type State struct {
	level        Level
	lastSignalAt time.Duration // when a sign of the level was last there
	Signals      Signals       // as of the last look
}

// Level is the present one.
func (s *State) Level() Level { return s.level }

// Update takes the signs as they are, and reports whether the level has changed. A level is entered
// at once, and left for the next lower when its signs have been gone for a while.
func (s *State) Update(now time.Duration, x Signals) (changed bool) {
	s.Signals = x
	for l := Overloaded; l > s.level; l-- {
		if x.anyReaches(enterThresholds[l], 1) {
			s.level, s.lastSignalAt = l, now
			return true
		}
	}
	if s.level == Normal {
		return false
	}
	if x.anyReaches(enterThresholds[s.level], leaveFactor) {
		s.lastSignalAt = now
		return false
	}
	if now-s.lastSignalAt < leaveDelay {
		return false
	}
	s.level--
	s.lastSignalAt = now
	return true
}

// anyReaches reports whether one of the signs is at a part of what it is compared with.
func (x Signals) anyReaches(o Signals, part float64) bool {
	return float64(x.QueueDelay) >= part*float64(o.QueueDelay) || x.QueueUsage >= part*o.QueueUsage ||
		x.ConnectionUsage >= part*o.ConnectionUsage ||
		float64(x.WriteBacklog) >= part*float64(o.WriteBacklog)
}
