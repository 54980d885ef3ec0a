package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"dewlift/booking"
	"dewlift/core"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// reservationChecker holds the equipment of a simulation, what its users were told about reservations, and what is
// stored. After each write it checks the stored reservations independently of the core, by comparing every pair of
// them.
type reservationChecker struct {
	sim              *Simulator
	inventory        *booking.Inventory
	lastStored       map[string]*pb.Booking
	views            map[string]reservationView
	requested        map[string][][]string // by reservation: all sets of slots that it was ever requested with
	endRequested     map[string]bool
	equipmentChanged bool                  // displaced reservations may have ended
	history          []porcupine.Operation // of single slots, see CheckLinearizable
	stateCounts      map[string]int        // how often each state was reached; shows that a run was not idle
	lastClientID     int

	archived   int // reservations in archive blocks
	pages      int // stored values with reservations
	pageMerges int // how often their number fell

	deniedEdits int // requests to change the inventory without permission that got a final response
}

// reservationView is what users know about a reservation.
type reservationView struct {
	state      string
	reportedAt time.Duration // when the state was first reported to a user
}

// parseEquipment returns the inventory of a simulation: a kiln with a cooling time, two equal kilns and a roaster,
// always open, and the items in more, in the inventory's text form.
func parseEquipment(more string) *booking.Inventory {
	inventory, err := booking.Parse([]byte(`pieces { name: "k1" kind: "kiln" slot_minutes: 60 cool_minutes: 30 }
pieces { name: "k2" kind: "kiln" units: 2 slot_minutes: 60 }
pieces { name: "r" kind: "roaster" slot_minutes: 30 }` + more))
	if err != nil {
		panic(err) // the text is constant
	}
	return inventory
}

func newReservationChecker(sim *Simulator) *reservationChecker {
	return &reservationChecker{
		sim:          sim,
		inventory:    parseEquipment(""),
		lastStored:   map[string]*pb.Booking{},
		views:        map[string]reservationView{},
		requested:    map[string][][]string{},
		endRequested: map[string]bool{},
		stateCounts:  map[string]int{},
	}
}

// writesReservations reports whether a transaction writes reservations.
func writesReservations(txn wire.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(write wire.Write) bool {
		return strings.HasPrefix(write.Put+write.Delete, reservations.Prefix)
	})
}

// occupiesSlots reports whether a reservation blocks its slots for others.
func occupiesSlots(b *pb.Booking) bool {
	return b != nil && (b.State == pb.BookingState_held || b.State == pb.BookingState_confirmed)
}

// isReservationPage reports whether a key holds a page of current reservations.
func isReservationPage(key string) bool {
	return strings.HasPrefix(key, reservations.Prefix) && key != reservations.KeyInventory &&
		key != reservations.Prefix+"past"
}

// checkStored checks what the store holds after a write.
func (c *reservationChecker) checkStored(keys map[string]*wire.KeyValue) {
	stored := map[string]*pb.Booking{}
	pages := 0
	c.archived = 0
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		isArchive := strings.HasPrefix(key, reservations.ArchivePrefix)
		if !isArchive && !isReservationPage(key) {
			continue
		}
		page, _, err := reservations.Decode(keys[key].Value)
		if isArchive {
			c.archived += len(page.GetBookings())
		} else {
			pages++
		}
		if err != nil {
			c.sim.Checker.violated("booking", "%s: %v", key, err)
		}
		for _, b := range page.GetBookings() {
			if other := stored[b.Id]; other == nil || other.Change < b.Change {
				stored[b.Id] = b
			}
		}
	}
	if pages < c.pages {
		c.pageMerges++
	}
	c.pages = pages
	c.checkNoDeniedItem(keys)
	c.checkTransition(c.lastStored, stored)
	c.lastStored = stored
}

// checkTransition compares what was stored before a write with what is stored after it.
func (c *reservationChecker) checkTransition(before, after map[string]*pb.Booking) {
	c.checkNoneLost(before, after)
	ids := slices.Sorted(maps.Keys(after))
	var changed []*pb.Booking
	for i, id := range ids {
		current, previous := after[id], before[id]
		if previous == nil || previous.State != current.State {
			c.stateCounts[current.State.String()]++
		}
		if previous == nil || previous.Change != current.Change {
			changed = append(changed, current)
		}
		if occupiesSlots(current) {
			c.checkComplete(current)
			c.checkNotDoubleBooked(current, ids[i:], after)
		}
	}
	slices.SortFunc(changed, func(a, b *pb.Booking) int { return cmp.Compare(a.Change, b.Change) })
	for _, id := range ids {
		current, previous := after[id], before[id]
		if previous != nil && current.State == pb.BookingState_waiting && previous.State == current.State {
			c.checkNotOvertaken(current, before, after, changed)
		}
	}
}

