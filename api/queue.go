package api

import (
	"dewlift/core"
	"dewlift/wire"
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"
)

// SetQueueEnabled tells whether there is a list of lanes; where there is none, the queue's paths are unknown.
func (s *Server) SetQueueEnabled(open bool) { s.queueEnabled.Store(open) }

// addQueueRoutes are the paths of the queue and of the lanes.
func (s *Server) addQueueRoutes(app *fiber.App) {
	show := func(read func(c fiber.Ctx, in *core.ListQueue) error) fiber.Handler {
		return s.whenEnabled(&s.queueEnabled, func(c fiber.Ctx, by core.Credential) error {
			in := core.ListQueue{Caller: by}
			if err := read(c, &in); err != nil {
				return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: err.Error()})
			}
			return s.handleInput(
				c,
				userResponseTimeout,
				func(req uint64) core.Input { in.RequestID = req; return in },
			)
		})
	}
	app.Get(wire.PathQueue, show(func(c fiber.Ctx, in *core.ListQueue) (err error) {
		in.Limit = 100
		if v := c.Query("after"); v != "" {
			in.AfterPosition, err = strconv.Atoi(v)
		}
		if v := c.Query("most"); v != "" && err == nil {
			in.Limit, err = strconv.Atoi(v)
		}
		return err
	}))
	app.Get(
		wire.PathQueue+"/:id",
		show(func(c fiber.Ctx, in *core.ListQueue) error { in.ID = string([]byte(c.Params("id"))); return nil }),
	)
	app.Get(
		wire.PathPriorityClasses,
		show(func(_ fiber.Ctx, in *core.ListQueue) error { in.ShowPriorityClasses = true; return nil }),
	)
	app.Post(wire.PathPriorityClasses, s.whenEnabled(&s.queueEnabled, func(c fiber.Ctx, by core.Credential) error {
		var q wire.JobQueue
		if err := json.Unmarshal(c.Body(), &q); err != nil {
			return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: "not a list of lanes: " + err.Error()})
		}
		return s.handleInput(c, userResponseTimeout, func(req uint64) core.Input {
			return core.SetPriorityClasses{RequestID: req, Caller: by, Text: q.PriorityClasses}
		})
	}))
}
