package core

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// testConfig returns the configuration of controller n0 of three, with four shards and one team.
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
			MaxCompletionBatchDelay: 2 * time.Second,
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

// outputsOfType returns the outputs of one type, in order.
func outputsOfType[T Output](out []Output) []T {
	var got []T
	for _, o := range out {
		if v, ok := o.(T); ok {
			got = append(got, v)
		}
	}
	return got
}

// Controllers that restart while the cloud is down must serve requests with the stored machine types. They served none
// until the cloud was back, because they did not know the machine types.
func TestServesWithStoredMachineTypesWhileCloudIsDown(t *testing.T) {
	raw, err := json.Marshal(
		wire.Catalog{Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}}},
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, stored := range []bool{false, true} {
		c := New(testConfig(), 0, 1)
		c.Advance(time.Second)
		in := SnapshotPage{OK: true, Revision: 5}
		if stored {
			in.Items = []wire.KeyValue{{Key: keyMachineTypes, Value: raw, Revision: 5}}
		}
		c.Handle(1001*time.Millisecond, in)
		c.Handle(1002*time.Millisecond, LeaseResult{Op: LeaseGrant, Status: wire.StatusOK, LeaseID: 7})
		c.Advance(4 * time.Millisecond)
		if c.Healthy() != stored {
			t.Errorf("machine types stored %v: healthy %v", stored, c.Healthy())
		}
	}
}

// In a store outage, a controller that cannot load its replica must still report that it does not reach the store.
// Otherwise a controller with a loaded replica lacks the majority that declares the outage, and all tasks end.
func TestBroadcastsHealthBeforeSnapshotIsLoaded(t *testing.T) {
	c := New(testConfig(), 0, 1)
	messages := outputsOfType[SendToPeer](c.Advance(time.Second))
	if len(messages) != 1 || messages[0].Message.Health == nil || messages[0].Message.Health.StoreReachable {
		t.Fatalf("got messages %+v, want one with a health whose store is unreachable", messages)
	}
}

// The record of a job of the largest size must fit a value at every stage, also if its tasks end in the order that
// leaves the most ranges: every other one first.
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
		record := &jobrecord.Record{Spec: spec, CompletedTasks: jobrecord.TaskSet{0, 90_000}, LastAttempt: 91_000}
		var assigned []jobrecord.Assignment
		fewest := 1 << 20
		for round := 0; round < 40; round++ {
			proposed := &proposal{record: record, spec: spec, assignments: assigned}
			for i, task := range record.UnassignedTasks(assigned, c.maxAssignedTasks()-len(assigned)) {
				m := c.internMachine(wire.TaskName("m", 100000+1000*round+i/perMachine))
				m.identity.zone = "a-zone"
				record.LastAttempt++
				a := jobrecord.Assignment{Task: task, Machine: m.index, Incarnation: 1, Attempt: record.LastAttempt}
				proposed.assignments, proposed.started = append(proposed.assignments, a), append(proposed.started, a)
			}
			if _, err := c.encodeWithinLimit(proposed); err != nil {
				t.Fatal(err)
			}
			fewest = min(fewest, len(proposed.assignments))
			var remaining []jobrecord.Assignment
			for i, a := range proposed.assignments {
				if i%2 == 0 {
					remaining = append(remaining, a)
					continue
				}
				record.CompletedTasks = record.CompletedTasks.Add(int(a.Task))
				open := append(slices.Clone(remaining), proposed.assignments[i+1:]...)
				if raw, err := c.encodeRecord(record, open, false); err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
					t.Fatalf(
						"round %d: %d bytes, at most %d fit a value (%v)",
						round, len(raw), c.cfg.Store.MaxValueBytes, err,
					)
				}
			}
			assigned = remaining
			if round%2 == 1 { // then all others
				for _, a := range assigned {
					record.CompletedTasks = record.CompletedTasks.Add(int(a.Task))
				}
				assigned = nil
			}
		}
		if fewest < 150 {
			t.Errorf("only %d tasks were assigned at one time", fewest)
		}
	}
}

// A record that has no space for another task must not be written again without a change. Such a record was written 20
// times per second, and used up the write budget that other jobs needed.
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
		for _, commit := range outputsOfType[CommitTxn](c.Advance(now)) {
			for _, write := range commit.Txn.Then {
				if write.Put == keyJob+"wk-1" {
					t.Fatalf("the record was written at %v without a change", now)
				}
			}
		}
	}
}

