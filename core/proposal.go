package core

import (
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"fmt"
	"slices"
	"time"
)

// proposal is a job's next record, to be adopted once it is committed.
type proposal struct {
	job             *job
	record          *jobrecord.Record
	spec            *wire.JobSpec // also there when the record is final
	assignments     []jobrecord.Assignment
	started         []jobrecord.Assignment
	ended           []jobrecord.Assignment
	encodedSize     int // of the record, as it is written
	isAcceptance    bool
	isCancellation  bool
	completionsOnly bool             // it only tells of ends
	startsOnly      bool             // it only starts tasks
	slotIndex       int              // of a job that was there before
	inSlot          bool             // it is in its slot
	wantsOwnKey     bool             // it is to have its own key
	auditActs       []auditlog.Event // to be recorded
	userCancelActs  int              // how many of them, the first, are cancellations that users asked for
	auditEntryIDs   []uint64         // of their entries
	compares        []wire.Compare   // under which a new job can't have been archived, and its user still may
}

// proposeRecord works out a job's next record from what is known; nil if nothing changes.
// again, if set, is when to look again although nothing new was heard.
func (c *Core) proposeRecord(j *job, b *txnBuilder) (p *proposal, again time.Duration) {
	if j.revision == 0 {
		unless, ok := c.notArchivedCompare(j.id)
		spec := j.submission.spec
		_, unknown, _ := c.findUnmetDependencies(&spec)
		if !ok || unknown != "" || j.submission.writeFailed && c.history.coldRecords > 0 && !j.submission.lookupDone {
			return nil, c.lookUpArchived(j)
		}
		if d := c.authorize(j.submission.caller, submitAction(&spec)); !d.Allowed {
			c.completeSubmission(j, wire.StatusForbidden, d.Reason)
			return nil, 0
		}
		s := c.pickShard()
		lane := ""
		if c.priority.revision != 0 && c.schemaVersion() >= schemaPriorityClasses {
			lane = c.priority.classes.Name(c.priority.classes.Classify(&spec))
		}
		rec := &jobrecord.Record{
			PriorityClass: lane,
			Shard:         s,
			Spec:          &spec,
			AcceptedAtMS:  j.submission.submittedMS,
			Submitter:     j.submission.caller.Identity,
		}
		p = &proposal{
			job:          j,
			record:       rec,
			spec:         rec.Spec,
			isAcceptance: true,
			compares:     append(c.permissionCompares(j.submission.caller), unless),
			auditActs: []auditlog.Event{
				newAuditEvent(
					j.submission.caller,
					"submit",
					j.id,
					fmt.Sprintf("%s %s %s", spec.Team, spec.Class, wire.PriorityName(spec.Priority)),
				),
			},
		}
		left, _, cancelled := c.findUnmetDependencies(&spec)
		if cancelled != nil {
			p.record = &jobrecord.Record{
				Shard:          s,
				Stage:          jobrecord.Cancelled,
				CancelledAtMS:  c.unixMS(),
				CancelledByJob: cancelled.id,
			}
			c.keepPermissionFields(p.record, &spec)
			p.auditActs = append(
				p.auditActs,
				auditlog.Event{Verb: "cancel", Object: j.id, Reason: "needs " + cancelled.id},
			)
			return p, 0
		}
		spec.Dependencies = left // what is over needs no keeping
		// Its tasks are placed with the same write if that costs its user no time: a team's key may
		// be locked, or written by others so often that the write fails.
		if t := c.teamOf(&spec); t != nil && t.hasMaxQuota() && t.locked && len(left) == 0 && c.ownsShard(s) &&
			c.now < j.submission.receivedAt+2*lockedRetryDelay {
			return nil, c.now + lockedRetryDelay
		}
		if !j.submission.writeFailed && c.ownsShard(s) && len(left) == 0 && !c.hasEarlierWaiting(&spec) {
			c.assignTasks(p, b)
		}
		return p, 0
	}
	if j.record == nil || j.record.Spec == nil {
		c.completeCancellations(j)
		return nil, 0
	}
	j.write.waitsForEnds = false
	rec := *j.record
	rec.StopReasons = slices.Clone(j.record.StopReasons)
	if c.schemaVersion() >= schemaPriorityClasses {
		rec.EnqueueRevision = j.queue.enqueueRevision
	}
	p = &proposal{job: j, record: &rec, spec: j.record.Spec}
	if len(j.cancellation.waiters) > 0 && rec.Stage == jobrecord.Queued {
		p.compares = c.dropUnauthorizedCancellations(j)
	}
	if len(j.cancellation.waiters) > 0 && rec.Stage == jobrecord.Queued {
		p.isCancellation = true
		rec.Stage = jobrecord.Cancelled
		rec.CancelledAtMS = j.cancellation.requestedMS
		for _, x := range j.cancellation.waiters {
			if a := newAuditEvent(x.caller, "cancel", j.id, ""); !slices.Contains(p.auditActs, a) {
				p.auditActs = append(p.auditActs, a)
			}
		}
		p.userCancelActs = len(p.auditActs)
	}
	ended := j.cancelledBy != nil && rec.Stage == jobrecord.Queued // with a job that it needs
	if ended {
		rec.Stage, rec.CancelledByJob, rec.CancelledAtMS = jobrecord.Cancelled, j.cancelledBy.id, c.unixMS()
		p.auditActs = append(
			p.auditActs,
			auditlog.Event{Verb: "cancel", Object: j.id, Reason: "needs " + j.cancelledBy.id},
		)
	}
	if !c.ownsJob(j) {
		if !p.isCancellation {
			return nil, 0
		}
		p.assignments = j.assignments
		return p, 0
	}
	// Where changes are left over, a full slot is made roomy again.
	crowded := c.transactions.rateLimit.WriteTokens >= 0.9*c.transactions.rateLimit.WriteBurst(c.cfg.Store.MaxTxnOps) &&
		c.slotState(c.slotNumber(j.id, j.record)).IsNearlyFull(c.maxSlotBytes())
	overlaid := (j.stored.needsOwnKey || crowded) && c.currentSlotEntry(j.id, j.record) != nil
	p.wantsOwnKey = j.stored.needsOwnKey || overlaid
	changed := overlaid || p.isCancellation || ended ||
		j.stored.bytes > c.cfg.Store.MaxValueBytes && c.schemaVersion() >= schemaDependencies
	quick := p.isCancellation
	var stopped []jobrecord.StopReason
	for _, a := range j.assignments {
		ended, cause := c.attemptOutcome(j, a)
		if !ended {
			p.assignments = append(p.assignments, a)
			continue
		}
		changed = true
		p.ended = append(p.ended, a)
		if cause == wire.CauseDone && rec.Stage == jobrecord.Queued {
			rec.CompletedTasks = rec.CompletedTasks.Add(int(a.Task))
			j.placement.failures = 0
			continue
		}
		quick = true
		m := c.machines[a.Machine]
		if rec.Stage == jobrecord.Queued {
			if t := m.commands.attempts[attemptKey{j.index, a.Task, a.Attempt}]; t != nil && t.stopReason != "" &&
				cause == wire.CauseStopped {
				cause = t.stopReason
			}
			stopped = append(
				stopped,
				jobrecord.StopReason{Task: int(a.Task), Machine: m.name, Cause: cause, AtMS: c.unixMS()},
			)
			rec.AddStopReason(stopped[len(stopped)-1])
			c.handleTaskFailure(j, m, cause, a, failsEverywhere(&rec, c.unixMS()))
		}
	}
	p.auditActs = append(p.auditActs, taskStopEvents(j.id, stopped)...)
	switch {
	case rec.Stage == jobrecord.Cancelled && len(p.assignments) == 0:
		rec = jobrecord.Record{
			Shard:          rec.Shard,
			Stage:          jobrecord.Cancelled,
			CompletedTasks: rec.CompletedTasks,
			StopReasons:    rec.StopReasons,
			CancelledByJob: rec.CancelledByJob,
			PendingAudit:   rec.PendingAudit,
		}
		c.keepPermissionFields(&rec, p.spec)
		changed = true
	case rec.Stage == jobrecord.Queued && rec.CompletedTasks.Count() == rec.Spec.Tasks:
		c.log(
			LevelDebug,
			"job done",
			"job",
			j.id,
			"class",
			rec.Spec.Class,
			"team",
			rec.Spec.Team,
			"tasks",
			rec.Spec.Tasks,
			"tries",
			rec.LastAttempt,
			"estimate_s",
			rec.Spec.EstimatedRuntimeMS/1000,
			"took_ms",
			c.unixMS()-rec.AcceptedAtMS,
			"placed_ms",
			j.placement.lastPlacedMS-rec.AcceptedAtMS,
			"why",
			rec.StopReasons,
		)
		rec = jobrecord.Record{
			Shard:          rec.Shard,
			Stage:          jobrecord.Done,
			CompletedTasks: jobrecord.TaskSet{0, rec.Spec.Tasks - 1},
			PendingAudit:   rec.PendingAudit,
		}
		c.keepPermissionFields(&rec, p.spec)
		changed, quick = true, true
	case rec.Stage == jobrecord.Queued && j.unmetDependencies == 0:
		before := len(p.assignments)
		again = c.assignTasks(p, b)
		if len(p.assignments) > before {
			p.startsOnly = !changed
			changed, quick = true, true
			j.placement.lastPlacedMS = c.unixMS()
			c.log(
				LevelDebug,
				"tasks placed late",
				"job",
				j.id,
				"class",
				rec.Spec.Class,
				"tasks",
				len(p.assignments)-before,
				"after_ms",
				j.placement.lastPlacedMS-rec.AcceptedAtMS,
				"tries",
				rec.LastAttempt,
				"spread",
				rec.Spec.Spread,
				"why",
				rec.StopReasons,
			)
		}
	}
	if !changed {
		return nil, again
	}
	// Completions alone may wait a little, to share a write.
	if due := j.write.dirtySince + c.transactions.endBatchDelay; !quick && c.now < due &&
		b.slotDrafts[c.slotNumber(j.id, j.record)] == nil {
		j.write.waitsForEnds = true
		if again == 0 {
			again = due
		}
		return nil, min(again, due)
	}
	p.completionsOnly = !quick
	return p, 0
}

