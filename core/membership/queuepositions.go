package membership

import (
	"slices"
	"time"
)

// positionToleranceMS is the difference in enqueue time beyond which one of two jobs precedes the other.
// Smaller differences are ignored, as reports of other controllers' queues are out of date.
const positionToleranceMS = 3000

// QueuePosition is the position of a job in the queue order: by priority, the smallest first, and then by
// enqueue time.
type QueuePosition struct {
	Priority     int // index of the priority class
	EnqueuedAtMS int64
	Spot         bool // it may use spot machines
}

// clearlyBefore reports whether a job precedes another one, within a priority by more than the tolerance.
func (q QueuePosition) clearlyBefore(other QueuePosition) bool {
	return q.Priority < other.Priority ||
		q.Priority == other.Priority && q.EnqueuedAtMS+positionToleranceMS < other.EnqueuedAtMS
}

// CountCompetitors counts the live controllers whose first waiting job is ahead of a job, and those that are
// tied with it: their first waiting job is neither clearly before nor clearly after it. A controller counts
// as tied if it has no waiting job, is unreachable or can't write, or if spot is set and its first waiting
// job may not use spot machines.
func (m *Members) CountCompetitors(
	now time.Duration,
	isLive func(name string) bool,
	job QueuePosition,
	spot bool,
) (ahead, tied int) {
	for _, name := range m.peerNames {
		peer := m.peers[name]
		switch {
		case !isLive(name):
		case len(peer.QueueHeads) == 0 || !peer.StoreReachable || !m.IsReachable(now, name) ||
			spot && !peer.QueueHeads[0].Spot:
			tied++
		case peer.QueueHeads[0].clearlyBefore(job):
			ahead++
		case !job.clearlyBefore(peer.QueueHeads[0]):
			tied++
		}
	}
	return ahead, tied
}

// HasEarlierWork reports whether a live and reachable controller has waiting work that precedes a job and is
// of a less important priority class than class.
func (m *Members) HasEarlierWork(
	now time.Duration,
	isLive func(name string) bool,
	job QueuePosition,
	class int,
) bool {
	return slices.ContainsFunc(m.peerNames, func(name string) bool {
		peer := m.peers[name]
		return isLive(name) && peer.StoreReachable && m.IsReachable(now, name) &&
			slices.ContainsFunc(peer.QueueHeads, func(head QueuePosition) bool {
				return head.Priority > class && head.clearlyBefore(job)
			})
	})
}
