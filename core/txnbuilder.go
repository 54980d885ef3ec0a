package core

import (
	"encoding/json"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/batchvalue"
	"dewlift/wire"
)

// txnBuilder combines the proposals of several jobs into one transaction, within the store's limits and this
// controller's rate limit.
type txnBuilder struct {
	core           *Core
	proposals      []proposal
	teams          []*team            // teams with a maximum quota whose tasks are started
	addedUsage     map[*team][2]int64 // CPU and GPU that the transaction's starts add, in thousandths
	txn            wire.Txn
	valueBytes     int                       // estimated size of the values written
	comparedShards map[int]bool              // shards whose ownership the transaction depends on
	slotDrafts     map[int]*batchvalue.Draft // slots it writes, by number
	comparedSlots  map[int]bool              // slots that it only compares

	hasUserWaiting bool // it has a write for which a user waits
}

const (
	// comparesPerJob is the number of compares that a job may add in addition to those of its proposal: of its
	// record, its shard, its slot, its team and its cancel marker.
	comparesPerJob = 5

	// comparesPerOp bounds the compares of a transaction, as a multiple of the limit of its writes.
	comparesPerOp = 4

	// writesPerJob is the number of writes that a job may add: its record, its team's key, and its slot or cancel
	// marker.
	writesPerJob = 3

	// maxProposalsPerTxn bounds the jobs written together, as each of them needs a placement decision.
	maxProposalsPerTxn = 64

	// maxTxnValueBytes is the estimated total size of values beyond which a transaction takes no more jobs.
	maxTxnValueBytes = 40 << 10

	// jobWriteOverheadBytes is the estimated size of a job's write without its value: keys and compares.
	jobWriteOverheadBytes = 200

	// slotRetryDelay is the delay of a job whose slot has a conflicting write in flight.
	slotRetryDelay = 10 * time.Millisecond

	// oversizedRetryDelay is the delay of a job whose record exceeds the size limit of a value until more of
	// its tasks have ended.
	oversizedRetryDelay = time.Second

	// completionsRetryDelay is the delay of completions that left the write tokens to more urgent writes.
	completionsRetryDelay = 100 * time.Millisecond

	// completionsReserve is the number of write tokens that completions leave to urgent writes, as a share of
	// those of one second.
	completionsReserve = 0.2
)

// addJob proposes a job's next record and adds its write. It returns false if the transaction takes neither
// this job nor any further one, and true otherwise, even if the job has nothing to write now or is delayed.
func (b *txnBuilder) addJob(target *job) bool {
	c := b.core
	slot := slotOf(target)
	cost, ok := b.writeCost(target, slot)
	if !ok || b.isFull(cost) || b.cannotShareTxn(target) {
		return false
	}
	if slot >= 0 && c.replica.slots.at(slot).WriteInFlight && c.schema.active >= schemaSharedValues {
		target.write.nextExamineAt = c.now + slotRetryDelay
		return true
	}
	next, retryAt := c.proposeRecord(target, b)
	if next == nil {
		target.write.dirty = retryAt != 0
		target.write.nextExamineAt = retryAt
		return true
	}
	next.slotIndex = slot
	if len(next.auditEvents) > 0 {
		next.compares = append(next.compares, c.auditLog.unauditedCompares()...)
	}
	if b.exceedsCompares(next) {
		c.undoProposal(next)
		return false
	}
	if next.completionsOnly && !c.transactions.canAffordCompletions(cost) {
		target.write.nextExamineAt = c.now + completionsRetryDelay
		return true
	}
	if entry := c.encodeSlotEntry(next); entry != nil {
		if b.slotDrafts[slot] == nil && c.replica.slots.at(slot).JobKeyWritesInFlight > 0 {
			c.undoProposal(next)
			target.write.nextExamineAt = c.now + slotRetryDelay
			return true
		}
		if b.addSlotEntry(next, entry) {
			b.requireShard(next)
			b.addProposal(next)
			return true
		}
	}
	b.addRecordWrite(next)
	return true
}

