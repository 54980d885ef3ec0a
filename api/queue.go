package api

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"dewlift/core"
	"dewlift/wire"
)

// SetQueue tells whether there is a list of lanes; where there is none, the queue's paths are unknown.
func (s *Server) SetQueue(open bool) { s.queue.Store(open) }

// queueRoutes are the paths of the queue and of the lanes.
func (s *Server) queueRoutes(app *fiber.App) {
	show := func(read func(c fiber.Ctx, in *core.ShowQueue) error) fiber.Handler {
		return s.once(&s.queue, func(c fiber.Ctx, by core.Cred) error {
			in := core.ShowQueue{By: by}
			if err := read(c, &in); err != nil {
				return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: err.Error()})
			}
			return s.ask(c, userWait, func(req uint64) core.Input { in.Req = req; return in })
		})
	}
	app.Get(wire.PathQueue, show(func(c fiber.Ctx, in *core.ShowQueue) (err error) {
		in.Most = 100
		if v := c.Query("after"); v != "" {
			in.After, err = strconv.Atoi(v)
		}
		if v := c.Query("most"); v != "" && err == nil {
			in.Most, err = strconv.Atoi(v)
		}
		return err
	}))
	app.Get(wire.PathQueue+"/:id", show(func(c fiber.Ctx, in *core.ShowQueue) error { in.ID = string([]byte(c.Params("id"))); return nil }))
	app.Get(wire.PathLanes, show(func(_ fiber.Ctx, in *core.ShowQueue) error { in.Lanes = true; return nil }))
	app.Post(wire.PathLanes, s.once(&s.queue, func(c fiber.Ctx, by core.Cred) error {
		var q wire.Queue
		if err := json.Unmarshal(c.Body(), &q); err != nil {
			return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: "not a list of lanes: " + err.Error()})
		}
		return s.ask(c, userWait, func(req uint64) core.Input { return core.SetLanes{Req: req, By: by, Text: q.Lanes} })
	}))
}
