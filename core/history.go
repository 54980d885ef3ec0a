package core

import (
	"errors"
	"slices"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/core/jobrecord"
	"dewlift/wire"
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
	marker   uint64 // mark of keyHistory; 0: nothing was ever moved
	cold     int    // records of ended jobs that are not in memory; may count too many, never too few
	loadedTo uint64 // revision of the last page of the load: moves until then may not have been counted as cold
	ended    []*job // in memory and not archived
	recalled []*job // in memory because somebody asked
	leaving  []*job // to be dropped once nothing refers to them
	free     []int32

	index      *archive.BlockCache
	movedTo    uint64 // revision of the last move seen
	finds      map[string]*find
	queue      []*find
	tokens     float64 // reads that finds may take now
	tokensAt   time.Duration
	reading    int
	unresolved []*job // needed by others and not known
	resolveAt  time.Duration
	reads      map[uint64]func(Scanned)
}

// find is the search for a job that is not in memory.
type find struct {
	id      string
	since   time.Duration
	keyRead bool   // it has no record,
	keyAt   uint64 // as of this revision
	busy    bool
	over    bool
	fs      []func(ok bool)
}

const (
	findWait  = 1500 * time.Millisecond // a find that takes longer has failed
	findsOut  = 8                       // reads on their way at a time
	pageItems = 1000                    // of a listing, the most that the state service gives
)

func newHistory(cfg *Config) history {
	return history{index: archive.NewBlockCache(cfg.HistoryCache), finds: map[string]*find{}, reads: map[uint64]func(Scanned){}}
}

// endedWhole reports whether a job is over and nothing of it is left to be done: its record is final.
func (j *job) endedWhole() bool {
	return j.rec != nil && j.rec.Spec == nil && j.rec.Stage != jobrecord.Queued
}

// noteEnd counts a job that has ended among those in memory.
func (c *Core) noteEnd(j *job) {
	if !j.archive.counted && !j.archive.archived && j.endedWhole() {
		j.archive.counted = true
		c.hist.ended = append(c.hist.ended, j)
	}
}

// mostEnded bounds the ended jobs in memory whose records have not moved: as many as are kept wait
// to be moved, and as many again until they are; beyond that the oldest are dropped.
func (c *Core) mostEnded() int { return 4 * c.cfg.EndedKept }

// trimEnded drops the oldest ended jobs from memory where there are too many; their records stay.
func (c *Core) trimEnded() {
	h := &c.hist
	if len(h.ended) <= c.mostEnded() {
		return
	}
	h.ended = slices.DeleteFunc(h.ended, func(j *job) bool { return j.archive.archived || !j.archive.counted })
	if len(h.ended) <= c.mostEnded() {
		return
	}
	slices.SortFunc(h.ended, func(a, b *job) int { return -compareMarks(a, b) })
	for _, j := range h.ended[2*c.cfg.EndedKept:] {
		j.archive.counted = false
		c.leaveMemory(j)
	}
	h.ended = slices.Clone(h.ended[:2*c.cfg.EndedKept])
}

// leaveMemory has a job dropped from memory once nothing refers to it.
func (c *Core) leaveMemory(j *job) {
	if !j.archive.evicting {
		j.archive.evicting = true
		c.hist.leaving = append(c.hist.leaving, j)
	}
}

func compareMarks(a, b *job) int {
	if a.mark != b.mark {
		if a.mark < b.mark {
			return -1
		}
		return 1
	}
	return strings.Compare(a.id, b.id)
}

// referred lists the jobs that machines report tasks of, or that orders were sent for: what is
// known of their attempts must not be lost.
func (c *Core) referred() map[int32]bool {
	refs := map[int32]bool{}
	for _, m := range c.alive {
		for k := range m.status.tasks {
			refs[k.job] = true
		}
		for k := range m.commands.attempts {
			refs[k.job] = true
		}
		for k := range m.allocation.assignments {
			refs[k.job] = true
		}
		for j := range m.health.failedJobs {
			refs[j] = true
		}
		for _, k := range m.commands.requestAttempts {
			refs[k.job] = true
		}
	}
	return refs
}

