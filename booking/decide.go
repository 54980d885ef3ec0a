package booking

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	protobuf "google.golang.org/protobuf/proto"

	"dewlift/internal/utf8text"
	pb "dewlift/proto"
)

// Limits of a reservation.
const (
	MaxWants     = 60   // wants in one reservation, one for each of its slots
	MaxWaitlist  = 2000 // reservations on the waitlist
	MaxDisplaced = 40   // reservations that one change of the equipment may end, as they must fit one value together

	maxSlotsPerWant = 1000        // consecutive slots of an item
	maxHoldMinutes  = 7 * 24 * 60 // a week
	maxAlternatives = 3           // free times that are suggested instead of an occupied one
	maxReasonBytes  = 200
)

var validID = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// ValidID reports whether a reservation may have that ID.
func ValidID(id string) bool { return validID.MatchString(id) }

// Request is a user's request to create or change a reservation, or to replace the equipment.
type Request struct {
	Verb         Verb
	ID           string
	Team         string
	Identity     string
	Wants        []*pb.Want // for VerbCreate and VerbMove
	HoldSeconds  uint32     // for VerbCreate: time to confirm it before it ends; 0: it is confirmed at once
	WaitlistRank uint32     // for VerbCreate: lower ranks are served first
	JoinWaitlist bool       // for VerbCreate: wait if the wants can't be met now
	Reason       string     // for VerbEnd and VerbSetInventory
	Replacement  *Inventory // for VerbSetInventory
	EndDisplaced bool       // for VerbSetInventory: end the displaced reservations, with Reason
}

// Verb is the kind of a request.
type Verb int

// Kinds of requests.
const (
	VerbCreate Verb = iota
	VerbConfirm
	VerbMove
	VerbEnd
	VerbSetInventory
)

// Outcome is the kind of a result. Outcomes are neither stored nor sent, so their numbers may change.
type Outcome int

// Outcomes. The zero value is not a success, so that a result that was never set grants nothing.
const (
	OutcomeUndecided Outcome = iota
	OutcomeDone              // the only outcome with changes
	OutcomeRepeated          // granted before, or the reservation already is as requested
	OutcomeRefused           // not possible now, for the given Reason
	OutcomeInvalid           // the request itself is invalid
	OutcomeNotFound          // the reservation does not exist
	OutcomeForbidden         // the caller lacks the permission
)

// outcomeNames are the names of the outcomes in logs and tests.
var outcomeNames = [...]string{"undecided", "done", "repeated", "refused", "invalid", "not found", "forbidden"}

// String returns the name of an outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(o))
	}
	return outcomeNames[o]
}

// Result is the decision on a request.
type Result struct {
	Outcome      Outcome
	Reason       string
	Booking      *pb.Booking // as of after the request
	Alternatives []FreeSlot
	Displaced    []*pb.Booking
}

// IsGranted reports whether the request was granted: only then may its changes be written and audited.
func (r *Result) IsGranted() bool { return r.Outcome == OutcomeDone }

// FreeSlot is an interval in which an item can be reserved.
type FreeSlot struct {
	Piece    string
	From, To int64 // s since 1970
}

// Decide decides a request and adds its changes to a draft. now is the wall-clock time in seconds. The result is
// valid once the draft is committed, provided that nothing else was committed since the schedule was read.
func (inv *Inventory) Decide(draft *Draft, now int64, request *Request) Result {
	var result Result
	switch request.Verb {
	case VerbCreate:
		result = inv.createBooking(draft, now, request)
	case VerbSetInventory:
		result = inv.replaceInventory(draft, now, request)
	default:
		reservation := draft.schedule.byID[request.ID]
		if reservation == nil {
			return Result{Outcome: OutcomeNotFound, Reason: "there is no booking " + request.ID}
		}
		result = inv.changeBooking(draft, now, reservation, request)
	}
	if result.IsGranted() && request.Verb != VerbCreate && request.Verb != VerbConfirm {
		current := inv
		if request.Verb == VerbSetInventory {
			current = request.Replacement
		}
		current.Advance(draft, now) // assigns the units that became free
	}
	if result.Booking != nil {
		result.Booking = draft.schedule.byID[result.Booking.Id]
	}
	return result
}

// changeBooking confirms, moves or ends a reservation.
func (inv *Inventory) changeBooking(draft *Draft, now int64, reservation *pb.Booking, request *Request) Result {
	switch {
	case request.Verb == VerbConfirm:
		return confirmBooking(draft, reservation)
	case request.Verb == VerbMove:
		return inv.moveBooking(draft, now, reservation, request)
	case reservation.State != pb.BookingState_ended && IsOver(reservation, now):
		return refusal(reservation, "%s is over", reservation.Id)
	}
	return endBooking(draft, now, reservation, cmp.Or(truncateReason(request.Reason), "ended by its booker"))
}

