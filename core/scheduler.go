package core

import (
	"slices"
	"time"

	"dewlift/core/ratelimit"
	"dewlift/wire"
)

// blockedScanInterval is the time between two examinations of the waiting jobs while no write is possible.
const blockedScanInterval = 200 * time.Millisecond

// Limits on the concurrent transactions that write job records. The limit is higher for cancellations
// and acceptances because users wait for them.
const (
	maxTxnsInFlight       = 3
	maxUrgentTxnsInFlight = 6
)

const (
	// minBatchPlacementJobs is the number of waiting jobs of teams with a maximum quota at which their
	// placements are batched.
	minBatchPlacementJobs = 4
	// batchPlacementTokenShare is the share of the write burst that must be available to place a batch.
	batchPlacementTokenShare = 0.7
	// completionBatchWriteShare is the share of the write rate that task completions may use.
	completionBatchWriteShare = 0.5
)

// Write priorities. Writes with the smallest value go first.
const (
	writePriorityCancel = iota
	writePriorityAccept
	writePriorityPlace
	writePriorityComplete
)

// reservedWrites is the number of write tokens that are reserved for cancellations and acceptances.
const reservedWrites = 2

// placementState holds when waiting tasks are placed next and which resource requests are known not to fit.
type placementState struct {
	*environment
	rateLimit *ratelimit.Limiter

	unplaceable   []unplaceable // requests that did not fit since capacity was last freed
	nextScanAt    time.Duration // time of the next scan of all waiting jobs
	capacityFreed bool          // capacity may have been freed since the last scan
	yieldedUntil  time.Duration // when capacity yielded to other controllers may be used; 0: none is yielded
}

// scheduleJobs runs a scheduling pass: it examines the jobs that changed and commits their next records.
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
	c.updateCompletionBatchDelay()
	c.sortByWriteOrder(due)
	c.commitJobs(c.enforceStartShares(due))
}

// countRecordTxns counts the in-flight transactions that write job records.
func (t *transactionState) countRecordTxns() (n int) {
	for _, txn := range t.inFlight {
		if txn.onDone == nil {
			n++
		}
	}
	return n
}

// startPlacementScan marks all waiting jobs dirty if capacity may have been freed, or if capacity that
// was yielded to other controllers may be used now.
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

// beginScan reports whether a scan of all waiting jobs is due. If so, it begins the scan and clears
// the list of requests that are known not to fit.
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

// skipsBlockedScan reports whether to skip examining jobs because no write is possible and no user
// waits. With hundreds of waiting jobs, finding that out for each job takes most of the time spent on
// an input.
func (c *Core) skipsBlockedScan(inFlight int) bool {
	if c.pendingSubmissions != 0 || c.now < c.cancelAcks.waitersUntil || c.now >= c.transactions.nextBlockedScanAt {
		return false
	}
	return c.placement.isWriteBlocked(inFlight)
}

// isWriteBlocked reports whether the rate limit or the number of in-flight transactions prevents
// another transaction that no user waits for.
func (p *placementState) isWriteBlocked(inFlight int) bool {
	limiter := p.rateLimit
	return limiter.IsPaused(p.now) || inFlight >= maxTxnsInFlight || limiter.RequestTokens < 1 ||
		limiter.WriteTokens < 1+reservedWrites
}

// collectDueJobs returns the changed jobs that may be written now. It also rejects requests past their deadline.
func (c *Core) collectDueJobs() (due []*job) {
	c.examineJobs(func(j *job) {
		c.rejectExpiredRequests(j)
		if c.isDue(j) {
			due = append(due, j)
		}
	})
	return due
}

