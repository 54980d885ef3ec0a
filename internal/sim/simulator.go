// Package sim is a deterministic, seeded simulation of a cluster for tests: fakes of the store, the cloud, workers,
// users and the network around several cores, and checkers that verify every rule of the scheduler.
//
// The package owns simulated time and all random draws, which depend on Options.Seed only. The order of the draws is
// therefore part of its behaviour: another order changes the digests of the tests. Run never reads the wall clock and
// starts no goroutine.
package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dewlift/core"
	"dewlift/internal/eventqueue"
	"dewlift/wire"
)

// node is a controller and its process.
type node struct {
	name            string
	core            *core.Core // nil while the process is down
	incarnation     int        // counts starts and crashes, so that callbacks of an earlier process do nothing
	down            bool
	clockOffset     time.Duration // of its wall clock from simulated time
	startedAt       time.Duration
	pendingRequests map[uint64]func(core.Response)

	pausedUntil time.Duration // the process is suspended until then; inputs wait

	bootsPrevious bool // its next process runs the previous version
	runsPrevious  bool // its current process runs the previous version
}

// Simulator is one seeded simulation.
type Simulator struct {
	Checker        *Checker
	options        Options
	rng            *rand.Rand
	now            time.Duration
	events         eventqueue.Queue
	nodes          []*node
	store          *fakeStore
	cloud          *fakeCloud
	partitioned    map[[2]string]bool
	queuedMessages map[[2]string][]func()
	lastRequestID  uint64
	teams          []core.Team

	auditChecker *auditChecker
	reservations *reservationChecker
	queueOrder   *queueOrderChecker
	Trace        func(string, ...any)                  // receives log lines of the simulation and its controllers
	OnOutput     func(node string, output core.Output) // receives every output of a controller

	// Hooks that faults set. By default they have no effect.

	// commitDelay is an additional delay before a transaction is executed.
	commitDelay func(txn wire.Txn) time.Duration
	// commitResponseDelay is the delay of the response to an executed transaction; if negative, the response is lost.
	commitResponseDelay func(txn wire.Txn) time.Duration
	// commandDelay is an additional delay of agent commands.
	commandDelay func(commands core.SendCommands) time.Duration
	// onHeartbeat is called with each heartbeat that arrives at a controller.
	onHeartbeat func(heartbeat *wire.Heartbeat)
	// onLastTaskEnding is called when the last task of a job is about to end.
	onLastTaskEnding     func(jobID string)
	inboundBlockedUntil  map[string]time.Duration // by machine: nothing reaches it until then
	outboundBlockedUntil map[string]time.Duration // by machine: its heartbeats are lost until then, commands arrive
	fastBootsUntil       time.Duration            // machines boot within two seconds until then
	eagerPollsUntil      time.Duration            // users poll eagerly until then, see pollEagerly
}

const startUnixMS = int64(1_700_000_000_000) // wall clock at simulated time 0

var zones = []string{"a", "b", "c"}

