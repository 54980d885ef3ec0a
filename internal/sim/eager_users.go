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

// userView is what users know about a job.
type userView struct {
	accepted bool
	stage    string
}

// userViewOf returns what users know about a job.
func (c *Checker) userViewOf(id string) userView {
	if job := c.jobs[id]; job != nil {
		return userView{job.accepted, job.stage}
	}
	return userView{}
}

// pollEagerly polls a job at all controllers at the same time: a controller that lags behind must not contradict
// another.
func (s *Simulator) pollEagerly(caller core.Credential, id string) {
	spec := s.Checker.jobs[id].spec
	for round := range eagerPollRounds {
		for _, n := range s.nodes {
			s.schedule(time.Duration(round)*15*time.Millisecond+s.randomDuration(0, 20*time.Millisecond), func() {
				if s.chance(0.5) {
					s.resubmit(n, caller, spec)
				}
				s.pollOnce(n, caller, id, func() {})
			})
		}
	}
	if job := s.Checker.jobs[id]; job.stage == "" && s.chance(0.3) {
		s.schedule(s.randomDuration(0, 30*time.Millisecond), func() { s.cancelUntilAnswered(caller, id) })
	}
}

// resubmit sends the submission of a job, known or not, to a controller once.
func (s *Simulator) resubmit(target *node, caller core.Credential, spec wire.JobSpec) {
	s.submitOnce(target, core.SubmitJob{ID: spec.ID, Spec: spec, Caller: caller}, func(core.Response, bool) {})
}

// cancelUntilAnswered cancels a job until a controller acknowledges that or knows no such job.
func (s *Simulator) cancelUntilAnswered(caller core.Credential, id string) {
	s.Checker.CancelRequested(id)
	var attempt func()
	attempt = func() {
		s.cancelOnce(s.anyNode(), caller, id, func(response core.Response, ok bool) {
			if !ok || response.Status != wire.StatusOK && response.Status != wire.StatusNotFound {
				s.schedule(retryInterval, attempt)
			}
		})
	}
	attempt()
}

// acceptedJobsWhere lists the jobs that users know to be accepted and that match, in order.
func (s *Simulator) acceptedJobsWhere(matches func(job *observedJob) bool) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(s.Checker.jobs)) {
		if job := s.Checker.jobs[id]; job.accepted && matches(job) {
			ids = append(ids, id)
		}
	}
	return ids
}

// randomID draws one of several job IDs, if there are any.
func (s *Simulator) randomID(ids []string) (id string, ok bool) {
	if len(ids) == 0 {
		return "", false
	}
	return ids[s.rng.IntN(len(ids))], true
}

// sendInvalidRequests sends invalid requests for a while: repeated submissions of unfinished jobs with other bodies,
// cancellations of done jobs, and submissions of jobs that are infeasible or lack a field. The last must never be
// accepted: the checker does not know these jobs and reports them as invented.
func (s *Simulator) sendInvalidRequests() {
	s.Trace("%v invalid requests", s.now)
	until := s.now + s.randomDuration(10*time.Second, 40*time.Second)
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		s.schedule(s.randomDuration(50*time.Millisecond, 600*time.Millisecond), next)
		s.sendInvalidRequest()
	}
	next()
}

// sendInvalidRequest sends one invalid request of a random kind.
func (s *Simulator) sendInvalidRequest() {
	target, caller := s.anyNode(), s.randomUser()
	switch s.rng.IntN(4) {
	case 0: // a repeated submission, as it was or with another body
		unfinished := s.acceptedJobsWhere(func(job *observedJob) bool { return job.stage == "" })
		if id, ok := s.randomID(unfinished); ok {
			spec := s.Checker.jobs[id].spec
			if s.chance(0.5) {
				spec.Tasks, spec.Request = spec.Tasks+1, [3]int64{1_000_000, 0, 0}
			}
			s.resubmit(target, caller, spec)
		}
	case 1:
		done := s.acceptedJobsWhere(func(job *observedJob) bool { return job.stage == wire.StageDone })
		if id, ok := s.randomID(done); ok {
			s.cancelUntilAnswered(caller, id)
		}
	case 2:
		spec := s.infeasibleJob()
		submission := core.SubmitJob{ID: spec.ID, Spec: spec, Caller: caller}
		s.submitOnce(target, submission, func(response core.Response, ok bool) {
			if ok {
				s.Checker.CheckRejected(fmt.Sprintf("%+v", spec), response.Status, wire.StatusInvalid)
			}
		})
	case 3:
		id := fmt.Sprintf("wk-y%05d", s.rng.IntN(100000))
		submission := core.SubmitJob{ID: id, DecodeError: "pieces is missing", Caller: caller}
		s.submitOnce(target, submission, func(response core.Response, ok bool) {
			if ok {
				s.Checker.CheckRejected("a job that lacks a field", response.Status, wire.StatusBadRequest)
			}
		})
	}
}

