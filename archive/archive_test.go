package archive

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawEntry draws an arbitrary ended job.
func drawEntry(t *rapid.T) Entry {
	entry := Entry{
		ID:             rapid.StringMatching(`wk-[0-9a-zA-Z_-]{1,12}`).Draw(t, "id"),
		Cancelled:      rapid.Bool().Draw(t, "cancelled"),
		CompletedTasks: rapid.IntRange(0, 100_000).Draw(t, "done"),
	}
	if entry.Cancelled && rapid.Bool().Draw(t, "by") {
		entry.CancelledByJob = "wk-1"
	}
	if rapid.Bool().Draw(t, "group") {
		entry.Team = rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team")
		entry.Class = rapid.SampledFrom([]string{"c", "d"}).Draw(t, "class")
	}
	for range rapid.IntRange(0, 3).Draw(t, "reasons") {
		entry.StopReasons = append(entry.StopReasons, StopReason{
			Task:    rapid.IntRange(0, 99).Draw(t, "task"),
			Machine: "m-1",
			Cause:   "idle",
			AtMS:    rapid.Int64().Draw(t, "at"),
		})
	}
	return entry
}

// sortedByID sorts entries as PlanMerge expects them.
func sortedByID(entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

// withoutRepeats removes entries with the same ID as the previous one.
func withoutRepeats(entries []Entry) []Entry {
	return slices.CompactFunc(entries, func(a, b Entry) bool { return a.ID == b.ID })
}

// testArchive is an archive in a store with ordered keys, with the entries that it should contain.
type testArchive struct {
	stored   map[string]json.RawMessage
	want     map[string]Entry
	maxBytes int
	maxOps   int
}

// blockFor finds the block for an ID by one read: it is stored under the first key after the seek key of the
// ID.
func (a *testArchive) blockFor(t *rapid.T, id string) *Block {
	t.Helper()
	first := ""
	for key := range a.stored {
		if key > SeekKey(id) && (first == "" || key < first) {
			first = key
		}
	}
	if first == "" {
		return EmptyBlock()
	}
	block, err := Decode(a.stored[first])
	if err != nil || BlockKey(block.High) != first || !block.Covers(id) {
		t.Fatalf("the read for %s found the wrong block %s: %v", id, first, err)
	}
	return block
}

// drawGroup draws new entries, sorted by ID.
func (a *testArchive) drawGroup(t *rapid.T) (group []Entry) {
	for range rapid.IntRange(1, 40).Draw(t, "size") {
		entry := drawEntry(t)
		if _, ok := a.want[entry.ID]; !ok {
			group = append(group, entry)
		}
	}
	return withoutRepeats(sortedByID(group))
}

// move archives a group of entries. It skips those for a block that can't be split under the current limits.
func (a *testArchive) move(t *rapid.T, group []Entry) {
	t.Helper()
	for attempts := 0; len(group) > 0; attempts++ {
		block := a.blockFor(t, group[0].ID)
		count := slices.IndexFunc(group, func(e Entry) bool { return !block.Covers(e.ID) })
		if count < 0 {
			count = len(group)
		}
		blocks, moved, err := block.PlanMerge(group[:count], a.maxBytes, a.maxOps)
		if errors.Is(err, ErrTooManyBlocks) { // a block written under larger limits
			group = group[count:]
			continue
		}
		if err != nil || len(blocks) == 0 || len(blocks)+moved > a.maxOps || attempts > 200 {
			t.Fatalf("%d blocks for %d of %d entries: %v", len(blocks), moved, count, err)
		}
		a.store(t, block, blocks)
		for _, entry := range group[:moved] {
			a.want[entry.ID] = entry
		}
		group = group[moved:]
	}
}

// store replaces a block by others, which must cover its range without a gap or an overlap.
func (a *testArchive) store(t *rapid.T, replaced *Block, blocks []EncodedBlock) {
	t.Helper()
	low := replaced.Low
	for _, block := range blocks {
		if block.Low != low || len(block.Value) > a.maxBytes {
			t.Fatalf("a block starts at %q, want %q; it has %d bytes", block.Low, low, len(block.Value))
		}
		low = block.High
		a.stored[BlockKey(block.High)] = block.Value
	}
	if low != replaced.High {
		t.Fatalf("the blocks end at %q, want %q", low, replaced.High)
	}
}

// However jobs are grouped into moves, and even if the limits decrease in between: each archived job must be
// found unchanged by one read, no other job may be found, no transaction may exceed the limits, and the
// ranges of the blocks must cover all IDs without overlap.
func TestEveryArchivedJobIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		archive := &testArchive{
			stored:   map[string]json.RawMessage{},
			want:     map[string]Entry{},
			maxBytes: 700,
			maxOps:   12,
		}
		for range rapid.IntRange(1, 12).Draw(t, "groups") {
			if rapid.IntRange(0, 5).Draw(t, "fall") == 0 {
				archive.maxBytes, archive.maxOps = max(400, archive.maxBytes-100), max(2, archive.maxOps-3)
			}
			archive.move(t, archive.drawGroup(t))
		}
		for id, want := range archive.want {
			if got, ok := archive.blockFor(t, id).Find(id); !ok || !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: %v %+v, want %+v", id, ok, got, want)
			}
		}
		other := drawEntry(t).ID
		if _, ok := archive.want[other]; !ok {
			if _, found := archive.blockFor(t, other).Find(other); found {
				t.Fatalf("%s was found but not archived", other)
			}
		}
	})
}

