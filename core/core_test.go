package core

import (
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

func testConfig() Config {
	return Config{
		Cluster: ClusterConfig{
			LeaseTTL:       4 * time.Second,
			RelayTimeout:   3 * time.Second,
			PeerTimeout:    1500 * time.Millisecond,
			HealthInterval: 500 * time.Millisecond,
		},
		Store: StoreConfig{
			RequestRate:   100,
			WriteRate:     100,
			MaxWriteShare: 0.6,
			MaxValueBytes: 8192,
			MaxTxnOps:     12,
		},
		Autoscaling: AutoscalingConfig{
			CloudRequestRate:  4,
			BootTimeoutFactor: 3,
			CloudListInterval: 2500 * time.Millisecond,
			ScaleOutLeadTime:  3 * time.Second,
		},
		Agents: AgentConfig{
			HeartbeatInterval:    3 * time.Second,
			LeaseTTL:             20 * time.Second,
			CancelTimeout:        40 * time.Second,
			SilenceTimeout:       2 * time.Second,
			CommandRetryInterval: time.Second,
			MaxCommandRequests:   400,
			MaxPollRequests:      100,
			EndedTaskClearDelay:  2 * time.Second,
			CancelScaleInShare:   0.35,
			LostTaskBatchDelay:   700 * time.Millisecond,
		},
		State: StateConfig{
			DeltaInterval:    50 * time.Millisecond,
			PushInterval:     200 * time.Millisecond,
			CopyExpiry:       10 * time.Second,
			FullPushInterval: 10 * time.Second,
			MinPushInterval:  100 * time.Millisecond,
		},
		Scheduling: SchedulingConfig{
			CandidateRatio:          2,
			PreemptionRetryInterval: 4 * time.Second,
			MaxEndBatchDelay:        2 * time.Second,
			SubmitWriteTimeout:      1500 * time.Millisecond,
			FullScanInterval:        20 * time.Second,
		},
		History: HistoryConfig{
			MaxEndedJobs: 100,
			CacheBytes:   1 << 20,
			ReadShare:    0.5,
			Archive:      true,
		},

		SchemaVersion: SchemaVersion,
		Name:          "n0",
		Peers:         []string{"n1", "n2"},
		Teams:         []Team{{Name: "t"}},

		Shards: 4,
	}
}

func outputsOfType[T Output](out []Output) []T {
	var got []T
	for _, o := range out {
		if v, ok := o.(T); ok {
			got = append(got, v)
		}
	}
	return got
}

// Controllers that restarted while the cloud was down served nobody until it was back: they
// did not know the machine types.
func TestServesWithStoredMachineTypesWhileCloudIsDown(t *testing.T) {
	raw, err := json.Marshal(
		wire.Catalog{Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}}},
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, kept := range []bool{false, true} {
		c := New(testConfig(), 0, 1)
		c.Advance(time.Second)
		in := SnapshotPage{OK: true, Revision: 5}
		if kept {
			in.Items = []wire.KeyValue{{Key: keyMachineTypes, Value: raw, Revision: 5}}
		}
		c.Handle(1001*time.Millisecond, in)
		c.Handle(1002*time.Millisecond, LeaseResult{Op: LeaseGrant, Status: wire.StatusOK, LeaseID: 7})
		c.Advance(4 * time.Millisecond)
		if c.Healthy() != kept {
			t.Errorf("types kept %v: healthy %v", kept, c.Healthy())
		}
	}
}

// In an outage of the state service, a controller that cannot load yet must still vouch that
// it does not reach it: else the last loaded one lacks a majority and lets all tasks die.
func TestBroadcastsHealthBeforeSnapshotIsLoaded(t *testing.T) {
	c := New(testConfig(), 0, 1)
	msgs := outputsOfType[SendToPeer](c.Advance(time.Second))
	if len(msgs) != 1 || msgs[0].Message.Health == nil || msgs[0].Message.Health.StoreReachable {
		t.Fatalf("got %+v", msgs)
	}
}

// A job of the largest size must fit a value at every stage of its work, also when its tasks
// end in the order that leaves most pieces: every other one first.
func TestLargestJobFitsAValue(t *testing.T) {
	for _, perMachine := range []int{1, 8} {
		c := New(testConfig(), 0, 1)
		spec := &wire.JobSpec{
			ID:      "wk-1",
			Class:   "c",
			Team:    "t",
			Tasks:   wire.MaxTasksPerJob,
			Request: [3]int64{100, 0, 100},
		}
		rec := &jobrecord.Record{Spec: spec, CompletedTasks: jobrecord.TaskSet{0, 90_000}, LastAttempt: 91_000}
		var place []jobrecord.Assignment
		least := 1 << 20
		for round := 0; round < 40; round++ {
			p := &proposal{record: rec, spec: spec, assignments: place}
			for i, task := range rec.UnassignedTasks(place, c.maxAssignedTasks()-len(place)) {
				m := c.internMachine(wire.TaskName("m", 100000+1000*round+i/perMachine))
				m.identity.zone = "a-zone"
				rec.LastAttempt++
				a := jobrecord.Assignment{Task: task, Machine: m.index, Incarnation: 1, Attempt: rec.LastAttempt}
				p.assignments, p.started = append(p.assignments, a), append(p.started, a)
			}
			if _, err := c.encodeWithinLimit(p); err != nil {
				t.Fatal(err)
			}
			least = min(least, len(p.assignments))
			var odd []jobrecord.Assignment
			for i, a := range p.assignments {
				if i%2 == 0 {
					odd = append(odd, a)
					continue
				}
				rec.CompletedTasks = rec.CompletedTasks.Add(int(a.Task))
				if raw, err := c.encodeRecord(rec, append(slices.Clone(odd), p.assignments[i+1:]...), false); err != nil ||
					len(raw) > c.cfg.Store.MaxValueBytes {
					t.Fatalf("round %d: %d bytes, at most %d fit (%v)", round, len(raw), c.cfg.Store.MaxValueBytes, err)
				}
			}
			place = odd
			if round%2 == 1 { // then all the rest
				for _, a := range place {
					rec.CompletedTasks = rec.CompletedTasks.Add(int(a.Task))
				}
				place = nil
			}
		}
		if least < 150 {
			t.Errorf("only %d tasks placed at one time", least)
		}
	}
}

