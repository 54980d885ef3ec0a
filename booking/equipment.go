// Package booking decides who has shared equipment when. It is pure: it reads no file, asks nobody and knows no
// clock; the same bookings, the same list of equipment, the same time and the same wish always give the same answer.
// What must outlast a controller comes in as values of the state service and goes out as changes of them (core/booking).
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
	mostPieces  = 500
	mostUnits   = 200     // of a piece
	mostSlot    = 24 * 60 // minutes
	mostCool    = 7 * 24 * 60
	mostRules   = 50 // of a piece, each kind
	firstYear   = 2000
	lastYear    = 2100
	dayFormat   = "2006-01-02"
	clockFormat = "2006-01-02T15:04"
)

var name = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,39}$`)

// Site is a list of equipment, checked. It never changes but for what it remembers of the calendar; it is for one goroutine.
type Site struct {
	source *pb.Equipment
	zone   *time.Location
	pieces map[string]*piece
	order  []*piece
}

type piece struct {
	*pb.Piece
	slot, cool int64 // s
	units      int
	hours      []hours
	closed     []calendar
	open       map[int]span // the day's hours, by days since 1970
}

type hours struct {
	days     calendar
	from, to int // minutes of the day
}

// span is a time, in s since 1970; the end is not in it.
type span struct{ from, to int64 }

// calendar is the days of a rule.
type calendar struct {
	only  int            // a single day, in days since 1970, if there is no rule
	rule  *rrule.ROption // nil: only, or every day if only is 0
	years map[int]map[int]bool
}

// Parse reads a list in protobuf text format. An error is one line and names the place.
func Parse(text []byte) (*Site, error) {
	var e pb.Equipment
	if err := prototext.Unmarshal(text, &e); err != nil {
		return nil, err
	}
	return NewSite(&e)
}

// NewSite checks a list.
func NewSite(e *pb.Equipment) (*Site, error) {
	zone, err := time.LoadLocation(e.TimeZone)
	if err != nil || strings.EqualFold(e.TimeZone, "local") {
		return nil, fmt.Errorf("time_zone: %q is no time zone", e.TimeZone)
	}
	if len(e.Pieces) > mostPieces {
		return nil, fmt.Errorf("%d pieces, at most %d are allowed", len(e.Pieces), mostPieces)
	}
	s := &Site{source: e, zone: zone, pieces: map[string]*piece{}}
	for i, p := range e.Pieces {
		x, err := newPiece(p)
		if err == nil && s.pieces[p.Name] != nil {
			err = errors.New(".name: used twice")
		}
		if err != nil {
			return nil, fmt.Errorf("pieces[%d] (%s)%w", i, p.Name, err)
		}
		s.pieces[p.Name] = x
		s.order = append(s.order, x)
	}
	return s, nil
}

func newPiece(p *pb.Piece) (*piece, error) {
	x := &piece{Piece: p, slot: 60 * int64(p.SlotMinutes), cool: 60 * int64(p.CoolMinutes), units: max(1, int(p.Units)), open: map[int]span{}}
	switch {
	case !name.MatchString(p.Name):
		return nil, fmt.Errorf(".name: %q is no name", p.Name)
	case !name.MatchString(p.Kind):
		return nil, fmt.Errorf(".kind: %q is no name", p.Kind)
	case x.units > mostUnits:
		return nil, fmt.Errorf(".units: %d, at most %d are allowed", x.units, mostUnits)
	case p.SlotMinutes < 1 || p.SlotMinutes > mostSlot:
		return nil, fmt.Errorf(".slot_minutes: %d, must be from 1 to %d", p.SlotMinutes, mostSlot)
	case p.CoolMinutes > mostCool:
		return nil, fmt.Errorf(".cool_minutes: %d, at most %d are allowed", p.CoolMinutes, mostCool)
	case len(p.Hours) > mostRules || len(p.Closed) > mostRules:
		return nil, fmt.Errorf(": %d hours and %d closed, at most %d of each are allowed", len(p.Hours), len(p.Closed), mostRules)
	}
	for _, u := range p.Out {
		if u < 1 || int(u) > x.units {
			return nil, fmt.Errorf(".out: there is no unit %d", u)
		}
	}
	for i, h := range p.Hours {
		c, err := parseRule(h.Rule)
		if err != nil {
			return nil, fmt.Errorf(".hours[%d].rule: %w", i, err)
		}
		from, ok := minutes(h.From)
		to, ok2 := minutes(h.To)
		if !ok || !ok2 || from >= to {
			return nil, fmt.Errorf(".hours[%d]: from %q to %q is no time of a day", i, h.From, h.To)
		}
		x.hours = append(x.hours, hours{c, from, to})
	}
	for i, text := range p.Closed {
		c := calendar{}
		day, err := time.Parse(dayFormat, text)
		if err == nil {
			c.only = int(day.Unix() / 86400)
		} else if strings.Contains(text, "=") {
			c, err = parseRule(text)
		}
		if err != nil {
			return nil, fmt.Errorf(".closed[%d]: %q is neither a day, as 2027-12-24, nor a rule", i, text)
		}
		x.closed = append(x.closed, c)
	}
	return x, nil
}

// minutes reads a time of day.
func minutes(s string) (int, bool) {
	h, m, ok := strings.Cut(s, ":")
	hour, err := strconv.Atoi(h)
	minute, err2 := strconv.Atoi(m)
	n := hour*60 + minute
	return n, ok && err == nil && err2 == nil && len(m) == 2 && hour >= 0 && minute >= 0 && minute < 60 && n <= 24*60
}

// parseRule reads a rule of days; it has neither a start nor an end of its own.
func parseRule(text string) (calendar, error) {
	if text == "" {
		return calendar{}, nil
	}
	o, err := rrule.StrToROption(text)
	if err == nil && (o.Freq > rrule.DAILY || o.Count > 0 || !o.Until.IsZero() || !o.Dtstart.IsZero() || o.Interval > 1 || len(o.Byhour)+len(o.Byminute)+len(o.Bysecond) > 0) {
		err = errors.New("only rules of days are allowed, without count, interval, start or end")
	}
	return calendar{rule: o}, err
}

// on reports whether a day, in days since 1970, is one of the calendar's.
func (c *calendar) on(day int) bool {
	if c.rule == nil {
		return c.only == 0 || c.only == day
	}
	at := time.Unix(int64(day)*86400, 0).UTC()
	days, ok := c.years[at.Year()]
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
		if c.years == nil {
			c.years = map[int]map[int]bool{}
		}
		c.years[at.Year()] = days
	}
	return days[day]
}

// dayOf is the day of a time in the site's zone, in days since 1970.
func (s *Site) dayOf(at int64) int {
	y, m, d := time.Unix(at, 0).In(s.zone).Date()
	return int(time.Date(y, m, d, 0, 0, 0, 0, time.UTC).Unix() / 86400)
}

// clock is the time at which the clocks of the site show so many minutes of a day. Where they are put forward over it, it is the
// moment at which they are; where they show it twice, the first.
func (s *Site) clock(day, minute int) int64 {
	y, m, d := time.Unix(int64(day)*86400, 0).UTC().Date()
	t := time.Date(y, m, d, minute/60, minute%60, 0, 0, s.zone)
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

// openOn is when a piece is open on a day; of several hours of the same day, the first counts.
func (s *Site) openOn(p *piece, day int) (span, bool) {
	if o, ok := p.open[day]; ok {
		return o, o.from < o.to
	}
	var o span
	shut := slices.ContainsFunc(p.closed, func(c calendar) bool { return c.on(day) })
	switch {
	case shut:
	case len(p.hours) == 0:
		o = span{s.clock(day, 0), s.clock(day+1, 0)}
	default:
		for i := range p.hours {
			if h := &p.hours[i]; h.days.on(day) {
				o = span{s.clock(day, h.from), s.clock(day, h.to)}
				if h.to == 24*60 {
					o.to = s.clock(day+1, 0)
				}
				break
			}
		}
	}
	if len(p.open) > 4000 {
		clear(p.open)
	}
	p.open[day] = o
	return o, o.from < o.to
}

// fits tells why a time is not one of a piece's slots; nil if it is.
func (s *Site) fits(p *piece, from int64, slots int) error {
	year := time.Unix(from, 0).UTC().Year()
	if year < firstYear || year >= lastYear {
		return errors.New("no time at which something can be booked")
	}
	o, ok := s.openOn(p, s.dayOf(from))
	if !ok || from < o.from || from >= o.to {
		return fmt.Errorf("%s is closed at %s", p.Name, s.Text(from))
	}
	if off := (from - o.from) % p.slot; off != 0 {
		return fmt.Errorf("slots of %s are %d minutes from %s on: the next begins at %s", p.Name, p.SlotMinutes, s.Text(o.from), s.Text(from-off+p.slot))
	}
	to := from + int64(slots)*p.slot
	for o.to < to {
		next, ok := s.openOn(p, s.dayOf(o.to))
		if !ok || next.from != o.to {
			return fmt.Errorf("%s closes at %s", p.Name, s.Text(o.to))
		}
		o = next
	}
	return nil
}

// Text is a time as the site's clocks show it.
func (s *Site) Text(at int64) string { return time.Unix(at, 0).In(s.zone).Format(time.RFC3339) }

// Time reads a time: as the site's clocks show it, 2027-03-04T08:00, or with an offset.
func (s *Site) Time(text string) (int64, error) {
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
	at := s.clock(int(t.Unix()/86400), t.Hour()*60+t.Minute())
	if time.Unix(at, 0).In(s.zone).Format(clockFormat) != text {
		return 0, fmt.Errorf("the clocks never show %s in %s", text, s.zone)
	}
	return at, nil
}

// Day reads a day and tells when it begins and ends.
func (s *Site) Day(text string) (from, to int64, err error) {
	t, err := time.Parse(dayFormat, text)
	if err != nil {
		return 0, 0, fmt.Errorf("%q is no day: write 2027-03-04", text)
	}
	day := int(t.Unix() / 86400)
	return s.clock(day, 0), s.clock(day+1, 0), nil
}

// Source is the list as it was checked; it must not be changed.
func (s *Site) Source() *pb.Equipment { return s.source }

// candidates are the pieces that a want may be met by.
func (s *Site) candidates(w *pb.Want) []*piece {
	if w.Piece != "" {
		if p := s.pieces[w.Piece]; p != nil {
			return []*piece{p}
		}
		return nil
	}
	var out []*piece
	for _, p := range s.order {
		if p.Kind == w.Kind && (w.Zone == "" || p.Zone == w.Zone) {
			out = append(out, p)
		}
	}
	return out
}

// admits reports whether a team may book a piece.
func (p *piece) admits(team string) bool { return len(p.Teams) == 0 || slices.Contains(p.Teams, team) }

// works reports whether there is a unit and it is in order.
func (p *piece) works(unit int) bool {
	return unit >= 1 && unit <= p.units && !slices.Contains(p.Out, uint32(unit))
}

// Kind is that of a piece, "" if there is none of that name.
func (s *Site) Kind(name string) string {
	if p := s.pieces[name]; p != nil {
		return p.Piece.Kind
	}
	return ""
}

// KindOf is the kind that a want is about.
func (s *Site) KindOf(w *pb.Want) string {
	if w.Piece != "" {
		return s.Kind(w.Piece)
	}
	return w.Kind
}
