package core

import (
	"dewlift/clusterstate"
	"dewlift/wire"
)

type team struct {
	Team
	revision uint64
	usedCPU  int64
	usedGPU  int64
	locked   bool
}

func (t *team) hasMaxQuota() bool { return t.MaxCPU > 0 || t.MaxGPU > 0 }

// fitsMaxQuota reports whether a task may be added within the team's limits; a job of no team has none.
func (t *team) fitsMaxQuota(claim clusterstate.Resources) bool {
	return t == nil ||
		(t.MaxCPU == 0 || t.usedCPU+claim[0] <= t.MaxCPU) && (t.MaxGPU == 0 || t.usedGPU+claim[1] <= t.MaxGPU)
}

func (c *Core) teamOf(s *wire.JobSpec) *team {
	if s == nil {
		return nil
	}
	if i, ok := c.teamIndex[s.Team]; ok {
		return c.teams[i]
	}
	return nil
}

func (c *Core) teamAndRequestOf(j *job) (*team, clusterstate.Resources) {
	if j.record == nil || j.record.Spec == nil {
		return nil, clusterstate.Resources{}
	}
	if i, ok := c.teamIndex[j.record.Spec.Team]; ok {
		return c.teams[i], j.record.Spec.Request
	}
	return nil, j.record.Spec.Request
}
