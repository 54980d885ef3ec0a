package audit

import (
	"time"

	pb "dewlift/proto"
)

// Event is one event of the audit log: an entry, or an item of an entry. Commands print its JSON form.
type Event struct {
	Node         string    `json:"node"`
	Block        uint64    `json:"block"`
	Entry        int       `json:"entry"` // position in the block, from 1
	At           time.Time `json:"at"`
	ClockErrorMS uint32    `json:"bound_ms"` // bound of the error of the time
	Identity     string    `json:"who,omitempty"`
	Key          string    `json:"key,omitempty"`
	Verb         string    `json:"verb"`
	Object       string    `json:"object"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"why,omitempty"`
	Count        uint32    `json:"count"`
}

// Events returns the events of a block in their order, with times in the given zone.
func (b *Block) Events(node string, zone *time.Location) []Event {
	var out []Event
	for i, entry := range b.Entries {
		event := Event{
			Node:         node,
			Block:        b.Number,
			Entry:        i + 1,
			At:           time.UnixMilli(entry.AtMs).In(zone),
			ClockErrorMS: b.ClockErrorMS,
			Identity:     entry.Who,
			Key:          entry.Key,
			Verb:         entry.Verb,
			Object:       entry.Object,
			Outcome:      entry.Outcome.String(),
			Reason:       entry.Why,
			Count:        1,
		}
		if len(entry.Items) == 0 {
			out = append(out, event)
			continue
		}
		for _, item := range entry.Items {
			event.Identity, event.Verb, event.Object = item.Who, item.Verb, item.Object
			event.Reason, event.Count = item.Why, item.Count
			out = append(out, event)
		}
	}
	return out
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	Identity, Verb, Object, Outcome string
	Since, Until                    time.Time // Until is exclusive
}

// Matches reports whether the filter selects an event.
func (f *Filter) Matches(event *Event) bool {
	matches := func(want, have string) bool { return want == "" || want == have }
	return matches(f.Identity, event.Identity) && matches(f.Verb, event.Verb) &&
		matches(f.Object, event.Object) && matches(f.Outcome, event.Outcome) &&
		(f.Since.IsZero() || !event.At.Before(f.Since)) && (f.Until.IsZero() || event.At.Before(f.Until))
}

// Outcomes of events.
var (
	OutcomeDone    = pb.AuditOutcome_done.String()
	OutcomeRefused = pb.AuditOutcome_refused.String()
)
