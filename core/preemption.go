package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/wire"
)

// preemptionOption is a machine on which preempting the victims frees capacity for at least one replica.
type preemptionOption struct {
	bin     *bin
	victims []jobAssignment
	cost    time.Duration // work that may be lost: the sum of the times that the victims have been in their states
}

// preemptionRecord records the last preemption for a job and how many of its replicas that serves.
type preemptionRecord struct {
	at     time.Duration
	served int
}

// replicaPreemption preempts tasks for replicas that did not fit on any machine that is up.
type replicaPreemption struct {
	*demandPacking

	core *Core
}

// run preempts lower-priority tasks for replicas that fit on no machine now, because booting machines
// would come too late for them. Victims that lose the least work are chosen first. run returns how many
// replicas the preemptions serve.
func (p *replicaPreemption) run() (served int) {
	c, d := p.core, &p.demand
	l := c.leaderState
	last, ok := l.lastPreemptedFor[d.job.index]
	if d.tasks <= 0 {
		return 0
	}
	if ok && c.now-last.at < c.cfg.Scheduling.PreemptionRetryInterval {
		return min(d.tasks, last.served) // the earlier victims are about to end
	}
	options := p.preemptionOptions()
	slices.SortStableFunc(options, func(x, y preemptionOption) int { return cmp.Compare(x.cost, y.cost) })
	for _, option := range options {
		if served >= d.tasks {
			break
		}
		if d.spec.Spread && p.zoneLimit(option.bin.nodeGroup.zone) <= 0 {
			continue
		}
		p.preempt(option)
		served += p.placeReplicas(option.bin, d.tasks-served)
	}
	if served > 0 {
		l.lastPreemptedFor[d.job.index] = preemptionRecord{at: c.now, served: served}
		l.pushRequested = true
		c.log(LevelInfo, "preempting tasks to place replicas of a service", "job", d.job.id, "tasks", served)
	}
	return served
}

// preemptionOptions returns the machines on which preemption frees capacity for a replica.
func (p *replicaPreemption) preemptionOptions() (options []preemptionOption) {
	c, spec := p.core, p.demand.spec
	for _, b := range p.supply.bins {
		if !b.isUp() || b.nodeGroup.spot && !spec.Spot ||
			spec.Spread && p.zoneLimit(b.nodeGroup.zone) <= 0 ||
			!b.isSchedulable(c) || !c.isFeasible(spec, b.machine) {
			continue
		}
		if victims, cost, ok := b.chooseVictims(&p.demand, c.jobs, c.now); ok {
			options = append(options, preemptionOption{b, victims, cost})
		}
	}
	return options
}

// preempt schedules the preemption of an option's victims with the next push, and counts their resources
// as available.
func (p *replicaPreemption) preempt(option preemptionOption) {
	c, b := p.core, option.bin
	l := c.leaderState
	for _, victim := range option.victims {
		job := c.jobs[victim.jobIndex]
		l.pendingPreemptions = append(l.pendingPreemptions, PreemptedTask{
			Machine: b.machine.name,
			Job:     job.id,
			Task:    victim.Task,
			Attempt: victim.Attempt,
		})
		b.available = b.available.AddScaled(job.record.Spec.Request, 1)
		b.preempted = append(b.preempted, victim)
	}
	b.preemptible = nil
}

// placeReplicas packs up to limit replicas into a bin and returns their number. It does not change
// demand.tasks: the caller subtracts the replicas that all preemptions served.
func (p *demandPacking) placeReplicas(b *bin, limit int) (placed int) {
	d := &p.demand
	for placed < limit && b.available.Fits(d.spec.Request) && p.zoneLimit(b.nodeGroup.zone) > 0 {
		b.available = b.available.AddScaled(d.spec.Request, -1)
		// Unlike in bin.reserve, this also counts replicas that may use spot machines.
		b.onDemandReserved = b.onDemandReserved.AddScaled(d.spec.Request, 1)
		d.tasksByZone[b.nodeGroup.zone]++
		placed++
	}
	b.needed = true
	return placed
}

// chooseVictims chooses the tasks of a machine to preempt for one task of a demand. ok is false if no
// preemption is needed, or if preempting all candidates would not free enough capacity.
func (b *bin) chooseVictims(d *demand, jobs []*job, now time.Duration) (
	victims []jobAssignment, cost time.Duration, ok bool,
) {
	available := b.available
	candidates := b.preemptibleTasks(d.spec.Priority, jobs, now)
	for i, candidate := range candidates {
		if available.Fits(d.spec.Request) {
			break
		}
		available = available.AddScaled(jobs[candidate.jobIndex].record.Spec.Request, 1)
		cost += b.machine.timeInState(candidate, now)
		victims = candidates[:i+1]
	}
	return victims, cost, len(victims) > 0 && available.Fits(d.spec.Request)
}

// preemptibleTasks returns the tasks of a machine that may be preempted for a priority, shortest time in
// state first. The list is cached for the priority it was last computed for, because hundreds of
// replicas that fit nowhere scan all machines.
func (b *bin) preemptibleTasks(priority int, jobs []*job, now time.Duration) []jobAssignment {
	if b.preemptible != nil && b.preemptiblePriority == priority {
		return b.preemptible
	}
	tasks := []jobAssignment{} // not nil, so that an empty list is cached too
	for _, candidate := range b.machine.sortedAssignments() {
		spec := jobs[candidate.jobIndex].record.Spec
		key := attemptKey{candidate.jobIndex, candidate.Task, candidate.Attempt}
		status, reported := b.machine.status.tasks[key]
		if spec != nil && reported && !spec.Service && spec.Priority > priority &&
			!slices.Contains(b.preempted, candidate) &&
			(status.state == wire.TaskRunning || status.state == wire.TaskPullingImage) {
			tasks = append(tasks, candidate)
		}
	}
	slices.SortStableFunc(tasks, func(x, y jobAssignment) int {
		return cmp.Compare(b.machine.timeInState(x, now), b.machine.timeInState(y, now))
	})
	b.preemptible, b.preemptiblePriority = tasks, priority
	return tasks
}

// timeInState returns how long an assigned task has been in its state.
func (m *machine) timeInState(a jobAssignment, now time.Duration) time.Duration {
	return now - m.status.tasks[attemptKey{a.jobIndex, a.Task, a.Attempt}].stateSince
}

// withWaiting returns the hold after a waiting request is added. The hold has the most urgent priority
// class of the waiting requests and, per resource, the smallest amount requested in that class.
func (h *CapacityHold) withWaiting(priority int, request clusterstate.Resources) *CapacityHold {
	switch {
	case h == nil || priority < h.Priority:
		return &CapacityHold{priority, request}
	case priority == h.Priority:
		for i := range request {
			h.Request[i] = min(h.Request[i], request[i])
		}
	}
	return h
}

// checkpointGraceSeconds is added to a task's checkpoint time before the task is killed.
const checkpointGraceSeconds = 1

// stopTask requests that an attempt be stopped, with time for a checkpoint if its job can make one.
func (c *Core) stopTask(m *machine, key attemptKey, spec *wire.JobSpec, reason string) {
	target := m.commands.attemptOf(key)
	target.stopReason = reason
	if spec.CanCheckpoint {
		target.stopGraceSeconds = float64(spec.CheckpointTimeMS)/1000 + checkpointGraceSeconds
	}
	m.commands.allowImmediateResend(key)
	c.commands.markDirty(m)
}
