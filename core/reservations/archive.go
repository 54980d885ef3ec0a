package reservations

import (
	"slices"
	"strings"
	"time"

	"dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Past and ended reservations are moved from the pages to archive blocks, which no controller watches. Each block
// holds a range of IDs, and its key contains the end of the range, so one read finds a reservation. Archived
// reservations never change, so they may be cached. The transaction of a new reservation compares the revision of
// the block that lacks its ID, or that there are no blocks. So no ID is used twice, and a transaction that is
// executed late can't recreate an archived reservation.
//
// A reservation is archived only when a single value holds it: otherwise an outdated copy in an older page would
// become the current one.

const (
	// ArchivePrefix is the prefix of the keys of archive blocks.
	ArchivePrefix = "da/k/"

	keyArchive = Prefix + "past" // exists once there may be archive blocks
	maxID      = "~"             // sorts after all IDs: the end of the last block's range

	maxCachedBlocks  = 24 // decoded blocks kept in memory
	evictionInterval = time.Minute
)

// archiveBlock holds the archived reservations with IDs in [low, high).
type archiveBlock struct {
	low, high    string
	revision     uint64 // 0: the block does not exist, and no ID in its range is archived
	readRevision uint64 // the store's revision when the block was read
	bookings     []*pb.Booking
}

// find returns the reservation with the ID, or nil.
func (b *archiveBlock) find(id string) *pb.Booking {
	i, ok := slices.BinarySearchFunc(
		b.bookings,
		id,
		func(reservation *pb.Booking, id string) int { return strings.Compare(reservation.Id, id) },
	)
	if !ok {
		return nil
	}
	return b.bookings[i]
}

// compareIDs orders reservations by ID.
func compareIDs(a, b *pb.Booking) int { return strings.Compare(a.Id, b.Id) }

// cachedBlockFor returns the cached block whose range includes the ID, or nil, and marks it as the most recently
// used. It drops the blocks that were read before the last change of a page: they may lack reservations that were
// archived since, which would then seem never to have existed.
func (s *Service) cachedBlockFor(id string) *archiveBlock {
	s.cachedBlocks = slices.DeleteFunc(
		s.cachedBlocks,
		func(block *archiveBlock) bool { return block.readRevision < s.pagesRevision },
	)
	i := slices.IndexFunc(
		s.cachedBlocks,
		func(block *archiveBlock) bool { return block.low <= id && id < block.high },
	)
	if i < 0 {
		return nil
	}
	block := s.cachedBlocks[i]
	s.cachedBlocks = slices.Insert(slices.Delete(s.cachedBlocks, i, i+1), 0, block)
	return block
}

// lookUpArchived looks up an archived reservation. It returns the compare that fails if the result no longer holds,
// and reports false if a block must be read first.
func (s *Service) lookUpArchived(id string) (reservation *pb.Booking, compare wire.Compare, known bool) {
	if s.archiveRevision == 0 {
		return nil, wire.Compare{Key: keyArchive}, true
	}
	block := s.cachedBlockFor(id)
	if block == nil {
		return nil, compare, false
	}
	return block.find(id), wire.Compare{Key: ArchivePrefix + block.high, Revision: block.revision}, true
}

// FindArchived looks up an archived reservation for a query. It reports false if a block must be read first.
func (s *Service) FindArchived(id string) (reservation *pb.Booking, known bool) {
	reservation, _, known = s.lookUpArchived(id)
	return reservation, known
}

// deferUntilBlockRead removes from the queue the requests that need a block to be read first.
func (s *Service) deferUntilBlockRead() {
	s.queue = slices.DeleteFunc(s.queue, func(request *PendingRequest) bool {
		id := request.Request.ID
		if request.Request.Verb == booking.VerbSetInventory || s.schedule.Get(id) != nil {
			return false
		}
		if _, _, known := s.lookUpArchived(id); known {
			return false
		}
		s.requestBlock(id, request)
		return true
	})
}

// requestBlock requests that the block of an ID be read. request waits for it, unless it is nil.
func (s *Service) requestBlock(id string, request *PendingRequest) {
	waiting, requested := s.awaitingBlock[id]
	if request != nil {
		waiting = append(waiting, request)
	}
	s.awaitingBlock[id] = waiting
	if !requested {
		s.blocksToRead = append(s.blocksToRead, id)
	}
}

// TakeBlocksToRead returns the IDs whose blocks the caller must read: for each, the value of the first key after
// ArchivePrefix and the ID. The caller passes the result to HandleBlock.
func (s *Service) TakeBlocksToRead() []string {
	ids := s.blocksToRead
	s.blocksToRead = nil
	return ids
}

// HandleBlock handles the block that was read for an ID at a revision of the store. item is nil if there is none,
// and ok is false if the read failed. In either case, the requests that wait for the block are queued again.
func (s *Service) HandleBlock(id string, item *wire.KeyValue, revision uint64, ok bool) error {
	waiting := s.awaitingBlock[id]
	delete(s.awaitingBlock, id)
	s.queue = append(s.queue, waiting...)
	if !ok {
		return nil
	}
	block := &archiveBlock{high: maxID, readRevision: revision}
	if item != nil {
		decoded, _, err := Decode(item.Value)
		if err != nil {
			return err
		}
		block = &archiveBlock{
			low:          decoded.Low,
			high:         strings.TrimPrefix(item.Key, ArchivePrefix),
			revision:     item.Revision,
			readRevision: revision,
			bookings:     decoded.Bookings,
		}
	}
	s.cachedBlocks = slices.DeleteFunc(
		s.cachedBlocks,
		func(cached *archiveBlock) bool { return cached.low < block.high && block.low < cached.high },
	)
	s.cachedBlocks = slices.Insert(s.cachedBlocks, 0, block)
	s.cachedBlocks = s.cachedBlocks[:min(len(s.cachedBlocks), maxCachedBlocks)]
	return nil
}

// ArchiveTxn returns a transaction with the given compares that moves reservations that ended before a time from a
// page to their archive block. It returns nil if there are none or a block must be read first. After the outcome,
// the caller must call ArchiveDone.
func (s *Service) ArchiveTxn(compares []wire.Compare, endedBefore int64, maxValueBytes int) *wire.Txn {
	if s.archiving || s.merging || s.inFlight != nil {
		return nil
	}
	for _, key := range s.sortedPageKeys() {
		if due := s.archivable(s.pages[key], endedBefore); len(due) > 0 {
			return s.archiveFromPage(key, due, compares, maxValueBytes)
		}
	}
	return nil
}

// archivable returns the reservations of a page that ended before a time and are in no other value.
func (s *Service) archivable(stored page, endedBefore int64) (due []*pb.Booking) {
	for _, reservation := range stored.bookings {
		if s.valueCounts[reservation.Id] == 1 && s.isCurrent(reservation) &&
			booking.IsOver(reservation, endedBefore) &&
			reservation.EndedAt <= endedBefore {
			due = append(due, reservation)
		}
	}
	return due
}

// archiveFromPage returns a transaction that moves reservations from their page to an archive block: as many as
// belong to the block of the first one and fit it. If there is no keyArchive yet, the transaction only creates it.
func (s *Service) archiveFromPage(
	key string, due []*pb.Booking, compares []wire.Compare, maxValueBytes int,
) *wire.Txn {
	if s.archiveRevision == 0 {
		s.archiving = true
		return &wire.Txn{
			Compare: append(compares, wire.Compare{Key: keyArchive}),
			Then:    []wire.Write{{Put: keyArchive, Value: []byte("1")}},
		}
	}
	slices.SortFunc(due, compareIDs)
	block := s.cachedBlockFor(due[0].Id)
	if block == nil {
		s.requestBlock(due[0].Id, nil)
		return nil
	}
	due = slices.DeleteFunc(due, func(reservation *pb.Booking) bool { return reservation.Id >= block.high })
	for ; len(due) > 0; due = due[:len(due)/2] {
		if txn := s.moveToBlock(block, due, key, maxValueBytes); txn != nil {
			txn.Compare = append(txn.Compare, compares...)
			s.archiving = true
			return txn
		}
	}
	return nil
}

// moveToBlock returns the transaction that moves reservations from a page to a block. The block is split in two if
// it gets too large. If the reservations don't fit then either, moveToBlock returns nil.
func (s *Service) moveToBlock(block *archiveBlock, due []*pb.Booking, key string, maxValueBytes int) *wire.Txn {
	stored := s.pages[key]
	all := append(slices.Clone(block.bookings), due...)
	slices.SortFunc(all, compareIDs)
	txn := &wire.Txn{
		Compare: []wire.Compare{
			{Key: key, Revision: stored.revision},
			{Key: ArchivePrefix + block.high, Revision: block.revision},
		},
	}
	putBlock := func(low, high string, bookings []*pb.Booking) (fits bool) {
		raw, err := packMessage(&pb.Page{Bookings: bookings, Low: low, High: high}, nil)
		txn.Then = append(txn.Then, wire.Write{Put: ArchivePrefix + high, Value: raw})
		return err == nil && len(raw) <= maxValueBytes
	}
	if !putBlock(block.low, block.high, all) {
		txn.Then = nil
		half := len(all) / 2
		middle := all[half].Id
		if half == 0 || !putBlock(block.low, middle, all[:half]) || !putBlock(middle, block.high, all[half:]) {
			return nil
		}
		txn.Compare = append(txn.Compare, wire.Compare{Key: ArchivePrefix + middle})
	}
	remaining := slices.DeleteFunc(
		slices.Clone(stored.bookings),
		func(reservation *pb.Booking) bool { return slices.Contains(due, reservation) },
	)
	if len(remaining) == 0 {
		txn.Then = append(txn.Then, wire.Write{Delete: key})
		return txn
	}
	raw, err := encodePage(remaining, 0, nil)
	if err != nil {
		return nil
	}
	txn.Then = append(txn.Then, wire.Write{Put: key, Value: raw})
	return txn
}

// ArchiveDone ends a transaction of ArchiveTxn, whatever its outcome, once the replica shows the pages that it
// changed. The blocks that it wrote are dropped from the cache, because they must be read again.
func (s *Service) ArchiveDone(txn *wire.Txn) {
	s.archiving = false
	for _, write := range txn.Then {
		if high, ok := strings.CutPrefix(write.Put, ArchivePrefix); ok {
			s.cachedBlocks = slices.DeleteFunc(
				s.cachedBlocks,
				func(block *archiveBlock) bool { return block.low < high && high <= block.high },
			)
		}
	}
}

// InvalidateBlocks drops the cached blocks whose keys are among the given keys, whose compares failed.
func (s *Service) InvalidateBlocks(keys []string) {
	for _, key := range keys {
		if high, ok := strings.CutPrefix(key, ArchivePrefix); ok {
			s.cachedBlocks = slices.DeleteFunc(
				s.cachedBlocks,
				func(block *archiveBlock) bool { return block.high == high },
			)
		}
	}
}

// EvictArchived removes from memory the ended reservations that neither the head nor a page holds any more. It does
// so at most once in evictionInterval.
func (s *Service) EvictArchived(now time.Duration, endedBefore int64) {
	if s.inFlight != nil || now < s.nextEvictionAt {
		return
	}
	s.nextEvictionAt = now + evictionInterval
	if s.archiveRevision != 0 {
		s.schedule.Evict(func(reservation *pb.Booking) bool {
			return s.valueCounts[reservation.Id] == 0 && booking.IsOver(reservation, endedBefore)
		})
	}
}
