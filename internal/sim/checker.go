package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dewlift/archive"
	"dewlift/core"
	"dewlift/wire"
)

// Checker observes a simulation and records every violated rule. It sees only the responses to users and the tasks on
// machines, nothing of the state of controllers.
type Checker struct {
	Violations    []string // each as "rule: details"
	cancelTimeout time.Duration
	quotas        map[string][2]int64 // maximum CPU and memory by team; 0: unlimited
	jobs          map[string]*observedJob
	runningOn     map[string]map[string]bool // by task name: the machines that it runs on
	machines      map[string]wire.Machine
	allocated     map[string][2]int64       // CPU and memory of the running tasks by team
	cancelled     []*observedJob            // jobs whose cancellation was acknowledged to a user
	dependents    map[string][]*observedJob // by job: the jobs that depend on it
	permissions   map[string]permissionView
	Starts        int // task starts
	// StartsAfterCancel counts starts after an acknowledged cancellation. Within the cancel timeout they are no
	// violation.
	StartsAfterCancel int
	failingJobs       map[string]*failingJob
	faultFreeFrom     time.Duration // no fault has an effect from then on; 0: faults never end
	// overlappingFaults is set if faults follow each other so closely that no job may have a chance to start before
	// faultFreeFrom.
	overlappingFaults bool
	lastEventAt       time.Duration // time of the last event
}

// observedJob is what the checker observed of a job, from responses to users and from tasks on machines.
type observedJob struct {
	spec             wire.JobSpec
	submitted        bool
	accepted         bool
	acceptedAt       time.Duration
	stage            string         // "done" or "cancelled" once that was reported to a user
	cancelRequested  bool           // its user asked to cancel it
	endReportedAt    time.Duration  // when its end was first reported to a user
	cancelReportedAt time.Duration  // when its cancellation was first reported to a user
	completedTasks   map[int]bool   // tasks completed on a worker
	tasksByZone      map[string]int // running tasks by zone
	runningTasks     int            // tasks on machines
	startedAt        time.Duration  // when a task of it first started; 0: never
	readyAt          time.Duration  // when its last dependency was done; notReady before
	// unansweredSince is when the first request about it was sent that was not answered, since the last answer and
	// faultFreeFrom; 0: there is none.
	unansweredSince time.Duration
	// starvingSince is when it began to starve, after faultFreeFrom: a feasible machine has capacity, and no task of it
	// starts. 0: it is not starving.
	starvingSince         time.Duration
	dependencyCancelled   bool          // the cancellation of a job it depends on was reported
	dependencyCancelledAt time.Duration // when it was reported
}

// allTasksCompleted reports whether all tasks of a job completed on workers. It is false for an unknown job.
func (j *observedJob) allTasksCompleted() bool {
	return j != nil && len(j.completedTasks) >= j.spec.Tasks
}

// NewChecker returns a checker for teams with maximum quotas.
func NewChecker(cancelTimeout time.Duration, quotas map[string][2]int64) *Checker {
	return &Checker{
		cancelTimeout: cancelTimeout,
		quotas:        quotas,
		jobs:          map[string]*observedJob{},
		runningOn:     map[string]map[string]bool{},
		dependents:    map[string][]*observedJob{},
		failingJobs:   map[string]*failingJob{},
		permissions:   map[string]permissionView{},
		machines:      map[string]wire.Machine{},
		allocated:     map[string][2]int64{},
	}
}

// violated records a violation. Tests match the names of rules, so these must not change.
func (c *Checker) violated(rule, format string, args ...any) {
	c.Violations = append(c.Violations, rule+": "+fmt.Sprintf(format, args...))
}

// JobSubmitted records a job that a user submits.
func (c *Checker) JobSubmitted(spec wire.JobSpec) {
	if c.jobs[spec.ID] != nil {
		return
	}
	job := &observedJob{spec: spec, submitted: true, completedTasks: map[int]bool{}, tasksByZone: map[string]int{}}
	c.jobs[spec.ID] = job
	for _, id := range spec.Dependencies {
		c.dependents[id] = append(c.dependents[id], job)
		if !c.jobs[id].allTasksCompleted() {
			job.readyAt = notReady
		}
	}
}

