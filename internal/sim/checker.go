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
	quotas        map[string][2]int64 // maximum of CPU and memory by team; 0: none
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

// observedJob is what users and machines show of a job.
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
func (k *Checker) violated(rule, format string, args ...any) {
	k.Violations = append(k.Violations, rule+": "+fmt.Sprintf(format, args...))
}

// JobSubmitted records a job that a user submits.
func (k *Checker) JobSubmitted(spec wire.JobSpec) {
	if k.jobs[spec.ID] != nil {
		return
	}
	job := &observedJob{spec: spec, submitted: true, completedTasks: map[int]bool{}, tasksByZone: map[string]int{}}
	k.jobs[spec.ID] = job
	for _, id := range spec.Dependencies {
		k.dependents[id] = append(k.dependents[id], job)
		if !k.jobs[id].allTasksCompleted() {
			job.readyAt = notReady
		}
	}
}

// cancelDependents records that all jobs that depend on a cancelled one must be cancelled too: within the cancel
// timeout after its cancellation was reported, or after their own acceptance if that is later.
func (k *Checker) cancelDependents(job *observedJob, at time.Duration) {
	for list := k.dependents[job.spec.ID]; len(list) > 0; {
		dependent := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1] // appending must not overwrite k.dependents
		if !dependent.dependencyCancelled {
			dependent.dependencyCancelled, dependent.dependencyCancelledAt = true, at
			list = append(list, k.dependents[dependent.spec.ID]...)
		}
	}
}

