package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"slices"
	"testing"
	"time"
)

// cancelledItem is the record of a cancelled job with a task on a machine, as another controller tells it.
func cancelledItem(t *testing.T, c *Core, id string, mark uint64) wire.KeyValue {
	t.Helper()
	m := c.internMachine("m-1")
	raw, err := c.encodeRecord(
		&jobrecord.Record{
			Stage:         jobrecord.Cancelled,
			CancelledAtMS: c.unixMS(),
			Spec:          &wire.JobSpec{ID: id, Class: "c", Team: "t", Tasks: 1, Request: [3]int64{1000, 0, 1000}},
		},
		[]jobrecord.Assignment{{Task: 0, Machine: m.index, Incarnation: 1, Attempt: 1}},
		false,
	)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: keyJob + id, Value: raw, Revision: mark}
}

// A cancellation that another controller tells is held, and acknowledged, before the stream shows
// it. A copy that comes late, of a job that has long left memory, must not bring it back: its tasks
// would count as being on their machines, and these would get no answer.
func TestLateCancellationCopyRevivesNothing(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		c := newLeadingCore(t)
		runFor(c, time.Second, 2*time.Second)
		mark := c.replica.revision
		if ahead {
			mark += 5
		}
		c.Handle(
			2*time.Second,
			PeerMessage{
				Peer:    "n1",
				Message: Message{Cancellations: []wire.KeyValue{cancelledItem(t, c, "wk-7", mark)}},
			},
		)
		if got := c.knownJob("wk-7") != nil; got != ahead {
			t.Errorf("ahead of the stream %v: held %v", ahead, got)
		}
		acked := slices.ContainsFunc(
			outputsOfType[SendToPeer](c.Advance(2*time.Second)),
			func(o SendToPeer) bool { return o.Peer == "n1" && slices.Equal(o.Message.CancelAcks, []string{"wk-7"}) },
		)
		if !acked {
			t.Errorf("ahead of the stream %v: not acknowledged", ahead)
		}
	}
}

// Whoever has not read all keys holds nothing, and neither acknowledges nor answers.
func TestUnloadedControllerAnswersNoQuorumRead(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.Handle(
		time.Second,
		PeerMessage{
			Peer: "n1",
			Message: Message{
				QuorumRead:    &QuorumRead{Nonce: 7},
				Cancellations: []wire.KeyValue{cancelledItem(t, c, "wk-7", 9)},
			},
		},
	)
	for _, o := range outputsOfType[SendToPeer](c.Advance(time.Second)) {
		if o.Message.QuorumReply != nil || o.Message.CancelAcks != nil ||
			o.Message.Health != nil && o.Message.Health.CancellationsUpTo != 0 {
			t.Errorf("it says %+v", o.Message)
		}
	}
}

// The answer to a worker's report stops what is cancelled there, whoever owns it.
func TestHeartbeatResponseStopsCancelledTasks(t *testing.T) {
	c := newLeadingCore(t)
	runFor(c, time.Second, 2*time.Second)
	c.Handle(
		2*time.Second,
		PeerMessage{
			Peer:    "n1",
			Message: Message{Cancellations: []wire.KeyValue{cancelledItem(t, c, "wk-7", c.replica.revision+5)}},
		},
	)
	c.Handle(
		2*time.Second,
		AgentHeartbeat{
			RequestID: 77,
			Heartbeat: testHeartbeat(
				50,
				wire.TaskStatus{Task: "wk-7/0", Attempt: 1, Stage: wire.TaskRunning},
				wire.TaskStatus{Task: "wk-8/0", Attempt: 1, Stage: wire.TaskRunning},
			),
		},
	)
	for _, r := range outputsOfType[Response](c.Advance(2 * time.Second)) {
		if b, ok := r.Body.(wire.HeartbeatResponse); ok && r.RequestID == 77 {
			if len(b.Commands) != 1 || b.Commands[0].Op != wire.OpStop || b.Commands[0].Task != "wk-7/0" ||
				b.Commands[0].GracePeriodS == nil ||
				*b.Commands[0].GracePeriodS != 0 {
				t.Errorf("orders %+v", b.Commands)
			}
			return
		}
	}
	t.Error("no answer")
}
