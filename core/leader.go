package core

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/allocation"
	"dewlift/core/jobrecord"
	"dewlift/wire"

	"github.com/cespare/xxhash/v2"
)

// nodeState is what the leader keeps about a machine.
type nodeState struct {
	allocations      allocation.Tracker
	lastDeltaAt      time.Duration          // when a tuple of it came last
	rowComputedAt    time.Duration          // when its row was worked out last; 0: it has none
	rentedAt         time.Duration          // when it was rented, by our clock; 0: not known
	emptySince       time.Duration          // since when it has had no task; 0: it has some
	cordonedAt       time.Duration          // since when it is being returned as idle; 0: it is not
	offeredLast      bool                   // offered last: the rest of the machines has room enough
	onDemandReserved clusterstate.Resources // room kept for work that may not use spot machines
	returnReason     string                 // why it must be returned; "": it need not
	zoneUnreachable  bool                   // it is quiet with most of its zone: others are to take its work over
}

type scaleOutRequest struct {
	request       wire.ScaleOutRequest
	inFlight      bool
	sent          bool // it may have been executed: only the same name may be asked again
	nextAttemptAt time.Duration
}

// leaderState is the state of the leader's term: the array, and the dealings with the cloud.
type leaderState struct {
	fencingToken      uint64
	leadingSince      time.Duration
	array             *clusterstate.Array
	ackedBatchSeqs    map[string]uint64
	nextPushAt        time.Duration
	lastPushAt        time.Duration
	pushedRevision    uint64        // of the array, as it was pushed last; 0: not yet
	nextFullPushAt    time.Duration // when the whole array is due again
	nextPlanAt        time.Duration
	nextPlanLogAt     time.Duration
	nextListAt        time.Duration
	listComplete      bool
	listInFlight      bool
	pollRequestRounds int    // rounds in which others were asked for quiet machines
	listAfter         string // the next page begins after this machine

	scaleOutRequests   map[string]*scaleOutRequest
	blockedUntil       map[nodeGroup]time.Duration
	scaleOutSeq        int
	cloudCallBudget    float64 // budget of cloud calls
	cloudCallBudgetAt  time.Duration
	cloudBackoffUntil  time.Duration
	returnInFlight     bool
	goneMachines       []string // told with every whole array
	newlyGone          []string // told with the next push
	capacityHold       *CapacityHold
	unmetJobs          int                     // jobs for which the last plan found no room
	pendingPreemptions []PreemptedTask         // for the next push
	lastPreemptedFor   map[int32]time.Duration // when room was last made for a job
	failedMachines     []string                // failed machines that are still listed
	pushRequested      bool
}

// fetchCatalog keeps the machine types; every controller needs them.
func (c *Core) fetchCatalog() {
	if c.autoscaler.catalogInFlight || c.now < c.autoscaler.nextCatalogAt {
		return
	}
	c.autoscaler.catalogInFlight = true
	id := c.nextID()
	c.autoscaler.calls[id] = func(in CloudResult) {
		c.autoscaler.catalogInFlight = false
		if in.Status != 200 || in.Catalog == nil {
			c.autoscaler.nextCatalogAt = c.now + 500*time.Millisecond + c.jitter(time.Second)
			return
		}
		c.autoscaler.nextCatalogAt = c.now + 45*time.Second + c.jitter(15*time.Second)
		if c.autoscaler.storedRevision == 0 {
			c.autoscaler.nextCatalogAt = c.now + 5*time.Second // until the leader has kept it
		}
		c.setCatalog(in.Catalog)
		c.persistCatalog(in.Catalog)
	}
	c.emit(CloudRequest{ID: id, Op: "catalog"})
}

// setCatalog takes the machine types that make sense.
func (c *Core) setCatalog(k *wire.Catalog) {
	next := map[string]*wire.MachineType{}
	for i := range k.Types {
		t := &k.Types[i]
		if t.Name == "" || !(t.CPUs > 0) || t.CPUs > 1e6 || t.GPUs < 0 || !(t.MemoryGB > 0) || !(t.Price >= 0) {
			c.log("error", "machine type not understood", "type", t.Name)
			continue
		}
		next[t.Name] = t
	}
	if len(next) > 0 {
		c.autoscaler.catalog, c.autoscaler.typeNames = next, sortedKeys(next)
	}
}

