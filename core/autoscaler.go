package core

import (
	"cmp"
	"dewlift/wire"
	"fmt"
	"maps"
	"slices"
	"time"
)

type nodeGroup struct {
	machineType string
	zone        string
	spot        bool
}

const (
	manyUnmetJobs      = 50              // jobs
	maxMachinesPerRent = 50              // machines that the cloud rents with one call
	rentPlanningWindow = 4 * time.Second // for which rentals are planned
)

// maxScaleOut is how many machines a plan orders at most, those that the cloud's calls can ask for
// in a while. What is not sent is planned anew; without a bound, each plan of a full fleet was
// about thousands of machines that there are not.
func (c *Core) maxScaleOut() int {
	return max(4*maxMachinesPerRent, int(c.cfg.Autoscaling.CloudRequestRate*rentPlanningWindow.Seconds())*maxMachinesPerRent)
}

// planScaling compares the room with what the jobs need and decides what to rent and what to empty.
func (c *Core) planScaling() {
	l := c.leaderState
	var bins []*bin
	for _, m := range c.aliveMachines {
		t := c.autoscaler.catalog[m.identity.machineType]
		if m.lifecycle.gone || m.leaderView.returnReason != "" || m.leaderView.zoneUnreachable ||
			m.lifecycle.interruptionDeadline > 0 ||
			t == nil ||
			c.isQuarantined(m) {
			continue
		}
		b := &bin{
			machine:   m,
			nodeGroup: nodeGroup{m.identity.machineType, m.identity.zone, m.identity.spot},
			capacity:  t.Capacity(),
		}
		if m.status.reported {
			b.available = b.capacity.AddScaled(c.allocatedOn(m), -1)
			b.availableSoon = c.releasedSoon(m)
			b.busyHorizon = c.busyHorizon(m)
		} else {
			age := c.now - max(m.identity.firstSeenAt, m.leaderView.rentedAt)
			if age > scaleDuration(c.nominalBootTime(m.identity.machineType), 1.7)+2*time.Second {
				continue // late: do not count on it
			}
			b.available = b.capacity
		}
		b.hasTasks = len(m.allocation.assignments) > 0
		bins = append(bins, b)
	}
	// What was not sent yet is planned anew, together with what came since: the calls are few, so
	// each should ask for as many machines as are needed of a kind.
	maps.DeleteFunc(l.scaleOutRequests, func(_ string, r *scaleOutRequest) bool { return !r.sent })
	for _, name := range sortedKeys(l.scaleOutRequests) {
		r := l.scaleOutRequests[name]
		if t := c.autoscaler.catalog[r.request.Type]; t != nil {
			for i := 0; i < r.request.Count; i++ {
				bins = append(
					bins,
					&bin{
						nodeGroup: nodeGroup{r.request.Type, r.request.Zone, r.request.Spot},
						available: t.Capacity(),
						capacity:  t.Capacity(),
					},
				)
			}
		}
	}
	needs := c.pendingDemand()
	order := map[nodeGroup]int{}
	var pools []nodeGroup // in the order of urgency
	h := c.newSupply(bins)
	l.capacityHold, l.unmetJobs = nil, 0
	for _, n := range needs {
		now := c.packDemand(n, h, order, &pools)
		if now < n.tasks && !n.isHeadroom {
			l.unmetJobs++
		}
		if now < n.tasks && !n.isHeadroom && !n.isReplacement && n.spec.Spot && n.spec.MachineTypes == nil &&
			n.spec.Zone == "" {
			l.capacityHold = l.capacityHold.withWaiting(n.priorityClass, n.spec.Request)
		}
	}
	bins = h.bins
	slices.SortStableFunc(pools, func(x, y nodeGroup) int { return order[y] - order[x] })
	// The first request for each kind comes before the second for any: a kind that is used up shows
	// with one of the few calls, not with several.
	for round, more := 0, true; more; round++ {
		more = false
		for _, p := range pools {
			n := min(order[p]-round*maxMachinesPerRent, maxMachinesPerRent)
			if n <= 0 {
				continue
			}
			more = true
			l.scaleOutSeq++
			name := fmt.Sprintf("h-%d-%s-%06d", l.fencingToken, c.cfg.Name, l.scaleOutSeq)
			l.scaleOutRequests[name] = &scaleOutRequest{
				request: wire.ScaleOutRequest{
					IdempotencyKey: name,
					Type:           p.machineType,
					Zone:           p.zone,
					Spot:           p.spot,
					Count:          n,
				},
			}
		}
	}
	c.logPlan(bins, needs)
	// Machines that nothing needs are emptied and returned.
	for _, b := range bins {
		m := b.machine
		if m == nil || !m.status.reported {
			continue
		}
		m.leaderView.onDemandReserved = b.onDemandReserved
		if len(m.allocation.assignments) > 0 || c.hasLiveTasks(m) {
			m.leaderView.emptySince = 0
		} else if m.leaderView.emptySince == 0 {
			m.leaderView.emptySince = c.now
		}
		// Packing comes from what is offered: a machine that neither waiting work nor the
		// spare room needs is offered last, so that it empties.
		if m.leaderView.offeredLast == b.needed {
			m.leaderView.offeredLast = !b.needed
			l.pushRequested = true
		}
		if b.needed || m.leaderView.emptySince == 0 {
			if m.leaderView.cordonedAt != 0 {
				m.leaderView.cordonedAt = 0
				l.pushRequested = true
			}
			continue
		}
		old := c.now-max(m.identity.firstSeenAt, m.leaderView.rentedAt) > 60*time.Second ||
			m.leaderView.rentedAt != 0 && c.now-m.leaderView.rentedAt > 60*time.Second
		if m.leaderView.cordonedAt == 0 && c.now-m.leaderView.emptySince >= c.idleTimeout(m) && old {
			m.leaderView.cordonedAt = c.now
			l.pushRequested = true
		}
		if m.leaderView.cordonedAt != 0 && c.now-m.leaderView.cordonedAt > 1500*time.Millisecond {
			c.markForReturn(m, "idle")
		}
	}
}

