package core

import (
	"dewlift/core/membership"
	"dewlift/wire"
	"time"
)

const (
	// maxFirstRankWindow bounds how long a controller has freed capacity to itself.
	maxFirstRankWindow = 400 * time.Millisecond
	// maxPropagationDelay bounds how long a start is expected to take until the other controllers know it.
	maxPropagationDelay = 2 * time.Second
	// minPlacementScanInterval is the least time between two scans of all waiting jobs.
	minPlacementScanInterval = 200 * time.Millisecond
	// placementScanWrites is the count of writes that gather between two scans, at half of the write rate.
	placementScanWrites = 2
)

// queuePositions count, for on-demand and for spot machines, the other controllers whose waiting work
// is before a job in the queue, and those whose work is at about the same position.
type queuePositions [2]struct{ before, alike int }

// yieldDelay is how long capacity on a machine that was freed recently is still left to other
// controllers. All controllers learn of it with the same push, and each would fill it: while more work
// waited than there was capacity, half of all starts found the machine full. So the first in the
// machine's rendezvous order has the capacity to itself for a moment, and the others follow one by
// one. Before all of them come the controllers whose work has waited longer than the job to place:
// when each controller filled the same share of the capacity, jobs of the same priority and age
// started two minutes apart, depending on their controller.
func (c *Core) yieldDelay(index int32, positions queuePositions) time.Duration {
	row, target := c.clusterCopy.state.Row(index), c.machines[index]
	if row == nil || !c.clusterCopy.state.IsFresh(c.now) {
		return 0
	}
	position := positions[0]
	if target.identity.spot {
		position = positions[1]
	}
	rank := position.before + min(c.machineRank(target), position.alike)
	if rank == 0 {
		return 0
	}
	window := c.firstRankWindow() + time.Duration(rank-1)*c.propagationDelay()
	return max(0, row.CapacityFreedAt()+window-c.now)
}

// queuePositionsOf compares a job's queue position with those of the other controllers' waiting work.
func (c *Core) queuePositionsOf(priorityClass int, enqueuedAtMS int64) (positions queuePositions) {
	for i := range positions {
		positions[i].before, positions[i].alike = c.controllers.membership.CountCompetitors(
			c.now,
			c.controllers.isLive,
			membership.QueuePosition{Priority: priorityClass, EnqueuedAtMS: enqueuedAtMS},
			i == 1,
		)
	}
	return positions
}

// machineRank is this controller's rank in a machine's rendezvous order of the live controllers, from
// 0. Of machines of the same tier, a job's tasks go to those of the smallest rank: controllers that
// choose between the same two pushes would otherwise all choose the same machines.
func (c *Core) machineRank(m *machine) int {
	// The version is stored plus 1: 0 is that of a machine whose rank was never computed.
	if version := c.controllers.nodesVersion + 1; m.ranking.nodesVersion != version {
		m.ranking.nodesVersion = version
		m.ranking.rank = c.controllers.rendezvousRank(m.name, c.controllers.liveNames())
	}
	return m.ranking.rank
}

// firstRankWindow is how long a controller has freed capacity to itself: until its next placement
// scan is over, and the others know what it took.
func (c *Core) firstRankWindow() time.Duration {
	return min(c.placementScanInterval(), maxFirstRankWindow) + c.propagationDelay()
}

// propagationDelay is how long it takes until the other controllers know of a start: the time of a
// batch of deltas, or the recently measured time if that is longer.
func (c *Core) propagationDelay() time.Duration {
	return min(max(2*c.cfg.State.DeltaInterval, c.deltaLog.countingDelay/2), maxPropagationDelay)
}

// placementScanInterval is the time between two scans of all waiting jobs. Placing a job's tasks one
// by one would take a write each, and another for its team's key: where writes are scarce, tasks gather.
func (c *Core) placementScanInterval() time.Duration {
	seconds := placementScanWrites / (0.5 * c.transactions.rateLimit.WriteRate)
	return max(minPlacementScanInterval, time.Duration(seconds*float64(time.Second)))
}

// firstWaitingByClass lists for each priority class the first of this controller's jobs that has
// waited for capacity for YieldAfter, so that other controllers yield to it. Capacity that is scarce
// for only seconds goes to the first controller that can use it: when all yielded after one second,
// hardly any work started within two.
func (c *Core) firstWaitingByClass() (heads []QueueHead) {
	first := make([]*job, c.priority.classes.Len())
	for _, candidate := range c.openJobs {
		if !c.isYieldedTo(candidate) {
			continue
		}
		class := c.agedPriorityClass(candidate)
		if first[class] == nil || candidate.effectiveEnqueueMS() < first[class].effectiveEnqueueMS() {
			first[class] = candidate
		}
	}
	for class, j := range first {
		if j != nil {
			heads = append(heads, QueueHead{
				Priority:     class,
				EnqueuedAtMS: j.effectiveEnqueueMS(),
				Spot:         j.record.Spec.Spot,
			})
		}
	}
	return heads
}

// isYieldedTo reports whether other controllers yield capacity to one of this controller's jobs: it
// could use capacity on any machine, and has waited long enough.
func (c *Core) isYieldedTo(j *job) bool {
	if !j.placement.hasUnplacedTasks || j.write.inFlight || !c.ownership.ownsJob(j) || j.record.Spec == nil {
		return false
	}
	spec := j.record.Spec
	return spec.MachineTypes == nil && spec.Zone == "" &&
		c.now >= j.placement.backoffUntil &&
		c.unixMS()-j.effectiveEnqueueMS() >= c.cfg.Scheduling.YieldAfter.Milliseconds() &&
		c.teamOf(spec).fitsMaxQuota(spec.Request)
}

// hasEarlierWaiting reports whether work that a new job must not overtake waits here for the same
// capacity. The new job's tasks are then placed in queue order, a moment after its acceptance: placed
// together with the acceptance, which is written before all placements, new jobs overtook those that
// had waited longest.
func (c *Core) hasEarlierWaiting(spec *wire.JobSpec) bool {
	if len(c.priority.firstWaiting) == 0 {
		return false
	}
	head := c.priority.firstWaiting[0]
	return head.Priority <= c.priority.classes.Classify(spec) && (head.Spot || !spec.Spot)
}

// isBehindFirstWaiting reports whether a waiting job comes after the first of this controller's
// waiting jobs. Evaluated by itself, as soon as it was accepted, it would take capacity that was
// freed since the jobs before it were evaluated.
func (c *Core) isBehindFirstWaiting(j *job) bool {
	if len(c.priority.firstWaiting) == 0 || j.record.Spec == nil {
		return false
	}
	head, class := c.priority.firstWaiting[0], c.effectivePriorityClass(j)
	return head.Priority < class || head.Priority == class && head.EnqueuedAtMS < j.effectiveEnqueueMS()
}
