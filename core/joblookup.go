package core

import (
	"dewlift/archive"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"errors"
	"slices"
	"strings"
	"time"
)

// The ends of jobs. A controller keeps those of late in memory, as it keeps all that is not over.
// An older one is *cold* while it still has its record, and *archived* once that moved into a
// block (see sweep.go): both are read when somebody asks, and then remembered for a while.
//
// A job is unknown only if a read barrier does not show it, no cold record of it exists, and the
// block of its range, as exact as the barrier, lacks it. A record is read before the block:
// records move from the one to the other and never back.

// keyHistory exists once something may be in the archive. Everyone who writes a new job sees to it
// that it does not exist, or that the block of the job's range is as it was when it lacked the job:
// so no late acceptance can revive a job that was over and moved meanwhile.
const keyHistory = Root + "history"

type history struct {
	markerRevision   uint64 // mark of keyHistory; 0: nothing was ever moved
	coldRecords      int    // records of ended jobs that are not in memory; may count too many, never too few
	snapshotRevision uint64 // revision of the last page of the load: moves until then may not have been counted as cold
	endedJobs        []*job // in memory and not archived
	recalledJobs     []*job // in memory because somebody asked
	evicting         []*job // to be dropped once nothing refers to them
	freeIndexes      []int32

	archiveIndex           *archive.BlockCache
	lastMoveRevision       uint64 // revision of the last move seen
	lookups                map[string]*jobLookup
	lookupQueue            []*jobLookup
	readTokens             float64 // reads that finds may take now
	readTokensAt           time.Duration
	readsInFlight          int
	unresolvedDependencies []*job // needed by others and not known
	nextResolveAt          time.Duration
	pendingReads           map[uint64]func(RangeResult)
}

// jobLookup is the search for a job that is not in memory.
type jobLookup struct {
	jobID          string
	startedAt      time.Duration
	recordAbsent   bool   // it has no record,
	recordAbsentAt uint64 // as of this revision
	readInFlight   bool
	completed      bool
	callbacks      []func(ok bool)
}

const (
	lookupTimeout  = 1500 * time.Millisecond // a find that takes longer has failed
	maxLookupReads = 8                       // reads on their way at a time
	rangePageSize  = 1000                    // of a listing, the most that the state service gives
)

func newHistory(cfg *Config) history {
	return history{
		archiveIndex: archive.NewBlockCache(cfg.History.CacheBytes),
		lookups:      map[string]*jobLookup{},
		pendingReads: map[uint64]func(RangeResult){},
	}
}

// hasFinalRecord reports whether a job is over and nothing of it is left to be done: its record is final.
func (j *job) hasFinalRecord() bool {
	return j.record != nil && j.record.Spec == nil && j.record.Stage != jobrecord.Queued
}

// trackEndedJob counts a job that has ended among those in memory.
func (c *Core) trackEndedJob(j *job) {
	if !j.archive.counted && !j.archive.archived && j.hasFinalRecord() {
		j.archive.counted = true
		c.history.endedJobs = append(c.history.endedJobs, j)
	}
}

// maxEndedInMemory bounds the ended jobs in memory whose records have not moved: as many as are kept wait
// to be moved, and as many again until they are; beyond that the oldest are dropped.
func (c *Core) maxEndedInMemory() int { return 4 * c.cfg.History.MaxEndedJobs }

// evictOldestEnded drops the oldest ended jobs from memory where there are too many; their records stay.
func (c *Core) evictOldestEnded() {
	h := &c.history
	if len(h.endedJobs) <= c.maxEndedInMemory() {
		return
	}
	h.endedJobs = slices.DeleteFunc(
		h.endedJobs,
		func(j *job) bool { return j.archive.archived || !j.archive.counted },
	)
	if len(h.endedJobs) <= c.maxEndedInMemory() {
		return
	}
	slices.SortFunc(h.endedJobs, func(a, b *job) int { return -compareByRevision(a, b) })
	for _, j := range h.endedJobs[2*c.cfg.History.MaxEndedJobs:] {
		j.archive.counted = false
		c.scheduleEviction(j)
	}
	h.endedJobs = slices.Clone(h.endedJobs[:2*c.cfg.History.MaxEndedJobs])
}