// New returns a simulation that is ready to run.
func New(options Options) *Simulator {
	options = options.withDefaults()
	w := &Simulator{
		options:              options,
		rng:                  rand.New(rand.NewPCG(options.Seed, 77)),
		partitioned:          map[[2]string]bool{},
		queuedMessages:       map[[2]string][]func(){},
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
	quotas := w.createTeams()
	w.Checker = NewChecker(options.CancelTimeout, quotas)
	w.auditChecker = newAuditChecker(w.Checker, func() time.Duration { return w.now })
	w.store = newFakeStore(w)
	w.cloud = newFakeCloud(w)
	w.reservations = newReservationChecker(w)
	w.queueOrder = newQueueOrderChecker(w)
	for i := range options.Controllers {
		clockOffset := time.Duration(w.rng.IntN(5000)) * time.Millisecond
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("n%d", i), clockOffset: clockOffset})
	}
	if options.RollingUpgrade {
		w.scheduleRollingUpgrade()
	}
	if options.MixedVersions {
		w.nodes[options.Seed%uint64(options.Controllers)].bootsPrevious = true
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

// createTeams creates two teams, and returns the CPU and memory quotas of those that have one.
func (w *Simulator) createTeams() map[string][2]int64 {
	maxCPU := 40000 * int64(w.options.MaxTasksPerJob) / defaultMaxTasksPerJob // thousandths of a core
	w.teams = []core.Team{{Name: "t0"}, {Name: "t1", ReservedCPU: maxCPU * 2 / 5, MaxCPU: maxCPU}}
	quotas := map[string][2]int64{"t1": {maxCPU, 0}}
	if w.options.QuotaLimited {
		w.teams[0].MaxCPU = maxCPU
		quotas["t0"] = [2]int64{maxCPU, 0}
	}
	return quotas
}

// schedule runs a function after a delay in simulated time.
func (w *Simulator) schedule(delay time.Duration, run func()) {
	w.events.Add(w.now+delay, run)
}

// chance draws true with a probability.
func (w *Simulator) chance(probability float64) bool { return w.rng.Float64() < probability }

// randomDuration draws a duration between two, both included.
func (w *Simulator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// Run runs the simulation to its end, or to the first violation.
func (w *Simulator) Run() {
	w.scheduleWorkload()
	w.scheduleFaultPlan()
	if w.Checker.faultFreeFrom != 0 {
		w.schedule(w.Checker.faultFreeFrom, w.checkStarvation)
	}
	for {
		at, run, ok := w.events.PopUntil(w.options.Duration)
		if !ok {
			break
		}
		w.now = at
		run()
		w.Checker.Tick(w.now)
		if len(w.Checker.Violations) > 0 {
			return
		}
	}
	w.checkFinalState()
}

// scheduleWorkload schedules all actions of users.
func (w *Simulator) scheduleWorkload() {
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
}

// scheduleFaultPlan schedules the kind of faults that the options ask for.
func (w *Simulator) scheduleFaultPlan() {
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
}

// checkFinalState checks what must be true at the end.
func (w *Simulator) checkFinalState() {
	w.Checker.Finish(w.now)
	if w.options.PriorityClasses {
		w.queueOrder.checkOvertaking()
	}
	w.checkJobsStored()
	if w.options.AuditLog {
		w.auditChecker.Finish(w.store.keys)
	}
}

// boot starts a controller's process.
func (w *Simulator) boot(n *node) {
	n.incarnation++
	n.down, n.runsPrevious = false, n.bootsPrevious
	n.startedAt = w.now
	n.pendingRequests = map[uint64]func(core.Response){}
	n.core = core.New(w.coreConfig(n), 0, w.rng.Uint64())
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || n.down {
			return
		}
		w.deliver(n, core.WallClock{UnixMS: w.nowUnixMS() + int64(n.clockOffset/time.Second)})
		w.schedule(50*time.Millisecond, tick)
	}
	w.schedule(time.Millisecond, tick)
}

// crash ends a controller's process, which restarts after a random time.
func (w *Simulator) crash(n *node) {
	downtime := w.randomDuration(time.Second, 6*time.Second)
	if w.options.FlappingProcesses || w.options.OverlappingFaults && w.chance(0.5) {
		downtime = w.randomDuration(0, 900*time.Millisecond)
	}
	w.crashFor(n, downtime)
}

// crashFor ends a controller's process, which restarts after downtime.
func (w *Simulator) crashFor(n *node, downtime time.Duration) {
	n.down = true
	n.incarnation++
	n.core = nil
	w.schedule(downtime, func() {
		if n.down {
			w.boot(n)
		}
	})
}

// crashSoon crashes a controller around a request that it is about to send to the store: before the request is
// executed, or before its response arrives.
func (w *Simulator) crashSoon(n *node, during string) {
	incarnation := n.incarnation
	w.schedule(w.randomDuration(0, 12*time.Millisecond), func() {
		if n.incarnation == incarnation && !n.down {
			w.Trace("%v crash %s during %s", w.now, n.name, during)
			w.crash(n)
		}
	})
}

// deliver hands an input to a controller's core and carries out the outputs. While the process is paused, inputs
// wait in their order.
func (w *Simulator) deliver(n *node, in core.Input) {
	if n.down {
		return
	}
	if w.now < n.pausedUntil {
		incarnation := n.incarnation
		w.schedule(n.pausedUntil-w.now, func() {
			if n.incarnation == incarnation {
				w.deliver(n, in)
			}
		})
		return
	}
	// The monotonic clock may run fast by up to 0.05%.
	uptime := time.Duration(float64(w.now-n.startedAt) * (1 + 0.0005*float64(n.clockOffset)/float64(5*time.Second)))
	n.core.Handle(uptime, w.asUnderstoodBy(n, in))
	for _, output := range n.core.Advance(uptime) {
		w.performOutput(n, output)
	}
}

// nowUnixMS returns the true wall clock.
func (w *Simulator) nowUnixMS() int64 { return startUnixMS + w.now.Milliseconds() }
