package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Enforcing cancellations: cancelled tasks must be off their machines within
// Config.Agents.CancelTimeout. Where an agent does not confirm that, scaling in its machine is the
// proof. Here is what the owners of jobs request of the leader, what any controller does in an
// outage of the store, and how the leader handles those requests.

const (
	outageReturnInterval = time.Second // between scale-in requests in an outage

	// outageReturnShare is the share of the cancel timeout after which machines that still send
	// heartbeats are scaled in too, in an outage.
	outageReturnShare = 0.7

	// outageReturnRankShare is the share of the cancel timeout that each controller leaves to the one
	// ranked before it for a machine, so that not all send the same request.
	outageReturnRankShare = 0.04

	maxOutageReturns = 100 // machines in one scale-in request

	// silenceReportGrace is how much longer than the silence timeout a machine must be silent before
	// an owner of its tasks reports it to the leader.
	silenceReportGrace = 2 * time.Second
)

// outageReturnState is this controller's scaling in for cancelled tasks while there is no leader.
type outageReturnState struct {
	inFlight      bool // a request is in flight
	nextAttemptAt time.Duration
}

// forEachUnconfirmedStop calls visit for each task of a cancelled job that is not proven to be off
// its machine, with the time since the cancellation.
func (c *Core) forEachUnconfirmedStop(
	visit func(j *job, assignment jobrecord.Assignment, host *machine, age time.Duration),
) {
	for _, j := range c.openJobs {
		if !j.isCancelledWithTasks() {
			continue
		}
		age := c.cancelAcks.timeSinceCancel(j)
		for _, assignment := range j.assignments {
			// A reported end is proof even while its write waits for the rate limit: machines were
			// once scaled in for tasks that had stopped long before.
			if ended, _ := c.attemptOutcome(j, assignment); !ended {
				visit(j, assignment, c.machines[assignment.Machine], age)
			}
		}
	}
}

// enforceCancellations fences off unanswered starts of cancelled tasks with a higher fencing token,
// and lists the machines that did not confirm in time that such a task is gone.
func (c *Core) enforceCancellations() (overdue []string) {
	maxAge := c.cancelAcks.timeoutShare(c.cfg.Agents.CancelScaleInShare)
	c.forEachUnconfirmedStop(func(j *job, assignment jobrecord.Assignment, host *machine, age time.Duration) {
		if !c.ownership.ownsJob(j) {
			return
		}
		attempt := host.commands.attempts[attemptKey{j.index, assignment.Task, assignment.Attempt}]
		if attempt != nil && attempt.maxUnansweredToken != 0 &&
			host.status.fencingToken <= attempt.maxUnansweredToken &&
			c.leadership.fencingToken <= attempt.maxUnansweredToken {
			c.raiseFencingToken()
		}
		if age > maxAge {
			overdue = append(overdue, host.name)
		}
	})
	return overdue
}

// timeoutShare is a share of the time within which cancelled tasks must be gone.
func (a *cancelAcks) timeoutShare(share float64) time.Duration {
	return time.Duration(share * float64(a.cfg.Agents.CancelTimeout))
}

// returnMachinesInOutage scales in machines on which cancelled tasks may still run while the store
// is down for all controllers, so that there is no leader to do it. Without this, an agent that
// hangs or is unreachable kept such tasks beyond the cancel timeout. The request needs neither a
// write nor ownership, may be repeated by any controller, and at worst costs work that starts again
// elsewhere. The next leader repeats it to have proof.
func (c *Core) returnMachinesInOutage() {
	state := &c.outageReturn
	if state.inFlight || c.now < state.nextAttemptAt || c.ownLease.isHeld() || !c.isStoreOutage() {
		return
	}
	state.nextAttemptAt = c.now + outageReturnInterval
	names := c.overdueMachinesInOutage()
	if len(names) == 0 {
		return
	}
	c.log(LevelInfo, "scaling in machines in a store outage: cancelled tasks may be on them", "machines", names)
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

// overdueMachinesInOutage names the machines that this controller has to scale in now because of
// cancelled tasks, at most maxOutageReturns, in order of their names.
func (c *Core) overdueMachinesInOutage() []string {
	overdue := map[string]bool{}
	c.forEachUnconfirmedStop(func(j *job, assignment jobrecord.Assignment, host *machine, age time.Duration) {
		share := outageReturnShare
		if c.now-max(host.status.lastHeartbeatAt, c.stalls.runningSince) > c.agents.silenceTimeout() {
			share = c.cfg.Agents.CancelScaleInShare
		} else if _, there := host.status.tasks[attemptKey{j.index, assignment.Task, assignment.Attempt}]; !there {
			// It has ended and was cleared by a controller with newer records. One whose start may
			// still arrive is findRestartableCancelledTask's concern.
			return
		}
		if age > c.cancelAcks.timeoutShare(share+outageReturnRankShare*float64(c.machineRank(host))) {
			overdue[host.name] = true
		}
	})
	names := sortedKeys(overdue)
	return names[:min(len(names), maxOutageReturns)]
}

// requestReturns names to the leader the machines whose scale-in is needed as proof: those that hold
// cancelled tasks too long, and silent ones. A controller without a lease must not judge silence: it
// may be the unreachable one, and would have machines scaled in that answer the others.
func (c *Core) requestReturns() {
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
		c.leaderState.handleReturnRequest(c, overdue, silent)
	} else if c.leadership.leader.modRevision != 0 {
		c.controllers.sendToPeers(c.leadership.leader.Holder, Message{MachinesToReturn: overdue, SilentMachines: silent})
	}
}

// runsOwnTasks reports whether a machine has tasks of jobs that this controller owns.
func (c *Core) runsOwnTasks(m *machine) bool {
	for key := range m.allocation.assignments {
		if c.ownership.ownsJob(c.jobs[key.jobIndex]) {
			return true
		}
	}
	return false
}

// handleReturnRequest scales in machines whose tasks' owners need proof that the tasks are gone, and
// announces again those that are gone already. Reported silence alone scales in nothing: the leader
// goes by the heartbeats that it receives itself (checkMachines).
func (l *leaderState) handleReturnRequest(c *Core, overdue, silent []string) {
	for _, name := range overdue {
		if target := l.findOrAnnounceGone(c, name); target != nil {
			c.autoscaler.markForReturn(target, "holds cancelled tasks")
		}
	}
	for _, name := range silent {
		l.findOrAnnounceGone(c, name)
	}
}

// findOrAnnounceGone is the machine of a name. If it is gone, that is announced to the owners of its
// tasks, and nil returned.
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
