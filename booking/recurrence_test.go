package booking

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/teambition/rrule-go"
	"pgregory.net/rapid"

	pb "dewlift/proto"
)

// rulesBeyondLimits are recurrence rules that made package rrule panic, search for up to a second, or loop for ever.
var rulesBeyondLimits = []string{
	"FREQ=MONTHLY;BYDAY=53MO;COUNT=1",
	"FREQ=MONTHLY;BYDAY=-6MO;COUNT=1",
	"FREQ=YEARLY;BYMONTH=12;BYDAY=53MO;COUNT=1",
	"FREQ=YEARLY;BYEASTER=366;COUNT=1",
	"FREQ=YEARLY;BYEASTER=-366;COUNT=1",
	"FREQ=YEARLY;BYYEARDAY=367;COUNT=1",
	"FREQ=YEARLY;BYWEEKNO=54;COUNT=1",
	"FREQ=YEARLY;BYMONTH=13;COUNT=1",
	"FREQ=YEARLY;BYMONTH=0;COUNT=1",
	"FREQ=MONTHLY;BYMONTHDAY=0;COUNT=1",
	"FREQ=DAILY;BYSETPOS=367;COUNT=1",
	"FREQ=DAILY;INTERVAL=-1;COUNT=1",
	"FREQ=DAILY;INTERVAL=9223372036854775807;COUNT=2",
	"FREQ=DAILY;COUNT=1;UNTIL=00020101",
	"FREQ=DAILY;COUNT=1;UNTIL=99991231",
	"FREQ=WEEKLY;WKST=9MO;COUNT=1",
	"FREQ=HOURLY;COUNT=1",
	"FREQ=DAILY;BYHOUR=5;COUNT=1",
	"DTSTART=20270101;FREQ=DAILY;COUNT=1",
	"DTSTART:20270101\nFREQ=DAILY;COUNT=1",
	"DTSTART\nFREQ=DAILY;COUNT=1",
	"FREQ=DAILY;COUNT=61",
	"FREQ=DAILY",
	"FREQ=DAILY;COUNT=1;BYYEARDAY=" + strings.Repeat("1,", 300) + "1",
	"FREQ",
	"",
}

// A rule that package rrule does not survive must be refused with the part that is wrong. One such rule in a
// reservation ended every controller that it was sent to.
func TestRulesBeyondLimitsAreRefused(t *testing.T) {
	inventory := mustParse(t, testEquipment)
	want := &pb.Want{Piece: "k1", From: mustParseTime(t, inventory, "2027-03-04T08:00"), Slots: 1}
	for _, text := range rulesBeyondLimits {
		list, err := expandSeries(inventory, want, text)
		if err == nil || len(err.Error()) > 300 {
			t.Errorf("%.80q: %d wants, %v", text, len(list), err)
		}
	}
	const list = `pieces { name: "k" kind: "kiln" slot_minutes: 60 closed: %q }`
	for _, text := range rulesBeyondLimits {
		if text == "FREQ=DAILY" { // beyond the limits of a series only
			continue
		}
		if _, err := Parse(fmt.Appendf(nil, list, text)); err == nil || !strings.Contains(err.Error(), ".closed[0]") {
			t.Errorf("closed on %.80q: %v", text, err)
		}
	}
}

// The dates that an equipment list can't have must be refused where they enter: the year 0 of an empty form field ended
// every controller.
func TestTimesBeyondLimitsAreRefused(t *testing.T) {
	inventory := mustParse(t, testEquipment)
	for _, text := range []string{
		"0000-01-01T00:00", "0000-01-01T00:00:00Z", "0001-01-01T00:00", "1969-12-31T23:59", "1999-12-31T08:00",
		"2100-01-01T02:00", "9999-12-31T23:59", "9999-12-31T23:59:59-23:59", "2027-13-01T00:00", "2027-02-30T00:00",
		"", strings.Repeat("9", 60_000),
	} {
		if at, err := inventory.ParseTime(text); err == nil || len(err.Error()) > 300 {
			t.Errorf("%.80q is %d, %v", text, at, err)
		}
		day, _, _ := strings.Cut(text, "T")
		if from, _, err := inventory.ParseDay(day); err == nil && text != "2027-13-01T00:00" {
			t.Errorf("%.80q is %d", day, from)
		}
	}
	for _, from := range []int64{-1 << 62, -62_167_219_200, 0, 4_102_444_800, 1 << 40, 1 << 62} {
		want := &pb.Want{Piece: "k1", From: from, Slots: 1}
		if list, err := expandSeries(inventory, want, "FREQ=WEEKLY;COUNT=8"); err == nil {
			t.Errorf("a series from %d: %v", from, list)
		}
		request := &Request{ID: "a", Wants: []*pb.Want{want}}
		if result := inventory.Decide(NewSchedule().NewDraft(), -1<<62, request); result.IsGranted() {
			t.Errorf("a reservation from %d: %v", from, result)
		}
	}
}

