package core

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Small jobs share values (docs/notes/shared.md). Each shard has a few slots: keys whose values hold an
// entry for each of several jobs. Only the shard's owner adds entries, with transactions that compare the
// revisions of the shard and of the slot. Every later write of a job's own key also compares the revision of
// the job's slot; a cancellation by a controller that does not own the shard also writes the slot. So if a
// write of a slot and a write of a job's own key are concurrent, only one of them succeeds, however late
// either is executed.

const (
	keySlot = Root + "over/" // slots, by number

	// serviceSlotsPerShard is the number of a shard's slots for services. Batch jobs have one slot of their
	// own, as they are written continuously, and services only when tasks are lost.
	serviceSlotsPerShard = 2

	// entryLimitDivisor divides the size limit of a value to give the size limit of a slot entry. Larger
	// entries are written under the job's own key.
	entryLimitDivisor = 4

	// minAssignmentBytes is a lower bound of the size of an encoded assignment. Entries that are too large
	// by this bound are not encoded at all.
	minAssignmentBytes = 10
)

// slotTable is the replica of the slots, by number.
type slotTable map[int]*batchvalue.Slot

// slotNumber returns the number of an unfinished job's slot.
func slotNumber(id string, record *jobrecord.Record) int {
	slot := record.Shard * (1 + serviceSlotsPerShard)
	if record.Spec.Service {
		slot += 1 + int(xxhash.Sum64String(id)%serviceSlotsPerShard)
	}
	return slot
}

// at returns the known state of a slot, which it creates if there is none.
func (t slotTable) at(number int) *batchvalue.Slot {
	slot := t[number]
	if slot == nil {
		slot = &batchvalue.Slot{}
		t[number] = slot
	}
	return slot
}

// slotKey returns the store key of a slot.
func slotKey(number int) string { return fmt.Sprintf("%s%02d", keySlot, number) }

// canShareValues reports whether this controller writes jobs into slots. While audit entries are stored
// with the records, or permissions are in force, all records are written under their own keys.
func (c *Core) canShareValues() bool {
	return c.cfg.Store.SharedValues && c.schema.active >= schemaSharedValues && c.cfg.Audit.Key == nil &&
		!c.permissions.isInForce()
}

// maxSlotBytes returns the limit of a slot's entries before compression, which at least halves their size.
func (s *StoreConfig) maxSlotBytes() int { return s.MaxValueBytes * 7 / 4 }

// canShareProposal reports whether a proposal may be written as a slot entry, which holds only what
// changes while a job runs. A record that nearly fills its value is excluded: its job may be cancelled
// by a cancel marker, whose write does not compare the slot.
func (c *Core) canShareProposal(next *proposal) bool {
	target, record := next.job, next.record
	isNewOrFinal := target.revision == 0 || next.isAcceptance || next.isCancellation ||
		record.Stage != jobrecord.Queued || record.Spec == nil
	needsOwnKey := next.wantsOwnKey || len(next.compares) > 0 || len(record.PendingAudit) > 0 ||
		target.cancellation.markerRevision != 0 || target.stored.bytes > c.cfg.Store.MaxValueBytes*3/4
	return !isNewOrFinal && !needsOwnKey && c.canShareValues() && c.ownership.ownsJob(target)
}

// encodeSlotEntry encodes the slot entry of a proposal. It returns nil if the proposal can't be written
// into a slot.
func (c *Core) encodeSlotEntry(next *proposal) json.RawMessage {
	maxBytes := c.cfg.Store.MaxValueBytes / entryLimitDivisor
	maxAssignments := c.cfg.Store.MaxValueBytes / (entryLimitDivisor * minAssignmentBytes)
	if !c.canShareProposal(next) || len(next.assignments) > maxAssignments {
		return nil
	}
	record := next.record
	raw, err := c.encodeRecord(
		&jobrecord.Record{
			WriteNumber:    record.WriteNumber,
			Shard:          record.Shard,
			CompletedTasks: record.CompletedTasks,
			LastAttempt:    record.LastAttempt,
			StopReasons:    record.StopReasons,
		},
		next.assignments,
		false,
	)
	if err != nil || len(raw) > maxBytes { // the record is written under its own key, which reports errors
		return nil
	}
	return raw
}

