package clusterstate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// offeredLastTier is added to the tier of a machine that is offered last. It exceeds every tier of a query.
const offeredLastTier = 1 << 20

// CandidateQuery specifies which machines are candidates for a request and how they are ranked.
type CandidateQuery struct {
	Count            int              // maximum number of candidates
	Request          Resources        // resources of one task
	IsAllowed        func(int32) bool // reports whether a machine is feasible, regardless of its capacity
	TierOf           func(int32) int  // machines of a smaller tier come first; nil: all are in one tier
	RankOf           func(int32) int  // within a tier, machines of a smaller rank come first; nil: all are equal
	FallbackMachines []int32          // machines to choose from at random if the copy has expired
	HonorReserved    bool             // reserved resources do not count as available
	FillRandomly     bool             // if there are too few candidates, add random machines that seem full
}

// candidate is a machine with capacity and its scores. The scores are computed once per machine, because
// in a large cluster the comparisons take the most time.
type candidate struct {
	machine  int32
	tier     int
	rank     int
	fraction float64 // smallest available fraction among its resources
	tieBreak uint32  // random, so that controllers do not all choose the same one of equal machines
}

// compare returns a negative number if a is the better candidate.
func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(b.fraction, a.fraction),
		cmp.Compare(a.tieBreak, b.tieBreak),
	)
}

// Candidates chooses machines for a request: those with capacity, best first, and then, with FillRandomly,
// random machines that seem full. If the copy has expired, all are chosen at random.
func (c *Copy) Candidates(now time.Duration, query CandidateQuery, rng *rand.Rand) []int32 {
	if !c.IsFresh(now) {
		return randomCandidates(query, rng)
	}
	ranked, full := c.filter(&query, rng)
	slices.SortFunc(ranked, candidate.compare)
	ranked = ranked[:min(len(ranked), query.Count)]
	chosen := make([]int32, 0, len(ranked))
	for i := range ranked {
		chosen = append(chosen, ranked[i].machine)
	}
	if query.FillRandomly && len(chosen) < query.Count {
		chosen = append(chosen, shuffledPrefix(full, query.Count-len(chosen), rng)...)
	}
	return chosen
}

// randomCandidates chooses randomly among the allowed fallback machines.
func randomCandidates(query CandidateQuery, rng *rand.Rand) []int32 {
	var allowed []int32
	for _, machine := range query.FallbackMachines {
		if query.IsAllowed(machine) {
			allowed = append(allowed, machine)
		}
	}
	return shuffledPrefix(allowed, query.Count, rng)
}

// shuffledPrefix shuffles machines in place and returns the first count of them.
func shuffledPrefix(machines []int32, count int, rng *rand.Rand) []int32 {
	rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return machines[:min(len(machines), count)]
}

// filter returns the schedulable and allowed machines: those with capacity along with their scores, and,
// with FillRandomly, those that seem full. Random numbers are drawn in machine order, and only for
// machines with capacity.
func (c *Copy) filter(query *CandidateQuery, rng *rand.Rand) (ranked []candidate, full []int32) {
	for _, machine := range c.machineOrder {
		row := c.rows[machine]
		if !row.Schedulable {
			continue
		}
		hasCapacity := row.HasCapacity(query.Request, query.HonorReserved)
		if !hasCapacity && !query.FillRandomly || !query.IsAllowed(machine) {
			continue
		}
		if !hasCapacity {
			full = append(full, machine)
			continue
		}
		ranked = append(ranked, query.score(row, rng))
	}
	return ranked, full
}

// score computes the scores of a machine with capacity.
func (q *CandidateQuery) score(row *Row, rng *rand.Rand) candidate {
	scored := candidate{machine: row.Machine, fraction: row.MinFreeFraction(), tieBreak: rng.Uint32()}
	if q.TierOf != nil {
		scored.tier = q.TierOf(row.Machine)
	}
	if q.RankOf != nil {
		scored.rank = q.RankOf(row.Machine)
	}
	if row.OfferedLast {
		scored.tier += offeredLastTier
	}
	return scored
}
