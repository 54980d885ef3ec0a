// Package sim is a seeded world for tests: stand-ins of our own for the state service, the
// cloud, workers, users and the network, around several cores, with a checker for every rule.
package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dewlift/wire"
)

// Checker watches what happens in the world and notes every broken rule.
type Checker struct {
	Broken   []string
	cancelIn time.Duration
	limit    map[string][2]int64
	jobs     map[string]*truth
	on       map[string]map[string]bool // task -> machines it is on
	machines map[string]wire.Machine
	use      map[string][2]int64 // room that a team's tasks take
	ending   []*truth            // cancelled jobs that may have tasks left
	next     map[string][]*truth // jobs that await a job
	rights   map[string]right
	Starts   int
	AfterEnd int // starts after a confirmed cancellation: within the time of a cancellation these are counted, not a broken rule
	mistaken map[string]*mistake
	calmFrom time.Duration // all troubles are over since; 0: they never are
	meets    bool          // until then troubles follow each other so closely that no job may have a chance to begin
	at       time.Duration // of the last event
}

// truth is what the users know of a job.
type truth struct {
	spec       wire.JobSpec
	submitted  bool
	accepted   bool
	acceptedAt time.Duration
	stage      string         // "done" or "cancelled" once told
	asked      bool           // its user asked to cancel
	final      time.Duration  // when its end was told first
	told       time.Duration  // when the cancellation was told
	done       map[int]bool   // tasks completed on a worker
	zones      map[string]int // tasks on machines by zone
	on         int            // tasks on machines
	began      time.Duration  // when a task of it started first
	ready      time.Duration  // when all that it awaits was done
	vain       time.Duration  // the first question about it that was not answered, since the last that was and all troubles are over
	leftSince  time.Duration  // since when it waits while it could run and nothing of it starts, after all troubles; 0: it does not
	doomed     bool           // a job that it needs was called cancelled
	doomedAt   time.Duration  // when its user was told so
}

// NewChecker returns a checker.
func NewChecker(cancelIn time.Duration, limit map[string][2]int64) *Checker {
	return &Checker{cancelIn: cancelIn, limit: limit, jobs: map[string]*truth{}, on: map[string]map[string]bool{},
		next: map[string][]*truth{}, mistaken: map[string]*mistake{}, rights: map[string]right{}, machines: map[string]wire.Machine{}, use: map[string][2]int64{}}
}

func (k *Checker) broken(rule, format string, args ...any) {
	k.Broken = append(k.Broken, rule+": "+fmt.Sprintf(format, args...))
}

// Submitted notes a job that a user submits.
func (k *Checker) Submitted(s wire.JobSpec) {
	if k.jobs[s.ID] != nil {
		return
	}
	j := &truth{spec: s, submitted: true, done: map[int]bool{}, zones: map[string]int{}}
	k.jobs[s.ID] = j
	for _, id := range s.Dependencies {
		k.next[id] = append(k.next[id], j)
		if o := k.jobs[id]; o == nil || len(o.done) < o.spec.Tasks {
			j.ready = waits
		}
	}
}

// doom notes that the jobs that need a cancelled one are cancelled with it: within the time of a
// cancellation after its user was told, or after their own acceptance, if that is later.
func (k *Checker) doom(j *truth, at time.Duration) {
	for list := k.next[j.spec.ID]; len(list) > 0; {
		n := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1] // the index keeps its own
		if !n.doomed {
			n.doomed, n.doomedAt = true, at
			list = append(list, k.next[n.spec.ID]...)
		}
	}
}

// causes reports whether a job that a job needs was called cancelled or may soon be: its user has
// asked for it.
func (k *Checker) causes(j *truth) bool {
	seen := map[string]bool{}
	for list := j.spec.Dependencies; len(list) > 0; {
		id := list[len(list)-1]
		list = list[: len(list)-1 : len(list)-1]
		if o := k.jobs[id]; o != nil && !seen[id] {
			seen[id] = true
			if o.asked && o.stage != wire.StageDone {
				return true
			}
			list = append(list, o.spec.Dependencies...)
		}
	}
	return false
}

// Asked notes that a user asks to cancel a job.
func (k *Checker) Asked(id string) { k.jobs[id].asked = true }

