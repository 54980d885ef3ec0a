package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/audit"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// job is what this controller knows of one job: its stored record, and its volatile state in this process.
type job struct {
	index       int32  // index in jobTable.jobs
	id          string // as submitted
	revision    uint64 // revision of the record; 0: the job is not known to exist
	record      *jobrecord.Record
	assignments []jobrecord.Assignment

	submission *pendingSubmission // nil: no submission waits to be accepted

	jobDependencies

	stored       storedRecord
	write        jobWrite
	cancellation jobCancellation
	ack          cancelAck
	queue        jobQueueState
	placement    jobPlacement
	archive      jobArchiveState
}

// storedRecord describes how a job's record is stored in the key-value store.
type storedRecord struct {
	bytes            int    // size of the record as stored
	needsOwnKey      bool   // it did not fit its slot: the next write uses the job's own key
	lastSnapshotLoad uint64 // number of the last snapshot load that contained the record
}

// jobWrite is the state of examining a job for a new record, and of the write in flight.
type jobWrite struct {
	inFlight            bool
	outcomeUnknown      bool          // a read barrier is determining the outcome of the last write
	dirty               bool          // the job must be examined
	inOpenList          bool          // it is in jobTable.openJobs
	openNumber          uint64        // position in the order of jobTable.openJobs
	inExamineList       bool          // it is in jobTable.jobsToExamine
	dirtySince          time.Duration // when it became dirty
	nextExamineAt       time.Duration // it is not examined before, even if it is dirty
	separateTxn         bool          // it gets a transaction of its own, because one with other jobs was refused
	refusals            int           // consecutive refusals, as malformed or too large, of writes of this job alone
	refusedUntil        time.Duration // it is not written before, after a refusal
	waitsForCompletions bool          // its next record only adds task completions, which wait to share a write
}

// jobCancellation holds the requests that wait for a job's cancellation, and its cancel marker: a small value
// in a key of its own, which is written if the cancelled record does not fit in a value.
type jobCancellation struct {
	waiters        []cancelWaiter
	requestedMS    int64         // wall-clock time of the last request, in ms
	answerBy       time.Duration // deadline of the responses to the waiters
	markerRevision uint64        // revision of the cancel marker; 0: there is none
	markerMS       int64         // wall-clock time of the cancellation by the marker, in ms
	markerAudit    []audit.PendingEntry
}

// cancelAck is the state of acknowledging a job's cancellation.
type cancelAck struct {
	allowed         bool            // the cancellation may be acknowledged to users
	heldBy          map[string]bool // controllers that have acknowledged that they hold the cancellation
	nextBroadcastAt time.Duration   // when the cancellation is next sent to the other controllers
}

// jobQueueState is the position of a job in the queue of waiting jobs.
type jobQueueState struct {
	missingReplicas int           // lost replicas of a service, as of the last scheduling pass
	enqueueRevision uint64        // revision of the acceptance, which orders the jobs of a priority class
	rank            queueRank     // rank computed last
	boostedUntil    time.Duration // until then, it ranks in the first class to enforce its own class's reserved share
}

// jobPlacement is the state of placing a job's tasks, and of the back-off after failures.
type jobPlacement struct {
	completedTasks   int           // assigned tasks that have completed according to the machines' heartbeats
	failures         int           // consecutive failures since a task of the job completed
	backoffUntil     time.Duration // no task of the job is placed before this time
	hasUnplacedTasks bool          // there are tasks to place now
	tasksLost        bool          // assigned tasks were lost and must be started again
	lastPlacedMS     int64         // wall-clock time when this controller last placed tasks, in ms; 0: never
	hasRun           bool          // a task was reported to this process as running
}

const (
	failuresBeforeBackoff = 2                // consecutive failures that are retried at once
	firstFailureBackoff   = time.Second      // doubles with each further failure
	maxFailureBackoff     = 30 * time.Second // upper bound of the back-off
	maxBackoffDoublings   = 5                // bounds the shift: 32 s already exceeds maxFailureBackoff
)

// backOffAfterFailure delays the placement of the job's tasks after one of them failed.
func (p *jobPlacement) backOffAfterFailure(now time.Duration) {
	p.failures++
	if p.failures > failuresBeforeBackoff {
		doublings := min(p.failures-failuresBeforeBackoff-1, maxBackoffDoublings)
		p.backoffUntil = now + min(maxFailureBackoff, firstFailureBackoff<<doublings)
	}
}

