package clusterstate

import (
	"math/rand/v2"
	"testing"
	"time"
)

func allowAll(int32) bool { return true }

// Machines with capacity must come first, the largest free fraction first, and machines that seem full only
// with FillRandomly. Machines that are not schedulable must never be candidates.
func TestCandidatesPreferMostCapacityThenRandom(t *testing.T) {
	c := copyOf(
		Row{Machine: 0, Available: Resources{1000, 0, 1000}, Allocated: Resources{3000, 0, 3000}, Schedulable: true},
		Row{Machine: 1, Available: Resources{4000, 0, 4000}, Schedulable: true},
		Row{Machine: 2, Available: Resources{0, 0, 4000}, Allocated: Resources{4000, 0, 0}, Schedulable: true},
		Row{Machine: 3, Available: Resources{4000, 0, 4000}, Schedulable: false},
		Row{Machine: 4, Available: Resources{2000, 0, 3000}, Allocated: Resources{2000, 0, 1000}, Schedulable: true},
	)
	rng := rand.New(rand.NewPCG(1, 2))
	query := CandidateQuery{Count: 4, Request: Resources{1000, 0, 1000}, IsAllowed: allowAll, FillRandomly: true}
	got, want := c.Candidates(time.Second, query, rng), []int32{1, 4, 0, 2}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	query.FillRandomly = false
	if got = c.Candidates(time.Second, query, rng); len(got) != 3 {
		t.Fatalf("without FillRandomly: got %v, want the three machines with capacity", got)
	}
}

// An expired copy must not be used for ranking. Candidates are chosen at random from all fallback machines.
func TestExpiredCopyChoosesAtRandom(t *testing.T) {
	c := copyOf(Row{Machine: 0, Available: Resources{1000, 0, 0}, Schedulable: true})
	rng := rand.New(rand.NewPCG(3, 4))
	query := CandidateQuery{
		Count:            1,
		Request:          Resources{1, 0, 0},
		IsAllowed:        allowAll,
		FallbackMachines: []int32{0, 1, 2},
	}
	chosen := map[int32]bool{}
	for range 50 {
		got := c.Candidates(time.Minute, query, rng)
		if len(got) != 1 {
			t.Fatalf("got %v", got)
		}
		chosen[got[0]] = true
	}
	if len(chosen) != 3 {
		t.Fatalf("random choice did not cover all machines: %v", chosen)
	}
}
