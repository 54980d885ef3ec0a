package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"dewlift"
	"dewlift/core"
	"dewlift/internal/eventqueue"
	"dewlift/settings"
	"dewlift/wire"
)

const (
	controllerCount      = 3
	heartbeatInterval    = 6 * time.Second
	minHeartbeatInterval = 500 * time.Millisecond // between consecutive heartbeats of a machine
	localLatency         = time.Millisecond
	storeLatency         = 8 * time.Millisecond // round trip
	cloudLatency         = 100 * time.Millisecond
	requestTimeout       = 2 * time.Second // until a request to an unreachable agent fails
	imagePullTime        = 200 * time.Millisecond
	pollInterval         = 5 * time.Second
	startUnixMS          = 1_700_000_000_000
	// unlimitedRate is a rate of writes and requests that is never reached, so that the demand is measured rather
	// than a limit.
	unlimitedRate = 1e6
	// firstArrayID is a lower bound of the IDs of job arrays; services have lower IDs.
	firstArrayID = "wk-500000"

	serviceCPUs      = 1
	arrayCPUs        = 3
	replicasPerJob   = 9 // of a service; its first attempts have the numbers 1 to 9, later ones count as replacements
	tasksPerArray    = 90
	minArrayTaskTime = 30 * time.Second
	maxArrayTaskTime = 70 * time.Second
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

// simCluster is a seeded cluster in simulated time: the production scheduling core of each controller, with simple
// models of the store, the cloud, the machines and the users.
type simCluster struct {
	maxMachines     int // rented at the same time
	rng             *rand.Rand
	now             time.Duration
	lastRequestID   uint64 // of requests from users and agents
	events          eventqueue.Queue
	controllers     []*simController
	machines        []*machine          // currently rented
	machinesByName  map[string]*machine // including those that were scaled in
	partitionedZone string              // zone whose machines are unreachable and can reach nothing

	// The store.
	revision       uint64
	keys           map[string]wire.KeyValue
	storeEvents    []wire.WatchEvent
	pendingWatches []func()

	counters        eventCounts
	unstartedArrays map[string]time.Duration // submission times of arrays without a started task
	startDelays     []time.Duration          // of the other arrays, from submission to first task start
}

// eventCounts counts events since the last reset: writes to the store, accepted jobs, started tasks, refused starts,
// and lost and replaced replicas of services.
type eventCounts struct {
	writes, accepted, started, refused, lost, replaced int
}

// simController is a controller and its cost.
type simController struct {
	name             string
	core             *core.Core
	leaseID          uint64
	coreTime         time.Duration // CPU time in the scheduling core
	codecTime        time.Duration // CPU time to encode and decode messages between controllers
	inputs           int
	messagesSent     int // to other controllers
	bytesSent        int // to other controllers
	pendingRequests  map[uint64]func(core.Response)
	advanceScheduled bool // an Advance is scheduled for the pending inputs
	pendingInputs    []core.Input
}

// machine is a machine and its agent.
type machine struct {
	name, zone        string
	spot, scaledIn    bool
	rentedAt          time.Duration
	controllerIndex   int
	seq, fencingToken uint64
	tasks             []wire.TaskStatus
	nextHeartbeatAt   time.Duration
	lastHeartbeatAt   time.Duration
	allocatedCPUs     int64
	cluster           *simCluster
}

// isUnreachable reports whether requests to the machine get no response.
func (m *machine) isUnreachable() bool { return m.scaledIn || m.zone == m.cluster.partitionedZone }

// newSimCluster returns a cluster without machines, whose controllers start when simulated time advances.
func newSimCluster(maxMachines int, seed uint64) *simCluster {
	s := &simCluster{
		maxMachines:     maxMachines,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		machinesByName:  map[string]*machine{},
		keys:            map[string]wire.KeyValue{},
		unstartedArrays: map[string]time.Duration{},
	}
	raw, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{machineType}})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	s.applyWrite(wire.Write{Put: core.Root + "types", Value: raw})
	for i := range controllerCount {
		s.startController(i, seed)
	}
	return s
}

