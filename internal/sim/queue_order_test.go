package sim

import (
	"fmt"
	"testing"
	"time"
)

// These tests guard against a job that starts although a job of the same class and shape was accepted 6 s before it and
// does not start within the next 75 s. A controller yields freed capacity to the competitors whose jobs have waited
// longer. Such a competitor yields to those that are tied with it, and both could have the same rank and thus the same
// delay: the controller that learned of the capacity first took it. With seed 1033, at machine m-000003, n1 had the
// later job (one competitor before it, one tied, machineRank 0, rank 1) and knew of the capacity since 14.758 s. n2 had
// the earlier job (none before it, one tied, machineRank 2, rank 1) and knew of it since 15.057 s. n1 took it at
// 16.007 s, while n2 still yielded at 16.003 s. The class had no other start for the rest of the run.

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