// dependencyMayBeCancelled reports whether a direct or indirect dependency of a job is cancelled or may be soon,
// because its user has asked for it.
func (k *Checker) dependencyMayBeCancelled(job *observedJob) bool {
	visited := map[string]bool{}
	for list := job.spec.Dependencies; len(list) > 0; {
		id := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1]
		if dependency := k.jobs[id]; dependency != nil && !visited[id] {
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
func (k *Checker) CancelRequested(id string) { k.jobs[id].cancelRequested = true }

// CheckResponse checks the response to a submission, a poll or a cancellation that was sent at sentAt.
func (k *Checker) CheckResponse(sentAt, now time.Duration, verb, id string, status wire.Status, stage string) {
	job := k.jobs[id]
	if status != wire.StatusOK && status != wire.StatusCreated {
		k.checkFailure(verb, id, status)
		return
	}
	if job == nil {
		k.violated("invented", "%s of %s got status %d, but nobody submitted it", verb, id, status)
		return
	}
	if !job.accepted {
		k.recordAcceptance(job, now)
	}
	if job.stage != "" && stage != job.stage {
		if sentAt < job.endReportedAt && stage != wire.StageDone && stage != wire.StageCancelled {
			return // the request was in flight when the end was reported
		}
		k.violated("went_back", "%s was reported %s and is now reported %s", id, job.stage, stage)
	}
	switch stage {
	case wire.StageDone:
		k.checkDone(job, now)
	case wire.StageCancelled:
		k.checkCancelled(job, now)
	default:
		if job.dependencyCancelled && sentAt-job.dependencyCancelledAt > k.cancelTimeout &&
			sentAt > job.acceptedAt+k.cancelTimeout {
			k.violated("orphaned", "%s is reported %s %v after a job that it depends on was cancelled",
				id, stage, sentAt-job.dependencyCancelledAt)
		}
	}
}

// checkFailure checks a failed request: an accepted job must not be reported as unknown or invalid.
func (k *Checker) checkFailure(verb, id string, status wire.Status) {
	job := k.jobs[id]
	invalid := verb == "submit" && (status == wire.StatusBadRequest || status == wire.StatusInvalid)
	if job != nil && job.accepted && (status == wire.StatusNotFound || invalid) {
		k.violated("forgotten", "%s of the accepted job %s got status %d", verb, id, status)
	}
}

// recordAcceptance records that a job is accepted. If it depends on a cancelled job, it must be cancelled too.
func (k *Checker) recordAcceptance(job *observedJob, now time.Duration) {
	job.accepted, job.acceptedAt = true, now
	for _, id := range job.spec.Dependencies {
		dependency := k.jobs[id]
		if dependency != nil && (dependency.dependencyCancelled || dependency.stage == wire.StageCancelled) &&
			!job.dependencyCancelled {
			job.dependencyCancelled, job.dependencyCancelledAt = true, now
		}
	}
}

// checkDone checks a job that is reported done: all its tasks must have completed.
func (k *Checker) checkDone(job *observedJob, now time.Duration) {
	if !job.allTasksCompleted() {
		k.violated("not_done", "%s is reported done with %d of %d tasks completed",
			job.spec.ID, len(job.completedTasks), job.spec.Tasks)
	}
	if job.stage == "" {
		job.endReportedAt = now
	}
	job.stage = wire.StageDone
}

// checkCancelled checks a job that is reported cancelled: a user must have requested that, or the cancellation of a
// dependency.
func (k *Checker) checkCancelled(job *observedJob, now time.Duration) {
	if !job.cancelRequested && !k.dependencyMayBeCancelled(job) {
		k.violated("went_back", "%s is reported cancelled, but its user did not request it", job.spec.ID)
	}
	if job.stage == "" {
		job.cancelReportedAt, job.endReportedAt = now, now
		k.cancelled = append(k.cancelled, job)
		k.cancelDependents(job, now)
	}
	job.stage = wire.StageCancelled
}

// TaskStarted checks and records that a task runs on a machine from now on.
func (k *Checker) TaskStarted(now time.Duration, id string, task int, machine wire.Machine) {
	k.Starts++
	if failing := k.failingJobs[id]; failing != nil {
		failing.recordStart(k, now, id)
	}
	name := wire.TaskName(id, task)
	job := k.jobs[id]
	if job == nil {
		k.violated("invented", "%s runs, but nobody submitted it", name)
		return
	}
	for other := range k.runningOn[name] {
		if other != machine.Name {
			k.violated("ran_twice", "%s starts on %s while it runs on %s", name, machine.Name, other)
		}
	}
	if job.startedAt == 0 {
		job.startedAt = max(1, now)
	}
	job.starvingSince = 0
	if job.stage == wire.StageCancelled {
		k.StartsAfterCancel++
	}
	for _, dependency := range job.spec.Dependencies {
		if !k.jobs[dependency].allTasksCompleted() {
			k.violated("too_early", "%s starts before %s is done", name, dependency)
		}
	}
	k.recordRunning(job, name, machine)
	k.checkPlacement(job, name, machine)
	k.checkQuota(job.spec.Team)
	k.Tick(now)
}

// recordRunning adds a machine to those that a task runs on.
func (k *Checker) recordRunning(job *observedJob, name string, machine wire.Machine) {
	k.machines[machine.Name] = machine
	if k.runningOn[name] == nil {
		k.runningOn[name] = map[string]bool{}
	}
	if !k.runningOn[name][machine.Name] {
		k.runningOn[name][machine.Name] = true
		k.countTask(job, machine.Zone, 1)
	}
}

// checkPlacement checks that a machine satisfies the constraints of a job. The task is counted already.
func (k *Checker) checkPlacement(job *observedJob, name string, machine wire.Machine) {
	spec := &job.spec
	if !satisfiesMachineConstraints(spec, machine) {
		k.violated("wrong_place", "%s on %s (%s, %s, spot %v)",
			name, machine.Name, machine.Type, machine.Zone, machine.Spot)
	}
	if spec.OneZone && len(job.tasksByZone) > 1 {
		k.violated("wrong_place", "%s on %s: its job must be in one zone and is in %v: %v",
			name, machine.Name, job.tasksByZone, k.runningOn)
	}
	if spec.Spread && job.tasksByZone[machine.Zone] > (spec.Tasks+1)/2 {
		k.violated("wrong_place", "%s: %d of %d tasks in zone %s",
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
func (k *Checker) checkQuota(team string) {
	quota, allocated := k.quotas[team], k.allocated[team]
	for i := range allocated {
		if quota[i] > 0 && allocated[i] > quota[i] {
			k.violated("quota", "team %s uses %d of %d", team, allocated[i], quota[i])
		}
	}
}

// countTask adds running tasks of a job in a zone; a negative count removes them.
func (k *Checker) countTask(job *observedJob, zone string, count int) {
	if job.tasksByZone[zone] += count; job.tasksByZone[zone] == 0 {
		delete(job.tasksByZone, zone)
	}
	job.runningTasks += count
	allocated := k.allocated[job.spec.Team]
	for i := range allocated {
		allocated[i] += int64(count) * job.spec.Request[i]
	}
	k.allocated[job.spec.Team] = allocated
}

// TaskStopped records that a task no longer runs on a machine.
func (k *Checker) TaskStopped(id string, task int, machine string) {
	name := wire.TaskName(id, task)
	if !k.runningOn[name][machine] {
		return
	}
	k.countTask(k.jobs[id], k.machines[machine].Zone, -1)
	delete(k.runningOn[name], machine)
	if len(k.runningOn[name]) == 0 {
		delete(k.runningOn, name)
	}
}

// CheckResponsive checks that requests about a job are answered in time once faults are over: with its state, or with
// the information that it does not exist.
func (k *Checker) CheckResponsive(sentAt, now time.Duration, id string, status wire.Status) {
	job := k.jobs[id]
	if job == nil || !job.accepted || k.faultFreeFrom == 0 || sentAt < k.faultFreeFrom {
		return
	}
	switch {
	case status == wire.StatusOK || status == wire.StatusCreated || status == wire.StatusNotFound:
		job.unansweredSince = 0
	case job.unansweredSince == 0:
		job.unansweredSince = sentAt
	case now-job.unansweredSince >= maxUnansweredTime:
		k.violated("forgotten", "%s: no request about it was answered for %v", id, now-job.unansweredSince)
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
func (k *Checker) checkJobsStarted(now time.Duration) {
	groups := map[string]*startCounts{}
	largest := map[string]int{} // by class
	for _, job := range k.jobs {
		largest[job.spec.Class] = max(largest[job.spec.Class], job.spec.Tasks)
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		job := k.jobs[id]
		if !job.accepted || k.mayBeCancelled(job) || job.acceptedAt > k.faultFreeFrom {
			continue
		}
		names := []string{"class " + job.spec.Class, "team " + job.spec.Team}
		if job.spec.Tasks == largest[job.spec.Class] {
			names = append(names, "the largest of class "+job.spec.Class)
			k.checkStartDelay(job, now)
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
			k.violated("unserved", "%s: %d of %d jobs started", name, group.started, group.jobs)
		}
	}
}

// mayBeCancelled reports whether a job is cancelled or may be soon, on its own or with a dependency.
func (k *Checker) mayBeCancelled(job *observedJob) bool {
	return job.cancelRequested || job.dependencyCancelled || k.dependencyMayBeCancelled(job)
}

// checkStartDelay checks that a job started in time after its acceptance and the completion of its dependencies.
func (k *Checker) checkStartDelay(job *observedJob, now time.Duration) {
	earliest := max(job.acceptedAt, job.readyAt)
	if k.overlappingFaults {
		earliest = max(earliest, k.faultFreeFrom)
	}
	startedLate := job.startedAt-earliest > maxStartDelay
	overdue := job.startedAt == 0 && job.readyAt != notReady && now-earliest > maxStartDelay
	if startedLate || overdue {
		k.violated("late_largest", "%s of %d tasks was accepted at %v, could start at %v and started at %v",
			job.spec.ID, job.spec.Tasks, job.acceptedAt, earliest, job.startedAt)
	}
}

// failingJob counts the starts of a job whose tasks fail on every machine.
type failingJob struct{ starts []time.Duration }

// maxExtraStartsPerMinute limits the starts of a failing job per minute, beyond one for each task. It allows for owners
// that crash and lose their count of attempts.
const maxExtraStartsPerMinute = 20

// recordStart records and checks a start of a failing job.
func (f *failingJob) recordStart(k *Checker, now time.Duration, id string) {
	f.starts = append(f.starts, now)
	count := 0
	for _, at := range f.starts {
		if now-at < time.Minute {
			count++
		}
	}
	if limit := k.jobs[id].spec.Tasks + maxExtraStartsPerMinute; count > limit {
		k.violated("mistaken", "%s was started %d times within a minute", id, count)
	}
}

// TaskCompleted records that a task completed on a worker.
func (k *Checker) TaskCompleted(id string, task int) {
	job := k.jobs[id]
	if job == nil {
		return
	}
	job.completedTasks[task] = true
	for _, dependent := range k.dependents[id] {
		dependent.readyAt = k.lastEventAt
		for _, dependency := range dependent.spec.Dependencies {
			if !k.jobs[dependency].allTasksCompleted() {
				dependent.readyAt = notReady
			}
		}
	}
}

// Tick checks that no task of a cancelled job runs after the cancel timeout.
func (k *Checker) Tick(now time.Duration) {
	k.lastEventAt = now
	for _, job := range k.cancelled {
		if now-job.cancelReportedAt > k.cancelTimeout && job.runningTasks > 0 {
			k.violated("ran_cancelled", "tasks of %s are on machines %v after its cancellation",
				job.spec.ID, now-job.cancelReportedAt)
			job.cancelReportedAt = now // reported once
		}
	}
}

// Finish checks what must be true at the end.
func (k *Checker) Finish(now time.Duration) {
	if k.faultFreeFrom != 0 {
		k.checkJobsStarted(now)
	}
	if k.Starts == 0 {
		k.violated("nothing_ran", "no task was started")
	}
}

// checkJobsStored checks that every accepted job is stored once, as a record or in the archive, and that the archive
// agrees with what its users were told.
func (w *Simulator) checkJobsStored() {
	archived := w.store.archivedJobs()
	for id, job := range w.Checker.jobs {
		entry, isArchived := archived[id]
		if hasRecord := w.store.keys[core.Root+"job/"+id] != nil; job.accepted && hasRecord == isArchived {
			w.Checker.violated("forgotten", "%s: has a record: %v, is archived: %v", id, hasRecord, isArchived)
		}
		if isArchived && contradicts(job, entry) {
			w.Checker.violated("went_back", "%s was reported %s and is archived as %+v", id, job.stage, entry)
		}
	}
}

// contradicts reports whether an archived job differs from what its users were told.
func contradicts(job *observedJob, entry archive.Entry) bool {
	if !entry.Cancelled && entry.CompletedTasks != job.spec.Tasks {
		return true
	}
	return job.stage == wire.StageDone && entry.Cancelled || job.stage == wire.StageCancelled && !entry.Cancelled
}
