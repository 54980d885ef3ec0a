package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dewlift/audit"
	"dewlift/core"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

var auditKey = audit.Key("the key of the sites in the tests")

// maxPendingTime is how long an entry may be stored with its change before it is in a block. It is longer than any
// outage.
const maxPendingTime = 120 * time.Second

// Keys of the audit log.
const (
	keyAuditInitialized = core.Root + "audit/begun" // exists once every change needs an entry
	outboxPrefix        = core.Root + "audit/of/"   // entries of changes without a value of their own
)

// entryID identifies an audit entry.
type entryID struct {
	node               string
	incarnation, count uint64
}

// auditChecker checks every transaction: no change without its audit entry, no entry without its change, no entry
// dropped before it is in a block, no block written twice.
type auditChecker struct {
	checker     *Checker
	now         func() time.Duration
	storedAt    map[entryID]time.Duration // when an entry was stored with its change
	blockCounts map[entryID]int           // blocks that contain an entry
	verbCounts  map[string]int            // entries in blocks by verb
}

func newAuditChecker(checker *Checker, now func() time.Duration) *auditChecker {
	return &auditChecker{
		checker:     checker,
		now:         now,
		storedAt:    map[entryID]time.Duration{},
		blockCounts: map[entryID]int{},
		verbCounts:  map[string]int{},
	}
}

// auditedValue holds the fields of a stored value with its audit entries, and the fields of a job's record that show
// its changes.
type auditedValue struct {
	Entries     []audit.PendingEntry `json:"e"`
	Stage       string               `json:"st"`
	User        string               `json:"u"`
	StopReasons []stopReason         `json:"w"`
	Spec        json.RawMessage      `json:"s"`
	Node        string               `json:"n"`
	Lease       uint64               `json:"t"`
}

// stopReason is a preemption of a task, as a job's record holds it.
type stopReason struct {
	Task    int    `json:"i"`
	At      int64  `json:"t"`
	Machine string `json:"m"`
}

func (c *auditChecker) violated(format string, args ...any) {
	c.checker.violated("unrecorded", format, args...)
}

// decodeAuditedValue decodes a stored value.
func decodeAuditedValue(raw json.RawMessage) auditedValue {
	var value auditedValue
	_ = json.Unmarshal(raw, &value) // a value of another form holds no entries
	return value
}

// storedValue decodes the value of a key; it returns an empty one if there is none.
func storedValue(keys map[string]*wire.KeyValue, key string) auditedValue {
	if item := keys[key]; item != nil {
		return decodeAuditedValue(item.Value)
	}
	return auditedValue{}
}

// newEntries verifies the entries that a value holds, and returns by verb those that it did not hold before.
func (c *auditChecker) newEntries(key string, before, after []audit.PendingEntry) map[string][]*pb.AuditEntry {
	out := map[string][]*pb.AuditEntry{}
	had := map[entryID]bool{}
	for _, pending := range before {
		had[entryID{pending.Node, pending.Incarnation, pending.Sequence}] = true
	}
	has := map[entryID]bool{}
	for _, pending := range after {
		id := entryID{pending.Node, pending.Incarnation, pending.Sequence}
		has[id] = true
		if had[id] {
			continue
		}
		entry, err := auditKey.VerifyEntry(key, &pending)
		if err != nil {
			c.violated("%s holds an invalid entry: %v", key, err)
			continue
		}
		if _, wasStored := c.storedAt[id]; wasStored {
			c.violated("%s holds entry %v, which was stored before", key, id)
		}
		c.storedAt[id] = c.now()
		out[entry.Verb] = append(out[entry.Verb], entry)
	}
	for id := range had {
		if !has[id] && c.blockCounts[id] == 0 {
			c.violated("%s drops entry %v, which is in no block", key, id)
		}
	}
	return out
}