// cancelDependents records that all jobs that depend on a cancelled one must be cancelled too: within the cancel
// timeout after its cancellation was reported, or after their own acceptance if that is later.
func (c *Checker) cancelDependents(job *observedJob, at time.Duration) {
	for list := c.dependents[job.spec.ID]; len(list) > 0; {
		dependent := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1] // appending must not overwrite c.dependents
		if !dependent.dependencyCancelled {
			dependent.dependencyCancelled, dependent.dependencyCancelledAt = true, at
			list = append(list, c.dependents[dependent.spec.ID]...)
		}
	}
}

// dependencyMayBeCancelled reports whether a direct or indirect dependency of a job is cancelled or may be soon,
// because its user has asked for it.
func (c *Checker) dependencyMayBeCancelled(job *observedJob) bool {
	visited := map[string]bool{}
	for list := job.spec.Dependencies; len(list) > 0; {
		id := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1]
		if dependency := c.jobs[id]; dependency != nil && !visited[id] {
			visited[id] = true
			if dependency.cancelRequested && dependency.stage != wire.StageDone {
				return true
			}
			list = append(list, dependency.spec.Dependencies...)
		}
	}
	return false
}

// CancelRequested records that a user asks to cancel a job.
func (c *Checker) CancelRequested(id string) { c.jobs[id].cancelRequested = true }

// CheckResponse checks the response to a submission, a poll or a cancellation that was sent at sentAt.
func (c *Checker) CheckResponse(sentAt, now time.Duration, verb, id string, status wire.Status, stage string) {
	job := c.jobs[id]
	if status != wire.StatusOK && status != wire.StatusCreated {
		c.checkFailure(verb, id, status)
		return
	}
	if job == nil {
		c.violated("invented", "%s of %s got status %d, but nobody submitted it", verb, id, status)
		return
	}
	if !job.accepted {
		c.recordAcceptance(job, now)
	}
	if job.stage != "" && stage != job.stage {
		if sentAt < job.endReportedAt && stage != wire.StageDone && stage != wire.StageCancelled {
			return // the request was in flight when the end was reported
		}
		c.violated("went_back", "%s was reported %s and is now reported %s", id, job.stage, stage)
	}
	switch stage {
	case wire.StageDone:
		c.checkDone(job, now)
	case wire.StageCancelled:
		c.checkCancelled(job, now)
	default:
		if job.dependencyCancelled && sentAt-job.dependencyCancelledAt > c.cancelTimeout &&
			sentAt > job.acceptedAt+c.cancelTimeout {
			c.violated("orphaned", "%s is reported %s %v after a job that it depends on was cancelled",
				id, stage, sentAt-job.dependencyCancelledAt)
		}
	}
}

// checkFailure checks a failed request: an accepted job must not be reported as unknown or invalid.
func (c *Checker) checkFailure(verb, id string, status wire.Status) {
	job := c.jobs[id]
	invalid := verb == "submit" && (status == wire.StatusBadRequest || status == wire.StatusInvalid)
	if job != nil && job.accepted && (status == wire.StatusNotFound || invalid) {
		c.violated("forgotten", "%s of the accepted job %s got status %d", verb, id, status)
	}
}

// recordAcceptance records that a job is accepted. If it depends on a cancelled job, it must be cancelled too.
func (c *Checker) recordAcceptance(job *observedJob, now time.Duration) {
	job.accepted, job.acceptedAt = true, now
	for _, id := range job.spec.Dependencies {
		dependency := c.jobs[id]
		if dependency != nil && (dependency.dependencyCancelled || dependency.stage == wire.StageCancelled) &&
			!job.dependencyCancelled {
			job.dependencyCancelled, job.dependencyCancelledAt = true, now
		}
	}
}

