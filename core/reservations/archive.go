package reservations

import (
	"dewlift/booking"
	"dewlift/wire"
	"slices"
	"strings"
	"time"

	pb "dewlift/proto"
)

// Bookings whose time is past, or that ended, leave the pages for blocks that no controller
// follows, sorted by id; the key of a block is the end of its range, so that one read finds a
// booking. They never change any more: whoever has one in memory may keep it. A new booking is made
// on condition that the block of its id is as it was when it lacked that, or that there are no
// blocks; so an id is never used twice, and a write that is executed late revives nothing.
//
// A booking moves when only one page has it: a copy in another, older one would count again.

const (
	// PastPrefix begins the keys of blocks.
	ArchivePrefix = "da/k/"
	keyArchive    = Prefix + "past" // exists once there may be blocks
	maxID         = "~"             // behind all ids

	maxCachedBlocks = 24 // that are kept in memory, decoded
	forgetInterval  = time.Minute
)

// archiveBlock is the bookings that are past whose ids lie in [low, high).
type archiveBlock struct {
	low, high    string
	revision     uint64 // 0: it is not there, as nothing of its range is
	readRevision uint64 // revision of the state service as of which it is known
	bookings     []*pb.Booking
}

func (b *archiveBlock) find(id string) *pb.Booking {
	i, ok := slices.BinarySearchFunc(
		b.bookings,
		id,
		func(x *pb.Booking, id string) int { return strings.Compare(x.Id, id) },
	)
	if !ok {
		return nil
	}
	return b.bookings[i]
}

// updateValueCounts notes in which values bookings are.
func (d *Service) updateValueCounts(was, is []*pb.Booking) {
	for _, b := range is {
		d.valueCounts[b.Id]++
	}
	for _, b := range was {
		if d.valueCounts[b.Id]--; d.valueCounts[b.Id] == 0 {
			delete(d.valueCounts, b.Id)
		}
	}
}

// cachedBlockFor is the block of an id, if it is remembered as of a revision that no page has
// changed since; it is then the one used last. A block that was read before a move lacks what
// moved: who asks for that was told that it never was.
func (d *Service) cachedBlockFor(id string) *archiveBlock {
	d.cachedBlocks = slices.DeleteFunc(
		d.cachedBlocks,
		func(b *archiveBlock) bool { return b.readRevision < d.pagesRevision },
	)
	i := slices.IndexFunc(d.cachedBlocks, func(b *archiveBlock) bool { return b.low <= id && id < b.high })
	if i < 0 {
		return nil
	}
	b := d.cachedBlocks[i]
	d.cachedBlocks = slices.Insert(slices.Delete(d.cachedBlocks, i, i+1), 0, b)
	return b
}

// lookUpArchived looks for a booking among those that are past. It tells the condition under which
// what it found holds; not known is what must be read first.
func (d *Service) lookUpArchived(id string) (b *pb.Booking, cond wire.Compare, known bool) {
	if d.archiveRevision == 0 {
		return nil, wire.Compare{Key: keyArchive}, true
	}
	k := d.cachedBlockFor(id)
	if k == nil {
		return nil, cond, false
	}
	return k.find(id), wire.Compare{Key: ArchivePrefix + k.high, Revision: k.revision}, true
}

// deferUntilBlockRead puts those aside whose bookings must be looked for among the past ones.
func (d *Service) deferUntilBlockRead() {
	d.queue = slices.DeleteFunc(d.queue, func(a *PendingRequest) bool {
		id := a.Request.ID
		if a.Request.Verb == booking.VerbSetInventory || d.schedule.Get(id) != nil {
			return false
		}
		if _, _, known := d.lookUpArchived(id); known {
			return false
		}
		d.requestBlock(id, a)
		return true
	})
}

// requestBlock has a block read, for somebody who waits for it if not nil.
func (d *Service) requestBlock(id string, a *PendingRequest) {
	list, busy := d.awaitingBlock[id]
	if a != nil {
		list = append(list, a)
	}
	d.awaitingBlock[id] = list
	if !busy {
		d.blocksToRead = append(d.blocksToRead, id)
	}
}

// TakeBlocksToRead are ids whose blocks are to be read: the first key behind PastPrefix and the id.
// What comes of it goes to Found.
func (d *Service) TakeBlocksToRead() []string {
	out := d.blocksToRead
	d.blocksToRead = nil
	return out
}

// HandleBlock takes the block that was read for an id at a revision; nil if there is none. Whoever
// waits for it waits in the queue again.
func (d *Service) HandleBlock(id string, it *wire.KeyValue, at uint64, ok bool) error {
	list := d.awaitingBlock[id]
	delete(d.awaitingBlock, id)
	d.queue = append(d.queue, list...)
	if !ok {
		return nil
	}
	k := &archiveBlock{high: maxID, readRevision: at}
	if it != nil {
		p, _, err := Decode(it.Value)
		if err != nil {
			return err
		}
		k = &archiveBlock{
			low:          p.Low,
			high:         strings.TrimPrefix(it.Key, ArchivePrefix),
			revision:     it.Revision,
			readRevision: at,
			bookings:     p.Bookings,
		}
	}
	d.cachedBlocks = slices.DeleteFunc(
		d.cachedBlocks,
		func(o *archiveBlock) bool { return o.low < k.high && k.low < o.high },
	)
	d.cachedBlocks = slices.Insert(d.cachedBlocks, 0, k)
	d.cachedBlocks = d.cachedBlocks[:min(len(d.cachedBlocks), maxCachedBlocks)]
	return nil
}

