package core

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"dewlift/core/auditlog"
	"dewlift/wire"
)

func shardKey(n int) string { return fmt.Sprintf("%s%02d", keyShard, n) }

// keepLease keeps this controller's lease, and gets a new one when it is lost.
func (c *Core) keepLease() {
	if c.unfit() || c.blind() { // it must not act: its lease runs out, and others take over
		return
	}
	if c.ownLease.opInFlight != "" || c.now < c.ownLease.requestSentAt+150*time.Millisecond {
		return
	}
	switch {
	case c.ownLease.id == 0:
		c.ownLease.opInFlight = "grant"
	case c.now >= c.ownLease.expiresAt-c.cfg.Lease*2/3:
		c.ownLease.opInFlight = "extend"
	default:
		return
	}
	c.ownLease.requestSentAt = c.now
	c.emit(LeaseOp{Op: c.ownLease.opInFlight, TTL: c.cfg.Lease, Lease: c.ownLease.id})
}

// blind reports whether reads of changes have stayed without an answer for a while. Such a controller may write and hold its lease, and know neither
// what it holds nor what others do: one that had just begun to lead did nothing for twenty seconds, and nobody else could.
func (c *Core) blind() bool {
	return c.storeHealth.firstLostReadAt != 0 && c.now-c.storeHealth.firstLostReadAt > blindAfter
}

const blindAfter = 5 * time.Second // two reads in a row without an answer, and some

func (c *Core) leased(in Leased) {
	if in.Op != c.ownLease.opInFlight {
		return
	}
	c.stateAnswered(in.Status)
	c.ownLease.opInFlight = ""
	switch {
	case in.Status == 200 && in.Op == "grant" && in.Lease != 0:
		c.ownLease.id = in.Lease
		c.ownLease.expiresAt = c.ownLease.requestSentAt + c.cfg.Lease
	case in.Status == 200 && in.Op == "extend":
		// Counted from the sending: the service counts from its receipt, later.
		c.ownLease.expiresAt = c.ownLease.requestSentAt + c.cfg.Lease
	case in.Status == 404 && in.Op == "extend":
		c.note("info", "lease lost", "lease", c.ownLease.id)
		c.ownLease.id = 0
	}
}