// drawRule draws a rule within the limits, without an end.
func drawRule(t *rapid.T) rrule.ROption {
	numbers := func(name string, lowest, highest int) []int {
		if rapid.IntRange(0, 3).Draw(t, name+" given") > 0 {
			return nil
		}
		nonZero := func(n int) bool { return n != 0 || name == "BYEASTER" }
		return rapid.SliceOfN(rapid.IntRange(lowest, highest).Filter(nonZero), 1, 4).Draw(t, name)
	}
	frequencies := []rrule.Frequency{rrule.YEARLY, rrule.MONTHLY, rrule.WEEKLY, rrule.DAILY}
	options := rrule.ROption{
		Freq:     rapid.SampledFrom(frequencies).Draw(t, "FREQ"),
		Interval: rapid.SampledFrom([]int{0, 1, 2, 3, 7, 40, 1000}).Draw(t, "INTERVAL"),
		Bymonth:  numbers("BYMONTH", 1, 12),
		Bysetpos: numbers("BYSETPOS", -3, 3),
	}
	weekdays := []rrule.Weekday{rrule.MO, rrule.TU, rrule.WE, rrule.TH, rrule.FR, rrule.SA, rrule.SU}
	options.Wkst = rapid.SampledFrom(weekdays).Draw(t, "WKST")
	options.Bymonthday = numbers("BYMONTHDAY", -31, 31)
	options.Byeaster = numbers("BYEASTER", minDaysAfterEaster, maxDaysAfterEaster)
	if options.Freq != rrule.WEEKLY {
		// In a week that belongs to two years, package rrule counts both by the first one.
		options.Byyearday = numbers("BYYEARDAY", -maxYearDays, maxYearDays)
		options.Byweekno = numbers("BYWEEKNO", -53, 53)
	}
	highest := maxYearWeekdays
	if options.Freq == rrule.MONTHLY || len(options.Bymonth) > 0 {
		highest = maxMonthWeekdays
	}
	for _, number := range numbers("BYDAY", -highest, highest) {
		day := weekdays[rapid.IntRange(0, 6).Draw(t, "weekday")]
		if rapid.Bool().Draw(t, "numbered") {
			day = day.Nth(number)
		}
		options.Byweekday = append(options.Byweekday, day)
	}
	return options
}

// The days of a series must be those of package rrule, which evaluates the whole series at once, for every rule that it
// can evaluate.
func TestSeriesHasTheDaysOfItsRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawRule(t)
		first := rapid.IntRange(dayNumber(firstYear, 1, 1), dayNumber(lastYear, 1, 1)-1).Draw(t, "first")
		last := first + rapid.IntRange(0, 800).Draw(t, "length")
		limit := rapid.IntRange(1, MaxWants).Draw(t, "COUNT")
		options.Count = limit
		parsed, err := parseRecurrence(options.RRuleString())
		if err != nil {
			t.Fatal(options.RRuleString(), err)
		}
		got := parsed.days(first, last, limit)
		options.Dtstart, options.Until = dateOf(first), dateOf(last)
		rule, err := rrule.NewRRule(options)
		if err != nil {
			t.Fatal(err)
		}
		var want []int
		for _, day := range rule.All() {
			want = append(want, dayNumber(day.Date()))
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%s from %v: %v, want %v", options.RRuleString(), options.Dtstart, got, want)
		}
	})
}

// No part of a rule at its limits may take package rrule beyond its tables, in any year.
func TestPartsAtTheirLimitsInEveryYear(t *testing.T) {
	var rules []*recurrence
	for _, freq := range []string{"YEARLY", "MONTHLY", "WEEKLY", "DAILY"} {
		for _, weekStart := range []string{"MO", "WE", "SU"} {
			for _, part := range []string{
				"BYEASTER=-80,250", "BYWEEKNO=1,-1,52,53,-52,-53", "BYYEARDAY=1,366,-366,-1", "BYMONTHDAY=31,-31",
				"BYDAY=5MO,-5MO,5SU,-5SU", "BYMONTH=1,12;BYDAY=5SU,-5MO", "BYSETPOS=366,-366,1,-1;BYMONTHDAY=1,-1",
			} {
				rule, err := parseRecurrence("FREQ=" + freq + ";WKST=" + weekStart + ";" + part)
				if err != nil {
					t.Fatal(freq, part, err)
				}
				rules = append(rules, rule)
			}
		}
	}
	yearly, err := parseRecurrence("FREQ=YEARLY;BYDAY=53MO,-53MO,53SU,-53SU")
	if err != nil {
		t.Fatal(err)
	}
	for year := firstYear; year < lastYear+maxSeriesYears; year++ {
		for _, rule := range append(rules, yearly) {
			rule.days(dayNumber(year, 1, 1), dayNumber(year, 12, 31), maxYearDays)
		}
	}
}

