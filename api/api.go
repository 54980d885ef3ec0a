// Package api serves users, workers and health checks over HTTP/1.1.
package api

import (
	"context"
	"crypto/tls"
	"dewlift/access"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	pb "dewlift/proto"
)

// Service is what the edge needs of the controller.
type Service interface {
	// Put hands an input to the core; false if the queue is full.
	Enqueue(core.Input) bool
	// Healthy tells whether this controller can take requests.
	Healthy() bool
	// Site tells where the state service is.
	StoreEndpoint() wire.StoreEndpoint
}

// Server holds the requests that wait for the core's answers.
type Server struct {
	service          Service
	log              *slog.Logger
	mu               sync.Mutex
	lastRequestID    uint64
	pendingResponses map[uint64]chan core.Response
	authenticator    *authenticator
	tlsConfig        *tls.Config

	reservationsEnabled atomic.Bool // something can be booked
	queueEnabled        atomic.Bool // there is a list of lanes

	deniedMu sync.Mutex
	denied   audit.Aggregator
}

const (
	maxDeniedBytes = 8 << 10 // bytes of refused requests that are told apart

	userResponseTimeout      = 1900 * time.Millisecond // users wait 2 s for a poll
	heartbeatResponseTimeout = 3 * time.Second         // workers wait 4 s
)

// New returns a server; bound is how far the time of day may be off. Without TLS settings it is in plain text.
func New(service Service, clockErrorBound time.Duration, tlsConfig *tls.Config, log *slog.Logger) *Server {
	return &Server{
		service:          service,
		log:              log,
		pendingResponses: map[uint64]chan core.Response{},
		authenticator:    newAuthenticator(clockErrorBound),
		tlsConfig:        tlsConfig,
		denied:           audit.Aggregator{MaxBytes: maxDeniedBytes},
	}
}

// SetPermissions puts rights in force: from now on, requests need a token.
func (s *Server) SetPermissions(p *access.Policy) { s.authenticator.setPolicy(p) }

// commonName is that of the certificate which a user has proven to hold, "" if there is none. Who signed it
// was verified with the connection.
func commonName(c fiber.Ctx) string {
	if s := c.RequestCtx().TLSConnectionState(); s != nil && len(s.VerifiedChains) > 0 {
		return s.PeerCertificates[0].Subject.CommonName
	}
	return ""
}

// authenticated makes a handler of one that is told who asks.
func (s *Server) authenticated(h func(c fiber.Ctx, by core.Credential) error) fiber.Handler {
	return func(c fiber.Ctx) error {
		by, status, why := s.authenticator.authenticate(c.Get(fiber.HeaderAuthorization), commonName(c), time.Now())
		if status == 0 {
			return h(c, by)
		}
		s.recordDenied(c, status, why)
		if status == fiber.StatusTooManyRequests {
			c.Set(fiber.HeaderRetryAfter, "1")
		} else {
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		}
		return c.Status(status).JSON(wire.Error{Error: why})
	}
}

// recordDenied notes a request of somebody who has not proven who they are.
func (s *Server) recordDenied(c fiber.Ctx, status int, why string) {
	path := string([]byte(c.Path())) // the request's memory is used again
	s.log.Info("refused", "path", path, "status", status, "why", why)
	s.deniedMu.Lock()
	defer s.deniedMu.Unlock()
	s.denied.Add(audit.GatheredEvent{Verb: c.Method(), Object: path, Reason: why}, 1)
}

// TakeDenied takes what was refused since the last call, to be recorded.
func (s *Server) TakeDenied() []*pb.AuditItem {
	s.deniedMu.Lock()
	defer s.deniedMu.Unlock()
	return s.denied.Drain(4 * maxDeniedBytes)
}

// DeliverResponse delivers a reply of the core.
func (s *Server) DeliverResponse(r core.Response) {
	s.mu.Lock()
	ch := s.pendingResponses[r.RequestID]
	delete(s.pendingResponses, r.RequestID)
	s.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// handleInput hands an input to the core and waits for its answer.
func (s *Server) handleInput(c fiber.Ctx, wait time.Duration, make func(req uint64) core.Input) error {
	ch := newResponseChannel()
	s.mu.Lock()
	s.lastRequestID++
	id := s.lastRequestID
	s.pendingResponses[id] = ch
	s.mu.Unlock()
	if !s.service.Enqueue(make(id)) {
		s.dropPendingResponse(id)
		return unavailable(c, "too busy")
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-ch:
		if r.RetryAfterSeconds > 0 {
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(r.RetryAfterSeconds))
		}
		return c.Status(int(r.Status)).JSON(r.Body)
	case <-t.C:
		s.dropPendingResponse(id)
		return unavailable(c, "no answer in time")
	}
}

func newResponseChannel() chan core.Response { return make(chan core.Response, 1) }

func (s *Server) dropPendingResponse(id uint64) {
	s.mu.Lock()
	delete(s.pendingResponses, id)
	s.mu.Unlock()
}

