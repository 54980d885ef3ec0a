package archive

import (
	"container/list"
	"encoding/json"
	"slices"
	"strings"
)

// BlockCache remembers blocks that were read lately, as they are stored, up to so many bytes. A block
// stays exact until a job of its range moves: whoever follows the moves and calls Moved can take
// its word for what is archived and what is not.
type BlockCache struct {
	maxBytes  int
	usedBytes int
	byRange   []*cachedBlock // in the order of their ranges, which do not overlap
	lru       *list.List     // of *known, the one used last in front
	decoded   []*cachedBlock // those whose blocks are decoded, the last one last
}

type cachedBlock struct {
	low, high    string
	revision     uint64
	readRevision uint64
	raw          json.RawMessage
	corrupt      bool   // it can't be decoded
	block        *Block // decoded, while it is among the open ones
	lruElement   *list.Element
}

const (
	blockOverheadBytes = 200 // bytes a block takes in memory beside its value
	maxDecodedBlocks   = 3   // blocks that are kept decoded, some 100 KB each: a request asks for one several times
)

// NewBlockCache returns an index of at most so many bytes.
func NewBlockCache(most int) *BlockCache { return &BlockCache{maxBytes: most, lru: list.New()} }

// Bytes is what the index holds.
func (x *BlockCache) Bytes() int { return x.usedBytes }

// Blocks is how many it holds.
func (x *BlockCache) Blocks() int { return len(x.byRange) }

// Put remembers a block as it was at a revision of the state service; mark is its key's, 0 for the
// empty archive.
func (x *BlockCache) Put(b *Block, raw json.RawMessage, revision, readRevision uint64) {
	x.insert(&cachedBlock{low: b.Low, high: b.High, revision: revision, readRevision: readRevision, raw: raw})
}

// PutCorrupt remembers that the block with this key, which an id led to, can't be decoded.
func (x *BlockCache) PutCorrupt(id, high string, revision, readRevision uint64) {
	x.insert(&cachedBlock{low: id, high: high, revision: revision, readRevision: readRevision, corrupt: true})
}

func (x *BlockCache) insert(k *cachedBlock) {
	x.byRange = slices.DeleteFunc(x.byRange, func(o *cachedBlock) bool {
		if o.high <= k.low || k.high <= o.low {
			return false
		}
		x.release(o)
		return true
	})
	i, _ := slices.BinarySearchFunc(
		x.byRange,
		k.high,
		func(o *cachedBlock, high string) int { return strings.Compare(o.high, high) },
	)
	x.byRange = slices.Insert(x.byRange, i, k)
	k.lruElement = x.lru.PushFront(k)
	x.usedBytes += len(k.raw) + blockOverheadBytes
	for x.usedBytes > x.maxBytes && len(x.byRange) > 1 {
		x.evict(x.lru.Back().Value.(*cachedBlock))
	}
}

func (x *BlockCache) release(k *cachedBlock) {
	if k.block != nil {
		k.block = nil
		x.decoded = slices.DeleteFunc(x.decoded, func(o *cachedBlock) bool { return o == k })
	}
	x.usedBytes -= len(k.raw) + blockOverheadBytes
	x.lru.Remove(k.lruElement)
}

func (x *BlockCache) find(id string) *cachedBlock {
	i, _ := slices.BinarySearchFunc(x.byRange, id, func(o *cachedBlock, id string) int {
		if o.high <= id {
			return -1
		}
		return 1
	})
	if i == len(x.byRange) || x.byRange[i].low > id {
		return nil
	}
	return x.byRange[i]
}

// InvalidateOlder notes that a job moved into the archive at a revision: what was remembered of its range
// before is not exact any more.
func (x *BlockCache) InvalidateOlder(id string, revision uint64) {
	if k := x.find(id); k != nil && k.readRevision < revision {
		x.evict(k)
	}
}

// Invalidate notes that a block is not as it was remembered.
func (x *BlockCache) Invalidate(key string) {
	high, ok := strings.CutPrefix(key, BlockPrefix)
	if !ok {
		return
	}
	for _, k := range x.byRange {
		if k.high == high {
			x.evict(k)
			return
		}
	}
}

func (x *BlockCache) evict(k *cachedBlock) {
	x.byRange = slices.DeleteFunc(x.byRange, func(o *cachedBlock) bool { return o == k })
	x.release(k)
}

// Clear forgets all.
func (x *BlockCache) Clear() { x.byRange, x.decoded, x.usedBytes = nil, nil, 0; x.lru.Init() }

// Lookup returns the block that covers an id, which must not be changed, with its key's mark, if it
// is remembered as of a revision that no move after since can have changed. ErrCorrupt tells that
// it can't be read.
func (x *BlockCache) Lookup(id string, since uint64) (b *Block, revision uint64, err error) {
	k := x.find(id)
	if k == nil || k.readRevision < since {
		return nil, 0, nil
	}
	x.lru.MoveToFront(k.lruElement)
	if k.corrupt {
		return nil, k.revision, ErrCorrupt
	}
	if k.raw == nil {
		return &Block{Low: k.low, High: k.high}, k.revision, nil
	}
	if k.block == nil {
		if k.block, err = Decode(k.raw); err != nil {
			return nil, k.revision, err
		}
		if x.decoded = append(x.decoded, k); len(x.decoded) > maxDecodedBlocks {
			x.decoded[0].block = nil
			x.decoded = slices.Delete(x.decoded, 0, 1)
		}
	}
	return k.block, k.revision, nil
}
