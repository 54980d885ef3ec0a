package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/core/quorum"
	"dewlift/wire"
)

// Acknowledging cancellations. A cancellation is acknowledged to the user only once a majority of the
// controllers holds it or no task of the job is on a machine, and no controller renews an agent's lease
// without knowing the acknowledged cancellations (core/quorum, docs/notes/cancellation.md). The code in this
// file delays responses, queries the other controllers and answers their queries, keeps this controller's
// knowledge of cancellations fresh, and sends stop commands for cancelled tasks with each response to an
// agent.

// QuorumRead requests the cancellations that the receiver holds and the sender may lack.
type QuorumRead struct {
	Nonce         uint64 `json:"n"`
	SinceRevision uint64 `json:"s"` // the sender holds all cancellations up to this revision
}

// QuorumReply is the reply to a QuorumRead.
type QuorumReply struct {
	Nonce        uint64 `json:"n"`
	UpToRevision uint64 `json:"u"` // the sender holds all up to this revision, with those in the same message
}

// cancelAcks is the state of acknowledging cancellations.
type cancelAcks struct {
	*environment
	jobs    *jobTable
	replica *storeReplica
	schema  *schemaState

	waitersUntil        time.Duration // until then, requests may wait for a cancellation
	quorum              *quorum.View  // how fresh this controller's knowledge is, and what the others hold
	pending             []pendingAck
	peersKnownRevision  uint64        // up to this revision, other controllers have sent all cancellations
	nextFreshnessReadAt time.Duration // earliest time of the next freshness read
}

// pendingAck is a response that is delayed until the cancellation may be acknowledged.
type pendingAck struct {
	requestID uint64
	job       *job
	deadline  time.Duration
}

const (
	ackTimeout            = 1500 * time.Millisecond // a response waits this long for a majority; users wait 2 s
	cancelResendInterval  = 500 * time.Millisecond  // between two broadcasts of the same cancellation
	freshnessReadInterval = time.Second             // between two reads of the store that only keep the knowledge fresh
)

// isCancelledWithTasks reports whether a job is cancelled and tasks of it may still be on machines.
func (j *job) isCancelledWithTasks() bool {
	return j.record != nil && j.record.Stage == jobrecord.Cancelled && len(j.assignments) > 0
}

// timeSinceCancel returns the wall-clock time since the cancellation of a job was requested.
func (a *cancelAcks) timeSinceCancel(j *job) time.Duration {
	return time.Duration(a.unixMS()-j.record.CancelledAtMS) * time.Millisecond
}

// latestCancelRevision returns a revision at which the cancellation of a job was stored: a controller whose
// replica has reached it knows of the cancellation.
func (j *job) latestCancelRevision() uint64 { return max(j.revision, j.cancellation.markerRevision) }

// canAcknowledge reports whether the cancellation of a job may be acknowledged to users.
func (a *cancelAcks) canAcknowledge(j *job) bool {
	if !j.isCancelledWithTasks() || j.ack.allowed {
		return true
	}
	// A controller of an older version neither sends quorum reads nor replies to them. While there may be
	// one, the tasks must be gone first.
	j.ack.allowed = a.schema.active >= schemaCancelQuorum &&
		a.quorum.CanAcknowledge(j.latestCancelRevision(), j.ack.heldBy)
	return j.ack.allowed
}

// respondOrAwait responds with a job's state, at once or, if it shows a cancellation, when that may be
// acknowledged.
func (a *cancelAcks) respondOrAwait(requestID uint64, status wire.Status, state wire.JobState) {
	if state.Stage == wire.StageCancelled {
		if j := a.jobs.knownJob(state.ID); j != nil && !a.canAcknowledge(j) {
			a.pending = append(a.pending, pendingAck{requestID, j, a.now + ackTimeout})
			return
		}
	}
	a.emit(Response{RequestID: requestID, Status: status, Body: state})
}

// advanceCancelAcks keeps the knowledge of cancellations fresh and sends the responses whose cancellations
// may now be acknowledged.
func (c *Core) advanceCancelAcks() {
	if c.cancelAcks.beginFreshnessRead() {
		c.replica.afterReadBarrier(func(bool) {}) // only the read itself is needed
	}
	if query := c.cancelAcks.beginQuery(); query != nil {
		c.controllers.sendToPeers("", Message{QuorumRead: query})
	}
	var unacknowledged []*job // to be sent to the other controllers
	c.cancelAcks.pending = slices.DeleteFunc(c.cancelAcks.pending, func(ack pendingAck) bool {
		switch {
		case c.cancelAcks.canAcknowledge(ack.job):
			c.emit(Response{RequestID: ack.requestID, Status: wire.StatusOK, Body: c.jobState(ack.job)})
			return true
		case c.now >= ack.deadline:
			c.respondUnavailable(
				ack.requestID,
				"its tasks may still run: other controllers do not know yet that it is cancelled",
			)
			return true
		}
		if c.schema.active >= schemaCancelQuorum && c.now >= ack.job.ack.nextBroadcastAt {
			ack.job.ack.nextBroadcastAt = c.now + cancelResendInterval
			unacknowledged = append(unacknowledged, ack.job)
		}
		return false
	})
	if len(unacknowledged) > 0 {
		c.controllers.sendToPeers("", Message{Cancellations: c.cancellationItems(unacknowledged)})
	}
}

