// Package recorder writes a controller's part of the audit record. It decides what is carried by which value, and when a
// block is written; it does no I/O: transactions go out, their outcomes and the changes of the state service come in.
//
// An entry is written with the change it tells of, at no change more: the job's record carries it, or
// where no value could, a carrier beside it. The controller that wrote it gathers its entries and puts them into the next
// block of its chain, once each; the block and the head, which tells all controllers what is in blocks, are one
// transaction on condition of the head before. Whoever writes a value next drops from it what is in blocks.
//
// An entry is named by the life of its process and a count. Whether a former life's entry is in a block is told by the
// head: so a controller that starts again, reading all keys anyway, finds what its former life has left, and neither
// forgets an entry nor puts it twice. A transaction whose outcome is not known is settled by what its key carries once
// that changes; one executed late carries its entry, and is found by the stream of changes.
package recorder

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
	// Prefix begins the keys that every controller follows.
	Prefix      = "dl/audit/"
	KeyBegun    = Prefix + "begun"     // exists once something is recorded: who records nothing must not act
	KeyHead     = Prefix + "head/"     // by controller; read ahead of all that carries entries, as keys are in order
	keyCarrier  = Prefix + "of/"       // entries of changes to values that can't carry them
	keySettings = Prefix + "settings/" // by controller, as of its last start
)

// Config is what a recorder needs to know at its start.
type Config struct {
	Key      audit.Key // nil: nothing is recorded, but others' records are followed
	Node     string
	Gather   time.Duration // how long refusals and reads are gathered
	Block    time.Duration // how long other entries wait to share a block
	Forget   time.Duration // after which nothing of a former life is executed any more
	BoundMS  uint32        // how far the time of day may be off
	Settings map[string]string
	Started  time.Duration
	Note     func(level, text string, args ...any) // for the log
}

// Env is what a recorder must know of the moment; whoever calls it sets it before.
type Env struct {
	Now        time.Duration
	UnixMS     int64
	On         bool // it records: there is a key, and every controller knows the record
	ValueBytes int
}

// Recorder is the state of a controller's recording.
type Recorder struct {
	Env Env
	cfg Config

	begun    uint64 // mark of KeyBegun
	heads    map[string]*audit.Head
	marks    map[string]uint64 // of the heads
	carriers map[string]carrier
	settings map[string]string // as of the last start
	setMark  uint64

	life, count uint64 // of this process
	ready       bool   // its life has begun
	sent        map[uint64]*sentEntry
	unsure      map[string][]uint64 // by carrying key: those whose outcome is not known
	former      map[[2]uint64]bool  // entries of former lives in the queue
	queue       []queued            // to be put into blocks
	busy        bool
	tries       []try       // at the next block
	next        *audit.Head // of the one that was sent last
	nextAt      time.Duration
	lastAt      time.Duration

	refused, reads     audit.Gather
	refusedAt, readsAt time.Duration // since when they gather
	waiters            []func(ok bool)
	readers            map[string]time.Duration // whose reading was recorded of late
}

// carrier is a key that does nothing but carry entries.
type carrier struct {
	mark uint64
	list []audit.Carried
}

type carrierValue struct {
	Carried []audit.Carried `json:"e"`
}

// sentEntry is an entry of a transaction on its way.
type sentEntry struct {
	raw  []byte
	key  string // that carries it
	mark uint64 // of the key, on condition of which it is written
}

// queued is an entry that waits for a block.
type queued struct {
	life, count uint64
	raw         []byte
	since       time.Duration
	done        []func(ok bool)
}

// try is a block that was sent; whether it was written is told by the head.
type try struct {
	number uint64
	code   []byte
	n      int // entries of the queue in it
	begins bool
}

// Act is what an entry tells of; without who, the service itself did it.
type Act struct{ Who, Key, Verb, Object, Why string }

const (
	blockFull  = 48          // entries that are put into a block without waiting
	blockGap   = time.Second // between blocks, however many wait
	gatherTake = 2000        // bytes of acts that are gathered in an entry
	gatherMost = 16 << 10    // bytes of acts that are told apart
	readerTime = time.Minute // for which a reader's pages are counted after the first was recorded
	textBytes  = 600         // of what was changed
)

