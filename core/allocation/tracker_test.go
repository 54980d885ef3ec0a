package allocation

import (
	"math/rand/v2"
	"testing"
	"time"

	"dewlift/clusterstate"
)

var oneTaskRequest = clusterstate.Resources{1000, 0, 1000}

// A task must be counted exactly once, from the earlier of its start delta and its record to the earlier of its finish
// delta and the end of its record, however late the other one arrives.
func TestEachTaskIsAllocatedOnce(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var tracker Tracker
		type taskTimes struct{ started, ended, recorded, unrecorded time.Duration }
		tasks := make([]taskTimes, 1+rng.IntN(12))
		randomDelay := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
		for i := range tasks {
			begin := randomDelay(20 * time.Second)
			tasks[i].started, tasks[i].recorded = begin+randomDelay(4*time.Second), begin+randomDelay(4*time.Second)
			end := max(tasks[i].started, tasks[i].recorded) + randomDelay(8*time.Second)
			tasks[i].ended, tasks[i].unrecorded = end+randomDelay(4*time.Second), end+randomDelay(8*time.Second)
		}
		const step = 10 * time.Millisecond
		for now := time.Duration(0); now < 45*time.Second; now += step {
			want := int64(0)
			var observed []ObservedTask
			for i, task := range tasks {
				key := uint64(i + 1)
				if at := task.started; at > now-step && at <= now {
					tracker.RecordDelta(now, true, key, oneTaskRequest)
				}
				if at := task.ended; at > now-step && at <= now {
					tracker.RecordDelta(now, false, key, oneTaskRequest)
				}
				if task.recorded <= now && now < task.unrecorded {
					observed = append(observed, ObservedTask{AttemptKey: key, Request: oneTaskRequest})
				}
				if min(task.started, task.recorded) <= now && min(task.ended, task.unrecorded) > now {
					want++
				}
			}
			if got := tracker.Allocated(now, observed); got[0] != want*1000 {
				t.Fatalf("seed %d at %v: %d allocated, want %d tasks", seed, now, got[0], want)
			}
		}
	}
}

// The finish that is recorded after a failed write must not hide the task once a retry of the write succeeds.
func TestRetriedWriteKeepsTaskAllocated(t *testing.T) {
	var tracker Tracker
	tracker.RecordDelta(0, true, 1, oneTaskRequest)
	tracker.RecordDelta(1, false, 1, oneTaskRequest)
	if got := tracker.Allocated(2, nil); got != (clusterstate.Resources{}) {
		t.Errorf("%v allocated after the failed write, want nothing", got)
	}
	tracker.RecordDelta(3, true, 1, oneTaskRequest)
	for _, observed := range [][]ObservedTask{
		nil,
		{{AttemptKey: 1, Request: oneTaskRequest}},
		{{AttemptKey: 1, Request: oneTaskRequest}},
	} {
		if got := tracker.Allocated(4, observed); got != oneTaskRequest {
			t.Errorf("%v allocated for one task, with observed tasks %v", got, observed)
		}
	}
}

// The finish of a task or of a failed write may be lost. Neither such a start nor a delta without a key may stay
// allocated forever.
func TestDeltasExpire(t *testing.T) {
	var tracker Tracker
	tracker.RecordDelta(0, true, 1, oneTaskRequest)
	tracker.RecordDelta(0, true, 2, oneTaskRequest)
	tracker.RecordDelta(0, false, 2, oneTaskRequest)
	tracker.RecordDelta(0, true, 0, oneTaskRequest)
	tracker.RecordDelta(0, true, 0, oneTaskRequest)
	tracker.RecordDelta(0, false, 0, oneTaskRequest)
	if got := tracker.Allocated(time.Second, nil); got[0] != 2000 {
		t.Errorf("%v allocated, want one start with a key and one of two without a key, as the other has finished", got)
	}
	if got := tracker.Allocated(3*time.Second, nil); got[0] != 1000 {
		t.Errorf("%v allocated, want one start", got)
	}
	if got := tracker.Allocated(11*time.Second, nil); got != (clusterstate.Resources{}) || tracker.HasPending() {
		t.Errorf("%v allocated after all deltas expired, has pending deltas: %v", got, tracker.HasPending())
	}
}
