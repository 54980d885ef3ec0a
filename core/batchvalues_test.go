package core

import (
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"slices"
	"testing"
	"time"
)

// newCoreWithSharedValues is a core whose controllers all know shared values; it holds all shards.
func newCoreWithSharedValues(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	c.cfg.Store.SharedValues = true
	for _, n := range []string{"n0", "n1", "n2"} {
		c.applyPut(keySchemaVersion+n, json.RawMessage("5"), 8)
	}
	if c.schemaVersion() != schemaSharedValues {
		t.Fatalf("form %d", c.schemaVersion())
	}
	return c
}

// recordPlacedOn is a record as it is stored, with a task on a machine.
func recordPlacedOn(t *testing.T, c *Core, v uint64, machine string, described bool) json.RawMessage {
	t.Helper()
	r := &jobrecord.Record{WriteNumber: v, LastAttempt: 1}
	if described {
		r.Spec = &wire.JobSpec{Class: "c", Team: "t", Tasks: 2, Request: [3]int64{1000, 0, 1000}, Service: true}
	}
	raw, err := c.encodeRecord(
		r,
		[]jobrecord.Assignment{{Machine: c.internMachineInZone(machine, "a"), Incarnation: 1, Attempt: 1}},
		false,
	)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func encodeSlotValue(t *testing.T, e batchvalue.Entries) json.RawMessage {
	t.Helper()
	raw, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// An entry counts on top of the write that it names, whichever of both is read first, and no other.
func TestSlotEntryAppliesOnlyToItsRecordVersion(t *testing.T) {
	for _, first := range []string{"record", "slot"} {
		c := newCoreWithSharedValues(t)
		on := func() string { return c.machines[c.internJob("wk-1").assignments[0].Machine].name }
		n := c.slotNumber("wk-1", &jobrecord.Record{Spec: &wire.JobSpec{Service: true}})
		value := encodeSlotValue(t, batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 3, "m-2", false)})
		if first == "slot" {
			c.applyPut(slotKey(n), value, 20)
		}
		c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 3, "m-1", true), 10)
		if first == "record" {
			c.applyPut(slotKey(n), value, 20)
		}
		if on() != "m-2" || c.internJob("wk-1").revision != 10 {
			t.Errorf("%s first: on %s, mark %d", first, on(), c.internJob("wk-1").revision)
		}
		c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 4, "m-3", true), 30)
		if on() != "m-3" {
			t.Errorf("%s first: on %s after the record was written again", first, on())
		}
		c.applyPut(
			slotKey(n),
			encodeSlotValue(
				t,
				batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 3, "m-2", false), "wk-9": json.RawMessage(`{"v":1}`)},
			),
			40,
		)
		if on() != "m-3" {
			t.Errorf("%s first: a void entry counted", first)
		}
		c.applyPut(
			slotKey(n),
			encodeSlotValue(t, batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 4, "m-4", false)}),
			50,
		)
		if c.applyPut(slotKey(n), value, 45); on() != "m-4" { // a page that was read before
			t.Errorf("%s first: on %s, an older value counted", first, on())
		}
	}
}

// findTxnWriting is the transaction that has a key among its changes.
func findTxnWriting(out []Output, key string) *CommitTxn {
	for _, o := range outputsOfType[CommitTxn](out) {
		if slices.ContainsFunc(o.Txn.Then, func(w wire.Write) bool { return w.Put == key }) {
			return &o
		}
	}
	return nil
}