// Verbs of what controllers do.
const (
	Take    = "take"    // shards or the leadership
	Start   = "start"   // a controller
	Stop    = "stop"    // tasks
	Restore = "restore" // a snapshot
	Forged  = "forged"  // an entry that was altered before it was in a block
)

// New is a recorder that has recorded nothing.
func New(cfg Config) *Recorder {
	return &Recorder{cfg: cfg, heads: map[string]*audit.Head{}, marks: map[string]uint64{}, carriers: map[string]carrier{}, sent: map[uint64]*sentEntry{},
		unsure: map[string][]uint64{}, former: map[[2]uint64]bool{}, readers: map[string]time.Duration{},
		refused: audit.Gather{Most: gatherMost}, reads: audit.Gather{Most: gatherMost}}
}

// Begun reports whether any controller records.
func (r *Recorder) Begun() bool { return r.begun != 0 }

// Ready reports whether this life has begun.
func (r *Recorder) Ready() bool { return r.ready }

// Heads are the ends of all chains, by controller.
func (r *Recorder) Heads() map[string]*audit.Head { return r.heads }

// GiveUp refuses those who wait to be recorded: nothing can be written now.
func (r *Recorder) GiveUp() {
	for len(r.waiters) > 0 {
		f := r.waiters[0]
		r.waiters = r.waiters[1:]
		f(false)
	}
}

// Busy reports whether no block can be written now.
func (r *Recorder) Busy() bool { return r.busy || r.Env.Now < r.nextAt }

// Step gives the transaction with the next block, if one is due. Its outcome goes to Written.
func (r *Recorder) Step() *wire.Txn {
	if !r.ready {
		return r.beginLife()
	}
	now := r.Env.Now
	due := len(r.queue) >= blockFull || len(r.queue) > 0 && now-r.queue[0].since >= r.cfg.Block || len(r.waiters) > 0 || len(r.former) > 0 ||
		slices.ContainsFunc(r.queue, func(q queued) bool { return len(q.done) > 0 })
	for _, g := range []struct {
		g     *audit.Gather
		since time.Duration
	}{{&r.refused, r.refusedAt}, {&r.reads, r.readsAt}} {
		due = due || g.g.Len() > 0 && now-g.since >= r.cfg.Gather
	}
	if !due || now-r.lastAt < blockGap {
		return nil
	}
	r.gathered(&r.refused, &r.refusedAt, "refused", pb.AuditOutcome_refused)
	r.gathered(&r.reads, &r.readsAt, "read", pb.AuditOutcome_done)
	if r.reads.Len() == 0 && len(r.waiters) > 0 { // what they wait for is the last of the queue
		q := &r.queue[len(r.queue)-1]
		q.done = append(q.done, r.waiters...)
		r.waiters = nil
	}
	return r.extendChain()
}

// entry makes an act an entry of this life.
func (r *Recorder) entry(x Act) *pb.AuditEntry {
	r.count++
	why := x.Why
	if len(why) > textBytes {
		why = strings.ToValidUTF8(why[:textBytes], "") + "..."
	}
	return &pb.AuditEntry{Life: r.life, Count: r.count, AtMs: r.Env.UnixMS, Who: audit.Clip(x.Who), Key: audit.Clip(x.Key),
		Verb: x.Verb, Object: audit.Clip(x.Object), Why: strings.ToValidUTF8(why, "?")}
}

// Carry returns what a value carries when it is written on condition of its key's mark: what it did and is not in a
// block, and the entries of the acts, which are named by ids.
func (r *Recorder) Carry(key string, mark uint64, old []audit.Carried, acts []Act) (list []audit.Carried, ids []uint64) {
	for _, x := range old {
		if !r.InBlock(&x) {
			list = append(list, x)
		}
	}
	if !r.Env.On {
		return list, nil
	}
	for _, x := range acts {
		e := r.entry(x)
		carried := r.cfg.Key.Carry(r.cfg.Node, key, e)
		list = append(list, carried)
		ids = append(ids, e.Count)
		r.sent[e.Count] = &sentEntry{raw: carried.Entry, key: key, mark: mark}
	}
	return list, ids
}

