package audit

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"

	pb "dewlift/proto"
)

// Item is an act of which only how often it was done is recorded.
type Item struct{ Who, Verb, Object, Why string }

// Gather counts acts until they are recorded together. What goes beyond its bound is counted without its object, and
// beyond twice the bound without who did it: a flood takes bounded room, and nothing is dropped in silence.
type Gather struct {
	Most  int // bytes
	bytes int
	count map[Item]uint32
}

const (
	itemBytes = 16 // beside its texts
	mostText  = 200
)

// Others stands for objects, or for who, where there were too many of them.
const Others = "(others)"

// Add counts an act n times.
func (g *Gather) Add(it Item, n uint32) {
	it = Item{Clip(it.Who), Clip(it.Verb), Clip(it.Object), Clip(it.Why)}
	if g.count == nil {
		g.count = map[Item]uint32{}
	}
	if _, ok := g.count[it]; !ok {
		if g.bytes > g.Most {
			it.Object, it.Why = Others, ""
		}
		if g.bytes > 2*g.Most {
			it = Item{Who: Others, Verb: it.Verb, Object: Others}
		}
	}
	if _, ok := g.count[it]; !ok {
		g.bytes += it.size()
	}
	g.count[it] += n
}

func (it *Item) size() int {
	return len(it.Who) + len(it.Verb) + len(it.Object) + len(it.Why) + itemBytes
}

// Len is how many kinds of acts were gathered.
func (g *Gather) Len() int { return len(g.count) }

// Take removes items of at most so many bytes, one at least if there is any, in a fixed order.
func (g *Gather) Take(most int) []*pb.AuditItem {
	all := make([]Item, 0, len(g.count))
	for it := range g.count {
		all = append(all, it)
	}
	slices.SortFunc(all, func(a, b Item) int {
		return cmp.Or(strings.Compare(a.Who, b.Who), strings.Compare(a.Verb, b.Verb), strings.Compare(a.Object, b.Object), strings.Compare(a.Why, b.Why))
	})
	var out []*pb.AuditItem
	for _, it := range all {
		if most -= it.size(); most < 0 && len(out) > 0 {
			break
		}
		out = append(out, &pb.AuditItem{Who: it.Who, Verb: it.Verb, Object: it.Object, Why: it.Why, Count: g.count[it]})
		g.bytes -= it.size()
		delete(g.count, it)
	}
	return out
}

// Clip shortens a text to what an entry takes of it, and makes it valid.
func Clip(s string) string {
	s = strings.ToValidUTF8(s, "?")
	if len(s) <= mostText {
		return s
	}
	n := mostText - 3
	for !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n] + "..."
}
