package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// classStats is the arrivals of jobs of one class, as exponential moving averages.
type classStats struct {
	lastSpec        wire.JobSpec
	meanTasks       float64       // of tasks per job
	meanSquareTasks float64       // of the square of tasks per job
	meanInterval    time.Duration // between two arrivals
	lastArrival     time.Duration // when the last one was recorded here
	lastArrivalMS   int64         // Unix time at which the last one was accepted
}

// Weights of the moving averages: each value moves them by one part in so many.
const (
	meanDivisor       = 8
	meanSquareDivisor = 16
)

// recordClassArrival updates the statistics of a job's class, from which headroom is computed.
func (a *autoscalerState) recordClassArrival(record *jobrecord.Record) {
	if a.classStats == nil {
		a.classStats = map[string]*classStats{}
	}
	tasks := float64(record.Spec.Tasks)
	stats := a.classStats[record.Spec.Class]
	if stats == nil {
		stats = &classStats{meanTasks: tasks, meanSquareTasks: tasks * tasks}
		a.classStats[record.Spec.Class] = stats
	}
	stats.meanSquareTasks += (tasks*tasks - stats.meanSquareTasks) / meanSquareDivisor
	stats.meanTasks += (tasks - stats.meanTasks) / meanDivisor
	interval := time.Duration(record.AcceptedAtMS-stats.lastArrivalMS) * time.Millisecond
	if stats.lastArrivalMS != 0 && interval >= 0 {
		stats.meanInterval += (interval - stats.meanInterval) / meanDivisor
	}
	stats.lastSpec, stats.lastArrival, stats.lastArrivalMS = *record.Spec, a.now, record.AcceptedAtMS
}

// demand is tasks of one job, or of a job class, that a plan packs onto machines.
type demand struct {
	job           *job // nil: headroom for a class
	spec          *wire.JobSpec
	tasks         int
	tasksByZone   map[string]int
	isHeadroom    bool // for tasks that are expected
	isReplacement bool // the tasks still run, on machines that will probably be returned
	priorityClass int
	enqueuedAtMS  int64
}

// packingRank is the primary sort key of demands. Headroom for work that may not use spot machines
// precedes pending work that may: the latter would fill the few machines that the former can use.
func (d *demand) packingRank() int {
	switch {
	case !d.isHeadroom && !d.spec.Spot:
		return 0
	case d.isHeadroom && !d.spec.Spot:
		return 1
	case !d.isHeadroom:
		return 2
	}
	return 3
}

// binOrder is the index of the packing order that a demand fills.
func (d *demand) binOrder() int {
	if d.spec.Spot {
		return spotBinOrder
	}
	return onDemandBinOrder
}

// isUnconstrained reports whether a demand fits any machine of its packing order with enough resources.
func (d *demand) isUnconstrained() bool {
	return !d.spec.Spread && d.spec.MachineTypes == nil && d.spec.Zone == "" && !d.isHeadroom
}

// compareDemands orders demands for packing.
func compareDemands(a, b demand) int {
	return cmp.Or(
		cmp.Compare(a.packingRank(), b.packingRank()),
		cmp.Compare(a.priorityClass, b.priorityClass),
		cmp.Compare(a.enqueuedAtMS, b.enqueuedAtMS),
		cmp.Compare(a.spec.Class, b.spec.Class),
	)
}

// demandCollector collects the demands of one plan.
type demandCollector struct {
	core              *Core
	demands           []demand
	assignedByClass   map[string]int // assigned tasks by job class
	visitedDependents map[*job]bool
}

// pendingDemand lists the pending tasks and the headroom for expected ones, in the order in which they
// are packed.
func (c *Core) pendingDemand() []demand {
	collector := demandCollector{
		core:              c,
		assignedByClass:   map[string]int{},
		visitedDependents: map[*job]bool{},
	}
	for _, openJob := range c.openJobs {
		if openJob.record == nil || openJob.record.Spec == nil || openJob.isFinal() {
			continue
		}
		collector.addReadySoon(openJob.dependents)
		if openJob.unmetDependencies <= 0 {
			collector.addJob(openJob)
		}
	}
	collector.addClassHeadroom()
	slices.SortStableFunc(collector.demands, compareDemands)
	c.limitToQuota(collector.demands)
	return collector.demands
}

