package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// jobDependencies is a job's node in the dependency graph. It is derived from the records of the jobs.
// Edges are indexed in both directions, and changes are propagated along them iteratively: a chain may
// have thousands of jobs, which rules out recursion as well as scans of all jobs.
type jobDependencies struct {
	indexed           bool
	dependencies      []*job // jobs that must be done first, according to its record
	dependents        []*job // non-final jobs that depend on it
	unmetDependencies int    // dependencies that are not known to be done
	cancelledBy       *job   // a cancelled job that it depends on, directly or indirectly; nil: none
	readySinceMS      int64  // Unix time in ms since when it has no unmet dependencies; 0: not known
	readyRevision     uint64 // revision at which its last dependency was done, if known

	// Urgency inherited from dependents affects the order of work. Quotas, machine types and preemption
	// use only the job's own attributes.
	effectiveClass      int   // the most urgent priority class among its own and those of its dependents
	effectiveDeadlineMS int64 // Unix time in ms by which it must be done to meet all deadlines; 0: none
}

// dependencyGraph maintains the dependencies between all jobs in memory.
type dependencyGraph struct {
	*environment
	jobs     *jobTable
	priority *priorityState

	unresolved    []*job // dependencies of other jobs whose records are not known
	nextResolveAt time.Duration
}

// addUnresolved schedules a lookup of a dependency whose record is not known.
func (g *dependencyGraph) addUnresolved(dependency *job) {
	g.unresolved = append(g.unresolved, dependency)
}

// unresolvedDue returns the unresolved dependencies if their lookup is due. The result is a copy, because
// a lookup may change the graph.
func (g *dependencyGraph) unresolvedDue() []*job {
	if g.now < g.nextResolveAt || len(g.unresolved) == 0 {
		return nil
	}
	g.nextResolveAt = g.now + resolveInterval
	g.unresolved = slices.DeleteFunc(g.unresolved, func(j *job) bool {
		return j.revision != 0 || len(j.dependents) == 0
	})
	return slices.Clone(g.unresolved)
}

// index adds a job to the dependency graph when its record with its specification is first seen. Later
// calls have no effect.
func (g *dependencyGraph) index(j *job) {
	if j.indexed || j.record.Spec == nil {
		return
	}
	j.indexed = true
	j.effectiveClass = g.priority.ownClass(j.record)
	for _, id := range j.record.Spec.Dependencies {
		dependency := g.jobs.internJob(id)
		j.dependencies = append(j.dependencies, dependency)
		if dependency.record != nil && dependency.record.Stage == jobrecord.Done {
			j.readyRevision = max(j.readyRevision, dependency.revision)
			continue
		}
		j.unmetDependencies++
		if dependency.revision == 0 { // it may be archived
			g.addUnresolved(dependency)
		}
		if dependency.isFinal() {
			j.cancelledBy = dependency.rootCancelledJob()
			continue
		}
		dependency.dependents = append(dependency.dependents, j)
	}
	g.priority.propagateUrgency([]*job{j})
}

// rootCancelledJob returns the job whose cancellation caused that of j: j itself, or a job that it
// depends on.
func (j *job) rootCancelledJob() *job {
	if j.cancelledBy != nil {
		return j.cancelledBy
	}
	return j
}

// propagateJobEnd propagates that a job is final. Its dependents have one unmet dependency less if the
// job is done, and are cancelled otherwise.
func (c *Core) propagateJobEnd(ended *job) {
	dependents := ended.dependents
	ended.dependents = nil
	c.dependencies.unlink(ended)
	if ended.record.Stage == jobrecord.Done {
		c.dependencies.markDependencyDone(dependents, ended.revision)
		return
	}
	c.cancelDependents(dependents, ended.rootCancelledJob())
}

// markDependencyDone records that a dependency of these jobs was done at a revision. Jobs without other
// unmet dependencies become ready to be placed.
func (g *dependencyGraph) markDependencyDone(dependents []*job, revision uint64) {
	for _, dependent := range dependents {
		dependent.unmetDependencies--
		if dependent.unmetDependencies != 0 || dependent.isFinal() {
			continue
		}
		dependent.readySinceMS = g.unixMS()
		dependent.readyRevision = max(dependent.readyRevision, revision)
		dependent.placement.hasUnplacedTasks = true
		g.jobs.markDirty(dependent)
	}
}