// CarryBeside adds a carrier with the entry of an act to a transaction.
func (r *Recorder) CarryBeside(t *wire.Txn, name string, x Act) (ids []uint64) {
	key := keyCarrier + name
	old := r.carriers[key]
	list, ids := r.Carry(key, old.mark, old.list, []Act{x})
	raw, err := json.Marshal(carrierValue{list})
	if err != nil {
		panic(err) // bytes and numbers
	}
	t.Compare = append(t.Compare, wire.Compare{Key: key, Revision: old.mark})
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
	return ids
}

// InBlock reports whether a carried entry need not be carried any more.
func (r *Recorder) InBlock(x *audit.Carried) bool {
	h := r.heads[x.Node]
	return h != nil && h.Has(x.Life, x.Count)
}

// AllInBlocks reports whether none of them need be.
func (r *Recorder) AllInBlocks(list []audit.Carried) bool {
	return !slices.ContainsFunc(list, func(x audit.Carried) bool { return !r.InBlock(&x) })
}

// Outcome takes the outcome of a transaction with entries.
func (r *Recorder) Outcome(ids []uint64, status int) {
	switch status {
	case 409, 429, 503, 400: // not executed
		r.Unsent(ids)
		return
	}
	for _, id := range ids {
		s := r.sent[id]
		switch {
		case s == nil:
		case status == 200:
			r.confirm(id)
		default:
			r.unsure[s.key] = append(r.unsure[s.key], id)
		}
	}
}

// Unsent forgets entries of a transaction that was not sent, or not executed.
func (r *Recorder) Unsent(ids []uint64) {
	for _, id := range ids {
		delete(r.sent, id)
	}
}

// confirm has an entry put into a block: its change was made.
func (r *Recorder) confirm(id uint64) {
	if s := r.sent[id]; s != nil {
		delete(r.sent, id)
		r.queue = append(r.queue, queued{life: r.life, count: id, raw: s.raw, since: r.Env.Now})
	}
}

// Saw takes what a key carries as of a mark. Entries of this controller that are in no block are queued;
// those whose outcome was not known and that are not there were not written and never will be.
func (r *Recorder) Saw(key string, mark uint64, list []audit.Carried) {
	if r.cfg.Key == nil {
		return
	}
	for i := range list {
		x := &list[i]
		id := [2]uint64{x.Life, x.Count}
		switch {
		case x.Node != r.cfg.Node:
		case x.Life == r.life:
			r.confirm(x.Count)
		case r.InBlock(x) || r.former[id]:
		default:
			raw := x.Entry
			if _, err := r.cfg.Key.Open(key, x); err != nil {
				r.cfg.Note("error", "an entry of the audit record was altered", "key", key, "life", x.Life, "count", x.Count)
				raw = audit.Encode(&pb.AuditEntry{Life: x.Life, Count: x.Count, AtMs: r.Env.UnixMS, Verb: Forged, Object: audit.Clip(key), Outcome: pb.AuditOutcome_refused, Why: err.Error()})
			}
			r.former[id] = true
			r.queue = append(r.queue, queued{life: x.Life, count: x.Count, raw: raw, since: r.Env.Now})
		}
	}
	r.NotCarried(key, mark)
}

// NotCarried settles the entries that a key would carry now if they had been written.
func (r *Recorder) NotCarried(key string, mark uint64) {
	if len(r.unsure[key]) == 0 {
		return
	}
	r.unsure[key] = slices.DeleteFunc(r.unsure[key], func(id uint64) bool {
		s := r.sent[id]
		if s != nil && mark <= s.mark {
			return false
		}
		delete(r.sent, id)
		return true
	})
	if len(r.unsure[key]) == 0 {
		delete(r.unsure, key)
	}
}

// Put takes a key of the record.
func (r *Recorder) Put(key string, raw json.RawMessage, mark uint64) error {
	switch {
	case key == KeyBegun:
		r.begun = max(r.begun, mark)
	case strings.HasPrefix(key, KeyHead):
		h := &audit.Head{}
		if err := json.Unmarshal(raw, h); err != nil {
			return err
		}
		r.putHead(strings.TrimPrefix(key, KeyHead), h, mark)
	case strings.HasPrefix(key, keyCarrier):
		var v carrierValue
		if err := json.Unmarshal(raw, &v); err != nil {
			return err
		}
		r.Saw(key, mark, v.Carried)
		if mark > r.carriers[key].mark {
			r.carriers[key] = carrier{mark, v.Carried}
		}
	case key == keySettings+r.cfg.Node:
		if mark > r.setMark {
			r.settings, r.setMark = nil, mark
			return json.Unmarshal(raw, &r.settings)
		}
	}
	return nil
}

