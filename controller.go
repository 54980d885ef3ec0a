// Package dewlift assembles a controller of the cluster scheduler from its components and runs it. It owns
// the listeners, the event loop, which is the only caller of the core, and the requests in flight that
// the core has issued. All decisions about jobs and machines are made by the core.
package dewlift

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewlift/access"
	"dewlift/agent"
	"dewlift/api"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/cloud"
	"dewlift/connlimit"
	"dewlift/core"
	"dewlift/mesh"
	"dewlift/priorityclass"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/statestore"
	"dewlift/tlsconfig"
	"dewlift/wire"
)

// Controller is one running controller.
type Controller struct {
	log       *slog.Logger
	core      *core.Core // accessed only by the event loop
	inputs    chan core.Input
	healthy   atomic.Bool
	startedAt time.Time
	requests  sync.WaitGroup // requests in flight that the core has issued

	store    *statestore.Client
	cloud    *cloud.Client
	agents   *agent.Client
	mesh     *mesh.Mesh
	server   *api.Server
	platform *settings.Platform

	metrics *metrics
}

// inputQueueLength is the capacity of the event loop's input queue. Inputs beyond it are rejected.
const inputQueueLength = 4096

// Options are the optional features of a controller. The zero value enables none of them.
type Options struct {
	// Permissions is the initial policy, used if the store has none. With nil, everyone may do everything until a
	// policy is stored.
	Permissions *access.Policy
	// AuditKey authenticates the audit log. With nil, there is no audit log.
	AuditKey audit.Key
	// TLSFiles are the certificates and keys. With nil, all connections use plain text.
	TLSFiles *tlsconfig.Files
	// Equipment is the initial inventory of reservable equipment, used if the store has none. With nil,
	// nothing can be reserved until an inventory is stored.
	Equipment *booking.Inventory
	// PriorityClasses is the initial list, used if the store has none. With nil, there is one class for each
	// priority until a list is stored.
	PriorityClasses *priorityclass.List
}

// New assembles a controller.
func New(platform *settings.Platform, tuning *pb.Tuning, options Options, log *slog.Logger) *Controller {
	c := &Controller{
		log:       log,
		platform:  platform,
		inputs:    make(chan core.Input, inputQueueLength),
		startedAt: time.Now(),
		store:     statestore.New(platform.Services.State),
		cloud:     cloud.New(platform.Services.Cloud),
		agents:    agent.New(connlimit.Divide(platform.Cluster.Quota.FDLimit).IdleAgentConns),
		metrics:   newMetrics(),
	}
	cfg := CoreConfig(platform, tuning)
	cfg.Permissions = options.Permissions
	cfg.Audit.Key = options.AuditKey
	cfg.Audit.Settings = settings.AuditedValues(platform, tuning)
	cfg.Reservations.Equipment = options.Equipment
	cfg.Scheduling.PriorityClasses = options.PriorityClasses
	c.core = core.New(cfg, 0, rand.Uint64())
	peers := map[string]string{}
	for _, peer := range platform.Peers {
		peers[peer.Name] = peer.Addr
	}
	c.mesh = mesh.New(platform.Name, peers, options.TLSFiles, log)
	clockErrorBound := time.Duration(platform.Cluster.TimeBoundMS * float64(time.Millisecond))
	c.server = api.New(c, clockErrorBound, options.TLSFiles.ServerConfig(), log)
	return c
}

// Enqueue queues an input for the core. It reports false if the queue is full.
func (c *Controller) Enqueue(in core.Input) bool {
	select {
	case c.inputs <- in:
		return true
	default:
		return false
	}
}

// enqueueResult queues the result of a request for the core. It blocks while the queue is full, as no result
// may be lost.
func (c *Controller) enqueueResult(ctx context.Context, in core.Input) {
	select {
	case c.inputs <- in:
	case <-ctx.Done():
	}
}

// Healthy reports whether this controller can serve requests.
func (c *Controller) Healthy() bool { return c.healthy.Load() }

// StoreEndpoint returns the address and the request limits of the key-value store.
func (c *Controller) StoreEndpoint() wire.StoreEndpoint {
	limits := &c.platform.Cluster.State
	return wire.StoreEndpoint{
		Addr:     c.platform.Services.State,
		RPS:      limits.RPS,
		WriteRPS: limits.WriteRPS,
		TxnOps:   limits.TxnOps,
	}
}

// Run runs the controller on the addresses of its platform settings until the context ends or a listener
// fails.
func (c *Controller) Run(ctx context.Context) error {
	users, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", c.platform.Listen)
	if err != nil {
		return fmt.Errorf("listen for users and agents: %w", err)
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.platform.MeshAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for the mesh: %w", err), users.Close())
	}
	return c.Serve(ctx, users, peers)
}

// Serve runs the controller on two listeners, one for users and agents and one for the other
// controllers, until the context ends or a listener fails. It closes both listeners, and returns after
// its servers and all requests in flight have ended.
func (c *Controller) Serve(ctx context.Context, users, peers net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var servers sync.WaitGroup
	defer c.requests.Wait()
	defer servers.Wait()
	defer cancel()
	errs := make(chan error, 2) // room for one error of each server
	limited := connlimit.NewListener(users, connlimit.Divide(c.platform.Cluster.Quota.FDLimit))
	servers.Go(func() { errs <- c.server.Serve(ctx, limited) })
	servers.Go(func() {
		errs <- c.mesh.Serve(ctx, peers, func(peer string, message core.Message) {
			c.Enqueue(core.PeerMessage{Peer: peer, Message: message}) // dropped if the queue is full
		})
	})
	c.log.Info("controller started", "node", c.platform.Name, "zone", c.platform.Zone)
	return c.runEventLoop(ctx, limited, errs)
}
