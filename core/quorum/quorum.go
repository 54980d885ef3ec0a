// Package quorum decides for how long a controller may renew the leases of agents, and when a user
// may be answered that a job is cancelled.
//
// The invariant: a controller that lacks a cancellation renews no agent's lease later than
// [MaxStaleness] after a user was answered with that cancellation. A cancelled task is therefore
// stopped by a command, or ends with its agent's lease, within the time that the platform allows.
//
// A controller's view of the cancellations is current as of a moment by either of two proofs: a read
// of the key-value store that was sent at that moment and answered, or replies of a majority of all
// controllers, itself included, to a query sent at that moment. The second suffices because a
// cancellation is acknowledged only once a majority holds it: the two majorities share a controller
// that holds it, in that incarnation or in one that has since loaded a snapshot of the store.
//
// The package owns the [View] of one controller. It sends nothing, knows no jobs, and has no clock:
// times are passed in.
package quorum

import (
	"slices"
	"time"
)

// Config is what a View depends on.
type Config struct {
	Peers          []string      // the other controllers, as configured
	CancelDeadline time.Duration // within which the tasks of a cancelled job must be gone
	AgentLeaseTTL  time.Duration // from the sending of the last heartbeat that was answered
}

const (
	// leaseMargin allows for the interval at which agents check their leases, and for the error of the
	// time of day.
	leaseMargin = time.Second

	// maxClockDrift is the assumed drift between two clocks. The platform allows 0.0005 for each.
	maxClockDrift = 0.002

	// MinUsableStaleness is the smallest MaxStaleness with which leases can be kept: a read is sent
	// after each quarter of it, and answers may take a second.
	MinUsableStaleness = 4 * time.Second

	// readsPerStaleness and queriesPerStaleness say after which part of MaxStaleness without a proof a
	// read or a query is due. Queries come later: they are needed only where reads bring nothing.
	readAgeDivisor  = 4
	queryAgeDivisor = 3

	queryRetryInterval = time.Second // until a query without a majority of replies is sent again
)

// MaxStaleness is how long after a cancellation was acknowledged a controller that lacks it may still
// renew a lease. The lease counts from the sending of the heartbeat, which is before the response,
// so neither the latency of the response nor a pause of the controller after its decision uses up
// any of it; clock drift and the agent's check interval do. With 0 or less, the configured times
// allow no renewal.
func MaxStaleness(cancelDeadline, agentLeaseTTL time.Duration) time.Duration {
	return cancelDeadline - agentLeaseTTL - leaseMargin - time.Duration(maxClockDrift*float64(cancelDeadline))
}

// View is how current one controller's knowledge of cancellations is, and what the others hold.
type View struct {
	cfg           Config
	initialized   bool          // the view has been current at some time
	currentAsOf   time.Duration // the latest moment as of which it was
	queryNonce    uint64        // of the query in progress; 0: none
	querySentAt   time.Duration // when that was sent
	repliedPeers  map[string]bool
	heldRevisions map[string]uint64 // by peer: revision up to which it has held all cancellations
}

// New is the view of a controller that knows nothing yet.
func New(cfg Config) *View {
	return &View{cfg: cfg, repliedPeers: map[string]bool{}, heldRevisions: map[string]uint64{}}
}

// ConfirmRead records that a read of the store that was sent at a time has been answered, and that
// all changes before it are applied.
func (v *View) ConfirmRead(sentAt time.Duration) {
	if !v.initialized || sentAt > v.currentAsOf {
		v.initialized, v.currentAsOf = true, sentAt
	}
}

// IsFresh reports whether the view is current enough to renew an agent's lease, or to start a task.
func (v *View) IsFresh(now time.Duration) bool {
	return v.initialized && now-v.currentAsOf <= v.maxStaleness()
}

// IsReadDue reports whether the store must be read now for the view to stay current.
func (v *View) IsReadDue(now time.Duration) bool { return v.exceedsAge(now, readAgeDivisor) }

// IsQueryDue reports whether the other controllers must be queried, as reads have brought no proof for
// a while.
func (v *View) IsQueryDue(now time.Duration) bool {
	return v.exceedsAge(now, queryAgeDivisor) &&
		(v.queryNonce == 0 || now >= v.querySentAt+queryRetryInterval)
}

// exceedsAge reports whether the view is older than the divisor-th part of the maximal staleness.
func (v *View) exceedsAge(now time.Duration, divisor int) bool {
	return !v.initialized || now-v.currentAsOf > max(0, v.maxStaleness())/time.Duration(divisor)
}

func (v *View) maxStaleness() time.Duration {
	return MaxStaleness(v.cfg.CancelDeadline, v.cfg.AgentLeaseTTL)
}

// BeginQuery begins a query to all other controllers, which replaces one in progress. The nonce must
// be one that no other incarnation of this controller has used: a delayed reply to an earlier query
// proves nothing about this one.
func (v *View) BeginQuery(now time.Duration, nonce uint64) {
	v.queryNonce, v.querySentAt = nonce, now
	clear(v.repliedPeers)
	v.confirmIfMajority()
}

// HandleReply records a peer's reply to a query; the cancellations in the reply must have been applied
// before. Only a peer that has loaded a snapshot of the store may reply. It reports false for a
// reply to any query but the one in progress, or of an unknown peer.
func (v *View) HandleReply(peer string, nonce uint64) bool {
	if v.queryNonce == 0 || nonce != v.queryNonce || !v.isPeer(peer) {
		return false
	}
	v.repliedPeers[peer] = true
	v.confirmIfMajority()
	return true
}

// confirmIfMajority ends the query in progress if a majority has replied: the view is then current as
// of its sending.
func (v *View) confirmIfMajority() {
	if v.isMajority(len(v.repliedPeers)) {
		v.ConfirmRead(v.querySentAt)
		v.queryNonce = 0
	}
}

// isMajority reports whether this controller and that many peers are a majority of all controllers.
func (v *View) isMajority(peers int) bool { return (peers+1)*2 > len(v.cfg.Peers)+1 }

// isPeer reports whether a name is that of a configured peer: others don't count in majorities.
func (v *View) isPeer(name string) bool { return slices.Contains(v.cfg.Peers, name) }

// RecordHeldRevision records that a peer has held all cancellations up to a revision at some time. It
// counts even if the peer has restarted since: its next incarnation replies only once it has loaded
// a snapshot, which contains these cancellations.
func (v *View) RecordHeldRevision(peer string, revision uint64) {
	if v.isPeer(peer) {
		v.heldRevisions[peer] = max(v.heldRevisions[peer], revision)
	}
}

// CanAcknowledge reports whether a majority holds a cancellation that was stored at a revision, so that
// users may be answered with it. This controller must hold it; ackedBy are peers that have
// acknowledged holding this one cancellation.
func (v *View) CanAcknowledge(revision uint64, ackedBy map[string]bool) bool {
	holders := 0
	for _, peer := range v.cfg.Peers {
		if ackedBy[peer] || v.heldRevisions[peer] >= revision {
			holders++
		}
	}
	return v.isMajority(holders)
}