// addReadySoon adds headroom for dependent jobs that should be ready before a machine requested now
// could be up.
func (d *demandCollector) addReadySoon(dependents []*job) {
	for _, dependent := range dependents {
		if d.visitedDependents[dependent] {
			continue
		}
		d.visitedDependents[dependent] = true
		readyIn, ok := d.core.estimateReadyIn(dependent)
		if !ok || readyIn >= d.core.autoscaler.provisioningTime(dependent.record.Spec) {
			continue
		}
		d.demands = append(d.demands, demand{
			job:           dependent,
			spec:          dependent.record.Spec,
			tasks:         min(dependent.record.Spec.Tasks, d.core.maxAssignedTasks()),
			tasksByZone:   map[string]int{},
			isHeadroom:    true,
			priorityClass: dependent.effectiveClass,
			enqueuedAtMS:  dependent.effectiveEnqueueMS(),
		})
	}
}

// addJob adds the tasks of a ready job that are not assigned, and replacements of those on machines
// in unreachable zones.
func (d *demandCollector) addJob(pending *job) {
	spec := pending.record.Spec
	d.assignedByClass[spec.Class] += len(pending.assignments)
	unreachable, tasksByZone := d.locateTasks(pending)
	if tasks := d.unassignedTasks(pending); tasks > 0 && d.core.now >= pending.placement.backoffUntil {
		d.demands = append(d.demands, demand{
			job:           pending,
			spec:          spec,
			tasks:         min(tasks, d.core.maxAssignedTasks()),
			tasksByZone:   tasksByZone,
			priorityClass: d.core.priority.effectiveClass(pending),
			enqueuedAtMS:  pending.effectiveEnqueueMS(),
		})
	}
	if unreachable > 0 {
		d.demands = append(d.demands, demand{
			job:           pending,
			spec:          spec,
			tasks:         unreachable,
			tasksByZone:   tasksByZone,
			isReplacement: true,
			priorityClass: d.core.priority.effectiveClass(pending),
			enqueuedAtMS:  pending.effectiveEnqueueMS(),
		})
	}
}

// locateTasks counts a job's assigned tasks by zone; those in unreachable zones are counted apart.
func (d *demandCollector) locateTasks(pending *job) (unreachable int, tasksByZone map[string]int) {
	tasksByZone = map[string]int{}
	for _, assignment := range pending.assignments {
		if m := d.core.machines[assignment.Machine]; m.leaderView.zoneUnreachable {
			unreachable++
		} else {
			tasksByZone[m.identity.zone]++
		}
	}
	return unreachable, tasksByZone
}

// unassignedTasks is how many tasks of a job may still be assigned: fewer while it keeps failing.
func (d *demandCollector) unassignedTasks(pending *job) int {
	assigned := len(pending.assignments)
	tasks := pending.record.Spec.Tasks - pending.record.CompletedTasks.Count() - assigned
	if isFailing(pending.record, d.core.unixMS()) {
		tasks = min(tasks, max(0, d.core.maxTasksWhileFailing(pending, pending.assignments)-assigned))
	}
	return tasks
}

// classHeadroomExpiry ends the headroom of a class without assigned tasks, this long after its last arrival.
const classHeadroomExpiry = 3 * time.Minute

// addClassHeadroom adds headroom for the next jobs of each active class.
func (d *demandCollector) addClassHeadroom() {
	for class, stats := range d.core.autoscaler.classStats {
		assigned := d.assignedByClass[class]
		if assigned == 0 && d.core.now-stats.lastArrival > classHeadroomExpiry {
			continue
		}
		tasks := int(math.Ceil(d.core.autoscaler.headroomTasks(stats, assigned)))
		if tasks <= 0 {
			continue
		}
		spec := stats.lastSpec
		spec.Tasks = tasks
		d.demands = append(d.demands, demand{
			spec:          &spec,
			tasks:         tasks,
			tasksByZone:   map[string]int{},
			isHeadroom:    true,
			priorityClass: d.core.priority.classes.Classify(&spec),
		})
	}
}

