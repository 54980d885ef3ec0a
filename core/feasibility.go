package core

import (
	"dewlift/clusterstate"
	"dewlift/wire"
	"slices"
	"time"
)

// isSchedulable reports whether new tasks may go to a machine now.
func (c *Core) isSchedulable(m *machine) bool {
	return m.status.reported && !m.lifecycle.gone && !m.lifecycle.returnRequested && !c.isQuarantined(m) && m.lifecycle.interruptionDeadline == 0 && m.status.incarnation > 0 && m.identity.address != "" &&
		c.now >= m.health.avoidUntil &&
		c.now-m.status.lastHeartbeatAt < c.cfg.Agents.HeartbeatInterval*2 &&
		(m.commands.lastUnansweredAt == 0 || m.status.lastHeartbeatAt > m.commands.lastUnansweredAt) &&
		!c.isZoneSilent(m.identity.zone, placementSilenceLimit)
}

func (c *Core) isFeasible(s *wire.JobSpec, m *machine) bool {
	mt := c.autoscaler.catalog[m.identity.machineType]
	return mt != nil && c.isMachineTypeAllowed(s, m.identity.machineType) &&
		(s.Zone == "" || s.Zone == m.identity.zone) &&
		(s.Spot || !m.identity.spot) &&
		fits(mt.Capacity(), s.Request)
}

func (c *Core) isMachineTypeAllowed(s *wire.JobSpec, typ string) bool {
	if s.MachineTypes == nil {
		return true
	}
	for _, t := range s.MachineTypes {
		if t == typ {
			return true
		}
	}
	return false
}

func fits(room, claim [3]int64) bool {
	return room[0] >= claim[0] && room[1] >= claim[1] && room[2] >= claim[2]
}

// checkEverFeasible tells why a job can never run; 503 if that can't be decided yet, 0 if it can run.
func (c *Core) checkEverFeasible(s *wire.JobSpec) (wire.Status, string) {
	if c.autoscaler.catalog == nil {
		return wire.StatusUnavailable, "machine types not known yet"
	}
	ti, ok := c.teamIndex[s.Team]
	if !ok {
		return wire.StatusInvalid, "unknown team"
	}
	n := int64(1)
	if s.Service {
		n = int64(s.Tasks)
	}
	t := c.teams[ti]
	if t.MaxCPU > 0 && s.Request[0]*n > t.MaxCPU || t.MaxGPU > 0 && s.Request[1]*n > t.MaxGPU {
		return wire.StatusInvalid, "needs more than the team's limit"
	}
	for _, mt := range c.autoscaler.catalog {
		if c.isMachineTypeAllowed(s, mt.Name) && fits(mt.Capacity(), s.Request) {
			for _, z := range mt.Zones {
				if s.Zone == "" || s.Zone == z {
					return wire.StatusNoAnswer, ""
				}
			}
		}
	}
	return wire.StatusInvalid, "fits no allowed machine type"
}

// hasFeasibleMachine reports whether a task could be placed somewhere, by the array.
func (c *Core) hasFeasibleMachine(s *wire.JobSpec, know *[]unplaceable) bool {
	if slices.ContainsFunc(*know, func(x unplaceable) bool {
		return x.allowsSpot == s.Spot && clusterstate.Resources(s.Request).Fits(x.request)
	}) {
		return false
	}
	any := slices.ContainsFunc(c.aliveMachines, func(m *machine) bool {
		r := c.clusterCopy.state.Row(m.index)
		return r != nil && r.Schedulable && r.HasRoom(s.Request, s.Spot) && c.isSchedulable(m) && c.isFeasible(s, m)
	})
	if !any && s.MachineTypes == nil && s.Zone == "" {
		*know = append(*know, unplaceable{request: s.Request, allowsSpot: s.Spot})
	}
	return any
}

// unplaceable is a claim for which no machine had room, as a job that comes at this place in the order of work found.
type unplaceable struct {
	request       clusterstate.Resources
	allowsSpot    bool
	heldBack      bool          // some may have had, but it is held for more important work
	yieldUntil    time.Duration // some had, which is left to others until then; 0: none had
	priorityClass int
	enqueuedAtMS  int64
}

// isKnownUnplaceable reports whether a claim can find no room, as a smaller one of a job before it
// found none since some became free. Without it, all waiting jobs of a full fleet look at all its
// machines, several times a second.
func (c *Core) isKnownUnplaceable(s *wire.JobSpec, prio int, at int64, held bool) bool {
	return slices.ContainsFunc(c.placement.unplaceable, func(x unplaceable) bool {
		switch {
		case x.allowsSpot != s.Spot || !clusterstate.Resources(s.Request).Fits(x.request) || x.heldBack && !held:
			return false
		case x.yieldUntil == 0:
			return true
		}
		return c.now < x.yieldUntil && (x.priorityClass < prio || x.priorityClass == prio && x.enqueuedAtMS <= at)
	})
}
