package sim

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// Troubles that meet: most rules that were broken on real machines broke when a second trouble came while the first lasted, so worlds of this
// kind have nothing but pairs.

// meetCalm is how long before its end a world has no new meeting, and meetLast by when the last of them is over.
const (
	meetCalm = 230 * time.Second
	meetLast = 125 * time.Second
)

// meetings plans pairs of troubles: the second begins within seconds of the first.
func (w *World) meetings() {
	w.Check.meets = true
	w.Check.calmFrom = w.opt.Length - meetCalm + meetLast
	all := w.troublesThatMeet()
	names := w.opt.Pair
	if names == nil {
		names = slices.Sorted(maps.Keys(all))
	}
	var list []func()
	for _, n := range names {
		list = append(list, all[n])
	}
	for at := 20 * time.Second; at < w.opt.Length-meetCalm; at += w.between(15*time.Second, 45*time.Second) {
		w.after(at, func() {
			a := w.rng.IntN(len(list))
			b := (a + 1 + w.rng.IntN(len(list)-1)) % len(list)
			list[a]()
			w.after(w.between(0, 4*time.Second), list[b])
		})
	}
}

// troublesThatMeet are all of them by name.
func (w *World) troublesThatMeet() map[string]func() {
	return map[string]func(){"refused, then all": w.refusedThenAll, "cut with users": w.cutWithUsers, "late writes": w.lateWrites, "late reports": w.lateReports,
		"deaf": w.deafMachines, "all end": w.allEnd, "leader ends": w.leaderEnds, "hang": w.hangs, "reads hang": w.readsHang, "still": w.standStill,
		"slow": w.slowState, "held orders": w.heldOrders, "answers lost": w.answersLost, "reports for the next": w.reportsForNext, "mute": w.muteMachines,
		"cancelled at once": w.cancelBurst, "cancelled at the end": w.cancelAtEnd, "odd requests": w.oddRequests, "close looks": w.lookCloselyFor,
		"up at once": w.upAtOnce, "zone cut off": w.zoneCutOff, "all away": w.allAway, "ten leaders": w.tenLeaders, "zone loses machines": w.zoneLoses,
		"handed over": w.handOver}
}

// leaderOf is the controller that holds the leadership.
func (w *World) leaderOf() *node {
	var h struct {
		Node string `json:"n"`
	}
	if it := w.state.keys[core.Root+"leader"]; it != nil && json.Unmarshal(it.Value, &h) == nil {
		for _, n := range w.nodes {
			if n.name == h.Node {
				return n
			}
		}
	}
	return w.nodes[0]
}

