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

// classStats holds arrival statistics of one job class, as exponential moving averages.
type classStats struct {
	lastSpec        wire.JobSpec
	meanTasks       float64       // mean number of tasks per job
	meanSquareTasks float64       // mean square of the number of tasks per job
	meanInterval    time.Duration // mean time between two arrivals
	lastArrival     time.Duration // when the last job was recorded here
	lastArrivalMS   int64         // Unix time at which the last job was accepted
}

// Inverse weights of a new sample in the moving averages.
const (
	meanDivisor       = 8
	meanSquareDivisor = 16
)

// recordClassArrival updates the arrival statistics of a job's class. Headroom is computed from them.
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

// demand is a number of tasks, of one job or of a job class, that a plan packs onto machines.
type demand struct {
	job           *job // nil: headroom for a job class
	spec          *wire.JobSpec
	tasks         int
	tasksByZone   map[string]int
	isHeadroom    bool // the tasks are only expected
	isReplacement bool // the tasks still run, on machines that will probably be scaled in
	priorityClass int
	enqueuedAtMS  int64
}

// packingRank returns the primary sort key of a demand. Headroom for work that may not use spot machines
// precedes pending work that may: the latter would otherwise fill the few machines that the former can
// use.
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

// binOrder returns the index into supply.binOrders of the bins that a demand may use.
func (d *demand) binOrder() int {
	if d.spec.Spot {
		return spotBinOrder
	}
	return onDemandBinOrder
}

// isUnconstrained reports whether a demand may use every machine of its bin order that has enough
// resources.
func (d *demand) isUnconstrained() bool {
	return !d.spec.Spread && d.spec.MachineTypes == nil && d.spec.Zone == "" && !d.isHeadroom
}

// compareDemands orders demands by packing rank, priority class, enqueue time and job class.
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

// pendingDemand returns the demands for pending tasks and the headroom for expected ones, in packing
// order.
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

// addReadySoon adds headroom for dependent jobs that are expected to be ready before a machine requested
// now could be up.
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

// addJob adds the unassigned tasks of a ready job, and replacements for its tasks on machines in
// unreachable zones.
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

// locateTasks counts a job's assigned tasks by zone. Those in unreachable zones are counted separately.
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

// unassignedTasks returns how many more tasks of a job may be assigned. While a job keeps failing, the
// number is limited.
func (d *demandCollector) unassignedTasks(pending *job) int {
	assigned := len(pending.assignments)
	tasks := pending.record.Spec.Tasks - pending.record.CompletedTasks.Count() - assigned
	if isFailing(pending.record, d.core.unixMS()) {
		tasks = min(tasks, max(0, d.core.maxTasksWhileFailing(pending, pending.assignments)-assigned))
	}
	return tasks
}

// classHeadroomExpiry is the time after the last arrival at which a class without assigned tasks loses its
// headroom.
const classHeadroomExpiry = 3 * time.Minute

// addClassHeadroom adds headroom for expected jobs of each active class.
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

// limitToQuota limits the demands, in order, to the remaining maximum quotas of their teams. Headroom and
// replacements are not limited.
func (c *Core) limitToQuota(demands []demand) {
	remainingByTeam := quotasLeft(c.teams.list)
	for i := range demands {
		d := &demands[i]
		team := c.teams.of(d.spec)
		if team == nil || d.isHeadroom || d.isReplacement {
			continue
		}
		remaining := remainingByTeam[team]
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
		remainingByTeam[team] = remaining
	}
}

// quotasLeft returns the CPU and GPU, in thousandths, that each team may still use. math.MaxInt64 means no
// maximum.
func quotasLeft(teams []*team) map[*team][2]int64 {
	remainingByTeam := map[*team][2]int64{}
	for _, t := range teams {
		remaining := [2]int64{math.MaxInt64, math.MaxInt64}
		if t.MaxCPU > 0 {
			remaining[0] = t.MaxCPU - t.usedCPU
		}
		if t.MaxGPU > 0 {
			remaining[1] = t.MaxGPU - t.usedGPU
		}
		remainingByTeam[t] = remaining
	}
	return remainingByTeam
}

// The headroom of a class decays once no job has arrived for quietIntervals mean intervals, and for at
// least minQuietPeriod.
const (
	quietIntervals = 5
	minQuietPeriod = 20 * time.Second
)

// headroomTasks returns the number of expected tasks of a class to keep resources for: a share of the
// assigned tasks, but at most HeadroomDeviations standard deviations of the arrivals until a new machine
// is up, because a large class varies less relative to its size. It is at least one job of mean size,
// and decays once jobs have stopped arriving.
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

// provisioningTime returns how long it takes to provide a machine for a demand: ScaleOutLeadTime plus the
// boot time of the quickest machine type that fits.
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

// nominalBootTime returns the boot time of a machine type according to the catalog, or 0 if the type is
// not known.
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
