package sim

import (
	"time"
)

// pipelinesStartAt is when users begin to submit pipelines: nothing new is asked before every process
// is new.
func (w *Simulator) pipelinesStartAt() time.Duration {
	if !w.options.RollingUpgrade {
		return 0
	}
	return 40*time.Second + time.Duration(len(w.nodes))*15*time.Second
}

// submitPipeline submits a pipeline of some shape: one or several roots, stages that await some or all of
// the jobs before, a last job that may come late. Some of its jobs are cancelled, like any.
func (w *Simulator) submitPipeline() {
	if w.options.RollingUpgrade && w.previousVersionMayRun() {
		w.schedule(time.Second, w.submitPipeline) // a replaced process is not back yet
		return
	}
	n := 3 + w.rng.IntN(5)
	if w.chance(0.2) {
		n += 20
	}
	var ids []string
	var step func()
	step = func() {
		if len(ids) == n {
			return
		}
		s := w.randomJob()
		s.Service, s.Spread = false, false
		for back := 1; back <= len(ids); back++ {
			if back == 1 && !w.chance(0.2) || back > 1 && back < 6 && w.chance(0.3) {
				s.Dependencies = append(s.Dependencies, ids[len(ids)-back])
			}
		}
		if len(ids) == n-1 {
			s.Priority, s.DeadlineMS = 1, 90_000
		}
		ids = append(ids, s.ID)
		wait := time.Duration(0)
		if len(ids) == n && w.chance(0.4) {
			wait = w.randomDuration(time.Second, 60*time.Second) // the last is submitted late
		}
		w.schedule(wait, func() { w.runUserThen(s, step) })
	}
	step()
}
