package sim

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// Overlapping faults: most violations of rules on real machines occurred when a second fault began while the first
// lasted. These simulations inject faults in pairs only.

const (
	// overlapFreeTail is how long before the end the last pair of faults may begin.
	overlapFreeTail = 230 * time.Second
	// overlapSettleTime is an upper bound of how long the effects of a pair last.
	overlapSettleTime = 125 * time.Second
)

// scheduleOverlappingFaults schedules pairs of faults: the second begins within seconds of the first.
func (s *Simulator) scheduleOverlappingFaults() {
	s.Checker.overlappingFaults = true
	end := s.options.Duration - overlapFreeTail
	s.Checker.faultFreeFrom = end + overlapSettleTime
	byName := s.faultsByName()
	names := s.options.FaultNames
	if names == nil {
		names = slices.Sorted(maps.Keys(byName))
	}
	var faults []func()
	for _, name := range names {
		faults = append(faults, byName[name])
	}
	for at := 20 * time.Second; at < end; at += s.randomDuration(15*time.Second, 45*time.Second) {
		s.schedule(at, func() {
			first := s.rng.IntN(len(faults))
			second := (first + 1 + s.rng.IntN(len(faults)-1)) % len(faults)
			faults[first]()
			s.schedule(s.randomDuration(0, 4*time.Second), faults[second])
		})
	}
}

// faultsByName returns all faults. Faults are drawn in the order of their names, so the names determine the run of
// every seed.
func (s *Simulator) faultsByName() map[string]func() {
	return map[string]func(){
		"refused, then all":    s.refuseThenOutage,
		"cut with users":       s.isolateFromStoreAndPeers,
		"late writes":          s.delayCommits,
		"late reports":         s.replayHeartbeats,
		"deaf":                 s.blockInbound,
		"all end":              s.crashAll,
		"leader ends":          s.crashLeader,
		"hang":                 s.hangMachines,
		"reads hang":           s.stallWatch,
		"still":                s.pauseController,
		"slow":                 s.slowStore,
		"held orders":          s.delayCommands,
		"answers lost":         s.loseCommitResponses,
		"reports for the next": s.replayHeartbeatsToNextLeader,
		"mute":                 s.blockOutbound,
		"cancelled at once":    s.cancelBurst,
		"cancelled at the end": s.cancelAsJobsEnd,
		"odd requests":         s.sendInvalidRequests,
		"close looks":          s.pollEagerlyForAWhile,
		"up at once":           s.replaceMachinesFast,
		"zone cut off":         s.isolateZone,
		"all away":             s.crashAllPastLease,
		"ten leaders":          s.crashTenLeaders,
		"zone loses machines":  s.failZoneMachines,
		"handed over":          s.failoverThenCancel,
	}
}

// leaderNode returns the controller that the leader's key in the store names; the first controller if there is none.
func (s *Simulator) leaderNode() *node {
	var leader struct {
		Node string `json:"n"`
	}
	if item := s.store.keys[core.Root+"leader"]; item != nil && json.Unmarshal(item.Value, &leader) == nil {
		for _, n := range s.nodes {
			if n.name == leader.Node {
				return n
			}
		}
	}
	return s.nodes[0]
}

// randomNode draws a controller; every other time it is the leader.
func (s *Simulator) randomNode() *node {
	if s.chance(0.5) {
		return s.leaderNode()
	}
	return s.anyNode()
}

// refuseThenOutage has the store refuse one or two controllers, and then be down for all controllers, often for longer
// than the cancel timeout.
func (s *Simulator) refuseThenOutage() {
	for range 1 + s.rng.IntN(2) {
		n := s.randomNode()
		s.Trace("%v store refuses %s", s.now, n.name)
		s.store.refuseNode(n.name, s.randomDuration(5*time.Second, 25*time.Second))
	}
	s.schedule(s.randomDuration(500*time.Millisecond, 6*time.Second), func() {
		duration := s.randomDuration(5*time.Second, s.options.CancelTimeout+30*time.Second)
		s.Trace("%v store outage for %v", s.now, duration)
		s.store.startOutage(duration)
	})
}

// isolateFromStoreAndPeers partitions a controller from the store and its peers; workers and users still reach it.
func (s *Simulator) isolateFromStoreAndPeers() {
	n, duration := s.randomNode(), s.randomDuration(5*time.Second, s.options.CancelTimeout+30*time.Second)
	s.Trace("%v %s isolated from store and peers for %v", s.now, n.name, duration)
	s.isolate(n.name, duration, true, true, false)
}