// scheduleEviction has a job dropped from memory once nothing refers to it.
func (c *Core) scheduleEviction(j *job) {
	if !j.archive.evicting {
		j.archive.evicting = true
		c.history.evicting = append(c.history.evicting, j)
	}
}

func compareByRevision(a, b *job) int {
	if a.revision != b.revision {
		if a.revision < b.revision {
			return -1
		}
		return 1
	}
	return strings.Compare(a.id, b.id)
}

// referencedJobs lists the jobs that machines report tasks of, or that orders were sent for: what is
// known of their attempts must not be lost.
func (c *Core) referencedJobs() map[int32]bool {
	refs := map[int32]bool{}
	for _, m := range c.aliveMachines {
		for k := range m.status.tasks {
			refs[k.jobIndex] = true
		}
		for k := range m.commands.attempts {
			refs[k.jobIndex] = true
		}
		for k := range m.allocation.assignments {
			refs[k.jobIndex] = true
		}
		for j := range m.health.failedJobs {
			refs[j] = true
		}
		for _, k := range m.commands.requestAttempts {
			refs[k.jobIndex] = true
		}
	}
	return refs
}

// evictUnreferencedJobs drops jobs from memory that are to leave it, once nothing refers to them.
func (c *Core) evictUnreferencedJobs() {
	h := &c.history
	if n := len(h.recalledJobs) - max(c.cfg.History.MaxEndedJobs, 1); n > 0 {
		for _, j := range h.recalledJobs[:n] {
			c.scheduleEviction(j)
		}
		h.recalledJobs = slices.Clone(h.recalledJobs[n:])
	}
	c.evictOldestEnded()
	if len(h.evicting) == 0 {
		return
	}
	refs := c.referencedJobs()
	h.evicting = slices.DeleteFunc(h.evicting, func(j *job) bool {
		if refs[j.index] || j.write.inOpenList || j.write.inFlight || j.write.outcomeUnknown || j.submission != nil ||
			len(j.cancellation.waiters) > 0 ||
			len(j.dependents) > 0 {
			return false
		}
		if !j.archive.archived {
			h.coldRecords++
		}
		delete(c.jobIndex, j.id)
		c.jobs[j.index] = nil
		h.freeIndexes = append(h.freeIndexes, j.index)
		return true
	})
}

// cacheEndedJob puts the end of a job that somebody asked for into memory.
func (c *Core) cacheEndedJob(id string, r *jobrecord.Record, mark uint64, archived bool) {
	j := c.internJob(id)
	if j.revision != 0 {
		return
	}
	if !archived {
		c.history.coldRecords--
	}
	j.record, j.revision, j.archive.archived = r, mark, archived
	c.history.recalledJobs = append(c.history.recalledJobs, j)
	c.markDirty(j)
	c.propagateJobEnd(j)
}

// handleRecordArchived takes the news that a job's record is gone: it is in the archive since.
func (c *Core) handleRecordArchived(id string, mark uint64) {
	h := &c.history
	h.lastMoveRevision = max(h.lastMoveRevision, mark)
	h.archiveIndex.InvalidateOlder(id, mark)
	c.currentAuditLog().ResolveUnknown(keyJob+id, mark) // what it carried was in blocks before it moved
	i, ok := c.jobIndex[id]
	if !ok || c.jobs[i].revision == 0 {
		if mark > h.snapshotRevision {
			h.coldRecords--
		}
		return
	}
	c.evictArchivedJob(c.jobs[i], mark)
}

// evictArchivedJob drops a job that is in the archive. One that was not known to be over moved while
// the changes were not followed: it counts as unknown until the archive is read.
func (c *Core) evictArchivedJob(j *job, mark uint64) {
	if j.hasFinalRecord() {
		if !j.archive.archived {
			j.archive.archived, j.archive.counted, j.revision = true, false, mark
			c.scheduleEviction(j)
		}
		return
	}
	c.removeAssignments(j)
	j.assignments, j.record, j.revision, j.placement.hasUnplacedTasks, j.placement.tasksLost = nil, nil, 0, false, false
	if len(j.dependents) > 0 {
		c.history.unresolvedDependencies = append(c.history.unresolvedDependencies, j)
	}
}

