package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Every sign alone makes each level.
func TestEachSignIsEnough(t *testing.T) {
	for l := Busy; l <= Over; l++ {
		e := enter[l]
		for i, x := range []Signs{{Late: e.Late}, {Queue: e.Queue}, {Sockets: e.Sockets}, {Backlog: e.Backlog}} {
			var s State
			if !s.Look(time.Second, x) || s.Level() != l {
				t.Errorf("sign %d at %v: level %v", i, e, s.Level())
			}
		}
		if l == Busy {
			continue
		}
		var s State
		if s.Look(0, Signs{Late: e.Late - 1}); s.Level() != l-1 {
			t.Errorf("just under %v: level %v", l, s.Level())
		}
	}
}

// Signs that go up and down around a threshold do not change the level every time, and when they are gone the
// level is, in a bounded time.
func TestLevelDoesNotSwing(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var s State
		changes, now := 0, time.Duration(0)
		look := func(late time.Duration) {
			now += 100 * time.Millisecond
			if s.Look(now, Signs{Late: late}) {
				changes++
			}
		}
		for range 600 { // a minute around the second level's threshold
			look(enter[Over].Late/2 + time.Duration(rng.Int64N(int64(enter[Over].Late))))
		}
		if s.Level() != Over || changes > 2 {
			t.Fatalf("seed %d: %v after %d changes", seed, s.Level(), changes)
		}
		for range 80 {
			look(0)
		}
		if s.Level() != Calm || changes > 4 {
			t.Fatalf("seed %d: %v 8 s after it was over, %d changes", seed, s.Level(), changes)
		}
	}
}
