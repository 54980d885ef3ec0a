package dewlift

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"dewlift/access"
	"dewlift/booking"
	"dewlift/internal/fakes"
	"dewlift/wire"
)

// callerNames have the same length, so that the tokens of their holders have too.
var callerNames = []string{"anna", "bert", "cora", "dora"}

// callerClient makes requests with one identity's token, over one kept connection.
type callerClient struct {
	name, token, server string
	client              *http.Client
}

// newCallerPolicy returns a policy in which each caller may do everything with the jobs of a class and the reservations
// of a team of its own name, and nothing with those of others.
func newCallerPolicy(t *testing.T) (*access.Policy, map[string]*access.PrivateKey) {
	t.Helper()
	text, keys := `roles { name: "root" grants { verbs: administer } }`, map[string]*access.PrivateKey{}
	for _, name := range callerNames {
		key, err := access.NewKey(name, name+"-1")
		if err != nil {
			t.Fatal(err)
		}
		keys[name] = key
		text += fmt.Sprintf(`
			roles {
				name: %[1]q
				grants { verbs: submit verbs: read verbs: cancel teams: "t" classes: %[1]q }
				grants { verbs: book verbs: read teams: %[1]q classes: "*" }
			}
			identities { name: %[1]q roles: %[1]q keys { id: %[2]q ed25519: %[3]q } }`,
			name, key.ID, key.PublicBase64())
	}
	policy, err := access.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return policy, keys
}

// do makes a request and decodes the response's body, which may be of another type after an error. It retries while
// the controller is unavailable. The status is 0 if there was no response.
func (c *callerClient) do(method, path string, body, response any) (status int) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	for range 100 {
		if status = c.attempt(method, path, raw, response); status != http.StatusServiceUnavailable {
			return status
		}
		time.Sleep(20 * time.Millisecond)
	}
	return status
}

func (c *callerClient) attempt(method, path string, body []byte, response any) (status int) {
	req, err := http.NewRequest(method, "http://"+c.server+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	_ = json.Unmarshal(raw, response) // callers check the fields, which stay empty if this fails
	return resp.StatusCode
}

// checkOwnWork makes a job and a reservation, and checks that what is stored is what was sent, by this caller.
func (c *callerClient) checkOwnWork(t *testing.T, i int, from time.Time) {
	t.Helper()
	job := fakes.JobRequest(fmt.Sprintf("wk-%s-%03d", c.name, i), c.name)
	var state wire.JobState
	if status := c.do("POST", wire.PathJobs, job, &state); status != http.StatusCreated || state.ID != job["uid"] {
		t.Errorf("%s submits %s: %d %+v", c.name, job["uid"], status, state)
	}
	request := wire.ReservationRequest{
		ID:    fmt.Sprintf("b-%s-%03d", c.name, i),
		Team:  c.name,
		Slots: []wire.SlotRequest{{Kind: "kiln", From: from.Add(time.Duration(i) * time.Hour).Format(time.RFC3339)}},
	}
	var made, read wire.ReservationResponse
	if status := c.do("POST", wire.PathReservations, request, &made); status != http.StatusCreated {
		t.Errorf("%s reserves %s: %d %s", c.name, request.ID, status, made.Error)
	}
	status := c.do("GET", wire.PathReservations+"/"+request.ID, nil, &read)
	if got := read.Reservation; status != http.StatusOK || got == nil || got.ID != request.ID ||
		got.Team != c.name || got.Owner != c.name || len(got.Slots) != 1 || got.Slots[0].From != request.Slots[0].From {
		t.Errorf("%s reads %s: %d %+v", c.name, request.ID, status, got)
	}
}

// checkNoAccess checks that the caller can neither read, cancel nor end the work of another one.
func (c *callerClient) checkNoAccess(t *testing.T, owner string, i int) {
	t.Helper()
	job, reservation := fmt.Sprintf("wk-%s-%03d", owner, i), fmt.Sprintf("b-%s-%03d", owner, i)
	for _, request := range []struct{ method, path string }{
		{"GET", wire.PathJobs + "/" + job},
		{"POST", wire.PathJobs + "/" + job + "/withdraw"},
		{"GET", wire.PathReservations + "/" + reservation},
		{"POST", wire.PathReservations + "/" + reservation + "/end"},
	} {
		var none struct{}
		status := c.do(request.method, request.path, struct{}{}, &none)
		if status != http.StatusNotFound && status != http.StatusForbidden {
			t.Errorf("%s %s %s: status %d", c.name, request.method, request.path, status)
		}
	}
}

// Callers with tokens of the same length work on one controller at the same time. Each must act as itself only, and
// what is stored must be what it sent: the server uses the memory of a request again for those of other callers.
func TestCallersActAsThemselves(t *testing.T) {
	_, addr := startStore(t, fakes.Limits{ValueBytes: 8192, TxnOps: 12, PageItems: 50})
	policy, keys := newCallerPolicy(t)
	equipment, err := booking.Parse([]byte(`pieces { name: "k" kind: "kiln" units: 8 slot_minutes: 60 }`))
	if err != nil {
		t.Fatal(err)
	}
	server := startController(t, addr, policy, func(options *Options) { options.Equipment = equipment })
	from := time.Now().UTC().AddDate(0, 0, 3).Truncate(24 * time.Hour)
	var callers sync.WaitGroup
	for n, name := range callerNames {
		token, err := keys[name].SignToken(time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{DisableKeepAlives: n%2 > 0}
		t.Cleanup(transport.CloseIdleConnections)
		caller := &callerClient{name: name, token: token, server: server, client: &http.Client{Transport: transport}}
		eventually(t, "open", func() bool {
			var list wire.ReservationResponse
			return caller.do("GET", wire.PathEquipment, nil, &list) == http.StatusOK
		})
		callers.Go(func() {
			for i := range 12 {
				caller.checkOwnWork(t, i, from)
				caller.checkNoAccess(t, callerNames[(n+1+i%3)%len(callerNames)], i)
			}
		})
	}
	callers.Wait()
}
