package core

import (
	"cmp"
	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/core/auditlog"
	"dewlift/core/reservations"
	"dewlift/wire"
	"encoding/json"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

// Bookings of equipment: who asks, with which right, and what it may take of the changes. What is
// decided is in the package booking, what is stored in core/booking.

// reservationState is what the core keeps beside the desk.
type reservationState struct {
	auditEntryIDs    []uint64 // entries of the audit record in the transaction on its way
	enabledPublished bool     // that something can be booked
	nextSeedAt       time.Duration
}

// reservationCaller is who waits for the answer to an ask.
type reservationCaller struct {
	requestID uint64
	caller    Credential
}

const reasonOldVersion = "a controller may still run a version that does not know bookings"

func (c *Core) applyReservation(key string, raw json.RawMessage, mark uint64) error {
	carried, err := c.reservations.ApplyPut(key, raw, mark)
	if key == reservations.KeyHead {
		c.currentAuditLog().ObserveEntries(key, mark, carried)
	}
	return err
}

// canServeReservations answers those who can't be served now: false if it did.
func (c *Core) canServeReservations(req uint64) bool {
	switch {
	case c.isNotServing():
		c.respondUnavailable(req, reasonNotReady)
	case !c.replica.loaded:
		c.respondUnavailable(req, "not caught up")
	case c.storeUnreachable():
		c.respondUnavailable(req, "state service not reached")
	case c.schemaVersion() < schemaReservations:
		c.respondUnavailable(req, reasonOldVersion)
	default:
		return true
	}
	return false
}

// handleReserveEquipment has a wish wait for its turn.
func (c *Core) handleReserveEquipment(in ReserveEquipment) {
	b := in.Request
	if !booking.ValidID(b.ID) {
		c.respond(
			in.RequestID,
			wire.StatusBadRequest,
			wire.ReservationResponse{Error: "id: letters, digits, dots, dashes and underscores, at most 64"},
		)
		return
	}
	rank, ok := wire.Priority(cmp.Or(b.Priority, wire.PriorityName(wire.PriorityStandard)))
	if !ok {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.ReservationResponse{Error: "priority: there is no " + b.Priority})
		return
	}
	if !c.canServeReservations(in.RequestID) {
		return
	}
	w := booking.Request{
		Verb:         in.Verb,
		ID:           b.ID,
		Team:         b.Team,
		Identity:     in.Caller.Identity,
		HoldSeconds:  b.HoldS,
		WaitlistRank: uint32(rank),
		JoinWaitlist: b.Waitlist,
		Reason:       b.Reason,
	}
	c.enqueueReservationRequest(
		&reservations.PendingRequest{
			Request:        w,
			Wants:          b.Slots,
			RecurrenceRule: b.Repeat,
			CallerData:     reservationCaller{requestID: in.RequestID, caller: in.Caller},
		},
	)
}

func (c *Core) enqueueReservationRequest(a *reservations.PendingRequest) {
	a.Deadline = c.now + c.cfg.Scheduling.SubmitWriteTimeout
	if !c.reservations.Enqueue(a) {
		c.respondUnavailable(a.CallerData.(reservationCaller).requestID, reasonTooBusy)
	}
}

// handleSetEquipment has another list of equipment put in force.
func (c *Core) handleSetEquipment(in SetEquipment) {
	site, err := booking.Parse([]byte(in.Edit.Text))
	if err != nil {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.ReservationResponse{Error: "equipment: " + err.Error()})
		return
	}
	if !c.canServeReservations(in.RequestID) {
		return
	}
	w := booking.Request{
		Verb:         booking.VerbSetInventory,
		Replacement:  site,
		EndDisplaced: in.Edit.EndDisplaced,
		Reason:       in.Edit.Reason,
	}
	c.enqueueReservationRequest(
		&reservations.PendingRequest{
			Request:    w,
			CallerData: reservationCaller{requestID: in.RequestID, caller: in.Caller},
		},
	)
}

