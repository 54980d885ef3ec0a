package reservations

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/audit"
	"dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

// startUnixS is the wall-clock time at the start of a test, in seconds. It is a whole minute.
const startUnixS = 1_700_000_040

// fakeStore is a key-value store with compare-and-swap transactions.
type fakeStore struct {
	keys     map[string]wire.KeyValue
	revision uint64
}

// commit commits a transaction if its compares hold, and returns the status and the revision.
func (s *fakeStore) commit(txn *wire.Txn) (wire.Status, uint64) {
	for _, compare := range txn.Compare {
		if s.keys[compare.Key].Revision != compare.Revision {
			return wire.StatusConflict, 0
		}
	}
	s.revision++
	for _, write := range txn.Then {
		if write.Delete != "" {
			delete(s.keys, write.Delete)
			continue
		}
		s.keys[write.Put] = wire.KeyValue{Key: write.Put, Value: write.Value, Revision: s.revision}
	}
	return wire.StatusOK, s.revision
}

// replayTo applies all keys to a service, as loading a snapshot and the watch do.
func (s *fakeStore) replayTo(t *testing.T, service *Service) {
	t.Helper()
	for key, item := range s.keys {
		if _, err := service.ApplyPut(key, item.Value, item.Revision); err != nil {
			t.Fatal(err)
		}
	}
}

// newEnv returns the environment at a time. It authorizes every request and audits nothing.
func newEnv(now time.Duration) Env {
	return Env{
		Now: now, UnixS: startUnixS + int64(now.Seconds()), MaxValueBytes: 8192, MaxCompares: 48,
		Authorize: func(*PendingRequest, string, []string) ([]wire.Compare, string) { return nil, "" },
		AttachAudit: func(uint64, []audit.PendingEntry, []*PendingRequest, []*pb.Booking) []audit.PendingEntry {
			return nil
		},
	}
}

