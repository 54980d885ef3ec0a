package api

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"

	"dewlift/core"
	"dewlift/wire"
)

// fakeController is a Service whose core accepts every well-formed submission and answers polls with 503.
type fakeController struct {
	server    *Server
	queueFull bool
}

func (f *fakeController) Healthy() bool { return !f.queueFull }
func (f *fakeController) StoreEndpoint() wire.StoreEndpoint {
	return wire.StoreEndpoint{Addr: "127.0.0.1:1"}
}

func (f *fakeController) Enqueue(in core.Input) bool {
	if f.queueFull {
		return false
	}
	switch in := in.(type) {
	case core.SubmitJob:
		response := core.Response{
			RequestID: in.RequestID,
			Status:    wire.StatusCreated,
			Body:      wire.JobState{ID: in.ID, Stage: wire.StageQueued},
		}
		if in.DecodeError != "" {
			response.Status, response.Body = wire.StatusBadRequest, wire.Error{Error: in.DecodeError}
		}
		go f.server.DeliverResponse(response)
	case core.GetJob:
		go f.server.DeliverResponse(core.Response{
			RequestID:         in.RequestID,
			Status:            wire.StatusUnavailable,
			RetryAfterSeconds: 1,
			Body:              wire.Error{},
		})
	}
	return true
}

func newTestApp(controller *fakeController) *fiber.App {
	controller.server = New(controller, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	controller.server.SetLoaded()
	return controller.server.newApp()
}

// testRequest makes a request and returns the status and the header of its response.
func testRequest(t *testing.T, app *fiber.App, req *http.Request) (int, http.Header, error) {
	t.Helper()
	resp, err := app.Test(req)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, resp.Header, resp.Body.Close()
}

const validSubmission = `{"uid":"wk-000412","ware":"train","crew":"vision","form":"batch","heat":"high","pieces":16,
 "cpus":8.0,"cards":1.0,"ram_gb":64.0,"mould":"img-07","image_gb":6.2,"kilns":["g8"],"yard":null,"one_zone":true,
 "spread":false,"borrowed":true,"firing_s":240.0,"glaze_s":30.0,"cool_s":4.0,"due_s":900.0}`

// Malformed requests must be rejected with a 4xx status, not accepted or answered with a server error.
func TestResponseStatuses(t *testing.T) {
	app := newTestApp(&fakeController{})
	for name, tc := range map[string]struct {
		method, path, body string
		want               int
	}{
		"good":           {"POST", "/v1/jobs", validSubmission, 201},
		"not json":       {"POST", "/v1/jobs", "{", 400},
		"an array":       {"POST", "/v1/jobs", "[]", 400},
		"empty":          {"POST", "/v1/jobs", "", 400},
		"wrong type":     {"POST", "/v1/jobs", strings.Replace(validSubmission, "16", `"16"`, 1), 400},
		"no tasks":       {"POST", "/v1/jobs", strings.Replace(validSubmission, "16", "0", 1), 400},
		"too many tasks": {"POST", "/v1/jobs", strings.Replace(validSubmission, "16", "100001", 1), 400},
		"negative":       {"POST", "/v1/jobs", strings.Replace(validSubmission, "8.0", "-8.0", 1), 400},
		"huge":           {"POST", "/v1/jobs", strings.Replace(validSubmission, "8.0", "1e300", 1), 400},
		"overflow":       {"POST", "/v1/jobs", strings.Replace(validSubmission, "8.0", "1e999", 1), 400},
		"bad priority":   {"POST", "/v1/jobs", strings.Replace(validSubmission, "high", "higher", 1), 400},
		"gang":           {"POST", "/v1/jobs", strings.Replace(validSubmission, "batch", "group", 1), 400},
		"id missing":     {"POST", "/v1/jobs", strings.Replace(validSubmission, "uid", "xid", 1), 400},
		"invalid id":     {"POST", "/v1/jobs", strings.Replace(validSubmission, "wk-000412", "../wk", 1), 400},
		"unknown field":  {"POST", "/v1/jobs", strings.Replace(validSubmission, "{", `{"later":1,`, 1), 201},
		"unknown route":  {"GET", "/v2/jobs", "", 404},
		"bad method":     {"DELETE", "/v1/jobs", "", 405},
		"bad heartbeat":  {"POST", "/agent/beat", `{"hearth":"m-1"}`, 400},
		"bad task": {
			"POST",
			"/agent/beat",
			`{"hearth":"m-1","address":"x","kiln":"g","yard":"a","shift":1,"pieces":[{"piece":"q"}]}`,
			400,
		},
		"poll":    {"GET", "/v1/jobs/wk-1", "", 503},
		"healthy": {"GET", "/healthz", "", 200},
	} {
		req := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
		status, header, err := testRequest(t, app, req)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if status != tc.want {
			t.Errorf("%s: status %d, want %d", name, status, tc.want)
		}
		if status == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
			t.Errorf("%s: a 503 response has no Retry-After header", name)
		}
	}
}

