package core

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/wire"

	"github.com/cespare/xxhash/v2"
)

// Small jobs share values (docs/notes/shared.md). Each shard has a few slots, which its holder writes, on condition of the shard and of the
// slot; every write of a job's own key that was there before is on condition of its slot's mark as well, and one by a controller
// that does not hold the shard, a cancellation, writes the slot too. So of a write of the slot and one of a key that do not know of each
// other, only one succeeds, however late either is executed.

const (
	keySlot      = Root + "over/" // slots, by number
	serviceSlots = 2              // of a shard, beside one for arrays: these are written all the time, and services when something is lost
)

// slotOf is the number of the slot of a job that is not over.
func (c *Core) slotOf(id string, r *jobrecord.Record) int {
	n := r.Shard * (1 + serviceSlots)
	if r.Spec.Service {
		n += 1 + int(xxhash.Sum64String(id)%serviceSlots)
	}
	return n
}

// slot is what is known of a slot.
func (c *Core) slot(n int) *batchvalue.Slot {
	s := c.replica.batchValues[n]
	if s == nil {
		s = &batchvalue.Slot{}
		c.replica.batchValues[n] = s
	}
	return s
}

func slotKey(n int) string { return fmt.Sprintf("%s%02d", keySlot, n) }

// mayShare reports whether this controller puts jobs into slots. What carries entries of the audit record, or depends on rights, is
// written under its own key.
func (c *Core) mayShare() bool {
	return c.cfg.SharedValues && c.form() >= formShared && c.cfg.AuditKey == nil && !c.guarded()
}

// mostShared is how many bytes of entries, before they are compressed, may be in a slot: they shrink to half and less.
func (c *Core) mostShared() int { return c.cfg.ValueBytes * 7 / 4 }

// entryOf renders what changes of a proposal's job; nil if it can't be shared. A record that nearly fills its value may be cancelled by a
// mark, of which the slot knows nothing.
func (c *Core) entryOf(p *proposal) json.RawMessage {
	j, r := p.j, p.rec
	if !c.mayShare() || j.mark == 0 || p.accept || p.cancel || r.Stage != jobrecord.Queued || r.Spec == nil || j.cancellation.markerRevision != 0 || j.stored.bytes > c.cfg.ValueBytes*3/4 ||
		p.fold || len(p.conds) > 0 || len(r.PendingAudit) > 0 || !c.mine(j) || len(p.place) > c.cfg.ValueBytes/40 {
		return nil
	}
	raw, err := c.encodeRecord(&jobrecord.Record{WriteNumber: r.WriteNumber, Shard: r.Shard, CompletedTasks: r.CompletedTasks, LastAttempt: r.LastAttempt, StopReasons: r.StopReasons}, p.place, false)
	if err != nil || len(raw) > c.cfg.ValueBytes/4 {
		return nil
	}
	return raw
}

// entryOn is the entry that counts on top of this write of a queued job's record; nil if there is none.
func (c *Core) entryOn(id string, r *jobrecord.Record) *jobrecord.Record {
	raw, ok := c.slot(c.slotOf(id, r)).Entries[id]
	if !ok {
		return nil
	}
	e, err := jobrecord.Decode(raw)
	if err != nil || e.WriteNumber != r.WriteNumber || !e.CompletedTasks.IsValid(r.Spec.Tasks) {
		return nil
	}
	return e
}

// laid is a job's record with its slot's entry on top of it, if there is one that counts.
func (c *Core) laid(id string, r *jobrecord.Record) *jobrecord.Record {
	if r.Spec == nil || r.Stage != jobrecord.Queued {
		return r
	}
	e := c.entryOn(id, r)
	if e == nil {
		return r
	}
	out := *r
	out.Assignments, out.CompletedTasks, out.LastAttempt, out.StopReasons = e.Assignments, e.CompletedTasks, e.LastAttempt, e.StopReasons
	return &out
}

