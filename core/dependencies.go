package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// jobDependencies is a job's place in the dependency graph. All of it follows from the jobs'
// records. The edges are indexed in both directions, and a change at a job is propagated along them
// iteratively: chains may have thousands of jobs, so neither recursion nor a scan of all jobs will do.
type jobDependencies struct {
	indexed           bool
	dependencies      []*job // jobs that must be done before it, as its record names them
	dependents        []*job // jobs that depend on it and are not final
	unmetDependencies int    // dependencies that are not known to be done
	cancelledBy       *job   // a cancelled job that it depends on, directly or indirectly; nil: none
	readySinceMS      int64  // time of day since when it has no unmet dependencies, in ms; 0: not known
	readyRevision     uint64 // revision at which its last dependency was done, as far as that is known

	// The order of work also follows from what is inherited from dependents. Quotas, machine types
	// and preemption remain the job's own.
	effectiveClass      int   // the most urgent priority class of its own and its dependents'
	effectiveDeadlineMS int64 // time of day by which it must be done for all deadlines to be met, in ms; 0: none
}

// dependencyGraph keeps the places of all jobs in memory in the dependency graph.
type dependencyGraph struct {
	*environment
	jobs     *jobTable
	priority *priorityState

	unresolved    []*job // dependencies of other jobs that are not known
	nextResolveAt time.Duration
}

// addUnresolved has a dependency of other jobs looked up that is not known.
func (g *dependencyGraph) addUnresolved(dependency *job) {
	g.unresolved = append(g.unresolved, dependency)
}

// unresolvedDue lists the dependencies that are not known, if they are to be looked up now. The list is
// a copy: a lookup may change the graph.
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

// index adds a job to the dependency graph when its record is first seen with its
// description; later calls have no effect.
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

// rootCancelledJob is the cancelled job because of which j is cancelled: j itself, or one that it
// depends on.
func (j *job) rootCancelledJob() *job {
	if j.cancelledBy != nil {
		return j.cancelledBy
	}
	return j
}

// propagateJobEnd propagates that a job is final: its dependents have one unmet dependency less, or
// are cancelled with it.
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

// markDependencyDone counts a dependency of these jobs as done at a revision. Those without further ones
// are ready to be placed.
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

// cancelDependents cancels these jobs, and all that depend on them, because of a cancelled job.
// Their records follow with their next writes.
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

// unlink removes a final job from the graph, so that its dependencies no longer inherit
// its priority class and deadline.
func (g *dependencyGraph) unlink(j *job) {
	dependencies := j.dependencies
	j.dependencies = nil
	for _, dependency := range dependencies {
		dependency.dependents = slices.DeleteFunc(dependency.dependents, func(d *job) bool { return d == j })
	}
	g.priority.propagateUrgency(dependencies)
}

// propagateUrgency recomputes what jobs inherit from their dependents, and propagates changes to
// their own dependencies.
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

// inheritedUrgency is the most urgent priority class, and the earliest deadline (time of day in ms;
// 0: none), of a job's own and those that it inherits from its dependents. A dependent's deadline
// counts less the dependent's estimated runtime.
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

// effectiveEnqueueMS is the time of day, in ms, by which controllers compare whose work has waited
// longest, and by which the autoscaler orders demand: since when the job could run, or when it must
// start to meet its deadline, if that is earlier.
func (j *job) effectiveEnqueueMS() int64 {
	at := max(j.record.AcceptedAtMS, j.readySinceMS)
	if j.effectiveDeadlineMS != 0 {
		at = min(at, j.effectiveDeadlineMS-j.record.Spec.EstimatedRuntimeMS)
	}
	return at
}

// findUnmet lists the dependencies of a description that are not done. unknown is one
// that was never accepted, as far as is known here, and cancelled is the cancelled job because of
// which one will never be done.
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

// estimateReadyIn is in what time a waiting job should become ready, by the estimated runtimes of its
// dependencies. That can be estimated only once each of them has started all its tasks.
func (c *Core) estimateReadyIn(j *job) (in time.Duration, ok bool) {
	for _, dependency := range j.dependencies {
		if dependency.record == nil || dependency.record.Stage == jobrecord.Done {
			continue
		}
		if !dependency.hasStartedAllTasks() {
			return 0, false
		}
		for _, assignment := range dependency.assignments {
			in = max(in, c.remainingTime(dependency, c.machines[assignment.Machine], assignment))
		}
	}
	return in, true
}

// hasStartedAllTasks reports whether each task of a queued job is assigned to a machine or completed.
func (j *job) hasStartedAllTasks() bool {
	return j.record.Spec != nil && j.unmetDependencies == 0 && !j.isFinal() &&
		j.record.CompletedTasks.Count()+len(j.assignments) >= j.record.Spec.Tasks
}
