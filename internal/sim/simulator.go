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

func (w *Simulator) nowUnixMS() int64 { return startUnixMS + w.now.Milliseconds() }