// persistCatalog has the leader keep the machine types in the state service: a controller that
// restarts while the cloud is down would otherwise serve nobody until it is back.
func (c *Core) persistCatalog(k *wire.Catalog) {
	if c.leaderState == nil || c.autoscaler.storeInFlight || !c.holdsLease() {
		return
	}
	same := slices.EqualFunc(k.Types, c.autoscaler.storedCatalog.Types, func(a, b wire.MachineType) bool {
		return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.Price == b.Price &&
			a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
	})
	if same {
		return
	}
	raw, err := jobrecord.EncodeCatalog(k, c.cfg.MaxValueBytes, c.schemaVersion() >= schemaDependencies)
	if err != nil || len(raw) > c.cfg.MaxValueBytes {
		return
	}
	c.autoscaler.storeInFlight = true
	t := wire.Txn{Compare: []wire.Compare{{Key: keyMachineTypes, Revision: c.autoscaler.storedRevision}}, Then: []wire.Write{{Put: keyMachineTypes, Value: raw}}}
	c.commitTxn(t, &pendingTxn{onDone: func(int, wire.TxnResponse) { c.autoscaler.storeInFlight = false }})
}

func (c *Core) runLeader() {
	c.fetchCatalog()
	if !c.isLeader() || !c.holdsLease() {
		if !c.isLeader() {
			c.leaderState = nil
		}
		return
	}
	if c.leaderState == nil || c.leaderState.fencingToken != c.leadership.leader.FencingToken {
		c.leaderState = &leaderState{fencingToken: c.leadership.leader.FencingToken, leadingSince: c.now, array: clusterstate.NewArray(), ackedBatchSeqs: map[string]uint64{},
			scaleOutRequests: map[string]*scaleOutRequest{}, lastPreemptedFor: map[int32]time.Duration{}, blockedUntil: map[nodeGroup]time.Duration{}, cloudCallBudgetAt: c.now}
		for _, m := range c.aliveMachines {
			r := m.leaderView.rentedAt
			m.leaderView = nodeState{rentedAt: r}
			c.addRowOnFirstHeartbeat(m)
		}
		c.log("info", "leading", "token", c.leaderState.fencingToken)
	}
	l := c.leaderState
	l.cloudCallBudget = min(l.cloudCallBudget+(c.now-l.cloudCallBudgetAt).Seconds()*c.cfg.CloudRequestRate, c.cfg.CloudRequestRate)
	l.cloudCallBudgetAt = c.now
	if c.autoscaler.catalog == nil {
		return
	}
	if c.now >= l.nextPlanAt {
		l.nextPlanAt = c.now + c.planInterval()
		c.listMachines()
		c.checkMachines()
		if l.listComplete && c.now-l.leadingSince > 2*time.Second {
			c.planScaling()
			if len(l.scaleOutRequests) == 0 && l.unmetJobs > manyUnmetJobs { // there is nothing to rent, so the next plan is much like this one
				l.nextPlanAt += c.planInterval()
			}
		}
		c.sendScaleOutRequests()
		c.returnMachines()
	}
	if c.now >= l.nextPushAt || l.pushRequested && c.now >= l.lastPushAt+c.cfg.MinStatePushInterval {
		c.pushArray()
	}
}

const maxGoneAnnounced = 2000 // machines whose end is told with every whole array

// addRowOnFirstHeartbeat gives a machine a row at its first report.
func (c *Core) addRowOnFirstHeartbeat(m *machine) {
	if c.leaderState == nil || m.lifecycle.gone || !m.status.reported || m.leaderView.rowComputedAt != 0 || c.autoscaler.catalog == nil {
		return
	}
	if c.recomputeRow(m) {
		c.leaderState.pushRequested = c.leaderState.pushRequested || c.cfg.StatePushInterval < 3*time.Second
	}
}

