package core

import (
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"math"
	"slices"
	"time"
)

// assignTasks chooses machines for a job's waiting tasks by the design: 2t candidates from the
// copy, most room first, the rest at random. It tells when another look is due, if set.
func (c *Core) assignTasks(p *proposal, b *txnBuilder) (again time.Duration) {
	s := p.record.Spec
	if c.autoscaler.catalog == nil || !c.holdsLease() {
		return 0
	}
	if c.now < p.job.placement.backoffUntil {
		return p.job.placement.backoffUntil
	}
	limit := min(c.maxAssignedTasks()-len(p.assignments), s.Tasks)
	if isFailing(p.record, c.unixMS()) {
		limit = min(limit, c.maxTasksWhileFailing(p.job, p.assignments)-len(p.assignments))
	}
	if t := c.teamOf(s); t != nil && t.hasMaxQuota() {
		if t.locked {
			return c.now + lockedRetryDelay
		}
		u := b.addedUsage[t]
		if t.MaxCPU > 0 && s.Request[0] > 0 {
			limit = min(limit, int((t.MaxCPU-t.usedCPU-u[0])/s.Request[0]))
		}
		if t.MaxGPU > 0 && s.Request[1] > 0 {
			limit = min(limit, int((t.MaxGPU-t.usedGPU-u[1])/s.Request[1]))
		}
	}
	prio, at := c.priority.classes.Classify(s), p.record.AcceptedAtMS
	if !p.isAcceptance {
		prio, at = c.effectivePriorityClass(p.job), p.job.effectiveEnqueueMS()
	}
	held := c.clusterCopy.capacityHold != nil && prio > c.clusterCopy.capacityHold.Priority &&
		c.clusterCopy.state.IsFresh(c.now)
	if limit <= 0 || c.isKnownUnplaceable(s, prio, at, held) {
		return 0
	}
	tasks := p.record.UnassignedTasks(p.assignments, limit)
	if len(tasks) == 0 {
		return 0
	}
	zones := map[string]int{}
	for _, a := range p.assignments {
		zones[c.machines[a.Machine].identity.zone]++
	}
	only := ""
	if s.OneZone {
		for z := range zones {
			only = z
		}
		if only == "" {
			only = c.roomiestZone(s)
		}
	}
	others, shun := c.queuePositionsOf(prio, at), c.recentlyFailedMachines(p.record)
	ask := clusterstate.CandidateQuery{
		Count: int(
			math.Ceil(c.cfg.Scheduling.CandidateRatio * float64(len(tasks))),
		), Request: s.Request, FillRandomly: c.cfg.Scheduling.RandomPlacement, HonorReserved: s.Spot,
		IsAllowed: func(i int32) bool {
			m := c.machines[i]
			return c.isSchedulable(m) && c.isFeasible(s, m) && !slices.Contains(shun, m.name) &&
				(only == "" || m.identity.zone == only) &&
				!(held && c.clusterCopy.state.Row(i).Available.Fits(c.clusterCopy.capacityHold.Request))
		},
	}
	if !c.clusterCopy.state.IsFresh(c.now) {
		for _, m := range c.aliveMachines {
			if m.status.reported && !m.lifecycle.gone {
				ask.OtherMachines = append(ask.OtherMachines, m.index)
			}
		}
	}
	ask.DistanceOf = func(i int32) int { return c.machineRank(c.machines[i]) }
	est := time.Duration(s.EstimatedRuntimeMS) * time.Millisecond
	ask.TierOf = func(i int32) int {
		m, t := c.machines[i], 0
		h := c.busyHorizon(m)
		if c.cfg.Scheduling.PreferSpot && s.Spot && !m.identity.spot && h < unboundedHorizon {
			t += 200
		}
		if c.cfg.Scheduling.PreferImage && s.Image != "" && !m.status.images[s.Image] {
			t += 100
		}
		// A machine is paid for until its last task ends: a task that ends before costs nothing.
		// A replica stays for good: on a machine that has none, it would keep it for itself alone.
		if c.cfg.Scheduling.BusyHorizonStep > 0 && s.Service && h < unboundedHorizon {
			t += 90
		} else if c.cfg.Scheduling.BusyHorizonStep > 0 && est > h {
			t += int(min(90, (est-h)/c.cfg.Scheduling.BusyHorizonStep))
		}
		return t
	}
	// A zone that has all of a job's tasks that may be there holds no candidates for it. The best
	// of all candidates were often there, as its machines hold the image: replicas that a lost zone
	// had taken waited for minutes beside hundreds of machines with room in the others.
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
		wait := c.yieldDelay(i, others)
		if wait > 0 && (early == 0 || wait < early) {
			early = wait
		}
		return wait == 0
	}
	untried := map[int32]bool{} // machines that seem full get one try each
	for len(tasks) > 0 {
		before := full()
		cands := c.clusterCopy.state.Candidates(c.now, ask, c.rng)
		if at := c.now + early; early > 0 && len(cands) < ask.Count &&
			(c.placement.yieldedUntil == 0 || at < c.placement.yieldedUntil) {
			c.placement.yieldedUntil = at
		}
		if len(cands) == 0 && s.Zone == "" && s.MachineTypes == nil && only == "" && before == 0 &&
			c.clusterCopy.state.IsFresh(c.now) {
			x := unplaceable{
				request:       s.Request,
				allowsSpot:    s.Spot,
				heldBack:      held,
				priorityClass: prio,
				enqueuedAtMS:  at,
			}
			if early > 0 {
				x.yieldUntil = c.now + early
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
					if untried[mi] || c.clusterCopy.state.IsFresh(c.now) && !c.cfg.Scheduling.RandomPlacement {
						continue
					}
					untried[mi] = true
				}
				if s.Spread && zones[m.identity.zone] >= most || c.reportsLiveTask(m, p.job, tasks[0]) {
					continue
				}
				if s.OneZone && only != "" && m.identity.zone != only {
					continue
				}
				if s.OneZone {
					only = m.identity.zone // the first task decides where no zone could be preferred
				}
				p.record.LastAttempt++
				a := jobrecord.Assignment{
					Task:        tasks[0],
					Machine:     mi,
					Incarnation: m.status.incarnation,
					Attempt:     p.record.LastAttempt,
				}
				tasks = tasks[1:]
				p.assignments = append(p.assignments, a)
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

const unboundedHorizon = time.Hour

// busyHorizon is how long a machine's tasks are expected to keep it; services keep it forever. It
// is worked out again when the tasks change, and once a second.
func (c *Core) busyHorizon(m *machine) time.Duration {
	if m.allocation.busyHorizonAt != 0 && m.allocation.busyHorizonAt > m.status.lastChangeAt &&
		c.now-m.allocation.busyHorizonAt < time.Second {
		return max(0, m.allocation.busyHorizon)
	}
	m.allocation.busyHorizon, m.allocation.busyHorizonAt = c.computeBusyHorizon(m), c.now
	return m.allocation.busyHorizon
}

func (c *Core) computeBusyHorizon(m *machine) time.Duration {
	var h time.Duration
	for k, a := range m.allocation.assignments {
		s := c.jobs[k.jobIndex].record.Spec
		if s == nil {
			continue
		}
		if s.Service {
			return unboundedHorizon
		}
		h = max(h, c.remainingTime(c.jobs[k.jobIndex], m, a))
	}
	return h
}

// remainingTime is how long an assigned task should still take, by its owner's estimate.
func (c *Core) remainingTime(j *job, m *machine, a jobrecord.Assignment) time.Duration {
	left := time.Duration(j.record.Spec.EstimatedRuntimeMS) * time.Millisecond
	switch p := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; p.state {
	case wire.TaskExited:
		return 0
	case wire.TaskRunning:
		// One that is over its estimate is expected to take a quarter of it more.
		left = max(left-(c.now-p.stateSince), left/4)
	}
	return left
}

// reportsLiveTask reports whether a machine still reports an attempt of a task that has not exited.
func (c *Core) reportsLiveTask(m *machine, j *job, task int32) bool {
	for k, p := range m.status.tasks {
		if k.jobIndex == j.index && k.task == task && p.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// roomiestZone is the zone whose offered machines have the most room for a job.
func (c *Core) roomiestZone(s *wire.JobSpec) string {
	room := map[string]int64{}
	for _, m := range c.aliveMachines {
		if r := c.clusterCopy.state.Row(m.index); r != nil && r.Schedulable && c.isSchedulable(m) &&
			c.isFeasible(s, m) {
			room[m.identity.zone] += tasksFitting(r.Available, s.Request)
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

// tasksFitting is how many claims fit into a room.
func tasksFitting(room, claim [3]int64) int64 {
	n := int64(1 << 20)
	for i := range room {
		if claim[i] > 0 {
			n = min(n, room[i]/claim[i])
		}
	}
	return max(n, 0)
}

const lockedRetryDelay = 20 * time.Millisecond // until a team's state is looked at again
