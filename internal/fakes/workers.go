package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dewlift/wire"
)

// Workers is a fake of a cloud with machines of one type, whose agents follow the protocol but run nothing: they report
// a task as running shortly after its start command and as done after its duration. All machines share one listener
// on all interfaces; each has an address of its own in 127.0.0.0/8.
type Workers struct {
	machineType       wire.MachineType
	workers           []*Worker
	controllers       []string   // addresses
	provisioningMu    sync.Mutex // guards ctx, scaleOuts and the provisioning of the workers
	ctx               context.Context
	startsRefused     atomic.Int64
	copyDelay         atomic.Int64           // maximum delay of copies of executed command batches, in ns; 0: no copies
	copiesExecuted    atomic.Int64           // see CommandCounts
	startedAgain      atomic.Int64           // see CommandCounts
	clearedCount      atomic.Int64           // see CommandCounts
	partitionedZone   atomic.Pointer[string] // nil or empty: none
	scaleOuts         map[string][]string    // names of the machines of each scale-out by idempotency key
	heartbeatInterval time.Duration
	taskShape         TaskShape
	byIP              map[string]*Worker
	httpClient        http.Client
}

// TaskShape returns the resource request of a task and its duration; a duration of 0 means that the task runs until it
// is stopped.
type TaskShape = func(task string) (request [3]int64, duration time.Duration)

// attemptID identifies an attempt of a task.
type attemptID struct {
	task    string
	attempt uint64
}

// Worker is one machine with its agent.
type Worker struct {
	machine       wire.Machine
	ctx           context.Context // cancelled at scale-in; nil: never provisioned
	stop          context.CancelFunc
	provisionedAt time.Time
	scaledIn      bool
	fleet         *Workers

	mu                                sync.Mutex // guards the fields below
	seq                               uint64
	fencingToken                      uint64
	tasks                             []wire.TaskStatus
	cleared                           map[attemptID]bool
	ackedHeartbeats, failedHeartbeats int

	changed    chan struct{} // triggers the next heartbeat at once
	controller int           // index of the controller that gets the next heartbeat; only heartbeatLoop uses it
}

const (
	bootTime          = 2 * time.Second
	imagePullTime     = 200 * time.Millisecond // from a start command until the task runs
	zoneCheckInterval = 200 * time.Millisecond // while a zone is partitioned
	minHeartbeatGap   = 500 * time.Millisecond // between two heartbeats
	heartbeatTimeout  = 4 * time.Second
	retryInterval     = time.Second // after a failed heartbeat
)

// NewWorkers returns machines that can be provisioned and whose agents send heartbeats to the controllers.
func NewWorkers(
	count int,
	machineType wire.MachineType,
	controllers []string,
	heartbeatInterval time.Duration,
	taskShape TaskShape,
) *Workers {
	ws := &Workers{
		machineType:       machineType,
		controllers:       controllers,
		heartbeatInterval: heartbeatInterval,
		taskShape:         taskShape,
		byIP:              map[string]*Worker{},
		scaleOuts:         map[string][]string{},
	}
	ws.httpClient.Transport = &http.Transport{
		MaxIdleConns:        2 * count,
		MaxIdleConnsPerHost: 2 * count,
		IdleConnTimeout:     time.Minute,
	}
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.1", 1+i/250, 1+i%250)
		worker := &Worker{
			fleet: ws, controller: i % len(controllers), changed: make(chan struct{}, 1),
			cleared: map[attemptID]bool{},
			machine: wire.Machine{
				Name:  fmt.Sprintf("m-%06d", i),
				Addr:  ip,
				Type:  machineType.Name,
				Zone:  machineType.Zones[i%len(machineType.Zones)],
				Stage: wire.MachineBooting,
			},
		}
		ws.byIP[ip] = worker
		ws.workers = append(ws.workers, worker)
	}
	return ws
}

