package core

import (
	"cmp"
	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"math"
	"slices"
	"time"
)

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
		st = &classStats{
			meanTasks:       float64(r.Spec.Tasks),
			meanSquareTasks: float64(r.Spec.Tasks) * float64(r.Spec.Tasks),
		}
		c.autoscaler.classStats[key] = st
	}
	st.meanSquareTasks += (float64(r.Spec.Tasks)*float64(r.Spec.Tasks) - st.meanSquareTasks) / 16
	st.meanTasks += (float64(r.Spec.Tasks) - st.meanTasks) / 8
	if at := time.Duration(r.AcceptedAtMS-st.lastArrivalMS) * time.Millisecond; st.lastArrivalMS != 0 && at >= 0 {
		st.meanInterval += (at - st.meanInterval) / 8
	}
	st.lastSpec, st.lastArrival, st.lastArrivalMS = *r.Spec, c.now, r.AcceptedAtMS
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
				out = append(out, demand{
					job:           o,
					spec:          o.record.Spec,
					tasks:         min(o.record.Spec.Tasks, c.maxAssignedTasks()),
					tasksByZone:   map[string]int{},
					isHeadroom:    true,
					priorityClass: o.effectiveClass,
					enqueuedAtMS:  o.effectiveEnqueueMS(),
				})
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
			out = append(
				out,
				demand{
					job:           j,
					spec:          s,
					tasks:         min(n, c.maxAssignedTasks()),
					tasksByZone:   zones,
					priorityClass: c.effectivePriorityClass(j),
					enqueuedAtMS:  j.effectiveEnqueueMS(),
				},
			)
		}
		if cut > 0 {
			out = append(
				out,
				demand{
					job:           j,
					spec:          s,
					tasks:         cut,
					tasksByZone:   zones,
					isReplacement: true,
					priorityClass: c.effectivePriorityClass(j),
					enqueuedAtMS:  j.effectiveEnqueueMS(),
				},
			)
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
		out = append(
			out,
			demand{
				spec:          &s,
				tasks:         n,
				tasksByZone:   map[string]int{},
				isHeadroom:    true,
				priorityClass: c.priority.classes.Classify(&s),
			},
		)
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

// headroomTasks is the number of tasks of a class that room is kept for: a share of those that run,
// but no more than what jobs ask for beyond the mean until a new machine is up (so many standard
// deviations of it; a large class varies less for its size), and at least a job of the usual
// size; less and less once jobs have stopped coming.
func (c *Core) headroomTasks(st *classStats, running int) float64 {
	share := c.cfg.Autoscaling.HeadroomShare
	if st.lastSpec.Service {
		share = c.cfg.Autoscaling.ServiceHeadroomShare
	}
	n := share * float64(running)
	if st.meanInterval > 0 {
		jobs := float64(c.provisioningTime(&st.lastSpec)) / float64(st.meanInterval)
		n = min(n, c.cfg.Autoscaling.HeadroomDeviations*math.Sqrt(jobs*st.meanSquareTasks))
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
		if t := c.autoscaler.catalog[name]; c.isMachineTypeAllowed(s, name) &&
			clusterstate.Resources(t.Capacity()).Fits(s.Request) &&
			(quickest == 0 || c.nominalBootTime(name) < quickest) {
			quickest = c.nominalBootTime(name)
		}
	}
	return quickest + c.cfg.Autoscaling.ScaleOutLeadTime
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
