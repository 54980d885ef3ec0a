package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
)

// machine is all that this controller knows of one machine. It is interned by name and never freed.
type machine struct {
	name  string
	index int32 // index in Core.machines

	leaderView leaderMachineState // used only by the leader

	identity   machineIdentity
	status     agentStatus
	lifecycle  machineLifecycle
	commands   machineCommands
	allocation machineAllocation
	health     machineHealth
	ranking    rankCache
}

// machineIdentity describes a machine as its agent reports it. Before the first heartbeat, all fields but
// firstSeenAt are empty, except that the zone may be known from elsewhere.
type machineIdentity struct {
	address     string
	machineType string
	zone        string
	spot        bool
	firstSeenAt time.Duration // when this controller first learned of the machine
}

// agentStatus is the content of an agent's last heartbeat, and the status polls since.
type agentStatus struct {
	incarnation     uint64        // of the agent; increases each time it starts
	heartbeatSeq    uint64        // sequence number of the last heartbeat
	fencingToken    uint64        // highest token that the agent has seen
	reported        bool          // a heartbeat was applied; otherwise the status is empty
	lastHeartbeatAt time.Duration // last heartbeat or digest; before the first, when the machine became known
	lastChangeAt    time.Duration // when its tasks or assignments last changed
	lastPollAt      time.Duration // when it was last polled
	polls           int           // polls since the last heartbeat
	digest          uint64        // taskStatusDigest of the last heartbeat
	tasks           map[attemptKey]taskStatus
	images          map[string]bool // container images run in this incarnation, which are therefore cached
}

// machineLifecycle is the state of a machine's end: interruption notice, scale-in, and proof that it is gone.
type machineLifecycle struct {
	interruptionDeadline time.Duration // when the cloud interrupts the machine; 0: there is no notice
	gone                 bool          // the machine and all tasks on it are proven to be gone
	scaleInRequested     bool          // its scale-in was requested from the cloud
}

// machineCommands is the state of the commands to one agent. At most one request is in flight at a time.
type machineCommands struct {
	lastUnansweredAt time.Duration // time of the last request without a response
	attempts         map[attemptKey]*attempt
	requestID        uint64       // of the request in flight; 0: none
	requestAttempts  []attemptKey // attempts that the request in flight starts
	unanswered       int          // number of consecutive requests without a response
	nextSendAt       time.Duration
	nextClearAt      time.Duration // deadline for clearing ended tasks; 0: there are none
	dirty            bool          // something changed since the machine was last examined
	inDirtyList      bool          // the machine is in commandDispatch.dirtyMachines
	lastExaminedAt   time.Duration
}

// machineAllocation holds the committed assignments to a machine, and what is computed from them.
type machineAllocation struct {
	assignments    map[taskKey]jobrecord.Assignment
	allocated      clusterstate.Resources // cached sum of the requests of the assigned tasks
	allocatedValid bool
	busyHorizon    time.Duration // cached time until the machine's tasks end, as of busyHorizonAt
	busyHorizonAt  time.Duration
}

// machineHealth is the record of failures on a machine: the back-off after them, and the evidence that it is
// faulty.
type machineHealth struct {
	avoidUntil    time.Duration // no tasks are placed there before this time
	failures      int
	lastFailureAt time.Duration
	failedJobs    map[int32]bool // by job index: jobs that failed there since a task last completed
}

// rankCache caches this controller's rank among the controllers that may place tasks on a machine.
type rankCache struct {
	registrationsVersion uint64 // controllerSet.registrationsVersion that the rank was computed for
	rank                 int    // 0 is the first
}

// taskStatus is the status of a task in the last heartbeat of its machine.
type taskStatus struct {
	state        string
	cause        string // why the task ended; "": it has not
	checkpointed bool
	stateSince   time.Duration // when this controller first received this status
}

// equal reports whether two statuses are the same, regardless of when they were received.
func (p taskStatus) equal(q taskStatus) bool {
	return p.state == q.state && p.cause == q.cause && p.checkpointed == q.checkpointed
}

