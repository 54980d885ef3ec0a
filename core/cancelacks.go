package core

import (
	"cmp"
	"dewlift/core/jobrecord"
	"dewlift/core/quorum"
	"dewlift/wire"
	"fmt"
	"slices"
	"strings"
	"time"
)

// A user is told that a job is cancelled once a majority of the controllers holds that, or nothing
// of the job is on a machine; and whoever renews a worker's lease knows what was told (core/quorum,
// docs/notes/cancellation.md). Here is what the core does for it: it holds answers back, asks and
// answers for what others hold, has the news of cancellations current, and stops with each answer
// to a worker what is cancelled there.

// QuorumRead asks for the cancellations that a controller holds and the sender may lack.
type QuorumRead struct {
	Nonce         uint64 `json:"n"`
	SinceRevision uint64 `json:"s"` // the sender holds all up to this revision
}

// QuorumReply answers a QuorumRead.
type QuorumReply struct {
	Nonce        uint64 `json:"n"`
	UpToRevision uint64 `json:"u"` // the sender holds all up to this revision, and what comes with it
}

// pendingAck is an answer that waits until a cancellation may be told.
type pendingAck struct {
	requestID uint64
	job       *job
	deadline  time.Duration
}

const (
	ackTimeout           = 1500 * time.Millisecond // an answer waits for a majority: users wait 2 s
	cancelResendInterval = 500 * time.Millisecond  // until the others are told of a cancellation again
)

// isCancelledWithTasks reports whether a job is cancelled while tasks of it may be on machines.
func (j *job) isCancelledWithTasks() bool {
	return j.record != nil && j.record.Stage == jobrecord.Cancelled && len(j.assignments) > 0
}

// timeSinceCancel is the time since somebody asked for a job's cancellation, by the time of day.
func (c *Core) timeSinceCancel(j *job) time.Duration {
	return time.Duration(c.unixMS()-j.record.CancelledAtMS) * time.Millisecond
}

// latestCancelRevision is a revision at which a cancelled job's cancellation was there: whoever has
// seen it knows of that.
func (j *job) latestCancelRevision() uint64 { return max(j.revision, j.cancellation.markerRevision) }

// canAckCancellation reports whether users may be told that a job is cancelled.
func (c *Core) canAckCancellation(j *job) bool {
	if !j.isCancelledWithTasks() || j.ack.allowed {
		return true
	}
	// A controller of an older version neither vouches nor asks: as long as there may be one, the tasks must be gone.
	j.ack.allowed = c.schemaVersion() >= schemaCancelQuorum &&
		c.cancelAcks.quorum.CanAcknowledge(j.latestCancelRevision(), j.ack.heldBy)
	return j.ack.allowed
}

// respondOrAwaitAck answers with a job's state, once that may be told.
func (c *Core) respondOrAwaitAck(req uint64, status wire.Status, s wire.JobState) {
	if s.Stage == wire.StageCancelled {
		if j := c.knownJob(s.ID); j != nil && !c.canAckCancellation(j) {
			c.cancelAcks.pending = append(c.cancelAcks.pending, pendingAck{req, j, c.now + ackTimeout})
			return
		}
	}
	c.emit(Response{RequestID: req, Status: status, Body: s})
}

