package core

import (
	"testing"
	"time"

	"dewlift/wire"
)

// An urgent job counted as started minutes late, and neither logs nor metrics showed where the time went. A
// job whose first task runs a minute after its acceptance or later must be logged once, with the time of its
// placement and the reasons why earlier tasks stopped. Late starts of many jobs must cause at most one log
// line per second.
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
				if line.Message == "job started late" {
					lines++
				}
			}
		}
		if lines != tt.want {
			t.Errorf("%s: %d log lines, want %d", tt.name, lines, tt.want)
		}
	}
}
