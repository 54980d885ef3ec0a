package main

import (
	"bytes"
	"context"
	"dewlift"
	"dewlift/access"
	"dewlift/audit"
	"dewlift/internal/fakes"
	"dewlift/internal/httpjson"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
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

	pb "dewlift/proto"
)

// testSite is a site with rights and a record, whose controller can be killed and started again.
type testSite struct {
	t        *testing.T
	state    *fakes.Store
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
		state: fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12}),
		dir:   t.TempDir(),
		stop:  func() {},
	}
	srv := httptest.NewServer(s.state)
	t.Cleanup(srv.Close)
	s.addr = strings.TrimPrefix(srv.URL, "http://")
	s.state.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
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

// listenLoopback holds a free address on loopback.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// start runs the controller against a state service until stop is called, and waits until it is healthy.
func (s *testSite) start(state string) {
	s.t.Helper()
	users, peers := listenLoopback(s.t), listenLoopback(s.t)
	p := &settings.Platform{Name: "n0", Zone: "a", Listen: users.Addr().String(), MeshAddr: peers.Addr().String()}
	p.Services.State, p.Services.Cloud = state, "127.0.0.1:1" // no cloud
	k := &p.Cluster
	k.Teams = []settings.Team{{Name: "t"}}
	k.Workers.HeartbeatIntervalS = 3
	k.Workers.AgentLeaseS = 30
	k.Workers.CancelDeadlineS = 60
	k.TimeBoundMS = 500
	k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps, k.Cloud.RPS, k.Quota.FDLimit = 500, 200, 8, 12, 4, 1000
	tuning := settings.DefaultTuning()
	tuning.LeaseMs, tuning.AuditGatherMs, tuning.AuditBlockMs = new(
		uint32(1000),
	), new(
		uint32(1000),
	), new(
		uint32(1000),
	)
	ctx, cancel := context.WithCancel(s.t.Context())
	ended := make(chan error, 1)
	c := dewlift.New(p, tuning, s.options, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go func() { ended <- c.Serve(ctx, users, peers) }()
	s.platform = p
	s.stop = func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			s.t.Error(err)
		}
	}
	s.eventually("healthy", func() bool {
		r := httpjson.New(1, 1, 1<<10).
			Do(s.t.Context(), time.Second, http.MethodGet, "http://"+p.Listen+wire.PathHealth, nil)
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

// request asks once, in somebody's name.
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

// list lists acts by the command.
func (s *testSite) list(args ...string) (acts []audit.Event) {
	s.t.Helper()
	out, err := s.run(append([]string{"audit", "list", "--json"}, args...)...)
	if err != nil {
		s.t.Fatal(err)
	}
	for dec := json.NewDecoder(strings.NewReader(out)); dec.More(); {
		var a audit.Event
		if err := dec.Decode(&a); err != nil {
			s.t.Fatal(err)
		}
		acts = append(acts, a)
	}
	return acts
}

// A glaze technician, a visiting potter, a packer who may reprint labels and not cancel a reroast,
// and a service, over kills of the controller amid their acts: every act that was granted is in the
// record exactly once, every refused one of a life that went on is found, and the record verifies,
// also as a snapshot and where that was restored.
func TestEveryActIsRecordedOverKills(t *testing.T) {
	s := newTestSite(t)
	rng := rand.New(rand.NewPCG(14, 1))
	s.start(s.addr)
	type did struct {
		who, verb, object string
		refused           bool
	}
	var acts []did
	refusedNow := map[did]uint32{} // of this life
	do := func(who, method, path string, body any, d did, want int) {
		t.Helper()
		// the same in every run
		die, wait := rng.Float64() < 0.12, time.Duration(rng.Int64N(int64(25*time.Millisecond)))
		for try := range 200 {
			killed := make(chan bool, 1)
			if die && try == 0 {
				kill := s.stop
				go func() { time.Sleep(wait); kill(); killed <- true }()
			} else {
				killed <- false
			}
			status := s.request(who, method, path, body)
			if <-killed {
				clear(refusedNow)
				s.start(s.addr)
			}
			switch {
			case status == 0 || status == 503 || status == 500 || status == 429:
				time.Sleep(20 * time.Millisecond)
				continue
			case status != want && !(want == 201 && status == 200):
				t.Fatalf("%s %s %s: %d, want %d", who, method, path, status, want)
			}
			if d.refused {
				refusedNow[d]++
			}
			acts = append(acts, d)
			return
		}
		t.Fatalf("%s %s %s: no answer", who, method, path)
	}
	post, get := http.MethodPost, http.MethodGet
	for i := range 5 {
		id := func(s string) string { return fmt.Sprintf("wk-%s%d", s, i) }
		do(
			"anna",
			post,
			"/v1/jobs",
			fakes.JobRequest(id("fire"), "firing"),
			did{"anna", "submit", id("fire"), false},
			201,
		)
		do(
			"potter",
			post,
			"/v1/jobs",
			fakes.JobRequest(id("plan"), "plan"),
			did{"potter", "submit", id("plan"), false},
			201,
		)
		do(
			"potter",
			post,
			"/v1/jobs",
			fakes.JobRequest(id("no"), "firing"),
			did{"potter", "submit", id("no"), true},
			403,
		)
		do(
			"portal",
			post,
			"/v1/jobs",
			fakes.JobRequest(id("roast"), "reroast"),
			did{"portal", "submit", id("roast"), false},
			201,
		)
		do(
			"pia",
			post,
			"/v1/jobs",
			fakes.JobRequest(id("label"), "labels"),
			did{"pia", "submit", id("label"), false},
			201,
		)
		do("pia", post, "/v1/jobs/"+id("roast")+"/withdraw", struct{}{}, did{"pia", "cancel", id("roast"), true}, 403)
		do("potter", get, "/v1/jobs/"+id("fire"), nil, did{"potter", "read", id("fire"), true}, 404)
		do("nobody", get, "/v1/jobs/"+id("fire"), nil, did{"", "GET", "/v1/jobs/" + id("fire"), true}, 401)
		do(
			"anna",
			post,
			"/v1/jobs/"+id("fire")+"/withdraw",
			struct{}{},
			did{"anna", "cancel", id("fire"), false},
			200,
		)
		do(
			"root",
			post,
			"/v1/access/guest"+fmt.Sprint(i),
			wire.PermissionsEdit{GrantRoles: []string{"visitor"}},
			did{"root", "administer", fmt.Sprint("guest", i), false},
			200,
		)
	}
	missing := "nothing was listed"
	s.eventually("recorded", func() bool {
		count, times := map[did]uint32{}, map[did]int{}
		for _, a := range s.list() {
			d := did{a.Identity, a.Verb, a.Object, a.Outcome == audit.OutcomeRefused}
			count[d] += a.Count
			times[d]++
		}
		missing = ""
		for _, d := range acts {
			// A refusal of a life that was ended may be lost with it. A change of rights that was
			// asked for twice is two.
			if n := refusedNow[d]; d.refused && count[d] < n ||
				!d.refused && (times[d] == 0 || times[d] > 1 && d.verb != "administer") {
				missing += fmt.Sprintf("%+v: %d times in %d entries; ", d, count[d], times[d])
			}
		}
		return missing == ""
	})
	if starts := s.list("--verb", "start"); len(starts) < 4 ||
		!strings.HasPrefix(starts[1].Reason, "settings differ: ") {
		t.Errorf("starts: %+v", starts)
	}
	if reads := s.list("--verb", "audit", "--who", "root"); len(reads) == 0 {
		t.Error("reading the record is not recorded")
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
		t.Errorf("the report: %d bytes, %v", len(page), err)
	}

	// A key that was revoked is good nowhere, and that is recorded too.
	if out, err := s.run("key", "revoke", "pia", "pia-1"); err != nil || !strings.Contains(out, "no key of pia") {
		t.Fatalf("%s %v", out, err)
	}
	s.eventually(
		"shut out",
		func() bool { return s.request("pia", get, "/v1/jobs/wk-label0", nil) == http.StatusUnauthorized },
	)
	s.eventually("recorded that a key was revoked", func() bool {
		acts := s.list("--verb", "administer", "--object", "pia")
		return len(acts) == 1 && acts[0].Reason == "revoke keys pia-1"
	})

	// Saved, and restored to another state service: the chain goes on, and says so.
	saved := s.file("saved")
	if _, err := s.run("snapshot", "save", saved, "--share", "1"); err != nil {
		t.Fatal(err)
	}
	s.eventually(
		"recorded that the state was saved",
		func() bool { return len(s.list("--object", "snapshot", "--who", "root")) > 0 },
	)
	if out, err := runCommand("audit", "verify", "--snapshot", saved, "--audit-key", s.file("audit.key"), "--ends", s.file("ends")); err != nil ||
		!strings.Contains(out, "whole") {
		t.Errorf("%s %v", out, err)
	}
	s.stop()
	other := httptest.NewServer(fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12}))
	t.Cleanup(other.Close)
	to := strings.TrimPrefix(other.URL, "http://")
	if _, err := snapshot.Restore(t.Context(), &snapshot.Target{
		Source:   snapshot.Source{Addr: to, RPS: 1000},
		WriteRPS: 1000,
		TxnOps:   12,
	}, saved, nil); err != nil {
		t.Fatal(err)
	}
	s.start(to)
	s.eventually("recorded that it was restored", func() bool { return len(s.list("--verb", "restore")) == 1 })
	if _, err := s.run("snapshot", "save", s.file("again"), "--share", "1"); err != nil {
		t.Fatal(err)
	}
	was, err := readSnapshotChains(saved)
	if err != nil {
		t.Fatal(err)
	}
	is, err := readSnapshotChains(s.file("again"))
	if err != nil || len(is["n0"]) <= len(was["n0"]) {
		t.Fatalf("%d blocks, %d when it was saved: %v", len(is["n0"]), len(was["n0"]), err)
	}
	for i, b := range was["n0"] { // byte for byte
		if !bytes.Equal(b.Value, is["n0"][i].Value) || b.Number != is["n0"][i].Number {
			t.Errorf("block %d was rewritten", b.Number)
		}
	}
	if _, err := s.run("audit", "verify", "--audit-key", s.file("audit.key"), "--ends", s.file("ends")); err != nil {
		t.Error(err)
	}
	s.stop()
}

