// Package membership decides which other controllers are reachable, which of them relays messages to an
// unreachable one, and whose waiting work precedes a job of this controller. It owns the known state of
// each controller. It sends nothing and has no clock: the caller passes in what was received, and when.
package membership

import (
	"slices"
	"time"
)

// storeStatusTTL is how long a controller's report on whether it reaches the store is valid.
const storeStatusTTL = 2 * time.Second

// Peer is the state of another controller, as it last reported it.
type Peer struct {
	StoreReachable      bool            // it reached the store recently
	WriteRate           float64         // its writes to the store per second
	ReachablePeers      []string        // controllers that it can reach
	SnapshotPagesLoaded int             // pages of its snapshot load so far; 0: none is in progress
	QueueHeads          []QueuePosition // by priority class: the first of its jobs that wait for capacity

	everSeen   bool
	lastSeenAt time.Duration
}

// Members tracks the other controllers of a cluster.
type Members struct {
	peerNames        []string         // in the order of the settings
	unreachableAfter time.Duration    // how long after its last message a controller counts as unreachable
	peers            map[string]*Peer // by name
}

// New returns the members with these names, none of which has been seen yet.
func New(names []string, unreachableAfter time.Duration) *Members {
	members := &Members{peerNames: names, unreachableAfter: unreachableAfter, peers: map[string]*Peer{}}
	for _, name := range names {
		members.peers[name] = &Peer{}
	}
	return members
}

// PeerNames lists the other controllers in the order of the settings.
func (m *Members) PeerNames() []string { return m.peerNames }

// Peer returns the controller of a name, or nil if there is none.
func (m *Members) Peer(name string) *Peer { return m.peers[name] }

// MarkSeen records that a message of a controller has arrived. The name must be one of PeerNames.
func (m *Members) MarkSeen(now time.Duration, name string) {
	peer := m.peers[name]
	peer.everSeen, peer.lastSeenAt = true, now
}

// IsReachable reports whether a message of a controller has arrived recently.
func (m *Members) IsReachable(now time.Duration, name string) bool {
	peer := m.peers[name]
	return peer != nil && peer.everSeen && now-peer.lastSeenAt < m.unreachableAfter
}

// ReachableExcept lists the reachable controllers except one, in the order of the settings.
func (m *Members) ReachableExcept(now time.Duration, except string) (reachable []string) {
	for _, name := range m.peerNames {
		if name != except && m.IsReachable(now, name) {
			reachable = append(reachable, name)
		}
	}
	return reachable
}

// RelayFor returns the controller that relays messages to a target that was reachable once and is not now,
// or "" if they are to be sent directly. If no reachable controller reports that it reaches the target, all
// of them are tried in turn: one in the same zone as this controller is probably also cut off from it.
func (m *Members) RelayFor(now time.Duration, target string) string {
	if !m.peers[target].everSeen || m.IsReachable(now, target) {
		return ""
	}
	reachable := m.ReachableExcept(now, target)
	for _, name := range reachable {
		if slices.Contains(m.peers[name].ReachablePeers, target) {
			return name
		}
	}
	if len(reachable) == 0 {
		return ""
	}
	return reachable[int(now/m.unreachableAfter)%len(reachable)]
}

// IsStoreOutage reports whether a majority of all controllers agrees that the store is down. The caller
// is counted, and calls this only if it does not reach the store itself. The others count by their recent
// reports, none of which may say that the store is reachable.
func (m *Members) IsStoreOutage(now time.Duration) bool {
	agreeing := 1 // the caller
	for _, peer := range m.peers {
		if !peer.everSeen || now-peer.lastSeenAt >= storeStatusTTL {
			continue
		}
		if peer.StoreReachable {
			return false
		}
		agreeing++
	}
	return agreeing*2 > len(m.peers)+1
}
