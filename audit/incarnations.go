package audit

import "slices"

// Head is the stored head of a chain: where it ends, and which entries are in it. Every controller watches
// all heads, because a value may drop an entry that it carries once the entry is in a block.
type Head struct {
	BlockNumber  uint64        `json:"k"` // of the last block
	MAC          []byte        `json:"c"` // of the last block
	Incarnations []Incarnation `json:"s"` // those with entries that may not be in blocks, oldest first
}

// Incarnation describes which entries of a process are in blocks, or never will be: those with a number below
// NextSequence that are not pending.
type Incarnation struct {
	Number           uint64   `json:"l"`
	NextSequence     uint64   `json:"n"`
	PendingSequences []uint64 `json:"o,omitempty"` // sorted
}

// maxIncarnations bounds the incarnations in a head. A controller that crashes again and again before it has
// written the pending entries of its former incarnations keeps them all. They are dropped once that is done
// and none of their transactions can be executed late.
const maxIncarnations = 100

// Contains reports whether an entry is in a block. A former incarnation that is not listed has no pending
// entries.
func (h *Head) Contains(incarnation, sequence uint64) bool {
	for _, listed := range h.Incarnations {
		if listed.Number == incarnation {
			_, pending := slices.BinarySearch(listed.PendingSequences, sequence)
			return sequence < listed.NextSequence && !pending
		}
	}
	return len(h.Incarnations) > 0 && incarnation < h.Incarnations[0].Number
}

// WithRecorded returns the incarnations once an entry of a former incarnation is in a block.
func (h *Head) WithRecorded(incarnation, sequence uint64) []Incarnation {
	out := slices.Clone(h.Incarnations)
	for i, listed := range out {
		if listed.Number != incarnation {
			continue
		}
		pending := slices.Clone(listed.PendingSequences)
		for ; listed.NextSequence <= sequence; listed.NextSequence++ {
			pending = append(pending, listed.NextSequence)
		}
		listed.PendingSequences = slices.DeleteFunc(pending, func(number uint64) bool { return number == sequence })
		out[i] = listed
	}
	return out
}

// WithIncarnation returns the incarnations with a new one added; of too many, the oldest are dropped.
func (h *Head) WithIncarnation(added Incarnation) []Incarnation {
	out := append(slices.Clone(h.Incarnations), added)
	return out[max(0, len(out)-maxIncarnations):]
}
