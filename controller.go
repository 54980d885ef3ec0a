// Package dewlift assembles a controller of the cluster scheduler from its parts and runs it.
package dewlift

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"dewlift/access"
	"dewlift/agent"
	"dewlift/api"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/cloud"
	"dewlift/core"
	"dewlift/lanes"
	"dewlift/mesh"
	pb "dewlift/proto"
	"dewlift/secure"
	"dewlift/settings"
	"dewlift/sockets"
	"dewlift/statestore"
	"dewlift/wire"
)

// Controller is one running controller.
type Controller struct {
	log     *slog.Logger
	core    *core.Core
	inputs  chan core.Input
	healthy atomic.Bool
	started time.Time

	state *statestore.Client
	cloud *cloud.Client
	agent *agent.Client
	mesh  *mesh.Mesh
	api   *api.Server
	p     *settings.Platform

	figures *figures
}

const (
	lateMost = 15 * time.Minute // that a request to the state service is executed late; minutes were seen
	tick     = 25 * time.Millisecond
	queueLen = 4096
)

// Guards are what a controller may be guarded with, and what else is turned on by a file; the zero value is none of it.
type Guards struct {
	Rights *access.Policy // put in force where the state service has none
	Audit  audit.Key      // of the audit record
	Files  *secure.Files  // of TLS; nil: all is in plain text
	// Equipment is what can be booked where the state service has no list; nil: nothing.
	Equipment *booking.Site
	// Lanes is the order of work where the state service has none; nil: by priority.
	Lanes *lanes.List
}

// New assembles a controller.
func New(p *settings.Platform, t *pb.Tuning, g Guards, log *slog.Logger) *Controller {
	c := &Controller{log: log, p: p, inputs: make(chan core.Input, queueLen), started: time.Now(),
		state: statestore.New(p.Services.State), cloud: cloud.New(p.Services.Cloud), agent: agent.New(sockets.Of(p.Cluster.Quota.FDLimit).Idle), figures: newFigures()}
	cfg := CoreConfig(p, t)
	cfg.Access, cfg.AuditKey, cfg.Equipment, cfg.Lanes, cfg.Settings = g.Rights, g.Audit, g.Equipment, g.Lanes, settings.Recorded(p, t)
	c.core = core.New(cfg, 0, rand.Uint64())
	peers := map[string]string{}
	for _, q := range p.Peers {
		peers[q.Name] = q.Addr
	}
	c.mesh = mesh.New(p.Name, peers, g.Files, log)
	c.api = api.New(c, time.Duration(p.Cluster.TimeBoundMS*float64(time.Millisecond)), g.Files.Serve(), log)
	return c
}

