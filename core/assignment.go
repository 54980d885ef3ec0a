package core

import (
	"math"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// lockedRetryDelay is the delay before a job is examined again while its team's key is being written, or
// while it is being looked up among the archived jobs.
const lockedRetryDelay = 20 * time.Millisecond

// unboundedHorizon is the busy horizon of a machine that runs a service, which has no expected end.
const unboundedHorizon = time.Hour

// Penalties added to a machine's scoring tier. A machine of a smaller tier is a better candidate.
// A larger penalty outweighs the sum of all smaller ones.
const (
	onDemandTierPenalty     = 200 // a spot job on an on-demand machine that will become idle
	missingImageTierPenalty = 100 // the machine would have to pull the image
	serviceTierPenalty      = 90  // a service on a machine that would otherwise become idle
	maxHorizonTierPenalty   = 90  // maximum for a task that outlasts the machine's busy horizon
)

// assignTasks chooses machines for a job's unassigned tasks and appends the assignments to the
// proposal. It takes CandidateRatio candidates per task from the copy of the cluster state, the best
// first. With RandomPlacement, random machines that seem full make up for missing candidates. A nonzero
// retryAt is the time to examine the job again.
func (c *Core) assignTasks(p *proposal, b *txnBuilder) (retryAt time.Duration) {
	spec := p.record.Spec
	if c.autoscaler.catalog == nil || !c.ownLease.isHeld() {
		return 0
	}
	if c.now < p.job.placement.backoffUntil {
		return p.job.placement.backoffUntil
	}
	limit := c.newAssignmentLimit(p)
	if team := c.teams.of(spec); team != nil && team.hasMaxQuota() {
		if team.locked {
			return c.now + lockedRetryDelay
		}
		limit = min(limit, team.tasksWithinMaxQuota(spec.Request, b.addedUsage[team]))
	}
	priorityClass, enqueuedAtMS := c.placementPosition(p)
	avoidsHeldCapacity := c.clusterCopy.mustAvoidHeldCapacity(priorityClass)
	if limit <= 0 || c.placement.isKnownUnplaceable(spec, priorityClass, enqueuedAtMS, avoidsHeldCapacity) {
		return 0
	}
	tasks := p.record.UnassignedTasks(p.assignments, limit)
	if len(tasks) == 0 {
		return 0
	}
	attempt := &placementAttempt{
		core:                 c,
		proposal:             p,
		spec:                 spec,
		priorityClass:        priorityClass,
		enqueuedAtMS:         enqueuedAtMS,
		avoidsHeldCapacity:   avoidsHeldCapacity,
		tasks:                tasks,
		tasksInZone:          map[string]int{},
		maxTasksInZone:       (spec.Tasks + 1) / 2,
		triedWithoutCapacity: map[int32]bool{},
	}
	attempt.chooseZone()
	attempt.competitors = c.countCompetitors(priorityClass, enqueuedAtMS)
	attempt.avoidedMachines = recentlyFailedMachines(p.record, c.unixMS())
	attempt.placeTasks()
	return 0
}

// newAssignmentLimit returns how many more tasks may be assigned, given the size limit of a record and
// the job's recent failures.
func (c *Core) newAssignmentLimit(p *proposal) int {
	limit := min(c.maxAssignedTasks()-len(p.assignments), p.record.Spec.Tasks)
	if isFailing(p.record, c.unixMS()) {
		limit = min(limit, c.maxTasksWhileFailing(p.job, p.assignments)-len(p.assignments))
	}
	return limit
}

// placementPosition returns the queue position with which a proposal competes for capacity. A job that
// is being accepted has no position yet, so it gets the one that it will have.
func (c *Core) placementPosition(p *proposal) (priorityClass int, enqueuedAtMS int64) {
	if p.isAcceptance {
		return c.priority.classes.Classify(p.record.Spec), p.record.AcceptedAtMS
	}
	return c.priority.effectiveClass(p.job), p.job.effectiveEnqueueMS()
}

// placementAttempt is the state of one run of assignTasks.
type placementAttempt struct {
	core     *Core
	proposal *proposal
	spec     *wire.JobSpec

	priorityClass      int
	enqueuedAtMS       int64
	avoidsHeldCapacity bool // must not use the capacity held for higher-priority work
	competitors        competitorCounts
	avoidedMachines    []string // machines on which tasks of the job failed recently

	tasks                []int32        // tasks without a machine
	tasksInZone          map[string]int // number of assigned tasks by zone
	maxTasksInZone       int            // limit for a job that is spread over zones
	onlyZone             string         // zone for all tasks; "": any zone
	triedWithoutCapacity map[int32]bool // machines that seem full and have been tried once
	yieldDelay           time.Duration  // time until the first yielded capacity may be used; 0: none is yielded
}

// chooseZone counts the job's tasks by zone and chooses the zone of a job that must run in a single one.
func (a *placementAttempt) chooseZone() {
	for _, assignment := range a.proposal.assignments {
		a.tasksInZone[a.core.machines[assignment.Machine].identity.zone]++
	}
	if !a.spec.OneZone {
		return
	}
	for _, zone := range sortedKeys(a.tasksInZone) {
		if a.tasksInZone[zone] > a.tasksInZone[a.onlyZone] {
			a.onlyZone = zone
		}
	}
	if a.onlyZone == "" {
		a.onlyZone = a.core.zoneWithMostCapacity(a.spec)
	}
}

// placeTasks assigns tasks to candidates. It queries again only if a zone has become full in the
// meantime, because the remaining tasks may find capacity in other zones.
func (a *placementAttempt) placeTasks() {
	query := a.candidateQuery()
	for len(a.tasks) > 0 {
		fullZones := a.countFullZones()
		candidates := a.core.clusterCopy.state.Candidates(a.core.now, query, a.core.rng)
		if len(candidates) < query.Count {
			a.scheduleScanOfYielded()
		}
		if len(candidates) == 0 && fullZones == 0 {
			a.recordUnplaceable()
		}
		for progress := true; progress && len(a.tasks) > 0; {
			progress = a.assignRound(candidates)
		}
		if a.countFullZones() == fullZones {
			return
		}
	}
}

// candidateQuery returns the query for machines that may run the job's tasks, with their ranking.
func (a *placementAttempt) candidateQuery() clusterstate.CandidateQuery {
	c := a.core
	query := clusterstate.CandidateQuery{
		Count:         int(math.Ceil(c.cfg.Scheduling.CandidateRatio * float64(len(a.tasks)))),
		Request:       a.spec.Request,
		FillRandomly:  c.cfg.Scheduling.RandomPlacement,
		HonorReserved: a.spec.Spot,
		IsAllowed:     a.isAllowed,
		RankOf:        func(i int32) int { return c.machineRank(c.machines[i]) },
		TierOf:        a.tierOf,
	}
	if !c.clusterCopy.state.IsFresh(c.now) {
		for _, m := range c.aliveMachines {
			if m.status.reported && !m.lifecycle.gone {
				query.FallbackMachines = append(query.FallbackMachines, m.index)
			}
		}
	}
	return query
}

// isAllowed reports whether a machine may run the job's tasks now. It also records in yieldDelay when
// capacity that is yielded to other controllers may be used.
func (a *placementAttempt) isAllowed(index int32) bool {
	c := a.core
	target := c.machines[index]
	if !c.isSchedulable(target) || !c.isFeasible(a.spec, target) ||
		slices.Contains(a.avoidedMachines, target.name) ||
		a.onlyZone != "" && target.identity.zone != a.onlyZone {
		return false
	}
	if a.avoidsHeldCapacity && c.clusterCopy.state.Row(index).Available.Fits(c.clusterCopy.capacityHold.Request) {
		return false
	}
	// Machines in a full zone are excluded here, before ranking. They often ranked best because they
	// had the image, and replicas lost with a zone waited for minutes although hundreds of machines in
	// other zones had capacity.
	if a.isZoneFull(target.identity.zone) {
		return false
	}
	delay := c.yieldDelay(index, a.competitors)
	if delay > 0 && (a.yieldDelay == 0 || delay < a.yieldDelay) {
		a.yieldDelay = delay
	}
	return delay == 0
}

// tierOf returns the scoring tier of a machine. Candidates of a smaller tier are used first.
func (a *placementAttempt) tierOf(index int32) int {
	settings, target, tier := &a.core.cfg.Scheduling, a.core.machines[index], 0
	horizon := a.core.busyHorizon(target)
	if settings.PreferSpot && a.spec.Spot && !target.identity.spot && horizon < unboundedHorizon {
		tier += onDemandTierPenalty
	}
	if settings.PreferImage && a.spec.Image != "" && !target.status.images[a.spec.Image] {
		tier += missingImageTierPenalty
	}
	if settings.BusyHorizonStep <= 0 {
		return tier
	}
	// A machine is paid for until its last task ends, so a task that ends earlier adds no cost. A
	// replica has no expected end: alone on a machine, it would keep the machine busy indefinitely.
	estimate := time.Duration(a.spec.EstimatedRuntimeMS) * time.Millisecond
	if a.spec.Service && horizon < unboundedHorizon {
		tier += serviceTierPenalty
	} else if estimate > horizon {
		tier += int(min(maxHorizonTierPenalty, (estimate-horizon)/settings.BusyHorizonStep))
	}
	return tier
}

// isZoneFull reports whether a job that is spread over zones has reached its task limit in a zone.
func (a *placementAttempt) isZoneFull(zone string) bool {
	return a.spec.Spread && a.tasksInZone[zone] >= a.maxTasksInZone
}

// countFullZones counts the zones that have reached the task limit of the job.
func (a *placementAttempt) countFullZones() (n int) {
	for zone := range a.tasksInZone {
		if a.isZoneFull(zone) {
			n++
		}
	}
	return n
}

// scheduleScanOfYielded schedules a scan of the waiting jobs for the time when the first capacity that
// was yielded to other controllers may be used.
func (a *placementAttempt) scheduleScanOfYielded() {
	placement, scanAt := &a.core.placement, a.core.now+a.yieldDelay
	if a.yieldDelay > 0 && (placement.yieldedUntil == 0 || scanAt < placement.yieldedUntil) {
		placement.yieldedUntil = scanAt
	}
}

// recordUnplaceable records that the job's request does not fit on any machine. It records nothing if
// the job is restricted to some machines or the copy has expired: the result then says nothing about
// other jobs.
func (a *placementAttempt) recordUnplaceable() {
	c := a.core
	if a.spec.Zone != "" || a.spec.MachineTypes != nil || a.onlyZone != "" || !c.clusterCopy.state.IsFresh(c.now) {
		return
	}
	entry := unplaceable{
		request:            a.spec.Request,
		allowsSpot:         a.spec.Spot,
		avoidsHeldCapacity: a.avoidsHeldCapacity,
		priorityClass:      a.priorityClass,
		enqueuedAtMS:       a.enqueuedAtMS,
	}
	if a.yieldDelay > 0 {
		entry.yieldUntil = c.now + a.yieldDelay
	}
	c.placement.unplaceable = append(c.placement.unplaceable, entry)
}

// assignRound assigns at most one task to each candidate. It reports whether any task was assigned.
func (a *placementAttempt) assignRound(candidates []int32) (progress bool) {
	for _, index := range candidates {
		if len(a.tasks) == 0 {
			break
		}
		target := a.core.machines[index]
		if !a.hasCapacityOrFirstTry(index) || a.isZoneFull(target.identity.zone) ||
			a.core.reportsLiveTask(target, a.proposal.job, a.tasks[0]) {
			continue
		}
		if a.spec.OneZone {
			if a.onlyZone != "" && target.identity.zone != a.onlyZone {
				continue
			}
			a.onlyZone = target.identity.zone // without a preferred zone, the first task determines it
		}
		a.assignNext(target)
		progress = true
	}
	return progress
}

// hasCapacityOrFirstTry reports whether a candidate has capacity for a task according to the copy, or
// may be tried although it seems full. With an expired copy or random placement, each such machine is
// tried once.
func (a *placementAttempt) hasCapacityOrFirstTry(index int32) bool {
	c := a.core
	if row := c.clusterCopy.state.Row(index); row != nil && row.HasCapacity(a.spec.Request, a.spec.Spot) {
		return true
	}
	if a.triedWithoutCapacity[index] || c.clusterCopy.state.IsFresh(c.now) && !c.cfg.Scheduling.RandomPlacement {
		return false
	}
	a.triedWithoutCapacity[index] = true
	return true
}

// assignNext assigns the next task to a machine and allocates its request in the copy.
func (a *placementAttempt) assignNext(target *machine) {
	c, p := a.core, a.proposal
	p.record.LastAttempt++
	assignment := jobrecord.Assignment{
		Task:        a.tasks[0],
		Machine:     target.index,
		Incarnation: target.status.incarnation,
		Attempt:     p.record.LastAttempt,
	}
	a.tasks = a.tasks[1:]
	p.assignments = append(p.assignments, assignment)
	p.started = append(p.started, assignment)
	a.tasksInZone[target.identity.zone]++
	c.clusterCopy.apply(clusterstate.Delta{Start: true, Machine: target.index, Request: a.spec.Request})
}

// busyHorizon returns how long a machine's tasks are expected to keep it busy. The value is cached and
// recomputed when the tasks change and after busyHorizonMaxAge.
func (c *Core) busyHorizon(m *machine) time.Duration {
	cached := &m.allocation
	if cached.busyHorizonAt != 0 && cached.busyHorizonAt > m.status.lastChangeAt &&
		c.now-cached.busyHorizonAt < busyHorizonMaxAge {
		return max(0, cached.busyHorizon)
	}
	cached.busyHorizon, cached.busyHorizonAt = c.computeBusyHorizon(m), c.now
	return cached.busyHorizon
}

// busyHorizonMaxAge is how long a computed busy horizon is reused while the machine's tasks do not change.
const busyHorizonMaxAge = time.Second

// computeBusyHorizon returns the longest remaining time of a machine's tasks, or unboundedHorizon if it
// runs a service.
func (c *Core) computeBusyHorizon(m *machine) time.Duration {
	var horizon time.Duration
	for key, assignment := range m.allocation.assignments {
		job := c.jobs[key.jobIndex]
		spec := job.record.Spec
		if spec == nil {
			continue
		}
		if spec.Service {
			return unboundedHorizon
		}
		horizon = max(horizon, c.remainingTime(job, m, assignment))
	}
	return horizon
}

// remainingTime returns how long an assigned task is expected to keep running, by its owner's estimate.
func (c *Core) remainingTime(j *job, m *machine, a jobrecord.Assignment) time.Duration {
	left := time.Duration(j.record.Spec.EstimatedRuntimeMS) * time.Millisecond
	switch status := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; status.state {
	case wire.TaskExited:
		return 0
	case wire.TaskRunning:
		// A task that exceeds its estimate is expected to run for another quarter of it.
		left = max(left-(c.now-status.stateSince), left/4)
	}
	return left
}

// reportsLiveTask reports whether a machine reports an attempt of a task that has not exited.
func (c *Core) reportsLiveTask(m *machine, j *job, task int32) bool {
	for key, status := range m.status.tasks {
		if key.jobIndex == j.index && key.task == task && status.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// zoneWithMostCapacity returns the zone whose schedulable machines fit the most tasks of a job. Ties
// go to the first zone by name; "" means that no machine is feasible.
func (c *Core) zoneWithMostCapacity(spec *wire.JobSpec) string {
	capacity := map[string]int64{}
	for _, m := range c.aliveMachines {
		if row := c.clusterCopy.state.Row(m.index); row != nil && row.Schedulable && c.isSchedulable(m) &&
			c.isFeasible(spec, m) {
			capacity[m.identity.zone] += tasksFitting(row.Available, spec.Request)
		}
	}
	best := ""
	for zone, n := range capacity {
		if best == "" || n > capacity[best] || n == capacity[best] && zone < best {
			best = zone
		}
	}
	return best
}

// maxTasksFitting limits the result of tasksFitting for a request of zero.
const maxTasksFitting = 1 << 20

// tasksFitting returns how many tasks with a given request fit into the available resources.
func tasksFitting(available, request [3]int64) int64 {
	n := int64(maxTasksFitting)
	for i := range available {
		if request[i] > 0 {
			n = min(n, available[i]/request[i])
		}
	}
	return max(n, 0)
}
