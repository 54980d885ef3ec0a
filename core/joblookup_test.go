package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/archive"
	"dewlift/wire"
)

// archiveBlockPage returns the result of reading the only block of an archive. blockRevision is that of the
// block's key, and storeRevision that of the store.
func archiveBlockPage(t *testing.T, blockRevision, storeRevision uint64, entries ...archive.Entry) RangeResult {
	t.Helper()
	block := archive.EmptyBlock().Merge(entries)
	raw, err := block.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return RangeResult{
		Status:   wire.StatusOK,
		Revision: storeRevision,
		Items:    []wire.KeyValue{{Key: archive.BlockKey(block.High), Value: raw, Revision: blockRevision}},
	}
}

// event returns the watch event of a write to a key.
func event(key, value string, revision uint64) wire.WatchEvent {
	return wire.WatchEvent{Put: key, Value: json.RawMessage(value), Revision: revision}
}

// watchEvents delivers watch events up to a revision of the store.
func watchEvents(c *Core, at time.Duration, revision uint64, events ...wire.WatchEvent) []Output {
	changes := wire.WatchResponse{Revision: revision, Events: events}
	c.Handle(at, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: changes})
	return c.Advance(at)
}

// completeBarrier completes a read barrier without changes.
func completeBarrier(c *Core, at time.Duration) []Output {
	c.Handle(at, WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: c.replica.revision}})
	return c.Advance(at)
}

// answerRead responds to the one read that is in flight.
func answerRead(t *testing.T, c *Core, at time.Duration, out []Output, in RangeResult) []Output {
	t.Helper()
	reads := outputsOfType[ReadRange](out)
	if len(reads) != 1 {
		t.Fatalf("%d reads are in flight: %+v", len(reads), reads)
	}
	in.ID = reads[0].ID
	c.Handle(at, in)
	return c.Advance(at)
}

// newCoreWithArchive returns a serving core that knows that an archive exists.
func newCoreWithArchive(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	watchEvents(c, 1100*time.Millisecond, 10, event(keyHistory, "1", 10))
	return c
}

// findAcceptTxn returns the transaction that writes a job's record, or nil if there is none.
func findAcceptTxn(out []Output, id string) *CommitTxn {
	for _, commit := range outputsOfType[CommitTxn](out) {
		for _, write := range commit.Txn.Then {
			if write.Put == keyJob+id {
				return &commit
			}
		}
	}
	return nil
}

// Accepting a new job must not recreate an archived one: a transaction may be executed minutes late, after
// the job was accepted elsewhere, ran, ended and was archived. So the write is conditional on the block of
// the job's ID range being unchanged since it was seen not to contain the job, or on there being no archive.
func TestNewJobIsWrittenOnlyIfItIsNotArchived(t *testing.T) {
	c := newServingCore(t)
	c.Handle(time.Second, testSubmission("wk-1"))
	if accept := findAcceptTxn(c.Advance(1100*time.Millisecond), "wk-1"); accept == nil ||
		!slices.Contains(accept.Txn.Compare, wire.Compare{Key: keyHistory}) {
		t.Errorf("before there is an archive: %+v", accept)
	}
	c = newCoreWithArchive(t)
	c.Handle(1200*time.Millisecond, testSubmission("wk-5"))
	out := c.Advance(1200 * time.Millisecond)
	if findAcceptTxn(out, "wk-5") != nil {
		t.Fatal("the job was written without a lookup in the archive")
	}
	out = answerRead(
		t,
		c,
		1300*time.Millisecond,
		out,
		archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-6", CompletedTasks: 3}),
	)
	accept := findAcceptTxn(out, "wk-5")
	blockUnchanged := wire.Compare{Key: archive.BlockKey(archive.MaxID), Revision: 9}
	if accept == nil || !slices.Contains(accept.Txn.Compare, blockUnchanged) {
		t.Fatalf("got %+v", accept)
	}
	// The write conflicts with a move into that block. The block is read again and now contains the job.
	c.Handle(1400*time.Millisecond, TxnResult{
		ID:     accept.ID,
		Status: wire.StatusConflict,
		Reply:  wire.TxnResponse{Failed: []string{archive.BlockKey(archive.MaxID)}},
	})
	c.Advance(1400 * time.Millisecond)
	out = completeBarrier(c, 1500*time.Millisecond)
	out = answerRead(
		t,
		c,
		1600*time.Millisecond,
		out,
		archiveBlockPage(t, 12, 12, archive.Entry{ID: "wk-5", CompletedTasks: 1}),
	)
	responses := outputsOfType[Response](out)
	if len(responses) != 1 || responses[0].Status != wire.StatusOK ||
		responses[0].Body.(wire.JobState).Stage != wire.StageDone {
		t.Errorf("the repeated submission of an archived job got %+v", responses)
	}
}