// allocatedOn is the room taken on a machine, by the committed assignments and its report.
func (c *Core) allocatedOn(m *machine) clusterstate.Resources {
	if m.allocation.known {
		return m.allocation.allocated
	}
	var occ clusterstate.Resources
	for k, a := range m.allocation.assignments {
		if p := m.status.tasks[attemptKey{k.jobIndex, k.task, a.Attempt}]; p.state == wire.TaskExited {
			continue // ended, only the write of it is not seen yet
		}
		if s := c.jobs[k.jobIndex].record.Spec; s != nil {
			occ = occ.AddScaled(s.Request, 1)
		}
	}
	known := true
	for k, p := range m.status.tasks {
		if p.state == wire.TaskExited {
			continue
		}
		if a, ok := m.allocation.assignments[taskKey{k.jobIndex, k.task}]; ok && a.Attempt == k.attempt {
			continue
		}
		if r := c.jobs[k.jobIndex].record; r != nil && r.Spec != nil {
			occ = occ.AddScaled(r.Spec.Request, 1)
		} else {
			known = false // its job's record may come, without a change here
		}
	}
	m.allocation.allocated, m.allocation.known = occ, known
	return occ
}

// recomputeRow works out a machine's row.
func (c *Core) recomputeRow(m *machine) bool {
	t := c.autoscaler.catalog[m.identity.machineType]
	if t == nil {
		return false
	}
	seen := make([]allocation.ObservedTask, 0, len(m.allocation.assignments))
	for k, a := range m.allocation.assignments {
		if s := c.jobs[k.jobIndex].record.Spec; s != nil {
			seen = append(seen, allocation.ObservedTask{AttemptKey: attemptHash(c.jobs[k.jobIndex].id, k.task, a.Attempt), Request: s.Request})
		}
	}
	for k, p := range m.status.tasks {
		if a, ok := m.allocation.assignments[taskKey{k.jobIndex, k.task}]; ok && a.Attempt == k.attempt || p.state == wire.TaskExited {
			continue
		}
		if r := c.jobs[k.jobIndex].record; r != nil && r.Spec != nil {
			seen = append(seen, allocation.ObservedTask{AttemptKey: attemptHash(c.jobs[k.jobIndex].id, k.task, k.attempt), Request: r.Spec.Request})
		}
	}
	c.leaderState.array.SetMachine(m.index, t.Capacity(), m.leaderView.allocations.Allocated(c.now, seen), c.isOffered(m))
	m.leaderView.rowComputedAt = max(1, c.now)
	return true
}

// attemptHash names an attempt in tuples.
func attemptHash(job string, task int32, try uint64) uint64 {
	raw := append(make([]byte, 0, 64), job...)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(task))
	return max(1, xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, try)))
}

func (c *Core) isOffered(m *machine) bool {
	return m.leaderView.cordonedAt == 0 && m.leaderView.returnReason == "" && m.lifecycle.interruptionDeadline == 0 && !m.lifecycle.returnRequested
}

// applyDeltas counts a controller's tuples.
func (l *leaderState) applyDeltas(c *Core, from string, d *AllocationDeltas) {
	if d.Seq <= l.ackedBatchSeqs[from] && d.Seq > 1 {
		return
	}
	l.ackedBatchSeqs[from] = d.Seq
	for _, t := range d.Deltas {
		m := c.internMachine(t.Machine)
		m.leaderView.lastDeltaAt = c.now
		m.leaderView.allocations.RecordDelta(c.now, t.Start, t.AttemptHash, t.Request)
	}
}

// pushArray sends the array to all controllers: the rows that changed since the last push, and from
// time to time all of them.
func (c *Core) pushArray() {
	l := c.leaderState
	l.nextPushAt, l.pushRequested, l.lastPushAt = c.now+c.cfg.StatePushInterval, false, c.now
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		// Tuples can be lost: a row with open ones is worked out again now and then.
		if last := max(m.leaderView.lastDeltaAt, m.status.lastChangeAt); last >= m.leaderView.rowComputedAt || m.leaderView.allocations.HasPending() && c.now-m.leaderView.rowComputedAt > time.Second {
			c.recomputeRow(m)
		}
		l.array.SetOffer(m.index, c.isOffered(m), m.leaderView.offeredLast, m.leaderView.onDemandReserved)
	}
	p := &StatePush{FencingToken: l.fencingToken, DeltaAcks: map[string]uint64{}, AfterRevision: l.pushedRevision}
	for k, v := range l.ackedBatchSeqs {
		p.DeltaAcks[k] = v
	}
	p.GoneMachines, l.newlyGone = l.newlyGone, nil
	if c.now >= l.nextFullPushAt || l.pushedRevision == 0 {
		p.AfterRevision = 0
		l.nextFullPushAt = c.now + c.cfg.FullStatePushInterval
		l.goneMachines = l.goneMachines[max(0, len(l.goneMachines)-maxGoneAnnounced):]
		p.GoneMachines = slices.Clone(l.goneMachines)
	}
	rows, rev := l.array.ChangedSince(p.AfterRevision)
	p.Revision, l.pushedRevision = rev, rev
	for _, r := range rows {
		m := c.machines[r.Machine]
		p.Rows = append(p.Rows, MachineCapacity{Machine: m.name, Type: m.identity.machineType, Zone: m.identity.zone, Spot: m.identity.spot,
			Available: r.Available, Allocated: r.Allocated, Reserved: r.Reserved, OfferedLast: r.OfferedLast, Unschedulable: !r.Schedulable})
	}
	p.Preempted, l.pendingPreemptions = l.pendingPreemptions, nil
	p.CapacityHold = l.capacityHold
	c.sendToPeers("", Message{StatePush: p})
	c.applyPush(p)
}

