package core

import (
	"slices"
	"time"

	"dewlift/core/ratelimit"
	"dewlift/wire"
)

// blockedScanInterval is the time between two looks at the waiting jobs while nothing can be written.
const blockedScanInterval = 200 * time.Millisecond

// Transactions of jobs' records that may be in flight at once. Users wait for cancellations and
// acceptances, so these may add more.
const (
	maxTxnsInFlight       = 3
	maxUrgentTxnsInFlight = 6
)

const (
	// batchPlacementJobs is the count of waiting jobs of teams with a maximum quota from which on they
	// are placed together.
	minBatchPlacementJobs = 4
	// batchPlacementTokens is the part of the write burst that must be available to place them.
	batchPlacementTokenShare = 0.7
	// endBatchWriteShare is the part of the write rate that the ends of tasks may use.
	endBatchWriteShare = 0.5
)

// Priorities of writes; the smallest is written first.
const (
	writePriorityCancel = iota
	writePriorityAccept
	writePriorityPlace
	writePriorityComplete
)

// reservedWrites is the count of writes that are left for cancellations and acceptances.
const reservedWrites = 2

// placementState is when waiting tasks are placed next, and which requests are known to find no capacity.
type placementState struct {
	*environment
	rateLimit *ratelimit.Limiter

	unplaceable   []unplaceable // requests that found no capacity since some was freed last
	nextScanAt    time.Duration // of all waiting jobs
	capacityFreed bool          // capacity may have been freed since the last scan
	yieldedUntil  time.Duration // when capacity yielded to other controllers may be used; 0: none is
}

// scheduleJobs evaluates the jobs that changed and commits their next records.
func (c *Core) scheduleJobs() {
	if c.auditLog.isNotReady() {
		return
	}
	inFlight := c.transactions.countRecordTxns()
	c.startPlacementScan()
	if c.skipsBlockedScan(inFlight) {
		return
	}
	c.transactions.nextBlockedScanAt = c.now + blockedScanInterval
	due := c.collectDueJobs()
	c.transactions.backlog = len(due)
	if len(due) == 0 || !c.ownLease.isHeld() || !c.placement.mayWriteNow(due, inFlight, &c.teams) {
		return
	}
	c.updateEndBatchDelay()
	c.sortByWriteOrder(due)
	c.commitJobs(c.enforceStartShares(due))
}

// countRecordTxns counts the transactions in flight that write jobs' records.
func (t *transactionState) countRecordTxns() (n int) {
	for _, txn := range t.inFlight {
		if txn.onDone == nil {
			n++
		}
	}
	return n
}

// startPlacementScan marks the waiting jobs to be evaluated, if capacity may have been freed or
// capacity yielded to other controllers may be used now.
func (c *Core) startPlacementScan() {
	if !c.placement.beginScan() {
		return
	}
	for _, waiting := range c.openJobs {
		if waiting.placement.hasUnplacedTasks && c.ownership.ownsJob(waiting) {
			c.markDirty(waiting)
		}
	}
}

// beginScan reports whether a scan of all waiting jobs is due, and begins it: no request is known any
// more to find no capacity.
func (p *placementState) beginScan() bool {
	if p.yieldedUntil != 0 && p.now >= p.yieldedUntil {
		p.yieldedUntil, p.nextScanAt, p.capacityFreed = 0, p.now, true
	}
	if !p.capacityFreed || p.now < p.nextScanAt {
		return false
	}
	p.capacityFreed = false
	p.unplaceable = p.unplaceable[:0]
	p.nextScanAt = p.now + p.scanInterval()
	return true
}

// skipsBlockedScan reports whether the evaluation of jobs is left out because nothing could be
// written and no user waits. With hundreds of waiting jobs, finding that out job by job takes most
// of the time of an input.
func (c *Core) skipsBlockedScan(inFlight int) bool {
	if c.pendingSubmissions != 0 || c.now < c.cancelAcks.waitersUntil || c.now >= c.transactions.nextBlockedScanAt {
		return false
	}
	return c.placement.isWriteBlocked(inFlight)
}

// isWriteBlocked reports whether the rate limit and the transactions in flight allow no other one for
// which no user waits.
func (p *placementState) isWriteBlocked(inFlight int) bool {
	limiter := p.rateLimit
	return limiter.IsPaused(p.now) || inFlight >= maxTxnsInFlight || limiter.RequestTokens < 1 ||
		limiter.WriteTokens < 1+reservedWrites
}

// collectDueJobs lists the changed jobs that may be written now, and rejects requests whose time has run out.
func (c *Core) collectDueJobs() (due []*job) {
	c.examineJobs(func(j *job) {
		c.rejectExpiredRequests(j)
		if c.isDue(j) {
			due = append(due, j)
		}
	})
	return due
}

// isDue reports whether a job may be written now. A job that needs no write is no longer dirty then.
func (c *Core) isDue(j *job) bool {
	lookAt := max(j.write.nextExamineAt, j.write.refusedUntil)
	if !j.write.dirty || j.write.inFlight || j.write.outcomeUnknown || c.now < lookAt {
		return false
	}
	if j.revision != 0 && j.submission != nil {
		c.completeSubmission(j, wire.StatusOK, "")
	}
	if !c.isResponsibleFor(j) {
		j.write.dirty = false
		return false
	}
	if c.placement.waitsForScan(j) && c.priority.isBehindFirstWaiting(j) {
		j.write.nextExamineAt = c.placement.nextScanAt
		return false
	}
	return true
}