// A job none of whose waiting tasks fit its value any more was written again and again as it
// was, 20 times a second, and took the changes that others needed.
func TestFullRecordIsNotWrittenAgain(t *testing.T) {
	c := newLeadingCore(t)
	c.cfg.Store.MaxValueBytes = 1700
	in := testSubmission("wk-1")
	in.Spec.Tasks, in.Spec.Request, in.Spec.Class = 300, [3]int64{1, 0, 1}, strings.Repeat("c", 1200)
	c.Handle(time.Second, in)
	runFor(c, time.Second, 3*time.Second)
	j := c.internJob("wk-1")
	if n := len(j.assignments); n == 0 || n >= c.maxAssignedTasks() {
		t.Fatalf("%d of 300 tasks placed", n)
	}
	for now := 3 * time.Second; now < 6*time.Second; now += 100 * time.Millisecond {
		c.markDirty(j)
		for _, o := range outputsOfType[CommitTxn](c.Advance(now)) {
			for _, w := range o.Txn.Then {
				if w.Put == keyJob+"wk-1" {
					t.Fatalf("written again at %v without a change", now)
				}
			}
		}
	}
}

// Jobs of hundreds of tasks once were placed in portions of 170, each waiting for the ends of
// the one before.
func TestJobOfHundredsIsPlacedAtOnce(t *testing.T) {
	c := New(testConfig(), 0, 1)
	spec := &wire.JobSpec{
		ID:      "wk-1",
		Class:   "some-class",
		Team:    "t",
		Tasks:   500,
		Request: [3]int64{4000, 0, 8900},
		Image:   "an-image",
	}
	p := &proposal{record: &jobrecord.Record{Spec: spec, LastAttempt: 500}, spec: spec}
	for i := 0; i < 500; i++ {
		m := c.internMachine(wire.TaskName("m", 100000+i/5))
		m.identity.zone = []string{"a-zone", "b-zone"}[i/5%2]
		p.assignments = append(
			p.assignments,
			jobrecord.Assignment{Task: int32(i), Machine: m.index, Incarnation: 1, Attempt: uint64(i + 1)},
		)
	}
	p.started = p.assignments
	raw, err := c.encodeWithinLimit(p)
	if err != nil || len(p.assignments) != 500 {
		t.Fatalf("%d of 500 tasks placed (%v)", len(p.assignments), err)
	}
	checkKeepsAllAssignments(t, c, raw, p.assignments)
}

// checkKeepsAllAssignments checks that a record says all of its assignments.
func checkKeepsAllAssignments(t *testing.T, c *Core, raw json.RawMessage, place []jobrecord.Assignment) {
	t.Helper()
	r, err := jobrecord.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	back := map[jobrecord.Assignment]bool{}
	for _, a := range r.ExpandAssignments(c.internMachineInZone) {
		back[a] = true
	}
	for _, a := range place {
		if !back[a] {
			t.Fatalf("%+v was lost", a)
		}
	}
}

// newServingCore is a core that has loaded, holds its lease and all shards, and knows a machine type.
func newServingCore(t *testing.T) *Core {
	t.Helper()
	cfg := testConfig()
	c := New(cfg, 0, 1)
	c.Advance(time.Second)
	types, err := json.Marshal(
		wire.Catalog{Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Price: 1, Zones: []string{"a"}}}},
	)
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(
		time.Second,
		SnapshotPage{
			OK:       true,
			Revision: 5,
			Items:    []wire.KeyValue{{Key: keyMachineTypes, Value: types, Revision: 5}},
		},
	)
	c.Handle(time.Second, LeaseResult{Op: LeaseGrant, Status: wire.StatusOK, LeaseID: 7})
	ev := []wire.WatchEvent{{Put: keyFencingToken, Value: json.RawMessage("1"), Revision: 6}}
	for i := range cfg.Shards {
		ev = append(ev, wire.WatchEvent{Put: shardKey(i), Value: c.leasedValue(1), Revision: 6})
	}
	c.Handle(
		time.Second,
		WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 6, Events: ev}},
	)
	return c
}

func testSubmission(id string) SubmitJob {
	return SubmitJob{
		RequestID: 1,
		ID:        id,
		Spec:      wire.JobSpec{ID: id, Class: "c", Team: "t", Tasks: 1, Request: [3]int64{1000, 0, 1000}},
	}
}

// A transaction whose outcome stays unknown while all keys are read again once sent the core
// round and round; it must wait for the reading to end, and refuse the user at once.
func TestUnknownOutcomeWhileReadingAllKeysAgain(t *testing.T) {
	c := newServingCore(t)
	c.Handle(time.Second, testSubmission("wk-1"))
	var commit *CommitTxn
	for _, o := range outputsOfType[CommitTxn](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			if w.Put == keyJob+"wk-1" {
				commit = &o
			}
		}
	}
	if commit == nil {
		t.Fatal("the job was not written")
	}
	c.Handle(1200*time.Millisecond, WatchResult{LongPoll: true, Status: wire.StatusGone})
	c.Handle(1300*time.Millisecond, TxnResult{ID: commit.ID})
	replies := outputsOfType[Response](c.Advance(1300 * time.Millisecond))
	if len(replies) != 1 || replies[0].Status != wire.StatusUnavailable || replies[0].RetryAfterSeconds == 0 {
		t.Fatalf("got %+v", replies)
	}
}

