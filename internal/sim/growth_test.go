package sim

import (
	"fmt"
	"testing"
	"time"
)

// A cluster that grows while it serves must violate no rule: restarted controllers know peers that have not started.
func TestInvariantsHoldWhileClusterGrows(t *testing.T) {
	for seed := uint64(1); seed <= *overlapSeedCount/2; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sim := runSimulation(t, Options{
				Seed:           seed,
				Duration:       260 * time.Second,
				Jobs:           60,
				MaxTasksPerJob: 9,
				LongTasks:      seed%3 == 0,
				InitialMembers: 3,
				Controllers:    []int{5, 4}[seed%2],
				BatchValues:    true,
				NoFaults:       seed%4 < 2,
				Archive:        seed%4 == 0,
				Pipelines:      int(seed % 3),
			})
			t.Logf("%d starts, %v", sim.Checker.Starts, sim.Checker.stageCounts())
		})
	}
}
