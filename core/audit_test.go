package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	pb "dewlift/proto"
	"dewlift/wire"
)

// carriers is what values with entries have in common.
type carriers struct {
	Carried []audit.PendingEntry `json:"e"`
}

var testKey = audit.Key("the key of the tests of the core")

// recording is a controller that serves with rights in force and records what is done, in its first life.
func recording(t *testing.T) *Core {
	t.Helper()
	c := withRights(t)
	records(c, 2*time.Second, 4*time.Second, map[string]string{"idle_ms": "4000"})
	c.Handle(1200*time.Millisecond, declared("n0", "n1", "n2"))
	follow(t, c, 1200*time.Millisecond, 1500*time.Millisecond)
	if h := c.audit.Heads()["n0"]; !c.audit.IsStarted() || h.BlockNumber != 1 {
		t.Fatalf("its life has not begun: %+v", h)
	}
	return c
}

// records gives a controller that has not recorded anything the key of the record.
func records(c *Core, gather, block time.Duration, settings map[string]string) {
	c.cfg.AuditKey, c.cfg.AuditGather, c.cfg.AuditBlock, c.cfg.AuditForget, c.cfg.Settings = testKey, gather, block, 10*time.Second, settings
	c.audit = c.newRecorder()
}

// blocksOf are the entries of the blocks among writes.
func blocksOf(t *testing.T, writes []wire.Write) (entries []*pb.AuditEntry) {
	t.Helper()
	for _, w := range writes {
		if strings.HasPrefix(w.Put, audit.BlockPrefix) {
			b, err := audit.DecodeBlock(w.Value)
			if err != nil {
				t.Fatal(err)
			}
			entries = append(entries, b.Entries...)
		}
	}
	return entries
}

func verbsOf(entries []*pb.AuditEntry) (out []string) {
	for _, e := range entries {
		out = append(out, e.Verb+" "+e.Object)
	}
	return out
}

