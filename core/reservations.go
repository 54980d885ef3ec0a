package core

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
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

// Reservations of equipment: authorization of the requests and their share of the write budget. Package
// booking decides the requests, package core/reservations what is stored.

const (
	// seedEquipmentInterval spaces attempts to seed the equipment.
	seedEquipmentInterval = 2 * time.Second

	// seedEquipmentRetryDelay follows equipment that does not fit a value, which only another
	// configuration mends.
	seedEquipmentRetryDelay = time.Minute

	// reservationComparesPerOp is how many compares a transaction may have for each write allowed in it.
	reservationComparesPerOp = 4

	// reservationCompactionBudget is the share of a full write budget that must be left before past
	// reservations are archived or pages merged: neither is urgent.
	reservationCompactionBudget = 0.75

	maxReservationsListed = 500 // in one answer
	maxFreeTimesListed    = 50  // in one answer
)

// Reasons of answers that a reservation request can't be served now.
const (
	reasonOldVersion = "a controller may still run a version that does not know bookings"
	reasonUndecided  = "it could not be decided in time"
)

// reservationState is the reservation service and the core's state beside it.
type reservationState struct {
	*environment
	service  *reservations.Service
	access   *accessControl
	auditLog *auditState
	schema   *schemaState

	auditEntryIDs    []uint64 // audit entries in the transaction that is being built
	enabledPublished bool     // last state sent to the request handlers
	nextSeedAt       time.Duration
}

// reservationCaller identifies the request and caller of a pending reservation request.
type reservationCaller struct {
	requestID uint64
	caller    Credential
}

// applyReservation applies a stored reservation key and the audit entries that it carries.
func (c *Core) applyReservation(key string, raw json.RawMessage, revision uint64) error {
	carried, err := c.reservations.service.ApplyPut(key, raw, revision)
	if key == reservations.KeyHead {
		c.auditLog.current().ObserveEntries(key, revision, carried)
	}
	return err
}

// canServeReservations reports whether a reservation request can be served now, and answers it if not.
func (c *Core) canServeReservations(requestID uint64) bool {
	switch {
	case c.access.isNotServing():
		c.respondUnavailable(requestID, reasonNotReady)
	case !c.replica.loaded:
		c.respondUnavailable(requestID, reasonNotLoaded)
	case c.replica.isStoreUnreachable():
		c.respondUnavailable(requestID, reasonStoreUnreachable)
	case c.schema.active < schemaReservations:
		c.respondUnavailable(requestID, reasonOldVersion)
	default:
		return true
	}
	return false
}

// handleReserveEquipment validates a reservation request and queues it.
func (c *Core) handleReserveEquipment(in ReserveEquipment) {
	reservation := in.Request
	rank, err := validateReservation(&reservation)
	if err != nil {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.ReservationResponse{Error: err.Error()})
		return
	}
	if !c.canServeReservations(in.RequestID) {
		return
	}
	request := booking.Request{
		Verb:         in.Verb,
		ID:           reservation.ID,
		Team:         reservation.Team,
		Identity:     in.Caller.Identity,
		HoldSeconds:  reservation.HoldS,
		WaitlistRank: uint32(rank),
		JoinWaitlist: reservation.Waitlist,
		Reason:       reservation.Reason,
	}
	c.enqueueReservationRequest(
		&reservations.PendingRequest{
			Request:        request,
			Wants:          reservation.Slots,
			RecurrenceRule: reservation.Repeat,
			CallerData:     reservationCaller{requestID: in.RequestID, caller: in.Caller},
		},
	)
}

// validateReservation returns the rank of a request on the waitlist, or an error that names the field
// that no reservation may have so.
func validateReservation(reservation *wire.ReservationRequest) (rank int, err error) {
	if !booking.ValidID(reservation.ID) {
		return 0, errors.New("id: letters, digits, dots, dashes and underscores, at most 64")
	}
	if !wire.ValidTeam(reservation.Team) {
		return 0, errors.New("team: " + wire.TeamLimit())
	}
	rank, ok := wire.Priority(cmp.Or(reservation.Priority, wire.PriorityName(wire.PriorityStandard)))
	if !ok {
		return 0, errors.New("priority: there is no " + reservation.Priority)
	}
	return rank, nil
}

