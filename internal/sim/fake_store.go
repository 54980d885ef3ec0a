package sim

import (
	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/wire"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// fakeStore stands in for the state service.
type fakeStore struct {
	sim            *Simulator
	revision       uint64
	keys           map[string]*wire.KeyValue
	events         []wire.WatchEvent
	leases         map[uint64]*leaseState
	lastLeaseID    uint64
	down           bool
	refusedNodes   map[string]bool
	maxDelay       time.Duration   // what a request takes at most
	stalledWatches map[string]bool // controllers whose reads of changes get no answer
	watches        []*pendingWatch
	limits         storeLimits
	spentWrites    float64
	spentAt        time.Duration
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Duration
}

type pendingWatch struct {
	from    uint64
	respond func()
}

func newFakeStore(w *Simulator) *fakeStore {
	s := &fakeStore{
		sim:            w,
		keys:           map[string]*wire.KeyValue{},
		leases:         map[uint64]*leaseState{},
		refusedNodes:   map[string]bool{},
		stalledWatches: map[string]bool{},
		limits:         storeLimits{txnOps: 12, valueBytes: 8192},
	}
	w.schedule(50*time.Millisecond, s.expireLeases)
	return s
}

func (s *fakeStore) expireLeases() {
	if !s.down {
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if s.sim.now <= s.leases[id].expiresAt {
				continue
			}
			delete(s.leases, id)
			var gone []string
			for k, it := range s.keys {
				if it.LeaseID == id {
					gone = append(gone, k)
				}
			}
			sort.Strings(gone)
			if len(gone) > 0 {
				s.revision++
			}
			for _, k := range gone {
				delete(s.keys, k)
				s.events = append(s.events, wire.WatchEvent{Delete: k, Revision: s.revision})
			}
			s.notifyWatches()
		}
	}
	s.sim.schedule(50*time.Millisecond, s.expireLeases)
}

func (s *fakeStore) notifyWatches() {
	if s.down {
		return
	}
	ws := s.watches
	s.watches = nil
	for _, x := range ws {
		if s.revision > x.from {
			x.respond()
		} else {
			s.watches = append(s.watches, x)
		}
	}
}

func (s *fakeStore) startOutage(d time.Duration) {
	if s.down {
		return
	}
	s.down = true
	s.sim.schedule(d, func() {
		s.down = false
		for _, l := range s.leases {
			l.expiresAt = s.sim.now + l.ttl
		}
		s.notifyWatches()
	})
}

func (s *fakeStore) refuseNode(node string, d time.Duration) {
	s.refusedNodes[node] = true
	s.sim.schedule(d, func() { delete(s.refusedNodes, node) })
}

func (s *fakeStore) isUnavailable(node string) bool { return s.down || s.refusedNodes[node] }

// storeLimits are those of the state service.
type storeLimits struct {
	txnOps, valueBytes int
	writesPerSecond    float64 // changes a second; 0: not limited
}

func (l storeLimits) exceeded(t wire.Txn) bool {
	if len(t.Then) > l.txnOps || len(t.Compare) > 4*l.txnOps {
		return true
	}
	for _, w := range t.Then {
		if len(w.Value) > l.valueBytes {
			return true
		}
	}
	return false
}

// allowWrites takes changes out of what the rate allows, with bursts of a second's worth.
func (s *fakeStore) allowWrites(n int) bool {
	if s.limits.writesPerSecond == 0 {
		return true
	}
	s.spentWrites = max(0, s.spentWrites-(s.sim.now-s.spentAt).Seconds()*s.limits.writesPerSecond)
	s.spentAt = s.sim.now
	if s.spentWrites+float64(n) > s.limits.writesPerSecond {
		return false
	}
	s.spentWrites += float64(n)
	return true
}

func (s *fakeStore) commit(node string, t wire.Txn) (wire.Status, wire.TxnResponse) {
	if s.isUnavailable(node) {
		return wire.StatusUnavailable, wire.TxnResponse{}
	}
	if s.limits.exceeded(t) {
		return wire.StatusBadRequest, wire.TxnResponse{Error: "too large"}
	}
	if !s.allowWrites(len(t.Then)) {
		return wire.StatusTooManyRequests, wire.TxnResponse{}
	}
	for _, w := range t.Then {
		if w.Put != "" && w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return wire.StatusBadRequest, wire.TxnResponse{Error: "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.Compare {
		var mark uint64
		if it := s.keys[c.Key]; it != nil {
			mark = it.Revision
		}
		if mark != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return wire.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	if s.sim.options.AuditLog {
		s.sim.auditChecker.CheckTxn(s.keys, t)
	}
	s.revision++
	for _, w := range t.Then {
		if w.Put != "" {
			s.keys[w.Put] = &wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.revision, LeaseID: w.LeaseID}
			s.events = append(s.events, wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: s.revision})
		} else {
			delete(s.keys, w.Delete)
			s.events = append(s.events, wire.WatchEvent{Delete: w.Delete, Revision: s.revision})
		}
	}
	if s.sim.options.PriorityClasses {
		s.sim.queueOrder.checkTxn(t, s.revision)
	}
	if writesReservations(t) {
		s.sim.reservations.checkStored(s.keys)
	}
	s.notifyWatches()
	return wire.StatusOK, wire.TxnResponse{Revision: s.revision}
}

