// Package auditlog writes a controller's part of the audit record. It decides what is carried by
// which value, and when a block is written; it does no I/O: transactions go out, their outcomes and
// the changes of the state service come in.
//
// An entry is written with the change it tells of, at no change more: the job's record carries it,
// or where no value could, a carrier beside it. The controller that wrote it gathers its entries
// and puts them into the next block of its chain, once each; the block and the head, which tells
// all controllers what is in blocks, are one transaction on condition of the head before. Whoever
// writes a value next drops from it what is in blocks.
//
// An entry is named by the life of its process and a count. Whether a former life's entry is in a
// block is told by the head: so a controller that starts again, reading all keys anyway, finds what
// its former life has left, and neither forgets an entry nor puts it twice. A transaction whose
// outcome is not known is settled by what its key carries once that changes; one executed late
// carries its entry, and is found by the stream of changes.
package auditlog

import (
	"cmp"
	"dewlift/audit"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	pb "dewlift/proto"
)

const (
	// Prefix begins the keys that every controller follows.
	Prefix         = "dl/audit/"
	KeyInitialized = Prefix + "begun"     // exists once something is recorded: who records nothing must not act
	HeadPrefix     = Prefix + "head/"     // by controller; read ahead of all that carries entries, as keys are in order
	carrierPrefix  = Prefix + "of/"       // entries of changes to values that can't carry them
	settingsPrefix = Prefix + "settings/" // by controller, as of its last start
)

// Config is what a recorder needs to know at its start.
type Config struct {
	Key            audit.Key // nil: nothing is recorded, but others' records are followed
	Node           string
	GatherInterval time.Duration // how long refusals and reads are gathered
	BlockDelay     time.Duration // how long other entries wait to share a block
	LateTxnWindow  time.Duration // after which nothing of a former life is executed any more
	ClockErrorMS   uint32        // how far the time of day may be off
	Settings       map[string]string
	StartedAt      time.Duration
	LogError       func(text string, args ...any)
}

// Env is what a recorder must know of the moment; whoever calls it sets it before.
type Env struct {
	Now           time.Duration
	UnixMS        int64
	Enabled       bool // it records: there is a key, and every controller knows the record
	MaxValueBytes int
}

// Recorder is the state of a controller's recording.
type Recorder struct {
	Env Env
	cfg Config

	initializedRevision uint64 // mark of KeyBegun
	heads               map[string]*audit.Head
	headRevisions       map[string]uint64 // of the heads
	carriers            map[string]carrier
	storedSettings      map[string]string // as of the last start
	settingsRevision    uint64

	incarnation, lastSequence uint64 // of this process
	started                   bool   // its life has begun
	inFlight                  map[uint64]*inFlightEntry
	unknownOutcome            map[string][]uint64 // by carrying key: those whose outcome is not known
	formerEntries             map[[2]uint64]bool  // entries of former lives in the queue
	queue                     []queuedEntry       // to be put into blocks
	blockInFlight             bool
	blockAttempts             []blockAttempt // at the next block
	nextHead                  *audit.Head    // of the one that was sent last
	nextBlockAt               time.Duration
	lastBlockAt               time.Duration

	refusals, reads           audit.Aggregator
	refusalsSince, readsSince time.Duration // since when they gather
	readWaiters               []func(ok bool)
	recordedUntil             map[string]time.Duration // whose reading was recorded of late
}

// carrier is a key that does nothing but carry entries.
type carrier struct {
	revision uint64
	entries  []audit.PendingEntry
}

type carrierValue struct {
	Entries []audit.PendingEntry `json:"e"`
}

// inFlightEntry is an entry of a transaction on its way.
type inFlightEntry struct {
	encoded  []byte
	key      string // that carries it
	revision uint64 // of the key, on condition of which it is written
}

// queuedEntry is an entry that waits for a block.
type queuedEntry struct {
	incarnation, sequence uint64
	encoded               []byte
	queuedAt              time.Duration
	onRecorded            []func(ok bool)
}

// blockAttempt is a block that was sent; whether it was written is told by the head.
type blockAttempt struct {
	blockNumber       uint64
	mac               []byte
	entryCount        int // entries of the queue in it
	startsIncarnation bool
}

