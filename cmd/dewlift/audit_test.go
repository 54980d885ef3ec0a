package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift"
	"dewlift/access"
	"dewlift/audit"
	"dewlift/internal/fakes"
	"dewlift/internal/httpjson"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
)

// testSite is a site with permissions and an audit log, whose single controller can be restarted.
type testSite struct {
	t        *testing.T
	store    *fakes.Store
	addr     string
	options  dewlift.Options
	keys     map[string]*access.PrivateKey
	dir      string
	platform *settings.Platform
	stop     func()
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{
		t:     t,
		store: fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12}),
		dir:   t.TempDir(),
		stop:  func() {},
	}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.addr = strings.TrimPrefix(srv.URL, "http://")
	s.store.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	var err error
	if s.options.Permissions, s.keys, err = fakes.TestPolicy(); err != nil {
		t.Fatal(err)
	}
	if err := saveKey(s.file("root.key"), s.keys["root"]); err != nil {
		t.Fatal(err)
	}
	if _, err := runCommand("audit", "key", s.file("audit.key")); err != nil {
		t.Fatal(err)
	}
	if s.options.AuditKey, err = loadAuditKey(s.file("audit.key")); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *testSite) file(name string) string { return filepath.Join(s.dir, name) }

// listenLoopback listens on a free loopback port.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// start runs the controller against a store until stop is called, and waits until it is healthy.
func (s *testSite) start(storeAddr string) {
	s.t.Helper()
	users, peers := listenLoopback(s.t), listenLoopback(s.t)
	platform := &settings.Platform{
		Name:     "n0",
		Zone:     "a",
		Listen:   users.Addr().String(),
		MeshAddr: peers.Addr().String(),
	}
	platform.Services.State, platform.Services.Cloud = storeAddr, "127.0.0.1:1" // nothing listens there
	cluster := &platform.Cluster
	cluster.Teams = []settings.Team{{Name: "t"}}
	cluster.Workers.HeartbeatIntervalS = 3
	cluster.Workers.AgentLeaseS = 30
	cluster.Workers.CancelDeadlineS = 60
	cluster.TimeBoundMS = 500
	cluster.State.RPS = 500
	cluster.State.WriteRPS = 200
	cluster.State.ValueKB = 8
	cluster.State.TxnOps = 12
	cluster.Cloud.RPS = 4
	cluster.Quota.FDLimit = 1000
	tuning := settings.DefaultTuning()
	tuning.LeaseMs = new(uint32(1000))
	tuning.AuditGatherMs = new(uint32(1000))
	tuning.AuditBlockMs = new(uint32(1000))
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan error, 1)
	controller := dewlift.New(platform, tuning, s.options, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go func() { ended <- controller.Serve(ctx, users, peers) }()
	s.platform = platform
	s.stop = func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			s.t.Error(err)
		}
	}
	s.eventually("healthy", func() bool {
		r := httpjson.New(1, 1, 1<<10).
			Do(s.t.Context(), time.Second, http.MethodGet, "http://"+platform.Listen+wire.PathHealth, nil)
		return r.Status == http.StatusOK
	})
}

