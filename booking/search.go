package booking

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	pb "dewlift/proto"
)

const (
	// maxSearchSteps bounds the backtracking search for units that meet several wants together, which takes
	// exponential time in the worst case.
	maxSearchSteps = 5000

	// maxSearchWork bounds one search, for units or for free times, in units of an item and days of its opening hours
	// that are looked up. All controllers stop at the same point, which they would not at a time limit.
	maxSearchWork = 100_000

	// minWaitingWork bounds the search for each waiting reservation once those before it have taken maxSearchWork
	// together, so that a long waitlist is served in bounded time.
	minWaitingWork = 1000

	// searchDays is how many days ahead free times are searched.
	searchDays = 60
)

// unitSearch is a backtracking search for units that meet all wants of a reservation.
type unitSearch struct {
	inventory *Inventory
	schedule  *Schedule
	bookingID string // its own slots are no conflict
	team      string
	wants     []*pb.Want

	// wantOrder is the order in which units are assigned to wants: those with the fewest candidates first, so that
	// a want with more candidates does not take the units that they need.
	wantOrder []int

	slots      []*pb.Slot // by want
	steps      int
	work       int // see maxSearchWork
	maxWork    int
	bestDepth  int   // the largest number of wants that could be met together
	failedWant int   // index of the next want, which could not be met in addition
	failure    error // why it could not be met
}

// findUnits finds a unit for each want. If it can't meet all of them, it returns the index of a want that can't be
// met, and the reason as an error.
func (inv *Inventory) findUnits(
	schedule *Schedule, id, team string, wants []*pb.Want,
) (slots []*pb.Slot, failedWant int, err error) {
	return inv.findUnitsWithin(maxSearchWork, schedule, id, team, wants)
}

// findUnitsWithin does what findUnits does within a limit of its work.
func (inv *Inventory) findUnitsWithin(
	maxWork int, schedule *Schedule, id, team string, wants []*pb.Want,
) (slots []*pb.Slot, failedWant int, err error) {
	search := &unitSearch{
		inventory: inv,
		schedule:  schedule,
		bookingID: id,
		team:      team,
		wants:     wants,
		slots:     make([]*pb.Slot, len(wants)),
		bestDepth: -1,
		maxWork:   maxWork,
	}
	candidateCounts := make([]int, len(wants))
	for i, want := range wants {
		search.wantOrder = append(search.wantOrder, i)
		candidateCounts[i] = len(inv.candidates(want))
	}
	slices.SortStableFunc(
		search.wantOrder,
		func(a, b int) int { return cmp.Compare(candidateCounts[a], candidateCounts[b]) },
	)
	found := search.assignFrom(0)
	schedule.work += search.work
	switch {
	case found:
		return search.slots, 0, nil
	case search.failure == nil:
		return nil, 0, errSearchTooLong
	}
	return nil, search.failedWant, search.failure
}

// errSearchTooLong is the reason if a search ended before it found out that a certain want can't be met.
var errSearchTooLong = errors.New("there are too many ways to combine these slots: ask for fewer together")

// isTooLong reports whether the search has reached one of its bounds.
func (x *unitSearch) isTooLong() bool { return x.steps > maxSearchSteps || x.work > x.maxWork }

// assignFrom assigns units to the wants from position depth of wantOrder on, and reports whether it could meet all
// of them.
func (x *unitSearch) assignFrom(depth int) bool {
	if depth == len(x.wantOrder) {
		return true
	}
	index := x.wantOrder[depth]
	want := x.wants[index]
	var failure error
	for _, item := range x.inventory.candidates(want) {
		x.work += item.daysOf(want)
		if !item.allowsTeam(x.team) || x.inventory.checkSlots(item, want.From, int(want.Slots)) != nil {
			continue
		}
		finished, freeAt := x.tryUnits(depth, item)
		if finished {
			return !x.isTooLong()
		}
		switch {
		case failure != nil:
		case freeAt == 0:
			failure = fmt.Errorf("%s has no unit in order at %s", item.Name, x.inventory.FormatTime(want.From))
		default:
			failure = fmt.Errorf(
				"%s is taken at %s, until %s",
				item.Name,
				x.inventory.FormatTime(want.From),
				x.inventory.FormatTime(freeAt),
			)
		}
	}
	if depth > x.bestDepth {
		x.bestDepth, x.failedWant, x.failure = depth, index, cmp.Or(failure, errors.New("it fits nowhere"))
	}
	return false
}

// daysOf returns the number of days whose opening hours a want takes up at most.
func (item *equipmentItem) daysOf(want *pb.Want) int {
	return 1 + int(int64(want.Slots)*item.slotSeconds/secondsPerDay)
}