// Event is what an entry tells of; without who, the service itself did it.
type Event struct{ Identity, Key, Verb, Object, Reason string }

const (
	fullBlockEntries   = 48          // entries that are put into a block without waiting
	minBlockInterval   = time.Second // between blocks, however many wait
	gatheredEntryBytes = 2000        // bytes of acts that are gathered in an entry
	maxGatheredBytes   = 16 << 10    // bytes of acts that are told apart
	readerDedupWindow  = time.Minute // for which a reader's pages are counted after the first was recorded
	maxReasonBytes     = 600         // of what was changed
)

// Verbs of what controllers do.
const (
	VerbTakeOver = "take"    // shards or the leadership
	VerbStart    = "start"   // a controller
	VerbStop     = "stop"    // tasks
	VerbRestore  = "restore" // a snapshot
	VerbForged   = "forged"  // an entry that was altered before it was in a block
)

// New is a recorder that has recorded nothing.
func New(cfg Config) *Recorder {
	return &Recorder{
		cfg:            cfg,
		heads:          map[string]*audit.Head{},
		headRevisions:  map[string]uint64{},
		carriers:       map[string]carrier{},
		inFlight:       map[uint64]*inFlightEntry{},
		unknownOutcome: map[string][]uint64{},
		formerEntries:  map[[2]uint64]bool{},
		recordedUntil:  map[string]time.Duration{},
		refusals:       audit.Aggregator{MaxBytes: maxGatheredBytes},
		reads:          audit.Aggregator{MaxBytes: maxGatheredBytes},
	}
}

// IsInitialized reports whether any controller records.
func (r *Recorder) IsInitialized() bool { return r.initializedRevision != 0 }

// IsStarted reports whether this life has begun.
func (r *Recorder) IsStarted() bool { return r.started }

// Heads are the ends of all chains, by controller.
func (r *Recorder) Heads() map[string]*audit.Head { return r.heads }

// RejectReadWaiters refuses those who wait to be recorded: nothing can be written now.
func (r *Recorder) RejectReadWaiters() {
	for len(r.readWaiters) > 0 {
		f := r.readWaiters[0]
		r.readWaiters = r.readWaiters[1:]
		f(false)
	}
}

// IsBusy reports whether no block can be written now.
func (r *Recorder) IsBusy() bool { return r.blockInFlight || r.Env.Now < r.nextBlockAt }

// NextBlockTxn gives the transaction with the next block, if one is due. Its outcome goes to Written.
func (r *Recorder) NextBlockTxn() *wire.Txn {
	if !r.started {
		return r.beginIncarnation()
	}
	now := r.Env.Now
	due := len(r.queue) >= fullBlockEntries || len(r.queue) > 0 && now-r.queue[0].queuedAt >= r.cfg.BlockDelay ||
		len(r.readWaiters) > 0 ||
		len(r.formerEntries) > 0 ||
		slices.ContainsFunc(r.queue, func(q queuedEntry) bool { return len(q.onRecorded) > 0 })
	for _, g := range []struct {
		g     *audit.Aggregator
		since time.Duration
	}{{&r.refusals, r.refusalsSince}, {&r.reads, r.readsSince}} {
		due = due || g.g.Len() > 0 && now-g.since >= r.cfg.GatherInterval
	}
	if !due || now-r.lastBlockAt < minBlockInterval {
		return nil
	}
	r.flushGathered(&r.refusals, &r.refusalsSince, "refused", pb.AuditOutcome_refused)
	r.flushGathered(&r.reads, &r.readsSince, "read", pb.AuditOutcome_done)
	if r.reads.Len() == 0 && len(r.readWaiters) > 0 { // what they wait for is the last of the queue
		q := &r.queue[len(r.queue)-1]
		q.onRecorded = append(q.onRecorded, r.readWaiters...)
		r.readWaiters = nil
	}
	return r.nextBlock()
}

