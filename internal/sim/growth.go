package sim

import "time"

const (
	// growthStart is when the first controller is restarted with the longer list of peers.
	growthStart = 40 * time.Second
	// growthStep is the time between two steps of the growth.
	growthStep = 8 * time.Second
)

// scheduleGrowth has a cluster grow while it serves: the first controllers are restarted one after the other with the
// longer list of peers, and then the others are started.
func (s *Simulator) scheduleGrowth() {
	initial := s.options.InitialMembers
	for i, n := range s.nodes {
		at := growthStart + time.Duration(i)*growthStep
		if i < initial {
			n.members = initial
			s.schedule(at, func() { s.restartWithAllPeers(n) })
			continue
		}
		n.down = true
		s.schedule(at, func() { s.boot(n) })
	}
}

// restartWithAllPeers restarts a controller with the list of all controllers in its settings.
func (s *Simulator) restartWithAllPeers(n *node) {
	s.Trace("%v %s gets the longer list of peers", s.now, n.name)
	n.members = len(s.nodes)
	if !n.down {
		s.crashFor(n, s.randomDuration(0, time.Second))
	}
}
