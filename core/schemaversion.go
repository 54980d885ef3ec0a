package core

import (
	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"encoding/json"
	"strings"
	"time"
)

// Two versions of this program may run at once, while one replaces the other process by process,
// and both read what either stores. A form is a way of storing and telling things. Each
// controller declares the newest form that it knows, once and for ever, under a key of its own:
// a process that ran a version never comes back with an older one. A form is written only when
// every configured controller has declared it; silence is never taken for a declaration. What
// was stored in older forms is read for ever.
const (
	schemaInitial         = 0 // the version without declarations
	schemaDependencies    = 1 // descriptions that name awaited jobs, packed records, marks of cancellation
	schemaPermissions     = 3 // rights; ended records keep their team and class
	schemaArchive         = 2 // ended jobs may have moved into the archive
	schemaAudit           = 4 // values carry entries of the audit record
	schemaSharedValues    = 5 // records are numbered, and entries of shared values count on top of them
	schemaReservations    = 6 // bookings of equipment
	schemaPriorityClasses = 7 // records keep their job's lane and place, and there may be a list of lanes

	// controllers vouch for the cancellations that they know (cancellations.go): nothing is stored otherwise
	schemaCancelQuorum = 8

	// Form is the newest form that this version knows.
	SchemaVersion = schemaCancelQuorum
)

const (
	keySchemaVersion = Root + "form/"   // declarations, by controller
	keyCancel        = Root + "cancel/" // cancellations of jobs whose record can't be written again as it is
)

// schemaVersion is the newest form that may be written.
func (c *Core) schemaVersion() int { return c.schema.active }

// recordSchemaVersion takes a controller's declaration.
func (c *Core) recordSchemaVersion(name string, form int) {
	c.schema.declared[name] = max(c.schema.declared[name], form)
	if name == c.cfg.Name && form > c.cfg.SchemaVersion {
		c.log(
			LevelError,
			"a newer version has run here before: this one may not understand what it stored",
			"form",
			form,
		)
	}
	least := min(c.schema.declared[c.cfg.Name], c.cfg.SchemaVersion)
	for _, p := range c.cfg.Peers {
		least = min(least, c.schema.declared[p])
	}
	if least <= c.schema.active {
		return
	}
	c.log(LevelInfo, "every controller knows this form now", "form", least)
	c.schema.active, c.schema.activeSince = least, c.now
	c.updateRateLimit()
	for _, j := range c.openJobs { // what is too large is written again before it has to be
		if j.stored.bytes > c.cfg.Store.MaxValueBytes {
			c.markDirty(j)
		}
	}
}

