package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"time"
)

func (c *Core) respond(req uint64, status wire.Status, body any) {
	if s, ok := body.(wire.JobState); ok {
		c.respondOrAwaitAck(req, status, s)
		return
	}
	r := Response{RequestID: req, Status: status, Body: body}
	if status == wire.StatusUnavailable || status == wire.StatusTooManyRequests {
		r.RetryAfterSeconds = 1
	}
	c.emit(r)
}

const reasonTooBusy = "too busy"

func (c *Core) respondUnavailable(req uint64, why string) {
	c.log(LevelDebug, "request refused", "why", why)
	r := Response{RequestID: req, Status: wire.StatusUnavailable, Body: wire.Error{Error: why}, RetryAfterSeconds: 1}
	if why == reasonTooBusy {
		r.RetryAfterSeconds = c.retryAfterSeconds()
	}
	c.emit(r)
}

// jobState is a job's state as its users see it.
func (c *Core) jobState(j *job) wire.JobState {
	s := wire.JobState{ID: j.id, Stage: wire.StageQueued}
	if j.record == nil {
		return s
	}
	for _, w := range j.record.StopReasons {
		s.TaskStops = append(s.TaskStops, wire.TaskStop(w))
	}
	s.Done = j.record.CompletedTasks.Count()
	switch {
	case j.record.Stage == jobrecord.Done:
		s.Stage = wire.StageDone
		return s
	case j.isFinal():
		s.Stage, s.CancelledBy = wire.StageCancelled, j.record.CancelledByJob
		if j.cancelledBy != nil {
			s.CancelledBy = j.cancelledBy.id
		}
		return s
	}
	if isFailing(j.record, c.unixMS()) {
		s.Note = failureExplanation(j.record, c.unixMS())
	}
	for _, o := range j.dependencies {
		if o.record == nil || o.record.Stage != jobrecord.Done {
			if s.DependencyCount++; s.DependencyCount <= maxDependenciesShown {
				s.Dependencies = append(s.Dependencies, o.id)
			}
		}
	}
	for _, a := range j.assignments {
		m := c.machines[a.Machine]
		if p, ok := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; ok &&
			m.status.incarnation == a.Incarnation &&
			(p.state == wire.TaskRunning || p.state == wire.TaskCheckpointing) {
			s.Running++
		}
	}
	if s.Running > 0 {
		s.Stage = wire.StageRunning
	}
	return s
}

const maxDependenciesShown = 20 // of the jobs that a queued one waits for

func (c *Core) handleGetJob(in GetJob) {
	switch {
	case c.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.permissionsInForce():
		c.getJobAuthorized(in)
		return
	}
	c.respondWithCurrentState(in.RequestID, in.ID)
}

