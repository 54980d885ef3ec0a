package core

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/core/auditlog"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Bookings of equipment: who asks, with which right, and what it may take of the changes. What is decided is in the package booking,
// what is stored in core/booking.

// bookings is what the core keeps beside the desk.
type bookings struct {
	ids    []uint64 // entries of the audit record in the transaction on its way
	told   bool     // that something can be booked
	seedAt time.Duration
}

// booker is who waits for the answer to an ask.
type booker struct {
	req uint64
	by  Cred
}

const oldVersion = "a controller may still run a version that does not know bookings"

func (c *Core) putBooking(key string, raw json.RawMessage, mark uint64) error {
	carried, err := c.desk.ApplyPut(key, raw, mark)
	if key == reservations.KeyHead {
		c.recorder().ObserveEntries(key, mark, carried)
	}
	return err
}

// mayAsk answers those who can't be served now: false if it did.
func (c *Core) mayAsk(req uint64) bool {
	switch {
	case c.closed():
		c.refuse(req, notYet)
	case !c.replica.loaded:
		c.refuse(req, "not caught up")
	case c.stateDown():
		c.refuse(req, "state service not reached")
	case c.form() < formBooking:
		c.refuse(req, oldVersion)
	default:
		return true
	}
	return false
}

// book has a wish wait for its turn.
func (c *Core) book(in Book) {
	b := in.Ask
	if !booking.ValidID(b.ID) {
		c.reply(in.Req, 400, wire.ReservationResponse{Error: "id: letters, digits, dots, dashes and underscores, at most 64"})
		return
	}
	rank, ok := wire.Priority(cmp.Or(b.Priority, wire.PriorityName(wire.PriorityStandard)))
	if !ok {
		c.reply(in.Req, 400, wire.ReservationResponse{Error: "priority: there is no " + b.Priority})
		return
	}
	if !c.mayAsk(in.Req) {
		return
	}
	w := booking.Request{Verb: in.Verb, ID: b.ID, Team: b.Team, Identity: in.By.Who, HoldSeconds: b.HoldS, WaitlistRank: uint32(rank), JoinWaitlist: b.Waitlist, Reason: b.Reason}
	c.askDesk(&reservations.PendingRequest{Request: w, Wants: b.Slots, RecurrenceRule: b.Repeat, CallerData: booker{req: in.Req, by: in.By}})
}

func (c *Core) askDesk(a *reservations.PendingRequest) {
	a.Deadline = c.now + c.cfg.AcceptWait
	if !c.desk.Enqueue(a) {
		c.refuse(a.CallerData.(booker).req, tooBusy)
	}
}

// equip has another list of equipment put in force.
func (c *Core) equip(in Equip) {
	site, err := booking.Parse([]byte(in.Edit.Text))
	if err != nil {
		c.reply(in.Req, 400, wire.ReservationResponse{Error: "equipment: " + err.Error()})
		return
	}
	if !c.mayAsk(in.Req) {
		return
	}
	w := booking.Request{Verb: booking.VerbSetInventory, Replacement: site, EndDisplaced: in.Edit.EndDisplaced, Reason: in.Edit.Reason}
	c.askDesk(&reservations.PendingRequest{Request: w, CallerData: booker{req: in.Req, by: in.By}})
}

// bookStep decides what waits, and answers.
func (c *Core) bookStep() {
	if open := c.desk.IsEnabled() && c.form() >= formBooking; open != c.deskState.told {
		c.deskState.told = open
		c.emit(Bookings{Open: open})
	}
	for _, a := range c.desk.TakeExpired(c.now) {
		c.answerBooking(a)
	}
	if c.mute() || c.form() < formBooking || c.unix == 0 {
		return
	}
	c.seedEquipment()
	for _, id := range c.desk.TakeBlocksToRead() {
		c.readPast(id, func() {})
	}
	if c.desk.HasWork(c.now, c.unixS()) && !c.transactions.rateLimit.IsUrgentPaused(c.now) && c.transactions.rateLimit.ReadTokens >= 1 && c.transactions.rateLimit.WriteTokens >= 1-c.writeRPS()/4 {
		c.sendBookings()
		return
	}
	if c.leads() && c.transactions.rateLimit.WriteTokens >= 0.75*c.transactions.rateLimit.WriteBurst(c.cfg.TxnOps) && !c.transactions.rateLimit.IsPaused(c.now) {
		over := c.unixS() - int64(c.cfg.BookingKeep/time.Second)
		c.desk.ForgetArchived(c.now, over)
		if t := c.desk.ArchiveTxn([]wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}}, over, c.cfg.ValueBytes); t != nil {
			c.commit(*t, &txn{done: func(int, wire.TxnResponse) {
				c.afterBarrier(func(bool) { c.desk.ArchiveDone(t) })
			}})
			return
		}
		if t := c.desk.MergeTxn(max(2, c.cfg.TxnOps/2), c.cfg.ValueBytes); t != nil {
			c.commit(*t, &txn{done: func(int, wire.TxnResponse) {
				c.afterBarrier(func(bool) { c.desk.MergeDone() }) // what came of it shows there
			}})
		}
	}
}

