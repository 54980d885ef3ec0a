package sim

import (
	"fmt"
	"testing"
	"time"
)

// The fault that these tests guard against: of two jobs of the same class and shape, the one that was accepted 6 s
// later started, and the earlier one did not start within 75 s after it. A controller yields freed capacity for a
// delay to competitors whose jobs have waited longer. Such a competitor itself yields to those that are alike to it,
// and both delays could be the same: the controller that learned of the freed capacity first took it. With seed 1033,
// at machine m-000003, controller n1 had the later job and knew of the capacity since 14.758 s, with one competitor
// before it, one alike, machineRank 0 and therefore rank 1. n2 had the earlier job and knew of it since 15.057 s, with
// none before it, one alike, machineRank 2 and therefore rank 1 too. At 16.003 s n2 still yielded, and at 16.007 s n1
// took the capacity. The class had no other start for the rest of the run.

// queueOrderSeeds are the seeds in which a later job started first.
var queueOrderSeeds = []uint64{1033}

// No job may be overtaken for long by a later one of its class and shape, with few machines, full priority classes and
// controllers that crash.
func TestEarlierJobIsNotOvertaken(t *testing.T) {
	seeds := queueOrderSeeds
	for seed := uint64(2000); seed < 2040; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, Options{
				Seed: seed, Duration: 120 * time.Second, Jobs: 80, MaxMachines: 8, PriorityClasses: true,
			})
		})
	}
}
