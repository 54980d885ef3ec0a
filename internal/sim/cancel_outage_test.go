package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// outageScenario is a combination of faults around cancellations: a fault keeps some controllers from learning of the
// cancellations, others acknowledge them to users, and then the store is down for all controllers, for longer than the
// cancel timeout. leaderFirst lists all controllers, beginning with the leader.
type outageScenario struct {
	nodes          int
	adjustOptions  func(options *Options)
	beforeCancel   func(sim *Simulator, leaderFirst []*node) // called 1.5 s before the cancellations
	cancel         func(sim *Simulator, id string, leaderFirst []*node)
	onCancelAcked  func(sim *Simulator, n *node) // called right after n acknowledged a cancellation
	outage         time.Duration                 // 0: 70 s
	duringOutage   func(sim *Simulator, leaderFirst []*node)
	delayedCommits bool // half of the transactions around the cancellations are executed 2 to 5 s late
	tasksMayEnd    bool // tasks that are not cancelled may end, as no majority of controllers is loaded
}

const (
	cancellationTime      = 60 * time.Second // when users begin to cancel
	defaultScenarioOutage = 70 * time.Second
	scenarioJobs          = 12 // jobs with odd numbers are cancelled
	scenarioTasks         = 3  // tasks of each
)

// requestUntil repeats a user's request until a response satisfies a condition, and then calls then with the controller
// that sent the response.
func (s *Simulator) requestUntil(
	pick func() *node,
	newInput func(requestID uint64) core.Input,
	verb, id string,
	satisfies func(response core.Response) bool,
	then func(n *node),
) {
	var attempt func()
	attempt = func() {
		sentAt, target := s.now, pick()
		s.sendRequest(target, 3*time.Second, newInput, func(response core.Response, ok bool) {
			s.checkJobResponse(core.Credential{}, sentAt, verb, id, response, ok)
			if !ok || !satisfies(response) {
				s.schedule(500*time.Millisecond, attempt)
				return
			}
			then(target)
		})
	}
	attempt()
}

// hasStage returns the condition that a response reports a stage of the job.
func hasStage(stage string) func(core.Response) bool {
	return func(response core.Response) bool {
		state, _ := response.Body.(wire.JobState)
		return response.Status == wire.StatusOK && state.Stage == stage
	}
}

// isAccepted reports whether a submission was accepted.
func isAccepted(response core.Response) bool {
	return response.Status == wire.StatusOK || response.Status == wire.StatusCreated
}

// randomNodeExcept returns a function that draws one of the other controllers.
func (s *Simulator) randomNodeExcept(excluded []*node) func() *node {
	var nodes []*node
	for _, n := range s.nodes {
		if !slices.Contains(excluded, n) {
			nodes = append(nodes, n)
		}
	}
	return func() *node { return nodes[s.rng.IntN(len(nodes))] }
}

func (s *Simulator) submitUntilAccepted(pick func() *node, spec wire.JobSpec) {
	s.Checker.JobSubmitted(spec)
	s.requestUntil(pick, func(requestID uint64) core.Input {
		return core.SubmitJob{RequestID: requestID, ID: spec.ID, Spec: spec, UnixMS: s.nowUnixMS()}
	}, "submit", spec.ID, isAccepted, func(*node) {})
}

func (s *Simulator) cancelUntilAcked(pick func() *node, id string, acked func(*node)) {
	s.Checker.CancelRequested(id)
	s.requestUntil(pick, func(requestID uint64) core.Input {
		return core.CancelJob{RequestID: requestID, ID: id, UnixMS: s.nowUnixMS()}
	}, "cancel", id, hasStage(wire.StageCancelled), acked)
}

func (s *Simulator) pollUntilCancelled(pick func() *node, id string, acked func(*node)) {
	s.requestUntil(pick, func(requestID uint64) core.Input {
		return core.GetJob{RequestID: requestID, ID: id}
	}, "poll", id, hasStage(wire.StageCancelled), acked)
}

// outageRun is one run of a scenario.
type outageRun struct {
	t            *testing.T
	sim          *Simulator
	scenario     outageScenario
	leaderFirst  []*node           // all controllers, as of 1.5 s before the cancellations
	placement    map[string]string // of the tasks that nobody cancels, at the same time
	ackedCancels int               // number of acknowledged cancellations
}

