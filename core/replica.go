package core

import (
	"dewlift/core/batchvalue"
	"dewlift/wire"
	"slices"
	"time"
)

// storeReplica is this controller's copy of the key-value store: how far it has read, the snapshot
// load, the watch and the read barriers.
type storeReplica struct {
	// The replica of the state service.
	revision          uint64
	loaded            bool
	pageInFlight      bool
	nextPageAt        time.Duration
	batchValues       map[int]*batchvalue.Slot // by shard, see share.go
	lastPageKey       string                   // the key up to which all keys were read
	snapshotRevision  uint64                   // revision of the first page
	snapshots         uint64
	pagesRead         int
	watchInFlight     bool
	nextWatchAt       time.Duration
	barrierWaiters    []func(ok bool) // for the next read barrier
	inFlightWaiters   []func(ok bool)
	barrierInFlight   bool
	nextBarrierAt     time.Duration
	barrierSentAt     time.Duration // when the barrier on its way was sent
	watchSentAt       time.Duration // when the watch was
	snapshotStartedAt time.Duration // when the first page of all keys was asked for
}

// storeHealth is whether the key-value store answers this controller: its last answer and failure,
// and the first unanswered read.
type storeHealth struct {
	// when the first of the reads of changes was sent that got no answer, since the last that did; 0: there is none
	firstLostReadAt time.Duration
	lastAnswerAt    time.Duration // last answer of the state service
	lastFailureAt   time.Duration // last failure
	everAnswered    bool
}

func (c *Core) isStoreReachable() bool {
	return c.storeHealth.everAnswered && c.now-c.storeHealth.lastAnswerAt < 2*time.Second &&
		(c.storeHealth.lastFailureAt <= c.storeHealth.lastAnswerAt)
}

// isStoreOutage reports whether the state service seems down for everyone: a majority of the
// controllers is in reach and none of them reaches it.
func (c *Core) isStoreOutage() bool {
	if c.holdsLease() || c.isStoreReachable() {
		return false
	}
	return c.controllers.membership.IsStoreOutage(c.now)
}

// storeUnreachable reports whether the state service seems out of reach at this moment.
func (c *Core) storeUnreachable() bool {
	return !c.replica.loaded ||
		c.storeHealth.lastFailureAt > c.storeHealth.lastAnswerAt &&
			c.now-c.storeHealth.lastAnswerAt > 400*time.Millisecond
}

func (c *Core) recordStoreStatus(status wire.Status) {
	if status == wire.StatusNoAnswer || status == wire.StatusUnavailable {
		c.storeHealth.lastFailureAt = c.now
		return
	}
	c.storeHealth.everAnswered = true
	c.storeHealth.lastAnswerAt = c.now
}

// syncReplica keeps the replica current: first all keys, then a watch, and barriers when asked.
func (c *Core) syncReplica() {
	if !c.replica.loaded {
		if !c.replica.pageInFlight && c.now >= c.replica.nextPageAt {
			if c.replica.pagesRead >= fastSnapshotPages && c.isSlowestToLoad() {
				c.replica.nextPageAt = c.now + time.Second
				return
			}
			c.replica.pageInFlight = true
			if c.replica.lastPageKey == "" {
				c.replica.snapshotStartedAt = c.now
			}
			c.emit(LoadSnapshot{AfterKey: c.replica.lastPageKey})
		}
		return
	}
	// A barrier brings the changes too: while users ask all the time, no watch is needed.
	if !c.replica.watchInFlight && c.now >= c.replica.nextWatchAt && !c.replica.barrierInFlight &&
		len(c.replica.barrierWaiters) == 0 {
		c.replica.watchInFlight, c.replica.watchSentAt = true, c.now
		c.replica.nextWatchAt = c.now + c.transactions.rateLimit.MinInterval(c.cfg.Store.MinWatchInterval, 0.25)
		c.transactions.rateLimit.SpendRequest()
		c.emit(Watch{SinceRevision: c.replica.revision, LongPoll: true})
	}
	if !c.replica.barrierInFlight && len(c.replica.barrierWaiters) > 0 && c.now >= c.replica.nextBarrierAt {
		c.replica.barrierInFlight, c.replica.barrierSentAt = true, c.now
		c.replica.nextBarrierAt = c.now + c.transactions.rateLimit.MinInterval(c.cfg.Store.MinReadBarrierInterval, 0.35)
		c.replica.inFlightWaiters, c.replica.barrierWaiters = c.replica.barrierWaiters, nil
		c.transactions.rateLimit.SpendRequest()
		c.emit(Watch{SinceRevision: c.replica.revision})
	}
}

// afterReadBarrier calls f once all changes committed until now are known here, or with false.
func (c *Core) afterReadBarrier(f func(ok bool)) {
	if !c.replica.loaded || len(c.replica.barrierWaiters) > 20000 {
		f(false)
		return
	}
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, f)
}

// afterUrgentReadBarrier is afterBarrier for a submission: its user counts the milliseconds, and there are
// few that need one. The barrier does not wait for its turn, as long as requests are left.
func (c *Core) afterUrgentReadBarrier(f func(ok bool)) {
	c.afterReadBarrier(f)
	if c.transactions.rateLimit.ReadTokens > 1 {
		c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
	}
}

