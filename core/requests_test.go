package core

import (
	"testing"
	"time"

	"dewlift/wire"
)

// A submission that joins a pending one whose write is in flight must be answered by a read that began after
// it arrived. Otherwise the outcome of that write alone answers it with stage "queued", although another
// controller may have read the write and cancelled the job, and may have told another user so.
func TestJoinedSubmissionIsAnsweredByItsOwnReadBarrier(t *testing.T) {
	const (
		queuedRecord    = `{"h":0,"s":{"cl":"c","tm":"t","pr":2,"n":1,"rc":[1000,0,1000]},"at":1}`
		cancelledRecord = `{"h":0,"st":"c","cm":1}`
		joinedRequest   = 2
	)
	for _, tc := range []struct {
		name     string
		complete func(c *Core, write *CommitTxn) []Output // delivers the outcome of the write
	}{
		{"by the result of the write", func(c *Core, write *CommitTxn) []Output {
			c.Handle(1200*time.Millisecond, TxnResult{
				ID:     write.ID,
				Status: wire.StatusOK,
				Reply:  wire.TxnResponse{Revision: 7},
			})
			return c.Advance(1200 * time.Millisecond)
		}},
		{"by the watch, after the write was rejected", func(c *Core, write *CommitTxn) []Output {
			c.Handle(1200*time.Millisecond, TxnResult{ID: write.ID, Status: wire.StatusTooManyRequests})
			return watchEvents(c, 1200*time.Millisecond, 7, event(keyJob+"wk-000001", queuedRecord, 7))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newServingCore(t)
			in := testSubmission("wk-000001")
			c.Handle(1100*time.Millisecond, in)
			write := findAcceptTxn(c.Advance(1100*time.Millisecond), in.ID)
			if write == nil {
				t.Fatal("the job was not written")
			}
			in.RequestID = joinedRequest
			c.Handle(1150*time.Millisecond, in)
			out := tc.complete(c, write)
			out = append(out, c.Advance(1600*time.Millisecond)...)
			for _, r := range outputsOfType[Response](out) {
				if r.RequestID == joinedRequest {
					t.Errorf("responded without a read: %+v", r)
				}
			}
			if len(outputsOfType[Watch](out)) == 0 {
				t.Error("no read was sent")
				return
			}
			c.Handle(1700*time.Millisecond, WatchResult{
				Status: wire.StatusOK,
				Changes: wire.WatchResponse{
					Revision: 8,
					Events:   []wire.WatchEvent{event(keyJob+in.ID, cancelledRecord, 8)},
				},
			})
			stage := answeredStage(c.Advance(1700*time.Millisecond), joinedRequest)
			if stage != wire.StageCancelled {
				t.Errorf("got stage %q", stage)
			}
		})
	}
}

// answeredStage returns the stage in the job state of the response to a request; "" if there is none.
func answeredStage(out []Output, requestID uint64) string {
	stage := ""
	for _, r := range outputsOfType[Response](out) {
		if state, ok := r.Body.(wire.JobState); ok && r.RequestID == requestID {
			stage = state.Stage
		}
	}
	return stage
}

// A rejection must keep its status and reason. Only a rejection that may resolve by itself is temporary: it
// is sent as unavailable, so that the client retries.
func TestValidateSubmissionRejections(t *testing.T) {
	for _, tc := range []struct {
		name      string
		prepare   func(c *Core, in *SubmitJob)
		want      *submissionRejection
		temporary bool
	}{
		{name: "valid", prepare: func(*Core, *SubmitJob) {}},
		{
			name:    "malformed",
			prepare: func(_ *Core, in *SubmitJob) { in.DecodeError = "no JSON" },
			want:    &submissionRejection{wire.StatusBadRequest, "no JSON"},
		},
		{
			name:    "unknown team",
			prepare: func(_ *Core, in *SubmitJob) { in.Spec.Team = "nobody" },
			want:    &submissionRejection{wire.StatusInvalid, "unknown team"},
		},
		{
			name:      "machine types not loaded",
			prepare:   func(c *Core, _ *SubmitJob) { c.autoscaler.catalog = nil },
			want:      &submissionRejection{wire.StatusUnavailable, "machine types not known yet"},
			temporary: true,
		},
		{
			name:    "dependency never accepted",
			prepare: func(_ *Core, in *SubmitJob) { in.Spec.Dependencies = []string{"wk-9"} },
			want:    &submissionRejection{wire.StatusInvalid, "awaits a job that was never accepted: wk-9"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCoreWithDependencies(t)
			in := testSubmission("wk-1")
			tc.prepare(c, &in)
			got := c.validateSubmission(&in)
			switch {
			case tc.want == nil && got != nil:
				t.Fatalf("rejected: %+v", *got)
			case tc.want == nil:
				return
			case got == nil:
				t.Fatal("not rejected")
			}
			if *got != *tc.want || got.isTemporary() != tc.temporary {
				t.Errorf("got %+v, temporary %v; want %+v, %v", *got, got.isTemporary(), *tc.want, tc.temporary)
			}
		})
	}
}
