package ccs

import (
	"math/rand/v2"
	"testing"
	"time"
)

func copyOf(rows ...Row) *Copy {
	c := &Copy{Expire: 30 * time.Second}
	c.Replace(0, rows, nil)
	return c
}

func all(int32) bool { return true }

func TestCandidatesTakeMostRoomFirstThenRandomOnes(t *testing.T) {
	rows := []Row{
		{Machine: 0, Avail: Vec{1000, 0, 1000}, Occ: Vec{3000, 0, 3000}, Offered: true},
		{Machine: 1, Avail: Vec{4000, 0, 4000}, Offered: true},
		{Machine: 2, Avail: Vec{0, 0, 4000}, Occ: Vec{4000, 0, 0}, Offered: true},
		{Machine: 3, Avail: Vec{4000, 0, 4000}, Offered: false},
		{Machine: 4, Avail: Vec{2000, 0, 3000}, Occ: Vec{2000, 0, 1000}, Offered: true},
	}
	c := copyOf(rows...)
	rng := rand.New(rand.NewPCG(1, 2))
	got := c.Candidates(time.Second, Ask{N: 4, Claim: Vec{1000, 0, 1000}, Allow: all, Fill: true}, rng)
	want := []int32{1, 4, 0, 2}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	if got = c.Candidates(time.Second, Ask{N: 4, Claim: Vec{1000, 0, 1000}, Allow: all}, rng); len(got) != 3 {
		t.Fatalf("without random fill: got %v, want the three with room", got)
	}
}

func TestExpiredCopyChoosesAtRandom(t *testing.T) {
	c := copyOf(Row{Machine: 0, Avail: Vec{1000, 0, 0}, Offered: true})
	rng := rand.New(rand.NewPCG(3, 4))
	seen := map[int32]bool{}
	for i := 0; i < 50; i++ {
		got := c.Candidates(time.Minute, Ask{N: 1, Claim: Vec{1, 0, 0}, Allow: all, Others: []int32{0, 1, 2}}, rng)
		if len(got) != 1 {
			t.Fatalf("got %v", got)
		}
		seen[got[0]] = true
	}
	if len(seen) != 3 {
		t.Fatalf("random choice never took all machines: %v", seen)
	}
}
