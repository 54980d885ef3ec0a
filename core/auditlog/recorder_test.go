package auditlog

import (
	"dewlift/audit"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var key = audit.Key("a key for the tests of the recorder")

// fakeStore is a state service, and what is on its way to it.
type fakeStore struct {
	keys             map[string]wire.KeyValue
	revision         uint64
	delayedTxns      []wire.Txn
	committedEntries map[[2]uint64]bool // entries whose change was made
}

func (s *fakeStore) execute(t wire.Txn) bool {
	for _, c := range t.Compare {
		if s.keys[c.Key].Revision != c.Revision {
			return false
		}
	}
	s.revision++
	for _, w := range t.Then {
		s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.revision}
		for _, x := range entriesIn(w.Value) {
			s.committedEntries[[2]uint64{x.Incarnation, x.Sequence}] = true
		}
	}
	return true
}

func entriesIn(raw json.RawMessage) []audit.PendingEntry {
	var v carrierValue
	_ = json.Unmarshal(raw, &v) // blocks and heads carry nothing
	return v.Entries
}

// replayTo gives a recorder all keys, in their order: as when they are read, and as the changes would.
func (s *fakeStore) replayTo(r *Recorder) error {
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		it := s.keys[k]
		if strings.HasPrefix(k, Prefix) {
			if err := r.ApplyPut(k, it.Value, it.Revision); err != nil {
				return err
			}
		} else if strings.HasPrefix(k, "dl/") {
			r.ObserveEntries(k, it.Revision, entriesIn(it.Value))
		}
	}
	return nil
}

// Whatever becomes of its transactions and its processes, every entry whose change was made is put into a block
// once, and no other is.
func TestEveryCommittedEntryIsRecordedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{keys: map[string]wire.KeyValue{}, committedEntries: map[[2]uint64]bool{}}
		var r *Recorder
		var now time.Duration
		pass := func(d time.Duration) {
			now += d
			r.Env = Env{Now: now, UnixMS: now.Milliseconds(), Enabled: true, MaxValueBytes: 1200}
		}
		start := func() {
			r = New(Config{
				Key:            key,
				Node:           "n0",
				GatherInterval: time.Second,
				BlockDelay:     2 * time.Second,
				LateTxnWindow:  time.Hour,
				StartedAt:      now,
				LogError:       func(string, ...any) {},
			})
			pass(0)
			if err := s.replayTo(r); err != nil {
				t.Fatal(err)
			}
		}
		start()
		// send executes a transaction, or not, or late, and says what its sender learns: 0 is nothing.
		send := func(x wire.Txn, how int) wire.Status {
			switch {
			case how == 0:
				s.delayedTxns = append(s.delayedTxns, x)
				return wire.StatusNoAnswer
			case how == 1:
				s.execute(x)
				return wire.StatusNoAnswer
			case how == 2:
				return wire.StatusUnavailable
			case !s.execute(x):
				return wire.StatusConflict
			}
			return wire.StatusOK
		}
		step := func(how int) {
			if r.IsBusy() {
				return
			}
			if x := r.NextBlockTxn(); x != nil {
				if r.HandleBlockOutcome(send(*x, how), s.revision) {
					if err := s.replayTo(r); err != nil {
						t.Fatal(err)
					}
					r.ClearBusy()
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
				if n := len(s.delayedTxns); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "late")
					s.execute(s.delayedTxns[i])
					s.delayedTxns = slices.Delete(s.delayedTxns, i, i+1)
				}
			case 3, 4:
				step(how)
			case 5:
				if err := s.replayTo(r); err != nil {
					t.Fatal(err)
				}
			default:
				if !r.IsStarted() {
					step(how)
					continue
				}
				k := fmt.Sprint("dl/job/", rapid.IntRange(0, 3).Draw(t, "key"))
				if len(r.unknownOutcome[k]) > 0 { // its owner reads before it writes again
					if err := s.replayTo(r); err != nil {
						t.Fatal(err)
					}
				}
				it := s.keys[k]
				list, ids := r.AttachEntries(
					k,
					it.Revision,
					entriesIn(it.Value),
					[]Event{{Verb: "submit", Object: k}},
				)
				raw, err := json.Marshal(carrierValue{list})
				if err != nil {
					t.Fatal(err)
				}
				r.HandleOutcome(
					ids,
					send(
						wire.Txn{
							Compare: []wire.Compare{{Key: k, Revision: it.Revision}},
							Then:    []wire.Write{{Put: k, Value: raw}},
						},
						how,
					),
				)
			}
		}
		for range 60 { // all is well now
			pass(3 * time.Second)
			if err := s.replayTo(r); err != nil {
				t.Fatal(err)
			}
			step(7)
		}
		in := map[[2]uint64]int{}
		for k, it := range s.keys {
			if !strings.HasPrefix(k, audit.BlockPrefix) {
				continue
			}
			b, err := audit.DecodeBlock(it.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range b.Entries {
				if id := [2]uint64{e.Life, e.Count}; e.Verb != VerbStart {
					if in[id]++; !s.committedEntries[id] || in[id] > 1 {
						t.Fatalf(
							"entry %v is in %d blocks, its change was made: %v",
							id,
							in[id],
							s.committedEntries[id],
						)
					}
				}
			}
		}
		for id := range s.committedEntries {
			if in[id] != 1 {
				t.Fatalf("entry %v is in %d blocks", id, in[id])
			}
		}
	})
}
