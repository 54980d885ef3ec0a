package core

import (
	"dewlift/core/jobrecord"
	"dewlift/wire"
	"slices"
	"time"
)

// fetchCatalog keeps the machine types; every controller needs them.
func (c *Core) fetchCatalog() {
	if c.autoscaler.catalogInFlight || c.now < c.autoscaler.nextCatalogAt {
		return
	}
	c.autoscaler.catalogInFlight = true
	id := c.nextID()
	c.autoscaler.calls[id] = func(in CloudResult) {
		c.autoscaler.catalogInFlight = false
		if in.Status != wire.StatusOK || in.Catalog == nil {
			c.autoscaler.nextCatalogAt = c.now + 500*time.Millisecond + c.jitter(time.Second)
			return
		}
		c.autoscaler.nextCatalogAt = c.now + 45*time.Second + c.jitter(15*time.Second)
		if c.autoscaler.storedRevision == 0 {
			c.autoscaler.nextCatalogAt = c.now + 5*time.Second // until the leader has kept it
		}
		c.setCatalog(in.Catalog)
		c.persistCatalog(in.Catalog)
	}
	c.emit(CloudRequest{ID: id, Op: CloudCatalog})
}

// setCatalog takes the machine types that make sense.
func (c *Core) setCatalog(k *wire.Catalog) {
	next := map[string]*wire.MachineType{}
	for i := range k.Types {
		t := &k.Types[i]
		if t.Name == "" || !(t.CPUs > 0) || t.CPUs > 1e6 || t.GPUs < 0 || !(t.MemoryGB > 0) || !(t.Price >= 0) {
			c.log(LevelError, "machine type not understood", "type", t.Name)
			continue
		}
		next[t.Name] = t
	}
	if len(next) > 0 {
		c.autoscaler.catalog, c.autoscaler.typeNames = next, sortedKeys(next)
	}
}

// persistCatalog has the leader keep the machine types in the state service: a controller that
// restarts while the cloud is down would otherwise serve nobody until it is back.
func (c *Core) persistCatalog(k *wire.Catalog) {
	if c.leaderState == nil || c.autoscaler.storeInFlight || !c.holdsLease() {
		return
	}
	same := slices.EqualFunc(k.Types, c.autoscaler.storedCatalog.Types, func(a, b wire.MachineType) bool {
		return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB &&
			a.Price == b.Price &&
			a.BootS == b.BootS &&
			slices.Equal(a.Zones, b.Zones)
	})
	if same {
		return
	}
	raw, err := jobrecord.EncodeCatalog(k, c.cfg.Store.MaxValueBytes, c.schemaVersion() >= schemaDependencies)
	if err != nil || len(raw) > c.cfg.Store.MaxValueBytes {
		return
	}
	c.autoscaler.storeInFlight = true
	t := wire.Txn{
		Compare: []wire.Compare{{Key: keyMachineTypes, Revision: c.autoscaler.storedRevision}},
		Then:    []wire.Write{{Put: keyMachineTypes, Value: raw}},
	}
	c.commitTxn(t, &pendingTxn{onDone: func(wire.Status, wire.TxnResponse) { c.autoscaler.storeInFlight = false }})
}
