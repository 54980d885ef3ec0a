package core

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/core/jobrecord"
	"dewlift/overload"
	"dewlift/wire"
)

// The leader moves the records of jobs that ended longest ago into the archive: it alone, so that
// many of one range share a block's write, and nobody else's writes are in its way. A move is one
// transaction on condition of the leadership, the block and each record. An ended record never changes;
// so whoever moves it, and however late, moves the same, once.
//
// Moves come in sweeps over all records in the order of their ids: then each block is written as few
// times as can be. Nothing is kept in memory for it but a page of records.

// sweep is one pass over the records.
type sweep struct {
	below   uint64 // records changed later stay
	after   string // the page was read, and its records moved, up to this key
	todo    []ended
	last    bool // there is no page behind this one
	busy    bool
	refs    map[int32]bool // jobs that machines have something of
	moved   int
	changes int
	from    time.Duration
}

// ended is the record of an ended job.
type ended struct {
	archive.Entry
	key  string
	mark uint64
}

// mayMove reports whether records may move now: no one may be running a version that does not
// look into the archive, and nobody waits for the changes it takes.
func (c *Core) mayMove() bool {
	return c.load.Level() == overload.Normal && c.cfg.Archive && c.form() >= formHistory && c.leads() && c.leaseOK() && c.now >= c.schema.activeSince+c.cfg.HistoryWait &&
		!c.transactions.rateLimit.IsPaused(c.now) && c.accepting == 0 && len(c.transactions.inFlight) == 0 && c.transactions.rateLimit.WriteTokens >= 0.75*c.transactions.rateLimit.WriteBurst(c.cfg.TxnOps) && c.transactions.rateLimit.ReadTokens > 1
}

// sweepStep starts a sweep when one is due, and takes the next step of it.
func (c *Core) sweepStep() {
	if c.archiving.sweep == nil {
		if c.now < c.archiving.nextSweepCheckAt || !c.mayMove() {
			return
		}
		c.archiving.nextSweepCheckAt = c.now + time.Second
		c.startSweep()
		return
	}
	s := c.archiving.sweep
	switch {
	case s.busy:
	case !c.leads():
		c.archiving.sweep = nil
	case !c.mayMove():
	case len(s.todo) > 0:
		c.move(s)
	case !s.last:
		c.nextPage(s)
	default:
		c.note("info", "ended jobs moved to the archive", "jobs", s.moved, "changes", s.changes, "took_ms", (c.now - s.from).Milliseconds())
		c.archiving.sweep = nil
	}
}

// startSweep begins a sweep if more ended jobs have records than twice those to be kept.
func (c *Core) startSweep() {
	h := &c.hist
	h.ended = slices.DeleteFunc(h.ended, func(j *job) bool { return j.archive.archived || !j.archive.counted })
	if len(h.ended)+h.cold <= 2*c.cfg.EndedKept || len(h.ended) <= c.cfg.EndedKept {
		return
	}
	slices.SortFunc(h.ended, func(a, b *job) int { return -compareMarks(a, b) })
	c.archiving.sweep = &sweep{below: h.ended[c.cfg.EndedKept].mark, refs: c.referred(), from: c.now}
}

// nextPage reads the next records.
func (c *Core) nextPage(s *sweep) {
	s.busy = true
	c.scan(keyJob, s.after, pageItems/2, func(in Scanned) {
		s.busy = false
		if in.Status != 200 || s != c.archiving.sweep {
			return
		}
		for _, it := range in.Items {
			s.after = it.Key
			r, err := jobrecord.Decode(it.Value)
			if err != nil || r.Spec != nil || r.Stage == jobrecord.Queued || it.Revision > s.below || !c.recorder().AllRecorded(r.PendingAudit) {
				continue
			}
			id := strings.TrimPrefix(it.Key, keyJob)
			// What machines still report stays known to its owner until it is cleared.
			if i, ok := c.jobIdx[id]; ok && (s.refs[i] || len(c.jobs[i].next) > 0) {
				continue
			}
			s.todo = append(s.todo, ended{r.ToArchive(id), it.Key, it.Revision})
		}
		s.last = !in.More || len(in.Items) == 0
	})
}

// again has a sweep read anew what it was about to move: something was not as it was known.
func (s *sweep) again() {
	if len(s.todo) == 0 {
		return
	}
	s.after, s.last = keyBefore(s.todo[0].key), false
	s.todo = nil
}

// keyBefore is a key that lies before another one, and behind all that do.
func keyBefore(key string) string {
	return key[:len(key)-1] + string(rune(key[len(key)-1]-1)) + "~~~~"
}

// move writes the next transaction of a sweep.
func (c *Core) move(s *sweep) {
	h := &c.hist
	if h.marker == 0 {
		c.markHistory(s)
		return
	}
	b, mark, err := h.index.Lookup(s.todo[0].ID, 0)
	if b == nil && err == nil {
		s.busy = true
		c.readBlock(s.todo[0].ID, func(bool) { s.busy = false })
		return
	}
	n := 0
	for n < len(s.todo) && (b == nil && n == 0 || b != nil && s.todo[n].ID < b.High) {
		n++
	}
	var pieces []archive.EncodedBlock
	k := 0
	if err == nil {
		list := make([]archive.Entry, 0, n)
		for _, e := range s.todo[:n] {
			list = append(list, e.Entry)
		}
		pieces, k, err = b.PlanMerge(list, c.cfg.ValueBytes, max(2, min(c.cfg.TxnOps, int(c.writeRPS()/2))))
	}
	if err != nil {
		if !errors.Is(err, archive.ErrCorrupt) { // that was told when it was read
			c.note("error", "ended jobs stay where they are", "from", s.todo[0].ID, "jobs", n, "err", err.Error())
		}
		s.todo = s.todo[n:]
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
	for _, e := range s.todo[:k] {
		t.Compare = append(t.Compare, wire.Compare{Key: e.key, Revision: e.mark})
		t.Then = append(t.Then, wire.Write{Delete: e.key})
	}
	s.busy = true
	c.commit(t, &txn{done: func(status int, r wire.TxnResponse) {
		s.busy = false
		switch status {
		case 200:
			for _, p := range pieces {
				h.index.Put(p.Block, p.Value, r.Revision, r.Revision)
			}
			c.Stats.Archived += uint64(k)
			c.Stats.ArchiveChanges += uint64(len(t.Then))
			s.moved += k
			s.changes += len(t.Then)
			s.todo = s.todo[k:]
		case 429, 503: // not executed
		default: // overtaken, refused, or not known: it may be executed late, which changes nothing then
			if status == 400 {
				c.shrink(&t)
			}
			for _, p := range pieces {
				h.index.Invalidate(archive.BlockKey(p.High))
			}
			s.again()
		}
	}})
}

// markHistory writes the sign that something may be archived, ahead of the first move.
func (c *Core) markHistory(s *sweep) {
	s.busy = true
	c.commit(wire.Txn{Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}, {Key: keyHistory}},
		Then: []wire.Write{{Put: keyHistory, Value: json.RawMessage("1")}}}, &txn{done: func(int, wire.TxnResponse) {
		c.afterBarrier(func(bool) { s.busy = false }) // what came of it shows there
	}})
}
