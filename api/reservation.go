package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"dewlift/booking"
	"dewlift/core"
	"dewlift/wire"
)

// maxFreeIntervals is the largest number of free intervals that a query returns.
const maxFreeIntervals = 10

// SetReservationsEnabled sets whether an equipment inventory is configured. Without one, requests to the
// paths of reservations get the response of an unknown path.
func (s *Server) SetReservationsEnabled(enabled bool) { s.reservationsEnabled.Store(enabled) }

// whenEnabled returns an authenticated handler that treats its path as unknown while a feature is disabled.
func (s *Server) whenEnabled(enabled *atomic.Bool, handle authenticatedHandler) fiber.Handler {
	authenticated := s.authenticated(handle)
	return func(c fiber.Ctx) error {
		if !enabled.Load() {
			return c.Next()
		}
		return authenticated(c)
	}
}

// addReservationRoutes adds the routes of reservations and equipment.
func (s *Server) addReservationRoutes(app *fiber.App) {
	app.Get(wire.PathReservations, s.reservationQuery(parseReservationList))
	app.Get(wire.PathReservations+"/:id", s.reservationQuery(func(c fiber.Ctx, query *wire.ReservationQuery) error {
		query.ID = c.Params("id")
		return nil
	}))
	app.Get(wire.PathEquipment, s.reservationQuery(func(fiber.Ctx, *wire.ReservationQuery) error { return nil }))
	app.Post(wire.PathEquipment, s.whenEnabled(&s.reservationsEnabled, s.setEquipment))
	app.Post(wire.PathReservations, s.reservationEdit(booking.VerbCreate))
	for verb, path := range map[booking.Verb]string{
		booking.VerbConfirm: "confirm",
		booking.VerbMove:    "move",
		booking.VerbEnd:     "end",
	} {
		app.Post(wire.PathReservations+"/:id/"+path, s.reservationEdit(verb))
	}
}

// reservationQuery returns a handler of a reservation query whose parameters parse reads from the request.
func (s *Server) reservationQuery(parse func(c fiber.Ctx, query *wire.ReservationQuery) error) fiber.Handler {
	return s.whenEnabled(&s.reservationsEnabled, func(c fiber.Ctx, caller core.Credential) error {
		in := core.ListReservations{Caller: caller}
		if err := parse(c, &in.Query); err != nil {
			return badReservationRequest(c, err.Error())
		}
		return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
			in.RequestID = requestID
			return in
		})
	})
}

// parseReservationList parses a query for a day, the waitlist or free intervals.
func parseReservationList(c fiber.Ctx, query *wire.ReservationQuery) error {
	query.Day = c.Query("day")
	query.Equipment = c.Query("piece")
	query.Kind = c.Query("kind")
	query.Zone = c.Query("zone")
	query.Team = c.Query("team")
	query.From = c.Query("from")
	query.Before = c.Query("by")
	query.Waiting, query.FreeSlots = c.Query("list") == "waiting", c.Query("list") == "free"
	if query.Day == "" && !query.Waiting && !query.FreeSlots {
		return errors.New("list: want waiting or free, or a day with a piece")
	}
	query.Slots, query.Limit = 1, maxFreeIntervals
	if v := c.Query("slots"); v != "" {
		n, err := strconv.ParseUint(v, 10, 16)
		if err != nil || n == 0 {
			return fmt.Errorf("slots: %q is no number of slots", v)
		}
		query.Slots = uint32(n)
	}
	return nil
}

func (s *Server) setEquipment(c fiber.Ctx, caller core.Credential) error {
	in := core.SetEquipment{Caller: caller}
	if err := json.Unmarshal(c.BodyRaw(), &in.Edit); err != nil {
		return badReservationRequest(c, "not a change of the equipment: "+err.Error())
	}
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		in.RequestID = requestID
		return in
	})
}

// reservationEdit returns a handler that creates or changes a reservation. The id of an existing reservation
// is in the path, and that of a new one in the body.
func (s *Server) reservationEdit(verb booking.Verb) fiber.Handler {
	return s.whenEnabled(&s.reservationsEnabled, func(c fiber.Ctx, caller core.Credential) error {
		in := core.ReserveEquipment{Caller: caller, Verb: verb}
		if body := c.BodyRaw(); len(body) > 0 {
			if err := json.Unmarshal(body, &in.Request); err != nil {
				return badReservationRequest(c, "not a booking: "+err.Error())
			}
		}
		if id := c.Params("id"); id != "" {
			in.Request.ID = id
		}
		return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
			in.RequestID = requestID
			return in
		})
	})
}

func badReservationRequest(c fiber.Ctx, reason string) error {
	return c.Status(fiber.StatusBadRequest).JSON(wire.ReservationResponse{Error: reason})
}
