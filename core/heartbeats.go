package core

import (
	"dewlift/access"
	"dewlift/wire"
	"hash/fnv"
	"strconv"
	"time"

	pb "dewlift/proto"
)

const (
	// maxInterruptionNoticeS bounds a plausible interruption notice, in seconds.
	maxInterruptionNoticeS = 1e6
	// implausibleNoticeDeadline is the time left to a machine whose notice is negative or beyond that bound.
	implausibleNoticeDeadline = time.Second
	// batchesPerDigest is how many batches of allocation deltas go out for one of heartbeat digests: a machine
	// is declared silent only after seconds, so digests may wait longer.
	batchesPerDigest = 4
	// heartbeatMargin is added to the interval of heartbeats for delays of the network and the agent.
	heartbeatMargin = 300 * time.Millisecond
	// maxPollBackoffShift bounds the exponential back-off between status polls: 1 s shifted by it is 16 s.
	maxPollBackoffShift = 4
)

// agentLiveness is what this controller passes on to its peers about heartbeats, the status polls in flight,
// and the liveness of zones.
type agentLiveness struct {
	pollsInFlight     int                      // status polls without an answer so far
	zones             map[string]*zoneLiveness // by zone
	nextDigestAt      time.Duration            // when the peers get the next batch of digests
	heartbeatsToRelay []*wire.Heartbeat        // changed heartbeats for the next batch
	digestsToRelay    []HeartbeatDigest        // unchanged heartbeats for the next batch of digests
	missingHeartbeats map[string][]string      // by peer: machines whose full heartbeat is to be requested from it
}

// handleHeartbeat applies an agent's heartbeat and answers it. An agent that has seen a higher fencing
// token than this controller is answered after a read barrier only.
func (c *Core) handleHeartbeat(in AgentHeartbeat) {
	if !c.replica.loaded {
		c.respondUnavailable(in.RequestID, reasonNotLoaded)
		return
	}
	if c.permissions.isInForce() && c.permissions.currentPolicy().AgentsMustSign() {
		if decision := c.access.authorize(in.Caller, access.Action{Verb: pb.Verb_report}); !decision.Allowed {
			c.respondForbidden(in.RequestID, in.Caller, "report", in.Heartbeat.Machine, decision.Reason)
			return
		}
	}
	c.applyHeartbeat(in.Heartbeat, true)
	if in.Heartbeat.FencingToken <= c.leadership.fencingToken {
		c.respondToHeartbeat(in)
		return
	}
	// The controller that issued the higher token knows of later changes than this replica shows.
	if c.replica.isStoreUnreachable() {
		c.respondUnavailable(in.RequestID, "token not current")
		return
	}
	c.replica.afterReadBarrier(func(bool) { c.respondToHeartbeat(in) })
}

// respondToHeartbeat renews the agent's lease, with the commands to stop cancelled tasks, unless this controller
// may not renew it.
func (c *Core) respondToHeartbeat(in AgentHeartbeat) {
	m := c.internMachine(in.Heartbeat.Machine)
	if why := c.leaseDenialReason(m, in.Heartbeat); why != "" {
		c.respondUnavailable(in.RequestID, why)
		return
	}
	c.respond(
		in.RequestID,
		wire.StatusOK,
		wire.HeartbeatResponse{FencingToken: c.leadership.fencingToken, Commands: c.stopCommandsFor(m)},
	)
}

// taskStatusDigest returns a digest of the tasks of a heartbeat that does not depend on their order.
func taskStatusDigest(r *wire.Heartbeat) uint64 {
	var sum uint64
	var buf []byte
	h := fnv.New64a()
	for i := range r.Tasks {
		status := &r.Tasks[i]
		buf = append(buf[:0], status.Task...)
		buf = append(append(append(append(buf, ' '), status.Stage...), ' '), status.Cause...)
		buf = strconv.AppendBool(strconv.AppendUint(append(buf, ' '), status.Attempt, 10), status.Checkpointed)
		h.Reset()
		h.Write(buf)
		sum += h.Sum64()
	}
	if r.InterruptionNoticeS != nil {
		sum++
	}
	return sum
}

// isStaleHeartbeat reports whether a heartbeat with these numbers is no later than the last one applied:
// heartbeats may be delayed, or come again by another controller.
func (m *machine) isStaleHeartbeat(incarnation, sequence uint64) bool {
	return m.lifecycle.gone || incarnation < m.status.incarnation ||
		incarnation == m.status.incarnation && sequence <= m.status.heartbeatSeq
}

