package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"slices"
	"testing"
	"time"
)

// outageScenario is a meeting of troubles around cancellations: something keeps a controller from
// the news of them, others tell users of them, and then the state service is down for all, for
// longer than the time in which cancelled tasks must be gone.
type outageScenario struct {
	nodes          int
	adjustOptions  func(o *Options)
	beforeCancel   func(w *Simulator, blind []*node) // 1.5 s before the cancellations; blind is the leader first
	cancel         func(w *Simulator, id string, blind []*node)
	onCancelTold   func(w *Simulator, teller *node) // right after a user was told
	outage         time.Duration                    // 0: 70 s
	duringOutage   func(w *Simulator, blind []*node)
	delayedCommits bool // transactions are executed 2 to 5 s late meanwhile
	workMayDie     bool // work that is not cancelled may die: there is no loaded majority
}

const cancellationTime = 60 * time.Second

// requestUntil repeats a request of a user to controllers of a choice until it is answered so.
func (w *Simulator) requestUntil(
	pick func() *node,
	in func(req uint64) core.Input,
	verb, id string,
	ok func(r core.Response) bool,
	then func(n *node),
) {
	var try func()
	try = func() {
		began, n := w.now, pick()
		w.sendRequest(n, 3*time.Second, in, func(r core.Response, got bool) {
			w.checkJobResponse(core.Credential{}, began, verb, id, r, got)
			if !got || !ok(r) {
				w.schedule(500*time.Millisecond, try)
				return
			}
			then(n)
		})
	}
	try()
}

func hasStage(stage string) func(core.Response) bool {
	return func(r core.Response) bool {
		st, _ := r.Body.(wire.JobState)
		return r.Status == wire.StatusOK && st.Stage == stage
	}
}

// randomNodeExcept chooses among the controllers but some.
func (w *Simulator) randomNodeExcept(but []*node) func() *node {
	var list []*node
	for _, n := range w.nodes {
		if !slices.Contains(but, n) {
			list = append(list, n)
		}
	}
	return func() *node { return list[w.rng.IntN(len(list))] }
}

func (w *Simulator) submitUntilAccepted(pick func() *node, s wire.JobSpec) {
	w.Checker.JobSubmitted(s)
	w.requestUntil(pick, func(r uint64) core.Input {
		return core.SubmitJob{RequestID: r, ID: s.ID, Spec: s, UnixMS: w.nowUnixMS()}
	}, "submit", s.ID, func(r core.Response) bool { return r.Status == wire.StatusOK || r.Status == wire.StatusCreated }, func(*node) {})
}

func (w *Simulator) cancelUntilTold(pick func() *node, id string, told func(*node)) {
	w.Checker.CancelRequested(id)
	w.requestUntil(pick, func(r uint64) core.Input {
		return core.CancelJob{RequestID: r, ID: id, UnixMS: w.nowUnixMS()}
	}, "cancel", id, hasStage(wire.StageCancelled), told)
}

func (w *Simulator) pollUntilCancelled(pick func() *node, id string, told func(*node)) {
	w.requestUntil(
		pick,
		func(r uint64) core.Input { return core.GetJob{RequestID: r, ID: id} },
		"poll",
		id,
		hasStage(wire.StageCancelled),
		told,
	)
}

