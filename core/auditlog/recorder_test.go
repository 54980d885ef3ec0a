package auditlog

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

// testKey signs the entries of the tests.
var testKey = audit.Key("a key for the tests of the recorder")

// entryID identifies an entry by incarnation and sequence number.
type entryID = [2]uint64

// fakeStore is a key-value store and the transactions that are delayed on their way to it.
type fakeStore struct {
	keys             map[string]wire.KeyValue
	revision         uint64
	delayedTxns      []wire.Txn
	committedEntries map[entryID]bool // entries whose change was committed
}

// execute commits a transaction if its compares hold, and reports whether it did.
func (s *fakeStore) execute(txn wire.Txn) bool {
	for _, compare := range txn.Compare {
		if s.keys[compare.Key].Revision != compare.Revision {
			return false
		}
	}
	s.revision++
	for _, write := range txn.Then {
		s.keys[write.Put] = wire.KeyValue{Key: write.Put, Value: write.Value, Revision: s.revision}
		for _, pending := range entriesIn(write.Value) {
			s.committedEntries[entryID{pending.Incarnation, pending.Sequence}] = true
		}
	}
	return true
}

// entriesIn returns the entries that a value carries.
func entriesIn(raw json.RawMessage) []audit.PendingEntry {
	var value outboxValue
	_ = json.Unmarshal(raw, &value) // blocks and heads carry no entries
	return value.Entries
}

// replayTo applies all keys to a recorder in key order, as loading a snapshot and the watch do.
func (s *fakeStore) replayTo(r *Recorder) error {
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		item := s.keys[key]
		if strings.HasPrefix(key, Prefix) {
			if err := r.ApplyPut(key, item.Value, item.Revision); err != nil {
				return err
			}
		} else if strings.HasPrefix(key, "dl/") {
			r.ObserveEntries(key, item.Revision, entriesIn(item.Value))
		}
	}
	return nil
}

// delivery is what happens to a transaction and what its sender learns of it. The numbers above rejectUnexecuted
// all mean deliver.
type delivery int

const (
	deliverLate      delivery = iota // executed later, if at all; no response
	loseAnswer                       // executed at once; no response
	rejectUnexecuted                 // not executed, and the sender is told
	deliver          delivery = 7    // executed at once, with a response
)

// send executes a transaction now, later or not at all, and returns the outcome that its sender sees.
func (s *fakeStore) send(txn wire.Txn, how delivery) wire.Status {
	switch {
	case how == deliverLate:
		s.delayedTxns = append(s.delayedTxns, txn)
		return wire.StatusNoResponse
	case how == loseAnswer:
		s.execute(txn)
		return wire.StatusNoResponse
	case how == rejectUnexecuted:
		return wire.StatusUnavailable
	case !s.execute(txn):
		return wire.StatusConflict
	}
	return wire.StatusOK
}

// recorderRun is a simulation of a recorder, its store and its clock.
type recorderRun struct {
	t        *rapid.T
	store    *fakeStore
	recorder *Recorder
	now      time.Duration
}

// advanceClock advances the clock.
func (run *recorderRun) advanceClock(d time.Duration) {
	run.now += d
	run.recorder.Env = Env{Now: run.now, UnixMS: run.now.Milliseconds(), Enabled: true, MaxValueBytes: 1200}
}

// restart replaces the recorder by that of a new process.
func (run *recorderRun) restart() {
	run.t.Helper()
	run.recorder = New(Config{
		Key:                 testKey,
		Node:                "n0",
		AggregationInterval: time.Second,
		BlockDelay:          2 * time.Second,
		LateTxnWindow:       time.Hour,
		StartedAt:           run.now,
		LogError:            func(string, ...any) {},
	})
	run.advanceClock(0)
	if err := run.store.replayTo(run.recorder); err != nil {
		run.t.Fatalf("load after a restart: %v", err)
	}
}

// writeBlock sends the transaction of the next block, if one is due.
func (run *recorderRun) writeBlock(how delivery) {
	run.t.Helper()
	if run.recorder.IsBusy() {
		return
	}
	if txn := run.recorder.NextBlockTxn(); txn != nil {
		if run.recorder.HandleBlockOutcome(run.store.send(*txn, how), run.store.revision) {
			if err := run.store.replayTo(run.recorder); err != nil {
				run.t.Fatalf("read after a block with unknown outcome: %v", err)
			}
			run.recorder.ClearBusy()
		}
	}
}

