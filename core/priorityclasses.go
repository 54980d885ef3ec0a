package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"dewlift/core/jobrecord"
	"dewlift/priorityclass"
	pb "dewlift/proto"
	"dewlift/wire"
)

// keyPriorityClasses is the key of the active list of priority classes. A job's record holds its queue
// position: the class that it was accepted into and the store revision of its acceptance. The order of
// work is therefore the same at every controller, and survives a failover, a restart of all controllers
// and an upgrade. It does not depend on a clock, except where the list itself depends on time.
const keyPriorityClasses = Root + "lanes"

// priorityClassesAuditObject is the object name of the list of priority classes in the audit log.
const priorityClassesAuditObject = "lanes"

// priorityClassesSeedInterval is the minimum time between two attempts to store the list from the settings.
const priorityClassesSeedInterval = 2 * time.Second

// priorityState holds the active list of priority classes, their shares of starts and the first waiting job of each.
type priorityState struct {
	*environment

	classes          *priorityclass.List
	revision         uint64 // of the stored list; 0: none is stored, and there is a class for each priority
	nextSeedAt       time.Duration
	enabledPublished bool // the API was informed that a list is stored
	startShares      startShares
	firstWaiting     []QueueHead // by class, the first waiting job that other controllers yield capacity to
}

// ownClass returns the priority class of a job according to its record. A job that was accepted without
// a list, or into a class that has since been removed, is classified again.
func (p *priorityState) ownClass(r *jobrecord.Record) int {
	if i, ok := p.classes.IndexOf(r.PriorityClass); ok {
		return i
	}
	return p.classes.Classify(r.Spec)
}

// effectiveClass returns the class by which a job is ordered now: its aged class, or the first class
// while the job is boosted to enforce a reserved share of starts.
func (p *priorityState) effectiveClass(j *job) int {
	if p.now < j.queue.boostedUntil {
		return 0
	}
	return p.agedClass(j)
}

// agedClass returns the class of a job, or of a more urgent job that depends on it, after priority aging
// for the time it has waited.
func (p *priorityState) agedClass(j *job) int {
	waited := time.Duration(p.unixMS()-j.effectiveEnqueueMS()) * time.Millisecond
	return p.classes.EffectiveClass(j.effectiveClass, waited)
}

// queueRank orders jobs by class, lost replicas, missed deadline and queue position. The loss of a zone
// affects replicas of nearly every service, and each affected service takes a write. When services were
// handled in order of age, half of all replicas waited for half of the writes; therefore the services
// that lost the most replicas come first in their class.
type queueRank struct {
	priorityClass   int
	missingReplicas int
	// latestStartMS is the latest start time that meets the job's deadline if that is before its
	// acceptance, and 0 otherwise.
	latestStartMS   int64
	restoreOrder    uint64 // restored jobs precede those accepted since, the largest value first; 0: not restored
	enqueueRevision uint64
	enqueueMS       int64
}

// rankOf returns a job's current queue rank. A submission that is not written yet is last in its class.
func (p *priorityState) rankOf(j *job) queueRank {
	switch {
	case j.submission != nil:
		return queueRank{
			priorityClass:   p.classes.Classify(&j.submission.spec),
			enqueueRevision: math.MaxUint64,
			enqueueMS:       j.submission.submittedMS,
		}
	case j.record == nil || j.record.Spec == nil:
		return queueRank{priorityClass: math.MaxInt}
	}
	rank := queueRank{
		priorityClass:   p.effectiveClass(j),
		missingReplicas: j.queue.missingReplicas,
		restoreOrder:    j.record.RestoreOrder,
		enqueueRevision: max(j.queue.enqueueRevision, j.readyRevision),
		enqueueMS:       j.effectiveEnqueueMS(),
	}
	if rank.enqueueMS < j.record.AcceptedAtMS {
		rank.latestStartMS = rank.enqueueMS
	}
	return rank
}

// compare returns a negative number if a comes before b.
func (a queueRank) compare(b queueRank) int {
	return cmp.Or(
		cmp.Compare(a.priorityClass, b.priorityClass),
		cmp.Compare(b.missingReplicas, a.missingReplicas),
		cmp.Compare(a.latestStartOrNever(), b.latestStartOrNever()),
		cmp.Compare(b.restoreOrder, a.restoreOrder),
		cmp.Compare(a.enqueueRevision, b.enqueueRevision),
		cmp.Compare(a.enqueueMS, b.enqueueMS),
	)
}

// latestStartOrNever returns latestStartMS, or the maximum if it is not set.
func (a queueRank) latestStartOrNever() int64 {
	if a.latestStartMS == 0 {
		return math.MaxInt64
	}
	return a.latestStartMS
}

// setClasses activates a list at this controller; nil stands for a class for each priority. It classifies
// all given jobs again, including those that wait for their dependencies and are not among the open jobs.
func (p *priorityState) setClasses(list *priorityclass.List, revision uint64, jobs []*job) {
	p.revision = revision
	if list == nil {
		list = priorityclass.Default(p.cfg.Scheduling.PriorityAgingInterval)
	}
	p.classes = list
	var reclassified []*job
	for _, j := range jobs {
		if j != nil && j.record != nil && j.record.Spec != nil {
			j.effectiveClass = p.ownClass(j.record)
			reclassified = append(reclassified, j)
		}
	}
	p.propagateUrgency(reclassified)
}