// prune drops jobs from memory that are to leave it, once nothing refers to them.
func (c *Core) prune() {
	h := &c.hist
	if n := len(h.recalled) - max(c.cfg.EndedKept, 1); n > 0 {
		for _, j := range h.recalled[:n] {
			c.leaveMemory(j)
		}
		h.recalled = slices.Clone(h.recalled[n:])
	}
	c.trimEnded()
	if len(h.leaving) == 0 {
		return
	}
	refs := c.referred()
	h.leaving = slices.DeleteFunc(h.leaving, func(j *job) bool {
		if refs[j.idx] || j.write.inOpenList || j.write.inFlight || j.write.outcomeUnknown || j.accept != nil || len(j.cancellation.waiters) > 0 || len(j.next) > 0 {
			return false
		}
		if !j.archive.archived {
			h.cold++
		}
		delete(c.jobIdx, j.id)
		c.jobs[j.idx] = nil
		h.free = append(h.free, j.idx)
		return true
	})
}

// remember puts the end of a job that somebody asked for into memory.
func (c *Core) remember(id string, r *jobrecord.Record, mark uint64, archived bool) {
	j := c.job(id)
	if j.mark != 0 {
		return
	}
	if !archived {
		c.hist.cold--
	}
	j.rec, j.mark, j.archive.archived = r, mark, archived
	c.hist.recalled = append(c.hist.recalled, j)
	c.touch(j)
	c.over(j)
}

// moved takes the news that a job's record is gone: it is in the archive since.
func (c *Core) moved(id string, mark uint64) {
	h := &c.hist
	h.movedTo = max(h.movedTo, mark)
	h.index.InvalidateOlder(id, mark)
	c.recorder().ResolveUnknown(keyJob+id, mark) // what it carried was in blocks before it moved
	i, ok := c.jobIdx[id]
	if !ok || c.jobs[i].mark == 0 {
		if mark > h.loadedTo {
			h.cold--
		}
		return
	}
	c.leaveArchived(c.jobs[i], mark)
}

// leaveArchived drops a job that is in the archive. One that was not known to be over moved while
// the changes were not followed: it counts as unknown until the archive is read.
func (c *Core) leaveArchived(j *job, mark uint64) {
	if j.endedWhole() {
		if !j.archive.archived {
			j.archive.archived, j.archive.counted, j.mark = true, false, mark
			c.leaveMemory(j)
		}
		return
	}
	c.unplace(j)
	j.place, j.rec, j.mark, j.placement.hasUnplacedTasks, j.placement.tasksLost = nil, nil, 0, false, false
	if len(j.next) > 0 {
		c.hist.unresolved = append(c.hist.unresolved, j)
	}
}

// absent looks for a job that is not in memory, as of the changes that are known here. It is known whether there is one,
// and an archived one is remembered, or something must be read first. x tells what a find has read for it; nil: nothing.
func (c *Core) absent(id string, x *find) (known bool, err error) {
	h := &c.hist
	since := uint64(0)
	if h.cold > 0 {
		if x == nil || !x.keyRead {
			return false, nil
		}
		// Its record may have moved shortly before it was read, and the news of that not be here yet.
		if since = x.keyAt; c.replica.revision >= since {
			since = 0
		}
	}
	if h.marker == 0 {
		return since == 0, nil
	}
	b, mark, err := h.index.Lookup(id, since)
	if b == nil || err != nil {
		return false, err
	}
	c.rememberFrom(b, mark, id)
	return true, nil
}

// rememberFrom remembers a job if a block holds it.
func (c *Core) rememberFrom(b *archive.Block, mark uint64, id string) bool {
	e, ok := b.Find(id)
	if ok {
		c.Stats.Recalled++
		c.remember(id, jobrecord.FromArchive(e, c.shardByName(id)), mark, true)
	}
	return ok
}

// recall remembers an archived job if the block that holds it is in memory.
func (c *Core) recall(id string) *job {
	if c.hist.marker == 0 || c.knownJob(id) != nil {
		return c.knownJob(id)
	}
	if b, mark, _ := c.hist.index.Lookup(id, 0); b != nil {
		c.rememberFrom(b, mark, id)
	}
	return c.knownJob(id)
}

// unchanged is the condition under which a job that is absent can't have been archived meanwhile.
func (c *Core) unchanged(id string) (wire.Compare, bool) {
	if c.hist.marker == 0 {
		return wire.Compare{Key: keyHistory}, true
	}
	b, mark, err := c.hist.index.Lookup(id, 0)
	if b == nil || err != nil {
		return wire.Compare{}, false
	}
	if c.rememberFrom(b, mark, id) { // the block was read anew since the job was submitted
		return wire.Compare{}, false
	}
	return wire.Compare{Key: archive.BlockKey(b.High), Revision: mark}, true
}

