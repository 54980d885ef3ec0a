//go:build review

package main

import (
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["audit"] = auditLoss }

// auditLoss is a trial: is a refused action in the audit log if its controller is ended soon after the refusal?
func auditLoss(record string) {
	s := newSite(record, defaultConfig())
	keyFile := filepath.Join(s.dir, "audit.key")
	s.dewlift("audit", "key", keyFile)
	tokens := withAccess(s, map[string]string{"admin": "administrator", "anna": "kilns", "bert": "desk"},
		"audit_key: \""+keyFile+"\"\n"+roles)
	s.startAll()
	j := newJob("wk-000001", "kiln-floor", 1, 5)
	s.waitFor(30*time.Second, "refusals", func() bool {
		status, body := s.call(2*time.Second, "POST", s.nodes[1].serve, "/v1/jobs", tokens["bert"], j)
		s.record("bert", "submits for kiln-floor: %d %s", status, body)
		return status == 403
	})
	time.Sleep(time.Second)
	if trouble() {
		s.nodes[1].kill()
		s.nodes[1].start()
	}
	time.Sleep(30 * time.Second)
	admin := filepath.Join(s.dir, "admin.key")
	out := s.dewlift("audit", "list", "--outcome", "refused", "--key", admin, "--server", s.nodes[0].serve)
	s.record("admin", "dewlift audit list --outcome refused:\n%s", out)
	if !strings.Contains(out, "bert") {
		s.broken("audit", "bert's refused submission is not in the audit log")
	}
	s.finish()
}
