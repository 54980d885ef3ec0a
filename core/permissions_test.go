package core

import (
	"dewlift/access"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pb "dewlift/proto"
)

// examplePolicy has a technician, who also changes rights, and a visiting potter; the team of test
// jobs is t, their class c.
func examplePolicy(t *testing.T) *access.Policy {
	t.Helper()
	key := func(b byte) string { return base64.StdEncoding.EncodeToString(append(make([]byte, 31), b)) }
	p, err := access.Parse([]byte(fmt.Sprintf(`
		roles { name: "technician" grants { verbs: submit verbs: read verbs: cancel verbs: prioritise teams: "*" classes: "*" up_to: "critical" } }
		roles { name: "visitor" grants { verbs: submit teams: "t" classes: "c" } }
		roles { name: "admin" grants { verbs: administer } }
		identities { name: "anna" roles: "technician" roles: "admin" keys { id: "a1" ed25519: %q } }
		identities { name: "potter" roles: "visitor" keys { id: "p1" ed25519: %q } }`, key(1), key(2))))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var anna, potter = Credential{"anna", "a1"}, Credential{"potter", "p1"}

// newCoreWithPermissions is a controller that serves with these rights in force.
func newCoreWithPermissions(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	p := examplePolicy(t)
	log := []wire.WatchEvent{}
	put := func(key string, raw json.RawMessage, err error) {
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, wire.WatchEvent{Put: key, Value: raw, Revision: 10})
	}
	for _, id := range p.Source().Identities {
		raw, err := jobrecord.PackMessage(id)
		put(keyIdentity+id.Name, raw, err)
	}
	raw, err := jobrecord.PackMessage(&pb.Access{Roles: p.Source().Roles})
	put(keyRoles, raw, err)
	if out := outputsOfType[PermissionsChanged](watchEvents(c, 1100*time.Millisecond, 10, log...)); len(out) != 1 ||
		!out[0].Policy.HasIdentity("potter") {
		t.Fatalf("the edges are told %+v", out)
	}
	return c
}

func submittedBy(by Credential, in SubmitJob) SubmitJob {
	in.Caller, in.Spec.Priority = by, wire.PriorityStandard
	return in
}

func statusOf(t *testing.T, out []Output) wire.Status {
	t.Helper()
	r := outputsOfType[Response](out)
	if len(r) != 1 {
		t.Fatalf("%d answers: %+v", len(r), r)
	}
	return r[0].Status
}

// Rights of the file come into force when every controller knows them: identities first, then the
// roles, conditionally. Until then nobody is served.
func TestPermissionsAreSeededOnce(t *testing.T) {
	c := newServingCore(t)
	c.cfg.Permissions = examplePolicy(t)
	c.Handle(1100*time.Millisecond, GetJob{RequestID: 1, ID: "wk-1"})
	if s := statusOf(t, c.Advance(1100*time.Millisecond)); s != wire.StatusUnavailable || c.Healthy() {
		t.Errorf("before rights are in force: %d, healthy %v", s, c.Healthy())
	}
	written := func(from, to time.Duration) (txns []wire.Txn) {
		for at := from; at < to; at += 100 * time.Millisecond {
			c.ownLease.expiresAt = at + time.Minute
			for _, o := range outputsOfType[CommitTxn](append(c.Advance(at), completeBarrier(c, at)...)) {
				if slices.ContainsFunc(
					o.Txn.Then,
					func(w wire.Write) bool { return strings.HasPrefix(w.Put, keyPermissions) },
				) {
					txns = append(txns, o.Txn)
					if !slices.Contains(o.Txn.Compare, wire.Compare{Key: keyRoles}) {
						t.Errorf("rights are written without a condition: %+v", o.Txn.Compare)
					}
					var log []wire.WatchEvent
					for _, w := range o.Txn.Then {
						log = append(
							log,
							wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: c.replica.revision + 1},
						)
					}
					watchEvents(c, at, c.replica.revision+1, log...)
				}
				c.Handle(at, TxnResult{ID: o.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: c.replica.revision}})
			}
		}
		return txns
	}
	watchEvents(
		c,
		1200*time.Millisecond,
		11,
		event(keyLeader, string(c.leasedValue(1)), 11),
		event(keySchemaVersion+"n1", fmt.Sprint(schemaPermissions-1), 11),
		event(keySchemaVersion+"n2", fmt.Sprint(SchemaVersion), 11),
		event(keySchemaVersion+"n0", fmt.Sprint(SchemaVersion), 11),
	)
	if x := written(1300*time.Millisecond, 3*time.Second); len(x) != 0 {
		t.Errorf("written while another controller does not know rights: %+v", x)
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
	x := written(3*time.Second, 6*time.Second)
	if len(x) != 2 || len(x[0].Then) != 2 || x[1].Then[0].Put != keyRoles || !c.permissionsInForce() || !c.Healthy() {
		t.Fatalf("got %+v, guarded %v, healthy %v", x, c.permissionsInForce(), c.Healthy())
	}
}

