package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Troubles that meet: most rules that were broken on real machines broke when a second trouble came
// while the first lasted, so worlds of this kind have nothing but pairs.

// overlapFreeTail is how long before its end a world has no new meeting, and meetLast by when the last of them is over.
const (
	overlapFreeTail   = 230 * time.Second
	overlapSettleTime = 125 * time.Second
)

// scheduleOverlappingFaults plans pairs of troubles: the second begins within seconds of the first.
func (w *Simulator) scheduleOverlappingFaults() {
	w.Checker.overlappingFaults = true
	w.Checker.faultFreeFrom = w.options.Duration - overlapFreeTail + overlapSettleTime
	all := w.faultsByName()
	names := w.options.FaultNames
	if names == nil {
		names = slices.Sorted(maps.Keys(all))
	}
	var list []func()
	for _, n := range names {
		list = append(list, all[n])
	}
	for at := 20 * time.Second; at < w.options.Duration-overlapFreeTail; at += w.randomDuration(15*time.Second, 45*time.Second) {
		w.schedule(at, func() {
			a := w.rng.IntN(len(list))
			b := (a + 1 + w.rng.IntN(len(list)-1)) % len(list)
			list[a]()
			w.schedule(w.randomDuration(0, 4*time.Second), list[b])
		})
	}
}

// faultsByName are all of them by name.
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

// leaderNode is the controller that holds the leadership.
func (w *Simulator) leaderNode() *node {
	var h struct {
		Node string `json:"n"`
	}
	if it := w.store.keys[core.Root+"leader"]; it != nil && json.Unmarshal(it.Value, &h) == nil {
		for _, n := range w.nodes {
			if n.name == h.Node {
				return n
			}
		}
	}
	return w.nodes[0]
}

