package sim

import (
	"cmp"
	"dewlift/core"
	"dewlift/internal/eventqueue"
	"dewlift/wire"
	"fmt"
	"math/rand/v2"
	"time"
)

// Options say how rough a world is.
type Options struct {
	Seed           uint64
	Duration       time.Duration
	Jobs           int
	NoFaults       bool // no failures
	FlakyCloud     bool // the cloud fails more often than not
	Controllers    int  // controllers; 0: 3
	MaxMachines    int  // the most machines there are; 0: 14
	MaxTasksPerJob int  // the most tasks of a job; 0: 9
	RollingUpgrade bool // begin with the version in production and replace it, and have the limits fall
	Pipelines      int  // pipelines of jobs that await others
	Permissions    bool // everyone needs a right, and they come and go
	AuditLog       bool // what is done is recorded
	BatchValues    bool // small jobs share values
	Archive        bool // ended jobs move into the archive, nearly at once
	// there is a list of lanes, much work of few shapes waits, and controllers end all the time
	PriorityClasses   bool
	ReservationUsers  int           // users who book equipment
	MixedVersions     bool          // one controller is of the version in production throughout
	CancelTimeout     time.Duration // 0: 40 s
	WorkerLease       time.Duration // of a worker; 0: 20 s
	FailingJobs       int           // jobs whose tasks fail on every machine, until their users cancel them
	OverlappingFaults bool          // troubles come in pairs only; then it is calm, and what is forgotten shows
	FaultNames        []string      // the only troubles that meet; nil: any two of all
	LongTasks         bool          // tasks run for up to more than a minute: those of a small job end far apart
	QuotaLimited      bool          // every team has a limit, which its work would exceed
	// jobs of one task each that come four a second, one after the other; a quarter is cancelled
	SingleTaskJobs  int
	ZonePinnedJobs  bool          // every job is bound to one zone
	MaxNetworkDelay time.Duration // every message takes up to so long; 0: 5 ms
	// what ends is back within a second, with late copies of what it did; then it is calm, and what is forgotten shows
	FlappingProcesses bool
}

type node struct {
	name            string
	core            *core.Core
	incarnation     int
	down            bool
	clockOffset     time.Duration // its clock began this much off
	startedAt       time.Duration
	pendingRequests map[uint64]func(core.Response)

	pausedUntil time.Duration // its process stands still until then

	bootsPrevious bool // its next process is of the version in production
	runsPrevious  bool // its process is
}

// Simulator is a seeded world.
type Simulator struct {
	Checker       *Checker
	options       Options
	rng           *rand.Rand
	now           time.Duration
	events        eventqueue.Queue
	nodes         []*node
	store         *fakeStore
	cloud         *fakeCloud
	partitioned   map[[2]string]bool
	heldPackets   map[[2]string][]func()
	lastRequestID uint64
	teams         []core.Team

	auditChecker *auditChecker
	reservations *reservationChecker
	queueOrder   *queueOrderChecker
	Trace        func(string, ...any)

	// How much later a transaction or orders are executed, beside what is late by chance; and what comes of a report.
	commitDelay  func(t wire.Txn) time.Duration
	commandDelay func(o core.SendCommands) time.Duration
	onHeartbeat  func(r *wire.Heartbeat)
	// a transaction is executed at once, and its answer so much later; under 0: it is lost
	commitResponseDelay func(t wire.Txn) time.Duration
	onLastTaskEnding    func(id string)          // the last task of a job is ending at this moment
	inboundBlockedUntil map[string]time.Duration // machines that nothing reaches until then
	// machines that reach no controller until then, while orders reach them
	outboundBlockedUntil map[string]time.Duration
	fastBootsUntil       time.Duration                    // until then, machines are up within two seconds
	eagerPollsUntil      time.Duration                    // until then, users look closely, see looks.go
	OnOutput             func(node string, o core.Output) // is shown every output of a controller
}

const (
	defaultCancelTimeout = 40 * time.Second
	defaultWorkerLease   = 20 * time.Second
	heartbeatInterval    = 3 * time.Second
	startUnixMS          = int64(1_700_000_000_000)
)

var zones = []string{"a", "b", "c"}