// enqueueReservationRequest queues a request, or answers it if too many are queued.
func (c *Core) enqueueReservationRequest(request *reservations.PendingRequest) {
	request.Deadline = c.now + c.cfg.Scheduling.SubmitWriteTimeout
	if !c.reservations.service.Enqueue(request) {
		c.respondUnavailable(request.CallerData.(reservationCaller).requestID, reasonTooBusy)
	}
}

// handleSetEquipment validates a new equipment list and queues its replacement.
func (c *Core) handleSetEquipment(in SetEquipment) {
	inventory, err := booking.Parse([]byte(in.Edit.Text))
	if err != nil {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.ReservationResponse{Error: "equipment: " + err.Error()})
		return
	}
	if raw, err := reservations.EncodeInventory(inventory.Source()); err != nil ||
		len(raw) > c.cfg.Store.MaxValueBytes {
		why := fmt.Sprintf("equipment: it takes %d bytes, at most %d are stored", len(raw), c.cfg.Store.MaxValueBytes)
		c.respond(in.RequestID, wire.StatusBadRequest, wire.ReservationResponse{Error: why})
		return
	}
	if !c.canServeReservations(in.RequestID) {
		return
	}
	request := booking.Request{
		Verb:         booking.VerbSetInventory,
		Replacement:  inventory,
		EndDisplaced: in.Edit.EndDisplaced,
		Reason:       in.Edit.Reason,
	}
	c.enqueueReservationRequest(
		&reservations.PendingRequest{
			Request:    request,
			CallerData: reservationCaller{requestID: in.RequestID, caller: in.Caller},
		},
	)
}

// advanceReservations answers expired requests, then starts at most one transaction: a batch of
// requests, or, on the leader with write budget to spare, compaction.
func (c *Core) advanceReservations() {
	c.reservations.publishEnabled()
	for _, response := range c.reservations.service.TakeExpired(c.now) {
		c.respondToReservation(response)
	}
	if c.access.isNotServing() || c.schema.active < schemaReservations || c.unixOffsetMS == 0 {
		return
	}
	c.seedEquipment()
	for _, id := range c.reservations.service.TakeBlocksToRead() {
		c.readArchivedReservation(id, func() {})
	}
	rateLimit := &c.transactions.rateLimit
	// Requests may overdraw the write budget by a quarter of a second's writes: callers wait for them.
	if c.reservations.service.HasWork(c.now, c.unixSeconds()) && !rateLimit.IsUrgentPaused(c.now) &&
		rateLimit.RequestTokens >= 1 &&
		rateLimit.WriteTokens >= 1-c.schema.storeWriteRate()/4 {
		c.commitReservations()
		return
	}
	if c.leadership.isHeld() &&
		rateLimit.WriteTokens >= reservationCompactionBudget*rateLimit.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		!rateLimit.IsPaused(c.now) {
		c.compactReservations()
	}
}

// publishEnabled tells the request handlers when reservations become possible or impossible.
func (r *reservationState) publishEnabled() {
	enabled := r.service.IsEnabled() && r.schema.active >= schemaReservations
	if enabled != r.enabledPublished {
		r.enabledPublished = enabled
		r.emit(ReservationsEnabled{Enabled: enabled})
	}
}

// compactReservations archives past reservations or, if none are due, merges pages.
func (c *Core) compactReservations() {
	endedBefore := c.unixSeconds() - int64(c.cfg.Reservations.Retention/time.Second)
	c.reservations.service.EvictArchived(c.now, endedBefore)
	leaderCompares := []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.modRevision}}
	if txn := c.reservations.service.ArchiveTxn(leaderCompares, endedBefore, c.cfg.Store.MaxValueBytes); txn != nil {
		c.transactions.commit(*txn, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
			c.replica.afterReadBarrier(func(bool) { c.reservations.service.ArchiveDone(txn) })
		}})
		return
	}
	if txn := c.reservations.service.MergeTxn(max(2, c.cfg.Store.MaxTxnOps/2), c.cfg.Store.MaxValueBytes); txn != nil {
		c.transactions.commit(*txn, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
			// The barrier shows the outcome.
			c.replica.afterReadBarrier(func(bool) { c.reservations.service.MergeDone() })
		}})
	}
}