func (s *testSite) eventually(what string, f func() bool) {
	s.t.Helper()
	for range 1200 {
		if f() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Fatalf("not %s within a minute", what)
}

// request makes a request once and returns the status of its response. It sends a token if the identity has a key.
func (s *testSite) request(who, method, path string, body any) int {
	c := httpjson.New(1, 1, 1<<20)
	if k := s.keys[who]; k != nil {
		var err error
		if c.Token, err = k.SignToken(time.Now(), time.Minute); err != nil {
			s.t.Fatal(err)
		}
	}
	return c.Do(s.t.Context(), 3*time.Second, method, "http://"+s.platform.Listen+path, body).Status
}

// run runs a command as root, against the site.
func (s *testSite) run(args ...string) (string, error) {
	return runCommand(append(args, "--key", s.file("root.key"), "--server", s.platform.Listen)...)
}

// list returns the events that `dewlift audit list` prints.
func (s *testSite) list(args ...string) (events []audit.Event) {
	s.t.Helper()
	out, err := s.run(append([]string{"audit", "list", "--json"}, args...)...)
	if err != nil {
		s.t.Fatal(err)
	}
	for dec := json.NewDecoder(strings.NewReader(out)); dec.More(); {
		var event audit.Event
		if err := dec.Decode(&event); err != nil {
			s.t.Fatal(err)
		}
		events = append(events, event)
	}
	return events
}

// The controller is killed during requests of a glaze technician, a visiting potter, a packer who may reprint labels
// but not cancel a reroast, and a service. Every permitted request must be in the audit log exactly once, and every
// denial by a controller that was not killed later must be in it. The log must verify on the site, in a snapshot and
// on a site restored from the snapshot.
func TestRequestsAreAuditedAcrossKills(t *testing.T) {
	s := newTestSite(t)
	s.start(s.addr)
	script := &requestScript{t: t, site: s, rng: rand.New(rand.NewPCG(14, 1)), deniedNow: map[expectedEvent]uint32{}}
	for i := range 5 {
		script.round(i)
	}
	script.checkRecorded()
	checkLogCommands(t, s)
	checkRevokedKeyIsRecorded(t, s)
	saved := s.file("saved")
	checkSavedLogVerifies(t, s, saved)
	s.stop()
	other := httptest.NewServer(fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12}))
	t.Cleanup(other.Close)
	restored := strings.TrimPrefix(other.URL, "http://")
	if _, err := snapshot.Restore(t.Context(), &snapshot.Target{
		Source:   snapshot.Source{Addr: restored, RPS: 1000},
		WriteRPS: 1000,
		TxnOps:   12,
	}, saved, nil); err != nil {
		t.Fatal(err)
	}
	s.start(restored)
	checkRestoredLogContinues(t, s, saved)
	s.stop()
}

// expectedEvent is the event that the audit log must contain for a request.
type expectedEvent struct {
	identity, verb, object string
	denied                 bool
}

// requestScript makes requests and kills the controller during some of them.
type requestScript struct {
	t         *testing.T
	site      *testSite
	rng       *rand.Rand // the kills are the same in every run
	expected  []expectedEvent
	deniedNow map[expectedEvent]uint32 // number of denials by the controller that is running
}

// do repeats a request until the controller answers it, and records the expected event.
func (r *requestScript) do(caller, method, path string, body any, expected expectedEvent, want int) {
	r.t.Helper()
	kill, wait := r.rng.Float64() < 0.12, time.Duration(r.rng.Int64N(int64(25*time.Millisecond)))
	for attempt := range 200 {
		status := r.requestDuringKill(kill && attempt == 0, wait, caller, method, path, body)
		if status == 0 || status == 503 || status == 500 || status == 429 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if status != want && (want != 201 || status != 200) {
			r.t.Fatalf("%s %s %s: %d, want %d", caller, method, path, status, want)
		}
		if expected.denied {
			r.deniedNow[expected]++
		}
		r.expected = append(r.expected, expected)
		return
	}
	r.t.Fatalf("%s %s %s: no answer", caller, method, path)
}

// requestDuringKill makes a request. With kill, the controller is killed during it and restarted.
func (r *requestScript) requestDuringKill(
	kill bool,
	wait time.Duration,
	caller, method, path string,
	body any,
) (status int) {
	r.t.Helper()
	if !kill {
		return r.site.request(caller, method, path, body)
	}
	stop, killed := r.site.stop, make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(wait)
		stop()
	}()
	status = r.site.request(caller, method, path, body)
	<-killed
	clear(r.deniedNow)
	r.site.start(r.site.addr)
	return status
}