// checkAbsent looks for a job that is not in memory, as of the changes that are known here. It is
// known whether there is one, and an archived one is remembered, or something must be read first. x
// tells what a find has read for it; nil: nothing.
func (c *Core) checkAbsent(id string, x *jobLookup) (known bool, err error) {
	h := &c.history
	since := uint64(0)
	if h.coldRecords > 0 {
		if x == nil || !x.recordAbsent {
			return false, nil
		}
		// Its record may have moved shortly before it was read, and the news of that not be here yet.
		if since = x.recordAbsentAt; c.replica.revision >= since {
			since = 0
		}
	}
	if h.markerRevision == 0 {
		return since == 0, nil
	}
	b, mark, err := h.archiveIndex.Lookup(id, since)
	if b == nil || err != nil {
		return false, err
	}
	c.cacheFromBlock(b, mark, id)
	return true, nil
}

// cacheFromBlock remembers a job if a block holds it.
func (c *Core) cacheFromBlock(b *archive.Block, mark uint64, id string) bool {
	e, ok := b.Find(id)
	if ok {
		c.Stats.RecalledJobs++
		c.cacheEndedJob(id, jobrecord.FromArchive(e, c.ownership.shardOfID(id)), mark, true)
	}
	return ok
}

// recallFromArchive remembers an archived job if the block that holds it is in memory.
func (c *Core) recallFromArchive(id string) *job {
	if c.history.markerRevision == 0 || c.knownJob(id) != nil {
		return c.knownJob(id)
	}
	if b, mark, _ := c.history.archiveIndex.Lookup(id, 0); b != nil {
		c.cacheFromBlock(b, mark, id)
	}
	return c.knownJob(id)
}

// notArchivedCompare is the condition under which a job that is absent can't have been archived meanwhile.
func (c *Core) notArchivedCompare(id string) (wire.Compare, bool) {
	if c.history.markerRevision == 0 {
		return wire.Compare{Key: keyHistory}, true
	}
	b, mark, err := c.history.archiveIndex.Lookup(id, 0)
	if b == nil || err != nil {
		return wire.Compare{}, false
	}
	if c.cacheFromBlock(b, mark, id) { // the block was read anew since the job was submitted
		return wire.Compare{}, false
	}
	return wire.Compare{Key: archive.BlockKey(b.High), Revision: mark}, true
}

// lookUpJob has a job looked for that is not in memory, and then calls f: with false if that failed;
// with true, the job is in memory now or does not exist, as of the last read barrier.
func (c *Core) lookUpJob(id string, f func(ok bool)) {
	h := &c.history
	if c.knownJob(id) != nil {
		f(true)
		return
	}
	if known, err := c.checkAbsent(id, nil); known || err != nil {
		f(err == nil)
		return
	}
	x := h.lookups[id]
	if x == nil {
		// More than can be read until they fail are refused at once.
		if len(h.lookupQueue) >= max(8, int(c.lookupReadRate()*lookupTimeout.Seconds())) || c.storeUnreachable() {
			f(false)
			return
		}
		x = &jobLookup{jobID: id, startedAt: c.now}
		h.lookups[id] = x
		h.lookupQueue = append(h.lookupQueue, x)
	}
	x.callbacks = append(x.callbacks, f)
}

// lookUpJobForRequest has a job looked for that somebody asks about, and calls f with it; nil: there is none.
func (c *Core) lookUpJobForRequest(req uint64, id string, f func(j *job)) {
	c.lookUpJob(id, func(ok bool) {
		if j := c.knownJob(id); ok || j != nil {
			f(j)
		} else {
			c.respondUnavailable(req, reasonHistoryUnreadable)
		}
	})
}

// lookUpJobs is find for several jobs.
func (c *Core) lookUpJobs(ids []string, f func(ok bool)) {
	left, all := len(ids)+1, true
	one := func(ok bool) {
		all = all && ok
		if left--; left == 0 {
			f(all)
		}
	}
	for _, id := range ids {
		c.lookUpJob(id, one)
	}
	one(true)
}

