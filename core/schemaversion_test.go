package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/internal/previousversion"
	"dewlift/wire"
)

// storedItems returns keys and values as the previous version wrote them.
func storedItems(t *testing.T) []wire.KeyValue {
	t.Helper()
	raw, err := os.ReadFile("../internal/previousversion/testdata/keys.json")
	if err != nil {
		t.Fatal(err)
	}
	var items []wire.KeyValue
	if err := json.Unmarshal(raw, &items); err != nil {
		t.Fatal(err)
	}
	return items
}

// requireNoErrorLogs fails the test if there is a log line of level error.
func requireNoErrorLogs(t *testing.T, out []Output) {
	t.Helper()
	for _, line := range outputsOfType[LogLine](out) {
		if line.Level == LevelError {
			t.Errorf("%s %v", line.Message, line.Args)
		}
	}
}

// Data stored by the previous version must be readable, and must mean the same to that version after this one has
// written it again: both run at the same time during an upgrade.
func TestReadsDataStoredByPreviousVersion(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.ownership.shards = make([]leasedKey, 6)
	c.Advance(time.Second)
	items := storedItems(t)
	c.Handle(time.Second, SnapshotPage{OK: true, Revision: 1 << 20, Items: items})
	requireNoErrorLogs(t, c.Advance(time.Second))
	jobs, assigned := 0, 0
	for _, item := range items {
		if item.Key[:len(keyJob)] != keyJob {
			continue
		}
		jobs++
		was, err := previousversion.ReadRecord(item.Value)
		if err != nil {
			t.Fatal(err)
		}
		known := c.knownJob(item.Key[len(keyJob):])
		if known == nil || known.unmetDependencies != 0 {
			t.Fatalf("%s is not known, or has unmet dependencies", item.Key)
		}
		want := assignments(t, was)
		was.Groups = nil
		for _, packed := range []bool{false, true} {
			now := readByPreviousVersion(t, c, known, packed)
			if !slices.Equal(want, assignments(t, now)) {
				t.Errorf("%s (packed %v): assignments differ", item.Key, packed)
			}
			assigned += len(want)
			now.Groups = nil
			if !reflect.DeepEqual(was, now) {
				t.Errorf("%s (packed %v): %+v became %+v", item.Key, packed, was, now)
			}
		}
	}
	if jobs < 30 || assigned < 1000 || c.leadership.fencingToken == 0 || c.leadership.leader.modRevision == 0 ||
		c.autoscaler.catalog == nil {
		t.Errorf(
			"%d jobs, %d assignments, fencing token %d, leader %+v",
			jobs,
			assigned,
			c.leadership.fencingToken,
			c.leadership.leader,
		)
	}
}

// readByPreviousVersion returns a job's record as the previous version reads it after this one has encoded it,
// directly or after it was stored packed.
func readByPreviousVersion(t *testing.T, c *Core, known *job, packed bool) *previousversion.Record {
	t.Helper()
	raw, err := c.encodeRecord(known.record, known.assignments, packed)
	if err != nil {
		t.Fatal(err)
	}
	if packed {
		record, err := jobrecord.Decode(raw)
		if err != nil {
			t.Fatalf("%s: %v", known.id, err)
		}
		if raw, err = c.encodeRecord(record, record.ExpandAssignments(c.internMachineInZone), false); err != nil {
			t.Fatal(err)
		}
	}
	read, err := previousversion.ReadRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// assignments returns a record's assignments, ordered by task.
func assignments(t *testing.T, r *previousversion.Record) []previousversion.Assignment {
	t.Helper()
	out, ok := r.Assignments()
	if !ok {
		t.Fatal("the assignments are inconsistent")
	}
	slices.SortFunc(out, func(a, b previousversion.Assignment) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// Messages of the previous version must be read without loss, and mean the same to it after they are encoded again.
func TestReadsMessagesOfPreviousVersion(t *testing.T) {
	raw, err := os.ReadFile("../internal/previousversion/testdata/messages.json")
	if err != nil {
		t.Fatal(err)
	}
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		t.Fatal(err)
	}
	if len(list) < 10 {
		t.Fatalf("%d messages", len(list))
	}
	for _, raw := range list {
		var message Message
		if err := json.Unmarshal(raw, &message); err != nil {
			t.Fatal(err)
		}
		again, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		var was, now previousversion.Message
		if err := json.Unmarshal(raw, &was); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(again, &now); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(was, now) {
			t.Errorf("%s became %s", raw, again)
		}
	}
}

// schemaDeclarations returns a watch result with the declarations of these controllers.
func schemaDeclarations(names ...string) WatchResult {
	in := WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 50}}
	for _, name := range names {
		in.Changes.Events = append(
			in.Changes.Events,
			wire.WatchEvent{
				Put:      keySchemaVersion + name,
				Value:    json.RawMessage(fmt.Sprint(SchemaVersion)),
				Revision: 50,
			},
		)
	}
	return in
}

