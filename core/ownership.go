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
	// ownershipSettleTime is how long a started controller waits before it claims absent keys, so that
	// controllers which start together have registered and the shards spread over all of them.
	ownershipSettleTime = 700 * time.Millisecond
	// claimDelayPerRank staggers the claims of an absent key by rendezvous rank: the preferred controller
	// writes first, and the others rarely conflict with it.
	claimDelayPerRank = 300 * time.Millisecond
	// claimDelayOverShare is added when this controller already has its fair share of the shards.
	claimDelayOverShare = 700 * time.Millisecond
	// claimDelayNotFewest is added when another controller has fewer shards: the shard was probably
	// released for that one.
	claimDelayNotFewest = 400 * time.Millisecond
	// handoverInterval is the least time between two shards that this controller releases.
	handoverInterval = 1500 * time.Millisecond
	// claimInterval is the least time between two ownership transactions.
	claimInterval = 100 * time.Millisecond
	// claimRetryJitter is the random part of the back-off after an ownership transaction that failed.
	claimRetryJitter = 200 * time.Millisecond
	// opsPerClaim is the most operations that the next claim adds to a transaction: the fencing token
	// and the claimed key.
	opsPerClaim = 2
)

// shardOwnership is the state of shard ownership: the controller that holds each shard, and this
// controller's claims and handovers of shards.
type shardOwnership struct {
	*environment
	lease *controllerLease

	shards         []leasedKey
	claimInFlight  bool          // an ownership transaction is in flight; there is one at a time
	nextClaimAt    time.Duration // no ownership transaction is sent before
	nextHandoverAt time.Duration // no shard is released before
}

// shardKey is the store key of a shard.
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

// shardOfID returns the shard that a job id hashes to.
func (o *shardOwnership) shardOfID(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(o.shards)))
}

// countByNode counts the shards that each controller holds.
func (o *shardOwnership) countByNode() map[string]int {
	counts := map[string]int{}
	for i := range o.shards {
		if shard := &o.shards[i]; shard.modRevision != 0 {
			counts[shard.Holder]++
		}
	}
	return counts
}

// shardOf returns the shard of a job: that of its record, or for a job without one, that of its id.
func (o *shardOwnership) shardOf(j *job) int {
	if j.record != nil {
		return j.record.Shard
	}
	return o.shardOfID(j.id)
}

// ownsShard reports whether this controller holds a shard by its present lease. It does not check
// that the lease is still in force; see controllerLease.isHeld.
func (o *shardOwnership) ownsShard(n int) bool {
	if n < 0 || n >= len(o.shards) || o.lease.id == 0 {
		return false
	}
	shard := &o.shards[n]
	return shard.LeaseID == o.lease.id && shard.modRevision != 0 && shard.Holder == o.cfg.Name
}

// ownsJob reports whether this controller holds the shard of a job.
func (o *shardOwnership) ownsJob(j *job) bool { return o.ownsShard(o.shardOf(j)) }

// acquireOwnership claims absent shards and the leadership, and releases surplus shards. All claims of
// one run are one transaction, which also raises the fencing token.
func (c *Core) acquireOwnership() {
	if c.auditLog.isNotReady() || !c.ownLease.isHeld() ||
		c.ownership.claimInFlight || c.now < c.ownership.nextClaimAt ||
		c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	run := c.newOwnershipAttempt()
	run.registerController()
	run.chooseShards()
	run.chooseLeadership()
	if run.claimsAny() {
		run.addClaims()
	} else {
		run.releaseSurplus()
	}
	run.commit()
}

// ownershipAttempt is one run of acquireOwnership: the distribution of the shards that it starts from, the
// keys chosen, and the transaction built from them.
type ownershipAttempt struct {
	core *Core

	live            []string // live controllers, in name order
	registered      bool     // this controller's node key is in the replica, of any of its leases
	settled         bool     // absent keys may be claimed, see ownershipSettleTime
	fairShare       int      // shards for each controller, rounded up
	ownedShards     int      // shards held under this controller's name
	fewestShards    int      // shards of the controller with the fewest
	mostShards      int      // shards of the controller with the most
	registrationOps int      // operations that register this controller, 0 or 1
	shards          []int    // shards to claim
	leadership      bool     // the leadership is to be claimed
	txn             wire.Txn // what is sent
	onAuditOutcome  func(wire.Status)
}

