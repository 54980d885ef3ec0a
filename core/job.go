package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/audit"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// job is what this controller knows of one job: its stored record, and its volatile state here.
type job struct {
	index       int32  // in jobTable.jobs
	id          string // as submitted
	revision    uint64 // of the record; 0: the job is not known to exist
	record      *jobrecord.Record
	assignments []jobrecord.Assignment

	submission *pendingSubmission // nil: none waits to be accepted

	jobDependencies

	stored       storedRecord
	write        jobWrite
	cancellation jobCancellation
	ack          cancelAck
	queue        jobQueueState
	placement    jobPlacement
	archive      jobArchiveState
}

// storedRecord is how a job's record lies in the key-value store.
type storedRecord struct {
	bytes            int    // size of the record as stored
	needsOwnKey      bool   // it did not fit its slot: the next write goes to a key of its own
	lastSnapshotLoad uint64 // the last snapshot load that contained the record
}

// jobWrite is when a job is examined for a new record, and the write in flight.
type jobWrite struct {
	inFlight         bool
	outcomeUnknown   bool          // the outcome of the last write is being determined by a read barrier
	dirty            bool          // the job is to be examined
	inOpenList       bool          // it is in jobTable.openJobs
	openNumber       uint64        // numbers the jobs of jobTable.openJobs in their order
	inExamineList    bool          // it is in jobTable.jobsToExamine
	dirtySince       time.Duration // when it became dirty
	nextExamineAt    time.Duration // it is not examined before, although dirty
	separateTxn      bool          // it is written in a transaction of its own: one with others was refused
	refusals         int           // in a row, of writes of its own, as malformed or too large
	refusedUntil     time.Duration // after a refusal it is not written before
	waitsForTaskEnds bool          // its next record only records ends of tasks and waits to share a write
}

// jobCancellation is the users who wait for a job's cancellation, and its cancel marker: a small
// value in a key of its own, written where the cancelled record itself can't be.
type jobCancellation struct {
	waiters        []cancelWaiter
	requestedMS    int64         // time of day of the last request, in ms
	answerBy       time.Duration // until when the waiters must be answered
	markerRevision uint64        // revision of the cancel marker; 0: there is none
	markerMS       int64         // time of day of the cancellation by the marker, in ms
	markerAudit    []audit.PendingEntry
}

// cancelAck is whether a job's cancellation may be acknowledged, and which controllers hold it.
type cancelAck struct {
	allowed         bool            // users may be answered that the job is cancelled
	heldBy          map[string]bool // controllers that have acknowledged holding this cancellation
	nextBroadcastAt time.Duration   // when it is sent to the other controllers again
}

// jobQueueState is a job's position in the queue of waiting jobs.
type jobQueueState struct {
	missingReplicas int           // replicas of a service that are lost, as of the last scheduling pass
	enqueueRevision uint64        // revision of the acceptance: the position within its priority class
	rank            queueRank     // as computed last
	boostedUntil    time.Duration // until then it ranks in the first priority class, for the share of its own
}

// jobPlacement is the state of placing a job's tasks, with the back-off after failures.
type jobPlacement struct {
	completedTasks   int           // assigned tasks that have completed, by their machines' heartbeats
	failures         int           // in a row, since a task of the job completed
	backoffUntil     time.Duration // no task of the job is placed before
	hasUnplacedTasks bool          // there are tasks to place now
	tasksLost        bool          // assigned tasks were lost and must be started again
	lastPlacedMS     int64         // time of day when this controller placed tasks last, in ms; 0: it did not
	hasRun           bool          // a task was reported as running, to this process
}

const (
	failuresBeforeBackoff = 2                // in a row, that are retried at once
	firstFailureBackoff   = time.Second      // doubles with each further failure
	maxFailureBackoff     = 30 * time.Second // upper bound of the back-off
	maxBackoffDoublings   = 5                // 32 s, so already over maxFailureBackoff; bounds the shift
)

// backOffAfterFailure delays the placement of the job's tasks after one of them failed.
func (p *jobPlacement) backOffAfterFailure(now time.Duration) {
	p.failures++
	if p.failures > failuresBeforeBackoff {
		doublings := min(p.failures-failuresBeforeBackoff-1, maxBackoffDoublings)
		p.backoffUntil = now + min(maxFailureBackoff, firstFailureBackoff<<doublings)
	}
}

// placedAfterMS is how long after its acceptance tasks of the job were last placed, in ms; 0 if this
// controller has placed none.
func (j *job) placedAfterMS() int64 {
	if j.placement.lastPlacedMS == 0 {
		return 0
	}
	return j.placement.lastPlacedMS - j.record.AcceptedAtMS
}

// jobArchiveState is the eviction of an ended job from memory.
type jobArchiveState struct {
	counted  bool // among the ended jobs in memory whose records are not archived
	archived bool // the record is archived
	evicting bool // the job is to be dropped from memory
}

// cancelWaiter is a request for a job's cancellation. With request id 0 nobody waits for an answer.
type cancelWaiter struct {
	requestID uint64
	caller    Credential
}

