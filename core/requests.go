package core

import (
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Reasons in responses to users. Their texts are part of the API and must not change.
const (
	reasonTooBusy           = "too busy"
	reasonNotLoaded         = "not caught up"
	reasonStoreUnreachable  = "state service not reached"
	reasonNoSuchJob         = "no such job"
	reasonIDTaken           = "the id is another's"
	reasonHistoryUnreadable = "what ended long ago can't be read now"
)

const (
	maxDependenciesShown = 20 // unfinished dependencies listed in the state of a queued job

	// cancelWriteGrace is the time after the deadline for responding to a cancellation during which a write
	// of it may still be in flight.
	cancelWriteGrace = 5 * time.Second

	// retryAfterUnavailable is the delay after which a client should retry a request that was not executed.
	retryAfterUnavailable = 1 // seconds
)

// submissionRejection describes why a submission can't be accepted.
type submissionRejection struct {
	status wire.Status
	reason string
}

// isTemporary reports whether the client should retry the same submission.
func (r *submissionRejection) isTemporary() bool { return r.status == wire.StatusUnavailable }

// respond responds to a request. A job's state may have to wait until the cancellation that it shows may be
// acknowledged.
func (c *Core) respond(requestID uint64, status wire.Status, body any) {
	if state, ok := body.(wire.JobState); ok {
		c.cancelAcks.respondOrAwait(requestID, status, state)
		return
	}
	response := Response{RequestID: requestID, Status: status, Body: body}
	if status == wire.StatusUnavailable || status == wire.StatusTooManyRequests {
		response.RetryAfterSeconds = retryAfterUnavailable
	}
	c.emit(response)
}

// respondUnavailable responds that a request was not executed and may be retried.
func (c *Core) respondUnavailable(requestID uint64, why string) {
	c.log(LevelDebug, "request refused", "why", why)
	response := Response{
		RequestID:         requestID,
		Status:            wire.StatusUnavailable,
		Body:              wire.Error{Error: why},
		RetryAfterSeconds: retryAfterUnavailable,
	}
	if why == reasonTooBusy {
		response.RetryAfterSeconds = c.retryAfterSeconds()
	}
	c.emit(response)
}

// respondNotFound responds that there is no job with the requested ID.
func (c *Core) respondNotFound(requestID uint64) {
	c.respond(requestID, wire.StatusNotFound, wire.Error{Error: reasonNoSuchJob})
}

// jobState returns the state of a job as users see it.
func (c *Core) jobState(j *job) wire.JobState {
	state := wire.JobState{ID: j.id, Stage: wire.StageQueued}
	if j.record == nil {
		return state
	}
	for _, stop := range j.record.StopReasons {
		state.TaskStops = append(state.TaskStops, wire.TaskStop(stop))
	}
	state.Done = j.record.CompletedTasks.Count()
	switch {
	case j.record.Stage == jobrecord.Done:
		state.Stage = wire.StageDone
		return state
	case j.isFinal():
		state.Stage, state.CancelledBy = wire.StageCancelled, j.record.CancelledByJob
		if j.cancelledBy != nil {
			state.CancelledBy = j.cancelledBy.id
		}
		return state
	}
	if isFailing(j.record, c.unixMS()) {
		state.Note = failureExplanation(j.record, c.unixMS())
	}
	for _, dependency := range j.dependencies {
		if dependency.record != nil && dependency.record.Stage == jobrecord.Done {
			continue
		}
		if state.DependencyCount++; state.DependencyCount <= maxDependenciesShown {
			state.Dependencies = append(state.Dependencies, dependency.id)
		}
	}
	if state.Running = c.countRunningTasks(j); state.Running > 0 {
		state.Stage = wire.StageRunning
	}
	return state
}

// countRunningTasks returns the number of a job's tasks that run according to the latest heartbeats.
func (c *Core) countRunningTasks(j *job) (running int) {
	for _, assignment := range j.assignments {
		host := c.machines[assignment.Machine]
		status, ok := host.status.tasks[attemptKey{j.index, assignment.Task, assignment.Attempt}]
		if ok && host.status.incarnation == assignment.Incarnation &&
			(status.state == wire.TaskRunning || status.state == wire.TaskCheckpointing) {
			running++
		}
	}
	return running
}

// handleGetJob responds to a request for the state of a job.
func (c *Core) handleGetJob(in GetJob) {
	switch {
	case c.access.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.permissions.isInForce():
		c.getJobAuthorized(in)
		return
	}
	c.respondWithCurrentState(in.RequestID, in.ID)
}

// respondWithCurrentState responds with the state of a job. The state of a final job is taken from memory
// because it never changes; any other is as of a linearizable read that begins now. Without that read, a
// response could contradict the end or cancellation of the job that another user was already informed of.
// This handles status requests, repeated submissions, and submissions that join one whose write was already
// sent.
func (c *Core) respondWithCurrentState(requestID uint64, id string) {
	if !c.replica.loaded {
		c.respondUnavailable(requestID, reasonNotLoaded)
		return
	}
	if j := c.findCachedJob(id); j != nil && j.isFinal() {
		c.respond(requestID, wire.StatusOK, c.jobState(j))
		return
	}
	if !wire.ValidJobID(id) {
		c.respondNotFound(requestID)
		return
	}
	if c.replica.isStoreUnreachable() {
		c.respondUnavailable(requestID, reasonStoreUnreachable)
		return
	}
	c.replica.afterReadBarrier(func(ok bool) {
		if j := c.knownJob(id); !ok && (j == nil || !j.isFinal()) {
			c.respondUnavailable(requestID, reasonStoreUnreachable)
			return
		}
		c.lookUpJobForRequest(requestID, id, func(j *job) {
			if j == nil {
				c.respondNotFound(requestID)
				return
			}
			c.respond(requestID, wire.StatusOK, c.jobState(j))
		})
	})
}

// handleSubmitJob handles a submission.
func (c *Core) handleSubmitJob(in SubmitJob) {
	switch {
	case c.access.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
	case c.permissions.isInForce():
		c.submitJobAuthorized(in)
	default:
		c.admitSubmission(in)
	}
}

// admitSubmission validates a submission of a caller with the required permission, and queues it to be
// accepted.
func (c *Core) admitSubmission(in SubmitJob) {
	if in.ID == "" {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: in.DecodeError})
		return
	}
	if !c.replica.loaded {
		c.respondUnavailable(in.RequestID, reasonNotLoaded)
		return
	}
	if c.findCachedJob(in.ID) != nil {
		c.respondToRepeatedSubmission(in.RequestID, in.Caller, in.validSpec(), in.ID)
		return
	}
	rejection := c.validateSubmission(&in)
	switch {
	case rejection != nil && rejection.isTemporary():
		c.respondUnavailable(in.RequestID, rejection.reason)
	case c.replica.isStoreUnreachable() || !c.ownLease.isHeld():
		c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
	case rejection != nil:
		c.rejectAfterReadBarrier(in)
	default:
		c.enqueueSubmission(in)
	}
}

