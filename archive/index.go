package archive

import (
	"container/list"
	"encoding/json"
	"slices"
	"strings"
)

// Index remembers blocks that were read lately, as they are stored, up to so many bytes. A block
// stays exact until a job of its range moves: whoever follows the moves and calls Moved can take
// its word for what is archived and what is not.
type Index struct {
	most  int
	bytes int
	byKey []*known   // in the order of their ranges, which do not overlap
	lru   *list.List // of *known, the one used last in front
	open  []*known   // those whose blocks are decoded, the last one last
}

type known struct {
	low, high string
	mark      uint64
	ledger    uint64
	raw       json.RawMessage
	bad       bool   // it can't be decoded
	block     *Block // decoded, while it is among the open ones
	at        *list.Element
}

const (
	overhead = 200 // bytes a block takes in memory beside its value
	mostOpen = 3   // blocks that are kept decoded, some 100 KB each: a request asks for one several times
)

// NewIndex returns an index of at most so many bytes.
func NewIndex(most int) *Index { return &Index{most: most, lru: list.New()} }

// Bytes is what the index holds.
func (x *Index) Bytes() int { return x.bytes }

// Blocks is how many it holds.
func (x *Index) Blocks() int { return len(x.byKey) }

// Put remembers a block as it was at a revision of the state service; mark is its key's, 0 for the
// empty archive.
func (x *Index) Put(b *Block, raw json.RawMessage, mark, ledger uint64) {
	x.put(&known{low: b.Low, high: b.High, mark: mark, ledger: ledger, raw: raw})
}

// PutBad remembers that the block with this key, which an id led to, can't be decoded.
func (x *Index) PutBad(id, high string, mark, ledger uint64) {
	x.put(&known{low: id, high: high, mark: mark, ledger: ledger, bad: true})
}

func (x *Index) put(k *known) {
	x.byKey = slices.DeleteFunc(x.byKey, func(o *known) bool {
		if o.high <= k.low || k.high <= o.low {
			return false
		}
		x.forget(o)
		return true
	})
	i, _ := slices.BinarySearchFunc(x.byKey, k.high, func(o *known, high string) int { return strings.Compare(o.high, high) })
	x.byKey = slices.Insert(x.byKey, i, k)
	k.at = x.lru.PushFront(k)
	x.bytes += len(k.raw) + overhead
	for x.bytes > x.most && len(x.byKey) > 1 {
		x.drop(x.lru.Back().Value.(*known))
	}
}

func (x *Index) forget(k *known) {
	if k.block != nil {
		k.block = nil
		x.open = slices.DeleteFunc(x.open, func(o *known) bool { return o == k })
	}
	x.bytes -= len(k.raw) + overhead
	x.lru.Remove(k.at)
}

func (x *Index) covering(id string) *known {
	i, _ := slices.BinarySearchFunc(x.byKey, id, func(o *known, id string) int {
		if o.high <= id {
			return -1
		}
		return 1
	})
	if i == len(x.byKey) || x.byKey[i].low > id {
		return nil
	}
	return x.byKey[i]
}

// Moved notes that a job moved into the archive at a revision: what was remembered of its range
// before is not exact any more.
func (x *Index) Moved(id string, mark uint64) {
	if k := x.covering(id); k != nil && k.ledger < mark {
		x.drop(k)
	}
}

// Overtaken notes that a block is not as it was remembered.
func (x *Index) Overtaken(key string) {
	high, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return
	}
	for _, k := range x.byKey {
		if k.high == high {
			x.drop(k)
			return
		}
	}
}

func (x *Index) drop(k *known) {
	x.byKey = slices.DeleteFunc(x.byKey, func(o *known) bool { return o == k })
	x.forget(k)
}

// Clear forgets all.
func (x *Index) Clear() { x.byKey, x.open, x.bytes = nil, nil, 0; x.lru.Init() }

// Block returns the block that covers an id, which must not be changed, with its key's mark, if it is remembered as of a
// revision that no move after since can have changed. ErrCorrupt tells that it can't be read.
func (x *Index) Block(id string, since uint64) (b *Block, mark uint64, err error) {
	k := x.covering(id)
	if k == nil || k.ledger < since {
		return nil, 0, nil
	}
	x.lru.MoveToFront(k.at)
	if k.bad {
		return nil, k.mark, ErrCorrupt
	}
	if k.raw == nil {
		return &Block{Low: k.low, High: k.high}, k.mark, nil
	}
	if k.block == nil {
		if k.block, err = Decode(k.raw); err != nil {
			return nil, k.mark, err
		}
		if x.open = append(x.open, k); len(x.open) > mostOpen {
			x.open[0].block = nil
			x.open = slices.Delete(x.open, 0, 1)
		}
	}
	return k.block, k.mark, nil
}
