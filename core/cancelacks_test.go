package core

import (
	"slices"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// cancelledItem returns the record of a cancelled job with a task on machine m-1, as another controller sends
// it.
func cancelledItem(t *testing.T, c *Core, id string, revision uint64) wire.KeyValue {
	t.Helper()
	host := c.internMachine("m-1")
	raw, err := c.encodeRecord(
		&jobrecord.Record{
			Stage:         jobrecord.Cancelled,
			CancelledAtMS: c.unixMS(),
			Spec:          &wire.JobSpec{ID: id, Class: "c", Team: "t", Tasks: 1, Request: [3]int64{1000, 0, 1000}},
		},
		[]jobrecord.Assignment{{Task: 0, Machine: host.index, Incarnation: 1, Attempt: 1}},
		false,
	)
	if err != nil {
		t.Fatal(err)
	}
	return wire.KeyValue{Key: keyJob + id, Value: raw, Revision: revision}
}

// A controller must hold and acknowledge a cancellation that another controller sends before the watch
// delivers it. A delayed copy of the cancellation of a job that was evicted from memory must not bring the
// job back: its tasks would count as being on their machines, and the agents there would get no response.
func TestDelayedCancellationDoesNotRestoreEvictedJob(t *testing.T) {
	for _, tc := range []struct {
		name           string
		aheadOfReplica uint64 // revisions
		wantKnown      bool
	}{
		{"already delivered by the watch", 0, false},
		{"ahead of the watch", 5, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newLeadingCore(t)
			runFor(c, time.Second, 2*time.Second)
			item := cancelledItem(t, c, "wk-7", c.replica.revision+tc.aheadOfReplica)
			c.Handle(
				2*time.Second,
				PeerMessage{Peer: "n1", Message: Message{Cancellations: []wire.KeyValue{item}}},
			)
			if got := c.knownJob("wk-7") != nil; got != tc.wantKnown {
				t.Errorf("job known: %v, want %v", got, tc.wantKnown)
			}
			acked := slices.ContainsFunc(
				outputsOfType[SendToPeer](c.Advance(2*time.Second)),
				func(o SendToPeer) bool {
					return o.Peer == "n1" && slices.Equal(o.Message.CancelAcks, []string{"wk-7"})
				},
			)
			if !acked {
				t.Error("the cancellation was not acknowledged")
			}
		})
	}
}

// A controller that has not loaded a snapshot holds nothing, so it must neither acknowledge cancellations nor
// reply to quorum reads: a majority that counts it would not hold the cancellation.
func TestUnloadedControllerIgnoresQuorumReads(t *testing.T) {
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
			t.Errorf("sent %+v", o.Message)
		}
	}
}

// The response to an agent's heartbeat must stop exactly the cancelled tasks on its machine, whichever
// controller owns their jobs.
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
		body, ok := r.Body.(wire.HeartbeatResponse)
		if !ok || r.RequestID != 77 {
			continue
		}
		if len(body.Commands) != 1 || body.Commands[0].Op != wire.OpStop || body.Commands[0].Task != "wk-7/0" ||
			body.Commands[0].GracePeriodS == nil || *body.Commands[0].GracePeriodS != 0 {
			t.Errorf("commands %+v", body.Commands)
		}
		return
	}
	t.Error("no response")
}