// A job of hundreds of tasks must be placed at once. Such jobs were placed in portions of 170 tasks, each of which
// waited until the previous portion had ended.
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
	proposed := &proposal{record: &jobrecord.Record{Spec: spec, LastAttempt: 500}, spec: spec}
	for i := 0; i < 500; i++ {
		m := c.internMachine(wire.TaskName("m", 100000+i/5))
		m.identity.zone = []string{"a-zone", "b-zone"}[i/5%2]
		proposed.assignments = append(
			proposed.assignments,
			jobrecord.Assignment{Task: int32(i), Machine: m.index, Incarnation: 1, Attempt: uint64(i + 1)},
		)
	}
	proposed.started = proposed.assignments
	raw, err := c.encodeWithinLimit(proposed)
	if err != nil || len(proposed.assignments) != 500 {
		t.Fatalf("%d of 500 tasks placed (%v)", len(proposed.assignments), err)
	}
	checkKeepsAllAssignments(t, c, raw, proposed.assignments)
}

// checkKeepsAllAssignments checks that an encoded record decodes to all of its assignments.
func checkKeepsAllAssignments(t *testing.T, c *Core, raw json.RawMessage, want []jobrecord.Assignment) {
	t.Helper()
	record, err := jobrecord.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	decoded := map[jobrecord.Assignment]bool{}
	for _, a := range record.ExpandAssignments(c.internMachineInZone) {
		decoded[a] = true
	}
	for _, a := range want {
		if !decoded[a] {
			t.Fatalf("assignment %+v was lost", a)
		}
	}
}

// newServingCore returns a core that has loaded its replica, holds its lease and all shards, and has a catalog of
// one machine type.
func newServingCore(t *testing.T) *Core {
	t.Helper()
	return newServingCoreOfSeed(t, 1)
}

// newServingCoreOfSeed is newServingCore with a seed: each process of a controller has another one.
func newServingCoreOfSeed(t *testing.T, seed uint64) *Core {
	t.Helper()
	cfg := testConfig()
	c := New(cfg, 0, seed)
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
	events := []wire.WatchEvent{{Put: keyFencingToken, Value: json.RawMessage("1"), Revision: 6}}
	for i := range cfg.Shards {
		events = append(events, wire.WatchEvent{Put: shardKey(i), Value: c.ownLease.leasedValue(1), Revision: 6})
	}
	c.Handle(
		time.Second,
		WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 6, Events: events}},
	)
	return c
}

// testSubmission returns the submission of a job with one small task.
func testSubmission(id string) SubmitJob {
	return SubmitJob{
		RequestID: 1,
		ID:        id,
		Spec:      wire.JobSpec{ID: id, Class: "c", Team: "t", Tasks: 1, Request: [3]int64{1000, 0, 1000}},
	}
}

// If the outcome of a transaction is unknown while a snapshot is loaded, the core must refuse the submission at once
// and wait for the end of the load. It retried in an endless loop.
func TestUnknownOutcomeDuringSnapshotReload(t *testing.T) {
	c := newServingCore(t)
	c.Handle(time.Second, testSubmission("wk-1"))
	var commit *CommitTxn
	for _, o := range outputsOfType[CommitTxn](c.Advance(1100 * time.Millisecond)) {
		for _, write := range o.Txn.Then {
			if write.Put == keyJob+"wk-1" {
				commit = &o
			}
		}
	}
	if commit == nil {
		t.Fatal("no transaction writes the job")
	}
	c.Handle(1200*time.Millisecond, WatchResult{LongPoll: true, Status: wire.StatusGone})
	c.Handle(1300*time.Millisecond, TxnResult{ID: commit.ID})
	responses := outputsOfType[Response](c.Advance(1300 * time.Millisecond))
	if len(responses) != 1 || responses[0].Status != wire.StatusUnavailable || responses[0].RetryAfterSeconds == 0 {
		t.Fatalf("got responses %+v, want one refusal with a time to retry", responses)
	}
}

// TestAnswersToBadSubmissions checks the status of submissions that can never be accepted.
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
		t.Run(name, func(t *testing.T) {
			c := newServingCore(t)
			in := testSubmission("wk-1")
			tc.change(&in)
			c.Handle(1100*time.Millisecond, in)
			out := c.Advance(1100 * time.Millisecond)
			responses := outputsOfType[Response](out)
			if len(responses) == 0 { // a read barrier first determines whether the job was accepted before
				c.Handle(
					1110*time.Millisecond,
					WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 6}},
				)
				responses = outputsOfType[Response](c.Advance(1110 * time.Millisecond))
			}
			if len(responses) != 1 || responses[0].Status != tc.want {
				t.Errorf("got %+v, want one response with status %d", responses, tc.want)
			}
		})
	}
}

