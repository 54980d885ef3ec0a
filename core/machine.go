package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
)

// machine is all that this controller knows of a machine. It is interned by name and never freed.
type machine struct {
	name  string
	index int32 // in Core.machines

	leaderView leaderMachineState // of use to the leader only

	identity   machineIdentity
	status     agentStatus
	lifecycle  machineLifecycle
	commands   machineCommands
	allocation machineAllocation
	health     machineHealth
	ranking    rankCache
}

// machineIdentity is what the agent says of its machine. All but firstSeenAt is empty before the first heartbeat,
// except for a zone that is known otherwise.
type machineIdentity struct {
	address     string
	machineType string
	zone        string
	spot        bool
	firstSeenAt time.Duration // when this controller first knew of it
}

// agentStatus is the last heartbeat of an agent and the status polls since.
type agentStatus struct {
	incarnation     uint64        // of the agent; it grows with each of its starts
	heartbeatSeq    uint64        // sequence number of the last heartbeat
	fencingToken    uint64        // highest token that the agent has seen
	reported        bool          // a heartbeat was applied; without it, this status is empty
	lastHeartbeatAt time.Duration // last sign of life; before the first, when the machine became known
	lastChangeAt    time.Duration // when its tasks or assignments last changed
	lastPollAt      time.Duration // when it was last polled
	polls           int           // polls since the last sign of life
	digest          uint64        // of the tasks of the last heartbeat
	tasks           map[attemptKey]taskStatus
	images          map[string]bool // container images that it has run in this incarnation, so has cached
}

// machineLifecycle is the end of a machine: interruption notice, return to the cloud, proof that it is gone.
type machineLifecycle struct {
	interruptionDeadline time.Duration // when the cloud takes it back; 0: there is no notice
	gone                 bool          // it is proven that the machine, and all that ran on it, is gone
	returnRequested      bool          // the cloud was asked to take it back
}

// machineCommands is the state of the commands to an agent. One request is in flight at a time.
type machineCommands struct {
	lastUnansweredAt time.Duration // when a request last stayed unanswered
	attempts         map[attemptKey]*attempt
	requestID        uint64       // of the request in flight; 0: there is none
	requestToken     uint64       // fencing token of that request
	requestAttempts  []attemptKey // attempts that it starts
	unanswered       int          // unanswered requests in a row
	nextSendAt       time.Duration
	nextClearAt      time.Duration // when ended tasks are cleared at the latest; 0: there are none
	dirty            bool          // something changed since it was last examined
	inDirtyList      bool          // it is in commandDispatch.dirtyMachines
	lastExaminedAt   time.Duration
}

// machineAllocation is the committed assignments to a machine, and what follows from them.
type machineAllocation struct {
	assignments    map[taskKey]jobrecord.Assignment
	allocated      clusterstate.Resources // cached sum of their requests, valid if known
	allocatedValid bool
	busyHorizon    time.Duration // cached time until its tasks end, as of busyHorizonAt
	busyHorizonAt  time.Duration
}

// machineHealth is the failures on a machine: the back-off after them, and the evidence that it is faulty.
type machineHealth struct {
	avoidUntil    time.Duration // no tasks are placed there before
	failures      int
	lastFailureAt time.Duration
	failedJobs    map[int32]bool // jobs, by index, that failed there since a task last completed
}

// rankCache is this controller's cached rank among those that may place tasks on a machine.
type rankCache struct {
	nodesVersion uint64 // controllerSet.nodesVersion that the rank was computed for
	rank         int    // 0 is the first
}

// taskStatus is the status of a task in the last heartbeat of its machine.
type taskStatus struct {
	state        string
	cause        string // why it ended; "": it has not
	checkpointed bool
	stateSince   time.Duration // when this controller first saw this status
}

// equal compares two statuses, but for the time when they were seen.
func (p taskStatus) equal(q taskStatus) bool {
	return p.state == q.state && p.cause == q.cause && p.checkpointed == q.checkpointed
}

// attempt is what this controller knows of the commands that it sent for an attempt.
type attempt struct {
	startInFlight bool // a start of it is in the request in flight
	// highest fencing token of an unanswered request with a start of it: that one may be executed late,
	// until the machine has seen a higher token; 0: there is none
	maxUnansweredToken  uint64
	lastCommandAt       time.Duration // when a command for it was last sent
	commandSent         bool          // lastCommandAt holds off the next command
	stopReason          string        // why it is to be stopped; "": it is not
	stopGraceSeconds    float64
	failureCounted      bool // its failure is in the back-off
	resourcesReleased   bool // its finish was recorded as an allocation delta
	orphanCheckInFlight bool // a read barrier to check that its job exists is in flight
	isOrphan            bool // its job does not exist
	resentAtOnce        bool // a command other than its start has been let past the retry interval
}

