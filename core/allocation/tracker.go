// Package allocation computes the leader's view of how many resources of a machine are allocated. The leader learns of
// a task in two ways: from the allocation deltas of its start and finish, which are fast but may be lost, and from its
// committed record, which is reliable but arrives later. Each task is counted once, whichever arrives first.
//
// The end of a task in a heartbeat is not counted here: controllers apply the delta of the end to the rows that the
// leader pushes until a push acknowledges it. An earlier version reset a machine's row from records and heartbeats when
// no delta had arrived for some time. Under load, deltas and records arrived later than that, tasks were counted twice
// or not at all, and up to a third of all starts were refused.
//
// A Tracker owns the pending deltas of one machine. It has no clock, does no I/O and is not safe for concurrent use.
// Times are durations since the start of the process.
package allocation

import (
	"time"

	"dewlift/clusterstate"
)

const (
	// deltaTTL is how long a delta counts without its task being observed. It is needed because the delta of the
	// task's finish, or the finish that follows a failed write, may be lost.
	deltaTTL = 10 * time.Second
	// keylessDeltaTTL is how long a delta without a key counts. No other event can settle such a delta.
	keylessDeltaTTL = 2500 * time.Millisecond
)

// ObservedTask is a task that a record assigns to the machine, or that the machine runs without a record.
type ObservedTask struct {
	AttemptKey uint64 // key of the task's attempt, as in its deltas
	Request    clusterstate.Resources
}

// pendingDelta is a delta that counts until its task is observed or it expires.
type pendingDelta struct {
	request    clusterstate.Resources
	receivedAt time.Duration
}

// Tracker tracks the allocated resources of one machine. The zero value has no pending deltas.
type Tracker struct {
	pendingStarts map[uint64]pendingDelta  // starts of tasks that have not been observed yet, by key
	recentEnds    map[uint64]time.Duration // finishes of tasks that may still be observed, by key
	keylessDeltas []pendingDelta           // deltas without a key; a finish has a negative request
}

// RecordDelta records the start or the finish of a task. Key 0 is sent by controller versions without keys.
func (t *Tracker) RecordDelta(now time.Duration, start bool, key uint64, request clusterstate.Resources) {
	switch {
	case key == 0 && start:
		t.keylessDeltas = append(t.keylessDeltas, pendingDelta{request, now})
	case key == 0:
		t.keylessDeltas = append(t.keylessDeltas, pendingDelta{clusterstate.Resources{}.AddScaled(request, -1), now})
	case start:
		delete(t.recentEnds, key) // a failed write is retried with the same attempt
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

// HasPending reports whether there are deltas that add to the allocation or mark an observed task as finished.
func (t *Tracker) HasPending() bool {
	return len(t.pendingStarts)+len(t.recentEnds)+len(t.keylessDeltas) > 0
}

// Allocated returns the resources of the observed tasks that have not finished, and of the tasks that are known only
// from a start delta. It drops the deltas that the observed tasks settle, and expired ones.
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

// countObserved sums the requests of the observed tasks without a recorded finish. A finish stays recorded while its
// task is observed, and for deltaTTL afterwards.
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
