package core

import "time"

const (
	// lateStart is the time after its acceptance from which on the first running task of a job is logged.
	lateStartThreshold = time.Minute
	// lateStartLogInterval bounds the lines about late starts: the jobs between two are counted.
	lateStartLogInterval = time.Second
)

// lateStartLog says why jobs began late: operators see the time that users waited, and not where it went.
type lateStartLog struct {
	nextAt     time.Duration
	suppressed int // late starts since the last line
}

// recordTaskRunning logs the first task of a job that runs, if that was long after the acceptance. Only the controller
// that placed tasks of the job says so: one that took it over does not know whether it ran before.
func (c *Core) recordTaskRunning(j *job) {
	if j.placement.hasRun {
		return
	}
	j.placement.hasRun = true
	waited := time.Duration(c.unixMS()-j.record.AcceptedAtMS) * time.Millisecond
	if waited < lateStartThreshold || j.placement.lastPlacedMS == 0 || !c.ownership.ownsJob(j) {
		return
	}
	if c.now < c.lateStarts.nextAt {
		c.lateStarts.suppressed++
		return
	}
	c.log(LevelInfo, "job began late", "job", j.id, "class", j.record.Spec.Class, "tasks", j.record.Spec.Tasks,
		"after_ms", waited.Milliseconds(), "placed_ms", j.placedAfterMS(), "attempts", j.record.LastAttempt,
		"why", j.record.StopReasons, "others", c.lateStarts.suppressed)
	c.lateStarts = lateStartLog{nextAt: c.now + lateStartLogInterval}
}
