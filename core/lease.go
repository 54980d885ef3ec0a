package core

import (
	"dewlift/wire"
	"encoding/json"
	"time"
)

const (
	// leaseRequestInterval is the least time between two requests about the lease, also after a failure.
	leaseRequestInterval = 150 * time.Millisecond
	// watchStallTimeout is how long reads may stay unanswered before the lease is given up: two reads in a
	// row without an answer, and a margin.
	watchStallTimeout = 5 * time.Second
)

// controllerLease is this controller's own lease in the store and the request about it in flight.
type controllerLease struct {
	id            uint64        // 0: there is none
	expiresAt     time.Duration // it is certainly in force until then
	opInFlight    LeaseOp       // empty: no request is in flight
	requestSentAt time.Duration // when the last request about it was sent
}

// leasedKey is the stored value of a key that is bound to a controller's lease: a controller's
// registration, a shard or the leadership. The store deletes it when the lease expires.
type leasedKey struct {
	Node         string        `json:"n"` // the controller that holds it
	LeaseID      uint64        `json:"t"`
	FencingToken uint64        `json:"b"` // token that it was acquired with; 0 for a registration
	modRevision  uint64        `json:"-"` // modification revision in the store; 0: the key is absent
	absentSince  time.Duration `json:"-"` // since when it has been absent, if it is
}

// holdsLease reports whether this controller's lease is certain to be in force. Without it, others may
// hold its shards and the leadership by now.
func (c *Core) holdsLease() bool { return c.ownLease.id != 0 && c.now < c.ownLease.expiresAt }

// maintainLease extends this controller's lease in time, and requests a new one when it is lost. A controller
// that must not act lets it expire, so that others take over.
func (c *Core) maintainLease() {
	if c.auditLog.lacksKey() || c.storeHealth.isWatchStalled() {
		return
	}
	if c.ownLease.opInFlight != "" || c.now < c.ownLease.requestSentAt+leaseRequestInterval {
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

// handleLeaseResult takes the outcome of a grant or an extension. The expiry counts from when the request was
// sent: the store counts from when it received it, which is later.
func (c *Core) handleLeaseResult(in LeaseResult) {
	if in.Op != c.ownLease.opInFlight {
		return
	}
	c.storeHealth.recordStatus(in.Status)
	c.ownLease.opInFlight = ""
	switch {
	case in.Status == wire.StatusOK && in.Op == LeaseGrant && in.LeaseID != 0:
		c.ownLease.id = in.LeaseID
		c.ownLease.expiresAt = c.ownLease.requestSentAt + c.cfg.Cluster.LeaseTTL
	case in.Status == wire.StatusOK && in.Op == LeaseExtend:
		c.ownLease.expiresAt = c.ownLease.requestSentAt + c.cfg.Cluster.LeaseTTL
	case in.Status == wire.StatusNotFound && in.Op == LeaseExtend:
		c.log(LevelInfo, "lease lost", "lease", c.ownLease.id)
		c.ownLease.id = 0
	}
}

// leasedValue encodes the value of a key that is bound to this controller's lease.
func (c *Core) leasedValue(token uint64) json.RawMessage {
	raw, err := json.Marshal(leasedKey{Node: c.cfg.Name, LeaseID: c.ownLease.id, FencingToken: token})
	if err != nil {
		panic(err) // cannot fail: a struct of strings and numbers
	}
	return raw
}