// runFor advances the time and answers the outputs of a core: every write succeeds, and the cloud has no machines.
// It returns the messages to other controllers and the commands to agents.
func runFor(c *Core, from, to time.Duration) (messages []Message, commands []SendCommands) {
	revision := uint64(100)
	for _, j := range c.jobs {
		revision = max(revision, j.revision)
	}
	for now := from; now < to; now += 50 * time.Millisecond {
		for _, o := range c.Advance(now) {
			switch o := o.(type) {
			case CommitTxn:
				revision++
				c.Handle(now, TxnResult{ID: o.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: revision}})
			case CloudRequest:
				in := CloudResult{ID: o.ID, Status: wire.StatusOK}
				if o.Op == CloudScaleOut {
					in.Status, in.Error = wire.StatusUnavailable, noCapacity
				}
				c.Handle(now, in)
			case LeaseRequest:
				c.Handle(now, LeaseResult{Op: o.Op, Status: wire.StatusOK, LeaseID: c.ownLease.id})
			case SendCommands:
				commands = append(commands, o)
				c.Handle(now, CommandsResult{ID: o.ID, Status: wire.StatusOK, MaybeDelivered: true})
			case SendToPeer:
				messages = append(messages, o.Message)
			}
		}
	}
	return messages, commands
}

// testHeartbeat returns a heartbeat of machine m-1 in zone a.
func testHeartbeat(seq uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine:      "m-1",
		Addr:         "x:1",
		Type:         "x",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     seq,
		FencingToken: 1,
		Tasks:        tasks,
	}
}

// newLeadingCore returns a serving core that is the leader, with machine m-1.
func newLeadingCore(t *testing.T) *Core {
	t.Helper()
	return newLeadingCoreOfSeed(t, 1)
}

// newLeadingCoreOfSeed is newLeadingCore with a seed.
func newLeadingCoreOfSeed(t *testing.T, seed uint64) *Core {
	t.Helper()
	c := newServingCoreOfSeed(t, seed)
	c.Handle(time.Second, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: wire.WatchResponse{
		Revision: 7,
		Events:   []wire.WatchEvent{{Put: keyLeader, Value: c.ownLease.leasedValue(1), Revision: 7}},
	}})
	c.Handle(time.Second, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(1)})
	return c
}

// A waiting replica of a service must preempt work of lower priority. Replicas waited up to a minute for capacity that
// such work held.
func TestWaitingReplicaPreemptsLowerPriority(t *testing.T) {
	for _, priority := range []int{0, 2} {
		c := newLeadingCore(t)
		low := testSubmission("wk-1")
		low.Spec.Priority, low.Spec.Request, low.Spec.EstimatedRuntimeMS = 2, [3]int64{4000, 0, 1000}, 60000
		c.Handle(time.Second, low)
		runFor(c, time.Second, 2*time.Second)
		lastAttempt := c.internJob("wk-1").record.LastAttempt
		if lastAttempt == 0 {
			t.Fatal("the first job was not placed")
		}
		c.Handle(
			2*time.Second,
			AgentHeartbeat{
				RequestID: 10,
				Heartbeat: testHeartbeat(
					2,
					wire.TaskStatus{Task: "wk-1/0", Attempt: lastAttempt, Stage: wire.TaskRunning},
				),
			},
		)
		high := testSubmission("wk-2")
		high.Spec.Service, high.Spec.Priority = true, priority
		c.Handle(2*time.Second, high)
		_, batches := runFor(c, 2*time.Second, 5*time.Second)
		stopped := false
		for _, batch := range batches {
			for _, command := range batch.Batch.Commands {
				stopped = stopped || command.Op == wire.OpStop && command.Task == "wk-1/0"
			}
		}
		if stopped != (priority == 0) {
			t.Errorf("priority %d against 2: stopped %v", priority, stopped)
		}
	}
}

// The end of a task must be counted once. A row that was computed between the heartbeat with the end and its
// allocation delta counted the end twice, and controllers saw free capacity on a full machine.
func TestEndIsCountedOnce(t *testing.T) {
	c := newLeadingCore(t)
	in := testSubmission("wk-1")
	in.Spec.Tasks = 2
	c.Handle(time.Second, in)
	runFor(c, time.Second, 6*time.Second)
	status := func(task string, attemptID uint64, stage, cause string) wire.TaskStatus {
		return wire.TaskStatus{Task: "wk-1/" + task, Attempt: attemptID, Stage: stage, Cause: cause}
	}
	c.Handle(
		6*time.Second,
		AgentHeartbeat{
			RequestID: 10,
			Heartbeat: testHeartbeat(2, status("0", 1, wire.TaskRunning, ""), status("1", 2, wire.TaskRunning, "")),
		},
	)
	runFor(c, 6*time.Second, 10*time.Second)
	c.Handle(
		10*time.Second,
		AgentHeartbeat{
			RequestID: 11,
			Heartbeat: testHeartbeat(
				3,
				status("0", 1, wire.TaskExited, wire.CauseDone),
				status("1", 2, wire.TaskRunning, ""),
			),
		},
	)
	runFor(c, 10*time.Second, 12500*time.Millisecond)
	m := c.internMachine("m-1").index
	if r := c.leaderState.array.Row(m); r == nil || r.Available[0] != 3000 {
		t.Errorf("the array's row is %+v; one task of 1 CPU runs on 4 CPUs", r)
	}
	if r := c.clusterCopy.state.Row(m); r == nil || r.Available[0] != 3000 {
		t.Errorf("the copy's row is %+v; one task of 1 CPU runs on 4 CPUs", r)
	}
}

