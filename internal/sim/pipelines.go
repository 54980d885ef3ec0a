package sim

import (
	"time"
)

// pipelinesStartAt returns when users begin to submit pipelines. In an upgrade they wait until every process runs the
// new version, as the previous one does not support dependencies.
func (w *Simulator) pipelinesStartAt() time.Duration {
	if !w.options.RollingUpgrade {
		return 0
	}
	return 40*time.Second + time.Duration(len(w.nodes))*15*time.Second
}

// pipeline is a DAG of jobs that a user submits one after the other.
type pipeline struct {
	sim  *Simulator
	size int
	ids  []string // jobs submitted so far
}

// submitPipeline submits a pipeline of a random shape: one root or several, stages that depend on some or all of the
// jobs before, and a last job that may be submitted late. Its jobs may be cancelled like any other.
func (w *Simulator) submitPipeline() {
	if w.options.RollingUpgrade && w.previousVersionMayRun() {
		w.schedule(time.Second, w.submitPipeline) // an upgraded process has not restarted yet
		return
	}
	size := 3 + w.rng.IntN(5)
	if w.chance(0.2) {
		size += 20
	}
	p := &pipeline{sim: w, size: size}
	p.submitNext()
}

// submitNext submits the next job, and continues once it is accepted.
func (p *pipeline) submitNext() {
	if len(p.ids) == p.size {
		return
	}
	w := p.sim
	spec := w.randomJob()
	spec.Service, spec.Spread = false, false
	for back := 1; back <= len(p.ids); back++ {
		if back == 1 && !w.chance(0.2) || back > 1 && back < 6 && w.chance(0.3) {
			spec.Dependencies = append(spec.Dependencies, p.ids[len(p.ids)-back])
		}
	}
	isLast := len(p.ids) == p.size-1
	if isLast {
		spec.Priority, spec.DeadlineMS = 1, 90_000
	}
	p.ids = append(p.ids, spec.ID)
	delay := time.Duration(0)
	if isLast && w.chance(0.4) {
		delay = w.randomDuration(time.Second, 60*time.Second)
	}
	w.schedule(delay, func() { w.runUserThen(spec, p.submitNext) })
}
