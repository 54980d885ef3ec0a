package sim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"dewlift/core"
	"dewlift/internal/agenda"
	"dewlift/wire"
)

// Options say how rough a world is.
type Options struct {
	Seed     uint64
	Length   time.Duration
	Jobs     int
	Quiet    bool          // no failures
	CloudBad bool          // the cloud fails more often than not
	Nodes    int           // controllers; 0: 3
	Fleet    int           // the most machines there are; 0: 14
	Tasks    int           // the most tasks of a job; 0: 9
	Upgrade  bool          // begin with the version in production and replace it, and have the limits fall
	Chains   int           // pipelines of jobs that await others
	Rights   bool          // everyone needs a right, and they come and go
	Audit    bool          // what is done is recorded
	Shared   bool          // small jobs share values
	History  bool          // ended jobs move into the archive, nearly at once
	Lanes    bool          // there is a list of lanes, much work of few shapes waits, and controllers end all the time
	Bookers  int           // users who book equipment
	Beside   bool          // one controller is of the version in production throughout
	CancelIn time.Duration // 0: 40 s
	Lease    time.Duration // of a worker; 0: 20 s
	Mistakes int           // jobs whose tasks fail on every machine, until their users cancel them
	Meet     bool          // troubles come in pairs only; then it is calm, and what is forgotten shows
	Pair     []string      // the only troubles that meet; nil: any two of all
	Apart    bool          // tasks run for up to more than a minute: those of a small job end far apart
	AtLimit  bool          // every team has a limit, which its work would exceed
	OneTask  int           // jobs of one task each that come four a second, one after the other; a quarter is cancelled
	InZones  bool          // every job is bound to one zone
	SlowBy   time.Duration // every message takes up to so long; 0: 5 ms
	Flap     bool          // what ends is back within a second, with late copies of what it did; then it is calm, and what is forgotten shows
}

type node struct {
	name  string
	core  *core.Core
	life  int
	down  bool
	slip  time.Duration // its clock began this much off
	began time.Duration
	reqs  map[uint64]func(core.Reply)

	still time.Duration // its process stands still until then

	old    bool // its next process is of the version in production
	ranOld bool // its process is
}

// World is a seeded world.
type World struct {
	Check *Checker
	opt   Options
	rng   *rand.Rand
	now   time.Duration
	queue agenda.Agenda
	nodes []*node
	state *stateService
	cloud *cloudStandIn
	cut   map[[2]string]bool
	held  map[[2]string][]func()
	req   uint64
	teams []core.Team

	recorder *recorder
	booked   *bookings
	order    *order
	Trace    func(string, ...any)

	// How much later a transaction or orders are executed, beside what is late by chance; and what comes of a report.
	lateWrite  func(t wire.Txn) time.Duration
	lateOrder  func(o core.Orders) time.Duration
	lateReport func(r *wire.Heartbeat)
	lateAnswer func(t wire.Txn) time.Duration   // a transaction is executed at once, and its answer so much later; under 0: it is lost
	atEnd      func(id string)                  // the last task of a job is ending at this moment
	deaf       map[string]time.Duration         // machines that nothing reaches until then
	muted      map[string]time.Duration         // machines that reach no controller until then, while orders reach them
	fastBoots  time.Duration                    // until then, machines are up within two seconds
	closeLooks time.Duration                    // until then, users look closely, see looks.go
	Seen       func(node string, o core.Output) // is shown every output of a controller
}

const (
	cancelIn    = 40 * time.Second
	workerLease = 20 * time.Second
	reportEvery = 3 * time.Second
	startMS     = int64(1_700_000_000_000)
)

var zones = []string{"a", "b", "c"}

