package auditlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"dewlift/audit"
	"dewlift/internal/utf8text"
	pb "dewlift/proto"
	"dewlift/wire"
)

// maxReasonBytes bounds the reason in an entry; a longer one is truncated.
const maxReasonBytes = 600

// outbox is the replica of an outbox key, whose only purpose is to carry entries.
type outbox struct {
	revision uint64
	entries  []audit.PendingEntry
}

// outboxValue is the stored form of an outbox, and the common part of all values that carry entries.
type outboxValue struct {
	Entries []audit.PendingEntry `json:"e"`
}

// inFlightEntry is an entry in a transaction whose outcome is not known yet.
type inFlightEntry struct {
	encoded  []byte
	key      string // that carries it
	revision uint64 // of the key, which the transaction compares
}

// queuedEntry is a committed entry that waits to be written to a block.
type queuedEntry struct {
	incarnation, sequence uint64
	encoded               []byte
	queuedAt              time.Duration
	onRecorded            []func(ok bool)
}

// newEntry returns the entry of an event, with the next sequence number of this incarnation. Its outcome is done,
// which is stored as 0; a caller that records denials must set another.
func (r *Recorder) newEntry(event Event) *pb.AuditEntry {
	r.lastSequence++
	return &pb.AuditEntry{
		Life:   r.incarnation,
		Count:  r.lastSequence,
		AtMs:   r.Env.UnixMS,
		Who:    audit.TruncateText(event.Identity),
		Key:    audit.TruncateText(event.Key),
		Verb:   event.Verb,
		Object: audit.TruncateText(event.Object),
		Why:    utf8text.Truncate(event.Reason, maxReasonBytes, audit.Ellipsis),

		Outcome: pb.AuditOutcome_done,
	}
}

// AttachEntries returns the entries that a value must carry in its next write: those of old that are in no block,
// and new entries of the events. The write must compare the key's revision. ids identifies the new entries: the
// caller passes it to HandleOutcome with the outcome of the write, or to DiscardEntries.
func (r *Recorder) AttachEntries(
	key string,
	revision uint64,
	old []audit.PendingEntry,
	events []Event,
) (list []audit.PendingEntry, ids []uint64) {
	for _, pending := range old {
		if !r.IsRecorded(&pending) {
			list = append(list, pending)
		}
	}
	if !r.Env.Enabled {
		return list, nil
	}
	for _, event := range events {
		entry := r.newEntry(event)
		pending := r.cfg.Key.SignEntry(r.cfg.Node, key, entry)
		list = append(list, pending)
		ids = append(ids, entry.Count)
		r.inFlight[entry.Count] = &inFlightEntry{encoded: pending.Entry, key: key, revision: revision}
	}
	return list, ids
}

// AttachOutbox adds a write of an outbox key with the entry of an event to a transaction.
func (r *Recorder) AttachOutbox(txn *wire.Txn, name string, event Event) (ids []uint64) {
	key := outboxPrefix + name
	old := r.outboxes[key]
	list, ids := r.AttachEntries(key, old.revision, old.entries, []Event{event})
	raw, err := json.Marshal(outboxValue{list})
	if err != nil {
		panic(err) // impossible: the value has only bytes, strings and numbers
	}
	txn.Compare = append(txn.Compare, wire.Compare{Key: key, Revision: old.revision})
	txn.Then = append(txn.Then, wire.Write{Put: key, Value: raw})
	return ids
}

// IsRecorded reports whether a pending entry is in a block, so that no value needs to carry it any more.
func (r *Recorder) IsRecorded(pending *audit.PendingEntry) bool {
	head := r.heads[pending.Node]
	return head != nil && head.Contains(pending.Incarnation, pending.Sequence)
}

// AllRecorded reports whether all of the entries are in blocks.
func (r *Recorder) AllRecorded(list []audit.PendingEntry) bool {
	return !slices.ContainsFunc(list, func(pending audit.PendingEntry) bool { return !r.IsRecorded(&pending) })
}

// HandleOutcome handles the outcome of the transaction that contains the entries.
func (r *Recorder) HandleOutcome(ids []uint64, status wire.Status) {
	switch status {
	case wire.StatusConflict, wire.StatusTooManyRequests, wire.StatusUnavailable, wire.StatusBadRequest: // not executed
		r.DiscardEntries(ids)
		return
	}
	for _, id := range ids {
		entry := r.inFlight[id]
		switch {
		case entry == nil:
		case status == wire.StatusOK:
			r.enqueueCommitted(id)
		default:
			r.unknownOutcome[entry.key] = append(r.unknownOutcome[entry.key], id)
		}
	}
}

