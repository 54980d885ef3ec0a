package core

import (
	"maps"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/allocation"
	"dewlift/wire"
)

// leaderMachineState is the leader's view of a machine. All fields except provisionedAt are reset at the
// start of each term.
type leaderMachineState struct {
	allocations      allocation.Tracker
	lastDeltaAt      time.Duration          // when its last allocation delta arrived
	rowComputedAt    time.Duration          // when its row was last computed; 0: it has none
	provisionedAt    time.Duration          // when the cloud started it, by this clock; 0: not known
	emptySince       time.Duration          // since when it has had no task; 0: it has some
	cordonedAt       time.Duration          // when it was cordoned as idle; 0: it is not cordoned
	offeredLast      bool                   // placement prefers all other machines, so that this one empties
	onDemandReserved clusterstate.Resources // reserved for work that may not use spot machines
	scaleInReason    string                 // why it must be scaled in; empty: it need not be
	lastListedAt     time.Duration          // when a page of the cloud's list last contained it; 0: never
	zoneUnreachable  bool                   // silent like most of its zone: its tasks are to be replaced
}

// leaderState is the state of one leader's term: the cluster state array, the scaling plan and the requests
// to the cloud API.
type leaderState struct {
	*environment

	autoscaler *autoscalerState
	machines   *machineTable

	ended          bool // the term is over, although answers to its requests may still arrive
	fencingToken   uint64
	leadingSince   time.Duration
	array          *clusterstate.Array
	ackedBatchSeqs map[string]uint64 // by controller: sequence number of its last batch of allocation deltas
	nextPushAt     time.Duration
	lastPushAt     time.Duration
	pushedRevision uint64 // revision of the array as of the last push; 0: none in this term
	nextFullPushAt time.Duration
	nextPlanAt     time.Duration
	nextPlanLogAt  time.Duration
	nextListAt     time.Duration
	listComplete   bool // all pages of the cloud's list have been read at least once
	listInFlight   bool
	listStartedAt  time.Duration // when the first page of the list being read was requested

	// completeListStartedAt is the same of the last list that was read completely.
	completeListStartedAt time.Duration

	pollRequestRounds int    // number of times that a peer was asked to poll machines
	listAfter         string // the next page begins after this machine

	scaleOutRequests   map[string]*scaleOutRequest // by idempotency key
	blockedUntil       map[nodeGroup]time.Duration // until when the group is not scaled out
	scaleOutSeq        int
	cloudCallBudget    float64 // tokens, one for each cloud request
	cloudCallBudgetAt  time.Duration
	cloudBackoffUntil  time.Duration
	scaleInInFlight    bool
	goneMachines       []string // sent with every full push
	newlyGone          []string // sent with the next push
	capacityHold       *CapacityHold
	unmetJobs          int                        // jobs whose demand did not fit the free capacity at the last plan
	pendingPreemptions []PreemptedTask            // sent with the next push
	lastPreemptedFor   map[int32]preemptionRecord // by the index of the job for which tasks were preempted
	failedMachines     []string                   // failed machines that the cloud still lists
	pushRequested      bool
}

const (
	maxGoneAnnounced = 2000 // machines that a full push announces as gone

	// planningDelay is the minimum time from the start of a term to its first plan.
	planningDelay = 2 * time.Second

	// pendingRowInterval is the time between recomputations of a row with pending deltas, as deltas can be
	// lost.
	pendingRowInterval = time.Second

	// slowPushInterval is the shortest push interval with which a new row waits for the regular push.
	slowPushInterval = 3 * time.Second
)

// runLeader does the leader's work that is due. On other controllers it only refreshes the catalog.
func (c *Core) runLeader() {
	if c.autoscaler.isCatalogDue() {
		c.autoscaler.readCatalog(c.persistCatalog)
	}
	if !c.leadership.isHeld() {
		c.endTerm()
		return
	}
	if !c.ownLease.isHeld() {
		return
	}
	if c.leaderState == nil || c.leaderState.fencingToken != c.leadership.leader.FencingToken {
		c.startTerm()
	}
	l := c.leaderState
	l.refillCloudCallBudget()
	if c.autoscaler.catalog == nil {
		return
	}
	if c.now >= l.nextPlanAt {
		c.runAutoscaler()
	}
	if c.now >= l.nextPushAt || l.pushRequested && c.now >= l.lastPushAt+c.cfg.State.MinPushInterval {
		c.pushArray()
	}
}

// newLeaderState returns the state of a new term.
func newLeaderState(autoscaler *autoscalerState, machines *machineTable, fencingToken uint64) *leaderState {
	return &leaderState{
		environment:       autoscaler.environment,
		autoscaler:        autoscaler,
		machines:          machines,
		fencingToken:      fencingToken,
		leadingSince:      autoscaler.now,
		array:             clusterstate.NewArray(),
		ackedBatchSeqs:    map[string]uint64{},
		scaleOutRequests:  map[string]*scaleOutRequest{},
		lastPreemptedFor:  map[int32]preemptionRecord{},
		blockedUntil:      map[nodeGroup]time.Duration{},
		cloudCallBudgetAt: autoscaler.now,
	}
}

