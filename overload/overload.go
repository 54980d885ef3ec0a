// Package overload tells how far a controller is beyond what it can do. It has no clock: times, since the process began, come in.
package overload

import "time"

// Level is how far. What is done at which is decided where it is done; docs/operations/overload.md has the whole order.
type Level int

// The levels.
const (
	Calm  Level = iota
	Busy        // what can wait waits
	Over        // what is new is refused, with an honest time to come back
	count = iota
)

func (l Level) String() string { return [count]string{"calm", "busy", "over"}[l] }

// Signs are what it is known by.
type Signs struct {
	Late    time.Duration // what came in last had waited for so long when it was decided
	Queue   float64       // part of the queue of what came in that is in use
	Sockets float64       // part of the connections that may be open which are
	Backlog time.Duration // that writing what waits to be written would take
}

// enter are the least signs of each level but the first. One is enough.
var enter = [count]Signs{Busy: {100 * time.Millisecond, 0.25, 0.85, 4 * time.Second}, Over: {600 * time.Millisecond, 0.6, 0.98, 15 * time.Second}}

const (
	leave = 0.5             // of all signs of a level, under which it can be left
	stay  = 3 * time.Second // for which they must have been
)

// State is a controller's level. The zero value is calm.
type State struct {
	level Level
	since time.Duration // when a sign of the level was last there
	Signs Signs         // as of the last look
}

// Level is the present one.
func (s *State) Level() Level { return s.level }

// Look takes the signs as they are, and reports whether the level has changed. A level is entered at once, and left for the next
// lower when its signs have been gone for a while.
func (s *State) Look(now time.Duration, x Signs) (changed bool) {
	s.Signs = x
	for l := Over; l > s.level; l-- {
		if x.reach(enter[l], 1) {
			s.level, s.since = l, now
			return true
		}
	}
	if s.level == Calm {
		return false
	}
	if x.reach(enter[s.level], leave) {
		s.since = now
		return false
	}
	if now-s.since < stay {
		return false
	}
	s.level--
	s.since = now
	return true
}

// reach reports whether one of the signs is at a part of what it is compared with.
func (x Signs) reach(o Signs, part float64) bool {
	return float64(x.Late) >= part*float64(o.Late) || x.Queue >= part*o.Queue || x.Sockets >= part*o.Sockets ||
		float64(x.Backlog) >= part*float64(o.Backlog)
}