// startController adds a controller and schedules its periodic clock input.
func (s *simCluster) startController(i int, seed uint64) {
	platform := platformSettings(i)
	tuning := settings.DefaultTuning()
	if storeWriteLimit == unlimitedRate {
		tuning.SettleMs = tuning.SettleMostMs // delay task completions as long as controllers do when writes are scarce
	}
	tuning.SharedValues = &batchValues
	n := &simController{name: platform.Name, leaseID: uint64(i + 1), pendingRequests: map[uint64]func(core.Response){}}
	n.core = core.New(dewlift.CoreConfig(platform, tuning), 0, seed+uint64(i))
	s.controllers = append(s.controllers, n)
	var tick func()
	tick = func() {
		s.deliver(n, core.WallClock{UnixMS: startUnixMS + s.now.Milliseconds()})
		s.schedule(25*time.Millisecond, tick)
	}
	s.schedule(time.Duration(i)*time.Millisecond, tick)
}

// platformSettings returns the platform settings of a controller.
func platformSettings(i int) *settings.Platform {
	platform := &settings.Platform{Name: fmt.Sprintf("n%d", i), Zone: machineType.Zones[i%len(machineType.Zones)]}
	for peer := range controllerCount {
		if peer != i {
			platform.Peers = append(platform.Peers, settings.Peer{Name: fmt.Sprintf("n%d", peer)})
		}
	}
	cluster := &platform.Cluster
	cluster.Teams = []settings.Team{{Name: "t"}}
	cluster.Workers.HeartbeatIntervalS = heartbeatInterval.Seconds()
	cluster.Workers.AgentLeaseS, cluster.Workers.CancelDeadlineS = 36, 66
	cluster.TimeBoundMS = 5
	cluster.State.RPS, cluster.State.WriteRPS = unlimitedRate, storeWriteLimit
	cluster.State.ValueKB, cluster.State.TxnOps = 8, 24
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = 40, 5
	cluster.Quota.FDLimit = 100_000
	return platform
}

// scaleOutMachine adds a machine, which sends its first heartbeat after its boot.
func (s *simCluster) scaleOutMachine(zone string, spot bool) *machine {
	m := &machine{
		name:            fmt.Sprintf("m-%06d", len(s.machinesByName)),
		zone:            zone,
		spot:            spot,
		rentedAt:        s.now,
		controllerIndex: s.rng.IntN(controllerCount),
		cluster:         s,
	}
	s.machines = append(s.machines, m)
	s.machinesByName[m.name] = m
	m.nextHeartbeatAt = s.now + 2*time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))
	s.schedule(m.nextHeartbeatAt-s.now, m.sendHeartbeat)
	return m
}

// scaleInMachine scales in a machine and counts the service replicas on it as lost.
func (s *simCluster) scaleInMachine(name string) {
	m := s.machinesByName[name]
	if m == nil || m.scaledIn {
		return
	}
	m.scaledIn = true
	s.machines = slices.DeleteFunc(s.machines, func(other *machine) bool { return other == m })
	for _, status := range m.tasks {
		if id, _, _ := wire.SplitTaskName(status.Task); id < firstArrayID && status.Stage != wire.TaskExited {
			s.counters.lost++
		}
	}
}

// schedule runs a function after a delay of simulated time.
func (s *simCluster) schedule(delay time.Duration, run func()) {
	s.events.Add(s.now+delay, run)
}

// runUntil advances simulated time.
func (s *simCluster) runUntil(until time.Duration) {
	for {
		at, run, ok := s.events.PopUntil(until)
		if !ok {
			break
		}
		s.now = at
		run()
	}
	s.now = until
}

// deliver passes an input to a controller's core. As in a real process, inputs that arrive at about the same time are
// handled in one batch.
func (s *simCluster) deliver(n *simController, in core.Input) {
	n.pendingInputs = append(n.pendingInputs, in)
	n.inputs++
	if n.advanceScheduled {
		return
	}
	n.advanceScheduled = true
	s.schedule(100*time.Microsecond, func() {
		n.advanceScheduled = false
		batch := n.pendingInputs
		n.pendingInputs = nil
		startedAt := time.Now()
		for _, in := range batch {
			n.core.Handle(s.now, in)
		}
		outputs := n.core.Advance(s.now)
		n.coreTime += time.Since(startedAt)
		for _, output := range outputs {
			s.performOutput(n, output)
		}
	})
}

