package core

import (
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/membership"
	"dewlift/wire"
)

// sendToPeers sends a message to a peer, or to all. One that is not reached gets it by way of
// another: two zones may be cut off from each other while a third reaches both, and without
// the other's reports a leader takes live machines for silent.
func (c *Core) sendToPeers(peer string, m Message) {
	for _, to := range c.cfg.Peers {
		if peer != "" && peer != to {
			continue
		}
		if by := c.controllers.membership.RelayFor(c.now, to); by != "" {
			via := m
			via.RelayTo, via.RelayedFrom = to, c.cfg.Name
			c.emit(SendToPeer{Peer: by, Message: via})
			continue
		}
		c.emit(SendToPeer{Peer: to, Message: m})
	}
}

// firstWaitingByClass lists, of each lane, the first of this controller's jobs that wait for room, and have for so long that others give way. What
// is short for seconds is had by whoever can use it at once: when all gave way after a second, hardly any work began within two.
func (c *Core) firstWaitingByClass() (out []QueueHead) {
	first := make([]*job, c.priority.classes.Len())
	for _, j := range c.openJobs {
		if !j.placement.hasUnplacedTasks || j.write.inFlight || !c.ownsJob(j) || j.record.Spec == nil || j.record.Spec.MachineTypes != nil || j.record.Spec.Zone != "" || c.now < j.placement.backoffUntil ||
			c.unixMS()-j.effectiveEnqueueMS() < c.cfg.YieldAfter.Milliseconds() || !c.teamOf(j.record.Spec).fitsMaxQuota(j.record.Spec.Request) {
			continue
		}
		if at := &first[c.agedPriorityClass(j)]; *at == nil || j.effectiveEnqueueMS() < (*at).effectiveEnqueueMS() {
			*at = j
		}
	}
	for lane, j := range first {
		if j != nil {
			out = append(out, QueueHead{Priority: lane, EnqueuedAtMS: j.effectiveEnqueueMS(), Spot: j.record.Spec.Spot})
		}
	}
	return out
}

// hasEarlierWaiting reports whether work that a new job must not pass waits for the same room here. Its tasks are then placed in the order of work,
// a moment after it was accepted: when they were placed with its acceptance, which comes before all placements, new jobs passed those that
// had waited longest.
func (c *Core) hasEarlierWaiting(s *wire.JobSpec) bool {
	return len(c.priority.firstWaiting) > 0 && c.priority.firstWaiting[0].Priority <= c.priority.classes.Classify(s) && (c.priority.firstWaiting[0].Spot || !s.Spot)
}

// isBehindFirstWaiting reports whether a job that waits comes after another of this controller's that does. When it was looked at by itself, as soon as it
// was accepted, it had room that had come free since the others were.
func (c *Core) isBehindFirstWaiting(j *job) bool {
	if len(c.priority.firstWaiting) == 0 || j.record.Spec == nil {
		return false
	}
	w, lane := c.priority.firstWaiting[0], c.effectivePriorityClass(j)
	return w.Priority < lane || w.Priority == lane && w.EnqueuedAtMS < j.effectiveEnqueueMS()
}

// broadcastHealth tells the others whether the state service is in reach here. A controller that
// has not loaded yet does so too: in an outage, the ones left need a majority's word for it.
func (c *Core) broadcastHealth() {
	if c.now >= c.controllers.nextHealthAt {
		c.controllers.nextHealthAt = c.now + c.cfg.HealthInterval
		c.priority.firstWaiting = c.firstWaitingByClass()
		c.emit(SendToPeer{Message: Message{Health: &Health{StoreReachable: c.isStoreReachable(), WriteRate: c.transactions.rateLimit.SampleWriteRate(c.cfg.HealthInterval), ReachablePeers: c.controllers.membership.ReachableExcept(c.now, ""), SnapshotPagesRead: c.snapshotPagesRead(), QueueHeads: c.priority.firstWaiting, CancellationsUpTo: c.cancellationsKnownUpTo()}}})
		c.updateRateLimit()
	}
}

// snapshotPagesRead is how many pages of all keys were read, while they are.
func (c *Core) snapshotPagesRead() int {
	if c.replica.loaded {
		return 0
	}
	return c.replica.pagesRead
}

func (c *Core) broadcastUpdates() {
	if c.now >= c.deltaLog.nextBatchAt {
		c.deltaLog.nextBatchAt = c.now + c.cfg.DeltaInterval
		c.sendDeltas()
		c.broadcastHeartbeats()
	}
	if c.now >= c.commands.nextReturnRequestAt {
		c.commands.nextReturnRequestAt = c.now + time.Second
		c.requestReturns()
	}
}

