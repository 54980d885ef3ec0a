package core

import (
	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	pb "dewlift/proto"
)

// KeyRestored exists while the restore of a snapshot is not recorded in the audit log yet.
const KeyRestored = Root + "restored"

const (
	// auditPageBlocks bounds the blocks in one page of the audit log, and so the size of the answer.
	auditPageBlocks = 40

	// auditBlockWriteTokens is the write budget that must be left before a block is written: one
	// write for the block and one for the head of the chain.
	auditBlockWriteTokens = 2

	// maxStopEventMachines bounds the machines that a stop event names, so that it fits an entry.
	maxStopEventMachines = 3
)

// restoreMarker is the replica of KeyRestored.
type restoreMarker struct {
	revision      uint64 // of KeyRestored; 0: absent
	description   string
	writeInFlight bool // the transaction that records the restore
}

// apply applies the stored marker.
func (m *restoreMarker) apply(raw json.RawMessage, revision uint64) error {
	m.revision = max(m.revision, revision)
	return json.Unmarshal(raw, &m.description)
}

// newAuditLog returns an audit log recorder with the controller's configuration.
func (c *Core) newAuditLog() *auditlog.Recorder {
	settings := &c.cfg.Audit
	return auditlog.New(auditlog.Config{
		Key:            settings.Key,
		Node:           c.cfg.Name,
		GatherInterval: settings.GatherDelay,
		BlockDelay:     settings.BlockDelay,
		LateTxnWindow:  settings.ForgetAfter,
		ClockErrorMS:   settings.MaxClockErrorMS,
		Settings:       settings.Settings,
		StartedAt:      c.now,
		LogError:       func(text string, args ...any) { c.log(LevelError, text, args...) },
	})
}

// currentAuditLog returns the audit log recorder with its environment set to the current time.
func (c *Core) currentAuditLog() *auditlog.Recorder {
	c.auditLog.Env = auditlog.Env{
		Now:           c.now,
		UnixMS:        c.unixMS(),
		Enabled:       c.isAuditing(),
		MaxValueBytes: c.cfg.Store.MaxValueBytes,
	}
	return c.auditLog
}

// newAuditEvent returns the audit event of a caller's action.
func newAuditEvent(caller Credential, verb, object, reason string) auditlog.Event {
	return auditlog.Event{Identity: caller.Identity, Key: caller.KeyID, Verb: verb, Object: object, Reason: reason}
}

// isAuditing reports whether this controller records changes in the audit log.
func (c *Core) isAuditing() bool { return c.cfg.Audit.Key != nil && c.schemaVersion() >= schemaAudit }

// lacksAuditKey reports whether other controllers audit and this one has no key for it: it must not
// act, because its changes would be unaudited.
func (c *Core) lacksAuditKey() bool { return c.cfg.Audit.Key == nil && c.auditLog.IsInitialized() }

// auditNotReady reports whether audited changes can't be written yet.
func (c *Core) auditNotReady() bool {
	return c.lacksAuditKey() || c.isAuditing() && !c.auditLog.IsStarted()
}

// unauditedCompares returns the compares under which a change needs no audit entry: a controller that
// does not audit yet must not act once another one does.
func (c *Core) unauditedCompares() []wire.Compare {
	if c.isAuditing() || c.cfg.Audit.Key == nil && !c.permissionsInForce() {
		return nil
	}
	return []wire.Compare{{Key: auditlog.KeyInitialized}}
}

// auditOpsPerTxn returns how many writes addAuditEntry adds to a transaction.
func (c *Core) auditOpsPerTxn() int {
	if c.isAuditing() {
		return 1
	}
	return 0
}

// addAuditEntry adds a carrier with the entry of an event to a transaction. The returned function must
// be called with the outcome of the transaction.
func (c *Core) addAuditEntry(txn *wire.Txn, name string, event auditlog.Event) func(status wire.Status) {
	if !c.isAuditing() {
		for _, compare := range c.unauditedCompares() {
			if !slices.Contains(txn.Compare, compare) {
				txn.Compare = append(txn.Compare, compare)
			}
		}
		return func(wire.Status) {}
	}
	ids := c.currentAuditLog().AttachCarrier(txn, name, event)
	return func(status wire.Status) { c.currentAuditLog().HandleOutcome(ids, status) }
}

