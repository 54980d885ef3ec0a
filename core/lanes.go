package core

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/priorityclass"
	pb "dewlift/proto"
	"dewlift/wire"
)

// The order of work. A job's lane, and its place in it, stand in its record: the lane that it was accepted into, and the state service's own
// revision of its acceptance. So it is the same at whichever controller, after a take-over, a restart of all and an upgrade, and no
// clock decides it but for what the list of lanes says of time.
const keyLanes = Root + "lanes"

// ownLane is the lane of a job by its record.
func (c *Core) ownLane(r *jobrecord.Record) int {
	if i, ok := c.priority.classes.IndexOf(r.PriorityClass); ok {
		return i
	}
	return c.priority.classes.Classify(r.Spec) // it was accepted where there was no list, or its lane is none any more
}

// laneOf is the lane by which a job is ordered: its own or that of a job that needs it, or one above after it has waited.
func (c *Core) laneOf(j *job) int {
	if c.now < j.queue.boostedUntil {
		return 0
	}
	return c.risen(j)
}

func (c *Core) risen(j *job) int {
	return c.priority.classes.EffectiveClass(j.prio, time.Duration(c.unixMS()-j.turn())*time.Millisecond)
}

// rank is what orders a job: its lane, replicas that it lost, whether it would miss its deadline, its place. A lost zone takes replicas of
// nearly every service with it, and each takes a write: in the order of their age, half of all replicas waited for half of the writes; so
// those that lost most come first in their lane.
type rank struct {
	lane, missing int
	late          int64 // turn of one that must begin before it was accepted to be in time; 0: it need not
	before, nr    uint64
	at            int64
}

func (c *Core) rankOf(j *job) rank {
	switch {
	case j.accept != nil:
		return rank{lane: c.priority.classes.Classify(&j.accept.spec), nr: math.MaxUint64, at: j.accept.unixMS}
	case j.rec == nil || j.rec.Spec == nil:
		return rank{lane: math.MaxInt}
	}
	r := rank{lane: c.laneOf(j), missing: j.queue.missingReplicas, before: j.rec.RestoreOrder, nr: max(j.queue.enqueueRevision, j.readyAt), at: j.turn()}
	if r.at < j.rec.AcceptedAtMS {
		r.late = r.at
	}
	return r
}

func (a rank) compare(b rank) int {
	late := func(r rank) int64 {
		if r.late == 0 {
			return math.MaxInt64
		}
		return r.late
	}
	return cmp.Or(cmp.Compare(a.lane, b.lane), cmp.Compare(b.missing, a.missing), cmp.Compare(late(a), late(b)), cmp.Compare(b.before, a.before),
		cmp.Compare(a.nr, b.nr), cmp.Compare(a.at, b.at))
}

// setLanes puts a list in force here; nil: a lane for each priority.
func (c *Core) setLanes(l *priorityclass.List, mark uint64) {
	c.priority.revision = mark
	if l == nil {
		l = priorityclass.Default(c.cfg.RiseAfter)
	}
	c.priority.classes = l
	var again []*job
	for _, j := range c.jobs { // also those that wait for others, and are in no list
		if j != nil && j.rec != nil && j.rec.Spec != nil {
			j.prio = c.ownLane(j.rec)
			again = append(again, j)
		}
	}
	c.inherit(again)
}

func (c *Core) putLanes(raw json.RawMessage, mark uint64) error {
	if mark <= c.priority.revision {
		return nil
	}
	var p pb.Lanes
	err := jobrecord.UnpackMessage(raw, &p)
	if err == nil {
		var l *priorityclass.List
		if l, err = priorityclass.New(&p); err == nil {
			c.setLanes(l, mark)
		}
	}
	c.priority.revision = mark
	return err
}

// laneStep puts the list of the file in force where there is none, and tells the edges whether there is one.
func (c *Core) laneStep() {
	if open := c.priority.revision != 0; open != c.priority.enabledPublished {
		c.priority.enabledPublished = open
		c.emit(Queue{Open: open})
	}
	if c.cfg.Lanes == nil || c.priority.revision != 0 || c.form() < formLanes || c.mute() || !c.leads() || !c.leaseOK() || c.now < c.priority.nextSeedAt ||
		c.transactions.rateLimit.IsPaused(c.now) || c.transactions.rateLimit.WriteTokens < 1 {
		return
	}
	c.priority.nextSeedAt = c.now + 2*time.Second
	raw, err := jobrecord.PackMessage(c.cfg.Lanes.Source())
	if err != nil || len(raw) > c.cfg.ValueBytes {
		c.note("error", "the list of lanes does not fit a value", "bytes", len(raw))
		return
	}
	c.commit(wire.Txn{Compare: []wire.Compare{{Key: keyLanes}}, Then: []wire.Write{{Put: keyLanes, Value: raw}}},
		&txn{done: func(int, wire.TxnResponse) { c.afterBarrier(func(bool) {}) }})
}