// runOutageScenario runs a scenario and checks that cancelled tasks stop in time and that all others keep running.
func runOutageScenario(t *testing.T, seed uint64, scenario outageScenario) {
	t.Helper()
	options := Options{
		Seed: seed, Duration: 260 * time.Second, NoFaults: true, Controllers: scenario.nodes, MaxMachines: 20,
	}
	if scenario.adjustOptions != nil {
		scenario.adjustOptions(&options)
	}
	if scenario.outage == 0 {
		scenario.outage = defaultScenarioOutage
	}
	run := &outageRun{t: t, sim: New(options), scenario: scenario}
	if !options.MixedVersions { // the previous version does not support dependencies
		run.scheduleDependents()
	}
	run.scheduleSubmissions()
	run.scheduleCancellations()
	run.scheduleOutage()
	run.sim.Run()
	for _, violation := range run.sim.Checker.Violations {
		t.Errorf("seed %d at %v: %s", seed, run.sim.now, violation)
	}
	if scenario.cancel == nil && run.ackedCancels != scenarioJobs/2 {
		t.Errorf("%d cancellations were acknowledged", run.ackedCancels)
	}
}

// scenarioJobID returns the ID of a job.
func scenarioJobID(i int) string { return fmt.Sprintf("wk-%06d", i) }

// scheduleDependents submits jobs that depend on cancelled ones, and must be cancelled with them.
func (r *outageRun) scheduleDependents() {
	for i := 1; i < scenarioJobs; i += 4 {
		spec := wire.JobSpec{
			ID:           fmt.Sprintf("wk-1%05d", i),
			Class:        "c",
			Team:         "t0",
			Tasks:        1,
			Request:      [3]int64{1000, 0, 1000},
			Dependencies: []string{scenarioJobID(i)},
		}
		r.sim.schedule(30*time.Second, func() { r.sim.runUser(spec) })
	}
}

// scheduleSubmissions submits services.
func (r *outageRun) scheduleSubmissions() {
	sim := r.sim
	for i := range scenarioJobs {
		spec := wire.JobSpec{
			ID:      scenarioJobID(i),
			Class:   "c",
			Team:    "t0",
			Service: true,
			Tasks:   scenarioTasks,
			Request: [3]int64{1000, 0, 1000},
			Spread:  i%2 == 0,
		}
		sim.schedule(sim.randomDuration(5*time.Second, 15*time.Second), func() {
			sim.submitUntilAccepted(sim.randomNodeExcept(nil), spec)
		})
	}
}

// uncancelledPlacement returns, by task, the machine and incarnation of the tasks that nobody cancels.
func (r *outageRun) uncancelledPlacement() map[string]string {
	placement := map[string]string{}
	for i := 0; i < scenarioJobs; i += 2 {
		for task := range scenarioTasks {
			name := wire.TaskName(scenarioJobID(i), task)
			for machine := range r.sim.Checker.runningOn[name] {
				placement[name] = fmt.Sprint(machine, " ", r.sim.cloud.find(machine).incarnation)
			}
		}
	}
	return placement
}

// scheduleCancellations injects the scenario's first fault and then cancels every other job.
func (r *outageRun) scheduleCancellations() {
	sim := r.sim
	sim.schedule(cancellationTime-1500*time.Millisecond, func() {
		r.placement = r.uncancelledPlacement()
		r.leaderFirst = []*node{sim.leaderNode()}
		for _, n := range sim.nodes {
			if n != r.leaderFirst[0] {
				r.leaderFirst = append(r.leaderFirst, n)
			}
		}
		r.scenario.beforeCancel(sim, r.leaderFirst)
	})
	sim.schedule(cancellationTime, func() {
		for i := 1; i < scenarioJobs; i += 2 {
			sim.schedule(sim.randomDuration(0, time.Second), func() { r.cancel(scenarioJobID(i)) })
		}
	})
}

// cancel cancels a job as the scenario specifies; by default at a controller other than the leader, until it is
// acknowledged.
func (r *outageRun) cancel(id string) {
	sim := r.sim
	if r.scenario.cancel != nil {
		r.scenario.cancel(sim, id, r.leaderFirst)
		return
	}
	sim.cancelUntilAcked(sim.randomNodeExcept(r.leaderFirst[:1]), id, func(n *node) {
		r.ackedCancels++
		if r.scenario.onCancelAcked != nil {
			r.scenario.onCancelAcked(sim, n)
		}
	})
}