// New makes a world.
func New(opt Options) *Simulator {
	opt.Controllers, opt.MaxMachines, opt.MaxTasksPerJob = cmp.Or(
		opt.Controllers,
		3,
	), cmp.Or(
		opt.MaxMachines,
		14,
	), cmp.Or(
		opt.MaxTasksPerJob,
		9,
	)
	opt.CancelTimeout, opt.WorkerLease = cmp.Or(
		opt.CancelTimeout,
		defaultCancelTimeout,
	), cmp.Or(
		opt.WorkerLease,
		defaultWorkerLease,
	)
	w := &Simulator{
		options:              opt,
		rng:                  rand.New(rand.NewPCG(opt.Seed, 77)),
		partitioned:          map[[2]string]bool{},
		heldPackets:          map[[2]string][]func(){},
		commitDelay:          func(wire.Txn) time.Duration { return 0 },
		commandDelay:         func(core.SendCommands) time.Duration { return 0 },
		onHeartbeat:          func(*wire.Heartbeat) {},
		commitResponseDelay:  func(wire.Txn) time.Duration { return 0 },
		onLastTaskEnding:     func(string) {},
		inboundBlockedUntil:  map[string]time.Duration{},
		outboundBlockedUntil: map[string]time.Duration{},
		Trace:                func(string, ...any) {},
		OnOutput:             func(string, core.Output) {},
	}
	limit := 40000 * int64(opt.MaxTasksPerJob) / 9
	w.teams = []core.Team{{Name: "t0"}, {Name: "t1", ReservedCPU: limit * 2 / 5, MaxCPU: limit}}
	limits := map[string][2]int64{"t1": {limit, 0}}
	if opt.QuotaLimited {
		w.teams[0].MaxCPU = limit
		limits["t0"] = [2]int64{limit, 0}
	}
	w.Checker = NewChecker(opt.CancelTimeout, limits)
	w.auditChecker = newAuditChecker(w.Checker, func() time.Duration { return w.now })
	w.store = newFakeStore(w)
	w.cloud = newFakeCloud(w)
	w.reservations = newReservationChecker(w)
	w.queueOrder = newQueueOrderChecker(w)
	for i := 0; i < opt.Controllers; i++ {
		n := &node{name: fmt.Sprintf("n%d", i), clockOffset: time.Duration(w.rng.IntN(5000)) * time.Millisecond}
		w.nodes = append(w.nodes, n)
	}
	if opt.RollingUpgrade {
		w.scheduleRollingUpgrade()
	}
	if opt.MixedVersions {
		w.nodes[opt.Seed%uint64(opt.Controllers)].bootsPrevious = true
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func (w *Simulator) schedule(d time.Duration, f func()) {
	w.events.Add(w.now+d, f)
}

func (w *Simulator) chance(p float64) bool { return w.rng.Float64() < p }

func (w *Simulator) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)+1))
}

// Run plays the world to its end.
func (w *Simulator) Run() {
	w.scheduleUsers()
	if w.options.Permissions {
		w.schedulePermissionChanges()
	}
	if w.options.AuditLog {
		w.scheduleAuditReaders()
	}
	if w.options.ReservationUsers > 0 {
		w.scheduleReservationUsers()
	}
	switch {
	case w.options.PriorityClasses:
		if !w.options.NoFaults {
			w.scheduleCrashes()
		}
	case w.options.OverlappingFaults:
		w.scheduleOverlappingFaults()
	case !w.options.NoFaults:
		w.scheduleFaults()
	}
	if w.Checker.faultFreeFrom != 0 {
		w.schedule(w.Checker.faultFreeFrom, w.checkStarvation)
	}
	for {
		at, do, ok := w.events.PopUntil(w.options.Duration)
		if !ok {
			break
		}
		w.now = at
		do()
		w.Checker.Tick(w.now)
		if len(w.Checker.Violations) > 0 {
			return
		}
	}
	w.Checker.Finish(w.now)
	if w.options.PriorityClasses {
		w.queueOrder.checkOvertaking()
	}
	w.checkJobsKept()
	if w.options.AuditLog {
		w.auditChecker.Finish(w.store.keys)
	}
}

