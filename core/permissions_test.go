package core

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/access"
	"dewlift/core/jobrecord"
	pb "dewlift/proto"
	"dewlift/wire"
)

// examplePolicy returns a policy with a technician, anna, who may also change permissions, and a visitor, potter.
// Test jobs have the team t and the class c.
func examplePolicy(t *testing.T) *access.Policy {
	t.Helper()
	key := func(b byte) string { return base64.StdEncoding.EncodeToString(append(make([]byte, 31), b)) }
	policy, err := access.Parse([]byte(fmt.Sprintf(`
		roles {
			name: "technician"
			grants {
				verbs: submit verbs: read verbs: cancel verbs: prioritise
				teams: "*" classes: "*" up_to: "critical"
			}
		}
		roles { name: "visitor" grants { verbs: submit teams: "t" classes: "c" } }
		roles { name: "admin" grants { verbs: administer } }
		identities { name: "anna" roles: "technician" roles: "admin" keys { id: "a1" ed25519: %q } }
		identities { name: "potter" roles: "visitor" keys { id: "p1" ed25519: %q } }`, key(1), key(2))))
	if err != nil {
		t.Fatal(err)
	}
	return policy
}

var anna, potter = Credential{"anna", "a1"}, Credential{"potter", "p1"}

// newCoreWithPermissions returns a serving controller with the permissions of examplePolicy in force.
func newCoreWithPermissions(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	policy := examplePolicy(t)
	events := []wire.WatchEvent{}
	put := func(key string, raw json.RawMessage, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, wire.WatchEvent{Put: key, Value: raw, Revision: 10})
	}
	for _, identity := range policy.Source().Identities {
		raw, err := jobrecord.PackMessage(identity)
		put(keyIdentity+identity.Name, raw, err)
	}
	raw, err := jobrecord.PackMessage(&pb.Access{Roles: policy.Source().Roles})
	put(keyRoles, raw, err)
	out := outputsOfType[PermissionsChanged](watchEvents(c, 1100*time.Millisecond, 10, events...))
	if len(out) != 1 ||
		!out[0].Policy.HasIdentity("potter") {
		t.Fatalf("published policies: %+v", out)
	}
	return c
}

// submittedBy returns the submission with the given caller and standard priority.
func submittedBy(by Credential, in SubmitJob) SubmitJob {
	in.Caller, in.Spec.Priority = by, wire.PriorityStandard
	return in
}

// statusOf returns the status of the only response among the outputs.
func statusOf(t *testing.T, out []Output) wire.Status {
	t.Helper()
	responses := outputsOfType[Response](out)
	if len(responses) != 1 {
		t.Fatalf("%d responses: %+v", len(responses), responses)
	}
	return responses[0].Status
}

// seedTxns advances the controller through an interval, commits every transaction, and returns those that write
// permissions. Each of them must compare the roles: otherwise two controllers could both seed.
func seedTxns(t *testing.T, c *Core, from, to time.Duration) (txns []wire.Txn) {
	t.Helper()
	writesPermission := func(write wire.Write) bool { return strings.HasPrefix(write.Put, keyPermissions) }
	for at := from; at < to; at += 100 * time.Millisecond {
		c.ownLease.expiresAt = at + time.Minute
		for _, commit := range outputsOfType[CommitTxn](append(c.Advance(at), completeBarrier(c, at)...)) {
			if slices.ContainsFunc(commit.Txn.Then, writesPermission) {
				txns = append(txns, commit.Txn)
				if !slices.Contains(commit.Txn.Compare, wire.Compare{Key: keyRoles}) {
					t.Errorf("permissions are written without a compare on the roles: %+v", commit.Txn.Compare)
				}
				var events []wire.WatchEvent
				for _, write := range commit.Txn.Then {
					events = append(
						events,
						wire.WatchEvent{Put: write.Put, Value: write.Value, Revision: c.replica.revision + 1},
					)
				}
				watchEvents(c, at, c.replica.revision+1, events...)
			}
			c.Handle(at, TxnResult{
				ID:     commit.ID,
				Status: wire.StatusOK,
				Reply:  wire.TxnResponse{Revision: c.replica.revision},
			})
		}
	}
	return txns
}