// DiscardEntries drops the entries of a transaction that was not sent or not executed.
func (r *Recorder) DiscardEntries(ids []uint64) {
	for _, id := range ids {
		delete(r.inFlight, id)
	}
}

// enqueueCommitted queues an in-flight entry for a block, because its change is committed.
func (r *Recorder) enqueueCommitted(id uint64) {
	if entry := r.inFlight[id]; entry != nil {
		delete(r.inFlight, id)
		r.enqueue(r.incarnation, id, entry.encoded)
	}
}

// enqueue queues an encoded entry for a block.
func (r *Recorder) enqueue(incarnation, sequence uint64, encoded []byte) {
	r.queue = append(
		r.queue,
		queuedEntry{incarnation: incarnation, sequence: sequence, encoded: encoded, queuedAt: r.Env.Now},
	)
}

// ObserveEntries handles the entries that a key carries as of a revision. It queues those of this controller that
// are in no block, and drops the entries with unknown outcome that the key does not carry: they were not written
// and never will be.
func (r *Recorder) ObserveEntries(key string, revision uint64, list []audit.PendingEntry) {
	if r.cfg.Key == nil {
		return
	}
	for i := range list {
		pending := &list[i]
		id := [2]uint64{pending.Incarnation, pending.Sequence}
		switch {
		case pending.Node != r.cfg.Node:
		case pending.Incarnation == r.incarnation:
			r.enqueueCommitted(pending.Sequence)
		case r.IsRecorded(pending) || r.formerEntries[id]:
		default:
			r.formerEntries[id] = true
			r.enqueue(pending.Incarnation, pending.Sequence, r.verifiedEntry(key, pending))
		}
	}
	r.ResolveUnknown(key, revision)
}

// verifiedEntry returns what goes into a block for a pending entry of a former incarnation: the entry if its MAC is
// valid, else an entry that records the forgery under the same sequence number.
func (r *Recorder) verifiedEntry(key string, pending *audit.PendingEntry) []byte {
	_, err := r.cfg.Key.VerifyEntry(key, pending)
	if err == nil {
		return pending.Entry
	}
	r.cfg.LogError("pending audit entry was altered; recording it as forged", "key", key, "life", pending.Incarnation,
		"count", pending.Sequence)
	return audit.EncodeEntry(
		&pb.AuditEntry{
			Life:    pending.Incarnation,
			Count:   pending.Sequence,
			AtMs:    r.Env.UnixMS,
			Verb:    VerbForged,
			Object:  audit.TruncateText(key),
			Outcome: pb.AuditOutcome_refused,
			Why:     err.Error(),
		},
	)
}

// ResolveUnknown drops the entries with unknown outcome whose transaction compares an earlier revision of the key than
// the given one, at which the key does not carry them: it was not executed, and its compare fails from now on.
func (r *Recorder) ResolveUnknown(key string, revision uint64) {
	if len(r.unknownOutcome[key]) == 0 {
		return
	}
	r.unknownOutcome[key] = slices.DeleteFunc(r.unknownOutcome[key], func(id uint64) bool {
		entry := r.inFlight[id]
		if entry != nil && revision <= entry.revision {
			return false
		}
		delete(r.inFlight, id)
		return true
	})
	if len(r.unknownOutcome[key]) == 0 {
		delete(r.unknownOutcome, key)
	}
}

// ApplyPut updates the replica from a watched audit key.
func (r *Recorder) ApplyPut(key string, raw json.RawMessage, revision uint64) error {
	switch {
	case key == KeyInitialized:
		r.initializedRevision = max(r.initializedRevision, revision)
	case strings.HasPrefix(key, HeadPrefix):
		head := &audit.Head{}
		if err := json.Unmarshal(raw, head); err != nil {
			return fmt.Errorf("decode chain head: %w", err)
		}
		r.applyHead(strings.TrimPrefix(key, HeadPrefix), head, revision)
	case strings.HasPrefix(key, outboxPrefix):
		var value outboxValue
		if err := json.Unmarshal(raw, &value); err != nil {
			return fmt.Errorf("decode audit outbox: %w", err)
		}
		r.ObserveEntries(key, revision, value.Entries)
		if revision > r.outboxes[key].revision {
			r.outboxes[key] = outbox{revision, value.Entries}
		}
	case key == settingsPrefix+r.cfg.Node:
		if revision > r.settingsRevision {
			r.storedSettings, r.settingsRevision = nil, revision
			if err := json.Unmarshal(raw, &r.storedSettings); err != nil {
				return fmt.Errorf("decode stored settings: %w", err)
			}
		}
	}
	return nil
}
