// Package quorum decides how long a controller may renew the leases of agents, and when a cancellation
// may be acknowledged to users.
//
// Its invariant: a controller that lacks a cancellation renews no agent's lease later than [MaxStaleness]
// after that cancellation was acknowledged to a user. So every cancelled task is stopped by a command, or
// ends with its agent's lease, within the time that the platform allows.
//
// A controller's view of the cancellations is current as of a given time if either of two proofs exists:
// a read of the key-value store sent at that time was answered, or a majority of all controllers, itself
// included, replied to a query sent at that time. The second proof suffices because a cancellation is
// acknowledged only once a majority holds it: the two majorities share a controller that holds it, in the
// same incarnation or in one that has since loaded a snapshot of the store.
//
// While the list of controllers in the settings changes, controllers run with different lists, and a majority of one
// need not meet a majority of another. So the lists in use are stored, and a majority counts only if it is one of the
// own list and of each other list in use. A controller whose own list is not stored yet has no majority at all: the
// others do not know that they must meet its majorities.
//
// The package owns the [View] of one controller. It sends nothing, knows no jobs, and has no clock:
// times are passed in.
package quorum

import (
	"slices"
	"time"
)

// Config is the configuration of a View.
type Config struct {
	Name           string        // of this controller
	Peers          []string      // the other controllers, as configured
	CancelDeadline time.Duration // from a cancellation until all tasks of the job must be gone
	AgentLeaseTTL  time.Duration // counted from the sending of the last heartbeat that was answered
}

const (
	// leaseMargin allows for the interval at which agents check their leases, and for the error of the
	// wall clock.
	leaseMargin = time.Second

	// maxClockDrift is the assumed relative drift between two clocks. The platform allows 0.0005 for each.
	maxClockDrift = 0.002

	// MinUsableStaleness is the smallest MaxStaleness with which agents' leases can be renewed in time: a
	// freshness read is sent after each quarter of it, and its answer may take a second.
	MinUsableStaleness = 4 * time.Second

	// readAgeDivisor and queryAgeDivisor give the part of MaxStaleness after which, without a new proof, a
	// freshness read or a query is due. Queries come later, as they are needed only if reads fail.
	readAgeDivisor  = 4
	queryAgeDivisor = 3

	queryRetryInterval = time.Second // after which a query without a majority of replies is repeated
)

// MaxStaleness returns how long after a cancellation was acknowledged a controller that lacks it may still
// renew a lease. The lease is counted from the sending of the heartbeat, which precedes the response, so
// neither the latency of the response nor a pause of the controller after its decision needs an allowance;
// clock drift and the agents' check interval do. If the result is 0 or less, the configured times allow no
// renewal.
func MaxStaleness(cancelDeadline, agentLeaseTTL time.Duration) time.Duration {
	return cancelDeadline - agentLeaseTTL - leaseMargin - time.Duration(maxClockDrift*float64(cancelDeadline))
}

// View tracks how current one controller's view of the cancellations is, and which cancellations its peers hold.
type View struct {
	cfg           Config
	ownListStored bool          // the others can know this controller's list
	lists         [][]string    // the lists of controllers in use, the own one first
	initialized   bool          // the view has been current as of some time
	currentAsOf   time.Duration // the latest time as of which it has been current
	queryNonce    uint64        // nonce of the query in progress; 0: none
	querySentAt   time.Duration // when the query in progress was sent
	repliedPeers  map[string]bool
	heldRevisions map[string]uint64 // by peer: revision up to which it has held all cancellations
}

// New returns the view of a controller that has no proof yet.
func New(cfg Config) *View {
	view := &View{cfg: cfg, repliedPeers: map[string]bool{}, heldRevisions: map[string]uint64{}}
	view.SetMemberLists(false, nil)
	return view
}

// SetMemberLists sets the lists of controllers with which the other controllers run, as the store has them.
// ownListStored tells whether the store has this controller's present list.
func (v *View) SetMemberLists(ownListStored bool, others [][]string) {
	own := append([]string{v.cfg.Name}, v.cfg.Peers...)
	v.ownListStored, v.lists = ownListStored, append([][]string{own}, others...)
}

