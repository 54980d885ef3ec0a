package sim

import (
	"cmp"
	"dewlift/core"
	"time"
)

func (w *Simulator) send(from, to string, f func()) {
	k := [2]string{from, to}
	w.schedule(w.randomDuration(500*time.Microsecond, cmp.Or(w.options.MaxNetworkDelay, 5*time.Millisecond)), func() {
		if w.now < w.inboundBlockedUntil[to] {
			return
		}
		if w.partitioned[k] {
			w.heldPackets[k] = append(w.heldPackets[k], f)
			return
		}
		f()
	})
}

// rpc carries a request to a server and its outcome back, so much later as exec says (under 0:
// never); without an answer in time the caller gives up, and the request may be executed all the
// same, later.
func (w *Simulator) rpc(
	from, to string,
	timeout, late time.Duration,
	exec func() (answer time.Duration),
	done func(ok bool),
) {
	over := false
	finish := func(ok bool) {
		if !over {
			over = true
			done(ok)
		}
	}
	if to == "state" && w.store.maxDelay > 0 {
		late += w.randomDuration(0, w.store.maxDelay)
	}
	w.schedule(timeout, func() { finish(false) })
	w.schedule(late, func() {
		w.send(from, to, func() {
			answer := func() { w.send(to, from, func() { finish(true) }) }
			switch d := exec(); { // also when the caller gave up meanwhile
			case d > 0:
				w.schedule(d, answer)
			case d == 0:
				answer()
			}
		})
	})
}

// setPartition cuts or mends the network between two places; what was held is delivered then.
func (w *Simulator) setPartition(a, b string, on bool) {
	for _, k := range [][2]string{{a, b}, {b, a}} {
		if on {
			w.partitioned[k] = true
			continue
		}
		delete(w.partitioned, k)
		fs := w.heldPackets[k]
		delete(w.heldPackets, k)
		for _, f := range fs {
			f := f
			w.schedule(time.Millisecond, f)
		}
	}
}

func (w *Simulator) partitionZones(i, j int, d time.Duration) {
	w.Trace("%v zones %s and %s cut off from each other %v", w.now, zones[i], zones[j], d)
	pairs := [][2]string{{w.nodes[i].name, w.nodes[j].name}}
	for _, m := range w.cloud.machines {
		switch m.machine.Zone {
		case zones[i]:
			pairs = append(pairs, [2]string{w.nodes[j].name, m.machine.Name})
		case zones[j]:
			pairs = append(pairs, [2]string{w.nodes[i].name, m.machine.Name})
		}
	}
	w.partitionFor(pairs, d)
}

// partitionFor cuts the network between pairs of places for a while.
func (w *Simulator) partitionFor(pairs [][2]string, d time.Duration) {
	for _, p := range pairs {
		w.setPartition(p[0], p[1], true)
	}
	w.schedule(d, func() {
		for _, p := range pairs {
			w.setPartition(p[0], p[1], false)
		}
	})
}

func (w *Simulator) isolate(name string, d time.Duration, state, peers, workers bool) {
	var pairs [][2]string
	from := func(other string) { pairs = append(pairs, [2]string{name, other}) }
	if state {
		from("state")
	}
	if peers {
		for _, p := range w.nodes {
			if p.name != name {
				from(p.name)
			}
		}
	}
	if workers {
		from("cloud")
		for _, m := range w.cloud.machines {
			from(m.machine.Name)
		}
	}
	w.partitionFor(pairs, d)
}

// sendRequest sends a request of a user or worker to a controller.
func (w *Simulator) sendRequest(
	n *node,
	timeout time.Duration,
	in func(req uint64) core.Input,
	done func(r core.Response, ok bool),
) {
	over := false
	finish := func(r core.Response, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	way := func() time.Duration { // answers overtake each other on slow links
		if w.now < w.eagerPollsUntil {
			return w.randomDuration(100*time.Microsecond, 20*time.Millisecond)
		}
		return time.Millisecond
	}
	w.schedule(timeout, func() { finish(core.Response{}, false) })
	w.schedule(way(), func() {
		if n.down {
			finish(core.Response{}, false)
			return
		}
		w.lastRequestID++
		id := w.lastRequestID
		n.pendingRequests[id] = func(r core.Response) { w.schedule(way(), func() { finish(r, true) }) }
		w.deliver(n, in(id))
	})
}