// executeDelayed executes one of the delayed transactions.
func (run *recorderRun) executeDelayed() {
	if n := len(run.store.delayedTxns); n > 0 {
		i := rapid.IntRange(0, n-1).Draw(run.t, "late")
		run.store.execute(run.store.delayedTxns[i])
		run.store.delayedTxns = slices.Delete(run.store.delayedTxns, i, i+1)
	}
}

// writeJob writes a job's record with a new entry.
func (run *recorderRun) writeJob(how delivery) {
	run.t.Helper()
	jobKey := fmt.Sprint("dl/job/", rapid.IntRange(0, 3).Draw(run.t, "key"))
	if len(run.recorder.unknownOutcome[jobKey]) > 0 { // a key's owner reads it before it writes it again
		if err := run.store.replayTo(run.recorder); err != nil {
			run.t.Fatalf("read after a write with unknown outcome: %v", err)
		}
	}
	item := run.store.keys[jobKey]
	list, ids := run.recorder.AttachEntries(
		jobKey,
		item.Revision,
		entriesIn(item.Value),
		[]Event{{Verb: "submit", Object: jobKey}},
	)
	raw, err := json.Marshal(outboxValue{list})
	if err != nil {
		run.t.Fatal(err)
	}
	txn := wire.Txn{
		Compare: []wire.Compare{{Key: jobKey, Revision: item.Revision}},
		Then:    []wire.Write{{Put: jobKey, Value: raw}},
	}
	run.recorder.HandleOutcome(ids, run.store.send(txn, how))
}

// step performs a random operation.
func (run *recorderRun) step() {
	run.t.Helper()
	run.advanceClock(time.Duration(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(run.t, "pass")))
	how := delivery(rapid.IntRange(0, 7).Draw(run.t, "how"))
	switch rapid.IntRange(0, 9).Draw(run.t, "what") {
	case 0:
		run.restart()
	case 1, 2:
		run.executeDelayed()
	case 3, 4:
		run.writeBlock(how)
	case 5:
		if err := run.store.replayTo(run.recorder); err != nil {
			run.t.Fatalf("watch: %v", err)
		}
	default:
		if run.recorder.IsStarted() {
			run.writeJob(how)
		} else {
			run.writeBlock(how)
		}
	}
}

// checkBlocks fails unless the blocks hold every committed entry exactly once, and no other entry.
func (run *recorderRun) checkBlocks() {
	run.t.Helper()
	blocks := map[entryID]int{} // number of blocks that hold an entry
	for key, item := range run.store.keys {
		if !strings.HasPrefix(key, audit.BlockPrefix) {
			continue
		}
		block, err := audit.DecodeBlock(item.Value)
		if err != nil {
			run.t.Fatal(err)
		}
		for _, entry := range block.Entries {
			if entry.Verb == VerbStart {
				continue
			}
			id := entryID{entry.Life, entry.Count}
			blocks[id]++
			if committed := run.store.committedEntries[id]; !committed || blocks[id] > 1 {
				run.t.Fatalf("entry %v is in %d blocks, its change was committed: %v", id, blocks[id], committed)
			}
		}
	}
	for id := range run.store.committedEntries {
		if blocks[id] != 1 {
			run.t.Fatalf("entry %v is in %d blocks", id, blocks[id])
		}
	}
}

// Whatever transactions are lost or delayed and whenever the process restarts, every committed entry must be in
// exactly one block and no other entry in any: a lost entry would hide a change, and a duplicate would report one
// that did not happen.
func TestEveryCommittedEntryIsRecordedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := &recorderRun{
			t:     t,
			store: &fakeStore{keys: map[string]wire.KeyValue{}, committedEntries: map[entryID]bool{}},
		}
		run.restart()
		for range rapid.IntRange(1, 120).Draw(t, "acts") {
			run.step()
		}
		for range 60 { // without failures, until all entries are in blocks
			run.advanceClock(3 * time.Second)
			if err := run.store.replayTo(run.recorder); err != nil {
				t.Fatalf("watch without failures: %v", err)
			}
			run.writeBlock(deliver)
		}
		run.checkBlocks()
	})
}
