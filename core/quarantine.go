package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// A job that was submitted with a mistake fails on every machine until its user cancels it. Its record
// tells every controller: nothing of it has completed, and its last tasks failed. From then on only a
// few of its tasks run at a time, on machines where it has not failed, and it causes little scale out.
// A job that failed on several machines says nothing about them; one that failed on a single machine
// may have met a faulty one.

const (
	// failingThreshold is the count of errors, of the stop reasons that a record keeps, that makes a job failing.
	failingThreshold = 3
	// failureWindow is the age after which an error no longer counts: a service that once met faulty
	// machines must start at once when it is lost as a whole.
	failureWindow = 5 * time.Minute
	// steadyAfter is how long a task must have run to show that more tasks of its job may be tried.
	steadyAfter = 10 * time.Second
	// quarantineJobThreshold is the count of jobs failing on a machine that quarantines it.
	quarantineJobThreshold = 3
	// returnHealthyJobThreshold is the count of these jobs, healthy elsewhere, that proves a machine faulty.
	returnHealthyJobThreshold = 2
	// avoidFailedMachineFor is how long a job avoids a machine where it failed. It is bounded because
	// there may be no other machine.
	avoidFailedMachineFor = 30 * time.Second
	// quarantineDuration is the time from the last failure on a quarantined machine until it is tried
	// again, if it was not proven faulty.
	quarantineDuration = time.Minute
)

// isFailing reports whether a job, by its record, has done nothing but fail recently.
func isFailing(r *jobrecord.Record, nowMS int64) bool {
	if r == nil || r.CompletedTasks.Count() > 0 {
		return false
	}
	failures := 0
	for _, reason := range r.StopReasons {
		if reason.Cause == wire.CauseError && nowMS-reason.AtMS < failureWindow.Milliseconds() {
			failures++
		}
	}
	return failures >= failingThreshold
}

// failsEverywhere reports whether a job, by its record, seems to fail on every machine: it is failing,
// and its errors are of more than one machine.
func failsEverywhere(r *jobrecord.Record, nowMS int64) bool {
	first := ""
	return isFailing(r, nowMS) && slices.ContainsFunc(r.StopReasons, func(reason jobrecord.StopReason) bool {
		if reason.Cause != wire.CauseError {
			return false
		}
		first = cmp.Or(first, reason.Machine)
		return reason.Machine != first
	})
}

// recentlyFailedMachines lists the machines on which tasks of a job failed recently, while nothing of
// it has completed. It is tried elsewhere first: otherwise its tasks went to the same machine again
// and again, and a faulty job could not be told from a faulty machine.
func recentlyFailedMachines(r *jobrecord.Record, nowMS int64) (machines []string) {
	if r.CompletedTasks.Count() > 0 {
		return nil
	}
	for _, reason := range r.StopReasons {
		if reason.Cause == wire.CauseError && nowMS-reason.AtMS < avoidFailedMachineFor.Milliseconds() {
			machines = append(machines, reason.Machine)
		}
	}
	return machines
}

// maxTasksWhileFailing is how many tasks of a failing job may be assigned at a time: one, and two more
// for each that keeps running. Nothing of a service ever completes, nor soon of an array of long
// tasks, and a job that only met a few faulty machines must get on.
func (c *Core) maxTasksWhileFailing(j *job, assignments []jobrecord.Assignment) int {
	return 1 + 2*c.countSteadyTasks(j, assignments)
}

// countSteadyTasks counts the assigned tasks of a job that have run for steadyAfter.
func (c *Core) countSteadyTasks(j *job, assignments []jobrecord.Assignment) (steady int) {
	for _, assignment := range assignments {
		m := c.machines[assignment.Machine]
		status, ok := m.status.tasks[attemptKey{j.index, assignment.Task, assignment.Attempt}]
		if ok && status.state == wire.TaskRunning && m.status.incarnation == assignment.Incarnation &&
			c.now-status.stateSince >= steadyAfter {
			steady++
		}
	}
	return steady
}

// isQuarantined reports whether a machine seems to fail every task: several jobs have failed on it
// since a task last completed there. A job that fails everywhere does not count. jobs is Core.jobs.
func (h *machineHealth) isQuarantined(env *environment, jobs []*job) bool {
	if len(h.failedJobs) < quarantineJobThreshold || env.now-h.lastFailureAt >= quarantineDuration {
		return false
	}
	failed := 0
	for index := range h.failedJobs {
		if j := jobs[index]; j != nil && !failsEverywhere(j.record, env.unixMS()) {
			failed++
		}
	}
	return failed >= quarantineJobThreshold
}

// isProvenFaulty reports whether a quarantined machine must be returned: jobs that failed on it are
// healthy elsewhere.
func (c *Core) isProvenFaulty(m *machine) bool {
	if !m.health.isQuarantined(c.environment, c.jobs) {
		return false
	}
	healthy := 0
	for index := range m.health.failedJobs {
		if j := c.jobs[index]; j != nil && c.isHealthyJob(j) {
			healthy++
		}
	}
	return healthy >= returnHealthyJobThreshold
}

// isHealthyJob reports whether tasks of a job have completed, or keep running.
func (c *Core) isHealthyJob(j *job) bool {
	if j.record == nil {
		return false
	}
	return j.record.Stage == jobrecord.Done || j.record.CompletedTasks.Count() > 0 ||
		j.placement.completedTasks > 0 ||
		c.countSteadyTasks(j, j.assignments) > 0
}

// failureExplanation tells the user of a failing job what becomes of it.
func failureExplanation(r *jobrecord.Record, nowMS int64) string {
	if failsEverywhere(r, nowMS) {
		return "nothing of it has completed, and its tasks failed on several machines: it was probably " +
			"submitted with a mistake; it is tried a task at a time until it is cancelled or one completes"
	}
	return "nothing of it has completed, and its tasks failed on one machine: " +
		"it is tried a task at a time, elsewhere"
}
