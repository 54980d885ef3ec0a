package booking

import (
	"cmp"
	"slices"

	pb "dewlift/proto"
)

// Ledger is all bookings that are known, and who has which unit when. It holds what was stored, and for the time of a draft what
// that would store. Bookings in it are never changed, only replaced.
type Ledger struct {
	byID    map[string]*pb.Booking
	taken   map[unit][]use // by unit, in the order of time
	waiting []*pb.Booking  // in the order in which they get what becomes free
	held    map[string]*pb.Booking
	change  uint64 // the last one
}

type unit struct {
	piece string
	n     uint32
}

// use is a time for which a unit is taken, with what it takes to cool or clean it.
type use struct {
	span
	id string
}

// NewLedger is one without bookings.
func NewLedger() *Ledger {
	return &Ledger{byID: map[string]*pb.Booking{}, taken: map[unit][]use{}, held: map[string]*pb.Booking{}}
}

// Len is how many bookings it holds, ended ones too.
func (l *Ledger) Len() int { return len(l.byID) }

// Change is the number of the last change.
func (l *Ledger) Change() uint64 { return l.change }

// Saw notes that changes up to one were made, although what they stored may be stored anew elsewhere.
func (l *Ledger) Saw(change uint64) { l.change = max(l.change, change) }

// Get returns a booking, nil if there is none. It must not be changed.
func (l *Ledger) Get(id string) *pb.Booking { return l.byID[id] }

// Put takes a booking as it was stored; of two that have the same id, the later change counts.
func (l *Ledger) Put(b *pb.Booking) {
	l.change = max(l.change, b.Change)
	if old := l.byID[b.Id]; old == nil || old.Change < b.Change {
		l.replace(b.Id, b)
	}
}

// Forget drops bookings from memory that a function tells; it must not tell any that has a slot or waits for one.
func (l *Ledger) Forget(f func(b *pb.Booking) bool) {
	for id, b := range l.byID {
		if f(b) {
			l.replace(id, nil)
		}
	}
}

// replace puts a booking in the place of the one with its id; nil: takes it out.
func (l *Ledger) replace(id string, b *pb.Booking) {
	if old := l.byID[id]; old != nil {
		l.clear(old)
	}
	if b == nil {
		delete(l.byID, id)
		return
	}
	l.byID[id] = b
	switch b.State {
	case pb.BookingState_waiting:
		i, _ := slices.BinarySearchFunc(l.waiting, b, inLine)
		l.waiting = slices.Insert(l.waiting, i, b)
	case pb.BookingState_held:
		l.held[id] = b
		fallthrough
	case pb.BookingState_confirmed:
		for _, s := range b.Slots {
			u := unit{s.Piece, s.Unit}
			i, _ := slices.BinarySearchFunc(l.taken[u], s.From, func(x use, from int64) int { return cmp.Compare(x.from, from) })
			l.taken[u] = slices.Insert(l.taken[u], i, use{span{s.From, s.Clear}, id})
		}
	}
}

func (l *Ledger) clear(old *pb.Booking) {
	switch old.State {
	case pb.BookingState_waiting:
		l.waiting = slices.DeleteFunc(l.waiting, func(b *pb.Booking) bool { return b == old })
	case pb.BookingState_held, pb.BookingState_confirmed:
		delete(l.held, old.Id)
		for _, s := range old.Slots {
			u := unit{s.Piece, s.Unit}
			l.taken[u] = slices.DeleteFunc(l.taken[u], func(x use) bool { return x.id == old.Id && x.from == s.From })
			if len(l.taken[u]) == 0 {
				delete(l.taken, u)
			}
		}
	}
}

// inLine orders the waiting list.
func inLine(a, b *pb.Booking) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Made, b.Made))
}

// blocked returns the first use of a unit that meets a time, other than by one booking.
func (l *Ledger) blocked(u unit, at span, but string) (use, bool) {
	list := l.taken[u]
	i, _ := slices.BinarySearchFunc(list, at.to, func(x use, to int64) int { return cmp.Compare(x.from, to) })
	// Uses of a unit do not meet each other, so they end in the order in which they begin; those that a list of equipment left
	// behind may, and are few.
	for i--; i >= 0; i-- {
		if list[i].id == but {
			continue
		}
		if list[i].to > at.from {
			return list[i], true
		}
		return use{}, false
	}
	return use{}, false
}

// Draft is what is about to be stored: the ledger shows it already, until it is undone.
type Draft struct {
	l        *Ledger
	change   uint64 // of the ledger before it
	Bookings []*pb.Booking
	before   map[string]*pb.Booking
}

// Draft begins one. There is one at a time.
func (l *Ledger) Draft() *Draft {
	return &Draft{l: l, change: l.change, before: map[string]*pb.Booking{}}
}

// put adds a changed booking.
func (d *Draft) put(b *pb.Booking) {
	d.l.change++
	b.Change = d.l.change
	if b.Made == 0 {
		b.Made = b.Change
	}
	if _, ok := d.before[b.Id]; !ok {
		d.before[b.Id] = d.l.byID[b.Id]
	} else {
		d.Bookings = slices.DeleteFunc(d.Bookings, func(x *pb.Booking) bool { return x.Id == b.Id })
	}
	d.Bookings = append(d.Bookings, b)
	d.l.replace(b.Id, b)
}

// Undo takes a draft out of the ledger.
func (d *Draft) Undo() {
	for _, b := range d.Bookings {
		d.l.replace(b.Id, d.before[b.Id])
	}
	d.l.change = d.change
}

// Redo puts a draft that was undone back, if nothing was changed meanwhile.
func (d *Draft) Redo() {
	for _, b := range d.Bookings {
		d.l.replace(b.Id, b)
		d.l.change = max(d.l.change, b.Change)
	}
}
