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

// A user is told that a job is cancelled once a majority of the controllers holds that, or nothing of the job is on a machine; and whoever
// renews a worker's lease knows what was told (core/quorum, docs/notes/cancellation.md). Here is what the core does for it: it holds answers
// back, asks and answers for what others hold, has the news of cancellations current, and stops with each answer to a worker what is
// cancelled there.

// QuorumRead asks for the cancellations that a controller holds and the sender may lack.
type QuorumRead struct {
	Nonce uint64 `json:"n"`
	Since uint64 `json:"s"` // the sender holds all up to this revision
}

// QuorumReply answers a QuorumRead.
type QuorumReply struct {
	Nonce uint64 `json:"n"`
	Upto  uint64 `json:"u"` // the sender holds all up to this revision, and what comes with it
}

// untold is an answer that waits until a cancellation may be told.
type untold struct {
	req   uint64
	j     *job
	until time.Duration
}

const (
	tellWait  = 1500 * time.Millisecond // an answer waits for a majority: users wait 2 s
	tellAgain = 500 * time.Millisecond  // until the others are told of a cancellation again
)

// lingers reports whether a job is cancelled while tasks of it may be on machines.
func (j *job) lingers() bool {
	return j.rec != nil && j.rec.Stage == jobrecord.Cancelled && len(j.place) > 0
}

// sinceCancelled is the time since somebody asked for a job's cancellation, by the time of day.
func (c *Core) sinceCancelled(j *job) time.Duration {
	return time.Duration(c.unixMS()-j.rec.CancelledAtMS) * time.Millisecond
}

// cancelledAt is a revision at which a cancelled job's cancellation was there: whoever has seen it knows of that.
func (j *job) cancelledAt() uint64 { return max(j.mark, j.cancellation.markerRevision) }

// mayTell reports whether users may be told that a job is cancelled.
func (c *Core) mayTell(j *job) bool {
	if !j.lingers() || j.ack.allowed {
		return true
	}
	// A controller of an older version neither vouches nor asks: as long as there may be one, the tasks must be gone.
	j.ack.allowed = c.form() >= formQuorum && c.cancelAcks.quorum.CanAcknowledge(j.cancelledAt(), j.ack.heldBy)
	return j.ack.allowed
}

// tellOrWait answers with a job's state, once that may be told.
func (c *Core) tellOrWait(req uint64, status int, s wire.JobState) {
	if s.Stage == wire.StageCancelled {
		if j := c.knownJob(s.ID); j != nil && !c.mayTell(j) {
			c.cancelAcks.pending = append(c.cancelAcks.pending, untold{req, j, c.now + tellWait})
			return
		}
	}
	c.emit(Reply{Req: req, Status: status, Body: s})
}

// tellStep sees to it that the news of cancellations is current, and that those may be told that users wait for.
func (c *Core) tellStep() {
	if c.cancelAcks.quorum.IsReadDue(c.now) && c.now >= c.cancelAcks.nextReadAt {
		c.cancelAcks.nextReadAt = c.now + time.Second
		c.afterBarrier(func(bool) {})
	}
	if c.cancelAcks.quorum.IsQueryDue(c.now) {
		q := &QuorumRead{Nonce: c.rng.Uint64() | 1, Since: c.heldUpTo()}
		c.cancelAcks.quorum.BeginQuery(c.now, q.Nonce)
		c.tell("", Msg{QuorumRead: q})
	}
	var news []*job
	c.cancelAcks.pending = slices.DeleteFunc(c.cancelAcks.pending, func(u untold) bool {
		switch {
		case c.mayTell(u.j):
			c.emit(Reply{Req: u.req, Status: 200, Body: c.state(u.j)})
			return true
		case c.now >= u.until:
			c.refuse(u.req, "its tasks may still run: other controllers do not know yet that it is cancelled")
			return true
		}
		if c.form() >= formQuorum && c.now >= u.j.ack.nextBroadcastAt {
			u.j.ack.nextBroadcastAt = c.now + tellAgain
			news = append(news, u.j)
		}
		return false
	})
	if len(news) > 0 {
		c.tell("", Msg{Cancels: c.cancellations(news)})
	}
}

// heldUpTo is the revision up to which all cancellations are known here.
func (c *Core) heldUpTo() uint64 {
	if !c.replica.loaded {
		return 0
	}
	return max(c.replica.revision, c.cancelAcks.peersKnowUpTo)
}

// cancellations are the values of cancelled jobs, as the state service holds them.
func (c *Core) cancellations(list []*job) (items []wire.KeyValue) {
	for _, j := range list {
		raw, err := c.encodeRecord(j.rec, j.place, false)
		if err != nil {
			c.note("error", "a cancellation can't be told", "job", j.id, "err", err.Error())
			continue
		}
		items = append(items, wire.KeyValue{Key: keyJob + j.id, Value: raw, Revision: j.mark})
		if j.cancellation.markerRevision != 0 {
			raw := cancelMark{CancelMS: j.cancellation.markerMS, Carried: j.cancellation.markerAudit}.encode()
			items = append(items, wire.KeyValue{Key: keyCancel + j.id, Value: raw, Revision: j.cancellation.markerRevision})
		}
	}
	return items
}

