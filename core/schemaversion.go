package core

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// During a rolling upgrade two versions of this program run at the same time, and both read what either
// stores. A schema version defines how data is stored and messages are sent. Each controller declares the
// newest schema version that it knows under a key of its own. The declaration is permanent: a controller
// is never downgraded below it. A schema version becomes active, which means that it may be written, when
// every configured controller has declared it; a missing declaration never counts as one. Data stored under
// older schema versions always stays readable.
//
// A version that is active stays active for ever: data has its form. So the leader stores it under
// keyActiveSchema, and a controller whose list of peers has grown does not wait for the declarations of the new
// ones. Data that was written before there was this key shows its version itself, see versionOf.
const (
	schemaInitial         = 0 // the version without declarations
	schemaDependencies    = 1 // job specs with dependencies, packed records, cancel markers
	schemaArchive         = 2 // ended jobs may be in the archive
	schemaPermissions     = 3 // permissions; final records keep their team and class
	schemaAudit           = 4 // values carry audit entries
	schemaSharedValues    = 5 // records are numbered, and slot entries are merged into them
	schemaReservations    = 6 // reservations of equipment
	schemaPriorityClasses = 7 // records keep their priority class and enqueue order; classes can be configured
	schemaCancelQuorum    = 8 // a quorum acknowledges cancellations (cancelacks.go); stored data is unchanged

	// SchemaVersion is the newest schema version that this program knows.
	SchemaVersion = schemaCancelQuorum
)

const (
	keySchemaVersion = Root + "form/"       // declarations, by controller
	keyActiveSchema  = Root + "active-form" // the active version

	// declarationInterval is the minimum time between two attempts to write the declaration or the active version.
	declarationInterval = time.Second
)

// schemaState holds the declared schema versions, the active one, and the state of this controller's own
// declaration.
type schemaState struct {
	*environment
	declared            map[string]int // newest declared version, by controller
	active              int            // newest version that may be written; never decreases
	activeSince         time.Duration
	stored              int    // as under keyActiveSchema
	storedRevision      uint64 // revision of that key; 0: it does not exist
	storeInFlight       bool   // a write of that key
	nextStoreAt         time.Duration
	declarationRevision uint64 // revision of this controller's declaration; 0: it is not stored
	declarationInFlight bool
	nextDeclarationAt   time.Duration
}

// commonVersion returns the newest schema version that this controller and all of its peers have declared.
func (s *schemaState) commonVersion() int {
	common := min(s.declared[s.cfg.Name], s.cfg.SchemaVersion)
	for _, peer := range s.cfg.Peers {
		common = min(common, s.declared[peer])
	}
	return common
}

// record records a controller's declaration, and reports whether it activated a newer schema version. The
// active version never decreases.
func (s *schemaState) record(name string, version int) (activated bool) {
	s.declared[name] = max(s.declared[name], version)
	if name == s.cfg.Name && version > s.cfg.SchemaVersion {
		s.log(LevelError, "controller was downgraded: stored data of the newer version may be unreadable",
			"form", version)
	}
	return s.activate(s.commonVersion())
}

// activate makes a version active, as far as this program knows it, and reports whether it was not before.
func (s *schemaState) activate(version int) bool {
	version = min(version, s.cfg.SchemaVersion)
	if version <= s.active {
		return false
	}
	s.log(LevelInfo, "schema version activated", "form", version)
	s.active, s.activeSince = version, s.now
	return true
}

// versionOf returns the oldest schema version under which a record can have been written.
func versionOf(record *jobrecord.Record) int {
	switch {
	case record.EnqueueRevision != 0 || record.PriorityClass != "":
		return schemaPriorityClasses
	case record.WriteNumber != 0:
		return schemaSharedValues
	}
	return schemaInitial
}

// recordSchemaVersion records a controller's declaration, and applies the schema version that it activates,
// if any.
func (c *Core) recordSchemaVersion(name string, version int) {
	if c.schema.record(name, version) {
		c.handleSchemaActivated()
	}
}

