package fakes

import (
	"bytes"
	"context"
	"dewlift/wire"
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
)

// Workers are a cloud's machines, of one type, that do as the protocol says but for the work
// itself: a task is running a moment after its start and done after its time. They share one
// listener on loopback: each has an address of its own in 127.0.0.0/8.
type Workers struct {
	machineType       wire.MachineType
	workers           []*Worker
	controllers       []string // addresses of controllers
	rentalMu          sync.Mutex
	ctx               context.Context
	startsRefused     atomic.Int64           // starts
	cutZone           atomic.Pointer[string] // a zone that is cut off
	rentals           map[string][]string    // by the name of the request, the machines rented
	heartbeatInterval time.Duration
	taskShape         func(piece string) (claim [3]int64, run time.Duration)
	byIP              map[string]*Worker
	httpClient        http.Client
}

// Worker is one machine.
type Worker struct {
	machine                           wire.Machine
	ctx                               context.Context // of its rental; nil: not rented
	stop                              context.CancelFunc
	rentedAt                          time.Time
	returned                          bool // it was returned
	fleet                             *Workers
	mu                                sync.Mutex
	seq                               uint64
	fencingToken                      uint64
	tasks                             []wire.TaskStatus
	changed                           chan struct{}
	controller                        int
	ackedHeartbeats, failedHeartbeats int // reports
}

const (
	bootTime         = 2 * time.Second
	imageFetchTime   = 200 * time.Millisecond // from a start until the task runs
	minHeartbeatGap  = 500 * time.Millisecond // between two reports
	heartbeatTimeout = 4 * time.Second
)

// NewWorkers makes n machines that will report to controllers; task tells what a task takes of its machine and for how
// long, 0: for ever.
func NewWorkers(
	n int,
	machineType wire.MachineType,
	controllers []string,
	heartbeatInterval time.Duration,
	taskShape func(piece string) (claim [3]int64, run time.Duration),
) *Workers {
	all := &Workers{
		machineType:       machineType,
		controllers:       controllers,
		heartbeatInterval: heartbeatInterval,
		taskShape:         taskShape,
		byIP:              map[string]*Worker{},
		rentals:           map[string][]string{},
	}
	all.httpClient.Transport = &http.Transport{
		MaxIdleConns:        2 * n,
		MaxIdleConnsPerHost: 2 * n,
		IdleConnTimeout:     time.Minute,
	}
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.1", 1+i/250, 1+i%250)
		w := &Worker{
			fleet: all, controller: i % len(controllers), changed: make(chan struct{}, 1),
			machine: wire.Machine{
				Name:  fmt.Sprintf("m-%06d", i),
				Addr:  ip,
				Type:  machineType.Name,
				Zone:  machineType.Zones[i%len(machineType.Zones)],
				Stage: wire.MachineBooting,
			},
		}
		all.byIP[ip] = w
		all.workers = append(all.workers, w)
	}
	return all
}

// Run has rented machines take orders until the context ends.
func (all *Workers) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return fmt.Errorf("workers: %w", err)
	}
	all.rentalMu.Lock()
	for _, w := range all.workers {
		w.machine.Addr = fmt.Sprintf("%s:%d", w.machine.Addr, ln.Addr().(*net.TCPAddr).Port)
	}
	all.ctx = ctx
	all.rentalMu.Unlock()
	srv := &http.Server{Handler: all}
	go func() {
		<-ctx.Done()
		_ = srv.Close() // ends with the machines
	}()
	if err = srv.Serve(ln); ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("workers: %w", err)
}

