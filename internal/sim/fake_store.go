package sim

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/wire"
)

const (
	leaseCheckInterval   = 50 * time.Millisecond
	watchLongPollTimeout = 12 * time.Second
	// snapshotPageSize is the number of keys per page of a snapshot: small, so that keys change between pages.
	snapshotPageSize = 20
)

// fakeStore is a fake of the consensus-backed key-value store: one linearizable copy in memory, with outages and
// delays.
type fakeStore struct {
	sim            *Simulator
	revision       uint64
	keys           map[string]*wire.KeyValue
	events         []wire.WatchEvent // of all revisions, in order
	leases         map[uint64]*leaseState
	lastLeaseID    uint64
	down           bool
	refusedNodes   map[string]bool // controllers whose requests are refused
	maxDelay       time.Duration   // maximum additional delay of a request; 0: none
	stalledWatches map[string]bool // controllers whose watches get no response
	watches        []*pendingWatch
	limits         storeLimits
	spentWrites    float64 // used tokens of the write rate's token bucket, as of spentAt
	spentAt        time.Duration
}

// leaseState is a granted lease.
type leaseState struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// pendingWatch is a long poll that waits for a revision above sinceRevision.
type pendingWatch struct {
	sinceRevision uint64
	respond       func()
}

func newFakeStore(sim *Simulator) *fakeStore {
	s := &fakeStore{
		sim:            sim,
		keys:           map[string]*wire.KeyValue{},
		leases:         map[uint64]*leaseState{},
		refusedNodes:   map[string]bool{},
		stalledWatches: map[string]bool{},
		limits:         storeLimits{txnOps: 12, valueBytes: 8192},
	}
	sim.schedule(leaseCheckInterval, s.expireLeases)
	return s
}

// expireLeases removes expired leases and their keys, periodically. No lease expires during an outage.
func (s *fakeStore) expireLeases() {
	if !s.down {
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if s.sim.now > s.leases[id].expiresAt {
				s.expireLease(id)
			}
		}
	}
	s.sim.schedule(leaseCheckInterval, s.expireLeases)
}

// expireLease removes a lease and, in one revision, its keys.
func (s *fakeStore) expireLease(id uint64) {
	delete(s.leases, id)
	var expired []string
	for key, item := range s.keys {
		if item.LeaseID == id {
			expired = append(expired, key)
		}
	}
	sort.Strings(expired)
	if len(expired) > 0 {
		s.revision++
	}
	for _, key := range expired {
		delete(s.keys, key)
		s.events = append(s.events, wire.WatchEvent{Delete: key, Revision: s.revision})
	}
	s.notifyWatches()
}

// notifyWatches responds to the watches for which there are new events.
func (s *fakeStore) notifyWatches() {
	if s.down {
		return
	}
	watches := s.watches
	s.watches = nil
	for _, watch := range watches {
		if s.revision > watch.sinceRevision {
			watch.respond()
		} else {
			s.watches = append(s.watches, watch)
		}
	}
}

// startOutage makes the store unavailable for a duration. Afterwards the TTL of every lease starts anew.
func (s *fakeStore) startOutage(duration time.Duration) {
	if s.down {
		return
	}
	s.down = true
	s.sim.schedule(duration, func() {
		s.down = false
		for _, lease := range s.leases {
			lease.expiresAt = s.sim.now + lease.ttl
		}
		s.notifyWatches()
	})
}

// refuseNode refuses the requests of one controller for a duration.
func (s *fakeStore) refuseNode(node string, duration time.Duration) {
	s.refusedNodes[node] = true
	s.sim.schedule(duration, func() { delete(s.refusedNodes, node) })
}

// isUnavailable reports whether the store serves no requests of a controller.
func (s *fakeStore) isUnavailable(node string) bool { return s.down || s.refusedNodes[node] }

// storeLimits are the limits that the store enforces.
type storeLimits struct {
	txnOps, valueBytes int
	writesPerSecond    float64 // written keys per second; 0: not limited
}

// exceeded reports whether a transaction is too large.
func (l storeLimits) exceeded(txn wire.Txn) bool {
	if len(txn.Then) > l.txnOps || len(txn.Compare) > 4*l.txnOps {
		return true
	}
	for _, write := range txn.Then {
		if len(write.Value) > l.valueBytes {
			return true
		}
	}
	return false
}

