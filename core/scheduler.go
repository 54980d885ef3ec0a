package core

import (
	"dewlift/wire"
	"slices"
	"time"
)

// scheduleJobs evaluates the jobs that changed and commits what follows.
func (c *Core) scheduleJobs() {
	if c.auditNotReady() {
		return
	}
	inflight := 0
	for _, x := range c.transactions.inFlight {
		if x.onDone == nil {
			inflight++
		}
	}
	if c.placement.yieldedUntil != 0 && c.now >= c.placement.yieldedUntil {
		c.placement.yieldedUntil, c.placement.nextScanAt, c.placement.capacityFreed = 0, c.now, true
	}
	if c.placement.capacityFreed && c.now >= c.placement.nextScanAt {
		c.placement.capacityFreed = false
		c.placement.unplaceable = c.placement.unplaceable[:0]
		c.placement.nextScanAt = c.now + c.placementScanInterval()
		for _, j := range c.openJobs {
			if j.placement.hasUnplacedTasks && c.ownsJob(j) {
				c.markDirty(j)
			}
		}
	}
	// With hundreds of jobs that wait, finding out that nothing can be written now is most of what a turn takes.
	if c.pendingSubmissions == 0 && c.now >= c.cancelAcks.waitersUntil && c.now < c.transactions.nextBlockedScanAt &&
		(c.transactions.rateLimit.IsPaused(c.now) || inflight >= 3 || c.transactions.rateLimit.ReadTokens < 1 || c.transactions.rateLimit.WriteTokens < 1+reservedWrites) {
		return
	}
	c.transactions.nextBlockedScanAt = c.now + blockedScanInterval
	var todo []*job
	for _, j := range c.openJobs {
		if j.submission != nil && !j.write.inFlight && c.now >= j.submission.deadline {
			c.completeSubmission(j, wire.StatusUnavailable, reasonTooBusy)
		}
		if len(j.cancellation.waiters) > 0 && !j.write.inFlight && c.now >= j.cancellation.answerBy {
			c.rejectCancellations(j, reasonTooBusy)
		}
		if !j.write.dirty || j.write.inFlight || j.write.outcomeUnknown || c.now < j.write.nextLookAt {
			continue
		}
		if j.revision != 0 && j.submission != nil {
			c.completeSubmission(j, wire.StatusOK, "")
		}
		if j.revision == 0 && j.submission == nil ||
			j.revision != 0 && len(j.cancellation.waiters) == 0 && !c.ownsJob(j) {
			j.write.dirty = false
			continue
		}
		if c.placement.capacityFreed && c.now < c.placement.nextScanAt && j.placement.hasUnplacedTasks &&
			!j.placement.tasksLost &&
			j.revision != 0 &&
			len(j.cancellation.waiters) == 0 &&
			c.isBehindFirstWaiting(j) {
			j.write.nextLookAt = c.placement.nextScanAt // all that wait are looked at then, in their order
			continue
		}
		todo = append(todo, j)
	}
	c.transactions.backlog = len(todo)
	// What users wait for goes out sooner: a full budget or slow answers hold it back less.
	paused, most, reads := c.transactions.rateLimit.IsPaused(c.now), 3, 1.0
	if slices.ContainsFunc(todo, func(j *job) bool { return c.writePriority(j) <= writePriorityAccept }) {
		paused, most, reads = c.transactions.rateLimit.IsUrgentPaused(c.now), 6, -c.transactions.rateLimit.ReadRate/2
	}
	if paused || inflight >= most || !c.holdsLease() || len(todo) == 0 ||
		c.transactions.rateLimit.ReadTokens < reads {
		return
	}
	if most == 3 && c.transactions.rateLimit.WriteTokens < 1+reservedWrites {
		return // nothing could be written: with thousands of jobs to look at, that is not worth finding out
	}
	// A team's key is one more change for each transaction. Where changes are few and many jobs
	// wait, they are placed together.
	many := 0
	for _, j := range todo {
		if c.writePriority(j) == 2 && c.teamOf(j.record.Spec) != nil && c.teamOf(j.record.Spec).hasMaxQuota() {
			many++
		}
	}
	if most == 3 && many >= batchPlacementJobs &&
		c.transactions.rateLimit.WriteTokens < 0.7*c.transactions.rateLimit.WriteBurst(c.cfg.Store.MaxTxnOps) {
		return
	}
	// Ends of tasks share writes: the more jobs run, the longer they wait for others.
	running := 0
	for _, j := range c.openJobs {
		if len(j.assignments) > 0 && j.record.Spec != nil && !j.record.Spec.Service && c.ownsJob(j) {
			running++
		}
	}
	c.transactions.endBatchDelay = min(
		c.cfg.Scheduling.MaxEndBatchDelay,
		max(
			c.cfg.Scheduling.MinEndBatchDelay,
			time.Duration(float64(running)/(0.5*c.transactions.rateLimit.WriteRate)*float64(time.Second)),
		),
	)
	for _, j := range todo {
		j.queue.missingReplicas = c.countLostReplicas(j)
		j.queue.rank = c.queueRankOf(j)
	}
	slices.SortStableFunc(todo, func(a, b *job) int {
		if d := c.writePriority(a) - c.writePriority(b); d != 0 {
			return d
		}
		return a.queue.rank.compare(b.queue.rank)
	})
	todo = c.enforceStartShares(todo)
	b := &txnBuilder{core: c, addedUsage: map[*team][2]int64{}}
	for _, j := range todo {
		if !b.addJob(j) {
			break
		}
	}
	if len(b.slotDrafts) > 0 { // ends that would have waited for others go with them
		for _, j := range c.openJobs {
			if j.write.waitsForEnds && !j.write.inFlight && !j.write.outcomeUnknown && j.record.Spec != nil &&
				b.slotDrafts[c.slotNumber(j.id, j.record)] != nil &&
				c.ownsJob(j) &&
				!b.addJob(j) {
				break
			}
		}
	}
	b.flush()
}

const blockedScanInterval = 200 * time.Millisecond // between two looks at what waits, while nothing can be written

const batchPlacementJobs = 4 // jobs that wait, from which they are placed together

// writePriority orders writes: cancellations, then acceptances, then placements, then completions.
func (c *Core) writePriority(j *job) int {
	switch {
	case len(j.cancellation.waiters) > 0:
		return 0
	case j.submission != nil:
		return writePriorityAccept
	case j.placement.hasUnplacedTasks || j.placement.tasksLost || len(j.dependents) > 0:
		return 2
	}
	return 3
}

const (
	writePriorityAccept = 1
	reservedWrites      = 2 // changes left for what users wait for
)

// countLostReplicas counts a job's replicas that are gone.
func (c *Core) countLostReplicas(j *job) int {
	n := 0
	if j.placement.tasksLost && j.record != nil && j.record.Spec != nil && j.record.Spec.Service {
		for _, a := range j.assignments {
			if ended, _ := c.attemptOutcome(j, a); ended {
				n++
			}
		}
	}
	return n
}

// placementState is when waiting tasks are placed next, and which requests are known to find no capacity.
type placementState struct {
	unplaceable   []unplaceable // claims that found no room since some became free
	nextScanAt    time.Duration
	capacityFreed bool          // room may have become free
	yieldedUntil  time.Duration // when room is to be looked at that was another's to take first; 0: there is none
}
