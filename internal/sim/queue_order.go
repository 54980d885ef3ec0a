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

// queueOrderChecker tracks the queue from the order of acceptances in the store and from the jobs' records. It does not
// depend on the state of any controller.
type queueOrderChecker struct {
	sim        *Simulator
	classes    *priorityclass.List
	crashTimes []time.Duration // when controllers crashed
	jobs       map[string]*queuedJob
}

// queuedJob is a job of a priority class.
type queuedJob struct {
	spec            wire.JobSpec
	priorityClass   string
	enqueueRevision uint64 // revision of its acceptance
	acceptedAt      time.Duration
	startedAt       time.Duration // when a task of it first ran; 0: none did
	ended           bool
}

const (
	// crashSettleTime is how long after a crash the order of starts is not checked; see crashedShortlyBefore.
	crashSettleTime = 12 * time.Second
	// minAcceptGap is the smallest difference between acceptance times that is checked: controllers exchange the heads
	// of their queues twice a second, and treat waiting times that differ by less than 3 s as equal.
	minAcceptGap = 5 * time.Second
	// maxOvertakeDelay is how much later a job may start than one of its class and shape that was accepted after it.
	// Meanwhile a crashed controller is replaced, and its shards are taken over, read and written.
	maxOvertakeDelay = 75 * time.Second
)

func newQueueOrderChecker(sim *Simulator) *queueOrderChecker {
	list, err := priorityclass.Parse(
		[]byte(`lanes { name: "first" priorities: "critical" priorities: "high" share_percent: 20 }
		lanes { name: "second" priorities: "standard" } lanes { name: "rest" rise_after_s: 60 }`),
	)
	if err != nil {
		panic(err) // the text is constant
	}
	return &queueOrderChecker{sim: sim, classes: list, jobs: map[string]*queuedJob{}}
}

// checkTxn records and checks the jobs' records that a transaction wrote at a revision.
func (c *queueOrderChecker) checkTxn(txn wire.Txn, revision uint64) {
	for _, write := range txn.Then {
		id, ok := strings.CutPrefix(write.Put, core.Root+"job/")
		if !ok {
			continue
		}
		record, err := jobrecord.Decode(write.Value)
		if err != nil {
			c.sim.Checker.violated("order", "%s: %v", id, err)
			continue
		}
		c.jobWritten(id, record, revision)
	}
}

// jobWritten records a job's record and checks that the job keeps its priority class and its position.
func (c *queueOrderChecker) jobWritten(id string, record *jobrecord.Record, revision uint64) {
	job := c.jobs[id]
	if job == nil {
		job = &queuedJob{
			priorityClass: record.PriorityClass, enqueueRevision: revision, acceptedAt: c.sim.now,
		}
		if record.Spec != nil {
			job.spec = *record.Spec
		}
		c.jobs[id] = job
	} else if record.Spec != nil &&
		(record.PriorityClass != job.priorityClass || record.EnqueueRevision != job.enqueueRevision) {
		c.sim.Checker.violated("demoted", "%s was accepted into priority class %q at revision %d, is now in %q at %d",
			id, job.priorityClass, job.enqueueRevision, record.PriorityClass, record.EnqueueRevision)
	}
	job.ended = record.Spec == nil || record.Stage != jobrecord.Queued
}

// jobStarted records that a task of a job runs.
func (c *queueOrderChecker) jobStarted(id string) {
	if job := c.jobs[id]; job != nil && job.startedAt == 0 {
		job.startedAt = c.sim.now
	}
}

// checkOvertaking checks that no job started long before an earlier one of its class and shape that could have started.
func (c *queueOrderChecker) checkOvertaking() {
	ids := slices.Sorted(maps.Keys(c.jobs))
	for _, id := range ids {
		earlier := c.jobs[id]
		for _, otherID := range ids {
			later := c.jobs[otherID]
			if !c.mustStartInOrder(earlier, later) {
				continue
			}
			startedLate := earlier.startedAt != 0 && earlier.startedAt-later.startedAt > maxOvertakeDelay
			overdue := earlier.startedAt == 0 && c.sim.now-later.startedAt > maxOvertakeDelay
			if startedLate || overdue {
				c.sim.Checker.violated("jumped", "%s (%d) started at %v, the earlier %s (%d) of class %q at %v",
					otherID, later.enqueueRevision, later.startedAt,
					id, earlier.enqueueRevision, earlier.priorityClass, earlier.startedAt)
			}
		}
	}
}

// mustStartInOrder reports whether the start of the later job implies that the other, which was accepted well before
// it, could start too.
func (c *queueOrderChecker) mustStartInOrder(earlier, later *queuedJob) bool {
	if earlier.priorityClass != later.priorityClass || !sameShape(&earlier.spec, &later.spec) {
		return false
	}
	if earlier.enqueueRevision >= later.enqueueRevision || later.acceptedAt < earlier.acceptedAt+minAcceptGap {
		return false
	}
	if later.startedAt == 0 || later.startedAt < earlier.acceptedAt || c.crashedShortlyBefore(later.startedAt) {
		return false
	}
	endedUnstarted := earlier.ended && earlier.startedAt == 0
	return !endedUnstarted
}

// crashedShortlyBefore reports whether a controller crashed shortly before. A controller that starts knows neither the
// cluster state nor the queues of the others, and chooses machines at random, as in the paper.
func (c *queueOrderChecker) crashedShortlyBefore(at time.Duration) bool {
	return slices.ContainsFunc(c.crashTimes, func(crashedAt time.Duration) bool {
		return crashedAt <= at && at < crashedAt+crashSettleTime
	})
}

// sameShape reports whether two jobs can use the same capacity.
func sameShape(a, b *wire.JobSpec) bool {
	return a.Request == b.Request && a.Spot == b.Spot && a.Service == b.Service && a.Team == b.Team &&
		a.Priority == b.Priority
}

// uniformJob draws a job of one of few shapes, so that many wait for the same capacity.
func (s *Simulator) uniformJob() wire.JobSpec {
	return wire.JobSpec{
		ID:                 fmt.Sprintf("wk-%06d", s.rng.IntN(1_000_000)),
		Class:              "c",
		Team:               "t0",
		Priority:           s.rng.IntN(4),
		Tasks:              1 + s.rng.IntN(3),
		Request:            [3]int64{3000, 0, 2000},
		Image:              "i0",
		EstimatedRuntimeMS: 10000,
	}
}

// crashFreeTail is how long before the end no controller crashes.
const crashFreeTail = 40 * time.Second

// scheduleCrashes schedules crashes of one controller or all.
func (s *Simulator) scheduleCrashes() {
	end := s.options.Duration - crashFreeTail
	for at := 10 * time.Second; at < end; at += s.randomDuration(5*time.Second, 40*time.Second) {
		s.schedule(at, func() {
			all := s.chance(0.15)
			for _, n := range s.nodes {
				if !n.down && (all || n == s.anyNode()) {
					s.queueOrder.crashTimes = append(s.queueOrder.crashTimes, s.now)
					s.crash(n)
				}
			}
		})
	}
}
