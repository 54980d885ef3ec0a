package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

type nodeGroup struct {
	machineType string
	zone        string
	spot        bool
}

type classStats struct {
	lastSpec        wire.JobSpec
	meanTasks       float64       // mean size of its jobs
	meanSquareTasks float64       // mean square of it
	meanInterval    time.Duration // mean time between them
	lastArrival     time.Duration
	lastArrivalMS   int64 // time of day of the last one's acceptance
}

// recordClassArrival keeps the mean size of the jobs of a class, for spare room.
func (c *Core) recordClassArrival(r *jobrecord.Record) {
	if c.autoscaler.classStats == nil {
		c.autoscaler.classStats = map[string]*classStats{}
	}
	key := r.Spec.Class
	st := c.autoscaler.classStats[key]
	if st == nil {
		st = &classStats{meanTasks: float64(r.Spec.Tasks), meanSquareTasks: float64(r.Spec.Tasks) * float64(r.Spec.Tasks)}
		c.autoscaler.classStats[key] = st
	}
	st.meanSquareTasks += (float64(r.Spec.Tasks)*float64(r.Spec.Tasks) - st.meanSquareTasks) / 16
	st.meanTasks += (float64(r.Spec.Tasks) - st.meanTasks) / 8
	if at := time.Duration(r.AcceptedAtMS-st.lastArrivalMS) * time.Millisecond; st.lastArrivalMS != 0 && at >= 0 {
		st.meanInterval += (at - st.meanInterval) / 8
	}
	st.lastSpec, st.lastArrival, st.lastArrivalMS = *r.Spec, c.now, r.AcceptedAtMS
}

const (
	manyUnmetJobs      = 50              // jobs
	maxMachinesPerRent = 50              // machines that the cloud rents with one call
	rentPlanningWindow = 4 * time.Second // for which rentals are planned
)

// maxScaleOut is how many machines a plan orders at most, those that the cloud's calls can ask for in a while. What is not sent is planned
// anew; without a bound, each plan of a full fleet was about thousands of machines that there are not.
func (c *Core) maxScaleOut() int {
	return max(4*maxMachinesPerRent, int(c.cfg.CloudRequestRate*rentPlanningWindow.Seconds())*maxMachinesPerRent)
}

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

type demand struct {
	job           *job // nil for spare room
	spec          *wire.JobSpec
	tasks         int
	tasksByZone   map[string]int
	isHeadroom    bool
	isReplacement bool // the tasks still run, on machines that will probably be returned
	priorityClass int
	enqueuedAtMS  int64
}

func (n *demand) packingOrder() int {
	switch {
	case !n.isHeadroom && !n.spec.Spot:
		return 0
	case n.isHeadroom && !n.spec.Spot:
		return 1
	case !n.isHeadroom:
		return 2
	}
	return 3
}

func (b *bin) isDrainableOnDemand() bool {
	return !b.nodeGroup.spot && b.busyHorizon < unboundedHorizon
}

