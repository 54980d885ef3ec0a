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
	MaxWants        = 60          // slots of a booking
	maxSlotsPerWant = 1000        // of a want, in the piece's slots
	maxHoldMinutes  = 7 * 24 * 60 // minutes
	maxAlternatives = 3           // times that are named instead of one that is taken
	searchDays      = 60          // days for which free times are looked for
	MaxWaitlist     = 2000        // bookings on waiting lists
	maxReasonBytes  = 200         // bytes of a reason
	maxSeriesYears  = 10          // that a series may take
)

var validID = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// ValidID reports whether a booking may have an id.
func ValidID(id string) bool { return validID.MatchString(id) }

// Request is what a user asks for.
type Request struct {
	Verb         Verb
	ID           string
	Team         string
	Identity     string
	Wants        []*pb.Want // of Make and Move
	HoldSeconds  uint32     // of Make: held so long, until it is confirmed; 0: it is confirmed at once
	WaitlistRank uint32     // of Make: on the waiting list
	JoinWaitlist bool       // of Make: if it is not to be had, it goes on the waiting list
	Reason       string     // of End
	Replacement  *Inventory // of Equip
	EndDisplaced bool       // of Equip: bookings that the new list has no place for are ended, for Why
}

// Verb is what a wish is about.
type Verb int

// Verbs.
const (
	VerbCreate Verb = iota
	VerbConfirm
	VerbMove
	VerbEnd
	VerbSetInventory
)

// Outcome is what became of a wish.
type Outcome int

// Outcomes.
const (
	OutcomeDone     Outcome = iota
	OutcomeRepeated         // it was done before
	OutcomeRefused          // it can't be had: Why tells what is in its way
	OutcomeInvalid          // nothing like it can ever be had
	OutcomeNotFound         // there is no such booking
)

// Result tells what became of a wish.
type Result struct {
	Outcome      Outcome
	Reason       string
	Booking      *pb.Booking // as it stands
	Alternatives []FreeSlot  // what could be had instead
	Displaced    []*pb.Booking
}

// FreeSlot is a time at which a piece could be booked.
type FreeSlot struct {
	Piece    string
	From, To int64
}

// Decide answers a wish, and puts what it changes into a draft. now is the time of day in s. A wish
// that is granted holds once the draft is stored, on condition that nothing else was stored since
// the ledger was read.
func (s *Inventory) Decide(d *Draft, now int64, w *Request) Result {
	var a Result
	switch w.Verb {
	case VerbCreate:
		a = s.createBooking(d, now, w)
	case VerbSetInventory:
		a = s.replaceInventory(d, now, w)
	default:
		b := d.schedule.byID[w.ID]
		switch {
		case b == nil:
			return Result{Outcome: OutcomeNotFound, Reason: "there is no booking " + w.ID}
		case w.Verb == VerbConfirm:
			a = confirmBooking(d, b)
		case w.Verb == VerbMove:
			a = s.moveBooking(d, now, b, w)
		case b.State != pb.BookingState_ended && IsOver(b, now):
			a = refusal(b, "%s is over", b.Id)
		default:
			a = endBooking(d, now, b, cmp.Or(truncateReason(w.Reason), "ended by its booker"))
		}
	}
	if a.Outcome == OutcomeDone && w.Verb != VerbCreate && w.Verb != VerbConfirm {
		after := s
		if w.Verb == VerbSetInventory {
			after = w.Replacement
		}
		after.Advance(d, now)
	}
	if a.Booking != nil {
		a.Booking = d.schedule.byID[a.Booking.Id]
	}
	return a
}

func truncateReason(why string) string { return why[:min(len(why), maxReasonBytes)] }

func refusal(b *pb.Booking, format string, args ...any) Result {
	return Result{Outcome: OutcomeRefused, Booking: b, Reason: fmt.Sprintf(format, args...)}
}

// HasDueChanges reports whether Advance would change something.
func (l *Schedule) HasDueChanges(now int64) bool {
	for _, b := range l.held {
		if b.HeldUntil <= now {
			return true
		}
	}
	return slices.ContainsFunc(l.waitlist, func(b *pb.Booking) bool { return hasBegun(b.Wants, now) })
}

func hasBegun(wants []*pb.Want, now int64) bool {
	return slices.ContainsFunc(wants, func(w *pb.Want) bool { return w.From <= now })
}

