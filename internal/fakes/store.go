// Package fakes holds stand-ins of our own for the platform's services, which speak its protocol
// over real sockets, for tests and measurements.
package fakes

import (
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
)

// Limits are those of a state service; 0: none.
type Limits struct {
	RPS, WriteRPS      float64 // requests and changes a second, with bursts of one second's worth
	ValueBytes, TxnOps int     // of a value, and changes of a transaction
	PageItems, PageKB  int     // of a listing
}

const (
	keptEvents   = 10_000 // that watches can go back
	maxBodyBytes = 64 << 10
)

// Store is a state service in memory.
type Store struct {
	mu            sync.Mutex
	limits        Limits
	outage        bool
	revision      uint64
	keys          *btree.BTreeG[wire.KeyValue]
	events        []wire.WatchEvent
	leases        map[uint64]*lease
	lastLeaseID   uint64
	changed       chan struct{} // closed at the next change
	requestBucket rateBucket
	writeBucket   rateBucket
	counters      map[string]int
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// rateBucket allows a rate, with bursts of one second's worth.
type rateBucket struct {
	used      float64
	updatedAt time.Time
}

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

// NewStore returns an empty state service.
func NewStore(l Limits) *Store {
	return &Store{
		limits: l, keys: btree.NewG(32, func(a, b wire.KeyValue) bool { return a.Key < b.Key }),
		leases: map[uint64]*lease{}, changed: make(chan struct{}), counters: map[string]int{},
	}
}

// SetLimits has other limits come into force.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// SetDown begins or ends an outage: requests get 503 and open watches wait; at its end, every lease has
// its full time again.
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

// PutUnchecked puts keys without asking for any limit, as one change.
func (s *Store) PutUnchecked(items []wire.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, it := range items {
		it.Revision = s.revision
		s.keys.ReplaceOrInsert(it)
	}
}

// Value is a key's value, nil if there is none.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, _ := s.keys.Get(wire.KeyValue{Key: key})
	return it.Value
}

// CountKeys counts the keys with a prefix, and the bytes of their names and values.
func (s *Store) CountKeys(prefix string) (n, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.AscendGreaterOrEqual(wire.KeyValue{Key: prefix}, func(it wire.KeyValue) bool {
		if !strings.HasPrefix(it.Key, prefix) {
			return false
		}
		n, bytes = n+1, bytes+len(it.Key)+len(it.Value)
		return true
	})
	return n, bytes
}

// Counters tells how many requests of each kind there were, and "changes".
func (s *Store) Counters() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.counters {
		out[k] = n
	}
	return out
}

// ServeHTTP answers the controllers.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	part := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)
	s.mu.Lock()
	s.counters[part[0]]++
	s.counters["requests"]++
	switch {
	case s.outage:
		s.mu.Unlock()
		writeJSON(w, http.StatusServiceUnavailable, wire.Error{Error: "outage"})
		return
	case !s.requestBucket.allow(1, s.limits.RPS):
		s.counters["refused"]++
		s.mu.Unlock()
		writeJSON(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
		return
	}
	s.mu.Unlock()
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // whoever asked may be gone
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.keys.Get(wire.KeyValue{Key: key})
	ledger := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]uint64{"ledger": ledger})
		return
	}
	writeJSON(w, http.StatusOK, it)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, from := q.Get("starts"), q.Get("from")
	most, err := strconv.Atoi(q.Get("most"))
	if err != nil || most < 1 {
		most = 1000
	}
	if n := s.limits.PageItems; n > 0 {
		most = min(most, n)
	}
	out := wire.RangeResponse{Items: []wire.KeyValue{}}
	s.mu.Lock()
	out.Revision = s.revision
	bytes := 0
	s.keys.AscendGreaterOrEqual(wire.KeyValue{Key: max(prefix, from)}, func(it wire.KeyValue) bool {
		switch {
		case !strings.HasPrefix(it.Key, prefix):
			return it.Key < prefix
		case it.Key == from:
			return true
		case len(out.Items) == most || s.limits.PageKB > 0 && bytes+len(it.Value) > s.limits.PageKB<<10 && len(out.Items) > 0:
			out.More = true
			return false
		}
		bytes += len(it.Key) + len(it.Value) + 40
		out.Items = append(out.Items, it)
		return true
	})
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var t wire.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&t); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status, reply := s.Commit(t)
	writeJSON(w, status, reply)
}

// Commit carries out a transaction, without a request.
func (s *Store) Commit(t wire.Txn) (status int, reply wire.TxnResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyTxn(t)
}

