package core

import (
	"reflect"
	"slices"
	"time"

	"dewlift/core/jobrecord"
	"dewlift/wire"
)

const (
	catalogRetryDelay       = 500 * time.Millisecond // after a failed read, plus jitter
	catalogRetryJitter      = time.Second
	catalogInterval         = 45 * time.Second // between two reads, plus jitter
	catalogJitter           = 15 * time.Second
	unstoredCatalogInterval = 5 * time.Second // between two reads until the leader has stored the catalog

	maxMachineCPUs = 1e6 // machine types with more CPUs are rejected as invalid
)

// isCatalogDue reports whether to read the machine types from the cloud now. Every controller reads them.
func (a *autoscalerState) isCatalogDue() bool {
	return !a.catalogInFlight && a.now >= a.nextCatalogAt
}

// readCatalog reads the machine types from the cloud, adopts them, and then calls onRead.
func (a *autoscalerState) readCatalog(onRead func(*wire.Catalog)) {
	a.catalogInFlight = true
	id := a.nextID()
	a.pendingCalls[id] = func(in CloudResult) {
		a.catalogInFlight = false
		if in.Status != wire.StatusOK || in.Catalog == nil {
			a.nextCatalogAt = a.now + catalogRetryDelay + a.jitter(catalogRetryJitter)
			return
		}
		a.nextCatalogAt = a.now + catalogInterval + a.jitter(catalogJitter)
		if a.storedCatalogRevision == 0 {
			a.nextCatalogAt = a.now + unstoredCatalogInterval
		}
		a.setCatalog(in.Catalog)
		onRead(in.Catalog)
	}
	a.emit(CloudRequest{ID: id, Op: CloudCatalog})
}

// setCatalog adopts the valid machine types of a catalog. A catalog without valid types is ignored.
func (a *autoscalerState) setCatalog(catalog *wire.Catalog) {
	next := map[string]*wire.MachineType{}
	for i := range catalog.Types {
		machineType := &catalog.Types[i]
		if !isValidMachineType(machineType) {
			a.log(LevelError, "invalid machine type", "type", machineType.Name)
			continue
		}
		next[machineType.Name] = machineType
	}
	if len(next) > 0 {
		a.catalog, a.typeNames = next, sortedKeys(next)
	}
}

// isValidMachineType reports whether a plan can use a machine type.
func isValidMachineType(t *wire.MachineType) bool {
	return t.Name != "" && t.CPUs > 0 && t.CPUs <= maxMachineCPUs && !(t.GPUs < 0) &&
		t.MemoryGB > 0 && t.Price >= 0
}

// persistCatalog, if this controller is the leader, writes the catalog to the key-value store unless the
// same one is stored already. Without a stored catalog, a controller that restarts during an outage of the
// cloud could not serve until the outage ends.
func (c *Core) persistCatalog(catalog *wire.Catalog) {
	if c.leaderState == nil || c.autoscaler.catalogStoreInFlight || !c.ownLease.isHeld() {
		return
	}
	if slices.EqualFunc(catalog.Types, c.autoscaler.storedCatalog.Types, isSameMachineType) {
		return
	}
	maxBytes := c.cfg.Store.MaxValueBytes
	raw, err := jobrecord.EncodeCatalog(catalog, maxBytes, c.schema.active >= schemaDependencies)
	if err != nil || len(raw) > maxBytes {
		if !c.autoscaler.catalogTooLargeLogged {
			c.autoscaler.catalogTooLargeLogged = true
			c.log(LevelError,
				"machine types exceed the value size limit: a controller that restarts in a cloud outage cannot serve",
				"bytes", len(raw), "value_bytes", maxBytes, "err", err)
		}
		return // retried after the next read
	}
	c.autoscaler.catalogStoreInFlight = true
	txn := wire.Txn{
		Compare: []wire.Compare{{Key: keyMachineTypes, Revision: c.autoscaler.storedCatalogRevision}},
		Then:    []wire.Write{{Put: keyMachineTypes, Value: raw}},
	}
	c.transactions.commit(txn, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) {
		c.autoscaler.catalogStoreInFlight = false
	}})
}

// isSameMachineType reports whether two machine types agree in all stored fields.
func isSameMachineType(a, b wire.MachineType) bool {
	zonesOfA, zonesOfB := a.Zones, b.Zones
	a.Zones, b.Zones = nil, nil
	return slices.Equal(zonesOfA, zonesOfB) && reflect.DeepEqual(a, b)
}