// Who has no right to read a job is not told that it exists: by a poll, a cancellation, a repeated
// submission or a job that awaits it.
func TestUnreadableJobsAreNotRevealed(t *testing.T) {
	c := newCoreWithPermissions(t)
	watchEvents(
		c,
		1200*time.Millisecond,
		11,
		event(keyJob+"wk-1", `{"h":0,"s":{"cl":"x","tm":"t","n":1,"rc":[1000,0,1000]}}`, 11),
	)
	awaits := testSubmission("wk-3")
	awaits.Spec.Dependencies = []string{"wk-1"}
	c.schema.active = SchemaVersion
	ask := func(at time.Duration, in Input) Response {
		c.Handle(at, in)
		out := c.Advance(at)
		for i := 1; i < 4 && len(outputsOfType[Response](out)) == 0; i++ {
			out = append(out, completeBarrier(c, at+time.Duration(i)*300*time.Millisecond)...)
		}
		r := outputsOfType[Response](out)
		if len(r) != 1 {
			t.Fatalf("%+v: %d answers", in, len(r))
		}
		return r[0]
	}
	at := 1200 * time.Millisecond
	for _, x := range []struct {
		real, never Input
		status      wire.Status
	}{
		{GetJob{RequestID: 1, ID: "wk-1", Caller: potter}, GetJob{RequestID: 1, ID: "wk-2", Caller: potter}, wire.StatusNotFound},
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
			submittedBy(potter, awaits),
			submittedBy(potter, func() SubmitJob { s := awaits; s.Spec.Dependencies = []string{"wk-2"}; return s }()),
			wire.StatusInvalid,
		},
	} {
		at += 2 * time.Second
		c.ownLease.expiresAt = at + time.Minute
		a := ask(at, x.real)
		at += 2 * time.Second
		c.ownLease.expiresAt = at + time.Minute
		b := ask(at, x.never)
		if a.Status != x.status || strings.ReplaceAll(fmt.Sprint(a.Body), "wk-1", "wk-2") != fmt.Sprint(b.Body) ||
			a.Status != b.Status {
			t.Errorf("%T: %+v differs from %+v", x.real, a, b)
		}
	}
	at += 2 * time.Second
	if r := ask(at, GetJob{RequestID: 1, ID: "wk-1", Caller: anna}); r.Status != wire.StatusOK {
		t.Errorf("who may read it gets %+v", r)
	}
}

