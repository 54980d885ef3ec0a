package core

import (
	"dewlift/core/batchvalue"
	"dewlift/wire"
	"slices"
	"time"
)

// storeReplica is this controller's replica of the key-value store: how far it has read, the
// snapshot load, the watch and the read barriers. At most one request of each kind is in flight.
type storeReplica struct {
	revision    uint64                   // all changes up to it are applied
	loaded      bool                     // a snapshot is loaded, and the watch follows from it
	batchValues map[int]*batchvalue.Slot // by slot number, see batchvalues.go

	pageInFlight      bool
	nextPageAt        time.Duration
	lastPageKey       string        // last key of the snapshot load so far; empty: it has not begun
	snapshotRevision  uint64        // revision of the snapshot's first page
	snapshots         uint64        // snapshot loads begun
	pagesRead         int           // pages of the current or last snapshot load
	snapshotStartedAt time.Duration // when the first page was requested

	watchInFlight bool
	nextWatchAt   time.Duration
	watchSentAt   time.Duration

	barrierWaiters  []func(ok bool) // for the next read barrier
	inFlightWaiters []func(ok bool) // for the one in flight
	barrierInFlight bool
	nextBarrierAt   time.Duration
	barrierSentAt   time.Duration
}

// storeHealth is whether the key-value store answers this controller.
type storeHealth struct {
	firstLostReadAt time.Duration // sending time of the first read barrier lost since the last answer; 0: none
	lastAnswerAt    time.Duration
	lastFailureAt   time.Duration
	everAnswered    bool
}

const (
	// storeAnswerTimeout is how old the last answer may be while the store counts as reachable.
	storeAnswerTimeout = 2 * time.Second

	// storeFailureGrace is how long after the last answer a failure does not count yet.
	storeFailureGrace = 400 * time.Millisecond

	// maxBarrierWaiters bounds the functions that wait for a read barrier; beyond it they fail at once.
	maxBarrierWaiters = 20000

	// watchRequestShare and barrierRequestShare are the parts of this controller's request rate
	// that watches and read barriers may use.
	watchRequestShare   = 0.25
	barrierRequestShare = 0.35

	// watchRetryDelay is the wait after a failed watch.
	watchRetryDelay = 300 * time.Millisecond

	// Waits after a read barrier that the store throttled, and after a snapshot page that failed, each
	// with a random part.
	barrierRetryDelay  = 100 * time.Millisecond
	barrierRetryJitter = 200 * time.Millisecond
	pageRetryDelay     = 200 * time.Millisecond
	pageRetryJitter    = 200 * time.Millisecond

	// fastSnapshotPages is the number of pages of a snapshot load that are requested without a pause.
	fastSnapshotPages = 20

	// snapshotRequestShare is the part of all controllers' request rate that the later pages may
	// use; controllers that serve users need the rest.
	snapshotRequestShare = 0.5

	// slowLoaderDelay is the wait of a controller that leaves the snapshot load to one further ahead.
	slowLoaderDelay = time.Second
)

// isStoreReachable reports whether the store answered recently and has not failed since.
func (c *Core) isStoreReachable() bool {
	return c.storeHealth.everAnswered && c.now-c.storeHealth.lastAnswerAt < storeAnswerTimeout &&
		(c.storeHealth.lastFailureAt <= c.storeHealth.lastAnswerAt)
}

// isStoreOutage reports whether the store seems down for all controllers: a majority of them is
// reachable and none of these reaches the store.
func (c *Core) isStoreOutage() bool {
	if c.ownLease.isHeld() || c.isStoreReachable() {
		return false
	}
	return c.controllers.membership.IsStoreOutage(c.now)
}

// storeUnreachable reports whether requests to the store would probably fail now.
func (c *Core) storeUnreachable() bool {
	return !c.replica.loaded ||
		c.storeHealth.lastFailureAt > c.storeHealth.lastAnswerAt &&
			c.now-c.storeHealth.lastAnswerAt > storeFailureGrace
}

// recordStoreStatus updates the store's health from a request's outcome. A refusal is an answer too.
func (c *Core) recordStoreStatus(status wire.Status) {
	if status == wire.StatusNoAnswer || status == wire.StatusUnavailable {
		c.storeHealth.lastFailureAt = c.now
		return
	}
	c.storeHealth.everAnswered = true
	c.storeHealth.lastAnswerAt = c.now
}

// syncReplica sends the requests that keep the replica current: a snapshot load first, then a
// watch, and read barriers while anything waits for one.
func (c *Core) syncReplica() {
	if !c.replica.loaded {
		c.requestSnapshotPage()
		return
	}
	c.requestWatch()
	c.requestReadBarrier()
}

