package core

import (
	"math"
	"slices"
	"time"

	"dewlift/core/membership"
)

// startShareHalfLife is the half-life of a start in the shares of the priority classes.
const startShareHalfLife = 20 * time.Second

// startShareBoostDuration is how long a job is ordered as one of the first class to enforce the reserved
// share of its own class.
const startShareBoostDuration = time.Second

// startShares counts the recent starts of each priority class. The counts decay with startShareHalfLife.
type startShares struct {
	updatedAt     time.Duration
	startsByClass []float64
}

// recordStarts adds the starts of a proposal to the shares.
func (p *priorityState) recordStarts(next *proposal) {
	if len(next.started) == 0 || next.record.Spec == nil {
		return
	}
	s, class := &p.startShares, p.ownClass(next.record)
	if len(s.startsByClass) != p.classes.Len() {
		s.startsByClass = make([]float64, p.classes.Len())
	}
	decay := math.Exp2(-(p.now - s.updatedAt).Seconds() / startShareHalfLife.Seconds())
	s.updatedAt = p.now
	for i := range s.startsByClass {
		s.startsByClass[i] *= decay
	}
	s.startsByClass[class] += float64(len(next.started))
}

// shareBelow returns the share of recent starts that belong to the classes below the given one. It is 1 if
// the counts add up to less than one start. They decay only when further starts are recorded.
func (s *startShares) shareBelow(class int) float64 {
	total, below := 0.0, 0.0
	for i, n := range s.startsByClass {
		total += n
		if i > class {
			below += n
		}
	}
	if total < 1 {
		return 1
	}
	return below / total
}

// enforceStartShares checks whether the classes below some class got less than their reserved share of
// starts. If so, it moves the first waiting job of those classes ahead of all other placements, unless
// another controller has earlier work of those classes.
func (c *Core) enforceStartShares(due []*job) []*job {
	for class := range c.priority.classes.Len() - 1 {
		if share := c.priority.classes.ReservedShare(class); share == 0 ||
			c.priority.startShares.shareBelow(class) >= share {
			continue
		}
		first := c.firstWaitingBelow(class)
		if first == nil || c.hasEarlierWorkElsewhere(first, class) {
			continue
		}
		c.addToExamineList(first)
		return c.priority.boost(first, due)
	}
	return due
}

// firstWaitingBelow returns the first of this controller's waiting jobs in the classes below the given
// one, or nil if there is none. Jobs that were examined without finding capacity are included. Otherwise,
// later jobs would take the starts that are reserved for them.
func (c *Core) firstWaitingBelow(class int) (first *job) {
	for _, candidate := range c.openJobs {
		if !candidate.placement.hasUnplacedTasks || candidate.write.inFlight || candidate.write.outcomeUnknown ||
			!c.ownership.ownsJob(candidate) || candidate.record.Spec == nil ||
			c.priority.ownClass(candidate.record) <= class ||
			c.now < candidate.placement.backoffUntil ||
			!c.teams.of(candidate.record.Spec).fitsMaxQuota(candidate.record.Spec.Request) {
			continue
		}
		candidate.queue.rank = c.priority.rankOf(candidate)
		if first == nil || candidate.queue.rank.compare(first.queue.rank) < 0 {
			first = candidate
		}
	}
	return first
}

// hasEarlierWorkElsewhere reports whether another controller has waiting work in the classes below the
// given one that comes before a job.
func (c *Core) hasEarlierWorkElsewhere(j *job, class int) bool {
	position := membership.QueuePosition{Priority: c.priority.agedClass(j), EnqueuedAtMS: j.effectiveEnqueueMS()}
	return c.controllers.membership.HasEarlierWork(c.now, c.controllers.isLive, position, class)
}

// boost moves a job ahead of all other placements, so that it is examined now.
func (p *priorityState) boost(j *job, due []*job) []*job {
	j.queue.boostedUntil = p.now + startShareBoostDuration
	j.write.dirty, j.write.nextExamineAt = true, 0
	if i := slices.Index(due, j); i >= 0 {
		due = slices.Delete(due, i, i+1)
	}
	at := slices.IndexFunc(due, func(other *job) bool { return other.writePriority() > writePriorityAccept })
	if at < 0 {
		at = len(due)
	}
	return slices.Insert(due, at, j)
}
