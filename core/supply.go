package core

import (
	"cmp"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/wire"
)

// bin represents one machine in a plan. The machine is up, booting, requested or planned.
type bin struct {
	machine             *machine // nil if the machine is requested or planned
	nodeGroup           nodeGroup
	available           clusterstate.Resources
	capacity            clusterstate.Resources
	availableSoon       clusterstate.Resources // resources of tasks that should end before a new machine could be up
	onDemandReserved    clusterstate.Resources // resources packed with tasks that may not use spot machines
	busyHorizon         time.Duration          // how long its tasks are expected to keep it busy
	busyHorizonSteps    time.Duration          // busyHorizon in units of the setting BusyHorizonStep
	minFreeFraction     float64
	preempted           []jobAssignment // tasks preempted by this plan
	preemptible         []jobAssignment // cache of preemptibleTasks; nil: not computed
	preemptiblePriority int             // the priority that preemptible was computed for
	hasTasks            bool
	schedulableKnown    bool // schedulable has been computed
	schedulable         bool
	needed              bool // a demand was packed into it
}

// isSchedulable reports whether new tasks may be assigned to the machine now. It is computed once per plan.
func (b *bin) isSchedulable(c *Core) bool {
	if !b.schedulableKnown {
		b.schedulableKnown, b.schedulable = true, c.isSchedulable(b.machine)
	}
	return b.schedulable
}

// isUp reports whether the machine has sent a heartbeat.
func (b *bin) isUp() bool { return b.machine != nil && b.machine.status.reported }

// isDrainableOnDemand reports whether the machine is an on-demand machine without services, which becomes
// empty once its tasks end.
func (b *bin) isDrainableOnDemand() bool {
	return !b.nodeGroup.spot && b.busyHorizon < unboundedHorizon
}

// reserve allocates resources for tasks of a job.
func (b *bin) reserve(spec *wire.JobSpec, tasks int64) {
	b.available = b.available.AddScaled(spec.Request, -tasks)
	b.needed = true
	if !spec.Spot {
		b.onDemandReserved = b.onDemandReserved.AddScaled(spec.Request, tasks)
	}
}

// Indices into supply.binOrders and supply.exhausted.
const (
	onDemandBinOrder = iota // for demands that may not use spot machines
	spotBinOrder            // for demands that may
)

// supply holds the bins of one plan, in the orders in which demands fill them, and the machines that the
// plan adds.
type supply struct {
	autoscaler   *autoscalerState
	blockedUntil map[nodeGroup]time.Duration // leaderState.blockedUntil
	stats        *Stats

	bins            []*bin
	binOrders       [2][]*bin
	machinesByGroup map[nodeGroup]int
	machinesByZone  map[string]int
	exhausted       [2][]exhaustedRequest
	plannedMachines int               // number of machines that this plan requests
	plannedByGroup  map[nodeGroup]int // plannedMachines by node group
	plannedGroups   []nodeGroup       // keys of plannedByGroup in order of first use
}

// exhaustedRequest is a resource request that fits none of the first binsWithoutCapacity bins of a bin order,
// neither now nor soon.
type exhaustedRequest struct {
	request             clusterstate.Resources
	binsWithoutCapacity int
}

// firstCandidate returns the index in the demand's bin order of the first bin into which the demand may
// fit: all earlier bins were found too full for a request that is no larger. Without this, each plan
// scanned a whole full fleet for each of hundreds of waiting jobs.
func (s *supply) firstCandidate(d *demand) (first int) {
	if d.isUnconstrained() {
		for _, exhausted := range s.exhausted[d.binOrder()] {
			if clusterstate.Resources(d.spec.Request).Fits(exhausted.request) {
				first = max(first, exhausted.binsWithoutCapacity)
			}
		}
	}
	return first
}

