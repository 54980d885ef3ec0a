package core

import (
	"dewlift/archive"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// archiveBlockPage is a block of the archive, as a page of the state service.
func archiveBlockPage(t *testing.T, mark, ledger uint64, entries ...archive.Entry) RangeResult {
	t.Helper()
	b := archive.EmptyBlock().Merge(entries)
	raw, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return RangeResult{
		Status:   wire.StatusOK,
		Revision: ledger,
		Items:    []wire.KeyValue{{Key: archive.BlockKey(b.High), Value: raw, Revision: mark}},
	}
}

func event(key, value string, mark uint64) wire.WatchEvent {
	return wire.WatchEvent{Put: key, Value: json.RawMessage(value), Revision: mark}
}

func watchEvents(c *Core, at time.Duration, ledger uint64, log ...wire.WatchEvent) []Output {
	c.Handle(at, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: ledger, Events: log}})
	return c.Advance(at)
}

// completeBarrier answers a read barrier: nothing has changed.
func completeBarrier(c *Core, at time.Duration) []Output {
	c.Handle(at, WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: c.replica.revision}})
	return c.Advance(at)
}

// answerRead answers the one read that is on its way.
func answerRead(t *testing.T, c *Core, at time.Duration, out []Output, in RangeResult) []Output {
	t.Helper()
	scans := outputsOfType[ReadRange](out)
	if len(scans) != 1 {
		t.Fatalf("%d reads are on their way: %+v", len(scans), scans)
	}
	in.ID = scans[0].ID
	c.Handle(at, in)
	return c.Advance(at)
}

// newCoreWithArchive is a controller that serves and knows that there is an archive.
func newCoreWithArchive(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	watchEvents(c, 1100*time.Millisecond, 10, event(keyHistory, "1", 10))
	return c
}

func findAcceptTxn(out []Output, id string) *CommitTxn {
	for _, o := range outputsOfType[CommitTxn](out) {
		for _, w := range o.Txn.Then {
			if w.Put == keyJob+id {
				return &o
			}
		}
	}
	return nil
}

// A new job must not revive one that is archived: it is written only on condition that the block of
// its range is as it was when it lacked the job, and before any archive, that there is none. A
// transaction may be executed minutes late, when the job was accepted elsewhere, ran and moved.
func TestNewJobIsWrittenOnlyIfItIsNotArchived(t *testing.T) {
	c := newServingCore(t)
	c.Handle(time.Second, testSubmission("wk-1"))
	if x := findAcceptTxn(c.Advance(1100*time.Millisecond), "wk-1"); x == nil ||
		!slices.Contains(x.Txn.Compare, wire.Compare{Key: keyHistory}) {
		t.Errorf("before there is an archive: %+v", x)
	}
	c = newCoreWithArchive(t)
	c.Handle(1200*time.Millisecond, testSubmission("wk-5"))
	out := c.Advance(1200 * time.Millisecond)
	if findAcceptTxn(out, "wk-5") != nil {
		t.Fatal("written without a look into the archive")
	}
	out = answerRead(
		t,
		c,
		1300*time.Millisecond,
		out,
		archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-6", CompletedTasks: 3}),
	)
	x := findAcceptTxn(out, "wk-5")
	if x == nil || !slices.Contains(x.Txn.Compare, wire.Compare{Key: archive.BlockKey(archive.MaxID), Revision: 9}) {
		t.Fatalf("got %+v", x)
	}
	// Overtaken by a move into that block: it is read again, and holds the job now.
	c.Handle(
		1400*time.Millisecond,
		TxnResult{ID: x.ID, Status: wire.StatusConflict, Reply: wire.TxnResponse{Failed: []string{archive.BlockKey(archive.MaxID)}}},
	)
	c.Advance(1400 * time.Millisecond)
	out = completeBarrier(c, 1500*time.Millisecond)
	out = answerRead(
		t,
		c,
		1600*time.Millisecond,
		out,
		archiveBlockPage(t, 12, 12, archive.Entry{ID: "wk-5", CompletedTasks: 1}),
	)
	r := outputsOfType[Response](out)
	if len(r) != 1 || r[0].Status != wire.StatusOK || r[0].Body.(wire.JobState).Stage != wire.StageDone {
		t.Errorf("the repeat of an archived job got %+v", r)
	}
}

