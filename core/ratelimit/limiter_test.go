package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However transactions come, no more is spent than what came in and what may gather; controllers that share do not
// spend more than all together may.
func TestWritesStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(0)
		b.SetRates(30, 100, 3, rapid.Float64Range(-50, 30).Draw(t, "left"), 0.6)
		if b.WriteRate < 10 || b.WriteRate > 18 {
			t.Fatalf("%v changes a second of 30 among 3", b.WriteRate)
		}
		b.FillBurst()
		const ops = 12
		now, spent := time.Duration(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pass"))
			b.Refill(now, ops)
			for n := rapid.IntRange(1, ops).Draw(t, "changes"); b.WriteTokens >= float64(n); {
				b.SpendTxn(n)
				spent += float64(n)
			}
		}
		if most := b.WriteBurst(ops) + b.WriteRate*now.Seconds(); spent > most+1e-6 {
			t.Fatalf("%v spent in %v, %v came in", spent, now, most)
		}
	})
}

// A pause holds back what nobody waits for longer, and one of reads does not shorten it.
func TestPauseSparesUrgentWrites(t *testing.T) {
	b := New(0)
	b.Pause(3*time.Second, time.Second)
	b.PauseNonUrgent(2 * time.Second)
	for at, want := range map[time.Duration][2]bool{
		0:                       {true, true},
		time.Second:             {true, false},
		2500 * time.Millisecond: {true, false},
		3 * time.Second:         {false, false},
	} {
		if b.IsPaused(at) != want[0] || b.IsUrgentPaused(at) != want[1] {
			t.Errorf("at %v: %v, %v", at, b.IsPaused(at), b.IsUrgentPaused(at))
		}
	}
	b.SetRates(30, 100, 5, 0, 1)
	if g := b.MinInterval(10*time.Millisecond, 0.25); g != 200*time.Millisecond ||
		b.MinInterval(time.Second, 0.25) != time.Second {
		t.Errorf("a gap of %v at 20 requests a second", g)
	}
	b.SpendTxn(8)
	if u := b.SampleWriteRate(500 * time.Millisecond); u != 8 || b.SampleWriteRate(500*time.Millisecond) != 4 {
		t.Errorf("%v changes a second of late", u)
	}
}
