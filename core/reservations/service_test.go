package reservations

import (
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pb "dewlift/proto"
)

const startUnixS = 1_700_000_040 // s; a whole minute

// fakeStore is what the state service does with conditions.
type fakeStore struct {
	keys     map[string]wire.KeyValue
	revision uint64
}

func (s *fakeStore) commit(t *wire.Txn) (wire.Status, uint64) {
	for _, c := range t.Compare {
		if s.keys[c.Key].Revision != c.Revision {
			return wire.StatusConflict, 0
		}
	}
	s.revision++
	for _, w := range t.Then {
		if w.Delete != "" {
			delete(s.keys, w.Delete)
			continue
		}
		s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.revision}
	}
	return wire.StatusOK, s.revision
}

func (s *fakeStore) replayTo(t *testing.T, d *Service) {
	t.Helper()
	for k, it := range s.keys {
		if _, err := d.ApplyPut(k, it.Value, it.Revision); err != nil {
			t.Fatal(err)
		}
	}
}

func env(now time.Duration) Env {
	return Env{
		Now: now, UnixS: startUnixS + int64(now.Seconds()), MaxValueBytes: 8192, MaxCompares: 48,
		Authorize:   func(*PendingRequest, string, []string) ([]wire.Compare, string) { return nil, "" },
		AttachAudit: func(uint64, []audit.PendingEntry, []*PendingRequest, []*pb.Booking) []audit.PendingEntry { return nil },
	}
}