// FindArchived looks for a booking that is not in the ledger, for whoever only asks; not known: its
// block must be read, which Look begins.
func (d *Service) FindArchived(id string) (b *pb.Booking, known bool) {
	b, _, known = d.lookUpArchived(id)
	return b, known
}

// ArchiveTxn returns a transaction that moves bookings that were over at a time into their block,
// on conditions of the caller's; nil if none is due. Its outcome goes to Moved.
func (d *Service) ArchiveTxn(conds []wire.Compare, endedBefore int64, valueBytes int) *wire.Txn {
	if d.archiving || d.merging || d.inFlight != nil {
		return nil
	}
	for _, key := range sortedPages(d.pages) {
		p := d.pages[key]
		var out []*pb.Booking
		for _, b := range p.bookings {
			if d.valueCounts[b.Id] == 1 && d.schedule.Get(b.Id).GetChange() == b.Change &&
				booking.IsOver(b, endedBefore) &&
				b.EndedAt <= endedBefore {
				out = append(out, b)
			}
		}
		if len(out) == 0 {
			continue
		}
		d.archiving = true
		if d.archiveRevision == 0 {
			return &wire.Txn{
				Compare: append(conds, wire.Compare{Key: keyArchive}),
				Then:    []wire.Write{{Put: keyArchive, Value: []byte("1")}},
			}
		}
		slices.SortFunc(out, func(a, b *pb.Booking) int { return strings.Compare(a.Id, b.Id) })
		k := d.cachedBlockFor(out[0].Id)
		if k == nil {
			d.requestBlock(out[0].Id, nil)
			d.archiving = false
			return nil
		}
		out = slices.DeleteFunc(out, func(b *pb.Booking) bool { return b.Id >= k.high })
		for ; len(out) > 0; out = out[:len(out)/2] {
			if t := d.moveToBlock(k, out, key, p, valueBytes); t != nil {
				t.Compare = append(t.Compare, conds...)
				return t
			}
		}
		d.archiving = false
		return nil
	}
	return nil
}

// moveToBlock is the transaction that moves bookings of a page into a block, or into the two that
// become of it; nil if they do not fit.
func (d *Service) moveToBlock(k *archiveBlock, out []*pb.Booking, key string, p page, valueBytes int) *wire.Txn {
	all := append(slices.Clone(k.bookings), out...)
	slices.SortFunc(all, func(a, b *pb.Booking) int { return strings.Compare(a.Id, b.Id) })
	t := &wire.Txn{
		Compare: []wire.Compare{
			{Key: key, Revision: p.revision},
			{Key: ArchivePrefix + k.high, Revision: k.revision},
		},
	}
	put := func(low, high string, list []*pb.Booking) bool {
		raw, err := packMessage(&pb.Page{Bookings: list, Low: low, High: high}, nil)
		t.Then = append(t.Then, wire.Write{Put: ArchivePrefix + high, Value: raw})
		return err == nil && len(raw) <= valueBytes
	}
	if !put(k.low, k.high, all) {
		t.Then = nil
		half := len(all) / 2
		mid := all[half].Id
		if half == 0 || !put(k.low, mid, all[:half]) || !put(mid, k.high, all[half:]) {
			return nil
		}
		t.Compare = append(t.Compare, wire.Compare{Key: ArchivePrefix + mid})
	}
	left := slices.DeleteFunc(slices.Clone(p.bookings), func(b *pb.Booking) bool { return slices.Contains(out, b) })
	if len(left) == 0 {
		t.Then = append(t.Then, wire.Write{Delete: key})
		return t
	}
	raw, err := encodePage(left, 0, nil)
	if err != nil {
		return nil
	}
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
	return t
}

// ArchiveDone takes the outcome of the transaction that Move gave, once what it did to the pages is
// known: what it wrote of blocks is read anew.
func (d *Service) ArchiveDone(t *wire.Txn) {
	d.archiving = false
	for _, w := range t.Then {
		if high, ok := strings.CutPrefix(w.Put, ArchivePrefix); ok {
			d.cachedBlocks = slices.DeleteFunc(
				d.cachedBlocks,
				func(b *archiveBlock) bool { return b.low < high && high <= b.high },
			)
		}
	}
}

// InvalidateBlocks forgets blocks that were not as they were remembered.
func (d *Service) InvalidateBlocks(keys []string) {
	for _, key := range keys {
		if high, ok := strings.CutPrefix(key, ArchivePrefix); ok {
			d.cachedBlocks = slices.DeleteFunc(d.cachedBlocks, func(b *archiveBlock) bool { return b.high == high })
		}
	}
}

// ForgetArchived drops from memory what is in no page any more.
func (d *Service) ForgetArchived(now time.Duration, endedBefore int64) {
	if d.inFlight != nil || now < d.nextForgetAt {
		return
	}
	d.nextForgetAt = now + forgetInterval
	if d.archiveRevision != 0 {
		d.schedule.Forget(
			func(b *pb.Booking) bool { return d.valueCounts[b.Id] == 0 && booking.IsOver(b, endedBefore) },
		)
	}
}