// Messages to an unreachable peer must be relayed. Otherwise a leader that cannot reach another zone's controllers
// lacks the heartbeats that they receive.
func TestMessagesAreRelayedWhenPeerIsUnreachable(t *testing.T) {
	c := newServingCore(t)
	for _, n := range []string{"n1", "n2"} {
		c.Handle(time.Second, PeerMessage{Peer: n, Message: Message{Health: &Health{}}})
	}
	c.Handle(4*time.Second, PeerMessage{Peer: "n2", Message: Message{Health: &Health{}}})
	c.Handle(4*time.Second, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(1)})
	relayed := 0
	for _, o := range outputsOfType[SendToPeer](c.Advance(4 * time.Second)) {
		if o.Message.Heartbeats == nil {
			continue
		}
		if o.Peer != "n2" {
			t.Errorf("a heartbeat was sent to %s, which is unreachable", o.Peer)
		}
		if o.Message.RelayTo == "n1" && o.Message.RelayedFrom == "n0" {
			relayed++
		}
	}
	if relayed != 1 {
		t.Errorf("%d heartbeats for n1 were relayed by n2, want 1", relayed)
	}
	// A message that another controller sends for n1 is relayed to it.
	c.Handle(
		4*time.Second,
		PeerMessage{
			Peer:    "n2",
			Message: Message{RelayTo: "n1", RelayedFrom: "n2", MachinesToScaleIn: []string{"m-9"}},
		},
	)
	delivered := false
	for _, o := range outputsOfType[SendToPeer](c.Advance(4 * time.Second)) {
		delivered = delivered || o.Peer == "n1" && len(o.Message.MachinesToScaleIn) == 1
	}
	if !delivered {
		t.Error("a message for n1 was not relayed")
	}
}

// The leader must ask its peers to poll machines with overdue heartbeats: a machine whose controller is cut off needs
// longer than the silence timeout to find another one.
func TestPeersPollMachinesWithOverdueHeartbeats(t *testing.T) {
	c := newLeadingCore(t)
	polledBy := map[string]int{}
	c.ownLease.expiresAt = time.Hour
	for now := time.Second; now < 7*time.Second; now += 100 * time.Millisecond {
		for _, n := range c.cfg.Peers {
			c.Handle(now, PeerMessage{Peer: n, Message: Message{Health: &Health{}}})
		}
		for _, o := range outputsOfType[SendToPeer](c.Advance(now)) {
			if len(o.Message.PollMachines) == 1 && o.Message.PollMachines[0] == "m-1" {
				polledBy[o.Peer]++
			}
		}
	}
	if polledBy["n1"] == 0 || polledBy["n2"] == 0 {
		t.Errorf("peers with a request to poll: %v, want n1 and n2", polledBy)
	}
	// The peer polls the machine, or sends the heartbeat that it has.
	for _, recent := range []bool{false, true} {
		c := newLeadingCore(t)
		if now := 8 * time.Second; recent {
			c.Handle(now, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(2)})
		}
		c.Advance(8 * time.Second)
		c.internMachine("m-1").status.lastPollAt = 0
		c.Handle(
			8100*time.Millisecond,
			PeerMessage{Peer: "n1", Message: Message{PollMachines: []string{"m-1", "m-unknown"}}},
		)
		polls, sent := 0, 0
		for _, o := range c.Advance(8100 * time.Millisecond) {
			switch o := o.(type) {
			case PollAgent:
				polls++
			case SendToPeer:
				if o.Peer == "n1" {
					sent += len(o.Message.Heartbeats)
				}
			}
		}
		if recent && sent == 0 || !recent && polls == 0 {
			t.Errorf("recent %v: %d polls, %d heartbeats sent", recent, polls, sent)
		}
	}
}

