package core

import (
	"cmp"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"slices"
	"time"
)

// A job that was submitted with a mistake fails on every machine, until its user cancels it. Its
// record tells every controller: nothing of it has completed, and its last tasks failed. From then
// on it is tried a task at a time, where it has not failed, and rents little. Once it has failed on
// several machines it says nothing of them; as long as it failed on one alone, it may be that
// machine.

const (
	failingThreshold = 3 // errors in a row, of those that a record keeps
	// what is older says nothing: a service that met faulty machines once starts at once when it is lost as a whole
	failureWindow             = 5 * time.Minute
	steadyAfter               = 10 * time.Second // from then on a running task shows that others may be tried
	quarantineJobThreshold    = 3                // that fail on a machine, from which on no others go there
	returnHealthyJobThreshold = 2                // of them that do well elsewhere, from which on it is returned
	// after which a job is tried again where it failed: there may be no other machine
	avoidFailedMachineFor = 30 * time.Second
	// after the last of which it is tried again, as long as nothing speaks against it
	quarantineDuration = time.Minute
)

// isFailing reports whether a job, by its record, has done nothing but fail of late.
func isFailing(r *jobrecord.Record, nowMS int64) bool {
	if r == nil || r.CompletedTasks.Count() > 0 {
		return false
	}
	n := 0
	for _, w := range r.StopReasons {
		if w.Cause == wire.CauseError && nowMS-w.AtMS < failureWindow.Milliseconds() {
			n++
		}
	}
	return n >= failingThreshold
}

// failsEverywhere reports whether a job, by its record, seems to fail wherever it is started.
func failsEverywhere(r *jobrecord.Record, nowMS int64) bool {
	on := ""
	return isFailing(r, nowMS) && slices.ContainsFunc(r.StopReasons, func(w jobrecord.StopReason) bool {
		if w.Cause != wire.CauseError {
			return false
		}
		on = cmp.Or(on, w.Machine)
		return w.Machine != on
	})
}

// recentlyFailedMachines lists the machines on which tasks of a job have failed of late. One of
// which nothing has completed is tried elsewhere first: else its tasks went to the same machine
// again and again, and neither was told from the other.
func (c *Core) recentlyFailedMachines(r *jobrecord.Record) (machines []string) {
	if r.CompletedTasks.Count() > 0 {
		return nil
	}
	for _, w := range r.StopReasons {
		if w.Cause == wire.CauseError && c.unixMS()-w.AtMS < avoidFailedMachineFor.Milliseconds() {
			machines = append(machines, w.Machine)
		}
	}
	return machines
}

// maxTasksWhileFailing is how many tasks of a job that seems to fail everywhere may be assigned at
// a time: more with each that keeps running. Nothing of a service ever completes, nor soon of an
// array of long tasks, and one that met a few faulty machines is not to stand still.
func (c *Core) maxTasksWhileFailing(j *job, place []jobrecord.Assignment) int {
	return 1 + 2*c.countSteadyTasks(j, place)
}

// countSteadyTasks counts the tasks of a job that keep running.
func (c *Core) countSteadyTasks(j *job, place []jobrecord.Assignment) (n int) {
	for _, a := range place {
		m := c.machines[a.Machine]
		if p, ok := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; ok && p.state == wire.TaskRunning &&
			m.status.incarnation == a.Incarnation &&
			c.now-p.stateSince >= steadyAfter {
			n++
		}
	}
	return n
}

// isQuarantined reports whether a machine fails whatever runs there: several jobs have failed on it
// since a task last completed. One that fails everywhere is not among them, however often it fails.
func (c *Core) isQuarantined(m *machine) bool {
	if len(m.health.failedJobs) < quarantineJobThreshold || c.now-m.health.lastFailureAt >= quarantineDuration {
		return false
	}
	n := 0
	for i := range m.health.failedJobs {
		if j := c.jobs[i]; j != nil && !failsEverywhere(j.record, c.unixMS()) {
			n++
		}
	}
	return n >= quarantineJobThreshold
}

// isProvenFaulty reports whether a machine that fails whatever runs there is to be returned: jobs
// that failed on it do well elsewhere.
func (c *Core) isProvenFaulty(m *machine) bool {
	if !c.isQuarantined(m) {
		return false
	}
	sound := 0
	for i := range m.health.failedJobs {
		if j := c.jobs[i]; j != nil && c.isHealthyJob(j) {
			sound++
		}
	}
	return sound >= returnHealthyJobThreshold
}

// isHealthyJob reports whether tasks of a job have completed, or replicas of it keep running.
func (c *Core) isHealthyJob(j *job) bool {
	if j.record == nil {
		return false
	}
	return j.record.Stage == jobrecord.Done || j.record.CompletedTasks.Count() > 0 ||
		j.placement.completedTasks > 0 ||
		c.countSteadyTasks(j, j.assignments) > 0
}

// failureExplanation says in plain words what becomes of a job that has done nothing but fail of late.
func failureExplanation(r *jobrecord.Record, nowMS int64) string {
	if failsEverywhere(r, nowMS) {
		return "nothing of it has completed, and its tasks failed on several machines: it was probably submitted with a mistake; it is tried a task at a time until it is cancelled or one completes"
	}
	return "nothing of it has completed, and its tasks failed on one machine: it is tried a task at a time, elsewhere"
}