// cannotShareTxn reports whether a job can't be added to the transaction because it, or the job already in the
// transaction, must be written in a separate one.
func (b *txnBuilder) cannotShareTxn(target *job) bool {
	return len(b.proposals) > 0 && (target.write.separateTxn || b.proposals[0].job.write.separateTxn)
}

// slotOf returns the number of a job's slot, or -1 if it has none: its record is not stored yet, or is final.
func slotOf(target *job) int {
	if target.revision == 0 || target.record == nil || target.record.Spec == nil {
		return -1
	}
	return slotNumber(target.id, target.record)
}

// writeCost returns the number of write tokens that must be available for a job to be added. ok is false if
// the job may not share the transaction: a conflict on a key that other controllers also write must not fail
// a write that a user waits for.
func (b *txnBuilder) writeCost(target *job, slot int) (cost float64, ok bool) {
	cost = float64(b.opCount() + 1)
	if b.slotDrafts[slot] != nil {
		cost-- // its slot is already in the transaction
	}
	if target.writePriority() > writePriorityAccept {
		return cost + reservedWrites, !b.hasUserWaiting
	}
	// A write that a user waits for may overdraw the rate limit by the writes of all controllers in half a
	// second. If the others leave nothing unused, the store throttles it and it is soon retried.
	b.hasUserWaiting = true
	return cost - b.core.schema.storeWriteRate()/2, true
}

// isFull reports whether the transaction or the rate limit has no space for another job of this cost.
func (b *txnBuilder) isFull(cost float64) bool {
	return b.opCount()+writesPerJob > b.core.cfg.Store.MaxTxnOps ||
		len(b.proposals) >= maxProposalsPerTxn ||
		b.valueBytes > maxTxnValueBytes ||
		b.core.transactions.rateLimit.WriteTokens < cost
}

// exceedsCompares reports whether a proposal would exceed the limit of compares. The first proposal of a
// transaction never does.
func (b *txnBuilder) exceedsCompares(next *proposal) bool {
	expected := len(b.txn.Compare) + len(b.slotDrafts) + len(next.compares) + comparesPerJob
	return len(b.proposals) > 0 && expected > comparesPerOp*b.core.cfg.Store.MaxTxnOps
}

// addRecordWrite adds the write of a proposal's record under its job's own key. A proposal that can't be
// written now is undone, and its job is delayed.
func (b *txnBuilder) addRecordWrite(next *proposal) {
	raw, ok := b.core.encodeProposal(next)
	if !ok {
		return
	}
	b.requireShard(next)
	b.requireSlot(next)
	b.putRecord(next, raw)
	b.addProposal(next)
}

// encodeProposal numbers a proposal's record, attaches its audit entries and encodes it. If the record, or
// every start in it, exceeds the size limit of a value, the proposal is undone and ok is false.
func (c *Core) encodeProposal(next *proposal) (raw json.RawMessage, ok bool) {
	target := next.job
	pendingAudit := next.record.PendingAudit
	if next.removesCancelMarker() {
		pendingAudit = append(slices.Clone(pendingAudit), target.cancellation.markerAudit...)
	}
	if c.schema.active >= schemaSharedValues {
		next.record.WriteNumber++
	}
	next.record.PendingAudit, next.auditEntryIDs = c.auditLog.current().
		AttachEntries(keyJob+target.id, target.revision, pendingAudit, next.auditEvents)
	raw, err := c.encodeWithinLimit(next)
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		// An older version may have stored the record under larger limits, or tasks have ended in an order
		// that leaves many separate ranges. The record is written once more tasks have ended, as a final
		// record always fits. Nothing is lost until then, because agents keep the status of its tasks.
		c.undoProposal(next)
		target.write.nextExamineAt = c.now + oversizedRetryDelay
		if next.isCancellation && c.schema.active >= schemaDependencies {
			c.writeCancelMarker(
				target, next.record.CancelledAtMS, next.compares, next.auditEvents[:next.userCancelEvents],
			)
		}
		return nil, false
	}
	next.encodedSize = len(raw)
	if next.startsOnly && len(next.started) == 0 {
		// No start fits the value before others of the job's tasks have ended. Without this check, such a
		// job was written unchanged again and again, and other jobs starved.
		c.undoProposal(next)
		target.write.nextExamineAt = c.now + oversizedRetryDelay
		return nil, false
	}
	return raw, true
}