// CheckRejected checks the response to an invalid submission: its status must be want, or 503 or 403.
func (c *Checker) CheckRejected(what string, status, want wire.Status) {
	if status != want && status != wire.StatusUnavailable && status != wire.StatusForbidden {
		c.violated("unfit", "%s got status %d", what, status)
	}
}

// infeasibleJob draws a job that can never run.
func (s *Simulator) infeasibleJob() wire.JobSpec {
	spec := s.randomJob()
	spec.ID = fmt.Sprintf("wk-z%05d", s.rng.IntN(100000))
	switch s.rng.IntN(5) {
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
func (s *Simulator) checkStarvation() {
	s.schedule(time.Second, s.checkStarvation)
	machines := s.usableMachines()
	for _, id := range slices.Sorted(maps.Keys(s.Checker.jobs)) {
		job := s.Checker.jobs[id]
		switch {
		case !s.Checker.mustProgress(job) || !s.Checker.hasFeasibleMachine(job, machines):
			job.starvingSince = 0
		case job.starvingSince == 0:
			job.starvingSince = s.now
		case s.now-job.starvingSince >= maxStarvation:
			s.Checker.violated("left_waiting", "%s has waited for %v: %d of %d tasks are done, %d on machines",
				id, s.now-job.starvingSince, len(job.completedTasks), job.spec.Tasks, job.runningTasks)
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
func (s *Simulator) usableMachines() (usable []usableMachine) {
	for _, worker := range s.cloud.machines {
		name := worker.machine.Name
		if worker.up && !worker.gone && s.now >= worker.hungUntil && s.now >= s.inboundBlockedUntil[name] &&
			s.now >= s.outboundBlockedUntil[name] && worker.interruptionAt == 0 && worker.fencingToken > 0 {
			usable = append(usable, usableMachine{worker.machine, worker.freeCPU()})
		}
	}
	return usable
}

// mustProgress reports whether a job has tasks left whose start only a lack of capacity may prevent.
func (c *Checker) mustProgress(job *observedJob) bool {
	if !job.accepted || job.stage != "" || c.failingJobs[job.spec.ID] != nil || job.readyAt == notReady {
		return false
	}
	tasksLeft := len(job.completedTasks)+job.runningTasks < job.spec.Tasks
	return tasksLeft && !c.mayBeCancelled(job) && !c.isAtQuota(&job.spec)
}

// hasFeasibleMachine reports whether one of the machines is feasible for the next task of a job and has the cores for
// it.
func (c *Checker) hasFeasibleMachine(job *observedJob, machines []usableMachine) bool {
	return slices.ContainsFunc(machines, func(candidate usableMachine) bool {
		return candidate.freeCPU >= job.spec.Request[0] && c.isFeasible(job, candidate.machine)
	})
}

// isAtQuota reports whether another task would exceed the quota of its team.
func (c *Checker) isAtQuota(spec *wire.JobSpec) bool {
	quota, allocated := c.quotas[spec.Team], c.allocated[spec.Team]
	for i := range allocated {
		if quota[i] > 0 && allocated[i]+spec.Request[i] > quota[i] {
			return true
		}
	}
	return false
}

// isFeasible reports whether a machine satisfies the constraints on the next task of a job, regardless of its capacity.
func (c *Checker) isFeasible(job *observedJob, machine wire.Machine) bool {
	spec := &job.spec
	if !satisfiesMachineConstraints(spec, machine) {
		return false
	}
	if spec.OneZone && len(job.tasksByZone) > 0 && job.tasksByZone[machine.Zone] == 0 {
		return false
	}
	return !spec.Spread || job.tasksByZone[machine.Zone] < (spec.Tasks+1)/2
}
