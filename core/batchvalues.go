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

// Small jobs share values (docs/notes/shared.md). Each shard has a few slots, which the shard's owner
// writes, comparing the revisions of the shard and of the slot. Every later write of a job's own key
// compares the revision of the job's slot too; one by a controller that does not own the shard, a
// cancellation, writes the slot as well. So of a write of a slot and a write of a job's own key that
// do not know of each other, only one succeeds, however late either is executed.

const (
	keySlot = Root + "over/" // slots, by number

	// serviceSlotsPerShard is the number of a shard's slots for services, beside the one for job
	// arrays: arrays are written all the time, services only when tasks are lost.
	serviceSlotsPerShard = 2

	// maxEntryShare is the divisor of a value's limit that gives the largest entry of a slot. Larger
	// ones are written under the job's own key.
	entryLimitDivisor = 4

	// minAssignmentBytes is a low estimate of an encoded assignment: entries that it shows to be too
	// large are not encoded at all.
	minAssignmentBytes = 10
)

// slotTable is the replica of the slots, by number.
type slotTable map[int]*batchvalue.Slot

// slotNumber is the number of an open job's slot.
func slotNumber(id string, record *jobrecord.Record) int {
	slot := record.Shard * (1 + serviceSlotsPerShard)
	if record.Spec.Service {
		slot += 1 + int(xxhash.Sum64String(id)%serviceSlotsPerShard)
	}
	return slot
}

// at is what the replica knows of a slot.
func (t slotTable) at(number int) *batchvalue.Slot {
	slot := t[number]
	if slot == nil {
		slot = &batchvalue.Slot{}
		t[number] = slot
	}
	return slot
}

// slotKey is the store's key of a slot.
func slotKey(number int) string { return fmt.Sprintf("%s%02d", keySlot, number) }

// canShareValues reports whether this controller writes jobs into slots. Records that carry audit
// entries or depend on permissions are written under their own keys.
func (c *Core) canShareValues() bool {
	return c.cfg.Store.SharedValues && c.schema.active >= schemaSharedValues && c.cfg.Audit.Key == nil &&
		!c.permissions.isInForce()
}

// maxSlotBytes is the limit of a slot's entries before compression, which at least halves them.
func (s *StoreConfig) maxSlotBytes() int { return s.MaxValueBytes * 7 / 4 }

// canShareProposal reports whether a proposal may be written as a slot's entry, which holds only
// what changes while a job runs. A record that nearly fills its value is excluded, as it may be
// cancelled by a marker of which the slot knows nothing.
func (c *Core) canShareProposal(next *proposal) bool {
	target, record := next.job, next.record
	isNewOrFinal := target.revision == 0 || next.isAcceptance || next.isCancellation ||
		record.Stage != jobrecord.Queued || record.Spec == nil
	needsOwnKey := next.wantsOwnKey || len(next.compares) > 0 || len(record.PendingAudit) > 0 ||
		target.cancellation.markerRevision != 0 || target.stored.bytes > c.cfg.Store.MaxValueBytes*3/4
	return !isNewOrFinal && !needsOwnKey && c.canShareValues() && c.ownership.ownsJob(target)
}

// encodeSlotEntry encodes what changes of a proposal's job; nil if that can't be shared.
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
	if err != nil || len(raw) > maxBytes { // the record gets its own key, whose write reports errors
		return nil
	}
	return raw
}

// currentEntry is the slot entry that belongs to this write of a queued job's record; nil if
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

// withCurrentEntry is a job's record with its current slot entry on top, or the record itself if there
// is no such entry.
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
		return nil // the reply to this controller's own write came before
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

// adoptSlotEntry makes a changed slot entry part of its job's known state, if it belongs to the
// write of the job's record that is known.
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

// slotDraft is the next value of a slot in a transaction: the one begun already, or a new one with the entries
// that still apply, which is not part of the transaction yet.
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
		// An entry that can't be decoded, or belongs to a write that the replica does not have yet, is kept.
		return err != nil || entry.WriteNumber >= target.record.WriteNumber
	})
}

// addSlot makes a transaction write a slot.
func (b *txnBuilder) addSlot(number int, draft *batchvalue.Draft) {
	if b.slotDrafts == nil {
		b.slotDrafts = map[int]*batchvalue.Draft{}
	}
	b.slotDrafts[number] = draft
	b.valueBytes += b.core.cfg.Store.MaxValueBytes // all of its entries are written
}

// removeSlotEntry removes a job's entry from a slot whose shard another controller owns. The other
// entries stay as they are.
func (b *txnBuilder) removeSlotEntry(number int, id string) {
	draft := b.slotDrafts[number]
	if draft == nil {
		draft = &batchvalue.Draft{Entries: b.core.replica.slots.at(number).Entries}
		b.addSlot(number, draft)
	}
	draft.Entries = draft.Entries.Without(id)
}

// addSlotEntry puts a proposal's entry into its slot, and reports whether the slot has capacity for it.
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

// opCount is the number of writes in a transaction.
func (b *txnBuilder) opCount() int { return len(b.txn.Then) + len(b.slotDrafts) }

// addCompare adds a compare unless the transaction has it already.
func (b *txnBuilder) addCompare(compare wire.Compare) {
	if !slices.Contains(b.txn.Compare, compare) {
		b.txn.Compare = append(b.txn.Compare, compare)
	}
}

// encodeSlots encodes the slots of a transaction, and returns the proposals of those that do not fit
// a value after all: their entries compress worse than expected.
func (b *txnBuilder) encodeSlots() (unfit []proposal) {
	for _, number := range sortedKeys(b.slotDrafts) {
		raw, err := b.slotDrafts[number].Entries.Encode()
		if err == nil && len(raw) <= b.core.cfg.Store.MaxValueBytes {
			b.addCompare(wire.Compare{Key: slotKey(number), Revision: b.core.replica.slots.at(number).Revision})
			b.txn.Then = append(b.txn.Then, wire.Write{Put: slotKey(number), Value: raw})
			continue
		}
		delete(b.slotDrafts, number) // these jobs are written under their own keys next time
		unfit = append(unfit, b.takeSlotProposals(number)...)
	}
	return unfit
}

// takeSlotProposals removes the proposals whose entries are in a slot from the transaction and returns them.
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

// lock notes that a transaction in flight writes or compares slots.
func (t slotTable) lock(pending *pendingTxn) {
	for number := range pending.writtenSlots {
		t.at(number).WriteInFlight = true
	}
	for number := range pending.comparedSlots {
		t.at(number).JobKeyWritesInFlight++
	}
}

// release notes that a transaction is no longer in flight. It returns the written slots that
// stay locked until they have been read: their write may be executed yet, or another one won.
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