// advanceReservations decides what waits, and answers.
func (c *Core) advanceReservations() {
	if open := c.reservations.IsEnabled() && c.schemaVersion() >= schemaReservations; open != c.reservationState.enabledPublished {
		c.reservationState.enabledPublished = open
		c.emit(ReservationsEnabled{Enabled: open})
	}
	for _, a := range c.reservations.TakeExpired(c.now) {
		c.respondToReservation(a)
	}
	if c.auditNotReady() || c.schemaVersion() < schemaReservations || c.unixOffsetMS == 0 {
		return
	}
	c.seedEquipment()
	for _, id := range c.reservations.TakeBlocksToRead() {
		c.readPastReservation(id, func() {})
	}
	if c.reservations.HasWork(c.now, c.unixSeconds()) && !c.transactions.rateLimit.IsUrgentPaused(c.now) &&
		c.transactions.rateLimit.ReadTokens >= 1 &&
		c.transactions.rateLimit.WriteTokens >= 1-c.storeWriteRate()/4 {
		c.commitReservations()
		return
	}
	if c.isLeader() &&
		c.transactions.rateLimit.WriteTokens >= 0.75*c.transactions.rateLimit.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		!c.transactions.rateLimit.IsPaused(c.now) {
		over := c.unixSeconds() - int64(c.cfg.Reservations.Retention/time.Second)
		c.reservations.ForgetArchived(c.now, over)
		if t := c.reservations.ArchiveTxn([]wire.Compare{
			{Key: keyLeader, Revision: c.leadership.leader.mark},
		}, over, c.cfg.Store.MaxValueBytes); t != nil {
			c.commitTxn(*t, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
				c.afterReadBarrier(func(bool) { c.reservations.ArchiveDone(t) })
			}})
			return
		}
		if t := c.reservations.MergeTxn(max(2, c.cfg.Store.MaxTxnOps/2), c.cfg.Store.MaxValueBytes); t != nil {
			c.commitTxn(*t, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
				c.afterReadBarrier(func(bool) { c.reservations.MergeDone() }) // what came of it shows there
			}})
		}
	}
}

func (c *Core) unixSeconds() int64 { return c.unixMS() / 1000 }

// seedEquipment puts the list of the file in force where there is none.
func (c *Core) seedEquipment() {
	if c.cfg.Reservations.Equipment == nil || c.reservations.InventoryRevision() != 0 || !c.isLeader() || !c.holdsLease() ||
		c.now < c.reservationState.nextSeedAt ||
		c.transactions.rateLimit.IsPaused(c.now) ||
		c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	c.reservationState.nextSeedAt = c.now + 2*time.Second
	raw, err := reservations.EncodeInventory(c.cfg.Reservations.Equipment.Source())
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		c.log(LevelError, "the list of equipment does not fit a value", "bytes", len(raw))
		c.reservationState.nextSeedAt = c.now + time.Minute
		return
	}
	c.commitTxn(
		wire.Txn{
			Compare: []wire.Compare{{Key: reservations.KeyInventory}},
			Then:    []wire.Write{{Put: reservations.KeyInventory, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) { c.afterReadBarrier(func(bool) {}) }},
	)
}

// commitReservations decides the asks that wait.
func (c *Core) commitReservations() {
	s := &c.reservationState
	t := c.reservations.NextTxn(
		reservations.Env{
			Now:           c.now,
			UnixS:         c.unixSeconds(),
			MaxValueBytes: c.cfg.Store.MaxValueBytes,
			MaxCompares:   4 * c.cfg.Store.MaxTxnOps,
			Authorize:     c.authorizeReservation,
			AttachAudit:   c.carryReservationAudit,
		},
	)
	if t == nil {
		return
	}
	if !slices.ContainsFunc(t.Then, func(w wire.Write) bool { return w.Put == reservations.KeyHead }) {
		c.currentAuditLog().DiscardEntries(s.auditEntryIDs) // it only compares
		s.auditEntryIDs = nil
	}
	ids := s.auditEntryIDs
	s.auditEntryIDs = nil
	c.commitTxn(*t, &pendingTxn{onDone: func(status wire.Status, r wire.TxnResponse) {
		c.currentAuditLog().HandleOutcome(ids, status)
		if status == wire.StatusBadRequest && len(t.Then) > 0 {
			c.reduceTxnLimits(t)
		}
		c.reservations.InvalidateBlocks(r.Failed)
		answers, read := c.reservations.HandleOutcome(status, r.Revision)
		for _, a := range answers {
			c.respondToReservation(a)
		}
		if read {
			// somebody was quicker: read at once, or they always are
			c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
			c.afterReadBarrier(func(bool) { c.reservations.HeadRead() })
		}
	}})
}

