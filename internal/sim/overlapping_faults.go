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
func (w *Simulator) scheduleOverlappingFaults() {
	w.Checker.overlappingFaults = true
	end := w.options.Duration - overlapFreeTail
	w.Checker.faultFreeFrom = end + overlapSettleTime
	byName := w.faultsByName()
	names := w.options.FaultNames
	if names == nil {
		names = slices.Sorted(maps.Keys(byName))
	}
	var faults []func()
	for _, name := range names {
		faults = append(faults, byName[name])
	}
	for at := 20 * time.Second; at < end; at += w.randomDuration(15*time.Second, 45*time.Second) {
		w.schedule(at, func() {
			first := w.rng.IntN(len(faults))
			second := (first + 1 + w.rng.IntN(len(faults)-1)) % len(faults)
			faults[first]()
			w.schedule(w.randomDuration(0, 4*time.Second), faults[second])
		})
	}
}

// faultsByName returns all faults. Faults are drawn in the order of their names, so the names determine the run of
// every seed.
func (w *Simulator) faultsByName() map[string]func() {
	return map[string]func(){
		"refused, then all":    w.refuseThenOutage,
		"cut with users":       w.isolateFromStoreAndPeers,
		"late writes":          w.delayCommits,
		"late reports":         w.replayHeartbeats,
		"deaf":                 w.blockInbound,
		"all end":              w.crashAll,
		"leader ends":          w.crashLeader,
		"hang":                 w.hangMachines,
		"reads hang":           w.stallWatch,
		"still":                w.pauseController,
		"slow":                 w.slowStore,
		"held orders":          w.delayCommands,
		"answers lost":         w.loseCommitResponses,
		"reports for the next": w.replayHeartbeatsToNextLeader,
		"mute":                 w.blockOutbound,
		"cancelled at once":    w.cancelBurst,
		"cancelled at the end": w.cancelAsJobsEnd,
		"odd requests":         w.sendInvalidRequests,
		"close looks":          w.pollEagerlyForAWhile,
		"up at once":           w.replaceMachinesFast,
		"zone cut off":         w.isolateZone,
		"all away":             w.crashAllPastLease,
		"ten leaders":          w.crashTenLeaders,
		"zone loses machines":  w.failZoneMachines,
		"handed over":          w.failoverThenCancel,
	}
}

// leaderNode returns the controller that holds the leader's key in the store; the first controller if none does.
func (w *Simulator) leaderNode() *node {
	var leader struct {
		Node string `json:"n"`
	}
	if item := w.store.keys[core.Root+"leader"]; item != nil && json.Unmarshal(item.Value, &leader) == nil {
		for _, n := range w.nodes {
			if n.name == leader.Node {
				return n
			}
		}
	}
	return w.nodes[0]
}

// randomNode draws a controller; every other time it is the leader.
func (w *Simulator) randomNode() *node {
	if w.chance(0.5) {
		return w.leaderNode()
	}
	return w.anyNode()
}

// refuseThenOutage has the store refuse one or two controllers, and then be down for all controllers, often for longer
// than the cancel timeout.
func (w *Simulator) refuseThenOutage() {
	for range 1 + w.rng.IntN(2) {
		n := w.randomNode()
		w.Trace("%v store refuses %s", w.now, n.name)
		w.store.refuseNode(n.name, w.randomDuration(5*time.Second, 25*time.Second))
	}
	w.schedule(w.randomDuration(500*time.Millisecond, 6*time.Second), func() {
		duration := w.randomDuration(5*time.Second, w.options.CancelTimeout+30*time.Second)
		w.Trace("%v store outage for %v", w.now, duration)
		w.store.startOutage(duration)
	})
}

// isolateFromStoreAndPeers partitions a controller from the store and its peers; workers and users still reach it.
func (w *Simulator) isolateFromStoreAndPeers() {
	n, duration := w.randomNode(), w.randomDuration(5*time.Second, w.options.CancelTimeout+30*time.Second)
	w.Trace("%v %s isolated from store and peers for %v", w.now, n.name, duration)
	w.isolate(n.name, duration, true, true, false)
}

