package core

import (
	"bytes"
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Small jobs share values (docs/notes/shared.md). Each shard has a few slots, which its holder
// writes, on condition of the shard and of the slot; every write of a job's own key that was there
// before is on condition of its slot's mark as well, and one by a controller that does not hold the
// shard, a cancellation, writes the slot too. So of a write of the slot and one of a key that do
// not know of each other, only one succeeds, however late either is executed.

const (
	keySlot = Root + "over/" // slots, by number
	// of a shard, beside one for arrays: these are written all the time, and services when something is lost
	serviceSlotsPerShard = 2
)

// slotNumber is the number of the slot of a job that is not over.
func (c *Core) slotNumber(id string, r *jobrecord.Record) int {
	n := r.Shard * (1 + serviceSlotsPerShard)
	if r.Spec.Service {
		n += 1 + int(xxhash.Sum64String(id)%serviceSlotsPerShard)
	}
	return n
}

// slotState is what is known of a slot.
func (c *Core) slotState(n int) *batchvalue.Slot {
	s := c.replica.batchValues[n]
	if s == nil {
		s = &batchvalue.Slot{}
		c.replica.batchValues[n] = s
	}
	return s
}

func slotKey(n int) string { return fmt.Sprintf("%s%02d", keySlot, n) }

// canShareValues reports whether this controller puts jobs into slots. What carries entries of the
// audit record, or depends on rights, is written under its own key.
func (c *Core) canShareValues() bool {
	return c.cfg.Store.SharedValues && c.schemaVersion() >= schemaSharedValues && c.cfg.Audit.Key == nil &&
		!c.permissionsInForce()
}

// maxSlotBytes is how many bytes of entries, before they are compressed, may be in a slot: they
// shrink to half and less.
func (c *Core) maxSlotBytes() int { return c.cfg.Store.MaxValueBytes * 7 / 4 }

// encodeSlotEntry renders what changes of a proposal's job; nil if it can't be shared. A record
// that nearly fills its value may be cancelled by a mark, of which the slot knows nothing.
func (c *Core) encodeSlotEntry(p *proposal) json.RawMessage {
	j, r := p.job, p.record
	if !c.canShareValues() || j.revision == 0 || p.isAcceptance || p.isCancellation || r.Stage != jobrecord.Queued || r.Spec == nil || j.cancellation.markerRevision != 0 || j.stored.bytes > c.cfg.Store.MaxValueBytes*3/4 ||
		p.wantsOwnKey || len(p.compares) > 0 ||
		len(r.PendingAudit) > 0 ||
		!c.ownsJob(j) ||
		len(p.assignments) > c.cfg.Store.MaxValueBytes/40 {
		return nil
	}
	raw, err := c.encodeRecord(
		&jobrecord.Record{
			WriteNumber:    r.WriteNumber,
			Shard:          r.Shard,
			CompletedTasks: r.CompletedTasks,
			LastAttempt:    r.LastAttempt,
			StopReasons:    r.StopReasons,
		},
		p.assignments,
		false,
	)
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes/4 {
		return nil
	}
	return raw
}

// currentSlotEntry is the entry that counts on top of this write of a queued job's record; nil if there is none.
func (c *Core) currentSlotEntry(id string, r *jobrecord.Record) *jobrecord.Record {
	raw, ok := c.slotState(c.slotNumber(id, r)).Entries[id]
	if !ok {
		return nil
	}
	e, err := jobrecord.Decode(raw)
	if err != nil || e.WriteNumber != r.WriteNumber || !e.CompletedTasks.IsValid(r.Spec.Tasks) {
		return nil
	}
	return e
}

// withSlotEntry is a job's record with its slot's entry on top of it, if there is one that counts.
func (c *Core) withSlotEntry(id string, r *jobrecord.Record) *jobrecord.Record {
	if r.Spec == nil || r.Stage != jobrecord.Queued {
		return r
	}
	e := c.currentSlotEntry(id, r)
	if e == nil {
		return r
	}
	out := *r
	out.Assignments, out.CompletedTasks, out.LastAttempt, out.StopReasons = e.Assignments, e.CompletedTasks, e.LastAttempt, e.StopReasons
	return &out
}

// applySlot takes a slot from the state service.
func (c *Core) applySlot(key string, raw json.RawMessage, mark uint64) error {
	n, err := strconv.Atoi(key[len(keySlot):])
	if err != nil {
		return fmt.Errorf("slot: %w", err)
	}
	s := c.slotState(n)
	if mark <= s.Revision {
		return nil // its own write's reply came before
	}
	entries, err := batchvalue.Decode(raw)
	if err != nil {
		return err
	}
	old := s.Entries
	s.Revision, s.Entries = mark, entries
	for _, id := range sortedKeys(entries) {
		if bytes.Equal(old[id], entries[id]) {
			continue
		}
		if j := c.knownJob(id); j != nil && j.record.Spec != nil && !j.isFinal() {
			if r := c.withSlotEntry(id, j.record); r != j.record {
				c.adoptRecord(j, r, r.ExpandAssignments(c.internMachineInZone), j.revision, j.stored.bytes)
			}
		}
	}
	return nil
}

// slotDraft is the next value of a slot in a transaction.
func (b *txnBuilder) slotDraft(n int) *batchvalue.Draft {
	if d := b.slotDrafts[n]; d != nil {
		return d
	}
	d := b.core.slotState(n).BeginDraft(func(id string, raw json.RawMessage) bool {
		j := b.core.knownJob(id)
		if j == nil || j.record.Spec == nil || j.isFinal() {
			return false
		}
		e, err := jobrecord.Decode(raw)
		// one of a write that is not seen yet is another's to judge
		return err != nil || e.WriteNumber >= j.record.WriteNumber
	})
	b.addSlot(n, d)
	return d
}

// addSlot has a transaction write a slot.
func (b *txnBuilder) addSlot(n int, d *batchvalue.Draft) {
	if b.slotDrafts == nil {
		b.slotDrafts = map[int]*batchvalue.Draft{}
	}
	b.slotDrafts[n] = d
	b.valueBytes += b.core.cfg.Store.MaxValueBytes // all of its entries are written
}

// removeSlotEntry takes a job's entry out of a slot that others hold.
func (b *txnBuilder) removeSlotEntry(n int, id string) {
	d := b.slotDrafts[n]
	if d == nil {
		d = &batchvalue.Draft{Entries: b.core.slotState(n).Entries}
		b.addSlot(n, d)
	}
	d.Entries = d.Entries.Without(id)
}

// addSlotEntry puts a proposal's entry into its slot, if there is room.
func (b *txnBuilder) addSlotEntry(p *proposal, entry json.RawMessage) bool {
	if !b.slotDraft(p.slotIndex).TryPut(p.job.id, entry, b.core.maxSlotBytes()) {
		return false
	}
	b.valueBytes += len(entry)
	p.inSlot = true
	return true
}

// opCount is how many a transaction has.
func (b *txnBuilder) opCount() int { return len(b.txn.Then) + len(b.slotDrafts) }

// addCompare adds a condition, once.
func (b *txnBuilder) addCompare(k wire.Compare) {
	if !slices.Contains(b.txn.Compare, k) {
		b.txn.Compare = append(b.txn.Compare, k)
	}
}

// encodeSlots renders the slots of a transaction, and returns the jobs that did not fit after all.
func (b *txnBuilder) encodeSlots() (out []proposal) {
	for _, n := range sortedKeys(b.slotDrafts) {
		d := b.slotDrafts[n]
		raw, err := d.Entries.Encode()
		if err == nil && len(raw) <= b.core.cfg.Store.MaxValueBytes {
			b.addCompare(wire.Compare{Key: slotKey(n), Revision: b.core.slotState(n).Revision})
			b.txn.Then = append(b.txn.Then, wire.Write{Put: slotKey(n), Value: raw})
			continue
		}
		// They say less of the same than others do: these jobs have their own keys, once.
		delete(b.slotDrafts, n)
		left := b.proposals[:0:0]
		for _, p := range b.proposals {
			if p.inSlot && p.slotIndex == n {
				out = append(out, p)
			} else {
				left = append(left, p)
			}
		}
		b.proposals = left
	}
	return out
}

// lockSlots notes that a transaction on its way depends on slots.
func (c *Core) lockSlots(x *pendingTxn) {
	for n := range x.writtenSlots {
		c.slotState(n).WriteInFlight = true
	}
	for n := range x.dependentSlots {
		c.slotState(n).JobKeyWritesInFlight++
	}
}

// releaseSlots notes that it does no more. A slot whose write may have been executed, or that was
// overtaken, must be read first.
func (c *Core) releaseSlots(x *pendingTxn, status wire.Status, at uint64) (behind []int) {
	for n := range x.dependentSlots {
		c.slotState(n).JobKeyWritesInFlight--
	}
	for _, n := range sortedKeys(x.writtenSlots) {
		s := c.slotState(n)
		switch status {
		case wire.StatusOK:
			s.WriteInFlight = false
			if at > s.Revision {
				s.Revision, s.Entries = at, x.writtenSlots[n].Entries
			}
		case wire.StatusTooManyRequests, wire.StatusUnavailable: // not executed
			s.WriteInFlight = false
		default:
			behind = append(behind, n)
		}
	}
	return behind
}