// live lists the controllers with a lease, this one included, in name order.
func (c *Core) live() []string {
	out := []string{c.cfg.Name}
	for n := range c.controllers.nodeKeys {
		if n != c.cfg.Name {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// there reports whether a controller holds a lease, as far as is known here.
func (c *Core) there(name string) bool {
	_, ok := c.controllers.nodeKeys[name]
	return ok
}

// rank is the place of this controller in a key's rendezvous order among the live ones.
func (c *Core) rank(key string, live []string) int {
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

// own claims absent shards and the leadership, and gives up surplus shards.
func (c *Core) own() {
	if c.mute() || !c.leaseOK() || c.ownership.claimInFlight || c.now < c.ownership.nextClaimAt || c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	node, have := c.controllers.nodeKeys[c.cfg.Name]
	live := c.live()
	var t wire.Txn
	ops := 0
	if !have || node.Lease != c.ownLease.id {
		t.Compare = append(t.Compare, wire.Compare{Key: keyNode + c.cfg.Name, Revision: node.mark})
		t.Then = append(t.Then, wire.Write{Put: keyNode + c.cfg.Name, Value: c.heldValue(0), LeaseID: c.ownLease.id})
		ops++
	}
	// Everyone has a moment to show itself, so that the shards spread at a common start.
	settled := have && c.now-c.started > 700*time.Millisecond
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
		if c.mineShard(i) || ops+len(claims)+2+c.besides() > c.cfg.TxnOps {
			continue
		}
		old := s.mark != 0 && s.Node == c.cfg.Name // held by an earlier life of this controller
		if s.mark != 0 && !old || !settled && !old {
			continue
		}
		wait := time.Duration(c.rank(shardKey(i), live)) * 300 * time.Millisecond
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
	if c.leadership.leader.mark == 0 && settled && c.now-c.leadership.leader.since >= time.Duration(c.rank(keyLeader, live))*300*time.Millisecond ||
		c.leadership.leader.mark != 0 && c.leadership.leader.Node == c.cfg.Name && c.leadership.leader.Lease != c.ownLease.id {
		lead = ops+len(claims)+2+c.besides() <= c.cfg.TxnOps
	}
	told := func(int) {}
	if len(claims) > 0 || lead {
		token := c.leadership.fencingToken + 1
		t.Compare = append(t.Compare, wire.Compare{Key: keyEpoch, Revision: c.leadership.fencingTokenRevision})
		t.Then = append(t.Then, wire.Write{Put: keyEpoch, Value: json.RawMessage(fmt.Sprint(token))})
		for _, i := range claims {
			t.Compare = append(t.Compare, wire.Compare{Key: shardKey(i), Revision: c.ownership.shards[i].mark})
			t.Then = append(t.Then, wire.Write{Put: shardKey(i), Value: c.heldValue(token), LeaseID: c.ownLease.id})
		}
		if lead {
			t.Compare = append(t.Compare, wire.Compare{Key: keyLeader, Revision: c.leadership.leader.mark})
			t.Then = append(t.Then, wire.Write{Put: keyLeader, Value: c.heldValue(token), LeaseID: c.ownLease.id})
		}
		told = c.carryBeside(&t, "take/"+c.cfg.Name, auditlog.Event{Verb: auditlog.VerbTakeOver, Object: taken(claims, lead), Reason: fmt.Sprintf("token %d", token)})
	} else if ops == 0 && (count > fair || uneven) && c.now >= c.ownership.nextHandoverAt {
		c.ownership.nextHandoverAt = c.now + 1500*time.Millisecond
		if i := c.surplus(); i >= 0 {
			t.Compare = append(t.Compare, wire.Compare{Key: shardKey(i), Revision: c.ownership.shards[i].mark})
			t.Then = append(t.Then, wire.Write{Delete: shardKey(i)})
		}
	}
	if len(t.Then) == 0 {
		return
	}
	c.ownership.claimInFlight = true
	c.ownership.nextClaimAt = c.now + 100*time.Millisecond
	c.commit(t, &txn{done: func(status int, _ wire.TxnResponse) {
		c.ownership.claimInFlight = false
		told(status)
		if status != 200 {
			c.ownership.nextClaimAt = c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond)
		}
		// What came of it is learnt from the stream of changes, in its order.
		c.afterBarrier(func(bool) {})
	}})
}

// taken names what is claimed.
func taken(claims []int, lead bool) string {
	var list []string
	if lead {
		list = append(list, "leadership")
	}
	if len(claims) > 0 {
		list = append(list, "shards "+strings.Trim(fmt.Sprint(claims), "[]"))
	}
	return strings.Join(list, ", ")
}

func (c *Core) heldValue(token uint64) json.RawMessage {
	raw, err := json.Marshal(held{Node: c.cfg.Name, Lease: c.ownLease.id, Token: token})
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	return raw
}

// surplus chooses a shard to give up: the one this controller ranks lowest for.
func (c *Core) surplus() int {
	live := c.live()
	best, bestRank := -1, -1
	for i := range c.ownership.shards {
		if !c.mineShard(i) {
			continue
		}
		busy := false
		for _, j := range c.open {
			if j.rec != nil && j.rec.Shard == i && (j.write.inFlight || j.write.outcomeUnknown) {
				busy = true
				break
			}
		}
		if r := c.rank(shardKey(i), live); !busy && r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

// gained is called when the stream shows that a shard is this controller's.
func (c *Core) gained(n int) {
	for _, j := range c.open {
		if j.rec != nil && j.rec.Shard == n {
			c.touch(j)
			for _, a := range j.place {
				c.touchMachine(c.machines[a.Machine])
			}
		}
	}
	c.placement.capacityFreed = true
	for _, m := range c.alive {
		c.touchMachine(m)
	}
}

// bump raises the token, so that orders on their way can't be executed any more once the
// machine has seen it.
func (c *Core) bump() {
	if c.leadership.raiseInFlight || c.ownership.claimInFlight || c.now < c.leadership.nextRaiseAt || !c.leaseOK() || c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	c.leadership.raiseInFlight = true
	c.leadership.nextRaiseAt = c.now + 5*time.Second
	t := wire.Txn{Compare: []wire.Compare{{Key: keyEpoch, Revision: c.leadership.fencingTokenRevision}},
		Then: []wire.Write{{Put: keyEpoch, Value: json.RawMessage(fmt.Sprint(c.leadership.fencingToken + 1))}}}
	c.commit(t, &txn{done: func(status int, _ wire.TxnResponse) {
		c.leadership.raiseInFlight = false
		c.afterBarrier(func(bool) {})
	}})
}

// pickShard is a shard for a new job: one held by this controller if there is one. Else it is
// another's: its holder learns of the job from the stream of changes and places its tasks. (A
// controller that had just started, or that was one too many for the shards, refused users.)
func (c *Core) pickShard() int {
	var own []int
	for i := range c.ownership.shards {
		if c.mineShard(i) {
			own = append(own, i)
		}
	}
	if len(own) == 0 {
		return c.rng.IntN(len(c.ownership.shards))
	}
	return own[c.rng.IntN(len(own))]
}