// recordExhausted records that an unconstrained demand fits no bin of its bin order.
func (s *supply) recordExhausted(d *demand) {
	if !d.isUnconstrained() {
		return
	}
	order := d.binOrder()
	s.exhausted[order] = slices.DeleteFunc(s.exhausted[order], func(e exhaustedRequest) bool {
		return e.request.Fits(d.spec.Request)
	})
	s.exhausted[order] = append(s.exhausted[order], exhaustedRequest{d.spec.Request, len(s.binOrders[order])})
}

// newSupply builds the supply of a plan. Machines that stay busy longest are filled first, so that the
// others become empty. For work that may use spot machines, on-demand machines without services come last.
func (l *leaderState) newSupply(bins []*bin, stats *Stats) *supply {
	s := &supply{
		autoscaler:      l.autoscaler,
		blockedUntil:    l.blockedUntil,
		stats:           stats,
		bins:            bins,
		machinesByGroup: map[nodeGroup]int{},
		machinesByZone:  map[string]int{},
		plannedByGroup:  map[nodeGroup]int{},
	}
	for _, b := range bins {
		s.machinesByGroup[b.nodeGroup]++
		s.machinesByZone[b.nodeGroup.zone]++
		row := clusterstate.Row{Available: b.available, Allocated: b.capacity.AddScaled(b.available, -1)}
		b.minFreeFraction = row.MinFreeFraction()
		if l.cfg.Scheduling.BusyHorizonStep > 0 {
			b.busyHorizonSteps = b.busyHorizon / l.cfg.Scheduling.BusyHorizonStep
		}
	}
	for order := range s.binOrders {
		for _, b := range bins {
			if order == spotBinOrder || !b.nodeGroup.spot {
				s.binOrders[order] = append(s.binOrders[order], b)
			}
		}
		slices.SortStableFunc(s.binOrders[order], func(x, y *bin) int {
			if order == spotBinOrder && x.isDrainableOnDemand() != y.isDrainableOnDemand() {
				return compareBool(x.isDrainableOnDemand(), y.isDrainableOnDemand())
			}
			return cmp.Or(
				cmp.Compare(y.busyHorizonSteps, x.busyHorizonSteps),
				compareBool(y.hasTasks, x.hasTasks),
				cmp.Compare(x.minFreeFraction, y.minFreeFraction),
			)
		})
	}
	return s
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// addPlanned adds a machine that this plan requests, after all others.
func (s *supply) addPlanned(b *bin) {
	s.bins = append(s.bins, b)
	s.binOrders[spotBinOrder] = append(s.binOrders[spotBinOrder], b)
	if !b.nodeGroup.spot {
		s.binOrders[onDemandBinOrder] = append(s.binOrders[onDemandBinOrder], b)
	}
	s.machinesByGroup[b.nodeGroup]++
	s.machinesByZone[b.nodeGroup.zone]++
	s.plannedMachines++
	if s.plannedByGroup[b.nodeGroup] == 0 {
		s.plannedGroups = append(s.plannedGroups, b.nodeGroup)
	}
	s.plannedByGroup[b.nodeGroup]++
}

// demandPacking is the state of packing one demand into the supply of a plan. demand.tasks is the number of
// tasks that are still to be packed.
type demandPacking struct {
	demand    demand
	supply    *supply
	placeable int // number of tasks that fit on machines that are up
}

// packDemand packs a demand into the supply and plans machines for the rest. It returns how many tasks
// fit on machines that are up, without preemption.
func (c *Core) packDemand(d demand, s *supply) (placeable int) {
	p := &demandPacking{demand: d, supply: s}
	if !d.isHeadroom && !d.isReplacement && d.spec.Service {
		c.packReplicas(p)
	}
	p.packTasks()
	return p.placeable
}

// packReplicas packs the replicas of a service onto machines that are up, with preemption if necessary,
// because machines that are still booting would come too late for them.
func (c *Core) packReplicas(p *demandPacking) {
	p.fill(p.bins(), true)
	preemption := replicaPreemption{core: c, demandPacking: p}
	if preempted := preemption.run(); preempted > 0 {
		p.demand.tasks -= preempted
		p.supply.exhausted = [2][]exhaustedRequest{} // preemption may have freed more than was needed
	}
}

// bins returns the bins of the demand's bin order. Machines that are planned later are not included.
func (p *demandPacking) bins() []*bin { return p.supply.binOrders[p.demand.binOrder()] }

// packTasks packs the rest of the demand into any bins, and plans machines for the tasks that do not fit.
func (p *demandPacking) packTasks() {
	bins := p.bins()
	first := p.supply.firstCandidate(&p.demand)
	p.fill(bins[first:], false)
	if !p.demand.isHeadroom && first == 0 {
		p.fillReleasedSoon(bins)
	}
	if p.demand.tasks > 0 {
		p.supply.recordExhausted(&p.demand)
	}
	p.planMachines()
}

// fill packs the rest of the demand into the available resources of bins. With upOnly, it uses only machines
// that are up.
func (p *demandPacking) fill(bins []*bin, upOnly bool) {
	for _, b := range bins {
		if p.demand.tasks <= 0 {
			return
		}
		p.supply.stats.PlanMachineLooks++
		if b.available.Fits(p.demand.spec.Request) && p.allows(b) && (!upOnly || b.isUp()) {
			p.packInto(b)
		}
	}
}

// packInto packs as many of the remaining tasks into a bin as fit.
func (p *demandPacking) packInto(b *bin) {
	tasks := min(tasksFitting(b.available, p.demand.spec.Request), p.zoneLimit(b.nodeGroup.zone))
	if tasks <= 0 {
		return
	}
	b.reserve(p.demand.spec, tasks)
	p.recordPacked(b, tasks)
	if b.isUp() {
		p.placeable += int(tasks)
	}
}

// fillReleasedSoon packs the rest of the demand into resources that should be released before a new
// machine could be up.
func (p *demandPacking) fillReleasedSoon(bins []*bin) {
	request := p.demand.spec.Request
	for _, b := range bins {
		if p.demand.tasks <= 0 {
			return
		}
		if b.availableSoon == (clusterstate.Resources{}) || !p.allows(b) {
			continue
		}
		if tasks := min(tasksFitting(b.availableSoon, request), p.zoneLimit(b.nodeGroup.zone)); tasks > 0 {
			b.availableSoon = b.availableSoon.AddScaled(request, -tasks)
			b.needed = true
			p.recordPacked(b, tasks)
		}
	}
}

// planMachines plans machines for the rest of the demand, up to the limit of a plan.
func (p *demandPacking) planMachines() {
	for p.demand.tasks > 0 && p.supply.plannedMachines < p.supply.autoscaler.maxScaleOut() {
		group, ok := p.chooseNodeGroup()
		if !ok {
			return
		}
		capacity := p.supply.autoscaler.catalog[group.machineType].Capacity()
		b := &bin{nodeGroup: group, available: capacity, capacity: capacity}
		p.supply.addPlanned(b)
		p.packInto(b)
	}
}

// recordPacked subtracts packed tasks from the demand and counts them in the bin's zone.
func (p *demandPacking) recordPacked(b *bin, tasks int64) {
	p.demand.tasks -= int(tasks)
	p.demand.tasksByZone[b.nodeGroup.zone] += int(tasks)
}

// allows reports whether the demand's job may run in a bin's node group.
func (p *demandPacking) allows(b *bin) bool {
	spec := p.demand.spec
	return isMachineTypeAllowed(spec, b.nodeGroup.machineType) &&
		(spec.Zone == "" || spec.Zone == b.nodeGroup.zone) &&
		(spec.Spot || !b.nodeGroup.spot)
}

// zoneLimit returns how many more tasks may be placed in a zone. A spread job may have at most half of its
// tasks, rounded up, in one zone. The result may be negative.
func (p *demandPacking) zoneLimit(zone string) int64 {
	d := &p.demand
	if !d.spec.Spread {
		return int64(d.tasks)
	}
	return int64(min(d.tasks, (d.spec.Tasks+1)/2-d.tasksByZone[zone]))
}

const (
	bootPenaltySeconds = 120  // boot time that doubles the score of a node group
	groupSharePenalty  = 0.4  // relative increase of the score for a node group that is the whole fleet
	zoneSharePenalty   = 0.05 // relative increase of the score for a zone that is the whole fleet
)

// chooseNodeGroup returns the node group with the lowest score for the rest of the demand.
func (p *demandPacking) chooseNodeGroup() (best nodeGroup, found bool) {
	bestScore := 0.0
	for _, name := range p.supply.autoscaler.typeNames {
		if !isMachineTypeAllowed(p.demand.spec, name) {
			continue
		}
		machineType := p.supply.autoscaler.catalog[name]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				group := nodeGroup{name, zone, spot}
				if !p.mayPlan(group, machineType) {
					continue
				}
				score, ok := p.scoreNodeGroup(group, machineType)
				if ok && (!found || score < bestScore) {
					best, bestScore, found = group, score, true
				}
			}
		}
	}
	return best, found
}