func TestAnswersToBadSubmissions(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*SubmitJob)
		want   wire.Status
	}{
		"unknown team":  {func(s *SubmitJob) { s.Spec.Team = "nobody" }, wire.StatusInvalid},
		"fits nowhere":  {func(s *SubmitJob) { s.Spec.Request[0] = 5000 }, wire.StatusInvalid},
		"unknown type":  {func(s *SubmitJob) { s.Spec.MachineTypes = []string{"y"} }, wire.StatusInvalid},
		"malformed":     {func(s *SubmitJob) { s.DecodeError = "no" }, wire.StatusBadRequest},
		"nothing known": {func(s *SubmitJob) { s.DecodeError, s.ID = "no", "" }, wire.StatusBadRequest},
	} {
		c := newServingCore(t)
		in := testSubmission("wk-1")
		tc.change(&in)
		c.Handle(1100*time.Millisecond, in)
		out := c.Advance(1100 * time.Millisecond)
		replies := outputsOfType[Response](out)
		if len(replies) == 0 { // it is first learnt whether the job was accepted before
			c.Handle(1110*time.Millisecond, WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 6}})
			replies = outputsOfType[Response](c.Advance(1110 * time.Millisecond))
		}
		if len(replies) != 1 || replies[0].Status != tc.want {
			t.Errorf("%s: got %+v, want %d", name, replies, tc.want)
		}
	}
}

// runFor lets time pass and answers what the core asks: every write succeeds, the cloud has no
// machines. It returns what went to other controllers.
func runFor(c *Core, from, to time.Duration) (msgs []Message, orders []SendCommands) {
	ledger := uint64(100)
	for _, j := range c.jobs {
		ledger = max(ledger, j.revision)
	}
	for now := from; now < to; now += 50 * time.Millisecond {
		for _, o := range c.Advance(now) {
			switch o := o.(type) {
			case CommitTxn:
				ledger++
				c.Handle(now, TxnResult{ID: o.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: ledger}})
			case CloudRequest:
				in := CloudResult{ID: o.ID, Status: wire.StatusOK}
				if o.Op == CloudScaleOut {
					in.Status, in.Error = wire.StatusUnavailable, noCapacity
				}
				c.Handle(now, in)
			case LeaseRequest:
				c.Handle(now, LeaseResult{Op: o.Op, Status: wire.StatusOK, LeaseID: c.ownLease.id})
			case SendCommands:
				orders = append(orders, o)
				c.Handle(now, CommandsResult{ID: o.ID, Status: wire.StatusOK, MaybeDelivered: true})
			case SendToPeer:
				msgs = append(msgs, o.Message)
			}
		}
	}
	return msgs, orders
}

func testHeartbeat(seq uint64, pieces ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine:      "m-1",
		Addr:         "x:1",
		Type:         "x",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     seq,
		FencingToken: 1,
		Tasks:        pieces,
	}
}

func newLeadingCore(t *testing.T) *Core {
	t.Helper()
	c := newServingCore(t)
	c.Handle(time.Second, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{
		Revision: 7,
		Events:   []wire.WatchEvent{{Put: keyLeader, Value: c.leasedValue(1), Revision: 7}},
	}})
	c.Handle(time.Second, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(1)})
	return c
}

// Replicas waited up to a minute for room that work of lower priority held.
func TestWaitingReplicaPreemptsLowerPriority(t *testing.T) {
	for _, prio := range []int{0, 2} {
		c := newLeadingCore(t)
		low := testSubmission("wk-1")
		low.Spec.Priority, low.Spec.Request, low.Spec.EstimatedRuntimeMS = 2, [3]int64{4000, 0, 1000}, 60000
		c.Handle(time.Second, low)
		runFor(c, time.Second, 2*time.Second)
		try := c.internJob("wk-1").record.LastAttempt
		if try == 0 {
			t.Fatal("the first job was not placed")
		}
		c.Handle(
			2*time.Second,
			AgentHeartbeat{
				RequestID: 10,
				Heartbeat: testHeartbeat(2, wire.TaskStatus{Task: "wk-1/0", Attempt: try, Stage: wire.TaskRunning}),
			},
		)
		high := testSubmission("wk-2")
		high.Spec.Service, high.Spec.Priority = true, prio
		c.Handle(2*time.Second, high)
		_, orders := runFor(c, 2*time.Second, 5*time.Second)
		stopped := false
		for _, o := range orders {
			for _, x := range o.Batch.Commands {
				stopped = stopped || x.Op == wire.OpStop && x.Task == "wk-1/0"
			}
		}
		if stopped != (prio == 0) {
			t.Errorf("priority %d against 2: stopped %v", prio, stopped)
		}
	}
}

