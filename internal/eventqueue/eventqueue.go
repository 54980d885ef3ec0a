// Package eventqueue orders events in simulated time: by their time, and at the same time in the order in which
// they were added. It decides only this order; it owns no clock and runs nothing.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of events. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	events  eventHeap
	lastSeq int
}

// event is a function to run at a time.
type event struct {
	at  time.Duration
	seq int // order of addition
	run func()
}

// Add adds an event.
func (q *Queue) Add(at time.Duration, run func()) {
	q.lastSeq++
	heap.Push(&q.events, event{at, q.lastSeq, run})
}

// PopUntil removes the first event and returns it; ok is false if there is none, or only later than until.
func (q *Queue) PopUntil(until time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	first := heap.Pop(&q.events).(event)
	return first.at, first.run, true
}

// eventHeap implements heap.Interface. The order is total, so that runs are deterministic.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event; heap.Push calls it.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; heap.Pop calls it.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