// pendingSubmission is a submission whose acceptance is not yet committed, with all requests that
// repeated it meanwhile.
type pendingSubmission struct {
	requestIDs          []uint64
	requestsBeforeWrite int // how many of requestIDs arrived before the write was sent
	caller              Credential
	spec                wire.JobSpec
	submittedMS         int64         // time of day of the submission, in ms
	receivedAt          time.Duration // when it arrived here
	deadline            time.Duration // when it is rejected if it is not accepted by then
	writeFailed         bool          // a write of it has failed
	refusedByStore      bool          // a write of it alone was refused for what is in it
	lookupInFlight      bool          // its id and dependencies are being looked up in the archive
	lookupDone          bool          // that lookup has finished
}

// taskKey identifies a task within this process: job indexes are reused and never leave it.
type taskKey struct{ jobIndex, task int32 }

// attemptKey identifies one attempt of a task within this process.
type attemptKey struct {
	jobIndex, task int32
	attempt        uint64
}

// compare orders attempts by job index, task and attempt, for outputs that don't depend on map order.
func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(cmp.Compare(k.jobIndex, o.jobIndex), cmp.Compare(k.task, o.task), cmp.Compare(k.attempt, o.attempt))
}

// isFinal reports whether a job is done or cancelled. A job that depends on a cancelled one counts as
// cancelled from the write of that cancellation on; its own record is written later.
func (j *job) isFinal() bool {
	return j.record != nil && (j.record.Stage != jobrecord.Queued || j.cancelledBy != nil)
}

// jobTable is the jobs in memory, interned by index.
type jobTable struct {
	*environment

	jobIndex    map[string]int32
	jobs        []*job // nil: a free index
	openJobs    []*job // jobs that may have to be written or answered
	openedCount uint64 // jobs that were ever added to openJobs

	// jobsToExamine are the open jobs that are dirty or have requests to answer. Walking all open jobs in
	// each scheduling pass took a tenth of the processor time while 2,000 jobs waited.
	jobsToExamine []*job

	freeIndexes []int32
}

// internJob is the job of an id, which is created as not known to exist if there is none.
func (t *jobTable) internJob(id string) *job {
	if i, ok := t.jobIndex[id]; ok {
		return t.jobs[i]
	}
	created := &job{index: int32(len(t.jobs)), id: id}
	if free := t.freeIndexes; len(free) > 0 {
		created.index = free[len(free)-1]
		t.freeIndexes = free[:len(free)-1]
		t.jobs[created.index] = created
	} else {
		t.jobs = append(t.jobs, created)
	}
	t.jobIndex[id] = created.index
	return created
}

// dropJob drops a job from memory and frees its index.
func (t *jobTable) dropJob(dropped *job) {
	delete(t.jobIndex, dropped.id)
	t.jobs[dropped.index] = nil
	t.freeIndexes = append(t.freeIndexes, dropped.index)
}

// knownJob is the job of an id if its record is in memory; nil otherwise.
func (t *jobTable) knownJob(id string) *job {
	if i, ok := t.jobIndex[id]; ok && t.jobs[i].revision != 0 {
		return t.jobs[i]
	}
	return nil
}

// markDirty has a job examined in the next scheduling pass.
func (t *jobTable) markDirty(j *job) {
	t.markDirtyKeepingDelay(j)
	j.write.nextExamineAt = 0
}

// markDirtyKeepingDelay has a job examined again, but not before the time that its last examination
// asked for.
func (t *jobTable) markDirtyKeepingDelay(j *job) {
	if !j.write.inOpenList {
		j.write.inOpenList = true
		t.openedCount++
		j.write.openNumber = t.openedCount
		t.openJobs = append(t.openJobs, j)
	}
	t.addToExamineList(j)
	if !j.write.dirty {
		j.write.dirty = true
		j.write.dirtySince = t.now
	}
}

// addToExamineList has the next scheduling pass look at an open job.
func (t *jobTable) addToExamineList(j *job) {
	if !j.write.inExamineList {
		j.write.inExamineList = true
		t.jobsToExamine = append(t.jobsToExamine, j)
	}
}

// examineJobs calls f with the jobs that are dirty or have requests to answer, in the order of openJobs, and
// drops those from the list that are neither any more. Jobs that f adds are left to the next call.
func (t *jobTable) examineJobs(f func(j *job)) {
	slices.SortFunc(t.jobsToExamine, func(a, b *job) int {
		return cmp.Compare(a.write.openNumber, b.write.openNumber)
	})
	for _, j := range t.jobsToExamine {
		f(j)
	}
	t.jobsToExamine = slices.DeleteFunc(t.jobsToExamine, func(j *job) bool {
		j.write.inExamineList = j.mustBeExamined()
		return !j.write.inExamineList
	})
}

// mustBeExamined reports whether a job has something to write, or requests to answer in time.
func (j *job) mustBeExamined() bool {
	return j.write.dirty || j.submission != nil || len(j.cancellation.waiters) > 0
}
