package core

import (
	"hash/fnv"
	"slices"
	"time"

	"dewlift/core/membership"
)

// scaleInRequestInterval is the time between two requests to the leader to scale in machines.
const scaleInRequestInterval = time.Second

// controllerSet holds the registrations of all controllers, the reachability of the peers, and when this
// controller's health is next sent to them.
type controllerSet struct {
	*environment

	membership           *membership.Members
	registrations        map[string]leasedKey // of the live controllers, by name
	registrationsVersion uint64               // incremented with each change of registrations
	nextHealthAt         time.Duration
}

// liveNames lists the registered controllers in name order, always including this one.
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

// isLive reports whether a controller is registered, according to this replica.
func (s *controllerSet) isLive(name string) bool {
	_, ok := s.registrations[name]
	return ok
}

// rendezvousRank returns this controller's rank among the live controllers for a key, by rendezvous
// hashing. 0 is the rank of the preferred controller.
func (s *controllerSet) rendezvousRank(key string, live []string) int {
	own, rank := rendezvousWeight(s.cfg.Name, key), 0
	for _, name := range live {
		if name != s.cfg.Name && rendezvousWeight(name, key) > own {
			rank++
		}
	}
	return rank
}

// rendezvousWeight hashes a controller's name with a key. FNV alone maps similar inputs to close sums, so
// the sum is mixed by a multiplication and two shifts.
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

// sendToPeers sends a message to a peer, or to all if the name is empty. An unreachable peer gets it through a relay:
// two zones may be partitioned from each other while a third reaches both, and a leader that lacks the
// heartbeats of the other zone would consider its live machines silent.
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

// broadcastHealth sends this controller's health to the peers, even before its replica is loaded: the majority
// that declares an outage of the store may need its report.
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

// broadcastUpdates sends the peers the updates collected for them: allocation deltas and heartbeats, and sends
// the leader requests to scale in machines.
func (c *Core) broadcastUpdates() {
	if c.now >= c.deltaLog.nextBatchAt {
		c.deltaLog.nextBatchAt = c.now + c.cfg.State.DeltaInterval
		c.sendDeltas()
		c.agents.broadcastHeartbeats(c.overload.Level().ScaleInterval(batchesPerDigest * c.cfg.State.DeltaInterval))
	}
	if c.now >= c.commands.nextScaleInRequestAt {
		c.commands.nextScaleInRequestAt = c.now + scaleInRequestInterval
		c.requestScaleIns()
	}
}

// handlePeerMessage handles a message of another controller, or relays it if it is for a third one.
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
		m.Health.applyTo(c.controllers.membership.Peer(from)) // to the sender, not the relay
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

// relayMessage relays a message to its receiver. It relays only messages that come directly from their sender,
// so that no message takes a second hop.
func (s *controllerSet) relayMessage(from string, m Message) {
	if s.membership.Peer(m.RelayTo) != nil && m.RelayedFrom == from {
		s.emit(SendToPeer{Peer: m.RelayTo, Message: m})
	}
}

// handlePeerCommands sends commands on behalf of a peer that may not reach their machine, with a request ID of this
// controller, and handles the outcome of commands that a peer sent on behalf of this one.
func (c *Core) handlePeerCommands(from string, m *Message) {
	if m.Commands != nil {
		id := c.nextID()
		c.commands.relayed[id] = relayedCommands{from, m.Commands.ID}
		request := *m.Commands
		request.ID = id
		c.emit(request)
	}
	if m.CommandsResult != nil {
		c.handleRelayedResult(from, *m.CommandsResult)
	}
}

// handlePeerHeartbeats applies the heartbeats and digests that a peer forwards, and answers its requests for
// heartbeats and polls.
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

// applyTo updates the known state of a peer from its health.
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

// handlePeerDeltas applies a peer's allocation deltas to the leader's state and to this controller's copy. Batches that
// a push of the leader already includes are skipped, as pushes may arrive first: applied twice, the end of a task would
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

// handlePeerRequests handles peers' requests to the leader: to scale in machines, and to send a full push.
func (l *leaderState) handlePeerRequests(c *Core, m *Message) {
	if len(m.MachinesToScaleIn)+len(m.SilentMachines) > 0 {
		l.handleScaleInRequest(c, m.MachinesToScaleIn, m.SilentMachines)
	}
	if m.ResendStatePush {
		l.nextFullPushAt = c.now
		l.pushRequested = true
	}
}

// requestPollsByPeer asks a peer, each time the next one, to poll machines whose heartbeats are overdue. If two zones
// are partitioned, machines of one that sent their heartbeats to the other are healthy, but may need longer than the
// silence timeout to find a controller that they reach.
func (l *leaderState) requestPollsByPeer(c *Core, machines []string) {
	peers := c.controllers.membership.ReachableExcept(c.now, "")
	if len(machines) == 0 || len(peers) == 0 {
		return
	}
	l.pollRequestRounds++
	c.controllers.sendToPeers(peers[l.pollRequestRounds%len(peers)], Message{PollMachines: machines})
}