// currentEntry returns the slot entry that belongs to this version of a queued job's record, or nil if
// there is none.
func (t slotTable) currentEntry(id string, record *jobrecord.Record) *jobrecord.Record {
	raw, ok := t.at(slotNumber(id, record)).Entries[id]
	if !ok {
		return nil
	}
	entry, err := jobrecord.Decode(raw)
	if err != nil || entry.WriteNumber != record.WriteNumber || !entry.CompletedTasks.IsValid(record.Spec.Tasks) {
		return nil
	}
	return entry
}

// withCurrentEntry returns a job's record merged with its current slot entry, or the record itself if
// there is no such entry.
func (t slotTable) withCurrentEntry(id string, record *jobrecord.Record) *jobrecord.Record {
	if record.Spec == nil || record.Stage != jobrecord.Queued {
		return record
	}
	entry := t.currentEntry(id, record)
	if entry == nil {
		return record
	}
	merged := *record
	merged.Assignments, merged.CompletedTasks = entry.Assignments, entry.CompletedTasks
	merged.LastAttempt, merged.StopReasons = entry.LastAttempt, entry.StopReasons
	return &merged
}

// applySlot applies a slot's value to the replica and to the jobs whose entries changed.
func (c *Core) applySlot(key string, raw json.RawMessage, revision uint64) error {
	number, err := strconv.Atoi(key[len(keySlot):])
	if err != nil {
		return fmt.Errorf("parse slot number: %w", err)
	}
	slot := c.replica.slots.at(number)
	if revision <= slot.Revision {
		return nil // applied already, from the reply to this controller's own write
	}
	entries, err := batchvalue.Decode(raw)
	if err != nil {
		return err
	}
	previous := slot.Entries
	slot.Revision, slot.Entries = revision, entries
	for _, id := range sortedKeys(entries) {
		if !bytes.Equal(previous[id], entries[id]) {
			c.adoptSlotEntry(id)
		}
	}
	return nil
}

// adoptSlotEntry merges a changed slot entry into its job's known state, if it belongs to the known
// version of the job's record.
func (c *Core) adoptSlotEntry(id string) {
	target := c.knownJob(id)
	if target == nil || target.record.Spec == nil || target.isFinal() {
		return
	}
	if merged := c.replica.slots.withCurrentEntry(id, target.record); merged != target.record {
		c.adoptRecord(
			target, merged, merged.ExpandAssignments(c.internMachineInZone), target.revision, target.stored.bytes,
		)
	}
}

// slotDraft returns the next value of a slot in a transaction: the draft begun already, or a new one with
// the entries that still apply. A new draft is not part of the transaction before addSlot.
func (b *txnBuilder) slotDraft(number int) *batchvalue.Draft {
	if draft := b.slotDrafts[number]; draft != nil {
		return draft
	}
	return b.core.replica.slots.at(number).BeginDraft(func(id string, raw json.RawMessage) bool {
		target := b.core.knownJob(id)
		if target == nil || target.record.Spec == nil || target.isFinal() {
			return false
		}
		entry, err := jobrecord.Decode(raw)
		// An entry is kept if it can't be decoded, or if the replica lacks the record version that it belongs to.
		return err != nil || entry.WriteNumber >= target.record.WriteNumber
	})
}

// addSlot adds the write of a slot to a transaction.
func (b *txnBuilder) addSlot(number int, draft *batchvalue.Draft) {
	if b.slotDrafts == nil {
		b.slotDrafts = map[int]*batchvalue.Draft{}
	}
	b.slotDrafts[number] = draft
	b.valueBytes += b.core.cfg.Store.MaxValueBytes // a slot is written with all of its entries
}

