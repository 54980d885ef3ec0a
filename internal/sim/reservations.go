package sim

import (
	"cmp"
	"dewlift/booking"
	"dewlift/core"
	"dewlift/core/reservations"
	"dewlift/wire"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	pb "dewlift/proto"
)

// reservationChecker are the equipment of a world, what its users were told, and what is stored.
// What is stored is checked after each write, by code of its own that looks at every pair of
// bookings.
type reservationChecker struct {
	sim              *Simulator
	site             *booking.Inventory
	lastStored       map[string]*pb.Booking // as it is stored
	views            map[string]reservationView
	requested        map[string][][]string // by booking: all sets of slots that it was ever asked to have
	endRequested     map[string]bool       // whose end was asked for
	equipmentChanged bool                  // the list of equipment was changed: bookings may have been ended with it
	history          []porcupine.Operation
	stateCounts      map[string]int // how many bookings came to which state, for tests to see that something happened
	lastClientID     int

	archived          int // bookings that are in blocks
	pages, pageMerges int // values that hold bookings, and how often they became fewer
}

// reservationView is what users know of a booking.
type reservationView struct {
	state  string
	toldAt time.Duration // when they were told first
}

// parseEquipment of a world: one kiln that is to cool, two that are alike, a roaster; all are always open.
func parseEquipment(more string) *booking.Inventory {
	s, err := booking.Parse([]byte(`pieces { name: "k1" kind: "kiln" slot_minutes: 60 cool_minutes: 30 }
pieces { name: "k2" kind: "kiln" units: 2 slot_minutes: 60 }
pieces { name: "r" kind: "roaster" slot_minutes: 30 }` + more))
	if err != nil {
		panic(err)
	}
	return s
}

func newReservationChecker(w *Simulator) *reservationChecker {
	return &reservationChecker{
		sim:          w,
		site:         parseEquipment(""),
		lastStored:   map[string]*pb.Booking{},
		views:        map[string]reservationView{},
		requested:    map[string][][]string{},
		endRequested: map[string]bool{},
		stateCounts:  map[string]int{},
	}
}

// writesReservations reports whether a transaction writes bookings.
func writesReservations(t wire.Txn) bool {
	return slices.ContainsFunc(
		t.Then,
		func(x wire.Write) bool { return strings.HasPrefix(x.Put+x.Delete, reservations.Prefix) },
	)
}

func occupiesSlots(b *pb.Booking) bool {
	return b != nil && (b.State == pb.BookingState_held || b.State == pb.BookingState_confirmed)
}

// checkStored checks what the state service holds after a write.
func (k *reservationChecker) checkStored(keys map[string]*wire.KeyValue) {
	now := map[string]*pb.Booking{}
	pages := 0
	k.archived = 0
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		past := strings.HasPrefix(key, reservations.ArchivePrefix)
		if !past &&
			(!strings.HasPrefix(key, reservations.Prefix) || key == reservations.KeyInventory || key == reservations.Prefix+"past") {
			continue
		}
		if !past {
			pages++
		}
		p, _, err := reservations.Decode(keys[key].Value)
		if past {
			k.archived += len(p.GetBookings())
		}
		if err != nil {
			k.sim.Checker.violated("booking", "%s: %v", key, err)
		}
		for _, b := range p.GetBookings() {
			if o := now[b.Id]; o == nil || o.Change < b.Change {
				now[b.Id] = b
			}
		}
	}
	if pages < k.pages {
		k.pageMerges++
	}
	k.pages = pages
	k.checkTransition(k.lastStored, now)
	k.lastStored = now
}