func newStore(t *testing.T) *fakeStore {
	t.Helper()
	site, err := booking.Parse([]byte(`pieces { name: "k" kind: "kiln" slot_minutes: 1 }`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := EncodeInventory(site.Source())
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeStore{keys: map[string]wire.KeyValue{}}
	s.commit(&wire.Txn{Then: []wire.Write{{Put: KeyInventory, Value: raw}}})
	return s
}

func newRequest(id string, minute int) *PendingRequest {
	return &PendingRequest{
		Request: booking.Request{ID: id},
		Wants: []wire.SlotRequest{
			{Equipment: "k", From: time.Unix(startUnixS+int64(60*minute), 0).UTC().Format(time.RFC3339)},
		},
		Deadline: time.Hour,
	}
}

func expectOutcomes(t *testing.T, list []Response, want ...booking.Outcome) {
	t.Helper()
	got := make([]booking.Outcome, 0, len(list))
	for _, a := range list {
		got = append(got, a.Outcome)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// A write whose outcome is not known was made, and is found when it is repeated; one that is
// executed late, after another controller has written, is not.
func TestUnknownOutcomesAreResolved(t *testing.T) {
	for _, executed := range []string{"at once", "late", "after another's"} {
		s := newStore(t)
		a, b := New(), New()
		s.replayTo(t, a)
		s.replayTo(t, b)
		a.Enqueue(newRequest("x", 100))
		first := a.NextTxn(env(0))
		if executed == "at once" {
			s.commit(first)
		}
		if out, read := a.HandleOutcome(wire.StatusNoAnswer, 0); out != nil || !read || a.HasWork(time.Hour, 0) {
			t.Fatal("it must read before it decides again")
		}
		a.HeadRead()
		s.replayTo(t, a)
		b.Enqueue(newRequest("y", 100))
		s.replayTo(t, b)
		t2 := b.NextTxn(env(0))
		status, mark := s.commit(t2)
		out, _ := b.HandleOutcome(status, mark)
		switch executed {
		case "at once":
			expectOutcomes(t, out, booking.OutcomeRefused)
		default:
			expectOutcomes(t, out, booking.OutcomeDone)
		}
		second := a.NextTxn(env(time.Second)) // a has not seen what b did
		if executed == "late" && status == wire.StatusOK {
			if late, _ := s.commit(first); late != wire.StatusConflict {
				t.Error("a late write was executed after another's")
			}
		}
		status, mark = s.commit(second)
		out, read := a.HandleOutcome(status, mark)
		if executed == "at once" {
			expectOutcomes(t, out, booking.OutcomeRepeated)
			continue
		}
		if !read {
			t.Fatal("it was overtaken, and goes on as if it were not")
		}
		a.HeadRead()
		s.replayTo(t, a)
		status, mark = s.commit(a.NextTxn(env(2 * time.Second)))
		out, _ = a.HandleOutcome(status, mark)
		expectOutcomes(t, out, booking.OutcomeRefused)
	}
}

// What comes from the state service while a write is on its way is true, whether the write is in it or not.
func TestWatchEventsDuringAWrite(t *testing.T) {
	s := newStore(t)
	d := New()
	s.replayTo(t, d)
	d.Enqueue(newRequest("x", 100))
	status, mark := s.commit(d.NextTxn(env(0)))
	s.replayTo(t, d) // its own write comes before its answer
	d.ViewCommitted(func(l *booking.Schedule) {
		if l.Get("x") == nil {
			t.Error("what was stored is not seen")
		}
	})
	out, _ := d.HandleOutcome(status, mark)
	expectOutcomes(t, out, booking.OutcomeDone)

	d.Enqueue(newRequest("z", 101))
	_ = d.NextTxn(env(time.Second))
	d.ViewCommitted(func(l *booking.Schedule) {
		if l.Get("z") != nil {
			t.Error("what is not stored yet is shown")
		}
	})
	other := New()
	s.replayTo(t, other)
	other.Enqueue(newRequest("y", 101))
	s.commit(other.NextTxn(env(0)))
	s.replayTo(t, d) // another was quicker
	if out, read := d.HandleOutcome(wire.StatusConflict, 0); out != nil || !read {
		t.Fatal("overtaken")
	}
	d.HeadRead()
	status, mark = s.commit(d.NextTxn(env(2 * time.Second)))
	out, _ = d.HandleOutcome(status, mark)
	expectOutcomes(t, out, booking.OutcomeRefused)
}

// Bookings that come together share changes, also over the years: full heads become pages, and
// pages of which little counts any more become fewer. At last a controller that reads all of it
// knows the same.
func TestChangesAreFew(t *testing.T) {
	s := newStore(t)
	d := New()
	s.replayTo(t, d)
	changes, now := 0, time.Duration(0)
	step := func() {
		if tx := d.NextTxn(env(now)); tx != nil {
			status, mark := s.commit(tx)
			for _, w := range tx.Then {
				if len(w.Value) > 8192 {
					t.Fatalf("a value of %d bytes", len(w.Value))
				}
			}
			changes += len(tx.Then)
			out, _ := d.HandleOutcome(status, mark)
			for _, a := range out {
				if a.Outcome != booking.OutcomeDone {
					t.Fatal(a)
				}
			}
		}
		now += batchInterval
	}
	const bookings = 3000
	for i := range bookings { // fifty a second
		d.Enqueue(newRequest(fmt.Sprintf("booking-%05d", i), 1000+i))
		if i%12 == 11 {
			step()
		}
	}
	step()
	if perBooking := float64(changes) / bookings; perBooking > 0.11 {
		t.Errorf("%.3f changes a booking", perBooking)
	}
	for i := range bookings * 9 / 10 {
		d.Enqueue(
			&PendingRequest{
				Request:  booking.Request{Verb: booking.VerbEnd, ID: fmt.Sprintf("booking-%05d", i)},
				Deadline: time.Hour,
			},
		)
		if i%12 == 11 {
			step()
		}
	}
	step()
	_, before := d.Counts()
	for {
		tx := d.MergeTxn(6, 8192)
		if tx == nil {
			break
		}
		if status, _ := s.commit(tx); status != wire.StatusOK {
			t.Fatal("a merge was refused")
		}
		for _, w := range tx.Then {
			d.ApplyDelete(w.Delete, s.revision)
		}
		s.replayTo(t, d)
		d.MergeDone()
	}
	if _, after := d.Counts(); after*3 > before*2 {
		t.Errorf("%d pages became %d", before, after)
	}
	other := New()
	s.replayTo(t, other)
	other.ViewCommitted(func(l *booking.Schedule) {
		for i := range bookings {
			want := pb.BookingState_ended
			if i >= bookings*9/10 {
				want = pb.BookingState_confirmed
			}
			if b := l.Get(fmt.Sprintf("booking-%05d", i)); b.GetState() != want {
				t.Fatalf("%d is %v", i, b)
			}
		}
	})
}

// serveBlockReads serves the reads of blocks.
func (s *fakeStore) serveBlockReads(t *testing.T, d *Service) {
	t.Helper()
	for _, id := range d.TakeBlocksToRead() {
		var it *wire.KeyValue
		for k, x := range s.keys {
			if strings.HasPrefix(k, ArchivePrefix) && k > ArchivePrefix+id && (it == nil || k < it.Key) {
				it = &x
			}
		}
		if err := d.HandleBlock(id, it, s.revision, true); err != nil {
			t.Fatal(err)
		}
	}
}

// Bookings that are over leave memory and what a start reads, in blocks that split as they fill;
// their ids are taken for ever.
func TestPastBookingsLeave(t *testing.T) {
	s := newStore(t)
	d := New()
	s.replayTo(t, d)
	now := time.Duration(0)
	step := func(d *Service) []Response {
		now += batchInterval
		for range 2 {
			s.serveBlockReads(t, d)
			if tx := d.NextTxn(env(now)); tx != nil {
				status, mark := s.commit(tx)
				out, _ := d.HandleOutcome(status, mark)
				if out != nil {
					return out
				}
			}
		}
		return nil
	}
	const bookings = 2000
	id := func(i int) string { return fmt.Sprintf("b%05d", i*7919%bookings) }
	for i := range bookings {
		d.Enqueue(newRequest(id(i), 100_000+i))
		d.Enqueue(&PendingRequest{Request: booking.Request{Verb: booking.VerbEnd, ID: id(i)}, Deadline: time.Hour})
		if i%20 == 19 {
			step(d)
		}
	}
	d.Enqueue(newRequest("live", 900_000))
	step(d)
	moves := 0
	for range 4 * bookings {
		tx := d.ArchiveTxn(nil, startUnixS+int64(now.Seconds())+1, 2048)
		if tx == nil {
			if len(d.blocksToRead) == 0 {
				break
			}
			s.serveBlockReads(t, d)
			continue
		}
		if status, _ := s.commit(tx); status != wire.StatusOK || len(tx.Then) > 3 {
			t.Fatalf("status %d, %d changes", status, len(tx.Then))
		}
		moves++
		for _, w := range tx.Then {
			if len(w.Value) > 2048 && strings.HasPrefix(w.Put, ArchivePrefix) {
				t.Fatalf("a block of %d bytes", len(w.Value))
			}
			if w.Delete != "" {
				d.ApplyDelete(w.Delete, s.revision)
			}
		}
		s.replayTo(t, d)
		d.ArchiveDone(tx)
	}
	d.ForgetArchived(now+time.Hour, startUnixS+int64(now.Seconds())+1)
	other := New()
	s.replayTo(t, other)
	for _, d := range []*Service{d, other} {
		if n, pages := d.Counts(); n > 150 || pages > 2 { // the head holds its last ones
			t.Errorf("%d bookings in memory, %d pages", n, pages)
		}
	}
	t.Logf("%d bookings in %d moves", bookings, moves)
	other.Enqueue(newRequest(id(3), 100_003))
	other.Enqueue(newRequest(id(4), 100_000))
	other.Enqueue(&PendingRequest{Request: booking.Request{Verb: booking.VerbEnd, ID: id(5)}, Deadline: time.Hour})
	other.Enqueue(&PendingRequest{Request: booking.Request{Verb: booking.VerbEnd, ID: "nobody"}, Deadline: time.Hour})
	expectOutcomes(
		t,
		step(other),
		booking.OutcomeRepeated,
		booking.OutcomeRefused,
		booking.OutcomeRepeated,
		booking.OutcomeNotFound,
	)
	// A new id is booked on condition of the block that lacks it.
	other.Enqueue(newRequest("b00001x", 900_001))
	s.serveBlockReads(t, other)
	if tx := other.NextTxn(env(now + time.Hour)); tx != nil {
		t.Error("booked without a look at the block")
	}
	s.serveBlockReads(t, other)
	tx := other.NextTxn(env(now + time.Hour))
	if !slices.ContainsFunc(
		tx.Compare,
		func(c wire.Compare) bool { return strings.HasPrefix(c.Key, ArchivePrefix) && c.Revision != 0 },
	) {
		t.Errorf("conditions %v", tx.Compare)
	}
}

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
		d := New()
		if _, err := d.ApplyPut(KeyHead, json.RawMessage(raw), 1); err != nil {
			t.Fatal(err)
		}
		d.ViewCommitted(func(*booking.Schedule) {})
	})
}
