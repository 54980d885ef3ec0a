package priorityclass

import (
	"dewlift/wire"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestInvalidListsAreNamed(t *testing.T) {
	for text, want := range map[string]string{
		``:                    "0 lanes, must be from 1 to 20",
		`lanes { name: "A" }`: "lanes[0] (A).name: no name, or used twice",
		`lanes { name: "a" } lanes { name: "b" }`:                              "lanes[0] (a): it takes everything, so nothing comes to those below it",
		`lanes { name: "a" classes: "c" }`:                                     "lanes[0] (a): the last lane takes what no other does, without conditions",
		`lanes { name: "a" priorities: "urgent" } lanes { name: "b" }`:         `lanes[0] (a).priorities: there is no "urgent"`,
		`lanes { name: "a" teams: "t" rise_after_s: 5 } lanes { name: "b" }`:   "lanes[0] (a).rise_after_s: no lane is above the first",
		`lanes { name: "a" teams: "t" } lanes { name: "b" share_percent: 10 }`: "lanes[1] (b).share_percent: no lane is below the last",
		`lanes { name: "a" teams: "t" share_percent: 95 } lanes { name: "b" }`: "lanes[0] (a).share_percent: 95, at most 90 is allowed",
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestClassifyJob(t *testing.T) {
	l, err := Parse(
		[]byte(
			`lanes { name: "reroast" classes: "reroast" due_within_s: 60 } lanes { name: "desk" priorities: "critical" teams: "shop" } lanes { name: "rest" }`,
		),
	)
	if err != nil {
		t.Fatal(err)
	}
	for want, s := range map[string]wire.JobSpec{
		"reroast": {Class: "reroast", DeadlineMS: 60_000, Priority: 3},
		"desk":    {Class: "reroast", Team: "shop"},
		"rest":    {Class: "reroast", DeadlineMS: 60_001, Team: "shop", Priority: 1},
	} {
		if got := l.Name(l.Classify(&s)); got != want {
			t.Errorf("%+v is in %s, want %s", s, got, want)
		}
	}
}

// Work never sinks by waiting, never passes what does not rise, and after the longest time has come
// as far as it ever does.
func TestRisingIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		n := rapid.IntRange(2, 6).Draw(t, "lanes")
		for i := range n {
			text.WriteString(`lanes { name: "l` + string(rune('0'+i)) + `" `)
			if i < n-1 {
				text.WriteString(`teams: "t" `)
			}
			if i > 0 {
				text.WriteString("rise_after_s: " + rapid.SampledFrom([]string{"0", "5", "60"}).Draw(t, "rise"))
			}
			text.WriteString(" }\n")
		}
		l, err := Parse([]byte(text.String()))
		if err != nil {
			t.Fatal(err)
		}
		lane := rapid.IntRange(0, n-1).Draw(t, "lane")
		a, b := time.Duration(
			rapid.IntRange(0, 500).Draw(t, "a"),
		)*time.Second, time.Duration(
			rapid.IntRange(0, 500).Draw(t, "b"),
		)*time.Second
		at, later := l.EffectiveClass(lane, a), l.EffectiveClass(lane, a+b)
		if later > at || at > lane {
			t.Fatalf("lane %d is %d after %v and %d after %v", lane, at, a, later, a+b)
		}
		end := l.EffectiveClass(lane, 1<<62)
		if d, ok := l.RiseTime(lane, end); !ok || l.EffectiveClass(lane, d) != end ||
			d > 0 && l.EffectiveClass(lane, d-1) == end {
			t.Fatalf("lane %d comes to %d after %v", lane, end, d)
		}
	})
}
