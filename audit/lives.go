package audit

import "slices"

// Head is what the state service holds of a chain beside its blocks: where it ends, and which entries are in it.
// Every controller follows all heads: an entry that a value carries may be dropped from it once it is in a block.
type Head struct {
	Number uint64 `json:"k"` // of the last block
	Code   []byte `json:"c"` // its code
	Lives  []Life `json:"s"` // those of which something may not be in blocks, oldest first
}

// Life tells which entries of a process's life are in blocks, or will never be: those below Next that are not open.
type Life struct {
	Life uint64   `json:"l"`
	Next uint64   `json:"n"`
	Open []uint64 `json:"o,omitempty"` // sorted
}

// mostLives bounds the lives. A controller that was ended time and again before it had put what its former lives have left
// into blocks keeps them all; they are forgotten once that is done, and no act of theirs can be executed late.
const mostLives = 100

// Has reports whether an entry is in a block. A former life that is not listed has left nothing open.
func (h *Head) Has(life, count uint64) bool {
	for _, l := range h.Lives {
		if l.Life == life {
			_, open := slices.BinarySearch(l.Open, count)
			return count < l.Next && !open
		}
	}
	return len(h.Lives) > 0 && life < h.Lives[0].Life
}

// With returns the lives once an entry of a former life is in a block.
func (h *Head) With(life, count uint64) []Life {
	out := slices.Clone(h.Lives)
	for i, l := range out {
		if l.Life != life {
			continue
		}
		open := slices.Clone(l.Open)
		for ; l.Next <= count; l.Next++ {
			open = append(open, l.Next)
		}
		l.Open = slices.DeleteFunc(open, func(x uint64) bool { return x == count })
		out[i] = l
	}
	return out
}

// Begin returns the lives with a new one.
func (h *Head) Begin(l Life) []Life {
	out := append(slices.Clone(h.Lives), l)
	return out[max(0, len(out)-mostLives):]
}
