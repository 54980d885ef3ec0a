package core

import (
	"hash/fnv"
	"slices"
	"time"

	"dewlift/core/membership"
)

// returnRequestInterval is the time between two requests to the leader to return machines.
const returnRequestInterval = time.Second

// controllerSet is the other controllers: their registrations in the store, their reachability, and when
// they are next sent this controller's health.
type controllerSet struct {
	*environment

	membership           *membership.Members
	registrations        map[string]leasedKey // registrations of the live controllers, by name
	registrationsVersion uint64               // grows with each change of nodeKeys
	nextHealthAt         time.Duration
}

// liveNames lists the controllers with a lease, this one included, in name order.
func (s *controllerSet) liveNames() []string {
	names := []string{s.cfg.Name}
	for name := range s.registrations {
		if name != s.cfg.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isLive reports whether a controller holds a lease, as far as this replica shows.
func (s *controllerSet) isLive(name string) bool {
	_, ok := s.registrations[name]
	return ok
}

// rendezvousRank returns the rank of this controller for a key among the live controllers, by
// rendezvous hashing: 0 is the preferred one.
func (s *controllerSet) rendezvousRank(key string, live []string) int {
	own, rank := rendezvousWeight(s.cfg.Name, key), 0
	for _, name := range live {
		if name != s.cfg.Name && rendezvousWeight(name, key) > own {
			rank++
		}
	}
	return rank
}

// rendezvousWeight hashes a controller with a key. FNV alone leaves close inputs close together, so its
// sum is mixed by a multiply and two shifts.
func rendezvousWeight(name, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(key))
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}

// sendToPeers sends a message to a peer, or to all if the name is empty. One that is out of reach gets it relayed:
// two zones may be cut off from each other while a third reaches both, and without the other's heartbeats a
// leader takes live machines for silent.
func (s *controllerSet) sendToPeers(peer string, m Message) {
	for _, to := range s.cfg.Peers {
		if peer != "" && peer != to {
			continue
		}
		if relay := s.membership.RelayFor(s.now, to); relay != "" {
			relayed := m
			relayed.RelayTo, relayed.RelayedFrom = to, s.cfg.Name
			s.emit(SendToPeer{Peer: relay, Message: relayed})
			continue
		}
		s.emit(SendToPeer{Peer: to, Message: m})
	}
}

// broadcastHealth sends the peers this controller's health. A controller that has not loaded its replica does so
// too: an outage of the store is declared by a majority, which may need it.
func (c *Core) broadcastHealth() {
	if c.now < c.controllers.nextHealthAt {
		return
	}
	c.controllers.nextHealthAt = c.now + c.cfg.Cluster.HealthInterval
	c.priority.firstWaiting = c.firstWaitingByClass()
	c.emit(
		SendToPeer{
			Message: Message{
				Health: &Health{
					StoreReachable:    c.storeHealth.isReachable(),
					WriteRate:         c.transactions.rateLimit.SampleWriteRate(c.cfg.Cluster.HealthInterval),
					ReachablePeers:    c.controllers.membership.ReachableExcept(c.now, ""),
					SnapshotPagesRead: c.replica.snapshotPagesRead(),
					QueueHeads:        c.priority.firstWaiting,
					CancellationsUpTo: c.cancelAcks.knownRevision(),
				},
			},
		},
	)
	c.updateRateLimit()
}

// broadcastUpdates sends the peers what has gathered for them: allocation deltas, heartbeats, and requests to
// return machines.
func (c *Core) broadcastUpdates() {
	if c.now >= c.deltaLog.nextBatchAt {
		c.deltaLog.nextBatchAt = c.now + c.cfg.State.DeltaInterval
		c.sendDeltas()
		c.agents.broadcastHeartbeats(c.overload.Level().ScaleInterval(batchesPerDigest * c.cfg.State.DeltaInterval))
	}
	if c.now >= c.commands.nextReturnRequestAt {
		c.commands.nextReturnRequestAt = c.now + returnRequestInterval
		c.requestReturns()
	}
}

// handlePeerMessage handles a message of another controller, or passes it on if it is for a third one.
func (c *Core) handlePeerMessage(in PeerMessage) {
	if c.controllers.membership.Peer(in.Peer) == nil {
		return
	}
	m := in.Message
	c.controllers.membership.MarkSeen(c.now, in.Peer)
	from := in.Peer
	if m.RelayTo != "" {
		if m.RelayTo != c.cfg.Name {
			c.controllers.relayMessage(from, m)
			return
		}
		from = m.RelayedFrom
		if c.controllers.membership.Peer(from) == nil {
			return
		}
	}
	c.handlePeerCommands(from, &m)
	c.handleQuorumMessage(from, &m)
	if m.Health != nil {
		c.cancelAcks.quorum.RecordHeldRevision(from, m.Health.CancellationsUpTo)
		m.Health.applyTo(c.controllers.membership.Peer(from)) // not to a controller that only relayed it
	}
	c.handlePeerHeartbeats(from, &m)
	if m.AllocationDeltas != nil {
		c.handlePeerDeltas(from, m.AllocationDeltas)
	}
	if c.leaderState != nil {
		c.leaderState.handlePeerRequests(c, &m)
	} else if m.StatePush != nil {
		c.applyPush(m.StatePush)
	}
}

// relayMessage passes a message on to the controller that it is for. Only its sender's own messages are
// passed on, so that none takes a second hop.
func (s *controllerSet) relayMessage(from string, m Message) {
	if s.membership.Peer(m.RelayTo) != nil && m.RelayedFrom == from {
		s.emit(SendToPeer{Peer: m.RelayTo, Message: m})
	}
}

// handlePeerCommands sends the commands of a peer to a machine that it may not reach, under a request id of this
// controller, and takes the outcome of those that a peer sent for this one.
func (c *Core) handlePeerCommands(from string, m *Message) {
	if m.Commands != nil {
		id := c.nextID()
		c.commands.relayed[id] = relayedCommands{from, m.Commands.ID}
		request := *m.Commands
		request.ID = id
		c.emit(request)
	}
	if m.CommandsResult != nil {
		c.handleCommandsResult(*m.CommandsResult)
	}
}

// handlePeerHeartbeats applies the heartbeats that a peer passes on, and answers its requests for some.
func (c *Core) handlePeerHeartbeats(from string, m *Message) {
	for _, heartbeat := range m.Heartbeats {
		if heartbeat != nil {
			c.applyHeartbeat(heartbeat, false)
		}
	}
	for _, digest := range m.HeartbeatDigests {
		c.applyHeartbeatDigest(from, digest)
	}
	if len(m.WantedHeartbeats) > 0 {
		c.sendRequestedHeartbeats(from, m.WantedHeartbeats)
	}
	c.pollForPeer(from, m.PollMachines)
}

// applyTo takes a peer's health over into what is known of it.
func (h *Health) applyTo(peer *membership.Peer) {
	peer.StoreReachable = h.StoreReachable
	peer.WriteRate = max(0, h.WriteRate)
	peer.ReachablePeers = h.ReachablePeers
	peer.SnapshotPagesLoaded = h.SnapshotPagesRead
	peer.QueueHeads = peer.QueueHeads[:0]
	for _, head := range h.QueueHeads {
		peer.QueueHeads = append(peer.QueueHeads, membership.QueuePosition(head))
	}
}

// handlePeerDeltas counts a peer's allocation deltas, at the leader and in this controller's copy of the state. A push
// of the leader may have counted them already, as it takes another path: counted twice, a finish would
// show free capacity on a full machine until its row changes.
func (c *Core) handlePeerDeltas(from string, batch *AllocationDeltas) {
	if c.leaderState != nil {
		c.leaderState.applyDeltas(from, batch)
	}
	leaderToken := c.leadership.leader.FencingToken
	if c.clusterCopy.hasAcked(from, batch.Seq, leaderToken) {
		return
	}
	c.deltaLog.retain(from, deltaBatch{batch.Seq, 0, leaderToken, batch.Deltas})
	c.clusterCopy.applyPeerDeltas(c.appendDeltas(nil, batch.Deltas))
	c.placement.capacityFreed = true
}

// handlePeerRequests handles what peers ask of the leader: to return machines, and to push the whole array.
func (l *leaderState) handlePeerRequests(c *Core, m *Message) {
	if len(m.MachinesToReturn)+len(m.SilentMachines) > 0 {
		l.handleReturnRequest(c, m.MachinesToReturn, m.SilentMachines)
	}
	if m.ResendStatePush {
		l.nextFullPushAt = c.now
		l.pushRequested = true
	}
}

// requestPollsByPeer has a peer, another one each time, poll machines whose heartbeat is overdue. Two zones may be cut
// off from each other: the machines of one that reported to the other are healthy, but take longer to
// find a controller in reach than the silence timeout of a machine.
func (l *leaderState) requestPollsByPeer(c *Core, machines []string) {
	peers := c.controllers.membership.ReachableExcept(c.now, "")
	if len(machines) == 0 || len(peers) == 0 {
		return
	}
	l.pollRequestRounds++
	c.controllers.sendToPeers(peers[l.pollRequestRounds%len(peers)], Message{PollMachines: machines})
}