// CheckTxn checks a transaction that is about to be executed.
func (c *auditChecker) CheckTxn(keys map[string]*wire.KeyValue, txn wire.Txn) {
	isOn := keys[keyAuditInitialized] != nil
	separate := c.checkAuditWrites(keys, txn)
	if !isOn {
		return
	}
	changes := map[string]int{"administer": 0, "take": 0, "restore": 0}
	for _, write := range txn.Then {
		key := write.Put + write.Delete
		id, isJob := strings.CutPrefix(key, core.Root+"job/")
		switch {
		case key == reservations.KeyHead:
			if len(c.newEntriesOf(keys, write)) == 0 {
				c.violated("reservations are changed without an audit entry")
			}
		case isJob && write.Put != "":
			c.checkJobWrite(keys, txn, write, id)
		case strings.HasPrefix(write.Put, core.Root+"cancel/"):
			if len(c.newEntriesOf(keys, write)["cancel"]) == 0 {
				c.violated("%s is changed without its audit entry", key)
			}
		case strings.HasPrefix(key, core.Root+"access/"):
			changes["administer"] = 1
		case strings.HasPrefix(write.Put, core.Root+"shard/"), write.Put == core.Root+"leader":
			changes["take"] = 1
		case write.Delete == core.Root+"restored":
			changes["restore"] = 1
		}
	}
	for verb, count := range changes {
		if separate[verb] != count {
			c.violated("%d audit entries of %s, want %d for the transaction %+v", separate[verb], verb, count, txn)
		}
	}
}

// checkAuditWrites checks the writes of the audit log itself, and returns the number of new entries by verb in
// outboxes.
func (c *auditChecker) checkAuditWrites(keys map[string]*wire.KeyValue, txn wire.Txn) map[string]int {
	separate := map[string]int{}
	for _, write := range txn.Then {
		if strings.HasPrefix(write.Put, outboxPrefix) {
			for verb, entries := range c.newEntriesOf(keys, write) {
				separate[verb] += len(entries)
			}
		}
		if strings.HasPrefix(write.Put, audit.BlockPrefix) {
			c.checkBlock(keys, write)
		}
		if strings.HasPrefix(write.Delete, audit.BlockPrefix) {
			c.violated("%s is deleted", write.Delete)
		}
	}
	return separate
}

// newEntriesOf returns the entries that a write adds to those that its key held, by verb.
func (c *auditChecker) newEntriesOf(keys map[string]*wire.KeyValue, write wire.Write) map[string][]*pb.AuditEntry {
	key := write.Put + write.Delete
	return c.newEntries(key, storedValue(keys, key).Entries, decodeAuditedValue(write.Value).Entries)
}

// checkJobWrite checks the write of a job's record: a submission, a cancellation or a preemption must have its entry,
// and no other change may have one.
func (c *auditChecker) checkJobWrite(keys map[string]*wire.KeyValue, txn wire.Txn, write wire.Write, id string) {
	key, cancelKey := write.Put, core.Root+"cancel/"+id
	before, after := storedValue(keys, key), decodeAuditedValue(write.Value)
	wasRequested := keys[cancelKey] != nil
	if wasRequested && slices.ContainsFunc(txn.Then, func(w wire.Write) bool { return w.Delete == cancelKey }) {
		before.Entries = append(before.Entries, storedValue(keys, cancelKey).Entries...)
	}
	added := c.newEntries(key, before.Entries, after.Entries)
	isNew := keys[key] == nil
	isCancelled := after.Stage == "c" && before.Stage == "" && !wasRequested
	isStopped := slices.ContainsFunc(after.StopReasons, func(reason stopReason) bool {
		return !slices.Contains(before.StopReasons, reason)
	})
	for _, change := range []struct {
		verb string
		made bool
	}{{"submit", isNew}, {"cancel", isCancelled}, {"stop", isStopped}} {
		if change.made && len(added[change.verb]) == 0 {
			c.violated("%s: %s without its audit entry", key, change.verb)
		}
		// A record keeps only the latest stop reasons, so the reason for an entry of a preemption may be gone.
		if !change.made && len(added[change.verb]) > 0 && change.verb != "stop" {
			c.violated("%s: audit entry of %s without its change", key, change.verb)
		}
	}
	if !isNew {
		return
	}
	if len(added["submit"]) != 1 {
		c.violated("%s: %d audit entries of its submission", key, len(added["submit"]))
	} else if after.Spec != nil && added["submit"][0].Who != after.User {
		c.violated("%s was submitted by %s, its entry says %s", key, after.User, added["submit"][0].Who)
	}
}