// changeLanes puts another list in force, for somebody who may. Jobs keep the lane that they were accepted into, if it is still there.
func (c *Core) changeLanes(in SetLanes) {
	l, err := priorityclass.Parse([]byte(in.Text))
	if err != nil {
		c.reply(in.Req, 400, wire.Error{Error: "lanes: " + err.Error()})
		return
	}
	switch {
	case c.closed():
		c.refuse(in.Req, notYet)
		return
	case c.stateDown() || c.form() < formLanes:
		c.refuse(in.Req, "state service not reached, or a controller may still run a version that does not know lanes")
		return
	}
	c.afterBarrier(c.ifMay(in.Req, in.By, pb.Verb_administer, "lanes", func() {
		raw, err := jobrecord.PackMessage(l.Source())
		if err != nil || len(raw) > c.cfg.ValueBytes {
			c.reply(in.Req, 400, wire.Error{Error: "lanes: too long to be stored"})
			return
		}
		t := wire.Txn{Compare: append(c.onRights(in.By), wire.Compare{Key: keyLanes, Revision: c.priority.revision}), Then: []wire.Write{{Put: keyLanes, Value: raw}}}
		c.commit(t, &txn{done: func(status int, r wire.TxnResponse) {
			c.afterBarrier(func(bool) {}) // every controller sees it there
			if status != 200 {
				c.refuse(in.Req, "not changed, or not known whether: ask again")
				return
			}
			c.reply(in.Req, 200, wire.JobQueue{Version: r.Revision, PriorityClasses: in.Text})
		}})
	}))
}

// shares counts the starts of late by lane.
type shares struct {
	at     time.Duration
	starts []float64
}

const shareTime = 20 * time.Second // for which starts count, more or less

func (s *shares) started(now time.Duration, p *proposal, c *Core) {
	if len(p.started) == 0 || p.rec.Spec == nil {
		return
	}
	lane := c.ownLane(p.rec)
	if len(s.starts) != c.priority.classes.Len() {
		s.starts = make([]float64, c.priority.classes.Len())
	}
	keep := math.Exp2(-(now - s.at).Seconds() / shareTime.Seconds())
	s.at = now
	for i := range s.starts {
		s.starts[i] *= keep
	}
	s.starts[lane] += float64(len(p.started))
}