// scheduleOutage begins an outage of the store after the cancellations. At its end the tasks that nobody cancelled must
// be where they were.
func (r *outageRun) scheduleOutage() {
	sim, scenario := r.sim, r.scenario
	if scenario.delayedCommits {
		sim.commitDelay = func(wire.Txn) time.Duration {
			if sim.now < cancellationTime || sim.now > cancellationTime+5*time.Second || sim.chance(0.5) {
				return 0
			}
			return sim.randomDuration(2*time.Second, 5*time.Second)
		}
	}
	sim.schedule(cancellationTime+2*time.Second, func() { sim.store.startOutage(scenario.outage) })
	sim.schedule(cancellationTime+scenario.outage, r.checkPlacementUnchanged)
	if scenario.duringOutage != nil {
		sim.schedule(cancellationTime+2*time.Second, func() { scenario.duringOutage(sim, r.leaderFirst) })
	}
}

// checkPlacementUnchanged checks that all tasks that nobody cancelled ran, and that the outage ended none of them.
func (r *outageRun) checkPlacementUnchanged() {
	placement := r.uncancelledPlacement()
	if len(r.placement) != scenarioJobs/2*scenarioTasks {
		r.t.Errorf("%d tasks ran", len(r.placement))
	}
	for task, machine := range r.placement {
		if placement[task] != machine && !r.scenario.tasksMayEnd {
			r.t.Errorf("%s ran on %s and is on %q: an outage of the store alone ended it",
				task, machine, placement[task])
		}
	}
}

// refuseNodes returns a fault in which the store refuses the first controllers.
func refuseNodes(count int) func(sim *Simulator, leaderFirst []*node) {
	return func(sim *Simulator, leaderFirst []*node) {
		for _, n := range leaderFirst[:count] {
			sim.store.refuseNode(n.name, 14*time.Second)
		}
	}
}

// isolateLeader returns a fault that partitions the leader from the store, and from its peers too if fromPeers is set.
func isolateLeader(duration time.Duration, fromPeers bool) func(sim *Simulator, leaderFirst []*node) {
	return func(sim *Simulator, leaderFirst []*node) {
		sim.isolate(leaderFirst[0].name, duration, true, fromPeers, false)
	}
}

// pollAfterLostCancel cancels a job and ignores the response; the user learns of the cancellation by polling.
func pollAfterLostCancel(sim *Simulator, id string, leaderFirst []*node) {
	pick := sim.randomNodeExcept(leaderFirst[:1])
	sim.Checker.CancelRequested(id)
	sim.sendRequest(pick(), time.Second, func(requestID uint64) core.Input {
		return core.CancelJob{RequestID: requestID, ID: id, UnixMS: sim.nowUnixMS()}
	}, func(core.Response, bool) {})
	sim.schedule(300*time.Millisecond, func() { sim.pollUntilCancelled(pick, id, func(*node) {}) })
}

// hangMachinesPastCancelTimeout suspends machines with cancelled tasks until after the cancel timeout.
func hangMachinesPastCancelTimeout(sim *Simulator, leaderFirst []*node) {
	sim.store.refuseNode(leaderFirst[0].name, 14*time.Second)
	for _, name := range []string{"wk-000001/0", "wk-000003/1"} {
		for machine := range sim.Checker.runningOn[name] {
			sim.cloud.find(machine).hangFor(65 * time.Second)
		}
	}
}

