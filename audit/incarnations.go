package audit

import "slices"

// Head is what the state service holds of a chain beside its blocks: where it ends, and which entries are in it.
// Every controller follows all heads: an entry that a value carries may be dropped from it once it is in a block.
type Head struct {
	BlockNumber  uint64        `json:"k"` // of the last block
	MAC          []byte        `json:"c"` // its code
	Incarnations []Incarnation `json:"s"` // those of which something may not be in blocks, oldest first
}

// Incarnation tells which entries of a process's life are in blocks, or will never be: those below
// Next that are not open.
type Incarnation struct {
	Number           uint64   `json:"l"`
	NextSequence     uint64   `json:"n"`
	PendingSequences []uint64 `json:"o,omitempty"` // sorted
}

// maxIncarnations bounds the lives. A controller that was ended time and again before it had put
// what its former lives have left into blocks keeps them all; they are forgotten once that is done,
// and no act of theirs can be executed late.
const maxIncarnations = 100

// Contains reports whether an entry is in a block. A former life that is not listed has left nothing open.
func (h *Head) Contains(life, count uint64) bool {
	for _, l := range h.Incarnations {
		if l.Number == life {
			_, open := slices.BinarySearch(l.PendingSequences, count)
			return count < l.NextSequence && !open
		}
	}
	return len(h.Incarnations) > 0 && life < h.Incarnations[0].Number
}

// WithRecorded returns the lives once an entry of a former life is in a block.
func (h *Head) WithRecorded(life, count uint64) []Incarnation {
	out := slices.Clone(h.Incarnations)
	for i, l := range out {
		if l.Number != life {
			continue
		}
		open := slices.Clone(l.PendingSequences)
		for ; l.NextSequence <= count; l.NextSequence++ {
			open = append(open, l.NextSequence)
		}
		l.PendingSequences = slices.DeleteFunc(open, func(x uint64) bool { return x == count })
		out[i] = l
	}
	return out
}

// WithIncarnation returns the lives with a new one.
func (h *Head) WithIncarnation(l Incarnation) []Incarnation {
	out := append(slices.Clone(h.Incarnations), l)
	return out[max(0, len(out)-maxIncarnations):]
}
