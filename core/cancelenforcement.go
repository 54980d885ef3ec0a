package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Enforcing cancellations: cancelled tasks must be off their machines within Config.Agents.CancelTimeout. If
// an agent does not confirm that, scaling in its machine proves it. This file contains what job owners
// request of the leader, what every controller does in an outage of the store, and how the leader handles the
// requests.

const (
	outageScaleInInterval = time.Second // between two scale-in requests during a store outage

	// outageScaleInShare is the part of the cancel timeout, from 0 to 1, after which machines that still send
	// heartbeats are scaled in too, during a store outage.
	outageScaleInShare = 0.7

	// outageScaleInRankShare is the part of the cancel timeout by which each controller waits longer than the
	// one ranked before it for a machine, so that not all send the same request.
	outageScaleInRankShare = 0.04

	maxOutageScaleIns = 100 // machines per scale-in request

	// silenceReportGrace is the time beyond the silence timeout after which an owner of tasks on a silent
	// machine reports it to the leader.
	silenceReportGrace = 2 * time.Second
)

// outageScaleInState is the state of scaling in machines with cancelled tasks while there is no leader.
type outageScaleInState struct {
	inFlight      bool // a request is in flight
	nextAttemptAt time.Duration
}

// forEachUnconfirmedStop calls visit for each task of a cancelled job that is not proven to be off its
// machine. age is the time since the cancellation.
func (c *Core) forEachUnconfirmedStop(
	visit func(j *job, assignment jobrecord.Assignment, host *machine, age time.Duration),
) {
	for _, j := range c.openJobs {
		if !j.isCancelledWithTasks() {
			continue
		}
		age := c.cancelAcks.timeSinceCancel(j)
		for _, assignment := range j.assignments {
			// A reported end is proof even while its write waits for the rate limit. Otherwise machines are
			// scaled in for tasks that stopped long before.
			if ended, _ := c.attemptOutcome(j, assignment); !ended {
				visit(j, assignment, c.machines[assignment.Machine], age)
			}
		}
	}
}

// enforceCancellations raises the fencing token to invalidate late starts of cancelled tasks, and returns the names of
// the machines that did not confirm in time that such a task is gone.
func (c *Core) enforceCancellations() (overdue []string) {
	maxAge := c.cancelAcks.timeoutShare(c.cfg.Agents.CancelScaleInShare)
	c.forEachUnconfirmedStop(func(j *job, assignment jobrecord.Assignment, host *machine, age time.Duration) {
		if !c.ownership.ownsJob(j) {
			return
		}
		if c.mayStartLate(host, attemptKey{j.index, assignment.Task, assignment.Attempt}) {
			c.raiseFencingToken(raiseForCancelled)
		}
		if age > maxAge {
			overdue = append(overdue, host.name)
		}
	})
	return overdue
}

// timeoutShare returns the given part of CancelTimeout, the time within which cancelled tasks must be gone.
func (a *cancelAcks) timeoutShare(share float64) time.Duration {
	return time.Duration(share * float64(a.cfg.Agents.CancelTimeout))
}

// scaleInDuringOutage scales in machines on which cancelled tasks may still run while no controller can
// reach the store, so that there is no leader to do it. Otherwise an agent that hangs or is unreachable keeps
// such tasks beyond the cancel timeout. The request needs neither a write nor ownership and may be repeated
// by any controller; at worst, work is lost and starts again elsewhere. The next leader repeats the request
// to obtain the proof.
func (c *Core) scaleInDuringOutage() {
	state := &c.outageScaleIn
	if state.inFlight || c.now < state.nextAttemptAt || c.ownLease.isHeld() || !c.isStoreOutage() {
		return
	}
	state.nextAttemptAt = c.now + outageScaleInInterval
	names := c.overdueMachinesInOutage()
	if len(names) == 0 {
		return
	}
	c.log(LevelInfo, "store outage: scaling in machines that may still run cancelled tasks", "machines", names)
	state.inFlight = true
	request := CloudRequest{ID: c.nextID(), Op: CloudScaleIn, MachineNames: names}
	c.autoscaler.pendingCalls[request.ID] = func(in CloudResult) {
		state.inFlight = false
		if in.Status == wire.StatusOK {
			for _, name := range names {
				c.markMachineGone(c.internMachine(name))
			}
		}
	}
	c.emit(request)
}

