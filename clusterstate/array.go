// Package clusterstate holds the collaborate-state of the paper: the leader's array of free and
// occupied room, the controllers' pushed copies of it, the tuples that keep it current,
// and the choice of candidates from a copy. It is pure: no clock, no I/O, no own randomness.
package clusterstate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Resources is an amount of CPU, GPU (thousandths) and memory (MB).
type Resources [3]int64

// Fits reports whether claim fits into v.
func (v Resources) Fits(claim Resources) bool {
	return v[0] >= claim[0] && v[1] >= claim[1] && v[2] >= claim[2]
}

// AddScaled returns v plus k times w.
func (v Resources) AddScaled(w Resources, k int64) Resources {
	return Resources{v[0] + k*w[0], v[1] + k*w[1], v[2] + k*w[2]}
}

// Row is the state of one machine: its available and its occupied room.
type Row struct {
	Machine     int32
	Available   Resources
	Allocated   Resources
	Reserved    Resources // room kept for work that has fewer machines to go to
	OfferedLast bool      // offered after all others: the leader would like the machine to empty
	Schedulable bool      // false: the machine is about to be returned

	revision    uint64        // of the array, when it changed last
	capacityFreedAt time.Duration // of a copy, when room was seen to come free last
}

// CapacityFreedAt is when a copy was last seen to gain room.
func (r *Row) CapacityFreedAt() time.Duration { return r.capacityFreedAt }

// exceedsAny reports whether there is room in v that is not in w.
func (v Resources) exceedsAny(w Resources) bool { return v[0] > w[0] || v[1] > w[1] || v[2] > w[2] }

// MinFreeFraction is the smallest free share over CPU, GPU and memory.
func (r *Row) MinFreeFraction() float64 {
	share := 1.0
	for i := range r.Available {
		if total := r.Available[i] + r.Allocated[i]; total > 0 {
			share = min(share, float64(r.Available[i])/float64(total))
		}
	}
	return share
}

// HasCapacity reports whether a claim fits, beside the kept room if that is not for it.
func (r *Row) HasCapacity(claim Resources, keep bool) bool {
	if keep {
		return r.Available.AddScaled(r.Reserved, -1).Fits(claim)
	}
	return r.Available.Fits(claim)
}

// Delta is a start or finish tuple.
type Delta struct {
	Start   bool
	Machine int32
	Request Resources
}

// Array is the leader's array. Rows are found by dense machine index. Each row knows when it
// changed last, so that a push need only carry those that did.
type Array struct {
	rows         map[int32]*Row
	machineOrder []int32 // machine indices, sorted
	revision     uint64
}

// NewArray returns an empty array.
func NewArray() *Array { return &Array{rows: map[int32]*Row{}} }

// SetMachine sets a machine's whole and occupied room.
func (a *Array) SetMachine(machine int32, room, occ Resources, offered bool) {
	r := a.rows[machine]
	if r == nil {
		r = &Row{Machine: machine}
		a.rows[machine] = r
		i, _ := slices.BinarySearch(a.machineOrder, machine)
		a.machineOrder = slices.Insert(a.machineOrder, i, machine)
	}
	a.updateRow(r, func(r *Row) { r.Available, r.Allocated, r.Schedulable = room.AddScaled(occ, -1), occ, offered })
}

// updateRow changes a row and notes whether that made it another.
func (a *Array) updateRow(r *Row, f func(*Row)) {
	old := *r
	f(r)
	if *r != old || r.revision == 0 {
		a.revision++
		r.revision = a.revision
	}
}

// Row returns a machine's row, or nil.
func (a *Array) Row(machine int32) *Row { return a.rows[machine] }

// SetOffer says whether a machine is offered to the controllers, whether only after all
// others, and which room of it is kept.
func (a *Array) SetOffer(machine int32, offered, last bool, keep Resources) {
	if r := a.rows[machine]; r != nil {
		a.updateRow(r, func(r *Row) { r.Schedulable, r.OfferedLast, r.Reserved = offered, last, keep })
	}
}

// Remove drops a machine.
func (a *Array) Remove(machine int32) {
	if a.rows[machine] == nil {
		return
	}
	delete(a.rows, machine)
	if i, ok := slices.BinarySearch(a.machineOrder, machine); ok {
		a.machineOrder = slices.Delete(a.machineOrder, i, i+1)
	}
}

func (r *Row) apply(d Delta) {
	k := int64(1)
	if !d.Start {
		k = -1
	}
	r.Available = r.Available.AddScaled(d.Request, -k)
	r.Allocated = r.Allocated.AddScaled(d.Request, k)
}

// ChangedSince lists the rows that changed after a revision, in the order of machine indices, and the
// revision they show. After revision 0 that is all of them.
func (a *Array) ChangedSince(after uint64) ([]Row, uint64) {
	var out []Row
	for _, m := range a.machineOrder {
		if r := a.rows[m]; r.revision > after {
			out = append(out, *r)
		}
	}
	return out, a.revision
}

// Copy is a controller's copy of the array.
type Copy struct {
	MaxAge       time.Duration
	rows         map[int32]*Row
	machineOrder []int32
	receivedAt   time.Duration
	received     bool
}