// checkBlock checks and records a new block of the audit log.
func (c *auditChecker) checkBlock(keys map[string]*wire.KeyValue, write wire.Write) {
	node, number, ok := audit.SplitBlockKey(write.Put)
	if keys[write.Put] != nil || !ok {
		c.violated("%s is written twice or is not the key of a block", write.Put)
		return
	}
	block, err := audit.DecodeBlock(write.Value)
	if err != nil || block.Number != number {
		c.violated("%s: %v", write.Put, err)
		return
	}
	for _, entry := range block.Entries {
		id := entryID{node, entry.Life, entry.Count}
		if c.blockCounts[id]++; c.blockCounts[id] > 1 {
			c.violated("entry %v is in two blocks", id)
		}
		c.verbCounts[entry.Verb]++
		switch entry.Verb {
		case "start", "refused", "read": // these have no stored change
		case "forged":
			c.violated("entry %v: %s", id, entry.Why)
		default:
			if _, wasStored := c.storedAt[id]; !wasStored {
				c.violated("entry %v is in a block, but its change was not made: %v", id, entry)
			}
		}
	}
}

// Finish checks that every entry is in a block or still stored with its change, and that every chain of blocks is
// complete.
func (c *auditChecker) Finish(keys map[string]*wire.KeyValue) {
	pendingIDs := map[entryID]bool{}
	chains := map[string]*audit.ChainVerifier{}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		for _, pending := range decodeAuditedValue(keys[key].Value).Entries {
			pendingIDs[entryID{pending.Node, pending.Incarnation, pending.Sequence}] = true
		}
		if node, number, ok := audit.SplitBlockKey(key); ok {
			if chains[node] == nil {
				chains[node] = &audit.ChainVerifier{Node: node, Keys: []audit.Key{auditKey}}
			}
			if _, err := chains[node].VerifyNext(number, keys[key].Value); err != nil {
				c.violated("%v", err)
			}
		}
	}
	for id, at := range c.storedAt {
		if c.blockCounts[id] == 0 && (!pendingIDs[id] || c.now()-at > maxPendingTime) {
			c.violated("entry %v, stored at %v, is in no block; still pending: %v", id, at, pendingIDs[id])
		}
	}
}

// auditReadTimeout is how long a reader of the audit log waits.
const auditReadTimeout = 2 * time.Second

// scheduleAuditReaders schedules reads of the audit log, half of them by a user without permission.
func (s *Simulator) scheduleAuditReaders() {
	var read func()
	read = func() {
		caller := credentialOf(rootUser)
		if s.chance(0.5) {
			caller = credentialOf("u0")
		}
		query := core.ReadAudit{Caller: caller}
		if s.chance(0.5) {
			query.Controller = s.nodes[0].name
		}
		s.sendRequest(s.anyNode(), auditReadTimeout, func(requestID uint64) core.Input {
			query.RequestID = requestID
			return query
		}, func(response core.Response, ok bool) {
			allowed := response.Status == wire.StatusOK
			if ok && allowed != (caller.Identity == rootUser) && response.Status != wire.StatusUnavailable {
				s.Checker.violated("let_in", "%s gets status %d for the audit log", caller.Identity, response.Status)
			}
		})
		s.schedule(s.randomDuration(2*time.Second, 20*time.Second), read)
	}
	s.schedule(5*time.Second, read)
}

// settingsFor returns the audited settings of a controller's process. They change with every other start.
func settingsFor(n *node) map[string]string {
	return map[string]string{"life": fmt.Sprint(n.incarnation / 2), "fixed": "1"}
}
