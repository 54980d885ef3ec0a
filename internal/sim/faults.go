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
func (s *Simulator) scheduleFaults() {
	tail := faultFreeTail
	if s.options.FlappingProcesses {
		tail = flapFreeTail
		s.Checker.faultFreeFrom = s.options.Duration - tail + maxFaultDuration
	}
	for at := 10 * time.Second; at < s.options.Duration-tail; at += s.randomDuration(3*time.Second, 15*time.Second) {
		s.schedule(at, s.injectFault)
	}
}

// injectFault injects one random fault. The number and order of its random draws determine the run of every seed.
func (s *Simulator) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := s.randomDuration(2*time.Second, 25*time.Second)
	if s.options.FlappingProcesses && s.chance(0.3) {
		s.flapProcess(n)
		return
	}
	const faultKinds = 13
	switch s.rng.IntN(faultKinds) {
	case 0:
		if !n.down {
			s.Trace("%v crash %s", s.now, n.name)
			s.crash(n)
		}
	case 1:
		s.Trace("%v crash all", s.now)
		s.crashAllNodes()
	case 2:
		s.Trace("%v store outage for %v", s.now, duration)
		s.store.startOutage(duration)
	case 3:
		s.Trace("%v store refuses %s for %v", s.now, n.name, duration)
		s.store.refuseNode(n.name, duration)
	case 4:
		s.Trace("%v cloud outage for %v", s.now, duration)
		s.cloud.startOutage(duration)
	case 5:
		s.Trace("%v isolate %s for %v", s.now, n.name, duration)
		s.isolate(n.name, duration, true, true, true)
	case 6:
		s.isolate(n.name, duration, true, false, false)
	case 7:
		s.isolate(n.name, duration, false, true, false)
	case 8:
		s.isolate(n.name, duration, false, false, true)
	case 9, 10:
		s.hangRandomMachine(duration)
	case 11:
		s.failRandomMachine()
	case 12: // controller i is in zone i
		i := s.rng.IntN(zoneCount)
		s.partitionZones(i, (i+1)%zoneCount, duration)
	}
}

// flapProcess crashes a controller up to five times within three seconds.
func (s *Simulator) flapProcess(n *node) {
	s.Trace("%v %s crashes five times", s.now, n.name)
	for range 5 {
		s.schedule(s.randomDuration(0, 3*time.Second), func() { s.crashIfUp(n) })
	}
}

// hangRandomMachine suspends a machine for a duration.
func (s *Simulator) hangRandomMachine(duration time.Duration) {
	if worker := s.cloud.randomMachine(); worker != nil {
		s.Trace("%v machine %s hangs for %v", s.now, worker.machine.Name, duration)
		worker.hangFor(duration)
	}
}

// failRandomMachine ends a machine without notice.
func (s *Simulator) failRandomMachine() {
	if worker := s.cloud.randomMachine(); worker != nil {
		s.Trace("%v machine %s fails", s.now, worker.machine.Name)
		worker.fail()
	}
}

// crashIfUp crashes a controller unless it is down already.
func (s *Simulator) crashIfUp(n *node) {
	if !n.down {
		s.crash(n)
	}
}

// crashAllNodes crashes every controller that is up.
func (s *Simulator) crashAllNodes() {
	for _, n := range s.nodes {
		s.crashIfUp(n)
	}
}

// injectFlap sometimes crashes a controller around one of its writes, and executes some writes a second time, late.
func (s *Simulator) injectFlap(n *node, txn wire.Txn) {
	if s.now > s.options.Duration-flapFreeTail {
		return
	}
	if s.chance(0.02) {
		s.crashSoon(n, "a write")
	}
	if s.chance(0.05) {
		s.schedule(s.randomDuration(10*time.Millisecond, 20*time.Second), func() { s.store.commit(n.name, txn) })
	}
}
