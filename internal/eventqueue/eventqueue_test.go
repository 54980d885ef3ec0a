package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// Events at the same time must run in the order in which they were added; otherwise a seed would not give the same run
// twice.
func TestEventsRunInOrderOfTimeAndAddition(t *testing.T) {
	var queue Queue
	var ran []string
	for _, e := range []struct {
		at   time.Duration
		name string
	}{{3, "c"}, {1, "a1"}, {2, "b"}, {1, "a2"}, {5, "late"}, {1, "a3"}} {
		queue.Add(e.at, func() { ran = append(ran, e.name) })
	}
	last := time.Duration(0)
	for at, run, ok := queue.PopUntil(4); ok; at, run, ok = queue.PopUntil(4) {
		if at < last {
			t.Errorf("time goes backwards from %v to %v", last, at)
		}
		last = at
		run()
	}
	if want := []string{"a1", "a2", "a3", "b", "c"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if at, _, ok := queue.PopUntil(5); !ok || at != 5 {
		t.Errorf("the later event is popped at %v: %v", at, ok)
	}
	if _, _, ok := queue.PopUntil(time.Hour); ok {
		t.Error("an empty queue returns an event")
	}
}