// Answered checks an answer to a submission, a poll or a cancellation that was asked at began.
func (k *Checker) Answered(began, now time.Duration, verb, id string, status int, stage string) {
	j := k.jobs[id]
	if status == 200 || status == 201 {
		if j == nil {
			k.broken("invented", "%s of %s got %d", verb, id, status)
			return
		}
		if !j.accepted {
			j.accepted, j.acceptedAt = true, now
			for _, id := range j.spec.Dependencies { // one that names a cancelled job is cancelled too
				if o := k.jobs[id]; o != nil && (o.doomed || o.stage == wire.StageCancelled) && !j.doomed {
					j.doomed, j.doomedAt = true, now
				}
			}
		}
		if j.stage != "" && stage != j.stage {
			if began < j.final && stage != wire.StageDone && stage != wire.StageCancelled {
				return // it was on its way when the other answer was given
			}
			k.broken("went_back", "%s was called %s and is called %s", id, j.stage, stage)
		}
		switch stage {
		case wire.StageDone:
			if len(j.done) < j.spec.Tasks {
				k.broken("not_done", "%s is called done with %d of %d tasks", id, len(j.done), j.spec.Tasks)
			}
			if j.stage == "" {
				j.final = now
			}
			j.stage = stage
		case wire.StageCancelled:
			if !j.asked && !k.causes(j) {
				k.broken("went_back", "%s is called cancelled, its user did not ask", id)
			}
			if j.stage == "" {
				j.told, j.final = now, now
				k.ending = append(k.ending, j)
				k.doom(j, now)
			}
			j.stage = stage
		default:
			if j.doomed && began-j.doomedAt > k.cancelIn && began > j.acceptedAt+k.cancelIn {
				k.broken("orphaned", "%s is called %s %v after a job that it needs was cancelled", id, stage, began-j.doomedAt)
			}
		}
		return
	}
	if j == nil || !j.accepted {
		return
	}
	if status == 404 || verb == "submit" && (status == 400 || status == 422) {
		k.broken("forgotten", "%s of %s got %d", verb, id, status)
	}
}

// On notes that a task is on a machine from now: it has its image and runs.
func (k *Checker) On(now time.Duration, id string, task int, m wire.Machine) {
	k.Starts++
	if x := k.mistaken[id]; x != nil {
		x.start(k, now, id)
	}
	name := wire.TaskName(id, task)
	j := k.jobs[id]
	if j == nil {
		k.broken("invented", "%s runs, nobody submitted it", name)
		return
	}
	for other := range k.on[name] {
		if other != m.Name {
			k.broken("ran_twice", "%s starts on %s while it is on %s", name, m.Name, other)
		}
	}
	if k.on[name] == nil {
		k.on[name] = map[string]bool{}
	}
	if j.began == 0 {
		j.began = max(1, now)
	}
	j.leftSince = 0
	if j.stage == wire.StageCancelled {
		k.AfterEnd++
	}
	s := &j.spec
	for _, id := range s.Dependencies {
		if o := k.jobs[id]; o == nil || len(o.done) < o.spec.Tasks {
			k.broken("too_early", "%s starts before %s is done", name, id)
		}
	}
	k.machines[m.Name] = m
	if !k.on[name][m.Name] {
		k.on[name][m.Name] = true
		k.count(j, m.Zone, 1)
	}
	ok := s.MachineTypes == nil
	for _, t := range s.MachineTypes {
		ok = ok || t == m.Type
	}
	if !ok || s.Zone != "" && s.Zone != m.Zone || m.Spot && !s.Spot {
		k.broken("wrong_place", "%s on %s (%s, %s, spot %v)", name, m.Name, m.Type, m.Zone, m.Spot)
	}
	if s.OneZone && len(j.zones) > 1 {
		k.broken("wrong_place", "%s on %s: its job is in zones %v: %v", name, m.Name, j.zones, k.on)
	}
	if s.Spread && j.zones[m.Zone] > (s.Tasks+1)/2 {
		k.broken("wrong_place", "%s: %d of %d tasks in zone %s", name, j.zones[m.Zone], s.Tasks, m.Zone)
	}
	lim, use := k.limit[s.Team], k.use[s.Team]
	for i := range use {
		if lim[i] > 0 && use[i] > lim[i] {
			k.broken("quota", "team %s uses %d of %d", s.Team, use[i], lim[i])
		}
	}
	k.Tick(now)
}

// count adds a task on a machine, or takes one away.
func (k *Checker) count(j *truth, zone string, n int) {
	if j.zones[zone] += n; j.zones[zone] == 0 {
		delete(j.zones, zone)
	}
	j.on += n
	u := k.use[j.spec.Team]
	for i := range u {
		u[i] += int64(n) * j.spec.Request[i]
	}
	k.use[j.spec.Team] = u
}