// checkTransition compares what was stored before a write with what is after it.
func (k *reservationChecker) checkTransition(was, now map[string]*pb.Booking) {
	broken := k.sim.Checker.violated
	ids := slices.Sorted(maps.Keys(now))
	for _, id := range slices.Sorted(maps.Keys(was)) {
		o, b := was[id], now[id]
		switch {
		case b == nil || b.Change < o.Change:
			broken("booking_lost", "%s was stored as %v and is %v", id, o, b)
		case o.State == pb.BookingState_ended && b.State != o.State:
			broken("booking_back", "%s had ended and is %s", id, b.State)
		case o.State == pb.BookingState_confirmed && b.State != o.State && (b.State != pb.BookingState_ended || !k.endRequested[id] && !k.equipmentChanged):
			broken("booking_back", "%s was confirmed and is %s, nobody asked for it", id, b.State)
		}
	}
	var changed []*pb.Booking
	for i, id := range ids {
		b, o := now[id], was[id]
		if o == nil || o.State != b.State {
			k.stateCounts[b.State.String()]++
		}
		if o == nil || o.Change != b.Change {
			changed = append(changed, b)
		}
		if !occupiesSlots(b) {
			continue
		}
		k.checkComplete(b)
		for _, other := range ids[i:] {
			if c := now[other]; occupiesSlots(c) && k.overlap(b, c) {
				broken("double_booked", "%v and %v", b, c)
			}
		}
	}
	// In the order in which it was decided: nobody got something while one that came before waited
	// for what it could have, nor does one wait so now.
	slices.SortFunc(changed, func(a, b *pb.Booking) int { return cmp.Compare(a.Change, b.Change) })
	for _, id := range ids {
		b, o := now[id], was[id]
		if o == nil || b.State != pb.BookingState_waiting || o.State != b.State {
			continue
		}
		at := maps.Clone(was)
		for _, g := range changed {
			if later := g.Rank > b.Rank || g.Rank == b.Rank && g.Made > b.Made; later && occupiesSlots(g) &&
				!occupiesSlots(was[g.Id]) &&
				k.couldReserve(at, b) {
				broken("overtaken", "%v could have what it waits for when %v got its slots", b, g)
			}
			at[g.Id] = g
		}
		if k.couldReserve(now, b) && !k.equipmentChanged {
			broken("overtaken", "%v could have what it waits for", b)
		}
	}
}

// overlap reports whether two bookings have a unit at the same time; of one booking, whether it has one twice.
func (k *reservationChecker) overlap(a, b *pb.Booking) bool {
	for i, x := range a.Slots {
		for j, y := range b.Slots {
			if (a != b || i != j) && x.Piece == y.Piece && x.Unit == y.Unit && x.From < y.Clear && y.From < x.Clear {
				return true
			}
		}
	}
	return false
}

// checkComplete checks that a booking has all that was asked for at one time.
func (k *reservationChecker) checkComplete(b *pb.Booking) {
	var has []string
	for _, x := range b.Slots {
		has = append(has, fmt.Sprintf("%s %d %d", k.site.ItemKind(x.Piece), x.From, x.To))
	}
	if !slices.ContainsFunc(k.requested[b.Id], func(w []string) bool { return slices.Equal(w, has) }) {
		k.sim.Checker.violated("half_booked", "%v has %v, asked for was %v", b, has, k.requested[b.Id])
	}
}

// couldReserve reports whether a booking that waits for one slot could have it beside others.
func (k *reservationChecker) couldReserve(others map[string]*pb.Booking, b *pb.Booking) bool {
	if len(b.Wants) != 1 || b.Wants[0].From <= k.unixSeconds() {
		return false
	}
	w := b.Wants[0]
	for _, p := range k.site.Source().Pieces {
		if p.Name != w.Piece && p.Kind != w.Kind {
			continue
		}
		for u := uint32(1); u <= max(1, p.Units); u++ {
			x := &pb.Slot{
				Piece: p.Name,
				Unit:  u,
				From:  w.From,
				Clear: w.From + int64(w.Slots*p.SlotMinutes+p.CoolMinutes)*60,
			}
			free := true
			for _, o := range others {
				free = free && !(occupiesSlots(o) && k.overlap(&pb.Booking{Slots: []*pb.Slot{x}}, o))
			}
			if free {
				return true
			}
		}
	}
	return false
}

func (k *reservationChecker) unixSeconds() int64 {
	return startUnixMS/1000 + int64(k.sim.now.Seconds()) - 1
}

// checkAnswer checks an answer about a booking that was asked for at began.
func (k *reservationChecker) checkAnswer(began time.Duration, id string, r core.Response) *wire.Reservation {
	a, _ := r.Body.(wire.ReservationResponse)
	t, known := k.views[id]
	broken := k.sim.Checker.violated
	if r.Status == wire.StatusNotFound && known && began >= t.toldAt {
		broken("booking_lost", "%s was called %s and is unknown", id, t.state)
	}
	b := a.Reservation
	if b == nil || b.ID != id || r.Status >= 300 && r.Status != wire.StatusConflict {
		return nil
	}
	if known && began >= t.toldAt {
		switch {
		case t.state == "ended" && b.State != t.state:
			broken("booking_back", "%s was told to have ended and is %s", id, b.State)
		case t.state == "confirmed" && (b.State == "held" || b.State == "waiting"):
			broken("booking_back", "%s was told to be confirmed and is %s", id, b.State)
		}
	}
	if s := k.lastStored[id]; s == nil {
		broken("booking_lost", "%s is called %s and is not stored", id, b.State)
	}
	if !known || t.state != b.State && began >= t.toldAt {
		k.views[id] = reservationView{b.State, k.sim.now}
	}
	return b
}