// round makes ten requests about new jobs and a new identity.
func (r *requestScript) round(i int) {
	r.t.Helper()
	id := func(kind string) string { return fmt.Sprintf("wk-%s%d", kind, i) }
	submit := func(caller, kind, class string, denied bool, want int) {
		r.t.Helper()
		body := fakes.JobRequest(id(kind), class)
		r.do(caller, http.MethodPost, "/v1/jobs", body, expectedEvent{caller, "submit", id(kind), denied}, want)
	}
	cancel := func(caller, kind string, denied bool, want int) {
		r.t.Helper()
		path := "/v1/jobs/" + id(kind) + "/withdraw"
		r.do(caller, http.MethodPost, path, struct{}{}, expectedEvent{caller, "cancel", id(kind), denied}, want)
	}
	submit("anna", "fire", "firing", false, 201)
	submit("potter", "plan", "plan", false, 201)
	submit("potter", "no", "firing", true, 403)
	submit("portal", "roast", "reroast", false, 201)
	submit("pia", "label", "labels", false, 201)
	cancel("pia", "roast", true, 403)
	read := "/v1/jobs/" + id("fire")
	r.do("potter", http.MethodGet, read, nil, expectedEvent{"potter", "read", id("fire"), true}, 404)
	r.do("nobody", http.MethodGet, read, nil, expectedEvent{"", "GET", read, true}, 401)
	cancel("anna", "fire", false, 200)
	guest := fmt.Sprint("guest", i)
	edit := wire.PermissionsEdit{GrantRoles: []string{"visitor"}}
	r.do("root", http.MethodPost, "/v1/access/"+guest, edit, expectedEvent{"root", "administer", guest, false}, 200)
}

// checkRecorded waits until every expected event is in the audit log as often as required.
func (r *requestScript) checkRecorded() {
	r.t.Helper()
	missing := "nothing was listed"
	defer func() {
		if r.t.Failed() {
			r.t.Log(missing)
		}
	}()
	r.site.eventually("recorded", func() bool {
		missing = ""
		count, entries := map[expectedEvent]uint32{}, map[expectedEvent]int{}
		for _, event := range r.site.list() {
			recorded := expectedEvent{event.Identity, event.Verb, event.Object, event.Outcome == audit.OutcomeRefused}
			count[recorded] += event.Count
			entries[recorded]++
		}
		for _, want := range r.expected {
			// A denial by a controller that was killed may be lost. A change of permissions that was requested
			// twice is recorded twice.
			if want.denied && count[want] < r.deniedNow[want] ||
				!want.denied && (entries[want] == 0 || entries[want] > 1 && want.verb != "administer") {
				missing += fmt.Sprintf("%+v: %d times in %d entries; ", want, count[want], entries[want])
			}
		}
		return missing == ""
	})
}

// checkLogCommands checks the output of the audit commands, and that reading the audit log is recorded.
func checkLogCommands(t *testing.T, s *testSite) {
	t.Helper()
	if starts := s.list("--verb", "start"); len(starts) < 4 ||
		!strings.HasPrefix(starts[1].Reason, "settings differ: ") {
		t.Errorf("starts: %+v", starts)
	}
	if reads := s.list("--verb", "audit", "--who", "root"); len(reads) == 0 {
		t.Error("reading the audit log is not recorded")
	}
	if out, err := s.run("audit", "verify", "--audit-key", s.file("audit.key"), "--ends", s.file("ends")); err != nil ||
		!strings.Contains(out, "whole") {
		t.Fatalf("%s %v", out, err)
	}
	if out, err := s.run("audit", "report", "--html", s.file("report.html"), "--tz", "Europe/Zurich"); err != nil ||
		!strings.Contains(out, "days") {
		t.Fatalf("%s %v", out, err)
	}
	page, err := os.ReadFile(s.file("report.html"))
	if err != nil || !strings.Contains(string(page), "potter") || !strings.Contains(string(page), "data:image/png") {
		t.Errorf("report: %d bytes, %v", len(page), err)
	}
}

// checkRevokedKeyIsRecorded checks that a revoked key is no longer accepted, and that its revocation is recorded.
func checkRevokedKeyIsRecorded(t *testing.T, s *testSite) {
	t.Helper()
	if out, err := s.run("key", "revoke", "pia", "pia-1"); err != nil ||
		!strings.Contains(out, "key pia-1 of pia is revoked") {
		t.Fatalf("%s %v", out, err)
	}
	s.eventually("rejected after its key was revoked", func() bool {
		return s.request("pia", http.MethodGet, "/v1/jobs/wk-label0", nil) == http.StatusUnauthorized
	})
	s.eventually("recorded as a revocation", func() bool {
		events := s.list("--verb", "administer", "--object", "pia")
		return len(events) == 1 && events[0].Reason == "revoke keys pia-1"
	})
}

