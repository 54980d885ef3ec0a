//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["fuzz"] = fuzz }

// weird returns a value that hardly any field expects.
func weird() any {
	l := []any{
		nil, true, false, 0, -1, 1, 2, 1.5, 1e9, 1e300, -1e300, 100000, 100001, "", "x", "wk-000001",
		"wk-000002", "kiln-floor", "potter-desk",
		"batch", "daemon", "critical", "high", "idle", "standard", "0000-01-01T00:00",
		"9999-12-31T23:59:59Z", "2027-03-04T08:00", "FREQ=DAILY;COUNT=3", "kiln-1", "kiln", "roaster",
		strings.Repeat("a", 300), "\x00", "ü", "../../x",
		[]any{},
		[]any{"tanoa-32"},
		[]any{nil},
		map[string]any{},
		[]any{"wk-000001", "wk-000001", "wk-000009"},
		18446744073709551615.0, 4294967295, 4294967296, "suva-room", "running", "exited", "done",
		"pulling", "wk-000001/0", "wk-000001/99999", "wk-000001/100000", "m-000001", "127.0.0.1:1",
		"tanoa-32",
	}
	return l[rand.N(len(l))]
}

// mutate returns a copy in which values are left out or replaced, each with a probability of about p.
func mutate(v any, p float64) any {
	if rand.Float64() < p {
		return weird()
	}
	switch v := v.(type) {
	case map[string]any:
		out := map[string]any{}
		for k, x := range v {
			if rand.Float64() < p/2 {
				continue
			}
			out[k] = mutate(x, p)
		}
		return out
	case []any:
		var out []any
		for _, x := range v {
			out = append(out, mutate(x, p))
		}
		return out
	}
	return v
}

// fuzz is a trial: odd requests at all paths of a controller, which must not end it.
func fuzz(record string) {
	cfg := defaultConfig()
	s := newSite(record, cfg)
	s.cfg.env = append(s.cfg.env,
		"DEWLIFT_BOOKING="+filepath.Join(s.root, "deploy/booking.textproto"),
		"DEWLIFT_LANES="+filepath.Join(s.root, "deploy/lanes.textproto"))
	s.startAll()
	var base map[string]any
	raw, _ := json.Marshal(newJob("wk-000001", "kiln-floor", 3, 4))
	_ = json.Unmarshal(raw, &base)
	base["awaits"] = []any{"wk-000003"}
	base["yard"] = "suva-room"
	base["kilns"] = []any{"tanoa-32"}
	base["due_s"] = 10.0
	beat := map[string]any{
		"hearth": "m-900001", "address": "127.0.0.1:9", "kiln": "tanoa-32", "yard": "suva-room",
		"borrowed": false, "shift": 1.0, "tally": 5.0, "baton": 1.0, "recall_s": 3.0,

		"pieces": []any{map[string]any{"piece": "wk-000001/0", "try": 1.0, "stage": "running", "cause": "x", "kept": true}},
	}
	bk := map[string]any{
		"id": "b1", "team": "potter-desk",
		"slots":  []any{map[string]any{"piece": "kiln-1", "kind": "", "zone": "", "from": "2027-03-04T08:00", "slots": 2.0}},
		"repeat": "FREQ=WEEKLY;COUNT=3", "hold_s": 60.0, "priority": "high", "wait": true, "why": "x",
	}
	stop := time.Now().Add(80 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for range 12 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				n := s.nodes[rand.N(3)]
				var method, path string
				var body any
				id := fmt.Sprintf("wk-%06d", rand.N(40))
				p := 0.02 + rand.Float64()*0.2
				switch rand.N(12) {
				case 0, 1, 2:
					method, path = "POST", "/v1/jobs"
					b := mutate(base, p)
					if m, ok := b.(map[string]any); ok && rand.N(3) > 0 {
						m["uid"] = id
					}
					body = b
				case 3:
					method, path = "GET", "/v1/jobs/"+id
				case 4:
					method, path, body = "POST", "/v1/jobs/"+id+"/withdraw", nil
				case 5, 6:
					method, path, body = "POST", "/agent/beat", mutate(beat, p)
				case 7, 8:
					method, path = "POST", bookingPath
					b := mutate(bk, p)
					if m, ok := b.(map[string]any); ok {
						if rand.N(2) > 0 {
							m["id"] = fmt.Sprint("b", rand.N(30))
						}
						delete(m, "repeat") // case 1
					}
					body = b
				case 9:
					verb := []string{"confirm", "move", "end"}[rand.N(3)]
					method, path = "POST", fmt.Sprintf("%s/b%d/%s", bookingPath, rand.N(30), verb)
					b := mutate(bk, p)
					if m, ok := b.(map[string]any); ok {
						delete(m, "repeat")
					}
					body = b
				case 10:
					method = "GET"
					q := []string{
						"?list=free&kind=kiln", "?list=waiting", "?day=2027-03-04&piece=kiln-1",
						"?list=free&piece=roaster&slots=60000",
						"?list=free&kind=kiln&from=9999-12-31T23:59&by=0000-01-01T00:00",
						"?day=0000-01-01&piece=kiln-1", "/b3", "/b%00",
					}
					path = bookingPath + q[rand.N(len(q))]
				case 11:
					method = "GET"
					q := []string{
						"/v1/queue", "/v1/queue?after=-5&most=-3", "/v1/queue?after=999999999&most=9999999",
						"/v1/queue/" + id, "/v1/lanes", "/v1/state", "/v1/access", "/v1/audit?after=3&node=x",
					}
					path = q[rand.N(len(q))]
				}
				status, _ := s.call(3*time.Second, method, n.serve, path, "", body)
				mu.Lock()
				counts[fmt.Sprintf("%s %.12s %d", method, path, status)]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for k, v := range counts {
		fmt.Println(v, k)
	}
	for _, n := range s.nodes {
		if !n.healthy() {
			s.broken("hang", "%s is not healthy", n.name)
		}
	}
	s.finish()
}

const bookingPath = "/v1/bookings"