// Requests for an archived job must be answered as before it was archived, and repeated ones must need no
// further read.
func TestArchivedJobIsAnswered(t *testing.T) {
	c := newCoreWithArchive(t)
	entry := archive.Entry{
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
		archiveBlockPage(t, 9, 10, entry),
	)
	c.Handle(1500*time.Millisecond, CancelJob{RequestID: 2, ID: "wk-7"})
	c.Handle(1500*time.Millisecond, SubmitJob{RequestID: 3, ID: "wk-7", DecodeError: "nonsense"})
	c.Handle(1500*time.Millisecond, WatchResult{LongPoll: true, Status: wire.StatusUnavailable}) // in an outage too
	out = append(out, c.Advance(1500*time.Millisecond)...)
	want := wire.JobState{
		ID:          "wk-7",
		Stage:       wire.StageCancelled,
		Done:        2,
		CancelledBy: "wk-3",
		TaskStops:   []wire.TaskStop{{Task: 1, Machine: "m-1", Cause: "idle", AtMS: 77}},
	}
	responses := outputsOfType[Response](out)
	if len(responses) != 3 {
		t.Fatalf("got %+v", responses)
	}
	for _, response := range responses {
		if response.Status != wire.StatusOK || fmt.Sprint(response.Body) != fmt.Sprint(want) {
			t.Errorf("got %+v", response)
		}
	}
	// After a read barrier, the same block shows without another read that a job was never accepted.
	c.Handle(1600*time.Millisecond, GetJob{RequestID: 4, ID: "wk-8"})
	c.Advance(1600 * time.Millisecond)
	out = completeBarrier(c, 1700*time.Millisecond)
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusNotFound ||
		len(outputsOfType[ReadRange](out)) != 0 {
		t.Errorf("got %+v", out)
	}
	// After a move into its range, the cached block must no longer be used for that.
	watchEvents(c, 1800*time.Millisecond, 20, wire.WatchEvent{Delete: keyJob + "wk-8", Revision: 20})
	c.Handle(1900*time.Millisecond, GetJob{RequestID: 5, ID: "wk-8"})
	c.Advance(1900 * time.Millisecond)
	if out = completeBarrier(c, 2000*time.Millisecond); len(outputsOfType[ReadRange](out)) != 1 {
		t.Errorf("an outdated block was used to answer: %+v", out)
	}
}

// A queued job may depend on a job that ended and was archived before this controller started. The dependency
// must be resolved from the archive.
func TestDependencyArchivedBeforeStartIsResolved(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		c := newCoreWithArchive(t)
		out := watchEvents(
			c,
			1200*time.Millisecond,
			11,
			event(keyJob+"wk-2", `{"h":0,"s":{"tm":"t","n":1,"rc":[1000,0,1000],"aw":["wk-1"]}}`, 11),
		)
		dependent := c.knownJob("wk-2")
		if dependent.unmetDependencies != 1 || dependent.isFinal() {
			t.Fatal("the job does not wait for its dependency")
		}
		answerRead(
			t,
			c,
			1300*time.Millisecond,
			out,
			archiveBlockPage(t, 9, 11, archive.Entry{ID: "wk-1", Cancelled: cancelled, CompletedTasks: 1}),
		)
		if !cancelled && (dependent.unmetDependencies != 0 || !dependent.placement.hasUnplacedTasks) ||
			cancelled && (!dependent.isFinal() || dependent.cancelledBy.id != "wk-1") {
			t.Errorf("dependency cancelled %v: %d unmet dependencies, final %v",
				cancelled, dependent.unmetDependencies, dependent.isFinal())
		}
	}
}

