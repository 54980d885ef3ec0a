package audit

import (
	"time"

	pb "dewlift/proto"
)

// Event is one act of the record: an entry, or an item of one.
type Event struct {
	Node         string    `json:"node"`
	Block        uint64    `json:"block"`
	Entry        int       `json:"entry"` // its place in the block, from 1
	At           time.Time `json:"at"`
	ClockErrorMS uint32    `json:"bound_ms"` // how far the time may be off
	Identity     string    `json:"who,omitempty"`
	Key          string    `json:"key,omitempty"`
	Verb         string    `json:"verb"`
	Object       string    `json:"object"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"why,omitempty"`
	Count        uint32    `json:"count"`
}

// Events lists the acts of a block, in its order; times are in a zone.
func (b *Block) Events(node string, zone *time.Location) []Event {
	var out []Event
	for i, e := range b.Entries {
		a := Event{
			Node:         node,
			Block:        b.Number,
			Entry:        i + 1,
			At:           time.UnixMilli(e.AtMs).In(zone),
			ClockErrorMS: b.ClockErrorMS,
			Identity:     e.Who,
			Key:          e.Key,
			Verb:         e.Verb,
			Object:       e.Object,
			Outcome:      e.Outcome.String(),
			Reason:       e.Why,
			Count:        1,
		}
		if len(e.Items) == 0 {
			out = append(out, a)
			continue
		}
		for _, it := range e.Items {
			a.Identity, a.Verb, a.Object, a.Reason, a.Count = it.Who, it.Verb, it.Object, it.Why, it.Count
			out = append(out, a)
		}
	}
	return out
}

// Filter chooses acts; what is empty does not restrict.
type Filter struct {
	Identity, Verb, Object, Outcome string
	Since, Until                    time.Time // until is not in it
}

// Matches reports whether a filter lets an act through.
func (f *Filter) Matches(a *Event) bool {
	is := func(want, have string) bool { return want == "" || want == have }
	return is(f.Identity, a.Identity) && is(f.Verb, a.Verb) && is(f.Object, a.Object) && is(f.Outcome, a.Outcome) &&
		(f.Since.IsZero() || !a.At.Before(f.Since)) && (f.Until.IsZero() || a.At.Before(f.Until))
}

// Outcomes of acts.
var (
	OutcomeDone    = pb.AuditOutcome_done.String()
	OutcomeRefused = pb.AuditOutcome_refused.String()
)
