package recorder

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewlift/audit"
	"dewlift/wire"
)

var key = audit.Key("a key for the tests of the recorder")

// store is a state service, and what is on its way to it.
type store struct {
	keys   map[string]wire.KeyValue
	ledger uint64
	late   []wire.Txn
	made   map[[2]uint64]bool // entries whose change was made
}

func (s *store) execute(t wire.Txn) bool {
	for _, c := range t.Compare {
		if s.keys[c.Key].Revision != c.Revision {
			return false
		}
	}
	s.ledger++
	for _, w := range t.Then {
		s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.ledger}
		for _, x := range carriedBy(w.Value) {
			s.made[[2]uint64{x.Life, x.Count}] = true
		}
	}
	return true
}

func carriedBy(raw json.RawMessage) []audit.Carried {
	var v carrierValue
	_ = json.Unmarshal(raw, &v) // blocks and heads carry nothing
	return v.Carried
}

// tell gives a recorder all keys, in their order: as when they are read, and as the changes would.
func (s *store) tell(r *Recorder) error {
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		it := s.keys[k]
		if strings.HasPrefix(k, Prefix) {
			if err := r.Put(k, it.Value, it.Revision); err != nil {
				return err
			}
		} else if strings.HasPrefix(k, "dl/") {
			r.Saw(k, it.Revision, carriedBy(it.Value))
		}
	}
	return nil
}

// Whatever becomes of its transactions and its processes, every entry whose change was made is put into a block
// once, and no other is.
func TestEveryEntryIsPutOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{keys: map[string]wire.KeyValue{}, made: map[[2]uint64]bool{}}
		var r *Recorder
		var now time.Duration
		pass := func(d time.Duration) {
			now += d
			r.Env = Env{Now: now, UnixMS: now.Milliseconds(), On: true, ValueBytes: 1200}
		}
		start := func() {
			r = New(Config{Key: key, Node: "n0", Gather: time.Second, Block: 2 * time.Second, Forget: time.Hour, Started: now,
				Note: func(string, string, ...any) {}})
			pass(0)
			if err := s.tell(r); err != nil {
				t.Fatal(err)
			}
		}
		start()
		// send executes a transaction, or not, or late, and says what its sender learns: 0 is nothing.
		send := func(x wire.Txn, how int) int {
			switch {
			case how == 0:
				s.late = append(s.late, x)
				return 0
			case how == 1:
				s.execute(x)
				return 0
			case how == 2:
				return 503
			case !s.execute(x):
				return 409
			}
			return 200
		}
		step := func(how int) {
			if r.Busy() {
				return
			}
			if x := r.Step(); x != nil {
				if r.Written(send(*x, how), s.ledger) {
					if err := s.tell(r); err != nil {
						t.Fatal(err)
					}
					r.Settled()
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "acts") {
			pass(time.Duration(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(t, "pass")))
			how := rapid.IntRange(0, 7).Draw(t, "how")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				start()
			case 1, 2:
				if n := len(s.late); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "late")
					s.execute(s.late[i])
					s.late = slices.Delete(s.late, i, i+1)
				}
			case 3, 4:
				step(how)
			case 5:
				if err := s.tell(r); err != nil {
					t.Fatal(err)
				}
			default:
				if !r.Ready() {
					step(how)
					continue
				}
				k := fmt.Sprint("dl/job/", rapid.IntRange(0, 3).Draw(t, "key"))
				if len(r.unsure[k]) > 0 { // its owner reads before it writes again
					if err := s.tell(r); err != nil {
						t.Fatal(err)
					}
				}
				it := s.keys[k]
				list, ids := r.Carry(k, it.Revision, carriedBy(it.Value), []Act{{Verb: "submit", Object: k}})
				raw, err := json.Marshal(carrierValue{list})
				if err != nil {
					t.Fatal(err)
				}
				r.Outcome(ids, send(wire.Txn{Compare: []wire.Compare{{Key: k, Revision: it.Revision}}, Then: []wire.Write{{Put: k, Value: raw}}}, how))
			}
		}
		for range 60 { // all is well now
			pass(3 * time.Second)
			if err := s.tell(r); err != nil {
				t.Fatal(err)
			}
			step(7)
		}
		in := map[[2]uint64]int{}
		for k, it := range s.keys {
			if !strings.HasPrefix(k, audit.Prefix) {
				continue
			}
			b, err := audit.Reads(it.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range b.Entries {
				if id := [2]uint64{e.Life, e.Count}; e.Verb != Start {
					if in[id]++; !s.made[id] || in[id] > 1 {
						t.Fatalf("entry %v is in %d blocks, its change was made: %v", id, in[id], s.made[id])
					}
				}
			}
		}
		for id := range s.made {
			if in[id] != 1 {
				t.Fatalf("entry %v is in %d blocks", id, in[id])
			}
		}
	})
}