// respondWithCurrentState answers with a job's state: one that is over from memory, as it stays so,
// any other as of a read that begins now. So nobody is told what was true only before they asked:
// others may have been told an end or a cancellation since. Whoever asks, repeats a submission, or
// joins one whose write was sent before, is answered here.
func (c *Core) respondWithCurrentState(req uint64, id string) {
	if !c.replica.loaded {
		c.respondUnavailable(req, "not caught up")
		return
	}
	if j := c.recallFromArchive(id); j != nil && j.isFinal() {
		c.respond(req, wire.StatusOK, c.jobState(j))
		return
	}
	if !wire.ValidJobID(id) {
		c.respond(req, wire.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	if c.storeUnreachable() {
		c.respondUnavailable(req, "state service not reached")
		return
	}
	c.afterReadBarrier(func(ok bool) {
		if j := c.knownJob(id); !ok && (j == nil || !j.isFinal()) {
			c.respondUnavailable(req, "state service not reached")
			return
		}
		c.lookUpJobForRequest(req, id, func(j *job) {
			if j == nil {
				c.respond(req, wire.StatusNotFound, wire.Error{Error: "no such job"})
				return
			}
			c.respond(req, wire.StatusOK, c.jobState(j))
		})
	})
}

const reasonHistoryUnreadable = "what ended long ago can't be read now"

func (c *Core) handleSubmitJob(in SubmitJob) {
	switch {
	case c.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
	case c.permissionsInForce():
		c.submitJobAuthorized(in)
	default:
		c.admitSubmission(in)
	}
}

// admitSubmission takes the submission of somebody who may submit it.
func (c *Core) admitSubmission(in SubmitJob) {
	if in.ID == "" {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: in.DecodeError})
		return
	}
	if !c.replica.loaded {
		c.respondUnavailable(in.RequestID, "not caught up")
		return
	}
	if c.recallFromArchive(in.ID) != nil {
		c.respondToRepeatedSubmission(in.RequestID, in.Caller, in.validSpec(), in.ID)
		return
	}
	status, why := c.validateSubmission(&in)
	switch {
	case status == wire.StatusUnavailable:
		c.respondUnavailable(in.RequestID, why)
	case c.storeUnreachable() || !c.holdsLease():
		c.respondUnavailable(in.RequestID, "state service not reached")
	case status != wire.StatusNoAnswer:
		// A repeat of an accepted job is never refused so: first learn whether it is one. And a job
		// that it awaits may just have been accepted by another controller.
		c.afterUrgentReadBarrier(func(ok bool) {
			if !ok {
				c.respondUnavailable(in.RequestID, "state service not reached")
				return
			}
			c.lookUpJobs(append([]string{in.ID}, in.Spec.Dependencies...), func(ok bool) {
				j := c.knownJob(in.ID)
				status, why := c.validateSubmission(&in)
				switch {
				case j != nil && !c.canRepeatSubmission(in.Caller, in.validSpec(), j):
					c.respondForbidden(in.RequestID, in.Caller, "submit", in.ID, "the id is another's")
				case j != nil:
					c.respond(in.RequestID, wire.StatusOK, c.jobState(j))
				case !ok:
					c.respondUnavailable(in.RequestID, reasonHistoryUnreadable)
				case status == wire.StatusUnavailable:
					c.respondUnavailable(in.RequestID, why)
				case status != wire.StatusNoAnswer:
					c.respond(in.RequestID, status, wire.Error{Error: why})
				default: // a job that it awaits was found
					c.admitSubmission(in)
				}
			})
		})
	default:
		// More than the state service takes until they would be refused are refused at once.
		if i, ok := c.jobIndex[in.ID]; c.pendingSubmissions >= c.maxPendingSubmissions() &&
			(!ok || c.jobs[i].submission == nil) {
			c.respondUnavailable(in.RequestID, reasonTooBusy)
			return
		}
		j := c.internJob(in.ID)
		if j.submission != nil && j.submission.caller != in.Caller {
			c.respondUnavailable(in.RequestID, "being submitted by another")
			return
		}
		if j.submission != nil {
			j.submission.requestIDs = append(j.submission.requestIDs, in.RequestID)
			return
		}
		c.pendingSubmissions++
		j.submission = &pendingSubmission{
			requestIDs:  []uint64{in.RequestID},
			caller:      in.Caller,
			spec:        in.Spec,
			submittedMS: in.UnixMS,
			receivedAt:  c.now,
			deadline:    c.now + c.cfg.Scheduling.SubmitWriteTimeout,
		}
		c.markDirty(j)
	}
}

// respondToRepeatedSubmission answers the submission of a job that is there already, by somebody
// who could submit it. A submission that finds it without rights in force goes the way of a
// question.
func (c *Core) respondToRepeatedSubmission(req uint64, by Credential, s *wire.JobSpec, id string) {
	if !c.permissionsInForce() {
		c.respondWithCurrentState(req, id)
		return
	}
	c.withJobAfterBarrier(req, id, func(j *job) {
		switch {
		case j == nil:
			c.respondUnavailable(req, reasonHistoryUnreadable)
		case !c.canRepeatSubmission(by, s, j):
			c.respondForbidden(req, by, "submit", id, "the id is another's")
		default:
			c.respond(req, wire.StatusOK, c.jobState(j))
		}
	})
}