// endTerm ends this controller's term as the leader, if there is one, so that late answers to its requests
// do not affect the next term.
func (c *Core) endTerm() {
	if c.leaderState != nil {
		c.log(LevelInfo, "leadership ended", "token", c.leaderState.fencingToken)
		c.leaderState.ended = true
		c.leaderState = nil
	}
}

// startTerm starts a term of this controller as the leader.
func (c *Core) startTerm() {
	c.endTerm()
	c.leaderState = newLeaderState(&c.autoscaler, &c.machineTable, c.leadership.leader.FencingToken)
	for _, machine := range c.aliveMachines {
		machine.leaderView = leaderMachineState{provisionedAt: machine.leaderView.provisionedAt}
		c.leaderState.addRowOnFirstHeartbeat(machine, c.jobs)
	}
	c.log(LevelInfo, "became leader", "token", c.leaderState.fencingToken)
}

// refillCloudCallBudget adds the cloud requests allowed since the last refill, up to those of one second.
func (l *leaderState) refillCloudCallBudget() {
	rate := l.cfg.Autoscaling.CloudRequestRate
	l.cloudCallBudget = min(l.cloudCallBudget+(l.now-l.cloudCallBudgetAt).Seconds()*rate, rate)
	l.cloudCallBudgetAt = l.now
}

// runAutoscaler lists and checks the machines, plans scaling once the list is complete, and sends the
// resulting requests to the cloud API.
func (c *Core) runAutoscaler() {
	l := c.leaderState
	l.nextPlanAt = c.now + planInterval(c.overload.Level())
	c.listMachines()
	c.checkMachines()
	if l.listComplete && c.now-l.leadingSince > planningDelay {
		c.planScaling()
		// Nothing can be scaled out, so the next plan would hardly differ and may wait.
		if len(l.scaleOutRequests) == 0 && l.unmetJobs > manyUnmetJobs {
			l.nextPlanAt += planInterval(c.overload.Level())
		}
	}
	l.sendScaleOutRequests()
	c.scaleInMachines()
}

// addRowOnFirstHeartbeat computes the row of a machine that has none, once it has sent a heartbeat.
func (l *leaderState) addRowOnFirstHeartbeat(m *machine, jobs []*job) {
	if m.lifecycle.gone || !m.status.reported || m.leaderView.rowComputedAt != 0 || l.autoscaler.catalog == nil {
		return
	}
	if l.recomputeRow(m, jobs) && l.cfg.State.PushInterval < slowPushInterval {
		l.pushRequested = true
	}
}

// allocatedResources returns the resources allocated on a machine: to its committed assignments, and to
// other attempts that its heartbeat lists. The result is cached until either changes.
func (m *machine) allocatedResources(jobs []*job) clusterstate.Resources {
	if m.allocation.allocatedValid {
		return m.allocation.allocated
	}
	var allocated clusterstate.Resources
	for key, assignment := range m.allocation.assignments {
		status := m.status.tasks[attemptKey{key.jobIndex, key.task, assignment.Attempt}]
		if status.state == wire.TaskExited {
			continue // ended, although the write of its end is not in the replica yet
		}
		if spec := jobs[key.jobIndex].record.Spec; spec != nil {
			allocated = allocated.AddScaled(spec.Request, 1)
		}
	}
	complete := true
	for key, status := range m.status.tasks {
		if status.state == wire.TaskExited || m.isAssigned(key) {
			continue
		}
		if record := jobs[key.jobIndex].record; record != nil && record.Spec != nil {
			allocated = allocated.AddScaled(record.Spec.Request, 1)
		} else {
			complete = false // not cached: the job's record may still arrive, which does not invalidate the cache
		}
	}
	m.allocation.allocated, m.allocation.allocatedValid = allocated, complete
	return allocated
}

// isAssigned reports whether an attempt is the one that the machine's committed assignment names.
func (m *machine) isAssigned(key attemptKey) bool {
	assignment, ok := m.allocation.assignments[taskKey{key.jobIndex, key.task}]
	return ok && assignment.Attempt == key.attempt
}

// recomputeRow computes a machine's row of the array. It returns false if the machine type is unknown.
func (l *leaderState) recomputeRow(m *machine, jobs []*job) bool {
	machineType := l.autoscaler.catalog[m.identity.machineType]
	if machineType == nil {
		return false
	}
	allocated := m.leaderView.allocations.Allocated(l.now, m.observedTasks(jobs))
	l.array.SetMachine(m.index, machineType.Capacity(), allocated, m.isOffered())
	m.leaderView.rowComputedAt = max(1, l.now)
	return true
}