// sendDeltas batches the start and finish tuples. They go to the leader, as in the paper, and
// to the other controllers as well, so that no two of them choose the same room between two
// pushes. A batch is kept until a push shows that the leader counted it.
func (c *Core) sendDeltas() {
	if len(c.deltaLog.unsent) == 0 || c.leadership.leader.mark == 0 {
		return
	}
	c.deltaLog.lastSeq++
	c.retainBatch(c.cfg.Name, deltaBatch{c.deltaLog.lastSeq, c.now, c.leadership.leader.FencingToken, c.deltaLog.unsent})
	d := &AllocationDeltas{Seq: c.deltaLog.lastSeq, Deltas: c.deltaLog.unsent}
	c.deltaLog.unsent = nil
	if c.leaderState != nil {
		c.leaderState.applyDeltas(c, c.cfg.Name, d)
	}
	c.sendToPeers("", Message{AllocationDeltas: d})
}

const batchesPerDigest = 4 // batches of tuples from one of reports that say nothing new to the next: a machine is given up after seconds

// broadcastHeartbeats tells the others what machines reported to this controller. Reports that say
// nothing new, most of them in a large fleet, go as a line each.
func (c *Core) broadcastHeartbeats() {
	var heard []HeartbeatDigest
	if c.now >= c.agents.nextDigestAt {
		c.agents.nextDigestAt = c.now + c.stretchUnderLoad(batchesPerDigest*c.cfg.DeltaInterval)
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

func (c *Core) retainBatch(from string, b deltaBatch) {
	list := append(c.deltaLog.uncounted[from], b)
	if len(list) > 64 {
		list = list[len(list)-64:]
	}
	c.deltaLog.uncounted[from] = list
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

func (c *Core) handlePeerMessage(in PeerMessage) {
	p := c.controllers.membership.Peer(in.Peer)
	if p == nil {
		return
	}
	m := in.Message
	c.controllers.membership.MarkHeard(c.now, in.Peer)
	if m.RelayTo != "" {
		if m.RelayTo != c.cfg.Name {
			if c.controllers.membership.Peer(m.RelayTo) != nil && m.RelayedFrom == in.Peer {
				c.emit(SendToPeer{Peer: m.RelayTo, Message: m})
			}
			return
		}
		if c.controllers.membership.Peer(m.RelayedFrom) == nil {
			return
		}
		in.Peer = m.RelayedFrom
	}
	if m.Commands != nil {
		id := c.nextID()
		c.commands.relayed[id] = relayedCommands{in.Peer, m.Commands.ID}
		o := *m.Commands
		o.ID = id
		c.emit(o)
	}
	if m.CommandsResult != nil {
		c.handleCommandsResult(*m.CommandsResult)
	}
	c.handleQuorumMessage(in.Peer, &m)
	if m.Health != nil {
		c.cancelAcks.quorum.RecordHeldRevision(in.Peer, m.Health.CancellationsUpTo)
		p.StoreReachable, p.WriteRate, p.ReachablePeers, p.SnapshotPagesLoaded = m.Health.StoreReachable, max(0, m.Health.WriteRate), m.Health.ReachablePeers, m.Health.SnapshotPagesRead
		p.QueueHeads = p.QueueHeads[:0]
		for _, w := range m.Health.QueueHeads {
			p.QueueHeads = append(p.QueueHeads, membership.QueuePosition(w))
		}
	}
	for _, r := range m.Heartbeats {
		if r != nil {
			c.applyHeartbeat(r, false)
		}
	}
	for _, h := range m.HeartbeatDigests {
		c.applyHeartbeatDigest(in.Peer, h)
	}
	if len(m.WantedHeartbeats) > 0 {
		c.sendRequestedHeartbeats(in.Peer, m.WantedHeartbeats)
	}
	c.pollOnBehalf(in.Peer, m.PollMachines)
	if m.AllocationDeltas != nil {
		if c.leaderState != nil {
			c.leaderState.applyDeltas(c, in.Peer, m.AllocationDeltas)
		}
		// A push may have counted it already: it came by another way. Counted twice, an end would
		// show room on a full machine until the row changes.
		if m.AllocationDeltas.Seq > c.clusterCopy.countedBatches[in.Peer] || c.clusterCopy.leaderToken != c.leadership.leader.FencingToken {
			c.retainBatch(in.Peer, deltaBatch{m.AllocationDeltas.Seq, 0, c.leadership.leader.FencingToken, m.AllocationDeltas.Deltas})
			c.applyPeerDeltas(m.AllocationDeltas.Deltas)
			c.placement.capacityFreed = true
		}
	}
	if len(m.MachinesToReturn)+len(m.SilentMachines) > 0 && c.leaderState != nil {
		c.leaderState.handleReturnRequest(c, m.MachinesToReturn, m.SilentMachines)
	}
	if m.StatePush != nil && c.leaderState == nil {
		c.applyPush(m.StatePush)
	}
	if m.ResendStatePush && c.leaderState != nil {
		c.leaderState.nextFullPushAt = c.now
		c.leaderState.pushRequested = true
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

// requestPollsByPeer has one of the others after the other ask quiet machines for their reports. Two zones
// may be cut off from each other: the machines of one that had reported to the other are well,
// but take longer to find a controller in reach than a silent machine is waited for.
func (l *leaderState) requestPollsByPeer(c *Core, quiet []string) {
	in := c.controllers.membership.ReachableExcept(c.now, "")
	if len(quiet) == 0 || len(in) == 0 {
		return
	}
	l.pollRequestRounds++
	c.sendToPeers(in[l.pollRequestRounds%len(in)], Message{PollMachines: quiet})
}

// applyPush takes the leader's array, or the rows of it that changed, and repeats on them what the
// leader had not counted yet.
func (c *Core) applyPush(p *StatePush) {
	for _, n := range p.GoneMachines {
		c.markMachineGone(c.internMachine(n))
	}
	for _, x := range p.Preempted {
		m, j := c.internMachine(x.Machine), c.internJob(x.Job)
		if a, ok := m.allocation.assignments[taskKey{j.index, x.Task}]; ok && a.Attempt == x.Attempt && c.ownsJob(j) && !j.isFinal() {
			c.stopTask(m, attemptKey{j.index, x.Task, x.Attempt}, j.record.Spec, "made room for higher priority")
		}
	}
	c.clusterCopy.capacityHold = p.CapacityHold
	whole := p.AfterRevision == 0
	if !whole && (p.FencingToken != c.clusterCopy.leaderToken || p.AfterRevision != c.clusterCopy.revision) {
		// A push was lost on the way. The copy ages until the whole array comes.
		if c.now >= c.clusterCopy.nextResendAt && c.leadership.leader.mark != 0 {
			c.clusterCopy.nextResendAt = c.now + 500*time.Millisecond
			c.sendToPeers(c.leadership.leader.Node, Message{ResendStatePush: true})
		}
		return
	}
	c.clusterCopy.leaderToken, c.clusterCopy.revision, c.clusterCopy.countedBatches = p.FencingToken, p.Revision, p.DeltaAcks
	rows := make([]clusterstate.Row, 0, len(p.Rows))
	for _, r := range p.Rows {
		m := c.internMachine(r.Machine)
		if m.lifecycle.gone {
			continue
		}
		if m.identity.machineType == "" {
			m.identity.machineType, m.identity.zone, m.identity.spot = r.Type, r.Zone, r.Spot
		}
		rows = append(rows, clusterstate.Row{Machine: m.index, Available: r.Available, Allocated: r.Allocated, Reserved: r.Reserved, OfferedLast: r.OfferedLast, Schedulable: !r.Unschedulable})
	}
	var pending []clusterstate.Delta
	for _, from := range sortedKeys(c.deltaLog.uncounted) {
		// A new leader seeds from reports instead.
		c.deltaLog.uncounted[from] = slices.DeleteFunc(c.deltaLog.uncounted[from], func(b deltaBatch) bool {
			if from == c.cfg.Name && b.leaderToken == p.FencingToken && b.seq <= p.DeltaAcks[from] {
				c.deltaLog.countingDelay += (c.now - b.sentAt - c.deltaLog.countingDelay) / 8
			}
			return b.leaderToken != p.FencingToken || b.seq <= p.DeltaAcks[from]
		})
		for _, b := range c.deltaLog.uncounted[from] {
			pending = c.appendDeltas(pending, b.deltas)
		}
	}
	pending = c.appendDeltas(pending, c.deltaLog.unsent)
	if whole {
		c.clusterCopy.state.Replace(c.now, rows, pending)
	} else {
		c.clusterCopy.state.Update(c.now, rows, pending)
	}
	c.placement.capacityFreed = true
}

// appendDeltas appends tuples by the indices of their machines.
func (c *Core) appendDeltas(list []clusterstate.Delta, ds []AllocationDelta) []clusterstate.Delta {
	for _, d := range ds {
		list = append(list, clusterstate.Delta{Start: d.Start, Machine: c.internMachine(d.Machine).index, Request: d.Request})
	}
	return list
}

// applyPeerDeltas takes the tuples of another controller on the copy.
func (c *Core) applyPeerDeltas(ds []AllocationDelta) {
	for _, d := range c.appendDeltas(nil, ds) {
		c.clusterCopy.state.Apply(c.now, d)
	}
}