// observeSchemaVersion activates a schema version that stored data has.
func (c *Core) observeSchemaVersion(version int) {
	if c.schema.activate(version) {
		c.handleSchemaActivated()
	}
}

// handleSchemaActivated does what a new active schema version makes possible.
func (c *Core) handleSchemaActivated() {
	c.updateRateLimit()
	// Oversized records may fit under the new version: they are written again before a change requires it.
	for _, open := range c.openJobs {
		if open.stored.bytes > c.cfg.Store.MaxValueBytes {
			c.markDirty(open)
		}
	}
}

// declareSchemaVersion writes this controller's declaration until it is stored.
func (c *Core) declareSchemaVersion() {
	if c.schema.declared[c.cfg.Name] >= c.cfg.SchemaVersion || c.schema.declarationInFlight ||
		c.now < c.schema.nextDeclarationAt ||
		c.transactions.rateLimit.IsPaused(c.now) ||
		!c.ownLease.isHeld() {
		return
	}
	c.schema.declarationInFlight = true
	c.schema.nextDeclarationAt = c.now + declarationInterval
	key := keySchemaVersion + c.cfg.Name
	raw, err := json.Marshal(c.cfg.SchemaVersion)
	if err != nil {
		panic(err) // can't happen, as an int always marshals
	}
	c.transactions.commit(
		wire.Txn{
			Compare: []wire.Compare{{Key: key, Revision: c.schema.declarationRevision}},
			Then:    []wire.Write{{Put: key, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
			c.schema.declarationInFlight = false
			c.replica.afterReadBarrier(func(bool) {}) // to read the outcome at once
		}},
	)
}

// storeActiveSchema writes the active schema version, if this controller is the leader and a lower one is stored.
func (c *Core) storeActiveSchema() {
	schema := &c.schema
	if schema.active <= schema.stored || schema.storeInFlight || c.now < schema.nextStoreAt ||
		!c.leadership.isHeld() || !c.ownLease.isHeld() || c.transactions.rateLimit.IsPaused(c.now) {
		return
	}
	schema.storeInFlight, schema.nextStoreAt = true, c.now+declarationInterval
	version := schema.active
	txn := wire.Txn{
		Compare: []wire.Compare{{Key: keyActiveSchema, Revision: schema.storedRevision}},
		Then:    []wire.Write{{Put: keyActiveSchema, Value: json.RawMessage(strconv.Itoa(version))}},
	}
	c.transactions.commit(txn, &pendingTxn{onDone: func(status wire.Status, reply wire.TxnResponse) {
		schema.storeInFlight = false
		if status == wire.StatusOK && reply.Revision >= schema.storedRevision {
			schema.stored, schema.storedRevision = version, reply.Revision
		}
	}})
}

// applyActiveSchema applies the stored active schema version.
func (c *Core) applyActiveSchema(raw json.RawMessage, revision uint64) error {
	var version int
	if err := json.Unmarshal(raw, &version); err != nil {
		return fmt.Errorf("decode active schema version: %w", err)
	}
	if revision >= c.schema.storedRevision {
		c.schema.stored, c.schema.storedRevision = version, revision
	}
	c.observeSchemaVersion(version)
	return nil
}

// applySchemaVersion applies a stored declaration.
func (c *Core) applySchemaVersion(key string, raw json.RawMessage, revision uint64) error {
	var version int
	if err := json.Unmarshal(raw, &version); err != nil {
		return fmt.Errorf("decode schema version: %w", err)
	}
	name := strings.TrimPrefix(key, keySchemaVersion)
	if name == c.cfg.Name {
		c.schema.declarationRevision = revision
	}
	c.recordSchemaVersion(name, version)
	return nil
}

// storeWriteRate returns the limit of writes per second of all controllers together. NextWriteRate replaces
// WriteRate only when all of them know it.
func (s *schemaState) storeWriteRate() float64 {
	if s.active >= schemaDependencies && s.cfg.Store.NextWriteRate > 0 {
		return s.cfg.Store.NextWriteRate
	}
	return s.cfg.Store.WriteRate
}