// putHead takes a head. Its own tells a controller which of its blocks was written.
func (r *Recorder) putHead(node string, h *audit.Head, mark uint64) {
	if mark <= r.marks[node] {
		return
	}
	r.heads[node], r.marks[node] = h, mark
	if node != r.cfg.Node || r.cfg.Key == nil {
		return
	}
	i := slices.IndexFunc(r.tries, func(t try) bool { return t.number == h.Number && string(t.code) == string(h.Code) })
	if i < 0 {
		if r.ready {
			r.cfg.Note("error", "the chain of the audit record was continued by another process, or set back", "block", h.Number)
		}
		// What this life has sent shows with the changes, as a former life's.
		r.ready, r.life, r.tries = false, 0, nil
		clear(r.sent)
		clear(r.unsure)
		// The last block of a former life may be written after its entries were read here.
		r.queue = slices.DeleteFunc(r.queue, func(q queued) bool {
			if !h.Has(q.life, q.count) {
				return false
			}
			delete(r.former, [2]uint64{q.life, q.count})
			return true
		})
		return
	}
	t := r.tries[i]
	r.tries, r.lastAt = nil, r.Env.Now
	r.ready = r.ready || t.begins
	written := r.queue[:t.n]
	r.queue = slices.Clone(r.queue[t.n:])
	for _, q := range written {
		delete(r.former, [2]uint64{q.life, q.count})
		for _, f := range q.done {
			f(true)
		}
	}
}

// gathered makes an entry of acts that were gathered.
func (r *Recorder) gathered(g *audit.Gather, since *time.Duration, verb string, outcome pb.AuditOutcome) {
	if g.Len() == 0 {
		return
	}
	x := r.entry(Act{Verb: verb})
	x.Outcome, x.Items = outcome, g.Take(min(gatherTake, r.Env.ValueBytes/4))
	*since = r.Env.Now
	r.queue = append(r.queue, queued{life: r.life, count: x.Count, raw: audit.Encode(x), since: r.Env.Now})
}

// extendChain writes the next block.
func (r *Recorder) extendChain() *wire.Txn {
	h := r.heads[r.cfg.Node]
	var raws [][]byte
	for _, q := range r.queue {
		raws = append(raws, q.raw)
	}
	raw, n, code, err := r.cfg.Key.Extend(h, r.cfg.Node, r.cfg.BoundMS, raws, r.Env.ValueBytes*15/16)
	if err != nil {
		r.cfg.Note("error", "the audit record can't go on", "err", err.Error())
		r.nextAt = r.Env.Now + 10*time.Second
		return nil
	}
	lives := h
	for _, q := range r.queue[:n] {
		if q.life != r.life {
			lives = &audit.Head{Lives: lives.With(q.life, q.count)}
		}
	}
	// All that former lives have left was read at the start. What they did is not executed later than some minutes.
	if r.Env.Now-r.cfg.Started >= r.cfg.Forget && !slices.ContainsFunc(r.queue[n:], func(q queued) bool { return q.life != r.life }) {
		lives = &audit.Head{Lives: lives.Lives[len(lives.Lives)-1:]}
	}
	open := slices.Sorted(maps.Keys(r.sent))
	for _, q := range r.queue[n:] {
		if q.life == r.life {
			open = append(open, q.count)
		}
	}
	slices.Sort(open)
	next := &audit.Head{Number: h.Number + 1, Code: code, Lives: slices.Clone(lives.Lives)}
	next.Lives[len(next.Lives)-1] = audit.Life{Life: r.life, Next: r.count + 1, Open: open}
	return r.block(raw, next, wire.Txn{}, try{number: next.Number, code: code, n: n})
}

