// Package allocation decides how much of a machine is allocated, as the leader counts it. A task is known by two
// paths: by the allocation deltas of its start and its finish, which are quick but may be lost, and by its committed
// record, which is certain but later. Each task is counted once, whichever comes first.
//
// A heartbeat with the end of a task does not count here: controllers apply the delta of the end on top of the rows
// that the leader pushes, until those are known to contain it. (Rows were once seeded anew from records and heartbeats
// when a machine had been quiet for a time. Under load, deltas and records came later than that, tasks were counted
// twice or not at all, and up to a third of all starts were refused.)
//
// A Tracker owns the pending deltas of one machine. It has no clock, does no I/O and is not safe for concurrent use;
// times are durations since the start of the process.
package allocation

import (
	"time"

	"dewlift/clusterstate"
)

const (
	// deltaTTL is how long a delta counts whose task is not observed: the delta of its finish, or the finish of
	// a write that failed, may be lost.
	deltaTTL = 10 * time.Second
	// keylessDeltaTTL is the same for a delta without a key, which nothing else can settle.
	keylessDeltaTTL = 2500 * time.Millisecond
)

// ObservedTask is a task that a record assigns to the machine, or that the machine runs without one.
type ObservedTask struct {
	AttemptKey uint64 // of the task's attempt, as in its deltas
	Request    clusterstate.Resources
}

// pendingDelta is a delta that counts until its task is observed or it expires.
type pendingDelta struct {
	request    clusterstate.Resources
	receivedAt time.Duration
}

// Tracker counts the allocated resources of one machine. The zero value has no pending deltas.
type Tracker struct {
	pendingStarts map[uint64]pendingDelta  // starts of tasks that have not been observed, by key
	recentEnds    map[uint64]time.Duration // finishes of tasks that may still be observed, by key
	keylessDeltas []pendingDelta           // deltas without a key; a finish has a negative request
}

// RecordDelta records the start or the finish of a task. Key 0 is from a version of the controller without keys.
func (t *Tracker) RecordDelta(now time.Duration, start bool, key uint64, request clusterstate.Resources) {
	switch {
	case key == 0 && start:
		t.keylessDeltas = append(t.keylessDeltas, pendingDelta{request, now})
	case key == 0:
		t.keylessDeltas = append(t.keylessDeltas, pendingDelta{clusterstate.Resources{}.AddScaled(request, -1), now})
	case start:
		delete(t.recentEnds, key) // a write that failed is tried again under the same attempt
		if t.pendingStarts == nil {
			t.pendingStarts = map[uint64]pendingDelta{}
		}
		t.pendingStarts[key] = pendingDelta{request, now}
	default:
		delete(t.pendingStarts, key)
		if t.recentEnds == nil {
			t.recentEnds = map[uint64]time.Duration{}
		}
		t.recentEnds[key] = now
	}
}

// HasPending reports whether there are deltas that count, or that hide an observed task.
func (t *Tracker) HasPending() bool {
	return len(t.pendingStarts)+len(t.recentEnds)+len(t.keylessDeltas) > 0
}

// Allocated returns the resources of the observed tasks that have not finished, and of the tasks that only a delta has
// started. It drops the deltas that are settled by the observed tasks or have expired.
func (t *Tracker) Allocated(now time.Duration, observed []ObservedTask) clusterstate.Resources {
	allocated := t.countObserved(now, observed)
	for key, start := range t.pendingStarts {
		if now-start.receivedAt > deltaTTL {
			delete(t.pendingStarts, key)
			continue
		}
		allocated = allocated.AddScaled(start.request, 1)
	}
	for key, endedAt := range t.recentEnds {
		if now-endedAt > deltaTTL {
			delete(t.recentEnds, key)
		}
	}
	remaining := t.keylessDeltas[:0]
	for _, delta := range t.keylessDeltas {
		if now-delta.receivedAt <= keylessDeltaTTL {
			allocated = allocated.AddScaled(delta.request, 1)
			remaining = append(remaining, delta)
		}
	}
	t.keylessDeltas = remaining
	return allocated
}

// countObserved sums the requests of the observed tasks without a finish. A finish stays recorded for as long as its
// task is observed, and the TTL beyond.
func (t *Tracker) countObserved(now time.Duration, observed []ObservedTask) clusterstate.Resources {
	var allocated clusterstate.Resources
	for _, task := range observed {
		delete(t.pendingStarts, task.AttemptKey)
		if _, ended := t.recentEnds[task.AttemptKey]; ended {
			t.recentEnds[task.AttemptKey] = now
		} else {
			allocated = allocated.AddScaled(task.Request, 1)
		}
	}
	return allocated
}
