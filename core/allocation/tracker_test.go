package allocation

import (
	"dewlift/clusterstate"
	"math/rand/v2"
	"testing"
	"time"
)

var oneTaskRequest = clusterstate.Resources{1000, 0, 1000}

// Whatever comes first, tuple or record, and however late, a task counts from its first news to the
// first news of its end.
func TestEachTaskIsAllocatedOnce(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var a Tracker
		type task struct{ started, ended, recorded, unrecorded time.Duration }
		tasks := make([]task, 1+rng.IntN(12))
		late := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
		for i := range tasks {
			x := &tasks[i]
			begin := late(20 * time.Second)
			x.started, x.recorded = begin+late(4*time.Second), begin+late(4*time.Second)
			end := max(x.started, x.recorded) + late(8*time.Second)
			x.ended, x.unrecorded = end+late(4*time.Second), end+late(8*time.Second)
		}
		for now := time.Duration(0); now < 45*time.Second; now += 10 * time.Millisecond {
			want := int64(0)
			var seen []ObservedTask
			for i, x := range tasks {
				k := uint64(i + 1)
				if at := x.started; at > now-10*time.Millisecond && at <= now {
					a.RecordDelta(now, true, k, oneTaskRequest)
				}
				if at := x.ended; at > now-10*time.Millisecond && at <= now {
					a.RecordDelta(now, false, k, oneTaskRequest)
				}
				if x.recorded <= now && now < x.unrecorded {
					seen = append(seen, ObservedTask{AttemptKey: k, Request: oneTaskRequest})
				}
				if min(x.started, x.recorded) <= now && min(x.ended, x.unrecorded) > now {
					want++
				}
			}
			if got := a.Allocated(now, seen); got[0] != want*1000 {
				t.Fatalf("seed %d at %v: %d taken, %d tasks run", seed, now, got[0], want)
			}
		}
	}
}

// The end that follows a failed write must not hide the task when the next write of it succeeds.
func TestRetriedWriteKeepsTaskAllocated(t *testing.T) {
	var a Tracker
	a.RecordDelta(0, true, 1, oneTaskRequest)
	a.RecordDelta(1, false, 1, oneTaskRequest)
	if got := a.Allocated(2, nil); got != (clusterstate.Resources{}) {
		t.Errorf("%v taken after the write failed", got)
	}
	a.RecordDelta(3, true, 1, oneTaskRequest)
	for _, seen := range [][]ObservedTask{
		nil,
		{{AttemptKey: 1, Request: oneTaskRequest}},
		{{AttemptKey: 1, Request: oneTaskRequest}},
	} {
		if got := a.Allocated(4, seen); got != oneTaskRequest {
			t.Errorf("%v taken by one task, seen %v", got, seen)
		}
	}
}

// A start whose write failed, or whose end was lost on the way, must not keep room for ever; nor
// may a tuple that does not say of which task it is.
func TestDeltasExpire(t *testing.T) {
	var a Tracker
	a.RecordDelta(0, true, 1, oneTaskRequest)
	a.RecordDelta(0, true, 2, oneTaskRequest)
	a.RecordDelta(0, false, 2, oneTaskRequest)
	a.RecordDelta(0, true, 0, oneTaskRequest)
	a.RecordDelta(0, true, 0, oneTaskRequest)
	a.RecordDelta(0, false, 0, oneTaskRequest)
	if got := a.Allocated(time.Second, nil); got[0] != 2000 {
		t.Errorf("%v taken by one start, and by two without a key of which one has ended", got)
	}
	if got := a.Allocated(3*time.Second, nil); got[0] != 1000 {
		t.Errorf("%v taken by one start", got)
	}
	if got := a.Allocated(11*time.Second, nil); got != (clusterstate.Resources{}) || a.HasPending() {
		t.Errorf("%v taken after all was lost, open %v", got, a.HasPending())
	}
}
