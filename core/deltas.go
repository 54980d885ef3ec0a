package core

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
)

const (
	// maxUncountedBatches bounds the batches kept of a controller while no push counts them.
	maxUnackedBatches = 64
	// pushResendInterval is the least time between two requests for the whole array.
	pushResendInterval = 500 * time.Millisecond
	// countingDelayWeight is the divisor by which a measurement moves the average of the counting delay.
	ackDelayDivisor = 8
	// maxPropagationDelay bounds how long a start is expected to take until the other controllers know it.
	maxPropagationDelay = 2 * time.Second
)

// clusterCopy is this controller's copy of the shared cluster state, as of the leader's last push.
type clusterCopy struct {
	*environment

	state          clusterstate.Copy
	revision       uint64            // of the leader's array, as of the last push taken
	leaderToken    uint64            // fencing token of the leader that sent it
	ackedBatchSeqs map[string]uint64 // by controller, the last batch of deltas that the leader had counted
	nextResendAt   time.Duration     // when the whole array may be requested again
	capacityHold   *CapacityHold     // capacity held for more important work; nil: none
}

// acceptsIncremental reports whether a push that carries only the rows that changed continues from the copy.
func (s *clusterCopy) acceptsIncremental(push *StatePush) bool {
	return push.FencingToken == s.leaderToken && push.AfterRevision == s.revision
}

// applyPushedRows takes the rows of a push over, and applies the deltas to them that the push does not count.
func (s *clusterCopy) applyPushedRows(push *StatePush, rows []clusterstate.Row, pending []clusterstate.Delta) {
	s.leaderToken, s.revision = push.FencingToken, push.Revision
	s.ackedBatchSeqs = push.DeltaAcks
	if push.isFull() {
		s.state.Replace(s.now, rows, pending)
	} else {
		s.state.Update(s.now, rows, pending)
	}
}

// isFull reports whether a push carries all rows of the leader's array.
func (p *StatePush) isFull() bool { return p.AfterRevision == 0 }

// hasAcked reports whether the leader had counted a controller's batch in the last push that was taken.
func (s *clusterCopy) hasAcked(controller string, batchSeq, leaderToken uint64) bool {
	return batchSeq <= s.ackedBatchSeqs[controller] && s.leaderToken == leaderToken
}

// apply applies a delta to the copy.
func (s *clusterCopy) apply(delta clusterstate.Delta) { s.state.Apply(s.now, delta) }

// beginResend reports whether the whole array may be requested now, and holds off the next request.
func (s *clusterCopy) beginResend() bool {
	if s.now < s.nextResendAt {
		return false
	}
	s.nextResendAt = s.now + pushResendInterval
	return true
}

// mustAvoidHeldCapacity reports whether work of a priority class must leave the capacity alone that the
// leader holds for more important work.
func (s *clusterCopy) mustAvoidHeldCapacity(priorityClass int) bool {
	return s.capacityHold != nil && priorityClass > s.capacityHold.Priority && s.state.IsFresh(s.now)
}

// deltaLog is the deltas of this controller and the others that the leader may not have counted yet.
type deltaLog struct {
	*environment
	machines *machineTable

	unsent      []AllocationDelta       // of this controller, for the next batch
	unacked     map[string][]deltaBatch // by controller
	lastSeq     uint64                  // of this controller's batches
	ackDelay    time.Duration           // average time from sending a batch to a push that counts it
	nextBatchAt time.Duration
}

// deltaBatch is a batch of deltas that was sent to a leader.
type deltaBatch struct {
	seq         uint64
	sentAt      time.Duration // 0: sent by another controller
	leaderToken uint64        // fencing token of the leader it was sent to
	deltas      []AllocationDelta
}

// retain keeps a batch of a controller until a push counts it.
func (l *deltaLog) retain(controller string, batch deltaBatch) {
	batches := l.unacked[controller]
	batches = append(batches, batch)
	l.unacked[controller] = batches[max(0, len(batches)-maxUnackedBatches):]
}

