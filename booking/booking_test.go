package booking

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "dewlift/proto"
)

func site(t testing.TB, text string) *Site {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const workshop = `time_zone: "Europe/Zurich"
pieces { name: "k1" kind: "kiln" slot_minutes: 60 cool_minutes: 90 }
pieces { name: "k2" kind: "kiln" units: 2 slot_minutes: 60 hours { rule: "FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR" from: "08:00" to: "24:00" } closed: "2027-12-24" closed: "FREQ=YEARLY;BYMONTH=12;BYMONTHDAY=25,26" }
pieces { name: "r" kind: "roaster" slot_minutes: 30 cool_minutes: 10 teams: "packing" hours { from: "06:30" to: "20:00" } }`

func at(t testing.TB, s *Site, text string) int64 {
	t.Helper()
	v, err := s.Time(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Days have 23, 24 and 25 hours, and what is shown twice or never is told apart.
func TestClocksThatChange(t *testing.T) {
	s := site(t, workshop)
	for day, want := range map[string]int64{"2027-03-28": 23, "2027-03-29": 24, "2027-10-31": 25} {
		from, to, err := s.Day(day)
		if err != nil || (to-from)/3600 != want {
			t.Errorf("%s has %d hours, %v", day, (to-from)/3600, err)
		}
		o, ok := s.openOn(s.pieces["k1"], s.dayOf(from))
		if !ok || o != (span{from, to}) {
			t.Errorf("%s: open %v, day is %d to %d", day, o, from, to)
		}
	}
	if _, err := s.Time("2027-03-28T02:30"); err == nil || !strings.Contains(err.Error(), "never show") {
		t.Errorf("a time that no clock shows: %v", err)
	}
	first, second := at(t, s, "2027-10-31T02:30"), at(t, s, "2027-10-31T02:30+01:00")
	if second-first != 3600 || at(t, s, "2027-10-31T02:30+02:00") != first {
		t.Errorf("a time that clocks show twice: %d, %d", first, second)
	}
	// A firing through the night in which they change takes the hours that it takes.
	l := NewLedger()
	w := &Wish{ID: "a", Wants: []*pb.Want{{Piece: "k1", From: at(t, s, "2027-03-27T22:00"), Slots: 10}}}
	a := s.Decide(l.Draft(), 0, w)
	if a.Outcome != Done || s.Text(a.Booking.Slots[0].To) != "2027-03-28T09:00:00+02:00" {
		t.Errorf("%v", a)
	}
	// A series keeps the time that clocks show.
	list, err := s.Repeat(&pb.Want{Piece: "k1", From: at(t, s, "2027-03-23T08:00"), Slots: 1}, "FREQ=WEEKLY;COUNT=2")
	if err != nil || len(list) != 2 || s.Text(list[1].From) != "2027-03-30T08:00:00+02:00" {
		t.Errorf("%v, %v", list, err)
	}
	if _, err := s.Repeat(list[0], "FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30;COUNT=2"); err == nil {
		t.Error("a rule that names no day")
	}
}

// Any minute of any day comes at the time at which clocks show it, or at which they jump over it, and never before the one before.
func TestClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"Europe/Zurich", "Pacific/Fiji", "Australia/Lord_Howe", "America/St_Johns", "UTC"}).Draw(t, "zone")
		s, err := NewSite(&pb.Equipment{TimeZone: zone})
		if err != nil {
			t.Fatal(err)
		}
		day, minute := rapid.IntRange(7305, 40000).Draw(t, "day"), rapid.IntRange(1, 24*60).Draw(t, "minute")
		v := s.clock(day, minute)
		if before := s.clock(day, minute-1); v < before {
			t.Fatalf("minute %d is at %d, the one before at %d", minute, v, before)
		}
		local := time.Unix(v, 0).In(s.zone)
		want := time.Unix(int64(day)*86400+int64(minute)*60, 0).UTC().Format(clockFormat)
		if got := local.Format(clockFormat); got != want && got < want {
			t.Fatalf("%s shows %s", want, got)
		}
	})
}

