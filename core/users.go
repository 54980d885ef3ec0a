package core

import (
	"time"

	"dewlift/access"
	"dewlift/core/jobrecord"
	pb "dewlift/proto"
	"dewlift/wire"
)

func (c *Core) reply(req uint64, status int, body any) {
	if s, ok := body.(wire.JobState); ok {
		c.tellOrWait(req, status, s)
		return
	}
	r := Reply{Req: req, Status: status, Body: body}
	if status == 503 || status == 429 {
		r.RetryAfter = 1
	}
	c.emit(r)
}

const tooBusy = "too busy"

func (c *Core) refuse(req uint64, why string) {
	c.note("debug", "request refused", "why", why)
	r := Reply{Req: req, Status: 503, Body: wire.Error{Error: why}, RetryAfter: 1}
	if why == tooBusy {
		r.RetryAfter = c.comeBack()
	}
	c.emit(r)
}

// state is a job's state as its users see it.
func (c *Core) state(j *job) wire.JobState {
	s := wire.JobState{ID: j.id, Stage: wire.StageQueued}
	if j.rec == nil {
		return s
	}
	for _, w := range j.rec.StopReasons {
		s.TaskStops = append(s.TaskStops, wire.TaskStop(w))
	}
	s.Done = j.rec.CompletedTasks.Count()
	switch {
	case j.rec.Stage == jobrecord.Done:
		s.Stage = wire.StageDone
		return s
	case j.final():
		s.Stage, s.CancelledBy = wire.StageCancelled, j.rec.CancelledByJob
		if j.cause != nil {
			s.CancelledBy = j.cause.id
		}
		return s
	}
	if failing(j.rec, c.unixMS()) {
		s.Note = whyFailing(j.rec, c.unixMS())
	}
	for _, o := range j.needs {
		if o.rec == nil || o.rec.Stage != jobrecord.Done {
			if s.DependencyCount++; s.DependencyCount <= awaitsShown {
				s.Dependencies = append(s.Dependencies, o.id)
			}
		}
	}
	for _, a := range j.place {
		m := c.machines[a.Machine]
		if p, ok := m.status.tasks[attKey{j.idx, a.Task, a.Attempt}]; ok && m.status.incarnation == a.Incarnation &&
			(p.state == wire.TaskRunning || p.state == wire.TaskCheckpointing) {
			s.Running++
		}
	}
	if s.Running > 0 {
		s.Stage = wire.StageRunning
	}
	return s
}

const awaitsShown = 20 // of the jobs that a queued one waits for

// final reports whether a job is done or cancelled. One that needs a cancelled job is cancelled
// with it, from the write of that cancellation on; its own record follows.
func (j *job) final() bool {
	return j.rec != nil && (j.rec.Stage != jobrecord.Queued || j.cause != nil)
}

func (c *Core) poll(in Poll) {
	switch {
	case c.closed():
		c.refuse(in.Req, notYet)
		return
	case c.guarded():
		c.pollGuarded(in)
		return
	}
	c.tellCurrent(in.Req, in.ID)
}

// tellCurrent answers with a job's state: one that is over from memory, as it stays so, any other as of a read that begins now. So nobody is told
// what was true only before they asked: others may have been told an end or a cancellation since. Whoever asks, repeats a submission, or joins one
// whose write was sent before, is answered here.
func (c *Core) tellCurrent(req uint64, id string) {
	if !c.replica.loaded {
		c.refuse(req, "not caught up")
		return
	}
	if j := c.recall(id); j != nil && j.final() {
		c.reply(req, 200, c.state(j))
		return
	}
	if !wire.ValidJobID(id) {
		c.reply(req, 404, wire.Error{Error: "no such job"})
		return
	}
	if c.stateDown() {
		c.refuse(req, "state service not reached")
		return
	}
	c.afterBarrier(func(ok bool) {
		if j := c.knownJob(id); !ok && (j == nil || !j.final()) {
			c.refuse(req, "state service not reached")
			return
		}
		c.findFor(req, id, func(j *job) {
			if j == nil {
				c.reply(req, 404, wire.Error{Error: "no such job"})
				return
			}
			c.reply(req, 200, c.state(j))
		})
	})
}

const unreadable = "what ended long ago can't be read now"

// stateDown reports whether the state service seems out of reach at this moment.
func (c *Core) stateDown() bool {
	return !c.replica.loaded || c.storeHealth.lastFailureAt > c.storeHealth.lastAnswerAt && c.now-c.storeHealth.lastAnswerAt > 400*time.Millisecond
}

func (c *Core) submit(in Submit) {
	switch {
	case c.closed():
		c.refuse(in.Req, notYet)
	case c.guarded():
		c.submitGuarded(in)
	default:
		c.submitNew(in)
	}
}

