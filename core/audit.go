package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	pb "dewlift/proto"
	"dewlift/wire"
)

// KeyRestored exists from the restore of a snapshot until the restore is recorded in the audit log.
const KeyRestored = Root + "restored"

const (
	// maxAuditPageBlocks bounds the blocks in one page of the audit log, and so the size of the response.
	maxAuditPageBlocks = 40

	// auditBlockWriteTokens is the number of write tokens that writing a block needs: one for the block and one for
	// the head of the chain.
	auditBlockWriteTokens = 2

	// maxStopEventMachines bounds the machines that the event of a task stop names, so that it fits an entry.
	maxStopEventMachines = 3
)

// restoreMarker is the replica of KeyRestored.
type restoreMarker struct {
	revision      uint64 // of KeyRestored; 0: absent
	description   string
	writeInFlight bool // a transaction that records the restore is in flight
}

// apply updates the replica from a stored value.
func (m *restoreMarker) apply(raw json.RawMessage, revision uint64) error {
	m.revision = max(m.revision, revision)
	return json.Unmarshal(raw, &m.description)
}

// auditState is the audit log recorder and the state that decides whether changes must be recorded.
type auditState struct {
	*environment
	schema      *schemaState
	permissions *permissionState
	stats       *Stats
	recorder    *auditlog.Recorder // calls that need its environment go through current
}

// newAuditLog returns an audit log recorder for the controller's configuration.
func newAuditLog(env *environment) *auditlog.Recorder {
	settings := &env.cfg.Audit
	return auditlog.New(auditlog.Config{
		Key:                 settings.Key,
		Node:                env.cfg.Name,
		AggregationInterval: settings.AggregationInterval,
		BlockDelay:          settings.BlockDelay,
		LateTxnWindow:       settings.LateTxnWindow,
		ClockErrorMS:        settings.MaxClockErrorMS,
		Settings:            settings.Settings,
		StartedAt:           env.now,
		LogError:            func(text string, args ...any) { env.log(LevelError, text, args...) },
	})
}

// current sets the environment of the audit log recorder to the current time and state, and returns the recorder.
func (a *auditState) current() *auditlog.Recorder {
	a.recorder.Env = auditlog.Env{
		Now:           a.now,
		UnixMS:        a.unixMS(),
		Enabled:       a.isEnabled(),
		MaxValueBytes: a.cfg.Store.MaxValueBytes,
	}
	return a.recorder
}

// newAuditEvent returns the audit event of a caller's action.
func newAuditEvent(caller Credential, verb, object, reason string) auditlog.Event {
	return auditlog.Event{Identity: caller.Identity, Key: caller.KeyID, Verb: verb, Object: object, Reason: reason}
}

// isEnabled reports whether this controller records changes in the audit log.
func (a *auditState) isEnabled() bool {
	return a.cfg.Audit.Key != nil && a.schema.active >= schemaAudit
}

// lacksKey reports whether other controllers audit but this one has no audit key: it must not act, because its
// changes would not be audited.
func (a *auditState) lacksKey() bool { return a.cfg.Audit.Key == nil && a.recorder.IsInitialized() }

// isNotReady reports whether changes that must be audited can't be written yet.
func (a *auditState) isNotReady() bool {
	return a.lacksKey() || a.isEnabled() && !a.recorder.IsStarted()
}

// unauditedCompares returns the compares that a change without an audit entry needs: they fail once any controller
// audits, because a controller that does not audit yet must not act then.
func (a *auditState) unauditedCompares() []wire.Compare {
	if a.isEnabled() || a.cfg.Audit.Key == nil && !a.permissions.isInForce() {
		return nil
	}
	return []wire.Compare{{Key: auditlog.KeyInitialized}}
}

// opsPerTxn returns the number of writes that addEntry adds to a transaction.
func (a *auditState) opsPerTxn() int {
	if a.isEnabled() {
		return 1
	}
	return 0
}

// addEntry adds a write of an outbox key with the entry of an event to a transaction. The caller must pass the
// outcome of the transaction to the returned function.
func (a *auditState) addEntry(txn *wire.Txn, name string, event auditlog.Event) func(status wire.Status) {
	if !a.isEnabled() {
		for _, compare := range a.unauditedCompares() {
			if !slices.Contains(txn.Compare, compare) {
				txn.Compare = append(txn.Compare, compare)
			}
		}
		return func(wire.Status) {}
	}
	ids := a.current().AttachOutbox(txn, name, event)
	return func(status wire.Status) { a.current().HandleOutcome(ids, status) }
}

// advanceAuditLog starts the transaction of the next block if one is due and the rate limit allows it.
func (c *Core) advanceAuditLog() {
	if !c.auditLog.isEnabled() {
		return
	}
	recorder := c.auditLog.current()
	if c.replica.isStoreUnreachable() || !c.ownLease.isHeld() {
		recorder.RejectReadWaiters()
	}
	if recorder.IsBusy() || !c.ownLease.isHeld() || c.transactions.rateLimit.IsPaused(c.now) ||
		c.transactions.rateLimit.WriteTokens < auditBlockWriteTokens {
		return
	}
	if recorder.IsStarted() {
		c.auditRestore()
	}
	txn := recorder.NextBlockTxn()
	if txn == nil {
		return
	}
	c.transactions.commit(*txn, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		if status == wire.StatusBadRequest {
			c.transactions.limits.handleRefusal(txn)
		}
		if c.auditLog.current().HandleBlockOutcome(status, reply.Revision) {
			// After the next read barrier the replica shows whether the block was written.
			c.replica.afterReadBarrier(func(bool) { recorder.ClearBusy() })
		}
	}})
}

