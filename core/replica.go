package core

import (
	"slices"
	"time"

	"dewlift/core/membership"
	"dewlift/core/ratelimit"
	"dewlift/wire"
)

// storeReplica is the state of this controller's replica of the key-value store: its revision, the
// snapshot load, the watch and the read barriers. At most one request of each kind is in flight.
type storeReplica struct {
	*environment
	health    *storeHealth
	rateLimit *ratelimit.Limiter  // charged for its requests
	members   *membership.Members // progress of the other controllers' snapshot loads

	revision uint64    // revision up to which all changes are applied
	loaded   bool      // a snapshot is loaded, and the watch continues from its revision
	slots    slotTable // see batchvalues.go

	pageInFlight      bool
	nextPageAt        time.Duration
	lastPageKey       string        // last key that the snapshot load has read; empty: it has not begun
	snapshotRevision  uint64        // revision of the snapshot's first page
	snapshotLoads     uint64        // snapshot loads begun
	pagesRead         int           // pages of the current or last snapshot load
	snapshotStartedAt time.Duration // when the first page was requested

	watchInFlight bool
	nextWatchAt   time.Duration
	watchSentAt   time.Duration

	barrierWaiters  []func(ok bool) // wait for the next read barrier
	inFlightWaiters []func(ok bool) // wait for the read barrier in flight
	barrierInFlight bool
	nextBarrierAt   time.Duration
	barrierSentAt   time.Duration
}

// storeHealth tracks whether the key-value store answers this controller.
type storeHealth struct {
	*environment
	firstLostReadAt time.Duration // sending time of the first unanswered read barrier since the last answer; 0: none
	lastAnswerAt    time.Duration
	lastFailureAt   time.Duration
	everAnswered    bool
}

const (
	// storeAnswerTimeout is how long after its last answer the store counts as reachable.
	storeAnswerTimeout = 2 * time.Second

	// storeFailureGrace is how long after the last answer failures are ignored.
	storeFailureGrace = 400 * time.Millisecond

	// maxBarrierWaiters bounds the functions that wait for a read barrier; further ones fail at once.
	maxBarrierWaiters = 20000

	// watchRequestShare and barrierRequestShare are the shares of this controller's request rate that
	// watches and read barriers may use.
	watchRequestShare   = 0.25
	barrierRequestShare = 0.35

	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 300 * time.Millisecond

	// Delays after a throttled read barrier, and after a failed snapshot page, each with jitter.
	barrierRetryDelay  = 100 * time.Millisecond
	barrierRetryJitter = 200 * time.Millisecond
	pageRetryDelay     = 200 * time.Millisecond
	pageRetryJitter    = 200 * time.Millisecond

	// fastSnapshotPages is the number of pages of a snapshot load that are requested without a pause.
	fastSnapshotPages = 20

	// snapshotRequestShare is the share of all controllers' request rate that the later pages may use;
	// controllers that serve users need the rest.
	snapshotRequestShare = 0.5

	// slowLoaderDelay is the delay of a snapshot load while that of another controller is further ahead.
	slowLoaderDelay = time.Second
)

// isReachable reports whether the store answered recently and has not failed since.
func (h *storeHealth) isReachable() bool {
	return h.everAnswered && h.now-h.lastAnswerAt < storeAnswerTimeout && h.lastFailureAt <= h.lastAnswerAt
}

// isFailing reports whether the store has failed since its last answer, which is older than a grace period.
func (h *storeHealth) isFailing() bool {
	return h.lastFailureAt > h.lastAnswerAt && h.now-h.lastAnswerAt > storeFailureGrace
}

// isWatchStalled reports whether reads of the store have been unanswered for too long. A controller in that state
// may still write and extend its lease, but learns neither what it owns nor what others do: a new leader in that
// state did nothing for 20 seconds, and no other controller could take over.
func (h *storeHealth) isWatchStalled() bool {
	return h.firstLostReadAt != 0 && h.now-h.firstLostReadAt > watchStallTimeout
}

// isStoreOutage reports whether the store seems down for all controllers: a majority of them, this one
// included, is reachable, and none of these reaches the store.
func (c *Core) isStoreOutage() bool {
	if c.ownLease.isHeld() || c.storeHealth.isReachable() {
		return false
	}
	return c.controllers.membership.IsStoreOutage(c.now)
}

// recordStatus updates the store's health from the outcome of a request. A refusal counts as an answer.
func (h *storeHealth) recordStatus(status wire.Status) {
	if status == wire.StatusNoResponse || status == wire.StatusUnavailable {
		h.lastFailureAt = h.now
		return
	}
	h.everAnswered = true
	h.lastAnswerAt = h.now
}

// isStoreUnreachable reports whether requests to the store would probably fail.
func (r *storeReplica) isStoreUnreachable() bool { return !r.loaded || r.health.isFailing() }