// New makes a world.
func New(opt Options) *World {
	opt.Nodes, opt.Fleet, opt.Tasks = cmp.Or(opt.Nodes, 3), cmp.Or(opt.Fleet, 14), cmp.Or(opt.Tasks, 9)
	opt.CancelIn, opt.Lease = cmp.Or(opt.CancelIn, cancelIn), cmp.Or(opt.Lease, workerLease)
	w := &World{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 77)), cut: map[[2]string]bool{}, held: map[[2]string][]func(){},
		lateWrite: func(wire.Txn) time.Duration { return 0 }, lateOrder: func(core.Orders) time.Duration { return 0 }, lateReport: func(*wire.Heartbeat) {},
		lateAnswer: func(wire.Txn) time.Duration { return 0 }, atEnd: func(string) {}, deaf: map[string]time.Duration{}, muted: map[string]time.Duration{}, Trace: func(string, ...any) {}, Seen: func(string, core.Output) {}}
	limit := 40000 * int64(opt.Tasks) / 9
	w.teams = []core.Team{{Name: "t0"}, {Name: "t1", CPU: limit * 2 / 5, CPUMax: limit}}
	limits := map[string][2]int64{"t1": {limit, 0}}
	if opt.AtLimit {
		w.teams[0].CPUMax = limit
		limits["t0"] = [2]int64{limit, 0}
	}
	w.Check = NewChecker(opt.CancelIn, limits)
	w.recorder = newRecorder(w.Check, func() time.Duration { return w.now })
	w.state = newState(w)
	w.cloud = newCloud(w)
	w.booked = newBookings(w)
	w.order = newOrder(w)
	for i := 0; i < opt.Nodes; i++ {
		n := &node{name: fmt.Sprintf("n%d", i), slip: time.Duration(w.rng.IntN(5000)) * time.Millisecond}
		w.nodes = append(w.nodes, n)
	}
	if opt.Upgrade {
		w.upgrade()
	}
	if opt.Beside {
		w.nodes[opt.Seed%uint64(opt.Nodes)].old = true
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func (w *World) after(d time.Duration, f func()) {
	w.queue.Add(w.now+d, f)
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)+1))
}

// Run plays the world to its end.
func (w *World) Run() {
	w.users()
	if w.opt.Rights {
		w.changeRights()
	}
	if w.opt.Audit {
		w.readers()
	}
	if w.opt.Bookers > 0 {
		w.bookers()
	}
	switch {
	case w.opt.Lanes:
		if !w.opt.Quiet {
			w.kills()
		}
	case w.opt.Meet:
		w.meetings()
	case !w.opt.Quiet:
		w.troubles()
	}
	if w.Check.calmFrom != 0 {
		w.after(w.Check.calmFrom, w.lookForLeft)
	}
	for {
		at, do, ok := w.queue.Next(w.opt.Length)
		if !ok {
			break
		}
		w.now = at
		do()
		w.Check.Tick(w.now)
		if len(w.Check.Broken) > 0 {
			return
		}
	}
	w.Check.Finish(w.now)
	if w.opt.Lanes {
		w.order.jumped()
	}
	w.checkKept()
	if w.opt.Audit {
		w.recorder.Finish(w.state.keys)
	}
}

