package sim

import (
	"time"
)

// pipelinesStartAt returns when users begin to submit pipelines. In an upgrade they wait until every process runs the
// new version, as the previous one does not support dependencies.
func (s *Simulator) pipelinesStartAt() time.Duration {
	if !s.options.RollingUpgrade {
		return 0
	}
	return 40*time.Second + time.Duration(len(s.nodes))*15*time.Second
}

// pipeline is a DAG of jobs that a user submits one after the other.
type pipeline struct {
	sim  *Simulator
	size int
	ids  []string // jobs submitted so far
}

// submitPipeline submits a pipeline of a random shape: one root or several, stages that depend on some or all of the
// jobs before, and a last job that may be submitted late. Its jobs may be cancelled like any other.
func (s *Simulator) submitPipeline() {
	if s.options.RollingUpgrade && s.previousVersionMayRun() {
		s.schedule(time.Second, s.submitPipeline) // an upgraded process has not restarted yet
		return
	}
	size := 3 + s.rng.IntN(5)
	if s.chance(0.2) {
		size += 20
	}
	p := &pipeline{sim: s, size: size}
	p.submitNext()
}

// submitNext submits the next job, and continues once it is accepted.
func (p *pipeline) submitNext() {
	if len(p.ids) == p.size {
		return
	}
	sim := p.sim
	spec := sim.randomJob()
	spec.Service, spec.Spread = false, false
	for back := 1; back <= len(p.ids); back++ {
		if back == 1 && !sim.chance(0.2) || back > 1 && back < 6 && sim.chance(0.3) {
			spec.Dependencies = append(spec.Dependencies, p.ids[len(p.ids)-back])
		}
	}
	isLast := len(p.ids) == p.size-1
	if isLast {
		spec.Priority, spec.DeadlineMS = 1, 90_000
	}
	p.ids = append(p.ids, spec.ID)
	delay := time.Duration(0)
	if isLast && sim.chance(0.4) {
		delay = sim.randomDuration(time.Second, 60*time.Second)
	}
	sim.schedule(delay, func() { sim.runUserThen(spec, p.submitNext) })
}
