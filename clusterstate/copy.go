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
	receivedAt   time.Duration  // time of the last push
	received     bool           // at least one push was received
}

// Replace applies a full push, and then the deltas that it does not acknowledge.
func (c *Copy) Replace(now time.Duration, rows []Row, pending []Delta) {
	old := c.rows
	c.rows = make(map[int32]*Row, len(rows))
	c.machineOrder = c.machineOrder[:0]
	c.applyPush(now, old, rows, pending)
}

// Update applies an incremental push, and then the deltas that it does not acknowledge. Other rows keep
// their values, including the deltas applied since the last push.
func (c *Copy) Update(now time.Duration, rows []Row, pending []Delta) {
	if c.rows == nil {
		c.rows = map[int32]*Row{}
	}
	c.applyPush(now, c.rows, rows, pending)
}

// applyPush adopts pushed rows, applies the pending deltas to them, and compares the result with the rows
// before the push to find rows that gained capacity.
func (c *Copy) applyPush(now time.Duration, old map[int32]*Row, rows []Row, pending []Delta) {
	c.receivedAt, c.received = now, true
	before := make([]*Row, len(rows)) // rows before the push; old may be the map that is changed below
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

// gainsCapacityOver reports whether a row offers more capacity than before: more of any available
// resource, or a machine that has become schedulable.
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

// IsFresh reports whether a push was received and the copy has not expired.
func (c *Copy) IsFresh(now time.Duration) bool { return c.received && now-c.receivedAt < c.MaxAge }

// Apply applies a delta of any controller to the copy.
func (c *Copy) Apply(now time.Duration, delta Delta) {
	if row := c.rows[delta.Machine]; row != nil {
		row.apply(delta)
		if !delta.Start {
			row.capacityFreedAt = now
		}
	}
}

// Row returns a machine's row, or nil if there is none.
func (c *Copy) Row(machine int32) *Row { return c.rows[machine] }