// logPlan logs the use of the machines at a modest rate.
func (c *Core) logPlan(bins []*bin, needs []demand) {
	l := c.leaderState
	if c.now < l.nextPlanLogAt {
		return
	}
	l.nextPlanLogAt = c.now + 10*time.Second
	up, boot, closed, empty, waiting, reserve := 0, 0, 0, 0, 0, 0
	var total, occ int64
	for _, b := range bins {
		switch {
		case b.machine == nil || !b.machine.status.reported:
			boot++
			continue
		case b.machine.leaderView.offeredLast:
			closed++
		}
		up++
		if !b.hasTasks {
			empty++
		}
		total += b.capacity[0]
		occ += c.allocatedOn(b.machine)[0]
	}
	for _, n := range needs {
		if n.isHeadroom {
			reserve += n.tasks
		} else {
			waiting += n.tasks
		}
	}
	c.log(LevelInfo, "machines", "up", up, "booting", boot, "closed", closed, "empty", empty, "cpus", total/1000,
		"used", occ/1000, "waiting", waiting, "reserve", reserve)
}

// idleTimeout is how long an empty machine is kept: the longer it took to boot, the longer.
func (c *Core) idleTimeout(m *machine) time.Duration {
	return c.cfg.Autoscaling.IdleTimeout + scaleDuration(c.nominalBootTime(m.identity.machineType), c.cfg.Autoscaling.IdleBootFactor)
}

func (c *Core) hasLiveTasks(m *machine) bool {
	for _, p := range m.status.tasks {
		if p.state != wire.TaskExited {
			return true
		}
	}
	return false
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// autoscalerState is the catalog of machine types (from the cloud, and as stored), arrivals by job
// class, cloud calls in flight.
type autoscalerState struct {
	catalog         map[string]*wire.MachineType
	typeNames       []string // its names, sorted
	nextCatalogAt   time.Duration
	storedRevision  uint64       // of the kept catalog
	storedCatalog   wire.Catalog // as the state service holds it
	storeInFlight   bool
	catalogInFlight bool
	classStats      map[string]*classStats
	calls           map[uint64]func(CloudResult)
}