// Of a write of a slot and one of a job's own key that do not know of each other only one may
// succeed, however late either is executed: a cancellation that did not see a placement would lose
// the task's machine.
func TestSharedWritesExcludeEachOther(t *testing.T) {
	c := newCoreWithSharedValues(t)
	c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 1, "m-1", true), 10)
	j := c.internJob("wk-1")
	n := slotKey(c.slotNumber("wk-1", j.record))
	r := testHeartbeat(1)
	c.Handle(time.Second, AgentPolled{Machine: "m-1", Heartbeat: r})
	c.markMachineGone(c.internMachine("m-1")) // a replica is lost: its record changes
	x := findTxnWriting(c.Advance(1100*time.Millisecond), n)
	if x == nil || !slices.Contains(x.Txn.Compare, wire.Compare{Key: n}) || len(x.Txn.Then) != 1 ||
		!slices.ContainsFunc(x.Txn.Compare, func(k wire.Compare) bool { return k.Key == shardKey(0) }) {
		t.Fatalf("the loss is not in the slot: %+v", x)
	}
	// While that is on its way, a cancellation waits; once it is answered, it is on condition of the new mark.
	c.Handle(1200*time.Millisecond, CancelJob{RequestID: 5, ID: "wk-1", UnixMS: 1})
	if y := findTxnWriting(c.Advance(1250*time.Millisecond), keyJob+"wk-1"); y != nil {
		t.Fatalf("cancelled beside a write of its slot: %+v", y.Txn)
	}
	c.Handle(1300*time.Millisecond, TxnResult{ID: x.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: 60}})
	y := findTxnWriting(c.Advance(1350*time.Millisecond), keyJob+"wk-1")
	if y == nil || !slices.Contains(y.Txn.Compare, wire.Compare{Key: n, Revision: 60}) ||
		!slices.Contains(y.Txn.Compare, wire.Compare{Key: keyJob + "wk-1", Revision: 10}) {
		t.Fatalf("the cancellation is %+v", y)
	}
	// A controller that does not hold the shard writes the slot as well.
	c = newCoreWithSharedValues(t)
	c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 1, "m-1", true), 10)
	c.applyPut(
		n,
		encodeSlotValue(
			t,
			batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 1, "m-2", false), "wk-2": json.RawMessage(`{"v":1}`)},
		),
		20,
	)
	c.ownership.shards[0].Node = "n1"
	c.Handle(time.Second, CancelJob{RequestID: 5, ID: "wk-1", UnixMS: 1})
	y = findTxnWriting(c.Advance(1100*time.Millisecond), n)
	if y == nil || findTxnWriting([]Output{*y}, keyJob+"wk-1") == nil ||
		!slices.Contains(y.Txn.Compare, wire.Compare{Key: n, Revision: 20}) {
		t.Fatalf("the cancellation by another is %+v", y)
	}
	for _, w := range y.Txn.Then {
		if w.Put != n {
			continue
		}
		if e, err := batchvalue.Decode(w.Value); err != nil || len(e) != 1 || e["wk-2"] == nil {
			t.Errorf("it leaves %v in the slot, %v", e, err)
		}
	}
}

// Entries that do not fit their slot have the job's own key, and the others go on.
func TestFullSlotDoesNotBlockWrites(t *testing.T) {
	c := newCoreWithSharedValues(t)
	c.cfg.Store.MaxValueBytes = 600
	for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6", "wk-7", "wk-8"} {
		r := &jobrecord.Record{
			WriteNumber: 1,
			LastAttempt: 40,
			Spec:        &wire.JobSpec{Class: "c", Team: "t", Tasks: 40, Request: [3]int64{1, 0, 1}},
		}
		var place []jobrecord.Assignment
		for k := range 6 {
			place = append(
				place,
				jobrecord.Assignment{
					Task:        int32(k * 3),
					Machine:     c.internMachineInZone("m-"+id+string(rune('a'+k)), "a"),
					Incarnation: uint64(k + 1),
					Attempt:     uint64(k*7 + i),
				},
			)
		}
		raw, err := c.encodeRecord(r, place, true)
		if err != nil {
			t.Fatal(err)
		}
		c.applyPut(keyJob+id, raw, uint64(10+i))
	}
	for _, m := range c.aliveMachines {
		m.lifecycle.gone = true
	}
	for _, j := range c.jobs {
		c.markDirty(j)
	}
	runFor(c, time.Second, 5*time.Second)
	for _, j := range c.jobs {
		if len(j.assignments) != 0 || j.write.inFlight {
			t.Errorf("%s: %d tasks are still on machines that are gone", j.id, len(j.assignments))
		}
	}
}
