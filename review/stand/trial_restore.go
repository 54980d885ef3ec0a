//go:build review

package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"dewlift/internal/fakes"
)

func init() {
	cases["restore"] = restore
}

// restore is a trial: a snapshot is saved while users submit, cancel and book; then all controllers are ended, all
// machines are returned, and the snapshot is restored to an empty state service. What users were told before the
// snapshot was begun must hold.
func restore(record string) {
	cfg := defaultConfig()
	cfg.reportS, cfg.leaseS, cfg.cancelS, cfg.vary, cfg.machines = 2, 14, 28, 0.5, 60
	cfg.types[0].CPUs, cfg.types[0].RAM, cfg.limit = 8, 32, 290*time.Second
	cfg.tuning = "archive: true\nshared_values: true\nrise_ms: 90000\nended_kept: 10\nhistory_wait_ms: 0\n"
	s := newSite(record, cfg)
	s.chaos = &chaosState{cancelled: map[string]time.Time{}, asked: map[string]bool{}, done: map[string]bool{}}
	list := filepath.Join(s.dir, "booking.textproto")
	if os.WriteFile(list, []byte(bookableEquipment), 0o600) != nil {
		unable("no list of equipment")
	}
	s.cfg.env = append(s.cfg.env, "DEWLIFT_BOOKING="+list)
	s.startAll()
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var ids []string
	var wg sync.WaitGroup
	stop := time.Now().Add(18 * time.Second)
	b := &booker{s: s, all: map[string]*held{}, told: map[string]int{}}
	for k := range 3 {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop.Add(-4 * time.Second)); i++ {
				b.use(fmt.Sprintf("b-%d-%d", k, i))
				time.Sleep(rand.N(400 * time.Millisecond))
			}
		})
	}
	wg.Go(func() {
		for i := 0; time.Now().Before(stop); i++ {
			j := newJob(fmt.Sprintf("wk-%06d", i), []string{"kiln-floor", "potter-desk"}[i%2], 1+rand.N(6), 1+8*rand.Float64())
			if rand.N(6) == 0 {
				j.Firing, j.Pieces = 20, 2
			}
			mu.Lock()
			if len(ids) > 5 && rand.N(3) == 0 {
				j.Awaits = []string{ids[len(ids)-1-rand.N(5)]}
			}
			mu.Unlock()
			if s.submit(s.nodes[i%3], "", j) {
				mu.Lock()
				ids = append(ids, j.UID)
				mu.Unlock()
			}
			time.Sleep(rand.N(300 * time.Millisecond))
		}
	})
	for range 3 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(rand.N(60 * time.Millisecond))
				mu.Lock()
				if len(ids) == 0 {
					mu.Unlock()
					continue
				}
				id := ids[rand.N(len(ids))]
				mu.Unlock()
				if rand.N(80) == 0 {
					s.chaos.mu.Lock()
					s.chaos.asked[id] = true
					s.chaos.mu.Unlock()
					if status, st := s.withdraw(s.nodes[rand.N(3)], "", id); status == 200 && st.Stage == "cancelled" {
						s.chaos.mu.Lock()
						s.chaos.cancelled[id] = time.Now()
						s.chaos.mu.Unlock()
					}
					continue
				}
				if status, st := s.poll(s.nodes[rand.N(3)], "", id); status == 200 && st.Stage == "done" {
					s.chaos.mu.Lock()
					s.chaos.done[id] = true
					s.chaos.mu.Unlock()
				}
			}
		})
	}
	time.Sleep(9*time.Second + rand.N(4*time.Second))
	mu.Lock()
	accepted := slices.Clone(ids)
	mu.Unlock()
	s.chaos.mu.Lock()
	done, cancelled := maps.Clone(s.chaos.done), maps.Clone(s.chaos.cancelled)
	s.chaos.mu.Unlock()
	b.mu.Lock()
	booked := map[string]int{} // with the number of requests so far
	for id, know := range b.all {
		know.mu.Lock()
		if know.state != "" {
			booked[id] = know.touched
		}
		know.mu.Unlock()
	}
	b.mu.Unlock()
	file := filepath.Join(s.dir, "monday.snapshot")
	s.record("user", "snapshot save: %s", s.dewlift("snapshot", "save", "--server", s.nodes[0].serve, file))
	wg.Wait()
	for _, n := range s.nodes {
		n.kill()
	}
	for _, wk := range s.fleet.all() {
		s.fleet.remove(wk.name)
	}
	s.store = fakes.NewStore(fakes.Limits{
		RPS: cfg.rps, WriteRPS: cfg.writeRPS, ValueBytes: int(cfg.valueKB * 1024), TxnOps: cfg.txnOps,
		PageItems: 1000, PageKB: 512,
	})
	for _, n := range s.nodes {
		n.storeProxy.next = s.store
	}
	s.chaos.mu.Lock()
	s.chaos.done, s.chaos.cancelled = done, cancelled
	s.chaos.mu.Unlock()
	out := s.dewlift("snapshot", "restore", "--state", s.nodes[0].store, "--rps", "100", "--write-rps", "28",
		"--txn-ops", "24", file)
	s.record("user", "snapshot restore: %s", out)
	s.startAll()
	s.checkRestored(accepted, done, cancelled)
	for id, touched := range booked {
		if b.all[id].touched == touched { // nothing was asked since
			b.look(s.nodes[rand.N(3)], id)
		}
	}
	fmt.Println(len(accepted), "jobs accepted,", len(done), "done,", len(cancelled), "cancelled,", len(booked), "bookings")
	s.finish()
}

// checkRestored asks for all jobs until they are over, or the time is.
func (s *site) checkRestored(accepted []string, done map[string]bool, cancelled map[string]time.Time) {
	open := slices.Clone(accepted)
	begun := time.Now()
	for until := time.Now().Add(200 * time.Second); len(open) > 0 && time.Now().Before(until); {
		open = slices.DeleteFunc(open, func(id string) bool {
			status, st := s.poll(s.nodes[rand.N(3)], "", id)
			_, toldCancelled := cancelled[id]
			switch {
			case status == 404:
				s.broken("forgotten", "%s is answered 404 after the restore", id)
				return true
			case status != 200:
				return false
			case done[id] && st.Stage != "done" || toldCancelled && st.Stage != "cancelled":
				s.broken("went_back", "%s is %+v after the restore", id, st)
			case st.Stage == "cancelled" && !s.mayBeCancelled(id):
				s.broken("went_back", "%s is called cancelled", id)
			}
			return st.Stage == "done" || st.Stage == "cancelled"
		})
		time.Sleep(500 * time.Millisecond)
	}
	for _, id := range open {
		s.broken("not over", "%s is not over %v after the restore", id, time.Since(begun))
	}
	fmt.Println(len(open), "jobs are not over after", time.Since(begun))
}