// The store refuses one controller, the others acknowledge cancellations to users, and then the store is down for all
// controllers. This guards against a refused controller that renews the leases of machines with cancelled tasks
// throughout: it has not learned of the cancellations, and an outage for all controllers allows it to serve agents
// without a lease of its own.
func TestCancelledTasksStopWhenOutageFollowsRefusal(t *testing.T) {
	for name, scenario := range map[string]outageScenario{
		"three": {beforeCancel: refuseNodes(1)},
		"five":  {nodes: 5, beforeCancel: refuseNodes(1)},
		"not the leader": {
			beforeCancel: func(sim *Simulator, leaderFirst []*node) {
				sim.store.refuseNode(leaderFirst[1].name, 14*time.Second)
			},
		},
		"two of five": {nodes: 5, beforeCancel: refuseNodes(2)},
		"two of three": {
			beforeCancel: refuseNodes(2),
			cancel: func(sim *Simulator, id string, leaderFirst []*node) {
				sim.cancelUntilAcked(sim.randomNodeExcept(leaderFirst[:2]), id, func(*node) {})
			},
		},
		"reads of changes": {
			beforeCancel: func(sim *Simulator, leaderFirst []*node) {
				sim.store.stalledWatches[leaderFirst[0].name] = true
			},
		},
		"held packets":       {beforeCancel: isolateLeader(14*time.Second, false)},
		"told by a question": {beforeCancel: refuseNodes(1), cancel: pollAfterLostCancel},
		"the teller ends":    {beforeCancel: refuseNodes(1), onCancelAcked: (*Simulator).crashIfUp, tasksMayEnd: true},
		"the teller ends and is back at once": {
			beforeCancel:  refuseNodes(1),
			adjustOptions: func(o *Options) { o.FlappingProcesses = true },
			onCancelAcked: (*Simulator).crashIfUp,
			tasksMayEnd:   true,
		},
		"the blind one stands still": {
			beforeCancel: refuseNodes(1),
			duringOutage: func(sim *Simulator, leaderFirst []*node) {
				for at := time.Duration(0); at < 60*time.Second; at += 9 * time.Second {
					sim.schedule(at, func() { leaderFirst[0].pausedUntil = sim.now + 7*time.Second })
				}
			},
		},
		"the teller stands still": {
			beforeCancel:  refuseNodes(1),
			onCancelAcked: func(sim *Simulator, n *node) { n.pausedUntil = max(n.pausedUntil, sim.now+8*time.Second) },
		},
		"executed late": {beforeCancel: refuseNodes(1), delayedCommits: true},
		"beside production": {
			beforeCancel:  refuseNodes(1),
			adjustOptions: func(o *Options) { o.MixedVersions = true },
		},
		"five, beside production": {
			nodes:         5,
			beforeCancel:  refuseNodes(2),
			adjustOptions: func(o *Options) { o.MixedVersions = true },
		},
		"times near each other": {
			beforeCancel:  refuseNodes(1),
			adjustOptions: func(o *Options) { o.CancelTimeout, o.WorkerLease = 26*time.Second, 20*time.Second },
		},
		"machines hang":                  {beforeCancel: hangMachinesPastCancelTimeout, tasksMayEnd: true},
		"cut from state and controllers": {beforeCancel: isolateLeader(90*time.Second, true), tasksMayEnd: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				runOutageScenario(t, seed, scenario)
			}
		})
	}
}

// A start command is delayed, its job is cancelled, and then the store is down, so that no higher fencing token can
// be obtained: the command arrives after the cancel timeout. Only the end of the agent's incarnation prevents its
// execution.
func TestDelayedStartOfCancelledTaskIsIgnored(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		sim := New(Options{Seed: seed, Duration: 200 * time.Second, NoFaults: true})
		spec := wire.JobSpec{
			ID:      "wk-000001",
			Class:   "c",
			Team:    "t0",
			Service: true,
			Tasks:   2,
			Request: [3]int64{1000, 0, 1000},
		}
		first := spec
		first.ID = "wk-000000" // so that there are machines with free capacity
		delayed := 0
		sim.commandDelay = func(commands core.SendCommands) time.Duration {
			for _, command := range commands.Batch.Commands {
				if id, _, _ := wire.SplitTaskName(command.Task); id == spec.ID && command.Op == wire.OpStart {
					delayed++
					return 55 * time.Second
				}
			}
			return 0
		}
		ackedAt := time.Duration(0)
		sim.schedule(5*time.Second, func() { sim.submitUntilAccepted(sim.randomNodeExcept(nil), first) })
		sim.schedule(50*time.Second, func() { sim.submitUntilAccepted(sim.randomNodeExcept(nil), spec) })
		sim.schedule(51*time.Second, func() {
			sim.cancelUntilAcked(sim.randomNodeExcept(nil), spec.ID, func(*node) {
				ackedAt = sim.now
				sim.store.startOutage(75 * time.Second)
			})
		})
		sim.Run()
		if len(sim.Checker.Violations) > 0 || delayed == 0 || ackedAt == 0 || ackedAt > 53*time.Second {
			t.Errorf("seed %d: violations %v, %d starts delayed, cancellation acknowledged at %v",
				seed, sim.Checker.Violations, delayed, ackedAt)
		}
	}
}
