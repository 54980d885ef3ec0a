package core

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// newCoreWithSharedValues returns a core that owns all shards, with schemaSharedValues active.
func newCoreWithSharedValues(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	c.cfg.Store.SharedValues = true
	for _, name := range []string{"n0", "n1", "n2"} {
		c.applyPut(keySchemaVersion+name, json.RawMessage("5"), 8)
	}
	if c.schema.active != schemaSharedValues {
		t.Fatalf("schema version %d, want %d", c.schema.active, schemaSharedValues)
	}
	return c
}

// recordPlacedOn returns an encoded record with a task on a machine, or a slot entry, which has no job spec.
func recordPlacedOn(t *testing.T, c *Core, writeNumber uint64, machine string, described bool) json.RawMessage {
	t.Helper()
	record := &jobrecord.Record{WriteNumber: writeNumber, LastAttempt: 1}
	if described {
		record.Spec = &wire.JobSpec{Class: "c", Team: "t", Tasks: 2, Request: [3]int64{1000, 0, 1000}, Service: true}
	}
	raw, err := c.encodeRecord(
		record,
		[]jobrecord.Assignment{{Machine: c.internMachineInZone(machine, "a"), Incarnation: 1, Attempt: 1}},
		false,
	)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// encodeSlotValue encodes the stored value of a slot.
func encodeSlotValue(t *testing.T, entries batchvalue.Entries) json.RawMessage {
	t.Helper()
	raw, err := entries.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A slot entry must apply only to the record version that it names, whichever of the two is read first: a stale
// entry would restore assignments that have ended.
func TestSlotEntryAppliesOnlyToItsRecordVersion(t *testing.T) {
	for _, first := range []string{"record", "slot"} {
		c := newCoreWithSharedValues(t)
		placedOn := func() string { return c.machines[c.internJob("wk-1").assignments[0].Machine].name }
		slot := slotKey(slotNumber("wk-1", &jobrecord.Record{Spec: &wire.JobSpec{Service: true}}))
		value := encodeSlotValue(t, batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 3, "m-2", false)})
		if first == "slot" {
			c.applyPut(slot, value, 20)
		}
		c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 3, "m-1", true), 10)
		if first == "record" {
			c.applyPut(slot, value, 20)
		}
		if placedOn() != "m-2" || c.internJob("wk-1").revision != 10 {
			t.Errorf("%s first: on %s, revision %d", first, placedOn(), c.internJob("wk-1").revision)
		}
		c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 4, "m-3", true), 30)
		if placedOn() != "m-3" {
			t.Errorf("%s first: on %s after the record was written again", first, placedOn())
		}
		c.applyPut(
			slot,
			encodeSlotValue(
				t,
				batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 3, "m-2", false), "wk-9": json.RawMessage(`{"v":1}`)},
			),
			40,
		)
		if placedOn() != "m-3" {
			t.Errorf("%s first: an entry of an older write was applied", first)
		}
		c.applyPut(
			slot,
			encodeSlotValue(t, batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 4, "m-4", false)}),
			50,
		)
		if c.applyPut(slot, value, 45); placedOn() != "m-4" { // from a snapshot page that was read earlier
			t.Errorf("%s first: on %s, an older value was applied", first, placedOn())
		}
	}
}

// findTxnWriting returns the transaction that writes a key, or nil if there is none.
func findTxnWriting(out []Output, key string) *CommitTxn {
	for _, o := range outputsOfType[CommitTxn](out) {
		if slices.ContainsFunc(o.Txn.Then, func(w wire.Write) bool { return w.Put == key }) {
			return &o
		}
	}
	return nil
}

