package core

import (
	"cmp"
	"encoding/json"
	"strings"

	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/core/reservations"
	"dewlift/wire"
)

// applyPut applies a key's new value to the replica, and logs a value that can't be decoded.
func (c *Core) applyPut(key string, raw json.RawMessage, revision uint64) {
	if err := c.applyValue(key, raw, revision); err != nil {
		c.log(LevelError, "cannot decode stored value", "key", key, "err", err.Error())
	}
}

// applyValue dispatches a value by its key. Keys of no known kind are ignored.
func (c *Core) applyValue(key string, raw json.RawMessage, revision uint64) error {
	switch {
	case key == keyFencingToken:
		return c.applyFencingToken(raw, revision)
	case key == keyLeader:
		return c.applyLeader(raw, revision)
	case strings.HasPrefix(key, keyRegistration):
		return c.applyRegistration(key, raw, revision)
	case strings.HasPrefix(key, keyShard):
		return c.applyShard(key, raw, revision)
	case key == keyMachineTypes:
		return c.applyMachineTypes(raw, revision)
	case strings.HasPrefix(key, keyTeam):
		c.applyTeam(key, revision)
	case strings.HasPrefix(key, keyJob):
		return c.applyJob(key, raw, revision)
	case strings.HasPrefix(key, keySlot):
		return c.applySlot(key, raw, revision)
	case strings.HasPrefix(key, keySchemaVersion):
		return c.applySchemaVersion(key, raw, revision)
	case strings.HasPrefix(key, keyMemberList):
		return c.applyMemberList(key, raw, revision)
	case key == keyActiveSchema:
		return c.applyActiveSchema(raw, revision)
	case strings.HasPrefix(key, keyPermissions):
		return c.permissions.applyPut(key, raw, revision)
	case strings.HasPrefix(key, auditlog.Prefix):
		return c.auditLog.current().ApplyPut(key, raw, revision)
	case key == KeyRestored:
		return c.restoreMarker.apply(raw, revision)
	case key == keyHistory:
		c.history.applyHistoryMarker(revision)
	case key == keyPriorityClasses:
		return c.applyPriorityClasses(raw, revision)
	case strings.HasPrefix(key, reservations.Prefix):
		return c.applyReservation(key, raw, revision)
	case strings.HasPrefix(key, keyCancel):
		return c.applyCancelMarker(key, raw, revision)
	}
	return nil
}

// applyFencingToken applies the stored fencing token, unless a newer revision was applied before.
func (c *Core) applyFencingToken(raw json.RawMessage, revision uint64) error {
	var token uint64
	if err := json.Unmarshal(raw, &token); err != nil {
		return err
	}
	if revision >= c.leadership.fencingTokenRevision {
		if token != c.leadership.fencingToken {
			c.log(LevelInfo, "fencing token changed", "token", token, "revision", revision)
		}
		c.leadership.fencingToken, c.leadership.fencingTokenRevision = token, revision
	}
	return nil
}

func decodeLeasedKey(raw json.RawMessage, revision uint64) (leasedKey, error) {
	var leased leasedKey
	if err := json.Unmarshal(raw, &leased); err != nil {
		return leasedKey{}, err
	}
	leased.modRevision = revision
	return leased, nil
}

func (c *Core) applyLeader(raw json.RawMessage, revision uint64) error {
	leased, err := decodeLeasedKey(raw, revision)
	if err != nil {
		return err
	}
	c.leadership.leader = leased
	c.leadership.recordClaim(leased)
	return nil
}

// applyRegistration applies the registration of a live controller.
func (c *Core) applyRegistration(key string, raw json.RawMessage, revision uint64) error {
	leased, err := decodeLeasedKey(raw, revision)
	if err != nil {
		return err
	}
	c.controllers.registrations[key[len(keyRegistration):]] = leased
	c.controllers.registrationsVersion++
	c.updateQuorumLists()
	return nil
}

// applyShard applies the ownership of a shard. Shards beyond the configured number are ignored.
func (c *Core) applyShard(key string, raw json.RawMessage, revision uint64) error {
	shard := c.ownership.shardOfKey(key)
	leased, err := decodeLeasedKey(raw, revision)
	if err != nil || shard < 0 {
		return err
	}
	c.ownership.shards[shard] = leased
	c.leadership.recordClaim(leased)
	if leased.Holder == c.cfg.Name && leased.LeaseID == c.ownLease.id {
		c.handleShardGained(shard)
	}
	return nil
}

// applyMachineTypes applies the stored catalog of machine types, which is used only if this
// controller has no catalog yet.
func (c *Core) applyMachineTypes(raw json.RawMessage, revision uint64) error {
	catalog, err := jobrecord.DecodeCatalog(raw)
	if err != nil {
		return err
	}
	c.autoscaler.storedCatalogRevision, c.autoscaler.storedCatalog = revision, catalog
	if c.autoscaler.catalog == nil {
		c.autoscaler.setCatalog(&catalog)
	}
	return nil
}

// applyTeam applies a write of a team's quota key. Its value has no meaning: transactions that start
// tasks of the same team conflict on the key's revision.
func (c *Core) applyTeam(key string, revision uint64) {
	if quota := c.teams.byName[key[len(keyTeam):]]; quota != nil {
		quota.revision = max(quota.revision, revision)
	}
}