var reservationAuditVerbs = map[booking.Verb]string{
	booking.VerbCreate: "book", booking.VerbConfirm: "confirm booking", booking.VerbMove: "move booking",
	booking.VerbEnd: "end booking", booking.VerbSetInventory: "change equipment",
}

// authorizeReservation decides whether somebody may do with a team's bookings what they ask for.
func (c *Core) authorizeReservation(
	a *reservations.PendingRequest,
	team string,
	kinds []string,
) (conds []wire.Compare, why string) {
	by := a.CallerData.(reservationCaller).caller
	conds = c.permissionCompares(by)
	if !c.permissionsInForce() {
		return conds, ""
	}
	if a.Request.Verb == booking.VerbSetInventory {
		if d := c.authorize(by, access.Action{Verb: pb.Verb_equip}); !d.Allowed {
			return conds, d.Reason
		}
		return conds, ""
	}
	if len(kinds) == 0 {
		kinds = []string{""} // of what is not there
	}
	for _, k := range kinds {
		if d := c.authorize(by, access.Action{Verb: pb.Verb_book, Team: team, Class: k}); !d.Allowed {
			return conds, d.Reason
		}
	}
	return conds, ""
}

// carryReservationAudit has the head carry entries of what is done: of those who asked, and of what time has done.
func (c *Core) carryReservationAudit(
	mark uint64,
	old []audit.PendingEntry,
	granted []*reservations.PendingRequest,
	changed []*pb.Booking,
) []audit.PendingEntry {
	s := &c.reservationState
	c.currentAuditLog().DiscardEntries(s.auditEntryIDs)
	asked := map[string]bool{}
	var acts []auditlog.Event
	for _, a := range granted {
		by, object := a.CallerData.(reservationCaller).caller, cmp.Or(a.Request.ID, "equipment")
		asked[object] = true
		acts = append(acts, newAuditEvent(by, reservationAuditVerbs[a.Request.Verb], object, a.Request.Reason))
	}
	for _, b := range changed {
		if !asked[b.Id] {
			acts = append(
				acts,
				auditlog.Event{Verb: "change booking", Object: b.Id, Reason: cmp.Or(b.Why, "it got its slots")},
			)
		}
	}
	var list []audit.PendingEntry
	list, s.auditEntryIDs = c.currentAuditLog().AttachEntries(reservations.KeyHead, mark, old, acts)
	return list
}

// respondToReservation tells somebody what became of their wish.
func (c *Core) respondToReservation(a reservations.Response) {
	who := a.Request.CallerData.(reservationCaller)
	switch {
	case a.TimedOut:
		c.respondUnavailable(who.requestID, "it could not be decided in time")
		return
	case a.Forbidden:
		c.respondForbidden(
			who.requestID,
			who.caller,
			reservationAuditVerbs[a.Request.Request.Verb],
			cmp.Or(a.Request.Request.ID, "equipment"),
			a.Reason,
		)
		return
	}
	status := map[booking.Outcome]wire.Status{
		booking.OutcomeDone:     wire.StatusOK,
		booking.OutcomeRepeated: wire.StatusOK,
		booking.OutcomeRefused:  wire.StatusConflict,
		booking.OutcomeInvalid:  wire.StatusInvalid,
		booking.OutcomeNotFound: wire.StatusNotFound,
	}[a.Outcome]
	if a.Outcome == booking.OutcomeDone && a.Request.Request.Verb == booking.VerbCreate {
		status = wire.StatusCreated
	}
	out := wire.ReservationResponse{
		Error:     a.Reason,
		Free:      c.toWireFreeTimes(a.Alternatives),
		Displaced: c.toWireReservations(a.Displaced),
	}
	if a.Booking != nil && c.canReadReservation(who.caller, a.Booking) {
		out.Reservation = new(c.toWireReservation(a.Booking))
	}
	if a.Request.Request.Verb == booking.VerbSetInventory {
		out.Version = c.reservations.InventoryRevision()
	}
	c.respond(who.requestID, status, out)
}

