package sim

import (
	"time"

	"dewlift/core"
	"dewlift/wire"
)

// Timeouts of a controller's requests.
const (
	storeTimeout = 2 * time.Second
	leaseTimeout = time.Second
	agentTimeout = 2 * time.Second
	cloudTimeout = 4 * time.Second
)

// Shares of requests that are executed seconds late, see randomDelay. Rare transactions have higher shares, so that
// tests exercise their late execution too.
const (
	lateCommitShare            = 0.01
	lateAuditCommitShare       = 0.06
	lateReservationCommitShare = 0.06
	lateArchiveCommitShare     = 0.15
	lateLeaseShare             = 0.005
	lateCommandShare           = 0.02
	lateCloudShare             = 0.02
)

// performOutput carries out one output of a controller's core. The outcome comes back as an input, unless the process
// has ended by then.
func (s *Simulator) performOutput(n *node, output core.Output) {
	s.OnOutput(n.name, output)
	incarnation := n.incarnation
	deliver := func(in core.Input) {
		if n.incarnation == incarnation && !n.down {
			s.deliver(n, in)
		}
	}
	switch output := output.(type) {
	case core.Response:
		n.respond(output)
	case core.SendToPeer:
		s.sendToPeers(n, output)
	case core.CommitTxn:
		s.commitTxn(n, output, deliver)
	case core.Watch:
		s.store.serveWatch(n, output, deliver)
	case core.LoadSnapshot:
		s.call(rpcRequest{from: n.name, to: storeAddress, timeout: storeTimeout}, core.SnapshotPage{},
			func() core.Input { return s.store.loadSnapshot(n.name, output) }, deliver)
	case core.ReadRange:
		s.call(rpcRequest{from: n.name, to: storeAddress, timeout: storeTimeout}, core.RangeResult{ID: output.ID},
			func() core.Input { return s.store.readRange(n.name, output) }, deliver)
	case core.LeaseRequest:
		s.call(
			rpcRequest{from: n.name, to: storeAddress, timeout: leaseTimeout, delay: s.randomDelay(lateLeaseShare)},
			core.LeaseResult{Op: output.Op},
			func() core.Input { return s.serveLease(n, output) }, deliver)
	case core.SendCommands:
		s.sendCommands(n, output, deliver)
	case core.PollAgent:
		s.pollAgent(n, output, deliver)
	case core.CloudRequest:
		s.call(
			rpcRequest{from: n.name, to: cloudAddress, timeout: cloudTimeout, delay: s.randomDelay(lateCloudShare)},
			core.CloudResult{ID: output.ID},
			func() core.Input { return s.serveCloud(n, output) }, deliver)
	case core.LogLine:
		s.Trace("%v %s %s %v", s.now, n.name, output.Message, output.Args)
	}
}

// respond hands a response to the request that waits for it, once.
func (n *node) respond(response core.Response) {
	if deliver := n.pendingRequests[response.RequestID]; deliver != nil {
		delete(n.pendingRequests, response.RequestID)
		deliver(response)
	}
}

// sendToPeers sends a message to one peer, or to all if it names none.
func (s *Simulator) sendToPeers(n *node, output core.SendToPeer) {
	for _, peer := range s.nodes {
		if peer == n || output.Peer != "" && output.Peer != peer.name {
			continue
		}
		arrive := func() {
			if !peer.down {
				s.deliver(peer, core.PeerMessage{Peer: n.name, Message: output.Message})
			}
		}
		s.send(n.name, peer.name, arrive)
		s.copyLater(copyRoute{kind: copyPeerMessage, from: n.name, to: peer.name}, arrive)
		// A duplicate may arrive after its sender or receiver has restarted.
		if s.options.FlappingProcesses && s.chance(0.01) {
			s.schedule(s.randomDuration(0, 3*time.Second), arrive)
		}
	}
}

