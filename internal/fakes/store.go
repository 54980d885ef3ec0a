// Package fakes holds fakes of the platform's services, the key-value store and the cloud with its workers, that
// speak its protocol over real sockets, for tests and measurements. They keep everything in memory and use real
// time; package sim has its own fakes in simulated time.
package fakes

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"dewlift/wire"
)

// Limits are the limits that a store enforces. A limit of 0 is off.
type Limits struct {
	RPS, WriteRPS      float64 // requests and writes per second, with bursts of one second's worth
	ValueBytes, TxnOps int     // size of a value, and writes of a transaction
	PageItems, PageKB  int     // size of a page of a range read
}

const (
	minRetainedEvents = 10_000   // events that a watch can still resume from, at least
	maxBodyBytes      = 64 << 10 // of a transaction
	maxKeyBytes       = 200
	defaultPageSize   = 1000 // keys
	itemOverheadBytes = 40   // of a key in a page, in addition to its name and value
	maxLongPollMS     = 60_000
	minLeaseMS        = 100
	maxLeaseMS        = 600_000
)

// Store is a fake of the consensus-backed key-value store. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	limits        Limits
	outage        bool
	revision      uint64
	keys          *btree.BTreeG[wire.KeyValue]
	events        []wire.WatchEvent
	leases        map[uint64]*lease
	lastLeaseID   uint64
	changed       chan struct{} // closed and replaced with each revision, and when an outage begins or ends
	requestBucket rateBucket
	writeBucket   rateBucket
	counters      map[string]int
}

// lease is a granted lease with the keys attached to it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// rateBucket is a token bucket whose burst is one second's worth.
type rateBucket struct {
	used      float64
	updatedAt time.Time
}

// allow takes tokens, and reports whether there were enough. A rate of 0 is unlimited.
func (b *rateBucket) allow(n, rate float64) bool {
	if rate == 0 {
		return true
	}
	now := time.Now()
	b.used = max(0, b.used-now.Sub(b.updatedAt).Seconds()*rate)
	b.updatedAt = now
	if b.used+n > rate {
		return false
	}
	b.used += n
	return true
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{
		limits: limits, keys: btree.NewG(32, func(a, b wire.KeyValue) bool { return a.Key < b.Key }),
		leases: map[uint64]*lease{}, changed: make(chan struct{}), counters: map[string]int{},
	}
}

// SetLimits replaces the limits.
func (s *Store) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// SetDown begins or ends an outage: requests get 503 and open watches wait. At its end the TTL of every lease starts
// anew.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = down
	for _, l := range s.leases {
		if down {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.ttl)
		}
	}
	s.notifyWatchers()
}

// PutUnchecked puts keys in one revision, without checking limits and without an event.
func (s *Store) PutUnchecked(items []wire.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, item := range items {
		item.Revision = s.revision
		s.keys.ReplaceOrInsert(item)
	}
}

// Value returns a key's value; nil if there is none.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, _ := s.keys.Get(wire.KeyValue{Key: key})
	return item.Value
}

// CountKeys counts the keys with a prefix, and the bytes of their names and values.
func (s *Store) CountKeys(prefix string) (n, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.AscendGreaterOrEqual(wire.KeyValue{Key: prefix}, func(item wire.KeyValue) bool {
		if !strings.HasPrefix(item.Key, prefix) {
			return false
		}
		n, bytes = n+1, bytes+len(item.Key)+len(item.Value)
		return true
	})
	return n, bytes
}

// Counters returns the number of requests by the first part of their path, of all "requests", of those "refused" by
// rate limits, and of written keys as "changed".
func (s *Store) Counters() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counters)
}

// ServeHTTP serves the store's interface.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	part := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)
	if status, reason := s.admit(part[0]); status != http.StatusOK {
		writeJSON(w, status, wire.Error{Error: reason})
		return
	}
	switch {
	case part[0] == "store" && len(part) == 2 && r.Method == http.MethodGet:
		s.serveGet(w, part[1])
	case part[0] == "store" && r.Method == http.MethodGet:
		s.serveList(w, r)
	case part[0] == "commit" && r.Method == http.MethodPost:
		s.serveCommit(w, r)
	case part[0] == "changes" && r.Method == http.MethodGet:
		s.serveWatch(w, r)
	case part[0] == "holds":
		s.serveLeases(w, r, part[1:])
	default:
		writeJSON(w, http.StatusNotFound, wire.Error{Error: "no such path"})
	}
}

