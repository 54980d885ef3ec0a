package booking

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/teambition/rrule-go"
	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// Limits of a booking.
const (
	MostWants   = 60          // slots of a booking
	mostSlots   = 1000        // of a want, in the piece's slots
	mostHold    = 7 * 24 * 60 // minutes
	shownFree   = 3           // times that are named instead of one that is taken
	lookAhead   = 60          // days for which free times are looked for
	MostWaiting = 2000        // bookings on waiting lists
	mostWhy     = 200         // bytes of a reason
	mostYears   = 10          // that a series may take
)

var validID = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// ValidID reports whether a booking may have an id.
func ValidID(id string) bool { return validID.MatchString(id) }

// Wish is what a user asks for.
type Wish struct {
	Verb    Verb
	ID      string
	Team    string
	Who     string
	Wants   []*pb.Want // of Make and Move
	HoldS   uint32     // of Make: held so long, until it is confirmed; 0: it is confirmed at once
	Rank    uint32     // of Make: on the waiting list
	Wait    bool       // of Make: if it is not to be had, it goes on the waiting list
	Why     string     // of End
	Replace *Site      // of Equip
	EndThem bool       // of Equip: bookings that the new list has no place for are ended, for Why
}

// Verb is what a wish is about.
type Verb int

// Verbs.
const (
	Make Verb = iota
	Confirm
	Move
	End
	Equip
)

// Outcome is what became of a wish.
type Outcome int

// Outcomes.
const (
	Done    Outcome = iota
	Again           // it was done before
	Refused         // it can't be had: Why tells what is in its way
	Bad             // nothing like it can ever be had
	Unknown         // there is no such booking
)

// Answer tells what became of a wish.
type Answer struct {
	Outcome   Outcome
	Why       string
	Booking   *pb.Booking // as it stands
	Free      []Free      // what could be had instead
	Displaced []*pb.Booking
}

// Free is a time at which a piece could be booked.
type Free struct {
	Piece    string
	From, To int64
}

// Decide answers a wish, and puts what it changes into a draft. now is the time of day in s. A wish that is granted holds once the draft
// is stored, on condition that nothing else was stored since the ledger was read.
func (s *Site) Decide(d *Draft, now int64, w *Wish) Answer {
	var a Answer
	switch w.Verb {
	case Make:
		a = s.make(d, now, w)
	case Equip:
		a = s.replaced(d, now, w)
	default:
		b := d.l.byID[w.ID]
		switch {
		case b == nil:
			return Answer{Outcome: Unknown, Why: "there is no booking " + w.ID}
		case w.Verb == Confirm:
			a = confirm(d, b)
		case w.Verb == Move:
			a = s.move(d, now, b, w)
		case b.State != pb.BookingState_ended && Over(b, now):
			a = refused(b, "%s is over", b.Id)
		default:
			a = end(d, now, b, cmp.Or(short(w.Why), "ended by its booker"))
		}
	}
	if a.Outcome == Done && w.Verb != Make && w.Verb != Confirm {
		after := s
		if w.Verb == Equip {
			after = w.Replace
		}
		after.Advance(d, now)
	}
	if a.Booking != nil {
		a.Booking = d.l.byID[a.Booking.Id]
	}
	return a
}

func short(why string) string { return why[:min(len(why), mostWhy)] }

func refused(b *pb.Booking, format string, args ...any) Answer {
	return Answer{Outcome: Refused, Booking: b, Why: fmt.Sprintf(format, args...)}
}

// Due reports whether Advance would change something.
func (l *Ledger) Due(now int64) bool {
	for _, b := range l.held {
		if b.HeldUntil <= now {
			return true
		}
	}
	return slices.ContainsFunc(l.waiting, func(b *pb.Booking) bool { return begun(b.Wants, now) })
}

func begun(wants []*pb.Want, now int64) bool {
	return slices.ContainsFunc(wants, func(w *pb.Want) bool { return w.From <= now })
}