// CloudHandler is the cloud's interface to the machines.
func (all *Workers) CloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathCatalog, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, wire.Catalog{Types: []wire.MachineType{all.machineType}})
	})
	mux.HandleFunc("GET "+wire.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: "most: " + err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, all.listMachines(r.URL.Query().Get("from"), most))
	})
	mux.HandleFunc("POST "+wire.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		var req wire.ScaleOutRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		if names := all.rentMachines(req); len(names) > 0 {
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
		all.returnMachines(names.Machines)
		writeJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}

func (all *Workers) listMachines(from string, most int) (list wire.MachineList) {
	all.rentalMu.Lock()
	defer all.rentalMu.Unlock()
	for _, w := range all.workers {
		if w.ctx == nil || w.returned || w.machine.Name <= from {
			continue
		}
		if list.More = len(list.Machines) == most; list.More {
			break
		}
		m := w.machine
		m.AgeS = time.Since(w.rentedAt).Seconds()
		list.Machines = append(list.Machines, m)
	}
	return list
}

// rentMachines rents as many as there are, once for each name of a request.
func (all *Workers) rentMachines(r wire.ScaleOutRequest) []string {
	all.rentalMu.Lock()
	defer all.rentalMu.Unlock()
	if names, ok := all.rentals[r.IdempotencyKey]; ok || all.ctx == nil || r.Type != all.machineType.Name {
		return names
	}
	var names []string
	for _, w := range all.workers {
		if len(names) == r.Count {
			break
		}
		if w.ctx != nil || w.returned || w.machine.Zone != r.Zone {
			continue
		}
		w.ctx, w.stop = context.WithCancel(all.ctx)
		w.rentedAt, w.machine.Spot = time.Now(), r.Spot
		names = append(names, w.machine.Name)
		go w.heartbeatLoop(w.ctx)
	}
	if len(names) > 0 {
		all.rentals[r.IdempotencyKey] = names
	}
	return names
}

func (all *Workers) returnMachines(names []string) {
	all.rentalMu.Lock()
	defer all.rentalMu.Unlock()
	for _, w := range all.workers {
		if w.ctx != nil && !w.returned && slices.Contains(names, w.machine.Name) {
			w.returned = true
			w.stop()
		}
	}
}

// RentedCount is how many machines are rented.
func (all *Workers) RentedCount() (n int) {
	all.rentalMu.Lock()
	defer all.rentalMu.Unlock()
	for _, w := range all.workers {
		if w.ctx != nil && !w.returned {
			n++
		}
	}
	return n
}

// CutZone has the machines of a zone hang: nothing of them is heard, and who asks them waits. Their
// tasks run on. "": none.
func (all *Workers) CutZone(zone string) { all.cutZone.Store(&zone) }

func (w *Worker) isZoneCut() bool {
	z := w.fleet.cutZone.Load()
	return z != nil && *z == w.machine.Zone
}

// StartsRefused is how many starts found no room.
func (all *Workers) StartsRefused() int64 { return all.startsRefused.Load() }

// HeartbeatCounts is how many reports were answered and how many not.
func (all *Workers) HeartbeatCounts() (answered, failed int) {
	for _, w := range all.workers {
		w.mu.Lock()
		answered += w.ackedHeartbeats
		failed += w.failedHeartbeats
		w.mu.Unlock()
	}
	return answered, failed
}

// ServeHTTP takes orders and shows reports.
func (all *Workers) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	local := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	w := all.byIP[local.IP.String()]
	if w == nil || !w.isUp() {
		http.Error(rw, "no such machine", http.StatusNotFound)
		return
	}
	for w.isZoneCut() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(imageFetchTime):
		}
	}
	if r.URL.Path == wire.PathAgentCommands {
		var o wire.CommandBatch
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if !w.executeCommands(o.FencingToken, o.Commands) {
			writeJSON(rw, http.StatusConflict, w.nextHeartbeat())
			return
		}
	}
	writeJSON(rw, http.StatusOK, w.nextHeartbeat())
}

func (w *Worker) isUp() bool {
	w.fleet.rentalMu.Lock()
	defer w.fleet.rentalMu.Unlock()
	return w.ctx != nil && !w.returned && time.Since(w.rentedAt) > bootTime
}

func (w *Worker) nextHeartbeat() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	m := &w.machine
	return &wire.Heartbeat{
		Machine:      m.Name,
		Addr:         m.Addr,
		Type:         m.Type,
		Zone:         m.Zone,
		Spot:         m.Spot,
		Incarnation:  1,
		Sequence:     w.seq,
		FencingToken: w.fencingToken,
		Tasks:        slices.Clone(w.tasks),
	}
}

