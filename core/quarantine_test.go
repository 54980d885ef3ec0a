package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"fmt"
	"strings"
	"testing"
	"time"
)

// A job with a mistake kept the machines that it failed on from all work for up to half a minute,
// was started whole again and again, and had healthy machines returned. What its record says tells
// it from a faulty machine, at every controller.
func TestJobFailingEverywhereIsToldFromAFaultyMachine(t *testing.T) {
	for name, x := range map[string]struct {
		why               string // machine and cause, or "done"
		failing, mistaken bool
	}{
		"two errors":              {"a error b error", false, false},
		"on one machine":          {"a error a error a error", true, false},
		"on several":              {"a error a error b error", true, true},
		"with machines gone":      {"a error b gone b error c gone c gone c error d gone", true, true},
		"one of it has completed": {"a error b error done c error d error", false, false},
	} {
		r := &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 9}}
		f := strings.Fields(x.why)
		for i := 0; i < len(f); i++ {
			if f[i] == "done" {
				r.CompletedTasks = r.CompletedTasks.Add(0)
				continue
			}
			r.AddStopReason(jobrecord.StopReason{Machine: f[i], Cause: f[i+1]})
			i++
		}
		if isFailing(r, 1000) != x.failing || failsEverywhere(r, 1000) != x.mistaken {
			t.Errorf(
				"%s: failing %v, mistaken %v: %v",
				name,
				isFailing(r, 1000),
				failsEverywhere(r, 1000),
				r.StopReasons,
			)
		}
		if isFailing(r, 1000+failureWindow.Milliseconds()) {
			t.Errorf("%s: failing for ever", name)
		}
	}
}

// Three jobs fail on two machines. Those of one are mistaken, so it stays in use; those of the
// other do well elsewhere, so it is returned. Where nothing is known of them, it is tried again
// after a while.
func TestOnlyAMachineThatFailsHealthyJobsIsReturned(t *testing.T) {
	c := newLeadingCore(t)
	for i, kind := range []string{"mistaken", "sound", "unknown"} {
		m := c.internMachine(fmt.Sprint("m-", i))
		for k := range 3 {
			j := c.internJob(fmt.Sprint("wk-", kind, k))
			j.record = &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 9}}
			switch kind {
			case "mistaken":
				for n := range 3 {
					j.record.AddStopReason(
						jobrecord.StopReason{Machine: fmt.Sprint("x", n), Cause: wire.CauseError, AtMS: c.unixMS()},
					)
				}
			case "sound":
				j.record.CompletedTasks = j.record.CompletedTasks.Add(4)
			}
			c.recordTaskEnd(m, j, wire.CauseError)
		}
		if got, want := c.isQuarantined(m), kind != "mistaken"; got != want {
			t.Errorf("%s: faulty %v", kind, got)
		}
		if got, want := c.isProvenFaulty(m), kind == "sound"; got != want {
			t.Errorf("%s: to be returned %v", kind, got)
		}
		c.now += quarantineDuration
		if c.isQuarantined(m) {
			t.Errorf("%s: not tried again", kind)
		}
		c.now += time.Second
	}
}
