package core

import (
	"fmt"
	"slices"
	"time"

	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Causes of the end of an attempt that a controller infers itself; those that agents report are in
// package wire. They are stored in job records and shown to users, so their values must not change.
const (
	causeMachineGone = "machine gone"
	causeLeaseLost   = "machine lost its lease"
	causeNotStarted  = "not started"
)

const (
	// startRefusalCooldown is how long a machine that refused a start gets no new tasks, and how long
	// a job whose command a machine does not know is not placed.
	startRefusalCooldown = 2 * time.Second

	// machineFailureCooldown is how long a machine gets no new tasks, for each task that failed on it
	// in a row, counted up to maxCountedMachineFailures.
	machineFailureCooldown    = 5 * time.Second
	maxCountedMachineFailures = 6

	// crowdedSlotWriteShare is the share of the write burst that must be unused before records are
	// moved out of a nearly full slot: the move is housekeeping and must not delay other writes.
	crowdedSlotWriteShare = 0.9
)

// Bounds of the tasks of a job that are assigned at one time, from the size of their encoding.
const (
	minAssignedTaskLimit    = 8    // tasks; applies however small the value limit is
	packedTaskBytes         = 3    // of a task in the packed encoding: about 2, with reserve
	unpackedTaskBytes       = 12   // of a task in the encoding of older schema versions
	unpackedRecordAllowance = 1024 // bytes, for the rest of a record in that encoding
)

// proposal is the next record of a job. It takes effect only once its transaction is committed.
type proposal struct {
	job              *job
	record           *jobrecord.Record
	spec             *wire.JobSpec // set even if the record is final and has none
	assignments      []jobrecord.Assignment
	started          []jobrecord.Assignment
	ended            []jobrecord.Assignment
	encodedSize      int // bytes of the record as written
	isAcceptance     bool
	isCancellation   bool
	completionsOnly  bool             // it only records ends of tasks
	startsOnly       bool             // it only starts tasks
	slotIndex        int              // slot of a job that existed before
	inSlot           bool             // the record is written into its slot
	wantsOwnKey      bool             // the record is to be written to a key of its own
	auditEvents      []auditlog.Event // to be recorded with the write
	userCancelEvents int              // how many of auditActs, the first, are cancellations by users
	auditEntryIDs    []uint64         // of the audit log entries of auditActs
	// compares are the preconditions of the write beside the record's own: a new job has not been
	// archived, and its submitter still has the permission.
	compares []wire.Compare
}

// proposeRecord computes the next record of a job from the current state; nil if nothing changes.
// A nonzero again is when the job must be examined once more even if nothing new arrives.
func (c *Core) proposeRecord(target *job, builder *txnBuilder) (p *proposal, again time.Duration) {
	if target.revision == 0 {
		return c.proposeAcceptance(target, builder)
	}
	if target.record == nil || target.record.Spec == nil {
		c.completeCancellations(target)
		return nil, 0
	}
	return c.proposeUpdate(target, builder)
}

// proposeAcceptance proposes the first record of a submitted job, with its first tasks if those can
// be placed at once. A submission whose dependency is cancelled is accepted as cancelled.
func (c *Core) proposeAcceptance(target *job, builder *txnBuilder) (p *proposal, again time.Duration) {
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
	spec.Dependencies = unmet // those that are done need not be stored
	if len(unmet) > 0 || !c.ownership.ownsShard(p.record.Shard) {
		return p, 0
	}
	// The first tasks are placed with the acceptance if that does not delay the user: a team's key
	// may be locked, or written by others so often that the write fails.
	if c.isTeamLocked(&spec) && c.now < submission.receivedAt+2*lockedRetryDelay {
		return nil, c.now + lockedRetryDelay
	}
	if !submission.writeFailed && !c.priority.hasEarlierWaiting(&spec) {
		c.assignTasks(p, builder)
	}
	return p, 0
}

// newAcceptance is the proposal that accepts a submission as queued, without tasks.
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

// acceptAsCancelled turns an acceptance into that of a job which is cancelled because a job that it
// depends on is.
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

// dependencyCancelEvent is the audit event of a cancellation that follows from another job's.
func dependencyCancelEvent(target, dependency *job) auditlog.Event {
	return auditlog.Event{Verb: "cancel", Object: target.id, Reason: "needs " + dependency.id}
}

// isTeamLocked reports whether the quota of a job's team can't be charged now, as another write of
// the team's usage is in flight.
func (c *Core) isTeamLocked(spec *wire.JobSpec) bool {
	t := c.teams.of(spec)
	return t != nil && t.hasMaxQuota() && t.locked
}

// recordUpdate is the state of one run of proposeUpdate. Its methods are the stages of that run.
type recordUpdate struct {
	core     *Core
	job      *job
	builder  *txnBuilder
	proposal *proposal
	record   *jobrecord.Record // the proposed one; proposal.record points to it too
	changed  bool              // the proposed record differs from the stored one
	urgent   bool              // the write must not be delayed to share one with other ends of tasks
}

// proposeUpdate proposes the next record of an accepted job that is not yet final in the store.
func (c *Core) proposeUpdate(target *job, builder *txnBuilder) (p *proposal, again time.Duration) {
	update := c.newRecordUpdate(target, builder)
	update.cancelForUsers()
	update.cancelWithDependency()
	if !c.ownership.ownsJob(target) {
		return update.cancellationOnly(), 0
	}
	update.moveToOwnKey()
	update.recordOutcomes()
	again = update.completeOrPlace()
	if !update.changed {
		return nil, again
	}
	if due := update.batchingDeadline(); c.now < due {
		target.write.waitsForTaskEnds = true
		if again == 0 {
			again = due
		}
		return nil, min(again, due)
	}
	update.proposal.completionsOnly = !update.urgent
	return update.proposal, 0
}

// newRecordUpdate starts from a copy of a job's record, so that the adopted one stays as it is
// until the write is committed.
func (c *Core) newRecordUpdate(target *job, builder *txnBuilder) recordUpdate {
	target.write.waitsForTaskEnds = false
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

// cancelForUsers cancels a queued job for those who asked for that and still have the permission.
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

// cancelWithDependency cancels a queued job because one that it depends on is cancelled.
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

// cancellationOnly is the proposal for a job of a shard that another controller owns: only a user's
// cancellation may be written here, and the assignments stay as they are. It is nil otherwise.
func (u *recordUpdate) cancellationOnly() *proposal {
	if !u.proposal.isCancellation {
		return nil
	}
	u.proposal.assignments = u.job.assignments
	return u.proposal
}

// moveToOwnKey moves the record out of its slot if it did not fit there, or if the slot is nearly
// full and there are writes to spare. It also has a record rewritten that an older schema version
// left longer than the value limit.
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

// recordOutcomes separates the assignments whose attempts have ended from those that remain, and
// records completions and failures.
func (u *recordUpdate) recordOutcomes() {
	var stopped []jobrecord.StopReason
	for _, assignment := range u.job.assignments {
		ended, cause := u.core.attemptOutcome(u.job, assignment)
		if !ended {
			u.proposal.assignments = append(u.proposal.assignments, assignment)
			continue
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

// recordStop records that an attempt of a queued job ended without completing its task. Where the
// agent only reports that the attempt was stopped, the cause is that of the stop command.
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

// completeOrPlace reduces the record to its final form once no more of the job is to be done, and
// assigns waiting tasks otherwise. A nonzero again is when placement must be tried once more.
func (u *recordUpdate) completeOrPlace() (again time.Duration) {
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

// finishCancelled reduces the record of a cancelled job without tasks on machines.
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

// finishDone reduces the record of a job whose tasks have all completed.
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

// placeTasks assigns waiting tasks of the job to machines, as far as there is capacity.
func (u *recordUpdate) placeTasks() (again time.Duration) {
	c, p, record := u.core, u.proposal, u.record
	before := len(p.assignments)
	again = c.assignTasks(p, u.builder)
	if len(p.assignments) == before {
		return again
	}
	p.startsOnly = !u.changed
	u.changed, u.urgent = true, true
	c.log(LevelDebug, "tasks placed late", "job", u.job.id, "class", record.Spec.Class,
		"tasks", len(p.assignments)-before,
		"after_ms", c.unixMS()-record.AcceptedAtMS, "tries", record.LastAttempt,
		"spread", record.Spec.Spread, "why", record.StopReasons)
	return again
}

// batchingDeadline is until when the write may wait so that more ends of tasks share it; 0 if it
// must not wait. Nothing is gained by waiting if the job's slot is written by this transaction anyway.
func (u *recordUpdate) batchingDeadline() time.Duration {
	if u.urgent || u.builder.slotDrafts[slotNumber(u.job.id, u.job.record)] != nil {
		return 0
	}
	return u.job.write.dirtySince + u.core.transactions.endBatchDelay
}

// keepPermissionFields keeps in the record of an ended job the fields that permissions to read it
// depend on.
func (c *Core) keepPermissionFields(record *jobrecord.Record, spec *wire.JobSpec) {
	if c.permissions.isInForce() {
		record.Team, record.Class = spec.Team, spec.Class
	}
}

// lookUpArchived looks up a new job and its dependencies among the archived jobs: an id must not be
// accepted twice, and a dependency may have ended long ago. A nonzero again is when the job must be
// examined once more.
func (c *Core) lookUpArchived(target *job) (again time.Duration) {
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

// attemptOutcome reports whether the attempt of an assignment has ended, and the cause.
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
	// Absence from the newest heartbeat proves that the attempt is not running only if no start
	// command can still arrive. It is used only for final jobs: others are to be started.
	if target.isFinal() && c.noStartPending(host, target, key) {
		return true, causeNotStarted
	}
	return false, ""
}

// noStartPending reports whether no start command of an attempt can still reach its machine: each
// one of this controller was answered, or is fenced off by a higher fencing token that the machine
// has accepted, and so are those of former owners of the shard.
func (c *Core) noStartPending(host *machine, target *job, key attemptKey) bool {
	shard := c.ownership.shardOf(target)
	if !c.ownership.ownsShard(shard) || host.status.fencingToken < c.ownership.shards[shard].FencingToken {
		return false
	}
	attempt := host.commands.attempts[key]
	return attempt == nil || !attempt.startInFlight &&
		(attempt.maxUnansweredToken == 0 || host.status.fencingToken > attempt.maxUnansweredToken)
}

// maxAssignedTasks bounds the tasks of a job that are assigned at one time, so that its record
// should fit a stored value. It is an estimate: encodeWithinLimit enforces the limit.
func (c *Core) maxAssignedTasks() int {
	if c.schema.active >= schemaDependencies {
		return max(minAssignedTaskLimit, c.cfg.Store.MaxValueBytes/packedTaskBytes)
	}
	return max(minAssignedTaskLimit, (c.cfg.Store.MaxValueBytes-unpackedRecordAllowance)/unpackedTaskBytes)
}

// handleTaskFailure backs off from a job or a machine after an attempt failed, once for each
// attempt. With jobAtFault the job fails wherever it is started, so its failure is no evidence
// against the machine.
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
		// A job with a mistake in its description fails everywhere: back off from the job. A
		// machine on which different jobs fail is faulty.
		target.placement.backOffAfterFailure(c.now)
		if jobAtFault { // counted against machines, one such job kept a tenth of a fleet from all work
			return
		}
		host.health.failures++
		host.health.avoidUntil = c.now +
			time.Duration(min(host.health.failures, maxCountedMachineFailures))*machineFailureCooldown
	case wire.CauseNoSuchTask:
		target.placement.backoffUntil = c.now + startRefusalCooldown
	}
}
