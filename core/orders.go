package core

import (
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// orders works out what each machine must be told and sends it.
func (c *Core) orders() {
	c.expireSends()
	if !c.leaseOK() && !c.outage() {
		return
	}
	// Requests are sockets, and those to machines that do not answer hold theirs for seconds: in a lost zone that are
	// all machines at once. So they are bounded, and those that probably hang have a part for themselves.
	hanging := 0
	for _, s := range c.commands.inFlight {
		if c.strained(c.machines[s.machine]) {
			hanging++
		}
	}
	// Only machines where something changed or is not settled yet are looked at.
	c.commands.dirtyMachines = slices.DeleteFunc(c.commands.dirtyMachines, func(m *machine) bool {
		if m.lifecycle.gone || !m.status.reported {
			m.commands.queued = false // its first report touches it again
			return true
		}
		if m.commands.requestID != 0 || c.now < m.commands.nextSendAt || !m.commands.dirty && c.now < m.commands.lastExaminedAt+c.cfg.OrderAgain {
			return false
		}
		strained := c.strained(m)
		if len(c.commands.inFlight) >= c.cfg.OrdersMost || strained && hanging >= c.cfg.OrdersMost/4 {
			return false // another's turn
		}
		m.commands.dirty = false
		m.commands.lastExaminedAt = c.now
		c.Stats.Looks++
		open := c.orderMachine(m)
		if strained && m.commands.requestID != 0 {
			hanging++
		}
		m.commands.queued = open || m.commands.requestID != 0
		return !m.commands.queued
	})
}

// strained reports whether orders to a machine will probably stay without an answer.
func (c *Core) strained(m *machine) bool {
	return m.commands.unanswered > 0 || c.now-m.status.lastHeartbeatAt > c.reportDue()
}

func (c *Core) attempt(m *machine, k attKey) *attempt {
	a := m.commands.attempts[k]
	if a == nil {
		a = &attempt{}
		m.commands.attempts[k] = a
	}
	return a
}

// orderMachine sends what a machine must be told now, and reports whether another look is due.
func (c *Core) orderMachine(m *machine) (open bool) {
	type due struct {
		attKey
		order wire.Command
	}
	var list []due
	var keys, clears []attKey
	add := func(op string, k attKey, grace float64) {
		a := c.attempt(m, k)
		if a.everSent && c.now-a.sent < c.cfg.OrderAgain {
			return
		}
		a.sent, a.everSent = c.now, true
		o := wire.Command{Op: op, Task: wire.TaskName(c.jobs[k.job].id, int(k.task)), Attempt: k.try}
		if op == wire.OpStop {
			o.GracePeriodS = &grace
		}
		if op == wire.OpStart {
			a.inFlight = true
			keys = append(keys, k)
			c.Stats.Starts++
		}
		list = append(list, due{k, o})
	}
	for t, at := range m.allocation.assignments {
		j := c.jobs[t.job]
		if at.Incarnation != m.status.incarnation || !c.mine(j) {
			continue
		}
		k := attKey{t.job, t.task, at.Attempt}
		p, there := m.status.tasks[k]
		open = open || !there || j.final()
		switch {
		case !there && !j.final():
			if m.lifecycle.interruptionDeadline == 0 && !m.lifecycle.returnRequested && c.leaseOK() && c.cancelAcks.quorum.IsFresh(c.now) && len(j.cancellation.waiters) == 0 {
				add(wire.OpStart, k, 0)
			}
		case !there || p.state == wire.TaskExited:
		case j.final():
			c.again(m, k)
			add(wire.OpStop, k, 0)
		default:
			if a := m.commands.attempts[k]; a != nil && a.stop != "" && p.state != wire.TaskCheckpointing {
				open = true
				add(wire.OpStop, k, a.grace)
			}
		}
	}
	for k, p := range m.status.tasks {
		j := c.jobs[k.job]
		if a, ok := m.allocation.assignments[taskKey{k.job, k.task}]; ok && a.Attempt == k.try && a.Incarnation == m.status.incarnation || !c.mine(j) {
			continue
		}
		open = true
		if j.write.inFlight || j.write.outcomeUnknown || !c.settled(m, j, k) {
			continue
		}
		if j.mark == 0 && !c.orphan(m, j, k) {
			continue
		}
		// No record assigns it here: it has ended and that is committed, or it never should be.
		c.again(m, k)
		if p.state == wire.TaskExited {
			clears = append(clears, k)
		} else {
			add(wire.OpStop, k, 0)
		}
	}
	// Nobody waits for a task to be forgotten: that goes with other orders, or after a while.
	if len(clears) == 0 {
		m.commands.nextClearAt = 0
	} else if m.commands.nextClearAt == 0 {
		m.commands.nextClearAt = c.now + c.cfg.ClearWait
	}
	if len(list) > 0 || m.commands.nextClearAt != 0 && c.now >= m.commands.nextClearAt || len(clears) > clearMost {
		for _, k := range clears {
			add(wire.OpClear, k, 0)
		}
	}
	for k, a := range m.commands.attempts { // what is neither recorded nor reported is over
		open = open || a.inFlight
		if _, ok := m.status.tasks[k]; ok || a.inFlight || c.now-a.sent < 10*time.Second {
			continue
		}
		if cur, ok := m.allocation.assignments[taskKey{k.job, k.task}]; !ok || cur.Attempt != k.try {
			if a.lost < m.status.fencingToken || a.lost == 0 {
				delete(m.commands.attempts, k)
			}
		}
	}
	if len(list) == 0 {
		return open
	}
	slices.SortFunc(list, func(x, y due) int { return x.compare(y.attKey) })
	body := wire.CommandBatch{FencingToken: c.leadership.fencingToken, Incarnation: m.status.incarnation}
	for _, d := range list {
		body.Commands = append(body.Commands, d.order)
	}
	id := c.id()
	m.commands.requestID, m.commands.requestToken, m.commands.requestAttempts = id, c.leadership.fencingToken, keys
	o := Orders{ID: id, Machine: m.name, Addr: m.identity.address, Body: body}
	if by := c.otherWay(m); by != "" {
		c.commands.inFlight[id] = send{m.idx, c.now + c.cfg.PassTime}
		c.emit(ToPeer{Peer: by, Msg: Msg{Orders: &o}})
		return true
	}
	c.commands.inFlight[id] = send{machine: m.idx}
	c.emit(o)
	return true
}

const clearMost = 8 // ended tasks that a machine reports at most

// otherWay is the peer by which a machine that does not answer is tried, every other time.
func (c *Core) otherWay(m *machine) string {
	in := c.controllers.membership.ReachableExcept(c.now, "")
	if m.commands.unanswered%2 == 0 || len(in) == 0 {
		return ""
	}
	return in[m.commands.unanswered/2%len(in)]
}

// expireSends gives up requests passed on by others that stay without an outcome.
func (c *Core) expireSends() {
	for _, id := range sortedKeys(c.commands.inFlight) {
		if s := c.commands.inFlight[id]; s.by != 0 && c.now >= s.by {
			c.ordered(Ordered{ID: id, Sent: true})
		}
	}
}

// orphan reports whether a reported task is of a job that does not exist. A job that is not
// known here may just have been accepted and placed by another controller, and its record be
// on its way: so only a read barrier after the report tells. (Without it, the tasks of other
// controllers' new jobs were stopped and cleared, and then started twice.)
func (c *Core) orphan(m *machine, j *job, k attKey) bool {
	a := c.attempt(m, k)
	if !a.asked && !a.orphan {
		a.asked = true
		c.afterBarrier(func(ok bool) {
			a.asked = false
			a.orphan = ok && j.mark == 0
			c.touchMachine(m)
		})
	}
	return a.orphan
}

// again lets a different order for an attempt go out at once.
func (c *Core) again(m *machine, k attKey) {
	if a := m.commands.attempts[k]; a != nil && !a.switched {
		a.switched = true
		a.everSent = false
	}
}

func (c *Core) ordered(in Ordered) {
	if r, ok := c.commands.relayed[in.ID]; ok {
		delete(c.commands.relayed, in.ID)
		if in.Report != nil {
			c.observe(in.Report, true)
		}
		in.ID = r.id
		c.tell(r.peer, Msg{Ordered: &in})
		return
	}
	s, ok := c.commands.inFlight[in.ID]
	if !ok {
		return
	}
	delete(c.commands.inFlight, in.ID)
	m := c.machines[s.machine]
	m.commands.requestID = 0
	m.commands.unanswered++
	if in.Status != 0 {
		m.commands.unanswered = 0
	} else {
		m.commands.lastUnansweredAt = c.now
	}
	answered := in.Status == 200 || in.Status == 409 || !in.Sent
	for _, k := range m.commands.requestAttempts {
		if a := m.commands.attempts[k]; a != nil {
			a.inFlight = false
			if !answered {
				a.lost = max(a.lost, m.commands.requestToken)
			}
		}
	}
	m.commands.requestAttempts = nil
	c.touchMachine(m)
	if in.Report != nil && in.Report.Machine == m.name {
		c.observe(in.Report, true)
	}
	switch in.Status {
	case 200:
	case 409:
		m.commands.nextSendAt = c.now + 300*time.Millisecond
		if in.Report != nil && in.Report.FencingToken > c.leadership.fencingToken {
			c.afterBarrier(func(bool) {})
		}
	default:
		m.commands.nextSendAt = c.now + c.cfg.OrderAgain
	}
}

// stopTask has a task stopped, with time to save if it can.
func (c *Core) stopTask(m *machine, k attKey, s *wire.JobSpec, why string) {
	a := c.attempt(m, k)
	a.stop = why
	if s.CanCheckpoint {
		a.grace = float64(s.CheckpointTimeMS)/1000 + 1
	}
	c.again(m, k)
	c.touchMachine(m)
}

// drain stops the tasks of machines that the cloud is about to take, where waiting for the end
// gains nothing: those that should not complete in time restart elsewhere at once, and those
// that save are given the time for it.
func (c *Core) drain() {
	if c.now < c.commands.nextDrainAt {
		return
	}
	c.commands.nextDrainAt = c.now + 100*time.Millisecond
	for _, m := range c.alive {
		if m.lifecycle.gone || m.lifecycle.interruptionDeadline == 0 {
			continue
		}
		for _, t := range m.sortedTasks() {
			j := c.jobs[t.job]
			s := j.rec.Spec
			if s == nil || !c.mine(j) || j.final() {
				continue
			}
			k := attKey{t.job, t.Task, t.Attempt}
			a := c.attempt(m, k)
			p, there := m.status.tasks[k]
			if a.stop != "" || !there || p.state == wire.TaskExited || p.state == wire.TaskCheckpointing {
				continue
			}
			notice := m.lifecycle.interruptionDeadline - c.now
			left := time.Duration(s.EstimatedRuntimeMS) * time.Millisecond
			save := time.Duration(s.CheckpointTimeMS) * time.Millisecond
			if p.state == wire.TaskRunning {
				left -= c.now - p.since
			}
			if !s.Service && left < notice || s.CanCheckpoint && !s.Service && notice > save+4*time.Second {
				continue
			}
			c.stopTask(m, k, s, "spot notice")
		}
	}
}

// unproven calls f for each task of a cancelled job that is not proven to be off its machine, with the time since its cancellation.
func (c *Core) unproven(f func(j *job, a jobrecord.Assignment, m *machine, age time.Duration)) {
	for _, j := range c.open {
		if !j.lingers() {
			continue
		}
		age := c.sinceCancelled(j)
		for _, a := range j.place {
			// A reported end is proof, also while the write of it waits for the change budget:
			// machines were returned for tasks that had long stopped.
			if ended, _ := c.fate(j, a); !ended {
				f(j, a, c.machines[a.Machine], age)
			}
		}
	}
}

// sweepCancels sees to it that cancelled tasks are gone in time: unanswered starts are fenced
// off with a higher token, and a machine that does not confirm is returned.
func (c *Core) sweepCancels() (suspects []string) {
	c.unproven(func(j *job, a jobrecord.Assignment, m *machine, age time.Duration) {
		if !c.mine(j) {
			return
		}
		if t := m.commands.attempts[attKey{j.idx, a.Task, a.Attempt}]; t != nil && t.lost != 0 && m.status.fencingToken <= t.lost && c.leadership.fencingToken <= t.lost {
			c.bump()
		}
		if age > time.Duration(c.cfg.CancelShare*float64(c.cfg.CancelIn)) {
			suspects = append(suspects, m.name)
		}
	})
	return suspects
}

// rescue is this controller's work for cancelled jobs while nobody leads.
type rescue struct {
	busy bool // a return is on its way
	at   time.Duration
}

const (
	rescueEvery = time.Second
	rescueShare = 0.7  // of the time of a cancellation, after which also machines that report are returned
	rescueRank  = 0.04 // of it, that each controller leaves to the one before it in a machine's order
)

// returnInOutage returns machines on which cancelled tasks may still be, while the state service is down for all and so nobody leads: one that
// hangs or is cut off kept them beyond their time, as nothing but its return takes them off it. Returning needs neither a write nor a right. It
// may be repeated by anybody, and what is returned in vain costs work that is begun again. Whoever leads afterwards has the proof by returning
// them once more.
func (c *Core) returnInOutage() {
	r := &c.rescue
	if r.busy || c.now < r.at || c.leaseOK() || !c.outage() {
		return
	}
	r.at = c.now + rescueEvery
	due := map[string]bool{}
	c.unproven(func(j *job, a jobrecord.Assignment, m *machine, age time.Duration) {
		share := rescueShare
		if c.now-max(m.status.lastHeartbeatAt, c.stalls.runningSince) > c.silent() {
			share = c.cfg.CancelShare
		} else if _, there := m.status.tasks[attKey{j.idx, a.Task, a.Attempt}]; !there {
			return // it has ended and was cleared by somebody with newer records; one that may still come is mayComeBack's
		}
		if age > time.Duration((share+rescueRank*float64(c.order(m)))*float64(c.cfg.CancelIn)) {
			due[m.name] = true
		}
	})
	names := sortedKeys(due)
	names = names[:min(len(names), 100)] // in one request
	if len(names) == 0 {
		return
	}
	c.note("info", "machines returned in an outage: cancelled tasks may be on them", "machines", names)
	r.busy = true
	op := CloudOp{ID: c.id(), Op: "return", Names: names}
	c.autoscaler.calls[op.ID] = func(in Clouded) {
		r.busy = false
		if in.Status == 200 {
			for _, n := range names {
				c.markGone(c.machine(n))
			}
		}
	}
	c.emit(op)
}
