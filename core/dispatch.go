package core

import (
	"dewlift/wire"
	"slices"
	"time"
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
		if m.commands.requestID != 0 || c.now < m.commands.nextSendAt ||
			!m.commands.dirty && c.now < m.commands.lastExaminedAt+c.cfg.Agents.CommandRetryInterval {
			return false
		}
		strained := c.isUnresponsive(m)
		if len(c.commands.inFlight) >= c.cfg.Agents.MaxCommandRequests || strained && hanging >= c.cfg.Agents.MaxCommandRequests/4 {
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
		if a.commandSent && c.now-a.lastCommandAt < c.cfg.Agents.CommandRetryInterval {
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
			if m.lifecycle.interruptionDeadline == 0 && !m.lifecycle.returnRequested && c.holdsLease() &&
				c.cancelAcks.quorum.IsFresh(c.now) &&
				len(j.cancellation.waiters) == 0 {
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
		if a, ok := m.allocation.assignments[taskKey{k.jobIndex, k.task}]; ok && a.Attempt == k.attempt &&
			a.Incarnation == m.status.incarnation ||
			!c.ownsJob(j) {
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
		m.commands.nextClearAt = c.now + c.cfg.Agents.EndedTaskClearDelay
	}
	if len(list) > 0 || m.commands.nextClearAt != 0 && c.now >= m.commands.nextClearAt ||
		len(clears) > maxEndedReported {
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
		c.commands.inFlight[id] = inFlightCommands{m.index, c.now + c.cfg.Cluster.RelayTimeout}
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
	if in.Status != wire.StatusNoAnswer {
		m.commands.unanswered = 0
	} else {
		m.commands.lastUnansweredAt = c.now
	}
	answered := in.Status == wire.StatusOK || in.Status == wire.StatusConflict || !in.MaybeDelivered
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
	case wire.StatusOK:
	case wire.StatusConflict:
		m.commands.nextSendAt = c.now + 300*time.Millisecond
		if in.Heartbeat != nil && in.Heartbeat.FencingToken > c.leadership.fencingToken {
			c.afterReadBarrier(func(bool) {})
		}
	default:
		m.commands.nextSendAt = c.now + c.cfg.Agents.CommandRetryInterval
	}
}

// inFlightCommands is a request with orders on its way; one that another controller passes on has a time
// by which it counts as unanswered.
type inFlightCommands struct {
	machineIndex int32
	deadline     time.Duration
}

// relayedCommands is another controller's request that this one passed on.
type relayedCommands struct {
	peer      string
	requestID uint64
}

// commandDispatch is commands to agents: which machines may need some, requests in flight, requests
// relayed for other controllers.
type commandDispatch struct {
	dirtyMachines       []*machine // those that may need orders
	nextDrainAt         time.Duration
	nextReturnRequestAt time.Duration
	inFlight            map[uint64]inFlightCommands
	relayed             map[uint64]relayedCommands
}