// newEntry makes an act an entry of this life.
func (r *Recorder) newEntry(x Event) *pb.AuditEntry {
	r.lastSequence++
	why := x.Reason
	if len(why) > maxReasonBytes {
		why = strings.ToValidUTF8(why[:maxReasonBytes], "") + "..."
	}
	return &pb.AuditEntry{
		Life:   r.incarnation,
		Count:  r.lastSequence,
		AtMs:   r.Env.UnixMS,
		Who:    audit.TruncateText(x.Identity),
		Key:    audit.TruncateText(x.Key),
		Verb:   x.Verb,
		Object: audit.TruncateText(x.Object),
		Why:    strings.ToValidUTF8(why, "?"),
	}
}

// AttachEntries returns what a value carries when it is written on condition of its key's mark:
// what it did and is not in a block, and the entries of the acts, which are named by ids.
func (r *Recorder) AttachEntries(
	key string,
	mark uint64,
	old []audit.PendingEntry,
	acts []Event,
) (list []audit.PendingEntry, ids []uint64) {
	for _, x := range old {
		if !r.IsRecorded(&x) {
			list = append(list, x)
		}
	}
	if !r.Env.Enabled {
		return list, nil
	}
	for _, x := range acts {
		e := r.newEntry(x)
		carried := r.cfg.Key.SignEntry(r.cfg.Node, key, e)
		list = append(list, carried)
		ids = append(ids, e.Count)
		r.inFlight[e.Count] = &inFlightEntry{encoded: carried.Entry, key: key, revision: mark}
	}
	return list, ids
}

// AttachCarrier adds a carrier with the entry of an act to a transaction.
func (r *Recorder) AttachCarrier(t *wire.Txn, name string, x Event) (ids []uint64) {
	key := carrierPrefix + name
	old := r.carriers[key]
	list, ids := r.AttachEntries(key, old.revision, old.entries, []Event{x})
	raw, err := json.Marshal(carrierValue{list})
	if err != nil {
		panic(err) // bytes and numbers
	}
	t.Compare = append(t.Compare, wire.Compare{Key: key, Revision: old.revision})
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
	return ids
}

// IsRecorded reports whether a carried entry need not be carried any more.
func (r *Recorder) IsRecorded(x *audit.PendingEntry) bool {
	h := r.heads[x.Node]
	return h != nil && h.Contains(x.Incarnation, x.Sequence)
}

// AllRecorded reports whether none of them need be.
func (r *Recorder) AllRecorded(list []audit.PendingEntry) bool {
	return !slices.ContainsFunc(list, func(x audit.PendingEntry) bool { return !r.IsRecorded(&x) })
}

// HandleOutcome takes the outcome of a transaction with entries.
func (r *Recorder) HandleOutcome(ids []uint64, status wire.Status) {
	switch status {
	case wire.StatusConflict, wire.StatusTooManyRequests, wire.StatusUnavailable, wire.StatusBadRequest: // not executed
		r.DiscardEntries(ids)
		return
	}
	for _, id := range ids {
		s := r.inFlight[id]
		switch {
		case s == nil:
		case status == wire.StatusOK:
			r.enqueueWritten(id)
		default:
			r.unknownOutcome[s.key] = append(r.unknownOutcome[s.key], id)
		}
	}
}

// DiscardEntries forgets entries of a transaction that was not sent, or not executed.
func (r *Recorder) DiscardEntries(ids []uint64) {
	for _, id := range ids {
		delete(r.inFlight, id)
	}
}

// enqueueWritten has an entry put into a block: its change was made.
func (r *Recorder) enqueueWritten(id uint64) {
	if s := r.inFlight[id]; s != nil {
		delete(r.inFlight, id)
		r.queue = append(
			r.queue,
			queuedEntry{incarnation: r.incarnation, sequence: id, encoded: s.encoded, queuedAt: r.Env.Now},
		)
	}
}

