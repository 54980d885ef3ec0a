// Package booking decides who has shared equipment when. It is pure: it reads no file, asks nobody
// and knows no clock; the same bookings, the same list of equipment, the same time and the same
// wish always give the same answer. What must outlast a controller comes in as values of the state
// service and goes out as changes of them (core/booking).
package booking

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // sites run where no time zones are installed

	"github.com/teambition/rrule-go"
	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

// Limits of a list of equipment.
const (
	maxItems           = 500
	maxUnits           = 200     // of a piece
	maxSlotMinutes     = 24 * 60 // minutes
	maxCooldownMinutes = 7 * 24 * 60
	maxRules           = 50 // of a piece, each kind
	firstYear          = 2000
	lastYear           = 2100
	dayFormat          = "2006-01-02"
	clockFormat        = "2006-01-02T15:04"
)

var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,39}$`)

// Inventory is a list of equipment, checked. It never changes but for what it remembers of the
// calendar; it is for one goroutine.
type Inventory struct {
	source      *pb.Equipment
	location    *time.Location
	itemsByName map[string]*equipmentItem
	items       []*equipmentItem
}

type equipmentItem struct {
	*pb.Piece
	slotSeconds, cooldownSeconds int64 // s
	unitCount                    int
	openingRules                 []openingHours
	closedDays                   []dayRule
	openingCache                 map[int]interval // the day's hours, by days since 1970
}

type openingHours struct {
	days                 dayRule
	fromMinute, toMinute int // minutes of the day
}

// interval is a time, in s since 1970; the end is not in it.
type interval struct{ from, to int64 }

// dayRule is the days of a rule.
type dayRule struct {
	singleDay    int            // a single day, in days since 1970, if there is no rule
	rule         *rrule.ROption // nil: only, or every day if only is 0
	matchingDays map[int]map[int]bool
}

// Parse reads a list in protobuf text format. An error is one line and names the place.
func Parse(text []byte) (*Inventory, error) {
	var e pb.Equipment
	if err := prototext.Unmarshal(text, &e); err != nil {
		return nil, err
	}
	return NewInventory(&e)
}

// NewInventory checks a list.
func NewInventory(e *pb.Equipment) (*Inventory, error) {
	zone, err := time.LoadLocation(e.TimeZone)
	if err != nil || strings.EqualFold(e.TimeZone, "local") {
		return nil, fmt.Errorf("time_zone: %q is no time zone", e.TimeZone)
	}
	if len(e.Pieces) > maxItems {
		return nil, fmt.Errorf("%d pieces, at most %d are allowed", len(e.Pieces), maxItems)
	}
	s := &Inventory{source: e, location: zone, itemsByName: map[string]*equipmentItem{}}
	for i, p := range e.Pieces {
		x, err := newEquipmentItem(p)
		if err == nil && s.itemsByName[p.Name] != nil {
			err = errors.New(".name: used twice")
		}
		if err != nil {
			return nil, fmt.Errorf("pieces[%d] (%s)%w", i, p.Name, err)
		}
		s.itemsByName[p.Name] = x
		s.items = append(s.items, x)
	}
	return s, nil
}

func newEquipmentItem(p *pb.Piece) (*equipmentItem, error) {
	x := &equipmentItem{
		Piece:           p,
		slotSeconds:     60 * int64(p.SlotMinutes),
		cooldownSeconds: 60 * int64(p.CoolMinutes),
		unitCount:       max(1, int(p.Units)),
		openingCache:    map[int]interval{},
	}
	switch {
	case !validName.MatchString(p.Name):
		return nil, fmt.Errorf(".name: %q is no name", p.Name)
	case !validName.MatchString(p.Kind):
		return nil, fmt.Errorf(".kind: %q is no name", p.Kind)
	case x.unitCount > maxUnits:
		return nil, fmt.Errorf(".units: %d, at most %d are allowed", x.unitCount, maxUnits)
	case p.SlotMinutes < 1 || p.SlotMinutes > maxSlotMinutes:
		return nil, fmt.Errorf(".slot_minutes: %d, must be from 1 to %d", p.SlotMinutes, maxSlotMinutes)
	case p.CoolMinutes > maxCooldownMinutes:
		return nil, fmt.Errorf(".cool_minutes: %d, at most %d are allowed", p.CoolMinutes, maxCooldownMinutes)
	case len(p.Hours) > maxRules || len(p.Closed) > maxRules:
		return nil, fmt.Errorf(
			": %d hours and %d closed, at most %d of each are allowed",
			len(p.Hours),
			len(p.Closed),
			maxRules,
		)
	}
	for _, u := range p.Out {
		if u < 1 || int(u) > x.unitCount {
			return nil, fmt.Errorf(".out: there is no unit %d", u)
		}
	}
	for i, h := range p.Hours {
		c, err := parseRule(h.Rule)
		if err != nil {
			return nil, fmt.Errorf(".hours[%d].rule: %w", i, err)
		}
		from, ok := parseTimeOfDay(h.From)
		to, ok2 := parseTimeOfDay(h.To)
		if !ok || !ok2 || from >= to {
			return nil, fmt.Errorf(".hours[%d]: from %q to %q is no time of a day", i, h.From, h.To)
		}
		x.openingRules = append(x.openingRules, openingHours{c, from, to})
	}
	for i, text := range p.Closed {
		c := dayRule{}
		day, err := time.Parse(dayFormat, text)
		if err == nil {
			c.singleDay = int(day.Unix() / 86400)
		} else if strings.Contains(text, "=") {
			c, err = parseRule(text)
		}
		if err != nil {
			return nil, fmt.Errorf(".closed[%d]: %q is neither a day, as 2027-12-24, nor a rule", i, text)
		}
		x.closedDays = append(x.closedDays, c)
	}
	return x, nil
}

// parseTimeOfDay reads a time of day.
func parseTimeOfDay(s string) (int, bool) {
	h, m, ok := strings.Cut(s, ":")
	hour, err := strconv.Atoi(h)
	minute, err2 := strconv.Atoi(m)
	n := hour*60 + minute
	return n, ok && err == nil && err2 == nil && len(m) == 2 && hour >= 0 && minute >= 0 && minute < 60 && n <= 24*60
}

// parseRule reads a rule of days; it has neither a start nor an end of its own.
func parseRule(text string) (dayRule, error) {
	if text == "" {
		return dayRule{}, nil
	}
	o, err := rrule.StrToROption(text)
	if err == nil &&
		(o.Freq > rrule.DAILY || o.Count > 0 || !o.Until.IsZero() || !o.Dtstart.IsZero() || o.Interval > 1 || len(o.Byhour)+len(o.Byminute)+len(o.Bysecond) > 0) {
		err = errors.New("only rules of days are allowed, without count, interval, start or end")
	}
	return dayRule{rule: o}, err
}

// includes reports whether a day, in days since 1970, is one of the calendar's.
func (c *dayRule) includes(day int) bool {
	if c.rule == nil {
		return c.singleDay == 0 || c.singleDay == day
	}
	at := time.Unix(int64(day)*86400, 0).UTC()
	days, ok := c.matchingDays[at.Year()]
	if !ok {
		first := time.Date(at.Year(), 1, 1, 0, 0, 0, 0, time.UTC)
		o := *c.rule
		o.Dtstart = first
		days = map[int]bool{}
		if r, err := rrule.NewRRule(o); err == nil { // it was checked by making one
			for _, d := range r.Between(first, first.AddDate(1, 0, -1), true) {
				days[int(d.Unix()/86400)] = true
			}
		}
		if c.matchingDays == nil {
			c.matchingDays = map[int]map[int]bool{}
		}
		c.matchingDays[at.Year()] = days
	}
	return days[day]
}

// dayOf is the day of a time in the site's zone, in days since 1970.
func (s *Inventory) dayOf(at int64) int {
	y, m, d := time.Unix(at, 0).In(s.location).Date()
	return int(time.Date(y, m, d, 0, 0, 0, 0, time.UTC).Unix() / 86400)
}

// timeOnDay is the time at which the clocks of the site show so many minutes of a day. Where they
// are put forward over it, it is the moment at which they are; where they show it twice, the first.
func (s *Inventory) timeOnDay(day, minute int) int64 {
	y, m, d := time.Unix(int64(day)*86400, 0).UTC().Date()
	t := time.Date(y, m, d, minute/60, minute%60, 0, 0, s.location)
	want := time.Date(y, m, d, minute/60, minute%60, 0, 0, time.UTC).Unix()
	_, off := t.Zone()
	if t.Unix()+int64(off) != want { // it is not shown: the change lies between what two offsets make of it
		from, to := t.ZoneBounds()
		if t.Unix()+int64(off) > want {
			return from.Unix()
		}
		return to.Unix()
	}
	if from, _ := t.ZoneBounds(); !from.IsZero() {
		_, before := from.Add(-time.Second).Zone()
		if first := want - int64(before); first < from.Unix() {
			return first
		}
	}
	return t.Unix()
}

// openingOn is when a piece is open on a day; of several hours of the same day, the first counts.
func (s *Inventory) openingOn(p *equipmentItem, day int) (interval, bool) {
	if o, ok := p.openingCache[day]; ok {
		return o, o.from < o.to
	}
	var o interval
	shut := slices.ContainsFunc(p.closedDays, func(c dayRule) bool { return c.includes(day) })
	switch {
	case shut:
	case len(p.openingRules) == 0:
		o = interval{s.timeOnDay(day, 0), s.timeOnDay(day+1, 0)}
	default:
		for i := range p.openingRules {
			if h := &p.openingRules[i]; h.days.includes(day) {
				o = interval{s.timeOnDay(day, h.fromMinute), s.timeOnDay(day, h.toMinute)}
				if h.toMinute == 24*60 {
					o.to = s.timeOnDay(day+1, 0)
				}
				break
			}
		}
	}
	if len(p.openingCache) > 4000 {
		clear(p.openingCache)
	}
	p.openingCache[day] = o
	return o, o.from < o.to
}

// checkSlots tells why a time is not one of a piece's slots; nil if it is.
func (s *Inventory) checkSlots(p *equipmentItem, from int64, slots int) error {
	year := time.Unix(from, 0).UTC().Year()
	if year < firstYear || year >= lastYear {
		return errors.New("no time at which something can be booked")
	}
	o, ok := s.openingOn(p, s.dayOf(from))
	if !ok || from < o.from || from >= o.to {
		return fmt.Errorf("%s is closed at %s", p.Name, s.FormatTime(from))
	}
	if off := (from - o.from) % p.slotSeconds; off != 0 {
		return fmt.Errorf(
			"slots of %s are %d minutes from %s on: the next begins at %s",
			p.Name,
			p.SlotMinutes,
			s.FormatTime(o.from),
			s.FormatTime(from-off+p.slotSeconds),
		)
	}
	to := from + int64(slots)*p.slotSeconds
	for o.to < to {
		next, ok := s.openingOn(p, s.dayOf(o.to))
		if !ok || next.from != o.to {
			return fmt.Errorf("%s closes at %s", p.Name, s.FormatTime(o.to))
		}
		o = next
	}
	return nil
}

// FormatTime is a time as the site's clocks show it.
func (s *Inventory) FormatTime(at int64) string {
	return time.Unix(at, 0).In(s.location).Format(time.RFC3339)
}

// ParseTime reads a time: as the site's clocks show it, 2027-03-04T08:00, or with an offset.
func (s *Inventory) ParseTime(text string) (int64, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.Unix(), nil
	}
	if t, err := time.Parse("2006-01-02T15:04Z07:00", text); err == nil {
		return t.Unix(), nil
	}
	t, err := time.Parse(clockFormat, text)
	if err != nil {
		return 0, fmt.Errorf("%q is no time: write 2027-03-04T08:00, or with an offset 2027-03-04T08:00+01:00", text)
	}
	at := s.timeOnDay(int(t.Unix()/86400), t.Hour()*60+t.Minute())
	if time.Unix(at, 0).In(s.location).Format(clockFormat) != text {
		return 0, fmt.Errorf("the clocks never show %s in %s", text, s.location)
	}
	return at, nil
}

// ParseDay reads a day and tells when it begins and ends.
func (s *Inventory) ParseDay(text string) (from, to int64, err error) {
	t, err := time.Parse(dayFormat, text)
	if err != nil {
		return 0, 0, fmt.Errorf("%q is no day: write 2027-03-04", text)
	}
	day := int(t.Unix() / 86400)
	return s.timeOnDay(day, 0), s.timeOnDay(day+1, 0), nil
}

// Source is the list as it was checked; it must not be changed.
func (s *Inventory) Source() *pb.Equipment { return s.source }

// candidates are the pieces that a want may be met by.
func (s *Inventory) candidates(w *pb.Want) []*equipmentItem {
	if w.Piece != "" {
		if p := s.itemsByName[w.Piece]; p != nil {
			return []*equipmentItem{p}
		}
		return nil
	}
	var out []*equipmentItem
	for _, p := range s.items {
		if p.Kind == w.Kind && (w.Zone == "" || p.Zone == w.Zone) {
			out = append(out, p)
		}
	}
	return out
}

// allowsTeam reports whether a team may book a piece.
func (p *equipmentItem) allowsTeam(team string) bool {
	return len(p.Teams) == 0 || slices.Contains(p.Teams, team)
}

// isUnitUsable reports whether there is a unit and it is in order.
func (p *equipmentItem) isUnitUsable(unit int) bool {
	return unit >= 1 && unit <= p.unitCount && !slices.Contains(p.Out, uint32(unit))
}

// ItemKind is that of a piece, "" if there is none of that name.
func (s *Inventory) ItemKind(name string) string {
	if p := s.itemsByName[name]; p != nil {
		return p.Piece.Kind
	}
	return ""
}

// WantKind is the kind that a want is about.
func (s *Inventory) WantKind(w *pb.Want) string {
	if w.Piece != "" {
		return s.ItemKind(w.Piece)
	}
	return w.Kind
}