// A machine on which several different jobs fail must be quarantined. A single job may fail everywhere, so it does not
// count as evidence.
func TestFaultyMachineIsQuarantined(t *testing.T) {
	c := newLeadingCore(t)
	m := c.internMachine("m-1")
	fail := func(seq uint64, id string, attemptID uint64, cause string) {
		c.Handle(
			2*time.Second,
			AgentHeartbeat{
				RequestID: seq,
				Heartbeat: testHeartbeat(
					seq,
					wire.TaskStatus{Task: id + "/0", Attempt: attemptID, Stage: wire.TaskExited, Cause: cause},
				),
			},
		)
	}
	for i := uint64(0); i < 5; i++ {
		fail(10+i, "wk-1", i, wire.CauseError)
	}
	fail(20, "wk-2", 1, wire.CauseError)
	if m.health.isQuarantined(c.environment, c.jobs) {
		t.Error("a machine is quarantined after two failing jobs")
	}
	fail(21, "wk-3", 1, wire.CauseError)
	if !m.health.isQuarantined(c.environment, c.jobs) {
		t.Error("a machine is not quarantined after three failing jobs")
	}
	fail(22, "wk-4", 1, wire.CauseDone)
	if m.health.isQuarantined(c.environment, c.jobs) {
		t.Error("a machine is still quarantined after a completed task")
	}
}

// A wrong delta must be dropped even while the machine refuses starts. A wrong row led to refused starts, which counted
// as changes of the machine, so that its row was never recomputed.
func TestWrongDeltaIsDroppedDespiteRefusals(t *testing.T) {
	c := newLeadingCore(t)
	runFor(c, time.Second, 6*time.Second)
	m := c.internMachine("m-1")
	c.leaderState.applyDeltas(
		"n1",
		&AllocationDeltas{
			Seq:    1,
			Deltas: []AllocationDelta{{Machine: "m-1", Request: clusterstate.Resources{2000, 0, 2000}}},
		},
	)
	runFor(c, 6*time.Second, 6500*time.Millisecond)
	if r := c.leaderState.array.Row(m.index); r.Available[0] != 6000 {
		t.Errorf("the row shows %v free after the delta, want 6000", r.Available[0])
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

// A controller that has been cut off must not report machines as silent. When its connections were restored, it had
// live machines scaled in.
func TestCutOffControllerReportsNoSilentMachines(t *testing.T) {
	for _, cut := range []bool{false, true} {
		c := newLeadingCore(t)
		c.Handle(time.Second, testSubmission("wk-1"))
		runFor(c, time.Second, 2*time.Second)
		// Another controller is the leader, and no heartbeat of the machine arrives for a long time.
		other, err := json.Marshal(leasedKey{Holder: "n1", LeaseID: 9, FencingToken: 2})
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
		requested := false
		for _, o := range outputsOfType[SendToPeer](c.Advance(40 * time.Second)) {
			requested = requested || len(o.Message.SilentMachines) > 0
		}
		if requested == cut {
			t.Errorf("cut off %v: scale-in requested %v", cut, requested)
		}
	}
}

// With a heartbeat interval of 6 s, a healthy machine may be silent for 7.5 s. It was scaled in after 6.5 s.
func TestMachineWithinSilenceTimeoutIsNotScaledIn(t *testing.T) {
	c := newLeadingCore(t)
	c.cfg.Agents.HeartbeatInterval = 6 * time.Second
	m := c.internMachine("m-1")
	m.leaderView.provisionedAt = time.Second
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
		if m.leaderView.scaleInReason != "" {
			t.Fatalf("to be scaled in at %v as %s", c.now, m.leaderView.scaleInReason)
		}
	}
	runFor(c, 31*time.Second, 45*time.Second)
	if m.leaderView.scaleInReason != "silent" {
		t.Errorf(
			"a machine without further heartbeats is to be scaled in as %q, want silent",
			m.leaderView.scaleInReason,
		)
	}
}

// The headroom must grow with the variance of the demand, not with the size of the cluster.
func TestHeadroomOfALargeClass(t *testing.T) {
	c := newServingCore(t)
	c.cfg.Autoscaling.HeadroomShare, c.cfg.Autoscaling.HeadroomDeviations = 0.25, 1
	stats := &classStats{meanTasks: 10, meanSquareTasks: 100, meanInterval: time.Second}
	if n := c.autoscaler.headroomTasks(stats, 40); n != 10 {
		t.Errorf("the headroom of a small class is %v tasks, want those of an average job", n)
	}
	// In the 3 s until new capacity is ready, 3 jobs arrive: one standard deviation is 17 tasks.
	if n := c.autoscaler.headroomTasks(stats, 4000); n < 17 || n > 18 {
		t.Errorf("the headroom of a large class is %v tasks, want one standard deviation", n)
	}
}

// A machine must not be scaled in for a cancelled task that has stopped. Machines were scaled in for tasks that had
// stopped long before, because the writes of their ends waited for the write budget.
func TestStoppedTaskDoesNotCauseScaleIn(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		c := newLeadingCore(t)
		c.Handle(time.Second, testSubmission("wk-1"))
		runFor(c, time.Second, 2*time.Second)
		j := c.internJob("wk-1")
		status := wire.TaskStatus{Task: "wk-1/0", Attempt: j.assignments[0].Attempt, Stage: wire.TaskRunning}
		if stopped {
			status.Stage, status.Cause = wire.TaskExited, wire.CauseStopped
		}
		j.record.Stage, j.record.CancelledAtMS = jobrecord.Cancelled, c.unixMS()
		c.Handle(2*time.Second, AgentHeartbeat{RequestID: 10, Heartbeat: testHeartbeat(2, status)})
		c.now = 2*time.Second + c.cfg.Agents.CancelTimeout/2
		if got := len(c.enforceCancellations()); got != map[bool]int{false: 1, true: 0}[stopped] {
			t.Errorf("stopped %v: %d machines are to be scaled in", stopped, got)
		}
	}
}

