package core

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Ended jobs. A controller keeps all unfinished jobs and the most recently ended ones in memory. An older
// ended job is cold while its record is still in the store, and archived once the record has moved into a
// block (see archivesweep.go). Cold and archived jobs are read on request and then cached for a while.
//
// A job counts as nonexistent only if a read barrier does not show it, there is no cold record of it, and the
// block of its ID range, as of that barrier, does not contain it. The record is read before the block,
// because records move from the store into blocks and never back.

// keyHistory exists once anything may be archived. A transaction that writes a new job is conditional on the
// absence of this key, or on the block of the job's ID range being unchanged since it was seen not to contain
// the job. Otherwise a late acceptance could recreate a job that has ended and been archived in the meantime.
const keyHistory = Root + "history"

// history is the state of the ended jobs and of the lookups of jobs that are not in memory.
type history struct {
	*environment

	reads *rangeReads

	markerRevision   uint64 // revision of keyHistory; 0: it does not exist, so nothing was archived
	coldRecords      int    // records of ended jobs that are not in memory; may be too high, but never too low
	snapshotRevision uint64 // of the snapshot's last page; records archived up to it may not have been counted as cold
	endedJobs        []*job // ended jobs that are in memory and not archived
	recalledJobs     []*job // ended jobs that are in memory because of a lookup, oldest lookup first
	evicting         []*job // jobs that are evicted from memory once nothing refers to them

	blockCache       *archive.BlockCache
	lastMoveRevision uint64                // revision of the last move into the archive that the watch has delivered
	lookups          map[string]*jobLookup // by job ID
	lookupQueue      []*jobLookup
	readTokens       float64 // number of reads that lookups may send now
	readTokensAt     time.Duration
	readsInFlight    int
}

// jobLookup is the lookup of a job that is not in memory.
type jobLookup struct {
	jobID          string
	startedAt      time.Duration
	recordAbsent   bool   // the job has no record in the store
	recordAbsentAt uint64 // revision of the store as of which recordAbsent is known
	readInFlight   bool
	completed      bool
	callbacks      []func(ok bool)
}

const (
	lookupTimeout    = 1500 * time.Millisecond // after which a lookup fails
	maxLookupReads   = 8                       // reads of lookups in flight
	minLookupBurst   = 4                       // least capacity of the token bucket of lookup reads
	minQueuedLookups = 8                       // lookups that may be queued even at a low rate
	rangePageSize    = 1000                    // keys per range read, the most that the store returns
	resolveInterval  = time.Second             // between two lookups of unresolved dependencies
	endedJobBytes    = 560                     // memory per ended job
)

// errBlockRange is the error of a block whose range does not match its key.
var errBlockRange = errors.New("range of block does not match its key")

// newHistory returns the state of a controller that knows of no ended jobs.
func newHistory(env *environment, reads *rangeReads) history {
	return history{
		environment: env,
		reads:       reads,
		blockCache:  archive.NewBlockCache(env.cfg.History.CacheBytes),
		lookups:     map[string]*jobLookup{},
	}
}

// hasFinalRecord reports whether a job has ended and no further write of its record is needed.
func (j *job) hasFinalRecord() bool {
	return j.record != nil && j.record.Spec == nil && j.record.Stage != jobrecord.Queued
}

// trackEndedJob adds a job to endedJobs if it has ended and is not archived.
func (h *history) trackEndedJob(ended *job) {
	if !ended.archive.counted && !ended.archive.archived && ended.hasFinalRecord() {
		ended.archive.counted = true
		h.endedJobs = append(h.endedJobs, ended)
	}
}

// maxEndedInMemory returns the maximum number of ended jobs in memory that are not archived. A sweep starts
// at twice MaxEndedJobs, and as many jobs again may end until it is finished; beyond that the oldest are
// evicted.
func (h *history) maxEndedInMemory() int { return 4 * h.cfg.History.MaxEndedJobs }

// evictOldestEnded evicts the oldest ended jobs from memory if there are too many. Their records stay in the
// store.
func (h *history) evictOldestEnded() {
	if len(h.endedJobs) <= h.maxEndedInMemory() {
		return
	}
	h.pruneEndedJobs()
	if len(h.endedJobs) <= h.maxEndedInMemory() {
		return
	}
	h.sortEndedJobs()
	for _, old := range h.endedJobs[2*h.cfg.History.MaxEndedJobs:] {
		old.archive.counted = false
		h.scheduleEviction(old)
	}
	h.endedJobs = slices.Clone(h.endedJobs[:2*h.cfg.History.MaxEndedJobs])
}

