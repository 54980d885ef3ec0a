package core

import (
	"encoding/json"
	"fmt"
	"time"

	"dewlift/wire"
)

// tokenRaiseInterval is the minimum time between two increments of the fencing token outside of claims.
const tokenRaiseInterval = 5 * time.Second

// leadershipState holds the leader and the fencing token as in the replica, and the state of this
// controller's increments of the token.
type leadershipState struct {
	*environment
	lease *controllerLease

	fencingToken         uint64        // highest token in the store; 0: not known
	fencingTokenRevision uint64        // modification revision of its key
	claimToken           uint64        // highest token of a claim of the leadership or a shard; at most fencingToken
	leader               leasedKey     // the leadership's key
	raiseInFlight        bool          // an increment is in flight
	nextRaiseAt          time.Duration // earliest time of the next increment
}

// isHeld reports whether the leadership is bound to this controller's current lease. It does not check
// that the lease is still valid; see controllerLease.isHeld.
func (s *leadershipState) isHeld() bool {
	return s.lease.id != 0 && s.leader.modRevision != 0 && s.leader.Holder == s.cfg.Name &&
		s.leader.LeaseID == s.lease.id
}

// canAnswerAgents reports whether this controller may answer heartbeats: its replica is loaded and it holds its
// lease, or the store is down for all controllers.
func (c *Core) canAnswerAgents() bool {
	return c.replica.loaded && c.leadership.fencingToken > 0 && (c.ownLease.isHeld() || c.isStoreOutage())
}

// recordClaim records the fencing token of a claim.
func (s *leadershipState) recordClaim(claimed leasedKey) {
	s.claimToken = max(s.claimToken, claimed.FencingToken)
}

// responseToken returns the fencing token of the response to a heartbeat. An agent must soon learn the token of a
// claim, and one that is needed to prove the end of a cancelled task. Another increment reaches it with the clears that
// need it: each token that an agent learns from a response costs a heartbeat more.
func (c *Core) responseToken(m *machine, heartbeat *wire.Heartbeat) uint64 {
	known := heartbeat.FencingToken
	if known == 0 || known < c.leadership.claimToken || c.hasFinalAssignment(m) {
		return c.leadership.fencingToken
	}
	return known
}

// hasFinalAssignment reports whether a task of a job that is done or cancelled is still assigned to a machine.
func (c *Core) hasFinalAssignment(m *machine) bool {
	for task := range m.allocation.assignments {
		if c.jobs[task.jobIndex].isFinal() {
			return true
		}
	}
	return false
}

// raiseFencingToken increments the fencing token. A machine that has seen the new token rejects commands
// with an older one that are still in flight to it. why is logged.
func (c *Core) raiseFencingToken(why string) {
	if c.leadership.raiseInFlight || c.ownership.claimInFlight || c.now < c.leadership.nextRaiseAt ||
		!c.ownLease.isHeld() || c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	c.leadership.raiseInFlight = true
	c.leadership.nextRaiseAt = c.now + tokenRaiseInterval
	c.fencing.TokenRaises++
	c.log(LevelInfo, "raising fencing token", "token", c.leadership.fencingToken+1, "why", why)
	txn := wire.Txn{
		Compare: []wire.Compare{{Key: keyFencingToken, Revision: c.leadership.fencingTokenRevision}},
		Then: []wire.Write{
			{Put: keyFencingToken, Value: json.RawMessage(fmt.Sprint(c.leadership.fencingToken + 1))},
		},
	}
	c.transactions.commit(txn, &pendingTxn{onDone: func(_ wire.Status, _ wire.TxnResponse) {
		c.leadership.raiseInFlight = false
		c.replica.afterReadBarrier(func(bool) {})
	}})
}
