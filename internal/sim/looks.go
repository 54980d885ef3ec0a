package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// Users who look closely: right after they were told that a job was accepted, has ended or is cancelled, they ask at all controllers within
// milliseconds, and again, and repeat the submission; some cancel at once. And users who send what makes no sense.

const looksAtOnce = 3 // rounds of questions at all controllers

// known is what users know of a job.
type known struct {
	accepted bool
	stage    string
}

func (k *Checker) toldOf(id string) known {
	if j := k.jobs[id]; j != nil {
		return known{j.accepted, j.stage}
	}
	return known{}
}

func (w *World) lookClosely(by core.Cred, id string) {
	s := w.Check.jobs[id].spec
	for round := range looksAtOnce {
		for _, n := range w.nodes {
			w.after(time.Duration(round)*15*time.Millisecond+w.between(0, 20*time.Millisecond), func() {
				if w.chance(0.5) {
					w.repeatAt(n, by, s)
				}
				w.pollOnce(n, by, id, func() {})
			})
		}
	}
	if j := w.Check.jobs[id]; j.stage == "" && w.chance(0.3) {
		w.after(w.between(0, 30*time.Millisecond), func() { w.callOff(by, id) })
	}
}

// repeatAt submits a job, known or not, at a controller, once.
func (w *World) repeatAt(n *node, by core.Cred, s wire.JobSpec) {
	w.submitOnce(n, core.Submit{ID: s.ID, Spec: s, By: by}, func(core.Reply, bool) {})
}

// callOff has a user cancel a job until that is answered.
func (w *World) callOff(by core.Cred, id string) {
	w.Check.Asked(id)
	var try func()
	try = func() {
		began := w.now
		w.ask(w.nodes[w.rng.IntN(len(w.nodes))], 5*time.Second, func(r uint64) core.Input { return core.Cancel{Req: r, ID: id, UnixMS: w.unixNow(), By: by} },
			func(r core.Reply, ok bool) {
				w.answered(by, began, "cancel", id, r, ok)
				if !ok || r.Status != 200 && r.Status != 404 {
					w.after(time.Second, try)
				}
			})
	}
	try()
}

// jobsThat lists jobs that users know to be accepted, in order.
func (w *World) jobsThat(is func(j *truth) bool) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.Check.jobs)) {
		if j := w.Check.jobs[id]; j.accepted && is(j) {
			ids = append(ids, id)
		}
	}
	return ids
}

// oddRequests has users repeat submissions of unfinished jobs with other bodies, cancel what is done, and send jobs that fit no machine or lack
// a field. Those nobody may accept: the checker does not know them, and calls them invented.
func (w *World) oddRequests() {
	w.Trace("%v odd requests", w.now)
	till := w.now + w.between(10*time.Second, 40*time.Second)
	var one func()
	one = func() {
		if w.now > till {
			return
		}
		w.after(w.between(50*time.Millisecond, 600*time.Millisecond), one)
		n, by := w.nodes[w.rng.IntN(len(w.nodes))], w.someone()
		some := func(ids []string) (string, bool) {
			if len(ids) == 0 {
				return "", false
			}
			return ids[w.rng.IntN(len(ids))], true
		}
		switch w.rng.IntN(4) {
		case 0: // a repeat, as it was or with another body
			if id, ok := some(w.jobsThat(func(j *truth) bool { return j.stage == "" })); ok {
				s := w.Check.jobs[id].spec
				if w.chance(0.5) {
					s.Tasks, s.Request = s.Tasks+1, [3]int64{1_000_000, 0, 0}
				}
				w.repeatAt(n, by, s)
			}
		case 1:
			if id, ok := some(w.jobsThat(func(j *truth) bool { return j.stage == wire.StageDone })); ok {
				w.callOff(by, id)
			}
		case 2:
			s := w.unfitJob()
			w.submitOnce(n, core.Submit{ID: s.ID, Spec: s, By: by}, func(r core.Reply, ok bool) {
				if ok {
					w.Check.Odd(fmt.Sprintf("%+v", s), r.Status, 422)
				}
			})
		case 3:
			id := fmt.Sprintf("wk-y%05d", w.rng.IntN(100000))
			w.submitOnce(n, core.Submit{ID: id, Bad: "pieces is missing", By: by}, func(r core.Reply, ok bool) {
				if ok {
					w.Check.Odd("a job that lacks a field", r.Status, 400)
				}
			})
		}
	}
	one()
}

// Odd checks the answer to a submission that can't run or lacks a field: it is refused for good, or for now.
func (k *Checker) Odd(what string, status, want int) {
	if status != want && status != 503 && status != 403 {
		k.broken("unfit", "%s got %d", what, status)
	}
}

// unfitJob is a job that can never run.
func (w *World) unfitJob() wire.JobSpec {
	s := w.someJob()
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

// leftAfter is how long after the troubles a job may be left waiting while a machine that fits has room and its team is under its limit.
const leftAfter = 90 * time.Second

// lookForLeft looks, second by second, for jobs that are left waiting: by what machines there are and what is on them, not by what a controller
// believes.
func (w *World) lookForLeft() {
	w.after(time.Second, w.lookForLeft)
	k := w.Check
	var free []*workerStandIn
	var rooms []int64
	for _, m := range w.cloud.machines {
		if m.up && !m.gone && w.now >= m.frozen && w.now >= w.deaf[m.m.Name] && w.now >= w.muted[m.m.Name] && m.notice == 0 && m.token > 0 {
			free, rooms = append(free, m), append(rooms, m.room())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		if !j.accepted || j.asked || j.doomed || j.stage != "" || k.mistaken[id] != nil || k.causes(j) || j.ready == waits || len(j.done)+j.on >= j.spec.Tasks || k.atLimit(&j.spec) {
			j.leftSince = 0
			continue
		}
		fits := false
		for i, m := range free {
			fits = fits || rooms[i] >= j.spec.Request[0] && k.mayGo(j, m.m)
		}
		switch {
		case !fits:
			j.leftSince = 0
		case j.leftSince == 0:
			j.leftSince = w.now
		case w.now-j.leftSince >= leftAfter:
			k.broken("left_waiting", "%s has waited for %v: %d of %d tasks are done, %d on machines", id, w.now-j.leftSince, len(j.done), j.spec.Tasks, j.on)
		}
	}
}

// room is what is free of a machine's cores, in thousandths.
func (m *workerStandIn) room() int64 {
	room := coresOf(m.m.Type)
	for _, t := range m.tasks {
		if t.stage != wire.TaskExited {
			room -= m.w.Check.jobs[t.job].spec.Request[0]
		}
	}
	return room
}

func coresOf(typ string) int64 {
	for _, t := range catalog.Types {
		if t.Name == typ {
			return int64(t.CPUs * 1000)
		}
	}
	return 0
}

func (k *Checker) atLimit(s *wire.JobSpec) bool {
	lim, use := k.limit[s.Team], k.use[s.Team]
	for i := range use {
		if lim[i] > 0 && use[i]+s.Request[i] > lim[i] {
			return true
		}
	}
	return false
}

// mayGo reports whether a job's next task may go to a machine, room aside.
func (k *Checker) mayGo(j *truth, m wire.Machine) bool {
	s := &j.spec
	if s.MachineTypes != nil && !slices.Contains(s.MachineTypes, m.Type) || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.Spot {
		return false
	}
	if s.OneZone && len(j.zones) > 0 && j.zones[m.Zone] == 0 {
		return false
	}
	return !s.Spread || j.zones[m.Zone] < (s.Tasks+1)/2
}
