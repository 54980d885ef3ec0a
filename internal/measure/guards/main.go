// Command guards measures the cost of permissions and the audit log. It compares, within one run, submissions and
// polls without them, with permissions, and with permissions and the audit log. It also measures valid requests
// during a flood of requests with invalid credentials, and reading and verifying a long audit log. It starts the
// built program against the fake store on loopback only; the number and duration of requests are bounded.
// docs/operations/access.md shows how to run it.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/internal/measure/process"
	pb "dewlift/proto"
	"dewlift/wire"
)

// RequestCost is the cost of one operation in one security mode.
type RequestCost struct {
	SecurityMode string  `json:"guards"` // "none", "rights" or "rights and record"
	Operation    string  `json:"what"`
	Count        int     `json:"count"`
	Retries      int64   `json:"again"` // after responses 429 and 503
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	CPU          float64 `json:"cpu_us"`  // microseconds of CPU time of the controller, per request
	Writes       float64 `json:"changes"` // to the store, per request
}

// AuditReadCost is the cost of a command that reads a long audit log.
type AuditReadCost struct {
	Command             string  `json:"what"`
	Entries             int     `json:"entries"`
	Blocks              int     `json:"blocks"`
	StoredBytesPerEntry float64 `json:"stored_bytes_per_entry"`
	TookS               float64 `json:"took_s"`
	PeakMB              float64 `json:"peak_mb"` // of the command
	PrintedLines        int     `json:"printed"`
}

func main() {
	log.SetFlags(0)
	bin := flag.String("program", "target/dewlift", "path of the dewlift program")
	requests := flag.Int("requests", 1500, "number of submissions, and of polls, per round")
	rounds := flag.Int("rounds", 3, "number of rounds; each round measures every security mode once")
	entries := flag.Int("entries", 1_000_000, "number of entries in the long audit log")
	out := flag.String("out", "guards", "output folder for figures.json")
	flag.Parse()
	if err := run(*bin, *requests, *rounds, *entries, *out); err != nil {
		log.Fatal("guards: ", err)
	}
}

// Security modes of a controller, by their names in figures.json: without permissions, with permissions, and with
// permissions and the audit log.
const (
	securityNone           = "none"
	securityAccess         = "rights"
	securityAccessAndAudit = "rights and record"
)

var securityModes = []string{securityNone, securityAccess, securityAccessAndAudit}

const (
	clientCount          = 8
	floodConnections     = 16
	requestTimeout       = 5 * time.Second
	shardAcquisitionTime = 2 * time.Second // from healthy until the controller owns its shards
	retryDelay           = 10 * time.Millisecond
	maxAttempts          = 200
	throttlePeriod       = 25 * time.Millisecond
	maxValueBytes        = 8192
	entriesPerBlock      = 160 // as many as nearly fill a value of the store
	invalidCredential    = "Bearer eyJhbGciOiJFZERTQSIsImtpZCI6Im5vYm9keSJ9.e30.AAAA"
)

// run takes all measurements and writes the figures.
func run(bin string, requests, rounds, entries int, out string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return fmt.Errorf("create folder for figures: %w", err)
	}
	creds, err := newCredentials()
	if err != nil {
		return err
	}
	var costs []*RequestCost
	for round := range rounds {
		for i := range securityModes { // the order rotates, so that it favors no mode
			mode := securityModes[(i+round)%len(securityModes)]
			roundCosts, err := creds.measureRound(bin, mode, requests, false)
			if err != nil {
				return err
			}
			costs = append(costs, roundCosts...)
		}
	}
	flood, err := creds.measureRound(bin, securityAccessAndAudit, requests, true)
	if err != nil {
		return err
	}
	reads, err := creds.measureAuditReads(bin, entries)
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(map[string]any{"costs": costs, "flood": flood, "reads": reads}, "", " ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "figures.json"), raw, 0o644); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	return nil
}

// credentials are a user's private key, an access policy that grants the user everything, and an audit key.
type credentials struct {
	user         *access.PrivateKey
	accessPolicy string
	auditKey     string
}

