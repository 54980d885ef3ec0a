// Package overload computes how overloaded a controller is from signals that the caller measures. It has no
// clock: times are parameters, measured since the start of the process. Callers decide what to shed at each
// level.
package overload

import "time"

// Level is how overloaded a controller is. docs/operations/overload.md lists what is shed at each level.
type Level int

// The overload levels, in increasing order.
const (
	Normal     Level = iota
	Busy             // deferrable work is deferred
	Overloaded       // new work is rejected with a retry delay
	levelCount = iota
)

// String returns the level's name as logged.
func (l Level) String() string { return [levelCount]string{"calm", "busy", "over"}[l] }

// ScaleInterval returns the interval of deferrable work at this level. The interval doubles with each level.
func (l Level) ScaleInterval(interval time.Duration) time.Duration { return interval << l }

// Signals are the measurements that determine the level.
type Signals struct {
	QueueDelay      time.Duration // how long the latest input waited before it was handled
	QueueUsage      float64       // share of the input queue in use
	ConnectionUsage float64       // share of the inbound connections in use
	WriteBacklog    time.Duration // how long the pending writes will take
}

// enterThresholds are the signals at which each level except Normal is entered. One signal is sufficient.
var enterThresholds = [levelCount]Signals{
	Busy:       {100 * time.Millisecond, 0.25, 0.85, 4 * time.Second},
	Overloaded: {600 * time.Millisecond, 0.6, 0.98, 15 * time.Second},
}

const (
	// leaveFactor is the share of a level's thresholds below which all signals must be to leave the level.
	leaveFactor = 0.5
	// leaveDelay is how long all signals must stay below that share.
	leaveDelay = 3 * time.Second
)

// State tracks a controller's overload level. The zero value is at level Normal.
type State struct {
	level        Level
	lastSignalAt time.Duration // when a signal last prevented leaving the level
	Signals      Signals       // signals of the last update
}

// Level returns the current level.
func (s *State) Level() Level { return s.level }

// Update evaluates signals and reports whether the level has changed. A level is entered immediately. It is
// left for the next lower one only after all signals have been low for leaveDelay, to prevent oscillation.
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

// anyReaches reports whether any signal is at least the given share of its threshold.
func (s Signals) anyReaches(threshold Signals, share float64) bool {
	return float64(s.QueueDelay) >= share*float64(threshold.QueueDelay) ||
		s.QueueUsage >= share*threshold.QueueUsage ||
		s.ConnectionUsage >= share*threshold.ConnectionUsage ||
		float64(s.WriteBacklog) >= share*float64(threshold.WriteBacklog)
}