// pruneEndedJobs removes the jobs from endedJobs that have been archived or evicted since.
func (h *history) pruneEndedJobs() {
	h.endedJobs = slices.DeleteFunc(h.endedJobs, func(j *job) bool {
		return j.archive.archived || !j.archive.counted
	})
}

// sortEndedJobs sorts the ended jobs by revision, most recent first.
func (h *history) sortEndedJobs() {
	slices.SortFunc(h.endedJobs, func(a, b *job) int { return -compareByRevision(a, b) })
}

// scheduleEviction schedules a job to be evicted from memory once nothing refers to it.
func (h *history) scheduleEviction(j *job) {
	if !j.archive.evicting {
		j.archive.evicting = true
		h.evicting = append(h.evicting, j)
	}
}

// compareByRevision orders jobs by the revision of their records.
func compareByRevision(a, b *job) int {
	if byRevision := cmp.Compare(a.revision, b.revision); byRevision != 0 {
		return byRevision
	}
	return strings.Compare(a.id, b.id)
}

// referencedJobs returns the indexes of the jobs to which the tasks, assignments, commands or failures of
// machines refer. Evicting such a job would lose what is known of its attempts.
func referencedJobs(machines []*machine) map[int32]bool {
	referenced := map[int32]bool{}
	for _, machine := range machines {
		for key := range machine.status.tasks {
			referenced[key.jobIndex] = true
		}
		for key := range machine.commands.attempts {
			referenced[key.jobIndex] = true
		}
		for key := range machine.allocation.assignments {
			referenced[key.jobIndex] = true
		}
		for jobIndex := range machine.health.failedJobs {
			referenced[jobIndex] = true
		}
		for _, key := range machine.commands.requestAttempts {
			referenced[key.jobIndex] = true
		}
	}
	return referenced
}

// evictUnreferencedJobs evicts the jobs from memory that are scheduled for eviction and that nothing refers
// to.
func (c *Core) evictUnreferencedJobs() {
	h := &c.history
	if excess := len(h.recalledJobs) - max(c.cfg.History.MaxEndedJobs, 1); excess > 0 {
		for _, recalled := range h.recalledJobs[:excess] {
			h.scheduleEviction(recalled)
		}
		h.recalledJobs = slices.Clone(h.recalledJobs[excess:])
	}
	h.evictOldestEnded()
	if len(h.evicting) == 0 {
		return
	}
	referenced := referencedJobs(c.aliveMachines)
	h.evicting = slices.DeleteFunc(h.evicting, func(candidate *job) bool {
		if referenced[candidate.index] || candidate.isInUse() {
			return false
		}
		if !candidate.archive.archived {
			h.coldRecords++
		}
		c.dropJob(candidate)
		return true
	})
}

// isInUse reports whether a write, a request or another job refers to a job.
func (j *job) isInUse() bool {
	return j.write.inOpenList || j.write.inFlight || j.write.outcomeUnknown || j.submission != nil ||
		len(j.cancellation.waiters) > 0 || len(j.dependents) > 0
}

// cacheEndedJob adds an ended job that was looked up to memory, unless it is there already.
func (c *Core) cacheEndedJob(id string, record *jobrecord.Record, revision uint64, archived bool) {
	ended := c.internJob(id)
	if ended.revision != 0 {
		return
	}
	if !archived {
		c.history.coldRecords--
	}
	ended.record, ended.revision, ended.archive.archived = record, revision, archived
	c.history.recalledJobs = append(c.history.recalledJobs, ended)
	c.markDirty(ended)
	c.propagateJobEnd(ended)
}

// handleRecordArchived handles the deletion of a job's record, which means that it was moved into the
// archive.
func (c *Core) handleRecordArchived(id string, revision uint64) {
	h := &c.history
	h.lastMoveRevision = max(h.lastMoveRevision, revision)
	h.blockCache.InvalidateOlder(id, revision)
	// The outbox of the record was written to audit blocks before it was archived.
	c.auditLog.current().ResolveUnknown(keyJob+id, revision)
	i, ok := c.jobIndex[id]
	if !ok || c.jobs[i].revision == 0 {
		if revision > h.snapshotRevision {
			h.coldRecords--
		}
		return
	}
	c.evictArchivedJob(c.jobs[i], revision)
}