// A repeated move must change nothing, and an archived entry must stay unchanged.
func TestMergeIsIdempotent(t *testing.T) {
	block := EmptyBlock().Merge([]Entry{{ID: "wk-1", CompletedTasks: 1}, {ID: "wk-3", CompletedTasks: 3}})
	again := block.Merge(
		[]Entry{{ID: "wk-1", CompletedTasks: 9}, {ID: "wk-2", CompletedTasks: 2}, {ID: "wk-3", CompletedTasks: 9}},
	)
	want := []Entry{{ID: "wk-1", CompletedTasks: 1}, {ID: "wk-2", CompletedTasks: 2}, {ID: "wk-3", CompletedTasks: 3}}
	if !reflect.DeepEqual(again.Entries, want) || len(block.Entries) != 2 {
		t.Errorf("got %+v", again.Entries)
	}
}

// A flipped bit in a stored block must cause an error or leave the decoded content unchanged.
func TestEveryFlippedBitIsDetected(t *testing.T) {
	raw, err := EmptyBlock().Merge([]Entry{
		{ID: "wk-1", CompletedTasks: 1},
		{ID: "wk-3", Cancelled: true, StopReasons: []StopReason{{Cause: "idle"}}},
	}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	want, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	for i := range len(raw) * 8 {
		damaged := bytes.Clone(raw)
		damaged[i/8] ^= 1 << (i % 8)
		if got, err := Decode(damaged); err == nil && !reflect.DeepEqual(got, want) ||
			err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("bit %d: %+v %v", i, got, err)
		}
	}
}

// The cache must stay within its size, and must not return a block that a job was moved into after the block
// was read.
func TestBlockCacheIsExactAndBounded(t *testing.T) {
	cache := NewBlockCache(3 * (blockOverheadBytes + 10))
	put := func(low, high string, revision uint64) {
		cache.Put(&Block{Low: low, High: high}, json.RawMessage("          "), revision, revision)
	}
	has := func(id string) bool {
		_, _, err := cache.Lookup(id, 0)
		return err != nil // the cached value is not a valid block, so a lookup that finds it fails
	}
	put("", "wk-3", 5)
	put("wk-3", "wk-6", 6)
	put("wk-6", MaxID, 7)
	if !has("wk-2") || !has("wk-3") || !has("wk-9") || cache.Blocks() != 3 {
		t.Fatal("a block is missing")
	}
	cache.InvalidateOlder("wk-4", 6) // the block already contains this move
	cache.InvalidateOlder("wk-7", 8)
	if !has("wk-4") || has("wk-7") {
		t.Error("a block must be invalidated by a move after it was read, and only then")
	}
	put("wk-6", "wk-8", 9) // a split
	put("wk-8", MaxID, 9)
	if cache.Blocks() != 3 || has("wk-2") || cache.Bytes() > 3*(blockOverheadBytes+10) {
		t.Errorf("%d blocks, %d bytes", cache.Blocks(), cache.Bytes())
	}
	cache.Invalidate(BlockKey("wk-6"))
	put("wk-1", MaxID, 10) // covers the ranges of others
	if cache.Blocks() != 1 || has("wk-0") || !has("wk-7") {
		t.Error("overlapping blocks were not removed")
	}
}