// cancelDependents cancels these jobs and all their direct and indirect dependents, because root is
// cancelled. The next write of each job updates its record.
func (c *Core) cancelDependents(pending []*job, root *job) {
	for len(pending) > 0 {
		dependent := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if dependent.isFinal() {
			continue
		}
		dependent.cancelledBy, dependent.placement.hasUnplacedTasks = root, false
		c.markDirty(dependent)
		c.completeCancellations(dependent)
		pending = append(pending, dependent.dependents...)
		dependent.dependents = nil
		c.dependencies.unlink(dependent)
	}
}

// unlink removes a final job from the graph, so that its dependencies no longer inherit its priority
// class and deadline.
func (g *dependencyGraph) unlink(j *job) {
	dependencies := j.dependencies
	j.dependencies = nil
	for _, dependency := range dependencies {
		dependency.dependents = slices.DeleteFunc(dependency.dependents, func(d *job) bool { return d == j })
	}
	g.priority.propagateUrgency(dependencies)
}

// propagateUrgency recomputes the priority class and deadline that jobs inherit from their dependents,
// and propagates changes to their own dependencies.
func (p *priorityState) propagateUrgency(pending []*job) {
	for len(pending) > 0 {
		j := pending[0]
		pending = pending[1:]
		if j.record == nil || j.record.Spec == nil || j.isFinal() {
			continue
		}
		class, deadlineMS := p.inheritedUrgency(j)
		if class == j.effectiveClass && deadlineMS == j.effectiveDeadlineMS {
			continue
		}
		j.effectiveClass, j.effectiveDeadlineMS = class, deadlineMS
		pending = append(pending, j.dependencies...)
	}
}

// inheritedUrgency returns the most urgent priority class and the earliest deadline (Unix time in ms;
// 0: none) among a job's own and those of its dependents. The estimated runtime of a dependent is
// subtracted from its deadline.
func (p *priorityState) inheritedUrgency(j *job) (class int, deadlineMS int64) {
	class = p.ownClass(j.record)
	if own := j.record.Spec.DeadlineMS; own > 0 {
		deadlineMS = j.record.AcceptedAtMS + own
	}
	for _, dependent := range j.dependents {
		class = min(class, dependent.effectiveClass)
		if dependent.effectiveDeadlineMS == 0 {
			continue
		}
		startBy := dependent.effectiveDeadlineMS - dependent.record.Spec.EstimatedRuntimeMS
		if deadlineMS == 0 || startBy < deadlineMS {
			deadlineMS = startBy
		}
	}
	return class, deadlineMS
}

// effectiveEnqueueMS returns the Unix time in ms by which controllers compare whose work has waited
// longest, and by which the autoscaler orders demand. It is the time at which the job became ready to
// run, or the latest start time that meets its deadline if that is earlier.
func (j *job) effectiveEnqueueMS() int64 {
	at := max(j.record.AcceptedAtMS, j.readySinceMS)
	if j.effectiveDeadlineMS != 0 {
		at = min(at, j.effectiveDeadlineMS-j.record.Spec.EstimatedRuntimeMS)
	}
	return at
}

// findUnmet returns the dependencies of a specification that are not done. unknown is a dependency that
// was never accepted as far as this controller knows, and cancelled is the cancelled job because of
// which a dependency will never be done.
func (g *dependencyGraph) findUnmet(spec *wire.JobSpec) (unmet []string, unknown string, cancelled *job) {
	for _, id := range spec.Dependencies {
		dependency := g.jobs.knownJob(id)
		switch {
		case dependency == nil:
			unknown = id
		case dependency.record.Stage == jobrecord.Done:
		case dependency.isFinal():
			cancelled = dependency.rootCancelledJob()
			unmet = append(unmet, id)
		default:
			unmet = append(unmet, id)
		}
	}
	return unmet, unknown, cancelled
}

// estimateReadyIn estimates how long it takes until a waiting job is ready, from the estimated runtimes
// of its dependencies. ok is false unless each of them has started all its tasks.
func (c *Core) estimateReadyIn(j *job) (readyIn time.Duration, ok bool) {
	for _, dependency := range j.dependencies {
		if dependency.record == nil || dependency.record.Stage == jobrecord.Done {
			continue
		}
		if !dependency.hasStartedAllTasks() {
			return 0, false
		}
		for _, assignment := range dependency.assignments {
			readyIn = max(readyIn, c.remainingTime(dependency, c.machines[assignment.Machine], assignment))
		}
	}
	return readyIn, true
}

// hasStartedAllTasks reports whether each task of a queued job is assigned to a machine or completed.
func (j *job) hasStartedAllTasks() bool {
	return j.record.Spec != nil && j.unmetDependencies == 0 && !j.isFinal() &&
		j.record.CompletedTasks.Count()+len(j.assignments) >= j.record.Spec.Tasks
}