// All that a user may ask of an archived job is answered as before it moved, and again without a read.
func TestArchivedJobIsAnswered(t *testing.T) {
	c := newCoreWithArchive(t)
	e := archive.Entry{
		ID:             "wk-7",
		Cancelled:      true,
		CompletedTasks: 2,
		CancelledByJob: "wk-3",
		StopReasons:    []archive.StopReason{{Task: 1, Machine: "m-1", Cause: "idle", AtMS: 77}},
	}
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-7"})
	c.Advance(1200 * time.Millisecond)
	out := answerRead(
		t,
		c,
		1400*time.Millisecond,
		completeBarrier(c, 1300*time.Millisecond),
		archiveBlockPage(t, 9, 10, e),
	)
	c.Handle(1500*time.Millisecond, CancelJob{RequestID: 2, ID: "wk-7"})
	c.Handle(1500*time.Millisecond, SubmitJob{RequestID: 3, ID: "wk-7", DecodeError: "nonsense"})
	c.Handle(1500*time.Millisecond, WatchResult{LongPoll: true, Status: wire.StatusUnavailable}) // also in an outage
	out = append(out, c.Advance(1500*time.Millisecond)...)
	want := wire.JobState{
		ID:          "wk-7",
		Stage:       wire.StageCancelled,
		Done:        2,
		CancelledBy: "wk-3",
		TaskStops:   []wire.TaskStop{{Task: 1, Machine: "m-1", Cause: "idle", AtMS: 77}},
	}
	rs := outputsOfType[Response](out)
	if len(rs) != 3 {
		t.Fatalf("got %+v", rs)
	}
	for _, r := range rs {
		if r.Status != wire.StatusOK || fmt.Sprint(r.Body) != fmt.Sprint(want) {
			t.Errorf("got %+v", r)
		}
	}
	// One that was never accepted gets 404 from the same block, after a barrier, without another read.
	c.Handle(1600*time.Millisecond, GetJob{RequestID: 4, ID: "wk-8"})
	c.Advance(1600 * time.Millisecond)
	out = completeBarrier(c, 1700*time.Millisecond)
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusNotFound ||
		len(outputsOfType[ReadRange](out)) != 0 {
		t.Errorf("got %+v", out)
	}
	// After a move into its range, the block is no word for that any more.
	watchEvents(c, 1800*time.Millisecond, 20, wire.WatchEvent{Delete: keyJob + "wk-8", Revision: 20})
	c.Handle(1900*time.Millisecond, GetJob{RequestID: 5, ID: "wk-8"})
	c.Advance(1900 * time.Millisecond)
	if out = completeBarrier(c, 2000*time.Millisecond); len(outputsOfType[ReadRange](out)) != 1 {
		t.Errorf("an old block answered for its range: %+v", out)
	}
}

// A job that is queued may await one that ended and moved before this controller started.
func TestAwaitedJobIsArchivedAtStart(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		c := newCoreWithArchive(t)
		out := watchEvents(
			c,
			1200*time.Millisecond,
			11,
			event(keyJob+"wk-2", `{"h":0,"s":{"tm":"t","n":1,"rc":[1000,0,1000],"aw":["wk-1"]}}`, 11),
		)
		j := c.knownJob("wk-2")
		if j.unmetDependencies != 1 || j.isFinal() {
			t.Fatal("it does not wait")
		}
		answerRead(
			t,
			c,
			1300*time.Millisecond,
			out,
			archiveBlockPage(t, 9, 11, archive.Entry{ID: "wk-1", Cancelled: cancelled, CompletedTasks: 1}),
		)
		if !cancelled && (j.unmetDependencies != 0 || !j.placement.hasUnplacedTasks) ||
			cancelled && (!j.isFinal() || j.cancelledBy.id != "wk-1") {
			t.Errorf("cancelled %v: waits %d, final %v", cancelled, j.unmetDependencies, j.isFinal())
		}
	}
}

