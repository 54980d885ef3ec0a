package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Users who look closely: right after they were told that a job was accepted, has ended or is
// cancelled, they ask at all controllers within milliseconds, and again, and repeat the submission;
// some cancel at once. And users who send what makes no sense.

const eagerPollRounds = 3 // rounds of questions at all controllers

// userView is what users know of a job.
type userView struct {
	accepted bool
	stage    string
}

func (k *Checker) userViewOf(id string) userView {
	if j := k.jobs[id]; j != nil {
		return userView{j.accepted, j.stage}
	}
	return userView{}
}

func (w *Simulator) pollEagerly(by core.Credential, id string) {
	s := w.Checker.jobs[id].spec
	for round := range eagerPollRounds {
		for _, n := range w.nodes {
			w.schedule(time.Duration(round)*15*time.Millisecond+w.randomDuration(0, 20*time.Millisecond), func() {
				if w.chance(0.5) {
					w.resubmit(n, by, s)
				}
				w.pollOnce(n, by, id, func() {})
			})
		}
	}
	if j := w.Checker.jobs[id]; j.stage == "" && w.chance(0.3) {
		w.schedule(w.randomDuration(0, 30*time.Millisecond), func() { w.cancelUntilAnswered(by, id) })
	}
}

// resubmit submits a job, known or not, at a controller, once.
func (w *Simulator) resubmit(n *node, by core.Credential, s wire.JobSpec) {
	w.submitOnce(n, core.SubmitJob{ID: s.ID, Spec: s, Caller: by}, func(core.Response, bool) {})
}

// cancelUntilAnswered has a user cancel a job until that is answered.
func (w *Simulator) cancelUntilAnswered(by core.Credential, id string) {
	w.Checker.CancelRequested(id)
	var try func()
	try = func() {
		began := w.now
		w.sendRequest(w.nodes[w.rng.IntN(len(w.nodes))], 5*time.Second, func(r uint64) core.Input {
			return core.CancelJob{RequestID: r, ID: id, UnixMS: w.nowUnixMS(), Caller: by}
		},
			func(r core.Response, ok bool) {
				w.checkJobResponse(by, began, "cancel", id, r, ok)
				if !ok || r.Status != wire.StatusOK && r.Status != wire.StatusNotFound {
					w.schedule(time.Second, try)
				}
			})
	}
	try()
}

