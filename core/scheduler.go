package core

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/auditlog"
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/wire"
)

// pendingTxn is a transaction on its way. done, if set, is all that is done with its outcome.
type pendingTxn struct {
	proposals      []proposal
	teams          []*team
	writtenSlots   map[int]*batchvalue.Draft // that it writes
	dependentSlots map[int]bool              // and those on whose marks writes of jobs' own keys depend
	onDone         func(status int, r wire.TxnResponse)
	txn            wire.Txn
}

// proposal is a job's next record, to be adopted once it is committed.
type proposal struct {
	job             *job
	record          *jobrecord.Record
	spec            *wire.JobSpec // also there when the record is final
	assignments     []jobrecord.Assignment
	started         []jobrecord.Assignment
	ended           []jobrecord.Assignment
	encodedSize     int // of the record, as it is written
	isAcceptance    bool
	isCancellation  bool
	completionsOnly bool             // it only tells of ends
	startsOnly      bool             // it only starts tasks
	slotIndex       int              // of a job that was there before
	inSlot          bool             // it is in its slot
	wantsOwnKey     bool             // it is to have its own key
	auditActs       []auditlog.Event // to be recorded
	userCancelActs  int              // how many of them, the first, are cancellations that users asked for
	auditEntryIDs   []uint64         // of their entries
	compares        []wire.Compare   // under which a new job can't have been archived, and its user still may
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
	if in.Status == 429 {
		c.transactions.rateLimit.Pause(c.now+80*time.Millisecond+c.jitter(150*time.Millisecond), c.now+20*time.Millisecond+c.jitter(40*time.Millisecond))
	}
	if in.Status == 503 || in.Status == 0 {
		until := c.now + 100*time.Millisecond + c.jitter(100*time.Millisecond)
		c.transactions.rateLimit.Pause(until, until)
	}
	if in.Status != 200 {
		c.log("debug", "transaction not committed", "status", in.Status, "failed", in.Reply.Failed, "error", in.Reply.Error)
	}
	if in.Status == 400 && x.onDone == nil { // no leased key is in it
		c.reduceTxnLimits(&x.txn)
	}
	for _, key := range in.Reply.Failed {
		c.history.archiveIndex.Invalidate(key)
	}
	behind := in.Status != 200 && in.Status != 429 && in.Status != 503
	locked := c.releaseSlots(x, in.Status, in.Reply.Revision)
	for _, t := range x.teams {
		t.locked = behind // a team's state must be read before it is used again
		if in.Status == 200 {
			t.revision = max(t.revision, in.Reply.Revision)
		}
	}
	if x.onDone != nil {
		x.onDone(in.Status, in.Reply)
		return
	}
	if in.Status == 409 {
		c.Stats.Conflicts++
	}
	if in.Status == 0 {
		c.Stats.UnknownOutcomes++
	}
	var resync []*job
	for _, p := range x.proposals {
		j := p.job
		j.write.inFlight = false
		c.currentAuditLog().HandleOutcome(p.auditEntryIDs, in.Status)
		if in.Status == 200 {
			for _, a := range p.ended {
				c.releaseOnce(j, a)
			}
			switch {
			case p.inSlot:
				if c.slotState(p.slotIndex).Revision == in.Reply.Revision && j.record.WriteNumber == p.record.WriteNumber && !j.isFinal() {
					c.adoptRecord(j, p.record, p.assignments, j.revision, j.stored.bytes)
				}
			case in.Reply.Revision > j.revision:
				c.adoptRecord(j, p.record, p.assignments, in.Reply.Revision, p.encodedSize)
			}
			if p.isAcceptance {
				c.completeSubmission(j, 201, "")
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
		case 429, 503: // not executed
			if in.Status == 503 {
				c.completeSubmission(j, 503, "state service not reached")
				c.rejectCancellations(j, "state service not reached")
			}
		case 0:
			c.completeSubmission(j, 503, "outcome not known yet")
			c.rejectCancellations(j, "outcome not known yet")
			fallthrough
		default:
			// Applied late, or overtaken: read before proposing anything again.
			j.write.outcomeUnknown = true
			if in.Status == 400 {
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
				c.completeSubmission(j, 200, "")
			}
			c.completeCancellations(j)
		}
	})
}

// recordDelta notes a start or finish for the leader; the own copy already shows starts. A start is
// noted when its write is sent: the sooner the others know, the fewer choose the same room. If
// the write fails, an end follows.
func (c *Core) recordDelta(start bool, j *job, a jobrecord.Assignment, claim clusterstate.Resources) {
	m := c.machines[a.Machine]
	c.deltaLog.unsent = append(c.deltaLog.unsent, AllocationDelta{Start: start, Machine: m.name, Request: claim, AttemptHash: attemptHash(j.id, a.Task, a.Attempt)})
	if !start {
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: claim})
		c.placement.capacityFreed = true
	}
}

// releaseOnce gives back the room of a task that has ended, once. The write of its end may follow
// later: the room is free for others as soon as the machine says so.
func (c *Core) releaseOnce(j *job, a jobrecord.Assignment) {
	t := c.attemptOf(c.machines[a.Machine], attemptKey{j.index, a.Task, a.Attempt})
	if !t.resourcesReleased && c.ownsJob(j) && j.record != nil && j.record.Spec != nil {
		t.resourcesReleased = true
		c.recordDelta(false, j, a, j.record.Spec.Request)
	}
}

