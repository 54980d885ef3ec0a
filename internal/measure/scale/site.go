package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"dewlift"
	"dewlift/core"
	"dewlift/internal/agenda"
	"dewlift/settings"
	"dewlift/wire"
)

const (
	controllers = 3
	reportEvery = 6 * time.Second
	leastApart  = 500 * time.Millisecond // between two reports of a machine
	near, far   = time.Millisecond, 8 * time.Millisecond
	startMS     = 1_700_000_000_000
	roomy       = 1e6 // changes and requests a second: what is needed is measured, not what a limit allows
)

var kind = wire.MachineType{Name: "x", CPUs: 32, MemoryGB: 128, Zones: []string{"a", "b", "c"}, BootS: 15, Price: 1, SpotPrice: 0.4}

// site is a seeded site in simulated time: the core of each controller as it is, and all around it as simple as can be.
type site struct {
	most     int // machines at a time
	rng      *rand.Rand
	now      time.Duration
	asked    uint64 // requests of users and workers
	queue    agenda.Agenda
	nodes    []*node
	machines []*machine
	byName   map[string]*machine
	cut      string // a zone of which nothing is heard

	// The state service.
	ledger  uint64
	keys    map[string]wire.KeyValue
	log     []wire.WatchEvent
	waiting []func()

	counted counts
	unbegun map[string]time.Duration // arrays of which no task was started yet, by when they were submitted
	waited  []time.Duration          // how long the others waited for their first
}

// counts are what happened since the last look.
type counts struct {
	changes, accepted, started, refused, lost, replaced int
}

// node is a controller with what its core took.
type node struct {
	name     string
	core     *core.Core
	lease    uint64
	busy     time.Duration // of the processor, in the core
	codec    time.Duration // the same, for messages between controllers
	inputs   int
	sent     int // messages to others
	bytes    int
	answered map[uint64]func(core.Reply)
	turn     bool // one is due
	pending  []core.Input
}

type machine struct {
	name, zone string
	spot, gone bool
	rented     time.Duration
	node       int
	seq, token uint64
	pieces     []wire.TaskStatus
	due        time.Duration // of the next report
	said       time.Duration
	claimed    int64
	s          *site
}

func newSite(n int, seed uint64) *site {
	s := &site{most: n, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*machine{}, keys: map[string]wire.KeyValue{}, unbegun: map[string]time.Duration{}}
	raw, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{kind}})
	if err != nil {
		panic(err) // strings and numbers
	}
	s.put(wire.Write{Put: core.Root + "types", Value: raw})
	for i := range controllers {
		p := &settings.Platform{Name: fmt.Sprintf("n%d", i), Zone: kind.Zones[i%3]}
		for k := range controllers {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Name: fmt.Sprintf("n%d", k)})
			}
		}
		k := &p.Cluster
		k.Teams = []settings.Team{{Name: "t"}}
		k.Workers.ReportS, k.Workers.LeaseS, k.Workers.CancelS, k.TimeBoundMS = reportEvery.Seconds(), 36, 66, 5
		k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps = roomy, writes, 8, 24
		k.Cloud.RPS, k.Cloud.ListLagS, k.Quota.FDLimit = 40, 5, 100_000
		x := &node{name: p.Name, lease: uint64(i + 1), answered: map[uint64]func(core.Reply){}}
		t := settings.DefaultTuning()
		if writes == roomy {
			t.SettleMs = t.SettleMostMs // ends gather for as long as they do where changes are few
		}
		t.SharedValues = &share
		x.core = core.New(dewlift.CoreConfig(p, t), 0, seed+uint64(i))
		s.nodes = append(s.nodes, x)
		var tick func()
		tick = func() {
			s.input(x, core.Clock{UnixMS: startMS + s.now.Milliseconds()})
			s.after(25*time.Millisecond, tick)
		}
		s.after(time.Duration(i)*time.Millisecond, tick)
	}
	return s
}

// rent has a machine boot.
func (s *site) rent(zone string, spot bool) *machine {
	m := &machine{name: fmt.Sprintf("m-%06d", len(s.byName)), zone: zone, spot: spot, rented: s.now, node: s.rng.IntN(controllers), s: s}
	s.machines = append(s.machines, m)
	s.byName[m.name] = m
	m.due = s.now + 2*time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))
	s.after(m.due-s.now, m.report)
	return m
}

