package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"dewlift/access"
	"dewlift/core"
	"dewlift/wire"
)

// recordingService is a Service that keeps every input, and responds with the input in JSON.
type recordingService struct {
	server *Server
	mu     sync.Mutex // guards inputs
	inputs []recordedInput
}

// recordedInput is an input with its JSON form at the time of its request.
type recordedInput struct {
	input core.Input
	raw   json.RawMessage
}

func (r *recordingService) Healthy() bool                     { return true }
func (r *recordingService) StoreEndpoint() wire.StoreEndpoint { return wire.StoreEndpoint{} }

func (r *recordingService) Enqueue(in core.Input) bool {
	raw, err := json.Marshal(in)
	if err != nil {
		return false
	}
	r.mu.Lock()
	r.inputs = append(r.inputs, recordedInput{in, raw})
	r.mu.Unlock()
	id := reflect.ValueOf(in).FieldByName("RequestID").Uint()
	r.server.DeliverResponse(core.Response{RequestID: id, Status: wire.StatusOK, Body: json.RawMessage(raw)})
	return true
}

// serveRecording serves a recording service with a policy until the test ends, and returns its base URL.
func serveRecording(t *testing.T, policy *access.Policy) (*recordingService, string) {
	t.Helper()
	service := &recordingService{}
	service.server = New(service, 0, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	service.server.SetLoaded()
	service.server.SetPermissions(policy)
	service.server.SetReservationsEnabled(true)
	service.server.SetQueueEnabled(true)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := service.server.newApp()
	ended := make(chan error, 1)
	go func() { ended <- app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() {
		if err := app.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return service, "http://" + ln.Addr().String()
}

// newTestClient returns a client that keeps its connection, or one that opens a connection for each request.
func newTestClient(t *testing.T, keepConnection bool) *http.Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: !keepConnection}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// send makes a request and returns the status and body of its response. The status is 0 after an error.
func send(client *http.Client, method, url, header, body string) (int, []byte) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if header != "" {
		req.Header.Set("Authorization", header)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// testToken is an authorization header with the identity that it authenticates, or "" if it must be denied.
type testToken struct {
	name, header, identity string
}

// tokensOfOneLength returns good and bad tokens that all have the same length.
func tokensOfOneLength(t *testing.T, now time.Time) ([]testToken, *access.Policy) {
	t.Helper()
	auth, keys := newTestAuthenticator(t, "anna", "bert")
	stranger, err := access.NewKey("anna", "key-carl")
	if err != nil {
		t.Fatal(err)
	}
	anna, bert := bearerHeader(t, keys["anna"], now), bearerHeader(t, keys["bert"], now)
	signature := strings.LastIndexByte(anna, '.') + 1
	tokens := []testToken{
		{"anna's", anna, "anna"},
		{"bert's", bert, "bert"},
		{"expired", bearerHeader(t, keys["anna"], now.Add(-time.Hour)), ""},
		{"of an unknown key", bearerHeader(t, stranger, now), ""},
		{"not signed", anna[:signature] + strings.Repeat("A", len(anna)-signature), ""},
		{"with another's signature", bert[:signature] + anna[signature:], ""},
	}
	for _, token := range tokens {
		if len(token.header) != len(anna) {
			t.Fatalf("the token %s has another length", token.name)
		}
	}
	return tokens, auth.policy.Load()
}

// checkToken makes a request with a token and reports an error unless exactly the token's identity is the caller.
func checkToken(t *testing.T, client *http.Client, url string, token testToken) {
	t.Helper()
	status, body := send(client, http.MethodGet, url, token.header, "")
	var got core.GetJob
	switch {
	case token.identity == "":
		if status != http.StatusUnauthorized && status != http.StatusTooManyRequests {
			t.Errorf("token %s: status %d, %s", token.name, status, body)
		}
	case status != http.StatusOK || json.Unmarshal(body, &got) != nil || got.Caller.Identity != token.identity:
		t.Errorf("token %s: status %d, caller %q", token.name, status, got.Caller.Identity)
	}
}

// A token must identify its own holder, whatever was sent before and beside it. A cache keyed by memory that later
// requests overwrite let any text of the same length pass as the caller that was verified first.
func TestTokenNeverIdentifiesAnotherCaller(t *testing.T) {
	for name, keepConnection := range map[string]bool{"kept connection": true, "new connections": false} {
		t.Run(name, func(t *testing.T) {
			tokens, policy := tokensOfOneLength(t, time.Now())
			service, base := serveRecording(t, policy)
			client := newTestClient(t, keepConnection)
			for i := range tokens { // first and cached uses of the good ones, each bad one after each good one
				checkToken(t, client, base+wire.PathJobs+"/wk-0001", tokens[i%2])
				checkToken(t, client, base+wire.PathJobs+"/wk-0001", tokens[i])
			}
			var callers sync.WaitGroup
			for worker := range 8 {
				random := rand.New(rand.NewPCG(46, uint64(worker)))
				client := newTestClient(t, keepConnection)
				callers.Go(func() {
					for range 50 {
						checkToken(t, client, base+wire.PathJobs+"/wk-0001", tokens[random.IntN(len(tokens))])
					}
				})
			}
			callers.Wait()
			for _, item := range service.server.TakeDenied() {
				if item.Who != "" || item.Object != wire.PathJobs+"/wk-0001" {
					t.Errorf("a denied request is logged as %q by %q", item.Object, item.Who)
				}
			}
		})
	}
}

// markedRequest is a request all of whose texts are the marker that replaces each "$".
type markedRequest struct{ method, path, body string }

// markedRequests cover every route that takes a text from its caller.
var markedRequests = []markedRequest{
	{"GET", "/v1/audit?node=$", ""},
	{"POST", "/v1/access/$", `{"grant_roles":["$"],"add_keys":[{"id":"$","ed25519":"$"}],"revoke_keys":["$"]}`},
	{"GET", "/v1/bookings?day=$&piece=$&kind=$&zone=$&team=$&from=$&by=$", ""},
	{"GET", "/v1/bookings/$", ""},
	{"POST", "/v1/bookings", `{"id":"$","team":"$","slots":[{"piece":"$","kind":"$","from":"$"}],"repeat":"$"}`},
	{"POST", "/v1/bookings/$/move", `{"slots":[{"piece":"$","zone":"$","from":"$"}],"why":"$"}`},
	{"POST", "/v1/bookings/$/confirm", ""},
	{"POST", "/v1/bookings/$/end", `{"why":"$"}`},
	{"POST", "/v1/equipment", `{"equipment":"$","why":"$"}`},
	{"GET", "/v1/queue/$", ""},
	{"POST", "/v1/lanes", `{"lanes":"$"}`},
	{"POST", "/v1/jobs", strings.NewReplacer("wk-000412", "wk-$", "train", "$", "vision", "$", "img-07", "$", "g8", "$",
		`"yard":null`, `"yard":"$"`).Replace(validSubmission)},
	{"POST", "/v1/jobs", `{"uid":"wk-$"}`},
	{"GET", "/v1/jobs/wk-$", ""},
	{"POST", "/v1/jobs/wk-$/withdraw", ""},
	{"POST", "/agent/beat", `{"hearth":"$","address":"$","kiln":"$","yard":"$","shift":1,
		"pieces":[{"piece":"wk-$/1","stage":"running","cause":"$"}]}`},
}

var markerPattern = regexp.MustCompile(`m\d{7}`)

// The values that a handler passes on outlive its request, and must stay those that its caller sent while the server
// uses the request's memory for other requests.
func TestInputsKeepTheValuesOfTheirRequests(t *testing.T) {
	tokens, policy := tokensOfOneLength(t, time.Now())
	service, base := serveRecording(t, policy)
	warmUp := newTestClient(t, true)
	for _, token := range tokens[:2] {
		checkToken(t, warmUp, base+wire.PathJobs+"/wk-0001", token)
	}
	const requestsPerWorker = 200
	var callers sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(46, uint64(worker)))
		client := newTestClient(t, worker%4 > 0)
		callers.Go(func() {
			for i := range requestsPerWorker {
				marker := fmt.Sprintf("m%07d", worker*requestsPerWorker+i)
				template := markedRequests[random.IntN(len(markedRequests))]
				path := strings.ReplaceAll(template.path, "$", marker)
				body := strings.ReplaceAll(template.body, "$", marker)
				status, raw := send(client, template.method, base+path, tokens[random.IntN(2)].header, body)
				found := markerPattern.FindAllString(string(raw), -1)
				if status != http.StatusOK || len(found) == 0 {
					t.Errorf("%s %s: status %d, %s", template.method, path, status, raw)
				}
				for _, other := range found {
					if other != marker {
						t.Errorf("%s %s got a value of %s", template.method, path, other)
					}
				}
			}
		})
	}
	callers.Wait()
	for _, recorded := range service.inputs {
		if now, err := json.Marshal(recorded.input); err != nil || !bytes.Equal(now, recorded.raw) {
			t.Errorf("%T was %s and is now %s (%v)", recorded.input, recorded.raw, now, err)
		}
	}
}

// A denied request must be logged with its own path, however many requests came after it.
func TestDeniedRequestKeepsItsPath(t *testing.T) {
	_, policy := tokensOfOneLength(t, time.Now())
	service, base := serveRecording(t, policy)
	client := newTestClient(t, true)
	const requests = 40
	want := map[string]bool{}
	for i := range requests {
		path := fmt.Sprintf("%s/wk-m%07d", wire.PathJobs, i)
		want[path] = true
		if status, _ := send(client, http.MethodGet, base+path, "", ""); status != http.StatusUnauthorized {
			t.Errorf("status %d", status)
		}
	}
	for _, item := range service.server.TakeDenied() {
		if !want[item.Object] || item.Count != 1 {
			t.Errorf("logged %d times: %s", item.Count, item.Object)
		}
		delete(want, item.Object)
	}
	if len(want) > 0 {
		t.Errorf("not logged: %v", want)
	}
}