func (w *Simulator) randomNode() *node {
	if w.chance(0.5) {
		return w.leaderNode()
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// refuseThenOutage has the state service refuse one or two controllers, and then be down for all
// for longer than a cancellation may take.
func (w *Simulator) refuseThenOutage() {
	for range 1 + w.rng.IntN(2) {
		n := w.randomNode()
		w.Trace("%v state refuses %s", w.now, n.name)
		w.store.refuseNode(n.name, w.randomDuration(5*time.Second, 25*time.Second))
	}
	w.schedule(w.randomDuration(500*time.Millisecond, 6*time.Second), func() {
		d := w.randomDuration(5*time.Second, w.options.CancelTimeout+30*time.Second)
		w.Trace("%v state outage %v", w.now, d)
		w.store.startOutage(d)
	})
}

// isolateFromStoreAndPeers cuts a controller off from the state service and the others, while its
// workers and users reach it.
func (w *Simulator) isolateFromStoreAndPeers() {
	n, d := w.randomNode(), w.randomDuration(5*time.Second, w.options.CancelTimeout+30*time.Second)
	w.Trace("%v %s cut from state and controllers %v", w.now, n.name, d)
	w.isolate(n.name, d, true, true, false)
}

// delayCommits has a part of all transactions get no answer, and be executed after newer ones.
func (w *Simulator) delayCommits() {
	w.Trace("%v late writes", w.now)
	till, share := w.now+w.randomDuration(5*time.Second, 25*time.Second), 0.1+0.4*w.rng.Float64()
	w.commitDelay = func(wire.Txn) time.Duration {
		if w.now > till || !w.chance(share) {
			return 0
		}
		return w.randomDuration(2*time.Second, 12*time.Second)
	}
}

// replayHeartbeats has copies of a part of the workers' reports come again, up to well over a lease
// later, at any controller.
func (w *Simulator) replayHeartbeats() {
	w.Trace("%v late reports", w.now)
	till, share := w.now+w.randomDuration(10*time.Second, 30*time.Second), 0.1+0.6*w.rng.Float64()
	w.onHeartbeat = func(r *wire.Heartbeat) {
		if w.now > till || !w.chance(share) {
			return
		}
		raw := *r
		w.schedule(w.randomDuration(2*time.Second, 2*w.options.WorkerLease), func() {
			w.deliverHeartbeatCopy(w.nodes[w.rng.IntN(len(w.nodes))], &raw)
		})
	}
}

// deliverHeartbeatCopy has a copy of a report arrive at a controller; nobody waits for the answer.
func (w *Simulator) deliverHeartbeatCopy(n *node, r *wire.Heartbeat) {
	w.lastRequestID++
	w.deliver(n, core.AgentHeartbeat{RequestID: w.lastRequestID, Heartbeat: r})
}

// blockInbound has reports of some machines arrive while answers and orders to them are lost.
func (w *Simulator) blockInbound() {
	d := w.randomDuration(5*time.Second, 2*w.options.WorkerLease)
	w.Trace("%v machines are deaf %v", w.now, d)
	for _, m := range w.cloud.machines {
		if !m.gone && w.chance(0.4) {
			w.inboundBlockedUntil[m.machine.Name] = w.now + d
		}
	}
}

// crashAll has all controllers end; one of them, or some, is back within a second, the others later.
func (w *Simulator) crashAll() {
	w.Trace("%v all end", w.now)
	for _, n := range w.nodes {
		if !n.down {
			w.crash(n)
		}
	}
}

func (w *Simulator) crashLeader() {
	n := w.leaderNode()
	w.Trace("%v leader %s ends", w.now, n.name)
	for range 1 + w.rng.IntN(3) {
		w.schedule(w.randomDuration(0, 3*time.Second), func() {
			if !n.down {
				w.crash(n)
			}
		})
	}
}

// hangMachines has machines stand still, and go on with what came meanwhile.
func (w *Simulator) hangMachines() {
	w.Trace("%v machines hang", w.now)
	for range 3 {
		if m := w.cloud.randomMachine(); m != nil {
			m.hangFor(w.randomDuration(time.Second, 25*time.Second))
		}
	}
}

// stallWatch has a controller's reads of changes stay without an answer, while it keeps its lease and writes.
func (w *Simulator) stallWatch() {
	n := w.randomNode()
	w.Trace("%v reads of %s hang", w.now, n.name)
	w.store.stalledWatches[n.name] = true
	w.schedule(w.randomDuration(5*time.Second, 60*time.Second), func() { delete(w.store.stalledWatches, n.name) })
}

// pauseController has a controller stand still, and go on with what came meanwhile.
func (w *Simulator) pauseController() {
	n, d := w.randomNode(), w.randomDuration(time.Second, 70*time.Second)
	w.Trace("%v %s stands still %v", w.now, n.name, d)
	n.pausedUntil = w.now + d
}

// slowStore has the state service take seconds for a part of the requests.
func (w *Simulator) slowStore() {
	w.Trace("%v slow state service", w.now)
	w.store.maxDelay = w.randomDuration(500*time.Millisecond, 3*time.Second)
	w.schedule(w.randomDuration(10*time.Second, 40*time.Second), func() { w.store.maxDelay = 0 })
}

// delayCommands has orders to workers held up for seconds to a minute.
func (w *Simulator) delayCommands() {
	w.Trace("%v held orders", w.now)
	till := w.now + w.randomDuration(5*time.Second, 20*time.Second)
	w.commandDelay = func(core.SendCommands) time.Duration {
		if w.now > till || w.chance(0.5) {
			return 0
		}
		return w.randomDuration(2*time.Second, 70*time.Second)
	}
}

// loseCommitResponses has a part of all transactions executed at once, and only their answers late or lost.
func (w *Simulator) loseCommitResponses() {
	w.Trace("%v answers of transactions are lost", w.now)
	till, share := w.now+w.randomDuration(5*time.Second, 25*time.Second), 0.1+0.4*w.rng.Float64()
	w.commitResponseDelay = func(wire.Txn) time.Duration {
		switch {
		case w.now > till || !w.chance(share):
			return 0
		case w.chance(0.5):
			return -1
		}
		return w.randomDuration(50*time.Millisecond, 1900*time.Millisecond)
	}
}

// replayHeartbeatsToNextLeader keeps copies of reports until another controller leads or the same
// one anew, and then has them arrive everywhere.
func (w *Simulator) replayHeartbeatsToNextLeader() {
	w.Trace("%v reports are kept for the next leader", w.now)
	till := w.now + w.randomDuration(5*time.Second, 60*time.Second)
	var kept []wire.Heartbeat
	w.onHeartbeat = func(r *wire.Heartbeat) {
		if w.now <= till && len(kept) < 200 && w.chance(0.5) {
			kept = append(kept, *r)
		}
	}
	leader := func() uint64 {
		if it := w.store.keys[core.Root+"leader"]; it != nil {
			return it.Revision
		}
		return 0
	}
	was := leader()
	var look func()
	look = func() {
		now := leader()
		if now == 0 || now == was {
			if w.now < till {
				w.schedule(10*time.Millisecond, look)
			}
			return
		}
		till = w.now
		for _, r := range kept {
			for _, n := range w.nodes {
				w.schedule(w.randomDuration(0, time.Second), func() { w.deliverHeartbeatCopy(n, &r) })
			}
		}
	}
	look()
}

// blockOutbound has some machines reach no controller, while orders reach them.
func (w *Simulator) blockOutbound() {
	d := w.randomDuration(5*time.Second, 3*w.options.WorkerLease)
	w.Trace("%v machines are mute %v", w.now, d)
	zone := ""
	if w.chance(0.3) { // a whole zone of them
		zone = zones[w.rng.IntN(3)]
	}
	for _, m := range w.cloud.machines {
		if !m.gone && (m.machine.Zone == zone || zone == "" && w.chance(0.4)) {
			w.outboundBlockedUntil[m.machine.Name] = w.now + d
		}
	}
}

// cancelBurst has users call off jobs that run within a fifth of a second, while some of their machines hang.
func (w *Simulator) cancelBurst() {
	running := w.acceptedJobsWhere(func(j *observedJob) bool { return j.runningTasks > 0 && !j.cancelRequested })
	hang := time.Duration(0)
	if w.chance(0.6) {
		hang = w.randomDuration(5*time.Second, 2*w.options.CancelTimeout)
	}
	w.Trace("%v %d jobs are called off at once, their machines hang %v", w.now, min(len(running), 12), hang)
	hung := 0
	for _, id := range running[:min(len(running), 12)] {
		for t := range w.Checker.jobs[id].spec.Tasks {
			for m := range w.Checker.runningOn[wire.TaskName(id, t)] {
				if hang > 0 && hung < 8 {
					hung++
					w.cloud.find(m).hangFor(hang)
				}
			}
		}
		w.schedule(w.randomDuration(0, 200*time.Millisecond), func() { w.cancelUntilAnswered(w.randomUser(), id) })
	}
}

// cancelAsJobsEnd has users cancel a part of the jobs at the moment at which their last tasks end.
func (w *Simulator) cancelAsJobsEnd() {
	w.Trace("%v jobs are cancelled as they end", w.now)
	till, share := w.now+w.randomDuration(10*time.Second, 40*time.Second), 0.3+0.7*w.rng.Float64()
	w.onLastTaskEnding = func(id string) {
		if w.now <= till && w.chance(share) {
			w.schedule(w.randomDuration(0, 20*time.Millisecond), func() { w.cancelUntilAnswered(w.randomUser(), id) })
		}
	}
}

// pollEagerlyForAWhile has users look closely for a while.
func (w *Simulator) pollEagerlyForAWhile() {
	w.Trace("%v close looks", w.now)
	w.eagerPollsUntil = w.now + w.randomDuration(10*time.Second, 40*time.Second)
}

// replaceMachinesFast has machines end, and those rented in their place be up within two seconds.
func (w *Simulator) replaceMachinesFast() {
	w.Trace("%v machines end, new ones are up at once", w.now)
	w.fastBootsUntil = w.now + w.randomDuration(10*time.Second, 40*time.Second)
	for range 4 {
		if m := w.cloud.randomMachine(); m != nil {
			m.fail()
		}
	}
}

// isolateZone cuts a zone off from everything else, with its controller and its machines, for longer than a lease.
func (w *Simulator) isolateZone() {
	i := w.rng.IntN(3)
	d := w.randomDuration(w.options.WorkerLease+5*time.Second, w.options.WorkerLease+50*time.Second)
	w.Trace("%v zone %s with %s cut off %v", w.now, zones[i], w.nodes[i].name, d)
	inside := w.nodes[i].name
	pairs := [][2]string{{inside, storeAddress}, {inside, cloudAddress}}
	for _, n := range w.nodes {
		if n.name != inside {
			pairs = append(pairs, [2]string{inside, n.name})
		}
	}
	for _, m := range w.cloud.machines {
		for _, n := range w.nodes {
			if (m.machine.Zone == zones[i]) != (n.name == inside) {
				pairs = append(pairs, [2]string{n.name, m.machine.Name})
			}
		}
	}
	w.partitionFor(pairs, d)
}

// crashAllPastLease has all controllers away for longer than a lease, and one of them be back alone.
func (w *Simulator) crashAllPastLease() {
	d := w.randomDuration(w.options.WorkerLease, w.options.WorkerLease+20*time.Second)
	first := w.rng.IntN(len(w.nodes))
	w.Trace("%v all are away %v, %s is back first", w.now, d, w.nodes[first].name)
	// nobody is there to return one that hangs on: it goes on, and its lease has ended by then
	for _, m := range w.cloud.machines {
		m.hungUntil = min(m.hungUntil, w.now+w.options.WorkerLease)
	}
	for i, n := range w.nodes {
		back := d + w.randomDuration(time.Second, 15*time.Second)
		if i == first {
			back = d
		}
		w.crashFor(n, back)
	}
}

// crashTenLeaders has the leader end ten times in two minutes, and sometimes the state service be down meanwhile.
func (w *Simulator) crashTenLeaders() {
	w.Trace("%v ten leaders", w.now)
	if w.chance(0.5) {
		w.schedule(
			w.randomDuration(0, 60*time.Second),
			func() { w.store.startOutage(w.randomDuration(5*time.Second, 40*time.Second)) },
		)
	}
	for i := range 10 {
		w.schedule(time.Duration(i)*11500*time.Millisecond, func() {
			if n := w.leaderNode(); !n.down {
				w.crash(n)
			}
		})
	}
}

// failZoneMachines has a zone lose most of its machines.
func (w *Simulator) failZoneMachines() {
	z := zones[w.rng.IntN(3)]
	w.Trace("%v zone %s loses machines", w.now, z)
	for _, m := range w.cloud.machines {
		if m.up && !m.gone && m.machine.Zone == z && w.chance(0.8) {
			m.fail()
		}
	}
}

// failoverThenCancel has one controller's shards change hands by its lease, while its process goes
// on, and users cancel what it had.
func (w *Simulator) failoverThenCancel() {
	n := w.randomNode()
	w.Trace("%v %s hands over", w.now, n.name)
	w.store.refuseNode(n.name, w.randomDuration(4*time.Second, 9*time.Second))
	for range 2 {
		w.schedule(w.randomDuration(2*time.Second, 9*time.Second), w.cancelBurst)
	}
}

// OverlappingFaultOptions are the options of the world of a seed in which troubles meet.
func OverlappingFaultOptions(seed uint64) Options {
	o := Options{
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
	if seed%7 == 0 { // within an upgrade: nobody asks for anything new yet
		o.MixedVersions, o.Pipelines = true, 0
	}
	return o
}
