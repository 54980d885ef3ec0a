// Package standin holds stand-ins of our own for the platform's services, which speak its protocol
// over real sockets, for tests and measurements.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"dewlift/wire"
)

// Limits are those of a state service; 0: none.
type Limits struct {
	RPS, WriteRPS     float64 // requests and changes a second, with bursts of one second's worth
	ValueBytes, Ops   int     // of a value, and changes of a transaction
	PageItems, PageKB int     // of a listing
}

const (
	logChanges = 10_000 // that watches can go back
	bodyBytes  = 64 << 10
)

// State is a state service in memory.
type State struct {
	mu      sync.Mutex
	limits  Limits
	down    bool
	ledger  uint64
	keys    *btree.BTreeG[wire.KeyValue]
	log     []wire.WatchEvent
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{} // closed at the next change
	rps     bucket
	writes  bucket
	count   map[string]int
}

type lease struct {
	life  time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// bucket allows a rate, with bursts of one second's worth.
type bucket struct {
	used float64
	at   time.Time
}

func (b *bucket) take(n, rate float64) bool {
	if rate == 0 {
		return true
	}
	now := time.Now()
	b.used = max(0, b.used-now.Sub(b.at).Seconds()*rate)
	b.at = now
	if b.used+n > rate {
		return false
	}
	b.used += n
	return true
}

// NewState returns an empty state service.
func NewState(l Limits) *State {
	return &State{limits: l, keys: btree.NewG(32, func(a, b wire.KeyValue) bool { return a.Key < b.Key }),
		leases: map[uint64]*lease{}, changed: make(chan struct{}), count: map[string]int{}}
}

// SetLimits has other limits come into force.
func (s *State) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// SetDown begins or ends an outage: requests get 503 and open watches wait; at its end, every lease has
// its full time again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		if down {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.life)
		}
	}
	s.wake()
}

// Fill puts keys without asking for any limit, as one change.
func (s *State) Fill(items []wire.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger++
	for _, it := range items {
		it.Revision = s.ledger
		s.keys.ReplaceOrInsert(it)
	}
}

// Value is a key's value, nil if there is none.
func (s *State) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, _ := s.keys.Get(wire.KeyValue{Key: key})
	return it.Value
}

// Keys counts the keys with a prefix, and the bytes of their names and values.
func (s *State) Keys(prefix string) (n, bytes int) {
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

// Count tells how many requests of each kind there were, and "changes".
func (s *State) Count() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.count {
		out[k] = n
	}
	return out
}

// ServeHTTP answers the controllers.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	part := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)
	s.mu.Lock()
	s.count[part[0]]++
	s.count["requests"]++
	switch {
	case s.down:
		s.mu.Unlock()
		answer(w, http.StatusServiceUnavailable, wire.Error{Error: "outage"})
		return
	case !s.rps.take(1, s.limits.RPS):
		s.count["refused"]++
		s.mu.Unlock()
		answer(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
		return
	}
	s.mu.Unlock()
	switch {
	case part[0] == "store" && len(part) == 2 && r.Method == http.MethodGet:
		s.get(w, part[1])
	case part[0] == "store" && r.Method == http.MethodGet:
		s.list(w, r)
	case part[0] == "commit" && r.Method == http.MethodPost:
		s.commit(w, r)
	case part[0] == "changes" && r.Method == http.MethodGet:
		s.changes(w, r)
	case part[0] == "holds":
		s.holds(w, r, part[1:])
	default:
		answer(w, http.StatusNotFound, wire.Error{Error: "no such path"})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // whoever asked may be gone
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.keys.Get(wire.KeyValue{Key: key})
	ledger := s.ledger
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"ledger": ledger})
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
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
	out.Revision = s.ledger
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
	answer(w, http.StatusOK, out)
}

func (s *State) commit(w http.ResponseWriter, r *http.Request) {
	var t wire.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyBytes)).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	status, reply := s.Commit(t)
	answer(w, status, reply)
}

// Commit carries out a transaction, without a request.
func (s *State) Commit(t wire.Txn) (status int, reply wire.TxnResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(t)
}

