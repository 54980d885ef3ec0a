package core

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// testAgent is an agent that follows the protocol's rules about fencing tokens, incarnations and clears. It keeps each
// batch that it has executed, so that a test can deliver a copy of it.
type testAgent struct {
	token    uint64
	seq      uint64
	tasks    []wire.TaskStatus
	refuses  bool // starts are refused for lack of capacity
	noticeS  *float64
	executed []wire.CommandBatch
	cleared  map[wire.TaskStatus]bool // by task and attempt
	again    []wire.Command           // starts of attempts that were cleared before
}

// execute executes a batch of commands and returns the status and the heartbeat of the response.
func (a *testAgent) execute(batch wire.CommandBatch) (wire.Status, *wire.Heartbeat) {
	if batch.FencingToken < a.token || batch.Incarnation != 1 {
		return wire.StatusConflict, a.heartbeat()
	}
	a.token = batch.FencingToken
	a.executed = append(a.executed, batch)
	for _, command := range batch.Commands {
		a.executeCommand(command)
	}
	return wire.StatusOK, a.heartbeat()
}

func (a *testAgent) executeCommand(command wire.Command) {
	attempt := wire.TaskStatus{Task: command.Task, Attempt: command.Attempt}
	for i, status := range a.tasks {
		if status.Task != command.Task || status.Attempt != command.Attempt {
			continue
		}
		exited := status.Stage == wire.TaskExited
		switch {
		case command.Op == wire.OpStop && !exited:
			a.tasks[i].Stage, a.tasks[i].Cause = wire.TaskExited, wire.CauseStopped
		case command.Op == wire.OpClear && exited:
			a.cleared[attempt] = true
			a.tasks = append(a.tasks[:i:i], a.tasks[i+1:]...)
		}
		return
	}
	if command.Op != wire.OpStart {
		return
	}
	if a.cleared[attempt] {
		a.again = append(a.again, command)
	}
	attempt.Stage = wire.TaskRunning
	if a.refuses {
		attempt.Stage, attempt.Cause = wire.TaskExited, wire.CauseNoCapacity
	}
	a.tasks = append(a.tasks, attempt)
}

func (a *testAgent) heartbeat() *wire.Heartbeat {
	a.seq++
	heartbeat := testHeartbeat(a.seq, append([]wire.TaskStatus(nil), a.tasks...)...)
	heartbeat.FencingToken, heartbeat.InterruptionNoticeS = a.token, a.noticeS
	return heartbeat
}

// complete ends all running tasks with success.
func (a *testAgent) complete() {
	for i := range a.tasks {
		if a.tasks[i].Stage == wire.TaskRunning {
			a.tasks[i].Stage, a.tasks[i].Cause = wire.TaskExited, wire.CauseDone
		}
	}
}

// agentCluster is a leading core with a store that executes every write and one machine with a testAgent.
type agentCluster struct {
	core     *Core
	agent    *testAgent
	now      time.Duration
	revision uint64
	relayed  int // command requests that went through another controller
}

func newAgentCluster(t *testing.T) *agentCluster {
	t.Helper()
	agent := &testAgent{token: 1, seq: 1, cleared: map[wire.TaskStatus]bool{}}
	return &agentCluster{core: newLeadingCore(t), agent: agent, now: time.Second, revision: 100}
}

// run advances the cluster by a duration, with a heartbeat each second.
func (w *agentCluster) run(duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now + duration; w.now < end; w.now += step {
		if w.now%time.Second == 0 {
			w.core.Handle(w.now, AgentHeartbeat{RequestID: 50, Heartbeat: w.agent.heartbeat()})
		}
		for _, output := range w.core.Advance(w.now) {
			w.perform(output)
		}
	}
}

func (w *agentCluster) perform(output Output) {
	switch output := output.(type) {
	case CommitTxn:
		w.commit(output)
	case Watch:
		if !output.LongPoll {
			changes := wire.WatchResponse{Revision: w.revision}
			w.core.Handle(w.now, WatchResult{Status: wire.StatusOK, Changes: changes})
		}
	case CloudRequest:
		w.core.Handle(w.now, CloudResult{ID: output.ID, Status: wire.StatusUnavailable, Error: noCapacity})
	case LeaseRequest:
		w.core.Handle(w.now, LeaseResult{Op: output.Op, Status: wire.StatusOK, LeaseID: w.core.ownLease.id})
	case SendCommands:
		w.core.Handle(w.now, w.sendCommands(output))
	case SendToPeer:
		if request := output.Message.Commands; request != nil {
			w.relayed++
			result := w.sendCommands(*request)
			w.core.Handle(w.now, PeerMessage{Peer: output.Peer, Message: Message{CommandsResult: &result}})
		}
	}
}

func (w *agentCluster) sendCommands(request SendCommands) CommandsResult {
	status, heartbeat := w.agent.execute(request.Batch)
	return CommandsResult{ID: request.ID, Status: status, MaybeDelivered: true, Heartbeat: heartbeat}
}

// commit executes a transaction. The watch delivers a new fencing token at once.
func (w *agentCluster) commit(output CommitTxn) {
	w.revision++
	reply := wire.TxnResponse{Revision: w.revision}
	w.core.Handle(w.now, TxnResult{ID: output.ID, Status: wire.StatusOK, Reply: reply})
	for _, write := range output.Txn.Then {
		if write.Put == keyFencingToken {
			w.deliverToken(write.Value)
		}
	}
}