// admit counts a request, and refuses it during an outage or above the request rate.
func (s *Store) admit(kind string) (status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters[kind]++
	s.counters["requests"]++
	switch {
	case s.outage:
		return http.StatusServiceUnavailable, "outage"
	case !s.requestBucket.allow(1, s.limits.RPS):
		s.counters["refused"]++
		return http.StatusTooManyRequests, "too many requests"
	}
	return http.StatusOK, ""
}

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// serveGet reads one key.
func (s *Store) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.keys.Get(wire.KeyValue{Key: key})
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]uint64{"ledger": revision})
		return
	}
	writeJSON(w, http.StatusOK, item)
}

// serveList reads a page of the keys with a prefix after another key.
func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("starts"), query.Get("from")
	limit, err := strconv.Atoi(query.Get("most"))
	if err != nil || limit < 1 {
		limit = defaultPageSize
	}
	s.mu.Lock()
	if s.limits.PageItems > 0 {
		limit = min(limit, s.limits.PageItems)
	}
	out := wire.RangeResponse{Items: []wire.KeyValue{}, Revision: s.revision}
	maxBytes, bytes := s.limits.PageKB<<10, 0
	s.keys.AscendGreaterOrEqual(wire.KeyValue{Key: max(prefix, after)}, func(item wire.KeyValue) bool {
		tooLarge := maxBytes > 0 && bytes+len(item.Value) > maxBytes && len(out.Items) > 0
		switch {
		case !strings.HasPrefix(item.Key, prefix):
			return item.Key < prefix
		case item.Key == after:
			return true
		case len(out.Items) == limit || tooLarge:
			out.More = true
			return false
		}
		bytes += len(item.Key) + len(item.Value) + itemOverheadBytes
		out.Items = append(out.Items, item)
		return true
	})
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// serveCommit executes a transaction.
func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status, response := s.Commit(txn)
	writeJSON(w, status, response)
}

// Commit executes a transaction directly, without an HTTP request.
func (s *Store) Commit(txn wire.Txn) (status int, response wire.TxnResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.invalidReason(txn); reason != "" {
		return http.StatusBadRequest, wire.TxnResponse{Error: reason}
	}
	if !s.writeBucket.allow(float64(len(txn.Then)), s.limits.WriteRPS) {
		s.counters["refused"]++
		return http.StatusTooManyRequests, wire.TxnResponse{Error: "too many changes"}
	}
	var failed []string
	for _, compare := range txn.Compare {
		if item, _ := s.keys.Get(wire.KeyValue{Key: compare.Key}); item.Revision != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	s.applyTxn(txn)
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// invalidReason returns why a transaction is malformed or exceeds a limit; empty if it is valid.
func (s *Store) invalidReason(txn wire.Txn) string {
	if limit := s.limits.TxnOps; limit > 0 && (len(txn.Then) > limit || len(txn.Compare) > 4*limit) {
		return "too many changes or conditions"
	}
	for _, write := range txn.Then {
		switch {
		case (write.Put == "") == (write.Delete == ""):
			return "neither or both of put and delete"
		case write.Put != "" && (len(write.Value) == 0 || len(write.Put) > maxKeyBytes):
			return "no value, or a long key"
		case s.limits.ValueBytes > 0 && len(write.Value) > s.limits.ValueBytes:
			return "value too large"
		case write.LeaseID != 0 && s.leases[write.LeaseID] == nil:
			return "no such lease"
		}
	}
	return ""
}

// applyTxn executes the writes of a transaction in one revision.
func (s *Store) applyTxn(txn wire.Txn) {
	s.counters["changed"] += len(txn.Then) // "changes" counts the requests of that path
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, write := range txn.Then {
		if write.Put != "" {
			s.putItem(wire.KeyValue{
				Key: write.Put, Value: write.Value, Revision: s.revision, LeaseID: write.LeaseID,
			})
		} else {
			s.deleteKey(write.Delete)
		}
	}
	s.notifyWatchers()
}

// putItem puts a key, attaches it to its lease and records the event.
func (s *Store) putItem(item wire.KeyValue) {
	if old, ok := s.keys.ReplaceOrInsert(item); ok && old.LeaseID != 0 && s.leases[old.LeaseID] != nil {
		delete(s.leases[old.LeaseID].keys, item.Key)
	}
	if item.LeaseID != 0 {
		s.leases[item.LeaseID].keys[item.Key] = true
	}
	s.appendEvent(wire.WatchEvent{Put: item.Key, Value: item.Value, Revision: s.revision})
}

// deleteKey deletes a key, detaches it from its lease and records the event.
func (s *Store) deleteKey(key string) {
	if old, ok := s.keys.Delete(wire.KeyValue{Key: key}); ok && old.LeaseID != 0 && s.leases[old.LeaseID] != nil {
		delete(s.leases[old.LeaseID].keys, key)
	}
	s.appendEvent(wire.WatchEvent{Delete: key, Revision: s.revision})
}

// appendEvent records an event. Old events are dropped in bulk, so that appending stays cheap.
func (s *Store) appendEvent(event wire.WatchEvent) {
	s.events = append(s.events, event)
	if len(s.events) >= 2*minRetainedEvents {
		s.events = slices.Clone(s.events[len(s.events)-minRetainedEvents:])
	}
}

// notifyWatchers wakes all open watches.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watchState is what a watch sees of the store at one moment.
type watchState struct {
	response  wire.WatchResponse
	compacted bool // events after the requested revision were dropped
	down      bool
	changed   <-chan struct{} // closed when the state may differ
}

// watchFrom returns the events after a revision whose keys have a prefix.
func (s *Store) watchFrom(revision uint64, prefix string) watchState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := watchState{
		response:  wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}},
		compacted: len(s.events) > 0 && s.events[0].Revision > revision+1 && s.revision > revision,
		down:      s.outage,
		changed:   s.changed,
	}
	first, _ := slices.BinarySearchFunc(s.events, revision+1, func(event wire.WatchEvent, target uint64) int {
		if event.Revision < target {
			return -1
		}
		return 1
	})
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			state.response.Events = append(state.response.Events, event)
		}
	}
	return state
}

