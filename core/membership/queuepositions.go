package membership

import (
	"slices"
	"time"
)

// positionToleranceMS is the difference from which on one of two jobs comes clearly before the other.
// What is known of another controller's queue is older than the message that told it.
const positionToleranceMS = 3000

// QueuePosition is the position of a job in the order of work: a smaller priority comes first, then the
// earlier time of day.
type QueuePosition struct {
	Priority     int // index of the priority class
	EnqueuedAtMS int64
	Spot         bool // the job may use spot machines
}

// clearlyBefore reports whether a job comes before another by more than the tolerance.
func (q QueuePosition) clearlyBefore(other QueuePosition) bool {
	return q.Priority < other.Priority ||
		q.Priority == other.Priority && q.EnqueuedAtMS+positionToleranceMS < other.EnqueuedAtMS
}

// CountCompetitors counts the live controllers whose waiting work comes before a job, and those with
// none that comes clearly before or after it. Work that may not use spot machines does not compete for
// one. A controller that is unreachable or can't write does not compete: it is alike.
func (m *Members) CountCompetitors(
	now time.Duration,
	isLive func(name string) bool,
	job QueuePosition,
	spot bool,
) (before, alike int) {
	for _, name := range m.peerNames {
		peer := m.peers[name]
		switch {
		case !isLive(name):
		case len(peer.QueueHeads) == 0 || !peer.StoreReachable || !m.IsReachable(now, name) ||
			spot && !peer.QueueHeads[0].Spot:
			alike++
		case peer.QueueHeads[0].clearlyBefore(job):
			before++
		case !job.clearlyBefore(peer.QueueHeads[0]):
			alike++
		}
	}
	return before, alike
}

// HasEarlierWork reports whether a live and reachable controller has waiting work of a class below one
// that comes before a job.
func (m *Members) HasEarlierWork(
	now time.Duration,
	isLive func(name string) bool,
	job QueuePosition,
	below int,
) bool {
	return slices.ContainsFunc(m.peerNames, func(name string) bool {
		peer := m.peers[name]
		return isLive(name) && peer.StoreReachable && m.IsReachable(now, name) &&
			slices.ContainsFunc(peer.QueueHeads, func(head QueuePosition) bool {
				return head.Priority > below && head.clearlyBefore(job)
			})
	})
}