// runOutageScenario plays a meeting, and checks both sides: cancelled tasks are gone in time, and all others run on.
func runOutageScenario(t *testing.T, seed uint64, g outageScenario) {
	t.Helper()
	o := Options{Seed: seed, Duration: 260 * time.Second, NoFaults: true, Controllers: g.nodes, MaxMachines: 20}
	if g.adjustOptions != nil {
		g.adjustOptions(&o)
	}
	if g.outage == 0 {
		g.outage = 70 * time.Second
	}
	w := New(o)
	const jobs = 12
	for i := 1; i < jobs; i += 4 { // jobs that await cancelled ones are called cancelled with them
		s := wire.JobSpec{
			ID:           fmt.Sprintf("wk-1%05d", i),
			Class:        "c",
			Team:         "t0",
			Tasks:        1,
			Request:      [3]int64{1000, 0, 1000},
			Dependencies: []string{fmt.Sprintf("wk-%06d", i)},
		}
		if o.MixedVersions {
			break
		}
		w.schedule(30*time.Second, func() { w.runUser(s) })
	}
	spec := func(i int) wire.JobSpec {
		return wire.JobSpec{
			ID:      fmt.Sprintf("wk-%06d", i),
			Class:   "c",
			Team:    "t0",
			Service: true,
			Tasks:   3,
			Request: [3]int64{1000, 0, 1000},
			Spread:  i%2 == 0,
		}
	}
	for i := range jobs {
		s := spec(i)
		w.schedule(
			w.randomDuration(5*time.Second, 15*time.Second),
			func() { w.submitUntilAccepted(w.randomNodeExcept(nil), s) },
		)
	}
	var where map[string]string
	on := func() map[string]string {
		out := map[string]string{}
		for i := 0; i < jobs; i += 2 { // those that nobody cancels
			for k := range 3 {
				name := wire.TaskName(fmt.Sprintf("wk-%06d", i), k)
				for m := range w.Checker.runningOn[name] {
					out[name] = fmt.Sprint(m, " ", w.cloud.find(m).incarnation)
				}
			}
		}
		return out
	}
	told := 0
	var blind []*node
	w.schedule(cancellationTime-1500*time.Millisecond, func() {
		where = on()
		blind = []*node{w.leaderNode()}
		for _, n := range w.nodes {
			if n != blind[0] {
				blind = append(blind, n)
			}
		}
		g.beforeCancel(w, blind)
	})
	w.schedule(cancellationTime, func() {
		for i := 1; i < jobs; i += 2 {
			id := fmt.Sprintf("wk-%06d", i)
			w.schedule(w.randomDuration(0, time.Second), func() {
				if g.cancel != nil {
					g.cancel(w, id, blind)
					return
				}
				w.cancelUntilTold(w.randomNodeExcept(blind[:1]), id, func(n *node) {
					told++
					if g.onCancelTold != nil {
						g.onCancelTold(w, n)
					}
				})
			})
		}
	})
	if g.delayedCommits {
		w.commitDelay = func(wire.Txn) time.Duration {
			if w.now < cancellationTime || w.now > cancellationTime+5*time.Second || w.chance(0.5) {
				return 0
			}
			return w.randomDuration(2*time.Second, 5*time.Second)
		}
	}
	w.schedule(cancellationTime+2*time.Second, func() { w.store.startOutage(g.outage) })
	w.schedule(cancellationTime+g.outage, func() {
		now := on()
		if len(where) != jobs/2*3 {
			t.Errorf("%d tasks ran", len(where))
		}
		for k, m := range where {
			if now[k] != m && !g.workMayDie {
				t.Errorf("%s was on %s and is on %q: an outage of the state service alone ended it", k, m, now[k])
			}
		}
	})
	if g.duringOutage != nil {
		w.schedule(cancellationTime+2*time.Second, func() { g.duringOutage(w, blind) })
	}
	w.Run()
	for _, b := range w.Checker.Violations {
		t.Errorf("seed %d at %v: %s", seed, w.now, b)
	}
	if g.cancel == nil && told != jobs/2 {
		t.Errorf("%d cancellations told", told)
	}
}

func refuseNodes(n int) func(w *Simulator, blind []*node) {
	return func(w *Simulator, blind []*node) {
		for _, b := range blind[:n] {
			w.store.refuseNode(b.name, 14*time.Second)
		}
	}
}

