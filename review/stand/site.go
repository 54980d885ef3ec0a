//go:build review

// Command stand plays the cases of the review: it starts the project's own program as separate processes and is
// everything around them: state service (the project's own stand-in), cloud, workers, users, and proxies.
package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"dewlift/internal/fakes"
)

type job struct {
	UID      string   `json:"uid"`
	Ware     string   `json:"ware"`
	Crew     string   `json:"crew"`
	Form     string   `json:"form"`
	Heat     string   `json:"heat"`
	Pieces   int      `json:"pieces"`
	CPUs     float64  `json:"cpus"`
	Cards    float64  `json:"cards"`
	RAM      float64  `json:"ram_gb"`
	Mould    string   `json:"mould"`
	ImageGB  float64  `json:"image_gb"`
	Kilns    []string `json:"kilns"`
	Yard     *string  `json:"yard"`
	OneZone  bool     `json:"one_zone"`
	Spread   bool     `json:"spread"`
	Borrowed bool     `json:"borrowed"`
	Firing   float64  `json:"firing_s"`
	Glaze    float64  `json:"glaze_s"`
	Cool     float64  `json:"cool_s"`
	Due      *float64 `json:"due_s"`
	Awaits   []string `json:"awaits,omitempty"`
}

func newJob(id, crew string, pieces int, firing float64) job {
	return job{
		UID: id, Ware: "firing", Crew: crew, Form: "batch", Heat: "high", Pieces: pieces, CPUs: 1, RAM: 1,
		Mould: "img-1", ImageGB: 0.1, Firing: firing,
	}
}

// siteConfig is a small deployment.
type siteConfig struct {
	nodes                    int // with the spare ones
	spare                    int
	reportS, leaseS, cancelS float64
	teams                    []map[string]any
	types                    []machineType
	machines                 int
	env                      []string // of the controllers
	rps, writeRPS            float64
	valueKB                  float64
	txnOps                   int
	lateReports              float64        // share of reports of which a copy arrives again
	cache                    bool           // machines keep the images that they have run
	vary                     float64        // how wrong estimates are
	lagS                     float64        // of the list of machines, as the settings say it; 0: 1
	limit                    time.Duration  // of the whole run; 0: that of a case
	next                     map[string]any // limits of the state service to come
	tuning                   string         // operators' settings in place of those of the deploy file
	linked                   bool           // controllers reach each other through proxies
}