// A schema version must become active only once every configured controller has declared it, and stay active.
func TestSchemaVersionNeedsEveryController(t *testing.T) {
	c := newServingCore(t)
	declarations := 0
	for _, o := range outputsOfType[CommitTxn](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			if w.Put == keySchemaVersion+"n0" {
				declarations++
			}
		}
	}
	if declarations != 1 {
		t.Errorf("declared %d times", declarations)
	}
	c.Handle(2*time.Second, schemaDeclarations("n0", "n1"))
	c.Handle(100*time.Second, schemaDeclarations("n1", "n9")) // n9 is not configured and does not count
	if c.schema.active != schemaInitial || c.schema.storeWriteRate() != c.cfg.Store.WriteRate {
		t.Error("a new schema version is active without the last declaration")
	}
	dependent := testSubmission("wk-2")
	dependent.Spec.Dependencies = []string{"wk-1"}
	c.Handle(100*time.Second, dependent)
	if responses := outputsOfType[Response](c.Advance(100 * time.Second)); len(responses) != 1 ||
		responses[0].Status != wire.StatusUnavailable || responses[0].RetryAfterSeconds == 0 {
		t.Errorf("dependencies before their schema version: %+v", responses)
	}
	in := schemaDeclarations("n2")
	in.Changes.Revision, in.Changes.Events[0].Revision = 60, 60
	c.Handle(101*time.Second, in)
	if c.schema.active != SchemaVersion {
		t.Error("the schema version is not active")
	}
	// A controller that starts later reads the declarations, even if another one is gone by then.
	late := New(testConfig(), 0, 1)
	late.Advance(time.Second)
	var items []wire.KeyValue
	for _, name := range []string{"n0", "n1", "n2"} {
		items = append(
			items,
			wire.KeyValue{Key: keySchemaVersion + name, Value: json.RawMessage(fmt.Sprint(SchemaVersion)), Revision: 5},
		)
	}
	late.Handle(time.Second, SnapshotPage{OK: true, Revision: 9, Items: items})
	if late.schema.active != SchemaVersion {
		t.Error("a controller that starts later does not know the schema version")
	}
}

// newCoreWithLargeRecord returns a leader with small limits, and a job whose record exceeds the size limit of a
// value, as an older version stored it under larger limits.
func newCoreWithLargeRecord(t *testing.T) (c *Core, large *job) {
	t.Helper()
	c = newLeadingCore(t)
	c.cfg.Store.MaxValueBytes, c.cfg.Store.MaxTxnOps = 2048, 4
	c.Handle(time.Second, schemaDeclarations("n0", "n1", "n2"))
	spec := &wire.JobSpec{Class: "some-class", Team: "t", Tasks: 600, Request: [3]int64{1, 0, 1}}
	record := &jobrecord.Record{Spec: spec, LastAttempt: 600}
	var assignments []jobrecord.Assignment
	// Incarnations and attempts without any order are the worst case for packing.
	for i := range 600 {
		host := c.internMachine(fmt.Sprintf("m-%d", 7919*(i+1)%1_000_000))
		host.identity.zone, host.status.reported, host.identity.machineType = "a", true, "x"
		host.status.incarnation = uint64(1 + c.rng.IntN(1<<30))
		assignments = append(
			assignments,
			jobrecord.Assignment{
				Task:        int32(i),
				Machine:     host.index,
				Incarnation: host.status.incarnation,
				Attempt:     uint64(1 + c.rng.IntN(1<<30)),
			},
		)
	}
	raw, err := c.encodeRecord(record, assignments, false)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(time.Second, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{
		Revision: 90,
		Events:   []wire.WatchEvent{{Put: keyJob + "wk-9", Value: raw, Revision: 90}},
	}})
	return c, c.internJob("wk-9")
}