// truncateReason returns a reason in its stored form: valid UTF-8 of bounded length.
func truncateReason(reason string) string { return utf8text.Truncate(reason, maxReasonBytes, "") }

// refusal returns the result of a request that is not possible now.
func refusal(reservation *pb.Booking, format string, args ...any) Result {
	return Result{Outcome: OutcomeRefused, Booking: reservation, Reason: fmt.Sprintf(format, args...)}
}

// HasDueChanges reports whether a reservation has to end because its time has run out: Advance would end it.
func (s *Schedule) HasDueChanges(now int64) bool {
	for _, reservation := range s.held {
		if reservation.HeldUntil <= now {
			return true
		}
	}
	return slices.ContainsFunc(
		s.waitlist,
		func(reservation *pb.Booking) bool { return hasBegun(reservation.Wants, now) },
	)
}

// hasBegun reports whether the start of any of the wants has passed.
func hasBegun(wants []*pb.Want, now int64) bool {
	return slices.ContainsFunc(wants, func(want *pb.Want) bool { return want.From <= now })
}

// Advance ends the reservations whose time has run out and assigns free units to the waitlist, in its order.
// Afterwards no waiting reservation can be met, so a later request never takes what a waiting one could have. An
// exception are wants that are too complex to be searched in bounded time, see minWaitingWork.
func (inv *Inventory) Advance(draft *Draft, now int64) { inv.AdvanceUpTo(draft, now, math.MaxInt) }

// AdvanceUpTo does what Advance does, but ends at most maxEnded reservations. Expired holds come first, the least
// recently changed of them before the others. HasDueChanges reports whether any are left; those keep their units,
// so that none is reassigned before its reservation ends.
func (inv *Inventory) AdvanceUpTo(draft *Draft, now int64, maxEnded int) {
	var expired []*pb.Booking
	for _, reservation := range draft.schedule.held {
		if reservation.HeldUntil <= now {
			expired = append(expired, reservation)
		}
	}
	slices.SortFunc(expired, func(a, b *pb.Booking) int { return cmp.Compare(a.Change, b.Change) })
	ended := min(len(expired), maxEnded)
	for _, reservation := range expired[:ended] {
		endBooking(draft, now, reservation, "its hold ran out unconfirmed")
	}
	workLimit := draft.schedule.work + maxSearchWork
	for _, reservation := range slices.Clone(draft.schedule.waitlist) {
		if hasBegun(reservation.Wants, now) {
			if ended++; ended <= maxEnded {
				endBooking(draft, now, reservation, "nothing had become free when it was to begin")
			}
			continue
		}
		maxWork := max(minWaitingWork, workLimit-draft.schedule.work)
		slots, _, err := inv.findUnitsWithin(
			maxWork, draft.schedule, reservation.Id, reservation.Team, reservation.Wants,
		)
		if err == nil {
			next := nextVersion(reservation)
			next.Slots, next.Wants = slots, nil
			grantSlots(next, now)
			draft.put(next)
		}
	}
}

// nextVersion returns a copy of a reservation that may be modified.
func nextVersion(reservation *pb.Booking) *pb.Booking {
	next := protobuf.CloneOf(reservation)
	next.Change = 0
	return next
}

// grantSlots marks a reservation as confirmed, or as held if its user still has to confirm it.
func grantSlots(reservation *pb.Booking, now int64) {
	reservation.State = pb.BookingState_confirmed
	if reservation.HoldS > 0 {
		reservation.State, reservation.HeldUntil = pb.BookingState_held, now+int64(reservation.HoldS)
	}
}

// requestDigest returns a hash of the content of a request, by which a repeated request is recognized. The hash is
// stored, so its definition must not change.
func requestDigest(request *Request) uint64 {
	var text strings.Builder
	fmt.Fprintf(&text, "%s|%s|%d|%d|%v",
		request.ID, request.Team, request.HoldSeconds, request.WaitlistRank, request.JoinWaitlist)
	for _, want := range request.Wants {
		fmt.Fprintf(&text, "|%s,%s,%s,%d,%d", want.Piece, want.Kind, want.Zone, want.From, want.Slots)
	}
	return xxhash.Sum64String(text.String())
}

