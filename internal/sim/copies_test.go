package sim

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// checkCopiesDelivered checks that late copies of every kind were delivered: a simulation without them shows nothing.
func checkCopiesDelivered(t *testing.T, sim *Simulator) {
	t.Helper()
	for _, kind := range slices.Sorted(maps.Keys(copyShares)) {
		if sim.copies[kind] == 0 {
			t.Errorf("no late copy of a %s was delivered", kind)
		}
	}
	t.Logf("%d starts, late copies %v", sim.Checker.Starts, sim.copies)
}

// Late copies of requests that were carried out must neither start a cleared attempt nor violate any other rule.
func TestInvariantsHoldWithLateCopies(t *testing.T) {
	for seed := uint64(1); seed <= *overlapSeedCount/2; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sim := runSimulation(t, Options{
				Seed:              seed,
				Duration:          420 * time.Second,
				Jobs:              60,
				MaxTasksPerJob:    6,
				LateCopies:        true,
				NoFaults:          seed%4 == 1,
				FlappingProcesses: seed%4 == 2,
				Controllers:       []int{3, 5}[seed%2],
				BatchValues:       seed%3 == 0,
				Archive:           seed%4 == 0,
				Pipelines:         int(seed % 3),
			})
			checkCopiesDelivered(t, sim)
		})
	}
}

// Late copies must be harmless beside each of the other faults.
func TestInvariantsHoldWithLateCopiesBesideEachFault(t *testing.T) {
	names := slices.Sorted(maps.Keys(New(Options{Seed: 1}).faultsByName()))
	for i, name := range names {
		for seed := uint64(1); seed <= max(1, *overlapSeedCount/24); seed++ {
			t.Run(fmt.Sprint(name, " seed", seed), func(t *testing.T) {
				t.Parallel()
				options := OverlappingFaultOptions(seed + uint64(i))
				options.FaultNames = []string{name, "all end", "leader ends"}
				options.LateCopies = true
				checkCopiesDelivered(t, runSimulation(t, options))
			})
		}
	}
}
