package core

import (
	"dewlift/wire"
	"time"
)

// drainInterrupted stops the tasks of machines that the cloud is about to take, where waiting for the end
// gains nothing: those that should not complete in time restart elsewhere at once, and those
// that save are given the time for it.
func (c *Core) drainInterrupted() {
	if c.now < c.commands.nextDrainAt {
		return
	}
	c.commands.nextDrainAt = c.now + 100*time.Millisecond
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || m.lifecycle.interruptionDeadline == 0 {
			continue
		}
		for _, t := range m.sortedAssignments() {
			j := c.jobs[t.jobIndex]
			s := j.record.Spec
			if s == nil || !c.ownsJob(j) || j.isFinal() {
				continue
			}
			k := attemptKey{t.jobIndex, t.Task, t.Attempt}
			a := c.attemptOf(m, k)
			p, there := m.status.tasks[k]
			if a.stopReason != "" || !there || p.state == wire.TaskExited || p.state == wire.TaskCheckpointing {
				continue
			}
			notice := m.lifecycle.interruptionDeadline - c.now
			left := time.Duration(s.EstimatedRuntimeMS) * time.Millisecond
			save := time.Duration(s.CheckpointTimeMS) * time.Millisecond
			if p.state == wire.TaskRunning {
				left -= c.now - p.stateSince
			}
			if !s.Service && left < notice || s.CanCheckpoint && !s.Service && notice > save+4*time.Second {
				continue
			}
			c.stopTask(m, k, s, "spot notice")
		}
	}
}
