package core

import (
	"encoding/json"
	"time"

	"dewlift/wire"
)

const (
	// leaseRequestInterval is the minimum time between two lease requests, also after a failure.
	leaseRequestInterval = 150 * time.Millisecond
	// watchStallTimeout is how long reads may stay unanswered before this controller stops extending its
	// lease: two unanswered reads in a row and a margin.
	watchStallTimeout = 5 * time.Second
)

// controllerLease is this controller's own lease in the store, and the lease request in flight.
type controllerLease struct {
	*environment

	id            uint64        // 0: there is no lease
	expiresAt     time.Duration // until when it is certainly valid
	opInFlight    LeaseOp       // empty: no request is in flight
	requestSentAt time.Duration // when the last lease request was sent
}

// leasedKey is the stored value of a key that is bound to a controller's lease: a controller's
// registration, a shard or the leadership. The store deletes it when the lease expires.
type leasedKey struct {
	Holder       string        `json:"n"` // the controller that holds it
	LeaseID      uint64        `json:"t"`
	FencingToken uint64        `json:"b"` // token with which it was acquired; 0 for a registration
	modRevision  uint64        `json:"-"` // modification revision in the store; 0: the key is absent
	absentSince  time.Duration `json:"-"` // if the key is absent: since when
}

// isHeld reports whether this controller's lease is certainly valid. Otherwise other controllers may
// already hold its shards and the leadership.
func (l *controllerLease) isHeld() bool { return l.id != 0 && l.now < l.expiresAt }

// maintain extends this controller's lease before it expires, and requests a new one if there is none.
func (l *controllerLease) maintain() {
	if l.opInFlight != "" || l.now < l.requestSentAt+leaseRequestInterval {
		return
	}
	switch {
	case l.id == 0:
		l.opInFlight = LeaseGrant
	case l.now >= l.expiresAt-l.cfg.Cluster.LeaseTTL*2/3:
		l.opInFlight = LeaseExtend
	default:
		return
	}
	l.requestSentAt = l.now
	l.emit(LeaseRequest{Op: l.opInFlight, TTL: l.cfg.Cluster.LeaseTTL, LeaseID: l.id})
}

// mayKeepLease reports whether this controller may extend its lease or request one. Without the audit key, or
// when its watch is stalled, it must not act: it lets the lease expire, so that other controllers take over.
func (c *Core) mayKeepLease() bool { return !c.auditLog.lacksKey() && !c.storeHealth.isWatchStalled() }

// handleLeaseResult handles the outcome of the lease request in flight. Outcomes of earlier requests are
// ignored.
func (c *Core) handleLeaseResult(in LeaseResult) {
	if in.Op == c.ownLease.opInFlight {
		c.storeHealth.recordStatus(in.Status)
		c.ownLease.applyResult(in)
	}
}

// applyResult applies the outcome of a grant or an extension. The expiry is counted from the sending of the
// request, which is before the store's count begins.
func (l *controllerLease) applyResult(in LeaseResult) {
	l.opInFlight = ""
	switch {
	case in.Status == wire.StatusOK && in.Op == LeaseGrant && in.LeaseID != 0:
		l.id = in.LeaseID
		l.expiresAt = l.requestSentAt + l.cfg.Cluster.LeaseTTL
	case in.Status == wire.StatusOK && in.Op == LeaseExtend:
		l.expiresAt = l.requestSentAt + l.cfg.Cluster.LeaseTTL
	case in.Status == wire.StatusNotFound && in.Op == LeaseExtend:
		l.log(LevelInfo, "lease lost", "lease", l.id)
		l.id = 0
	}
}

// leasedValue encodes the value of a key that is bound to this controller's lease.
func (l *controllerLease) leasedValue(token uint64) json.RawMessage {
	raw, err := json.Marshal(leasedKey{Holder: l.cfg.Name, LeaseID: l.id, FencingToken: token})
	if err != nil {
		panic(err) // cannot fail: a struct of strings and numbers
	}
	return raw
}
