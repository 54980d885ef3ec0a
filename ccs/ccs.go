// Package ccs holds the collaborate-state of the paper: the leader's array of free and
// occupied room, the controllers' pushed copies of it, the tuples that keep it current,
// and the choice of candidates from a copy. It is pure: no clock, no I/O, no own randomness.
package ccs

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Vec is an amount of CPU, GPU (thousandths) and memory (MB).
type Vec [3]int64

// Fits reports whether claim fits into v.
func (v Vec) Fits(claim Vec) bool {
	return v[0] >= claim[0] && v[1] >= claim[1] && v[2] >= claim[2]
}

// Add returns v plus k times w.
func (v Vec) Add(w Vec, k int64) Vec {
	return Vec{v[0] + k*w[0], v[1] + k*w[1], v[2] + k*w[2]}
}

// Row is the state of one machine: its available and its occupied room.
type Row struct {
	Machine int32
	Avail   Vec
	Occ     Vec
	Keep    Vec  // room kept for work that has fewer machines to go to
	Last    bool // offered after all others: the leader would like the machine to empty
	Offered bool // false: the machine is about to be returned

	rev   uint64        // of the array, when it changed last
	since time.Duration // of a copy, when room was seen to come free last
}

// Since is when a copy was last seen to gain room.
func (r *Row) Since() time.Duration { return r.since }

// more reports whether there is room in v that is not in w.
func (v Vec) more(w Vec) bool { return v[0] > w[0] || v[1] > w[1] || v[2] > w[2] }

// FreeShare is the smallest free share over CPU, GPU and memory.
func (r *Row) FreeShare() float64 {
	share := 1.0
	for i := range r.Avail {
		if total := r.Avail[i] + r.Occ[i]; total > 0 {
			share = min(share, float64(r.Avail[i])/float64(total))
		}
	}
	return share
}

// Has reports whether a claim fits, beside the kept room if that is not for it.
func (r *Row) Has(claim Vec, keep bool) bool {
	if keep {
		return r.Avail.Add(r.Keep, -1).Fits(claim)
	}
	return r.Avail.Fits(claim)
}

// Delta is a start or finish tuple.
type Delta struct {
	Start   bool
	Machine int32
	Claim   Vec
}

// Array is the leader's array. Rows are found by dense machine index. Each row knows when it
// changed last, so that a push need only carry those that did.
type Array struct {
	rows  map[int32]*Row
	order []int32 // machine indices, sorted
	rev   uint64
}

// NewArray returns an empty array.
func NewArray() *Array { return &Array{rows: map[int32]*Row{}} }

// Seed sets a machine's whole and occupied room.
func (a *Array) Seed(machine int32, room, occ Vec, offered bool) {
	r := a.rows[machine]
	if r == nil {
		r = &Row{Machine: machine}
		a.rows[machine] = r
		i, _ := slices.BinarySearch(a.order, machine)
		a.order = slices.Insert(a.order, i, machine)
	}
	a.set(r, func(r *Row) { r.Avail, r.Occ, r.Offered = room.Add(occ, -1), occ, offered })
}

// set changes a row and notes whether that made it another.
func (a *Array) set(r *Row, f func(*Row)) {
	old := *r
	f(r)
	if *r != old || r.rev == 0 {
		a.rev++
		r.rev = a.rev
	}
}

// Row returns a machine's row, or nil.
func (a *Array) Row(machine int32) *Row { return a.rows[machine] }

// Offer says whether a machine is offered to the controllers, whether only after all
// others, and which room of it is kept.
func (a *Array) Offer(machine int32, offered, last bool, keep Vec) {
	if r := a.rows[machine]; r != nil {
		a.set(r, func(r *Row) { r.Offered, r.Last, r.Keep = offered, last, keep })
	}
}

// Remove drops a machine.
func (a *Array) Remove(machine int32) {
	if a.rows[machine] == nil {
		return
	}
	delete(a.rows, machine)
	if i, ok := slices.BinarySearch(a.order, machine); ok {
		a.order = slices.Delete(a.order, i, i+1)
	}
}

func (r *Row) apply(d Delta) {
	k := int64(1)
	if !d.Start {
		k = -1
	}
	r.Avail = r.Avail.Add(d.Claim, -k)
	r.Occ = r.Occ.Add(d.Claim, k)
}

// Rows lists the rows that changed after a revision, in the order of machine indices, and the
// revision they show. After revision 0 that is all of them.
func (a *Array) Rows(after uint64) ([]Row, uint64) {
	var out []Row
	for _, m := range a.order {
		if r := a.rows[m]; r.rev > after {
			out = append(out, *r)
		}
	}
	return out, a.rev
}