// Replacements of an unreachable zone must be provisioned before its machines are scaled in. All machines of a
// partitioned zone were scaled in after a few seconds, although their tasks were still running and no other machines
// were ready for them.
func TestUnreachableZoneIsReplacedBeforeScaleIn(t *testing.T) {
	c := newLeadingCore(t)
	c.autoscaler.catalog["x"].Zones, c.autoscaler.catalog["x"].BootS = []string{"a", "b"}, 6
	report := func(now time.Duration, seq uint64, zone string) {
		c.Handle(now, AgentHeartbeat{RequestID: 9, Heartbeat: testHeartbeat(seq)})
		for i := 2; i < 8; i++ {
			heartbeat := testHeartbeat(seq)
			heartbeat.Machine, heartbeat.Zone = wire.TaskName("m", i), []string{"a", "b"}[i%2]
			heartbeat.Tasks = []wire.TaskStatus{{Task: wire.TaskName("wk-9", i), Attempt: 1, Stage: wire.TaskRunning}}
			if zone == "" || heartbeat.Zone == zone {
				c.Handle(now, AgentHeartbeat{RequestID: 9, Heartbeat: heartbeat})
			}
		}
	}
	report(time.Second, 2, "")
	lost := c.internMachine("m/3")
	var scaledOutAt, scaledInAt time.Duration
	seq := uint64(2)
	for now := time.Second; now < 25*time.Second; now += time.Second {
		seq++
		report(now, seq, "a")
		j := c.internJob("wk-8")
		j.revision, j.record, j.assignments = 1, &jobrecord.Record{
			Spec: &wire.JobSpec{ID: "wk-8", Tasks: 8, Team: "t", Request: [3]int64{4000, 0, 1000}},
		}, nil
		for i := int32(0); i < 8; i++ { // more than the other zone has capacity for
			j.assignments = append(
				j.assignments,
				jobrecord.Assignment{Task: i, Machine: lost.index, Incarnation: 1, Attempt: 1},
			)
			lost.allocation.assignments[taskKey{j.index, i}] = j.assignments[i]
		}
		c.markDirty(j)
		runFor(c, now, now+time.Second)
		if scaledOutAt == 0 && c.leaderState.scaleOutSeq > 0 {
			scaledOutAt = now
		}
		if scaledInAt == 0 && lost.leaderView.scaleInReason != "" {
			scaledInAt = now
		}
	}
	if scaledOutAt == 0 || scaledInAt == 0 || scaledInAt-scaledOutAt < 5*time.Second {
		t.Errorf("scaled out at %v, machines scaled in at %v", scaledOutAt, scaledInAt)
	}
	if m := c.internMachine("m/2"); m.leaderView.scaleInReason == "silent" {
		t.Error("a machine of the other zone is to be scaled in")
	}
}

// Work of lower priority must leave held capacity free. It took all capacity that was freed, while urgent jobs of other
// controllers waited for it.
func TestLowerPriorityRespectsCapacityHold(t *testing.T) {
	for _, priority := range []int{1, 2} {
		c := newLeadingCore(t)
		runFor(c, time.Second, 2*time.Second) // the machine of 4 CPUs is in the array
		c.endTerm()
		c.leadership.leader.Holder = "n1"
		c.clusterCopy.capacityHold = &CapacityHold{Priority: 1, Request: clusterstate.Resources{2000, 0, 1000}}
		in := testSubmission("wk-1")
		in.Spec.Priority = priority
		in.Spec.Tasks = 4
		c.Handle(2*time.Second, in)
		runFor(c, 2*time.Second, 3*time.Second)
		// Lower priority may use only machines without space for the held request, and the only machine is empty.
		if got, want := len(c.internJob("wk-1").assignments), map[int]int{1: 4, 2: 0}[priority]; got != want {
			t.Errorf("priority %d: %d tasks placed, want %d", priority, got, want)
		}
	}
}

