package core

import (
	"math"

	"dewlift/clusterstate"
	"dewlift/wire"
)

// team is a team with its quota and the usage of its jobs.
type team struct {
	Team
	revision uint64 // revision of the team's key in the store
	usedCPU  int64  // thousandths of a core
	usedGPU  int64  // thousandths of a GPU
	locked   bool   // a transaction that writes the team's key is in flight
}

// hasMaxQuota reports whether the team has a maximum quota for CPU or GPU.
func (t *team) hasMaxQuota() bool { return t.MaxCPU > 0 || t.MaxGPU > 0 }

// fitsMaxQuota reports whether the team's maximum quota allows one more task. A nil team has no quota.
func (t *team) fitsMaxQuota(request clusterstate.Resources) bool {
	return t == nil ||
		(t.MaxCPU == 0 || t.usedCPU+request[0] <= t.MaxCPU) && (t.MaxGPU == 0 || t.usedGPU+request[1] <= t.MaxGPU)
}

// couldEverRun reports whether the team's maximum quota allows a job if nothing else of the team runs.
// The replicas of a service run concurrently; other tasks may run one after the other.
func (t *team) couldEverRun(spec *wire.JobSpec) bool {
	concurrentTasks := int64(1)
	if spec.Service {
		concurrentTasks = int64(spec.Tasks)
	}
	return (t.MaxCPU <= 0 || spec.Request[0]*concurrentTasks <= t.MaxCPU) &&
		(t.MaxGPU <= 0 || spec.Request[1]*concurrentTasks <= t.MaxGPU)
}

// tasksWithinMaxQuota returns how many more tasks the team's maximum quota allows. uncommitted is the
// CPU and GPU of the tasks that the transaction under construction starts. The result is negative if the
// quota is exceeded.
func (t *team) tasksWithinMaxQuota(request [3]int64, uncommitted [2]int64) int {
	limit := math.MaxInt
	if t.MaxCPU > 0 && request[0] > 0 {
		limit = min(limit, int((t.MaxCPU-t.usedCPU-uncommitted[0])/request[0]))
	}
	if t.MaxGPU > 0 && request[1] > 0 {
		limit = min(limit, int((t.MaxGPU-t.usedGPU-uncommitted[1])/request[1]))
	}
	return limit
}

// teamSet holds the teams of the settings.
type teamSet struct {
	list   []*team
	byName map[string]*team
}

// newTeamSet returns the teams of a list of quotas, without usage.
func newTeamSet(quotas []Team) teamSet {
	set := teamSet{byName: map[string]*team{}}
	for _, quota := range quotas {
		added := &team{Team: quota}
		set.list = append(set.list, added)
		set.byName[quota.Name] = added
	}
	return set
}

// of returns the team of a job, or nil if the specification or the team is unknown.
func (s *teamSet) of(spec *wire.JobSpec) *team {
	if spec == nil {
		return nil
	}
	return s.byName[spec.Team]
}

// ofJob returns the team of a job and the resource request of one of its tasks, if they are known.
func (s *teamSet) ofJob(j *job) (*team, clusterstate.Resources) {
	if j.record == nil || j.record.Spec == nil {
		return nil, clusterstate.Resources{}
	}
	return s.of(j.record.Spec), j.record.Spec.Request
}
