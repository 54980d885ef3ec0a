package fakes

import (
	"dewlift/wire"
	"testing"
	"time"
)

// The stand-in does with orders what the protocol says: each once, in order, no more than there is
// room for, none under an older token.
func TestWorkerExecutesCommands(t *testing.T) {
	kind := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}
	all := NewWorkers(
		1,
		kind,
		[]string{"127.0.0.1:1"},
		time.Minute,
		func(string) ([3]int64, time.Duration) { return [3]int64{2000, 0, 1000}, 0 },
	)
	w := all.workers[0]
	order := func(op, piece string, try uint64) wire.Command {
		return wire.Command{Op: op, Task: piece, Attempt: try}
	}
	start := []wire.Command{
		order(wire.OpStart, "wk-1/0", 1),
		order(wire.OpStart, "wk-1/0", 1),
		order(wire.OpStart, "wk-1/1", 2),
		order(wire.OpStart, "wk-1/2", 3),
	}
	if !w.executeCommands(5, start) || w.executeCommands(4, []wire.Command{order(wire.OpStop, "wk-1/0", 1)}) {
		t.Fatal("the token decides who gives orders")
	}
	if r := w.nextHeartbeat(); len(r.Tasks) != 3 || r.Tasks[2].Cause != wire.CauseNoCapacity ||
		all.StartsRefused() != 1 {
		t.Errorf("two of three tasks fit: %+v, %d refused", r.Tasks, all.StartsRefused())
	}
	w.executeCommands(
		5,
		[]wire.Command{
			order(wire.OpClear, "wk-1/0", 1),
			order(wire.OpStop, "wk-1/0", 1),
			order(wire.OpClear, "wk-1/2", 3),
		},
	)
	r := w.nextHeartbeat()
	if len(r.Tasks) != 2 || r.Tasks[0].Cause != wire.CauseStopped || r.Tasks[1].Stage == wire.TaskExited {
		t.Errorf("one is stopped, one goes on, and one is forgotten: %+v", r.Tasks)
	}
	if w.executeCommands(5, []wire.Command{order(wire.OpStart, "wk-1/2", 4)}); len(w.nextHeartbeat().Tasks) != 3 ||
		all.StartsRefused() != 1 {
		t.Error("the stopped task's room is not free again")
	}
}

// A request to rent has one outcome, however often it is repeated, and a machine that was returned is gone for good.
func TestCloudRentIsIdempotent(t *testing.T) {
	kind := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a", "b"}}
	all := NewWorkers(4, kind, []string{"127.0.0.1:1"}, time.Minute, nil)
	all.ctx = t.Context()
	ask := wire.ScaleOutRequest{IdempotencyKey: "h-1", Type: "x", Zone: "a", Count: 5}
	first, again := all.rentMachines(ask), all.rentMachines(ask)
	if len(first) != 2 || len(again) != 2 || first[0] != again[0] || all.RentedCount() != 2 {
		t.Errorf("%v, then %v", first, again)
	}
	if list := all.listMachines("", 1); len(list.Machines) != 1 || !list.More {
		t.Errorf("a page of one of two: %+v", list)
	}
	all.returnMachines(first[:1])
	ask.IdempotencyKey = "h-2"
	if all.RentedCount() != 1 || len(all.rentMachines(ask)) != 0 || len(all.listMachines("", 9).Machines) != 1 {
		t.Error("a machine that was returned is rented again")
	}
}
