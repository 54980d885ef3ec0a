//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// cases are the cases of the review, and trials that are none, by name. They don't return: they end the process.
var cases map[string]func(record string)

func init() {
	cases = map[string]func(record string){
		"smoke": smoke, "restart404": restart404, "identity": identity, "booking": booking, "tiny": tiny,
	}
}

// smoke is a trial without any trouble.
func smoke(record string) {
	s := newSite(record, defaultConfig())
	s.startAll()
	for i := range 5 {
		if !s.submit(s.nodes[i%3], "", newJob(fmt.Sprintf("wk-%06d", i), "kiln-floor", 4, 3)) {
			unable("not accepted")
		}
	}
	for i := range 5 {
		id := fmt.Sprintf("wk-%06d", i)
		s.waitFor(40*time.Second, id+" done", func() bool {
			status, st := s.poll(s.nodes[0], "", id)
			s.record("user", "poll %s: %d %+v", id, status, st)
			return st.Stage == "done"
		})
	}
	s.finish()
}

// withAccess writes a permissions file and returns tokens by name.
func withAccess(s *site, who map[string]string, roles string) map[string]string {
	var text strings.Builder
	text.WriteString(roles)
	tokens := map[string]string{}
	for name, role := range who {
		file := filepath.Join(s.dir, name+".key")
		line := s.dewlift("key", "new", name, "--id", name+"-1", "--out", file)
		fmt.Fprintf(&text, "identities { name: %q roles: %q %s }\n", name, role, strings.TrimSpace(line))
		tokens[name] = strings.TrimSpace(s.dewlift("key", "token", file, "--for", "1h"))
	}
	path := filepath.Join(s.dir, "access.textproto")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		unable("%v", err)
	}
	s.dewlift("access", "check", path)
	s.cfg.env = append(s.cfg.env, "DEWLIFT_ACCESS="+path)
	return tokens
}

// roles are those of a site with two teams.
const roles = `
roles { name: "administrator" grants { verbs: administer verbs: audit } }
roles { name: "kilns" grants { verbs: submit verbs: read verbs: cancel teams: "kiln-floor" classes: "*" }
  grants { verbs: prioritise teams: "kiln-floor" classes: "*" up_to: "high" } }
roles { name: "desk" grants { verbs: submit verbs: read verbs: cancel teams: "potter-desk" classes: "*" }
  grants { verbs: prioritise teams: "potter-desk" classes: "*" up_to: "high" } }
`