// The capacity hold must be for the highest waiting priority, with the minimum of each resource over its requests, in
// whichever order the jobs come.
func TestCapacityHoldIsForTheHighestPriority(t *testing.T) {
	var hold *CapacityHold
	hold = hold.withWaiting(2, clusterstate.Resources{4000, 0, 4000})
	hold = hold.withWaiting(1, clusterstate.Resources{3000, 0, 9000})
	hold = hold.withWaiting(2, clusterstate.Resources{1, 0, 1})
	hold = hold.withWaiting(1, clusterstate.Resources{5000, 0, 8000})
	if *hold != (CapacityHold{1, clusterstate.Resources{3000, 0, 8000}}) {
		t.Errorf("the hold is %+v", *hold)
	}
}

// newCoreOfFive returns a serving core that is one of five controllers. The first four hold three of the twelve shards
// each, and the last one holds none.
func newCoreOfFive(t *testing.T, index int) *Core {
	t.Helper()
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
		raw, err := json.Marshal(leasedKey{Holder: names[i], LeaseID: uint64(7 + i), FencingToken: 1})
		if err != nil {
			t.Fatal(err)
		}
		in.Items = append(
			in.Items,
			wire.KeyValue{Key: keyRegistration + names[i], Value: raw, Revision: 5},
			wire.KeyValue{Key: keyLeader, Value: raw, Revision: 5},
		)
		for shard := 0; shard < 3 && i < 4; shard++ {
			in.Items = append(in.Items, wire.KeyValue{Key: shardKey(i*3 + shard), Value: raw, Revision: 5})
		}
	}
	c.cfg.Name = names[index]
	c.Handle(time.Second, LeaseResult{Op: LeaseGrant, Status: wire.StatusOK, LeaseID: uint64(7 + index)})
	c.Handle(time.Second, in)
	return c
}

// A controller without shards must accept submissions, and one with the most shards must release one for it. With
// twelve shards and five controllers, four held three shards each, and the fifth held none and refused every
// submission.
func TestControllerWithoutShardServes(t *testing.T) {
	c := newCoreOfFive(t, 4)
	c.Handle(1100*time.Millisecond, testSubmission("wk-1"))
	accepted := false
	for _, commit := range outputsOfType[CommitTxn](c.Advance(1100 * time.Millisecond)) {
		for _, write := range commit.Txn.Then {
			// The compares are of the job's key and the archive's marker, and of no shard.
			accepted = accepted || write.Put == keyJob+"wk-1" && len(commit.Txn.Compare) == 2
		}
	}
	if !accepted {
		t.Error("a controller without a shard does not accept a job")
	}
	c = newCoreOfFive(t, 0)
	released := false
	for _, commit := range outputsOfType[CommitTxn](c.Advance(3 * time.Second)) {
		for _, write := range commit.Txn.Then {
			released = released || write.Delete != ""
		}
	}
	if !released {
		t.Error("a controller with three shards releases none while another has none")
	}
}

// Replicas of services must be packed onto few machines. Each was placed on the machine with the most free capacity, so
// that after a busy start a few replicas on each of hundreds of on-demand machines kept all of these from scale in.
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
	heartbeat := testHeartbeat(2)
	heartbeat.Machine, heartbeat.Tasks = "m-2", nil
	c.Handle(2*time.Second, AgentHeartbeat{RequestID: 10, Heartbeat: heartbeat})
	runFor(c, 2*time.Second, 3*time.Second)
	in = testSubmission("wk-2")
	in.Spec.Service = true
	c.Handle(3*time.Second, in)
	runFor(c, 3*time.Second, 4*time.Second)
	if placed := c.internJob("wk-2").assignments; len(placed) != 1 || c.machines[placed[0].Machine].name != "m-1" {
		t.Errorf("the second replica is on %v, want m-1, which has the first one", placed)
	}
}

// A job with lost replicas must be written with the priority of one with tasks to place. After the loss of a zone, the
// writes of its jobs came after those of all jobs that waited for capacity, because a job counted as one with tasks to
// place only after the write of its loss.
func TestLostReplicaIsAsUrgentAsAWaitingOne(t *testing.T) {
	c := newLeadingCore(t)
	in := testSubmission("wk-1")
	in.Spec.Service = true
	c.Handle(time.Second, in)
	runFor(c, time.Second, 2*time.Second)
	j := c.internJob("wk-1")
	before := j.writePriority()
	c.markMachineGone(c.internMachine("m-1"))
	if got := j.writePriority(); got >= before || !j.write.dirty || j.write.nextExamineAt > c.now {
		t.Errorf(
			"write priority %d before and %d after the loss, examined %v later",
			before, got, j.write.nextExamineAt-c.now,
		)
	}
}