// toldOf takes cancellations that another controller holds, as if the stream of changes had shown them: what it shows later of the same
// writes or older ones is ignored. It names the jobs that are held now.
func (c *Core) toldOf(items []wire.KeyValue) (held []string) {
	for _, it := range items {
		id, ok := jobOfCancellation(it.Key)
		if !ok {
			continue
		}
		// What the stream has shown is held, and may have left memory since: a copy that comes late must not bring it back.
		shown := it.Revision <= c.replica.revision
		if !shown {
			c.put(it.Key, it.Value, it.Revision)
		}
		if j := c.knownJob(id); (shown || j != nil && j.rec.Stage == jobrecord.Cancelled) && !slices.Contains(held, id) {
			held = append(held, id)
		}
	}
	return held
}

func jobOfCancellation(key string) (id string, ok bool) {
	for _, prefix := range []string{keyJob, keyCancel} {
		if id, ok := strings.CutPrefix(key, prefix); ok && id != "" {
			return id, true
		}
	}
	return "", false
}

// quorumMsg takes what another controller says of cancellations, and answers it. A controller that has not read all keys holds nothing: it may
// vouch that the state service is down, but not for this.
func (c *Core) quorumMsg(peer string, m *Msg) {
	if !c.replica.loaded {
		return
	}
	held := c.toldOf(m.Cancels)
	if len(held) > 0 && m.QuorumReply == nil {
		c.tell(peer, Msg{CancelAcks: held})
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
		for _, j := range c.open {
			if j.lingers() && j.cancelledAt() > q.Since {
				list = append(list, j)
			}
		}
		c.tell(peer, Msg{QuorumReply: &QuorumReply{q.Nonce, c.heldUpTo()}, Cancels: c.cancellations(list)})
	}
	if v := m.QuorumReply; v != nil {
		if c.cancelAcks.quorum.HandleReply(peer, v.Nonce) {
			c.cancelAcks.peersKnowUpTo = max(c.cancelAcks.peersKnowUpTo, v.Upto)
		}
		c.cancelAcks.quorum.RecordHeldRevision(peer, v.Upto)
	}
}

// stopsFor are the orders that go with the answer to a worker's report: whatever is cancelled there stops. That needs no write and no right
// to the job's shard.
func (c *Core) stopsFor(m *machine) []wire.Command {
	var keys []attKey // mostly none: only these are sorted, as each report is answered
	for k, p := range m.status.tasks {
		if j := c.jobs[k.job]; p.state != wire.TaskExited && j != nil && j.rec != nil && j.rec.Stage == jobrecord.Cancelled {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, attKey.compare)
	list := []wire.Command{}
	for _, k := range keys {
		grace := 0.0
		list = append(list, wire.Command{Op: wire.OpStop, Task: wire.TaskName(c.jobs[k.job].id, int(k.task)), Attempt: k.try, GracePeriodS: &grace})
	}
	return list
}

// mayComeBack names a cancelled task that is not on a machine and may still be started there by an order on its way, too late. Such an order is
// of the machine's session: who does not renew its lease ends that. (In an outage no higher token can be had, which would do it too.)
func (c *Core) mayComeBack(m *machine) string {
	var late []taskKey // mostly none
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.job]
		if !j.lingers() || a.Incarnation != m.status.incarnation || c.sinceCancelled(j) <= c.bound() {
			continue
		}
		if _, there := m.status.tasks[attKey{k.job, k.task, a.Attempt}]; there {
			continue // the answer stops it
		}
		if ended, _ := c.fate(j, a); !ended {
			late = append(late, k)
		}
	}
	if len(late) == 0 {
		return ""
	}
	first := slices.MinFunc(late, func(a, b taskKey) int { return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task)) })
	return wire.TaskName(c.jobs[first.job].id, int(first.task))
}

func (c *Core) bound() time.Duration { return quorum.MaxStaleness(c.cfg.CancelIn, c.cfg.WorkerLease) }

// whyNot tells why this controller may not renew the lease of a machine, by its report, now; "" if it may.
func (c *Core) whyNot(m *machine, r *wire.Heartbeat) string {
	switch {
	case !c.entitled():
		return "not entitled"
	case !c.cancelAcks.quorum.IsFresh(c.now):
		return fmt.Sprintf("cancellations of more than %v ago may not be known here", c.bound().Round(time.Second))
	case r.FencingToken > c.leadership.fencingToken:
		return "token not current"
	}
	if late := c.mayComeBack(m); late != "" {
		return "a late order may still start a cancelled task there: " + late
	}
	return ""
}