// evictArchivedJob schedules the eviction of an archived job. A job that was not known to have ended was
// archived while the watch was interrupted: it counts as unknown until the archive is read.
func (c *Core) evictArchivedJob(archived *job, revision uint64) {
	if archived.hasFinalRecord() {
		if !archived.archive.archived {
			archived.archive.archived, archived.archive.counted, archived.revision = true, false, revision
			c.history.scheduleEviction(archived)
		}
		return
	}
	c.removeAssignments(archived)
	archived.assignments, archived.record, archived.revision = nil, nil, 0
	archived.placement.hasUnplacedTasks, archived.placement.tasksLost = false, false
	if len(archived.dependents) > 0 {
		c.dependencies.addUnresolved(archived)
	}
}

// checkExistence determines whether a job that is not in memory exists, as of the replica's revision. It
// returns true if that is known, and caches the job if it is archived; it returns false if something must be
// read first. lookup holds what was already read for the job; nil means nothing.
func (c *Core) checkExistence(id string, lookup *jobLookup) (known bool, err error) {
	h := &c.history
	since := uint64(0)
	if h.coldRecords > 0 {
		if lookup == nil || !lookup.recordAbsent {
			return false, nil
		}
		// The record may have been archived shortly before it was read, and the watch may not have delivered
		// that yet.
		if since = lookup.recordAbsentAt; c.replica.revision >= since {
			since = 0
		}
	}
	if h.markerRevision == 0 {
		return since == 0, nil
	}
	block, revision, err := h.blockCache.Lookup(id, since)
	if block == nil || err != nil {
		return false, err
	}
	c.cacheFromBlock(block, revision, id)
	return true, nil
}

// cacheFromBlock caches a job if a block contains it, and reports whether it does.
func (c *Core) cacheFromBlock(block *archive.Block, revision uint64, id string) bool {
	entry, ok := block.Find(id)
	if ok {
		c.Stats.RecalledJobs++
		c.cacheEndedJob(id, jobrecord.FromArchive(entry, c.ownership.shardOfID(id)), revision, true)
	}
	return ok
}

// findCachedJob returns a job from memory or from a cached block; nil if it is in neither.
func (c *Core) findCachedJob(id string) *job {
	if c.history.markerRevision == 0 || c.knownJob(id) != nil {
		return c.knownJob(id)
	}
	// A corrupt block is treated like one that is not cached.
	if block, revision, _ := c.history.blockCache.Lookup(id, 0); block != nil {
		c.cacheFromBlock(block, revision, id)
	}
	return c.knownJob(id)
}

// notArchivedCompare returns a compare that fails if a job that was known not to exist has been archived since.
// It returns false if the job must be looked up again.
func (c *Core) notArchivedCompare(id string) (wire.Compare, bool) {
	if c.history.markerRevision == 0 {
		return wire.Compare{Key: keyHistory}, true
	}
	block, revision, err := c.history.blockCache.Lookup(id, 0)
	if block == nil || err != nil {
		return wire.Compare{}, false
	}
	if c.cacheFromBlock(block, revision, id) { // the block was read again after the job was submitted
		return wire.Compare{}, false
	}
	return wire.Compare{Key: archive.BlockKey(block.High), Revision: revision}, true
}

// lookUpJob looks up a job and then calls the callback. ok is false if the lookup failed; if it is true, the
// job is in memory or does not exist as of the last read barrier.
func (c *Core) lookUpJob(id string, callback func(ok bool)) {
	h := &c.history
	if c.knownJob(id) != nil {
		callback(true)
		return
	}
	if known, err := c.checkExistence(id, nil); known || err != nil {
		callback(err == nil)
		return
	}
	lookup := h.lookups[id]
	if lookup == nil {
		// A lookup that would time out in the queue is refused at once.
		maxQueued := max(minQueuedLookups, int(h.lookupReadRate()*lookupTimeout.Seconds()))
		if len(h.lookupQueue) >= maxQueued || c.replica.isStoreUnreachable() {
			callback(false)
			return
		}
		lookup = &jobLookup{jobID: id, startedAt: c.now}
		h.lookups[id] = lookup
		h.lookupQueue = append(h.lookupQueue, lookup)
	}
	lookup.callbacks = append(lookup.callbacks, callback)
}

// lookUpJobForRequest looks up a job for a request and calls the callback with it, or with nil if it does not
// exist. If the lookup fails, lookUpJobForRequest responds to the request itself.
func (c *Core) lookUpJobForRequest(requestID uint64, id string, callback func(j *job)) {
	c.lookUpJob(id, func(ok bool) {
		if found := c.knownJob(id); ok || found != nil {
			callback(found)
		} else {
			c.respondUnavailable(requestID, reasonHistoryUnreadable)
		}
	})
}