// answerTxns answers the core's requests as the store does, and sends it a watch result for each write.
// Transactions for which accepts returns false are refused as bad requests.
func answerTxns(c *Core, from, to time.Duration, accepts func(wire.Txn) bool) {
	answerAndObserve(c, from, to, accepts, func(Output) {})
}

// answerAndObserve is answerTxns, and also calls observe with every output.
func answerAndObserve(c *Core, from, to time.Duration, accepts func(wire.Txn) bool, observe func(Output)) {
	revision := max(uint64(1000), c.replica.revision)
	for now := from; now < to; now += 50 * time.Millisecond {
		for _, output := range c.Advance(now) {
			observe(output)
			switch output := output.(type) {
			case CommitTxn:
				if !accepts(output.Txn) {
					c.Handle(now, TxnResult{ID: output.ID, Status: wire.StatusBadRequest})
					continue
				}
				revision++
				var events []wire.WatchEvent
				for _, write := range output.Txn.Then {
					events = append(
						events,
						wire.WatchEvent{Put: write.Put, Delete: write.Delete, Value: write.Value, Revision: revision},
					)
				}
				committed := wire.TxnResponse{Revision: revision}
				c.Handle(now, TxnResult{ID: output.ID, Status: wire.StatusOK, Reply: committed})
				c.Handle(now, WatchResult{
					LongPoll: true,
					Status:   wire.StatusOK,
					Changes:  wire.WatchResponse{Revision: revision, Events: events},
				})
			case Watch:
				if !output.LongPoll {
					c.Handle(now, WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: revision}})
				}
			case LeaseRequest:
				c.Handle(now, LeaseResult{Op: output.Op, Status: wire.StatusOK, LeaseID: c.ownLease.id})
			}
		}
	}
}

// answerAndCollectWrites accepts all transactions, checks that they keep to the limits, and returns their writes.
func answerAndCollectWrites(t *testing.T, c *Core, from, to time.Duration) (writes []wire.Write) {
	t.Helper()
	answerTxns(c, from, to, func(txn wire.Txn) bool {
		for _, write := range txn.Then {
			if len(write.Value) > c.cfg.Store.MaxValueBytes || len(txn.Then) > c.cfg.Store.MaxTxnOps {
				t.Fatalf("%d writes, %s of %d bytes", len(txn.Then), write.Put, len(write.Value))
			}
		}
		writes = append(writes, txn.Then...)
		return true
	})
	return writes
}

