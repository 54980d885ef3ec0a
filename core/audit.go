package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/core/ledger"
	pb "dewlift/proto"
	"dewlift/wire"
)

// The audit record. An entry is written with the change it tells of, at no change more: the job's record carries it, or
// where no value could, a carrier beside it. The controller that wrote it gathers its entries and puts them into the next
// block of its chain, once each; the block and the head, which tells all controllers what is in blocks, are one
// transaction on condition of the head before. Whoever writes a value next drops from it what is in blocks.
//
// An entry is named by the life of its process and a count. Whether a former life's entry is in a block is told by the
// head: so a controller that starts again, reading all keys anyway, finds what its former life has left, and neither
// forgets an entry nor puts it twice. A transaction whose outcome is not known is settled by what its key carries once
// that changes; one executed late carries its entry, and is found by the stream of changes.
const (
	keyAudit    = Root + "audit/"
	keyBegun    = keyAudit + "begun"     // exists once something is recorded: who records nothing must not act
	keyHead     = keyAudit + "head/"     // by controller; read ahead of all that carries entries, as keys are in order
	keyCarrier  = keyAudit + "of/"       // entries of changes to values that can't carry them
	keySettings = keyAudit + "settings/" // by controller, as of its last start

	// KeyRestored exists where a snapshot was restored and that is not recorded yet.
	KeyRestored = Root + "restored"
)

