package clusterstate

import (
	"math/rand/v2"
	"testing"
	"time"
)

func copyOf(rows ...Row) *Copy {
	c := &Copy{MaxAge: 30 * time.Second}
	c.Replace(0, rows, nil)
	return c
}

func allowAll(int32) bool { return true }

func TestCandidatesPreferMostRoomThenRandom(t *testing.T) {
	rows := []Row{
		{Machine: 0, Available: Resources{1000, 0, 1000}, Allocated: Resources{3000, 0, 3000}, Schedulable: true},
		{Machine: 1, Available: Resources{4000, 0, 4000}, Schedulable: true},
		{Machine: 2, Available: Resources{0, 0, 4000}, Allocated: Resources{4000, 0, 0}, Schedulable: true},
		{Machine: 3, Available: Resources{4000, 0, 4000}, Schedulable: false},
		{Machine: 4, Available: Resources{2000, 0, 3000}, Allocated: Resources{2000, 0, 1000}, Schedulable: true},
	}
	c := copyOf(rows...)
	rng := rand.New(rand.NewPCG(1, 2))
	got := c.Candidates(
		time.Second,
		CandidateQuery{Count: 4, Request: Resources{1000, 0, 1000}, IsAllowed: allowAll, FillRandomly: true},
		rng,
	)
	want := []int32{1, 4, 0, 2}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	if got = c.Candidates(time.Second, CandidateQuery{
		Count:     4,
		Request:   Resources{1000, 0, 1000},
		IsAllowed: allowAll,
	}, rng); len(
		got,
	) != 3 {
		t.Fatalf("without random fill: got %v, want the three with room", got)
	}
}

func TestExpiredCopyChoosesAtRandom(t *testing.T) {
	c := copyOf(Row{Machine: 0, Available: Resources{1000, 0, 0}, Schedulable: true})
	rng := rand.New(rand.NewPCG(3, 4))
	seen := map[int32]bool{}
	for i := 0; i < 50; i++ {
		got := c.Candidates(
			time.Minute,
			CandidateQuery{
				Count:         1,
				Request:       Resources{1, 0, 0},
				IsAllowed:     allowAll,
				OtherMachines: []int32{0, 1, 2},
			},
			rng,
		)
		if len(got) != 1 {
			t.Fatalf("got %v", got)
		}
		seen[got[0]] = true
	}
	if len(seen) != 3 {
		t.Fatalf("random choice never took all machines: %v", seen)
	}
}
