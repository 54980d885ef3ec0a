package booking

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/audit"
	ledger "dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

const begin = 1_700_000_040 // s; a whole minute

// store is what the state service does with conditions.
type store struct {
	keys   map[string]wire.KeyValue
	ledger uint64
}

func (s *store) commit(t *wire.Txn) (int, uint64) {
	for _, c := range t.Compare {
		if s.keys[c.Key].Revision != c.Revision {
			return 409, 0
		}
	}
	s.ledger++
	for _, w := range t.Then {
		if w.Delete != "" {
			delete(s.keys, w.Delete)
			continue
		}
		s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.ledger}
	}
	return 200, s.ledger
}

func (s *store) show(t *testing.T, d *Desk) {
	t.Helper()
	for k, it := range s.keys {
		if _, err := d.Put(k, it.Value, it.Revision); err != nil {
			t.Fatal(err)
		}
	}
}

func env(now time.Duration) Env {
	return Env{Now: now, UnixS: begin + int64(now.Seconds()), ValueBytes: 8192, Conds: 48,
		May:   func(*Ask, string, []string) ([]wire.Compare, string) { return nil, "" },
		Carry: func(uint64, []audit.Carried, []*Ask, []*pb.Booking) []audit.Carried { return nil }}
}

func newStore(t *testing.T) *store {
	t.Helper()
	site, err := ledger.Parse([]byte(`pieces { name: "k" kind: "kiln" slot_minutes: 1 }`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := EncodeList(site.Source())
	if err != nil {
		t.Fatal(err)
	}
	s := &store{keys: map[string]wire.KeyValue{}}
	s.commit(&wire.Txn{Then: []wire.Write{{Put: KeyList, Value: raw}}})
	return s
}

func ask(id string, minute int) *Ask {
	return &Ask{Wish: ledger.Wish{ID: id}, Wants: []wire.SlotRequest{{Equipment: "k", From: time.Unix(begin+int64(60*minute), 0).UTC().Format(time.RFC3339)}}, Until: time.Hour}
}

func outcomes(t *testing.T, list []Answer, want ...ledger.Outcome) {
	t.Helper()
	got := make([]ledger.Outcome, 0, len(list))
	for _, a := range list {
		got = append(got, a.Outcome)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// A write whose outcome is not known was made, and is found when it is repeated; one that is executed late, after another controller
// has written, is not.
func TestOutcomesThatAreNotKnown(t *testing.T) {
	for _, executed := range []string{"at once", "late", "after another's"} {
		s := newStore(t)
		a, b := New(), New()
		s.show(t, a)
		s.show(t, b)
		a.Ask(ask("x", 100))
		first := a.Step(env(0))
		if executed == "at once" {
			s.commit(first)
		}
		if out, read := a.Outcome(0, 0); out != nil || !read || a.Due(time.Hour, 0) {
			t.Fatal("it must read before it decides again")
		}
		a.Read()
		s.show(t, a)
		b.Ask(ask("y", 100))
		s.show(t, b)
		t2 := b.Step(env(0))
		status, mark := s.commit(t2)
		out, _ := b.Outcome(status, mark)
		switch executed {
		case "at once":
			outcomes(t, out, ledger.Refused)
		default:
			outcomes(t, out, ledger.Done)
		}
		second := a.Step(env(time.Second)) // a has not seen what b did
		if executed == "late" && status == 200 {
			if late, _ := s.commit(first); late != 409 {
				t.Error("a late write was executed after another's")
			}
		}
		status, mark = s.commit(second)
		out, read := a.Outcome(status, mark)
		if executed == "at once" {
			outcomes(t, out, ledger.Again)
			continue
		}
		if !read {
			t.Fatal("it was overtaken, and goes on as if it were not")
		}
		a.Read()
		s.show(t, a)
		status, mark = s.commit(a.Step(env(2 * time.Second)))
		out, _ = a.Outcome(status, mark)
		outcomes(t, out, ledger.Refused)
	}
}

// What comes from the state service while a write is on its way is true, whether the write is in it or not.
func TestNewsDuringAWrite(t *testing.T) {
	s := newStore(t)
	d := New()
	s.show(t, d)
	d.Ask(ask("x", 100))
	status, mark := s.commit(d.Step(env(0)))
	s.show(t, d) // its own write comes before its answer
	d.View(func(l *ledger.Ledger) {
		if l.Get("x") == nil {
			t.Error("what was stored is not seen")
		}
	})
	out, _ := d.Outcome(status, mark)
	outcomes(t, out, ledger.Done)

	d.Ask(ask("z", 101))
	_ = d.Step(env(time.Second))
	d.View(func(l *ledger.Ledger) {
		if l.Get("z") != nil {
			t.Error("what is not stored yet is shown")
		}
	})
	other := New()
	s.show(t, other)
	other.Ask(ask("y", 101))
	s.commit(other.Step(env(0)))
	s.show(t, d) // another was quicker
	if out, read := d.Outcome(409, 0); out != nil || !read {
		t.Fatal("overtaken")
	}
	d.Read()
	status, mark = s.commit(d.Step(env(2 * time.Second)))
	out, _ = d.Outcome(status, mark)
	outcomes(t, out, ledger.Refused)
}

// Bookings that come together share changes, also over the years: full heads become pages, and pages of which little counts any more
// become fewer. At last a controller that reads all of it knows the same.
func TestChangesAreFew(t *testing.T) {
	s := newStore(t)
	d := New()
	s.show(t, d)
	changes, now := 0, time.Duration(0)
	step := func() {
		if tx := d.Step(env(now)); tx != nil {
			status, mark := s.commit(tx)
			for _, w := range tx.Then {
				if len(w.Value) > 8192 {
					t.Fatalf("a value of %d bytes", len(w.Value))
				}
			}
			changes += len(tx.Then)
			out, _ := d.Outcome(status, mark)
			for _, a := range out {
				if a.Outcome != ledger.Done {
					t.Fatal(a)
				}
			}
		}
		now += gather
	}
	const bookings = 3000
	for i := range bookings { // fifty a second
		d.Ask(ask(fmt.Sprintf("booking-%05d", i), 1000+i))
		if i%12 == 11 {
			step()
		}
	}
	step()
	if perBooking := float64(changes) / bookings; perBooking > 0.11 {
		t.Errorf("%.3f changes a booking", perBooking)
	}
	for i := range bookings * 9 / 10 {
		d.Ask(&Ask{Wish: ledger.Wish{Verb: ledger.End, ID: fmt.Sprintf("booking-%05d", i)}, Until: time.Hour})
		if i%12 == 11 {
			step()
		}
	}
	step()
	_, before := d.Counts()
	for {
		tx := d.Merge(6, 8192)
		if tx == nil {
			break
		}
		if status, _ := s.commit(tx); status != 200 {
			t.Fatal("a merge was refused")
		}
		for _, w := range tx.Then {
			d.Drop(w.Delete, s.ledger)
		}
		s.show(t, d)
		d.Merged()
	}
	if _, after := d.Counts(); after*3 > before*2 {
		t.Errorf("%d pages became %d", before, after)
	}
	other := New()
	s.show(t, other)
	other.View(func(l *ledger.Ledger) {
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

// read serves the reads of blocks.
func (s *store) read(t *testing.T, d *Desk) {
	t.Helper()
	for _, id := range d.Reads() {
		var it *wire.KeyValue
		for k, x := range s.keys {
			if strings.HasPrefix(k, PastPrefix) && k > PastPrefix+id && (it == nil || k < it.Key) {
				it = &x
			}
		}
		if err := d.Found(id, it, s.ledger, true); err != nil {
			t.Fatal(err)
		}
	}
}

// Bookings that are over leave memory and what a start reads, in blocks that split as they fill; their ids are taken for ever.
func TestPastBookingsLeave(t *testing.T) {
	s := newStore(t)
	d := New()
	s.show(t, d)
	now := time.Duration(0)
	step := func(d *Desk) []Answer {
		now += gather
		for range 2 {
			s.read(t, d)
			if tx := d.Step(env(now)); tx != nil {
				status, mark := s.commit(tx)
				out, _ := d.Outcome(status, mark)
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
		d.Ask(ask(id(i), 100_000+i))
		d.Ask(&Ask{Wish: ledger.Wish{Verb: ledger.End, ID: id(i)}, Until: time.Hour})
		if i%20 == 19 {
			step(d)
		}
	}
	d.Ask(ask("live", 900_000))
	step(d)
	moves := 0
	for range 4 * bookings {
		tx := d.Move(nil, begin+int64(now.Seconds())+1, 2048)
		if tx == nil {
			if len(d.reads) == 0 {
				break
			}
			s.read(t, d)
			continue
		}
		if status, _ := s.commit(tx); status != 200 || len(tx.Then) > 3 {
			t.Fatalf("status %d, %d changes", status, len(tx.Then))
		}
		moves++
		for _, w := range tx.Then {
			if len(w.Value) > 2048 && strings.HasPrefix(w.Put, PastPrefix) {
				t.Fatalf("a block of %d bytes", len(w.Value))
			}
			if w.Delete != "" {
				d.Drop(w.Delete, s.ledger)
			}
		}
		s.show(t, d)
		d.Moved(tx)
	}
	d.Forget(now+time.Hour, begin+int64(now.Seconds())+1)
	other := New()
	s.show(t, other)
	for _, d := range []*Desk{d, other} {
		if n, pages := d.Counts(); n > 150 || pages > 2 { // the head holds its last ones
			t.Errorf("%d bookings in memory, %d pages", n, pages)
		}
	}
	t.Logf("%d bookings in %d moves", bookings, moves)
	other.Ask(ask(id(3), 100_003))
	other.Ask(ask(id(4), 100_000))
	other.Ask(&Ask{Wish: ledger.Wish{Verb: ledger.End, ID: id(5)}, Until: time.Hour})
	other.Ask(&Ask{Wish: ledger.Wish{Verb: ledger.End, ID: "nobody"}, Until: time.Hour})
	outcomes(t, step(other), ledger.Again, ledger.Refused, ledger.Again, ledger.Unknown)
	// A new id is booked on condition of the block that lacks it.
	other.Ask(ask("b00001x", 900_001))
	s.read(t, other)
	if tx := other.Step(env(now + time.Hour)); tx != nil {
		t.Error("booked without a look at the block")
	}
	s.read(t, other)
	tx := other.Step(env(now + time.Hour))
	if !slices.ContainsFunc(tx.Compare, func(c wire.Compare) bool { return strings.HasPrefix(c.Key, PastPrefix) && c.Revision != 0 }) {
		t.Errorf("conditions %v", tx.Compare)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := encode([]*pb.Booking{{Id: "x", Change: 1, Slots: []*pb.Slot{{Piece: "k", Unit: 1, From: 60, To: 120, Clear: 120}}}}, 1, nil)
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
		if _, err := d.Put(KeyHead, json.RawMessage(raw), 1); err != nil {
			t.Fatal(err)
		}
		d.View(func(*ledger.Ledger) {})
	})
}
