package core

import (
	"slices"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// cancelledItem is the record of a cancelled job with a task on a machine, as another controller tells it.
func cancelledItem(t *testing.T, c *Core, id string, mark uint64) wire.KeyValue {
	t.Helper()
	m := c.machine("m-1")
	raw, err := c.encodeRecord(&jobrecord.Record{Stage: jobrecord.Cancelled, CancelledAtMS: c.unixMS(), Spec: &wire.JobSpec{ID: id, Class: "c", Team: "t", Tasks: 1, Request: [3]int64{1000, 0, 1000}}},
		[]jobrecord.Assignment{{Task: 0, Machine: m.idx, Incarnation: 1, Attempt: 1}}, false)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: keyJob + id, Value: raw, Revision: mark}
}

// A cancellation that another controller tells is held, and acknowledged, before the stream shows it. A copy that comes late, of a job that has long
// left memory, must not bring it back: its tasks would count as being on their machines, and these would get no answer.
func TestLateCopyOfACancellationBringsNothingBack(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		c := leading(t)
		drive(c, time.Second, 2*time.Second)
		mark := c.replica.revision
		if ahead {
			mark += 5
		}
		c.Handle(2*time.Second, FromPeer{Peer: "n1", Msg: Msg{Cancels: []wire.KeyValue{cancelledItem(t, c, "wk-7", mark)}}})
		if got := c.knownJob("wk-7") != nil; got != ahead {
			t.Errorf("ahead of the stream %v: held %v", ahead, got)
		}
		acked := slices.ContainsFunc(outputs[ToPeer](c.Advance(2*time.Second)), func(o ToPeer) bool { return o.Peer == "n1" && slices.Equal(o.Msg.CancelAcks, []string{"wk-7"}) })
		if !acked {
			t.Errorf("ahead of the stream %v: not acknowledged", ahead)
		}
	}
}

// Whoever has not read all keys holds nothing, and neither acknowledges nor answers.
func TestControllerThatHasNotLoadedAnswersNoQuestion(t *testing.T) {
	c := New(testConfig(), 0, 1)
	c.Handle(time.Second, FromPeer{Peer: "n1", Msg: Msg{QuorumRead: &QuorumRead{Nonce: 7}, Cancels: []wire.KeyValue{cancelledItem(t, c, "wk-7", 9)}}})
	for _, o := range outputs[ToPeer](c.Advance(time.Second)) {
		if o.Msg.QuorumReply != nil || o.Msg.CancelAcks != nil || o.Msg.Health != nil && o.Msg.Health.Upto != 0 {
			t.Errorf("it says %+v", o.Msg)
		}
	}
}

// The answer to a worker's report stops what is cancelled there, whoever owns it.
func TestAnswerToAReportStopsWhatIsCancelled(t *testing.T) {
	c := leading(t)
	drive(c, time.Second, 2*time.Second)
	c.Handle(2*time.Second, FromPeer{Peer: "n1", Msg: Msg{Cancels: []wire.KeyValue{cancelledItem(t, c, "wk-7", c.replica.revision+5)}}})
	c.Handle(2*time.Second, Beat{Req: 77, Report: report(50, wire.TaskStatus{Task: "wk-7/0", Attempt: 1, Stage: wire.TaskRunning}, wire.TaskStatus{Task: "wk-8/0", Attempt: 1, Stage: wire.TaskRunning})})
	for _, r := range outputs[Reply](c.Advance(2 * time.Second)) {
		if b, ok := r.Body.(wire.HeartbeatResponse); ok && r.Req == 77 {
			if len(b.Commands) != 1 || b.Commands[0].Op != wire.OpStop || b.Commands[0].Task != "wk-7/0" || b.Commands[0].GracePeriodS == nil || *b.Commands[0].GracePeriodS != 0 {
				t.Errorf("orders %+v", b.Commands)
			}
			return
		}
	}
	t.Error("no answer")
}
