package core

import (
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxUncountedBatches bounds the batches kept of a controller while no push counts them.
	maxUncountedBatches = 64
	// pushResendInterval is the least time between two requests for the whole array.
	pushResendInterval = 500 * time.Millisecond
	// countingDelayWeight is the divisor by which a measurement moves the average of the counting delay.
	countingDelayWeight = 8
)

// clusterCopy is this controller's copy of the shared cluster state, as of the leader's last push.
type clusterCopy struct {
	state          clusterstate.Copy
	revision       uint64            // of the leader's array, as of the last push taken
	leaderToken    uint64            // fencing token of the leader that sent it
	countedBatches map[string]uint64 // by controller, the last batch of deltas that the leader had counted
	nextResendAt   time.Duration     // when the whole array may be requested again
	capacityHold   *CapacityHold     // capacity held for more important work; nil: none
}

// follows reports whether a push that carries only the rows that changed continues from the copy.
func (s *clusterCopy) follows(push *StatePush) bool {
	return push.FencingToken == s.leaderToken && push.AfterRevision == s.revision
}

// deltaLog is the deltas of this controller and the others that the leader may not have counted yet.
type deltaLog struct {
	unsent        []AllocationDelta       // of this controller, for the next batch
	uncounted     map[string][]deltaBatch // by controller
	lastSeq       uint64                  // of this controller's batches
	countingDelay time.Duration           // average time from sending a batch to a push that counts it
	nextBatchAt   time.Duration
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
	batches := l.uncounted[controller]
	batches = append(batches, batch)
	l.uncounted[controller] = batches[max(0, len(batches)-maxUncountedBatches):]
}

// dropCounted drops the batches of a controller that a push counts, and those sent to a former leader:
// a new leader builds its array from heartbeats instead.
func (l *deltaLog) dropCounted(controller string, push *StatePush) {
	l.uncounted[controller] = slices.DeleteFunc(l.uncounted[controller], func(batch deltaBatch) bool {
		return batch.leaderToken != push.FencingToken || batch.seq <= push.DeltaAcks[controller]
	})
}

// measureCountingDelay takes how long this controller's batches waited for a push that counts them.
func (l *deltaLog) measureCountingDelay(now time.Duration, self string, push *StatePush) {
	for _, batch := range l.uncounted[self] {
		if batch.leaderToken == push.FencingToken && batch.seq <= push.DeltaAcks[self] {
			l.countingDelay += (now - batch.sentAt - l.countingDelay) / countingDelayWeight
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
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: request})
		c.placement.capacityFreed = true
	}
}

// releaseOnce releases the resources of a task that has ended, once. They are free for others as soon
// as the machine reports the end; the write of the end may follow later.
func (c *Core) releaseOnce(j *job, a jobrecord.Assignment) {
	attempt := c.attemptOf(c.machines[a.Machine], attemptKey{j.index, a.Task, a.Attempt})
	if !attempt.resourcesReleased && c.ownsJob(j) && j.record != nil && j.record.Spec != nil {
		attempt.resourcesReleased = true
		c.recordDelta(false, j, a, j.record.Spec.Request)
	}
}

// sendDeltas sends the unsent deltas as a batch: to the leader, as in the paper, and to the other
// controllers too, so that no two of them choose the same capacity between two pushes. The batch is
// retained until a push shows that the leader counted it.
func (c *Core) sendDeltas() {
	if len(c.deltaLog.unsent) == 0 || c.leadership.leader.mark == 0 {
		return
	}
	c.deltaLog.lastSeq++
	batch := &AllocationDeltas{Seq: c.deltaLog.lastSeq, Deltas: c.deltaLog.unsent}
	c.deltaLog.retain(c.cfg.Name, deltaBatch{
		seq:         batch.Seq,
		sentAt:      c.now,
		leaderToken: c.leadership.leader.FencingToken,
		deltas:      batch.Deltas,
	})
	c.deltaLog.unsent = nil
	if c.leaderState != nil {
		c.leaderState.applyDeltas(c, c.cfg.Name, batch)
	}
	c.sendToPeers("", Message{AllocationDeltas: batch})
}

