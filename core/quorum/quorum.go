// Package quorum decides for how long a controller may renew the leases of workers, and when a user
// may be told of a cancellation. The invariant: nobody renews a worker's lease without knowing
// every cancellation that any user was told of, but for at most MaxStale after the telling. Then a
// cancelled task is stopped by an order or dies with its lease, within the time that the platform
// allows.
//
// Two things make a controller's view of the cancellations current as of a moment: a read of the
// state service that was sent then and answered, and the word of a majority of all controllers,
// itself included, that was asked for then. The second is enough because a cancellation is told
// only once a majority holds it: the two majorities share a process that holds it, in that life or
// in one that has read all keys since. The package sends nothing, knows no job, and times come in.
package quorum

import (
	"slices"
	"time"
)

// Config is what a View depends on.
type Config struct {
	Peers          []string      // the other controllers, as configured
	CancelDeadline time.Duration // in which the tasks of a cancelled job must be gone
	AgentLeaseTTL  time.Duration // of a worker, from the sending of the last report that was answered
}

// MaxStaleness is how long after a cancellation was told a controller that does not know of it may
// renew a lease. The lease counts from the sending of the report, which lies before the answer, so
// neither the way of an answer nor a controller that stands still after it has decided takes
// anything of it; clocks that drift apart and the worker's own steps do. 0 or less: the platform's
// times leave none.
func MaxStaleness(cancelIn, lease time.Duration) time.Duration {
	return cancelIn - lease - leaseMargin - time.Duration(maxClockDrift*float64(cancelIn))
}

const (
	leaseMargin   = time.Second // for the steps in which a worker looks at its lease, and for the time of day's error
	maxClockDrift = 0.002       // between two clocks, with room to spare: the platform allows 0.0005 each

	// Least is the smallest MaxStale with which leases can be kept: a read every quarter of it, and
	// answers that take a second.
	MinUsableStaleness = 4 * time.Second
)

// View is the state of one controller.
type View struct {
	cfg           Config
	initialized   bool          // the view was current at some time
	currentAsOf   time.Duration // as of when it was last
	queryNonce    uint64        // of the question that was asked last; 0: none
	querySentAt   time.Duration // when
	repliedPeers  map[string]bool
	heldRevisions map[string]uint64 // revision up to which each of the others has held all cancellations
}

// New is that of a controller that knows nothing yet.
func New(s Config) *View {
	return &View{cfg: s, repliedPeers: map[string]bool{}, heldRevisions: map[string]uint64{}}
}

// ConfirmRead notes that a read of the state service that was sent at a time was answered, and
// shows all changes before it.
func (v *View) ConfirmRead(sent time.Duration) {
	if !v.initialized || sent > v.currentAsOf {
		v.initialized, v.currentAsOf = true, sent
	}
}

// IsFresh reports whether the view is current enough to renew a worker's lease, or to start a task.
func (v *View) IsFresh(now time.Duration) bool {
	return v.initialized && now-v.currentAsOf <= MaxStaleness(v.cfg.CancelDeadline, v.cfg.AgentLeaseTTL)
}

// IsReadDue reports whether a read of the state service is due, for the view to stay current.
func (v *View) IsReadDue(now time.Duration) bool { return v.exceedsAge(now, 4) }

func (v *View) exceedsAge(now time.Duration, part int) bool {
	return !v.initialized ||
		now-v.currentAsOf > max(0, MaxStaleness(v.cfg.CancelDeadline, v.cfg.AgentLeaseTTL))/time.Duration(part)
}

// IsQueryDue reports whether the others are to be asked for their word: reads have brought nothing for a while.
func (v *View) IsQueryDue(now time.Duration) bool {
	return v.exceedsAge(now, 3) && (v.queryNonce == 0 || now >= v.querySentAt+queryRetryInterval)
}

const queryRetryInterval = time.Second

// BeginQuery begins a question to all others. The nonce is one that no other life of this controller has used.
func (v *View) BeginQuery(now time.Duration, nonce uint64) {
	v.queryNonce, v.querySentAt = nonce, now
	clear(v.repliedPeers)
	v.confirmIfMajority()
}

// HandleReply notes that one of the others has answered a question, and that all which it holds is
// held here too now. It must have read all keys. False: it is no answer to the last question.
func (v *View) HandleReply(peer string, nonce uint64) bool {
	if v.queryNonce == 0 || nonce != v.queryNonce || !v.isPeer(peer) {
		return false
	}
	v.repliedPeers[peer] = true
	v.confirmIfMajority()
	return true
}

func (v *View) confirmIfMajority() {
	if v.isMajority(len(v.repliedPeers)) {
		v.ConfirmRead(v.querySentAt)
		v.queryNonce = 0
	}
}

// isMajority reports whether so many others and this controller are a majority of all.
func (v *View) isMajority(others int) bool { return (others+1)*2 > len(v.cfg.Peers)+1 }

func (v *View) isPeer(peer string) bool { return slices.Contains(v.cfg.Peers, peer) }

// RecordHeldRevision notes that one of the others has held all cancellations up to a revision at
// some time. That it has ended since changes nothing: its next life vouches for none before it has
// read all keys, and they show these.
func (v *View) RecordHeldRevision(peer string, revision uint64) {
	if v.isPeer(peer) {
		v.heldRevisions[peer] = max(v.heldRevisions[peer], revision)
	}
}

// CanAcknowledge reports whether a cancellation at a revision, which this controller holds, may be
// told: a majority holds it. by are others that have said so of this one cancellation.
func (v *View) CanAcknowledge(revision uint64, ackedBy map[string]bool) bool {
	n := 0
	for _, p := range v.cfg.Peers {
		if ackedBy[p] || v.heldRevisions[p] >= revision {
			n++
		}
	}
	return v.isMajority(n)
}