// lookupReadRate is how many reads a second finds may take.
func (c *Core) lookupReadRate() float64 {
	return c.cfg.History.ReadShare * c.transactions.rateLimit.ReadRate
}

// advanceLookups carries finds on, within their share of the requests.
func (c *Core) advanceLookups() {
	h := &c.history
	h.readTokens = min(h.readTokens+(c.now-h.readTokensAt).Seconds()*c.lookupReadRate(), max(4, c.lookupReadRate()))
	h.readTokensAt = c.now
	if len(h.lookupQueue) == 0 {
		return
	}
	for _, x := range slices.Clone(h.lookupQueue) {
		switch {
		case x.readInFlight || x.completed:
		case c.now-x.startedAt > lookupTimeout:
			c.completeLookup(x, false)
		case h.readTokens >= 1 && h.readsInFlight < maxLookupReads && !c.transactions.rateLimit.IsPaused(c.now):
			c.sendLookupRead(x)
		}
	}
	h.lookupQueue = slices.DeleteFunc(h.lookupQueue, func(x *jobLookup) bool { return x.completed })
}

func (c *Core) completeLookup(x *jobLookup, ok bool) {
	x.completed = true
	delete(c.history.lookups, x.jobID)
	for _, f := range x.callbacks {
		f(ok)
	}
}

// tryCompleteLookup ends a find if it can be told now what became of its job.
func (c *Core) tryCompleteLookup(x *jobLookup) bool {
	if c.knownJob(x.jobID) != nil {
		c.completeLookup(x, true)
		return true
	}
	known, err := c.checkAbsent(x.jobID, x)
	if known || err != nil {
		c.completeLookup(x, err == nil)
	}
	return known || err != nil
}

// sendLookupRead sends the next read of a find: first of its record, if there may be one, then of the
// block of its range. What a block tells, it tells all who wait.
func (c *Core) sendLookupRead(x *jobLookup) {
	h := &c.history
	if c.tryCompleteLookup(x) {
		return
	}
	h.readTokens--
	h.readsInFlight++
	x.readInFlight = true
	if h.coldRecords > 0 && !x.recordAbsent {
		c.Stats.RecordReads++
		c.readKey(keyJob+x.jobID, func(in RangeResult) {
			h.readsInFlight--
			x.readInFlight = false
			switch {
			case in.Status == wire.StatusNotFound:
				x.recordAbsent, x.recordAbsentAt = true, in.Revision
			case in.Status == wire.StatusOK && len(in.Items) == 1 && in.Items[0].Revision > c.replica.revision:
				// It is on its way with the stream of changes, and was never counted as cold:
				// counted out here, it left one job too few, and another that had left memory was
				// denied.
				x.readInFlight = true
				c.afterReadBarrier(func(bool) {
					x.readInFlight = false
					if !x.completed {
						c.tryCompleteLookup(x)
					}
				})
				return
			case in.Status == wire.StatusOK && len(in.Items) == 1 && c.cacheColdRecord(x.jobID, in.Items[0]):
			case in.Status != wire.StatusTooManyRequests:
				c.completeLookup(x, false)
				return
			}
			c.tryCompleteLookup(x)
		})
		return
	}
	if h.markerRevision == 0 { // the news that the record moved is on its way, or that there is an archive
		h.readsInFlight--
		x.readInFlight = false
		c.afterReadBarrier(func(bool) {})
		return
	}
	c.Stats.BlockReads++
	c.readArchiveBlock(x.jobID, func(ok bool) {
		h.readsInFlight--
		x.readInFlight = false
		if !ok {
			c.completeLookup(x, false)
			return
		}
		for _, y := range h.lookupQueue {
			if !y.completed && !y.readInFlight && (y.recordAbsent || h.coldRecords == 0) {
				c.tryCompleteLookup(y)
			}
		}
	})
}

// cacheColdRecord takes the record of a job that was not in memory; false if it can't be read.
func (c *Core) cacheColdRecord(id string, it wire.KeyValue) bool {
	r, err := jobrecord.Decode(it.Value)
	if err != nil {
		c.log(LevelError, "value not understood", "key", it.Key, "err", err.Error())
		return false
	}
	if r.Spec == nil && r.Stage != jobrecord.Queued {
		c.Stats.RecalledJobs++
		c.cacheEndedJob(id, r, it.Revision, false)
	}
	// Any other is in memory.
	return true
}

