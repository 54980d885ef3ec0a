// Package auditlog writes a controller's part of the audit log. It decides which stored value carries
// an entry until the entry is in a block, and when a block is written. It owns the controller's
// pending entries and its replica of the audit keys. It does no I/O: it returns transactions, and the
// caller reports their outcomes and the watched changes of the store.
//
// An entry is committed in the same transaction as the change it records, without an additional write:
// the job's record carries it or, where no value can, a carrier key beside the change. The controller
// that committed it writes it into the next block of its chain, exactly once. A block and the head of
// the chain, which shows every controller what is in blocks, are one transaction that compares the
// previous head. The next write of a value drops the entries that are in blocks.
//
// An entry is identified by the incarnation of its process and a sequence number. The head shows
// whether an entry of a former incarnation is in a block. So a controller that restarts, and reads all
// keys anyway, finds the pending entries of its former incarnations, and neither loses an entry nor
// writes it twice. A transaction with unknown outcome is resolved by the entries its key carries once
// the key changes; if it is executed late, the watch shows its entry.
package auditlog

import (
	"time"

	"dewlift/audit"
)

const (
	// Prefix begins the keys that every controller watches.
	Prefix = "dl/audit/"

	// KeyInitialized exists once any controller audits: one that does not audit must not act then.
	KeyInitialized = Prefix + "begun"

	// HeadPrefix begins the keys of the chain heads, one for each controller. Keys are read in order,
	// and these sort before all keys that carry entries.
	HeadPrefix = Prefix + "head/"

	outboxPrefix   = Prefix + "of/"       // entries of changes to values that can't carry them
	settingsPrefix = Prefix + "settings/" // settings of each controller as of its last start
)

// Config is the fixed configuration of a recorder.
type Config struct {
	Key                 audit.Key // nil: nothing is recorded, but the heads of others are followed
	Node                string
	AggregationInterval time.Duration // how long denials and reads are gathered into one entry
	BlockDelay          time.Duration // how long other entries wait to share a block
	LateTxnWindow       time.Duration // after it, no transaction of a former incarnation is executed any more
	ClockErrorMS        uint32        // bound of the error of the wall clock
	Settings            map[string]string
	StartedAt           time.Duration
	LogError            func(text string, args ...any)
}

// Env is the environment of a call. The caller sets it before every call.
type Env struct {
	Now           time.Duration // monotonic
	UnixMS        int64         // wall clock
	Enabled       bool          // there is a key, and every controller knows the audit log
	MaxValueBytes int           // limit of the store
}

// Recorder is the state of a controller's audit log.
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
	formerEntries             map[[2]uint64]bool  // entries of former incarnations in the queue
	queue                     []queuedEntry       // to be written to blocks
	blockInFlight             bool
	blockAttempts             []blockAttempt // of the next block
	nextHead                  *audit.Head    // of the last attempt
	nextBlockAt               time.Duration  // no attempt before
	lastBlockAt               time.Duration

	denials, reads           audit.Aggregator
	denialsSince, readsSince time.Duration // start of gathering
	readWaiters              []func(ok bool)
	recordedUntil            map[string]time.Duration // by reader: further reads need no entry until then
}

// Event is what an entry records. Without an identity, the service itself acted.
type Event struct{ Identity, Key, Verb, Object, Reason string }

const (
	maxAggregatedBytes = 16 << 10    // bound of gathered events that are told apart, in bytes
	readerDedupWindow  = time.Minute // after a recorded read, further reads of the same reader are only counted
)

// Verbs of events that controllers cause.
const (
	VerbTakeOver = "take"    // of shards or the leadership
	VerbStart    = "start"   // of a controller
	VerbStop     = "stop"    // of tasks
	VerbRestore  = "restore" // of a snapshot
	VerbForged   = "forged"  // an entry that was altered before it was in a block
)

// New returns a recorder that has recorded nothing.
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

// IsInitialized reports whether any controller audits.
func (r *Recorder) IsInitialized() bool { return r.initializedRevision != 0 }

// IsStarted reports whether the first block of this incarnation is written.
func (r *Recorder) IsStarted() bool { return r.started }

// Heads returns the heads of all chains by controller. The caller must not modify them.
func (r *Recorder) Heads() map[string]*audit.Head { return r.heads }

// RecordDenial gathers count denials of the same event.
func (r *Recorder) RecordDenial(event audit.AggregatedEvent, count uint32) {
	if r.cfg.Key == nil {
		return
	}
	if r.denials.Len() == 0 {
		r.denialsSince = r.Env.Now
	}
	r.denials.Add(event, count)
}

// RecordRead records a read that needs a permission and calls f once it is recorded, or with false if it
// can't be recorded now. Of a reader who reads page after page, later reads are only counted, and f is
// called at once.
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

// RejectReadWaiters rejects all reads that wait to be recorded: nothing can be written now.
func (r *Recorder) RejectReadWaiters() {
	for len(r.readWaiters) > 0 {
		reject := r.readWaiters[0]
		r.readWaiters = r.readWaiters[1:]
		reject(false)
	}
}
