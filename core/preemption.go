package core

import (
	"cmp"
	"dewlift/clusterstate"
	"dewlift/wire"
	"slices"
	"time"
)

// preemptForReplicas stops tasks of lower priority for replicas that find no room now: machines that
// boot would come too late for them. It takes those with the least work to lose.
func (c *Core) preemptForReplicas(n demand, bins []*bin, room func(string) int64) int {
	l := c.leaderState
	if at, ok := l.lastPreemptedFor[n.job.index]; n.tasks <= 0 || ok && c.now-at < c.cfg.Scheduling.PreemptionRetryInterval {
		return max(0, n.tasks) // what was stopped is about to go
	}
	type place struct {
		bin     *bin
		victims []jobAssignment
		cost    time.Duration
	}
	var places []place
	for _, b := range bins {
		if b.machine == nil || !b.machine.status.reported || b.nodeGroup.spot && !n.spec.Spot ||
			n.spec.Spread && room(b.nodeGroup.zone) <= 0 ||
			!b.isSchedulable(c) ||
			!c.isFeasible(n.spec, b.machine) {
			continue
		}
		if vs, cost, ok := c.chooseVictims(n, b); ok {
			places = append(places, place{b, vs, cost})
		}
	}
	slices.SortStableFunc(places, func(x, y place) int { return cmp.Compare(x.cost, y.cost) })
	made := 0
	for _, p := range places {
		if made >= n.tasks {
			break
		}
		b := p.bin
		if n.spec.Spread && room(b.nodeGroup.zone) <= 0 {
			continue
		}
		for _, v := range p.victims {
			l.pendingPreemptions = append(
				l.pendingPreemptions,
				PreemptedTask{Machine: b.machine.name, Job: c.jobs[v.jobIndex].id, Task: v.Task, Attempt: v.Attempt},
			)
			b.available = b.available.AddScaled(c.jobs[v.jobIndex].record.Spec.Request, 1)
			b.preempted = append(b.preempted, v)
		}
		b.preemptible = nil
		for made < n.tasks && b.available.Fits(n.spec.Request) && room(b.nodeGroup.zone) > 0 {
			b.available = b.available.AddScaled(n.spec.Request, -1)
			b.onDemandReserved = b.onDemandReserved.AddScaled(n.spec.Request, 1)
			n.tasksByZone[b.nodeGroup.zone]++
			made++
		}
		b.needed = true
	}
	if made > 0 {
		l.lastPreemptedFor[n.job.index] = c.now
		l.pushRequested = true
		c.log(LevelInfo, "making room", "job", n.job.id, "tasks", made)
	}
	return made
}

// chooseVictims chooses the tasks of a machine that must go for one task of a need.
func (c *Core) chooseVictims(n demand, b *bin) (vs []jobAssignment, cost time.Duration, ok bool) {
	free := b.available
	all := c.preemptibleTasks(b, n.spec.Priority)
	for i, v := range all {
		if free.Fits(n.spec.Request) {
			break
		}
		free = free.AddScaled(c.jobs[v.jobIndex].record.Spec.Request, 1)
		cost += c.timeInState(b.machine, v)
		vs = all[:i+1]
	}
	return vs, cost, len(vs) > 0 && free.Fits(n.spec.Request)
}

// preemptibleTasks lists the tasks of a machine that may be stopped for a priority, those that have
// run least first. It is worked out once a plan: hundreds of replicas that find no room look at all
// machines.
func (c *Core) preemptibleTasks(b *bin, below int) []jobAssignment {
	if b.preemptible != nil && b.preemptiblePriority == below {
		return b.preemptible
	}
	all := []jobAssignment{}
	for _, v := range b.machine.sortedAssignments() {
		s := c.jobs[v.jobIndex].record.Spec
		p, there := b.machine.status.tasks[attemptKey{v.jobIndex, v.Task, v.Attempt}]
		if s != nil && there && !s.Service && s.Priority > below && !slices.Contains(b.preempted, v) &&
			(p.state == wire.TaskRunning || p.state == wire.TaskPullingImage) {
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(x, y jobAssignment) int {
		return cmp.Compare(c.timeInState(b.machine, x), c.timeInState(b.machine, y))
	})
	b.preemptible, b.preemptiblePriority = all, below
	return all
}

// timeInState is how long a task has been in its state.
func (c *Core) timeInState(m *machine, v jobAssignment) time.Duration {
	return c.now - m.status.tasks[attemptKey{v.jobIndex, v.Task, v.Attempt}].stateSince
}

// withWaiting is the hold with one more kind of task that waits for room.
func (h *CapacityHold) withWaiting(prio int, claim clusterstate.Resources) *CapacityHold {
	switch {
	case h == nil || prio < h.Priority:
		return &CapacityHold{prio, claim}
	case prio == h.Priority:
		for i := range claim {
			h.Request[i] = min(h.Request[i], claim[i])
		}
	}
	return h
}

// stopTask has a task stopped, with time to save if it can.
func (c *Core) stopTask(m *machine, k attemptKey, s *wire.JobSpec, why string) {
	a := c.attemptOf(m, k)
	a.stopReason = why
	if s.CanCheckpoint {
		a.stopGraceSeconds = float64(s.CheckpointTimeMS)/1000 + 1
	}
	c.allowImmediateResend(m, k)
	c.markMachineDirty(m)
}
