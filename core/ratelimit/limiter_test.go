package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A controller that spends tokens whenever it has enough must never exceed its rate by more than one burst, and
// its rate must stay within its share of the total.
func TestWritesStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := New(0)
		limiter.SetRates(30, 100, 3, rapid.Float64Range(-50, 30).Draw(t, "unused"), 0.6)
		if limiter.WriteRate < 10 || limiter.WriteRate > 18 {
			t.Fatalf("%v writes per second of 30 among 3 controllers", limiter.WriteRate)
		}
		limiter.FillBurst()
		const ops = 12
		now, spent := time.Duration(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pass"))
			limiter.Refill(now, ops)
			for writes := rapid.IntRange(1, ops).Draw(t, "writes"); limiter.WriteTokens >= float64(writes); {
				limiter.SpendTxn(writes)
				spent += float64(writes)
			}
		}
		if allowed := limiter.WriteBurst(ops) + limiter.WriteRate*now.Seconds(); spent > allowed+1e-6 {
			t.Fatalf("%v spent in %v, %v allowed", spent, now, allowed)
		}
	})
}

// Writes that no user waits for must be paused longer than the others, and a later pause of only these must not
// shorten it.
func TestPauseSparesUrgentWrites(t *testing.T) {
	limiter := New(0)
	limiter.Pause(3*time.Second, time.Second)
	limiter.PauseNonUrgent(2 * time.Second)
	for at, want := range map[time.Duration][2]bool{
		0:                       {true, true},
		time.Second:             {true, false},
		2500 * time.Millisecond: {true, false},
		3 * time.Second:         {false, false},
	} {
		if limiter.IsPaused(at) != want[0] || limiter.IsUrgentPaused(at) != want[1] {
			t.Errorf("at %v: %v, %v", at, limiter.IsPaused(at), limiter.IsUrgentPaused(at))
		}
	}
	limiter.SetRates(30, 100, 5, 0, 1)
	if interval := limiter.MinInterval(10*time.Millisecond, 0.25); interval != 200*time.Millisecond ||
		limiter.MinInterval(time.Second, 0.25) != time.Second {
		t.Errorf("an interval of %v at 20 requests per second", interval)
	}
	limiter.SpendTxn(8)
	if rate := limiter.SampleWriteRate(500 * time.Millisecond); rate != 8 ||
		limiter.SampleWriteRate(500*time.Millisecond) != 4 {
		t.Errorf("%v writes per second recently", rate)
	}
}