func TestHours(t *testing.T) {
	s := site(t, workshop)
	for text, want := range map[string]string{
		"k2 2027-03-04T08:00 1":  "",
		"k2 2027-03-04T23:00 1":  "",
		"k2 2027-03-04T23:00 2":  "k2 closes at 2027-03-05T00:00:00+01:00",
		"k2 2027-03-04T07:00 1":  "k2 is closed at 2027-03-04T07:00:00+01:00",
		"k2 2027-03-04T08:30 1":  "slots of k2 are 60 minutes from 2027-03-04T08:00:00+01:00 on: the next begins at 2027-03-04T09:00:00+01:00",
		"k2 2027-03-06T09:00 1":  "k2 is closed at 2027-03-06T09:00:00+01:00", // a Saturday
		"k2 2027-12-24T09:00 1":  "k2 is closed at 2027-12-24T09:00:00+01:00",
		"k2 2030-12-25T09:00 1":  "k2 is closed at 2030-12-25T09:00:00+01:00",
		"k1 2027-03-04T23:00 72": "",
	} {
		f := strings.Fields(text)
		n := 0
		fmt.Sscan(f[2], &n)
		err := s.fits(s.pieces[f[0]], at(t, s, f[1]), n)
		if got := fmt.Sprint(err); got != want && !(err == nil && want == "") {
			t.Errorf("%s: %s", text, got)
		}
	}
}

