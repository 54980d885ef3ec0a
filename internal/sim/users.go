package sim

import (
	"fmt"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// Timeouts and intervals of users.
const (
	submitTimeout = 5 * time.Second
	cancelTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	retryInterval = time.Second
	pollInterval  = 5 * time.Second
)

// scheduleUsers schedules the users who submit, poll and cancel jobs.
func (s *Simulator) scheduleUsers() {
	for range s.options.Jobs {
		spec := s.randomJob()
		if s.options.ZonePinnedJobs {
			spec.Zone, spec.Spread, spec.OneZone = zones[s.rng.IntN(zoneCount)], false, s.chance(0.5)
		}
		if s.options.PriorityClasses {
			spec = s.uniformJob()
		}
		at := s.randomDuration(0, s.options.Duration*2/3)
		s.schedule(at, func() { s.runUser(spec) })
	}
	for range s.options.FailingJobs {
		spec := s.randomJob()
		spec.Dependencies, spec.Service = nil, s.chance(0.2)
		s.Checker.failingJobs[spec.ID] = &failingJob{}
		s.schedule(s.randomDuration(0, s.options.Duration/3), func() { s.runUser(spec) })
	}
	for range s.options.Pipelines {
		s.schedule(s.randomDuration(s.pipelinesStartAt(), s.options.Duration*2/3), s.submitPipeline)
	}
	for i := range s.options.SingleTaskJobs {
		spec := s.randomJob()
		spec.Service, spec.Tasks, spec.OneZone, spec.Spread = false, 1, false, false
		s.schedule(10*time.Second+time.Duration(i)*250*time.Millisecond, func() { s.runUser(spec) })
	}
	s.schedule(time.Second, s.pollUnknownJob)
}

// pollUnknownJob polls a job that nobody submitted, again and again.
func (s *Simulator) pollUnknownJob() {
	id := fmt.Sprintf("wk-x%05d", s.rng.IntN(100000))
	s.pollOnce(s.anyNode(), credentialOf(rootUser), id, func() {})
	s.schedule(pollInterval, s.pollUnknownJob)
}

// anyNode draws a controller; it may be down.
func (s *Simulator) anyNode() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }

// checkJobResponse hands a response about a job to the checker. A missing response only counts as an unanswered
// request. A response says nothing about the job if the caller may not have been permitted to see it.
func (s *Simulator) checkJobResponse(
	caller core.Credential,
	sentAt time.Duration,
	verb, id string,
	response core.Response,
	ok bool,
) {
	if !ok {
		s.Checker.CheckResponsive(sentAt, s.now, id, wire.StatusNoResponse)
	}
	if !ok || !s.checkPermission(caller, sentAt, verb, id, response.Status) {
		return
	}
	state, _ := response.Body.(wire.JobState)
	s.Checker.CheckResponsive(sentAt, s.now, id, response.Status)
	before := s.Checker.userViewOf(id)
	s.Checker.CheckResponse(sentAt, s.now, verb, id, response.Status, state.Stage)
	if s.now < s.eagerPollsUntil && s.Checker.userViewOf(id) != before {
		s.pollEagerly(caller, id)
	}
}

// submitOnce sends a submission to a controller.
func (s *Simulator) submitOnce(target *node, submission core.SubmitJob, then func(response core.Response, ok bool)) {
	sentAt := s.now
	s.sendRequest(target, submitTimeout, func(requestID uint64) core.Input {
		submission.RequestID, submission.UnixMS = requestID, s.nowUnixMS()
		return submission
	}, func(response core.Response, ok bool) {
		s.checkJobResponse(submission.Caller, sentAt, "submit", submission.ID, response, ok)
		then(response, ok)
	})
}

// pollOnce asks a controller for the state of a job.
func (s *Simulator) pollOnce(target *node, caller core.Credential, id string, then func()) {
	sentAt := s.now
	s.sendRequest(target, pollTimeout, func(requestID uint64) core.Input {
		return core.GetJob{RequestID: requestID, ID: id, Caller: caller}
	}, func(response core.Response, ok bool) {
		s.checkJobResponse(caller, sentAt, "poll", id, response, ok)
		then()
	})
}

// cancelOnce asks a controller to cancel a job.
func (s *Simulator) cancelOnce(
	target *node,
	caller core.Credential,
	id string,
	then func(response core.Response, ok bool),
) {
	sentAt := s.now
	s.sendRequest(target, cancelTimeout, func(requestID uint64) core.Input {
		return core.CancelJob{RequestID: requestID, ID: id, UnixMS: s.nowUnixMS(), Caller: caller}
	}, func(response core.Response, ok bool) {
		s.checkJobResponse(caller, sentAt, "cancel", id, response, ok)
		then(response, ok)
	})
}

