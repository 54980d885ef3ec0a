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

// While hundreds of jobs wait for a full fleet, each plan looked at every machine for each of them, and ordered thousands of machines that
// there were not: most of the processor's time, so that polls timed out.
func TestPlansOfAFullFleetAreBounded(t *testing.T) {
	c := New(Config{Form: Form, Name: "n0", Shards: 1, CloudRPS: 4, TxnOps: 12, ValueBytes: 8192, WriteRPS: 30, StateRPS: 100}, 0, 1)
	c.autoscaler.catalog = map[string]*wire.MachineType{"x": {Name: "x", CPUs: 32, MemoryGB: 128, Zones: []string{"a", "b"}, BootS: 15, Price: 1, SpotPrice: 0.5}}
	c.autoscaler.typeNames = []string{"x"}
	c.lead = &lead{blocked: map[pool]time.Duration{}, stopped: map[int32]time.Duration{}}
	const machines, jobs = 1000, 500
	var bins []*bin
	for range machines {
		bins = append(bins, &bin{pool: pool{"x", "a", true}, room: clusterstate.Resources{32000, 0, 128000}, avail: clusterstate.Resources{500, 0, 1000}})
	}
	h := c.newShelf(bins)
	rng := rand.New(rand.NewPCG(1, 1))
	order := map[pool]int{}
	var pools []pool
	for range jobs {
		s := &wire.JobSpec{Tasks: 100, Spot: true, Request: [3]int64{3000 + rng.Int64N(2000), 0, 8000}}
		c.fit(need{spec: s, n: 100, zones: map[string]int{}, prio: 1}, h, order, &pools)
	}
	if most := uint64(30 * (machines + c.rentAtOnce())); c.Stats.PlanLooks > most {
		t.Errorf("%d looks at machines for %d jobs", c.Stats.PlanLooks, jobs)
	}
	if h.added != c.rentAtOnce() {
		t.Errorf("%d machines are ordered, %d can be asked for in a while", h.added, c.rentAtOnce())
	}
	// What needs less than those that found nothing still finds it.
	if now := c.fit(need{spec: &wire.JobSpec{Tasks: 3, Spot: true, Request: [3]int64{400, 0, 900}}, n: 3, zones: map[string]int{}}, h, order, &pools); now != 0 || !bins[0].used {
		t.Errorf("small tasks found no room: %d", now)
	}
}

// Controllers took the same share of new room whatever waited at each: jobs of the same age began two minutes apart.
func TestNewRoomGoesToTheOldestWork(t *testing.T) {
	l := membership.New([]string{"n1", "n2", "n3"}, time.Second)
	here := func(n string) bool { return n != "n3" } // it is not there
	for _, n := range l.PeerNames() {
		l.MarkHeard(0, n)
		l.Peer(n).StoreReachable = true
	}
	l.Peer("n1").QueueHeads = []membership.QueuePosition{{Priority: 1, AtMS: 50_000, Spot: true}, {Priority: 2, AtMS: 20_000, Spot: true}}
	l.Peer("n3").QueueHeads = []membership.QueuePosition{{AtMS: 1}}
	for i, x := range []struct {
		job           membership.QueuePosition
		spot          bool
		before, alike int
	}{
		{membership.QueuePosition{Priority: 1, AtMS: 60_000}, false, 1, 1},
		{membership.QueuePosition{Priority: 1, AtMS: 51_000}, false, 0, 2}, // about as old
		{membership.QueuePosition{Priority: 1, AtMS: 40_000}, false, 0, 1},
		{membership.QueuePosition{Priority: 0, AtMS: 60_000}, false, 0, 1},
		{membership.QueuePosition{Priority: 2, AtMS: 10_000}, true, 1, 1},
	} {
		if before, alike := l.CountCompetitors(0, here, x.job, x.spot); before != x.before || alike != x.alike {
			t.Errorf("%d: %d before and %d alike", i, before, alike)
		}
	}
	l.Peer("n1").QueueHeads[0].Spot = false
	if before, _ := l.CountCompetitors(0, here, membership.QueuePosition{Priority: 1, AtMS: 60_000}, true); before != 0 {
		t.Error("work that may not use spot machines is in the way on one")
	}
	if !l.HasEarlierWork(0, here, membership.QueuePosition{Priority: 2, AtMS: 60_000}, 1) || l.HasEarlierWork(0, here, membership.QueuePosition{Priority: 2, AtMS: 10_000}, 1) || l.HasEarlierWork(0, here, membership.QueuePosition{Priority: 2, AtMS: 60_000}, 2) {
		t.Error("what comes first below a lane")
	}
	l.Peer("n1").StoreReachable = false
	if before, _ := l.CountCompetitors(0, here, membership.QueuePosition{Priority: 1, AtMS: 60_000}, false); before != 0 {
		t.Error("one that can write nothing is waited for")
	}
}

// A job may have half of its tasks in a zone. When that zone's machines were the best, as they hold its image, none of the others was looked at,
// and replicas waited for minutes beside hundreds of machines with room.
func TestReplicasFindRoomBesideAFullZone(t *testing.T) {
	for _, held := range []int{0, 1} { // tasks that zone a has already
		c := New(Config{Form: Form, Name: "n0", Shards: 1, TxnOps: 12, ValueBytes: 8192, WriteRPS: 30, StateRPS: 100, ReportEvery: time.Minute,
			ProbeRatio: 2, PreferImage: true, CopyExpire: time.Hour}, 0, 1)
		c.autoscaler.catalog = map[string]*wire.MachineType{"x": {Name: "x", CPUs: 8, MemoryGB: 8, Zones: []string{"a", "b"}}}
		c.ownLease.id, c.ownLease.expiresAt = 1, time.Hour
		array := clusterstate.NewArray()
		for i := range 40 {
			m := c.machine(string(rune('A' + i)))
			m.status.reported, m.status.incarnation, m.identity.address, m.identity.machineType, m.identity.zone = true, 1, "x:1", "x", "a"
			if i >= 20 {
				m.identity.zone = "b"
			} else {
				m.status.images["i"] = true
			}
			array.SetMachine(m.idx, clusterstate.Resources{8000, 0, 8000}, clusterstate.Resources{}, true)
		}
		rows, _ := array.ChangedSince(0)
		c.clusterCopy.state.Replace(c.now, rows, nil)
		s := &wire.JobSpec{Service: true, Spread: true, Tasks: 2, Request: [3]int64{1000, 0, 1000}, Image: "i"}
		p := &proposal{j: &job{}, rec: &jobrecord.Record{Spec: s}, spec: s, accept: true}
		for i := range held {
			p.place = append(p.place, jobrecord.Assignment{Task: int32(i), Machine: 0, Incarnation: 1})
		}
		c.assign(p, &builder{c: c})
		zones := map[string]int{}
		for _, a := range p.place {
			zones[c.machines[a.Machine].identity.zone]++
		}
		if zones["a"] != 1 || zones["b"] != 1 {
			t.Errorf("with %d in zone a: tasks are in %v", held, zones)
		}
	}
}
