package core

import (
	"time"

	"dewlift/core/membership"
	"dewlift/wire"
)

const (
	// maxExclusiveWindow limits the part of the exclusive window that stems from the scan interval.
	maxExclusiveWindow = 400 * time.Millisecond
	// minPlacementScanInterval is the minimum time between two scans of all waiting jobs.
	minPlacementScanInterval = 200 * time.Millisecond
	// placementScanWrites is the number of writes that accumulate between two scans at half the write rate.
	placementScanWrites = 2
)

// competitorCounts holds the competing controllers for on-demand machines (index 0) and for spot machines
// (index 1).
type competitorCounts [2]competitorCount

// competitorCount counts the other controllers whose waiting work is before a job in the queue, and those
// that are tied with it: their waiting work is at about the same position, or none is known.
type competitorCount struct{ ahead, tied int }

// yieldDelay returns how much longer recently freed capacity on a machine is yielded to other controllers.
// All controllers learn of freed capacity from the same push and would all fill it: while more work waited
// than there was capacity, half of all starts found the machine full. Therefore, the first controller in
// the machine's rendezvous order may use the capacity exclusively for a short time, and the others follow
// one by one. Controllers whose work has waited longer than the job to place precede all of them: when
// each controller filled the same share of the capacity, jobs of the same priority and age started two
// minutes apart, depending on their controller.
func (c *Core) yieldDelay(index int32, competitors competitorCounts) time.Duration {
	row, target := c.clusterCopy.state.Row(index), c.machines[index]
	if row == nil || !c.clusterCopy.state.IsFresh(c.now) {
		return 0
	}
	competing := competitors[0]
	if target.identity.spot {
		competing = competitors[1]
	}
	rank := competing.rank(c.machineRank(target))
	if rank == 0 {
		return 0
	}
	propagationDelay := c.deltaLog.propagationDelay()
	window := c.placement.exclusiveWindow(propagationDelay) + time.Duration(rank-1)*propagationDelay
	return max(0, row.CapacityFreedAt()+window-c.now)
}

// rank returns how many controllers may use freed capacity on a machine before this one. machineRank is
// this controller's rank in the machine's rendezvous order. If any controller is before this one, this one
// also follows all that are tied with it, because the earlier controller may itself follow those. When this
// one followed only those ahead of it in the rendezvous order, it could have the same rank as a controller
// whose work had waited longer, and start later work first.
func (n competitorCount) rank(machineRank int) int {
	if n.ahead > 0 {
		return n.ahead + n.tied
	}
	return min(machineRank, n.tied)
}

// countCompetitors compares a job's queue position with those of the other controllers' waiting work.
func (c *Core) countCompetitors(priorityClass int, enqueuedAtMS int64) (counts competitorCounts) {
	for i := range counts {
		counts[i].ahead, counts[i].tied = c.controllers.membership.CountCompetitors(
			c.now,
			c.controllers.isLive,
			membership.QueuePosition{Priority: priorityClass, EnqueuedAtMS: enqueuedAtMS},
			i == 1,
		)
	}
	return counts
}

// machineRank returns this controller's rank, from 0, in a machine's rendezvous order of the live
// controllers. Within a tier, a job's tasks go to the machines for which this rank is smallest. Otherwise,
// controllers that place tasks in the interval between two pushes would all choose the same machines.
func (c *Core) machineRank(m *machine) int {
	// The version is stored plus 1, because 0 means that the rank was never computed.
	if version := c.controllers.registrationsVersion + 1; m.ranking.registrationsVersion != version {
		m.ranking.registrationsVersion = version
		m.ranking.rank = c.controllers.rendezvousRank(m.name, c.controllers.liveNames())
	}
	return m.ranking.rank
}

// exclusiveWindow returns how long the first controller may use freed capacity exclusively: until its next
// placement scan is over and the others know what it allocated.
func (p *placementState) exclusiveWindow(propagationDelay time.Duration) time.Duration {
	return min(p.scanInterval(), maxExclusiveWindow) + propagationDelay
}

// scanInterval returns the time between two scans of all waiting jobs. Placing a job's tasks one by one
// would take one write each and another one for the team's key, so with a low write rate, the interval is
// longer and more tasks share a write.
func (p *placementState) scanInterval() time.Duration {
	seconds := placementScanWrites / (0.5 * p.rateLimit.WriteRate)
	return max(minPlacementScanInterval, time.Duration(seconds*float64(time.Second)))
}

// firstWaitingByClass returns, for each priority class, the first of this controller's jobs that has
// waited for capacity for at least YieldAfter. Other controllers yield to it. While capacity is scarce
// only for seconds, it goes to the first controller that can use it: when controllers yielded after one
// second, hardly any work started within two.
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

// isYieldedTo reports whether other controllers should yield capacity to one of this controller's jobs,
// because it may use any machine and has waited long enough.
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

// hasEarlierWaiting reports whether work that a new job must not overtake waits at this controller for the
// same capacity. In that case the new job's tasks are placed in queue order, shortly after its acceptance.
// When they were placed together with the acceptance, which is written before all placements, new jobs
// overtook those that had waited longest.
func (p *priorityState) hasEarlierWaiting(spec *wire.JobSpec) bool {
	if len(p.firstWaiting) == 0 {
		return false
	}
	head := p.firstWaiting[0]
	return head.Priority <= p.classes.Classify(spec) && (head.Spot || !spec.Spot)
}

// isBehindFirstWaiting reports whether a waiting job comes after the first of this controller's waiting
// jobs. If such a job were examined on its own, as soon as it is accepted, it would take capacity that was
// freed since the jobs before it were examined.
func (p *priorityState) isBehindFirstWaiting(j *job) bool {
	if len(p.firstWaiting) == 0 || j.record.Spec == nil {
		return false
	}
	head, class := p.firstWaiting[0], p.effectiveClass(j)
	return head.Priority < class || head.Priority == class && head.EnqueuedAtMS < j.effectiveEnqueueMS()
}