// keepPermissionFields keeps in an ended job's record what its readers' rights depend on.
func (c *Core) keepPermissionFields(r *jobrecord.Record, s *wire.JobSpec) {
	if c.permissionsInForce() {
		r.Team, r.Class = s.Team, s.Class
	}
}

// lookUpArchived looks for a new job, and for those that it awaits, among the jobs that ended long ago. It
// tells when another look is due, if set.
func (c *Core) lookUpArchived(j *job) (again time.Duration) {
	a := j.submission
	if a.lookupInFlight {
		return c.now + lockedRetryDelay
	}
	a.lookupInFlight = true
	c.lookUpJobs(append([]string{j.id}, a.spec.Dependencies...), func(ok bool) {
		if j.submission != a {
			return
		}
		a.lookupInFlight, a.lookupDone = false, true
		if !ok && j.revision == 0 {
			c.completeSubmission(j, wire.StatusUnavailable, reasonHistoryUnreadable)
		}
		c.markDirty(j)
	})
	if j.submission == nil {
		return 0
	}
	return c.now + lockedRetryDelay
}

// attemptOutcome tells whether a task's assignment has ended, with its cause.
func (c *Core) attemptOutcome(j *job, a jobrecord.Assignment) (ended bool, cause string) {
	m := c.machines[a.Machine]
	switch {
	case m.lifecycle.gone:
		return true, "machine gone"
	case m.status.incarnation > a.Incarnation:
		return true, "machine lost its lease"
	case m.status.incarnation < a.Incarnation || !m.status.reported:
		return false, ""
	}
	k := attemptKey{j.index, a.Task, a.Attempt}
	p, ok := m.status.tasks[k]
	if ok {
		return p.state == wire.TaskExited, p.cause
	}
	// Absent from the newest report: that is proof only if no order for it can still come,
	// and of use only if it is not to be started any more.
	if j.isFinal() && c.noStartPending(m, j, k) {
		return true, "not started"
	}
	return false, ""
}