// hasStatus reports whether the last heartbeat of a machine was of this incarnation and had this digest.
func (m *machine) hasStatus(incarnation, digest uint64) bool {
	return m.status.reported && m.status.incarnation == incarnation && m.status.digest == digest
}

// applyHeartbeat applies an agent's heartbeat, unless a later one was applied. A direct one came from the agent
// itself, and is passed on to the peers.
func (c *Core) applyHeartbeat(r *wire.Heartbeat, direct bool) {
	m := c.internMachine(r.Machine)
	if m.isStaleHeartbeat(r.Incarnation, r.Sequence) {
		return
	}
	digest := taskStatusDigest(r)
	if m.hasStatus(r.Incarnation, digest) {
		// Most heartbeats of a large fleet change nothing; the peers need only the sign of life.
		c.recordLiveness(m, r.Sequence, r.FencingToken)
		if direct {
			c.agents.digestsToRelay = append(
				c.agents.digestsToRelay,
				HeartbeatDigest{r.Machine, r.Incarnation, r.Sequence, r.FencingToken, digest},
			)
		}
		return
	}
	m.status.digest = digest
	first := !m.status.reported
	restarted := !first && m.status.incarnation != r.Incarnation
	c.updateMachine(m, r)
	c.updateTaskStatuses(m, r.Tasks)
	c.recordLiveness(m, r.Sequence, r.FencingToken)
	c.noteMachineChange(m)
	if restarted {
		c.markTasksLost(m)
	}
	if first {
		c.handleFirstHeartbeat(m)
	}
	if direct {
		c.agents.heartbeatsToRelay = append(c.agents.heartbeatsToRelay, r)
	}
	c.addRowOnFirstHeartbeat(m)
}

// updateMachine takes over what a heartbeat says of the machine itself. A new incarnation starts without cached
// images.
func (c *Core) updateMachine(m *machine, r *wire.Heartbeat) {
	if r.Incarnation > m.status.incarnation {
		m.status.images = map[string]bool{}
	}
	m.status.reported = true
	m.identity.address, m.identity.machineType, m.identity.zone, m.identity.spot = r.Addr, r.Type, r.Zone, r.Spot
	m.status.incarnation = r.Incarnation
	if r.InterruptionNoticeS == nil {
		return
	}
	notice := *r.InterruptionNoticeS
	if notice < 0 || notice > maxInterruptionNoticeS {
		m.lifecycle.interruptionDeadline = c.now + implausibleNoticeDeadline
	} else {
		m.lifecycle.interruptionDeadline = c.now + time.Duration(notice*float64(time.Second))
	}
}

// updateTaskStatuses replaces the task statuses of a machine by those of a heartbeat, and acts on the changes.
func (c *Core) updateTaskStatuses(m *machine, reported []wire.TaskStatus) {
	next := make(map[attemptKey]taskStatus, len(reported))
	for i := range reported {
		c.updateTaskStatus(m, &reported[i], next)
	}
	for k := range m.status.tasks { // those left are not reported any more
		c.markDirty(c.jobs[k.jobIndex])
	}
	m.status.tasks = next
}

// updateTaskStatus moves one task status from the statuses of a machine to the next ones, as it is reported now.
func (c *Core) updateTaskStatus(m *machine, reported *wire.TaskStatus, next map[attemptKey]taskStatus) {
	id, task, ok := wire.SplitTaskName(reported.Task)
	if !ok {
		return
	}
	j := c.internJob(id)
	key := attemptKey{j.index, int32(task), reported.Attempt}
	status := taskStatus{state: reported.Stage, cause: reported.Cause, checkpointed: reported.Checkpointed}
	old := m.status.tasks[key]
	changed := !old.equal(status)
	status.stateSince = old.stateSince
	if changed {
		status.stateSince = c.now
	}
	next[key] = status
	delete(m.status.tasks, key)
	if !changed {
		return
	}
	switch {
	case status.state == wire.TaskExited:
		c.handleTaskExit(m, j, key, status.cause)
	case status.state == wire.TaskRunning && j.record != nil && j.record.Spec != nil:
		m.status.images[j.record.Spec.Image] = true
	}
}