// applyJob applies the value of a job's own key, merged with the job's slot entry if that entry belongs
// to this version of the record.
func (c *Core) applyJob(key string, raw json.RawMessage, revision uint64) error {
	stored := c.internJob(key[len(keyJob):])
	stored.stored.lastSnapshotLoad = c.replica.snapshotLoads
	if revision <= stored.revision {
		if stored.record != nil { // applied already, from the reply to this controller's own write
			c.auditLog.current().ObserveEntries(key, stored.revision, stored.record.PendingAudit)
		}
		return nil
	}
	record, err := jobrecord.Decode(raw)
	if err != nil {
		c.history.coldRecords++ // the job exists, so a lookup must not answer that it does not
		return err
	}
	c.observeSchemaVersion(versionOf(record))
	c.auditLog.current().ObserveEntries(key, revision, record.PendingAudit)
	record = c.replica.slots.withCurrentEntry(stored.id, record)
	c.adoptRecord(stored, record, record.ExpandAssignments(c.internMachineInZone), revision, len(raw))
	return nil
}

// applyDelete applies a key's deletion to the replica. Keys that are never deleted, and those whose
// deletion changes nothing here, have no case.
func (c *Core) applyDelete(key string, revision uint64) {
	switch {
	case key == keyLeader:
		c.leadership.leader = leasedKey{absentSince: c.now}
	case strings.HasPrefix(key, keyRegistration):
		delete(c.controllers.registrations, key[len(keyRegistration):])
		c.controllers.registrationsVersion++
		c.updateQuorumLists()
	case strings.HasPrefix(key, keyShard):
		if shard := c.ownership.shardOfKey(key); shard >= 0 {
			c.ownership.shards[shard] = leasedKey{absentSince: c.now}
		}
	case strings.HasPrefix(key, keyPermissions):
		c.permissions.applyDelete(key)
	case key == KeyRestored:
		c.restoreMarker.revision = 0
	case strings.HasPrefix(key, reservations.Prefix):
		c.reservations.service.ApplyDelete(key, revision)
	case strings.HasPrefix(key, keyJob):
		c.handleRecordArchived(key[len(keyJob):], revision)
	}
}

// adoptRecord makes a committed record the known state of a job. revision is the revision of the job's
// own key, and size the size of its value in bytes.
func (c *Core) adoptRecord(
	target *job,
	record *jobrecord.Record,
	assignments []jobrecord.Assignment,
	revision uint64,
	size int,
) {
	wasFinal, assignedBefore := target.isFinal(), len(target.assignments)
	if target.cancellation.markerRevision != 0 && record.Stage == jobrecord.Queued {
		record.Stage, record.CancelledAtMS = jobrecord.Cancelled, target.cancellation.markerMS
	}
	c.removeAssignments(target)
	if target.revision == 0 && record.Spec != nil {
		c.autoscaler.recordClassArrival(record)
	}
	if revision != target.revision {
		target.stored.needsOwnKey = false
	}
	target.record, target.assignments = record, assignments
	target.revision, target.stored.bytes = revision, size
	if record.EnqueueRevision != 0 || target.queue.enqueueRevision == 0 {
		target.queue.enqueueRevision = cmp.Or(record.EnqueueRevision, revision)
	}
	if record.Spec != nil {
		record.Spec.ID = target.id
	}
	c.dependencies.index(target)
	c.addAssignments(target)
	target.placement.tasksLost = false
	target.placement.hasUnplacedTasks = !target.isFinal() && record.Spec != nil && target.unmetDependencies == 0 &&
		record.CompletedTasks.Count()+len(assignments) < record.Spec.Tasks
	if !target.hasFinalRecord() || target.submission != nil || len(target.cancellation.waiters) > 0 {
		c.markDirty(target)
	}
	c.placement.capacityFreed = c.placement.capacityFreed || len(assignments) < assignedBefore
	if target.isFinal() && !wasFinal {
		c.propagateJobEnd(target)
	}
	c.history.trackEndedJob(target)
}

// addAssignments adds a job's assignments to their machines and to its team's usage, and counts the
// assignments whose tasks have completed already.
func (c *Core) addAssignments(target *job) {
	quota, request := c.teams.ofJob(target)
	target.placement.completedTasks = 0
	for _, assignment := range target.assignments {
		host := c.machines[assignment.Machine]
		host.allocation.assignments[taskKey{target.index, assignment.Task}] = assignment
		c.commands.markTasksChanged(host)
		status := host.status.tasks[attemptKey{target.index, assignment.Task, assignment.Attempt}]
		if status.state == wire.TaskExited && status.cause == wire.CauseDone {
			target.placement.completedTasks++
		}
		if quota != nil {
			quota.usedCPU += request[0]
			quota.usedGPU += request[1]
		}
	}
}

// removeAssignments removes a job's assignments from their machines and from its team's usage.
func (c *Core) removeAssignments(target *job) {
	quota, request := c.teams.ofJob(target)
	for _, assignment := range target.assignments {
		host := c.machines[assignment.Machine]
		key := taskKey{target.index, assignment.Task}
		if current, ok := host.allocation.assignments[key]; ok && current == assignment {
			delete(host.allocation.assignments, key)
		}
		c.commands.markTasksChanged(host)
		if quota != nil {
			quota.usedCPU -= request[0]
			quota.usedGPU -= request[1]
		}
	}
}

// encodeRecord encodes a job's record with its assignments, as readable JSON or packed.
func (c *Core) encodeRecord(
	record *jobrecord.Record,
	assignments []jobrecord.Assignment,
	packed bool,
) (json.RawMessage, error) {
	return jobrecord.Encode(record, assignments, packed, func(index int32) (name, zone string) {
		host := c.machines[index]
		return host.name, host.identity.zone
	})
}
