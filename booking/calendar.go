package booking

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// This file has the local times of the site, and the days and hours at which equipment can be reserved.

// openingHours is the opening hours on the days that match a rule.
type openingHours struct {
	days                 dayRule
	fromMinute, toMinute int // of the day
}

// interval is [from, to) in seconds since 1970.
type interval struct{ from, to int64 }

// dayRule is a set of days: every day, a single one, or those that match a recurrence rule.
type dayRule struct {
	rule         *recurrence          // nil: a single day or every day
	isSingleDay  bool                 // singleDay is the only day
	singleDay    int                  // days since 1970
	matchingDays map[int]map[int]bool // cached days of rule, by year and days since 1970
}

// parseClosedDay parses a day or a recurrence rule.
func parseClosedDay(text string) (dayRule, error) {
	const form = "%q is neither a day, as 2027-12-24, nor a rule"
	if strings.Contains(text, "=") {
		days, err := parseRule(text)
		if err != nil {
			return dayRule{}, fmt.Errorf(form+": %w", quoteInput(text), err)
		}
		return days, nil
	}
	day, err := time.Parse(dayFormat, text)
	if err != nil {
		return dayRule{}, fmt.Errorf(form, quoteInput(text))
	}
	return dayRule{isSingleDay: true, singleDay: dayNumber(day.Date())}, nil
}

// validateYear returns an error unless a reservation may begin in a year.
func validateYear(year int) error {
	if year < firstYear || year >= lastYear {
		return fmt.Errorf("the year is %d, must be from %d to %d", year, firstYear, lastYear-1)
	}
	return nil
}

// parseTimeOfDay parses a time of day from 0:00 to 24:00 and returns it in minutes.
func parseTimeOfDay(text string) (int, bool) {
	hourText, minuteText, ok := strings.Cut(text, ":")
	hour, hourErr := strconv.Atoi(hourText)
	minute, minuteErr := strconv.Atoi(minuteText)
	minutes := hour*60 + minute
	return minutes, ok && hourErr == nil && minuteErr == nil && len(minuteText) == 2 &&
		hour >= 0 && minute >= 0 && minute < 60 && minutes <= minutesPerDay
}

// parseRule parses a recurrence rule of days, which must not have a start or end of its own. An empty text matches
// every day.
func parseRule(text string) (dayRule, error) {
	if text == "" {
		return dayRule{}, nil
	}
	rule, err := parseRecurrence(text)
	if errors.Is(err, errNotOfDays) ||
		err == nil && (rule.options.Count != 0 || rule.options.Interval > 1 || !rule.options.Until.IsZero()) {
		err = errors.New("only rules of days are allowed, without count, interval, start or end")
	}
	if err != nil {
		return dayRule{}, err
	}
	return dayRule{rule: rule}, nil
}

// includes reports whether a day, in days since 1970, is in the set.
func (r *dayRule) includes(day int) bool {
	if r.rule == nil {
		return !r.isSingleDay || r.singleDay == day
	}
	year := dateOf(day).Year()
	if validateYear(year) != nil {
		return false // nothing can be reserved then
	}
	days, ok := r.matchingDays[year]
	if !ok {
		days = r.daysOf(year)
		if r.matchingDays == nil {
			r.matchingDays = map[int]map[int]bool{}
		}
		r.matchingDays[year] = days
	}
	return days[day]
}

// daysOf returns the days of a year that match the rule, in days since 1970.
func (r *dayRule) daysOf(year int) map[int]bool {
	days := map[int]bool{}
	for _, day := range r.rule.days(dayNumber(year, 1, 1), dayNumber(year, 12, 31), maxYearDays) {
		days[day] = true
	}
	return days
}

// dayOf returns the local day of a time, in days since 1970.
func (inv *Inventory) dayOf(at int64) int {
	return dayNumber(time.Unix(at, 0).In(inv.location).Date())
}

// timeOnDay returns the moment at which local clocks show a day and a number of minutes after midnight. For a local
// time that is skipped when clocks go forward, it returns the moment of the change; for one that occurs twice, the
// first occurrence.
func (inv *Inventory) timeOnDay(day, minute int) int64 {
	year, month, dayOfMonth := dateOf(day).Date()
	t := time.Date(year, month, dayOfMonth, minute/60, minute%60, 0, 0, inv.location)
	want := time.Date(year, month, dayOfMonth, minute/60, minute%60, 0, 0, time.UTC).Unix()
	_, offset := t.Zone()
	if t.Unix()+int64(offset) != want { // skipped: the change lies between the results of both offsets
		from, to := t.ZoneBounds()
		if t.Unix()+int64(offset) > want {
			return from.Unix()
		}
		return to.Unix()
	}
	if from, _ := t.ZoneBounds(); !from.IsZero() {
		_, offsetBefore := from.Add(-time.Second).Zone()
		if first := want - int64(offsetBefore); first < from.Unix() {
			return first
		}
	}
	return t.Unix()
}

