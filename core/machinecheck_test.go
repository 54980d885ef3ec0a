package core

import (
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Tasks on a machine taken back while all were away waited for three boot times and twice the list's lag.
func TestMachineMissingFromListIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		listed   []string
		reports  bool
		assigned bool
		want     bool
	}{
		"missing":                   {nil, false, true, true},
		"listed":                    {[]string{"m-7"}, false, true, false},
		"missing, but it reports":   {nil, true, true, false},
		"missing, without any task": {nil, false, false, false},
	} {
		c := newLeadingCore(t)
		c.cfg.Autoscaling.CloudListLag = 5 * time.Second
		m := c.internMachine("m-7")
		if test.assigned {
			c.Handle(time.Second, testSubmission("wk-1"))
			runFor(c, time.Second, 1500*time.Millisecond)
			j := c.internJob("wk-1")
			m.allocation.assignments[taskKey{j.index, 0}] = jobrecord.Assignment{Machine: m.index, Attempt: 9}
		}
		m.status.reported = test.reports
		gaveUpAt := time.Duration(0)
		for now := 1500 * time.Millisecond; now < 30*time.Second && gaveUpAt == 0; now += 50 * time.Millisecond {
			if m.status.reported {
				m.status.lastHeartbeatAt = now
			}
			c.ownLease.expiresAt = now + time.Minute
			for _, request := range outputsOfType[CloudRequest](c.Advance(now)) {
				result := CloudResult{ID: request.ID, Status: wire.StatusOK}
				for _, listed := range test.listed {
					result.Machines = append(result.Machines, wire.Machine{Name: listed, Type: "x", Zone: "a"})
				}
				c.Handle(now, result)
			}
			if m.leaderView.scaleInReason == scaleInNotListed {
				gaveUpAt = now
			}
		}
		if gaveUp := gaveUpAt != 0; gaveUp != test.want || gaveUp && gaveUpAt < 11*time.Second {
			t.Errorf("%s: given up at %v", name, gaveUpAt)
		}
	}
}