// Advance ends what time has ended, and gives what is free to those who wait for it, the first first. After it, nobody waits for what
// they could have; so whoever comes later gets nothing ahead of them.
func (s *Site) Advance(d *Draft, now int64) {
	var over []*pb.Booking
	for _, b := range d.l.held {
		if b.HeldUntil <= now {
			over = append(over, b)
		}
	}
	slices.SortFunc(over, func(a, b *pb.Booking) int { return cmp.Compare(a.Change, b.Change) })
	for _, b := range over {
		end(d, now, b, "its hold ran out unconfirmed")
	}
	for _, b := range slices.Clone(d.l.waiting) {
		if begun(b.Wants, now) {
			end(d, now, b, "nothing had become free when it was to begin")
			continue
		}
		if slots, _, err := s.find(d.l, b.Id, b.Team, b.Wants); err == nil {
			n := copied(b)
			n.Slots, n.Wants = slots, nil
			s.grant(n, now)
			d.put(n)
		}
	}
}

func copied(b *pb.Booking) *pb.Booking {
	n := protobuf.CloneOf(b)
	n.Change = 0
	return n
}

// grant gives a booking its slots.
func (s *Site) grant(b *pb.Booking, now int64) {
	b.State = pb.BookingState_confirmed
	if b.HoldS > 0 {
		b.State, b.HeldUntil = pb.BookingState_held, now+int64(b.HoldS)
	}
}

func digest(w *Wish) uint64 {
	var t strings.Builder
	fmt.Fprintf(&t, "%s|%s|%d|%d|%v", w.ID, w.Team, w.HoldS, w.Rank, w.Wait)
	for _, x := range w.Wants {
		fmt.Fprintf(&t, "|%s,%s,%s,%d,%d", x.Piece, x.Kind, x.Zone, x.From, x.Slots)
	}
	return xxhash.Sum64String(t.String())
}

// make books something new.
func (s *Site) make(d *Draft, now int64, w *Wish) Answer {
	asked := digest(w)
	if b := d.l.byID[w.ID]; b != nil {
		if b.Asked != asked || b.Who != w.Who {
			return refused(b, "%s is the id of another booking", w.ID)
		}
		return Answer{Outcome: Again, Booking: b}
	}
	if why := s.judge(w.Team, w.Wants, now); why != nil {
		return Answer{Outcome: Bad, Why: why.Error()}
	}
	if w.HoldS > mostHold*60 {
		return Answer{Outcome: Bad, Why: fmt.Sprintf("may be held for %d minutes at most", mostHold)}
	}
	n := &pb.Booking{Id: w.ID, Team: w.Team, Who: w.Who, HoldS: w.HoldS, Rank: w.Rank, Asked: asked}
	slots, at, err := s.find(d.l, w.ID, w.Team, w.Wants)
	switch {
	case err == nil:
		n.Slots = slots
		s.grant(n, now)
	case w.Wait && len(d.l.waiting) >= MostWaiting:
		return refused(nil, "%s, and %d bookings wait already", err, len(d.l.waiting))
	case w.Wait:
		n.State, n.Wants = pb.BookingState_waiting, w.Wants
	default:
		a := refused(nil, "%s", err)
		a.Free = s.Next(d.l, w.ID, w.Team, w.Wants[at], max(now, w.Wants[at].From), 0, shownFree)
		return a
	}
	d.put(n)
	return Answer{Booking: n}
}

// judge tells why wants can never be met.
func (s *Site) judge(team string, wants []*pb.Want, now int64) error {
	if len(wants) == 0 || len(wants) > MostWants {
		return fmt.Errorf("%d slots, must be from 1 to %d", len(wants), MostWants)
	}
	for _, w := range wants {
		if w.Slots < 1 || w.Slots > mostSlots {
			return fmt.Errorf("%d slots in a row, must be from 1 to %d", w.Slots, mostSlots)
		}
		if w.From < now {
			return fmt.Errorf("%s is past", s.Text(w.From))
		}
		list := s.candidates(w)
		if len(list) == 0 {
			return fmt.Errorf("there is no %s", cmp.Or(w.Piece, strings.TrimSpace(w.Kind+" "+w.Zone)))
		}
		var why error
		for _, p := range list {
			if !p.admits(team) {
				why = cmp.Or(why, fmt.Errorf("team %s may not book %s", team, p.Name))
			} else if err := s.fits(p, w.From, int(w.Slots)); err != nil {
				why = cmp.Or(why, err)
			} else {
				why = nil
				break
			}
		}
		if why != nil {
			return why
		}
	}
	return nil
}