func (w *World) someNode() *node {
	if w.chance(0.5) {
		return w.leaderOf()
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// refusedThenAll has the state service refuse one or two controllers, and then be down for all for longer than a cancellation may take.
func (w *World) refusedThenAll() {
	for range 1 + w.rng.IntN(2) {
		n := w.someNode()
		w.Trace("%v state refuses %s", w.now, n.name)
		w.state.refuse(n.name, w.between(5*time.Second, 25*time.Second))
	}
	w.after(w.between(500*time.Millisecond, 6*time.Second), func() {
		d := w.between(5*time.Second, w.opt.CancelIn+30*time.Second)
		w.Trace("%v state outage %v", w.now, d)
		w.state.outage(d)
	})
}

// cutWithUsers cuts a controller off from the state service and the others, while its workers and users reach it.
func (w *World) cutWithUsers() {
	n, d := w.someNode(), w.between(5*time.Second, w.opt.CancelIn+30*time.Second)
	w.Trace("%v %s cut from state and controllers %v", w.now, n.name, d)
	w.isolate(n.name, d, true, true, false)
}

// lateWrites has a part of all transactions get no answer, and be executed after newer ones.
func (w *World) lateWrites() {
	w.Trace("%v late writes", w.now)
	till, share := w.now+w.between(5*time.Second, 25*time.Second), 0.1+0.4*w.rng.Float64()
	w.lateWrite = func(wire.Txn) time.Duration {
		if w.now > till || !w.chance(share) {
			return 0
		}
		return w.between(2*time.Second, 12*time.Second)
	}
}

// lateReports has copies of a part of the workers' reports come again, up to well over a lease later, at any controller.
func (w *World) lateReports() {
	w.Trace("%v late reports", w.now)
	till, share := w.now+w.between(10*time.Second, 30*time.Second), 0.1+0.6*w.rng.Float64()
	w.lateReport = func(r *wire.Heartbeat) {
		if w.now > till || !w.chance(share) {
			return
		}
		raw := *r
		w.after(w.between(2*time.Second, 2*w.opt.Lease), func() {
			w.copyTo(w.nodes[w.rng.IntN(len(w.nodes))], &raw)
		})
	}
}

// copyTo has a copy of a report arrive at a controller; nobody waits for the answer.
func (w *World) copyTo(n *node, r *wire.Heartbeat) {
	w.req++
	w.step(n, core.Beat{Req: w.req, Report: r})
}

// deafMachines has reports of some machines arrive while answers and orders to them are lost.
func (w *World) deafMachines() {
	d := w.between(5*time.Second, 2*w.opt.Lease)
	w.Trace("%v machines are deaf %v", w.now, d)
	for _, m := range w.cloud.machines {
		if !m.gone && w.chance(0.4) {
			w.deaf[m.m.Name] = w.now + d
		}
	}
}

// allEnd has all controllers end; one of them, or some, is back within a second, the others later.
func (w *World) allEnd() {
	w.Trace("%v all end", w.now)
	for _, n := range w.nodes {
		if !n.down {
			w.crash(n)
		}
	}
}

func (w *World) leaderEnds() {
	n := w.leaderOf()
	w.Trace("%v leader %s ends", w.now, n.name)
	for range 1 + w.rng.IntN(3) {
		w.after(w.between(0, 3*time.Second), func() {
			if !n.down {
				w.crash(n)
			}
		})
	}
}

// hangs has machines stand still, and go on with what came meanwhile.
func (w *World) hangs() {
	w.Trace("%v machines hang", w.now)
	for range 3 {
		if m := w.cloud.random(); m != nil {
			m.hang(w.between(time.Second, 25*time.Second))
		}
	}
}

// readsHang has a controller's reads of changes stay without an answer, while it keeps its lease and writes.
func (w *World) readsHang() {
	n := w.someNode()
	w.Trace("%v reads of %s hang", w.now, n.name)
	w.state.stuck[n.name] = true
	w.after(w.between(5*time.Second, 60*time.Second), func() { delete(w.state.stuck, n.name) })
}

// standStill has a controller stand still, and go on with what came meanwhile.
func (w *World) standStill() {
	n, d := w.someNode(), w.between(time.Second, 70*time.Second)
	w.Trace("%v %s stands still %v", w.now, n.name, d)
	n.still = w.now + d
}

// slowState has the state service take seconds for a part of the requests.
func (w *World) slowState() {
	w.Trace("%v slow state service", w.now)
	w.state.slow = w.between(500*time.Millisecond, 3*time.Second)
	w.after(w.between(10*time.Second, 40*time.Second), func() { w.state.slow = 0 })
}

// heldOrders has orders to workers held up for seconds to a minute.
func (w *World) heldOrders() {
	w.Trace("%v held orders", w.now)
	till := w.now + w.between(5*time.Second, 20*time.Second)
	w.lateOrder = func(core.Orders) time.Duration {
		if w.now > till || w.chance(0.5) {
			return 0
		}
		return w.between(2*time.Second, 70*time.Second)
	}
}

// answersLost has a part of all transactions executed at once, and only their answers late or lost.
func (w *World) answersLost() {
	w.Trace("%v answers of transactions are lost", w.now)
	till, share := w.now+w.between(5*time.Second, 25*time.Second), 0.1+0.4*w.rng.Float64()
	w.lateAnswer = func(wire.Txn) time.Duration {
		switch {
		case w.now > till || !w.chance(share):
			return 0
		case w.chance(0.5):
			return -1
		}
		return w.between(50*time.Millisecond, 1900*time.Millisecond)
	}
}

// reportsForNext keeps copies of reports until another controller leads or the same one anew, and then has them arrive everywhere.
func (w *World) reportsForNext() {
	w.Trace("%v reports are kept for the next leader", w.now)
	till := w.now + w.between(5*time.Second, 60*time.Second)
	var kept []wire.Heartbeat
	w.lateReport = func(r *wire.Heartbeat) {
		if w.now <= till && len(kept) < 200 && w.chance(0.5) {
			kept = append(kept, *r)
		}
	}
	leader := func() uint64 {
		if it := w.state.keys[core.Root+"leader"]; it != nil {
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
				w.after(10*time.Millisecond, look)
			}
			return
		}
		till = w.now
		for _, r := range kept {
			for _, n := range w.nodes {
				w.after(w.between(0, time.Second), func() { w.copyTo(n, &r) })
			}
		}
	}
	look()
}

// muteMachines has some machines reach no controller, while orders reach them.
func (w *World) muteMachines() {
	d := w.between(5*time.Second, 3*w.opt.Lease)
	w.Trace("%v machines are mute %v", w.now, d)
	zone := ""
	if w.chance(0.3) { // a whole zone of them
		zone = zones[w.rng.IntN(3)]
	}
	for _, m := range w.cloud.machines {
		if !m.gone && (m.m.Zone == zone || zone == "" && w.chance(0.4)) {
			w.muted[m.m.Name] = w.now + d
		}
	}
}

// cancelBurst has users call off jobs that run within a fifth of a second, while some of their machines hang.
func (w *World) cancelBurst() {
	running := w.jobsThat(func(j *truth) bool { return j.on > 0 && !j.asked })
	hang := time.Duration(0)
	if w.chance(0.6) {
		hang = w.between(5*time.Second, 2*w.opt.CancelIn)
	}
	w.Trace("%v %d jobs are called off at once, their machines hang %v", w.now, min(len(running), 12), hang)
	hung := 0
	for _, id := range running[:min(len(running), 12)] {
		for t := range w.Check.jobs[id].spec.Tasks {
			for m := range w.Check.on[wire.TaskName(id, t)] {
				if hang > 0 && hung < 8 {
					hung++
					w.cloud.find(m).hang(hang)
				}
			}
		}
		w.after(w.between(0, 200*time.Millisecond), func() { w.callOff(w.someone(), id) })
	}
}

// cancelAtEnd has users cancel a part of the jobs at the moment at which their last tasks end.
func (w *World) cancelAtEnd() {
	w.Trace("%v jobs are cancelled as they end", w.now)
	till, share := w.now+w.between(10*time.Second, 40*time.Second), 0.3+0.7*w.rng.Float64()
	w.atEnd = func(id string) {
		if w.now <= till && w.chance(share) {
			w.after(w.between(0, 20*time.Millisecond), func() { w.callOff(w.someone(), id) })
		}
	}
}

// lookCloselyFor has users look closely for a while.
func (w *World) lookCloselyFor() {
	w.Trace("%v close looks", w.now)
	w.closeLooks = w.now + w.between(10*time.Second, 40*time.Second)
}

// upAtOnce has machines end, and those rented in their place be up within two seconds.
func (w *World) upAtOnce() {
	w.Trace("%v machines end, new ones are up at once", w.now)
	w.fastBoots = w.now + w.between(10*time.Second, 40*time.Second)
	for range 4 {
		if m := w.cloud.random(); m != nil {
			m.die()
		}
	}
}

// zoneCutOff cuts a zone off from everything else, with its controller and its machines, for longer than a lease.
func (w *World) zoneCutOff() {
	i := w.rng.IntN(3)
	d := w.between(w.opt.Lease+5*time.Second, w.opt.Lease+50*time.Second)
	w.Trace("%v zone %s with %s cut off %v", w.now, zones[i], w.nodes[i].name, d)
	inside := w.nodes[i].name
	pairs := [][2]string{{inside, "state"}, {inside, "cloud"}}
	for _, n := range w.nodes {
		if n.name != inside {
			pairs = append(pairs, [2]string{inside, n.name})
		}
	}
	for _, m := range w.cloud.machines {
		for _, n := range w.nodes {
			if (m.m.Zone == zones[i]) != (n.name == inside) {
				pairs = append(pairs, [2]string{n.name, m.m.Name})
			}
		}
	}
	w.cutFor(pairs, d)
}

// allAway has all controllers away for longer than a lease, and one of them be back alone.
func (w *World) allAway() {
	d := w.between(w.opt.Lease, w.opt.Lease+20*time.Second)
	first := w.rng.IntN(len(w.nodes))
	w.Trace("%v all are away %v, %s is back first", w.now, d, w.nodes[first].name)
	for _, m := range w.cloud.machines { // nobody is there to return one that hangs on: it goes on, and its lease has ended by then
		m.frozen = min(m.frozen, w.now+w.opt.Lease)
	}
	for i, n := range w.nodes {
		back := d + w.between(time.Second, 15*time.Second)
		if i == first {
			back = d
		}
		w.crashFor(n, back)
	}
}

// tenLeaders has the leader end ten times in two minutes, and sometimes the state service be down meanwhile.
func (w *World) tenLeaders() {
	w.Trace("%v ten leaders", w.now)
	if w.chance(0.5) {
		w.after(w.between(0, 60*time.Second), func() { w.state.outage(w.between(5*time.Second, 40*time.Second)) })
	}
	for i := range 10 {
		w.after(time.Duration(i)*11500*time.Millisecond, func() {
			if n := w.leaderOf(); !n.down {
				w.crash(n)
			}
		})
	}
}

// zoneLoses has a zone lose most of its machines.
func (w *World) zoneLoses() {
	z := zones[w.rng.IntN(3)]
	w.Trace("%v zone %s loses machines", w.now, z)
	for _, m := range w.cloud.machines {
		if m.up && !m.gone && m.m.Zone == z && w.chance(0.8) {
			m.die()
		}
	}
}

// handOver has one controller's shards change hands by its lease, while its process goes on, and users cancel what it had.
func (w *World) handOver() {
	n := w.someNode()
	w.Trace("%v %s hands over", w.now, n.name)
	w.state.refuse(n.name, w.between(4*time.Second, 9*time.Second))
	for range 2 {
		w.after(w.between(2*time.Second, 9*time.Second), w.cancelBurst)
	}
}

// MeetingOf are the options of the world of a seed in which troubles meet.
func MeetingOf(seed uint64) Options {
	o := Options{Seed: seed, Length: 480 * time.Second, Jobs: 60, Tasks: 6, Meet: true, Nodes: []int{3, 5}[seed%2], Shared: seed%3 == 0, History: seed%4 == 0,
		Chains: int(seed % 3)}
	if seed%7 == 0 { // within an upgrade: nobody asks for anything new yet
		o.Beside, o.Chains = true, 0
	}
	return o
}