// overdueMachinesInOutage returns the names of the machines that this controller must scale in now because of
// cancelled tasks, sorted and at most maxOutageScaleIns.
func (c *Core) overdueMachinesInOutage() []string {
	overdue := map[string]bool{}
	c.forEachUnconfirmedStop(func(j *job, assignment jobrecord.Assignment, host *machine, age time.Duration) {
		share := outageScaleInShare
		if c.now-max(host.status.lastHeartbeatAt, c.stalls.runningSince) > c.agents.silenceTimeout() {
			share = c.cfg.Agents.CancelScaleInShare
		} else if _, found := host.status.tasks[attemptKey{j.index, assignment.Task, assignment.Attempt}]; !found {
			// The task has ended and a controller with newer records has cleared it. A task that a delayed
			// command may still start is handled by findRestartableCancelledTask.
			return
		}
		if age > c.cancelAcks.timeoutShare(share+outageScaleInRankShare*float64(c.machineRank(host))) {
			overdue[host.name] = true
		}
	})
	names := sortedKeys(overdue)
	return names[:min(len(names), maxOutageScaleIns)]
}

// requestScaleIns reports to the leader the machines whose scale-in is needed as proof: those that hold
// cancelled tasks for too long, and silent ones. A controller without a lease must not judge silence: it may
// itself be the unreachable one, and would have machines scaled in that respond to the others.
func (c *Core) requestScaleIns() {
	if !c.ownLease.isHeld() {
		return
	}
	overdue := c.enforceCancellations()
	var silent []string
	for _, candidate := range c.aliveMachines {
		if candidate.lifecycle.gone || !c.runsOwnTasks(candidate) {
			continue
		}
		c.agents.pollOverdueAgent(candidate)
		if c.now-candidate.status.lastHeartbeatAt > c.agents.silenceTimeout()+silenceReportGrace {
			silent = append(silent, candidate.name)
		}
	}
	if len(overdue)+len(silent) == 0 {
		return
	}
	if c.leaderState != nil {
		c.leaderState.handleScaleInRequest(c, overdue, silent)
	} else if c.leadership.leader.modRevision != 0 {
		c.controllers.sendToPeers(
			c.leadership.leader.Holder,
			Message{MachinesToScaleIn: overdue, SilentMachines: silent},
		)
	}
}

// runsOwnTasks reports whether tasks of jobs that this controller owns are assigned to a machine.
func (c *Core) runsOwnTasks(m *machine) bool {
	for key := range m.allocation.assignments {
		if c.ownership.ownsJob(c.jobs[key.jobIndex]) {
			return true
		}
	}
	return false
}

// handleScaleInRequest scales in the machines whose tasks' owners need proof that the tasks are gone, and
// announces again those that are already gone. Reported silence alone does not cause a scale-in: the leader
// relies on the heartbeats that it receives itself (checkMachines).
func (l *leaderState) handleScaleInRequest(c *Core, overdue, silent []string) {
	for _, name := range overdue {
		if target := l.findOrAnnounceGone(c, name); target != nil {
			c.autoscaler.markForScaleIn(target, "holds cancelled tasks")
		}
	}
	for _, name := range silent {
		l.findOrAnnounceGone(c, name)
	}
}

// findOrAnnounceGone returns the machine with a name. If the machine is gone, it announces that to the owners
// of its tasks and returns nil.
func (l *leaderState) findOrAnnounceGone(c *Core, name string) *machine {
	target := c.internMachine(name)
	if !target.lifecycle.gone {
		return target
	}
	if !slices.Contains(l.newlyGone, name) {
		l.announceGone(name)
	}
	return nil
}
