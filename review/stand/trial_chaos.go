//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["chaos"] = chaos
	cases["upgrade"] = chaos
}

// lateOrders returns how long the current direct command is held up.
func (s *site) lateOrders() time.Duration {
	s.recMu.Lock()
	defer s.recMu.Unlock()
	if rand.Float64() < s.lateShare {
		return 2*time.Second + rand.N(8*time.Second)
	}
	return 0
}

// chaosState is what the users know.
type chaosState struct {
	mu        sync.Mutex
	cancelled map[string]time.Time // when its user was told
	asked     map[string]bool      // its user asked to cancel it
	done      map[string]bool      // its user was told that it is done
}

// checkStart checks the rules about where a task starts. The caller holds f.mu.
func (f *fleet) checkStart(w *worker, p *piece) {
	id, _, _ := strings.Cut(p.Piece, "/")
	j, _ := f.s.spec(p.Piece)
	if j.Yard != nil && *j.Yard != w.yard {
		f.s.broken("wrong_place", "%s in %s", p.Piece, w.yard)
	}
	if w.spot && !j.Borrowed {
		f.s.broken("wrong_place", "%s on a spot machine", p.Piece)
	}
	inZone := map[string]int{}
	usage := 0.0
	for task, machines := range f.on {
		other, _, _ := strings.Cut(task, "/")
		spec, _ := f.s.spec(task)
		for name, n := range machines {
			if n <= 0 {
				continue
			}
			if spec.Crew == j.Crew {
				usage += spec.CPUs * float64(n)
			}
			if other == id {
				if wk := f.workers[name]; wk != nil {
					inZone[wk.yard]++
				}
			}
		}
	}
	if j.OneZone && len(inZone) > 1 {
		f.s.broken("wrong_place", "%s runs in %v", id, inZone)
	}
	for zone, n := range inZone {
		if j.Spread && n > (j.Pieces+1)/2 {
			f.s.broken("wrong_place", "%s has %d of %d in %s", id, n, j.Pieces, zone)
		}
	}
	for _, team := range f.s.cfg.teams {
		if team["name"] == j.Crew && team["cpus_max"].(float64) > 0 && usage > team["cpus_max"].(float64)+1e-6 {
			f.s.broken("quota", "team %s uses %v", j.Crew, usage)
		}
	}
	f.checkAwaits(p)
	if f.s.chaos != nil {
		f.s.chaos.mu.Lock()
		if f.s.chaos.done[id] {
			f.s.broken("starts after its job was called done", "%s", p.Piece)
		}
		at, ok := f.s.chaos.cancelled[id]
		f.s.chaos.mu.Unlock()
		if ok {
			f.s.record("note", "%s starts %v after its cancellation was told", p.Piece, time.Since(at))
			if time.Since(at).Seconds() > f.s.cfg.cancelS {
				f.s.broken("ran_cancelled", "%s starts", p.Piece)
			}
		}
	}
}

// checkAwaits checks that the jobs that a task's job needs are done. The caller holds f.mu.
func (f *fleet) checkAwaits(p *piece) {
	j, _ := f.s.spec(p.Piece)
	for _, id := range j.Awaits {
		needed, _ := f.s.spec(id)
		for k := range needed.Pieces {
			if !f.done[id+"/"+strconv.Itoa(k)] {
				f.s.broken("too_early", "%s starts before %s/%d is done", p.Piece, id, k)
				return
			}
		}
	}
}

// batchOnly returns the jobs that are no services.
func (s *site) batchOnly(ids []string) (out []string) {
	for _, id := range ids {
		if j, ok := s.spec(id); ok && j.Form == "batch" {
			out = append(out, id)
		}
	}
	return out
}

// orphan reports whether the user of a job before this one was told more than cancel_s ago that it is cancelled.
func (s *site) orphan(id string, now time.Time) bool {
	j, _ := s.spec(id)
	for _, before := range j.Awaits {
		s.chaos.mu.Lock()
		at, ok := s.chaos.cancelled[before]
		s.chaos.mu.Unlock()
		if ok && now.Sub(at).Seconds() > s.cfg.cancelS || s.orphan(before, now) {
			return true
		}
	}
	return false
}

