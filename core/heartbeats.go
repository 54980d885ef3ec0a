package core

import (
	"hash/fnv"
	"strconv"
	"time"

	"dewlift/access"
	pb "dewlift/proto"
	"dewlift/wire"
)

const (
	// maxInterruptionNoticeS is the longest plausible interruption notice, in seconds.
	maxInterruptionNoticeS = 1e6
	// implausibleNoticeDeadline is the time left that is assumed for a machine whose notice is negative or
	// exceeds maxInterruptionNoticeS.
	implausibleNoticeDeadline = time.Second
	// batchesPerDigest is the number of batches of allocation deltas that are sent for each batch of
	// heartbeat digests. Digests may wait longer because a machine is declared silent only after seconds.
	batchesPerDigest = 4
	// heartbeatMargin is added to the heartbeat interval to allow for delays of the network and the agent.
	heartbeatMargin = 300 * time.Millisecond
	// noticeTolerance is the difference between the interruption deadlines of two heartbeats that counts as
	// no change.
	noticeTolerance = 2 * time.Second
	// maxPollBackoffShift limits the exponential back-off between status polls: 1 s shifted by it is 16 s.
	maxPollBackoffShift = 4
)

// agentLiveness holds the heartbeats to relay to the peers, the number of status polls in flight, and the
// liveness of zones.
type agentLiveness struct {
	*environment
	controllers *controllerSet

	pollsInFlight     int                      // status polls without a response so far
	zones             map[string]*zoneLiveness // by zone
	nextDigestAt      time.Duration            // when the next batch of digests is sent to the peers
	heartbeatsToRelay []*wire.Heartbeat        // changed heartbeats for the next batch
	digestsToRelay    []HeartbeatDigest        // unchanged heartbeats for the next batch of digests
	missingHeartbeats map[string][]string      // by peer: machines whose full heartbeats are to be requested from it
}

// handleHeartbeat applies an agent's heartbeat and responds to it. If the agent has seen a higher fencing
// token than this controller, the response waits for a read barrier.
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
	// The controller that issued the higher token knows of later changes than this replica contains.
	if c.replica.isStoreUnreachable() {
		c.respondUnavailable(in.RequestID, "token not current")
		return
	}
	c.replica.afterReadBarrier(func(bool) { c.respondToHeartbeat(in) })
}

// respondToHeartbeat renews the agent's lease and sends the commands that stop cancelled tasks, unless this
// controller may not renew the lease.
func (c *Core) respondToHeartbeat(in AgentHeartbeat) {
	m := c.internMachine(in.Heartbeat.Machine)
	if why := c.leaseDenialReason(m, in.Heartbeat); why != "" {
		c.respondUnavailable(in.RequestID, why)
		return
	}
	c.respond(
		in.RequestID,
		wire.StatusOK,
		wire.HeartbeatResponse{
			FencingToken: c.responseToken(m, in.Heartbeat),
			Commands:     c.cancelAcks.stopCommandsFor(m),
		},
	)
}

// taskStatusDigest returns a digest of the task statuses of a heartbeat and of whether it has an interruption
// notice. The digest does not depend on the order of the tasks.
func taskStatusDigest(heartbeat *wire.Heartbeat) uint64 {
	var sum uint64
	var buf []byte
	h := fnv.New64a()
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		buf = append(buf[:0], status.Task...)
		buf = append(append(append(append(buf, ' '), status.Stage...), ' '), status.Cause...)
		buf = strconv.AppendBool(strconv.AppendUint(append(buf, ' '), status.Attempt, 10), status.Checkpointed)
		h.Reset()
		h.Write(buf)
		sum += h.Sum64()
	}
	if heartbeat.InterruptionNoticeS != nil {
		sum++
	}
	return sum
}

// isStaleHeartbeat reports whether a heartbeat with these numbers is not newer than the last one applied, or
// the machine is gone: heartbeats may be delayed, or arrive again through another controller.
func (m *machine) isStaleHeartbeat(incarnation, sequence uint64) bool {
	return m.lifecycle.gone || incarnation < m.status.incarnation ||
		incarnation == m.status.incarnation && sequence <= m.status.heartbeatSeq
}