// seedEquipment stores the configured equipment list if there is none.
func (c *Core) seedEquipment() {
	if c.cfg.Reservations.Equipment == nil || c.reservations.service.InventoryRevision() != 0 ||
		!c.leadership.isHeld() || !c.ownLease.isHeld() ||
		c.now < c.reservations.nextSeedAt ||
		c.transactions.rateLimit.IsPaused(c.now) ||
		c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	c.reservations.nextSeedAt = c.now + seedEquipmentInterval
	raw, err := reservations.EncodeInventory(c.cfg.Reservations.Equipment.Source())
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		c.log(LevelError, "equipment list does not fit a value", "bytes", len(raw))
		c.reservations.nextSeedAt = c.now + seedEquipmentRetryDelay
		return
	}
	c.transactions.commit(
		wire.Txn{
			Compare: []wire.Compare{{Key: reservations.KeyInventory}},
			Then:    []wire.Write{{Put: reservations.KeyInventory, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) { c.replica.afterReadBarrier(func(bool) {}) }},
	)
}

// commitReservations decides a batch of queued requests and commits it.
func (c *Core) commitReservations() {
	state := &c.reservations
	txn := c.reservations.service.NextTxn(
		reservations.Env{
			Now:           c.now,
			UnixS:         c.unixSeconds(),
			MaxValueBytes: c.cfg.Store.MaxValueBytes,
			MaxCompares:   reservationComparesPerOp * c.cfg.Store.MaxTxnOps,
			Authorize:     c.reservations.authorize,
			AttachAudit:   c.reservations.attachAudit,
		},
	)
	if txn == nil {
		return
	}
	if !slices.ContainsFunc(txn.Then, func(write wire.Write) bool { return write.Put == reservations.KeyHead }) {
		// The transaction only compares: entries of an attempt that did not fit are void.
		c.auditLog.current().DiscardEntries(state.auditEntryIDs)
		state.auditEntryIDs = nil
	}
	ids := state.auditEntryIDs
	state.auditEntryIDs = nil
	c.transactions.commit(*txn, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		c.auditLog.current().HandleOutcome(ids, status)
		if status == wire.StatusBadRequest && len(txn.Then) > 0 {
			c.transactions.limits.handleRefusal(txn)
		}
		c.reservations.service.InvalidateBlocks(reply.Failed)
		responses, mustReadHead := c.reservations.service.HandleOutcome(status, reply.Revision)
		for _, response := range responses {
			c.respondToReservation(response)
		}
		if mustReadHead {
			// Another controller committed first. Read at once: a later read would lose to it every time.
			c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
			c.replica.afterReadBarrier(func(bool) { c.reservations.service.HeadRead() })
		}
	}})
}

// reservationAuditVerbs are the verbs of reservation requests in the audit log.
var reservationAuditVerbs = map[booking.Verb]string{
	booking.VerbCreate: "book", booking.VerbConfirm: "confirm booking", booking.VerbMove: "move booking",
	booking.VerbEnd: "end booking", booking.VerbSetInventory: "change equipment",
}

// authorize decides whether the caller of a request may perform it on reservations of the
// team that use equipment of these kinds. It returns the compares under which the decision holds, and
// the reason of a denial or "".
func (r *reservationState) authorize(
	request *reservations.PendingRequest,
	team string,
	kinds []string,
) (compares []wire.Compare, denial string) {
	caller := request.CallerData.(reservationCaller).caller
	compares = r.access.compares(caller)
	if !r.access.permissions.isInForce() {
		return compares, ""
	}
	if request.Request.Verb == booking.VerbSetInventory {
		return compares, denialReason(r.access.authorize(caller, access.Action{Verb: pb.Verb_equip}))
	}
	if len(kinds) == 0 {
		kinds = []string{""} // of a reservation that does not exist
	}
	for _, kind := range kinds {
		action := access.Action{Verb: pb.Verb_book, Team: team, Class: kind}
		if denial := denialReason(r.access.authorize(caller, action)); denial != "" {
			return compares, denial
		}
	}
	return compares, ""
}

