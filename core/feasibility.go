package core

import (
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/wire"
)

// missedHeartbeatsLimit is the number of heartbeat intervals after which a silent machine gets no new tasks.
const missedHeartbeatsLimit = 2

// isSchedulable reports whether new tasks may be assigned to a machine now, regardless of their job.
func (c *Core) isSchedulable(m *machine) bool {
	return m.status.reported && !m.lifecycle.gone && !m.lifecycle.scaleInRequested &&
		!m.health.isQuarantined(c.environment, c.jobs) &&
		m.lifecycle.interruptionDeadline == 0 && m.status.incarnation > 0 && m.identity.address != "" &&
		c.now >= m.health.avoidUntil &&
		c.now-m.status.lastHeartbeatAt < c.cfg.Agents.HeartbeatInterval*missedHeartbeatsLimit &&
		(m.commands.lastUnansweredAt == 0 || m.status.lastHeartbeatAt > m.commands.lastUnansweredAt) &&
		!c.agents.isZoneSilent(m.identity.zone, placementSilenceLimit)
}

// isFeasible reports whether a job could run on a machine if that were empty, considering machine type,
// zone, spot and total capacity.
func (c *Core) isFeasible(spec *wire.JobSpec, m *machine) bool {
	machineType := c.autoscaler.catalog[m.identity.machineType]
	return machineType != nil && isMachineTypeAllowed(spec, m.identity.machineType) &&
		(spec.Zone == "" || spec.Zone == m.identity.zone) &&
		(spec.Spot || !m.identity.spot) &&
		fits(machineType.Capacity(), spec.Request)
}

// isMachineTypeAllowed reports whether a job may run on a machine type. Without a list of types, all are
// allowed.
func isMachineTypeAllowed(spec *wire.JobSpec, name string) bool {
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, name)
}

// fits reports whether a request fits into the available resources.
func fits(available, request [3]int64) bool { return clusterstate.Resources(available).Fits(request) }

// infeasibility is the reason, as shown to the user, why no machine could ever run a job. It is empty for
// a feasible job.
type infeasibility string

const (
	feasible            infeasibility = ""
	catalogUnknown      infeasibility = "machine types not known yet"
	teamUnknown         infeasibility = "unknown team"
	exceedsMaxQuota     infeasibility = "needs more than the team's limit"
	exceedsMachineTypes infeasibility = "fits no allowed machine type"
)

// status returns the response status for a submission that is rejected for this reason.
func (i infeasibility) status() wire.Status {
	switch i {
	case feasible:
		return wire.StatusNoResponse
	case catalogUnknown:
		return wire.StatusUnavailable
	}
	return wire.StatusInvalid
}

// checkEverFeasible returns why a job can never run, or why that cannot be decided yet.
func (c *Core) checkEverFeasible(spec *wire.JobSpec) infeasibility {
	if c.autoscaler.catalog == nil {
		return catalogUnknown
	}
	owner := c.teams.of(spec)
	if owner == nil {
		return teamUnknown
	}
	if !owner.couldEverRun(spec) {
		return exceedsMaxQuota
	}
	for _, machineType := range c.autoscaler.catalog {
		if isMachineTypeAllowed(spec, machineType.Name) && fits(machineType.Capacity(), spec.Request) &&
			(spec.Zone == "" && len(machineType.Zones) > 0 || slices.Contains(machineType.Zones, spec.Zone)) {
			return feasible
		}
	}
	return exceedsMachineTypes
}

// canPlaceTaskNow reports whether some machine has capacity for a task of a job, according to the copy
// of the cluster state. knownUnplaceable holds the requests that are known not to fit; a new one is added.
func (c *Core) canPlaceTaskNow(spec *wire.JobSpec, knownUnplaceable *[]unplaceable) bool {
	if slices.ContainsFunc(*knownUnplaceable, func(u unplaceable) bool { return u.covers(spec) }) {
		return false
	}
	found := slices.ContainsFunc(c.aliveMachines, func(m *machine) bool {
		row := c.clusterCopy.state.Row(m.index)
		return row != nil && row.Schedulable && row.HasCapacity(spec.Request, spec.Spot) &&
			c.isSchedulable(m) && c.isFeasible(spec, m)
	})
	if !found && spec.MachineTypes == nil && spec.Zone == "" {
		*knownUnplaceable = append(*knownUnplaceable, unplaceable{request: spec.Request, allowsSpot: spec.Spot})
	}
	return found
}

// unplaceable records that the request of a job at a given queue position did not fit on any machine.
type unplaceable struct {
	request            clusterstate.Resources
	allowsSpot         bool
	avoidsHeldCapacity bool          // capacity held for higher-priority work was not used
	yieldUntil         time.Duration // until then, fitting capacity is yielded to other controllers; 0: there was none
	priorityClass      int
	enqueuedAtMS       int64
}

// covers reports whether a job's request is at least as large, with the same spot permission.
func (u *unplaceable) covers(spec *wire.JobSpec) bool {
	return u.allowsSpot == spec.Spot && clusterstate.Resources(spec.Request).Fits(u.request)
}

// isKnownUnplaceable reports whether a job's request is known not to fit, because a request that is no
// larger has not fit since capacity was last freed. If fitting capacity was yielded to other controllers,
// this holds only until that capacity may be used, and only for jobs that are not ahead, in the queue, of
// the one with that request. Without this check, all waiting jobs of a full cluster would scan all machines
// several times a second.
func (p *placementState) isKnownUnplaceable(
	spec *wire.JobSpec,
	priorityClass int,
	enqueuedAtMS int64,
	avoidsHeldCapacity bool,
) bool {
	return slices.ContainsFunc(p.unplaceable, func(u unplaceable) bool {
		switch {
		case !u.covers(spec) || u.avoidsHeldCapacity && !avoidsHeldCapacity:
			return false
		case u.yieldUntil == 0:
			return true
		}
		return p.now < u.yieldUntil &&
			(u.priorityClass < priorityClass || u.priorityClass == priorityClass && u.enqueuedAtMS <= enqueuedAtMS)
	})
}
