//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const maxBody = 64 << 10 // "A request body may be at most 64 KiB"

// machineType is an entry of the cloud's catalog.
type machineType struct {
	Sku      string   `json:"sku"`
	CPUs     float64  `json:"cpus"`
	Cards    float64  `json:"cards"`
	RAM      float64  `json:"ram_gb"`
	Local    float64  `json:"local_gb"`
	Pull     float64  `json:"pull_gb_per_s"`
	Price    float64  `json:"price"`
	LowPrice float64  `json:"low_price"`
	StartupS float64  `json:"startup_s"`
	Yards    []string `json:"yards"`
}

// piece is a task on a machine, in the form of a report.
type piece struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`
}

type report struct {
	Hearth   string   `json:"hearth"`
	Address  string   `json:"address"`
	Kiln     string   `json:"kiln"`
	Yard     string   `json:"yard"`
	Borrowed bool     `json:"borrowed"`
	Shift    uint64   `json:"shift"`
	Tally    uint64   `json:"tally"`
	Baton    uint64   `json:"baton"`
	RecallS  *float64 `json:"recall_s"`
	Pieces   []piece  `json:"pieces"`
}

type order struct {
	Order string   `json:"order"`
	Piece string   `json:"piece"`
	Try   uint64   `json:"try"`
	Damp  *float64 `json:"damp_s"`
}

type orders struct {
	Baton  *uint64 `json:"baton"`
	Shift  *uint64 `json:"shift"`
	Orders []order `json:"orders"`
}

// worker is one machine. It follows the pages' section "Workers -> controller nodes".
type worker struct {
	fleet   *fleet
	name    string
	kiln    machineType
	yard    string
	spot    bool
	rented  time.Time
	bootAt  time.Time
	ctx     context.Context
	stop    context.CancelFunc
	ln      net.Listener
	changed chan struct{}

	mu           sync.Mutex
	shift        uint64
	tally        uint64
	baton        uint64
	pieces       []*piece
	sessionSince time.Time
	answeredSent time.Time // when the last answered report was sent
	up           bool
	node         int
	images       map[string]bool
	deafUntil    time.Time // answers to its reports and to orders are lost until then
	frozenUntil  time.Time // it hangs until then
}

// fleet is the cloud and its machines.
type fleet struct {
	s       *site
	mu      sync.Mutex
	types   []machineType
	hires   map[string][]string
	workers map[string]*worker
	last    int
	most    int                       // machines in all
	on      map[string]map[string]int // task -> machine -> copies that are on it
	started map[string]int            // task -> times it began to run
	done    map[string]bool
	begun   map[string]time.Time
	client  *http.Client
	outage  bool // the cloud answers 503
}

func newFleet(s *site, types []machineType, most int) *fleet {
	return &fleet{
		s: s, types: types, most: most, hires: map[string][]string{}, workers: map[string]*worker{},
		on: map[string]map[string]int{}, started: map[string]int{}, done: map[string]bool{},
		begun:  map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP is the cloud's interface.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	down := f.outage
	f.mu.Unlock()
	if down {
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		reply(w, 200, map[string]any{"kilns": f.types})
	case "POST /rentals":
		f.rent(w, r)
	case "POST /rentals/return":
		var in struct {
			Hearths []string `json:"hearths"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Hearths) > 100 {
			reply(w, 400, nil)
			return
		}
		for _, name := range in.Hearths {
			f.remove(name)
		}
		f.s.record("cloud", "machines returned: %v", in.Hearths)
		reply(w, 200, map[string]any{})
	case "GET /rentals":
		f.list(w, r)
	default:
		reply(w, 400, nil)
	}
}