// commitTxn sends a transaction to the store, and sometimes crashes its sender while it is in flight.
func (s *Simulator) commitTxn(n *node, output core.CommitTxn, deliver func(core.Input)) {
	result := core.TxnResult{ID: output.ID}
	s.checkWrittenSchema(n, output.Txn)
	lateShare := lateCommitShare
	if s.options.FlappingProcesses {
		s.injectFlap(n, output.Txn)
	}
	if s.options.AuditLog && writesAuditLog(output.Txn) {
		lateShare = lateAuditCommitShare
	}
	delay := s.commitDelay(output.Txn)
	if writesReservations(output.Txn) {
		lateShare = lateReservationCommitShare
		if !s.options.NoFaults && s.chance(0.01) {
			s.crashSoon(n, "a reservation")
		}
	}
	if movesToArchive(output.Txn) {
		lateShare = lateArchiveCommitShare
		if !s.options.NoFaults && s.chance(0.04) {
			s.crashSoon(n, "a move to the archive")
		}
	}
	responseDelay := s.commitResponseDelay(output.Txn)
	s.rpc(rpcRequest{
		from: n.name, to: storeAddress, timeout: storeTimeout, delay: max(delay, s.randomDelay(lateShare)),
	}, func() time.Duration {
		result.Status, result.Reply = s.store.commit(n.name, output.Txn)
		if result.Status == wire.StatusOK {
			s.copyLater(copyRoute{kind: copyTxn, from: n.name, to: storeAddress}, func() {
				s.store.commit(n.name, output.Txn)
			})
		}
		return responseDelay
	}, func(ok bool) {
		if !ok {
			result = core.TxnResult{ID: output.ID}
		}
		deliver(result)
	})
}

// sendCommands sends commands to an agent. Without a response, the sender can't tell whether they arrived.
func (s *Simulator) sendCommands(n *node, output core.SendCommands, deliver func(core.Input)) {
	worker := s.cloud.find(output.Machine)
	failed := core.CommandsResult{ID: output.ID, MaybeDelivered: true}
	s.call(rpcRequest{
		from: n.name, to: output.Machine, timeout: agentTimeout,
		delay: max(s.commandDelay(output), s.randomDelay(lateCommandShare)),
	}, failed, func() core.Input {
		result := failed
		if worker != nil && !worker.gone {
			result.Status, result.Heartbeat = worker.handleCommands(output.Batch)
		}
		if result.Status == wire.StatusOK {
			s.copyLater(copyRoute{kind: copyCommands, from: n.name, to: output.Machine}, func() {
				worker.handleCommands(output.Batch)
			})
		}
		return result
	}, deliver)
}

// serveLease has the store serve a lease request.
func (s *Simulator) serveLease(n *node, output core.LeaseRequest) core.Input {
	s.copyLater(copyRoute{kind: copyLease, from: n.name, to: storeAddress}, func() {
		s.store.serveLease(n.name, output)
	})
	return s.store.serveLease(n.name, output)
}

// serveCloud has the cloud serve a request.
func (s *Simulator) serveCloud(n *node, output core.CloudRequest) core.Input {
	s.copyLater(copyRoute{kind: copyCloudRequest, from: n.name, to: cloudAddress}, func() { s.cloud.serve(output) })
	return s.cloud.serve(output)
}

// pollAgent asks an agent for its status.
func (s *Simulator) pollAgent(n *node, output core.PollAgent, deliver func(core.Input)) {
	worker := s.cloud.find(output.Machine)
	failed := core.AgentPolled{Machine: output.Machine}
	s.call(rpcRequest{from: n.name, to: output.Machine, timeout: agentTimeout}, failed, func() core.Input {
		result := failed
		if worker != nil && worker.up && !worker.gone {
			result.Heartbeat = worker.nextHeartbeat()
		}
		return result
	}, deliver)
}

// randomDelay delays a share of requests by seconds, so that they are executed after their sender gave up.
func (s *Simulator) randomDelay(share float64) time.Duration {
	if !s.options.NoFaults && s.chance(share) {
		return s.randomDuration(2*time.Second, 40*time.Second)
	}
	return 0
}
