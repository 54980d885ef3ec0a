package core

import (
	"encoding/json"
	"strings"
	"time"

	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// Two versions of this program may run at once, while one replaces the other process by process,
// and both read what either stores. A form is a way of storing and telling things. Each
// controller declares the newest form that it knows, once and for ever, under a key of its own:
// a process that ran a version never comes back with an older one. A form is written only when
// every configured controller has declared it; silence is never taken for a declaration. What
// was stored in older forms is read for ever.
const (
	formFirst   = 0 // the version without declarations
	formAwaits  = 1 // descriptions that name awaited jobs, packed records, marks of cancellation
	formAccess  = 3 // rights; ended records keep their team and class
	formHistory = 2 // ended jobs may have moved into the archive
	formAudit   = 4 // values carry entries of the audit record
	formShared  = 5 // records are numbered, and entries of shared values count on top of them
	formBooking = 6 // bookings of equipment
	formLanes   = 7 // records keep their job's lane and place, and there may be a list of lanes

	formQuorum = 8 // controllers vouch for the cancellations that they know (cancellations.go): nothing is stored otherwise

	// Form is the newest form that this version knows.
	Form = formQuorum
)

const (
	keyForm   = Root + "form/"   // declarations, by controller
	keyCancel = Root + "cancel/" // cancellations of jobs whose record can't be written again as it is
)

// form is the newest form that may be written.
func (c *Core) form() int { return c.schema.active }

// sawForm takes a controller's declaration.
func (c *Core) sawForm(name string, form int) {
	c.schema.declared[name] = max(c.schema.declared[name], form)
	if name == c.cfg.Name && form > c.cfg.Form {
		c.note("error", "a newer version has run here before: this one may not understand what it stored", "form", form)
	}
	least := min(c.schema.declared[c.cfg.Name], c.cfg.Form)
	for _, p := range c.cfg.Peers {
		least = min(least, c.schema.declared[p])
	}
	if least <= c.schema.active {
		return
	}
	c.note("info", "every controller knows this form now", "form", least)
	c.schema.active, c.schema.activeSince = least, c.now
	c.shareBudget()
	for _, j := range c.open { // what is too large is written again before it has to be
		if j.stored.bytes > c.cfg.ValueBytes {
			c.touch(j)
		}
	}
}

// declare writes this controller's declaration.
func (c *Core) declare() {
	if c.schema.declared[c.cfg.Name] >= c.cfg.Form || c.schema.declarationInFlight || c.now < c.schema.nextDeclarationAt || c.transactions.rateLimit.IsPaused(c.now) || !c.leaseOK() {
		return
	}
	c.schema.declarationInFlight = true
	c.schema.nextDeclarationAt = c.now + time.Second
	key := keyForm + c.cfg.Name
	raw, err := json.Marshal(c.cfg.Form)
	if err != nil {
		panic(err) // a number
	}
	c.commit(wire.Txn{Compare: []wire.Compare{{Key: key, Revision: c.schema.declarationRevision}}, Then: []wire.Write{{Put: key, Value: raw}}},
		&txn{done: func(int, wire.TxnResponse) {
			c.schema.declarationInFlight = false
			c.afterBarrier(func(bool) {}) // what came of it shows there
		}})
}

// putForm takes a declaration from the state service.
func (c *Core) putForm(key string, raw json.RawMessage, mark uint64) error {
	var form int
	if err := json.Unmarshal(raw, &form); err != nil {
		return err
	}
	name := strings.TrimPrefix(key, keyForm)
	if name == c.cfg.Name {
		c.schema.declarationRevision = mark
	}
	c.sawForm(name, form)
	return nil
}

// writeRPS is the change rate that all controllers together keep to: the one that is to come
// from the moment when all of them know of it.
func (c *Core) writeRPS() float64 {
	if c.form() >= formAwaits && c.cfg.NextWriteRPS > 0 {
		return c.cfg.NextWriteRPS
	}
	return c.cfg.WriteRPS
}

// shrink adapts to limits smaller than the settings say: a transaction that was refused is not
// sent again as it was.
func (c *Core) shrink(t *wire.Txn) {
	largest := 0
	for _, w := range t.Then {
		largest = max(largest, len(w.Value))
	}
	if n := len(t.Then); n > 2 {
		c.cfg.TxnOps = max(2, n-1)
	} else {
		c.cfg.ValueBytes = max(leastValue, largest*7/8)
	}
	c.note("error", "transaction refused: keeping to smaller ones", "changes", len(t.Then), "largest", largest,
		"txn_ops", c.cfg.TxnOps, "value_bytes", c.cfg.ValueBytes)
}

const leastValue = 512

// cancelMark is the value of a mark of cancellation.
type cancelMark struct {
	CancelMS int64                `json:"cm"`
	Carried  []audit.PendingEntry `json:"e,omitempty"`
}

func (m cancelMark) encode() json.RawMessage {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // a number, and bytes
	}
	return raw
}

// markCancelled cancels a job whose record is too large to be written again as it is: an older
// version may have stored it under larger limits. The mark is one small durable write. The
// record follows as its tasks end, and its writers see to it that there is no mark.
func (c *Core) markCancelled(j *job, ms int64, conds []wire.Compare, acts []auditlog.Event) {
	key := keyCancel + j.id
	list, ids := c.recorder().AttachEntries(key, j.cancellation.markerRevision, j.cancellation.markerAudit, acts)
	raw := cancelMark{CancelMS: ms, Carried: list}.encode()
	j.write.inFlight = true
	c.commit(wire.Txn{Compare: append(conds, wire.Compare{Key: keyJob + j.id, Revision: j.mark}, wire.Compare{Key: key, Revision: j.cancellation.markerRevision}),
		Then: []wire.Write{{Put: key, Value: raw}}}, &txn{done: func(status int, _ wire.TxnResponse) {
		c.recorder().HandleOutcome(ids, status)
		j.write.inFlight = false
		c.touch(j)
		if status == 429 || status == 503 {
			return
		}
		j.write.outcomeUnknown = true
		c.clearUp([]*job{j}, nil, nil) // answers the users once the mark has come
	}})
}

// putCancel takes a mark of cancellation.
func (c *Core) putCancel(key string, raw json.RawMessage, mark uint64) error {
	var v cancelMark
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	j := c.job(key[len(keyCancel):])
	c.recorder().ObserveEntries(key, mark, v.Carried)
	j.cancellation.markerRevision, j.cancellation.markerMS, j.cancellation.markerAudit = mark, v.CancelMS, v.Carried
	if j.mark != 0 && j.rec.Stage == jobrecord.Queued {
		rec := *j.rec
		c.adopt(j, &rec, j.place, j.mark, j.stored.bytes)
	}
	return nil
}