// Configured permissions must come into force only once every controller supports them. The identities must be
// written before the roles, and no request may be served before the permissions are in force.
func TestPermissionsAreSeededOnce(t *testing.T) {
	c := newServingCore(t)
	c.cfg.Permissions = examplePolicy(t)
	c.Handle(1100*time.Millisecond, GetJob{RequestID: 1, ID: "wk-1"})
	if s := statusOf(t, c.Advance(1100*time.Millisecond)); s != wire.StatusUnavailable || c.Healthy() {
		t.Errorf("before permissions are in force: status %d, healthy %v", s, c.Healthy())
	}
	watchEvents(
		c,
		1200*time.Millisecond,
		11,
		event(keyLeader, string(c.ownLease.leasedValue(1)), 11),
		event(keySchemaVersion+"n1", fmt.Sprint(schemaPermissions-1), 11),
		event(keySchemaVersion+"n2", fmt.Sprint(SchemaVersion), 11),
		event(keySchemaVersion+"n0", fmt.Sprint(SchemaVersion), 11),
	)
	if txns := seedTxns(t, c, 1300*time.Millisecond, 3*time.Second); len(txns) != 0 {
		t.Errorf("seeded while another controller does not support permissions: %+v", txns)
	}
	c.Handle(
		3*time.Second,
		WatchResult{
			LongPoll: true,
			Status:   wire.StatusOK,
			Changes: wire.WatchResponse{
				Revision: 50,
				Events:   []wire.WatchEvent{event(keySchemaVersion+"n1", fmt.Sprint(SchemaVersion), 50)},
			},
		},
	)
	txns := seedTxns(t, c, 3*time.Second, 6*time.Second)
	if len(txns) != 2 || len(txns[0].Then) != 2 || txns[1].Then[0].Put != keyRoles ||
		!c.permissions.isInForce() || !c.Healthy() {
		t.Fatalf("seeded by %+v, in force %v, healthy %v", txns, c.permissions.isInForce(), c.Healthy())
	}
}

// A caller without read permission must not learn that a job exists, neither by a poll, a cancellation or a
// repeated submission, nor by submitting a job that depends on it.
func TestUnreadableJobsAreNotRevealed(t *testing.T) {
	c := newCoreWithPermissions(t)
	watchEvents(
		c,
		1200*time.Millisecond,
		11,
		event(keyJob+"wk-1", `{"h":0,"s":{"cl":"x","tm":"t","n":1,"rc":[1000,0,1000]}}`, 11),
	)
	dependent := testSubmission("wk-3")
	dependent.Spec.Dependencies = []string{"wk-1"}
	dependentOnMissing := dependent
	dependentOnMissing.Spec.Dependencies = []string{"wk-2"}
	c.schema.active = SchemaVersion
	request := func(at time.Duration, in Input) Response {
		t.Helper()
		c.Handle(at, in)
		out := c.Advance(at)
		for i := 1; i < 4 && len(outputsOfType[Response](out)) == 0; i++ {
			out = append(out, completeBarrier(c, at+time.Duration(i)*300*time.Millisecond)...)
		}
		responses := outputsOfType[Response](out)
		if len(responses) != 1 {
			t.Fatalf("%+v: %d responses", in, len(responses))
		}
		return responses[0]
	}
	at := 1200 * time.Millisecond
	for _, tt := range []struct {
		existing, missing Input
		status            wire.Status
	}{
		{
			GetJob{RequestID: 1, ID: "wk-1", Caller: potter},
			GetJob{RequestID: 1, ID: "wk-2", Caller: potter},
			wire.StatusNotFound,
		},
		{
			CancelJob{RequestID: 1, ID: "wk-1", Caller: potter},
			CancelJob{RequestID: 1, ID: "wk-2", Caller: potter},
			wire.StatusNotFound,
		},
		{
			SubmitJob{RequestID: 1, ID: "wk-1", DecodeError: "nonsense", Caller: potter},
			SubmitJob{RequestID: 1, ID: "wk-2", DecodeError: "nonsense", Caller: potter},
			wire.StatusBadRequest,
		},
		{
			submittedBy(potter, dependent),
			submittedBy(potter, dependentOnMissing),
			wire.StatusInvalid,
		},
	} {
		at += 2 * time.Second
		c.ownLease.expiresAt = at + time.Minute
		existing := request(at, tt.existing)
		at += 2 * time.Second
		c.ownLease.expiresAt = at + time.Minute
		missing := request(at, tt.missing)
		if existing.Status != tt.status || existing.Status != missing.Status ||
			strings.ReplaceAll(fmt.Sprint(existing.Body), "wk-1", "wk-2") != fmt.Sprint(missing.Body) {
			t.Errorf("%T: %+v differs from %+v", tt.existing, existing, missing)
		}
	}
	at += 2 * time.Second
	if r := request(at, GetJob{RequestID: 1, ID: "wk-1", Caller: anna}); r.Status != wire.StatusOK {
		t.Errorf("a permitted reader gets %+v", r)
	}
}