// ObserveEntries takes what a key carries as of a mark. Entries of this controller that are in no block are queued;
// those whose outcome was not known and that are not there were not written and never will be.
func (r *Recorder) ObserveEntries(key string, revision uint64, list []audit.PendingEntry) {
	if r.cfg.Key == nil {
		return
	}
	for i := range list {
		x := &list[i]
		id := [2]uint64{x.Incarnation, x.Sequence}
		switch {
		case x.Node != r.cfg.Node:
		case x.Incarnation == r.incarnation:
			r.enqueueWritten(x.Sequence)
		case r.IsRecorded(x) || r.formerEntries[id]:
		default:
			raw := x.Entry
			if _, err := r.cfg.Key.VerifyEntry(key, x); err != nil {
				r.cfg.LogError(
					"an entry of the audit record was altered",
					"key",
					key,
					"life",
					x.Incarnation,
					"count",
					x.Sequence,
				)
				raw = audit.Encode(
					&pb.AuditEntry{
						Life:    x.Incarnation,
						Count:   x.Sequence,
						AtMs:    r.Env.UnixMS,
						Verb:    VerbForged,
						Object:  audit.TruncateText(key),
						Outcome: pb.AuditOutcome_refused,
						Why:     err.Error(),
					},
				)
			}
			r.formerEntries[id] = true
			r.queue = append(
				r.queue,
				queuedEntry{incarnation: x.Incarnation, sequence: x.Sequence, encoded: raw, queuedAt: r.Env.Now},
			)
		}
	}
	r.ResolveUnknown(key, revision)
}

// ResolveUnknown settles the entries that a key would carry now if they had been written.
func (r *Recorder) ResolveUnknown(key string, revision uint64) {
	if len(r.unknownOutcome[key]) == 0 {
		return
	}
	r.unknownOutcome[key] = slices.DeleteFunc(r.unknownOutcome[key], func(id uint64) bool {
		s := r.inFlight[id]
		if s != nil && revision <= s.revision {
			return false
		}
		delete(r.inFlight, id)
		return true
	})
	if len(r.unknownOutcome[key]) == 0 {
		delete(r.unknownOutcome, key)
	}
}

// ApplyPut takes a key of the record.
func (r *Recorder) ApplyPut(key string, raw json.RawMessage, revision uint64) error {
	switch {
	case key == KeyInitialized:
		r.initializedRevision = max(r.initializedRevision, revision)
	case strings.HasPrefix(key, HeadPrefix):
		h := &audit.Head{}
		if err := json.Unmarshal(raw, h); err != nil {
			return err
		}
		r.applyHead(strings.TrimPrefix(key, HeadPrefix), h, revision)
	case strings.HasPrefix(key, carrierPrefix):
		var v carrierValue
		if err := json.Unmarshal(raw, &v); err != nil {
			return err
		}
		r.ObserveEntries(key, revision, v.Entries)
		if revision > r.carriers[key].revision {
			r.carriers[key] = carrier{revision, v.Entries}
		}
	case key == settingsPrefix+r.cfg.Node:
		if revision > r.settingsRevision {
			r.storedSettings, r.settingsRevision = nil, revision
			return json.Unmarshal(raw, &r.storedSettings)
		}
	}
	return nil
}

// applyHead takes a head. Its own tells a controller which of its blocks was written.
func (r *Recorder) applyHead(node string, h *audit.Head, mark uint64) {
	if mark <= r.headRevisions[node] {
		return
	}
	r.heads[node], r.headRevisions[node] = h, mark
	if node != r.cfg.Node || r.cfg.Key == nil {
		return
	}
	i := slices.IndexFunc(
		r.blockAttempts,
		func(t blockAttempt) bool { return t.blockNumber == h.BlockNumber && string(t.mac) == string(h.MAC) },
	)
	if i < 0 {
		if r.started {
			r.cfg.LogError(
				"the chain of the audit record was continued by another process, or set back",
				"block",
				h.BlockNumber,
			)
		}
		// What this life has sent shows with the changes, as a former life's.
		r.started, r.incarnation, r.blockAttempts = false, 0, nil
		clear(r.inFlight)
		clear(r.unknownOutcome)
		// The last block of a former life may be written after its entries were read here.
		r.queue = slices.DeleteFunc(r.queue, func(q queuedEntry) bool {
			if !h.Contains(q.incarnation, q.sequence) {
				return false
			}
			delete(r.formerEntries, [2]uint64{q.incarnation, q.sequence})
			return true
		})
		return
	}
	t := r.blockAttempts[i]
	r.blockAttempts, r.lastBlockAt = nil, r.Env.Now
	r.started = r.started || t.startsIncarnation
	written := r.queue[:t.entryCount]
	r.queue = slices.Clone(r.queue[t.entryCount:])
	for _, q := range written {
		delete(r.formerEntries, [2]uint64{q.incarnation, q.sequence})
		for _, f := range q.onRecorded {
			f(true)
		}
	}
}

