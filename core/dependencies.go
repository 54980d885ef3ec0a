package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"slices"
	"time"
)

// jobDependencies is what a job has to do with those that it awaits and those that await it. All of it
// follows from the jobs' records: the index is kept in both directions, and what changes at a
// job is passed on step by step, without recursion and without a walk of all jobs.
type jobDependencies struct {
	indexed           bool
	dependencies      []*job // jobs that it awaits, as its record names them
	dependents        []*job // jobs that await it
	unmetDependencies int    // those of needs that are not known to be done
	cancelledBy       *job   // a cancelled job that it needs, directly or through others; nil: none
	readySinceMS      int64  // time of day since when it waits for nothing; 0: not known
	readyRevision     uint64 // revision at which the last that it awaited was done, as far as that is known

	// What is inherited from the jobs that need it orders the work. Limits, kinds of machines and
	// preemption stay the job's own.
	effectiveClass      int   // the lane that comes first of its own and theirs
	effectiveDeadlineMS int64 // time of day by which it should be done, for all deadlines to be met; 0: none
}

// indexDependencies notes what a job awaits, once, when its record is first seen with its description.
func (c *Core) indexDependencies(j *job) {
	if j.indexed || j.record.Spec == nil {
		return
	}
	j.indexed = true
	j.effectiveClass = c.ownPriorityClass(j.record)
	for _, id := range j.record.Spec.Dependencies {
		o := c.internJob(id)
		j.dependencies = append(j.dependencies, o)
		if o.record != nil && o.record.Stage == jobrecord.Done {
			j.readyRevision = max(j.readyRevision, o.revision)
			continue
		}
		j.unmetDependencies++
		if o.revision == 0 { // it may have ended long ago
			c.history.unresolvedDependencies = append(c.history.unresolvedDependencies, o)
		}
		if o.isFinal() {
			j.cancelledBy = o.rootCancelledJob()
			continue
		}
		o.dependents = append(o.dependents, j)
	}
	c.propagateUrgency([]*job{j})
}

// rootCancelledJob is the job because of which one that is cancelled or needs a cancelled one has ended.
func (j *job) rootCancelledJob() *job {
	if j.cancelledBy != nil {
		return j.cancelledBy
	}
	return j
}

// propagateJobEnd passes on that a job has ended: those that await it wait for one job less, or are
// cancelled with it.
func (c *Core) propagateJobEnd(j *job) {
	next := j.dependents
	j.dependents = nil
	c.unlinkDependencies(j)
	if j.record.Stage == jobrecord.Done {
		for _, n := range next {
			if n.unmetDependencies--; n.unmetDependencies == 0 && !n.isFinal() {
				n.readySinceMS, n.readyRevision = c.unixMS(), max(n.readyRevision, j.revision)
				n.placement.hasUnplacedTasks = true
				c.markDirty(n)
			}
		}
	} else {
		for list := next; len(list) > 0; {
			n := list[len(list)-1]
			list = list[:len(list)-1]
			if n.isFinal() {
				continue
			}
			n.cancelledBy, n.placement.hasUnplacedTasks = j.rootCancelledJob(), false
			c.markDirty(n)
			c.completeCancellations(n)
			list = append(list, n.dependents...)
			n.dependents = nil
			c.unlinkDependencies(n)
		}
	}
}

// unlinkDependencies has the jobs that an ended one awaited inherit nothing of it any more.
func (c *Core) unlinkDependencies(j *job) {
	needs := j.dependencies
	j.dependencies = nil
	for _, o := range needs {
		o.dependents = slices.DeleteFunc(o.dependents, func(n *job) bool { return n == j })
	}
	c.propagateUrgency(needs)
}

// propagateUrgency works out anew what jobs inherit from those that need them, and passes changes on.
func (c *Core) propagateUrgency(list []*job) {
	for len(list) > 0 {
		j := list[0]
		list = list[1:]
		if j.record == nil || j.record.Spec == nil || j.isFinal() {
			continue
		}
		s := j.record.Spec
		prio, due := c.ownPriorityClass(j.record), int64(0)
		if s.DeadlineMS > 0 {
			due = j.record.AcceptedAtMS + s.DeadlineMS
		}
		for _, n := range j.dependents {
			prio = min(prio, n.effectiveClass)
			if n.effectiveDeadlineMS == 0 {
				continue
			}
			if by := n.effectiveDeadlineMS - n.record.Spec.EstimatedRuntimeMS; due == 0 || by < due {
				due = by
			}
		}
		if prio == j.effectiveClass && due == j.effectiveDeadlineMS {
			continue
		}
		j.effectiveClass, j.effectiveDeadlineMS = prio, due
		list = append(list, j.dependencies...)
	}
}

// effectiveEnqueueMS is the time of day by which controllers compare whose work has waited longest,
// and plans order needs: since when a job could run, or when it must run to be done in time, if
// that is earlier.
func (j *job) effectiveEnqueueMS() int64 {
	at := max(j.record.AcceptedAtMS, j.readySinceMS)
	if j.effectiveDeadlineMS != 0 {
		at = min(at, j.effectiveDeadlineMS-j.record.Spec.EstimatedRuntimeMS)
	}
	return at
}

// findUnmetDependencies lists the jobs that a description names and that are not done; unknown is one that was
// never accepted, as far as is known here, and cancelled one that is cancelled.
func (c *Core) findUnmetDependencies(s *wire.JobSpec) (left []string, unknown string, cancelled *job) {
	for _, id := range s.Dependencies {
		o := c.knownJob(id)
		switch {
		case o == nil:
			unknown = id
		case o.record.Stage == jobrecord.Done:
		case o.isFinal():
			cancelled = o.rootCancelledJob()
			left = append(left, id)
		default:
			left = append(left, id)
		}
	}
	return left, unknown, cancelled
}

// estimateReadyIn is when a job that waits should be ready, by its owners' estimates, if that can be told:
// all jobs that it needs have started all their tasks.
func (c *Core) estimateReadyIn(j *job) (in time.Duration, ok bool) {
	for _, o := range j.dependencies {
		if o.record == nil || o.record.Stage == jobrecord.Done {
			continue
		}
		if o.record.Spec == nil || o.unmetDependencies > 0 || o.isFinal() ||
			o.record.CompletedTasks.Count()+len(o.assignments) < o.record.Spec.Tasks {
			return 0, false
		}
		for _, a := range o.assignments {
			in = max(in, c.remainingTime(o, c.machines[a.Machine], a))
		}
	}
	return in, true
}