// checkSavedLogVerifies saves a snapshot, which must be recorded, and verifies the audit log in it.
func checkSavedLogVerifies(t *testing.T, s *testSite, saved string) {
	t.Helper()
	if _, err := s.run("snapshot", "save", saved, "--share", "1"); err != nil {
		t.Fatal(err)
	}
	s.eventually("recorded as a snapshot", func() bool {
		return len(s.list("--object", "snapshot", "--who", "root")) > 0
	})
	out, err := runCommand("audit", "verify", "--snapshot", saved, "--audit-key", s.file("audit.key"),
		"--ends", s.file("ends"))
	if err != nil || !strings.Contains(out, "whole") {
		t.Errorf("%s %v", out, err)
	}
}

// checkRestoredLogContinues checks that the chain of a restored site records the restore, extends the saved chain
// without changing it, and verifies.
func checkRestoredLogContinues(t *testing.T, s *testSite, saved string) {
	t.Helper()
	s.eventually("recorded as a restore", func() bool { return len(s.list("--verb", "restore")) == 1 })
	if _, err := s.run("snapshot", "save", s.file("again"), "--share", "1"); err != nil {
		t.Fatal(err)
	}
	before, err := readSnapshotChains(saved)
	if err != nil {
		t.Fatal(err)
	}
	after, err := readSnapshotChains(s.file("again"))
	if err != nil || len(after["n0"]) <= len(before["n0"]) {
		t.Fatalf("%d blocks, %d when it was saved: %v", len(after["n0"]), len(before["n0"]), err)
	}
	for i, block := range before["n0"] { // the values are equal byte for byte
		if !bytes.Equal(block.Value, after["n0"][i].Value) || block.Number != after["n0"][i].Number {
			t.Errorf("block %d was rewritten", block.Number)
		}
	}
	if _, err := s.run("audit", "verify", "--audit-key", s.file("audit.key"), "--ends", s.file("ends")); err != nil {
		t.Error(err)
	}
}

// savedAuditLog writes a snapshot with a chain of three blocks, changed by tamper, and returns its path.
func savedAuditLog(t *testing.T, key audit.Key, tamper func(keys []*pb.Key) []*pb.Key) string {
	t.Helper()
	h := &audit.Head{}
	var keys []*pb.Key
	count := uint64(0)
	for b := range 3 {
		var list [][]byte
		for range 3 {
			count++
			list = append(
				list,
				audit.EncodeEntry(
					&pb.AuditEntry{
						Life:   1,
						Count:  count,
						AtMs:   1_790_000_000_000 + int64(count)*7_200_000,
						Who:    "anna",
						Verb:   "submit",
						Object: fmt.Sprintf("wk-%d", count),
					},
				),
			)
		}
		raw, _, mac, err := key.EncodeNextBlock(h, "n0", 0, list, 8192)
		if err != nil {
			t.Fatal(err)
		}
		h = &audit.Head{BlockNumber: uint64(b + 1), MAC: mac}
		keys = append(keys, &pb.Key{Name: audit.BlockKey("n0", h.BlockNumber), Value: raw})
	}
	s := fakes.NewStore(fakes.Limits{})
	for _, k := range tamper(keys) {
		s.PutUnchecked([]wire.KeyValue{{Key: k.Name, Value: k.Value}})
	}
	srv := httptest.NewServer(s)
	defer srv.Close()
	path := filepath.Join(t.TempDir(), "saved")
	if _, err := snapshot.Save(t.Context(), &snapshot.Source{
		Addr: strings.TrimPrefix(srv.URL, "http://"),
		RPS:  1000,
	}, path, nil); err != nil {
		t.Fatal(err)
	}
	return path
}