// flushGathered makes an entry of acts that were gathered.
func (r *Recorder) flushGathered(g *audit.Aggregator, since *time.Duration, verb string, outcome pb.AuditOutcome) {
	if g.Len() == 0 {
		return
	}
	x := r.newEntry(Event{Verb: verb})
	x.Outcome, x.Items = outcome, g.Drain(min(gatheredEntryBytes, r.Env.MaxValueBytes/4))
	*since = r.Env.Now
	r.queue = append(
		r.queue,
		queuedEntry{incarnation: r.incarnation, sequence: x.Count, encoded: audit.Encode(x), queuedAt: r.Env.Now},
	)
}

// nextBlock writes the next block.
func (r *Recorder) nextBlock() *wire.Txn {
	h := r.heads[r.cfg.Node]
	var raws [][]byte
	for _, q := range r.queue {
		raws = append(raws, q.encoded)
	}
	raw, n, code, err := r.cfg.Key.EncodeNextBlock(h, r.cfg.Node, r.cfg.ClockErrorMS, raws, r.Env.MaxValueBytes*15/16)
	if err != nil {
		r.cfg.LogError("the audit record can't go on", "err", err.Error())
		r.nextBlockAt = r.Env.Now + 10*time.Second
		return nil
	}
	lives := h
	for _, q := range r.queue[:n] {
		if q.incarnation != r.incarnation {
			lives = &audit.Head{Incarnations: lives.WithRecorded(q.incarnation, q.sequence)}
		}
	}
	// All that former lives have left was read at the start. What they did is not executed later than some minutes.
	if r.Env.Now-r.cfg.StartedAt >= r.cfg.LateTxnWindow &&
		!slices.ContainsFunc(r.queue[n:], func(q queuedEntry) bool { return q.incarnation != r.incarnation }) {
		lives = &audit.Head{Incarnations: lives.Incarnations[len(lives.Incarnations)-1:]}
	}
	open := slices.Sorted(maps.Keys(r.inFlight))
	for _, q := range r.queue[n:] {
		if q.incarnation == r.incarnation {
			open = append(open, q.sequence)
		}
	}
	slices.Sort(open)
	next := &audit.Head{BlockNumber: h.BlockNumber + 1, MAC: code, Incarnations: slices.Clone(lives.Incarnations)}
	next.Incarnations[len(next.Incarnations)-1] = audit.Incarnation{
		Number:           r.incarnation,
		NextSequence:     r.lastSequence + 1,
		PendingSequences: open,
	}
	return r.blockTxn(raw, next, wire.Txn{}, blockAttempt{blockNumber: next.BlockNumber, mac: code, entryCount: n})
}

// beginIncarnation writes the first block of a life: that the controller started, and which settings differ.
func (r *Recorder) beginIncarnation() *wire.Txn {
	h := cmp.Or(r.heads[r.cfg.Node], &audit.Head{})
	r.incarnation, r.lastSequence = h.BlockNumber+1, 0
	var t wire.Txn
	if r.initializedRevision == 0 {
		t.Compare = append(t.Compare, wire.Compare{Key: KeyInitialized})
		t.Then = append(t.Then, wire.Write{Put: KeyInitialized, Value: json.RawMessage("1")})
	}
	changed := diffSettings(r.storedSettings, r.cfg.Settings)
	if len(changed) > 0 || r.settingsRevision == 0 {
		if raw, err := json.Marshal(r.cfg.Settings); err == nil && len(raw) <= r.Env.MaxValueBytes {
			t.Compare = append(
				t.Compare,
				wire.Compare{Key: settingsPrefix + r.cfg.Node, Revision: r.settingsRevision},
			)
			t.Then = append(t.Then, wire.Write{Put: settingsPrefix + r.cfg.Node, Value: raw})
		}
	}
	why := "settings as before"
	switch {
	case r.settingsRevision == 0:
		why = "first start"
	case len(changed) > 0:
		why = "settings differ: " + strings.Join(changed, ", ")
	}
	e := r.newEntry(Event{Verb: VerbStart, Object: r.cfg.Node, Reason: why})
	raw, _, code, err := r.cfg.Key.EncodeNextBlock(
		h,
		r.cfg.Node,
		r.cfg.ClockErrorMS,
		[][]byte{audit.Encode(e)},
		r.Env.MaxValueBytes,
	)
	if err != nil {
		r.cfg.LogError("the audit record can't begin", "err", err.Error())
		r.nextBlockAt = r.Env.Now + 10*time.Second
		return nil
	}
	next := &audit.Head{
		BlockNumber:  h.BlockNumber + 1,
		MAC:          code,
		Incarnations: h.WithIncarnation(audit.Incarnation{Number: r.incarnation, NextSequence: r.lastSequence + 1}),
	}
	return r.blockTxn(raw, next, t, blockAttempt{blockNumber: next.BlockNumber, mac: code, startsIncarnation: true})
}

