package booking

import (
	"cmp"
	"slices"

	pb "dewlift/proto"
)

// Schedule is all bookings that are known, and who has which unit when. It holds what was stored,
// and for the time of a draft what that would store. Bookings in it are never changed, only
// replaced.
type Schedule struct {
	byID       map[string]*pb.Booking
	occupied   map[unitKey][]occupancy // by unit, in the order of time
	waitlist   []*pb.Booking           // in the order in which they get what becomes free
	held       map[string]*pb.Booking
	lastChange uint64 // the last one
}

type unitKey struct {
	item   string
	number uint32
}

// occupancy is a time for which a unit is taken, with what it takes to cool or clean it.
type occupancy struct {
	interval
	bookingID string
}

// NewSchedule is one without bookings.
func NewSchedule() *Schedule {
	return &Schedule{
		byID:     map[string]*pb.Booking{},
		occupied: map[unitKey][]occupancy{},
		held:     map[string]*pb.Booking{},
	}
}

// Len is how many bookings it holds, ended ones too.
func (l *Schedule) Len() int { return len(l.byID) }

// LastChange is the number of the last change.
func (l *Schedule) LastChange() uint64 { return l.lastChange }

// NoteChange notes that changes up to one were made, although what they stored may be stored anew elsewhere.
func (l *Schedule) NoteChange(change uint64) { l.lastChange = max(l.lastChange, change) }

// Get returns a booking, nil if there is none. It must not be changed.
func (l *Schedule) Get(id string) *pb.Booking { return l.byID[id] }

// Put takes a booking as it was stored; of two that have the same id, the later change counts.
func (l *Schedule) Put(b *pb.Booking) {
	l.lastChange = max(l.lastChange, b.Change)
	if old := l.byID[b.Id]; old == nil || old.Change < b.Change {
		l.setBooking(b.Id, b)
	}
}

// Forget drops bookings from memory that a function tells; it must not tell any that has a slot or waits for one.
func (l *Schedule) Forget(f func(b *pb.Booking) bool) {
	for id, b := range l.byID {
		if f(b) {
			l.setBooking(id, nil)
		}
	}
}

// setBooking puts a booking in the place of the one with its id; nil: takes it out.
func (l *Schedule) setBooking(id string, b *pb.Booking) {
	if old := l.byID[id]; old != nil {
		l.release(old)
	}
	if b == nil {
		delete(l.byID, id)
		return
	}
	l.byID[id] = b
	switch b.State {
	case pb.BookingState_waiting:
		i, _ := slices.BinarySearchFunc(l.waitlist, b, compareWaitlist)
		l.waitlist = slices.Insert(l.waitlist, i, b)
	case pb.BookingState_held:
		l.held[id] = b
		fallthrough
	case pb.BookingState_confirmed:
		for _, s := range b.Slots {
			u := unitKey{s.Piece, s.Unit}
			i, _ := slices.BinarySearchFunc(
				l.occupied[u],
				s.From,
				func(x occupancy, from int64) int { return cmp.Compare(x.from, from) },
			)
			l.occupied[u] = slices.Insert(l.occupied[u], i, occupancy{interval{s.From, s.Clear}, id})
		}
	}
}

func (l *Schedule) release(old *pb.Booking) {
	switch old.State {
	case pb.BookingState_waiting:
		l.waitlist = slices.DeleteFunc(l.waitlist, func(b *pb.Booking) bool { return b == old })
	case pb.BookingState_held, pb.BookingState_confirmed:
		delete(l.held, old.Id)
		for _, s := range old.Slots {
			u := unitKey{s.Piece, s.Unit}
			l.occupied[u] = slices.DeleteFunc(
				l.occupied[u],
				func(x occupancy) bool { return x.bookingID == old.Id && x.from == s.From },
			)
			if len(l.occupied[u]) == 0 {
				delete(l.occupied, u)
			}
		}
	}
}

// compareWaitlist orders the waiting list.
func compareWaitlist(a, b *pb.Booking) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Made, b.Made))
}

// firstConflict returns the first use of a unit that meets a time, other than by one booking.
func (l *Schedule) firstConflict(u unitKey, at interval, exceptID string) (occupancy, bool) {
	list := l.occupied[u]
	i, _ := slices.BinarySearchFunc(list, at.to, func(x occupancy, to int64) int { return cmp.Compare(x.from, to) })
	// Uses of a unit do not meet each other, so they end in the order in which they begin; those
	// that a list of equipment left behind may, and are few.
	for i--; i >= 0; i-- {
		if list[i].bookingID == exceptID {
			continue
		}
		if list[i].to > at.from {
			return list[i], true
		}
		return occupancy{}, false
	}
	return occupancy{}, false
}

// Draft is what is about to be stored: the ledger shows it already, until it is undone.
type Draft struct {
	schedule   *Schedule
	baseChange uint64 // of the ledger before it
	Bookings   []*pb.Booking
	replaced   map[string]*pb.Booking
}

// NewDraft begins one. There is one at a time.
func (l *Schedule) NewDraft() *Draft {
	return &Draft{schedule: l, baseChange: l.lastChange, replaced: map[string]*pb.Booking{}}
}

// put adds a changed booking.
func (d *Draft) put(b *pb.Booking) {
	d.schedule.lastChange++
	b.Change = d.schedule.lastChange
	if b.Made == 0 {
		b.Made = b.Change
	}
	if _, ok := d.replaced[b.Id]; !ok {
		d.replaced[b.Id] = d.schedule.byID[b.Id]
	} else {
		d.Bookings = slices.DeleteFunc(d.Bookings, func(x *pb.Booking) bool { return x.Id == b.Id })
	}
	d.Bookings = append(d.Bookings, b)
	d.schedule.setBooking(b.Id, b)
}

// Undo takes a draft out of the ledger.
func (d *Draft) Undo() {
	for _, b := range d.Bookings {
		d.schedule.setBooking(b.Id, d.replaced[b.Id])
	}
	d.schedule.lastChange = d.baseChange
}

// Redo puts a draft that was undone back, if nothing was changed meanwhile.
func (d *Draft) Redo() {
	for _, b := range d.Bookings {
		d.schedule.setBooking(b.Id, b)
		d.schedule.lastChange = max(d.schedule.lastChange, b.Change)
	}
}
