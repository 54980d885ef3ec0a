package core

import (
	"fmt"
	"testing"
	"time"

	"dewlift/clusterstate"
	"dewlift/wire"
)

// While more work waited than there was capacity, every controller filled each new machine, and half
// of all starts were refused. Each controller must fill the machines whose rendezvous order it heads,
// and those of the others only after a moment.
func TestControllersTakeTurnsForFreedCapacity(t *testing.T) {
	const machines, tasksPerMachine = 40, 4
	filledAtOnce := map[string]int{} // count of controllers by machine
	for _, name := range []string{"n0", "n1", "n2"} {
		c := newCoreOfThree(t, name)
		push := reportEmptyMachines(c, machines)
		submission := testSubmission("wk-1")
		submission.Spec.Tasks = 2 * machines * tasksPerMachine
		c.Handle(time.Second, submission)
		c.applyPush(push)

		runFor(c, time.Second, 1050*time.Millisecond)
		tasksOn := map[string]int{}
		for _, assignment := range c.internJob("wk-1").assignments {
			tasksOn[c.machines[assignment.Machine].name]++
		}
		for machine, tasks := range tasksOn {
			filledAtOnce[machine]++
			if tasks != tasksPerMachine {
				t.Errorf("%s: %d tasks on %s, which has capacity for %d", name, tasks, machine, tasksPerMachine)
			}
		}

		runFor(c, 1050*time.Millisecond, 3*time.Second)
		if got := len(c.internJob("wk-1").assignments); got != machines*tasksPerMachine {
			t.Errorf("%s: %d tasks placed in the end, there is capacity for %d", name, got, machines*tasksPerMachine)
		}
	}
	for machine, controllers := range filledAtOnce {
		if controllers != 1 {
			t.Errorf("%s was filled at once by %d controllers", machine, controllers)
		}
	}
	if len(filledAtOnce) != machines {
		t.Errorf("%d of %d machines were filled at once", len(filledAtOnce), machines)
	}
}

// newCoreOfThree is a serving controller that knows the controllers n0 to n2 and owns all shards.
func newCoreOfThree(t *testing.T, name string) *Core {
	t.Helper()
	c := newServingCore(t)
	c.cfg.Name = name
	for _, node := range []string{"n0", "n1", "n2"} {
		c.applyPut(keyNode+node, []byte(`{"t":7}`), 8)
	}
	for i := range c.ownership.shards {
		c.ownership.shards[i].Node = name
	}
	return c
}

// reportEmptyMachines has machines report to a controller; the push that shows them as empty is returned.
func reportEmptyMachines(c *Core, machines int) *StatePush {
	push := &StatePush{Revision: 1, FencingToken: 1}
	for i := range machines {
		heartbeat := &wire.Heartbeat{
			Machine:      fmt.Sprintf("m-%d", i),
			Addr:         "x:1",
			Type:         "x",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     1,
			FencingToken: 1,
		}
		c.Handle(time.Second, AgentPolled{Machine: heartbeat.Machine, Heartbeat: heartbeat})
		push.Rows = append(push.Rows, MachineCapacity{
			Machine:   heartbeat.Machine,
			Type:      "x",
			Zone:      "a",
			Available: clusterstate.Resources{4000, 0, 8000},
		})
	}
	return push
}
