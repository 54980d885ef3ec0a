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

func drawEntry(t *rapid.T) Entry {
	e := Entry{
		ID: rapid.StringMatching(`wk-[0-9a-zA-Z_-]{1,12}`).
			Draw(t, "id"),
		Cancelled:      rapid.Bool().Draw(t, "cancelled"),
		CompletedTasks: rapid.IntRange(0, 100_000).Draw(t, "done"),
	}
	if e.Cancelled && rapid.Bool().Draw(t, "by") {
		e.CancelledByJob = "wk-1"
	}
	if rapid.Bool().Draw(t, "group") {
		e.Team, e.Class = rapid.SampledFrom([]string{"t", "u"}).
			Draw(t, "team"),
			rapid.SampledFrom([]string{"c", "d"}).
				Draw(t, "class")
	}
	for range rapid.IntRange(0, 3).Draw(t, "reasons") {
		e.StopReasons = append(
			e.StopReasons,
			StopReason{
				Task:    rapid.IntRange(0, 99).Draw(t, "task"),
				Machine: "m-1",
				Cause:   "idle",
				AtMS:    rapid.Int64().Draw(t, "at"),
			},
		)
	}
	return e
}

func sortedByID(es []Entry) []Entry {
	slices.SortFunc(es, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return es
}

// Whatever moves in whatever groups, under limits that fall meanwhile: each job is found by the
// one read that the state service's order of keys allows, as it was, and nobody else is; no
// transaction is larger than allowed; the blocks' ranges cover all ids without overlap.
func TestEveryArchivedJobIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]json.RawMessage{}
		truth := map[string]Entry{}
		at := func(id string) *Block { // the first key behind the id's
			best := ""
			for k := range store {
				if k > SeekKey(id) && (best == "" || k < best) {
					best = k
				}
			}
			if best == "" {
				return EmptyBlock()
			}
			b, err := Decode(store[best])
			if err != nil || BlockKey(b.High) != best || !b.Covers(id) {
				t.Fatalf("%s led to %s: %v", id, best, err)
			}
			return b
		}
		most, ops := 700, 12
		for range rapid.IntRange(1, 12).Draw(t, "groups") {
			if rapid.IntRange(0, 5).Draw(t, "fall") == 0 {
				most, ops = max(400, most-100), max(2, ops-3)
			}
			var group []Entry
			for range rapid.IntRange(1, 40).Draw(t, "size") {
				e := drawEntry(t)
				if _, ok := truth[e.ID]; !ok {
					group = append(group, e)
				}
			}
			group = slices.CompactFunc(sortedByID(group), func(a, b Entry) bool { return a.ID == b.ID })
			for stuck := 0; len(group) > 0; stuck++ {
				b := at(group[0].ID)
				n := slices.IndexFunc(group, func(e Entry) bool { return !b.Covers(e.ID) })
				if n < 0 {
					n = len(group)
				}
				pieces, k, err := b.PlanMerge(group[:n], most, ops)
				if errors.Is(err, ErrTooManyBlocks) { // a block of the larger limits; what would go there stays
					group = group[n:]
					continue
				}
				if err != nil || len(pieces) == 0 || len(pieces)+k > ops || stuck > 200 {
					t.Fatalf("%d pieces for %d of %d: %v", len(pieces), k, n, err)
				}
				low := b.Low
				for _, p := range pieces {
					if p.Low != low || len(p.Value) > most {
						t.Fatalf("a piece from %q after %q, %d bytes", p.Low, low, len(p.Value))
					}
					low = p.High
					store[BlockKey(p.High)] = p.Value
				}
				if low != b.High {
					t.Fatalf("pieces end at %q, not at %q", low, b.High)
				}
				for _, e := range group[:k] {
					truth[e.ID] = e
				}
				group = group[k:]
			}
		}
		for id, want := range truth {
			if got, ok := at(id).Find(id); !ok || !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: %v %+v, want %+v", id, ok, got, want)
			}
		}
		other := drawEntry(t).ID
		if _, ok := truth[other]; !ok {
			if _, found := at(other).Find(other); found {
				t.Fatalf("%s is found", other)
			}
		}
	})
}

// A move that is made twice changes nothing, and an end that is there stays as it was.
func TestMergeIsIdempotent(t *testing.T) {
	b := EmptyBlock().Merge([]Entry{{ID: "wk-1", CompletedTasks: 1}, {ID: "wk-3", CompletedTasks: 3}})
	again := b.Merge(
		[]Entry{{ID: "wk-1", CompletedTasks: 9}, {ID: "wk-2", CompletedTasks: 2}, {ID: "wk-3", CompletedTasks: 9}},
	)
	want := []Entry{{ID: "wk-1", CompletedTasks: 1}, {ID: "wk-2", CompletedTasks: 2}, {ID: "wk-3", CompletedTasks: 3}}
	if !reflect.DeepEqual(again.Entries, want) || len(b.Entries) != 2 {
		t.Errorf("got %+v", again.Entries)
	}
}

