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
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/access"
	"dewlift/archive"
	"dewlift/booking"
	"dewlift/core"
	"dewlift/internal/fakes"
	"dewlift/internal/httpjson"
	"dewlift/priorityclass"
	pb "dewlift/proto"
	"dewlift/settings"
	"dewlift/snapshot"
	"dewlift/wire"
)

// listenLoopback listens on a free port of the loopback address.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startController runs a controller with a key-value store until the test ends, and waits until it is
// healthy. It returns the address of the user API.
func startController(t *testing.T, store string, permissions *access.Policy, setOptions ...func(*Options)) string {
	t.Helper()
	users, peers := listenLoopback(t), listenLoopback(t)
	platform := testPlatform(users.Addr().String(), peers.Addr().String(), store)
	tuning := settings.DefaultTuning()
	tuning.Archive, tuning.HistoryWaitMs, tuning.EndedKept = new(true), new(uint32(0)), new(uint32(20))
	options := Options{Permissions: permissions}
	for _, set := range setOptions {
		set(&options)
	}
	controller := New(platform, tuning, options, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- controller.Serve(ctx, users, peers) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	eventually(t, "healthy", func() bool {
		resp, err := http.Get("http://" + platform.Listen + wire.PathHealth)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	})
	return platform.Listen
}

// testPlatform returns the platform settings of a single controller without a cloud.
func testPlatform(listen, meshAddr, store string) *settings.Platform {
	platform := &settings.Platform{Name: "n0", Zone: "a", Listen: listen, MeshAddr: meshAddr}
	platform.Services.State, platform.Services.Cloud = store, "127.0.0.1:1" // nothing listens there
	cluster := &platform.Cluster
	cluster.Teams = []settings.Team{{Name: "t"}}
	cluster.Workers.HeartbeatIntervalS = 3
	cluster.Workers.AgentLeaseS = 30
	cluster.Workers.CancelDeadlineS = 60
	cluster.State.RPS = 500
	cluster.State.WriteRPS = 200
	cluster.State.ValueKB = 8
	cluster.State.TxnOps = 12
	cluster.Cloud.RPS = 4
	cluster.Quota.FDLimit = 1000
	return platform
}

// eventually waits until a condition holds, for at most a minute.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1200 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("not %s within a minute", what)
}

// getJob reads the state of a job. The status is 0 if there was no response.
func getJob(server, id string) (int, wire.JobState) {
	var state wire.JobState
	resp, err := http.Get("http://" + server + wire.PathJobs + "/" + id)
	if err != nil {
		return 0, state
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&state) // the status shows whether there is a state
	return resp.StatusCode, state
}

// startStore serves an empty key-value store with one machine type until the test ends.
func startStore(t *testing.T, limits fakes.Limits) (store *fakes.Store, addr string) {
	t.Helper()
	store = fakes.NewStore(limits)
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	store.SetMachineType(wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	return store, strings.TrimPrefix(srv.URL, "http://")
}

// A snapshot taken while job records are moved to the archive could miss jobs that are moved between two page
// reads. The test saves one in the middle of the move and restores it to another store, where a controller must
// know every job.
func TestSnapshotDuringCompactionKeepsAllJobs(t *testing.T) {
	const jobs = 400
	limits := fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50}
	store, addr := startStore(t, limits)
	for i := range jobs { // in the format that precedes the archive
		store.PutUnchecked([]wire.KeyValue{{
			Key:   fmt.Sprintf("%sjob/wk-%03d", core.Root, i),
			Value: json.RawMessage(fmt.Sprintf(`{"h":1,"st":"d","d":[0,%d]}`, i)),
		}})
	}
	first := startController(t, addr, nil)
	path := filepath.Join(t.TempDir(), "s")
	saved := false
	eventually(t, "compacted", func() bool {
		left, _ := store.CountKeys(core.Root + "job/")
		if left < jobs*2/3 && !saved { // in the middle of the move
			saved = true
			if _, err := snapshot.Save(t.Context(), &snapshot.Source{Addr: addr, RPS: 1000}, path, nil); err != nil {
				t.Fatal(err)
			}
		}
		return left <= 40
	})
	if archived, records, err := countSavedJobs(path); err != nil || archived == 0 || archived+records != jobs {
		t.Fatalf("%d archived jobs and %d records in the snapshot: %v", archived, records, err)
	}
	copied := httptest.NewServer(fakes.NewStore(limits))
	t.Cleanup(copied.Close)
	copiedAddr := strings.TrimPrefix(copied.URL, "http://")
	if _, err := snapshot.Restore(t.Context(), &snapshot.Target{
		Source:   snapshot.Source{Addr: copiedAddr, RPS: 1000},
		WriteRPS: 1000,
		TxnOps:   12,
	}, path, nil); err != nil {
		t.Fatal(err)
	}
	for _, server := range []string{first, startController(t, copiedAddr, nil)} {
		checkEndedJobs(t, server, jobs)
	}
}

