package core

import (
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"time"
)

// leadershipState is who leads, by which fencing token, and raising that token.
type leadershipState struct {
	fencingToken         uint64
	fencingTokenRevision uint64
	leader               leasedKey
	raiseInFlight        bool
	nextRaiseAt          time.Duration
}

func (c *Core) isLeader() bool {
	return c.ownLease.id != 0 && c.leadership.leader.mark != 0 && c.leadership.leader.Node == c.cfg.Name &&
		c.leadership.leader.LeaseID == c.ownLease.id
}

// canAnswerAgents reports whether this controller may answer workers.
func (c *Core) canAnswerAgents() bool {
	return c.replica.loaded && c.leadership.fencingToken > 0 && (c.holdsLease() || c.isStoreOutage())
}

// raiseFencingToken raises the token, so that orders on their way can't be executed any more once the
// machine has seen it.
func (c *Core) raiseFencingToken() {
	if c.leadership.raiseInFlight || c.ownership.claimInFlight || c.now < c.leadership.nextRaiseAt ||
		!c.holdsLease() ||
		c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	c.leadership.raiseInFlight = true
	c.leadership.nextRaiseAt = c.now + 5*time.Second
	t := wire.Txn{
		Compare: []wire.Compare{{Key: keyFencingToken, Revision: c.leadership.fencingTokenRevision}},
		Then: []wire.Write{
			{Put: keyFencingToken, Value: json.RawMessage(fmt.Sprint(c.leadership.fencingToken + 1))},
		},
	}
	c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		c.leadership.raiseInFlight = false
		c.afterReadBarrier(func(bool) {})
	}})
}