// Advance ends what time has ended, and gives what is free to those who wait for it, the first
// first. After it, nobody waits for what they could have; so whoever comes later gets nothing ahead
// of them.
func (s *Inventory) Advance(d *Draft, now int64) {
	var over []*pb.Booking
	for _, b := range d.schedule.held {
		if b.HeldUntil <= now {
			over = append(over, b)
		}
	}
	slices.SortFunc(over, func(a, b *pb.Booking) int { return cmp.Compare(a.Change, b.Change) })
	for _, b := range over {
		endBooking(d, now, b, "its hold ran out unconfirmed")
	}
	for _, b := range slices.Clone(d.schedule.waitlist) {
		if hasBegun(b.Wants, now) {
			endBooking(d, now, b, "nothing had become free when it was to begin")
			continue
		}
		if slots, _, err := s.findUnits(d.schedule, b.Id, b.Team, b.Wants); err == nil {
			n := nextVersion(b)
			n.Slots, n.Wants = slots, nil
			s.grantSlots(n, now)
			d.put(n)
		}
	}
}

func nextVersion(b *pb.Booking) *pb.Booking {
	n := protobuf.CloneOf(b)
	n.Change = 0
	return n
}

// grantSlots gives a booking its slots.
func (s *Inventory) grantSlots(b *pb.Booking, now int64) {
	b.State = pb.BookingState_confirmed
	if b.HoldS > 0 {
		b.State, b.HeldUntil = pb.BookingState_held, now+int64(b.HoldS)
	}
}

func requestDigest(w *Request) uint64 {
	var t strings.Builder
	fmt.Fprintf(&t, "%s|%s|%d|%d|%v", w.ID, w.Team, w.HoldSeconds, w.WaitlistRank, w.JoinWaitlist)
	for _, x := range w.Wants {
		fmt.Fprintf(&t, "|%s,%s,%s,%d,%d", x.Piece, x.Kind, x.Zone, x.From, x.Slots)
	}
	return xxhash.Sum64String(t.String())
}

// createBooking books something new.
func (s *Inventory) createBooking(d *Draft, now int64, w *Request) Result {
	asked := requestDigest(w)
	if b := d.schedule.byID[w.ID]; b != nil {
		if b.Asked != asked || b.Who != w.Identity {
			return refusal(b, "%s is the id of another booking", w.ID)
		}
		return Result{Outcome: OutcomeRepeated, Booking: b}
	}
	if why := s.validateWants(w.Team, w.Wants, now); why != nil {
		return Result{Outcome: OutcomeInvalid, Reason: why.Error()}
	}
	if w.HoldSeconds > maxHoldMinutes*60 {
		return Result{
			Outcome: OutcomeInvalid,
			Reason:  fmt.Sprintf("may be held for %d minutes at most", maxHoldMinutes),
		}
	}
	n := &pb.Booking{
		Id:    w.ID,
		Team:  w.Team,
		Who:   w.Identity,
		HoldS: w.HoldSeconds,
		Rank:  w.WaitlistRank,
		Asked: asked,
	}
	slots, at, err := s.findUnits(d.schedule, w.ID, w.Team, w.Wants)
	switch {
	case err == nil:
		n.Slots = slots
		s.grantSlots(n, now)
	case w.JoinWaitlist && len(d.schedule.waitlist) >= MaxWaitlist:
		return refusal(nil, "%s, and %d bookings wait already", err, len(d.schedule.waitlist))
	case w.JoinWaitlist:
		n.State, n.Wants = pb.BookingState_waiting, w.Wants
	default:
		a := refusal(nil, "%s", err)
		a.Alternatives = s.NextFree(
			d.schedule,
			w.ID,
			w.Team,
			w.Wants[at],
			max(now, w.Wants[at].From),
			0,
			maxAlternatives,
		)
		return a
	}
	d.put(n)
	return Result{Booking: n}
}