// submitNew takes the submission of somebody who may submit it.
func (c *Core) submitNew(in Submit) {
	if in.ID == "" {
		c.reply(in.Req, 400, wire.Error{Error: in.Bad})
		return
	}
	if !c.replica.loaded {
		c.refuse(in.Req, "not caught up")
		return
	}
	if c.recall(in.ID) != nil {
		c.repeat(in.Req, in.By, in.spec(), in.ID)
		return
	}
	status, why := c.judge(&in)
	switch {
	case status == 503:
		c.refuse(in.Req, why)
	case c.stateDown() || !c.leaseOK():
		c.refuse(in.Req, "state service not reached")
	case status != 0:
		// A repeat of an accepted job is never refused so: first learn whether it is one. And a job
		// that it awaits may just have been accepted by another controller.
		c.soonAfterBarrier(func(ok bool) {
			if !ok {
				c.refuse(in.Req, "state service not reached")
				return
			}
			c.findAll(append([]string{in.ID}, in.Spec.Dependencies...), func(ok bool) {
				j := c.knownJob(in.ID)
				status, why := c.judge(&in)
				switch {
				case j != nil && !c.mayRepeat(in.By, in.spec(), j):
					c.forbid(in.Req, in.By, "submit", in.ID, "the id is another's")
				case j != nil:
					c.reply(in.Req, 200, c.state(j))
				case !ok:
					c.refuse(in.Req, unreadable)
				case status == 503:
					c.refuse(in.Req, why)
				case status != 0:
					c.reply(in.Req, status, wire.Error{Error: why})
				default: // a job that it awaits was found
					c.submitNew(in)
				}
			})
		})
	default:
		// More than the state service takes until they would be refused are refused at once.
		if i, ok := c.jobIdx[in.ID]; c.accepting >= c.acceptMost() && (!ok || c.jobs[i].accept == nil) {
			c.refuse(in.Req, tooBusy)
			return
		}
		j := c.job(in.ID)
		if j.accept != nil && j.accept.by != in.By {
			c.refuse(in.Req, "being submitted by another")
			return
		}
		if j.accept != nil {
			j.accept.reqs = append(j.accept.reqs, in.Req)
			return
		}
		c.accepting++
		j.accept = &accept{reqs: []uint64{in.Req}, by: in.By, spec: in.Spec, unixMS: in.UnixMS, since: c.now, until: c.now + c.cfg.AcceptWait}
		c.touch(j)
	}
}

// repeat answers the submission of a job that is there already, by somebody who could submit it. A submission that finds it without rights in force
// goes the way of a question.
func (c *Core) repeat(req uint64, by Cred, s *wire.JobSpec, id string) {
	if !c.guarded() {
		c.tellCurrent(req, id)
		return
	}
	c.lookAt(req, id, func(j *job) {
		switch {
		case j == nil:
			c.refuse(req, unreadable)
		case !c.mayRepeat(by, s, j):
			c.forbid(req, by, "submit", id, "the id is another's")
		default:
			c.reply(req, 200, c.state(j))
		}
	})
}

// judge tells why a submission can't be accepted, with its status, as far as is known here; 0 if
// it can.
func (c *Core) judge(in *Submit) (int, string) {
	if in.Bad != "" {
		return 400, in.Bad
	}
	s := in.Spec
	if status, why := c.impossible(&s); status != 0 {
		return status, why
	}
	if len(s.Dependencies) > 0 {
		if c.form() < formAwaits {
			return 503, "a controller may still run a version that does not know awaits"
		}
		left, unknown, _ := c.unmet(&s)
		for _, id := range s.Dependencies { // nobody is told of jobs that they may not read
			if o := c.knownJob(id); o != nil && !c.mayRead(in.By, o) {
				unknown = id
			}
		}
		if unknown != "" {
			return 422, "awaits a job that was never accepted: " + unknown
		}
		s.Dependencies = left
	}
	// What a record holds beside the description must find room in its value.
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: &s}, nil, c.form() >= formAwaits)
	if err != nil || len(raw) > c.cfg.ValueBytes*3/4 {
		return 400, "the description and the unfinished jobs that it awaits are too long to be stored"
	}
	return 0, ""
}

// impossible tells why a job can never run; 503 if that can't be decided yet, 0 if it can run.
func (c *Core) impossible(s *wire.JobSpec) (int, string) {
	if c.autoscaler.catalog == nil {
		return 503, "machine types not known yet"
	}
	ti, ok := c.teamIdx[s.Team]
	if !ok {
		return 422, "unknown team"
	}
	n := int64(1)
	if s.Service {
		n = int64(s.Tasks)
	}
	t := c.teams[ti]
	if t.CPUMax > 0 && s.Request[0]*n > t.CPUMax || t.GPUMax > 0 && s.Request[1]*n > t.GPUMax {
		return 422, "needs more than the team's limit"
	}
	for _, mt := range c.autoscaler.catalog {
		if c.typeAllowed(s, mt.Name) && fits(mt.Capacity(), s.Request) {
			for _, z := range mt.Zones {
				if s.Zone == "" || s.Zone == z {
					return 0, ""
				}
			}
		}
	}
	return 422, "fits no allowed machine type"
}

