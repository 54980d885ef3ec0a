package core

import (
	"cmp"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/priorityclass"
	"dewlift/wire"
	"encoding/json"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

// The order of work. A job's lane, and its place in it, stand in its record: the lane that it was
// accepted into, and the state service's own revision of its acceptance. So it is the same at
// whichever controller, after a take-over, a restart of all and an upgrade, and no clock decides it
// but for what the list of lanes says of time.
const keyPriorityClasses = Root + "lanes"

// ownPriorityClass is the lane of a job by its record.
func (c *Core) ownPriorityClass(r *jobrecord.Record) int {
	if i, ok := c.priority.classes.IndexOf(r.PriorityClass); ok {
		return i
	}
	return c.priority.classes.Classify(
		r.Spec,
	) // it was accepted where there was no list, or its lane is none any more
}

// effectivePriorityClass is the lane by which a job is ordered: its own or that of a job that needs
// it, or one above after it has waited.
func (c *Core) effectivePriorityClass(j *job) int {
	if c.now < j.queue.boostedUntil {
		return 0
	}
	return c.agedPriorityClass(j)
}

func (c *Core) agedPriorityClass(j *job) int {
	return c.priority.classes.EffectiveClass(
		j.effectiveClass,
		time.Duration(c.unixMS()-j.effectiveEnqueueMS())*time.Millisecond,
	)
}

// queueRank is what orders a job: its lane, replicas that it lost, whether it would miss its
// deadline, its place. A lost zone takes replicas of nearly every service with it, and each takes a
// write: in the order of their age, half of all replicas waited for half of the writes; so those
// that lost most come first in their lane.
type queueRank struct {
	priorityClass, missingReplicas int
	// turn of one that must begin before it was accepted to be in time; 0: it need not
	latestStartMS           int64
	before, enqueueRevision uint64
	enqueueMS               int64
}

func (c *Core) queueRankOf(j *job) queueRank {
	switch {
	case j.submission != nil:
		return queueRank{
			priorityClass:   c.priority.classes.Classify(&j.submission.spec),
			enqueueRevision: math.MaxUint64,
			enqueueMS:       j.submission.submittedMS,
		}
	case j.record == nil || j.record.Spec == nil:
		return queueRank{priorityClass: math.MaxInt}
	}
	r := queueRank{
		priorityClass:   c.effectivePriorityClass(j),
		missingReplicas: j.queue.missingReplicas,
		before:          j.record.RestoreOrder,
		enqueueRevision: max(j.queue.enqueueRevision, j.readyRevision),
		enqueueMS:       j.effectiveEnqueueMS(),
	}
	if r.enqueueMS < j.record.AcceptedAtMS {
		r.latestStartMS = r.enqueueMS
	}
	return r
}

func (a queueRank) compare(b queueRank) int {
	late := func(r queueRank) int64 {
		if r.latestStartMS == 0 {
			return math.MaxInt64
		}
		return r.latestStartMS
	}
	return cmp.Or(
		cmp.Compare(a.priorityClass, b.priorityClass),
		cmp.Compare(b.missingReplicas, a.missingReplicas),
		cmp.Compare(late(a), late(b)),
		cmp.Compare(b.before, a.before),
		cmp.Compare(a.enqueueRevision, b.enqueueRevision),
		cmp.Compare(a.enqueueMS, b.enqueueMS),
	)
}

// setPriorityClasses puts a list in force here; nil: a lane for each priority.
func (c *Core) setPriorityClasses(l *priorityclass.List, mark uint64) {
	c.priority.revision = mark
	if l == nil {
		l = priorityclass.Default(c.cfg.Scheduling.PriorityAgingInterval)
	}
	c.priority.classes = l
	var again []*job
	for _, j := range c.jobs { // also those that wait for others, and are in no list
		if j != nil && j.record != nil && j.record.Spec != nil {
			j.effectiveClass = c.ownPriorityClass(j.record)
			again = append(again, j)
		}
	}
	c.propagateUrgency(again)
}

func (c *Core) applyPriorityClasses(raw json.RawMessage, mark uint64) error {
	if mark <= c.priority.revision {
		return nil
	}
	var p pb.Lanes
	err := jobrecord.UnpackMessage(raw, &p)
	if err == nil {
		var l *priorityclass.List
		if l, err = priorityclass.New(&p); err == nil {
			c.setPriorityClasses(l, mark)
		}
	}
	c.priority.revision = mark
	return err
}

// advancePriorityClasses puts the list of the file in force where there is none, and tells the
// edges whether there is one.
func (c *Core) advancePriorityClasses() {
	if open := c.priority.revision != 0; open != c.priority.enabledPublished {
		c.priority.enabledPublished = open
		c.emit(QueueEnabled{Enabled: open})
	}
	if c.cfg.Scheduling.PriorityClasses == nil || c.priority.revision != 0 || c.schemaVersion() < schemaPriorityClasses ||
		c.auditNotReady() ||
		!c.isLeader() ||
		!c.holdsLease() ||
		c.now < c.priority.nextSeedAt ||
		c.transactions.rateLimit.IsPaused(c.now) ||
		c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	c.priority.nextSeedAt = c.now + 2*time.Second
	raw, err := jobrecord.PackMessage(c.cfg.Scheduling.PriorityClasses.Source())
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		c.log(LevelError, "the list of lanes does not fit a value", "bytes", len(raw))
		return
	}
	c.commitTxn(
		wire.Txn{
			Compare: []wire.Compare{{Key: keyPriorityClasses}},
			Then:    []wire.Write{{Put: keyPriorityClasses, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) { c.afterReadBarrier(func(bool) {}) }},
	)
}

// handleSetPriorityClasses puts another list in force, for somebody who may. Jobs keep the lane
// that they were accepted into, if it is still there.
func (c *Core) handleSetPriorityClasses(in SetPriorityClasses) {
	l, err := priorityclass.Parse([]byte(in.Text))
	if err != nil {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: "lanes: " + err.Error()})
		return
	}
	switch {
	case c.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.storeUnreachable() || c.schemaVersion() < schemaPriorityClasses:
		c.respondUnavailable(
			in.RequestID,
			"state service not reached, or a controller may still run a version that does not know lanes",
		)
		return
	}
	c.afterReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, pb.Verb_administer, "lanes", func() {
		raw, err := jobrecord.PackMessage(l.Source())
		if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
			c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: "lanes: too long to be stored"})
			return
		}
		t := wire.Txn{
			Compare: append(
				c.permissionCompares(in.Caller),
				wire.Compare{Key: keyPriorityClasses, Revision: c.priority.revision},
			),
			Then: []wire.Write{{Put: keyPriorityClasses, Value: raw}},
		}
		c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, r wire.TxnResponse) {
			c.afterReadBarrier(func(bool) {}) // every controller sees it there
			if status != wire.StatusOK {
				c.respondUnavailable(in.RequestID, "not changed, or not known whether: ask again")
				return
			}
			c.respond(in.RequestID, wire.StatusOK, wire.JobQueue{Version: r.Revision, PriorityClasses: in.Text})
		}})
	}))
}

