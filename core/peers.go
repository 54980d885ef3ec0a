package core

import (
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/membership"
	"dewlift/wire"
)

// tell sends a message to a peer, or to all. One that is not reached gets it by way of
// another: two zones may be cut off from each other while a third reaches both, and without
// the other's reports a leader takes live machines for silent.
func (c *Core) tell(peer string, m Msg) {
	for _, to := range c.cfg.Peers {
		if peer != "" && peer != to {
			continue
		}
		if by := c.controllers.membership.RelayFor(c.now, to); by != "" {
			via := m
			via.To, via.From = to, c.cfg.Name
			c.emit(ToPeer{Peer: by, Msg: via})
			continue
		}
		c.emit(ToPeer{Peer: to, Msg: m})
	}
}

// waitingHere lists, of each lane, the first of this controller's jobs that wait for room, and have for so long that others give way. What
// is short for seconds is had by whoever can use it at once: when all gave way after a second, hardly any work began within two.
func (c *Core) waitingHere() (out []Waiting) {
	first := make([]*job, c.priority.classes.Len())
	for _, j := range c.open {
		if !j.placement.hasUnplacedTasks || j.write.inFlight || !c.mine(j) || j.rec.Spec == nil || j.rec.Spec.MachineTypes != nil || j.rec.Spec.Zone != "" || c.now < j.placement.backoffUntil ||
			c.unixMS()-j.turn() < c.cfg.GiveWay.Milliseconds() || !c.teamOf(j.rec.Spec).hasRoom(j.rec.Spec.Request) {
			continue
		}
		if at := &first[c.risen(j)]; *at == nil || j.turn() < (*at).turn() {
			*at = j
		}
	}
	for lane, j := range first {
		if j != nil {
			out = append(out, Waiting{Priority: lane, AtMS: j.turn(), Spot: j.rec.Spec.Spot})
		}
	}
	return out
}

// othersFirst reports whether work that a new job must not pass waits for the same room here. Its tasks are then placed in the order of work,
// a moment after it was accepted: when they were placed with its acceptance, which comes before all placements, new jobs passed those that
// had waited longest.
func (c *Core) othersFirst(s *wire.JobSpec) bool {
	return len(c.priority.firstWaiting) > 0 && c.priority.firstWaiting[0].Priority <= c.priority.classes.Classify(s) && (c.priority.firstWaiting[0].Spot || !s.Spot)
}

// waitsBehind reports whether a job that waits comes after another of this controller's that does. When it was looked at by itself, as soon as it
// was accepted, it had room that had come free since the others were.
func (c *Core) waitsBehind(j *job) bool {
	if len(c.priority.firstWaiting) == 0 || j.rec.Spec == nil {
		return false
	}
	w, lane := c.priority.firstWaiting[0], c.laneOf(j)
	return w.Priority < lane || w.Priority == lane && w.AtMS < j.turn()
}

// tellHealth tells the others whether the state service is in reach here. A controller that
// has not loaded yet does so too: in an outage, the ones left need a majority's word for it.
func (c *Core) tellHealth() {
	if c.now >= c.controllers.nextHealthAt {
		c.controllers.nextHealthAt = c.now + c.cfg.HealthEvery
		c.priority.firstWaiting = c.waitingHere()
		c.emit(ToPeer{Msg: Msg{Health: &Health{StateOK: c.stateFresh(), Used: c.transactions.rateLimit.SampleWriteRate(c.cfg.HealthEvery), Hears: c.controllers.membership.ReachableExcept(c.now, ""), Loading: c.pagesRead(), Wait: c.priority.firstWaiting, Upto: c.heldUpTo()}}})
		c.shareBudget()
	}
}

// pagesRead is how many pages of all keys were read, while they are.
func (c *Core) pagesRead() int {
	if c.replica.loaded {
		return 0
	}
	return c.replica.pagesRead
}

