package core

import (
	"dewlift/access"
	"dewlift/wire"
	"hash/fnv"
	"strconv"
	"time"

	pb "dewlift/proto"
)

// agentLiveness is what agents said of late and what of it goes to the other controllers; status
// polls; liveness of zones.
type agentLiveness struct {
	pollsInFlight     int // requests for reports on their way
	zones             map[string]*zoneLiveness
	nextDigestAt      time.Duration // when the others are told next of machines that report nothing new
	heartbeatsToRelay []*wire.Heartbeat
	digestsToRelay    []HeartbeatDigest
	missingHeartbeats map[string][]string // by controller: machines whose reports it has and this one lacks
}

// handleHeartbeat answers a worker's report.
func (c *Core) handleHeartbeat(in AgentHeartbeat) {
	if !c.replica.loaded {
		c.respondUnavailable(in.RequestID, "not caught up")
		return
	}
	if c.permissionsInForce() && c.currentPolicy().AgentsMustSign() {
		if d := c.authorize(in.Caller, access.Action{Verb: pb.Verb_report}); !d.Allowed {
			c.respondForbidden(in.RequestID, in.Caller, "report", in.Heartbeat.Machine, d.Reason)
			return
		}
	}
	c.applyHeartbeat(in.Heartbeat, true)
	if in.Heartbeat.FencingToken <= c.leadership.fencingToken {
		c.respondToHeartbeat(in)
		return
	}
	// The worker has seen a higher token: whoever gave it knows more than this controller.
	if c.storeUnreachable() {
		c.respondUnavailable(in.RequestID, "token not current")
		return
	}
	c.afterReadBarrier(func(bool) { c.respondToHeartbeat(in) })
}

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

// taskStatusDigest is the same for two reports that say the same of their tasks, in whatever order.
func taskStatusDigest(r *wire.Heartbeat) uint64 {
	var sum uint64
	var buf []byte
	h := fnv.New64a()
	for i := range r.Tasks {
		p := &r.Tasks[i]
		buf = append(buf[:0], p.Task...)
		buf = append(append(append(append(buf, ' '), p.Stage...), ' '), p.Cause...)
		buf = strconv.AppendBool(strconv.AppendUint(append(buf, ' '), p.Attempt, 10), p.Checkpointed)
		h.Reset()
		h.Write(buf)
		sum += h.Sum64()
	}
	if r.InterruptionNoticeS != nil {
		sum++
	}
	return sum
}

