package dewlift

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dewlift/access"
	"dewlift/archive"
	"dewlift/core"
	"dewlift/internal/call"
	"dewlift/internal/standin"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
)

// listen holds a free address on loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// serve runs a controller against a state service until the test ends, and waits until it is healthy.
func serve(t *testing.T, state string, rights *access.Policy) string {
	t.Helper()
	users, peers := listen(t), listen(t)
	p := &settings.Platform{Name: "n0", Zone: "a", Listen: users.Addr().String(), MeshAddr: peers.Addr().String()}
	p.Services.State, p.Services.Cloud = state, "127.0.0.1:1" // no cloud
	k := &p.Cluster
	k.Teams = []settings.Team{{Name: "t"}}
	k.Workers.ReportS, k.Workers.LeaseS, k.Workers.CancelS = 3, 30, 60
	k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps, k.Cloud.RPS, k.Quota.FDLimit = 500, 200, 8, 12, 4, 1000
	tuning := settings.Defaults()
	tuning.Archive, tuning.HistoryWaitMs, tuning.EndedKept = new(true), new(uint32(0)), new(uint32(20))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	c := New(p, tuning, Guards{Rights: rights}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go func() { ended <- c.Serve(ctx, users, peers) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	eventually(t, "healthy", func() bool {
		resp, err := http.Get("http://" + p.Listen + wire.PathHealth)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p.Listen
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 1200 {
		if f() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("not %s within a minute", what)
}

func poll(server, id string) (int, wire.JobState) {
	var s wire.JobState
	resp, err := http.Get("http://" + server + wire.PathJobs + "/" + id)
	if err != nil {
		return 0, s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s) // an answer without a state shows in the status
	return resp.StatusCode, s
}

// A controller over real sockets: a site of the old form compacts itself while it is saved, the copy is
// restored to another state service, and a controller there answers for every job as the first one does.
func TestSiteIsCompactedSavedAndRestored(t *testing.T) {
	state := func() (*standin.State, string) {
		s := standin.NewState(standin.Limits{ValueBytes: 8192, Ops: 12, PageItems: 50})
		srv := httptest.NewServer(s)
		t.Cleanup(srv.Close)
		return s, strings.TrimPrefix(srv.URL, "http://")
	}
	s, addr := state()
	const jobs = 400
	s.Types(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	for i := range jobs {
		s.Fill([]wire.Item{{Key: fmt.Sprintf("%sjob/wk-%03d", core.Root, i), Value: json.RawMessage(fmt.Sprintf(`{"h":1,"st":"d","d":[0,%d]}`, i))}})
	}
	first := serve(t, addr, nil)
	path := filepath.Join(t.TempDir(), "s")
	half := false
	eventually(t, "compacted", func() bool {
		left, _ := s.Keys(core.Root + "job/")
		if left < jobs*2/3 && !half { // in the middle of it
			half = true
			if _, err := snapshot.Save(t.Context(), &snapshot.Source{Addr: addr, RPS: 1000}, path, nil); err != nil {
				t.Fatal(err)
			}
		}
		return left <= 40
	})
	archived, records := 0, 0
	if _, err := snapshot.ReadFile(path, func(k *pb.Key) error {
		if strings.HasPrefix(k.Name, archive.Prefix) {
			b, err := archive.Decode(k.Value)
			if err != nil {
				return err
			}
			archived += len(b.Entries)
		} else if strings.HasPrefix(k.Name, core.Root+"job/") {
			records++
		}
		return nil
	}); err != nil || archived == 0 || archived+records != jobs {
		t.Fatalf("%d archived and %d records in the snapshot: %v", archived, records, err)
	}
	_, copied := state()
	if _, err := snapshot.Restore(t.Context(), &snapshot.Target{Source: snapshot.Source{Addr: copied, RPS: 1000}, WriteRPS: 1000, TxnOps: 12}, path, nil); err != nil {
		t.Fatal(err)
	}
	for _, server := range []string{first, serve(t, copied, nil)} {
		for i := 0; i < jobs; i += 7 {
			id := fmt.Sprintf("wk-%03d", i)
			eventually(t, "answered", func() bool {
				status, got := poll(server, id)
				if status == 200 && (got.Stage != wire.StageDone || got.Done != i+1) || status == 404 {
					t.Fatalf("%s: %d %+v", id, status, got)
				}
				return status == 200
			})
		}
		if status, _ := poll(server, "wk-never"); status != 404 && status != 503 {
			t.Errorf("a job that never was: %d", status)
		}
	}
}

// A glaze technician, a visiting potter, a packer who may not cancel a reroast, and a service, over sockets: each
// may do what their role says, and nothing else; a revocation holds at once, also at another controller.
func TestPeopleMayDoWhatTheirRolesSay(t *testing.T) {
	srv := httptest.NewServer(standin.NewState(standin.Limits{ValueBytes: 8192, Ops: 12}))
	t.Cleanup(srv.Close)
	state := strings.TrimPrefix(srv.URL, "http://")
	s := srv.Config.Handler.(*standin.State)
	s.Types(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	rights, keys, err := standin.People()
	if err != nil {
		t.Fatal(err)
	}
	server := serve(t, state, rights)
	ask := func(who, method, path string, body any) int {
		t.Helper()
		for range 100 { // a 503 is no answer
			c := call.New(1, 1, 1<<20)
			if keys[who] != nil {
				var err error
				if c.Token, err = keys[who].Token(time.Now(), time.Minute); err != nil {
					t.Fatal(err)
				}
			}
			if r := c.Do(t.Context(), 5*time.Second, method, "http://"+server+path, body); r.Status != 503 && r.Status != 0 {
				return r.Status
			}
			time.Sleep(50 * time.Millisecond)
		}
		return 0
	}
	get, post := http.MethodGet, http.MethodPost
	for _, x := range []struct {
		who, method, path string
		body              any
		want              int
	}{
		{"anna", post, "/v1/jobs", standin.Job("wk-1", "firing"), 201},
		{"anna", post, "/v1/jobs", standin.Job("wk-1", "firing"), 200},
		{"potter", post, "/v1/jobs", standin.Job("wk-2", "plan"), 201},
		{"potter", post, "/v1/jobs", standin.Job("wk-3", "firing"), 403},
		{"potter", post, "/v1/jobs/wk-2/withdraw", struct{}{}, 403}, // may read it, not cancel it
		{"potter", get, "/v1/jobs/wk-1", nil, 404},                  // is not told that it exists
		{"portal", post, "/v1/jobs", standin.Job("wk-4", "reroast"), 201},
		{"pia", post, "/v1/jobs", standin.Job("wk-5", "labels"), 201},
		{"pia", get, "/v1/jobs/wk-4", nil, 200},
		{"pia", post, "/v1/jobs/wk-4/withdraw", struct{}{}, 403},
		{"pia", post, "/v1/jobs/wk-5/withdraw", struct{}{}, 200},
		{"portal", post, "/v1/jobs/wk-4/withdraw", struct{}{}, 200},
		{"portal", get, "/v1/jobs/wk-4", nil, 200}, // is over, and its readers' rights hold still
		{"anna", get, "/v1/jobs/wk-4", nil, 404},
		{"nobody", get, "/v1/jobs/wk-1", nil, 401},
		{"nobody", post, "/v1/jobs", standin.Job("wk-6", "plan"), 401},
		{"pia", get, "/v1/access", nil, 403},
		{"pia", get, "/v1/site", nil, 403},
		{"root", get, "/v1/access", nil, 200},
		{"root", get, "/v1/site", nil, 200},
		{"root", post, "/v1/access/potter", wire.RightsEdit{RevokeRoles: []string{"visitor"}}, 200},
		{"potter", post, "/v1/jobs", standin.Job("wk-7", "plan"), 403},
		{"potter", get, "/v1/jobs/wk-2", nil, 404},
		{"root", post, "/v1/access/pia", wire.RightsEdit{Delete: true}, 200},
	} {
		if got := ask(x.who, x.method, x.path, x.body); got != x.want {
			t.Errorf("%s %s %s: %d, want %d", x.who, x.method, x.path, got, x.want)
		}
	}
	eventually(t, "shut out", func() bool { return ask("pia", get, "/v1/jobs/wk-5", nil) == 401 })
	if got := ask("anna", get, "/v1/jobs/wk-1", nil); got != 200 {
		t.Errorf("another one gets %d", got)
	}
	// The potter's job was accepted: it stays.
	raw, _ := s.Keys(core.Root + "job/wk-2")
	if raw != 1 {
		t.Error("a queued job ended with its user's right")
	}
}