// find has a job looked for that is not in memory, and then calls f: with false if that failed;
// with true, the job is in memory now or does not exist, as of the last read barrier.
func (c *Core) find(id string, f func(ok bool)) {
	h := &c.hist
	if c.knownJob(id) != nil {
		f(true)
		return
	}
	if known, err := c.absent(id, nil); known || err != nil {
		f(err == nil)
		return
	}
	x := h.finds[id]
	if x == nil {
		// More than can be read until they fail are refused at once.
		if len(h.queue) >= max(8, int(c.findRate()*findWait.Seconds())) || c.stateDown() {
			f(false)
			return
		}
		x = &find{id: id, since: c.now}
		h.finds[id] = x
		h.queue = append(h.queue, x)
	}
	x.fs = append(x.fs, f)
}

// findFor has a job looked for that somebody asks about, and calls f with it; nil: there is none.
func (c *Core) findFor(req uint64, id string, f func(j *job)) {
	c.find(id, func(ok bool) {
		if j := c.knownJob(id); ok || j != nil {
			f(j)
		} else {
			c.refuse(req, unreadable)
		}
	})
}

// findAll is find for several jobs.
func (c *Core) findAll(ids []string, f func(ok bool)) {
	left, all := len(ids)+1, true
	one := func(ok bool) {
		all = all && ok
		if left--; left == 0 {
			f(all)
		}
	}
	for _, id := range ids {
		c.find(id, one)
	}
	one(true)
}

// findRate is how many reads a second finds may take.
func (c *Core) findRate() float64 { return c.cfg.HistoryShare * c.transactions.rateLimit.ReadRate }

// lookup carries finds on, within their share of the requests.
func (c *Core) lookup() {
	h := &c.hist
	h.tokens = min(h.tokens+(c.now-h.tokensAt).Seconds()*c.findRate(), max(4, c.findRate()))
	h.tokensAt = c.now
	if len(h.queue) == 0 {
		return
	}
	for _, x := range slices.Clone(h.queue) {
		switch {
		case x.busy || x.over:
		case c.now-x.since > findWait:
			c.found(x, false)
		case h.tokens >= 1 && h.reading < findsOut && !c.transactions.rateLimit.IsPaused(c.now):
			c.readFor(x)
		}
	}
	h.queue = slices.DeleteFunc(h.queue, func(x *find) bool { return x.over })
}

func (c *Core) found(x *find, ok bool) {
	x.over = true
	delete(c.hist.finds, x.id)
	for _, f := range x.fs {
		f(ok)
	}
}

// settleFind ends a find if it can be told now what became of its job.
func (c *Core) settleFind(x *find) bool {
	if c.knownJob(x.id) != nil {
		c.found(x, true)
		return true
	}
	known, err := c.absent(x.id, x)
	if known || err != nil {
		c.found(x, err == nil)
	}
	return known || err != nil
}

// readFor sends the next read of a find: first of its record, if there may be one, then of the
// block of its range. What a block tells, it tells all who wait.
func (c *Core) readFor(x *find) {
	h := &c.hist
	if c.settleFind(x) {
		return
	}
	h.tokens--
	h.reading++
	x.busy = true
	if h.cold > 0 && !x.keyRead {
		c.Stats.RecordReads++
		c.read(keyJob+x.id, func(in Scanned) {
			h.reading--
			x.busy = false
			switch {
			case in.Status == 404:
				x.keyRead, x.keyAt = true, in.Ledger
			case in.Status == 200 && len(in.Items) == 1 && in.Items[0].Revision > c.replica.revision:
				// It is on its way with the stream of changes, and was never counted as cold: counted out here, it left one job too few, and another
				// that had left memory was denied.
				x.busy = true
				c.afterBarrier(func(bool) {
					x.busy = false
					if !x.over {
						c.settleFind(x)
					}
				})
				return
			case in.Status == 200 && len(in.Items) == 1 && c.readRecord(x.id, in.Items[0]):
			case in.Status != 429:
				c.found(x, false)
				return
			}
			c.settleFind(x)
		})
		return
	}
	if h.marker == 0 { // the news that the record moved is on its way, or that there is an archive
		h.reading--
		x.busy = false
		c.afterBarrier(func(bool) {})
		return
	}
	c.Stats.BlockReads++
	c.readBlock(x.id, func(ok bool) {
		h.reading--
		x.busy = false
		if !ok {
			c.found(x, false)
			return
		}
		for _, y := range h.queue {
			if !y.over && !y.busy && (y.keyRead || h.cold == 0) {
				c.settleFind(y)
			}
		}
	})
}

