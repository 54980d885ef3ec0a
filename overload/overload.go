// Package overload decides how overloaded a controller is, from signals that it is given. It has no clock:
// times are since the start of the process and come as parameters. What is shed at each level is decided
// by its callers.
package overload

import "time"

// Level is how overloaded a controller is. docs/operations/overload.md lists what is shed at each level.
type Level int

// The levels, in rising order.
const (
	Normal     Level = iota
	Busy             // work that can be deferred is
	Overloaded       // new work is refused, with the time after which to try again
	levelCount = iota
)

// String returns the level's name in the log.
func (l Level) String() string { return [levelCount]string{"calm", "busy", "over"}[l] }

// ScaleInterval lengthens the interval of work that can be deferred: it doubles with each level.
func (l Level) ScaleInterval(interval time.Duration) time.Duration { return interval << l }

// Signals are the measurements that a level is decided by.
type Signals struct {
	QueueDelay      time.Duration // how long the latest input had waited when it was handled
	QueueUsage      float64       // share of the input queue in use
	ConnectionUsage float64       // share of the inbound connections in use
	WriteBacklog    time.Duration // how long the pending writes would take
}

// enterThresholds are the signals that enter each level but the first; any one is enough.
var enterThresholds = [levelCount]Signals{
	Busy:       {100 * time.Millisecond, 0.25, 0.85, 4 * time.Second},
	Overloaded: {600 * time.Millisecond, 0.6, 0.98, 15 * time.Second},
}

const (
	// leaveFactor is the share of a level's thresholds that all signals must be below to leave it.
	leaveFactor = 0.5
	// leaveDelay is how long they must have been.
	leaveDelay = 3 * time.Second
)

// State is a controller's level. The zero value is Normal.
type State struct {
	level        Level
	lastSignalAt time.Duration // when a signal last kept the level
	Signals      Signals       // of the last update
}

// Level returns the present level.
func (s *State) Level() Level { return s.level }

// Update evaluates signals and reports whether the level has changed. A level is entered at once, and left
// for the next lower one after its signals have been gone for leaveDelay, so that it does not oscillate.
func (s *State) Update(now time.Duration, signals Signals) (changed bool) {
	s.Signals = signals
	for level := Overloaded; level > s.level; level-- {
		if signals.anyReaches(enterThresholds[level], 1) {
			s.level, s.lastSignalAt = level, now
			return true
		}
	}
	if s.level == Normal {
		return false
	}
	if signals.anyReaches(enterThresholds[s.level], leaveFactor) {
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

// anyReaches reports whether one of the signals is at least a share of its threshold.
func (s Signals) anyReaches(threshold Signals, share float64) bool {
	return float64(s.QueueDelay) >= share*float64(threshold.QueueDelay) ||
		s.QueueUsage >= share*threshold.QueueUsage ||
		s.ConnectionUsage >= share*threshold.ConnectionUsage ||
		float64(s.WriteBacklog) >= share*float64(threshold.WriteBacklog)
}
