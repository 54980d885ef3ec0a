package api

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"dewlift/access"
	"dewlift/core"
	pb "dewlift/proto"
	"dewlift/wire"
)

// newApp builds the application with all routes. Immutable makes fiber return copies of all values of a request.
// Without it they share memory that later requests overwrite, while inputs of the core, denied requests and cached
// values outlive their request.
func (s *Server) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:         "dewlift",
		Immutable:       true,
		BodyLimit:       wire.MaxBodyBytes,
		ReadBufferSize:  8 << 10,
		WriteBufferSize: 4 << 10,
		IdleTimeout:     2 * time.Minute,
		ReadTimeout:     time.Minute,
		WriteTimeout:    10 * time.Second,
		ErrorHandler:    respondError,
	})
	app.Get(wire.PathHealth, s.getHealth)
	app.Use(s.whenLoaded)
	app.Get(wire.PathStoreEndpoint, s.authenticated(s.getStoreEndpoint))
	app.Get(wire.PathAudit, s.authenticated(s.readAudit))
	app.Get(wire.PathPermissions, s.authenticated(s.listPermissions))
	app.Post(wire.PathPermissions+"/:who", s.authenticated(s.updatePermissions))
	s.addReservationRoutes(app)
	s.addQueueRoutes(app)
	app.Post(wire.PathJobs, s.authenticated(s.submitJob))
	app.Get(wire.PathJobs+"/:id", s.authenticated(s.getJob))
	app.Post(wire.PathJobs+"/:id/withdraw", s.authenticated(s.cancelJob))
	app.Post(wire.PathHeartbeat, s.agentHeartbeat)
	return app
}

// whenLoaded refuses all requests until the core has loaded its replica of the store. Earlier, an accepted job would be
// unknown, and a caller with a valid token would be nobody.
func (s *Server) whenLoaded(c fiber.Ctx) error {
	if !s.loaded.Load() {
		return unavailable(c, "state not loaded yet")
	}
	return c.Next()
}

// SetLoaded has requests answered from now on. The permissions and features that the replica shows must be set before.
func (s *Server) SetLoaded() { s.loaded.Store(true) }

// respondError responds with an error of fiber or of a handler.
func respondError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	if status >= fiber.StatusInternalServerError {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
	}
	return c.Status(status).JSON(wire.Error{Error: err.Error()})
}

func (s *Server) getHealth(c fiber.Ctx) error {
	if s.service.Healthy() {
		return c.SendStatus(fiber.StatusOK)
	}
	return unavailable(c, "not serving")
}

// getStoreEndpoint responds to administrators. The core checks the permission and audits the access.
func (s *Server) getStoreEndpoint(c fiber.Ctx, caller core.Credential) error {
	err := s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		object := "site"
		if c.Query("for") == wire.EndpointForSnapshot {
			object = "snapshot"
		}
		return core.CheckPermission{RequestID: requestID, Caller: caller, Verb: pb.Verb_administer, Object: object}
	})
	if err != nil || c.Response().StatusCode() != fiber.StatusOK {
		return err
	}
	return c.JSON(s.service.StoreEndpoint())
}

func (s *Server) readAudit(c fiber.Ctx, caller core.Credential) error {
	in := core.ReadAudit{Caller: caller, Controller: c.Query("node")}
	if after := c.Query("after"); after != "" {
		var err error
		if in.AfterBlock, err = strconv.ParseUint(after, 10, 64); err != nil {
			return badRequest(c, "after: not the number of a block")
		}
	}
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		in.RequestID = requestID
		return in
	})
}

func (s *Server) listPermissions(c fiber.Ctx, caller core.Credential) error {
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		return core.ListPermissions{RequestID: requestID, Caller: caller}
	})
}

func (s *Server) updatePermissions(c fiber.Ctx, caller core.Credential) error {
	in := core.UpdatePermissions{Caller: caller, Identity: c.Params("who")}
	if err := json.Unmarshal(c.BodyRaw(), &in.Edit); err != nil {
		return badRequest(c, "not a change of rights: "+err.Error())
	}
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		in.RequestID = requestID
		return in
	})
}

// submitJob passes invalid submissions to the core too, with the job id if that can be decoded: the core may
// have a job with this id, and it audits the requests that it rejects.
func (s *Server) submitJob(c fiber.Ctx, caller core.Credential) error {
	in := core.SubmitJob{Caller: caller, UnixMS: time.Now().UnixMilli()}
	body := c.BodyRaw()
	spec, err := wire.ParseSubmission(body)
	if err != nil {
		in.ID, in.DecodeError = wire.PeekJobID(body), err.Error()
	} else {
		in.ID, in.Spec = spec.ID, spec
	}
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		in.RequestID = requestID
		return in
	})
}

func (s *Server) getJob(c fiber.Ctx, caller core.Credential) error {
	id := c.Params("id")
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		return core.GetJob{RequestID: requestID, ID: id, Caller: caller}
	})
}

func (s *Server) cancelJob(c fiber.Ctx, caller core.Credential) error {
	id := c.Params("id")
	now := time.Now().UnixMilli()
	return s.handleInput(c, userResponseTimeout, func(requestID uint64) core.Input {
		return core.CancelJob{RequestID: requestID, ID: id, UnixMS: now, Caller: caller}
	})
}

// agentHeartbeat requires authentication only if the policy requires agents to sign their heartbeats.
func (s *Server) agentHeartbeat(c fiber.Ctx) error {
	heartbeat, err := wire.ParseHeartbeat(c.BodyRaw())
	if err != nil {
		return badRequest(c, err.Error())
	}
	var caller core.Credential
	if policy := s.authenticator.policy.Load(); policy != nil && policy.AgentsMustSign() {
		var status int
		var reason string
		if caller, status, reason = s.authenticate(c); status != 0 {
			s.recordDenied(c, status, reason)
			return c.Status(status).JSON(wire.Error{Error: access.ErrInvalidToken.Error()})
		}
	}
	return s.handleInput(c, heartbeatResponseTimeout, func(requestID uint64) core.Input {
		return core.AgentHeartbeat{RequestID: requestID, Heartbeat: heartbeat, Caller: caller}
	})
}