// delayCommits executes a share of all transactions late, after newer ones; their senders get no response.
func (w *Simulator) delayCommits() {
	w.Trace("%v delayed commits", w.now)
	until, share := w.now+w.randomDuration(5*time.Second, 25*time.Second), 0.1+0.4*w.rng.Float64()
	w.commitDelay = func(wire.Txn) time.Duration {
		if w.now > until || !w.chance(share) {
			return 0
		}
		return w.randomDuration(2*time.Second, 12*time.Second)
	}
}

// replayHeartbeats delivers copies of a share of the heartbeats again, up to two leases later, to any controller.
func (w *Simulator) replayHeartbeats() {
	w.Trace("%v replayed heartbeats", w.now)
	until, share := w.now+w.randomDuration(10*time.Second, 30*time.Second), 0.1+0.6*w.rng.Float64()
	w.onHeartbeat = func(heartbeat *wire.Heartbeat) {
		if w.now > until || !w.chance(share) {
			return
		}
		replayed := *heartbeat
		w.schedule(w.randomDuration(2*time.Second, 2*w.options.WorkerLease), func() {
			w.deliverHeartbeatCopy(w.anyNode(), &replayed)
		})
	}
}

// deliverHeartbeatCopy delivers a copy of a heartbeat to a controller; its response is dropped.
func (w *Simulator) deliverHeartbeatCopy(n *node, heartbeat *wire.Heartbeat) {
	w.lastRequestID++
	w.deliver(n, core.AgentHeartbeat{RequestID: w.lastRequestID, Heartbeat: heartbeat})
}

// blockInbound loses responses and commands to some machines, while their heartbeats arrive.
func (w *Simulator) blockInbound() {
	duration := w.randomDuration(5*time.Second, 2*w.options.WorkerLease)
	w.Trace("%v machines receive nothing for %v", w.now, duration)
	for _, worker := range w.cloud.machines {
		if !worker.gone && w.chance(0.4) {
			w.inboundBlockedUntil[worker.machine.Name] = w.now + duration
		}
	}
}

// crashAll crashes all controllers; about half of them restart within a second, the others later.
func (w *Simulator) crashAll() {
	w.Trace("%v crash all", w.now)
	w.crashAllNodes()
}

// crashLeader crashes the leader, up to three times within three seconds.
func (w *Simulator) crashLeader() {
	n := w.leaderNode()
	w.Trace("%v crash leader %s", w.now, n.name)
	for range 1 + w.rng.IntN(3) {
		w.schedule(w.randomDuration(0, 3*time.Second), func() { w.crashIfUp(n) })
	}
}

// hangMachines suspends machines. When they resume, they process what arrived meanwhile.
func (w *Simulator) hangMachines() {
	w.Trace("%v machines hang", w.now)
	for range 3 {
		if worker := w.cloud.randomMachine(); worker != nil {
			worker.hangFor(w.randomDuration(time.Second, 25*time.Second))
		}
	}
}

// stallWatch leaves a controller's watches without a response, while it keeps its lease and writes.
func (w *Simulator) stallWatch() {
	n := w.randomNode()
	w.Trace("%v watches of %s stall", w.now, n.name)
	w.store.stalledWatches[n.name] = true
	w.schedule(w.randomDuration(5*time.Second, 60*time.Second), func() { delete(w.store.stalledWatches, n.name) })
}

// pauseController suspends a controller's process. When it resumes, it processes what arrived meanwhile.
func (w *Simulator) pauseController() {
	n, duration := w.randomNode(), w.randomDuration(time.Second, 70*time.Second)
	w.Trace("%v %s is paused for %v", w.now, n.name, duration)
	n.pausedUntil = w.now + duration
}

// slowStore delays all requests to the store, by up to three seconds.
func (w *Simulator) slowStore() {
	w.Trace("%v slow store", w.now)
	w.store.maxDelay = w.randomDuration(500*time.Millisecond, 3*time.Second)
	w.schedule(w.randomDuration(10*time.Second, 40*time.Second), func() { w.store.maxDelay = 0 })
}

// delayCommands delays half of all agent commands by seconds to a minute.
func (w *Simulator) delayCommands() {
	w.Trace("%v delayed commands", w.now)
	until := w.now + w.randomDuration(5*time.Second, 20*time.Second)
	w.commandDelay = func(core.SendCommands) time.Duration {
		if w.now > until || w.chance(0.5) {
			return 0
		}
		return w.randomDuration(2*time.Second, 70*time.Second)
	}
}