// requestSnapshotPage requests the next page of the snapshot if it is due.
func (c *Core) requestSnapshotPage() {
	if c.replica.pageInFlight || c.now < c.replica.nextPageAt {
		return
	}
	if c.replica.pagesRead >= fastSnapshotPages && c.isSlowestToLoad() {
		c.replica.nextPageAt = c.now + slowLoaderDelay
		return
	}
	c.replica.pageInFlight = true
	if c.replica.lastPageKey == "" {
		c.replica.snapshotStartedAt = c.now
	}
	c.emit(LoadSnapshot{AfterKey: c.replica.lastPageKey})
}

// requestWatch sends a watch if it is due. A read barrier brings the changes too, so none is needed
// while barriers follow one another.
func (c *Core) requestWatch() {
	if c.replica.watchInFlight || c.now < c.replica.nextWatchAt || c.replica.barrierInFlight ||
		len(c.replica.barrierWaiters) > 0 {
		return
	}
	limit := &c.transactions.rateLimit
	c.replica.watchInFlight, c.replica.watchSentAt = true, c.now
	c.replica.nextWatchAt = c.now + limit.MinInterval(c.cfg.Store.MinWatchInterval, watchRequestShare)
	limit.SpendRequest()
	c.emit(Watch{SinceRevision: c.replica.revision, LongPoll: true})
}

// requestReadBarrier sends a read barrier if it is due and anything waits for one. Who begins to
// wait after that needs the next barrier.
func (c *Core) requestReadBarrier() {
	if c.replica.barrierInFlight || len(c.replica.barrierWaiters) == 0 || c.now < c.replica.nextBarrierAt {
		return
	}
	limit := &c.transactions.rateLimit
	c.replica.barrierInFlight, c.replica.barrierSentAt = true, c.now
	c.replica.nextBarrierAt = c.now + limit.MinInterval(c.cfg.Store.MinReadBarrierInterval, barrierRequestShare)
	c.replica.inFlightWaiters, c.replica.barrierWaiters = c.replica.barrierWaiters, nil
	limit.SpendRequest()
	c.emit(Watch{SinceRevision: c.replica.revision})
}

// afterReadBarrier calls f(true) once the replica has all changes committed until now, or f(false)
// if that could not be established.
func (c *Core) afterReadBarrier(f func(ok bool)) {
	if !c.replica.loaded || len(c.replica.barrierWaiters) > maxBarrierWaiters {
		f(false)
		return
	}
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, f)
}

// afterUrgentReadBarrier is afterReadBarrier for a submission. Its user waits for the answer and few
// submissions need a barrier, so it skips the minimum interval while read tokens are left.
func (c *Core) afterUrgentReadBarrier(f func(ok bool)) {
	c.afterReadBarrier(f)
	if c.transactions.rateLimit.ReadTokens > 1 {
		c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
	}
}

// handleWatchResult applies the changes that a watch or a read barrier brought, and calls who waits
// for the barrier after that.
func (c *Core) handleWatchResult(in WatchResult) {
	sentAt := c.replica.barrierSentAt
	if in.LongPoll {
		sentAt = c.replica.watchSentAt
		c.endWatch(in.Status)
	} else if retried := c.endReadBarrier(in.Status); retried {
		return
	}
	switch in.Status {
	case wire.StatusNoAnswer:
		if !in.LongPoll && c.storeHealth.firstLostReadAt == 0 {
			c.storeHealth.firstLostReadAt = sentAt
		}
	case wire.StatusOK:
		c.storeHealth.firstLostReadAt = 0
		c.applyWatchEvents(in.Changes)
		c.cancelAcks.quorum.ConfirmRead(sentAt)
	case wire.StatusGone: // the store no longer has these changes: load a snapshot
		c.replica.loaded, c.replica.lastPageKey = false, ""
		c.replica.nextPageAt = c.now
	}
	if !in.LongPoll {
		c.callBarrierWaiters(in.Status == wire.StatusOK)
	}
}

// endWatch notes that the watch in flight has ended. A failed one is not repeated at once.
func (c *Core) endWatch(status wire.Status) {
	c.replica.watchInFlight = false
	if status != wire.StatusOK {
		c.replica.nextWatchAt = max(c.replica.nextWatchAt, c.now+watchRetryDelay)
	}
}

// endReadBarrier notes that the read barrier in flight has ended, and reports whether it was
// throttled: its waiters then wait for the next one, ahead of the others.
func (c *Core) endReadBarrier(status wire.Status) (retried bool) {
	c.recordStoreStatus(status)
	c.replica.barrierInFlight = false
	if status != wire.StatusTooManyRequests {
		return false
	}
	c.replica.barrierWaiters = append(c.replica.inFlightWaiters, c.replica.barrierWaiters...)
	c.replica.inFlightWaiters = nil
	c.replica.nextBarrierAt = c.now + barrierRetryDelay + c.jitter(barrierRetryJitter)
	return true
}