// A rule that matches no day must not be searched for beyond the time span of a series: 60 slots of such a rule took
// the event loop up to a minute, in which no lease is renewed.
func TestRuleWithoutDaysTakesBoundedTime(t *testing.T) {
	const bound = time.Second // within which a good request beside it must be answered
	inventory := mustParse(t, testEquipment)
	want := &pb.Want{Piece: "k1", From: mustParseTime(t, inventory, "2027-03-04T08:00"), Slots: 1}
	many := strings.TrimSuffix(strings.Repeat("366,", 110), ",")
	for _, text := range []string{
		"FREQ=DAILY;BYSETPOS=2;COUNT=60",
		"FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30;COUNT=60",
		"FREQ=WEEKLY;BYSETPOS=8;COUNT=60",
		"FREQ=MONTHLY;BYMONTH=4;BYMONTHDAY=31;COUNT=60",
		"FREQ=YEARLY;BYWEEKNO=53;BYMONTH=6;COUNT=60",
		"FREQ=DAILY;BYMONTH=1;COUNT=60;BYYEARDAY=" + many,
	} {
		series, err := ParseSeriesRule(text)
		if err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		for range MaxWants {
			if _, err := inventory.ExpandSeries(want, series); err == nil || !strings.Contains(err.Error(), "no day") {
				t.Errorf("%.80s: %v", text, err)
			}
		}
		if took := time.Since(started); took > bound {
			t.Errorf("%.80s: %d slots took %v", text, MaxWants, took)
		}
	}
}

// A list that an earlier version stored may have an item that is invalid now. It must be out of use, while the others
// serve, and its reservations must stay.
func TestInvalidItemOfAStoredListIsOutOfUse(t *testing.T) {
	list := &pb.Equipment{Pieces: []*pb.Piece{
		{Name: "bad", Kind: "kiln", SlotMinutes: 60, Closed: []string{"FREQ=YEARLY;BYEASTER=366"}},
		{Name: "none", Kind: "kiln"}, // no slot length
		{Name: "good", Kind: "kiln", SlotMinutes: 60},
		{Name: "good", Kind: "kiln", SlotMinutes: 1},
	}}
	inventory, invalid, err := LoadInventory(list)
	if err != nil || len(invalid) != 3 || !strings.Contains(invalid[0].Error(), "pieces[0] (bad).closed[0]") {
		t.Fatalf("%v, %v", invalid, err)
	}
	schedule := NewSchedule()
	from := mustParseTime(t, inventory, "2027-03-04T08:00")
	schedule.Put(&pb.Booking{
		Id: "old", Change: 1, State: pb.BookingState_confirmed,
		Slots: []*pb.Slot{{Piece: "bad", Unit: 1, From: from, To: from + 3600, Clear: from + 3600}},
	})
	for id, test := range map[string]struct {
		want    *pb.Want
		outcome Outcome
	}{
		"a": {&pb.Want{Piece: "bad", From: from + 7200, Slots: 1}, OutcomeInvalid},
		"b": {&pb.Want{Piece: "none", From: from, Slots: 1}, OutcomeInvalid},
		"c": {&pb.Want{Kind: "kiln", From: from, Slots: 1}, OutcomeDone},
	} {
		request := &Request{ID: id, Wants: []*pb.Want{test.want}}
		result := inventory.Decide(schedule.NewDraft(), from-3600, request)
		if result.Outcome != test.outcome || result.IsGranted() && result.Booking.Slots[0].Piece != "good" {
			t.Errorf("%v: %v", test.want, result)
		}
	}
	if uses, ok := schedule.BookingsBetween(inventory, "bad", from, from+3600); !ok || len(uses) != 1 {
		t.Errorf("reservations of the invalid item: %v", uses)
	}
	free := inventory.NextFree(schedule, "", "", &pb.Want{Kind: "kiln", Slots: 1}, from, 0, 3)
	if len(free) != 3 || free[0].Piece != "good" {
		t.Errorf("free: %v", free)
	}
}

// FuzzRecurrence checks that no text makes a series panic, or gives it days beyond its limits.
func FuzzRecurrence(f *testing.F) {
	for _, text := range rulesBeyondLimits {
		f.Add(text, "2027-03-04T08:00")
	}
	f.Add("FREQ=WEEKLY;COUNT=8", "0000-01-01T00:00")
	f.Add("FREQ=DAILY;BYSETPOS=2;COUNT=1", "2099-12-31T23:59")
	f.Add("FREQ=MONTHLY;BYDAY=-1FR;COUNT=12", "2027-03-28T02:30+01:00")
	f.Add("FREQ=YEARLY;BYWEEKNO=53;WKST=SU;COUNT=3", "2096-02-29T00:00")
	f.Fuzz(func(t *testing.T, rule, from string) {
		inventory := mustParse(t, testEquipment)
		at, err := inventory.ParseTime(from)
		if err != nil {
			return
		}
		list, err := expandSeries(inventory, &pb.Want{Piece: "k2", From: at, Slots: 1}, rule)
		if (err == nil) != (len(list) > 0) || len(list) > MaxWants {
			t.Errorf("%q from %q: %d wants, %v", rule, from, len(list), err)
		}
		days, err := parseRule(rule)
		if err == nil {
			days.includes(inventory.dayOf(at))
		}
	})
}