// beginLife writes the first block of a life: that the controller started, and which settings differ.
func (r *Recorder) beginLife() *wire.Txn {
	h := cmp.Or(r.heads[r.cfg.Node], &audit.Head{})
	r.life, r.count = h.Number+1, 0
	var t wire.Txn
	if r.begun == 0 {
		t.Compare = append(t.Compare, wire.Compare{Key: KeyBegun})
		t.Then = append(t.Then, wire.Write{Put: KeyBegun, Value: json.RawMessage("1")})
	}
	changed := differ(r.settings, r.cfg.Settings)
	if len(changed) > 0 || r.setMark == 0 {
		if raw, err := json.Marshal(r.cfg.Settings); err == nil && len(raw) <= r.Env.ValueBytes {
			t.Compare = append(t.Compare, wire.Compare{Key: keySettings + r.cfg.Node, Revision: r.setMark})
			t.Then = append(t.Then, wire.Write{Put: keySettings + r.cfg.Node, Value: raw})
		}
	}
	why := "settings as before"
	switch {
	case r.setMark == 0:
		why = "first start"
	case len(changed) > 0:
		why = "settings differ: " + strings.Join(changed, ", ")
	}
	e := r.entry(Act{Verb: Start, Object: r.cfg.Node, Why: why})
	raw, _, code, err := r.cfg.Key.Extend(h, r.cfg.Node, r.cfg.BoundMS, [][]byte{audit.Encode(e)}, r.Env.ValueBytes)
	if err != nil {
		r.cfg.Note("error", "the audit record can't begin", "err", err.Error())
		r.nextAt = r.Env.Now + 10*time.Second
		return nil
	}
	next := &audit.Head{Number: h.Number + 1, Code: code, Lives: h.Begin(audit.Life{Life: r.life, Next: r.count + 1})}
	return r.block(raw, next, t, try{number: next.Number, code: code, begins: true})
}

// differ lists the settings that are others than they were.
func differ(was, is map[string]string) (list []string) {
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

// block is the transaction that writes a block and the head that ends with it.
func (r *Recorder) block(raw json.RawMessage, next *audit.Head, t wire.Txn, x try) *wire.Txn {
	head, err := json.Marshal(next)
	if err != nil {
		panic(err) // bytes and numbers
	}
	key := audit.BlockKey(r.cfg.Node, next.Number)
	t.Compare = append(t.Compare, wire.Compare{Key: KeyHead + r.cfg.Node, Revision: r.marks[r.cfg.Node]}, wire.Compare{Key: key})
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw}, wire.Write{Put: KeyHead + r.cfg.Node, Value: head})
	r.tries = append(r.tries, x)
	r.next = next
	r.busy = true
	return &t
}

// Written takes the outcome of the transaction that Step gave. It reports whether what is there must be read first;
// then Settled is to be called.
func (r *Recorder) Written(status int, mark uint64) (look bool) {
	switch status {
	case 200:
		r.busy = false
		r.putHead(r.cfg.Node, r.next, mark)
		return false
	case 429, 503:
		r.busy = false
	}
	r.nextAt = r.Env.Now + 300*time.Millisecond
	return status != 429 && status != 503
}

// Settled tells that what is there was read.
func (r *Recorder) Settled() { r.busy = false }

// Refused gathers an act that was refused.
func (r *Recorder) Refused(it audit.Item, n uint32) {
	if r.cfg.Key == nil {
		return
	}
	if r.refused.Len() == 0 {
		r.refusedAt = r.Env.Now
	}
	r.refused.Add(it, n)
}

// Read records that somebody reads what only some may, and then calls f; with false if it can't be recorded now.
// Of somebody who reads page after page, later ones are counted.
func (r *Recorder) Read(who, verb, object string, f func(ok bool)) {
	if !r.Env.On {
		f(true)
		return
	}
	if r.reads.Len() == 0 {
		r.readsAt = r.Env.Now
	}
	r.reads.Add(audit.Item{Who: who, Verb: verb, Object: object}, 1)
	reader := who + " " + verb
	if r.readers[reader] > r.Env.Now {
		f(true)
		return
	}
	r.waiters = append(r.waiters, func(ok bool) {
		if ok {
			r.readers[reader] = r.lastAt + readerTime
		}
		f(ok)
	})
}
