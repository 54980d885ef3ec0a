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
	// maxUnackedBatches limits the batches kept per controller while no push acknowledges them.
	maxUnackedBatches = 64
	// pushResendInterval is the minimum time between two requests for a full push.
	pushResendInterval = 500 * time.Millisecond
	// ackDelayDivisor is the inverse weight of a new sample in the moving average of ackDelay.
	ackDelayDivisor = 8
	// maxPropagationDelay limits the estimated time until the other controllers know of a start.
	maxPropagationDelay = 2 * time.Second
)

// clusterCopy is this controller's copy of the leader's cluster state, as of the last push.
type clusterCopy struct {
	*environment

	state          clusterstate.Copy
	revision       uint64            // of the leader's array, as of the last applied push
	leaderToken    uint64            // fencing token of the leader that sent that push
	ackedBatchSeqs map[string]uint64 // by controller, the last acknowledged batch of deltas
	nextResendAt   time.Duration     // when a full push may be requested again
	capacityHold   *CapacityHold     // capacity held for higher-priority work; nil: none
}

// acceptsIncremental reports whether an incremental push continues from the state of the copy.
func (s *clusterCopy) acceptsIncremental(push *StatePush) bool {
	return push.FencingToken == s.leaderToken && push.AfterRevision == s.revision
}

// applyPushedRows adopts the rows of a push and applies the unacknowledged deltas to them.
func (s *clusterCopy) applyPushedRows(push *StatePush, rows []clusterstate.Row, pending []clusterstate.Delta) {
	s.leaderToken, s.revision = push.FencingToken, push.Revision
	s.ackedBatchSeqs = push.DeltaAcks
	if push.isFull() {
		s.state.Replace(s.now, rows, pending)
	} else {
		s.state.Update(s.now, rows, pending)
	}
}

// isFull reports whether a push carries all rows of the leader's array, not only those that changed.
func (p *StatePush) isFull() bool { return p.AfterRevision == 0 }

// hasAcked reports whether the last applied push acknowledges a controller's batch.
func (s *clusterCopy) hasAcked(controller string, batchSeq, leaderToken uint64) bool {
	return batchSeq <= s.ackedBatchSeqs[controller] && s.leaderToken == leaderToken
}

// apply applies a delta to the copy.
func (s *clusterCopy) apply(delta clusterstate.Delta) { s.state.Apply(s.now, delta) }

// beginResend reports whether a full push may be requested now. If so, it delays the next request by
// pushResendInterval.
func (s *clusterCopy) beginResend() bool {
	if s.now < s.nextResendAt {
		return false
	}
	s.nextResendAt = s.now + pushResendInterval
	return true
}

// mustAvoidHeldCapacity reports whether work of a priority class must not use the capacity that the
// leader holds for higher-priority work.
func (s *clusterCopy) mustAvoidHeldCapacity(priorityClass int) bool {
	return s.capacityHold != nil && priorityClass > s.capacityHold.Priority && s.state.IsFresh(s.now)
}

// deltaLog holds the deltas of all controllers that the leader has not acknowledged yet.
type deltaLog struct {
	*environment
	machines *machineTable

	unsent      []AllocationDelta       // deltas of this controller for the next batch
	unacked     map[string][]deltaBatch // by controller
	lastSeq     uint64                  // sequence number of this controller's last batch
	ackDelay    time.Duration           // average time from sending a batch to the push that acknowledges it
	nextBatchAt time.Duration
}

// deltaBatch is a batch of deltas that was sent to a leader.
type deltaBatch struct {
	seq         uint64
	sentAt      time.Duration // 0: sent by another controller
	leaderToken uint64        // fencing token of the leader it was sent to
	deltas      []AllocationDelta
}

// retain keeps a batch of a controller until a push acknowledges it.
func (l *deltaLog) retain(controller string, batch deltaBatch) {
	batches := l.unacked[controller]
	batches = append(batches, batch)
	l.unacked[controller] = batches[max(0, len(batches)-maxUnackedBatches):]
}

// dropAcked drops the batches of a controller that a push acknowledges, and those sent to a former
// leader: a new leader builds its array from heartbeats instead.
func (l *deltaLog) dropAcked(controller string, push *StatePush) {
	l.unacked[controller] = slices.DeleteFunc(l.unacked[controller], func(batch deltaBatch) bool {
		return batch.leaderToken != push.FencingToken || batch.seq <= push.DeltaAcks[controller]
	})
}

// nextBatch turns the unsent deltas into a batch for a leader and retains it. It returns nil if there are
// none.
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

// propagationDelay estimates how long it takes until the other controllers know of a start. It is based
// on the delta interval, or on the recent acknowledgment delay if that gives a longer time.
func (l *deltaLog) propagationDelay() time.Duration {
	return min(max(2*l.cfg.State.DeltaInterval, l.ackDelay/2), maxPropagationDelay)
}

// measureAckDelay adds the acknowledgment delays of this controller's batches to the moving average.
func (l *deltaLog) measureAckDelay(push *StatePush) {
	self := l.cfg.Name
	for _, batch := range l.unacked[self] {
		if batch.leaderToken == push.FencingToken && batch.seq <= push.DeltaAcks[self] {
			l.ackDelay += (l.now - batch.sentAt - l.ackDelay) / ackDelayDivisor
		}
	}
}

// recordDelta records the start or finish of a task for the leader. This controller's copy already
// includes starts. A start is recorded when its write is sent, because early deltas make it less likely
// that other controllers choose the same capacity. If the write fails, a finish is recorded.
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

// releaseOnce releases the resources of an ended task, at most once per attempt. They become available
// as soon as the machine reports the end, which may be before the end is written.
func (c *Core) releaseOnce(j *job, a jobrecord.Assignment) {
	attempt := c.machines[a.Machine].commands.attemptOf(attemptKey{j.index, a.Task, a.Attempt})
	if !attempt.resourcesReleased && c.ownership.ownsJob(j) && j.record != nil && j.record.Spec != nil {
		attempt.resourcesReleased = true
		c.recordDelta(false, j, a, j.record.Spec.Request)
	}
}

// sendDeltas sends the unsent deltas as a batch: to the leader, as in the paper (see package
// clusterstate), and also to the other controllers, so that no two of them choose the same capacity
// between two pushes. The batch is retained until a push acknowledges it.
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

// applyPush adopts a full or incremental push of the leader's array, and applies the unacknowledged
// deltas to it. If an incremental push does not continue from the copy, it requests a full one.
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

// stopPreempted stops the preempted attempts that belong to this controller's jobs and are still assigned.
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

// requestFullPush requests a full push from the leader after a push was lost. Until it arrives, the copy
// is not refreshed and may expire.
func (c *Core) requestFullPush() {
	if c.leadership.leader.modRevision != 0 && c.clusterCopy.beginResend() {
		c.controllers.sendToPeers(c.leadership.leader.Holder, Message{ResendStatePush: true})
	}
}

// rowsOfPush converts the rows of a push and leaves out machines that are gone. It adopts the type, zone
// and spot flag of machines whose type is not known yet.
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

// unackedDeltas drops the batches that a push acknowledges and returns the remaining deltas of all
// controllers.
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

// appendDeltas appends deltas to a list, with machine indices in place of machine names.
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

// attemptHash returns the hash that identifies an attempt in deltas. It is never 0, which stands for an
// unknown attempt.
func attemptHash(job string, task int32, attempt uint64) uint64 {
	raw := append(make([]byte, 0, 64), job...)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(task))
	return max(1, xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, attempt)))
}