// sync sends the requests that keep the replica current: first a snapshot load, then watches, and read
// barriers if anything waits for one.
func (r *storeReplica) sync() {
	if !r.loaded {
		r.requestSnapshotPage()
		return
	}
	r.requestWatch()
	r.requestReadBarrier()
}

// requestSnapshotPage requests the next page of the snapshot if it is due.
func (r *storeReplica) requestSnapshotPage() {
	if r.pageInFlight || r.now < r.nextPageAt {
		return
	}
	if r.pagesRead >= fastSnapshotPages && r.isBehindAnotherLoad() {
		r.nextPageAt = r.now + slowLoaderDelay
		return
	}
	r.pageInFlight = true
	if r.lastPageKey == "" {
		r.snapshotStartedAt = r.now
	}
	r.emit(LoadSnapshot{AfterKey: r.lastPageKey})
}

// requestWatch sends a watch if it is due. No watch is needed while a read barrier is in flight or waited
// for, as that returns the changes too.
func (r *storeReplica) requestWatch() {
	if r.watchInFlight || r.now < r.nextWatchAt || r.barrierInFlight ||
		len(r.barrierWaiters) > 0 {
		return
	}
	r.watchInFlight, r.watchSentAt = true, r.now
	r.nextWatchAt = r.now + r.rateLimit.MinInterval(r.cfg.Store.MinWatchInterval, watchRequestShare)
	r.rateLimit.SpendRequest()
	r.emit(Watch{SinceRevision: r.revision, LongPoll: true})
}

// requestReadBarrier sends a read barrier if it is due and anything waits for one. Functions that begin to
// wait after that are called by the next barrier.
func (r *storeReplica) requestReadBarrier() {
	if r.barrierInFlight || len(r.barrierWaiters) == 0 || r.now < r.nextBarrierAt {
		return
	}
	r.barrierInFlight, r.barrierSentAt = true, r.now
	r.nextBarrierAt = r.now + r.rateLimit.MinInterval(r.cfg.Store.MinReadBarrierInterval, barrierRequestShare)
	r.inFlightWaiters, r.barrierWaiters = r.barrierWaiters, nil
	r.rateLimit.SpendRequest()
	r.emit(Watch{SinceRevision: r.revision})
}

// afterReadBarrier calls f(true) once the replica has all changes committed before this call, or f(false)
// if that could not be established.
func (r *storeReplica) afterReadBarrier(f func(ok bool)) {
	if !r.loaded || len(r.barrierWaiters) > maxBarrierWaiters {
		f(false)
		return
	}
	r.barrierWaiters = append(r.barrierWaiters, f)
}

// afterUrgentReadBarrier is afterReadBarrier for submissions, whose users wait for the answer. Few
// submissions need a barrier, so they skip the minimum interval as long as request tokens are left.
func (r *storeReplica) afterUrgentReadBarrier(f func(ok bool)) {
	r.afterReadBarrier(f)
	if r.rateLimit.RequestTokens > 1 {
		r.nextBarrierAt = min(r.nextBarrierAt, r.now)
	}
}

// handleWatchResult applies the changes of a watch or a read barrier, and then calls the functions that wait
// for the barrier.
func (c *Core) handleWatchResult(in WatchResult) {
	sentAt := c.replica.barrierSentAt
	if in.LongPoll {
		sentAt = c.replica.watchSentAt
		c.replica.endWatch(in.Status)
	} else if retried := c.replica.endReadBarrier(in.Status); retried {
		return
	}
	switch in.Status {
	case wire.StatusNoResponse:
		if !in.LongPoll && c.storeHealth.firstLostReadAt == 0 {
			c.storeHealth.firstLostReadAt = sentAt
		}
	case wire.StatusOK:
		c.storeHealth.firstLostReadAt = 0
		c.applyWatchEvents(in.Changes)
		c.cancelAcks.quorum.ConfirmRead(sentAt)
	case wire.StatusGone: // the store has compacted these changes, so a snapshot must be loaded
		c.replica.restartSnapshot()
	}
	if !in.LongPoll {
		c.replica.callBarrierWaiters(in.Status == wire.StatusOK)
	}
}

// endWatch ends the watch in flight. A failed one is repeated after a delay.
func (r *storeReplica) endWatch(status wire.Status) {
	r.watchInFlight = false
	if status != wire.StatusOK {
		r.nextWatchAt = max(r.nextWatchAt, r.now+watchRetryDelay)
	}
}

// endReadBarrier ends the read barrier in flight. If it was throttled, its waiters wait for the next one,
// ahead of the others, and endReadBarrier returns true.
func (r *storeReplica) endReadBarrier(status wire.Status) (retried bool) {
	r.health.recordStatus(status)
	r.barrierInFlight = false
	if status != wire.StatusTooManyRequests {
		return false
	}
	r.barrierWaiters = append(r.inFlightWaiters, r.barrierWaiters...)
	r.inFlightWaiters = nil
	r.nextBarrierAt = r.now + barrierRetryDelay + r.jitter(barrierRetryJitter)
	return true
}