// rejectAfterReadBarrier rejects a submission that is not acceptable as far as this controller knows. It
// first performs a read barrier and lookups: the submission may repeat that of an accepted job, which must
// never be rejected, or another controller may just have accepted a dependency.
func (c *Core) rejectAfterReadBarrier(in SubmitJob) {
	c.replica.afterUrgentReadBarrier(func(ok bool) {
		if !ok {
			c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
			return
		}
		c.lookUpJobs(append([]string{in.ID}, in.Spec.Dependencies...), func(ok bool) {
			existing := c.knownJob(in.ID)
			rejection := c.validateSubmission(&in)
			switch {
			case existing != nil && !c.access.canRepeatSubmission(in.Caller, in.validSpec(), existing):
				c.respondForbidden(in.RequestID, in.Caller, "submit", in.ID, reasonIDTaken)
			case existing != nil:
				c.respond(in.RequestID, wire.StatusOK, c.jobState(existing))
			case !ok:
				c.respondUnavailable(in.RequestID, reasonHistoryUnreadable)
			case rejection == nil: // a dependency was found
				c.admitSubmission(in)
			case rejection.isTemporary():
				c.respondUnavailable(in.RequestID, rejection.reason)
			default:
				c.respond(in.RequestID, rejection.status, wire.Error{Error: rejection.reason})
			}
		})
	})
}