// checkNoneLost checks that no reservation is lost or reset to an earlier change, and that none leaves a final state.
func (c *reservationChecker) checkNoneLost(before, after map[string]*pb.Booking) {
	violated := c.sim.Checker.violated
	for _, id := range slices.Sorted(maps.Keys(before)) {
		previous, current := before[id], after[id]
		if current == nil || current.Change < previous.Change {
			violated("booking_lost", "%s was stored as %v and is %v", id, previous, current)
			continue
		}
		if current.State == previous.State {
			continue
		}
		mayEnd := current.State == pb.BookingState_ended && (c.endRequested[id] || c.equipmentChanged)
		switch {
		case previous.State == pb.BookingState_ended:
			violated("booking_back", "%s had ended and is %s", id, current.State)
		case previous.State == pb.BookingState_confirmed && !mayEnd:
			violated("booking_back", "%s was confirmed and is %s, but nobody requested that", id, current.State)
		}
	}
}

// checkNotDoubleBooked checks that a reservation overlaps neither itself nor another one.
func (c *reservationChecker) checkNotDoubleBooked(b *pb.Booking, others []string, stored map[string]*pb.Booking) {
	for _, id := range others {
		if other := stored[id]; occupiesSlots(other) && c.overlap(b, other) {
			c.sim.Checker.violated("double_booked", "%v and %v", b, other)
		}
	}
}

// checkNotOvertaken replays changes in the order in which they were decided: no reservation of lower rank may get slots
// while the waiting one could have its slots, and afterwards the waiting one must not be able to have them either.
func (c *reservationChecker) checkNotOvertaken(
	waiting *pb.Booking,
	before, after map[string]*pb.Booking,
	changed []*pb.Booking,
) {
	state := maps.Clone(before)
	for _, granted := range changed {
		ranksLower := granted.Rank > waiting.Rank || granted.Rank == waiting.Rank && granted.Made > waiting.Made
		getsSlots := occupiesSlots(granted) && !occupiesSlots(before[granted.Id])
		if ranksLower && getsSlots && c.couldReserve(state, waiting) {
			c.sim.Checker.violated("overtaken", "%v could have had its slots when %v got slots",
				waiting, granted)
		}
		state[granted.Id] = granted
	}
	if c.couldReserve(after, waiting) && !c.equipmentChanged {
		c.sim.Checker.violated("overtaken", "%v waits but could have its slots", waiting)
	}
}

// overlap reports whether two reservations occupy the same unit at the same time or, for a reservation and itself,
// whether two of its slots do.
func (c *reservationChecker) overlap(a, b *pb.Booking) bool {
	for i, x := range a.Slots {
		for j, y := range b.Slots {
			if (a != b || i != j) && x.Piece == y.Piece && x.Unit == y.Unit && x.From < y.Clear && y.From < x.Clear {
				return true
			}
		}
	}
	return false
}

// checkComplete checks that a reservation has exactly a set of slots that was requested for it.
func (c *reservationChecker) checkComplete(b *pb.Booking) {
	var has []string
	for _, slot := range b.Slots {
		has = append(has, fmt.Sprintf("%s %d %d", c.inventory.ItemKind(slot.Piece), slot.From, slot.To))
	}
	if !slices.ContainsFunc(c.requested[b.Id], func(set []string) bool { return slices.Equal(set, has) }) {
		c.sim.Checker.violated("half_booked", "%v has %v, but %v was requested", b, has, c.requested[b.Id])
	}
}

// couldReserve reports whether a reservation that waits for one future slot could have it, given the others.
func (c *reservationChecker) couldReserve(others map[string]*pb.Booking, b *pb.Booking) bool {
	if len(b.Wants) != 1 || b.Wants[0].From <= c.unixSeconds() {
		return false
	}
	want := b.Wants[0]
	for _, item := range c.inventory.Source().Pieces {
		if item.Name != want.Piece && item.Kind != want.Kind {
			continue
		}
		for unit := uint32(1); unit <= max(1, item.Units); unit++ {
			slot := &pb.Slot{
				Piece: item.Name,
				Unit:  unit,
				From:  want.From,
				Clear: want.From + int64(want.Slots*item.SlotMinutes+item.CoolMinutes)*60,
			}
			if c.isFree(slot, others) {
				return true
			}
		}
	}
	return false
}