func (w *Simulator) coreConfig(n *node) core.Config {
	cfg := core.Config{
		Cluster: core.ClusterConfig{
			LeaseTTL:       4 * time.Second,
			RelayTimeout:   3 * time.Second,
			PeerTimeout:    1500 * time.Millisecond,
			HealthInterval: 500 * time.Millisecond,
		},
		Store: core.StoreConfig{
			MinWatchInterval:       100 * time.Millisecond,
			MinReadBarrierInterval: 150 * time.Millisecond,
			RequestRate:            100,
			WriteRate:              40,
			MaxWriteShare:          0.6,
			MaxValueBytes:          8192,
			MaxTxnOps:              12,
		},
		Autoscaling: core.AutoscalingConfig{
			CloudRequestRate:  4,
			CloudListLag:      3 * time.Second,
			HeadroomShare:     0.2,
			IdleTimeout:       5 * time.Second,
			BootTimeoutFactor: 3,
			CloudListInterval: 2500 * time.Millisecond,
			ScaleOutLeadTime:  3 * time.Second,
		},
		Agents: core.AgentConfig{
			HeartbeatInterval:    heartbeatInterval,
			LeaseTTL:             w.options.WorkerLease,
			CancelTimeout:        w.options.CancelTimeout,
			SilenceTimeout:       4 * time.Second,
			CommandRetryInterval: time.Second,
			MaxCommandRequests:   400,
			MaxPollRequests:      100,
			EndedTaskClearDelay:  2 * time.Second,
			CancelScaleInShare:   0.35,
			LostTaskBatchDelay:   700 * time.Millisecond,
		},
		State: core.StateConfig{
			DeltaInterval:    500 * time.Millisecond,
			PushInterval:     time.Second,
			CopyExpiry:       10 * time.Second,
			FullPushInterval: 10 * time.Second,
			MinPushInterval:  100 * time.Millisecond,
		},
		Scheduling: core.SchedulingConfig{
			CandidateRatio:          2,
			PreferImage:             true,
			PreferSpot:              true,
			MinEndBatchDelay:        300 * time.Millisecond,
			PreemptionRetryInterval: 4 * time.Second,
			MaxEndBatchDelay:        2 * time.Second,
			SubmitWriteTimeout:      1500 * time.Millisecond,
			FullScanInterval:        20 * time.Second,
			YieldAfter:              time.Second,
		},

		SchemaVersion: core.SchemaVersion,
		Name:          n.name,
		Zone:          "a",
		Teams:         w.teams,

		Shards: 6,
	}
	cfg.History.MaxEndedJobs, cfg.History.CacheBytes, cfg.History.ReadShare = 5000, 1<<20, 0.2
	cfg.Store.SharedValues = w.options.BatchValues
	if w.options.Permissions {
		cfg.Permissions = initialPolicy()
	}
	if w.options.AuditLog {
		cfg.Audit.Key, cfg.Audit.MaxClockErrorMS, cfg.Audit.Settings = auditKey, 500, settingsFor(n)
		cfg.Audit.ForgetAfter = 60 * time.Second // requests are late by 40 s at most
		cfg.Audit.GatherDelay, cfg.Audit.BlockDelay = 2*time.Second, w.randomDuration(time.Second, 8*time.Second)
	}
	if w.options.Archive {
		cfg.History.Archive, cfg.History.MaxEndedJobs, cfg.History.CacheBytes = true, 1+int(w.options.Seed%4), 1<<10
	}
	if w.options.PriorityClasses && !n.bootsPrevious {
		cfg.Scheduling.PriorityClasses = w.queueOrder.classes
	}
	if w.options.ReservationUsers > 0 && !n.bootsPrevious {
		cfg.Reservations.Equipment, cfg.Store.MaxValueBytes = w.reservations.site, 640 // so that there are many pages
		if w.options.AuditLog {
			cfg.Store.MaxValueBytes = 4096 // entries of the record need room
		}
		cfg.Reservations.Retention = time.Duration(w.options.Seed%3) * 10 * time.Second
	}
	if w.options.RollingUpgrade && !n.bootsPrevious {
		cfg.Store.MaxValueBytes, cfg.Store.MaxTxnOps, cfg.Store.NextWriteRate = announcedLimits.valueBytes, announcedLimits.txnOps, announcedLimits.writesPerSecond
	}
	if n.bootsPrevious {
		cfg.SchemaVersion = 0
	}
	for _, o := range w.nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, o.name)
		}
	}
	return cfg
}

