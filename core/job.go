package core

import (
	"cmp"
	"dewlift/audit"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"time"
)

type job struct {
	index       int32
	id          string
	revision    uint64 // 0: not known to exist
	record      *jobrecord.Record
	assignments []jobrecord.Assignment

	submission *pendingSubmission

	jobDependencies // see awaits.go

	stored       storedRecord
	write        jobWrite
	cancellation jobCancellation
	ack          cancelAck
	queue        jobQueueState
	placement    jobPlacement
	archive      jobArchiveState
}

// storedRecord is how its record lies in the store.
type storedRecord struct {
	bytes       int    // of its record, as it is stored
	needsOwnKey bool   // its next write is to be of its own key: it did not fit its slot
	snapshot    uint64 // when all keys were read last, it was there
}

// jobWrite is when its record is looked at for a write, and the write on its way.
type jobWrite struct {
	inFlight       bool
	outcomeUnknown bool // an unknown outcome is being cleared up by a read barrier
	dirty          bool
	inOpenList     bool          // in the list of open jobs
	dirtySince     time.Duration // dirty since
	nextLookAt     time.Duration // not looked at before, although dirty
	waitsForEnds   bool          // its next record only tells of ends, and waits for others
}

// jobCancellation is who waits for its cancellation, and the cancel marker in a key of its own.
type jobCancellation struct {
	waiters        []cancelWaiter
	requestedMS    int64
	answerBy       time.Duration // until when an answer must be given
	markerRevision uint64        // of the mark of its cancellation; 0: there is none
	markerMS       int64
	markerAudit    []audit.PendingEntry // by that mark
}

// cancelAck is whether its cancellation may be acknowledged, and which controllers hold it.
type cancelAck struct {
	allowed         bool            // users may be told that it is cancelled
	heldBy          map[string]bool // controllers that have said that they hold its cancellation
	nextBroadcastAt time.Duration   // when the others are told of that again
}

// jobQueueState is its position among the waiting jobs.
type jobQueueState struct {
	missingReplicas int           // replicas of it that are gone, as of the last turn that ordered writes
	enqueueRevision uint64        // revision of its acceptance: its place in its lane
	rank            queueRank     // as it was worked out last
	boostedUntil    time.Duration // until then it is ordered as one of the first lane, for the share of its own
}

// jobPlacement is its tasks: to be placed, lost, ended; back-off after failures.
type jobPlacement struct {
	completedTasks   int // assigned tasks that have completed, as their machines say
	failures         int
	backoffUntil     time.Duration
	hasUnplacedTasks bool  // has tasks to place now
	tasksLost        bool  // tasks of it are gone, and must be started again
	lastPlacedMS     int64 // time of day when tasks of it were placed last
}

// jobArchiveState is its way out of memory once it has ended.
type jobArchiveState struct {
	counted  bool // among the ended jobs in memory whose records have not moved
	archived bool // it has moved
	evicting bool // to be dropped from memory
}

// cancelWaiter is somebody who waits for a job's cancellation; 0: nobody waits for the answer.
type cancelWaiter struct {
	requestID uint64
	caller    Credential
}

type pendingSubmission struct {
	requestIDs          []uint64
	requestsBeforeWrite int // how many of them came before its write was sent
	caller              Credential
	spec                wire.JobSpec
	submittedMS         int64
	receivedAt          time.Duration
	deadline            time.Duration
	writeFailed         bool // a write of it has failed
	lookupInFlight      bool // it is looked for among the jobs that ended long ago
	lookupDone          bool
}

type taskKey struct{ jobIndex, task int32 }

type attemptKey struct {
	jobIndex, task int32
	attempt        uint64
}

func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(cmp.Compare(k.jobIndex, o.jobIndex), cmp.Compare(k.task, o.task), cmp.Compare(k.attempt, o.attempt))
}

// isFinal reports whether a job is done or cancelled. One that needs a cancelled job is cancelled
// with it, from the write of that cancellation on; its own record follows.
func (j *job) isFinal() bool {
	return j.record != nil && (j.record.Stage != jobrecord.Queued || j.cancelledBy != nil)
}

// internJob interns a job by id.
func (c *Core) internJob(id string) *job {
	if i, ok := c.jobIndex[id]; ok {
		return c.jobs[i]
	}
	j := &job{index: int32(len(c.jobs)), id: id}
	if free := c.history.freeIndexes; len(free) > 0 {
		j.index = free[len(free)-1]
		c.history.freeIndexes = free[:len(free)-1]
		c.jobs[j.index] = j
	} else {
		c.jobs = append(c.jobs, j)
	}
	c.jobIndex[id] = j.index
	return j
}

func (c *Core) knownJob(id string) *job {
	if i, ok := c.jobIndex[id]; ok && c.jobs[i].revision != 0 {
		return c.jobs[i]
	}
	return nil
}

// markDirty has a job looked at again.
func (c *Core) markDirty(j *job) {
	c.markDirtyKeepingDelay(j)
	j.write.nextLookAt = 0
}

// markDirtyKeepingDelay has a job looked at again, when its last look asked for one.
func (c *Core) markDirtyKeepingDelay(j *job) {
	if !j.write.inOpenList {
		j.write.inOpenList = true
		c.openJobs = append(c.openJobs, j)
	}
	if !j.write.dirty {
		j.write.dirty = true
		j.write.dirtySince = c.now
	}
}