// A new job is written on condition that its user still has the right; one who lost it meanwhile is refused,
// and the job is not accepted.
func TestPermissionRevokedWhileAJobIsWritten(t *testing.T) {
	c := newCoreWithPermissions(t)
	c.Handle(1200*time.Millisecond, submittedBy(potter, testSubmission("wk-1")))
	x := findAcceptTxn(c.Advance(1200*time.Millisecond), "wk-1")
	if x == nil || !slices.Contains(x.Txn.Compare, wire.Compare{Key: keyIdentity + "potter", Revision: 10}) ||
		!slices.Contains(x.Txn.Compare, wire.Compare{Key: keyRoles, Revision: 10}) {
		t.Fatalf("got %+v", x)
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
		TxnResult{ID: x.ID, Status: wire.StatusConflict, Reply: wire.TxnResponse{Failed: []string{keyIdentity + "potter"}}},
	)
	out := append(c.Advance(1300*time.Millisecond), completeBarrier(c, 1400*time.Millisecond)...)
	if s := statusOf(t, out); s != wire.StatusForbidden || findAcceptTxn(out, "wk-1") != nil {
		t.Errorf("answered %d", s)
	}
	// A job that was accepted before stays, and is cancelled only by somebody with the right, by name.
	watchEvents(
		c,
		1500*time.Millisecond,
		12,
		event(keyJob+"wk-2", `{"h":0,"u":"potter","s":{"cl":"c","tm":"t","n":1,"rc":[1000,0,1000]}}`, 12),
	)
	c.Advance(1600 * time.Millisecond)
	if c.knownJob("wk-2").isFinal() {
		t.Fatal("a queued job ended with its user's right")
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
	for _, o := range outputsOfType[CommitTxn](out) {
		if o.Txn.Then[0].Delete == keyIdentity+"potter" {
			change = &o
		}
	}
	if change == nil || !slices.Contains(change.Txn.Compare, wire.Compare{Key: keyIdentity + "anna", Revision: 10}) ||
		!slices.Contains(change.Txn.Compare, wire.Compare{Key: keyIdentity + "potter", Revision: 11}) {
		t.Fatalf("got %+v", out)
	}
	c.Handle(2200*time.Millisecond, TxnResult{ID: change.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: 13}})
	out = c.Advance(2200 * time.Millisecond)
	cancelled := slices.ContainsFunc(outputsOfType[CommitTxn](out), func(o CommitTxn) bool {
		return slices.ContainsFunc(o.Txn.Then, func(w wire.Write) bool {
			return w.Put == keyJob+"wk-2" && strings.Contains(string(w.Value), `"st":"c"`)
		}) && slices.Contains(o.Txn.Compare, wire.Compare{Key: keyIdentity + "anna", Revision: 10})
	})
	if s := statusOf(t, out); s != wire.StatusOK || !cancelled {
		t.Errorf("answered %d, cancelled %v", s, cancelled)
	}
}

// Rights can't be changed into a state that nobody could change again; everyone may replace their own keys, and
// nothing else.
func TestUpdatePermissions(t *testing.T) {
	next := base64.StdEncoding.EncodeToString(append(make([]byte, 31), 9))
	for _, x := range []struct {
		by     Credential
		who    string
		edit   wire.PermissionsEdit
		status wire.Status // 0: it is written
	}{
		{anna, "anna", wire.PermissionsEdit{RevokeRoles: []string{"admin"}}, wire.StatusInvalid},
		{anna, "anna", wire.PermissionsEdit{RevokeKeys: []string{"a1"}}, wire.StatusInvalid},
		{anna, "pia", wire.PermissionsEdit{GrantRoles: []string{"nothing"}}, wire.StatusInvalid},
		{anna, "pia", wire.PermissionsEdit{AddKeys: []wire.PublicKey{{ID: "a1", Ed25519: next}}}, wire.StatusInvalid},
		{anna, "pia", wire.PermissionsEdit{GrantRoles: []string{"visitor"}}, wire.StatusNoAnswer},
		{potter, "potter", wire.PermissionsEdit{GrantRoles: []string{"technician"}}, wire.StatusForbidden},
		{potter, "anna", wire.PermissionsEdit{RevokeKeys: []string{"a1"}}, wire.StatusForbidden},
		{
			potter,
			"potter",
			wire.PermissionsEdit{AddKeys: []wire.PublicKey{{ID: "p2", Ed25519: next}}, RevokeKeys: []string{"p1"}},
			wire.StatusNoAnswer,
		},
		{Credential{"potter", "a1"}, "potter", wire.PermissionsEdit{RevokeKeys: []string{"p1"}}, wire.StatusForbidden},
	} {
		c := newCoreWithPermissions(t)
		c.Handle(1200*time.Millisecond, UpdatePermissions{RequestID: 5, Caller: x.by, Identity: x.who, Edit: x.edit})
		out := append(c.Advance(1200*time.Millisecond), completeBarrier(c, 1300*time.Millisecond)...)
		wrote := slices.ContainsFunc(
			outputsOfType[CommitTxn](out),
			func(o CommitTxn) bool { return o.Txn.Then[0].Put == keyIdentity+x.who },
		)
		if r := outputsOfType[Response](out); x.status == wire.StatusNoAnswer && (!wrote || len(r) != 0) ||
			x.status != wire.StatusNoAnswer && (wrote || len(r) != 1 || r[0].Status != x.status) {
			t.Errorf("%+v: wrote %v, answered %+v", x, wrote, r)
		}
	}
}