// diffSettings lists the settings that are others than they were.
func diffSettings(was, is map[string]string) (list []string) {
	if was == nil {
		return nil
	}
	for _, k := range slices.Sorted(maps.Keys(is)) {
		if was[k] != is[k] {
			list = append(list, fmt.Sprintf("%s %s, was %s", k, cmp.Or(is[k], "unset"), cmp.Or(was[k], "unset")))
		}
	}
	for _, k := range slices.Sorted(maps.Keys(was)) {
		if _, ok := is[k]; !ok {
			list = append(list, fmt.Sprintf("%s unset, was %s", k, was[k]))
		}
	}
	return list
}

// blockTxn is the transaction that writes a block and the head that ends with it.
func (r *Recorder) blockTxn(raw json.RawMessage, next *audit.Head, t wire.Txn, x blockAttempt) *wire.Txn {
	head, err := json.Marshal(next)
	if err != nil {
		panic(err) // bytes and numbers
	}
	key := audit.BlockKey(r.cfg.Node, next.BlockNumber)
	t.Compare = append(
		t.Compare,
		wire.Compare{Key: HeadPrefix + r.cfg.Node, Revision: r.headRevisions[r.cfg.Node]},
		wire.Compare{Key: key},
	)
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw}, wire.Write{Put: HeadPrefix + r.cfg.Node, Value: head})
	r.blockAttempts = append(r.blockAttempts, x)
	r.nextHead = next
	r.blockInFlight = true
	return &t
}

// HandleBlockOutcome takes the outcome of the transaction that Step gave. It reports whether what
// is there must be read first; then Settled is to be called.
func (r *Recorder) HandleBlockOutcome(status wire.Status, revision uint64) (mustRead bool) {
	switch status {
	case wire.StatusOK:
		r.blockInFlight = false
		r.applyHead(r.cfg.Node, r.nextHead, revision)
		return false
	case wire.StatusTooManyRequests, wire.StatusUnavailable:
		r.blockInFlight = false
	}
	r.nextBlockAt = r.Env.Now + 300*time.Millisecond
	return status != wire.StatusTooManyRequests && status != wire.StatusUnavailable
}

// ClearBusy tells that what is there was read.
func (r *Recorder) ClearBusy() { r.blockInFlight = false }

// RecordRefusal gathers an act that was refused.
func (r *Recorder) RecordRefusal(it audit.GatheredEvent, n uint32) {
	if r.cfg.Key == nil {
		return
	}
	if r.refusals.Len() == 0 {
		r.refusalsSince = r.Env.Now
	}
	r.refusals.Add(it, n)
}

// RecordRead records that somebody reads what only some may, and then calls f; with false if it can't be recorded now.
// Of somebody who reads page after page, later ones are counted.
func (r *Recorder) RecordRead(who, verb, object string, f func(ok bool)) {
	if !r.Env.Enabled {
		f(true)
		return
	}
	if r.reads.Len() == 0 {
		r.readsSince = r.Env.Now
	}
	r.reads.Add(audit.GatheredEvent{Identity: who, Verb: verb, Object: object}, 1)
	reader := who + " " + verb
	if r.recordedUntil[reader] > r.Env.Now {
		f(true)
		return
	}
	r.readWaiters = append(r.readWaiters, func(ok bool) {
		if ok {
			r.recordedUntil[reader] = r.lastBlockAt + readerDedupWindow
		}
		f(ok)
	})
}