// applyPush takes the leader's array, or the rows of it that changed, and applies the deltas to them
// that the leader had not counted yet.
func (c *Core) applyPush(push *StatePush) {
	for _, name := range push.GoneMachines {
		c.markMachineGone(c.internMachine(name))
	}
	c.stopPreempted(push.Preempted)
	c.clusterCopy.capacityHold = push.CapacityHold
	whole := push.AfterRevision == 0
	if !whole && !c.clusterCopy.follows(push) {
		c.requestWholeArray()
		return
	}
	c.clusterCopy.leaderToken, c.clusterCopy.revision = push.FencingToken, push.Revision
	c.clusterCopy.countedBatches = push.DeltaAcks
	rows := c.rowsOfPush(push)
	pending := c.uncountedDeltas(push)
	if whole {
		c.clusterCopy.state.Replace(c.now, rows, pending)
	} else {
		c.clusterCopy.state.Update(c.now, rows, pending)
	}
	c.placement.capacityFreed = true
}

// stopPreempted stops those of the preempted attempts that are of this controller's jobs and still assigned.
func (c *Core) stopPreempted(preempted []PreemptedTask) {
	for _, victim := range preempted {
		m, j := c.internMachine(victim.Machine), c.internJob(victim.Job)
		assignment, ok := m.allocation.assignments[taskKey{j.index, victim.Task}]
		if !ok || assignment.Attempt != victim.Attempt || !c.ownsJob(j) || j.isFinal() {
			continue
		}
		key := attemptKey{j.index, victim.Task, victim.Attempt}
		c.stopTask(m, key, j.record.Spec, "made room for higher priority")
	}
}

// requestWholeArray asks the leader for its whole array after a push was lost; the copy ages until it comes.
func (c *Core) requestWholeArray() {
	if c.now < c.clusterCopy.nextResendAt || c.leadership.leader.mark == 0 {
		return
	}
	c.clusterCopy.nextResendAt = c.now + pushResendInterval
	c.sendToPeers(c.leadership.leader.Node, Message{ResendStatePush: true})
}

// rowsOfPush converts the rows of a push, without machines that are gone. What a row tells of a
// machine that has not reported yet is taken.
func (c *Core) rowsOfPush(push *StatePush) []clusterstate.Row {
	rows := make([]clusterstate.Row, 0, len(push.Rows))
	for i := range push.Rows {
		pushed := &push.Rows[i]
		m := c.internMachine(pushed.Machine)
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

// uncountedDeltas drops the batches that a push counts, and lists the remaining deltas of all controllers.
func (c *Core) uncountedDeltas(push *StatePush) (pending []clusterstate.Delta) {
	c.deltaLog.measureCountingDelay(c.now, c.cfg.Name, push)
	for _, controller := range sortedKeys(c.deltaLog.uncounted) {
		c.deltaLog.dropCounted(controller, push)
		for _, batch := range c.deltaLog.uncounted[controller] {
			pending = c.appendDeltas(pending, batch.deltas)
		}
	}
	return c.appendDeltas(pending, c.deltaLog.unsent)
}

// appendDeltas appends deltas to a list, with the indices of their machines in place of the names.
func (c *Core) appendDeltas(list []clusterstate.Delta, deltas []AllocationDelta) []clusterstate.Delta {
	for _, delta := range deltas {
		list = append(list, clusterstate.Delta{
			Start:   delta.Start,
			Machine: c.internMachine(delta.Machine).index,
			Request: delta.Request,
		})
	}
	return list
}

// applyPeerDeltas applies the deltas of another controller to the copy.
func (c *Core) applyPeerDeltas(deltas []AllocationDelta) {
	for _, delta := range c.appendDeltas(nil, deltas) {
		c.clusterCopy.state.Apply(c.now, delta)
	}
}

// attemptHash identifies an attempt in deltas; it is never 0, which stands for an unknown attempt.
func attemptHash(job string, task int32, attempt uint64) uint64 {
	raw := append(make([]byte, 0, 64), job...)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(task))
	return max(1, xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, attempt)))
}