// canReadReservation decides whether somebody may read a booking: as one of its team.
func (c *Core) canReadReservation(by Credential, b *pb.Booking) bool {
	if !c.permissionsInForce() {
		return true
	}
	kind := ""
	if site := c.reservations.Inventory(); site != nil {
		switch {
		case len(b.Slots) > 0:
			kind = site.ItemKind(b.Slots[0].Piece)
		case len(b.Wants) > 0:
			kind = site.WantKind(b.Wants[0])
		}
	}
	return c.authorize(by, access.Action{Verb: pb.Verb_read, Team: b.Team, Class: kind}).Allowed
}

func (c *Core) toWireReservation(b *pb.Booking) wire.Reservation {
	site := c.reservations.Inventory()
	at := func(t int64) string {
		if t == 0 || site == nil {
			return ""
		}
		return site.FormatTime(t)
	}
	out := wire.Reservation{
		ID:        b.Id,
		State:     b.State.String(),
		Team:      b.Team,
		Owner:     b.Who,
		Slots:     []wire.ReservedSlot{},
		HeldUntil: at(b.HeldUntil),
		Priority: wire.PriorityName(
			int(min(b.Rank, uint32(wire.PriorityLowest))),
		),
		EndReason: b.Why,
		EndedAt:   at(b.EndedAt),
	}
	for _, x := range b.Slots {
		out.Slots = append(
			out.Slots,
			wire.ReservedSlot{
				Equipment:    x.Piece,
				Unit:         x.Unit,
				From:         at(x.From),
				To:           at(x.To),
				ReusableFrom: at(x.Clear),
			},
		)
	}
	for _, x := range b.Wants {
		out.Slots = append(
			out.Slots,
			wire.ReservedSlot{Equipment: x.Piece, Kind: x.Kind, From: at(x.From), Slots: x.Slots},
		)
	}
	if b.State == pb.BookingState_waiting {
		c.reservations.ViewCommitted(func(l *booking.Schedule) {
			for i, o := range l.Waitlist() {
				if o.Id == b.Id {
					out.WaitlistPosition = i + 1
				}
			}
		})
	}
	return out
}

func (c *Core) toWireReservations(list []*pb.Booking) (out []wire.Reservation) {
	for _, b := range list {
		out = append(out, c.toWireReservation(b))
	}
	return out
}

func (c *Core) toWireFreeTimes(list []booking.FreeSlot) (out []wire.FreeInterval) {
	for _, f := range list {
		out = append(
			out,
			wire.FreeInterval{
				Equipment: f.Piece,
				From:      c.reservations.Inventory().FormatTime(f.From),
				To:        c.reservations.Inventory().FormatTime(f.To),
			},
		)
	}
	return out
}

const (
	maxReservationsListed = 500 // of a list
	maxFreeTimesListed    = 50
)

// handleListReservations answers a question about bookings, as of a barrier. Only how a booking
// ended is told without one, where no rights are in force.
func (c *Core) handleListReservations(in ListReservations) {
	q := in.Query
	if q.ID != "" && c.replica.loaded && !c.isNotServing() && !c.permissionsInForce() {
		ended := false
		c.reservations.ViewCommitted(func(l *booking.Schedule) {
			if b := l.Get(q.ID); b != nil && b.State == pb.BookingState_ended {
				ended = true
				c.respond(in.RequestID, wire.StatusOK, wire.ReservationResponse{Reservation: new(c.toWireReservation(b))})
			}
		})
		if ended {
			return
		}
	}
	if !c.canServeReservations(in.RequestID) {
		return
	}
	c.afterReadBarrier(func(ok bool) {
		if !ok || !c.reservations.IsEnabled() {
			c.respondUnavailable(in.RequestID, "state service not reached")
			return
		}
		answer := func() {
			if !c.loadPastReservation(q.ID) {
				c.respondUnavailable(in.RequestID, reasonHistoryUnreadable)
				return
			}
			c.reservations.ViewCommitted(func(l *booking.Schedule) {
				status, out := c.queryReservations(in.Caller, l, &q)
				c.respond(in.RequestID, status, out)
			})
		}
		if !c.loadPastReservation(q.ID) {
			c.readPastReservation(q.ID, answer)
			return
		}
		answer()
	})
}