// advanceAuditLog writes the next block if one is due and the rate limit allows it.
func (c *Core) advanceAuditLog() {
	if !c.isAuditing() {
		return
	}
	recorder := c.currentAuditLog()
	if c.storeUnreachable() || !c.ownLease.isHeld() {
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
	c.commitTxn(*txn, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		if status == wire.StatusBadRequest {
			c.reduceTxnLimits(txn)
		}
		if c.currentAuditLog().HandleBlockOutcome(status, reply.Revision) {
			// After the next barrier the replica shows whether the block was written.
			c.afterReadBarrier(func(bool) { recorder.ClearBusy() })
		}
	}})
}

// auditRestore records once that the state was restored from a snapshot; the same transaction deletes
// the marker.
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
	handleAuditOutcome := c.addAuditEntry(
		&txn,
		"restored",
		auditlog.Event{Verb: auditlog.VerbRestore, Object: "state", Reason: marker.description},
	)
	c.commitTxn(txn, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		handleAuditOutcome(status)
		c.afterReadBarrier(func(bool) { marker.writeInFlight = false })
	}})
}

// auditDenial logs, counts and records a denied action.
func (c *Core) auditDenial(caller Credential, verb, object, reason string) {
	c.log(LevelInfo, "permission denied", "who", caller.Identity, "verb", verb, "object", object, "why", reason)
	c.Stats.PermissionDenials++
	c.currentAuditLog().
		RecordRefusal(audit.GatheredEvent{Identity: caller.Identity, Verb: verb, Object: object, Reason: reason}, 1)
}

// handleReadAudit answers with a page of the audit log, to permitted callers. Reading is itself recorded,
// before the answer.
func (c *Core) handleReadAudit(in ReadAudit) {
	switch {
	case c.isNotServing() || c.cfg.Audit.Key != nil && !c.isAuditing():
		c.respondUnavailable(in.RequestID, reasonNotReady)
		return
	case c.cfg.Audit.Key == nil:
		c.respond(in.RequestID, wire.StatusNotFound, wire.Error{Error: "nothing is recorded here"})
		return
	}
	object := "audit"
	if in.Node != "" {
		object = "audit of " + in.Node
	}
	c.afterUrgentReadBarrier(c.ifAuthorized(in.RequestID, in.Caller, pb.Verb_audit, object, func() {
		c.currentAuditLog().RecordRead(in.Caller.Identity, "audit", object, func(ok bool) {
			if !ok {
				c.respondUnavailable(in.RequestID, "reading can't be recorded now")
				return
			}
			c.respondWithAuditPage(in)
		})
	}))
}

// respondWithAuditPage answers with the heads of all chains, or with a page of one controller's blocks.
func (c *Core) respondWithAuditPage(in ReadAudit) {
	if in.Node == "" {
		var out wire.AuditChainHeads
		for _, node := range sortedKeys(c.auditLog.Heads()) {
			head := c.auditLog.Heads()[node]
			out.Heads = append(
				out.Heads,
				wire.AuditChainHead{Node: node, BlockNumber: head.BlockNumber, Code: head.MAC},
			)
		}
		c.respond(in.RequestID, wire.StatusOK, out)
		return
	}
	if c.transactions.rateLimit.ReadTokens < 1 {
		c.respondUnavailable(in.RequestID, "too busy")
		return
	}
	c.reads.readPrefix(
		audit.BlockPrefix+in.Node+"/",
		audit.BlockKey(in.Node, in.AfterBlock),
		auditPageBlocks,
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

// stoppedTasks are the tasks of a job that stopped for one cause, and their machines without repetition.
type stoppedTasks struct {
	tasks    jobrecord.TaskSet
	machines []string
}

// taskStopEvents returns the audit events of stopped tasks, one for each cause, ordered by cause.
func taskStopEvents(id string, reasons []jobrecord.StopReason) (events []auditlog.Event) {
	if len(reasons) == 0 { // as for most writes of a record
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

// summary describes the stopped tasks for the audit log. It sorts the machines.
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
