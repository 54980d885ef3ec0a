package clusterstate

import (
	"slices"
	"time"
)

// Copy is a controller's copy of the leader's array. It expires MaxAge after the last push.
type Copy struct {
	MaxAge       time.Duration
	rows         map[int32]*Row // by machine index
	machineOrder []int32        // machine indices, in the order in which they were first pushed
	receivedAt   time.Duration  // of the last push
	received     bool           // there was a push
}

// Replace takes a push of the whole array, and the deltas that it does not count yet.
func (c *Copy) Replace(now time.Duration, rows []Row, pending []Delta) {
	old := c.rows
	c.rows = make(map[int32]*Row, len(rows))
	c.machineOrder = c.machineOrder[:0]
	c.applyPush(now, old, rows, pending)
}

// Update takes a push of the rows that changed since the last one, and the deltas that it does not
// count yet. The other rows stay as the deltas since then left them.
func (c *Copy) Update(now time.Duration, rows []Row, pending []Delta) {
	if c.rows == nil {
		c.rows = map[int32]*Row{}
	}
	c.applyPush(now, c.rows, rows, pending)
}

// applyPush takes pushed rows, applies the pending deltas to them, and compares them with the rows
// before the push.
func (c *Copy) applyPush(now time.Duration, old map[int32]*Row, rows []Row, pending []Delta) {
	c.receivedAt, c.received = now, true
	before := make([]*Row, len(rows)) // the rows before the push, which may be replaced in old
	pushed := make(map[int32]*Row, len(rows))
	for i := range rows {
		row := rows[i]
		before[i] = old[row.Machine]
		if c.rows[row.Machine] == nil {
			c.machineOrder = append(c.machineOrder, row.Machine)
		}
		c.rows[row.Machine], pushed[row.Machine] = &row, &row
	}
	for _, delta := range pending {
		if row := pushed[delta.Machine]; row != nil {
			row.apply(delta)
		}
	}
	for i := range rows {
		row := pushed[rows[i].Machine]
		row.capacityFreedAt = now
		if before[i] != nil && !row.gainsCapacityOver(before[i]) {
			row.capacityFreedAt = before[i].capacityFreedAt
		}
	}
}

// gainsCapacityOver reports whether a row offers more than it did before: more available resources, or
// any at all on a machine that was not schedulable.
func (r *Row) gainsCapacityOver(before *Row) bool {
	return !before.Schedulable && r.Schedulable || r.Available.exceedsAny(before.Available)
}

// Remove removes the row of a machine that is gone.
func (c *Copy) Remove(machine int32) {
	if c.rows[machine] == nil {
		return
	}
	delete(c.rows, machine)
	if i := slices.Index(c.machineOrder, machine); i >= 0 {
		c.machineOrder = slices.Delete(c.machineOrder, i, i+1)
	}
}

// IsFresh reports whether there was a push and the copy has not expired.
func (c *Copy) IsFresh(now time.Duration) bool { return c.received && now-c.receivedAt < c.MaxAge }

// Apply applies a delta of this controller or another one to the copy.
func (c *Copy) Apply(now time.Duration, delta Delta) {
	if row := c.rows[delta.Machine]; row != nil {
		row.apply(delta)
		if !delta.Start {
			row.capacityFreedAt = now
		}
	}
}

// Row returns a machine's row, or nil.
func (c *Copy) Row(machine int32) *Row { return c.rows[machine] }