// CoreConfig is what a core needs to know of the platform and of the operators' own settings.
func CoreConfig(p *settings.Platform, t *pb.Tuning) core.Config {
	k := &p.Cluster
	parts := sockets.Of(k.Quota.FDLimit)
	ms := func(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }
	now, next := &k.State, &k.State.Next
	cfg := core.Config{
		// Of the platform.
		Form:         core.Form,
		Name:         p.Name,
		Zone:         p.Zone,
		StateRPS:     least(now.RPS, next.RPS),
		WriteRPS:     now.WriteRPS,
		NextWriteRPS: least(now.WriteRPS, next.WriteRPS),
		ValueBytes:   int(least(now.ValueKB, next.ValueKB) * 1024),
		TxnOps:       least(now.TxnOps, next.TxnOps),
		CloudRPS:     max(1, k.Cloud.RPS*0.9),
		ListLag:      settings.Seconds(k.Cloud.ListLagS),
		ReportEvery:  settings.Seconds(k.Workers.ReportS),
		WorkerLease:  settings.Seconds(k.Workers.LeaseS),
		CancelIn:     settings.Seconds(k.Workers.CancelS),
		AuditForget:  lateMost,
		TimeBoundMS:  uint32(k.TimeBoundMS),
		OrdersMost:   parts.Orders,
		ProbesMost:   parts.Probes,

		// Of the operators: `dewlift settings` tells what they do.
		Lease:        ms(t.GetLeaseMs()),
		Shards:       int(t.GetShards()),
		WatchGap:     ms(t.GetWatchGapMs()),
		ReadGap:      ms(t.GetBarrierGapMs()),
		WriteShare:   t.GetWriteShare(),
		DeltaEvery:   ms(t.GetDeltaMs()),
		PushEvery:    ms(t.GetPushMs()),
		CopyExpire:   ms(t.GetExpireMs()),
		ProbeRatio:   t.GetProbeRatio(),
		RandomFill:   t.GetRandomFill(),
		PreferImage:  t.GetPreferImage(),
		PreferSpot:   t.GetPreferSpot(),
		HorizonStep:  ms(t.GetHorizonMs()),
		SpareShare:   t.GetSpareShare(),
		SpareService: t.GetSpareService(),
		SpareDev:     t.GetSpareDeviations(),
		Idle:         ms(t.GetIdleMs()),
		IdleBoots:    t.GetIdleBoots(),
		SoonBoots:    t.GetSoonBoots(),
		Silent:       ms(t.GetSilentMs()),
		BootPatience: t.GetBootPatience(),
		Settle:       ms(t.GetSettleMs()),
		CancelShare:  t.GetCancelShare(),
		SharedValues: t.GetSharedValues(),
		Archive:      t.GetArchive(),
		EndedKept:    int(t.GetEndedKept()),
		HistoryCache: int(t.GetHistoryCacheKb()) << 10,
		AuditGather:  ms(t.GetAuditGatherMs()),
		AuditBlock:   ms(t.GetAuditBlockMs()),
		HistoryShare: t.GetHistoryShare(),
		HistoryWait:  ms(t.GetHistoryWaitMs()),
		WholePush:    ms(t.GetWholePushMs()),
		PushGap:      ms(t.GetPushGapMs()),
		OrderAgain:   ms(t.GetOrderAgainMs()),
		ClearWait:    ms(t.GetClearMs()),
		PassTime:     ms(t.GetPassMs()),
		LinkLost:     ms(t.GetLinkLostMs()),
		RoomAgain:    ms(t.GetRoomAgainMs()),
		ListEvery:    ms(t.GetListMs()),
		SettleMost:   ms(t.GetSettleMostMs()),
		LossGather:   ms(t.GetLossGatherMs()),
		AcceptWait:   ms(t.GetAcceptWaitMs()),
		HealthEvery:  ms(t.GetHealthMs()),
		LookAll:      ms(t.GetLookAllMs()),
		RentAhead:    ms(t.GetRentAheadMs()),
		GiveWay:      ms(t.GetGiveWayMs()),
		RiseAfter:    ms(t.GetRiseMs()),
		BookingKeep:  time.Duration(t.GetBookingKeepMin()) * time.Minute,
	}
	for _, q := range p.Peers {
		cfg.Peers = append(cfg.Peers, q.Name)
	}
	for _, q := range k.Teams {
		cfg.Teams = append(cfg.Teams, core.Team{Name: q.Name, CPU: int64(q.CPUs * 1000), GPU: int64(q.GPUs * 1000),
			CPUMax: int64(q.CPUsMax * 1000), GPUMax: int64(q.GPUsMax * 1000)})
	}
	return cfg
}

// least is the smaller of a limit that is in force and one that will be, if that is known.
func least[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// Put hands an input to the core.
func (c *Controller) Put(in core.Input) bool {
	select {
	case c.inputs <- in:
		return true
	default:
		return false
	}
}

// must hands over the outcome of a request; it waits, as none may be lost.
func (c *Controller) must(ctx context.Context, in core.Input) {
	select {
	case c.inputs <- in:
	case <-ctx.Done():
	}
}

// Healthy tells whether this controller can take requests.
func (c *Controller) Healthy() bool { return c.healthy.Load() }

// Site tells where the state service is and what it takes.
func (c *Controller) Site() wire.Site {
	s := &c.p.Cluster.State
	return wire.Site{State: c.p.Services.State, RPS: s.RPS, WriteRPS: s.WriteRPS, TxnOps: s.TxnOps}
}

// Run runs the controller on the addresses of its platform until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	users, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", c.p.Listen)
	if err != nil {
		return fmt.Errorf("users and workers: %w", err)
	}
	peers, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.p.MeshAddr)
	if err != nil {
		return errors.Join(fmt.Errorf("mesh: %w", err), users.Close())
	}
	return c.Serve(ctx, users, peers)
}