func newCredentials() (*credentials, error) {
	user, err := access.NewKey("portal", "portal-1")
	if err != nil {
		return nil, fmt.Errorf("create user's key: %w", err)
	}
	auditKey, err := audit.NewKey()
	if err != nil {
		return nil, fmt.Errorf("create audit key: %w", err)
	}
	policy := fmt.Sprintf(`roles {
			name: "all"
			grants {
				verbs: submit verbs: read verbs: cancel verbs: administer verbs: audit
				teams: "*" classes: "*"
			}
		}
		identities { name: "portal" roles: "all" keys { id: %q ed25519: %q } }
		`, user.ID, user.PublicBase64())
	return &credentials{user: user, auditKey: auditKey, accessPolicy: policy}, nil
}

// processOptions returns the options that start a controller in a security mode.
func (c *credentials) processOptions(mode string) process.Options {
	options := process.Options{RPS: 1000, WriteRPS: 1000, MemMB: 186, Files: map[string]string{}}
	if mode == securityNone {
		return options
	}
	options.Files["access"] = c.accessPolicy
	options.Args = []string{"--access", "%DIR%/access"}
	if mode == securityAccessAndAudit {
		options.Files["audit"] = c.auditKey
		options.Files["access"] += `audit_key: "%DIR%/audit"`
	}
	return options
}

// newStore returns a store that holds what a controller needs to become healthy.
func newStore() *fakes.Store {
	store := fakes.NewStore(fakes.Limits{ValueBytes: maxValueBytes, TxnOps: 24, PageItems: 1000, PageKB: 512})
	store.SetMachineType(wire.MachineType{Name: "x", CPUs: 32, MemoryGB: 128, Price: 1, Zones: []string{"a"}})
	version := json.RawMessage(fmt.Sprint(core.SchemaVersion))
	store.PutUnchecked([]wire.KeyValue{{Key: core.Root + "form/n0", Value: version}})
	return store
}

// requestBuilder builds the request with the given number.
type requestBuilder func(number int) (method, path string, body any)

// buildSubmission builds the submission of a job.
func buildSubmission(number int) (method, path string, body any) {
	return http.MethodPost, wire.PathJobs, fakes.JobRequest(fmt.Sprintf("wk-%06d", number), "c")
}

// buildPoll builds a poll of a job that buildSubmission submits.
func buildPoll(number int) (method, path string, body any) {
	return http.MethodGet, fmt.Sprintf("%s/wk-%06d", wire.PathJobs, number), nil
}

// measureRound starts a controller and measures submissions and polls. With flood, the controller is limited to its
// production share of a core during the polls, and they are measured both without and with concurrent requests that
// carry invalid credentials.
func (c *credentials) measureRound(bin, mode string, requests int, flood bool) (costs []*RequestCost, err error) {
	controller, err := process.Start(bin, newStore(), c.processOptions(mode))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, controller.Stop()) }()
	if _, err := controller.WaitHealthy(); err != nil {
		return nil, err
	}
	time.Sleep(shardAcquisitionTime)
	cost, err := c.measureRequests(controller, mode, "acceptance", requests, buildSubmission)
	if err != nil {
		return nil, err
	}
	costs = append(costs, cost)
	if !flood {
		cost, err := c.measureRequests(controller, mode, "poll", requests, buildPoll)
		return append(costs, cost), err
	}
	stop := throttleProcess(controller)
	defer stop()
	for _, connections := range []int{0, floodConnections} {
		cost, err := c.measureFlood(controller, mode, requests/3, connections)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
		log.Print("  ", cost.Operation)
	}
	return costs, nil
}