// delayCommits executes a share of all transactions late, after newer ones; their senders get no response.
func (s *Simulator) delayCommits() {
	s.Trace("%v delayed commits", s.now)
	until, share := s.now+s.randomDuration(5*time.Second, 25*time.Second), 0.1+0.4*s.rng.Float64()
	s.commitDelay = func(wire.Txn) time.Duration {
		if s.now > until || !s.chance(share) {
			return 0
		}
		return s.randomDuration(2*time.Second, 12*time.Second)
	}
}

// replayHeartbeats delivers copies of a share of the heartbeats again, up to two leases later, to any controller.
func (s *Simulator) replayHeartbeats() {
	s.Trace("%v replayed heartbeats", s.now)
	until, share := s.now+s.randomDuration(10*time.Second, 30*time.Second), 0.1+0.6*s.rng.Float64()
	s.onHeartbeat = func(heartbeat *wire.Heartbeat) {
		if s.now > until || !s.chance(share) {
			return
		}
		replayed := *heartbeat
		s.schedule(s.randomDuration(2*time.Second, 2*s.options.WorkerLease), func() {
			s.deliverHeartbeatCopy(s.anyNode(), &replayed)
		})
	}
}

// deliverHeartbeatCopy delivers a copy of a heartbeat to a controller; its response is dropped.
func (s *Simulator) deliverHeartbeatCopy(n *node, heartbeat *wire.Heartbeat) {
	s.lastRequestID++
	s.deliver(n, core.AgentHeartbeat{RequestID: s.lastRequestID, Heartbeat: heartbeat})
}

// blockInbound loses responses and commands to some machines, while their heartbeats arrive.
func (s *Simulator) blockInbound() {
	duration := s.randomDuration(5*time.Second, 2*s.options.WorkerLease)
	s.Trace("%v machines receive nothing for %v", s.now, duration)
	for _, worker := range s.cloud.machines {
		if !worker.gone && s.chance(0.4) {
			s.inboundBlockedUntil[worker.machine.Name] = s.now + duration
		}
	}
}

// crashAll crashes all controllers; about half of them restart within a second, the others later.
func (s *Simulator) crashAll() {
	s.Trace("%v crash all", s.now)
	s.crashAllNodes()
}

// crashLeader crashes the leader, up to three times within three seconds.
func (s *Simulator) crashLeader() {
	n := s.leaderNode()
	s.Trace("%v crash leader %s", s.now, n.name)
	for range 1 + s.rng.IntN(3) {
		s.schedule(s.randomDuration(0, 3*time.Second), func() { s.crashIfUp(n) })
	}
}

// hangMachines suspends machines. When they resume, they process what arrived meanwhile.
func (s *Simulator) hangMachines() {
	s.Trace("%v machines hang", s.now)
	for range 3 {
		if worker := s.cloud.randomMachine(); worker != nil {
			worker.hangFor(s.randomDuration(time.Second, 25*time.Second))
		}
	}
}

// stallWatch leaves a controller's watches without a response, while it keeps its lease and writes.
func (s *Simulator) stallWatch() {
	n := s.randomNode()
	s.Trace("%v watches of %s stall", s.now, n.name)
	s.store.stalledWatches[n.name] = true
	s.schedule(s.randomDuration(5*time.Second, 60*time.Second), func() { delete(s.store.stalledWatches, n.name) })
}

// pauseController suspends a controller's process. When it resumes, it processes what arrived meanwhile.
func (s *Simulator) pauseController() {
	n, duration := s.randomNode(), s.randomDuration(time.Second, 70*time.Second)
	s.Trace("%v %s is paused for %v", s.now, n.name, duration)
	n.pausedUntil = s.now + duration
}

// slowStore delays all requests to the store except long polls, by up to three seconds.
func (s *Simulator) slowStore() {
	s.Trace("%v slow store", s.now)
	s.store.maxDelay = s.randomDuration(500*time.Millisecond, 3*time.Second)
	s.schedule(s.randomDuration(10*time.Second, 40*time.Second), func() { s.store.maxDelay = 0 })
}

// delayCommands delays half of all agent commands by 2 to 70 seconds.
func (s *Simulator) delayCommands() {
	s.Trace("%v delayed commands", s.now)
	until := s.now + s.randomDuration(5*time.Second, 20*time.Second)
	s.commandDelay = func(core.SendCommands) time.Duration {
		if s.now > until || s.chance(0.5) {
			return 0
		}
		return s.randomDuration(2*time.Second, 70*time.Second)
	}
}