// restart404: users of a site with permissions ask for their jobs, each every 5 s or so. The disruption: all
// controllers are restarted one after the other.
func restart404(record string) {
	s := newSite(record, defaultConfig())
	tokens := withAccess(s, map[string]string{"admin": "administrator", "anna": "kilns"}, roles)
	anna := tokens["anna"]
	s.startAll()
	var accepted []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 800 {
		wg.Go(func() {
			id := fmt.Sprintf("wk-%06d", i)
			time.Sleep(time.Duration(i) * 36 * time.Millisecond)
			if s.submit(s.nodes[i%3], anna, newJob(id, "kiln-floor", 2, 300)) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(accepted) < 700 {
		unable("only %d jobs accepted", len(accepted))
	}
	s.record("case", "%d jobs accepted", len(accepted))
	lb := newBalancer(s)
	stop := time.Now().Add(76 * time.Second)
	counts := map[string]int{}
	wg.Go(func() {
		for time.Now().Before(stop) {
			id := accepted[rand.N(len(accepted))]
			wg.Go(func() {
				lb.connect(func(n *node) int {
					status, st := s.poll(n, anna, id)
					mu.Lock()
					counts[fmt.Sprintf("%s %d", n.name, status)]++
					mu.Unlock()
					switch {
					case status == 404:
						s.broken("forgotten", "%s, accepted, is answered 404 by %s", id, n.name)
					case status == 200 && st.UID != id:
						s.broken("foreign", "%s is answered with %+v", id, st)
					}
					return status
				})
			})
			time.Sleep(rand.N(2 * time.Second / pollsPerSecond))
		}
	})
	for i := 0; time.Now().Before(stop.Add(-5*time.Second)) && trouble(); i++ {
		n := s.nodes[i%3]
		n.kill()
		n.start()
		time.Sleep(15 * time.Second)
	}
	wg.Wait()
	s.record("case", "answers: %v", counts)
	fmt.Println(counts)
	s.finish()
}

const pollsPerSecond = 50

// identity: anna of the kilns and bert, a visiting potter with rights of his own for another team only, use the same
// controller, each with a valid token. The disruption is bert's requests about anna's job.
func identity(record string) {
	s := newSite(record, defaultConfig())
	tokens := withAccess(s, map[string]string{"admin": "administrator", "anna": "kilns", "bert": "desk"}, roles)
	s.startAll()
	n := s.nodes[0]
	const id = "wk-000001"
	if !s.submit(n, tokens["anna"], newJob(id, "kiln-floor", 2, 300)) {
		unable("not accepted")
	}
	as := func(who string) (int, state) {
		status, st := s.poll(n, tokens[who], id)
		s.record(who, "GET /v1/jobs/%s at %s: %d %+v", id, n.name, status, st)
		return status, st
	}
	s.waitFor(20*time.Second, "anna's job runs", func() bool {
		_, st := as("anna")
		time.Sleep(500 * time.Millisecond)
		return st.Stage == "running"
	})
	if trouble() {
		if status, _ := as("bert"); status == 200 {
			s.broken("foreign data", "bert, who may read jobs of potter-desk only, is told the state of anna's %s", id)
		}
		as("anna")
		s.record("bert", "withdraws it:")
		if status, st := s.withdraw(n, tokens["bert"], id); status == 200 {
			s.broken("foreign data", "bert's request to cancel %s is answered %+v", id, st)
		}
	}
	for range 5 {
		time.Sleep(time.Second)
		status, st := as("anna")
		if status == 200 && st.Stage == "cancelled" {
			s.broken("went_back", "%s, which its user did not cancel, is called cancelled", id)
			break
		}
		if status == 404 {
			s.broken("forgotten", "%s is answered 404", id)
		}
	}
	s.finish()
}

// booking: one command of a user books a weekly series. The disruption is a mistake in it: a date of the year 0.
func booking(record string) {
	s := newSite(record, defaultConfig())
	s.cfg.env = append(s.cfg.env, "DEWLIFT_BOOKING="+filepath.Join(s.root, "deploy/booking.textproto"))
	s.startAll()
	id := "wk-000001"
	if !s.submit(s.nodes[0], "", newJob(id, "kiln-floor", 2, 300)) {
		unable("not accepted")
	}
	var servers []string
	for _, n := range s.nodes {
		servers = append(servers, n.serve)
	}
	s.waitFor(20*time.Second, "bookings are in force", func() bool {
		status, _ := s.call(2*time.Second, "GET", s.nodes[0].serve, "/v1/equipment", "", nil)
		return status == 200
	})
	from := "2027-03-04T08:00"
	if trouble() {
		from = "0000-01-01T00:00"
	}
	args := []string{
		"booking", "make", "glaze-81", "--equipment", "kiln-1", "--from", from, "--slots", "4",
		"--repeat", "FREQ=WEEKLY;COUNT=8", "--server", strings.Join(servers, ","),
	}
	s.record("user", "dewlift %s", strings.Join(args, " "))
	out, err := exec.Command(filepath.Join(s.root, "target/dewlift"), args...).CombinedOutput()
	s.record("user", "the command ends: %v: %s", err, strings.TrimSpace(string(out)))
	for range 3 {
		time.Sleep(time.Second)
		for _, n := range s.nodes {
			status, st := s.poll(n, "", id)
			s.record("user", "GET /v1/jobs/%s at %s: %d %+v", id, n.name, status, st)
		}
	}
	s.finish()
}

// tiny: an array of small tasks, of which more than 1,260 fit one machine. The disruption is the size of the array.
func tiny(record string) {
	cfg := defaultConfig()
	cfg.machines = 1
	cfg.types = []machineType{{
		Sku: "g8", CPUs: 96, Cards: 8, RAM: 768, Local: 200, Pull: 1, Price: 12, LowPrice: 4.5, StartupS: 3,
		Yards: []string{"suva-room", "nadi-room"},
	}}
	s := newSite(record, cfg)
	s.startAll()
	j := newJob("wk-000001", "kiln-floor", 1500, 5)
	j.Ware, j.CPUs, j.RAM = "melt-grid", 0.05, 0.2
	if !trouble() {
		j.Pieces = 600
	}
	if !s.submit(s.nodes[0], "", j) {
		unable("not accepted")
	}
	var fits time.Time // since when a machine that fits is up with room for every task
	var st state
	for s.ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		_, st = s.poll(s.nodes[1], "", j.UID)
		up, begun := 0, 0
		for _, wk := range s.fleet.all() {
			wk.mu.Lock()
			if wk.up {
				up++
			}
			wk.mu.Unlock()
		}
		s.fleet.mu.Lock()
		begun = len(s.fleet.started)
		s.fleet.mu.Unlock()
		if up > 0 && fits.IsZero() {
			fits = time.Now()
		}
		s.record("user", "GET /v1/jobs/%s: %+v; machines up: %d, tasks begun: %d", j.UID, st, up, begun)
		if st.Stage == "done" {
			break
		}
		if !fits.IsZero() && time.Since(fits) > 92*time.Second && begun == 0 {
			s.broken("left waiting", "no task of %s has begun, %.0f s after an empty machine that fits was up",
				j.UID, time.Since(fits).Seconds())
			break
		}
	}
	if st.Stage != "done" && len(s.brokenRules()) == 0 {
		unable("the job was neither done nor left waiting: %+v", st)
	}
	s.finish()
}