// denialReason returns why a decision denies an action, never "", or "" if it allows it.
func denialReason(decision access.Decision) string {
	if decision.Allowed {
		return ""
	}
	return cmp.Or(decision.Reason, "not permitted")
}

// attachAudit returns the audit entries that the next head carries: those of old that are
// pending, and new ones of the granted requests and of reservations that changed otherwise. It replaces
// the entries of the previous attempt to build the transaction.
func (r *reservationState) attachAudit(
	headRevision uint64,
	old []audit.PendingEntry,
	granted []*reservations.PendingRequest,
	changed []*pb.Booking,
) []audit.PendingEntry {
	r.auditLog.current().DiscardEntries(r.auditEntryIDs)
	requested := map[string]bool{}
	var events []auditlog.Event
	for _, request := range granted {
		caller := request.CallerData.(reservationCaller).caller
		object, verb := reservationAuditObject(request), reservationAuditVerbs[request.Request.Verb]
		requested[object] = true
		events = append(events, newAuditEvent(caller, verb, object, request.Request.Reason))
	}
	for _, reservation := range changed {
		if !requested[reservation.Id] {
			events = append(events, auditlog.Event{
				Verb:   "change booking",
				Object: reservation.Id,
				Reason: cmp.Or(reservation.Why, "it got its slots"),
			})
		}
	}
	var list []audit.PendingEntry
	list, r.auditEntryIDs = r.auditLog.current().AttachEntries(reservations.KeyHead, headRevision, old, events)
	return list
}

// reservationAuditObject returns the object of a request in the audit log.
func reservationAuditObject(request *reservations.PendingRequest) string {
	return cmp.Or(request.Request.ID, "equipment")
}

// reservationStatuses are the statuses of requests that were decided and not denied.
var reservationStatuses = map[booking.Outcome]wire.Status{
	booking.OutcomeDone:     wire.StatusOK,
	booking.OutcomeRepeated: wire.StatusOK,
	booking.OutcomeRefused:  wire.StatusConflict,
	booking.OutcomeInvalid:  wire.StatusInvalid,
	booking.OutcomeNotFound: wire.StatusNotFound,
}

// respondToReservation answers a decided, denied or expired request.
func (c *Core) respondToReservation(response reservations.Response) {
	request := &response.Request.Request
	caller := response.Request.CallerData.(reservationCaller)
	status, decided := reservationStatuses[response.Outcome]
	switch {
	case response.Outcome == booking.OutcomeForbidden:
		c.respondForbidden(
			caller.requestID,
			caller.caller,
			reservationAuditVerbs[request.Verb],
			reservationAuditObject(response.Request),
			response.Reason,
		)
		return
	case !decided:
		c.respondUnavailable(caller.requestID, reasonUndecided)
		return
	}
	if response.IsGranted() && request.Verb == booking.VerbCreate {
		status = wire.StatusCreated
	}
	out := wire.ReservationResponse{
		Error:     response.Reason,
		Free:      c.reservations.toWireFreeTimes(response.Alternatives),
		Displaced: c.reservations.toWireList(response.Displaced),
	}
	if response.Booking != nil && c.reservations.canRead(caller.caller, response.Booking) {
		out.Reservation = new(c.reservations.toWire(response.Booking))
	}
	if request.Verb == booking.VerbSetInventory {
		out.Version = c.reservations.service.InventoryRevision()
	}
	c.respond(caller.requestID, status, out)
}

// canRead reports whether the caller may read a reservation of its team and kind of equipment.
func (r *reservationState) canRead(caller Credential, reservation *pb.Booking) bool {
	if !r.access.permissions.isInForce() {
		return true
	}
	kind := ""
	if inventory := r.service.Inventory(); inventory != nil {
		switch {
		case len(reservation.Slots) > 0:
			kind = inventory.ItemKind(reservation.Slots[0].Piece)
		case len(reservation.Wants) > 0:
			kind = inventory.WantKind(reservation.Wants[0])
		}
	}
	return r.access.authorize(caller, access.Action{Verb: pb.Verb_read, Team: reservation.Team, Class: kind}).Allowed
}

