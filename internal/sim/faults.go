package sim

import (
	"time"

	"dewlift/wire"
)

const (
	faultFreeTail = 30 * time.Second  // at the end of a simulation
	flapFreeTail  = 140 * time.Second // at the end of a simulation with flapping processes
	// maxFaultDuration is an upper bound of how long the effects of any fault last.
	maxFaultDuration = 26 * time.Second
	zoneCount        = 3
)

// scheduleFaults schedules random faults; they may overlap.
func (w *Simulator) scheduleFaults() {
	tail := faultFreeTail
	if w.options.FlappingProcesses {
		tail = flapFreeTail
		w.Checker.faultFreeFrom = w.options.Duration - tail + maxFaultDuration
	}
	for at := 10 * time.Second; at < w.options.Duration-tail; at += w.randomDuration(3*time.Second, 15*time.Second) {
		w.schedule(at, w.injectFault)
	}
}

// injectFault injects one random fault. The number and order of its random draws determine the run of every seed.
func (w *Simulator) injectFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	duration := w.randomDuration(2*time.Second, 25*time.Second)
	if w.options.FlappingProcesses && w.chance(0.3) {
		w.flapProcess(n)
		return
	}
	const faultKinds = 13
	switch w.rng.IntN(faultKinds) {
	case 0:
		if !n.down {
			w.Trace("%v crash %s", w.now, n.name)
			w.crash(n)
		}
	case 1:
		w.Trace("%v crash all", w.now)
		w.crashAllNodes()
	case 2:
		w.Trace("%v store outage for %v", w.now, duration)
		w.store.startOutage(duration)
	case 3:
		w.Trace("%v store refuses %s for %v", w.now, n.name, duration)
		w.store.refuseNode(n.name, duration)
	case 4:
		w.Trace("%v cloud outage for %v", w.now, duration)
		w.cloud.startOutage(duration)
	case 5:
		w.Trace("%v isolate %s for %v", w.now, n.name, duration)
		w.isolate(n.name, duration, true, true, true)
	case 6:
		w.isolate(n.name, duration, true, false, false)
	case 7:
		w.isolate(n.name, duration, false, true, false)
	case 8:
		w.isolate(n.name, duration, false, false, true)
	case 9, 10:
		w.hangRandomMachine(duration)
	case 11:
		w.failRandomMachine()
	case 12: // controller i is in zone i
		i := w.rng.IntN(zoneCount)
		w.partitionZones(i, (i+1)%zoneCount, duration)
	}
}

// flapProcess crashes a controller up to five times within three seconds.
func (w *Simulator) flapProcess(n *node) {
	w.Trace("%v %s crashes five times", w.now, n.name)
	for range 5 {
		w.schedule(w.randomDuration(0, 3*time.Second), func() { w.crashIfUp(n) })
	}
}

// hangRandomMachine suspends a machine for a duration.
func (w *Simulator) hangRandomMachine(duration time.Duration) {
	if worker := w.cloud.randomMachine(); worker != nil {
		w.Trace("%v machine %s hangs for %v", w.now, worker.machine.Name, duration)
		worker.hangFor(duration)
	}
}

// failRandomMachine ends a machine without notice.
func (w *Simulator) failRandomMachine() {
	if worker := w.cloud.randomMachine(); worker != nil {
		w.Trace("%v machine %s fails", w.now, worker.machine.Name)
		worker.fail()
	}
}

// crashIfUp crashes a controller unless it is down already.
func (w *Simulator) crashIfUp(n *node) {
	if !n.down {
		w.crash(n)
	}
}

// crashAllNodes crashes every controller that is up.
func (w *Simulator) crashAllNodes() {
	for _, n := range w.nodes {
		w.crashIfUp(n)
	}
}

// injectFlap sometimes crashes a controller around one of its writes, and executes some writes a second time, late.
func (w *Simulator) injectFlap(n *node, txn wire.Txn) {
	if w.now > w.options.Duration-flapFreeTail {
		return
	}
	if w.chance(0.02) {
		w.crashSoon(n, "a write")
	}
	if w.chance(0.05) {
		w.schedule(w.randomDuration(10*time.Millisecond, 20*time.Second), func() { w.store.commit(n.name, txn) })
	}
}