// announceGone has the others told that a machine is gone.
func (l *leaderState) announceGone(name string) {
	l.goneMachines = append(l.goneMachines, name)
	l.newlyGone = append(l.newlyGone, name)
	l.pushRequested = true
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

func (c *Core) markForReturn(m *machine, why string) {
	if m.leaderView.returnReason == "" && !m.lifecycle.gone {
		m.leaderView.returnReason = why
		c.log("info", "machine to be returned", "machine", m.name, "type", m.identity.machineType, "zone", m.identity.zone, "spot", m.identity.spot, "why", why,
			"tasks", len(m.allocation.assignments), "quiet_ms", (c.now - m.status.lastHeartbeatAt).Milliseconds())
	}
}

func (c *Core) callCloud(op CloudRequest, f func(CloudResult)) bool {
	l := c.leaderState
	if l.cloudCallBudget < 1 || c.now < l.cloudBackoffUntil {
		return false
	}
	l.cloudCallBudget--
	op.ID = c.nextID()
	c.autoscaler.calls[op.ID] = func(in CloudResult) {
		if c.leaderState == l && (in.Status == 429 || in.Status == 0 || in.Status == 503 && in.Error != noCapacity) {
			l.cloudBackoffUntil = c.now + 300*time.Millisecond + c.jitter(300*time.Millisecond)
		}
		f(in)
	}
	c.emit(op)
	return true
}

const noCapacity = "no capacity"

// listMachines reads the cloud's list of machines, a page a call: a large fleet takes several, and
// the calls are few.
func (c *Core) listMachines() {
	l := c.leaderState
	if l.listInFlight || c.now < l.nextListAt {
		return
	}
	l.listInFlight = c.callCloud(CloudRequest{Op: "list", AfterMachine: l.listAfter}, func(in CloudResult) {
		if c.leaderState != l {
			return
		}
		l.listInFlight = false
		if in.Status != 200 {
			l.nextListAt = c.now + time.Second
			return
		}
		l.nextListAt = c.now + c.cfg.CloudListInterval
		l.listAfter = ""
		if n := len(in.Machines); in.More && n > 0 {
			l.listAfter = in.Machines[n-1].Name
			if !l.listComplete {
				l.nextListAt = c.now
			}
		}
		l.listComplete = l.listComplete || l.listAfter == ""
		for _, e := range in.Machines {
			m := c.internMachine(e.Name)
			if m.lifecycle.gone {
				continue
			}
			if m.identity.machineType == "" {
				m.identity.machineType, m.identity.zone, m.identity.spot = e.Type, e.Zone, e.Spot
			}
			if m.identity.address == "" {
				m.identity.address = e.Addr
			}
			if at := c.now - time.Duration(e.AgeS*float64(time.Second)); m.leaderView.rentedAt == 0 && e.AgeS >= 0 && e.AgeS < 1e9 {
				m.leaderView.rentedAt = at
			}
			if e.Stage == wire.MachineFailed {
				c.confirmGone(m)
				m.leaderView.returnReason = "failed"
				l.failedMachines = append(l.failedMachines, m.name)
			}
		}
	})
}

// confirmGone records and tells proof that a machine is gone.
func (c *Core) confirmGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	c.markMachineGone(m)
	c.leaderState.announceGone(m.name)
}