// attemptOutcome tells whether a task's assignment has ended, with its cause.
func (c *Core) attemptOutcome(j *job, a jobrecord.Assignment) (ended bool, cause string) {
	m := c.machines[a.Machine]
	switch {
	case m.lifecycle.gone:
		return true, "machine gone"
	case m.status.incarnation > a.Incarnation:
		return true, "machine lost its lease"
	case m.status.incarnation < a.Incarnation || !m.status.reported:
		return false, ""
	}
	k := attemptKey{j.index, a.Task, a.Attempt}
	p, ok := m.status.tasks[k]
	if ok {
		return p.state == wire.TaskExited, p.cause
	}
	// Absent from the newest report: that is proof only if no order for it can still come,
	// and of use only if it is not to be started any more.
	if j.isFinal() && c.noStartPending(m, j, k) {
		return true, "not started"
	}
	return false, ""
}

// noStartPending reports whether no start of an attempt can still be on its way to its machine:
// every one of ours was answered or fenced off by a higher token that the machine has seen,
// and so were those of former owners.
func (c *Core) noStartPending(m *machine, j *job, k attemptKey) bool {
	s := c.shardOf(j)
	if !c.ownsShard(s) || m.status.fencingToken < c.ownership.shards[s].FencingToken {
		return false
	}
	t := m.commands.attempts[k]
	return t == nil || !t.startInFlight && (t.maxUnansweredToken == 0 || m.status.fencingToken > t.maxUnansweredToken)
}

// maxAssignedTasks bounds the tasks of a job assigned at one time, so that its record fits a value;
// fitValue sees to the rest.
func (c *Core) maxAssignedTasks() int {
	if c.schemaVersion() >= schemaDependencies {
		return max(8, c.cfg.MaxValueBytes/3) // a packed task takes about two bytes
	}
	return max(8, (c.cfg.MaxValueBytes-1024)/12)
}

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
			c.completeSubmission(j, 503, reasonTooBusy)
		}
		if len(j.cancellation.waiters) > 0 && !j.write.inFlight && c.now >= j.cancellation.answerBy {
			c.rejectCancellations(j, reasonTooBusy)
		}
		if !j.write.dirty || j.write.inFlight || j.write.outcomeUnknown || c.now < j.write.nextLookAt {
			continue
		}
		if j.revision != 0 && j.submission != nil {
			c.completeSubmission(j, 200, "")
		}
		if j.revision == 0 && j.submission == nil || j.revision != 0 && len(j.cancellation.waiters) == 0 && !c.ownsJob(j) {
			j.write.dirty = false
			continue
		}
		if c.placement.capacityFreed && c.now < c.placement.nextScanAt && j.placement.hasUnplacedTasks && !j.placement.tasksLost && j.revision != 0 && len(j.cancellation.waiters) == 0 && c.isBehindFirstWaiting(j) {
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
	if paused || inflight >= most || !c.holdsLease() || len(todo) == 0 || c.transactions.rateLimit.ReadTokens < reads {
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
	if most == 3 && many >= batchPlacementJobs && c.transactions.rateLimit.WriteTokens < 0.7*c.transactions.rateLimit.WriteBurst(c.cfg.MaxTxnOps) {
		return
	}
	// Ends of tasks share writes: the more jobs run, the longer they wait for others.
	running := 0
	for _, j := range c.openJobs {
		if len(j.assignments) > 0 && j.record.Spec != nil && !j.record.Spec.Service && c.ownsJob(j) {
			running++
		}
	}
	c.transactions.endBatchDelay = min(c.cfg.MaxEndBatchDelay, max(c.cfg.MinEndBatchDelay, time.Duration(float64(running)/(0.5*c.transactions.rateLimit.WriteRate)*float64(time.Second))))
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
			if j.write.waitsForEnds && !j.write.inFlight && !j.write.outcomeUnknown && j.record.Spec != nil && b.slotDrafts[c.slotNumber(j.id, j.record)] != nil && c.ownsJob(j) && !b.addJob(j) {
				break
			}
		}
	}
	b.flush()
}

const comparesPerJob = 5 // of a proposal, beside those of its own: its record, its shard, its slot, its team, a mark of cancellation

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

// txnBuilder gathers proposals into one transaction.
type txnBuilder struct {
	core           *Core
	proposals      []proposal
	teams          []*team
	addedUsage     map[*team][2]int64
	txn            wire.Txn
	valueBytes     int
	comparedShards map[int]bool
	slotDrafts     map[int]*batchvalue.Draft
	dependentSlots map[int]bool

	hasUserWaiting bool // users wait for it
}

