package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Checker watches what happens in the world and notes every broken rule.
type Checker struct {
	Violations    []string
	cancelTimeout time.Duration
	quotas        map[string][2]int64
	jobs          map[string]*observedJob
	runningOn     map[string]map[string]bool // task -> machines it is on
	machines      map[string]wire.Machine
	allocated     map[string][2]int64       // room that a team's tasks take
	cancelled     []*observedJob            // cancelled jobs that may have tasks left
	dependents    map[string][]*observedJob // jobs that await a job
	permissions   map[string]permissionView
	Starts        int
	// starts after a confirmed cancellation: within the time of a cancellation these are counted, not a broken rule
	StartsAfterCancel int
	failingJobs       map[string]*failingJob
	faultFreeFrom     time.Duration // all troubles are over since; 0: they never are
	// until then troubles follow each other so closely that no job may have a chance to begin
	overlappingFaults bool
	lastEventAt       time.Duration // of the last event
}

// observedJob is what the users know of a job.
type observedJob struct {
	spec            wire.JobSpec
	submitted       bool
	accepted        bool
	acceptedAt      time.Duration
	stage           string         // "done" or "cancelled" once told
	cancelRequested bool           // its user asked to cancel
	endToldAt       time.Duration  // when its end was told first
	cancelToldAt    time.Duration  // when the cancellation was told
	completedTasks  map[int]bool   // tasks completed on a worker
	tasksByZone     map[string]int // tasks on machines by zone
	runningTasks    int            // tasks on machines
	startedAt       time.Duration  // when a task of it started first
	readyAt         time.Duration  // when all that it awaits was done
	// the first question about it that was not answered, since the last that was and all troubles are over
	unansweredSince time.Duration
	// since when it waits while it could run and nothing of it starts, after all troubles; 0: it does not
	starvingSince         time.Duration
	dependencyCancelled   bool          // a job that it needs was called cancelled
	dependencyCancelledAt time.Duration // when its user was told so
}

// NewChecker returns a checker.
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

func (k *Checker) violated(rule, format string, args ...any) {
	k.Violations = append(k.Violations, rule+": "+fmt.Sprintf(format, args...))
}

// JobSubmitted notes a job that a user submits.
func (k *Checker) JobSubmitted(s wire.JobSpec) {
	if k.jobs[s.ID] != nil {
		return
	}
	j := &observedJob{spec: s, submitted: true, completedTasks: map[int]bool{}, tasksByZone: map[string]int{}}
	k.jobs[s.ID] = j
	for _, id := range s.Dependencies {
		k.dependents[id] = append(k.dependents[id], j)
		if o := k.jobs[id]; o == nil || len(o.completedTasks) < o.spec.Tasks {
			j.readyAt = notReady
		}
	}
}

// cancelDependents notes that the jobs that need a cancelled one are cancelled with it: within the time of a
// cancellation after its user was told, or after their own acceptance, if that is later.
func (k *Checker) cancelDependents(j *observedJob, at time.Duration) {
	for list := k.dependents[j.spec.ID]; len(list) > 0; {
		n := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1] // the index keeps its own
		if !n.dependencyCancelled {
			n.dependencyCancelled, n.dependencyCancelledAt = true, at
			list = append(list, k.dependents[n.spec.ID]...)
		}
	}
}

// dependencyMayBeCancelled reports whether a job that a job needs was called cancelled or may soon be: its user has
// asked for it.
func (k *Checker) dependencyMayBeCancelled(j *observedJob) bool {
	seen := map[string]bool{}
	for list := j.spec.Dependencies; len(list) > 0; {
		id := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1]
		if o := k.jobs[id]; o != nil && !seen[id] {
			seen[id] = true
			if o.cancelRequested && o.stage != wire.StageDone {
				return true
			}
			list = append(list, o.spec.Dependencies...)
		}
	}
	return false
}

// CancelRequested notes that a user asks to cancel a job.
func (k *Checker) CancelRequested(id string) { k.jobs[id].cancelRequested = true }

