package core

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/core/auditlog"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// This file authorizes and validates reservation requests and limits the rate of their writes. Package booking
// decides the requests, and package core/reservations decides what is stored.

const (
	// seedEquipmentInterval is the delay between attempts to seed the equipment.
	seedEquipmentInterval = 2 * time.Second

	// seedEquipmentRetryDelay is the delay after an attempt to seed equipment that does not fit a value. Only a
	// change of the configuration can make it fit.
	seedEquipmentRetryDelay = time.Minute

	// reservationComparesPerOp is the number of compares that a transaction may have for each write that the store
	// allows in it.
	reservationComparesPerOp = 4

	// reservationCompactionShare is the share of the write burst that must be available before past reservations
	// are archived or pages merged. Neither is urgent.
	reservationCompactionShare = 0.75

	maxReservationsListed = 500 // in one response
	maxFreeTimesListed    = 50  // in one response
)

// Reasons in responses to reservation requests that can't be served now.
const (
	reasonOldVersion = "a controller may still run a version that does not know bookings"
	reasonUndecided  = "it could not be decided in time"
)

// reservationState is the reservation service and the state that the core keeps for it.
type reservationState struct {
	*environment
	service  *reservations.Service
	access   *accessControl
	auditLog *auditState
	schema   *schemaState

	auditEntryIDs    []uint64 // audit entries of the transaction that is being built
	enabledPublished bool     // the state that was last sent to the API
	nextSeedAt       time.Duration
}

// reservationCaller identifies the request and caller of a pending reservation request.
type reservationCaller struct {
	requestID uint64
	caller    Credential
}

// applyReservation updates the replica from a stored reservation key and passes on the audit entries that it
// carries.
func (c *Core) applyReservation(key string, raw json.RawMessage, revision uint64) error {
	carried, err := c.reservations.service.ApplyPut(key, raw, revision)
	if key == reservations.KeyHead {
		c.auditLog.current().ObserveEntries(key, revision, carried)
	}
	return err
}

// canServeReservations reports whether a reservation request can be served now. If not, it responds to the request.
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
	var series *booking.SeriesRule
	if err == nil && reservation.Repeat != "" {
		if series, err = booking.ParseSeriesRule(reservation.Repeat); err != nil {
			err = fmt.Errorf("repeat: %w", err)
		}
	}
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
			Request:    request,
			Wants:      reservation.Slots,
			Series:     series,
			CallerData: reservationCaller{requestID: in.RequestID, caller: in.Caller},
		},
	)
}

// validateReservation returns the waitlist rank of a request, or an error that names the invalid field.
func validateReservation(reservation *wire.ReservationRequest) (rank int, err error) {
	if !booking.ValidID(reservation.ID) {
		return 0, errors.New("id: letters, digits, dots, dashes and underscores, at most 64")
	}
	if !wire.ValidTeamName(reservation.Team) {
		return 0, errors.New("team: " + wire.TeamNameLimit())
	}
	if err := reservations.ValidateSlots(reservation.Slots); err != nil {
		return 0, err
	}
	rank, ok := wire.Priority(cmp.Or(reservation.Priority, wire.PriorityName(wire.PriorityStandard)))
	if !ok {
		return 0, fmt.Errorf("priority: there is no %.80q", reservation.Priority)
	}
	return rank, nil
}

// enqueueReservationRequest queues a request, or rejects it if too many are queued.
func (c *Core) enqueueReservationRequest(request *reservations.PendingRequest) {
	request.Deadline = c.now + c.cfg.Scheduling.SubmitWriteTimeout
	if !c.reservations.service.Enqueue(request) {
		c.respondUnavailable(request.CallerData.(reservationCaller).requestID, reasonTooBusy)
	}
}

// handleSetEquipment queues a new equipment list of a caller who may set one. It denies the request only after a read
// barrier, as the permission may just have been granted at another controller.
func (c *Core) handleSetEquipment(in SetEquipment) {
	if !c.canServeReservations(in.RequestID) {
		return
	}
	if c.reservations.equipmentDenial(in.Caller) == "" {
		c.enqueueEquipment(in)
		return
	}
	c.replica.afterReadBarrier(func(ok bool) {
		denial := c.reservations.equipmentDenial(in.Caller)
		switch {
		case !ok:
			c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
		case denial != "":
			verb := reservationAuditVerbs[booking.VerbSetInventory]
			c.respondForbidden(in.RequestID, in.Caller, verb, equipmentAuditObject, denial)
		default:
			c.enqueueEquipment(in)
		}
	})
}

// equipmentDenial returns why a caller may not set the equipment, or "".
func (r *reservationState) equipmentDenial(caller Credential) string {
	if !r.access.permissions.isInForce() {
		return ""
	}
	return denialReason(r.access.authorize(caller, access.Action{Verb: pb.Verb_equip}))
}

