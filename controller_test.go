package dewlift

import (
	"context"
	"dewlift/access"
	"dewlift/archive"
	"dewlift/booking"
	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/internal/httpjson"
	"dewlift/priorityclass"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	pb "dewlift/proto"
)

// listenLoopback holds a free address on loopback.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startController runs a controller against a state service until the test ends, and waits until it is healthy.
func startController(t *testing.T, state string, rights *access.Policy, more ...func(*Options)) string {
	t.Helper()
	users, peers := listenLoopback(t), listenLoopback(t)
	p := &settings.Platform{Name: "n0", Zone: "a", Listen: users.Addr().String(), MeshAddr: peers.Addr().String()}
	p.Services.State, p.Services.Cloud = state, "127.0.0.1:1" // no cloud
	k := &p.Cluster
	k.Teams = []settings.Team{{Name: "t"}}
	k.Workers.HeartbeatIntervalS = 3
	k.Workers.AgentLeaseS = 30
	k.Workers.CancelDeadlineS = 60
	k.State.RPS, k.State.WriteRPS, k.State.ValueKB, k.State.TxnOps, k.Cloud.RPS, k.Quota.FDLimit = 500, 200, 8, 12, 4, 1000
	tuning := settings.DefaultTuning()
	tuning.Archive, tuning.HistoryWaitMs, tuning.EndedKept = new(true), new(uint32(0)), new(uint32(20))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	g := Options{Permissions: rights}
	for _, f := range more {
		f(&g)
	}
	c := New(p, tuning, g, slog.New(slog.NewTextHandler(io.Discard, nil)))
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

func getJob(server, id string) (int, wire.JobState) {
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
	state := func() (*fakes.Store, string) {
		s := fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50})
		srv := httptest.NewServer(s)
		t.Cleanup(srv.Close)
		return s, strings.TrimPrefix(srv.URL, "http://")
	}
	s, addr := state()
	const jobs = 400
	s.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	for i := range jobs {
		s.PutUnchecked(
			[]wire.KeyValue{
				{
					Key:   fmt.Sprintf("%sjob/wk-%03d", core.Root, i),
					Value: json.RawMessage(fmt.Sprintf(`{"h":1,"st":"d","d":[0,%d]}`, i)),
				},
			},
		)
	}
	first := startController(t, addr, nil)
	path := filepath.Join(t.TempDir(), "s")
	half := false
	eventually(t, "compacted", func() bool {
		left, _ := s.CountKeys(core.Root + "job/")
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
		if strings.HasPrefix(k.Name, archive.BlockPrefix) {
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
	if _, err := snapshot.Restore(t.Context(), &snapshot.Target{
		Source:   snapshot.Source{Addr: copied, RPS: 1000},
		WriteRPS: 1000,
		TxnOps:   12,
	}, path, nil); err != nil {
		t.Fatal(err)
	}
	for _, server := range []string{first, startController(t, copied, nil)} {
		for i := 0; i < jobs; i += 7 {
			id := fmt.Sprintf("wk-%03d", i)
			eventually(t, "answered", func() bool {
				status, got := getJob(server, id)
				if status == 200 && (got.Stage != wire.StageDone || got.Done != i+1) || status == 404 {
					t.Fatalf("%s: %d %+v", id, status, got)
				}
				return status == 200
			})
		}
		if status, _ := getJob(server, "wk-never"); status != 404 && status != 503 {
			t.Errorf("a job that never was: %d", status)
		}
	}
}

// A glaze technician, a visiting potter, a packer who may not cancel a reroast, and a service, over sockets: each
// may do what their role says, and nothing else; a revocation holds at once, also at another controller.
func TestRolesLimitWhatUsersMayDo(t *testing.T) {
	srv := httptest.NewServer(fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12}))
	t.Cleanup(srv.Close)
	state := strings.TrimPrefix(srv.URL, "http://")
	s := srv.Config.Handler.(*fakes.Store)
	s.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	rights, keys, err := fakes.TestPolicy()
	if err != nil {
		t.Fatal(err)
	}
	server := startController(t, state, rights)
	ask := func(who, method, path string, body any) int {
		t.Helper()
		for range 100 { // a 503 is no answer
			c := httpjson.New(1, 1, 1<<20)
			if keys[who] != nil {
				var err error
				if c.Token, err = keys[who].SignToken(time.Now(), time.Minute); err != nil {
					t.Fatal(err)
				}
			}
			if r := c.Do(t.Context(), 5*time.Second, method, "http://"+server+path, body); r.Status != 503 &&
				r.Status != 0 {
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
		{"anna", post, "/v1/jobs", fakes.JobRequest("wk-1", "firing"), 201},
		{"anna", post, "/v1/jobs", fakes.JobRequest("wk-1", "firing"), 200},
		{"potter", post, "/v1/jobs", fakes.JobRequest("wk-2", "plan"), 201},
		{"potter", post, "/v1/jobs", fakes.JobRequest("wk-3", "firing"), 403},
		{"potter", post, "/v1/jobs/wk-2/withdraw", struct{}{}, 403}, // may read it, not cancel it
		{"potter", get, "/v1/jobs/wk-1", nil, 404},                  // is not told that it exists
		{"portal", post, "/v1/jobs", fakes.JobRequest("wk-4", "reroast"), 201},
		{"pia", post, "/v1/jobs", fakes.JobRequest("wk-5", "labels"), 201},
		{"pia", get, "/v1/jobs/wk-4", nil, 200},
		{"pia", post, "/v1/jobs/wk-4/withdraw", struct{}{}, 403},
		{"pia", post, "/v1/jobs/wk-5/withdraw", struct{}{}, 200},
		{"portal", post, "/v1/jobs/wk-4/withdraw", struct{}{}, 200},
		{"portal", get, "/v1/jobs/wk-4", nil, 200}, // is over, and its readers' rights hold still
		{"anna", get, "/v1/jobs/wk-4", nil, 404},
		{"nobody", get, "/v1/jobs/wk-1", nil, 401},
		{"nobody", post, "/v1/jobs", fakes.JobRequest("wk-6", "plan"), 401},
		{"pia", get, "/v1/access", nil, 403},
		{"pia", get, "/v1/site", nil, 403},
		{"root", get, "/v1/access", nil, 200},
		{"root", get, "/v1/site", nil, 200},
		{"root", post, "/v1/access/potter", wire.PermissionsEdit{RevokeRoles: []string{"visitor"}}, 200},
		{"potter", post, "/v1/jobs", fakes.JobRequest("wk-7", "plan"), 403},
		{"potter", get, "/v1/jobs/wk-2", nil, 404},
		{"root", post, "/v1/access/pia", wire.PermissionsEdit{Delete: true}, 200},
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
	raw, _ := s.CountKeys(core.Root + "job/wk-2")
	if raw != 1 {
		t.Error("a queued job ended with its user's right")
	}
}

// requestJSON makes a request and decodes its answer.
func requestJSON[T any](t *testing.T, method, url, body string) (status int, raw string, v T) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = json.Unmarshal(b, &v) // what does not fit shows in the fields
	return resp.StatusCode, string(b), v
}

// With no file, the paths of bookings and of the queue are as unknown as any other; with one, a
// booking is made, held, moved and ended, and outlives its controller.
func TestReservationsAndQueueOverHTTP(t *testing.T) {
	s := fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50})
	s.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	state := strings.TrimPrefix(srv.URL, "http://")
	t.Run("off", func(t *testing.T) {
		off := fakes.NewStore(fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50})
		off.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
		none := httptest.NewServer(off)
		t.Cleanup(none.Close)
		server := startController(t, strings.TrimPrefix(none.URL, "http://"), nil)
		status, want, _ := requestJSON[any](t, "GET", server+"/v1/nothing", "")
		for _, path := range []string{
			wire.PathReservations,
			wire.PathReservations + "/x",
			wire.PathEquipment,
			wire.PathQueue,
			wire.PathQueue + "/x",
			wire.PathPriorityClasses,
		} {
			if got, body, _ := requestJSON[any](t, "GET", server+path, ""); got != status || body != want {
				t.Errorf("%s: %d %s, an unknown path gets %d %s", path, got, body, status, want)
			}
		}
	})
	on := func(g *Options) {
		var err error
		if g.Equipment, err = booking.Parse([]byte(`pieces { name: "k" kind: "kiln" slot_minutes: 60 cool_minutes: 60 }`)); err != nil {
			t.Fatal(err)
		}
		if g.PriorityClasses, err = priorityclass.Parse([]byte(`lanes { name: "urgent" priorities: "high" } lanes { name: "rest" }`)); err != nil {
			t.Fatal(err)
		}
	}
	day := time.Now().UTC().AddDate(0, 0, 3).Format("2006-01-02")
	type answer = wire.ReservationResponse
	make := func(server, id, hour, more string) (int, string, answer) {
		return requestJSON[answer](
			t,
			"POST",
			server+wire.PathReservations,
			fmt.Sprintf(`{"id":%q,"slots":[{"piece":"k","from":"%sT%s:00"}]%s}`, id, day, hour, more),
		)
	}
	t.Run("first life", func(t *testing.T) {
		server := startController(t, state, nil, on)
		eventually(t, "open", func() bool {
			status, _, _ := requestJSON[any](t, "GET", server+wire.PathEquipment, "")
			return status == 200
		})
		for i, x := range []struct {
			status int
			state  string
			do     func() (int, string, answer)
		}{
			{201, "confirmed", func() (int, string, answer) { return make(server, "a", "08", "") }},
			{200, "confirmed", func() (int, string, answer) { return make(server, "a", "08", "") }},
			{409, "confirmed", func() (int, string, answer) { return make(server, "a", "12", "") }},
			{409, "", func() (int, string, answer) { return make(server, "b", "09", "") }}, // it cools
			{201, "held", func() (int, string, answer) { return make(server, "b", "10", `,"hold_s":600`) }},
			{200, "confirmed", func() (int, string, answer) {
				return requestJSON[answer](t, "POST", server+wire.PathReservations+"/b/confirm", "")
			}},
			{200, "confirmed", func() (int, string, answer) {
				return requestJSON[answer](t, "POST", server+wire.PathReservations+"/b/move", fmt.Sprintf(`{"slots":[{"piece":"k","from":"%sT14:00"}]}`, day))
			}},
			{200, "ended", func() (int, string, answer) {
				return requestJSON[answer](t, "POST", server+wire.PathReservations+"/b/end", `{"why":"cracked"}`)
			}},
			{422, "", func() (int, string, answer) {
				return make(server, "c", "08", `,"slots":[{"piece":"z","from":"`+day+`T08:00"}]`)
			}},
			{400, "", func() (int, string, answer) { return make(server, "a b", "08", "") }},
			{404, "", func() (int, string, answer) {
				return requestJSON[answer](t, "GET", server+wire.PathReservations+"/nobody", "")
			}},
		} {
			status, body, a := x.do()
			if status != x.status || (a.Reservation == nil) != (x.state == "") ||
				a.Reservation != nil && a.Reservation.State != x.state {
				t.Errorf("step %d: %d %s, want %d %s", i, status, body, x.status, x.state)
			}
			if status == 409 && x.state == "" && len(a.Free) == 0 {
				t.Errorf("step %d: nothing is named that is free instead", i)
			}
		}
		status, body, a := requestJSON[answer](
			t,
			"POST",
			server+wire.PathEquipment,
			`{"equipment":"pieces { name: \"k\" kind: \"kiln\" slot_minutes: 60 out: 1 }"}`,
		)
		if status != 409 || len(a.Displaced) != 1 || a.Displaced[0].ID != "a" {
			t.Errorf("a list that has no place for a booking: %d %s", status, body)
		}
		for id, heat := range map[string]string{"wk-000001": "standard", "wk-000002": "high"} {
			job := fakes.JobRequest(id, "x")
			job["heat"] = heat
			raw, err := json.Marshal(job)
			if err != nil {
				t.Fatal(err)
			}
			if status, body, _ := requestJSON[any](t, "POST", server+wire.PathJobs, string(raw)); status != 201 {
				t.Fatalf("%d %s", status, body)
			}
		}
		_, body, q := requestJSON[wire.JobQueue](t, "GET", server+wire.PathQueue, "")
		if len(q.Jobs) != 2 || q.Jobs[0].ID != "wk-000002" || q.Jobs[0].PriorityClass != "urgent" ||
			q.Jobs[1].WaitingFor != "room" {
			t.Errorf("queue: %s", body)
		}
		if _, body, q := requestJSON[wire.JobQueue](t, "GET", server+wire.PathQueue+"?most=1", ""); len(
			q.Jobs,
		) != 1 ||
			q.NextOffset != 1 ||
			q.Total != 2 {
			t.Errorf("a page: %s", body)
		}
	})
	// Another process, with no file: what is in force lives in the state service.
	server := startController(t, state, nil)
	eventually(t, "open", func() bool {
		status, _, a := requestJSON[answer](t, "GET", server+wire.PathReservations+"/a", "")
		return status == 200 && a.Reservation.State == "confirmed"
	})
	if _, body, a := requestJSON[answer](t, "GET", server+wire.PathReservations+"/b", ""); a.Reservation == nil ||
		a.Reservation.EndReason != "cracked" {
		t.Errorf("one that had ended: %s", body)
	}
	if _, body, a := requestJSON[answer](t, "GET", server+wire.PathReservations+"?piece=k&day="+day, ""); len(
		a.Reservations,
	) != 1 {
		t.Errorf("the day: %s", body)
	}
	if _, body, q := requestJSON[wire.JobQueue](t, "GET", server+wire.PathQueue+"/wk-000001", ""); len(q.Jobs) != 1 ||
		q.Jobs[0].Position != 2 ||
		q.Jobs[0].PriorityClass != "rest" {
		t.Errorf("its place: %s", body)
	}
}

// A process that stands still while it takes inputs must see the time that has passed at the next:
// a report that came after the stop was answered as of before it.
func TestEachQueuedInputIsHandledWithItsOwnTime(t *testing.T) {
	inputs := make(chan core.Input, 4)
	now := time.Second
	inputs <- core.WallClock{UnixMS: 1}
	inputs <- core.WallClock{UnixMS: 2}
	var got []time.Duration
	last := handleQueuedInputs(
		inputs,
		maxInputsPerIteration,
		func() time.Duration { return now },
		func(at time.Duration, in core.Input) {
			got = append(got, at)
			now += time.Minute // it stands still, and a report comes
			if in == (core.WallClock{UnixMS: 1}) {
				inputs <- core.AgentHeartbeat{}
			}
		},
	)
	if want := []time.Duration{time.Second, 61 * time.Second, 121 * time.Second}; !slices.Equal(got, want) ||
		last != want[2] {
		t.Errorf("taken at %v, last at %v", got, last)
	}
}
