package core

import (
	"dewlift/core/membership"
	"time"
)

// sendToPeers sends a message to a peer, or to all. One that is not reached gets it by way of
// another: two zones may be cut off from each other while a third reaches both, and without
// the other's reports a leader takes live machines for silent.
func (c *Core) sendToPeers(peer string, m Message) {
	for _, to := range c.cfg.Peers {
		if peer != "" && peer != to {
			continue
		}
		if by := c.controllers.membership.RelayFor(c.now, to); by != "" {
			via := m
			via.RelayTo, via.RelayedFrom = to, c.cfg.Name
			c.emit(SendToPeer{Peer: by, Message: via})
			continue
		}
		c.emit(SendToPeer{Peer: to, Message: m})
	}
}

// broadcastHealth tells the others whether the state service is in reach here. A controller that
// has not loaded yet does so too: in an outage, the ones left need a majority's word for it.
func (c *Core) broadcastHealth() {
	if c.now >= c.controllers.nextHealthAt {
		c.controllers.nextHealthAt = c.now + c.cfg.Cluster.HealthInterval
		c.priority.firstWaiting = c.firstWaitingByClass()
		c.emit(
			SendToPeer{
				Message: Message{
					Health: &Health{
						StoreReachable:    c.isStoreReachable(),
						WriteRate:         c.transactions.rateLimit.SampleWriteRate(c.cfg.Cluster.HealthInterval),
						ReachablePeers:    c.controllers.membership.ReachableExcept(c.now, ""),
						SnapshotPagesRead: c.snapshotPagesRead(),
						QueueHeads:        c.priority.firstWaiting,
						CancellationsUpTo: c.cancellationsKnownUpTo(),
					},
				},
			},
		)
		c.updateRateLimit()
	}
}

func (c *Core) broadcastUpdates() {
	if c.now >= c.deltaLog.nextBatchAt {
		c.deltaLog.nextBatchAt = c.now + c.cfg.State.DeltaInterval
		c.sendDeltas()
		c.broadcastHeartbeats()
	}
	if c.now >= c.commands.nextReturnRequestAt {
		c.commands.nextReturnRequestAt = c.now + time.Second
		c.requestReturns()
	}
}

func (c *Core) handlePeerMessage(in PeerMessage) {
	p := c.controllers.membership.Peer(in.Peer)
	if p == nil {
		return
	}
	m := in.Message
	c.controllers.membership.MarkHeard(c.now, in.Peer)
	if m.RelayTo != "" {
		if m.RelayTo != c.cfg.Name {
			if c.controllers.membership.Peer(m.RelayTo) != nil && m.RelayedFrom == in.Peer {
				c.emit(SendToPeer{Peer: m.RelayTo, Message: m})
			}
			return
		}
		if c.controllers.membership.Peer(m.RelayedFrom) == nil {
			return
		}
		in.Peer = m.RelayedFrom
	}
	if m.Commands != nil {
		id := c.nextID()
		c.commands.relayed[id] = relayedCommands{in.Peer, m.Commands.ID}
		o := *m.Commands
		o.ID = id
		c.emit(o)
	}
	if m.CommandsResult != nil {
		c.handleCommandsResult(*m.CommandsResult)
	}
	c.handleQuorumMessage(in.Peer, &m)
	if m.Health != nil {
		c.cancelAcks.quorum.RecordHeldRevision(in.Peer, m.Health.CancellationsUpTo)
		p.StoreReachable, p.WriteRate, p.ReachablePeers, p.SnapshotPagesLoaded = m.Health.StoreReachable, max(
			0,
			m.Health.WriteRate,
		), m.Health.ReachablePeers, m.Health.SnapshotPagesRead
		p.QueueHeads = p.QueueHeads[:0]
		for _, w := range m.Health.QueueHeads {
			p.QueueHeads = append(p.QueueHeads, membership.QueuePosition(w))
		}
	}
	for _, r := range m.Heartbeats {
		if r != nil {
			c.applyHeartbeat(r, false)
		}
	}
	for _, h := range m.HeartbeatDigests {
		c.applyHeartbeatDigest(in.Peer, h)
	}
	if len(m.WantedHeartbeats) > 0 {
		c.sendRequestedHeartbeats(in.Peer, m.WantedHeartbeats)
	}
	c.pollOnBehalf(in.Peer, m.PollMachines)
	if m.AllocationDeltas != nil {
		if c.leaderState != nil {
			c.leaderState.applyDeltas(c, in.Peer, m.AllocationDeltas)
		}
		// A push may have counted it already: it came by another way. Counted twice, an end would
		// show room on a full machine until the row changes.
		if m.AllocationDeltas.Seq > c.clusterCopy.countedBatches[in.Peer] ||
			c.clusterCopy.leaderToken != c.leadership.leader.FencingToken {
			c.deltaLog.retain(
				in.Peer,
				deltaBatch{m.AllocationDeltas.Seq, 0, c.leadership.leader.FencingToken, m.AllocationDeltas.Deltas},
			)
			c.applyPeerDeltas(m.AllocationDeltas.Deltas)
			c.placement.capacityFreed = true
		}
	}
	if len(m.MachinesToReturn)+len(m.SilentMachines) > 0 && c.leaderState != nil {
		c.leaderState.handleReturnRequest(c, m.MachinesToReturn, m.SilentMachines)
	}
	if m.StatePush != nil && c.leaderState == nil {
		c.applyPush(m.StatePush)
	}
	if m.ResendStatePush && c.leaderState != nil {
		c.leaderState.nextFullPushAt = c.now
		c.leaderState.pushRequested = true
	}
}

// requestPollsByPeer has one of the others after the other ask quiet machines for their reports. Two zones
// may be cut off from each other: the machines of one that had reported to the other are well,
// but take longer to find a controller in reach than a silent machine is waited for.
func (l *leaderState) requestPollsByPeer(c *Core, quiet []string) {
	in := c.controllers.membership.ReachableExcept(c.now, "")
	if len(quiet) == 0 || len(in) == 0 {
		return
	}
	l.pollRequestRounds++
	c.sendToPeers(in[l.pollRequestRounds%len(in)], Message{PollMachines: quiet})
}

// controllerSet is the other controllers: their leased keys, which are in reach, what health was told them.
type controllerSet struct {
	membership   *membership.Members
	nodeKeys     map[string]leasedKey
	nodesVersion uint64 // counts how often nodes changed
	nextHealthAt time.Duration
}