// checkDone checks a job that is reported done: all its tasks must have completed.
func (c *Checker) checkDone(job *observedJob, now time.Duration) {
	if !job.allTasksCompleted() {
		c.violated("not_done", "%s is reported done with %d of %d tasks completed",
			job.spec.ID, len(job.completedTasks), job.spec.Tasks)
	}
	if job.stage == "" {
		job.endReportedAt = now
	}
	job.stage = wire.StageDone
}

// checkCancelled checks a job that is reported cancelled: a user must have requested that, or the cancellation of a
// dependency.
func (c *Checker) checkCancelled(job *observedJob, now time.Duration) {
	if !job.cancelRequested && !c.dependencyMayBeCancelled(job) {
		c.violated("went_back", "%s is reported cancelled, but its user did not request it", job.spec.ID)
	}
	if job.stage == "" {
		job.cancelReportedAt, job.endReportedAt = now, now
		c.cancelled = append(c.cancelled, job)
		c.cancelDependents(job, now)
	}
	job.stage = wire.StageCancelled
}

// TaskStarted checks and records that a task runs on a machine from now on.
func (c *Checker) TaskStarted(now time.Duration, id string, task int, machine wire.Machine) {
	c.Starts++
	if failing := c.failingJobs[id]; failing != nil {
		failing.recordStart(c, now, id)
	}
	name := wire.TaskName(id, task)
	job := c.jobs[id]
	if job == nil {
		c.violated("invented", "%s runs, but nobody submitted it", name)
		return
	}
	for other := range c.runningOn[name] {
		if other != machine.Name {
			c.violated("ran_twice", "%s starts on %s while it runs on %s", name, machine.Name, other)
		}
	}
	if job.startedAt == 0 {
		job.startedAt = max(1, now)
	}
	job.starvingSince = 0
	if job.stage == wire.StageCancelled {
		c.StartsAfterCancel++
	}
	for _, dependency := range job.spec.Dependencies {
		if !c.jobs[dependency].allTasksCompleted() {
			c.violated("too_early", "%s starts before %s is done", name, dependency)
		}
	}
	c.recordRunning(job, name, machine)
	c.checkPlacement(job, name, machine)
	c.checkQuota(job.spec.Team)
	c.Tick(now)
}

// recordRunning adds a machine to those that a task runs on.
func (c *Checker) recordRunning(job *observedJob, name string, machine wire.Machine) {
	c.machines[machine.Name] = machine
	if c.runningOn[name] == nil {
		c.runningOn[name] = map[string]bool{}
	}
	if !c.runningOn[name][machine.Name] {
		c.runningOn[name][machine.Name] = true
		c.countTask(job, machine.Zone, 1)
	}
}

// checkPlacement checks that a machine satisfies the constraints of a job. The task is counted already.
func (c *Checker) checkPlacement(job *observedJob, name string, machine wire.Machine) {
	spec := &job.spec
	if !satisfiesMachineConstraints(spec, machine) {
		c.violated("wrong_place", "%s on %s (%s, %s, spot %v)",
			name, machine.Name, machine.Type, machine.Zone, machine.Spot)
	}
	if spec.OneZone && len(job.tasksByZone) > 1 {
		c.violated("wrong_place", "%s on %s: its job must be in one zone and is in %v: %v",
			name, machine.Name, job.tasksByZone, c.runningOn)
	}
	if spec.Spread && job.tasksByZone[machine.Zone] > (spec.Tasks+1)/2 {
		c.violated("wrong_place", "%s: %d of %d tasks in zone %s",
			name, job.tasksByZone[machine.Zone], spec.Tasks, machine.Zone)
	}
}

// satisfiesMachineConstraints reports whether a machine has a type and zone that a job asks for, and is spot only
// if the job may run on spot machines.
func satisfiesMachineConstraints(spec *wire.JobSpec, machine wire.Machine) bool {
	return (spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.Type)) &&
		(spec.Zone == "" || spec.Zone == machine.Zone) &&
		(!machine.Spot || spec.Spot)
}

