package audit

import (
	"cmp"
	"slices"
	"strings"

	"dewlift/internal/utf8text"
	pb "dewlift/proto"
)

// AggregatedEvent is a kind of event. The log records only how often it occurred.
type AggregatedEvent struct{ Identity, Verb, Object, Reason string }

// Aggregator counts events until they are recorded together. Above MaxBytes, further kinds of events are counted
// without their objects and reasons, and above twice MaxBytes without their identities too: so a flood of events
// takes bounded memory, and no event goes uncounted.
type Aggregator struct {
	MaxBytes  int
	usedBytes int
	counts    map[AggregatedEvent]uint32
}

const (
	eventOverheadBytes = 16  // of an event, in addition to its texts
	maxTextBytes       = 200 // of each text in an entry
)

// Ellipsis is the end of a truncated text.
const Ellipsis = "..."

// OtherValues replaces objects or identities that are counted together.
const OtherValues = "(others)"

// Add counts occurrences of an event.
func (a *Aggregator) Add(event AggregatedEvent, count uint32) {
	event = AggregatedEvent{
		TruncateText(event.Identity),
		TruncateText(event.Verb),
		TruncateText(event.Object),
		TruncateText(event.Reason),
	}
	if a.counts == nil {
		a.counts = map[AggregatedEvent]uint32{}
	}
	if _, ok := a.counts[event]; !ok {
		if a.usedBytes > a.MaxBytes {
			event.Object, event.Reason = OtherValues, ""
		}
		if a.usedBytes > 2*a.MaxBytes {
			event = AggregatedEvent{Identity: OtherValues, Verb: event.Verb, Object: OtherValues}
		}
	}
	if _, ok := a.counts[event]; !ok {
		a.usedBytes += event.size()
	}
	a.counts[event] += count
}

// size returns approximately how many bytes the event takes.
func (e *AggregatedEvent) size() int {
	return len(e.Identity) + len(e.Verb) + len(e.Object) + len(e.Reason) + eventOverheadBytes
}

// Len returns the number of distinct events.
func (a *Aggregator) Len() int { return len(a.counts) }

// Drain removes events of at most maxBytes in total, but at least one if there is any, and returns them in a
// deterministic order.
func (a *Aggregator) Drain(maxBytes int) []*pb.AuditItem {
	all := make([]AggregatedEvent, 0, len(a.counts))
	for event := range a.counts {
		all = append(all, event)
	}
	slices.SortFunc(all, func(x, y AggregatedEvent) int {
		return cmp.Or(
			strings.Compare(x.Identity, y.Identity),
			strings.Compare(x.Verb, y.Verb),
			strings.Compare(x.Object, y.Object),
			strings.Compare(x.Reason, y.Reason),
		)
	})
	var out []*pb.AuditItem
	remaining := maxBytes
	for _, event := range all {
		if remaining -= event.size(); remaining < 0 && len(out) > 0 {
			break
		}
		out = append(out, &pb.AuditItem{
			Who:    event.Identity,
			Verb:   event.Verb,
			Object: event.Object,
			Why:    event.Reason,
			Count:  a.counts[event],
		})
		a.usedBytes -= event.size()
		delete(a.counts, event)
	}
	return out
}

// TruncateText returns a text in the form in which an entry holds it: valid UTF-8 of bounded length.
func TruncateText(text string) string {
	return utf8text.Truncate(text, maxTextBytes, Ellipsis)
}