func unavailable(c fiber.Ctx, why string) error {
	c.Set(fiber.HeaderRetryAfter, "1")
	return c.Status(fiber.StatusServiceUnavailable).JSON(wire.Error{Error: why})
}

// newApp builds the routes.
func (s *Server) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName: "dewlift", BodyLimit: wire.MaxBodyBytes, ReadBufferSize: 8 << 10, WriteBufferSize: 4 << 10,
		IdleTimeout: 2 * time.Minute, ReadTimeout: time.Minute, WriteTimeout: 10 * time.Second,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var fe *fiber.Error
			if errors.As(err, &fe) {
				status = fe.Code
			}
			if status >= 500 {
				c.Set(fiber.HeaderRetryAfter, "1")
			}
			return c.Status(status).JSON(wire.Error{Error: err.Error()})
		},
	})
	app.Get(wire.PathHealth, func(c fiber.Ctx) error {
		if s.service.Healthy() {
			return c.SendStatus(fiber.StatusOK)
		}
		return unavailable(c, "not serving")
	})
	app.Get(wire.PathStoreEndpoint, s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		err := s.handleInput(c, userResponseTimeout, func(req uint64) core.Input {
			object := "site"
			if c.Query("for") == wire.EndpointForSnapshot {
				object = "snapshot"
			}
			return core.CheckPermission{RequestID: req, Caller: by, Verb: pb.Verb_administer, Object: object}
		})
		if err != nil || c.Response().StatusCode() != fiber.StatusOK {
			return err
		}
		return c.JSON(s.service.StoreEndpoint())
	}))
	app.Get(wire.PathAudit, s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		in := core.ReadAudit{Caller: by, Node: string([]byte(c.Query("node")))}
		if after := c.Query("after"); after != "" {
			var err error
			if in.AfterBlock, err = strconv.ParseUint(after, 10, 64); err != nil {
				return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: "after: not the number of a block"})
			}
		}
		return s.handleInput(c, userResponseTimeout, func(req uint64) core.Input { in.RequestID = req; return in })
	}))
	app.Get(wire.PathPermissions, s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		return s.handleInput(
			c,
			userResponseTimeout,
			func(req uint64) core.Input { return core.ListPermissions{RequestID: req, Caller: by} },
		)
	}))
	app.Post(wire.PathPermissions+"/:who", s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		in := core.UpdatePermissions{Caller: by, Identity: string([]byte(c.Params("who")))}
		if err := json.Unmarshal(c.Body(), &in.Edit); err != nil {
			return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: "not a change of rights: " + err.Error()})
		}
		return s.handleInput(c, userResponseTimeout, func(req uint64) core.Input { in.RequestID = req; return in })
	}))
	s.addReservationRoutes(app)
	s.addQueueRoutes(app)
	app.Post(wire.PathJobs, s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		in := core.SubmitJob{Caller: by, UnixMS: time.Now().UnixMilli()}
		spec, err := wire.ParseSubmission(c.Body())
		if err != nil {
			in.ID, in.DecodeError = wire.PeekJobID(c.Body()), err.Error()
		} else {
			in.ID, in.Spec = spec.ID, spec
		}
		return s.handleInput(c, userResponseTimeout, func(req uint64) core.Input { in.RequestID = req; return in })
	}))
	app.Get(wire.PathJobs+"/:id", s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		id := string([]byte(c.Params("id")))
		return s.handleInput(
			c,
			userResponseTimeout,
			func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: id, Caller: by} },
		)
	}))
	app.Post(wire.PathJobs+"/:id/withdraw", s.authenticated(func(c fiber.Ctx, by core.Credential) error {
		id := string([]byte(c.Params("id")))
		now := time.Now().UnixMilli()
		return s.handleInput(
			c,
			userResponseTimeout,
			func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: id, UnixMS: now, Caller: by} },
		)
	}))
	app.Post(wire.PathHeartbeat, func(c fiber.Ctx) error {
		r, err := wire.ParseHeartbeat(c.Body())
		if err != nil {
			return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: err.Error()})
		}
		var by core.Credential
		if p := s.authenticator.policy.Load(); p != nil && p.AgentsMustSign() {
			var status int
			var why string
			if by, status, why = s.authenticator.authenticate(c.Get(fiber.HeaderAuthorization), commonName(c), time.Now()); status != 0 {
				s.recordDenied(c, status, why)
				return c.Status(status).JSON(wire.Error{Error: access.ErrInvalidToken.Error()})
			}
		}
		return s.handleInput(
			c,
			heartbeatResponseTimeout,
			func(req uint64) core.Input { return core.AgentHeartbeat{RequestID: req, Heartbeat: r, Caller: by} },
		)
	})
	return app
}

// Serve answers on a listener until the context ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.tlsConfig != nil {
		ln = tls.NewListener(ln, s.tlsConfig)
	}
	app := s.newApp()
	go func() {
		<-ctx.Done()
		_ = app.Shutdown() // the process is ending
	}()
	if err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("api: %w", err)
	}
	return nil
}