// checkQuota checks that a team is within its quota.
func (c *Checker) checkQuota(team string) {
	quota, allocated := c.quotas[team], c.allocated[team]
	for i := range allocated {
		if quota[i] > 0 && allocated[i] > quota[i] {
			c.violated("quota", "team %s uses %d of %d", team, allocated[i], quota[i])
		}
	}
}

// countTask adds running tasks of a job in a zone; a negative count removes them.
func (c *Checker) countTask(job *observedJob, zone string, count int) {
	if job.tasksByZone[zone] += count; job.tasksByZone[zone] == 0 {
		delete(job.tasksByZone, zone)
	}
	job.runningTasks += count
	allocated := c.allocated[job.spec.Team]
	for i := range allocated {
		allocated[i] += int64(count) * job.spec.Request[i]
	}
	c.allocated[job.spec.Team] = allocated
}

// TaskStopped records that a task no longer runs on a machine.
func (c *Checker) TaskStopped(id string, task int, machine string) {
	name := wire.TaskName(id, task)
	if !c.runningOn[name][machine] {
		return
	}
	c.countTask(c.jobs[id], c.machines[machine].Zone, -1)
	delete(c.runningOn[name], machine)
	if len(c.runningOn[name]) == 0 {
		delete(c.runningOn, name)
	}
}

// CheckResponsive checks that requests about a job are answered in time once faults are over: with its state, or with
// the information that it does not exist.
func (c *Checker) CheckResponsive(sentAt, now time.Duration, id string, status wire.Status) {
	job := c.jobs[id]
	if job == nil || !job.accepted || c.faultFreeFrom == 0 || sentAt < c.faultFreeFrom {
		return
	}
	switch {
	case status == wire.StatusOK || status == wire.StatusCreated || status == wire.StatusNotFound:
		job.unansweredSince = 0
	case job.unansweredSince == 0:
		job.unansweredSince = sentAt
	case now-job.unansweredSince >= maxUnansweredTime:
		c.violated("forgotten", "%s: no request about it was answered for %v", id, now-job.unansweredSince)
	}
}

// Service-level objectives of the operators; LATER.md has their wording.
const (
	maxUnansweredTime = 75 * time.Second
	maxStartDelay     = 4 * time.Minute

	notReady time.Duration = -1 // observedJob.readyAt while a dependency is not done
)

// startCounts counts the accepted jobs of a group, and those of them that started.
type startCounts struct{ jobs, started int }

