// Package dewlift assembles a controller of the cluster scheduler from its parts and runs it.
package dewlift

import (
	"context"
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
	"dewlift/settings"
	"dewlift/statestore"
	"dewlift/tlsconfig"
	"dewlift/wire"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	pb "dewlift/proto"
)

// Controller is one running controller.
type Controller struct {
	log       *slog.Logger
	core      *core.Core
	inputs    chan core.Input
	healthy   atomic.Bool
	startedAt time.Time

	store    *statestore.Client
	cloud    *cloud.Client
	agents   *agent.Client
	mesh     *mesh.Mesh
	server   *api.Server
	platform *settings.Platform

	metrics *metrics
}

const (
	maxStoreRequestDelay = 15 * time.Minute // that a request to the state service is executed late; minutes were seen
	tickInterval         = 25 * time.Millisecond
	inputQueueLength     = 4096
)

// Options are what a controller may be guarded with, and what else is turned on by a file; the zero
// value is none of it.
type Options struct {
	Permissions *access.Policy   // put in force where the state service has none
	AuditKey    audit.Key        // of the audit record
	TLSFiles    *tlsconfig.Files // of TLS; nil: all is in plain text
	// Equipment is what can be booked where the state service has no list; nil: nothing.
	Equipment *booking.Inventory
	// Lanes is the order of work where the state service has none; nil: by priority.
	PriorityClasses *priorityclass.List
}

// New assembles a controller.
func New(p *settings.Platform, t *pb.Tuning, g Options, log *slog.Logger) *Controller {
	c := &Controller{
		log:       log,
		platform:  p,
		inputs:    make(chan core.Input, inputQueueLength),
		startedAt: time.Now(),
		store: statestore.New(
			p.Services.State,
		),
		cloud:   cloud.New(p.Services.Cloud),
		agents:  agent.New(connlimit.Divide(p.Cluster.Quota.FDLimit).IdleAgentConns),
		metrics: newMetrics(),
	}
	cfg := CoreConfig(p, t)
	cfg.Permissions, cfg.Audit.Key, cfg.Reservations.Equipment, cfg.Scheduling.PriorityClasses, cfg.Audit.Settings = g.Permissions, g.AuditKey, g.Equipment, g.PriorityClasses, settings.AuditedValues(
		p,
		t,
	)
	c.core = core.New(cfg, 0, rand.Uint64())
	peers := map[string]string{}
	for _, q := range p.Peers {
		peers[q.Name] = q.Addr
	}
	c.mesh = mesh.New(p.Name, peers, g.TLSFiles, log)
	c.server = api.New(
		c,
		time.Duration(p.Cluster.TimeBoundMS*float64(time.Millisecond)),
		g.TLSFiles.ServerConfig(),
		log,
	)
	return c
}

