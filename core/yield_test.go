package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewlift/clusterstate"
	"dewlift/core/membership"
	"dewlift/wire"
)

// While more work waited than there was capacity, every controller filled each new machine, and half of all
// starts were refused. Each controller must fill the machines for which it is first in the rendezvous order
// immediately, and the other machines only after a delay.
func TestControllersYieldFreedCapacity(t *testing.T) {
	const machines, tasksPerMachine = 40, 4
	filledImmediately := map[string]int{} // number of controllers by machine
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
			filledImmediately[machine]++
			if tasks != tasksPerMachine {
				t.Errorf("%s: %d tasks on %s, want %d, which fill it", name, tasks, machine, tasksPerMachine)
			}
		}

		runFor(c, 1050*time.Millisecond, 3*time.Second)
		if got := len(c.internJob("wk-1").assignments); got != machines*tasksPerMachine {
			t.Errorf("%s: %d tasks placed after the delay, want %d", name, got, machines*tasksPerMachine)
		}
	}
	for machine, controllers := range filledImmediately {
		if controllers != 1 {
			t.Errorf("%s was filled immediately by %d controllers", machine, controllers)
		}
	}
	if len(filledImmediately) != machines {
		t.Errorf("%d of %d machines were filled immediately", len(filledImmediately), machines)
	}
}

// newCoreOfThree returns a serving controller that knows the controllers n0 to n2 and owns all shards.
func newCoreOfThree(t *testing.T, name string) *Core {
	t.Helper()
	c := newServingCore(t)
	c.cfg.Name = name
	for _, node := range []string{"n0", "n1", "n2"} {
		c.applyPut(keyRegistration+node, []byte(`{"t":7}`), 8)
	}
	for i := range c.ownership.shards {
		c.ownership.shards[i].Holder = name
	}
	return c
}

// reportEmptyMachines sends heartbeats of machines to a controller and returns the push that shows them as empty.
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

// A controller whose work is clearly before another's must use freed capacity first, regardless of the machine's
// rendezvous order. Two controllers once had the same rank and took the capacity in the order in which they learned of
// it.
func TestEarlierWorkHasFreedCapacityFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const noWork = -1
		heads := rapid.SliceOfN(rapid.IntRange(noWork, 12), 2, 5).Draw(t, "seconds at which the first job came")
		order := rapid.Permutation(indices(len(heads))).Draw(t, "ranks of the controllers at the machine")
		ranks := make([]int, len(heads))
		for i, head := range heads {
			position := membership.QueuePosition{EnqueuedAtMS: int64(head) * 1000}
			before, tied := othersOf(heads, i).CountCompetitors(0, func(string) bool { return true }, position, false)
			ranks[i] = competitorCount{ahead: before, tied: tied}.rank(order[i])
		}
		for i, head := range heads {
			for j, other := range heads {
				if head != noWork && other != noWork && head+3 < other && ranks[i] >= ranks[j] {
					t.Fatalf("work of second %d has rank %d, of second %d rank %d", head, ranks[i], other, ranks[j])
				}
			}
		}
	})
}

// indices returns the numbers from 0 to n-1.
func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// othersOf returns what the controller with an index knows of the others. heads holds the enqueue time of the first
// waiting job of each controller in seconds; a negative value means that no job waits.
func othersOf(heads []int, index int) *membership.Members {
	var names []string
	for i := range heads {
		if i != index {
			names = append(names, fmt.Sprint("n", i))
		}
	}
	members := membership.New(names, time.Second)
	for i, head := range heads {
		if i == index {
			continue
		}
		name := fmt.Sprint("n", i)
		members.MarkSeen(0, name)
		members.Peer(name).StoreReachable = true
		if head >= 0 {
			members.Peer(name).QueueHeads = []membership.QueuePosition{{EnqueuedAtMS: int64(head) * 1000}}
		}
	}
	return members
}