// executeCommands executes orders under a token; false if the machine has seen a higher one.
func (w *Worker) executeCommands(token uint64, orders []wire.Command) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.fencingToken {
		return false
	}
	w.fencingToken = token
	for _, o := range orders {
		i := slices.IndexFunc(
			w.tasks,
			func(p wire.TaskStatus) bool { return p.Task == o.Task && p.Attempt == o.Attempt },
		)
		switch {
		case o.Op == wire.OpStart && i < 0:
			claim, d := w.fleet.taskShape(o.Task)
			if !w.fits(claim) {
				w.tasks = append(
					w.tasks,
					wire.TaskStatus{
						Task:    o.Task,
						Attempt: o.Attempt,
						Stage:   wire.TaskExited,
						Cause:   wire.CauseNoCapacity,
					},
				)
				w.fleet.startsRefused.Add(1)
				w.triggerHeartbeat()
				break
			}
			w.tasks = append(w.tasks, wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Stage: wire.TaskPullingImage})
			time.AfterFunc(
				imageFetchTime,
				func() { w.transitionTask(o, wire.TaskPullingImage, wire.TaskRunning, "") },
			)
			if d > 0 {
				time.AfterFunc(
					imageFetchTime+d,
					func() { w.transitionTask(o, wire.TaskRunning, wire.TaskExited, wire.CauseDone) },
				)
			}
		case o.Op == wire.OpStop && i >= 0 && w.tasks[i].Stage != wire.TaskExited:
			w.tasks[i].Stage, w.tasks[i].Cause = wire.TaskExited, wire.CauseStopped
		case o.Op == wire.OpClear && i >= 0 && w.tasks[i].Stage == wire.TaskExited:
			w.tasks = slices.Delete(w.tasks, i, i+1)
		}
	}
	return true
}

// transitionTask has a task go from one state to the next, and is told at once.
func (w *Worker) transitionTask(o wire.Command, from, to, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.tasks {
		if p := &w.tasks[i]; p.Task == o.Task && p.Attempt == o.Attempt && p.Stage == from {
			p.Stage, p.Cause = to, cause
			w.triggerHeartbeat()
		}
	}
}

// triggerHeartbeat has the next report sent at once.
func (w *Worker) triggerHeartbeat() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// fits reports whether there is room beside the tasks that have not exited.
func (w *Worker) fits(claim [3]int64) bool {
	room := w.fleet.machineType.Capacity()
	for _, p := range w.tasks {
		if p.Stage != wire.TaskExited {
			c, _ := w.fleet.taskShape(p.Task)
			for i := range room {
				room[i] -= c[i]
			}
		}
	}
	return room[0] >= claim[0] && room[1] >= claim[1] && room[2] >= claim[2]
}

func (w *Worker) heartbeatLoop(ctx context.Context) {
	wait := bootTime + rand.N(time.Second)
	for {
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-w.changed:
			t.Stop()
		}
		wait = w.fleet.heartbeatInterval*3/4 + rand.N(w.fleet.heartbeatInterval/2)
		if w.isZoneCut() {
			wait = imageFetchTime
			continue
		}
		good := w.sendHeartbeat(ctx)
		w.mu.Lock()
		if good {
			w.ackedHeartbeats++
		} else {
			w.failedHeartbeats++
		}
		w.mu.Unlock()
		if !good {
			w.controller = (w.controller + 1) % len(w.fleet.controllers)
			wait = time.Second
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHeartbeatGap):
		}
	}
}

// sendHeartbeat reports once and does what it is told.
func (w *Worker) sendHeartbeat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	raw, err := json.Marshal(w.nextHeartbeat())
	if err != nil {
		panic(err) // strings and numbers
	}
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+w.fleet.controllers[w.controller]+wire.PathHeartbeat,
		bytes.NewReader(raw),
	)
	if err != nil {
		return false
	}
	resp, err := w.fleet.httpClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var b wire.HeartbeatResponse
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &b) != nil {
		return false
	}
	w.executeCommands(b.FencingToken, b.Commands)
	return true
}