// lookUpJobs looks up several jobs and calls the callback when all lookups are complete. ok is false if any
// of them failed.
func (c *Core) lookUpJobs(ids []string, callback func(ok bool)) {
	left, allOK := len(ids)+1, true
	complete := func(ok bool) {
		allOK = allOK && ok
		if left--; left == 0 {
			callback(allOK)
		}
	}
	for _, id := range ids {
		c.lookUpJob(id, complete)
	}
	complete(true)
}

// lookupReadRate returns the number of reads per second that lookups may send.
func (h *history) lookupReadRate() float64 {
	return h.cfg.History.ReadShare * h.reads.limiter.RequestRate
}

// refillReadTokens refills the token bucket of lookup reads.
func (h *history) refillReadTokens() {
	rate := h.lookupReadRate()
	h.readTokens = min(h.readTokens+(h.now-h.readTokensAt).Seconds()*rate, max(minLookupBurst, rate))
	h.readTokensAt = h.now
}

// advanceLookups sends the next reads of the queued lookups and fails the lookups that have timed out.
func (c *Core) advanceLookups() {
	h := &c.history
	h.refillReadTokens()
	if len(h.lookupQueue) == 0 {
		return
	}
	for _, lookup := range slices.Clone(h.lookupQueue) {
		switch {
		case lookup.readInFlight || lookup.completed:
		case c.now-lookup.startedAt > lookupTimeout:
			h.completeLookup(lookup, false)
		case h.readTokens >= 1 && h.readsInFlight < maxLookupReads && !c.transactions.rateLimit.IsPaused(c.now):
			c.sendLookupRead(lookup)
		}
	}
	h.lookupQueue = slices.DeleteFunc(h.lookupQueue, func(lookup *jobLookup) bool { return lookup.completed })
}

// completeLookup completes a lookup and calls its callbacks.
func (h *history) completeLookup(lookup *jobLookup, ok bool) {
	lookup.completed = true
	delete(h.lookups, lookup.jobID)
	for _, callback := range lookup.callbacks {
		callback(ok)
	}
}

// tryCompleteLookup completes a lookup if its result is now known, and reports whether it did.
func (c *Core) tryCompleteLookup(lookup *jobLookup) bool {
	if c.knownJob(lookup.jobID) != nil {
		c.history.completeLookup(lookup, true)
		return true
	}
	known, err := c.checkExistence(lookup.jobID, lookup)
	if known || err != nil {
		c.history.completeLookup(lookup, err == nil)
	}
	return known || err != nil
}

// sendLookupRead sends the next read of a lookup: first of the job's record, if it may have one, and then of
// the block of its ID range.
func (c *Core) sendLookupRead(lookup *jobLookup) {
	h := &c.history
	if c.tryCompleteLookup(lookup) {
		return
	}
	h.readTokens--
	h.startRead(lookup)
	switch {
	case h.coldRecords > 0 && !lookup.recordAbsent:
		c.Stats.RecordReads++
		c.reads.readKey(keyJob+lookup.jobID, func(in RangeResult) { c.handleRecordRead(lookup, &in) })
	case h.markerRevision == 0: // the watch has not yet delivered the record's move or keyHistory
		h.endRead(lookup)
		c.replica.afterReadBarrier(func(bool) {})
	default:
		c.Stats.BlockReads++
		h.readArchiveBlock(lookup.jobID, func(ok bool) { c.handleBlockRead(lookup, ok) })
	}
}

// startRead counts a read of a lookup as in flight.
func (h *history) startRead(lookup *jobLookup) {
	h.readsInFlight++
	lookup.readInFlight = true
}

// endRead counts a read of a lookup as complete.
func (h *history) endRead(lookup *jobLookup) {
	h.readsInFlight--
	lookup.readInFlight = false
}

// handleRecordRead handles the result of reading the record of a job that is looked up.
func (c *Core) handleRecordRead(lookup *jobLookup, in *RangeResult) {
	c.history.endRead(lookup)
	found := in.Status == wire.StatusOK && len(in.Items) == 1
	switch {
	case in.Status == wire.StatusNotFound:
		lookup.recordAbsent, lookup.recordAbsentAt = true, in.Revision
	case found && in.Items[0].Revision > c.replica.revision:
		// The watch will deliver the record, and it was never counted as cold. Subtracting it from
		// coldRecords would make the count too low, and requests for another job that was evicted would then
		// be answered as if it did not exist.
		lookup.readInFlight = true
		c.replica.afterReadBarrier(func(bool) {
			lookup.readInFlight = false
			if !lookup.completed {
				c.tryCompleteLookup(lookup)
			}
		})
		return
	case found && c.cacheColdRecord(lookup.jobID, in.Items[0]):
	case in.Status != wire.StatusTooManyRequests:
		c.history.completeLookup(lookup, false)
		return
	}
	c.tryCompleteLookup(lookup)
}