// callBarrierWaiters calls the functions that waited for the read barrier that has ended. They may begin to
// wait for another one.
func (r *storeReplica) callBarrierWaiters(ok bool) {
	waiters := r.inFlightWaiters
	r.inFlightWaiters = nil
	for _, f := range waiters {
		f(ok)
	}
}

// applyWatchEvents applies the changes of a watch or read barrier. Changes up to the replica's revision are
// skipped: the changes of two answers may overlap, and an older change must not undo a newer one.
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

// handleSnapshotPage applies a page of the snapshot. Later pages may include changes that are newer than the
// first page; the watch begins at the first page's revision and delivers these again. Only open jobs and the
// most recently ended ones stay in memory.
func (c *Core) handleSnapshotPage(in SnapshotPage) {
	c.replica.pageInFlight = false
	if !in.OK {
		c.replica.retryPage(in.Status)
		return
	}
	c.storeHealth.recordStatus(wire.StatusOK)
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
		c.replica.paceNextPage()
		return
	}
	c.finishSnapshot(in.Revision)
}

// restartSnapshot makes the replica load a new snapshot.
func (r *storeReplica) restartSnapshot() {
	r.loaded, r.lastPageKey = false, ""
	r.nextPageAt = r.now
}

// retryPage schedules the next request of a page that failed.
func (r *storeReplica) retryPage(status wire.Status) {
	if status != wire.StatusTooManyRequests {
		r.health.lastFailureAt = r.now
	}
	r.nextPageAt = r.now + pageRetryDelay + r.jitter(pageRetryJitter)
}

// paceNextPage delays the request of the next page, except for the first fastSnapshotPages pages.
func (r *storeReplica) paceNextPage() {
	if r.pagesRead >= fastSnapshotPages {
		r.nextPageAt = r.now + time.Duration(float64(time.Second)/(snapshotRequestShare*r.cfg.Store.RequestRate))
	}
}

// beginSnapshot drops the state of all keys that may have been deleted since the replica was current. Jobs
// are kept: finishSnapshot finds those that are no longer in the store.
func (c *Core) beginSnapshot(revision uint64) {
	for i := range c.ownership.shards {
		c.ownership.shards[i] = leasedKey{absentSince: c.now}
	}
	for _, slot := range c.replica.slots {
		slot.Revision, slot.Entries = 0, nil
	}
	c.leadership.leader = leasedKey{absentSince: c.now}
	c.controllers.registrations = map[string]leasedKey{}
	c.updateQuorumLists()
	c.controllers.registrationsVersion++
	c.history.coldRecords, c.history.markerRevision = 0, 0
	c.permissions = newPermissionState(c.environment)
	c.history.blockCache.Clear()
	c.reservations.service.Reset()
	c.priority.setClasses(nil, 0, c.jobs)
	c.archiving.sweep = nil
	c.restoreMarker.revision = 0
	c.replica.snapshotRevision, c.replica.pagesRead = revision, 0
	c.replica.snapshotLoads++
}

// finishSnapshot makes the replica usable after the snapshot's last page, which was read at lastRevision.
func (c *Core) finishSnapshot(lastRevision uint64) {
	c.history.snapshotRevision = lastRevision
	for _, known := range slices.Clone(c.jobs) {
		if known != nil && known.revision != 0 && !known.archive.archived &&
			known.stored.lastSnapshotLoad != c.replica.snapshotLoads {
			c.evictArchivedJob(known, c.replica.snapshotRevision) // archived while the watch was interrupted
		}
	}
	c.replica.revision = c.replica.snapshotRevision
	c.replica.lastPageKey = ""
	c.replica.loaded = true
	c.updateQuorumLists()
	c.cancelAcks.quorum.ConfirmRead(c.replica.snapshotStartedAt)
	c.replica.watchInFlight = false
	c.log(LevelInfo, "snapshot loaded", "ledger", c.replica.revision, "pages", c.replica.pagesRead,
		"jobs", len(c.jobIndex), "ended", len(c.history.endedJobs), "cold", c.history.coldRecords)
}

// isBehindAnotherLoad reports whether another controller is further ahead in its snapshot load. If controllers
// load one after the other, the first can serve as soon as it is done. If they load at the same time and
// share the request rate, none can serve before nearly all are done.
func (r *storeReplica) isBehindAnotherLoad() bool {
	for _, name := range r.cfg.Peers {
		if !r.members.IsReachable(r.now, name) {
			continue
		}
		loaded := r.members.Peer(name).SnapshotPagesLoaded
		if loaded > r.pagesRead || loaded == r.pagesRead && name < r.cfg.Name {
			return true
		}
	}
	return false
}

// snapshotPagesRead returns the number of pages read by the snapshot load in progress, or 0 if there is none.
func (r *storeReplica) snapshotPagesRead() int {
	if r.loaded {
		return 0
	}
	return r.pagesRead
}