// A row seeded between the report of a task's end and the tuple of it counted the end twice,
// and controllers saw room on a full machine.
func TestEndIsCountedOnce(t *testing.T) {
	c := newLeadingCore(t)
	in := testSubmission("wk-1")
	in.Spec.Tasks = 2
	c.Handle(time.Second, in)
	runFor(c, time.Second, 6*time.Second)
	p := func(task string, try uint64, stage, cause string) wire.TaskStatus {
		return wire.TaskStatus{Task: "wk-1/" + task, Attempt: try, Stage: stage, Cause: cause}
	}
	c.Handle(
		6*time.Second,
		AgentHeartbeat{
			RequestID: 10,
			Heartbeat: testHeartbeat(2, p("0", 1, wire.TaskRunning, ""), p("1", 2, wire.TaskRunning, "")),
		},
	)
	runFor(c, 6*time.Second, 10*time.Second)
	c.Handle(
		10*time.Second,
		AgentHeartbeat{
			RequestID: 11,
			Heartbeat: testHeartbeat(3, p("0", 1, wire.TaskExited, wire.CauseDone), p("1", 2, wire.TaskRunning, "")),
		},
	)
	runFor(c, 10*time.Second, 12500*time.Millisecond)
	m := c.internMachine("m-1").index
	if r := c.leaderState.array.Row(m); r == nil || r.Available[0] != 3000 {
		t.Errorf("the array's row is %+v, one task of 1 CPU runs on 4", r)
	}
	if r := c.clusterCopy.state.Row(m); r == nil || r.Available[0] != 3000 {
		t.Errorf("the copy's row is %+v", r)
	}
}

// Two zones that can't reach each other: reports go by way of the third controller.
func TestMessagesAreRelayedWhenPeerIsUnreachable(t *testing.T) {
	c := newServingCore(t)
	for _, n := range []string{"n1", "n2"} {
		c.Handle(time.Second, PeerMessage{Peer: n, Message: Message{Health: &Health{}}})
	}
	c.Handle(4*time.Second, PeerMessage{Peer: "n2", Message: Message{Health: &Health{}}})
	c.Handle(4*time.Second, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(1)})
	via := 0
	for _, o := range outputsOfType[SendToPeer](c.Advance(4 * time.Second)) {
		if o.Message.Heartbeats == nil {
			continue
		}
		if o.Peer != "n2" {
			t.Errorf("a report went to %s, which is not reached", o.Peer)
		}
		if o.Message.RelayTo == "n1" && o.Message.RelayedFrom == "n0" {
			via++
		}
	}
	if via != 1 {
		t.Errorf("%d reports for n1 went by way of n2, want 1", via)
	}
	// And one that is to be passed on is passed on unchanged.
	c.Handle(
		4*time.Second,
		PeerMessage{
			Peer:    "n2",
			Message: Message{RelayTo: "n1", RelayedFrom: "n2", MachinesToReturn: []string{"m-9"}},
		},
	)
	passed := false
	for _, o := range outputsOfType[SendToPeer](c.Advance(4 * time.Second)) {
		passed = passed || o.Peer == "n1" && len(o.Message.MachinesToReturn) == 1
	}
	if !passed {
		t.Error("a message for n1 was not passed on")
	}
}

// A machine whose controller is cut off needs longer to find another than a silent one is waited
// for. The leader has the others ask it.
func TestPeersPollQuietMachines(t *testing.T) {
	c := newLeadingCore(t)
	asked := map[string]int{}
	c.ownLease.expiresAt = time.Hour
	for now := time.Second; now < 7*time.Second; now += 100 * time.Millisecond {
		for _, n := range c.cfg.Peers {
			c.Handle(now, PeerMessage{Peer: n, Message: Message{Health: &Health{}}})
		}
		for _, o := range outputsOfType[SendToPeer](c.Advance(now)) {
			if len(o.Message.PollMachines) == 1 && o.Message.PollMachines[0] == "m-1" {
				asked[o.Peer]++
			}
		}
	}
	if asked["n1"] == 0 || asked["n2"] == 0 {
		t.Errorf("asked %v", asked)
	}
	// Who is asked asks the machine, or tells what it has heard.
	for _, heard := range []bool{false, true} {
		c := newLeadingCore(t)
		if now := 8 * time.Second; heard {
			c.Handle(now, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(2)})
		}
		c.Advance(8 * time.Second)
		c.internMachine("m-1").status.lastPollAt = 0
		c.Handle(
			8100*time.Millisecond,
			PeerMessage{Peer: "n1", Message: Message{PollMachines: []string{"m-1", "m-unknown"}}},
		)
		probes, told := 0, 0
		for _, o := range c.Advance(8100 * time.Millisecond) {
			switch o := o.(type) {
			case PollAgent:
				probes++
			case SendToPeer:
				if o.Peer == "n1" {
					told += len(o.Message.Heartbeats)
				}
			}
		}
		if heard && told == 0 || !heard && probes == 0 {
			t.Errorf("heard %v: %d probes, %d reports told", heard, probes, told)
		}
	}
}

// A machine on which different jobs fail is not used; a job that fails everywhere is no proof.
func TestFaultyMachineIsQuarantined(t *testing.T) {
	c := newLeadingCore(t)
	m := c.internMachine("m-1")
	fail := func(seq uint64, id string, try uint64, cause string) {
		c.Handle(
			2*time.Second,
			AgentHeartbeat{
				RequestID: seq,
				Heartbeat: testHeartbeat(
					seq,
					wire.TaskStatus{Task: id + "/0", Attempt: try, Stage: wire.TaskExited, Cause: cause},
				),
			},
		)
	}
	for i := uint64(0); i < 5; i++ {
		fail(10+i, "wk-1", i, wire.CauseError)
	}
	fail(20, "wk-2", 1, wire.CauseError)
	if c.isQuarantined(m) {
		t.Error("two failing jobs make a machine faulty")
	}
	fail(21, "wk-3", 1, wire.CauseError)
	if !c.isQuarantined(m) {
		t.Error("three failing jobs do not make a machine faulty")
	}
	fail(22, "wk-4", 1, wire.CauseDone)
	if c.isQuarantined(m) {
		t.Error("a machine that completes tasks is faulty")
	}
}