// allowWrites takes writes from the token bucket of the write rate, whose burst is one second's worth.
func (s *fakeStore) allowWrites(count int) bool {
	if s.limits.writesPerSecond == 0 {
		return true
	}
	s.spentWrites = max(0, s.spentWrites-(s.sim.now-s.spentAt).Seconds()*s.limits.writesPerSecond)
	s.spentAt = s.sim.now
	if s.spentWrites+float64(count) > s.limits.writesPerSecond {
		return false
	}
	s.spentWrites += float64(count)
	return true
}

// commit executes a compare-and-swap transaction.
func (s *fakeStore) commit(node string, txn wire.Txn) (wire.Status, wire.TxnResponse) {
	if s.isUnavailable(node) {
		return wire.StatusUnavailable, wire.TxnResponse{}
	}
	if s.limits.exceeded(txn) {
		return wire.StatusBadRequest, wire.TxnResponse{Error: "too large"}
	}
	if !s.allowWrites(len(txn.Then)) {
		return wire.StatusTooManyRequests, wire.TxnResponse{}
	}
	for _, write := range txn.Then {
		if write.Put != "" && write.LeaseID != 0 && s.leases[write.LeaseID] == nil {
			return wire.StatusBadRequest, wire.TxnResponse{Error: "no such lease"}
		}
	}
	if failed := s.failedCompares(txn); len(failed) > 0 {
		return wire.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	if s.sim.options.AuditLog {
		s.sim.auditChecker.CheckTxn(s.keys, txn)
	}
	s.apply(txn)
	if s.sim.options.PriorityClasses {
		s.sim.queueOrder.checkTxn(txn, s.revision)
	}
	if writesReservations(txn) {
		s.sim.reservations.checkStored(s.keys)
	}
	s.notifyWatches()
	return wire.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// failedCompares lists the keys whose revision is not the one that the transaction requires.
func (s *fakeStore) failedCompares(txn wire.Txn) (failed []string) {
	for _, compare := range txn.Compare {
		var revision uint64
		if item := s.keys[compare.Key]; item != nil {
			revision = item.Revision
		}
		if revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	return failed
}

// apply executes the writes of a transaction in a new revision.
func (s *fakeStore) apply(txn wire.Txn) {
	s.revision++
	for _, write := range txn.Then {
		if write.Put != "" {
			s.keys[write.Put] = &wire.KeyValue{
				Key: write.Put, Value: write.Value, Revision: s.revision, LeaseID: write.LeaseID,
			}
			s.events = append(s.events, wire.WatchEvent{Put: write.Put, Value: write.Value, Revision: s.revision})
		} else {
			delete(s.keys, write.Delete)
			s.events = append(s.events, wire.WatchEvent{Delete: write.Delete, Revision: s.revision})
		}
	}
}

// eventsSince returns the events after a revision.
func (s *fakeStore) eventsSince(revision uint64) wire.WatchResponse {
	out := wire.WatchResponse{Revision: s.revision}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > revision })
	out.Events = append(out.Events, s.events[first:]...)
	return out
}

// serveWatch serves a watch: at once, or as a long poll that waits for events.
func (s *fakeStore) serveWatch(n *node, request core.Watch, deliver func(core.Input)) {
	switch {
	case s.stalledWatches[n.name]:
		timeout := storeTimeout
		if request.LongPoll {
			timeout = watchLongPollTimeout
		}
		s.sim.schedule(timeout, func() { deliver(core.WatchResult{LongPoll: request.LongPoll}) })
	case request.LongPoll:
		s.serveLongPoll(n, request, deliver)
	default:
		s.sim.call(rpcRequest{from: n.name, to: storeAddress, timeout: storeTimeout}, core.WatchResult{},
			func() core.Input { return s.watchOnce(n.name, request) }, deliver)
	}
}

// watchOnce returns the events that there are already.
func (s *fakeStore) watchOnce(node string, request core.Watch) core.WatchResult {
	if s.isUnavailable(node) {
		return core.WatchResult{Status: wire.StatusUnavailable}
	}
	return core.WatchResult{Status: wire.StatusOK, Changes: s.eventsSince(request.SinceRevision)}
}

// serveLongPoll responds as soon as there are events. A long poll that is open stays open while the store is down or
// refuses its caller, until the caller gives up.
func (s *fakeStore) serveLongPoll(n *node, request core.Watch, deliver func(core.Input)) {
	sim := s.sim
	finished := false
	respond := func(result core.WatchResult) {
		if finished {
			return
		}
		finished = true
		sim.send(storeAddress, n.name, func() { deliver(result) })
	}
	sim.schedule(watchLongPollTimeout, func() { // the caller gives up
		if !finished {
			finished = true
			deliver(core.WatchResult{LongPoll: true})
		}
	})
	sim.send(n.name, storeAddress, func() {
		if s.isUnavailable(n.name) {
			respond(core.WatchResult{LongPoll: true, Status: wire.StatusUnavailable})
			return
		}
		watch := &pendingWatch{sinceRevision: request.SinceRevision}
		watch.respond = func() {
			if s.refusedNodes[n.name] {
				sim.schedule(time.Second, watch.respond)
				return
			}
			respond(core.WatchResult{
				LongPoll: true, Status: wire.StatusOK, Changes: s.eventsSince(request.SinceRevision),
			})
		}
		if s.revision > request.SinceRevision {
			watch.respond()
			return
		}
		s.watches = append(s.watches, watch)
	})
}

// rangePage lists up to limit keys with a prefix after another key, in order.
func (s *fakeStore) rangePage(prefix, afterKey string, limit int) (items []wire.KeyValue, more bool) {
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if more = len(keys) > limit; more {
		keys = keys[:limit]
	}
	for _, key := range keys {
		items = append(items, *s.keys[key])
	}
	return items, more
}

// archivedJobs decodes the archive.
func (s *fakeStore) archivedJobs() map[string]archive.Entry {
	out := map[string]archive.Entry{}
	for key, item := range s.keys {
		if !strings.HasPrefix(key, archive.BlockPrefix) {
			continue
		}
		block, err := archive.Decode(item.Value)
		if err != nil || archive.BlockKey(block.High) != key {
			s.sim.Checker.violated("archive", "%s: %v", key, err)
			continue
		}
		for _, entry := range block.Entries {
			if _, duplicate := out[entry.ID]; duplicate {
				s.sim.Checker.violated("archive", "%s is in two blocks", entry.ID)
			}
			out[entry.ID] = entry
		}
	}
	return out
}

// movesToArchive reports whether a transaction moves ended jobs to the archive.
func movesToArchive(txn wire.Txn) bool { return putsWithPrefix(txn, archive.BlockPrefix) }

// writesAuditLog reports whether a transaction appends to the audit log.
func writesAuditLog(txn wire.Txn) bool { return putsWithPrefix(txn, audit.BlockPrefix) }

// putsWithPrefix reports whether a transaction writes a key with a prefix.
func putsWithPrefix(txn wire.Txn, prefix string) bool {
	return slices.ContainsFunc(txn.Then, func(write wire.Write) bool { return strings.HasPrefix(write.Put, prefix) })
}

// loadSnapshot returns a page of all keys.
func (s *fakeStore) loadSnapshot(node string, request core.LoadSnapshot) core.SnapshotPage {
	if s.isUnavailable(node) {
		return core.SnapshotPage{Status: wire.StatusUnavailable}
	}
	out := core.SnapshotPage{OK: true, Status: wire.StatusOK, Revision: s.revision}
	out.Items, out.More = s.rangePage(core.Root, request.AfterKey, snapshotPageSize)
	return out
}

// readRange returns one key, or a page of the keys with a prefix.
func (s *fakeStore) readRange(node string, request core.ReadRange) core.RangeResult {
	out := core.RangeResult{ID: request.ID, Status: wire.StatusUnavailable}
	if s.isUnavailable(node) {
		return out
	}
	out.Status, out.Revision = wire.StatusOK, s.revision
	if request.Key == "" {
		out.Items, out.More = s.rangePage(request.Prefix, request.AfterKey, request.Limit)
	} else if item := s.keys[request.Key]; item != nil {
		out.Items = []wire.KeyValue{*item}
	} else {
		out.Status = wire.StatusNotFound
	}
	return out
}

// serveLease grants a lease, or extends one.
func (s *fakeStore) serveLease(node string, request core.LeaseRequest) core.LeaseResult {
	out := core.LeaseResult{Op: request.Op, LeaseID: request.LeaseID, Status: wire.StatusUnavailable}
	if s.isUnavailable(node) {
		return out
	}
	out.Status = wire.StatusOK
	if request.Op == core.LeaseGrant {
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &leaseState{ttl: request.TTL, expiresAt: s.sim.now + request.TTL}
		out.LeaseID = s.lastLeaseID
		return out
	}
	lease := s.leases[request.LeaseID]
	if lease == nil {
		out.Status = wire.StatusNotFound
		return out
	}
	lease.expiresAt = s.sim.now + lease.ttl
	return out
}