// machineTable is the machines that this controller knows, interned by index.
type machineTable struct {
	*environment

	machineIndex  map[string]int32 // by name
	machines      []*machine
	aliveMachines []*machine // machines that are not known to be gone, or have assignments
}

// internMachine returns the machine with a name, which becomes known with it. Its silence counts from then on.
func (t *machineTable) internMachine(name string) *machine {
	if i, ok := t.machineIndex[name]; ok {
		return t.machines[i]
	}
	m := &machine{name: name, index: int32(len(t.machines))}
	m.identity.firstSeenAt = t.now
	m.status.lastHeartbeatAt = t.now
	m.status.tasks = map[attemptKey]taskStatus{}
	m.status.images = map[string]bool{}
	m.allocation.assignments = map[taskKey]jobrecord.Assignment{}
	m.commands.attempts = map[attemptKey]*attempt{}
	t.machineIndex[name] = m.index
	t.machines = append(t.machines, m)
	t.aliveMachines = append(t.aliveMachines, m)
	return m
}

// internMachineInZone returns the index of the machine with a name. The zone is for a machine without a heartbeat.
func (t *machineTable) internMachineInZone(name, zone string) int32 {
	m := t.internMachine(name)
	if m.identity.zone == "" {
		m.identity.zone = zone
	}
	return m.index
}

// currentAssignment returns the committed assignment of an attempt to a machine, if there is one of the
// machine's present incarnation.
func (m *machine) currentAssignment(key attemptKey) (jobrecord.Assignment, bool) {
	assignment, ok := m.allocation.assignments[taskKey{key.jobIndex, key.task}]
	return assignment, ok && assignment.Attempt == key.attempt && assignment.Incarnation == m.status.incarnation
}

// attemptOf returns the command state of an attempt on a machine, new if there is none.
func (s *machineCommands) attemptOf(key attemptKey) *attempt {
	record := s.attempts[key]
	if record == nil {
		record = &attempt{}
		s.attempts[key] = record
	}
	return record
}

// markDirty has dispatchCommands examine a machine.
func (d *commandDispatch) markDirty(m *machine) {
	m.commands.dirty = true
	if !m.commands.inDirtyList {
		m.commands.inDirtyList = true
		d.dirtyMachines = append(d.dirtyMachines, m)
	}
}

// markTasksChanged invalidates what was computed from a machine's tasks, and has it examined.
func (d *commandDispatch) markTasksChanged(m *machine) {
	m.status.lastChangeAt, m.allocation.allocatedValid = d.now, false
	d.markDirty(m)
}

// markMachineGone records the proof that a machine, and all that ran on it, is gone.
func (c *Core) markMachineGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	m.lifecycle.gone = true
	c.clusterCopy.state.Remove(m.index)
	c.markTasksLost(m)
	if c.leaderState != nil {
		c.leaderState.array.Remove(m.index)
	}
}

// markTasksLost has the jobs examined whose tasks were lost with a machine or an incarnation of its agent. The
// machines of a lost zone are found one after the other, so a batch job waits for a moment to be written
// once for many of them; services do not wait.
func (c *Core) markTasksLost(m *machine) {
	for _, lost := range m.sortedAssignments() {
		j := c.jobs[lost.jobIndex]
		j.placement.tasksLost = true
		if j.write.dirty || j.record == nil || j.record.Spec == nil || j.record.Spec.Service || j.isFinal() {
			c.markDirty(j)
			continue
		}
		c.markDirtyKeepingDelay(j)
		j.write.nextExamineAt = max(j.write.nextExamineAt, c.now+c.cfg.Agents.LostTaskBatchDelay)
	}
}

// jobAssignment is an assignment with the index of its job.
type jobAssignment struct {
	jobIndex int32
	jobrecord.Assignment
}

// sortedAssignments lists a machine's assignments by job and task: maps have no fixed order, and outputs must.
func (m *machine) sortedAssignments() []jobAssignment {
	out := make([]jobAssignment, 0, len(m.allocation.assignments))
	for k, a := range m.allocation.assignments {
		out = append(out, jobAssignment{k.jobIndex, a})
	}
	slices.SortFunc(out, func(x, y jobAssignment) int {
		return cmp.Or(cmp.Compare(x.jobIndex, y.jobIndex), cmp.Compare(x.Task, y.Task))
	})
	return out
}

// sortedAttemptKeys lists the attempts that a machine reported, in a fixed order.
func (m *machine) sortedAttemptKeys() []attemptKey {
	out := make([]attemptKey, 0, len(m.status.tasks))
	for k := range m.status.tasks {
		out = append(out, k)
	}
	slices.SortFunc(out, attemptKey.compare)
	return out
}