// A wrong row led to refusals, and these are changes at the machine: it was never quiet enough to be worked out anew.
func TestWrongDeltaIsDroppedDespiteRefusals(t *testing.T) {
	c := newLeadingCore(t)
	runFor(c, time.Second, 6*time.Second)
	m := c.internMachine("m-1")
	c.leaderState.applyDeltas(
		c,
		"n1",
		&AllocationDeltas{
			Seq:    1,
			Deltas: []AllocationDelta{{Machine: "m-1", Request: clusterstate.Resources{2000, 0, 2000}}},
		},
	)
	runFor(c, 6*time.Second, 6500*time.Millisecond)
	if r := c.leaderState.array.Row(m.index); r.Available[0] != 6000 {
		t.Errorf("the row shows %v free after the tuple", r.Available[0])
	}
	seq := uint64(10)
	for now := 6500 * time.Millisecond; now < 12*time.Second; now += time.Second {
		seq++
		c.Handle(
			now,
			AgentHeartbeat{
				RequestID: seq,
				Heartbeat: testHeartbeat(
					seq,
					wire.TaskStatus{
						Task:    "wk-1/0",
						Attempt: seq,
						Stage:   wire.TaskExited,
						Cause:   wire.CauseNoCapacity,
					},
				),
			},
		)
		runFor(c, now, now+time.Second)
	}
	if r := c.leaderState.array.Row(m.index); r.Available[0] != 4000 {
		t.Errorf("the row still shows %v of 4000 free", r.Available[0])
	}
}

// A controller that was cut off came back and had live machines returned as silent.
func TestCutOffControllerDoesNotJudgeSilence(t *testing.T) {
	for _, cut := range []bool{false, true} {
		c := newLeadingCore(t)
		c.Handle(time.Second, testSubmission("wk-1"))
		runFor(c, time.Second, 2*time.Second)
		// Another controller leads; then nothing is heard of the machine for long.
		other, err := json.Marshal(leasedKey{Node: "n1", LeaseID: 9, FencingToken: 2})
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(2*time.Second, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{
			Revision: 200,
			Events:   []wire.WatchEvent{{Put: keyLeader, Value: other, Revision: 200}},
		}})
		c.Advance(2 * time.Second)
		if !cut {
			c.ownLease.expiresAt = time.Hour
		}
		asked := false
		for _, o := range outputsOfType[SendToPeer](c.Advance(40 * time.Second)) {
			asked = asked || len(o.Message.SilentMachines) > 0
		}
		if asked == cut {
			t.Errorf("cut off %v: asked %v", cut, asked)
		}
	}
}

// Where workers report every 6 s, a healthy machine may be quiet for 7.5 s; it was returned
// after 6.5 s.
func TestQuietMachineIsNotSilent(t *testing.T) {
	c := newLeadingCore(t)
	c.cfg.Agents.HeartbeatInterval = 6 * time.Second
	m := c.internMachine("m-1")
	m.leaderView.rentedAt = time.Second
	for at := 1 * time.Second; at < 30*time.Second; at += 7500 * time.Millisecond {
		c.Handle(
			at,
			AgentHeartbeat{
				RequestID: uint64(at),
				Heartbeat: testHeartbeat(
					uint64(at/time.Millisecond),
					wire.TaskStatus{Task: "wk-1/0", Attempt: 1, Stage: wire.TaskRunning},
				),
			},
		)
		runFor(c, at, at+7500*time.Millisecond)
		if m.leaderView.returnReason != "" {
			t.Fatalf("returned at %v as %s", c.now, m.leaderView.returnReason)
		}
	}
	runFor(c, 31*time.Second, 45*time.Second)
	if m.leaderView.returnReason != "silent" {
		t.Errorf("a machine that never reports again is not returned as silent but as %q", m.leaderView.returnReason)
	}
}

// Spare room grows with the spread of what jobs ask for, not with the size of the fleet.
func TestHeadroomOfALargeClass(t *testing.T) {
	c := newServingCore(t)
	c.cfg.Autoscaling.HeadroomShare, c.cfg.Autoscaling.HeadroomDeviations = 0.25, 1
	st := &classStats{meanTasks: 10, meanSquareTasks: 100, meanInterval: time.Second}
	if n := c.headroomTasks(st, 40); n != 10 {
		t.Errorf("a small class keeps room for %v tasks, want a job of the usual size", n)
	}
	// In the 3 s until room can be there, 3 jobs come: 17 tasks is one standard deviation.
	if n := c.headroomTasks(st, 4000); n < 17 || n > 18 {
		t.Errorf("a large class keeps room for %v tasks", n)
	}
}

// Machines were returned for cancelled tasks that had long stopped: only the write of their
// ends waited for the change budget.
func TestStoppedTaskDoesNotReturnItsMachine(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		c := newLeadingCore(t)
		c.Handle(time.Second, testSubmission("wk-1"))
		runFor(c, time.Second, 2*time.Second)
		j := c.internJob("wk-1")
		p := wire.TaskStatus{Task: "wk-1/0", Attempt: j.assignments[0].Attempt, Stage: wire.TaskRunning}
		if stopped {
			p.Stage, p.Cause = wire.TaskExited, wire.CauseStopped
		}
		j.record.Stage, j.record.CancelledAtMS = jobrecord.Cancelled, c.unixMS()
		c.Handle(2*time.Second, AgentHeartbeat{RequestID: 10, Heartbeat: testHeartbeat(2, p)})
		c.now = 2*time.Second + c.cfg.Agents.CancelTimeout/2
		if got := len(c.enforceCancellations()); got != map[bool]int{false: 1, true: 0}[stopped] {
			t.Errorf("stopped %v: %d machines asked for", stopped, got)
		}
	}
}

