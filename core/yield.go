package core

import (
	"time"

	"dewlift/core/membership"
	"dewlift/wire"
)

const (
	// maxFirstRankWindow bounds how long a controller has freed capacity to itself.
	maxExclusiveWindow = 400 * time.Millisecond
	// minPlacementScanInterval is the least time between two scans of all waiting jobs.
	minPlacementScanInterval = 200 * time.Millisecond
	// placementScanWrites is the count of writes that gather between two scans, at half of the write rate.
	placementScanWrites = 2
)

// competitorCounts count, for on-demand and for spot machines, the other controllers whose waiting work
// is before a job in the queue, and those whose work is at about the same position.
type competitorCounts [2]competitorCount

// competitorCount counts the other controllers by their waiting work.
type competitorCount struct{ before, alike int }

// yieldDelay is how long capacity on a machine that was freed recently is still left to other
// controllers. All controllers learn of it with the same push, and each would fill it: while more work
// waited than there was capacity, half of all starts found the machine full. So the first in the
// machine's rendezvous order has the capacity to itself for a moment, and the others follow one by
// one. Before all of them come the controllers whose work has waited longer than the job to place:
// when each controller filled the same share of the capacity, jobs of the same priority and age
// started two minutes apart, depending on their controller.
func (c *Core) yieldDelay(index int32, positions competitorCounts) time.Duration {
	row, target := c.clusterCopy.state.Row(index), c.machines[index]
	if row == nil || !c.clusterCopy.state.IsFresh(c.now) {
		return 0
	}
	position := positions[0]
	if target.identity.spot {
		position = positions[1]
	}
	rank := position.rank(c.machineRank(target))
	if rank == 0 {
		return 0
	}
	propagationDelay := c.deltaLog.propagationDelay()
	window := c.placement.exclusiveWindow(propagationDelay) + time.Duration(rank-1)*propagationDelay
	return max(0, row.CapacityFreedAt()+window-c.now)
}

// rank is how many controllers have freed capacity on a machine before this one, whose rank in the
// machine's rendezvous order is machineRank. A controller whose work comes before this one's may itself
// follow those alike to it, and these are alike to this one or before it: so with any before it, this
// one follows all of those alike too. When it followed only those before it in the machine's order, it
// could have the same rank as a controller whose work had waited longer, and start later work first.
func (p competitorCount) rank(machineRank int) int {
	if p.before > 0 {
		return p.before + p.alike
	}
	return min(machineRank, p.alike)
}

// countCompetitors compares a job's queue position with those of the other controllers' waiting work.
func (c *Core) countCompetitors(priorityClass int, enqueuedAtMS int64) (positions competitorCounts) {
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
	if version := c.controllers.registrationsVersion + 1; m.ranking.nodesVersion != version {
		m.ranking.nodesVersion = version
		m.ranking.rank = c.controllers.rendezvousRank(m.name, c.controllers.liveNames())
	}
	return m.ranking.rank
}

// exclusiveWindow is how long a controller has freed capacity to itself: until its next placement
// scan is over, and the others know what it took.
func (p *placementState) exclusiveWindow(propagationDelay time.Duration) time.Duration {
	return min(p.scanInterval(), maxExclusiveWindow) + propagationDelay
}

// scanInterval is the time between two scans of all waiting jobs. Placing a job's tasks one
// by one would take a write each, and another for its team's key: where writes are scarce, tasks gather.
func (p *placementState) scanInterval() time.Duration {
	seconds := placementScanWrites / (0.5 * p.rateLimit.WriteRate)
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
		class := c.priority.agedClass(candidate)
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
		c.teams.of(spec).fitsMaxQuota(spec.Request)
}

// hasEarlierWaiting reports whether work that a new job must not overtake waits here for the same
// capacity. The new job's tasks are then placed in queue order, a moment after its acceptance: placed
// together with the acceptance, which is written before all placements, new jobs overtook those that
// had waited longest.
func (p *priorityState) hasEarlierWaiting(spec *wire.JobSpec) bool {
	if len(p.firstWaiting) == 0 {
		return false
	}
	head := p.firstWaiting[0]
	return head.Priority <= p.classes.Classify(spec) && (head.Spot || !spec.Spot)
}

// isBehindFirstWaiting reports whether a waiting job comes after the first of this controller's
// waiting jobs. Evaluated by itself, as soon as it was accepted, it would take capacity that was
// freed since the jobs before it were evaluated.
func (p *priorityState) isBehindFirstWaiting(j *job) bool {
	if len(p.firstWaiting) == 0 || j.record.Spec == nil {
		return false
	}
	head, class := p.firstWaiting[0], p.effectiveClass(j)
	return head.Priority < class || head.Priority == class && head.EnqueuedAtMS < j.effectiveEnqueueMS()
}