// attempt is what this controller knows of the commands that it sent for an attempt of a task.
type attempt struct {
	startInFlight bool // the request in flight contains a start of the attempt
	// Highest fencing token under which a start of the attempt may have been sent by this process, answered or
	// not; 0: there is none. See areStartsFenced.
	maxStartToken       uint64
	lastCommandAt       time.Duration // when a command for the attempt was last sent
	commandSent         bool          // the next command must wait for the retry interval after lastCommandAt
	stopReason          string        // why the attempt must be stopped; "": it need not be
	stopGraceSeconds    float64
	failureCounted      bool // its failure was counted in the back-off
	resourcesReleased   bool // the release of its resources was recorded as an allocation delta
	orphanCheckInFlight bool // a read barrier that checks whether its job exists is in flight
	isOrphan            bool // the read barrier has shown that its job does not exist
	immediateResendUsed bool // allowImmediateResend was already used for the attempt
}

// machineTable holds the machines that this controller knows, interned by index.
type machineTable struct {
	*environment

	machineIndex  map[string]int32 // by name
	machines      []*machine
	aliveMachines []*machine // machines that are not known to be gone, or have assignments
}

// internMachine returns the machine with a name and adds it if it is not known yet. The silence of a new
// machine counts from then on.
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

// internMachineInZone returns the index of the machine with a name. The zone is used until the machine's
// first heartbeat.
func (t *machineTable) internMachineInZone(name, zone string) int32 {
	m := t.internMachine(name)
	if m.identity.zone == "" {
		m.identity.zone = zone
	}
	return m.index
}

// currentAssignment returns the committed assignment of an attempt to a machine, and whether there is one for
// the machine's current incarnation.
func (m *machine) currentAssignment(key attemptKey) (jobrecord.Assignment, bool) {
	assignment, ok := m.allocation.assignments[taskKey{key.jobIndex, key.task}]
	return assignment, ok && assignment.Attempt == key.attempt && assignment.Incarnation == m.status.incarnation
}

// attemptOf returns the command state of an attempt on a machine, and creates it if there is none.
func (s *machineCommands) attemptOf(key attemptKey) *attempt {
	record := s.attempts[key]
	if record == nil {
		record = &attempt{}
		s.attempts[key] = record
	}
	return record
}

// markDirty makes dispatchCommands examine a machine.
func (d *commandDispatch) markDirty(m *machine) {
	m.commands.dirty = true
	if !m.commands.inDirtyList {
		m.commands.inDirtyList = true
		d.dirtyMachines = append(d.dirtyMachines, m)
	}
}

// markTasksChanged invalidates what was computed from a machine's tasks and marks the machine dirty.
func (d *commandDispatch) markTasksChanged(m *machine) {
	m.status.lastChangeAt, m.allocation.allocatedValid = d.now, false
	d.markDirty(m)
}

// markMachineGone records the proof that a machine and all tasks on it are gone.
func (c *Core) markMachineGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	m.lifecycle.gone = true
	c.commands.fenceWaiters.remove(m)
	c.clusterCopy.state.Remove(m.index)
	c.markTasksLost(m)
	if c.leaderState != nil {
		c.leaderState.array.Remove(m.index)
	}
}

// markTasksLost marks the jobs dirty whose tasks were lost with a machine or with an incarnation of its
// agent. The machines of a lost zone are detected one after the other. A batch job therefore waits for a moment,
// so that one write covers many of its lost tasks; services do not wait.
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

// sortedAssignments returns a machine's assignments ordered by job and task, because outputs must not depend
// on the order of map iteration.
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

// sortedAttemptKeys returns the attempts that a machine reported, in a fixed order.
func (m *machine) sortedAttemptKeys() []attemptKey {
	out := make([]attemptKey, 0, len(m.status.tasks))
	for k := range m.status.tasks {
		out = append(out, k)
	}
	slices.SortFunc(out, attemptKey.compare)
	return out
}