// All machines of a cut-off zone were returned after a few seconds, with all the tasks that ran
// on there, and nothing was up to take them. Now others are rented first.
func TestUnreachableZoneIsReplacedBeforeItIsReturned(t *testing.T) {
	c := newLeadingCore(t)
	c.autoscaler.catalog["x"].Zones, c.autoscaler.catalog["x"].BootS = []string{"a", "b"}, 6
	say := func(now time.Duration, seq uint64, zone string) {
		c.Handle(now, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(seq)})
		for i := 2; i < 8; i++ {
			r := testHeartbeat(seq)
			r.Machine, r.Zone = wire.TaskName("m", i), []string{"a", "b"}[i%2]
			r.Tasks = []wire.TaskStatus{{Task: wire.TaskName("wk-9", i), Attempt: 1, Stage: wire.TaskRunning}}
			if zone == "" || r.Zone == zone {
				c.Handle(now, AgentHeartbeat{RequestID: 9, Heartbeat: r})
			}
		}
	}
	say(time.Second, 2, "")
	lost := c.internMachine("m/3")
	var rented, returned time.Duration
	seq := uint64(2)
	for now := time.Second; now < 25*time.Second; now += time.Second {
		seq++
		say(now, seq, "a")
		j := c.internJob("wk-8")
		j.revision, j.record, j.assignments = 1, &jobrecord.Record{
			Spec: &wire.JobSpec{ID: "wk-8", Tasks: 8, Team: "t", Request: [3]int64{4000, 0, 1000}},
		}, nil
		for i := int32(0); i < 8; i++ { // more than the other zone has room for
			j.assignments = append(
				j.assignments,
				jobrecord.Assignment{Task: i, Machine: lost.index, Incarnation: 1, Attempt: 1},
			)
			lost.allocation.assignments[taskKey{j.index, i}] = j.assignments[i]
		}
		c.markDirty(j)
		runFor(c, now, now+time.Second)
		if rented == 0 && c.leaderState.scaleOutSeq > 0 {
			rented = now
		}
		if returned == 0 && lost.leaderView.returnReason != "" {
			returned = now
		}
	}
	if rented == 0 || returned == 0 || returned-rented < 5*time.Second {
		t.Errorf("rented at %v, returned at %v", rented, returned)
	}
	if m := c.internMachine("m/2"); m.leaderView.returnReason == "silent" {
		t.Error("a machine of the other zone was returned")
	}
}

// Work of lower priority took each bit of room that came free, while urgent jobs of other
// controllers waited for it.
func TestLowerPriorityRespectsCapacityHold(t *testing.T) {
	for _, prio := range []int{1, 2} {
		c := newLeadingCore(t)
		runFor(c, time.Second, 2*time.Second) // the machine of 4 CPUs is in the array
		c.leaderState = nil
		c.leadership.leader.Node = "n1"
		c.clusterCopy.capacityHold = &CapacityHold{Priority: 1, Request: clusterstate.Resources{2000, 0, 1000}}
		in := testSubmission("wk-1")
		in.Spec.Priority = prio
		in.Spec.Tasks = 4
		c.Handle(2*time.Second, in)
		runFor(c, 2*time.Second, 3*time.Second)
		// A lower one may use what the waiting claim does not fit into: nothing, while all is free.
		if got, want := len(c.internJob("wk-1").assignments), map[int]int{1: 4, 2: 0}[prio]; got != want {
			t.Errorf("priority %d: %d tasks placed, want %d", prio, got, want)
		}
	}
}

func TestCapacityHoldIsForTheHighestPriority(t *testing.T) {
	var h *CapacityHold
	h = h.withWaiting(2, clusterstate.Resources{4000, 0, 4000})
	h = h.withWaiting(1, clusterstate.Resources{3000, 0, 9000})
	h = h.withWaiting(2, clusterstate.Resources{1, 0, 1})
	h = h.withWaiting(1, clusterstate.Resources{5000, 0, 8000})
	if *h != (CapacityHold{1, clusterstate.Resources{3000, 0, 8000}}) {
		t.Errorf("got %+v", *h)
	}
}

