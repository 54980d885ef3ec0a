// Package eventqueue orders what is to be done in simulated time: by its time, and at the same time
// in the order in which it was put down.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is what is to be done. The zero value is empty.
type Queue struct {
	entries eventHeap
	lastSeq int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// Add puts something down.
func (a *Queue) Add(at time.Duration, do func()) {
	a.lastSeq++
	heap.Push(&a.entries, event{at, a.lastSeq, do})
}

// PopUntil takes out what is first, unless that is after a time.
func (a *Queue) PopUntil(until time.Duration) (at time.Duration, do func(), ok bool) {
	if len(a.entries) == 0 || a.entries[0].at > until {
		return 0, nil, false
	}
	e := heap.Pop(&a.entries).(event)
	return e.at, e.run, true
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
