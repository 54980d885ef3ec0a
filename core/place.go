package core

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/auditlog"
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/wire"
)

// txn is a transaction on its way. done, if set, is all that is done with its outcome.
type txn struct {
	props []proposal
	teams []*team
	slots map[int]*batchvalue.Draft // that it writes
	keyed map[int]bool              // and those on whose marks writes of jobs' own keys depend
	done  func(status int, r wire.TxnResponse)
	txn   wire.Txn
}

// proposal is a job's next record, to be adopted once it is committed.
type proposal struct {
	j       *job
	rec     *jobrecord.Record
	spec    *wire.JobSpec // also there when the record is final
	place   []jobrecord.Assignment
	started []jobrecord.Assignment
	ended   []jobrecord.Assignment
	size    int // of the record, as it is written
	accept  bool
	cancel  bool
	routine bool             // it only tells of ends
	starts  bool             // it only starts tasks
	slot    int              // of a job that was there before
	shared  bool             // it is in its slot
	fold    bool             // it is to have its own key
	acts    []auditlog.Event // to be recorded
	asked   int              // how many of them, the first, are cancellations that users asked for
	ids     []uint64         // of their entries
	conds   []wire.Compare   // under which a new job can't have been archived, and its user still may
}

// commit sends a transaction and pays for it.
func (c *Core) commit(t wire.Txn, x *txn) {
	id := c.id()
	x.txn = t
	c.transactions.inFlight[id] = x
	c.transactions.rateLimit.SpendTxn(len(t.Then))
	c.Stats.Commits++
	c.emit(Commit{ID: id, Txn: t})
}

func (c *Core) committed(in Committed) {
	x := c.transactions.inFlight[in.ID]
	if x == nil {
		return
	}
	delete(c.transactions.inFlight, in.ID)
	c.stateAnswered(in.Status)
	if in.Status == 429 {
		c.transactions.rateLimit.Pause(c.now+80*time.Millisecond+c.jitter(150*time.Millisecond), c.now+20*time.Millisecond+c.jitter(40*time.Millisecond))
	}
	if in.Status == 503 || in.Status == 0 {
		until := c.now + 100*time.Millisecond + c.jitter(100*time.Millisecond)
		c.transactions.rateLimit.Pause(until, until)
	}
	if in.Status != 200 {
		c.note("debug", "transaction not committed", "status", in.Status, "failed", in.Reply.Failed, "error", in.Reply.Error)
	}
	if in.Status == 400 && x.done == nil { // no leased key is in it
		c.shrink(&x.txn)
	}
	for _, key := range in.Reply.Failed {
		c.hist.index.Invalidate(key)
	}
	behind := in.Status != 200 && in.Status != 429 && in.Status != 503
	locked := c.released(x, in.Status, in.Reply.Revision)
	for _, t := range x.teams {
		t.locked = behind // a team's state must be read before it is used again
		if in.Status == 200 {
			t.mark = max(t.mark, in.Reply.Revision)
		}
	}
	if x.done != nil {
		x.done(in.Status, in.Reply)
		return
	}
	if in.Status == 409 {
		c.Stats.Conflicts++
	}
	if in.Status == 0 {
		c.Stats.Unknown++
	}
	var resync []*job
	for _, p := range x.props {
		j := p.j
		j.write.inFlight = false
		c.recorder().HandleOutcome(p.ids, in.Status)
		if in.Status == 200 {
			for _, a := range p.ended {
				c.freed(j, a)
			}
			switch {
			case p.shared:
				if c.slot(p.slot).Revision == in.Reply.Revision && j.rec.WriteNumber == p.rec.WriteNumber && !j.final() {
					c.adopt(j, p.rec, p.place, j.mark, j.stored.bytes)
				}
			case in.Reply.Revision > j.mark:
				c.adopt(j, p.rec, p.place, in.Reply.Revision, p.size)
			}
			if p.accept {
				c.settleAccept(j, 201, "")
			}
			c.settleCancels(j)
			continue
		}
		for _, a := range p.started {
			c.delta(false, j, a, p.spec.Request)
		}
		c.touch(j)
		if j.accept != nil {
			j.accept.failed = true
		}
		switch in.Status {
		case 429, 503: // not executed
			if in.Status == 503 {
				c.settleAccept(j, 503, "state service not reached")
				c.failCancels(j, "state service not reached")
			}
		case 0:
			c.settleAccept(j, 503, "outcome not known yet")
			c.failCancels(j, "outcome not known yet")
			fallthrough
		default:
			// Applied late, or overtaken: read before proposing anything again.
			j.write.outcomeUnknown = true
			if in.Status == 400 {
				j.write.nextLookAt = c.now + time.Second
			}
			resync = append(resync, j)
		}
	}
	if behind {
		// Whoever was overtaken reads at once: else a controller that writes often wins always.
		c.replica.nextBarrierAt = c.now
		c.clearUp(resync, x.teams, locked)
	}
}

// clearUp frees jobs, teams and slots for new proposals once a read barrier has shown their state.
func (c *Core) clearUp(js []*job, teams []*team, slots []int) {
	// Queued directly: while all keys are being read again, it waits for that to end.
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, func(ok bool) {
		if !ok {
			c.clearUp(js, teams, slots)
			return
		}
		for _, n := range slots {
			c.slot(n).WriteInFlight = false
		}
		for _, t := range teams {
			t.locked = false
		}
		for _, j := range js {
			j.write.outcomeUnknown = false
			c.touch(j)
			if j.accept != nil && j.mark != 0 {
				c.settleAccept(j, 200, "")
			}
			c.settleCancels(j)
		}
	})
}

// delta notes a start or finish for the leader; the own copy already shows starts. A start is
// noted when its write is sent: the sooner the others know, the fewer choose the same room. If
// the write fails, an end follows.
func (c *Core) delta(start bool, j *job, a jobrecord.Assignment, claim clusterstate.Resources) {
	m := c.machines[a.Machine]
	c.deltaLog.unsent = append(c.deltaLog.unsent, DeltaMsg{Start: start, Machine: m.name, Claim: claim, Key: taskHash(j.id, a.Task, a.Attempt)})
	if !start {
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: claim})
		c.placement.capacityFreed = true
	}
}