// carriedBy are the entries that the last write of a key carries.
func carriedBy(t *testing.T, writes []wire.Write, key string) (verbs []string) {
	t.Helper()
	var v carriers
	for _, w := range writes {
		if w.Put == key {
			v = carriers{}
			if err := json.Unmarshal(w.Value, &v); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, x := range v.Carried {
		e, err := testKey.VerifyEntry(key, &x)
		if err != nil {
			t.Fatal(err)
		}
		verbs = append(verbs, e.Verb)
	}
	return verbs
}

// An entry takes no change of its own: the job's record carries it, it is put into a block once, and what writes the
// record next drops it.
func TestEntryGoesWithItsChange(t *testing.T) {
	c := recording(t)
	c.Handle(1500*time.Millisecond, as(anna, submitted("wk-1")))
	writes := follow(t, c, 1500*time.Millisecond, 2*time.Second)
	if len(writes) != 1 || !slices.Equal(carriedBy(t, writes, keyJob+"wk-1"), []string{"submit"}) {
		t.Fatalf("%d changes: %+v", len(writes), writes)
	}
	writes = follow(t, c, 2*time.Second, 8*time.Second)
	if got := verbsOf(blocksOf(t, writes)); !slices.Equal(got, []string{"submit wk-1"}) {
		t.Errorf("blocks hold %v", got)
	}
	c.Handle(8*time.Second, Cancel{Req: 2, ID: "wk-1", By: anna})
	writes = follow(t, c, 8*time.Second, 20*time.Second)
	if got := carriedBy(t, writes, keyJob+"wk-1"); !slices.Equal(got, []string{"cancel"}) {
		t.Errorf("carries %v", got)
	}
	b := blocksOf(t, writes)
	if got := verbsOf(b); !slices.Equal(got, []string{"cancel wk-1"}) || b[0].Who != "anna" || b[0].Key != "a1" {
		t.Errorf("blocks hold %v: %+v", got, b)
	}
}

// The mark of a cancellation carries its entry, and the record that replaces the mark carries it on.
func TestMarkOfACancellationCarriesItsEntry(t *testing.T) {
	c, j := small(t)
	records(c, time.Hour, time.Hour, nil)
	follow(t, c, time.Second, 2*time.Second)
	c.Handle(2*time.Second, Cancel{Req: 5, ID: j.id, UnixMS: 77})
	writes := follow(t, c, 2*time.Second, 4*time.Second)
	if got := carriedBy(t, writes, keyCancel+j.id); !slices.Equal(got, []string{"cancel"}) {
		t.Fatalf("the mark carries %v", got)
	}
	for _, a := range j.place {
		c.markGone(c.machines[a.Machine])
	}
	follow(t, c, 4*time.Second, 9*time.Second)
	if len(j.rec.PendingAudit) != 1 || j.rec.Stage != jobrecord.Cancelled || j.rec.Spec != nil {
		t.Errorf("the record carries %+v", j.rec.PendingAudit)
	}
}

// Refusals take a block now and then however many there are, are counted whole, and wait out an outage.
func TestRefusalsAreGathered(t *testing.T) {
	c := recording(t)
	for i := range 3000 {
		at := 2*time.Second + time.Duration(i)*time.Millisecond
		if i%100 == 0 {
			c.ownLease.expiresAt = at + time.Minute
			follow(t, c, at, at+time.Millisecond)
		}
		c.refusedAct(potter, "cancel", fmt.Sprint("wk-", i%5), "no right to cancel it")
		c.Handle(at, Refused{Items: []*pb.AuditItem{{Verb: "GET", Object: "/v1/jobs/x", Why: "a token is needed", Count: 2}}})
	}
	c.Handle(5*time.Second, Committed{ID: 0, Status: 503})
	c.ownLease.expiresAt = 0 // an outage
	if out := outputs[Commit](c.Advance(30 * time.Second)); len(out) != 0 {
		t.Errorf("written without a lease: %+v", out)
	}
	c.ownLease.expiresAt = 3 * time.Minute
	c.stateAnswered(200)
	writes := follow(t, c, 30*time.Second, 40*time.Second)
	total, mine := uint32(0), 0
	for _, e := range blocksOf(t, writes) {
		if e.Outcome != pb.AuditOutcome_refused {
			t.Errorf("%+v", e)
		}
		mine++
		for _, it := range e.Items {
			total += it.Count
		}
	}
	if total == 0 || total > 9000 || mine > 3 {
		t.Errorf("%d refusals in %d entries", total, mine)
	}
}

// Reading is a right, and recorded before the answer is given; page after page, once a minute.
func TestReadingIsRecordedFirst(t *testing.T) {
	c := recording(t)
	ask := func(at time.Duration, by Cred, node string) (out []Output) {
		c.ownLease.expiresAt = at + time.Minute
		c.Handle(at, ReadAudit{Req: 9, By: by, Node: node})
		return append(c.Advance(at), barrier(c, at+300*time.Millisecond)...)
	}
	if r := outputs[Reply](ask(2*time.Second, potter, "")); len(r) != 1 || r[0].Status != 403 {
		t.Errorf("the potter reads: %+v", r)
	}
	// Anna may administer, and that is not to audit.
	if r := outputs[Reply](ask(3*time.Second, anna, "")); len(r) != 1 || r[0].Status != 403 {
		t.Errorf("anna reads: %+v", r)
	}
	c.rights.roles.Roles[0].Grants = append(c.rights.roles.Roles[0].Grants, &pb.Grant{Verbs: []pb.Verb{pb.Verb_audit}})
	c.rights.stale = true
	follow(t, c, 6*time.Second, 18*time.Second)
	out := ask(20*time.Second, anna, "")
	commits := outputs[Commit](out)
	if r := outputs[Reply](out); len(r) != 0 || len(commits) != 1 {
		t.Fatalf("answered before it was recorded: %+v, %d writes", r, len(commits))
	}
	entries := blocksOf(t, commits[0].Txn.Then)
	if e := entries[len(entries)-1]; e.Items[0].Who != "anna" || e.Items[0].Verb != "audit" {
		t.Errorf("recorded %+v", e)
	}
	c.Handle(20500*time.Millisecond, Committed{ID: commits[0].ID, Status: 200, Reply: wire.TxnResponse{Revision: c.replica.revision + 1}})
	r := outputs[Reply](c.Advance(20500 * time.Millisecond))
	if len(r) != 1 || r[0].Status != 200 || len(r[0].Body.(wire.AuditChainHeads).Heads) != 1 {
		t.Fatalf("got %+v", r)
	}
	if scans := outputs[Scan](ask(21*time.Second, anna, "n0")); len(scans) != 1 || scans[0].Prefix != audit.BlockPrefix+"n0/" {
		t.Errorf("the next page waits: %+v", scans)
	}
}

// A controller without the key in a site that records serves nobody, and lets its lease run out.
func TestWithoutTheKeyNothingIsDone(t *testing.T) {
	c := withRights(t)
	stream(c, 1200*time.Millisecond, 11, event(auditlog.KeyInitialized, "1", 11))
	c.Handle(1200*time.Millisecond, as(anna, submitted("wk-1")))
	out := c.Advance(5 * time.Second)
	if s := statusOf(t, out); s != 503 || c.Healthy() || len(outputs[LeaseOp](out)) != 0 || len(outputs[Commit](out)) != 0 {
		t.Errorf("answered %d, healthy %v, did %+v", s, c.Healthy(), out)
	}
}

// One that has the key and does not know yet that others record acts only if they do not.
func TestNothingIsDoneUnrecordedOnceOthersRecord(t *testing.T) {
	c := withRights(t)
	records(c, time.Hour, time.Hour, nil)
	c.schema.active = formAccess
	c.Handle(1200*time.Millisecond, as(anna, submitted("wk-1")))
	w := accepted(c.Advance(1200*time.Millisecond), "wk-1")
	if w == nil || !slices.Contains(w.Txn.Compare, wire.Compare{Key: auditlog.KeyInitialized}) {
		t.Errorf("got %+v", w)
	}
}

// A start tells which settings differ, and that a snapshot was restored is told once.
func TestStartAndRestoreAreRecorded(t *testing.T) {
	c := recording(t)
	head, err := json.Marshal(c.audit.Heads()["n0"])
	if err != nil {
		t.Fatal(err)
	}
	c = withRights(t)
	records(c, 2*time.Second, 4*time.Second, map[string]string{"idle_ms": "8000", "spare": "1"})
	c.Handle(1200*time.Millisecond, declared("n0", "n1", "n2"))
	c.Handle(1200*time.Millisecond, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 1000, Events: []wire.WatchEvent{event(auditlog.KeyInitialized, "1", 991),
		event(auditlog.HeadPrefix+"n0", string(head), 992), event(auditlog.Prefix+"settings/"+"n0", `{"idle_ms":"4000","gone":"x"}`, 992),
		event(KeyRestored, `"snapshot of monday"`, 993), event(keyLeader, string(c.heldValue(1)), 994)}}})
	b := blocksOf(t, follow(t, c, 1300*time.Millisecond, 10*time.Second))
	if got := verbsOf(b); len(got) != 2 || got[0] != "start n0" || got[1] != "restore state" {
		t.Fatalf("blocks hold %v", got)
	}
	if b[0].Why != "settings differ: idle_ms 8000, was 4000, spare 1, was unset, gone unset, was x" || b[0].Life != 2 || b[1].Why != "snapshot of monday" {
		t.Errorf("%+v", b)
	}
}