// dropAcked drops the batches of a controller that a push counts, and those sent to a former leader:
// a new leader builds its array from heartbeats instead.
func (l *deltaLog) dropAcked(controller string, push *StatePush) {
	l.unacked[controller] = slices.DeleteFunc(l.unacked[controller], func(batch deltaBatch) bool {
		return batch.leaderToken != push.FencingToken || batch.seq <= push.DeltaAcks[controller]
	})
}

// nextBatch makes the unsent deltas a batch to a leader and retains it; nil if there are none.
func (l *deltaLog) nextBatch(leaderToken uint64) *AllocationDeltas {
	if len(l.unsent) == 0 {
		return nil
	}
	l.lastSeq++
	batch := &AllocationDeltas{Seq: l.lastSeq, Deltas: l.unsent}
	l.retain(l.cfg.Name, deltaBatch{
		seq:         batch.Seq,
		sentAt:      l.now,
		leaderToken: leaderToken,
		deltas:      batch.Deltas,
	})
	l.unsent = nil
	return batch
}

// propagationDelay is how long it takes until the other controllers know of a start: the time of a
// batch of deltas, or the recently measured time if that is longer.
func (l *deltaLog) propagationDelay() time.Duration {
	return min(max(2*l.cfg.State.DeltaInterval, l.ackDelay/2), maxPropagationDelay)
}

// measureAckDelay takes how long this controller's batches waited for a push that counts them.
func (l *deltaLog) measureAckDelay(push *StatePush) {
	self := l.cfg.Name
	for _, batch := range l.unacked[self] {
		if batch.leaderToken == push.FencingToken && batch.seq <= push.DeltaAcks[self] {
			l.ackDelay += (l.now - batch.sentAt - l.ackDelay) / ackDelayDivisor
		}
	}
}

// recordDelta records a start or finish for the leader; this controller's copy shows starts already. A
// start is recorded when its write is sent: the sooner the others know, the fewer choose the same
// capacity. If the write fails, a finish follows.
func (c *Core) recordDelta(start bool, j *job, a jobrecord.Assignment, request clusterstate.Resources) {
	c.deltaLog.unsent = append(c.deltaLog.unsent, AllocationDelta{
		Start:       start,
		Machine:     c.machines[a.Machine].name,
		Request:     request,
		AttemptHash: attemptHash(j.id, a.Task, a.Attempt),
	})
	if !start {
		c.clusterCopy.apply(clusterstate.Delta{Machine: a.Machine, Request: request})
		c.placement.capacityFreed = true
	}
}

// releaseOnce releases the resources of a task that has ended, once. They are free for others as soon
// as the machine reports the end; the write of the end may follow later.
func (c *Core) releaseOnce(j *job, a jobrecord.Assignment) {
	attempt := c.machines[a.Machine].commands.attemptOf(attemptKey{j.index, a.Task, a.Attempt})
	if !attempt.resourcesReleased && c.ownership.ownsJob(j) && j.record != nil && j.record.Spec != nil {
		attempt.resourcesReleased = true
		c.recordDelta(false, j, a, j.record.Spec.Request)
	}
}

// sendDeltas sends the unsent deltas as a batch: to the leader, as in the paper, and to the other
// controllers too, so that no two of them choose the same capacity between two pushes. The batch is
// retained until a push shows that the leader counted it.
func (c *Core) sendDeltas() {
	if c.leadership.leader.modRevision == 0 {
		return
	}
	batch := c.deltaLog.nextBatch(c.leadership.leader.FencingToken)
	if batch == nil {
		return
	}
	if c.leaderState != nil {
		c.leaderState.applyDeltas(c.cfg.Name, batch)
	}
	c.controllers.sendToPeers("", Message{AllocationDeltas: batch})
}

