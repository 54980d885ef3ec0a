package core

import (
	"time"

	"dewlift/core/batchvalue"
	"dewlift/core/ratelimit"
	"dewlift/wire"
)

// transactionState holds the store transactions in flight, the limits that apply to them, and the backlog of
// jobs that wait to be written.
type transactionState struct {
	*environment
	stats *Stats

	inFlight             map[uint64]*pendingTxn // by request ID
	rateLimit            ratelimit.Limiter
	limits               storeLimits
	completionBatchDelay time.Duration // how long task completions may wait so that one write records several
	nextBlockedScanAt    time.Duration // when jobs are next examined even if nothing can be written
	backlog              int           // jobs that were waiting for a write in the last scheduling pass
}

// pendingTxn is a transaction in flight. If onDone is set, it handles the outcome, apart from the bookkeeping
// that is common to all transactions.
type pendingTxn struct {
	proposals     []proposal
	teams         []*team                   // teams whose quota keys it writes
	writtenSlots  map[int]*batchvalue.Draft // slots it writes
	comparedSlots map[int]bool              // slots that it only compares, for writes of jobs' own keys
	onDone        func(status wire.Status, r wire.TxnResponse)
	txn           wire.Txn
}

// Pauses of writes after a throttled or unanswered transaction, each with jitter.
const (
	throttledPause        = 80 * time.Millisecond // after the store throttled a transaction
	throttledPauseJitter  = 150 * time.Millisecond
	throttledUrgentPause  = 20 * time.Millisecond // the same for writes that users wait for
	throttledUrgentJitter = 40 * time.Millisecond
	unreachablePause      = 100 * time.Millisecond // after the store did not answer
	unreachableJitter     = 100 * time.Millisecond
)

// badRequestRetryDelay is the delay of a job's next proposal after the store has refused its transaction as
// malformed or too large. It is doubled with each refusal in a row.
const badRequestRetryDelay = time.Second

// maxBadRequestDoublings bounds the delay after refusals to about a minute.
const maxBadRequestDoublings = 6

// reasonRefusedByStore is the error text for a submission that can't be stored.
const reasonRefusedByStore = "the state service refuses to store it"

// storeRateUtilization is the share of the store's write rate up to which controllers use the writes that
// others leave unused.
const storeRateUtilization = 0.9

// commit sends a transaction and spends its tokens of the rate limit.
func (s *transactionState) commit(txn wire.Txn, pending *pendingTxn) {
	id := s.nextID()
	pending.txn = txn
	s.inFlight[id] = pending
	s.rateLimit.SpendTxn(len(txn.Then))
	s.stats.Commits++
	s.emit(CommitTxn{ID: id, Txn: txn})
}

// handleTxnResult handles the outcome of a transaction. Committed proposals become the known state; for the
// other jobs, records are proposed again, after a read barrier if the outcome is unknown or another write won.
func (c *Core) handleTxnResult(in TxnResult) {
	pending := c.transactions.inFlight[in.ID]
	if pending == nil {
		return
	}
	delete(c.transactions.inFlight, in.ID)
	c.storeHealth.recordStatus(in.Status)
	c.transactions.pauseAfter(in.Status)
	c.transactions.logFailure(in)
	if in.Status == wire.StatusOK {
		c.transactions.limits.recordAccepted(&pending.txn)
	}
	for _, key := range in.Reply.Failed {
		c.history.blockCache.Invalidate(key)
	}
	stale := in.Status != wire.StatusOK && !isNotExecuted(in.Status)
	staleSlots := c.replica.slots.release(pending, in.Status, in.Reply.Revision)
	for _, quota := range pending.teams {
		quota.locked = stale // a team's state must be read before it is used again
		if in.Status == wire.StatusOK {
			quota.revision = max(quota.revision, in.Reply.Revision)
		}
	}
	if pending.onDone != nil {
		pending.onDone(in.Status, in.Reply)
		return
	}
	c.transactions.countFailure(in.Status)
	staleJobs := c.settleProposals(pending.proposals, in)
	// A bad request can't be due to an expired lease: only transactions with onDone write leased keys.
	if in.Status == wire.StatusBadRequest {
		c.handleRefusedProposals(pending)
	}
	if stale {
		// A controller that lost a conflict reads at once. Otherwise a controller that writes often would
		// always win.
		c.replica.nextBarrierAt = c.now
		c.resolveAfterBarrier(staleJobs, pending.teams, staleSlots)
	}
}