func (s *Store) applyTxn(t wire.Txn) (int, wire.TxnResponse) {
	refuse := func(why string) (int, wire.TxnResponse) { return http.StatusBadRequest, wire.TxnResponse{Error: why} }
	if n := s.limits.TxnOps; n > 0 && (len(t.Then) > n || len(t.Compare) > 4*n) {
		return refuse("too many changes or conditions")
	}
	for _, x := range t.Then {
		switch {
		case (x.Put == "") == (x.Delete == ""):
			return refuse("neither or both of put and delete")
		case x.Put != "" && (len(x.Value) == 0 || len(x.Put) > 200):
			return refuse("no value, or a long key")
		case s.limits.ValueBytes > 0 && len(x.Value) > s.limits.ValueBytes:
			return refuse("value too large")
		case x.LeaseID != 0 && s.leases[x.LeaseID] == nil:
			return refuse("no such lease")
		}
	}
	if !s.writeBucket.allow(float64(len(t.Then)), s.limits.WriteRPS) {
		s.counters["refused"]++
		return http.StatusTooManyRequests, wire.TxnResponse{Error: "too many changes"}
	}
	var failed []string
	for _, c := range t.Compare {
		if it, _ := s.keys.Get(wire.KeyValue{Key: c.Key}); it.Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	s.counters["changed"] += len(t.Then) // "changes" are the requests of that path
	if len(t.Then) > 0 {
		s.revision++
	}
	for _, x := range t.Then {
		if x.Put != "" {
			s.putItem(wire.KeyValue{Key: x.Put, Value: x.Value, Revision: s.revision, LeaseID: x.LeaseID})
		} else {
			s.deleteKey(x.Delete)
		}
	}
	s.notifyWatchers()
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

func (s *Store) putItem(it wire.KeyValue) {
	if old, ok := s.keys.ReplaceOrInsert(it); ok && old.LeaseID != 0 && s.leases[old.LeaseID] != nil {
		delete(s.leases[old.LeaseID].keys, it.Key)
	}
	if it.LeaseID != 0 {
		s.leases[it.LeaseID].keys[it.Key] = true
	}
	s.appendEvent(wire.WatchEvent{Put: it.Key, Value: it.Value, Revision: s.revision})
}

func (s *Store) deleteKey(key string) {
	if old, ok := s.keys.Delete(wire.KeyValue{Key: key}); ok && old.LeaseID != 0 && s.leases[old.LeaseID] != nil {
		delete(s.leases[old.LeaseID].keys, key)
	}
	s.appendEvent(wire.WatchEvent{Delete: key, Revision: s.revision})
}

func (s *Store) appendEvent(e wire.WatchEvent) {
	s.events = append(s.events, e)
	if len(s.events) >= 2*keptEvents {
		s.events = slices.Clone(s.events[len(s.events)-keptEvents:])
	}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: "from is missing"})
		return
	}
	hold, _ := strconv.Atoi(q.Get("hold_ms")) // 0 by default
	end := time.NewTimer(time.Duration(min(hold, 60_000)) * time.Millisecond)
	defer end.Stop()
	late := hold <= 0
	for {
		s.mu.Lock()
		out := wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}}
		gone := len(s.events) > 0 && s.events[0].Revision > from+1 && s.revision > from
		i, _ := slices.BinarySearchFunc(s.events, from+1, func(e wire.WatchEvent, m uint64) int {
			if e.Revision < m {
				return -1
			}
			return 1
		})
		for _, e := range s.events[i:] {
			if strings.HasPrefix(e.Put+e.Delete, q.Get("starts")) {
				out.Events = append(out.Events, e)
			}
		}
		wait, down := s.changed, s.outage
		s.mu.Unlock()
		switch {
		case gone && !down:
			writeJSON(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		case !down && len(out.Events) > 0 || late:
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-wait:
		case <-end.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveLeases(w http.ResponseWriter, r *http.Request, rest []string) {
	if len(rest) == 0 && r.Method == http.MethodPost {
		var in wire.LeaseRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMS < 100 || in.TTLMS > 600_000 {
			writeJSON(w, http.StatusBadRequest, wire.Error{Error: "life_ms is missing or out of range"})
			return
		}
		s.mu.Lock()
		s.lastLeaseID++
		id := s.lastLeaseID
		l := &lease{ttl: time.Duration(in.TTLMS) * time.Millisecond, keys: map[string]bool{}}
		l.timer = time.AfterFunc(l.ttl, func() { s.endLease(id) })
		s.leases[id] = l
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
		return
	}
	name, verb, _ := strings.Cut(strings.Join(rest, "/"), "/")
	id, err := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if err == nil && l != nil && verb == "extend" {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	switch {
	case err != nil || l == nil:
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

// endLease ends a lease, and with it the keys attached to it.
func (s *Store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) > 0 {
		s.revision++
	}
	for _, k := range sortedNames(l.keys) {
		s.deleteKey(k)
	}
	s.notifyWatchers()
}

func sortedNames(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
