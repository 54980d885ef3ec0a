package core

import (
	"cmp"
	"dewlift/clusterstate"
	"dewlift/wire"
	"slices"
	"time"
)

// bin is room that is there or on its way.
type bin struct {
	machine             *machine
	nodeGroup           nodeGroup
	available           clusterstate.Resources
	capacity            clusterstate.Resources
	availableSoon       clusterstate.Resources // room of tasks that should end before a new machine could be up
	onDemandReserved    clusterstate.Resources
	busyHorizon         time.Duration // how long its tasks keep it
	busyHorizonSteps    time.Duration // that, in steps of the setting
	freeShare           float64
	preempted           []jobAssignment // tasks that were told to make room
	preemptible         []jobAssignment // see Core.movable; nil: not worked out
	preemptiblePriority int             // for which priority it was
	hasTasks            bool            // it has tasks
	schedulableKnown    bool            // good is known
	schedulable         bool
	needed              bool // a need was put into it
}

// isSchedulable reports whether new tasks may go to its machine now; that is found out once a plan.
func (b *bin) isSchedulable(c *Core) bool {
	if !b.schedulableKnown {
		b.schedulableKnown, b.schedulable = true, c.isSchedulable(b.machine)
	}
	return b.schedulable
}

func (b *bin) isDrainableOnDemand() bool {
	return !b.nodeGroup.spot && b.busyHorizon < unboundedHorizon
}

// supply is the room of a plan in the order in which needs fill it.
type supply struct {
	bins            []*bin
	packingOrders   [2][]*bin // for work that may not use spot machines, and for work that may
	machinesByGroup map[nodeGroup]int
	machinesByZone  map[string]int
	exhausted       [2][]exhaustedRequest
	plannedMachines int // machines that are to be rented
}

// exhaustedRequest is a claim for which the first bins of an order have no room, now or soon.
type exhaustedRequest struct {
	request         clusterstate.Resources
	binsWithoutRoom int
}

// firstCandidate is where in its order a need may find room: what is no larger found none before.
// While hundreds of jobs wait for a full fleet, each looked at all its machines in each plan.
func (h *supply) firstCandidate(n *demand) (first int) {
	if n.isUnconstrained() {
		for _, x := range h.exhausted[n.supplyOrder()] {
			if clusterstate.Resources(n.spec.Request).Fits(x.request) {
				first = max(first, x.binsWithoutRoom)
			}
		}
	}
	return first
}

// recordExhausted notes that a need finds no room.
func (h *supply) recordExhausted(n *demand) {
	if !n.isUnconstrained() {
		return
	}
	list := &h.exhausted[n.supplyOrder()]
	*list = slices.DeleteFunc(*list, func(x exhaustedRequest) bool { return x.request.Fits(n.spec.Request) })
	*list = append(*list, exhaustedRequest{n.spec.Request, len(h.packingOrders[n.supplyOrder()])})
}

// newSupply orders bins. Machines that stay longest are filled first, so that the others empty;
// ordinary ones without services come last for work that may use spot machines.
func (c *Core) newSupply(bins []*bin) *supply {
	h := &supply{bins: bins, machinesByGroup: map[nodeGroup]int{}, machinesByZone: map[string]int{}}
	for _, b := range bins {
		h.machinesByGroup[b.nodeGroup]++
		h.machinesByZone[b.nodeGroup.zone]++
		r := clusterstate.Row{Available: b.available, Allocated: b.capacity.AddScaled(b.available, -1)}
		b.freeShare = r.MinFreeFraction()
		if c.cfg.Scheduling.BusyHorizonStep > 0 {
			b.busyHorizonSteps = b.busyHorizon / c.cfg.Scheduling.BusyHorizonStep
		}
	}
	flag := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	for spot := range h.packingOrders {
		for _, b := range bins {
			if spot == 1 || !b.nodeGroup.spot {
				h.packingOrders[spot] = append(h.packingOrders[spot], b)
			}
		}
		slices.SortStableFunc(h.packingOrders[spot], func(x, y *bin) int {
			if spot == 1 && x.isDrainableOnDemand() != y.isDrainableOnDemand() {
				return flag(x.isDrainableOnDemand()) - flag(y.isDrainableOnDemand())
			}
			return cmp.Or(
				cmp.Compare(y.busyHorizonSteps, x.busyHorizonSteps),
				flag(y.hasTasks)-flag(x.hasTasks),
				cmp.Compare(x.freeShare, y.freeShare),
			)
		})
	}
	return h
}

// addPlanned puts a machine that is to be rented on the shelf.
func (h *supply) addPlanned(b *bin) {
	h.bins = append(h.bins, b)
	h.packingOrders[1] = append(h.packingOrders[1], b)
	if !b.nodeGroup.spot {
		h.packingOrders[0] = append(h.packingOrders[0], b)
	}
	h.machinesByGroup[b.nodeGroup]++
	h.machinesByZone[b.nodeGroup.zone]++
	h.plannedMachines++
}