// Jobs ended and moved while this controller did not follow the changes (410). They are unknown
// until the archive is read: as its replica has them, they run.
func TestJobMovedWhileChangesWereNotFollowed(t *testing.T) {
	c := newCoreWithArchive(t)
	watchEvents(
		c,
		1200*time.Millisecond,
		11,
		event(
			keyJob+"wk-2",
			`{"h":0,"s":{"tm":"t","n":1,"rc":[1000,0,1000]},"a":[{"z":"a","s":1,"p":"m-1","m":[""],"n":[1],"r":[0,1,1]}]}`,
			11,
		),
	)
	if len(c.internMachine("m-1").allocation.assignments) != 1 {
		t.Fatal("not assigned")
	}
	c.Handle(1300*time.Millisecond, WatchResult{LongPoll: true, Status: wire.StatusGone})
	c.Handle(
		1400*time.Millisecond,
		SnapshotPage{
			OK:       true,
			Revision: 20000,
			Items:    []wire.KeyValue{{Key: keyHistory, Value: json.RawMessage("1"), Revision: 10}},
		},
	)
	c.Handle(1500*time.Millisecond, GetJob{RequestID: 1, ID: "wk-2"})
	c.Advance(1500 * time.Millisecond)
	out := answerRead(
		t,
		c,
		1700*time.Millisecond,
		completeBarrier(c, 1600*time.Millisecond),
		archiveBlockPage(t, 15000, 20000, archive.Entry{ID: "wk-2", CompletedTasks: 1}),
	)
	r := outputsOfType[Response](out)
	if len(r) != 1 || r[0].Status != wire.StatusOK || r[0].Body.(wire.JobState).Stage != wire.StageDone ||
		len(c.internMachine("m-1").allocation.assignments) != 0 {
		t.Errorf("got %+v", r)
	}
}

// A damaged block must not deny a job that it may hold, nor let it be accepted again; all else is served.
func TestCorruptBlockAnswersForNothing(t *testing.T) {
	c := newCoreWithArchive(t)
	bad := archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-7", CompletedTasks: 2})
	raw := slices.Clone(bad.Items[0].Value)
	raw[len(raw)-8]++
	bad.Items[0].Value = raw
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-7"})
	c.Advance(1200 * time.Millisecond)
	out := answerRead(t, c, 1400*time.Millisecond, completeBarrier(c, 1300*time.Millisecond), bad)
	named := slices.ContainsFunc(outputsOfType[LogLine](out), func(n LogLine) bool {
		return n.Level == LevelError && strings.Contains(fmt.Sprint(n.Args), archive.BlockKey(archive.MaxID))
	})
	c.Handle(1500*time.Millisecond, testSubmission("wk-8"))
	out = append(out, c.Advance(1500*time.Millisecond)...)
	for _, r := range outputsOfType[Response](out) {
		if r.Status != wire.StatusUnavailable || r.RetryAfterSeconds == 0 {
			t.Errorf("got %+v", r)
		}
	}
	if len(outputsOfType[Response](out)) != 2 || !named || findAcceptTxn(out, "wk-8") != nil {
		t.Errorf("named %v, got %+v", named, out)
	}
	watchEvents(c, 1600*time.Millisecond, 11, event(keyJob+"wk-9", `{"h":0,"st":"d","d":[0,1]}`, 11))
	c.Handle(1700*time.Millisecond, GetJob{RequestID: 3, ID: "wk-9"})
	if r := outputsOfType[Response](c.Advance(1700 * time.Millisecond)); len(r) != 1 || r[0].Status != wire.StatusOK {
		t.Errorf("another job got %+v", r)
	}
}

// A start keeps of a long history only the jobs that ended last: a million of them took more
// memory than a controller has. The others are read when somebody asks.
func TestStartKeepsLittleOfALongHistory(t *testing.T) {
	c := newServingCore(t)
	c.Handle(2*time.Second, WatchResult{LongPoll: true, Status: wire.StatusGone})
	most := 0
	for page := range 20 {
		c.Advance(time.Duration(3+page) * time.Second)
		in := SnapshotPage{OK: true, Status: wire.StatusOK, Revision: 50000, More: page < 19}
		for i := range 500 {
			n := page*500 + i
			in.Items = append(
				in.Items,
				wire.KeyValue{
					Key:      fmt.Sprintf("%swk-%06d", keyJob, n),
					Value:    json.RawMessage(`{"h":1,"st":"d","d":[0,4]}`),
					Revision: uint64(1 + n*7919%10000),
				},
			)
		}
		c.Handle(time.Duration(3+page)*time.Second, in)
		most = max(most, len(c.jobIndex))
	}
	h := &c.history
	if most > 1000 || len(c.jobs) > 1000 || len(h.endedJobs)+h.coldRecords != 10000 {
		t.Fatalf("%d jobs in memory at most, %d kept, %d cold", most, len(h.endedJobs), h.coldRecords)
	}
	for _, j := range h.endedJobs {
		if j.revision < 10000-uint64(c.maxEndedInMemory()) {
			t.Fatalf("one that ended at %d is kept", j.revision)
		}
	}
	id := fmt.Sprintf("wk-%06d", 0)
	c.Handle(40*time.Second, LeaseResult{Op: LeaseExtend, Status: wire.StatusOK, LeaseID: 7})
	c.Handle(40*time.Second, GetJob{RequestID: 1, ID: id})
	c.Advance(40 * time.Second)
	out := completeBarrier(c, 41*time.Second)
	if s := outputsOfType[ReadRange](out); len(s) != 1 || s[0].Key != keyJob+id {
		t.Fatalf("got %+v", out)
	}
	out = answerRead(
		t,
		c,
		41*time.Second,
		out,
		RangeResult{
			Status:   wire.StatusOK,
			Revision: 50000,
			Items: []wire.KeyValue{
				{Key: keyJob + id, Value: json.RawMessage(`{"h":1,"st":"d","d":[0,4]}`), Revision: 1},
			},
		},
	)
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusOK || r[0].Body.(wire.JobState).Done != 5 {
		t.Errorf("got %+v", r)
	}
}

