package fakes

import (
	"testing"
	"time"

	"dewlift/wire"
)

// The fake must execute commands as the protocol specifies: each once, in order, only while there is capacity, and none
// under an older fencing token.
func TestWorkerExecutesCommands(t *testing.T) {
	machineType := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}
	ws := NewWorkers(
		1,
		machineType,
		[]string{"127.0.0.1:1"},
		time.Minute,
		func(string) ([3]int64, time.Duration) { return [3]int64{2000, 0, 1000}, 0 },
	)
	worker := ws.workers[0]
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
		ws.StartsRefused() != 1 {
		t.Errorf("want two of three tasks to fit: %+v, %d refused", heartbeat.Tasks, ws.StartsRefused())
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
		t.Errorf("want one stopped and one running task, and the third cleared: %+v", heartbeat.Tasks)
	}
	worker.executeCommands(5, []wire.Command{command(wire.OpStart, "wk-1/2", 4)})
	if len(worker.nextHeartbeat().Tasks) != 3 || ws.StartsRefused() != 1 {
		t.Error("the capacity of the stopped task is not available again")
	}
}

// A scale-out request has one outcome, however often it is repeated, and a machine that was scaled in is never
// provisioned again.
func TestScaleOutIsIdempotent(t *testing.T) {
	machineType := wire.MachineType{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a", "b"}}
	ws := NewWorkers(4, machineType, []string{"127.0.0.1:1"}, time.Minute, nil)
	ws.ctx = t.Context()
	request := wire.ScaleOutRequest{IdempotencyKey: "h-1", Type: "x", Zone: "a", Count: 5}
	first, again := ws.scaleOut(request), ws.scaleOut(request)
	if len(first) != 2 || len(again) != 2 || first[0] != again[0] || ws.ProvisionedCount() != 2 {
		t.Errorf("scale-out returned %v, and %v when it was repeated", first, again)
	}
	if list := ws.listMachines("", 1); len(list.Machines) != 1 || !list.More {
		t.Errorf("want a page of one of two machines, got %+v", list)
	}
	ws.scaleIn(first[:1])
	request.IdempotencyKey = "h-2"
	if ws.ProvisionedCount() != 1 || len(ws.scaleOut(request)) != 0 || len(ws.listMachines("", 9).Machines) != 1 {
		t.Error("a machine that was scaled in is listed or provisioned again")
	}
}
