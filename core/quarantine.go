package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// A faulty job, such as one that was submitted with a mistake, fails on every machine until its user cancels
// it. Its record shows that to every controller: none of its tasks has completed, and its most recent tasks
// failed. From then on only a few of its tasks run at a time, on machines where it has not failed, and it
// causes little scale-out. A job that failed on several machines is no evidence against them; a job that
// failed on a single machine may have met a faulty one.

const (
	// failingThreshold is the number of errors, among the stop reasons that a record keeps, at which its job
	// counts as failing.
	failingThreshold = 3
	// failureWindow is the age at which an error stops counting: a service that once ran on faulty machines
	// must start at once when all its replicas are lost.
	failureWindow = 5 * time.Minute
	// steadyAfter is how long a task must have run before more tasks of its failing job may be tried.
	steadyAfter = 10 * time.Second
	// quarantineJobThreshold is the number of jobs that failed on a machine at which the machine is quarantined.
	quarantineJobThreshold = 3
	// faultyMachineJobThreshold is the number of these jobs that must be healthy elsewhere to prove the machine
	// faulty.
	faultyMachineJobThreshold = 2
	// avoidFailedMachineFor is how long a job avoids a machine where it failed. It is bounded because there
	// may be no other machine.
	avoidFailedMachineFor = 30 * time.Second
	// quarantineDuration is the time from the last failure on a quarantined machine until it is used again,
	// unless it was proven faulty.
	quarantineDuration = time.Minute
)

// isFailing reports whether a job, according to its record, has only failed recently and completed nothing.
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

// failsEverywhere reports whether a job, according to its record, seems to fail on every machine: it is
// failing, and its errors are from more than one machine.
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

// recentlyFailedMachines returns the machines on which tasks of a job failed recently, unless any of its
// tasks has completed. The job is tried elsewhere first. Otherwise its tasks go to the same machine again and
// again, and a faulty job can't be distinguished from a faulty machine.
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

// maxTasksWhileFailing returns how many tasks of a failing job may be assigned at a time: one, and two more
// for each that keeps running. The limit must grow without completed tasks, because those of a service never
// complete and those of an array of long tasks not soon, and a job that only met a few faulty machines must
// make progress.
func (c *Core) maxTasksWhileFailing(j *job, assignments []jobrecord.Assignment) int {
	return 1 + 2*c.countSteadyTasks(j, assignments)
}

// countSteadyTasks counts the assigned tasks of a job that have run for at least steadyAfter.
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

// isQuarantined reports whether a machine seems to fail every task: several jobs have failed on it since a
// task last completed there. Jobs that fail everywhere do not count. jobs is Core.jobs.
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

// isProvenFaulty reports whether a quarantined machine must be scaled in because jobs that failed on it are
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
	return healthy >= faultyMachineJobThreshold
}

// isHealthyJob reports whether tasks of a job have completed or keep running.
func (c *Core) isHealthyJob(j *job) bool {
	if j.record == nil {
		return false
	}
	return j.record.Stage == jobrecord.Done || j.record.CompletedTasks.Count() > 0 ||
		j.placement.completedTasks > 0 ||
		c.countSteadyTasks(j, j.assignments) > 0
}

// failureExplanation returns the note that tells the user of a failing job how it is handled.
func failureExplanation(r *jobrecord.Record, nowMS int64) string {
	if failsEverywhere(r, nowMS) {
		return "nothing of it has completed, and its tasks failed on several machines: it was probably " +
			"submitted with a mistake; it is tried a task at a time until it is cancelled or one completes"
	}
	return "nothing of it has completed, and its tasks failed on one machine: " +
		"it is tried a task at a time, elsewhere"
}
