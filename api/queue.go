package api

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"dewlift/core"
	"dewlift/wire"
)

// defaultQueuePage is the number of jobs on a page of the queue if the request does not set a limit.
const defaultQueuePage = 100

// SetQueueEnabled sets whether priority classes are configured. Without them, requests to the paths of the
// queue get the response of an unknown path.
func (s *Server) SetQueueEnabled(enabled bool) { s.queueEnabled.Store(enabled) }

// addQueueRoutes adds the routes of the queue and of the priority classes.
func (s *Server) addQueueRoutes(app *fiber.App) {
	app.Get(wire.PathQueue, s.queueQuery(parseQueuePage))
	app.Get(wire.PathQueue+"/:id", s.queueQuery(func(c fiber.Ctx, in *core.ListQueue) error {
		in.ID = c.Params("id")
		return nil
	}))
	app.Get(wire.PathPriorityClasses, s.queueQuery(func(_ fiber.Ctx, in *core.ListQueue) error {
		in.ShowPriorityClasses = true
		return nil
	}))
	app.Post(wire.PathPriorityClasses, s.whenEnabled(&s.queueEnabled, s.setPriorityClasses))
}

// queueQuery returns a handler of a queue query whose parameters parse reads from the request.
func (s *Server) queueQuery(parse func(c fiber.Ctx, in *core.ListQueue) error) fiber.Handler {
	return s.whenEnabled(&s.queueEnabled, func(c fiber.Ctx, caller core.Credential) error {
		in := core.ListQueue{Caller: caller}
		if err := parse(c, &in); err != nil {
			return badRequest(c, err.Error())
		}
		return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
			in.RequestID = requestID
			return in
		})
	})
}

func parseQueuePage(c fiber.Ctx, in *core.ListQueue) (err error) {
	in.Limit = defaultQueuePage
	if v := c.Query("after"); v != "" {
		in.AfterPosition, err = strconv.Atoi(v)
	}
	if v := c.Query("most"); v != "" && err == nil {
		in.Limit, err = strconv.Atoi(v)
	}
	return err
}

func (s *Server) setPriorityClasses(c fiber.Ctx, caller core.Credential) error {
	var request wire.JobQueue
	if err := json.Unmarshal(c.BodyRaw(), &request); err != nil {
		return badRequest(c, "not a list of lanes: "+err.Error())
	}
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		return core.SetPriorityClasses{RequestID: requestID, Caller: caller, Text: request.PriorityClasses}
	})
}
