package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// dispatchCommands works out what each machine must be told and sends it.
func (c *Core) dispatchCommands() {
	c.expireRelayedCommands()
	if !c.holdsLease() && !c.isStoreOutage() {
		return
	}
	// Requests are sockets, and those to machines that do not answer hold theirs for seconds: in a lost zone that are
	// all machines at once. So they are bounded, and those that probably hang have a part for themselves.
	hanging := 0
	for _, s := range c.commands.inFlight {
		if c.isUnresponsive(c.machines[s.machineIndex]) {
			hanging++
		}
	}
	// Only machines where something changed or is not settled yet are looked at.
	c.commands.dirtyMachines = slices.DeleteFunc(c.commands.dirtyMachines, func(m *machine) bool {
		if m.lifecycle.gone || !m.status.reported {
			m.commands.queued = false // its first report touches it again
			return true
		}
		if m.commands.requestID != 0 || c.now < m.commands.nextSendAt || !m.commands.dirty && c.now < m.commands.lastExaminedAt+c.cfg.CommandRetryInterval {
			return false
		}
		strained := c.isUnresponsive(m)
		if len(c.commands.inFlight) >= c.cfg.MaxCommandRequests || strained && hanging >= c.cfg.MaxCommandRequests/4 {
			return false // another's turn
		}
		m.commands.dirty = false
		m.commands.lastExaminedAt = c.now
		c.Stats.MachineLooks++
		open := c.dispatchTo(m)
		if strained && m.commands.requestID != 0 {
			hanging++
		}
		m.commands.queued = open || m.commands.requestID != 0
		return !m.commands.queued
	})
}

// isUnresponsive reports whether orders to a machine will probably stay without an answer.
func (c *Core) isUnresponsive(m *machine) bool {
	return m.commands.unanswered > 0 || c.now-m.status.lastHeartbeatAt > c.maxHeartbeatGap()
}

func (c *Core) attemptOf(m *machine, k attemptKey) *attempt {
	a := m.commands.attempts[k]
	if a == nil {
		a = &attempt{}
		m.commands.attempts[k] = a
	}
	return a
}

