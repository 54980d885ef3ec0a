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
	// maxExpandedBytes bounds the expansion of a stored value, so that a damaged one can't exhaust memory.
	maxDecompressedBytes = 1 << 20

	// minPagesToMerge is the number of pages below which none are merged.
	minPagesToMerge = 4
)

// page is the replica of a stored page.
type page struct {
	revision uint64
	bookings []*pb.Booking
}

// storedValue is the stored form of the head, a page, a block or the equipment.
type storedValue struct {
	Data         []byte               `json:"p"`
	PendingAudit []audit.PendingEntry `json:"e,omitempty"`
}

// encodePage renders a head or a page.
func encodePage(bookings []*pb.Booking, change uint64, carried []audit.PendingEntry) (json.RawMessage, error) {
	return packMessage(&pb.Page{Change: change, Bookings: bookings}, carried)
}

// packMessage renders a message as a compressed value, deterministically.
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

// Decode reads a head, a page or a block, with the audit entries it carries.
func Decode(raw json.RawMessage) (*pb.Page, []audit.PendingEntry, error) {
	decoded := &pb.Page{}
	value, err := unpackMessage(raw, decoded)
	return decoded, value.PendingAudit, err
}

// unpackMessage is the reverse of packMessage.
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

// EncodeInventory renders equipment as a value.
func EncodeInventory(equipment *pb.Equipment) (json.RawMessage, error) {
	return packMessage(equipment, nil)
}

// DecodeInventory is the reverse of EncodeInventory.
func DecodeInventory(raw json.RawMessage, equipment *pb.Equipment) error {
	_, err := unpackMessage(raw, equipment)
	return err
}

// ApplyPut applies a watched key. It returns the audit entries that the head carries.
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

// applyInventory applies stored equipment. Equipment that can't be read leaves the previous in force; its
// revision is kept, so that it can be replaced.
func (s *Service) applyInventory(raw json.RawMessage, revision uint64) error {
	if revision <= s.inventoryRevision {
		return nil
	}
	var equipment pb.Equipment
	err := DecodeInventory(raw, &equipment)
	if err == nil {
		var inventory *booking.Inventory
		if inventory, err = booking.NewInventory(&equipment); err == nil {
			s.inventory = inventory
		}
	}
	s.inventoryRevision = revision
	return err
}

// applyPage applies a stored page.
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

// addToSchedule adds the reservations of a head or page to the schedule, which keeps the latest change of each.
func (s *Service) addToSchedule(stored *pb.Page) {
	for _, reservation := range stored.Bookings {
		s.schedule.Put(reservation)
	}
	s.schedule.ObserveChange(stored.Change)
}

// ApplyDelete applies the deletion of a page: its content that still counts is in other values.
func (s *Service) ApplyDelete(key string, revision uint64) {
	s.pagesRevision = max(s.pagesRevision, revision)
	s.updateValueCounts(s.pages[key].bookings, nil)
	delete(s.pages, key)
}

// updateValueCounts counts the stored values that hold each reservation, after a value changed.
func (s *Service) updateValueCounts(was, is []*pb.Booking) {
	for _, reservation := range is {
		s.valueCounts[reservation.Id]++
	}
	for _, reservation := range was {
		if s.valueCounts[reservation.Id]--; s.valueCounts[reservation.Id] == 0 {
			delete(s.valueCounts, reservation.Id)
		}
	}
}

// sortedPageKeys returns the keys of the pages in order of their last changes.
func (s *Service) sortedPageKeys() []string { return slices.Sorted(maps.Keys(s.pages)) }

// isCurrent reports whether a stored reservation is the latest change of it.
func (s *Service) isCurrent(reservation *pb.Booking) bool {
	return s.schedule.Get(reservation.Id).GetChange() == reservation.Change
}

// MergeTxn returns a transaction that merges pages, from the first one of which at most two thirds still
// count, or nil if none is due. It has at most maxOps writes. After its outcome, MergeDone must be called.
func (s *Service) MergeTxn(maxOps, maxValueBytes int) *wire.Txn {
	if s.merging || s.archiving || s.inFlight != nil || len(s.pages) < minPagesToMerge {
		return nil
	}
	txn := &wire.Txn{}
	var merged []*pb.Booking
	var mergedKey string // of the last merged page, which takes the content of all
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

// MergeDone ends a merge, whatever its outcome: the watch shows what it wrote.
func (s *Service) MergeDone() { s.merging = false }