// validateWants tells why wants can never be met.
func (s *Inventory) validateWants(team string, wants []*pb.Want, now int64) error {
	if len(wants) == 0 || len(wants) > MaxWants {
		return fmt.Errorf("%d slots, must be from 1 to %d", len(wants), MaxWants)
	}
	for _, w := range wants {
		if w.Slots < 1 || w.Slots > maxSlotsPerWant {
			return fmt.Errorf("%d slots in a row, must be from 1 to %d", w.Slots, maxSlotsPerWant)
		}
		if w.From < now {
			return fmt.Errorf("%s is past", s.FormatTime(w.From))
		}
		list := s.candidates(w)
		if len(list) == 0 {
			return fmt.Errorf("there is no %s", cmp.Or(w.Piece, strings.TrimSpace(w.Kind+" "+w.Zone)))
		}
		var why error
		for _, p := range list {
			if !p.allowsTeam(team) {
				why = cmp.Or(why, fmt.Errorf("team %s may not book %s", team, p.Name))
			} else if err := s.checkSlots(p, w.From, int(w.Slots)); err != nil {
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

// maxSearchSteps bounds the search for a way to have several slots together.
const maxSearchSteps = 5000

// unitSearch is a search for units for all wants.
type unitSearch struct {
	inventory *Inventory
	schedule  *Schedule
	bookingID string
	team      string
	wants     []*pb.Want
	// in which they are looked at: those with the least choice first, as one that has more must not
	// take what these need
	wantOrder  []int
	slots      []*pb.Slot
	steps      int
	bestDepth  int // how many could be had together at most
	failedWant int // the want that could not be had beside these
	failure    error
}

// findUnits chooses a unit for each want, all or none. If there is no way, it tells for which want and why.
func (s *Inventory) findUnits(l *Schedule, id, team string, wants []*pb.Want) (slots []*pb.Slot, at int, err error) {
	x := &unitSearch{
		inventory: s,
		schedule:  l,
		bookingID: id,
		team:      team,
		wants:     wants,
		slots:     make([]*pb.Slot, len(wants)),
		bestDepth: -1,
	}
	for i := range wants {
		x.wantOrder = append(x.wantOrder, i)
	}
	slices.SortStableFunc(
		x.wantOrder,
		func(a, b int) int { return cmp.Compare(len(s.candidates(wants[a])), len(s.candidates(wants[b]))) },
	)
	if x.assignFrom(0) {
		return x.slots, 0, nil
	}
	return nil, x.failedWant, x.failure
}

// assignFrom chooses units for the wants from one on in the order.
func (x *unitSearch) assignFrom(n int) bool {
	if n == len(x.wantOrder) {
		return true
	}
	i := x.wantOrder[n]
	w := x.wants[i]
	var why error
	for _, p := range x.inventory.candidates(w) {
		if !p.allowsTeam(x.team) || x.inventory.checkSlots(p, w.From, int(w.Slots)) != nil {
			continue
		}
		to := w.From + int64(w.Slots)*p.slotSeconds
		at := interval{w.From, to + p.cooldownSeconds}
		free := int64(0) // when the first of its units could be had
		for u := uint32(1); int(u) <= p.unitCount; u++ {
			if !p.isUnitUsable(int(u)) {
				continue
			}
			if o, ok := x.schedule.firstConflict(unitKey{p.Name, u}, at, x.bookingID); ok {
				free = cmp.Or(min(free, o.to), free, o.to)
				continue
			}
			own := slices.IndexFunc(x.wantOrder[:n], func(k int) bool {
				o := x.slots[k]
				return o.Piece == p.Name && o.Unit == u && o.From < at.to && at.from < o.Clear
			})
			if own >= 0 {
				o := x.slots[x.wantOrder[own]]
				free = cmp.Or(min(free, o.Clear), free, o.Clear)
				continue
			}
			x.slots[i] = &pb.Slot{Piece: p.Name, Unit: u, From: w.From, To: to, Clear: at.to}
			if x.steps++; x.steps > maxSearchSteps || x.assignFrom(n+1) {
				return x.steps <= maxSearchSteps
			}
		}
		switch {
		case why != nil:
		case free == 0:
			why = fmt.Errorf("%s has no unit in order at %s", p.Name, x.inventory.FormatTime(w.From))
		default:
			why = fmt.Errorf(
				"%s is taken at %s, until %s",
				p.Name,
				x.inventory.FormatTime(w.From),
				x.inventory.FormatTime(free),
			)
		}
	}
	if n > x.bestDepth {
		x.bestDepth, x.failedWant, x.failure = n, i, cmp.Or(why, errors.New("it fits nowhere"))
	}
	return false
}

func confirmBooking(d *Draft, b *pb.Booking) Result {
	switch b.State {
	case pb.BookingState_confirmed:
		return Result{Outcome: OutcomeRepeated, Booking: b}
	case pb.BookingState_held:
		n := nextVersion(b)
		n.State, n.HeldUntil = pb.BookingState_confirmed, 0
		d.put(n)
		return Result{Booking: n}
	case pb.BookingState_waiting:
		return refusal(b, "%s waits for its slots", b.Id)
	}
	return refusal(b, "%s has ended: %s", b.Id, b.Why)
}

// moveBooking has a booking have other slots instead of its own, or keep them.
func (s *Inventory) moveBooking(d *Draft, now int64, b *pb.Booking, w *Request) Result {
	if b.State == pb.BookingState_ended {
		return refusal(b, "%s has ended: %s", b.Id, b.Why)
	}
	if s.hasWants(b, w.Wants) {
		return Result{Outcome: OutcomeRepeated, Booking: b}
	}
	if IsOver(b, now) {
		return refusal(b, "%s is over", b.Id)
	}
	if why := s.validateWants(b.Team, w.Wants, now); why != nil {
		return Result{Outcome: OutcomeInvalid, Reason: why.Error()}
	}
	n := nextVersion(b)
	slots, at, err := s.findUnits(d.schedule, b.Id, b.Team, w.Wants)
	switch {
	case err == nil && b.State == pb.BookingState_waiting:
		n.Slots, n.Wants = slots, nil
		s.grantSlots(n, now)
	case err == nil:
		n.Slots = slots
	default:
		a := refusal(b, "%s", err)
		a.Alternatives = s.NextFree(
			d.schedule,
			b.Id,
			b.Team,
			w.Wants[at],
			max(now, w.Wants[at].From),
			0,
			maxAlternatives,
		)
		return a
	}
	d.put(n)
	return Result{Booking: n}
}

// hasWants reports whether a booking has what is wanted: a move that is repeated finds that it was made.
func (s *Inventory) hasWants(b *pb.Booking, wants []*pb.Want) bool {
	if b.State == pb.BookingState_waiting || len(b.Slots) != len(wants) {
		return false
	}
	for i, w := range wants {
		x := b.Slots[i]
		p := s.itemsByName[x.Piece]
		if p == nil || x.From != w.From || x.To != w.From+int64(w.Slots)*p.slotSeconds ||
			!slices.Contains(s.candidates(w), p) {
			return false
		}
	}
	return true
}

func endBooking(d *Draft, now int64, b *pb.Booking, why string) Result {
	if b.State == pb.BookingState_ended {
		return Result{Outcome: OutcomeRepeated, Booking: b}
	}
	n := nextVersion(b)
	n.State, n.Why, n.EndedAt, n.HeldUntil = pb.BookingState_ended, why, now, 0
	d.put(n)
	return Result{Booking: n}
}

// IsOver reports whether nothing about a booking changes any more: it ended, or its time is past.
func IsOver(b *pb.Booking, now int64) bool {
	switch b.State {
	case pb.BookingState_ended:
		return true
	case pb.BookingState_confirmed:
		return !slices.ContainsFunc(b.Slots, func(x *pb.Slot) bool { return x.Clear > now })
	}
	return false
}

// MaxDisplaced is how many bookings one change of the list may end: they are stored together.
const MaxDisplaced = 40

// replaceInventory puts another list of equipment in the place of this one. What it has no place
// for is told, and ended only if that is asked for.
func (s *Inventory) replaceInventory(d *Draft, now int64, w *Request) Result {
	out := w.Replacement.Displaced(d.schedule, now)
	switch {
	case len(out) == 0:
	case !w.EndDisplaced:
		a := refusal(
			nil,
			"%d bookings have no place in the new list; end or move them, or say that they are ended with it, and why",
			len(out),
		)
		a.Displaced = out
		return a
	case w.Reason == "":
		return Result{Outcome: OutcomeInvalid, Reason: "a reason is needed"}
	case len(out) > MaxDisplaced:
		a := refusal(
			nil,
			"%d bookings have no place in the new list, more than the %d that can be ended with it",
			len(out),
			MaxDisplaced,
		)
		a.Displaced = out
		return a
	}
	for _, b := range out {
		endBooking(d, now, b, truncateReason(w.Reason))
	}
	return Result{Displaced: out}
}

// Displaced lists the bookings that have or want what the list has no place for, in the order in
// which they were made. A booking keeps the length and the cooling time that it was made with.
func (s *Inventory) Displaced(l *Schedule, now int64) (out []*pb.Booking) {
	for _, b := range l.byID {
		switch b.State {
		case pb.BookingState_held, pb.BookingState_confirmed:
			if slices.ContainsFunc(b.Slots, func(x *pb.Slot) bool { return x.To > now && !s.offersSlot(b.Team, x) }) {
				out = append(out, b)
			}
		case pb.BookingState_waiting:
			if !hasBegun(b.Wants, now) && s.validateWants(b.Team, b.Wants, now) != nil {
				out = append(out, b)
			}
		}
	}
	slices.SortFunc(out, func(a, b *pb.Booking) int { return cmp.Compare(a.Made, b.Made) })
	return out
}

// offersSlot reports whether a slot lies in what the list offers to a team.
func (s *Inventory) offersSlot(team string, x *pb.Slot) bool {
	p := s.itemsByName[x.Piece]
	if p == nil || !p.isUnitUsable(int(x.Unit)) || !p.allowsTeam(team) {
		return false
	}
	for at := x.From; at < x.To; {
		o, ok := s.openingOn(p, s.dayOf(at))
		if !ok || at < o.from || at >= o.to {
			return false
		}
		at = o.to
	}
	return true
}

// NextFree lists the first times from one on, until another if it is not 0, at which a want could
// be had; by a booking with an id, what it has itself is not in its way.
func (s *Inventory) NextFree(l *Schedule, id, team string, w *pb.Want, from, by int64, most int) (out []FreeSlot) {
	for day, last := s.dayOf(from), s.dayOf(from)+searchDays; day <= last && len(out) < most; day++ {
		var today []FreeSlot
		for _, p := range s.candidates(w) {
			o, ok := s.openingOn(p, day)
			if !ok || !p.allowsTeam(team) {
				continue
			}
			at := o.from
			if at < from {
				at += (from - at + p.slotSeconds - 1) / p.slotSeconds * p.slotSeconds
			}
			for n := 0; at < o.to && n < most; at += p.slotSeconds {
				t := &pb.Want{Piece: p.Name, From: at, Slots: max(1, w.Slots)}
				if by != 0 && at+int64(t.Slots)*p.slotSeconds > by {
					break
				}
				if x, _, err := s.findUnits(l, id, team, []*pb.Want{t}); err == nil {
					today = append(today, FreeSlot{p.Name, x[0].From, x[0].To})
					n++
				}
			}
		}
		slices.SortStableFunc(today, func(a, b FreeSlot) int { return cmp.Compare(a.From, b.From) })
		out = append(out, today[:min(len(today), most-len(out))]...)
	}
	return out
}

// BookingsBetween lists the bookings that have a piece at some time between two, in the order of time.
func (l *Schedule) BookingsBetween(site *Inventory, name string, from, to int64) (out []*pb.Booking, ok bool) {
	p := site.itemsByName[name]
	if p == nil {
		return nil, false
	}
	for n := uint32(1); int(n) <= p.unitCount; n++ {
		list := l.occupied[unitKey{name, n}]
		i, _ := slices.BinarySearchFunc(list, to, func(x occupancy, to int64) int { return cmp.Compare(x.from, to) })
		for i--; i >= 0 && list[i].to > from; i-- {
			out = append(out, l.byID[list[i].bookingID])
		}
	}
	slices.SortFunc(out, func(a, b *pb.Booking) int {
		return cmp.Or(cmp.Compare(a.Slots[0].From, b.Slots[0].From), strings.Compare(a.Id, b.Id))
	})
	return slices.Compact(out), true
}

// Waitlist lists the waiting list, the first first.
func (l *Schedule) Waitlist() []*pb.Booking { return slices.Clone(l.waitlist) }

// ExpandRecurrence makes a want that comes again by a rule of recurrence one for each time: at the
// same time of the site's clocks.
func (s *Inventory) ExpandRecurrence(w *pb.Want, rule string) ([]*pb.Want, error) {
	o, err := rrule.StrToROption(rule)
	if err != nil {
		return nil, fmt.Errorf("rule of recurrence: %w", err)
	}
	if o.Freq > rrule.DAILY || o.Count < 1 || o.Count > MaxWants || !o.Dtstart.IsZero() ||
		len(o.Byhour)+len(o.Byminute)+len(o.Bysecond) > 0 {
		return nil, fmt.Errorf("rule of recurrence: days, weeks, months or years with a COUNT from 1 to %d", MaxWants)
	}
	local := time.Unix(w.From, 0).In(s.location)
	o.Dtstart = time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, time.UTC)
	if last := o.Dtstart.AddDate(maxSeriesYears, 0, 0); o.Until.IsZero() || o.Until.After(last) {
		o.Until = last // a rule that names no day is looked for until then
	}
	r, err := rrule.NewRRule(*o)
	if err != nil {
		return nil, fmt.Errorf("rule of recurrence: %w", err)
	}
	var out []*pb.Want
	for _, day := range r.All() {
		n := protobuf.CloneOf(w)
		n.From = s.timeOnDay(int(day.Unix()/86400), local.Hour()*60+local.Minute())
		out = append(out, n)
	}
	if len(out) == 0 {
		return nil, errors.New("rule of recurrence: it names no day")
	}
	return out, nil
}
