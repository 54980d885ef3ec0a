package core

import (
	"dewlift/wire"
	"testing"
	"time"
)

// A submission that joins one whose write is on its way is answered by a read sent after it came.
// It was told «queued» by that write alone, which another controller had read, and had told the
// cancellation that followed.
func TestJoinedSubmissionIsAnsweredByItsOwnReadBarrier(t *testing.T) {
	const written = `{"h":0,"s":{"cl":"c","tm":"t","pr":2,"n":1,"rc":[1000,0,1000]},"at":1}`
	const cancelled = `{"h":0,"st":"c","cm":1}`
	for name, answer := range map[string]func(c *Core, x *CommitTxn) []Output{
		"the write's answer": func(c *Core, x *CommitTxn) []Output {
			c.Handle(1200*time.Millisecond, TxnResult{ID: x.ID, Status: wire.StatusOK, Reply: wire.TxnResponse{Revision: 7}})
			return c.Advance(1200 * time.Millisecond)
		},
		"overtaken, and the stream": func(c *Core, x *CommitTxn) []Output {
			c.Handle(1200*time.Millisecond, TxnResult{ID: x.ID, Status: wire.StatusTooManyRequests})
			return watchEvents(c, 1200*time.Millisecond, 7, event(keyJob+"wk-000001", written, 7))
		},
	} {
		c := newServingCore(t)
		in := testSubmission("wk-000001")
		c.Handle(1100*time.Millisecond, in)
		x := findAcceptTxn(c.Advance(1100*time.Millisecond), in.ID)
		if x == nil {
			t.Fatal("not written")
		}
		in.RequestID = 2
		c.Handle(1150*time.Millisecond, in)
		out := answer(c, x)
		out = append(out, c.Advance(1600*time.Millisecond)...)
		for _, r := range outputsOfType[Response](out) {
			if r.RequestID == 2 {
				t.Errorf("%s: answered without a read: %+v", name, r)
			}
		}
		if len(outputsOfType[Watch](out)) == 0 {
			t.Errorf("%s: no read was sent", name)
			continue
		}
		c.Handle(
			1700*time.Millisecond,
			WatchResult{
				Status: wire.StatusOK,
				Changes: wire.WatchResponse{
					Revision: 8,
					Events:   []wire.WatchEvent{event(keyJob+"wk-000001", cancelled, 8)},
				},
			},
		)
		got := ""
		for _, r := range outputsOfType[Response](c.Advance(1700 * time.Millisecond)) {
			if st, ok := r.Body.(wire.JobState); ok && r.RequestID == 2 {
				got = st.Stage
			}
		}
		if got != wire.StageCancelled {
			t.Errorf("%s: answered %q", name, got)
		}
	}
}