// freed gives back the room of a task that has ended, once. The write of its end may follow
// later: the room is free for others as soon as the machine says so.
func (c *Core) freed(j *job, a jobrecord.Assignment) {
	t := c.attempt(c.machines[a.Machine], attKey{j.idx, a.Task, a.Attempt})
	if !t.freed && c.mine(j) && j.rec != nil && j.rec.Spec != nil {
		t.freed = true
		c.delta(false, j, a, j.rec.Spec.Request)
	}
}

// fate tells whether a task's assignment has ended, with its cause.
func (c *Core) fate(j *job, a jobrecord.Assignment) (ended bool, cause string) {
	m := c.machines[a.Machine]
	switch {
	case m.lifecycle.gone:
		return true, "machine gone"
	case m.status.incarnation > a.Incarnation:
		return true, "machine lost its lease"
	case m.status.incarnation < a.Incarnation || !m.status.reported:
		return false, ""
	}
	k := attKey{j.idx, a.Task, a.Attempt}
	p, ok := m.status.tasks[k]
	if ok {
		return p.state == wire.TaskExited, p.cause
	}
	// Absent from the newest report: that is proof only if no order for it can still come,
	// and of use only if it is not to be started any more.
	if j.final() && c.settled(m, j, k) {
		return true, "not started"
	}
	return false, ""
}

// settled reports whether no start of an attempt can still be on its way to its machine:
// every one of ours was answered or fenced off by a higher token that the machine has seen,
// and so were those of former owners.
func (c *Core) settled(m *machine, j *job, k attKey) bool {
	s := c.shardOf(j)
	if !c.mineShard(s) || m.status.fencingToken < c.ownership.shards[s].Token {
		return false
	}
	t := m.commands.attempts[k]
	return t == nil || !t.inFlight && (t.lost == 0 || m.status.fencingToken > t.lost)
}

// maxPlaced bounds the tasks of a job assigned at one time, so that its record fits a value;
// fitValue sees to the rest.
func (c *Core) maxPlaced() int {
	if c.form() >= formAwaits {
		return max(8, c.cfg.ValueBytes/3) // a packed task takes about two bytes
	}
	return max(8, (c.cfg.ValueBytes-1024)/12)
}

// place evaluates the jobs that changed and commits what follows.
func (c *Core) place() {
	if c.mute() {
		return
	}
	inflight := 0
	for _, x := range c.transactions.inFlight {
		if x.done == nil {
			inflight++
		}
	}
	if c.placement.yieldedUntil != 0 && c.now >= c.placement.yieldedUntil {
		c.placement.yieldedUntil, c.placement.nextScanAt, c.placement.capacityFreed = 0, c.now, true
	}
	if c.placement.capacityFreed && c.now >= c.placement.nextScanAt {
		c.placement.capacityFreed = false
		c.placement.unplaceable = c.placement.unplaceable[:0]
		c.placement.nextScanAt = c.now + c.lookGap()
		for _, j := range c.open {
			if j.placement.hasUnplacedTasks && c.mine(j) {
				c.touch(j)
			}
		}
	}
	// With hundreds of jobs that wait, finding out that nothing can be written now is most of what a turn takes.
	if c.accepting == 0 && c.now >= c.cancelAcks.waitersUntil && c.now < c.transactions.nextBlockedScanAt &&
		(c.transactions.rateLimit.IsPaused(c.now) || inflight >= 3 || c.transactions.rateLimit.ReadTokens < 1 || c.transactions.rateLimit.WriteTokens < 1+writesKept) {
		return
	}
	c.transactions.nextBlockedScanAt = c.now + scanGap
	var todo []*job
	for _, j := range c.open {
		if j.accept != nil && !j.write.inFlight && c.now >= j.accept.until {
			c.settleAccept(j, 503, tooBusy)
		}
		if len(j.cancellation.waiters) > 0 && !j.write.inFlight && c.now >= j.cancellation.answerBy {
			c.failCancels(j, tooBusy)
		}
		if !j.write.dirty || j.write.inFlight || j.write.outcomeUnknown || c.now < j.write.nextLookAt {
			continue
		}
		if j.mark != 0 && j.accept != nil {
			c.settleAccept(j, 200, "")
		}
		if j.mark == 0 && j.accept == nil || j.mark != 0 && len(j.cancellation.waiters) == 0 && !c.mine(j) {
			j.write.dirty = false
			continue
		}
		if c.placement.capacityFreed && c.now < c.placement.nextScanAt && j.placement.hasUnplacedTasks && !j.placement.tasksLost && j.mark != 0 && len(j.cancellation.waiters) == 0 && c.waitsBehind(j) {
			j.write.nextLookAt = c.placement.nextScanAt // all that wait are looked at then, in their order
			continue
		}
		todo = append(todo, j)
	}
	c.transactions.backlog = len(todo)
	// What users wait for goes out sooner: a full budget or slow answers hold it back less.
	paused, most, reads := c.transactions.rateLimit.IsPaused(c.now), 3, 1.0
	if slices.ContainsFunc(todo, func(j *job) bool { return c.urgency(j) <= urgentAccept }) {
		paused, most, reads = c.transactions.rateLimit.IsUrgentPaused(c.now), 6, -c.transactions.rateLimit.ReadRate/2
	}
	if paused || inflight >= most || !c.leaseOK() || len(todo) == 0 || c.transactions.rateLimit.ReadTokens < reads {
		return
	}
	if most == 3 && c.transactions.rateLimit.WriteTokens < 1+writesKept {
		return // nothing could be written: with thousands of jobs to look at, that is not worth finding out
	}
	// A team's key is one more change for each transaction. Where changes are few and many jobs
	// wait, they are placed together.
	many := 0
	for _, j := range todo {
		if c.urgency(j) == 2 && c.teamOf(j.rec.Spec) != nil && c.teamOf(j.rec.Spec).limited() {
			many++
		}
	}
	if most == 3 && many >= gatherMany && c.transactions.rateLimit.WriteTokens < 0.7*c.transactions.rateLimit.WriteBurst(c.cfg.TxnOps) {
		return
	}
	// Ends of tasks share writes: the more jobs run, the longer they wait for others.
	running := 0
	for _, j := range c.open {
		if len(j.place) > 0 && j.rec.Spec != nil && !j.rec.Spec.Service && c.mine(j) {
			running++
		}
	}
	c.transactions.endBatchDelay = min(c.cfg.SettleMost, max(c.cfg.Settle, time.Duration(float64(running)/(0.5*c.transactions.rateLimit.WriteRate)*float64(time.Second))))
	for _, j := range todo {
		j.queue.missingReplicas = c.lostReplicas(j)
		j.queue.rank = c.rankOf(j)
	}
	slices.SortStableFunc(todo, func(a, b *job) int {
		if d := c.urgency(a) - c.urgency(b); d != 0 {
			return d
		}
		return a.queue.rank.compare(b.queue.rank)
	})
	todo = c.keepShares(todo)
	b := &builder{c: c, add: map[*team][2]int64{}}
	for _, j := range todo {
		if !b.take(j) {
			break
		}
	}
	if len(b.slots) > 0 { // ends that would have waited for others go with them
		for _, j := range c.open {
			if j.write.waitsForEnds && !j.write.inFlight && !j.write.outcomeUnknown && j.rec.Spec != nil && b.slots[c.slotOf(j.id, j.rec)] != nil && c.mine(j) && !b.take(j) {
				break
			}
		}
	}
	b.flush()
}