// CoreConfig is what a core needs to know of the platform and of the operators' own settings.
func CoreConfig(p *settings.Platform, t *pb.Tuning) core.Config {
	k := &p.Cluster
	parts := connlimit.Divide(k.Quota.FDLimit)
	ms := func(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }
	now, next := &k.State, &k.State.Next
	cfg := core.Config{
		Store: core.StoreConfig{
			RequestRate:            lowerLimit(now.RPS, next.RPS),
			WriteRate:              now.WriteRPS,
			NextWriteRate:          lowerLimit(now.WriteRPS, next.WriteRPS),
			MaxValueBytes:          int(lowerLimit(now.ValueKB, next.ValueKB) * 1024),
			MaxTxnOps:              lowerLimit(now.TxnOps, next.TxnOps),
			MinWatchInterval:       ms(t.GetWatchGapMs()),
			MinReadBarrierInterval: ms(t.GetBarrierGapMs()),
			MaxWriteShare:          t.GetWriteShare(),
			SharedValues:           t.GetSharedValues(),
		},
		Autoscaling: core.AutoscalingConfig{
			CloudRequestRate:     max(1, k.Cloud.RPS*0.9),
			CloudListLag:         settings.DurationFromSeconds(k.Cloud.ListLagS),
			HeadroomShare:        t.GetSpareShare(),
			ServiceHeadroomShare: t.GetSpareService(),
			HeadroomDeviations:   t.GetSpareDeviations(),
			IdleTimeout:          ms(t.GetIdleMs()),
			IdleBootFactor:       t.GetIdleBoots(),
			SoonFreeBootFactor:   t.GetSoonBoots(),
			BootTimeoutFactor:    t.GetBootPatience(),
			CloudListInterval:    ms(t.GetListMs()),
			ScaleOutLeadTime:     ms(t.GetRentAheadMs()),
		},
		Agents: core.AgentConfig{
			HeartbeatInterval:    settings.DurationFromSeconds(k.Workers.ReportS),
			LeaseTTL:             settings.DurationFromSeconds(k.Workers.LeaseS),
			CancelTimeout:        settings.DurationFromSeconds(k.Workers.CancelS),
			MaxCommandRequests:   parts.AgentCommands,
			MaxPollRequests:      parts.AgentPolls,
			SilenceTimeout:       ms(t.GetSilentMs()),
			CancelScaleInShare:   t.GetCancelShare(),
			CommandRetryInterval: ms(t.GetOrderAgainMs()),
			EndedTaskClearDelay:  ms(t.GetClearMs()),
			LostTaskBatchDelay:   ms(t.GetLossGatherMs()),
		},
		Audit: core.AuditConfig{
			ForgetAfter:     maxStoreRequestDelay,
			MaxClockErrorMS: uint32(k.TimeBoundMS),
			GatherDelay:     ms(t.GetAuditGatherMs()),
			BlockDelay:      ms(t.GetAuditBlockMs()),
		},
		Cluster: core.ClusterConfig{
			LeaseTTL:       ms(t.GetLeaseMs()),
			RelayTimeout:   ms(t.GetPassMs()),
			PeerTimeout:    ms(t.GetLinkLostMs()),
			HealthInterval: ms(t.GetHealthMs()),
		},
		State: core.StateConfig{
			DeltaInterval:    ms(t.GetDeltaMs()),
			PushInterval:     ms(t.GetPushMs()),
			CopyExpiry:       ms(t.GetExpireMs()),
			FullPushInterval: ms(t.GetWholePushMs()),
			MinPushInterval:  ms(t.GetPushGapMs()),
		},
		Scheduling: core.SchedulingConfig{
			CandidateRatio:          t.GetProbeRatio(),
			RandomPlacement:         t.GetRandomFill(),
			PreferImage:             t.GetPreferImage(),
			PreferSpot:              t.GetPreferSpot(),
			BusyHorizonStep:         ms(t.GetHorizonMs()),
			MinEndBatchDelay:        ms(t.GetSettleMs()),
			PreemptionRetryInterval: ms(t.GetRoomAgainMs()),
			MaxEndBatchDelay:        ms(t.GetSettleMostMs()),
			SubmitWriteTimeout:      ms(t.GetAcceptWaitMs()),
			FullScanInterval:        ms(t.GetLookAllMs()),
			YieldAfter:              ms(t.GetGiveWayMs()),
			PriorityAgingInterval:   ms(t.GetRiseMs()),
		},
		History: core.HistoryConfig{
			Archive:           t.GetArchive(),
			MaxEndedJobs:      int(t.GetEndedKept()),
			CacheBytes:        int(t.GetHistoryCacheKb()) << 10,
			ReadShare:         t.GetHistoryShare(),
			ArchiveStartDelay: ms(t.GetHistoryWaitMs()),
		},
		Reservations: core.ReservationConfig{
			Retention: time.Duration(t.GetBookingKeepMin()) * time.Minute,
		},

		// Of the platform.
		SchemaVersion: core.SchemaVersion,
		Name:          p.Name,
		Zone:          p.Zone,

		// Of the operators: `dewlift settings` tells what they do.

		Shards: int(t.GetShards()),
	}
	for _, q := range p.Peers {
		cfg.Peers = append(cfg.Peers, q.Name)
	}
	for _, q := range k.Teams {
		cfg.Teams = append(cfg.Teams, core.Team{
			Name: q.Name, ReservedCPU: int64(q.ReservedCPUs * 1000), ReservedGPU: int64(q.ReservedGPUs * 1000),
			MaxCPU: int64(q.MaxCPUs * 1000), MaxGPU: int64(q.MaxGPUs * 1000),
		})
	}
	return cfg
}

// lowerLimit is the smaller of a limit that is in force and one that will be, if that is known.
func lowerLimit[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// Enqueue hands an input to the core.
func (c *Controller) Enqueue(in core.Input) bool {
	select {
	case c.inputs <- in:
		return true
	default:
		return false
	}
}

// enqueueResult hands over the outcome of a request; it waits, as none may be lost.
func (c *Controller) enqueueResult(ctx context.Context, in core.Input) {
	select {
	case c.inputs <- in:
	case <-ctx.Done():
	}
}

// Healthy tells whether this controller can take requests.
func (c *Controller) Healthy() bool { return c.healthy.Load() }

// StoreEndpoint tells where the state service is and what it takes.
func (c *Controller) StoreEndpoint() wire.StoreEndpoint {
	s := &c.platform.Cluster.State
	return wire.StoreEndpoint{Addr: c.platform.Services.State, RPS: s.RPS, WriteRPS: s.WriteRPS, TxnOps: s.TxnOps}
}

// Run runs the controller on the addresses of its platform until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	users, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", c.platform.Listen)
	if err != nil {
		return fmt.Errorf("users and workers: %w", err)
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.platform.MeshAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("mesh: %w", err), users.Close())
	}
	return c.Serve(ctx, users, peers)
}

