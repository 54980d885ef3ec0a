package core

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"dewlift/wire"
)

// Two versions of this program may run at once while an upgrade replaces the controllers one by one,
// and both read what either stores. A schema version is a way of storing data and sending messages.
// Each controller declares the newest one that it knows, once and for ever, under a key of its own: a
// controller that ran a version is never downgraded. A schema version becomes active, that is may be
// written, only when every configured controller has declared it; silence is never taken for a
// declaration. Data stored under older schema versions stays readable for ever.
const (
	schemaInitial         = 0 // the version without declarations
	schemaDependencies    = 1 // job specs with dependencies, packed records, cancel markers
	schemaArchive         = 2 // ended jobs may be in the archive
	schemaPermissions     = 3 // permissions; final records keep their team and class
	schemaAudit           = 4 // values carry audit entries
	schemaSharedValues    = 5 // records are numbered, and entries of shared values apply on top of them
	schemaReservations    = 6 // reservations of equipment
	schemaPriorityClasses = 7 // records keep their priority class and enqueue order; classes can be configured
	schemaCancelQuorum    = 8 // a quorum acknowledges cancellations (cancelacks.go); stored data is unchanged

	// SchemaVersion is the newest schema version that this program knows.
	SchemaVersion = schemaCancelQuorum
)

const (
	keySchemaVersion = Root + "form/" // declarations, by controller

	// declarationInterval is the least time between two attempts to write the declaration.
	declarationInterval = time.Second
)

// schemaState is the schema versions that the controllers declared, the active one, and this
// controller's own declaration.
type schemaState struct {
	*environment
	declared            map[string]int // newest declared, by controller
	active              int            // newest declared by all
	activeSince         time.Duration
	declarationRevision uint64 // of this controller's key; 0: it is not there
	declarationInFlight bool
	nextDeclarationAt   time.Duration
}

// commonVersion is the newest schema version that this controller and all of its peers have declared.
func (s *schemaState) commonVersion() int {
	common := min(s.declared[s.cfg.Name], s.cfg.SchemaVersion)
	for _, peer := range s.cfg.Peers {
		common = min(common, s.declared[peer])
	}
	return common
}

// record records a controller's declaration, and reports whether it made a newer schema version
// active: one that all controllers know by now. An active one never goes back.
func (s *schemaState) record(name string, version int) (activated bool) {
	s.declared[name] = max(s.declared[name], version)
	if name == s.cfg.Name && version > s.cfg.SchemaVersion {
		s.log(LevelError, "a newer version has run here before: this one may be unable to read its data",
			"form", version)
	}
	common := s.commonVersion()
	if common <= s.active {
		return false
	}
	s.log(LevelInfo, "schema version known to every controller", "form", common)
	s.active, s.activeSince = common, s.now
	return true
}

// recordSchemaVersion records a controller's declaration, and adapts to a schema version that it activates.
func (c *Core) recordSchemaVersion(name string, version int) {
	if !c.schema.record(name, version) {
		return
	}
	c.updateRateLimit()
	for _, open := range c.openJobs { // records that are too large may fit under it: write them before they must be
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
		panic(err) // can't happen: a number
	}
	c.transactions.commit(
		wire.Txn{
			Compare: []wire.Compare{{Key: key, Revision: c.schema.declarationRevision}},
			Then:    []wire.Write{{Put: key, Value: raw}},
		},
		&pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
			c.schema.declarationInFlight = false
			c.replica.afterReadBarrier(func(bool) {}) // the barrier brings the outcome
		}},
	)
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

// storeWriteRate is the rate of writes that all controllers together keep to. NextWriteRate replaces
// WriteRate only when all of them know of it.
func (s *schemaState) storeWriteRate() float64 {
	if s.active >= schemaDependencies && s.cfg.Store.NextWriteRate > 0 {
		return s.cfg.Store.NextWriteRate
	}
	return s.cfg.Store.WriteRate
}
