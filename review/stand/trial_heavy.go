//go:build review

package main

import (
	"fmt"
	"time"
)

func init() {
	cases["heavy"] = heavy
}

// heavy is a trial: two tasks of another team run on a machine, and then comes an array of 1,235 tasks of 60 s. Their
// start commands fit one request, but a report of all of them is longer than 64 KiB. With TROUBLE=0 the array has 1,000
// tasks.
func heavy(record string) {
	cfg := defaultConfig()
	cfg.machines = 1
	cfg.types = []machineType{{
		Sku: "g8", CPUs: 96, Cards: 8, RAM: 768, Local: 200, Pull: 1, Price: 12, LowPrice: 4.5, StartupS: 3,
		Yards: []string{"suva-room", "nadi-room"},
	}}
	s := newSite(record, cfg)
	s.startAll()
	bystander := newJob("wk-000002", "potter-desk", 2, 90)
	if !s.submit(s.nodes[0], "", bystander) {
		unable("not accepted")
	}
	s.waitFor(30*time.Second, "the bystander's tasks run", func() bool {
		_, st := s.poll(s.nodes[0], "", bystander.UID)
		return st.Running == 2
	})
	j := newJob("wk-000001", "kiln-floor", 1235, 60)
	j.Ware, j.CPUs, j.RAM = "melt-grid", 0.05, 0.2
	if !trouble() {
		j.Pieces = 1000
	}
	if !s.submit(s.nodes[0], "", j) {
		unable("not accepted")
	}
	var st state
	for s.ctx.Err() == nil && time.Since(s.begun) < 114*time.Second && st.Stage != "done" {
		time.Sleep(2 * time.Second)
		_, st = s.poll(s.nodes[1], "", j.UID)
		s.fleet.mu.Lock()
		begun, again := len(s.fleet.started), 0
		for _, n := range s.fleet.started {
			if n > 1 {
				again++
			}
		}
		done := len(s.fleet.done)
		s.fleet.mu.Unlock()
		s.record("user", "GET /v1/jobs/%s: %+v; tasks begun: %d, again: %d, completed: %d", j.UID, st, begun, again, done)
	}
	s.fleet.mu.Lock()
	others := s.fleet.started["wk-000002/0"]
	again := 0
	for _, n := range s.fleet.started {
		if n > 1 {
			again++
		}
	}
	done := len(s.fleet.done)
	s.fleet.mu.Unlock()
	fmt.Println(j.Pieces, "tasks, begun again:", again, "completed:", done)
	if others > 1 {
		s.broken("work lost", "a task of another team's job on the machine had to begin again too")
	}
	if again > 0 {
		s.broken("work lost", "%d tasks had to begin again on a machine that never failed, %d completed", again, done)
	}
	s.finish()
}
