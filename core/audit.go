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

// KeyRestored exists where a snapshot was restored and that is not recorded yet.
const KeyRestored = Root + "restored"

const auditPage = 40 // blocks in an answer

// restored is a restored state that is not recorded yet.
type restored struct {
	mark uint64 // of KeyRestored; 0: there is none
	what string
	busy bool
}

func (c *Core) newRecorder() *auditlog.Recorder {
	k := &c.cfg
	return auditlog.New(auditlog.Config{Key: k.AuditKey, Node: k.Name, GatherInterval: k.AuditGather, BlockDelay: k.AuditBlock, LateTxnWindow: k.AuditForget,
		ClockErrorMS: k.TimeBoundMS, Settings: k.Settings, StartedAt: c.now, Log: c.note})
}

// recorder is the audit record, as of this moment.
func (c *Core) recorder() *auditlog.Recorder {
	c.audit.Env = auditlog.Env{Now: c.now, UnixMS: c.unixMS(), Enabled: c.auditing(), MaxValueBytes: c.cfg.ValueBytes}
	return c.audit
}

func actOf(by Cred, verb, object, why string) auditlog.Event {
	return auditlog.Event{Identity: by.Who, Key: by.Key, Verb: verb, Object: object, Reason: why}
}

// auditing reports whether this controller records.
func (c *Core) auditing() bool { return c.cfg.AuditKey != nil && c.form() >= formAudit }

// unfit reports whether others record and this controller has no key to: it must not act.
func (c *Core) unfit() bool { return c.cfg.AuditKey == nil && c.audit.IsInitialized() }

// mute reports whether nothing may be written yet that is to be recorded.
func (c *Core) mute() bool { return c.unfit() || c.auditing() && !c.audit.IsStarted() }

// unrecorded are the conditions under which a change needs no entry: a controller that does not record yet must not
// act once another one does.
func (c *Core) unrecorded() []wire.Compare {
	if c.auditing() || c.cfg.AuditKey == nil && !c.guarded() {
		return nil
	}
	return []wire.Compare{{Key: auditlog.KeyInitialized}}
}

// besides is how many changes carryBeside adds.
func (c *Core) besides() int {
	if c.auditing() {
		return 1
	}
	return 0
}

// carryBeside adds a carrier with the entry of an act to a transaction, and returns what must be told of its outcome.
func (c *Core) carryBeside(t *wire.Txn, name string, x auditlog.Event) func(status int) {
	if !c.auditing() {
		for _, k := range c.unrecorded() {
			if !slices.Contains(t.Compare, k) {
				t.Compare = append(t.Compare, k)
			}
		}
		return func(int) {}
	}
	ids := c.recorder().AttachCarrier(t, name, x)
	return func(status int) { c.recorder().HandleOutcome(ids, status) }
}

// auditStep writes blocks when it is due.
func (c *Core) auditStep() {
	if !c.auditing() {
		return
	}
	r := c.recorder()
	if c.stateDown() || !c.leaseOK() {
		r.RejectReadWaiters()
	}
	if r.IsBusy() || !c.leaseOK() || c.transactions.rateLimit.IsPaused(c.now) || c.transactions.rateLimit.WriteTokens < 2 {
		return
	}
	if r.IsStarted() {
		c.recordRestore()
	}
	t := r.NextBlockTxn()
	if t == nil {
		return
	}
	c.commit(*t, &txn{done: func(status int, reply wire.TxnResponse) {
		if status == 400 {
			c.shrink(t)
		}
		if c.recorder().HandleBlockOutcome(status, reply.Revision) { // what is there now shows with the next barrier
			c.afterBarrier(func(bool) { r.ClearBusy() })
		}
	}})
}

// putRestored takes the sign that a snapshot was restored.
func (c *Core) putRestored(raw json.RawMessage, mark uint64) error {
	c.restored.mark = max(c.restored.mark, mark)
	return json.Unmarshal(raw, &c.restored.what)
}

// recordRestore records that the state was restored from a snapshot.
func (c *Core) recordRestore() {
	x := &c.restored
	if x.mark == 0 || x.busy || !c.leads() {
		return
	}
	x.busy = true
	t := wire.Txn{Compare: []wire.Compare{{Key: keyLeader, Revision: c.leadership.leader.mark}, {Key: KeyRestored, Revision: x.mark}}, Then: []wire.Write{{Delete: KeyRestored}}}
	told := c.carryBeside(&t, "restored", auditlog.Event{Verb: auditlog.VerbRestore, Object: "state", Reason: x.what})
	c.commit(t, &txn{done: func(status int, _ wire.TxnResponse) {
		told(status)
		c.afterBarrier(func(bool) { x.busy = false })
	}})
}

// refusedAct notes and records an act that was refused.
func (c *Core) refusedAct(by Cred, verb, object, why string) {
	c.note("info", "refused", "who", by.Who, "verb", verb, "object", object, "why", why)
	c.Stats.Forbidden++
	c.recorder().RecordRefusal(audit.GatheredEvent{Identity: by.Who, Verb: verb, Object: object, Reason: why}, 1)
}

// readAudit answers with a part of the record, to those who may read it.
func (c *Core) readAudit(in ReadAudit) {
	switch {
	case c.closed() || c.cfg.AuditKey != nil && !c.auditing():
		c.refuse(in.Req, notYet)
		return
	case c.cfg.AuditKey == nil:
		c.reply(in.Req, 404, wire.Error{Error: "nothing is recorded here"})
		return
	}
	object := "audit"
	if in.Node != "" {
		object = "audit of " + in.Node
	}
	c.soonAfterBarrier(c.ifMay(in.Req, in.By, pb.Verb_audit, object, func() {
		c.recorder().RecordRead(in.By.Who, "audit", object, func(ok bool) {
			if !ok {
				c.refuse(in.Req, "reading can't be recorded now")
				return
			}
			c.giveAudit(in)
		})
	}))
}

func (c *Core) giveAudit(in ReadAudit) {
	if in.Node == "" {
		var out wire.AuditChainHeads
		for _, n := range sortedKeys(c.audit.Heads()) {
			h := c.audit.Heads()[n]
			out.Heads = append(out.Heads, wire.AuditChainHead{Node: n, BlockNumber: h.BlockNumber, Code: h.MAC})
		}
		c.reply(in.Req, 200, out)
		return
	}
	if c.transactions.rateLimit.ReadTokens < 1 {
		c.refuse(in.Req, "too busy")
		return
	}
	c.scan(audit.BlockPrefix+in.Node+"/", audit.BlockKey(in.Node, in.After), auditPage, func(x Scanned) {
		if x.Status != 200 {
			c.refuse(in.Req, "state service not reached")
			return
		}
		out := wire.AuditPage{More: x.More}
		for _, it := range x.Items {
			if _, n, ok := audit.SplitBlockKey(it.Key); ok {
				out.Blocks = append(out.Blocks, wire.AuditBlock{Number: n, Value: it.Value})
			}
		}
		c.reply(in.Req, 200, out)
	})
}

// stopsOf are the acts of tasks that were stopped, one for each cause.
func stopsOf(id string, why []jobrecord.StopReason) (acts []auditlog.Event) {
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
		acts = append(acts, auditlog.Event{Verb: auditlog.VerbStop, Object: id, Reason: fmt.Sprintf("%s: %d tasks on %s: %s", cause, x.tasks.Count(), machines, strings.Join(tasks, " "))})
	}
	return acts
}
