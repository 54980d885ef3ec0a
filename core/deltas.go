package core

import (
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// clusterCopy is this controller's copy of the shared cluster state, as of the leader's last push.
type clusterCopy struct {
	state          clusterstate.Copy
	revision       uint64 // revision and leader of the last push taken
	leaderToken    uint64
	countedBatches map[string]uint64 // what it had counted
	nextResendAt   time.Duration
	capacityHold   *CapacityHold // as the leader told with the last push
}

// deltaLog is start and finish tuples of this controller on their way to the leader and the others.
type deltaLog struct {
	unsent        []AllocationDelta
	uncounted     map[string][]deltaBatch // of each controller, not yet counted by the leader
	lastSeq       uint64
	countingDelay time.Duration // how long it takes of late until a push shows that a batch was counted
	nextBatchAt   time.Duration
}

type deltaBatch struct {
	seq         uint64
	sentAt      time.Duration // by this controller
	leaderToken uint64        // of the leader it was sent to
	deltas      []AllocationDelta
}

// recordDelta notes a start or finish for the leader; the own copy already shows starts. A start is
// noted when its write is sent: the sooner the others know, the fewer choose the same room. If
// the write fails, an end follows.
func (c *Core) recordDelta(start bool, j *job, a jobrecord.Assignment, claim clusterstate.Resources) {
	m := c.machines[a.Machine]
	c.deltaLog.unsent = append(
		c.deltaLog.unsent,
		AllocationDelta{
			Start:       start,
			Machine:     m.name,
			Request:     claim,
			AttemptHash: attemptHash(j.id, a.Task, a.Attempt),
		},
	)
	if !start {
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: claim})
		c.placement.capacityFreed = true
	}
}

// releaseOnce gives back the room of a task that has ended, once. The write of its end may follow
// later: the room is free for others as soon as the machine says so.
func (c *Core) releaseOnce(j *job, a jobrecord.Assignment) {
	t := c.attemptOf(c.machines[a.Machine], attemptKey{j.index, a.Task, a.Attempt})
	if !t.resourcesReleased && c.ownsJob(j) && j.record != nil && j.record.Spec != nil {
		t.resourcesReleased = true
		c.recordDelta(false, j, a, j.record.Spec.Request)
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
	c.retainBatch(
		c.cfg.Name,
		deltaBatch{c.deltaLog.lastSeq, c.now, c.leadership.leader.FencingToken, c.deltaLog.unsent},
	)
	d := &AllocationDeltas{Seq: c.deltaLog.lastSeq, Deltas: c.deltaLog.unsent}
	c.deltaLog.unsent = nil
	if c.leaderState != nil {
		c.leaderState.applyDeltas(c, c.cfg.Name, d)
	}
	c.sendToPeers("", Message{AllocationDeltas: d})
}

func (c *Core) retainBatch(from string, b deltaBatch) {
	list := append(c.deltaLog.uncounted[from], b)
	if len(list) > 64 {
		list = list[len(list)-64:]
	}
	c.deltaLog.uncounted[from] = list
}

// applyPush takes the leader's array, or the rows of it that changed, and repeats on them what the
// leader had not counted yet.
func (c *Core) applyPush(p *StatePush) {
	for _, n := range p.GoneMachines {
		c.markMachineGone(c.internMachine(n))
	}
	for _, x := range p.Preempted {
		m, j := c.internMachine(x.Machine), c.internJob(x.Job)
		if a, ok := m.allocation.assignments[taskKey{j.index, x.Task}]; ok && a.Attempt == x.Attempt &&
			c.ownsJob(j) &&
			!j.isFinal() {
			c.stopTask(m, attemptKey{j.index, x.Task, x.Attempt}, j.record.Spec, "made room for higher priority")
		}
	}
	c.clusterCopy.capacityHold = p.CapacityHold
	whole := p.AfterRevision == 0
	if !whole && (p.FencingToken != c.clusterCopy.leaderToken || p.AfterRevision != c.clusterCopy.revision) {
		// A push was lost on the way. The copy ages until the whole array comes.
		if c.now >= c.clusterCopy.nextResendAt && c.leadership.leader.mark != 0 {
			c.clusterCopy.nextResendAt = c.now + 500*time.Millisecond
			c.sendToPeers(c.leadership.leader.Node, Message{ResendStatePush: true})
		}
		return
	}
	c.clusterCopy.leaderToken, c.clusterCopy.revision, c.clusterCopy.countedBatches = p.FencingToken, p.Revision, p.DeltaAcks
	rows := make([]clusterstate.Row, 0, len(p.Rows))
	for _, r := range p.Rows {
		m := c.internMachine(r.Machine)
		if m.lifecycle.gone {
			continue
		}
		if m.identity.machineType == "" {
			m.identity.machineType, m.identity.zone, m.identity.spot = r.Type, r.Zone, r.Spot
		}
		rows = append(
			rows,
			clusterstate.Row{
				Machine:     m.index,
				Available:   r.Available,
				Allocated:   r.Allocated,
				Reserved:    r.Reserved,
				OfferedLast: r.OfferedLast,
				Schedulable: !r.Unschedulable,
			},
		)
	}
	var pending []clusterstate.Delta
	for _, from := range sortedKeys(c.deltaLog.uncounted) {
		// A new leader seeds from reports instead.
		c.deltaLog.uncounted[from] = slices.DeleteFunc(c.deltaLog.uncounted[from], func(b deltaBatch) bool {
			if from == c.cfg.Name && b.leaderToken == p.FencingToken && b.seq <= p.DeltaAcks[from] {
				c.deltaLog.countingDelay += (c.now - b.sentAt - c.deltaLog.countingDelay) / 8
			}
			return b.leaderToken != p.FencingToken || b.seq <= p.DeltaAcks[from]
		})
		for _, b := range c.deltaLog.uncounted[from] {
			pending = c.appendDeltas(pending, b.deltas)
		}
	}
	pending = c.appendDeltas(pending, c.deltaLog.unsent)
	if whole {
		c.clusterCopy.state.Replace(c.now, rows, pending)
	} else {
		c.clusterCopy.state.Update(c.now, rows, pending)
	}
	c.placement.capacityFreed = true
}

// appendDeltas appends tuples by the indices of their machines.
func (c *Core) appendDeltas(list []clusterstate.Delta, ds []AllocationDelta) []clusterstate.Delta {
	for _, d := range ds {
		list = append(
			list,
			clusterstate.Delta{Start: d.Start, Machine: c.internMachine(d.Machine).index, Request: d.Request},
		)
	}
	return list
}

// applyPeerDeltas takes the tuples of another controller on the copy.
func (c *Core) applyPeerDeltas(ds []AllocationDelta) {
	for _, d := range c.appendDeltas(nil, ds) {
		c.clusterCopy.state.Apply(c.now, d)
	}
}

// attemptHash names an attempt in tuples.
func attemptHash(job string, task int32, try uint64) uint64 {
	raw := append(make([]byte, 0, 64), job...)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(task))
	return max(1, xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, try)))
}