// loseCommitResponses delays or loses the responses to a share of all transactions, which are executed without delay.
func (s *Simulator) loseCommitResponses() {
	s.Trace("%v lost commit responses", s.now)
	until, share := s.now+s.randomDuration(5*time.Second, 25*time.Second), 0.1+0.4*s.rng.Float64()
	s.commitResponseDelay = func(wire.Txn) time.Duration {
		switch {
		case s.now > until || !s.chance(share):
			return 0
		case s.chance(0.5):
			return -1
		}
		return s.randomDuration(50*time.Millisecond, 1900*time.Millisecond)
	}
}

// replayHeartbeatsToNextLeader collects copies of heartbeats until the leader changes, or is elected again, and then
// delivers them to all controllers.
func (s *Simulator) replayHeartbeatsToNextLeader() {
	s.Trace("%v heartbeats are kept for the next leader", s.now)
	until := s.now + s.randomDuration(5*time.Second, 60*time.Second)
	var kept []wire.Heartbeat
	s.onHeartbeat = func(heartbeat *wire.Heartbeat) {
		if s.now <= until && len(kept) < 200 && s.chance(0.5) {
			kept = append(kept, *heartbeat)
		}
	}
	before := s.leaderRevision()
	var checkLeader func()
	checkLeader = func() {
		revision := s.leaderRevision()
		if revision == 0 || revision == before {
			if s.now < until {
				s.schedule(10*time.Millisecond, checkLeader)
			}
			return
		}
		until = s.now
		for _, heartbeat := range kept {
			for _, n := range s.nodes {
				s.schedule(s.randomDuration(0, time.Second), func() { s.deliverHeartbeatCopy(n, &heartbeat) })
			}
		}
	}
	checkLeader()
}

// leaderRevision returns the revision of the leader's key; 0 if there is no leader.
func (s *Simulator) leaderRevision() uint64 {
	if item := s.store.keys[core.Root+"leader"]; item != nil {
		return item.Revision
	}
	return 0
}

// blockOutbound loses the heartbeats of some machines, while commands reach them.
func (s *Simulator) blockOutbound() {
	duration := s.randomDuration(5*time.Second, 3*s.options.WorkerLease)
	s.Trace("%v heartbeats of machines are lost for %v", s.now, duration)
	zone := ""
	if s.chance(0.3) { // all machines of a zone
		zone = zones[s.rng.IntN(zoneCount)]
	}
	for _, worker := range s.cloud.machines {
		if !worker.gone && (worker.machine.Zone == zone || zone == "" && s.chance(0.4)) {
			s.outboundBlockedUntil[worker.machine.Name] = s.now + duration
		}
	}
}

// maxCancelBurst and maxHungInBurst limit the jobs and machines of a cancelBurst.
const (
	maxCancelBurst = 12
	maxHungInBurst = 8
)

// cancelBurst cancels running jobs within 200 ms, while some of their machines hang.
func (s *Simulator) cancelBurst() {
	running := s.acceptedJobsWhere(func(job *observedJob) bool { return job.runningTasks > 0 && !job.cancelRequested })
	hangTime := time.Duration(0)
	if s.chance(0.6) {
		hangTime = s.randomDuration(5*time.Second, 2*s.options.CancelTimeout)
	}
	burst := running[:min(len(running), maxCancelBurst)]
	s.Trace("%v %d jobs are cancelled at once, their machines hang for %v", s.now, len(burst), hangTime)
	hung := 0
	for _, id := range burst {
		for task := range s.Checker.jobs[id].spec.Tasks {
			for machine := range s.Checker.runningOn[wire.TaskName(id, task)] {
				if hangTime > 0 && hung < maxHungInBurst {
					hung++
					s.cloud.find(machine).hangFor(hangTime)
				}
			}
		}
		s.schedule(s.randomDuration(0, 200*time.Millisecond), func() { s.cancelUntilAnswered(s.randomUser(), id) })
	}
}

// cancelAsJobsEnd cancels a share of the jobs at the moment at which their last tasks end.
func (s *Simulator) cancelAsJobsEnd() {
	s.Trace("%v jobs are cancelled as they end", s.now)
	until, share := s.now+s.randomDuration(10*time.Second, 40*time.Second), 0.3+0.7*s.rng.Float64()
	s.onLastTaskEnding = func(id string) {
		if s.now <= until && s.chance(share) {
			s.schedule(s.randomDuration(0, 20*time.Millisecond), func() { s.cancelUntilAnswered(s.randomUser(), id) })
		}
	}
}

// pollEagerlyForAWhile has users poll eagerly for a while.
func (s *Simulator) pollEagerlyForAWhile() {
	s.Trace("%v eager polls", s.now)
	s.eagerPollsUntil = s.now + s.randomDuration(10*time.Second, 40*time.Second)
}