// requestUntilDecided sends a request about a booking until an answer decides it.
func (k *reservationChecker) requestUntilDecided(
	id string,
	in func(req uint64) core.Input,
	then func(r core.Response, b *wire.Reservation),
) {
	w := k.sim
	began := w.now
	by := func(req uint64) core.Input {
		switch x := in(req).(type) {
		case core.ReserveEquipment:
			x.Caller = credentialOf(rootUser)
			return x
		case core.SetEquipment:
			x.Caller = credentialOf(rootUser)
			return x
		case core.ListReservations:
			x.Caller = credentialOf(rootUser)
			return x
		default:
			return x
		}
	}
	w.sendRequest(w.nodes[w.rng.IntN(len(w.nodes))], 2*time.Second, by, func(r core.Response, ok bool) {
		if ok {
			b := k.checkAnswer(began, id, r)
			if r.Status != wire.StatusUnavailable {
				then(r, b)
				return
			}
		}
		w.schedule(
			w.randomDuration(300*time.Millisecond, 2*time.Second),
			func() { k.requestUntilDecided(id, in, then) },
		)
	})
}

func (k *reservationChecker) formatTime(t int64) string {
	return time.Unix(t, 0).UTC().Format(time.RFC3339)
}

// randomWants is a slot or a few, close together, so that many want the same.
func (k *reservationChecker) randomWants() (ask []wire.SlotRequest) {
	w := k.sim
	hour := (startUnixMS/1000/3600 + 30) * 3600
	for range 1 + w.rng.IntN(4)/3*(1+w.rng.IntN(2)) {
		x := wire.SlotRequest{From: k.formatTime(hour + 3600*int64(w.rng.IntN(12))), Slots: uint32(1 + w.rng.IntN(2))}
		switch w.rng.IntN(4) {
		case 0:
			x.Equipment = "k1"
		case 1:
			x.Equipment = "k2"
		case 2:
			x.Kind = "kiln"
		case 3:
			x.Equipment = "r"
		}
		ask = append(ask, x)
	}
	return ask
}

// noteRequested notes what a booking is asked to have.
func (k *reservationChecker) noteRequested(id string, list []wire.SlotRequest) {
	wants, err := reservations.ResolveWants(k.site, list, "")
	if err != nil {
		panic(err)
	}
	var has []string
	for _, x := range wants {
		minutes := int64(60)
		kind := k.site.WantKind(x)
		if kind == "roaster" {
			minutes = 30
		}
		has = append(has, fmt.Sprintf("%s %d %d", kind, x.From, x.From+int64(x.Slots)*minutes*60))
	}
	k.requested[id] = append(k.requested[id], has)
}

// scheduleReservationUsers are users who book the same few hours of the same few pieces, repeat
// themselves, move, confirm, end and ask.
func (w *Simulator) scheduleReservationUsers() {
	k := w.reservations
	for i := range w.options.ReservationUsers {
		w.schedule(
			w.randomDuration(2*time.Second, w.options.Duration*3/4),
			func() { k.runReservationUser(fmt.Sprintf("b%03d", i)) },
		)
	}
	for i := range w.options.ReservationUsers / 2 {
		w.schedule(
			w.randomDuration(2*time.Second, w.options.Duration*3/4),
			func() { k.runSingleSlotUser(fmt.Sprintf("s%03d", i)) },
		)
	}
	if w.options.ReservationUsers > 20 { // the list is changed in the middle: a kiln is out of order, and back
		w.schedule(
			w.options.Duration/3,
			func() { k.changeEquipment(` pieces { name: "spare" kind: "kiln" slot_minutes: 60 out: 1 }`, false) },
		)
		w.schedule(w.options.Duration/2, func() { k.changeEquipment("", true) })
	}
}

func (k *reservationChecker) changeEquipment(more string, end bool) {
	text := parseEquipment(more).Source().String()
	k.equipmentChanged = k.equipmentChanged || end
	k.requestUntilDecided("", func(req uint64) core.Input {
		return core.SetEquipment{
			RequestID: req,
			Edit:      wire.EquipmentEdit{Text: text, EndDisplaced: end, Reason: "the kiln is out of order"},
		}
	}, func(r core.Response, _ *wire.Reservation) {
		if r.Status != wire.StatusOK && r.Status != wire.StatusConflict {
			k.sim.Checker.violated("booking", "a list of equipment got %d: %v", r.Status, r.Body)
		}
	})
}