func (c *Core) unixS() int64 { return c.unixMS() / 1000 }

// seedEquipment puts the list of the file in force where there is none.
func (c *Core) seedEquipment() {
	if c.cfg.Equipment == nil || c.desk.InventoryRevision() != 0 || !c.leads() || !c.leaseOK() || c.now < c.deskState.seedAt || c.transactions.rateLimit.IsPaused(c.now) || c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	c.deskState.seedAt = c.now + 2*time.Second
	raw, err := reservations.EncodeInventory(c.cfg.Equipment.Source())
	if err != nil || len(raw) > c.cfg.ValueBytes {
		c.note("error", "the list of equipment does not fit a value", "bytes", len(raw))
		c.deskState.seedAt = c.now + time.Minute
		return
	}
	c.commit(wire.Txn{Compare: []wire.Compare{{Key: reservations.KeyInventory}}, Then: []wire.Write{{Put: reservations.KeyInventory, Value: raw}}},
		&txn{done: func(int, wire.TxnResponse) { c.afterBarrier(func(bool) {}) }})
}

// sendBookings decides the asks that wait.
func (c *Core) sendBookings() {
	s := &c.deskState
	t := c.desk.NextTxn(reservations.Env{Now: c.now, UnixS: c.unixS(), MaxValueBytes: c.cfg.ValueBytes, MaxCompares: 4 * c.cfg.TxnOps, Authorize: c.mayBook, AttachAudit: c.carryBookings})
	if t == nil {
		return
	}
	if !slices.ContainsFunc(t.Then, func(w wire.Write) bool { return w.Put == reservations.KeyHead }) {
		c.recorder().DiscardEntries(s.ids) // it only compares
		s.ids = nil
	}
	ids := s.ids
	s.ids = nil
	c.commit(*t, &txn{done: func(status int, r wire.TxnResponse) {
		c.recorder().HandleOutcome(ids, status)
		if status == 400 && len(t.Then) > 0 {
			c.shrink(t)
		}
		c.desk.InvalidateBlocks(r.Failed)
		answers, read := c.desk.HandleOutcome(status, r.Revision)
		for _, a := range answers {
			c.answerBooking(a)
		}
		if read {
			c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now) // somebody was quicker: read at once, or they always are
			c.afterBarrier(func(bool) { c.desk.HeadRead() })
		}
	}})
}

var bookingVerbs = map[booking.Verb]string{booking.VerbCreate: "book", booking.VerbConfirm: "confirm booking", booking.VerbMove: "move booking",
	booking.VerbEnd: "end booking", booking.VerbSetInventory: "change equipment"}

// mayBook decides whether somebody may do with a team's bookings what they ask for.
func (c *Core) mayBook(a *reservations.PendingRequest, team string, kinds []string) (conds []wire.Compare, why string) {
	by := a.CallerData.(booker).by
	conds = c.onRights(by)
	if !c.guarded() {
		return conds, ""
	}
	if a.Request.Verb == booking.VerbSetInventory {
		if d := c.may(by, access.Action{Verb: pb.Verb_equip}); !d.Allowed {
			return conds, d.Reason
		}
		return conds, ""
	}
	if len(kinds) == 0 {
		kinds = []string{""} // of what is not there
	}
	for _, k := range kinds {
		if d := c.may(by, access.Action{Verb: pb.Verb_book, Team: team, Class: k}); !d.Allowed {
			return conds, d.Reason
		}
	}
	return conds, ""
}