func (w *World) config(n *node) core.Config {
	cfg := core.Config{Form: core.Form, Name: n.name, Zone: "a", Teams: w.teams, Lease: 4 * time.Second, Shards: 6,
		WatchGap: 100 * time.Millisecond, ReadGap: 150 * time.Millisecond, StateRPS: 100, WriteRPS: 40, WriteShare: 0.6, ValueBytes: 8192,
		TxnOps: 12, CloudRPS: 4, ListLag: 3 * time.Second, ReportEvery: reportEvery, WorkerLease: w.opt.Lease,
		CancelIn: w.opt.CancelIn, DeltaEvery: 500 * time.Millisecond, PushEvery: time.Second, CopyExpire: 10 * time.Second,
		ProbeRatio: 2, PreferImage: true, PreferSpot: true, SpareShare: 0.2, Idle: 5 * time.Second, Silent: 4 * time.Second,
		BootPatience: 3, Settle: 300 * time.Millisecond, WholePush: 10 * time.Second, PushGap: 100 * time.Millisecond, OrderAgain: time.Second, OrdersMost: 400, ProbesMost: 100,
		ClearWait: 2 * time.Second, PassTime: 3 * time.Second, LinkLost: 1500 * time.Millisecond, RoomAgain: 4 * time.Second,
		ListEvery: 2500 * time.Millisecond, SettleMost: 2 * time.Second, CancelShare: 0.35,
		LossGather: 700 * time.Millisecond, AcceptWait: 1500 * time.Millisecond, HealthEvery: 500 * time.Millisecond, LookAll: 20 * time.Second, RentAhead: 3 * time.Second, GiveWay: time.Second}
	cfg.EndedKept, cfg.HistoryCache, cfg.HistoryShare = 5000, 1<<20, 0.2
	cfg.SharedValues = w.opt.Shared
	if w.opt.Rights {
		cfg.Access = policy()
	}
	if w.opt.Audit {
		cfg.AuditKey, cfg.TimeBoundMS, cfg.Settings = auditKey, 500, settingsOf(n)
		cfg.AuditForget = 60 * time.Second // requests are late by 40 s at most
		cfg.AuditGather, cfg.AuditBlock = 2*time.Second, w.between(time.Second, 8*time.Second)
	}
	if w.opt.History {
		cfg.Archive, cfg.EndedKept, cfg.HistoryCache = true, 1+int(w.opt.Seed%4), 1<<10
	}
	if w.opt.Lanes && !n.old {
		cfg.Lanes = w.order.list
	}
	if w.opt.Bookers > 0 && !n.old {
		cfg.Equipment, cfg.ValueBytes = w.booked.site, 640 // so that there are many pages
		if w.opt.Audit {
			cfg.ValueBytes = 4096 // entries of the record need room
		}
		cfg.BookingKeep = time.Duration(w.opt.Seed%3) * 10 * time.Second
	}
	if w.opt.Upgrade && !n.old {
		cfg.ValueBytes, cfg.TxnOps, cfg.NextWriteRPS = next.value, next.ops, next.rate
	}
	if n.old {
		cfg.Form = 0
	}
	for _, o := range w.nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, o.name)
		}
	}
	return cfg
}

func (w *World) boot(n *node) {
	n.life++
	n.down, n.ranOld = false, n.old
	n.began = w.now
	n.reqs = map[uint64]func(core.Reply){}
	n.core = core.New(w.config(n), 0, w.rng.Uint64())
	life := n.life
	var tick func()
	tick = func() {
		if n.life != life || n.down {
			return
		}
		w.step(n, core.Clock{UnixMS: w.unixNow() + int64(n.slip/time.Second)})
		w.after(50*time.Millisecond, tick)
	}
	w.after(time.Millisecond, tick)
}

func (w *World) crash(n *node) {
	away := w.between(time.Second, 6*time.Second)
	if w.opt.Flap || w.opt.Meet && w.chance(0.5) {
		away = w.between(0, 900*time.Millisecond)
	}
	w.crashFor(n, away)
}

// crashFor ends a controller's process, which is back after a while.
func (w *World) crashFor(n *node, away time.Duration) {
	n.down = true
	n.life++
	n.core = nil
	w.after(away, func() {
		if n.down {
			w.boot(n)
		}
	})
}

// crashSoon has a controller end around what it is about to do at the state service: before it is executed, or before its answer.
func (w *World) crashSoon(n *node, in string) {
	life := n.life
	w.after(w.between(0, 12*time.Millisecond), func() {
		if n.life == life && !n.down {
			w.Trace("%v crash %s in %s", w.now, n.name, in)
			w.crash(n)
		}
	})
}

