package core

import (
	"dewlift/archive"
	"dewlift/core/jobrecord"
	"dewlift/overload"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"
)

// The leader moves the records of jobs that ended longest ago into the archive: it alone, so that
// many of one range share a block's write, and nobody else's writes are in its way. A move is one
// transaction on condition of the leadership, the block and each record. An ended record never changes;
// so whoever moves it, and however late, moves the same, once.
//
// Moves come in sweeps over all records in the order of their ids: then each block is written as few
// times as can be. Nothing is kept in memory for it but a page of records.

// archiveSweep is one pass over the records.
type archiveSweep struct {
	maxRevision    uint64 // records changed later stay
	afterKey       string // the page was read, and its records moved, up to this key
	pending        []endedRecord
	lastPageRead   bool // there is no page behind this one
	inFlight       bool
	referencedJobs map[int32]bool // jobs that machines have something of
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

// canArchive reports whether records may move now: no one may be running a version that does not
// look into the archive, and nobody waits for the changes it takes.
func (c *Core) canArchive() bool {
	return c.overload.Level() == overload.Normal && c.cfg.History.Archive && c.schemaVersion() >= schemaArchive && c.isLeader() && c.holdsLease() && c.now >= c.schema.activeSince+c.cfg.History.ArchiveStartDelay &&
		!c.transactions.rateLimit.IsPaused(c.now) && c.pendingSubmissions == 0 &&
		len(c.transactions.inFlight) == 0 &&
		c.transactions.rateLimit.WriteTokens >= 0.75*c.transactions.rateLimit.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		c.transactions.rateLimit.ReadTokens > 1
}

// advanceArchiveSweep starts a sweep when one is due, and takes the next step of it.
func (c *Core) advanceArchiveSweep() {
	if c.archiving.sweep == nil {
		if c.now < c.archiving.nextSweepCheckAt || !c.canArchive() {
			return
		}
		c.archiving.nextSweepCheckAt = c.now + time.Second
		c.startArchiveSweep()
		return
	}
	s := c.archiving.sweep
	switch {
	case s.inFlight:
	case !c.isLeader():
		c.archiving.sweep = nil
	case !c.canArchive():
	case len(s.pending) > 0:
		c.archiveNextBlock(s)
	case !s.lastPageRead:
		c.readSweepPage(s)
	default:
		c.log(
			LevelInfo,
			"ended jobs moved to the archive",
			"jobs",
			s.movedJobs,
			"changes",
			s.storeWrites,
			"took_ms",
			(c.now - s.startedAt).Milliseconds(),
		)
		c.archiving.sweep = nil
	}
}

// startArchiveSweep begins a sweep if more ended jobs have records than twice those to be kept.
func (c *Core) startArchiveSweep() {
	h := &c.history
	h.endedJobs = slices.DeleteFunc(
		h.endedJobs,
		func(j *job) bool { return j.archive.archived || !j.archive.counted },
	)
	if len(h.endedJobs)+h.coldRecords <= 2*c.cfg.History.MaxEndedJobs || len(h.endedJobs) <= c.cfg.History.MaxEndedJobs {
		return
	}
	slices.SortFunc(h.endedJobs, func(a, b *job) int { return -compareByRevision(a, b) })
	c.archiving.sweep = &archiveSweep{
		maxRevision:    h.endedJobs[c.cfg.History.MaxEndedJobs].revision,
		referencedJobs: c.referencedJobs(),
		startedAt:      c.now,
	}
}

// readSweepPage reads the next records.
func (c *Core) readSweepPage(s *archiveSweep) {
	s.inFlight = true
	c.readPrefix(keyJob, s.afterKey, rangePageSize/2, func(in RangeResult) {
		s.inFlight = false
		if in.Status != wire.StatusOK || s != c.archiving.sweep {
			return
		}
		for _, it := range in.Items {
			s.afterKey = it.Key
			r, err := jobrecord.Decode(it.Value)
			if err != nil || r.Spec != nil || r.Stage == jobrecord.Queued || it.Revision > s.maxRevision ||
				!c.currentAuditLog().AllRecorded(r.PendingAudit) {
				continue
			}
			id := strings.TrimPrefix(it.Key, keyJob)
			// What machines still report stays known to its owner until it is cleared.
			if i, ok := c.jobIndex[id]; ok && (s.referencedJobs[i] || len(c.jobs[i].dependents) > 0) {
				continue
			}
			s.pending = append(s.pending, endedRecord{r.ToArchive(id), it.Key, it.Revision})
		}
		s.lastPageRead = !in.More || len(in.Items) == 0
	})
}

// restart has a sweep read anew what it was about to move: something was not as it was known.
func (s *archiveSweep) restart() {
	if len(s.pending) == 0 {
		return
	}
	s.afterKey, s.lastPageRead = keyBefore(s.pending[0].key), false
	s.pending = nil
}

// keyBefore is a key that lies before another one, and behind all that do.
func keyBefore(key string) string {
	return key[:len(key)-1] + string(rune(key[len(key)-1]-1)) + "~~~~"
}

// archiveNextBlock writes the next transaction of a sweep.
func (c *Core) archiveNextBlock(s *archiveSweep) {
	h := &c.history
	if h.markerRevision == 0 {
		c.writeHistoryMarker(s)
		return
	}
	b, mark, err := h.archiveIndex.Lookup(s.pending[0].ID, 0)
	if b == nil && err == nil {
		s.inFlight = true
		c.readArchiveBlock(s.pending[0].ID, func(bool) { s.inFlight = false })
		return
	}
	n := 0
	for n < len(s.pending) && (b == nil && n == 0 || b != nil && s.pending[n].ID < b.High) {
		n++
	}
	var pieces []archive.EncodedBlock
	k := 0
	if err == nil {
		list := make([]archive.Entry, 0, n)
		for _, e := range s.pending[:n] {
			list = append(list, e.Entry)
		}
		pieces, k, err = b.PlanMerge(
			list,
			c.cfg.Store.MaxValueBytes,
			max(2, min(c.cfg.Store.MaxTxnOps, int(c.storeWriteRate()/2))),
		)
	}
	if err != nil {
		if !errors.Is(err, archive.ErrCorrupt) { // that was told when it was read
			c.log(LevelError, "ended jobs stay where they are", "from", s.pending[0].ID, "jobs", n, "err", err.Error())
		}
		s.pending = s.pending[n:]
		return
	}
	t := wire.Txn{Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}}}
	for i, p := range pieces {
		cond := wire.Compare{Key: archive.BlockKey(p.High)}
		if i == len(pieces)-1 {
			cond.Revision = mark
		}
		t.Compare = append(t.Compare, cond)
		t.Then = append(t.Then, wire.Write{Put: cond.Key, Value: p.Value})
	}
	for _, e := range s.pending[:k] {
		t.Compare = append(t.Compare, wire.Compare{Key: e.key, Revision: e.revision})
		t.Then = append(t.Then, wire.Write{Delete: e.key})
	}
	s.inFlight = true
	c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, r wire.TxnResponse) {
		s.inFlight = false
		switch status {
		case wire.StatusOK:
			for _, p := range pieces {
				h.archiveIndex.Put(p.Block, p.Value, r.Revision, r.Revision)
			}
			c.Stats.Archived += uint64(k)
			c.Stats.ArchiveWrites += uint64(len(t.Then))
			s.movedJobs += k
			s.storeWrites += len(t.Then)
			s.pending = s.pending[k:]
		case wire.StatusTooManyRequests, wire.StatusUnavailable: // not executed
		default: // overtaken, refused, or not known: it may be executed late, which changes nothing then
			if status == wire.StatusBadRequest {
				c.reduceTxnLimits(&t)
			}
			for _, p := range pieces {
				h.archiveIndex.Invalidate(archive.BlockKey(p.High))
			}
			s.restart()
		}
	}})
}

// writeHistoryMarker writes the sign that something may be archived, ahead of the first move.
func (c *Core) writeHistoryMarker(s *archiveSweep) {
	s.inFlight = true
	c.commitTxn(wire.Txn{
		Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}, {Key: keyHistory}},
		Then:    []wire.Write{{Put: keyHistory, Value: json.RawMessage("1")}},
	}, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
		c.afterReadBarrier(func(bool) { s.inFlight = false }) // what came of it shows there
	}})
}

// archivingState is the sweep that moves ended jobs into the archive.
type archivingState struct {
	sweep            *archiveSweep // see sweep.go
	nextSweepCheckAt time.Duration
}
