package core

import (
	"dewlift/overload"
	"slices"
	"time"
)

// maintenanceState is periodic upkeep: compaction of the walked lists and the full scan, a
// safeguard against missed changes.
type maintenanceState struct {
	nextCompactionAt time.Duration
	nextFullScanAt   time.Duration
}

// runMaintenance drops what is over from the lists that are walked often.
func (c *Core) runMaintenance() {
	if c.now < c.maintenance.nextCompactionAt {
		return
	}
	c.maintenance.nextCompactionAt = c.now + time.Second
	c.openJobs = slices.DeleteFunc(c.openJobs, func(j *job) bool {
		// What waits for other jobs is touched when they are over.
		over := !j.write.dirty && !j.write.inFlight && j.submission == nil && len(j.cancellation.waiters) == 0 &&
			(j.record == nil || j.record.Spec == nil || j.unmetDependencies > 0 && j.cancelledBy == nil && len(j.assignments) == 0)
		if over {
			j.write.inOpenList = false
		}
		return over
	})
	c.aliveMachines = slices.DeleteFunc(
		c.aliveMachines,
		func(m *machine) bool { return m.lifecycle.gone && len(m.allocation.assignments) == 0 },
	)
	c.countZoneMachines()
	c.evictUnreferencedJobs()
	c.updateHistoryStats()
	// Only what changed is looked at otherwise; now and then everything is, as a safeguard against
	// a change that nobody noted.
	if c.replica.loaded && c.now >= c.maintenance.nextFullScanAt &&
		(c.overload.Level() == overload.Normal || c.now >= c.maintenance.nextFullScanAt+c.cfg.Scheduling.FullScanInterval) {
		c.maintenance.nextFullScanAt = c.now + c.cfg.Scheduling.FullScanInterval
		for _, j := range c.openJobs {
			c.markDirtyKeepingDelay(j)
		}
		for _, m := range c.aliveMachines {
			c.markMachineDirty(m)
		}
	}
}