// addJob proposes a job's next record; false means that the transaction is full.
func (b *txnBuilder) addJob(j *job) bool {
	c := b.core
	cost := float64(b.opCount() + 1)
	slot := -1
	if j.revision != 0 && j.record != nil && j.record.Spec != nil {
		slot = c.slotNumber(j.id, j.record)
	}
	if b.slotDrafts[slot] != nil {
		cost-- // its slot is written anyway
	}
	if u := c.writePriority(j); u > writePriorityAccept && b.hasUserWaiting {
		return false // one key that others write too must not fail what users wait for
	} else if u > writePriorityAccept {
		cost += reservedWrites
	} else {
		// It may overdraw: if the others leave nothing, the service says so, and soon after it is
		// tried again.
		b.hasUserWaiting = true
		cost -= c.storeWriteRate() / 2
	}
	if b.opCount()+3 > c.cfg.MaxTxnOps || len(b.proposals) >= maxProposalsPerTxn || b.valueBytes > 40<<10 || c.transactions.rateLimit.WriteTokens < cost {
		return false
	}
	if slot >= 0 && c.slotState(slot).WriteInFlight && c.schemaVersion() >= schemaSharedValues {
		j.write.nextLookAt = c.now + slotRetryDelay
		return true
	}
	p, again := c.proposeRecord(j, b)
	if p == nil {
		j.write.dirty = again != 0
		j.write.nextLookAt = again
		return true
	}
	p.slotIndex = slot
	if len(p.auditActs) > 0 {
		p.compares = append(p.compares, c.unauditedCompares()...)
	}
	if len(b.proposals) > 0 && len(b.txn.Compare)+len(b.slotDrafts)+len(p.compares)+comparesPerJob > 4*c.cfg.MaxTxnOps {
		c.undoProposal(p)
		return false
	}
	// What nobody waits for leaves a part of the budget to what somebody does.
	if p.completionsOnly && c.transactions.rateLimit.WriteTokens < cost+c.transactions.rateLimit.WriteRate*0.2 {
		j.write.nextLookAt = c.now + 100*time.Millisecond
		return true
	}
	old := p.record.PendingAudit
	if j.cancellation.markerRevision != 0 && p.record.Spec == nil { // its mark goes
		old = append(slices.Clone(old), j.cancellation.markerAudit...)
	}
	if entry := c.encodeSlotEntry(p); entry != nil && b.slotDrafts[slot] == nil && c.slotState(slot).JobKeyWritesInFlight > 0 {
		c.undoProposal(p)
		j.write.nextLookAt = c.now + slotRetryDelay
		return true
	} else if entry != nil && b.addSlotEntry(p, entry) {
		b.requireShard(p)
		b.addProposal(p)
		return true
	}
	if c.schemaVersion() >= schemaSharedValues {
		p.record.WriteNumber++
	}
	p.record.PendingAudit, p.auditEntryIDs = c.currentAuditLog().AttachEntries(keyJob+j.id, j.revision, old, p.auditActs)
	raw, err := c.encodeWithinLimit(p)
	if err != nil || len(raw) > c.cfg.MaxValueBytes {
		// An older version may have stored it under larger limits, or its tasks end in an order that
		// leaves many pieces. It is written once more of them have ended; a job that is over always
		// fits. Nothing is lost meanwhile: its machines keep what they reported.
		c.undoProposal(p)
		j.write.nextLookAt = c.now + time.Second
		if p.isCancellation && c.schemaVersion() >= schemaDependencies {
			c.writeCancelMarker(j, p.record.CancelledAtMS, p.compares, p.auditActs[:p.userCancelActs])
		}
		return true
	}
	p.encodedSize = len(raw)
	if p.startsOnly && len(p.started) == 0 {
		c.currentAuditLog().DiscardEntries(p.auditEntryIDs)
		// No start fits the value before others of its tasks have ended. Without this, such a job
		// was written again and again as it was, and the others starved.
		j.write.nextLookAt = c.now + time.Second
		return true
	}
	b.requireShard(p)
	if n := slot; n >= 0 && c.schemaVersion() >= schemaSharedValues {
		b.addCompare(wire.Compare{Key: slotKey(n), Revision: c.slotState(n).Revision})
		switch {
		case !c.ownsJob(j): // its holder may be about to write the slot, and must not without knowing of this
			b.removeSlotEntry(n, j.id)
		case b.slotDrafts[n] == nil:
			if b.dependentSlots == nil {
				b.dependentSlots = map[int]bool{}
			}
			b.dependentSlots[n] = true
		}
	}
	b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyJob + j.id, Revision: j.revision})
	for _, k := range p.compares {
		b.addCompare(k)
	}
	b.txn.Then = append(b.txn.Then, wire.Write{Put: keyJob + j.id, Value: raw})
	if j.stored.bytes > c.cfg.MaxValueBytes || j.cancellation.markerRevision != 0 {
		b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyCancel + j.id, Revision: j.cancellation.markerRevision})
	}
	if j.cancellation.markerRevision != 0 && p.record.Spec == nil {
		b.txn.Then = append(b.txn.Then, wire.Write{Delete: keyCancel + j.id})
	}
	b.valueBytes += len(raw) + 200
	b.addProposal(p)
	return true
}

// addProposal puts a proposal into the transaction.
func (b *txnBuilder) addProposal(p *proposal) {
	b.chargeQuota(p)
	b.core.priority.startShares.recordStarts(b.core.now, p, b.core)
	p.job.write.dirty, p.job.write.inFlight = false, true
	b.proposals = append(b.proposals, *p)
}

const maxProposalsPerTxn = 64 // jobs written together; each takes a choice of machines

const slotRetryDelay = 10 * time.Millisecond // until a slot that is being written is looked at again

// requireShard makes a transaction depend on the shard of a proposal's job, unless somebody who does not hold it may write it.
func (b *txnBuilder) requireShard(p *proposal) {
	shard := p.record.Shard
	if (p.isCancellation || p.isAcceptance) && !b.core.ownsShard(shard) || b.comparedShards[shard] {
		return
	}
	if b.comparedShards == nil {
		b.comparedShards = map[int]bool{}
	}
	b.comparedShards[shard] = true
	b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: shardKey(shard), Revision: b.core.ownership.shards[shard].mark})
}

// chargeQuota counts a proposal's starts against its team's limits, which all who start tasks of the team write.
func (b *txnBuilder) chargeQuota(p *proposal) {
	tm := b.core.teamOf(p.record.Spec)
	if tm == nil || !tm.hasMaxQuota() || len(p.started) == 0 {
		return
	}
	if _, ok := b.addedUsage[tm]; !ok {
		b.teams = append(b.teams, tm)
		b.txn.Compare = append(b.txn.Compare, wire.Compare{Key: keyTeam + tm.Name, Revision: tm.revision})
		b.txn.Then = append(b.txn.Then, wire.Write{Put: keyTeam + tm.Name, Value: json.RawMessage("1")})
	}
	u := b.addedUsage[tm]
	n := int64(len(p.started))
	b.addedUsage[tm] = [2]int64{u[0] + n*p.record.Spec.Request[0], u[1] + n*p.record.Spec.Request[1]}
}

