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

// entryID names an entry.
type entryID struct {
	node        string
	life, count uint64
}

// recorder checks every transaction: no change without its entry, no entry without its change, no entry dropped
// before it is in a block, no block written twice.
type recorder struct {
	k       *Checker
	now     func() time.Duration
	carried map[entryID]time.Duration // when they were written with a change
	blocks  map[entryID]int           // times each is in a block
	verbs   map[string]int            // entries in blocks
}

func newRecorder(k *Checker, now func() time.Duration) *recorder {
	return &recorder{k: k, now: now, carried: map[entryID]time.Duration{}, blocks: map[entryID]int{}, verbs: map[string]int{}}
}

// carrying is what values with entries have in common, and what records tell of changes.
type carrying struct {
	Carried []audit.PendingEntry `json:"e"`
	Stage   string               `json:"st"`
	Who     string               `json:"u"`
	Why     []wireReason         `json:"w"`
	Spec    json.RawMessage      `json:"s"`
	Node    string               `json:"n"`
	Lease   uint64               `json:"t"`
}

type wireReason struct {
	Task int    `json:"i"`
	At   int64  `json:"t"`
	On   string `json:"m"`
}

func (r *recorder) broken(format string, args ...any) { r.k.broken("unrecorded", format, args...) }

func decodeCarrying(raw json.RawMessage) carrying {
	var v carrying
	_ = json.Unmarshal(raw, &v) // what has other fields carries nothing
	return v
}

// fresh lists the entries of a value that the old one and the others of its transaction did not carry, by verb.
func (r *recorder) fresh(key string, old []audit.PendingEntry, now []audit.PendingEntry) map[string][]*pb.AuditEntry {
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
			r.broken("%s carries a bad entry: %v", key, err)
			continue
		}
		if _, before := r.carried[id]; before {
			r.broken("%s carries entry %v, which was written before", key, id)
		}
		r.carried[id] = r.now()
		out[e.Verb] = append(out[e.Verb], e)
	}
	for id := range had {
		if !has[id] && r.blocks[id] == 0 {
			r.broken("%s drops entry %v, which is in no block", key, id)
		}
	}
	return out
}