// Twelve shards among five controllers: four held three each, the fifth none, and it refused
// every submission. Who holds most gives one up, and who has none accepts all the same.
func TestControllerWithoutShardServes(t *testing.T) {
	holders := func(me int) *Core {
		cfg := testConfig()
		cfg.Shards, cfg.Peers = 12, []string{"n1", "n2", "n3", "n4"}
		c := New(cfg, 0, 1)
		c.Advance(time.Second)
		types, err := json.Marshal(
			wire.Catalog{
				Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Price: 1, Zones: []string{"a"}}},
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		in := SnapshotPage{
			OK:       true,
			Revision: 5,
			Items: []wire.KeyValue{
				{Key: keyMachineTypes, Value: types, Revision: 5},
				{Key: keyFencingToken, Value: json.RawMessage("1"), Revision: 5},
			},
		}
		names := []string{"n1", "n2", "n3", "n4", "n0"}
		for i := range names {
			raw, err := json.Marshal(leasedKey{Node: names[i], LeaseID: uint64(7 + i), FencingToken: 1})
			if err != nil {
				t.Fatal(err)
			}
			in.Items = append(
				in.Items,
				wire.KeyValue{Key: keyNode + names[i], Value: raw, Revision: 5},
				wire.KeyValue{Key: keyLeader, Value: raw, Revision: 5},
			)
			for s := 0; s < 3 && i < 4; s++ {
				in.Items = append(in.Items, wire.KeyValue{Key: shardKey(i*3 + s), Value: raw, Revision: 5})
			}
		}
		c.cfg.Name = names[me]
		c.Handle(time.Second, LeaseResult{Op: LeaseGrant, Status: wire.StatusOK, LeaseID: uint64(7 + me)})
		c.Handle(time.Second, in)
		return c
	}
	c := holders(4)
	c.Handle(1100*time.Millisecond, testSubmission("wk-1"))
	accepted := false
	for _, o := range outputsOfType[CommitTxn](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			// the job's key and the sign of an archive, no shard
			accepted = accepted || w.Put == keyJob+"wk-1" && len(o.Txn.Compare) == 2
		}
	}
	if !accepted {
		t.Error("a controller without a shard does not accept")
	}
	c = holders(0)
	gave := false
	for _, o := range outputsOfType[CommitTxn](c.Advance(3 * time.Second)) {
		for _, w := range o.Txn.Then {
			gave = gave || w.Delete != ""
		}
	}
	if !gave {
		t.Error("a controller with three shards gives none to one without")
	}
}

// Replicas went to whichever machine had most room, and after a busy start each of hundreds of
// ordinary machines was kept by a few of them.
func TestReplicasShareMachines(t *testing.T) {
	c := newLeadingCore(t)
	c.cfg.Scheduling.BusyHorizonStep = 10 * time.Second
	in := testSubmission("wk-1")
	in.Spec.Service = true
	c.Handle(time.Second, in)
	runFor(c, time.Second, 2*time.Second)
	if len(c.internJob("wk-1").assignments) != 1 {
		t.Fatal("the first replica was not placed")
	}
	r := testHeartbeat(2)
	r.Machine, r.Tasks = "m-2", nil
	c.Handle(2*time.Second, AgentHeartbeat{RequestID: 10, Heartbeat: r})
	runFor(c, 2*time.Second, 3*time.Second)
	in = testSubmission("wk-2")
	in.Spec.Service = true
	c.Handle(3*time.Second, in)
	runFor(c, 3*time.Second, 4*time.Second)
	if p := c.internJob("wk-2").assignments; len(p) != 1 || c.machines[p[0].Machine].name != "m-1" {
		t.Errorf("the second replica is on %v, an empty machine next to the first one's", p)
	}
}

// After a zone was lost, the writes of its replicas waited behind those of all jobs that waited
// for room: only a job whose loss was written counted as one with tasks to place.
func TestLostReplicaIsAsUrgentAsAWaitingOne(t *testing.T) {
	c := newLeadingCore(t)
	in := testSubmission("wk-1")
	in.Spec.Service = true
	c.Handle(time.Second, in)
	runFor(c, time.Second, 2*time.Second)
	j := c.internJob("wk-1")
	before := c.writePriority(j)
	c.markMachineGone(c.internMachine("m-1"))
	if got := c.writePriority(j); got >= before || !j.write.dirty || j.write.nextLookAt > c.now {
		t.Errorf("urgency %d before, %d after the loss; looked at %v later", before, got, j.write.nextLookAt-c.now)
	}
}

// A lost zone's replicas restart with a write for each job: those with most replicas come first.
func TestMostLostReplicasAreWrittenFirst(t *testing.T) {
	c := newLeadingCore(t)
	for i, n := range []int{1, 3, 2} {
		in := testSubmission("wk-" + strconv.Itoa(i+1))
		in.RequestID, in.Spec.Service, in.Spec.Tasks, in.Spec.Request = uint64(i+1), true, n, [3]int64{100, 0, 100}
		c.Handle(time.Second+time.Duration(i)*100*time.Millisecond, in)
		runFor(c, c.now, c.now+100*time.Millisecond)
	}
	runFor(c, c.now, 3*time.Second)
	for i, n := range []int{1, 3, 2} {
		if got := len(c.internJob("wk-" + strconv.Itoa(i+1)).assignments); got != n {
			t.Fatalf("%d of %d replicas placed", got, n)
		}
	}
	c.markMachineGone(c.internMachine("m-1"))
	var order []string
	c.transactions.rateLimit.WriteTokens = 100
	c.cfg.Store.MaxTxnOps = 12
	for _, o := range outputsOfType[CommitTxn](c.Advance(3 * time.Second)) {
		for _, w := range o.Txn.Then {
			if strings.HasPrefix(w.Put, keyJob) {
				order = append(order, w.Put[len(keyJob):])
			}
		}
	}
	if !slices.Equal(order, []string{"wk-2", "wk-3", "wk-1"}) {
		t.Errorf("written in the order %v", order)
	}
}

// Several of the cloud's few calls a second asked for one kind of machine at a time, and when it
// was used up, all of them were in vain.
func TestEachNodeGroupIsRequestedBeforeAnyTwice(t *testing.T) {
	c := newLeadingCore(t)
	c.autoscaler.catalog["x"].Zones = []string{"a", "b", "c", "d"}
	in := testSubmission("wk-1")
	in.Spec.Tasks, in.Spec.Request = 400, [3]int64{4000, 0, 1000} // a machine each
	c.Handle(time.Second, in)
	runFor(c, time.Second, 3*time.Second)
	c.leaderState.blockedUntil = map[nodeGroup]time.Duration{}
	c.leaderState.nextPlanAt = 0
	c.leaderState.cloudCallBudget = 4
	zones := map[string]int{}
	for _, o := range outputsOfType[CloudRequest](c.Advance(5 * time.Second)) {
		if o.Op == CloudScaleOut {
			zones[o.ScaleOut.Zone]++
		}
	}
	if len(zones) < 3 || zones["a"] > 1 {
		t.Errorf("asked for machines in %v", zones)
	}
}