// The replicas of a lost zone restart with one write per job, so the jobs with the most lost replicas must be written
// first.
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

// Each node group must be requested once before any is requested again. Several of the few cloud calls per second
// requested the same node group, and if it had no capacity left, all of them were wasted.
func TestEachNodeGroupIsRequestedBeforeAnyTwice(t *testing.T) {
	c := newLeadingCore(t)
	c.autoscaler.catalog["x"].Zones = []string{"a", "b", "c", "d"}
	in := testSubmission("wk-1")
	in.Spec.Tasks, in.Spec.Request = 400, [3]int64{4000, 0, 1000} // each needs a machine
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
		t.Errorf("machines requested by zone: %v", zones)
	}
}

// The work of a controller per second must depend on the number of events, not of machines: with a thousand machines,
// examining and sending everything took a quarter of a CPU core.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	type work struct{ examined, rows, heartbeats, digests int }
	workInOneSecond := func(n int) (w work) {
		c := newLeadingCore(t)
		report := func(now time.Duration, seq uint64, i int, tasks ...wire.TaskStatus) {
			heartbeat := testHeartbeat(seq, tasks...)
			heartbeat.Machine = wire.TaskName("m", i)
			c.Handle(now, AgentHeartbeat{RequestID: 1, Heartbeat: heartbeat})
		}
		seq := uint64(1)
		for now := time.Second; now < 10*time.Second; now += time.Second {
			seq++
			c.Handle(now, AgentHeartbeat{RequestID: 1, Heartbeat: testHeartbeat(seq)})
			for i := range n {
				report(now, seq, i)
			}
			runFor(c, now, now+time.Second)
		}
		c.leaderState.nextFullPushAt = time.Hour // the full push is not due
		examinedBefore := c.Stats.MachineLooks
		for i := range n {
			report(10*time.Second, 20, i)
		}
		report(10*time.Second, 21, 0, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, Stage: wire.TaskRunning})
		in := testSubmission("wk-2")
		in.Spec.Tasks = 3
		c.Handle(10*time.Second, in)
		messages, _ := runFor(c, 10*time.Second, 11*time.Second)
		for _, m := range messages {
			w.heartbeats += len(m.Heartbeats)
			w.digests += len(m.HeartbeatDigests)
			if m.StatePush != nil {
				w.rows += len(m.StatePush.Rows)
			}
		}
		w.examined = int(c.Stats.MachineLooks - examinedBefore)
		return w
	}
	small, large := workInOneSecond(20), workInOneSecond(1000)
	// Each of the two peers gets every heartbeat and digest once.
	if small.heartbeats != 2 || large.heartbeats != 2 || small.digests != 2*20 || large.digests != 2*1000 {
		t.Errorf("heartbeats of 20 machines: %+v, of 1000: %+v", small, large)
	}
	if large.examined > small.examined+5 || large.rows > small.rows+10 || small.rows == 0 || small.examined == 0 {
		t.Errorf("20 machines: %+v, 1000 machines: %+v", small, large)
	}
}

// Submissions that cannot be written in time must be refused at once with a time to retry, and must use no memory after
// that.
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
			t.Fatalf("got %+v, want a refusal with a time to retry", r)
		}
		refused++
	}
	if refused != 470 || len(c.jobs) != 30 {
		t.Errorf("%d of 500 refused at once, %d jobs kept", refused, len(c.jobs))
	}
	// Submissions whose write has not been sent are refused at their deadline. The others wait for its outcome.
	late := len(outputsOfType[Response](c.Advance(3 * time.Second)))
	if late == 0 || late+c.pendingSubmissions != 30 {
		t.Errorf("%d refused late, %d still wait, of 30", late, c.pendingSubmissions)
	}
}

// A controller whose reads are not answered must let its lease expire until one is answered. If its writes were still
// answered, it kept its lease and its shards, but did not act on them.
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
			c.replica.afterReadBarrier(func(bool) {})
		}
		return n
	}
	if n := extended(2*time.Second, 8*time.Second, wire.StatusOK); n == 0 {
		t.Fatal("the lease was not extended")
	}
	extended(8*time.Second, 14*time.Second, wire.StatusNoResponse)
	if n := extended(14*time.Second, 30*time.Second, wire.StatusNoResponse); n != 0 || c.ownLease.isHeld() {
		t.Errorf("without an answer to a read, the lease was requested %d times", n)
	}
	if n := extended(30*time.Second, 33*time.Second, wire.StatusOK); n == 0 || !c.ownLease.isHeld() {
		t.Errorf("after an answered read, the lease was requested %d times", n)
	}
}