// isFree reports whether no reservation occupies a slot.
func (c *reservationChecker) isFree(slot *pb.Slot, others map[string]*pb.Booking) bool {
	wanted := &pb.Booking{Slots: []*pb.Slot{slot}}
	for _, other := range others {
		if occupiesSlots(other) && c.overlap(wanted, other) {
			return false
		}
	}
	return true
}

// unixSeconds returns a lower bound of the wall clocks of all controllers.
func (c *reservationChecker) unixSeconds() int64 {
	return startUnixMS/1000 + int64(c.sim.now.Seconds()) - 1
}

// checkResponse checks the response to a request about a reservation that was sent at sentAt, and returns the
// reservation in it.
func (c *reservationChecker) checkResponse(sentAt time.Duration, id string, response core.Response) *wire.Reservation {
	body, _ := response.Body.(wire.ReservationResponse)
	view, known := c.views[id]
	isLater := sentAt >= view.reportedAt // the request was sent after the last report
	violated := c.sim.Checker.violated
	if response.Status == wire.StatusNotFound && known && isLater {
		violated("booking_lost", "%s was reported %s and is unknown", id, view.state)
	}
	current := body.Reservation
	if current == nil || current.ID != id || response.Status >= 300 && response.Status != wire.StatusConflict {
		return nil
	}
	if known && isLater {
		switch {
		case view.state == "ended" && current.State != view.state:
			violated("booking_back", "%s was reported ended and is %s", id, current.State)
		case view.state == "confirmed" && (current.State == "held" || current.State == "waiting"):
			violated("booking_back", "%s was reported confirmed and is %s", id, current.State)
		}
	}
	if c.lastStored[id] == nil {
		violated("booking_lost", "%s is reported %s and is not stored", id, current.State)
	}
	if !known || view.state != current.State && isLater {
		c.views[id] = reservationView{current.State, c.sim.now}
	}
	return current
}

// withRootCaller sets the caller of a request about reservations.
func withRootCaller(in core.Input) core.Input {
	switch request := in.(type) {
	case core.ReserveEquipment:
		request.Caller = credentialOf(rootUser)
		return request
	case core.SetEquipment:
		request.Caller = credentialOf(rootUser)
		return request
	case core.ListReservations:
		request.Caller = credentialOf(rootUser)
		return request
	default:
		return request
	}
}

// reservationTimeout is how long a user waits for a response about a reservation.
const reservationTimeout = 2 * time.Second

// requestUntilDecided repeats a request about a reservation until it gets a final response.
func (c *reservationChecker) requestUntilDecided(
	id string,
	newInput func(requestID uint64) core.Input,
	then func(response core.Response, reservation *wire.Reservation),
) {
	sim := c.sim
	sentAt := sim.now
	withCaller := func(requestID uint64) core.Input { return withRootCaller(newInput(requestID)) }
	sim.sendRequest(sim.anyNode(), reservationTimeout, withCaller, func(response core.Response, ok bool) {
		if ok {
			current := c.checkResponse(sentAt, id, response)
			if response.Status != wire.StatusUnavailable {
				then(response, current)
				return
			}
		}
		sim.schedule(sim.randomDuration(300*time.Millisecond, 2*time.Second), func() {
			c.requestUntilDecided(id, newInput, then)
		})
	})
}

// formatTime formats Unix seconds as requests have them.
func (c *reservationChecker) formatTime(unixSeconds int64) string {
	return time.Unix(unixSeconds, 0).UTC().Format(time.RFC3339)
}

// hourAfterStart returns, in Unix seconds, a full hour after the start of the simulation.
func hourAfterStart(hours int64) int64 { return (startUnixMS/1000/3600 + hours) * 3600 }

// randomSlotRequests draws one slot or a few, close together, so that many users want the same.
func (c *reservationChecker) randomSlotRequests() (wants []wire.SlotRequest) {
	sim := c.sim
	hour := hourAfterStart(30)
	for range 1 + sim.rng.IntN(4)/3*(1+sim.rng.IntN(2)) {
		from := c.formatTime(hour + 3600*int64(sim.rng.IntN(12)))
		want := wire.SlotRequest{From: from, Slots: uint32(1 + sim.rng.IntN(2))}
		switch sim.rng.IntN(4) {
		case 0:
			want.Equipment = "k1"
		case 1:
			want.Equipment = "k2"
		case 2:
			want.Kind = "kiln"
		case 3:
			want.Equipment = "r"
		}
		wants = append(wants, want)
	}
	return wants
}

