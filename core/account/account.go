// Package account keeps the room taken on one machine right, at the leader, while the news of a task come by two ways: its start and
// finish tuples, which are quick, and its record, which shows for certain, but later. Each task is counted once, whichever comes first.
// That a machine reports an end does not count: the copies of the array count the tuple of it on top of the rows
// that they are sent, until those are known to show it. (Rows were seeded anew from records and reports once a machine was quiet for a time; under load,
// tuples and records came later than that, tasks were counted twice or not at all, and up to a third of all starts were refused.)
//
// It has no clock: times, since the process began, come in.
package account

import (
	"time"

	"dewlift/ccs"
)

const (
	kept  = 10 * time.Second        // that a tuple counts without its task being seen: it may be lost, or its end
	loose = 2500 * time.Millisecond // the same of one that does not say which task it is of
)

// Seen is a task that a record assigns to the machine, or that the machine runs without one.
type Seen struct {
	Key   uint64 // of the task and the attempt
	Claim ccs.Vec
}

type tuple struct {
	claim ccs.Vec
	at    time.Duration
}

// Account is a machine's. The zero value has no tuples.
type Account struct {
	starts map[uint64]tuple         // of tasks that were not seen yet
	ends   map[uint64]time.Duration // of tasks that may be seen still
	loose  []tuple                  // without keys; a finish has a negative claim
}

// Take notes a tuple. Those of the version before have no key, 0.
func (a *Account) Take(now time.Duration, start bool, key uint64, claim ccs.Vec) {
	switch {
	case key == 0 && start:
		a.loose = append(a.loose, tuple{claim, now})
	case key == 0:
		a.loose = append(a.loose, tuple{ccs.Vec{}.Add(claim, -1), now})
	case start:
		delete(a.ends, key) // a write that failed is tried again, with the same number
		if a.starts == nil {
			a.starts = map[uint64]tuple{}
		}
		a.starts[key] = tuple{claim, now}
	default:
		delete(a.starts, key)
		if a.ends == nil {
			a.ends = map[uint64]time.Duration{}
		}
		a.ends[key] = now
	}
}

// Open reports whether there are tuples that count, or may.
func (a *Account) Open() bool { return len(a.starts)+len(a.ends)+len(a.loose) > 0 }

// Taken is the room that tasks take: those seen, and those whose start only a tuple told.
func (a *Account) Taken(now time.Duration, seen []Seen) ccs.Vec {
	var v ccs.Vec
	for _, s := range seen {
		delete(a.starts, s.Key)
		if _, over := a.ends[s.Key]; over {
			a.ends[s.Key] = now // until it is seen no more
		} else {
			v = v.Add(s.Claim, 1)
		}
	}
	for k, t := range a.starts {
		if now-t.at > kept {
			delete(a.starts, k)
			continue
		}
		v = v.Add(t.claim, 1)
	}
	for k, at := range a.ends {
		if now-at > kept {
			delete(a.ends, k)
		}
	}
	left := a.loose[:0]
	for _, t := range a.loose {
		if now-t.at <= loose {
			v = v.Add(t.claim, 1)
			left = append(left, t)
		}
	}
	a.loose = left
	return v
}
