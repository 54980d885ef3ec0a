package main

import (
	"fmt"
	"testing"
	"time"
)

// TestSmallCluster guards against a faulty simulation, whose figures would be meaningless. A small cluster must accept
// its jobs, run at least six tasks per machine, have few refused starts, and replace 95% of the replicas of a lost zone
// within a minute.
func TestSmallCluster(t *testing.T) {
	storeWriteLimit = unlimitedRate
	cost := measureSize(120, 1)
	if cost.Machines == 0 || cost.Tasks < 6*cost.Machines || cost.RefusedPct > 5 || cost.PerJob <= 0 || cost.MB <= 0 {
		t.Errorf("%+v", cost)
	}
	if cost.LostReplicas == 0 || cost.LostReplacedIn == 0 {
		t.Errorf("of %d replicas of a lost zone fewer than 95%% were replaced within a minute", cost.LostReplicas)
	}
}

// BenchmarkFleet counts work, which does not depend on the computer that runs it, by the number of machines: examined
// machines, inputs and message bytes per machine and simulated second, and store writes per job.
func BenchmarkFleet(b *testing.B) {
	storeWriteLimit = unlimitedRate
	for _, machines := range []int{200, 400, 800} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for b.Loop() {
				s := newSimCluster(machines, 1)
				for i := range machines / 2 {
					s.schedule(3*time.Second, func() { s.submitJob(i, true) })
				}
				s.runUntil(30 * time.Second)
				looks, inputs, bytes := uint64(0), 0, 0
				for _, n := range s.controllers {
					looks += n.core.Stats.MachineLooks
					inputs += n.inputs
					bytes += n.bytesSent
				}
				b.ReportMetric(float64(looks)/float64(machines)/30, "looks/machine/s")
				b.ReportMetric(float64(inputs)/float64(machines)/30, "inputs/machine/s")
				b.ReportMetric(float64(bytes)/float64(machines)/30, "message-bytes/machine/s")
				b.ReportMetric(float64(s.counters.writes)/float64(s.counters.accepted), "changes/job")
			}
		})
	}
}
