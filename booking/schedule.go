package booking

import (
	"cmp"
	"slices"

	pb "dewlift/proto"
)

// Schedule holds all known reservations and the use of each unit over time. It shows the committed state or, while
// a draft exists, the state with the changes of the draft. Reservations in it are never modified, only replaced.
type Schedule struct {
	byID       map[string]*pb.Booking
	occupied   map[unitKey][]occupancy // by unit, ordered by start
	waitlist   []*pb.Booking           // in the order in which free units are assigned
	held       map[string]*pb.Booking
	lastChange uint64
	work       int // of all searches and series so far, see maxSearchWork
}

// unitKey identifies a unit of an item.
type unitKey struct {
	item   string
	number uint32
}

// occupancy is the use of a unit by a reservation, including the cooldown after it.
type occupancy struct {
	interval
	bookingID string
}

// compareStart compares the start of an occupancy with a time.
func compareStart(use occupancy, at int64) int { return cmp.Compare(use.from, at) }

// NewSchedule returns a schedule without reservations.
func NewSchedule() *Schedule {
	return &Schedule{
		byID:     map[string]*pb.Booking{},
		occupied: map[unitKey][]occupancy{},
		held:     map[string]*pb.Booking{},
	}
}

// Len returns the number of reservations in the schedule, ended ones included.
func (s *Schedule) Len() int { return len(s.byID) }

// LastChange returns the number of the last change.
func (s *Schedule) LastChange() uint64 { return s.lastChange }

// ObserveChange records that all changes up to a number were made, even if the caller passes to Put only some of
// the reservations that they stored.
func (s *Schedule) ObserveChange(change uint64) { s.lastChange = max(s.lastChange, change) }

// Work returns a measure of the work of all searches and series so far, which only grows.
func (s *Schedule) Work() int { return s.work }

// AddSeriesWork counts the work of ExpandRecurrence for a number of slots.
func (s *Schedule) AddSeriesWork(slots int) { s.work += slots * seriesWork }

// Get returns a reservation, or nil if there is none. The caller must not modify it.
func (s *Schedule) Get(id string) *pb.Booking { return s.byID[id] }

// Waitlist returns the waiting reservations in the order in which they are served.
func (s *Schedule) Waitlist() []*pb.Booking { return slices.Clone(s.waitlist) }

// Put adds a stored reservation, unless a later change of the same reservation is known.
func (s *Schedule) Put(reservation *pb.Booking) {
	s.lastChange = max(s.lastChange, reservation.Change)
	if old := s.byID[reservation.Id]; old == nil || old.Change < reservation.Change {
		s.setBooking(reservation.Id, reservation)
	}
}

// Evict removes from memory the reservations for which f returns true. f must not return true for one that has
// future slots or waits.
func (s *Schedule) Evict(f func(reservation *pb.Booking) bool) {
	for id, reservation := range s.byID {
		if f(reservation) {
			s.setBooking(id, nil)
		}
	}
}

// setBooking replaces the reservation with that ID, or removes it if the new one is nil.
func (s *Schedule) setBooking(id string, reservation *pb.Booking) {
	if old := s.byID[id]; old != nil {
		s.release(old)
	}
	if reservation == nil {
		delete(s.byID, id)
		return
	}
	s.byID[id] = reservation
	switch reservation.State {
	case pb.BookingState_waiting:
		i, _ := slices.BinarySearchFunc(s.waitlist, reservation, compareWaitlist)
		s.waitlist = slices.Insert(s.waitlist, i, reservation)
	case pb.BookingState_held:
		s.held[id] = reservation
		fallthrough
	case pb.BookingState_confirmed:
		for _, slot := range reservation.Slots {
			unit := unitKey{slot.Piece, slot.Unit}
			i, _ := slices.BinarySearchFunc(s.occupied[unit], slot.From, compareStart)
			s.occupied[unit] = slices.Insert(s.occupied[unit], i, occupancy{interval{slot.From, slot.Clear}, id})
		}
	}
}

// release removes a reservation from the waitlist and from the units it uses.
func (s *Schedule) release(old *pb.Booking) {
	switch old.State {
	case pb.BookingState_waiting:
		s.waitlist = slices.DeleteFunc(s.waitlist, func(waiting *pb.Booking) bool { return waiting == old })
	case pb.BookingState_held, pb.BookingState_confirmed:
		delete(s.held, old.Id)
		for _, slot := range old.Slots {
			unit := unitKey{slot.Piece, slot.Unit}
			s.occupied[unit] = slices.DeleteFunc(
				s.occupied[unit],
				func(use occupancy) bool { return use.bookingID == old.Id && use.from == slot.From },
			)
			if len(s.occupied[unit]) == 0 {
				delete(s.occupied, unit)
			}
		}
	}
}

// compareWaitlist orders the waitlist by rank, then by order of creation.
func compareWaitlist(a, b *pb.Booking) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Made, b.Made))
}

// firstConflict returns an occupancy of a unit that overlaps an interval. The reservation exceptID is no conflict.
func (s *Schedule) firstConflict(unit unitKey, needed interval, exceptID string) (occupancy, bool) {
	uses := s.occupied[unit]
	i, _ := slices.BinarySearchFunc(uses, needed.to, compareStart)
	// Occupancies of a unit don't overlap, so they end in the order in which they start. Only the few that were
	// left by a change of the equipment may overlap.
	for i--; i >= 0; i-- {
		if uses[i].bookingID == exceptID {
			continue
		}
		if uses[i].to > needed.from {
			return uses[i], true
		}
		return occupancy{}, false
	}
	return occupancy{}, false
}

// Draft is a set of changes that are not committed yet. The schedule shows them until Undo is called.
type Draft struct {
	schedule   *Schedule
	baseChange uint64 // last change before the draft
	Bookings   []*pb.Booking
	replaced   map[string]*pb.Booking
}

// NewDraft begins a draft. A schedule may have only one at a time.
func (s *Schedule) NewDraft() *Draft {
	return &Draft{schedule: s, baseChange: s.lastChange, replaced: map[string]*pb.Booking{}}
}

// put adds a changed reservation.
func (d *Draft) put(changed *pb.Booking) {
	d.schedule.lastChange++
	changed.Change = d.schedule.lastChange
	if changed.Made == 0 {
		changed.Made = changed.Change
	}
	if _, ok := d.replaced[changed.Id]; !ok {
		d.replaced[changed.Id] = d.schedule.byID[changed.Id]
	} else {
		d.Bookings = slices.DeleteFunc(
			d.Bookings,
			func(earlier *pb.Booking) bool { return earlier.Id == changed.Id },
		)
	}
	d.Bookings = append(d.Bookings, changed)
	d.schedule.setBooking(changed.Id, changed)
}

// Undo removes the draft from the schedule.
func (d *Draft) Undo() {
	for _, changed := range d.Bookings {
		d.schedule.setBooking(changed.Id, d.replaced[changed.Id])
	}
	d.schedule.lastChange = d.baseChange
}

// Redo restores the draft after Undo, provided that the schedule was not changed meanwhile.
func (d *Draft) Redo() {
	for _, changed := range d.Bookings {
		d.schedule.setBooking(changed.Id, changed)
		d.schedule.lastChange = max(d.schedule.lastChange, changed.Change)
	}
}
