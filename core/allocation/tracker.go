// Package allocation keeps the room taken on one machine right, at the leader, while the news of a
// task come by two ways: its start and finish tuples, which are quick, and its record, which shows
// for certain, but later. Each task is counted once, whichever comes first. That a machine reports
// an end does not count: the copies of the array count the tuple of it on top of the rows that they
// are sent, until those are known to show it. (Rows were seeded anew from records and reports once
// a machine was quiet for a time; under load, tuples and records came later than that, tasks were
// counted twice or not at all, and up to a third of all starts were refused.)
//
// It has no clock: times, since the process began, come in.
package allocation

import (
	"dewlift/clusterstate"
	"time"
)

const (
	// that a tuple counts without its task being seen: it may be lost, or its end
	deltaTTL        = 10 * time.Second
	keylessDeltaTTL = 2500 * time.Millisecond // the same of one that does not say which task it is of
)

// ObservedTask is a task that a record assigns to the machine, or that the machine runs without one.
type ObservedTask struct {
	AttemptKey uint64 // of the task and the attempt
	Request    clusterstate.Resources
}

type pendingDelta struct {
	request    clusterstate.Resources
	receivedAt time.Duration
}

// Tracker is a machine's. The zero value has no tuples.
type Tracker struct {
	pendingStarts map[uint64]pendingDelta  // of tasks that were not seen yet
	recentEnds    map[uint64]time.Duration // of tasks that may be seen still
	keylessDeltas []pendingDelta           // without keys; a finish has a negative claim
}

// RecordDelta notes a tuple. Those of the version before have no key, 0.
func (a *Tracker) RecordDelta(now time.Duration, start bool, key uint64, claim clusterstate.Resources) {
	switch {
	case key == 0 && start:
		a.keylessDeltas = append(a.keylessDeltas, pendingDelta{claim, now})
	case key == 0:
		a.keylessDeltas = append(a.keylessDeltas, pendingDelta{clusterstate.Resources{}.AddScaled(claim, -1), now})
	case start:
		delete(a.recentEnds, key) // a write that failed is tried again, with the same number
		if a.pendingStarts == nil {
			a.pendingStarts = map[uint64]pendingDelta{}
		}
		a.pendingStarts[key] = pendingDelta{claim, now}
	default:
		delete(a.pendingStarts, key)
		if a.recentEnds == nil {
			a.recentEnds = map[uint64]time.Duration{}
		}
		a.recentEnds[key] = now
	}
}

// HasPending reports whether there are tuples that count, or may.
func (a *Tracker) HasPending() bool {
	return len(a.pendingStarts)+len(a.recentEnds)+len(a.keylessDeltas) > 0
}

// Allocated is the room that tasks take: those seen, and those whose start only a tuple told.
func (a *Tracker) Allocated(now time.Duration, seen []ObservedTask) clusterstate.Resources {
	var v clusterstate.Resources
	for _, s := range seen {
		delete(a.pendingStarts, s.AttemptKey)
		if _, over := a.recentEnds[s.AttemptKey]; over {
			a.recentEnds[s.AttemptKey] = now // until it is seen no more
		} else {
			v = v.AddScaled(s.Request, 1)
		}
	}
	for k, t := range a.pendingStarts {
		if now-t.receivedAt > deltaTTL {
			delete(a.pendingStarts, k)
			continue
		}
		v = v.AddScaled(t.request, 1)
	}
	for k, at := range a.recentEnds {
		if now-at > deltaTTL {
			delete(a.recentEnds, k)
		}
	}
	left := a.keylessDeltas[:0]
	for _, t := range a.keylessDeltas {
		if now-t.receivedAt <= keylessDeltaTTL {
			v = v.AddScaled(t.request, 1)
			left = append(left, t)
		}
	}
	a.keylessDeltas = left
	return v
}
