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

// KeyRestored exists where a snapshot was restored and that is not recorded yet.
const KeyRestored = Root + "restored"

const auditPageBlocks = 40 // blocks in an answer

// restoreMarker is a restored state that is not recorded yet.
type restoreMarker struct {
	revision      uint64 // of KeyRestored; 0: there is none
	description   string
	writeInFlight bool
}

func (c *Core) newAuditLog() *auditlog.Recorder {
	k := &c.cfg
	return auditlog.New(auditlog.Config{
		Key:            k.Audit.Key,
		Node:           k.Name,
		GatherInterval: k.Audit.GatherDelay,
		BlockDelay:     k.Audit.BlockDelay,
		LateTxnWindow:  k.Audit.ForgetAfter,
		ClockErrorMS:   k.Audit.MaxClockErrorMS,
		Settings:       k.Audit.Settings,
		StartedAt:      c.now,
		LogError:       func(text string, args ...any) { c.log(LevelError, text, args...) },
	})
}

// currentAuditLog is the audit record, as of this moment.
func (c *Core) currentAuditLog() *auditlog.Recorder {
	c.auditLog.Env = auditlog.Env{
		Now:           c.now,
		UnixMS:        c.unixMS(),
		Enabled:       c.isAuditing(),
		MaxValueBytes: c.cfg.Store.MaxValueBytes,
	}
	return c.auditLog
}

func newAuditEvent(by Credential, verb, object, why string) auditlog.Event {
	return auditlog.Event{Identity: by.Identity, Key: by.KeyID, Verb: verb, Object: object, Reason: why}
}

// isAuditing reports whether this controller records.
func (c *Core) isAuditing() bool { return c.cfg.Audit.Key != nil && c.schemaVersion() >= schemaAudit }

// lacksAuditKey reports whether others record and this controller has no key to: it must not act.
func (c *Core) lacksAuditKey() bool { return c.cfg.Audit.Key == nil && c.auditLog.IsInitialized() }

// auditNotReady reports whether nothing may be written yet that is to be recorded.
func (c *Core) auditNotReady() bool {
	return c.lacksAuditKey() || c.isAuditing() && !c.auditLog.IsStarted()
}

// unauditedCompares are the conditions under which a change needs no entry: a controller that does
// not record yet must not act once another one does.
func (c *Core) unauditedCompares() []wire.Compare {
	if c.isAuditing() || c.cfg.Audit.Key == nil && !c.permissionsInForce() {
		return nil
	}
	return []wire.Compare{{Key: auditlog.KeyInitialized}}
}

// auditOpsPerTxn is how many changes carryBeside adds.
func (c *Core) auditOpsPerTxn() int {
	if c.isAuditing() {
		return 1
	}
	return 0
}

// addAuditEntry adds a carrier with the entry of an act to a transaction, and returns what must be told of its outcome.
func (c *Core) addAuditEntry(t *wire.Txn, name string, x auditlog.Event) func(status wire.Status) {
	if !c.isAuditing() {
		for _, k := range c.unauditedCompares() {
			if !slices.Contains(t.Compare, k) {
				t.Compare = append(t.Compare, k)
			}
		}
		return func(wire.Status) {}
	}
	ids := c.currentAuditLog().AttachCarrier(t, name, x)
	return func(status wire.Status) { c.currentAuditLog().HandleOutcome(ids, status) }
}

// advanceAuditLog writes blocks when it is due.
func (c *Core) advanceAuditLog() {
	if !c.isAuditing() {
		return
	}
	r := c.currentAuditLog()
	if c.storeUnreachable() || !c.holdsLease() {
		r.RejectReadWaiters()
	}
	if r.IsBusy() || !c.holdsLease() || c.transactions.rateLimit.IsPaused(c.now) ||
		c.transactions.rateLimit.WriteTokens < 2 {
		return
	}
	if r.IsStarted() {
		c.auditRestore()
	}
	t := r.NextBlockTxn()
	if t == nil {
		return
	}
	c.commitTxn(*t, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		if status == wire.StatusBadRequest {
			c.reduceTxnLimits(t)
		}
		// what is there now shows with the next barrier
		if c.currentAuditLog().HandleBlockOutcome(status, reply.Revision) {
			c.afterReadBarrier(func(bool) { r.ClearBusy() })
		}
	}})
}

// applyRestoreMarker takes the sign that a snapshot was restored.
func (c *Core) applyRestoreMarker(raw json.RawMessage, mark uint64) error {
	c.restoreMarker.revision = max(c.restoreMarker.revision, mark)
	return json.Unmarshal(raw, &c.restoreMarker.description)
}

