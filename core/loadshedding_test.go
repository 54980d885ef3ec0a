package core

import (
	"fmt"
	"testing"
	"time"

	"dewlift/overload"
	"dewlift/wire"
)

// addFleet adds machines in the zones a and b by their heartbeats. It returns a function that sends another
// heartbeat of each machine of a zone, or of both zones if the zone is "".
func addFleet(c *Core, now time.Duration, machines int) (sendHeartbeats func(now time.Duration, zone string)) {
	sequence := uint64(1)
	sendHeartbeats = func(now time.Duration, zone string) {
		sequence++
		for i := range machines {
			heartbeat := &wire.Heartbeat{
				Machine:      fmt.Sprintf("f-%d", i),
				Addr:         "x:1",
				Type:         "x",
				Zone:         "ab"[i%2 : i%2+1],
				Incarnation:  1,
				Sequence:     sequence,
				FencingToken: 1,
			}
			if zone == "" || zone == heartbeat.Zone {
				c.Handle(now, AgentPolled{Machine: heartbeat.Machine, Heartbeat: heartbeat})
			}
		}
	}
	sendHeartbeats(now, "")
	return sendHeartbeats
}

// schedulableInZone counts the machines of a zone on which new tasks may be placed.
func schedulableInZone(c *Core, zone string) (count int) {
	for _, machine := range c.aliveMachines {
		if machine.identity.zone == zone && c.isSchedulable(machine) {
			count++
		}
	}
	return count
}

// Machines of a lost zone must soon get no new tasks. They counted as healthy for two heartbeat intervals, and the
// tasks started there in the meantime were lost.
func TestSilentZoneGetsNoTasks(t *testing.T) {
	c := newLeadingCore(t)
	sendHeartbeats := addFleet(c, time.Second, 40)
	runFor(c, time.Second, 2500*time.Millisecond)
	sendHeartbeats(2500*time.Millisecond, "a")
	c.Advance(2500 * time.Millisecond)
	if a, b := schedulableInZone(c, "a"), schedulableInZone(c, "b"); a < 20 || b != 20 {
		t.Errorf("%d and %d machines are schedulable 1.5 s after their last heartbeats", a, b)
	}
	sendHeartbeats(3*time.Second, "a")
	c.Advance(3 * time.Second)
	if a, b := schedulableInZone(c, "a"), schedulableInZone(c, "b"); a < 20 || b != 0 {
		t.Errorf("%d and %d machines are schedulable 2 s after the last heartbeat from the second zone", a, b)
	}
	c.Advance(5500 * time.Millisecond) // if both are silent, this controller is probably cut off
	if a, b := schedulableInZone(c, "a"), schedulableInZone(c, "b"); a < 20 || b != 20 {
		t.Errorf("%d and %d machines are schedulable when both zones are silent", a, b)
	}
	sendHeartbeats(5600*time.Millisecond, "b")
	if schedulableInZone(c, "b") != 20 {
		t.Error("the second zone sends heartbeats again, and not all of its machines are schedulable")
	}
}

// The machines of a lost zone must be polled rarely. Each was polled once per second, and every poll held a
// connection until its timeout.
func TestLostZoneGetsFewPolls(t *testing.T) {
	c := newLeadingCore(t)
	const machines = 400
	addFleet(c, time.Second, machines)
	type poll struct {
		sentAt  time.Duration
		machine string
	}
	var inFlight []poll
	pollsByMachine := map[string]int{}
	for now := time.Second; now < 30*time.Second; now += 50 * time.Millisecond {
		for len(inFlight) > 0 && inFlight[0].sentAt <= now-1500*time.Millisecond { // all polls time out
			c.Handle(now, AgentPolled{Machine: inFlight[0].machine})
			inFlight = inFlight[1:]
		}
		for _, output := range c.Advance(now) {
			switch output := output.(type) {
			case PollAgent:
				inFlight = append(inFlight, poll{now, output.Machine})
				pollsByMachine[output.Machine]++
			case LeaseRequest:
				c.Handle(now, LeaseResult{Op: output.Op, Status: wire.StatusOK, LeaseID: c.ownLease.id})
			}
		}
		if len(inFlight) > c.cfg.Agents.MaxPollRequests {
			t.Fatalf("%d status polls are in flight", len(inFlight))
		}
	}
	for _, polls := range pollsByMachine {
		if polls > 5 {
			t.Errorf("a machine that never answers was polled %d times in 25 s", polls)
		}
	}
	if len(pollsByMachine) < machines {
		t.Errorf("%d of %d machines were polled", len(pollsByMachine), machines)
	}
}

// Commands to hanging machines must not use up the requests that may be in flight.
func TestHangingMachinesDoNotBlockCommandsToOthers(t *testing.T) {
	c := newLeadingCore(t)
	c.cfg.Agents.MaxCommandRequests = 40
	addFleet(c, time.Second, 200)
	for i, machine := range c.aliveMachines {
		if i%2 == 0 {
			machine.commands.unanswered = 1
		}
		key := attemptKey{c.internJob("wk-1").index, int32(i), 1}
		machine.status.tasks[key] = taskStatus{state: wire.TaskExited, cause: wire.CauseDone}
		c.internJob("wk-1").revision = 1 // a record without assignments: all reported tasks are to be cleared
		machine.commands.nextClearAt = time.Millisecond
		c.commands.markDirty(machine)
	}
	runFor(c, time.Second, 1050*time.Millisecond)
	if len(c.commands.inFlight) != 0 {
		t.Fatalf("%d requests are in flight after all were answered", len(c.commands.inFlight))
	}
	for _, machine := range c.aliveMachines {
		machine.commands.nextSendAt = 0
		c.commands.markDirty(machine)
		for key := range machine.commands.attempts {
			delete(machine.commands.attempts, key)
		}
		machine.commands.nextClearAt = time.Millisecond
	}
	toHanging := 0
	requests := outputsOfType[SendCommands](c.Advance(1100 * time.Millisecond))
	for _, request := range requests {
		if c.commands.isUnresponsive(c.internMachine(request.Machine)) {
			toHanging++
		}
	}
	if len(requests) != 40 || toHanging > 10 {
		t.Errorf("%d requests are in flight, %d of them to machines that hang", len(requests), toHanging)
	}
}

// Clients whose requests are shed must retry once the current backlog is written, and not all at once.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	c := newServingCore(t)
	c.transactions.rateLimit.WriteRate = 10
	if seconds := c.retryAfterSeconds(); seconds != 1 {
		t.Errorf("retry after %d s without a backlog", seconds)
	}
	c.pendingSubmissions = 50
	countBySeconds := map[int]int{}
	for range 200 {
		seconds := c.retryAfterSeconds()
		if seconds < 5 || seconds > 10 {
			t.Fatalf("retry after %d s with a backlog of 50 writes at 10 a second", seconds)
		}
		countBySeconds[seconds]++
	}
	if len(countBySeconds) < 4 {
		t.Errorf("clients retry at only %d different times", len(countBySeconds))
	}
	c.pendingSubmissions = 1000
	if seconds := c.retryAfterSeconds(); seconds > maxRetryAfterSeconds {
		t.Errorf("retry after %d s, longer than %d s", seconds, maxRetryAfterSeconds)
	}
	normal := c.maxPendingSubmissions()
	c.Handle(c.now, LoadSample{MaxLoopDelay: 2 * time.Second})
	if c.overload.Level() != overload.Overloaded || c.maxPendingSubmissions() >= normal {
		t.Errorf("at load level %v %d submissions may wait, %d at the normal level",
			c.overload.Level(), c.maxPendingSubmissions(), normal)
	}
}
