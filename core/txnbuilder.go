package core

import (
	"dewlift/clusterstate"
	"dewlift/core/batchvalue"
	"dewlift/wire"
	"encoding/json"
	"slices"
	"time"
)

// txnBuilder gathers proposals into one transaction.
type txnBuilder struct {
	core           *Core
	proposals      []proposal
	teams          []*team
	addedUsage     map[*team][2]int64
	txn            wire.Txn
	valueBytes     int
	comparedShards map[int]bool
	slotDrafts     map[int]*batchvalue.Draft
	dependentSlots map[int]bool

	hasUserWaiting bool // users wait for it
}

// of a proposal, beside those of its own: its record, its shard, its slot, its team, a mark of cancellation
const comparesPerJob = 5

const maxProposalsPerTxn = 64 // jobs written together; each takes a choice of machines

const slotRetryDelay = 10 * time.Millisecond // until a slot that is being written is looked at again

// addJob proposes a job's next record; false means that the transaction is full.
func (b *txnBuilder) addJob(j *job) bool {
	c := b.core
	cost := float64(b.opCount() + 1)
	slot := -1
	if j.revision != 0 && j.record != nil && j.record.Spec != nil {
		slot = c.slotNumber(j.id, j.record)
	}
	if b.slotDrafts[slot] != nil {
		cost-- // its slot is written anyway
	}
	if u := c.writePriority(j); u > writePriorityAccept && b.hasUserWaiting {
		return false // one key that others write too must not fail what users wait for
	} else if u > writePriorityAccept {
		cost += reservedWrites
	} else {
		// It may overdraw: if the others leave nothing, the service says so, and soon after it is
		// tried again.
		b.hasUserWaiting = true
		cost -= c.storeWriteRate() / 2
	}
	if b.opCount()+3 > c.cfg.Store.MaxTxnOps || len(b.proposals) >= maxProposalsPerTxn || b.valueBytes > 40<<10 ||
		c.transactions.rateLimit.WriteTokens < cost {
		return false
	}
	if slot >= 0 && c.slotState(slot).WriteInFlight && c.schemaVersion() >= schemaSharedValues {
		j.write.nextLookAt = c.now + slotRetryDelay
		return true
	}
	p, again := c.proposeRecord(j, b)
	if p == nil {
		j.write.dirty = again != 0
		j.write.nextLookAt = again
		return true
	}
	p.slotIndex = slot
	if len(p.auditActs) > 0 {
		p.compares = append(p.compares, c.unauditedCompares()...)
	}
	if len(b.proposals) > 0 &&
		len(b.txn.Compare)+len(b.slotDrafts)+len(p.compares)+comparesPerJob > 4*c.cfg.Store.MaxTxnOps {
		c.undoProposal(p)
		return false
	}
	// What nobody waits for leaves a part of the budget to what somebody does.
	if p.completionsOnly && c.transactions.rateLimit.WriteTokens < cost+c.transactions.rateLimit.WriteRate*0.2 {
		j.write.nextLookAt = c.now + 100*time.Millisecond
		return true
	}
	old := p.record.PendingAudit
	if j.cancellation.markerRevision != 0 && p.record.Spec == nil { // its mark goes
		old = append(slices.Clone(old), j.cancellation.markerAudit...)
	}
	if entry := c.encodeSlotEntry(p); entry != nil && b.slotDrafts[slot] == nil &&
		c.slotState(slot).JobKeyWritesInFlight > 0 {
		c.undoProposal(p)
		j.write.nextLookAt = c.now + slotRetryDelay
		return true
	} else if entry != nil && b.addSlotEntry(p, entry) {
		b.requireShard(p)
		b.addProposal(p)
		return true
	}
	if c.schemaVersion() >= schemaSharedValues {
		p.record.WriteNumber++
	}
	p.record.PendingAudit, p.auditEntryIDs = c.currentAuditLog().
		AttachEntries(keyJob+j.id, j.revision, old, p.auditActs)
	raw, err := c.encodeWithinLimit(p)
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		// An older version may have stored it under larger limits, or its tasks end in an order that
		// leaves many pieces. It is written once more of them have ended; a job that is over always
		// fits. Nothing is lost meanwhile: its machines keep what they reported.
		c.undoProposal(p)
		j.write.nextLookAt = c.now + time.Second
		if p.isCancellation && c.schemaVersion() >= schemaDependencies {
			c.writeCancelMarker(j, p.record.CancelledAtMS, p.compares, p.auditActs[:p.userCancelActs])
		}
		return true
	}
	p.encodedSize = len(raw)
	if p.startsOnly && len(p.started) == 0 {
		c.currentAuditLog().DiscardEntries(p.auditEntryIDs)
		// No start fits the value before others of its tasks have ended. Without this, such a job
		// was written again and again as it was, and the others starved.
		j.write.nextLookAt = c.now + time.Second
		return true
	}
	b.requireShard(p)
	if n := slot; n >= 0 && c.schemaVersion() >= schemaSharedValues {
		b.addCompare(wire.Compare{Key: slotKey(n), Revision: c.slotState(n).Revision})
		switch {
		case !c.ownsJob(j): // its holder may be about to write the slot, and must not without knowing of this
			b.removeSlotEntry(n, j.id)
		case b.slotDrafts[n] == nil:
			if b.dependentSlots == nil {
				b.dependentSlots = map[int]bool{}
			}
			b.dependentSlots[n] = true
		}
	}
	b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyJob + j.id, Revision: j.revision})
	for _, k := range p.compares {
		b.addCompare(k)
	}
	b.txn.Then = append(b.txn.Then, wire.Write{Put: keyJob + j.id, Value: raw})
	if j.stored.bytes > c.cfg.Store.MaxValueBytes || j.cancellation.markerRevision != 0 {
		b.txn.Compare = append(
			b.txn.Compare,
			wire.Compare{Key: keyCancel + j.id, Revision: j.cancellation.markerRevision},
		)
	}
	if j.cancellation.markerRevision != 0 && p.record.Spec == nil {
		b.txn.Then = append(b.txn.Then, wire.Write{Delete: keyCancel + j.id})
	}
	b.valueBytes += len(raw) + 200
	b.addProposal(p)
	return true
}

