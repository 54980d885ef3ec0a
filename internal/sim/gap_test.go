package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// gap is a meeting of troubles around cancellations: something keeps a controller from the news of them, others tell users of them, and
// then the state service is down for all, for longer than the time in which cancelled tasks must be gone.
type gap struct {
	nodes  int
	opt    func(o *Options)
	before func(w *World, blind []*node) // 1.5 s before the cancellations; blind is the leader first
	cancel func(w *World, id string, blind []*node)
	told   func(w *World, teller *node) // right after a user was told
	outage time.Duration                // 0: 70 s
	after  func(w *World, blind []*node)
	late   bool // transactions are executed 2 to 5 s late meanwhile
	dies   bool // work that is not cancelled may die: there is no loaded majority
}

const gapAt = 60 * time.Second

// until repeats a request of a user to controllers of a choice until it is answered so.
func (w *World) until(pick func() *node, in func(req uint64) core.Input, verb, id string, ok func(r core.Reply) bool, then func(n *node)) {
	var try func()
	try = func() {
		began, n := w.now, pick()
		w.ask(n, 3*time.Second, in, func(r core.Reply, got bool) {
			w.answered(core.Cred{}, began, verb, id, r, got)
			if !got || !ok(r) {
				w.after(500*time.Millisecond, try)
				return
			}
			then(n)
		})
	}
	try()
}

func stageIs(stage string) func(core.Reply) bool {
	return func(r core.Reply) bool {
		st, _ := r.Body.(wire.JobState)
		return r.Status == 200 && st.Stage == stage
	}
}

// others chooses among the controllers but some.
func (w *World) others(but []*node) func() *node {
	var list []*node
	for _, n := range w.nodes {
		if !slices.Contains(but, n) {
			list = append(list, n)
		}
	}
	return func() *node { return list[w.rng.IntN(len(list))] }
}

func (w *World) submitAt(pick func() *node, s wire.JobSpec) {
	w.Check.Submitted(s)
	w.until(pick, func(r uint64) core.Input {
		return core.Submit{Req: r, ID: s.ID, Spec: s, UnixMS: w.unixNow()}
	}, "submit", s.ID, func(r core.Reply) bool { return r.Status == 200 || r.Status == 201 }, func(*node) {})
}

func (w *World) cancelAt(pick func() *node, id string, told func(*node)) {
	w.Check.Asked(id)
	w.until(pick, func(r uint64) core.Input {
		return core.Cancel{Req: r, ID: id, UnixMS: w.unixNow()}
	}, "cancel", id, stageIs(wire.StageCancelled), told)
}

func (w *World) pollAt(pick func() *node, id string, told func(*node)) {
	w.until(pick, func(r uint64) core.Input { return core.Poll{Req: r, ID: id} }, "poll", id, stageIs(wire.StageCancelled), told)
}

// playGap plays a meeting, and checks both sides: cancelled tasks are gone in time, and all others run on.
func playGap(t *testing.T, seed uint64, g gap) {
	t.Helper()
	o := Options{Seed: seed, Length: 260 * time.Second, Quiet: true, Nodes: g.nodes, Fleet: 20}
	if g.opt != nil {
		g.opt(&o)
	}
	if g.outage == 0 {
		g.outage = 70 * time.Second
	}
	w := New(o)
	const jobs = 12
	for i := 1; i < jobs; i += 4 { // jobs that await cancelled ones are called cancelled with them
		s := wire.JobSpec{ID: fmt.Sprintf("wk-1%05d", i), Class: "c", Team: "t0", Tasks: 1, Request: [3]int64{1000, 0, 1000}, Dependencies: []string{fmt.Sprintf("wk-%06d", i)}}
		if o.Beside {
			break
		}
		w.after(30*time.Second, func() { w.user(s) })
	}
	spec := func(i int) wire.JobSpec {
		return wire.JobSpec{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "t0", Service: true, Tasks: 3, Request: [3]int64{1000, 0, 1000}, Spread: i%2 == 0}
	}
	for i := range jobs {
		s := spec(i)
		w.after(w.between(5*time.Second, 15*time.Second), func() { w.submitAt(w.others(nil), s) })
	}
	var where map[string]string
	on := func() map[string]string {
		out := map[string]string{}
		for i := 0; i < jobs; i += 2 { // those that nobody cancels
			for k := range 3 {
				name := wire.TaskName(fmt.Sprintf("wk-%06d", i), k)
				for m := range w.Check.on[name] {
					out[name] = fmt.Sprint(m, " ", w.cloud.find(m).session)
				}
			}
		}
		return out
	}
	told := 0
	var blind []*node
	w.after(gapAt-1500*time.Millisecond, func() {
		where = on()
		blind = []*node{w.leaderOf()}
		for _, n := range w.nodes {
			if n != blind[0] {
				blind = append(blind, n)
			}
		}
		g.before(w, blind)
	})
	w.after(gapAt, func() {
		for i := 1; i < jobs; i += 2 {
			id := fmt.Sprintf("wk-%06d", i)
			w.after(w.between(0, time.Second), func() {
				if g.cancel != nil {
					g.cancel(w, id, blind)
					return
				}
				w.cancelAt(w.others(blind[:1]), id, func(n *node) {
					told++
					if g.told != nil {
						g.told(w, n)
					}
				})
			})
		}
	})
	if g.late {
		w.lateWrite = func(wire.Txn) time.Duration {
			if w.now < gapAt || w.now > gapAt+5*time.Second || w.chance(0.5) {
				return 0
			}
			return w.between(2*time.Second, 5*time.Second)
		}
	}
	w.after(gapAt+2*time.Second, func() { w.state.outage(g.outage) })
	w.after(gapAt+g.outage, func() {
		now := on()
		if len(where) != jobs/2*3 {
			t.Errorf("%d tasks ran", len(where))
		}
		for k, m := range where {
			if now[k] != m && !g.dies {
				t.Errorf("%s was on %s and is on %q: an outage of the state service alone ended it", k, m, now[k])
			}
		}
	})
	if g.after != nil {
		w.after(gapAt+2*time.Second, func() { g.after(w, blind) })
	}
	w.Run()
	for _, b := range w.Check.Broken {
		t.Errorf("seed %d at %v: %s", seed, w.now, b)
	}
	if g.cancel == nil && told != jobs/2 {
		t.Errorf("%d cancellations told", told)
	}
}

