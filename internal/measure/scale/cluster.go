package main

import (
	"dewlift"
	"dewlift/core"
	"dewlift/internal/eventqueue"
	"dewlift/settings"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"
)

const (
	controllerCount            = 3
	heartbeatInterval          = 6 * time.Second
	minHeartbeatGap            = 500 * time.Millisecond // between two reports of a machine
	localLatency, storeLatency = time.Millisecond, 8 * time.Millisecond
	startUnixMS                = 1_700_000_000_000
	// changes and requests a second: what is needed is measured, not what a limit allows
	unlimitedRate = 1e6
)

var machineType = wire.MachineType{
	Name:      "x",
	CPUs:      32,
	MemoryGB:  128,
	Zones:     []string{"a", "b", "c"},
	BootS:     15,
	Price:     1,
	SpotPrice: 0.4,
}

// simCluster is a seeded site in simulated time: the core of each controller as it is, and all
// around it as simple as can be.
type simCluster struct {
	maxMachines   int // machines at a time
	rng           *rand.Rand
	now           time.Duration
	lastRequestID uint64 // requests of users and workers
	events        eventqueue.Queue
	nodes         []*node
	machines      []*machine
	byName        map[string]*machine
	cutZone       string // a zone of which nothing is heard

	// The state service.
	revision       uint64
	keys           map[string]wire.KeyValue
	storeEvents    []wire.WatchEvent
	pendingWatches []func()

	counters        eventCounts
	unstartedArrays map[string]time.Duration // arrays of which no task was started yet, by when they were submitted
	startDelays     []time.Duration          // how long the others waited for their first
}

// eventCounts are what happened since the last look.
type eventCounts struct {
	writes, accepted, started, refused, lost, replaced int
}

// node is a controller with what its core took.
type node struct {
	name             string
	core             *core.Core
	leaseID          uint64
	coreTime         time.Duration // of the processor, in the core
	codecTime        time.Duration // the same, for messages between controllers
	inputs           int
	messagesSent     int // messages to others
	bytesSent        int
	pendingRequests  map[uint64]func(core.Response)
	advanceScheduled bool // one is due
	pendingInputs    []core.Input
}

type machine struct {
	name, zone        string
	spot, gone        bool
	rentedAt          time.Duration
	controllerIndex   int
	seq, fencingToken uint64
	tasks             []wire.TaskStatus
	nextHeartbeatAt   time.Duration // of the next report
	lastHeartbeatAt   time.Duration
	allocatedCPUs     int64
	cluster           *simCluster
}

func newSimCluster(n int, seed uint64) *simCluster {
	s := &simCluster{
		maxMachines:     n,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		byName:          map[string]*machine{},
		keys:            map[string]wire.KeyValue{},
		unstartedArrays: map[string]time.Duration{},
	}
	raw, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{machineType}})
	if err != nil {
		panic(err) // strings and numbers
	}
	s.applyWrite(wire.Write{Put: core.Root + "types", Value: raw})
	for i := range controllerCount {
		p := &settings.Platform{Name: fmt.Sprintf("n%d", i), Zone: machineType.Zones[i%3]}
		for k := range controllerCount {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Name: fmt.Sprintf("n%d", k)})
			}
		}
		k := &p.Cluster
		k.Teams = []settings.Team{{Name: "t"}}
		k.Workers.HeartbeatIntervalS = heartbeatInterval.Seconds()
		k.Workers.AgentLeaseS = 36
		k.Workers.CancelDeadlineS = 66
		k.TimeBoundMS = 5
		k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps = unlimitedRate, writeLimit, 8, 24
		k.Cloud.RPS, k.Cloud.ListLagS, k.Quota.FDLimit = 40, 5, 100_000
		x := &node{name: p.Name, leaseID: uint64(i + 1), pendingRequests: map[uint64]func(core.Response){}}
		t := settings.DefaultTuning()
		if writeLimit == unlimitedRate {
			t.SettleMs = t.SettleMostMs // ends gather for as long as they do where changes are few
		}
		t.SharedValues = &batchValues
		x.core = core.New(dewlift.CoreConfig(p, t), 0, seed+uint64(i))
		s.nodes = append(s.nodes, x)
		var tick func()
		tick = func() {
			s.deliver(x, core.WallClock{UnixMS: startUnixMS + s.now.Milliseconds()})
			s.schedule(25*time.Millisecond, tick)
		}
		s.schedule(time.Duration(i)*time.Millisecond, tick)
	}
	return s
}

