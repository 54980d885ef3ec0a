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

// sharing is a core whose controllers all know shared values; it holds all shards.
func sharing(t *testing.T) *Core {
	t.Helper()
	c := serving(t)
	c.cfg.SharedValues = true
	for _, n := range []string{"n0", "n1", "n2"} {
		c.put(keyForm+n, json.RawMessage("5"), 8)
	}
	if c.form() != formShared {
		t.Fatalf("form %d", c.form())
	}
	return c
}

// recordOn is a record as it is stored, with a task on a machine.
func recordOn(t *testing.T, c *Core, v uint64, machine string, described bool) json.RawMessage {
	t.Helper()
	r := &jobrecord.Record{WriteNumber: v, LastAttempt: 1}
	if described {
		r.Spec = &wire.JobSpec{Class: "c", Team: "t", Tasks: 2, Request: [3]int64{1000, 0, 1000}, Service: true}
	}
	raw, err := c.encodeRecord(r, []jobrecord.Assignment{{Machine: c.seat(machine, "a"), Incarnation: 1, Attempt: 1}}, false)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func slotValue(t *testing.T, e batchvalue.Entries) json.RawMessage {
	t.Helper()
	raw, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// An entry counts on top of the write that it names, whichever of both is read first, and no other.
func TestEntryCountsOnItsWriteAlone(t *testing.T) {
	for _, first := range []string{"record", "slot"} {
		c := sharing(t)
		on := func() string { return c.machines[c.job("wk-1").place[0].Machine].name }
		n := c.slotOf("wk-1", &jobrecord.Record{Spec: &wire.JobSpec{Service: true}})
		value := slotValue(t, batchvalue.Entries{"wk-1": recordOn(t, c, 3, "m-2", false)})
		if first == "slot" {
			c.put(slotKey(n), value, 20)
		}
		c.put(keyJob+"wk-1", recordOn(t, c, 3, "m-1", true), 10)
		if first == "record" {
			c.put(slotKey(n), value, 20)
		}
		if on() != "m-2" || c.job("wk-1").mark != 10 {
			t.Errorf("%s first: on %s, mark %d", first, on(), c.job("wk-1").mark)
		}
		c.put(keyJob+"wk-1", recordOn(t, c, 4, "m-3", true), 30)
		if on() != "m-3" {
			t.Errorf("%s first: on %s after the record was written again", first, on())
		}
		c.put(slotKey(n), slotValue(t, batchvalue.Entries{"wk-1": recordOn(t, c, 3, "m-2", false), "wk-9": json.RawMessage(`{"v":1}`)}), 40)
		if on() != "m-3" {
			t.Errorf("%s first: a void entry counted", first)
		}
		c.put(slotKey(n), slotValue(t, batchvalue.Entries{"wk-1": recordOn(t, c, 4, "m-4", false)}), 50)
		if c.put(slotKey(n), value, 45); on() != "m-4" { // a page that was read before
			t.Errorf("%s first: on %s, an older value counted", first, on())
		}
	}
}

// txnOf is the transaction that has a key among its changes.
func txnOf(out []Output, key string) *Commit {
	for _, o := range outputs[Commit](out) {
		if slices.ContainsFunc(o.Txn.Then, func(w wire.Write) bool { return w.Put == key }) {
			return &o
		}
	}
	return nil
}

// Of a write of a slot and one of a job's own key that do not know of each other only one may succeed, however late either is
// executed: a cancellation that did not see a placement would lose the task's machine.
func TestSharedWritesExcludeEachOther(t *testing.T) {
	c := sharing(t)
	c.put(keyJob+"wk-1", recordOn(t, c, 1, "m-1", true), 10)
	j := c.job("wk-1")
	n := slotKey(c.slotOf("wk-1", j.rec))
	r := report(1)
	c.Handle(time.Second, Seen{Machine: "m-1", Report: r})
	c.markGone(c.machine("m-1")) // a replica is lost: its record changes
	x := txnOf(c.Advance(1100*time.Millisecond), n)
	if x == nil || !slices.Contains(x.Txn.Compare, wire.Compare{Key: n}) || len(x.Txn.Then) != 1 || !slices.ContainsFunc(x.Txn.Compare, func(k wire.Compare) bool { return k.Key == shardKey(0) }) {
		t.Fatalf("the loss is not in the slot: %+v", x)
	}
	// While that is on its way, a cancellation waits; once it is answered, it is on condition of the new mark.
	c.Handle(1200*time.Millisecond, Cancel{Req: 5, ID: "wk-1", UnixMS: 1})
	if y := txnOf(c.Advance(1250*time.Millisecond), keyJob+"wk-1"); y != nil {
		t.Fatalf("cancelled beside a write of its slot: %+v", y.Txn)
	}
	c.Handle(1300*time.Millisecond, Committed{ID: x.ID, Status: 200, Reply: wire.TxnResponse{Revision: 60}})
	y := txnOf(c.Advance(1350*time.Millisecond), keyJob+"wk-1")
	if y == nil || !slices.Contains(y.Txn.Compare, wire.Compare{Key: n, Revision: 60}) || !slices.Contains(y.Txn.Compare, wire.Compare{Key: keyJob + "wk-1", Revision: 10}) {
		t.Fatalf("the cancellation is %+v", y)
	}
	// A controller that does not hold the shard writes the slot as well.
	c = sharing(t)
	c.put(keyJob+"wk-1", recordOn(t, c, 1, "m-1", true), 10)
	c.put(n, slotValue(t, batchvalue.Entries{"wk-1": recordOn(t, c, 1, "m-2", false), "wk-2": json.RawMessage(`{"v":1}`)}), 20)
	c.ownership.shards[0].Node = "n1"
	c.Handle(time.Second, Cancel{Req: 5, ID: "wk-1", UnixMS: 1})
	y = txnOf(c.Advance(1100*time.Millisecond), n)
	if y == nil || txnOf([]Output{*y}, keyJob+"wk-1") == nil || !slices.Contains(y.Txn.Compare, wire.Compare{Key: n, Revision: 20}) {
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
func TestFullSlotIsNoEnd(t *testing.T) {
	c := sharing(t)
	c.cfg.ValueBytes = 600
	for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6", "wk-7", "wk-8"} {
		r := &jobrecord.Record{WriteNumber: 1, LastAttempt: 40, Spec: &wire.JobSpec{Class: "c", Team: "t", Tasks: 40, Request: [3]int64{1, 0, 1}}}
		var place []jobrecord.Assignment
		for k := range 6 {
			place = append(place, jobrecord.Assignment{Task: int32(k * 3), Machine: c.seat("m-"+id+string(rune('a'+k)), "a"), Incarnation: uint64(k + 1), Attempt: uint64(k*7 + i)})
		}
		raw, err := c.encodeRecord(r, place, true)
		if err != nil {
			t.Fatal(err)
		}
		c.put(keyJob+id, raw, uint64(10+i))
	}
	for _, m := range c.alive {
		m.lifecycle.gone = true
	}
	for _, j := range c.jobs {
		c.touch(j)
	}
	drive(c, time.Second, 5*time.Second)
	for _, j := range c.jobs {
		if len(j.place) != 0 || j.write.inFlight {
			t.Errorf("%s: %d tasks are still on machines that are gone", j.id, len(j.place))
		}
	}
}