// applyPush takes the leader's array, or the rows of it that changed, and applies the deltas to them
// that the leader had not counted yet.
func (c *Core) applyPush(push *StatePush) {
	for _, name := range push.GoneMachines {
		c.markMachineGone(c.internMachine(name))
	}
	c.stopPreempted(push.Preempted)
	c.clusterCopy.capacityHold = push.CapacityHold
	if !push.isFull() && !c.clusterCopy.acceptsIncremental(push) {
		c.requestFullPush()
		return
	}
	rows := c.rowsOfPush(push)
	c.clusterCopy.applyPushedRows(push, rows, c.deltaLog.unackedDeltas(push))
	c.placement.capacityFreed = true
}

// stopPreempted stops those of the preempted attempts that are of this controller's jobs and still assigned.
func (c *Core) stopPreempted(preempted []PreemptedTask) {
	for _, victim := range preempted {
		m, j := c.internMachine(victim.Machine), c.internJob(victim.Job)
		assignment, ok := m.allocation.assignments[taskKey{j.index, victim.Task}]
		if !ok || assignment.Attempt != victim.Attempt || !c.ownership.ownsJob(j) || j.isFinal() {
			continue
		}
		key := attemptKey{j.index, victim.Task, victim.Attempt}
		c.stopTask(m, key, j.record.Spec, "made room for higher priority")
	}
}

// requestFullPush asks the leader for its whole array after a push was lost; the copy ages until it comes.
func (c *Core) requestFullPush() {
	if c.leadership.leader.modRevision != 0 && c.clusterCopy.beginResend() {
		c.controllers.sendToPeers(c.leadership.leader.Holder, Message{ResendStatePush: true})
	}
}

// rowsOfPush converts the rows of a push, without machines that are gone. What a row tells of a
// machine that has not reported yet is taken.
func (t *machineTable) rowsOfPush(push *StatePush) []clusterstate.Row {
	rows := make([]clusterstate.Row, 0, len(push.Rows))
	for i := range push.Rows {
		pushed := &push.Rows[i]
		m := t.internMachine(pushed.Machine)
		if m.lifecycle.gone {
			continue
		}
		if m.identity.machineType == "" {
			m.identity.machineType, m.identity.zone, m.identity.spot = pushed.Type, pushed.Zone, pushed.Spot
		}
		rows = append(rows, clusterstate.Row{
			Machine:     m.index,
			Available:   pushed.Available,
			Allocated:   pushed.Allocated,
			Reserved:    pushed.Reserved,
			OfferedLast: pushed.OfferedLast,
			Schedulable: !pushed.Unschedulable,
		})
	}
	return rows
}

// unackedDeltas drops the batches that a push counts, and lists the remaining deltas of all controllers.
func (l *deltaLog) unackedDeltas(push *StatePush) (pending []clusterstate.Delta) {
	l.measureAckDelay(push)
	for _, controller := range sortedKeys(l.unacked) {
		l.dropAcked(controller, push)
		for _, batch := range l.unacked[controller] {
			pending = l.machines.appendDeltas(pending, batch.deltas)
		}
	}
	return l.machines.appendDeltas(pending, l.unsent)
}

// appendDeltas appends deltas to a list, with the indices of their machines in place of the names.
func (t *machineTable) appendDeltas(list []clusterstate.Delta, deltas []AllocationDelta) []clusterstate.Delta {
	for _, delta := range deltas {
		list = append(list, clusterstate.Delta{
			Start:   delta.Start,
			Machine: t.internMachine(delta.Machine).index,
			Request: delta.Request,
		})
	}
	return list
}

// applyPeerDeltas applies the deltas of another controller to the copy.
func (s *clusterCopy) applyPeerDeltas(deltas []clusterstate.Delta) {
	for _, delta := range deltas {
		s.apply(delta)
	}
}

// attemptHash identifies an attempt in deltas; it is never 0, which stands for an unknown attempt.
func attemptHash(job string, task int32, attempt uint64) uint64 {
	raw := append(make([]byte, 0, 64), job...)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(task))
	return max(1, xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, attempt)))
}