// dispatchTo sends what a machine must be told now, and reports whether another look is due.
func (c *Core) dispatchTo(m *machine) (open bool) {
	type due struct {
		attemptKey
		order wire.Command
	}
	var list []due
	var keys, clears []attemptKey
	add := func(op string, k attemptKey, grace float64) {
		a := c.attemptOf(m, k)
		if a.commandSent && c.now-a.lastCommandAt < c.cfg.CommandRetryInterval {
			return
		}
		a.lastCommandAt, a.commandSent = c.now, true
		o := wire.Command{Op: op, Task: wire.TaskName(c.jobs[k.jobIndex].id, int(k.task)), Attempt: k.attempt}
		if op == wire.OpStop {
			o.GracePeriodS = &grace
		}
		if op == wire.OpStart {
			a.startInFlight = true
			keys = append(keys, k)
			c.Stats.TaskStarts++
		}
		list = append(list, due{k, o})
	}
	for t, at := range m.allocation.assignments {
		j := c.jobs[t.jobIndex]
		if at.Incarnation != m.status.incarnation || !c.ownsJob(j) {
			continue
		}
		k := attemptKey{t.jobIndex, t.task, at.Attempt}
		p, there := m.status.tasks[k]
		open = open || !there || j.isFinal()
		switch {
		case !there && !j.isFinal():
			if m.lifecycle.interruptionDeadline == 0 && !m.lifecycle.returnRequested && c.holdsLease() && c.cancelAcks.quorum.IsFresh(c.now) && len(j.cancellation.waiters) == 0 {
				add(wire.OpStart, k, 0)
			}
		case !there || p.state == wire.TaskExited:
		case j.isFinal():
			c.allowImmediateResend(m, k)
			add(wire.OpStop, k, 0)
		default:
			if a := m.commands.attempts[k]; a != nil && a.stopReason != "" && p.state != wire.TaskCheckpointing {
				open = true
				add(wire.OpStop, k, a.stopGraceSeconds)
			}
		}
	}
	for k, p := range m.status.tasks {
		j := c.jobs[k.jobIndex]
		if a, ok := m.allocation.assignments[taskKey{k.jobIndex, k.task}]; ok && a.Attempt == k.attempt && a.Incarnation == m.status.incarnation || !c.ownsJob(j) {
			continue
		}
		open = true
		if j.write.inFlight || j.write.outcomeUnknown || !c.noStartPending(m, j, k) {
			continue
		}
		if j.revision == 0 && !c.isOrphan(m, j, k) {
			continue
		}
		// No record assigns it here: it has ended and that is committed, or it never should be.
		c.allowImmediateResend(m, k)
		if p.state == wire.TaskExited {
			clears = append(clears, k)
		} else {
			add(wire.OpStop, k, 0)
		}
	}
	// Nobody waits for a task to be forgotten: that goes with other orders, or after a while.
	if len(clears) == 0 {
		m.commands.nextClearAt = 0
	} else if m.commands.nextClearAt == 0 {
		m.commands.nextClearAt = c.now + c.cfg.EndedTaskClearDelay
	}
	if len(list) > 0 || m.commands.nextClearAt != 0 && c.now >= m.commands.nextClearAt || len(clears) > maxEndedReported {
		for _, k := range clears {
			add(wire.OpClear, k, 0)
		}
	}
	for k, a := range m.commands.attempts { // what is neither recorded nor reported is over
		open = open || a.startInFlight
		if _, ok := m.status.tasks[k]; ok || a.startInFlight || c.now-a.lastCommandAt < 10*time.Second {
			continue
		}
		if cur, ok := m.allocation.assignments[taskKey{k.jobIndex, k.task}]; !ok || cur.Attempt != k.attempt {
			if a.maxUnansweredToken < m.status.fencingToken || a.maxUnansweredToken == 0 {
				delete(m.commands.attempts, k)
			}
		}
	}
	if len(list) == 0 {
		return open
	}
	slices.SortFunc(list, func(x, y due) int { return x.compare(y.attemptKey) })
	body := wire.CommandBatch{FencingToken: c.leadership.fencingToken, Incarnation: m.status.incarnation}
	for _, d := range list {
		body.Commands = append(body.Commands, d.order)
	}
	id := c.nextID()
	m.commands.requestID, m.commands.requestToken, m.commands.requestAttempts = id, c.leadership.fencingToken, keys
	o := SendCommands{ID: id, Machine: m.name, Addr: m.identity.address, Batch: body}
	if by := c.relayPeer(m); by != "" {
		c.commands.inFlight[id] = inFlightCommands{m.index, c.now + c.cfg.RelayTimeout}
		c.emit(SendToPeer{Peer: by, Message: Message{Commands: &o}})
		return true
	}
	c.commands.inFlight[id] = inFlightCommands{machineIndex: m.index}
	c.emit(o)
	return true
}

const maxEndedReported = 8 // ended tasks that a machine reports at most

// relayPeer is the peer by which a machine that does not answer is tried, every other time.
func (c *Core) relayPeer(m *machine) string {
	in := c.controllers.membership.ReachableExcept(c.now, "")
	if m.commands.unanswered%2 == 0 || len(in) == 0 {
		return ""
	}
	return in[m.commands.unanswered/2%len(in)]
}

// expireRelayedCommands gives up requests passed on by others that stay without an outcome.
func (c *Core) expireRelayedCommands() {
	for _, id := range sortedKeys(c.commands.inFlight) {
		if s := c.commands.inFlight[id]; s.deadline != 0 && c.now >= s.deadline {
			c.handleCommandsResult(CommandsResult{ID: id, MaybeDelivered: true})
		}
	}
}

// isOrphan reports whether a reported task is of a job that does not exist. A job that is not
// known here may just have been accepted and placed by another controller, and its record be
// on its way: so only a read barrier after the report tells. (Without it, the tasks of other
// controllers' new jobs were stopped and cleared, and then started twice.)
func (c *Core) isOrphan(m *machine, j *job, k attemptKey) bool {
	a := c.attemptOf(m, k)
	if !a.orphanCheckInFlight && !a.isOrphan {
		a.orphanCheckInFlight = true
		c.afterReadBarrier(func(ok bool) {
			a.orphanCheckInFlight = false
			a.isOrphan = ok && j.revision == 0
			c.markMachineDirty(m)
		})
	}
	return a.isOrphan
}

