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

	members int // the number of controllers in its settings, itself included

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
	copies         map[copyKind]int // late copies that reached their receiver

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
	sim := &Simulator{
		options:              options,
		rng:                  rand.New(rand.NewPCG(options.Seed, 77)),
		partitioned:          map[[2]string]bool{},
		queuedMessages:       map[[2]string][]func(){},
		copies:               map[copyKind]int{},
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
	quotas := sim.createTeams()
	sim.Checker = NewChecker(options.CancelTimeout, quotas)
	sim.auditChecker = newAuditChecker(sim.Checker, func() time.Duration { return sim.now })
	sim.store = newFakeStore(sim)
	sim.cloud = newFakeCloud(sim)
	sim.reservations = newReservationChecker(sim)
	sim.queueOrder = newQueueOrderChecker(sim)
	for i := range options.Controllers {
		clockOffset := time.Duration(sim.rng.IntN(5000)) * time.Millisecond
		sim.nodes = append(sim.nodes, &node{
			name:        fmt.Sprintf("n%d", i),
			clockOffset: clockOffset,
			members:     options.Controllers,
		})
	}
	if options.RollingUpgrade {
		sim.scheduleRollingUpgrade()
	}
	if options.MixedVersions {
		sim.nodes[options.Seed%uint64(options.Controllers)].bootsPrevious = true
	}
	if options.InitialMembers > 0 {
		sim.scheduleGrowth()
	}
	for _, n := range sim.nodes {
		if !n.down {
			sim.boot(n)
		}
	}
	return sim
}

// createTeams creates two teams, and returns the CPU and memory quotas of those that have one.
func (s *Simulator) createTeams() map[string][2]int64 {
	maxCPU := 40000 * int64(s.options.MaxTasksPerJob) / defaultMaxTasksPerJob // thousandths of a core
	s.teams = []core.Team{{Name: "t0"}, {Name: "t1", ReservedCPU: maxCPU * 2 / 5, MaxCPU: maxCPU}}
	quotas := map[string][2]int64{"t1": {maxCPU, 0}}
	if s.options.QuotaLimited {
		s.teams[0].MaxCPU = maxCPU
		quotas["t0"] = [2]int64{maxCPU, 0}
	}
	return quotas
}

// schedule runs a function after a delay in simulated time.
func (s *Simulator) schedule(delay time.Duration, run func()) {
	s.events.Add(s.now+delay, run)
}

// chance draws true with a probability.
func (s *Simulator) chance(probability float64) bool { return s.rng.Float64() < probability }

// randomDuration draws a duration between two, both included.
func (s *Simulator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

// Run runs the simulation to its end, or to the first violation.
func (s *Simulator) Run() {
	s.scheduleWorkload()
	s.scheduleFaultPlan()
	if s.Checker.faultFreeFrom != 0 {
		s.schedule(s.Checker.faultFreeFrom, s.checkStarvation)
	}
	for {
		at, run, ok := s.events.PopUntil(s.options.Duration)
		if !ok {
			break
		}
		s.now = at
		run()
		s.Checker.Tick(s.now)
		if len(s.Checker.Violations) > 0 {
			return
		}
	}
	s.checkFinalState()
}

// scheduleWorkload schedules all actions of users.
func (s *Simulator) scheduleWorkload() {
	s.scheduleUsers()
	if s.options.Permissions {
		s.schedulePermissionChanges()
	}
	if s.options.AuditLog {
		s.scheduleAuditReaders()
	}
	if s.options.ReservationUsers > 0 {
		s.scheduleReservationUsers()
	}
}

// scheduleFaultPlan schedules the kind of faults that the options ask for.
func (s *Simulator) scheduleFaultPlan() {
	switch {
	case s.options.PriorityClasses:
		if !s.options.NoFaults {
			s.scheduleCrashes()
		}
	case s.options.OverlappingFaults:
		s.scheduleOverlappingFaults()
	case !s.options.NoFaults:
		s.scheduleFaults()
	}
}

// checkFinalState checks what must be true at the end.
func (s *Simulator) checkFinalState() {
	s.Checker.Finish(s.now)
	if s.options.PriorityClasses {
		s.queueOrder.checkOvertaking()
	}
	s.checkJobsStored()
	if s.options.AuditLog {
		s.auditChecker.Finish(s.store.keys)
	}
}

// boot starts a controller's process.
func (s *Simulator) boot(n *node) {
	n.incarnation++
	n.down, n.runsPrevious = false, n.bootsPrevious
	n.startedAt = s.now
	n.pendingRequests = map[uint64]func(core.Response){}
	n.core = core.New(s.coreConfig(n), 0, s.rng.Uint64())
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || n.down {
			return
		}
		s.deliver(n, core.WallClock{UnixMS: s.nowUnixMS() + int64(n.clockOffset/time.Second)})
		s.schedule(50*time.Millisecond, tick)
	}
	s.schedule(time.Millisecond, tick)
}

// crash ends a controller's process, which restarts after a random time.
func (s *Simulator) crash(n *node) {
	downtime := s.randomDuration(time.Second, 6*time.Second)
	if s.options.FlappingProcesses || s.options.OverlappingFaults && s.chance(0.5) {
		downtime = s.randomDuration(0, 900*time.Millisecond)
	}
	s.crashFor(n, downtime)
}

// crashFor ends a controller's process, which restarts after downtime.
func (s *Simulator) crashFor(n *node, downtime time.Duration) {
	n.down = true
	n.incarnation++
	n.core = nil
	s.schedule(downtime, func() {
		if n.down {
			s.boot(n)
		}
	})
}

// crashSoon crashes a controller around a request that it is about to send to the store: before the request is
// executed, or before its response arrives.
func (s *Simulator) crashSoon(n *node, during string) {
	incarnation := n.incarnation
	s.schedule(s.randomDuration(0, 12*time.Millisecond), func() {
		if n.incarnation == incarnation && !n.down {
			s.Trace("%v crash %s during %s", s.now, n.name, during)
			s.crash(n)
		}
	})
}

// deliver hands an input to a controller's core and carries out the outputs. While the process is paused, inputs
// wait in their order.
func (s *Simulator) deliver(n *node, in core.Input) {
	if n.down {
		return
	}
	if s.now < n.pausedUntil {
		incarnation := n.incarnation
		s.schedule(n.pausedUntil-s.now, func() {
			if n.incarnation == incarnation {
				s.deliver(n, in)
			}
		})
		return
	}
	// The monotonic clock may run fast by up to 0.05%.
	uptime := time.Duration(float64(s.now-n.startedAt) * (1 + 0.0005*float64(n.clockOffset)/float64(5*time.Second)))
	n.core.Handle(uptime, s.asUnderstoodBy(n, in))
	for _, output := range n.core.Advance(uptime) {
		s.performOutput(n, output)
	}
}

// nowUnixMS returns the true wall clock.
func (s *Simulator) nowUnixMS() int64 { return startUnixMS + s.now.Milliseconds() }
