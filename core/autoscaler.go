package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dewlift/wire"
)

// autoscalerState is what every controller keeps for scaling: the catalog of machine types, arrivals
// by job class and the cloud requests in flight.
type autoscalerState struct {
	*environment

	catalog               map[string]*wire.MachineType
	typeNames             []string // keys of catalog, sorted
	nextCatalogAt         time.Duration
	storedCatalogRevision uint64       // revision of the stored catalog; 0: none is stored
	storedCatalog         wire.Catalog // as the key-value store holds it
	catalogStoreInFlight  bool
	catalogTooLargeLogged bool // it was told that the catalog does not fit a value
	catalogInFlight       bool
	classStats            map[string]*classStats
	pendingCalls          map[uint64]func(CloudResult) // callbacks by request ID
}

// nodeGroup is a set of interchangeable machines: what one scale-out request asks for.
type nodeGroup struct {
	machineType string
	zone        string
	spot        bool
}

const (
	manyUnmetJobs          = 50              // unmet jobs above which a plan without scale-out is repeated less often
	maxMachinesPerScaleOut = 50              // machines that the cloud starts for one request
	scaleOutPlanningWindow = 4 * time.Second // period whose cloud requests one plan may use up

	bootOverdueFactor = 1.7             // of the nominal boot time
	bootOverdueSlack  = 2 * time.Second // on top of bootOverdueFactor

	minAgeForScaleIn = 60 * time.Second        // a younger machine is not returned as idle
	cordonDuration   = 1500 * time.Millisecond // from cordon to return
	planLogInterval  = 10 * time.Second
)

// maxScaleOut bounds the machines that one plan orders to what the cloud request rate allows for
// scaleOutPlanningWindow. Unsent requests are planned anew; without a bound, every plan of a full fleet
// packed thousands of machines that could not be requested.
func (a *autoscalerState) maxScaleOut() int {
	requests := int(a.cfg.Autoscaling.CloudRequestRate * scaleOutPlanningWindow.Seconds())
	return max(4*maxMachinesPerScaleOut, requests*maxMachinesPerScaleOut)
}

// planScaling packs the pending demand onto the supply of machines, creates scale-out requests for
// what does not fit, and cordons and returns idle machines.
func (c *Core) planScaling() {
	bins := c.appendMachineBins(nil)
	c.leaderState.dropUnsentScaleOut()
	bins = c.autoscaler.appendRequestedBins(bins, c.leaderState.scaleOutRequests)

	demands := c.pendingDemand()
	stock := c.leaderState.newSupply(bins, &c.Stats)
	c.packDemands(demands, stock)
	c.leaderState.createScaleOutRequests(stock)
	c.leaderState.logPlan(stock.bins, demands, c.jobs)
	for _, b := range stock.bins {
		if b.machine != nil && b.machine.status.reported {
			c.leaderState.updateScaleIn(b)
		}
	}
}

// appendMachineBins appends a bin for each machine that is up or booting in time.
func (c *Core) appendMachineBins(bins []*bin) []*bin {
	for _, machine := range c.aliveMachines {
		machineType := c.autoscaler.catalog[machine.identity.machineType]
		if machineType == nil || !c.countsAsSupply(machine) {
			continue
		}
		b := &bin{
			machine:   machine,
			nodeGroup: nodeGroup{machine.identity.machineType, machine.identity.zone, machine.identity.spot},
			capacity:  machineType.Capacity(),
		}
		switch {
		case machine.status.reported:
			b.available = b.capacity.AddScaled(machine.allocatedResources(c.jobs), -1)
			b.availableSoon = c.autoscaler.releasedSoon(machine, c.jobs)
			b.busyHorizon = c.busyHorizon(machine)
		case c.autoscaler.isBootOverdue(machine):
			continue
		default:
			b.available = b.capacity
		}
		b.hasTasks = len(machine.allocation.assignments) > 0
		bins = append(bins, b)
	}
	return bins
}

// countsAsSupply reports whether a plan may rely on a machine staying and being reachable.
func (c *Core) countsAsSupply(m *machine) bool {
	return !m.lifecycle.gone && m.leaderView.returnReason == "" && !m.leaderView.zoneUnreachable &&
		m.lifecycle.interruptionDeadline <= 0 && !m.health.isQuarantined(c.environment, c.jobs)
}

// isBootOverdue reports whether a machine without a heartbeat should have been up for a while.
func (a *autoscalerState) isBootOverdue(m *machine) bool {
	age := a.now - max(m.identity.firstSeenAt, m.leaderView.rentedAt)
	return age > scaleDuration(a.nominalBootTime(m.identity.machineType), bootOverdueFactor)+bootOverdueSlack
}

// dropUnsentScaleOut drops the scale-out requests that were not sent. They are planned anew, together
// with the demand since: cloud requests are few, so each should ask for all the machines that its
// node group needs. Sent ones may have been executed and stay.
func (l *leaderState) dropUnsentScaleOut() {
	maps.DeleteFunc(l.scaleOutRequests, func(_ string, r *scaleOutRequest) bool { return !r.sent })
}

// appendRequestedBins appends a bin for each machine of the sent scale-out requests.
func (a *autoscalerState) appendRequestedBins(bins []*bin, requests map[string]*scaleOutRequest) []*bin {
	for _, name := range sortedKeys(requests) {
		request := &requests[name].request
		machineType := a.catalog[request.Type]
		if machineType == nil {
			continue
		}
		for range request.Count {
			bins = append(bins, &bin{
				nodeGroup: nodeGroup{request.Type, request.Zone, request.Spot},
				available: machineType.Capacity(),
				capacity:  machineType.Capacity(),
			})
		}
	}
	return bins
}