type auditing struct {
	begun    uint64 // mark of keyBegun
	heads    map[string]*audit.Head
	marks    map[string]uint64 // of the heads
	carriers map[string]carrier
	settings map[string]string // as of the last start
	setMark  uint64
	restored uint64 // mark of KeyRestored
	snapshot string // that was

	life, count uint64 // of this process
	ready       bool   // its life has begun
	sent        map[uint64]*sentEntry
	unsure      map[string][]uint64 // by carrying key: those whose outcome is not known
	former      map[[2]uint64]bool  // entries of former lives in the queue
	queue       []queued            // to be put into blocks
	busy        bool
	tries       []try // at the next block
	nextAt      time.Duration
	lastAt      time.Duration

	refused, reads     audit.Gather
	refusedAt, readsAt time.Duration // since when they gather
	waiters            []func(ok bool)
	readers            map[string]time.Duration // whose reading was recorded of late
	restoring          bool
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

// act is what an entry tells of.
type act struct {
	by                Cred // nobody: the service itself
	verb, object, why string
}

const (
	auditFull   = 48          // entries that are put into a block without waiting
	auditGap    = time.Second // between blocks, however many wait
	auditItems  = 2000        // bytes of acts that are gathered in an entry
	auditFlood  = 16 << 10    // bytes of acts that are told apart
	auditReader = time.Minute // for which a reader's pages are counted after the first was recorded
	auditPage   = 40          // blocks in an answer
	verbTake    = "take"      // shards or the leadership
	verbStart   = "start"     // a controller
	verbStop    = "stop"      // tasks
	verbRestore = "restore"   // a snapshot
	verbForged  = "forged"    // an entry that was altered before it was in a block
	textBytes   = 600         // of what was changed
)

func newAuditing() auditing {
	return auditing{heads: map[string]*audit.Head{}, marks: map[string]uint64{}, carriers: map[string]carrier{}, sent: map[uint64]*sentEntry{},
		unsure: map[string][]uint64{}, former: map[[2]uint64]bool{}, readers: map[string]time.Duration{},
		refused: audit.Gather{Most: auditFlood}, reads: audit.Gather{Most: auditFlood}}
}

// auditing reports whether this controller records.
func (c *Core) auditing() bool { return c.cfg.AuditKey != nil && c.form() >= formAudit }

// unfit reports whether others record and this controller has no key to: it must not act.
func (c *Core) unfit() bool { return c.cfg.AuditKey == nil && c.audit.begun != 0 }

// mute reports whether nothing may be written yet that is to be recorded.
func (c *Core) mute() bool { return c.unfit() || c.auditing() && !c.audit.ready }

// unrecorded are the conditions under which a change needs no entry: a controller that does not record yet must not
// act once another one does.
func (c *Core) unrecorded() []wire.Cond {
	if c.auditing() || c.cfg.AuditKey == nil && !c.guarded() {
		return nil
	}
	return []wire.Cond{{Key: keyBegun}}
}

// entry makes an act an entry of this life.
func (c *Core) entry(x act) *pb.AuditEntry {
	c.audit.count++
	why := x.why
	if len(why) > textBytes {
		why = strings.ToValidUTF8(why[:textBytes], "") + "..."
	}
	return &pb.AuditEntry{Life: c.audit.life, Count: c.audit.count, AtMs: c.unixMS(), Who: audit.Clip(x.by.Who), Key: audit.Clip(x.by.Key),
		Verb: x.verb, Object: audit.Clip(x.object), Why: strings.ToValidUTF8(why, "?")}
}

// carry returns what a value carries when it is written on condition of its key's mark: what it did and is not in a
// block, and the entries of the acts, which are named by ids.
func (c *Core) carry(key string, mark uint64, old []audit.Carried, acts []act) (list []audit.Carried, ids []uint64) {
	for _, x := range old {
		if !c.inBlock(&x) {
			list = append(list, x)
		}
	}
	if !c.auditing() {
		return list, nil
	}
	for _, x := range acts {
		e := c.entry(x)
		carried := c.cfg.AuditKey.Carry(c.cfg.Name, key, e)
		list = append(list, carried)
		ids = append(ids, e.Count)
		c.audit.sent[e.Count] = &sentEntry{raw: carried.Entry, key: key, mark: mark}
	}
	return list, ids
}

// carryBeside adds a carrier with the entry of an act to a transaction, and returns what must be told of its outcome.
func (c *Core) carryBeside(t *wire.Txn, name string, x act) func(status int) {
	if !c.auditing() {
		for _, k := range c.unrecorded() {
			if !slices.Contains(t.If, k) {
				t.If = append(t.If, k)
			}
		}
		return func(int) {}
	}
	key := keyCarrier + name
	old := c.audit.carriers[key]
	list, ids := c.carry(key, old.mark, old.list, []act{x})
	raw, err := json.Marshal(carrierValue{list})
	if err != nil {
		panic(err) // bytes and numbers
	}
	t.If = append(t.If, wire.Cond{Key: key, Mark: old.mark})
	t.Then = append(t.Then, wire.Write{Put: key, Value: raw})
	return func(status int) { c.carried(ids, status) }
}

// besides is how many changes carryBeside adds.
func (c *Core) besides() int {
	if c.auditing() {
		return 1
	}
	return 0
}

// inBlock reports whether a carried entry need not be carried any more.
func (c *Core) inBlock(x *audit.Carried) bool {
	h := c.audit.heads[x.Node]
	return h != nil && h.Has(x.Life, x.Count)
}

func (c *Core) allInBlocks(list []audit.Carried) bool {
	return !slices.ContainsFunc(list, func(x audit.Carried) bool { return !c.inBlock(&x) })
}

// carried takes the outcome of a transaction with entries.
func (c *Core) carried(ids []uint64, status int) {
	for _, id := range ids {
		s := c.audit.sent[id]
		switch {
		case s == nil:
		case status == 200:
			c.confirm(id)
		case status == 409 || status == 429 || status == 503 || status == 400: // not executed
			delete(c.audit.sent, id)
		default:
			c.audit.unsure[s.key] = append(c.audit.unsure[s.key], id)
		}
	}
}

// confirm has an entry put into a block: its change was made.
func (c *Core) confirm(id uint64) {
	a := &c.audit
	if s := a.sent[id]; s != nil {
		delete(a.sent, id)
		a.queue = append(a.queue, queued{life: a.life, count: id, raw: s.raw, since: c.now})
	}
}

// sawCarried takes what a key carries as of a mark. Entries of this controller that are in no block are queued;
// those whose outcome was not known and that are not there were not written and never will be.
func (c *Core) sawCarried(key string, mark uint64, list []audit.Carried) {
	a := &c.audit
	if c.cfg.AuditKey == nil {
		return
	}
	for i := range list {
		x := &list[i]
		id := [2]uint64{x.Life, x.Count}
		switch {
		case x.Node != c.cfg.Name:
		case x.Life == a.life:
			c.confirm(x.Count)
		case c.inBlock(x) || a.former[id]:
		default:
			raw := x.Entry
			if _, err := c.cfg.AuditKey.Open(key, x); err != nil {
				c.note("error", "an entry of the audit record was altered", "key", key, "life", x.Life, "count", x.Count)
				raw = audit.Encode(&pb.AuditEntry{Life: x.Life, Count: x.Count, AtMs: c.unixMS(), Verb: verbForged, Object: audit.Clip(key), Outcome: pb.AuditOutcome_refused, Why: err.Error()})
			}
			a.former[id] = true
			a.queue = append(a.queue, queued{life: x.Life, count: x.Count, raw: raw, since: c.now})
		}
	}
	c.notCarried(key, mark)
}

// notCarried settles the entries that a key would carry now if they had been written.
func (c *Core) notCarried(key string, mark uint64) {
	a := &c.audit
	if len(a.unsure[key]) == 0 {
		return
	}
	a.unsure[key] = slices.DeleteFunc(a.unsure[key], func(id uint64) bool {
		s := a.sent[id]
		if s != nil && mark <= s.mark {
			return false
		}
		delete(a.sent, id)
		return true
	})
	if len(a.unsure[key]) == 0 {
		delete(a.unsure, key)
	}
}

// putAudit takes a key of the record.
func (c *Core) putAudit(key string, raw json.RawMessage, mark uint64) error {
	a := &c.audit
	switch {
	case key == keyBegun:
		a.begun = max(a.begun, mark)
	case strings.HasPrefix(key, keyHead):
		h := &audit.Head{}
		if err := json.Unmarshal(raw, h); err != nil {
			return err
		}
		c.putHead(strings.TrimPrefix(key, keyHead), h, mark)
	case strings.HasPrefix(key, keyCarrier):
		var v carrierValue
		if err := json.Unmarshal(raw, &v); err != nil {
			return err
		}
		c.sawCarried(key, mark, v.Carried)
		if mark > a.carriers[key].mark {
			a.carriers[key] = carrier{mark, v.Carried}
		}
	case key == keySettings+c.cfg.Name:
		if mark > a.setMark {
			a.settings, a.setMark = nil, mark
			return json.Unmarshal(raw, &a.settings)
		}
	}
	return nil
}

// putHead takes a head. Its own tells a controller which of its blocks was written.
func (c *Core) putHead(node string, h *audit.Head, mark uint64) {
	a := &c.audit
	if mark <= a.marks[node] {
		return
	}
	a.heads[node], a.marks[node] = h, mark
	if node != c.cfg.Name || c.cfg.AuditKey == nil {
		return
	}
	i := slices.IndexFunc(a.tries, func(t try) bool { return t.number == h.Number && string(t.code) == string(h.Code) })
	if i < 0 {
		if a.ready {
			c.note("error", "the chain of the audit record was continued by another process, or set back", "block", h.Number)
		}
		// What this life has sent shows with the changes, as a former life's.
		a.ready, a.life, a.tries = false, 0, nil
		clear(a.sent)
		clear(a.unsure)
		// The last block of a former life may be written after its entries were read here.
		a.queue = slices.DeleteFunc(a.queue, func(q queued) bool {
			if !h.Has(q.life, q.count) {
				return false
			}
			delete(a.former, [2]uint64{q.life, q.count})
			return true
		})
		return
	}
	t := a.tries[i]
	a.tries, a.lastAt = nil, c.now
	a.ready = a.ready || t.begins
	written := a.queue[:t.n]
	a.queue = slices.Clone(a.queue[t.n:])
	for _, q := range written {
		delete(a.former, [2]uint64{q.life, q.count})
		for _, f := range q.done {
			f(true)
		}
	}
}

// auditStep puts entries into blocks when it is due.
func (c *Core) auditStep() {
	a := &c.audit
	if !c.auditing() {
		return
	}
	for len(a.waiters) > 0 && (c.stateDown() || !c.leaseOK()) {
		f := a.waiters[0]
		a.waiters = a.waiters[1:]
		f(false)
	}
	if a.busy || !c.leaseOK() || c.budget.Paused(c.now) || c.now < a.nextAt || c.budget.Writes < 2 {
		return
	}
	if !a.ready {
		c.beginLife()
		return
	}
	c.recordRestore()
	due := len(a.queue) >= auditFull || len(a.queue) > 0 && c.now-a.queue[0].since >= c.cfg.AuditBlock || len(a.waiters) > 0 || len(a.former) > 0 ||
		slices.ContainsFunc(a.queue, func(q queued) bool { return len(q.done) > 0 })
	for _, g := range []struct {
		g     *audit.Gather
		since time.Duration
	}{{&a.refused, a.refusedAt}, {&a.reads, a.readsAt}} {
		due = due || g.g.Len() > 0 && c.now-g.since >= c.cfg.AuditGather
	}
	if !due || c.now-a.lastAt < auditGap {
		return
	}
	c.recordGathered(&a.refused, &a.refusedAt, "refused", pb.AuditOutcome_refused)
	c.recordGathered(&a.reads, &a.readsAt, "read", pb.AuditOutcome_done)
	if a.reads.Len() == 0 && len(a.waiters) > 0 { // what they wait for is the last of the queue
		q := &a.queue[len(a.queue)-1]
		q.done = append(q.done, a.waiters...)
		a.waiters = nil
	}
	c.extendChain()
}

// recordGathered makes an entry of acts that were gathered.
func (c *Core) recordGathered(g *audit.Gather, since *time.Duration, verb string, outcome pb.AuditOutcome) {
	if g.Len() == 0 {
		return
	}
	e := c.entry(act{verb: verb})
	e.Outcome, e.Items = outcome, g.Take(min(auditItems, c.cfg.ValueBytes/4))
	*since = c.now
	c.audit.queue = append(c.audit.queue, queued{life: c.audit.life, count: e.Count, raw: audit.Encode(e), since: c.now})
}

// extendChain writes the next block.
func (c *Core) extendChain() {
	a := &c.audit
	h := a.heads[c.cfg.Name]
	var raws [][]byte
	for _, q := range a.queue {
		raws = append(raws, q.raw)
	}
	raw, n, code, err := c.cfg.AuditKey.Extend(h, c.cfg.Name, c.cfg.TimeBoundMS, raws, c.cfg.ValueBytes*15/16)
	if err != nil {
		c.note("error", "the audit record can't go on", "err", err.Error())
		a.nextAt = c.now + 10*time.Second
		return
	}
	lives := h
	for _, q := range a.queue[:n] {
		if q.life != a.life {
			lives = &audit.Head{Lives: lives.With(q.life, q.count)}
		}
	}
	// All that former lives have left was read at the start. What they did is not executed later than some minutes.
	if c.now-c.started >= c.cfg.AuditForget && !slices.ContainsFunc(a.queue[n:], func(q queued) bool { return q.life != a.life }) {
		lives = &audit.Head{Lives: lives.Lives[len(lives.Lives)-1:]}
	}
	open := slices.Sorted(maps.Keys(a.sent))
	for _, q := range a.queue[n:] {
		if q.life == a.life {
			open = append(open, q.count)
		}
	}
	slices.Sort(open)
	next := &audit.Head{Number: h.Number + 1, Code: code, Lives: slices.Clone(lives.Lives)}
	next.Lives[len(next.Lives)-1] = audit.Life{Life: a.life, Next: a.count + 1, Open: open}
	c.writeBlock(raw, next, wire.Txn{}, try{number: next.Number, code: code, n: n})
}

// beginLife writes the first block of a life: that the controller started, and which settings differ.
func (c *Core) beginLife() {
	a := &c.audit
	h := cmp.Or(a.heads[c.cfg.Name], &audit.Head{})
	a.life, a.count = h.Number+1, 0
	var t wire.Txn
	if a.begun == 0 {
		t.If = append(t.If, wire.Cond{Key: keyBegun})
		t.Then = append(t.Then, wire.Write{Put: keyBegun, Value: json.RawMessage("1")})
	}
	changed := differ(a.settings, c.cfg.Settings)
	if len(changed) > 0 || a.setMark == 0 {
		if raw, err := json.Marshal(c.cfg.Settings); err == nil && len(raw) <= c.cfg.ValueBytes {
			t.If = append(t.If, wire.Cond{Key: keySettings + c.cfg.Name, Mark: a.setMark})
			t.Then = append(t.Then, wire.Write{Put: keySettings + c.cfg.Name, Value: raw})
		}
	}
	why := "settings as before"
	switch {
	case a.setMark == 0:
		why = "first start"
	case len(changed) > 0:
		why = "settings differ: " + strings.Join(changed, ", ")
	}
	e := c.entry(act{verb: verbStart, object: c.cfg.Name, why: why})
	raw, _, code, err := c.cfg.AuditKey.Extend(h, c.cfg.Name, c.cfg.TimeBoundMS, [][]byte{audit.Encode(e)}, c.cfg.ValueBytes)
	if err != nil {
		c.note("error", "the audit record can't begin", "err", err.Error())
		a.nextAt = c.now + 10*time.Second
		return
	}
	next := &audit.Head{Number: h.Number + 1, Code: code, Lives: h.Begin(audit.Life{Life: a.life, Next: a.count + 1})}
	c.writeBlock(raw, next, t, try{number: next.Number, code: code, begins: true})
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

// writeBlock writes a block and the head that ends with it.
func (c *Core) writeBlock(block json.RawMessage, next *audit.Head, t wire.Txn, x try) {
	a := &c.audit
	raw, err := json.Marshal(next)
	if err != nil {
		panic(err) // bytes and numbers
	}
	key := audit.BlockKey(c.cfg.Name, next.Number)
	t.If = append(t.If, wire.Cond{Key: keyHead + c.cfg.Name, Mark: a.marks[c.cfg.Name]}, wire.Cond{Key: key})
	t.Then = append(t.Then, wire.Write{Put: key, Value: block}, wire.Write{Put: keyHead + c.cfg.Name, Value: raw})
	a.tries = append(a.tries, x)
	a.busy = true
	c.commit(t, &txn{done: func(status int, r wire.TxnReply) {
		switch status {
		case 200:
			a.busy = false
			c.putHead(c.cfg.Name, next, r.Ledger)
			return
		case 429, 503:
			a.busy = false
			a.nextAt = c.now + 300*time.Millisecond
		case 400:
			c.shrink(&t)
			fallthrough
		default: // what is there now shows with the next barrier
			a.nextAt = c.now + 300*time.Millisecond
			c.afterBarrier(func(bool) { a.busy = false })
		}
	}})
}

// putRestored takes the sign that a snapshot was restored.
func (c *Core) putRestored(raw json.RawMessage, mark uint64) error {
	c.audit.restored = max(c.audit.restored, mark)
	return json.Unmarshal(raw, &c.audit.snapshot)
}

// recordRestore records that the state was restored from a snapshot.
func (c *Core) recordRestore() {
	a := &c.audit
	if a.restored == 0 || a.restoring || !c.leads() {
		return
	}
	a.restoring = true
	t := wire.Txn{If: []wire.Cond{{Key: keyLeader, Mark: c.leader.mark}, {Key: KeyRestored, Mark: a.restored}}, Then: []wire.Write{{Delete: KeyRestored}}}
	told := c.carryBeside(&t, "restored", act{verb: verbRestore, object: "state", why: a.snapshot})
	c.commit(t, &txn{done: func(status int, _ wire.TxnReply) {
		told(status)
		c.afterBarrier(func(bool) { a.restoring = false })
	}})
}

// refusedAct notes and records an act that was refused.
func (c *Core) refusedAct(by Cred, verb, object, why string) {
	c.note("info", "refused", "who", by.Who, "verb", verb, "object", object, "why", why)
	c.Stats.Forbidden++
	c.gatherRefused(audit.Item{Who: by.Who, Verb: verb, Object: object, Why: why}, 1)
}

func (c *Core) gatherRefused(it audit.Item, n uint32) {
	a := &c.audit
	if c.cfg.AuditKey == nil {
		return
	}
	if a.refused.Len() == 0 {
		a.refusedAt = c.now
	}
	a.refused.Add(it, n)
}

// recordRead records that somebody reads what only some may, and then calls f; with false if it can't be recorded now.
// Of somebody who reads page after page, later ones are counted.
func (c *Core) recordRead(by Cred, verb, object string, f func(ok bool)) {
	a := &c.audit
	if !c.auditing() {
		f(true)
		return
	}
	if a.reads.Len() == 0 {
		a.readsAt = c.now
	}
	a.reads.Add(audit.Item{Who: by.Who, Verb: verb, Object: object}, 1)
	who := by.Who + " " + verb
	if a.readers[who] > c.now {
		f(true)
		return
	}
	a.waiters = append(a.waiters, func(ok bool) {
		if ok {
			a.readers[who] = c.now + auditReader
		}
		f(ok)
	})
}

// readAudit answers with a part of the record, to those who may read it.
func (c *Core) readAudit(in ReadAudit) {
	switch {
	case c.closed() || c.cfg.AuditKey != nil && !c.auditing():
		c.refuse(in.Req, notYet)
		return
	case c.cfg.AuditKey == nil:
		c.reply(in.Req, 404, wire.Error{Error: "nothing is recorded here"})
		return
	}
	c.soonAfterBarrier(func(ok bool) {
		d := c.may(in.By, access.Act{Verb: pb.Verb_audit})
		object := "audit"
		if in.Node != "" {
			object = "audit of " + in.Node
		}
		switch {
		case !ok:
			c.refuse(in.Req, "state service not reached")
		case !d.Allowed:
			c.forbid(in.Req, in.By, "audit", object, d.Why)
		default:
			c.recordRead(in.By, "audit", object, func(ok bool) {
				if !ok {
					c.refuse(in.Req, "reading can't be recorded now")
					return
				}
				c.giveAudit(in)
			})
		}
	})
}

func (c *Core) giveAudit(in ReadAudit) {
	if in.Node == "" {
		var out wire.AuditHeads
		for _, n := range sortedKeys(c.audit.heads) {
			h := c.audit.heads[n]
			out.Heads = append(out.Heads, wire.AuditHead{Node: n, Number: h.Number, Code: h.Code})
		}
		c.reply(in.Req, 200, out)
		return
	}
	if c.budget.Reads < 1 {
		c.refuse(in.Req, "too busy")
		return
	}
	c.scan(audit.Prefix+in.Node+"/", audit.BlockKey(in.Node, in.After), auditPage, func(x Scanned) {
		if x.Status != 200 {
			c.refuse(in.Req, "state service not reached")
			return
		}
		out := wire.AuditPage{More: x.More}
		for _, it := range x.Items {
			if _, n, ok := audit.SplitBlockKey(it.Key); ok {
				out.Blocks = append(out.Blocks, wire.AuditBlock{Number: n, Value: it.Value})
			}
		}
		c.reply(in.Req, 200, out)
	})
}

// stopsOf are the acts of tasks that were stopped, one for each cause.
func stopsOf(id string, why []ledger.Reason) (acts []act) {
	causes := map[string]*struct {
		tasks    ledger.Ranges
		machines []string
	}{}
	for _, w := range why {
		x := causes[w.Cause]
		if x == nil {
			x = new(struct {
				tasks    ledger.Ranges
				machines []string
			})
			causes[w.Cause] = x
		}
		x.tasks = x.tasks.Add(w.Task)
		if !slices.Contains(x.machines, w.Machine) {
			x.machines = append(x.machines, w.Machine)
		}
	}
	for _, cause := range sortedKeys(causes) {
		x := causes[cause]
		var tasks []string
		for i := 0; i < len(x.tasks); i += 2 {
			if x.tasks[i] == x.tasks[i+1] {
				tasks = append(tasks, fmt.Sprint(x.tasks[i]))
			} else {
				tasks = append(tasks, fmt.Sprintf("%d-%d", x.tasks[i], x.tasks[i+1]))
			}
		}
		slices.Sort(x.machines)
		machines := strings.Join(x.machines[:min(len(x.machines), 3)], " ")
		if n := len(x.machines) - 3; n > 0 {
			machines += fmt.Sprintf(" and %d more", n)
		}
		acts = append(acts, act{verb: verbStop, object: id, why: fmt.Sprintf("%s: %d tasks on %s: %s", cause, x.tasks.Count(), machines, strings.Join(tasks, " "))})
	}
	return acts
}