// acceptedJobsWhere lists jobs that users know to be accepted, in order.
func (w *Simulator) acceptedJobsWhere(is func(j *observedJob) bool) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.Checker.jobs)) {
		if j := w.Checker.jobs[id]; j.accepted && is(j) {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendInvalidRequests has users repeat submissions of unfinished jobs with other bodies, cancel
// what is done, and send jobs that fit no machine or lack a field. Those nobody may accept: the
// checker does not know them, and calls them invented.
func (w *Simulator) sendInvalidRequests() {
	w.Trace("%v odd requests", w.now)
	till := w.now + w.randomDuration(10*time.Second, 40*time.Second)
	var one func()
	one = func() {
		if w.now > till {
			return
		}
		w.schedule(w.randomDuration(50*time.Millisecond, 600*time.Millisecond), one)
		n, by := w.nodes[w.rng.IntN(len(w.nodes))], w.randomUser()
		some := func(ids []string) (string, bool) {
			if len(ids) == 0 {
				return "", false
			}
			return ids[w.rng.IntN(len(ids))], true
		}
		switch w.rng.IntN(4) {
		case 0: // a repeat, as it was or with another body
			if id, ok := some(w.acceptedJobsWhere(func(j *observedJob) bool { return j.stage == "" })); ok {
				s := w.Checker.jobs[id].spec
				if w.chance(0.5) {
					s.Tasks, s.Request = s.Tasks+1, [3]int64{1_000_000, 0, 0}
				}
				w.resubmit(n, by, s)
			}
		case 1:
			if id, ok := some(w.acceptedJobsWhere(func(j *observedJob) bool { return j.stage == wire.StageDone })); ok {
				w.cancelUntilAnswered(by, id)
			}
		case 2:
			s := w.infeasibleJob()
			w.submitOnce(n, core.SubmitJob{ID: s.ID, Spec: s, Caller: by}, func(r core.Response, ok bool) {
				if ok {
					w.Checker.CheckRejected(fmt.Sprintf("%+v", s), r.Status, wire.StatusInvalid)
				}
			})
		case 3:
			id := fmt.Sprintf("wk-y%05d", w.rng.IntN(100000))
			w.submitOnce(
				n,
				core.SubmitJob{ID: id, DecodeError: "pieces is missing", Caller: by},
				func(r core.Response, ok bool) {
					if ok {
						w.Checker.CheckRejected("a job that lacks a field", r.Status, wire.StatusBadRequest)
					}
				},
			)
		}
	}
	one()
}

// CheckRejected checks the answer to a submission that can't run or lacks a field: it is refused for good, or for now.
func (k *Checker) CheckRejected(what string, status, want wire.Status) {
	if status != want && status != wire.StatusUnavailable && status != wire.StatusForbidden {
		k.violated("unfit", "%s got %d", what, status)
	}
}

// infeasibleJob is a job that can never run.
func (w *Simulator) infeasibleJob() wire.JobSpec {
	s := w.randomJob()
	s.ID = fmt.Sprintf("wk-z%05d", w.rng.IntN(100000))
	switch w.rng.IntN(5) {
	case 0:
		s.Request[0] = 17_000 // more than any machine has
	case 1:
		s.Team = "nobody"
	case 2:
		s.MachineTypes = []string{"huge"}
	case 3:
		s.Zone = "z"
	case 4:
		s.Team, s.Service, s.Tasks, s.Request = "t1", true, 100, [3]int64{1000, 0, 0} // more than its team's limit
	}
	return s
}

// maxStarvation is how long after the troubles a job may be left waiting while a machine that fits
// has room and its team is under its limit.
const maxStarvation = 90 * time.Second

// checkStarvation looks, second by second, for jobs that are left waiting: by what machines there
// are and what is on them, not by what a controller believes.
func (w *Simulator) checkStarvation() {
	w.schedule(time.Second, w.checkStarvation)
	k := w.Checker
	var free []*fakeWorker
	var rooms []int64
	for _, m := range w.cloud.machines {
		if m.up && !m.gone && w.now >= m.hungUntil && w.now >= w.inboundBlockedUntil[m.machine.Name] &&
			w.now >= w.outboundBlockedUntil[m.machine.Name] &&
			m.interruptionAt == 0 &&
			m.fencingToken > 0 {
			free, rooms = append(free, m), append(rooms, m.freeCPU())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		if !j.accepted || j.cancelRequested || j.dependencyCancelled || j.stage != "" || k.failingJobs[id] != nil ||
			k.dependencyMayBeCancelled(j) ||
			j.readyAt == notReady ||
			len(j.completedTasks)+j.runningTasks >= j.spec.Tasks ||
			k.isAtQuota(&j.spec) {
			j.starvingSince = 0
			continue
		}
		fits := false
		for i, m := range free {
			fits = fits || rooms[i] >= j.spec.Request[0] && k.isFeasible(j, m.machine)
		}
		switch {
		case !fits:
			j.starvingSince = 0
		case j.starvingSince == 0:
			j.starvingSince = w.now
		case w.now-j.starvingSince >= maxStarvation:
			k.violated(
				"left_waiting",
				"%s has waited for %v: %d of %d tasks are done, %d on machines",
				id,
				w.now-j.starvingSince,
				len(j.completedTasks),
				j.spec.Tasks,
				j.runningTasks,
			)
		}
	}
}

func (k *Checker) isAtQuota(s *wire.JobSpec) bool {
	lim, use := k.quotas[s.Team], k.allocated[s.Team]
	for i := range use {
		if lim[i] > 0 && use[i]+s.Request[i] > lim[i] {
			return true
		}
	}
	return false
}

// isFeasible reports whether a job's next task may go to a machine, room aside.
func (k *Checker) isFeasible(j *observedJob, m wire.Machine) bool {
	s := &j.spec
	if s.MachineTypes != nil && !slices.Contains(s.MachineTypes, m.Type) || s.Zone != "" && s.Zone != m.Zone ||
		m.Spot && !s.Spot {
		return false
	}
	if s.OneZone && len(j.tasksByZone) > 0 && j.tasksByZone[m.Zone] == 0 {
		return false
	}
	return !s.Spread || j.tasksByZone[m.Zone] < (s.Tasks+1)/2
}