// A job whose record fits a value in no encoding must still be cancelled at once, by any controller: with one small
// write that every later reader of the keys understands.
func TestCancelOfARecordTooLargeToWrite(t *testing.T) {
	c, large := newCoreWithLargeRecord(t)
	if large.stored.bytes <= c.cfg.Store.MaxValueBytes {
		t.Fatalf("the record has %d bytes", large.stored.bytes)
	}
	if raw, err := c.encodeRecord(large.record, large.assignments, true); err != nil ||
		len(raw) <= c.cfg.Store.MaxValueBytes {
		t.Fatalf("packed it has %d bytes (%v)", len(raw), err)
	}
	c.Handle(time.Second, CancelJob{RequestID: 5, ID: large.id, UnixMS: 77})
	writes := answerAndCollectWrites(t, c, time.Second, 3*time.Second)
	if !large.isFinal() || len(large.assignments) != 600 ||
		!slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Put == keyCancel+large.id }) {
		t.Fatalf("not cancelled: %+v, %d writes", large.record.Stage, len(writes))
	}
	// Another controller reads the same state, in whichever order the keys arrive.
	stored := func(key string, raw json.RawMessage) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: raw, Revision: 90}
	}
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: large.record.Spec, LastAttempt: 600}, large.assignments, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, items := range [][]wire.KeyValue{
		{stored(keyCancel+large.id, []byte(`{"cm":77}`)), stored(keyJob+large.id, raw)},
		{stored(keyJob+large.id, raw), stored(keyCancel+large.id, []byte(`{"cm":77}`))},
	} {
		other := New(testConfig(), 0, 1)
		other.Handle(time.Second, SnapshotPage{OK: true, Revision: 90, Items: items})
		if o := other.knownJob(large.id); o == nil || !o.isFinal() || o.record.CancelledAtMS != 77 ||
			len(o.assignments) != 600 {
			t.Errorf("another controller does not know of the cancellation")
		}
	}
	// Once its tasks are gone, the record itself is cancelled and the marker is deleted.
	for _, a := range large.assignments {
		c.markMachineGone(c.machines[a.Machine])
	}
	writes = answerAndCollectWrites(t, c, 3*time.Second, 8*time.Second)
	if large.record.Stage != jobrecord.Cancelled || len(large.assignments) != 0 ||
		!slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Delete == keyCancel+large.id }) {
		t.Errorf("the record ended as %+v", large.record)
	}
}

// Ended tasks whose record does not fit a value must be kept in the agents' heartbeats, and a job whose tasks have all
// completed must be done however large its record was.
func TestEndOfARecordTooLargeToWrite(t *testing.T) {
	c, large := newCoreWithLargeRecord(t)
	for i, assignment := range large.assignments {
		host := c.machines[assignment.Machine]
		c.Handle(2*time.Second, AgentHeartbeat{RequestID: 1, Heartbeat: &wire.Heartbeat{
			Machine:      host.name,
			Addr:         "x:1",
			Type:         "x",
			Zone:         "a",
			Incarnation:  host.status.incarnation,
			Sequence:     1,
			FencingToken: 1,
			Tasks: []wire.TaskStatus{
				{
					Task:    wire.TaskName(large.id, int(assignment.Task)),
					Attempt: assignment.Attempt,
					Stage:   wire.TaskExited,
					Cause:   wire.CauseDone,
				},
			},
		}})
		if i%100 == 0 {
			answerAndCollectWrites(t, c, c.now, c.now+200*time.Millisecond)
		}
	}
	answerAndCollectWrites(t, c, c.now, c.now+5*time.Second)
	if large.record.Stage != jobrecord.Done {
		t.Errorf("%d tasks of 600 done", large.record.CompletedTasks.Count())
	}
}

// With small limits, a job of hundreds of tasks must still be placed with one write.
func TestJobOfHundredsUnderSmallLimits(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.cfg.Store.MaxValueBytes = 2048
	c.schema.active = schemaDependencies
	spec := &wire.JobSpec{
		ID:      "wk-1",
		Class:   "some-class",
		Team:    "t",
		Tasks:   500,
		Request: [3]int64{4000, 0, 8900},
		Image:   "an-image",
	}
	large := &proposal{record: &jobrecord.Record{Spec: spec, LastAttempt: 500}, spec: spec}
	for i := range 500 {
		host := c.internMachine(wire.TaskName("m", 100000+(7*i)%500))
		host.identity.zone = []string{"a-zone", "b-zone"}[i%2]
		large.assignments = append(
			large.assignments,
			jobrecord.Assignment{Task: int32(i), Machine: host.index, Incarnation: 1, Attempt: uint64(i + 1)},
		)
	}
	large.started = large.assignments
	raw, err := c.encodeWithinLimit(large)
	if err != nil || len(large.assignments) != 500 || len(raw) > 1700 {
		t.Fatalf("%d of 500 tasks placed in %d bytes (%v)", len(large.assignments), len(raw), err)
	}
	checkKeepsAllAssignments(t, c, raw, large.assignments)
}