const condsOfJob = 5 // of a proposal, beside those of its own: its record, its shard, its slot, its team, a mark of cancellation

const scanGap = 200 * time.Millisecond // between two looks at what waits, while nothing can be written

const gatherMany = 4 // jobs that wait, from which they are placed together

// urgency orders writes: cancellations, then acceptances, then placements, then completions.
func (c *Core) urgency(j *job) int {
	switch {
	case len(j.cancellation.waiters) > 0:
		return 0
	case j.accept != nil:
		return urgentAccept
	case j.placement.hasUnplacedTasks || j.placement.tasksLost || len(j.next) > 0:
		return 2
	}
	return 3
}

const (
	urgentAccept = 1
	writesKept   = 2 // changes left for what users wait for
)

// lostReplicas counts a job's replicas that are gone.
func (c *Core) lostReplicas(j *job) int {
	n := 0
	if j.placement.tasksLost && j.rec != nil && j.rec.Spec != nil && j.rec.Spec.Service {
		for _, a := range j.place {
			if ended, _ := c.fate(j, a); ended {
				n++
			}
		}
	}
	return n
}

// builder gathers proposals into one transaction.
type builder struct {
	c     *Core
	props []proposal
	teams []*team
	add   map[*team][2]int64
	t     wire.Txn
	bytes int
	shard map[int]bool
	slots map[int]*batchvalue.Draft
	keyed map[int]bool

	waitedFor bool // users wait for it
}

// take proposes a job's next record; false means that the transaction is full.
func (b *builder) take(j *job) bool {
	c := b.c
	cost := float64(b.changes() + 1)
	slot := -1
	if j.mark != 0 && j.rec != nil && j.rec.Spec != nil {
		slot = c.slotOf(j.id, j.rec)
	}
	if b.slots[slot] != nil {
		cost-- // its slot is written anyway
	}
	if u := c.urgency(j); u > urgentAccept && b.waitedFor {
		return false // one key that others write too must not fail what users wait for
	} else if u > urgentAccept {
		cost += writesKept
	} else {
		// It may overdraw: if the others leave nothing, the service says so, and soon after it is
		// tried again.
		b.waitedFor = true
		cost -= c.writeRPS() / 2
	}
	if b.changes()+3 > c.cfg.TxnOps || len(b.props) >= propsMost || b.bytes > 40<<10 || c.transactions.rateLimit.WriteTokens < cost {
		return false
	}
	if slot >= 0 && c.slot(slot).WriteInFlight && c.form() >= formShared {
		j.write.nextLookAt = c.now + slotAgain
		return true
	}
	p, again := c.propose(j, b)
	if p == nil {
		j.write.dirty = again != 0
		j.write.nextLookAt = again
		return true
	}
	p.slot = slot
	if len(p.acts) > 0 {
		p.conds = append(p.conds, c.unrecorded()...)
	}
	if len(b.props) > 0 && len(b.t.Compare)+len(b.slots)+len(p.conds)+condsOfJob > 4*c.cfg.TxnOps {
		c.undo(p)
		return false
	}
	// What nobody waits for leaves a part of the budget to what somebody does.
	if p.routine && c.transactions.rateLimit.WriteTokens < cost+c.transactions.rateLimit.WriteRate*0.2 {
		j.write.nextLookAt = c.now + 100*time.Millisecond
		return true
	}
	old := p.rec.PendingAudit
	if j.cancellation.markerRevision != 0 && p.rec.Spec == nil { // its mark goes
		old = append(slices.Clone(old), j.cancellation.markerAudit...)
	}
	if entry := c.entryOf(p); entry != nil && b.slots[slot] == nil && c.slot(slot).JobKeyWritesInFlight > 0 {
		c.undo(p)
		j.write.nextLookAt = c.now + slotAgain
		return true
	} else if entry != nil && b.share(p, entry) {
		b.onShard(p)
		b.join(p)
		return true
	}
	if c.form() >= formShared {
		p.rec.WriteNumber++
	}
	p.rec.PendingAudit, p.ids = c.recorder().AttachEntries(keyJob+j.id, j.mark, old, p.acts)
	raw, err := c.fitValue(p)
	if err != nil || len(raw) > c.cfg.ValueBytes {
		// An older version may have stored it under larger limits, or its tasks end in an order that
		// leaves many pieces. It is written once more of them have ended; a job that is over always
		// fits. Nothing is lost meanwhile: its machines keep what they reported.
		c.undo(p)
		j.write.nextLookAt = c.now + time.Second
		if p.cancel && c.form() >= formAwaits {
			c.markCancelled(j, p.rec.CancelledAtMS, p.conds, p.acts[:p.asked])
		}
		return true
	}
	p.size = len(raw)
	if p.starts && len(p.started) == 0 {
		c.recorder().DiscardEntries(p.ids)
		// No start fits the value before others of its tasks have ended. Without this, such a job
		// was written again and again as it was, and the others starved.
		j.write.nextLookAt = c.now + time.Second
		return true
	}
	b.onShard(p)
	if n := slot; n >= 0 && c.form() >= formShared {
		b.need(wire.Compare{Key: slotKey(n), Revision: c.slot(n).Revision})
		switch {
		case !c.mine(j): // its holder may be about to write the slot, and must not without knowing of this
			b.drop(n, j.id)
		case b.slots[n] == nil:
			if b.keyed == nil {
				b.keyed = map[int]bool{}
			}
			b.keyed[n] = true
		}
	}
	b.t.Compare = append(b.t.Compare, wire.Compare{Key: keyJob + j.id, Revision: j.mark})
	for _, k := range p.conds {
		b.need(k)
	}
	b.t.Then = append(b.t.Then, wire.Write{Put: keyJob + j.id, Value: raw})
	if j.stored.bytes > c.cfg.ValueBytes || j.cancellation.markerRevision != 0 {
		b.t.Compare = append(b.t.Compare, wire.Compare{Key: keyCancel + j.id, Revision: j.cancellation.markerRevision})
	}
	if j.cancellation.markerRevision != 0 && p.rec.Spec == nil {
		b.t.Then = append(b.t.Then, wire.Write{Delete: keyCancel + j.id})
	}
	b.bytes += len(raw) + 200
	b.join(p)
	return true
}