// below is the part of the starts that the lanes below one had; all, if there were none.
func (s *shares) below(lane int) float64 {
	all, part := 0.0, 0.0
	for i, n := range s.starts {
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

// keepShares puts the first job of the lanes below one that takes more than its part ahead of the others that wait for room.
func (c *Core) keepShares(todo []*job) []*job {
	for lane := range c.priority.classes.Len() - 1 {
		if share := c.priority.classes.ReservedShare(lane); share == 0 || c.priority.startShares.below(lane) >= share {
			continue
		}
		var first *job
		for _, j := range c.open { // also those that were looked at and found no room: who came last must not have what is theirs
			if j.placement.hasUnplacedTasks && !j.write.inFlight && !j.write.outcomeUnknown && c.mine(j) && j.rec.Spec != nil && c.ownLane(j.rec) > lane && c.now >= j.placement.backoffUntil &&
				c.teamOf(j.rec.Spec).hasRoom(j.rec.Spec.Request) {
				if j.queue.rank = c.rankOf(j); first == nil || j.queue.rank.compare(first.queue.rank) < 0 {
					first = j
				}
			}
		}
		if first == nil || c.controllers.membership.HasEarlierWork(c.now, c.there, membership.QueuePosition{Priority: c.risen(first), AtMS: first.turn()}, lane) {
			continue // what comes first of these lanes is another controller's
		}
		first.queue.boostedUntil = c.now + time.Second
		first.write.dirty, first.write.nextLookAt = true, 0
		if i := slices.Index(todo, first); i >= 0 {
			todo = slices.Delete(todo, i, i+1)
		}
		at := slices.IndexFunc(todo, func(j *job) bool { return c.urgency(j) > urgentAccept })
		if at < 0 {
			at = len(todo)
		}
		return slices.Insert(todo, at, first)
	}
	return todo
}

// showQueue answers with the jobs that wait, in their order, or why one does, as of a barrier.
func (c *Core) showQueue(in ShowQueue) {
	switch {
	case c.closed():
		c.refuse(in.Req, notYet)
		return
	case !c.replica.loaded || c.stateDown():
		c.refuse(in.Req, "state service not reached")
		return
	}
	c.afterBarrier(func(ok bool) {
		if !ok {
			c.refuse(in.Req, "state service not reached")
			return
		}
		if in.Lanes {
			text, err := prototext.MarshalOptions{Multiline: true}.Marshal(c.priority.classes.Source())
			if err != nil {
				c.refuse(in.Req, err.Error())
				return
			}
			c.reply(in.Req, 200, wire.JobQueue{Version: c.priority.revision, PriorityClasses: string(text)})
			return
		}
		list := c.queue()
		if in.ID != "" {
			i := slices.IndexFunc(list, func(j *job) bool { return j.id == in.ID })
			if i < 0 || !c.mayRead(in.By, list[i]) {
				c.reply(in.Req, 404, wire.Error{Error: in.ID + " does not wait: it runs, is over or never was"})
				return
			}
			c.reply(in.Req, 200, wire.JobQueue{Jobs: []wire.QueuedJob{c.queued(list, i, &[]noRoom{})}, Total: len(list)})
			return
		}
		out, know := wire.JobQueue{Total: len(list), Version: c.priority.revision}, []noRoom{}
		for i := max(0, in.After); i < len(list) && len(out.Jobs) < min(max(1, in.Most), queuePage); i++ {
			if c.mayRead(in.By, list[i]) {
				out.Jobs = append(out.Jobs, c.queued(list, i, &know))
			}
			out.NextOffset = i + 1
		}
		if out.NextOffset >= len(list) {
			out.NextOffset = 0
		}
		c.reply(in.Req, 200, out)
	})
}

const queuePage = 200 // jobs of an answer

// queue lists the jobs that have tasks which wait, in the order of work.
func (c *Core) queue() (list []*job) {
	for _, j := range c.open {
		if j.rec != nil && j.rec.Spec != nil && !j.final() && j.rec.CompletedTasks.Count()+len(j.place) < j.rec.Spec.Tasks {
			j.queue.missingReplicas = c.lostReplicas(j)
			list = append(list, j)
		}
	}
	for _, j := range list {
		j.queue.rank = c.rankOf(j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(min(a.waits, 1), min(b.waits, 1)), a.queue.rank.compare(b.queue.rank), cmp.Compare(a.id, b.id))
	})
	return list
}

// queued is a job of the queue, and what it waits for, as far as every controller can tell. know are claims for which there is no room, found for
// those before it in the same answer.
func (c *Core) queued(list []*job, i int, know *[]noRoom) wire.QueuedJob {
	j := list[i]
	s := j.rec.Spec
	own, by := c.ownLane(j.rec), c.laneOf(j)
	q := wire.QueuedJob{ID: j.id, Position: i + 1, PriorityClass: c.priority.classes.Name(own), Class: s.Class, Team: s.Team, Tasks: s.Tasks, Done: j.rec.CompletedTasks.Count(),
		Assigned: len(j.place), WaitedS: max(0, (c.unixMS()-j.rec.AcceptedAtMS)/1000)}
	if by != own {
		q.EffectivePriorityClass = c.priority.classes.Name(by)
	}
	switch {
	case j.waits > 0:
		q.WaitingFor, q.Explanation = "jobs", "it waits for other jobs to be done"
	case failing(j.rec, c.unixMS()):
		q.WaitingFor, q.Explanation = "errors", whyFailing(j.rec, c.unixMS())
	case c.now < j.placement.backoffUntil:
		q.WaitingFor, q.Explanation = "errors", "its tasks failed several times in a row; it is tried again in a moment"
	case !c.teamOf(s).hasRoom(s.Request):
		q.WaitingFor, q.Explanation = "limit", "its team "+s.Team+" uses all that it may; it begins when other work of the team ends"
	case !c.anyRoom(s, know):
		q.WaitingFor, q.Explanation = "room", "no machine has room for one of its tasks; machines are rented if there are any to be had, and those before it in the queue come first"
	default:
		q.WaitingFor, q.Explanation = "changes", "there is room; it begins when its turn to be written comes"
	}
	return q
}

// anyRoom reports whether a task could be placed somewhere, by the array.
func (c *Core) anyRoom(s *wire.JobSpec, know *[]noRoom) bool {
	if slices.ContainsFunc(*know, func(x noRoom) bool { return x.spot == s.Spot && clusterstate.Resources(s.Request).Fits(x.claim) }) {
		return false
	}
	any := slices.ContainsFunc(c.alive, func(m *machine) bool {
		r := c.clusterCopy.state.Row(m.idx)
		return r != nil && r.Schedulable && r.HasRoom(s.Request, s.Spot) && c.usable(m) && c.allowed(s, m)
	})
	if !any && s.MachineTypes == nil && s.Zone == "" {
		*know = append(*know, noRoom{claim: s.Request, spot: s.Spot})
	}
	return any
}