// Run serves the agents of provisioned machines until the context is cancelled.
func (ws *Workers) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return fmt.Errorf("listen for agents: %w", err)
	}
	ws.provisioningMu.Lock()
	for _, worker := range ws.workers {
		worker.machine.Addr = fmt.Sprintf("%s:%d", worker.machine.Addr, listener.Addr().(*net.TCPAddr).Port)
	}
	ws.ctx = ctx // the contexts of the machines derive from it
	ws.provisioningMu.Unlock()
	server := &http.Server{Handler: ws}
	go func() {
		<-ctx.Done()
		_ = server.Close() // Serve returns then
	}()
	if err = server.Serve(listener); ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("serve agents: %w", err)
}

// CloudHandler serves the cloud's interface.
func (ws *Workers) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathCatalog, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wire.Catalog{Types: []wire.MachineType{ws.machineType}})
	})
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		limit, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: "most: " + err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, ws.listMachines(r.URL.Query().Get("from"), limit))
	})
	mux.HandleFunc("POST "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		var request wire.ScaleOutRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		if names := ws.scaleOut(request); len(names) > 0 {
			writeJSON(w, http.StatusOK, wire.MachineNames{Machines: names})
			return
		}
		writeJSON(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
	})
	mux.HandleFunc("POST "+wire.PathScaleIn, func(w http.ResponseWriter, r *http.Request) {
		var names wire.MachineNames
		if err := json.NewDecoder(r.Body).Decode(&names); err != nil {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		ws.scaleIn(names.Machines)
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}

// listMachines returns a page of the provisioned machines after a name.
func (ws *Workers) listMachines(after string, limit int) (list wire.MachineList) {
	ws.provisioningMu.Lock()
	defer ws.provisioningMu.Unlock()
	for _, worker := range ws.workers {
		if !worker.isProvisioned() || worker.machine.Name <= after {
			continue
		}
		if list.More = len(list.Machines) == limit; list.More {
			break
		}
		machine := worker.machine
		machine.AgeS = time.Since(worker.provisionedAt).Seconds()
		list.Machines = append(list.Machines, machine)
	}
	return list
}

// isProvisioned reports whether a machine is provisioned now. The caller holds provisioningMu.
func (w *Worker) isProvisioned() bool { return w.ctx != nil && !w.scaledIn }

// scaleOut provisions as many machines as there are, up to the count. A repeated request returns the machines of the
// first.
func (ws *Workers) scaleOut(request wire.ScaleOutRequest) []string {
	ws.provisioningMu.Lock()
	defer ws.provisioningMu.Unlock()
	names, ok := ws.scaleOuts[request.IdempotencyKey]
	if ok || ws.ctx == nil || request.Type != ws.machineType.Name {
		return names
	}
	for _, worker := range ws.workers {
		if len(names) == request.Count {
			break
		}
		if worker.ctx != nil || worker.scaledIn || worker.machine.Zone != request.Zone {
			continue
		}
		worker.ctx, worker.stop = context.WithCancel(ws.ctx)
		worker.provisionedAt, worker.machine.Spot = time.Now(), request.Spot
		names = append(names, worker.machine.Name)
		go worker.heartbeatLoop(worker.ctx)
	}
	if len(names) > 0 {
		ws.scaleOuts[request.IdempotencyKey] = names
	}
	return names
}

// scaleIn removes machines. They are never provisioned again.
func (ws *Workers) scaleIn(names []string) {
	ws.provisioningMu.Lock()
	defer ws.provisioningMu.Unlock()
	for _, worker := range ws.workers {
		if worker.isProvisioned() && slices.Contains(names, worker.machine.Name) {
			worker.scaledIn = true
			worker.stop()
		}
	}
}

// ProvisionedCount returns the number of provisioned machines.
func (ws *Workers) ProvisionedCount() (count int) {
	ws.provisioningMu.Lock()
	defer ws.provisioningMu.Unlock()
	for _, worker := range ws.workers {
		if worker.isProvisioned() {
			count++
		}
	}
	return count
}

// PartitionZone partitions the machines of a zone: they send no heartbeats, and requests to them wait. Their tasks keep
// running. An empty zone ends the partition.
func (ws *Workers) PartitionZone(zone string) { ws.partitionedZone.Store(&zone) }

// isPartitioned reports whether the machine's zone is partitioned.
func (w *Worker) isPartitioned() bool {
	zone := w.fleet.partitionedZone.Load()
	return zone != nil && *zone == w.machine.Zone
}

// CopyCommands has a copy of each batch of commands that an agent executes arrive once more, after a random delay of up
// to maxDelay, as a network may deliver it. Nobody waits for the response.
func (ws *Workers) CopyCommands(maxDelay time.Duration) { ws.copyDelay.Store(int64(maxDelay)) }

// CommandCounts counts what agents did on command.
type CommandCounts struct {
	Copies       int64 // late copies of batches that were executed
	Cleared      int64 // attempts that were cleared
	StartedAgain int64 // starts of attempts that were cleared before
}

// CommandCounts returns the counts of all agents.
func (ws *Workers) CommandCounts() CommandCounts {
	return CommandCounts{ws.copiesExecuted.Load(), ws.clearedCount.Load(), ws.startedAgain.Load()}
}

// copyLater delivers a copy of an executed batch if CopyCommands asks for that.
func (w *Worker) copyLater(batch wire.CommandBatch) {
	maxDelay := w.fleet.copyDelay.Load()
	if maxDelay == 0 {
		return
	}
	time.AfterFunc(time.Duration(rand.Int64N(maxDelay)), func() {
		if w.ctx.Err() == nil && w.executeCommands(batch.FencingToken, batch.Commands) {
			w.fleet.copiesExecuted.Add(1)
		}
	})
}

// StartsRefused returns how many start commands found no capacity.
func (ws *Workers) StartsRefused() int64 { return ws.startsRefused.Load() }

// HeartbeatCounts returns how many heartbeats were acknowledged, and how many were not.
func (ws *Workers) HeartbeatCounts() (acked, failed int) {
	for _, worker := range ws.workers {
		worker.mu.Lock()
		acked += worker.ackedHeartbeats
		failed += worker.failedHeartbeats
		worker.mu.Unlock()
	}
	return acked, failed
}

// ServeHTTP serves the interface of all agents: the local address of the connection selects the machine.
func (ws *Workers) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	local := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	worker := ws.byIP[local.IP.String()]
	if worker == nil || !worker.isUp() {
		http.Error(rw, "no such machine", http.StatusNotFound)
		return
	}
	for worker.isPartitioned() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(zoneCheckInterval):
		}
	}
	if r.URL.Path == wire.PathAgentCommands {
		var batch wire.CommandBatch
		if err := json.NewDecoder(r.Body).Decode(&batch); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if !worker.executeCommands(batch.FencingToken, batch.Commands) {
			writeJSON(rw, http.StatusConflict, worker.nextHeartbeat())
			return
		}
		worker.copyLater(batch)
	}
	writeJSON(rw, http.StatusOK, worker.nextHeartbeat())
}

