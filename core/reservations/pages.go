package reservations

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/audit"
	"dewlift/booking"
	"dewlift/internal/compress"
	pb "dewlift/proto"
	"dewlift/wire"
)

const (
	// maxDecompressedBytes bounds the decompressed size of a stored value, so that a damaged one can't exhaust
	// memory.
	maxDecompressedBytes = 1 << 20

	// minPagesToMerge is the number of pages below which none are merged.
	minPagesToMerge = 4
)

// page is the replica of a stored page.
type page struct {
	revision uint64
	bookings []*pb.Booking
}

// storedValue is the stored form of the head, a page, an archive block or the equipment.
type storedValue struct {
	Data         []byte               `json:"p"`
	PendingAudit []audit.PendingEntry `json:"e,omitempty"`
}

// encodePage encodes a head or a page.
func encodePage(bookings []*pb.Booking, change uint64, carried []audit.PendingEntry) (json.RawMessage, error) {
	return packMessage(&pb.Page{Change: change, Bookings: bookings}, carried)
}

// packMessage encodes a message as a compressed value. The encoding is deterministic.
func packMessage(message protobuf.Message, carried []audit.PendingEntry) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(message)
	if err == nil {
		raw, err = compress.Deflate(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("encode bookings: %w", err)
	}
	return json.Marshal(storedValue{raw, carried})
}

// Decode decodes a head, a page or an archive block, and the audit entries that it carries.
func Decode(raw json.RawMessage) (*pb.Page, []audit.PendingEntry, error) {
	decoded := &pb.Page{}
	value, err := unpackMessage(raw, decoded)
	return decoded, value.PendingAudit, err
}

// unpackMessage decodes a value that packMessage encoded.
func unpackMessage(raw json.RawMessage, message protobuf.Message) (value storedValue, err error) {
	if err = json.Unmarshal(raw, &value); err == nil {
		var plain []byte
		if plain, err = compress.Inflate(value.Data, maxDecompressedBytes); err == nil {
			err = protobuf.Unmarshal(plain, message)
		}
	}
	if err != nil {
		err = fmt.Errorf("decode bookings: %w", err)
	}
	return value, err
}

// EncodeInventory encodes an equipment list as a value.
func EncodeInventory(equipment *pb.Equipment) (json.RawMessage, error) {
	return packMessage(equipment, nil)
}

// DecodeInventory decodes a value that EncodeInventory encoded.
func DecodeInventory(raw json.RawMessage, equipment *pb.Equipment) error {
	_, err := unpackMessage(raw, equipment)
	return err
}

// ApplyPut updates the replica from a watched key. If the key is KeyHead, it returns the audit entries that the
// head carries.
func (s *Service) ApplyPut(key string, raw json.RawMessage, revision uint64) ([]audit.PendingEntry, error) {
	switch {
	case key == KeyInventory:
		return nil, s.applyInventory(raw, revision)
	case key == KeyHead:
		if revision <= s.headRevision {
			return s.pendingAudit, nil
		}
		head, carried, err := Decode(raw)
		s.rollBackInFlight()
		s.updateValueCounts(s.headBookings, head.Bookings)
		s.headRevision, s.pendingAudit, s.headBookings, s.needsHeadRead = revision, carried, head.Bookings, false
		s.addToSchedule(head)
		return carried, err
	case key == keyArchive:
		s.archiveRevision = max(s.archiveRevision, revision)
	case strings.HasPrefix(key, pagePrefix):
		return nil, s.applyPage(key, raw, revision)
	}
	return nil, nil
}

// applyInventory puts a stored equipment list in force. If the list can't be decoded, the previous one stays in
// force, but the new revision is remembered so that the list can be replaced. If only some items are invalid, these
// are out of use and the error names them.
func (s *Service) applyInventory(raw json.RawMessage, revision uint64) error {
	if revision <= s.inventoryRevision {
		return nil
	}
	var equipment pb.Equipment
	err := DecodeInventory(raw, &equipment)
	s.inventoryRevision = revision
	if err != nil {
		return err
	}
	inventory, invalid, err := booking.LoadInventory(&equipment)
	if err != nil {
		return err
	}
	s.inventory = inventory
	if len(invalid) > 0 {
		return fmt.Errorf("%d items are out of use, the first: %w", len(invalid), invalid[0])
	}
	return nil
}