// The most recently decoded blocks must not be decoded again, and a newer version must replace them.
func TestDecodedBlocksAreBounded(t *testing.T) {
	cache := NewBlockCache(1 << 20)
	put := func(i, completedTasks int, revision uint64) {
		id := fmt.Sprintf("wk-%d", i)
		block := &Block{Low: id, High: id + "~", Entries: []Entry{{ID: id, CompletedTasks: completedTasks}}}
		raw, err := block.Encode()
		if err != nil {
			t.Fatal(err)
		}
		cache.Put(block, raw, revision, revision)
	}
	get := func(i int) *Block {
		block, _, err := cache.Lookup(fmt.Sprintf("wk-%d", i), 0)
		if block == nil || err != nil {
			t.Fatal(i, err)
		}
		return block
	}
	for i := range 8 {
		put(i, 1, uint64(i+1))
	}
	first := get(0)
	if get(0) != first {
		t.Error("the block was decoded twice")
	}
	for i := range 8 {
		get(i)
	}
	if len(cache.decoded) != maxDecodedBlocks || get(0) == first {
		t.Errorf("%d blocks are kept decoded", len(cache.decoded))
	}
	put(0, 2, 20)
	if e, _ := get(0).Find("wk-0"); e.CompletedTasks != 2 || len(cache.decoded) > maxDecodedBlocks {
		t.Errorf("%+v, %d decoded", e, len(cache.decoded))
	}
	cache.InvalidateOlder("wk-0", 30)
	cache.Invalidate(BlockKey("wk-1~"))
	cache.Clear()
	if block, _, _ := cache.Lookup("wk-0", 0); block != nil || len(cache.decoded) != 0 {
		t.Error("a cleared block is still cached")
	}
}

// FuzzDecode checks that a decoded value stays the same when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for count := range 4 {
		var entries []Entry
		for i := range count {
			entries = append(entries, Entry{
				ID:             fmt.Sprintf("wk-%d", i),
				CompletedTasks: i,
				Cancelled:      i%2 == 0,
				CancelledByJob: "wk-x",
			})
		}
		raw, err := EmptyBlock().Merge(entries).Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(raw))
	}
	f.Add([]byte(`{"x":"17241709254077376921","z":""}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		block, err := Decode(raw)
		if err != nil {
			return
		}
		encoded, err := block.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(block, again) {
			t.Fatalf("%+v became %+v (%v)", block, again, err)
		}
	})
}

// BenchmarkPlanMerge merges a group into a block of the usual size, and reports the bytes per job.
func BenchmarkPlanMerge(b *testing.B) {
	const maxBytes = 8192
	rng := rand.New(rand.NewPCG(1, 2))
	block := EmptyBlock()
	var raw json.RawMessage
	for {
		var group []Entry
		for range 50 {
			id := fmt.Sprintf("wk-%06d", rng.IntN(1_000_000))
			group = append(group, Entry{ID: id, CompletedTasks: 1 + rng.IntN(90)})
		}
		next := block.Merge(withoutRepeats(sortedByID(group)))
		encoded, err := next.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if len(encoded) > maxBytes {
			break
		}
		block, raw = next, encoded
	}
	group := sortedByID(
		[]Entry{{ID: "wk-x1", CompletedTasks: 4}, {ID: "wk-x2", CompletedTasks: 5}, {ID: "wk-x3", CompletedTasks: 6}},
	)
	for b.Loop() {
		old, err := Decode(raw)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := old.PlanMerge(group, maxBytes, 12); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw))/float64(len(block.Entries)), "B/job")
	b.ReportMetric(float64(len(block.Entries)), "jobs/block")
}