// If a write of a slot and a write of a job's own key are concurrent, only one of them may succeed, however late
// either is executed: a cancellation that misses a placement would drop the assignment of a running task.
func TestSharedWritesExcludeEachOther(t *testing.T) {
	c := newCoreWithSharedValues(t)
	c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 1, "m-1", true), 10)
	slot := slotKey(slotNumber("wk-1", c.internJob("wk-1").record))
	c.Handle(time.Second, AgentPolled{Machine: "m-1", Heartbeat: testHeartbeat(1)})
	c.markMachineGone(c.internMachine("m-1")) // a replica is lost: its record changes
	loss := findTxnWriting(c.Advance(1100*time.Millisecond), slot)
	if loss == nil || !slices.Contains(loss.Txn.Compare, wire.Compare{Key: slot}) || len(loss.Txn.Then) != 1 ||
		!slices.ContainsFunc(loss.Txn.Compare, func(k wire.Compare) bool { return k.Key == shardKey(0) }) {
		t.Fatalf("the loss is not in the slot: %+v", loss)
	}
	// A cancellation waits while that write is in flight. After the reply it compares the slot's new revision.
	c.Handle(1200*time.Millisecond, CancelJob{RequestID: 5, ID: "wk-1", UnixMS: 1})
	if early := findTxnWriting(c.Advance(1250*time.Millisecond), keyJob+"wk-1"); early != nil {
		t.Fatalf("cancelled while a write of its slot is in flight: %+v", early.Txn)
	}
	committed := wire.TxnResponse{Revision: 60}
	c.Handle(1300*time.Millisecond, TxnResult{ID: loss.ID, Status: wire.StatusOK, Reply: committed})
	cancellation := findTxnWriting(c.Advance(1350*time.Millisecond), keyJob+"wk-1")
	if cancellation == nil || !slices.Contains(cancellation.Txn.Compare, wire.Compare{Key: slot, Revision: 60}) ||
		!slices.Contains(cancellation.Txn.Compare, wire.Compare{Key: keyJob + "wk-1", Revision: 10}) {
		t.Fatalf("got cancellation %+v", cancellation)
	}
	// A controller that does not own the shard also writes the slot.
	c = newCoreWithSharedValues(t)
	c.applyPut(keyJob+"wk-1", recordPlacedOn(t, c, 1, "m-1", true), 10)
	c.applyPut(
		slot,
		encodeSlotValue(
			t,
			batchvalue.Entries{"wk-1": recordPlacedOn(t, c, 1, "m-2", false), "wk-2": json.RawMessage(`{"v":1}`)},
		),
		20,
	)
	c.ownership.shards[0].Holder = "n1"
	c.Handle(time.Second, CancelJob{RequestID: 5, ID: "wk-1", UnixMS: 1})
	cancellation = findTxnWriting(c.Advance(1100*time.Millisecond), slot)
	if cancellation == nil || findTxnWriting([]Output{*cancellation}, keyJob+"wk-1") == nil ||
		!slices.Contains(cancellation.Txn.Compare, wire.Compare{Key: slot, Revision: 20}) {
		t.Fatalf("got cancellation %+v by a controller that does not own the shard", cancellation)
	}
	for _, write := range cancellation.Txn.Then {
		if write.Put != slot {
			continue
		}
		if entries, err := batchvalue.Decode(write.Value); err != nil || len(entries) != 1 || entries["wk-2"] == nil {
			t.Errorf("the cancellation leaves entries %v in the slot (%v)", entries, err)
		}
	}
}

// Jobs whose entries do not fit into their slot must be written under their own keys: a full slot must not block
// writes.
func TestFullSlotDoesNotBlockWrites(t *testing.T) {
	c := newCoreWithSharedValues(t)
	c.cfg.Store.MaxValueBytes = 600
	for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6", "wk-7", "wk-8"} {
		record := &jobrecord.Record{
			WriteNumber: 1,
			LastAttempt: 40,
			Spec:        &wire.JobSpec{Class: "c", Team: "t", Tasks: 40, Request: [3]int64{1, 0, 1}},
		}
		var assignments []jobrecord.Assignment
		for k := range 6 {
			assignments = append(
				assignments,
				jobrecord.Assignment{
					Task:        int32(k * 3),
					Machine:     c.internMachineInZone("m-"+id+string(rune('a'+k)), "a"),
					Incarnation: uint64(k + 1),
					Attempt:     uint64(k*7 + i),
				},
			)
		}
		raw, err := c.encodeRecord(record, assignments, true)
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