// encodeWithinLimit encodes a proposal's record: readable if there is room to spare, else packed if that
// may be written. New starts that would make it too large for a value wait.
func (c *Core) encodeWithinLimit(p *proposal) (json.RawMessage, error) {
	for {
		starts := len(p.started)
		raw, err := c.encodeRecord(p.record, p.assignments, false)
		if err != nil || len(raw) <= c.cfg.MaxValueBytes*7/8 && len(raw)+p.record.MaxGrowth(p.assignments) <= c.cfg.MaxValueBytes {
			return raw, err
		}
		if c.schemaVersion() >= schemaDependencies {
			packed, err := c.encodeRecord(p.record, p.assignments, true)
			if err != nil || len(packed) <= c.cfg.MaxValueBytes*3/4 || starts == 0 && len(packed) <= c.cfg.MaxValueBytes {
				return packed, err
			}
		}
		switch {
		case starts > 0:
			n := (starts + 3) / 4
			c.undoProposal(&proposal{started: p.started[starts-n:], spec: p.spec})
			p.started = p.started[:starts-n]
			p.assignments = p.assignments[:len(p.assignments)-n]
			p.record.LastAttempt -= uint64(n)
		case len(raw) > c.cfg.MaxValueBytes && len(p.record.StopReasons) > 0:
			p.record.StopReasons = nil
		default:
			return raw, nil
		}
	}
}

// undoProposal gives back the room of starts that were not committed.
func (c *Core) undoProposal(p *proposal) {
	c.currentAuditLog().DiscardEntries(p.auditEntryIDs)
	for _, a := range p.started {
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: p.spec.Request})
	}
}

func (b *txnBuilder) flush() {
	for _, p := range b.encodeSlots() {
		b.core.undoProposal(&p)
		p.job.write.inFlight, p.job.stored.needsOwnKey = false, true
		b.core.markDirty(p.job)
	}
	if len(b.proposals) == 0 {
		return
	}
	for _, t := range b.teams {
		t.locked = true
	}
	for _, p := range b.proposals {
		if p.isAcceptance {
			p.job.submission.requestsBeforeWrite = len(p.job.submission.requestIDs)
		}
		for _, a := range p.started {
			b.core.recordDelta(true, p.job, a, p.spec.Request)
		}
	}
	x := &pendingTxn{proposals: b.proposals, teams: b.teams, writtenSlots: b.slotDrafts, dependentSlots: b.dependentSlots}
	b.core.lockSlots(x)
	b.core.commitTxn(b.txn, x)
}

func (c *Core) teamOf(s *wire.JobSpec) *team {
	if s == nil {
		return nil
	}
	if i, ok := c.teamIndex[s.Team]; ok {
		return c.teams[i]
	}
	return nil
}

