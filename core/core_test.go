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

func testConfig() Config {
	return Config{Form: Form, Name: "n0", Peers: []string{"n1", "n2"}, Teams: []Team{{Name: "t"}}, Lease: 4 * time.Second, Shards: 4,
		StateRPS: 100, WriteRPS: 100, WriteShare: 0.6, ValueBytes: 8192, TxnOps: 12, CloudRPS: 4, ReportEvery: 3 * time.Second,
		WorkerLease: 20 * time.Second, CancelIn: 40 * time.Second, DeltaEvery: 50 * time.Millisecond, PushEvery: 200 * time.Millisecond,
		CopyExpire: 10 * time.Second, ProbeRatio: 2, Silent: 2 * time.Second, BootPatience: 3, WholePush: 10 * time.Second, PushGap: 100 * time.Millisecond, OrderAgain: time.Second, OrdersMost: 400, ProbesMost: 100,
		ClearWait: 2 * time.Second, PassTime: 3 * time.Second, LinkLost: 1500 * time.Millisecond, RoomAgain: 4 * time.Second,
		ListEvery: 2500 * time.Millisecond, SettleMost: 2 * time.Second, CancelShare: 0.35,
		LossGather: 700 * time.Millisecond, AcceptWait: 1500 * time.Millisecond, HealthEvery: 500 * time.Millisecond, LookAll: 20 * time.Second, RentAhead: 3 * time.Second,
		EndedKept: 100, HistoryCache: 1 << 20, HistoryShare: 0.5, Archive: true}
}