// advanceCancelAcks sees to it that the news of cancellations is current, and that those may be
// told that users wait for.
func (c *Core) advanceCancelAcks() {
	if c.cancelAcks.quorum.IsReadDue(c.now) && c.now >= c.cancelAcks.nextReadAt {
		c.cancelAcks.nextReadAt = c.now + time.Second
		c.afterReadBarrier(func(bool) {})
	}
	if c.cancelAcks.quorum.IsQueryDue(c.now) {
		q := &QuorumRead{Nonce: c.rng.Uint64() | 1, SinceRevision: c.cancellationsKnownUpTo()}
		c.cancelAcks.quorum.BeginQuery(c.now, q.Nonce)
		c.sendToPeers("", Message{QuorumRead: q})
	}
	var news []*job
	c.cancelAcks.pending = slices.DeleteFunc(c.cancelAcks.pending, func(u pendingAck) bool {
		switch {
		case c.canAckCancellation(u.job):
			c.emit(Response{RequestID: u.requestID, Status: wire.StatusOK, Body: c.jobState(u.job)})
			return true
		case c.now >= u.deadline:
			c.respondUnavailable(
				u.requestID,
				"its tasks may still run: other controllers do not know yet that it is cancelled",
			)
			return true
		}
		if c.schemaVersion() >= schemaCancelQuorum && c.now >= u.job.ack.nextBroadcastAt {
			u.job.ack.nextBroadcastAt = c.now + cancelResendInterval
			news = append(news, u.job)
		}
		return false
	})
	if len(news) > 0 {
		c.sendToPeers("", Message{Cancellations: c.cancellationItems(news)})
	}
}

// cancellationsKnownUpTo is the revision up to which all cancellations are known here.
func (c *Core) cancellationsKnownUpTo() uint64 {
	if !c.replica.loaded {
		return 0
	}
	return max(c.replica.revision, c.cancelAcks.peersKnowUpTo)
}

// cancellationItems are the values of cancelled jobs, as the state service holds them.
func (c *Core) cancellationItems(list []*job) (items []wire.KeyValue) {
	for _, j := range list {
		raw, err := c.encodeRecord(j.record, j.assignments, false)
		if err != nil {
			c.log(LevelError, "a cancellation can't be told", "job", j.id, "err", err.Error())
			continue
		}
		items = append(items, wire.KeyValue{Key: keyJob + j.id, Value: raw, Revision: j.revision})
		if j.cancellation.markerRevision != 0 {
			raw := cancelMarker{CancelMS: j.cancellation.markerMS, Carried: j.cancellation.markerAudit}.encode()
			items = append(
				items,
				wire.KeyValue{Key: keyCancel + j.id, Value: raw, Revision: j.cancellation.markerRevision},
			)
		}
	}
	return items
}

// applyPeerCancellations takes cancellations that another controller holds, as if the stream of
// changes had shown them: what it shows later of the same writes or older ones is ignored. It names
// the jobs that are held now.
func (c *Core) applyPeerCancellations(items []wire.KeyValue) (held []string) {
	for _, it := range items {
		id, ok := jobIDOfCancelKey(it.Key)
		if !ok {
			continue
		}
		// What the stream has shown is held, and may have left memory since: a copy that comes late
		// must not bring it back.
		shown := it.Revision <= c.replica.revision
		if !shown {
			c.applyPut(it.Key, it.Value, it.Revision)
		}
		if j := c.knownJob(id); (shown || j != nil && j.record.Stage == jobrecord.Cancelled) &&
			!slices.Contains(held, id) {
			held = append(held, id)
		}
	}
	return held
}

func jobIDOfCancelKey(key string) (id string, ok bool) {
	for _, prefix := range []string{keyJob, keyCancel} {
		if id, ok := strings.CutPrefix(key, prefix); ok && id != "" {
			return id, true
		}
	}
	return "", false
}

// handleQuorumMessage takes what another controller says of cancellations, and answers it. A
// controller that has not read all keys holds nothing: it may vouch that the state service is down,
// but not for this.
func (c *Core) handleQuorumMessage(peer string, m *Message) {
	if !c.replica.loaded {
		return
	}
	held := c.applyPeerCancellations(m.Cancellations)
	if len(held) > 0 && m.QuorumReply == nil {
		c.sendToPeers(peer, Message{CancelAcks: held})
	}
	for _, id := range m.CancelAcks {
		if j := c.knownJob(id); j != nil {
			if j.ack.heldBy == nil {
				j.ack.heldBy = map[string]bool{}
			}
			j.ack.heldBy[peer] = true
		}
	}
	if q := m.QuorumRead; q != nil {
		var list []*job
		for _, j := range c.openJobs {
			if j.isCancelledWithTasks() && j.latestCancelRevision() > q.SinceRevision {
				list = append(list, j)
			}
		}
		c.sendToPeers(
			peer,
			Message{
				QuorumReply:   &QuorumReply{q.Nonce, c.cancellationsKnownUpTo()},
				Cancellations: c.cancellationItems(list),
			},
		)
	}
	if v := m.QuorumReply; v != nil {
		if c.cancelAcks.quorum.HandleReply(peer, v.Nonce) {
			c.cancelAcks.peersKnowUpTo = max(c.cancelAcks.peersKnowUpTo, v.UpToRevision)
		}
		c.cancelAcks.quorum.RecordHeldRevision(peer, v.UpToRevision)
	}
}