// runUser starts a user who submits a job.
func (s *Simulator) runUser(spec wire.JobSpec) { s.runUserThen(spec, func() {}) }

// runUserThen starts a user who submits a job, and calls accepted each time a submission of the job succeeds.
func (s *Simulator) runUserThen(spec wire.JobSpec, accepted func()) {
	if s.Checker.jobs[spec.ID] != nil {
		return
	}
	s.Checker.JobSubmitted(spec)
	user := &jobUser{sim: s, caller: s.randomUser(), spec: spec, accepted: accepted}
	user.submit()
}

// jobUser is a user with one job, who submits it until it is accepted, polls, and may cancel it.
type jobUser struct {
	sim       *Simulator
	caller    core.Credential
	spec      wire.JobSpec
	accepted  func()
	cancelled bool // its cancellation was acknowledged
}

// submit sends the submission until it is accepted.
func (u *jobUser) submit() {
	sim := u.sim
	for range 3 {
		if sim.now < sim.eagerPollsUntil && sim.chance(0.3) { // an impatient user resubmits
			sim.schedule(sim.randomDuration(0, 300*time.Millisecond), func() {
				sim.resubmit(sim.anyNode(), u.caller, u.spec)
			})
		}
	}
	sim.submitOnce(sim.anyNode(), core.SubmitJob{ID: u.spec.ID, Spec: u.spec, Caller: u.caller},
		func(response core.Response, ok bool) {
			if !ok || response.Status != wire.StatusOK && response.Status != wire.StatusCreated {
				sim.schedule(retryInterval, u.submit)
				return
			}
			u.afterAcceptance()
		})
}

// afterAcceptance schedules what the user does with an accepted job.
func (u *jobUser) afterAcceptance() {
	sim := u.sim
	u.accepted()
	sim.schedule(sim.randomDuration(time.Second, 5*time.Second), u.poll)
	if sim.Checker.failingJobs[u.spec.ID] != nil { // the user notices the failures late
		sim.schedule(sim.randomDuration(60*time.Second, 150*time.Second), u.cancel)
	} else if u.spec.Service || sim.chance(0.25) {
		sim.schedule(sim.randomDuration(time.Second, 60*time.Second), u.cancel)
	}
	if sim.chance(0.3) {
		sim.schedule(sim.randomDuration(time.Second, 50*time.Second), u.repeatWithInvalidBody)
	}
}

// repeatWithInvalidBody submits the accepted job again, with a body that can't be decoded.
func (u *jobUser) repeatWithInvalidBody() {
	u.sim.submitOnce(
		u.sim.anyNode(),
		core.SubmitJob{ID: u.spec.ID, DecodeError: "nonsense", Caller: u.caller},
		func(core.Response, bool) {},
	)
}

// poll asks for the job's state until the cancellation is acknowledged, and sometimes afterwards.
func (u *jobUser) poll() {
	sim := u.sim
	sim.pollOnce(sim.anyNode(), u.caller, u.spec.ID, func() {
		if !u.cancelled || sim.chance(0.5) {
			sim.schedule(pollInterval, u.poll)
		}
	})
}

// cancel asks for the cancellation of the job until it is acknowledged.
func (u *jobUser) cancel() {
	sim := u.sim
	sim.Checker.CancelRequested(u.spec.ID)
	sim.cancelOnce(sim.anyNode(), u.caller, u.spec.ID, func(response core.Response, ok bool) {
		if !ok || response.Status != wire.StatusOK {
			sim.schedule(retryInterval, u.cancel)
			return
		}
		u.cancelled = true
	})
}

// randomJob draws a job that nobody has submitted yet.
func (s *Simulator) randomJob() wire.JobSpec {
	spec := wire.JobSpec{
		ID:                 fmt.Sprintf("wk-%06d", s.rng.IntN(1_000_000)),
		Class:              "c",
		Team:               s.teams[s.rng.IntN(2)].Name,
		Service:            s.chance(0.3),
		Priority:           s.rng.IntN(4),
		Tasks:              1 + s.rng.IntN(s.options.MaxTasksPerJob),
		Request:            [3]int64{1000 * int64(1+s.rng.IntN(4)), 0, 2000},
		Image:              fmt.Sprintf("i%d", s.rng.IntN(3)),
		OneZone:            s.chance(0.2),
		Spot:               s.chance(0.5),
		EstimatedRuntimeMS: 10000,
	}
	spec.Spread = !spec.OneZone && s.chance(0.4)
	if s.chance(0.2) {
		spec.Zone = zones[s.rng.IntN(zoneCount)]
		spec.Spread = false
	}
	if s.chance(0.2) {
		spec.MachineTypes = []string{"big"}
	}
	return spec
}
