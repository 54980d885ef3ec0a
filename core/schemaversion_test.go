package core

import (
	"cmp"
	"dewlift/core/jobrecord"
	"dewlift/internal/previousversion"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"
)

// storedItems are keys as the version in production wrote them.
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

func requireNoErrorLogs(t *testing.T, out []Output) {
	t.Helper()
	for _, n := range outputsOfType[LogLine](out) {
		if n.Level == LevelError {
			t.Errorf("%s %v", n.Message, n.Args)
		}
	}
}

// All that the version in production stored is read for ever, and written again it says the same
// in its terms.
func TestReadsDataStoredByPreviousVersion(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.ownership.shards = make([]leasedKey, 6)
	c.Advance(time.Second)
	items := storedItems(t)
	c.Handle(time.Second, SnapshotPage{OK: true, Revision: 1 << 20, Items: items})
	requireNoErrorLogs(t, c.Advance(time.Second))
	jobs, assigned := 0, 0
	for _, it := range items {
		if it.Key[:len(keyJob)] != keyJob {
			continue
		}
		jobs++
		was, err := previousversion.ReadRecord(it.Value)
		if err != nil {
			t.Fatal(err)
		}
		j := c.knownJob(it.Key[len(keyJob):])
		if j == nil || j.unmetDependencies != 0 {
			t.Fatalf("%s is not known, or waits", it.Key)
		}
		want := assignments(t, was)
		was.Groups = nil
		for _, packed := range []bool{false, true} {
			raw, err := c.encodeRecord(j.record, j.assignments, packed)
			if err != nil {
				t.Fatal(err)
			}
			if packed { // back through the packed form
				r, err := jobrecord.Decode(raw)
				if err != nil {
					t.Fatalf("%s: %v", it.Key, err)
				}
				if raw, err = c.encodeRecord(r, r.ExpandAssignments(c.internMachineInZone), false); err != nil {
					t.Fatal(err)
				}
			}
			now, err := previousversion.ReadRecord(raw)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(want, assignments(t, now)) {
				t.Errorf("%s (packed %v): assignments differ", it.Key, packed)
			}
			assigned += len(want)
			now.Groups = nil
			if !reflect.DeepEqual(was, now) {
				t.Errorf("%s (packed %v): %+v became %+v", it.Key, packed, was, now)
			}
		}
	}
	if jobs < 30 || assigned < 1000 || c.leadership.fencingToken == 0 || c.leadership.leader.mark == 0 ||
		c.autoscaler.catalog == nil {
		t.Errorf(
			"%d jobs, %d assignments, epoch %d, leader %+v",
			jobs,
			assigned,
			c.leadership.fencingToken,
			c.leadership.leader,
		)
	}
}

func assignments(t *testing.T, r *previousversion.Record) []previousversion.Assignment {
	t.Helper()
	out, ok := r.Assignments()
	if !ok {
		t.Fatal("assignments do not fit together")
	}
	slices.SortFunc(out, func(a, b previousversion.Assignment) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// Messages of the old version are read whole, and ours say the same in its terms.
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
		var m Message
		if err := json.Unmarshal(raw, &m); err != nil {
			t.Fatal(err)
		}
		again, err := json.Marshal(m)
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

// schemaDeclarations are the declarations of these controllers.
func schemaDeclarations(names ...string) WatchResult {
	in := WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 50}}
	for _, n := range names {
		in.Changes.Events = append(
			in.Changes.Events,
			wire.WatchEvent{
				Put:      keySchemaVersion + n,
				Value:    json.RawMessage(fmt.Sprint(SchemaVersion)),
				Revision: 50,
			},
		)
	}
	return in
}

// New forms begin once every configured controller has declared them, not before, and they stay.
func TestSchemaVersionNeedsEveryController(t *testing.T) {
	c := newServingCore(t)
	wrote := 0
	for _, o := range outputsOfType[CommitTxn](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			if w.Put == keySchemaVersion+"n0" {
				wrote++
			}
		}
	}
	if wrote != 1 {
		t.Errorf("declared %d times", wrote)
	}
	c.Handle(2*time.Second, schemaDeclarations("n0", "n1"))
	c.Handle(100*time.Second, schemaDeclarations("n1", "n9")) // one that is not configured counts for nothing
	if c.schemaVersion() != schemaInitial || c.storeWriteRate() != c.cfg.Store.WriteRate {
		t.Error("a new form begins without the last controller's word")
	}
	awaits := testSubmission("wk-2")
	awaits.Spec.Dependencies = []string{"wk-1"}
	c.Handle(100*time.Second, awaits)
	if r := outputsOfType[Response](c.Advance(100 * time.Second)); len(r) != 1 || r[0].Status != wire.StatusUnavailable ||
		r[0].RetryAfterSeconds == 0 {
		t.Errorf("awaits before the form: %+v", r)
	}
	in := schemaDeclarations("n2")
	in.Changes.Revision, in.Changes.Events[0].Revision = 60, 60
	c.Handle(101*time.Second, in)
	if c.schemaVersion() != SchemaVersion {
		t.Error("the form does not begin")
	}
	// A controller that starts later, while another is long gone, reads it.
	late := New(testConfig(), 0, 1)
	late.Advance(time.Second)
	var items []wire.KeyValue
	for _, n := range []string{"n0", "n1", "n2"} {
		items = append(
			items,
			wire.KeyValue{Key: keySchemaVersion + n, Value: json.RawMessage(fmt.Sprint(SchemaVersion)), Revision: 5},
		)
	}
	late.Handle(time.Second, SnapshotPage{OK: true, Revision: 9, Items: items})
	if late.schemaVersion() != SchemaVersion {
		t.Error("a controller that starts later does not know the form")
	}
}