func (w *Simulator) boot(n *node) {
	n.incarnation++
	n.down, n.runsPrevious = false, n.bootsPrevious
	n.startedAt = w.now
	n.pendingRequests = map[uint64]func(core.Response){}
	n.core = core.New(w.coreConfig(n), 0, w.rng.Uint64())
	life := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != life || n.down {
			return
		}
		w.deliver(n, core.WallClock{UnixMS: w.nowUnixMS() + int64(n.clockOffset/time.Second)})
		w.schedule(50*time.Millisecond, tick)
	}
	w.schedule(time.Millisecond, tick)
}

func (w *Simulator) crash(n *node) {
	away := w.randomDuration(time.Second, 6*time.Second)
	if w.options.FlappingProcesses || w.options.OverlappingFaults && w.chance(0.5) {
		away = w.randomDuration(0, 900*time.Millisecond)
	}
	w.crashFor(n, away)
}

// crashFor ends a controller's process, which is back after a while.
func (w *Simulator) crashFor(n *node, away time.Duration) {
	n.down = true
	n.incarnation++
	n.core = nil
	w.schedule(away, func() {
		if n.down {
			w.boot(n)
		}
	})
}

// crashSoon has a controller end around what it is about to do at the state service: before it is
// executed, or before its answer.
func (w *Simulator) crashSoon(n *node, in string) {
	life := n.incarnation
	w.schedule(w.randomDuration(0, 12*time.Millisecond), func() {
		if n.incarnation == life && !n.down {
			w.Trace("%v crash %s in %s", w.now, n.name, in)
			w.crash(n)
		}
	})
}

// deliver gives an input to a core and carries out what follows.
func (w *Simulator) deliver(n *node, in core.Input) {
	if n.down {
		return
	}
	if w.now < n.pausedUntil { // what comes in waits, in its order
		life := n.incarnation
		w.schedule(n.pausedUntil-w.now, func() {
			if n.incarnation == life {
				w.deliver(n, in)
			}
		})
		return
	}
	// The steady clock may run fast by up to 0.05%.
	t := time.Duration(float64(w.now-n.startedAt) * (1 + 0.0005*float64(n.clockOffset)/float64(5*time.Second)))
	n.core.Handle(t, w.asUnderstoodBy(n, in))
	for _, o := range n.core.Advance(t) {
		w.performOutput(n, o)
	}
}

