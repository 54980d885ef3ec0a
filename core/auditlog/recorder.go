// Package auditlog writes a controller's chain of the audit log. It decides which stored value carries an entry
// until the entry is in a block, and when a block is written. It owns the controller's pending entries and its
// replica of the audit keys. It does no I/O: it returns transactions, and the caller reports their outcomes and the
// watched changes of the store.
//
// An entry is committed in the same transaction as the change it records, as in the transactional outbox pattern.
// Usually it needs no write of its own, because the changed value carries it; where no value can, the transaction
// also writes an outbox key. The controller that committed an entry writes it into the next block of its chain,
// exactly once. One transaction writes a block and the head of the chain, which shows every controller what is in
// blocks, and compares the previous head. The next write of a value drops the entries that are in blocks.
//
// An entry is identified by the incarnation of its process and a sequence number. The head shows whether an entry
// of a former incarnation is in a block. So a controller that restarts, which reads all keys anyway, finds the
// pending entries of its former incarnations, and neither loses an entry nor writes it twice. The outcome of a
// transaction without a response is known once its key changes: it was executed if the key then carries its entry.
// If it is executed late, the watch shows its entry.
package auditlog

import (
	"time"

	"dewlift/audit"
)

const (
	// Prefix is the prefix of the audit keys that every controller watches.
	Prefix = "dl/audit/"

	// KeyInitialized exists once any controller audits: a controller that does not audit must not act then.
	KeyInitialized = Prefix + "begun"

	// HeadPrefix is the prefix of the keys of the chain heads, one for each controller. Keys are read in their
	// order, and these sort before all keys that carry entries.
	HeadPrefix = Prefix + "head/"

	outboxPrefix   = Prefix + "of/"       // entries of changes to values that can't carry them
	settingsPrefix = Prefix + "settings/" // settings of each controller as of its last start
)

// Config is the fixed configuration of a recorder.
type Config struct {
	Key                 audit.Key // nil: nothing is recorded, but the heads of other controllers are watched
	Node                string
	AggregationInterval time.Duration // how long denials and reads are counted before an entry records them
	BlockDelay          time.Duration // how long other entries wait for more to share their block
	LateTxnWindow       time.Duration // how long after a start a former incarnation's transaction may run
	ClockErrorMS        uint32        // bound of the wall clock's error
	Settings            map[string]string
	StartedAt           time.Duration
	LogError            func(text string, args ...any)
}

// Env is the environment of a call to a Recorder. The caller sets it before every call.
type Env struct {
	Now           time.Duration // monotonic
	UnixMS        int64         // wall clock
	Enabled       bool          // there is a key, and every controller's version supports the audit log
	MaxValueBytes int           // limit of the store
}

// Recorder records a controller's events in the audit log.
type Recorder struct {
	Env Env
	cfg Config

	initializedRevision uint64 // of KeyInitialized
	heads               map[string]*audit.Head
	headRevisions       map[string]uint64
	outboxes            map[string]outbox
	storedSettings      map[string]string // as of the last start
	settingsRevision    uint64

	incarnation, lastSequence uint64 // of this process
	started                   bool   // the first block of this incarnation is written
	inFlight                  map[uint64]*inFlightEntry
	unknownOutcome            map[string][]uint64 // sequence numbers by carrying key
	formerEntries             map[[2]uint64]bool  // entries of former incarnations that are in the queue
	queue                     []queuedEntry       // to be written to blocks
	blockInFlight             bool
	blockAttempts             []blockAttempt // attempts to write the next block
	nextHead                  *audit.Head    // of the last attempt
	nextBlockAt               time.Duration  // no attempt is made before
	lastBlockAt               time.Duration

	denials, reads           audit.Aggregator
	denialsSince, readsSince time.Duration // when counting of the current events began
	readWaiters              []func(ok bool)
	recordedUntil            map[string]time.Duration // by reader: until then, further reads need not wait for an entry
}

// Event is what an entry records. If there is no identity, the service itself acted.
type Event struct{ Identity, Key, Verb, Object, Reason string }

const (
	maxAggregatedBytes = 16 << 10    // bound of the aggregated events that are counted separately
	readerDedupWindow  = time.Minute // after a recorded read: further reads of the same reader are only counted
)

// Verbs of events that a controller causes by itself.
const (
	VerbTakeOver = "take"    // of shards or the leadership
	VerbStart    = "start"   // of a controller
	VerbStop     = "stop"    // of tasks
	VerbRestore  = "restore" // of a snapshot
	VerbForged   = "forged"  // of an entry that was altered before it was in a block
)

// New returns a recorder that has not recorded anything.
func New(cfg Config) *Recorder {
	return &Recorder{
		cfg:            cfg,
		heads:          map[string]*audit.Head{},
		headRevisions:  map[string]uint64{},
		outboxes:       map[string]outbox{},
		inFlight:       map[uint64]*inFlightEntry{},
		unknownOutcome: map[string][]uint64{},
		formerEntries:  map[[2]uint64]bool{},
		recordedUntil:  map[string]time.Duration{},
		denials:        audit.Aggregator{MaxBytes: maxAggregatedBytes},
		reads:          audit.Aggregator{MaxBytes: maxAggregatedBytes},
	}
}

// IsInitialized reports whether any controller has ever audited.
func (r *Recorder) IsInitialized() bool { return r.initializedRevision != 0 }

// IsStarted reports whether the first block of this incarnation is written.
func (r *Recorder) IsStarted() bool { return r.started }

// Heads returns the heads of all chains by controller. The caller must not modify them.
func (r *Recorder) Heads() map[string]*audit.Head { return r.heads }

// RecordDenial counts denials of the same kind, which are recorded together later.
func (r *Recorder) RecordDenial(event audit.AggregatedEvent, count uint32) {
	if r.cfg.Key == nil {
		return
	}
	if r.denials.Len() == 0 {
		r.denialsSince = r.Env.Now
	}
	r.denials.Add(event, count)
}

// RecordRead records a read that needs a permission. It calls f with true once the read is recorded, or at once if
// auditing is not enabled, and with false if the read can't be recorded now. Within readerDedupWindow after a recorded
// read, further reads of the same reader are only counted, and f is called at once: so reading page after page does not
// wait for a block each time.
func (r *Recorder) RecordRead(identity, verb, object string, f func(ok bool)) {
	if !r.Env.Enabled {
		f(true)
		return
	}
	if r.reads.Len() == 0 {
		r.readsSince = r.Env.Now
	}
	r.reads.Add(audit.AggregatedEvent{Identity: identity, Verb: verb, Object: object}, 1)
	reader := identity + " " + verb
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

// RejectReadWaiters rejects all reads that wait to be recorded. The caller uses it when nothing can be written.
func (r *Recorder) RejectReadWaiters() {
	for len(r.readWaiters) > 0 {
		reject := r.readWaiters[0]
		r.readWaiters = r.readWaiters[1:]
		reject(false)
	}
}