// giveBack ends a machine.
func (s *site) giveBack(name string) {
	m := s.byName[name]
	if m == nil || m.gone {
		return
	}
	m.gone = true
	s.machines = slices.DeleteFunc(s.machines, func(o *machine) bool { return o == m })
	for _, p := range m.pieces {
		if id, _, _ := wire.SplitTaskName(p.Task); id < firstArray && p.Stage != wire.TaskExited {
			s.counted.lost++
		}
	}
}

func (s *site) after(d time.Duration, f func()) {
	s.queue.Add(s.now+d, f)
}

// run lets time pass.
func (s *site) run(until time.Duration) {
	for {
		at, do, ok := s.queue.Next(until)
		if !ok {
			break
		}
		s.now = at
		do()
	}
	s.now = until
}

// input gives a core an input. As in a process, what comes in at the same moment is decided in one turn.
func (s *site) input(n *node, in core.Input) {
	n.pending = append(n.pending, in)
	n.inputs++
	if n.turn {
		return
	}
	n.turn = true
	s.after(100*time.Microsecond, func() {
		n.turn = false
		ins := n.pending
		n.pending = nil
		t := time.Now()
		for _, in := range ins {
			n.core.Handle(s.now, in)
		}
		out := n.core.Advance(s.now)
		n.busy += time.Since(t)
		for _, o := range out {
			s.do(n, o)
		}
	})
}

func (s *site) do(n *node, o core.Output) {
	back := func(in core.Input) { s.input(n, in) }
	switch o := o.(type) {
	case core.Reply:
		if f := n.answered[o.Req]; f != nil {
			delete(n.answered, o.Req)
			f(o)
		}
	case core.ToPeer:
		t := time.Now()
		raw, err := json.Marshal(o.Msg)
		n.codec += time.Since(t)
		if err != nil {
			panic(err)
		}
		for _, p := range s.nodes {
			if p == n || o.Peer != "" && o.Peer != p.name {
				continue
			}
			n.sent++
			n.bytes += len(raw)
			s.after(near, func() {
				var m core.Msg
				t := time.Now()
				if err := json.Unmarshal(raw, &m); err != nil {
					panic(err)
				}
				p.codec += time.Since(t)
				s.input(p, core.FromPeer{Peer: n.name, Msg: m})
			})
		}
	case core.Commit:
		s.after(far/2, func() {
			out := core.Committed{ID: o.ID}
			out.Status, out.Reply = s.commit(o.Txn)
			s.after(far/2, func() { back(out) })
		})
	case core.Changes:
		s.after(far/2, func() { s.changes(o, back) })
	case core.Load:
		out := core.Loaded{OK: true, Ledger: s.ledger}
		for _, k := range sorted(s.keys) {
			out.Items = append(out.Items, s.keys[k])
		}
		s.after(far, func() { back(out) })
	case core.LeaseOp:
		s.after(far, func() { back(core.Leased{Op: o.Op, Status: 200, Lease: n.lease}) })
	case core.Orders:
		m := s.byName[o.Machine]
		s.after(near, func() {
			if m.gone || m.zone == s.cut {
				s.after(2*time.Second, func() { back(core.Ordered{ID: o.ID, Sent: true}) })
				return
			}
			m.take(o.Body.FencingToken, o.Body.Commands)
			out := core.Ordered{ID: o.ID, Status: 200, Sent: true, Report: m.says()}
			s.after(near, func() { back(out) })
		})
	case core.Probe:
		m := s.byName[o.Machine]
		s.after(near, func() {
			if m.gone || m.zone == s.cut {
				s.after(2*time.Second, func() { back(core.Seen{Machine: o.Machine}) })
				return
			}
			out := core.Seen{Machine: o.Machine, Report: m.says()}
			s.after(near, func() { back(out) })
		})
	case core.CloudOp:
		out := core.Clouded{ID: o.ID, Status: 200}
		switch o.Op {
		case "catalog":
			out.Catalog = &wire.Catalog{Types: []wire.MachineType{kind}}
		case "list":
			for _, m := range s.machines {
				out.Machines = append(out.Machines, wire.Machine{Name: m.name, Addr: "x:1", Type: kind.Name, Zone: m.zone, Spot: m.spot,
					Stage: wire.MachineRunning, AgeS: (s.now - m.rented).Seconds()})
			}
		case "rent":
			for range min(o.Rent.Count, s.most-len(s.machines)) {
				out.Names = append(out.Names, s.rent(o.Rent.Zone, o.Rent.Spot).name)
			}
			if len(out.Names) == 0 {
				out.Status, out.Error = 503, "no capacity"
			}
		case "return":
			for _, name := range o.Names {
				s.giveBack(name)
			}
		}
		s.after(100*time.Millisecond, func() { back(out) })
	}
}