// mayPlan reports whether a machine of an allowed type may be planned in a node group for the demand.
func (p *demandPacking) mayPlan(group nodeGroup, machineType *wire.MachineType) bool {
	spec := p.demand.spec
	switch {
	case spec.Zone != "" && group.zone != spec.Zone:
		return false
	case group.spot && (!spec.Spot || machineType.SpotPrice <= 0):
		return false
	case p.demand.isHeadroom && spec.Spot && !group.spot:
		return false // headroom for work that may use spot machines is worth only the price of a spot machine
	}
	return p.supply.autoscaler.now >= p.supply.blockedUntil[group]
}

// scoreNodeGroup returns the price of a machine per task that fits on it, increased by its boot time and
// by the shares of the fleet that its group and zone have, so that the fleet does not depend on one group
// or zone. With absolute numbers instead of shares, on-demand machines at 2.5 times the price were chosen
// once a spot group had 150 machines. The second result is false if no task fits.
func (p *demandPacking) scoreNodeGroup(group nodeGroup, machineType *wire.MachineType) (float64, bool) {
	tasks := min(tasksFitting(machineType.Capacity(), p.demand.spec.Request), p.zoneLimit(group.zone))
	if tasks <= 0 {
		return 0, false
	}
	price := machineType.Price
	if group.spot {
		price = machineType.SpotPrice
	}
	fleet := float64(max(1, len(p.supply.bins)))
	bootFactor := 1 + machineType.BootS/bootPenaltySeconds
	shareFactor := 1 + groupSharePenalty*float64(p.supply.machinesByGroup[group])/fleet +
		zoneSharePenalty*float64(p.supply.machinesByZone[group.zone])/fleet
	return price / float64(tasks) * bootFactor * shareFactor, true
}

// overrunDivisor limits how far a task may exceed its estimated runtime and still be expected to end soon:
// by the estimated runtime divided by this.
const overrunDivisor = 4

// releasedSoon returns the resources of tasks that should end, by their owners' estimates, within
// SoonFreeBootFactor times the boot time of a machine of the same type.
func (a *autoscalerState) releasedSoon(m *machine, jobs []*job) clusterstate.Resources {
	var released clusterstate.Resources
	bootTime := a.nominalBootTime(m.identity.machineType)
	window := scaleDuration(bootTime, a.cfg.Autoscaling.SoonFreeBootFactor)
	for key, assignment := range m.allocation.assignments {
		spec := jobs[key.jobIndex].record.Spec
		status := m.status.tasks[attemptKey{key.jobIndex, key.task, assignment.Attempt}]
		if spec == nil || spec.Service || status.state != wire.TaskRunning {
			continue
		}
		estimate := time.Duration(spec.EstimatedRuntimeMS) * time.Millisecond
		left := estimate - (a.now - status.stateSince)
		if left < window && left > -estimate/overrunDivisor {
			released = released.AddScaled(spec.Request, 1)
		}
	}
	return released
}
