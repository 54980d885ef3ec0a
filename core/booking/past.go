package booking

import (
	"slices"
	"strings"
	"time"

	ledger "dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Bookings whose time is past, or that ended, leave the pages for blocks that no controller follows, sorted by id; the key of a block is the
// end of its range, so that one read finds a booking. They never change any more: whoever has one in memory may keep it. A new
// booking is made on condition that the block of its id is as it was when it lacked that, or that there are no blocks; so an id is never used twice,
// and a write that is executed late revives nothing.
//
// A booking moves when only one page has it: a copy in another, older one would count again.

const (
	// PastPrefix begins the keys of blocks.
	PastPrefix = "da/k/"
	keyPast    = Prefix + "past" // exists once there may be blocks
	topID      = "~"             // behind all ids

	mostBlocks = 24 // that are kept in memory, decoded
	forgetGap  = time.Minute
)

// block is the bookings that are past whose ids lie in [low, high).
type block struct {
	low, high string
	mark      uint64 // 0: it is not there, as nothing of its range is
	read      uint64 // revision of the state service as of which it is known
	bookings  []*pb.Booking
}

func (b *block) find(id string) *pb.Booking {
	i, ok := slices.BinarySearchFunc(b.bookings, id, func(x *pb.Booking, id string) int { return strings.Compare(x.Id, id) })
	if !ok {
		return nil
	}
	return b.bookings[i]
}

// count notes in which values bookings are.
func (d *Desk) count(was, is []*pb.Booking) {
	for _, b := range is {
		d.copies[b.Id]++
	}
	for _, b := range was {
		if d.copies[b.Id]--; d.copies[b.Id] == 0 {
			delete(d.copies, b.Id)
		}
	}
}

// covering is the block of an id, if it is remembered as of a revision that no page has changed since; it is then the one used last. A
// block that was read before a move lacks what moved: who asks for that was told that it never was.
func (d *Desk) covering(id string) *block {
	d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool { return b.read < d.changed })
	i := slices.IndexFunc(d.blocks, func(b *block) bool { return b.low <= id && id < b.high })
	if i < 0 {
		return nil
	}
	b := d.blocks[i]
	d.blocks = slices.Insert(slices.Delete(d.blocks, i, i+1), 0, b)
	return b
}

// archived looks for a booking among those that are past. It tells the condition under which what it found holds; not known is what must be
// read first.
func (d *Desk) archived(id string) (b *pb.Booking, cond wire.Compare, known bool) {
	if d.past == 0 {
		return nil, wire.Compare{Key: keyPast}, true
	}
	k := d.covering(id)
	if k == nil {
		return nil, cond, false
	}
	return k.find(id), wire.Compare{Key: PastPrefix + k.high, Revision: k.mark}, true
}

// lookAhead puts those aside whose bookings must be looked for among the past ones.
func (d *Desk) lookAhead() {
	d.queue = slices.DeleteFunc(d.queue, func(a *Ask) bool {
		id := a.Wish.ID
		if a.Wish.Verb == ledger.Equip || d.ledger.Get(id) != nil {
			return false
		}
		if _, _, known := d.archived(id); known {
			return false
		}
		d.readFor(id, a)
		return true
	})
}

// readFor has a block read, for somebody who waits for it if not nil.
func (d *Desk) readFor(id string, a *Ask) {
	list, busy := d.looking[id]
	if a != nil {
		list = append(list, a)
	}
	d.looking[id] = list
	if !busy {
		d.reads = append(d.reads, id)
	}
}

// Reads are ids whose blocks are to be read: the first key behind PastPrefix and the id. What comes of it goes to Found.
func (d *Desk) Reads() []string {
	out := d.reads
	d.reads = nil
	return out
}

// Found takes the block that was read for an id at a revision; nil if there is none. Whoever waits for it waits in the queue again.
func (d *Desk) Found(id string, it *wire.KeyValue, at uint64, ok bool) error {
	list := d.looking[id]
	delete(d.looking, id)
	d.queue = append(d.queue, list...)
	if !ok {
		return nil
	}
	k := &block{high: topID, read: at}
	if it != nil {
		p, _, err := Decode(it.Value)
		if err != nil {
			return err
		}
		k = &block{low: p.Low, high: strings.TrimPrefix(it.Key, PastPrefix), mark: it.Revision, read: at, bookings: p.Bookings}
	}
	d.blocks = slices.DeleteFunc(d.blocks, func(o *block) bool { return o.low < k.high && k.low < o.high })
	d.blocks = slices.Insert(d.blocks, 0, k)
	d.blocks = d.blocks[:min(len(d.blocks), mostBlocks)]
	return nil
}