// What a second of a controller does must follow what happened, not the size of the fleet: at a
// thousand machines, walking and sending everything took all of a quarter of a core.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	type work struct{ looks, rows, reports, heard int }
	second := func(n int) (w work) {
		c := newLeadingCore(t)
		say := func(now time.Duration, seq uint64, i int, pieces ...wire.TaskStatus) {
			r := testHeartbeat(seq, pieces...)
			r.Machine = wire.TaskName("m", i)
			c.Handle(now, AgentHeartbeat{RequestID: 1, Heartbeat: r})
		}
		seq := uint64(1)
		for now := time.Second; now < 10*time.Second; now += time.Second {
			seq++
			c.Handle(now, AgentHeartbeat{RequestID: 1, Heartbeat: testHeartbeat(seq)})
			for i := range n {
				say(now, seq, i)
			}
			runFor(c, now, now+time.Second)
		}
		c.leaderState.nextFullPushAt = time.Hour // the whole array is not due
		looks := c.Stats.MachineLooks
		for i := range n {
			say(10*time.Second, 20, i)
		}
		say(10*time.Second, 21, 0, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, Stage: wire.TaskRunning})
		in := testSubmission("wk-2")
		in.Spec.Tasks = 3
		c.Handle(10*time.Second, in)
		msgs, _ := runFor(c, 10*time.Second, 11*time.Second)
		for _, m := range msgs {
			w.reports += len(m.Heartbeats)
			w.heard += len(m.HeartbeatDigests)
			if m.StatePush != nil {
				w.rows += len(m.StatePush.Rows)
			}
		}
		w.looks = int(c.Stats.MachineLooks - looks)
		return w
	}
	small, large := second(20), second(1000)
	// Peers get each message once: two of them.
	if small.reports != 2 || large.reports != 2 || small.heard != 2*20 || large.heard != 2*1000 {
		t.Errorf("reports: %+v and %+v", small, large)
	}
	if large.looks > small.looks+5 || large.rows > small.rows+10 || small.rows == 0 || small.looks == 0 {
		t.Errorf("20 machines: %+v, 1000 machines: %+v", small, large)
	}
}

// A flood of submissions, more than can be written in time: the rest is refused at once and
// told when to come back, and nothing of it stays.
func TestSubmissionFloodIsRefusedAtOnce(t *testing.T) {
	c := newServingCore(t)
	c.cfg.Store.WriteRate = 20
	for i := range 500 {
		in := testSubmission("wk-" + strconv.Itoa(i))
		in.RequestID = uint64(i)
		c.Handle(1100*time.Millisecond, in)
	}
	refused := 0
	for _, r := range outputsOfType[Response](c.Advance(1100 * time.Millisecond)) {
		if r.Status != wire.StatusUnavailable || r.RetryAfterSeconds == 0 {
			t.Fatalf("got %+v", r)
		}
		refused++
	}
	if refused != 470 || len(c.jobs) != 30 {
		t.Errorf("%d of 500 refused at once, %d jobs kept", refused, len(c.jobs))
	}
	// Those whose write has not been sent are refused in time; the others wait for its outcome.
	late := len(outputsOfType[Response](c.Advance(3 * time.Second)))
	if late == 0 || late+c.pendingSubmissions != 30 {
		t.Errorf("%d refused late, %d still wait, of 30", late, c.pendingSubmissions)
	}
}

// A controller whose reads of changes get no answer, while its writes do, held its lease and its
// shards and did nothing with them: it lets them go until a read is answered.
func TestControllerWithStalledWatchLetsItsLeaseExpire(t *testing.T) {
	c := newServingCore(t)
	extended := func(from, to time.Duration, status wire.Status) (n int) {
		for now := from; now < to; now += 100 * time.Millisecond {
			out := c.Advance(now)
			for _, o := range outputsOfType[LeaseRequest](out) {
				n++
				c.Handle(now, LeaseResult{Op: o.Op, LeaseID: o.LeaseID, Status: wire.StatusOK})
			}
			for _, o := range outputsOfType[CommitTxn](out) {
				c.Handle(now, TxnResult{ID: o.ID, Status: wire.StatusTooManyRequests})
			}
			for _, o := range outputsOfType[Watch](out) {
				if !o.LongPoll {
					c.Handle(
						now,
						WatchResult{Status: status, Changes: wire.WatchResponse{Revision: c.replica.revision}},
					)
				}
			}
			c.afterReadBarrier(func(bool) {})
		}
		return n
	}
	if n := extended(2*time.Second, 8*time.Second, wire.StatusOK); n == 0 {
		t.Fatal("the lease was not kept")
	}
	extended(8*time.Second, 14*time.Second, wire.StatusNoAnswer)
	if n := extended(14*time.Second, 30*time.Second, wire.StatusNoAnswer); n != 0 || c.holdsLease() {
		t.Errorf("without an answer to a read, the lease was kept %d times", n)
	}
	if n := extended(30*time.Second, 33*time.Second, wire.StatusOK); n == 0 || !c.holdsLease() {
		t.Errorf("after an answered read, the lease was kept %d times", n)
	}
}