// measureFlood measures polls while a number of connections send invalid credentials.
func (c *credentials) measureFlood(
	controller *process.Process,
	mode string,
	requests, connections int,
) (*RequestCost, error) {
	end := make(chan struct{})
	var flood sync.WaitGroup
	var refused atomic.Int64
	for range connections {
		flood.Go(func() { sendInvalidCredentials(controller.Addr, end, &refused) })
	}
	startedAt := time.Now()
	operation := fmt.Sprintf("poll beside %d connections with bad credentials", connections)
	cost, err := c.measureRequests(controller, mode, operation, requests, buildPoll)
	close(end)
	flood.Wait()
	if err != nil {
		return nil, err
	}
	if connections > 0 {
		rate := float64(refused.Load()) / time.Since(startedAt).Seconds()
		cost.Operation += fmt.Sprintf(", %.0f refused a second", rate)
	}
	return cost, nil
}

// sendInvalidCredentials sends polls with an invalid credential, one at a time, until end is closed.
func sendInvalidCredentials(addr string, end <-chan struct{}, refused *atomic.Int64) {
	client := &http.Client{Timeout: requestTimeout}
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		default:
		}
		url := fmt.Sprintf("http://%s%s/wk-%06d", addr, wire.PathJobs, i)
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return
		}
		request.Header.Set("Authorization", invalidCredential)
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			refused.Add(1)
		}
	}
}

// throttleProcess limits the controller to process.CoreShare of a core by suspending its process for the rest of
// every period.
func throttleProcess(controller *process.Process) (stop func()) {
	end, done := make(chan struct{}), make(chan struct{})
	period := throttlePeriod // a variable, since Go does not convert a fractional constant to a Duration
	runTime := time.Duration(process.CoreShare * float64(period))
	pauseTime := time.Duration((1 - process.CoreShare) * float64(period))
	go func() {
		defer close(done)
		for {
			select {
			case <-end:
				return
			case <-time.After(runTime):
			}
			_ = controller.Signal(syscall.SIGSTOP) // an exited process is noticed by its missing responses
			time.Sleep(pauseTime)
			_ = controller.Signal(syscall.SIGCONT)
		}
	}()
	return func() { close(end); <-done }
}

// measureRequests sends count requests from clientCount concurrent clients and measures them.
func (c *credentials) measureRequests(
	controller *process.Process,
	mode, operation string,
	count int,
	build requestBuilder,
) (*RequestCost, error) {
	token := ""
	if mode != securityNone {
		var err error
		if token, err = c.user.SignToken(time.Now(), time.Hour); err != nil {
			return nil, fmt.Errorf("sign token: %w", err)
		}
	}
	cpuBefore, _, err := controller.Usage()
	if err != nil {
		return nil, err
	}
	writesBefore := controller.Store.Counters()["changed"]
	clients := &clientGroup{
		addr: controller.Addr, token: token, build: build, count: int64(count),
		latencies: hdrhistogram.New(1, 60_000_000, 3),
	}
	sendErr := clients.run()
	cpuAfter, _, err := controller.Usage()
	if err != nil || sendErr != nil {
		return nil, errors.Join(err, sendErr)
	}
	perRequest := func(total int64) float64 { return float64(total) / float64(count) }
	cost := &RequestCost{
		SecurityMode: mode,
		Operation:    operation,
		Count:        count,
		Retries:      clients.retries.Load(),
		P50MS:        float64(clients.latencies.ValueAtQuantile(50)) / 1000,
		P99MS:        float64(clients.latencies.ValueAtQuantile(99)) / 1000,
		CPU:          perRequest((cpuAfter - cpuBefore).Microseconds()),
		Writes:       perRequest(int64(controller.Store.Counters()["changed"] - writesBefore)),
	}
	log.Printf(
		"%-18s %-12s p50 %6.2f ms, p99 %7.2f ms, %5.0f us CPU/request, %.3f writes/request, %d retries",
		cost.SecurityMode,
		cost.Operation,
		cost.P50MS,
		cost.P99MS,
		cost.CPU,
		cost.Writes,
		cost.Retries,
	)
	return cost, nil
}

// clientGroup is a group of concurrent clients that together send count requests.
type clientGroup struct {
	addr, token string
	build       requestBuilder
	count       int64
	lastNumber  atomic.Int64 // of the latest request that a client started
	retries     atomic.Int64

	mu        sync.Mutex              // guards the fields below
	latencies *hdrhistogram.Histogram // in microseconds
	firstErr  error                   // error of the first request that failed
}