// checkMachines finds machines that must be returned: silent ones, those that never came up,
// and those whose notice runs out.
func (c *Core) checkMachines() {
	l := c.leaderState
	type count struct{ up, silent int }
	zones, all := map[string]*count{}, &count{}
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		z := zones[m.identity.zone]
		if z == nil {
			z = &count{}
			zones[m.identity.zone] = z
		}
		for _, n := range []*count{z, all} {
			n.up++
			if c.now-m.status.lastHeartbeatAt > c.silenceTimeout()*4/5 {
				n.silent++
			}
		}
	}
	// If most are silent at once, it is rather this controller that does not hear.
	deaf := all.silent*2 > all.up && all.silent > 1
	for zone, n := range zones {
		if !c.isZoneSilent(zone, replacementSilenceLimit) && (deaf || n.silent*2 <= n.up || n.silent < 3) {
			delete(zones, zone)
			continue
		}
		for _, typ := range c.autoscaler.typeNames { // what would be rented there could not be used
			for _, spot := range []bool{false, true} {
				l.blockedUntil[nodeGroup{typ, zone, spot}] = c.now + 3*time.Second
			}
		}
	}
	var others []string // machines that others are to ask
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || m.leaderView.returnReason != "" {
			continue
		}
		quiet := c.now - m.status.lastHeartbeatAt
		if m.status.reported && quiet > c.maxHeartbeatGap() {
			others = append(others, m.name)
		}
		m.leaderView.zoneUnreachable = m.status.reported && (zones[m.identity.zone] != nil && quiet > c.maxHeartbeatGap() || c.isZoneSilent(m.identity.zone, replacementSilenceLimit))
		switch {
		case !m.status.reported:
			boot := cmp.Or(c.nominalBootTime(m.identity.machineType), 30*time.Second)
			if c.now-max(m.identity.firstSeenAt, m.leaderView.rentedAt, l.leadingSince-boot) > scaleDuration(boot, c.cfg.BootTimeoutFactor)+c.cfg.CloudListLag*2 {
				c.markForReturn(m, "never came up")
			}
		case m.lifecycle.interruptionDeadline > 0 && c.now > m.lifecycle.interruptionDeadline-1500*time.Millisecond:
			c.markForReturn(m, "its notice runs out")
		case m.leaderView.zoneUnreachable && quiet < c.unreachableZoneGrace(m) && !c.delayMissesDeadline(m, c.unreachableZoneGrace(m)-quiet):
			c.pollQuietAgent(m)
		case quiet > c.silenceTimeout() && (!deaf || quiet > c.cfg.AgentLeaseTTL+10*time.Second) && c.now-l.leadingSince > c.silenceTimeout():
			c.markForReturn(m, "silent")
		case c.isProvenFaulty(m):
			c.markForReturn(m, "faulty")
		default:
			c.pollQuietAgent(m)
		}
	}
	l.requestPollsByPeer(c, others)
}

// unreachableZoneGrace is how long the machines of a silent zone are kept. The zone may only be cut off:
// its tasks run on until the workers' leases end. So others are rented first, and these are
// returned when those should be up. When they were returned at once, all tasks there ended
// while nothing was up to take them.
func (c *Core) unreachableZoneGrace(m *machine) time.Duration {
	ready := c.silenceTimeout() + c.nominalBootTime(m.identity.machineType) + c.cfg.ScaleOutLeadTime
	return max(c.silenceTimeout(), min(ready, c.cfg.AgentLeaseTTL-c.cfg.ScaleOutLeadTime))
}

// delayMissesDeadline reports whether waiting would make a task of a machine late for a deadline, its job's or
// that of one which needs it. Machines with replicas are not given up for it: these serve on.
func (c *Core) delayMissesDeadline(m *machine, wait time.Duration) bool {
	late := false
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.jobIndex]
		s := j.record.Spec
		if s == nil || j.isFinal() || m.status.tasks[attemptKey{k.jobIndex, k.task, a.Attempt}].state == wire.TaskExited {
			continue
		}
		if s.Service {
			return false
		}
		late = late || j.effectiveDeadlineMS != 0 && c.unixMS()+wait.Milliseconds()+s.EstimatedRuntimeMS > j.effectiveDeadlineMS
	}
	return late
}

// maxHeartbeatGap is how long a machine that is well stays quiet at most.
func (c *Core) maxHeartbeatGap() time.Duration {
	return c.cfg.HeartbeatInterval*5/4 + 300*time.Millisecond
}

