package core

import "time"

// lateStartThreshold is the time from the acceptance of a job to its first running task at which the start
// counts as late and is logged.
const lateStartThreshold = time.Minute

// recordTaskRunning records that a task of a job is running, and logs the job's first one if it started late:
// operators otherwise see only how long users waited.
// Only the controller that placed tasks of the job logs it: one that took the job over does not know whether
// it ran before.
func (c *Core) recordTaskRunning(j *job) {
	if j.placement.hasRun {
		return
	}
	j.placement.hasRun = true
	waited := time.Duration(c.unixMS()-j.record.AcceptedAtMS) * time.Millisecond
	if waited < lateStartThreshold || j.placement.lastPlacedMS == 0 || !c.ownership.ownsJob(j) {
		return
	}
	suppressed, ok := c.lateStartLog.allow(c.now)
	if !ok {
		return
	}
	c.log(LevelInfo, "job started late", "job", j.id, "class", j.record.Spec.Class, "tasks", j.record.Spec.Tasks,
		"after_ms", waited.Milliseconds(), "placed_ms", j.placedAfterMS(), "attempts", j.record.LastAttempt,
		"why", j.record.StopReasons, "others", suppressed)
}