// addProposal puts a proposal into the transaction.
func (b *txnBuilder) addProposal(p *proposal) {
	b.chargeQuota(p)
	b.core.priority.startShares.recordStarts(b.core.now, p, b.core)
	p.job.write.dirty, p.job.write.inFlight = false, true
	b.proposals = append(b.proposals, *p)
}

// requireShard makes a transaction depend on the shard of a proposal's job, unless somebody who
// does not hold it may write it.
func (b *txnBuilder) requireShard(p *proposal) {
	shard := p.record.Shard
	if (p.isCancellation || p.isAcceptance) && !b.core.ownsShard(shard) || b.comparedShards[shard] {
		return
	}
	if b.comparedShards == nil {
		b.comparedShards = map[int]bool{}
	}
	b.comparedShards[shard] = true
	b.txn.Compare = append(
		b.txn.Compare,
		wire.Compare{Key: shardKey(shard), Revision: b.core.ownership.shards[shard].mark},
	)
}

// chargeQuota counts a proposal's starts against its team's limits, which all who start tasks of the team write.
func (b *txnBuilder) chargeQuota(p *proposal) {
	tm := b.core.teamOf(p.record.Spec)
	if tm == nil || !tm.hasMaxQuota() || len(p.started) == 0 {
		return
	}
	if _, ok := b.addedUsage[tm]; !ok {
		b.teams = append(b.teams, tm)
		b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyTeam + tm.Name, Revision: tm.revision})
		b.txn.Then = append(b.txn.Then, wire.Write{Put: keyTeam + tm.Name, Value: json.RawMessage("1")})
	}
	u := b.addedUsage[tm]
	n := int64(len(p.started))
	b.addedUsage[tm] = [2]int64{u[0] + n*p.record.Spec.Request[0], u[1] + n*p.record.Spec.Request[1]}
}

func (b *txnBuilder) flush() {
	for _, p := range b.encodeSlots() {
		b.core.undoProposal(&p)
		p.job.write.inFlight, p.job.stored.needsOwnKey = false, true
		b.core.markDirty(p.job)
	}
	if len(b.proposals) == 0 {
		return
	}
	for _, t := range b.teams {
		t.locked = true
	}
	for _, p := range b.proposals {
		if p.isAcceptance {
			p.job.submission.requestsBeforeWrite = len(p.job.submission.requestIDs)
		}
		for _, a := range p.started {
			b.core.recordDelta(true, p.job, a, p.spec.Request)
		}
	}
	x := &pendingTxn{
		proposals:      b.proposals,
		teams:          b.teams,
		writtenSlots:   b.slotDrafts,
		dependentSlots: b.dependentSlots,
	}
	b.core.lockSlots(x)
	b.core.commitTxn(b.txn, x)
}

// encodeWithinLimit encodes a proposal's record: readable if there is room to spare, else packed if that
// may be written. New starts that would make it too large for a value wait.
func (c *Core) encodeWithinLimit(p *proposal) (json.RawMessage, error) {
	for {
		starts := len(p.started)
		raw, err := c.encodeRecord(p.record, p.assignments, false)
		if err != nil ||
			len(raw) <= c.cfg.Store.MaxValueBytes*7/8 && len(raw)+p.record.MaxGrowth(p.assignments) <= c.cfg.Store.MaxValueBytes {
			return raw, err
		}
		if c.schemaVersion() >= schemaDependencies {
			packed, err := c.encodeRecord(p.record, p.assignments, true)
			if err != nil || len(packed) <= c.cfg.Store.MaxValueBytes*3/4 ||
				starts == 0 && len(packed) <= c.cfg.Store.MaxValueBytes {
				return packed, err
			}
		}
		switch {
		case starts > 0:
			n := (starts + 3) / 4
			c.undoProposal(&proposal{started: p.started[starts-n:], spec: p.spec})
			p.started = p.started[:starts-n]
			p.assignments = p.assignments[:len(p.assignments)-n]
			p.record.LastAttempt -= uint64(n)
		case len(raw) > c.cfg.Store.MaxValueBytes && len(p.record.StopReasons) > 0:
			p.record.StopReasons = nil
		default:
			return raw, nil
		}
	}
}

// undoProposal gives back the room of starts that were not committed.
func (c *Core) undoProposal(p *proposal) {
	c.currentAuditLog().DiscardEntries(p.auditEntryIDs)
	for _, a := range p.started {
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: p.spec.Request})
	}
}
