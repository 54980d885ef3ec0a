package audit

import "slices"

// Head is the stored head of a chain: it tells where the chain ends and which entries are in it. Every controller
// watches all heads, because a value no longer needs to carry an entry that is in a block.
type Head struct {
	BlockNumber  uint64        `json:"k"` // of the last block
	MAC          []byte        `json:"c"` // of the last block
	Incarnations []Incarnation `json:"s"` // those that may have entries outside of blocks, oldest first
}

// Incarnation tells which entries of one run of the process are in blocks or never will be: those with a sequence
// number below NextSequence that are not pending.
type Incarnation struct {
	Number           uint64   `json:"l"`
	NextSequence     uint64   `json:"n"`
	PendingSequences []uint64 `json:"o,omitempty"` // sorted
}

// maxIncarnations bounds the incarnations in a head. A controller in a crash loop keeps every former incarnation
// until all pending entries of theirs are in blocks and none of their transactions can be executed late.
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

// WithRecorded returns the incarnations after an entry of a former incarnation is written to a block.
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

// WithIncarnation returns the incarnations with a new one added. Beyond maxIncarnations, the oldest are dropped.
func (h *Head) WithIncarnation(added Incarnation) []Incarnation {
	out := append(slices.Clone(h.Incarnations), added)
	return out[max(0, len(out)-maxIncarnations):]
}