// Any flipped bit of a stored block is an error, and never another answer.
func TestEveryFlippedBitIsDetected(t *testing.T) {
	raw, err := EmptyBlock().Merge([]Entry{
		{ID: "wk-1", CompletedTasks: 1},
		{ID: "wk-3", Cancelled: true, StopReasons: []StopReason{{Cause: "idle"}}},
	}).
		Encode()
	if err != nil {
		t.Fatal(err)
	}
	want, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	for i := range len(raw) * 8 {
		bad := bytes.Clone(raw)
		bad[i/8] ^= 1 << (i % 8)
		if b, err := Decode(bad); err == nil && !reflect.DeepEqual(b, want) ||
			err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("bit %d: %+v %v", i, b, err)
		}
	}
}

// The index stays within its bytes, and gives no block that something moved into.
func TestBlockCacheIsExactAndBounded(t *testing.T) {
	x := NewBlockCache(3 * (blockOverheadBytes + 10))
	put := func(low, high string, mark uint64) {
		x.Put(&Block{Low: low, High: high}, json.RawMessage("          "), mark, mark)
	}
	has := func(id string) bool { _, _, err := x.Lookup(id, 0); return err != nil } // such a value is no block
	put("", "wk-3", 5)
	put("wk-3", "wk-6", 6)
	put("wk-6", MaxID, 7)
	if !has("wk-2") || !has("wk-3") || !has("wk-9") || x.Blocks() != 3 {
		t.Fatal("a block is missing")
	}
	x.InvalidateOlder("wk-4", 6) // that it showed already
	x.InvalidateOlder("wk-7", 8)
	if !has("wk-4") || has("wk-7") {
		t.Error("a move is not told apart")
	}
	put("wk-6", "wk-8", 9) // it was split
	put("wk-8", MaxID, 9)
	if x.Blocks() != 3 || has("wk-2") || x.Bytes() > 3*(blockOverheadBytes+10) {
		t.Errorf("%d blocks, %d bytes", x.Blocks(), x.Bytes())
	}
	x.Invalidate(BlockKey("wk-6"))
	put("wk-1", MaxID, 10) // covers what the others did
	if x.Blocks() != 1 || has("wk-0") || !has("wk-7") {
		t.Error("ranges overlap")
	}
}

// A block is decoded once while it is among the few asked for last, and never older than it was put.
func TestFewBlocksStayDecoded(t *testing.T) {
	x := NewBlockCache(1 << 20)
	put := func(i, done int, mark uint64) {
		id := fmt.Sprintf("wk-%d", i)
		b := &Block{Low: id, High: id + "~", Entries: []Entry{{ID: id, CompletedTasks: done}}}
		raw, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		x.Put(b, raw, mark, mark)
	}
	get := func(i int) *Block {
		b, _, err := x.Lookup(fmt.Sprintf("wk-%d", i), 0)
		if b == nil || err != nil {
			t.Fatal(i, err)
		}
		return b
	}
	for i := range 8 {
		put(i, 1, uint64(i+1))
	}
	first := get(0)
	if get(0) != first {
		t.Error("it is decoded twice")
	}
	for i := range 8 {
		get(i)
	}
	if len(x.decoded) != maxDecodedBlocks || get(0) == first {
		t.Errorf("%d blocks stay decoded", len(x.decoded))
	}
	put(0, 2, 20)
	if e, _ := get(0).Find("wk-0"); e.CompletedTasks != 2 || len(x.decoded) > maxDecodedBlocks {
		t.Errorf("%+v, %d decoded", e, len(x.decoded))
	}
	x.InvalidateOlder("wk-0", 30)
	x.Invalidate(BlockKey("wk-1~"))
	x.Clear()
	if b, _, _ := x.Lookup("wk-0", 0); b != nil || len(x.decoded) != 0 {
		t.Error("what was forgotten is there")
	}
}

func FuzzDecode(f *testing.F) {
	for n := range 4 {
		var es []Entry
		for i := range n {
			es = append(
				es,
				Entry{ID: fmt.Sprintf("wk-%d", i), CompletedTasks: i, Cancelled: i%2 == 0, CancelledByJob: "wk-x"},
			)
		}
		raw, err := EmptyBlock().Merge(es).Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(raw))
	}
	f.Add([]byte(`{"x":"17241709254077376921","z":""}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		c, err := Decode(again)
		if err != nil || !reflect.DeepEqual(b, c) {
			t.Fatalf("%+v became %+v (%v)", b, c, err)
		}
	})
}

// BenchmarkTake moves a group into a block of the usual size, and reports what a job takes there.
func BenchmarkTake(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	block := EmptyBlock()
	var raw json.RawMessage
	for {
		var group []Entry
		for range 50 {
			group = append(
				group,
				Entry{ID: fmt.Sprintf("wk-%06d", rng.IntN(1_000_000)), CompletedTasks: 1 + rng.IntN(90)},
			)
		}
		next := block.Merge(slices.CompactFunc(sortedByID(group), func(a, b Entry) bool { return a.ID == b.ID }))
		enc, err := next.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if len(enc) > 8192 {
			break
		}
		block, raw = next, enc
	}
	group := sortedByID(
		[]Entry{{ID: "wk-x1", CompletedTasks: 4}, {ID: "wk-x2", CompletedTasks: 5}, {ID: "wk-x3", CompletedTasks: 6}},
	)
	for b.Loop() {
		old, err := Decode(raw)
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := old.PlanMerge(group, 8192, 12); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw))/float64(len(block.Entries)), "B/job")
	b.ReportMetric(float64(len(block.Entries)), "jobs/block")
}