// removesCancelMarker reports whether a proposal's record is final and its job has a cancel marker, which the
// same transaction deletes.
func (p *proposal) removesCancelMarker() bool {
	return p.job.cancellation.markerRevision != 0 && p.record.Spec == nil
}

// requireSlot makes a transaction that writes a job's own key compare the revision of the job's slot.
func (b *txnBuilder) requireSlot(next *proposal) {
	slot := next.slotIndex
	if slot < 0 || b.core.schema.active < schemaSharedValues {
		return
	}
	b.addCompare(wire.Compare{Key: slotKey(slot), Revision: b.core.replica.slots.at(slot).Revision})
	switch {
	case !b.core.ownership.ownsJob(next.job):
		// The shard's owner may be about to write the slot. That write must fail unless it takes this one into
		// account.
		b.removeSlotEntry(slot, next.job.id)
	case b.slotDrafts[slot] == nil:
		if b.comparedSlots == nil {
			b.comparedSlots = map[int]bool{}
		}
		b.comparedSlots[slot] = true
	}
}

// putRecord adds the write of a job's own key and its compares.
func (b *txnBuilder) putRecord(next *proposal, raw json.RawMessage) {
	target := next.job
	markerRevision := target.cancellation.markerRevision
	b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyJob + target.id, Revision: target.revision})
	for _, compare := range next.compares {
		b.addCompare(compare)
	}
	b.txn.Then = append(b.txn.Then, wire.Write{Put: keyJob + target.id, Value: raw})
	if target.stored.bytes > b.core.cfg.Store.MaxValueBytes || markerRevision != 0 {
		b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyCancel + target.id, Revision: markerRevision})
	}
	if next.removesCancelMarker() {
		b.txn.Then = append(b.txn.Then, wire.Write{Delete: keyCancel + target.id})
	}
	b.valueBytes += len(raw) + jobWriteOverheadBytes
}

// addProposal adds a proposal whose writes are already in the transaction, and marks its job as being written.
func (b *txnBuilder) addProposal(next *proposal) {
	b.chargeQuota(next)
	b.core.priority.recordStarts(next)
	if len(next.started) > 0 {
		next.job.placement.lastPlacedMS = b.core.unixMS()
	}
	next.job.write.dirty, next.job.write.inFlight = false, true
	b.proposals = append(b.proposals, *next)
}

// requireShard makes a transaction compare the revision of the shard of a proposal's job, so that it fails if
// this controller no longer owns the shard. Acceptances and cancellations may also be written without ownership.
func (b *txnBuilder) requireShard(next *proposal) {
	shard := next.record.Shard
	if (next.isCancellation || next.isAcceptance) && !b.core.ownership.ownsShard(shard) || b.comparedShards[shard] {
		return
	}
	if b.comparedShards == nil {
		b.comparedShards = map[int]bool{}
	}
	b.comparedShards[shard] = true
	b.txn.Compare = append(
		b.txn.Compare,
		wire.Compare{Key: shardKey(shard), Revision: b.core.ownership.shards[shard].modRevision},
	)
}