func fits(room, claim [3]int64) bool {
	return room[0] >= claim[0] && room[1] >= claim[1] && room[2] >= claim[2]
}

func (c *Core) typeAllowed(s *wire.JobSpec, typ string) bool {
	if s.MachineTypes == nil {
		return true
	}
	for _, t := range s.MachineTypes {
		if t == typ {
			return true
		}
	}
	return false
}

// settleAccept answers all who wait for a job's acceptance.
func (c *Core) settleAccept(j *job, status int, why string) {
	a := j.accept
	if a == nil {
		return
	}
	j.accept = nil
	c.accepting--
	c.note("debug", "submission answered", "job", j.id, "status", status, "after_ms", (c.now - a.since).Milliseconds(), "failed", a.failed)
	for i, req := range a.reqs {
		switch {
		case status == 403:
			c.forbid(req, a.by, "submit", j.id, why)
		case status == 200 || status == 201 && i >= a.sent: // came after the write was sent, which others may have read since
			c.repeat(req, a.by, &a.spec, j.id)
		case status == 201 && i > 0:
			c.reply(req, 200, c.state(j))
		case status == 201:
			c.Stats.Accepted++
			c.reply(req, 201, c.state(j))
		default:
			c.refuse(req, why)
		}
	}
}

func (c *Core) cancel(in Cancel) {
	switch {
	case c.closed():
		c.refuse(in.Req, notYet)
		return
	case c.guarded():
		c.cancelGuarded(in)
		return
	}
	if !wire.ValidJobID(in.ID) {
		c.reply(in.Req, 404, wire.Error{Error: "no such job"})
		return
	}
	if !c.replica.loaded {
		c.refuse(in.Req, "not caught up")
		return
	}
	j := c.recall(in.ID)
	if j != nil && j.final() {
		c.reply(in.Req, 200, c.state(j))
		return
	}
	if c.stateDown() {
		c.refuse(in.Req, "state service not reached")
		return
	}
	if j == nil {
		c.lookAt(in.Req, in.ID, func(j *job) {
			if j == nil {
				c.reply(in.Req, 404, wire.Error{Error: "no such job"})
				return
			}
			c.queueCancel(j, in)
		})
		return
	}
	c.queueCancel(j, in)
}

func (c *Core) queueCancel(j *job, in Cancel) {
	if j.final() {
		c.reply(in.Req, 200, c.state(j))
		return
	}
	j.cancellation.waiters = append(j.cancellation.waiters, cancelReq{in.Req, in.By})
	j.cancellation.requestedMS = in.UnixMS
	j.cancellation.answerBy = c.now + c.cfg.AcceptWait
	c.cancelAcks.waitersUntil = j.cancellation.answerBy + 5*time.Second // a write of it may be on its way as long
	c.touch(j)
}

// settleCancels answers those who wait for a job's end once it is final.
func (c *Core) settleCancels(j *job) {
	if len(j.cancellation.waiters) == 0 || !j.final() {
		return
	}
	for _, r := range j.cancellation.waiters {
		c.reply(r.req, 200, c.state(j))
	}
	j.cancellation.waiters = nil
}

func (c *Core) failCancels(j *job, why string) {
	for _, r := range j.cancellation.waiters {
		c.refuse(r.req, why)
	}
	j.cancellation.waiters = nil
}

// beat answers a worker's report.
func (c *Core) beat(in Beat) {
	if !c.replica.loaded {
		c.refuse(in.Req, "not caught up")
		return
	}
	if c.guarded() && c.freshRights().AgentsMustSign() {
		if d := c.may(in.By, access.Action{Verb: pb.Verb_report}); !d.Allowed {
			c.forbid(in.Req, in.By, "report", in.Report.Machine, d.Reason)
			return
		}
	}
	c.observe(in.Report, true)
	if in.Report.FencingToken <= c.leadership.fencingToken {
		c.answerBeat(in)
		return
	}
	// The worker has seen a higher token: whoever gave it knows more than this controller.
	if c.stateDown() {
		c.refuse(in.Req, "token not current")
		return
	}
	c.afterBarrier(func(bool) { c.answerBeat(in) })
}

func (c *Core) answerBeat(in Beat) {
	m := c.machine(in.Report.Machine)
	if why := c.whyNot(m, in.Report); why != "" {
		c.refuse(in.Req, why)
		return
	}
	c.reply(in.Req, 200, wire.HeartbeatResponse{FencingToken: c.leadership.fencingToken, Commands: c.stopsFor(m)})
}