// step gives an input to a core and carries out what follows.
func (w *World) step(n *node, in core.Input) {
	if n.down {
		return
	}
	if w.now < n.still { // what comes in waits, in its order
		life := n.life
		w.after(n.still-w.now, func() {
			if n.life == life {
				w.step(n, in)
			}
		})
		return
	}
	// The steady clock may run fast by up to 0.05%.
	t := time.Duration(float64(w.now-n.began) * (1 + 0.0005*float64(n.slip)/float64(5*time.Second)))
	n.core.Handle(t, w.understood(n, in))
	for _, o := range n.core.Advance(t) {
		w.do(n, o)
	}
}

func (w *World) do(n *node, o core.Output) {
	w.Seen(n.name, o)
	life := n.life
	back := func(in core.Input) {
		if n.life == life && !n.down {
			w.step(n, in)
		}
	}
	switch o := o.(type) {
	case core.Reply:
		if f := n.reqs[o.Req]; f != nil {
			delete(n.reqs, o.Req)
			f(o)
		}
	case core.ToPeer:
		for _, p := range w.nodes {
			if p == n || o.Peer != "" && o.Peer != p.name {
				continue
			}
			p := p
			arrive := func() {
				if !p.down {
					w.step(p, core.FromPeer{Peer: n.name, Msg: o.Msg})
				}
			}
			w.send(n.name, p.name, arrive)
			if w.opt.Flap && w.chance(0.01) { // it comes once more, perhaps when its sender or receiver has ended and is back
				w.after(w.between(0, 3*time.Second), arrive)
			}
		}
	case core.Commit:
		out := core.Committed{ID: o.ID}
		w.checkForms(n, o.Txn)
		late := 0.01
		if w.opt.Flap {
			w.flap(n, o.Txn)
		}
		if w.opt.Audit && records(o.Txn) {
			late = 0.06
		}
		after := w.lateWrite(o.Txn)
		if books(o.Txn) { // likewise, and often the last that their sender did
			late = 0.06
			if !w.opt.Quiet && w.chance(0.01) {
				w.crashSoon(n, "a booking")
			}
		}
		if moves(o.Txn) { // rare elsewhere: here often late, or the last that their sender did
			late = 0.15
			if !w.opt.Quiet && w.chance(0.04) {
				w.crashSoon(n, "a move")
			}
		}
		answer := w.lateAnswer(o.Txn)
		w.rpc(n.name, "state", 2*time.Second, max(after, w.lateness(late)), func() time.Duration {
			out.Status, out.Reply = w.state.commit(n.name, o.Txn)
			return answer
		}, func(ok bool) {
			if !ok {
				out = core.Committed{ID: o.ID}
			}
			back(out)
		})
	case core.Changes:
		w.state.changes(n, o, back)
	case core.Load:
		var out core.Loaded
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration { out = w.state.load(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.Loaded{}
			}
			back(out)
		})
	case core.Scan:
		out := core.Scanned{ID: o.ID}
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration { out = w.state.scan(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.Scanned{ID: o.ID}
			}
			back(out)
		})
	case core.LeaseOp:
		out := core.Leased{Op: o.Op}
		w.rpc(n.name, "state", time.Second, w.lateness(0.005), func() time.Duration { out = w.state.leaseOp(n.name, o); return 0 }, func(ok bool) {
			if !ok {
				out = core.Leased{Op: o.Op}
			}
			back(out)
		})
	case core.Orders:
		out := core.Ordered{ID: o.ID, Sent: true}
		m := w.cloud.find(o.Machine)
		w.rpc(n.name, o.Machine, 2*time.Second, max(w.lateOrder(o), w.lateness(0.02)), func() time.Duration {
			if m != nil && !m.gone {
				out.Status, out.Report = m.orders(o.Body)
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out = core.Ordered{ID: o.ID, Sent: true}
			}
			back(out)
		})
	case core.Probe:
		m := w.cloud.find(o.Machine)
		out := core.Seen{Machine: o.Machine}
		w.rpc(n.name, o.Machine, 2*time.Second, 0, func() time.Duration {
			if m != nil && m.up && !m.gone {
				out.Report = m.report()
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out.Report = nil
			}
			back(out)
		})
	case core.CloudOp:
		out := core.Clouded{ID: o.ID}
		w.rpc(n.name, "cloud", 4*time.Second, w.lateness(0.02), func() time.Duration { out = w.cloud.do(o); return 0 }, func(ok bool) {
			if !ok {
				out = core.Clouded{ID: o.ID}
			}
			back(out)
		})
	case core.Note:
		w.Trace("%v %s %s %v", w.now, n.name, o.Text, o.Args)
	}
}

