package standin

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

// Workers are a cloud's machines, of one type, that do as the protocol says but for the work itself: a task is running a moment
// after its start and done after its time. They share one listener on loopback: each has an address of its own in 127.0.0.0/8.
type Workers struct {
	kind    wire.MachineType
	list    []*Worker
	nodes   []string // addresses of controllers
	rent    sync.Mutex
	ctx     context.Context
	refused atomic.Int64           // starts
	cut     atomic.Pointer[string] // a zone that is cut off
	hires   map[string][]string    // by the name of the request, the machines rented
	every   time.Duration
	task    func(piece string) (claim [3]int64, run time.Duration)
	by      map[string]*Worker
	http    http.Client
}

// Worker is one machine.
type Worker struct {
	machine          wire.Machine
	ctx              context.Context // of its rental; nil: not rented
	end              context.CancelFunc
	rented           time.Time
	over             bool // it was returned
	all              *Workers
	mu               sync.Mutex
	seq              uint64
	token            uint64
	pieces           []wire.TaskStatus
	changed          chan struct{}
	node             int
	answered, failed int // reports
}

const (
	boot       = 2 * time.Second
	fetch      = 200 * time.Millisecond // from a start until the task runs
	leastApart = 500 * time.Millisecond // between two reports
	beatMost   = 4 * time.Second
)

// NewWorkers makes n machines that will report to controllers; task tells what a task takes of its machine and for how
// long, 0: for ever.
func NewWorkers(n int, kind wire.MachineType, nodes []string, every time.Duration, task func(piece string) (claim [3]int64, run time.Duration)) *Workers {
	all := &Workers{kind: kind, nodes: nodes, every: every, task: task, by: map[string]*Worker{}, hires: map[string][]string{}}
	all.http.Transport = &http.Transport{MaxIdleConns: 2 * n, MaxIdleConnsPerHost: 2 * n, IdleConnTimeout: time.Minute}
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.1", 1+i/250, 1+i%250)
		w := &Worker{all: all, node: i % len(nodes), changed: make(chan struct{}, 1),
			machine: wire.Machine{Name: fmt.Sprintf("m-%06d", i), Addr: ip, Type: kind.Name, Zone: kind.Zones[i%len(kind.Zones)], Stage: wire.MachineBooting}}
		all.by[ip] = w
		all.list = append(all.list, w)
	}
	return all
}

// Run has rented machines take orders until the context ends.
func (all *Workers) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return fmt.Errorf("workers: %w", err)
	}
	all.rent.Lock()
	for _, w := range all.list {
		w.machine.Addr = fmt.Sprintf("%s:%d", w.machine.Addr, ln.Addr().(*net.TCPAddr).Port)
	}
	all.ctx = ctx
	all.rent.Unlock()
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

// Cloud is the cloud's interface to the machines.
func (all *Workers) Cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathCatalog, func(w http.ResponseWriter, r *http.Request) {
		answer(w, http.StatusOK, wire.Catalog{Types: []wire.MachineType{all.kind}})
	})
	mux.HandleFunc("GET "+wire.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		most, err := strconv.Atoi(r.URL.Query().Get("most"))
		if err != nil {
			answer(w, http.StatusBadRequest, wire.Error{Error: "most: " + err.Error()})
			return
		}
		answer(w, http.StatusOK, all.page(r.URL.Query().Get("from"), most))
	})
	mux.HandleFunc("POST "+wire.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		var req wire.ScaleOutRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			answer(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		if names := all.hire(req); len(names) > 0 {
			answer(w, http.StatusOK, wire.MachineNames{Machines: names})
			return
		}
		answer(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
	})
	mux.HandleFunc("POST "+wire.PathScaleIn, func(w http.ResponseWriter, r *http.Request) {
		var names wire.MachineNames
		if err := json.NewDecoder(r.Body).Decode(&names); err != nil {
			answer(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
			return
		}
		all.giveBack(names.Machines)
		answer(w, http.StatusOK, struct{}{})
	})
	return mux
}

func (all *Workers) page(from string, most int) (list wire.MachineList) {
	all.rent.Lock()
	defer all.rent.Unlock()
	for _, w := range all.list {
		if w.ctx == nil || w.over || w.machine.Name <= from {
			continue
		}
		if list.More = len(list.Machines) == most; list.More {
			break
		}
		m := w.machine
		m.AgeS = time.Since(w.rented).Seconds()
		list.Machines = append(list.Machines, m)
	}
	return list
}

// hire rents as many as there are, once for each name of a request.
func (all *Workers) hire(r wire.ScaleOutRequest) []string {
	all.rent.Lock()
	defer all.rent.Unlock()
	if names, ok := all.hires[r.IdempotencyKey]; ok || all.ctx == nil || r.Type != all.kind.Name {
		return names
	}
	var names []string
	for _, w := range all.list {
		if len(names) == r.Count {
			break
		}
		if w.ctx != nil || w.over || w.machine.Zone != r.Zone {
			continue
		}
		w.ctx, w.end = context.WithCancel(all.ctx)
		w.rented, w.machine.Spot = time.Now(), r.Spot
		names = append(names, w.machine.Name)
		go w.reports(w.ctx)
	}
	if len(names) > 0 {
		all.hires[r.IdempotencyKey] = names
	}
	return names
}

func (all *Workers) giveBack(names []string) {
	all.rent.Lock()
	defer all.rent.Unlock()
	for _, w := range all.list {
		if w.ctx != nil && !w.over && slices.Contains(names, w.machine.Name) {
			w.over = true
			w.end()
		}
	}
}

// Up is how many machines are rented.
func (all *Workers) Up() (n int) {
	all.rent.Lock()
	defer all.rent.Unlock()
	for _, w := range all.list {
		if w.ctx != nil && !w.over {
			n++
		}
	}
	return n
}

// Cut has the machines of a zone hang: nothing of them is heard, and who asks them waits. Their tasks run on. "": none.
func (all *Workers) Cut(zone string) { all.cut.Store(&zone) }

func (w *Worker) isCut() bool {
	z := w.all.cut.Load()
	return z != nil && *z == w.machine.Zone
}

// Refused is how many starts found no room.
func (all *Workers) Refused() int64 { return all.refused.Load() }

// Reports is how many reports were answered and how many not.
func (all *Workers) Reports() (answered, failed int) {
	for _, w := range all.list {
		w.mu.Lock()
		answered += w.answered
		failed += w.failed
		w.mu.Unlock()
	}
	return answered, failed
}

// ServeHTTP takes orders and shows reports.
func (all *Workers) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	local := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	w := all.by[local.IP.String()]
	if w == nil || !w.lives() {
		http.Error(rw, "no such machine", http.StatusNotFound)
		return
	}
	for w.isCut() {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(fetch):
		}
	}
	if r.URL.Path == wire.PathAgentCommands {
		var o wire.CommandBatch
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		if !w.take(o.FencingToken, o.Commands) {
			answer(rw, http.StatusConflict, w.report())
			return
		}
	}
	answer(rw, http.StatusOK, w.report())
}

