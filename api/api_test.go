package api

import (
	"bufio"
	"bytes"
	"dewlift/core"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"
)

// fakeController answers every input like a core that accepts everything but what is malformed.
type fakeController struct {
	server    *Server
	queueFull bool
}

func (e *fakeController) Healthy() bool { return !e.queueFull }
func (e *fakeController) StoreEndpoint() wire.StoreEndpoint {
	return wire.StoreEndpoint{Addr: "127.0.0.1:1"}
}

func (e *fakeController) Enqueue(in core.Input) bool {
	if e.queueFull {
		return false
	}
	switch in := in.(type) {
	case core.SubmitJob:
		r := core.Response{
			RequestID: in.RequestID,
			Status:    wire.StatusCreated,
			Body:      wire.JobState{ID: in.ID, Stage: wire.StageQueued},
		}
		if in.DecodeError != "" {
			r.Status, r.Body = wire.StatusBadRequest, wire.Error{Error: in.DecodeError}
		}
		go e.server.DeliverResponse(r)
	case core.GetJob:
		go e.server.DeliverResponse(core.Response{
			RequestID:         in.RequestID,
			Status:            wire.StatusUnavailable,
			RetryAfterSeconds: 1,
			Body:              wire.Error{},
		})
	}
	return true
}

const validSubmission = `{"uid":"wk-000412","ware":"train","crew":"vision","form":"batch","heat":"high","pieces":16,
 "cpus":8.0,"cards":1.0,"ram_gb":64.0,"mould":"img-07","image_gb":6.2,"kilns":["g8"],"yard":null,"one_zone":true,
 "spread":false,"borrowed":true,"firing_s":240.0,"glaze_s":30.0,"cool_s":4.0,"due_s":900.0}`

func TestResponseStatuses(t *testing.T) {
	e := &fakeController{}
	e.server = New(e, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	app := e.server.newApp()
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
		"beyond floats":  {"POST", "/v1/jobs", strings.Replace(validSubmission, "8.0", "1e999", 1), 400},
		"bad priority":   {"POST", "/v1/jobs", strings.Replace(validSubmission, "high", "higher", 1), 400},
		"gang":           {"POST", "/v1/jobs", strings.Replace(validSubmission, "batch", "group", 1), 400},
		"id missing":     {"POST", "/v1/jobs", strings.Replace(validSubmission, "uid", "xid", 1), 400},
		"id not ours":    {"POST", "/v1/jobs", strings.Replace(validSubmission, "wk-000412", "../wk", 1), 400},
		"unknown field":  {"POST", "/v1/jobs", strings.Replace(validSubmission, "{", `{"later":1,`, 1), 201},
		"unknown route":  {"GET", "/v2/jobs", "", 404},
		"bad method":     {"DELETE", "/v1/jobs", "", 405},
		"bad report":     {"POST", "/agent/beat", `{"hearth":"m-1"}`, 400},
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
		resp, err := app.Test(req)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.StatusCode != tc.want {
			t.Errorf("%s: status %d, want %d", name, resp.StatusCode, tc.want)
		}
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a refusal does not tell when to come back", name)
		}
	}
}

// Every field is needed but those that may be null. A job without an image was accepted.
func TestEachFieldIsRequired(t *testing.T) {
	e := &fakeController{}
	e.server = New(e, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	app := e.server.newApp()
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
			resp, err := app.Test(httptest.NewRequest("POST", "/v1/jobs", bytes.NewReader(raw)))
			if err != nil || resp.StatusCode != want {
				t.Errorf("%s %s: got %v, %v, want %d", name, what, resp, err, want)
			}
		}
	}
}

func TestFullInputQueueRefusesAtOnce(t *testing.T) {
	e := &fakeController{queueFull: true}
	e.server = New(e, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, path := range []string{"/v1/jobs/wk-1", "/healthz"} {
		resp, err := e.server.newApp().Test(httptest.NewRequest("GET", path, nil))
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got %v, %v", path, resp, err)
		}
	}
}

// A body over the limit is refused before anything of it is looked at.
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
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", wire.PathJobs, wire.MaxBodyBytes+1); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
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
