package dewlift

import (
	"context"
	"log/slog"
	"time"

	"dewlift/connlimit"
	"dewlift/core"
)

const (
	// tickInterval is the interval at which the event loop runs an iteration even without input.
	tickInterval = 25 * time.Millisecond
	// clockInterval is the shortest time between two inputs with the time of day and the load.
	clockInterval = time.Second
	// metricsInterval is the interval at which metrics are logged.
	metricsInterval = 10 * time.Second
	// maxInputsPerIteration bounds the queued inputs that are handled before the outputs are executed.
	maxInputsPerIteration = 256
)

// eventLoop is the state of a running event loop. Times are relative to the start of the controller.
type eventLoop struct {
	*Controller
	users         *connlimit.Listener
	lastClock     time.Duration // when the core last got the time of day; negative if never
	lastIteration time.Duration
	nextMetrics   time.Duration
	load          core.LoadSample // peak values since lastClock
}

// runEventLoop handles inputs and executes outputs until the context ends or a server fails. It is the
// only caller of the core, so the core needs no locks.
func (c *Controller) runEventLoop(ctx context.Context, users *connlimit.Listener, errs <-chan error) error {
	loop := eventLoop{
		Controller:    c,
		users:         users,
		lastClock:     -1,
		lastIteration: time.Since(c.startedAt),
		nextMetrics:   metricsInterval,
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var first core.Input
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-errs:
			if ctx.Err() != nil { // the server ended because the context did
				return ctx.Err()
			}
			return err
		case first = <-c.inputs:
		case <-ticker.C:
		}
		loop.iterate(ctx, first)
	}
}

// iterate handles the first input, if there is one, and the queued inputs, and then executes the core's
// outputs.
func (l *eventLoop) iterate(ctx context.Context, first core.Input) {
	now := l.elapsed()
	l.sampleLoad(now)
	if l.lastClock < 0 || now-l.lastClock > clockInterval {
		l.handlePeriodicInputs(now)
	}
	if first != nil {
		l.core.Handle(now, first)
	}
	now = max(now, handleQueuedInputs(l.inputs, maxInputsPerIteration, l.elapsed, l.core.Handle))
	for _, output := range l.core.Advance(now) {
		l.execute(ctx, output)
	}
	l.metrics.recordLatency(l.metrics.decisionLatency, l.elapsed()-now)
	l.updateHealth()
	if now > l.nextMetrics {
		l.nextMetrics = now + metricsInterval
		l.metrics.logSummary(l.log, l.core.Stats)
		l.log.Info("start fences", "stats", l.core.FencingStats())
	}
}

func (l *eventLoop) elapsed() time.Duration { return time.Since(l.startedAt) }

// sampleLoad updates the peak values of the load. Iterations begin at most tickInterval apart if the
// process keeps up. Any additional time was spent in the previous iteration or waiting for the processor.
func (l *eventLoop) sampleLoad(now time.Duration) {
	l.load.MaxLoopDelay = max(l.load.MaxLoopDelay, now-l.lastIteration-tickInterval)
	l.load.InputQueueUsage = max(l.load.InputQueueUsage, float64(len(l.inputs))/inputQueueLength)
	l.lastIteration = now
}

// handlePeriodicInputs passes the time of day, the load and the denied requests to the core.
func (l *eventLoop) handlePeriodicInputs(now time.Duration) {
	l.lastClock = now
	l.core.Handle(now, core.WallClock{UnixMS: time.Now().UnixMilli()})
	l.load.ConnectionUsage = l.users.Utilization()
	l.core.Handle(now, l.load)
	l.load = core.LoadSample{}
	if items := l.server.TakeDenied(); len(items) > 0 {
		l.core.Handle(now, core.RequestsDenied{Items: items})
	}
}

// updateHealth publishes the core's health to the API server and logs changes.
func (l *eventLoop) updateHealth() {
	healthy := l.core.Healthy()
	if healthy == l.healthy.Load() {
		return
	}
	l.healthy.Store(healthy)
	l.log.Info("health changed", "healthy", healthy)
}

// handleQueuedInputs handles at most limit queued inputs and returns the time of the last one, or 0 if there was
// none. It reads the clock after it takes each input. If it read the clock only once, a process that is
// suspended while it handles inputs would answer later heartbeats with the time before the suspension, and so
// renew agents' leases on outdated state.
func handleQueuedInputs(
	inputs <-chan core.Input,
	limit int,
	clock func() time.Duration,
	handle func(now time.Duration, in core.Input),
) (last time.Duration) {
	for range limit {
		select {
		case in := <-inputs:
			last = clock()
			handle(last, in)
		default:
			return last
		}
	}
	return last
}

// execute executes an output of the core. Requests run in goroutines that Serve waits for, and their
// results become inputs.
func (c *Controller) execute(ctx context.Context, output core.Output) {
	switch o := output.(type) {
	case core.Response:
		c.server.DeliverResponse(o)
	case core.SendToPeer:
		c.mesh.Send(o.Peer, o.Message)
	case core.CommitTxn:
		c.requests.Go(func() { c.enqueueResult(ctx, c.commitTxn(ctx, o)) })
	case core.Watch:
		c.requests.Go(func() { c.enqueueResult(ctx, c.store.Watch(ctx, o)) })
	case core.LoadSnapshot:
		c.requests.Go(func() { c.enqueueResult(ctx, c.store.LoadSnapshot(ctx, o)) })
	case core.ReadRange:
		c.requests.Go(func() { c.enqueueResult(ctx, c.store.ReadRange(ctx, o)) })
	case core.LeaseRequest:
		c.requests.Go(func() { c.enqueueResult(ctx, c.store.GrantOrRenewLease(ctx, o)) })
	case core.SendCommands:
		c.requests.Go(func() { c.enqueueResult(ctx, c.agents.SendCommands(ctx, o)) })
	case core.PollAgent:
		c.requests.Go(func() { c.enqueueResult(ctx, c.agents.PollAgent(ctx, o)) })
	case core.CloudRequest:
		c.requests.Go(func() { c.enqueueResult(ctx, c.cloud.Execute(ctx, o)) })
	case core.PermissionsChanged:
		c.server.SetPermissions(o.Policy)
	case core.QueueEnabled:
		c.server.SetQueueEnabled(o.Enabled)
	case core.ReservationsEnabled:
		c.server.SetReservationsEnabled(o.Enabled)
	case core.ReplicaLoaded:
		c.server.SetLoaded()
	case core.LogLine:
		c.log.Log(ctx, slogLevel(o.Level), o.Message, o.Args...)
	}
}

// commitTxn executes a transaction and records its latency.
func (c *Controller) commitTxn(ctx context.Context, txn core.CommitTxn) core.TxnResult {
	sentAt := time.Now()
	result := c.store.CommitTxn(ctx, txn)
	c.metrics.recordLatency(c.metrics.txnLatency, time.Since(sentAt))
	return result
}

func slogLevel(level core.LogLevel) slog.Level {
	switch level {
	case core.LevelError:
		return slog.LevelError
	case core.LevelDebug:
		return slog.LevelDebug
	}
	return slog.LevelInfo
}
