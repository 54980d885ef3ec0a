package core

import (
	"encoding/json"
	"fmt"

	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

// keyCancel is the prefix of the keys of cancel markers; the job ID follows.
const keyCancel = Root + "cancel/"

// cancelMarker cancels a job whose record would exceed the size limit of a value: an older version may have
// stored it under a larger limit, or its tasks may have ended in an order that leaves many separate ranges. The
// marker is a small durable write in addition to the record. The record is written once enough of the job's
// tasks have ended for it to fit, and the write of the final record deletes the marker.
type cancelMarker struct {
	CancelMS     int64                `json:"cm"` // wall-clock time of the cancellation
	PendingAudit []audit.PendingEntry `json:"e,omitempty"`
}

// encode returns the marker's stored value.
func (m cancelMarker) encode() json.RawMessage {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // impossible: the marker holds only a number and bytes
	}
	return raw
}

// writeCancelMarker cancels a job by a marker, on the condition that the job's record and marker are
// unchanged and that the given compares hold. No other write of the job is sent until the outcome is known.
func (c *Core) writeCancelMarker(target *job, cancelledMS int64, compares []wire.Compare, events []auditlog.Event) {
	key := keyCancel + target.id
	cancellation := &target.cancellation
	pendingAudit, auditEntryIDs := c.auditLog.current().
		AttachEntries(key, cancellation.markerRevision, cancellation.markerAudit, events)
	target.write.inFlight = true
	c.transactions.commit(wire.Txn{
		Compare: append(
			compares,
			wire.Compare{Key: keyJob + target.id, Revision: target.revision},
			wire.Compare{Key: key, Revision: cancellation.markerRevision},
		),
		Then: []wire.Write{{Put: key, Value: cancelMarker{CancelMS: cancelledMS, PendingAudit: pendingAudit}.encode()}},
	}, &pendingTxn{onDone: func(status wire.Status, _ wire.TxnResponse) {
		c.auditLog.current().HandleOutcome(auditEntryIDs, status)
		target.write.inFlight = false
		c.markDirty(target)
		if isNotExecuted(status) {
			return
		}
		target.write.outcomeUnknown = true
		c.resolveAfterBarrier([]*job{target}, nil, nil) // responds to the users once the replica has the marker
	}})
}

// applyCancelMarker applies a stored marker. The job is cancelled whether its marker or its record is read
// first, because adoptRecord also checks for a marker.
func (c *Core) applyCancelMarker(key string, raw json.RawMessage, revision uint64) error {
	var marker cancelMarker
	if err := json.Unmarshal(raw, &marker); err != nil {
		return fmt.Errorf("decode cancel marker: %w", err)
	}
	target := c.internJob(key[len(keyCancel):])
	c.auditLog.current().ObserveEntries(key, revision, marker.PendingAudit)
	target.cancellation.markerRevision = revision
	target.cancellation.markerMS, target.cancellation.markerAudit = marker.CancelMS, marker.PendingAudit
	if target.revision != 0 && target.record.Stage == jobrecord.Queued {
		record := *target.record
		c.adoptRecord(target, &record, target.assignments, target.revision, target.stored.bytes)
	}
	return nil
}
