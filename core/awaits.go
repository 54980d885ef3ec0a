package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// awaiting is what a job has to do with those that it awaits and those that await it. All of it
// follows from the jobs' records: the index is kept in both directions, and what changes at a
// job is passed on step by step, without recursion and without a walk of all jobs.
type awaiting struct {
	linked  bool
	needs   []*job // jobs that it awaits, as its record names them
	next    []*job // jobs that await it
	waits   int    // those of needs that are not known to be done
	cause   *job   // a cancelled job that it needs, directly or through others; nil: none
	readyMS int64  // time of day since when it waits for nothing; 0: not known
	readyAt uint64 // revision at which the last that it awaited was done, as far as that is known

	// What is inherited from the jobs that need it orders the work. Limits, kinds of machines and
	// preemption stay the job's own.
	prio  int   // the lane that comes first of its own and theirs
	dueMS int64 // time of day by which it should be done, for all deadlines to be met; 0: none
}

// link notes what a job awaits, once, when its record is first seen with its description.
func (c *Core) link(j *job) {
	if j.linked || j.rec.Spec == nil {
		return
	}
	j.linked = true
	j.prio = c.ownLane(j.rec)
	for _, id := range j.rec.Spec.Dependencies {
		o := c.job(id)
		j.needs = append(j.needs, o)
		if o.rec != nil && o.rec.Stage == jobrecord.Done {
			j.readyAt = max(j.readyAt, o.mark)
			continue
		}
		j.waits++
		if o.mark == 0 { // it may have ended long ago
			c.hist.unresolved = append(c.hist.unresolved, o)
		}
		if o.final() {
			j.cause = o.root()
			continue
		}
		o.next = append(o.next, j)
	}
	c.inherit([]*job{j})
}

// root is the job because of which one that is cancelled or needs a cancelled one has ended.
func (j *job) root() *job {
	if j.cause != nil {
		return j.cause
	}
	return j
}

// over passes on that a job has ended: those that await it wait for one job less, or are
// cancelled with it.
func (c *Core) over(j *job) {
	next := j.next
	j.next = nil
	c.leave(j)
	if j.rec.Stage == jobrecord.Done {
		for _, n := range next {
			if n.waits--; n.waits == 0 && !n.final() {
				n.readyMS, n.readyAt = c.unixMS(), max(n.readyAt, j.mark)
				n.placement.hasUnplacedTasks = true
				c.touch(n)
			}
		}
	} else {
		for list := next; len(list) > 0; {
			n := list[len(list)-1]
			list = list[:len(list)-1]
			if n.final() {
				continue
			}
			n.cause, n.placement.hasUnplacedTasks = j.root(), false
			c.touch(n)
			c.settleCancels(n)
			list = append(list, n.next...)
			n.next = nil
			c.leave(n)
		}
	}
}

// leave has the jobs that an ended one awaited inherit nothing of it any more.
func (c *Core) leave(j *job) {
	needs := j.needs
	j.needs = nil
	for _, o := range needs {
		o.next = slices.DeleteFunc(o.next, func(n *job) bool { return n == j })
	}
	c.inherit(needs)
}

// inherit works out anew what jobs inherit from those that need them, and passes changes on.
func (c *Core) inherit(list []*job) {
	for len(list) > 0 {
		j := list[0]
		list = list[1:]
		if j.rec == nil || j.rec.Spec == nil || j.final() {
			continue
		}
		s := j.rec.Spec
		prio, due := c.ownLane(j.rec), int64(0)
		if s.DeadlineMS > 0 {
			due = j.rec.AcceptedAtMS + s.DeadlineMS
		}
		for _, n := range j.next {
			prio = min(prio, n.prio)
			if n.dueMS == 0 {
				continue
			}
			if by := n.dueMS - n.rec.Spec.EstimatedRuntimeMS; due == 0 || by < due {
				due = by
			}
		}
		if prio == j.prio && due == j.dueMS {
			continue
		}
		j.prio, j.dueMS = prio, due
		list = append(list, j.needs...)
	}
}

// turn is the time of day by which controllers compare whose work has waited longest, and plans order needs: since when a job could
// run, or when it must run to be done in time, if that is earlier.
func (j *job) turn() int64 {
	at := max(j.rec.AcceptedAtMS, j.readyMS)
	if j.dueMS != 0 {
		at = min(at, j.dueMS-j.rec.Spec.EstimatedRuntimeMS)
	}
	return at
}

// unmet lists the jobs that a description names and that are not done; unknown is one that was
// never accepted, as far as is known here, and cancelled one that is cancelled.
func (c *Core) unmet(s *wire.JobSpec) (left []string, unknown string, cancelled *job) {
	for _, id := range s.Dependencies {
		o := c.knownJob(id)
		switch {
		case o == nil:
			unknown = id
		case o.rec.Stage == jobrecord.Done:
		case o.final():
			cancelled = o.root()
			left = append(left, id)
		default:
			left = append(left, id)
		}
	}
	return left, unknown, cancelled
}

// readyIn is when a job that waits should be ready, by its owners' estimates, if that can be told:
// all jobs that it needs have started all their tasks.
func (c *Core) readyIn(j *job) (in time.Duration, ok bool) {
	for _, o := range j.needs {
		if o.rec == nil || o.rec.Stage == jobrecord.Done {
			continue
		}
		if o.rec.Spec == nil || o.waits > 0 || o.final() || o.rec.CompletedTasks.Count()+len(o.place) < o.rec.Spec.Tasks {
			return 0, false
		}
		for _, a := range o.place {
			in = max(in, c.leftOf(o, c.machines[a.Machine], a))
		}
	}
	return in, true
}
