package main

import (
	"fmt"
	"testing"
	"time"
)

// The experiment itself must hold: a small site accepts its jobs, runs ten tasks a machine, wastes
// no starts, and replaces what a lost zone takes with it.
func TestSmallCluster(t *testing.T) {
	writeLimit = unlimitedRate
	f := measureSize(120, 1)
	if f.Machines == 0 || f.Tasks < 6*f.Machines || f.RefusedPct > 5 || f.PerJob <= 0 || f.MB <= 0 {
		t.Errorf("%+v", f)
	}
	if f.LostReplicas == 0 || f.LostReplacedIn == 0 {
		t.Errorf("of %d replicas that a zone took with it, fewer than 95%% were back within a minute", f.LostReplicas)
	}
}

// Counted work, which does not depend on the machine that counts it: looks at machines and inputs a
// simulated second, by the size of the site.
func BenchmarkFleet(b *testing.B) {
	writeLimit = unlimitedRate
	for _, n := range []int{200, 400, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s := newSimCluster(n, 1)
				for i := range n / 2 {
					s.schedule(3*time.Second, func() { s.submitJob(i, true) })
				}
				s.runUntil(30 * time.Second)
				looks, inputs, bytes := uint64(0), 0, 0
				for _, x := range s.nodes {
					looks += x.core.Stats.MachineLooks
					inputs += x.inputs
					bytes += x.bytesSent
				}
				b.ReportMetric(float64(looks)/float64(n)/30, "looks/machine/s")
				b.ReportMetric(float64(inputs)/float64(n)/30, "inputs/machine/s")
				b.ReportMetric(float64(bytes)/float64(n)/30, "message-bytes/machine/s")
				b.ReportMetric(float64(s.counters.writes)/float64(s.counters.accepted), "changes/job")
			}
		})
	}
}