// mostTries bounds the search for a way to have several slots together.
const mostTries = 5000

// search is a search for units for all wants.
type search struct {
	s     *Site
	l     *Ledger
	id    string
	team  string
	wants []*pb.Want
	order []int // in which they are looked at: those with the least choice first, as one that has more must not take what these need
	slots []*pb.Slot
	tries int
	deep  int // how many could be had together at most
	at    int // the want that could not be had beside these
	why   error
}

// find chooses a unit for each want, all or none. If there is no way, it tells for which want and why.
func (s *Site) find(l *Ledger, id, team string, wants []*pb.Want) (slots []*pb.Slot, at int, err error) {
	x := &search{s: s, l: l, id: id, team: team, wants: wants, slots: make([]*pb.Slot, len(wants)), deep: -1}
	for i := range wants {
		x.order = append(x.order, i)
	}
	slices.SortStableFunc(x.order, func(a, b int) int { return cmp.Compare(len(s.candidates(wants[a])), len(s.candidates(wants[b]))) })
	if x.from(0) {
		return x.slots, 0, nil
	}
	return nil, x.at, x.why
}

// from chooses units for the wants from one on in the order.
func (x *search) from(n int) bool {
	if n == len(x.order) {
		return true
	}
	i := x.order[n]
	w := x.wants[i]
	var why error
	for _, p := range x.s.candidates(w) {
		if !p.admits(x.team) || x.s.fits(p, w.From, int(w.Slots)) != nil {
			continue
		}
		to := w.From + int64(w.Slots)*p.slot
		at := span{w.From, to + p.cool}
		free := int64(0) // when the first of its units could be had
		for u := uint32(1); int(u) <= p.units; u++ {
			if !p.works(int(u)) {
				continue
			}
			if o, ok := x.l.blocked(unit{p.Name, u}, at, x.id); ok {
				free = cmp.Or(min(free, o.to), free, o.to)
				continue
			}
			own := slices.IndexFunc(x.order[:n], func(k int) bool {
				o := x.slots[k]
				return o.Piece == p.Name && o.Unit == u && o.From < at.to && at.from < o.Clear
			})
			if own >= 0 {
				o := x.slots[x.order[own]]
				free = cmp.Or(min(free, o.Clear), free, o.Clear)
				continue
			}
			x.slots[i] = &pb.Slot{Piece: p.Name, Unit: u, From: w.From, To: to, Clear: at.to}
			if x.tries++; x.tries > mostTries || x.from(n+1) {
				return x.tries <= mostTries
			}
		}
		switch {
		case why != nil:
		case free == 0:
			why = fmt.Errorf("%s has no unit in order at %s", p.Name, x.s.Text(w.From))
		default:
			why = fmt.Errorf("%s is taken at %s, until %s", p.Name, x.s.Text(w.From), x.s.Text(free))
		}
	}
	if n > x.deep {
		x.deep, x.at, x.why = n, i, cmp.Or(why, errors.New("it fits nowhere"))
	}
	return false
}

func confirm(d *Draft, b *pb.Booking) Answer {
	switch b.State {
	case pb.BookingState_confirmed:
		return Answer{Outcome: Again, Booking: b}
	case pb.BookingState_held:
		n := copied(b)
		n.State, n.HeldUntil = pb.BookingState_confirmed, 0
		d.put(n)
		return Answer{Booking: n}
	case pb.BookingState_waiting:
		return refused(b, "%s waits for its slots", b.Id)
	}
	return refused(b, "%s has ended: %s", b.Id, b.Why)
}