// matches reports whether the last heartbeat of an agent had this incarnation and this digest.
func (s *agentStatus) matches(incarnation, digest uint64) bool {
	return s.reported && s.incarnation == incarnation && s.digest == digest
}

// applyHeartbeat applies an agent's heartbeat, unless a newer one was applied. direct means that it came from
// the agent itself; then it is relayed to the peers.
func (c *Core) applyHeartbeat(heartbeat *wire.Heartbeat, direct bool) {
	m := c.internMachine(heartbeat.Machine)
	if m.isStaleHeartbeat(heartbeat.Incarnation, heartbeat.Sequence) {
		return
	}
	digest := taskStatusDigest(heartbeat)
	if m.status.matches(heartbeat.Incarnation, digest) && m.isUnchangedBy(heartbeat, c.now) {
		// Most heartbeats of a large fleet change nothing; the peers need only the digest.
		c.recordLiveness(m, heartbeat.Sequence, heartbeat.FencingToken)
		if direct {
			c.agents.digestsToRelay = append(
				c.agents.digestsToRelay,
				HeartbeatDigest{
					heartbeat.Machine, heartbeat.Incarnation, heartbeat.Sequence, heartbeat.FencingToken, digest,
				},
			)
		}
		return
	}
	m.status.digest = digest
	first := !m.status.reported
	restarted := !first && m.status.incarnation != heartbeat.Incarnation
	m.updateFrom(heartbeat, c.now)
	c.updateTaskStatuses(m, heartbeat.Tasks)
	c.recordLiveness(m, heartbeat.Sequence, heartbeat.FencingToken)
	c.commands.markTasksChanged(m)
	if restarted {
		c.markTasksLost(m)
	}
	if first {
		c.handleFirstHeartbeat(m)
	}
	if direct {
		c.agents.heartbeatsToRelay = append(c.agents.heartbeatsToRelay, heartbeat)
	}
	if c.leaderState != nil {
		c.leaderState.addRowOnFirstHeartbeat(m, c.jobs)
	}
}

// updateFrom applies what a heartbeat reports about the machine itself. A new incarnation starts without
// cached images.
func (m *machine) updateFrom(heartbeat *wire.Heartbeat, now time.Duration) {
	if heartbeat.Incarnation > m.status.incarnation {
		m.status.images = map[string]bool{}
	}
	m.status.reported = true
	m.identity.address, m.identity.machineType, m.identity.zone, m.identity.spot = heartbeat.Addr,
		heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.status.incarnation = heartbeat.Incarnation
	if heartbeat.InterruptionNoticeS != nil {
		m.lifecycle.interruptionDeadline = interruptionDeadline(*heartbeat.InterruptionNoticeS, now)
	}
}

// interruptionDeadline returns when a machine with an interruption notice of noticeS seconds is interrupted.
func interruptionDeadline(noticeS float64, now time.Duration) time.Duration {
	if noticeS < 0 || noticeS > maxInterruptionNoticeS {
		return now + implausibleNoticeDeadline
	}
	return now + time.Duration(noticeS*float64(time.Second))
}

// isUnchangedBy reports whether a heartbeat changes nothing about the machine itself. taskStatusDigest, which
// controllers exchange, covers its tasks and the presence of an interruption notice.
func (m *machine) isUnchangedBy(heartbeat *wire.Heartbeat, now time.Duration) bool {
	if m.identity.address != heartbeat.Addr || m.identity.machineType != heartbeat.Type ||
		m.identity.zone != heartbeat.Zone || m.identity.spot != heartbeat.Spot {
		return false
	}
	if heartbeat.InterruptionNoticeS == nil {
		return true
	}
	change := interruptionDeadline(*heartbeat.InterruptionNoticeS, now) - m.lifecycle.interruptionDeadline
	return change.Abs() <= noticeTolerance
}

// updateTaskStatuses replaces the task statuses of a machine with those of a heartbeat, and handles the
// changes.
func (c *Core) updateTaskStatuses(m *machine, reported []wire.TaskStatus) {
	next := make(map[attemptKey]taskStatus, len(reported))
	for i := range reported {
		c.updateTaskStatus(m, &reported[i], next)
	}
	for _, unreported := range m.sortedAttemptKeys() { // those that updateTaskStatus left
		c.markDirty(c.jobs[unreported.jobIndex])
	}
	m.status.tasks = next
}