// A record is gone, as it moved a moment ago; the block in memory is older and the news of the move
// is still on its way. Only a block read after that tells.
func TestRecordMovesBetweenTwoReads(t *testing.T) {
	c := newCoreWithArchive(t)
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-1"}) // brings the block into memory
	c.Advance(1200 * time.Millisecond)
	answerRead(
		t,
		c,
		1400*time.Millisecond,
		completeBarrier(c, 1300*time.Millisecond),
		archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-7", CompletedTasks: 2}),
	)
	c.history.coldRecords = 3
	c.Handle(1600*time.Millisecond, GetJob{RequestID: 2, ID: "wk-2"})
	c.Advance(1600 * time.Millisecond)
	out := completeBarrier(c, 1800*time.Millisecond)
	out = answerRead(t, c, 1900*time.Millisecond, out, RangeResult{Status: wire.StatusNotFound, Revision: 30})
	if len(outputsOfType[Response](out)) != 0 {
		t.Fatalf("answered from an older block: %+v", out)
	}
	out = answerRead(
		t,
		c,
		2000*time.Millisecond,
		out,
		archiveBlockPage(t, 28, 30, archive.Entry{ID: "wk-2", CompletedTasks: 2}),
	)
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusOK {
		t.Errorf("got %+v", r)
	}
}

// newSweepingCore is a leader with ended jobs enough to move some, that has read the first page of them.
func newSweepingCore(t *testing.T, n int) (*Core, []Output, RangeResult) {
	t.Helper()
	c := newCoreWithArchive(t)
	c.cfg.History.MaxEndedJobs = 2
	log := []wire.WatchEvent{
		event(keyLeader, string(c.leasedValue(1)), 11),
		event(keyNode+"n0", string(c.leasedValue(0)), 11),
	}
	for _, name := range []string{"n0", "n1", "n2"} {
		log = append(log, event(keySchemaVersion+name, fmt.Sprint(SchemaVersion), 11))
	}
	var page RangeResult
	for i := range n {
		e := event(fmt.Sprintf("%swk-%03d", keyJob, i), `{"h":0,"st":"d","d":[0,1]}`, uint64(12+i))
		log = append(log, e)
		page.Items = append(page.Items, wire.KeyValue{Key: e.Put, Value: e.Value, Revision: e.Revision})
	}
	page.Status, page.Revision = wire.StatusOK, uint64(12+n)
	watchEvents(c, 1200*time.Millisecond, page.Revision, log...)
	c.Handle(4*time.Second, LeaseResult{Op: LeaseExtend, Status: wire.StatusOK, LeaseID: 7})
	for at := 4 * time.Second; at < 10*time.Second; at += 50 * time.Millisecond {
		if out := c.Advance(at); len(outputsOfType[ReadRange](out)) == 1 {
			return c, out, page
		}
		c.ownLease.expiresAt, c.replica.barrierInFlight, c.replica.barrierWaiters = at+time.Minute, false, nil
		for _, x := range c.transactions.inFlight {
			x.onDone(wire.StatusOK, wire.TxnResponse{})
		}
		clear(c.transactions.inFlight)
	}
	t.Fatal("no sweep begins")
	return nil, nil, page
}