// isUp reports whether the machine is provisioned and has booted.
func (w *Worker) isUp() bool {
	w.fleet.provisioningMu.Lock()
	defer w.fleet.provisioningMu.Unlock()
	return w.isProvisioned() && time.Since(w.provisionedAt) > bootTime
}

// nextHeartbeat returns a heartbeat with the status of all tasks.
func (w *Worker) nextHeartbeat() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	machine := &w.machine
	return &wire.Heartbeat{
		Machine:      machine.Name,
		Addr:         machine.Addr,
		Type:         machine.Type,
		Zone:         machine.Zone,
		Spot:         machine.Spot,
		Incarnation:  1,
		Sequence:     w.seq,
		FencingToken: w.fencingToken,
		Tasks:        slices.Clone(w.tasks),
	}
}

// executeCommands executes commands under a fencing token; false if the agent has seen a higher one.
func (w *Worker) executeCommands(fencingToken uint64, commands []wire.Command) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fencingToken < w.fencingToken {
		return false
	}
	w.fencingToken = fencingToken
	for _, command := range commands {
		i := slices.IndexFunc(w.tasks, func(status wire.TaskStatus) bool {
			return status.Task == command.Task && status.Attempt == command.Attempt
		})
		switch {
		case command.Op == wire.OpStart && i < 0:
			w.startTask(command)
		case command.Op == wire.OpStop && i >= 0 && w.tasks[i].Stage != wire.TaskExited:
			w.tasks[i].Stage, w.tasks[i].Cause = wire.TaskExited, wire.CauseStopped
		case command.Op == wire.OpClear && i >= 0 && w.tasks[i].Stage == wire.TaskExited:
			w.tasks = slices.Delete(w.tasks, i, i+1)
			w.cleared[attemptID{command.Task, command.Attempt}] = true
			w.fleet.clearedCount.Add(1)
		}
	}
	return true
}