// join puts a proposal into the transaction.
func (b *builder) join(p *proposal) {
	b.countStarts(p)
	b.c.priority.startShares.started(b.c.now, p, b.c)
	p.j.write.dirty, p.j.write.inFlight = false, true
	b.props = append(b.props, *p)
}

const propsMost = 64 // jobs written together; each takes a choice of machines

const slotAgain = 10 * time.Millisecond // until a slot that is being written is looked at again

// onShard makes a transaction depend on the shard of a proposal's job, unless somebody who does not hold it may write it.
func (b *builder) onShard(p *proposal) {
	shard := p.rec.Shard
	if (p.cancel || p.accept) && !b.c.mineShard(shard) || b.shard[shard] {
		return
	}
	if b.shard == nil {
		b.shard = map[int]bool{}
	}
	b.shard[shard] = true
	b.t.Compare = append(b.t.Compare, wire.Compare{Key: shardKey(shard), Revision: b.c.ownership.shards[shard].mark})
}

// countStarts counts a proposal's starts against its team's limits, which all who start tasks of the team write.
func (b *builder) countStarts(p *proposal) {
	tm := b.c.teamOf(p.rec.Spec)
	if tm == nil || !tm.limited() || len(p.started) == 0 {
		return
	}
	if _, ok := b.add[tm]; !ok {
		b.teams = append(b.teams, tm)
		b.t.Compare = append(b.t.Compare, wire.Compare{Key: keyTeam + tm.Name, Revision: tm.mark})
		b.t.Then = append(b.t.Then, wire.Write{Put: keyTeam + tm.Name, Value: json.RawMessage("1")})
	}
	u := b.add[tm]
	n := int64(len(p.started))
	b.add[tm] = [2]int64{u[0] + n*p.rec.Spec.Request[0], u[1] + n*p.rec.Spec.Request[1]}
}

// fitValue encodes a proposal's record: readable if there is room to spare, else packed if that
// may be written. New starts that would make it too large for a value wait.
func (c *Core) fitValue(p *proposal) (json.RawMessage, error) {
	for {
		starts := len(p.started)
		raw, err := c.encodeRecord(p.rec, p.place, false)
		if err != nil || len(raw) <= c.cfg.ValueBytes*7/8 && len(raw)+p.rec.MaxGrowth(p.place) <= c.cfg.ValueBytes {
			return raw, err
		}
		if c.form() >= formAwaits {
			packed, err := c.encodeRecord(p.rec, p.place, true)
			if err != nil || len(packed) <= c.cfg.ValueBytes*3/4 || starts == 0 && len(packed) <= c.cfg.ValueBytes {
				return packed, err
			}
		}
		switch {
		case starts > 0:
			n := (starts + 3) / 4
			c.undo(&proposal{started: p.started[starts-n:], spec: p.spec})
			p.started = p.started[:starts-n]
			p.place = p.place[:len(p.place)-n]
			p.rec.LastAttempt -= uint64(n)
		case len(raw) > c.cfg.ValueBytes && len(p.rec.StopReasons) > 0:
			p.rec.StopReasons = nil
		default:
			return raw, nil
		}
	}
}

// undo gives back the room of starts that were not committed.
func (c *Core) undo(p *proposal) {
	c.recorder().DiscardEntries(p.ids)
	for _, a := range p.started {
		c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Machine: a.Machine, Request: p.spec.Request})
	}
}

func (b *builder) flush() {
	for _, p := range b.closeSlots() {
		b.c.undo(&p)
		p.j.write.inFlight, p.j.stored.needsOwnKey = false, true
		b.c.touch(p.j)
	}
	if len(b.props) == 0 {
		return
	}
	for _, t := range b.teams {
		t.locked = true
	}
	for _, p := range b.props {
		if p.accept {
			p.j.accept.sent = len(p.j.accept.reqs)
		}
		for _, a := range p.started {
			b.c.delta(true, p.j, a, p.spec.Request)
		}
	}
	x := &txn{props: b.props, teams: b.teams, slots: b.slots, keyed: b.keyed}
	b.c.depend(x)
	b.c.commit(b.t, x)
}

