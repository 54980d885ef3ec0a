package core

import (
	"encoding/json"
	"fmt"

	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// keyCancel begins the keys of cancel markers, by job.
const keyCancel = Root + "cancel/"

// cancelMarker cancels a job whose record is too large to be written again as it is: an older
// version may have stored it under larger limits. The marker is one small durable write beside the
// record. The record follows as its tasks end, and the write of the final one deletes the marker.
type cancelMarker struct {
	CancelMS int64                `json:"cm"` // time of day of the cancellation
	Carried  []audit.PendingEntry `json:"e,omitempty"`
}

// encode returns the marker's stored value.
func (m cancelMarker) encode() json.RawMessage {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // can't happen: a number, and bytes
	}
	return raw
}

// writeCancelMarker cancels a job by a marker, if the job's record and marker are unchanged and the
// other compares hold. Until the outcome is known nothing else is written of the job.
func (c *Core) writeCancelMarker(target *job, cancelledMS int64, compares []wire.Compare, acts []auditlog.Event) {
	key := keyCancel + target.id
	cancellation := &target.cancellation
	pendingAudit, auditEntryIDs := c.auditLog.current().
		AttachEntries(key, cancellation.markerRevision, cancellation.markerAudit, acts)
	target.write.inFlight = true
	c.transactions.commit(wire.Txn{
		Compare: append(
			compares,
			wire.Compare{Key: keyJob + target.id, Revision: target.revision},
			wire.Compare{Key: key, Revision: cancellation.markerRevision},
		),
		Then: []wire.Write{{Put: key, Value: cancelMarker{CancelMS: cancelledMS, Carried: pendingAudit}.encode()}},
	}, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		c.auditLog.current().HandleOutcome(auditEntryIDs, status)
		target.write.inFlight = false
		c.markDirty(target)
		if isNotExecuted(status) {
			return
		}
		target.write.outcomeUnknown = true
		c.resolveAfterBarrier([]*job{target}, nil, nil) // answers the users once the replica has the marker
	}})
}

// applyCancelMarker applies a stored marker. Its job is cancelled whichever of marker and record is
// read first: adoptRecord looks for a marker too.
func (c *Core) applyCancelMarker(key string, raw json.RawMessage, revision uint64) error {
	var marker cancelMarker
	if err := json.Unmarshal(raw, &marker); err != nil {
		return fmt.Errorf("decode cancel marker: %w", err)
	}
	target := c.internJob(key[len(keyCancel):])
	c.auditLog.current().ObserveEntries(key, revision, marker.Carried)
	target.cancellation.markerRevision = revision
	target.cancellation.markerMS, target.cancellation.markerAudit = marker.CancelMS, marker.Carried
	if target.revision != 0 && target.record.Stage == jobrecord.Queued {
		record := *target.record
		c.adoptRecord(target, &record, target.assignments, target.revision, target.stored.bytes)
	}
	return nil
}