// startShares counts the starts of late by lane.
type startShares struct {
	updatedAt     time.Duration
	startsByClass []float64
}

const startShareHalfLife = 20 * time.Second // for which starts count, more or less

func (s *startShares) recordStarts(now time.Duration, p *proposal, c *Core) {
	if len(p.started) == 0 || p.record.Spec == nil {
		return
	}
	lane := c.ownPriorityClass(p.record)
	if len(s.startsByClass) != c.priority.classes.Len() {
		s.startsByClass = make([]float64, c.priority.classes.Len())
	}
	keep := math.Exp2(-(now - s.updatedAt).Seconds() / startShareHalfLife.Seconds())
	s.updatedAt = now
	for i := range s.startsByClass {
		s.startsByClass[i] *= keep
	}
	s.startsByClass[lane] += float64(len(p.started))
}

// shareBelow is the part of the starts that the lanes below one had; all, if there were none.
func (s *startShares) shareBelow(lane int) float64 {
	all, part := 0.0, 0.0
	for i, n := range s.startsByClass {
		all += n
		if i > lane {
			part += n
		}
	}
	if all < 1 {
		return 1
	}
	return part / all
}

// enforceStartShares puts the first job of the lanes below one that takes more than its part ahead
// of the others that wait for room.
func (c *Core) enforceStartShares(todo []*job) []*job {
	for lane := range c.priority.classes.Len() - 1 {
		if share := c.priority.classes.ReservedShare(lane); share == 0 ||
			c.priority.startShares.shareBelow(lane) >= share {
			continue
		}
		var first *job
		// also those that were looked at and found no room: who came last must not have what is theirs
		for _, j := range c.openJobs {
			if j.placement.hasUnplacedTasks && !j.write.inFlight && !j.write.outcomeUnknown && c.ownsJob(j) &&
				j.record.Spec != nil &&
				c.ownPriorityClass(j.record) > lane &&
				c.now >= j.placement.backoffUntil &&
				c.teamOf(j.record.Spec).fitsMaxQuota(j.record.Spec.Request) {
				if j.queue.rank = c.queueRankOf(j); first == nil || j.queue.rank.compare(first.queue.rank) < 0 {
					first = j
				}
			}
		}
		if first == nil ||
			c.controllers.membership.HasEarlierWork(
				c.now,
				c.isControllerLive,
				membership.QueuePosition{
					Priority:     c.agedPriorityClass(first),
					EnqueuedAtMS: first.effectiveEnqueueMS(),
				},
				lane,
			) {
			continue // what comes first of these lanes is another controller's
		}
		first.queue.boostedUntil = c.now + time.Second
		first.write.dirty, first.write.nextLookAt = true, 0
		if i := slices.Index(todo, first); i >= 0 {
			todo = slices.Delete(todo, i, i+1)
		}
		at := slices.IndexFunc(todo, func(j *job) bool { return c.writePriority(j) > writePriorityAccept })
		if at < 0 {
			at = len(todo)
		}
		return slices.Insert(todo, at, first)
	}
	return todo
}