// updateTaskStatus moves one task status from the current statuses of a machine to the next ones, updated as
// reported.
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
		c.recordTaskRunning(j)
	}
}

// handleTaskExit releases the resources of a task that its machine reports as ended, and marks its job dirty.
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
		c.markDirtyKeepingDelay(j) // the write of this completion may wait to be combined with others
	} else {
		c.markDirty(j)
	}
	m.health.recordTaskEnd(j.index, cause, c.now)
}

// hasTasksToComplete reports whether a job is not final and has tasks that have not completed.
func (j *job) hasTasksToComplete() bool {
	return !j.isFinal() && j.record != nil && j.record.Spec != nil &&
		j.record.CompletedTasks.Count()+j.placement.completedTasks < j.record.Spec.Tasks
}

// handleFirstHeartbeat handles the first heartbeat of a machine: it marks the jobs dirty that have tasks
// there, and counts the machine as new capacity.
func (c *Core) handleFirstHeartbeat(m *machine) {
	for _, assignment := range m.sortedAssignments() {
		c.markDirty(c.jobs[assignment.jobIndex])
	}
	c.placement.capacityFreed = true
}

// recordLiveness records a heartbeat's sequence number and fencing token. A higher token than before means
// that earlier commands can't be executed any more, which settles their outcomes.
func (c *Core) recordLiveness(m *machine, seq, token uint64) {
	m.status.lastHeartbeatAt, m.status.heartbeatSeq, m.status.polls = c.now, seq, 0
	c.agents.zoneLivenessOf(m.identity.zone).lastHeartbeat = c.now
	if token <= m.status.fencingToken {
		return
	}
	m.status.fencingToken = token
	for _, assignment := range m.sortedAssignments() {
		if j := c.jobs[assignment.jobIndex]; j.isFinal() {
			c.markDirty(j)
		}
	}
}

// applyHeartbeatDigest applies the digest of an unchanged heartbeat that a peer received. If this replica
// lacks the full heartbeat, it is requested from that peer.
func (c *Core) applyHeartbeatDigest(peer string, h HeartbeatDigest) {
	m := c.internMachine(h.Machine)
	if m.isStaleHeartbeat(h.Incarnation, h.Seq) {
		return
	}
	if m.status.matches(h.Incarnation, h.Digest) {
		c.recordLiveness(m, h.Seq, h.FencingToken)
		return
	}
	m.status.lastHeartbeatAt = c.now
	c.agents.missingHeartbeats[peer] = append(c.agents.missingHeartbeats[peer], h.Machine)
}

// recordTaskEnd updates the evidence that a machine is faulty when a task ends there: a completed task clears
// it, and a failed task adds its job.
func (h *machineHealth) recordTaskEnd(jobIndex int32, cause string, now time.Duration) {
	switch cause {
	case wire.CauseDone:
		h.failedJobs, h.failures = nil, 0
	case wire.CauseError:
		if h.failedJobs == nil {
			h.failedJobs = map[int32]bool{}
		}
		h.failedJobs[jobIndex], h.lastFailureAt = true, now
	}
}

// lastHeartbeat reconstructs the last heartbeat of a machine for a peer that lacks it. jobs is Core.jobs.
func (m *machine) lastHeartbeat(jobs []*job, now time.Duration) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{
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
		left := (m.lifecycle.interruptionDeadline - now).Seconds()
		heartbeat.InterruptionNoticeS = &left
	}
	for _, k := range m.sortedAttemptKeys() {
		status := m.status.tasks[k]
		heartbeat.Tasks = append(
			heartbeat.Tasks,
			wire.TaskStatus{
				Task:         wire.TaskName(jobs[k.jobIndex].id, int(k.task)),
				Attempt:      k.attempt,
				Stage:        status.state,
				Cause:        status.cause,
				Checkpointed: status.checkpointed,
			},
		)
	}
	return heartbeat
}