// newCoreWithLargeRecord is a controller that leads under the limits to come, with a job that the old version
// stored under larger ones: its record is larger than a value may be now.
func newCoreWithLargeRecord(t *testing.T) (c *Core, j *job) {
	t.Helper()
	c = newLeadingCore(t)
	c.cfg.Store.MaxValueBytes, c.cfg.Store.MaxTxnOps = 2048, 4
	c.Handle(time.Second, schemaDeclarations("n0", "n1", "n2"))
	spec := &wire.JobSpec{Class: "some-class", Team: "t", Tasks: 600, Request: [3]int64{1, 0, 1}}
	rec := &jobrecord.Record{Spec: spec, LastAttempt: 600}
	var place []jobrecord.Assignment
	// The worst for packing: sessions and attempts without any order.
	for i := range 600 {
		m := c.internMachine(fmt.Sprintf("m-%d", 7919*(i+1)%1_000_000))
		m.identity.zone, m.status.reported, m.identity.machineType = "a", true, "x"
		m.status.incarnation = uint64(1 + c.rng.IntN(1<<30))
		place = append(
			place,
			jobrecord.Assignment{
				Task:        int32(i),
				Machine:     m.index,
				Incarnation: m.status.incarnation,
				Attempt:     uint64(1 + c.rng.IntN(1<<30)),
			},
		)
	}
	raw, err := c.encodeRecord(rec, place, false)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(time.Second, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{
		Revision: 90,
		Events:   []wire.WatchEvent{{Put: keyJob + "wk-9", Value: raw, Revision: 90}},
	}})
	return c, c.internJob("wk-9")
}

// answerTxns answers the core's writes like the state service and tells it of them; those that takes
// refuses are refused as too large.
func answerTxns(c *Core, from, to time.Duration, takes func(wire.Txn) bool) {
	ledger := max(uint64(1000), c.replica.revision)
	for now := from; now < to; now += 50 * time.Millisecond {
		for _, o := range c.Advance(now) {
			switch o := o.(type) {
			case CommitTxn:
				if !takes(o.Txn) {
					c.Handle(now, TxnResult{ID: o.ID, Status: wire.StatusBadRequest})
					continue
				}
				ledger++
				var log []wire.WatchEvent
				for _, w := range o.Txn.Then {
					log = append(log, wire.WatchEvent{Put: w.Put, Delete: w.Delete, Value: w.Value, Revision: ledger})
				}
				c.Handle(now, TxnResult{ID: o.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: ledger}})
				c.Handle(now, WatchResult{
					LongPoll: true,
					Status:   wire.StatusOK,
					Changes:  wire.WatchResponse{Revision: ledger, Events: log},
				})
			case Watch:
				if !o.LongPoll {
					c.Handle(now, WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: ledger}})
				}
			case LeaseRequest:
				c.Handle(now, LeaseResult{Op: o.Op, Status: wire.StatusOK, LeaseID: c.ownLease.id})
			}
		}
	}
}

// answerAndCollectWrites answers all writes, which must keep to the limits, and returns them.
func answerAndCollectWrites(t *testing.T, c *Core, from, to time.Duration) (writes []wire.Write) {
	t.Helper()
	answerTxns(c, from, to, func(x wire.Txn) bool {
		for _, w := range x.Then {
			if len(w.Value) > c.cfg.Store.MaxValueBytes || len(x.Then) > c.cfg.Store.MaxTxnOps {
				t.Fatalf("%d changes, %s of %d bytes", len(x.Then), w.Put, len(w.Value))
			}
		}
		writes = append(writes, x.Then...)
		return true
	})
	return writes
}