// loseCommitResponses delays or loses the responses to a share of all transactions, which are executed without delay.
func (w *Simulator) loseCommitResponses() {
	w.Trace("%v lost commit responses", w.now)
	until, share := w.now+w.randomDuration(5*time.Second, 25*time.Second), 0.1+0.4*w.rng.Float64()
	w.commitResponseDelay = func(wire.Txn) time.Duration {
		switch {
		case w.now > until || !w.chance(share):
			return 0
		case w.chance(0.5):
			return -1
		}
		return w.randomDuration(50*time.Millisecond, 1900*time.Millisecond)
	}
}

// replayHeartbeatsToNextLeader collects copies of heartbeats until the leader changes, or is elected again, and then
// delivers them to all controllers.
func (w *Simulator) replayHeartbeatsToNextLeader() {
	w.Trace("%v heartbeats are kept for the next leader", w.now)
	until := w.now + w.randomDuration(5*time.Second, 60*time.Second)
	var kept []wire.Heartbeat
	w.onHeartbeat = func(heartbeat *wire.Heartbeat) {
		if w.now <= until && len(kept) < 200 && w.chance(0.5) {
			kept = append(kept, *heartbeat)
		}
	}
	before := w.leaderRevision()
	var checkLeader func()
	checkLeader = func() {
		revision := w.leaderRevision()
		if revision == 0 || revision == before {
			if w.now < until {
				w.schedule(10*time.Millisecond, checkLeader)
			}
			return
		}
		until = w.now
		for _, heartbeat := range kept {
			for _, n := range w.nodes {
				w.schedule(w.randomDuration(0, time.Second), func() { w.deliverHeartbeatCopy(n, &heartbeat) })
			}
		}
	}
	checkLeader()
}

// leaderRevision returns the revision of the leader's key; 0 if there is no leader.
func (w *Simulator) leaderRevision() uint64 {
	if item := w.store.keys[core.Root+"leader"]; item != nil {
		return item.Revision
	}
	return 0
}

// blockOutbound loses the heartbeats of some machines, while commands reach them.
func (w *Simulator) blockOutbound() {
	duration := w.randomDuration(5*time.Second, 3*w.options.WorkerLease)
	w.Trace("%v heartbeats of machines are lost for %v", w.now, duration)
	zone := ""
	if w.chance(0.3) { // all machines of a zone
		zone = zones[w.rng.IntN(zoneCount)]
	}
	for _, worker := range w.cloud.machines {
		if !worker.gone && (worker.machine.Zone == zone || zone == "" && w.chance(0.4)) {
			w.outboundBlockedUntil[worker.machine.Name] = w.now + duration
		}
	}
}

// maxCancelBurst and maxHungInBurst limit the jobs and machines of a cancelBurst.
const (
	maxCancelBurst = 12
	maxHungInBurst = 8
)

// cancelBurst cancels running jobs within 200 ms, while some of their machines hang.
func (w *Simulator) cancelBurst() {
	running := w.acceptedJobsWhere(func(job *observedJob) bool { return job.runningTasks > 0 && !job.cancelRequested })
	hangTime := time.Duration(0)
	if w.chance(0.6) {
		hangTime = w.randomDuration(5*time.Second, 2*w.options.CancelTimeout)
	}
	burst := running[:min(len(running), maxCancelBurst)]
	w.Trace("%v %d jobs are cancelled at once, their machines hang for %v", w.now, len(burst), hangTime)
	hung := 0
	for _, id := range burst {
		for task := range w.Checker.jobs[id].spec.Tasks {
			for machine := range w.Checker.runningOn[wire.TaskName(id, task)] {
				if hangTime > 0 && hung < maxHungInBurst {
					hung++
					w.cloud.find(machine).hangFor(hangTime)
				}
			}
		}
		w.schedule(w.randomDuration(0, 200*time.Millisecond), func() { w.cancelUntilAnswered(w.randomUser(), id) })
	}
}

// cancelAsJobsEnd cancels a share of the jobs at the moment at which their last tasks end.
func (w *Simulator) cancelAsJobsEnd() {
	w.Trace("%v jobs are cancelled as they end", w.now)
	until, share := w.now+w.randomDuration(10*time.Second, 40*time.Second), 0.3+0.7*w.rng.Float64()
	w.onLastTaskEnding = func(id string) {
		if w.now <= until && w.chance(share) {
			w.schedule(w.randomDuration(0, 20*time.Millisecond), func() { w.cancelUntilAnswered(w.randomUser(), id) })
		}
	}
}

