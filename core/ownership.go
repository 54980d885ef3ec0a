package core

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"dewlift/core/auditlog"
	"dewlift/wire"
)

const (
	// ownershipSettleTime is how long a controller waits after its start before it claims absent keys, so
	// that controllers started together have registered and the shards are spread over all of them.
	ownershipSettleTime = 700 * time.Millisecond
	// claimDelayPerRank staggers the claims of an absent key by rendezvous rank, so that the preferred
	// controller writes first and the others rarely conflict with it.
	claimDelayPerRank = 300 * time.Millisecond
	// claimDelayOverShare is added if this controller already has its fair share of the shards.
	claimDelayOverShare = 700 * time.Millisecond
	// claimDelayNotFewest is added if another controller has fewer shards: the shard was probably
	// released for that controller.
	claimDelayNotFewest = 400 * time.Millisecond
	// handoverInterval is the minimum time between two releases of a shard by this controller.
	handoverInterval = 1500 * time.Millisecond
	// claimInterval is the minimum time between two ownership transactions.
	claimInterval = 100 * time.Millisecond
	// claimRetryJitter is the random part of the back-off after an ownership transaction that failed.
	claimRetryJitter = 200 * time.Millisecond
	// opsPerClaim is the maximum number of operations that another claim adds to a transaction: the fencing
	// token and the claimed key.
	opsPerClaim = 2
)

// shardOwnership holds the owner of each shard, and the state of this controller's claims and handovers.
type shardOwnership struct {
	*environment
	lease *controllerLease

	shards         []leasedKey
	claimInFlight  bool          // an ownership transaction is in flight; there is at most one
	nextClaimAt    time.Duration // earliest time of the next ownership transaction
	nextHandoverAt time.Duration // earliest time of the next release of a shard
}

// shardKey returns the store key of a shard.
func shardKey(n int) string { return fmt.Sprintf("%s%02d", keyShard, n) }

// shardOfKey returns the shard with a store key, or -1 if the key is not that of a shard.
func (o *shardOwnership) shardOfKey(key string) int {
	for i := range o.shards {
		if shardKey(i) == key {
			return i
		}
	}
	return -1
}

// shardOfID returns the shard to which a job ID hashes.
func (o *shardOwnership) shardOfID(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(o.shards)))
}

// countByController counts the shards of each controller.
func (o *shardOwnership) countByController() map[string]int {
	counts := map[string]int{}
	for i := range o.shards {
		if shard := &o.shards[i]; shard.modRevision != 0 {
			counts[shard.Holder]++
		}
	}
	return counts
}

// shardOf returns the shard in a job's record or, if it has no record, the shard to which its ID hashes.
func (o *shardOwnership) shardOf(j *job) int {
	if j.record != nil {
		return j.record.Shard
	}
	return o.shardOfID(j.id)
}

// ownsShard reports whether a shard is bound to this controller's current lease. It does not check that
// the lease is still valid; see controllerLease.isHeld.
func (o *shardOwnership) ownsShard(n int) bool {
	if n < 0 || n >= len(o.shards) || o.lease.id == 0 {
		return false
	}
	shard := &o.shards[n]
	return shard.LeaseID == o.lease.id && shard.modRevision != 0 && shard.Holder == o.cfg.Name
}

// ownsJob reports whether this controller holds the shard of a job.
func (o *shardOwnership) ownsJob(j *job) bool { return o.ownsShard(o.shardOf(j)) }

// acquireOwnership claims absent shards and the leadership, and releases surplus shards. All claims of one
// attempt are made by one transaction, which also increments the fencing token.
func (c *Core) acquireOwnership() {
	if c.auditLog.isNotReady() || !c.ownLease.isHeld() ||
		c.ownership.claimInFlight || c.now < c.ownership.nextClaimAt ||
		c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	attempt := c.newOwnershipAttempt()
	attempt.registerController()
	attempt.chooseShards()
	attempt.chooseLeadership()
	if attempt.claimsAny() {
		attempt.addClaims()
	} else {
		attempt.releaseSurplus()
	}
	attempt.commit()
}

// ownershipAttempt is one call of acquireOwnership: the initial distribution of the shards, the keys chosen
// to be claimed, and the transaction built from them.
type ownershipAttempt struct {
	core *Core

	live            []string // live controllers, in name order
	registered      bool     // the replica has a registration of this controller, with whichever lease
	settled         bool     // absent keys may be claimed, see ownershipSettleTime
	fairShare       int      // shards per live controller, rounded up
	ownedShards     int      // shards held under this controller's name, with whichever lease
	fewestShards    int      // shards of the controller with the fewest
	mostShards      int      // shards of the controller with the most
	registrationOps int      // operations that register this controller, 0 or 1
	shards          []int    // shards to claim
	leadership      bool     // the leadership is to be claimed
	txn             wire.Txn // the transaction to send
	onAuditOutcome  func(wire.Status)
}