// enqueueSubmission queues a valid submission to be written, or adds it to a pending one of the same job by
// the same caller. Submissions that the store could not write before their deadline are rejected at once.
func (c *Core) enqueueSubmission(in SubmitJob) {
	if i, ok := c.jobIndex[in.ID]; c.pendingSubmissions >= c.maxPendingSubmissions() &&
		(!ok || c.jobs[i].submission == nil) {
		c.respondUnavailable(in.RequestID, reasonTooBusy)
		return
	}
	target := c.internJob(in.ID)
	if target.submission != nil && target.submission.caller != in.Caller {
		c.respondUnavailable(in.RequestID, "being submitted by another")
		return
	}
	if target.submission != nil {
		target.submission.requestIDs = append(target.submission.requestIDs, in.RequestID)
		return
	}
	c.pendingSubmissions++
	target.submission = &pendingSubmission{
		requestIDs:  []uint64{in.RequestID},
		caller:      in.Caller,
		spec:        in.Spec,
		submittedMS: in.UnixMS,
		receivedAt:  c.now,
		deadline:    c.now + c.cfg.Scheduling.SubmitWriteTimeout,
	}
	c.markDirty(target)
}

// respondToRepeatedSubmission responds to the submission of a job that exists, from a caller with the
// permission to submit it. Without permissions in force, the response is that to a status request.
func (c *Core) respondToRepeatedSubmission(requestID uint64, caller Credential, spec *wire.JobSpec, id string) {
	if !c.permissions.isInForce() {
		c.respondWithCurrentState(requestID, id)
		return
	}
	c.withJobAfterBarrier(requestID, id, func(j *job) {
		switch {
		case j == nil:
			c.respondUnavailable(requestID, reasonHistoryUnreadable)
		case !c.access.canRepeatSubmission(caller, spec, j):
			c.respondForbidden(requestID, caller, "submit", id, reasonIDTaken)
		default:
			c.respond(requestID, wire.StatusOK, c.jobState(j))
		}
	})
}

// validateSubmission returns why a submission can't be accepted as far as this controller knows; nil if it
// can.
func (c *Core) validateSubmission(in *SubmitJob) *submissionRejection {
	if in.DecodeError != "" {
		return &submissionRejection{wire.StatusBadRequest, in.DecodeError}
	}
	spec := in.Spec
	if why := c.checkEverFeasible(&spec); why != feasible {
		return &submissionRejection{why.status(), string(why)}
	}
	if len(spec.Dependencies) > 0 {
		unmet, rejection := c.validateDependencies(in.Caller, &spec)
		if rejection != nil {
			return rejection
		}
		spec.Dependencies = unmet
	}
	// A record also holds assignments and stop reasons, which must fit in its value too.
	raw, err := c.encodeRecord(&jobrecord.Record{Spec: &spec}, nil, c.schema.active >= schemaDependencies)
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes*3/4 {
		return &submissionRejection{
			wire.StatusBadRequest,
			"the description and the unfinished jobs that it awaits are too long to be stored",
		}
	}
	return nil
}

// validateDependencies returns the unmet dependencies of a submission, or why the submission can't have its
// dependencies. A dependency that the caller may not read is treated as unknown, so that its existence isn't
// revealed.
func (c *Core) validateDependencies(
	caller Credential, spec *wire.JobSpec,
) (unmet []string, rejection *submissionRejection) {
	if c.schema.active < schemaDependencies {
		return nil, &submissionRejection{
			wire.StatusUnavailable,
			"a controller may still run a version that does not know awaits",
		}
	}
	unmet, unknown, _ := c.dependencies.findUnmet(spec)
	for _, id := range spec.Dependencies {
		if dependency := c.knownJob(id); dependency != nil && !c.access.canReadJob(caller, dependency) {
			unknown = id
		}
	}
	if unknown != "" {
		return nil, &submissionRejection{
			wire.StatusInvalid,
			"awaits a job that was never accepted: " + unknown,
		}
	}
	return unmet, nil
}