// startTask admits a task if there is capacity, and schedules its stage transitions. The caller holds mu.
func (w *Worker) startTask(command wire.Command) {
	if w.cleared[attemptID{command.Task, command.Attempt}] {
		w.fleet.startedAgain.Add(1)
	}
	request, duration := w.fleet.taskShape(command.Task)
	status := wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Stage: wire.TaskPullingImage}
	if !w.fits(request) {
		status.Stage, status.Cause = wire.TaskExited, wire.CauseNoCapacity
		w.tasks = append(w.tasks, status)
		w.fleet.startsRefused.Add(1)
		w.triggerHeartbeat()
		return
	}
	w.tasks = append(w.tasks, status)
	time.AfterFunc(imagePullTime, func() {
		w.transitionTask(command, wire.TaskPullingImage, wire.TaskRunning, "")
	})
	if duration > 0 {
		time.AfterFunc(imagePullTime+duration, func() {
			w.transitionTask(command, wire.TaskRunning, wire.TaskExited, wire.CauseDone)
		})
	}
}

// transitionTask moves a task from one stage to the next, if it is still in the first, and triggers a heartbeat.
func (w *Worker) transitionTask(command wire.Command, from, to, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.tasks {
		status := &w.tasks[i]
		if status.Task == command.Task && status.Attempt == command.Attempt && status.Stage == from {
			status.Stage, status.Cause = to, cause
			w.triggerHeartbeat()
		}
	}
}

// triggerHeartbeat has the next heartbeat sent at once.
func (w *Worker) triggerHeartbeat() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// fits reports whether a request fits next to the tasks that have not exited. The caller holds mu.
func (w *Worker) fits(request [3]int64) bool {
	available := w.fleet.machineType.Capacity()
	for _, status := range w.tasks {
		if status.Stage != wire.TaskExited {
			allocated, _ := w.fleet.taskShape(status.Task)
			for i := range available {
				available[i] -= allocated[i]
			}
		}
	}
	return available[0] >= request[0] && available[1] >= request[1] && available[2] >= request[2]
}

// heartbeatLoop sends heartbeats, periodically with jitter and when a task changes, until the machine is scaled in.
// After a failed heartbeat the next one goes to the next controller.
func (w *Worker) heartbeatLoop(ctx context.Context) {
	wait := bootTime + rand.N(time.Second)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-w.changed:
			timer.Stop()
		}
		wait = w.fleet.heartbeatInterval*3/4 + rand.N(w.fleet.heartbeatInterval/2)
		if w.isPartitioned() {
			wait = zoneCheckInterval
			continue
		}
		if err := w.sendHeartbeat(ctx); err != nil {
			w.controller = (w.controller + 1) % len(w.fleet.controllers)
			wait = retryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHeartbeatGap):
		}
	}
}

// sendHeartbeat sends one heartbeat, counts its outcome and executes the commands in the response.
func (w *Worker) sendHeartbeat(ctx context.Context) error {
	response, err := w.postHeartbeat(ctx)
	if err == nil {
		w.executeCommands(response.FencingToken, response.Commands)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failedHeartbeats++
	} else {
		w.ackedHeartbeats++
	}
	return err
}

// postHeartbeat sends a heartbeat to the current controller and reads its response.
func (w *Worker) postHeartbeat(ctx context.Context) (*wire.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	raw, err := json.Marshal(w.nextHeartbeat())
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	url := "http://" + w.fleet.controllers[w.controller] + wire.PathHeartbeat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("create heartbeat request: %w", err)
	}
	response, err := w.fleet.httpClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send heartbeat: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body is read to its end, or the heartbeat has failed
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read heartbeat response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("send heartbeat: status %d", response.StatusCode)
	}
	var out wire.HeartbeatResponse
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, fmt.Errorf("decode heartbeat response: %w", err)
	}
	return &out, nil
}