// The first tampered block must be reported, and the file of chain ends must reveal blocks that were removed from the
// end of a chain.
func TestVerifyReportsTamperedBlocks(t *testing.T) {
	dir := t.TempDir()
	file, ends := filepath.Join(dir, "audit.key"), filepath.Join(dir, "ends")
	if _, err := runCommand("audit", "key", file); err != nil {
		t.Fatal(err)
	}
	key, err := loadAuditKey(file)
	if err != nil {
		t.Fatal(err)
	}
	unchanged := func(keys []*pb.Key) []*pb.Key { return keys }
	verify := func(path string, more ...string) (string, error) {
		return runCommand(append([]string{"audit", "verify", "--snapshot", path, "--audit-key", file}, more...)...)
	}
	if out, err := verify(savedAuditLog(t, key, unchanged), "--ends", ends); err != nil ||
		out != "chain of n0: 3 blocks, 9 entries, whole\n" {
		t.Fatalf("%q %v", out, err)
	}
	otherKey := audit.Key(slices.Repeat([]byte("x"), 32))
	for name, x := range map[string]struct {
		path, want string
	}{
		"removed": {
			savedAuditLog(t, key, func(k []*pb.Key) []*pb.Key { return slices.Delete(k, 1, 2) }),
			"chain of n0: block 2 is missing",
		},
		"swapped": {savedAuditLog(t, key, func(k []*pb.Key) []*pb.Key {
			k[1].Value, k[2].Value = k[2].Value, k[1].Value
			return k
		}), "chain of n0: block 2 is block 3"},
		"last removed": {
			savedAuditLog(t, key, func(k []*pb.Key) []*pb.Key { return k[:2] }),
			"chain of n0: block 3 and the blocks after it, up to 3, were removed",
		},
		"all removed": {
			savedAuditLog(t, key, func([]*pb.Key) []*pb.Key { return nil }),
			"chain of n0: block 1 and the blocks after it",
		},
		"signed with another key": {
			savedAuditLog(t, otherKey, unchanged),
			"chain of n0: block 1 is signed with another key",
		},
	} {
		_, err := verify(x.path, "--ends", ends)
		if fault := (*audit.ChainError)(nil); !errors.As(err, &fault) || !strings.HasPrefix(err.Error(), x.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw))); err != nil {
		t.Error(err)
	}
}

// Days of --since and --until must be calendar days of the time zone, which last 23 or 25 hours where clocks change.
func TestAuditListByCalendarDays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "audit.key")
	if _, err := runCommand("audit", "key", file); err != nil {
		t.Fatal(err)
	}
	key, err := loadAuditKey(file)
	if err != nil {
		t.Fatal(err)
	}
	// One entry every two hours from 2026-09-21 16:13:20 UTC on.
	path := savedAuditLog(t, key, func(keys []*pb.Key) []*pb.Key { return keys })
	for _, x := range []struct {
		args string
		want int
	}{
		{"", 9},
		{"--since 2026-09-22", 5},
		{"--since 2026-09-22 --tz Asia/Tokyo", 9},
		{"--until 2026-09-21 --tz Asia/Tokyo", 0},
		{"--until 2026-09-21", 4},
		{"--since 2026-09-21T20:00 --until 2026-09-22T02:00", 3},
		{"--since 2026-09-21T20:00:00+02:00", 8},
		{"--who potter", 0},
		{"--object wk-4", 1},
		{"--node n0 --verb submit --outcome done", 9},
	} {
		out, err := runCommand(append(strings.Fields("audit list --snapshot "+path), strings.Fields(x.args)...)...)
		if n := strings.Count(out, "\n"); err != nil || n != x.want {
			t.Errorf("%s: %d events, want %d: %v\n%s", x.args, n, x.want, err, out)
		}
	}
	zurich, err := time.LoadLocation("Europe/Zurich")
	if err != nil {
		t.Fatal(err)
	}
	for day, hours := range map[string]float64{"2026-03-29": 23, "2026-10-25": 25, "2026-12-31": 24} {
		from, err := parseTime(day, zurich, 0)
		to, err2 := parseTime(day, zurich, 1)
		if err != nil || err2 != nil || to.Sub(from).Hours() != hours {
			t.Errorf("%s lasts %v", day, to.Sub(from))
		}
	}
	for _, x := range []struct{ args, want string }{
		{"--tz Nowhere/Land", "no time zone"},
		{"--since yesterday", "--since:"},
		{"--until 2026-02-30", "--until:"},
		{"--outcome maybe", "--outcome:"},
		{"--node n9", `no controller "n9"`},
	} {
		args := append(strings.Fields("audit list --snapshot "+path), strings.Fields(x.args)...)
		if _, err := runCommand(args...); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v", x.args, err)
		}
	}
}
