package fakes

import (
	"testing"
	"time"

	"dewlift/wire"
)

// The fake must execute commands as the protocol says: each once, in order, no more than there is capacity for,
// none under an older fencing token.
func TestWorkerExecutesCommands(t *testing.T) {
	machineType := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}
	all := NewWorkers(
		1,
		machineType,
		[]string{"127.0.0.1:1"},
		time.Minute,
		func(string) ([3]int64, time.Duration) { return [3]int64{2000, 0, 1000}, 0 },
	)
	worker := all.workers[0]
	command := func(op, task string, attempt uint64) wire.Command {
		return wire.Command{Op: op, Task: task, Attempt: attempt}
	}
	start := []wire.Command{
		command(wire.OpStart, "wk-1/0", 1),
		command(wire.OpStart, "wk-1/0", 1),
		command(wire.OpStart, "wk-1/1", 2),
		command(wire.OpStart, "wk-1/2", 3),
	}
	stale := []wire.Command{command(wire.OpStop, "wk-1/0", 1)}
	if !worker.executeCommands(5, start) || worker.executeCommands(4, stale) {
		t.Fatal("commands under an older fencing token are executed, or those under a newer one are not")
	}
	heartbeat := worker.nextHeartbeat()
	if len(heartbeat.Tasks) != 3 || heartbeat.Tasks[2].Cause != wire.CauseNoCapacity ||
		all.StartsRefused() != 1 {
		t.Errorf("two of three tasks fit: %+v, %d refused", heartbeat.Tasks, all.StartsRefused())
	}
	worker.executeCommands(
		5,
		[]wire.Command{
			command(wire.OpClear, "wk-1/0", 1),
			command(wire.OpStop, "wk-1/0", 1),
			command(wire.OpClear, "wk-1/2", 3),
		},
	)
	heartbeat = worker.nextHeartbeat()
	if len(heartbeat.Tasks) != 2 || heartbeat.Tasks[0].Cause != wire.CauseStopped ||
		heartbeat.Tasks[1].Stage == wire.TaskExited {
		t.Errorf("one is stopped, one runs on, and one is cleared: %+v", heartbeat.Tasks)
	}
	worker.executeCommands(5, []wire.Command{command(wire.OpStart, "wk-1/2", 4)})
	if len(worker.nextHeartbeat().Tasks) != 3 || all.StartsRefused() != 1 {
		t.Error("the capacity of the stopped task is not available again")
	}
}

// A scale-out request has one outcome, however often it is repeated, and a returned machine is never rented again.
func TestScaleOutIsIdempotent(t *testing.T) {
	machineType := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a", "b"}}
	all := NewWorkers(4, machineType, []string{"127.0.0.1:1"}, time.Minute, nil)
	all.ctx = t.Context()
	request := wire.ScaleOutRequest{IdempotencyKey: "h-1", Type: "x", Zone: "a", Count: 5}
	first, again := all.scaleOut(request), all.scaleOut(request)
	if len(first) != 2 || len(again) != 2 || first[0] != again[0] || all.RentedCount() != 2 {
		t.Errorf("%v, then %v", first, again)
	}
	if list := all.listMachines("", 1); len(list.Machines) != 1 || !list.More {
		t.Errorf("a page of one of two: %+v", list)
	}
	all.scaleIn(first[:1])
	request.IdempotencyKey = "h-2"
	if all.RentedCount() != 1 || len(all.scaleOut(request)) != 0 || len(all.listMachines("", 9).Machines) != 1 {
		t.Error("a machine that was returned is rented again")
	}
}
