package core

import (
	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pb "dewlift/proto"
)

// carriedValue is what values with entries have in common.
type carriedValue struct {
	Carried []audit.PendingEntry `json:"e"`
}

var testKey = audit.Key("the key of the tests of the core")

// newAuditingCore is a controller that serves with rights in force and records what is done, in its first life.
func newAuditingCore(t *testing.T) *Core {
	t.Helper()
	c := newCoreWithPermissions(t)
	enableAuditing(c, 2*time.Second, 4*time.Second, map[string]string{"idle_ms": "4000"})
	c.Handle(1200*time.Millisecond, schemaDeclarations("n0", "n1", "n2"))
	answerAndCollectWrites(t, c, 1200*time.Millisecond, 1500*time.Millisecond)
	if h := c.auditLog.Heads()["n0"]; !c.auditLog.IsStarted() || h.BlockNumber != 1 {
		t.Fatalf("its life has not begun: %+v", h)
	}
	return c
}

// enableAuditing gives a controller that has not recorded anything the key of the record.
func enableAuditing(c *Core, gather, block time.Duration, settings map[string]string) {
	c.cfg.Audit.Key, c.cfg.Audit.GatherDelay, c.cfg.Audit.BlockDelay, c.cfg.Audit.ForgetAfter, c.cfg.Audit.Settings = testKey, gather, block, 10*time.Second, settings
	c.auditLog = c.newAuditLog()
}