// newOwnershipAttempt determines the live controllers and the distribution of the shards among them.
func (c *Core) newOwnershipAttempt() ownershipAttempt {
	_, registered := c.controllers.registrations[c.cfg.Name]
	live := c.controllers.liveNames()
	shardCount := len(c.ownership.shards)
	counts := c.ownership.countByController()
	attempt := ownershipAttempt{
		core:           c,
		live:           live,
		registered:     registered,
		settled:        registered && c.now-c.startedAt > ownershipSettleTime,
		fairShare:      (shardCount + len(live) - 1) / len(live),
		ownedShards:    counts[c.cfg.Name],
		fewestShards:   shardCount,
		onAuditOutcome: func(wire.Status) {},
	}
	for _, name := range live {
		attempt.fewestShards = min(attempt.fewestShards, counts[name])
		attempt.mostShards = max(attempt.mostShards, counts[name])
	}
	return attempt
}

// registerController writes this controller's registration if it is absent or bound to an earlier lease.
func (a *ownershipAttempt) registerController() {
	c := a.core
	registration := c.controllers.registrations[c.cfg.Name]
	if a.registered && registration.LeaseID == c.ownLease.id {
		return
	}
	a.registrationOps = 1
	a.addLeasedPut(keyRegistration+c.cfg.Name, registration.modRevision, 0)
}

// addLeasedPut adds the write of a key that is bound to this controller's lease, and a compare of the key's
// revision.
func (a *ownershipAttempt) addLeasedPut(key string, revision, token uint64) {
	c := a.core
	a.txn.Compare = append(a.txn.Compare, wire.Compare{Key: key, Revision: revision})
	a.txn.Then = append(a.txn.Then, wire.Write{Put: key, Value: c.ownLease.leasedValue(token), LeaseID: c.ownLease.id})
}

// hasSpace reports whether another claim fits into the transaction.
func (a *ownershipAttempt) hasSpace() bool {
	c := a.core
	return a.registrationOps+len(a.shards)+opsPerClaim+c.auditLog.opsPerTxn() <= c.cfg.Store.MaxTxnOps
}

// chooseShards chooses the shards to claim.
func (a *ownershipAttempt) chooseShards() {
	for i := range a.core.ownership.shards {
		if !a.core.ownership.ownsShard(i) && a.hasSpace() && a.mayClaimShard(i) {
			a.shards = append(a.shards, i)
		}
	}
}

// mayClaimShard reports whether a shard may be claimed now. A shard held by an earlier incarnation of this
// controller may be claimed at once, an absent one after a delay that grows with this controller's rank and
// number of shards.
func (a *ownershipAttempt) mayClaimShard(n int) bool {
	c := a.core
	shard := &c.ownership.shards[n]
	if shard.modRevision != 0 {
		return shard.Holder == c.cfg.Name
	}
	if !a.settled {
		return false
	}
	wait := a.rankDelay(shardKey(n))
	owned := a.ownedShards + len(a.shards)
	if owned >= a.fairShare {
		wait += claimDelayOverShare
	}
	if owned > a.fewestShards {
		wait += claimDelayNotFewest
	}
	return c.now-shard.absentSince >= wait
}

// rankDelay returns how long this controller leaves an absent key to the controllers of better rank.
func (a *ownershipAttempt) rankDelay(key string) time.Duration {
	return time.Duration(a.core.controllers.rendezvousRank(key, a.live)) * claimDelayPerRank
}

// chooseLeadership decides whether to claim the leadership: if its key has been absent for long enough, or is
// bound to an earlier lease of this controller.
func (a *ownershipAttempt) chooseLeadership() {
	c := a.core
	leader := &c.leadership.leader
	var due bool
	if leader.modRevision == 0 {
		due = a.settled && c.now-leader.absentSince >= a.rankDelay(keyLeader)
	} else {
		due = leader.Holder == c.cfg.Name && leader.LeaseID != c.ownLease.id
	}
	a.leadership = due && a.hasSpace()
}

// claimsAny reports whether any key was chosen to be claimed.
func (a *ownershipAttempt) claimsAny() bool { return len(a.shards) > 0 || a.leadership }

// addClaims adds the claims, the incremented fencing token that they carry, and their audit entry.
func (a *ownershipAttempt) addClaims() {
	c := a.core
	token := c.leadership.fencingToken + 1
	a.txn.Compare = append(
		a.txn.Compare,
		wire.Compare{Key: keyFencingToken, Revision: c.leadership.fencingTokenRevision},
	)
	a.txn.Then = append(a.txn.Then, wire.Write{Put: keyFencingToken, Value: json.RawMessage(fmt.Sprint(token))})
	for _, n := range a.shards {
		a.addLeasedPut(shardKey(n), c.ownership.shards[n].modRevision, token)
	}
	if a.leadership {
		a.addLeasedPut(keyLeader, c.leadership.leader.modRevision, token)
	}
	a.onAuditOutcome = c.auditLog.addEntry(
		&a.txn,
		"take/"+c.cfg.Name,
		auditlog.Event{
			Verb:   auditlog.VerbTakeOver,
			Object: describeClaims(a.shards, a.leadership),
			Reason: fmt.Sprintf("token %d", token),
		},
	)
}

