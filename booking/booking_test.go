package booking

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "dewlift/proto"
)

// mustParse parses an equipment list, or fails the test.
func mustParse(t testing.TB, text string) *Inventory {
	t.Helper()
	inventory, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return inventory
}

// testEquipment is a list of equipment with and without opening hours, closed days, teams and cooldown.
const testEquipment = `time_zone: "Europe/Zurich"
pieces { name: "k1" kind: "kiln" slot_minutes: 60 cool_minutes: 90 }
pieces {
	name: "k2" kind: "kiln" units: 2 slot_minutes: 60
	hours { rule: "FREQ=WEEKLY;BYDAY=MO,TU,WE,TH,FR" from: "08:00" to: "24:00" }
	closed: "2027-12-24" closed: "FREQ=YEARLY;BYMONTH=12;BYMONTHDAY=25,26"
}
pieces {
	name: "r" kind: "roaster" slot_minutes: 30 cool_minutes: 10 teams: "packing"
	hours { from: "06:30" to: "20:00" }
}`

// mustParseTime parses a local time of the site, or fails the test.
func mustParseTime(t testing.TB, inventory *Inventory, text string) int64 {
	t.Helper()
	at, err := inventory.ParseTime(text)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// expandSeries expands a want by the text of a rule.
func expandSeries(inventory *Inventory, want *pb.Want, rule string) ([]*pb.Want, error) {
	series, err := ParseSeriesRule(rule)
	if err != nil {
		return nil, err
	}
	return inventory.ExpandSeries(want, series)
}

// Days of 23 and 25 hours must not shift reservations. A local time that is skipped must be an error, and the two
// occurrences of a repeated one must be told apart.
func TestDaylightSavingChanges(t *testing.T) {
	inventory := mustParse(t, testEquipment)
	for day, want := range map[string]int64{"2027-03-28": 23, "2027-03-29": 24, "2027-10-31": 25} {
		from, to, err := inventory.ParseDay(day)
		if err != nil || (to-from)/3600 != want {
			t.Errorf("%s has %d hours, %v", day, (to-from)/3600, err)
		}
		open, ok := inventory.openingOn(inventory.itemsByName["k1"], inventory.dayOf(from))
		if !ok || open != (interval{from, to}) {
			t.Errorf("%s: open %v, day is %d to %d", day, open, from, to)
		}
	}
	if _, err := inventory.ParseTime("2027-03-28T02:30"); err == nil || !strings.Contains(err.Error(), "never show") {
		t.Errorf("a skipped time: %v", err)
	}
	first, second := mustParseTime(t, inventory, "2027-10-31T02:30"), mustParseTime(
		t, inventory, "2027-10-31T02:30+01:00",
	)
	if second-first != 3600 || mustParseTime(t, inventory, "2027-10-31T02:30+02:00") != first {
		t.Errorf("a repeated time: %d, %d", first, second)
	}
	// A reservation across the change keeps its length.
	schedule := NewSchedule()
	request := &Request{
		ID:    "a",
		Wants: []*pb.Want{{Piece: "k1", From: mustParseTime(t, inventory, "2027-03-27T22:00"), Slots: 10}},
	}
	result := inventory.Decide(schedule.NewDraft(), 0, request)
	if result.Outcome != OutcomeDone ||
		inventory.FormatTime(result.Booking.Slots[0].To) != "2027-03-28T09:00:00+02:00" {
		t.Errorf("a reservation across the change: %v", result)
	}
	// A series keeps its local time of day.
	list, err := expandSeries(
		inventory,
		&pb.Want{Piece: "k1", From: mustParseTime(t, inventory, "2027-03-23T08:00"), Slots: 1},
		"FREQ=WEEKLY;COUNT=2",
	)
	if err != nil || len(list) != 2 || inventory.FormatTime(list[1].From) != "2027-03-30T08:00:00+02:00" {
		t.Errorf("a weekly series across the change: %v, %v", list, err)
	}
	if _, err := expandSeries(inventory, list[0], "FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30;COUNT=2"); err == nil {
		t.Error("a rule that matches no day is accepted")
	}
}

// Every minute of every day must map to the moment at which local clocks show it, or skip it, and never to a moment
// before that of the previous minute.
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
		inventory, err := NewInventory(&pb.Equipment{TimeZone: zone})
		if err != nil {
			t.Fatal(err)
		}
		day, minute := rapid.IntRange(7305, 40000).Draw(t, "day"), rapid.IntRange(1, 24*60).Draw(t, "minute")
		at := inventory.timeOnDay(day, minute)
		if before := inventory.timeOnDay(day, minute-1); at < before {
			t.Fatalf("minute %d is at %d, the previous one at %d", minute, at, before)
		}
		local := time.Unix(at, 0).In(inventory.location)
		want := time.Unix(int64(day)*86400+int64(minute)*60, 0).UTC().Format(clockFormat)
		if got := local.Format(clockFormat); got != want && got < want {
			t.Fatalf("%s shows %s", want, got)
		}
	})
}