// auditEntriesIn are the entries of the blocks among writes.
func auditEntriesIn(t *testing.T, writes []wire.Write) (entries []*pb.AuditEntry) {
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

func auditVerbs(entries []*pb.AuditEntry) (out []string) {
	for _, e := range entries {
		out = append(out, e.Verb+" "+e.Object)
	}
	return out
}

// carriedVerbs are the entries that the last write of a key carries.
func carriedVerbs(t *testing.T, writes []wire.Write, key string) (verbs []string) {
	t.Helper()
	var v carriedValue
	for _, w := range writes {
		if w.Put == key {
			v = carriedValue{}
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
func TestAuditEntryIsCommittedWithItsChange(t *testing.T) {
	c := newAuditingCore(t)
	c.Handle(1500*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	writes := answerAndCollectWrites(t, c, 1500*time.Millisecond, 2*time.Second)
	if len(writes) != 1 || !slices.Equal(carriedVerbs(t, writes, keyJob+"wk-1"), []string{"submit"}) {
		t.Fatalf("%d changes: %+v", len(writes), writes)
	}
	writes = answerAndCollectWrites(t, c, 2*time.Second, 8*time.Second)
	if got := auditVerbs(auditEntriesIn(t, writes)); !slices.Equal(got, []string{"submit wk-1"}) {
		t.Errorf("blocks hold %v", got)
	}
	c.Handle(8*time.Second, CancelJob{RequestID: 2, ID: "wk-1", Caller: anna})
	writes = answerAndCollectWrites(t, c, 8*time.Second, 20*time.Second)
	if got := carriedVerbs(t, writes, keyJob+"wk-1"); !slices.Equal(got, []string{"cancel"}) {
		t.Errorf("carries %v", got)
	}
	b := auditEntriesIn(t, writes)
	if got := auditVerbs(b); !slices.Equal(got, []string{"cancel wk-1"}) || b[0].Who != "anna" || b[0].Key != "a1" {
		t.Errorf("blocks hold %v: %+v", got, b)
	}
}

// The mark of a cancellation carries its entry, and the record that replaces the mark carries it on.
func TestCancelMarkerCarriesItsAuditEntry(t *testing.T) {
	c, j := newCoreWithLargeRecord(t)
	enableAuditing(c, time.Hour, time.Hour, nil)
	answerAndCollectWrites(t, c, time.Second, 2*time.Second)
	c.Handle(2*time.Second, CancelJob{RequestID: 5, ID: j.id, UnixMS: 77})
	writes := answerAndCollectWrites(t, c, 2*time.Second, 4*time.Second)
	if got := carriedVerbs(t, writes, keyCancel+j.id); !slices.Equal(got, []string{"cancel"}) {
		t.Fatalf("the mark carries %v", got)
	}
	for _, a := range j.assignments {
		c.markMachineGone(c.machines[a.Machine])
	}
	answerAndCollectWrites(t, c, 4*time.Second, 9*time.Second)
	if len(j.record.PendingAudit) != 1 || j.record.Stage != jobrecord.Cancelled || j.record.Spec != nil {
		t.Errorf("the record carries %+v", j.record.PendingAudit)
	}
}

// Refusals take a block now and then however many there are, are counted whole, and wait out an outage.
func TestDenialsAreAuditedInBatches(t *testing.T) {
	c := newAuditingCore(t)
	for i := range 3000 {
		at := 2*time.Second + time.Duration(i)*time.Millisecond
		if i%100 == 0 {
			c.ownLease.expiresAt = at + time.Minute
			answerAndCollectWrites(t, c, at, at+time.Millisecond)
		}
		c.auditDenial(potter, "cancel", fmt.Sprint("wk-", i%5), "no right to cancel it")
		c.Handle(
			at,
			RequestsDenied{
				Items: []*pb.AuditItem{{Verb: "GET", Object: "/v1/jobs/x", Why: "a token is needed", Count: 2}},
			},
		)
	}
	c.Handle(5*time.Second, TxnResult{ID: 0, Status: wire.StatusUnavailable})
	c.ownLease.expiresAt = 0 // an outage
	if out := outputsOfType[CommitTxn](c.Advance(30 * time.Second)); len(out) != 0 {
		t.Errorf("written without a lease: %+v", out)
	}
	c.ownLease.expiresAt = 3 * time.Minute
	c.recordStoreStatus(wire.StatusOK)
	writes := answerAndCollectWrites(t, c, 30*time.Second, 40*time.Second)
	total, mine := uint32(0), 0
	for _, e := range auditEntriesIn(t, writes) {
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
func TestReadIsAuditedBeforeItIsAnswered(t *testing.T) {
	c := newAuditingCore(t)
	ask := func(at time.Duration, by Credential, node string) (out []Output) {
		c.ownLease.expiresAt = at + time.Minute
		c.Handle(at, ReadAudit{RequestID: 9, Caller: by, Node: node})
		return append(c.Advance(at), completeBarrier(c, at+300*time.Millisecond)...)
	}
	if r := outputsOfType[Response](ask(2*time.Second, potter, "")); len(r) != 1 || r[0].Status != wire.StatusForbidden {
		t.Errorf("the potter reads: %+v", r)
	}
	// Anna may administer, and that is not to audit.
	if r := outputsOfType[Response](ask(3*time.Second, anna, "")); len(r) != 1 || r[0].Status != wire.StatusForbidden {
		t.Errorf("anna reads: %+v", r)
	}
	c.permissions.roles.Roles[0].Grants = append(
		c.permissions.roles.Roles[0].Grants,
		&pb.Grant{Verbs: []pb.Verb{pb.Verb_audit}},
	)
	c.permissions.policyStale = true
	answerAndCollectWrites(t, c, 6*time.Second, 18*time.Second)
	out := ask(20*time.Second, anna, "")
	commits := outputsOfType[CommitTxn](out)
	if r := outputsOfType[Response](out); len(r) != 0 || len(commits) != 1 {
		t.Fatalf("answered before it was recorded: %+v, %d writes", r, len(commits))
	}
	entries := auditEntriesIn(t, commits[0].Txn.Then)
	if e := entries[len(entries)-1]; e.Items[0].Who != "anna" || e.Items[0].Verb != "audit" {
		t.Errorf("recorded %+v", e)
	}
	c.Handle(
		20500*time.Millisecond,
		TxnResult{ID: commits[0].ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: c.replica.revision + 1}},
	)
	r := outputsOfType[Response](c.Advance(20500 * time.Millisecond))
	if len(r) != 1 || r[0].Status != wire.StatusOK || len(r[0].Body.(wire.AuditChainHeads).Heads) != 1 {
		t.Fatalf("got %+v", r)
	}
	if scans := outputsOfType[ReadRange](ask(21*time.Second, anna, "n0")); len(scans) != 1 ||
		scans[0].Prefix != audit.BlockPrefix+"n0/" {
		t.Errorf("the next page waits: %+v", scans)
	}
}

// A controller without the key in a site that records serves nobody, and lets its lease run out.
func TestControllerWithoutAuditKeyDoesNotAct(t *testing.T) {
	c := newCoreWithPermissions(t)
	watchEvents(c, 1200*time.Millisecond, 11, event(auditlog.KeyInitialized, "1", 11))
	c.Handle(1200*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	out := c.Advance(5 * time.Second)
	if s := statusOf(t, out); s != wire.StatusUnavailable || c.Healthy() || len(outputsOfType[LeaseRequest](out)) != 0 ||
		len(outputsOfType[CommitTxn](out)) != 0 {
		t.Errorf("answered %d, healthy %v, did %+v", s, c.Healthy(), out)
	}
}

// One that has the key and does not know yet that others record acts only if they do not.
func TestNoUnauditedChangeOnceOthersAudit(t *testing.T) {
	c := newCoreWithPermissions(t)
	enableAuditing(c, time.Hour, time.Hour, nil)
	c.schema.active = schemaPermissions
	c.Handle(1200*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	w := findAcceptTxn(c.Advance(1200*time.Millisecond), "wk-1")
	if w == nil || !slices.Contains(w.Txn.Compare, wire.Compare{Key: auditlog.KeyInitialized}) {
		t.Errorf("got %+v", w)
	}
}

// A start tells which settings differ, and that a snapshot was restored is told once.
func TestStartAndRestoreAreAudited(t *testing.T) {
	c := newAuditingCore(t)
	head, err := json.Marshal(c.auditLog.Heads()["n0"])
	if err != nil {
		t.Fatal(err)
	}
	c = newCoreWithPermissions(t)
	enableAuditing(c, 2*time.Second, 4*time.Second, map[string]string{"idle_ms": "8000", "spare": "1"})
	c.Handle(1200*time.Millisecond, schemaDeclarations("n0", "n1", "n2"))
	c.Handle(
		1200*time.Millisecond,
		WatchResult{
			LongPoll: true,
			Status:   wire.StatusOK,
			Changes: wire.WatchResponse{Revision: 1000, Events: []wire.WatchEvent{
				event(auditlog.KeyInitialized, "1", 991),
				event(
					auditlog.HeadPrefix+"n0",
					string(head),
					992,
				), event(auditlog.Prefix+"settings/"+"n0", `{"idle_ms":"4000","gone":"x"}`, 992),
				event(KeyRestored, `"snapshot of monday"`, 993), event(keyLeader, string(c.leasedValue(1)), 994),
			}},
		},
	)
	b := auditEntriesIn(t, answerAndCollectWrites(t, c, 1300*time.Millisecond, 10*time.Second))
	if got := auditVerbs(b); len(got) != 2 || got[0] != "start n0" || got[1] != "restore state" {
		t.Fatalf("blocks hold %v", got)
	}
	if b[0].Why != "settings differ: idle_ms 8000, was 4000, spare 1, was unset, gone unset, was x" ||
		b[0].Life != 2 ||
		b[1].Why != "snapshot of monday" {
		t.Errorf("%+v", b)
	}
}

// An entry that was altered before it was in a block is told of.
func TestAlteredAuditEntryIsReported(t *testing.T) {
	c := newAuditingCore(t)
	key := auditlog.Prefix + "of/" + "who/potter"
	forged := testKey.SignEntry("n0", key, &pb.AuditEntry{Life: 1, Count: 9, Who: "anna"})
	forged.Incarnation = 2 // of a life that is not
	raw, err := json.Marshal(carriedValue{[]audit.PendingEntry{forged}})
	if err != nil {
		t.Fatal(err)
	}
	watchEvents(c, 2*time.Second, 1100, event(key, string(raw), 1100))
	b := auditEntriesIn(t, answerAndCollectWrites(t, c, 2*time.Second, 9*time.Second))
	if len(b) != 1 || b[0].Verb != auditlog.VerbForged || b[0].Object != key {
		t.Errorf("got %+v", b)
	}
}

// A controller that is ended time and again before it puts anything into a block still puts what
// its first life has left: when only the last eight lives were kept, that was lost.
func TestNoAuditEntryIsLostInACrashLoop(t *testing.T) {
	key := auditlog.Prefix + "of/" + "who/potter"
	left, err := json.Marshal(
		carriedValue{
			[]audit.PendingEntry{
				testKey.SignEntry("n0", key, &pb.AuditEntry{Life: 1, Count: 2, Verb: "administer", Object: "potter"}),
			},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	head := &audit.Head{}
	for life := range uint64(40) {
		head = &audit.Head{
			BlockNumber:  life + 1,
			MAC:          make([]byte, 32),
			Incarnations: head.WithIncarnation(audit.Incarnation{Number: life + 1, NextSequence: 2}),
		}
	}
	raw, err := json.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	c := newCoreWithPermissions(t)
	enableAuditing(c, time.Hour, time.Hour, nil)
	c.Handle(1200*time.Millisecond, schemaDeclarations("n0", "n1", "n2"))
	c.Handle(
		1200*time.Millisecond,
		WatchResult{
			LongPoll: true,
			Status:   wire.StatusOK,
			Changes: wire.WatchResponse{Revision: 1000, Events: []wire.WatchEvent{
				event(auditlog.KeyInitialized, "1", 991),
				event(auditlog.HeadPrefix+"n0", string(raw), 992), event(key, string(left), 993),
			}},
		},
	)
	if got := auditVerbs(auditEntriesIn(t, answerAndCollectWrites(t, c, 1300*time.Millisecond, 5*time.Second))); !slices.Equal(
		got,
		[]string{"start n0", "administer potter"},
	) {
		t.Errorf("blocks hold %v", got)
	}
	if n := len(c.auditLog.Heads()["n0"].Incarnations); n != 41 {
		t.Errorf("%d lives are kept", n)
	}
	c.ownLease.expiresAt = time.Minute
	c.currentAuditLog().RecordRead("anna", "audit", "audit", func(bool) {})
	answerAndCollectWrites(t, c, 20*time.Second, 25*time.Second)
	if lives := c.auditLog.Heads()["n0"].Incarnations; len(lives) != 1 || lives[0].Number != 41 {
		t.Errorf("former lives are not forgotten: %+v", lives)
	}
}

// What stopped is told by cause, in short.
func TestTaskStopsAreAuditedByCause(t *testing.T) {
	var why []jobrecord.StopReason
	for i := range 6 {
		why = append(why, jobrecord.StopReason{Task: i, Machine: fmt.Sprint("m", i), Cause: "silent"})
	}
	why = append(why, jobrecord.StopReason{Task: 9, Machine: "m1", Cause: "error"})
	acts := taskStopEvents("wk-1", why)
	if len(acts) != 2 || acts[0].Reason != "error: 1 tasks on m1: 9" ||
		acts[1].Reason != "silent: 6 tasks on m0 m1 m2 and 3 more: 0-5" {
		t.Errorf("%+v", acts)
	}
}
