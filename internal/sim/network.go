package sim

import (
	"cmp"
	"time"

	"dewlift/core"
)

// storeAddress and cloudAddress are the network names of the fake store and the fake cloud. Controllers and
// machines are addressed by their own names.
const (
	storeAddress = "state"
	cloudAddress = "cloud"
)

// send delivers a message after a random network delay. The message is lost if the receiver's inbound traffic is
// blocked, and queued while the two are partitioned.
func (w *Simulator) send(from, to string, deliver func()) {
	link := [2]string{from, to}
	w.schedule(w.randomDuration(500*time.Microsecond, cmp.Or(w.options.MaxNetworkDelay, 5*time.Millisecond)), func() {
		if w.now < w.inboundBlockedUntil[to] {
			return
		}
		if w.partitioned[link] {
			w.queuedMessages[link] = append(w.queuedMessages[link], deliver)
			return
		}
		deliver()
	})
}

// rpcRequest is the route of a remote procedure call.
type rpcRequest struct {
	from, to string
	timeout  time.Duration // the caller gives up after it
	delay    time.Duration // before the request leaves the caller
}

// rpc carries a request to a server and its outcome back. execute returns the delay of the response; if it is negative
// the response is lost. Without a response before the timeout the caller gives up. The request may still be executed
// later, which cores must tolerate.
func (w *Simulator) rpc(request rpcRequest, execute func() (responseDelay time.Duration), done func(ok bool)) {
	finished := false
	finish := func(ok bool) {
		if !finished {
			finished = true
			done(ok)
		}
	}
	delay := request.delay
	if request.to == storeAddress && w.store.maxDelay > 0 {
		delay += w.randomDuration(0, w.store.maxDelay)
	}
	w.schedule(request.timeout, func() { finish(false) })
	w.schedule(delay, func() {
		w.send(request.from, request.to, func() {
			respond := func() { w.send(request.to, request.from, func() { finish(true) }) }
			switch responseDelay := execute(); { // also after the caller gave up
			case responseDelay > 0:
				w.schedule(responseDelay, respond)
			case responseDelay == 0:
				respond()
			}
		})
	})
}

// call is an rpc whose outcome is an input of the caller's core: the result of execute, or failed after a timeout.
func (w *Simulator) call(request rpcRequest, failed core.Input, execute func() core.Input, deliver func(core.Input)) {
	var result core.Input
	w.rpc(request, func() time.Duration {
		result = execute()
		return 0
	}, func(ok bool) {
		if !ok {
			result = failed
		}
		deliver(result)
	})
}

// setPartition cuts or restores the network between two addresses. Restoring delivers the queued messages.
func (w *Simulator) setPartition(a, b string, partitioned bool) {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		if partitioned {
			w.partitioned[link] = true
			continue
		}
		delete(w.partitioned, link)
		queued := w.queuedMessages[link]
		delete(w.queuedMessages, link)
		for _, deliver := range queued {
			w.schedule(time.Millisecond, deliver)
		}
	}
}

// partitionZones partitions two zones, by the indices of their controllers.
func (w *Simulator) partitionZones(i, j int, duration time.Duration) {
	w.Trace("%v zones %s and %s partitioned for %v", w.now, zones[i], zones[j], duration)
	pairs := [][2]string{{w.nodes[i].name, w.nodes[j].name}}
	for _, worker := range w.cloud.machines {
		switch worker.machine.Zone {
		case zones[i]:
			pairs = append(pairs, [2]string{w.nodes[j].name, worker.machine.Name})
		case zones[j]:
			pairs = append(pairs, [2]string{w.nodes[i].name, worker.machine.Name})
		}
	}
	w.partitionFor(pairs, duration)
}

// partitionFor cuts the network between pairs of addresses for a duration.
func (w *Simulator) partitionFor(pairs [][2]string, duration time.Duration) {
	for _, pair := range pairs {
		w.setPartition(pair[0], pair[1], true)
	}
	w.schedule(duration, func() {
		for _, pair := range pairs {
			w.setPartition(pair[0], pair[1], false)
		}
	})
}

// isolate partitions a controller from the store, from its peers, or from the cloud and all machines.
func (w *Simulator) isolate(name string, duration time.Duration, fromStore, fromPeers, fromWorkers bool) {
	var pairs [][2]string
	from := func(other string) { pairs = append(pairs, [2]string{name, other}) }
	if fromStore {
		from(storeAddress)
	}
	if fromPeers {
		for _, peer := range w.nodes {
			if peer.name != name {
				from(peer.name)
			}
		}
	}
	if fromWorkers {
		from(cloudAddress)
		for _, worker := range w.cloud.machines {
			from(worker.machine.Name)
		}
	}
	w.partitionFor(pairs, duration)
}

// sendRequest sends a user's request to a controller. done is called once, with ok false if the controller is down or
// does not respond before the timeout.
func (w *Simulator) sendRequest(
	target *node,
	timeout time.Duration,
	newInput func(requestID uint64) core.Input,
	done func(response core.Response, ok bool),
) {
	finished := false
	finish := func(response core.Response, ok bool) {
		if !finished {
			finished = true
			done(response, ok)
		}
	}
	linkDelay := func() time.Duration { // random while users poll eagerly: responses overtake each other
		if w.now < w.eagerPollsUntil {
			return w.randomDuration(100*time.Microsecond, 20*time.Millisecond)
		}
		return time.Millisecond
	}
	w.schedule(timeout, func() { finish(core.Response{}, false) })
	w.schedule(linkDelay(), func() {
		if target.down {
			finish(core.Response{}, false)
			return
		}
		w.lastRequestID++
		requestID := w.lastRequestID
		target.pendingRequests[requestID] = func(response core.Response) {
			w.schedule(linkDelay(), func() { finish(response, true) })
		}
		w.deliver(target, newInput(requestID))
	})
}
