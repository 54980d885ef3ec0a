package sim

import (
	"dewlift/audit"
	"dewlift/core"
	"dewlift/core/reservations"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	pb "dewlift/proto"
)

var auditKey = audit.Key("the key of the sites in the tests")

// entryID names an entry.
type entryID struct {
	node               string
	incarnation, count uint64
}

// auditChecker checks every transaction: no change without its entry, no entry without its change, no entry dropped
// before it is in a block, no block written twice.
type auditChecker struct {
	checker     *Checker
	now         func() time.Duration
	carriedAt   map[entryID]time.Duration // when they were written with a change
	blockCounts map[entryID]int           // times each is in a block
	verbCounts  map[string]int            // entries in blocks
}

func newAuditChecker(k *Checker, now func() time.Duration) *auditChecker {
	return &auditChecker{
		checker:     k,
		now:         now,
		carriedAt:   map[entryID]time.Duration{},
		blockCounts: map[entryID]int{},
		verbCounts:  map[string]int{},
	}
}

// entryCarrier is what values with entries have in common, and what records tell of changes.
type entryCarrier struct {
	Carried     []audit.PendingEntry `json:"e"`
	Stage       string               `json:"st"`
	User        string               `json:"u"`
	StopReasons []stopReason         `json:"w"`
	Spec        json.RawMessage      `json:"s"`
	Node        string               `json:"n"`
	Lease       uint64               `json:"t"`
}

type stopReason struct {
	Task    int    `json:"i"`
	At      int64  `json:"t"`
	Machine string `json:"m"`
}

func (r *auditChecker) violated(format string, args ...any) {
	r.checker.violated("unrecorded", format, args...)
}

func decodeEntryCarrier(raw json.RawMessage) entryCarrier {
	var v entryCarrier
	_ = json.Unmarshal(raw, &v) // what has other fields carries nothing
	return v
}

// newEntries lists the entries of a value that the old one and the others of its transaction did not carry, by verb.
func (r *auditChecker) newEntries(
	key string,
	old []audit.PendingEntry,
	now []audit.PendingEntry,
) map[string][]*pb.AuditEntry {
	out := map[string][]*pb.AuditEntry{}
	had := map[entryID]bool{}
	for _, x := range old {
		had[entryID{x.Node, x.Incarnation, x.Sequence}] = true
	}
	has := map[entryID]bool{}
	for _, x := range now {
		id := entryID{x.Node, x.Incarnation, x.Sequence}
		has[id] = true
		if had[id] {
			continue
		}
		e, err := auditKey.VerifyEntry(key, &x)
		if err != nil {
			r.violated("%s carries a bad entry: %v", key, err)
			continue
		}
		if _, before := r.carriedAt[id]; before {
			r.violated("%s carries entry %v, which was written before", key, id)
		}
		r.carriedAt[id] = r.now()
		out[e.Verb] = append(out[e.Verb], e)
	}
	for id := range had {
		if !has[id] && r.blockCounts[id] == 0 {
			r.violated("%s drops entry %v, which is in no block", key, id)
		}
	}
	return out
}

// CheckTxn checks a transaction that is about to be executed.
func (r *auditChecker) CheckTxn(keys map[string]*wire.KeyValue, t wire.Txn) {
	const begun, carrier = core.Root + "audit/begun", core.Root + "audit/of/"
	was := func(key string) entryCarrier {
		if it := keys[key]; it != nil {
			return decodeEntryCarrier(it.Value)
		}
		return entryCarrier{}
	}
	on := keys[begun] != nil
	beside := map[string]int{} // entries of carriers, by verb
	for _, x := range t.Then {
		if strings.HasPrefix(x.Put, carrier) {
			for verb, list := range r.newEntries(x.Put, was(x.Put).Carried, decodeEntryCarrier(x.Value).Carried) {
				beside[verb] += len(list)
			}
		}
		if strings.HasPrefix(x.Put, audit.BlockPrefix) {
			r.checkBlock(keys, x)
		}
		if strings.HasPrefix(x.Delete, audit.BlockPrefix) {
			r.violated("%s is deleted", x.Delete)
		}
	}
	if !on {
		return
	}
	rights, taken, restored := 0, 0, 0
	for _, x := range t.Then {
		key := x.Put + x.Delete
		old, now := was(key), decodeEntryCarrier(x.Value)
		switch id, isJob := strings.CutPrefix(key, core.Root+"job/"); {
		case key == reservations.KeyHead:
			if len(r.newEntries(key, old.Carried, now.Carried)) == 0 {
				r.violated("bookings change without an entry")
			}
		case isJob && x.Put != "":
			mark := core.Root + "cancel/" + id
			marked := keys[mark] != nil
			if marked && slices.ContainsFunc(t.Then, func(y wire.Write) bool { return y.Delete == mark }) {
				old.Carried = append(old.Carried, was(mark).Carried...)
			}
			fresh := r.newEntries(key, old.Carried, now.Carried)
			isNew, cancelled := keys[key] == nil, now.Stage == "c" && old.Stage == "" && !marked
			stopped := slices.ContainsFunc(
				now.StopReasons,
				func(w stopReason) bool { return !slices.Contains(old.StopReasons, w) },
			)
			for _, c := range []struct {
				verb string
				made bool
			}{{"submit", isNew}, {"cancel", cancelled}, {"stop", stopped}} {
				if c.made && len(fresh[c.verb]) == 0 {
					r.violated("%s: %s without its entry", key, c.verb)
				}
				if !c.made && len(fresh[c.verb]) > 0 && c.verb != "stop" { // of reasons only the last are kept
					r.violated("%s: an entry of %s without its change", key, c.verb)
				}
			}
			if isNew && len(fresh["submit"]) != 1 {
				r.violated("%s: %d entries of its submission", key, len(fresh["submit"]))
			} else if isNew && now.Spec != nil && fresh["submit"][0].Who != now.User {
				r.violated("%s was submitted by %s, its entry says %s", key, now.User, fresh["submit"][0].Who)
			}
		case strings.HasPrefix(x.Put, core.Root+"cancel/"):
			if fresh := r.newEntries(key, old.Carried, now.Carried); len(fresh["cancel"]) == 0 {
				r.violated("%s without its entry", key)
			}
		case strings.HasPrefix(key, core.Root+"access/"):
			rights = 1
		case strings.HasPrefix(x.Put, core.Root+"shard/"), x.Put == core.Root+"leader":
			taken = 1
		case x.Delete == core.Root+"restored":
			restored = 1
		}
	}
	for verb, n := range map[string]int{"administer": rights, "take": taken, "restore": restored} {
		if beside[verb] != n {
			r.violated("%d entries of %s for a transaction with %d: %+v", beside[verb], verb, n, t)
		}
	}
}