// Off notes that a task left a machine.
func (k *Checker) Off(id string, task int, machine string) {
	n := wire.TaskName(id, task)
	if !k.on[n][machine] {
		return
	}
	k.count(k.jobs[id], k.machines[machine].Zone, -1)
	delete(k.on[n], machine)
	if len(k.on[n]) == 0 {
		delete(k.on, n)
	}
}

// Heard notes whether a question about a job was answered: with its state, or that there is none.
func (k *Checker) Heard(began, now time.Duration, id string, status int) {
	j := k.jobs[id]
	if j == nil || !j.accepted || k.calmFrom == 0 || began < k.calmFrom {
		return
	}
	switch {
	case status == 200 || status == 201 || status == 404:
		j.vain = 0
	case j.vain == 0:
		j.vain = began
	case now-j.vain >= forgottenAfter:
		k.broken("forgotten", "%s: no question about it was answered for %v", id, now-j.vain)
	}
}

// By which the operators judge: in their words in the issue and in LATER.md.
const (
	forgottenAfter = 75 * time.Second
	beginWithin    = 4 * time.Minute

	waits time.Duration = -1 // of a job that awaits another which is not done
)

// served checks that of each class and team, and of the largest jobs of each class, at least half began, and that the largest began in time.
func (k *Checker) served(now time.Duration) {
	type count struct{ jobs, began int }
	groups := map[string]*count{}
	largest := map[string]int{}
	for _, j := range k.jobs {
		largest[j.spec.Class] = max(largest[j.spec.Class], j.spec.Tasks)
	}
	for _, id := range slices.Sorted(maps.Keys(k.jobs)) {
		j := k.jobs[id]
		if !j.accepted || j.asked || j.doomed || k.causes(j) || j.acceptedAt > k.calmFrom {
			continue
		}
		names := []string{"class " + j.spec.Class, "team " + j.spec.Team}
		if j.spec.Tasks == largest[j.spec.Class] {
			names = append(names, "the largest of class "+j.spec.Class)
			// What awaits others can't begin before they are done.
			could := max(j.acceptedAt, j.ready)
			if k.meets {
				could = max(could, k.calmFrom)
			}
			if began := j.began; began-could > beginWithin || began == 0 && j.ready != waits && now-could > beginWithin {
				k.broken("late_largest", "%s of %d tasks was accepted at %v, could begin at %v and began at %v", id, j.spec.Tasks, j.acceptedAt, could, began)
			}
		}
		for _, name := range names {
			g := groups[name]
			if g == nil {
				g = &count{}
				groups[name] = g
			}
			g.jobs++
			if j.began != 0 {
				g.began++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if g := groups[name]; 2*g.began < g.jobs {
			k.broken("unserved", "%s: %d of %d jobs began", name, g.began, g.jobs)
		}
	}
}

// mistake is what became of a job whose tasks fail on every machine.
type mistake struct{ starts []time.Duration }

// What a job with a mistake may cost: its tasks once, and then so many starts a minute, with owners that end and forget how often they have tried.
const mistakenStarts = 20

func (x *mistake) start(k *Checker, now time.Duration, id string) {
	x.starts = append(x.starts, now)
	n := 0
	for _, at := range x.starts {
		if now-at < time.Minute {
			n++
		}
	}
	if most := k.jobs[id].spec.Tasks + mistakenStarts; n > most {
		k.broken("mistaken", "%s was started %d times within a minute", id, n)
	}
}

// Completed notes that a task completed on a worker.
func (k *Checker) Completed(id string, task int) {
	j := k.jobs[id]
	if j == nil {
		return
	}
	j.done[task] = true
	for _, n := range k.next[id] {
		n.ready = k.at
		for _, o := range n.spec.Dependencies {
			if x := k.jobs[o]; x == nil || len(x.done) < x.spec.Tasks {
				n.ready = waits
			}
		}
	}
}

// Tick checks what must be over by now.
func (k *Checker) Tick(now time.Duration) {
	k.at = now
	for _, j := range k.ending {
		if now-j.told > k.cancelIn && j.on > 0 {
			k.broken("ran_cancelled", "tasks of %s are on machines %v after its cancellation", j.spec.ID, now-j.told)
			j.told = now // once is enough
		}
	}
}

// Finish checks what must have happened.
func (k *Checker) Finish(now time.Duration) {
	if k.calmFrom != 0 {
		k.served(now)
	}
	if k.Starts == 0 {
		k.broken("nothing_ran", "no task was started")
	}
}