// completeSubmission responds to all requests that wait for a job's acceptance.
func (c *Core) completeSubmission(target *job, status wire.Status, why string) {
	submission := target.submission
	if submission == nil {
		return
	}
	target.submission = nil
	c.pendingSubmissions--
	c.log(LevelDebug, "submission answered", "job", target.id, "status", status,
		"after_ms", (c.now - submission.receivedAt).Milliseconds(),
		"failed", submission.writeFailed)
	for i, requestID := range submission.requestIDs {
		joinedAfterWrite := i >= submission.requestsBeforeWrite
		switch {
		case status == wire.StatusForbidden:
			c.respondForbidden(requestID, submission.caller, "submit", target.id, why)
		case status == wire.StatusOK || status == wire.StatusCreated && joinedAfterWrite:
			// Other controllers may have read the write and changed the job before this request arrived.
			c.respondToRepeatedSubmission(requestID, submission.caller, &submission.spec, target.id)
		case status == wire.StatusCreated && i > 0:
			c.respond(requestID, wire.StatusOK, c.jobState(target))
		case status == wire.StatusCreated:
			c.Stats.Accepted++
			c.respond(requestID, wire.StatusCreated, c.jobState(target))
		case status == wire.StatusBadRequest:
			c.respond(requestID, status, wire.Error{Error: why})
		default:
			c.respondUnavailable(requestID, why)
		}
	}
}

// handleCancelJob handles a request to cancel a job.
func (c *Core) handleCancelJob(in CancelJob) {
	switch {
	case c.access.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.permissions.isInForce():
		c.cancelJobAuthorized(in)
		return
	}
	if !wire.ValidJobID(in.ID) {
		c.respondNotFound(in.RequestID)
		return
	}
	if !c.replica.loaded {
		c.respondUnavailable(in.RequestID, reasonNotLoaded)
		return
	}
	target := c.findCachedJob(in.ID)
	if target != nil && target.isFinal() {
		c.respond(in.RequestID, wire.StatusOK, c.jobState(target))
		return
	}
	if c.replica.isStoreUnreachable() {
		c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
		return
	}
	if target != nil {
		c.enqueueCancellation(target, in)
		return
	}
	c.withJobAfterBarrier(in.RequestID, in.ID, func(found *job) {
		if found == nil {
			c.respondNotFound(in.RequestID)
			return
		}
		c.enqueueCancellation(found, in)
	})
}

// enqueueCancellation schedules the cancellation of a job with its next write and registers the request for
// the response.
func (c *Core) enqueueCancellation(target *job, in CancelJob) {
	if target.isFinal() {
		c.respond(in.RequestID, wire.StatusOK, c.jobState(target))
		return
	}
	target.cancellation.waiters = append(target.cancellation.waiters, cancelWaiter{in.RequestID, in.Caller})
	target.cancellation.requestedMS = in.UnixMS
	target.cancellation.answerBy = c.now + c.cfg.Scheduling.SubmitWriteTimeout
	c.cancelAcks.waitersUntil = target.cancellation.answerBy + cancelWriteGrace
	c.markDirty(target)
}

// completeCancellations responds to the requests that wait for a job's cancellation if the job is final.
func (c *Core) completeCancellations(target *job) {
	if len(target.cancellation.waiters) == 0 || !target.isFinal() {
		return
	}
	for _, waiter := range target.cancellation.waiters {
		c.respond(waiter.requestID, wire.StatusOK, c.jobState(target))
	}
	target.cancellation.waiters = nil
}

// rejectCancellations responds to the requests that wait for a job's cancellation that it was not executed.
func (c *Core) rejectCancellations(target *job, why string) {
	for _, waiter := range target.cancellation.waiters {
		c.respondUnavailable(waiter.requestID, why)
	}
	target.cancellation.waiters = nil
}
