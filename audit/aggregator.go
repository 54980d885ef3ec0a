package audit

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"

	pb "dewlift/proto"
)

// GatheredEvent is an act of which only how often it was done is recorded.
type GatheredEvent struct{ Identity, Verb, Object, Reason string }

// Aggregator counts acts until they are recorded together. What goes beyond its bound is counted
// without its object, and beyond twice the bound without who did it: a flood takes bounded room,
// and nothing is dropped in silence.
type Aggregator struct {
	MaxBytes  int // bytes
	usedBytes int
	counts    map[GatheredEvent]uint32
}

const (
	eventOverheadBytes = 16 // beside its texts
	maxTextBytes       = 200
)

// OtherValues stands for objects, or for who, where there were too many of them.
const OtherValues = "(others)"

// Add counts an act n times.
func (g *Aggregator) Add(it GatheredEvent, n uint32) {
	it = GatheredEvent{
		TruncateText(it.Identity),
		TruncateText(it.Verb),
		TruncateText(it.Object),
		TruncateText(it.Reason),
	}
	if g.counts == nil {
		g.counts = map[GatheredEvent]uint32{}
	}
	if _, ok := g.counts[it]; !ok {
		if g.usedBytes > g.MaxBytes {
			it.Object, it.Reason = OtherValues, ""
		}
		if g.usedBytes > 2*g.MaxBytes {
			it = GatheredEvent{Identity: OtherValues, Verb: it.Verb, Object: OtherValues}
		}
	}
	if _, ok := g.counts[it]; !ok {
		g.usedBytes += it.size()
	}
	g.counts[it] += n
}

func (it *GatheredEvent) size() int {
	return len(it.Identity) + len(it.Verb) + len(it.Object) + len(it.Reason) + eventOverheadBytes
}

// Len is how many kinds of acts were gathered.
func (g *Aggregator) Len() int { return len(g.counts) }

// Drain removes items of at most so many bytes, one at least if there is any, in a fixed order.
func (g *Aggregator) Drain(most int) []*pb.AuditItem {
	all := make([]GatheredEvent, 0, len(g.counts))
	for it := range g.counts {
		all = append(all, it)
	}
	slices.SortFunc(all, func(a, b GatheredEvent) int {
		return cmp.Or(
			strings.Compare(a.Identity, b.Identity),
			strings.Compare(a.Verb, b.Verb),
			strings.Compare(a.Object, b.Object),
			strings.Compare(a.Reason, b.Reason),
		)
	})
	var out []*pb.AuditItem
	for _, it := range all {
		if most -= it.size(); most < 0 && len(out) > 0 {
			break
		}
		out = append(
			out,
			&pb.AuditItem{Who: it.Identity, Verb: it.Verb, Object: it.Object, Why: it.Reason, Count: g.counts[it]},
		)
		g.usedBytes -= it.size()
		delete(g.counts, it)
	}
	return out
}

// TruncateText shortens a text to what an entry takes of it, and makes it valid.
func TruncateText(s string) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= maxTextBytes {
		return s
	}
	n := maxTextBytes - 3
	for !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "..."
}