// chargeQuota counts a proposal's starts against its team's maximum quota. Every transaction that starts tasks
// of the team writes the team's key, so that two which together exceed the quota conflict.
func (b *txnBuilder) chargeQuota(next *proposal) {
	quota := b.core.teams.of(next.record.Spec)
	if quota == nil || !quota.hasMaxQuota() || len(next.started) == 0 {
		return
	}
	usage, charged := b.addedUsage[quota]
	if !charged {
		b.teams = append(b.teams, quota)
		b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyTeam + quota.Name, Revision: quota.revision})
		b.txn.Then = append(b.txn.Then, wire.Write{Put: keyTeam + quota.Name, Value: json.RawMessage("1")})
	}
	starts, request := int64(len(next.started)), next.record.Spec.Request
	b.addedUsage[quota] = [2]int64{usage[0] + starts*request[0], usage[1] + starts*request[1]}
}

// flush sends the transaction, unless it is empty, and locks the teams and slots that it depends on.
func (b *txnBuilder) flush() {
	for _, oversized := range b.encodeSlots() {
		b.core.undoProposal(&oversized)
		oversized.job.write.inFlight, oversized.job.stored.needsOwnKey = false, true
		b.core.markDirty(oversized.job)
	}
	if len(b.proposals) == 0 {
		return
	}
	for _, quota := range b.teams {
		quota.locked = true
	}
	for _, sent := range b.proposals {
		if sent.isAcceptance {
			sent.job.submission.requestsBeforeWrite = len(sent.job.submission.requestIDs)
		}
		for _, assignment := range sent.started {
			b.core.recordDelta(true, sent.job, assignment, sent.spec.Request)
		}
	}
	pending := &pendingTxn{
		proposals:     b.proposals,
		teams:         b.teams,
		writtenSlots:  b.slotDrafts,
		comparedSlots: b.comparedSlots,
	}
	b.core.replica.slots.lock(pending)
	b.core.transactions.commit(b.txn, pending)
}

// encodeWithinLimit encodes a proposal's record so that it fits a value: as readable JSON if that leaves space
// to record the ends of its tasks, or else packed. While neither fits, it undoes the last quarter of the new
// starts, and once there are none, it drops the stop reasons. The result may still be too large, which the
// caller must check.
func (c *Core) encodeWithinLimit(next *proposal) (json.RawMessage, error) {
	maxBytes := c.cfg.Store.MaxValueBytes
	for {
		starts := len(next.started)
		raw, err := c.encodeRecord(next.record, next.assignments, false)
		if err != nil ||
			len(raw) <= maxBytes*7/8 && len(raw)+next.record.MaxGrowth(next.assignments) <= maxBytes {
			return raw, err
		}
		if c.schema.active >= schemaDependencies {
			packed, err := c.encodeRecord(next.record, next.assignments, true)
			if err != nil || len(packed) <= maxBytes*3/4 || starts == 0 && len(packed) <= maxBytes {
				return packed, err
			}
		}
		switch {
		case starts > 0:
			c.undoLastStarts(next, (starts+3)/4)
		case len(raw) > maxBytes && len(next.record.StopReasons) > 0:
			next.record.StopReasons = nil
		default:
			return raw, nil
		}
	}
}

// undoLastStarts undoes the last starts of a proposal, so that its record becomes smaller.
func (c *Core) undoLastStarts(next *proposal, count int) {
	kept := len(next.started) - count
	c.undoProposal(&proposal{started: next.started[kept:], spec: next.spec})
	next.started = next.started[:kept]
	next.assignments = next.assignments[:len(next.assignments)-count]
	next.record.LastAttempt -= uint64(count)
}

// undoProposal undoes a proposal that was not committed: it discards its audit entries, and frees the capacity
// that its starts allocated in this controller's copy of the cluster state.
func (c *Core) undoProposal(undone *proposal) {
	c.auditLog.current().DiscardEntries(undone.auditEntryIDs)
	for _, assignment := range undone.started {
		c.clusterCopy.apply(clusterstate.Delta{Machine: assignment.Machine, Request: undone.spec.Request})
	}
}