// move has a booking have other slots instead of its own, or keep them.
func (s *Site) move(d *Draft, now int64, b *pb.Booking, w *Wish) Answer {
	if b.State == pb.BookingState_ended {
		return refused(b, "%s has ended: %s", b.Id, b.Why)
	}
	if s.has(b, w.Wants) {
		return Answer{Outcome: Again, Booking: b}
	}
	if Over(b, now) {
		return refused(b, "%s is over", b.Id)
	}
	if why := s.judge(b.Team, w.Wants, now); why != nil {
		return Answer{Outcome: Bad, Why: why.Error()}
	}
	n := copied(b)
	slots, at, err := s.find(d.l, b.Id, b.Team, w.Wants)
	switch {
	case err == nil && b.State == pb.BookingState_waiting:
		n.Slots, n.Wants = slots, nil
		s.grant(n, now)
	case err == nil:
		n.Slots = slots
	default:
		a := refused(b, "%s", err)
		a.Free = s.Next(d.l, b.Id, b.Team, w.Wants[at], max(now, w.Wants[at].From), 0, shownFree)
		return a
	}
	d.put(n)
	return Answer{Booking: n}
}

// has reports whether a booking has what is wanted: a move that is repeated finds that it was made.
func (s *Site) has(b *pb.Booking, wants []*pb.Want) bool {
	if b.State == pb.BookingState_waiting || len(b.Slots) != len(wants) {
		return false
	}
	for i, w := range wants {
		x := b.Slots[i]
		p := s.pieces[x.Piece]
		if p == nil || x.From != w.From || x.To != w.From+int64(w.Slots)*p.slot || !slices.Contains(s.candidates(w), p) {
			return false
		}
	}
	return true
}

func end(d *Draft, now int64, b *pb.Booking, why string) Answer {
	if b.State == pb.BookingState_ended {
		return Answer{Outcome: Again, Booking: b}
	}
	n := copied(b)
	n.State, n.Why, n.EndedAt, n.HeldUntil = pb.BookingState_ended, why, now, 0
	d.put(n)
	return Answer{Booking: n}
}

// Over reports whether nothing about a booking changes any more: it ended, or its time is past.
func Over(b *pb.Booking, now int64) bool {
	switch b.State {
	case pb.BookingState_ended:
		return true
	case pb.BookingState_confirmed:
		return !slices.ContainsFunc(b.Slots, func(x *pb.Slot) bool { return x.Clear > now })
	}
	return false
}

// MostDisplaced is how many bookings one change of the list may end: they are stored together.
const MostDisplaced = 40

// replaced puts another list of equipment in the place of this one. What it has no place for is told, and ended only if that is asked for.
func (s *Site) replaced(d *Draft, now int64, w *Wish) Answer {
	out := w.Replace.Displaced(d.l, now)
	switch {
	case len(out) == 0:
	case !w.EndThem:
		a := refused(nil, "%d bookings have no place in the new list; end or move them, or say that they are ended with it, and why", len(out))
		a.Displaced = out
		return a
	case w.Why == "":
		return Answer{Outcome: Bad, Why: "a reason is needed"}
	case len(out) > MostDisplaced:
		a := refused(nil, "%d bookings have no place in the new list, more than the %d that can be ended with it", len(out), MostDisplaced)
		a.Displaced = out
		return a
	}
	for _, b := range out {
		end(d, now, b, short(w.Why))
	}
	return Answer{Displaced: out}
}

// Displaced lists the bookings that have or want what the list has no place for, in the order in which they were made. A booking keeps the
// length and the cooling time that it was made with.
func (s *Site) Displaced(l *Ledger, now int64) (out []*pb.Booking) {
	for _, b := range l.byID {
		switch b.State {
		case pb.BookingState_held, pb.BookingState_confirmed:
			if slices.ContainsFunc(b.Slots, func(x *pb.Slot) bool { return x.To > now && !s.holds(b.Team, x) }) {
				out = append(out, b)
			}
		case pb.BookingState_waiting:
			if !begun(b.Wants, now) && s.judge(b.Team, b.Wants, now) != nil {
				out = append(out, b)
			}
		}
	}
	slices.SortFunc(out, func(a, b *pb.Booking) int { return cmp.Compare(a.Made, b.Made) })
	return out
}