// Jobs may end and be archived while the watch is interrupted (status 410). As they still run according to
// the replica, they must count as unknown until the archive is read.
func TestJobArchivedWhileWatchWasInterrupted(t *testing.T) {
	c := newCoreWithArchive(t)
	watchEvents(
		c,
		1200*time.Millisecond,
		11,
		event(
			keyJob+"wk-2",
			`{"h":0,"s":{"tm":"t","n":1,"rc":[1000,0,1000]},`+
				`"a":[{"z":"a","s":1,"p":"m-1","m":[""],"n":[1],"r":[0,1,1]}]}`,
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
	responses := outputsOfType[Response](out)
	if len(responses) != 1 || responses[0].Status != wire.StatusOK ||
		responses[0].Body.(wire.JobState).Stage != wire.StageDone ||
		len(c.internMachine("m-1").allocation.assignments) != 0 {
		t.Errorf("got %+v", responses)
	}
}

// A corrupt block must not cause a job that it may contain to be reported as missing or accepted again. All
// other requests must be served.
func TestCorruptBlockMakesItsRangeUnavailable(t *testing.T) {
	c := newCoreWithArchive(t)
	corrupt := archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-7", CompletedTasks: 2})
	raw := slices.Clone(corrupt.Items[0].Value)
	raw[len(raw)-8]++
	corrupt.Items[0].Value = raw
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-7"})
	c.Advance(1200 * time.Millisecond)
	out := answerRead(t, c, 1400*time.Millisecond, completeBarrier(c, 1300*time.Millisecond), corrupt)
	logged := slices.ContainsFunc(outputsOfType[LogLine](out), func(line LogLine) bool {
		return line.Level == LevelError && strings.Contains(fmt.Sprint(line.Args), archive.BlockKey(archive.MaxID))
	})
	c.Handle(1500*time.Millisecond, testSubmission("wk-8"))
	out = append(out, c.Advance(1500*time.Millisecond)...)
	for _, r := range outputsOfType[Response](out) {
		if r.Status != wire.StatusUnavailable || r.RetryAfterSeconds == 0 {
			t.Errorf("got %+v", r)
		}
	}
	if len(outputsOfType[Response](out)) != 2 || !logged || findAcceptTxn(out, "wk-8") != nil {
		t.Errorf("corrupt block logged: %v, got %+v", logged, out)
	}
	watchEvents(c, 1600*time.Millisecond, 11, event(keyJob+"wk-9", `{"h":0,"st":"d","d":[0,1]}`, 11))
	c.Handle(1700*time.Millisecond, GetJob{RequestID: 3, ID: "wk-9"})
	if r := outputsOfType[Response](c.Advance(1700 * time.Millisecond)); len(r) != 1 || r[0].Status != wire.StatusOK {
		t.Errorf("another job got %+v", r)
	}
}

// A controller that starts must keep only the most recently ended jobs in memory, because a million ended
// jobs exceed the memory of a controller. The others must be read on request.
func TestSnapshotLoadBoundsEndedJobsInMemory(t *testing.T) {
	c := newServingCore(t)
	c.Handle(2*time.Second, WatchResult{LongPoll: true, Status: wire.StatusGone})
	maxInMemory := 0
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
		maxInMemory = max(maxInMemory, len(c.jobIndex))
	}
	h := &c.history
	if maxInMemory > 1000 || len(c.jobs) > 1000 || len(h.endedJobs)+h.coldRecords != 10000 {
		t.Fatalf("%d jobs in memory at most, %d kept, %d cold", maxInMemory, len(h.endedJobs), h.coldRecords)
	}
	for _, kept := range h.endedJobs {
		if kept.revision < 10000-uint64(c.history.maxEndedInMemory()) {
			t.Fatalf("a job that ended at revision %d is kept", kept.revision)
		}
	}
	id := fmt.Sprintf("wk-%06d", 0)
	c.Handle(40*time.Second, LeaseResult{Op: LeaseExtend, Status: wire.StatusOK, LeaseID: 7})
	c.Handle(40*time.Second, GetJob{RequestID: 1, ID: id})
	c.Advance(40 * time.Second)
	out := completeBarrier(c, 41*time.Second)
	if reads := outputsOfType[ReadRange](out); len(reads) != 1 || reads[0].Key != keyJob+id {
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
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusOK ||
		r[0].Body.(wire.JobState).Done != 5 {
		t.Errorf("got %+v", r)
	}
}

// A record was just archived: it is absent from the store, the cached block is older than the move, and the
// watch has not delivered the move yet. Only a block read after the move may be used to answer.
func TestRecordMovesBetweenTwoReads(t *testing.T) {
	c := newCoreWithArchive(t)
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-1"}) // caches the block
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
		t.Fatalf("answered from a block older than the move: %+v", out)
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

// newCoreWithArchiveSweep returns a leader with enough ended jobs that it has started a sweep, its outputs
// with the first read of the sweep, and the page that answers that read.
func newCoreWithArchiveSweep(t *testing.T, jobs int) (*Core, []Output, RangeResult) {
	t.Helper()
	c := newCoreWithArchive(t)
	c.cfg.History.MaxEndedJobs = 2
	events := []wire.WatchEvent{
		event(keyLeader, string(c.ownLease.leasedValue(1)), 11),
		event(keyRegistration+"n0", string(c.ownLease.leasedValue(0)), 11),
	}
	for _, name := range []string{"n0", "n1", "n2"} {
		events = append(events, event(keySchemaVersion+name, fmt.Sprint(SchemaVersion), 11))
	}
	var page RangeResult
	for i := range jobs {
		ended := event(fmt.Sprintf("%swk-%03d", keyJob, i), `{"h":0,"st":"d","d":[0,1]}`, uint64(12+i))
		events = append(events, ended)
		page.Items = append(page.Items, wire.KeyValue{Key: ended.Put, Value: ended.Value, Revision: ended.Revision})
	}
	page.Status, page.Revision = wire.StatusOK, uint64(12+jobs)
	watchEvents(c, 1200*time.Millisecond, page.Revision, events...)
	c.Handle(4*time.Second, LeaseResult{Op: LeaseExtend, Status: wire.StatusOK, LeaseID: 7})
	for at := 4 * time.Second; at < 10*time.Second; at += 50 * time.Millisecond {
		if out := c.Advance(at); len(outputsOfType[ReadRange](out)) == 1 {
			return c, out, page
		}
		c.ownLease.expiresAt, c.replica.barrierInFlight, c.replica.barrierWaiters = at+time.Minute, false, nil
		for _, pending := range c.transactions.inFlight {
			pending.onDone(wire.StatusOK, wire.TxnResponse{})
		}
		clear(c.transactions.inFlight)
	}
	t.Fatal("no sweep was started")
	return nil, nil, page
}

// findArchiveTxn returns the transaction that writes a block, or nil if there is none.
func findArchiveTxn(out []Output) *CommitTxn {
	for _, commit := range outputsOfType[CommitTxn](out) {
		if slices.ContainsFunc(commit.Txn.Then, func(w wire.Write) bool {
			return strings.HasPrefix(w.Put, archive.BlockPrefix)
		}) {
			return &commit
		}
	}
	return nil
}

// A move must be one transaction that is conditional on the leadership, the block and each record, and the
// most recently ended jobs must not be archived. After an unknown outcome the records must be read again, and
// a move that was executed late must not be repeated.
func TestArchiveMoveIsOneTransaction(t *testing.T) {
	c, out, page := newCoreWithArchiveSweep(t, 8)
	at := c.now + 50*time.Millisecond
	out = answerRead(t, c, at, out, page)
	out = append(out, c.Advance(at+time.Second)...)
	out = answerRead(t, c, at+2*time.Second, out, RangeResult{Status: wire.StatusOK, Revision: page.Revision})
	move := findArchiveTxn(append(out, c.Advance(at+3*time.Second)...))
	if move == nil {
		t.Fatal("no record was archived")
	}
	conditions, deletes := move.Txn.Compare, 0
	for _, write := range move.Txn.Then {
		if write.Delete == "" {
			continue
		}
		deletes++
		i := slices.IndexFunc(page.Items, func(item wire.KeyValue) bool { return item.Key == write.Delete })
		if !slices.Contains(conditions, wire.Compare{Key: write.Delete, Revision: page.Items[i].Revision}) || i > 5 {
			t.Errorf("%s was archived too early or without a condition on its revision", write.Delete)
		}
	}
	if deletes != 6 || len(move.Txn.Then) != 7 ||
		!slices.Contains(conditions, wire.Compare{Key: keyLeader, Revision: 11}) ||
		!slices.Contains(conditions, wire.Compare{Key: archive.BlockKey(archive.MaxID)}) {
		t.Errorf("got %+v", move.Txn)
	}
	c.Handle(at+4*time.Second, TxnResult{ID: move.ID}) // unknown outcome
	out = c.Advance(at + 6*time.Second)
	reads := outputsOfType[ReadRange](out)
	if len(reads) != 1 || reads[0].Prefix != keyJob || reads[0].AfterKey >= keyJob+"wk-000" {
		t.Fatalf("after an unknown outcome: %+v", out)
	}
	page.ID, page.Revision, page.Items = reads[0].ID, page.Revision+1, page.Items[6:]
	c.Handle(at+6*time.Second, page)
	for i := range 10 {
		if again := findArchiveTxn(c.Advance(at + time.Duration(7+i)*time.Second)); again != nil {
			t.Fatalf("archived again: %+v", again.Txn)
		}
	}
	if c.archiving.sweep != nil && len(c.archiving.sweep.pending) > 0 {
		t.Error("the sweep did not finish")
	}
}

// When all controllers started at once with a long history, each read all keys at a fifth of the rate, and
// none served for more than a minute. The controller that has read most must continue while the others wait.
func TestControllersWaitForMostAdvancedSnapshotLoad(t *testing.T) {
	for pages, ahead := range map[int]bool{10: false, 30: true} {
		c := New(testConfig(), 0, 1)
		at := time.Second
		c.Advance(at)
		for page := range fastSnapshotPages {
			at += 100 * time.Millisecond
			c.Handle(
				at,
				SnapshotPage{
					OK:       true,
					Status:   wire.StatusOK,
					Revision: 9,
					More:     true,
					Items: []wire.KeyValue{
						{Key: fmt.Sprintf("%swk-%d", keyJob, page), Value: json.RawMessage(`{"st":"d"}`), Revision: 5},
					},
				},
			)
			if page < fastSnapshotPages-1 && len(outputsOfType[LoadSnapshot](c.Advance(at))) != 1 {
				t.Fatal("a short history must be read without waiting")
			}
		}
		c.Handle(at, PeerMessage{Peer: "n1", Message: Message{Health: &Health{SnapshotPagesRead: pages}}})
		at += 200 * time.Millisecond
		if got := len(outputsOfType[LoadSnapshot](c.Advance(at))) == 0; got != ahead {
			t.Errorf("another controller has read %d pages: waiting is %v", pages, got)
		}
		at += 2 * time.Second // no more messages from the other controller
		c.Advance(at)
		if !c.replica.pageInFlight && len(outputsOfType[LoadSnapshot](c.Advance(at))) == 0 {
			t.Error("the core waits for a controller that sends no messages")
		}
	}
}

// A record that can't be decoded exists nevertheless: requests for its job must not be answered with 404.
func TestUndecodableRecordIsNotReportedAsMissing(t *testing.T) {
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
	if r := outputsOfType[Response](out); len(r) != 1 || r[0].Status != wire.StatusUnavailable ||
		r[0].RetryAfterSeconds == 0 {
		t.Errorf("got %+v", r)
	}
}

// The block of a new job's ID range is read again for another request, between the job's submission and its
// write, and now contains the job. A write that is conditional on that block would recreate the archived job.
func TestBlockReadAfterSubmissionPreventsAcceptance(t *testing.T) {
	c := newCoreWithArchive(t)
	c.Handle(1200*time.Millisecond, GetJob{RequestID: 1, ID: "wk-1"}) // caches the block
	c.Advance(1200 * time.Millisecond)
	answerRead(
		t,
		c,
		1400*time.Millisecond,
		completeBarrier(c, 1300*time.Millisecond),
		archiveBlockPage(t, 9, 10, archive.Entry{ID: "wk-7", CompletedTasks: 2}),
	)
	c.Handle(1500*time.Millisecond, testSubmission("wk-5"))
	block := archive.EmptyBlock().Merge([]archive.Entry{{ID: "wk-5", CompletedTasks: 1}})
	raw, err := block.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.history.blockCache.Put(block, raw, 12, 12)
	out := append(c.Advance(1500*time.Millisecond), c.Advance(1600*time.Millisecond)...)
	written, r := findAcceptTxn(out, "wk-5") != nil, outputsOfType[Response](out)
	if written || len(r) != 1 || r[0].Status != wire.StatusOK {
		t.Errorf("written: %v, answered %+v", written, r)
	}
}

// A record that is read before the watch delivers it is not counted as cold, so it must not be subtracted
// from the count. Otherwise the next request for a job that was evicted from memory is answered as if the job
// did not exist, because no cold record seems to be left.
func TestRecordAheadOfTheWatchIsNotCountedAsCold(t *testing.T) {
	const cancelled = `{"h":0,"st":"c"}`
	old, fresh := event(keyJob+"wk-000001", cancelled, 4), event(keyJob+"wk-000002", cancelled, 9)
	c := newServingCore(t)
	c.history.coldRecords = 1 // wk-000001, which was evicted from memory
	now, shown := 1100*time.Millisecond, uint64(0)
	// poll requests the state of a job. It answers record reads truthfully, and read barriers up to the
	// revision shown.
	poll := func(id string) (responses []Response) {
		c.Handle(now, GetJob{RequestID: 1, ID: id})
		for range 12 {
			now += 50 * time.Millisecond
			out := c.Advance(now)
			responses = append(responses, outputsOfType[Response](out)...)
			for _, read := range outputsOfType[ReadRange](out) {
				in := RangeResult{ID: read.ID, Status: wire.StatusNotFound, Revision: 9}
				for _, record := range []wire.WatchEvent{old, fresh} {
					if record.Put == read.Key {
						item := wire.KeyValue{Key: record.Put, Value: record.Value, Revision: record.Revision}
						in.Status, in.Items = wire.StatusOK, []wire.KeyValue{item}
					}
				}
				c.Handle(now, in)
			}
			for _, watch := range outputsOfType[Watch](out) {
				if watch.LongPoll {
					continue
				}
				in := WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 6}}
				if shown > 0 {
					in.Changes = wire.WatchResponse{Revision: shown, Events: []wire.WatchEvent{fresh}}
				}
				c.Handle(now, in)
				shown = 9 // wk-000002 is accepted and cancelled between the barrier and the read of its record
			}
		}
		return responses
	}
	for _, id := range []string{"wk-000002", "wk-000001"} {
		if r := poll(id); len(r) != 1 || r[0].Status != wire.StatusOK ||
			r[0].Body.(wire.JobState).Stage != wire.StageCancelled {
			t.Errorf("%s, accepted and cancelled: got %+v", id, r)
		}
	}
}