// performOutput carries out one output of a core and delivers the result to the core as an input.
func (s *simCluster) performOutput(n *simController, output core.Output) {
	deliverAfter := func(delay time.Duration, in core.Input) { s.schedule(delay, func() { s.deliver(n, in) }) }
	switch output := output.(type) {
	case core.Response:
		if respond := n.pendingRequests[output.RequestID]; respond != nil {
			delete(n.pendingRequests, output.RequestID)
			respond(output)
		}
	case core.SendToPeer:
		s.sendToPeers(n, output)
	case core.CommitTxn:
		s.schedule(storeLatency/2, func() {
			result := core.TxnResult{ID: output.ID}
			result.Status, result.Reply = s.commit(output.Txn)
			deliverAfter(storeLatency/2, result)
		})
	case core.Watch:
		s.schedule(storeLatency/2, func() { s.serveWatch(n, output) })
	case core.LoadSnapshot:
		page := core.SnapshotPage{OK: true, Revision: s.revision}
		for _, key := range slices.Sorted(maps.Keys(s.keys)) {
			page.Items = append(page.Items, s.keys[key])
		}
		deliverAfter(storeLatency, page)
	case core.LeaseRequest:
		deliverAfter(storeLatency, core.LeaseResult{Op: output.Op, Status: wire.StatusOK, LeaseID: n.leaseID})
	case core.SendCommands:
		target := s.machinesByName[output.Machine]
		s.schedule(localLatency, func() {
			result := core.CommandsResult{ID: output.ID, MaybeDelivered: true}
			if target.isUnreachable() {
				deliverAfter(requestTimeout, result)
				return
			}
			target.executeCommands(output.Batch.FencingToken, output.Batch.Commands)
			result.Status, result.Heartbeat = wire.StatusOK, target.nextHeartbeat()
			deliverAfter(localLatency, result)
		})
	case core.PollAgent:
		target := s.machinesByName[output.Machine]
		s.schedule(localLatency, func() {
			if target.isUnreachable() {
				deliverAfter(requestTimeout, core.AgentPolled{Machine: output.Machine})
				return
			}
			deliverAfter(localLatency, core.AgentPolled{Machine: output.Machine, Heartbeat: target.nextHeartbeat()})
		})
	case core.CloudRequest:
		deliverAfter(cloudLatency, s.serveCloud(output))
	}
}

// sendToPeers sends a message to one peer, or to all if output names none, and measures its encoding and decoding.
func (s *simCluster) sendToPeers(n *simController, output core.SendToPeer) {
	startedAt := time.Now()
	raw, err := json.Marshal(output.Message)
	n.codecTime += time.Since(startedAt)
	if err != nil {
		panic(err) // messages always marshal
	}
	for _, peer := range s.controllers {
		if peer == n || output.Peer != "" && output.Peer != peer.name {
			continue
		}
		n.messagesSent++
		n.bytesSent += len(raw)
		s.schedule(localLatency, func() {
			var message core.Message
			startedAt := time.Now()
			if err := json.Unmarshal(raw, &message); err != nil {
				panic(err)
			}
			peer.codecTime += time.Since(startedAt)
			s.deliver(peer, core.PeerMessage{Peer: n.name, Message: message})
		})
	}
}

// serveCloud executes a request to the cloud and returns its result.
func (s *simCluster) serveCloud(request core.CloudRequest) core.CloudResult {
	out := core.CloudResult{ID: request.ID, Status: wire.StatusOK}
	switch request.Op {
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
		order := request.ScaleOut
		for range min(order.Count, s.maxMachines-len(s.machines)) {
			out.MachineNames = append(out.MachineNames, s.scaleOutMachine(order.Zone, order.Spot).name)
		}
		if len(out.MachineNames) == 0 {
			out.Status, out.Error = wire.StatusUnavailable, "no capacity"
		}
	case core.CloudScaleIn:
		for _, name := range request.MachineNames {
			s.scaleInMachine(name)
		}
	}
	return out
}

// applyWrite applies a write at the current revision.
func (s *simCluster) applyWrite(write wire.Write) {
	if write.Delete != "" {
		delete(s.keys, write.Delete)
		s.storeEvents = append(s.storeEvents, wire.WatchEvent{Delete: write.Delete, Revision: s.revision})
		return
	}
	s.keys[write.Put] = wire.KeyValue{Key: write.Put, Value: write.Value, Revision: s.revision, LeaseID: write.LeaseID}
	s.storeEvents = append(s.storeEvents, wire.WatchEvent{Put: write.Put, Value: write.Value, Revision: s.revision})
}