func (c *Core) teamOf(s *wire.JobSpec) *team {
	if s == nil {
		return nil
	}
	if i, ok := c.teamIdx[s.Team]; ok {
		return c.teams[i]
	}
	return nil
}

// propose works out a job's next record from what is known; nil if nothing changes.
// again, if set, is when to look again although nothing new was heard.
func (c *Core) propose(j *job, b *builder) (p *proposal, again time.Duration) {
	if j.mark == 0 {
		unless, ok := c.unchanged(j.id)
		spec := j.accept.spec
		_, unknown, _ := c.unmet(&spec)
		if !ok || unknown != "" || j.accept.failed && c.hist.cold > 0 && !j.accept.looked {
			return nil, c.lookFor(j)
		}
		if d := c.may(j.accept.by, submission(&spec)); !d.Allowed {
			c.settleAccept(j, 403, d.Reason)
			return nil, 0
		}
		s := c.pickShard()
		lane := ""
		if c.priority.revision != 0 && c.form() >= formLanes {
			lane = c.priority.classes.Name(c.priority.classes.Classify(&spec))
		}
		rec := &jobrecord.Record{PriorityClass: lane, Shard: s, Spec: &spec, AcceptedAtMS: j.accept.unixMS, Submitter: j.accept.by.Who}
		p = &proposal{j: j, rec: rec, spec: rec.Spec, accept: true, conds: append(c.onRights(j.accept.by), unless),
			acts: []auditlog.Event{actOf(j.accept.by, "submit", j.id, fmt.Sprintf("%s %s %s", spec.Team, spec.Class, wire.PriorityName(spec.Priority)))}}
		left, _, cancelled := c.unmet(&spec)
		if cancelled != nil {
			p.rec = &jobrecord.Record{Shard: s, Stage: jobrecord.Cancelled, CancelledAtMS: c.unixMS(), CancelledByJob: cancelled.id}
			c.keepGroup(p.rec, &spec)
			p.acts = append(p.acts, auditlog.Event{Verb: "cancel", Object: j.id, Reason: "needs " + cancelled.id})
			return p, 0
		}
		spec.Dependencies = left // what is over needs no keeping
		// Its tasks are placed with the same write if that costs its user no time: a team's key may
		// be locked, or written by others so often that the write fails.
		if t := c.teamOf(&spec); t != nil && t.limited() && t.locked && len(left) == 0 && c.mineShard(s) && c.now < j.accept.since+2*lockedAgain {
			return nil, c.now + lockedAgain
		}
		if !j.accept.failed && c.mineShard(s) && len(left) == 0 && !c.othersFirst(&spec) {
			c.assign(p, b)
		}
		return p, 0
	}
	if j.rec == nil || j.rec.Spec == nil {
		c.settleCancels(j)
		return nil, 0
	}
	j.write.waitsForEnds = false
	rec := *j.rec
	rec.StopReasons = slices.Clone(j.rec.StopReasons)
	if c.form() >= formLanes {
		rec.EnqueueRevision = j.queue.enqueueRevision
	}
	p = &proposal{j: j, rec: &rec, spec: j.rec.Spec}
	if len(j.cancellation.waiters) > 0 && rec.Stage == jobrecord.Queued {
		p.conds = c.stillMay(j)
	}
	if len(j.cancellation.waiters) > 0 && rec.Stage == jobrecord.Queued {
		p.cancel = true
		rec.Stage = jobrecord.Cancelled
		rec.CancelledAtMS = j.cancellation.requestedMS
		for _, x := range j.cancellation.waiters {
			if a := actOf(x.by, "cancel", j.id, ""); !slices.Contains(p.acts, a) {
				p.acts = append(p.acts, a)
			}
		}
		p.asked = len(p.acts)
	}
	ended := j.cause != nil && rec.Stage == jobrecord.Queued // with a job that it needs
	if ended {
		rec.Stage, rec.CancelledByJob, rec.CancelledAtMS = jobrecord.Cancelled, j.cause.id, c.unixMS()
		p.acts = append(p.acts, auditlog.Event{Verb: "cancel", Object: j.id, Reason: "needs " + j.cause.id})
	}
	if !c.mine(j) {
		if !p.cancel {
			return nil, 0
		}
		p.place = j.place
		return p, 0
	}
	// Where changes are left over, a full slot is made roomy again.
	crowded := c.transactions.rateLimit.WriteTokens >= 0.9*c.transactions.rateLimit.WriteBurst(c.cfg.TxnOps) && c.slot(c.slotOf(j.id, j.rec)).IsNearlyFull(c.mostShared())
	overlaid := (j.stored.needsOwnKey || crowded) && c.entryOn(j.id, j.rec) != nil
	p.fold = j.stored.needsOwnKey || overlaid
	changed := overlaid || p.cancel || ended || j.stored.bytes > c.cfg.ValueBytes && c.form() >= formAwaits
	quick := p.cancel
	var stopped []jobrecord.StopReason
	for _, a := range j.place {
		ended, cause := c.fate(j, a)
		if !ended {
			p.place = append(p.place, a)
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
			if t := m.commands.attempts[attKey{j.idx, a.Task, a.Attempt}]; t != nil && t.stop != "" && cause == wire.CauseStopped {
				cause = t.stop
			}
			stopped = append(stopped, jobrecord.StopReason{Task: int(a.Task), Machine: m.name, Cause: cause, AtMS: c.unixMS()})
			rec.AddStopReason(stopped[len(stopped)-1])
			c.blame(j, m, cause, a, mistaken(&rec, c.unixMS()))
		}
	}
	p.acts = append(p.acts, stopsOf(j.id, stopped)...)
	switch {
	case rec.Stage == jobrecord.Cancelled && len(p.place) == 0:
		rec = jobrecord.Record{Shard: rec.Shard, Stage: jobrecord.Cancelled, CompletedTasks: rec.CompletedTasks, StopReasons: rec.StopReasons, CancelledByJob: rec.CancelledByJob, PendingAudit: rec.PendingAudit}
		c.keepGroup(&rec, p.spec)
		changed = true
	case rec.Stage == jobrecord.Queued && rec.CompletedTasks.Count() == rec.Spec.Tasks:
		c.note("debug", "job done", "job", j.id, "class", rec.Spec.Class, "team", rec.Spec.Team, "tasks", rec.Spec.Tasks, "tries", rec.LastAttempt,
			"estimate_s", rec.Spec.EstimatedRuntimeMS/1000, "took_ms", c.unixMS()-rec.AcceptedAtMS, "placed_ms", j.placement.lastPlacedMS-rec.AcceptedAtMS, "why", rec.StopReasons)
		rec = jobrecord.Record{Shard: rec.Shard, Stage: jobrecord.Done, CompletedTasks: jobrecord.TaskSet{0, rec.Spec.Tasks - 1}, PendingAudit: rec.PendingAudit}
		c.keepGroup(&rec, p.spec)
		changed, quick = true, true
	case rec.Stage == jobrecord.Queued && j.waits == 0:
		before := len(p.place)
		again = c.assign(p, b)
		if len(p.place) > before {
			p.starts = !changed
			changed, quick = true, true
			j.placement.lastPlacedMS = c.unixMS()
			c.note("debug", "tasks placed late", "job", j.id, "class", rec.Spec.Class, "tasks", len(p.place)-before,
				"after_ms", j.placement.lastPlacedMS-rec.AcceptedAtMS, "tries", rec.LastAttempt, "spread", rec.Spec.Spread, "why", rec.StopReasons)
		}
	}
	if !changed {
		return nil, again
	}
	// Completions alone may wait a little, to share a write.
	if due := j.write.dirtySince + c.transactions.endBatchDelay; !quick && c.now < due && b.slots[c.slotOf(j.id, j.rec)] == nil {
		j.write.waitsForEnds = true
		if again == 0 {
			again = due
		}
		return nil, min(again, due)
	}
	p.routine = !quick
	return p, 0
}