// callBarrierWaiters calls the functions that waited for the read barrier that has ended. They may
// wait for another one at once.
func (c *Core) callBarrierWaiters(ok bool) {
	waiters := c.replica.inFlightWaiters
	c.replica.inFlightWaiters = nil
	for _, f := range waiters {
		f(ok)
	}
}

// applyWatchEvents applies the changes of a watch or read barrier. Those up to the replica's
// revision are known already: two answers may overlap, and an older one must not undo a newer.
func (c *Core) applyWatchEvents(changes wire.WatchResponse) {
	for _, event := range changes.Events {
		if event.Revision <= c.replica.revision {
			continue
		}
		if event.Delete != "" {
			c.applyDelete(event.Delete, event.Revision)
		} else {
			c.applyPut(event.Put, event.Value, event.Revision)
		}
	}
	c.replica.revision = max(c.replica.revision, changes.Revision)
}

// handleSnapshotPage applies a page of the snapshot. Later pages may show later changes than the
// first one: the watch follows from the first page's revision and brings these again. Only open jobs
// and those that ended last stay in memory.
func (c *Core) handleSnapshotPage(in SnapshotPage) {
	c.replica.pageInFlight = false
	if !in.OK {
		if in.Status != wire.StatusTooManyRequests {
			c.storeHealth.lastFailureAt = c.now
		}
		c.replica.nextPageAt = c.now + pageRetryDelay + c.jitter(pageRetryJitter)
		return
	}
	c.recordStoreStatus(wire.StatusOK)
	if c.replica.lastPageKey == "" {
		c.beginSnapshot(in.Revision)
	}
	for _, item := range in.Items {
		c.applyPut(item.Key, item.Value, item.Revision)
		c.replica.lastPageKey = item.Key
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
	c.finishSnapshot(in.Revision)
}

// beginSnapshot forgets all state of keys that may have been deleted since the replica was current.
// Jobs stay: finishSnapshot finds those that are no longer in the store.
func (c *Core) beginSnapshot(revision uint64) {
	for i := range c.ownership.shards {
		c.ownership.shards[i] = leasedKey{absentSince: c.now}
	}
	for _, slot := range c.replica.batchValues {
		slot.Revision, slot.Entries = 0, nil
	}
	c.leadership.leader = leasedKey{absentSince: c.now}
	c.controllers.nodeKeys = map[string]leasedKey{}
	c.controllers.nodesVersion++
	c.history.coldRecords, c.history.markerRevision = 0, 0
	c.permissions = permissionState{identities: map[string]storedIdentity{}}
	c.history.archiveIndex.Clear()
	c.reservations.Reset()
	c.priority.setClasses(nil, 0, c.jobs)
	c.archiving.sweep = nil
	c.restoreMarker.revision = 0
	c.replica.snapshotRevision, c.replica.pagesRead = revision, 0
	c.replica.snapshots++
}

// finishSnapshot makes the replica usable after the snapshot's last page, which was read at lastRevision.
func (c *Core) finishSnapshot(lastRevision uint64) {
	c.history.snapshotRevision = lastRevision
	for _, known := range slices.Clone(c.jobs) {
		if known != nil && known.revision != 0 && !known.archive.archived &&
			known.stored.snapshot != c.replica.snapshots {
			c.evictArchivedJob(known, c.replica.snapshotRevision) // archived while the changes were not followed
		}
	}
	c.replica.revision = c.replica.snapshotRevision
	c.replica.lastPageKey = ""
	c.replica.loaded = true
	c.cancelAcks.quorum.ConfirmRead(c.replica.snapshotStartedAt)
	c.replica.watchInFlight = false
	c.log(
		LevelInfo,
		"snapshot loaded",
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

// isSlowestToLoad reports whether another controller is further ahead in its snapshot load. When
// they load one after the other, the first serves as soon as it is done; when they load at the same
// time and share the request rate, all are ready only when the last is.
func (c *Core) isSlowestToLoad() bool {
	for _, name := range c.cfg.Peers {
		if !c.controllers.membership.IsReachable(c.now, name) {
			continue
		}
		loaded := c.controllers.membership.Peer(name).SnapshotPagesLoaded
		if loaded > c.replica.pagesRead || loaded == c.replica.pagesRead && name < c.cfg.Name {
			return true
		}
	}
	return false
}

// snapshotPagesRead is the number of pages read by the snapshot load in progress; 0 if there is none.
func (c *Core) snapshotPagesRead() int {
	if c.replica.loaded {
		return 0
	}
	return c.replica.pagesRead
}
