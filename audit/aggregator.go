package audit

import (
	"cmp"
	"slices"
	"strings"

	"dewlift/internal/utf8text"
	pb "dewlift/proto"
)

// AggregatedEvent is an event of which only the number of occurrences is recorded.
type AggregatedEvent struct{ Identity, Verb, Object, Reason string }

// Aggregator counts events until they are recorded together. Beyond its bound, further kinds of events are
// counted without their objects, and beyond twice the bound without their identities: a flood takes bounded
// memory, and nothing is dropped silently.
type Aggregator struct {
	MaxBytes  int
	usedBytes int
	counts    map[AggregatedEvent]uint32
}

const (
	eventOverheadBytes = 16  // of an event beside its texts
	maxTextBytes       = 200 // of a text in an entry
)

// Ellipsis ends a text that was cut.
const Ellipsis = "..."

// OtherValues stands for objects or identities that are not told apart.
const OtherValues = "(others)"

// Add counts occurrences of an event.
func (g *Aggregator) Add(event AggregatedEvent, count uint32) {
	event = AggregatedEvent{
		TruncateText(event.Identity),
		TruncateText(event.Verb),
		TruncateText(event.Object),
		TruncateText(event.Reason),
	}
	if g.counts == nil {
		g.counts = map[AggregatedEvent]uint32{}
	}
	if _, ok := g.counts[event]; !ok {
		if g.usedBytes > g.MaxBytes {
			event.Object, event.Reason = OtherValues, ""
		}
		if g.usedBytes > 2*g.MaxBytes {
			event = AggregatedEvent{Identity: OtherValues, Verb: event.Verb, Object: OtherValues}
		}
	}
	if _, ok := g.counts[event]; !ok {
		g.usedBytes += event.size()
	}
	g.counts[event] += count
}

// size returns about how many bytes the event takes.
func (e *AggregatedEvent) size() int {
	return len(e.Identity) + len(e.Verb) + len(e.Object) + len(e.Reason) + eventOverheadBytes
}

// Len returns the number of distinct events.
func (g *Aggregator) Len() int { return len(g.counts) }

// Drain removes and returns events of at most maxBytes, but at least one if there is any, in a fixed order.
func (g *Aggregator) Drain(maxBytes int) []*pb.AuditItem {
	all := make([]AggregatedEvent, 0, len(g.counts))
	for event := range g.counts {
		all = append(all, event)
	}
	slices.SortFunc(all, func(a, b AggregatedEvent) int {
		return cmp.Or(
			strings.Compare(a.Identity, b.Identity),
			strings.Compare(a.Verb, b.Verb),
			strings.Compare(a.Object, b.Object),
			strings.Compare(a.Reason, b.Reason),
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
			Count:  g.counts[event],
		})
		g.usedBytes -= event.size()
		delete(g.counts, event)
	}
	return out
}

// TruncateText returns a text as an entry holds it: valid UTF-8 of bounded length.
func TruncateText(text string) string {
	return utf8text.Truncate(text, maxTextBytes, Ellipsis)
}