// planScaling compares the room with what the jobs need and decides what to rent and what to empty.
func (c *Core) planScaling() {
	l := c.leaderState
	var bins []*bin
	for _, m := range c.aliveMachines {
		t := c.autoscaler.catalog[m.identity.machineType]
		if m.lifecycle.gone || m.leaderView.returnReason != "" || m.leaderView.zoneUnreachable || m.lifecycle.interruptionDeadline > 0 || t == nil || c.isQuarantined(m) {
			continue
		}
		b := &bin{machine: m, nodeGroup: nodeGroup{m.identity.machineType, m.identity.zone, m.identity.spot}, capacity: t.Capacity()}
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
				bins = append(bins, &bin{nodeGroup: nodeGroup{r.request.Type, r.request.Zone, r.request.Spot}, available: t.Capacity(), capacity: t.Capacity()})
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
		if now < n.tasks && !n.isHeadroom && !n.isReplacement && n.spec.Spot && n.spec.MachineTypes == nil && n.spec.Zone == "" {
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
			l.scaleOutRequests[name] = &scaleOutRequest{request: wire.ScaleOutRequest{IdempotencyKey: name, Type: p.machineType, Zone: p.zone, Spot: p.spot, Count: n}}
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
		old := c.now-max(m.identity.firstSeenAt, m.leaderView.rentedAt) > 60*time.Second || m.leaderView.rentedAt != 0 && c.now-m.leaderView.rentedAt > 60*time.Second
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
	c.log("info", "machines", "up", up, "booting", boot, "closed", closed, "empty", empty, "cpus", total/1000,
		"used", occ/1000, "waiting", waiting, "reserve", reserve)
}

// idleTimeout is how long an empty machine is kept: the longer it took to boot, the longer.
func (c *Core) idleTimeout(m *machine) time.Duration {
	return c.cfg.IdleTimeout + scaleDuration(c.nominalBootTime(m.identity.machineType), c.cfg.IdleBootFactor)
}

func (c *Core) hasLiveTasks(m *machine) bool {
	for _, p := range m.status.tasks {
		if p.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// headroomTasks is the number of tasks of a class that room is kept for: a share of those that run,
// but no more than what jobs ask for beyond the mean until a new machine is up (so many standard
// deviations of it; a large class varies less for its size), and at least a job of the usual
// size; less and less once jobs have stopped coming.
func (c *Core) headroomTasks(st *classStats, running int) float64 {
	share := c.cfg.HeadroomShare
	if st.lastSpec.Service {
		share = c.cfg.ServiceHeadroomShare
	}
	n := share * float64(running)
	if st.meanInterval > 0 {
		jobs := float64(c.provisioningTime(&st.lastSpec)) / float64(st.meanInterval)
		n = min(n, c.cfg.HeadroomDeviations*math.Sqrt(jobs*st.meanSquareTasks))
	}
	n = max(st.meanTasks, n)
	if quiet := c.now - st.lastArrival; st.meanInterval > 0 && quiet > 5*st.meanInterval && quiet > 20*time.Second {
		n *= float64(5*st.meanInterval) / float64(quiet)
	}
	return n
}

// provisioningTime is how long it takes from a need to the room for it: renting, and the boot of the
// quickest type.
func (c *Core) provisioningTime(s *wire.JobSpec) time.Duration {
	var quickest time.Duration
	for _, name := range c.autoscaler.typeNames {
		if t := c.autoscaler.catalog[name]; c.isMachineTypeAllowed(s, name) && clusterstate.Resources(t.Capacity()).Fits(s.Request) && (quickest == 0 || c.nominalBootTime(name) < quickest) {
			quickest = c.nominalBootTime(name)
		}
	}
	return quickest + c.cfg.ScaleOutLeadTime
}

// nominalBootTime is the nominal boot time of a machine type; 0 if the type is not known.
func (c *Core) nominalBootTime(typ string) time.Duration {
	t := c.autoscaler.catalog[typ]
	if t == nil {
		return 0
	}
	return time.Duration(t.BootS * float64(time.Second))
}

func scaleDuration(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// pendingDemand lists the tasks that wait, and the spare room for those to come.
func (c *Core) pendingDemand() []demand {
	var out []demand
	running := map[string]int{}
	left := map[*team][2]int64{}
	for _, t := range c.teams {
		left[t] = [2]int64{math.MaxInt64, math.MaxInt64}
		u := left[t]
		if t.MaxCPU > 0 {
			u[0] = t.MaxCPU - t.usedCPU
		}
		if t.MaxGPU > 0 {
			u[1] = t.MaxGPU - t.usedGPU
		}
		left[t] = u
	}
	asked := map[*job]bool{}
	for _, j := range c.openJobs {
		if j.record == nil || j.record.Spec == nil || j.isFinal() {
			continue
		}
		// What should be ready before a machine that is rented now could be up.
		for _, o := range j.dependents {
			if asked[o] {
				continue
			}
			asked[o] = true
			if in, ok := c.estimateReadyIn(o); ok && in < c.provisioningTime(o.record.Spec) {
				out = append(out, demand{job: o, spec: o.record.Spec, tasks: min(o.record.Spec.Tasks, c.maxAssignedTasks()), tasksByZone: map[string]int{},
					isHeadroom: true, priorityClass: o.effectiveClass, enqueuedAtMS: o.effectiveEnqueueMS()})
			}
		}
		if j.unmetDependencies > 0 {
			continue
		}
		s := j.record.Spec
		running[s.Class] += len(j.assignments)
		n := s.Tasks - j.record.CompletedTasks.Count() - len(j.assignments)
		cut := 0
		zones := map[string]int{}
		for _, a := range j.assignments {
			if m := c.machines[a.Machine]; m.leaderView.zoneUnreachable {
				cut++
			} else {
				zones[m.identity.zone]++
			}
		}
		if isFailing(j.record, c.unixMS()) {
			n = min(n, max(0, c.maxTasksWhileFailing(j, j.assignments)-len(j.assignments)))
		}
		if n > 0 && c.now >= j.placement.backoffUntil {
			out = append(out, demand{job: j, spec: s, tasks: min(n, c.maxAssignedTasks()), tasksByZone: zones, priorityClass: c.effectivePriorityClass(j), enqueuedAtMS: j.effectiveEnqueueMS()})
		}
		if cut > 0 {
			out = append(out, demand{job: j, spec: s, tasks: cut, tasksByZone: zones, isReplacement: true, priorityClass: c.effectivePriorityClass(j), enqueuedAtMS: j.effectiveEnqueueMS()})
		}
	}
	for class, st := range c.autoscaler.classStats {
		if running[class] == 0 && c.now-st.lastArrival > 3*time.Minute {
			continue
		}
		n := int(math.Ceil(c.headroomTasks(st, running[class])))
		if n <= 0 {
			continue
		}
		s := st.lastSpec
		s.Tasks = n
		out = append(out, demand{spec: &s, tasks: n, tasksByZone: map[string]int{}, isHeadroom: true, priorityClass: c.priority.classes.Classify(&s)})
	}
	slices.SortStableFunc(out, func(a, b demand) int {
		// Spare room for work that may not use spot machines comes before waiting work that
		// may: that one would fill the few machines which the other can use.
		if d := a.packingOrder() - b.packingOrder(); d != 0 {
			return d
		}
		if d := a.priorityClass - b.priorityClass; d != 0 {
			return d
		}
		if d := cmp.Compare(a.enqueuedAtMS, b.enqueuedAtMS); d != 0 {
			return d
		}
		return cmp.Compare(a.spec.Class, b.spec.Class)
	})
	for i := range out {
		n := &out[i]
		t := c.teamOf(n.spec)
		if t == nil || n.isHeadroom || n.isReplacement {
			continue
		}
		u := left[t]
		for k := 0; k < 2; k++ {
			if n.spec.Request[k] > 0 && u[k] != math.MaxInt64 {
				n.tasks = min(n.tasks, int(max(0, u[k])/n.spec.Request[k]))
			}
		}
		for k := 0; k < 2; k++ {
			if u[k] != math.MaxInt64 {
				u[k] -= int64(n.tasks) * n.spec.Request[k]
			}
		}
		left[t] = u
	}
	return out
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
			if left < scaleDuration(c.nominalBootTime(m.identity.machineType), c.cfg.SoonFreeBootFactor) && left > -time.Duration(s.EstimatedRuntimeMS)*time.Millisecond/4 {
				v = v.AddScaled(s.Request, 1)
			}
		}
	}
	return v
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

// firstCandidate is where in its order a need may find room: what is no larger found none before. While hundreds of jobs wait for a full fleet, each
// looked at all its machines in each plan.
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

// supplyOrder is the order of the shelf that a need looks at.
func (n *demand) supplyOrder() int {
	if n.spec.Spot {
		return 1
	}
	return 0
}

// isUnconstrained reports whether a need takes any machine of its order that has room.
func (n *demand) isUnconstrained() bool {
	s := n.spec
	return !s.Spread && s.MachineTypes == nil && s.Zone == "" && !n.isHeadroom
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
		if c.cfg.BusyHorizonStep > 0 {
			b.busyHorizonSteps = b.busyHorizon / c.cfg.BusyHorizonStep
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
			return cmp.Or(cmp.Compare(y.busyHorizonSteps, x.busyHorizonSteps), flag(y.hasTasks)-flag(x.hasTasks), cmp.Compare(x.freeShare, y.freeShare))
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

// withWaiting is the hold with one more kind of task that waits for room.
func (h *CapacityHold) withWaiting(prio int, claim clusterstate.Resources) *CapacityHold {
	switch {
	case h == nil || prio < h.Priority:
		return &CapacityHold{prio, claim}
	case prio == h.Priority:
		for i := range claim {
			h.Request[i] = min(h.Request[i], claim[i])
		}
	}
	return h
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
		return c.isMachineTypeAllowed(s, b.nodeGroup.machineType) && (s.Zone == "" || s.Zone == b.nodeGroup.zone) && (s.Spot || !b.nodeGroup.spot)
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

// preemptForReplicas stops tasks of lower priority for replicas that find no room now: machines that
// boot would come too late for them. It takes those with the least work to lose.
func (c *Core) preemptForReplicas(n demand, bins []*bin, room func(string) int64) int {
	l := c.leaderState
	if at, ok := l.lastPreemptedFor[n.job.index]; n.tasks <= 0 || ok && c.now-at < c.cfg.PreemptionRetryInterval {
		return max(0, n.tasks) // what was stopped is about to go
	}
	type place struct {
		bin     *bin
		victims []jobAssignment
		cost    time.Duration
	}
	var places []place
	for _, b := range bins {
		if b.machine == nil || !b.machine.status.reported || b.nodeGroup.spot && !n.spec.Spot || n.spec.Spread && room(b.nodeGroup.zone) <= 0 || !b.isSchedulable(c) || !c.isFeasible(n.spec, b.machine) {
			continue
		}
		if vs, cost, ok := c.chooseVictims(n, b); ok {
			places = append(places, place{b, vs, cost})
		}
	}
	slices.SortStableFunc(places, func(x, y place) int { return cmp.Compare(x.cost, y.cost) })
	made := 0
	for _, p := range places {
		if made >= n.tasks {
			break
		}
		b := p.bin
		if n.spec.Spread && room(b.nodeGroup.zone) <= 0 {
			continue
		}
		for _, v := range p.victims {
			l.pendingPreemptions = append(l.pendingPreemptions, PreemptedTask{Machine: b.machine.name, Job: c.jobs[v.jobIndex].id, Task: v.Task, Attempt: v.Attempt})
			b.available = b.available.AddScaled(c.jobs[v.jobIndex].record.Spec.Request, 1)
			b.preempted = append(b.preempted, v)
		}
		b.preemptible = nil
		for made < n.tasks && b.available.Fits(n.spec.Request) && room(b.nodeGroup.zone) > 0 {
			b.available = b.available.AddScaled(n.spec.Request, -1)
			b.onDemandReserved = b.onDemandReserved.AddScaled(n.spec.Request, 1)
			n.tasksByZone[b.nodeGroup.zone]++
			made++
		}
		b.needed = true
	}
	if made > 0 {
		l.lastPreemptedFor[n.job.index] = c.now
		l.pushRequested = true
		c.log("info", "making room", "job", n.job.id, "tasks", made)
	}
	return made
}

// chooseVictims chooses the tasks of a machine that must go for one task of a need.
func (c *Core) chooseVictims(n demand, b *bin) (vs []jobAssignment, cost time.Duration, ok bool) {
	free := b.available
	all := c.preemptibleTasks(b, n.spec.Priority)
	for i, v := range all {
		if free.Fits(n.spec.Request) {
			break
		}
		free = free.AddScaled(c.jobs[v.jobIndex].record.Spec.Request, 1)
		cost += c.timeInState(b.machine, v)
		vs = all[:i+1]
	}
	return vs, cost, len(vs) > 0 && free.Fits(n.spec.Request)
}

// preemptibleTasks lists the tasks of a machine that may be stopped for a priority, those that have run least first. It is worked
// out once a plan: hundreds of replicas that find no room look at all machines.
func (c *Core) preemptibleTasks(b *bin, below int) []jobAssignment {
	if b.preemptible != nil && b.preemptiblePriority == below {
		return b.preemptible
	}
	all := []jobAssignment{}
	for _, v := range b.machine.sortedAssignments() {
		s := c.jobs[v.jobIndex].record.Spec
		p, there := b.machine.status.tasks[attemptKey{v.jobIndex, v.Task, v.Attempt}]
		if s != nil && there && !s.Service && s.Priority > below && !slices.Contains(b.preempted, v) &&
			(p.state == wire.TaskRunning || p.state == wire.TaskPullingImage) {
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(x, y jobAssignment) int {
		return cmp.Compare(c.timeInState(b.machine, x), c.timeInState(b.machine, y))
	})
	b.preemptible, b.preemptiblePriority = all, below
	return all
}

// timeInState is how long a task has been in its state.
func (c *Core) timeInState(m *machine, v jobAssignment) time.Duration {
	return c.now - m.status.tasks[attemptKey{v.jobIndex, v.Task, v.Attempt}].stateSince
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
				score := price / float64(k) * (1 + t.BootS/120) * (1 + 0.4*float64(h.machinesByGroup[p])/all + 0.05*float64(h.machinesByZone[z])/all)
				if !found || score < bestScore {
					best, bestScore, found = p, score, true
				}
			}
		}
	}
	return best, found
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