// countSavedJobs returns the numbers of archived jobs and of job records in a snapshot.
func countSavedJobs(path string) (archived, records int, err error) {
	_, err = snapshot.ReadFile(path, func(k *pb.Key) error {
		if strings.HasPrefix(k.Name, archive.BlockPrefix) {
			block, err := archive.Decode(k.Value)
			if err != nil {
				return err
			}
			archived += len(block.Entries)
		} else if strings.HasPrefix(k.Name, core.Root+"job/") {
			records++
		}
		return nil
	})
	return archived, records, err
}

// checkEndedJobs checks the state of every seventh job from wk-000, where wk-n is done with n+1 tasks, and
// that of a job that never existed.
func checkEndedJobs(t *testing.T, server string, jobs int) {
	t.Helper()
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
		t.Errorf("job that never existed: status %d", status)
	}
}

// Each identity must be allowed exactly what its roles grant. Among the identities are a user who may submit but
// not cancel jobs, one who may cancel only some classes of jobs, and a service. A revocation must take effect at
// once.
func TestRolesLimitWhatUsersMayDo(t *testing.T) {
	store, addr := startStore(t, fakes.Limits{ValueBytes: 8192, TxnOps: 12})
	permissions, keys, err := fakes.TestPolicy()
	if err != nil {
		t.Fatal(err)
	}
	server := startController(t, addr, permissions)
	status := func(identity, method, path string, body any) int {
		t.Helper()
		return statusAs(t, keys[identity], method, "http://"+server+path, body)
	}
	get, post := http.MethodGet, http.MethodPost
	for _, step := range []struct {
		identity, method, path string
		body                   any
		want                   int
	}{
		{"anna", post, "/v1/jobs", fakes.JobRequest("wk-1", "firing"), 201},
		{"anna", post, "/v1/jobs", fakes.JobRequest("wk-1", "firing"), 200},
		{"potter", post, "/v1/jobs", fakes.JobRequest("wk-2", "plan"), 201},
		{"potter", post, "/v1/jobs", fakes.JobRequest("wk-3", "firing"), 403},
		{"potter", post, "/v1/jobs/wk-2/withdraw", struct{}{}, 403}, // may read but not cancel it
		{"potter", get, "/v1/jobs/wk-1", nil, 404},                  // must not reveal that it exists
		{"portal", post, "/v1/jobs", fakes.JobRequest("wk-4", "reroast"), 201},
		{"pia", post, "/v1/jobs", fakes.JobRequest("wk-5", "labels"), 201},
		{"pia", get, "/v1/jobs/wk-4", nil, 200},
		{"pia", post, "/v1/jobs/wk-4/withdraw", struct{}{}, 403},
		{"pia", post, "/v1/jobs/wk-5/withdraw", struct{}{}, 200},
		{"portal", post, "/v1/jobs/wk-4/withdraw", struct{}{}, 200},
		{"portal", get, "/v1/jobs/wk-4", nil, 200}, // still readable after its end
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
		if got := status(step.identity, step.method, step.path, step.body); got != step.want {
			t.Errorf("%s %s %s: %d, want %d", step.identity, step.method, step.path, got, step.want)
		}
	}
	eventually(t, "rejected", func() bool { return status("pia", get, "/v1/jobs/wk-5", nil) == 401 })
	if got := status("anna", get, "/v1/jobs/wk-1", nil); got != 200 {
		t.Errorf("another identity: status %d", got)
	}
	// The job was accepted before the revocation, so it must stay.
	if stored, _ := store.CountKeys(core.Root + "job/wk-2"); stored != 1 {
		t.Error("a queued job was removed when its user's permission was revoked")
	}
}

