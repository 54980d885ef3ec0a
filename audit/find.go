package audit

import (
	"time"

	pb "dewlift/proto"
)

// Act is one act of the record: an entry, or an item of one.
type Act struct {
	Node    string    `json:"node"`
	Block   uint64    `json:"block"`
	Entry   int       `json:"entry"` // its place in the block, from 1
	At      time.Time `json:"at"`
	BoundMS uint32    `json:"bound_ms"` // how far the time may be off
	Who     string    `json:"who,omitempty"`
	Key     string    `json:"key,omitempty"`
	Verb    string    `json:"verb"`
	Object  string    `json:"object"`
	Outcome string    `json:"outcome"`
	Why     string    `json:"why,omitempty"`
	Count   uint32    `json:"count"`
}

// Acts lists the acts of a block, in its order; times are in a zone.
func (b *Block) Acts(node string, zone *time.Location) []Act {
	var out []Act
	for i, e := range b.Entries {
		a := Act{Node: node, Block: b.Number, Entry: i + 1, At: time.UnixMilli(e.AtMs).In(zone), BoundMS: b.BoundMS, Who: e.Who, Key: e.Key,
			Verb: e.Verb, Object: e.Object, Outcome: e.Outcome.String(), Why: e.Why, Count: 1}
		if len(e.Items) == 0 {
			out = append(out, a)
			continue
		}
		for _, it := range e.Items {
			a.Who, a.Verb, a.Object, a.Why, a.Count = it.Who, it.Verb, it.Object, it.Why, it.Count
			out = append(out, a)
		}
	}
	return out
}

// Filter chooses acts; what is empty does not restrict.
type Filter struct {
	Who, Verb, Object, Outcome string
	Since, Until               time.Time // until is not in it
}

// Takes reports whether a filter lets an act through.
func (f *Filter) Takes(a *Act) bool {
	is := func(want, have string) bool { return want == "" || want == have }
	return is(f.Who, a.Who) && is(f.Verb, a.Verb) && is(f.Object, a.Object) && is(f.Outcome, a.Outcome) &&
		(f.Since.IsZero() || !a.At.Before(f.Since)) && (f.Until.IsZero() || a.At.Before(f.Until))
}

// Outcomes of acts.
var (
	Done    = pb.AuditOutcome_done.String()
	Refused = pb.AuditOutcome_refused.String()
)