// tryUnits tries each free unit of an item for the want at position depth of wantOrder. It stops and reports
// finished once the remaining wants can be met or the search has taken too many steps. Otherwise freeAt is when the
// first occupied unit becomes free, or 0 if no unit is usable.
func (x *unitSearch) tryUnits(depth int, item *equipmentItem) (finished bool, freeAt int64) {
	index := x.wantOrder[depth]
	want := x.wants[index]
	to := want.From + int64(want.Slots)*item.slotSeconds
	needed := interval{want.From, to + item.cooldownSeconds}
	for unit := uint32(1); int(unit) <= item.unitCount; unit++ {
		if !item.isUnitUsable(int(unit)) {
			continue
		}
		if x.work++; x.isTooLong() {
			return true, freeAt
		}
		if until, occupied := x.occupiedUntil(depth, unitKey{item.Name, unit}, needed); occupied {
			freeAt = cmp.Or(min(freeAt, until), freeAt, until)
			continue
		}
		x.slots[index] = &pb.Slot{Piece: item.Name, Unit: unit, From: want.From, To: to, Clear: needed.to}
		if x.steps++; x.isTooLong() || x.assignFrom(depth+1) || x.isTooLong() {
			return true, freeAt
		}
	}
	return false, freeAt
}

// occupiedUntil returns the end of a conflicting occupancy of a unit, by another reservation or by a want that has
// already been assigned.
func (x *unitSearch) occupiedUntil(depth int, key unitKey, needed interval) (until int64, occupied bool) {
	if conflict, ok := x.schedule.firstConflict(key, needed, x.bookingID); ok {
		return conflict.to, true
	}
	for _, assigned := range x.wantOrder[:depth] {
		slot := x.slots[assigned]
		if slot.Piece == key.item && slot.Unit == key.number && slot.From < needed.to && needed.from < slot.Clear {
			return slot.Clear, true
		}
	}
	return 0, false
}

// NextFree returns up to limit intervals in which a want can be met. They begin at from or later and end by until; if
// until is 0, they may end at any time. The slots of the reservation with that ID are no conflict. The search ends
// early after maxSearchWork.
func (inv *Inventory) NextFree(
	schedule *Schedule, id, team string, want *pb.Want, from, until int64, limit int,
) (out []FreeSlot) {
	workLimit := schedule.work + maxSearchWork
	for day, last := inv.dayOf(from), inv.dayOf(from)+searchDays; day <= last && len(out) < limit; day++ {
		var today []FreeSlot
		for _, item := range inv.candidates(want) {
			schedule.work++
			open, ok := inv.openingOn(item, day)
			if !ok || !item.allowsTeam(team) {
				continue
			}
			at := open.from
			if at < from {
				at += (from - at + item.slotSeconds - 1) / item.slotSeconds * item.slotSeconds
			}
			for n := 0; at < open.to && n < limit && schedule.work < workLimit; at += item.slotSeconds {
				exact := &pb.Want{Piece: item.Name, From: at, Slots: max(1, want.Slots)}
				if until != 0 && at+int64(exact.Slots)*item.slotSeconds > until {
					break
				}
				if slots, _, err := inv.findUnits(schedule, id, team, []*pb.Want{exact}); err == nil {
					today = append(today, FreeSlot{item.Name, slots[0].From, slots[0].To})
					n++
				}
			}
		}
		slices.SortStableFunc(today, func(a, b FreeSlot) int { return cmp.Compare(a.From, b.From) })
		out = append(out, today[:min(len(today), limit-len(out))]...)
	}
	return out
}

// BookingsBetween returns the reservations that use an item at any time in an interval, ordered by start. A cooldown
// counts as use. It reports false if there is no such item.
func (s *Schedule) BookingsBetween(
	inventory *Inventory, name string, from, to int64,
) (out []*pb.Booking, ok bool) {
	item := inventory.itemsByName[name]
	if item == nil {
		return nil, false
	}
	for unit := uint32(1); int(unit) <= item.unitCount; unit++ {
		list := s.occupied[unitKey{name, unit}]
		i, _ := slices.BinarySearchFunc(list, to, compareStart)
		for i--; i >= 0 && list[i].to > from; i-- {
			out = append(out, s.byID[list[i].bookingID])
		}
	}
	slices.SortFunc(out, func(a, b *pb.Booking) int {
		return cmp.Or(cmp.Compare(a.Slots[0].From, b.Slots[0].From), strings.Compare(a.Id, b.Id))
	})
	return slices.Compact(out), true
}
