package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dewlift/wire"
)

// autoscalerState holds the autoscaling data that every controller maintains: the catalog of machine
// types, arrival statistics by job class, and in-flight cloud requests.
type autoscalerState struct {
	*environment

	catalog               map[string]*wire.MachineType
	typeNames             []string // keys of catalog, sorted
	nextCatalogAt         time.Duration
	storedCatalogRevision uint64       // revision of the stored catalog; 0: no catalog is stored
	storedCatalog         wire.Catalog // the catalog in the key-value store
	catalogStoreInFlight  bool
	catalogTooLargeLogged bool // the error that the catalog exceeds the value size limit was logged
	catalogInFlight       bool
	classStats            map[string]*classStats
	pendingCalls          map[uint64]func(CloudResult) // callbacks by request ID
}

// nodeGroup identifies a set of interchangeable machines. A scale-out request names one node group.
type nodeGroup struct {
	machineType string
	zone        string
	spot        bool
}

const (
	manyUnmetJobs          = 50              // unmet jobs above which a plan without scale-out is repeated less often
	maxMachinesPerScaleOut = 50              // most machines that the cloud starts for one request
	scaleOutPlanningWindow = 4 * time.Second // one plan may use the cloud requests of this period

	bootOverdueFactor = 1.7             // multiple of the nominal boot time after which a boot is overdue
	bootOverdueSlack  = 2 * time.Second // added to that time

	minAgeForScaleIn = 60 * time.Second        // younger machines are not scaled in as idle
	cordonDuration   = 1500 * time.Millisecond // time from the cordon to the scale-in
	planLogInterval  = 10 * time.Second
)

// maxScaleOut returns how many machines one plan may request: as many as the cloud request rate allows
// within scaleOutPlanningWindow. Unsent requests are planned again; without this limit, every plan for
// a full fleet packed thousands of machines that could not be requested.
func (a *autoscalerState) maxScaleOut() int {
	requests := int(a.cfg.Autoscaling.CloudRequestRate * scaleOutPlanningWindow.Seconds())
	return max(4*maxMachinesPerScaleOut, requests*maxMachinesPerScaleOut)
}

// planScaling packs the pending demand into the supply of machines, creates scale-out requests for the
// rest, and cordons and scales in idle machines.
func (c *Core) planScaling() {
	bins := c.appendMachineBins(nil)
	c.leaderState.dropUnsentScaleOut()
	bins = c.autoscaler.appendRequestedBins(bins, c.leaderState.scaleOutRequests)

	demands := c.pendingDemand()
	s := c.leaderState.newSupply(bins, &c.Stats)
	c.packDemands(demands, s)
	c.leaderState.createScaleOutRequests(s)
	c.leaderState.logPlan(s.bins, demands, c.jobs)
	for _, b := range s.bins {
		if b.machine != nil && b.machine.status.reported {
			c.leaderState.updateScaleIn(b)
		}
	}
}

// appendMachineBins appends a bin for each machine that counts as supply and is up, or booting and not overdue.
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

// countsAsSupply reports whether a plan may expect a machine to stay and to be reachable.
func (c *Core) countsAsSupply(m *machine) bool {
	return !m.lifecycle.gone && m.leaderView.scaleInReason == "" && !m.leaderView.zoneUnreachable &&
		m.lifecycle.interruptionDeadline <= 0 && !m.health.isQuarantined(c.environment, c.jobs)
}

// isBootOverdue reports whether a machine that has not sent a heartbeat yet should have booted by now.
func (a *autoscalerState) isBootOverdue(m *machine) bool {
	age := a.now - max(m.identity.firstSeenAt, m.leaderView.provisionedAt)
	return age > scaleDuration(a.nominalBootTime(m.identity.machineType), bootOverdueFactor)+bootOverdueSlack
}

// dropUnsentScaleOut drops the scale-out requests that were not sent. They are planned again together
// with newer demand: the cloud request rate is low, so each request should ask for all the machines
// that its node group needs. Sent requests stay because they may have been executed.
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

// packDemands packs the demands in order. It counts the jobs that do not fit on machines that are up, and
// holds capacity for the most urgent of those that may use spot machines of any type in any zone.
func (c *Core) packDemands(demands []demand, s *supply) {
	l := c.leaderState
	l.capacityHold, l.unmetJobs = nil, 0
	for _, d := range demands {
		placeable := c.packDemand(d, s)
		if placeable >= d.tasks || d.isHeadroom {
			continue
		}
		l.unmetJobs++
		if !d.isReplacement && d.spec.Spot && d.spec.MachineTypes == nil && d.spec.Zone == "" {
			l.capacityHold = l.capacityHold.withWaiting(d.priorityClass, d.spec.Request)
		}
	}
}

// createScaleOutRequests creates requests for the planned machines, each for at most
// maxMachinesPerScaleOut, the largest node groups first. Each group's first request precedes any
// group's second, so that an exhausted group is detected with only one of the few cloud requests.
func (l *leaderState) createScaleOutRequests(s *supply) {
	groups, planned := s.plannedGroups, s.plannedByGroup
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

// createScaleOutRequest adds a request with a new idempotency key that is unique across leaders and terms.
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

// updateScaleIn advances the scale-in of a running machine that no demand needs. At first, placement prefers
// all other machines (offeredLast), so that this one becomes empty. Once it has been idle for long enough, it
// is cordoned and then scaled in. If it is needed again before that, both restrictions are lifted.
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
		l.autoscaler.markForScaleIn(machine, "idle")
	}
}

// isOldEnoughForScaleIn reports whether a machine's age exceeds minAgeForScaleIn. The age counts from when
// the cloud started the machine or, if that is not known, from when it was first seen.
func (m *machine) isOldEnoughForScaleIn(now time.Duration) bool {
	provisionedAt := m.leaderView.provisionedAt
	return now-max(m.identity.firstSeenAt, provisionedAt) > minAgeForScaleIn ||
		provisionedAt != 0 && now-provisionedAt > minAgeForScaleIn
}

// logPlan logs the utilization of the fleet at most once per planLogInterval.
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
	l.log(LevelInfo, "fleet utilization", "up", up, "booting", booting, "closed", offeredLast,
		"empty", empty, "cpus", capacity/1000, "used", allocated/1000, "waiting", waiting,
		"reserve", headroom)
}

// idleTimeout returns how long an empty machine is kept. Machine types that boot slowly are kept longer.
func (a *autoscalerState) idleTimeout(m *machine) time.Duration {
	scaling := &a.cfg.Autoscaling
	return scaling.IdleTimeout + scaleDuration(a.nominalBootTime(m.identity.machineType), scaling.IdleBootFactor)
}

// hasLiveTasks reports whether a machine's last heartbeat lists a task that has not exited.
func (m *machine) hasLiveTasks() bool {
	for _, status := range m.status.tasks {
		if status.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys of a map in order, so that iteration is deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