// newOwnershipAttempt takes stock of the live controllers and of the shards that each holds.
func (c *Core) newOwnershipAttempt() ownershipAttempt {
	_, registered := c.controllers.registrations[c.cfg.Name]
	live := c.controllers.liveNames()
	shardCount := len(c.ownership.shards)
	counts := c.ownership.countByNode()
	run := ownershipAttempt{
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
		run.fewestShards = min(run.fewestShards, counts[name])
		run.mostShards = max(run.mostShards, counts[name])
	}
	return run
}

// registerController writes the node key of this controller if it is absent or of an earlier lease.
func (t *ownershipAttempt) registerController() {
	c := t.core
	node := c.controllers.registrations[c.cfg.Name]
	if t.registered && node.LeaseID == c.ownLease.id {
		return
	}
	t.registrationOps = 1
	t.addLeasedPut(keyRegistration+c.cfg.Name, node.modRevision, 0)
}

// addLeasedPut adds the write of a key that is bound to this controller's lease, on the condition that the
// key is still at a revision.
func (t *ownershipAttempt) addLeasedPut(key string, revision, token uint64) {
	c := t.core
	t.txn.Compare = append(t.txn.Compare, wire.Compare{Key: key, Revision: revision})
	t.txn.Then = append(t.txn.Then, wire.Write{Put: key, Value: c.ownLease.leasedValue(token), LeaseID: c.ownLease.id})
}

// hasSpace reports whether another claim fits the operations of one transaction.
func (t *ownershipAttempt) hasSpace() bool {
	c := t.core
	return t.registrationOps+len(t.shards)+opsPerClaim+c.auditLog.opsPerTxn() <= c.cfg.Store.MaxTxnOps
}

// chooseShards chooses the shards to claim.
func (t *ownershipAttempt) chooseShards() {
	for i := range t.core.ownership.shards {
		if !t.core.ownership.ownsShard(i) && t.hasSpace() && t.mayClaimShard(i) {
			t.shards = append(t.shards, i)
		}
	}
}

// mayClaimShard reports whether a shard may be claimed now: at once if an earlier incarnation of this controller
// holds it, else if it has been absent for as long as this controller's rank and load demand.
func (t *ownershipAttempt) mayClaimShard(n int) bool {
	c := t.core
	shard := &c.ownership.shards[n]
	if shard.modRevision != 0 {
		return shard.Holder == c.cfg.Name
	}
	if !t.settled {
		return false
	}
	wait := t.rankDelay(shardKey(n))
	owned := t.ownedShards + len(t.shards)
	if owned >= t.fairShare {
		wait += claimDelayOverShare
	}
	if owned > t.fewestShards {
		wait += claimDelayNotFewest
	}
	return c.now-shard.absentSince >= wait
}

// rankDelay is how long this controller leaves an absent key to the controllers of better rank.
func (t *ownershipAttempt) rankDelay(key string) time.Duration {
	return time.Duration(t.core.controllers.rendezvousRank(key, t.live)) * claimDelayPerRank
}

// chooseLeadership decides whether to claim the leadership: if it has been absent for long enough, or if an
// earlier lease of this controller holds it.
func (t *ownershipAttempt) chooseLeadership() {
	c := t.core
	leader := &c.leadership.leader
	var due bool
	if leader.modRevision == 0 {
		due = t.settled && c.now-leader.absentSince >= t.rankDelay(keyLeader)
	} else {
		due = leader.Holder == c.cfg.Name && leader.LeaseID != c.ownLease.id
	}
	t.leadership = due && t.hasSpace()
}

// claimsAny reports whether something was chosen to claim.
func (t *ownershipAttempt) claimsAny() bool { return len(t.shards) > 0 || t.leadership }