// run sends all requests and returns the first error.
func (g *clientGroup) run() error {
	var clients sync.WaitGroup
	for range clientCount {
		clients.Go(g.runClient)
	}
	clients.Wait()
	return g.firstErr
}

// runClient sends requests over its own connections until the group has sent all.
func (g *clientGroup) runClient() {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := g.lastNumber.Add(1); i <= g.count; i = g.lastNumber.Add(1) {
		took, retries, err := g.sendUntilAnswered(client, int(i))
		g.retries.Add(int64(retries))
		g.mu.Lock()
		if err != nil && g.firstErr == nil {
			g.firstErr = err
		}
		_ = g.latencies.RecordValue(took.Microseconds()) // fails only beyond the histogram's maximum of 60 s
		g.mu.Unlock()
	}
}

// sendUntilAnswered sends a request until it succeeds and returns the time since the first attempt.
func (g *clientGroup) sendUntilAnswered(
	client *http.Client,
	number int,
) (took time.Duration, retries int, err error) {
	method, path, body := g.build(number)
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, 0, fmt.Errorf("encode request: %w", err)
	}
	startedAt := time.Now()
	for ; retries < maxAttempts; retries++ {
		request, err := http.NewRequest(method, "http://"+g.addr+path, bytes.NewReader(raw))
		if err != nil {
			return 0, retries, fmt.Errorf("create request: %w", err)
		}
		if g.token != "" {
			request.Header.Set("Authorization", "Bearer "+g.token)
		}
		response, err := client.Do(request)
		if err != nil {
			return 0, retries, fmt.Errorf("send request: %w", err)
		}
		_ = response.Body.Close()
		switch response.StatusCode {
		case http.StatusOK, http.StatusCreated:
			return time.Since(startedAt), retries, nil
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(retryDelay)
		default:
			return 0, retries, fmt.Errorf("%s %s: %d", method, path, response.StatusCode)
		}
	}
	return 0, retries, fmt.Errorf("%s %s: refused after all retries", method, path)
}

// auditLogSize is the size of a stored audit log.
type auditLogSize struct{ entries, blocks, bytes int }

