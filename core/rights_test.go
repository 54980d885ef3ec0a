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

// cooperative has a technician, who also changes rights, and a visiting potter; the team of test jobs is t, their class c.
func cooperative(t *testing.T) *access.Policy {
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

var anna, potter = Cred{"anna", "a1"}, Cred{"potter", "p1"}

// withRights is a controller that serves with these rights in force.
func withRights(t *testing.T) *Core {
	t.Helper()
	c := serving(t)
	p := cooperative(t)
	log := []wire.WatchEvent{}
	put := func(key string, raw json.RawMessage, err error) {
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, wire.WatchEvent{Put: key, Value: raw, Revision: 10})
	}
	for _, id := range p.Source().Identities {
		raw, err := jobrecord.PackMessage(id)
		put(keyWho+id.Name, raw, err)
	}
	raw, err := jobrecord.PackMessage(&pb.Access{Roles: p.Source().Roles})
	put(keyRoles, raw, err)
	if out := outputs[Rights](stream(c, 1100*time.Millisecond, 10, log...)); len(out) != 1 || !out[0].Policy.HasIdentity("potter") {
		t.Fatalf("the edges are told %+v", out)
	}
	return c
}

func as(by Cred, in Submit) Submit {
	in.By, in.Spec.Priority = by, wire.PriorityStandard
	return in
}

func statusOf(t *testing.T, out []Output) int {
	t.Helper()
	r := outputs[Reply](out)
	if len(r) != 1 {
		t.Fatalf("%d answers: %+v", len(r), r)
	}
	return r[0].Status
}

// Rights of the file come into force when every controller knows them: identities first, then the
// roles, conditionally. Until then nobody is served.
func TestRightsAreSeededOnce(t *testing.T) {
	c := serving(t)
	c.cfg.Access = cooperative(t)
	c.Handle(1100*time.Millisecond, Poll{Req: 1, ID: "wk-1"})
	if s := statusOf(t, c.Advance(1100*time.Millisecond)); s != 503 || c.Healthy() {
		t.Errorf("before rights are in force: %d, healthy %v", s, c.Healthy())
	}
	written := func(from, to time.Duration) (txns []wire.Txn) {
		for at := from; at < to; at += 100 * time.Millisecond {
			c.ownLease.expiresAt = at + time.Minute
			for _, o := range outputs[Commit](append(c.Advance(at), barrier(c, at)...)) {
				if slices.ContainsFunc(o.Txn.Then, func(w wire.Write) bool { return strings.HasPrefix(w.Put, keyAccess) }) {
					txns = append(txns, o.Txn)
					if !slices.Contains(o.Txn.Compare, wire.Compare{Key: keyRoles}) {
						t.Errorf("rights are written without a condition: %+v", o.Txn.Compare)
					}
					var log []wire.WatchEvent
					for _, w := range o.Txn.Then {
						log = append(log, wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: c.replica.revision + 1})
					}
					stream(c, at, c.replica.revision+1, log...)
				}
				c.Handle(at, Committed{ID: o.ID, Status: 200, Reply: wire.TxnResponse{Revision: c.replica.revision}})
			}
		}
		return txns
	}
	stream(c, 1200*time.Millisecond, 11, event(keyLeader, string(c.heldValue(1)), 11), event(keyForm+"n1", fmt.Sprint(formAccess-1), 11), event(keyForm+"n2", fmt.Sprint(Form), 11), event(keyForm+"n0", fmt.Sprint(Form), 11))
	if x := written(1300*time.Millisecond, 3*time.Second); len(x) != 0 {
		t.Errorf("written while another controller does not know rights: %+v", x)
	}
	c.Handle(3*time.Second, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 50, Events: []wire.WatchEvent{event(keyForm+"n1", fmt.Sprint(Form), 50)}}})
	x := written(3*time.Second, 6*time.Second)
	if len(x) != 2 || len(x[0].Then) != 2 || x[1].Then[0].Put != keyRoles || !c.guarded() || !c.Healthy() {
		t.Fatalf("got %+v, guarded %v, healthy %v", x, c.guarded(), c.Healthy())
	}
}