func (s *fakeStore) eventsSince(from uint64) wire.WatchResponse {
	out := wire.WatchResponse{Revision: s.revision}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > from })
	out.Events = append(out.Events, s.events[i:]...)
	return out
}

// serveWatch serves watches; while the service is down or refuses the caller, open ones wait.
func (s *fakeStore) serveWatch(n *node, o core.Watch, back func(core.Input)) {
	out := core.WatchResult{LongPoll: o.LongPoll}
	w := s.sim
	if s.stalledWatches[n.name] {
		w.schedule(
			map[bool]time.Duration{false: 2 * time.Second, true: 12 * time.Second}[o.LongPoll],
			func() { back(core.WatchResult{LongPoll: o.LongPoll}) },
		)
		return
	}
	if !o.LongPoll {
		w.rpc(rpcRequest{from: n.name, to: storeAddress, timeout: storeTimeout}, func() time.Duration {
			out.Status = wire.StatusUnavailable
			if !s.isUnavailable(n.name) {
				out.Status, out.Changes = wire.StatusOK, s.eventsSince(o.SinceRevision)
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out = core.WatchResult{}
			}
			back(out)
		})
		return
	}
	over := false
	answer := func(c core.WatchResult) {
		if over {
			return
		}
		over = true
		w.send(storeAddress, n.name, func() { back(c) })
	}
	w.schedule(12*time.Second, func() { // the caller gives up
		if !over {
			over = true
			back(core.WatchResult{LongPoll: true})
		}
	})
	w.send(n.name, storeAddress, func() {
		if s.isUnavailable(n.name) {
			answer(core.WatchResult{LongPoll: true, Status: wire.StatusUnavailable})
			return
		}
		x := &pendingWatch{from: o.SinceRevision}
		x.respond = func() {
			if s.refusedNodes[n.name] {
				w.schedule(time.Second, x.respond)
				return
			}
			answer(core.WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: s.eventsSince(o.SinceRevision)})
		}
		if s.revision > o.SinceRevision {
			x.respond()
			return
		}
		s.watches = append(s.watches, x)
	})
}

// rangePage lists the keys with a prefix that lie behind another, in order.
func (s *fakeStore) rangePage(prefix, from string, most int) (items []wire.KeyValue, more bool) {
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > from {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	if more = len(names) > most; more {
		names = names[:most]
	}
	for _, k := range names {
		items = append(items, *s.keys[k])
	}
	return items, more
}

// archivedJobs lists the jobs in the archive.
func (s *fakeStore) archivedJobs() map[string]archive.Entry {
	out := map[string]archive.Entry{}
	for k, it := range s.keys {
		if !strings.HasPrefix(k, archive.BlockPrefix) {
			continue
		}
		b, err := archive.Decode(it.Value)
		if err != nil || archive.BlockKey(b.High) != k {
			s.sim.Checker.violated("archive", "%s: %v", k, err)
			continue
		}
		for _, e := range b.Entries {
			if _, twice := out[e.ID]; twice {
				s.sim.Checker.violated("archive", "%s is in two blocks", e.ID)
			}
			out[e.ID] = e
		}
	}
	return out
}

// movesToArchive reports whether a transaction moves ended jobs into the archive.
func movesToArchive(t wire.Txn) bool {
	return slices.ContainsFunc(
		t.Then,
		func(x wire.Write) bool { return strings.HasPrefix(x.Put, archive.BlockPrefix) },
	)
}

// writesAuditLog reports whether a transaction extends the audit record.
func writesAuditLog(t wire.Txn) bool {
	return slices.ContainsFunc(t.Then, func(x wire.Write) bool { return strings.HasPrefix(x.Put, audit.BlockPrefix) })
}

const snapshotPageSize = 20 // keys of a page when all are read: small, so that much changes meanwhile

func (s *fakeStore) loadSnapshot(node string, o core.LoadSnapshot) core.SnapshotPage {
	if s.isUnavailable(node) {
		return core.SnapshotPage{Status: wire.StatusUnavailable}
	}
	out := core.SnapshotPage{OK: true, Status: wire.StatusOK, Revision: s.revision}
	out.Items, out.More = s.rangePage(core.Root, o.AfterKey, snapshotPageSize)
	return out
}

func (s *fakeStore) readRange(node string, o core.ReadRange) core.RangeResult {
	out := core.RangeResult{ID: o.ID, Status: wire.StatusUnavailable}
	if s.isUnavailable(node) {
		return out
	}
	out.Status, out.Revision = wire.StatusOK, s.revision
	if o.Key == "" {
		out.Items, out.More = s.rangePage(o.Prefix, o.AfterKey, o.Limit)
	} else if it := s.keys[o.Key]; it != nil {
		out.Items = []wire.KeyValue{*it}
	} else {
		out.Status = wire.StatusNotFound
	}
	return out
}

func (s *fakeStore) serveLease(node string, o core.LeaseRequest) core.LeaseResult {
	out := core.LeaseResult{Op: o.Op, LeaseID: o.LeaseID, Status: wire.StatusUnavailable}
	if s.isUnavailable(node) {
		return out
	}
	out.Status = wire.StatusOK
	if o.Op == core.LeaseGrant {
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &leaseState{o.TTL, s.sim.now + o.TTL}
		out.LeaseID = s.lastLeaseID
		return out
	}
	l := s.leases[o.LeaseID]
	if l == nil {
		out.Status = wire.StatusNotFound
		return out
	}
	l.expiresAt = s.sim.now + l.ttl
	return out
}