func findArchiveTxn(out []Output) *CommitTxn {
	for _, o := range outputsOfType[CommitTxn](out) {
		if slices.ContainsFunc(
			o.Txn.Then,
			func(w wire.Write) bool { return strings.HasPrefix(w.Put, archive.BlockPrefix) },
		) {
			return &o
		}
	}
	return nil
}

// A move is one transaction on condition of the leadership, the block and every record, within its
// limits; those that ended last stay. After an unknown outcome all is read again, and what was
// executed late is found moved.
func TestMoveIsOneTransaction(t *testing.T) {
	c, out, page := newSweepingCore(t, 8)
	at := c.now + 50*time.Millisecond
	out = answerRead(t, c, at, out, page)
	out = append(out, c.Advance(at+time.Second)...)
	out = answerRead(t, c, at+2*time.Second, out, RangeResult{Status: wire.StatusOK, Revision: page.Revision})
	x := findArchiveTxn(append(out, c.Advance(at+3*time.Second)...))
	if x == nil {
		t.Fatal("nothing moves")
	}
	deletes := 0
	for _, w := range x.Txn.Then {
		if w.Delete == "" {
			continue
		}
		deletes++
		i := slices.IndexFunc(page.Items, func(it wire.KeyValue) bool { return it.Key == w.Delete })
		if !slices.Contains(x.Txn.Compare, wire.Compare{Key: w.Delete, Revision: page.Items[i].Revision}) || i > 5 {
			t.Errorf("%s moves without a condition, or too soon", w.Delete)
		}
	}
	if deletes != 6 || len(x.Txn.Then) != 7 ||
		!slices.Contains(x.Txn.Compare, wire.Compare{Key: keyLeader, Revision: 11}) ||
		!slices.Contains(x.Txn.Compare, wire.Compare{Key: archive.BlockKey(archive.MaxID)}) {
		t.Errorf("got %+v", x.Txn)
	}
	c.Handle(at+4*time.Second, TxnResult{ID: x.ID})
	out = c.Advance(at + 6*time.Second)
	s := outputsOfType[ReadRange](out)
	if len(s) != 1 || s[0].Prefix != keyJob || s[0].AfterKey >= keyJob+"wk-000" {
		t.Fatalf("after an unknown outcome: %+v", out)
	}
	page.Items = page.Items[6:]
	c.Handle(at+6*time.Second, RangeResult{ID: s[0].ID, Status: wire.StatusOK, Revision: page.Revision + 1, Items: page.Items})
	for d := range 10 {
		if x := findArchiveTxn(c.Advance(at + 7*time.Second + time.Duration(d)*time.Second)); x != nil {
			t.Fatalf("moved again: %+v", x.Txn)
		}
	}
	if c.archiving.sweep != nil && len(c.archiving.sweep.pending) > 0 {
		t.Error("the sweep does not end")
	}
}

// All controllers start at once, with a long history: each read all keys at a fifth of the rate, and
// nobody served for longer than a minute. The one that is furthest goes on, the others wait.
func TestOneControllerReadsAheadOfTheOthers(t *testing.T) {
	for pages, ahead := range map[int]bool{10: false, 30: true} {
		c := New(testConfig(), 0, 1)
		at := time.Second
		c.Advance(at)
		for p := range fastSnapshotPages {
			at += 100 * time.Millisecond
			c.Handle(
				at,
				SnapshotPage{
					OK:       true,
					Status:   wire.StatusOK,
					Revision: 9,
					More:     true,
					Items: []wire.KeyValue{
						{Key: fmt.Sprintf("%swk-%d", keyJob, p), Value: json.RawMessage(`{"st":"d"}`), Revision: 5},
					},
				},
			)
			if p < fastSnapshotPages-1 && len(outputsOfType[LoadSnapshot](c.Advance(at))) != 1 {
				t.Fatal("a short history is not read at once")
			}
		}
		c.Handle(at, PeerMessage{Peer: "n1", Message: Message{Health: &Health{SnapshotPagesRead: pages}}})
		at += 200 * time.Millisecond
		if got := len(outputsOfType[LoadSnapshot](c.Advance(at))) == 0; got != ahead {
			t.Errorf("another has read %d pages: waits %v", pages, got)
		}
		at += 2 * time.Second // it is not heard of any more
		c.Advance(at)
		if c.replica.pageInFlight == false && len(outputsOfType[LoadSnapshot](c.Advance(at))) == 0 {
			t.Error("it waits for ever")
		}
	}
}