func (k *reservationChecker) runReservationUser(id string) {
	w := k.sim
	a := wire.ReservationRequest{ID: id, Slots: k.randomWants(), Waitlist: w.chance(0.5)}
	if w.chance(0.4) {
		a.HoldS = uint32(2 + w.rng.IntN(30))
	}
	a.Priority = wire.PriorityName(w.rng.IntN(3))
	k.noteRequested(id, a.Slots)
	send := func(verb booking.Verb, a wire.ReservationRequest, then func(r core.Response, b *wire.Reservation)) {
		k.requestUntilDecided(
			id,
			func(req uint64) core.Input { return core.ReserveEquipment{RequestID: req, Verb: verb, Request: a} },
			then,
		)
	}
	var life func()
	life = func() {
		w.schedule(w.randomDuration(500*time.Millisecond, 12*time.Second), func() {
			switch w.rng.IntN(6) {
			case 0:
				send(
					booking.VerbConfirm,
					wire.ReservationRequest{ID: id},
					func(core.Response, *wire.Reservation) { life() },
				)
			case 1:
				next := wire.ReservationRequest{ID: id, Slots: k.randomWants()}
				k.noteRequested(id, next.Slots)
				send(booking.VerbMove, next, func(core.Response, *wire.Reservation) { life() })
			case 2:
				k.endRequested[id] = true
				send(
					booking.VerbEnd,
					wire.ReservationRequest{ID: id, Reason: "done with it"},
					func(core.Response, *wire.Reservation) { life() },
				)
			case 3: // a repeat
				send(booking.VerbCreate, a, func(core.Response, *wire.Reservation) { life() })
			default:
				k.requestUntilDecided(id, func(req uint64) core.Input {
					return core.ListReservations{RequestID: req, Query: wire.ReservationQuery{ID: id}}
				},
					func(core.Response, *wire.Reservation) { life() })
			}
		})
	}
	send(booking.VerbCreate, a, func(r core.Response, _ *wire.Reservation) {
		switch r.Status {
		case wire.StatusOK, wire.StatusCreated:
			life()
		case wire.StatusConflict:
		default:
			w.Checker.violated("booking", "%s got %d: %v", id, r.Status, r.Body)
		}
	})
}

// slotOperation is an operation on one slot of one unit, for the check that there is an order of
// all operations that explains all answers.
type slotOperation struct {
	slot, id string
	end      bool
}

// runSingleSlotUser is a user who makes a booking of one slot that others want too, and ends it.
func (k *reservationChecker) runSingleSlotUser(id string) {
	w := k.sim
	slot := k.formatTime((startUnixMS/1000/3600 + 200 + 2*int64(w.rng.IntN(3))) * 3600)
	k.noteRequested(id, []wire.SlotRequest{{Equipment: "k1", From: slot}})
	op := func(end bool, in func(req uint64) core.Input, then func()) {
		call := w.now
		k.lastClientID++
		client := k.lastClientID
		k.requestUntilDecided(id, in, func(r core.Response, b *wire.Reservation) {
			out := "none"
			if b != nil {
				out = b.State
			}
			k.history = append(
				k.history,
				porcupine.Operation{
					ClientId: client,
					Input:    slotOperation{slot, id, end},
					Call:     int64(call),
					Output:   out,
					Return:   int64(w.now),
				},
			)
			then()
		})
	}
	make := func(req uint64) core.Input {
		return core.ReserveEquipment{
			RequestID: req,
			Verb:      booking.VerbCreate,
			Request:   wire.ReservationRequest{ID: id, Slots: []wire.SlotRequest{{Equipment: "k1", From: slot}}},
		}
	}
	end := func(req uint64) core.Input {
		k.endRequested[id] = true
		return core.ReserveEquipment{RequestID: req, Verb: booking.VerbEnd, Request: wire.ReservationRequest{ID: id}}
	}
	op(false, make, func() {
		w.schedule(w.randomDuration(time.Second, 10*time.Second), func() {
			op(
				true,
				end,
				func() { w.schedule(w.randomDuration(0, 5*time.Second), func() { op(false, make, func() {}) }) },
			)
		})
	})
}

// slotModel is one slot: who has it, and whose bookings of it have ended.
var slotModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) (out [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			in := o.Input.(slotOperation)
			by[in.slot] = append(by[in.slot], o)
		}
		for _, slot := range slices.Sorted(maps.Keys(by)) {
			out = append(out, by[slot])
		}
		return out
	},
	Init: func() any { return "|" },
	Step: func(state, input, output any) (bool, any) {
		has, ended, _ := strings.Cut(state.(string), "|")
		in, out := input.(slotOperation), output.(string)
		over := strings.Contains(ended, in.id)
		switch {
		case over:
			return out == "ended", state
		case in.end && has == in.id:
			return out == "ended", "|" + ended + in.id
		case in.end, has != "" && has != in.id:
			return out == "none", state
		}
		return out == "confirmed", in.id + "|" + ended
	},
}

// CheckLinearizable reports whether one order of all operations on single slots explains their answers.
func (k *reservationChecker) CheckLinearizable() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(slotModel, k.history, 20*time.Second)
}