func (c *Core) tellPeers() {
	if c.now >= c.deltaLog.nextBatchAt {
		c.deltaLog.nextBatchAt = c.now + c.cfg.DeltaEvery
		c.sendDeltas()
		c.sendReports()
	}
	if c.now >= c.commands.nextReturnRequestAt {
		c.commands.nextReturnRequestAt = c.now + time.Second
		c.ask()
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
	c.keepBatch(c.cfg.Name, deltaBatch{c.deltaLog.lastSeq, c.now, c.leadership.leader.Token, c.deltaLog.unsent})
	d := &Deltas{Seq: c.deltaLog.lastSeq, List: c.deltaLog.unsent}
	c.deltaLog.unsent = nil
	if c.lead != nil {
		c.lead.take(c, c.cfg.Name, d)
	}
	c.tell("", Msg{Deltas: d})
}

const heardBatch = 4 // batches of tuples from one of reports that say nothing new to the next: a machine is given up after seconds

// sendReports tells the others what machines reported to this controller. Reports that say
// nothing new, most of them in a large fleet, go as a line each.
func (c *Core) sendReports() {
	var heard []Heard
	if c.now >= c.agents.nextDigestAt {
		c.agents.nextDigestAt = c.now + c.eased(heardBatch*c.cfg.DeltaEvery)
		heard, c.agents.digestsToRelay = c.agents.digestsToRelay, nil
	}
	if len(c.agents.heartbeatsToRelay)+len(heard) > 0 {
		c.tell("", Msg{Reports: c.agents.heartbeatsToRelay, Heard: heard})
		c.agents.heartbeatsToRelay = nil
	}
	for _, peer := range sortedKeys(c.agents.missingHeartbeats) {
		c.tell(peer, Msg{Want: c.agents.missingHeartbeats[peer]})
		delete(c.agents.missingHeartbeats, peer)
	}
}

func (c *Core) keepBatch(from string, b deltaBatch) {
	list := append(c.deltaLog.uncounted[from], b)
	if len(list) > 64 {
		list = list[len(list)-64:]
	}
	c.deltaLog.uncounted[from] = list
}

// ask names to the leader machines whose return is needed as proof: those that hold cancelled
// tasks too long, and silent ones. A controller without a lease is no judge of silence: it may
// be the one that was cut off, and its news of machines that answered others all along would
// have them returned.
func (c *Core) ask() {
	if !c.leaseOK() {
		return
	}
	must := c.sweepCancels()
	var silent []string
	for _, m := range c.alive {
		if m.lifecycle.gone || !c.concerns(m) {
			continue
		}
		c.probe(m)
		if c.now-m.status.lastHeartbeatAt > c.silent()+2*time.Second {
			silent = append(silent, m.name)
		}
	}
	if len(must)+len(silent) == 0 {
		return
	}
	if c.lead != nil {
		c.lead.asked(c, must, silent)
	} else if c.leadership.leader.mark != 0 {
		c.tell(c.leadership.leader.Node, Msg{Return: must, Silent: silent})
	}
}

// concerns reports whether a machine holds tasks of this controller's jobs.
func (c *Core) concerns(m *machine) bool {
	for k := range m.allocation.assignments {
		if c.mine(c.jobs[k.job]) {
			return true
		}
	}
	return false
}

func (c *Core) fromPeer(in FromPeer) {
	p := c.controllers.membership.Peer(in.Peer)
	if p == nil {
		return
	}
	m := in.Msg
	c.controllers.membership.MarkHeard(c.now, in.Peer)
	if m.To != "" {
		if m.To != c.cfg.Name {
			if c.controllers.membership.Peer(m.To) != nil && m.From == in.Peer {
				c.emit(ToPeer{Peer: m.To, Msg: m})
			}
			return
		}
		if c.controllers.membership.Peer(m.From) == nil {
			return
		}
		in.Peer = m.From
	}
	if m.Orders != nil {
		id := c.id()
		c.commands.relayed[id] = relayed{in.Peer, m.Orders.ID}
		o := *m.Orders
		o.ID = id
		c.emit(o)
	}
	if m.Ordered != nil {
		c.ordered(*m.Ordered)
	}
	c.quorumMsg(in.Peer, &m)
	if m.Health != nil {
		c.cancelAcks.quorum.RecordHeldRevision(in.Peer, m.Health.Upto)
		p.StoreReachable, p.WriteRate, p.ReachablePeers, p.SnapshotPagesLoaded = m.Health.StateOK, max(0, m.Health.Used), m.Health.Hears, m.Health.Loading
		p.QueueHeads = p.QueueHeads[:0]
		for _, w := range m.Health.Wait {
			p.QueueHeads = append(p.QueueHeads, membership.QueuePosition(w))
		}
	}
	for _, r := range m.Reports {
		if r != nil {
			c.observe(r, false)
		}
	}
	for _, h := range m.Heard {
		c.heard(in.Peer, h)
	}
	if len(m.Want) > 0 {
		c.sendWanted(in.Peer, m.Want)
	}
	c.show(in.Peer, m.Show)
	if m.Deltas != nil {
		if c.lead != nil {
			c.lead.take(c, in.Peer, m.Deltas)
		}
		// A push may have counted it already: it came by another way. Counted twice, an end would
		// show room on a full machine until the row changes.
		if m.Deltas.Seq > c.clusterCopy.countedBatches[in.Peer] || c.clusterCopy.leaderToken != c.leadership.leader.Token {
			c.keepBatch(in.Peer, deltaBatch{m.Deltas.Seq, 0, c.leadership.leader.Token, m.Deltas.List})
			c.reapply(m.Deltas.List)
			c.placement.capacityFreed = true
		}
	}
	if len(m.Return)+len(m.Silent) > 0 && c.lead != nil {
		c.lead.asked(c, m.Return, m.Silent)
	}
	if m.Push != nil && c.lead == nil {
		c.pushed(m.Push)
	}
	if m.Resend && c.lead != nil {
		c.lead.fullAt = c.now
		c.lead.pushNow = true
	}
}

// sendWanted sends a controller the reports that it lacks, unless they went out meanwhile.
func (c *Core) sendWanted(peer string, names []string) {
	var rs []*wire.Heartbeat
	for _, n := range names {
		if i, ok := c.machineIdx[n]; ok && c.machines[i].status.reported && !c.machines[i].lifecycle.gone {
			rs = append(rs, c.reportOf(c.machines[i]))
		}
	}
	if len(rs) > 0 {
		c.tell(peer, Msg{Reports: rs})
	}
}

// show asks machines for their reports on behalf of a controller that may not reach them; of
// those that reported here it tells at once.
func (c *Core) show(peer string, names []string) {
	var known []string
	for _, n := range names {
		i, ok := c.machineIdx[n]
		if !ok {
			continue
		}
		if m := c.machines[i]; c.now-m.status.lastHeartbeatAt <= c.reportDue() {
			known = append(known, n)
		} else if !m.lifecycle.gone {
			c.probe(m)
		}
	}
	c.sendWanted(peer, known)
}

// askOthers has one of the others after the other ask quiet machines for their reports. Two zones
// may be cut off from each other: the machines of one that had reported to the other are well,
// but take longer to find a controller in reach than a silent machine is waited for.
func (l *lead) askOthers(c *Core, quiet []string) {
	in := c.controllers.membership.ReachableExcept(c.now, "")
	if len(quiet) == 0 || len(in) == 0 {
		return
	}
	l.asks++
	c.tell(in[l.asks%len(in)], Msg{Show: quiet})
}

// pushed takes the leader's array, or the rows of it that changed, and repeats on them what the
// leader had not counted yet.
func (c *Core) pushed(p *Push) {
	for _, n := range p.Gone {
		c.markGone(c.machine(n))
	}
	for _, x := range p.Stop {
		m, j := c.machine(x.Machine), c.job(x.Job)
		if a, ok := m.allocation.assignments[taskKey{j.idx, x.Task}]; ok && a.Attempt == x.Try && c.mine(j) && !j.final() {
			c.stopTask(m, attKey{j.idx, x.Task, x.Try}, j.rec.Spec, "made room for higher priority")
		}
	}
	c.clusterCopy.capacityHold = p.Hold
	whole := p.After == 0
	if !whole && (p.Token != c.clusterCopy.leaderToken || p.After != c.clusterCopy.revision) {
		// A push was lost on the way. The copy ages until the whole array comes.
		if c.now >= c.clusterCopy.nextResendAt && c.leadership.leader.mark != 0 {
			c.clusterCopy.nextResendAt = c.now + 500*time.Millisecond
			c.tell(c.leadership.leader.Node, Msg{Resend: true})
		}
		return
	}
	c.clusterCopy.leaderToken, c.clusterCopy.revision, c.clusterCopy.countedBatches = p.Token, p.Rev, p.Acks
	rows := make([]clusterstate.Row, 0, len(p.Rows))
	for _, r := range p.Rows {
		m := c.machine(r.Machine)
		if m.lifecycle.gone {
			continue
		}
		if m.identity.machineType == "" {
			m.identity.machineType, m.identity.zone, m.identity.spot = r.Type, r.Zone, r.Spot
		}
		rows = append(rows, clusterstate.Row{Machine: m.idx, Available: r.Avail, Allocated: r.Occ, Reserved: r.Keep, OfferedLast: r.Last, Schedulable: !r.Closed})
	}
	var pending []clusterstate.Delta
	for _, from := range sortedKeys(c.deltaLog.uncounted) {
		// A new leader seeds from reports instead.
		c.deltaLog.uncounted[from] = slices.DeleteFunc(c.deltaLog.uncounted[from], func(b deltaBatch) bool {
			if from == c.cfg.Name && b.token == p.Token && b.seq <= p.Acks[from] {
				c.deltaLog.countingDelay += (c.now - b.sent - c.deltaLog.countingDelay) / 8
			}
			return b.token != p.Token || b.seq <= p.Acks[from]
		})
		for _, b := range c.deltaLog.uncounted[from] {
			pending = c.tuples(pending, b.deltas)
		}
	}
	pending = c.tuples(pending, c.deltaLog.unsent)
	if whole {
		c.clusterCopy.state.Replace(c.now, rows, pending)
	} else {
		c.clusterCopy.state.Update(c.now, rows, pending)
	}
	c.placement.capacityFreed = true
}

// tuples appends tuples by the indices of their machines.
func (c *Core) tuples(list []clusterstate.Delta, ds []DeltaMsg) []clusterstate.Delta {
	for _, d := range ds {
		list = append(list, clusterstate.Delta{Start: d.Start, Machine: c.machine(d.Machine).idx, Request: d.Claim})
	}
	return list
}

// reapply takes the tuples of another controller on the copy.
func (c *Core) reapply(ds []DeltaMsg) {
	for _, d := range c.tuples(nil, ds) {
		c.clusterCopy.state.Apply(c.now, d)
	}
}
