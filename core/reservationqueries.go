package core

import (
	"google.golang.org/protobuf/encoding/prototext"

	"dewlift/access"
	"dewlift/booking"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// This file answers queries of reservations and equipment, and converts reservations to their form in responses.

// canRead reports whether the caller may read a reservation, which depends on its team and kind of equipment.
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

// toWire converts a reservation to its form in responses, with times in the site's time zone.
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

// toWireList converts reservations to their form in responses.
func (r *reservationState) toWireList(list []*pb.Booking) (out []wire.Reservation) {
	for _, reservation := range list {
		out = append(out, r.toWire(reservation))
	}
	return out
}

// toWireFreeTimes converts free intervals to their form in responses.
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

// handleListReservations answers a query of reservations as of a read barrier. It needs none for a single ended
// reservation, which never changes any more, if no permissions are in force.
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

// respondEndedReservation answers a query of a single ended reservation without a read barrier, and reports whether
// it did.
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

// readArchivedReservation reads the archive block whose range includes the ID, and then calls f.
func (c *Core) readArchivedReservation(id string, f func()) {
	c.reads.readPrefix(reservations.ArchivePrefix, reservations.ArchivePrefix+id, 1, func(result RangeResult) {
		var block *wire.KeyValue
		if len(result.Items) > 0 {
			block = &result.Items[0]
		}
		err := c.reservations.service.HandleBlock(id, block, result.Revision, result.Status == wire.StatusOK)
		if err != nil {
			c.log(LevelError, "failed to decode a block of archived reservations", "id", id, "err", err.Error())
		}
		f()
	})
}

// loadArchived adds an archived reservation to the schedule, if there is one. It reports false if the archive block
// must be read first.
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

// query answers a query from the schedule: a single reservation, those of a day, the waitlist or free times, or
// else the equipment list.
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

// findFreeTimes returns the next free times that match a query. None of them begin in the past.
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

// readable returns the reservations in the list that the caller may read, at most maxReservationsListed.
func (r *reservationState) readable(caller Credential, list []*pb.Booking) wire.ReservationResponse {
	var out []wire.Reservation
	for _, reservation := range list {
		if r.canRead(caller, reservation) && len(out) < maxReservationsListed {
			out = append(out, r.toWire(reservation))
		}
	}
	return wire.ReservationResponse{Reservations: out}
}