// commit executes a compare-and-swap transaction and responds to the pending watches.
func (s *simCluster) commit(txn wire.Txn) (wire.Status, wire.TxnResponse) {
	var failed []string
	for _, compare := range txn.Compare {
		if s.keys[compare.Key].Revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	s.counters.writes += len(txn.Then) // the store counts failed transactions against its write limit too
	if len(failed) > 0 {
		return wire.StatusConflict, wire.TxnResponse{Revision: s.revision, Failed: failed}
	}
	s.revision++
	for _, write := range txn.Then {
		s.applyWrite(write)
	}
	watches := s.pendingWatches
	s.pendingWatches = nil
	for _, respond := range watches {
		respond()
	}
	return wire.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// serveWatch responds with the events after a revision. A long poll waits until there is one.
func (s *simCluster) serveWatch(n *simController, request core.Watch) {
	respond := func() {
		first, _ := slices.BinarySearchFunc(
			s.storeEvents,
			request.SinceRevision+1,
			func(event wire.WatchEvent, revision uint64) int {
				if event.Revision < revision {
					return -1
				}
				return 1
			},
		)
		result := core.WatchResult{LongPoll: request.LongPoll, Status: wire.StatusOK}
		result.Changes = wire.WatchResponse{Revision: s.revision, Events: slices.Clone(s.storeEvents[first:])}
		s.schedule(storeLatency/2, func() { s.deliver(n, result) })
	}
	if request.LongPoll && s.revision <= request.SinceRevision {
		s.pendingWatches = append(s.pendingWatches, respond)
		return
	}
	respond()
}

// nextHeartbeat returns a heartbeat with the status of all tasks and the next sequence number.
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

// sendHeartbeat sends a heartbeat if one is due, and schedules the next.
func (m *machine) sendHeartbeat() {
	s := m.cluster
	if s.now < m.nextHeartbeatAt || m.scaledIn {
		return
	}
	m.nextHeartbeatAt = s.now + heartbeatInterval*3/4 + time.Duration(s.rng.Int64N(int64(heartbeatInterval/2)))
	s.schedule(m.nextHeartbeatAt-s.now, m.sendHeartbeat)
	m.lastHeartbeatAt = s.now
	if m.isUnreachable() {
		return
	}
	s.sendRequest(s.controllers[m.controllerIndex], func(requestID uint64) core.Input {
		return core.AgentHeartbeat{RequestID: requestID, Heartbeat: m.nextHeartbeat()}
	}, func(response core.Response) {
		if body, ok := response.Body.(wire.HeartbeatResponse); ok {
			m.executeCommands(body.FencingToken, body.Commands)
		}
	})
}

// heartbeatSoon sends the next heartbeat as soon as minHeartbeatInterval allows, because a task has changed.
func (m *machine) heartbeatSoon() {
	if at := max(m.cluster.now, m.lastHeartbeatAt+minHeartbeatInterval); at < m.nextHeartbeatAt {
		m.nextHeartbeatAt = at
		m.cluster.schedule(at-m.cluster.now, m.sendHeartbeat)
	}
}

// taskCPUs returns the number of cores that a task takes.
func taskCPUs(task string) int64 {
	if id, _, _ := wire.SplitTaskName(task); id < firstArrayID {
		return serviceCPUs
	}
	return arrayCPUs
}

// executeCommands executes commands in order; each is idempotent.
func (m *machine) executeCommands(fencingToken uint64, commands []wire.Command) {
	m.fencingToken = max(m.fencingToken, fencingToken)
	for _, command := range commands {
		i := slices.IndexFunc(m.tasks, func(status wire.TaskStatus) bool {
			return status.Task == command.Task && status.Attempt == command.Attempt
		})
		switch {
		case command.Op == wire.OpStart && i < 0:
			m.startTask(command)
		case command.Op == wire.OpStop && i >= 0 && m.tasks[i].Stage != wire.TaskExited:
			m.allocatedCPUs -= taskCPUs(command.Task)
			m.tasks[i].Stage, m.tasks[i].Cause = wire.TaskExited, wire.CauseStopped
		case command.Op == wire.OpClear && i >= 0 && m.tasks[i].Stage == wire.TaskExited:
			m.tasks = slices.Delete(m.tasks, i, i+1)
		}
	}
}

// startTask starts a task if there is capacity, and otherwise reports it as exited. Tasks of arrays exit after a
// random time; those of services run until they are stopped.
func (m *machine) startTask(command wire.Command) {
	s := m.cluster
	jobID, _, _ := wire.SplitTaskName(command.Task)
	isArray := jobID >= firstArrayID
	duration := time.Duration(0)
	if isArray {
		duration = minArrayTaskTime + time.Duration(s.rng.Int64N(int64(maxArrayTaskTime-minArrayTaskTime)))
	}
	cpus := taskCPUs(command.Task)
	status := wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Stage: wire.TaskPullingImage}
	if m.allocatedCPUs+cpus > int64(machineType.CPUs) {
		status.Stage, status.Cause = wire.TaskExited, wire.CauseNoCapacity
		s.counters.refused++
		m.tasks = append(m.tasks, status)
		return
	}
	s.counters.started++
	if at, ok := s.unstartedArrays[jobID]; ok {
		delete(s.unstartedArrays, jobID)
		s.startDelays = append(s.startDelays, s.now-at)
	}
	m.allocatedCPUs += cpus
	m.tasks = append(m.tasks, status)
	if !isArray && command.Attempt > replicasPerJob {
		s.counters.replaced++
	}
	s.schedule(imagePullTime, func() {
		m.transitionTask(command, wire.TaskPullingImage, wire.TaskRunning, "", 0)
	})
	if isArray {
		s.schedule(duration, func() {
			m.transitionTask(command, wire.TaskRunning, wire.TaskExited, wire.CauseDone, cpus)
		})
	}
}

// transitionTask moves a task from one stage to another, if it is still in the first, and releases freedCPUs cores.
func (m *machine) transitionTask(command wire.Command, from, to, cause string, freedCPUs int64) {
	for i := range m.tasks {
		status := &m.tasks[i]
		if status.Task == command.Task && status.Attempt == command.Attempt && status.Stage == from {
			status.Stage, status.Cause = to, cause
			m.allocatedCPUs -= freedCPUs
			m.heartbeatSoon()
		}
	}
}

// sendRequest sends a request of a user or an agent to a controller and calls onResponse with the response.
func (s *simCluster) sendRequest(
	n *simController,
	newInput func(requestID uint64) core.Input,
	onResponse func(response core.Response),
) {
	s.lastRequestID++
	requestID := s.lastRequestID
	n.pendingRequests[requestID] = func(response core.Response) {
		s.schedule(localLatency, func() { onResponse(response) })
	}
	s.schedule(localLatency, func() { s.deliver(n, newInput(requestID)) })
}

// randomNode returns a random controller.
func (s *simCluster) randomNode() *simController { return s.controllers[s.rng.IntN(controllerCount)] }

// submitUntilAccepted submits a job and retries after the requested delay until it is accepted.
func (s *simCluster) submitUntilAccepted(spec wire.JobSpec) {
	s.sendRequest(s.randomNode(), func(requestID uint64) core.Input {
		return core.SubmitJob{
			RequestID: requestID, ID: spec.ID, Spec: spec, UnixMS: startUnixMS + s.now.Milliseconds(),
		}
	}, func(response core.Response) {
		if response.Status == wire.StatusCreated || response.Status == wire.StatusOK {
			s.counters.accepted++
			return
		}
		retryAfter := time.Duration(max(1, response.RetryAfterSeconds)) * time.Second
		s.schedule(retryAfter, func() { s.submitUntilAccepted(spec) })
	})
}

// pollUntilDone polls a job every pollInterval until it is done.
func (s *simCluster) pollUntilDone(id string) {
	s.schedule(pollInterval, func() {
		s.sendRequest(s.randomNode(), func(requestID uint64) core.Input {
			return core.GetJob{RequestID: requestID, ID: id}
		}, func(response core.Response) {
			if state, ok := response.Body.(wire.JobState); ok && state.Stage == wire.StageDone {
				return
			}
			s.pollUntilDone(id)
		})
	})
}

// submitJob submits a service or an array and polls it.
func (s *simCluster) submitJob(number int, service bool) {
	id := fmt.Sprintf("wk-%06d", number)
	spec := wire.JobSpec{
		ID:                 id,
		Class:              "firings",
		Team:               "t",
		Priority:           1,
		Tasks:              tasksPerArray,
		Request:            [3]int64{arrayCPUs * 1000, 0, 6000},
		Image:              "i",
		Spot:               true,
		EstimatedRuntimeMS: 50_000,
	}
	if service {
		spec = wire.JobSpec{
			ID:      id,
			Class:   "desk",
			Team:    "t",
			Service: true,
			Tasks:   replicasPerJob,
			Request: [3]int64{serviceCPUs * 1000, 0, 2200},
			Image:   "i",
			Spread:  true,
		}
	} else {
		s.unstartedArrays[id] = s.now
	}
	s.submitUntilAccepted(spec)
	s.pollUntilDone(id)
}

// heapBytes collects garbage and returns the size of the live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // frees objects that finalizers kept alive during the first collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
