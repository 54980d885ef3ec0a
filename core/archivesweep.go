package core

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/core/jobrecord"
	"dewlift/overload"
	"dewlift/wire"
)

// The leader moves the records of the jobs that ended longest ago into the archive. Only the leader does
// this: many records of one ID range then share the write of one block, and no other controller's write
// conflicts with it. A move is one transaction that is conditional on the leadership, the block and each
// record. The record of an ended job never changes, so a move is idempotent, whoever executes it and however
// late.
//
// A sweep walks all records in the order of their IDs, so that each block is written as few times as
// possible. It holds only one page of records in memory.

const (
	sweepCheckInterval = time.Second
	sweepPageSize      = rangePageSize / 2 // records per read

	// minSweepWriteBurstShare is the part of the write burst, from 0 to 1, that must be available before a
	// move, so that moves yield to all other writes.
	minSweepWriteBurstShare = 0.75
)

// archivingState is the state of moving ended jobs into the archive.
type archivingState struct {
	sweep            *archiveSweep // nil: none is running
	nextSweepCheckAt time.Duration
}

// archiveSweep is one pass over the job records.
type archiveSweep struct {
	maxRevision    uint64        // records with a later revision are not archived
	afterKey       string        // key of the last record read
	pending        []endedRecord // records that were read and are not archived yet
	lastPageRead   bool
	inFlight       bool           // a read or a write of the sweep is in flight
	referencedJobs map[int32]bool // by job index: jobs that machines refer to, which are not archived
	movedJobs      int
	storeWrites    int
	startedAt      time.Duration
}

// endedRecord is the record of an ended job.
type endedRecord struct {
	archive.Entry
	key      string
	revision uint64
}

// canArchive reports whether records may be archived now: all controllers run a version that reads the
// archive, and no other work needs the reads and writes that a sweep takes.
func (c *Core) canArchive() bool {
	limiter := &c.transactions.rateLimit
	return c.overload.Level() == overload.Normal &&
		c.cfg.History.Archive && c.schema.active >= schemaArchive &&
		c.leadership.isHeld() && c.ownLease.isHeld() &&
		c.now >= c.schema.activeSince+c.cfg.History.ArchiveStartDelay &&
		!limiter.IsPaused(c.now) && c.pendingSubmissions == 0 && len(c.transactions.inFlight) == 0 &&
		limiter.WriteTokens >= minSweepWriteBurstShare*limiter.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		limiter.RequestTokens > 1
}

// advanceArchiveSweep starts a sweep if one is due, or executes the next step of the running one.
func (c *Core) advanceArchiveSweep() {
	if c.archiving.sweep == nil {
		if c.now < c.archiving.nextSweepCheckAt || !c.canArchive() {
			return
		}
		c.archiving.nextSweepCheckAt = c.now + sweepCheckInterval
		c.startArchiveSweep()
		return
	}
	sweep := c.archiving.sweep
	switch {
	case sweep.inFlight:
	case !c.leadership.isHeld():
		c.archiving.sweep = nil
	case !c.canArchive():
	case len(sweep.pending) > 0:
		c.archiveNextBlock(sweep)
	case !sweep.lastPageRead:
		c.readSweepPage(sweep)
	default:
		c.log(LevelInfo, "archive sweep finished", "jobs", sweep.movedJobs,
			"changes", sweep.storeWrites, "took_ms", (c.now - sweep.startedAt).Milliseconds())
		c.archiving.sweep = nil
	}
}

// startArchiveSweep starts a sweep if more than twice MaxEndedJobs ended jobs still have records, of which more
// than MaxEndedJobs are in memory.
func (c *Core) startArchiveSweep() {
	h, keep := &c.history, c.cfg.History.MaxEndedJobs
	h.pruneEndedJobs()
	if len(h.endedJobs)+h.coldRecords <= 2*keep || len(h.endedJobs) <= keep {
		return
	}
	h.sortEndedJobs()
	c.archiving.sweep = &archiveSweep{
		maxRevision:    h.endedJobs[keep].revision,
		referencedJobs: referencedJobs(c.aliveMachines),
		startedAt:      c.now,
	}
}

// readSweepPage reads the next page of records.
func (c *Core) readSweepPage(sweep *archiveSweep) {
	sweep.inFlight = true
	c.reads.readPrefix(keyJob, sweep.afterKey, sweepPageSize, func(in RangeResult) {
		sweep.inFlight = false
		if in.Status != wire.StatusOK || sweep != c.archiving.sweep {
			return
		}
		for _, item := range in.Items {
			sweep.afterKey = item.Key
			if record, ok := c.archivableRecord(sweep, item); ok {
				sweep.pending = append(sweep.pending, record)
			}
		}
		sweep.lastPageRead = !in.More || len(in.Items) == 0
	})
}

// archivableRecord decodes a record. It returns false if the record must not be archived or can't be decoded.
func (c *Core) archivableRecord(sweep *archiveSweep, item wire.KeyValue) (endedRecord, bool) {
	record, err := jobrecord.Decode(item.Value)
	if err != nil || record.Spec != nil || record.Stage == jobrecord.Queued ||
		item.Revision > sweep.maxRevision || !c.auditLog.current().AllRecorded(record.PendingAudit) {
		return endedRecord{}, false
	}
	id := strings.TrimPrefix(item.Key, keyJob)
	// The owner of the job needs the record until the agents have cleared its tasks.
	if i, ok := c.jobIndex[id]; ok && (sweep.referencedJobs[i] || len(c.jobs[i].dependents) > 0) {
		return endedRecord{}, false
	}
	return endedRecord{record.ToArchive(id), item.Key, item.Revision}, true
}