func defaultConfig() siteConfig {
	return siteConfig{
		nodes: 3, reportS: 3, leaseS: 36, cancelS: 66,
		teams: []map[string]any{
			{"name": "kiln-floor", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "potter-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
		},
		types: []machineType{{
			Sku: "tanoa-32", CPUs: 32, RAM: 128, Local: 200, Pull: 1, Price: 1.52, LowPrice: 0.61, StartupS: 2,
			Yards: []string{"suva-room", "nadi-room"},
		}},
		machines: 40, rps: 150, writeRPS: 30, valueKB: 8, txnOps: 24,
	}
}

type site struct {
	ctx    context.Context
	cancel context.CancelFunc
	cfg    siteConfig
	root   string // of the repository
	dir    string // temporary
	begun  time.Time

	recMu     sync.Mutex
	rec       *os.File
	faults    []string
	jobsMu    sync.Mutex
	jobs      map[string]job
	store     *fakes.Store
	fleet     *fleet
	nodes     []*node
	spare     []*node // not in the cluster yet
	cloud     string
	links     map[string]*link // by address
	lateShare float64          // of the direct commands that are held up
	chaos     *chaosState
}

// node is one controller's process.
type node struct {
	s                       *site
	name, serve, mesh, conf string
	store                   string // address of its proxy to the state service
	root                    string // of the repository of another version; "": this one
	storeProxy              *httpProxy
	peerAddr                map[string]string // by peer: address of the proxy to it
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	ended                   chan struct{}
	expected                bool // its end was ordered
	log                     *os.File
}

func (n *node) workerAddr() string { return n.serve }

// httpProxy passes requests to a handler, or treats them as its mode says.
type httpProxy struct {
	next http.Handler
	mu   sync.Mutex
	mode func(w http.ResponseWriter, r *http.Request, next http.Handler)
}

func (p *httpProxy) set(mode func(w http.ResponseWriter, r *http.Request, next http.Handler)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *httpProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	if mode == nil {
		p.next.ServeHTTP(w, r)
		return
	}
	mode(w, r, p.next)
}

func (s *site) record(who, format string, args ...any) {
	s.recMu.Lock()
	defer s.recMu.Unlock()
	fmt.Fprintf(s.rec, "%8.3f %s: %s\n", time.Since(s.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// broken records that a rule is broken.
func (s *site) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	s.recMu.Lock()
	s.faults = append(s.faults, text)
	s.recMu.Unlock()
	s.record("RULE BROKEN", "%s", text)
}

func (s *site) brokenRules() []string {
	s.recMu.Lock()
	defer s.recMu.Unlock()
	return append([]string{}, s.faults...)
}

func (s *site) spec(task string) (job, bool) {
	id, _, _ := strings.Cut(task, "/")
	s.jobsMu.Lock()
	defer s.jobsMu.Unlock()
	j, ok := s.jobs[id]
	return j, ok
}

// runtime returns how long a task runs: the owner's estimate, wrong by up to vary of it.
func (s *site) runtime(task string, estimate float64) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return estimate * (1 + s.cfg.vary*(float64(h.Sum32()%1000)/500-1))
}

// freePorts returns loopback addresses with free ports, outside the range from which systems take ports for
// outgoing connections, so that none is taken before its process listens.
func freePorts(n int) (out []string) {
	for tries := 0; len(out) < n; tries++ {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 18000+rand.N(12000)))
		if err == nil {
			defer ln.Close()
			out = append(out, ln.Addr().String())
		} else if tries > 1000 {
			unable("no free port: %v", err)
		}
	}
	return out
}

// unable ends the case: it could not run.
func unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.record("case", "could not run: "+format, args...)
		current.end()
	}
	os.Exit(2)
}

var current *site

func newSite(recordPath string, cfg siteConfig) *site {
	root, err := os.Getwd()
	if err != nil {
		unable("%v", err)
	}
	s := &site{cfg: cfg, root: root, begun: time.Now(), jobs: map[string]job{}, links: map[string]*link{}}
	limit := cmp.Or(cfg.limit, 118*time.Second)
	s.ctx, s.cancel = context.WithTimeout(context.Background(), limit)
	if s.rec, err = os.Create(recordPath); err != nil {
		unable("%v", err)
	}
	if s.dir, err = os.MkdirTemp("", "dewlift-review-*"); err != nil {
		unable("%v", err)
	}
	current = s
	s.store = fakes.NewStore(fakes.Limits{
		RPS: cfg.rps, WriteRPS: cfg.writeRPS, ValueBytes: int(cfg.valueKB * 1024), TxnOps: cfg.txnOps,
		PageItems: 1000, PageKB: 512,
	})
	s.fleet = newFleet(s, cfg.types, cfg.machines)
	cloud := s.listen(s.fleet)
	addrs := freePorts(2 * cfg.nodes)
	for i := range cfg.nodes {
		n := &node{
			s: s, name: fmt.Sprintf("hearth-%d", i), serve: addrs[i], mesh: addrs[cfg.nodes+i],
			storeProxy: &httpProxy{next: s.store},
		}
		s.nodes = append(s.nodes, n)
	}
	s.cloud = cloud
	s.spare = s.nodes[len(s.nodes)-cfg.spare:]
	s.nodes = s.nodes[:len(s.nodes)-cfg.spare]
	for i := range s.nodes {
		s.writeConfig(s.nodes, i)
	}
	return s
}