// lateness makes a request late by seconds, sometimes: it is executed after its sender gave up.
func (w *World) lateness(p float64) time.Duration {
	if !w.opt.Quiet && w.chance(p) {
		return w.between(2*time.Second, 40*time.Second)
	}
	return 0
}

func (w *World) send(from, to string, f func()) {
	k := [2]string{from, to}
	w.after(w.between(500*time.Microsecond, cmp.Or(w.opt.SlowBy, 5*time.Millisecond)), func() {
		if w.now < w.deaf[to] {
			return
		}
		if w.cut[k] {
			w.held[k] = append(w.held[k], f)
			return
		}
		f()
	})
}

// rpc carries a request to a server and its outcome back, so much later as exec says (under 0: never); without an answer in time the
// caller gives up, and the request may be executed all the same, later.
func (w *World) rpc(from, to string, timeout, late time.Duration, exec func() (answer time.Duration), done func(ok bool)) {
	over := false
	finish := func(ok bool) {
		if !over {
			over = true
			done(ok)
		}
	}
	if to == "state" && w.state.slow > 0 {
		late += w.between(0, w.state.slow)
	}
	w.after(timeout, func() { finish(false) })
	w.after(late, func() {
		w.send(from, to, func() {
			answer := func() { w.send(to, from, func() { finish(true) }) }
			switch d := exec(); { // also when the caller gave up meanwhile
			case d > 0:
				w.after(d, answer)
			case d == 0:
				answer()
			}
		})
	})
}

// setCut cuts or mends the network between two places; what was held is delivered then.
func (w *World) setCut(a, b string, on bool) {
	for _, k := range [][2]string{{a, b}, {b, a}} {
		if on {
			w.cut[k] = true
			continue
		}
		delete(w.cut, k)
		fs := w.held[k]
		delete(w.held, k)
		for _, f := range fs {
			f := f
			w.after(time.Millisecond, f)
		}
	}
}

// troubles plans failures, alone and together.
func (w *World) troubles() {
	calm := 30 * time.Second
	if w.opt.Flap {
		calm = flapCalm
		w.Check.calmFrom = w.opt.Length - calm + 26*time.Second // no trouble lasts longer
	}
	for at := 10 * time.Second; at < w.opt.Length-calm; at += w.between(3*time.Second, 15*time.Second) {
		at := at
		w.after(at, func() { w.trouble() })
	}
}