// Every field is required except the nullable ones. A missing check accepted jobs without an image.
func TestEachFieldIsRequired(t *testing.T) {
	app := newTestApp(&fakeController{})
	var fields map[string]any
	if err := json.Unmarshal([]byte(validSubmission), &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		odd := map[string]any{"missing": nil, "null": nil, "an object": map[string]any{}, "a list": []any{1}}
		for what, value := range odd {
			body := maps.Clone(fields)
			if body[name] = value; what == "missing" {
				delete(body, name)
			}
			want := 400
			if value == nil && slices.Contains([]string{"kilns", "yard", "due_s"}, name) {
				want = 201
			}
			raw, err := json.Marshal(body)
			if err != nil {
				t.Fatal(err)
			}
			status, _, err := testRequest(t, app, httptest.NewRequest("POST", "/v1/jobs", bytes.NewReader(raw)))
			if err != nil || status != want {
				t.Errorf("%s %s: got %d, %v, want %d", name, what, status, err, want)
			}
		}
	}
}

// While the input queue is full, requests must be rejected at once and the health check must fail. Otherwise
// requests would wait until they time out.
func TestFullInputQueueRefusesAtOnce(t *testing.T) {
	app := newTestApp(&fakeController{queueFull: true})
	for _, path := range []string{"/v1/jobs/wk-1", "/healthz"} {
		status, header, err := testRequest(t, app, httptest.NewRequest("GET", path, nil))
		if err != nil || status != 503 || header.Get("Retry-After") == "" {
			t.Errorf("%s: got %d %v, %v", path, status, header, err)
		}
	}
}

// A body over the limit must be rejected by its Content-Length, before it is read.
func TestOversizedBodyIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := New(nil, 0, nil, nil).newApp()
	done := make(chan error, 1)
	go func() { done <- app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	conn, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	const head = "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, wire.PathJobs, wire.MaxBodyBytes+1); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
	if err := app.Shutdown(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// The limit of a body must hold for what is decoded too: a small compressed body of many spaces took 1,000 times its
// size of memory before it was judged.
func TestCompressedBodyIsNotExpanded(t *testing.T) {
	app := newTestApp(&fakeController{})
	var body bytes.Buffer
	compressed := gzip.NewWriter(&body)
	spaces := bytes.Repeat([]byte(" "), wire.MaxBodyBytes)
	for range 500 {
		if _, err := compressed.Write(spaces); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := compressed.Write([]byte(validSubmission)); err != nil {
		t.Fatal(err)
	}
	if err := compressed.Close(); err != nil {
		t.Fatal(err)
	}
	if body.Len() > wire.MaxBodyBytes {
		t.Fatalf("the body has %d bytes", body.Len())
	}
	for _, path := range []string{wire.PathJobs, wire.PathHeartbeat} {
		req := httptest.NewRequest("POST", path, bytes.NewReader(body.Bytes()))
		req.Header.Set("Content-Encoding", "gzip")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		status, _, err := testRequest(t, app, req)
		runtime.ReadMemStats(&after)
		if err != nil || status != http.StatusBadRequest {
			t.Errorf("%s: status %d, %v, want 400", path, status, err)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 16*wire.MaxBodyBytes {
			t.Errorf("%s: %d bytes were allocated for a body of %d", path, allocated, body.Len())
		}
	}
}