// releaseSurplus releases one shard if this controller holds too many, in a transaction that does nothing
// else.
func (a *ownershipAttempt) releaseSurplus() {
	c := a.core
	// The rounded fair share alone does not suffice: with twelve shards and five controllers, four would
	// keep three shards each and the fifth would have none.
	uneven := a.ownedShards == a.mostShards && a.mostShards-a.fewestShards >= 2
	if a.registrationOps > 0 || a.ownedShards <= a.fairShare && !uneven || c.now < c.ownership.nextHandoverAt {
		return
	}
	c.ownership.nextHandoverAt = c.now + handoverInterval
	if n := a.surplusShard(); n >= 0 {
		a.txn.Compare = append(
			a.txn.Compare,
			wire.Compare{Key: shardKey(n), Revision: c.ownership.shards[n].modRevision},
		)
		a.txn.Then = append(a.txn.Then, wire.Write{Delete: shardKey(n)})
	}
}

// commit sends the transaction, unless it is empty.
func (a *ownershipAttempt) commit() {
	if len(a.txn.Then) == 0 {
		return
	}
	c, onAuditOutcome := a.core, a.onAuditOutcome
	c.ownership.claimInFlight = true
	c.ownership.nextClaimAt = c.now + claimInterval
	claims := describeClaims(a.shards, a.leadership)
	c.transactions.commit(a.txn, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		c.ownership.claimInFlight = false
		onAuditOutcome(status)
		if claims != "" {
			c.log(LevelInfo, "claimed ownership", "claims", claims, "status", status, "revision", reply.Revision)
		}
		if status != wire.StatusOK {
			c.ownership.nextClaimAt = c.now + claimInterval + c.jitter(claimRetryJitter)
		}
		// Changes of ownership are applied only from watch results, in the order of revisions. The read barrier
		// fetches them at once.
		c.replica.afterReadBarrier(func(bool) {})
	}})
}

// describeClaims names the claimed keys for the audit log.
func describeClaims(shards []int, leadership bool) string {
	var list []string
	if leadership {
		list = append(list, "leadership")
	}
	if len(shards) > 0 {
		list = append(list, "shards "+strings.Trim(fmt.Sprint(shards), "[]"))
	}
	return strings.Join(list, ", ")
}

// surplusShard returns the shard to release, the held one for which this controller has the worst rank, or -1
// if there is none. A shard with a write in flight is not released, as the write depends on its ownership.
func (a *ownershipAttempt) surplusShard() int {
	c := a.core
	worst, worstRank := -1, -1
	for n := range c.ownership.shards {
		if !c.ownership.ownsShard(n) || hasUnsettledWrite(c.openJobs, n) {
			continue
		}
		if rank := c.controllers.rendezvousRank(shardKey(n), a.live); rank > worstRank {
			worst, worstRank = n, rank
		}
	}
	return worst
}

// hasUnsettledWrite reports whether a write of any job of a shard has no known outcome yet.
func hasUnsettledWrite(jobs []*job, shard int) bool {
	for _, j := range jobs {
		if j.record != nil && j.record.Shard == shard && (j.write.inFlight || j.write.outcomeUnknown) {
			return true
		}
	}
	return false
}

// handleShardGained is called when this controller has become the owner of a shard. It marks the open jobs of the
// shard and all machines dirty, because this controller has not acted on them so far.
func (c *Core) handleShardGained(n int) {
	for _, j := range c.openJobs {
		if j.record != nil && j.record.Shard == n {
			c.markDirty(j)
			for _, assignment := range j.assignments {
				c.commands.markDirty(c.machines[assignment.Machine])
			}
		}
	}
	c.placement.capacityFreed = true
	for _, m := range c.aliveMachines {
		c.commands.markDirty(m)
	}
}

// pickShard chooses a random shard for a new job: one of this controller's own, or any if it has none. The owner
// of another shard learns of the job by its watch and places its tasks. A controller without a shard must accept
// submissions too: it may have just started, or there may be more controllers than shards.
func (o *shardOwnership) pickShard() int {
	var owned []int
	for n := range o.shards {
		if o.ownsShard(n) {
			owned = append(owned, n)
		}
	}
	if len(owned) == 0 {
		return o.rng.IntN(len(o.shards))
	}
	return owned[o.rng.IntN(len(owned))]
}