// statusAs makes a request with a token signed by key, or without a token if key is nil, and returns the
// status of the response. It retries while the controller is unavailable and returns 0 if it stays so.
func statusAs(t *testing.T, key *access.PrivateKey, method, url string, body any) int {
	t.Helper()
	for range 100 {
		client := httpjson.New(1, 1, 1<<20)
		if key != nil {
			var err error
			if client.Token, err = key.SignToken(time.Now(), time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		resp := client.Do(t.Context(), 5*time.Second, method, url, body)
		if resp.Status != 503 && resp.Status != 0 {
			return resp.Status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// requestJSON makes a request and decodes its response.
func requestJSON[T any](t *testing.T, method, url, body string) (status int, raw string, decoded T) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = json.Unmarshal(b, &decoded) // callers check the fields, which stay empty if this fails
	return resp.StatusCode, string(b), decoded
}

// reservationClient makes requests about reservations of equipment "k" on one day.
type reservationClient struct {
	server string
	day    string // for example 2027-03-04
}

func (c *reservationClient) do(t *testing.T, method, path, body string) (int, string, wire.ReservationResponse) {
	t.Helper()
	return requestJSON[wire.ReservationResponse](t, method, c.server+wire.PathReservations+path, body)
}

// create reserves the slot at an hour. extraFields is JSON that is appended to the fields of the request.
func (c *reservationClient) create(t *testing.T, id, hour, extraFields string) (int, string, wire.ReservationResponse) {
	t.Helper()
	const request = `{"id":%q,"slots":[{"piece":"k","from":"%sT%s:00"}]%s}`
	return c.do(t, "POST", "", fmt.Sprintf(request, id, c.day, hour, extraFields))
}

// Without an equipment inventory and priority classes, the paths of reservations and of the queue must be
// unknown. With them, reservations can be created, held, moved and ended, and they must survive a restart of the
// controller.
func TestReservationsAndQueueOverHTTP(t *testing.T) {
	limits := fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50}
	_, addr := startStore(t, limits)
	t.Run("off", func(t *testing.T) {
		_, without := startStore(t, limits)
		checkFeaturePathsUnknown(t, startController(t, without, nil))
	})
	client := &reservationClient{day: time.Now().UTC().AddDate(0, 0, 3).Format("2006-01-02")}
	t.Run("before restart", func(t *testing.T) {
		client.server = startController(t, addr, nil, enableReservationsAndQueue(t))
		eventually(t, "open", func() bool {
			status, _, _ := requestJSON[any](t, "GET", client.server+wire.PathEquipment, "")
			return status == 200
		})
		checkReservationSteps(t, client)
		checkDisplacedReservation(t, client.server)
		submitTwoPriorities(t, client.server)
		checkQueue(t, client.server)
	})
	// A new controller without files must load the inventory and the priority classes from the store.
	client.server = startController(t, addr, nil)
	eventually(t, "open", func() bool {
		status, _, got := client.do(t, "GET", "/a", "")
		return status == 200 && got.Reservation.State == "confirmed"
	})
	checkReservationsAfterRestart(t, client)
}

// checkFeaturePathsUnknown checks that paths of disabled features get the same response as an unknown path.
func checkFeaturePathsUnknown(t *testing.T, server string) {
	t.Helper()
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
			t.Errorf("%s: got %d %s, want %d %s as for an unknown path", path, got, body, status, want)
		}
	}
}

// enableReservationsAndQueue returns a function that sets an equipment inventory and priority classes.
func enableReservationsAndQueue(t *testing.T) func(*Options) {
	t.Helper()
	equipment, err := booking.Parse([]byte(`pieces { name: "k" kind: "kiln" slot_minutes: 60 cool_minutes: 60 }`))
	if err != nil {
		t.Fatal(err)
	}
	classes, err := priorityclass.Parse([]byte(`lanes { name: "urgent" priorities: "high" } lanes { name: "rest" }`))
	if err != nil {
		t.Fatal(err)
	}
	return func(options *Options) { options.Equipment, options.PriorityClasses = equipment, classes }
}

// checkReservationSteps creates, retries, confirms, moves and ends reservations, and checks rejected requests.
func checkReservationSteps(t *testing.T, client *reservationClient) {
	t.Helper()
	create := func(id, hour, more string) func() (int, string, wire.ReservationResponse) {
		return func() (int, string, wire.ReservationResponse) { return client.create(t, id, hour, more) }
	}
	do := func(method, path, body string) func() (int, string, wire.ReservationResponse) {
		return func() (int, string, wire.ReservationResponse) { return client.do(t, method, path, body) }
	}
	for i, step := range []struct {
		status int
		state  string
		do     func() (int, string, wire.ReservationResponse)
	}{
		{201, "confirmed", create("a", "08", "")},
		{200, "confirmed", create("a", "08", "")},
		{409, "confirmed", create("a", "12", "")},
		{409, "", create("b", "09", "")}, // the equipment is cooling
		{201, "held", create("b", "10", `,"hold_s":600`)},
		{200, "confirmed", do("POST", "/b/confirm", "")},
		{200, "confirmed", do("POST", "/b/move", `{"slots":[{"piece":"k","from":"`+client.day+`T14:00"}]}`)},
		{200, "ended", do("POST", "/b/end", `{"why":"cracked"}`)},
		{422, "", create("c", "08", `,"slots":[{"piece":"z","from":"`+client.day+`T08:00"}]`)},
		{400, "", create("a b", "08", "")},
		{404, "", do("GET", "/nobody", "")},
	} {
		status, body, got := step.do()
		if status != step.status || (got.Reservation == nil) != (step.state == "") ||
			got.Reservation != nil && got.Reservation.State != step.state {
			t.Errorf("step %d: %d %s, want %d %s", i, status, body, step.status, step.state)
		}
		if status == 409 && step.state == "" && len(got.Free) == 0 {
			t.Errorf("step %d: the conflict response offers no free interval", i)
		}
	}
}

// checkDisplacedReservation checks that an inventory that displaces a reservation is rejected.
func checkDisplacedReservation(t *testing.T, server string) {
	t.Helper()
	status, body, got := requestJSON[wire.ReservationResponse](t, "POST", server+wire.PathEquipment,
		`{"equipment":"pieces { name: \"k\" kind: \"kiln\" slot_minutes: 60 out: 1 }"}`)
	if status != 409 || len(got.Displaced) != 1 || got.Displaced[0].ID != "a" {
		t.Errorf("inventory that displaces a reservation: %d %s", status, body)
	}
}

// submitTwoPriorities submits wk-000001 with standard priority and wk-000002 with high priority.
func submitTwoPriorities(t *testing.T, server string) {
	t.Helper()
	for id, priority := range map[string]string{"wk-000001": "standard", "wk-000002": "high"} {
		job := fakes.JobRequest(id, "x")
		job["heat"] = priority
		raw, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		if status, body, _ := requestJSON[any](t, "POST", server+wire.PathJobs, string(raw)); status != 201 {
			t.Fatalf("%d %s", status, body)
		}
	}
}

// checkQueue checks the order of the queue and its pages.
func checkQueue(t *testing.T, server string) {
	t.Helper()
	_, body, queue := requestJSON[wire.JobQueue](t, "GET", server+wire.PathQueue, "")
	if len(queue.Jobs) != 2 || queue.Jobs[0].ID != "wk-000002" || queue.Jobs[0].PriorityClass != "urgent" ||
		queue.Jobs[1].WaitingFor != "room" {
		t.Errorf("queue: %s", body)
	}
	_, body, page := requestJSON[wire.JobQueue](t, "GET", server+wire.PathQueue+"?most=1", "")
	if len(page.Jobs) != 1 || page.NextOffset != 1 || page.Total != 2 {
		t.Errorf("page of one job: %s", body)
	}
}

// checkReservationsAfterRestart checks the reservations and the queue of a restarted controller.
func checkReservationsAfterRestart(t *testing.T, client *reservationClient) {
	t.Helper()
	if _, body, got := client.do(t, "GET", "/b", ""); got.Reservation == nil || got.Reservation.EndReason != "cracked" {
		t.Errorf("ended reservation: %s", body)
	}
	if _, body, got := client.do(t, "GET", "?piece=k&day="+client.day, ""); len(got.Reservations) != 1 {
		t.Errorf("reservations of the day: %s", body)
	}
	_, body, queue := requestJSON[wire.JobQueue](t, "GET", client.server+wire.PathQueue+"/wk-000001", "")
	if len(queue.Jobs) != 1 || queue.Jobs[0].Position != 2 || queue.Jobs[0].PriorityClass != "rest" {
		t.Errorf("position of the job: %s", body)
	}
}

// If the process is suspended while it handles queued inputs, the next input must get the time after the
// suspension. When one time was used for all of them, a heartbeat that arrived after the suspension was
// answered with the time before it, which renewed agents' leases on outdated state.
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
			now += time.Minute // the process is suspended; then a heartbeat arrives
			if in == (core.WallClock{UnixMS: 1}) {
				inputs <- core.AgentHeartbeat{}
			}
		},
	)
	if want := []time.Duration{time.Second, 61 * time.Second, 121 * time.Second}; !slices.Equal(got, want) ||
		last != want[2] {
		t.Errorf("handled at %v, last at %v", got, last)
	}
}
