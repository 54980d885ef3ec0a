package core

import (
	"math"
	"testing"

	"dewlift/wire"
)

// A team that exceeds its quota, for example because the quota was lowered, must get no more tasks. A request
// that does not use a limited resource must not be limited by it.
func TestTasksWithinMaxQuota(t *testing.T) {
	inUse := team{Team: Team{MaxCPU: 8000}, usedCPU: 3000}
	for name, test := range map[string]struct {
		team        team
		request     [3]int64
		uncommitted [2]int64
		want        int
	}{
		"no quota":          {team{}, [3]int64{1000, 500, 1}, [2]int64{}, math.MaxInt},
		"cpu":               {inUse, [3]int64{2000, 0, 1}, [2]int64{}, 2},
		"started meanwhile": {inUse, [3]int64{2000, 0, 1}, [2]int64{4000, 0}, 0},
		"smaller of both":   {team{Team: Team{MaxCPU: 8000, MaxGPU: 1000}}, [3]int64{1000, 500, 1}, [2]int64{}, 2},
		"exceeded":          {team{Team: Team{MaxCPU: 1000}, usedCPU: 5000}, [3]int64{1000, 0, 1}, [2]int64{}, -4},
		"gpu, without a use": {
			team{Team: Team{MaxGPU: 1000}, usedGPU: 5000}, [3]int64{1000, 0, 1}, [2]int64{}, math.MaxInt,
		},
	} {
		if got := test.team.tasksWithinMaxQuota(test.request, test.uncommitted); got != test.want {
			t.Errorf("%s: %d tasks, want %d", name, got, test.want)
		}
	}
}

// A job that exceeds its team's quota on its own would wait forever, so it must be rejected. The replicas of a
// service run concurrently; other tasks may run one after the other.
func TestCouldEverRunWithinMaxQuota(t *testing.T) {
	limited := &team{Team: Team{MaxCPU: 4000, MaxGPU: 1000}, usedCPU: 4000}
	for name, test := range map[string]struct {
		spec wire.JobSpec
		want bool
	}{
		"quota in use":        {wire.JobSpec{Tasks: 1, Request: [3]int64{4000, 1000, 1}}, true},
		"tasks one by one":    {wire.JobSpec{Tasks: 9, Request: [3]int64{4000, 0, 1}}, true},
		"task too large":      {wire.JobSpec{Tasks: 1, Request: [3]int64{4001, 0, 1}}, false},
		"gpu too large":       {wire.JobSpec{Tasks: 1, Request: [3]int64{1, 1001, 1}}, false},
		"replicas fit":        {wire.JobSpec{Service: true, Tasks: 2, Request: [3]int64{2000, 0, 1}}, true},
		"replicas do not fit": {wire.JobSpec{Service: true, Tasks: 3, Request: [3]int64{2000, 0, 1}}, false},
	} {
		if got := limited.couldEverRun(&test.spec); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	if !(&team{}).couldEverRun(&wire.JobSpec{Service: true, Tasks: 99, Request: [3]int64{1 << 40, 1 << 40, 1}}) {
		t.Error("a team without quota rejects a job")
	}
}
