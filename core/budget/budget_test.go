package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However transactions come, no more is spent than what came in and what may gather; controllers that share do not
// spend more than all together may.
func TestNoMoreIsSpentThanComesIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(0)
		b.Share(30, 100, 3, rapid.Float64Range(-50, 30).Draw(t, "left"), 0.6)
		if b.WriteRate < 10 || b.WriteRate > 18 {
			t.Fatalf("%v changes a second of 30 among 3", b.WriteRate)
		}
		b.Fill()
		const ops = 12
		now, spent := time.Duration(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pass"))
			b.Advance(now, ops)
			for n := rapid.IntRange(1, ops).Draw(t, "changes"); b.Writes >= float64(n); {
				b.Txn(n)
				spent += float64(n)
			}
		}
		if most := b.Burst(ops) + b.WriteRate*now.Seconds(); spent > most+1e-6 {
			t.Fatalf("%v spent in %v, %v came in", spent, now, most)
		}
	})
}

// A pause holds back what nobody waits for longer, and one of reads does not shorten it.
func TestPauses(t *testing.T) {
	b := New(0)
	b.Pause(3*time.Second, time.Second)
	b.PauseOthers(2 * time.Second)
	for at, want := range map[time.Duration][2]bool{0: {true, true}, time.Second: {true, false}, 2500 * time.Millisecond: {true, false}, 3 * time.Second: {false, false}} {
		if b.Paused(at) != want[0] || b.PausedAll(at) != want[1] {
			t.Errorf("at %v: %v, %v", at, b.Paused(at), b.PausedAll(at))
		}
	}
	b.Share(30, 100, 5, 0, 1)
	if g := b.Gap(10*time.Millisecond, 0.25); g != 200*time.Millisecond || b.Gap(time.Second, 0.25) != time.Second {
		t.Errorf("a gap of %v at 20 requests a second", g)
	}
	b.Txn(8)
	if u := b.Used(500 * time.Millisecond); u != 8 || b.Used(500*time.Millisecond) != 4 {
		t.Errorf("%v changes a second of late", u)
	}
}
