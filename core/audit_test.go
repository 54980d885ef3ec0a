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

// valueWithEntries is the common part of all stored values that carry audit entries.
type valueWithEntries struct {
	Carried []audit.PendingEntry `json:"e"`
}

var testAuditKey = audit.Key("the key of the tests of the core")

// newAuditingCore returns a serving controller in its first incarnation, with permissions in force and auditing
// enabled.
func newAuditingCore(t *testing.T) *Core {
	t.Helper()
	c := newCoreWithPermissions(t)
	enableAuditing(c, 2*time.Second, 4*time.Second, map[string]string{"idle_ms": "4000"})
	c.Handle(1200*time.Millisecond, schemaDeclarations("n0", "n1", "n2"))
	answerAndCollectWrites(t, c, 1200*time.Millisecond, 1500*time.Millisecond)
	if head := c.auditLog.recorder.Heads()["n0"]; !c.auditLog.recorder.IsStarted() || head.BlockNumber != 1 {
		t.Fatalf("the audit log has not started: %+v", head)
	}
	return c
}

// enableAuditing configures the audit key, the aggregation interval and the block delay of a controller that has not
// recorded anything yet.
func enableAuditing(c *Core, interval, delay time.Duration, settings map[string]string) {
	c.cfg.Audit.Key, c.cfg.Audit.Settings = testAuditKey, settings
	c.cfg.Audit.AggregationInterval, c.cfg.Audit.BlockDelay, c.cfg.Audit.LateTxnWindow = interval, delay, 10*time.Second
	c.auditLog.recorder = newAuditLog(c.environment)
}

// auditEntriesIn returns the entries of all blocks among the writes.
func auditEntriesIn(t *testing.T, writes []wire.Write) (entries []*pb.AuditEntry) {
	t.Helper()
	for _, write := range writes {
		if strings.HasPrefix(write.Put, audit.BlockPrefix) {
			block, err := audit.DecodeBlock(write.Value)
			if err != nil {
				t.Fatal(err)
			}
			entries = append(entries, block.Entries...)
		}
	}
	return entries
}

// auditVerbs returns the verb and object of each entry.
func auditVerbs(entries []*pb.AuditEntry) (out []string) {
	for _, e := range entries {
		out = append(out, e.Verb+" "+e.Object)
	}
	return out
}