// auditRestore records that the state was restored from a snapshot.
func (c *Core) auditRestore() {
	x := &c.restoreMarker
	if x.revision == 0 || x.writeInFlight || !c.isLeader() {
		return
	}
	x.writeInFlight = true
	t := wire.Txn{
		Compare: []wire.Compare{
			{Key: keyLeader, Revision: c.leadership.leader.mark},
			{Key: KeyRestored, Revision: x.revision},
		},
		Then: []wire.Write{{Delete: KeyRestored}},
	}
	told := c.addAuditEntry(
		&t,
		"restored",
		auditlog.Event{Verb: auditlog.VerbRestore, Object: "state", Reason: x.description},
	)
	c.commitTxn(t, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		told(status)
		c.afterReadBarrier(func(bool) { x.writeInFlight = false })
	}})
}

// auditDenial notes and records an act that was refused.
func (c *Core) auditDenial(by Credential, verb, object, why string) {
	c.log(LevelInfo, "refused", "who", by.Identity, "verb", verb, "object", object, "why", why)
	c.Stats.PermissionDenials++
	c.currentAuditLog().
		RecordRefusal(audit.GatheredEvent{Identity: by.Identity, Verb: verb, Object: object, Reason: why}, 1)
}

// handleReadAudit answers with a part of the record, to those who may read it.
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

func (c *Core) respondWithAuditPage(in ReadAudit) {
	if in.Node == "" {
		var out wire.AuditChainHeads
		for _, n := range sortedKeys(c.auditLog.Heads()) {
			h := c.auditLog.Heads()[n]
			out.Heads = append(out.Heads, wire.AuditChainHead{Node: n, BlockNumber: h.BlockNumber, Code: h.MAC})
		}
		c.respond(in.RequestID, wire.StatusOK, out)
		return
	}
	if c.transactions.rateLimit.ReadTokens < 1 {
		c.respondUnavailable(in.RequestID, "too busy")
		return
	}
	c.readPrefix(
		audit.BlockPrefix+in.Node+"/",
		audit.BlockKey(in.Node, in.AfterBlock),
		auditPageBlocks,
		func(x RangeResult) {
			if x.Status != wire.StatusOK {
				c.respondUnavailable(in.RequestID, "state service not reached")
				return
			}
			out := wire.AuditPage{More: x.More}
			for _, it := range x.Items {
				if _, n, ok := audit.SplitBlockKey(it.Key); ok {
					out.Blocks = append(out.Blocks, wire.AuditBlock{Number: n, Value: it.Value})
				}
			}
			c.respond(in.RequestID, wire.StatusOK, out)
		},
	)
}

// taskStopEvents are the acts of tasks that were stopped, one for each cause.
func taskStopEvents(id string, why []jobrecord.StopReason) (acts []auditlog.Event) {
	if len(why) == 0 { // most writes
		return nil
	}
	causes := map[string]*struct {
		tasks    jobrecord.TaskSet
		machines []string
	}{}
	for _, w := range why {
		x := causes[w.Cause]
		if x == nil {
			x = new(struct {
				tasks    jobrecord.TaskSet
				machines []string
			})
			causes[w.Cause] = x
		}
		x.tasks = x.tasks.Add(w.Task)
		if !slices.Contains(x.machines, w.Machine) {
			x.machines = append(x.machines, w.Machine)
		}
	}
	for _, cause := range sortedKeys(causes) {
		x := causes[cause]
		var tasks []string
		for i := 0; i < len(x.tasks); i += 2 {
			if x.tasks[i] == x.tasks[i+1] {
				tasks = append(tasks, fmt.Sprint(x.tasks[i]))
			} else {
				tasks = append(tasks, fmt.Sprintf("%d-%d", x.tasks[i], x.tasks[i+1]))
			}
		}
		slices.Sort(x.machines)
		machines := strings.Join(x.machines[:min(len(x.machines), 3)], " ")
		if n := len(x.machines) - 3; n > 0 {
			machines += fmt.Sprintf(" and %d more", n)
		}
		acts = append(
			acts,
			auditlog.Event{
				Verb:   auditlog.VerbStop,
				Object: id,
				Reason: fmt.Sprintf(
					"%s: %d tasks on %s: %s",
					cause,
					x.tasks.Count(),
					machines,
					strings.Join(tasks, " "),
				),
			},
		)
	}
	return acts
}