// handleBlockRead handles the result of reading a block for a lookup. It may complete other lookups too.
func (c *Core) handleBlockRead(lookup *jobLookup, ok bool) {
	h := &c.history
	h.endRead(lookup)
	if !ok {
		h.completeLookup(lookup, false)
		return
	}
	for _, waiting := range h.lookupQueue {
		if !waiting.completed && !waiting.readInFlight && (waiting.recordAbsent || h.coldRecords == 0) {
			c.tryCompleteLookup(waiting)
		}
	}
}

// cacheColdRecord caches the record of a job that was not in memory. It returns false if the record can't be
// decoded. A record that is not final needs no caching, because its job is in memory.
func (c *Core) cacheColdRecord(id string, item wire.KeyValue) bool {
	record, err := jobrecord.Decode(item.Value)
	if err != nil {
		c.log(LevelError, "cannot decode stored value", "key", item.Key, "err", err.Error())
		return false
	}
	if record.Spec == nil && record.Stage != jobrecord.Queued {
		c.Stats.RecalledJobs++
		c.cacheEndedJob(id, record, item.Revision, false)
	}
	return true
}

// handleRangeResult handles the result of a range read of the store.
func (c *Core) handleRangeResult(in RangeResult) {
	callback := c.reads.takeCallback(in.ID)
	if in.Status == wire.StatusTooManyRequests {
		c.reads.pauseNonUrgent()
	} else {
		c.storeHealth.recordStatus(in.Status)
	}
	if callback != nil {
		callback(in)
	}
}

// readArchiveBlock reads the block of an ID's range into the cache and then calls the callback. ok is false
// if the store did not respond.
func (h *history) readArchiveBlock(id string, callback func(ok bool)) {
	h.reads.readPrefix(archive.BlockPrefix, archive.SeekKey(id), 1, func(in RangeResult) {
		if in.Status != wire.StatusOK {
			callback(in.Status == wire.StatusTooManyRequests)
			return
		}
		h.cacheBlock(id, &in)
		callback(true)
	})
}

// cacheBlock caches the block that was read for an ID.
func (h *history) cacheBlock(id string, in *RangeResult) {
	if in.Revision < h.lastMoveRevision { // the block may lack a record that was archived since
		return
	}
	if len(in.Items) == 0 { // only keyHistory was written so far
		h.blockCache.Put(archive.EmptyBlock(), nil, 0, in.Revision)
		return
	}
	item := in.Items[0]
	block, err := archive.Decode(item.Value)
	if err == nil && (archive.BlockKey(block.High) != item.Key || !block.Covers(id)) {
		err = errBlockRange
	}
	if err != nil {
		h.log(LevelError, "corrupt archive block: requests for jobs in its range fail",
			"key", item.Key, "err", err.Error())
		high := strings.TrimPrefix(item.Key, archive.BlockPrefix)
		h.blockCache.PutCorrupt(id, high, item.Revision, in.Revision)
		return
	}
	h.blockCache.Put(block, item.Value, item.Revision, in.Revision)
}

// resolveDependencies looks up the unresolved dependencies of other jobs.
func (c *Core) resolveDependencies() {
	for _, dependency := range c.dependencies.unresolvedDue() {
		if dependency.revision == 0 {
			c.lookUpJob(dependency.id, func(bool) {}) // caching it resolves the dependency
		}
	}
}

// applyHistoryMarker applies a write of keyHistory.
func (h *history) applyHistoryMarker(revision uint64) {
	h.markerRevision = max(h.markerRevision, revision)
}

// updateStats updates the statistics of ended jobs.
func (h *history) updateStats(stats *Stats) {
	jobs := len(h.endedJobs) + len(h.recalledJobs) + len(h.evicting)
	stats.EndedInMemory, stats.ColdRecords = len(h.endedJobs), h.coldRecords
	stats.CachedBlocks, stats.HistoryBytes = h.blockCache.Blocks(), h.blockCache.Bytes()+jobs*endedJobBytes
}
