package core

import (
	"dewlift/wire"
	"encoding/json"
	"time"
)

// controllerLease is this controller's own lease in the store and the grant or extension on its way.
type controllerLease struct {
	id            uint64
	expiresAt     time.Duration
	opInFlight    LeaseOp
	requestSentAt time.Duration
}

// leasedKey is a leased key: a shard or the leadership.
type leasedKey struct {
	Node         string        `json:"n"`
	LeaseID      uint64        `json:"t"`
	FencingToken uint64        `json:"b"`
	mark         uint64        `json:"-"`
	since        time.Duration `json:"-"` // absent since
}

// holdsLease reports whether this controller's lease is certain to be in force.
func (c *Core) holdsLease() bool { return c.ownLease.id != 0 && c.now < c.ownLease.expiresAt }

// maintainLease keeps this controller's lease, and gets a new one when it is lost.
func (c *Core) maintainLease() {
	if c.lacksAuditKey() || c.isWatchStalled() { // it must not act: its lease runs out, and others take over
		return
	}
	if c.ownLease.opInFlight != "" || c.now < c.ownLease.requestSentAt+150*time.Millisecond {
		return
	}
	switch {
	case c.ownLease.id == 0:
		c.ownLease.opInFlight = LeaseGrant
	case c.now >= c.ownLease.expiresAt-c.cfg.Cluster.LeaseTTL*2/3:
		c.ownLease.opInFlight = LeaseExtend
	default:
		return
	}
	c.ownLease.requestSentAt = c.now
	c.emit(LeaseRequest{Op: c.ownLease.opInFlight, TTL: c.cfg.Cluster.LeaseTTL, LeaseID: c.ownLease.id})
}

// isWatchStalled reports whether reads of changes have stayed without an answer for a while. Such a
// controller may write and hold its lease, and know neither what it holds nor what others do: one
// that had just begun to lead did nothing for twenty seconds, and nobody else could.
func (c *Core) isWatchStalled() bool {
	return c.storeHealth.firstLostReadAt != 0 && c.now-c.storeHealth.firstLostReadAt > watchStalledAfter
}

const watchStalledAfter = 5 * time.Second // two reads in a row without an answer, and some

func (c *Core) handleLeaseResult(in LeaseResult) {
	if in.Op != c.ownLease.opInFlight {
		return
	}
	c.recordStoreStatus(in.Status)
	c.ownLease.opInFlight = ""
	switch {
	case in.Status == wire.StatusOK && in.Op == LeaseGrant && in.LeaseID != 0:
		c.ownLease.id = in.LeaseID
		c.ownLease.expiresAt = c.ownLease.requestSentAt + c.cfg.Cluster.LeaseTTL
	case in.Status == wire.StatusOK && in.Op == LeaseExtend:
		// Counted from the sending: the service counts from its receipt, later.
		c.ownLease.expiresAt = c.ownLease.requestSentAt + c.cfg.Cluster.LeaseTTL
	case in.Status == wire.StatusNotFound && in.Op == LeaseExtend:
		c.log(LevelInfo, "lease lost", "lease", c.ownLease.id)
		c.ownLease.id = 0
	}
}

func (c *Core) leasedValue(token uint64) json.RawMessage {
	raw, err := json.Marshal(leasedKey{Node: c.cfg.Name, LeaseID: c.ownLease.id, FencingToken: token})
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	return raw
}