func (f *fleet) rent(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Hire     string `json:"hire"`
		Kiln     string `json:"kiln"`
		Yard     string `json:"yard"`
		Borrowed bool   `json:"borrowed"`
		HowMany  int    `json:"how_many"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.HowMany < 1 || in.HowMany > 50 {
		reply(w, 400, nil)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, ok := f.hires[in.Hire]; ok {
		reply(w, 200, map[string]any{"hearths": names})
		return
	}
	var kiln *machineType
	for i := range f.types {
		if f.types[i].Sku == in.Kiln {
			kiln = &f.types[i]
		}
	}
	if kiln == nil {
		reply(w, 400, nil)
		return
	}
	var names []string
	for len(names) < in.HowMany && len(f.workers) < f.most {
		f.last++
		wk := &worker{
			fleet: f, name: fmt.Sprintf("m-%06d", f.last), kiln: *kiln, yard: in.Yard, spot: in.Borrowed,
			rented: time.Now(), shift: 1, changed: make(chan struct{}, 1), node: f.last,
			images: map[string]bool{},
		}
		wk.bootAt = wk.rented.Add(time.Duration(kiln.StartupS * float64(time.Second)))
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			break
		}
		wk.ln = ln
		wk.ctx, wk.stop = context.WithCancel(f.s.ctx)
		f.workers[wk.name] = wk
		names = append(names, wk.name)
		go wk.run()
	}
	if len(names) == 0 {
		reply(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	f.hires[in.Hire] = names
	f.s.record("cloud", "rented for %s: %s %s %v", in.Hire, in.Kiln, in.Yard, names)
	reply(w, 200, map[string]any{"hearths": names})
}

func (f *fleet) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("from")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > 500 {
		most = 500
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.workers {
		if name > from {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > most
	names = names[:min(len(names), most)]
	out := []map[string]any{}
	for _, name := range names {
		wk := f.workers[name]
		stage := "starting"
		if time.Now().After(wk.bootAt) {
			stage = "running"
		}
		out = append(out, map[string]any{
			"uid": name, "address": wk.ln.Addr().String(), "kiln": wk.kiln.Sku, "yard": wk.yard,
			"borrowed": wk.spot, "stage": stage, "age_s": time.Since(wk.rented).Seconds(),
		})
	}
	reply(w, 200, map[string]any{"hearths": out, "more": more})
}

func (f *fleet) remove(name string) {
	f.mu.Lock()
	wk := f.workers[name]
	delete(f.workers, name)
	f.mu.Unlock()
	if wk == nil {
		return
	}
	wk.stop()
	_ = wk.ln.Close()
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for _, p := range wk.pieces {
		wk.leave(p)
	}
	wk.pieces = nil
}

// all lists the machines that exist.
func (f *fleet) all() (out []*worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, wk := range f.workers {
		out = append(out, wk)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// enter records that a task is on its machine from now on.
func (w *worker) enter(p *piece) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.on[p.Piece] == nil {
		f.on[p.Piece] = map[string]int{}
	}
	f.on[p.Piece][w.name]++
	f.started[p.Piece]++
	f.begun[p.Piece] = time.Now()
	f.checkStart(w, p)
	var elsewhere []string
	for name, n := range f.on[p.Piece] {
		if name != w.name && n > 0 {
			elsewhere = append(elsewhere, name)
		}
	}
	f.s.record("worker "+w.name, "%s try %d runs", p.Piece, p.Try)
	if len(elsewhere) > 0 {
		f.s.broken("ran_twice", "%s starts on %s while it is on %v", p.Piece, w.name, elsewhere)
	}
}

// leave records that a task is not on its machine any more, if it was. The caller holds w.mu.
func (w *worker) leave(p *piece) {
	if p.Stage != "running" && p.Stage != "saving" {
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on[p.Piece][w.name]--
}

// isDone reports whether a task has completed before.
func (f *fleet) isDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

func (w *worker) trigger() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *worker) run() {
	select {
	case <-w.ctx.Done():
		return
	case <-time.After(time.Until(w.bootAt)):
	}
	w.mu.Lock()
	w.up, w.sessionSince, w.answeredSent = true, time.Now(), time.Now()
	w.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(w.ln) }()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	go w.watchLease()
	w.reportLoop()
}

func (w *worker) watchLease() {
	lease := time.Duration(w.fleet.s.cfg.leaseS * float64(time.Second))
	for w.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		if time.Now().Before(w.frozenUntil) {
			w.mu.Unlock()
			continue
		}
		if time.Since(w.answeredSent) > lease {
			for _, p := range w.pieces {
				w.leave(p)
			}
			w.fleet.s.record("worker "+w.name, "lease of session %d ran out, %d tasks killed", w.shift, len(w.pieces))
			w.pieces = nil
			w.shift++
			w.sessionSince, w.answeredSent = time.Now(), time.Now()
			w.trigger()
		}
		w.mu.Unlock()
	}
}

func (w *worker) state() report {
	w.tally++
	r := report{
		Hearth: w.name, Address: w.ln.Addr().String(), Kiln: w.kiln.Sku, Yard: w.yard, Borrowed: w.spot,
		Shift: w.shift, Tally: w.tally, Baton: w.baton, Pieces: []piece{},
	}
	for _, p := range w.pieces {
		r.Pieces = append(r.Pieces, *p)
	}
	return r
}

func (w *worker) reportLoop() {
	every := time.Duration(w.fleet.s.cfg.reportS * float64(time.Second))
	wait := time.Duration(0)
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(wait):
		case <-w.changed:
		}
		wait = every*3/4 + rand.N(every/2)
		if !w.sendReport() {
			w.node++
			select {
			case <-w.ctx.Done():
				return
			case <-time.After(time.Second):
			}
			wait = 0
			continue
		}
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// thaw waits while the machine hangs.
func (w *worker) thaw() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		left := time.Until(w.frozenUntil)
		w.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, 100*time.Millisecond))
	}
}

func (w *worker) isDeaf() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.deafUntil)
}

func (w *worker) sendReport() bool {
	w.thaw()
	w.mu.Lock()
	r := w.state()
	w.mu.Unlock()
	raw, _ := json.Marshal(r)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
	defer cancel()
	nodes := w.fleet.s.nodes
	target := nodes[w.node%len(nodes)]
	if rand.Float64() < w.fleet.s.cfg.lateReports {
		time.AfterFunc(2*time.Second+rand.N(40*time.Second), func() {
			for _, n := range nodes { // a copy arrives again, everywhere
				req, _ := http.NewRequest("POST", "http://"+n.workerAddr()+"/agent/beat", bytes.NewReader(raw))
				if resp, err := w.fleet.client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}
		})
	}
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+target.workerAddr()+"/agent/beat", bytes.NewReader(raw))
	resp, err := w.fleet.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if w.isDeaf() {
		return false
	}
	w.thaw()
	if time.Since(sent) > 4*time.Second {
		return false
	}
	if err != nil || resp.StatusCode != 200 {
		if resp.StatusCode == 413 {
			w.fleet.s.record("worker "+w.name, "report of %d bytes answered 413", len(raw))
		}
		return false
	}
	var in orders
	if json.Unmarshal(body, &in) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Shift != w.shift || in.Baton == nil || *in.Baton < w.baton {
		return true // dropped
	}
	w.baton = *in.Baton
	if sent.After(w.answeredSent) {
		w.answeredSent = sent
	}
	w.execute(in.Orders)
	return true
}

// serve is the worker's own interface.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /show":
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, 200, w.state())
	case "POST /orders":
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		if err != nil {
			return
		}
		if len(raw) > maxBody {
			w.fleet.s.record("worker "+w.name, "orders of more than 64 KiB, answered 413 (length %d)", r.ContentLength)
			reply(rw, 413, map[string]string{"error": "body over 64 KiB"})
			return
		}
		var in orders
		if json.Unmarshal(raw, &in) != nil || in.Baton == nil || in.Shift == nil {
			reply(rw, 400, nil)
			return
		}
		w.thaw()
		late := w.fleet.s.lateOrders()
		if late > 0 {
			w.fleet.s.record("worker "+w.name, "orders held up for %v", late)
			time.Sleep(late)
		}
		lost := late > 0 || w.isDeaf()
		w.mu.Lock()
		defer w.mu.Unlock()
		if lost && r.Context().Err() == nil {
			defer panic(http.ErrAbortHandler)
		}
		if *in.Baton < w.baton || *in.Shift != w.shift {
			reply(rw, 409, w.state())
			return
		}
		w.baton = *in.Baton
		w.execute(in.Orders)
		reply(rw, 200, w.state())
	default:
		reply(rw, 404, nil)
	}
}

// execute carries out orders. The caller holds w.mu.
func (w *worker) execute(list []order) {
	for _, o := range list {
		i := -1
		for k, p := range w.pieces {
			if p.Piece == o.Piece && p.Try == o.Try {
				i = k
			}
		}
		w.fleet.s.record("worker "+w.name, "order %s %s try %d", o.Order, o.Piece, o.Try)
		switch {
		case o.Order == "start" && i < 0:
			w.start(o)
		case o.Order == "stop" && i >= 0 && w.pieces[i].Stage != "exited":
			w.leave(w.pieces[i])
			w.pieces[i].Stage, w.pieces[i].Cause = "exited", "stopped"
			w.trigger()
		case o.Order == "clear" && i >= 0 && w.pieces[i].Stage == "exited":
			w.pieces = append(w.pieces[:i:i], w.pieces[i+1:]...)
			w.trigger()
		}
	}
}

func (w *worker) start(o order) {
	p := &piece{Piece: o.Piece, Try: o.Try, Stage: "pulling"}
	spec, known := w.fleet.s.spec(o.Piece)
	cpus, ram := 0.0, 0.0
	for _, other := range w.pieces {
		if other.Stage == "exited" {
			continue
		}
		if other.Piece == o.Piece {
			p.Stage, p.Cause = "exited", "busy"
		}
		taken, _ := w.fleet.s.spec(other.Piece)
		cpus, ram = cpus+taken.CPUs, ram+taken.RAM
	}
	switch {
	case p.Cause != "":
	case !known:
		p.Stage, p.Cause = "exited", "no_such"
	case cpus+spec.CPUs > w.kiln.CPUs+1e-6 || ram+spec.RAM > w.kiln.RAM+1e-6:
		p.Stage, p.Cause = "exited", "full"
	}
	w.pieces = append(w.pieces, p)
	w.trigger()
	if p.Stage == "exited" {
		return
	}
	shift := w.shift
	pull := 200 * time.Millisecond
	if w.fleet.s.cfg.cache && w.images[spec.Mould] {
		pull = 0 // it has the image
	}
	time.AfterFunc(pull, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() != nil || w.shift != shift || p.Stage != "pulling" {
			return
		}
		p.Stage = "running"
		w.images[spec.Mould] = true
		w.enter(p)
		w.trigger()
		if spec.Form == "daemon" {
			return
		}
		seconds := w.fleet.s.runtime(o.Piece, spec.Firing)
		if w.fleet.isDone(o.Piece) {
			seconds = 0 // the result is kept
		}
		time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.ctx.Err() != nil || w.shift != shift || p.Stage != "running" {
				return
			}
			w.leave(p)
			p.Stage, p.Cause = "exited", "done"
			w.fleet.mu.Lock()
			w.fleet.done[p.Piece] = true
			w.fleet.mu.Unlock()
			w.fleet.s.record("worker "+w.name, "%s try %d completed", p.Piece, p.Try)
			w.trigger()
		})
	})
}