// The transaction that accepts a job must compare the submitter's permissions: if they were revoked meanwhile, the
// submission must be denied. Jobs accepted before the revocation must stay queued until a permitted caller cancels
// them.
func TestPermissionRevokedWhileAJobIsWritten(t *testing.T) {
	c := newCoreWithPermissions(t)
	c.Handle(1200*time.Millisecond, submittedBy(potter, testSubmission("wk-1")))
	accept := findAcceptTxn(c.Advance(1200*time.Millisecond), "wk-1")
	if accept == nil || !slices.Contains(accept.Txn.Compare, wire.Compare{Key: keyIdentity + "potter", Revision: 10}) ||
		!slices.Contains(accept.Txn.Compare, wire.Compare{Key: keyRoles, Revision: 10}) {
		t.Fatalf("got %+v", accept)
	}
	raw, err := jobrecord.PackMessage(
		&pb.Identity{Name: "potter", Keys: []*pb.PublicKey{c.permissions.identities["potter"].identity.Keys[0]}},
	)
	if err != nil {
		t.Fatal(err)
	}
	watchEvents(c, 1300*time.Millisecond, 11, wire.WatchEvent{Put: keyIdentity + "potter", Value: raw, Revision: 11})
	c.Handle(
		1300*time.Millisecond,
		TxnResult{
			ID:     accept.ID,
			Status: wire.StatusConflict,
			Reply:  wire.TxnResponse{Failed: []string{keyIdentity + "potter"}},
		},
	)
	out := append(c.Advance(1300*time.Millisecond), completeBarrier(c, 1400*time.Millisecond)...)
	if s := statusOf(t, out); s != wire.StatusForbidden || findAcceptTxn(out, "wk-1") != nil {
		t.Errorf("a submission without permission is answered %d", s)
	}
	// A job that was accepted before stays queued and is cancelled only at the request of a permitted caller.
	watchEvents(
		c,
		1500*time.Millisecond,
		12,
		event(keyJob+"wk-2", `{"h":0,"u":"potter","s":{"cl":"c","tm":"t","n":1,"rc":[1000,0,1000]}}`, 12),
	)
	c.Advance(1600 * time.Millisecond)
	if c.knownJob("wk-2").isFinal() {
		t.Fatal("a queued job ended with its submitter's permissions")
	}
	c.Handle(
		2*time.Second,
		UpdatePermissions{
			RequestID: 5,
			Caller:    anna,
			Identity:  "potter",
			Edit:      wire.PermissionsEdit{Delete: true, CancelQueued: true},
		},
	)
	c.Advance(2 * time.Second)
	out = completeBarrier(c, 2100*time.Millisecond)
	var change *CommitTxn
	for _, commit := range outputsOfType[CommitTxn](out) {
		if commit.Txn.Then[0].Delete == keyIdentity+"potter" {
			change = &commit
		}
	}
	if change == nil || !slices.Contains(change.Txn.Compare, wire.Compare{Key: keyIdentity + "anna", Revision: 10}) ||
		!slices.Contains(change.Txn.Compare, wire.Compare{Key: keyIdentity + "potter", Revision: 11}) {
		t.Fatalf("got %+v", out)
	}
	c.Handle(
		2200*time.Millisecond,
		TxnResult{ID: change.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: 13}},
	)
	out = c.Advance(2200 * time.Millisecond)
	cancelled := slices.ContainsFunc(outputsOfType[CommitTxn](out), func(commit CommitTxn) bool {
		return slices.ContainsFunc(commit.Txn.Then, func(write wire.Write) bool {
			return write.Put == keyJob+"wk-2" && strings.Contains(string(write.Value), `"st":"c"`)
		}) && slices.Contains(commit.Txn.Compare, wire.Compare{Key: keyIdentity + "anna", Revision: 10})
	})
	if s := statusOf(t, out); s != wire.StatusOK || !cancelled {
		t.Errorf("answered %d, cancelled %v", s, cancelled)
	}
}