// stopCommandsFor are the orders that go with the answer to a worker's report: whatever is
// cancelled there stops. That needs no write and no right to the job's shard.
func (c *Core) stopCommandsFor(m *machine) []wire.Command {
	var keys []attemptKey // mostly none: only these are sorted, as each report is answered
	for k, p := range m.status.tasks {
		if j := c.jobs[k.jobIndex]; p.state != wire.TaskExited && j != nil && j.record != nil &&
			j.record.Stage == jobrecord.Cancelled {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, attemptKey.compare)
	list := []wire.Command{}
	for _, k := range keys {
		grace := 0.0
		list = append(
			list,
			wire.Command{
				Op:           wire.OpStop,
				Task:         wire.TaskName(c.jobs[k.jobIndex].id, int(k.task)),
				Attempt:      k.attempt,
				GracePeriodS: &grace,
			},
		)
	}
	return list
}

// findRestartableCancelledTask names a cancelled task that is not on a machine and may still be
// started there by an order on its way, too late. Such an order is of the machine's session: who
// does not renew its lease ends that. (In an outage no higher token can be had, which would do it
// too.)
func (c *Core) findRestartableCancelledTask(m *machine) string {
	var late []taskKey // mostly none
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.jobIndex]
		if !j.isCancelledWithTasks() || a.Incarnation != m.status.incarnation ||
			c.timeSinceCancel(j) <= c.cancelStalenessBound() {
			continue
		}
		if _, there := m.status.tasks[attemptKey{k.jobIndex, k.task, a.Attempt}]; there {
			continue // the answer stops it
		}
		if ended, _ := c.attemptOutcome(j, a); !ended {
			late = append(late, k)
		}
	}
	if len(late) == 0 {
		return ""
	}
	first := slices.MinFunc(late, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.jobIndex, b.jobIndex), cmp.Compare(a.task, b.task))
	})
	return wire.TaskName(c.jobs[first.jobIndex].id, int(first.task))
}

func (c *Core) cancelStalenessBound() time.Duration {
	return quorum.MaxStaleness(c.cfg.Agents.CancelTimeout, c.cfg.Agents.LeaseTTL)
}

// leaseDenialReason tells why this controller may not renew the lease of a machine, by its report, now; "" if it may.
func (c *Core) leaseDenialReason(m *machine, r *wire.Heartbeat) string {
	switch {
	case !c.canAnswerAgents():
		return "not entitled"
	case !c.cancelAcks.quorum.IsFresh(c.now):
		return fmt.Sprintf(
			"cancellations of more than %v ago may not be known here",
			c.cancelStalenessBound().Round(time.Second),
		)
	case r.FencingToken > c.leadership.fencingToken:
		return "token not current"
	}
	if late := c.findRestartableCancelledTask(m); late != "" {
		return "a late order may still start a cancelled task there: " + late
	}
	return ""
}

// cancelAcks is acknowledging cancellations: the quorum's view, answers that wait for it, and how
// long somebody may wait.
type cancelAcks struct {
	waitersUntil  time.Duration // until then, somebody may wait for a cancellation
	quorum        *quorum.View  // see cancellations.go
	pending       []pendingAck
	peersKnowUpTo uint64        // up to this revision others have told of all cancellations
	nextReadAt    time.Duration // when the state service is read next for the sake of that
}