// writeConfig writes the settings file of a node of a cluster of the given nodes.
func (s *site) writeConfig(cluster []*node, i int) {
	cfg, n := &s.cfg, cluster[i]
	zones := []string{"suva-room", "nadi-room"}
	peers := []map[string]string{}
	for k, other := range cluster {
		if k != i {
			endpoint := other.mesh
			if cfg.linked {
				if n.peerAddr == nil {
					n.peerAddr = map[string]string{}
				}
				if n.peerAddr[other.name] == "" {
					n.peerAddr[other.name] = newLink(s, other.mesh)
				}
				endpoint = n.peerAddr[other.name]
			}
			peers = append(peers, map[string]string{
				"node_name": other.name, "zone": zones[k%2], "endpoint": endpoint,
			})
		}
	}
	if n.store == "" {
		n.store = s.listen(n.storeProxy)
	}
	conf := map[string]any{
		"node_name": n.name, "zone": zones[i%2], "serve_on": n.serve, "mesh_addr": n.mesh, "peers": peers,
		"services": map[string]string{"cloud": s.cloud, "state": n.store},
		"cluster": map[string]any{
			"count": len(cluster), "zones": zones, "teams": cfg.teams, "objectives": []any{},
			"workers": map[string]float64{
				"report_s": cfg.reportS, "lease_s": cfg.leaseS, "gang_wait_s": 30, "gang_peer_s": 8,
				"cancel_s": cfg.cancelS,
			},
			"state": map[string]any{
				"rps": cfg.rps, "write_rps": cfg.writeRPS, "value_kb": cfg.valueKB, "txn_ops": cfg.txnOps,
			},
			"cloud":         map[string]float64{"rps": 4, "list_lag_s": cmp.Or(cfg.lagS, 1)},
			"quota":         map[string]any{"core_share": 0.3, "mem_mb": 179.0, "fd_limit": 3500},
			"time_bound_ms": 5.0,
		},
	}
	if cfg.next != nil {
		conf["cluster"].(map[string]any)["state"].(map[string]any)["next"] = cfg.next
	}
	raw, _ := json.MarshalIndent(conf, "", "  ")
	n.conf = filepath.Join(s.dir, n.name+".json")
	if err := os.WriteFile(n.conf, raw, 0o600); err != nil {
		unable("%v", err)
	}
}

func (s *site) listen(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the controller with the command of the deploy file.
func (n *node) start() {
	root := n.s.root
	if n.root != "" {
		root = n.root
	}
	raw, err := os.ReadFile(filepath.Join(root, "deploy/service.toml"))
	match := runLine.FindSubmatch(raw)
	if err != nil || match == nil {
		unable("deploy/service.toml has no run line")
	}
	words := append(strings.Fields(string(match[1])), n.conf)
	for i := range words {
		if words[i] == "--tuning" && n.s.cfg.tuning != "" {
			words[i+1] = filepath.Join(n.s.dir, "tuning.textproto")
			if err := os.WriteFile(words[i+1], []byte(n.s.cfg.tuning), 0o600); err != nil {
				unable("%v", err)
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(n.s.dir, n.name+".log")); err != nil {
			unable("%v", err)
		}
	}
	cmd := exec.Command(filepath.Join(root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stderr, cmd.Stdout = root, n.log, n.log
	cmd.Env = append(append(os.Environ(), "LOG_LEVEL="+logLevel()), n.s.cfg.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		unable("start %s: %v", n.name, err)
	}
	n.s.record(n.name, "started as process %d: %s", cmd.Process.Pid, strings.Join(words[:len(words)-1], " "))
	ended := make(chan struct{})
	n.cmd, n.ended, n.expected = cmd, ended, false
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		expected := n.expected
		n.mu.Unlock()
		if !expected {
			n.s.broken("a process ends by itself", "%s: %v", n.name, err)
			n.s.record(n.name, "its last words:\n%s", n.lastWords())
		}
		close(ended)
	}()
}

var modulePath = regexp.MustCompile(`/\S*/pkg/mod/`)

// lastWords returns the lines that the process wrote from its panic on, if it did.
func (n *node) lastWords() string {
	raw, _ := os.ReadFile(n.log.Name())
	text := string(raw)
	if i := strings.LastIndex(text, "panic:"); i >= 0 {
		text = text[i:]
	}
	lines := strings.Split(text, "\n")
	words := strings.ReplaceAll(strings.Join(lines[:min(len(lines), 24)], "\n"), n.s.root+"/", "")
	return modulePath.ReplaceAllString(words, "")
}

func logLevel() string {
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		return level
	}
	return "info"
}

// signal sends a signal to the process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if sig == syscall.SIGKILL {
		n.expected = true
	}
	n.s.record(n.name, "signal %v", sig)
	_ = n.cmd.Process.Signal(sig)
}

