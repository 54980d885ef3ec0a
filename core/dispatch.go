package core

import (
	"slices"
	"time"

	"dewlift/wire"
)

const (
	// unresponsiveRequestDivisor is the divisor of MaxCommandRequests that gives the limit of requests in
	// flight to machines that probably do not respond.
	unresponsiveRequestDivisor = 4
	// maxEndedTasksBeforeClear is the number of ended tasks reported by a machine above which they are
	// cleared without delay.
	maxEndedTasksBeforeClear = 8
	// attemptRetention is the time since its last command after which the state of an attempt that is neither
	// assigned nor reported may be evicted.
	attemptRetention = 10 * time.Second
	// maxCommandBytes is the maximum size of the commands in a request, in bytes: an agent accepts wire.MaxBodyBytes,
	// of which the fencing token and the incarnation take less than the rest.
	maxCommandBytes = wire.MaxBodyBytes - 1024
	// conflictBackoff is the time without commands to a machine after it rejected a command batch.
	conflictBackoff = 300 * time.Millisecond
)

// commandDispatch is the state of sending commands to agents: the machines that may need commands, the
// requests in flight, and the requests relayed for peers.
type commandDispatch struct {
	*environment
	agents      *agentLiveness
	controllers *controllerSet

	dirtyMachines        []*machine                  // machines that may need commands
	nextEvictionCheckAt  time.Duration               // when machines with an interruption notice are next checked
	nextScaleInRequestAt time.Duration               // when the leader is next asked to scale in machines
	inFlight             map[uint64]inFlightCommands // by request ID
	relayed              map[uint64]relayedCommands  // by the ID of this controller's request
	fenceWaiters         fenceWaiters
}

// inFlightCommands is a command request whose outcome is not known yet.
type inFlightCommands struct {
	machineIndex int32
	relay        string        // the peer that sends it to the agent; empty: this controller does
	deadline     time.Duration // when a relayed request counts as unanswered
}

// relayedCommands is a peer's command request that this controller sends on its behalf.
type relayedCommands struct {
	peer      string
	requestID uint64 // ID of the request at the peer
}

// dispatchCommands sends the machines the commands that they need. It examines only machines with a change or
// with unfinished work.
//
// Each request holds a socket, and a request to a machine that does not respond holds it for seconds; in a
// lost zone, that is every machine. So the number of requests in flight is bounded, with a smaller bound for
// machines that probably do not respond.
func (c *Core) dispatchCommands() {
	c.expireRelayedCommands()
	c.releaseFenceWaiters()
	if !c.ownLease.isHeld() && !c.isStoreOutage() {
		return
	}
	unresponsive := c.commands.countUnresponsiveRequests(c.machines)
	c.commands.dirtyMachines = slices.DeleteFunc(c.commands.dirtyMachines, func(m *machine) bool {
		if m.lifecycle.gone || !m.status.reported {
			m.commands.inDirtyList = false // its first heartbeat adds it again
			return true
		}
		if !c.commands.isDue(m) {
			return false
		}
		isUnresponsive := c.commands.isUnresponsive(m)
		limit := c.cfg.Agents.MaxCommandRequests
		if len(c.commands.inFlight) >= limit || isUnresponsive && unresponsive >= limit/unresponsiveRequestDivisor {
			return false
		}
		m.commands.dirty = false
		m.commands.lastExaminedAt = c.now
		c.Stats.MachineLooks++
		needsRecheck := c.dispatchTo(m)
		if isUnresponsive && m.commands.requestID != 0 {
			unresponsive++
		}
		m.commands.inDirtyList = needsRecheck || m.commands.requestID != 0
		return !m.commands.inDirtyList
	})
	c.raiseTokenForWaiters()
}

// countUnresponsiveRequests counts the requests in flight to machines that probably do not respond. machines
// is Core.machines.
func (d *commandDispatch) countUnresponsiveRequests(machines []*machine) int {
	count := 0
	for _, request := range d.inFlight {
		if d.isUnresponsive(machines[request.machineIndex]) {
			count++
		}
	}
	return count
}

// isDue reports whether a machine must be examined: it has no request in flight and is not backing off, and
// something changed or the retry interval has passed.
func (d *commandDispatch) isDue(m *machine) bool {
	if m.commands.requestID != 0 || d.now < m.commands.nextSendAt {
		return false
	}
	return m.commands.dirty || d.now >= m.commands.lastExaminedAt+d.cfg.Agents.CommandRetryInterval
}

// isUnresponsive reports whether a machine will probably not respond to commands.
func (d *commandDispatch) isUnresponsive(m *machine) bool {
	return m.commands.unanswered > 0 || d.now-m.status.lastHeartbeatAt > d.agents.maxHeartbeatGap()
}

