package core

import (
	"dewlift/clusterstate"
	"dewlift/wire"
	"fmt"
	"testing"
	"time"
)

// While more work waited than there was room, every controller filled each new machine, and half of
// all starts were refused. Each is to fill those where it comes first, and the others' after a
// moment.
func TestControllersTakeTurnsForFreedCapacity(t *testing.T) {
	const machines, perMachine = 40, 4
	first := map[string]int{}
	for _, name := range []string{"n0", "n1", "n2"} {
		c := newServingCore(t)
		c.cfg.Name = name
		for _, n := range []string{"n0", "n1", "n2"} {
			c.applyPut(keyNode+n, []byte(`{"t":7}`), 8)
		}
		for i := range c.ownership.shards {
			c.ownership.shards[i].Node = name
		}
		push := &StatePush{Revision: 1, FencingToken: 1}
		for i := range machines {
			r := &wire.Heartbeat{
				Machine:      fmt.Sprintf("m-%d", i),
				Addr:         "x:1",
				Type:         "x",
				Zone:         "a",
				Incarnation:  1,
				Sequence:     1,
				FencingToken: 1,
			}
			c.Handle(time.Second, AgentPolled{Machine: r.Machine, Heartbeat: r})
			push.Rows = append(
				push.Rows,
				MachineCapacity{
					Machine:   r.Machine,
					Type:      "x",
					Zone:      "a",
					Available: clusterstate.Resources{4000, 0, 8000},
				},
			)
		}
		in := testSubmission("wk-1")
		in.Spec.Tasks = 2 * machines * perMachine
		c.Handle(time.Second, in)
		c.applyPush(push)
		runFor(c, time.Second, 1050*time.Millisecond)
		own := map[string]int{}
		for _, a := range c.internJob("wk-1").assignments {
			own[c.machines[a.Machine].name]++
		}
		for m, n := range own {
			first[m]++
			if n != perMachine {
				t.Errorf("%s: %d tasks on %s, there is room for %d", name, n, m, perMachine)
			}
		}
		runFor(c, 1050*time.Millisecond, 3*time.Second)
		if got := len(c.internJob("wk-1").assignments); got != machines*perMachine {
			t.Errorf("%s: %d tasks placed in the end, there is room for %d", name, got, machines*perMachine)
		}
	}
	for m, n := range first {
		if n != 1 {
			t.Errorf("%s was filled at once by %d", m, n)
		}
	}
	if len(first) != machines {
		t.Errorf("%d of %d machines were filled at once", len(first), machines)
	}
}
