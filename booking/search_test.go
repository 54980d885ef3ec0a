package booking

import (
	"fmt"
	"strings"
	"testing"

	pb "dewlift/proto"
)

// A search must end after a bounded number of look-ups, with a reason: slots that can't all be met in equipment of many
// units took the event loop half a minute.
func TestSearchTakesBoundedWork(t *testing.T) {
	const items = 20
	var list strings.Builder
	for i := range items {
		fmt.Fprintf(&list, `pieces { name: "k%d" kind: "kiln" units: 200 slot_minutes: 1 }`, i)
	}
	inventory, schedule := mustParse(t, list.String()), NewSchedule()
	from := mustParseTime(t, inventory, "2027-03-04T08:00")
	for item := range items {
		for unit := uint32(1); unit <= 200; unit++ {
			until := from + secondsPerDay
			slot := &pb.Slot{Piece: fmt.Sprint("k", item), Unit: unit, From: from, To: until, Clear: until}
			id := fmt.Sprint("b", item, "-", unit)
			schedule.Put(&pb.Booking{Id: id, Change: 1, State: pb.BookingState_confirmed, Slots: []*pb.Slot{slot}})
		}
	}
	var wants []*pb.Want
	for i := range MaxWants - 1 { // each can be met in many ways
		wants = append(wants, &pb.Want{Kind: "kiln", From: from + 2*86400 + int64(60*i), Slots: 1})
	}
	wants = append(wants, &pb.Want{Kind: "kiln", From: from, Slots: 1})
	before := schedule.Work()
	request := &Request{ID: "a", Wants: wants}
	result := inventory.Decide(schedule.NewDraft(), from-3600, request)
	if result.Outcome != OutcomeRefused || result.Reason == "" {
		t.Errorf("%v", result)
	}
	// One search for the units, and one for what is free instead.
	if work := schedule.Work() - before; work > 2*(maxSearchWork+items*200) {
		t.Errorf("the decision took %d look-ups, at most %d are allowed for a search", work, maxSearchWork)
	}
}

// Serving a long waitlist must take bounded work, and still give free units to a reservation behind many that can't be
// met: each search is bounded, but 2,000 of them took the event loop minutes.
func TestLongWaitlistIsServedInBoundedWork(t *testing.T) {
	const waiting = MaxWaitlist - 1
	inventory, schedule := mustParse(t, `pieces { name: "k" kind: "kiln" units: 20 slot_minutes: 60 }`), NewSchedule()
	now := mustParseTime(t, inventory, "2027-03-04T08:00")
	blocked := now + 2*secondsPerDay // all units are taken then
	for unit := uint32(1); unit <= 20; unit++ {
		slot := &pb.Slot{Piece: "k", Unit: unit, From: blocked, To: blocked + 3600, Clear: blocked + 3600}
		id := fmt.Sprint("taken", unit)
		schedule.Put(&pb.Booking{Id: id, Change: 1, State: pb.BookingState_confirmed, Slots: []*pb.Slot{slot}})
	}
	wants := make([]*pb.Want, 0, MaxWants)
	for i := range MaxWants - 1 { // each can be met in many ways
		wants = append(wants, &pb.Want{Kind: "kiln", From: now + secondsPerDay + int64(3600*(i/15)), Slots: 1})
	}
	wants = append(wants, &pb.Want{Kind: "kiln", From: blocked, Slots: 1})
	for i := range waiting {
		id := fmt.Sprint("hard", i)
		schedule.Put(&pb.Booking{Id: id, Change: 2, Made: 2, State: pb.BookingState_waiting, Wants: wants})
	}
	simple := []*pb.Want{{Piece: "k", From: now + 5*secondsPerDay, Slots: 1}}
	schedule.Put(&pb.Booking{Id: "simple", Change: 3, Made: 3, State: pb.BookingState_waiting, Wants: simple})
	before := schedule.Work()
	inventory.Advance(schedule.NewDraft(), now)
	if work := schedule.Work() - before; work > 2*maxSearchWork+MaxWaitlist*minWaitingWork {
		t.Errorf("serving the waitlist took %d look-ups", work)
	}
	if got := schedule.Get("simple").State; got != pb.BookingState_confirmed {
		t.Errorf("the reservation at the end of the waitlist is %v", got)
	}
}