// isDue reports whether a job may be written now. It responds to a submission whose job has been
// accepted in the meantime, and clears the job's dirty mark if this controller is not responsible for it.
func (c *Core) isDue(j *job) bool {
	examineAt := max(j.write.nextExamineAt, j.write.refusedUntil)
	if !j.write.dirty || j.write.inFlight || j.write.outcomeUnknown || c.now < examineAt {
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

// rejectExpiredRequests rejects a submission or cancellations that could not be written before their
// deadline.
func (c *Core) rejectExpiredRequests(j *job) {
	if j.submission != nil && !j.write.inFlight && c.now >= j.submission.deadline {
		c.completeSubmission(j, wire.StatusUnavailable, reasonTooBusy)
	}
	if len(j.cancellation.waiters) > 0 && !j.write.inFlight && c.now >= j.cancellation.answerBy {
		c.rejectCancellations(j, reasonTooBusy)
	}
}

// isResponsibleFor reports whether this controller must write a job: a new job submitted here, a job
// cancelled here, or a job of a shard that it owns.
func (c *Core) isResponsibleFor(j *job) bool {
	if j.revision == 0 {
		return j.submission != nil
	}
	return len(j.cancellation.waiters) > 0 || c.ownership.ownsJob(j)
}

// waitsForScan reports whether a job that is behind the first waiting job is examined only with the
// next scan of all waiting jobs, in queue order. Otherwise it would take freed capacity ahead of the
// first waiting job.
func (p *placementState) waitsForScan(j *job) bool {
	return p.capacityFreed && p.now < p.nextScanAt &&
		j.placement.hasUnplacedTasks && !j.placement.tasksLost &&
		j.revision != 0 && len(j.cancellation.waiters) == 0
}

// mayWriteNow reports whether the rate limit and the number of in-flight transactions allow another
// transaction. Writes that users wait for are allowed more of both, so that an exhausted rate limit or
// a slow store delays them less.
func (p *placementState) mayWriteNow(due []*job, inFlight int, teams *teamSet) bool {
	limiter := p.rateLimit
	isUrgent := func(j *job) bool { return j.writePriority() <= writePriorityAccept }
	if slices.ContainsFunc(due, isUrgent) {
		return !limiter.IsUrgentPaused(p.now) && inFlight < maxUrgentTxnsInFlight &&
			limiter.RequestTokens >= -limiter.RequestRate/2
	}
	return !p.isWriteBlocked(inFlight) && !p.defersBatch(due, teams)
}

// defersBatch reports whether placements wait until they can share transactions. Each transaction also
// writes the team's key, so when writes are scarce and many jobs of teams with a maximum quota wait,
// their placements are batched.
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

// updateCompletionBatchDelay sets how long a task completion may wait to share a write with others. The delay
// grows with the number of running jobs.
func (c *Core) updateCompletionBatchDelay() {
	running := 0
	for _, j := range c.openJobs {
		if len(j.assignments) > 0 && j.record.Spec != nil && !j.record.Spec.Service && c.ownership.ownsJob(j) {
			running++
		}
	}
	seconds := float64(running) / (completionBatchWriteShare * c.transactions.rateLimit.WriteRate)
	c.transactions.completionBatchDelay = min(
		c.cfg.Scheduling.MaxCompletionBatchDelay,
		max(c.cfg.Scheduling.MinCompletionBatchDelay, time.Duration(seconds*float64(time.Second))),
	)
}

// sortByWriteOrder sorts jobs by write priority, then by queue rank.
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

// commitJobs commits the next records of jobs, in order, up to the capacity of one transaction.
func (c *Core) commitJobs(due []*job) {
	builder := &txnBuilder{core: c, addedUsage: map[*team][2]int64{}}
	for _, j := range due {
		if !builder.addJob(j) {
			break
		}
	}
	if len(builder.slotDrafts) > 0 {
		c.addWaitingCompletions(builder)
	}
	builder.flush()
}

// addWaitingCompletions adds the jobs whose task completions wait to share a write, if the transaction writes
// their slot anyway.
func (c *Core) addWaitingCompletions(builder *txnBuilder) {
	for _, j := range c.openJobs {
		if !j.write.waitsForCompletions || j.write.inFlight || j.write.outcomeUnknown || j.record.Spec == nil ||
			builder.slotDrafts[slotNumber(j.id, j.record)] == nil || !c.ownership.ownsJob(j) {
			continue
		}
		if !builder.addJob(j) {
			return
		}
	}
}

// writePriority returns the job's write priority: cancellation, acceptance, placement or completion. A job on
// which others depend has the priority of a placement, because these may become placeable when it ends.
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