// Replace takes a newly pushed whole array, and tuples that it does not count yet.
func (c *Copy) Replace(now time.Duration, rows []Row, pending []Delta) {
	old := c.rows
	c.rows = make(map[int32]*Row, len(rows))
	c.machineOrder = c.machineOrder[:0]
	c.applyPush(now, old, rows, pending)
}

// Update takes the rows of an array that changed since the last push, and tuples that it does not count yet; the
// other rows are as the tuples since then left them.
func (c *Copy) Update(now time.Duration, rows []Row, pending []Delta) {
	if c.rows == nil {
		c.rows = map[int32]*Row{}
	}
	c.applyPush(now, c.rows, rows, pending)
}

func (c *Copy) applyPush(now time.Duration, was map[int32]*Row, rows []Row, pending []Delta) {
	c.receivedAt, c.received = now, true
	before := make([]*Row, len(rows)) // as they were
	fresh := make(map[int32]*Row, len(rows))
	for i := range rows {
		r := rows[i]
		before[i] = was[r.Machine]
		if c.rows[r.Machine] == nil {
			c.machineOrder = append(c.machineOrder, r.Machine)
		}
		c.rows[r.Machine], fresh[r.Machine] = &r, &r
	}
	for _, d := range pending {
		if r := fresh[d.Machine]; r != nil {
			r.apply(d)
		}
	}
	for i, old := range before {
		r := fresh[rows[i].Machine]
		if r.capacityFreedAt = now; old != nil && (old.Schedulable || !r.Schedulable) &&
			!r.Available.exceedsAny(old.Available) {
			r.capacityFreedAt = old.capacityFreedAt
		}
	}
}

// Remove forgets a machine that is gone.
func (c *Copy) Remove(machine int32) {
	if c.rows[machine] == nil {
		return
	}
	delete(c.rows, machine)
	if i := slices.Index(c.machineOrder, machine); i >= 0 {
		c.machineOrder = slices.Delete(c.machineOrder, i, i+1)
	}
}

// IsFresh reports whether the copy has not expired.
func (c *Copy) IsFresh(now time.Duration) bool { return c.received && now-c.receivedAt < c.MaxAge }

// Apply takes a start or finish of this controller on its own copy.
func (c *Copy) Apply(now time.Duration, d Delta) {
	if r := c.rows[d.Machine]; r != nil {
		r.apply(d)
		if !d.Start {
			r.capacityFreedAt = now
		}
	}
}

// Row returns a machine's row, or nil.
func (c *Copy) Row(machine int32) *Row { return c.rows[machine] }

// CandidateQuery describes what a choice of candidates is for.
type CandidateQuery struct {
	Count         int              // how many candidates
	Request       Resources        // room of one task
	IsAllowed     func(int32) bool // machines that the job may use
	TierOf        func(int32) int  // smaller tiers are taken first; nil: one tier
	DistanceOf    func(int32) int  // of a tier, those less far are taken first; nil: all are as far
	OtherMachines []int32          // machines known besides the copy, for random choice
	HonorReserved bool             // leave the kept room alone
	FillRandomly  bool             // fill up with machines that seem full
}

// Candidates chooses machines: those with room in the order of most room first, then
// random ones of the rest. From an expired copy it chooses at random.
func (c *Copy) Candidates(now time.Duration, ask CandidateQuery, rng *rand.Rand) []int32 {
	var rest []int32
	if !c.IsFresh(now) {
		for _, m := range ask.OtherMachines {
			if ask.IsAllowed(m) {
				rest = append(rest, m)
			}
		}
		rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		return rest[:min(len(rest), ask.Count)]
	}
	// The order is worked out once a machine: comparing costs most in a large fleet.
	type ranked struct {
		machine int32
		tier    int
		far     int
		share   float64
		dice    uint32 // equal machines come in random order, so that controllers do not all favour the same one
	}
	var fits []ranked
	for _, m := range c.machineOrder {
		r := c.rows[m]
		if !r.Schedulable {
			continue
		}
		if has := r.HasCapacity(ask.Request, ask.HonorReserved); !has && !ask.FillRandomly || !ask.IsAllowed(m) {
			continue
		} else if !has {
			rest = append(rest, m)
			continue
		}
		k := ranked{machine: m, share: r.MinFreeFraction(), dice: rng.Uint32()}
		if ask.TierOf != nil {
			k.tier = ask.TierOf(m)
		}
		if ask.DistanceOf != nil {
			k.far = ask.DistanceOf(m)
		}
		if r.OfferedLast {
			k.tier += offeredLastTier
		}
		fits = append(fits, k)
	}
	slices.SortFunc(fits, func(x, y ranked) int {
		return cmp.Or(
			cmp.Compare(x.tier, y.tier),
			cmp.Compare(x.far, y.far),
			cmp.Compare(y.share, x.share),
			cmp.Compare(x.dice, y.dice),
		)
	})
	fits = fits[:min(len(fits), ask.Count)]
	out := make([]int32, 0, len(fits))
	for _, k := range fits {
		out = append(out, k.machine)
	}
	if ask.FillRandomly && len(out) < ask.Count {
		rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		out = append(out, rest[:min(len(rest), ask.Count-len(out))]...)
	}
	return out
}

const offeredLastTier = 1 << 20 // beyond every tier of an ask
