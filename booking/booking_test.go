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

func mustParse(t testing.TB, text string) *Inventory {
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

func mustParseTime(t testing.TB, s *Inventory, text string) int64 {
	t.Helper()
	v, err := s.ParseTime(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Days have 23, 24 and 25 hours, and what is shown twice or never is told apart.
func TestDaylightSavingChanges(t *testing.T) {
	s := mustParse(t, workshop)
	for day, want := range map[string]int64{"2027-03-28": 23, "2027-03-29": 24, "2027-10-31": 25} {
		from, to, err := s.ParseDay(day)
		if err != nil || (to-from)/3600 != want {
			t.Errorf("%s has %d hours, %v", day, (to-from)/3600, err)
		}
		o, ok := s.openingOn(s.itemsByName["k1"], s.dayOf(from))
		if !ok || o != (interval{from, to}) {
			t.Errorf("%s: open %v, day is %d to %d", day, o, from, to)
		}
	}
	if _, err := s.ParseTime("2027-03-28T02:30"); err == nil || !strings.Contains(err.Error(), "never show") {
		t.Errorf("a time that no clock shows: %v", err)
	}
	first, second := mustParseTime(t, s, "2027-10-31T02:30"), mustParseTime(t, s, "2027-10-31T02:30+01:00")
	if second-first != 3600 || mustParseTime(t, s, "2027-10-31T02:30+02:00") != first {
		t.Errorf("a time that clocks show twice: %d, %d", first, second)
	}
	// A firing through the night in which they change takes the hours that it takes.
	l := NewSchedule()
	w := &Request{ID: "a", Wants: []*pb.Want{{Piece: "k1", From: mustParseTime(t, s, "2027-03-27T22:00"), Slots: 10}}}
	a := s.Decide(l.NewDraft(), 0, w)
	if a.Outcome != OutcomeDone || s.FormatTime(a.Booking.Slots[0].To) != "2027-03-28T09:00:00+02:00" {
		t.Errorf("%v", a)
	}
	// A series keeps the time that clocks show.
	list, err := s.ExpandRecurrence(
		&pb.Want{Piece: "k1", From: mustParseTime(t, s, "2027-03-23T08:00"), Slots: 1},
		"FREQ=WEEKLY;COUNT=2",
	)
	if err != nil || len(list) != 2 || s.FormatTime(list[1].From) != "2027-03-30T08:00:00+02:00" {
		t.Errorf("%v, %v", list, err)
	}
	if _, err := s.ExpandRecurrence(list[0], "FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30;COUNT=2"); err == nil {
		t.Error("a rule that names no day")
	}
}

// Any minute of any day comes at the time at which clocks show it, or at which they jump over it,
// and never before the one before.
func TestTimeOnDay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{
			"Europe/Zurich",
			"Pacific/Fiji",
			"Australia/Lord_Howe",
			"America/St_Johns",
			"UTC",
		}).
			Draw(t, "zone")
		s, err := NewInventory(&pb.Equipment{TimeZone: zone})
		if err != nil {
			t.Fatal(err)
		}
		day, minute := rapid.IntRange(7305, 40000).Draw(t, "day"), rapid.IntRange(1, 24*60).Draw(t, "minute")
		v := s.timeOnDay(day, minute)
		if before := s.timeOnDay(day, minute-1); v < before {
			t.Fatalf("minute %d is at %d, the one before at %d", minute, v, before)
		}
		local := time.Unix(v, 0).In(s.location)
		want := time.Unix(int64(day)*86400+int64(minute)*60, 0).UTC().Format(clockFormat)
		if got := local.Format(clockFormat); got != want && got < want {
			t.Fatalf("%s shows %s", want, got)
		}
	})
}

func TestOpeningHours(t *testing.T) {
	s := mustParse(t, workshop)
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
		err := s.checkSlots(s.itemsByName[f[0]], mustParseTime(t, s, f[1]), n)
		if got := fmt.Sprint(err); got != want && !(err == nil && want == "") {
			t.Errorf("%s: %s", text, got)
		}
	}
}

