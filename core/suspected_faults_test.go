package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// These tests reproduce faults that were found by reading the code. Each test failed before its fault was fixed. The
// figures in the comments are from those runs.

// Relayed health of a controller must not be attributed to the relay. When it was, n1 counted as able to reach the
// store and n2 did not. A peer of any version may be the relay.
func TestRelayedHealthIsAttributedToSender(t *testing.T) {
	c := newServingCore(t)
	c.Handle(2*time.Second, PeerMessage{Peer: "n1", Message: Message{
		RelayTo: "n0", RelayedFrom: "n2", Health: &Health{StoreReachable: true, WriteRate: 7},
	}})
	members := c.controllers.membership
	if got := members.Peer("n2"); !got.StoreReachable || got.WriteRate != 7 {
		t.Errorf("health of the sender is recorded as %+v", got)
	}
	if got := members.Peer("n1"); got.StoreReachable || got.WriteRate != 0 {
		t.Errorf("health of the relay is recorded as %+v", got)
	}
	if members.IsReachable(2*time.Second, "n2") {
		t.Error("a controller whose health only a relay sent counts as directly reachable")
	}
}

// A heartbeat in which only the address, the spot flag or the length of an interruption notice changed was treated as
// unchanged, so that commands were still sent to the old address.
func TestAgentIdentityChangeIsApplied(t *testing.T) {
	seconds := func(s float64) *float64 { return &s }
	for name, tt := range map[string]struct {
		change  func(heartbeat *wire.Heartbeat)
		noticed func(m *machine) bool
	}{
		"address": {
			func(heartbeat *wire.Heartbeat) { heartbeat.Addr = "y:2" },
			func(m *machine) bool { return m.identity.address == "y:2" },
		},
		"spot": {
			func(heartbeat *wire.Heartbeat) { heartbeat.Spot = true },
			func(m *machine) bool { return m.identity.spot },
		},
		"notice": {
			func(heartbeat *wire.Heartbeat) { heartbeat.InterruptionNoticeS = seconds(5) },
			func(m *machine) bool {
				return m.lifecycle.interruptionDeadline > 0 && m.lifecycle.interruptionDeadline < 10*time.Second
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLeadingCore(t)
			before := testHeartbeat(2)
			if name == "notice" {
				before.InterruptionNoticeS = seconds(60)
			}
			c.Handle(2*time.Second, AgentHeartbeat{RequestID: 10, Heartbeat: before})
			changed := testHeartbeat(3)
			tt.change(changed)
			c.Handle(3*time.Second, AgentHeartbeat{RequestID: 11, Heartbeat: changed})
			if m := c.internMachine("m-1"); !tt.noticed(m) {
				t.Errorf("identity is %+v and lifecycle is %+v", m.identity, m.lifecycle)
			}
		})
	}
}

// A catalog in which only a spot price, the local disk or the image pull rate changed was not stored. After a restart
// during a cloud outage, controllers planned with old prices.
func TestCatalogIsStoredAfterAnyChange(t *testing.T) {
	for name, change := range map[string]func(*wire.MachineType){
		"spot price": func(machineType *wire.MachineType) { machineType.SpotPrice = 0.25 },
		"local disk": func(machineType *wire.MachineType) { machineType.LocalDiskGB = 17 },
		"pull rate":  func(machineType *wire.MachineType) { machineType.ImagePullGBPerS = 3 },
	} {
		c := newLeadingCore(t)
		c.Advance(time.Second)
		machineType := *c.autoscaler.catalog["x"]
		change(&machineType)
		c.persistCatalog(&wire.Catalog{Types: []wire.MachineType{machineType}})
		isCatalogWrite := func(write wire.Write) bool { return write.Put == keyMachineTypes }
		if !slices.ContainsFunc(writesOf(c.Advance(2*time.Second)), isCatalogWrite) {
			t.Errorf("%s: the changed catalog is not stored", name)
		}
	}
}