// Serve runs the controller on two listeners, one for users and workers and one for the other
// controllers, until the context ends or one of them fails. It closes them.
func (c *Controller) Serve(ctx context.Context, users, peers net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 2)
	in := connlimit.NewListener(users, connlimit.Divide(c.platform.Cluster.Quota.FDLimit))
	go func() { errs <- c.server.Serve(ctx, in) }()
	go func() {
		errs <- c.mesh.Serve(ctx, peers, func(peer string, m core.Message) {
			c.Enqueue(core.PeerMessage{
				Peer:    peer,
				Message: m,
			})
		})
	}()
	c.log.Info("controller started", "node", c.platform.Name, "zone", c.platform.Zone)
	return c.eventLoop(ctx, in, errs)
}

// eventLoop is the one place that touches the core.
func (c *Controller) eventLoop(ctx context.Context, users *connlimit.Listener, errs <-chan error) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	clock, last := time.Duration(-1), time.Since(c.startedAt)
	var strain core.LoadSample
	report := 10 * time.Second
	for {
		var first core.Input
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-errs:
			if ctx.Err() != nil { // what it served ended with it
				return ctx.Err()
			}
			return err
		case first = <-c.inputs:
		case <-t.C:
		}
		now := time.Since(c.startedAt)
		// Whatever comes in, there is a turn at every tick: the time beyond it was spent on the
		// turn before, or the processor was not to be had.
		strain.MaxLoopDelay = max(strain.MaxLoopDelay, now-last-tickInterval)
		strain.InputQueueUsage = max(strain.InputQueueUsage, float64(len(c.inputs))/inputQueueLength)
		last = now
		if clock < 0 || now-clock > time.Second {
			clock = now
			c.core.Handle(now, core.WallClock{UnixMS: time.Now().UnixMilli()})
			strain.ConnectionUsage = users.Utilization()
			c.core.Handle(now, strain)
			strain = core.LoadSample{}
			if items := c.server.TakeDenied(); len(items) > 0 {
				c.core.Handle(now, core.RequestsDenied{Items: items})
			}
		}
		if first != nil {
			c.core.Handle(now, first)
		}
		now = max(
			now,
			handleQueuedInputs(
				c.inputs,
				maxInputsPerTurn,
				func() time.Duration { return time.Since(c.startedAt) },
				c.core.Handle,
			),
		)
		for _, o := range c.core.Advance(now) {
			c.execute(ctx, o)
		}
		c.metrics.recordLatency(c.metrics.turnLatency, time.Since(c.startedAt)-now)
		if h := c.core.Healthy(); h != c.healthy.Load() {
			c.healthy.Store(h)
			c.log.Info("health", "healthy", h)
		}
		if now > report {
			report = now + 10*time.Second
			c.metrics.logSummary(c.log, c.core.Stats)
		}
	}
}

const maxInputsPerTurn = 256 // that are taken before what comes of them is carried out

// handleQueuedInputs hands over what waits, each with the time that it was after it had come. With
// one time for all of them, read before, a process that had stood still in between answered workers
// as of then: it renewed leases on what it had known before.
func handleQueuedInputs(
	inputs <-chan core.Input,
	most int,
	clock func() time.Duration,
	take func(now time.Duration, in core.Input),
) (last time.Duration) {
	for range most {
		select {
		case in := <-inputs:
			last = clock()
			take(last, in)
		default:
			return last
		}
	}
	return last
}

// execute carries out an output.
func (c *Controller) execute(ctx context.Context, o core.Output) {
	switch o := o.(type) {
	case core.Response:
		c.server.DeliverResponse(o)
	case core.SendToPeer:
		c.mesh.Send(o.Peer, o.Message)
	case core.CommitTxn:
		go func() {
			sent := time.Now()
			out := c.store.CommitTxn(ctx, o)
			c.metrics.recordLatency(c.metrics.txnLatency, time.Since(sent))
			c.enqueueResult(ctx, out)
		}()
	case core.Watch:
		go func() { c.enqueueResult(ctx, c.store.Watch(ctx, o)) }()
	case core.LoadSnapshot:
		go func() { c.enqueueResult(ctx, c.store.LoadSnapshot(ctx, o)) }()
	case core.ReadRange:
		go func() { c.enqueueResult(ctx, c.store.ReadRange(ctx, o)) }()
	case core.LeaseRequest:
		go func() { c.enqueueResult(ctx, c.store.GrantOrRenewLease(ctx, o)) }()
	case core.SendCommands:
		go func() { c.enqueueResult(ctx, c.agents.SendCommands(ctx, o)) }()
	case core.PollAgent:
		go func() { c.enqueueResult(ctx, c.agents.PollAgent(ctx, o)) }()
	case core.CloudRequest:
		go func() { c.enqueueResult(ctx, c.cloud.Execute(ctx, o)) }()
	case core.PermissionsChanged:
		c.server.SetPermissions(o.Policy)
	case core.QueueEnabled:
		c.server.SetQueueEnabled(o.Enabled)
	case core.ReservationsEnabled:
		c.server.SetReservationsEnabled(o.Enabled)
	case core.LogLine:
		level := slog.LevelInfo
		switch o.Level {
		case core.LevelError:
			level = slog.LevelError
		case core.LevelDebug:
			level = slog.LevelDebug
		}
		c.log.Log(ctx, level, o.Message, o.Args...)
	}
}