// CheckResponse checks an answer to a submission, a poll or a cancellation that was asked at began.
func (k *Checker) CheckResponse(began, now time.Duration, verb, id string, status wire.Status, stage string) {
	j := k.jobs[id]
	if status == wire.StatusOK || status == wire.StatusCreated {
		if j == nil {
			k.violated("invented", "%s of %s got %d", verb, id, status)
			return
		}
		if !j.accepted {
			j.accepted, j.acceptedAt = true, now
			for _, id := range j.spec.Dependencies { // one that names a cancelled job is cancelled too
				if o := k.jobs[id]; o != nil && (o.dependencyCancelled || o.stage == wire.StageCancelled) &&
					!j.dependencyCancelled {
					j.dependencyCancelled, j.dependencyCancelledAt = true, now
				}
			}
		}
		if j.stage != "" && stage != j.stage {
			if began < j.endToldAt && stage != wire.StageDone && stage != wire.StageCancelled {
				return // it was on its way when the other answer was given
			}
			k.violated("went_back", "%s was called %s and is called %s", id, j.stage, stage)
		}
		switch stage {
		case wire.StageDone:
			if len(j.completedTasks) < j.spec.Tasks {
				k.violated(
					"not_done",
					"%s is called done with %d of %d tasks",
					id,
					len(j.completedTasks),
					j.spec.Tasks,
				)
			}
			if j.stage == "" {
				j.endToldAt = now
			}
			j.stage = stage
		case wire.StageCancelled:
			if !j.cancelRequested && !k.dependencyMayBeCancelled(j) {
				k.violated("went_back", "%s is called cancelled, its user did not ask", id)
			}
			if j.stage == "" {
				j.cancelToldAt, j.endToldAt = now, now
				k.cancelled = append(k.cancelled, j)
				k.cancelDependents(j, now)
			}
			j.stage = stage
		default:
			if j.dependencyCancelled && began-j.dependencyCancelledAt > k.cancelTimeout &&
				began > j.acceptedAt+k.cancelTimeout {
				k.violated(
					"orphaned",
					"%s is called %s %v after a job that it needs was cancelled",
					id,
					stage,
					began-j.dependencyCancelledAt,
				)
			}
		}
		return
	}
	if j == nil || !j.accepted {
		return
	}
	if status == wire.StatusNotFound || verb == "submit" && (status == wire.StatusBadRequest || status == wire.StatusInvalid) {
		k.violated("forgotten", "%s of %s got %d", verb, id, status)
	}
}

// TaskStarted notes that a task is on a machine from now: it has its image and runs.
func (k *Checker) TaskStarted(now time.Duration, id string, task int, m wire.Machine) {
	k.Starts++
	if x := k.failingJobs[id]; x != nil {
		x.recordStart(k, now, id)
	}
	name := wire.TaskName(id, task)
	j := k.jobs[id]
	if j == nil {
		k.violated("invented", "%s runs, nobody submitted it", name)
		return
	}
	for other := range k.runningOn[name] {
		if other != m.Name {
			k.violated("ran_twice", "%s starts on %s while it is on %s", name, m.Name, other)
		}
	}
	if k.runningOn[name] == nil {
		k.runningOn[name] = map[string]bool{}
	}
	if j.startedAt == 0 {
		j.startedAt = max(1, now)
	}
	j.starvingSince = 0
	if j.stage == wire.StageCancelled {
		k.StartsAfterCancel++
	}
	s := &j.spec
	for _, id := range s.Dependencies {
		if o := k.jobs[id]; o == nil || len(o.completedTasks) < o.spec.Tasks {
			k.violated("too_early", "%s starts before %s is done", name, id)
		}
	}
	k.machines[m.Name] = m
	if !k.runningOn[name][m.Name] {
		k.runningOn[name][m.Name] = true
		k.countTask(j, m.Zone, 1)
	}
	ok := s.MachineTypes == nil
	for _, t := range s.MachineTypes {
		ok = ok || t == m.Type
	}
	if !ok || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.Spot {
		k.violated("wrong_place", "%s on %s (%s, %s, spot %v)", name, m.Name, m.Type, m.Zone, m.Spot)
	}
	if s.OneZone && len(j.tasksByZone) > 1 {
		k.violated("wrong_place", "%s on %s: its job is in zones %v: %v", name, m.Name, j.tasksByZone, k.runningOn)
	}
	if s.Spread && j.tasksByZone[m.Zone] > (s.Tasks+1)/2 {
		k.violated("wrong_place", "%s: %d of %d tasks in zone %s", name, j.tasksByZone[m.Zone], s.Tasks, m.Zone)
	}
	lim, use := k.quotas[s.Team], k.allocated[s.Team]
	for i := range use {
		if lim[i] > 0 && use[i] > lim[i] {
			k.violated("quota", "team %s uses %d of %d", s.Team, use[i], lim[i])
		}
	}
	k.Tick(now)
}

// countTask adds a task on a machine, or takes one away.
func (k *Checker) countTask(j *observedJob, zone string, n int) {
	if j.tasksByZone[zone] += n; j.tasksByZone[zone] == 0 {
		delete(j.tasksByZone, zone)
	}
	j.runningTasks += n
	u := k.allocated[j.spec.Team]
	for i := range u {
		u[i] += int64(n) * j.spec.Request[i]
	}
	k.allocated[j.spec.Team] = u
}

// TaskStopped notes that a task left a machine.
func (k *Checker) TaskStopped(id string, task int, machine string) {
	n := wire.TaskName(id, task)
	if !k.runningOn[n][machine] {
		return
	}
	k.countTask(k.jobs[id], k.machines[machine].Zone, -1)
	delete(k.runningOn[n], machine)
	if len(k.runningOn[n]) == 0 {
		delete(k.runningOn, n)
	}
}

