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

// stored are keys as the version in production wrote them.
func stored(t *testing.T) []wire.KeyValue {
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

func noErrors(t *testing.T, out []Output) {
	t.Helper()
	for _, n := range outputs[Note](out) {
		if n.Level == "error" {
			t.Errorf("%s %v", n.Text, n.Args)
		}
	}
}

// All that the version in production stored is read for ever, and written again it says the same
// in its terms.
func TestReadsWhatProductionStored(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.ownership.shards = make([]held, 6)
	c.Advance(time.Second)
	items := stored(t)
	c.Handle(time.Second, Loaded{OK: true, Ledger: 1 << 20, Items: items})
	noErrors(t, c.Advance(time.Second))
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
		if j == nil || j.waits != 0 {
			t.Fatalf("%s is not known, or waits", it.Key)
		}
		want := assignments(t, was)
		was.Groups = nil
		for _, packed := range []bool{false, true} {
			raw, err := c.encodeRecord(j.rec, j.place, packed)
			if err != nil {
				t.Fatal(err)
			}
			if packed { // back through the packed form
				r, err := jobrecord.Decode(raw)
				if err != nil {
					t.Fatalf("%s: %v", it.Key, err)
				}
				if raw, err = c.encodeRecord(r, r.ExpandAssignments(c.seat), false); err != nil {
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
	if jobs < 30 || assigned < 1000 || c.leadership.fencingToken == 0 || c.leadership.leader.mark == 0 || c.autoscaler.catalog == nil {
		t.Errorf("%d jobs, %d assignments, epoch %d, leader %+v", jobs, assigned, c.leadership.fencingToken, c.leadership.leader)
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
func TestReadsWhatProductionSends(t *testing.T) {
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
		var m Msg
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

// declared are the declarations of these controllers.
func declared(names ...string) Changed {
	in := Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 50}}
	for _, n := range names {
		in.Changes.Events = append(in.Changes.Events, wire.WatchEvent{Put: keyForm + n, Value: json.RawMessage(fmt.Sprint(Form)), Revision: 50})
	}
	return in
}

// New forms begin once every configured controller has declared them, not before, and they stay.
func TestFormNeedsEveryController(t *testing.T) {
	c := serving(t)
	wrote := 0
	for _, o := range outputs[Commit](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			if w.Put == keyForm+"n0" {
				wrote++
			}
		}
	}
	if wrote != 1 {
		t.Errorf("declared %d times", wrote)
	}
	c.Handle(2*time.Second, declared("n0", "n1"))
	c.Handle(100*time.Second, declared("n1", "n9")) // one that is not configured counts for nothing
	if c.form() != formFirst || c.writeRPS() != c.cfg.WriteRPS {
		t.Error("a new form begins without the last controller's word")
	}
	awaits := submitted("wk-2")
	awaits.Spec.Dependencies = []string{"wk-1"}
	c.Handle(100*time.Second, awaits)
	if r := outputs[Reply](c.Advance(100 * time.Second)); len(r) != 1 || r[0].Status != 503 || r[0].RetryAfter == 0 {
		t.Errorf("awaits before the form: %+v", r)
	}
	in := declared("n2")
	in.Changes.Revision, in.Changes.Events[0].Revision = 60, 60
	c.Handle(101*time.Second, in)
	if c.form() != Form {
		t.Error("the form does not begin")
	}
	// A controller that starts later, while another is long gone, reads it.
	late := New(testConfig(), 0, 1)
	late.Advance(time.Second)
	var items []wire.KeyValue
	for _, n := range []string{"n0", "n1", "n2"} {
		items = append(items, wire.KeyValue{Key: keyForm + n, Value: json.RawMessage(fmt.Sprint(Form)), Revision: 5})
	}
	late.Handle(time.Second, Loaded{OK: true, Ledger: 9, Items: items})
	if late.form() != Form {
		t.Error("a controller that starts later does not know the form")
	}
}

// small is a controller that leads under the limits to come, with a job that the old version
// stored under larger ones: its record is larger than a value may be now.
func small(t *testing.T) (c *Core, j *job) {
	t.Helper()
	c = leading(t)
	c.cfg.ValueBytes, c.cfg.TxnOps = 2048, 4
	c.Handle(time.Second, declared("n0", "n1", "n2"))
	spec := &wire.JobSpec{Class: "some-class", Team: "t", Tasks: 600, Request: [3]int64{1, 0, 1}}
	rec := &jobrecord.Record{Spec: spec, LastAttempt: 600}
	var place []jobrecord.Assignment
	// The worst for packing: sessions and attempts without any order.
	for i := range 600 {
		m := c.machine(fmt.Sprintf("m-%d", 7919*(i+1)%1_000_000))
		m.identity.zone, m.status.reported, m.identity.machineType = "a", true, "x"
		m.status.incarnation = uint64(1 + c.rng.IntN(1<<30))
		place = append(place, jobrecord.Assignment{Task: int32(i), Machine: m.idx, Incarnation: m.status.incarnation, Attempt: uint64(1 + c.rng.IntN(1<<30))})
	}
	raw, err := c.encodeRecord(rec, place, false)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(time.Second, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 90,
		Events: []wire.WatchEvent{{Put: keyJob + "wk-9", Value: raw, Revision: 90}}}})
	return c, c.job("wk-9")
}

// answer answers the core's writes like the state service and tells it of them; those that takes
// refuses are refused as too large.
func answer(c *Core, from, to time.Duration, takes func(wire.Txn) bool) {
	ledger := max(uint64(1000), c.replica.revision)
	for now := from; now < to; now += 50 * time.Millisecond {
		for _, o := range c.Advance(now) {
			switch o := o.(type) {
			case Commit:
				if !takes(o.Txn) {
					c.Handle(now, Committed{ID: o.ID, Status: 400})
					continue
				}
				ledger++
				var log []wire.WatchEvent
				for _, w := range o.Txn.Then {
					log = append(log, wire.WatchEvent{Put: w.Put, Delete: w.Delete, Value: w.Value, Revision: ledger})
				}
				c.Handle(now, Committed{ID: o.ID, Status: 200, Reply: wire.TxnResponse{Revision: ledger}})
				c.Handle(now, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: ledger, Events: log}})
			case Changes:
				if !o.Hold {
					c.Handle(now, Changed{Status: 200, Changes: wire.WatchResponse{Revision: ledger}})
				}
			case LeaseOp:
				c.Handle(now, Leased{Op: o.Op, Status: 200, Lease: c.ownLease.id})
			}
		}
	}
}