// A record that no form makes fit must still see its cancellation: at once, by any controller,
// as one small write, and known to everyone who reads the keys later.
func TestCancelOfARecordTooLargeToWrite(t *testing.T) {
	c, j := newCoreWithLargeRecord(t)
	if j.stored.bytes <= c.cfg.Store.MaxValueBytes {
		t.Fatalf("the record has %d bytes", j.stored.bytes)
	}
	if raw, err := c.encodeRecord(j.record, j.assignments, true); err != nil || len(raw) <= c.cfg.Store.MaxValueBytes {
		t.Fatalf("packed it has %d bytes (%v)", len(raw), err)
	}
	c.Handle(time.Second, CancelJob{RequestID: 5, ID: j.id, UnixMS: 77})
	writes := answerAndCollectWrites(t, c, time.Second, 3*time.Second)
	if !j.isFinal() || len(j.assignments) != 600 ||
		!slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Put == keyCancel+j.id }) {
		t.Fatalf("not cancelled: %+v, %d writes", j.record.Stage, len(writes))
	}
	// Another controller reads it the same, in whatever order the keys come.
	mark := func(key string, raw json.RawMessage) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: raw, Revision: 90}
	}
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: j.record.Spec, LastAttempt: 600}, j.assignments, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, items := range [][]wire.KeyValue{
		{mark(keyCancel+j.id, []byte(`{"cm":77}`)), mark(keyJob+j.id, raw)},
		{mark(keyJob+j.id, raw), mark(keyCancel+j.id, []byte(`{"cm":77}`))},
	} {
		other := New(testConfig(), 0, 1)
		other.Handle(time.Second, SnapshotPage{OK: true, Revision: 90, Items: items})
		if o := other.knownJob(j.id); o == nil || !o.isFinal() || o.record.CancelledAtMS != 77 ||
			len(o.assignments) != 600 {
			t.Errorf("another controller does not know of the cancellation")
		}
	}
	// Once its tasks are gone, the record says so itself and the mark goes.
	for _, a := range j.assignments {
		c.markMachineGone(c.machines[a.Machine])
	}
	writes = answerAndCollectWrites(t, c, 3*time.Second, 8*time.Second)
	if j.record.Stage != jobrecord.Cancelled || len(j.assignments) != 0 ||
		!slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Delete == keyCancel+j.id }) {
		t.Errorf("the record ended as %+v", j.record)
	}
}

// Ends that do not fit a value wait in the machines' reports, and a job whose tasks are all over
// is done whatever its record was.
func TestEndOfARecordTooLargeToWrite(t *testing.T) {
	c, j := newCoreWithLargeRecord(t)
	for i, a := range j.assignments {
		m := c.machines[a.Machine]
		c.Handle(2*time.Second, AgentHeartbeat{RequestID: 1, Heartbeat: &wire.Heartbeat{
			Machine:      m.name,
			Addr:         "x:1",
			Type:         "x",
			Zone:         "a",
			Incarnation:  m.status.incarnation,
			Sequence:     1,
			FencingToken: 1,
			Tasks: []wire.TaskStatus{
				{
					Task:    wire.TaskName(j.id, int(a.Task)),
					Attempt: a.Attempt,
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
	if j.record.Stage != jobrecord.Done {
		t.Errorf("%d tasks of 600 done", j.record.CompletedTasks.Count())
	}
}

// Under the limits to come, a job of hundreds of tasks is still placed at once.
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
	p := &proposal{record: &jobrecord.Record{Spec: spec, LastAttempt: 500}, spec: spec}
	for i := 0; i < 500; i++ {
		m := c.internMachine(wire.TaskName("m", 100000+(7*i)%500))
		m.identity.zone = []string{"a-zone", "b-zone"}[i%2]
		p.assignments = append(
			p.assignments,
			jobrecord.Assignment{Task: int32(i), Machine: m.index, Incarnation: 1, Attempt: uint64(i + 1)},
		)
	}
	p.started = p.assignments
	raw, err := c.encodeWithinLimit(p)
	if err != nil || len(p.assignments) != 500 || len(raw) > 1700 {
		t.Fatalf("%d of 500 tasks placed in %d bytes (%v)", len(p.assignments), len(raw), err)
	}
	checkKeepsAllAssignments(t, c, raw, p.assignments)
}

// A transaction that the service refuses as too large is not sent again as it was, whatever the
// settings say.
func TestRefusedSizeIsNotRepeated(t *testing.T) {
	c := newLeadingCore(t)
	for i := range 60 {
		r := testHeartbeat(1)
		r.Machine = wire.TaskName("m", 100*i)
		c.Handle(time.Second, AgentHeartbeat{RequestID: 9, Heartbeat: r})
	}
	answerAndCollectWrites(t, c, time.Second, 2*time.Second)
	in := testSubmission("wk-1")
	in.Spec.Tasks = 240
	c.Handle(2*time.Second, in)
	largest, written := 1<<20, 0
	answerTxns(c, 2*time.Second, 12*time.Second, func(t1 wire.Txn) bool {
		for _, w := range t1.Then {
			if w.Put != keyJob+"wk-1" {
				continue
			}
			if len(w.Value) <= 600 {
				written++
				continue
			}
			if len(w.Value) >= largest {
				t.Fatalf("%d bytes were refused, and then %d sent", largest, len(w.Value))
			}
			largest = len(w.Value)
			return false
		}
		return true
	})
	if largest > 8192 || written == 0 {
		t.Errorf("the last one refused had %d bytes, %d smaller ones were written", largest, written)
	}
}