func (w *Simulator) performOutput(n *node, o core.Output) {
	w.OnOutput(n.name, o)
	life := n.incarnation
	back := func(in core.Input) {
		if n.incarnation == life && !n.down {
			w.deliver(n, in)
		}
	}
	switch o := o.(type) {
	case core.Response:
		if f := n.pendingRequests[o.RequestID]; f != nil {
			delete(n.pendingRequests, o.RequestID)
			f(o)
		}
	case core.SendToPeer:
		for _, p := range w.nodes {
			if p == n || o.Peer != "" && o.Peer != p.name {
				continue
			}
			p := p
			arrive := func() {
				if !p.down {
					w.deliver(p, core.PeerMessage{Peer: n.name, Message: o.Message})
				}
			}
			w.send(n.name, p.name, arrive)
			// it comes once more, perhaps when its sender or receiver has ended and is back
			if w.options.FlappingProcesses && w.chance(0.01) {
				w.schedule(w.randomDuration(0, 3*time.Second), arrive)
			}
		}
	case core.CommitTxn:
		out := core.TxnResult{ID: o.ID}
		w.checkWrittenSchema(n, o.Txn)
		late := 0.01
		if w.options.FlappingProcesses {
			w.injectFlap(n, o.Txn)
		}
		if w.options.AuditLog && writesAuditLog(o.Txn) {
			late = 0.06
		}
		after := w.commitDelay(o.Txn)
		if writesReservations(o.Txn) { // likewise, and often the last that their sender did
			late = 0.06
			if !w.options.NoFaults && w.chance(0.01) {
				w.crashSoon(n, "a booking")
			}
		}
		if movesToArchive(o.Txn) { // rare elsewhere: here often late, or the last that their sender did
			late = 0.15
			if !w.options.NoFaults && w.chance(0.04) {
				w.crashSoon(n, "a move")
			}
		}
		answer := w.commitResponseDelay(o.Txn)
		w.rpc(n.name, "state", 2*time.Second, max(after, w.randomDelay(late)), func() time.Duration {
			out.Status, out.Reply = w.store.commit(n.name, o.Txn)
			return answer
		}, func(ok bool) {
			if !ok {
				out = core.TxnResult{ID: o.ID}
			}
			back(out)
		})
	case core.Watch:
		w.store.serveWatch(n, o, back)
	case core.LoadSnapshot:
		var out core.SnapshotPage
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration { out = w.store.loadSnapshot(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.SnapshotPage{}
			}
			back(out)
		})
	case core.ReadRange:
		out := core.RangeResult{ID: o.ID}
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration { out = w.store.readRange(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.RangeResult{ID: o.ID}
			}
			back(out)
		})
	case core.LeaseRequest:
		out := core.LeaseResult{Op: o.Op}
		w.rpc(n.name, "state", time.Second, w.randomDelay(0.005), func() time.Duration { out = w.store.serveLease(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.LeaseResult{Op: o.Op}
			}
			back(out)
		})
	case core.SendCommands:
		out := core.CommandsResult{ID: o.ID, MaybeDelivered: true}
		m := w.cloud.find(o.Machine)
		w.rpc(n.name, o.Machine, 2*time.Second, max(w.commandDelay(o), w.randomDelay(0.02)), func() time.Duration {
			if m != nil && !m.gone {
				out.Status, out.Heartbeat = m.handleCommands(o.Batch)
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out = core.CommandsResult{ID: o.ID, MaybeDelivered: true}
			}
			back(out)
		})
	case core.PollAgent:
		m := w.cloud.find(o.Machine)
		out := core.AgentPolled{Machine: o.Machine}
		w.rpc(n.name, o.Machine, 2*time.Second, 0, func() time.Duration {
			if m != nil && m.up && !m.gone {
				out.Heartbeat = m.nextHeartbeat()
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out.Heartbeat = nil
			}
			back(out)
		})
	case core.CloudRequest:
		out := core.CloudResult{ID: o.ID}
		w.rpc(n.name, "cloud", 4*time.Second, w.randomDelay(0.02), func() time.Duration { out = w.cloud.serve(o); return 0 }, func(ok bool) {
			if !ok {
				out = core.CloudResult{ID: o.ID}
			}
			back(out)
		})
	case core.LogLine:
		w.Trace("%v %s %s %v", w.now, n.name, o.Message, o.Args)
	}
}

// randomDelay makes a request late by seconds, sometimes: it is executed after its sender gave up.
func (w *Simulator) randomDelay(p float64) time.Duration {
	if !w.options.NoFaults && w.chance(p) {
		return w.randomDuration(2*time.Second, 40*time.Second)
	}
	return 0
}

func (w *Simulator) send(from, to string, f func()) {
	k := [2]string{from, to}
	w.schedule(w.randomDuration(500*time.Microsecond, cmp.Or(w.options.MaxNetworkDelay, 5*time.Millisecond)), func() {
		if w.now < w.inboundBlockedUntil[to] {
			return
		}
		if w.partitioned[k] {
			w.heldPackets[k] = append(w.heldPackets[k], f)
			return
		}
		f()
	})
}

// rpc carries a request to a server and its outcome back, so much later as exec says (under 0:
// never); without an answer in time the caller gives up, and the request may be executed all the
// same, later.
func (w *Simulator) rpc(
	from, to string,
	timeout, late time.Duration,
	exec func() (answer time.Duration),
	done func(ok bool),
) {
	over := false
	finish := func(ok bool) {
		if !over {
			over = true
			done(ok)
		}
	}
	if to == "state" && w.store.maxDelay > 0 {
		late += w.randomDuration(0, w.store.maxDelay)
	}
	w.schedule(timeout, func() { finish(false) })
	w.schedule(late, func() {
		w.send(from, to, func() {
			answer := func() { w.send(to, from, func() { finish(true) }) }
			switch d := exec(); { // also when the caller gave up meanwhile
			case d > 0:
				w.schedule(d, answer)
			case d == 0:
				answer()
			}
		})
	})
}