// dispatchTo sends a machine the commands that it needs now, and reports whether it must be examined again
// even without a change.
func (c *Core) dispatchTo(m *machine) (needsRecheck bool) {
	plan := commandPlan{core: c, machine: m}
	plan.collectAssigned()
	plan.collectUnassigned()
	plan.collectClears()
	plan.evictOldAttempts()
	c.commands.fenceWaiters.update(m, plan.waitingForFence, c.now)
	if len(plan.commands) == 0 {
		return plan.needsRecheck
	}
	plan.postponeExcess()
	plan.recordSent()
	c.commands.send(m, plan.batch(), plan.starts)
	return true
}

// commandPlan collects the commands for one machine in one run of dispatchTo.
type commandPlan struct {
	core         *Core
	machine      *machine
	commands     []plannedCommand
	starts       []attemptKey // attempts that the commands start
	clears       []attemptKey // ended attempts that the agent may clear
	needsRecheck bool         // the machine must be examined again, even without a change

	// waitingForFence counts the attempts that can be cleared or evicted only under a higher fencing token. An
	// increment of the token marks the machine dirty.
	waitingForFence int
}

// plannedCommand is a command with the attempt that it is for.
type plannedCommand struct {
	attemptKey
	command wire.Command
}

// add adds a command, unless one for the same attempt was sent within the retry interval, and reports whether
// it did.
func (p *commandPlan) add(op string, key attemptKey) bool {
	c := p.core
	attempt := p.machine.commands.attemptOf(key)
	if attempt.commandSent && c.now-attempt.lastCommandAt < c.cfg.Agents.CommandRetryInterval {
		return false
	}
	attempt.lastCommandAt, attempt.commandSent = c.now, true
	p.commands = append(p.commands, plannedCommand{
		key,
		wire.Command{Op: op, Task: wire.TaskName(c.jobs[key.jobIndex].id, int(key.task)), Attempt: key.attempt},
	})
	return true
}

// addStart adds a start, unless the machine is about to be removed, this controller may not start tasks now,
// or a cancellation of the job is pending.
func (p *commandPlan) addStart(j *job, key attemptKey) {
	c := p.core
	if p.machine.lifecycle.interruptionDeadline != 0 || p.machine.lifecycle.scaleInRequested || !c.ownLease.isHeld() ||
		!c.cancelAcks.quorum.IsFresh(c.now) || len(j.cancellation.waiters) != 0 {
		return
	}
	p.add(wire.OpStart, key)
}

// addStop adds a stop with a grace period in seconds.
func (p *commandPlan) addStop(key attemptKey, graceSeconds float64) {
	if p.add(wire.OpStop, key) {
		p.commands[len(p.commands)-1].command.GracePeriodS = &graceSeconds
	}
}

// collectAssigned collects the commands for the tasks that are assigned to the machine: starts for those that
// it does not report, and stops for those whose job is final or that are to be preempted or evicted.
func (p *commandPlan) collectAssigned() {
	c, m := p.core, p.machine
	for task, assignment := range m.allocation.assignments {
		j := c.jobs[task.jobIndex]
		if assignment.Incarnation != m.status.incarnation || !c.ownership.ownsJob(j) {
			continue
		}
		key := attemptKey{task.jobIndex, task.task, assignment.Attempt}
		status, reported := m.status.tasks[key]
		if !reported || j.isFinal() {
			p.needsRecheck = true
		}
		switch {
		case !reported && !j.isFinal():
			p.addStart(j, key)
		case !reported || status.state == wire.TaskExited:
		case j.isFinal():
			m.commands.allowImmediateResend(key)
			p.addStop(key, 0)
		case status.state != wire.TaskCheckpointing:
			if attempt := m.commands.attempts[key]; attempt != nil && attempt.stopReason != "" {
				p.needsRecheck = true
				p.addStop(key, attempt.stopGraceSeconds)
			}
		}
	}
}

// collectUnassigned collects the stops and clears for the tasks that the machine reports but no record
// assigns to it: either their end is committed, or they must not run.
func (p *commandPlan) collectUnassigned() {
	c, m := p.core, p.machine
	for key, status := range m.status.tasks {
		j := c.jobs[key.jobIndex]
		if _, assigned := m.currentAssignment(key); assigned || !c.ownership.ownsJob(j) {
			continue
		}
		if j.write.inFlight || j.write.outcomeUnknown || j.revision == 0 && !c.isOrphan(m, j, key) {
			p.needsRecheck = true
			continue
		}
		if status.state == wire.TaskExited && !c.mayClear(m, j, key) {
			p.waitingForFence++
			continue
		}
		p.needsRecheck = true
		m.commands.allowImmediateResend(key)
		if status.state == wire.TaskExited {
			p.clears = append(p.clears, key)
		} else {
			p.addStop(key, 0)
		}
	}
}

