//go:build review

package main

import "time"

func init() { cases["large"] = large }

// large is a trial: an array of the largest size, whose tasks are short.
func large(record string) {
	cfg := defaultConfig()
	cfg.vary = 0.5
	s := newSite(record, cfg)
	s.startAll()
	const id = "wk-000001"
	j := newJob(id, "kiln-floor", 100_000, 3)
	if !s.submit(s.nodes[0], "", j) {
		unable("not accepted")
	}
	for until := time.Now().Add(90 * time.Second); time.Now().Before(until); time.Sleep(3 * time.Second) {
		for _, n := range s.nodes {
			status, st := s.poll(n, "", id)
			s.record("user", "GET at %s: %d %+v healthy %v", n.name, status, st, n.healthy())
		}
	}
	s.finish()
}
