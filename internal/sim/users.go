package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"time"
)

// scheduleUsers submit, poll and cancel.
func (w *Simulator) scheduleUsers() {
	for i := 0; i < w.options.Jobs; i++ {
		s := w.randomJob()
		if w.options.ZonePinnedJobs {
			s.Zone, s.Spread, s.OneZone = zones[w.rng.IntN(3)], false, w.chance(0.5)
		}
		if w.options.PriorityClasses {
			s = w.uniformJob()
		}
		at := w.randomDuration(0, w.options.Duration*2/3)
		w.schedule(at, func() { w.runUser(s) })
	}
	for range w.options.FailingJobs {
		s := w.randomJob()
		s.Dependencies, s.Service = nil, w.chance(0.2)
		w.Checker.failingJobs[s.ID] = &failingJob{}
		w.schedule(w.randomDuration(0, w.options.Duration/3), func() { w.runUser(s) })
	}
	for range w.options.Pipelines {
		w.schedule(w.randomDuration(w.pipelinesStartAt(), w.options.Duration*2/3), w.submitPipeline)
	}
	for i := range w.options.SingleTaskJobs {
		s := w.randomJob()
		s.Service, s.Tasks, s.OneZone, s.Spread = false, 1, false, false
		w.schedule(10*time.Second+time.Duration(i)*250*time.Millisecond, func() { w.runUser(s) })
	}
	var stranger func()
	stranger = func() { // asks about jobs that nobody submitted
		id := fmt.Sprintf("wk-x%05d", w.rng.IntN(100000))
		w.pollOnce(w.nodes[w.rng.IntN(len(w.nodes))], credentialOf(rootUser), id, func() {})
		w.schedule(5*time.Second, stranger)
	}
	w.schedule(time.Second, stranger)
}

func (w *Simulator) checkJobResponse(
	by core.Credential,
	began time.Duration,
	verb, id string,
	r core.Response,
	ok bool,
) string {
	if !ok {
		w.Checker.CheckResponsive(began, w.now, id, wire.StatusNoAnswer)
	}
	if !ok || !w.checkPermission(by, began, verb, id, r.Status) {
		return ""
	}
	st, _ := r.Body.(wire.JobState)
	w.Checker.CheckResponsive(began, w.now, id, r.Status)
	before := w.Checker.userViewOf(id)
	w.Checker.CheckResponse(began, w.now, verb, id, r.Status, st.Stage)
	if w.now < w.eagerPollsUntil && w.Checker.userViewOf(id) != before {
		w.pollEagerly(by, id)
	}
	return st.Stage
}

// submitOnce sends a submission to a controller.
func (w *Simulator) submitOnce(n *node, in core.SubmitJob, then func(r core.Response, ok bool)) {
	began := w.now
	w.sendRequest(n, 5*time.Second, func(r uint64) core.Input {
		in.RequestID, in.UnixMS = r, w.nowUnixMS()
		return in
	}, func(r core.Response, ok bool) {
		w.checkJobResponse(in.Caller, began, "submit", in.ID, r, ok)
		then(r, ok)
	})
}

// pollOnce asks a controller about a job.
func (w *Simulator) pollOnce(n *node, by core.Credential, id string, then func()) {
	began := w.now
	w.sendRequest(
		n,
		2*time.Second,
		func(r uint64) core.Input { return core.GetJob{RequestID: r, ID: id, Caller: by} },
		func(r core.Response, ok bool) {
			w.checkJobResponse(by, began, "poll", id, r, ok)
			then()
		},
	)
}

func (w *Simulator) runUser(s wire.JobSpec) { w.runUserThen(s, func() {}) }

// runUserThen is a user who submits a job and goes on with something else once it is accepted.
func (w *Simulator) runUserThen(s wire.JobSpec, accepted func()) {
	if w.Checker.jobs[s.ID] != nil {
		return
	}
	w.Checker.JobSubmitted(s)
	by := w.randomUser()
	pick := func() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }
	over := false
	var submit, poll, cancel func()
	submit = func() {
		for range 3 {
			if w.now < w.eagerPollsUntil && w.chance(0.3) { // an impatient user
				w.schedule(w.randomDuration(0, 300*time.Millisecond), func() { w.resubmit(pick(), by, s) })
			}
		}
		w.submitOnce(pick(), core.SubmitJob{ID: s.ID, Spec: s, Caller: by},
			func(r core.Response, ok bool) {
				if !ok || r.Status != wire.StatusOK && r.Status != wire.StatusCreated {
					w.schedule(time.Second, submit)
					return
				}
				accepted()
				w.schedule(w.randomDuration(time.Second, 5*time.Second), poll)
				if w.Checker.failingJobs[s.ID] != nil { // it is long until somebody looks
					w.schedule(w.randomDuration(60*time.Second, 150*time.Second), cancel)
				} else if s.Service || w.chance(0.25) {
					w.schedule(w.randomDuration(time.Second, 60*time.Second), cancel)
				}
				if w.chance(0.3) { // a late repeat, with another body
					w.schedule(w.randomDuration(time.Second, 50*time.Second), func() {
						w.submitOnce(
							pick(),
							core.SubmitJob{ID: s.ID, DecodeError: "nonsense", Caller: by},
							func(core.Response, bool) {},
						)
					})
				}
			})
	}
	poll = func() {
		w.pollOnce(pick(), by, s.ID, func() {
			if !over || w.chance(0.5) {
				w.schedule(5*time.Second, poll)
			}
		})
	}
	cancel = func() {
		w.Checker.CancelRequested(s.ID)
		began := w.now
		w.sendRequest(pick(), 5*time.Second, func(r uint64) core.Input {
			return core.CancelJob{RequestID: r, ID: s.ID, UnixMS: w.nowUnixMS(), Caller: by}
		},
			func(r core.Response, ok bool) {
				w.checkJobResponse(by, began, "cancel", s.ID, r, ok)
				if !ok || r.Status != wire.StatusOK {
					w.schedule(time.Second, cancel)
					return
				}
				over = true
			})
	}
	submit()
}

// randomJob is a job of some kind that nobody has submitted.
func (w *Simulator) randomJob() wire.JobSpec {
	s := wire.JobSpec{
		ID:    fmt.Sprintf("wk-%06d", w.rng.IntN(1_000_000)),
		Class: "c",
		Team:  w.teams[w.rng.IntN(2)].Name,
		Service: w.chance(
			0.3,
		),
		Priority: w.rng.IntN(4),
		Tasks:    1 + w.rng.IntN(w.options.MaxTasksPerJob),
		Request:  [3]int64{1000 * int64(1+w.rng.IntN(4)), 0, 2000},
		Image: fmt.Sprintf(
			"i%d",
			w.rng.IntN(3),
		),
		OneZone:            w.chance(0.2),
		Spot:               w.chance(0.5),
		EstimatedRuntimeMS: 10000,
	}
	s.Spread = !s.OneZone && w.chance(0.4)
	if w.chance(0.2) {
		s.Zone = zones[w.rng.IntN(3)]
		s.Spread = false
	}
	if w.chance(0.2) {
		s.MachineTypes = []string{"big"}
	}
	return s
}