// collectClears adds the clears if other commands are sent, if there are many clears, or after a delay:
// nothing waits for an agent to clear a task, so clears do not cause a request of their own at once.
func (p *commandPlan) collectClears() {
	c, m := p.core, p.machine
	if len(p.clears) == 0 {
		m.commands.nextClearAt = 0
		return
	}
	if m.commands.nextClearAt == 0 {
		m.commands.nextClearAt = c.now + c.cfg.Agents.EndedTaskClearDelay
	}
	if len(p.commands) == 0 && c.now < m.commands.nextClearAt && len(p.clears) <= maxEndedTasksBeforeClear {
		return
	}
	for _, key := range p.clears {
		p.add(wire.OpClear, key)
	}
}

// evictOldAttempts evicts the state of attempts that are neither assigned nor reported, once the agent rejects
// their starts.
func (p *commandPlan) evictOldAttempts() {
	c, m := p.core, p.machine
	for key, attempt := range m.commands.attempts {
		if attempt.startInFlight {
			p.needsRecheck = true
			continue
		}
		if _, reported := m.status.tasks[key]; reported || c.now-attempt.lastCommandAt < attemptRetention {
			continue
		}
		assignment, assigned := m.allocation.assignments[taskKey{key.jobIndex, key.task}]
		if assigned && assignment.Attempt == key.attempt {
			continue
		}
		switch {
		case attempt.isFencedBy(m.status.fencingToken):
			delete(m.commands.attempts, key)
		case !attempt.isFencedBy(c.leadership.fencingToken):
			p.waitingForFence++
		}
	}
}

// postponeExcess orders the collected commands by attempt and removes those that would make the request larger than an
// agent accepts. They are collected again once this request is answered.
func (p *commandPlan) postponeExcess() {
	slices.SortFunc(p.commands, func(x, y plannedCommand) int { return x.compare(y.attemptKey) })
	bytes, fitting := 0, 0
	for fitting < len(p.commands) {
		bytes += p.commands[fitting].command.MaxEncodedBytes()
		if bytes > maxCommandBytes {
			break
		}
		fitting++
	}
	for _, excess := range p.commands[fitting:] {
		p.machine.commands.attempts[excess.attemptKey].commandSent = false
	}
	p.commands = p.commands[:fitting]
}

// recordSent records the starts of the commands, and counts starts and clears.
func (p *commandPlan) recordSent() {
	c := p.core
	for _, planned := range p.commands {
		switch planned.command.Op {
		case wire.OpStart:
			started := p.machine.commands.attempts[planned.attemptKey]
			started.startInFlight = true
			started.maxStartToken = max(started.maxStartToken, c.leadership.fencingToken)
			p.starts = append(p.starts, planned.attemptKey)
			c.Stats.TaskStarts++
		case wire.OpClear:
			c.fencing.TaskClears++
		}
	}
}

// batch returns the collected commands, ordered by attempt.
func (p *commandPlan) batch() wire.CommandBatch {
	batch := wire.CommandBatch{
		FencingToken: p.core.leadership.fencingToken,
		Incarnation:  p.machine.status.incarnation,
	}
	for _, planned := range p.commands {
		batch.Commands = append(batch.Commands, planned.command)
	}
	return batch
}

// send sends a batch of commands to a machine, directly or through a peer. starts lists the attempts that the
// batch starts.
func (d *commandDispatch) send(m *machine, batch wire.CommandBatch, starts []attemptKey) {
	id := d.nextID()
	m.commands.requestID, m.commands.requestAttempts = id, starts
	request := SendCommands{ID: id, Machine: m.name, Addr: m.identity.address, Batch: batch}
	peer := d.relayPeer(m)
	d.log(LevelDebug, "sending commands", "machine", m.name, "token", batch.FencingToken,
		"agent_token", m.status.fencingToken, "incarnation", batch.Incarnation, "seq", m.status.heartbeatSeq,
		"relay", peer, "commands", batch.Commands)
	if peer != "" {
		d.inFlight[id] = inFlightCommands{m.index, peer, d.now + d.cfg.Cluster.RelayTimeout}
		d.emit(SendToPeer{Peer: peer, Message: Message{Commands: &request}})
		return
	}
	d.inFlight[id] = inFlightCommands{machineIndex: m.index}
	d.emit(request)
}