// setPartition cuts or mends the network between two places; what was held is delivered then.
func (w *Simulator) setPartition(a, b string, on bool) {
	for _, k := range [][2]string{{a, b}, {b, a}} {
		if on {
			w.partitioned[k] = true
			continue
		}
		delete(w.partitioned, k)
		fs := w.heldPackets[k]
		delete(w.heldPackets, k)
		for _, f := range fs {
			f := f
			w.schedule(time.Millisecond, f)
		}
	}
}

// scheduleFaults plans failures, alone and together.
func (w *Simulator) scheduleFaults() {
	calm := 30 * time.Second
	if w.options.FlappingProcesses {
		calm = flapFreeTail
		w.Checker.faultFreeFrom = w.options.Duration - calm + 26*time.Second // no trouble lasts longer
	}
	for at := 10 * time.Second; at < w.options.Duration-calm; at += w.randomDuration(3*time.Second, 15*time.Second) {
		at := at
		w.schedule(at, func() { w.injectFault() })
	}
}

func (w *Simulator) injectFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	d := w.randomDuration(2*time.Second, 25*time.Second)
	if w.options.FlappingProcesses && w.chance(0.3) {
		w.Trace("%v %s ends five times", w.now, n.name)
		for range 5 { // within three seconds
			w.schedule(w.randomDuration(0, 3*time.Second), func() {
				if !n.down {
					w.crash(n)
				}
			})
		}
		return
	}
	switch w.rng.IntN(13) {
	case 0:
		if !n.down {
			w.Trace("%v crash %s", w.now, n.name)
			w.crash(n)
		}
	case 1:
		w.Trace("%v crash all", w.now)
		for _, n := range w.nodes {
			if !n.down {
				w.crash(n)
			}
		}
	case 2:
		w.Trace("%v state outage %v", w.now, d)
		w.store.startOutage(d)
	case 3:
		w.Trace("%v state refuses %s %v", w.now, n.name, d)
		w.store.refuseNode(n.name, d)
	case 4:
		w.Trace("%v cloud outage %v", w.now, d)
		w.cloud.down = true
		w.schedule(d, func() { w.cloud.down = false })
	case 5: // a controller is cut off from everything
		w.Trace("%v cut %s %v", w.now, n.name, d)
		w.isolate(n.name, d, true, true, true)
	case 6:
		w.isolate(n.name, d, true, false, false)
	case 7:
		w.isolate(n.name, d, false, true, false)
	case 8:
		w.isolate(n.name, d, false, false, true)
	case 9, 10:
		if m := w.cloud.randomMachine(); m != nil {
			w.Trace("%v machine %s hangs %v", w.now, m.machine.Name, d)
			m.hangFor(d)
		}
	case 12: // two zones can't reach each other; node i is in zone i
		i := w.rng.IntN(3)
		w.partitionZones(i, (i+1)%3, d)
	case 11:
		if m := w.cloud.randomMachine(); m != nil {
			w.Trace("%v machine %s dies", w.now, m.machine.Name)
			m.fail()
		}
	}
}

const flapFreeTail = 140 * time.Second // at the end of a world that flaps

// injectFlap has a controller end around one of its writes, and the write executed once more, late.
func (w *Simulator) injectFlap(n *node, t wire.Txn) {
	if w.now > w.options.Duration-flapFreeTail {
		return
	}
	if w.chance(0.02) {
		w.crashSoon(n, "a write")
	}
	if w.chance(0.05) {
		w.schedule(w.randomDuration(10*time.Millisecond, 20*time.Second), func() { w.store.commit(n.name, t) })
	}
}