// rentMachine has a machine boot.
func (s *simCluster) rentMachine(zone string, spot bool) *machine {
	m := &machine{
		name:            fmt.Sprintf("m-%06d", len(s.byName)),
		zone:            zone,
		spot:            spot,
		rentedAt:        s.now,
		controllerIndex: s.rng.IntN(controllerCount),
		cluster:         s,
	}
	s.machines = append(s.machines, m)
	s.byName[m.name] = m
	m.nextHeartbeatAt = s.now + 2*time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))
	s.schedule(m.nextHeartbeatAt-s.now, m.sendHeartbeat)
	return m
}

// returnMachine ends a machine.
func (s *simCluster) returnMachine(name string) {
	m := s.byName[name]
	if m == nil || m.gone {
		return
	}
	m.gone = true
	s.machines = slices.DeleteFunc(s.machines, func(o *machine) bool { return o == m })
	for _, p := range m.tasks {
		if id, _, _ := wire.SplitTaskName(p.Task); id < firstArrayID && p.Stage != wire.TaskExited {
			s.counters.lost++
		}
	}
}

func (s *simCluster) schedule(d time.Duration, f func()) {
	s.events.Add(s.now+d, f)
}

// runUntil lets time pass.
func (s *simCluster) runUntil(until time.Duration) {
	for {
		at, do, ok := s.events.PopUntil(until)
		if !ok {
			break
		}
		s.now = at
		do()
	}
	s.now = until
}

// deliver gives a core an input. As in a process, what comes in at the same moment is decided in one turn.
func (s *simCluster) deliver(n *node, in core.Input) {
	n.pendingInputs = append(n.pendingInputs, in)
	n.inputs++
	if n.advanceScheduled {
		return
	}
	n.advanceScheduled = true
	s.schedule(100*time.Microsecond, func() {
		n.advanceScheduled = false
		ins := n.pendingInputs
		n.pendingInputs = nil
		t := time.Now()
		for _, in := range ins {
			n.core.Handle(s.now, in)
		}
		out := n.core.Advance(s.now)
		n.coreTime += time.Since(t)
		for _, o := range out {
			s.performOutput(n, o)
		}
	})
}