// recordRequested records the slots that a reservation is requested with.
func (c *reservationChecker) recordRequested(id string, slots []wire.SlotRequest) {
	wants, err := reservations.ResolveWants(c.inventory, slots, nil)
	if err != nil {
		panic(err) // all requested slots are valid
	}
	var set []string
	for _, want := range wants {
		minutes := int64(60)
		kind := c.inventory.WantKind(want)
		if kind == "roaster" {
			minutes = 30
		}
		set = append(set, fmt.Sprintf("%s %d %d", kind, want.From, want.From+int64(want.Slots)*minutes*60))
	}
	c.requested[id] = append(c.requested[id], set)
}

// scheduleReservationUsers schedules users who reserve the same few hours of the same equipment, repeat requests, and
// move, confirm, end and list reservations.
func (s *Simulator) scheduleReservationUsers() {
	checker := s.reservations
	for i := range s.options.ReservationUsers {
		s.schedule(s.randomDuration(2*time.Second, s.options.Duration*3/4), func() {
			checker.runReservationUser(fmt.Sprintf("b%03d", i))
		})
	}
	for i := range s.options.ReservationUsers / 2 {
		s.schedule(s.randomDuration(2*time.Second, s.options.Duration*3/4), func() {
			checker.runSingleSlotUser(fmt.Sprintf("s%03d", i))
		})
	}
	if s.options.Permissions {
		checker.scheduleDeniedEdits()
	}
	if s.options.ReservationUsers > 20 { // an out-of-order kiln is added, and removed later
		s.schedule(s.options.Duration/3, func() {
			checker.changeEquipment(` pieces { name: "spare" kind: "kiln" slot_minutes: 60 out: 1 }`, false)
		})
		s.schedule(s.options.Duration/2, func() { checker.changeEquipment("", true) })
	}
}

// changeEquipment replaces the inventory.
func (c *reservationChecker) changeEquipment(more string, endDisplaced bool) {
	text := parseEquipment(more).Source().String()
	c.equipmentChanged = c.equipmentChanged || endDisplaced
	c.requestUntilDecided("", func(requestID uint64) core.Input {
		return core.SetEquipment{
			RequestID: requestID,
			Edit:      wire.EquipmentEdit{Text: text, EndDisplaced: endDisplaced, Reason: "the kiln is out of order"},
		}
	}, func(response core.Response, _ *wire.Reservation) {
		if response.Status != wire.StatusOK && response.Status != wire.StatusConflict {
			c.sim.Checker.violated("booking", "an inventory got status %d: %v", response.Status, response.Body)
		}
	})
}

// reservationUser is a user with one reservation.
type reservationUser struct {
	checker *reservationChecker
	request wire.ReservationRequest
}

// runReservationUser starts a user who makes a reservation and then changes or lists it at random.
func (c *reservationChecker) runReservationUser(id string) {
	sim := c.sim
	request := wire.ReservationRequest{ID: id, Slots: c.randomSlotRequests(), Waitlist: sim.chance(0.5)}
	if sim.chance(0.4) {
		request.HoldS = uint32(2 + sim.rng.IntN(30))
	}
	request.Priority = wire.PriorityName(sim.rng.IntN(3))
	c.recordRequested(id, request.Slots)
	user := &reservationUser{checker: c, request: request}
	user.send(booking.VerbCreate, request, func(response core.Response) {
		switch response.Status {
		case wire.StatusOK, wire.StatusCreated:
			user.scheduleNext()
		case wire.StatusConflict:
		default:
			sim.Checker.violated("booking", "%s got status %d: %v", id, response.Status, response.Body)
		}
	})
}

// send repeats a request until it gets a final response.
func (u *reservationUser) send(
	verb booking.Verb,
	request wire.ReservationRequest,
	then func(response core.Response),
) {
	u.checker.requestUntilDecided(u.request.ID, func(requestID uint64) core.Input {
		return core.ReserveEquipment{RequestID: requestID, Verb: verb, Request: request}
	}, func(response core.Response, _ *wire.Reservation) { then(response) })
}

// scheduleNext schedules the next request.
func (u *reservationUser) scheduleNext() {
	sim := u.checker.sim
	sim.schedule(sim.randomDuration(500*time.Millisecond, 12*time.Second), u.sendRandomRequest)
}