// checkBlock takes a block.
func (r *auditChecker) checkBlock(keys map[string]*wire.KeyValue, x wire.Write) {
	node, number, ok := audit.SplitBlockKey(x.Put)
	if keys[x.Put] != nil || !ok {
		r.violated("%s is written twice, or is no key of a block", x.Put)
		return
	}
	b, err := audit.DecodeBlock(x.Value)
	if err != nil || b.Number != number {
		r.violated("%s: %v", x.Put, err)
		return
	}
	for _, e := range b.Entries {
		id := entryID{node, e.Life, e.Count}
		if r.blockCounts[id]++; r.blockCounts[id] > 1 {
			r.violated("entry %v is in two blocks", id)
		}
		r.verbCounts[e.Verb]++
		switch e.Verb {
		case "start", "refused", "read":
		case "forged":
			r.violated("entry %v: %s", id, e.Why)
		default:
			if _, made := r.carriedAt[id]; !made {
				r.violated("entry %v is in a block and its change was not made: %v", id, e)
			}
		}
	}
}

// Finish checks that every entry is in a block, or carried, and every chain whole.
func (r *auditChecker) Finish(keys map[string]*wire.KeyValue) {
	left := map[entryID]bool{}
	chains := map[string]*audit.ChainVerifier{}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		for _, x := range decodeEntryCarrier(keys[key].Value).Carried {
			left[entryID{x.Node, x.Incarnation, x.Sequence}] = true
		}
		if node, number, ok := audit.SplitBlockKey(key); ok {
			if chains[node] == nil {
				chains[node] = &audit.ChainVerifier{Node: node, Keys: []audit.Key{auditKey}}
			}
			if _, err := chains[node].VerifyNext(number, keys[key].Value); err != nil {
				r.violated("%v", err)
			}
		}
	}
	for id, at := range r.carriedAt {
		if r.blockCounts[id] == 0 && (!left[id] || r.now()-at > maxCarriedTime) {
			r.violated("entry %v, written at %v, is in no block, carried: %v", id, at, left[id])
		}
	}
}

// maxCarriedTime is how long no entry is carried: outages are shorter, and the last troubles end before.
const maxCarriedTime = 120 * time.Second

// scheduleAuditReaders ask for the record, some without the right to.
func (w *Simulator) scheduleAuditReaders() {
	var read func()
	read = func() {
		by := credentialOf(rootUser)
		if w.chance(0.5) {
			by = credentialOf("u0")
		}
		in := core.ReadAudit{Caller: by}
		if w.chance(0.5) {
			in.Node = w.nodes[0].name
		}
		w.sendRequest(
			w.nodes[w.rng.IntN(len(w.nodes))],
			2*time.Second,
			func(r uint64) core.Input { in.RequestID = r; return in },
			func(r core.Response, ok bool) {
				if ok && (r.Status == wire.StatusOK) != (by.Identity == rootUser) && r.Status != wire.StatusUnavailable {
					w.Checker.violated("let_in", "%s reads the audit record: %d", by.Identity, r.Status)
				}
			},
		)
		w.schedule(w.randomDuration(2*time.Second, 20*time.Second), read)
	}
	w.schedule(5*time.Second, read)
}

// settingsFor are a controller's settings: now and then others than at its start before.
func settingsFor(n *node) map[string]string {
	return map[string]string{"life": fmt.Sprint(n.incarnation / 2), "fixed": "1"}
}