// silenceTimeout is how long a machine is quiet before it is given up. It follows from how often
// workers report: a fixed time was shorter than the pauses of machines that report every 6 s,
// and healthy ones were returned.
func (c *Core) silenceTimeout() time.Duration { return c.maxHeartbeatGap() + c.cfg.SilenceTimeout }

// pollQuietAgent asks a machine for its report when none has come, directly or from others: while the
// controllers can't reach each other, it is the only news of tasks that report elsewhere. One that does not answer
// is asked less and less often, and few are asked at a time: every controller asked every machine of a lost zone once a second,
// and each question held a socket until its timeout. Machines that answer make room for the next at once.
func (c *Core) pollQuietAgent(m *machine) {
	if c.agents.pollsInFlight >= c.cfg.MaxPollRequests || !m.status.reported || c.now-m.status.lastHeartbeatAt <= c.maxHeartbeatGap() || m.status.polls > 0 && c.now-m.status.lastPollAt <= time.Second<<min(m.status.polls-1, 4) {
		return
	}
	m.status.lastPollAt, m.status.polls = c.now, m.status.polls+1
	c.agents.pollsInFlight++
	c.emit(PollAgent{Machine: m.name, Addr: m.identity.address})
}

// returnMachines returns what must be returned, once at a time and again until it is confirmed.
func (c *Core) returnMachines() {
	l := c.leaderState
	if l.returnInFlight {
		return
	}
	// Replicas wait for the proof; those of a lost zone are many.
	var due, later []*machine
	for _, m := range c.aliveMachines {
		switch {
		case m.lifecycle.gone || m.leaderView.returnReason == "":
		case c.busyHorizon(m) < unboundedHorizon:
			later = append(later, m)
		default:
			due = append(due, m)
		}
	}
	due = append(due, later...)
	names := slices.Clone(l.failedMachines[:min(len(l.failedMachines), 50)])
	for _, m := range due[:min(len(due), 100-len(names))] {
		m.lifecycle.returnRequested = true
		names = append(names, m.name)
	}
	if len(names) == 0 {
		return
	}
	l.returnInFlight = c.callCloud(CloudRequest{Op: "return", MachineNames: names}, func(in CloudResult) {
		if c.leaderState != l {
			if in.Status == 200 {
				for _, n := range names {
					c.markMachineGone(c.internMachine(n))
				}
			}
			return
		}
		l.returnInFlight = false
		if in.Status != 200 {
			return
		}
		for _, n := range names {
			c.confirmGone(c.internMachine(n))
		}
		l.failedMachines = slices.DeleteFunc(l.failedMachines, func(n string) bool { return slices.Contains(names, n) })
	})
}

// sendScaleOutRequests sends rental requests, each under its own name until it is answered.
func (c *Core) sendScaleOutRequests() {
	l := c.leaderState
	for _, name := range sortedKeys(l.scaleOutRequests) {
		r := l.scaleOutRequests[name]
		if r.inFlight || c.now < r.nextAttemptAt {
			continue
		}
		r.inFlight = c.callCloud(CloudRequest{Op: "rent", ScaleOut: r.request}, func(in CloudResult) {
			r.inFlight = false
			r.nextAttemptAt = c.now + time.Second
			p := nodeGroup{r.request.Type, r.request.Zone, r.request.Spot}
			switch {
			case in.Status == 200:
				delete(l.scaleOutRequests, name)
				if len(in.MachineNames) < r.request.Count {
					l.blockedUntil[p] = c.now + 10*time.Second
				}
				for _, n := range in.MachineNames {
					m := c.internMachine(n)
					if m.identity.machineType == "" {
						m.identity.machineType, m.identity.zone, m.identity.spot = p.machineType, p.zone, p.spot
					}
					m.leaderView.rentedAt = c.now
				}
			case in.Status == 503 && in.Error == noCapacity, in.Status == 400:
				delete(l.scaleOutRequests, name)
				l.blockedUntil[p] = c.now + 10*time.Second
			}
		})
		if !r.inFlight {
			return
		}
		if !r.sent {
			r.sent = true
			c.log("info", "renting", "hire", name, "type", r.request.Type, "zone", r.request.Zone, "spot", r.request.Spot, "count", r.request.Count)
		}
	}
}