// sendRandomRequest sends a request of a random kind, and schedules the next after its response.
func (u *reservationUser) sendRandomRequest() {
	checker, id := u.checker, u.request.ID
	next := func(core.Response) { u.scheduleNext() }
	switch checker.sim.rng.IntN(6) {
	case 0:
		u.send(booking.VerbConfirm, wire.ReservationRequest{ID: id}, next)
	case 1:
		moved := wire.ReservationRequest{ID: id, Slots: checker.randomSlotRequests()}
		checker.recordRequested(id, moved.Slots)
		u.send(booking.VerbMove, moved, next)
	case 2:
		checker.endRequested[id] = true
		u.send(booking.VerbEnd, wire.ReservationRequest{ID: id, Reason: "done with it"}, next)
	case 3: // an idempotent repetition of the first request
		u.send(booking.VerbCreate, u.request, next)
	default:
		checker.requestUntilDecided(id, func(requestID uint64) core.Input {
			return core.ListReservations{RequestID: requestID, Query: wire.ReservationQuery{ID: id}}
		}, func(core.Response, *wire.Reservation) { u.scheduleNext() })
	}
}

// slotOperation is the input of an operation on one slot, for the check of linearizability.
type slotOperation struct {
	slot, id string
	end      bool
}

// singleSlotUser is a user with a reservation of one slot, whose operations are recorded.
type singleSlotUser struct {
	checker  *reservationChecker
	id, slot string
}

// runSingleSlotUser starts a user who reserves one slot that others want too, ends the reservation, and repeats the
// first request.
func (c *reservationChecker) runSingleSlotUser(id string) {
	sim := c.sim
	slot := c.formatTime(hourAfterStart(200 + 2*int64(sim.rng.IntN(3))))
	c.recordRequested(id, []wire.SlotRequest{{Equipment: "k1", From: slot}})
	user := &singleSlotUser{checker: c, id: id, slot: slot}
	user.create(func() {
		sim.schedule(sim.randomDuration(time.Second, 10*time.Second), func() {
			user.end(func() {
				sim.schedule(sim.randomDuration(0, 5*time.Second), func() { user.create(func() {}) })
			})
		})
	})
}

// create requests the reservation.
func (u *singleSlotUser) create(then func()) {
	u.record(false, func(requestID uint64) core.Input {
		return core.ReserveEquipment{
			RequestID: requestID,
			Verb:      booking.VerbCreate,
			Request:   wire.ReservationRequest{ID: u.id, Slots: []wire.SlotRequest{{Equipment: "k1", From: u.slot}}},
		}
	}, then)
}

// end ends the reservation.
func (u *singleSlotUser) end(then func()) {
	u.record(true, func(requestID uint64) core.Input {
		u.checker.endRequested[u.id] = true
		return core.ReserveEquipment{
			RequestID: requestID, Verb: booking.VerbEnd, Request: wire.ReservationRequest{ID: u.id},
		}
	}, then)
}

// record sends a request until it gets a final response, and appends the operation to the history.
func (u *singleSlotUser) record(end bool, newInput func(requestID uint64) core.Input, then func()) {
	checker := u.checker
	calledAt := checker.sim.now
	checker.lastClientID++
	clientID := checker.lastClientID
	checker.requestUntilDecided(u.id, newInput, func(_ core.Response, reservation *wire.Reservation) {
		state := "none"
		if reservation != nil {
			state = reservation.State
		}
		checker.history = append(checker.history, porcupine.Operation{
			ClientId: clientID,
			Input:    slotOperation{u.slot, u.id, end},
			Call:     int64(calledAt),
			Output:   state,
			Return:   int64(checker.sim.now),
		})
		then()
	})
}

// slotModel is the sequential specification of a slot: which reservation has it, and whose reservations have ended,
// as "holder|ended IDs".
var slotModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) (partitions [][]porcupine.Operation) {
		bySlot := map[string][]porcupine.Operation{}
		for _, operation := range history {
			slot := operation.Input.(slotOperation).slot
			bySlot[slot] = append(bySlot[slot], operation)
		}
		for _, slot := range slices.Sorted(maps.Keys(bySlot)) {
			partitions = append(partitions, bySlot[slot])
		}
		return partitions
	},
	Init: func() any { return "|" },
	Step: func(state, input, output any) (bool, any) {
		holder, ended, _ := strings.Cut(state.(string), "|")
		operation, out := input.(slotOperation), output.(string)
		hasEnded := strings.Contains(ended, operation.id)
		switch {
		case hasEnded:
			return out == "ended", state
		case operation.end && holder == operation.id:
			return out == "ended", "|" + ended + operation.id
		case operation.end, holder != "" && holder != operation.id:
			return out == "none", state
		}
		return out == "confirmed", operation.id + "|" + ended
	},
}

// linearizabilityTimeout limits the search of CheckLinearizable, in real time.
const linearizabilityTimeout = 20 * time.Second

// CheckLinearizable reports whether some sequential order of all operations on single slots explains their responses.
func (c *reservationChecker) CheckLinearizable() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(slotModel, c.history, linearizabilityTimeout)
}