func outputs[T Output](out []Output) []T {
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
func TestServesWithKeptMachineTypesWhileCloudIsDown(t *testing.T) {
	raw, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, kept := range []bool{false, true} {
		c := New(testConfig(), 0, 1)
		c.Advance(time.Second)
		in := Loaded{OK: true, Ledger: 5}
		if kept {
			in.Items = []wire.KeyValue{{Key: keyTypes, Value: raw, Revision: 5}}
		}
		c.Handle(1001*time.Millisecond, in)
		c.Handle(1002*time.Millisecond, Leased{Op: "grant", Status: 200, Lease: 7})
		c.Advance(4 * time.Millisecond)
		if c.Healthy() != kept {
			t.Errorf("types kept %v: healthy %v", kept, c.Healthy())
		}
	}
}

// In an outage of the state service, a controller that cannot load yet must still vouch that
// it does not reach it: else the last loaded one lacks a majority and lets all tasks die.
func TestTellsHealthBeforeItHasLoaded(t *testing.T) {
	c := New(testConfig(), 0, 1)
	msgs := outputs[ToPeer](c.Advance(time.Second))
	if len(msgs) != 1 || msgs[0].Msg.Health == nil || msgs[0].Msg.Health.StateOK {
		t.Fatalf("got %+v", msgs)
	}
}

// A job of the largest size must fit a value at every stage of its work, also when its tasks
// end in the order that leaves most pieces: every other one first.
func TestLargestJobFitsAValue(t *testing.T) {
	for _, perMachine := range []int{1, 8} {
		c := New(testConfig(), 0, 1)
		spec := &wire.JobSpec{ID: "wk-1", Class: "c", Team: "t", Tasks: wire.MaxTasksPerJob, Request: [3]int64{100, 0, 100}}
		rec := &jobrecord.Record{Spec: spec, CompletedTasks: jobrecord.TaskSet{0, 90_000}, LastAttempt: 91_000}
		var place []jobrecord.Assignment
		least := 1 << 20
		for round := 0; round < 40; round++ {
			p := &proposal{rec: rec, spec: spec, place: place}
			for i, task := range rec.UnassignedTasks(place, c.maxPlaced()-len(place)) {
				m := c.machine(wire.TaskName("m", 100000+1000*round+i/perMachine))
				m.identity.zone = "a-zone"
				rec.LastAttempt++
				a := jobrecord.Assignment{Task: task, Machine: m.idx, Incarnation: 1, Attempt: rec.LastAttempt}
				p.place, p.started = append(p.place, a), append(p.started, a)
			}
			if _, err := c.fitValue(p); err != nil {
				t.Fatal(err)
			}
			least = min(least, len(p.place))
			var odd []jobrecord.Assignment
			for i, a := range p.place {
				if i%2 == 0 {
					odd = append(odd, a)
					continue
				}
				rec.CompletedTasks = rec.CompletedTasks.Add(int(a.Task))
				if raw, err := c.encodeRecord(rec, append(slices.Clone(odd), p.place[i+1:]...), false); err != nil || len(raw) > c.cfg.ValueBytes {
					t.Fatalf("round %d: %d bytes, at most %d fit (%v)", round, len(raw), c.cfg.ValueBytes, err)
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
	c := leading(t)
	c.cfg.ValueBytes = 1700
	in := submitted("wk-1")
	in.Spec.Tasks, in.Spec.Request, in.Spec.Class = 300, [3]int64{1, 0, 1}, strings.Repeat("c", 1200)
	c.Handle(time.Second, in)
	drive(c, time.Second, 3*time.Second)
	j := c.job("wk-1")
	if n := len(j.place); n == 0 || n >= c.maxPlaced() {
		t.Fatalf("%d of 300 tasks placed", n)
	}
	for now := 3 * time.Second; now < 6*time.Second; now += 100 * time.Millisecond {
		c.touch(j)
		for _, o := range outputs[Commit](c.Advance(now)) {
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
	spec := &wire.JobSpec{ID: "wk-1", Class: "some-class", Team: "t", Tasks: 500, Request: [3]int64{4000, 0, 8900}, Image: "an-image"}
	p := &proposal{rec: &jobrecord.Record{Spec: spec, LastAttempt: 500}, spec: spec}
	for i := 0; i < 500; i++ {
		m := c.machine(wire.TaskName("m", 100000+i/5))
		m.identity.zone = []string{"a-zone", "b-zone"}[i/5%2]
		p.place = append(p.place, jobrecord.Assignment{Task: int32(i), Machine: m.idx, Incarnation: 1, Attempt: uint64(i + 1)})
	}
	p.started = p.place
	raw, err := c.fitValue(p)
	if err != nil || len(p.place) != 500 {
		t.Fatalf("%d of 500 tasks placed (%v)", len(p.place), err)
	}
	keepsAll(t, c, raw, p.place)
}

// keepsAll checks that a record says all of its assignments.
func keepsAll(t *testing.T, c *Core, raw json.RawMessage, place []jobrecord.Assignment) {
	t.Helper()
	r, err := jobrecord.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	back := map[jobrecord.Assignment]bool{}
	for _, a := range r.ExpandAssignments(c.seat) {
		back[a] = true
	}
	for _, a := range place {
		if !back[a] {
			t.Fatalf("%+v was lost", a)
		}
	}
}

// serving is a core that has loaded, holds its lease and all shards, and knows a machine type.
func serving(t *testing.T) *Core {
	t.Helper()
	cfg := testConfig()
	c := New(cfg, 0, 1)
	c.Advance(time.Second)
	types, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Price: 1, Zones: []string{"a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	c.Handle(time.Second, Loaded{OK: true, Ledger: 5, Items: []wire.KeyValue{{Key: keyTypes, Value: types, Revision: 5}}})
	c.Handle(time.Second, Leased{Op: "grant", Status: 200, Lease: 7})
	ev := []wire.WatchEvent{{Put: keyEpoch, Value: json.RawMessage("1"), Revision: 6}}
	for i := range cfg.Shards {
		ev = append(ev, wire.WatchEvent{Put: shardKey(i), Value: c.heldValue(1), Revision: 6})
	}
	c.Handle(time.Second, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 6, Events: ev}})
	return c
}

func submitted(id string) Submit {
	return Submit{Req: 1, ID: id, Spec: wire.JobSpec{ID: id, Class: "c", Team: "t", Tasks: 1, Request: [3]int64{1000, 0, 1000}}}
}

// A transaction whose outcome stays unknown while all keys are read again once sent the core
// round and round; it must wait for the reading to end, and refuse the user at once.
func TestUnknownOutcomeWhileReadingAllKeysAgain(t *testing.T) {
	c := serving(t)
	c.Handle(time.Second, submitted("wk-1"))
	var commit *Commit
	for _, o := range outputs[Commit](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			if w.Put == keyJob+"wk-1" {
				commit = &o
			}
		}
	}
	if commit == nil {
		t.Fatal("the job was not written")
	}
	c.Handle(1200*time.Millisecond, Changed{Hold: true, Status: 410})
	c.Handle(1300*time.Millisecond, Committed{ID: commit.ID})
	replies := outputs[Reply](c.Advance(1300 * time.Millisecond))
	if len(replies) != 1 || replies[0].Status != 503 || replies[0].RetryAfter == 0 {
		t.Fatalf("got %+v", replies)
	}
}

func TestAnswersToBadSubmissions(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Submit)
		want   int
	}{
		"unknown team":  {func(s *Submit) { s.Spec.Team = "nobody" }, 422},
		"fits nowhere":  {func(s *Submit) { s.Spec.Request[0] = 5000 }, 422},
		"unknown type":  {func(s *Submit) { s.Spec.MachineTypes = []string{"y"} }, 422},
		"malformed":     {func(s *Submit) { s.Bad = "no" }, 400},
		"nothing known": {func(s *Submit) { s.Bad, s.ID = "no", "" }, 400},
	} {
		c := serving(t)
		in := submitted("wk-1")
		tc.change(&in)
		c.Handle(1100*time.Millisecond, in)
		out := c.Advance(1100 * time.Millisecond)
		replies := outputs[Reply](out)
		if len(replies) == 0 { // it is first learnt whether the job was accepted before
			c.Handle(1110*time.Millisecond, Changed{Status: 200, Changes: wire.WatchResponse{Revision: 6}})
			replies = outputs[Reply](c.Advance(1110 * time.Millisecond))
		}
		if len(replies) != 1 || replies[0].Status != tc.want {
			t.Errorf("%s: got %+v, want %d", name, replies, tc.want)
		}
	}
}

// drive lets time pass and answers what the core asks: every write succeeds, the cloud has no
// machines. It returns what went to other controllers.
func drive(c *Core, from, to time.Duration) (msgs []Msg, orders []Orders) {
	ledger := uint64(100)
	for _, j := range c.jobs {
		ledger = max(ledger, j.mark)
	}
	for now := from; now < to; now += 50 * time.Millisecond {
		for _, o := range c.Advance(now) {
			switch o := o.(type) {
			case Commit:
				ledger++
				c.Handle(now, Committed{ID: o.ID, Status: 200, Reply: wire.TxnResponse{Revision: ledger}})
			case CloudOp:
				in := Clouded{ID: o.ID, Status: 200}
				if o.Op == "rent" {
					in.Status, in.Error = 503, noCapacity
				}
				c.Handle(now, in)
			case LeaseOp:
				c.Handle(now, Leased{Op: o.Op, Status: 200, Lease: c.ownLease.id})
			case Orders:
				orders = append(orders, o)
				c.Handle(now, Ordered{ID: o.ID, Status: 200, Sent: true})
			case ToPeer:
				msgs = append(msgs, o.Msg)
			}
		}
	}
	return msgs, orders
}

func report(seq uint64, pieces ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "m-1", Addr: "x:1", Type: "x", Zone: "a", Incarnation: 1, Sequence: seq, FencingToken: 1, Tasks: pieces}
}

func leading(t *testing.T) *Core {
	t.Helper()
	c := serving(t)
	c.Handle(time.Second, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 7,
		Events: []wire.WatchEvent{{Put: keyLeader, Value: c.heldValue(1), Revision: 7}}}})
	c.Handle(time.Second, Beat{Req: 9, Report: report(1)})
	return c
}