// readPastReservation reads the block of those that are past which a booking would be in.
func (c *Core) readPastReservation(id string, then func()) {
	c.readPrefix(reservations.ArchivePrefix, reservations.ArchivePrefix+id, 1, func(in RangeResult) {
		var it *wire.KeyValue
		if len(in.Items) > 0 {
			it = &in.Items[0]
		}
		if err := c.reservations.HandleBlock(id, it, in.Revision, in.Status == wire.StatusOK); err != nil {
			c.log(LevelError, "past bookings can't be read", "id", id, "err", err.Error())
		}
		then()
	})
}

// loadPastReservation has a booking that is past in the ledger; false if it must be looked for first.
func (c *Core) loadPastReservation(id string) bool {
	known := true
	c.reservations.ViewCommitted(func(l *booking.Schedule) {
		if id == "" || l.Get(id) != nil {
			return
		}
		var b *pb.Booking
		if b, known = c.reservations.FindArchived(id); b != nil {
			l.Put(b)
		}
	})
	return known
}

// queryReservations answers a question from the booking.
func (c *Core) queryReservations(
	by Credential,
	l *booking.Schedule,
	q *wire.ReservationQuery,
) (wire.Status, wire.ReservationResponse) {
	site := c.reservations.Inventory()
	bad := func(err error) (wire.Status, wire.ReservationResponse) {
		return wire.StatusBadRequest, wire.ReservationResponse{Error: err.Error()}
	}
	switch {
	case q.ID != "":
		b := l.Get(q.ID)
		if b == nil || !c.canReadReservation(by, b) {
			return wire.StatusNotFound, wire.ReservationResponse{Error: "there is no booking " + q.ID}
		}
		return wire.StatusOK, wire.ReservationResponse{Reservation: new(c.toWireReservation(b))}
	case q.Day != "":
		from, to, err := site.ParseDay(q.Day)
		if err != nil {
			return bad(err)
		}
		list, ok := l.BookingsBetween(site, q.Equipment, from, to)
		if !ok {
			return wire.StatusNotFound, wire.ReservationResponse{Error: "there is no " + q.Equipment}
		}
		return wire.StatusOK, c.readableReservations(by, list)
	case q.Waiting:
		return wire.StatusOK, c.readableReservations(by, l.Waitlist())
	case q.FreeSlots:
		w := &pb.Want{Piece: q.Equipment, Kind: q.Kind, Zone: q.Zone, Slots: max(1, q.Slots)}
		from, until := c.unixSeconds(), int64(0)
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
		free := site.NextFree(
			l,
			"",
			q.Team,
			w,
			max(from, c.unixSeconds()),
			until,
			min(max(1, q.Limit), maxFreeTimesListed),
		)
		return wire.StatusOK, wire.ReservationResponse{Free: c.toWireFreeTimes(free)}
	}
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(site.Source())
	if err != nil {
		return wire.StatusInternalError, wire.ReservationResponse{Error: err.Error()}
	}
	return wire.StatusOK, wire.ReservationResponse{Equipment: string(text), Version: c.reservations.InventoryRevision()}
}

// readableReservations are those of a list that somebody may read, as far as they fit an answer.
func (c *Core) readableReservations(by Credential, list []*pb.Booking) wire.ReservationResponse {
	var out []wire.Reservation
	for _, b := range list {
		if c.canReadReservation(by, b) && len(out) < maxReservationsListed {
			out = append(out, c.toWireReservation(b))
		}
	}
	return wire.ReservationResponse{Reservations: out}
}