// A reservation outside of opening hours or off the slot grid must be refused with the right reason.
func TestOpeningHours(t *testing.T) {
	inventory := mustParse(t, testEquipment)
	for text, want := range map[string]string{
		"k2 2027-03-04T08:00 1": "",
		"k2 2027-03-04T23:00 1": "",
		"k2 2027-03-04T23:00 2": "k2 closes at 2027-03-05T00:00:00+01:00",
		"k2 2027-03-04T07:00 1": "k2 is closed at 2027-03-04T07:00:00+01:00",
		"k2 2027-03-04T08:30 1": "slots of k2 are 60 minutes from 2027-03-04T08:00:00+01:00 on: " +
			"the next begins at 2027-03-04T09:00:00+01:00",
		"k2 2027-03-06T09:00 1":  "k2 is closed at 2027-03-06T09:00:00+01:00", // a Saturday
		"k2 2027-12-24T09:00 1":  "k2 is closed at 2027-12-24T09:00:00+01:00",
		"k2 2030-12-25T09:00 1":  "k2 is closed at 2030-12-25T09:00:00+01:00",
		"k1 2027-03-04T23:00 72": "",
	} {
		fields := strings.Fields(text)
		slots, err := strconv.Atoi(fields[2])
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if err := inventory.checkSlots(
			inventory.itemsByName[fields[0]], mustParseTime(t, inventory, fields[1]), slots,
		); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}

// The error of an invalid equipment list must be a single line that names the invalid field.
func TestInventoryErrorsNameTheField(t *testing.T) {
	const valid = `name: "a" kind: "k" slot_minutes: 5`
	for _, tt := range []struct{ text, want string }{
		{`time_zone: "Mars"`, `time_zone: "Mars" is no time zone`},
		{`pieces { name: "a b" kind: "k" slot_minutes: 1 }`, `pieces[0] (a b).name: "a b" is no name`},
		{`pieces { name: "a" kind: "k" }`, `pieces[0] (a).slot_minutes: 0, must be from 1 to 1440`},
		{`pieces { ` + valid + ` out: 2 }`, `pieces[0] (a).out: there is no unit 2`},
		{
			`pieces { ` + valid + ` hours { from: "9:0" to: "10:00" } }`,
			`pieces[0] (a).hours[0]: from "9:0" to "10:00" is no time of a day`,
		},
		{
			`pieces { ` + valid + ` hours { rule: "FREQ=HOURLY" from: "9:00" to: "10:00" } }`,
			`pieces[0] (a).hours[0].rule: only rules of days are allowed, without count, interval, start or end`,
		},
		{
			`pieces { ` + valid + ` closed: "soon" }`,
			`pieces[0] (a).closed[0]: "soon" is neither a day, as 2027-12-24, nor a rule`,
		},
		{`pieces { ` + valid + ` } pieces { ` + valid + ` }`, `pieces[1] (a).name: used twice`},
		{
			`pieces { ` + valid + ` cool_minutes: 99999 }`,
			`pieces[0] (a).cool_minutes: 99999, at most 10080 are allowed`,
		},
	} {
		if _, err := Parse([]byte(tt.text)); err == nil || err.Error() != tt.want {
			t.Errorf("%s: %v, want %s", tt.text, err, tt.want)
		}
	}
}

// describeResult returns the outcome, state, reason and free hours of a result.
func describeResult(inventory *Inventory, result Result) string {
	text := fmt.Sprintf("%s none", result.Outcome)
	if result.Booking != nil {
		text = fmt.Sprintf("%s %s", result.Outcome, result.Booking.State)
	}
	if result.Reason != "" {
		text += " " + result.Reason
	}
	var free []string
	for _, slot := range result.Alternatives {
		free = append(free, inventory.FormatTime(slot.From)[11:13])
	}
	if free != nil {
		text += fmt.Sprint(" ", free)
	}
	return text
}

// Every kind of request must get the right outcome, and its user the right reason.
func TestDecisions(t *testing.T) {
	inventory, schedule := mustParse(t, testEquipment), NewSchedule()
	draft := schedule.NewDraft()
	want := func(piece, from string, slots uint32) []*pb.Want {
		return []*pb.Want{{Piece: piece, From: mustParseTime(t, inventory, from), Slots: slots}}
	}
	now := mustParseTime(t, inventory, "2027-03-01T00:00")
	steps := []struct {
		request Request
		want    string
	}{
		{Request{ID: "a", Wants: want("k1", "2027-03-04T08:00", 4)}, "done confirmed"},
		{Request{ID: "a", Wants: want("k1", "2027-03-04T08:00", 4)}, "repeated confirmed"},
		{
			Request{ID: "a", Wants: want("k1", "2027-03-04T09:00", 4)},
			"refused confirmed a is the id of another booking",
		},
		{
			Request{ID: "b", Wants: want("k1", "2027-03-04T13:00", 1)},
			"refused none k1 is taken at 2027-03-04T13:00:00+01:00, until 2027-03-04T13:30:00+01:00 [14 15 16]",
		}, // within the cooldown
		{Request{ID: "b", Wants: want("k1", "2027-03-04T14:00", 1), HoldSeconds: 600}, "done held"},
		{Request{ID: "c", Team: "x", Wants: want("r", "2027-03-04T14:00", 1)}, "invalid none team x may not book r"},
		{Request{ID: "c", Wants: want("k9", "2027-03-04T14:00", 1)}, "invalid none there is no k9"},
		{Request{ID: "c", Wants: want("k1", "2027-02-04T14:00", 1)}, "invalid none 2027-02-04T14:00:00+01:00 is past"},
		{Request{ID: "w", Wants: want("k1", "2027-03-04T14:00", 1), JoinWaitlist: true}, "done waiting"},
		{
			Request{Verb: VerbMove, ID: "a", Wants: want("k1", "2027-03-04T09:00", 4)},
			"refused confirmed k1 is taken at 2027-03-04T09:00:00+01:00, until 2027-03-04T16:30:00+01:00 [17 18 19]",
		},
		{Request{Verb: VerbConfirm, ID: "w"}, "refused waiting w waits for its slots"},
		{Request{Verb: VerbMove, ID: "b", Wants: want("k1", "2027-03-05T14:00", 1)}, "done held"},
		{Request{Verb: VerbConfirm, ID: "w"}, "repeated confirmed"}, // it was assigned the slot that b released
		{Request{Verb: VerbConfirm, ID: "b"}, "done confirmed"},
		{Request{Verb: VerbEnd, ID: "b", Reason: "cracked"}, "done ended"},
		{Request{Verb: VerbEnd, ID: "b", Reason: "again"}, "repeated ended"},
		{
			Request{Verb: VerbMove, ID: "b", Wants: want("k1", "2027-03-05T14:00", 1)},
			"refused ended b has ended: cracked",
		},
		{Request{Verb: VerbEnd, ID: "z"}, "not found none there is no booking z"},
		{
			Request{
				ID:    "all",
				Wants: append(want("k1", "2027-03-08T14:00", 1), want("k1", "2027-03-04T09:00", 1)...),
			},
			"refused none k1 is taken at 2027-03-04T09:00:00+01:00, until 2027-03-04T13:30:00+01:00 [17 18 19]",
		},
		{
			Request{
				ID:    "two",
				Wants: append(want("k1", "2027-03-09T14:00", 1), want("k1", "2027-03-09T15:00", 1)...),
			},
			"refused none",
		}, // its second slot is within the cooldown of its first
	}
	for i, step := range steps {
		got := describeResult(inventory, inventory.Decide(draft, now, &step.request))
		if got != step.want && !strings.HasPrefix(got, step.want+" ") {
			t.Errorf("step %d: %s, want %s", i, got, step.want)
		}
	}
	checkDisplacement(t, inventory, draft, now)
}

// checkDisplacement fails unless a new equipment list without k1 is refused while it displaces two
// reservations, and ends them only on request and with a reason.
func checkDisplacement(t *testing.T, inventory *Inventory, draft *Draft, now int64) {
	t.Helper()
	schedule := draft.schedule
	reduced := mustParse(
		t,
		strings.ReplaceAll(testEquipment, `"kiln" slot_minutes: 60 cool_minutes: 90`, `"kiln" slot_minutes: 60 out: 1`),
	)
	request := &Request{Verb: VerbSetInventory, Replacement: reduced}
	result := inventory.Decide(draft, now, request)
	if result.Outcome != OutcomeRefused || len(result.Displaced) != 2 ||
		schedule.Get("a").State != pb.BookingState_confirmed {
		t.Errorf("without EndDisplaced: %v", result)
	}
	request.EndDisplaced = true
	if result = inventory.Decide(draft, now, request); result.Outcome != OutcomeInvalid {
		t.Errorf("without a reason: %v", result)
	}
	request.Reason = "relined"
	if result = inventory.Decide(draft, now, request); result.Outcome != OutcomeDone ||
		schedule.Get("a").Why != "relined" {
		t.Errorf("with a reason: %v", result)
	}
	list, ok := schedule.BookingsBetween(
		inventory,
		"k1",
		mustParseTime(t, inventory, "2027-03-04T00:00"),
		mustParseTime(t, inventory, "2027-03-05T00:00"),
	)
	if !ok || len(list) != 0 {
		t.Errorf("displaced reservations are listed: %v", list)
	}
}

// isFreeByBruteForce reports whether a unit is free, by examining every reservation but one.
func isFreeByBruteForce(s *Schedule, item *equipmentItem, unit uint32, needed interval, exceptID string) bool {
	for _, reservation := range s.byID {
		if reservation.Id == exceptID ||
			reservation.State != pb.BookingState_held && reservation.State != pb.BookingState_confirmed {
			continue
		}
		for _, slot := range reservation.Slots {
			if slot.Piece == item.Name && slot.Unit == unit && slot.From < needed.to && needed.from < slot.Clear {
				return false
			}
		}
	}
	return true
}

// drawWants draws one or two wants on the day of start.
func drawWants(t *rapid.T, label string, start int64) (out []*pb.Want) {
	for range rapid.IntRange(1, 2).Draw(t, label) {
		want := &pb.Want{
			From:  start + 3600*rapid.Int64Range(8, 16).Draw(t, "hour"),
			Slots: rapid.Uint32Range(1, 3).Draw(t, "slots"),
		}
		if want.Kind = rapid.SampledFrom([]string{"", "kiln"}).Draw(t, "kind"); want.Kind == "" {
			want.Piece = rapid.SampledFrom([]string{"k1", "k2", "r"}).Draw(t, "piece")
		}
		out = append(out, want)
	}
	return out
}

// drawRequest draws a request of any verb but VerbSetInventory.
func drawRequest(t *rapid.T, start int64) *Request {
	verbs := []Verb{VerbCreate, VerbCreate, VerbCreate, VerbConfirm, VerbMove, VerbEnd}
	return &Request{
		Verb:         rapid.SampledFrom(verbs).Draw(t, "verb"),
		Team:         "packing",
		ID:           fmt.Sprint("b", rapid.IntRange(0, 25).Draw(t, "id")),
		Wants:        drawWants(t, "wants", start),
		JoinWaitlist: rapid.Bool().Draw(t, "wait"),
		HoldSeconds:  rapid.SampledFrom([]uint32{0, 30}).Draw(t, "hold"),
		WaitlistRank: rapid.Uint32Range(0, 2).Draw(t, "rank"),
	}
}

// checkUndo undoes a draft and fails unless the schedule is as it was before.
func checkUndo(t *rapid.T, schedule *Schedule, draft *Draft, before map[string]*pb.Booking) {
	t.Helper()
	changed := draft.Bookings
	draft.Undo()
	if !maps.Equal(schedule.byID, before) {
		t.Fatal("an undone draft changed the schedule")
	}
	for _, reservation := range changed {
		if schedule.byID[reservation.Id] == reservation {
			t.Fatal("a reservation of an undone draft is still there")
		}
	}
}

// checkSchedule fails if a unit is used twice, a waiting reservation could be met, or the index by unit does not
// match the reservations.
func checkSchedule(t *rapid.T, inventory *Inventory, schedule *Schedule) {
	t.Helper()
	uses := 0
	for _, id := range slices.Sorted(maps.Keys(schedule.byID)) {
		reservation := schedule.byID[id]
		if reservation.State == pb.BookingState_held || reservation.State == pb.BookingState_confirmed {
			for _, slot := range reservation.Slots {
				uses++
				used := interval{slot.From, slot.Clear}
				if !isFreeByBruteForce(schedule, inventory.itemsByName[slot.Piece], slot.Unit, used, id) {
					t.Fatalf("%v shares a unit", reservation)
				}
			}
		}
		if reservation.State == pb.BookingState_waiting {
			if slots, _, err := inventory.findUnits(schedule, id, reservation.Team, reservation.Wants); err == nil {
				t.Fatalf("%v waits, but could be assigned %v", reservation, slots)
			}
		}
	}
	for _, list := range schedule.occupied {
		uses -= len(list)
	}
	if uses != 0 {
		t.Fatalf("the number of occupancies in the index is off by %d", uses)
	}
}

// checkNextFree fails if a want could be met before its next free time.
func checkNextFree(t *rapid.T, inventory *Inventory, schedule *Schedule, want *pb.Want, start int64) {
	t.Helper()
	free := inventory.NextFree(schedule, "", "packing", want, start, 0, 1)
	for _, item := range inventory.candidates(want) {
		open, _ := inventory.openingOn(item, inventory.dayOf(start))
		for from := open.from; from < open.to; from += item.slotSeconds {
			needed := interval{from, from + int64(want.Slots)*item.slotSeconds + item.cooldownSeconds}
			for unit := uint32(1); int(unit) <= item.unitCount; unit++ {
				if inventory.checkSlots(item, from, int(want.Slots)) == nil &&
					isFreeByBruteForce(schedule, item, unit, needed, "") &&
					from < free[0].From {
					t.Fatalf("%s is free at %s, before %v", item.Name, inventory.FormatTime(from), free)
				}
			}
		}
	}
}

// Whatever is requested in whatever order: no unit may be used twice, no reservation may wait although its wants
// can be met, no free time may be missed, and an undone draft must not change the schedule.
func TestScheduleKeepsItsInvariants(t *testing.T) {
	inventory := mustParse(t, testEquipment)
	start := mustParseTime(t, inventory, "2027-03-04T00:00")
	rapid.Check(t, func(t *rapid.T) {
		schedule, now := NewSchedule(), start-secondsPerDay
		for range rapid.IntRange(1, 25).Draw(t, "batches") {
			now += rapid.Int64Range(0, 40).Draw(t, "time")
			before := maps.Clone(schedule.byID)
			draft := schedule.NewDraft()
			inventory.Advance(draft, now)
			for range rapid.IntRange(1, 3).Draw(t, "wishes") {
				inventory.Decide(draft, now, drawRequest(t, start))
			}
			if rapid.IntRange(0, 3).Draw(t, "undo") == 0 {
				checkUndo(t, schedule, draft, before)
			}
			checkSchedule(t, inventory, schedule)
		}
		checkNextFree(t, inventory, schedule, drawWants(t, "free", start)[0], start)
	})
}

// BenchmarkDecideInFullSchedule measures a decision among many reservations: its time must not grow with their
// number.
func BenchmarkDecideInFullSchedule(b *testing.B) {
	inventory, schedule := mustParse(b, testEquipment), NewSchedule()
	draft := schedule.NewDraft()
	now := mustParseTime(b, inventory, "2027-03-01T00:00")
	for i := range 1_500 {
		wants := []*pb.Want{{Kind: "kiln", From: now + 3600*int64(i), Slots: 1}}
		inventory.Decide(draft, now, &Request{ID: fmt.Sprint("x", i), Wants: wants})
	}
	request := Request{ID: "n", Wants: []*pb.Want{{Piece: "k1", From: now + 3600*900, Slots: 1}}}
	for b.Loop() {
		result := inventory.Decide(schedule.NewDraft(), now, &request)
		if result.Outcome != OutcomeRefused || len(result.Alternatives) == 0 {
			b.Fatal(result)
		}
	}
}

// FuzzParse checks that a valid equipment list is still valid when it is read again, and that its opening hours can
// be computed.
func FuzzParse(f *testing.F) {
	f.Add(testEquipment)
	f.Add(`pieces {
		name: "a" kind: "k" slot_minutes: 5
		hours { rule: "FREQ=YEARLY;BYEASTER=1" from: "0:00" to: "24:00" }
	}`)
	f.Fuzz(func(t *testing.T, text string) {
		inventory, err := Parse([]byte(text))
		if err != nil {
			return
		}
		if again, err := NewInventory(protobuf.CloneOf(inventory.Source())); err != nil ||
			!protobuf.Equal(again.Source(), inventory.Source()) {
			t.Fatal(err)
		}
		for _, item := range inventory.items {
			inventory.openingOn(item, 20000)
		}
	})
}