// The state service refuses one controller, the others tell users of cancellations, and then it is
// down for all: the refused one renewed the leases of machines with the cancelled tasks throughout,
// as an outage entitled it again.
func TestCancelledTasksStopWhenOutageFollowsRefusal(t *testing.T) {
	for name, g := range map[string]outageScenario{
		"three": {beforeCancel: refuseNodes(1)},
		"five":  {nodes: 5, beforeCancel: refuseNodes(1)},
		"not the leader": {
			beforeCancel: func(w *Simulator, blind []*node) { w.store.refuseNode(blind[1].name, 14*time.Second) },
		},
		"two of five": {nodes: 5, beforeCancel: refuseNodes(2)},
		"two of three": {beforeCancel: refuseNodes(2), cancel: func(w *Simulator, id string, blind []*node) {
			w.cancelUntilTold(w.randomNodeExcept(blind[:2]), id, func(*node) {})
		}},
		"reads of changes": {
			beforeCancel: func(w *Simulator, blind []*node) { w.store.stalledWatches[blind[0].name] = true },
		},
		"held packets": {
			beforeCancel: func(w *Simulator, blind []*node) { w.isolate(blind[0].name, 14*time.Second, true, false, false) },
		},
		"told by a question": {beforeCancel: refuseNodes(1), cancel: func(w *Simulator, id string, blind []*node) {
			pick := w.randomNodeExcept(blind[:1])
			w.Checker.CancelRequested(id)
			w.sendRequest(pick(), time.Second, func(r uint64) core.Input {
				return core.CancelJob{
					RequestID: r,
					ID:        id,
					UnixMS:    w.nowUnixMS(),
				}
			}, func(core.Response, bool) {})
			w.schedule(300*time.Millisecond, func() { w.pollUntilCancelled(pick, id, func(*node) {}) })
		}},
		"the teller ends": {beforeCancel: refuseNodes(1), onCancelTold: func(w *Simulator, n *node) {
			if !n.down {
				w.crash(n)
			}
		}, workMayDie: true},
		"the teller ends and is back at once": {
			beforeCancel:  refuseNodes(1),
			adjustOptions: func(o *Options) { o.FlappingProcesses = true },
			onCancelTold: func(w *Simulator, n *node) {
				if !n.down {
					w.crash(n)
				}
			},
			workMayDie: true,
		},
		"the blind one stands still": {beforeCancel: refuseNodes(1), duringOutage: func(w *Simulator, blind []*node) {
			for at := time.Duration(0); at < 60*time.Second; at += 9 * time.Second {
				w.schedule(at, func() { blind[0].pausedUntil = w.now + 7*time.Second })
			}
		}},
		"the teller stands still": {
			beforeCancel: refuseNodes(1),
			onCancelTold: func(w *Simulator, n *node) { n.pausedUntil = max(n.pausedUntil, w.now+8*time.Second) },
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
		// until after the time in which cancelled tasks must be gone
		"machines hang": {beforeCancel: func(w *Simulator, blind []*node) {
			w.store.refuseNode(blind[0].name, 14*time.Second)
			for _, name := range []string{"wk-000001/0", "wk-000003/1"} {
				for m := range w.Checker.runningOn[name] {
					w.cloud.find(m).hangFor(65 * time.Second)
				}
			}
		}, workMayDie: true},
		"cut from state and controllers": {
			beforeCancel: func(w *Simulator, blind []*node) { w.isolate(blind[0].name, 90*time.Second, true, true, false) },
			workMayDie:   true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				runOutageScenario(t, seed, g)
			}
		})
	}
}

// A start is held up on its way, its job is cancelled, and then the state service is down, so that
// no higher token can be had: the start arrives after the time in which the task must be gone. Only
// the end of the machine's session keeps it from being carried out.
func TestDelayedStartOfCancelledTaskIsIgnored(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		w := New(Options{Seed: seed, Duration: 200 * time.Second, NoFaults: true})
		s := wire.JobSpec{
			ID:      "wk-000001",
			Class:   "c",
			Team:    "t0",
			Service: true,
			Tasks:   2,
			Request: [3]int64{1000, 0, 1000},
		}
		first := s
		first.ID = "wk-000000" // so that there are machines with room
		held := 0
		w.commandDelay = func(o core.SendCommands) time.Duration {
			for _, x := range o.Batch.Commands {
				if id, _, _ := wire.SplitTaskName(x.Task); id == s.ID && x.Op == wire.OpStart {
					held++
					return 55 * time.Second
				}
			}
			return 0
		}
		told := time.Duration(0)
		w.schedule(5*time.Second, func() { w.submitUntilAccepted(w.randomNodeExcept(nil), first) })
		w.schedule(50*time.Second, func() { w.submitUntilAccepted(w.randomNodeExcept(nil), s) })
		w.schedule(51*time.Second, func() {
			w.cancelUntilTold(w.randomNodeExcept(nil), s.ID, func(*node) {
				told = w.now
				w.store.startOutage(75 * time.Second)
			})
		})
		w.Run()
		if len(w.Checker.Violations) > 0 || held == 0 || told == 0 || told > 53*time.Second {
			t.Errorf("seed %d: broken %v, starts held %d, told at %v", seed, w.Checker.Violations, held, told)
		}
	}
}