// toWire returns a reservation as it is answered, with times in the site's time zone.
func (r *reservationState) toWire(reservation *pb.Booking) wire.Reservation {
	inventory := r.service.Inventory()
	formatTime := func(unixS int64) string {
		if unixS == 0 || inventory == nil {
			return ""
		}
		return inventory.FormatTime(unixS)
	}
	out := wire.Reservation{
		ID:        reservation.Id,
		State:     reservation.State.String(),
		Team:      reservation.Team,
		Owner:     reservation.Who,
		Slots:     []wire.ReservedSlot{},
		HeldUntil: formatTime(reservation.HeldUntil),
		Priority: wire.PriorityName(
			int(min(reservation.Rank, uint32(wire.PriorityLowest))),
		),
		EndReason: reservation.Why,
		EndedAt:   formatTime(reservation.EndedAt),
	}
	for _, slot := range reservation.Slots {
		out.Slots = append(
			out.Slots,
			wire.ReservedSlot{
				Equipment:    slot.Piece,
				Unit:         slot.Unit,
				From:         formatTime(slot.From),
				To:           formatTime(slot.To),
				ReusableFrom: formatTime(slot.Clear),
			},
		)
	}
	for _, want := range reservation.Wants {
		out.Slots = append(
			out.Slots,
			wire.ReservedSlot{Equipment: want.Piece, Kind: want.Kind, From: formatTime(want.From), Slots: want.Slots},
		)
	}
	if reservation.State == pb.BookingState_waiting {
		r.service.ViewCommitted(func(schedule *booking.Schedule) {
			for i, waiting := range schedule.Waitlist() {
				if waiting.Id == reservation.Id {
					out.WaitlistPosition = i + 1
				}
			}
		})
	}
	return out
}

// toWireList returns reservations as they are answered.
func (r *reservationState) toWireList(list []*pb.Booking) (out []wire.Reservation) {
	for _, reservation := range list {
		out = append(out, r.toWire(reservation))
	}
	return out
}

// toWireFreeTimes returns free intervals as they are answered.
func (r *reservationState) toWireFreeTimes(list []booking.FreeSlot) (out []wire.FreeInterval) {
	for _, free := range list {
		out = append(
			out,
			wire.FreeInterval{
				Equipment: free.Piece,
				From:      r.service.Inventory().FormatTime(free.From),
				To:        r.service.Inventory().FormatTime(free.To),
			},
		)
	}
	return out
}

// handleListReservations answers a query of reservations as of a read barrier. Only an ended
// reservation, which never changes any more, is answered without one, if no permissions are in force.
func (c *Core) handleListReservations(in ListReservations) {
	query := in.Query
	if c.respondEndedReservation(in) || !c.canServeReservations(in.RequestID) {
		return
	}
	c.replica.afterReadBarrier(func(ok bool) {
		if !ok || !c.reservations.service.IsEnabled() {
			c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
			return
		}
		respond := func() {
			if !c.reservations.loadArchived(query.ID) {
				c.respondUnavailable(in.RequestID, reasonHistoryUnreadable)
				return
			}
			c.reservations.service.ViewCommitted(func(schedule *booking.Schedule) {
				status, out := c.reservations.query(in.Caller, schedule, &query)
				c.respond(in.RequestID, status, out)
			})
		}
		if !c.reservations.loadArchived(query.ID) {
			c.readArchivedReservation(query.ID, respond)
			return
		}
		respond()
	})
}

// respondEndedReservation answers a query of one ended reservation and reports whether it did.
func (c *Core) respondEndedReservation(in ListReservations) (responded bool) {
	if in.Query.ID == "" || !c.replica.loaded || c.access.isNotServing() || c.permissions.isInForce() {
		return false
	}
	c.reservations.service.ViewCommitted(func(schedule *booking.Schedule) {
		reservation := schedule.Get(in.Query.ID)
		if reservation != nil && reservation.State == pb.BookingState_ended {
			responded = true
			out := wire.ReservationResponse{Reservation: new(c.reservations.toWire(reservation))}
			c.respond(in.RequestID, wire.StatusOK, out)
		}
	})
	return responded
}