func (w *agentCluster) deliverToken(value json.RawMessage) {
	event := wire.WatchEvent{Put: keyFencingToken, Value: value, Revision: w.revision}
	changes := wire.WatchResponse{Revision: w.revision, Events: []wire.WatchEvent{event}}
	w.core.Handle(w.now, WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: changes})
}

// deliverCopies delivers a copy of each batch that the agent has executed, in their order.
func (w *agentCluster) deliverCopies() {
	originals := w.agent.executed
	for _, batch := range originals {
		w.agent.execute(batch)
	}
	w.agent.executed = originals
}

// startAndEndCases are the ways in which an attempt ends and is cleared.
var startAndEndCases = map[string]struct {
	service bool
	prepare func(w *agentCluster)
	end     func(w *agentCluster)
}{
	"done": {end: func(w *agentCluster) { w.agent.complete() }},
	"refused": {
		prepare: func(w *agentCluster) { w.agent.refuses = true },
		end:     func(w *agentCluster) { w.agent.refuses = false },
	},
	"moved": {service: true, end: func(w *agentCluster) {
		notice := 600.0
		w.agent.noticeS = &notice
	}},
	"cancelled": {end: func(w *agentCluster) { w.core.Handle(w.now, CancelJob{RequestID: 2, ID: "wk-1"}) }},
	"preempted": {end: func(w *agentCluster) {
		j := w.core.internJob("wk-1")
		assigned := j.assignments[0]
		key := attemptKey{j.index, assigned.Task, assigned.Attempt}
		w.core.stopTask(w.core.machines[assigned.Machine], key, j.record.Spec, "preempted")
	}},
	"relayed": {
		prepare: func(w *agentCluster) {
			w.core.controllers.membership.MarkSeen(w.now, "n1")
			w.core.internMachine("m-1").commands.unanswered = 1
		},
		end: func(w *agentCluster) { w.agent.complete() },
	},
}

// An attempt that was cleared must not start again when a copy of its answered start command arrives late.
func TestCopyOfAnsweredStartDoesNotStartClearedAttempt(t *testing.T) {
	for name, test := range startAndEndCases {
		t.Run(name, func(t *testing.T) {
			w := newAgentCluster(t)
			if test.prepare != nil {
				test.prepare(w)
			}
			submission := testSubmission("wk-1")
			submission.Spec.Service = test.service
			w.core.Handle(w.now, submission)
			w.run(2 * time.Second)
			if len(w.agent.tasks) == 0 || name == "relayed" && w.relayed == 0 {
				t.Fatalf("no start: tasks %+v, %d requests relayed", w.agent.tasks, w.relayed)
			}
			test.end(w)
			for range 60 {
				w.run(time.Second)
				w.deliverCopies()
				if len(w.agent.again) > 0 {
					t.Fatalf("at %v a copy started %+v, which was cleared before", w.now, w.agent.again)
				}
			}
			if len(w.agent.cleared) == 0 {
				t.Error("no attempt was cleared within a minute")
			}
		})
	}
}

// Clears need a higher token, and each increment may cost a heartbeat of every agent.
func TestClearsOfQuietTermShareTokenIncrements(t *testing.T) {
	w := newAgentCluster(t)
	const jobs = 60
	before := w.core.leadership.fencingToken
	for i := range jobs {
		w.core.Handle(w.now, testSubmission(fmt.Sprintf("wk-%d", i+1)))
		w.run(time.Second)
		w.agent.complete()
	}
	w.run(2 * w.core.cfg.Agents.LeaseTTL)
	if len(w.agent.cleared) != jobs {
		t.Errorf("%d of %d attempts are cleared", len(w.agent.cleared), jobs)
	}
	interval := w.core.cfg.Agents.LeaseTTL
	limit := uint64((jobs*time.Second+2*interval)/interval) + 1
	if raised := w.core.leadership.fencingToken - before; raised > limit {
		t.Errorf("the fencing token was incremented %d times, at most %d are allowed", raised, limit)
	}
}

// Each token that an agent learns from a response costs one more heartbeat, so only proofs that need it bring it.
func TestResponsesCarryHigherTokenWhereNeeded(t *testing.T) {
	for name, test := range map[string]struct {
		change func(w *agentCluster)
		want   uint64
	}{
		"raised for clears": {func(w *agentCluster) { w.deliverToken(json.RawMessage("2")) }, 1},
		"raised by a claim": {func(w *agentCluster) {
			w.deliverToken(json.RawMessage("2"))
			w.core.leadership.recordClaim(leasedKey{FencingToken: 2})
		}, 2},
		"a cancelled task is assigned": {func(w *agentCluster) {
			w.deliverToken(json.RawMessage("2"))
			w.core.internJob("wk-1").record.Stage = jobrecord.Cancelled
		}, 2},
	} {
		w := newAgentCluster(t)
		w.core.Handle(w.now, testSubmission("wk-1"))
		w.run(2 * time.Second)
		w.revision++
		test.change(w)
		w.core.Handle(w.now, AgentHeartbeat{RequestID: 77, Heartbeat: w.agent.heartbeat()})
		for _, response := range outputsOfType[Response](w.core.Advance(w.now)) {
			body, ok := response.Body.(wire.HeartbeatResponse)
			if response.RequestID == 77 && (!ok || body.FencingToken != test.want) {
				t.Errorf("%s: the response is %+v, want token %d", name, response, test.want)
			}
		}
	}
}