// carryBookings has the head carry entries of what is done: of those who asked, and of what time has done.
func (c *Core) carryBookings(mark uint64, old []audit.PendingEntry, granted []*reservations.PendingRequest, changed []*pb.Booking) []audit.PendingEntry {
	s := &c.deskState
	c.recorder().DiscardEntries(s.ids)
	asked := map[string]bool{}
	var acts []auditlog.Event
	for _, a := range granted {
		by, object := a.CallerData.(booker).by, cmp.Or(a.Request.ID, "equipment")
		asked[object] = true
		acts = append(acts, actOf(by, bookingVerbs[a.Request.Verb], object, a.Request.Reason))
	}
	for _, b := range changed {
		if !asked[b.Id] {
			acts = append(acts, auditlog.Event{Verb: "change booking", Object: b.Id, Reason: cmp.Or(b.Why, "it got its slots")})
		}
	}
	var list []audit.PendingEntry
	list, s.ids = c.recorder().AttachEntries(reservations.KeyHead, mark, old, acts)
	return list
}

// answerBooking tells somebody what became of their wish.
func (c *Core) answerBooking(a reservations.Response) {
	who := a.Request.CallerData.(booker)
	switch {
	case a.TimedOut:
		c.refuse(who.req, "it could not be decided in time")
		return
	case a.Forbidden:
		c.forbid(who.req, who.by, bookingVerbs[a.Request.Request.Verb], cmp.Or(a.Request.Request.ID, "equipment"), a.Reason)
		return
	}
	status := map[booking.Outcome]int{booking.OutcomeDone: 200, booking.OutcomeRepeated: 200, booking.OutcomeRefused: 409, booking.OutcomeInvalid: 422, booking.OutcomeNotFound: 404}[a.Outcome]
	if a.Outcome == booking.OutcomeDone && a.Request.Request.Verb == booking.VerbCreate {
		status = 201
	}
	out := wire.ReservationResponse{Error: a.Reason, Free: c.freeTimes(a.Alternatives), Displaced: c.bookingsOf(a.Displaced)}
	if a.Booking != nil && c.maySee(who.by, a.Booking) {
		out.Reservation = new(c.bookingOf(a.Booking))
	}
	if a.Request.Request.Verb == booking.VerbSetInventory {
		out.Version = c.desk.InventoryRevision()
	}
	c.reply(who.req, status, out)
}

// maySee decides whether somebody may read a booking: as one of its team.
func (c *Core) maySee(by Cred, b *pb.Booking) bool {
	if !c.guarded() {
		return true
	}
	kind := ""
	if site := c.desk.Inventory(); site != nil {
		switch {
		case len(b.Slots) > 0:
			kind = site.ItemKind(b.Slots[0].Piece)
		case len(b.Wants) > 0:
			kind = site.WantKind(b.Wants[0])
		}
	}
	return c.may(by, access.Action{Verb: pb.Verb_read, Team: b.Team, Class: kind}).Allowed
}

func (c *Core) bookingOf(b *pb.Booking) wire.Reservation {
	site := c.desk.Inventory()
	at := func(t int64) string {
		if t == 0 || site == nil {
			return ""
		}
		return site.FormatTime(t)
	}
	out := wire.Reservation{ID: b.Id, State: b.State.String(), Team: b.Team, Owner: b.Who, Slots: []wire.ReservedSlot{}, HeldUntil: at(b.HeldUntil),
		Priority: wire.PriorityName(int(min(b.Rank, uint32(wire.PriorityLowest)))), EndReason: b.Why, EndedAt: at(b.EndedAt)}
	for _, x := range b.Slots {
		out.Slots = append(out.Slots, wire.ReservedSlot{Equipment: x.Piece, Unit: x.Unit, From: at(x.From), To: at(x.To), ReusableFrom: at(x.Clear)})
	}
	for _, x := range b.Wants {
		out.Slots = append(out.Slots, wire.ReservedSlot{Equipment: x.Piece, Kind: x.Kind, From: at(x.From), Slots: x.Slots})
	}
	if b.State == pb.BookingState_waiting {
		c.desk.ViewCommitted(func(l *booking.Schedule) {
			for i, o := range l.Waitlist() {
				if o.Id == b.Id {
					out.WaitlistPosition = i + 1
				}
			}
		})
	}
	return out
}

func (c *Core) bookingsOf(list []*pb.Booking) (out []wire.Reservation) {
	for _, b := range list {
		out = append(out, c.bookingOf(b))
	}
	return out
}

func (c *Core) freeTimes(list []booking.FreeSlot) (out []wire.FreeInterval) {
	for _, f := range list {
		out = append(out, wire.FreeInterval{Equipment: f.Piece, From: c.desk.Inventory().FormatTime(f.From), To: c.desk.Inventory().FormatTime(f.To)})
	}
	return out
}

const (
	shownBookings = 500 // of a list
	shownFree     = 50
)