func TestInvalidInventoriesAreNamed(t *testing.T) {
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
func TestDecisions(t *testing.T) {
	s, l := mustParse(t, workshop), NewSchedule()
	d := l.NewDraft()
	want := func(piece, from string, slots uint32) []*pb.Want {
		return []*pb.Want{{Piece: piece, From: mustParseTime(t, s, from), Slots: slots}}
	}
	now := mustParseTime(t, s, "2027-03-01T00:00")
	steps := []struct {
		w    Request
		want string
	}{
		{Request{ID: "a", Wants: want("k1", "2027-03-04T08:00", 4)}, "0 confirmed"},
		{Request{ID: "a", Wants: want("k1", "2027-03-04T08:00", 4)}, "1 confirmed"},
		{Request{ID: "a", Wants: want("k1", "2027-03-04T09:00", 4)}, "2 confirmed a is the id of another booking"},
		{
			Request{ID: "b", Wants: want("k1", "2027-03-04T13:00", 1)},
			"2 none k1 is taken at 2027-03-04T13:00:00+01:00, until 2027-03-04T13:30:00+01:00 [14 15 16]",
		}, // it still cools
		{Request{ID: "b", Wants: want("k1", "2027-03-04T14:00", 1), HoldSeconds: 600}, "0 held"},
		{Request{ID: "c", Team: "x", Wants: want("r", "2027-03-04T14:00", 1)}, "3 none team x may not book r"},
		{Request{ID: "c", Wants: want("k9", "2027-03-04T14:00", 1)}, "3 none there is no k9"},
		{Request{ID: "c", Wants: want("k1", "2027-02-04T14:00", 1)}, "3 none 2027-02-04T14:00:00+01:00 is past"},
		{Request{ID: "w", Wants: want("k1", "2027-03-04T14:00", 1), JoinWaitlist: true}, "0 waiting"},
		{
			Request{Verb: VerbMove, ID: "a", Wants: want("k1", "2027-03-04T09:00", 4)},
			"2 confirmed k1 is taken at 2027-03-04T09:00:00+01:00, until 2027-03-04T16:30:00+01:00 [17 18 19]",
		},
		{Request{Verb: VerbConfirm, ID: "w"}, "2 waiting w waits for its slots"},
		{Request{Verb: VerbMove, ID: "b", Wants: want("k1", "2027-03-05T14:00", 1)}, "0 held"},
		{Request{Verb: VerbConfirm, ID: "w"}, "1 confirmed"}, // it got what b left
		{Request{Verb: VerbConfirm, ID: "b"}, "0 confirmed"},
		{Request{Verb: VerbEnd, ID: "b", Reason: "cracked"}, "0 ended"},
		{Request{Verb: VerbEnd, ID: "b", Reason: "again"}, "1 ended"},
		{Request{Verb: VerbMove, ID: "b", Wants: want("k1", "2027-03-05T14:00", 1)}, "2 ended b has ended: cracked"},
		{Request{Verb: VerbEnd, ID: "z"}, "4 none there is no booking z"},
		{
			Request{
				ID:    "all",
				Wants: append(want("k1", "2027-03-08T14:00", 1), want("k1", "2027-03-04T09:00", 1)...),
			},
			"2 none k1 is taken at 2027-03-04T09:00:00+01:00, until 2027-03-04T13:30:00+01:00 [17 18 19]",
		},
		{
			Request{
				ID:    "two",
				Wants: append(want("k1", "2027-03-09T14:00", 1), want("k1", "2027-03-09T15:00", 1)...),
			},
			"2 none",
		}, // itself in the way: it cools
	}
	for i, x := range steps {
		a := s.Decide(d, now, &x.w)
		got := fmt.Sprintf("%d none", a.Outcome)
		if a.Booking != nil {
			got = fmt.Sprintf("%d %s", a.Outcome, a.Booking.State)
		}
		if a.Reason != "" {
			got += " " + a.Reason
		}
		var free []string
		for _, f := range a.Alternatives {
			free = append(free, s.FormatTime(f.From)[11:13])
		}
		if free != nil {
			got += fmt.Sprint(" ", free)
		}
		if got != x.want && !strings.HasPrefix(got, x.want+" ") {
			t.Errorf("step %d: %s, want %s", i, got, x.want)
		}
	}
	// What a new list has no place for is told first.
	less := mustParse(
		t,
		strings.ReplaceAll(workshop, `"kiln" slot_minutes: 60 cool_minutes: 90`, `"kiln" slot_minutes: 60 out: 1`),
	)
	a := s.Decide(d, now, &Request{Verb: VerbSetInventory, Replacement: less})
	if a.Outcome != OutcomeRefused || len(a.Displaced) != 2 || l.Get("a").State != pb.BookingState_confirmed {
		t.Errorf("%v", a)
	}
	if a = s.Decide(d, now, &Request{
		Verb:         VerbSetInventory,
		Replacement:  less,
		EndDisplaced: true,
	}); a.Outcome != OutcomeInvalid {
		t.Errorf("without a reason: %v", a)
	}
	if a = s.Decide(d, now, &Request{
		Verb:         VerbSetInventory,
		Replacement:  less,
		EndDisplaced: true,
		Reason:       "relined",
	}); a.Outcome != OutcomeDone ||
		l.Get("a").Why != "relined" {
		t.Errorf("%v", a)
	}
	list, ok := l.BookingsBetween(
		s,
		"k1",
		mustParseTime(t, s, "2027-03-04T00:00"),
		mustParseTime(t, s, "2027-03-05T00:00"),
	)
	if !ok || len(list) != 0 {
		t.Errorf("%v", list)
	}
}

// isFreeByBruteForce tells by looking at every pair whether a slot is free.
func isFreeByBruteForce(l *Schedule, p *equipmentItem, n uint32, from, clear int64, but string) bool {
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

// Whatever is wished in whatever order: no unit is had twice, what waits could not be had, free
// times are free and none before them is, and a draft that is undone leaves no trace.
func TestScheduleKeepsItsInvariants(t *testing.T) {
	base := mustParse(t, workshop)
	start := mustParseTime(t, base, "2027-03-04T00:00")
	rapid.Check(t, func(t *rapid.T) {
		s, l, now := base, NewSchedule(), start-86400
		want := func(label string) (out []*pb.Want) {
			for range rapid.IntRange(1, 2).Draw(t, label) {
				w := &pb.Want{
					From:  start + 3600*rapid.Int64Range(8, 16).Draw(t, "hour"),
					Slots: rapid.Uint32Range(1, 3).Draw(t, "slots"),
				}
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
			d := l.NewDraft()
			s.Advance(d, now)
			for range rapid.IntRange(1, 3).Draw(t, "wishes") {
				w := &Request{
					Verb: rapid.SampledFrom([]Verb{
						VerbCreate,
						VerbCreate,
						VerbCreate,
						VerbConfirm,
						VerbMove,
						VerbEnd,
					}).
						Draw(t, "verb"),
					Team: "packing",
					ID: fmt.Sprint(
						"b",
						rapid.IntRange(0, 25).Draw(t, "id"),
					), Wants: want("wants"), JoinWaitlist: rapid.Bool().Draw(t, "wait"),
					HoldSeconds: rapid.SampledFrom([]uint32{0, 30}).
						Draw(t, "hold"),
					WaitlistRank: rapid.Uint32Range(0, 2).Draw(t, "rank"),
				}
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
						if !isFreeByBruteForce(l, s.itemsByName[x.Piece], x.Unit, x.From, x.Clear, id) {
							t.Fatalf("%v is not alone", b)
						}
					}
				}
				if b.State == pb.BookingState_waiting {
					if slots, _, err := s.findUnits(l, id, b.Team, b.Wants); err == nil {
						t.Fatalf("%v could have %v", b, slots)
					}
				}
			}
			for _, list := range l.occupied {
				uses -= len(list)
			}
			if uses != 0 {
				t.Fatalf("the index is off by %d", uses)
			}
		}
		w := want("free")[0]
		free := s.NextFree(l, "", "packing", w, start, 0, 1)
		for _, p := range s.candidates(w) {
			o, _ := s.openingOn(p, s.dayOf(start))
			for from := o.from; from < o.to; from += p.slotSeconds {
				to := from + int64(w.Slots)*p.slotSeconds
				for n := uint32(1); int(n) <= p.unitCount; n++ {
					if s.checkSlots(p, from, int(w.Slots)) == nil &&
						isFreeByBruteForce(l, p, n, from, to+p.cooldownSeconds, "") &&
						from < free[0].From {
						t.Fatalf("%s is free at %s, before %v", p.Name, s.FormatTime(from), free)
					}
				}
			}
		}
	})
}

// A day of a piece that a hundred users want is decided in a time that does not grow with what else is booked.
func BenchmarkDecideInAFullLedger(b *testing.B) {
	s, l := mustParse(b, workshop), NewSchedule()
	d := l.NewDraft()
	now := mustParseTime(b, s, "2027-03-01T00:00")
	for i := range 1_500 {
		s.Decide(
			d,
			now,
			&Request{ID: fmt.Sprint("x", i), Wants: []*pb.Want{{Kind: "kiln", From: now + 3600*int64(i), Slots: 1}}},
		)
	}
	w := Request{ID: "n", Wants: []*pb.Want{{Piece: "k1", From: now + 3600*900, Slots: 1}}}
	for b.Loop() {
		a := s.Decide(l.NewDraft(), now, &w)
		if a.Outcome != OutcomeRefused || len(a.Alternatives) == 0 {
			b.Fatal(a)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(workshop)
	f.Add(
		`pieces { name: "a" kind: "k" slot_minutes: 5 hours { rule: "FREQ=YEARLY;BYEASTER=1" from: "0:00" to: "24:00" } }`,
	)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err != nil {
			return
		}
		if again, err := NewInventory(protobuf.CloneOf(s.Source())); err != nil ||
			!protobuf.Equal(again.Source(), s.Source()) {
			t.Fatal(err)
		}
		for _, p := range s.items {
			s.openingOn(p, 20000)
		}
	})
}
