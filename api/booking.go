package api

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"dewlift/booking"
	"dewlift/core"
	"dewlift/wire"
)

// SetBooking tells whether something can be booked; where nothing can, its paths are unknown.
func (s *Server) SetBooking(open bool) { s.booking.Store(open) }

// once makes a handler of a path that is unknown until something is turned on.
func (s *Server) once(on *atomic.Bool, h func(c fiber.Ctx, by core.Cred) error) fiber.Handler {
	as := s.as(h)
	return func(c fiber.Ctx) error {
		if !on.Load() {
			return c.Next()
		}
		return as(c)
	}
}

// bookingRoutes are the paths of bookings and equipment.
func (s *Server) bookingRoutes(app *fiber.App) {
	open := func(h func(c fiber.Ctx, by core.Cred) error) fiber.Handler { return s.once(&s.booking, h) }
	query := func(read func(c fiber.Ctx, q *wire.BookingQuery) error) fiber.Handler {
		return open(func(c fiber.Ctx, by core.Cred) error {
			in := core.ShowBookings{By: by}
			if err := read(c, &in.Query); err != nil {
				return badBooking(c, err.Error())
			}
			return s.ask(c, userWait, func(req uint64) core.Input { in.Req = req; return in })
		})
	}
	// Text of the request is copied, as its memory is used again.
	text := func(v string) string { return string([]byte(v)) }
	app.Get(wire.PathBookings, query(func(c fiber.Ctx, q *wire.BookingQuery) error {
		q.Day, q.Piece, q.Kind, q.Zone, q.Team = text(c.Query("day")), text(c.Query("piece")), text(c.Query("kind")), text(c.Query("zone")), text(c.Query("team"))
		q.From, q.By = text(c.Query("from")), text(c.Query("by"))
		q.Waiting, q.Free = c.Query("list") == "waiting", c.Query("list") == "free"
		if q.Day == "" && !q.Waiting && !q.Free {
			return fmt.Errorf("list: want waiting or free, or a day with a piece")
		}
		q.Slots, q.Most = 1, 10
		if v := c.Query("slots"); v != "" {
			n, err := strconv.ParseUint(v, 10, 16)
			if err != nil || n == 0 {
				return fmt.Errorf("slots: %q is no number of slots", v)
			}
			q.Slots = uint32(n)
		}
		return nil
	}))
	app.Get(wire.PathBookings+"/:id", query(func(c fiber.Ctx, q *wire.BookingQuery) error { q.ID = text(c.Params("id")); return nil }))
	app.Get(wire.PathEquipment, query(func(fiber.Ctx, *wire.BookingQuery) error { return nil }))
	app.Post(wire.PathEquipment, open(func(c fiber.Ctx, by core.Cred) error {
		in := core.Equip{By: by}
		if err := json.Unmarshal(c.Body(), &in.Edit); err != nil {
			return badBooking(c, "not a change of the equipment: "+err.Error())
		}
		return s.ask(c, userWait, func(req uint64) core.Input { in.Req = req; return in })
	}))
	app.Post(wire.PathBookings, open(func(c fiber.Ctx, by core.Cred) error { return s.book(c, by, booking.Make, "") }))
	for verb, path := range map[booking.Verb]string{booking.Confirm: "confirm", booking.Move: "move", booking.End: "end"} {
		app.Post(wire.PathBookings+"/:id/"+path, open(func(c fiber.Ctx, by core.Cred) error { return s.book(c, by, verb, text(c.Params("id"))) }))
	}
}

func badBooking(c fiber.Ctx, why string) error {
	return c.Status(fiber.StatusBadRequest).JSON(wire.BookingAnswer{Error: why})
}

// book hands on what is asked of a booking; the path names it, except when it is made.
func (s *Server) book(c fiber.Ctx, by core.Cred, verb booking.Verb, id string) error {
	in := core.Book{By: by, Verb: verb}
	if len(c.Body()) > 0 {
		if err := json.Unmarshal(c.Body(), &in.Ask); err != nil {
			return badBooking(c, "not a booking: "+err.Error())
		}
	}
	if id != "" {
		in.Ask.ID = id
	}
	return s.ask(c, userWait, func(req uint64) core.Input { in.Req = req; return in })
}