// handleTaskExit releases the resources of a task that its machine reports as ended, and has its job examined.
func (c *Core) handleTaskExit(m *machine, j *job, key attemptKey, cause string) {
	assignment, assigned := m.currentAssignment(key)
	completed := assigned && cause == wire.CauseDone
	if assigned {
		c.releaseOnce(j, assignment)
	}
	if completed {
		j.placement.completedTasks++
	}
	if completed && j.hasTasksToComplete() {
		c.markDirtyKeepingDelay(j) // the write of this end may wait for the ends of the others
	} else {
		c.markDirty(j)
	}
	c.recordTaskEnd(m, j, cause)
}

// hasTasksToComplete reports whether a job is still open and has tasks that have not completed.
func (j *job) hasTasksToComplete() bool {
	return !j.isFinal() && j.record != nil && j.record.Spec != nil &&
		j.record.CompletedTasks.Count()+j.placement.completedTasks < j.record.Spec.Tasks
}

// handleFirstHeartbeat has the jobs with tasks on a machine examined at its first heartbeat; it is new capacity.
func (c *Core) handleFirstHeartbeat(m *machine) {
	for _, assignment := range m.sortedAssignments() {
		c.markDirty(c.jobs[assignment.jobIndex])
	}
	c.placement.capacityFreed = true
}

// recordLiveness records a sign of life of a machine, with its sequence number and fencing token. A higher
// token settles the outcome of earlier commands: they cannot be executed any more.
func (c *Core) recordLiveness(m *machine, seq, token uint64) {
	m.status.lastHeartbeatAt, m.status.heartbeatSeq, m.status.polls = c.now, seq, 0
	c.zoneLivenessOf(m.identity.zone).lastHeartbeat = c.now
	if token <= m.status.fencingToken {
		return
	}
	m.status.fencingToken = token
	m.status.lastChangeAt = c.now
	c.markMachineDirty(m)
	for _, assignment := range m.sortedAssignments() {
		if j := c.jobs[assignment.jobIndex]; j.isFinal() {
			c.markDirty(j)
		}
	}
}

// applyHeartbeatDigest applies the digest of an unchanged heartbeat that a peer got. If this replica lacks the
// heartbeat that it repeats, the full one is requested from that peer.
func (c *Core) applyHeartbeatDigest(peer string, h HeartbeatDigest) {
	m := c.internMachine(h.Machine)
	if m.isStaleHeartbeat(h.Incarnation, h.Seq) {
		return
	}
	if m.hasStatus(h.Incarnation, h.Digest) {
		c.recordLiveness(m, h.Seq, h.FencingToken)
		return
	}
	m.status.lastHeartbeatAt = c.now
	c.agents.missingHeartbeats[peer] = append(c.agents.missingHeartbeats[peer], h.Machine)
}

// recordTaskEnd updates the evidence that a machine is faulty from the end of a task there: a completed
// task clears it, a failed one adds its job.
func (c *Core) recordTaskEnd(m *machine, j *job, cause string) {
	switch cause {
	case wire.CauseDone:
		m.health.failedJobs, m.health.failures = nil, 0
	case wire.CauseError:
		if m.health.failedJobs == nil {
			m.health.failedJobs = map[int32]bool{}
		}
		m.health.failedJobs[j.index], m.health.lastFailureAt = true, c.now
	}
}

// lastHeartbeatOf rebuilds the last heartbeat of a machine, for a peer that lacks it.
func (c *Core) lastHeartbeatOf(m *machine) *wire.Heartbeat {
	r := &wire.Heartbeat{
		Machine:      m.name,
		Addr:         m.identity.address,
		Type:         m.identity.machineType,
		Zone:         m.identity.zone,
		Spot:         m.identity.spot,
		Incarnation:  m.status.incarnation,
		Sequence:     m.status.heartbeatSeq,
		FencingToken: m.status.fencingToken,
	}
	if m.lifecycle.interruptionDeadline != 0 {
		left := (m.lifecycle.interruptionDeadline - c.now).Seconds()
		r.InterruptionNoticeS = &left
	}
	for _, k := range m.sortedAttemptKeys() {
		status := m.status.tasks[k]
		r.Tasks = append(
			r.Tasks,
			wire.TaskStatus{
				Task:         wire.TaskName(c.jobs[k.jobIndex].id, int(k.task)),
				Attempt:      k.attempt,
				Stage:        status.state,
				Cause:        status.cause,
				Checkpointed: status.checkpointed,
			},
		)
	}
	return r
}