// noStartPending reports whether no start of an attempt can still be on its way to its machine:
// every one of ours was answered or fenced off by a higher token that the machine has seen,
// and so were those of former owners.
func (c *Core) noStartPending(m *machine, j *job, k attemptKey) bool {
	s := c.shardOf(j)
	if !c.ownsShard(s) || m.status.fencingToken < c.ownership.shards[s].FencingToken {
		return false
	}
	t := m.commands.attempts[k]
	return t == nil || !t.startInFlight && (t.maxUnansweredToken == 0 || m.status.fencingToken > t.maxUnansweredToken)
}

// maxAssignedTasks bounds the tasks of a job assigned at one time, so that its record fits a value;
// fitValue sees to the rest.
func (c *Core) maxAssignedTasks() int {
	if c.schemaVersion() >= schemaDependencies {
		return max(8, c.cfg.Store.MaxValueBytes/3) // a packed task takes about two bytes
	}
	return max(8, (c.cfg.Store.MaxValueBytes-1024)/12)
}

// handleTaskFailure draws conclusions from a task's failure.
func (c *Core) handleTaskFailure(j *job, m *machine, cause string, a jobrecord.Assignment, mistaken bool) {
	t := m.commands.attempts[attemptKey{j.index, a.Task, a.Attempt}]
	if t == nil || t.failureCounted {
		return
	}
	t.failureCounted = true
	switch cause {
	case wire.CauseNoCapacity, wire.CauseBusy:
		c.Stats.StartRefusals++
		m.health.avoidUntil = c.now + 2*time.Second
		c.placement.capacityFreed = true
	case wire.CauseError:
		// A job that was submitted with a mistake fails everywhere: back off. A machine
		// on which different jobs fail is faulty.
		j.placement.failures++
		if j.placement.failures > 2 {
			j.placement.backoffUntil = c.now + min(30*time.Second, time.Second<<min(j.placement.failures-3, 5))
		}
		if mistaken { // of the machine it says nothing: one such job kept a tenth of a fleet from all work
			return
		}
		m.health.failures++
		m.health.avoidUntil = c.now + time.Duration(min(m.health.failures, 6))*5*time.Second
	case wire.CauseNoSuchTask:
		j.placement.backoffUntil = c.now + 2*time.Second
	}
}