// placedAfterMS returns the time from the job's acceptance to its last placement by this controller, in ms; 0
// if there was none.
func (j *job) placedAfterMS() int64 {
	if j.placement.lastPlacedMS == 0 {
		return 0
	}
	return j.placement.lastPlacedMS - j.record.AcceptedAtMS
}

// jobArchiveState is the state of archiving an ended job and evicting it from memory.
type jobArchiveState struct {
	counted  bool // it is counted in history.endedJobs
	archived bool // the record is archived
	evicting bool // the job is to be evicted from memory
}

// cancelWaiter is a request for a job's cancellation. Request ID 0 means that nobody waits for a response.
type cancelWaiter struct {
	requestID uint64
	caller    Credential
}

// pendingSubmission is a submission whose acceptance is not committed yet, with all requests that repeated
// it.
type pendingSubmission struct {
	requestIDs          []uint64
	requestsBeforeWrite int // number of requestIDs that arrived before the write was sent
	caller              Credential
	spec                wire.JobSpec
	submittedMS         int64         // wall-clock time of the submission, in ms
	receivedAt          time.Duration // when it arrived at this controller
	deadline            time.Duration // when it is rejected unless it is accepted
	writeFailed         bool          // a write of the submission has failed
	refusedByStore      bool          // the store refused a write of this submission alone because of its content
	lookupInFlight      bool          // its ID and dependencies are being looked up in the archive
	lookupDone          bool          // that lookup has finished
}

// taskKey identifies a task within this process. It is never stored or sent, because job indexes are reused.
type taskKey struct{ jobIndex, task int32 }

// attemptKey identifies one attempt of a task within this process.
type attemptKey struct {
	jobIndex, task int32
	attempt        uint64
}

// compare orders attempts by job index, task and attempt, so that outputs don't depend on the order of map
// iteration.
func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(cmp.Compare(k.jobIndex, o.jobIndex), cmp.Compare(k.task, o.task), cmp.Compare(k.attempt, o.attempt))
}

// isFinal reports whether a job is done or cancelled. A job that depends on a cancelled one counts as
// cancelled as soon as that cancellation is written; its own record is written later.
func (j *job) isFinal() bool {
	return j.record != nil && (j.record.Stage != jobrecord.Queued || j.cancelledBy != nil)
}

// jobTable holds the jobs in memory, interned by index.
type jobTable struct {
	*environment

	jobIndex    map[string]int32
	jobs        []*job // nil at a free index
	openJobs    []*job // jobs that may have something to write or respond to
	openedCount uint64 // number of jobs ever added to openJobs

	// jobsToExamine are the open jobs that are dirty or have requests to respond to. Examining all open jobs
	// in each scheduling pass takes a tenth of the processor time while 2,000 jobs wait.
	jobsToExamine []*job

	freeIndexes []int32
}

// internJob returns the job with an ID. If there is none, it creates one that is not known to exist.
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

// dropJob removes a job from memory and frees its index.
func (t *jobTable) dropJob(dropped *job) {
	delete(t.jobIndex, dropped.id)
	t.jobs[dropped.index] = nil
	t.freeIndexes = append(t.freeIndexes, dropped.index)
}

// knownJob returns the job with an ID if its record is in memory, and nil otherwise.
func (t *jobTable) knownJob(id string) *job {
	if i, ok := t.jobIndex[id]; ok && t.jobs[i].revision != 0 {
		return t.jobs[i]
	}
	return nil
}

// markDirty makes the next scheduling pass examine a job.
func (t *jobTable) markDirty(j *job) {
	t.markDirtyKeepingDelay(j)
	j.write.nextExamineAt = 0
}

// markDirtyKeepingDelay makes a scheduling pass examine a job, but not before the time that its last
// examination set.
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

// addToExamineList makes the next scheduling pass consider an open job.
func (t *jobTable) addToExamineList(j *job) {
	if !j.write.inExamineList {
		j.write.inExamineList = true
		t.jobsToExamine = append(t.jobsToExamine, j)
	}
}

// examineJobs calls f with the jobs that are dirty or have requests to respond to, in the order of openJobs.
// It then removes the jobs from the list that are neither any more. Jobs that f adds wait for the next call.
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

// mustBeExamined reports whether a job is dirty or has requests to respond to before their deadline.
func (j *job) mustBeExamined() bool {
	return j.write.dirty || j.submission != nil || len(j.cancellation.waiters) > 0
}
