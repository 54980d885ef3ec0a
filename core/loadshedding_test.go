package core

import (
	"dewlift/overload"
	"dewlift/wire"
	"fmt"
	"testing"
	"time"
)

// addFleet has n machines report in two zones, and returns what has those of a zone report again.
func addFleet(c *Core, now time.Duration, n int) (again func(now time.Duration, zone string)) {
	seq := uint64(1)
	again = func(now time.Duration, zone string) {
		seq++
		for i := range n {
			r := &wire.Heartbeat{
				Machine:      fmt.Sprintf("f-%d", i),
				Addr:         "x:1",
				Type:         "x",
				Zone:         "ab"[i%2 : i%2+1],
				Incarnation:  1,
				Sequence:     seq,
				FencingToken: 1,
			}
			if zone == "" || zone == r.Zone {
				c.Handle(now, AgentPolled{Machine: r.Machine, Heartbeat: r})
			}
		}
	}
	again(now, "")
	return again
}

// A lost zone's machines counted as well for two reports' time each, and what was started there was lost.
func TestSilentZoneTakesNoWork(t *testing.T) {
	c := newLeadingCore(t)
	again := addFleet(c, time.Second, 40)
	runFor(c, time.Second, 2500*time.Millisecond)
	usable := func(zone string) (n int) {
		for _, m := range c.aliveMachines {
			if m.identity.zone == zone && c.isSchedulable(m) {
				n++
			}
		}
		return n
	}
	again(2500*time.Millisecond, "a")
	c.Advance(2500 * time.Millisecond)
	if a, b := usable("a"), usable("b"); a < 20 || b != 20 {
		t.Errorf("%d and %d machines are usable 1.5 s after their last reports", a, b)
	}
	again(3*time.Second, "a")
	c.Advance(3 * time.Second)
	if a, b := usable("a"), usable("b"); a < 20 || b != 0 {
		t.Errorf("%d and %d are usable when 2 s nothing was heard of the second zone", a, b)
	}
	c.Advance(5500 * time.Millisecond) // now of neither: it is rather this controller that does not hear
	if a, b := usable("a"), usable("b"); a < 20 || b != 20 {
		t.Errorf("%d and %d are usable when nothing is heard at all", a, b)
	}
	again(5600*time.Millisecond, "b")
	if usable("b") != 20 {
		t.Error("the second zone is back, and takes no work")
	}
}

// Every machine of a lost zone was asked for its report once a second, and each request held a
// socket until its timeout.
func TestLostZoneTakesFewRequests(t *testing.T) {
	c := newLeadingCore(t)
	const machines = 400
	addFleet(c, time.Second, machines)
	type ask struct {
		at      time.Duration
		machine string
	}
	var open []ask
	asked := map[string]int{}
	for now := time.Second; now < 30*time.Second; now += 50 * time.Millisecond {
		for len(open) > 0 && open[0].at <= now-1500*time.Millisecond { // nobody answers
			c.Handle(now, AgentPolled{Machine: open[0].machine})
			open = open[1:]
		}
		for _, o := range c.Advance(now) {
			switch o := o.(type) {
			case PollAgent:
				open = append(open, ask{now, o.Machine})
				asked[o.Machine]++
			case LeaseRequest:
				c.Handle(now, LeaseResult{Op: o.Op, Status: wire.StatusOK, LeaseID: c.ownLease.id})
			}
		}
		if len(open) > c.cfg.Agents.MaxPollRequests {
			t.Fatalf("%d requests for reports on their way", len(open))
		}
	}
	all := 0
	for _, n := range asked {
		all += n
		if n > 5 {
			t.Errorf("a machine that never answers was asked %d times in 25 s", n)
		}
	}
	if len(asked) < machines {
		t.Errorf("%d of %d machines were asked", len(asked), machines)
	}
}

// Orders to machines that hang must leave room for those to others.
func TestHangingMachinesLeaveRoomForCommands(t *testing.T) {
	c := newLeadingCore(t)
	c.cfg.Agents.MaxCommandRequests = 40
	addFleet(c, time.Second, 200)
	for i, m := range c.aliveMachines {
		if i%2 == 0 {
			m.commands.unanswered = 1
		}
		k := attemptKey{c.internJob("wk-1").index, int32(i), 1}
		m.status.tasks[k] = taskStatus{state: wire.TaskExited, cause: wire.CauseDone}
		c.internJob("wk-1").revision = 1 // a record that assigns nothing: all that machines report is to be forgotten
		m.commands.nextClearAt = time.Millisecond
		c.markMachineDirty(m)
	}
	runFor(c, time.Second, 1050*time.Millisecond)
	if len(c.commands.inFlight) != 0 {
		t.Fatalf("%d requests are on their way after all were answered", len(c.commands.inFlight))
	}
	for _, m := range c.aliveMachines {
		m.commands.nextSendAt = 0
		c.markMachineDirty(m)
		for k := range m.commands.attempts {
			delete(m.commands.attempts, k)
		}
		m.commands.nextClearAt = time.Millisecond
	}
	strained := 0
	orders := outputsOfType[SendCommands](c.Advance(1100 * time.Millisecond))
	for _, o := range orders {
		if c.isUnresponsive(c.internMachine(o.Machine)) {
			strained++
		}
	}
	if len(orders) != 40 || strained > 10 {
		t.Errorf("%d requests on their way, %d to machines that hang", len(orders), strained)
	}
}

// Whoever is refused for too much work comes back when what waits now is written, and not all at the same moment.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	c := newServingCore(t)
	c.transactions.rateLimit.WriteRate = 10
	if s := c.retryAfterSeconds(); s != 1 {
		t.Errorf("come back in %d s when nothing waits", s)
	}
	c.pendingSubmissions = 50
	times := map[int]int{}
	for range 200 {
		s := c.retryAfterSeconds()
		if s < 5 || s > 10 {
			t.Fatalf("come back in %d s, 50 changes at 10 a second wait", s)
		}
		times[s]++
	}
	if len(times) < 4 {
		t.Errorf("they come back at %d moments", len(times))
	}
	c.pendingSubmissions = 1000
	if s := c.retryAfterSeconds(); s > maxRetryAfterSeconds {
		t.Errorf("come back in %d s", s)
	}
	calm := c.maxPendingSubmissions()
	c.Handle(c.now, LoadSample{MaxLoopDelay: 2 * time.Second})
	if c.overload.Level() != overload.Overloaded || c.maxPendingSubmissions() >= calm {
		t.Errorf("at %v %d submissions may wait, %d when calm", c.overload.Level(), c.maxPendingSubmissions(), calm)
	}
}