// validateSubmission tells why a submission can't be accepted, with its status, as far as is known here; 0 if
// it can.
func (c *Core) validateSubmission(in *SubmitJob) (wire.Status, string) {
	if in.DecodeError != "" {
		return wire.StatusBadRequest, in.DecodeError
	}
	s := in.Spec
	if why := c.checkEverFeasible(&s); why != feasible {
		return why.status(), string(why)
	}
	if len(s.Dependencies) > 0 {
		if c.schemaVersion() < schemaDependencies {
			return wire.StatusUnavailable, "a controller may still run a version that does not know awaits"
		}
		left, unknown, _ := c.findUnmetDependencies(&s)
		for _, id := range s.Dependencies { // nobody is told of jobs that they may not read
			if o := c.knownJob(id); o != nil && !c.canReadJob(in.Caller, o) {
				unknown = id
			}
		}
		if unknown != "" {
			return wire.StatusInvalid, "awaits a job that was never accepted: " + unknown
		}
		s.Dependencies = left
	}
	// What a record holds beside the description must find room in its value.
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: &s}, nil, c.schemaVersion() >= schemaDependencies)
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes*3/4 {
		return wire.StatusBadRequest, "the description and the unfinished jobs that it awaits are too long to be stored"
	}
	return wire.StatusNoAnswer, ""
}

// completeSubmission answers all who wait for a job's acceptance.
func (c *Core) completeSubmission(j *job, status wire.Status, why string) {
	a := j.submission
	if a == nil {
		return
	}
	j.submission = nil
	c.pendingSubmissions--
	c.log(
		LevelDebug,
		"submission answered",
		"job",
		j.id,
		"status",
		status,
		"after_ms",
		(c.now - a.receivedAt).Milliseconds(),
		"failed",
		a.writeFailed,
	)
	for i, req := range a.requestIDs {
		switch {
		case status == wire.StatusForbidden:
			c.respondForbidden(req, a.caller, "submit", j.id, why)
		case status == wire.StatusOK || status == wire.StatusCreated && i >= a.requestsBeforeWrite: // came after the write was sent, which others may have read since
			c.respondToRepeatedSubmission(req, a.caller, &a.spec, j.id)
		case status == wire.StatusCreated && i > 0:
			c.respond(req, wire.StatusOK, c.jobState(j))
		case status == wire.StatusCreated:
			c.Stats.Accepted++
			c.respond(req, wire.StatusCreated, c.jobState(j))
		default:
			c.respondUnavailable(req, why)
		}
	}
}

func (c *Core) handleCancelJob(in CancelJob) {
	switch {
	case c.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.permissionsInForce():
		c.cancelJobAuthorized(in)
		return
	}
	if !wire.ValidJobID(in.ID) {
		c.respond(in.RequestID, wire.StatusNotFound, wire.Error{Error: "no such job"})
		return
	}
	if !c.replica.loaded {
		c.respondUnavailable(in.RequestID, "not caught up")
		return
	}
	j := c.recallFromArchive(in.ID)
	if j != nil && j.isFinal() {
		c.respond(in.RequestID, wire.StatusOK, c.jobState(j))
		return
	}
	if c.storeUnreachable() {
		c.respondUnavailable(in.RequestID, "state service not reached")
		return
	}
	if j == nil {
		c.withJobAfterBarrier(in.RequestID, in.ID, func(j *job) {
			if j == nil {
				c.respond(in.RequestID, wire.StatusNotFound, wire.Error{Error: "no such job"})
				return
			}
			c.enqueueCancellation(j, in)
		})
		return
	}
	c.enqueueCancellation(j, in)
}

func (c *Core) enqueueCancellation(j *job, in CancelJob) {
	if j.isFinal() {
		c.respond(in.RequestID, wire.StatusOK, c.jobState(j))
		return
	}
	j.cancellation.waiters = append(j.cancellation.waiters, cancelWaiter{in.RequestID, in.Caller})
	j.cancellation.requestedMS = in.UnixMS
	j.cancellation.answerBy = c.now + c.cfg.Scheduling.SubmitWriteTimeout
	c.cancelAcks.waitersUntil = j.cancellation.answerBy + 5*time.Second // a write of it may be on its way as long
	c.markDirty(j)
}

// completeCancellations answers those who wait for a job's end once it is final.
func (c *Core) completeCancellations(j *job) {
	if len(j.cancellation.waiters) == 0 || !j.isFinal() {
		return
	}
	for _, r := range j.cancellation.waiters {
		c.respond(r.requestID, wire.StatusOK, c.jobState(j))
	}
	j.cancellation.waiters = nil
}

func (c *Core) rejectCancellations(j *job, why string) {
	for _, r := range j.cancellation.waiters {
		c.respondUnavailable(r.requestID, why)
	}
	j.cancellation.waiters = nil
}