// rejectExpiredRequests answers a submission or cancellations that can't be written in time.
func (c *Core) rejectExpiredRequests(j *job) {
	if j.submission != nil && !j.write.inFlight && c.now >= j.submission.deadline {
		c.completeSubmission(j, wire.StatusUnavailable, reasonTooBusy)
	}
	if len(j.cancellation.waiters) > 0 && !j.write.inFlight && c.now >= j.cancellation.answerBy {
		c.rejectCancellations(j, reasonTooBusy)
	}
}

// isResponsibleFor reports whether this controller has to write a job: a new one that was submitted
// here, one that was cancelled here, or one of its own shards.
func (c *Core) isResponsibleFor(j *job) bool {
	if j.revision == 0 {
		return j.submission != nil
	}
	return len(j.cancellation.waiters) > 0 || c.ownership.ownsJob(j)
}

// waitsForScan reports whether a job that is behind the first waiting one is evaluated only with the
// next scan of all waiting jobs, in their order: otherwise it would take freed capacity before the first
// of them.
func (p *placementState) waitsForScan(j *job) bool {
	return p.capacityFreed && p.now < p.nextScanAt &&
		j.placement.hasUnplacedTasks && !j.placement.tasksLost &&
		j.revision != 0 && len(j.cancellation.waiters) == 0
}

// mayWriteNow reports whether the rate limit and the transactions in flight allow another one. What
// users wait for is held back less by an exhausted rate limit or a slow store.
func (p *placementState) mayWriteNow(due []*job, inFlight int, teams *teamSet) bool {
	limiter := p.rateLimit
	isUrgent := func(j *job) bool { return j.writePriority() <= writePriorityAccept }
	if slices.ContainsFunc(due, isUrgent) {
		return !limiter.IsUrgentPaused(p.now) && inFlight < maxUrgentTxnsInFlight &&
			limiter.RequestTokens >= -limiter.RequestRate/2
	}
	return !p.isWriteBlocked(inFlight) && !p.defersBatch(due, teams)
}

// defersBatch reports whether placements wait until they can share transactions. A team's
// key is one more write for each transaction: where writes are scarce and many jobs of teams with a
// maximum quota wait, they are placed together.
func (p *placementState) defersBatch(due []*job, teams *teamSet) bool {
	if p.rateLimit.WriteTokens >= batchPlacementTokenShare*p.rateLimit.WriteBurst(p.cfg.Store.MaxTxnOps) {
		return false
	}
	n := 0
	for _, j := range due {
		if j.writePriority() != writePriorityPlace {
			continue
		}
		if team := teams.of(j.record.Spec); team != nil && team.hasMaxQuota() {
			n++
		}
	}
	return n >= minBatchPlacementJobs
}

// updateEndBatchDelay sets how long the end of a task may wait for others to share a write: the more
// jobs run, the longer.
func (c *Core) updateEndBatchDelay() {
	running := 0
	for _, j := range c.openJobs {
		if len(j.assignments) > 0 && j.record.Spec != nil && !j.record.Spec.Service && c.ownership.ownsJob(j) {
			running++
		}
	}
	seconds := float64(running) / (endBatchWriteShare * c.transactions.rateLimit.WriteRate)
	c.transactions.endBatchDelay = min(
		c.cfg.Scheduling.MaxEndBatchDelay,
		max(c.cfg.Scheduling.MinEndBatchDelay, time.Duration(seconds*float64(time.Second))),
	)
}

// sortByWriteOrder sorts jobs by the priority of their writes, and within one by their queue rank.
func (c *Core) sortByWriteOrder(due []*job) {
	for _, j := range due {
		j.queue.missingReplicas = c.countLostReplicas(j)
		j.queue.rank = c.priority.rankOf(j)
	}
	slices.SortStableFunc(due, func(a, b *job) int {
		if d := a.writePriority() - b.writePriority(); d != 0 {
			return d
		}
		return a.queue.rank.compare(b.queue.rank)
	})
}

// commitJobs commits the next records of jobs, in their order, as far as they fit a transaction.
func (c *Core) commitJobs(due []*job) {
	builder := &txnBuilder{core: c, addedUsage: map[*team][2]int64{}}
	for _, j := range due {
		if !builder.addJob(j) {
			break
		}
	}
	if len(builder.slotDrafts) > 0 {
		c.addWaitingEnds(builder)
	}
	builder.flush()
}

// addWaitingEnds adds the jobs whose ends of tasks wait to share a write, if their slot is written anyway.
func (c *Core) addWaitingEnds(builder *txnBuilder) {
	for _, j := range c.openJobs {
		if !j.write.waitsForTaskEnds || j.write.inFlight || j.write.outcomeUnknown || j.record.Spec == nil ||
			builder.slotDrafts[slotNumber(j.id, j.record)] == nil || !c.ownership.ownsJob(j) {
			continue
		}
		if !builder.addJob(j) {
			return
		}
	}
}

// writePriority orders writes: cancellations, then acceptances, then placements, then completions.
func (j *job) writePriority() int {
	switch {
	case len(j.cancellation.waiters) > 0:
		return writePriorityCancel
	case j.submission != nil:
		return writePriorityAccept
	case j.placement.hasUnplacedTasks || j.placement.tasksLost || len(j.dependents) > 0:
		return writePriorityPlace
	}
	return writePriorityComplete
}

// countLostReplicas counts the assigned replicas of a service that have ended.
func (c *Core) countLostReplicas(j *job) int {
	if !j.placement.tasksLost || j.record == nil || j.record.Spec == nil || !j.record.Spec.Service {
		return 0
	}
	lost := 0
	for _, assignment := range j.assignments {
		if ended, _ := c.attemptOutcome(j, assignment); ended {
			lost++
		}
	}
	return lost
}