// ConfirmRead records that a read of the store sent at sentAt has been answered, and that all changes
// before it have been applied.
func (v *View) ConfirmRead(sentAt time.Duration) {
	if !v.initialized || sentAt > v.currentAsOf {
		v.initialized, v.currentAsOf = true, sentAt
	}
}

// IsFresh reports whether the view is current enough to renew an agent's lease, or to start a task.
func (v *View) IsFresh(now time.Duration) bool {
	return v.initialized && now-v.currentAsOf <= v.maxStaleness()
}

// IsReadDue reports whether a freshness read of the store must be sent now for the view to stay current.
func (v *View) IsReadDue(now time.Duration) bool { return v.exceedsAge(now, readAgeDivisor) }

// IsQueryDue reports whether the other controllers must be queried, because reads have given no proof for
// too long.
func (v *View) IsQueryDue(now time.Duration) bool {
	return v.exceedsAge(now, queryAgeDivisor) &&
		(v.queryNonce == 0 || now >= v.querySentAt+queryRetryInterval)
}

// exceedsAge reports whether the view is older than the maximum staleness divided by divisor.
func (v *View) exceedsAge(now time.Duration, divisor int) bool {
	return !v.initialized || now-v.currentAsOf > max(0, v.maxStaleness())/time.Duration(divisor)
}

func (v *View) maxStaleness() time.Duration {
	return MaxStaleness(v.cfg.CancelDeadline, v.cfg.AgentLeaseTTL)
}

// BeginQuery begins a query to all other controllers, which replaces the one in progress. No incarnation of
// this controller may have used the nonce before: a delayed reply to an earlier query must not count for
// this one.
func (v *View) BeginQuery(now time.Duration, nonce uint64) {
	v.queryNonce, v.querySentAt = nonce, now
	clear(v.repliedPeers)
	v.confirmIfMajority()
}

// HandleReply records a peer's reply to a query. The caller must have applied the cancellations in the reply.
// Only a peer that has loaded a snapshot of the store may reply. HandleReply returns false for a reply to
// another query than the one in progress, or of an unknown peer.
func (v *View) HandleReply(peer string, nonce uint64) bool {
	if v.queryNonce == 0 || nonce != v.queryNonce || !v.isPeer(peer) {
		return false
	}
	v.repliedPeers[peer] = true
	v.confirmIfMajority()
	return true
}

// confirmIfMajority ends the query in progress once a majority has replied: the view is then current as
// of the time when the query was sent.
func (v *View) confirmIfMajority() {
	if v.isMajority(func(peer string) bool { return v.repliedPeers[peer] }) {
		v.ConfirmRead(v.querySentAt)
		v.queryNonce = 0
	}
}

// isMajority reports whether this controller and the peers for which agrees is true are a majority of each list of
// controllers in use.
func (v *View) isMajority(agrees func(peer string) bool) bool {
	if !v.ownListStored {
		return false
	}
	for _, list := range v.lists {
		count := 0
		for _, name := range list {
			if name == v.cfg.Name || agrees(name) {
				count++
			}
		}
		if count*2 <= len(list) {
			return false
		}
	}
	return true
}

// isPeer reports whether a name is that of a configured peer. Others don't count towards a majority.
func (v *View) isPeer(name string) bool { return slices.Contains(v.cfg.Peers, name) }

// RecordHeldRevision records that a peer has held all cancellations up to a revision at some time. This
// still counts after a restart of the peer: its next incarnation replies only once it has loaded a snapshot,
// which contains these cancellations.
func (v *View) RecordHeldRevision(peer string, revision uint64) {
	if v.isPeer(peer) {
		v.heldRevisions[peer] = max(v.heldRevisions[peer], revision)
	}
}

// CanAcknowledge reports whether a majority holds a cancellation that was stored at a revision, so that it
// may be acknowledged to users. This controller must hold it. ackedBy are the peers that have confirmed that
// they hold this cancellation.
func (v *View) CanAcknowledge(revision uint64, ackedBy map[string]bool) bool {
	return v.isMajority(func(peer string) bool { return ackedBy[peer] || v.heldRevisions[peer] >= revision })
}
