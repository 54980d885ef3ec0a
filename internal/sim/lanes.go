package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dewlift/core"
	"dewlift/core/jobrecord"
	"dewlift/priorityclass"
	"dewlift/wire"
)

// order is what the state service's own order of acceptances says of jobs, by their records. It is kept apart from what controllers think.
type order struct {
	w    *World
	list *priorityclass.List
	ends []time.Duration // when controllers ended
	jobs map[string]*inLine
}

// inLine is a job in a lane.
type inLine struct {
	spec  wire.JobSpec
	lane  string
	nr    uint64        // revision of its acceptance
	at    time.Duration // when it was accepted
	began time.Duration // when a task of it ran first; 0: none did
	over  bool
}

const (
	settled = 12 * time.Second // after a controller ended
	// apart is by how much two jobs' acceptances must differ: controllers compare what waits longest by 3 s, as they hear of each other twice a second.
	apart = 5 * time.Second
)

// jumpWindow is for how long a job may be passed by a later one of its lane and shape: a controller that ended is replaced meanwhile, and
// its shards are taken over, read and written.
const jumpWindow = 75 * time.Second

func newOrder(w *World) *order {
	list, err := priorityclass.Parse([]byte(`lanes { name: "first" priorities: "critical" priorities: "high" share_percent: 20 }
		lanes { name: "second" priorities: "standard" } lanes { name: "rest" rise_after_s: 60 }`))
	if err != nil {
		panic(err)
	}
	return &order{w: w, list: list, jobs: map[string]*inLine{}}
}

// stored looks at the records that a transaction wrote.
func (o *order) stored(t wire.Txn, mark uint64) {
	for _, x := range t.Then {
		id, ok := strings.CutPrefix(x.Put, core.Root+"job/")
		if !ok {
			continue
		}
		r, err := jobrecord.Decode(x.Value)
		if err != nil {
			o.w.Check.broken("order", "%s: %v", id, err)
			continue
		}
		o.wrote(id, r, mark)
	}
}

func (o *order) wrote(id string, r *jobrecord.Record, mark uint64) {
	j := o.jobs[id]
	if j == nil {
		j = &inLine{lane: r.PriorityClass, nr: mark, at: o.w.now}
		if r.Spec != nil {
			j.spec = *r.Spec
		}
		o.jobs[id] = j
	} else if r.Spec != nil && (r.PriorityClass != j.lane || r.EnqueueRevision != j.nr) {
		o.w.Check.broken("demoted", "%s was accepted into lane %q as %d and is in %q as %d", id, j.lane, j.nr, r.PriorityClass, r.EnqueueRevision)
	}
	j.over = r.Spec == nil || r.Stage != jobrecord.Queued
}

// begins tells that a task of a job runs.
func (o *order) begins(id string) {
	if j := o.jobs[id]; j != nil && j.began == 0 {
		j.began = o.w.now
	}
}

// jumped checks that no job began long before an earlier one of its lane and shape, which could have.
func (o *order) jumped() {
	ids := slices.Sorted(maps.Keys(o.jobs))
	for _, id := range ids {
		a := o.jobs[id]
		for _, other := range ids {
			b := o.jobs[other]
			if o.unsettled(b.began) || a.lane != b.lane || a.nr >= b.nr || b.at < a.at+apart || b.began == 0 || b.began < a.at || !alike(&a.spec, &b.spec) || a.over && a.began == 0 {
				continue
			}
			if began := a.began; began == 0 && o.w.now-b.began > jumpWindow || began != 0 && began-b.began > jumpWindow {
				o.w.Check.broken("jumped", "%s (%d) began at %v, %s (%d) before it in lane %q at %v", other, b.nr, b.began, id, a.nr, a.lane, began)
			}
		}
	}
}

// unsettled reports whether a controller had ended shortly before: one that starts knows neither the array nor what waits at the others, and
// chooses machines at random, as the paper has it.
func (o *order) unsettled(at time.Duration) bool {
	return slices.ContainsFunc(o.ends, func(t time.Duration) bool { return t <= at && at < t+settled })
}

// alike reports whether two jobs could use the same room.
func alike(a, b *wire.JobSpec) bool {
	return a.Request == b.Request && a.Spot == b.Spot && a.Service == b.Service && a.Team == b.Team && a.Priority == b.Priority
}

// laneJob is one of a few shapes, so that many wait for the same room.
func (w *World) laneJob() wire.JobSpec {
	return wire.JobSpec{ID: fmt.Sprintf("wk-%06d", w.rng.IntN(1_000_000)), Class: "c", Team: "t0", Priority: w.rng.IntN(4), Tasks: 1 + w.rng.IntN(3),
		Request: [3]int64{3000, 0, 2000}, Image: "i0", EstimatedRuntimeMS: 10000}
}

// kills ends controllers, one or all, at any moment.
func (w *World) kills() {
	for at := 10 * time.Second; at < w.opt.Length-40*time.Second; at += w.between(5*time.Second, 40*time.Second) {
		w.after(at, func() {
			all := w.chance(0.15)
			for _, n := range w.nodes {
				if !n.down && (all || n == w.nodes[w.rng.IntN(len(w.nodes))]) {
					w.order.ends = append(w.order.ends, w.now)
					w.crash(n)
				}
			}
		})
	}
}
