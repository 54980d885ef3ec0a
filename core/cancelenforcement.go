package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"slices"
	"time"
)

// forEachUnconfirmedStop calls f for each task of a cancelled job that is not proven to be off its
// machine, with the time since its cancellation.
func (c *Core) forEachUnconfirmedStop(f func(j *job, a jobrecord.Assignment, m *machine, age time.Duration)) {
	for _, j := range c.openJobs {
		if !j.isCancelledWithTasks() {
			continue
		}
		age := c.timeSinceCancel(j)
		for _, a := range j.assignments {
			// A reported end is proof, also while the write of it waits for the change budget:
			// machines were returned for tasks that had long stopped.
			if ended, _ := c.attemptOutcome(j, a); !ended {
				f(j, a, c.machines[a.Machine], age)
			}
		}
	}
}

// enforceCancellations sees to it that cancelled tasks are gone in time: unanswered starts are fenced
// off with a higher token, and a machine that does not confirm is returned.
func (c *Core) enforceCancellations() (suspects []string) {
	c.forEachUnconfirmedStop(func(j *job, a jobrecord.Assignment, m *machine, age time.Duration) {
		if !c.ownsJob(j) {
			return
		}
		if t := m.commands.attempts[attemptKey{j.index, a.Task, a.Attempt}]; t != nil && t.maxUnansweredToken != 0 &&
			m.status.fencingToken <= t.maxUnansweredToken &&
			c.leadership.fencingToken <= t.maxUnansweredToken {
			c.raiseFencingToken()
		}
		if age > time.Duration(c.cfg.Agents.CancelScaleInShare*float64(c.cfg.Agents.CancelTimeout)) {
			suspects = append(suspects, m.name)
		}
	})
	return suspects
}

// outageReturnState is this controller's work for cancelled jobs while nobody leads.
type outageReturnState struct {
	inFlight      bool // a return is on its way
	nextAttemptAt time.Duration
}

const (
	outageReturnInterval  = time.Second
	outageReturnShare     = 0.7  // of the time of a cancellation, after which also machines that report are returned
	outageReturnRankShare = 0.04 // of it, that each controller leaves to the one before it in a machine's order
)

// returnMachinesInOutage returns machines on which cancelled tasks may still be, while the state
// service is down for all and so nobody leads: one that hangs or is cut off kept them beyond their
// time, as nothing but its return takes them off it. Returning needs neither a write nor a right.
// It may be repeated by anybody, and what is returned in vain costs work that is begun again.
// Whoever leads afterwards has the proof by returning them once more.
func (c *Core) returnMachinesInOutage() {
	r := &c.outageReturn
	if r.inFlight || c.now < r.nextAttemptAt || c.holdsLease() || !c.isStoreOutage() {
		return
	}
	r.nextAttemptAt = c.now + outageReturnInterval
	due := map[string]bool{}
	c.forEachUnconfirmedStop(func(j *job, a jobrecord.Assignment, m *machine, age time.Duration) {
		share := outageReturnShare
		if c.now-max(m.status.lastHeartbeatAt, c.stalls.runningSince) > c.silenceTimeout() {
			share = c.cfg.Agents.CancelScaleInShare
		} else if _, there := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; !there {
			// it has ended and was cleared by somebody with newer records; one that may still come is mayComeBack's
			return
		}
		if age > time.Duration((share+outageReturnRankShare*float64(c.machineRank(m)))*float64(c.cfg.Agents.CancelTimeout)) {
			due[m.name] = true
		}
	})
	names := sortedKeys(due)
	names = names[:min(len(names), 100)] // in one request
	if len(names) == 0 {
		return
	}
	c.log(LevelInfo, "machines returned in an outage: cancelled tasks may be on them", "machines", names)
	r.inFlight = true
	op := CloudRequest{ID: c.nextID(), Op: CloudScaleIn, MachineNames: names}
	c.autoscaler.calls[op.ID] = func(in CloudResult) {
		r.inFlight = false
		if in.Status == wire.StatusOK {
			for _, n := range names {
				c.markMachineGone(c.internMachine(n))
			}
		}
	}
	c.emit(op)
}

// requestReturns names to the leader machines whose return is needed as proof: those that hold cancelled
// tasks too long, and silent ones. A controller without a lease is no judge of silence: it may
// be the one that was cut off, and its news of machines that answered others all along would
// have them returned.
func (c *Core) requestReturns() {
	if !c.holdsLease() {
		return
	}
	must := c.enforceCancellations()
	var silent []string
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || !c.runsOwnTasks(m) {
			continue
		}
		c.pollQuietAgent(m)
		if c.now-m.status.lastHeartbeatAt > c.silenceTimeout()+2*time.Second {
			silent = append(silent, m.name)
		}
	}
	if len(must)+len(silent) == 0 {
		return
	}
	if c.leaderState != nil {
		c.leaderState.handleReturnRequest(c, must, silent)
	} else if c.leadership.leader.mark != 0 {
		c.sendToPeers(c.leadership.leader.Node, Message{MachinesToReturn: must, SilentMachines: silent})
	}
}

// runsOwnTasks reports whether a machine holds tasks of this controller's jobs.
func (c *Core) runsOwnTasks(m *machine) bool {
	for k := range m.allocation.assignments {
		if c.ownsJob(c.jobs[k.jobIndex]) {
			return true
		}
	}
	return false
}

// handleReturnRequest returns machines whose tasks' owners need proof that they are gone. For silence the
// leader's own ears count.
func (l *leaderState) handleReturnRequest(c *Core, must, silent []string) {
	look := func(n string) *machine {
		m := c.internMachine(n)
		if !m.lifecycle.gone {
			return m
		}
		if !slices.Contains(l.newlyGone, n) {
			l.announceGone(n)
		}
		return nil
	}
	for _, n := range must {
		if m := look(n); m != nil {
			c.markForReturn(m, "holds cancelled tasks")
		}
	}
	for _, n := range silent {
		look(n) // a silent machine is found by watchMachines
	}
}
