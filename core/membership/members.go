// Package membership decides which other controllers are reachable, which of them relays messages to
// one that is not, and whose waiting work comes before a job of this controller. It owns what is known
// of each controller. It sends nothing and has no clock: the caller tells what was received and when.
package membership

import (
	"slices"
	"time"
)

// storeStatusTTL is how long a controller's word on whether it reaches the store counts.
const storeStatusTTL = 2 * time.Second

// Peer is what is known of another controller, by its own word.
type Peer struct {
	StoreReachable      bool            // it reached the store recently
	WriteRate           float64         // its writes to the store per second
	ReachablePeers      []string        // controllers that it can reach
	SnapshotPagesLoaded int             // pages of the store that it has loaded; 0: it is not loading
	QueueHeads          []QueuePosition // by priority class, the first of its jobs that wait for capacity

	everSeen   bool
	lastSeenAt time.Duration
}

// Members is the other controllers of a site.
type Members struct {
	peerNames        []string         // in the order of the settings
	unreachableAfter time.Duration    // a controller not heard of for so long is unreachable
	peers            map[string]*Peer // by name
}

// New returns the members of these names; none was heard of yet.
func New(names []string, unreachableAfter time.Duration) *Members {
	members := &Members{peerNames: names, unreachableAfter: unreachableAfter, peers: map[string]*Peer{}}
	for _, name := range names {
		members.peers[name] = &Peer{}
	}
	return members
}

// PeerNames lists the other controllers in the order of the settings.
func (m *Members) PeerNames() []string { return m.peerNames }

// Peer returns a controller, or nil if there is none of that name.
func (m *Members) Peer(name string) *Peer { return m.peers[name] }

// MarkSeen records that a controller was heard of. The name must be one of PeerNames.
func (m *Members) MarkSeen(now time.Duration, name string) {
	peer := m.peers[name]
	peer.everSeen, peer.lastSeenAt = true, now
}

// IsReachable reports whether a controller was heard of recently.
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

// RelayFor is the controller that relays messages to one that was heard of once and is unreachable now;
// "": send directly. While no reachable controller says that it reaches the target, all of them are
// tried in turn: one in the same zone is cut off from the other zone as well.
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

// IsStoreOutage reports whether a majority of all controllers agrees that the store is down: the caller,
// who must not reach it, and others that were heard of recently, none of which reaches it.
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