// limitToQuota cuts the demands, in their order, to what the maximum quotas of their teams leave.
// Headroom and replacements are not cut.
func (c *Core) limitToQuota(demands []demand) {
	left := quotasLeft(c.teams.list)
	for i := range demands {
		d := &demands[i]
		team := c.teams.of(d.spec)
		if team == nil || d.isHeadroom || d.isReplacement {
			continue
		}
		remaining := left[team]
		for k, limit := range remaining {
			if d.spec.Request[k] > 0 && limit != math.MaxInt64 {
				d.tasks = min(d.tasks, int(max(0, limit)/d.spec.Request[k]))
			}
		}
		for k, limit := range remaining {
			if limit != math.MaxInt64 {
				remaining[k] -= int64(d.tasks) * d.spec.Request[k]
			}
		}
		left[team] = remaining
	}
}

// quotasLeft is the CPU and GPU (thousandths) that each team may still use; math.MaxInt64: no maximum.
func quotasLeft(teams []*team) map[*team][2]int64 {
	left := map[*team][2]int64{}
	for _, t := range teams {
		remaining := [2]int64{math.MaxInt64, math.MaxInt64}
		if t.MaxCPU > 0 {
			remaining[0] = t.MaxCPU - t.usedCPU
		}
		if t.MaxGPU > 0 {
			remaining[1] = t.MaxGPU - t.usedGPU
		}
		left[t] = remaining
	}
	return left
}

// Decay of a class's headroom once no job arrives: after a period of quietIntervals mean intervals and
// at least minQuietPeriod.
const (
	quietIntervals = 5
	minQuietPeriod = 20 * time.Second
)

// headroomTasks is the number of tasks of a class that resources are kept for: a share of those
// assigned, but no more than the arrivals expected until a new machine is up, in standard deviations
// (relative to its size, a large class varies less), and at least one job of mean size. It decays once
// jobs have stopped arriving.
func (a *autoscalerState) headroomTasks(stats *classStats, assigned int) float64 {
	share := a.cfg.Autoscaling.HeadroomShare
	if stats.lastSpec.Service {
		share = a.cfg.Autoscaling.ServiceHeadroomShare
	}
	tasks := share * float64(assigned)
	if stats.meanInterval > 0 {
		jobs := float64(a.provisioningTime(&stats.lastSpec)) / float64(stats.meanInterval)
		tasks = min(tasks, a.cfg.Autoscaling.HeadroomDeviations*math.Sqrt(jobs*stats.meanSquareTasks))
	}
	tasks = max(stats.meanTasks, tasks)
	quiet := a.now - stats.lastArrival
	if stats.meanInterval > 0 && quiet > quietIntervals*stats.meanInterval && quiet > minQuietPeriod {
		tasks *= float64(quietIntervals*stats.meanInterval) / float64(quiet)
	}
	return tasks
}

// provisioningTime is how long it takes from a demand to a machine for it: the scale-out request, and
// the boot of the quickest type that fits.
func (a *autoscalerState) provisioningTime(spec *wire.JobSpec) time.Duration {
	var quickest time.Duration
	for _, name := range a.typeNames {
		machineType := a.catalog[name]
		if !isMachineTypeAllowed(spec, name) ||
			!clusterstate.Resources(machineType.Capacity()).Fits(spec.Request) {
			continue
		}
		if bootTime := a.nominalBootTime(name); quickest == 0 || bootTime < quickest {
			quickest = bootTime
		}
	}
	return quickest + a.cfg.Autoscaling.ScaleOutLeadTime
}

// nominalBootTime is the boot time of a machine type by the catalog; 0: the type is not known.
func (a *autoscalerState) nominalBootTime(typeName string) time.Duration {
	machineType := a.catalog[typeName]
	if machineType == nil {
		return 0
	}
	return time.Duration(machineType.BootS * float64(time.Second))
}

// scaleDuration multiplies a duration by a factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