// serveWatch responds as soon as there are events, or after the requested time of the long poll. During an outage a
// watch stays open.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: "from is missing"})
		return
	}
	longPollMS, _ := strconv.Atoi(query.Get("hold_ms")) // 0 if missing
	timeout := time.NewTimer(time.Duration(min(longPollMS, maxLongPollMS)) * time.Millisecond)
	defer timeout.Stop()
	timedOut := longPollMS <= 0
	for {
		state := s.watchFrom(from, query.Get("starts"))
		switch {
		case state.compacted && !state.down:
			writeJSON(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		case !state.down && len(state.response.Events) > 0 || timedOut:
			writeJSON(w, http.StatusOK, state.response)
			return
		}
		select {
		case <-state.changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveLeases grants, extends and revokes leases.
func (s *Store) serveLeases(w http.ResponseWriter, r *http.Request, rest []string) {
	if len(rest) == 0 && r.Method == http.MethodPost {
		s.serveGrant(w, r)
		return
	}
	name, verb, _ := strings.Cut(strings.Join(rest, "/"), "/")
	id, err := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	granted := s.leases[id]
	if err == nil && granted != nil && verb == "extend" {
		granted.timer.Reset(granted.ttl)
	}
	s.mu.Unlock()
	switch {
	case err != nil || granted == nil:
		writeJSON(w, http.StatusNotFound, wire.Error{Error: "no such lease"})
	case r.Method == http.MethodDelete:
		s.endLease(id)
		writeJSON(w, http.StatusOK, struct{}{})
	case verb == "extend" && r.Method == http.MethodPost:
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: fmt.Sprintf("unknown request %s", verb)})
	}
}

// serveGrant grants a lease.
func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	err := json.NewDecoder(r.Body).Decode(&request)
	if err != nil || request.TTLMS < minLeaseMS || request.TTLMS > maxLeaseMS {
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: "life_ms is missing or out of range"})
		return
	}
	s.mu.Lock()
	s.lastLeaseID++
	id := s.lastLeaseID
	granted := &lease{ttl: time.Duration(request.TTLMS) * time.Millisecond, keys: map[string]bool{}}
	granted.timer = time.AfterFunc(granted.ttl, func() { s.endLease(id) })
	s.leases[id] = granted
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

// endLease removes an expired or revoked lease and, in one revision, the keys attached to it.
func (s *Store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.leases[id]
	if ended == nil {
		return
	}
	ended.timer.Stop()
	delete(s.leases, id)
	if len(ended.keys) > 0 {
		s.revision++
	}
	for _, key := range slices.Sorted(maps.Keys(ended.keys)) {
		s.deleteKey(key)
	}
	s.notifyWatchers()
}