// proposeRecord works out a job's next record from what is known; nil if nothing changes.
// again, if set, is when to look again although nothing new was heard.
func (c *Core) proposeRecord(j *job, b *txnBuilder) (p *proposal, again time.Duration) {
	if j.revision == 0 {
		unless, ok := c.notArchivedCompare(j.id)
		spec := j.submission.spec
		_, unknown, _ := c.findUnmetDependencies(&spec)
		if !ok || unknown != "" || j.submission.writeFailed && c.history.coldRecords > 0 && !j.submission.lookupDone {
			return nil, c.lookUpArchived(j)
		}
		if d := c.authorize(j.submission.caller, submitAction(&spec)); !d.Allowed {
			c.completeSubmission(j, 403, d.Reason)
			return nil, 0
		}
		s := c.pickShard()
		lane := ""
		if c.priority.revision != 0 && c.schemaVersion() >= schemaPriorityClasses {
			lane = c.priority.classes.Name(c.priority.classes.Classify(&spec))
		}
		rec := &jobrecord.Record{PriorityClass: lane, Shard: s, Spec: &spec, AcceptedAtMS: j.submission.submittedMS, Submitter: j.submission.caller.Identity}
		p = &proposal{job: j, record: rec, spec: rec.Spec, isAcceptance: true, compares: append(c.permissionCompares(j.submission.caller), unless),
			auditActs: []auditlog.Event{newAuditEvent(j.submission.caller, "submit", j.id, fmt.Sprintf("%s %s %s", spec.Team, spec.Class, wire.PriorityName(spec.Priority)))}}
		left, _, cancelled := c.findUnmetDependencies(&spec)
		if cancelled != nil {
			p.record = &jobrecord.Record{Shard: s, Stage: jobrecord.Cancelled, CancelledAtMS: c.unixMS(), CancelledByJob: cancelled.id}
			c.keepPermissionFields(p.record, &spec)
			p.auditActs = append(p.auditActs, auditlog.Event{Verb: "cancel", Object: j.id, Reason: "needs " + cancelled.id})
			return p, 0
		}
		spec.Dependencies = left // what is over needs no keeping
		// Its tasks are placed with the same write if that costs its user no time: a team's key may
		// be locked, or written by others so often that the write fails.
		if t := c.teamOf(&spec); t != nil && t.hasMaxQuota() && t.locked && len(left) == 0 && c.ownsShard(s) && c.now < j.submission.receivedAt+2*lockedRetryDelay {
			return nil, c.now + lockedRetryDelay
		}
		if !j.submission.writeFailed && c.ownsShard(s) && len(left) == 0 && !c.hasEarlierWaiting(&spec) {
			c.assignTasks(p, b)
		}
		return p, 0
	}
	if j.record == nil || j.record.Spec == nil {
		c.completeCancellations(j)
		return nil, 0
	}
	j.write.waitsForEnds = false
	rec := *j.record
	rec.StopReasons = slices.Clone(j.record.StopReasons)
	if c.schemaVersion() >= schemaPriorityClasses {
		rec.EnqueueRevision = j.queue.enqueueRevision
	}
	p = &proposal{job: j, record: &rec, spec: j.record.Spec}
	if len(j.cancellation.waiters) > 0 && rec.Stage == jobrecord.Queued {
		p.compares = c.dropUnauthorizedCancellations(j)
	}
	if len(j.cancellation.waiters) > 0 && rec.Stage == jobrecord.Queued {
		p.isCancellation = true
		rec.Stage = jobrecord.Cancelled
		rec.CancelledAtMS = j.cancellation.requestedMS
		for _, x := range j.cancellation.waiters {
			if a := newAuditEvent(x.caller, "cancel", j.id, ""); !slices.Contains(p.auditActs, a) {
				p.auditActs = append(p.auditActs, a)
			}
		}
		p.userCancelActs = len(p.auditActs)
	}
	ended := j.cancelledBy != nil && rec.Stage == jobrecord.Queued // with a job that it needs
	if ended {
		rec.Stage, rec.CancelledByJob, rec.CancelledAtMS = jobrecord.Cancelled, j.cancelledBy.id, c.unixMS()
		p.auditActs = append(p.auditActs, auditlog.Event{Verb: "cancel", Object: j.id, Reason: "needs " + j.cancelledBy.id})
	}
	if !c.ownsJob(j) {
		if !p.isCancellation {
			return nil, 0
		}
		p.assignments = j.assignments
		return p, 0
	}
	// Where changes are left over, a full slot is made roomy again.
	crowded := c.transactions.rateLimit.WriteTokens >= 0.9*c.transactions.rateLimit.WriteBurst(c.cfg.MaxTxnOps) && c.slotState(c.slotNumber(j.id, j.record)).IsNearlyFull(c.maxSlotBytes())
	overlaid := (j.stored.needsOwnKey || crowded) && c.currentSlotEntry(j.id, j.record) != nil
	p.wantsOwnKey = j.stored.needsOwnKey || overlaid
	changed := overlaid || p.isCancellation || ended || j.stored.bytes > c.cfg.MaxValueBytes && c.schemaVersion() >= schemaDependencies
	quick := p.isCancellation
	var stopped []jobrecord.StopReason
	for _, a := range j.assignments {
		ended, cause := c.attemptOutcome(j, a)
		if !ended {
			p.assignments = append(p.assignments, a)
			continue
		}
		changed = true
		p.ended = append(p.ended, a)
		if cause == wire.CauseDone && rec.Stage == jobrecord.Queued {
			rec.CompletedTasks = rec.CompletedTasks.Add(int(a.Task))
			j.placement.failures = 0
			continue
		}
		quick = true
		m := c.machines[a.Machine]
		if rec.Stage == jobrecord.Queued {
			if t := m.commands.attempts[attemptKey{j.index, a.Task, a.Attempt}]; t != nil && t.stopReason != "" && cause == wire.CauseStopped {
				cause = t.stopReason
			}
			stopped = append(stopped, jobrecord.StopReason{Task: int(a.Task), Machine: m.name, Cause: cause, AtMS: c.unixMS()})
			rec.AddStopReason(stopped[len(stopped)-1])
			c.handleTaskFailure(j, m, cause, a, failsEverywhere(&rec, c.unixMS()))
		}
	}
	p.auditActs = append(p.auditActs, taskStopEvents(j.id, stopped)...)
	switch {
	case rec.Stage == jobrecord.Cancelled && len(p.assignments) == 0:
		rec = jobrecord.Record{Shard: rec.Shard, Stage: jobrecord.Cancelled, CompletedTasks: rec.CompletedTasks, StopReasons: rec.StopReasons, CancelledByJob: rec.CancelledByJob, PendingAudit: rec.PendingAudit}
		c.keepPermissionFields(&rec, p.spec)
		changed = true
	case rec.Stage == jobrecord.Queued && rec.CompletedTasks.Count() == rec.Spec.Tasks:
		c.log("debug", "job done", "job", j.id, "class", rec.Spec.Class, "team", rec.Spec.Team, "tasks", rec.Spec.Tasks, "tries", rec.LastAttempt,
			"estimate_s", rec.Spec.EstimatedRuntimeMS/1000, "took_ms", c.unixMS()-rec.AcceptedAtMS, "placed_ms", j.placement.lastPlacedMS-rec.AcceptedAtMS, "why", rec.StopReasons)
		rec = jobrecord.Record{Shard: rec.Shard, Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, rec.Spec.Tasks - 1}, PendingAudit: rec.PendingAudit}
		c.keepPermissionFields(&rec, p.spec)
		changed, quick = true, true
	case rec.Stage == jobrecord.Queued && j.unmetDependencies == 0:
		before := len(p.assignments)
		again = c.assignTasks(p, b)
		if len(p.assignments) > before {
			p.startsOnly = !changed
			changed, quick = true, true
			j.placement.lastPlacedMS = c.unixMS()
			c.log("debug", "tasks placed late", "job", j.id, "class", rec.Spec.Class, "tasks", len(p.assignments)-before,
				"after_ms", j.placement.lastPlacedMS-rec.AcceptedAtMS, "tries", rec.LastAttempt, "spread", rec.Spec.Spread, "why", rec.StopReasons)
		}
	}
	if !changed {
		return nil, again
	}
	// Completions alone may wait a little, to share a write.
	if due := j.write.dirtySince + c.transactions.endBatchDelay; !quick && c.now < due && b.slotDrafts[c.slotNumber(j.id, j.record)] == nil {
		j.write.waitsForEnds = true
		if again == 0 {
			again = due
		}
		return nil, min(again, due)
	}
	p.completionsOnly = !quick
	return p, 0
}