// removeSlotEntry removes a job's entry from a slot whose shard another controller owns, and keeps the
// other entries unchanged.
func (b *txnBuilder) removeSlotEntry(number int, id string) {
	draft := b.slotDrafts[number]
	if draft == nil {
		draft = &batchvalue.Draft{Entries: b.core.replica.slots.at(number).Entries}
		b.addSlot(number, draft)
	}
	draft.Entries = draft.Entries.Without(id)
}

// addSlotEntry puts a proposal's entry into its slot, and reports whether there was space for it.
func (b *txnBuilder) addSlotEntry(next *proposal, entry json.RawMessage) bool {
	draft := b.slotDraft(next.slotIndex)
	if !draft.TryPut(next.job.id, entry, b.core.cfg.Store.maxSlotBytes()) {
		return false
	}
	if b.slotDrafts[next.slotIndex] == nil {
		b.addSlot(next.slotIndex, draft)
	}
	b.valueBytes += len(entry)
	next.inSlot = true
	return true
}

// opCount returns the number of writes in the transaction.
func (b *txnBuilder) opCount() int { return len(b.txn.Then) + len(b.slotDrafts) }

// addCompare adds a compare, unless the transaction has it already.
func (b *txnBuilder) addCompare(compare wire.Compare) {
	if !slices.Contains(b.txn.Compare, compare) {
		b.txn.Compare = append(b.txn.Compare, compare)
	}
}

// encodeSlots encodes the slots of a transaction. It removes the slots that exceed the size limit of a
// value, because their entries compress worse than expected, and returns the proposals in them.
func (b *txnBuilder) encodeSlots() (oversized []proposal) {
	for _, number := range sortedKeys(b.slotDrafts) {
		raw, err := b.slotDrafts[number].Entries.Encode()
		if err == nil && len(raw) <= b.core.cfg.Store.MaxValueBytes {
			b.addCompare(wire.Compare{Key: slotKey(number), Revision: b.core.replica.slots.at(number).Revision})
			b.txn.Then = append(b.txn.Then, wire.Write{Put: slotKey(number), Value: raw})
			continue
		}
		delete(b.slotDrafts, number) // its jobs are written under their own keys next time
		oversized = append(oversized, b.takeSlotProposals(number)...)
	}
	return oversized
}

// takeSlotProposals removes from the transaction the proposals whose entries are in a slot, and returns them.
func (b *txnBuilder) takeSlotProposals(number int) (taken []proposal) {
	kept := b.proposals[:0:0]
	for _, candidate := range b.proposals {
		if candidate.inSlot && candidate.slotIndex == number {
			taken = append(taken, candidate)
		} else {
			kept = append(kept, candidate)
		}
	}
	b.proposals = kept
	return taken
}

// lock records that a transaction in flight writes or compares slots.
func (t slotTable) lock(pending *pendingTxn) {
	for number := range pending.writtenSlots {
		t.at(number).WriteInFlight = true
	}
	for number := range pending.comparedSlots {
		t.at(number).JobKeyWritesInFlight++
	}
}

// release records that a transaction is no longer in flight. It returns the written slots that stay locked
// until they have been read, because their write may still be executed or has lost to another one.
func (t slotTable) release(pending *pendingTxn, status wire.Status, revision uint64) (stale []int) {
	for number := range pending.comparedSlots {
		t.at(number).JobKeyWritesInFlight--
	}
	for _, number := range sortedKeys(pending.writtenSlots) {
		slot := t.at(number)
		switch {
		case status == wire.StatusOK:
			slot.WriteInFlight = false
			if revision > slot.Revision {
				slot.Revision, slot.Entries = revision, pending.writtenSlots[number].Entries
			}
		case isNotExecuted(status):
			slot.WriteInFlight = false
		default:
			stale = append(stale, number)
		}
	}
	return stale
}