// packDemand puts a need on the shelf, and orders machines for what does not fit. It returns how many
// tasks fit on machines that are up.
func (c *Core) packDemand(n demand, h *supply, order map[nodeGroup]int, pools *[]nodeGroup) (now int) {
	s := n.spec
	limit := (s.Tasks + 1) / 2
	room := func(zone string) int64 {
		if !s.Spread {
			return int64(n.tasks)
		}
		return int64(min(n.tasks, limit-n.tasksByZone[zone]))
	}
	put := func(b *bin) {
		k := min(tasksFitting(b.available, s.Request), room(b.nodeGroup.zone))
		if k <= 0 {
			return
		}
		b.available = b.available.AddScaled(s.Request, -k)
		b.needed = true
		if !s.Spot {
			b.onDemandReserved = b.onDemandReserved.AddScaled(s.Request, k)
		}
		n.tasks -= int(k)
		n.tasksByZone[b.nodeGroup.zone] += int(k)
		if b.machine != nil && b.machine.status.reported {
			now += int(k)
		}
	}
	may := func(b *bin) bool {
		return c.isMachineTypeAllowed(s, b.nodeGroup.machineType) && (s.Zone == "" || s.Zone == b.nodeGroup.zone) &&
			(s.Spot || !b.nodeGroup.spot)
	}
	shelf := h.packingOrders[0]
	if s.Spot {
		shelf = h.packingOrders[1]
	}
	fill := func(when func(*bin) bool) {
		for _, b := range shelf {
			if n.tasks <= 0 {
				return
			}
			c.Stats.PlanMachineLooks++
			if clusterstate.Resources(b.available).Fits(s.Request) && may(b) && when(b) {
				put(b)
			}
		}
	}
	if !n.isHeadroom && !n.isReplacement && s.Service {
		fill(func(b *bin) bool { return b.machine != nil && b.machine.status.reported })
		if made := c.preemptForReplicas(n, h.bins, room); made > 0 {
			n.tasks -= made
			h.exhausted = [2][]exhaustedRequest{} // what was stopped may leave room over
		}
	}
	first := h.firstCandidate(&n)
	shelf = shelf[first:]
	fill(func(*bin) bool { return true })
	if !n.isHeadroom && n.tasks > 0 && first == 0 {
		for _, b := range shelf {
			if n.tasks <= 0 {
				return now
			}
			if b.availableSoon == (clusterstate.Resources{}) || !may(b) {
				continue
			}
			if k := min(tasksFitting(b.availableSoon, s.Request), room(b.nodeGroup.zone)); k > 0 {
				b.availableSoon = b.availableSoon.AddScaled(s.Request, -k)
				b.needed = true
				n.tasks -= int(k)
				n.tasksByZone[b.nodeGroup.zone] += int(k)
			}
		}
	}
	if n.tasks > 0 {
		h.recordExhausted(&n)
	}
	for n.tasks > 0 && h.plannedMachines < c.maxScaleOut() {
		p, ok := c.chooseNodeGroup(s, n, room, h)
		if !ok {
			break
		}
		t := c.autoscaler.catalog[p.machineType]
		b := &bin{nodeGroup: p, available: t.Capacity(), capacity: t.Capacity()}
		if order[p] == 0 {
			*pools = append(*pools, p)
		}
		order[p]++
		h.addPlanned(b)
		put(b)
	}
	return now
}

// chooseNodeGroup is the cheapest kind of machine for the rest of a need, by price per task that
// it takes, with regard to its boot time; among equals the zone with fewest machines.
func (c *Core) chooseNodeGroup(s *wire.JobSpec, n demand, room func(string) int64, h *supply) (nodeGroup, bool) {
	var best nodeGroup
	bestScore, found := 0.0, false
	for _, name := range c.autoscaler.typeNames {
		t := c.autoscaler.catalog[name]
		if !c.isMachineTypeAllowed(s, name) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone != "" && z != s.Zone {
				continue
			}
			for _, spot := range []bool{false, true} {
				p := nodeGroup{name, z, spot}
				if spot && (!s.Spot || t.SpotPrice <= 0) || c.now < c.leaderState.blockedUntil[p] {
					continue
				}
				if n.isHeadroom && s.Spot && !spot {
					continue // spare room for work that may use spot machines is worth only their price
				}
				k := min(tasksFitting(t.Capacity(), s.Request), room(z))
				if k <= 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				// Not all machines in one place: a kind counts as dearer the larger its share of
				// the fleet is. By numbers, ordinary machines at 2.5 times the price were taken once a
				// kind of spot machine counted 150.
				all := float64(max(1, len(h.bins)))
				score := price / float64(
					k,
				) * (1 + t.BootS/120) * (1 + 0.4*float64(h.machinesByGroup[p])/all + 0.05*float64(h.machinesByZone[z])/all)
				if !found || score < bestScore {
					best, bestScore, found = p, score, true
				}
			}
		}
	}
	return best, found
}

// releasedSoon is the room of tasks that should end, by their owners' estimates, within the boot
// time of a machine like theirs.
func (c *Core) releasedSoon(m *machine) clusterstate.Resources {
	var v clusterstate.Resources
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.jobIndex]
		p := m.status.tasks[attemptKey{k.jobIndex, k.task, a.Attempt}]
		if s := j.record.Spec; s != nil && !s.Service && p.state == wire.TaskRunning {
			left := time.Duration(s.EstimatedRuntimeMS)*time.Millisecond - (c.now - p.stateSince)
			if left < scaleDuration(c.nominalBootTime(m.identity.machineType), c.cfg.Autoscaling.SoonFreeBootFactor) &&
				left > -time.Duration(s.EstimatedRuntimeMS)*time.Millisecond/4 {
				v = v.AddScaled(s.Request, 1)
			}
		}
	}
	return v
}