func (w *Worker) lives() bool {
	w.all.rent.Lock()
	defer w.all.rent.Unlock()
	return w.ctx != nil && !w.over && time.Since(w.rented) > boot
}

func (w *Worker) report() *wire.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	m := &w.machine
	return &wire.Heartbeat{Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: 1, Sequence: w.seq, FencingToken: w.token, Tasks: slices.Clone(w.pieces)}
}

// take executes orders under a token; false if the machine has seen a higher one.
func (w *Worker) take(token uint64, orders []wire.Command) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.token {
		return false
	}
	w.token = token
	for _, o := range orders {
		i := slices.IndexFunc(w.pieces, func(p wire.TaskStatus) bool { return p.Task == o.Task && p.Attempt == o.Attempt })
		switch {
		case o.Op == wire.OpStart && i < 0:
			claim, d := w.all.task(o.Task)
			if !w.fits(claim) {
				w.pieces = append(w.pieces, wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Stage: wire.TaskExited, Cause: wire.CauseNoCapacity})
				w.all.refused.Add(1)
				w.tell()
				break
			}
			w.pieces = append(w.pieces, wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Stage: wire.TaskPullingImage})
			time.AfterFunc(fetch, func() { w.becomes(o, wire.TaskPullingImage, wire.TaskRunning, "") })
			if d > 0 {
				time.AfterFunc(fetch+d, func() { w.becomes(o, wire.TaskRunning, wire.TaskExited, wire.CauseDone) })
			}
		case o.Op == wire.OpStop && i >= 0 && w.pieces[i].Stage != wire.TaskExited:
			w.pieces[i].Stage, w.pieces[i].Cause = wire.TaskExited, wire.CauseStopped
		case o.Op == wire.OpClear && i >= 0 && w.pieces[i].Stage == wire.TaskExited:
			w.pieces = slices.Delete(w.pieces, i, i+1)
		}
	}
	return true
}

// becomes has a task go from one state to the next, and is told at once.
func (w *Worker) becomes(o wire.Command, from, to, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.pieces {
		if p := &w.pieces[i]; p.Task == o.Task && p.Attempt == o.Attempt && p.Stage == from {
			p.Stage, p.Cause = to, cause
			w.tell()
		}
	}
}

// tell has the next report sent at once.
func (w *Worker) tell() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// fits reports whether there is room beside the tasks that have not exited.
func (w *Worker) fits(claim [3]int64) bool {
	room := w.all.kind.Capacity()
	for _, p := range w.pieces {
		if p.Stage != wire.TaskExited {
			c, _ := w.all.task(p.Task)
			for i := range room {
				room[i] -= c[i]
			}
		}
	}
	return room[0] >= claim[0] && room[1] >= claim[1] && room[2] >= claim[2]
}

func (w *Worker) reports(ctx context.Context) {
	wait := boot + rand.N(time.Second)
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
		wait = w.all.every*3/4 + rand.N(w.all.every/2)
		if w.isCut() {
			wait = fetch
			continue
		}
		good := w.beat(ctx)
		w.mu.Lock()
		if good {
			w.answered++
		} else {
			w.failed++
		}
		w.mu.Unlock()
		if !good {
			w.node = (w.node + 1) % len(w.all.nodes)
			wait = time.Second
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leastApart):
		}
	}
}

// beat reports once and does what it is told.
func (w *Worker) beat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, beatMost)
	defer cancel()
	raw, err := json.Marshal(w.report())
	if err != nil {
		panic(err) // strings and numbers
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.all.nodes[w.node]+wire.PathHeartbeat, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	resp, err := w.all.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var b wire.HeartbeatResponse
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &b) != nil {
		return false
	}
	w.take(b.FencingToken, b.Commands)
	return true
}