// enqueueEquipment validates a new equipment list and queues its replacement. The transaction that stores the list
// compares the permissions again.
func (c *Core) enqueueEquipment(in SetEquipment) {
	inventory, err := c.parseEquipment(in.Edit.Text)
	if err != nil {
		c.respond(
			in.RequestID,
			wire.StatusBadRequest,
			wire.ReservationResponse{Error: "equipment: " + err.Error()},
		)
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

// parseEquipment parses and validates an equipment list that is to be stored.
func (c *Core) parseEquipment(text string) (*booking.Inventory, error) {
	inventory, err := booking.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	raw, err := reservations.EncodeInventory(inventory.Source())
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		return nil, fmt.Errorf("it takes %d bytes, at most %d are stored", len(raw), c.cfg.Store.MaxValueBytes)
	}
	return inventory, nil
}

// advanceReservations responds to expired requests, seeds the equipment, starts the reads of archive blocks that
// requests need, and starts at most one further transaction: a batch of requests or, on a leader that has write tokens
// to spare, a compaction.
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
	// Requests may overdraw the write tokens by a quarter of a second's writes, because callers wait for them.
	if c.reservations.service.HasWork(c.now, c.unixSeconds()) && !rateLimit.IsUrgentPaused(c.now) &&
		rateLimit.RequestTokens >= 1 &&
		rateLimit.WriteTokens >= 1-c.schema.storeWriteRate()/4 {
		c.commitReservations()
		return
	}
	if c.leadership.isHeld() &&
		rateLimit.WriteTokens >= reservationCompactionShare*rateLimit.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		!rateLimit.IsPaused(c.now) {
		c.compactReservations()
	}
}

// publishEnabled informs the API when reservations become enabled or disabled.
func (r *reservationState) publishEnabled() {
	enabled := r.service.IsEnabled() && r.schema.active >= schemaReservations
	if enabled != r.enabledPublished {
		r.enabledPublished = enabled
		r.emit(ReservationsEnabled{Enabled: enabled})
	}
}

// compactReservations archives past reservations or, if none can be archived, merges pages.
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
			// After the barrier the replica shows the outcome.
			c.replica.afterReadBarrier(func(bool) { c.reservations.service.MergeDone() })
		}})
	}
}

// seedEquipment stores the configured equipment list if the store has none.
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
		c.log(LevelError, "configured equipment list can't be stored in one value", "bytes", len(raw))
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

// commitReservations decides a batch of queued requests and starts its transaction.
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
		// The transaction has no writes: discard the entries of a previous attempt, which did not fit.
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
			// Another controller may have committed first. Read at once: with a delayed read, this controller
			// would lose to it every time.
			c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
			c.replica.afterReadBarrier(func(bool) { c.reservations.service.HeadRead() })
		}
	}})
}

// equipmentAuditObject is the object of a change of the equipment in the audit log.
const equipmentAuditObject = "equipment"

// reservationAuditVerbs maps the kinds of reservation requests to verbs of the audit log.
var reservationAuditVerbs = map[booking.Verb]string{
	booking.VerbCreate: "book", booking.VerbConfirm: "confirm booking", booking.VerbMove: "move booking",
	booking.VerbEnd: "end booking", booking.VerbSetInventory: "change equipment",
}

// authorize decides whether the caller of a request may perform it on reservations of the team that use equipment
// of these kinds. It returns the compares that fail if the decision no longer holds, and the reason of a denial or
// "".
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
		return compares, r.equipmentDenial(caller)
	}
	if len(kinds) == 0 {
		kinds = []string{""} // the reservation does not exist
	}
	for _, kind := range kinds {
		action := access.Action{Verb: pb.Verb_book, Team: team, Class: kind}
		if denial := denialReason(r.access.authorize(caller, action)); denial != "" {
			return compares, denial
		}
	}
	return compares, ""
}

// denialReason returns "" if the action is allowed, and otherwise the reason of the denial, which is never "".
func denialReason(decision access.Decision) string {
	if decision.Allowed {
		return ""
	}
	return cmp.Or(decision.Reason, "not permitted")
}

// attachAudit returns the audit entries that the next head must carry: those of old that are still pending, and new
// ones of the granted requests and of reservations that changed for another reason. It replaces the entries of the
// previous attempt to build the transaction.
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
	return cmp.Or(request.Request.ID, equipmentAuditObject)
}

// reservationStatuses maps the outcomes of requests that were decided and not denied to response statuses.
var reservationStatuses = map[booking.Outcome]wire.Status{
	booking.OutcomeDone:     wire.StatusOK,
	booking.OutcomeRepeated: wire.StatusOK,
	booking.OutcomeRefused:  wire.StatusConflict,
	booking.OutcomeInvalid:  wire.StatusInvalid,
	booking.OutcomeNotFound: wire.StatusNotFound,
}

// respondToReservation responds to a request that was decided or denied, or has expired.
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
