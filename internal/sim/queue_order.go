package sim

import (
	"dewlift/core"
	"dewlift/core/jobrecord"
	"dewlift/priorityclass"
	"dewlift/wire"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// queueOrderChecker is what the state service's own order of acceptances says of jobs, by their
// records. It is kept apart from what controllers think.
type queueOrderChecker struct {
	sim        *Simulator
	classes    *priorityclass.List
	crashTimes []time.Duration // when controllers ended
	jobs       map[string]*queuedJob
}

// queuedJob is a job in a lane.
type queuedJob struct {
	spec            wire.JobSpec
	priorityClass   string
	enqueueRevision uint64        // revision of its acceptance
	acceptedAt      time.Duration // when it was accepted
	startedAt       time.Duration // when a task of it ran first; 0: none did
	ended           bool
}

const (
	crashSettleTime = 12 * time.Second // after a controller ended
	// apart is by how much two jobs' acceptances must differ: controllers compare what waits
	// longest by 3 s, as they hear of each other twice a second.
	minAcceptGap = 5 * time.Second
)

// maxOvertakeDelay is for how long a job may be passed by a later one of its lane and shape: a
// controller that ended is replaced meanwhile, and its shards are taken over, read and written.
const maxOvertakeDelay = 75 * time.Second

func newQueueOrderChecker(w *Simulator) *queueOrderChecker {
	list, err := priorityclass.Parse(
		[]byte(`lanes { name: "first" priorities: "critical" priorities: "high" share_percent: 20 }
		lanes { name: "second" priorities: "standard" } lanes { name: "rest" rise_after_s: 60 }`),
	)
	if err != nil {
		panic(err)
	}
	return &queueOrderChecker{sim: w, classes: list, jobs: map[string]*queuedJob{}}
}

// checkTxn looks at the records that a transaction wrote.
func (o *queueOrderChecker) checkTxn(t wire.Txn, mark uint64) {
	for _, x := range t.Then {
		id, ok := strings.CutPrefix(x.Put, core.Root+"job/")
		if !ok {
			continue
		}
		r, err := jobrecord.Decode(x.Value)
		if err != nil {
			o.sim.Checker.violated("order", "%s: %v", id, err)
			continue
		}
		o.jobWritten(id, r, mark)
	}
}

func (o *queueOrderChecker) jobWritten(id string, r *jobrecord.Record, mark uint64) {
	j := o.jobs[id]
	if j == nil {
		j = &queuedJob{priorityClass: r.PriorityClass, enqueueRevision: mark, acceptedAt: o.sim.now}
		if r.Spec != nil {
			j.spec = *r.Spec
		}
		o.jobs[id] = j
	} else if r.Spec != nil && (r.PriorityClass != j.priorityClass || r.EnqueueRevision != j.enqueueRevision) {
		o.sim.Checker.violated("demoted", "%s was accepted into lane %q as %d and is in %q as %d", id, j.priorityClass, j.enqueueRevision, r.PriorityClass, r.EnqueueRevision)
	}
	j.ended = r.Spec == nil || r.Stage != jobrecord.Queued
}

// jobStarted tells that a task of a job runs.
func (o *queueOrderChecker) jobStarted(id string) {
	if j := o.jobs[id]; j != nil && j.startedAt == 0 {
		j.startedAt = o.sim.now
	}
}

// checkOvertaking checks that no job began long before an earlier one of its lane and shape, which could have.
func (o *queueOrderChecker) checkOvertaking() {
	ids := slices.Sorted(maps.Keys(o.jobs))
	for _, id := range ids {
		a := o.jobs[id]
		for _, other := range ids {
			b := o.jobs[other]
			if o.crashedShortlyBefore(b.startedAt) || a.priorityClass != b.priorityClass ||
				a.enqueueRevision >= b.enqueueRevision ||
				b.acceptedAt < a.acceptedAt+minAcceptGap ||
				b.startedAt == 0 ||
				b.startedAt < a.acceptedAt ||
				!sameShape(&a.spec, &b.spec) ||
				a.ended && a.startedAt == 0 {
				continue
			}
			if began := a.startedAt; began == 0 && o.sim.now-b.startedAt > maxOvertakeDelay ||
				began != 0 && began-b.startedAt > maxOvertakeDelay {
				o.sim.Checker.violated(
					"jumped",
					"%s (%d) began at %v, %s (%d) before it in lane %q at %v",
					other,
					b.enqueueRevision,
					b.startedAt,
					id,
					a.enqueueRevision,
					a.priorityClass,
					began,
				)
			}
		}
	}
}

// crashedShortlyBefore reports whether a controller had ended shortly before: one that starts knows
// neither the array nor what waits at the others, and chooses machines at random, as the paper has
// it.
func (o *queueOrderChecker) crashedShortlyBefore(at time.Duration) bool {
	return slices.ContainsFunc(o.crashTimes, func(t time.Duration) bool { return t <= at && at < t+crashSettleTime })
}

// sameShape reports whether two jobs could use the same room.
func sameShape(a, b *wire.JobSpec) bool {
	return a.Request == b.Request && a.Spot == b.Spot && a.Service == b.Service && a.Team == b.Team &&
		a.Priority == b.Priority
}

// uniformJob is one of a few shapes, so that many wait for the same room.
func (w *Simulator) uniformJob() wire.JobSpec {
	return wire.JobSpec{
		ID: fmt.Sprintf(
			"wk-%06d",
			w.rng.IntN(1_000_000),
		), Class: "c", Team: "t0", Priority: w.rng.IntN(4), Tasks: 1 + w.rng.IntN(3),
		Request: [3]int64{3000, 0, 2000}, Image: "i0", EstimatedRuntimeMS: 10000,
	}
}

// scheduleCrashes ends controllers, one or all, at any moment.
func (w *Simulator) scheduleCrashes() {
	for at := 10 * time.Second; at < w.options.Duration-40*time.Second; at += w.randomDuration(5*time.Second, 40*time.Second) {
		w.schedule(at, func() {
			all := w.chance(0.15)
			for _, n := range w.nodes {
				if !n.down && (all || n == w.nodes[w.rng.IntN(len(w.nodes))]) {
					w.queueOrder.crashTimes = append(w.queueOrder.crashTimes, w.now)
					w.crash(n)
				}
			}
		})
	}
}