// Copy is a controller's copy of the array.
type Copy struct {
	Expire time.Duration
	rows   map[int32]*Row
	order  []int32
	at     time.Duration
	have   bool
}

// Replace takes a newly pushed whole array, and tuples that it does not count yet.
func (c *Copy) Replace(now time.Duration, rows []Row, pending []Delta) {
	old := c.rows
	c.rows = make(map[int32]*Row, len(rows))
	c.order = c.order[:0]
	c.take(now, old, rows, pending)
}

// Update takes the rows of an array that changed since the last push, and tuples that it does not count yet; the
// other rows are as the tuples since then left them.
func (c *Copy) Update(now time.Duration, rows []Row, pending []Delta) {
	if c.rows == nil {
		c.rows = map[int32]*Row{}
	}
	c.take(now, c.rows, rows, pending)
}

func (c *Copy) take(now time.Duration, was map[int32]*Row, rows []Row, pending []Delta) {
	c.at, c.have = now, true
	before := make([]*Row, len(rows)) // as they were
	fresh := make(map[int32]*Row, len(rows))
	for i := range rows {
		r := rows[i]
		before[i] = was[r.Machine]
		if c.rows[r.Machine] == nil {
			c.order = append(c.order, r.Machine)
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
		if r.since = now; old != nil && (old.Offered || !r.Offered) && !r.Avail.more(old.Avail) {
			r.since = old.since
		}
	}
}

// Drop forgets a machine that is gone.
func (c *Copy) Drop(machine int32) {
	if c.rows[machine] == nil {
		return
	}
	delete(c.rows, machine)
	if i := slices.Index(c.order, machine); i >= 0 {
		c.order = slices.Delete(c.order, i, i+1)
	}
}

// Valid reports whether the copy has not expired.
func (c *Copy) Valid(now time.Duration) bool { return c.have && now-c.at < c.Expire }

// Apply takes a start or finish of this controller on its own copy.
func (c *Copy) Apply(now time.Duration, d Delta) {
	if r := c.rows[d.Machine]; r != nil {
		r.apply(d)
		if !d.Start {
			r.since = now
		}
	}
}

// Row returns a machine's row, or nil.
func (c *Copy) Row(machine int32) *Row { return c.rows[machine] }

// Ask describes what a choice of candidates is for.
type Ask struct {
	N      int              // how many candidates
	Claim  Vec              // room of one task
	Allow  func(int32) bool // machines that the job may use
	Tier   func(int32) int  // smaller tiers are taken first; nil: one tier
	Far    func(int32) int  // of a tier, those less far are taken first; nil: all are as far
	Others []int32          // machines known besides the copy, for random choice
	Keep   bool             // leave the kept room alone
	Fill   bool             // fill up with machines that seem full
}

// Candidates chooses machines: those with room in the order of most room first, then
// random ones of the rest. From an expired copy it chooses at random.
func (c *Copy) Candidates(now time.Duration, ask Ask, rng *rand.Rand) []int32 {
	var rest []int32
	if !c.Valid(now) {
		for _, m := range ask.Others {
			if ask.Allow(m) {
				rest = append(rest, m)
			}
		}
		rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		return rest[:min(len(rest), ask.N)]
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
	for _, m := range c.order {
		r := c.rows[m]
		if !r.Offered {
			continue
		}
		if has := r.Has(ask.Claim, ask.Keep); !has && !ask.Fill || !ask.Allow(m) {
			continue
		} else if !has {
			rest = append(rest, m)
			continue
		}
		k := ranked{machine: m, share: r.FreeShare(), dice: rng.Uint32()}
		if ask.Tier != nil {
			k.tier = ask.Tier(m)
		}
		if ask.Far != nil {
			k.far = ask.Far(m)
		}
		if r.Last {
			k.tier += lastTier
		}
		fits = append(fits, k)
	}
	slices.SortFunc(fits, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.tier, y.tier), cmp.Compare(x.far, y.far), cmp.Compare(y.share, x.share), cmp.Compare(x.dice, y.dice))
	})
	fits = fits[:min(len(fits), ask.N)]
	out := make([]int32, 0, len(fits))
	for _, k := range fits {
		out = append(out, k.machine)
	}
	if ask.Fill && len(out) < ask.N {
		rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
		out = append(out, rest[:min(len(rest), ask.N-len(out))]...)
	}
	return out
}

const lastTier = 1 << 20 // beyond every tier of an ask
