package core

import (
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/wire"
	"math/rand/v2"
	"testing"
	"time"
)

// While hundreds of jobs wait for a full fleet, each plan looked at every machine for each of them,
// and ordered thousands of machines that there were not: most of the processor's time, so that
// polls timed out.
func TestPlansOfAFullFleetAreBounded(t *testing.T) {
	c := New(
		Config{
			Autoscaling: AutoscalingConfig{
				CloudRequestRate: 4,
			},
			Store: StoreConfig{
				MaxTxnOps:     12,
				MaxValueBytes: 8192,
				WriteRate:     30,
				RequestRate:   100,
			},

			SchemaVersion: SchemaVersion,
			Name:          "n0",
			Shards:        1,
		},
		0,
		1,
	)
	c.autoscaler.catalog = map[string]*wire.MachineType{
		"x": {Name: "x", CPUs: 32, MemoryGB: 128, Zones: []string{"a", "b"}, BootS: 15, Price: 1, SpotPrice: 0.5},
	}
	c.autoscaler.typeNames = []string{"x"}
	c.leaderState = &leaderState{
		blockedUntil:     map[nodeGroup]time.Duration{},
		lastPreemptedFor: map[int32]time.Duration{},
	}
	const machines, jobs = 1000, 500
	var bins []*bin
	for range machines {
		bins = append(
			bins,
			&bin{
				nodeGroup: nodeGroup{"x", "a", true},
				capacity:  clusterstate.Resources{32000, 0, 128000},
				available: clusterstate.Resources{500, 0, 1000},
			},
		)
	}
	h := c.newSupply(bins)
	rng := rand.New(rand.NewPCG(1, 1))
	for range jobs {
		s := &wire.JobSpec{Tasks: 100, Spot: true, Request: [3]int64{3000 + rng.Int64N(2000), 0, 8000}}
		c.packDemand(demand{spec: s, tasks: 100, tasksByZone: map[string]int{}, priorityClass: 1}, h)
	}
	if most := uint64(30 * (machines + c.maxScaleOut())); c.Stats.PlanMachineLooks > most {
		t.Errorf("%d looks at machines for %d jobs", c.Stats.PlanMachineLooks, jobs)
	}
	if h.plannedMachines != c.maxScaleOut() {
		t.Errorf("%d machines are ordered, %d can be asked for in a while", h.plannedMachines, c.maxScaleOut())
	}
	// What needs less than those that found nothing still finds it.
	if now := c.packDemand(demand{
		spec:        &wire.JobSpec{Tasks: 3, Spot: true, Request: [3]int64{400, 0, 900}},
		tasks:       3,
		tasksByZone: map[string]int{},
	}, h); now != 0 ||
		!bins[0].needed {
		t.Errorf("small tasks found no room: %d", now)
	}
}

// Controllers took the same share of new room whatever waited at each: jobs of the same age began two minutes apart.
func TestFreedCapacityGoesToTheOldestWork(t *testing.T) {
	l := membership.New([]string{"n1", "n2", "n3"}, time.Second)
	here := func(n string) bool { return n != "n3" } // it is not there
	for _, n := range l.PeerNames() {
		l.MarkHeard(0, n)
		l.Peer(n).StoreReachable = true
	}
	l.Peer("n1").QueueHeads = []membership.QueuePosition{
		{Priority: 1, EnqueuedAtMS: 50_000, Spot: true},
		{Priority: 2, EnqueuedAtMS: 20_000, Spot: true},
	}
	l.Peer("n3").QueueHeads = []membership.QueuePosition{{EnqueuedAtMS: 1}}
	for i, x := range []struct {
		job           membership.QueuePosition
		spot          bool
		before, alike int
	}{
		{membership.QueuePosition{Priority: 1, EnqueuedAtMS: 60_000}, false, 1, 1},
		{membership.QueuePosition{Priority: 1, EnqueuedAtMS: 51_000}, false, 0, 2}, // about as old
		{membership.QueuePosition{Priority: 1, EnqueuedAtMS: 40_000}, false, 0, 1},
		{membership.QueuePosition{Priority: 0, EnqueuedAtMS: 60_000}, false, 0, 1},
		{membership.QueuePosition{Priority: 2, EnqueuedAtMS: 10_000}, true, 1, 1},
	} {
		if before, alike := l.CountCompetitors(0, here, x.job, x.spot); before != x.before || alike != x.alike {
			t.Errorf("%d: %d before and %d alike", i, before, alike)
		}
	}
	l.Peer("n1").QueueHeads[0].Spot = false
	if before, _ := l.CountCompetitors(0, here, membership.QueuePosition{
		Priority:     1,
		EnqueuedAtMS: 60_000,
	}, true); before != 0 {
		t.Error("work that may not use spot machines is in the way on one")
	}
	if !l.HasEarlierWork(0, here, membership.QueuePosition{Priority: 2, EnqueuedAtMS: 60_000}, 1) ||
		l.HasEarlierWork(0, here, membership.QueuePosition{Priority: 2, EnqueuedAtMS: 10_000}, 1) ||
		l.HasEarlierWork(0, here, membership.QueuePosition{Priority: 2, EnqueuedAtMS: 60_000}, 2) {
		t.Error("what comes first below a lane")
	}
	l.Peer("n1").StoreReachable = false
	if before, _ := l.CountCompetitors(0, here, membership.QueuePosition{
		Priority:     1,
		EnqueuedAtMS: 60_000,
	}, false); before != 0 {
		t.Error("one that can write nothing is waited for")
	}
}

// A job may have half of its tasks in a zone. When that zone's machines were the best, as they hold
// its image, none of the others was looked at, and replicas waited for minutes beside hundreds of
// machines with room.
func TestReplicasFindRoomBesideAFullZone(t *testing.T) {
	for _, held := range []int{0, 1} { // tasks that zone a has already
		c := New(Config{
			Store: StoreConfig{
				MaxTxnOps:     12,
				MaxValueBytes: 8192,
				WriteRate:     30,
				RequestRate:   100,
			},
			Agents: AgentConfig{
				HeartbeatInterval: time.Minute,
			},
			Scheduling: SchedulingConfig{
				CandidateRatio: 2,
				PreferImage:    true,
			},
			State: StateConfig{
				CopyExpiry: time.Hour,
			},

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
			m.status.reported, m.status.incarnation, m.identity.address, m.identity.machineType, m.identity.zone = true, 1, "x:1", "x", "a"
			if i >= 20 {
				m.identity.zone = "b"
			} else {
				m.status.images["i"] = true
			}
			array.SetMachine(m.index, clusterstate.Resources{8000, 0, 8000}, clusterstate.Resources{}, true)
		}
		rows, _ := array.ChangedSince(0)
		c.clusterCopy.state.Replace(c.now, rows, nil)
		s := &wire.JobSpec{Service: true, Spread: true, Tasks: 2, Request: [3]int64{1000, 0, 1000}, Image: "i"}
		p := &proposal{job: &job{}, record: &jobrecord.Record{Spec: s}, spec: s, isAcceptance: true}
		for i := range held {
			p.assignments = append(p.assignments, jobrecord.Assignment{Task: int32(i), Machine: 0, Incarnation: 1})
		}
		c.assignTasks(p, &txnBuilder{core: c})
		zones := map[string]int{}
		for _, a := range p.assignments {
			zones[c.machines[a.Machine].identity.zone]++
		}
		if zones["a"] != 1 || zones["b"] != 1 {
			t.Errorf("with %d in zone a: tasks are in %v", held, zones)
		}
	}
}
