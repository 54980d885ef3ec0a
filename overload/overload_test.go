package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Every sign alone makes each level.
func TestEachSignalIsEnough(t *testing.T) {
	for l := Busy; l <= Overloaded; l++ {
		e := enterThresholds[l]
		for i, x := range []Signals{
			{QueueDelay: e.QueueDelay},
			{QueueUsage: e.QueueUsage},
			{ConnectionUsage: e.ConnectionUsage},
			{WriteBacklog: e.WriteBacklog},
		} {
			var s State
			if !s.Update(time.Second, x) || s.Level() != l {
				t.Errorf("sign %d at %v: level %v", i, e, s.Level())
			}
		}
		if l == Busy {
			continue
		}
		var s State
		if s.Update(0, Signals{QueueDelay: e.QueueDelay - 1}); s.Level() != l-1 {
			t.Errorf("just under %v: level %v", l, s.Level())
		}
	}
}

// Signs that go up and down around a threshold do not change the level every time, and when they are gone the
// level is, in a bounded time.
func TestLevelDoesNotOscillate(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var s State
		changes, now := 0, time.Duration(0)
		look := func(late time.Duration) {
			now += 100 * time.Millisecond
			if s.Update(now, Signals{QueueDelay: late}) {
				changes++
			}
		}
		for range 600 { // a minute around the second level's threshold
			look(
				enterThresholds[Overloaded].QueueDelay/2 + time.Duration(
					rng.Int64N(int64(enterThresholds[Overloaded].QueueDelay)),
				),
			)
		}
		if s.Level() != Overloaded || changes > 2 {
			t.Fatalf("seed %d: %v after %d changes", seed, s.Level(), changes)
		}
		for range 80 {
			look(0)
		}
		if s.Level() != Normal || changes > 4 {
			t.Fatalf("seed %d: %v 8 s after it was over, %d changes", seed, s.Level(), changes)
		}
	}
}