// observedTasks lists the tasks that hold resources on a machine according to the store and its heartbeat.
func (m *machine) observedTasks(jobs []*job) []allocation.ObservedTask {
	observed := make([]allocation.ObservedTask, 0, len(m.allocation.assignments))
	for key, assignment := range m.allocation.assignments {
		if spec := jobs[key.jobIndex].record.Spec; spec != nil {
			observed = append(observed, allocation.ObservedTask{
				AttemptKey: attemptHash(jobs[key.jobIndex].id, key.task, assignment.Attempt),
				Request:    spec.Request,
			})
		}
	}
	for key, status := range m.status.tasks {
		if status.state == wire.TaskExited || m.isAssigned(key) {
			continue
		}
		if record := jobs[key.jobIndex].record; record != nil && record.Spec != nil {
			observed = append(observed, allocation.ObservedTask{
				AttemptKey: attemptHash(jobs[key.jobIndex].id, key.task, key.attempt),
				Request:    record.Spec.Request,
			})
		}
	}
	return observed
}

// isOffered reports whether the leader permits new tasks on a machine.
func (m *machine) isOffered() bool {
	return m.leaderView.cordonedAt == 0 && m.leaderView.scaleInReason == "" &&
		m.lifecycle.interruptionDeadline == 0 && !m.lifecycle.scaleInRequested
}

// applyDeltas records a batch of allocation deltas of a controller. A repeated batch is ignored, except
// for sequence number 1, with which a controller begins again after a restart.
func (l *leaderState) applyDeltas(from string, batch *AllocationDeltas) {
	if batch.Seq <= l.ackedBatchSeqs[from] && batch.Seq > 1 {
		return
	}
	l.ackedBatchSeqs[from] = batch.Seq
	for _, delta := range batch.Deltas {
		target := l.machines.internMachine(delta.Machine)
		target.leaderView.lastDeltaAt = l.now
		target.leaderView.allocations.RecordDelta(l.now, delta.Start, delta.AttemptHash, delta.Request)
	}
}

// pushArray sends the next push to all other controllers, and applies it to this one.
func (c *Core) pushArray() {
	c.leaderState.refreshRows(c.jobs)
	push := c.leaderState.nextPush()
	c.controllers.sendToPeers("", Message{StatePush: push})
	c.applyPush(push)
}

// nextPush returns the next push: an incremental push of the rows that changed since the last one, or a
// full push if one is due.
func (l *leaderState) nextPush() *StatePush {
	l.nextPushAt, l.pushRequested, l.lastPushAt = l.now+l.cfg.State.PushInterval, false, l.now
	push := &StatePush{
		FencingToken:  l.fencingToken,
		DeltaAcks:     make(map[string]uint64, len(l.ackedBatchSeqs)),
		AfterRevision: l.pushedRevision,
	}
	maps.Copy(push.DeltaAcks, l.ackedBatchSeqs)
	push.GoneMachines, l.newlyGone = l.newlyGone, nil
	if l.now >= l.nextFullPushAt || l.pushedRevision == 0 {
		push.AfterRevision = 0
		l.nextFullPushAt = l.now + l.cfg.State.FullPushInterval
		l.goneMachines = l.goneMachines[max(0, len(l.goneMachines)-maxGoneAnnounced):]
		push.GoneMachines = slices.Clone(l.goneMachines)
	}
	rows, revision := l.array.ChangedSince(push.AfterRevision)
	push.Revision, l.pushedRevision = revision, revision
	push.Rows = machineCapacities(rows, l.machines.machines)
	push.Preempted, l.pendingPreemptions = l.pendingPreemptions, nil
	push.CapacityHold = l.capacityHold
	return push
}

// refreshRows recomputes the rows of machines that have changed, and updates for all machines whether and
// how placement may use them.
func (l *leaderState) refreshRows(jobs []*job) {
	for _, machine := range l.machines.aliveMachines {
		if machine.lifecycle.gone || !machine.status.reported {
			continue
		}
		view := &machine.leaderView
		if max(view.lastDeltaAt, machine.status.lastChangeAt) >= view.rowComputedAt ||
			view.allocations.HasPending() && l.now-view.rowComputedAt > pendingRowInterval {
			l.recomputeRow(machine, jobs)
		}
		l.array.SetOffer(machine.index, machine.isOffered(), view.offeredLast, view.onDemandReserved)
	}
}

// machineCapacities converts rows of the array to their form in a push.
func machineCapacities(rows []clusterstate.Row, machines []*machine) (capacities []MachineCapacity) {
	for _, row := range rows {
		machine := machines[row.Machine]
		capacities = append(capacities, MachineCapacity{
			Machine:       machine.name,
			Type:          machine.identity.machineType,
			Zone:          machine.identity.zone,
			Spot:          machine.identity.spot,
			Available:     row.Available,
			Allocated:     row.Allocated,
			Reserved:      row.Reserved,
			OfferedLast:   row.OfferedLast,
			Unschedulable: !row.Schedulable,
		})
	}
	return capacities
}

// announceGone announces with the next pushes that a machine is gone.
func (l *leaderState) announceGone(name string) {
	l.goneMachines = append(l.goneMachines, name)
	l.newlyGone = append(l.newlyGone, name)
	l.pushRequested = true
}
