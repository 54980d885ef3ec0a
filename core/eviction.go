package core

import (
	"time"

	"dewlift/wire"
)

const (
	// evictionInterval is the time between two checks of the machines with an interruption notice.
	evictionInterval = 100 * time.Millisecond
	// checkpointMargin is the time that a checkpoint needs in addition to its own duration, to send the stop
	// and to begin. A task runs on while the notice leaves more time.
	checkpointMargin = 4 * time.Second
)

// evictInterrupted stops tasks on machines with an interruption notice if they gain nothing by running on:
// tasks that will not complete in time restart elsewhere at once, and tasks that can checkpoint get the time
// for it.
func (c *Core) evictInterrupted() {
	if c.now < c.commands.nextEvictionCheckAt {
		return
	}
	c.commands.nextEvictionCheckAt = c.now + evictionInterval
	for _, m := range c.aliveMachines {
		if !m.lifecycle.gone && m.lifecycle.interruptionDeadline != 0 {
			c.evictTasks(m)
		}
	}
}

// evictTasks stops the tasks of a machine with an interruption notice that must not run on.
func (c *Core) evictTasks(m *machine) {
	for _, assignment := range m.sortedAssignments() {
		j := c.jobs[assignment.jobIndex]
		spec := j.record.Spec
		if spec == nil || !c.ownership.ownsJob(j) || j.isFinal() {
			continue
		}
		key := attemptKey{assignment.jobIndex, assignment.Task, assignment.Attempt}
		attempt := m.commands.attemptOf(key)
		status, reported := m.status.tasks[key]
		if attempt.stopReason != "" || !reported || status.state == wire.TaskExited ||
			status.state == wire.TaskCheckpointing {
			continue
		}
		if !c.mayRunUntilInterruption(spec, status, m.lifecycle.interruptionDeadline-c.now) {
			c.stopTask(m, key, spec, "spot notice")
		}
	}
}

// mayRunUntilInterruption reports whether a task may run on although its machine is interrupted after the
// given time: it will complete before, or there is time left to checkpoint it later. Replicas of services
// never complete.
func (c *Core) mayRunUntilInterruption(spec *wire.JobSpec, status taskStatus, notice time.Duration) bool {
	if spec.Service {
		return false
	}
	remaining := time.Duration(spec.EstimatedRuntimeMS) * time.Millisecond
	if status.state == wire.TaskRunning {
		remaining -= c.now - status.stateSince
	}
	checkpoint := time.Duration(spec.CheckpointTimeMS) * time.Millisecond
	return remaining < notice || spec.CanCheckpoint && notice > checkpoint+checkpointMargin
}