func (s *site) put(w wire.Write) {
	if w.Delete != "" {
		delete(s.keys, w.Delete)
		s.log = append(s.log, wire.WatchEvent{Delete: w.Delete, Revision: s.ledger})
		return
	}
	s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.ledger, LeaseID: w.LeaseID}
	s.log = append(s.log, wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: s.ledger})
}

func (s *site) commit(t wire.Txn) (int, wire.TxnResponse) {
	var failed []string
	for _, c := range t.Compare {
		if s.keys[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	s.counted.changes += len(t.Then)
	if len(failed) > 0 {
		return 409, wire.TxnResponse{Revision: s.ledger, Failed: failed}
	}
	s.ledger++
	for _, w := range t.Then {
		s.put(w)
	}
	ws := s.waiting
	s.waiting = nil
	for _, f := range ws {
		f()
	}
	return 200, wire.TxnResponse{Revision: s.ledger}
}

func (s *site) changes(o core.Changes, back func(core.Input)) {
	answer := func() {
		out := core.Changed{Hold: o.Hold, Status: 200, Changes: wire.WatchResponse{Revision: s.ledger}}
		i, _ := slices.BinarySearchFunc(s.log, o.From+1, func(e wire.WatchEvent, mark uint64) int {
			if e.Revision < mark {
				return -1
			}
			return 1
		})
		out.Changes.Events = slices.Clone(s.log[i:])
		s.after(far/2, func() { back(out) })
	}
	if o.Hold && s.ledger <= o.From {
		s.waiting = append(s.waiting, answer)
		return
	}
	answer()
}

func (m *machine) says() *wire.Heartbeat {
	m.seq++
	return &wire.Heartbeat{Machine: m.name, Addr: "x:1", Type: kind.Name, Zone: m.zone, Incarnation: 1, Sequence: m.seq, FencingToken: m.token, Tasks: slices.Clone(m.pieces)}
}

// report sends a report, if one is due.
func (m *machine) report() {
	s := m.s
	if s.now < m.due || m.gone {
		return
	}
	m.due = s.now + reportEvery*3/4 + time.Duration(s.rng.Int64N(int64(reportEvery/2)))
	s.after(m.due-s.now, m.report)
	m.said = s.now
	if m.zone == s.cut {
		return
	}
	s.ask(s.nodes[m.node], func(req uint64) core.Input { return core.Beat{Req: req, Report: m.says()} }, func(r core.Reply) {
		if b, ok := r.Body.(wire.HeartbeatResponse); ok {
			m.take(b.FencingToken, b.Commands)
		}
	})
}

// tell has a report sent soon, as something has changed.
func (m *machine) tell() {
	if at := max(m.s.now, m.said+leastApart); at < m.due {
		m.due = at
		m.s.after(at-m.s.now, m.report)
	}
}

func (m *machine) take(token uint64, orders []wire.Command) {
	s := m.s
	m.token = max(m.token, token)
	for _, o := range orders {
		i := slices.IndexFunc(m.pieces, func(p wire.TaskStatus) bool { return p.Task == o.Task && p.Attempt == o.Attempt })
		switch {
		case o.Op == wire.OpStart && i < 0:
			id, _, _ := wire.SplitTaskName(o.Task)
			cpus, run := int64(1), time.Duration(0)
			if id >= firstArray {
				cpus, run = 3, 30*time.Second+time.Duration(s.rng.Int64N(int64(40*time.Second)))
			}
			p := wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Stage: wire.TaskPullingImage}
			if m.claimed+cpus > int64(kind.CPUs) {
				p.Stage, p.Cause = wire.TaskExited, wire.CauseNoCapacity
				s.counted.refused++
				m.pieces = append(m.pieces, p)
				break
			}
			s.counted.started++
			if at, ok := s.unbegun[id]; ok {
				delete(s.unbegun, id)
				s.waited = append(s.waited, s.now-at)
			}
			m.claimed += cpus
			m.pieces = append(m.pieces, p)
			if run == 0 && o.Attempt > 9 { // a replica's first attempts have the numbers 1 to 9
				s.counted.replaced++
			}
			s.after(200*time.Millisecond, func() { m.becomes(o, wire.TaskPullingImage, wire.TaskRunning, "", 0) })
			if run > 0 {
				s.after(run, func() { m.becomes(o, wire.TaskRunning, wire.TaskExited, wire.CauseDone, cpus) })
			}
		case o.Op == wire.OpStop && i >= 0 && m.pieces[i].Stage != wire.TaskExited:
			id, _, _ := wire.SplitTaskName(o.Task)
			m.claimed--
			if id >= firstArray {
				m.claimed -= 2
			}
			m.pieces[i].Stage, m.pieces[i].Cause = wire.TaskExited, wire.CauseStopped
		case o.Op == wire.OpClear && i >= 0 && m.pieces[i].Stage == wire.TaskExited:
			m.pieces = slices.Delete(m.pieces, i, i+1)
		}
	}
}

func (m *machine) becomes(o wire.Command, from, to, cause string, freed int64) {
	for i := range m.pieces {
		if p := &m.pieces[i]; p.Task == o.Task && p.Attempt == o.Attempt && p.Stage == from {
			p.Stage, p.Cause = to, cause
			m.claimed -= freed
			m.tell()
		}
	}
}

func (s *site) ask(n *node, in func(req uint64) core.Input, then func(core.Reply)) {
	s.asked++
	req := s.asked
	n.answered[req] = func(r core.Reply) { s.after(near, func() { then(r) }) }
	s.after(near, func() { s.input(n, in(req)) })
}

const firstArray = "wk-500000" // ids below are services

// submit submits a job, again and again until it is accepted.
func (s *site) submit(spec wire.JobSpec) {
	s.ask(s.nodes[s.rng.IntN(controllers)], func(req uint64) core.Input {
		return core.Submit{Req: req, ID: spec.ID, Spec: spec, UnixMS: startMS + s.now.Milliseconds()}
	}, func(r core.Reply) {
		if r.Status == 201 || r.Status == 200 {
			s.counted.accepted++
			return
		}
		s.after(time.Duration(max(1, r.RetryAfter))*time.Second, func() { s.submit(spec) })
	})
}

// poll asks for a job now and then, as its user does.
func (s *site) poll(id string) {
	s.after(5*time.Second, func() {
		s.ask(s.nodes[s.rng.IntN(controllers)], func(req uint64) core.Input { return core.Poll{Req: req, ID: id} }, func(r core.Reply) {
			if st, ok := r.Body.(wire.JobState); ok && st.Stage == wire.StageDone {
				return
			}
			s.poll(id)
		})
	})
}

// job submits the next job.
func (s *site) job(n int, service bool) {
	spec := wire.JobSpec{ID: fmt.Sprintf("wk-%06d", n), Class: "firings", Team: "t", Priority: 1, Tasks: 90, Request: [3]int64{3000, 0, 6000}, Image: "i", Spot: true, EstimatedRuntimeMS: 50_000}
	if service {
		spec.Class, spec.Service, spec.Priority, spec.Tasks, spec.Spread, spec.Spot, spec.EstimatedRuntimeMS = "desk", true, 0, 9, true, false, 0
		spec.Request = [3]int64{1000, 0, 2200}
	}
	if !service {
		s.unbegun[spec.ID] = s.now
	}
	s.submit(spec)
	s.poll(spec.ID)
}

func sorted(m map[string]wire.KeyValue) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// heap is what is in use after all that is not was given back.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
