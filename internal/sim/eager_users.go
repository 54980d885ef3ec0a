package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// Eager users poll all controllers several times within milliseconds after a response that a job was accepted, has
// ended or is cancelled, and repeat the submission; some cancel at once. Other users in this file send invalid
// requests.

const eagerPollRounds = 3 // polls of each controller

// userView is what users were told of a job.
type userView struct {
	accepted bool
	stage    string
}

// userViewOf returns what users were told of a job.
func (k *Checker) userViewOf(id string) userView {
	if job := k.jobs[id]; job != nil {
		return userView{job.accepted, job.stage}
	}
	return userView{}
}

// pollEagerly polls a job at all controllers at once: a controller that lags behind must not contradict another.
func (w *Simulator) pollEagerly(caller core.Credential, id string) {
	spec := w.Checker.jobs[id].spec
	for round := range eagerPollRounds {
		for _, n := range w.nodes {
			w.schedule(time.Duration(round)*15*time.Millisecond+w.randomDuration(0, 20*time.Millisecond), func() {
				if w.chance(0.5) {
					w.resubmit(n, caller, spec)
				}
				w.pollOnce(n, caller, id, func() {})
			})
		}
	}
	if job := w.Checker.jobs[id]; job.stage == "" && w.chance(0.3) {
		w.schedule(w.randomDuration(0, 30*time.Millisecond), func() { w.cancelUntilAnswered(caller, id) })
	}
}

// resubmit sends the submission of a job, known or not, to a controller once.
func (w *Simulator) resubmit(target *node, caller core.Credential, spec wire.JobSpec) {
	w.submitOnce(target, core.SubmitJob{ID: spec.ID, Spec: spec, Caller: caller}, func(core.Response, bool) {})
}

// cancelUntilAnswered cancels a job until a controller acknowledges that or knows no such job.
func (w *Simulator) cancelUntilAnswered(caller core.Credential, id string) {
	w.Checker.CancelRequested(id)
	var attempt func()
	attempt = func() {
		w.cancelOnce(w.anyNode(), caller, id, func(response core.Response, ok bool) {
			if !ok || response.Status != wire.StatusOK && response.Status != wire.StatusNotFound {
				w.schedule(retryInterval, attempt)
			}
		})
	}
	attempt()
}

// acceptedJobsWhere lists the jobs that users know to be accepted and that match, in order.
func (w *Simulator) acceptedJobsWhere(matches func(job *observedJob) bool) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.Checker.jobs)) {
		if job := w.Checker.jobs[id]; job.accepted && matches(job) {
			ids = append(ids, id)
		}
	}
	return ids
}

// randomID draws one of several job IDs, if there are any.
func (w *Simulator) randomID(ids []string) (id string, ok bool) {
	if len(ids) == 0 {
		return "", false
	}
	return ids[w.rng.IntN(len(ids))], true
}

// sendInvalidRequests sends invalid requests for a while: repeated submissions of unfinished jobs with other bodies,
// cancellations of done jobs, and submissions of jobs that are infeasible or lack a field. The last must never be
// accepted: the checker does not know these jobs and reports them as invented.
func (w *Simulator) sendInvalidRequests() {
	w.Trace("%v invalid requests", w.now)
	until := w.now + w.randomDuration(10*time.Second, 40*time.Second)
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		w.schedule(w.randomDuration(50*time.Millisecond, 600*time.Millisecond), next)
		w.sendInvalidRequest()
	}
	next()
}

// sendInvalidRequest sends one invalid request of a random kind.
func (w *Simulator) sendInvalidRequest() {
	target, caller := w.anyNode(), w.randomUser()
	switch w.rng.IntN(4) {
	case 0: // a repeated submission, as it was or with another body
		unfinished := w.acceptedJobsWhere(func(job *observedJob) bool { return job.stage == "" })
		if id, ok := w.randomID(unfinished); ok {
			spec := w.Checker.jobs[id].spec
			if w.chance(0.5) {
				spec.Tasks, spec.Request = spec.Tasks+1, [3]int64{1_000_000, 0, 0}
			}
			w.resubmit(target, caller, spec)
		}
	case 1:
		done := w.acceptedJobsWhere(func(job *observedJob) bool { return job.stage == wire.StageDone })
		if id, ok := w.randomID(done); ok {
			w.cancelUntilAnswered(caller, id)
		}
	case 2:
		spec := w.infeasibleJob()
		submission := core.SubmitJob{ID: spec.ID, Spec: spec, Caller: caller}
		w.submitOnce(target, submission, func(response core.Response, ok bool) {
			if ok {
				w.Checker.CheckRejected(fmt.Sprintf("%+v", spec), response.Status, wire.StatusInvalid)
			}
		})
	case 3:
		id := fmt.Sprintf("wk-y%05d", w.rng.IntN(100000))
		submission := core.SubmitJob{ID: id, DecodeError: "pieces is missing", Caller: caller}
		w.submitOnce(target, submission, func(response core.Response, ok bool) {
			if ok {
				w.Checker.CheckRejected("a job that lacks a field", response.Status, wire.StatusBadRequest)
			}
		})
	}
}