// A record that can't be read exists all the same: neither 404 nor a second acceptance.
func TestUnreadableRecordIsNotDenied(t *testing.T) {
	c := newServingCore(t)
	watchEvents(c, 1100*time.Millisecond, 10, event(keyJob+"wk-7", `{"st":5}`, 10))
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-7"})
	c.Advance(1200 * time.Millisecond)
	out := answerRead(
		t,
		c,
		1400*time.Millisecond,
		completeBarrier(c, 1300*time.Millisecond),
		RangeResult{
			Status:   wire.StatusOK,
			Revision: 10,
			Items:    []wire.KeyValue{{Key: keyJob + "wk-7", Value: json.RawMessage(`{"st":5}`), Revision: 10}},
		},
	)
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusUnavailable || r[0].RetryAfterSeconds == 0 {
		t.Errorf("got %+v", r)
	}
}

// The block of a new job's range was read anew, for somebody else, between its submission and its write, and
// holds it: on condition of that block, it would have been revived.
func TestBlockShowsAJobBetweenItsSubmissionAndItsWrite(t *testing.T) {
	c := newCoreWithArchive(t)
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-1"}) // brings the block into memory
	c.Advance(1200 * time.Millisecond)
	answerRead(
		t,
		c,
		1400*time.Millisecond,
		completeBarrier(c, 1300*time.Millisecond),
		archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-7", CompletedTasks: 2}),
	)
	c.Handle(1500*time.Millisecond, testSubmission("wk-5"))
	b := archive.EmptyBlock().Merge([]archive.Entry{{ID: "wk-5", CompletedTasks: 1}})
	raw, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.history.archiveIndex.Put(b, raw, 12, 12)
	out := append(c.Advance(1500*time.Millisecond), c.Advance(1600*time.Millisecond)...)
	if r := outputsOfType[Response](out); findAcceptTxn(out, "wk-5") != nil || len(r) != 1 || r[0].Status != wire.StatusOK {
		t.Errorf("written: %v, answered %+v", findAcceptTxn(out, "wk-5") != nil, r)
	}
}

// A record read by its key that the stream of changes has not shown yet is not one of those that
// were counted as cold. It was counted out, and the next accepted job that had left memory was
// denied, as no record seemed to be left to look for.
func TestRecordAheadOfTheWatchIsNotCountedAsCold(t *testing.T) {
	const over = `{"h":0,"st":"c"}`
	old, fresh := event(keyJob+"wk-000001", over, 4), event(keyJob+"wk-000002", over, 9)
	c := newServingCore(t)
	c.history.coldRecords = 1 // wk-000001, which left memory
	now, shown := 1100*time.Millisecond, uint64(0)
	// asks polls a job, and answers reads of records as they are, and reads of changes up to shown.
	asks := func(id string) (replies []Response) {
		c.Handle(now, GetJob{RequestID: 1, ID: id})
		for range 12 {
			now += 50 * time.Millisecond
			out := c.Advance(now)
			replies = append(replies, outputsOfType[Response](out)...)
			for _, s := range outputsOfType[ReadRange](out) {
				in := RangeResult{ID: s.ID, Status: wire.StatusNotFound, Revision: 9}
				for _, e := range []wire.WatchEvent{old, fresh} {
					if e.Put == s.Key {
						in.Status, in.Items = wire.StatusOK, []wire.KeyValue{{Key: e.Put, Value: e.Value, Revision: e.Revision}}
					}
				}
				c.Handle(now, in)
			}
			for _, x := range outputsOfType[Watch](out) {
				if x.LongPoll {
					continue
				}
				in := WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 6}}
				if shown > 0 {
					in.Changes = wire.WatchResponse{Revision: shown, Events: []wire.WatchEvent{fresh}}
				}
				c.Handle(now, in)
				shown = 9 // wk-000002 is accepted and cancelled between the read of changes and that of its record
			}
		}
		return replies
	}
	for _, id := range []string{"wk-000002", "wk-000001"} {
		if r := asks(id); len(r) != 1 || r[0].Status != wire.StatusOK ||
			r[0].Body.(wire.JobState).Stage != wire.StageCancelled {
			t.Errorf("%s, accepted and cancelled: got %+v", id, r)
		}
	}
}
