package core

import (
	"dewlift/clusterstate"
	"dewlift/core/allocation"
	"dewlift/wire"
	"slices"
	"time"
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

func (c *Core) runLeader() {
	c.fetchCatalog()
	if !c.isLeader() || !c.holdsLease() {
		if !c.isLeader() {
			c.leaderState = nil
		}
		return
	}
	if c.leaderState == nil || c.leaderState.fencingToken != c.leadership.leader.FencingToken {
		c.leaderState = &leaderState{
			fencingToken:      c.leadership.leader.FencingToken,
			leadingSince:      c.now,
			array:             clusterstate.NewArray(),
			ackedBatchSeqs:    map[string]uint64{},
			scaleOutRequests:  map[string]*scaleOutRequest{},
			lastPreemptedFor:  map[int32]time.Duration{},
			blockedUntil:      map[nodeGroup]time.Duration{},
			cloudCallBudgetAt: c.now,
		}
		for _, m := range c.aliveMachines {
			r := m.leaderView.rentedAt
			m.leaderView = nodeState{rentedAt: r}
			c.addRowOnFirstHeartbeat(m)
		}
		c.log(LevelInfo, "leading", "token", c.leaderState.fencingToken)
	}
	l := c.leaderState
	l.cloudCallBudget = min(
		l.cloudCallBudget+(c.now-l.cloudCallBudgetAt).Seconds()*c.cfg.Autoscaling.CloudRequestRate,
		c.cfg.Autoscaling.CloudRequestRate,
	)
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
			// there is nothing to rent, so the next plan is much like this one
			if len(l.scaleOutRequests) == 0 && l.unmetJobs > manyUnmetJobs {
				l.nextPlanAt += c.planInterval()
			}
		}
		c.sendScaleOutRequests()
		c.returnMachines()
	}
	if c.now >= l.nextPushAt || l.pushRequested && c.now >= l.lastPushAt+c.cfg.State.MinPushInterval {
		c.pushArray()
	}
}

const maxGoneAnnounced = 2000 // machines whose end is told with every whole array

// addRowOnFirstHeartbeat gives a machine a row at its first report.
func (c *Core) addRowOnFirstHeartbeat(m *machine) {
	if c.leaderState == nil || m.lifecycle.gone || !m.status.reported || m.leaderView.rowComputedAt != 0 ||
		c.autoscaler.catalog == nil {
		return
	}
	if c.recomputeRow(m) {
		c.leaderState.pushRequested = c.leaderState.pushRequested || c.cfg.State.PushInterval < 3*time.Second
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
			seen = append(
				seen,
				allocation.ObservedTask{
					AttemptKey: attemptHash(c.jobs[k.jobIndex].id, k.task, a.Attempt),
					Request:    s.Request,
				},
			)
		}
	}
	for k, p := range m.status.tasks {
		if a, ok := m.allocation.assignments[taskKey{k.jobIndex, k.task}]; ok && a.Attempt == k.attempt ||
			p.state == wire.TaskExited {
			continue
		}
		if r := c.jobs[k.jobIndex].record; r != nil && r.Spec != nil {
			seen = append(
				seen,
				allocation.ObservedTask{
					AttemptKey: attemptHash(c.jobs[k.jobIndex].id, k.task, k.attempt),
					Request:    r.Spec.Request,
				},
			)
		}
	}
	c.leaderState.array.SetMachine(
		m.index,
		t.Capacity(),
		m.leaderView.allocations.Allocated(c.now, seen),
		c.isOffered(m),
	)
	m.leaderView.rowComputedAt = max(1, c.now)
	return true
}

func (c *Core) isOffered(m *machine) bool {
	return m.leaderView.cordonedAt == 0 && m.leaderView.returnReason == "" && m.lifecycle.interruptionDeadline == 0 &&
		!m.lifecycle.returnRequested
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
	l.nextPushAt, l.pushRequested, l.lastPushAt = c.now+c.cfg.State.PushInterval, false, c.now
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		// Tuples can be lost: a row with open ones is worked out again now and then.
		if last := max(m.leaderView.lastDeltaAt, m.status.lastChangeAt); last >= m.leaderView.rowComputedAt ||
			m.leaderView.allocations.HasPending() && c.now-m.leaderView.rowComputedAt > time.Second {
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
		l.nextFullPushAt = c.now + c.cfg.State.FullPushInterval
		l.goneMachines = l.goneMachines[max(0, len(l.goneMachines)-maxGoneAnnounced):]
		p.GoneMachines = slices.Clone(l.goneMachines)
	}
	rows, rev := l.array.ChangedSince(p.AfterRevision)
	p.Revision, l.pushedRevision = rev, rev
	for _, r := range rows {
		m := c.machines[r.Machine]
		p.Rows = append(p.Rows, MachineCapacity{
			Machine:       m.name,
			Type:          m.identity.machineType,
			Zone:          m.identity.zone,
			Spot:          m.identity.spot,
			Available:     r.Available,
			Allocated:     r.Allocated,
			Reserved:      r.Reserved,
			OfferedLast:   r.OfferedLast,
			Unschedulable: !r.Schedulable,
		})
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
