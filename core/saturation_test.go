package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/wire"
)

// While hundreds of jobs waited in a full cluster, each plan examined every machine for each of them and
// requested thousands of machines that the cloud did not have. Planning used most of the CPU time, so that
// polls of agents timed out.
func TestPlansOfAFullClusterAreBounded(t *testing.T) {
	c := newPlanningCore()
	const machines, jobs = 1000, 500
	var bins []*bin
	for range machines {
		bins = append(bins, &bin{
			nodeGroup: nodeGroup{"x", "a", true},
			capacity:  clusterstate.Resources{32000, 0, 128000},
			available: clusterstate.Resources{500, 0, 1000},
		})
	}
	supply := c.leaderState.newSupply(bins, &c.Stats)
	rng := rand.New(rand.NewPCG(1, 1))
	for range jobs {
		spec := &wire.JobSpec{Tasks: 100, Spot: true, Request: [3]int64{3000 + rng.Int64N(2000), 0, 8000}}
		d := demand{spec: spec, tasks: 100, tasksByZone: map[string]int{}, priorityClass: 1}
		c.packDemand(d, supply)
	}
	if limit := uint64(30 * (machines + c.autoscaler.maxScaleOut())); c.Stats.PlanMachineLooks > limit {
		t.Errorf("%d machines examined for %d jobs, the limit is %d", c.Stats.PlanMachineLooks, jobs, limit)
	}
	if limit := c.autoscaler.maxScaleOut(); supply.plannedMachines != limit {
		t.Errorf("%d machines are planned, want the scale-out limit of %d", supply.plannedMachines, limit)
	}

	// A request that is smaller than those that did not fit must still be packed.
	small := demand{
		spec:        &wire.JobSpec{Tasks: 3, Spot: true, Request: [3]int64{400, 0, 900}},
		tasks:       3,
		tasksByZone: map[string]int{},
	}
	if placeable := c.packDemand(small, supply); placeable != 0 || !bins[0].needed {
		t.Errorf("small tasks do not fit: %d placed now, machine needed: %v", placeable, bins[0].needed)
	}
}

// newPlanningCore returns a leader that can scale out machines of a single type.
func newPlanningCore() *Core {
	c := New(Config{
		Autoscaling:   AutoscalingConfig{CloudRequestRate: 4},
		Store:         StoreConfig{MaxTxnOps: 12, MaxValueBytes: 8192, WriteRate: 30, RequestRate: 100},
		SchemaVersion: SchemaVersion,
		Name:          "n0",
		Shards:        1,
	}, 0, 1)
	c.autoscaler.catalog = map[string]*wire.MachineType{
		"x": {Name: "x", CPUs: 32, MemoryGB: 128, Zones: []string{"a", "b"}, BootS: 15, Price: 1, SpotPrice: 0.5},
	}
	c.autoscaler.typeNames = []string{"x"}
	c.leaderState = newLeaderState(&c.autoscaler, &c.machineTable, 0)
	return c
}

// Controllers took equal shares of freed capacity regardless of the work that waited at each, so that jobs of
// the same age started two minutes apart.
func TestFreedCapacityGoesToTheOldestWork(t *testing.T) {
	members := membership.New([]string{"n1", "n2", "n3"}, time.Second)
	isLive := func(name string) bool { return name != "n3" }
	for _, name := range members.PeerNames() {
		members.MarkSeen(0, name)
		members.Peer(name).StoreReachable = true
	}
	members.Peer("n1").QueueHeads = []membership.QueuePosition{
		{Priority: 1, EnqueuedAtMS: 50_000, Spot: true},
		{Priority: 2, EnqueuedAtMS: 20_000, Spot: true},
	}
	members.Peer("n3").QueueHeads = []membership.QueuePosition{{EnqueuedAtMS: 1}}
	for _, test := range []struct {
		name         string
		job          membership.QueuePosition
		spot         bool
		before, tied int
	}{
		{"later", membership.QueuePosition{Priority: 1, EnqueuedAtMS: 60_000}, false, 1, 1},
		{"about as old", membership.QueuePosition{Priority: 1, EnqueuedAtMS: 51_000}, false, 0, 2},
		{"earlier", membership.QueuePosition{Priority: 1, EnqueuedAtMS: 40_000}, false, 0, 1},
		{"higher class", membership.QueuePosition{Priority: 0, EnqueuedAtMS: 60_000}, false, 0, 1},
		{"lower class on spot", membership.QueuePosition{Priority: 2, EnqueuedAtMS: 10_000}, true, 1, 1},
	} {
		before, tied := members.CountCompetitors(0, isLive, test.job, test.spot)
		if before != test.before || tied != test.tied {
			t.Errorf("%s: %d before and %d tied, want %d and %d", test.name, before, tied, test.before, test.tied)
		}
	}

	job := membership.QueuePosition{Priority: 1, EnqueuedAtMS: 60_000}
	members.Peer("n1").QueueHeads[0].Spot = false
	if before, _ := members.CountCompetitors(0, isLive, job, true); before != 0 {
		t.Error("work that may not use spot machines competes for one")
	}

	for _, test := range []struct {
		enqueuedAtMS int64
		below        int
		want         bool
	}{
		{60_000, 1, true},
		{10_000, 1, false},
		{60_000, 2, false},
	} {
		position := membership.QueuePosition{Priority: 2, EnqueuedAtMS: test.enqueuedAtMS}
		if got := members.HasEarlierWork(0, isLive, position, test.below); got != test.want {
			t.Errorf("work below class %d earlier than %d: %v", test.below, test.enqueuedAtMS, got)
		}
	}

	members.Peer("n1").StoreReachable = false
	if before, _ := members.CountCompetitors(0, isLive, job, false); before != 0 {
		t.Error("capacity is yielded to a controller that cannot reach the store")
	}
}

