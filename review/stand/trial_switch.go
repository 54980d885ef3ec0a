//go:build review

package main

import "time"

func init() { cases["switch"] = switchOn }

// switchOn is a trial: is a job that ended before permissions came into force still known to its user?
func switchOn(record string) {
	s := newSite(record, defaultConfig())
	s.startAll()
	const id = "wk-000001"
	if !s.submit(s.nodes[0], "", newJob(id, "kiln-floor", 1, 2)) {
		unable("not accepted")
	}
	s.waitFor(30*time.Second, "the job is done", func() bool {
		_, st := s.poll(s.nodes[0], "", id)
		return st.Stage == "done"
	})
	tokens := withAccess(s, map[string]string{"admin": "administrator", "anna": "kilns"}, roles)
	if trouble() {
		for _, n := range s.nodes {
			n.kill()
			n.start()
			time.Sleep(5 * time.Second)
		}
	}
	s.waitFor(30*time.Second, "all controllers healthy", func() bool {
		return s.nodes[0].healthy() && s.nodes[1].healthy() && s.nodes[2].healthy()
	})
	for _, n := range s.nodes {
		status, st := s.poll(n, tokens["anna"], id)
		s.record("anna", "GET %s at %s: %d %+v", id, n.name, status, st)
		if status == 404 {
			s.broken("forgotten", "%s, accepted and done, is answered 404 by %s", id, n.name)
		}
	}
	s.finish()
}