func refuseBlind(n int) func(w *World, blind []*node) {
	return func(w *World, blind []*node) {
		for _, b := range blind[:n] {
			w.state.refuse(b.name, 14*time.Second)
		}
	}
}

// The state service refuses one controller, the others tell users of cancellations, and then it is down for all: the refused one renewed the
// leases of machines with the cancelled tasks throughout, as an outage entitled it again.
func TestCancelledTasksAreGoneThoughAnOutageFollowsARefusal(t *testing.T) {
	for name, g := range map[string]gap{
		"three":            {before: refuseBlind(1)},
		"five":             {nodes: 5, before: refuseBlind(1)},
		"not the leader":   {before: func(w *World, blind []*node) { w.state.refuse(blind[1].name, 14*time.Second) }},
		"two of five":      {nodes: 5, before: refuseBlind(2)},
		"two of three":     {before: refuseBlind(2), cancel: func(w *World, id string, blind []*node) { w.cancelAt(w.others(blind[:2]), id, func(*node) {}) }},
		"reads of changes": {before: func(w *World, blind []*node) { w.state.stuck[blind[0].name] = true }},
		"held packets":     {before: func(w *World, blind []*node) { w.isolate(blind[0].name, 14*time.Second, true, false, false) }},
		"told by a question": {before: refuseBlind(1), cancel: func(w *World, id string, blind []*node) {
			pick := w.others(blind[:1])
			w.Check.Asked(id)
			w.ask(pick(), time.Second, func(r uint64) core.Input { return core.Cancel{Req: r, ID: id, UnixMS: w.unixNow()} }, func(core.Reply, bool) {})
			w.after(300*time.Millisecond, func() { w.pollAt(pick, id, func(*node) {}) })
		}},
		"the teller ends": {before: refuseBlind(1), told: func(w *World, n *node) {
			if !n.down {
				w.crash(n)
			}
		}, dies: true},
		"the teller ends and is back at once": {before: refuseBlind(1), opt: func(o *Options) { o.Flap = true }, told: func(w *World, n *node) {
			if !n.down {
				w.crash(n)
			}
		}, dies: true},
		"the blind one stands still": {before: refuseBlind(1), after: func(w *World, blind []*node) {
			for at := time.Duration(0); at < 60*time.Second; at += 9 * time.Second {
				w.after(at, func() { blind[0].still = w.now + 7*time.Second })
			}
		}},
		"the teller stands still": {before: refuseBlind(1), told: func(w *World, n *node) { n.still = max(n.still, w.now+8*time.Second) }},
		"executed late":           {before: refuseBlind(1), late: true},
		"beside production":       {before: refuseBlind(1), opt: func(o *Options) { o.Beside = true }},
		"five, beside production": {nodes: 5, before: refuseBlind(2), opt: func(o *Options) { o.Beside = true }},
		"times near each other":   {before: refuseBlind(1), opt: func(o *Options) { o.CancelIn, o.Lease = 26*time.Second, 20*time.Second }},
		"machines hang": {before: func(w *World, blind []*node) { // until after the time in which cancelled tasks must be gone
			w.state.refuse(blind[0].name, 14*time.Second)
			for _, name := range []string{"wk-000001/0", "wk-000003/1"} {
				for m := range w.Check.on[name] {
					w.cloud.find(m).hang(65 * time.Second)
				}
			}
		}, dies: true},
		"cut from state and controllers": {before: func(w *World, blind []*node) { w.isolate(blind[0].name, 90*time.Second, true, true, false) },
			dies: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				playGap(t, seed, g)
			}
		})
	}
}

// A start is held up on its way, its job is cancelled, and then the state service is down, so that no higher token can be had: the start
// arrives after the time in which the task must be gone. Only the end of the machine's session keeps it from being carried out.
func TestHeldStartOfACancelledTaskComesToNothing(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		w := New(Options{Seed: seed, Length: 200 * time.Second, Quiet: true})
		s := wire.JobSpec{ID: "wk-000001", Class: "c", Team: "t0", Service: true, Tasks: 2, Request: [3]int64{1000, 0, 1000}}
		first := s
		first.ID = "wk-000000" // so that there are machines with room
		held := 0
		w.lateOrder = func(o core.Orders) time.Duration {
			for _, x := range o.Body.Commands {
				if id, _, _ := wire.SplitTaskName(x.Task); id == s.ID && x.Op == wire.OpStart {
					held++
					return 55 * time.Second
				}
			}
			return 0
		}
		told := time.Duration(0)
		w.after(5*time.Second, func() { w.submitAt(w.others(nil), first) })
		w.after(50*time.Second, func() { w.submitAt(w.others(nil), s) })
		w.after(51*time.Second, func() {
			w.cancelAt(w.others(nil), s.ID, func(*node) {
				told = w.now
				w.state.outage(75 * time.Second)
			})
		})
		w.Run()
		if len(w.Check.Broken) > 0 || held == 0 || told == 0 || told > 53*time.Second {
			t.Errorf("seed %d: broken %v, starts held %d, told at %v", seed, w.Check.Broken, held, told)
		}
	}
}
