//go:build review

package main

import (
	"fmt"
	"time"
)

func init() {
	cases["taken"] = taken
}

// taken is a trial: all controllers end and come back 3 s later, and meanwhile the cloud takes the spot machine of a
// job back without notice. Another machine has room for the job's task all the time.
func taken(record string) {
	cfg := defaultConfig()
	cfg.lagS = 5
	s := newSite(record, cfg)
	s.startAll()
	spot := newJob("wk-000001", "kiln-floor", 1, 300)
	spot.Borrowed = true
	other := newJob("wk-000002", "potter-desk", 2, 300)
	on := func(task string) (names []string) {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		for name, n := range s.fleet.on[task] {
			if n > 0 {
				names = append(names, name)
			}
		}
		return names
	}
	if !s.submit(s.nodes[0], "", spot) {
		unable("not accepted")
	}
	s.waitFor(20*time.Second, "the task runs", func() bool { return len(on("wk-000001/0")) == 1 })
	if !s.submit(s.nodes[0], "", other) {
		unable("not accepted")
	}
	s.waitFor(20*time.Second, "the tasks run", func() bool {
		return len(on("wk-000001/0")) == 1 && len(on("wk-000002/0")) == 1 && len(on("wk-000002/1")) == 1
	})
	machine := on("wk-000001/0")[0]
	s.fleet.mu.Lock()
	isSpot := s.fleet.workers[machine].spot
	s.fleet.mu.Unlock()
	s.record("case", "wk-000001/0 runs on %s, spot %v", machine, isSpot)
	if !isSpot {
		unable("the task is on an ordinary machine")
	}
	time.Sleep(time.Second)
	for _, n := range s.nodes {
		n.kill()
	}
	if trouble() {
		s.fleet.remove(machine)
		s.record("cloud", "%s is taken back", machine)
	}
	time.Sleep(3 * time.Second)
	s.startAll()
	over := time.Now() // the troubles are over
	for time.Since(over) < 96*time.Second && len(on("wk-000001/0")) == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	waited := time.Since(over)
	for _, wk := range s.fleet.all() {
		wk.mu.Lock()
		s.record("case", "machine %s up %v, tasks %d", wk.name, wk.up, len(wk.pieces))
		wk.mu.Unlock()
	}
	_, st := s.poll(s.nodes[0], "", "wk-000001")
	s.record("user", "GET /v1/jobs/wk-000001: %+v after %v", st, waited)
	if waited > 90*time.Second {
		s.broken("left waiting", "wk-000001 waits for %.0f s after all controllers are healthy again", waited.Seconds())
	}
	fmt.Println("waited", waited)
	s.finish()
}
