package core

import (
	"dewlift/core/auditlog"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

func shardKey(n int) string { return fmt.Sprintf("%s%02d", keyShard, n) }

// liveControllers lists the controllers with a lease, this one included, in name order.
func (c *Core) liveControllers() []string {
	out := []string{c.cfg.Name}
	for n := range c.controllers.nodeKeys {
		if n != c.cfg.Name {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// isControllerLive reports whether a controller holds a lease, as far as is known here.
func (c *Core) isControllerLive(name string) bool {
	_, ok := c.controllers.nodeKeys[name]
	return ok
}

// rendezvousRank is the place of this controller in a key's rendezvous order among the live ones.
func (c *Core) rendezvousRank(key string, live []string) int {
	weight := func(n string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(n))
		h.Write([]byte{0})
		h.Write([]byte(key))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		return x
	}
	mine, r := weight(c.cfg.Name), 0
	for _, n := range live {
		if n != c.cfg.Name && weight(n) > mine {
			r++
		}
	}
	return r
}

// acquireOwnership claims absent shards and the leadership, and gives up surplus shards.
func (c *Core) acquireOwnership() {
	if c.auditNotReady() || !c.holdsLease() || c.ownership.claimInFlight || c.now < c.ownership.nextClaimAt ||
		c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	node, have := c.controllers.nodeKeys[c.cfg.Name]
	live := c.liveControllers()
	var t wire.Txn
	ops := 0
	if !have || node.LeaseID != c.ownLease.id {
		t.Compare = append(t.Compare, wire.Compare{Key: keyNode + c.cfg.Name, Revision: node.mark})
		t.Then = append(
			t.Then,
			wire.Write{Put: keyNode + c.cfg.Name, Value: c.leasedValue(0), LeaseID: c.ownLease.id},
		)
		ops++
	}
	// Everyone has a moment to show itself, so that the shards spread at a common start.
	settled := have && c.now-c.startedAt > 700*time.Millisecond
	fair := (len(c.ownership.shards) + len(live) - 1) / len(live)
	counts := map[string]int{}
	for i := range c.ownership.shards {
		if s := &c.ownership.shards[i]; s.mark != 0 {
			counts[s.Node]++
		}
	}
	count, fewest, most := counts[c.cfg.Name], len(c.ownership.shards), 0
	for _, n := range live {
		fewest, most = min(fewest, counts[n]), max(most, counts[n])
	}
	// Twelve shards among five: by the rounded share alone, four had three and one none.
	uneven := count == most && most-fewest >= 2
	var claims []int
	for i := range c.ownership.shards {
		s := &c.ownership.shards[i]
		if c.ownsShard(i) || ops+len(claims)+2+c.auditOpsPerTxn() > c.cfg.Store.MaxTxnOps {
			continue
		}
		old := s.mark != 0 && s.Node == c.cfg.Name // held by an earlier life of this controller
		if s.mark != 0 && !old || !settled && !old {
			continue
		}
		wait := time.Duration(c.rendezvousRank(shardKey(i), live)) * 300 * time.Millisecond
		if count+len(claims) >= fair {
			wait += 700 * time.Millisecond
		}
		if count+len(claims) > fewest { // it was given up for another
			wait += 400 * time.Millisecond
		}
		if old || c.now-s.since >= wait {
			claims = append(claims, i)
		}
	}
	lead := false
	if c.leadership.leader.mark == 0 && settled &&
		c.now-c.leadership.leader.since >= time.Duration(c.rendezvousRank(keyLeader, live))*300*time.Millisecond ||
		c.leadership.leader.mark != 0 && c.leadership.leader.Node == c.cfg.Name &&
			c.leadership.leader.LeaseID != c.ownLease.id {
		lead = ops+len(claims)+2+c.auditOpsPerTxn() <= c.cfg.Store.MaxTxnOps
	}
	told := func(wire.Status) {}
	if len(claims) > 0 || lead {
		token := c.leadership.fencingToken + 1
		t.Compare = append(t.Compare, wire.Compare{Key: keyFencingToken, Revision: c.leadership.fencingTokenRevision})
		t.Then = append(t.Then, wire.Write{Put: keyFencingToken, Value: json.RawMessage(fmt.Sprint(token))})
		for _, i := range claims {
			t.Compare = append(t.Compare, wire.Compare{Key: shardKey(i), Revision: c.ownership.shards[i].mark})
			t.Then = append(t.Then, wire.Write{Put: shardKey(i), Value: c.leasedValue(token), LeaseID: c.ownLease.id})
		}
		if lead {
			t.Compare = append(t.Compare, wire.Compare{Key: keyLeader, Revision: c.leadership.leader.mark})
			t.Then = append(t.Then, wire.Write{Put: keyLeader, Value: c.leasedValue(token), LeaseID: c.ownLease.id})
		}
		told = c.addAuditEntry(
			&t,
			"take/"+c.cfg.Name,
			auditlog.Event{
				Verb:   auditlog.VerbTakeOver,
				Object: describeClaims(claims, lead),
				Reason: fmt.Sprintf("token %d", token),
			},
		)
	} else if ops == 0 && (count > fair || uneven) && c.now >= c.ownership.nextHandoverAt {
		c.ownership.nextHandoverAt = c.now + 1500*time.Millisecond
		if i := c.surplusShard(); i >= 0 {
			t.Compare = append(t.Compare, wire.Compare{Key: shardKey(i), Revision: c.ownership.shards[i].mark})
			t.Then = append(t.Then, wire.Write{Delete: shardKey(i)})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	c.ownership.claimInFlight = true
	c.ownership.nextClaimAt = c.now + 100*time.Millisecond
	c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		c.ownership.claimInFlight = false
		told(status)
		if status != wire.StatusOK {
			c.ownership.nextClaimAt = c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond)
		}
		// What came of it is learnt from the stream of changes, in its order.
		c.afterReadBarrier(func(bool) {})
	}})
}

// describeClaims names what is claimed.
func describeClaims(claims []int, lead bool) string {
	var list []string
	if lead {
		list = append(list, "leadership")
	}
	if len(claims) > 0 {
		list = append(list, "shards "+strings.Trim(fmt.Sprint(claims), "[]"))
	}
	return strings.Join(list, ", ")
}

// surplusShard chooses a shard to give up: the one this controller ranks lowest for.
func (c *Core) surplusShard() int {
	live := c.liveControllers()
	best, bestRank := -1, -1
	for i := range c.ownership.shards {
		if !c.ownsShard(i) {
			continue
		}
		busy := false
		for _, j := range c.openJobs {
			if j.record != nil && j.record.Shard == i && (j.write.inFlight || j.write.outcomeUnknown) {
				busy = true
				break
			}
		}
		if r := c.rendezvousRank(shardKey(i), live); !busy && r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

// handleShardGained is called when the stream shows that a shard is this controller's.
func (c *Core) handleShardGained(n int) {
	for _, j := range c.openJobs {
		if j.record != nil && j.record.Shard == n {
			c.markDirty(j)
			for _, a := range j.assignments {
				c.markMachineDirty(c.machines[a.Machine])
			}
		}
	}
	c.placement.capacityFreed = true
	for _, m := range c.aliveMachines {
		c.markMachineDirty(m)
	}
}

// pickShard is a shard for a new job: one held by this controller if there is one. Else it is
// another's: its holder learns of the job from the stream of changes and places its tasks. (A
// controller that had just started, or that was one too many for the shards, refused users.)
func (c *Core) pickShard() int {
	var own []int
	for i := range c.ownership.shards {
		if c.ownsShard(i) {
			own = append(own, i)
		}
	}
	if len(own) == 0 {
		return c.rng.IntN(len(c.ownership.shards))
	}
	return own[c.rng.IntN(len(own))]
}

// shardOwnership is which controller holds each shard, and claiming and handing over shards.
type shardOwnership struct {
	shards         []leasedKey
	claimInFlight  bool
	nextClaimAt    time.Duration
	nextHandoverAt time.Duration
}

func (c *Core) shardOfKey(key string) int {
	for i := range c.ownership.shards {
		if shardKey(i) == key {
			return i
		}
	}
	return -1
}

// shardOf is the shard of a job; unknown jobs have one by their name.
func (c *Core) shardOf(j *job) int {
	if j.record != nil {
		return j.record.Shard
	}
	return c.shardOfID(j.id)
}

func (c *Core) shardOfID(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(c.ownership.shards)))
}

func (c *Core) ownsShard(s int) bool {
	return s >= 0 && s < len(c.ownership.shards) && c.ownLease.id != 0 &&
		c.ownership.shards[s].LeaseID == c.ownLease.id &&
		c.ownership.shards[s].mark != 0 &&
		c.ownership.shards[s].Node == c.cfg.Name
}

func (c *Core) ownsJob(j *job) bool { return c.ownsShard(c.shardOf(j)) }