// A transaction that the store refuses as too large must not be sent again unchanged, whatever limits are
// configured: it would be refused again and again.
func TestRefusedSizeIsNotRepeated(t *testing.T) {
	c := newLeadingCore(t)
	for i := range 60 {
		heartbeat := testHeartbeat(1)
		heartbeat.Machine = wire.TaskName("m", 100*i)
		c.Handle(time.Second, AgentHeartbeat{RequestID: 9, Heartbeat: heartbeat})
	}
	answerAndCollectWrites(t, c, time.Second, 2*time.Second)
	submission := testSubmission("wk-1")
	submission.Spec.Tasks = 240
	c.Handle(2*time.Second, submission)
	largest, written := 1<<20, 0
	answerTxns(c, 2*time.Second, 12*time.Second, func(txn wire.Txn) bool {
		for _, write := range txn.Then {
			if write.Put != keyJob+"wk-1" {
				continue
			}
			if len(write.Value) <= 600 {
				written++
				continue
			}
			if len(write.Value) >= largest {
				t.Fatalf("%d bytes were refused, and then %d sent", largest, len(write.Value))
			}
			largest = len(write.Value)
			return false
		}
		return true
	})
	if largest > 8192 || written == 0 {
		t.Errorf("the last refused value had %d bytes, %d smaller ones were written", largest, written)
	}
}

// Records without numbers made older entries of slots count as current, so that completed tasks ran again.
func TestGrownListOfPeersKeepsSchemaVersion(t *testing.T) {
	for name, test := range map[string]struct {
		key, value string
		want       int
	}{
		"active version is stored":     {keyActiveSchema, "8", 8},
		"a newer one is stored":        {keyActiveSchema, "99", SchemaVersion},
		"a record is numbered":         {keyJob + "wk-1", `{"h":0,"s":{"uid":"wk-1"},"v":3}`, schemaSharedValues},
		"a record has its queue place": {keyJob + "wk-1", `{"h":0,"nr":7}`, schemaPriorityClasses},
		"nothing shows a version":      {keyJob + "wk-1", `{"h":0}`, schemaInitial},
	} {
		cfg := testConfig()
		cfg.Peers = []string{"n1", "n2", "n3", "n4"}
		c := New(cfg, 0, 1)
		c.Advance(time.Second)
		stored := wire.KeyValue{Key: test.key, Value: json.RawMessage(test.value), Revision: 5}
		page := SnapshotPage{OK: true, Revision: 5, Items: []wire.KeyValue{stored}}
		for _, declared := range []string{"n0", "n1", "n2"} {
			key := keySchemaVersion + declared
			page.Items = append(page.Items, wire.KeyValue{Key: key, Value: json.RawMessage("8"), Revision: 4})
		}
		c.Handle(time.Second, page)
		if c.schema.active != test.want {
			t.Errorf("%s: schema version %d is active, want %d", name, c.schema.active, test.want)
		}
	}
}

// The leader must store the active schema version, and a higher one once all controllers have declared it.
func TestActiveSchemaVersionIsStored(t *testing.T) {
	c := newLeadingCore(t)
	for i, name := range []string{"n0", "n1", "n2"} {
		c.recordSchemaVersion(name, 7+i%2)
	}
	stored := func(now time.Duration) (versions []string) {
		for _, commit := range outputsOfType[CommitTxn](c.Advance(now)) {
			for _, write := range commit.Txn.Then {
				if write.Put == keyActiveSchema {
					versions = append(versions, string(write.Value))
					reply := wire.TxnResponse{Revision: 50}
					c.Handle(now, TxnResult{ID: commit.ID, Status: wire.StatusOK, Reply: reply})
				}
			}
		}
		return versions
	}
	if got := stored(1100 * time.Millisecond); !slices.Equal(got, []string{"7"}) {
		t.Errorf("versions %v are stored, want 7", got)
	}
	c.recordSchemaVersion("n0", 8)
	c.recordSchemaVersion("n2", 8)
	c.ownLease.expiresAt = time.Minute
	if got := stored(3 * time.Second); !slices.Equal(got, []string{"8"}) {
		t.Errorf("versions %v are stored, want 8", got)
	}
	if got := stored(5 * time.Second); len(got) != 0 {
		t.Errorf("versions %v are stored once more", got)
	}
}