// A spread job may have at most half of its tasks in one zone. When the machines of a full zone ranked best
// because they had the image, no others were examined, and replicas waited for minutes although hundreds of
// machines in other zones had capacity.
func TestReplicasUseOtherZoneWhenOneIsFull(t *testing.T) {
	for _, placed := range []int{0, 1} { // number of tasks already in zone a
		c := newCoreOfTwoZones()
		spec := &wire.JobSpec{Service: true, Spread: true, Tasks: 2, Request: [3]int64{1000, 0, 1000}, Image: "i"}
		p := &proposal{job: &job{}, record: &jobrecord.Record{Spec: spec}, spec: spec, isAcceptance: true}
		for i := range placed {
			p.assignments = append(p.assignments, jobrecord.Assignment{Task: int32(i), Machine: 0, Incarnation: 1})
		}
		c.assignTasks(p, &txnBuilder{core: c})
		tasksInZone := map[string]int{}
		for _, assignment := range p.assignments {
			tasksInZone[c.machines[assignment.Machine].identity.zone]++
		}
		if tasksInZone["a"] != 1 || tasksInZone["b"] != 1 {
			t.Errorf("with %d tasks already in zone a: tasks by zone are %v", placed, tasksInZone)
		}
	}
}

// newCoreOfTwoZones returns a controller with 20 empty machines in each of two zones. The machines of zone a,
// which have the smaller indices, have image i.
func newCoreOfTwoZones() *Core {
	c := New(Config{
		Store:         StoreConfig{MaxTxnOps: 12, MaxValueBytes: 8192, WriteRate: 30, RequestRate: 100},
		Agents:        AgentConfig{HeartbeatInterval: time.Minute},
		Scheduling:    SchedulingConfig{CandidateRatio: 2, PreferImage: true},
		State:         StateConfig{CopyExpiry: time.Hour},
		SchemaVersion: SchemaVersion,
		Name:          "n0",
		Shards:        1,
	}, 0, 1)
	c.autoscaler.catalog = map[string]*wire.MachineType{
		"x": {Name: "x", CPUs: 8, MemoryGB: 8, Zones: []string{"a", "b"}},
	}
	c.ownLease.id, c.ownLease.expiresAt = 1, time.Hour
	array := clusterstate.NewArray()
	for i := range 40 {
		m := c.internMachine(string(rune('A' + i)))
		m.status.reported, m.status.incarnation = true, 1
		m.identity.address, m.identity.machineType, m.identity.zone = "x:1", "x", "a"
		if i >= 20 {
			m.identity.zone = "b"
		} else {
			m.status.images["i"] = true
		}
		array.SetMachine(m.index, clusterstate.Resources{8000, 0, 8000}, clusterstate.Resources{}, true)
	}
	rows, _ := array.ChangedSince(0)
	c.clusterCopy.state.Replace(c.now, rows, nil)
	return c
}

// A response to a cloud request that arrives after its leader's term has ended must not trigger a back-off,
// because the jitter would draw a random number, on which all later decisions depend.
func TestCloudResponseAfterTermDoesNotBackOff(t *testing.T) {
	for _, ended := range []bool{false, true} {
		c := newPlanningCore()
		term := c.leaderState
		term.cloudCallBudget = 1
		answered := false
		if !term.callCloud(CloudRequest{Op: CloudList}, func(CloudResult) { answered = true }) {
			t.Fatal("the request was not sent")
		}
		id := c.lastID
		if ended {
			c.endTerm()
		}
		c.Handle(time.Second, CloudResult{ID: id, Status: wire.StatusTooManyRequests})
		if !answered {
			t.Errorf("ended: %v: the callback was not called", ended)
		}
		if backsOff := term.cloudBackoffUntil > 0; backsOff == ended {
			t.Errorf("ended: %v: back-off is active: %v", ended, backsOff)
		}
		if c.leaderState != nil && ended {
			t.Error("the leader state still exists after the end of the term")
		}
	}
}