func (n *node) kill() {
	n.mu.Lock()
	running := n.cmd != nil
	n.mu.Unlock()
	if !running {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// healthy reports whether GET /healthz answers 200.
func (n *node) healthy() bool {
	status, _ := n.s.call(time.Second, "GET", n.serve, "/healthz", "", nil)
	return status == 200
}

func (s *site) startAll() {
	for _, n := range s.nodes {
		n.start()
	}
	defer func() {
		if len(s.brokenRules()) > 0 {
			unable("a process ended before any disruption: %v", s.brokenRules())
		}
	}()
	s.waitFor(40*time.Second, "all controllers healthy", func() bool {
		for _, n := range s.nodes {
			if !n.healthy() {
				return false
			}
		}
		return true
	})
}

// waitFor waits for a condition without which the case can't run.
func (s *site) waitFor(limit time.Duration, what string, f func() bool) {
	if !s.wait(limit, f) {
		unable("waited %v for: %s", limit, what)
	}
}

func (s *site) wait(limit time.Duration, f func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until) && s.ctx.Err() == nil; {
		if f() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return f()
}

// call sends one request on a connection of its own, and returns status 0 if no response came.
func (s *site) call(limit time.Duration, method, addr, path, token string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return 0, nil
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.Close = true
	resp, err := oneShot.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return refused, nil
	}
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// refused is the status of a request whose connection was refused.
const refused = -1

var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// submit submits a job as a user does, with retries, and reports whether it was accepted.
func (s *site) submit(n *node, token string, j job) bool {
	s.jobsMu.Lock()
	s.jobs[j.UID] = j
	s.jobsMu.Unlock()
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until) && s.ctx.Err() == nil; {
		status, body := s.call(5*time.Second, "POST", n.serve, "/v1/jobs", token, j)
		s.record("user", "submit %s (%d tasks) to %s: %d %s", j.UID, j.Pieces, n.name, status, bytes.TrimSpace(body))
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

type state struct {
	UID     string `json:"uid"`
	Stage   string `json:"stage"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// poll asks for a job once.
func (s *site) poll(n *node, token, id string) (int, state) {
	status, body := s.call(2*time.Second, "GET", n.serve, "/v1/jobs/"+id, token, nil)
	var st state
	if status == 200 {
		_ = json.Unmarshal(body, &st)
	}
	return status, st
}

func (s *site) withdraw(n *node, token, id string) (int, state) {
	status, body := s.call(5*time.Second, "POST", n.serve, "/v1/jobs/"+id+"/withdraw", token, nil)
	s.record("user", "withdraw %s at %s: %d %s", id, n.name, status, bytes.TrimSpace(body))
	var st state
	if status == 200 {
		_ = json.Unmarshal(body, &st)
	}
	return status, st
}

// dewlift runs a command of the program and returns its output.
func (s *site) dewlift(args ...string) string {
	out, err := exec.Command(filepath.Join(s.root, "target/dewlift"), args...).CombinedOutput()
	if err != nil {
		unable("dewlift %v: %v: %s", args, err, out)
	}
	return string(out)
}

// end ends all processes and removes the temporary folder.
func (s *site) end() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.cancel()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// finish ends the case with its verdict.
func (s *site) finish() {
	faults := s.brokenRules()
	s.end()
	if len(faults) > 0 {
		fmt.Printf("the rule was broken: %s\n", faults[0])
		s.record("case", "verdict: broken, %d times", len(faults))
		os.Exit(1)
	}
	fmt.Println("the rule held")
	s.record("case", "verdict: held")
	os.Exit(0)
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](os.Args[2])
}