// Replicas waited up to a minute for room that work of lower priority held.
func TestWaitingReplicaMakesRoom(t *testing.T) {
	for _, prio := range []int{0, 2} {
		c := leading(t)
		low := submitted("wk-1")
		low.Spec.Priority, low.Spec.Request, low.Spec.EstimatedRuntimeMS = 2, [3]int64{4000, 0, 1000}, 60000
		c.Handle(time.Second, low)
		drive(c, time.Second, 2*time.Second)
		try := c.job("wk-1").rec.LastAttempt
		if try == 0 {
			t.Fatal("the first job was not placed")
		}
		c.Handle(2*time.Second, Beat{Req: 10, Report: report(2, wire.TaskStatus{Task: "wk-1/0", Attempt: try, Stage: wire.TaskRunning})})
		high := submitted("wk-2")
		high.Spec.Service, high.Spec.Priority = true, prio
		c.Handle(2*time.Second, high)
		_, orders := drive(c, 2*time.Second, 5*time.Second)
		stopped := false
		for _, o := range orders {
			for _, x := range o.Body.Commands {
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
	c := leading(t)
	in := submitted("wk-1")
	in.Spec.Tasks = 2
	c.Handle(time.Second, in)
	drive(c, time.Second, 6*time.Second)
	p := func(task string, try uint64, stage, cause string) wire.TaskStatus {
		return wire.TaskStatus{Task: "wk-1/" + task, Attempt: try, Stage: stage, Cause: cause}
	}
	c.Handle(6*time.Second, Beat{Req: 10, Report: report(2, p("0", 1, wire.TaskRunning, ""), p("1", 2, wire.TaskRunning, ""))})
	drive(c, 6*time.Second, 10*time.Second)
	c.Handle(10*time.Second, Beat{Req: 11, Report: report(3, p("0", 1, wire.TaskExited, wire.CauseDone), p("1", 2, wire.TaskRunning, ""))})
	drive(c, 10*time.Second, 12500*time.Millisecond)
	m := c.machine("m-1").idx
	if r := c.lead.array.Row(m); r == nil || r.Available[0] != 3000 {
		t.Errorf("the array's row is %+v, one task of 1 CPU runs on 4", r)
	}
	if r := c.clusterCopy.state.Row(m); r == nil || r.Available[0] != 3000 {
		t.Errorf("the copy's row is %+v", r)
	}
}

// Two zones that can't reach each other: reports go by way of the third controller.
func TestMessagesGoByWayOfAnother(t *testing.T) {
	c := serving(t)
	for _, n := range []string{"n1", "n2"} {
		c.Handle(time.Second, FromPeer{Peer: n, Msg: Msg{Health: &Health{}}})
	}
	c.Handle(4*time.Second, FromPeer{Peer: "n2", Msg: Msg{Health: &Health{}}})
	c.Handle(4*time.Second, Beat{Req: 9, Report: report(1)})
	via := 0
	for _, o := range outputs[ToPeer](c.Advance(4 * time.Second)) {
		if o.Msg.Reports == nil {
			continue
		}
		if o.Peer != "n2" {
			t.Errorf("a report went to %s, which is not reached", o.Peer)
		}
		if o.Msg.To == "n1" && o.Msg.From == "n0" {
			via++
		}
	}
	if via != 1 {
		t.Errorf("%d reports for n1 went by way of n2, want 1", via)
	}
	// And one that is to be passed on is passed on unchanged.
	c.Handle(4*time.Second, FromPeer{Peer: "n2", Msg: Msg{To: "n1", From: "n2", Return: []string{"m-9"}}})
	passed := false
	for _, o := range outputs[ToPeer](c.Advance(4 * time.Second)) {
		passed = passed || o.Peer == "n1" && len(o.Msg.Return) == 1
	}
	if !passed {
		t.Error("a message for n1 was not passed on")
	}
}

// A machine whose controller is cut off needs longer to find another than a silent one is waited
// for. The leader has the others ask it.
func TestOthersAskQuietMachines(t *testing.T) {
	c := leading(t)
	asked := map[string]int{}
	c.ownLease.expiresAt = time.Hour
	for now := time.Second; now < 7*time.Second; now += 100 * time.Millisecond {
		for _, n := range c.cfg.Peers {
			c.Handle(now, FromPeer{Peer: n, Msg: Msg{Health: &Health{}}})
		}
		for _, o := range outputs[ToPeer](c.Advance(now)) {
			if len(o.Msg.Show) == 1 && o.Msg.Show[0] == "m-1" {
				asked[o.Peer]++
			}
		}
	}
	if asked["n1"] == 0 || asked["n2"] == 0 {
		t.Errorf("asked %v", asked)
	}
	// Who is asked asks the machine, or tells what it has heard.
	for _, heard := range []bool{false, true} {
		c := leading(t)
		if now := 8 * time.Second; heard {
			c.Handle(now, Beat{Req: 9, Report: report(2)})
		}
		c.Advance(8 * time.Second)
		c.machine("m-1").status.lastPollAt = 0
		c.Handle(8100*time.Millisecond, FromPeer{Peer: "n1", Msg: Msg{Show: []string{"m-1", "m-unknown"}}})
		probes, told := 0, 0
		for _, o := range c.Advance(8100 * time.Millisecond) {
			switch o := o.(type) {
			case Probe:
				probes++
			case ToPeer:
				if o.Peer == "n1" {
					told += len(o.Msg.Reports)
				}
			}
		}
		if heard && told == 0 || !heard && probes == 0 {
			t.Errorf("heard %v: %d probes, %d reports told", heard, probes, told)
		}
	}
}

// A machine on which different jobs fail is not used; a job that fails everywhere is no proof.
func TestFaultyMachine(t *testing.T) {
	c := leading(t)
	m := c.machine("m-1")
	fail := func(seq uint64, id string, try uint64, cause string) {
		c.Handle(2*time.Second, Beat{Req: seq, Report: report(seq, wire.TaskStatus{Task: id + "/0", Attempt: try, Stage: wire.TaskExited, Cause: cause})})
	}
	for i := uint64(0); i < 5; i++ {
		fail(10+i, "wk-1", i, wire.CauseError)
	}
	fail(20, "wk-2", 1, wire.CauseError)
	if c.faulty(m) {
		t.Error("two failing jobs make a machine faulty")
	}
	fail(21, "wk-3", 1, wire.CauseError)
	if !c.faulty(m) {
		t.Error("three failing jobs do not make a machine faulty")
	}
	fail(22, "wk-4", 1, wire.CauseDone)
	if c.faulty(m) {
		t.Error("a machine that completes tasks is faulty")
	}
}

// A wrong row led to refusals, and these are changes at the machine: it was never quiet enough to be worked out anew.
func TestWrongTupleIsForgottenAmidRefusals(t *testing.T) {
	c := leading(t)
	drive(c, time.Second, 6*time.Second)
	m := c.machine("m-1")
	c.lead.take(c, "n1", &Deltas{Seq: 1, List: []DeltaMsg{{Machine: "m-1", Claim: clusterstate.Resources{2000, 0, 2000}}}})
	drive(c, 6*time.Second, 6500*time.Millisecond)
	if r := c.lead.array.Row(m.idx); r.Available[0] != 6000 {
		t.Errorf("the row shows %v free after the tuple", r.Available[0])
	}
	seq := uint64(10)
	for now := 6500 * time.Millisecond; now < 12*time.Second; now += time.Second {
		seq++
		c.Handle(now, Beat{Req: seq, Report: report(seq, wire.TaskStatus{Task: "wk-1/0", Attempt: seq, Stage: wire.TaskExited, Cause: wire.CauseNoCapacity})})
		drive(c, now, now+time.Second)
	}
	if r := c.lead.array.Row(m.idx); r.Available[0] != 4000 {
		t.Errorf("the row still shows %v of 4000 free", r.Available[0])
	}
}

// A controller that was cut off came back and had live machines returned as silent.
func TestCutOffControllerDoesNotJudgeSilence(t *testing.T) {
	for _, cut := range []bool{false, true} {
		c := leading(t)
		c.Handle(time.Second, submitted("wk-1"))
		drive(c, time.Second, 2*time.Second)
		// Another controller leads; then nothing is heard of the machine for long.
		other, err := json.Marshal(held{Node: "n1", Lease: 9, Token: 2})
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(2*time.Second, Changed{Hold: true, Status: 200, Changes: wire.WatchResponse{Revision: 200,
			Events: []wire.WatchEvent{{Put: keyLeader, Value: other, Revision: 200}}}})
		c.Advance(2 * time.Second)
		if !cut {
			c.ownLease.expiresAt = time.Hour
		}
		asked := false
		for _, o := range outputs[ToPeer](c.Advance(40 * time.Second)) {
			asked = asked || len(o.Msg.Silent) > 0
		}
		if asked == cut {
			t.Errorf("cut off %v: asked %v", cut, asked)
		}
	}
}

// Where workers report every 6 s, a healthy machine may be quiet for 7.5 s; it was returned
// after 6.5 s.
func TestQuietMachineIsNotSilent(t *testing.T) {
	c := leading(t)
	c.cfg.ReportEvery = 6 * time.Second
	m := c.machine("m-1")
	m.lead.rented = time.Second
	for at := 1 * time.Second; at < 30*time.Second; at += 7500 * time.Millisecond {
		c.Handle(at, Beat{Req: uint64(at), Report: report(uint64(at/time.Millisecond), wire.TaskStatus{Task: "wk-1/0", Attempt: 1, Stage: wire.TaskRunning})})
		drive(c, at, at+7500*time.Millisecond)
		if m.lead.why != "" {
			t.Fatalf("returned at %v as %s", c.now, m.lead.why)
		}
	}
	drive(c, 31*time.Second, 45*time.Second)
	if m.lead.why != "silent" {
		t.Errorf("a machine that never reports again is not returned as silent but as %q", m.lead.why)
	}
}

// Spare room grows with the spread of what jobs ask for, not with the size of the fleet.
func TestSpareRoomOfALargeClass(t *testing.T) {
	c := serving(t)
	c.cfg.SpareShare, c.cfg.SpareDev = 0.25, 1
	st := &classStat{tasks: 10, square: 100, gap: time.Second}
	if n := c.spare(st, 40); n != 10 {
		t.Errorf("a small class keeps room for %v tasks, want a job of the usual size", n)
	}
	// In the 3 s until room can be there, 3 jobs come: 17 tasks is one standard deviation.
	if n := c.spare(st, 4000); n < 17 || n > 18 {
		t.Errorf("a large class keeps room for %v tasks", n)
	}
}

// Machines were returned for cancelled tasks that had long stopped: only the write of their
// ends waited for the change budget.
func TestStoppedTaskIsNoReasonToReturnItsMachine(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		c := leading(t)
		c.Handle(time.Second, submitted("wk-1"))
		drive(c, time.Second, 2*time.Second)
		j := c.job("wk-1")
		p := wire.TaskStatus{Task: "wk-1/0", Attempt: j.place[0].Attempt, Stage: wire.TaskRunning}
		if stopped {
			p.Stage, p.Cause = wire.TaskExited, wire.CauseStopped
		}
		j.rec.Stage, j.rec.CancelledAtMS = jobrecord.Cancelled, c.unixMS()
		c.Handle(2*time.Second, Beat{Req: 10, Report: report(2, p)})
		c.now = 2*time.Second + c.cfg.CancelIn/2
		if got := len(c.sweepCancels()); got != map[bool]int{false: 1, true: 0}[stopped] {
			t.Errorf("stopped %v: %d machines asked for", stopped, got)
		}
	}
}

// All machines of a cut-off zone were returned after a few seconds, with all the tasks that ran
// on there, and nothing was up to take them. Now others are rented first.
func TestCutZoneIsReplacedBeforeItIsReturned(t *testing.T) {
	c := leading(t)
	c.autoscaler.catalog["x"].Zones, c.autoscaler.catalog["x"].BootS = []string{"a", "b"}, 6
	say := func(now time.Duration, seq uint64, zone string) {
		c.Handle(now, Beat{Req: 9, Report: report(seq)})
		for i := 2; i < 8; i++ {
			r := report(seq)
			r.Machine, r.Zone = wire.TaskName("m", i), []string{"a", "b"}[i%2]
			r.Tasks = []wire.TaskStatus{{Task: wire.TaskName("wk-9", i), Attempt: 1, Stage: wire.TaskRunning}}
			if zone == "" || r.Zone == zone {
				c.Handle(now, Beat{Req: 9, Report: r})
			}
		}
	}
	say(time.Second, 2, "")
	lost := c.machine("m/3")
	var rented, returned time.Duration
	seq := uint64(2)
	for now := time.Second; now < 25*time.Second; now += time.Second {
		seq++
		say(now, seq, "a")
		j := c.job("wk-8")
		j.mark, j.rec, j.place = 1, &jobrecord.Record{Spec: &wire.JobSpec{ID: "wk-8", Tasks: 8, Team: "t", Request: [3]int64{4000, 0, 1000}}}, nil
		for i := int32(0); i < 8; i++ { // more than the other zone has room for
			j.place = append(j.place, jobrecord.Assignment{Task: i, Machine: lost.idx, Incarnation: 1, Attempt: 1})
			lost.allocation.assignments[taskKey{j.idx, i}] = j.place[i]
		}
		c.touch(j)
		drive(c, now, now+time.Second)
		if rented == 0 && c.lead.hires > 0 {
			rented = now
		}
		if returned == 0 && lost.lead.why != "" {
			returned = now
		}
	}
	if rented == 0 || returned == 0 || returned-rented < 5*time.Second {
		t.Errorf("rented at %v, returned at %v", rented, returned)
	}
	if m := c.machine("m/2"); m.lead.why == "silent" {
		t.Error("a machine of the other zone was returned")
	}
}

// Work of lower priority took each bit of room that came free, while urgent jobs of other
// controllers waited for it.
func TestLowerPriorityLeavesRoomToThoseThatWait(t *testing.T) {
	for _, prio := range []int{1, 2} {
		c := leading(t)
		drive(c, time.Second, 2*time.Second) // the machine of 4 CPUs is in the array
		c.lead = nil
		c.leadership.leader.Node = "n1"
		c.clusterCopy.capacityHold = &Hold{Priority: 1, Claim: clusterstate.Resources{2000, 0, 1000}}
		in := submitted("wk-1")
		in.Spec.Priority = prio
		in.Spec.Tasks = 4
		c.Handle(2*time.Second, in)
		drive(c, 2*time.Second, 3*time.Second)
		// A lower one may use what the waiting claim does not fit into: nothing, while all is free.
		if got, want := len(c.job("wk-1").place), map[int]int{1: 4, 2: 0}[prio]; got != want {
			t.Errorf("priority %d: %d tasks placed, want %d", prio, got, want)
		}
	}
}

func TestHoldIsForTheMostUrgent(t *testing.T) {
	var h *Hold
	h = h.with(2, clusterstate.Resources{4000, 0, 4000})
	h = h.with(1, clusterstate.Resources{3000, 0, 9000})
	h = h.with(2, clusterstate.Resources{1, 0, 1})
	h = h.with(1, clusterstate.Resources{5000, 0, 8000})
	if *h != (Hold{1, clusterstate.Resources{3000, 0, 8000}}) {
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
		types, err := json.Marshal(wire.Catalog{Types: []wire.MachineType{{Name: "x", CPUs: 4, MemoryGB: 8, Price: 1, Zones: []string{"a"}}}})
		if err != nil {
			t.Fatal(err)
		}
		in := Loaded{OK: true, Ledger: 5, Items: []wire.KeyValue{{Key: keyTypes, Value: types, Revision: 5}, {Key: keyEpoch, Value: json.RawMessage("1"), Revision: 5}}}
		names := []string{"n1", "n2", "n3", "n4", "n0"}
		for i := range names {
			raw, err := json.Marshal(held{Node: names[i], Lease: uint64(7 + i), Token: 1})
			if err != nil {
				t.Fatal(err)
			}
			in.Items = append(in.Items, wire.KeyValue{Key: keyNode + names[i], Value: raw, Revision: 5}, wire.KeyValue{Key: keyLeader, Value: raw, Revision: 5})
			for s := 0; s < 3 && i < 4; s++ {
				in.Items = append(in.Items, wire.KeyValue{Key: shardKey(i*3 + s), Value: raw, Revision: 5})
			}
		}
		c.cfg.Name = names[me]
		c.Handle(time.Second, Leased{Op: "grant", Status: 200, Lease: uint64(7 + me)})
		c.Handle(time.Second, in)
		return c
	}
	c := holders(4)
	c.Handle(1100*time.Millisecond, submitted("wk-1"))
	accepted := false
	for _, o := range outputs[Commit](c.Advance(1100 * time.Millisecond)) {
		for _, w := range o.Txn.Then {
			accepted = accepted || w.Put == keyJob+"wk-1" && len(o.Txn.Compare) == 2 // the job's key and the sign of an archive, no shard
		}
	}
	if !accepted {
		t.Error("a controller without a shard does not accept")
	}
	c = holders(0)
	gave := false
	for _, o := range outputs[Commit](c.Advance(3 * time.Second)) {
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
	c := leading(t)
	c.cfg.HorizonStep = 10 * time.Second
	in := submitted("wk-1")
	in.Spec.Service = true
	c.Handle(time.Second, in)
	drive(c, time.Second, 2*time.Second)
	if len(c.job("wk-1").place) != 1 {
		t.Fatal("the first replica was not placed")
	}
	r := report(2)
	r.Machine, r.Tasks = "m-2", nil
	c.Handle(2*time.Second, Beat{Req: 10, Report: r})
	drive(c, 2*time.Second, 3*time.Second)
	in = submitted("wk-2")
	in.Spec.Service = true
	c.Handle(3*time.Second, in)
	drive(c, 3*time.Second, 4*time.Second)
	if p := c.job("wk-2").place; len(p) != 1 || c.machines[p[0].Machine].name != "m-1" {
		t.Errorf("the second replica is on %v, an empty machine next to the first one's", p)
	}
}

// After a zone was lost, the writes of its replicas waited behind those of all jobs that waited
// for room: only a job whose loss was written counted as one with tasks to place.
func TestLostReplicaIsAsUrgentAsAWaitingOne(t *testing.T) {
	c := leading(t)
	in := submitted("wk-1")
	in.Spec.Service = true
	c.Handle(time.Second, in)
	drive(c, time.Second, 2*time.Second)
	j := c.job("wk-1")
	before := c.urgency(j)
	c.markGone(c.machine("m-1"))
	if got := c.urgency(j); got >= before || !j.write.dirty || j.write.nextLookAt > c.now {
		t.Errorf("urgency %d before, %d after the loss; looked at %v later", before, got, j.write.nextLookAt-c.now)
	}
}

// A lost zone's replicas restart with a write for each job: those with most replicas come first.
func TestMostLostReplicasAreWrittenFirst(t *testing.T) {
	c := leading(t)
	for i, n := range []int{1, 3, 2} {
		in := submitted("wk-" + strconv.Itoa(i+1))
		in.Req, in.Spec.Service, in.Spec.Tasks, in.Spec.Request = uint64(i+1), true, n, [3]int64{100, 0, 100}
		c.Handle(time.Second+time.Duration(i)*100*time.Millisecond, in)
		drive(c, c.now, c.now+100*time.Millisecond)
	}
	drive(c, c.now, 3*time.Second)
	for i, n := range []int{1, 3, 2} {
		if got := len(c.job("wk-" + strconv.Itoa(i+1)).place); got != n {
			t.Fatalf("%d of %d replicas placed", got, n)
		}
	}
	c.markGone(c.machine("m-1"))
	var order []string
	c.transactions.rateLimit.WriteTokens = 100
	c.cfg.TxnOps = 12
	for _, o := range outputs[Commit](c.Advance(3 * time.Second)) {
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
func TestEachKindIsAskedForBeforeAnyTwice(t *testing.T) {
	c := leading(t)
	c.autoscaler.catalog["x"].Zones = []string{"a", "b", "c", "d"}
	in := submitted("wk-1")
	in.Spec.Tasks, in.Spec.Request = 400, [3]int64{4000, 0, 1000} // a machine each
	c.Handle(time.Second, in)
	drive(c, time.Second, 3*time.Second)
	c.lead.blocked = map[pool]time.Duration{}
	c.lead.planAt = 0
	c.lead.calls = 4
	zones := map[string]int{}
	for _, o := range outputs[CloudOp](c.Advance(5 * time.Second)) {
		if o.Op == "rent" {
			zones[o.Rent.Zone]++
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
		c := leading(t)
		say := func(now time.Duration, seq uint64, i int, pieces ...wire.TaskStatus) {
			r := report(seq, pieces...)
			r.Machine = wire.TaskName("m", i)
			c.Handle(now, Beat{Req: 1, Report: r})
		}
		seq := uint64(1)
		for now := time.Second; now < 10*time.Second; now += time.Second {
			seq++
			c.Handle(now, Beat{Req: 1, Report: report(seq)})
			for i := range n {
				say(now, seq, i)
			}
			drive(c, now, now+time.Second)
		}
		c.lead.fullAt = time.Hour // the whole array is not due
		looks := c.Stats.Looks
		for i := range n {
			say(10*time.Second, 20, i)
		}
		say(10*time.Second, 21, 0, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, Stage: wire.TaskRunning})
		in := submitted("wk-2")
		in.Spec.Tasks = 3
		c.Handle(10*time.Second, in)
		msgs, _ := drive(c, 10*time.Second, 11*time.Second)
		for _, m := range msgs {
			w.reports += len(m.Reports)
			w.heard += len(m.Heard)
			if m.Push != nil {
				w.rows += len(m.Push.Rows)
			}
		}
		w.looks = int(c.Stats.Looks - looks)
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
func TestFloodIsRefusedAtOnce(t *testing.T) {
	c := serving(t)
	c.cfg.WriteRPS = 20
	for i := range 500 {
		in := submitted("wk-" + strconv.Itoa(i))
		in.Req = uint64(i)
		c.Handle(1100*time.Millisecond, in)
	}
	refused := 0
	for _, r := range outputs[Reply](c.Advance(1100 * time.Millisecond)) {
		if r.Status != 503 || r.RetryAfter == 0 {
			t.Fatalf("got %+v", r)
		}
		refused++
	}
	if refused != 470 || len(c.jobs) != 30 {
		t.Errorf("%d of 500 refused at once, %d jobs kept", refused, len(c.jobs))
	}
	// Those whose write has not been sent are refused in time; the others wait for its outcome.
	late := len(outputs[Reply](c.Advance(3 * time.Second)))
	if late == 0 || late+c.accepting != 30 {
		t.Errorf("%d refused late, %d still wait, of 30", late, c.accepting)
	}
}

// A controller whose reads of changes get no answer, while its writes do, held its lease and its shards and did nothing with them: it lets them
// go until a read is answered.
func TestBlindControllerLetsItsLeaseRunOut(t *testing.T) {
	c := serving(t)
	extended := func(from, to time.Duration, status int) (n int) {
		for now := from; now < to; now += 100 * time.Millisecond {
			out := c.Advance(now)
			for _, o := range outputs[LeaseOp](out) {
				n++
				c.Handle(now, Leased{Op: o.Op, Lease: o.Lease, Status: 200})
			}
			for _, o := range outputs[Commit](out) {
				c.Handle(now, Committed{ID: o.ID, Status: 429})
			}
			for _, o := range outputs[Changes](out) {
				if !o.Hold {
					c.Handle(now, Changed{Status: status, Changes: wire.WatchResponse{Revision: c.replica.revision}})
				}
			}
			c.afterBarrier(func(bool) {})
		}
		return n
	}
	if n := extended(2*time.Second, 8*time.Second, 200); n == 0 {
		t.Fatal("the lease was not kept")
	}
	extended(8*time.Second, 14*time.Second, 0)
	if n := extended(14*time.Second, 30*time.Second, 0); n != 0 || c.leaseOK() {
		t.Errorf("without an answer to a read, the lease was kept %d times", n)
	}
	if n := extended(30*time.Second, 33*time.Second, 200); n == 0 || !c.leaseOK() {
		t.Errorf("after an answered read, the lease was kept %d times", n)
	}
}