// putSlot takes a slot from the state service.
func (c *Core) putSlot(key string, raw json.RawMessage, mark uint64) error {
	n, err := strconv.Atoi(key[len(keySlot):])
	if err != nil {
		return fmt.Errorf("slot: %w", err)
	}
	s := c.slot(n)
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
		if j := c.knownJob(id); j != nil && j.rec.Spec != nil && !j.final() {
			if r := c.laid(id, j.rec); r != j.rec {
				c.adopt(j, r, r.ExpandAssignments(c.seat), j.mark, j.stored.bytes)
			}
		}
	}
	return nil
}

// draft is the next value of a slot in a transaction.
func (b *builder) draft(n int) *batchvalue.Draft {
	if d := b.slots[n]; d != nil {
		return d
	}
	d := b.c.slot(n).BeginDraft(func(id string, raw json.RawMessage) bool {
		j := b.c.knownJob(id)
		if j == nil || j.rec.Spec == nil || j.final() {
			return false
		}
		e, err := jobrecord.Decode(raw)
		return err != nil || e.WriteNumber >= j.rec.WriteNumber // one of a write that is not seen yet is another's to judge
	})
	b.begin(n, d)
	return d
}

// begin has a transaction write a slot.
func (b *builder) begin(n int, d *batchvalue.Draft) {
	if b.slots == nil {
		b.slots = map[int]*batchvalue.Draft{}
	}
	b.slots[n] = d
	b.bytes += b.c.cfg.ValueBytes // all of its entries are written
}

// drop takes a job's entry out of a slot that others hold.
func (b *builder) drop(n int, id string) {
	d := b.slots[n]
	if d == nil {
		d = &batchvalue.Draft{Entries: b.c.slot(n).Entries}
		b.begin(n, d)
	}
	d.Entries = d.Entries.Without(id)
}

// share puts a proposal's entry into its slot, if there is room.
func (b *builder) share(p *proposal, entry json.RawMessage) bool {
	if !b.draft(p.slot).TryPut(p.j.id, entry, b.c.mostShared()) {
		return false
	}
	b.bytes += len(entry)
	p.shared = true
	return true
}

// changes is how many a transaction has.
func (b *builder) changes() int { return len(b.t.Then) + len(b.slots) }

// need adds a condition, once.
func (b *builder) need(k wire.Compare) {
	if !slices.Contains(b.t.Compare, k) {
		b.t.Compare = append(b.t.Compare, k)
	}
}

// closeSlots renders the slots of a transaction, and returns the jobs that did not fit after all.
func (b *builder) closeSlots() (out []proposal) {
	for _, n := range sortedKeys(b.slots) {
		d := b.slots[n]
		raw, err := d.Entries.Encode()
		if err == nil && len(raw) <= b.c.cfg.ValueBytes {
			b.need(wire.Compare{Key: slotKey(n), Revision: b.c.slot(n).Revision})
			b.t.Then = append(b.t.Then, wire.Write{Put: slotKey(n), Value: raw})
			continue
		}
		// They say less of the same than others do: these jobs have their own keys, once.
		delete(b.slots, n)
		left := b.props[:0:0]
		for _, p := range b.props {
			if p.shared && p.slot == n {
				out = append(out, p)
			} else {
				left = append(left, p)
			}
		}
		b.props = left
	}
	return out
}

// depend notes that a transaction on its way depends on slots.
func (c *Core) depend(x *txn) {
	for n := range x.slots {
		c.slot(n).WriteInFlight = true
	}
	for n := range x.keyed {
		c.slot(n).JobKeyWritesInFlight++
	}
}

// released notes that it does no more. A slot whose write may have been executed, or that was overtaken, must be read first.
func (c *Core) released(x *txn, status int, at uint64) (behind []int) {
	for n := range x.keyed {
		c.slot(n).JobKeyWritesInFlight--
	}
	for _, n := range sortedKeys(x.slots) {
		s := c.slot(n)
		switch status {
		case 200:
			s.WriteInFlight = false
			if at > s.Revision {
				s.Revision, s.Entries = at, x.slots[n].Entries
			}
		case 429, 503: // not executed
			s.WriteInFlight = false
		default:
			behind = append(behind, n)
		}
	}
	return behind
}