// applyPriorityClasses activates the stored list. If it cannot be decoded, the previous list stays active
// and this revision is not tried again.
func (c *Core) applyPriorityClasses(raw json.RawMessage, revision uint64) error {
	if revision <= c.priority.revision {
		return nil
	}
	c.priority.revision = revision
	var stored pb.Lanes
	if err := jobrecord.UnpackMessage(raw, &stored); err != nil {
		return fmt.Errorf("decode list of priority classes: %w", err)
	}
	list, err := priorityclass.New(&stored)
	if err != nil {
		return fmt.Errorf("validate list of priority classes: %w", err)
	}
	c.priority.setClasses(list, revision, c.jobs)
	return nil
}

// advancePriorityClasses informs the API whether a list is stored, whenever that changes. At the leader, it
// stores the list from the settings if none is stored.
func (c *Core) advancePriorityClasses() {
	if enabled := c.priority.revision != 0; enabled != c.priority.enabledPublished {
		c.priority.enabledPublished = enabled
		c.emit(QueueEnabled{Enabled: enabled})
	}
	if !c.maySeedPriorityClasses() {
		return
	}
	c.priority.nextSeedAt = c.now + priorityClassesSeedInterval
	raw, err := jobrecord.PackMessage(c.cfg.Scheduling.PriorityClasses.Source())
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		c.log(LevelError, "list of priority classes exceeds the value size limit", "bytes", len(raw))
		return
	}
	c.transactions.commit(
		wire.Txn{
			Compare: []wire.Compare{{Key: keyPriorityClasses}},
			Then:    []wire.Write{{Put: keyPriorityClasses, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) { c.replica.afterReadBarrier(func(bool) {}) }},
	)
}

// maySeedPriorityClasses reports whether this controller may store the list from the settings now.
func (c *Core) maySeedPriorityClasses() bool {
	if c.cfg.Scheduling.PriorityClasses == nil || c.priority.revision != 0 ||
		c.schema.active < schemaPriorityClasses || c.auditLog.isNotReady() {
		return false
	}
	return c.leadership.isHeld() && c.ownLease.isHeld() && c.now >= c.priority.nextSeedAt &&
		!c.transactions.rateLimit.IsPaused(c.now) && c.transactions.rateLimit.WriteTokens >= 1
}

// handleSetPriorityClasses replaces the active list for an authorized caller. Jobs keep the class that
// they were accepted into if the new list has it.
func (c *Core) handleSetPriorityClasses(in SetPriorityClasses) {
	switch {
	case c.access.isNotServing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.replica.isStoreUnreachable() || c.schema.active < schemaPriorityClasses:
		c.respondUnavailable(
			in.RequestID,
			"state service not reached, or a controller may still run a version that does not know lanes",
		)
		return
	}
	store := func() { c.storePriorityClasses(in) }
	c.replica.afterReadBarrier(
		c.ifAuthorized(in.RequestID, in.Caller, pb.Verb_administer, priorityClassesAuditObject, store),
	)
}

// storePriorityClasses validates a list and commits it on condition that neither the previous list nor the
// caller's permissions have changed, and responds to the request.
func (c *Core) storePriorityClasses(in SetPriorityClasses) {
	list, err := priorityclass.Parse([]byte(in.Text))
	if err != nil {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: "lanes: " + err.Error()})
		return
	}
	raw, err := jobrecord.PackMessage(list.Source())
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		c.respond(in.RequestID, wire.StatusBadRequest, wire.Error{Error: "lanes: too long to be stored"})
		return
	}
	txn := wire.Txn{
		Compare: append(
			c.access.compares(in.Caller),
			wire.Compare{Key: keyPriorityClasses, Revision: c.priority.revision},
		),
		Then: []wire.Write{{Put: keyPriorityClasses, Value: raw}},
	}
	object, names := priorityClassesAuditObject, strings.Join(list.Names(), " ")
	event := newAuditEvent(in.Caller, pb.Verb_administer.String(), object, names)
	handleAuditOutcome := c.auditLog.addEntry(&txn, object, event)
	c.transactions.commit(txn, &pendingTxn{onDone: func(status wire.Status, r wire.TxnResponse) {
		handleAuditOutcome(status)
		c.replica.afterReadBarrier(func(bool) {}) // observes the outcome even if the response was lost
		if status != wire.StatusOK {
			c.respondUnavailable(in.RequestID, "not changed, or not known whether: ask again")
			return
		}
		c.respond(in.RequestID, wire.StatusOK, wire.JobQueue{Version: r.Revision, PriorityClasses: in.Text})
	}})
}

// text returns the active list in protobuf text format.
func (p *priorityState) text() (string, error) {
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(p.classes.Source())
	return string(text), err
}
