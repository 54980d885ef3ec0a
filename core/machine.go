package core

import (
	"cmp"
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"slices"
	"time"
)

type machine struct {
	name  string
	index int32

	leaderView nodeState

	identity   machineIdentity
	status     agentStatus
	lifecycle  machineLifecycle
	commands   machineCommands
	allocation machineAllocation
	health     machineHealth
	ranking    rankCache
}

// machineIdentity is what the machine is, as its agent says.
type machineIdentity struct {
	address     string
	machineType string
	zone        string
	spot        bool
	firstSeenAt time.Duration // first known here
}

// agentStatus is the last heartbeat of its agent and the status polls since.
type agentStatus struct {
	incarnation     uint64
	heartbeatSeq    uint64
	fencingToken    uint64
	reported        bool // it has reported
	lastHeartbeatAt time.Duration
	lastChangeAt    time.Duration // when its report or its assignments changed last
	lastPollAt      time.Duration // when it was asked for its report last
	polls           int           // how often it was, since it was heard of
	digest          uint64        // of what it reported last
	tasks           map[attemptKey]taskStatus
	images          map[string]bool
}

// machineLifecycle is its end: interruption notice, return to the cloud, proof that it is gone.
type machineLifecycle struct {
	interruptionDeadline time.Duration // when the notice runs out; 0: none
	gone                 bool          // proof that it and all on it are gone
	returnRequested      bool          // its return was asked of the cloud
}

// machineCommands is commands to its agent: attempts known, the request in flight, when the next may go.
type machineCommands struct {
	lastUnansweredAt time.Duration // when orders to it stayed without an answer last
	attempts         map[attemptKey]*attempt
	requestID        uint64 // id of the orders on their way; 0: none
	requestToken     uint64
	requestAttempts  []attemptKey
	unanswered       int // requests unanswered in a row
	nextSendAt       time.Duration
	nextClearAt      time.Duration // when its ended tasks are to be forgotten; 0: none is
	dirty            bool
	queued           bool // in the list of machines that may need orders
	lastExaminedAt   time.Duration
}

// machineAllocation is tasks assigned to it, resources allocated for them, and how long they keep it busy.
type machineAllocation struct {
	assignments   map[taskKey]jobrecord.Assignment
	allocated     clusterstate.Resources // room taken, if occKnown
	known         bool
	busyHorizon   time.Duration // how long its tasks keep it, as of stayAt
	busyHorizonAt time.Duration
}

// machineHealth is failures there: from when it takes work again, and what points to a faulty machine.
type machineHealth struct {
	avoidUntil    time.Duration
	failures      int
	lastFailureAt time.Duration  // when something failed there last
	failedJobs    map[int32]bool // jobs that failed on it since a task last completed
}

// rankCache is this controller's cached rank among those that may use the machine.
type rankCache struct {
	nodesVersion uint64 // as of which controllers, by c.around, rank holds
	rank         int    // of this controller among those that may use it, see Core.order
}

// taskStatus is a task as its machine reported it last.
type taskStatus struct {
	state        string
	cause        string
	checkpointed bool
	stateSince   time.Duration // when it was seen in this state first
}

func (p taskStatus) equal(q taskStatus) bool {
	return p.state == q.state && p.cause == q.cause && p.checkpointed == q.checkpointed
}

// attempt is what this controller knows of its orders for an attempt.
type attempt struct {
	startInFlight bool // a start is in a request that is not answered
	// highest token of an unanswered request with a start of it; it may be executed late
	maxUnansweredToken  uint64
	lastCommandAt       time.Duration // when an order for it was sent last
	commandSent         bool
	stopReason          string // why it is to be stopped; "": not
	stopGraceSeconds    float64
	failureCounted      bool // its failure was counted
	resourcesReleased   bool // its room was given back
	orphanCheckInFlight bool // whether its job exists is being asked
	isOrphan            bool // its job does not exist
	resentAtOnce        bool // an order other than its start was sent
}

// internMachine interns a machine by name.
func (c *Core) internMachine(name string) *machine {
	if i, ok := c.machineIndex[name]; ok {
		return c.machines[i]
	}
	m := &machine{name: name, index: int32(len(c.machines))}
	m.identity.firstSeenAt = c.now
	m.status.lastHeartbeatAt = c.now
	m.status.tasks = map[attemptKey]taskStatus{}
	m.status.images = map[string]bool{}
	m.allocation.assignments = map[taskKey]jobrecord.Assignment{}
	m.commands.attempts = map[attemptKey]*attempt{}
	c.machineIndex[name] = m.index
	c.machines = append(c.machines, m)
	c.aliveMachines = append(c.aliveMachines, m)
	return m
}

// internMachineInZone interns a machine in a zone; of one that has not reported, the zone is not known otherwise.
func (c *Core) internMachineInZone(name, zone string) int32 {
	m := c.internMachine(name)
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

func (c *Core) attemptOf(m *machine, k attemptKey) *attempt {
	a := m.commands.attempts[k]
	if a == nil {
		a = &attempt{}
		m.commands.attempts[k] = a
	}
	return a
}

// markMachineDirty has a machine's orders looked at again.
func (c *Core) markMachineDirty(m *machine) {
	m.commands.dirty = true
	if !m.commands.queued {
		m.commands.queued = true
		c.commands.dirtyMachines = append(c.commands.dirtyMachines, m)
	}
}

// noteMachineChange notes that a machine's tasks are others than they were.
func (c *Core) noteMachineChange(m *machine) {
	m.status.lastChangeAt, m.allocation.known = c.now, false
	c.markMachineDirty(m)
}

// markMachineGone records the proof that a machine and all on it are gone.
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

// markTasksLost has the jobs looked at whose tasks were lost with a machine or its session. The
// machines of a lost zone go one after the other: a job of many tasks waits a moment for the
// others, as it would take a write for each; replicas do not wait.
func (c *Core) markTasksLost(m *machine) {
	for _, a := range m.sortedAssignments() {
		j := c.jobs[a.jobIndex]
		j.placement.tasksLost = true
		if j.write.dirty || j.record == nil || j.record.Spec == nil || j.record.Spec.Service || j.isFinal() {
			c.markDirty(j)
			continue
		}
		c.markDirtyKeepingDelay(j)
		j.write.nextLookAt = max(j.write.nextLookAt, c.now+c.cfg.Agents.LostTaskBatchDelay)
	}
}

// jobAssignment is an assignment with its job.
type jobAssignment struct {
	jobIndex int32
	jobrecord.Assignment
}

// sortedAssignments lists a machine's assignments in a fixed order.
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

// sortedAttemptKeys lists what a machine reported in a fixed order.
func (m *machine) sortedAttemptKeys() []attemptKey {
	out := make([]attemptKey, 0, len(m.status.tasks))
	for k := range m.status.tasks {
		out = append(out, k)
	}
	slices.SortFunc(out, attemptKey.compare)
	return out
}