// writesOf returns the writes of all transactions among the outputs.
func writesOf(out []Output) (writes []wire.Write) {
	for _, commit := range outputsOfType[CommitTxn](out) {
		writes = append(writes, commit.Txn.Then...)
	}
	return writes
}

// A catalog that is too large to be stored must be logged, but only once.
func TestCatalogTooLargeIsLogged(t *testing.T) {
	c := newLeadingCore(t)
	c.Advance(time.Second)
	var types []wire.MachineType
	for i := range 2000 {
		name := fmt.Sprintf("type-%x", i*7919*104729)
		types = append(types, wire.MachineType{Name: name, CPUs: 4, MemoryGB: 8, Zones: []string{"a"}})
	}
	lines := 0
	for range 3 {
		c.persistCatalog(&wire.Catalog{Types: types})
		for _, line := range outputsOfType[LogLine](c.Advance(2 * time.Second)) {
			if strings.Contains(line.Message, "machine types exceed the value size limit") {
				lines++
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d log lines report that the catalog is too large, want 1", lines)
	}
}

// If a single-zone job ever has tasks in two zones, it must continue in the zone with the most tasks. The zone used to
// depend on the iteration order of a map: of 50 choices in this test, some were a and some b.
func TestSingleZoneJobChoosesZoneDeterministically(t *testing.T) {
	c := newLeadingCore(t)
	for i, zone := range []string{"a", "b", "b"} {
		m := c.internMachine(fmt.Sprint("z-", i))
		m.identity.zone = zone
	}
	var assignments []jobrecord.Assignment
	for i := range 3 {
		machine := c.internMachine(fmt.Sprint("z-", i)).index
		assignments = append(assignments, jobrecord.Assignment{Task: int32(i), Machine: machine})
	}
	for range 50 {
		attempt := placementAttempt{
			core:        c,
			spec:        &wire.JobSpec{OneZone: true},
			proposal:    &proposal{assignments: assignments},
			tasksInZone: map[string]int{},
		}
		attempt.chooseZone()
		if attempt.onlyZone != "b" {
			t.Fatalf("zone is %q, want b, which has the most tasks", attempt.onlyZone)
		}
	}
}

// An entry that does not fit its slot must not leave the slot in the transaction. Otherwise the slot is written without
// need, which costs one of the 20 to 30 writes per second that a site has.
func TestOversizedEntryLeavesNoSlotDraft(t *testing.T) {
	c := newServingCore(t)
	builder := &txnBuilder{core: c}
	full := batchvalue.Entries{"wk-9": []byte(`"` + strings.Repeat("x", c.cfg.Store.maxSlotBytes()) + `"`)}
	slot := c.replica.slots.at(1)
	slot.Entries = full
	c.internJob("wk-9").record = &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 1}}
	c.internJob("wk-9").revision = 5
	next := &proposal{job: c.internJob("wk-1"), slotIndex: 1}
	if builder.addSlotEntry(next, []byte(`{}`)) {
		t.Fatal("the entry was added although it does not fit")
	}
	if len(builder.slotDrafts) != 0 || builder.opCount() != 0 || builder.valueBytes != 0 {
		t.Errorf("%d slots, %d writes and %d bytes remain in the transaction",
			len(builder.slotDrafts), builder.opCount(), builder.valueBytes)
	}
}

// After preemption for a part of a demand, the rest counted as served for 4 s, and no scale-out was requested for it.
func TestPartialPreemptionLeavesRemainingDemand(t *testing.T) {
	c := newLeadingCore(t)
	c.Advance(time.Second)
	j := c.internJob("wk-1")
	j.record = &jobrecord.Record{Spec: &wire.JobSpec{Tasks: 10, Service: true}}
	c.leaderState.lastPreemptedFor[j.index] = preemptionRecord{at: c.now, served: 2}
	packing := &demandPacking{
		demand: demand{job: j, spec: j.record.Spec, tasks: 10},
		supply: &supply{},
	}
	if got := (&replicaPreemption{core: c, demandPacking: packing}).run(); got != 2 {
		t.Errorf("%d of 10 replicas count as served, want 2", got)
	}
}
