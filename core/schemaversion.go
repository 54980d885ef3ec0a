package core

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"dewlift/wire"
)

// During a rolling upgrade two versions of this program run at the same time, and both read what either
// stores. A schema version defines how data is stored and messages are sent. Each controller declares the
// newest schema version that it knows under a key of its own. The declaration is permanent: a controller
// is never downgraded below it. A schema version becomes active, which means that it may be written, only when
// every configured controller has declared it; a missing declaration never counts as one. Data stored under
// older schema versions always stays readable.
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
	keySchemaVersion = Root + "form/" // declarations, by controller

	// declarationInterval is the minimum time between two attempts to write the declaration.
	declarationInterval = time.Second
)

// schemaState holds the declared schema versions, the active one, and the state of this controller's own
// declaration.
type schemaState struct {
	*environment
	declared            map[string]int // newest declared version, by controller
	active              int            // newest version declared by all controllers
	activeSince         time.Duration
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
	common := s.commonVersion()
	if common <= s.active {
		return false
	}
	s.log(LevelInfo, "schema version activated", "form", common)
	s.active, s.activeSince = common, s.now
	return true
}

// recordSchemaVersion records a controller's declaration, and applies the schema version that it activates,
// if any.
func (c *Core) recordSchemaVersion(name string, version int) {
	if !c.schema.record(name, version) {
		return
	}
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
