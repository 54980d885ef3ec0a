package core

import (
	"testing"
	"time"

	"dewlift/wire"
)

// What happens: an urgent job counts as started minutes late, and neither log nor metrics say where the time went. A
// job whose first task runs a minute after its acceptance, or later, is logged once, with when its tasks were placed
// and what stopped earlier ones; many such jobs give one line a second.
func TestLateStartIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name      string
		runningAt time.Duration
		want      int
	}{{"in time", 30 * time.Second, 0}, {"late", 90 * time.Second, 1}} {
		c := newLeadingCore(t)
		c.Handle(time.Second, WallClock{UnixMS: 1_700_000_000_000})
		submission := testSubmission("wk-1")
		submission.UnixMS = 1_700_000_000_000
		c.Handle(time.Second, submission)
		runFor(c, time.Second, 3*time.Second)
		if j := c.internJob("wk-1"); j.record.LastAttempt != 1 || j.placement.lastPlacedMS == 0 {
			t.Fatalf("not placed: %+v", j.record)
		}
		lines := 0
		for i := range uint64(3) {
			running := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, Stage: wire.TaskRunning}
			at := tt.runningAt + time.Duration(i)*2*time.Second
			c.Handle(at, WallClock{UnixMS: 1_700_000_000_000 + at.Milliseconds()})
			c.Handle(at, AgentHeartbeat{RequestID: 10, Heartbeat: testHeartbeat(2+i, running)})
			for _, line := range outputsOfType[LogLine](c.Advance(at)) {
				if line.Message == "job began late" {
					lines++
				}
			}
		}
		if lines != tt.want {
			t.Errorf("%s: %d lines, want %d", tt.name, lines, tt.want)
		}
	}
}
