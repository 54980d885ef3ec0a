// Package clusterstate implements the shared cluster state, which the paper calls collaborate-state: the
// leader's array with the available and allocated resources of each machine, the copies of it that are
// pushed to the controllers, and the deltas that keep both up to date. It also chooses the candidate
// machines for a request from a copy and orders them, using filters and scores supplied by the caller. It
// does no I/O, and the caller passes in the time and the source of randomness.
package clusterstate

import (
	"slices"
	"time"
)

// Row is the state of one machine.
type Row struct {
	Machine     int32
	Available   Resources
	Allocated   Resources
	Reserved    Resources // part of the available resources, for work that is feasible on fewer machines
	OfferedLast bool      // ranked after all other candidates, because the leader wants the machine to become idle
	Schedulable bool      // false: never a candidate, because the machine is about to be scaled in

	revision        uint64        // revision of the array at the last change of the row
	capacityFreedAt time.Duration // set only in a copy: when the row last gained available resources
}

// CapacityFreedAt returns when a row of a copy last gained available resources.
func (r *Row) CapacityFreedAt() time.Duration { return r.capacityFreedAt }

// MinFreeFraction returns the smallest available fraction among CPU, GPU and memory. It is 1 for a machine
// without resources.
func (r *Row) MinFreeFraction() float64 {
	fraction := 1.0
	for i := range r.Available {
		if total := r.Available[i] + r.Allocated[i]; total > 0 {
			fraction = min(fraction, float64(r.Available[i])/float64(total))
		}
	}
	return fraction
}

// HasCapacity reports whether a request fits into the available resources. If honorReserved is set,
// reserved resources do not count as available.
func (r *Row) HasCapacity(request Resources, honorReserved bool) bool {
	if honorReserved {
		return r.Available.AddScaled(r.Reserved, -1).Fits(request)
	}
	return r.Available.Fits(request)
}

// apply allocates or releases the resources of a delta.
func (r *Row) apply(d Delta) {
	sign := int64(1)
	if !d.Start {
		sign = -1
	}
	r.Available = r.Available.AddScaled(d.Request, -sign)
	r.Allocated = r.Allocated.AddScaled(d.Request, sign)
}

// Delta is the start or finish of a task and the resources that it allocates or releases.
type Delta struct {
	Start   bool
	Machine int32
	Request Resources
}

// Array is the leader's array, with one row per machine. Each row has the revision of its last change, so
// that an incremental push needs to carry only the rows that changed.
type Array struct {
	rows         map[int32]*Row // by machine index
	machineOrder []int32        // machine indices, sorted
	revision     uint64         // counts the changes of all rows
}

// NewArray returns an empty array.
func NewArray() *Array { return &Array{rows: map[int32]*Row{}} }

// SetMachine sets a machine's total and allocated resources. It adds a row if the machine has none.
func (a *Array) SetMachine(machine int32, total, allocated Resources, schedulable bool) {
	row := a.rows[machine]
	if row == nil {
		row = &Row{Machine: machine}
		a.rows[machine] = row
		i, _ := slices.BinarySearch(a.machineOrder, machine)
		a.machineOrder = slices.Insert(a.machineOrder, i, machine)
	}
	a.updateRow(row, func(r *Row) {
		r.Available, r.Allocated, r.Schedulable = total.AddScaled(allocated, -1), allocated, schedulable
	})
}

// updateRow changes a row. The revision advances only if a value changes.
func (a *Array) updateRow(row *Row, change func(*Row)) {
	old := *row
	change(row)
	if *row != old || row.revision == 0 {
		a.revision++
		row.revision = a.revision
	}
}

// Row returns a machine's row, or nil if there is none.
func (a *Array) Row(machine int32) *Row { return a.rows[machine] }

// SetOffer sets whether a machine is offered to the controllers, whether it ranks after all others, and
// which of its available resources are reserved. A machine without a row is ignored.
func (a *Array) SetOffer(machine int32, schedulable, offeredLast bool, reserved Resources) {
	if row := a.rows[machine]; row != nil {
		a.updateRow(row, func(r *Row) {
			r.Schedulable, r.OfferedLast, r.Reserved = schedulable, offeredLast, reserved
		})
	}
}

// Remove removes a machine's row.
func (a *Array) Remove(machine int32) {
	if a.rows[machine] == nil {
		return
	}
	delete(a.rows, machine)
	if i, ok := slices.BinarySearch(a.machineOrder, machine); ok {
		a.machineOrder = slices.Delete(a.machineOrder, i, i+1)
	}
}

// ChangedSince returns the rows that changed after a revision, sorted by machine index, and the current
// revision. After revision 0, it returns all rows.
func (a *Array) ChangedSince(after uint64) (changed []Row, revision uint64) {
	for _, machine := range a.machineOrder {
		if row := a.rows[machine]; row.revision > after {
			changed = append(changed, *row)
		}
	}
	return changed, a.revision
}
