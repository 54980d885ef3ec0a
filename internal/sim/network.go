package sim

import (
	"cmp"
	"time"

	"dewlift/core"
)

// storeAddress, cloudAddress and userAddress are the network names of the fake store, the fake cloud and the users.
// Controllers and machines are addressed by their own names.
const (
	storeAddress = "state"
	cloudAddress = "cloud"
	userAddress  = "user"
)

// send delivers a message after a random network delay. The message is lost if the receiver's inbound traffic is
// blocked, and queued while the two are partitioned.
func (s *Simulator) send(from, to string, deliver func()) {
	link := [2]string{from, to}
	s.schedule(s.randomDuration(500*time.Microsecond, cmp.Or(s.options.MaxNetworkDelay, 5*time.Millisecond)), func() {
		if s.now < s.inboundBlockedUntil[to] {
			return
		}
		if s.partitioned[link] {
			s.queuedMessages[link] = append(s.queuedMessages[link], deliver)
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
func (s *Simulator) rpc(request rpcRequest, execute func() (responseDelay time.Duration), done func(ok bool)) {
	finished := false
	finish := func(ok bool) {
		if !finished {
			finished = true
			done(ok)
		}
	}
	delay := request.delay
	if request.to == storeAddress && s.store.maxDelay > 0 {
		delay += s.randomDuration(0, s.store.maxDelay)
	}
	s.schedule(request.timeout, func() { finish(false) })
	s.schedule(delay, func() {
		s.send(request.from, request.to, func() {
			respond := func() { s.send(request.to, request.from, func() { finish(true) }) }
			switch responseDelay := execute(); { // also after the caller gave up
			case responseDelay > 0:
				s.schedule(responseDelay, respond)
			case responseDelay == 0:
				respond()
			}
		})
	})
}

// call is an rpc whose outcome is an input of the caller's core: the result of execute, or failed after a timeout.
func (s *Simulator) call(request rpcRequest, failed core.Input, execute func() core.Input, deliver func(core.Input)) {
	var result core.Input
	s.rpc(request, func() time.Duration {
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
func (s *Simulator) setPartition(a, b string, partitioned bool) {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		if partitioned {
			s.partitioned[link] = true
			continue
		}
		delete(s.partitioned, link)
		queued := s.queuedMessages[link]
		delete(s.queuedMessages, link)
		for _, deliver := range queued {
			s.schedule(time.Millisecond, deliver)
		}
	}
}

// partitionZones partitions two zones, by the indices of their controllers.
func (s *Simulator) partitionZones(i, j int, duration time.Duration) {
	s.Trace("%v zones %s and %s partitioned for %v", s.now, zones[i], zones[j], duration)
	pairs := [][2]string{{s.nodes[i].name, s.nodes[j].name}}
	for _, worker := range s.cloud.machines {
		switch worker.machine.Zone {
		case zones[i]:
			pairs = append(pairs, [2]string{s.nodes[j].name, worker.machine.Name})
		case zones[j]:
			pairs = append(pairs, [2]string{s.nodes[i].name, worker.machine.Name})
		}
	}
	s.partitionFor(pairs, duration)
}

// partitionFor cuts the network between pairs of addresses for a duration.
func (s *Simulator) partitionFor(pairs [][2]string, duration time.Duration) {
	for _, pair := range pairs {
		s.setPartition(pair[0], pair[1], true)
	}
	s.schedule(duration, func() {
		for _, pair := range pairs {
			s.setPartition(pair[0], pair[1], false)
		}
	})
}

// isolate partitions a controller from the store, from its peers, or from the cloud and all machines.
func (s *Simulator) isolate(name string, duration time.Duration, fromStore, fromPeers, fromWorkers bool) {
	var pairs [][2]string
	from := func(other string) { pairs = append(pairs, [2]string{name, other}) }
	if fromStore {
		from(storeAddress)
	}
	if fromPeers {
		for _, peer := range s.nodes {
			if peer.name != name {
				from(peer.name)
			}
		}
	}
	if fromWorkers {
		from(cloudAddress)
		for _, worker := range s.cloud.machines {
			from(worker.machine.Name)
		}
	}
	s.partitionFor(pairs, duration)
}

// sendRequest sends a user's request to a controller. done is called once, with ok false if the controller is down or
// does not respond before the timeout.
func (s *Simulator) sendRequest(
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
		if s.now < s.eagerPollsUntil {
			return s.randomDuration(100*time.Microsecond, 20*time.Millisecond)
		}
		return time.Millisecond
	}
	s.schedule(timeout, func() { finish(core.Response{}, false) })
	s.schedule(linkDelay(), func() {
		if target.down {
			finish(core.Response{}, false)
			return
		}
		s.lastRequestID++
		requestID := s.lastRequestID
		target.pendingRequests[requestID] = func(response core.Response) {
			s.schedule(linkDelay(), func() { finish(response, true) })
		}
		s.deliver(target, newInput(requestID))
		s.copyLater(copyRoute{kind: copyUserRequest, from: userAddress, to: target.name}, func() {
			if !target.down {
				s.lastRequestID++ // nobody waits for the response
				s.deliver(target, newInput(s.lastRequestID))
			}
		})
	})
}