func (c *Core) handleWatchResult(in WatchResult) {
	if in.LongPoll {
		c.replica.watchInFlight = false
		if in.Status != wire.StatusOK {
			c.replica.nextWatchAt = max(c.replica.nextWatchAt, c.now+300*time.Millisecond)
		}
	} else {
		c.recordStoreStatus(in.Status)
		c.replica.barrierInFlight = false
		if in.Status == wire.StatusTooManyRequests {
			c.replica.barrierWaiters = append(c.replica.inFlightWaiters, c.replica.barrierWaiters...)
			c.replica.inFlightWaiters = nil
			c.replica.nextBarrierAt = c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond)
			return
		}
	}
	switch in.Status {
	case wire.StatusNoAnswer:
		if !in.LongPoll && c.storeHealth.firstLostReadAt == 0 {
			c.storeHealth.firstLostReadAt = c.replica.barrierSentAt
		}
	case wire.StatusOK:
		c.storeHealth.firstLostReadAt = 0
		c.applyWatchEvents(in.Changes)
		if in.LongPoll {
			c.cancelAcks.quorum.ConfirmRead(c.replica.watchSentAt)
		} else {
			c.cancelAcks.quorum.ConfirmRead(c.replica.barrierSentAt)
		}
	case wire.StatusGone:
		c.replica.loaded, c.replica.lastPageKey = false, ""
		c.replica.nextPageAt = c.now
	}
	if !in.LongPoll {
		fs := c.replica.inFlightWaiters
		c.replica.inFlightWaiters = nil
		for _, f := range fs {
			f(in.Status == wire.StatusOK)
		}
	}
}

// applyWatchEvents takes the changes of a watch or barrier. Those up to seen are known already: two
// answers may overlap, and an older one must not undo a newer.
func (c *Core) applyWatchEvents(ch wire.WatchResponse) {
	for _, e := range ch.Events {
		if e.Revision <= c.replica.revision {
			continue
		}
		if e.Delete != "" {
			c.applyDelete(e.Delete, e.Revision)
		} else {
			c.applyPut(e.Put, e.Value, e.Revision)
		}
	}
	c.replica.revision = max(c.replica.revision, ch.Revision)
}

// handleSnapshotPage takes a page of all keys. Later pages may show later changes than the first:
// following from the first shows them again. Only what is not over stays in memory, and what ended last.
func (c *Core) handleSnapshotPage(in SnapshotPage) {
	c.replica.pageInFlight = false
	if !in.OK {
		if in.Status != wire.StatusTooManyRequests {
			c.storeHealth.lastFailureAt = c.now
		}
		c.replica.nextPageAt = c.now + 200*time.Millisecond + c.jitter(200*time.Millisecond)
		return
	}
	c.recordStoreStatus(wire.StatusOK)
	if c.replica.lastPageKey == "" {
		for i := range c.ownership.shards {
			c.ownership.shards[i] = leasedKey{since: c.now}
		}
		for _, s := range c.replica.batchValues {
			s.Revision, s.Entries = 0, nil
		}
		c.leadership.leader = leasedKey{since: c.now}
		c.controllers.nodeKeys = map[string]leasedKey{}
		c.controllers.nodesVersion++
		c.history.coldRecords, c.history.markerRevision = 0, 0
		c.permissions = permissionState{identities: map[string]storedIdentity{}}
		c.history.archiveIndex.Clear()
		c.reservations.Reset()
		c.setPriorityClasses(nil, 0)
		c.archiving.sweep = nil
		c.restoreMarker.revision = 0
		c.replica.snapshotRevision, c.replica.pagesRead = in.Revision, 0
		c.replica.snapshots++
	}
	for _, it := range in.Items {
		c.applyPut(it.Key, it.Value, it.Revision)
		c.replica.lastPageKey = it.Key
	}
	c.replica.pagesRead++
	c.evictUnreferencedJobs()
	if in.More && len(in.Items) > 0 {
		if c.replica.pagesRead >= fastSnapshotPages {
			c.replica.nextPageAt = c.now + time.Duration(
				float64(time.Second)/(snapshotRequestShare*c.cfg.Store.RequestRate),
			)
		}
		return
	}
	c.history.snapshotRevision = in.Revision
	for _, j := range slices.Clone(c.jobs) {
		if j != nil && j.revision != 0 && !j.archive.archived && j.stored.snapshot != c.replica.snapshots {
			c.evictArchivedJob(j, c.replica.snapshotRevision) // it moved while the changes were not followed
		}
	}
	c.replica.revision = c.replica.snapshotRevision
	c.replica.lastPageKey = ""
	c.replica.loaded = true
	c.cancelAcks.quorum.ConfirmRead(c.replica.snapshotStartedAt)
	c.replica.watchInFlight = false
	c.log(
		LevelInfo,
		"state loaded",
		"ledger",
		c.replica.revision,
		"pages",
		c.replica.pagesRead,
		"jobs",
		len(c.jobIndex),
		"ended",
		len(c.history.endedJobs),
		"cold",
		c.history.coldRecords,
	)
}

// isSlowestToLoad reports whether another controller is further in reading all keys. One after the other,
// the first serves when it has read its own; at a time, all would serve when everything was read by all.
func (c *Core) isSlowestToLoad() bool {
	for _, n := range c.cfg.Peers {
		if p := c.controllers.membership.Peer(n); c.controllers.membership.IsReachable(c.now, n) &&
			(p.SnapshotPagesLoaded > c.replica.pagesRead || p.SnapshotPagesLoaded == c.replica.pagesRead && n < c.cfg.Name) {
			return true
		}
	}
	return false
}

const (
	fastSnapshotPages    = 20  // pages that are read one after the other, when all keys are
	snapshotRequestShare = 0.5 // of the requests, for the others: those that serve need theirs
)

// snapshotPagesRead is how many pages of all keys were read, while they are.
func (c *Core) snapshotPagesRead() int {
	if c.replica.loaded {
		return 0
	}
	return c.replica.pagesRead
}
