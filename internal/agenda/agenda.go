// Package agenda orders what is to be done in simulated time: by its time, and at the same time in the order in which it was put down.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is what is to be done. The zero value is empty.
type Agenda struct {
	list entries
	seq  int
}

type entry struct {
	at  time.Duration
	seq int
	do  func()
}

// Add puts something down.
func (a *Agenda) Add(at time.Duration, do func()) {
	a.seq++
	heap.Push(&a.list, entry{at, a.seq, do})
}

// Next takes out what is first, unless that is after a time.
func (a *Agenda) Next(until time.Duration) (at time.Duration, do func(), ok bool) {
	if len(a.list) == 0 || a.list[0].at > until {
		return 0, nil, false
	}
	e := heap.Pop(&a.list).(entry)
	return e.at, e.do, true
}

type entries []entry

func (e entries) Len() int { return len(e) }
func (e entries) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)   { *e = append(*e, x.(entry)) }
func (e *entries) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
