package core

import (
	"slices"
	"time"

	"dewlift/overload"
)

// compactionInterval is the time between two compactions of the lists that are iterated often.
const compactionInterval = time.Second

// maintenanceState schedules periodic maintenance: the compaction of lists, and the full scan, a safeguard
// against changes that failed to mark something dirty.
type maintenanceState struct {
	*environment
	nextCompactionAt time.Duration
	nextFullScanAt   time.Duration
}

// runMaintenance removes entries without further work from the lists that are iterated often, and runs the
// full scan when it is due.
func (c *Core) runMaintenance() {
	if c.now < c.maintenance.nextCompactionAt {
		return
	}
	c.maintenance.nextCompactionAt = c.now + compactionInterval
	c.transactions.limits.advance()
	c.openJobs = slices.DeleteFunc(c.openJobs, func(candidate *job) bool {
		if candidate.needsAttention() {
			return false
		}
		candidate.write.inOpenList = false
		return true
	})
	c.aliveMachines = slices.DeleteFunc(c.aliveMachines, func(candidate *machine) bool {
		return candidate.lifecycle.gone && len(candidate.allocation.assignments) == 0
	})
	c.agents.countZoneMachines(c.aliveMachines)
	c.evictUnreferencedJobs()
	c.history.updateStats(&c.Stats)
	if c.replica.loaded && c.maintenance.isFullScanDue(c.overload.Level()) {
		c.runFullScan()
	}
}

// needsAttention reports whether a job has something to write or respond to now, or may have later without
// being marked dirty first. A job that only waits for dependencies is marked dirty when these end.
func (j *job) needsAttention() bool {
	if j.mustBeExamined() || j.write.inFlight {
		return true
	}
	if j.record == nil || j.record.Spec == nil {
		return false
	}
	return j.unmetDependencies <= 0 || j.cancelledBy != nil || len(j.assignments) > 0
}

// isFullScanDue reports whether the full scan must run now. Under load it runs half as often.
func (m *maintenanceState) isFullScanDue(level overload.Level) bool {
	due := m.nextFullScanAt
	if level != overload.Normal {
		due += m.cfg.Scheduling.FullScanInterval
	}
	return m.now >= due
}

// runFullScan marks all open jobs and alive machines dirty. Between full scans, only what changed is
// examined.
func (c *Core) runFullScan() {
	c.maintenance.nextFullScanAt = c.now + c.cfg.Scheduling.FullScanInterval
	for _, open := range c.openJobs {
		c.markDirtyKeepingDelay(open)
	}
	for _, alive := range c.aliveMachines {
		c.commands.markDirty(alive)
	}
}
