package core

import (
	"dewlift/core/batchvalue"
	"dewlift/core/ratelimit"
	"dewlift/wire"
	"time"
)

// transactionState is transactions in flight, the rate limit of the store, and what waits to be written.
type transactionState struct {
	inFlight          map[uint64]*pendingTxn
	rateLimit         ratelimit.Limiter
	endBatchDelay     time.Duration // how long ends may wait to share a write
	nextBlockedScanAt time.Duration // when what waits for a write is looked at even if none can be made
	backlog           int           // jobs that waited to be looked at for a write, at the last look
}

// pendingTxn is a transaction on its way. done, if set, is all that is done with its outcome.
type pendingTxn struct {
	proposals      []proposal
	teams          []*team
	writtenSlots   map[int]*batchvalue.Draft // that it writes
	dependentSlots map[int]bool              // and those on whose marks writes of jobs' own keys depend
	onDone         func(status wire.Status, r wire.TxnResponse)
	txn            wire.Txn
}

// commitTxn sends a transaction and pays for it.
func (c *Core) commitTxn(t wire.Txn, x *pendingTxn) {
	id := c.nextID()
	x.txn = t
	c.transactions.inFlight[id] = x
	c.transactions.rateLimit.SpendTxn(len(t.Then))
	c.Stats.Commits++
	c.emit(CommitTxn{ID: id, Txn: t})
}

func (c *Core) handleTxnResult(in TxnResult) {
	x := c.transactions.inFlight[in.ID]
	if x == nil {
		return
	}
	delete(c.transactions.inFlight, in.ID)
	c.recordStoreStatus(in.Status)
	if in.Status == wire.StatusTooManyRequests {
		c.transactions.rateLimit.Pause(
			c.now+80*time.Millisecond+c.jitter(150*time.Millisecond),
			c.now+20*time.Millisecond+c.jitter(40*time.Millisecond),
		)
	}
	if in.Status == wire.StatusUnavailable || in.Status == wire.StatusNoAnswer {
		until := c.now + 100*time.Millisecond + c.jitter(100*time.Millisecond)
		c.transactions.rateLimit.Pause(until, until)
	}
	if in.Status != wire.StatusOK {
		c.log(
			LevelDebug,
			"transaction not committed",
			"status",
			in.Status,
			"failed",
			in.Reply.Failed,
			"error",
			in.Reply.Error,
		)
	}
	if in.Status == wire.StatusBadRequest && x.onDone == nil { // no leased key is in it
		c.reduceTxnLimits(&x.txn)
	}
	for _, key := range in.Reply.Failed {
		c.history.archiveIndex.Invalidate(key)
	}
	behind := in.Status != wire.StatusOK && in.Status != wire.StatusTooManyRequests && in.Status != wire.StatusUnavailable
	locked := c.releaseSlots(x, in.Status, in.Reply.Revision)
	for _, t := range x.teams {
		t.locked = behind // a team's state must be read before it is used again
		if in.Status == wire.StatusOK {
			t.revision = max(t.revision, in.Reply.Revision)
		}
	}
	if x.onDone != nil {
		x.onDone(in.Status, in.Reply)
		return
	}
	if in.Status == wire.StatusConflict {
		c.Stats.Conflicts++
	}
	if in.Status == wire.StatusNoAnswer {
		c.Stats.UnknownOutcomes++
	}
	var resync []*job
	for _, p := range x.proposals {
		j := p.job
		j.write.inFlight = false
		c.currentAuditLog().HandleOutcome(p.auditEntryIDs, in.Status)
		if in.Status == wire.StatusOK {
			for _, a := range p.ended {
				c.releaseOnce(j, a)
			}
			switch {
			case p.inSlot:
				if c.slotState(p.slotIndex).Revision == in.Reply.Revision &&
					j.record.WriteNumber == p.record.WriteNumber &&
					!j.isFinal() {
					c.adoptRecord(j, p.record, p.assignments, j.revision, j.stored.bytes)
				}
			case in.Reply.Revision > j.revision:
				c.adoptRecord(j, p.record, p.assignments, in.Reply.Revision, p.encodedSize)
			}
			if p.isAcceptance {
				c.completeSubmission(j, wire.StatusCreated, "")
			}
			c.completeCancellations(j)
			continue
		}
		for _, a := range p.started {
			c.recordDelta(false, j, a, p.spec.Request)
		}
		c.markDirty(j)
		if j.submission != nil {
			j.submission.writeFailed = true
		}
		switch in.Status {
		case wire.StatusTooManyRequests, wire.StatusUnavailable: // not executed
			if in.Status == wire.StatusUnavailable {
				c.completeSubmission(j, wire.StatusUnavailable, "state service not reached")
				c.rejectCancellations(j, "state service not reached")
			}
		case wire.StatusNoAnswer:
			c.completeSubmission(j, wire.StatusUnavailable, "outcome not known yet")
			c.rejectCancellations(j, "outcome not known yet")
			fallthrough
		default:
			// Applied late, or overtaken: read before proposing anything again.
			j.write.outcomeUnknown = true
			if in.Status == wire.StatusBadRequest {
				j.write.nextLookAt = c.now + time.Second
			}
			resync = append(resync, j)
		}
	}
	if behind {
		// Whoever was overtaken reads at once: else a controller that writes often wins always.
		c.replica.nextBarrierAt = c.now
		c.resolveAfterBarrier(resync, x.teams, locked)
	}
}

// resolveAfterBarrier frees jobs, teams and slots for new proposals once a read barrier has shown their state.
func (c *Core) resolveAfterBarrier(js []*job, teams []*team, slots []int) {
	// Queued directly: while all keys are being read again, it waits for that to end.
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, func(ok bool) {
		if !ok {
			c.resolveAfterBarrier(js, teams, slots)
			return
		}
		for _, n := range slots {
			c.slotState(n).WriteInFlight = false
		}
		for _, t := range teams {
			t.locked = false
		}
		for _, j := range js {
			j.write.outcomeUnknown = false
			c.markDirty(j)
			if j.submission != nil && j.revision != 0 {
				c.completeSubmission(j, wire.StatusOK, "")
			}
			c.completeCancellations(j)
		}
	})
}

// updateRateLimit works out this controller's part of what the state service takes from all of
// them: an equal one, and of the changes also what the others leave.
func (c *Core) updateRateLimit() {
	live := float64(len(c.liveControllers()))
	if len(c.controllers.nodeKeys) == 0 {
		live = float64(len(c.cfg.Peers) + 1)
	}
	all := c.storeWriteRate()
	left := 0.9 * all
	for _, n := range c.cfg.Peers {
		if c.controllers.membership.IsReachable(c.now, n) {
			left -= c.controllers.membership.Peer(n).WriteRate
		} else if _, ok := c.controllers.nodeKeys[n]; ok {
			left -= all / live
		}
	}
	c.transactions.rateLimit.SetRates(all, c.cfg.Store.RequestRate, live, left, c.cfg.Store.MaxWriteShare)
}