// canAffordCompletions reports whether there are enough write tokens for completions, which no user waits
// for, and for a reserve for writes that users wait for.
func (s *transactionState) canAffordCompletions(cost float64) bool {
	return s.rateLimit.WriteTokens >= cost+s.rateLimit.WriteRate*completionsReserve
}

// isNotExecuted reports whether a status proves that the store did not execute a transaction, and that the
// reason was not a conflict with another write.
func isNotExecuted(status wire.Status) bool {
	return status == wire.StatusTooManyRequests || status == wire.StatusUnavailable
}

// pauseAfter pauses writes if a transaction was throttled or the store did not answer.
func (s *transactionState) pauseAfter(status wire.Status) {
	switch status {
	case wire.StatusTooManyRequests:
		s.rateLimit.Pause(
			s.now+throttledPause+s.jitter(throttledPauseJitter),
			s.now+throttledUrgentPause+s.jitter(throttledUrgentJitter),
		)
	case wire.StatusUnavailable, wire.StatusNoResponse:
		until := s.now + unreachablePause + s.jitter(unreachableJitter)
		s.rateLimit.Pause(until, until)
	}
}

// logFailure logs a transaction that was not committed.
func (s *transactionState) logFailure(in TxnResult) {
	if in.Status == wire.StatusOK {
		return
	}
	s.log(LevelDebug, "transaction not committed", "status", in.Status, "failed", in.Reply.Failed,
		"error", in.Reply.Error)
}

// countFailure counts conflicts and unknown outcomes.
func (s *transactionState) countFailure(status wire.Status) {
	switch status {
	case wire.StatusConflict:
		s.stats.Conflicts++
	case wire.StatusNoResponse:
		s.stats.UnknownOutcomes++
	}
}

// settleProposals applies a transaction's outcome to its jobs, and returns the jobs whose state must be read
// before anything else is proposed for them.
func (c *Core) settleProposals(proposals []proposal, in TxnResult) []*job {
	var stale []*job
	for i := range proposals {
		settled := &proposals[i]
		settled.job.write.inFlight = false
		c.auditLog.current().HandleOutcome(settled.auditEntryIDs, in.Status)
		if in.Status == wire.StatusOK {
			c.adoptProposal(settled, in.Reply.Revision)
		} else if c.rejectProposal(settled, in.Status) {
			stale = append(stale, settled.job)
		}
	}
	return stale
}

// adoptProposal makes a committed proposal the known state of its job and answers the requests that waited
// for it. A newer state is kept, as a watch may have delivered it before the transaction's reply.
func (c *Core) adoptProposal(committed *proposal, revision uint64) {
	target := committed.job
	target.write.separateTxn, target.write.refusals = false, 0
	for _, assignment := range committed.ended {
		c.releaseOnce(target, assignment)
	}
	switch {
	case committed.inSlot:
		if c.replica.slots.at(committed.slotIndex).Revision == revision &&
			target.record.WriteNumber == committed.record.WriteNumber &&
			!target.isFinal() {
			c.adoptRecord(target, committed.record, committed.assignments, target.revision, target.stored.bytes)
		}
	case revision > target.revision:
		c.adoptRecord(target, committed.record, committed.assignments, revision, committed.encodedSize)
	}
	if committed.isAcceptance {
		c.completeSubmission(target, wire.StatusCreated, "")
	}
	c.completeCancellations(target)
}