func (w *Simulator) partitionZones(i, j int, d time.Duration) {
	w.Trace("%v zones %s and %s cut off from each other %v", w.now, zones[i], zones[j], d)
	pairs := [][2]string{{w.nodes[i].name, w.nodes[j].name}}
	for _, m := range w.cloud.machines {
		switch m.machine.Zone {
		case zones[i]:
			pairs = append(pairs, [2]string{w.nodes[j].name, m.machine.Name})
		case zones[j]:
			pairs = append(pairs, [2]string{w.nodes[i].name, m.machine.Name})
		}
	}
	w.partitionFor(pairs, d)
}

// partitionFor cuts the network between pairs of places for a while.
func (w *Simulator) partitionFor(pairs [][2]string, d time.Duration) {
	for _, p := range pairs {
		w.setPartition(p[0], p[1], true)
	}
	w.schedule(d, func() {
		for _, p := range pairs {
			w.setPartition(p[0], p[1], false)
		}
	})
}

func (w *Simulator) isolate(name string, d time.Duration, state, peers, workers bool) {
	var pairs [][2]string
	from := func(other string) { pairs = append(pairs, [2]string{name, other}) }
	if state {
		from("state")
	}
	if peers {
		for _, p := range w.nodes {
			if p.name != name {
				from(p.name)
			}
		}
	}
	if workers {
		from("cloud")
		for _, m := range w.cloud.machines {
			from(m.machine.Name)
		}
	}
	w.partitionFor(pairs, d)
}