// Past looks for a booking that is not in the ledger, for whoever only asks; not known: its block must be read, which Look begins.
func (d *Desk) Past(id string) (b *pb.Booking, known bool) {
	b, _, known = d.archived(id)
	return b, known
}

// Move returns a transaction that moves bookings that were over at a time into their block, on conditions of the caller's; nil if none is due. Its
// outcome goes to Moved.
func (d *Desk) Move(conds []wire.Compare, over int64, valueBytes int) *wire.Txn {
	if d.moving || d.merging || d.flight != nil {
		return nil
	}
	for _, key := range sortedPages(d.pages) {
		p := d.pages[key]
		var out []*pb.Booking
		for _, b := range p.bookings {
			if d.copies[b.Id] == 1 && d.ledger.Get(b.Id).GetChange() == b.Change && ledger.Over(b, over) && b.EndedAt <= over {
				out = append(out, b)
			}
		}
		if len(out) == 0 {
			continue
		}
		d.moving = true
		if d.past == 0 {
			return &wire.Txn{Compare: append(conds, wire.Compare{Key: keyPast}), Then: []wire.Write{{Put: keyPast, Value: []byte("1")}}}
		}
		slices.SortFunc(out, func(a, b *pb.Booking) int { return strings.Compare(a.Id, b.Id) })
		k := d.covering(out[0].Id)
		if k == nil {
			d.readFor(out[0].Id, nil)
			d.moving = false
			return nil
		}
		out = slices.DeleteFunc(out, func(b *pb.Booking) bool { return b.Id >= k.high })
		for ; len(out) > 0; out = out[:len(out)/2] {
			if t := d.moveTo(k, out, key, p, valueBytes); t != nil {
				t.Compare = append(t.Compare, conds...)
				return t
			}
		}
		d.moving = false
		return nil
	}
	return nil
}

// moveTo is the transaction that moves bookings of a page into a block, or into the two that become of it; nil if they do not fit.
func (d *Desk) moveTo(k *block, out []*pb.Booking, key string, p page, valueBytes int) *wire.Txn {
	all := append(slices.Clone(k.bookings), out...)
	slices.SortFunc(all, func(a, b *pb.Booking) int { return strings.Compare(a.Id, b.Id) })
	t := &wire.Txn{Compare: []wire.Compare{{Key: key, Revision: p.mark}, {Key: PastPrefix + k.high, Revision: k.mark}}}
	put := func(low, high string, list []*pb.Booking) bool {
		raw, err := pack(&pb.Page{Bookings: list, Low: low, High: high}, nil)
		t.Then = append(t.Then, wire.Write{Put: PastPrefix + high, Value: raw})
		return err == nil && len(raw) <= valueBytes
	}
	if !put(k.low, k.high, all) {
		t.Then = nil
		half := len(all) / 2
		mid := all[half].Id
		if half == 0 || !put(k.low, mid, all[:half]) || !put(mid, k.high, all[half:]) {
			return nil
		}
		t.Compare = append(t.Compare, wire.Compare{Key: PastPrefix + mid})
	}
	left := slices.DeleteFunc(slices.Clone(p.bookings), func(b *pb.Booking) bool { return slices.Contains(out, b) })
	if len(left) == 0 {
		t.Then = append(t.Then, wire.Write{Delete: key})
		return t
	}
	raw, err := encode(left, 0, nil)
	if err != nil {
		return nil
	}
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
	return t
}

// Moved takes the outcome of the transaction that Move gave, once what it did to the pages is known: what it wrote of blocks is read anew.
func (d *Desk) Moved(t *wire.Txn) {
	d.moving = false
	for _, w := range t.Then {
		if high, ok := strings.CutPrefix(w.Put, PastPrefix); ok {
			d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool { return b.low < high && high <= b.high })
		}
	}
}

// Overtaken forgets blocks that were not as they were remembered.
func (d *Desk) Overtaken(keys []string) {
	for _, key := range keys {
		if high, ok := strings.CutPrefix(key, PastPrefix); ok {
			d.blocks = slices.DeleteFunc(d.blocks, func(b *block) bool { return b.high == high })
		}
	}
}

// Forget drops from memory what is in no page any more.
func (d *Desk) Forget(now time.Duration, over int64) {
	if d.flight != nil || now < d.forget {
		return
	}
	d.forget = now + forgetGap
	if d.past != 0 {
		d.ledger.Forget(func(b *pb.Booking) bool { return d.copies[b.Id] == 0 && ledger.Over(b, over) })
	}
}