// pollEagerlyForAWhile has users poll eagerly for a while.
func (w *Simulator) pollEagerlyForAWhile() {
	w.Trace("%v eager polls", w.now)
	w.eagerPollsUntil = w.now + w.randomDuration(10*time.Second, 40*time.Second)
}

// replaceMachinesFast fails machines. The machines that replace them boot within two seconds.
func (w *Simulator) replaceMachinesFast() {
	w.Trace("%v machines fail, new ones boot at once", w.now)
	w.fastBootsUntil = w.now + w.randomDuration(10*time.Second, 40*time.Second)
	for range 4 {
		if worker := w.cloud.randomMachine(); worker != nil {
			worker.fail()
		}
	}
}

// isolateZone partitions a zone, with its controller and its machines, from everything else for longer than a lease.
func (w *Simulator) isolateZone() {
	i := w.rng.IntN(zoneCount)
	duration := w.randomDuration(w.options.WorkerLease+5*time.Second, w.options.WorkerLease+50*time.Second)
	w.Trace("%v zone %s with %s isolated for %v", w.now, zones[i], w.nodes[i].name, duration)
	inside := w.nodes[i].name
	pairs := [][2]string{{inside, storeAddress}, {inside, cloudAddress}}
	for _, n := range w.nodes {
		if n.name != inside {
			pairs = append(pairs, [2]string{inside, n.name})
		}
	}
	for _, worker := range w.cloud.machines {
		for _, n := range w.nodes {
			if (worker.machine.Zone == zones[i]) != (n.name == inside) {
				pairs = append(pairs, [2]string{n.name, worker.machine.Name})
			}
		}
	}
	w.partitionFor(pairs, duration)
}

// crashAllPastLease stops all controllers for longer than a lease; one of them restarts first.
func (w *Simulator) crashAllPastLease() {
	downtime := w.randomDuration(w.options.WorkerLease, w.options.WorkerLease+20*time.Second)
	first := w.rng.IntN(len(w.nodes))
	w.Trace("%v all are down for %v, %s restarts first", w.now, downtime, w.nodes[first].name)
	// No controller is up to scale in a machine that hangs for longer, so each machine resumes after at most a lease,
	// and its own lease has expired by then.
	for _, worker := range w.cloud.machines {
		worker.hungUntil = min(worker.hungUntil, w.now+w.options.WorkerLease)
	}
	for i, n := range w.nodes {
		restart := downtime + w.randomDuration(time.Second, 15*time.Second)
		if i == first {
			restart = downtime
		}
		w.crashFor(n, restart)
	}
}

// crashTenLeaders crashes the leader ten times in two minutes, in half of the cases with an outage of the store
// meanwhile.
func (w *Simulator) crashTenLeaders() {
	w.Trace("%v ten leaders crash", w.now)
	if w.chance(0.5) {
		w.schedule(w.randomDuration(0, 60*time.Second), func() {
			w.store.startOutage(w.randomDuration(5*time.Second, 40*time.Second))
		})
	}
	for i := range 10 {
		w.schedule(time.Duration(i)*11500*time.Millisecond, func() { w.crashIfUp(w.leaderNode()) })
	}
}

// failZoneMachines fails most machines of a zone.
func (w *Simulator) failZoneMachines() {
	zone := zones[w.rng.IntN(zoneCount)]
	w.Trace("%v zone %s loses machines", w.now, zone)
	for _, worker := range w.cloud.machines {
		if worker.up && !worker.gone && worker.machine.Zone == zone && w.chance(0.8) {
			worker.fail()
		}
	}
}

// failoverThenCancel has a controller lose its lease and its shards to others while its process continues, and cancels
// jobs meanwhile.
func (w *Simulator) failoverThenCancel() {
	n := w.randomNode()
	w.Trace("%v failover from %s", w.now, n.name)
	w.store.refuseNode(n.name, w.randomDuration(4*time.Second, 9*time.Second))
	for range 2 {
		w.schedule(w.randomDuration(2*time.Second, 9*time.Second), w.cancelBurst)
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
