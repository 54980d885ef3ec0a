// Package membership knows which of the other controllers are in reach, by when they were heard of,
// and how one that is not is reached by way of another. It sends nothing, and times come in.
package membership

import (
	"slices"
	"time"
)

// Peer is what is known of another controller.
type Peer struct {
	StoreReachable      bool            // it reached the state service of late
	WriteRate           float64         // changes of the state service a second
	ReachablePeers      []string        // controllers that it reaches
	SnapshotPagesLoaded int             // pages of all keys that it has read; 0: it is not reading them
	QueueHeads          []QueuePosition // of each lane, the first of its jobs that wait for room

	everHeard   bool
	lastHeardAt time.Duration
}

// QueuePosition is the place of a job in the order of work: a smaller priority comes first, then
// the earlier time of day.
type QueuePosition struct {
	Priority     int
	EnqueuedAtMS int64
	Spot         bool // it may use spot machines
}

// clearlyBefore reports whether a job's turn comes clearly before another's.
func (w QueuePosition) clearlyBefore(o QueuePosition) bool {
	return w.Priority < o.Priority || w.Priority == o.Priority && w.EnqueuedAtMS+positionToleranceMS < o.EnqueuedAtMS
}

// by which two jobs' turns must differ: what is known of the others' is older than that it is told
const positionToleranceMS = 3000

// CountCompetitors tells how many of the controllers that are there have work that comes before a
// job, and how many have none that comes clearly before or after it. What may not use spot machines
// is not in the way on one.
func (l *Members) CountCompetitors(
	now time.Duration,
	isLive func(name string) bool,
	job QueuePosition,
	spot bool,
) (before, alike int) {
	for _, n := range l.peerNames {
		p := l.peers[n]
		switch {
		case !isLive(n):
		case len(p.QueueHeads) == 0 || !p.StoreReachable || !l.IsReachable(now, n) || spot && !p.QueueHeads[0].Spot:
			alike++
		case p.QueueHeads[0].clearlyBefore(job):
			before++
		case !job.clearlyBefore(p.QueueHeads[0]):
			alike++
		}
	}
	return before, alike
}

// HasEarlierWork reports whether another controller that is there has work below a lane that comes
// before a job of these.
func (l *Members) HasEarlierWork(
	now time.Duration,
	isLive func(name string) bool,
	job QueuePosition,
	below int,
) bool {
	return slices.ContainsFunc(l.peerNames, func(n string) bool {
		p := l.peers[n]
		return isLive(n) && p.StoreReachable && l.IsReachable(now, n) &&
			slices.ContainsFunc(
				p.QueueHeads,
				func(w QueuePosition) bool { return w.Priority > below && w.clearlyBefore(job) },
			)
	})
}

// Members are the other controllers of a site.
type Members struct {
	peerNames        []string
	unreachableAfter time.Duration // not heard of for so long, one is not in reach
	peers            map[string]*Peer
}

const storeStatusTTL = 2 * time.Second // how long what a controller says of the state service counts

// New knows the others by name; none was heard of yet.
func New(names []string, lost time.Duration) *Members {
	l := &Members{peerNames: names, unreachableAfter: lost, peers: map[string]*Peer{}}
	for _, n := range names {
		l.peers[n] = &Peer{}
	}
	return l
}

// PeerNames are the others, in the order of the settings.
func (l *Members) PeerNames() []string { return l.peerNames }

// Peer is one of them, nil if there is none of that name.
func (l *Members) Peer(name string) *Peer { return l.peers[name] }

// MarkHeard notes that one was heard of.
func (l *Members) MarkHeard(now time.Duration, name string) {
	p := l.peers[name]
	p.everHeard, p.lastHeardAt = true, now
}

// IsReachable reports whether one is in reach.
func (l *Members) IsReachable(now time.Duration, name string) bool {
	p := l.peers[name]
	return p != nil && p.everHeard && now-p.lastHeardAt < l.unreachableAfter
}

// ReachableExcept lists those in reach but one.
func (l *Members) ReachableExcept(now time.Duration, not string) []string {
	var out []string
	for _, n := range l.peerNames {
		if n != not && l.IsReachable(now, n) {
			out = append(out, n)
		}
	}
	return out
}

// RelayFor is by whom one that was known and is not in reach is reached; "": straight. As long as
// none in reach says that it reaches it, all of them are tried in turn: one in the same zone is cut
// off from the other zone as well.
func (l *Members) RelayFor(now time.Duration, to string) string {
	if !l.peers[to].everHeard || l.IsReachable(now, to) {
		return ""
	}
	in := l.ReachableExcept(now, to)
	for _, n := range in {
		if slices.Contains(l.peers[n].ReachablePeers, to) {
			return n
		}
	}
	if len(in) == 0 {
		return ""
	}
	return in[int(now/l.unreachableAfter)%len(in)]
}

// IsStoreOutage reports whether a majority of all controllers, of whom the caller is one that does not reach the state
// service, is in reach and none of it reaches it.
func (l *Members) IsStoreOutage(now time.Duration) bool {
	reached := 1
	for _, p := range l.peers {
		if p.everHeard && now-p.lastHeardAt < storeStatusTTL {
			reached++
			if p.StoreReachable {
				return false
			}
		}
	}
	return reached*2 > len(l.peers)+1
}