// sendRequest sends a request of a user or worker to a controller.
func (w *Simulator) sendRequest(
	n *node,
	timeout time.Duration,
	in func(req uint64) core.Input,
	done func(r core.Response, ok bool),
) {
	over := false
	finish := func(r core.Response, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	way := func() time.Duration { // answers overtake each other on slow links
		if w.now < w.eagerPollsUntil {
			return w.randomDuration(100*time.Microsecond, 20*time.Millisecond)
		}
		return time.Millisecond
	}
	w.schedule(timeout, func() { finish(core.Response{}, false) })
	w.schedule(way(), func() {
		if n.down {
			finish(core.Response{}, false)
			return
		}
		w.lastRequestID++
		id := w.lastRequestID
		n.pendingRequests[id] = func(r core.Response) { w.schedule(way(), func() { finish(r, true) }) }
		w.deliver(n, in(id))
	})
}

// scheduleUsers submit, poll and cancel.
func (w *Simulator) scheduleUsers() {
	for i := 0; i < w.options.Jobs; i++ {
		s := w.randomJob()
		if w.options.ZonePinnedJobs {
			s.Zone, s.Spread, s.OneZone = zones[w.rng.IntN(3)], false, w.chance(0.5)
		}
		if w.options.PriorityClasses {
			s = w.uniformJob()
		}
		at := w.randomDuration(0, w.options.Duration*2/3)
		w.schedule(at, func() { w.runUser(s) })
	}
	for range w.options.FailingJobs {
		s := w.randomJob()
		s.Dependencies, s.Service = nil, w.chance(0.2)
		w.Checker.failingJobs[s.ID] = &failingJob{}
		w.schedule(w.randomDuration(0, w.options.Duration/3), func() { w.runUser(s) })
	}
	for range w.options.Pipelines {
		w.schedule(w.randomDuration(w.pipelinesStartAt(), w.options.Duration*2/3), w.submitPipeline)
	}
	for i := range w.options.SingleTaskJobs {
		s := w.randomJob()
		s.Service, s.Tasks, s.OneZone, s.Spread = false, 1, false, false
		w.schedule(10*time.Second+time.Duration(i)*250*time.Millisecond, func() { w.runUser(s) })
	}
	var stranger func()
	stranger = func() { // asks about jobs that nobody submitted
		id := fmt.Sprintf("wk-x%05d", w.rng.IntN(100000))
		w.pollOnce(w.nodes[w.rng.IntN(len(w.nodes))], credentialOf(rootUser), id, func() {})
		w.schedule(5*time.Second, stranger)
	}
	w.schedule(time.Second, stranger)
}

func (w *Simulator) checkJobResponse(
	by core.Credential,
	began time.Duration,
	verb, id string,
	r core.Response,
	ok bool,
) string {
	if !ok {
		w.Checker.CheckResponsive(began, w.now, id, wire.StatusNoAnswer)
	}
	if !ok || !w.checkPermission(by, began, verb, id, r.Status) {
		return ""
	}
	st, _ := r.Body.(wire.JobState)
	w.Checker.CheckResponsive(began, w.now, id, r.Status)
	before := w.Checker.userViewOf(id)
	w.Checker.CheckResponse(began, w.now, verb, id, r.Status, st.Stage)
	if w.now < w.eagerPollsUntil && w.Checker.userViewOf(id) != before {
		w.pollEagerly(by, id)
	}
	return st.Stage
}

func (w *Simulator) nowUnixMS() int64 { return startUnixMS + w.now.Milliseconds() }

// submitOnce sends a submission to a controller.
func (w *Simulator) submitOnce(n *node, in core.SubmitJob, then func(r core.Response, ok bool)) {
	began := w.now
	w.sendRequest(n, 5*time.Second, func(r uint64) core.Input {
		in.RequestID, in.UnixMS = r, w.nowUnixMS()
		return in
	}, func(r core.Response, ok bool) {
		w.checkJobResponse(in.Caller, began, "submit", in.ID, r, ok)
		then(r, ok)
	})
}

// pollOnce asks a controller about a job.
func (w *Simulator) pollOnce(n *node, by core.Credential, id string, then func()) {
	began := w.now
	w.sendRequest(
		n,
		2*time.Second,
		func(r uint64) core.Input { return core.GetJob{RequestID: r, ID: id, Caller: by} },
		func(r core.Response, ok bool) {
			w.checkJobResponse(by, began, "poll", id, r, ok)
			then()
		},
	)
}

func (w *Simulator) runUser(s wire.JobSpec) { w.runUserThen(s, func() {}) }

// runUserThen is a user who submits a job and goes on with something else once it is accepted.
func (w *Simulator) runUserThen(s wire.JobSpec, accepted func()) {
	if w.Checker.jobs[s.ID] != nil {
		return
	}
	w.Checker.JobSubmitted(s)
	by := w.randomUser()
	pick := func() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }
	over := false
	var submit, poll, cancel func()
	submit = func() {
		for range 3 {
			if w.now < w.eagerPollsUntil && w.chance(0.3) { // an impatient user
				w.schedule(w.randomDuration(0, 300*time.Millisecond), func() { w.resubmit(pick(), by, s) })
			}
		}
		w.submitOnce(pick(), core.SubmitJob{ID: s.ID, Spec: s, Caller: by},
			func(r core.Response, ok bool) {
				if !ok || r.Status != wire.StatusOK && r.Status != wire.StatusCreated {
					w.schedule(time.Second, submit)
					return
				}
				accepted()
				w.schedule(w.randomDuration(time.Second, 5*time.Second), poll)
				if w.Checker.failingJobs[s.ID] != nil { // it is long until somebody looks
					w.schedule(w.randomDuration(60*time.Second, 150*time.Second), cancel)
				} else if s.Service || w.chance(0.25) {
					w.schedule(w.randomDuration(time.Second, 60*time.Second), cancel)
				}
				if w.chance(0.3) { // a late repeat, with another body
					w.schedule(w.randomDuration(time.Second, 50*time.Second), func() {
						w.submitOnce(
							pick(),
							core.SubmitJob{ID: s.ID, DecodeError: "nonsense", Caller: by},
							func(core.Response, bool) {},
						)
					})
				}
			})
	}
	poll = func() {
		w.pollOnce(pick(), by, s.ID, func() {
			if !over || w.chance(0.5) {
				w.schedule(5*time.Second, poll)
			}
		})
	}
	cancel = func() {
		w.Checker.CancelRequested(s.ID)
		began := w.now
		w.sendRequest(pick(), 5*time.Second, func(r uint64) core.Input {
			return core.CancelJob{RequestID: r, ID: s.ID, UnixMS: w.nowUnixMS(), Caller: by}
		},
			func(r core.Response, ok bool) {
				w.checkJobResponse(by, began, "cancel", s.ID, r, ok)
				if !ok || r.Status != wire.StatusOK {
					w.schedule(time.Second, cancel)
					return
				}
				over = true
			})
	}
	submit()
}