// savedAuditLog is a snapshot with a chain of two blocks; tamper changes its keys.
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
				audit.Encode(
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
		raw, _, code, err := key.EncodeNextBlock(h, "n0", 0, list, 8192)
		if err != nil {
			t.Fatal(err)
		}
		h = &audit.Head{BlockNumber: uint64(b + 1), MAC: code}
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

// The first entry that is not as it was written is named; blocks cut off the end are noticed by the file of ends.
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
	whole := func(keys []*pb.Key) []*pb.Key { return keys }
	verify := func(path string, more ...string) (string, error) {
		return runCommand(append([]string{"audit", "verify", "--snapshot", path, "--audit-key", file}, more...)...)
	}
	if out, err := verify(savedAuditLog(t, key, whole), "--ends", ends); err != nil ||
		out != "chain of n0: 3 blocks, 9 entries, whole\n" {
		t.Fatalf("%q %v", out, err)
	}
	forger := audit.Key(slices.Repeat([]byte("x"), 32))
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
		"cut off": {
			savedAuditLog(t, key, func(k []*pb.Key) []*pb.Key { return k[:2] }),
			"chain of n0: block 3 and those behind it, up to 3, were removed",
		},
		"all removed": {
			savedAuditLog(t, key, func(k []*pb.Key) []*pb.Key { return nil }),
			"chain of n0: block 1 and those behind it",
		},
		"made with another": {savedAuditLog(t, forger, whole), "chain of n0: block 1 is signed with another key"},
	} {
		_, err := verify(x.path, "--ends", ends)
		if fault := (*audit.Fault)(nil); !errors.As(err, &fault) || !strings.HasPrefix(err.Error(), x.want) {
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

// Days are those of the calendar in a zone, 23 or 25 hours long where clocks change.
func TestListByCalendarDays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "audit.key")
	if _, err := runCommand("audit", "key", file); err != nil {
		t.Fatal(err)
	}
	key, err := loadAuditKey(file)
	if err != nil {
		t.Fatal(err)
	}
	// Every two hours from 2026-09-21 16:13:20 UTC on.
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
			t.Errorf("%s: %d acts, want %d: %v\n%s", x.args, n, x.want, err, out)
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
		if _, err := runCommand(append(strings.Fields("audit list --snapshot "+path), strings.Fields(x.args)...)...); err == nil ||
			!strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v", x.args, err)
		}
	}
}
