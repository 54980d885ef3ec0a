package core

import (
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Start fences. The network may deliver a copy of a start command minutes after the command was answered, and an agent
// executes it unless it still knows the attempt, its lease has expired since, or it has accepted a higher fencing token
// than that of the command. So neither an answer nor the time that has passed is proof that an attempt will not start
// again. A fencing token is, if it is higher than that of each start of the attempt: clears are sent under such a
// token, and an attempt that a heartbeat lacks counts as ended once the agent has accepted one.

const (
	// maxEndedTasksPerAgent is the number of ended tasks of an agent that wait for a higher fencing token above
	// which the token is incremented early, since a heartbeat must not exceed 64 KiB.
	maxEndedTasksPerAgent = 200
	// followerTokenDelay is how much longer than the leader, for each rank, the other controllers wait before they
	// increment the fencing token, so that one increment serves all.
	followerTokenDelay = time.Second
)

// Reasons for an increment of the fencing token outside of claims, as they are logged.
const (
	raiseForClears      = "ended tasks wait to be cleared"
	raiseForCancelled   = "a cancelled task may still start"
	raiseForLargeReport = "an agent reports many ended tasks"
)

// isFencedBy reports whether an agent that has accepted a fencing token rejects all starts of the attempt that this
// process sent.
func (a *attempt) isFencedBy(token uint64) bool {
	return a.maxStartToken == 0 || a.maxStartToken < token
}

// areStartsFenced reports whether an agent that has accepted a fencing token rejects all starts of an attempt, also
// copies that arrive late. Former owners of the job's shard sent theirs under tokens below that of this controller's
// claim.
func (c *Core) areStartsFenced(host *machine, j *job, key attemptKey, token uint64) bool {
	shard := c.ownership.shardOf(j)
	if !c.ownership.ownsShard(shard) || token < c.ownership.shards[shard].FencingToken {
		return false
	}
	sent := host.commands.attempts[key]
	return sent == nil || sent.isFencedBy(token)
}

// mayClear reports whether an ended attempt may be cleared by commands under the current fencing token. Otherwise a
// late copy of its start would start it again.
func (c *Core) mayClear(m *machine, j *job, key attemptKey) bool {
	return c.areStartsFenced(m, j, key, c.leadership.fencingToken)
}

// mayStartLate reports whether a start of an attempt that its machine does not report may still be executed although
// no request is in flight, and only a higher fencing token than the current one would prevent that.
func (c *Core) mayStartLate(host *machine, key attemptKey) bool {
	sent := host.commands.attempts[key]
	if sent == nil || sent.startInFlight {
		return false
	}
	_, reported := host.status.tasks[key]
	return !reported && !sent.isFencedBy(host.status.fencingToken) && !sent.isFencedBy(c.leadership.fencingToken)
}

// fenceWaiters are the machines with attempts that wait for a higher fencing token, to be cleared or evicted. They are
// not in commandDispatch.dirtyMachines: that list is iterated often, and in a quiet term nearly all machines wait.
type fenceWaiters struct {
	machines map[int32]bool // by index
	since    time.Duration  // when the first of them began to wait; 0: there is none
	crowded  bool           // one of them has more than maxEndedTasksPerAgent
	token    uint64         // the fencing token when the machines were last released

	released      []int32       // machines that the token has released and that are not marked dirty yet
	releasedAt    time.Duration // when the token released them
	releasedCount int           // how many there were then
}

// update records whether a machine waits.
func (w *fenceWaiters) update(m *machine, waiting int, now time.Duration) {
	if waiting == 0 {
		w.remove(m)
		return
	}
	w.machines[m.index] = true
	w.crowded = w.crowded || waiting > maxEndedTasksPerAgent
	if w.since == 0 {
		w.since = max(1, now)
	}
}

// remove records that a machine does not wait.
func (w *fenceWaiters) remove(m *machine) {
	delete(w.machines, m.index)
	if len(w.machines) == 0 {
		w.since, w.crowded = 0, false
	}
}

// release releases the waiting machines if the fencing token is higher than before.
func (w *fenceWaiters) release(token uint64, now time.Duration) {
	if token <= w.token {
		return
	}
	w.token = token
	for _, index := range w.released {
		w.machines[index] = true
	}
	w.released, w.releasedAt = sortedKeys(w.machines), now
	w.releasedCount = len(w.released)
	clear(w.machines)
	w.since, w.crowded = 0, false
}

// takeDue removes the released machines that are due and returns them: one after the other, evenly over spread.
func (w *fenceWaiters) takeDue(now, spread time.Duration) []int32 {
	if len(w.released) == 0 {
		return nil
	}
	due := w.releasedCount
	if elapsed := now - w.releasedAt; elapsed < spread {
		due = int(int64(elapsed)*int64(w.releasedCount)/int64(spread)) + 1
	}
	left := min(len(w.released), w.releasedCount-due)
	taken := w.released[:len(w.released)-left]
	w.released = w.released[len(taken):]
	return taken
}

// releaseFenceWaiters marks the machines dirty that have waited for a higher fencing token, once it is in force. An
// increment releases nearly all machines, so their clears are spread over a quarter of an agent's lease.
func (c *Core) releaseFenceWaiters() {
	waiters := &c.commands.fenceWaiters
	waiters.release(c.leadership.fencingToken, c.now)
	for _, index := range waiters.takeDue(c.now, c.cfg.Agents.LeaseTTL/4) {
		m := c.machines[index]
		m.commands.nextClearAt = c.now // they have waited long enough
		c.commands.markDirty(m)
	}
}

// raiseTokenForWaiters increments the fencing token if machines have waited for that for the duration of an agent's
// lease. More often would cost more heartbeats, as each agent sends one for a higher token; more seldom would make all
// heartbeats larger.
func (c *Core) raiseTokenForWaiters() {
	waiters := &c.commands.fenceWaiters
	switch {
	case waiters.since == 0:
	case waiters.crowded:
		c.raiseFencingToken(raiseForLargeReport)
	case c.now < waiters.since+c.cfg.Agents.LeaseTTL: // checked often: the rank is computed only when it matters
	case c.now >= waiters.since+c.cfg.Agents.LeaseTTL+c.followerDelay():
		c.raiseFencingToken(raiseForClears)
	}
}

// followerDelay returns how long this controller leaves an increment of the fencing token to the leader and to the
// controllers of better rank.
func (c *Core) followerDelay() time.Duration {
	if c.leadership.isHeld() {
		return 0
	}
	rank := c.controllers.rendezvousRank(keyFencingToken, c.controllers.liveNames())
	return time.Duration(1+rank) * followerTokenDelay
}

// allowStartsAgain allows that starts which an agent rejected because of their fencing token are sent again at once.
func (s *machineCommands) allowStartsAgain(starts []attemptKey) {
	for _, key := range starts {
		if rejected := s.attempts[key]; rejected != nil {
			rejected.commandSent = false
		}
	}
}

// resendAfterConflict handles commands that an agent rejected: it has accepted a higher fencing token, or its
// incarnation has changed. Once this controller knows the higher token, it sends them again without the back-off.
func (c *Core) resendAfterConflict(m *machine, heartbeat *wire.Heartbeat) {
	c.fencing.CommandConflicts++
	c.logConflict(m, heartbeat)
	m.commands.nextSendAt = c.now + conflictBackoff
	if heartbeat == nil || heartbeat.FencingToken <= c.leadership.fencingToken {
		return
	}
	c.replica.afterReadBarrier(func(ok bool) {
		if ok && c.leadership.fencingToken >= heartbeat.FencingToken {
			m.commands.nextSendAt = c.now
			c.commands.markDirty(m)
		}
	})
}

// logConflict logs that an agent rejected commands.
func (c *Core) logConflict(m *machine, heartbeat *wire.Heartbeat) {
	suppressed, ok := c.commandConflictLog.allow(c.now)
	if !ok || heartbeat == nil {
		return
	}
	c.log(LevelInfo, "commands rejected", "machine", m.name, "token", c.leadership.fencingToken,
		"agent_token", heartbeat.FencingToken, "incarnation", heartbeat.Incarnation, "others", suppressed)
}

// logAbsenceProof logs that an attempt counts as ended because its machine does not report it.
func (c *Core) logAbsenceProof(j *job, assignment jobrecord.Assignment) {
	suppressed, ok := c.absenceProofLog.allow(c.now)
	if !ok {
		return
	}
	host := c.machines[assignment.Machine]
	c.log(LevelInfo, "attempt ended without a report", "task", wire.TaskName(j.id, int(assignment.Task)),
		"attempt", assignment.Attempt, "machine", host.name, "agent_token", host.status.fencingToken,
		"seq", host.status.heartbeatSeq, "others", suppressed)
}