// readKey asks for a key, scan for a page of keys.
func (c *Core) readKey(key string, f func(RangeResult)) { c.sendReadRange(ReadRange{Key: key}, f) }

func (c *Core) readPrefix(prefix, from string, most int, f func(RangeResult)) {
	c.sendReadRange(ReadRange{Prefix: prefix, AfterKey: from, Limit: most}, f)
}

func (c *Core) sendReadRange(s ReadRange, f func(RangeResult)) {
	s.ID = c.nextID()
	c.transactions.rateLimit.SpendRequest()
	c.history.pendingReads[s.ID] = f
	c.emit(s)
}

func (c *Core) handleRangeResult(in RangeResult) {
	f := c.history.pendingReads[in.ID]
	delete(c.history.pendingReads, in.ID)
	if in.Status == wire.StatusTooManyRequests {
		c.transactions.rateLimit.PauseNonUrgent(c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond))
	} else {
		c.recordStoreStatus(in.Status)
	}
	if f != nil {
		f(in)
	}
}

// readArchiveBlock reads the block of an id's range into the index, and calls f once it has been tried;
// with false if the state service did not answer.
func (c *Core) readArchiveBlock(id string, f func(ok bool)) {
	h := &c.history
	c.readPrefix(archive.BlockPrefix, archive.SeekKey(id), 1, func(in RangeResult) {
		if in.Status != wire.StatusOK {
			f(in.Status == wire.StatusTooManyRequests)
			return
		}
		if in.Revision < h.lastMoveRevision { // something moved since: it may be older than what is known
			f(true)
			return
		}
		if len(in.Items) == 0 {
			// The marker alone was written yet.
			h.archiveIndex.Put(archive.EmptyBlock(), nil, 0, in.Revision)
			f(true)
			return
		}
		it := in.Items[0]
		b, err := archive.Decode(it.Value)
		if err == nil && (archive.BlockKey(b.High) != it.Key || !b.Covers(id)) {
			err = errors.New("its range is not where it stands")
		}
		if err != nil {
			c.log(
				LevelError,
				"block of ended jobs not understood: those in it can't be answered for",
				"key",
				it.Key,
				"err",
				err.Error(),
			)
			h.archiveIndex.PutCorrupt(id, strings.TrimPrefix(it.Key, archive.BlockPrefix), it.Revision, in.Revision)
		} else {
			h.archiveIndex.Put(b, it.Value, it.Revision, in.Revision)
		}
		f(true)
	})
}

// resolveDependencies looks for jobs that others need and that are not in memory.
func (c *Core) resolveDependencies() {
	h := &c.history
	if c.now < h.nextResolveAt || len(h.unresolvedDependencies) == 0 {
		return
	}
	h.nextResolveAt = c.now + time.Second
	h.unresolvedDependencies = slices.DeleteFunc(
		h.unresolvedDependencies,
		func(j *job) bool { return j.revision != 0 || len(j.dependents) == 0 },
	)
	for _, j := range slices.Clone(h.unresolvedDependencies) {
		if j.revision == 0 {
			c.lookUpJob(j.id, func(bool) {})
		}
	}
}

// applyHistoryMarker takes the sign that something may be archived.
func (c *Core) applyHistoryMarker(mark uint64) {
	c.history.markerRevision = max(c.history.markerRevision, mark)
}

// updateHistoryStats brings the figures of the log up to date.
func (c *Core) updateHistoryStats() {
	h := &c.history
	c.Stats.EndedInMemory, c.Stats.ColdRecords = len(h.endedJobs), h.coldRecords
	c.Stats.CachedBlocks, c.Stats.HistoryBytes = h.archiveIndex.Blocks(), h.archiveIndex.Bytes()+(len(h.endedJobs)+len(h.recalledJobs)+len(h.evicting))*endedJobBytes
}

const endedJobBytes = 560 // that an ended job takes in memory, as measured