// applyPage updates the replica of a page.
func (s *Service) applyPage(key string, raw json.RawMessage, revision uint64) error {
	if revision <= s.pages[key].revision {
		return nil
	}
	stored, _, err := Decode(raw)
	s.rollBackInFlight()
	if s.pages[key].revision != 0 {
		s.pagesRevision = max(s.pagesRevision, revision)
	}
	s.updateValueCounts(s.pages[key].bookings, stored.Bookings)
	s.pages[key] = page{revision, stored.Bookings}
	s.addToSchedule(stored)
	return err
}

// addToSchedule adds the reservations of a head or page to the schedule, which keeps only the latest change of
// each.
func (s *Service) addToSchedule(stored *pb.Page) {
	for _, reservation := range stored.Bookings {
		s.schedule.Put(reservation)
	}
	s.schedule.ObserveChange(stored.Change)
}

// ApplyDelete removes a deleted page from the replica. Its current reservations are in other values.
func (s *Service) ApplyDelete(key string, revision uint64) {
	s.pagesRevision = max(s.pagesRevision, revision)
	s.updateValueCounts(s.pages[key].bookings, nil)
	delete(s.pages, key)
}

// updateValueCounts updates the number of stored values that hold each reservation after a value changed.
func (s *Service) updateValueCounts(old, current []*pb.Booking) {
	for _, reservation := range current {
		s.valueCounts[reservation.Id]++
	}
	for _, reservation := range old {
		if s.valueCounts[reservation.Id]--; s.valueCounts[reservation.Id] == 0 {
			delete(s.valueCounts, reservation.Id)
		}
	}
}

// sortedPageKeys returns the keys of the pages, which sort by the last change in the page.
func (s *Service) sortedPageKeys() []string { return slices.Sorted(maps.Keys(s.pages)) }

// isCurrent reports whether a stored reservation is its latest change.
func (s *Service) isCurrent(reservation *pb.Booking) bool {
	return s.schedule.Get(reservation.Id).GetChange() == reservation.Change
}

// MergeTxn returns a transaction of at most maxOps writes that merges consecutive pages, or nil if no merge is due.
// The first of them is the first page of which at most two thirds of the reservations are current. After the
// outcome, the caller must call MergeDone.
func (s *Service) MergeTxn(maxOps, maxValueBytes int) *wire.Txn {
	if s.merging || s.archiving || s.inFlight != nil || len(s.pages) < minPagesToMerge {
		return nil
	}
	txn := &wire.Txn{}
	var merged []*pb.Booking
	var mergedKey string // key of the last merged page, which gets the content of all
	var mergedValue json.RawMessage
	for _, key := range s.sortedPageKeys() {
		stored := s.pages[key]
		current := slices.DeleteFunc(
			slices.Clone(stored.bookings),
			func(reservation *pb.Booking) bool { return !s.isCurrent(reservation) },
		)
		if 3*len(current) > 2*len(stored.bookings) && len(txn.Compare) == 0 {
			continue
		}
		all := append(slices.Clone(merged), current...)
		value, err := encodePage(all, 0, nil)
		if err != nil || len(value) > maxValueBytes || len(txn.Compare) == maxOps {
			break
		}
		merged, mergedKey, mergedValue = all, key, value
		txn.Compare = append(txn.Compare, wire.Compare{Key: key, Revision: stored.revision})
		txn.Then = append(txn.Then, wire.Write{Delete: key})
	}
	if len(txn.Compare) == 0 {
		return nil
	}
	if len(merged) > 0 {
		txn.Then[len(txn.Then)-1] = wire.Write{Put: mergedKey, Value: mergedValue}
	}
	s.merging = true
	return txn
}

// MergeDone ends a merge, whatever its outcome. The watch shows what it wrote.
func (s *Service) MergeDone() { s.merging = false }
