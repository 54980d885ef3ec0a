package core

import (
	"cmp"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/core/reservations"
	"dewlift/wire"
	"encoding/json"
	"strings"
)

// applyPut takes a key's new value into the replica.
func (c *Core) applyPut(key string, raw json.RawMessage, mark uint64) {
	bad := func(err error) {
		if err != nil {
			c.log(LevelError, "value not understood", "key", key, "err", err.Error())
		}
	}
	switch {
	case key == keyFencingToken:
		var v uint64
		if err := json.Unmarshal(raw, &v); err != nil {
			bad(err)
			return
		}
		if mark >= c.leadership.fencingTokenRevision {
			c.leadership.fencingToken, c.leadership.fencingTokenRevision = v, mark
		}
	case key == keyLeader:
		var h leasedKey
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.leadership.leader = h
	case strings.HasPrefix(key, keyNode):
		var h leasedKey
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.controllers.nodeKeys[key[len(keyNode):]] = h
		c.controllers.nodesVersion++
	case strings.HasPrefix(key, keyShard):
		var h leasedKey
		n := c.shardOfKey(key)
		if err := json.Unmarshal(raw, &h); err != nil || n < 0 {
			bad(err)
			return
		}
		h.mark = mark
		c.ownership.shards[n] = h
		if h.Node == c.cfg.Name && h.LeaseID == c.ownLease.id {
			c.handleShardGained(n)
		}
	case key == keyMachineTypes:
		v, err := jobrecord.DecodeCatalog(raw)
		if err != nil {
			bad(err)
			return
		}
		c.autoscaler.storedRevision, c.autoscaler.storedCatalog = mark, v
		if c.autoscaler.catalog == nil {
			c.setCatalog(&v)
		}
	case strings.HasPrefix(key, keyTeam):
		if i, ok := c.teamIndex[key[len(keyTeam):]]; ok {
			c.teams[i].revision = max(c.teams[i].revision, mark)
		}
	case strings.HasPrefix(key, keyJob):
		j := c.internJob(key[len(keyJob):])
		j.stored.snapshot = c.replica.snapshots
		if mark <= j.revision {
			if j.record != nil { // its own write's reply came before
				c.currentAuditLog().ObserveEntries(key, j.revision, j.record.PendingAudit)
			}
			return
		}
		r, err := jobrecord.Decode(raw)
		if err != nil {
			c.history.coldRecords++ // it exists: whoever asks for it must not be told otherwise
			bad(err)
			return
		}
		c.currentAuditLog().ObserveEntries(key, mark, r.PendingAudit)
		r = c.withSlotEntry(j.id, r)
		c.adoptRecord(j, r, r.ExpandAssignments(c.internMachineInZone), mark, len(raw))
	case strings.HasPrefix(key, keySlot):
		bad(c.applySlot(key, raw, mark))
	case strings.HasPrefix(key, keySchemaVersion):
		bad(c.applySchemaVersion(key, raw, mark))
	case strings.HasPrefix(key, keyPermissions):
		bad(c.permissions.applyPut(key, raw, mark))
	case strings.HasPrefix(key, auditlog.Prefix):
		bad(c.currentAuditLog().ApplyPut(key, raw, mark))
	case key == KeyRestored:
		bad(c.restoreMarker.apply(raw, mark))
	case key == keyHistory:
		c.applyHistoryMarker(mark)
	case key == keyPriorityClasses:
		bad(c.applyPriorityClasses(raw, mark))
	case strings.HasPrefix(key, reservations.Prefix):
		bad(c.applyReservation(key, raw, mark))
	case strings.HasPrefix(key, keyCancel):
		bad(c.applyCancelMarker(key, raw, mark))
	}
}

func (c *Core) applyDelete(key string, mark uint64) {
	switch {
	case key == keyLeader:
		c.leadership.leader = leasedKey{since: c.now}
	case strings.HasPrefix(key, keyNode):
		delete(c.controllers.nodeKeys, key[len(keyNode):])
		c.controllers.nodesVersion++
	case strings.HasPrefix(key, keyShard):
		if n := c.shardOfKey(key); n >= 0 {
			c.ownership.shards[n] = leasedKey{since: c.now}
		}
	case strings.HasPrefix(key, keyPermissions):
		c.permissions.applyDelete(key)
	case key == KeyRestored:
		c.restoreMarker.revision = 0
	case strings.HasPrefix(key, reservations.Prefix):
		c.reservations.ApplyDelete(key, mark)
	case strings.HasPrefix(key, keyJob):
		c.handleRecordArchived(key[len(keyJob):], mark)
	}
}

// adoptRecord makes a committed record of a size the known state of a job.
func (c *Core) adoptRecord(j *job, r *jobrecord.Record, place []jobrecord.Assignment, mark uint64, size int) {
	was, held := j.isFinal(), len(j.assignments)
	if j.cancellation.markerRevision != 0 && r.Stage == jobrecord.Queued {
		r.Stage, r.CancelledAtMS = jobrecord.Cancelled, j.cancellation.markerMS
	}
	c.removeAssignments(j)
	if j.revision == 0 && r.Spec != nil {
		c.recordClassArrival(r)
	}
	if mark != j.revision {
		j.stored.needsOwnKey = false
	}
	j.record, j.assignments, j.revision, j.stored.bytes = r, place, mark, size
	if r.EnqueueRevision != 0 || j.queue.enqueueRevision == 0 {
		j.queue.enqueueRevision = cmp.Or(r.EnqueueRevision, mark)
	}
	if r.Spec != nil {
		r.Spec.ID = j.id
	}
	c.indexDependencies(j)
	tm, claim := c.teamAndRequestOf(j)
	j.placement.completedTasks = 0
	for _, a := range place {
		m := c.machines[a.Machine]
		m.allocation.assignments[taskKey{j.index, a.Task}] = a
		c.noteMachineChange(m)
		if p := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; p.state == wire.TaskExited &&
			p.cause == wire.CauseDone {
			j.placement.completedTasks++
		}
		if tm != nil {
			tm.usedCPU += claim[0]
			tm.usedGPU += claim[1]
		}
	}
	j.placement.tasksLost = false
	j.placement.hasUnplacedTasks = !j.isFinal() && r.Spec != nil && j.unmetDependencies == 0 &&
		r.CompletedTasks.Count()+len(place) < r.Spec.Tasks
	if !j.hasFinalRecord() || j.submission != nil || len(j.cancellation.waiters) > 0 {
		c.markDirty(j)
	}
	c.placement.capacityFreed = c.placement.capacityFreed || len(place) < held
	if j.isFinal() && !was {
		c.propagateJobEnd(j)
	}
	c.trackEndedJob(j)
}

// removeAssignments takes what a job's record assigned off the machines and off its team's use.
func (c *Core) removeAssignments(j *job) {
	tm, claim := c.teamAndRequestOf(j)
	for _, a := range j.assignments {
		m := c.machines[a.Machine]
		if cur, ok := m.allocation.assignments[taskKey{j.index, a.Task}]; ok && cur == a {
			delete(m.allocation.assignments, taskKey{j.index, a.Task})
		}
		c.noteMachineChange(m)
		if tm != nil {
			tm.usedCPU -= claim[0]
			tm.usedGPU -= claim[1]
		}
	}
}

// encodeRecord renders a job's record.
func (c *Core) encodeRecord(r *jobrecord.Record, place []jobrecord.Assignment, packed bool) (json.RawMessage, error) {
	return jobrecord.Encode(r, place, packed, func(machine int32) (name, zone string) {
		m := c.machines[machine]
		return m.name, m.identity.zone
	})
}
