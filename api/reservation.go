package api

import (
	"dewlift/booking"
	"dewlift/core"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
)

// SetReservationsEnabled tells whether something can be booked; where nothing can, its paths are unknown.
func (s *Server) SetReservationsEnabled(open bool) { s.reservationsEnabled.Store(open) }

// whenEnabled makes a handler of a path that is unknown until something is turned on.
func (s *Server) whenEnabled(on *atomic.Bool, h func(c fiber.Ctx, by core.Credential) error) fiber.Handler {
	as := s.authenticated(h)
	return func(c fiber.Ctx) error {
		if !on.Load() {
			return c.Next()
		}
		return as(c)
	}
}

// addReservationRoutes are the paths of bookings and equipment.
func (s *Server) addReservationRoutes(app *fiber.App) {
	open := func(h func(c fiber.Ctx, by core.Credential) error) fiber.Handler {
		return s.whenEnabled(&s.reservationsEnabled, h)
	}
	query := func(read func(c fiber.Ctx, q *wire.ReservationQuery) error) fiber.Handler {
		return open(func(c fiber.Ctx, by core.Credential) error {
			in := core.ListReservations{Caller: by}
			if err := read(c, &in.Query); err != nil {
				return badReservation(c, err.Error())
			}
			return s.handleInput(
				c,
				userResponseTimeout,
				func(req uint64) core.Input { in.RequestID = req; return in },
			)
		})
	}
	// Text of the request is copied, as its memory is used again.
	text := func(v string) string { return string([]byte(v)) }
	app.Get(wire.PathReservations, query(func(c fiber.Ctx, q *wire.ReservationQuery) error {
		q.Day, q.Equipment, q.Kind, q.Zone, q.Team = text(
			c.Query("day"),
		), text(
			c.Query("piece"),
		), text(
			c.Query("kind"),
		), text(
			c.Query("zone"),
		), text(
			c.Query("team"),
		)
		q.From, q.Before = text(c.Query("from")), text(c.Query("by"))
		q.Waiting, q.FreeSlots = c.Query("list") == "waiting", c.Query("list") == "free"
		if q.Day == "" && !q.Waiting && !q.FreeSlots {
			return fmt.Errorf("list: want waiting or free, or a day with a piece")
		}
		q.Slots, q.Limit = 1, 10
		if v := c.Query("slots"); v != "" {
			n, err := strconv.ParseUint(v, 10, 16)
			if err != nil || n == 0 {
				return fmt.Errorf("slots: %q is no number of slots", v)
			}
			q.Slots = uint32(n)
		}
		return nil
	}))
	app.Get(
		wire.PathReservations+"/:id",
		query(func(c fiber.Ctx, q *wire.ReservationQuery) error { q.ID = text(c.Params("id")); return nil }),
	)
	app.Get(wire.PathEquipment, query(func(fiber.Ctx, *wire.ReservationQuery) error { return nil }))
	app.Post(wire.PathEquipment, open(func(c fiber.Ctx, by core.Credential) error {
		in := core.SetEquipment{Caller: by}
		if err := json.Unmarshal(c.Body(), &in.Edit); err != nil {
			return badReservation(c, "not a change of the equipment: "+err.Error())
		}
		return s.handleInput(c, userResponseTimeout, func(req uint64) core.Input { in.RequestID = req; return in })
	}))
	app.Post(
		wire.PathReservations,
		open(
			func(c fiber.Ctx, by core.Credential) error { return s.handleReservation(c, by, booking.VerbCreate, "") },
		),
	)
	for verb, path := range map[booking.Verb]string{
		booking.VerbConfirm: "confirm",
		booking.VerbMove:    "move",
		booking.VerbEnd:     "end",
	} {
		app.Post(wire.PathReservations+"/:id/"+path, open(func(c fiber.Ctx, by core.Credential) error {
			return s.handleReservation(c, by, verb, text(c.Params("id")))
		}))
	}
}

func badReservation(c fiber.Ctx, why string) error {
	return c.Status(fiber.StatusBadRequest).JSON(wire.ReservationResponse{Error: why})
}

// handleReservation hands on what is asked of a booking; the path names it, except when it is made.
func (s *Server) handleReservation(c fiber.Ctx, by core.Credential, verb booking.Verb, id string) error {
	in := core.ReserveEquipment{Caller: by, Verb: verb}
	if len(c.Body()) > 0 {
		if err := json.Unmarshal(c.Body(), &in.Request); err != nil {
			return badReservation(c, "not a booking: "+err.Error())
		}
	}
	if id != "" {
		in.Request.ID = id
	}
	return s.handleInput(c, userResponseTimeout, func(req uint64) core.Input { in.RequestID = req; return in })
}
