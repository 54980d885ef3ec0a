package auditlog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dewlift/audit"
	pb "dewlift/proto"
	"dewlift/wire"
)

const (
	fullBlockEntries      = 48                     // a queue of that many entries is written without waiting for more
	minBlockInterval      = time.Second            // between blocks, however many entries are queued
	blockRetryDelay       = 300 * time.Millisecond // after a block transaction that failed or has no known outcome
	blockEncodeRetryDelay = 10 * time.Second       // after a block that can't be encoded
	aggregatedEntryBytes  = 2000                   // bound of the aggregated events in one entry
)

// blockAttempt is a block in a transaction whose outcome may be unknown. The head shows whether it was written.
type blockAttempt struct {
	blockNumber       uint64
	mac               []byte
	entryCount        int // leading entries of the queue that are in the block
	startsIncarnation bool
}

// IsBusy reports whether a block transaction is in flight or the delay after a failed one has not passed.
func (r *Recorder) IsBusy() bool { return r.blockInFlight || r.Env.Now < r.nextBlockAt }

// NextBlockTxn returns the transaction that writes the next block, or nil if none is due. The caller passes its
// outcome to HandleBlockOutcome.
func (r *Recorder) NextBlockTxn() *wire.Txn {
	if !r.started {
		return r.startIncarnation()
	}
	if !r.isBlockDue() || r.Env.Now-r.lastBlockAt < minBlockInterval {
		return nil
	}
	r.flushAggregated(&r.denials, &r.denialsSince, "refused", pb.AuditOutcome_refused)
	r.flushAggregated(&r.reads, &r.readsSince, "read", pb.AuditOutcome_done)
	if r.reads.Len() == 0 && len(r.readWaiters) > 0 { // their entry is now the last in the queue
		last := &r.queue[len(r.queue)-1]
		last.onRecorded = append(last.onRecorded, r.readWaiters...)
		r.readWaiters = nil
	}
	return r.nextBlock()
}

// isBlockDue reports whether queued or aggregated entries have waited long enough, are numerous enough, or must not
// wait.
func (r *Recorder) isBlockDue() bool {
	now := r.Env.Now
	switch {
	case len(r.queue) >= fullBlockEntries,
		len(r.queue) > 0 && now-r.queue[0].queuedAt >= r.cfg.BlockDelay,
		len(r.readWaiters) > 0,
		len(r.formerEntries) > 0,
		r.denials.Len() > 0 && now-r.denialsSince >= r.cfg.AggregationInterval,
		r.reads.Len() > 0 && now-r.readsSince >= r.cfg.AggregationInterval:
		return true
	}
	return slices.ContainsFunc(r.queue, func(entry queuedEntry) bool { return len(entry.onRecorded) > 0 })
}

// flushAggregated queues one entry of aggregated events, if there are any.
func (r *Recorder) flushAggregated(
	aggregated *audit.Aggregator, since *time.Duration, verb string, outcome pb.AuditOutcome,
) {
	if aggregated.Len() == 0 {
		return
	}
	entry := r.newEntry(Event{Verb: verb})
	entry.Outcome, entry.Items = outcome, aggregated.Drain(min(aggregatedEntryBytes, r.Env.MaxValueBytes/4))
	*since = r.Env.Now
	r.enqueue(r.incarnation, entry.Count, audit.EncodeEntry(entry))
}

// nextBlock returns the transaction that writes as many queued entries as fit a block.
func (r *Recorder) nextBlock() *wire.Txn {
	head := r.heads[r.cfg.Node]
	var encoded [][]byte
	for _, entry := range r.queue {
		encoded = append(encoded, entry.encoded)
	}
	maxBytes := r.Env.MaxValueBytes * 15 / 16
	raw, n, mac, err := r.cfg.Key.EncodeNextBlock(head, r.cfg.Node, r.cfg.ClockErrorMS, encoded, maxBytes)
	if err != nil {
		r.cfg.LogError("failed to encode an audit block", "err", err.Error())
		r.nextBlockAt = r.Env.Now + blockEncodeRetryDelay
		return nil
	}
	next := &audit.Head{
		BlockNumber:  head.BlockNumber + 1,
		MAC:          mac,
		Incarnations: r.incarnationsAfter(head, n),
	}
	attempt := blockAttempt{blockNumber: next.BlockNumber, mac: mac, entryCount: n}
	return r.blockTxn(raw, next, wire.Txn{}, attempt)
}