// auditRestore records that the state was restored from a snapshot. The same transaction deletes the marker, so the
// restore is recorded exactly once.
func (c *Core) auditRestore() {
	marker := &c.restoreMarker
	if marker.revision == 0 || marker.writeInFlight || !c.leadership.isHeld() {
		return
	}
	marker.writeInFlight = true
	txn := wire.Txn{
		Compare: []wire.Compare{
			{Key: keyLeader, Revision: c.leadership.leader.modRevision},
			{Key: KeyRestored, Revision: marker.revision},
		},
		Then: []wire.Write{{Delete: KeyRestored}},
	}
	handleAuditOutcome := c.auditLog.addEntry(
		&txn,
		"restored",
		auditlog.Event{Verb: auditlog.VerbRestore, Object: "state", Reason: marker.description},
	)
	c.transactions.commit(txn, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		handleAuditOutcome(status)
		c.replica.afterReadBarrier(func(bool) { marker.writeInFlight = false })
	}})
}

// recordDenial logs and counts a denied action, and records it in the audit log.
func (a *auditState) recordDenial(caller Credential, verb, object, reason string) {
	a.log(LevelInfo, "permission denied", "who", caller.Identity, "verb", verb, "object", object, "why", reason)
	a.stats.PermissionDenials++
	a.current().
		RecordDenial(audit.AggregatedEvent{Identity: caller.Identity, Verb: verb, Object: object, Reason: reason}, 1)
}

// handleReadAudit responds to a permitted caller with a page of the audit log. The read itself is recorded before
// the response.
func (c *Core) handleReadAudit(in ReadAudit) {
	switch {
	case c.access.isNotServing() || c.cfg.Audit.Key != nil && !c.auditLog.isEnabled():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.cfg.Audit.Key == nil:
		c.respond(in.RequestID, wire.StatusNotFound, wire.Error{Error: "nothing is recorded here"})
		return
	}
	object := "audit"
	if in.Controller != "" {
		object = "audit of " + in.Controller
	}
	c.replica.afterUrgentReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, pb.Verb_audit, object, func() {
		c.auditLog.current().RecordRead(in.Caller.Identity, "audit", object, func(ok bool) {
			if !ok {
				c.respondUnavailable(in.RequestID, "reading can't be recorded now")
				return
			}
			c.respondWithAuditPage(in)
		})
	}))
}

// respondWithAuditPage responds with a page of one controller's blocks or, if no controller is named, with the
// heads of all chains.
func (c *Core) respondWithAuditPage(in ReadAudit) {
	if in.Controller == "" {
		var out wire.AuditChainHeads
		for _, node := range sortedKeys(c.auditLog.recorder.Heads()) {
			head := c.auditLog.recorder.Heads()[node]
			out.Heads = append(
				out.Heads,
				wire.AuditChainHead{Node: node, BlockNumber: head.BlockNumber, MAC: head.MAC},
			)
		}
		c.respond(in.RequestID, wire.StatusOK, out)
		return
	}
	if c.transactions.rateLimit.RequestTokens < 1 {
		c.respondUnavailable(in.RequestID, reasonTooBusy)
		return
	}
	c.reads.readPrefix(
		audit.BlockPrefix+in.Controller+"/",
		audit.BlockKey(in.Controller, in.AfterBlock),
		maxAuditPageBlocks,
		func(result RangeResult) {
			if result.Status != wire.StatusOK {
				c.respondUnavailable(in.RequestID, reasonStoreUnreachable)
				return
			}
			out := wire.AuditPage{More: result.More}
			for _, item := range result.Items {
				if _, number, ok := audit.SplitBlockKey(item.Key); ok {
					out.Blocks = append(out.Blocks, wire.AuditBlock{Number: number, Value: item.Value})
				}
			}
			c.respond(in.RequestID, wire.StatusOK, out)
		},
	)
}

// stoppedTasks are the tasks of a job that stopped for one cause, and their machines without duplicates.
type stoppedTasks struct {
	tasks    jobrecord.TaskSet
	machines []string
}

// taskStopEvents returns one audit event for each cause for which tasks of a job stopped, ordered by cause.
func taskStopEvents(id string, reasons []jobrecord.StopReason) (events []auditlog.Event) {
	if len(reasons) == 0 { // true for most writes of a record
		return nil
	}
	causes := map[string]*stoppedTasks{}
	for _, reason := range reasons {
		stopped := causes[reason.Cause]
		if stopped == nil {
			stopped = &stoppedTasks{}
			causes[reason.Cause] = stopped
		}
		stopped.tasks = stopped.tasks.Add(reason.Task)
		if !slices.Contains(stopped.machines, reason.Machine) {
			stopped.machines = append(stopped.machines, reason.Machine)
		}
	}
	for _, cause := range sortedKeys(causes) {
		events = append(
			events,
			auditlog.Event{Verb: auditlog.VerbStop, Object: id, Reason: cause + ": " + causes[cause].summary()},
		)
	}
	return events
}

// summary describes the stopped tasks for the audit log, with consecutive tasks as ranges. It sorts the machines.
func (s *stoppedTasks) summary() string {
	var tasks []string
	for i := 0; i < len(s.tasks); i += 2 {
		if s.tasks[i] == s.tasks[i+1] {
			tasks = append(tasks, fmt.Sprint(s.tasks[i]))
		} else {
			tasks = append(tasks, fmt.Sprintf("%d-%d", s.tasks[i], s.tasks[i+1]))
		}
	}
	slices.Sort(s.machines)
	machines := strings.Join(s.machines[:min(len(s.machines), maxStopEventMachines)], " ")
	if n := len(s.machines) - maxStopEventMachines; n > 0 {
		machines += fmt.Sprintf(" and %d more", n)
	}
	return fmt.Sprintf("%d tasks on %s: %s", s.tasks.Count(), machines, strings.Join(tasks, " "))
}