// allowImmediateResend lets a different order for an attempt go out at once.
func (c *Core) allowImmediateResend(m *machine, k attemptKey) {
	if a := m.commands.attempts[k]; a != nil && !a.resentAtOnce {
		a.resentAtOnce = true
		a.commandSent = false
	}
}

func (c *Core) handleCommandsResult(in CommandsResult) {
	if r, ok := c.commands.relayed[in.ID]; ok {
		delete(c.commands.relayed, in.ID)
		if in.Heartbeat != nil {
			c.applyHeartbeat(in.Heartbeat, true)
		}
		in.ID = r.requestID
		c.sendToPeers(r.peer, Message{CommandsResult: &in})
		return
	}
	s, ok := c.commands.inFlight[in.ID]
	if !ok {
		return
	}
	delete(c.commands.inFlight, in.ID)
	m := c.machines[s.machineIndex]
	m.commands.requestID = 0
	m.commands.unanswered++
	if in.Status != 0 {
		m.commands.unanswered = 0
	} else {
		m.commands.lastUnansweredAt = c.now
	}
	answered := in.Status == 200 || in.Status == 409 || !in.MaybeDelivered
	for _, k := range m.commands.requestAttempts {
		if a := m.commands.attempts[k]; a != nil {
			a.startInFlight = false
			if !answered {
				a.maxUnansweredToken = max(a.maxUnansweredToken, m.commands.requestToken)
			}
		}
	}
	m.commands.requestAttempts = nil
	c.markMachineDirty(m)
	if in.Heartbeat != nil && in.Heartbeat.Machine == m.name {
		c.applyHeartbeat(in.Heartbeat, true)
	}
	switch in.Status {
	case 200:
	case 409:
		m.commands.nextSendAt = c.now + 300*time.Millisecond
		if in.Heartbeat != nil && in.Heartbeat.FencingToken > c.leadership.fencingToken {
			c.afterReadBarrier(func(bool) {})
		}
	default:
		m.commands.nextSendAt = c.now + c.cfg.CommandRetryInterval
	}
}

// stopTask has a task stopped, with time to save if it can.
func (c *Core) stopTask(m *machine, k attemptKey, s *wire.JobSpec, why string) {
	a := c.attemptOf(m, k)
	a.stopReason = why
	if s.CanCheckpoint {
		a.stopGraceSeconds = float64(s.CheckpointTimeMS)/1000 + 1
	}
	c.allowImmediateResend(m, k)
	c.markMachineDirty(m)
}

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

// forEachUnconfirmedStop calls f for each task of a cancelled job that is not proven to be off its machine, with the time since its cancellation.
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
		if t := m.commands.attempts[attemptKey{j.index, a.Task, a.Attempt}]; t != nil && t.maxUnansweredToken != 0 && m.status.fencingToken <= t.maxUnansweredToken && c.leadership.fencingToken <= t.maxUnansweredToken {
			c.raiseFencingToken()
		}
		if age > time.Duration(c.cfg.CancelScaleInShare*float64(c.cfg.CancelTimeout)) {
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

// returnMachinesInOutage returns machines on which cancelled tasks may still be, while the state service is down for all and so nobody leads: one that
// hangs or is cut off kept them beyond their time, as nothing but its return takes them off it. Returning needs neither a write nor a right. It
// may be repeated by anybody, and what is returned in vain costs work that is begun again. Whoever leads afterwards has the proof by returning
// them once more.
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
			share = c.cfg.CancelScaleInShare
		} else if _, there := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; !there {
			return // it has ended and was cleared by somebody with newer records; one that may still come is mayComeBack's
		}
		if age > time.Duration((share+outageReturnRankShare*float64(c.machineRank(m)))*float64(c.cfg.CancelTimeout)) {
			due[m.name] = true
		}
	})
	names := sortedKeys(due)
	names = names[:min(len(names), 100)] // in one request
	if len(names) == 0 {
		return
	}
	c.log("info", "machines returned in an outage: cancelled tasks may be on them", "machines", names)
	r.inFlight = true
	op := CloudRequest{ID: c.nextID(), Op: "return", MachineNames: names}
	c.autoscaler.calls[op.ID] = func(in CloudResult) {
		r.inFlight = false
		if in.Status == 200 {
			for _, n := range names {
				c.markMachineGone(c.internMachine(n))
			}
		}
	}
	c.emit(op)
}