// checkJobsStarted checks that at least half of the jobs of each class, of each team and of the largest jobs of each
// class started, and that the largest started in time.
func (c *Checker) checkJobsStarted(now time.Duration) {
	groups := map[string]*startCounts{}
	largest := map[string]int{} // by class
	for _, job := range c.jobs {
		largest[job.spec.Class] = max(largest[job.spec.Class], job.spec.Tasks)
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		if !job.accepted || c.mayBeCancelled(job) || job.acceptedAt > c.faultFreeFrom {
			continue
		}
		names := []string{"class " + job.spec.Class, "team " + job.spec.Team}
		if job.spec.Tasks == largest[job.spec.Class] {
			names = append(names, "the largest of class "+job.spec.Class)
			c.checkStartDelay(job, now)
		}
		for _, name := range names {
			if groups[name] == nil {
				groups[name] = &startCounts{}
			}
			groups[name].jobs++
			if job.startedAt != 0 {
				groups[name].started++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if group := groups[name]; 2*group.started < group.jobs {
			c.violated("unserved", "%s: %d of %d jobs started", name, group.started, group.jobs)
		}
	}
}

// mayBeCancelled reports whether a job is cancelled or may be soon, on its own or with a dependency.
func (c *Checker) mayBeCancelled(job *observedJob) bool {
	return job.cancelRequested || job.dependencyCancelled || c.dependencyMayBeCancelled(job)
}

// checkStartDelay checks that a job started in time after its acceptance and the completion of its dependencies.
func (c *Checker) checkStartDelay(job *observedJob, now time.Duration) {
	earliest := max(job.acceptedAt, job.readyAt)
	if c.overlappingFaults {
		earliest = max(earliest, c.faultFreeFrom)
	}
	startedLate := job.startedAt-earliest > maxStartDelay
	overdue := job.startedAt == 0 && job.readyAt != notReady && now-earliest > maxStartDelay
	if startedLate || overdue {
		c.violated("late_largest", "%s of %d tasks was accepted at %v, could start at %v and started at %v",
			job.spec.ID, job.spec.Tasks, job.acceptedAt, earliest, job.startedAt)
	}
}

// failingJob counts the starts of a job whose tasks fail on every machine.
type failingJob struct{ starts []time.Duration }

// maxExtraStartsPerMinute limits the starts of a failing job per minute, beyond one for each task. It allows for owners
// that crash and lose their count of attempts.
const maxExtraStartsPerMinute = 20

// recordStart records and checks a start of a failing job.
func (f *failingJob) recordStart(checker *Checker, now time.Duration, id string) {
	f.starts = append(f.starts, now)
	count := 0
	for _, at := range f.starts {
		if now-at < time.Minute {
			count++
		}
	}
	if limit := checker.jobs[id].spec.Tasks + maxExtraStartsPerMinute; count > limit {
		checker.violated("mistaken", "%s was started %d times within a minute", id, count)
	}
}

// TaskCompleted records that a task completed on a worker.
func (c *Checker) TaskCompleted(id string, task int) {
	job := c.jobs[id]
	if job == nil {
		return
	}
	job.completedTasks[task] = true
	for _, dependent := range c.dependents[id] {
		dependent.readyAt = c.lastEventAt
		for _, dependency := range dependent.spec.Dependencies {
			if !c.jobs[dependency].allTasksCompleted() {
				dependent.readyAt = notReady
			}
		}
	}
}

// Tick checks that no task of a cancelled job runs after the cancel timeout.
func (c *Checker) Tick(now time.Duration) {
	c.lastEventAt = now
	for _, job := range c.cancelled {
		if now-job.cancelReportedAt > c.cancelTimeout && job.runningTasks > 0 {
			c.violated("ran_cancelled", "tasks of %s are on machines %v after its cancellation",
				job.spec.ID, now-job.cancelReportedAt)
			job.cancelReportedAt = now // reported once
		}
	}
}

// Finish checks what must be true at the end.
func (c *Checker) Finish(now time.Duration) {
	if c.faultFreeFrom != 0 {
		c.checkJobsStarted(now)
	}
	if c.Starts == 0 {
		c.violated("nothing_ran", "no task was started")
	}
}

// checkJobsStored checks that every accepted job is stored once, as a record or in the archive, and that the archive
// agrees with the stage that was reported to its users.
func (s *Simulator) checkJobsStored() {
	archived := s.store.archivedJobs()
	for id, job := range s.Checker.jobs {
		entry, isArchived := archived[id]
		if hasRecord := s.store.keys[core.Root+"job/"+id] != nil; job.accepted && hasRecord == isArchived {
			s.Checker.violated("forgotten", "%s: has a record: %v, is archived: %v", id, hasRecord, isArchived)
		}
		if isArchived && contradicts(job, entry) {
			s.Checker.violated("went_back", "%s was reported %s and is archived as %+v", id, job.stage, entry)
		}
	}
}

// contradicts reports whether an archived job differs from what was reported to its users.
func contradicts(job *observedJob, entry archive.Entry) bool {
	if !entry.Cancelled && entry.CompletedTasks != job.spec.Tasks {
		return true
	}
	return job.stage == wire.StageDone && entry.Cancelled || job.stage == wire.StageCancelled && !entry.Cancelled
}
