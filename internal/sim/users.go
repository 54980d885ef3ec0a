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
func (w *Simulator) scheduleUsers() {
	for range w.options.Jobs {
		spec := w.randomJob()
		if w.options.ZonePinnedJobs {
			spec.Zone, spec.Spread, spec.OneZone = zones[w.rng.IntN(zoneCount)], false, w.chance(0.5)
		}
		if w.options.PriorityClasses {
			spec = w.uniformJob()
		}
		at := w.randomDuration(0, w.options.Duration*2/3)
		w.schedule(at, func() { w.runUser(spec) })
	}
	for range w.options.FailingJobs {
		spec := w.randomJob()
		spec.Dependencies, spec.Service = nil, w.chance(0.2)
		w.Checker.failingJobs[spec.ID] = &failingJob{}
		w.schedule(w.randomDuration(0, w.options.Duration/3), func() { w.runUser(spec) })
	}
	for range w.options.Pipelines {
		w.schedule(w.randomDuration(w.pipelinesStartAt(), w.options.Duration*2/3), w.submitPipeline)
	}
	for i := range w.options.SingleTaskJobs {
		spec := w.randomJob()
		spec.Service, spec.Tasks, spec.OneZone, spec.Spread = false, 1, false, false
		w.schedule(10*time.Second+time.Duration(i)*250*time.Millisecond, func() { w.runUser(spec) })
	}
	w.schedule(time.Second, w.pollUnknownJob)
}

// pollUnknownJob polls a job that nobody submitted, again and again.
func (w *Simulator) pollUnknownJob() {
	id := fmt.Sprintf("wk-x%05d", w.rng.IntN(100000))
	w.pollOnce(w.anyNode(), credentialOf(rootUser), id, func() {})
	w.schedule(pollInterval, w.pollUnknownJob)
}

// anyNode draws a controller; it may be down.
func (w *Simulator) anyNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

// checkJobResponse hands a response about a job to the checker. Without a response, or if the caller may not have
// been permitted to see the job, nothing is concluded.
func (w *Simulator) checkJobResponse(
	caller core.Credential,
	sentAt time.Duration,
	verb, id string,
	response core.Response,
	ok bool,
) {
	if !ok {
		w.Checker.CheckResponsive(sentAt, w.now, id, wire.StatusNoAnswer)
	}
	if !ok || !w.checkPermission(caller, sentAt, verb, id, response.Status) {
		return
	}
	state, _ := response.Body.(wire.JobState)
	w.Checker.CheckResponsive(sentAt, w.now, id, response.Status)
	before := w.Checker.userViewOf(id)
	w.Checker.CheckResponse(sentAt, w.now, verb, id, response.Status, state.Stage)
	if w.now < w.eagerPollsUntil && w.Checker.userViewOf(id) != before {
		w.pollEagerly(caller, id)
	}
}

// submitOnce sends a submission to a controller.
func (w *Simulator) submitOnce(target *node, submission core.SubmitJob, then func(response core.Response, ok bool)) {
	sentAt := w.now
	w.sendRequest(target, submitTimeout, func(requestID uint64) core.Input {
		submission.RequestID, submission.UnixMS = requestID, w.nowUnixMS()
		return submission
	}, func(response core.Response, ok bool) {
		w.checkJobResponse(submission.Caller, sentAt, "submit", submission.ID, response, ok)
		then(response, ok)
	})
}

// pollOnce asks a controller for the state of a job.
func (w *Simulator) pollOnce(target *node, caller core.Credential, id string, then func()) {
	sentAt := w.now
	w.sendRequest(target, pollTimeout, func(requestID uint64) core.Input {
		return core.GetJob{RequestID: requestID, ID: id, Caller: caller}
	}, func(response core.Response, ok bool) {
		w.checkJobResponse(caller, sentAt, "poll", id, response, ok)
		then()
	})
}