// An entry that was altered before it was in a block is told of.
func TestAlteredEntryIsTold(t *testing.T) {
	c := recording(t)
	key := auditlog.Prefix + "of/" + "who/potter"
	forged := testKey.SignEntry("n0", key, &pb.AuditEntry{Life: 1, Count: 9, Who: "anna"})
	forged.Incarnation = 2 // of a life that is not
	raw, err := json.Marshal(carriers{[]audit.PendingEntry{forged}})
	if err != nil {
		t.Fatal(err)
	}
	stream(c, 2*time.Second, 1100, event(key, string(raw), 1100))
	b := blocksOf(t, follow(t, c, 2*time.Second, 9*time.Second))
	if len(b) != 1 || b[0].Verb != auditlog.VerbForged || b[0].Object != key {
		t.Errorf("got %+v", b)
	}
}

// A controller that is ended time and again before it puts anything into a block still puts what its first life has left:
// when only the last eight lives were kept, that was lost.
func TestNoEntryIsLostInALoopOfCrashes(t *testing.T) {
	key := auditlog.Prefix + "of/" + "who/potter"
	left, err := json.Marshal(carriers{[]audit.PendingEntry{testKey.SignEntry("n0", key, &pb.AuditEntry{Life: 1, Count: 2, Verb: "administer", Object: "potter"})}})
	if err != nil {
		t.Fatal(err)
	}
	head := &audit.Head{}
	for life := range uint64(40) {
		head = &audit.Head{BlockNumber: life + 1, MAC: make([]byte, 32), Incarnations: head.WithIncarnation(audit.Incarnation{Number: life + 1, NextSequence: 2})}
	}
	raw, err := json.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	c := withRights(t)
	records(c, time.Hour, time.Hour, nil)
	c.Handle(1200*time.Millisecond, declared("n0", "n1", "n2"))
	c.Handle(1200*time.Millisecond, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 1000, Events: []wire.WatchEvent{event(auditlog.KeyInitialized, "1", 991),
		event(auditlog.HeadPrefix+"n0", string(raw), 992), event(key, string(left), 993)}}})
	if got := verbsOf(blocksOf(t, follow(t, c, 1300*time.Millisecond, 5*time.Second))); !slices.Equal(got, []string{"start n0", "administer potter"}) {
		t.Errorf("blocks hold %v", got)
	}
	if n := len(c.audit.Heads()["n0"].Incarnations); n != 41 {
		t.Errorf("%d lives are kept", n)
	}
	c.ownLease.expiresAt = time.Minute
	c.recorder().RecordRead("anna", "audit", "audit", func(bool) {})
	follow(t, c, 20*time.Second, 25*time.Second)
	if lives := c.audit.Heads()["n0"].Incarnations; len(lives) != 1 || lives[0].Number != 41 {
		t.Errorf("former lives are not forgotten: %+v", lives)
	}
}

// What stopped is told by cause, in short.
func TestStopsAreToldByCause(t *testing.T) {
	var why []jobrecord.StopReason
	for i := range 6 {
		why = append(why, jobrecord.StopReason{Task: i, Machine: fmt.Sprint("m", i), Cause: "silent"})
	}
	why = append(why, jobrecord.StopReason{Task: 9, Machine: "m1", Cause: "error"})
	acts := stopsOf("wk-1", why)
	if len(acts) != 2 || acts[0].Reason != "error: 1 tasks on m1: 9" || acts[1].Reason != "silent: 6 tasks on m0 m1 m2 and 3 more: 0-5" {
		t.Errorf("%+v", acts)
	}
}