// applyHeartbeat takes a worker's report. Older ones are ignored: reports may come late and by way
// of other controllers.
func (c *Core) applyHeartbeat(r *wire.Heartbeat, direct bool) {
	m := c.internMachine(r.Machine)
	if m.lifecycle.gone || r.Incarnation < m.status.incarnation ||
		r.Incarnation == m.status.incarnation && r.Sequence <= m.status.heartbeatSeq {
		return
	}
	d := taskStatusDigest(r)
	if m.status.reported && m.status.incarnation == r.Incarnation && m.status.digest == d {
		// Nothing new: most reports of a large fleet. The others need only know that it lives.
		c.recordLiveness(m, r.Sequence, r.FencingToken)
		if direct {
			c.agents.digestsToRelay = append(
				c.agents.digestsToRelay,
				HeartbeatDigest{r.Machine, r.Incarnation, r.Sequence, r.FencingToken, d},
			)
		}
		return
	}
	m.status.digest = d
	if r.Incarnation > m.status.incarnation {
		m.status.images = map[string]bool{}
	}
	fresh, renewed := !m.status.reported, m.status.reported && m.status.incarnation != r.Incarnation
	m.status.reported = true
	m.identity.address, m.identity.machineType, m.identity.zone, m.identity.spot = r.Addr, r.Type, r.Zone, r.Spot
	m.status.incarnation = r.Incarnation
	if r.InterruptionNoticeS != nil {
		m.lifecycle.interruptionDeadline = c.now + time.Duration(*r.InterruptionNoticeS*float64(time.Second))
		if *r.InterruptionNoticeS < 0 || *r.InterruptionNoticeS > 1e6 {
			m.lifecycle.interruptionDeadline = c.now + time.Second
		}
	}
	next := make(map[attemptKey]taskStatus, len(r.Tasks))
	for _, p := range r.Tasks {
		id, t, ok := wire.SplitTaskName(p.Task)
		if !ok {
			continue
		}
		j := c.internJob(id)
		k := attemptKey{j.index, int32(t), p.Attempt}
		n := taskStatus{state: p.Stage, cause: p.Cause, checkpointed: p.Checkpointed}
		old := m.status.tasks[k]
		n.stateSince = old.stateSince
		if !old.equal(n) {
			n.stateSince = c.now
		}
		next[k] = n
		delete(m.status.tasks, k)
		if old.equal(n) {
			continue
		}
		a, assigned := m.allocation.assignments[taskKey{j.index, int32(t)}]
		assigned = assigned && a.Attempt == p.Attempt && a.Incarnation == m.status.incarnation
		if p.Stage == wire.TaskExited {
			if assigned {
				c.releaseOnce(j, a)
				if p.Cause == wire.CauseDone {
					j.placement.completedTasks++
				}
			}
			if p.Cause == wire.CauseDone && assigned && !j.isFinal() && j.record != nil && j.record.Spec != nil &&
				j.record.CompletedTasks.Count()+j.placement.completedTasks < j.record.Spec.Tasks {
				c.markDirtyKeepingDelay(j) // others of its tasks run on: the write of this end may wait for theirs
			} else {
				c.markDirty(j)
			}
			c.recordTaskEnd(m, j, p.Cause)
		}
		if p.Stage == wire.TaskRunning && j.record != nil && j.record.Spec != nil {
			m.status.images[j.record.Spec.Image] = true
		}
	}
	for k := range m.status.tasks { // what is not reported any more
		c.markDirty(c.jobs[k.jobIndex])
	}
	m.status.tasks = next
	c.recordLiveness(m, r.Sequence, r.FencingToken)
	c.noteMachineChange(m)
	if renewed {
		c.markTasksLost(m)
	}
	if fresh {
		for _, a := range m.sortedAssignments() {
			c.markDirty(c.jobs[a.jobIndex])
		}
		c.placement.capacityFreed = true
	}
	if direct {
		c.agents.heartbeatsToRelay = append(c.agents.heartbeatsToRelay, r)
	}
	c.addRowOnFirstHeartbeat(m)
}

// recordLiveness notes that a machine gave a sign of life with these numbers. A higher token
// settles what became of earlier orders.
func (c *Core) recordLiveness(m *machine, seq, token uint64) {
	m.status.lastHeartbeatAt, m.status.heartbeatSeq, m.status.polls = c.now, seq, 0
	c.zoneLivenessOf(m.identity.zone).lastHeartbeat = c.now
	if token > m.status.fencingToken {
		m.status.fencingToken = token
		m.status.lastChangeAt = c.now
		c.markMachineDirty(m)
		for _, a := range m.sortedAssignments() {
			if j := c.jobs[a.jobIndex]; j.isFinal() {
				c.markDirty(j)
			}
		}
	}
}

// applyHeartbeatDigest takes the news that a machine reported nothing new to another controller.
func (c *Core) applyHeartbeatDigest(peer string, h HeartbeatDigest) {
	m := c.internMachine(h.Machine)
	if m.lifecycle.gone || h.Incarnation < m.status.incarnation ||
		h.Incarnation == m.status.incarnation && h.Seq <= m.status.heartbeatSeq {
		return
	}
	if m.status.reported && m.status.incarnation == h.Incarnation && m.status.digest == h.Digest {
		c.recordLiveness(m, h.Seq, h.FencingToken)
		return
	}
	// What changed there before was not heard of here.
	m.status.lastHeartbeatAt = c.now
	c.agents.missingHeartbeats[peer] = append(c.agents.missingHeartbeats[peer], h.Machine)
}

// recordTaskEnd draws conclusions about a machine from the end of a task there.
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

