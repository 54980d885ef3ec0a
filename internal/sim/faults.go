package sim

import (
	"dewlift/wire"
	"time"
)

const flapFreeTail = 140 * time.Second // at the end of a world that flaps

// scheduleFaults plans failures, alone and together.
func (w *Simulator) scheduleFaults() {
	calm := 30 * time.Second
	if w.options.FlappingProcesses {
		calm = flapFreeTail
		w.Checker.faultFreeFrom = w.options.Duration - calm + 26*time.Second // no trouble lasts longer
	}
	for at := 10 * time.Second; at < w.options.Duration-calm; at += w.randomDuration(3*time.Second, 15*time.Second) {
		at := at
		w.schedule(at, func() { w.injectFault() })
	}
}

func (w *Simulator) injectFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	d := w.randomDuration(2*time.Second, 25*time.Second)
	if w.options.FlappingProcesses && w.chance(0.3) {
		w.Trace("%v %s ends five times", w.now, n.name)
		for range 5 { // within three seconds
			w.schedule(w.randomDuration(0, 3*time.Second), func() {
				if !n.down {
					w.crash(n)
				}
			})
		}
		return
	}
	switch w.rng.IntN(13) {
	case 0:
		if !n.down {
			w.Trace("%v crash %s", w.now, n.name)
			w.crash(n)
		}
	case 1:
		w.Trace("%v crash all", w.now)
		for _, n := range w.nodes {
			if !n.down {
				w.crash(n)
			}
		}
	case 2:
		w.Trace("%v state outage %v", w.now, d)
		w.store.startOutage(d)
	case 3:
		w.Trace("%v state refuses %s %v", w.now, n.name, d)
		w.store.refuseNode(n.name, d)
	case 4:
		w.Trace("%v cloud outage %v", w.now, d)
		w.cloud.down = true
		w.schedule(d, func() { w.cloud.down = false })
	case 5: // a controller is cut off from everything
		w.Trace("%v cut %s %v", w.now, n.name, d)
		w.isolate(n.name, d, true, true, true)
	case 6:
		w.isolate(n.name, d, true, false, false)
	case 7:
		w.isolate(n.name, d, false, true, false)
	case 8:
		w.isolate(n.name, d, false, false, true)
	case 9, 10:
		if m := w.cloud.randomMachine(); m != nil {
			w.Trace("%v machine %s hangs %v", w.now, m.machine.Name, d)
			m.hangFor(d)
		}
	case 12: // two zones can't reach each other; node i is in zone i
		i := w.rng.IntN(3)
		w.partitionZones(i, (i+1)%3, d)
	case 11:
		if m := w.cloud.randomMachine(); m != nil {
			w.Trace("%v machine %s dies", w.now, m.machine.Name)
			m.fail()
		}
	}
}

// injectFlap has a controller end around one of its writes, and the write executed once more, late.
func (w *Simulator) injectFlap(n *node, t wire.Txn) {
	if w.now > w.options.Duration-flapFreeTail {
		return
	}
	if w.chance(0.02) {
		w.crashSoon(n, "a write")
	}
	if w.chance(0.05) {
		w.schedule(w.randomDuration(10*time.Millisecond, 20*time.Second), func() { w.store.commit(n.name, t) })
	}
}