// beginFreshnessRead reports whether a freshness read of the store is due, and schedules the next one.
func (a *cancelAcks) beginFreshnessRead() bool {
	if !a.quorum.IsReadDue(a.now) || a.now < a.nextFreshnessReadAt {
		return false
	}
	a.nextFreshnessReadAt = a.now + freshnessReadInterval
	return true
}

// beginQuery returns a quorum read for the other controllers if one is due, and registers it for their replies;
// otherwise it returns nil.
func (a *cancelAcks) beginQuery() *QuorumRead {
	if !a.quorum.IsQueryDue(a.now) {
		return nil
	}
	query := &QuorumRead{Nonce: a.rng.Uint64() | 1, SinceRevision: a.knownRevision()}
	a.quorum.BeginQuery(a.now, query.Nonce)
	return query
}

// knownRevision returns the revision up to which this controller knows all cancellations.
func (a *cancelAcks) knownRevision() uint64 {
	if !a.replica.loaded {
		return 0
	}
	return max(a.replica.revision, a.peersKnownRevision)
}

// cancellationItems returns the stored records and cancel markers of cancelled jobs, to be sent to other
// controllers.
func (c *Core) cancellationItems(cancelled []*job) (items []wire.KeyValue) {
	for _, j := range cancelled {
		raw, err := c.encodeRecord(j.record, j.assignments, false)
		if err != nil {
			c.log(LevelError, "cannot encode cancelled job for peers", "job", j.id, "err", err.Error())
			continue
		}
		items = append(items, wire.KeyValue{Key: keyJob + j.id, Value: raw, Revision: j.revision})
		if j.cancellation.markerRevision == 0 {
			continue
		}
		marker := cancelMarker{CancelMS: j.cancellation.markerMS, PendingAudit: j.cancellation.markerAudit}
		items = append(items, wire.KeyValue{
			Key:      keyCancel + j.id,
			Value:    marker.encode(),
			Revision: j.cancellation.markerRevision,
		})
	}
	return items
}

// applyPeerCancellations applies cancellations that another controller holds as if the watch had delivered
// them; the watch's later events of the same or older revisions are ignored. It returns the IDs of the jobs
// whose cancellations this controller now holds.
func (c *Core) applyPeerCancellations(items []wire.KeyValue) (held []string) {
	for _, item := range items {
		id, ok := jobIDOfCancelKey(item.Key)
		if !ok {
			continue
		}
		// This controller holds what the watch has delivered, and may have evicted it from memory since: a
		// delayed copy must not bring the job back.
		delivered := item.Revision <= c.replica.revision
		if !delivered {
			c.applyPut(item.Key, item.Value, item.Revision)
		}
		if j := c.knownJob(id); (delivered || j != nil && j.record.Stage == jobrecord.Cancelled) &&
			!slices.Contains(held, id) {
			held = append(held, id)
		}
	}
	return held
}

// jobIDOfCancelKey returns the ID of the job whose record or cancel marker is stored under a key.
func jobIDOfCancelKey(key string) (id string, ok bool) {
	for _, prefix := range []string{keyJob, keyCancel} {
		if id, ok := strings.CutPrefix(key, prefix); ok && id != "" {
			return id, true
		}
	}
	return "", false
}

// handleQuorumMessage applies what another controller sends about cancellations, and replies to it. A
// controller that has not loaded a snapshot holds nothing and must not reply: it may confirm that the store
// is down, but not that it holds a cancellation.
func (c *Core) handleQuorumMessage(peer string, message *Message) {
	if !c.replica.loaded {
		return
	}
	held := c.applyPeerCancellations(message.Cancellations)
	if len(held) > 0 && message.QuorumReply == nil {
		c.controllers.sendToPeers(peer, Message{CancelAcks: held})
	}
	for _, id := range message.CancelAcks {
		if j := c.knownJob(id); j != nil {
			j.ack.recordHolder(peer)
		}
	}
	if read := message.QuorumRead; read != nil {
		c.replyToQuorumRead(peer, read)
	}
	if reply := message.QuorumReply; reply != nil {
		c.cancelAcks.handleReply(peer, reply)
	}
}