// createBooking creates a reservation. It is put on the waitlist if its wants can't be met and the request allows
// it.
func (inv *Inventory) createBooking(draft *Draft, now int64, request *Request) Result {
	digest := requestDigest(request)
	if existing := draft.schedule.byID[request.ID]; existing != nil {
		if existing.Asked != digest || existing.Who != request.Identity {
			return refusal(existing, "%s is the id of another booking", request.ID)
		}
		return Result{Outcome: OutcomeRepeated, Booking: existing}
	}
	if err := inv.validateWants(request.Team, request.Wants, now); err != nil {
		return Result{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	if request.HoldSeconds > maxHoldMinutes*60 {
		return Result{
			Outcome: OutcomeInvalid,
			Reason:  fmt.Sprintf("may be held for %d minutes at most", maxHoldMinutes),
		}
	}
	created := &pb.Booking{
		Id:    request.ID,
		Team:  request.Team,
		Who:   request.Identity,
		HoldS: request.HoldSeconds,
		Rank:  request.WaitlistRank,
		Asked: digest,
	}
	slots, failed, err := inv.findUnits(draft.schedule, request.ID, request.Team, request.Wants)
	waiting := len(draft.schedule.waitlist)
	switch {
	case err == nil:
		created.Slots = slots
		grantSlots(created, now)
	case request.JoinWaitlist && waiting >= MaxWaitlist:
		return refusal(nil, "%s, and %d bookings wait already", err, waiting)
	case request.JoinWaitlist:
		created.State, created.Wants = pb.BookingState_waiting, request.Wants
	default:
		result := refusal(nil, "%s", err)
		result.Alternatives = inv.alternatives(draft, created, request.Wants[failed], now)
		return result
	}
	draft.put(created)
	return Result{Outcome: OutcomeDone, Booking: created}
}

// alternatives returns the next free times for a want that can't be met.
func (inv *Inventory) alternatives(draft *Draft, reservation *pb.Booking, want *pb.Want, now int64) []FreeSlot {
	from := max(now, want.From)
	return inv.NextFree(draft.schedule, reservation.Id, reservation.Team, want, from, 0, maxAlternatives)
}

// validateWants returns an error if the wants can never be met.
func (inv *Inventory) validateWants(team string, wants []*pb.Want, now int64) error {
	if len(wants) == 0 || len(wants) > MaxWants {
		return fmt.Errorf("%d slots, must be from 1 to %d", len(wants), MaxWants)
	}
	for _, want := range wants {
		if want.Slots < 1 || want.Slots > maxSlotsPerWant {
			return fmt.Errorf("%d slots in a row, must be from 1 to %d", want.Slots, maxSlotsPerWant)
		}
		if want.From < now {
			return fmt.Errorf("%s is past", inv.FormatTime(want.From))
		}
		if err := inv.validateCandidates(team, want); err != nil {
			return err
		}
	}
	return nil
}

// validateCandidates returns nil if the team may reserve some candidate of the want at that time, and otherwise the
// error of the first candidate.
func (inv *Inventory) validateCandidates(team string, want *pb.Want) error {
	candidates := inv.candidates(want)
	if len(candidates) == 0 {
		if item := inv.itemsByName[want.Piece]; item != nil {
			return fmt.Errorf("%s can't be booked until its entry in the list is valid: %w", item.Name, item.invalid)
		}
		return fmt.Errorf("there is no %s", quoteInput(cmp.Or(want.Piece, strings.TrimSpace(want.Kind+" "+want.Zone))))
	}
	var first error
	for _, item := range candidates {
		if !item.allowsTeam(team) {
			first = cmp.Or(first, fmt.Errorf("team %s may not book %s", team, item.Name))
		} else if err := inv.checkSlots(item, want.From, int(want.Slots)); err != nil {
			first = cmp.Or(first, err)
		} else {
			return nil
		}
	}
	return first
}

// confirmBooking confirms a held reservation.
func confirmBooking(draft *Draft, reservation *pb.Booking) Result {
	switch reservation.State {
	case pb.BookingState_confirmed:
		return Result{Outcome: OutcomeRepeated, Booking: reservation}
	case pb.BookingState_held:
		next := nextVersion(reservation)
		next.State, next.HeldUntil = pb.BookingState_confirmed, 0
		draft.put(next)
		return Result{Outcome: OutcomeDone, Booking: next}
	case pb.BookingState_waiting:
		return refusal(reservation, "%s waits for its slots", reservation.Id)
	}
	return refusal(reservation, "%s has ended: %s", reservation.Id, reservation.Why)
}

// moveBooking replaces the slots of a reservation. If the new wants can't be met, the reservation keeps its slots.
func (inv *Inventory) moveBooking(draft *Draft, now int64, reservation *pb.Booking, request *Request) Result {
	if reservation.State == pb.BookingState_ended {
		return refusal(reservation, "%s has ended: %s", reservation.Id, reservation.Why)
	}
	if inv.hasWants(reservation, request.Wants) {
		return Result{Outcome: OutcomeRepeated, Booking: reservation}
	}
	if IsOver(reservation, now) {
		return refusal(reservation, "%s is over", reservation.Id)
	}
	if err := inv.validateWants(reservation.Team, request.Wants, now); err != nil {
		return Result{Outcome: OutcomeInvalid, Reason: err.Error()}
	}
	next := nextVersion(reservation)
	slots, failed, err := inv.findUnits(draft.schedule, reservation.Id, reservation.Team, request.Wants)
	switch {
	case err == nil && reservation.State == pb.BookingState_waiting:
		next.Slots, next.Wants = slots, nil
		grantSlots(next, now)
	case err == nil:
		next.Slots = slots
	default:
		result := refusal(reservation, "%s", err)
		result.Alternatives = inv.alternatives(draft, reservation, request.Wants[failed], now)
		return result
	}
	draft.put(next)
	return Result{Outcome: OutcomeDone, Booking: next}
}

// hasWants reports whether a reservation already has the wanted slots, which is the case when a move is repeated.
func (inv *Inventory) hasWants(reservation *pb.Booking, wants []*pb.Want) bool {
	if reservation.State == pb.BookingState_waiting || len(reservation.Slots) != len(wants) {
		return false
	}
	for i, want := range wants {
		slot := reservation.Slots[i]
		item := inv.itemsByName[slot.Piece]
		if item == nil || slot.From != want.From || slot.To != want.From+int64(want.Slots)*item.slotSeconds ||
			!slices.Contains(inv.candidates(want), item) {
			return false
		}
	}
	return true
}

// endBooking ends a reservation.
func endBooking(draft *Draft, now int64, reservation *pb.Booking, reason string) Result {
	if reservation.State == pb.BookingState_ended {
		return Result{Outcome: OutcomeRepeated, Booking: reservation}
	}
	next := nextVersion(reservation)
	next.State, next.Why, next.EndedAt, next.HeldUntil = pb.BookingState_ended, reason, now, 0
	draft.put(next)
	return Result{Outcome: OutcomeDone, Booking: next}
}

// IsOver reports whether a reservation can't change any more: it has ended, or all its slots have passed with the
// cooldowns after them.
func IsOver(reservation *pb.Booking, now int64) bool {
	switch reservation.State {
	case pb.BookingState_ended:
		return true
	case pb.BookingState_confirmed:
		return !slices.ContainsFunc(reservation.Slots, func(slot *pb.Slot) bool { return slot.Clear > now })
	}
	return false
}

// replaceInventory replaces the equipment. Reservations that the new equipment can't serve are displaced: the
// result lists them, and they are ended only if the request says so.
func (inv *Inventory) replaceInventory(draft *Draft, now int64, request *Request) Result {
	displaced := request.Replacement.Displaced(draft.schedule, now)
	switch {
	case len(displaced) == 0:
	case !request.EndDisplaced:
		result := refusal(
			nil,
			"%d bookings have no place in the new list; end or move them, or say that they are ended with it, and why",
			len(displaced),
		)
		result.Displaced = displaced
		return result
	case request.Reason == "":
		return Result{Outcome: OutcomeInvalid, Reason: "a reason is needed"}
	case len(displaced) > MaxDisplaced:
		result := refusal(
			nil,
			"%d bookings have no place in the new list, more than the %d that can be ended with it",
			len(displaced),
			MaxDisplaced,
		)
		result.Displaced = displaced
		return result
	}
	for _, reservation := range displaced {
		endBooking(draft, now, reservation, truncateReason(request.Reason))
	}
	return Result{Outcome: OutcomeDone, Displaced: displaced}
}

// Displaced returns the reservations that this equipment can't serve, in the order of their creation. A changed
// slot length or cooldown displaces none: slots keep those that they were granted with.
func (inv *Inventory) Displaced(schedule *Schedule, now int64) (out []*pb.Booking) {
	for _, reservation := range schedule.byID {
		if inv.displaces(reservation, now) {
			out = append(out, reservation)
		}
	}
	slices.SortFunc(out, func(a, b *pb.Booking) int { return cmp.Compare(a.Made, b.Made) })
	return out
}

// displaces reports whether this equipment can't serve a reservation.
func (inv *Inventory) displaces(reservation *pb.Booking, now int64) bool {
	switch reservation.State {
	case pb.BookingState_held, pb.BookingState_confirmed:
		return slices.ContainsFunc(reservation.Slots, func(slot *pb.Slot) bool {
			return slot.To > now && !inv.offersSlot(reservation.Team, slot)
		})
	case pb.BookingState_waiting:
		return !hasBegun(reservation.Wants, now) &&
			inv.validateWants(reservation.Team, reservation.Wants, now) != nil
	}
	return false
}

// offersSlot reports whether a slot lies in the opening hours of a usable unit that the team may reserve.
func (inv *Inventory) offersSlot(team string, slot *pb.Slot) bool {
	item := inv.itemsByName[slot.Piece]
	if item == nil || !item.isUnitUsable(int(slot.Unit)) || !item.allowsTeam(team) {
		return false
	}
	for at := slot.From; at < slot.To; {
		open, ok := inv.openingOn(item, inv.dayOf(at))
		if !ok || at < open.from || at >= open.to {
			return false
		}
		at = open.to
	}
	return true
}