func (w *World) trouble() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	d := w.between(2*time.Second, 25*time.Second)
	if w.opt.Flap && w.chance(0.3) {
		w.Trace("%v %s ends five times", w.now, n.name)
		for range 5 { // within three seconds
			w.after(w.between(0, 3*time.Second), func() {
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
		w.state.outage(d)
	case 3:
		w.Trace("%v state refuses %s %v", w.now, n.name, d)
		w.state.refuse(n.name, d)
	case 4:
		w.Trace("%v cloud outage %v", w.now, d)
		w.cloud.down = true
		w.after(d, func() { w.cloud.down = false })
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
		if m := w.cloud.random(); m != nil {
			w.Trace("%v machine %s hangs %v", w.now, m.m.Name, d)
			m.hang(d)
		}
	case 12: // two zones can't reach each other; node i is in zone i
		i := w.rng.IntN(3)
		w.cutZones(i, (i+1)%3, d)
	case 11:
		if m := w.cloud.random(); m != nil {
			w.Trace("%v machine %s dies", w.now, m.m.Name)
			m.die()
		}
	}
}

const flapCalm = 140 * time.Second // at the end of a world that flaps

// flap has a controller end around one of its writes, and the write executed once more, late.
func (w *World) flap(n *node, t wire.Txn) {
	if w.now > w.opt.Length-flapCalm {
		return
	}
	if w.chance(0.02) {
		w.crashSoon(n, "a write")
	}
	if w.chance(0.05) {
		w.after(w.between(10*time.Millisecond, 20*time.Second), func() { w.state.commit(n.name, t) })
	}
}

func (w *World) cutZones(i, j int, d time.Duration) {
	w.Trace("%v zones %s and %s cut off from each other %v", w.now, zones[i], zones[j], d)
	pairs := [][2]string{{w.nodes[i].name, w.nodes[j].name}}
	for _, m := range w.cloud.machines {
		switch m.m.Zone {
		case zones[i]:
			pairs = append(pairs, [2]string{w.nodes[j].name, m.m.Name})
		case zones[j]:
			pairs = append(pairs, [2]string{w.nodes[i].name, m.m.Name})
		}
	}
	w.cutFor(pairs, d)
}

// cutFor cuts the network between pairs of places for a while.
func (w *World) cutFor(pairs [][2]string, d time.Duration) {
	for _, p := range pairs {
		w.setCut(p[0], p[1], true)
	}
	w.after(d, func() {
		for _, p := range pairs {
			w.setCut(p[0], p[1], false)
		}
	})
}

func (w *World) isolate(name string, d time.Duration, state, peers, workers bool) {
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
			from(m.m.Name)
		}
	}
	w.cutFor(pairs, d)
}