// holds reports whether a slot lies in what the list offers to a team.
func (s *Site) holds(team string, x *pb.Slot) bool {
	p := s.pieces[x.Piece]
	if p == nil || !p.works(int(x.Unit)) || !p.admits(team) {
		return false
	}
	for at := x.From; at < x.To; {
		o, ok := s.openOn(p, s.dayOf(at))
		if !ok || at < o.from || at >= o.to {
			return false
		}
		at = o.to
	}
	return true
}

// Next lists the first times from one on, until another if it is not 0, at which a want could be had; by a booking with an id, what it
// has itself is not in its way.
func (s *Site) Next(l *Ledger, id, team string, w *pb.Want, from, by int64, most int) (out []Free) {
	for day, last := s.dayOf(from), s.dayOf(from)+lookAhead; day <= last && len(out) < most; day++ {
		var today []Free
		for _, p := range s.candidates(w) {
			o, ok := s.openOn(p, day)
			if !ok || !p.admits(team) {
				continue
			}
			at := o.from
			if at < from {
				at += (from - at + p.slot - 1) / p.slot * p.slot
			}
			for n := 0; at < o.to && n < most; at += p.slot {
				t := &pb.Want{Piece: p.Name, From: at, Slots: max(1, w.Slots)}
				if by != 0 && at+int64(t.Slots)*p.slot > by {
					break
				}
				if x, _, err := s.find(l, id, team, []*pb.Want{t}); err == nil {
					today = append(today, Free{p.Name, x[0].From, x[0].To})
					n++
				}
			}
		}
		slices.SortStableFunc(today, func(a, b Free) int { return cmp.Compare(a.From, b.From) })
		out = append(out, today[:min(len(today), most-len(out))]...)
	}
	return out
}

// Day lists the bookings that have a piece at some time between two, in the order of time.
func (l *Ledger) Day(site *Site, name string, from, to int64) (out []*pb.Booking, ok bool) {
	p := site.pieces[name]
	if p == nil {
		return nil, false
	}
	for n := uint32(1); int(n) <= p.units; n++ {
		list := l.taken[unit{name, n}]
		i, _ := slices.BinarySearchFunc(list, to, func(x use, to int64) int { return cmp.Compare(x.from, to) })
		for i--; i >= 0 && list[i].to > from; i-- {
			out = append(out, l.byID[list[i].id])
		}
	}
	slices.SortFunc(out, func(a, b *pb.Booking) int {
		return cmp.Or(cmp.Compare(a.Slots[0].From, b.Slots[0].From), strings.Compare(a.Id, b.Id))
	})
	return slices.Compact(out), true
}

// Waiting lists the waiting list, the first first.
func (l *Ledger) Waiting() []*pb.Booking { return slices.Clone(l.waiting) }

// Repeat makes a want that comes again by a rule of recurrence one for each time: at the same time of the site's clocks.
func (s *Site) Repeat(w *pb.Want, rule string) ([]*pb.Want, error) {
	o, err := rrule.StrToROption(rule)
	if err != nil {
		return nil, fmt.Errorf("rule of recurrence: %w", err)
	}
	if o.Freq > rrule.DAILY || o.Count < 1 || o.Count > MostWants || !o.Dtstart.IsZero() || len(o.Byhour)+len(o.Byminute)+len(o.Bysecond) > 0 {
		return nil, fmt.Errorf("rule of recurrence: days, weeks, months or years with a COUNT from 1 to %d", MostWants)
	}
	local := time.Unix(w.From, 0).In(s.zone)
	o.Dtstart = time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, time.UTC)
	if last := o.Dtstart.AddDate(mostYears, 0, 0); o.Until.IsZero() || o.Until.After(last) {
		o.Until = last // a rule that names no day is looked for until then
	}
	r, err := rrule.NewRRule(*o)
	if err != nil {
		return nil, fmt.Errorf("rule of recurrence: %w", err)
	}
	var out []*pb.Want
	for _, day := range r.All() {
		n := protobuf.CloneOf(w)
		n.From = s.clock(int(day.Unix()/86400), local.Hour()*60+local.Minute())
		out = append(out, n)
	}
	if len(out) == 0 {
		return nil, errors.New("rule of recurrence: it names no day")
	}
	return out, nil
}
