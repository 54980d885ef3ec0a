package reservations

import (
	"fmt"
	"math"
	"slices"

	"dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

// NextTxn decides queued requests and returns the transaction that commits the decisions, or nil if there is
// nothing to commit. The caller passes its outcome to HandleOutcome. A batch that does not fit a value is halved
// until it fits. If not even one request fits in addition to the reservations whose time has run out, these are
// ended first, in as many transactions as needed.
func (s *Service) NextTxn(env Env) *wire.Txn {
	s.deferUntilBlockRead()
	s.blockedByAudit = false
	if len(s.queue) == 0 && !s.schedule.HasDueChanges(env.UnixS) {
		return nil
	}
	for limit := min(len(s.queue), s.batchLimit); ; limit /= 2 {
		txn, fits := s.tryBatch(env, limit, math.MaxInt)
		if fits {
			s.queue = s.queue[len(s.inFlight.responses):]
			s.nextTxnAt = env.Now + batchInterval
			return txn
		}
		if limit > 1 {
			continue
		}
		if s.rollBackInFlight(); s.schedule.HasDueChanges(env.UnixS) {
			return s.nextDueTxn(env)
		}
		return s.handleOversizedBatch(env, limit)
	}
}

// nextDueTxn returns a transaction without requests that ends as many of the reservations whose time has run out as
// fit a value. Requests wait until all of these have ended.
func (s *Service) nextDueTxn(env Env) *wire.Txn {
	for limit := s.schedule.Len(); limit > 0; limit /= 2 {
		if txn, fits := s.tryBatch(env, 0, limit); fits {
			s.nextTxnAt = env.Now + batchInterval
			return txn
		}
	}
	return s.handleOversizedBatch(env, 0)
}

// handleOversizedBatch handles a batch of one request, or of none, that does not fit a value. If it would fit
// without audit entries, or has no request, it is tried again later, when audit entries may be in blocks; otherwise
// the request is rejected.
func (s *Service) handleOversizedBatch(env Env, requests int) *wire.Txn {
	s.rollBackInFlight()
	s.inFlight = nil
	if requests == 0 || s.blockedByAudit {
		s.nextTxnAt = env.Now + auditBlockDelay
		return nil
	}
	request := s.queue[0]
	s.queue = s.queue[1:]
	s.inFlight = &inFlightTxn{
		draft: s.schedule.NewDraft(),
		responses: []Response{
			{
				Request: request,
				Result: booking.Result{
					Outcome: booking.OutcomeInvalid,
					Reason:  "too much to be stored in one value",
				},
			},
		},
	}
	s.nextTxnAt = env.Now + batchInterval
	return s.compareTxn(nil)
}

// compareTxn returns a transaction that compares the head and the equipment and has the given compares.
func (s *Service) compareTxn(compares []wire.Compare) *wire.Txn {
	txn := &wire.Txn{
		Compare: []wire.Compare{
			{Key: KeyHead, Revision: s.headRevision},
			{Key: KeyInventory, Revision: s.inventoryRevision},
		},
	}
	for _, compare := range compares {
		if !slices.Contains(txn.Compare, compare) {
			txn.Compare = append(txn.Compare, compare)
		}
	}
	return txn
}

// tryBatch ends up to maxEnded reservations whose time has run out, decides up to limit queued requests and builds
// the transaction, which becomes the one in flight. It reports false if a value would be too large.
func (s *Service) tryBatch(env Env, limit, maxEnded int) (txn *wire.Txn, fits bool) {
	s.rollBackInFlight()
	inFlight := &inFlightTxn{draft: s.schedule.NewDraft()}
	s.inFlight = inFlight
	// If no change is due, the waitlist can't be served: every change that frees units assigns them itself.
	if s.schedule.HasDueChanges(env.UnixS) {
		s.inventory.AdvanceUpTo(inFlight.draft, env.UnixS, maxEnded)
	}
	compares, granted := s.decideRequests(env, inFlight, s.queue[:limit])
	txn = s.compareTxn(compares)
	inFlight.hasChanges = len(inFlight.draft.Bookings) > 0
	if inFlight.newInventory != nil {
		raw, err := EncodeInventory(inFlight.newInventory.Source())
		if err != nil || len(raw) > env.MaxValueBytes {
			return nil, false
		}
		txn.Then = append(txn.Then, wire.Write{Put: KeyInventory, Value: raw})
	}
	if !inFlight.hasChanges && inFlight.newInventory == nil {
		return txn, true
	}
	if !s.addHead(env, inFlight, txn, granted) {
		return nil, false
	}
	return txn, true
}

// decideRequests decides requests in order, until the transaction has no capacity for more compares, the requests
// have taken maxBatchWork or one changes the equipment, by which the next batch is then decided. It returns the
// compares that fail if the decisions no longer hold, and the granted requests.
func (s *Service) decideRequests(
	env Env, inFlight *inFlightTxn, requests []*PendingRequest,
) (compares []wire.Compare, granted []*PendingRequest) {
	workLimit := s.schedule.Work() + maxBatchWork
	for _, request := range requests {
		response, more := s.decideRequest(env, inFlight.draft, request)
		inFlight.responses = append(inFlight.responses, response)
		if response.IsGranted() {
			granted = append(granted, request)
		}
		for _, compare := range more {
			if !slices.Contains(compares, compare) {
				compares = append(compares, compare)
			}
		}
		if request.Request.Verb == booking.VerbSetInventory && response.IsGranted() {
			inFlight.newInventory = request.Request.Replacement
			break
		}
		if len(compares)+reservedCompares > env.MaxCompares || s.schedule.Work() > workLimit {
			break
		}
	}
	return compares, granted
}

// addHead adds the write of the next head to a transaction. A head that would be too large is spilled to a page
// first. It reports false if the next head is too large nevertheless.
func (s *Service) addHead(env Env, inFlight *inFlightTxn, txn *wire.Txn, granted []*PendingRequest) bool {
	changed := inFlight.draft.Bookings
	change := s.schedule.LastChange()
	inFlight.pendingAudit = env.AttachAudit(s.headRevision, s.pendingAudit, granted, changed)
	inFlight.headBookings = slices.Clone(s.headBookings)
	for _, changedBooking := range changed { // the head keeps only the last change of a reservation
		inFlight.headBookings = slices.DeleteFunc(
			inFlight.headBookings,
			func(old *pb.Booking) bool { return old.Id == changedBooking.Id },
		)
	}
	inFlight.headBookings = append(inFlight.headBookings, changed...)
	raw, err := encodePage(inFlight.headBookings, change, inFlight.pendingAudit)
	if err == nil && len(raw) > env.MaxValueBytes && len(inFlight.headBookings) > len(changed) {
		raw, err = s.spillHead(inFlight, txn, change)
	}
	if err != nil || len(raw) > env.MaxValueBytes {
		withoutAudit, err := encodePage(inFlight.headBookings, change, nil)
		s.blockedByAudit = err == nil && len(withoutAudit) <= env.MaxValueBytes
		return false
	}
	txn.Then = append(txn.Then, wire.Write{Put: KeyHead, Value: raw})
	return true
}

// spillHead adds a write of a page with the content of the current head, and returns the next head, which holds
// only the changes of the transaction.
func (s *Service) spillHead(inFlight *inFlightTxn, txn *wire.Txn, change uint64) ([]byte, error) {
	changed := inFlight.draft.Bookings
	inFlight.headBookings = slices.Clone(changed)
	inFlight.spilledPage = fmt.Sprintf("%s%016x", pagePrefix, change-uint64(len(changed)))
	inFlight.spilledBookings = s.headBookings
	raw, err := encodePage(s.headBookings, 0, nil)
	if err != nil {
		return nil, err
	}
	txn.Compare = append(txn.Compare, wire.Compare{Key: inFlight.spilledPage})
	txn.Then = append(txn.Then, wire.Write{Put: inFlight.spilledPage, Value: raw})
	return encodePage(inFlight.headBookings, change, inFlight.pendingAudit)
}

// decideRequest decides one request. It returns the compares that fail if the decision no longer holds.
func (s *Service) decideRequest(
	env Env, draft *booking.Draft, pending *PendingRequest,
) (Response, []wire.Compare) {
	request := &pending.Request
	if err := ValidateSlots(pending.Wants); err != nil {
		return invalidRequest(pending, err), nil
	}
	existing := s.schedule.Get(request.ID)
	var archiveCompares []wire.Compare // fail once the archive has a reservation with this ID
	if existing == nil && request.Verb != booking.VerbSetInventory {
		var compare wire.Compare
		if existing, compare, _ = s.lookUpArchived(request.ID); existing != nil {
			s.schedule.Put(existing) // an archived reservation never changes any more, so the schedule may keep it
		}
		archiveCompares = append(archiveCompares, compare)
	}
	team := request.Team
	if existing != nil {
		team = existing.Team
	}
	compares, denial := env.Authorize(pending, team, s.equipmentKinds(existing, pending.Wants))
	compares = append(compares, archiveCompares...)
	if denial != "" {
		return Response{
			Request: pending,
			Result:  booking.Result{Outcome: booking.OutcomeForbidden, Reason: denial},
		}, compares
	}
	if request.Verb == booking.VerbCreate || request.Verb == booking.VerbMove {
		if pending.Series != nil {
			s.schedule.AddSeriesWork(len(pending.Wants))
		}
		wants, err := ResolveWants(s.inventory, pending.Wants, pending.Series)
		if err != nil {
			return invalidRequest(pending, err), compares
		}
		request.Wants = wants
	}
	return Response{Request: pending, Result: s.inventory.Decide(draft, env.UnixS, request)}, compares
}

// invalidRequest returns the response to a request that is invalid in itself.
func invalidRequest(pending *PendingRequest, err error) Response {
	return Response{
		Request: pending,
		Result:  booking.Result{Outcome: booking.OutcomeInvalid, Reason: err.Error()},
	}
}

// equipmentKinds returns the kinds of equipment of the slots of an existing reservation, if any, and of the requested
// slots, sorted and without duplicates.
func (s *Service) equipmentKinds(existing *pb.Booking, requested []wire.SlotRequest) []string {
	var kinds []string
	for _, slot := range existing.GetSlots() {
		kinds = append(kinds, s.inventory.ItemKind(slot.Piece))
	}
	for _, slot := range requested {
		kinds = append(kinds, s.inventory.WantKind(&pb.Want{Piece: slot.Equipment, Kind: slot.Kind}))
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}

// ValidateSlots returns an error if the requested slots are invalid, whatever the equipment in force.
func ValidateSlots(requested []wire.SlotRequest) error {
	if len(requested) > booking.MaxWants {
		return fmt.Errorf("%d slots, must be from 1 to %d", len(requested), booking.MaxWants)
	}
	for i, slot := range requested {
		if (slot.Equipment == "") == (slot.Kind == "") {
			return fmt.Errorf("slots[%d]: a slot names a piece of equipment or a kind", i)
		}
	}
	return nil
}

// ResolveWants translates requested slots to wants of the equipment in force, one for each recurrence of each slot. It
// stops as soon as there are too many.
func ResolveWants(
	inventory *booking.Inventory, requested []wire.SlotRequest, series *booking.SeriesRule,
) (out []*pb.Want, err error) {
	for i, slot := range requested {
		want := &pb.Want{Piece: slot.Equipment, Kind: slot.Kind, Zone: slot.Zone, Slots: max(1, slot.Slots)}
		if want.From, err = inventory.ParseTime(slot.From); err != nil {
			return nil, fmt.Errorf("slots[%d].from: %w", i, err)
		}
		wants := []*pb.Want{want}
		if series != nil {
			if wants, err = inventory.ExpandSeries(want, series); err != nil {
				return nil, fmt.Errorf("repeat: %w", err)
			}
		}
		if out = append(out, wants...); len(out) > booking.MaxWants {
			return nil, fmt.Errorf("%d slots, must be from 1 to %d", len(out), booking.MaxWants)
		}
	}
	return out, nil
}

// HandleOutcome handles the outcome of the transaction that NextTxn returned: its status and the revision of its
// writes. It returns the responses that are now final, and whether the caller must read the head and then call
// HeadRead before the next requests are decided.
func (s *Service) HandleOutcome(status wire.Status, revision uint64) (out []Response, mustReadHead bool) {
	inFlight := s.inFlight
	if inFlight == nil {
		return nil, false
	}
	switch status {
	case wire.StatusOK:
		s.batchLimit, s.singleRefusals = min(2*s.batchLimit, maxBatchRequests), 0
	case wire.StatusBadRequest:
		if rejected := s.handleRefusedBatch(); rejected != nil {
			return rejected, true
		}
		return nil, s.requeueInFlight(status)
	default:
		return nil, s.requeueInFlight(status)
	}
	switch {
	case inFlight.rolledBack: // the watch has already shown this transaction, and perhaps later changes
	case inFlight.hasChanges || inFlight.newInventory != nil:
		s.applyInFlight(inFlight, revision)
	}
	s.inFlight = nil
	return inFlight.responses, false
}

// handleRefusedBatch halves the next batch after the store refused one as malformed or too large, so that a request
// that the store does not accept does not keep others from being decided. That request is rejected once it was
// refused alone more than maxSingleRefusals times; until then, lower limits of the transaction size may let it
// pass.
func (s *Service) handleRefusedBatch() (rejected []Response) {
	responses := s.inFlight.responses
	s.batchLimit = max(1, len(responses)/2)
	if len(responses) != 1 {
		return nil
	}
	if s.singleRefusals++; s.singleRefusals <= maxSingleRefusals {
		return nil
	}
	s.rollBackInFlight()
	s.inFlight, s.singleRefusals, s.needsHeadRead = nil, 0, true
	result := booking.Result{Outcome: booking.OutcomeInvalid, Reason: "the state service refuses to store it"}
	return []Response{{Request: responses[0].Request, Result: result}}
}

// requeueInFlight puts the requests of a transaction that was not committed, or may not have been, back at the
// front of the queue. It reports whether the head must be read before they are decided again.
func (s *Service) requeueInFlight(status wire.Status) (mustReadHead bool) {
	s.rollBackInFlight()
	requests := make([]*PendingRequest, 0, len(s.inFlight.responses))
	for _, response := range s.inFlight.responses {
		requests = append(requests, response.Request)
	}
	s.inFlight = nil
	s.queue = append(requests, s.queue...)
	s.needsHeadRead = status != wire.StatusTooManyRequests && status != wire.StatusUnavailable
	return s.needsHeadRead
}

// applyInFlight updates the replica from a committed transaction.
func (s *Service) applyInFlight(inFlight *inFlightTxn, revision uint64) {
	if inFlight.spilledPage != "" {
		s.updateValueCounts(nil, inFlight.spilledBookings)
		s.pages[inFlight.spilledPage] = page{revision, inFlight.spilledBookings}
	}
	s.updateValueCounts(s.headBookings, inFlight.headBookings)
	s.headRevision, s.headBookings, s.pendingAudit = revision, inFlight.headBookings, inFlight.pendingAudit
	if inFlight.newInventory != nil {
		s.inventory, s.inventoryRevision = inFlight.newInventory, revision
	}
}

// HeadRead tells the service that the head was read as HandleOutcome required.
func (s *Service) HeadRead() { s.needsHeadRead = false }