// follow answers all writes, which must keep to the limits, and returns them.
func follow(t *testing.T, c *Core, from, to time.Duration) (writes []wire.Write) {
	t.Helper()
	answer(c, from, to, func(x wire.Txn) bool {
		for _, w := range x.Then {
			if len(w.Value) > c.cfg.ValueBytes || len(x.Then) > c.cfg.TxnOps {
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
	c, j := small(t)
	if j.stored.bytes <= c.cfg.ValueBytes {
		t.Fatalf("the record has %d bytes", j.stored.bytes)
	}
	if raw, err := c.encodeRecord(j.rec, j.place, true); err != nil || len(raw) <= c.cfg.ValueBytes {
		t.Fatalf("packed it has %d bytes (%v)", len(raw), err)
	}
	c.Handle(time.Second, Cancel{Req: 5, ID: j.id, UnixMS: 77})
	writes := follow(t, c, time.Second, 3*time.Second)
	if !j.final() || len(j.place) != 600 || !slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Put == keyCancel+j.id }) {
		t.Fatalf("not cancelled: %+v, %d writes", j.rec.Stage, len(writes))
	}
	// Another controller reads it the same, in whatever order the keys come.
	mark := func(key string, raw json.RawMessage) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: raw, Revision: 90}
	}
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: j.rec.Spec, LastAttempt: 600}, j.place, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, items := range [][]wire.KeyValue{
		{mark(keyCancel+j.id, []byte(`{"cm":77}`)), mark(keyJob+j.id, raw)}, {mark(keyJob+j.id, raw), mark(keyCancel+j.id, []byte(`{"cm":77}`))}} {
		other := New(testConfig(), 0, 1)
		other.Handle(time.Second, Loaded{OK: true, Ledger: 90, Items: items})
		if o := other.knownJob(j.id); o == nil || !o.final() || o.rec.CancelledAtMS != 77 || len(o.place) != 600 {
			t.Errorf("another controller does not know of the cancellation")
		}
	}
	// Once its tasks are gone, the record says so itself and the mark goes.
	for _, a := range j.place {
		c.markGone(c.machines[a.Machine])
	}
	writes = follow(t, c, 3*time.Second, 8*time.Second)
	if j.rec.Stage != jobrecord.Cancelled || len(j.place) != 0 || !slices.ContainsFunc(writes, func(w wire.Write) bool { return w.Delete == keyCancel+j.id }) {
		t.Errorf("the record ended as %+v", j.rec)
	}
}