// cancelOnce asks a controller to cancel a job.
func (w *Simulator) cancelOnce(
	target *node,
	caller core.Credential,
	id string,
	then func(response core.Response, ok bool),
) {
	sentAt := w.now
	w.sendRequest(target, cancelTimeout, func(requestID uint64) core.Input {
		return core.CancelJob{RequestID: requestID, ID: id, UnixMS: w.nowUnixMS(), Caller: caller}
	}, func(response core.Response, ok bool) {
		w.checkJobResponse(caller, sentAt, "cancel", id, response, ok)
		then(response, ok)
	})
}

// runUser starts a user who submits a job.
func (w *Simulator) runUser(spec wire.JobSpec) { w.runUserThen(spec, func() {}) }

// runUserThen starts a user who submits a job, and calls accepted each time a submission of the job succeeds.
func (w *Simulator) runUserThen(spec wire.JobSpec, accepted func()) {
	if w.Checker.jobs[spec.ID] != nil {
		return
	}
	w.Checker.JobSubmitted(spec)
	user := &jobUser{sim: w, caller: w.randomUser(), spec: spec, accepted: accepted}
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
	w := u.sim
	for range 3 {
		if w.now < w.eagerPollsUntil && w.chance(0.3) { // an impatient user resubmits
			w.schedule(w.randomDuration(0, 300*time.Millisecond), func() { w.resubmit(w.anyNode(), u.caller, u.spec) })
		}
	}
	w.submitOnce(w.anyNode(), core.SubmitJob{ID: u.spec.ID, Spec: u.spec, Caller: u.caller},
		func(response core.Response, ok bool) {
			if !ok || response.Status != wire.StatusOK && response.Status != wire.StatusCreated {
				w.schedule(retryInterval, u.submit)
				return
			}
			u.afterAcceptance()
		})
}

// afterAcceptance schedules what the user does with an accepted job.
func (u *jobUser) afterAcceptance() {
	w := u.sim
	u.accepted()
	w.schedule(w.randomDuration(time.Second, 5*time.Second), u.poll)
	if w.Checker.failingJobs[u.spec.ID] != nil { // the user notices the failures late
		w.schedule(w.randomDuration(60*time.Second, 150*time.Second), u.cancel)
	} else if u.spec.Service || w.chance(0.25) {
		w.schedule(w.randomDuration(time.Second, 60*time.Second), u.cancel)
	}
	if w.chance(0.3) {
		w.schedule(w.randomDuration(time.Second, 50*time.Second), u.repeatWithInvalidBody)
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
	w := u.sim
	w.pollOnce(w.anyNode(), u.caller, u.spec.ID, func() {
		if !u.cancelled || w.chance(0.5) {
			w.schedule(pollInterval, u.poll)
		}
	})
}

// cancel asks for the cancellation of the job until it is acknowledged.
func (u *jobUser) cancel() {
	w := u.sim
	w.Checker.CancelRequested(u.spec.ID)
	w.cancelOnce(w.anyNode(), u.caller, u.spec.ID, func(response core.Response, ok bool) {
		if !ok || response.Status != wire.StatusOK {
			w.schedule(retryInterval, u.cancel)
			return
		}
		u.cancelled = true
	})
}

// randomJob draws a job that nobody has submitted yet.
func (w *Simulator) randomJob() wire.JobSpec {
	spec := wire.JobSpec{
		ID:                 fmt.Sprintf("wk-%06d", w.rng.IntN(1_000_000)),
		Class:              "c",
		Team:               w.teams[w.rng.IntN(2)].Name,
		Service:            w.chance(0.3),
		Priority:           w.rng.IntN(4),
		Tasks:              1 + w.rng.IntN(w.options.MaxTasksPerJob),
		Request:            [3]int64{1000 * int64(1+w.rng.IntN(4)), 0, 2000},
		Image:              fmt.Sprintf("i%d", w.rng.IntN(3)),
		OneZone:            w.chance(0.2),
		Spot:               w.chance(0.5),
		EstimatedRuntimeMS: 10000,
	}
	spec.Spread = !spec.OneZone && w.chance(0.4)
	if w.chance(0.2) {
		spec.Zone = zones[w.rng.IntN(zoneCount)]
		spec.Spread = false
	}
	if w.chance(0.2) {
		spec.MachineTypes = []string{"big"}
	}
	return spec
}