// keepPermissionFields keeps in an ended job's record what its readers' rights depend on.
func (c *Core) keepPermissionFields(r *jobrecord.Record, s *wire.JobSpec) {
	if c.permissionsInForce() {
		r.Team, r.Class = s.Team, s.Class
	}
}

// lookUpArchived looks for a new job, and for those that it awaits, among the jobs that ended long ago. It
// tells when another look is due, if set.
func (c *Core) lookUpArchived(j *job) (again time.Duration) {
	a := j.submission
	if a.lookupInFlight {
		return c.now + lockedRetryDelay
	}
	a.lookupInFlight = true
	c.lookUpJobs(append([]string{j.id}, a.spec.Dependencies...), func(ok bool) {
		if j.submission != a {
			return
		}
		a.lookupInFlight, a.lookupDone = false, true
		if !ok && j.revision == 0 {
			c.completeSubmission(j, 503, reasonHistoryUnreadable)
		}
		c.markDirty(j)
	})
	if j.submission == nil {
		return 0
	}
	return c.now + lockedRetryDelay
}

// handleTaskFailure draws conclusions from a task's failure.
func (c *Core) handleTaskFailure(j *job, m *machine, cause string, a jobrecord.Assignment, mistaken bool) {
	t := m.commands.attempts[attemptKey{j.index, a.Task, a.Attempt}]
	if t == nil || t.failureCounted {
		return
	}
	t.failureCounted = true
	switch cause {
	case wire.CauseNoCapacity, wire.CauseBusy:
		c.Stats.StartRefusals++
		m.health.avoidUntil = c.now + 2*time.Second
		c.placement.capacityFreed = true
	case wire.CauseError:
		// A job that was submitted with a mistake fails everywhere: back off. A machine
		// on which different jobs fail is faulty.
		j.placement.failures++
		if j.placement.failures > 2 {
			j.placement.backoffUntil = c.now + min(30*time.Second, time.Second<<min(j.placement.failures-3, 5))
		}
		if mistaken { // of the machine it says nothing: one such job kept a tenth of a fleet from all work
			return
		}
		m.health.failures++
		m.health.avoidUntil = c.now + time.Duration(min(m.health.failures, 6))*5*time.Second
	case wire.CauseNoSuchTask:
		j.placement.backoffUntil = c.now + 2*time.Second
	}
}

// isSchedulable reports whether new tasks may go to a machine now.
func (c *Core) isSchedulable(m *machine) bool {
	return m.status.reported && !m.lifecycle.gone && !m.lifecycle.returnRequested && !c.isQuarantined(m) && m.lifecycle.interruptionDeadline == 0 && m.status.incarnation > 0 && m.identity.address != "" &&
		c.now >= m.health.avoidUntil && c.now-m.status.lastHeartbeatAt < c.cfg.HeartbeatInterval*2 && (m.commands.lastUnansweredAt == 0 || m.status.lastHeartbeatAt > m.commands.lastUnansweredAt) && !c.isZoneSilent(m.identity.zone, placementSilenceLimit)
}

func (c *Core) isFeasible(s *wire.JobSpec, m *machine) bool {
	mt := c.autoscaler.catalog[m.identity.machineType]
	return mt != nil && c.isMachineTypeAllowed(s, m.identity.machineType) && (s.Zone == "" || s.Zone == m.identity.zone) && (s.Spot || !m.identity.spot) &&
		fits(mt.Capacity(), s.Request)
}

// unplaceable is a claim for which no machine had room, as a job that comes at this place in the order of work found.
type unplaceable struct {
	request       clusterstate.Resources
	allowsSpot    bool
	heldBack      bool          // some may have had, but it is held for more important work
	yieldUntil    time.Duration // some had, which is left to others until then; 0: none had
	priorityClass int
	enqueuedAtMS  int64
}

// isKnownUnplaceable reports whether a claim can find no room, as a smaller one of a job before it found none since some became
// free. Without it, all waiting jobs of a full fleet look at all its machines, several times a second.
func (c *Core) isKnownUnplaceable(s *wire.JobSpec, prio int, at int64, held bool) bool {
	return slices.ContainsFunc(c.placement.unplaceable, func(x unplaceable) bool {
		switch {
		case x.allowsSpot != s.Spot || !clusterstate.Resources(s.Request).Fits(x.request) || x.heldBack && !held:
			return false
		case x.yieldUntil == 0:
			return true
		}
		return c.now < x.yieldUntil && (x.priorityClass < prio || x.priorityClass == prio && x.enqueuedAtMS <= at)
	})
}

// yieldDelay is how long room on a machine, that has just come free, is still left to others. All controllers see it with the same
// push, and while more work waits than there is room, each would fill it: half of all starts found the machine full.
// So the first in the machine's rendezvous order has it to itself for a moment, and the others follow one by one. First of all come those whose
// work has waited longer than the job that is placed: when each controller filled the same share of the new room, jobs of the same
// priority and age began two minutes apart, by whose they were.
func (c *Core) yieldDelay(machine int32, o queuePositions) time.Duration {
	r, m := c.clusterCopy.state.Row(machine), c.machines[machine]
	if r == nil || !c.clusterCopy.state.IsFresh(c.now) {
		return 0
	}
	x := o[0]
	if m.identity.spot {
		x = o[1]
	}
	rank := x.before + min(c.machineRank(m), x.alike)
	if rank == 0 {
		return 0
	}
	return max(0, r.RoomFreedAt()+c.firstRankWindow()+time.Duration(rank-1)*c.propagationDelay()-c.now)
}

// queuePositions tell how many other controllers come before a job, and how many are alike, on ordinary and on spot machines.
type queuePositions [2]struct{ before, alike int }