// readRecord takes the record of a job that was not in memory; false if it can't be read.
func (c *Core) readRecord(id string, it wire.KeyValue) bool {
	r, err := jobrecord.Decode(it.Value)
	if err != nil {
		c.note("error", "value not understood", "key", it.Key, "err", err.Error())
		return false
	}
	if r.Spec == nil && r.Stage != jobrecord.Queued {
		c.Stats.Recalled++
		c.remember(id, r, it.Revision, false)
	}
	// Any other is in memory.
	return true
}

// read asks for a key, scan for a page of keys.
func (c *Core) read(key string, f func(Scanned)) { c.ask1(Scan{Key: key}, f) }

func (c *Core) scan(prefix, from string, most int, f func(Scanned)) {
	c.ask1(Scan{Prefix: prefix, From: from, Most: most}, f)
}

func (c *Core) ask1(s Scan, f func(Scanned)) {
	s.ID = c.id()
	c.transactions.rateLimit.SpendRequest()
	c.hist.reads[s.ID] = f
	c.emit(s)
}

func (c *Core) scanned(in Scanned) {
	f := c.hist.reads[in.ID]
	delete(c.hist.reads, in.ID)
	if in.Status == 429 {
		c.transactions.rateLimit.PauseNonUrgent(c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond))
	} else {
		c.stateAnswered(in.Status)
	}
	if f != nil {
		f(in)
	}
}

// readBlock reads the block of an id's range into the index, and calls f once it has been tried;
// with false if the state service did not answer.
func (c *Core) readBlock(id string, f func(ok bool)) {
	h := &c.hist
	c.scan(archive.BlockPrefix, archive.SeekKey(id), 1, func(in Scanned) {
		if in.Status != 200 {
			f(in.Status == 429)
			return
		}
		if in.Ledger < h.movedTo { // something moved since: it may be older than what is known
			f(true)
			return
		}
		if len(in.Items) == 0 {
			// The marker alone was written yet.
			h.index.Put(archive.EmptyBlock(), nil, 0, in.Ledger)
			f(true)
			return
		}
		it := in.Items[0]
		b, err := archive.Decode(it.Value)
		if err == nil && (archive.BlockKey(b.High) != it.Key || !b.Covers(id)) {
			err = errors.New("its range is not where it stands")
		}
		if err != nil {
			c.note("error", "block of ended jobs not understood: those in it can't be answered for", "key", it.Key, "err", err.Error())
			h.index.PutCorrupt(id, strings.TrimPrefix(it.Key, archive.BlockPrefix), it.Revision, in.Ledger)
		} else {
			h.index.Put(b, it.Value, it.Revision, in.Ledger)
		}
		f(true)
	})
}

// resolve looks for jobs that others need and that are not in memory.
func (c *Core) resolve() {
	h := &c.hist
	if c.now < h.resolveAt || len(h.unresolved) == 0 {
		return
	}
	h.resolveAt = c.now + time.Second
	h.unresolved = slices.DeleteFunc(h.unresolved, func(j *job) bool { return j.mark != 0 || len(j.next) == 0 })
	for _, j := range slices.Clone(h.unresolved) {
		if j.mark == 0 {
			c.find(j.id, func(bool) {})
		}
	}
}

// putHistory takes the sign that something may be archived.
func (c *Core) putHistory(mark uint64) { c.hist.marker = max(c.hist.marker, mark) }

// countHistory brings the figures of the log up to date.
func (c *Core) countHistory() {
	h := &c.hist
	c.Stats.Ended, c.Stats.Cold = len(h.ended), h.cold
	c.Stats.BlocksKept, c.Stats.HistoryBytes = h.index.Blocks(), h.index.Bytes()+(len(h.ended)+len(h.recalled)+len(h.leaving))*jobBytes
}

const jobBytes = 560 // that an ended job takes in memory, as measured