// broadcastHeartbeats passes on to the peers the heartbeats that this controller got: changed ones whole, unchanged
// ones, most of them in a large fleet, as digests. It also requests the heartbeats that this replica lacks.
func (c *Core) broadcastHeartbeats() {
	var digests []HeartbeatDigest
	if c.now >= c.agents.nextDigestAt {
		c.agents.nextDigestAt = c.now + c.stretchUnderLoad(batchesPerDigest*c.cfg.State.DeltaInterval)
		digests, c.agents.digestsToRelay = c.agents.digestsToRelay, nil
	}
	if len(c.agents.heartbeatsToRelay)+len(digests) > 0 {
		c.sendToPeers("", Message{Heartbeats: c.agents.heartbeatsToRelay, HeartbeatDigests: digests})
		c.agents.heartbeatsToRelay = nil
	}
	for _, peer := range sortedKeys(c.agents.missingHeartbeats) {
		c.sendToPeers(peer, Message{WantedHeartbeats: c.agents.missingHeartbeats[peer]})
		delete(c.agents.missingHeartbeats, peer)
	}
}

// sendRequestedHeartbeats sends a peer the last heartbeats of the machines that it asked for, as far as known here.
func (c *Core) sendRequestedHeartbeats(peer string, names []string) {
	var heartbeats []*wire.Heartbeat
	for _, name := range names {
		i, ok := c.machineIndex[name]
		if !ok {
			continue
		}
		if m := c.machines[i]; m.status.reported && !m.lifecycle.gone {
			heartbeats = append(heartbeats, c.lastHeartbeatOf(m))
		}
	}
	if len(heartbeats) > 0 {
		c.sendToPeers(peer, Message{Heartbeats: heartbeats})
	}
}

// maxHeartbeatGap is the longest time between two heartbeats of a healthy machine.
func (c *Core) maxHeartbeatGap() time.Duration {
	return c.cfg.Agents.HeartbeatInterval*5/4 + heartbeatMargin
}

// silenceTimeout is the time without a heartbeat after which a machine is declared silent. It follows from the
// interval of heartbeats: a fixed time was shorter than the gaps of machines that report every 6 s, and
// healthy ones were returned.
func (c *Core) silenceTimeout() time.Duration {
	return c.maxHeartbeatGap() + c.cfg.Agents.SilenceTimeout
}

// pollQuietAgent polls the status of a machine whose heartbeat is overdue here, directly and from peers. While the
// controllers cannot reach each other, this is the only source on tasks whose agent reports elsewhere.
//
// Polls of a machine that does not answer back off exponentially, and the number in flight is bounded: when
// every controller polled every machine of a lost zone once a second, each poll held a socket until its timeout.
func (c *Core) pollQuietAgent(m *machine) {
	if c.agents.pollsInFlight >= c.cfg.Agents.MaxPollRequests || !m.status.reported ||
		c.now-m.status.lastHeartbeatAt <= c.maxHeartbeatGap() || c.isPollBackingOff(m) {
		return
	}
	m.status.lastPollAt, m.status.polls = c.now, m.status.polls+1
	c.agents.pollsInFlight++
	c.emit(PollAgent{Machine: m.name, Addr: m.identity.address})
}

// isPollBackingOff reports whether a machine was polled too recently to be polled again.
func (c *Core) isPollBackingOff(m *machine) bool {
	return m.status.polls > 0 &&
		c.now-m.status.lastPollAt <= time.Second<<min(m.status.polls-1, maxPollBackoffShift)
}

// pollOnBehalf polls machines that a peer may not reach. The heartbeats of those that reported here recently
// are sent to the peer at once.
func (c *Core) pollOnBehalf(peer string, names []string) {
	var recent []string
	for _, name := range names {
		i, ok := c.machineIndex[name]
		if !ok {
			continue
		}
		if m := c.machines[i]; c.now-m.status.lastHeartbeatAt <= c.maxHeartbeatGap() {
			recent = append(recent, name)
		} else if !m.lifecycle.gone {
			c.pollQuietAgent(m)
		}
	}
	c.sendRequestedHeartbeats(peer, recent)
}