// addClaims adds the claims, the next fencing token that they carry, and their audit entry.
func (t *ownershipAttempt) addClaims() {
	c := t.core
	token := c.leadership.fencingToken + 1
	t.txn.Compare = append(
		t.txn.Compare,
		wire.Compare{Key: keyFencingToken, Revision: c.leadership.fencingTokenRevision},
	)
	t.txn.Then = append(t.txn.Then, wire.Write{Put: keyFencingToken, Value: json.RawMessage(fmt.Sprint(token))})
	for _, n := range t.shards {
		t.addLeasedPut(shardKey(n), c.ownership.shards[n].modRevision, token)
	}
	if t.leadership {
		t.addLeasedPut(keyLeader, c.leadership.leader.modRevision, token)
	}
	t.onAuditOutcome = c.auditLog.addEntry(
		&t.txn,
		"take/"+c.cfg.Name,
		auditlog.Event{
			Verb:   auditlog.VerbTakeOver,
			Object: describeClaims(t.shards, t.leadership),
			Reason: fmt.Sprintf("token %d", token),
		},
	)
}

// releaseSurplus releases one shard if this controller holds more than its part, in a transaction that does
// nothing else.
func (t *ownershipAttempt) releaseSurplus() {
	c := t.core
	// The rounded fair share alone is not enough: of twelve shards among five controllers, four had
	// three each and one had none.
	uneven := t.ownedShards == t.mostShards && t.mostShards-t.fewestShards >= 2
	if t.registrationOps > 0 || t.ownedShards <= t.fairShare && !uneven || c.now < c.ownership.nextHandoverAt {
		return
	}
	c.ownership.nextHandoverAt = c.now + handoverInterval
	if n := t.surplusShard(); n >= 0 {
		t.txn.Compare = append(
			t.txn.Compare,
			wire.Compare{Key: shardKey(n), Revision: c.ownership.shards[n].modRevision},
		)
		t.txn.Then = append(t.txn.Then, wire.Write{Delete: shardKey(n)})
	}
}

// commit sends the transaction, if there is anything in it.
func (t *ownershipAttempt) commit() {
	if len(t.txn.Then) == 0 {
		return
	}
	c, onAuditOutcome := t.core, t.onAuditOutcome
	c.ownership.claimInFlight = true
	c.ownership.nextClaimAt = c.now + claimInterval
	c.transactions.commit(t.txn, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		c.ownership.claimInFlight = false
		onAuditOutcome(status)
		if status != wire.StatusOK {
			c.ownership.nextClaimAt = c.now + claimInterval + c.jitter(claimRetryJitter)
		}
		// Ownership changes only by the watch, in the order of revisions; the barrier brings it at once.
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

// surplusShard returns the shard to release: of those held, the one for which this controller has the worst
// rank. A shard with a write in flight is not released, as the write depends on it. -1: there is none.
func (t *ownershipAttempt) surplusShard() int {
	c := t.core
	worst, worstRank := -1, -1
	for n := range c.ownership.shards {
		if !c.ownership.ownsShard(n) || hasUnsettledWrite(c.openJobs, n) {
			continue
		}
		if rank := c.controllers.rendezvousRank(shardKey(n), t.live); rank > worstRank {
			worst, worstRank = n, rank
		}
	}
	return worst
}

// hasUnsettledWrite reports whether the outcome of a write to one of the jobs of a shard is open.
func hasUnsettledWrite(jobs []*job, shard int) bool {
	for _, j := range jobs {
		if j.record != nil && j.record.Shard == shard && (j.write.inFlight || j.write.outcomeUnknown) {
			return true
		}
	}
	return false
}

// handleShardGained is called when the watch shows that this controller has become the owner of a shard:
// it examines all jobs of the shard and all machines, as it has not acted on them so far.
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

// pickShard draws the shard of a new job: one of this controller's if it holds any. Else it is another
// controller's, whose holder sees the job by its watch and places its tasks: when submissions were refused
// instead, a controller that had just started or was one too many for the shards turned users away.
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