// newStore returns a store with one item of equipment, the kiln k, which is reserved by the minute.
func newStore(t *testing.T) *fakeStore {
	t.Helper()
	inventory, err := booking.Parse([]byte(`pieces { name: "k" kind: "kiln" slot_minutes: 1 }`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := EncodeInventory(inventory.Source())
	if err != nil {
		t.Fatal(err)
	}
	store := &fakeStore{keys: map[string]wire.KeyValue{}}
	store.commit(&wire.Txn{Then: []wire.Write{{Put: KeyInventory, Value: raw}}})
	return store
}

// newRequest returns a request to reserve the kiln for one minute that begins so many minutes after startUnixS.
func newRequest(id string, minute int) *PendingRequest {
	return &PendingRequest{
		Request: booking.Request{ID: id},
		Wants: []wire.SlotRequest{
			{Equipment: "k", From: time.Unix(startUnixS+int64(60*minute), 0).UTC().Format(time.RFC3339)},
		},
		Deadline: time.Hour,
	}
}

// newEndRequest returns a request to end a reservation.
func newEndRequest(id string) *PendingRequest {
	return &PendingRequest{Request: booking.Request{Verb: booking.VerbEnd, ID: id}, Deadline: time.Hour}
}

// expectOutcomes fails unless the responses have these outcomes, in order.
func expectOutcomes(t *testing.T, responses []Response, want ...booking.Outcome) {
	t.Helper()
	got := make([]booking.Outcome, 0, len(responses))
	for _, response := range responses {
		got = append(got, response.Outcome)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
}

// The requests of a transaction without a response are decided again: they must find their own reservations if the
// transaction was executed. If it is executed late, after another controller has committed, it must fail.
func TestUnknownOutcomesAreResolved(t *testing.T) {
	for _, executed := range []string{"at once", "late", "after another's"} {
		store := newStore(t)
		first, second := New(), New()
		store.replayTo(t, first)
		store.replayTo(t, second)
		first.Enqueue(newRequest("x", 100))
		unknown := first.NextTxn(newEnv(0))
		if executed == "at once" {
			store.commit(unknown)
		}
		out, mustRead := first.HandleOutcome(wire.StatusNoResponse, 0)
		if out != nil || !mustRead || first.HasWork(time.Hour, 0) {
			t.Fatal("the service does not wait for a read before it decides again")
		}
		first.HeadRead()
		store.replayTo(t, first)
		second.Enqueue(newRequest("y", 100))
		store.replayTo(t, second)
		status, revision := store.commit(second.NextTxn(newEnv(0)))
		out, _ = second.HandleOutcome(status, revision)
		switch executed {
		case "at once":
			expectOutcomes(t, out, booking.OutcomeRefused)
		default:
			expectOutcomes(t, out, booking.OutcomeDone)
		}
		repeated := first.NextTxn(newEnv(time.Second)) // decided without the change of the second controller
		if executed == "late" && status == wire.StatusOK {
			if late, _ := store.commit(unknown); late != wire.StatusConflict {
				t.Error("a late transaction was committed after that of another controller")
			}
		}
		status, revision = store.commit(repeated)
		out, mustRead = first.HandleOutcome(status, revision)
		if executed == "at once" {
			expectOutcomes(t, out, booking.OutcomeRepeated)
			continue
		}
		if !mustRead {
			t.Fatal("another controller committed first, and the service does not ask for a read of the head")
		}
		first.HeadRead()
		store.replayTo(t, first)
		status, revision = store.commit(first.NextTxn(newEnv(2 * time.Second)))
		out, _ = first.HandleOutcome(status, revision)
		expectOutcomes(t, out, booking.OutcomeRefused)
	}
}

// Watch events during a transaction must show the committed state, whether they include the transaction or not.
func TestWatchEventsDuringAWrite(t *testing.T) {
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	service.Enqueue(newRequest("x", 100))
	status, revision := store.commit(service.NextTxn(newEnv(0)))
	store.replayTo(t, service) // the watch shows the service's own write before the outcome
	service.ViewCommitted(func(schedule *booking.Schedule) {
		if schedule.Get("x") == nil {
			t.Error("a committed reservation is not shown")
		}
	})
	out, _ := service.HandleOutcome(status, revision)
	expectOutcomes(t, out, booking.OutcomeDone)

	service.Enqueue(newRequest("z", 101))
	_ = service.NextTxn(newEnv(time.Second))
	service.ViewCommitted(func(schedule *booking.Schedule) {
		if schedule.Get("z") != nil {
			t.Error("an uncommitted reservation is shown")
		}
	})
	other := New()
	store.replayTo(t, other)
	other.Enqueue(newRequest("y", 101))
	store.commit(other.NextTxn(newEnv(0)))
	store.replayTo(t, service) // another controller committed first
	if out, mustRead := service.HandleOutcome(wire.StatusConflict, 0); out != nil || !mustRead {
		t.Fatal("another controller committed first, and the service does not ask for a read of the head")
	}
	service.HeadRead()
	status, revision = store.commit(service.NextTxn(newEnv(2 * time.Second)))
	out, _ = service.HandleOutcome(status, revision)
	expectOutcomes(t, out, booking.OutcomeRefused)
}

// Concurrent reservations must share writes, and pages with few current reservations must be merged, so that stored
// pages don't pile up. A controller that reads all pages must get the same state.
func TestReservationsShareWrites(t *testing.T) {
	const maxValueBytes = 8192
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	writes, now := 0, time.Duration(0)
	step := func() {
		t.Helper()
		if txn := service.NextTxn(newEnv(now)); txn != nil {
			status, revision := store.commit(txn)
			for _, write := range txn.Then {
				if len(write.Value) > maxValueBytes {
					t.Fatalf("a value of %d bytes", len(write.Value))
				}
			}
			writes += len(txn.Then)
			out, _ := service.HandleOutcome(status, revision)
			for _, response := range out {
				if response.Outcome != booking.OutcomeDone {
					t.Fatal(response)
				}
			}
		}
		now += batchInterval
	}
	const bookings = 3000
	for i := range bookings { // 12 in each batch
		service.Enqueue(newRequest(fmt.Sprintf("booking-%05d", i), 1000+i))
		if i%12 == 11 {
			step()
		}
	}
	step()
	if perBooking := float64(writes) / bookings; perBooking > 0.11 {
		t.Errorf("%.3f writes for each reservation", perBooking)
	}
	for i := range bookings * 9 / 10 {
		service.Enqueue(newEndRequest(fmt.Sprintf("booking-%05d", i)))
		if i%12 == 11 {
			step()
		}
	}
	step()
	_, before := service.Counts()
	store.mergeAll(t, service, maxValueBytes)
	if _, after := service.Counts(); after*3 > before*2 {
		t.Errorf("%d pages were merged into %d", before, after)
	}
	other := New()
	store.replayTo(t, other)
	other.ViewCommitted(func(schedule *booking.Schedule) {
		for i := range bookings {
			want := pb.BookingState_ended
			if i >= bookings*9/10 {
				want = pb.BookingState_confirmed
			}
			if reservation := schedule.Get(fmt.Sprintf("booking-%05d", i)); reservation.GetState() != want {
				t.Fatalf("reservation %d is %v, want %v", i, reservation, want)
			}
		}
	})
}

// mergeAll merges pages until no merge is due.
func (s *fakeStore) mergeAll(t *testing.T, service *Service, maxValueBytes int) {
	t.Helper()
	for {
		txn := service.MergeTxn(6, maxValueBytes)
		if txn == nil {
			return
		}
		if status, _ := s.commit(txn); status != wire.StatusOK {
			t.Fatal("a merge transaction was not committed")
		}
		for _, write := range txn.Then {
			service.ApplyDelete(write.Delete, s.revision)
		}
		s.replayTo(t, service)
		service.MergeDone()
	}
}

// serveBlockReads performs the requested reads of archive blocks.
func (s *fakeStore) serveBlockReads(t *testing.T, service *Service) {
	t.Helper()
	for _, id := range service.TakeBlocksToRead() {
		var block *wire.KeyValue
		for key, item := range s.keys {
			if strings.HasPrefix(key, ArchivePrefix) && key > ArchivePrefix+id && (block == nil || key < block.Key) {
				block = &item
			}
		}
		if err := service.HandleBlock(id, block, s.revision, true); err != nil {
			t.Fatal(err)
		}
	}
}

// commitBatch serves block reads, commits a batch of a service and returns the responses.
func (s *fakeStore) commitBatch(t *testing.T, service *Service, now time.Duration) []Response {
	t.Helper()
	for range 2 { // the first attempt may only request blocks
		s.serveBlockReads(t, service)
		if txn := service.NextTxn(newEnv(now)); txn != nil {
			status, revision := s.commit(txn)
			if out, _ := service.HandleOutcome(status, revision); out != nil {
				return out
			}
		}
	}
	return nil
}

// archiveAll archives the reservations that ended before a time in at most limit steps. It returns the number of
// transactions.
func (s *fakeStore) archiveAll(t *testing.T, service *Service, endedBefore int64, limit int) (txnCount int) {
	t.Helper()
	const maxValueBytes = 2048
	for range limit {
		txn := service.ArchiveTxn(nil, endedBefore, maxValueBytes)
		if txn == nil {
			if len(service.blocksToRead) == 0 {
				break
			}
			s.serveBlockReads(t, service)
			continue
		}
		if status, _ := s.commit(txn); status != wire.StatusOK || len(txn.Then) > 3 {
			t.Fatalf("status %d, %d writes", status, len(txn.Then))
		}
		txnCount++
		for _, write := range txn.Then {
			if len(write.Value) > maxValueBytes && strings.HasPrefix(write.Put, ArchivePrefix) {
				t.Fatalf("a block of %d bytes", len(write.Value))
			}
			if write.Delete != "" {
				service.ApplyDelete(write.Delete, s.revision)
			}
		}
		s.replayTo(t, service)
		service.ArchiveDone(txn)
	}
	return txnCount
}

// Past reservations must be evicted from memory and moved from the keys that a controller reads at its start to
// archive blocks, which are split when they are full. Their IDs must never be used again.
func TestPastReservationsAreArchived(t *testing.T) {
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	now := time.Duration(0)
	step := func(service *Service) []Response {
		t.Helper()
		now += batchInterval
		return store.commitBatch(t, service, now)
	}
	const bookings = 2000
	id := func(i int) string { return fmt.Sprintf("b%05d", i*7919%bookings) }
	for i := range bookings {
		service.Enqueue(newRequest(id(i), 100_000+i))
		service.Enqueue(newEndRequest(id(i)))
		if i%20 == 19 {
			step(service)
		}
	}
	service.Enqueue(newRequest("live", 900_000))
	step(service)
	endedBefore := startUnixS + int64(now.Seconds()) + 1
	txnCount := store.archiveAll(t, service, endedBefore, 4*bookings)
	service.EvictArchived(now+time.Hour, endedBefore)
	other := New()
	store.replayTo(t, other)
	for _, service := range []*Service{service, other} {
		if n, pages := service.Counts(); n > 150 || pages > 2 { // the last reservations stay in the head
			t.Errorf("%d reservations in memory, %d pages", n, pages)
		}
	}
	t.Logf("%d reservations archived in %d transactions", bookings, txnCount)
	other.Enqueue(newRequest(id(3), 100_003))
	other.Enqueue(newRequest(id(4), 100_000))
	other.Enqueue(newEndRequest(id(5)))
	other.Enqueue(newEndRequest("nobody"))
	expectOutcomes(
		t,
		step(other),
		booking.OutcomeRepeated,
		booking.OutcomeRefused,
		booking.OutcomeRepeated,
		booking.OutcomeNotFound,
	)
	// The transaction of a new ID must compare the block that lacks it.
	other.Enqueue(newRequest("b00001x", 900_001))
	store.serveBlockReads(t, other)
	if txn := other.NextTxn(newEnv(now + time.Hour)); txn != nil {
		t.Error("decided before the block was read")
	}
	store.serveBlockReads(t, other)
	txn := other.NextTxn(newEnv(now + time.Hour))
	if !slices.ContainsFunc(txn.Compare, func(compare wire.Compare) bool {
		return strings.HasPrefix(compare.Key, ArchivePrefix) && compare.Revision != 0
	}) {
		t.Errorf("compares %v do not include the block", txn.Compare)
	}
}

// FuzzDecode checks that a damaged head is either an error or applied without a panic.
func FuzzDecode(f *testing.F) {
	raw, err := encodePage(
		[]*pb.Booking{{Id: "x", Change: 1, Slots: []*pb.Slot{{Piece: "k", Unit: 1, From: 60, To: 120, Clear: 120}}}},
		1,
		nil,
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(raw))
	f.Add([]byte(`{"p":""}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, _, err := Decode(raw); err != nil {
			return
		}
		service := New()
		if _, err := service.ApplyPut(KeyHead, json.RawMessage(raw), 1); err != nil {
			t.Fatal(err)
		}
		service.ViewCommitted(func(*booking.Schedule) {})
	})
}

// A reason that exceeds the limit must be truncated between characters: otherwise it is invalid UTF-8, which can't
// be stored, and the reservation can't be ended.
func TestLongReasonIsCutBetweenCharacters(t *testing.T) {
	store := newStore(t)
	service := New()
	store.replayTo(t, service)
	service.Enqueue(newRequest("x", 100))
	expectOutcomes(t, store.commitBatch(t, service, 0), booking.OutcomeDone)
	service.Enqueue(&PendingRequest{
		Request:  booking.Request{Verb: booking.VerbEnd, ID: "x", Reason: "a" + strings.Repeat("é", 150)},
		Deadline: time.Hour,
	})
	expectOutcomes(t, store.commitBatch(t, service, time.Second), booking.OutcomeDone)
}