func (c *Core) queuePositionsOf(priority int, atMS int64) (o queuePositions) {
	for i := range o {
		o[i].before, o[i].alike = c.controllers.membership.CountCompetitors(c.now, c.isControllerLive, membership.QueuePosition{Priority: priority, EnqueuedAtMS: atMS}, i == 1)
	}
	return o
}

// machineRank is the place of this controller among those that use a machine. Of machines that are as good, a job's tasks go to those
// where it is the first: between two pushes, controllers that choose at the same moment would all choose the same.
func (c *Core) machineRank(m *machine) int {
	if m.ranking.nodesVersion != c.controllers.nodesVersion+1 {
		m.ranking.nodesVersion, m.ranking.rank = c.controllers.nodesVersion+1, c.rendezvousRank(m.name, c.liveControllers())
	}
	return m.ranking.rank
}

// firstRankWindow is how long a controller has new room to itself: until it looks for room again, and the others know what it took.
func (c *Core) firstRankWindow() time.Duration {
	return min(c.placementScanInterval(), 400*time.Millisecond) + c.propagationDelay()
}

// propagationDelay is how long it takes until the others know of a start: a batch's time, or what it takes of late, if that is more.
func (c *Core) propagationDelay() time.Duration {
	return min(max(2*c.cfg.DeltaInterval, c.deltaLog.countingDelay/2), 2*time.Second)
}

// placementScanInterval is the time between two looks at all waiting jobs. Tasks of a job that find room one by one would take
// a write each, and its team's key another: where changes are few, they gather.
func (c *Core) placementScanInterval() time.Duration {
	return max(200*time.Millisecond, time.Duration(2/(0.5*c.transactions.rateLimit.WriteRate)*float64(time.Second)))
}

const lockedRetryDelay = 20 * time.Millisecond // until a team's state is looked at again

// assignTasks chooses machines for a job's waiting tasks by the design: 2t candidates from the
// copy, most room first, the rest at random. It tells when another look is due, if set.
func (c *Core) assignTasks(p *proposal, b *txnBuilder) (again time.Duration) {
	s := p.record.Spec
	if c.autoscaler.catalog == nil || !c.holdsLease() {
		return 0
	}
	if c.now < p.job.placement.backoffUntil {
		return p.job.placement.backoffUntil
	}
	limit := min(c.maxAssignedTasks()-len(p.assignments), s.Tasks)
	if isFailing(p.record, c.unixMS()) {
		limit = min(limit, c.maxTasksWhileFailing(p.job, p.assignments)-len(p.assignments))
	}
	if t := c.teamOf(s); t != nil && t.hasMaxQuota() {
		if t.locked {
			return c.now + lockedRetryDelay
		}
		u := b.addedUsage[t]
		if t.MaxCPU > 0 && s.Request[0] > 0 {
			limit = min(limit, int((t.MaxCPU-t.usedCPU-u[0])/s.Request[0]))
		}
		if t.MaxGPU > 0 && s.Request[1] > 0 {
			limit = min(limit, int((t.MaxGPU-t.usedGPU-u[1])/s.Request[1]))
		}
	}
	prio, at := c.priority.classes.Classify(s), p.record.AcceptedAtMS
	if !p.isAcceptance {
		prio, at = c.effectivePriorityClass(p.job), p.job.effectiveEnqueueMS()
	}
	held := c.clusterCopy.capacityHold != nil && prio > c.clusterCopy.capacityHold.Priority && c.clusterCopy.state.IsFresh(c.now)
	if limit <= 0 || c.isKnownUnplaceable(s, prio, at, held) {
		return 0
	}
	tasks := p.record.UnassignedTasks(p.assignments, limit)
	if len(tasks) == 0 {
		return 0
	}
	zones := map[string]int{}
	for _, a := range p.assignments {
		zones[c.machines[a.Machine].identity.zone]++
	}
	only := ""
	if s.OneZone {
		for z := range zones {
			only = z
		}
		if only == "" {
			only = c.roomiestZone(s)
		}
	}
	others, shun := c.queuePositionsOf(prio, at), c.recentlyFailedMachines(p.record)
	ask := clusterstate.CandidateQuery{Count: int(math.Ceil(c.cfg.CandidateRatio * float64(len(tasks)))), Request: s.Request, FillRandomly: c.cfg.RandomPlacement, HonorReserved: s.Spot,
		IsAllowed: func(i int32) bool {
			m := c.machines[i]
			return c.isSchedulable(m) && c.isFeasible(s, m) && !slices.Contains(shun, m.name) && (only == "" || m.identity.zone == only) && !(held && c.clusterCopy.state.Row(i).Available.Fits(c.clusterCopy.capacityHold.Request))
		}}
	if !c.clusterCopy.state.IsFresh(c.now) {
		for _, m := range c.aliveMachines {
			if m.status.reported && !m.lifecycle.gone {
				ask.OtherMachines = append(ask.OtherMachines, m.index)
			}
		}
	}
	ask.DistanceOf = func(i int32) int { return c.machineRank(c.machines[i]) }
	est := time.Duration(s.EstimatedRuntimeMS) * time.Millisecond
	ask.TierOf = func(i int32) int {
		m, t := c.machines[i], 0
		h := c.busyHorizon(m)
		if c.cfg.PreferSpot && s.Spot && !m.identity.spot && h < unboundedHorizon {
			t += 200
		}
		if c.cfg.PreferImage && s.Image != "" && !m.status.images[s.Image] {
			t += 100
		}
		// A machine is paid for until its last task ends: a task that ends before costs nothing.
		// A replica stays for good: on a machine that has none, it would keep it for itself alone.
		if c.cfg.BusyHorizonStep > 0 && s.Service && h < unboundedHorizon {
			t += 90
		} else if c.cfg.BusyHorizonStep > 0 && est > h {
			t += int(min(90, (est-h)/c.cfg.BusyHorizonStep))
		}
		return t
	}
	// A zone that has all of a job's tasks that may be there holds no candidates for it. The best of all candidates were often there, as its machines
	// hold the image: replicas that a lost zone had taken waited for minutes beside hundreds of machines with room in the others.
	most := (s.Tasks + 1) / 2
	full := func() (n int) {
		for _, k := range zones {
			if s.Spread && k >= most {
				n++
			}
		}
		return n
	}
	var early time.Duration // until the first room that is another's to take now; 0: there is none
	allow := ask.IsAllowed
	ask.IsAllowed = func(i int32) bool {
		if !allow(i) || s.Spread && zones[c.machines[i].identity.zone] >= most {
			return false
		}
		wait := c.yieldDelay(i, others)
		if wait > 0 && (early == 0 || wait < early) {
			early = wait
		}
		return wait == 0
	}
	untried := map[int32]bool{} // machines that seem full get one try each
	for len(tasks) > 0 {
		before := full()
		cands := c.clusterCopy.state.Candidates(c.now, ask, c.rng)
		if at := c.now + early; early > 0 && len(cands) < ask.Count && (c.placement.yieldedUntil == 0 || at < c.placement.yieldedUntil) {
			c.placement.yieldedUntil = at
		}
		if len(cands) == 0 && s.Zone == "" && s.MachineTypes == nil && only == "" && before == 0 && c.clusterCopy.state.IsFresh(c.now) {
			x := unplaceable{request: s.Request, allowsSpot: s.Spot, heldBack: held, priorityClass: prio, enqueuedAtMS: at}
			if early > 0 {
				x.yieldUntil = c.now + early
			}
			c.placement.unplaceable = append(c.placement.unplaceable, x)
		}
		for progress := true; progress && len(tasks) > 0; {
			progress = false
			for _, mi := range cands {
				if len(tasks) == 0 {
					break
				}
				m := c.machines[mi]
				r := c.clusterCopy.state.Row(mi)
				if r == nil || !r.HasRoom(s.Request, s.Spot) {
					if untried[mi] || c.clusterCopy.state.IsFresh(c.now) && !c.cfg.RandomPlacement {
						continue
					}
					untried[mi] = true
				}
				if s.Spread && zones[m.identity.zone] >= most || c.reportsLiveTask(m, p.job, tasks[0]) {
					continue
				}
				if s.OneZone && only != "" && m.identity.zone != only {
					continue
				}
				if s.OneZone {
					only = m.identity.zone // the first task decides where no zone could be preferred
				}
				p.record.LastAttempt++
				a := jobrecord.Assignment{Task: tasks[0], Machine: mi, Incarnation: m.status.incarnation, Attempt: p.record.LastAttempt}
				tasks = tasks[1:]
				p.assignments = append(p.assignments, a)
				p.started = append(p.started, a)
				zones[m.identity.zone]++
				c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Start: true, Machine: mi, Request: s.Request})
				progress = true
			}
		}
		if full() == before { // else those that are left may find room in the other zones
			break
		}
	}
	return 0
}

