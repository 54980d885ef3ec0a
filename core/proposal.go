package core

import (
	"fmt"
	"slices"
	"time"

	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Causes of an attempt's end that a controller infers itself. Those that agents report are in package
// wire. They are stored in job records and shown to users, so their values must not change.
const (
	causeMachineGone = "machine gone"
	causeLeaseLost   = "machine lost its lease"
	causeNotStarted  = "not started"
)

const (
	// startRefusalCooldown is how long a machine that refused a start gets no new tasks, and how long a
	// job is not placed after an agent reported that it does not know the task.
	startRefusalCooldown = 2 * time.Second

	// machineFailureCooldown is how long a machine gets no new tasks for each consecutive task failure
	// on it, counted up to maxCountedMachineFailures.
	machineFailureCooldown    = 5 * time.Second
	maxCountedMachineFailures = 6

	// crowdedSlotWriteShare is the share of the write burst that must be available before records are
	// moved out of a nearly full slot. The move is maintenance and must not delay other writes.
	crowdedSlotWriteShare = 0.9
)

// Constants for the limit on simultaneously assigned tasks of a job, from the size of their encoding.
const (
	minAssignedTaskLimit    = 8    // lower bound of the limit, however small the value limit is
	packedTaskBytes         = 3    // per task in the packed encoding: about 2, plus a margin
	unpackedTaskBytes       = 12   // per task in the encoding of older schema versions
	unpackedRecordAllowance = 1024 // bytes for the rest of a record in that encoding
)

// proposal is the proposed next record of a job. It takes effect only once its transaction is committed.
type proposal struct {
	job              *job
	record           *jobrecord.Record
	spec             *wire.JobSpec // set even if the record is final and has none
	assignments      []jobrecord.Assignment
	started          []jobrecord.Assignment
	ended            []jobrecord.Assignment
	encodedSize      int // size in bytes of the record as written
	isAcceptance     bool
	isCancellation   bool
	completionsOnly  bool             // it only records task completions
	startsOnly       bool             // it only starts tasks
	slotIndex        int              // slot of a job that is already stored
	inSlot           bool             // the record is written into its slot
	wantsOwnKey      bool             // the record must be written to a key of its own
	auditEvents      []auditlog.Event // recorded with the write
	userCancelEvents int              // number of leading auditEvents that are cancellations by users
	auditEntryIDs    []uint64         // IDs of the audit log entries of auditEvents
	// compares are the preconditions of the write besides the record's own: a new job must not have been
	// archived, and its submitter must still have the permission.
	compares []wire.Compare
}

// proposeRecord computes the next record of a job from the current state, or nil if nothing changes. A
// nonzero retryAt is the time to examine the job again even if nothing new arrives.
func (c *Core) proposeRecord(target *job, builder *txnBuilder) (p *proposal, retryAt time.Duration) {
	if target.revision == 0 {
		return c.proposeAcceptance(target, builder)
	}
	if target.record == nil || target.record.Spec == nil {
		c.completeCancellations(target)
		return nil, 0
	}
	return c.proposeUpdate(target, builder)
}

// proposeAcceptance proposes the first record of a submitted job, with its first assignments if tasks
// can be placed immediately. A submission with a cancelled dependency is accepted as cancelled.
func (c *Core) proposeAcceptance(target *job, builder *txnBuilder) (p *proposal, retryAt time.Duration) {
	submission := target.submission
	notArchived, known := c.notArchivedCompare(target.id)
	spec := submission.spec
	unmet, unknown, cancelled := c.dependencies.findUnmet(&spec)
	if !known || unknown != "" ||
		submission.writeFailed && c.history.coldRecords > 0 && !submission.lookupDone {
		return nil, c.lookUpArchived(target)
	}
	if decision := c.access.authorize(submission.caller, submitAction(&spec)); !decision.Allowed {
		c.completeSubmission(target, wire.StatusForbidden, decision.Reason)
		return nil, 0
	}
	p = c.newAcceptance(target, &spec, notArchived)
	if cancelled != nil {
		c.acceptAsCancelled(p, cancelled)
		return p, 0
	}
	spec.Dependencies = unmet // completed dependencies need not be stored
	if len(unmet) > 0 || !c.ownership.ownsShard(p.record.Shard) {
		return p, 0
	}
	// The first tasks are placed with the acceptance unless that would delay the response: a team's key
	// may be locked, or other controllers may write it so often that this write fails.
	if c.isTeamLocked(&spec) && c.now < submission.receivedAt+2*lockedRetryDelay {
		return nil, c.now + lockedRetryDelay
	}
	if !submission.writeFailed && !c.priority.hasEarlierWaiting(&spec) {
		c.assignTasks(p, builder)
	}
	return p, 0
}

// newAcceptance returns a proposal that accepts a submission as queued, without assignments.
func (c *Core) newAcceptance(target *job, spec *wire.JobSpec, notArchived wire.Compare) *proposal {
	submission := target.submission
	shard := c.ownership.pickShard()
	priorityClass := ""
	if c.priority.revision != 0 && c.schema.active >= schemaPriorityClasses {
		priorityClass = c.priority.classes.Name(c.priority.classes.Classify(spec))
	}
	return &proposal{
		job: target,
		record: &jobrecord.Record{
			PriorityClass: priorityClass,
			Shard:         shard,
			Spec:          spec,
			AcceptedAtMS:  submission.submittedMS,
			Submitter:     submission.caller.Identity,
		},
		spec:         spec,
		isAcceptance: true,
		compares:     append(c.access.compares(submission.caller), notArchived),
		auditEvents: []auditlog.Event{
			newAuditEvent(
				submission.caller,
				"submit",
				target.id,
				fmt.Sprintf("%s %s %s", spec.Team, spec.Class, wire.PriorityName(spec.Priority)),
			),
		},
	}
}

// acceptAsCancelled changes an acceptance so that the job is accepted as cancelled, because a job that
// it depends on is cancelled.
func (c *Core) acceptAsCancelled(p *proposal, dependency *job) {
	p.record = &jobrecord.Record{
		Shard:          p.record.Shard,
		Stage:          jobrecord.Cancelled,
		CancelledAtMS:  c.unixMS(),
		CancelledByJob: dependency.id,
	}
	c.keepPermissionFields(p.record, p.spec)
	p.auditEvents = append(p.auditEvents, dependencyCancelEvent(p.job, dependency))
}

// dependencyCancelEvent returns the audit event for a job that is cancelled because of a dependency.
func dependencyCancelEvent(target, dependency *job) auditlog.Event {
	return auditlog.Event{Verb: "cancel", Object: target.id, Reason: "needs " + dependency.id}
}

// isTeamLocked reports whether the quota of a job's team cannot be charged now because another write of
// the team's usage is in flight.
func (c *Core) isTeamLocked(spec *wire.JobSpec) bool {
	t := c.teams.of(spec)
	return t != nil && t.hasMaxQuota() && t.locked
}

// recordUpdate is the state of one run of proposeUpdate. Its methods are the steps of that run.
type recordUpdate struct {
	core     *Core
	job      *job
	builder  *txnBuilder
	proposal *proposal
	record   *jobrecord.Record // the proposed record, which proposal.record also points to
	changed  bool              // the proposed record differs from the stored one
	urgent   bool              // the write must not be delayed to be shared with other task completions
}

// proposeUpdate proposes the next record of an accepted job that is not yet final in the store.
func (c *Core) proposeUpdate(target *job, builder *txnBuilder) (p *proposal, retryAt time.Duration) {
	update := c.newRecordUpdate(target, builder)
	update.cancelForUsers()
	update.cancelWithDependency()
	if !c.ownership.ownsJob(target) {
		return update.cancellationOnly(), 0
	}
	update.moveToOwnKey()
	update.recordOutcomes()
	retryAt = update.completeOrPlace()
	if !update.changed {
		return nil, retryAt
	}
	if due := update.batchingDeadline(); c.now < due {
		target.write.waitsForCompletions = true
		if retryAt == 0 {
			retryAt = due
		}
		return nil, min(retryAt, due)
	}
	update.proposal.completionsOnly = !update.urgent
	return update.proposal, 0
}

// newRecordUpdate starts from a copy of a job's record, so that the record in memory does not change
// until the write is committed.
func (c *Core) newRecordUpdate(target *job, builder *txnBuilder) recordUpdate {
	target.write.waitsForCompletions = false
	record := *target.record
	record.StopReasons = slices.Clone(target.record.StopReasons)
	if c.schema.active >= schemaPriorityClasses {
		record.EnqueueRevision = target.queue.enqueueRevision
	}
	return recordUpdate{
		core:     c,
		job:      target,
		builder:  builder,
		proposal: &proposal{job: target, record: &record, spec: target.record.Spec},
		record:   &record,
	}
}

// cancelForUsers cancels a queued job for the users who requested it and still have the permission.
func (u *recordUpdate) cancelForUsers() {
	cancellation := &u.job.cancellation
	if len(cancellation.waiters) == 0 || u.record.Stage != jobrecord.Queued {
		return
	}
	u.proposal.compares = u.core.dropUnauthorizedCancellations(u.job)
	if len(cancellation.waiters) == 0 {
		return
	}
	u.proposal.isCancellation = true
	u.changed, u.urgent = true, true
	u.record.Stage = jobrecord.Cancelled
	u.record.CancelledAtMS = cancellation.requestedMS
	for _, waiter := range cancellation.waiters {
		event := newAuditEvent(waiter.caller, "cancel", u.job.id, "")
		if !slices.Contains(u.proposal.auditEvents, event) {
			u.proposal.auditEvents = append(u.proposal.auditEvents, event)
		}
	}
	u.proposal.userCancelEvents = len(u.proposal.auditEvents)
}

// cancelWithDependency cancels a queued job because a job that it depends on is cancelled.
func (u *recordUpdate) cancelWithDependency() {
	dependency := u.job.cancelledBy
	if dependency == nil || u.record.Stage != jobrecord.Queued {
		return
	}
	u.changed = true
	u.record.Stage = jobrecord.Cancelled
	u.record.CancelledByJob = dependency.id
	u.record.CancelledAtMS = u.core.unixMS()
	u.proposal.auditEvents = append(u.proposal.auditEvents, dependencyCancelEvent(u.job, dependency))
}

// cancellationOnly returns the proposal for a job of a shard that another controller owns. This
// controller may write only a user's cancellation, without changing the assignments. The result is nil
// if there is no cancellation.
func (u *recordUpdate) cancellationOnly() *proposal {
	if !u.proposal.isCancellation {
		return nil
	}
	u.proposal.assignments = u.job.assignments
	return u.proposal
}

// moveToOwnKey moves the record out of its slot if it did not fit there, or if the slot is nearly full
// and enough write tokens are unused. It also causes a rewrite of a record that an older schema version
// stored longer than the value limit.
func (u *recordUpdate) moveToOwnKey() {
	c, target := u.core, u.job
	limiter := &c.transactions.rateLimit
	crowded := limiter.WriteTokens >= crowdedSlotWriteShare*limiter.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		c.replica.slots.at(slotNumber(target.id, target.record)).IsNearlyFull(c.cfg.Store.maxSlotBytes())
	moved := (target.stored.needsOwnKey || crowded) && c.replica.slots.currentEntry(target.id, target.record) != nil
	u.proposal.wantsOwnKey = target.stored.needsOwnKey || moved
	if moved || target.stored.bytes > c.cfg.Store.MaxValueBytes && c.schema.active >= schemaDependencies {
		u.changed = true
	}
}

// recordOutcomes separates ended assignments from the remaining ones, and records completions and
// failures.
func (u *recordUpdate) recordOutcomes() {
	var stopped []jobrecord.StopReason
	for _, assignment := range u.job.assignments {
		ended, cause := u.core.attemptOutcome(u.job, assignment)
		if !ended {
			u.proposal.assignments = append(u.proposal.assignments, assignment)
			continue
		}
		if cause == causeNotStarted {
			u.core.logAbsenceProof(u.job, assignment)
		}
		u.changed = true
		u.proposal.ended = append(u.proposal.ended, assignment)
		if cause == wire.CauseDone && u.record.Stage == jobrecord.Queued {
			u.record.CompletedTasks = u.record.CompletedTasks.Add(int(assignment.Task))
			u.job.placement.failures = 0
			continue
		}
		u.urgent = true
		if u.record.Stage == jobrecord.Queued {
			stopped = append(stopped, u.recordStop(assignment, cause))
		}
	}
	u.proposal.auditEvents = append(u.proposal.auditEvents, taskStopEvents(u.job.id, stopped)...)
}

// recordStop records that an attempt of a queued job ended without completing its task. If the agent
// only reports that the attempt was stopped, the cause is the reason of the stop command.
func (u *recordUpdate) recordStop(assignment jobrecord.Assignment, cause string) jobrecord.StopReason {
	c, host := u.core, u.core.machines[assignment.Machine]
	attempt := host.commands.attempts[attemptKey{u.job.index, assignment.Task, assignment.Attempt}]
	if attempt != nil && attempt.stopReason != "" && cause == wire.CauseStopped {
		cause = attempt.stopReason
	}
	reason := jobrecord.StopReason{
		Task:    int(assignment.Task),
		Machine: host.name,
		Cause:   cause,
		AtMS:    c.unixMS(),
	}
	u.record.AddStopReason(reason)
	c.handleTaskFailure(u.job, host, cause, assignment, failsEverywhere(u.record, c.unixMS()))
	return reason
}

// completeOrPlace reduces the record to its final form once the job has ended, and assigns waiting
// tasks otherwise. A nonzero retryAt is the time to try placement again.
func (u *recordUpdate) completeOrPlace() (retryAt time.Duration) {
	switch {
	case u.record.Stage == jobrecord.Cancelled && len(u.proposal.assignments) == 0:
		u.finishCancelled()
	case u.record.Stage == jobrecord.Queued && u.record.CompletedTasks.Count() == u.record.Spec.Tasks:
		u.finishDone()
	case u.record.Stage == jobrecord.Queued && u.job.unmetDependencies == 0:
		return u.placeTasks()
	}
	return 0
}

// finishCancelled reduces the record of a cancelled job that has no tasks on machines to its final form.
func (u *recordUpdate) finishCancelled() {
	*u.record = jobrecord.Record{
		Shard:          u.record.Shard,
		Stage:          jobrecord.Cancelled,
		CompletedTasks: u.record.CompletedTasks,
		StopReasons:    u.record.StopReasons,
		CancelledByJob: u.record.CancelledByJob,
		PendingAudit:   u.record.PendingAudit,
	}
	u.core.keepPermissionFields(u.record, u.proposal.spec)
	u.changed = true
}

// finishDone reduces the record of a job whose tasks have all completed to its final form.
func (u *recordUpdate) finishDone() {
	c, record := u.core, u.record
	c.log(LevelDebug, "job done", "job", u.job.id, "class", record.Spec.Class,
		"team", record.Spec.Team, "tasks", record.Spec.Tasks, "tries", record.LastAttempt,
		"estimate_s", record.Spec.EstimatedRuntimeMS/1000,
		"took_ms", c.unixMS()-record.AcceptedAtMS,
		"placed_ms", u.job.placedAfterMS(), "why", record.StopReasons)
	*record = jobrecord.Record{
		Shard:          record.Shard,
		Stage:          jobrecord.Done,
		CompletedTasks: jobrecord.TaskSet{0, record.Spec.Tasks - 1},
		PendingAudit:   record.PendingAudit,
	}
	c.keepPermissionFields(record, u.proposal.spec)
	u.changed, u.urgent = true, true
}

// placeTasks assigns waiting tasks of the job to machines as far as there is capacity.
func (u *recordUpdate) placeTasks() (retryAt time.Duration) {
	c, p, record := u.core, u.proposal, u.record
	before := len(p.assignments)
	retryAt = c.assignTasks(p, u.builder)
	if len(p.assignments) == before {
		return retryAt
	}
	p.startsOnly = !u.changed
	u.changed, u.urgent = true, true
	c.log(LevelDebug, "tasks placed after acceptance", "job", u.job.id, "class", record.Spec.Class,
		"tasks", len(p.assignments)-before,
		"after_ms", c.unixMS()-record.AcceptedAtMS, "tries", record.LastAttempt,
		"spread", record.Spec.Spread, "why", record.StopReasons)
	return retryAt
}

// batchingDeadline returns until when the write may wait to be shared with other task completions, or 0
// if it must not wait. Waiting gains nothing if this transaction writes the job's slot anyway.
func (u *recordUpdate) batchingDeadline() time.Duration {
	if u.urgent || u.builder.slotDrafts[slotNumber(u.job.id, u.job.record)] != nil {
		return 0
	}
	return u.job.write.dirtySince + u.core.transactions.completionBatchDelay
}

// keepPermissionFields keeps the fields that read permissions depend on in the record of an ended job.
func (c *Core) keepPermissionFields(record *jobrecord.Record, spec *wire.JobSpec) {
	if c.permissions.isInForce() {
		record.Team, record.Class = spec.Team, spec.Class
	}
}

// lookUpArchived looks up a new job and its dependencies among the archived jobs, because an ID must not
// be accepted twice and a dependency may have ended long ago. A nonzero retryAt is the time to examine
// the job again.
func (c *Core) lookUpArchived(target *job) (retryAt time.Duration) {
	submission := target.submission
	if submission.lookupInFlight {
		return c.now + lockedRetryDelay
	}
	submission.lookupInFlight = true
	c.lookUpJobs(append([]string{target.id}, submission.spec.Dependencies...), func(ok bool) {
		if target.submission != submission {
			return
		}
		submission.lookupInFlight, submission.lookupDone = false, true
		if !ok && target.revision == 0 {
			c.completeSubmission(target, wire.StatusUnavailable, reasonHistoryUnreadable)
		}
		c.markDirty(target)
	})
	if target.submission == nil {
		return 0
	}
	return c.now + lockedRetryDelay
}

// attemptOutcome reports whether the attempt of an assignment has ended, and why.
func (c *Core) attemptOutcome(target *job, assignment jobrecord.Assignment) (ended bool, cause string) {
	host := c.machines[assignment.Machine]
	switch {
	case host.lifecycle.gone:
		return true, causeMachineGone
	case host.status.incarnation > assignment.Incarnation:
		return true, causeLeaseLost
	case host.status.incarnation < assignment.Incarnation || !host.status.reported:
		return false, ""
	}
	key := attemptKey{target.index, assignment.Task, assignment.Attempt}
	if status, ok := host.status.tasks[key]; ok {
		return status.state == wire.TaskExited, status.cause
	}
	// If the newest heartbeat does not list the attempt, that proves that it is not running only if no
	// start command can be executed any more. This is used only for final jobs: the tasks of other jobs are
	// to be started anyway.
	if target.isFinal() && c.areStartsFenced(host, target, key, host.status.fencingToken) {
		return true, causeNotStarted
	}
	return false, ""
}

// maxAssignedTasks returns the limit on simultaneously assigned tasks of a job, so that its record is
// likely to fit a stored value. It is an estimate; encodeWithinLimit enforces the size limit.
func (c *Core) maxAssignedTasks() int {
	if c.schema.active >= schemaDependencies {
		return max(minAssignedTaskLimit, c.cfg.Store.MaxValueBytes/packedTaskBytes)
	}
	return max(minAssignedTaskLimit, (c.cfg.Store.MaxValueBytes-unpackedRecordAllowance)/unpackedTaskBytes)
}

// handleTaskFailure backs off from a job or a machine after an attempt failed, once per attempt.
// jobAtFault means that the job fails on every machine, so the failure says nothing about this machine.
func (c *Core) handleTaskFailure(
	target *job, host *machine, cause string, assignment jobrecord.Assignment, jobAtFault bool,
) {
	attempt := host.commands.attempts[attemptKey{target.index, assignment.Task, assignment.Attempt}]
	if attempt == nil || attempt.failureCounted {
		return
	}
	attempt.failureCounted = true
	switch cause {
	case wire.CauseNoCapacity, wire.CauseBusy:
		c.Stats.StartRefusals++
		host.health.avoidUntil = c.now + startRefusalCooldown
		c.placement.capacityFreed = true
	case wire.CauseError:
		// A job with an error in its specification fails on every machine, so the job backs off. A
		// machine on which different jobs fail is faulty.
		target.placement.backOffAfterFailure(c.now)
		if jobAtFault { // if counted against machines, one such job blocked a tenth of a fleet for all work
			return
		}
		host.health.failures++
		host.health.avoidUntil = c.now +
			time.Duration(min(host.health.failures, maxCountedMachineFailures))*machineFailureCooldown
	case wire.CauseNoSuchTask:
		target.placement.backoffUntil = c.now + startRefusalCooldown
	}
}