// restart makes the sweep read its pending records again, because a move found a different state than was
// read.
func (s *archiveSweep) restart() {
	if len(s.pending) == 0 {
		return
	}
	s.afterKey, s.lastPageRead = keyBefore(s.pending[0].key), false
	s.pending = nil
}

// keyBefore returns a key that sorts before the given one and after all record keys that precede it.
func keyBefore(key string) string {
	return key[:len(key)-1] + string(rune(key[len(key)-1]-1)) + "~~~~"
}

// archiveMove is one transaction of a sweep: it moves the first of the pending records into a block, and may
// split the block.
type archiveMove struct {
	core   *Core
	sweep  *archiveSweep
	blocks []archive.EncodedBlock
	jobs   int // number of pending records that it moves
	txn    wire.Txn
}

// archiveNextBlock moves the next pending records into their block, or reads that block if it is not cached.
func (c *Core) archiveNextBlock(sweep *archiveSweep) {
	h := &c.history
	if h.markerRevision == 0 {
		c.writeHistoryMarker(sweep)
		return
	}
	firstID := sweep.pending[0].ID
	block, revision, err := h.blockCache.Lookup(firstID, 0)
	if block == nil && err == nil {
		sweep.inFlight = true
		h.readArchiveBlock(firstID, func(bool) { sweep.inFlight = false })
		return
	}
	group := sweep.pendingFor(block)
	move := &archiveMove{core: c, sweep: sweep}
	if err == nil {
		move.blocks, move.jobs, err = c.planArchiveMove(block, group)
	}
	if err != nil {
		if !errors.Is(err, archive.ErrCorrupt) { // a corrupt block was logged when it was read
			c.log(LevelError, "cannot archive ended jobs", "from", firstID, "jobs", len(group), "err", err.Error())
		}
		sweep.pending = sweep.pending[len(group):]
		return
	}
	move.buildTxn(revision)
	sweep.inFlight = true
	c.transactions.commit(move.txn, &pendingTxn{onDone: move.handleResult})
}

// pendingFor returns the leading pending records that belong to a block. A nil block is corrupt; then only
// the first record is returned, which the sweep skips.
func (s *archiveSweep) pendingFor(block *archive.Block) []endedRecord {
	if block == nil {
		return s.pending[:1]
	}
	n := 0
	for n < len(s.pending) && s.pending[n].ID < block.High {
		n++
	}
	return s.pending[:n]
}

// planArchiveMove plans one transaction that moves records of a group into a block. It returns the resulting
// blocks and the number of records that are moved.
func (c *Core) planArchiveMove(block *archive.Block, group []endedRecord) ([]archive.EncodedBlock, int, error) {
	entries := make([]archive.Entry, 0, len(group))
	for _, record := range group {
		entries = append(entries, record.Entry)
	}
	// A move takes at most half a second of the write rate. Two writes are always allowed: one block and the
	// deletion of one record.
	maxWrites := max(2, min(c.cfg.Store.MaxTxnOps, int(c.schema.storeWriteRate()/2)))
	return block.PlanMerge(entries, c.cfg.Store.MaxValueBytes, maxWrites)
}

// buildTxn builds the transaction of the move. revision is that of the block's key.
func (m *archiveMove) buildTxn(revision uint64) {
	m.txn = wire.Txn{Compare: []wire.Compare{{Key: keyLeader, Revision: m.core.leadership.leader.modRevision}}}
	for i, block := range m.blocks {
		condition := wire.Compare{Key: archive.BlockKey(block.High)}
		if i == len(m.blocks)-1 { // the last block keeps the key of the original one; the others have new keys
			condition.Revision = revision
		}
		m.txn.Compare = append(m.txn.Compare, condition)
		m.txn.Then = append(m.txn.Then, wire.Write{Put: condition.Key, Value: block.Value})
	}
	for _, record := range m.sweep.pending[:m.jobs] {
		m.txn.Compare = append(m.txn.Compare, wire.Compare{Key: record.key, Revision: record.revision})
		m.txn.Then = append(m.txn.Then, wire.Write{Delete: record.key})
	}
}

// handleResult handles the outcome of the move.
func (m *archiveMove) handleResult(status wire.Status, response wire.TxnResponse) {
	cache, stats := m.core.history.blockCache, &m.core.Stats
	m.sweep.inFlight = false
	switch status {
	case wire.StatusOK:
		for _, block := range m.blocks {
			cache.Put(block.Block, block.Value, response.Revision, response.Revision)
		}
		stats.Archived += uint64(m.jobs)
		stats.ArchiveWrites += uint64(len(m.txn.Then))
		m.sweep.movedJobs += m.jobs
		m.sweep.storeWrites += len(m.txn.Then)
		m.sweep.pending = m.sweep.pending[m.jobs:]
	case wire.StatusTooManyRequests, wire.StatusUnavailable: // not executed: the move is planned again
	default:
		// Conflict, refusal or unknown outcome. After an unknown outcome the transaction may still be
		// executed, and repeating the move is safe because it is idempotent.
		if status == wire.StatusBadRequest {
			m.core.transactions.limits.handleRefusal(&m.txn)
		}
		for _, block := range m.blocks {
			cache.Invalidate(archive.BlockKey(block.High))
		}
		m.sweep.restart()
	}
}

// writeHistoryMarker writes keyHistory, which must exist before the first move.
func (c *Core) writeHistoryMarker(sweep *archiveSweep) {
	sweep.inFlight = true
	c.transactions.commit(wire.Txn{
		Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.modRevision}, {Key: keyHistory}},
		Then:    []wire.Write{{Put: keyHistory, Value: json.RawMessage("1")}},
	}, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
		c.replica.afterReadBarrier(func(bool) { sweep.inFlight = false }) // the replica then has the marker
	}})
}