// ask sends a request of a user or worker to a controller.
func (w *World) ask(n *node, timeout time.Duration, in func(req uint64) core.Input, done func(r core.Reply, ok bool)) {
	over := false
	finish := func(r core.Reply, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	way := func() time.Duration { // answers overtake each other on slow links
		if w.now < w.closeLooks {
			return w.between(100*time.Microsecond, 20*time.Millisecond)
		}
		return time.Millisecond
	}
	w.after(timeout, func() { finish(core.Reply{}, false) })
	w.after(way(), func() {
		if n.down {
			finish(core.Reply{}, false)
			return
		}
		w.req++
		id := w.req
		n.reqs[id] = func(r core.Reply) { w.after(way(), func() { finish(r, true) }) }
		w.step(n, in(id))
	})
}

// users submit, poll and cancel.
func (w *World) users() {
	for i := 0; i < w.opt.Jobs; i++ {
		s := w.someJob()
		if w.opt.InZones {
			s.Zone, s.Spread, s.OneZone = zones[w.rng.IntN(3)], false, w.chance(0.5)
		}
		if w.opt.Lanes {
			s = w.laneJob()
		}
		at := w.between(0, w.opt.Length*2/3)
		w.after(at, func() { w.user(s) })
	}
	for range w.opt.Mistakes {
		s := w.someJob()
		s.Dependencies, s.Service = nil, w.chance(0.2)
		w.Check.mistaken[s.ID] = &mistake{}
		w.after(w.between(0, w.opt.Length/3), func() { w.user(s) })
	}
	for range w.opt.Chains {
		w.after(w.between(w.chainsFrom(), w.opt.Length*2/3), w.chain)
	}
	for i := range w.opt.OneTask {
		s := w.someJob()
		s.Service, s.Tasks, s.OneZone, s.Spread = false, 1, false, false
		w.after(10*time.Second+time.Duration(i)*250*time.Millisecond, func() { w.user(s) })
	}
	var stranger func()
	stranger = func() { // asks about jobs that nobody submitted
		id := fmt.Sprintf("wk-x%05d", w.rng.IntN(100000))
		w.pollOnce(w.nodes[w.rng.IntN(len(w.nodes))], cred(root), id, func() {})
		w.after(5*time.Second, stranger)
	}
	w.after(time.Second, stranger)
}

func (w *World) answered(by core.Cred, began time.Duration, verb, id string, r core.Reply, ok bool) string {
	if !ok {
		w.Check.Heard(began, w.now, id, 0)
	}
	if !ok || !w.answeredTo(by, began, verb, id, r.Status) {
		return ""
	}
	st, _ := r.Body.(wire.JobState)
	w.Check.Heard(began, w.now, id, r.Status)
	before := w.Check.toldOf(id)
	w.Check.Answered(began, w.now, verb, id, r.Status, st.Stage)
	if w.now < w.closeLooks && w.Check.toldOf(id) != before {
		w.lookClosely(by, id)
	}
	return st.Stage
}

func (w *World) unixNow() int64 { return startMS + w.now.Milliseconds() }

// submitOnce sends a submission to a controller.
func (w *World) submitOnce(n *node, in core.Submit, then func(r core.Reply, ok bool)) {
	began := w.now
	w.ask(n, 5*time.Second, func(r uint64) core.Input {
		in.Req, in.UnixMS = r, w.unixNow()
		return in
	}, func(r core.Reply, ok bool) {
		w.answered(in.By, began, "submit", in.ID, r, ok)
		then(r, ok)
	})
}

// pollOnce asks a controller about a job.
func (w *World) pollOnce(n *node, by core.Cred, id string, then func()) {
	began := w.now
	w.ask(n, 2*time.Second, func(r uint64) core.Input { return core.Poll{Req: r, ID: id, By: by} }, func(r core.Reply, ok bool) {
		w.answered(by, began, "poll", id, r, ok)
		then()
	})
}

func (w *World) user(s wire.JobSpec) { w.userThen(s, func() {}) }

// userThen is a user who submits a job and goes on with something else once it is accepted.
func (w *World) userThen(s wire.JobSpec, accepted func()) {
	if w.Check.jobs[s.ID] != nil {
		return
	}
	w.Check.Submitted(s)
	by := w.someone()
	pick := func() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }
	over := false
	var submit, poll, cancel func()
	submit = func() {
		for range 3 {
			if w.now < w.closeLooks && w.chance(0.3) { // an impatient user
				w.after(w.between(0, 300*time.Millisecond), func() { w.repeatAt(pick(), by, s) })
			}
		}
		w.submitOnce(pick(), core.Submit{ID: s.ID, Spec: s, By: by},
			func(r core.Reply, ok bool) {
				if !ok || r.Status != 200 && r.Status != 201 {
					w.after(time.Second, submit)
					return
				}
				accepted()
				w.after(w.between(time.Second, 5*time.Second), poll)
				if w.Check.mistaken[s.ID] != nil { // it is long until somebody looks
					w.after(w.between(60*time.Second, 150*time.Second), cancel)
				} else if s.Service || w.chance(0.25) {
					w.after(w.between(time.Second, 60*time.Second), cancel)
				}
				if w.chance(0.3) { // a late repeat, with another body
					w.after(w.between(time.Second, 50*time.Second), func() {
						w.submitOnce(pick(), core.Submit{ID: s.ID, Bad: "nonsense", By: by}, func(core.Reply, bool) {})
					})
				}
			})
	}
	poll = func() {
		w.pollOnce(pick(), by, s.ID, func() {
			if !over || w.chance(0.5) {
				w.after(5*time.Second, poll)
			}
		})
	}
	cancel = func() {
		w.Check.Asked(s.ID)
		began := w.now
		w.ask(pick(), 5*time.Second, func(r uint64) core.Input { return core.Cancel{Req: r, ID: s.ID, UnixMS: w.unixNow(), By: by} },
			func(r core.Reply, ok bool) {
				w.answered(by, began, "cancel", s.ID, r, ok)
				if !ok || r.Status != 200 {
					w.after(time.Second, cancel)
					return
				}
				over = true
			})
	}
	submit()
}