// handleListQueue answers with the jobs that wait, in their order, or why one does, as of a barrier.
func (c *Core) handleListQueue(in ListQueue) {
	switch {
	case c.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case !c.replica.loaded || c.storeUnreachable():
		c.respondUnavailable(in.RequestID, "state service not reached")
		return
	}
	c.afterReadBarrier(func(ok bool) {
		if !ok {
			c.respondUnavailable(in.RequestID, "state service not reached")
			return
		}
		if in.ShowPriorityClasses {
			text, err := prototext.MarshalOptions{Multiline: true}.Marshal(c.priority.classes.Source())
			if err != nil {
				c.respondUnavailable(in.RequestID, err.Error())
				return
			}
			c.respond(in.RequestID, wire.StatusOK, wire.JobQueue{Version: c.priority.revision, PriorityClasses: string(text)})
			return
		}
		list := c.queuedJobs()
		if in.ID != "" {
			i := slices.IndexFunc(list, func(j *job) bool { return j.id == in.ID })
			if i < 0 || !c.canReadJob(in.Caller, list[i]) {
				c.respond(
					in.RequestID,
					wire.StatusNotFound,
					wire.Error{Error: in.ID + " does not wait: it runs, is over or never was"},
				)
				return
			}
			c.respond(
				in.RequestID,
				wire.StatusOK,
				wire.JobQueue{
					Jobs:  []wire.QueuedJob{c.describeQueuedJob(list, i, &[]unplaceable{})},
					Total: len(list),
				},
			)
			return
		}
		out, know := wire.JobQueue{Total: len(list), Version: c.priority.revision}, []unplaceable{}
		for i := max(0, in.AfterPosition); i < len(list) && len(out.Jobs) < min(max(1, in.Limit), maxQueuePage); i++ {
			if c.canReadJob(in.Caller, list[i]) {
				out.Jobs = append(out.Jobs, c.describeQueuedJob(list, i, &know))
			}
			out.NextOffset = i + 1
		}
		if out.NextOffset >= len(list) {
			out.NextOffset = 0
		}
		c.respond(in.RequestID, wire.StatusOK, out)
	})
}

const maxQueuePage = 200 // jobs of an answer

// queuedJobs lists the jobs that have tasks which wait, in the order of work.
func (c *Core) queuedJobs() (list []*job) {
	for _, j := range c.openJobs {
		if j.record != nil && j.record.Spec != nil && !j.isFinal() &&
			j.record.CompletedTasks.Count()+len(j.assignments) < j.record.Spec.Tasks {
			j.queue.missingReplicas = c.countLostReplicas(j)
			list = append(list, j)
		}
	}
	for _, j := range list {
		j.queue.rank = c.queueRankOf(j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(min(a.unmetDependencies, 1), min(b.unmetDependencies, 1)),
			a.queue.rank.compare(b.queue.rank),
			cmp.Compare(a.id, b.id),
		)
	})
	return list
}

// describeQueuedJob is a job of the queue, and what it waits for, as far as every controller can
// tell. know are claims for which there is no room, found for those before it in the same answer.
func (c *Core) describeQueuedJob(list []*job, i int, know *[]unplaceable) wire.QueuedJob {
	j := list[i]
	s := j.record.Spec
	own, by := c.ownPriorityClass(j.record), c.effectivePriorityClass(j)
	q := wire.QueuedJob{
		ID:            j.id,
		Position:      i + 1,
		PriorityClass: c.priority.classes.Name(own),
		Class:         s.Class,
		Team:          s.Team,
		Tasks:         s.Tasks,
		Done:          j.record.CompletedTasks.Count(),
		Assigned:      len(j.assignments),
		WaitedS:       max(0, (c.unixMS()-j.record.AcceptedAtMS)/1000),
	}
	if by != own {
		q.EffectivePriorityClass = c.priority.classes.Name(by)
	}
	switch {
	case j.unmetDependencies > 0:
		q.WaitingFor, q.Explanation = "jobs", "it waits for other jobs to be done"
	case isFailing(j.record, c.unixMS()):
		q.WaitingFor, q.Explanation = "errors", failureExplanation(j.record, c.unixMS())
	case c.now < j.placement.backoffUntil:
		q.WaitingFor, q.Explanation = "errors", "its tasks failed several times in a row; it is tried again in a moment"
	case !c.teamOf(s).fitsMaxQuota(s.Request):
		q.WaitingFor, q.Explanation = "limit", "its team "+s.Team+" uses all that it may; it begins when other work of the team ends"
	case !c.hasFeasibleMachine(s, know):
		q.WaitingFor, q.Explanation = "room", "no machine has room for one of its tasks; machines are rented if there are any to be had, and those before it in the queue come first"
	default:
		q.WaitingFor, q.Explanation = "changes", "there is room; it begins when its turn to be written comes"
	}
	return q
}

// priorityState is the list of priority classes in force, their shares of starts, and the first waiting job of each.
type priorityState struct {
	classes          *priorityclass.List // see lanes.go
	revision         uint64              // 0: that of the priorities is in force
	nextSeedAt       time.Duration
	enabledPublished bool
	startShares      startShares
	firstWaiting     []QueueHead // of each lane, the first of its jobs that wait for room, of late
}