// Permissions must not get into a state that nobody can change any more. An identity without the verb administer
// may replace its own keys, and nothing else.
func TestUpdatePermissions(t *testing.T) {
	next := base64.StdEncoding.EncodeToString(append(make([]byte, 31), 9))
	for _, tt := range []struct {
		caller   Credential
		identity string
		edit     wire.PermissionsEdit
		status   wire.Status // StatusNoResponse: the change is committed
	}{
		{anna, "anna", wire.PermissionsEdit{RevokeRoles: []string{"admin"}}, wire.StatusInvalid},
		{anna, "anna", wire.PermissionsEdit{RevokeKeys: []string{"a1"}}, wire.StatusInvalid},
		{anna, "pia", wire.PermissionsEdit{GrantRoles: []string{"nothing"}}, wire.StatusInvalid},
		{anna, "pia", wire.PermissionsEdit{AddKeys: []wire.PublicKey{{ID: "a1", Ed25519: next}}}, wire.StatusInvalid},
		{anna, "pia", wire.PermissionsEdit{GrantRoles: []string{"visitor"}}, wire.StatusNoResponse},
		{potter, "potter", wire.PermissionsEdit{GrantRoles: []string{"technician"}}, wire.StatusForbidden},
		{potter, "anna", wire.PermissionsEdit{RevokeKeys: []string{"a1"}}, wire.StatusForbidden},
		{
			potter,
			"potter",
			wire.PermissionsEdit{AddKeys: []wire.PublicKey{{ID: "p2", Ed25519: next}}, RevokeKeys: []string{"p1"}},
			wire.StatusNoResponse,
		},
		{Credential{"potter", "a1"}, "potter", wire.PermissionsEdit{RevokeKeys: []string{"p1"}}, wire.StatusForbidden},
	} {
		c := newCoreWithPermissions(t)
		c.Handle(
			1200*time.Millisecond,
			UpdatePermissions{RequestID: 5, Caller: tt.caller, Identity: tt.identity, Edit: tt.edit},
		)
		out := append(c.Advance(1200*time.Millisecond), completeBarrier(c, 1300*time.Millisecond)...)
		wrote := slices.ContainsFunc(
			outputsOfType[CommitTxn](out),
			func(commit CommitTxn) bool { return commit.Txn.Then[0].Put == keyIdentity+tt.identity },
		)
		responses := outputsOfType[Response](out)
		if tt.status == wire.StatusNoResponse && (!wrote || len(responses) != 0) ||
			tt.status != wire.StatusNoResponse && (wrote || len(responses) != 1 || responses[0].Status != tt.status) {
			t.Errorf("%+v: wrote %v, answered %+v", tt, wrote, responses)
		}
	}
}