// showBookings answers a question about bookings, as of a barrier. Only how a booking ended is told without one, where no rights are in force.
func (c *Core) showBookings(in ShowBookings) {
	q := in.Query
	if q.ID != "" && c.replica.loaded && !c.closed() && !c.guarded() {
		ended := false
		c.desk.ViewCommitted(func(l *booking.Schedule) {
			if b := l.Get(q.ID); b != nil && b.State == pb.BookingState_ended {
				ended = true
				c.reply(in.Req, 200, wire.ReservationResponse{Reservation: new(c.bookingOf(b))})
			}
		})
		if ended {
			return
		}
	}
	if !c.mayAsk(in.Req) {
		return
	}
	c.afterBarrier(func(ok bool) {
		if !ok || !c.desk.IsEnabled() {
			c.refuse(in.Req, "state service not reached")
			return
		}
		answer := func() {
			if !c.recallBooking(q.ID) {
				c.refuse(in.Req, unreadable)
				return
			}
			c.desk.ViewCommitted(func(l *booking.Schedule) {
				status, out := c.lookUp(in.By, l, &q)
				c.reply(in.Req, status, out)
			})
		}
		if !c.recallBooking(q.ID) {
			c.readPast(q.ID, answer)
			return
		}
		answer()
	})
}

// readPast reads the block of those that are past which a booking would be in.
func (c *Core) readPast(id string, then func()) {
	c.scan(reservations.ArchivePrefix, reservations.ArchivePrefix+id, 1, func(in Scanned) {
		var it *wire.KeyValue
		if len(in.Items) > 0 {
			it = &in.Items[0]
		}
		if err := c.desk.HandleBlock(id, it, in.Ledger, in.Status == 200); err != nil {
			c.note("error", "past bookings can't be read", "id", id, "err", err.Error())
		}
		then()
	})
}

// recallBooking has a booking that is past in the ledger; false if it must be looked for first.
func (c *Core) recallBooking(id string) bool {
	known := true
	c.desk.ViewCommitted(func(l *booking.Schedule) {
		if id == "" || l.Get(id) != nil {
			return
		}
		var b *pb.Booking
		if b, known = c.desk.FindArchived(id); b != nil {
			l.Put(b)
		}
	})
	return known
}

// lookUp answers a question from the booking.
func (c *Core) lookUp(by Cred, l *booking.Schedule, q *wire.ReservationQuery) (int, wire.ReservationResponse) {
	site := c.desk.Inventory()
	bad := func(err error) (int, wire.ReservationResponse) {
		return 400, wire.ReservationResponse{Error: err.Error()}
	}
	switch {
	case q.ID != "":
		b := l.Get(q.ID)
		if b == nil || !c.maySee(by, b) {
			return 404, wire.ReservationResponse{Error: "there is no booking " + q.ID}
		}
		return 200, wire.ReservationResponse{Reservation: new(c.bookingOf(b))}
	case q.Day != "":
		from, to, err := site.ParseDay(q.Day)
		if err != nil {
			return bad(err)
		}
		list, ok := l.BookingsBetween(site, q.Equipment, from, to)
		if !ok {
			return 404, wire.ReservationResponse{Error: "there is no " + q.Equipment}
		}
		return 200, c.readable(by, list)
	case q.Waiting:
		return 200, c.readable(by, l.Waitlist())
	case q.FreeSlots:
		w := &pb.Want{Piece: q.Equipment, Kind: q.Kind, Zone: q.Zone, Slots: max(1, q.Slots)}
		from, until := c.unixS(), int64(0)
		var err error
		if q.From != "" {
			if from, err = site.ParseTime(q.From); err != nil {
				return bad(err)
			}
		}
		if q.Before != "" {
			if until, err = site.ParseTime(q.Before); err != nil {
				return bad(err)
			}
		}
		free := site.NextFree(l, "", q.Team, w, max(from, c.unixS()), until, min(max(1, q.Limit), shownFree))
		return 200, wire.ReservationResponse{Free: c.freeTimes(free)}
	}
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(site.Source())
	if err != nil {
		return 500, wire.ReservationResponse{Error: err.Error()}
	}
	return 200, wire.ReservationResponse{Equipment: string(text), Version: c.desk.InventoryRevision()}
}

// readable are those of a list that somebody may read, as far as they fit an answer.
func (c *Core) readable(by Cred, list []*pb.Booking) wire.ReservationResponse {
	var out []wire.Reservation
	for _, b := range list {
		if c.maySee(by, b) && len(out) < shownBookings {
			out = append(out, c.bookingOf(b))
		}
	}
	return wire.ReservationResponse{Reservations: out}
}