// keepGroup keeps in an ended job's record what its readers' rights depend on.
func (c *Core) keepGroup(r *jobrecord.Record, s *wire.JobSpec) {
	if c.guarded() {
		r.Team, r.Class = s.Team, s.Class
	}
}

// lookFor looks for a new job, and for those that it awaits, among the jobs that ended long ago. It
// tells when another look is due, if set.
func (c *Core) lookFor(j *job) (again time.Duration) {
	a := j.accept
	if a.looking {
		return c.now + lockedAgain
	}
	a.looking = true
	c.findAll(append([]string{j.id}, a.spec.Dependencies...), func(ok bool) {
		if j.accept != a {
			return
		}
		a.looking, a.looked = false, true
		if !ok && j.mark == 0 {
			c.settleAccept(j, 503, unreadable)
		}
		c.touch(j)
	})
	if j.accept == nil {
		return 0
	}
	return c.now + lockedAgain
}

// blame draws conclusions from a task's failure.
func (c *Core) blame(j *job, m *machine, cause string, a jobrecord.Assignment, mistaken bool) {
	t := m.commands.attempts[attKey{j.idx, a.Task, a.Attempt}]
	if t == nil || t.blamed {
		return
	}
	t.blamed = true
	switch cause {
	case wire.CauseNoCapacity, wire.CauseBusy:
		c.Stats.Refusals++
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

// usable reports whether new tasks may go to a machine now.
func (c *Core) usable(m *machine) bool {
	return m.status.reported && !m.lifecycle.gone && !m.lifecycle.returnRequested && !c.faulty(m) && m.lifecycle.interruptionDeadline == 0 && m.status.incarnation > 0 && m.identity.address != "" &&
		c.now >= m.health.avoidUntil && c.now-m.status.lastHeartbeatAt < c.cfg.ReportEvery*2 && (m.commands.lastUnansweredAt == 0 || m.status.lastHeartbeatAt > m.commands.lastUnansweredAt) && !c.quiet(m.identity.zone, quietForWork)
}

func (c *Core) allowed(s *wire.JobSpec, m *machine) bool {
	mt := c.autoscaler.catalog[m.identity.machineType]
	return mt != nil && c.typeAllowed(s, m.identity.machineType) && (s.Zone == "" || s.Zone == m.identity.zone) && (s.Spot || !m.identity.spot) &&
		fits(mt.Capacity(), s.Request)
}

// noRoom is a claim for which no machine had room, as a job that comes at this place in the order of work found.
type noRoom struct {
	claim clusterstate.Resources
	spot  bool
	held  bool          // some may have had, but it is held for more important work
	until time.Duration // some had, which is left to others until then; 0: none had
	prio  int
	at    int64
}

// full reports whether a claim can find no room, as a smaller one of a job before it found none since some became
// free. Without it, all waiting jobs of a full fleet look at all its machines, several times a second.
func (c *Core) full(s *wire.JobSpec, prio int, at int64, held bool) bool {
	return slices.ContainsFunc(c.placement.unplaceable, func(x noRoom) bool {
		switch {
		case x.spot != s.Spot || !clusterstate.Resources(s.Request).Fits(x.claim) || x.held && !held:
			return false
		case x.until == 0:
			return true
		}
		return c.now < x.until && (x.prio < prio || x.prio == prio && x.at <= at)
	})
}

// turn is how long room on a machine, that has just come free, is still left to others. All controllers see it with the same
// push, and while more work waits than there is room, each would fill it: half of all starts found the machine full.
// So the first in the machine's rendezvous order has it to itself for a moment, and the others follow one by one. First of all come those whose
// work has waited longer than the job that is placed: when each controller filled the same share of the new room, jobs of the same
// priority and age began two minutes apart, by whose they were.
func (c *Core) turn(machine int32, o places) time.Duration {
	r, m := c.clusterCopy.state.Row(machine), c.machines[machine]
	if r == nil || !c.clusterCopy.state.IsFresh(c.now) {
		return 0
	}
	x := o[0]
	if m.identity.spot {
		x = o[1]
	}
	rank := x.before + min(c.order(m), x.alike)
	if rank == 0 {
		return 0
	}
	return max(0, r.RoomFreedAt()+c.courtesy()+time.Duration(rank-1)*c.newsTake()-c.now)
}

// places tell how many other controllers come before a job, and how many are alike, on ordinary and on spot machines.
type places [2]struct{ before, alike int }

func (c *Core) placesOf(priority int, atMS int64) (o places) {
	for i := range o {
		o[i].before, o[i].alike = c.controllers.membership.CountCompetitors(c.now, c.there, membership.QueuePosition{Priority: priority, AtMS: atMS}, i == 1)
	}
	return o
}

// order is the place of this controller among those that use a machine. Of machines that are as good, a job's tasks go to those
// where it is the first: between two pushes, controllers that choose at the same moment would all choose the same.
func (c *Core) order(m *machine) int {
	if m.ranking.nodesVersion != c.controllers.nodesVersion+1 {
		m.ranking.nodesVersion, m.ranking.rank = c.controllers.nodesVersion+1, c.rank(m.name, c.live())
	}
	return m.ranking.rank
}

// courtesy is how long a controller has new room to itself: until it looks for room again, and the others know what it took.
func (c *Core) courtesy() time.Duration { return min(c.lookGap(), 400*time.Millisecond) + c.newsTake() }

// newsTake is how long it takes until the others know of a start: a batch's time, or what it takes of late, if that is more.
func (c *Core) newsTake() time.Duration {
	return min(max(2*c.cfg.DeltaEvery, c.deltaLog.countingDelay/2), 2*time.Second)
}

// lookGap is the time between two looks at all waiting jobs. Tasks of a job that find room one by one would take
// a write each, and its team's key another: where changes are few, they gather.
func (c *Core) lookGap() time.Duration {
	return max(200*time.Millisecond, time.Duration(2/(0.5*c.transactions.rateLimit.WriteRate)*float64(time.Second)))
}

const lockedAgain = 20 * time.Millisecond // until a team's state is looked at again

// assign chooses machines for a job's waiting tasks by the design: 2t candidates from the
// copy, most room first, the rest at random. It tells when another look is due, if set.
func (c *Core) assign(p *proposal, b *builder) (again time.Duration) {
	s := p.rec.Spec
	if c.autoscaler.catalog == nil || !c.leaseOK() {
		return 0
	}
	if c.now < p.j.placement.backoffUntil {
		return p.j.placement.backoffUntil
	}
	limit := min(c.maxPlaced()-len(p.place), s.Tasks)
	if failing(p.rec, c.unixMS()) {
		limit = min(limit, c.mostTried(p.j, p.place)-len(p.place))
	}
	if t := c.teamOf(s); t != nil && t.limited() {
		if t.locked {
			return c.now + lockedAgain
		}
		u := b.add[t]
		if t.CPUMax > 0 && s.Request[0] > 0 {
			limit = min(limit, int((t.CPUMax-t.cpu-u[0])/s.Request[0]))
		}
		if t.GPUMax > 0 && s.Request[1] > 0 {
			limit = min(limit, int((t.GPUMax-t.gpu-u[1])/s.Request[1]))
		}
	}
	prio, at := c.priority.classes.Classify(s), p.rec.AcceptedAtMS
	if !p.accept {
		prio, at = c.laneOf(p.j), p.j.turn()
	}
	held := c.clusterCopy.capacityHold != nil && prio > c.clusterCopy.capacityHold.Priority && c.clusterCopy.state.IsFresh(c.now)
	if limit <= 0 || c.full(s, prio, at, held) {
		return 0
	}
	tasks := p.rec.UnassignedTasks(p.place, limit)
	if len(tasks) == 0 {
		return 0
	}
	zones := map[string]int{}
	for _, a := range p.place {
		zones[c.machines[a.Machine].identity.zone]++
	}
	only := ""
	if s.OneZone {
		for z := range zones {
			only = z
		}
		if only == "" {
			only = c.bestZone(s)
		}
	}
	others, shun := c.placesOf(prio, at), c.failedOn(p.rec)
	ask := clusterstate.CandidateQuery{Count: int(math.Ceil(c.cfg.ProbeRatio * float64(len(tasks)))), Request: s.Request, FillRandomly: c.cfg.RandomFill, HonorReserved: s.Spot,
		IsAllowed: func(i int32) bool {
			m := c.machines[i]
			return c.usable(m) && c.allowed(s, m) && !slices.Contains(shun, m.name) && (only == "" || m.identity.zone == only) && !(held && c.clusterCopy.state.Row(i).Available.Fits(c.clusterCopy.capacityHold.Claim))
		}}
	if !c.clusterCopy.state.IsFresh(c.now) {
		for _, m := range c.alive {
			if m.status.reported && !m.lifecycle.gone {
				ask.OtherMachines = append(ask.OtherMachines, m.idx)
			}
		}
	}
	ask.DistanceOf = func(i int32) int { return c.order(c.machines[i]) }
	est := time.Duration(s.EstimatedRuntimeMS) * time.Millisecond
	ask.TierOf = func(i int32) int {
		m, t := c.machines[i], 0
		h := c.horizon(m)
		if c.cfg.PreferSpot && s.Spot && !m.identity.spot && h < forever {
			t += 200
		}
		if c.cfg.PreferImage && s.Image != "" && !m.status.images[s.Image] {
			t += 100
		}
		// A machine is paid for until its last task ends: a task that ends before costs nothing.
		// A replica stays for good: on a machine that has none, it would keep it for itself alone.
		if c.cfg.HorizonStep > 0 && s.Service && h < forever {
			t += 90
		} else if c.cfg.HorizonStep > 0 && est > h {
			t += int(min(90, (est-h)/c.cfg.HorizonStep))
		}
		return t
	}
	// A zone that has all of a job's tasks that may be there holds no candidates for it. The best of all candidates were often there, as its machines
	// hold the image: replicas that a lost zone had taken waited for minutes beside hundreds of machines with room in the others.
	most := (s.Tasks + 1) / 2
	full := func() (n int) {
		for _, k := range zones {
			if s.Spread && k >= most {
				n++
			}
		}
		return n
	}
	var early time.Duration // until the first room that is another's to take now; 0: there is none
	allow := ask.IsAllowed
	ask.IsAllowed = func(i int32) bool {
		if !allow(i) || s.Spread && zones[c.machines[i].identity.zone] >= most {
			return false
		}
		wait := c.turn(i, others)
		if wait > 0 && (early == 0 || wait < early) {
			early = wait
		}
		return wait == 0
	}
	untried := map[int32]bool{} // machines that seem full get one try each
	for len(tasks) > 0 {
		before := full()
		cands := c.clusterCopy.state.Candidates(c.now, ask, c.rng)
		if at := c.now + early; early > 0 && len(cands) < ask.Count && (c.placement.yieldedUntil == 0 || at < c.placement.yieldedUntil) {
			c.placement.yieldedUntil = at
		}
		if len(cands) == 0 && s.Zone == "" && s.MachineTypes == nil && only == "" && before == 0 && c.clusterCopy.state.IsFresh(c.now) {
			x := noRoom{claim: s.Request, spot: s.Spot, held: held, prio: prio, at: at}
			if early > 0 {
				x.until = c.now + early
			}
			c.placement.unplaceable = append(c.placement.unplaceable, x)
		}
		for progress := true; progress && len(tasks) > 0; {
			progress = false
			for _, mi := range cands {
				if len(tasks) == 0 {
					break
				}
				m := c.machines[mi]
				r := c.clusterCopy.state.Row(mi)
				if r == nil || !r.HasRoom(s.Request, s.Spot) {
					if untried[mi] || c.clusterCopy.state.IsFresh(c.now) && !c.cfg.RandomFill {
						continue
					}
					untried[mi] = true
				}
				if s.Spread && zones[m.identity.zone] >= most || c.holds(m, p.j, tasks[0]) {
					continue
				}
				if s.OneZone && only != "" && m.identity.zone != only {
					continue
				}
				if s.OneZone {
					only = m.identity.zone // the first task decides where no zone could be preferred
				}
				p.rec.LastAttempt++
				a := jobrecord.Assignment{Task: tasks[0], Machine: mi, Incarnation: m.status.incarnation, Attempt: p.rec.LastAttempt}
				tasks = tasks[1:]
				p.place = append(p.place, a)
				p.started = append(p.started, a)
				zones[m.identity.zone]++
				c.clusterCopy.state.Apply(c.now, clusterstate.Delta{Start: true, Machine: mi, Request: s.Request})
				progress = true
			}
		}
		if full() == before { // else those that are left may find room in the other zones
			break
		}
	}
	return 0
}

const forever = time.Hour

// horizon is how long a machine's tasks are expected to keep it; services keep it forever. It
// is worked out again when the tasks change, and once a second.
func (c *Core) horizon(m *machine) time.Duration {
	if m.allocation.busyHorizonAt != 0 && m.allocation.busyHorizonAt > m.status.lastChangeAt && c.now-m.allocation.busyHorizonAt < time.Second {
		return max(0, m.allocation.busyHorizon)
	}
	m.allocation.busyHorizon, m.allocation.busyHorizonAt = c.stay(m), c.now
	return m.allocation.busyHorizon
}

func (c *Core) stay(m *machine) time.Duration {
	var h time.Duration
	for k, a := range m.allocation.assignments {
		s := c.jobs[k.job].rec.Spec
		if s == nil {
			continue
		}
		if s.Service {
			return forever
		}
		h = max(h, c.leftOf(c.jobs[k.job], m, a))
	}
	return h
}

// leftOf is how long an assigned task should still take, by its owner's estimate.
func (c *Core) leftOf(j *job, m *machine, a jobrecord.Assignment) time.Duration {
	left := time.Duration(j.rec.Spec.EstimatedRuntimeMS) * time.Millisecond
	switch p := m.status.tasks[attKey{j.idx, a.Task, a.Attempt}]; p.state {
	case wire.TaskExited:
		return 0
	case wire.TaskRunning:
		// One that is over its estimate is expected to take a quarter of it more.
		left = max(left-(c.now-p.since), left/4)
	}
	return left
}

// holds reports whether a machine still reports an attempt of a task that has not exited.
func (c *Core) holds(m *machine, j *job, task int32) bool {
	for k, p := range m.status.tasks {
		if k.job == j.idx && k.task == task && p.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// bestZone is the zone whose offered machines have the most room for a job.
func (c *Core) bestZone(s *wire.JobSpec) string {
	room := map[string]int64{}
	for _, m := range c.alive {
		if r := c.clusterCopy.state.Row(m.idx); r != nil && r.Schedulable && c.usable(m) && c.allowed(s, m) {
			room[m.identity.zone] += capacity(r.Available, s.Request)
		}
	}
	best := ""
	for z, n := range room {
		if best == "" || n > room[best] || n == room[best] && z < best {
			best = z
		}
	}
	return best
}

// capacity is how many claims fit into a room.
func capacity(room, claim [3]int64) int64 {
	n := int64(1 << 20)
	for i := range room {
		if claim[i] > 0 {
			n = min(n, room[i]/claim[i])
		}
	}
	return max(n, 0)
}