// Ends that do not fit a value wait in the machines' reports, and a job whose tasks are all over
// is done whatever its record was.
func TestEndOfARecordTooLargeToWrite(t *testing.T) {
	c, j := small(t)
	for i, a := range j.place {
		m := c.machines[a.Machine]
		c.Handle(2*time.Second, Beat{Req: 1, Report: &wire.Heartbeat{Machine: m.name, Addr: "x:1", Type: "x", Zone: "a", Incarnation: m.status.incarnation, Sequence: 1, FencingToken: 1,
			Tasks: []wire.TaskStatus{{Task: wire.TaskName(j.id, int(a.Task)), Attempt: a.Attempt, Stage: wire.TaskExited, Cause: wire.CauseDone}}}})
		if i%100 == 0 {
			follow(t, c, c.now, c.now+200*time.Millisecond)
		}
	}
	follow(t, c, c.now, c.now+5*time.Second)
	if j.rec.Stage != jobrecord.Done {
		t.Errorf("%d tasks of 600 done", j.rec.CompletedTasks.Count())
	}
}

// Under the limits to come, a job of hundreds of tasks is still placed at once.
func TestJobOfHundredsUnderSmallLimits(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.cfg.ValueBytes = 2048
	c.schema.active = formAwaits
	spec := &wire.JobSpec{ID: "wk-1", Class: "some-class", Team: "t", Tasks: 500, Request: [3]int64{4000, 0, 8900}, Image: "an-image"}
	p := &proposal{rec: &jobrecord.Record{Spec: spec, LastAttempt: 500}, spec: spec}
	for i := 0; i < 500; i++ {
		m := c.machine(wire.TaskName("m", 100000+(7*i)%500))
		m.identity.zone = []string{"a-zone", "b-zone"}[i%2]
		p.place = append(p.place, jobrecord.Assignment{Task: int32(i), Machine: m.idx, Incarnation: 1, Attempt: uint64(i + 1)})
	}
	p.started = p.place
	raw, err := c.fitValue(p)
	if err != nil || len(p.place) != 500 || len(raw) > 1700 {
		t.Fatalf("%d of 500 tasks placed in %d bytes (%v)", len(p.place), len(raw), err)
	}
	keepsAll(t, c, raw, p.place)
}

// A transaction that the service refuses as too large is not sent again as it was, whatever the
// settings say.
func TestRefusedSizeIsNotRepeated(t *testing.T) {
	c := leading(t)
	for i := range 60 {
		r := report(1)
		r.Machine = wire.TaskName("m", 100*i)
		c.Handle(time.Second, Beat{Req: 9, Report: r})
	}
	follow(t, c, time.Second, 2*time.Second)
	in := submitted("wk-1")
	in.Spec.Tasks = 240
	c.Handle(2*time.Second, in)
	largest, written := 1<<20, 0
	answer(c, 2*time.Second, 12*time.Second, func(t1 wire.Txn) bool {
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