func (s *simCluster) performOutput(n *node, o core.Output) {
	back := func(in core.Input) { s.deliver(n, in) }
	switch o := o.(type) {
	case core.Response:
		if f := n.pendingRequests[o.RequestID]; f != nil {
			delete(n.pendingRequests, o.RequestID)
			f(o)
		}
	case core.SendToPeer:
		t := time.Now()
		raw, err := json.Marshal(o.Message)
		n.codecTime += time.Since(t)
		if err != nil {
			panic(err)
		}
		for _, p := range s.nodes {
			if p == n || o.Peer != "" && o.Peer != p.name {
				continue
			}
			n.messagesSent++
			n.bytesSent += len(raw)
			s.schedule(localLatency, func() {
				var m core.Message
				t := time.Now()
				if err := json.Unmarshal(raw, &m); err != nil {
					panic(err)
				}
				p.codecTime += time.Since(t)
				s.deliver(p, core.PeerMessage{Peer: n.name, Message: m})
			})
		}
	case core.CommitTxn:
		s.schedule(storeLatency/2, func() {
			out := core.TxnResult{ID: o.ID}
			out.Status, out.Reply = s.commit(o.Txn)
			s.schedule(storeLatency/2, func() { back(out) })
		})
	case core.Watch:
		s.schedule(storeLatency/2, func() { s.serveWatch(o, back) })
	case core.LoadSnapshot:
		out := core.SnapshotPage{OK: true, Revision: s.revision}
		for _, k := range sortedKeys(s.keys) {
			out.Items = append(out.Items, s.keys[k])
		}
		s.schedule(storeLatency, func() { back(out) })
	case core.LeaseRequest:
		s.schedule(storeLatency, func() { back(core.LeaseResult{Op: o.Op, Status: wire.StatusOK, LeaseID: n.leaseID}) })
	case core.SendCommands:
		m := s.byName[o.Machine]
		s.schedule(localLatency, func() {
			if m.gone || m.zone == s.cutZone {
				s.schedule(2*time.Second, func() { back(core.CommandsResult{ID: o.ID, MaybeDelivered: true}) })
				return
			}
			m.executeCommands(o.Batch.FencingToken, o.Batch.Commands)
			out := core.CommandsResult{ID: o.ID, Status: wire.StatusOK, MaybeDelivered: true, Heartbeat: m.nextHeartbeat()}
			s.schedule(localLatency, func() { back(out) })
		})
	case core.PollAgent:
		m := s.byName[o.Machine]
		s.schedule(localLatency, func() {
			if m.gone || m.zone == s.cutZone {
				s.schedule(2*time.Second, func() { back(core.AgentPolled{Machine: o.Machine}) })
				return
			}
			out := core.AgentPolled{Machine: o.Machine, Heartbeat: m.nextHeartbeat()}
			s.schedule(localLatency, func() { back(out) })
		})
	case core.CloudRequest:
		out := core.CloudResult{ID: o.ID, Status: wire.StatusOK}
		switch o.Op {
		case core.CloudCatalog:
			out.Catalog = &wire.Catalog{Types: []wire.MachineType{machineType}}
		case core.CloudList:
			for _, m := range s.machines {
				out.Machines = append(out.Machines, wire.Machine{
					Name: m.name, Addr: "x:1", Type: machineType.Name, Zone: m.zone, Spot: m.spot,
					Stage: wire.MachineRunning, AgeS: (s.now - m.rentedAt).Seconds(),
				})
			}
		case core.CloudScaleOut:
			for range min(o.ScaleOut.Count, s.maxMachines-len(s.machines)) {
				out.MachineNames = append(out.MachineNames, s.rentMachine(o.ScaleOut.Zone, o.ScaleOut.Spot).name)
			}
			if len(out.MachineNames) == 0 {
				out.Status, out.Error = wire.StatusUnavailable, "no capacity"
			}
		case core.CloudScaleIn:
			for _, name := range o.MachineNames {
				s.returnMachine(name)
			}
		}
		s.schedule(100*time.Millisecond, func() { back(out) })
	}
}

func (s *simCluster) applyWrite(w wire.Write) {
	if w.Delete != "" {
		delete(s.keys, w.Delete)
		s.storeEvents = append(s.storeEvents, wire.WatchEvent{Delete: w.Delete, Revision: s.revision})
		return
	}
	s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.revision, LeaseID: w.LeaseID}
	s.storeEvents = append(s.storeEvents, wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: s.revision})
}