// handleReply records the revision up to which another controller holds all cancellations. If the reply is to
// the query in flight, this controller then holds them too.
func (a *cancelAcks) handleReply(peer string, reply *QuorumReply) {
	if a.quorum.HandleReply(peer, reply.Nonce) {
		a.peersKnownRevision = max(a.peersKnownRevision, reply.UpToRevision)
	}
	a.quorum.RecordHeldRevision(peer, reply.UpToRevision)
}

// recordHolder records that another controller holds the cancellation.
func (a *cancelAck) recordHolder(peer string) {
	if a.heldBy == nil {
		a.heldBy = map[string]bool{}
	}
	a.heldBy[peer] = true
}

// cancelledSince returns the jobs whose cancellations were stored after a revision and whose tasks may still
// be on machines.
func (a *cancelAcks) cancelledSince(revision uint64) (cancelled []*job) {
	for _, j := range a.jobs.openJobs {
		if j.isCancelledWithTasks() && j.latestCancelRevision() > revision {
			cancelled = append(cancelled, j)
		}
	}
	return cancelled
}

// replyToQuorumRead sends the cancellations that the querying controller may lack, with the revision up to
// which this controller knows all of them.
func (c *Core) replyToQuorumRead(peer string, read *QuorumRead) {
	missing := c.cancelAcks.cancelledSince(read.SinceRevision)
	c.controllers.sendToPeers(
		peer,
		Message{
			QuorumReply:   &QuorumReply{read.Nonce, c.cancelAcks.knownRevision()},
			Cancellations: c.cancellationItems(missing),
		},
	)
}

// stopCommandsFor returns the commands that are sent with the response to an agent's heartbeat: they stop the
// cancelled tasks on its machine. That needs neither a write nor ownership of the jobs' shards.
func (a *cancelAcks) stopCommandsFor(m *machine) []wire.Command {
	var cancelled []attemptKey // usually empty; only these keys are sorted, because this runs for each heartbeat
	for key, status := range m.status.tasks {
		if j := a.jobs.jobs[key.jobIndex]; status.state != wire.TaskExited && j != nil && j.record != nil &&
			j.record.Stage == jobrecord.Cancelled {
			cancelled = append(cancelled, key)
		}
	}
	slices.SortFunc(cancelled, attemptKey.compare)
	commands := []wire.Command{}
	for _, key := range cancelled {
		grace := 0.0
		commands = append(
			commands,
			wire.Command{
				Op:           wire.OpStop,
				Task:         wire.TaskName(a.jobs.jobs[key.jobIndex].id, int(key.task)),
				Attempt:      key.attempt,
				GracePeriodS: &grace,
			},
		)
	}
	return commands
}

// findRestartableCancelledTask returns the name of a cancelled task that a machine does not report but that a
// delayed start command may still start there after the staleness bound; "" if there is none. Such a command
// is bound to the agent's incarnation, which ends if the lease is not renewed. A higher fencing token would
// reject the command too, but can't be issued during an outage of the store.
func (c *Core) findRestartableCancelledTask(m *machine) string {
	var restartable []taskKey // usually empty
	for key, assignment := range m.allocation.assignments {
		j := c.jobs[key.jobIndex]
		if !j.isCancelledWithTasks() || assignment.Incarnation != m.status.incarnation ||
			c.cancelAcks.timeSinceCancel(j) <= c.cancelAcks.stalenessBound() {
			continue
		}
		if _, reported := m.status.tasks[attemptKey{key.jobIndex, key.task, assignment.Attempt}]; reported {
			continue // the response to the heartbeat stops the task
		}
		if ended, _ := c.attemptOutcome(j, assignment); !ended {
			restartable = append(restartable, key)
		}
	}
	if len(restartable) == 0 {
		return ""
	}
	first := slices.MinFunc(restartable, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.jobIndex, b.jobIndex), cmp.Compare(a.task, b.task))
	})
	return wire.TaskName(c.jobs[first.jobIndex].id, int(first.task))
}

// stalenessBound returns how long after a cancellation was acknowledged a controller that does not know of it
// may still renew agents' leases.
func (a *cancelAcks) stalenessBound() time.Duration {
	return quorum.MaxStaleness(a.cfg.Agents.CancelTimeout, a.cfg.Agents.LeaseTTL)
}

// leaseDenialReason returns why this controller may not renew the lease of a machine's agent with the
// response to a heartbeat; "" if it may.
func (c *Core) leaseDenialReason(m *machine, heartbeat *wire.Heartbeat) string {
	switch {
	case !c.canAnswerAgents():
		return "not entitled"
	case !c.cancelAcks.quorum.IsFresh(c.now):
		return fmt.Sprintf(
			"cancellations of more than %v ago may not be known here",
			c.cancelAcks.stalenessBound().Round(time.Second),
		)
	case heartbeat.FencingToken > c.leadership.fencingToken:
		return "token not current"
	}
	if task := c.findRestartableCancelledTask(m); task != "" {
		return "a late order may still start a cancelled task there: " + task
	}
	return ""
}
