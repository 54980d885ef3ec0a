// Package api serves users, agents and health checks over HTTP/1.1. It authenticates requests, decodes
// them into inputs of the core and returns the core's responses. It owns the requests that wait for a
// response; all decisions about jobs, machines and permissions are made by the core.
package api

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/core"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Service is the part of the controller that a server depends on.
type Service interface {
	// Enqueue queues an input for the core. It reports false if the queue is full.
	Enqueue(core.Input) bool
	// Healthy reports whether this controller can serve requests.
	Healthy() bool
	// StoreEndpoint returns the address and the request limits of the key-value store.
	StoreEndpoint() wire.StoreEndpoint
}

// Server is the HTTP server for users and agents. It holds the requests that wait for the core's responses.
type Server struct {
	service          Service
	log              *slog.Logger
	mu               sync.Mutex // guards lastRequestID and pendingResponses
	lastRequestID    uint64
	pendingResponses map[uint64]chan core.Response // by request id
	authenticator    *authenticator
	tlsConfig        *tls.Config // nil means plain text

	loaded              atomic.Bool // the core has loaded its replica of the store
	reservationsEnabled atomic.Bool // whether an equipment inventory is configured
	queueEnabled        atomic.Bool // whether priority classes are configured

	deniedMu sync.Mutex // guards denied
	denied   audit.Aggregator
}

const (
	// maxDeniedBytes bounds the memory of the distinct denied requests that are kept for the audit log.
	maxDeniedBytes = 8 << 10
	// maxDeniedItemBytes bounds the items that one call of TakeDenied returns. It is large enough for
	// everything that fits in maxDeniedBytes.
	maxDeniedItemBytes = 4 * maxDeniedBytes

	userResponseTimeout      = 1900 * time.Millisecond // users give up after 2 s
	heartbeatResponseTimeout = 3 * time.Second         // agents give up after 4 s

	// retryAfterSeconds is the Retry-After value of responses for which the core has not set one.
	retryAfterSeconds = "1"
)

// New returns a server. clockErrorBound bounds the error of this controller's clock and also that of a token
// signer's clock. Without a TLS configuration the server uses plain text.
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

// Serve handles requests on a listener until the context ends or the listener fails. It closes the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.tlsConfig != nil {
		ln = tls.NewListener(ln, s.tlsConfig)
	}
	app := s.newApp()
	// Serve does not wait for this function: draining idle connections may take minutes, and the process
	// is about to exit.
	context.AfterFunc(ctx, func() {
		_ = app.Shutdown()
		_ = ln.Close() // needed only if the context ends before the application listens
	})
	if err := app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("serve api: %w", err)
	}
	return nil
}

// SetPermissions sets the policy. From then on, users' requests must be authenticated, and agents' heartbeats too
// if the policy requires it.
func (s *Server) SetPermissions(policy *access.Policy) { s.authenticator.setPolicy(policy) }

// commonName returns the common name of the client certificate, or "" if the client presented none. The
// certificate's chain was verified in the handshake.
func commonName(c fiber.Ctx) string {
	state := c.RequestCtx().TLSConnectionState()
	if state == nil || len(state.VerifiedChains) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// authenticatedHandler handles a request of an authenticated caller.
type authenticatedHandler func(c fiber.Ctx, caller core.Credential) error

// authenticated wraps a handler so that requests that fail authentication are denied.
func (s *Server) authenticated(handle authenticatedHandler) fiber.Handler {
	return func(c fiber.Ctx) error {
		caller, status, reason := s.authenticate(c)
		if status == 0 {
			return handle(c, caller)
		}
		s.recordDenied(c, status, reason)
		if status == fiber.StatusTooManyRequests {
			c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
		} else {
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		}
		return c.Status(status).JSON(wire.Error{Error: reason})
	}
}

// authenticate returns the caller of a request. A status other than 0 means that the request is denied.
func (s *Server) authenticate(c fiber.Ctx) (caller core.Credential, status int, reason string) {
	return s.authenticator.authenticate(c.Get(fiber.HeaderAuthorization), commonName(c), time.Now())
}

// recordDenied logs a request that failed authentication and keeps it for the audit log.
func (s *Server) recordDenied(c fiber.Ctx, status int, reason string) {
	path := c.Path()
	s.log.Info("request denied", "path", path, "status", status, "why", reason)
	s.deniedMu.Lock()
	defer s.deniedMu.Unlock()
	s.denied.Add(audit.AggregatedEvent{Verb: c.Method(), Object: path, Reason: reason}, 1)
}

// TakeDenied returns the requests denied since the last call, for the audit log.
func (s *Server) TakeDenied() []*pb.AuditItem {
	s.deniedMu.Lock()
	defer s.deniedMu.Unlock()
	return s.denied.Drain(maxDeniedItemBytes)
}

// DeliverResponse delivers a response of the core to the request that waits for it. It drops the response
// if the request has timed out.
func (s *Server) DeliverResponse(response core.Response) {
	s.mu.Lock()
	pending := s.pendingResponses[response.RequestID]
	delete(s.pendingResponses, response.RequestID)
	s.mu.Unlock()
	if pending != nil {
		pending <- response // never blocks: the channel is buffered and gets one response
	}
}

// handleInput passes an input to the core and responds with the core's response. It responds with status 503 if
// the input queue is full or the core does not respond within the timeout.
func (s *Server) handleInput(c fiber.Ctx, timeout time.Duration, newInput func(requestID uint64) core.Input) error {
	pending := make(chan core.Response, 1)
	s.mu.Lock()
	s.lastRequestID++
	id := s.lastRequestID
	s.pendingResponses[id] = pending
	s.mu.Unlock()
	if !s.service.Enqueue(newInput(id)) {
		s.dropPendingResponse(id)
		return unavailable(c, "too busy")
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-pending:
		if response.RetryAfterSeconds > 0 {
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(response.RetryAfterSeconds))
		}
		return c.Status(int(response.Status)).JSON(response.Body)
	case <-timer.C:
		s.dropPendingResponse(id)
		return unavailable(c, "no answer in time")
	}
}

func (s *Server) dropPendingResponse(id uint64) {
	s.mu.Lock()
	delete(s.pendingResponses, id)
	s.mu.Unlock()
}

func unavailable(c fiber.Ctx, reason string) error {
	c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
	return c.Status(fiber.StatusServiceUnavailable).JSON(wire.Error{Error: reason})
}

func badRequest(c fiber.Ctx, reason string) error {
	return c.Status(fiber.StatusBadRequest).JSON(wire.Error{Error: reason})
}