// rejectProposal undoes a proposal that was not committed, as far as is known. It reports whether the job's
// state must be read before anything else is proposed for it.
func (c *Core) rejectProposal(rejected *proposal, status wire.Status) (stale bool) {
	target := rejected.job
	for _, assignment := range rejected.started {
		c.recordDelta(false, target, assignment, rejected.spec.Request)
	}
	c.markDirty(target)
	if target.submission != nil {
		target.submission.writeFailed = true
	}
	switch status {
	case wire.StatusTooManyRequests:
		return false
	case wire.StatusUnavailable:
		c.completeSubmission(target, wire.StatusUnavailable, reasonStoreUnreachable)
		c.rejectCancellations(target, reasonStoreUnreachable)
		return false
	case wire.StatusNoResponse:
		c.completeSubmission(target, wire.StatusUnavailable, "outcome not known yet")
		c.rejectCancellations(target, "outcome not known yet")
	}
	// The write may still be executed, or another one has won: read before proposing anything again.
	target.write.outcomeUnknown = true
	return true
}

// handleRefusedProposals handles the refusal of a transaction as malformed or too large. From now on its jobs are
// written in separate transactions, so that one refused for its content does not block the others. That one is
// retried with exponential back-off; if it is a submission, it is rejected instead.
func (c *Core) handleRefusedProposals(pending *pendingTxn) {
	forContent := c.transactions.limits.handleRefusal(&pending.txn)
	for i := range pending.proposals {
		pending.proposals[i].job.write.separateTxn = true
	}
	if len(pending.proposals) != 1 {
		return
	}
	refused := pending.proposals[0].job
	refused.write.refusals++
	delay := badRequestRetryDelay << min(refused.write.refusals-1, maxBadRequestDoublings)
	refused.write.refusedUntil = c.now + delay
	if forContent && refused.submission != nil {
		refused.submission.refusedByStore = true
	}
}

// resolveAfterBarrier unlocks jobs, teams and slots for new proposals once a read barrier has fetched their state.
func (c *Core) resolveAfterBarrier(jobs []*job, teams []*team, slots []int) {
	// Added directly, without the checks of afterReadBarrier: while a snapshot is being loaded, the function
	// must wait until that has ended.
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, func(ok bool) {
		if !ok {
			c.resolveAfterBarrier(jobs, teams, slots)
			return
		}
		for _, slot := range slots {
			c.replica.slots.at(slot).WriteInFlight = false
		}
		for _, quota := range teams {
			quota.locked = false
		}
		for _, resolved := range jobs {
			resolved.write.outcomeUnknown = false
			c.markDirty(resolved)
			switch {
			case resolved.submission == nil:
			case resolved.revision != 0:
				c.completeSubmission(resolved, wire.StatusOK, "")
			case resolved.submission.refusedByStore:
				c.completeSubmission(resolved, wire.StatusBadRequest, reasonRefusedByStore)
			}
			c.completeCancellations(resolved)
		}
	})
}

// updateRateLimit computes this controller's share of the store's write and request rates: an equal share,
// or more of the write rate if the other controllers leave some unused.
func (c *Core) updateRateLimit() {
	live := float64(len(c.controllers.liveNames()))
	if len(c.controllers.registrations) == 0 {
		live = float64(len(c.cfg.Peers) + 1)
	}
	total := c.schema.storeWriteRate()
	unused := storeRateUtilization * total
	for _, peer := range c.cfg.Peers {
		if c.controllers.membership.IsReachable(c.now, peer) {
			unused -= c.controllers.membership.Peer(peer).WriteRate
		} else if _, ok := c.controllers.registrations[peer]; ok {
			unused -= total / live
		}
	}
	c.transactions.rateLimit.SetRates(total, c.cfg.Store.RequestRate, live, unused, c.cfg.Store.MaxWriteShare)
}