// relayPeer returns the peer through which a command request is sent; "" means directly. After an odd number
// of unanswered requests in a row it returns a reachable peer, if any, so that a machine that does not
// respond is tried both ways.
func (d *commandDispatch) relayPeer(m *machine) string {
	peers := d.controllers.membership.ReachableExcept(d.now, "")
	if m.commands.unanswered%2 == 0 || len(peers) == 0 {
		return ""
	}
	return peers[m.commands.unanswered/2%len(peers)]
}

// expireRelayedCommands treats relayed requests that have no outcome by their deadline as unanswered.
func (c *Core) expireRelayedCommands() {
	for _, id := range sortedKeys(c.commands.inFlight) {
		if request := c.commands.inFlight[id]; request.relay != "" && c.now >= request.deadline {
			c.settleCommands(CommandsResult{ID: id, MaybeDelivered: true})
		}
	}
}

// isOrphan reports whether a reported task belongs to a job that does not exist. A peer may just have
// accepted and placed a job that is unknown here, so only a read barrier after the heartbeat proves that:
// without it, tasks of other controllers' new jobs are stopped and cleared, and then started twice.
func (c *Core) isOrphan(m *machine, j *job, key attemptKey) bool {
	attempt := m.commands.attemptOf(key)
	if !attempt.orphanCheckInFlight && !attempt.isOrphan {
		attempt.orphanCheckInFlight = true
		c.replica.afterReadBarrier(func(ok bool) {
			attempt.orphanCheckInFlight = false
			attempt.isOrphan = ok && j.revision == 0
			if attempt.isOrphan {
				// Its starts were sent by an unknown controller, under no higher token than the current one.
				attempt.maxStartToken = max(attempt.maxStartToken, c.leadership.fencingToken)
			}
			c.commands.markDirty(m)
		})
	}
	return attempt.isOrphan
}

// allowImmediateResend allows, once per attempt, that a command different from the last one is sent within
// the retry interval.
func (s *machineCommands) allowImmediateResend(key attemptKey) {
	if attempt := s.attempts[key]; attempt != nil && !attempt.immediateResendUsed {
		attempt.immediateResendUsed = true
		attempt.commandSent = false
	}
}

// handleCommandsResult handles the outcome of a command request that this controller sent to an agent. The outcome of
// a request that it relays is forwarded to the peer that requested it.
func (c *Core) handleCommandsResult(in CommandsResult) {
	if relayed, ok := c.commands.relayed[in.ID]; ok {
		c.forwardRelayedResult(relayed, in)
		return
	}
	c.settleCommands(in)
}

// handleRelayedResult handles the outcome of a command request that a peer relayed for this controller. Other results
// are late answers to requests of an earlier process, and are ignored.
func (c *Core) handleRelayedResult(peer string, in CommandsResult) {
	if request, ok := c.commands.inFlight[in.ID]; ok && request.relay == peer {
		c.settleCommands(in)
	}
}

// settleCommands records the outcome of the command request in flight to a machine.
func (c *Core) settleCommands(in CommandsResult) {
	request, ok := c.commands.inFlight[in.ID]
	if !ok {
		return
	}
	delete(c.commands.inFlight, in.ID)
	m := c.machines[request.machineIndex]
	starts := m.commands.recordRequestOutcome(in.Status, c.now)
	c.commands.markDirty(m)
	if in.Heartbeat != nil && in.Heartbeat.Machine == m.name {
		c.applyHeartbeat(in.Heartbeat, true)
	}
	switch in.Status {
	case wire.StatusOK:
	case wire.StatusConflict:
		m.commands.allowStartsAgain(starts)
		c.resendAfterConflict(m, in.Heartbeat)
	default:
		m.commands.nextSendAt = c.now + c.cfg.Agents.CommandRetryInterval
	}
}

// forwardRelayedResult forwards the outcome of a relayed request to the peer that requested it.
func (c *Core) forwardRelayedResult(relayed relayedCommands, in CommandsResult) {
	delete(c.commands.relayed, in.ID)
	if in.Heartbeat != nil {
		c.applyHeartbeat(in.Heartbeat, true)
	}
	in.ID = relayed.requestID
	c.controllers.sendToPeers(relayed.peer, Message{CommandsResult: &in})
}

// recordRequestOutcome records the outcome of the request that was in flight, and returns the attempts that it starts.
func (s *machineCommands) recordRequestOutcome(status wire.Status, now time.Duration) (starts []attemptKey) {
	s.requestID = 0
	if status == wire.StatusNoResponse {
		s.unanswered++
		s.lastUnansweredAt = now
	} else {
		s.unanswered = 0
	}
	starts, s.requestAttempts = s.requestAttempts, nil
	for _, key := range starts {
		if sent := s.attempts[key]; sent != nil {
			sent.startInFlight = false
		}
	}
	return starts
}