// lastHeartbeatOf is a machine's last report, for a controller that lacks it.
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
		p := m.status.tasks[k]
		r.Tasks = append(
			r.Tasks,
			wire.TaskStatus{
				Task:         wire.TaskName(c.jobs[k.jobIndex].id, int(k.task)),
				Attempt:      k.attempt,
				Stage:        p.state,
				Cause:        p.cause,
				Checkpointed: p.checkpointed,
			},
		)
	}
	return r
}

// batches of tuples from one of reports that say nothing new to the next: a machine is given up after seconds
const batchesPerDigest = 4

// broadcastHeartbeats tells the others what machines reported to this controller. Reports that say
// nothing new, most of them in a large fleet, go as a line each.
func (c *Core) broadcastHeartbeats() {
	var heard []HeartbeatDigest
	if c.now >= c.agents.nextDigestAt {
		c.agents.nextDigestAt = c.now + c.stretchUnderLoad(batchesPerDigest*c.cfg.State.DeltaInterval)
		heard, c.agents.digestsToRelay = c.agents.digestsToRelay, nil
	}
	if len(c.agents.heartbeatsToRelay)+len(heard) > 0 {
		c.sendToPeers("", Message{Heartbeats: c.agents.heartbeatsToRelay, HeartbeatDigests: heard})
		c.agents.heartbeatsToRelay = nil
	}
	for _, peer := range sortedKeys(c.agents.missingHeartbeats) {
		c.sendToPeers(peer, Message{WantedHeartbeats: c.agents.missingHeartbeats[peer]})
		delete(c.agents.missingHeartbeats, peer)
	}
}

// sendRequestedHeartbeats sends a controller the reports that it lacks, unless they went out meanwhile.
func (c *Core) sendRequestedHeartbeats(peer string, names []string) {
	var rs []*wire.Heartbeat
	for _, n := range names {
		if i, ok := c.machineIndex[n]; ok && c.machines[i].status.reported && !c.machines[i].lifecycle.gone {
			rs = append(rs, c.lastHeartbeatOf(c.machines[i]))
		}
	}
	if len(rs) > 0 {
		c.sendToPeers(peer, Message{Heartbeats: rs})
	}
}

// maxHeartbeatGap is how long a machine that is well stays quiet at most.
func (c *Core) maxHeartbeatGap() time.Duration {
	return c.cfg.Agents.HeartbeatInterval*5/4 + 300*time.Millisecond
}

// silenceTimeout is how long a machine is quiet before it is given up. It follows from how often
// workers report: a fixed time was shorter than the pauses of machines that report every 6 s,
// and healthy ones were returned.
func (c *Core) silenceTimeout() time.Duration {
	return c.maxHeartbeatGap() + c.cfg.Agents.SilenceTimeout
}

// pollQuietAgent asks a machine for its report when none has come, directly or from others: while
// the controllers can't reach each other, it is the only news of tasks that report elsewhere. One
// that does not answer is asked less and less often, and few are asked at a time: every controller
// asked every machine of a lost zone once a second, and each question held a socket until its
// timeout. Machines that answer make room for the next at once.
func (c *Core) pollQuietAgent(m *machine) {
	if c.agents.pollsInFlight >= c.cfg.Agents.MaxPollRequests || !m.status.reported ||
		c.now-m.status.lastHeartbeatAt <= c.maxHeartbeatGap() ||
		m.status.polls > 0 && c.now-m.status.lastPollAt <= time.Second<<min(m.status.polls-1, 4) {
		return
	}
	m.status.lastPollAt, m.status.polls = c.now, m.status.polls+1
	c.agents.pollsInFlight++
	c.emit(PollAgent{Machine: m.name, Addr: m.identity.address})
}

// pollOnBehalf asks machines for their reports on behalf of a controller that may not reach them; of
// those that reported here it tells at once.
func (c *Core) pollOnBehalf(peer string, names []string) {
	var known []string
	for _, n := range names {
		i, ok := c.machineIndex[n]
		if !ok {
			continue
		}
		if m := c.machines[i]; c.now-m.status.lastHeartbeatAt <= c.maxHeartbeatGap() {
			known = append(known, n)
		} else if !m.lifecycle.gone {
			c.pollQuietAgent(m)
		}
	}
	c.sendRequestedHeartbeats(peer, known)
}