// CheckResponsive notes whether a question about a job was answered: with its state, or that there is none.
func (k *Checker) CheckResponsive(began, now time.Duration, id string, status wire.Status) {
	j := k.jobs[id]
	if j == nil || !j.accepted || k.faultFreeFrom == 0 || began < k.faultFreeFrom {
		return
	}
	switch {
	case status == wire.StatusOK || status == wire.StatusCreated || status == wire.StatusNotFound:
		j.unansweredSince = 0
	case j.unansweredSince == 0:
		j.unansweredSince = began
	case now-j.unansweredSince >= maxUnansweredTime:
		k.violated("forgotten", "%s: no question about it was answered for %v", id, now-j.unansweredSince)
	}
}

// By which the operators judge: in their words in the issue and in LATER.md.
const (
	maxUnansweredTime = 75 * time.Second
	maxStartDelay     = 4 * time.Minute

	notReady time.Duration = -1 // of a job that awaits another which is not done
)

// checkServed checks that of each class and team, and of the largest jobs of each class, at least
// half began, and that the largest began in time.
func (k *Checker) checkServed(now time.Duration) {
	type count struct{ jobs, began int }
	groups := map[string]*count{}
	largest := map[string]int{}
	for _, j := range k.jobs {
		largest[j.spec.Class] = max(largest[j.spec.Class], j.spec.Tasks)
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		if !j.accepted || j.cancelRequested || j.dependencyCancelled || k.dependencyMayBeCancelled(j) ||
			j.acceptedAt > k.faultFreeFrom {
			continue
		}
		names := []string{"class " + j.spec.Class, "team " + j.spec.Team}
		if j.spec.Tasks == largest[j.spec.Class] {
			names = append(names, "the largest of class "+j.spec.Class)
			// What awaits others can't begin before they are done.
			could := max(j.acceptedAt, j.readyAt)
			if k.overlappingFaults {
				could = max(could, k.faultFreeFrom)
			}
			if began := j.startedAt; began-could > maxStartDelay ||
				began == 0 && j.readyAt != notReady && now-could > maxStartDelay {
				k.violated(
					"late_largest",
					"%s of %d tasks was accepted at %v, could begin at %v and began at %v",
					id,
					j.spec.Tasks,
					j.acceptedAt,
					could,
					began,
				)
			}
		}
		for _, name := range names {
			g := groups[name]
			if g == nil {
				g = &count{}
				groups[name] = g
			}
			g.jobs++
			if j.startedAt != 0 {
				g.began++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[name]; 2*g.began < g.jobs {
			k.violated("unserved", "%s: %d of %d jobs began", name, g.began, g.jobs)
		}
	}
}

// failingJob is what became of a job whose tasks fail on every machine.
type failingJob struct{ starts []time.Duration }

// What a job with a mistake may cost: its tasks once, and then so many starts a minute, with owners
// that end and forget how often they have tried.
const maxFailingStarts = 20

func (x *failingJob) recordStart(k *Checker, now time.Duration, id string) {
	x.starts = append(x.starts, now)
	n := 0
	for _, at := range x.starts {
		if now-at < time.Minute {
			n++
		}
	}
	if most := k.jobs[id].spec.Tasks + maxFailingStarts; n > most {
		k.violated("mistaken", "%s was started %d times within a minute", id, n)
	}
}

// TaskCompleted notes that a task completed on a worker.
func (k *Checker) TaskCompleted(id string, task int) {
	j := k.jobs[id]
	if j == nil {
		return
	}
	j.completedTasks[task] = true
	for _, n := range k.dependents[id] {
		n.readyAt = k.lastEventAt
		for _, o := range n.spec.Dependencies {
			if x := k.jobs[o]; x == nil || len(x.completedTasks) < x.spec.Tasks {
				n.readyAt = notReady
			}
		}
	}
}

// Tick checks what must be over by now.
func (k *Checker) Tick(now time.Duration) {
	k.lastEventAt = now
	for _, j := range k.cancelled {
		if now-j.cancelToldAt > k.cancelTimeout && j.runningTasks > 0 {
			k.violated(
				"ran_cancelled",
				"tasks of %s are on machines %v after its cancellation",
				j.spec.ID,
				now-j.cancelToldAt,
			)
			j.cancelToldAt = now // once is enough
		}
	}
}

// Finish checks what must have happened.
func (k *Checker) Finish(now time.Duration) {
	if k.faultFreeFrom != 0 {
		k.checkServed(now)
	}
	if k.Starts == 0 {
		k.violated("nothing_ran", "no task was started")
	}
}

// checkJobsKept checks that every accepted job is kept once, by its record or in the archive, and as its
// users were told.
func (w *Simulator) checkJobsKept() {
	in := w.store.archivedJobs()
	for id, j := range w.Checker.jobs {
		e, there := in[id]
		if record := w.store.keys[core.Root+"job/"+id] != nil; j.accepted && record == there {
			w.Checker.violated("forgotten", "%s: has a record: %v, is archived: %v", id, record, there)
		}
		if there &&
			(j.stage == wire.StageDone && e.Cancelled || j.stage == wire.StageCancelled && !e.Cancelled || !e.Cancelled && e.CompletedTasks != j.spec.Tasks) {
			w.Checker.violated("went_back", "%s was called %s and is archived as %+v", id, j.stage, e)
		}
	}
}