// readArchivedReservation reads the block of past reservations whose range includes the id, then calls f.
func (c *Core) readArchivedReservation(id string, f func()) {
	c.reads.readPrefix(reservations.ArchivePrefix, reservations.ArchivePrefix+id, 1, func(result RangeResult) {
		var block *wire.KeyValue
		if len(result.Items) > 0 {
			block = &result.Items[0]
		}
		err := c.reservations.service.HandleBlock(id, block, result.Revision, result.Status == wire.StatusOK)
		if err != nil {
			c.log(LevelError, "can't read past reservations", "id", id, "err", err.Error())
		}
		f()
	})
}

// loadArchived adds a past reservation to the schedule. It reports false if its block must be
// read first.
func (r *reservationState) loadArchived(id string) bool {
	known := true
	r.service.ViewCommitted(func(schedule *booking.Schedule) {
		if id == "" || schedule.Get(id) != nil {
			return
		}
		var reservation *pb.Booking
		if reservation, known = r.service.FindArchived(id); reservation != nil {
			schedule.Put(reservation)
		}
	})
	return known
}

// query answers a query from the schedule: one reservation, those of a day, the waitlist,
// free times, or else the equipment list.
func (r *reservationState) query(
	caller Credential,
	schedule *booking.Schedule,
	query *wire.ReservationQuery,
) (wire.Status, wire.ReservationResponse) {
	inventory := r.service.Inventory()
	switch {
	case query.ID != "":
		reservation := schedule.Get(query.ID)
		if reservation == nil || !r.canRead(caller, reservation) {
			return wire.StatusNotFound, wire.ReservationResponse{Error: "there is no booking " + query.ID}
		}
		return wire.StatusOK, wire.ReservationResponse{Reservation: new(r.toWire(reservation))}
	case query.Day != "":
		from, to, err := inventory.ParseDay(query.Day)
		if err != nil {
			return wire.StatusBadRequest, wire.ReservationResponse{Error: err.Error()}
		}
		list, ok := schedule.BookingsBetween(inventory, query.Equipment, from, to)
		if !ok {
			return wire.StatusNotFound, wire.ReservationResponse{Error: "there is no " + query.Equipment}
		}
		return wire.StatusOK, r.readable(caller, list)
	case query.Waiting:
		return wire.StatusOK, r.readable(caller, schedule.Waitlist())
	case query.FreeSlots:
		free, err := r.findFreeTimes(inventory, schedule, query)
		if err != nil {
			return wire.StatusBadRequest, wire.ReservationResponse{Error: err.Error()}
		}
		return wire.StatusOK, wire.ReservationResponse{Free: r.toWireFreeTimes(free)}
	}
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(inventory.Source())
	if err != nil {
		return wire.StatusInternalError, wire.ReservationResponse{Error: err.Error()}
	}
	return wire.StatusOK, wire.ReservationResponse{Equipment: string(text), Version: r.service.InventoryRevision()}
}

// findFreeTimes returns the next free times that match a query, none in the past.
func (r *reservationState) findFreeTimes(
	inventory *booking.Inventory,
	schedule *booking.Schedule,
	query *wire.ReservationQuery,
) ([]booking.FreeSlot, error) {
	want := &pb.Want{Piece: query.Equipment, Kind: query.Kind, Zone: query.Zone, Slots: max(1, query.Slots)}
	from, until := r.unixSeconds(), int64(0)
	var err error
	if query.From != "" {
		if from, err = inventory.ParseTime(query.From); err != nil {
			return nil, err
		}
	}
	if query.Before != "" {
		if until, err = inventory.ParseTime(query.Before); err != nil {
			return nil, err
		}
	}
	from = max(from, r.unixSeconds())
	limit := min(max(1, query.Limit), maxFreeTimesListed)
	return inventory.NextFree(schedule, "", query.Team, want, from, until, limit), nil
}

// readable returns the reservations that the caller may read, up to the limit of an answer.
func (r *reservationState) readable(caller Credential, list []*pb.Booking) wire.ReservationResponse {
	var out []wire.Reservation
	for _, reservation := range list {
		if r.canRead(caller, reservation) && len(out) < maxReservationsListed {
			out = append(out, r.toWire(reservation))
		}
	}
	return wire.ReservationResponse{Reservations: out}
}