// mayBeCancelled reports whether the user of this job, or of one before it, has asked to cancel it.
func (s *site) mayBeCancelled(id string) bool {
	s.chaos.mu.Lock()
	asked := s.chaos.asked[id]
	s.chaos.mu.Unlock()
	if asked {
		return true
	}
	j, _ := s.spec(id)
	for _, before := range j.Awaits {
		if s.mayBeCancelled(before) {
			return true
		}
	}
	return false
}

// refuse answers 503.
func refuse(w http.ResponseWriter, _ *http.Request, _ http.Handler) {
	reply(w, 503, map[string]string{"error": "trouble"})
}

// hang never answers.
func hang(_ http.ResponseWriter, r *http.Request, _ http.Handler) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// lost carries a share of the transactions out, at once or late, without an answer.
func lost(share float64, late bool) func(w http.ResponseWriter, r *http.Request, next http.Handler) {
	return func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		if r.URL.Path != "/commit" || rand.Float64() >= share {
			next.ServeHTTP(w, r)
			return
		}
		raw, _ := io.ReadAll(r.Body)
		do := func() {
			again := httptest.NewRequest("POST", "/commit", bytes.NewReader(raw))
			next.ServeHTTP(httptest.NewRecorder(), again)
		}
		if late {
			time.AfterFunc(2*time.Second+rand.N(8*time.Second), do)
		} else {
			do()
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// askAgain submits jobs again and cancels jobs that are done, until a time.
func (s *site) askAgain(stop time.Time, mu *sync.Mutex, ids *[]string) {
	for time.Now().Before(stop.Add(20 * time.Second)) {
		time.Sleep(rand.N(300 * time.Millisecond))
		mu.Lock()
		if len(*ids) == 0 {
			mu.Unlock()
			continue
		}
		id := (*ids)[rand.N(len(*ids))]
		mu.Unlock()
		s.chaos.mu.Lock()
		done := s.chaos.done[id]
		_, cancelled := s.chaos.cancelled[id]
		s.chaos.mu.Unlock()
		n := s.nodes[rand.N(len(s.nodes))]
		if done && rand.N(2) == 0 {
			if status, st := s.withdraw(n, "", id); status == 404 || status == 200 && st.Stage != "done" {
				s.broken("went_back", "withdraw of %s, which is done, is answered %d %+v", id, status, st)
			}
			continue
		}
		j, _ := s.spec(id)
		status, body := s.call(5*time.Second, "POST", n.serve, "/v1/jobs", "", j)
		s.record("user", "submit %s again to %s: %d %s", id, n.name, status, bytes.TrimSpace(body))
		var st state
		_ = json.Unmarshal(body, &st)
		if status == 201 || status == 400 || status == 404 || status == 422 {
			s.broken("forgotten", "%s submitted again is answered %d", id, status)
		}
		if status == 200 && (done && st.Stage != "done" || cancelled && st.Stage != "cancelled") {
			s.broken("went_back", "%s submitted again is answered %+v", id, st)
		}
	}
}

// chaos is a trial: random troubles, one after the other, with the rules checked at the workers and by the users.
func chaos(record string) {
	cfg := defaultConfig()
	cfg.reportS, cfg.leaseS, cfg.cancelS, cfg.vary, cfg.machines = 2, 14, 28, 0.5, 60
	cfg.types[0].CPUs, cfg.types[0].RAM = 8, 32
	cfg.teams[1]["cpus_max"] = 24.0
	switch os.Args[1] {
	case "cuts":
		cfg.nodes, cfg.linked = 5, true
	case "limits":
		cfg.next = nextLimits()
	case "archives":
		cfg.tuning = "archive: true\nshared_values: true\nrise_ms: 90000\nended_kept: 10\nhistory_wait_ms: 0\n"
	}
	s := newSite(record, cfg)
	s.chaos = &chaosState{cancelled: map[string]time.Time{}, asked: map[string]bool{}, done: map[string]bool{}}
	linked, limits := os.Args[1] == "cuts", os.Args[1] == "limits"
	archives := os.Args[1] == "archives"
	awaits := linked || limits || archives
	// The trial "upgrade" begins with the version in production, built in the folder that OLD names.
	upgrades := os.Args[1] == "upgrade"
	for _, n := range s.nodes {
		if upgrades {
			n.root = os.Getenv("OLD")
		}
	}
	s.startAll()
	stop := time.Now().Add(85 * time.Second)
	var mu sync.Mutex
	var ids []string
	var wg sync.WaitGroup
	suva := "suva-room"
	wg.Go(func() {
		for i := 0; time.Now().Before(stop.Add(-25 * time.Second)); i++ {
			team := []string{"kiln-floor", "potter-desk"}[i%2]
			j := newJob(fmt.Sprintf("wk-%06d", i), team, 1+rand.N(8), 2+20*rand.Float64())
			switch rand.N(6) {
			case 0:
				j.OneZone = true
			case 1:
				j.Spread = true
			case 2:
				j.Yard = &suva
			case 3:
				j.Form = "daemon"
				j.Pieces = 1 + rand.N(3)
				j.Firing = 0
			case 4:
				j.Borrowed = true
			}
			n := s.nodes[rand.N(len(s.nodes))]
			if limits && rand.N(4) == 0 {
				j.Pieces, j.CPUs, j.RAM = 50+rand.N(150), 0.5, 0.5
			}
			if awaits && j.Form == "batch" && rand.N(2) == 0 {
				mu.Lock()
				for range 1 + rand.N(2) {
					if len(ids) > 0 {
						j.Awaits = append(j.Awaits, ids[max(0, len(ids)-1-rand.N(6))])
					}
				}
				mu.Unlock()
				j.Awaits = s.batchOnly(j.Awaits)
			}
			if archives && rand.N(8) > 0 {
				j.Form, j.Firing, j.Pieces = "batch", 0.5+2*rand.Float64(), 1+rand.N(2)
			}
			wg.Go(func() {
				if s.submit(n, "", j) {
					mu.Lock()
					ids = append(ids, j.UID)
					mu.Unlock()
					if j.Form == "daemon" || rand.N(5) == 0 {
						time.Sleep(rand.N(12 * time.Second))
						s.chaos.mu.Lock()
						s.chaos.asked[j.UID] = true
						s.chaos.mu.Unlock()
						for time.Now().Before(stop.Add(20 * time.Second)) {
							status, st := s.withdraw(s.nodes[rand.N(len(s.nodes))], "", j.UID)
							if status == 200 && st.Stage == "cancelled" {
								s.chaos.mu.Lock()
								s.chaos.cancelled[j.UID] = time.Now()
								s.chaos.mu.Unlock()
								return
							}
							if status == 200 && st.Stage == "done" {
								return
							}
							if status == 404 {
								s.broken("forgotten", "withdraw of %s answered 404", j.UID)
								return
							}
							time.Sleep(time.Second)
						}
					}
				}
			})
			if archives {
				time.Sleep(rand.N(400 * time.Millisecond))
				continue
			}
			time.Sleep(600*time.Millisecond + rand.N(400*time.Millisecond))
		}
	})
	for range 6 { // polls
		wg.Go(func() {
			for time.Now().Before(stop.Add(25 * time.Second)) {
				mu.Lock()
				if len(ids) == 0 {
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
					continue
				}
				id := ids[rand.N(len(ids))]
				mu.Unlock()
				s.chaos.mu.Lock()
				_, toldCancelled := s.chaos.cancelled[id]
				s.chaos.mu.Unlock()
				s.chaos.mu.Lock()
				toldDone := s.chaos.done[id]
				s.chaos.mu.Unlock()
				orphan := s.orphan(id, time.Now())
				status, st := s.poll(s.nodes[rand.N(len(s.nodes))], "", id)
				if status == 404 {
					s.broken("forgotten", "%s answered 404", id)
				}
				if status == 200 {
					if toldCancelled && st.Stage != "cancelled" {
						s.broken("went_back", "%s was cancelled, is %+v", id, st)
					}
					if toldDone && st.Stage != "done" {
						s.broken("went_back", "%s was done, is %+v", id, st)
					}
					if st.Stage == "done" {
						s.chaos.mu.Lock()
						s.chaos.done[id] = true
						s.chaos.mu.Unlock()
					}
					if orphan && (st.Stage == "queued" || st.Stage == "running") {
						s.broken("orphaned", "%s is %+v", id, st)
					}
					if st.Stage == "cancelled" && !s.mayBeCancelled(id) {
						s.broken("went_back", "%s is called cancelled, and nobody asked for it", id)
					}
					if st.Stage == "done" {
						j, _ := s.spec(id)
						s.fleet.mu.Lock()
						for p := range j.Pieces {
							if !s.fleet.done[id+"/"+strconv.Itoa(p)] {
								s.broken("not_done", "%s/%d", id, p)
							}
						}
						s.fleet.mu.Unlock()
					}
				}
				time.Sleep(rand.N(200 * time.Millisecond))
			}
		})
	}
	if archives {
		wg.Go(func() { s.askAgain(stop, &mu, &ids) })
	}
	wg.Go(func() { // cancelled tasks
		for time.Now().Before(stop.Add(28 * time.Second)) {
			s.fleet.mu.Lock()
			s.chaos.mu.Lock()
			for task, machines := range s.fleet.on {
				id, _, _ := strings.Cut(task, "/")
				at, ok := s.chaos.cancelled[id]
				for name, n := range machines {
					if ok && n > 0 && time.Since(at).Seconds() > s.cfg.cancelS {
						s.broken("ran_cancelled", "%s is on %s %v after", task, name, time.Since(at))
					}
				}
			}
			s.chaos.mu.Unlock()
			s.fleet.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
		}
	})
	time.Sleep(4 * time.Second)
	if limits {
		time.AfterFunc(10*time.Second+rand.N(40*time.Second), s.lowerLimits)
	}
	if upgrades {
		time.Sleep(8 * time.Second)
		for _, i := range rand.Perm(3) {
			s.nodes[i].kill()
			s.nodes[i].root = ""
			s.nodes[i].start()
			time.Sleep(4*time.Second + rand.N(8*time.Second))
			if rand.N(2) == 0 {
				k := rand.N(3)
				s.nodes[k].kill()
				s.nodes[k].start()
				time.Sleep(rand.N(6 * time.Second))
			}
		}
		time.Sleep(time.Until(stop))
	}
	for time.Now().Before(stop) {
		if linked && rand.N(2) == 0 {
			s.cutTrouble()
			continue
		}
		n := s.nodes[rand.N(len(s.nodes))]
		length := 2*time.Second + rand.N(10*time.Second)
		kind := rand.N(11)
		s.record("trouble", "%d %s for %v", kind, n.name, length)
		switch kind {
		case 0:
			n.kill()
			time.Sleep(rand.N(3 * time.Second))
			n.start()
		case 1:
			n.signal(syscall.SIGSTOP)
			time.Sleep(length)
			n.signal(syscall.SIGCONT)
		case 2:
			n.storeProxy.set(refuse)
			time.Sleep(length)
			n.storeProxy.set(nil)
		case 3:
			n.storeProxy.set(lost(0.4, false))
			time.Sleep(length)
			n.storeProxy.set(nil)
		case 4:
			n.storeProxy.set(lost(0.4, true))
			time.Sleep(length)
			n.storeProxy.set(nil)
		case 5:
			s.store.SetDown(true)
			time.Sleep(length)
			s.store.SetDown(false)
		case 6:
			s.recMu.Lock()
			s.lateShare = 0.4
			s.recMu.Unlock()
			time.Sleep(length)
			s.recMu.Lock()
			s.lateShare = 0
			s.recMu.Unlock()
		case 7, 8:
			for _, wk := range s.fleet.all() {
				if rand.N(3) == 0 {
					wk.mu.Lock()
					if kind == 7 {
						wk.deafUntil = time.Now().Add(length)
					} else {
						wk.frozenUntil = time.Now().Add(length)
					}
					wk.mu.Unlock()
				}
			}
			time.Sleep(length / 2)
		case 9:
			for _, m := range s.nodes {
				m.kill()
			}
			time.Sleep(rand.N(2 * time.Second))
			for _, m := range s.nodes {
				m.start()
			}
		case 10:
			n.storeProxy.set(hang)
			time.Sleep(length)
			n.storeProxy.set(nil)
		}
		time.Sleep(rand.N(2 * time.Second))
	}
	wg.Wait()
	stages := map[string]int{}
	for _, id := range ids {
		status, st := s.poll(s.nodes[0], "", id)
		if status != 200 {
			st.Stage = strconv.Itoa(status)
		}
		stages[st.Stage]++
		if st.Stage != "done" && st.Stage != "cancelled" {
			j, _ := s.spec(id)
			s.record("note", "at the end: %+v %+v", st, j)
		}
	}
	s.record("note", "at the end: %v", stages)
	s.finish()
}
