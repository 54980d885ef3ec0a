package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// A faulty job blocked the machines that it failed on for all jobs for up to half a minute, was restarted
// with all its tasks again and again, and had healthy machines scaled in. Every controller must be able to
// tell from its record that the job is faulty and not the machine.
func TestFailingJobIsDistinguishedFromFaultyMachine(t *testing.T) {
	for name, test := range map[string]struct {
		history                  string // pairs of machine and cause, or "done"
		failing, failsEverywhere bool
	}{
		"two errors":              {"a error b error", false, false},
		"on one machine":          {"a error a error a error", true, false},
		"on several":              {"a error a error b error", true, true},
		"with machines gone":      {"a error b gone b error c gone c gone c error d gone", true, true},
		"one of it has completed": {"a error b error done c error d error", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			record := recordWithHistory(test.history)
			if got := isFailing(record, 1000); got != test.failing {
				t.Errorf("isFailing is %v: %v", got, record.StopReasons)
			}
			if got := failsEverywhere(record, 1000); got != test.failsEverywhere {
				t.Errorf("failsEverywhere is %v: %v", got, record.StopReasons)
			}
			if isFailing(record, 1000+failureWindow.Milliseconds()) {
				t.Error("still failing after the failure window")
			}
		})
	}
}

// recordWithHistory returns the record of a job with stop reasons, given as pairs of machine and cause, and
// completed tasks, given as "done".
func recordWithHistory(history string) *jobrecord.Record {
	record := &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 9}}
	fields := strings.Fields(history)
	for i := 0; i < len(fields); i++ {
		if fields[i] == "done" {
			record.CompletedTasks = record.CompletedTasks.Add(0)
			continue
		}
		record.AddStopReason(jobrecord.StopReason{Machine: fields[i], Cause: fields[i+1]})
		i++
	}
	return record
}

// Three jobs fail on each of three machines. The machine whose jobs fail everywhere must stay in use. The
// machine whose jobs are healthy elsewhere must be scaled in. The machine with jobs of which nothing is known
// must be tried again after quarantineDuration.
func TestOnlyMachinesFailingHealthyJobsAreScaledIn(t *testing.T) {
	c := newLeadingCore(t)
	for i, kind := range []string{"failing everywhere", "healthy", "unknown"} {
		m := c.internMachine(fmt.Sprint("m-", i))
		for k := range 3 {
			j := c.internJob(fmt.Sprint("wk-", kind, k))
			j.record = &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 9}}
			switch kind {
			case "failing everywhere":
				for n := range 3 {
					j.record.AddStopReason(
						jobrecord.StopReason{Machine: fmt.Sprint("x", n), Cause: wire.CauseError, AtMS: c.unixMS()},
					)
				}
			case "healthy":
				j.record.CompletedTasks = j.record.CompletedTasks.Add(4)
			}
			m.health.recordTaskEnd(j.index, wire.CauseError, c.now)
		}
		if got, want := m.health.isQuarantined(c.environment, c.jobs), kind != "failing everywhere"; got != want {
			t.Errorf("%s: isQuarantined is %v", kind, got)
		}
		if got, want := c.isProvenFaulty(m), kind == "healthy"; got != want {
			t.Errorf("%s: proven faulty is %v", kind, got)
		}
		c.now += quarantineDuration
		if m.health.isQuarantined(c.environment, c.jobs) {
			t.Errorf("%s: still quarantined after quarantineDuration", kind)
		}
		c.now += time.Second
	}
}