// Serve runs the controller on two listeners, one for users and workers and one for the other controllers, until the context
// ends or one of them fails. It closes them.
func (c *Controller) Serve(ctx context.Context, users, peers net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, 2)
	in := sockets.Listen(users, sockets.Of(c.p.Cluster.Quota.FDLimit))
	go func() { errs <- c.api.Serve(ctx, in) }()
	go func() {
		errs <- c.mesh.Serve(ctx, peers, func(peer string, m core.Msg) { c.Put(core.FromPeer{Peer: peer, Msg: m}) })
	}()
	c.log.Info("controller started", "node", c.p.Name, "zone", c.p.Zone)
	return c.loop(ctx, in, errs)
}

// loop is the one place that touches the core.
func (c *Controller) loop(ctx context.Context, users *sockets.Listener, errs <-chan error) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	clock, last := time.Duration(-1), time.Since(c.started)
	var strain core.Strain
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
		now := time.Since(c.started)
		// Whatever comes in, there is a turn at every tick: the time beyond it was spent on the turn before, or the processor
		// was not to be had.
		strain.Late = max(strain.Late, now-last-tick)
		strain.Queue = max(strain.Queue, float64(len(c.inputs))/queueLen)
		last = now
		if clock < 0 || now-clock > time.Second {
			clock = now
			c.core.Handle(now, core.Clock{UnixMS: time.Now().UnixMilli()})
			strain.Sockets = users.Used()
			c.core.Handle(now, strain)
			strain = core.Strain{}
			if items := c.api.Refused(); len(items) > 0 {
				c.core.Handle(now, core.Refused{Items: items})
			}
		}
		if first != nil {
			c.core.Handle(now, first)
		}
		now = max(now, drain(c.inputs, inputsMost, func() time.Duration { return time.Since(c.started) }, c.core.Handle))
		for _, o := range c.core.Advance(now) {
			c.do(ctx, o)
		}
		c.figures.record(c.figures.decision, time.Since(c.started)-now)
		if h := c.core.Healthy(); h != c.healthy.Load() {
			c.healthy.Store(h)
			c.log.Info("health", "healthy", h)
		}
		if now > report {
			report = now + 10*time.Second
			c.figures.log(c.log, c.core.Stats)
		}
	}
}

const inputsMost = 256 // that are taken before what comes of them is carried out

// drain hands over what waits, each with the time that it was after it had come. With one time for all of them, read before, a process that had
// stood still in between answered workers as of then: it renewed leases on what it had known before.
func drain(inputs <-chan core.Input, most int, clock func() time.Duration, take func(now time.Duration, in core.Input)) (last time.Duration) {
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

// do carries out an output.
func (c *Controller) do(ctx context.Context, o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		c.api.Answer(o)
	case core.ToPeer:
		c.mesh.Send(o.Peer, o.Msg)
	case core.Commit:
		go func() {
			sent := time.Now()
			out := c.state.Commit(ctx, o)
			c.figures.record(c.figures.write, time.Since(sent))
			c.must(ctx, out)
		}()
	case core.Changes:
		go func() { c.must(ctx, c.state.Changes(ctx, o)) }()
	case core.Load:
		go func() { c.must(ctx, c.state.Load(ctx, o)) }()
	case core.Scan:
		go func() { c.must(ctx, c.state.Scan(ctx, o)) }()
	case core.LeaseOp:
		go func() { c.must(ctx, c.state.Lease(ctx, o)) }()
	case core.Orders:
		go func() { c.must(ctx, c.agent.Orders(ctx, o)) }()
	case core.Probe:
		go func() { c.must(ctx, c.agent.Show(ctx, o)) }()
	case core.CloudOp:
		go func() { c.must(ctx, c.cloud.Do(ctx, o)) }()
	case core.Rights:
		c.api.SetRights(o.Policy)
	case core.Queue:
		c.api.SetQueue(o.Open)
	case core.Bookings:
		c.api.SetBooking(o.Open)
	case core.Note:
		level := slog.LevelInfo
		switch o.Level {
		case "error":
			level = slog.LevelError
		case "debug":
			level = slog.LevelDebug
		}
		c.log.Log(ctx, level, o.Text, o.Args...)
	}
}
