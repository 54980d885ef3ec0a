package core

import (
	"dewlift/core/membership"
	"dewlift/wire"
	"time"
)

// queuePositions tell how many other controllers come before a job, and how many are alike, on
// ordinary and on spot machines.
type queuePositions [2]struct{ before, alike int }

// yieldDelay is how long room on a machine, that has just come free, is still left to others. All
// controllers see it with the same push, and while more work waits than there is room, each would
// fill it: half of all starts found the machine full. So the first in the machine's rendezvous
// order has it to itself for a moment, and the others follow one by one. First of all come those
// whose work has waited longer than the job that is placed: when each controller filled the same
// share of the new room, jobs of the same priority and age began two minutes apart, by whose they
// were.
func (c *Core) yieldDelay(machine int32, o queuePositions) time.Duration {
	r, m := c.clusterCopy.state.Row(machine), c.machines[machine]
	if r == nil || !c.clusterCopy.state.IsFresh(c.now) {
		return 0
	}
	x := o[0]
	if m.identity.spot {
		x = o[1]
	}
	rank := x.before + min(c.machineRank(m), x.alike)
	if rank == 0 {
		return 0
	}
	return max(0, r.RoomFreedAt()+c.firstRankWindow()+time.Duration(rank-1)*c.propagationDelay()-c.now)
}

func (c *Core) queuePositionsOf(priority int, atMS int64) (o queuePositions) {
	for i := range o {
		o[i].before, o[i].alike = c.controllers.membership.CountCompetitors(
			c.now,
			c.isControllerLive,
			membership.QueuePosition{Priority: priority, EnqueuedAtMS: atMS},
			i == 1,
		)
	}
	return o
}

// machineRank is the place of this controller among those that use a machine. Of machines that are
// as good, a job's tasks go to those where it is the first: between two pushes, controllers that
// choose at the same moment would all choose the same.
func (c *Core) machineRank(m *machine) int {
	if m.ranking.nodesVersion != c.controllers.nodesVersion+1 {
		m.ranking.nodesVersion, m.ranking.rank = c.controllers.nodesVersion+1, c.rendezvousRank(
			m.name,
			c.liveControllers(),
		)
	}
	return m.ranking.rank
}

// firstRankWindow is how long a controller has new room to itself: until it looks for room again,
// and the others know what it took.
func (c *Core) firstRankWindow() time.Duration {
	return min(c.placementScanInterval(), 400*time.Millisecond) + c.propagationDelay()
}

// propagationDelay is how long it takes until the others know of a start: a batch's time, or what
// it takes of late, if that is more.
func (c *Core) propagationDelay() time.Duration {
	return min(max(2*c.cfg.State.DeltaInterval, c.deltaLog.countingDelay/2), 2*time.Second)
}

// placementScanInterval is the time between two looks at all waiting jobs. Tasks of a job that find
// room one by one would take a write each, and its team's key another: where changes are few, they
// gather.
func (c *Core) placementScanInterval() time.Duration {
	return max(200*time.Millisecond, time.Duration(2/(0.5*c.transactions.rateLimit.WriteRate)*float64(time.Second)))
}

// firstWaitingByClass lists, of each lane, the first of this controller's jobs that wait for room,
// and have for so long that others give way. What is short for seconds is had by whoever can use it
// at once: when all gave way after a second, hardly any work began within two.
func (c *Core) firstWaitingByClass() (out []QueueHead) {
	first := make([]*job, c.priority.classes.Len())
	for _, j := range c.openJobs {
		if !j.placement.hasUnplacedTasks || j.write.inFlight || !c.ownsJob(j) || j.record.Spec == nil ||
			j.record.Spec.MachineTypes != nil ||
			j.record.Spec.Zone != "" ||
			c.now < j.placement.backoffUntil ||
			c.unixMS()-j.effectiveEnqueueMS() < c.cfg.Scheduling.YieldAfter.Milliseconds() ||
			!c.teamOf(j.record.Spec).fitsMaxQuota(j.record.Spec.Request) {
			continue
		}
		if at := &first[c.agedPriorityClass(j)]; *at == nil || j.effectiveEnqueueMS() < (*at).effectiveEnqueueMS() {
			*at = j
		}
	}
	for lane, j := range first {
		if j != nil {
			out = append(
				out,
				QueueHead{Priority: lane, EnqueuedAtMS: j.effectiveEnqueueMS(), Spot: j.record.Spec.Spot},
			)
		}
	}
	return out
}

// hasEarlierWaiting reports whether work that a new job must not pass waits for the same room here.
// Its tasks are then placed in the order of work, a moment after it was accepted: when they were
// placed with its acceptance, which comes before all placements, new jobs passed those that had
// waited longest.
func (c *Core) hasEarlierWaiting(s *wire.JobSpec) bool {
	return len(c.priority.firstWaiting) > 0 &&
		c.priority.firstWaiting[0].Priority <= c.priority.classes.Classify(s) &&
		(c.priority.firstWaiting[0].Spot || !s.Spot)
}

// isBehindFirstWaiting reports whether a job that waits comes after another of this controller's
// that does. When it was looked at by itself, as soon as it was accepted, it had room that had come
// free since the others were.
func (c *Core) isBehindFirstWaiting(j *job) bool {
	if len(c.priority.firstWaiting) == 0 || j.record.Spec == nil {
		return false
	}
	w, lane := c.priority.firstWaiting[0], c.effectivePriorityClass(j)
	return w.Priority < lane || w.Priority == lane && w.EnqueuedAtMS < j.effectiveEnqueueMS()
}