// broadcastHeartbeats relays the heartbeats that this controller received to the peers: changed heartbeats in
// full, and unchanged ones, which are most of them in a large fleet, as digests once per digestInterval. It
// also requests the heartbeats that this replica lacks.
func (a *agentLiveness) broadcastHeartbeats(digestInterval time.Duration) {
	var digests []HeartbeatDigest
	if a.now >= a.nextDigestAt {
		a.nextDigestAt = a.now + digestInterval
		digests, a.digestsToRelay = a.digestsToRelay, nil
	}
	if len(a.heartbeatsToRelay)+len(digests) > 0 {
		a.controllers.sendToPeers("", Message{Heartbeats: a.heartbeatsToRelay, HeartbeatDigests: digests})
		a.heartbeatsToRelay = nil
	}
	for _, peer := range sortedKeys(a.missingHeartbeats) {
		a.controllers.sendToPeers(peer, Message{WantedHeartbeats: a.missingHeartbeats[peer]})
		delete(a.missingHeartbeats, peer)
	}
}

// sendRequestedHeartbeats sends a peer the last heartbeats of the machines that it requested, as far as they
// are known here.
func (c *Core) sendRequestedHeartbeats(peer string, names []string) {
	var heartbeats []*wire.Heartbeat
	for _, name := range names {
		i, ok := c.machineIndex[name]
		if !ok {
			continue
		}
		if m := c.machines[i]; m.status.reported && !m.lifecycle.gone {
			heartbeats = append(heartbeats, m.lastHeartbeat(c.jobs, c.now))
		}
	}
	if len(heartbeats) > 0 {
		c.controllers.sendToPeers(peer, Message{Heartbeats: heartbeats})
	}
}

// maxHeartbeatGap returns the longest time between two heartbeats of a healthy machine.
func (a *agentLiveness) maxHeartbeatGap() time.Duration {
	return a.cfg.Agents.HeartbeatInterval*5/4 + heartbeatMargin
}

// silenceTimeout returns the time without a heartbeat after which a machine is declared silent. It depends on
// the heartbeat interval: a fixed time is shorter than the gaps of machines that report every 6 s, so that
// healthy machines would be scaled in.
func (a *agentLiveness) silenceTimeout() time.Duration {
	return a.maxHeartbeatGap() + a.cfg.Agents.SilenceTimeout
}

// pollOverdueAgent polls the status of an agent if no heartbeat has arrived in time from the agent itself or
// through a peer. While the controllers cannot reach each other, polling is the only source of task statuses
// from agents that send their heartbeats to another controller.
//
// Polls of an agent that does not respond back off exponentially, and the number in flight is bounded: if
// every controller polls every machine of a lost zone once a second, each poll holds a socket until its
// timeout.
func (a *agentLiveness) pollOverdueAgent(m *machine) {
	if a.pollsInFlight >= a.cfg.Agents.MaxPollRequests || !m.status.reported ||
		a.now-m.status.lastHeartbeatAt <= a.maxHeartbeatGap() || m.status.isPollBackingOff(a.now) {
		return
	}
	m.status.lastPollAt, m.status.polls = a.now, m.status.polls+1
	a.pollsInFlight++
	a.emit(PollAgent{Machine: m.name, Addr: m.identity.address})
}

// isPollBackingOff reports whether the last unanswered poll of an agent is too recent for another one.
func (s *agentStatus) isPollBackingOff(now time.Duration) bool {
	return s.polls > 0 && now-s.lastPollAt <= time.Second<<min(s.polls-1, maxPollBackoffShift)
}

// pollForPeer polls machines that a peer may be unable to reach. It sends the peer at once the heartbeats of
// the machines that reported here recently.
func (c *Core) pollForPeer(peer string, names []string) {
	var recent []string
	for _, name := range names {
		i, ok := c.machineIndex[name]
		if !ok {
			continue
		}
		if m := c.machines[i]; c.now-m.status.lastHeartbeatAt <= c.agents.maxHeartbeatGap() {
			recent = append(recent, name)
		} else if !m.lifecycle.gone {
			c.agents.pollOverdueAgent(m)
		}
	}
	c.sendRequestedHeartbeats(peer, recent)
}