// Txn checks a transaction that is about to be executed.
func (r *recorder) Txn(keys map[string]*wire.KeyValue, t wire.Txn) {
	const begun, carrier = core.Root + "audit/begun", core.Root + "audit/of/"
	was := func(key string) carrying {
		if it := keys[key]; it != nil {
			return decodeCarrying(it.Value)
		}
		return carrying{}
	}
	on := keys[begun] != nil
	beside := map[string]int{} // entries of carriers, by verb
	for _, x := range t.Then {
		if strings.HasPrefix(x.Put, carrier) {
			for verb, list := range r.fresh(x.Put, was(x.Put).Carried, decodeCarrying(x.Value).Carried) {
				beside[verb] += len(list)
			}
		}
		if strings.HasPrefix(x.Put, audit.BlockPrefix) {
			r.block(keys, x)
		}
		if strings.HasPrefix(x.Delete, audit.BlockPrefix) {
			r.broken("%s is deleted", x.Delete)
		}
	}
	if !on {
		return
	}
	rights, taken, restored := 0, 0, 0
	for _, x := range t.Then {
		key := x.Put + x.Delete
		old, now := was(key), decodeCarrying(x.Value)
		switch id, isJob := strings.CutPrefix(key, core.Root+"job/"); {
		case key == reservations.KeyHead:
			if len(r.fresh(key, old.Carried, now.Carried)) == 0 {
				r.broken("bookings change without an entry")
			}
		case isJob && x.Put != "":
			mark := core.Root + "cancel/" + id
			marked := keys[mark] != nil
			if marked && slices.ContainsFunc(t.Then, func(y wire.Write) bool { return y.Delete == mark }) {
				old.Carried = append(old.Carried, was(mark).Carried...)
			}
			fresh := r.fresh(key, old.Carried, now.Carried)
			isNew, cancelled := keys[key] == nil, now.Stage == "c" && old.Stage == "" && !marked
			stopped := slices.ContainsFunc(now.Why, func(w wireReason) bool { return !slices.Contains(old.Why, w) })
			for _, c := range []struct {
				verb string
				made bool
			}{{"submit", isNew}, {"cancel", cancelled}, {"stop", stopped}} {
				if c.made && len(fresh[c.verb]) == 0 {
					r.broken("%s: %s without its entry", key, c.verb)
				}
				if !c.made && len(fresh[c.verb]) > 0 && c.verb != "stop" { // of reasons only the last are kept
					r.broken("%s: an entry of %s without its change", key, c.verb)
				}
			}
			if isNew && len(fresh["submit"]) != 1 {
				r.broken("%s: %d entries of its submission", key, len(fresh["submit"]))
			} else if isNew && now.Spec != nil && fresh["submit"][0].Who != now.Who {
				r.broken("%s was submitted by %s, its entry says %s", key, now.Who, fresh["submit"][0].Who)
			}
		case strings.HasPrefix(x.Put, core.Root+"cancel/"):
			if fresh := r.fresh(key, old.Carried, now.Carried); len(fresh["cancel"]) == 0 {
				r.broken("%s without its entry", key)
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
			r.broken("%d entries of %s for a transaction with %d: %+v", beside[verb], verb, n, t)
		}
	}
}

// block takes a block.
func (r *recorder) block(keys map[string]*wire.KeyValue, x wire.Write) {
	node, number, ok := audit.SplitBlockKey(x.Put)
	if keys[x.Put] != nil || !ok {
		r.broken("%s is written twice, or is no key of a block", x.Put)
		return
	}
	b, err := audit.DecodeBlock(x.Value)
	if err != nil || b.Number != number {
		r.broken("%s: %v", x.Put, err)
		return
	}
	for _, e := range b.Entries {
		id := entryID{node, e.Life, e.Count}
		if r.blocks[id]++; r.blocks[id] > 1 {
			r.broken("entry %v is in two blocks", id)
		}
		r.verbs[e.Verb]++
		switch e.Verb {
		case "start", "refused", "read":
		case "forged":
			r.broken("entry %v: %s", id, e.Why)
		default:
			if _, made := r.carried[id]; !made {
				r.broken("entry %v is in a block and its change was not made: %v", id, e)
			}
		}
	}
}

// Finish checks that every entry is in a block, or carried, and every chain whole.
func (r *recorder) Finish(keys map[string]*wire.KeyValue) {
	left := map[entryID]bool{}
	chains := map[string]*audit.ChainVerifier{}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		for _, x := range decodeCarrying(keys[key].Value).Carried {
			left[entryID{x.Node, x.Incarnation, x.Sequence}] = true
		}
		if node, number, ok := audit.SplitBlockKey(key); ok {
			if chains[node] == nil {
				chains[node] = &audit.ChainVerifier{Node: node, Keys: []audit.Key{auditKey}}
			}
			if _, err := chains[node].VerifyNext(number, keys[key].Value); err != nil {
				r.broken("%v", err)
			}
		}
	}
	for id, at := range r.carried {
		if r.blocks[id] == 0 && (!left[id] || r.now()-at > longCarried) {
			r.broken("entry %v, written at %v, is in no block, carried: %v", id, at, left[id])
		}
	}
}

// longCarried is how long no entry is carried: outages are shorter, and the last troubles end before.
const longCarried = 120 * time.Second

// readers ask for the record, some without the right to.
func (w *World) readers() {
	var read func()
	read = func() {
		by := cred(root)
		if w.chance(0.5) {
			by = cred("u0")
		}
		in := core.ReadAudit{By: by}
		if w.chance(0.5) {
			in.Node = w.nodes[0].name
		}
		w.ask(w.nodes[w.rng.IntN(len(w.nodes))], 2*time.Second, func(r uint64) core.Input { in.Req = r; return in }, func(r core.Reply, ok bool) {
			if ok && (r.Status == 200) != (by.Who == root) && r.Status != 503 {
				w.Check.broken("let_in", "%s reads the audit record: %d", by.Who, r.Status)
			}
		})
		w.after(w.between(2*time.Second, 20*time.Second), read)
	}
	w.after(5*time.Second, read)
}

// settingsOf are a controller's settings: now and then others than at its start before.
func settingsOf(n *node) map[string]string {
	return map[string]string{"life": fmt.Sprint(n.life / 2), "fixed": "1"}
}