// declareSchemaVersion writes this controller's declaration.
func (c *Core) declareSchemaVersion() {
	if c.schema.declared[c.cfg.Name] >= c.cfg.SchemaVersion || c.schema.declarationInFlight ||
		c.now < c.schema.nextDeclarationAt ||
		c.transactions.rateLimit.IsPaused(c.now) ||
		!c.holdsLease() {
		return
	}
	c.schema.declarationInFlight = true
	c.schema.nextDeclarationAt = c.now + time.Second
	key := keySchemaVersion + c.cfg.Name
	raw, err := json.Marshal(c.cfg.SchemaVersion)
	if err != nil {
		panic(err) // a number
	}
	c.commitTxn(
		wire.Txn{
			Compare: []wire.Compare{{Key: key, Revision: c.schema.declarationRevision}},
			Then:    []wire.Write{{Put: key, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
			c.schema.declarationInFlight = false
			c.afterReadBarrier(func(bool) {}) // what came of it shows there
		}},
	)
}

// applySchemaVersion takes a declaration from the state service.
func (c *Core) applySchemaVersion(key string, raw json.RawMessage, mark uint64) error {
	var form int
	if err := json.Unmarshal(raw, &form); err != nil {
		return err
	}
	name := strings.TrimPrefix(key, keySchemaVersion)
	if name == c.cfg.Name {
		c.schema.declarationRevision = mark
	}
	c.recordSchemaVersion(name, form)
	return nil
}

// storeWriteRate is the change rate that all controllers together keep to: the one that is to come
// from the moment when all of them know of it.
func (c *Core) storeWriteRate() float64 {
	if c.schemaVersion() >= schemaDependencies && c.cfg.Store.NextWriteRate > 0 {
		return c.cfg.Store.NextWriteRate
	}
	return c.cfg.Store.WriteRate
}

// reduceTxnLimits adapts to limits smaller than the settings say: a transaction that was refused is not
// sent again as it was.
func (c *Core) reduceTxnLimits(t *wire.Txn) {
	largest := 0
	for _, w := range t.Then {
		largest = max(largest, len(w.Value))
	}
	if n := len(t.Then); n > 2 {
		c.cfg.Store.MaxTxnOps = max(2, n-1)
	} else {
		c.cfg.Store.MaxValueBytes = max(minValueBytes, largest*7/8)
	}
	c.log(LevelError, "transaction refused: keeping to smaller ones", "changes", len(t.Then), "largest", largest,
		"txn_ops", c.cfg.Store.MaxTxnOps, "value_bytes", c.cfg.Store.MaxValueBytes)
}

const minValueBytes = 512

// cancelMarker is the value of a mark of cancellation.
type cancelMarker struct {
	CancelMS int64                `json:"cm"`
	Carried  []audit.PendingEntry `json:"e,omitempty"`
}

func (m cancelMarker) encode() json.RawMessage {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // a number, and bytes
	}
	return raw
}

// writeCancelMarker cancels a job whose record is too large to be written again as it is: an older
// version may have stored it under larger limits. The mark is one small durable write. The
// record follows as its tasks end, and its writers see to it that there is no mark.
func (c *Core) writeCancelMarker(j *job, ms int64, conds []wire.Compare, acts []auditlog.Event) {
	key := keyCancel + j.id
	list, ids := c.currentAuditLog().
		AttachEntries(key, j.cancellation.markerRevision, j.cancellation.markerAudit, acts)
	raw := cancelMarker{CancelMS: ms, Carried: list}.encode()
	j.write.inFlight = true
	c.commitTxn(wire.Txn{
		Compare: append(
			conds,
			wire.Compare{Key: keyJob + j.id, Revision: j.revision},
			wire.Compare{Key: key, Revision: j.cancellation.markerRevision},
		),
		Then: []wire.Write{{Put: key, Value: raw}},
	}, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		c.currentAuditLog().HandleOutcome(ids, status)
		j.write.inFlight = false
		c.markDirty(j)
		if status == wire.StatusTooManyRequests || status == wire.StatusUnavailable {
			return
		}
		j.write.outcomeUnknown = true
		c.resolveAfterBarrier([]*job{j}, nil, nil) // answers the users once the mark has come
	}})
}

// applyCancelMarker takes a mark of cancellation.
func (c *Core) applyCancelMarker(key string, raw json.RawMessage, mark uint64) error {
	var v cancelMarker
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	j := c.internJob(key[len(keyCancel):])
	c.currentAuditLog().ObserveEntries(key, mark, v.Carried)
	j.cancellation.markerRevision, j.cancellation.markerMS, j.cancellation.markerAudit = mark, v.CancelMS, v.Carried
	if j.revision != 0 && j.record.Stage == jobrecord.Queued {
		rec := *j.record
		c.adoptRecord(j, &rec, j.assignments, j.revision, j.stored.bytes)
	}
	return nil
}

// schemaState is schema versions: what each controller declared, the one in force, this controller's own declaration.
type schemaState struct {
	declared            map[string]int // what each controller declared
	active              int
	declarationRevision uint64        // of this controller's declaration
	activeSince         time.Duration // since when it may be written
	declarationInFlight bool
	nextDeclarationAt   time.Duration
}