// incarnationsAfter returns the incarnations for the head that follows a block with the first n queued entries.
func (r *Recorder) incarnationsAfter(head *audit.Head, n int) []audit.Incarnation {
	written, remaining := r.queue[:n], r.queue[n:]
	isFormer := func(entry queuedEntry) bool { return entry.incarnation != r.incarnation }
	incarnations := head.Incarnations
	for _, entry := range written {
		if isFormer(entry) {
			incarnations = (&audit.Head{Incarnations: incarnations}).WithRecorded(entry.incarnation, entry.sequence)
		}
	}
	// All pending entries of former incarnations were read at the start, and after LateTxnWindow no transaction of
	// theirs is executed any more. So once the queue holds none of their entries, all of them are in blocks.
	if r.Env.Now-r.cfg.StartedAt >= r.cfg.LateTxnWindow && !slices.ContainsFunc(remaining, isFormer) {
		incarnations = incarnations[len(incarnations)-1:]
	}
	pending := slices.Sorted(maps.Keys(r.inFlight))
	for _, entry := range remaining {
		if !isFormer(entry) {
			pending = append(pending, entry.sequence)
		}
	}
	slices.Sort(pending)
	incarnations = slices.Clone(incarnations)
	incarnations[len(incarnations)-1] = audit.Incarnation{
		Number:           r.incarnation,
		NextSequence:     r.lastSequence + 1,
		PendingSequences: pending,
	}
	return incarnations
}

// startIncarnation returns the transaction that writes the first block of this incarnation. The entry in it records
// the start and the changed settings.
func (r *Recorder) startIncarnation() *wire.Txn {
	head := cmp.Or(r.heads[r.cfg.Node], &audit.Head{})
	r.incarnation, r.lastSequence = head.BlockNumber+1, 0
	var txn wire.Txn
	if r.initializedRevision == 0 {
		txn.Compare = append(txn.Compare, wire.Compare{Key: KeyInitialized})
		txn.Then = append(txn.Then, wire.Write{Put: KeyInitialized, Value: json.RawMessage("1")})
	}
	reason := r.addSettings(&txn)
	entry := r.newEntry(Event{Verb: VerbStart, Object: r.cfg.Node, Reason: reason})
	raw, _, mac, err := r.cfg.Key.EncodeNextBlock(
		head,
		r.cfg.Node,
		r.cfg.ClockErrorMS,
		[][]byte{audit.EncodeEntry(entry)},
		r.Env.MaxValueBytes,
	)
	if err != nil {
		r.cfg.LogError("failed to encode the first audit block of this process", "err", err.Error())
		r.nextBlockAt = r.Env.Now + blockEncodeRetryDelay
		return nil
	}
	next := &audit.Head{
		BlockNumber:  head.BlockNumber + 1,
		MAC:          mac,
		Incarnations: head.WithIncarnation(audit.Incarnation{Number: r.incarnation, NextSequence: r.lastSequence + 1}),
	}
	return r.blockTxn(raw, next, txn, blockAttempt{blockNumber: next.BlockNumber, mac: mac, startsIncarnation: true})
}

// addSettings adds a write of the settings to the transaction if they have changed and fit a value. It returns a
// description of how they differ from those of the last start.
func (r *Recorder) addSettings(txn *wire.Txn) (reason string) {
	changed := diffSettings(r.storedSettings, r.cfg.Settings)
	if len(changed) > 0 || r.settingsRevision == 0 {
		if raw, err := json.Marshal(r.cfg.Settings); err == nil && len(raw) <= r.Env.MaxValueBytes {
			key := settingsPrefix + r.cfg.Node
			txn.Compare = append(txn.Compare, wire.Compare{Key: key, Revision: r.settingsRevision})
			txn.Then = append(txn.Then, wire.Write{Put: key, Value: raw})
		}
	}
	switch {
	case r.settingsRevision == 0:
		return "first start"
	case len(changed) > 0:
		return "settings differ: " + strings.Join(changed, ", ")
	}
	return "settings as before"
}

// diffSettings describes the changed settings in order of their names: first those that are set now, then those
// that no longer are. old is nil if no settings are stored, which yields no changes.
func diffSettings(old, current map[string]string) (list []string) {
	if old == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if old[name] != current[name] {
			value, former := cmp.Or(current[name], "unset"), cmp.Or(old[name], "unset")
			list = append(list, fmt.Sprintf("%s %s, was %s", name, value, former))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := current[name]; !ok {
			list = append(list, fmt.Sprintf("%s unset, was %s", name, old[name]))
		}
	}
	return list
}

