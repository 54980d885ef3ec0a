// Package booking decides reservations of shared equipment. It is deterministic and does no I/O: the same
// reservations, equipment, time and request always give the same result. It keeps the schedule in memory; package
// core/reservations stores it. It must not authorize requests: its callers do.
package booking

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // for hosts without an installed time zone database

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

// Limits of an equipment list.
const (
	maxItems           = 500
	maxUnits           = 200 // of an item
	maxSlotMinutes     = minutesPerDay
	maxCooldownMinutes = 7 * minutesPerDay
	maxRules           = 50   // of each kind in an item: opening hours, closed days
	firstYear          = 2000 // in which a reservation may begin
	lastYear           = 2100 // exclusive
)

const (
	secondsPerDay = 86400
	minutesPerDay = 24 * 60

	// maxCachedDays bounds the days whose opening hours are cached for an item.
	maxCachedDays = 4000

	// maxQuotedBytes bounds what an error quotes of a caller's text.
	maxQuotedBytes = 80

	dayFormat   = "2006-01-02"
	clockFormat = "2006-01-02T15:04"
)

var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,39}$`)

// Inventory is a validated equipment list. It is immutable except for its calendar caches, which are not
// synchronized: only one goroutine may use it.
type Inventory struct {
	source      *pb.Equipment
	location    *time.Location
	itemsByName map[string]*equipmentItem
	items       []*equipmentItem
}

// equipmentItem is a piece of equipment, which may have several interchangeable units.
type equipmentItem struct {
	*pb.Piece
	slotSeconds, cooldownSeconds int64
	unitCount                    int
	openingRules                 []openingHours
	closedDays                   []dayRule
	openingCache                 map[int]interval // opening hours by days since 1970

	// invalid is why a stored item can't be reserved, or nil. Reservations of such an item stay as they are.
	invalid error
}

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

// Parse reads an equipment list in protobuf text format. Its error is a single line and names the invalid field.
func Parse(text []byte) (*Inventory, error) {
	var equipment pb.Equipment
	if err := prototext.Unmarshal(text, &equipment); err != nil {
		return nil, err
	}
	return NewInventory(&equipment)
}

// NewInventory validates an equipment list. The caller must not modify the list afterwards.
func NewInventory(equipment *pb.Equipment) (*Inventory, error) {
	inv, invalid, err := LoadInventory(equipment)
	switch {
	case err != nil:
		return nil, err
	case len(invalid) > 0:
		return nil, invalid[0]
	}
	return inv, nil
}

// LoadInventory reads a stored equipment list, which an earlier version may have validated by other rules. An item
// that is invalid now can't be reserved any more; the errors in invalid tell why. The caller must not modify the list
// afterwards.
func LoadInventory(equipment *pb.Equipment) (inv *Inventory, invalid []error, err error) {
	zone, err := time.LoadLocation(equipment.TimeZone)
	if err != nil || strings.EqualFold(equipment.TimeZone, "local") {
		return nil, nil, fmt.Errorf("time_zone: %q is no time zone", quoteInput(equipment.TimeZone))
	}
	if len(equipment.Pieces) > maxItems {
		return nil, nil, fmt.Errorf("%d pieces, at most %d are allowed", len(equipment.Pieces), maxItems)
	}
	inv = &Inventory{source: equipment, location: zone, itemsByName: map[string]*equipmentItem{}}
	for i, piece := range equipment.Pieces {
		item, err := newEquipmentItem(piece)
		if err == nil && inv.itemsByName[piece.Name] != nil {
			err = errors.New(".name: used twice")
		}
		if err != nil {
			err = fmt.Errorf("pieces[%d] (%s)%w", i, quoteInput(piece.Name), err)
			invalid = append(invalid, err)
			item.invalid = err
		}
		if inv.itemsByName[piece.Name] == nil {
			inv.itemsByName[piece.Name] = item
			inv.items = append(inv.items, item)
		}
	}
	return inv, invalid, nil
}

// newEquipmentItem validates an item. It returns the item with an error too, for the reservations that it has.
func newEquipmentItem(piece *pb.Piece) (*equipmentItem, error) {
	item := &equipmentItem{
		Piece:           piece,
		slotSeconds:     60 * int64(piece.SlotMinutes),
		cooldownSeconds: 60 * int64(piece.CoolMinutes),
		unitCount:       max(1, int(piece.Units)),
		openingCache:    map[int]interval{},
	}
	if err := item.validateLimits(); err != nil {
		item.unitCount = min(item.unitCount, maxUnits)
		return item, err
	}
	if err := item.parseHours(); err != nil {
		return item, err
	}
	return item, item.parseClosedDays()
}

// validateLimits validates the names and numbers of an item.
func (item *equipmentItem) validateLimits() error {
	piece := item.Piece
	switch {
	case !validName.MatchString(piece.Name):
		return fmt.Errorf(".name: %q is no name", quoteInput(piece.Name))
	case !validName.MatchString(piece.Kind):
		return fmt.Errorf(".kind: %q is no name", quoteInput(piece.Kind))
	case item.unitCount > maxUnits:
		return fmt.Errorf(".units: %d, at most %d are allowed", item.unitCount, maxUnits)
	case piece.SlotMinutes < 1 || piece.SlotMinutes > maxSlotMinutes:
		return fmt.Errorf(".slot_minutes: %d, must be from 1 to %d", piece.SlotMinutes, maxSlotMinutes)
	case piece.CoolMinutes > maxCooldownMinutes:
		return fmt.Errorf(".cool_minutes: %d, at most %d are allowed", piece.CoolMinutes, maxCooldownMinutes)
	case len(piece.Hours) > maxRules || len(piece.Closed) > maxRules:
		return fmt.Errorf(
			": %d hours and %d closed, at most %d of each are allowed",
			len(piece.Hours),
			len(piece.Closed),
			maxRules,
		)
	}
	for _, unit := range piece.Out {
		if unit < 1 || int(unit) > item.unitCount {
			return fmt.Errorf(".out: there is no unit %d", unit)
		}
	}
	return nil
}

// parseHours parses the opening hours of an item.
func (item *equipmentItem) parseHours() error {
	for i, hours := range item.Hours {
		days, err := parseRule(hours.Rule)
		if err != nil {
			return fmt.Errorf(".hours[%d].rule: %w", i, err)
		}
		from, fromOK := parseTimeOfDay(hours.From)
		to, toOK := parseTimeOfDay(hours.To)
		if !fromOK || !toOK || from >= to {
			return fmt.Errorf(".hours[%d]: from %q to %q is no time of a day",
				i, quoteInput(hours.From), quoteInput(hours.To))
		}
		item.openingRules = append(item.openingRules, openingHours{days, from, to})
	}
	return nil
}

// parseClosedDays parses the days on which an item is closed.
func (item *equipmentItem) parseClosedDays() error {
	for i, text := range item.Closed {
		days, err := parseClosedDay(text)
		if err != nil {
			return fmt.Errorf(".closed[%d]: %w", i, err)
		}
		item.closedDays = append(item.closedDays, days)
	}
	return nil
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
		err == nil && (rule.options.Count > 0 || rule.options.Interval > 1 || !rule.options.Until.IsZero()) {
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

// Source returns the equipment list. The caller must not modify it.
func (inv *Inventory) Source() *pb.Equipment { return inv.source }

// candidates returns the items that can meet a want.
func (inv *Inventory) candidates(want *pb.Want) []*equipmentItem {
	if want.Piece != "" {
		if item := inv.itemsByName[want.Piece]; item != nil && item.invalid == nil {
			return []*equipmentItem{item}
		}
		return nil
	}
	var out []*equipmentItem
	for _, item := range inv.items {
		if item.invalid == nil && item.Kind == want.Kind && (want.Zone == "" || item.Zone == want.Zone) {
			out = append(out, item)
		}
	}
	return out
}

// allowsTeam reports whether a team may reserve the item.
func (item *equipmentItem) allowsTeam(team string) bool {
	return len(item.Teams) == 0 || slices.Contains(item.Teams, team)
}

// isUnitUsable reports whether a unit exists and is not out of order.
func (item *equipmentItem) isUnitUsable(unit int) bool {
	return unit >= 1 && unit <= item.unitCount && !slices.Contains(item.Out, uint32(unit))
}

// ItemKind returns the kind of an item, or "" if there is none of that name.
func (inv *Inventory) ItemKind(name string) string {
	if item := inv.itemsByName[name]; item != nil {
		return item.Kind
	}
	return ""
}

// WantKind returns the kind of equipment that a want is for.
func (inv *Inventory) WantKind(want *pb.Want) string {
	if want.Piece != "" {
		return inv.ItemKind(want.Piece)
	}
	return want.Kind
}
