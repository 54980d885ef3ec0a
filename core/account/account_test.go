package account

import (
	"math/rand/v2"
	"testing"
	"time"

	"dewlift/ccs"
)

var one = ccs.Vec{1000, 0, 1000}

// Whatever comes first, tuple or record, and however late, a task counts from its first news to the first news of its end.
func TestEachTaskCountsOnce(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var a Account
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
			var seen []Seen
			for i, x := range tasks {
				k := uint64(i + 1)
				if at := x.started; at > now-10*time.Millisecond && at <= now {
					a.Take(now, true, k, one)
				}
				if at := x.ended; at > now-10*time.Millisecond && at <= now {
					a.Take(now, false, k, one)
				}
				if x.recorded <= now && now < x.unrecorded {
					seen = append(seen, Seen{Key: k, Claim: one})
				}
				if min(x.started, x.recorded) <= now && min(x.ended, x.unrecorded) > now {
					want++
				}
			}
			if got := a.Taken(now, seen); got[0] != want*1000 {
				t.Fatalf("seed %d at %v: %d taken, %d tasks run", seed, now, got[0], want)
			}
		}
	}
}

// The end that follows a failed write must not hide the task when the next write of it succeeds.
func TestAttemptIsTriedAgain(t *testing.T) {
	var a Account
	a.Take(0, true, 1, one)
	a.Take(1, false, 1, one)
	if got := a.Taken(2, nil); got != (ccs.Vec{}) {
		t.Errorf("%v taken after the write failed", got)
	}
	a.Take(3, true, 1, one)
	for _, seen := range [][]Seen{nil, {{Key: 1, Claim: one}}, {{Key: 1, Claim: one}}} {
		if got := a.Taken(4, seen); got != one {
			t.Errorf("%v taken by one task, seen %v", got, seen)
		}
	}
}

// A start whose write failed, or whose end was lost on the way, must not keep room for ever; nor may a tuple that does not say of
// which task it is.
func TestTuplesAreForgotten(t *testing.T) {
	var a Account
	a.Take(0, true, 1, one)
	a.Take(0, true, 2, one)
	a.Take(0, false, 2, one)
	a.Take(0, true, 0, one)
	a.Take(0, true, 0, one)
	a.Take(0, false, 0, one)
	if got := a.Taken(time.Second, nil); got[0] != 2000 {
		t.Errorf("%v taken by one start, and by two without a key of which one has ended", got)
	}
	if got := a.Taken(3*time.Second, nil); got[0] != 1000 {
		t.Errorf("%v taken by one start", got)
	}
	if got := a.Taken(11*time.Second, nil); got != (ccs.Vec{}) || a.Open() {
		t.Errorf("%v taken after all was lost, open %v", got, a.Open())
	}
}