// blockTxn adds the writes of a block and of the head that follows it to a transaction, and notes the attempt.
func (r *Recorder) blockTxn(raw json.RawMessage, next *audit.Head, txn wire.Txn, attempt blockAttempt) *wire.Txn {
	rawHead, err := json.Marshal(next)
	if err != nil {
		panic(err) // impossible: the value has only bytes and numbers
	}
	blockKey, headKey := audit.BlockKey(r.cfg.Node, next.BlockNumber), HeadPrefix+r.cfg.Node
	txn.Compare = append(
		txn.Compare,
		wire.Compare{Key: headKey, Revision: r.headRevisions[r.cfg.Node]},
		wire.Compare{Key: blockKey},
	)
	txn.Then = append(txn.Then, wire.Write{Put: blockKey, Value: raw}, wire.Write{Put: headKey, Value: rawHead})
	r.blockAttempts = append(r.blockAttempts, attempt)
	r.nextHead = next
	r.blockInFlight = true
	return &txn
}

// HandleBlockOutcome handles the outcome of the transaction that NextBlockTxn returned. It reports whether the
// caller must bring the replica up to date and then call ClearBusy before the next block can be written.
func (r *Recorder) HandleBlockOutcome(status wire.Status, revision uint64) (mustRead bool) {
	switch status {
	case wire.StatusOK:
		r.blockInFlight = false
		r.applyHead(r.cfg.Node, r.nextHead, revision)
		return false
	case wire.StatusTooManyRequests, wire.StatusUnavailable: // not executed
		r.blockInFlight = false
	}
	r.nextBlockAt = r.Env.Now + blockRetryDelay
	return status != wire.StatusTooManyRequests && status != wire.StatusUnavailable
}

// ClearBusy ends the wait for a block with unknown outcome, once the replica shows whether it was written.
func (r *Recorder) ClearBusy() { r.blockInFlight = false }

// applyHead updates the replica of a head. The controller's own head shows which of its block attempts was written.
func (r *Recorder) applyHead(node string, head *audit.Head, revision uint64) {
	if revision <= r.headRevisions[node] {
		return
	}
	r.heads[node], r.headRevisions[node] = head, revision
	if node != r.cfg.Node || r.cfg.Key == nil {
		return
	}
	i := slices.IndexFunc(r.blockAttempts, func(attempt blockAttempt) bool {
		return attempt.blockNumber == head.BlockNumber && string(attempt.mac) == string(head.MAC)
	})
	if i < 0 {
		r.handleForeignHead(head)
		return
	}
	r.confirmBlock(r.blockAttempts[i])
}

// handleForeignHead ends this incarnation, because another process, usually a former one, extended the chain, or a
// restore rolled it back. The watched changes then show the entries of this incarnation like those of a former one.
func (r *Recorder) handleForeignHead(head *audit.Head) {
	if r.started {
		r.cfg.LogError(
			"audit chain was extended by another process or rolled back; starting a new incarnation",
			"block",
			head.BlockNumber,
		)
	}
	r.started, r.incarnation, r.blockAttempts = false, 0, nil
	clear(r.inFlight)
	clear(r.unknownOutcome)
	// The last block of a former incarnation may have been written after its entries were queued here.
	r.queue = slices.DeleteFunc(r.queue, func(entry queuedEntry) bool {
		if !head.Contains(entry.incarnation, entry.sequence) {
			return false
		}
		delete(r.formerEntries, [2]uint64{entry.incarnation, entry.sequence})
		return true
	})
}

// confirmBlock removes the entries of a written block from the queue and notifies their waiters.
func (r *Recorder) confirmBlock(attempt blockAttempt) {
	r.blockAttempts, r.lastBlockAt = nil, r.Env.Now
	r.started = r.started || attempt.startsIncarnation
	written := r.queue[:attempt.entryCount]
	r.queue = slices.Clone(r.queue[attempt.entryCount:])
	for _, entry := range written {
		delete(r.formerEntries, [2]uint64{entry.incarnation, entry.sequence})
		for _, notify := range entry.onRecorded {
			notify(true)
		}
	}
}