const unboundedHorizon = time.Hour

// busyHorizon is how long a machine's tasks are expected to keep it; services keep it forever. It
// is worked out again when the tasks change, and once a second.
func (c *Core) busyHorizon(m *machine) time.Duration {
	if m.allocation.busyHorizonAt != 0 && m.allocation.busyHorizonAt > m.status.lastChangeAt && c.now-m.allocation.busyHorizonAt < time.Second {
		return max(0, m.allocation.busyHorizon)
	}
	m.allocation.busyHorizon, m.allocation.busyHorizonAt = c.computeBusyHorizon(m), c.now
	return m.allocation.busyHorizon
}

func (c *Core) computeBusyHorizon(m *machine) time.Duration {
	var h time.Duration
	for k, a := range m.allocation.assignments {
		s := c.jobs[k.jobIndex].record.Spec
		if s == nil {
			continue
		}
		if s.Service {
			return unboundedHorizon
		}
		h = max(h, c.remainingTime(c.jobs[k.jobIndex], m, a))
	}
	return h
}

// remainingTime is how long an assigned task should still take, by its owner's estimate.
func (c *Core) remainingTime(j *job, m *machine, a jobrecord.Assignment) time.Duration {
	left := time.Duration(j.record.Spec.EstimatedRuntimeMS) * time.Millisecond
	switch p := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; p.state {
	case wire.TaskExited:
		return 0
	case wire.TaskRunning:
		// One that is over its estimate is expected to take a quarter of it more.
		left = max(left-(c.now-p.stateSince), left/4)
	}
	return left
}

// reportsLiveTask reports whether a machine still reports an attempt of a task that has not exited.
func (c *Core) reportsLiveTask(m *machine, j *job, task int32) bool {
	for k, p := range m.status.tasks {
		if k.jobIndex == j.index && k.task == task && p.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// roomiestZone is the zone whose offered machines have the most room for a job.
func (c *Core) roomiestZone(s *wire.JobSpec) string {
	room := map[string]int64{}
	for _, m := range c.aliveMachines {
		if r := c.clusterCopy.state.Row(m.index); r != nil && r.Schedulable && c.isSchedulable(m) && c.isFeasible(s, m) {
			room[m.identity.zone] += tasksFitting(r.Available, s.Request)
		}
	}
	best := ""
	for z, n := range room {
		if best == "" || n > room[best] || n == room[best] && z < best {
			best = z
		}
	}
	return best
}

// tasksFitting is how many claims fit into a room.
func tasksFitting(room, claim [3]int64) int64 {
	n := int64(1 << 20)
	for i := range room {
		if claim[i] > 0 {
			n = min(n, room[i]/claim[i])
		}
	}
	return max(n, 0)
}