// carriedVerbs returns the verbs of the audit entries that the last write of a key carries.
func carriedVerbs(t *testing.T, writes []wire.Write, key string) (verbs []string) {
	t.Helper()
	var value valueWithEntries
	for _, write := range writes {
		if write.Put == key {
			value = valueWithEntries{}
			if err := json.Unmarshal(write.Value, &value); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, pending := range value.Carried {
		entry, err := testAuditKey.VerifyEntry(key, &pending)
		if err != nil {
			t.Fatal(err)
		}
		verbs = append(verbs, entry.Verb)
	}
	return verbs
}

// An audit entry must not cost an additional write: the job's record carries it until it is written to a block,
// which happens exactly once, and the next write of the record drops it.
func TestAuditEntryIsCommittedWithItsChange(t *testing.T) {
	c := newAuditingCore(t)
	c.Handle(1500*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	writes := answerAndCollectWrites(t, c, 1500*time.Millisecond, 2*time.Second)
	if len(writes) != 1 || !slices.Equal(carriedVerbs(t, writes, keyJob+"wk-1"), []string{"submit"}) {
		t.Fatalf("%d writes: %+v", len(writes), writes)
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
	entries := auditEntriesIn(t, writes)
	if got := auditVerbs(entries); !slices.Equal(got, []string{"cancel wk-1"}) ||
		entries[0].Who != "anna" || entries[0].Key != "a1" {
		t.Errorf("blocks hold %v: %+v", got, entries)
	}
}

// The audit entry of a cancellation must not be lost when a write of the record replaces the cancel marker that
// carries it: the record must then carry it.
func TestCancelMarkerCarriesItsAuditEntry(t *testing.T) {
	c, j := newCoreWithLargeRecord(t)
	enableAuditing(c, time.Hour, time.Hour, nil)
	answerAndCollectWrites(t, c, time.Second, 2*time.Second)
	c.Handle(2*time.Second, CancelJob{RequestID: 5, ID: j.id, UnixMS: 77})
	writes := answerAndCollectWrites(t, c, 2*time.Second, 4*time.Second)
	if got := carriedVerbs(t, writes, keyCancel+j.id); !slices.Equal(got, []string{"cancel"}) {
		t.Fatalf("the cancel marker carries %v", got)
	}
	for _, assignment := range j.assignments {
		c.markMachineGone(c.machines[assignment.Machine])
	}
	answerAndCollectWrites(t, c, 4*time.Second, 9*time.Second)
	if len(j.record.PendingAudit) != 1 || j.record.Stage != jobrecord.Cancelled || j.record.Spec != nil {
		t.Errorf("the record carries %+v", j.record.PendingAudit)
	}
}

// Many denials must not flood the store: they are counted in a few entries, and those that are not recorded when an
// outage begins are recorded after it.
func TestDenialsAreAuditedInBatches(t *testing.T) {
	c := newAuditingCore(t)
	for i := range 3000 {
		at := 2*time.Second + time.Duration(i)*time.Millisecond
		if i%100 == 0 {
			c.ownLease.expiresAt = at + time.Minute
			answerAndCollectWrites(t, c, at, at+time.Millisecond)
		}
		c.auditLog.recordDenial(potter, "cancel", fmt.Sprint("wk-", i%5), "no right to cancel it")
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
	c.storeHealth.recordStatus(wire.StatusOK)
	writes := answerAndCollectWrites(t, c, 30*time.Second, 40*time.Second)
	denials, entries := uint32(0), 0
	for _, entry := range auditEntriesIn(t, writes) {
		if entry.Outcome != pb.AuditOutcome_refused {
			t.Errorf("not a denial: %+v", entry)
		}
		entries++
		for _, item := range entry.Items {
			denials += item.Count
		}
	}
	if denials == 0 || denials > 9000 || entries > 3 {
		t.Errorf("%d denials in %d entries", denials, entries)
	}
}

// Reading the audit log must need a permission and be recorded before the response. Further pages of the same
// reader are answered at once and recorded once a minute.
func TestReadIsAuditedBeforeItIsAnswered(t *testing.T) {
	c := newAuditingCore(t)
	read := func(at time.Duration, caller Credential, controller string) (out []Output) {
		c.ownLease.expiresAt = at + time.Minute
		c.Handle(at, ReadAudit{RequestID: 9, Caller: caller, Controller: controller})
		return append(c.Advance(at), completeBarrier(c, at+300*time.Millisecond)...)
	}
	if s := statusOf(t, read(2*time.Second, potter, "")); s != wire.StatusForbidden {
		t.Errorf("a visitor reads the audit log: %d", s)
	}
	// anna has the verb administer, which does not include audit.
	if s := statusOf(t, read(3*time.Second, anna, "")); s != wire.StatusForbidden {
		t.Errorf("an administrator without the verb reads the audit log: %d", s)
	}
	c.permissions.roles.Roles[0].Grants = append(
		c.permissions.roles.Roles[0].Grants,
		&pb.Grant{Verbs: []pb.Verb{pb.Verb_audit}},
	)
	c.permissions.policyStale = true
	answerAndCollectWrites(t, c, 6*time.Second, 18*time.Second)
	out := read(20*time.Second, anna, "")
	commits := outputsOfType[CommitTxn](out)
	if responses := outputsOfType[Response](out); len(responses) != 0 || len(commits) != 1 {
		t.Fatalf("answered before it was recorded: %+v, %d writes", responses, len(commits))
	}
	entries := auditEntriesIn(t, commits[0].Txn.Then)
	if e := entries[len(entries)-1]; e.Items[0].Who != "anna" || e.Items[0].Verb != "audit" {
		t.Errorf("recorded %+v", e)
	}
	c.Handle(
		20500*time.Millisecond,
		TxnResult{ID: commits[0].ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: c.replica.revision + 1}},
	)
	responses := outputsOfType[Response](c.Advance(20500 * time.Millisecond))
	if len(responses) != 1 || responses[0].Status != wire.StatusOK ||
		len(responses[0].Body.(wire.AuditChainHeads).Heads) != 1 {
		t.Fatalf("got %+v", responses)
	}
	if ranges := outputsOfType[ReadRange](read(21*time.Second, anna, "n0")); len(ranges) != 1 ||
		ranges[0].Prefix != audit.BlockPrefix+"n0/" {
		t.Errorf("the next page is not read at once: %+v", ranges)
	}
}

// A controller without the audit key must not act in a cluster that audits, because its changes would not be
// audited: it must serve no request and not renew its lease.
func TestControllerWithoutAuditKeyDoesNotAct(t *testing.T) {
	c := newCoreWithPermissions(t)
	watchEvents(c, 1200*time.Millisecond, 11, event(auditlog.KeyInitialized, "1", 11))
	c.Handle(1200*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	out := c.Advance(5 * time.Second)
	if s := statusOf(t, out); s != wire.StatusUnavailable || c.Healthy() ||
		len(outputsOfType[LeaseRequest](out)) != 0 ||
		len(outputsOfType[CommitTxn](out)) != 0 {
		t.Errorf("answered %d, healthy %v, outputs %+v", s, c.Healthy(), out)
	}
}

// A controller that has the audit key but does not audit yet must make its changes conditional on no other
// controller auditing: otherwise they would not be audited.
func TestNoUnauditedChangeOnceOthersAudit(t *testing.T) {
	c := newCoreWithPermissions(t)
	enableAuditing(c, time.Hour, time.Hour, nil)
	c.schema.active = schemaPermissions
	c.Handle(1200*time.Millisecond, submittedBy(anna, testSubmission("wk-1")))
	accept := findAcceptTxn(c.Advance(1200*time.Millisecond), "wk-1")
	if accept == nil || !slices.Contains(accept.Txn.Compare, wire.Compare{Key: auditlog.KeyInitialized}) {
		t.Errorf("got %+v", accept)
	}
}

// The audit entry of a start must list the changed settings, and the restore of a snapshot must be recorded once.
func TestStartAndRestoreAreAudited(t *testing.T) {
	c := newAuditingCore(t)
	head, err := json.Marshal(c.auditLog.recorder.Heads()["n0"])
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
				event(KeyRestored, `"snapshot of monday"`, 993),
				event(keyLeader, string(c.ownLease.leasedValue(1)), 994),
			}},
		},
	)
	entries := auditEntriesIn(t, answerAndCollectWrites(t, c, 1300*time.Millisecond, 10*time.Second))
	if got := auditVerbs(entries); len(got) != 2 || got[0] != "start n0" || got[1] != "restore state" {
		t.Fatalf("blocks hold %v", got)
	}
	if entries[0].Why != "settings differ: idle_ms 8000, was 4000, spare 1, was unset, gone unset, was x" ||
		entries[0].Life != 2 ||
		entries[1].Why != "snapshot of monday" {
		t.Errorf("got %+v", entries)
	}
}

// An audit entry that was altered before it was in a block must be recorded as forged.
func TestAlteredAuditEntryIsReported(t *testing.T) {
	c := newAuditingCore(t)
	key := auditlog.Prefix + "of/" + "who/potter"
	forged := testAuditKey.SignEntry("n0", key, &pb.AuditEntry{Life: 1, Count: 9, Who: "anna"})
	forged.Incarnation = 2 // there is no such incarnation
	raw, err := json.Marshal(valueWithEntries{[]audit.PendingEntry{forged}})
	if err != nil {
		t.Fatal(err)
	}
	watchEvents(c, 2*time.Second, 1100, event(key, string(raw), 1100))
	entries := auditEntriesIn(t, answerAndCollectWrites(t, c, 2*time.Second, 9*time.Second))
	if len(entries) != 1 || entries[0].Verb != auditlog.VerbForged || entries[0].Object != key {
		t.Errorf("got %+v", entries)
	}
}

// A controller in a crash loop must still write the pending entries of its first incarnation once it can write a
// block. They were lost when the head kept only the last eight incarnations.
func TestNoAuditEntryIsLostInACrashLoop(t *testing.T) {
	key := auditlog.Prefix + "of/" + "who/potter"
	pending, err := json.Marshal(
		valueWithEntries{
			[]audit.PendingEntry{
				testAuditKey.SignEntry(
					"n0",
					key,
					&pb.AuditEntry{Life: 1, Count: 2, Verb: "administer", Object: "potter"},
				),
			},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	head := &audit.Head{}
	for former := range uint64(40) {
		head = &audit.Head{
			BlockNumber:  former + 1,
			MAC:          make([]byte, 32),
			Incarnations: head.WithIncarnation(audit.Incarnation{Number: former + 1, NextSequence: 2}),
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
				event(auditlog.HeadPrefix+"n0", string(raw), 992), event(key, string(pending), 993),
			}},
		},
	)
	writes := answerAndCollectWrites(t, c, 1300*time.Millisecond, 5*time.Second)
	if got := auditVerbs(auditEntriesIn(t, writes)); !slices.Equal(got, []string{"start n0", "administer potter"}) {
		t.Errorf("blocks hold %v", got)
	}
	if n := len(c.auditLog.recorder.Heads()["n0"].Incarnations); n != 41 {
		t.Errorf("%d incarnations are kept", n)
	}
	c.ownLease.expiresAt = time.Minute
	c.auditLog.current().RecordRead("anna", "audit", "audit", func(bool) {})
	answerAndCollectWrites(t, c, 20*time.Second, 25*time.Second)
	if kept := c.auditLog.recorder.Heads()["n0"].Incarnations; len(kept) != 1 || kept[0].Number != 41 {
		t.Errorf("former incarnations are still kept: %+v", kept)
	}
}

// Stopped tasks must be recorded as one event for each cause, which names ranges of tasks and only the first
// machines.
func TestTaskStopsAreAuditedByCause(t *testing.T) {
	var reasons []jobrecord.StopReason
	for i := range 6 {
		reasons = append(reasons, jobrecord.StopReason{Task: i, Machine: fmt.Sprint("m", i), Cause: "silent"})
	}
	reasons = append(reasons, jobrecord.StopReason{Task: 9, Machine: "m1", Cause: "error"})
	events := taskStopEvents("wk-1", reasons)
	if len(events) != 2 || events[0].Reason != "error: 1 tasks on m1: 9" ||
		events[1].Reason != "silent: 6 tasks on m0 m1 m2 and 3 more: 0-5" {
		t.Errorf("got %+v", events)
	}
}