// measureAuditReads verifies, lists and reports a long audit log through a controller whose settings have the store
// limits of the users' deployments.
func (c *credentials) measureAuditReads(bin string, entries int) (reads []*AuditReadCost, err error) {
	store := newStore()
	key, err := audit.ParseKey(c.auditKey)
	if err != nil {
		return nil, fmt.Errorf("parse audit key: %w", err)
	}
	size, err := fillAuditBlocks(store, key, entries)
	if err != nil {
		return nil, err
	}
	options := c.processOptions(securityAccessAndAudit)
	options.RPS, options.WriteRPS = 150, 30
	controller, err := process.Start(bin, store, options)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, controller.Stop()) }()
	if _, err := controller.WaitHealthy(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "guards-*")
	if err != nil {
		return nil, fmt.Errorf("create folder for keys: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	userKey, auditKey, err := c.writeKeys(dir)
	if err != nil {
		return nil, err
	}
	for _, command := range []string{
		"audit verify --audit-key " + auditKey,
		"audit list --who user-7 --outcome done",
		"audit report --html " + filepath.Join(dir, "report.html") + " --tz Europe/Zurich",
	} {
		args := append(strings.Fields(command), "--server", controller.Addr, "--key", userKey)
		cost, err := measureCommand(bin, args, size)
		if err != nil {
			return nil, err
		}
		reads = append(reads, cost)
	}
	_, peak, err := controller.Usage()
	log.Printf("controller: peak memory %.0f MB", peak)
	return reads, err
}

// writeKeys writes the user's key and the audit key to files in dir and returns their paths.
func (c *credentials) writeKeys(dir string) (userKey, auditKey string, err error) {
	raw, err := json.Marshal(c.user)
	if err != nil {
		return "", "", fmt.Errorf("encode user's key: %w", err)
	}
	userKey, auditKey = filepath.Join(dir, "portal.key"), filepath.Join(dir, "audit.key")
	err = errors.Join(os.WriteFile(userKey, raw, 0o600), os.WriteFile(auditKey, []byte(c.auditKey), 0o600))
	if err != nil {
		return "", "", fmt.Errorf("write keys: %w", err)
	}
	return userKey, auditKey, nil
}

// measureCommand runs a command of the program and measures its run time and peak memory.
func measureCommand(bin string, args []string, size auditLogSize) (*AuditReadCost, error) {
	command := exec.Command(bin, args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	startedAt := time.Now()
	if err := command.Run(); err != nil {
		return nil, fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, stderr.String())
	}
	took := time.Since(startedAt)
	usage, ok := command.ProcessState.SysUsage().(*syscall.Rusage)
	if !ok {
		return nil, errors.New("this system does not report the memory use of a command")
	}
	cost := &AuditReadCost{
		Command:             strings.Join(args[:2], " "),
		Entries:             size.entries,
		Blocks:              size.blocks,
		StoredBytesPerEntry: float64(size.bytes) / float64(size.entries),
		TookS:               took.Seconds(),
		PeakMB:              float64(usage.Maxrss) / 1024,
		PrintedLines:        bytes.Count(stdout.Bytes(), []byte("\n")),
	}
	log.Printf(
		"%s: %d entries in %d blocks, %.1f bytes/entry: took %.1f s, peak memory %.0f MB, printed %d lines",
		cost.Command,
		cost.Entries,
		cost.Blocks,
		cost.StoredBytesPerEntry,
		cost.TookS,
		cost.PeakMB,
		cost.PrintedLines,
	)
	return cost, nil
}

// auditEntry returns an encoded entry of the long audit log.
func auditEntry(i int) []byte {
	user := fmt.Sprintf("user-%d", i*7919%500)
	entry := &pb.AuditEntry{
		Life:   1,
		Count:  uint64(i + 1),
		AtMs:   1_780_000_000_000 + int64(i)*20_000,
		Who:    user,
		Key:    user + "-1",
		Verb:   "submit",
		Object: fmt.Sprintf("wk-%08d", i),
		Why:    "kiln-floor firing standard",
	}
	if i%10 == 0 {
		entry.Verb, entry.Why = "cancel", ""
	}
	return audit.EncodeEntry(entry)
}

// fillAuditBlocks stores an audit log with a number of entries as a chain of blocks.
func fillAuditBlocks(store *fakes.Store, key audit.Key, entries int) (auditLogSize, error) {
	const maxBlockBytes = maxValueBytes * 15 / 16
	size := auditLogSize{entries: entries}
	head := &audit.Head{}
	for next := 0; next < entries; {
		var encoded [][]byte
		for i := next; i < min(next+entriesPerBlock, entries); i++ {
			encoded = append(encoded, auditEntry(i))
		}
		raw, count, mac, err := key.EncodeNextBlock(head, "n0", 5, encoded, maxBlockBytes)
		if err != nil {
			return size, fmt.Errorf("encode audit block: %w", err)
		}
		next += count
		head = &audit.Head{
			BlockNumber:  head.BlockNumber + 1,
			MAC:          mac,
			Incarnations: []audit.Incarnation{{Number: 1, NextSequence: uint64(next + 1)}},
		}
		size.bytes += len(raw)
		store.PutUnchecked([]wire.KeyValue{{Key: audit.BlockKey("n0", head.BlockNumber), Value: raw}})
	}
	size.blocks = int(head.BlockNumber)
	raw, err := json.Marshal(head)
	if err != nil {
		return size, fmt.Errorf("encode audit head: %w", err)
	}
	store.PutUnchecked([]wire.KeyValue{
		{Key: core.Root + "audit/head/n0", Value: raw},
		{Key: core.Root + "audit/begun", Value: json.RawMessage("1")},
	})
	return size, nil
}