func (s *State) apply(t wire.Txn) (int, wire.TxnResponse) {
	refuse := func(why string) (int, wire.TxnResponse) { return http.StatusBadRequest, wire.TxnResponse{Error: why} }
	if n := s.limits.Ops; n > 0 && (len(t.Then) > n || len(t.Compare) > 4*n) {
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
	if !s.writes.take(float64(len(t.Then)), s.limits.WriteRPS) {
		s.count["refused"]++
		return http.StatusTooManyRequests, wire.TxnResponse{Error: "too many changes"}
	}
	var failed []string
	for _, c := range t.Compare {
		if it, _ := s.keys.Get(wire.KeyValue{Key: c.Key}); it.Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.ledger}
	}
	s.count["changed"] += len(t.Then) // "changes" are the requests of that path
	if len(t.Then) > 0 {
		s.ledger++
	}
	for _, x := range t.Then {
		if x.Put != "" {
			s.put(wire.KeyValue{Key: x.Put, Value: x.Value, Revision: s.ledger, LeaseID: x.LeaseID})
		} else {
			s.drop(x.Delete)
		}
	}
	s.wake()
	return http.StatusOK, wire.TxnResponse{Revision: s.ledger}
}

func (s *State) put(it wire.KeyValue) {
	if old, ok := s.keys.ReplaceOrInsert(it); ok && old.LeaseID != 0 && s.leases[old.LeaseID] != nil {
		delete(s.leases[old.LeaseID].keys, it.Key)
	}
	if it.LeaseID != 0 {
		s.leases[it.LeaseID].keys[it.Key] = true
	}
	s.note(wire.WatchEvent{Put: it.Key, Value: it.Value, Revision: s.ledger})
}

func (s *State) drop(key string) {
	if old, ok := s.keys.Delete(wire.KeyValue{Key: key}); ok && old.LeaseID != 0 && s.leases[old.LeaseID] != nil {
		delete(s.leases[old.LeaseID].keys, key)
	}
	s.note(wire.WatchEvent{Delete: key, Revision: s.ledger})
}

func (s *State) note(e wire.WatchEvent) {
	s.log = append(s.log, e)
	if len(s.log) >= 2*logChanges {
		s.log = slices.Clone(s.log[len(s.log)-logChanges:])
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "from is missing"})
		return
	}
	hold, _ := strconv.Atoi(q.Get("hold_ms")) // 0 by default
	end := time.NewTimer(time.Duration(min(hold, 60_000)) * time.Millisecond)
	defer end.Stop()
	late := hold <= 0
	for {
		s.mu.Lock()
		out := wire.WatchResponse{Revision: s.ledger, Events: []wire.WatchEvent{}}
		gone := len(s.log) > 0 && s.log[0].Revision > from+1 && s.ledger > from
		i, _ := slices.BinarySearchFunc(s.log, from+1, func(e wire.WatchEvent, m uint64) int {
			if e.Revision < m {
				return -1
			}
			return 1
		})
		for _, e := range s.log[i:] {
			if strings.HasPrefix(e.Put+e.Delete, q.Get("starts")) {
				out.Events = append(out.Events, e)
			}
		}
		wait, down := s.changed, s.down
		s.mu.Unlock()
		switch {
		case gone && !down:
			answer(w, http.StatusGone, wire.Error{Error: "too old"})
			return
		case !down && len(out.Events) > 0 || late:
			answer(w, http.StatusOK, out)
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

func (s *State) holds(w http.ResponseWriter, r *http.Request, rest []string) {
	if len(rest) == 0 && r.Method == http.MethodPost {
		var in wire.LeaseRequest
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMS < 100 || in.TTLMS > 600_000 {
			answer(w, http.StatusBadRequest, wire.Error{Error: "life_ms is missing or out of range"})
			return
		}
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		l := &lease{life: time.Duration(in.TTLMS) * time.Millisecond, keys: map[string]bool{}}
		l.timer = time.AfterFunc(l.life, func() { s.end(id) })
		s.leases[id] = l
		s.mu.Unlock()
		answer(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
		return
	}
	name, verb, _ := strings.Cut(strings.Join(rest, "/"), "/")
	id, err := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if err == nil && l != nil && verb == "extend" {
		l.timer.Reset(l.life)
	}
	s.mu.Unlock()
	switch {
	case err != nil || l == nil:
		answer(w, http.StatusNotFound, wire.Error{Error: "no such lease"})
	case r.Method == http.MethodDelete:
		s.end(id)
		answer(w, http.StatusOK, struct{}{})
	case verb == "extend" && r.Method == http.MethodPost:
		answer(w, http.StatusOK, struct{}{})
	default:
		answer(w, http.StatusBadRequest, wire.Error{Error: fmt.Sprintf("unknown request %s", verb)})
	}
}

// end ends a lease, and with it the keys attached to it.
func (s *State) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) > 0 {
		s.ledger++
	}
	for _, k := range sortedNames(l.keys) {
		s.drop(k)
	}
	s.wake()
}

func sortedNames(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
