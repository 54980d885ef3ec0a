package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Each signal must be sufficient on its own to enter each level.
func TestEachSignalIsEnough(t *testing.T) {
	for level := Busy; level <= Overloaded; level++ {
		threshold := enterThresholds[level]
		for i, signals := range []Signals{
			{QueueDelay: threshold.QueueDelay},
			{QueueUsage: threshold.QueueUsage},
			{ConnectionUsage: threshold.ConnectionUsage},
			{WriteBacklog: threshold.WriteBacklog},
		} {
			var state State
			if !state.Update(time.Second, signals) || state.Level() != level {
				t.Errorf("signal %d at %v: level %v", i, threshold, state.Level())
			}
		}
		if level == Busy {
			continue
		}
		var state State
		if state.Update(0, Signals{QueueDelay: threshold.QueueDelay - 1}); state.Level() != level-1 {
			t.Errorf("just below %v: level %v", level, state.Level())
		}
	}
}

// Signals that fluctuate around a threshold must not change the level each time. After the signals are low, the
// level must return to Normal within a bounded time.
func TestLevelDoesNotOscillate(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var state State
		changes, now := 0, time.Duration(0)
		update := func(queueDelay time.Duration) {
			now += 100 * time.Millisecond
			if state.Update(now, Signals{QueueDelay: queueDelay}) {
				changes++
			}
		}
		threshold := enterThresholds[Overloaded].QueueDelay
		for range 600 { // one minute around the threshold of Overloaded
			update(threshold/2 + time.Duration(rng.Int64N(int64(threshold))))
		}
		if state.Level() != Overloaded || changes > 2 {
			t.Fatalf("seed %d: %v after %d changes", seed, state.Level(), changes)
		}
		for range 80 {
			update(0)
		}
		if state.Level() != Normal || changes > 4 {
			t.Fatalf("seed %d: %v 8 s after the overload ended, %d changes", seed, state.Level(), changes)
		}
	}
}

// Deferrable work must use less of the capacity of an overloaded controller.
func TestIntervalDoublesWithEachLevel(t *testing.T) {
	for level, want := range map[Level]time.Duration{
		Normal:     time.Second,
		Busy:       2 * time.Second,
		Overloaded: 4 * time.Second,
	} {
		if got := level.ScaleInterval(time.Second); got != want {
			t.Errorf("level %v: an interval of 1 s becomes %v, want %v", level, got, want)
		}
	}
}