// openingOn returns the opening hours of an item on a day, and whether it opens at all. The first matching rule
// decides.
func (inv *Inventory) openingOn(item *equipmentItem, day int) (interval, bool) {
	if open, ok := item.openingCache[day]; ok {
		return open, open.from < open.to
	}
	open := inv.computeOpening(item, day)
	if len(item.openingCache) > maxCachedDays {
		clear(item.openingCache)
	}
	item.openingCache[day] = open
	return open, open.from < open.to
}

// computeOpening computes the opening hours of an item on a day. The interval is empty if the item is closed.
func (inv *Inventory) computeOpening(item *equipmentItem, day int) interval {
	for i := range item.closedDays {
		if item.closedDays[i].includes(day) {
			return interval{}
		}
	}
	if len(item.openingRules) == 0 {
		return interval{inv.timeOnDay(day, 0), inv.timeOnDay(day+1, 0)}
	}
	for i := range item.openingRules {
		hours := &item.openingRules[i]
		if !hours.days.includes(day) {
			continue
		}
		open := interval{inv.timeOnDay(day, hours.fromMinute), inv.timeOnDay(day, hours.toMinute)}
		if hours.toMinute == minutesPerDay {
			open.to = inv.timeOnDay(day+1, 0)
		}
		return open
	}
	return interval{}
}

// checkSlots returns an error unless an item offers the number of consecutive slots from that time on, whether they
// are occupied or not.
func (inv *Inventory) checkSlots(item *equipmentItem, from int64, slots int) error {
	if err := validateYear(time.Unix(from, 0).UTC().Year()); err != nil {
		return err
	}
	open, ok := inv.openingOn(item, inv.dayOf(from))
	if !ok || from < open.from || from >= open.to {
		return fmt.Errorf("%s is closed at %s", item.Name, inv.FormatTime(from))
	}
	if offset := (from - open.from) % item.slotSeconds; offset != 0 {
		return fmt.Errorf(
			"slots of %s are %d minutes from %s on: the next begins at %s",
			item.Name,
			item.SlotMinutes,
			inv.FormatTime(open.from),
			inv.FormatTime(from-offset+item.slotSeconds),
		)
	}
	to := from + int64(slots)*item.slotSeconds
	for open.to < to {
		next, ok := inv.openingOn(item, inv.dayOf(open.to))
		if !ok || next.from != open.to {
			return fmt.Errorf("%s closes at %s", item.Name, inv.FormatTime(open.to))
		}
		open = next
	}
	return nil
}

// FormatTime formats a time in the site's time zone.
func (inv *Inventory) FormatTime(at int64) string {
	return time.Unix(at, 0).In(inv.location).Format(time.RFC3339)
}

// ParseTime parses a time like 2027-03-04T08:00, which is in the site's time zone unless it has an offset.
func (inv *Inventory) ParseTime(text string) (int64, error) {
	at, err := inv.parseAnyTime(text)
	if err != nil {
		return 0, err
	}
	if err := validateYear(time.Unix(at, 0).UTC().Year()); err != nil {
		return 0, fmt.Errorf("%q: %w", quoteInput(text), err)
	}
	return at, nil
}

// parseAnyTime parses a time of any year.
func (inv *Inventory) parseAnyTime(text string) (int64, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.Unix(), nil
	}
	if t, err := time.Parse("2006-01-02T15:04Z07:00", text); err == nil {
		return t.Unix(), nil
	}
	t, err := time.Parse(clockFormat, text)
	if err != nil {
		return 0, fmt.Errorf("%q is no time: write 2027-03-04T08:00, or with an offset 2027-03-04T08:00+01:00",
			quoteInput(text))
	}
	at := inv.timeOnDay(dayNumber(t.Date()), t.Hour()*60+t.Minute())
	if time.Unix(at, 0).In(inv.location).Format(clockFormat) != text {
		return 0, fmt.Errorf("the clocks never show %s in %s", quoteInput(text), inv.location)
	}
	return at, nil
}

// ParseDay parses a day and returns its start and end.
func (inv *Inventory) ParseDay(text string) (from, to int64, err error) {
	t, err := time.Parse(dayFormat, text)
	if err != nil {
		return 0, 0, fmt.Errorf("%q is no day: write 2027-03-04", quoteInput(text))
	}
	if err := validateYear(t.Year()); err != nil {
		return 0, 0, fmt.Errorf("%q: %w", quoteInput(text), err)
	}
	day := dayNumber(t.Date())
	return inv.timeOnDay(day, 0), inv.timeOnDay(day+1, 0), nil
}