// replaceMachinesFast fails machines. The machines that replace them boot within two seconds.
func (s *Simulator) replaceMachinesFast() {
	s.Trace("%v machines fail, new ones boot at once", s.now)
	s.fastBootsUntil = s.now + s.randomDuration(10*time.Second, 40*time.Second)
	for range 4 {
		if worker := s.cloud.randomMachine(); worker != nil {
			worker.fail()
		}
	}
}

// isolateZone partitions a zone, with its controller and its machines, from everything else for longer than a lease.
func (s *Simulator) isolateZone() {
	i := s.rng.IntN(zoneCount)
	duration := s.randomDuration(s.options.WorkerLease+5*time.Second, s.options.WorkerLease+50*time.Second)
	s.Trace("%v zone %s with %s isolated for %v", s.now, zones[i], s.nodes[i].name, duration)
	inside := s.nodes[i].name
	pairs := [][2]string{{inside, storeAddress}, {inside, cloudAddress}}
	for _, n := range s.nodes {
		if n.name != inside {
			pairs = append(pairs, [2]string{inside, n.name})
		}
	}
	for _, worker := range s.cloud.machines {
		for _, n := range s.nodes {
			if (worker.machine.Zone == zones[i]) != (n.name == inside) {
				pairs = append(pairs, [2]string{n.name, worker.machine.Name})
			}
		}
	}
	s.partitionFor(pairs, duration)
}

// crashAllPastLease stops all controllers for longer than a lease; one of them restarts first.
func (s *Simulator) crashAllPastLease() {
	downtime := s.randomDuration(s.options.WorkerLease, s.options.WorkerLease+20*time.Second)
	first := s.rng.IntN(len(s.nodes))
	s.Trace("%v all are down for %v, %s restarts first", s.now, downtime, s.nodes[first].name)
	// No controller is up to scale in a machine that hangs. No hang therefore lasts longer than a lease from now, and
	// after that time the machine's own lease has expired.
	for _, worker := range s.cloud.machines {
		worker.hungUntil = min(worker.hungUntil, s.now+s.options.WorkerLease)
	}
	for i, n := range s.nodes {
		restart := downtime + s.randomDuration(time.Second, 15*time.Second)
		if i == first {
			restart = downtime
		}
		s.crashFor(n, restart)
	}
}

// crashTenLeaders crashes the leader ten times in two minutes, in half of the cases with an outage of the store
// meanwhile.
func (s *Simulator) crashTenLeaders() {
	s.Trace("%v ten leaders crash", s.now)
	if s.chance(0.5) {
		s.schedule(s.randomDuration(0, 60*time.Second), func() {
			s.store.startOutage(s.randomDuration(5*time.Second, 40*time.Second))
		})
	}
	for i := range 10 {
		s.schedule(time.Duration(i)*11500*time.Millisecond, func() { s.crashIfUp(s.leaderNode()) })
	}
}

// failZoneMachines fails most machines of a zone.
func (s *Simulator) failZoneMachines() {
	zone := zones[s.rng.IntN(zoneCount)]
	s.Trace("%v zone %s loses machines", s.now, zone)
	for _, worker := range s.cloud.machines {
		if worker.up && !worker.gone && worker.machine.Zone == zone && s.chance(0.8) {
			worker.fail()
		}
	}
}

// failoverThenCancel has a controller lose its lease and its shards to others while its process continues, and cancels
// jobs meanwhile.
func (s *Simulator) failoverThenCancel() {
	n := s.randomNode()
	s.Trace("%v failover from %s", s.now, n.name)
	s.store.refuseNode(n.name, s.randomDuration(4*time.Second, 9*time.Second))
	for range 2 {
		s.schedule(s.randomDuration(2*time.Second, 9*time.Second), s.cancelBurst)
	}
}

// OverlappingFaultOptions returns the options of a seed's simulation with overlapping faults.
func OverlappingFaultOptions(seed uint64) Options {
	options := Options{
		Seed:              seed,
		Duration:          480 * time.Second,
		Jobs:              60,
		MaxTasksPerJob:    6,
		OverlappingFaults: true,
		Controllers:       []int{3, 5}[seed%2],
		BatchValues:       seed%3 == 0,
		Archive:           seed%4 == 0,
		Pipelines:         int(seed % 3),
	}
	if seed%7 == 0 { // during an upgrade, before users use new features
		options.MixedVersions, options.Pipelines = true, 0
	}
	return options
}