// packDemands packs the demands in their order. It counts the jobs that do not fit on running
// machines, and holds capacity for the most urgent unconstrained ones among them.
func (c *Core) packDemands(demands []demand, stock *supply) {
	l := c.leaderState
	l.capacityHold, l.unmetJobs = nil, 0
	for _, d := range demands {
		placeable := c.packDemand(d, stock)
		if placeable >= d.tasks || d.isHeadroom {
			continue
		}
		l.unmetJobs++
		if !d.isReplacement && d.spec.Spot && d.spec.MachineTypes == nil && d.spec.Zone == "" {
			l.capacityHold = l.capacityHold.withWaiting(d.priorityClass, d.spec.Request)
		}
	}
}

// createScaleOutRequests turns the planned machines into requests of at most maxMachinesPerScaleOut, the
// largest node groups first. Each group's first request precedes any group's second: an exhausted
// group then shows with one of the few cloud requests.
func (l *leaderState) createScaleOutRequests(stock *supply) {
	groups, planned := stock.plannedGroups, stock.plannedByGroup
	slices.SortStableFunc(groups, func(a, b nodeGroup) int { return planned[b] - planned[a] })
	for round, more := 0, true; more; round++ {
		more = false
		for _, group := range groups {
			count := min(planned[group]-round*maxMachinesPerScaleOut, maxMachinesPerScaleOut)
			if count <= 0 {
				continue
			}
			more = true
			l.createScaleOutRequest(group, count)
		}
	}
}

// createScaleOutRequest adds a request under a new idempotency key, unique over leaders and their terms.
func (l *leaderState) createScaleOutRequest(group nodeGroup, count int) {
	l.scaleOutSeq++
	name := fmt.Sprintf("h-%d-%s-%06d", l.fencingToken, l.cfg.Name, l.scaleOutSeq)
	l.scaleOutRequests[name] = &scaleOutRequest{
		request: wire.ScaleOutRequest{
			IdempotencyKey: name,
			Type:           group.machineType,
			Zone:           group.zone,
			Spot:           group.spot,
			Count:          count,
		},
	}
}

// updateScaleIn moves a running machine that no demand needs towards its return: it is offered last,
// so that it empties; once idle for long enough it is cordoned, and then returned. A machine that is
// needed again goes back to normal.
func (l *leaderState) updateScaleIn(b *bin) {
	machine := b.machine
	view := &machine.leaderView
	view.onDemandReserved = b.onDemandReserved
	if len(machine.allocation.assignments) > 0 || machine.hasLiveTasks() {
		view.emptySince = 0
	} else if view.emptySince == 0 {
		view.emptySince = l.now
	}
	if view.offeredLast == b.needed {
		view.offeredLast = !b.needed
		l.pushRequested = true
	}
	if b.needed || view.emptySince == 0 {
		if view.cordonedAt != 0 {
			view.cordonedAt = 0
			l.pushRequested = true
		}
		return
	}
	if view.cordonedAt == 0 && l.now-view.emptySince >= l.autoscaler.idleTimeout(machine) &&
		machine.isOldEnoughForScaleIn(l.now) {
		view.cordonedAt = l.now
		l.pushRequested = true
	}
	if view.cordonedAt != 0 && l.now-view.cordonedAt > cordonDuration {
		l.autoscaler.markForReturn(machine, "idle")
	}
}

// isOldEnoughForScaleIn reports whether a machine's age, by either known start, exceeds minAgeForScaleIn.
func (m *machine) isOldEnoughForScaleIn(now time.Duration) bool {
	rentedAt := m.leaderView.rentedAt
	return now-max(m.identity.firstSeenAt, rentedAt) > minAgeForScaleIn ||
		rentedAt != 0 && now-rentedAt > minAgeForScaleIn
}

// logPlan logs the utilization of the fleet at most once in planLogInterval.
func (l *leaderState) logPlan(bins []*bin, demands []demand, jobs []*job) {
	if l.now < l.nextPlanLogAt {
		return
	}
	l.nextPlanLogAt = l.now + planLogInterval
	up, booting, offeredLast, empty, waiting, headroom := 0, 0, 0, 0, 0, 0
	var capacity, allocated int64 // thousandths of a CPU
	for _, b := range bins {
		if b.machine == nil || !b.machine.status.reported {
			booting++
			continue
		}
		up++
		if b.machine.leaderView.offeredLast {
			offeredLast++
		}
		if !b.hasTasks {
			empty++
		}
		capacity += b.capacity[0]
		allocated += b.machine.allocatedResources(jobs)[0]
	}
	for _, d := range demands {
		if d.isHeadroom {
			headroom += d.tasks
		} else {
			waiting += d.tasks
		}
	}
	l.log(LevelInfo, "machines", "up", up, "booting", booting, "closed", offeredLast,
		"empty", empty, "cpus", capacity/1000, "used", allocated/1000, "waiting", waiting,
		"reserve", headroom)
}

// idleTimeout is how long an empty machine is kept, longer for a type that boots slowly.
func (a *autoscalerState) idleTimeout(m *machine) time.Duration {
	scaling := &a.cfg.Autoscaling
	return scaling.IdleTimeout + scaleDuration(a.nominalBootTime(m.identity.machineType), scaling.IdleBootFactor)
}

// hasLiveTasks reports whether a machine's last heartbeat has a task that has not exited.
func (m *machine) hasLiveTasks() bool {
	for _, status := range m.status.tasks {
		if status.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys of a map in order, for iteration that is the same in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