// Who has no right to read a job is not told that it exists: by a poll, a cancellation, a repeated
// submission or a job that awaits it.
func TestNothingIsToldOfJobsThatOneMayNotRead(t *testing.T) {
	c := withRights(t)
	stream(c, 1200*time.Millisecond, 11, event(keyJob+"wk-1", `{"h":0,"s":{"cl":"x","tm":"t","n":1,"rc":[1000,0,1000]}}`, 11))
	awaits := submitted("wk-3")
	awaits.Spec.Dependencies = []string{"wk-1"}
	c.schema.active = Form
	ask := func(at time.Duration, in Input) Reply {
		c.Handle(at, in)
		out := c.Advance(at)
		for i := 1; i < 4 && len(outputs[Reply](out)) == 0; i++ {
			out = append(out, barrier(c, at+time.Duration(i)*300*time.Millisecond)...)
		}
		r := outputs[Reply](out)
		if len(r) != 1 {
			t.Fatalf("%+v: %d answers", in, len(r))
		}
		return r[0]
	}
	at := 1200 * time.Millisecond
	for _, x := range []struct {
		real, never Input
		status      int
	}{
		{Poll{Req: 1, ID: "wk-1", By: potter}, Poll{Req: 1, ID: "wk-2", By: potter}, 404},
		{Cancel{Req: 1, ID: "wk-1", By: potter}, Cancel{Req: 1, ID: "wk-2", By: potter}, 404},
		{Submit{Req: 1, ID: "wk-1", Bad: "nonsense", By: potter}, Submit{Req: 1, ID: "wk-2", Bad: "nonsense", By: potter}, 400},
		{as(potter, awaits), as(potter, func() Submit { s := awaits; s.Spec.Dependencies = []string{"wk-2"}; return s }()), 422},
	} {
		at += 2 * time.Second
		c.ownLease.expiresAt = at + time.Minute
		a := ask(at, x.real)
		at += 2 * time.Second
		c.ownLease.expiresAt = at + time.Minute
		b := ask(at, x.never)
		if a.Status != x.status || strings.ReplaceAll(fmt.Sprint(a.Body), "wk-1", "wk-2") != fmt.Sprint(b.Body) || a.Status != b.Status {
			t.Errorf("%T: %+v differs from %+v", x.real, a, b)
		}
	}
	at += 2 * time.Second
	if r := ask(at, Poll{Req: 1, ID: "wk-1", By: anna}); r.Status != 200 {
		t.Errorf("who may read it gets %+v", r)
	}
}

