package clusterstate

import (
	"testing"
	"time"
)

// copyOf returns a copy that received these rows in a push at time 0 and expires after 30 s.
func copyOf(rows ...Row) *Copy {
	c := &Copy{MaxAge: 30 * time.Second}
	c.Replace(0, rows, nil)
	return c
}

// Controllers yield freed capacity to each other for a limited time. A push that only repeats known values
// must not restart that time.
func TestCapacityFreedAtChangesOnlyWithMoreCapacity(t *testing.T) {
	before := Row{Available: Resources{2000, 0, 2000}, Schedulable: true}
	unschedulable := before
	unschedulable.Schedulable = false
	more, less := before, before
	more.Available[0]++
	less.Available[0]--
	start := Delta{Start: true, Request: Resources{1, 0, 0}}
	for name, test := range map[string]struct {
		before, pushed Row
		pending        []Delta
		freed          bool
	}{
		"repeated":                      {before, before, nil, false},
		"more available":                {before, more, nil, true},
		"less available":                {before, less, nil, false},
		"more, but taken by a delta":    {before, more, []Delta{start}, false},
		"schedulable again":             {unschedulable, before, nil, true},
		"no longer schedulable":         {before, unschedulable, nil, false},
		"still not schedulable":         {unschedulable, unschedulable, nil, false},
		"unacknowledged finish":         {before, before, []Delta{{Request: Resources{1, 0, 0}}}, true},
		"delta of a machine not pushed": {before, before, []Delta{{Machine: 9, Request: Resources{1, 0, 0}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			for push, apply := range map[string]func(*Copy, time.Duration, []Row, []Delta){
				"whole":   (*Copy).Replace,
				"changes": (*Copy).Update,
			} {
				c := copyOf(test.before)
				apply(c, time.Second, []Row{test.pushed}, test.pending)
				if freed := c.Row(0).CapacityFreedAt() == time.Second; freed != test.freed {
					t.Errorf("push of %s: capacity freed %v, want %v", push, freed, test.freed)
				}
			}
		})
	}
}

// A copy without recent pushes must expire: the leader may have scaled in machines and others may have
// allocated capacity since then.
func TestCopyExpires(t *testing.T) {
	c := copyOf(Row{Schedulable: true})
	for now, want := range map[time.Duration]bool{0: true, c.MaxAge - 1: true, c.MaxAge: false} {
		if got := c.IsFresh(now); got != want {
			t.Errorf("fresh is %v after %v, want %v", got, now, want)
		}
	}
	if (&Copy{MaxAge: time.Hour}).IsFresh(0) {
		t.Error("a copy that never received a push is fresh")
	}
}