func TestBadLists(t *testing.T) {
	for text, want := range map[string]string{
		`time_zone: "Mars"`: `time_zone: "Mars" is no time zone`,
		`pieces { name: "a b" kind: "k" slot_minutes: 1 }`:                                                      `pieces[0] (a b).name: "a b" is no name`,
		`pieces { name: "a" kind: "k" }`:                                                                        `pieces[0] (a).slot_minutes: 0, must be from 1 to 1440`,
		`pieces { name: "a" kind: "k" slot_minutes: 5 out: 2 }`:                                                 `pieces[0] (a).out: there is no unit 2`,
		`pieces { name: "a" kind: "k" slot_minutes: 5 hours { from: "9:0" to: "10:00" } }`:                      `pieces[0] (a).hours[0]: from "9:0" to "10:00" is no time of a day`,
		`pieces { name: "a" kind: "k" slot_minutes: 5 hours { rule: "FREQ=HOURLY" from: "9:00" to: "10:00" } }`: `pieces[0] (a).hours[0].rule: only rules of days are allowed, without count, interval, start or end`,
		`pieces { name: "a" kind: "k" slot_minutes: 5 closed: "soon" }`:                                         `pieces[0] (a).closed[0]: "soon" is neither a day, as 2027-12-24, nor a rule`,
		`pieces { name: "a" kind: "k" slot_minutes: 5 } pieces { name: "a" kind: "k" slot_minutes: 5 }`:         `pieces[1] (a).name: used twice`,
		`pieces { name: "a" kind: "k" slot_minutes: 5 cool_minutes: 99999 }`:                                    `pieces[0] (a).cool_minutes: 99999, at most 10080 are allowed`,
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// What was answered, by the words that its user reads.
func TestAnswers(t *testing.T) {
	s, l := site(t, workshop), NewLedger()
	d := l.Draft()
	want := func(piece, from string, slots uint32) []*pb.Want {
		return []*pb.Want{{Piece: piece, From: at(t, s, from), Slots: slots}}
	}
	now := at(t, s, "2027-03-01T00:00")
	steps := []struct {
		w    Wish
		want string
	}{
		{Wish{ID: "a", Wants: want("k1", "2027-03-04T08:00", 4)}, "0 confirmed"},
		{Wish{ID: "a", Wants: want("k1", "2027-03-04T08:00", 4)}, "1 confirmed"},
		{Wish{ID: "a", Wants: want("k1", "2027-03-04T09:00", 4)}, "2 confirmed a is the id of another booking"},
		{Wish{ID: "b", Wants: want("k1", "2027-03-04T13:00", 1)}, "2 none k1 is taken at 2027-03-04T13:00:00+01:00, until 2027-03-04T13:30:00+01:00 [14 15 16]"}, // it still cools
		{Wish{ID: "b", Wants: want("k1", "2027-03-04T14:00", 1), HoldS: 600}, "0 held"},
		{Wish{ID: "c", Team: "x", Wants: want("r", "2027-03-04T14:00", 1)}, "3 none team x may not book r"},
		{Wish{ID: "c", Wants: want("k9", "2027-03-04T14:00", 1)}, "3 none there is no k9"},
		{Wish{ID: "c", Wants: want("k1", "2027-02-04T14:00", 1)}, "3 none 2027-02-04T14:00:00+01:00 is past"},
		{Wish{ID: "w", Wants: want("k1", "2027-03-04T14:00", 1), Wait: true}, "0 waiting"},
		{Wish{Verb: Move, ID: "a", Wants: want("k1", "2027-03-04T09:00", 4)}, "2 confirmed k1 is taken at 2027-03-04T09:00:00+01:00, until 2027-03-04T16:30:00+01:00 [17 18 19]"},
		{Wish{Verb: Confirm, ID: "w"}, "2 waiting w waits for its slots"},
		{Wish{Verb: Move, ID: "b", Wants: want("k1", "2027-03-05T14:00", 1)}, "0 held"},
		{Wish{Verb: Confirm, ID: "w"}, "1 confirmed"}, // it got what b left
		{Wish{Verb: Confirm, ID: "b"}, "0 confirmed"},
		{Wish{Verb: End, ID: "b", Why: "cracked"}, "0 ended"},
		{Wish{Verb: End, ID: "b", Why: "again"}, "1 ended"},
		{Wish{Verb: Move, ID: "b", Wants: want("k1", "2027-03-05T14:00", 1)}, "2 ended b has ended: cracked"},
		{Wish{Verb: End, ID: "z"}, "4 none there is no booking z"},
		{Wish{ID: "all", Wants: append(want("k1", "2027-03-08T14:00", 1), want("k1", "2027-03-04T09:00", 1)...)}, "2 none k1 is taken at 2027-03-04T09:00:00+01:00, until 2027-03-04T13:30:00+01:00 [17 18 19]"},
		{Wish{ID: "two", Wants: append(want("k1", "2027-03-09T14:00", 1), want("k1", "2027-03-09T15:00", 1)...)}, "2 none"}, // itself in the way: it cools
	}
	for i, x := range steps {
		a := s.Decide(d, now, &x.w)
		got := fmt.Sprintf("%d none", a.Outcome)
		if a.Booking != nil {
			got = fmt.Sprintf("%d %s", a.Outcome, a.Booking.State)
		}
		if a.Why != "" {
			got += " " + a.Why
		}
		var free []string
		for _, f := range a.Free {
			free = append(free, s.Text(f.From)[11:13])
		}
		if free != nil {
			got += fmt.Sprint(" ", free)
		}
		if got != x.want && !strings.HasPrefix(got, x.want+" ") {
			t.Errorf("step %d: %s, want %s", i, got, x.want)
		}
	}
	// What a new list has no place for is told first.
	less := site(t, strings.ReplaceAll(workshop, `"kiln" slot_minutes: 60 cool_minutes: 90`, `"kiln" slot_minutes: 60 out: 1`))
	a := s.Decide(d, now, &Wish{Verb: Equip, Replace: less})
	if a.Outcome != Refused || len(a.Displaced) != 2 || l.Get("a").State != pb.BookingState_confirmed {
		t.Errorf("%v", a)
	}
	if a = s.Decide(d, now, &Wish{Verb: Equip, Replace: less, EndThem: true}); a.Outcome != Bad {
		t.Errorf("without a reason: %v", a)
	}
	if a = s.Decide(d, now, &Wish{Verb: Equip, Replace: less, EndThem: true, Why: "relined"}); a.Outcome != Done || l.Get("a").Why != "relined" {
		t.Errorf("%v", a)
	}
	list, ok := l.Day(s, "k1", at(t, s, "2027-03-04T00:00"), at(t, s, "2027-03-05T00:00"))
	if !ok || len(list) != 0 {
		t.Errorf("%v", list)
	}
}

// brute tells by looking at every pair whether a slot is free.
func brute(l *Ledger, p *piece, n uint32, from, clear int64, but string) bool {
	for _, b := range l.byID {
		if b.Id == but || b.State != pb.BookingState_held && b.State != pb.BookingState_confirmed {
			continue
		}
		for _, x := range b.Slots {
			if x.Piece == p.Name && x.Unit == n && x.From < clear && from < x.Clear {
				return false
			}
		}
	}
	return true
}

// Whatever is wished in whatever order: no unit is had twice, what waits could not be had, free times are free and none before them is,
// and a draft that is undone leaves no trace.
func TestLedgerHoldsItsRules(t *testing.T) {
	base := site(t, workshop)
	start := at(t, base, "2027-03-04T00:00")
	rapid.Check(t, func(t *rapid.T) {
		s, l, now := base, NewLedger(), start-86400
		want := func(label string) (out []*pb.Want) {
			for range rapid.IntRange(1, 2).Draw(t, label) {
				w := &pb.Want{From: start + 3600*rapid.Int64Range(8, 16).Draw(t, "hour"), Slots: rapid.Uint32Range(1, 3).Draw(t, "slots")}
				if w.Kind = rapid.SampledFrom([]string{"", "kiln"}).Draw(t, "kind"); w.Kind == "" {
					w.Piece = rapid.SampledFrom([]string{"k1", "k2", "r"}).Draw(t, "piece")
				}
				out = append(out, w)
			}
			return out
		}
		for range rapid.IntRange(1, 25).Draw(t, "batches") {
			now += rapid.Int64Range(0, 40).Draw(t, "time")
			before := maps.Clone(l.byID)
			d := l.Draft()
			s.Advance(d, now)
			for range rapid.IntRange(1, 3).Draw(t, "wishes") {
				w := &Wish{Verb: rapid.SampledFrom([]Verb{Make, Make, Make, Confirm, Move, End}).Draw(t, "verb"), Team: "packing",
					ID: fmt.Sprint("b", rapid.IntRange(0, 25).Draw(t, "id")), Wants: want("wants"), Wait: rapid.Bool().Draw(t, "wait"),
					HoldS: rapid.SampledFrom([]uint32{0, 30}).Draw(t, "hold"), Rank: rapid.Uint32Range(0, 2).Draw(t, "rank")}
				s.Decide(d, now, w)
			}
			if rapid.IntRange(0, 3).Draw(t, "undo") == 0 {
				changed := d.Bookings
				d.Undo()
				if !maps.Equal(l.byID, before) {
					t.Fatal("an undone draft is not forgotten")
				}
				for _, b := range changed {
					if l.byID[b.Id] == b {
						t.Fatal("it is still there")
					}
				}
			}
			uses := 0
			for _, id := range slices.Sorted(maps.Keys(l.byID)) {
				b := l.byID[id]
				if b.State == pb.BookingState_held || b.State == pb.BookingState_confirmed {
					for _, x := range b.Slots {
						uses++
						if !brute(l, s.pieces[x.Piece], x.Unit, x.From, x.Clear, id) {
							t.Fatalf("%v is not alone", b)
						}
					}
				}
				if b.State == pb.BookingState_waiting {
					if slots, _, err := s.find(l, id, b.Team, b.Wants); err == nil {
						t.Fatalf("%v could have %v", b, slots)
					}
				}
			}
			for _, list := range l.taken {
				uses -= len(list)
			}
			if uses != 0 {
				t.Fatalf("the index is off by %d", uses)
			}
		}
		w := want("free")[0]
		free := s.Next(l, "", "packing", w, start, 0, 1)
		for _, p := range s.candidates(w) {
			o, _ := s.openOn(p, s.dayOf(start))
			for from := o.from; from < o.to; from += p.slot {
				to := from + int64(w.Slots)*p.slot
				for n := uint32(1); int(n) <= p.units; n++ {
					if s.fits(p, from, int(w.Slots)) == nil && brute(l, p, n, from, to+p.cool, "") && from < free[0].From {
						t.Fatalf("%s is free at %s, before %v", p.Name, s.Text(from), free)
					}
				}
			}
		}
	})
}

// A day of a piece that a hundred users want is decided in a time that does not grow with what else is booked.
func BenchmarkDecideInAFullLedger(b *testing.B) {
	s, l := site(b, workshop), NewLedger()
	d := l.Draft()
	now := at(b, s, "2027-03-01T00:00")
	for i := range 1_500 {
		s.Decide(d, now, &Wish{ID: fmt.Sprint("x", i), Wants: []*pb.Want{{Kind: "kiln", From: now + 3600*int64(i), Slots: 1}}})
	}
	w := Wish{ID: "n", Wants: []*pb.Want{{Piece: "k1", From: now + 3600*900, Slots: 1}}}
	for b.Loop() {
		a := s.Decide(l.Draft(), now, &w)
		if a.Outcome != Refused || len(a.Free) == 0 {
			b.Fatal(a)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(workshop)
	f.Add(`pieces { name: "a" kind: "k" slot_minutes: 5 hours { rule: "FREQ=YEARLY;BYEASTER=1" from: "0:00" to: "24:00" } }`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err != nil {
			return
		}
		if again, err := NewSite(protobuf.CloneOf(s.Source())); err != nil || !protobuf.Equal(again.Source(), s.Source()) {
			t.Fatal(err)
		}
		for _, p := range s.order {
			s.openOn(p, 20000)
		}
	})
}