// CheckRejected checks the response to an invalid submission: its status must be want, or 503 or 403.
func (k *Checker) CheckRejected(what string, status, want wire.Status) {
	if status != want && status != wire.StatusUnavailable && status != wire.StatusForbidden {
		k.violated("unfit", "%s got status %d", what, status)
	}
}

// infeasibleJob draws a job that can never run.
func (w *Simulator) infeasibleJob() wire.JobSpec {
	spec := w.randomJob()
	spec.ID = fmt.Sprintf("wk-z%05d", w.rng.IntN(100000))
	switch w.rng.IntN(5) {
	case 0:
		spec.Request[0] = 17_000 // more cores than any machine has
	case 1:
		spec.Team = "nobody"
	case 2:
		spec.MachineTypes = []string{"huge"}
	case 3:
		spec.Zone = "z"
	case 4: // a service above the quota of its team
		spec.Team, spec.Service, spec.Tasks, spec.Request = "t1", true, 100, [3]int64{1000, 0, 0}
	}
	return spec
}

// maxStarvation is how long after the last fault a job may wait while a feasible machine has capacity for it and its
// team is below its quota.
const maxStarvation = 90 * time.Second

// checkStarvation checks every second for starving jobs. It considers the existing machines and the tasks on them, not
// the state of any controller.
func (w *Simulator) checkStarvation() {
	w.schedule(time.Second, w.checkStarvation)
	machines := w.usableMachines()
	for _, id := range slices.Sorted(maps.Keys(w.Checker.jobs)) {
		job := w.Checker.jobs[id]
		switch {
		case !w.Checker.mustProgress(job) || !w.Checker.hasFeasibleMachine(job, machines):
			job.starvingSince = 0
		case job.starvingSince == 0:
			job.starvingSince = w.now
		case w.now-job.starvingSince >= maxStarvation:
			w.Checker.violated("left_waiting", "%s has waited for %v: %d of %d tasks are done, %d on machines",
				id, w.now-job.starvingSince, len(job.completedTasks), job.spec.Tasks, job.runningTasks)
		}
	}
}

// usableMachine is a machine that tasks may be placed on.
type usableMachine struct {
	machine wire.Machine
	freeCPU int64 // thousandths of a core
}

// usableMachines lists the machines that run, are reachable both ways, have no interruption notice and have received a
// fencing token.
func (w *Simulator) usableMachines() (usable []usableMachine) {
	for _, worker := range w.cloud.machines {
		name := worker.machine.Name
		if worker.up && !worker.gone && w.now >= worker.hungUntil && w.now >= w.inboundBlockedUntil[name] &&
			w.now >= w.outboundBlockedUntil[name] && worker.interruptionAt == 0 && worker.fencingToken > 0 {
			usable = append(usable, usableMachine{worker.machine, worker.freeCPU()})
		}
	}
	return usable
}

// mustProgress reports whether a job has tasks left whose start only a lack of capacity may prevent.
func (k *Checker) mustProgress(job *observedJob) bool {
	if !job.accepted || job.stage != "" || k.failingJobs[job.spec.ID] != nil || job.readyAt == notReady {
		return false
	}
	tasksLeft := len(job.completedTasks)+job.runningTasks < job.spec.Tasks
	return tasksLeft && !k.mayBeCancelled(job) && !k.isAtQuota(&job.spec)
}

// hasFeasibleMachine reports whether one of the machines is feasible for the next task of a job and has the cores for
// it.
func (k *Checker) hasFeasibleMachine(job *observedJob, machines []usableMachine) bool {
	return slices.ContainsFunc(machines, func(candidate usableMachine) bool {
		return candidate.freeCPU >= job.spec.Request[0] && k.isFeasible(job, candidate.machine)
	})
}

// isAtQuota reports whether another task would exceed the quota of its team.
func (k *Checker) isAtQuota(spec *wire.JobSpec) bool {
	quota, allocated := k.quotas[spec.Team], k.allocated[spec.Team]
	for i := range allocated {
		if quota[i] > 0 && allocated[i]+spec.Request[i] > quota[i] {
			return true
		}
	}
	return false
}

// isFeasible reports whether a machine satisfies the constraints on the next task of a job, regardless of its capacity.
func (k *Checker) isFeasible(job *observedJob, machine wire.Machine) bool {
	spec := &job.spec
	if !satisfiesMachineConstraints(spec, machine) {
		return false
	}
	if spec.OneZone && len(job.tasksByZone) > 0 && job.tasksByZone[machine.Zone] == 0 {
		return false
	}
	return !spec.Spread || job.tasksByZone[machine.Zone] < (spec.Tasks+1)/2
}
