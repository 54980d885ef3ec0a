package priorityclass

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewlift/wire"
)

// Operators correct a list using only its error, so the error must name the class and the field.
func TestInvalidListErrorNamesClassAndField(t *testing.T) {
	const last = ` lanes { name: "b" }`
	for text, want := range map[string]string{
		``:                                      "0 lanes, must be from 1 to 20",
		`lanes { name: "A" }`:                   "lanes[0] (A).name: no name, or used twice",
		`lanes { name: "b" teams: "t" }` + last: "lanes[1] (b).name: no name, or used twice",
		`lanes { name: "a" }` + last: "lanes[0] (a): it takes everything, " +
			"so nothing comes to those below it",
		`lanes { name: "a" classes: "c" }`: "lanes[0] (a): the last lane takes what no other does, " +
			"without conditions",
		`lanes { name: "a" priorities: "urgent" }` + last: `lanes[0] (a).priorities: there is no "urgent"`,
		`lanes { name: "a" teams: "t" rise_after_s: 5 }` + last: "lanes[0] (a).rise_after_s: " +
			"no lane is above the first",
		`lanes { name: "a" teams: "t" } lanes { name: "b" share_percent: 10 }`: "lanes[1] (b).share_percent: " +
			"no lane is below the last",
		`lanes { name: "a" teams: "t" share_percent: 95 }` + last: "lanes[0] (a).share_percent: 95, " +
			"at most 90 is allowed",
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// A job must belong to the first class of which it meets all conditions.
func TestClassifyJob(t *testing.T) {
	list, err := Parse([]byte(`
		lanes { name: "reroast" classes: "reroast" due_within_s: 60 }
		lanes { name: "desk" priorities: "critical" teams: "shop" }
		lanes { name: "rest" }`))
	if err != nil {
		t.Fatal(err)
	}
	for want, spec := range map[string]wire.JobSpec{
		"reroast": {Class: "reroast", DeadlineMS: 60_000, Priority: 3},
		"desk":    {Class: "reroast", Team: "shop"},
		"rest":    {Class: "reroast", DeadlineMS: 60_001, Team: "shop", Priority: 1},
	} {
		if got := list.Name(list.Classify(&spec)); got != want {
			t.Errorf("%+v is in %s, want %s", spec, got, want)
		}
	}
}

// Waiting must never move work to a less urgent class, nor past a class without an aging interval. The most
// urgent class that work ever reaches must be reached after exactly the reported aging time.
func TestAgingIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawList(t)
		class := rapid.IntRange(0, list.Len()-1).Draw(t, "lane")
		waited := time.Duration(rapid.IntRange(0, 500).Draw(t, "a")) * time.Second
		longer := waited + time.Duration(rapid.IntRange(0, 500).Draw(t, "b"))*time.Second
		before, after := list.EffectiveClass(class, waited), list.EffectiveClass(class, longer)
		if after > before || before > class {
			t.Fatalf("class %d becomes %d after %v and %d after %v", class, before, waited, after, longer)
		}
		end := list.EffectiveClass(class, 1<<62)
		if agingTime, ok := list.AgingTime(class, end); !ok || list.EffectiveClass(class, agingTime) != end ||
			agingTime > 0 && list.EffectiveClass(class, agingTime-1) == end {
			t.Fatalf("class %d reaches class %d, reported aging time %v", class, end, agingTime)
		}
	})
}

// drawList draws a list of 2 to 6 classes with random aging intervals.
func drawList(t *rapid.T) *List {
	t.Helper()
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
	list, err := Parse([]byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return list
}