func (s *simCluster) commit(t wire.Txn) (wire.Status, wire.TxnResponse) {
	var failed []string
	for _, c := range t.Compare {
		if s.keys[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	s.counters.writes += len(t.Then)
	if len(failed) > 0 {
		return wire.StatusConflict, wire.TxnResponse{Revision: s.revision, Failed: failed}
	}
	s.revision++
	for _, w := range t.Then {
		s.applyWrite(w)
	}
	ws := s.pendingWatches
	s.pendingWatches = nil
	for _, f := range ws {
		f()
	}
	return wire.StatusOK, wire.TxnResponse{Revision: s.revision}
}

func (s *simCluster) serveWatch(o core.Watch, back func(core.Input)) {
	answer := func() {
		out := core.WatchResult{LongPoll: o.LongPoll, Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: s.revision}}
		i, _ := slices.BinarySearchFunc(s.storeEvents, o.SinceRevision+1, func(e wire.WatchEvent, mark uint64) int {
			if e.Revision < mark {
				return -1
			}
			return 1
		})
		out.Changes.Events = slices.Clone(s.storeEvents[i:])
		s.schedule(storeLatency/2, func() { back(out) })
	}
	if o.LongPoll && s.revision <= o.SinceRevision {
		s.pendingWatches = append(s.pendingWatches, answer)
		return
	}
	answer()
}

func (m *machine) nextHeartbeat() *wire.Heartbeat {
	m.seq++
	return &wire.Heartbeat{
		Machine:      m.name,
		Addr:         "x:1",
		Type:         machineType.Name,
		Zone:         m.zone,
		Incarnation:  1,
		Sequence:     m.seq,
		FencingToken: m.fencingToken,
		Tasks:        slices.Clone(m.tasks),
	}
}

// sendHeartbeat sends a report, if one is due.
func (m *machine) sendHeartbeat() {
	s := m.cluster
	if s.now < m.nextHeartbeatAt || m.gone {
		return
	}
	m.nextHeartbeatAt = s.now + heartbeatInterval*3/4 + time.Duration(s.rng.Int64N(int64(heartbeatInterval/2)))
	s.schedule(m.nextHeartbeatAt-s.now, m.sendHeartbeat)
	m.lastHeartbeatAt = s.now
	if m.zone == s.cutZone {
		return
	}
	s.sendRequest(
		s.nodes[m.controllerIndex],
		func(req uint64) core.Input { return core.AgentHeartbeat{RequestID: req, Heartbeat: m.nextHeartbeat()} },
		func(r core.Response) {
			if b, ok := r.Body.(wire.HeartbeatResponse); ok {
				m.executeCommands(b.FencingToken, b.Commands)
			}
		},
	)
}

// heartbeatSoon has a report sent soon, as something has changed.
func (m *machine) heartbeatSoon() {
	if at := max(m.cluster.now, m.lastHeartbeatAt+minHeartbeatGap); at < m.nextHeartbeatAt {
		m.nextHeartbeatAt = at
		m.cluster.schedule(at-m.cluster.now, m.sendHeartbeat)
	}
}

func (m *machine) executeCommands(token uint64, orders []wire.Command) {
	s := m.cluster
	m.fencingToken = max(m.fencingToken, token)
	for _, o := range orders {
		i := slices.IndexFunc(
			m.tasks,
			func(p wire.TaskStatus) bool { return p.Task == o.Task && p.Attempt == o.Attempt },
		)
		switch {
		case o.Op == wire.OpStart && i < 0:
			id, _, _ := wire.SplitTaskName(o.Task)
			cpus, run := int64(1), time.Duration(0)
			if id >= firstArrayID {
				cpus, run = 3, 30*time.Second+time.Duration(s.rng.Int64N(int64(40*time.Second)))
			}
			p := wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Stage: wire.TaskPullingImage}
			if m.allocatedCPUs+cpus > int64(machineType.CPUs) {
				p.Stage, p.Cause = wire.TaskExited, wire.CauseNoCapacity
				s.counters.refused++
				m.tasks = append(m.tasks, p)
				break
			}
			s.counters.started++
			if at, ok := s.unstartedArrays[id]; ok {
				delete(s.unstartedArrays, id)
				s.startDelays = append(s.startDelays, s.now-at)
			}
			m.allocatedCPUs += cpus
			m.tasks = append(m.tasks, p)
			if run == 0 && o.Attempt > 9 { // a replica's first attempts have the numbers 1 to 9
				s.counters.replaced++
			}
			s.schedule(
				200*time.Millisecond,
				func() { m.transitionTask(o, wire.TaskPullingImage, wire.TaskRunning, "", 0) },
			)
			if run > 0 {
				s.schedule(
					run,
					func() { m.transitionTask(o, wire.TaskRunning, wire.TaskExited, wire.CauseDone, cpus) },
				)
			}
		case o.Op == wire.OpStop && i >= 0 && m.tasks[i].Stage != wire.TaskExited:
			id, _, _ := wire.SplitTaskName(o.Task)
			m.allocatedCPUs--
			if id >= firstArrayID {
				m.allocatedCPUs -= 2
			}
			m.tasks[i].Stage, m.tasks[i].Cause = wire.TaskExited, wire.CauseStopped
		case o.Op == wire.OpClear && i >= 0 && m.tasks[i].Stage == wire.TaskExited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

func (m *machine) transitionTask(o wire.Command, from, to, cause string, freed int64) {
	for i := range m.tasks {
		if p := &m.tasks[i]; p.Task == o.Task && p.Attempt == o.Attempt && p.Stage == from {
			p.Stage, p.Cause = to, cause
			m.allocatedCPUs -= freed
			m.heartbeatSoon()
		}
	}
}

func (s *simCluster) sendRequest(n *node, in func(req uint64) core.Input, then func(core.Response)) {
	s.lastRequestID++
	req := s.lastRequestID
	n.pendingRequests[req] = func(r core.Response) { s.schedule(localLatency, func() { then(r) }) }
	s.schedule(localLatency, func() { s.deliver(n, in(req)) })
}

const firstArrayID = "wk-500000" // ids below are services

// submitUntilAccepted submits a job, again and again until it is accepted.
func (s *simCluster) submitUntilAccepted(spec wire.JobSpec) {
	s.sendRequest(s.nodes[s.rng.IntN(controllerCount)], func(req uint64) core.Input {
		return core.SubmitJob{RequestID: req, ID: spec.ID, Spec: spec, UnixMS: startUnixMS + s.now.Milliseconds()}
	}, func(r core.Response) {
		if r.Status == wire.StatusCreated || r.Status == wire.StatusOK {
			s.counters.accepted++
			return
		}
		s.schedule(time.Duration(max(1, r.RetryAfterSeconds))*time.Second, func() { s.submitUntilAccepted(spec) })
	})
}

// pollUntilDone asks for a job now and then, as its user does.
func (s *simCluster) pollUntilDone(id string) {
	s.schedule(5*time.Second, func() {
		s.sendRequest(
			s.nodes[s.rng.IntN(controllerCount)],
			func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: id} },
			func(r core.Response) {
				if st, ok := r.Body.(wire.JobState); ok && st.Stage == wire.StageDone {
					return
				}
				s.pollUntilDone(id)
			},
		)
	})
}

// submitJob submits the next job.
func (s *simCluster) submitJob(n int, service bool) {
	spec := wire.JobSpec{
		ID:                 fmt.Sprintf("wk-%06d", n),
		Class:              "firings",
		Team:               "t",
		Priority:           1,
		Tasks:              90,
		Request:            [3]int64{3000, 0, 6000},
		Image:              "i",
		Spot:               true,
		EstimatedRuntimeMS: 50_000,
	}
	if service {
		spec.Class, spec.Service, spec.Priority, spec.Tasks, spec.Spread, spec.Spot, spec.EstimatedRuntimeMS = "desk", true, 0, 9, true, false, 0
		spec.Request = [3]int64{1000, 0, 2200}
	}
	if !service {
		s.unstartedArrays[spec.ID] = s.now
	}
	s.submitUntilAccepted(spec)
	s.pollUntilDone(spec.ID)
}

func sortedKeys(m map[string]wire.KeyValue) []string {
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