// A new job is written on condition that its user still has the right; one who lost it meanwhile is refused,
// and the job is not accepted.
func TestRightRevokedWhileAJobIsWritten(t *testing.T) {
	c := withRights(t)
	c.Handle(1200*time.Millisecond, as(potter, submitted("wk-1")))
	x := accepted(c.Advance(1200*time.Millisecond), "wk-1")
	if x == nil || !slices.Contains(x.Txn.Compare, wire.Compare{Key: keyWho + "potter", Revision: 10}) || !slices.Contains(x.Txn.Compare, wire.Compare{Key: keyRoles, Revision: 10}) {
		t.Fatalf("got %+v", x)
	}
	raw, err := jobrecord.PackMessage(&pb.Identity{Name: "potter", Keys: []*pb.PublicKey{c.rights.who["potter"].id.Keys[0]}})
	if err != nil {
		t.Fatal(err)
	}
	stream(c, 1300*time.Millisecond, 11, wire.WatchEvent{Put: keyWho + "potter", Value: raw, Revision: 11})
	c.Handle(1300*time.Millisecond, Committed{ID: x.ID, Status: 409, Reply: wire.TxnResponse{Failed: []string{keyWho + "potter"}}})
	out := append(c.Advance(1300*time.Millisecond), barrier(c, 1400*time.Millisecond)...)
	if s := statusOf(t, out); s != 403 || accepted(out, "wk-1") != nil {
		t.Errorf("answered %d", s)
	}
	// A job that was accepted before stays, and is cancelled only by somebody with the right, by name.
	stream(c, 1500*time.Millisecond, 12, event(keyJob+"wk-2", `{"h":0,"u":"potter","s":{"cl":"c","tm":"t","n":1,"rc":[1000,0,1000]}}`, 12))
	c.Advance(1600 * time.Millisecond)
	if c.knownJob("wk-2").final() {
		t.Fatal("a queued job ended with its user's right")
	}
	c.Handle(2*time.Second, Change{Req: 5, By: anna, Who: "potter", Edit: wire.PermissionsEdit{Delete: true, CancelQueued: true}})
	c.Advance(2 * time.Second)
	out = barrier(c, 2100*time.Millisecond)
	var change *Commit
	for _, o := range outputs[Commit](out) {
		if o.Txn.Then[0].Delete == keyWho+"potter" {
			change = &o
		}
	}
	if change == nil || !slices.Contains(change.Txn.Compare, wire.Compare{Key: keyWho + "anna", Revision: 10}) || !slices.Contains(change.Txn.Compare, wire.Compare{Key: keyWho + "potter", Revision: 11}) {
		t.Fatalf("got %+v", out)
	}
	c.Handle(2200*time.Millisecond, Committed{ID: change.ID, Status: 200, Reply: wire.TxnResponse{Revision: 13}})
	out = c.Advance(2200 * time.Millisecond)
	cancelled := slices.ContainsFunc(outputs[Commit](out), func(o Commit) bool {
		return slices.ContainsFunc(o.Txn.Then, func(w wire.Write) bool {
			return w.Put == keyJob+"wk-2" && strings.Contains(string(w.Value), `"st":"c"`)
		}) && slices.Contains(o.Txn.Compare, wire.Compare{Key: keyWho + "anna", Revision: 10})
	})
	if s := statusOf(t, out); s != 200 || !cancelled {
		t.Errorf("answered %d, cancelled %v", s, cancelled)
	}
}

// Rights can't be changed into a state that nobody could change again; everyone may replace their own keys, and
// nothing else.
func TestChangesOfRights(t *testing.T) {
	next := base64.StdEncoding.EncodeToString(append(make([]byte, 31), 9))
	for _, x := range []struct {
		by     Cred
		who    string
		edit   wire.PermissionsEdit
		status int // 0: it is written
	}{
		{anna, "anna", wire.PermissionsEdit{RevokeRoles: []string{"admin"}}, 422},
		{anna, "anna", wire.PermissionsEdit{RevokeKeys: []string{"a1"}}, 422},
		{anna, "pia", wire.PermissionsEdit{GrantRoles: []string{"nothing"}}, 422},
		{anna, "pia", wire.PermissionsEdit{AddKeys: []wire.PublicKey{{ID: "a1", Ed25519: next}}}, 422},
		{anna, "pia", wire.PermissionsEdit{GrantRoles: []string{"visitor"}}, 0},
		{potter, "potter", wire.PermissionsEdit{GrantRoles: []string{"technician"}}, 403},
		{potter, "anna", wire.PermissionsEdit{RevokeKeys: []string{"a1"}}, 403},
		{potter, "potter", wire.PermissionsEdit{AddKeys: []wire.PublicKey{{ID: "p2", Ed25519: next}}, RevokeKeys: []string{"p1"}}, 0},
		{Cred{"potter", "a1"}, "potter", wire.PermissionsEdit{RevokeKeys: []string{"p1"}}, 403},
	} {
		c := withRights(t)
		c.Handle(1200*time.Millisecond, Change{Req: 5, By: x.by, Who: x.who, Edit: x.edit})
		out := append(c.Advance(1200*time.Millisecond), barrier(c, 1300*time.Millisecond)...)
		wrote := slices.ContainsFunc(outputs[Commit](out), func(o Commit) bool { return o.Txn.Then[0].Put == keyWho+x.who })
		if r := outputs[Reply](out); x.status == 0 && (!wrote || len(r) != 0) || x.status != 0 && (wrote || len(r) != 1 || r[0].Status != x.status) {
			t.Errorf("%+v: wrote %v, answered %+v", x, wrote, r)
		}
	}
}
