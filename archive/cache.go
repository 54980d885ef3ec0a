package archive

import (
	"container/list"
	"encoding/json"
	"slices"
	"strings"
)

// BlockCache caches stored blocks up to a number of bytes. A block stays exact until a job of its range is
// archived. As long as all moves are reported to InvalidateOlder, a cached block shows which jobs are
// archived and which are not.
type BlockCache struct {
	maxBytes  int
	usedBytes int
	byRange   []*cachedBlock // ordered by range; the ranges do not overlap
	lru       *list.List     // of *cachedBlock, most recently used first
	decoded   []*cachedBlock // the blocks that are kept decoded, most recently decoded last
}

// cachedBlock is a block in the cache.
type cachedBlock struct {
	low, high    string
	revision     uint64 // of the block's key; 0: the archive is empty
	readRevision uint64 // revision of the store as of which the block is exact
	raw          json.RawMessage
	corrupt      bool   // the block can't be decoded
	block        *Block // decoded block; nil if it is not kept
	lruElement   *list.Element
}

const (
	blockOverheadBytes = 200 // memory of a block in addition to its value
	maxDecodedBlocks   = 3   // of about 100 KB each; a request accesses the same block several times
)

// NewBlockCache returns an empty cache of at most maxBytes.
func NewBlockCache(maxBytes int) *BlockCache {
	return &BlockCache{maxBytes: maxBytes, lru: list.New()}
}

// Bytes returns the memory used by the cached blocks.
func (x *BlockCache) Bytes() int { return x.usedBytes }

// Blocks returns the number of cached blocks.
func (x *BlockCache) Blocks() int { return len(x.byRange) }

// Put caches a block as read at readRevision of the store. revision is that of the block's key, or 0 for the
// empty archive.
func (x *BlockCache) Put(b *Block, raw json.RawMessage, revision, readRevision uint64) {
	x.insert(&cachedBlock{low: b.Low, high: b.High, revision: revision, readRevision: readRevision, raw: raw})
}

// PutCorrupt records that the block for an ID, whose range should end before high, can't be decoded. The
// start of its range is then unknown, so the record covers the IDs from the given one on.
func (x *BlockCache) PutCorrupt(id, high string, revision, readRevision uint64) {
	x.insert(&cachedBlock{low: id, high: high, revision: revision, readRevision: readRevision, corrupt: true})
}

// insert adds a block, and removes blocks that overlap with it or make the cache exceed maxBytes. The added
// block is kept whatever its size.
func (x *BlockCache) insert(added *cachedBlock) {
	x.byRange = slices.DeleteFunc(x.byRange, func(other *cachedBlock) bool {
		if other.high <= added.low || added.high <= other.low {
			return false
		}
		x.release(other)
		return true
	})
	i, _ := slices.BinarySearchFunc(x.byRange, added.high, func(other *cachedBlock, high string) int {
		return strings.Compare(other.high, high)
	})
	x.byRange = slices.Insert(x.byRange, i, added)
	added.lruElement = x.lru.PushFront(added)
	x.usedBytes += len(added.raw) + blockOverheadBytes
	for x.usedBytes > x.maxBytes && len(x.byRange) > 1 {
		x.evict(x.lru.Back().Value.(*cachedBlock))
	}
}

// release removes a dropped block from everything but byRange.
func (x *BlockCache) release(dropped *cachedBlock) {
	if dropped.block != nil {
		dropped.block = nil
		x.decoded = slices.DeleteFunc(x.decoded, func(other *cachedBlock) bool { return other == dropped })
	}
	x.usedBytes -= len(dropped.raw) + blockOverheadBytes
	x.lru.Remove(dropped.lruElement)
}

// find returns the cached block whose range covers an ID, or nil.
func (x *BlockCache) find(id string) *cachedBlock {
	i, _ := slices.BinarySearchFunc(x.byRange, id, func(candidate *cachedBlock, id string) int {
		if candidate.high <= id {
			return -1
		}
		return 1
	})
	if i == len(x.byRange) || x.byRange[i].low > id {
		return nil
	}
	return x.byRange[i]
}

// InvalidateOlder drops the block for an ID if it was read before the given revision, at which the job was
// archived: the block is no longer exact.
func (x *BlockCache) InvalidateOlder(id string, revision uint64) {
	if cached := x.find(id); cached != nil && cached.readRevision < revision {
		x.evict(cached)
	}
}

// Invalidate drops the block with a key.
func (x *BlockCache) Invalidate(key string) {
	high, ok := strings.CutPrefix(key, BlockPrefix)
	if !ok {
		return
	}
	for _, cached := range x.byRange {
		if cached.high == high {
			x.evict(cached)
			return
		}
	}
}

// evict drops a block.
func (x *BlockCache) evict(dropped *cachedBlock) {
	x.byRange = slices.DeleteFunc(x.byRange, func(other *cachedBlock) bool { return other == dropped })
	x.release(dropped)
}

// Clear drops all blocks.
func (x *BlockCache) Clear() {
	x.byRange, x.decoded, x.usedBytes = nil, nil, 0
	x.lru.Init()
}

// Lookup returns the block that covers an ID and the revision of its key, if the block is cached and was read
// at revision since or later; otherwise it returns nil. The block must not be modified. The error wraps
// ErrCorrupt if the block can't be decoded.
func (x *BlockCache) Lookup(id string, since uint64) (b *Block, revision uint64, err error) {
	cached := x.find(id)
	if cached == nil || cached.readRevision < since {
		return nil, 0, nil
	}
	x.lru.MoveToFront(cached.lruElement)
	if cached.corrupt {
		return nil, cached.revision, ErrCorrupt
	}
	if cached.raw == nil {
		return &Block{Low: cached.low, High: cached.high}, cached.revision, nil
	}
	if cached.block == nil {
		if cached.block, err = Decode(cached.raw); err != nil {
			return nil, cached.revision, err
		}
		x.keepDecoded(cached)
	}
	return cached.block, cached.revision, nil
}

// keepDecoded keeps a decoded block, and drops the one decoded first if there are too many.
func (x *BlockCache) keepDecoded(cached *cachedBlock) {
	x.decoded = append(x.decoded, cached)
	if len(x.decoded) > maxDecodedBlocks {
		x.decoded[0].block = nil
		x.decoded = slices.Delete(x.decoded, 0, 1)
	}
}
