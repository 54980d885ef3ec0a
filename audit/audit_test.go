package audit

import (
	"dewlift/archive"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "dewlift/proto"
)

var key = Key("a key of more than thirty-two bytes")

// newChain makes blocks of so many entries each.
func newChain(t testing.TB, sizes ...int) (raws []json.RawMessage) {
	t.Helper()
	h := &Head{}
	count := uint64(0)
	for _, n := range sizes {
		var list [][]byte
		for range n {
			count++
			list = append(
				list,
				Encode(
					&pb.AuditEntry{
						Life:   1,
						Count:  count,
						AtMs:   int64(count) * 1000,
						Who:    "anna",
						Verb:   "submit",
						Object: fmt.Sprintf("wk-%d", count),
					},
				),
			)
		}
		raw, took, code, err := key.EncodeNextBlock(h, "n0", 500, list, 1<<20)
		if err != nil || took != n {
			t.Fatal(took, err)
		}
		raws = append(raws, raw)
		h = &Head{BlockNumber: h.BlockNumber + 1, MAC: code}
	}
	return raws
}

func verifyChain(raws []json.RawMessage, numbers ...uint64) (*ChainVerifier, error) {
	c := &ChainVerifier{Node: "n0", Keys: []Key{Key("another key, which is of no use"), key}}
	for i, raw := range raws {
		n := uint64(i + 1)
		if i < len(numbers) {
			n = numbers[i]
		}
		if _, err := c.VerifyNext(n, raw); err != nil {
			return c, err
		}
	}
	return c, nil
}

// alterBlock changes a block as whoever holds the state service could, digest and all.
func alterBlock(t testing.TB, raw json.RawMessage, f func(b *pb.AuditBlock)) json.RawMessage {
	t.Helper()
	var b pb.AuditBlock
	if err := archive.Unpack(raw, &b); err != nil {
		t.Fatal(err)
	}
	f(&b)
	out, err := archive.Pack(&b)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Whatever is done to a chain without its key, the first entry or block that is not as it was written is named.
func TestEveryAlterationIsLocated(t *testing.T) {
	raws := newChain(t, 3, 4, 2)
	if c, err := verifyChain(raws); err != nil || c.BlockNumber != 3 || c.EntryCount != 9 {
		t.Fatalf("a whole chain: %+v, %v", c, err)
	}
	entry := func(i int, f func(e *pb.AuditEntry)) func(b *pb.AuditBlock) {
		return func(b *pb.AuditBlock) {
			var e pb.AuditEntry
			if err := protobuf.Unmarshal(b.Entries[i], &e); err != nil {
				t.Fatal(err)
			}
			f(&e)
			b.Entries[i] = Encode(&e)
		}
	}
	cut := func(b *pb.AuditBlock, i, j int) {
		b.Entries = slices.Delete(b.Entries, i, j)
		b.Tags = slices.Delete(b.Tags, i*tagBytes, j*tagBytes)
	}
	for name, x := range map[string]struct {
		f     func(b *pb.AuditBlock)
		entry int
	}{
		"altered":       {entry(2, func(e *pb.AuditEntry) { e.Who = "potter" }), 3},
		"time altered":  {entry(0, func(e *pb.AuditEntry) { e.AtMs++ }), 1},
		"first removed": {func(b *pb.AuditBlock) { cut(b, 0, 1) }, 1},
		"last removed":  {func(b *pb.AuditBlock) { cut(b, 3, 4) }, 4},
		"last removed, code of what is left": {func(b *pb.AuditBlock) {
			cut(b, 3, 4)
			b.Code = append(slices.Clone(b.Tags[len(b.Tags)-tagBytes:]), make([]byte, 24)...)
		}, 4},
		"added": {func(b *pb.AuditBlock) {
			b.Entries = slices.Insert(b.Entries, 1, b.Entries[0])
			b.Tags = slices.Insert(b.Tags, tagBytes, b.Tags[:tagBytes]...)
		}, 2},
		"appended": {func(b *pb.AuditBlock) {
			b.Entries = append(b.Entries, b.Entries[0])
			b.Tags = append(b.Tags, b.Tags[:tagBytes]...)
		}, 5},
		"swapped": {
			func(b *pb.AuditBlock) { b.Entries[1], b.Entries[2] = b.Entries[2], b.Entries[1] },
			2,
		},
		"bound":  {func(b *pb.AuditBlock) { b.BoundMs = 1 }, 1},
		"node":   {func(b *pb.AuditBlock) { b.Node = "n1" }, 0},
		"number": {func(b *pb.AuditBlock) { b.Number = 7 }, 0},
		"key":    {func(b *pb.AuditBlock) { b.KeyId = []byte("mine") }, 0},
		"other key of the verifier": {
			func(b *pb.AuditBlock) { b.KeyId = Key("another key, which is of no use").ID() },
			1,
		},
		"prev":    {func(b *pb.AuditBlock) { b.Prev[0]++ }, 0},
		"code":    {func(b *pb.AuditBlock) { b.Code[31]++ }, 5},
		"tags":    {func(b *pb.AuditBlock) { b.Tags = b.Tags[:8] }, 2},
		"no tags": {func(b *pb.AuditBlock) { b.Tags, b.Entries = nil, nil }, 1},
	} {
		bad := slices.Clone(raws)
		bad[1] = alterBlock(t, raws[1], x.f)
		_, err := verifyChain(bad)
		if f := (*Fault)(nil); !errors.As(err, &f) || f.Block != 2 || f.Entry != x.entry ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, x := range map[string]struct {
		raws    []json.RawMessage
		numbers []uint64
		block   uint64
	}{
		"a block removed":                {[]json.RawMessage{raws[0], raws[2]}, []uint64{1, 3}, 2},
		"a block removed, renumbered":    {[]json.RawMessage{raws[0], raws[2]}, nil, 2},
		"blocks swapped":                 {[]json.RawMessage{raws[1], raws[0], raws[2]}, nil, 1},
		"the first block removed":        {raws[1:], []uint64{2, 3}, 1},
		"a block replaced by an other's": {[]json.RawMessage{raws[0], newChain(t, 4, 4)[1], raws[2]}, nil, 2},
		"a block that is none": {
			[]json.RawMessage{raws[0], json.RawMessage(`{"x":"1","z":"AAAA"}`)},
			nil,
			2,
		},
	} {
		_, err := verifyChain(x.raws, x.numbers...)
		if f := (*Fault)(nil); !errors.As(err, &f) || f.Block != x.block {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A block takes what fits its value, and an entry that no value can hold is an error, not a loop.
func TestBlockHoldsWhatFits(t *testing.T) {
	var list [][]byte
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		list = append(list, Encode(&pb.AuditEntry{Count: uint64(i), Object: fmt.Sprint(r.Uint64())}))
	}
	raw, n, _, err := key.EncodeNextBlock(&Head{}, "n0", 0, list, 2048)
	if err != nil || n < 20 || n >= 300 || len(raw) > 2048 {
		t.Errorf("%d entries in %d bytes, %v", n, len(raw), err)
	}
	if _, n, _, err := key.EncodeNextBlock(&Head{}, "n0", 0, list, 100); err == nil || n != 0 {
		t.Errorf("%d entries in 100 bytes, %v", n, err)
	}
}

// A carried entry is good for its value and its controller alone.
func TestPendingEntriesCannotBeMovedOrForged(t *testing.T) {
	c := key.SignEntry("n0", "dl/job/wk-1", &pb.AuditEntry{Life: 3, Count: 4, Who: "anna", Verb: "submit"})
	if e, err := key.VerifyEntry("dl/job/wk-1", &c); err != nil || e.Who != "anna" {
		t.Fatal(e, err)
	}
	for name, f := range map[string]func(c *PendingEntry) string{
		"another value": func(*PendingEntry) string { return "dl/job/wk-2" },
		"another node":  func(c *PendingEntry) string { c.Node = "n1"; return "dl/job/wk-1" },
		"another life":  func(c *PendingEntry) string { c.Incarnation++; return "dl/job/wk-1" },
		"another count": func(c *PendingEntry) string { c.Sequence++; return "dl/job/wk-1" },
		"another tag":   func(c *PendingEntry) string { c.MAC = []byte{1}; return "dl/job/wk-1" },
		"another entry": func(c *PendingEntry) string {
			c.Entry = Encode(&pb.AuditEntry{Life: 3, Count: 4, Who: "potter", Verb: "submit"})
			return "dl/job/wk-1"
		},
	} {
		x := c
		at := f(&x)
		if _, err := key.VerifyEntry(at, &x); !errors.Is(err, ErrForged) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Lives tell of every entry whether it is in a block, in whatever order those of former lives are put.
func TestHeadTellsWhatIsRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &Head{}
		in := map[[2]uint64]bool{}
		next := map[uint64]uint64{} // of former lives, the counts that may be
		for life := uint64(1); life <= 6; life++ {
			h = &Head{Incarnations: h.WithIncarnation(Incarnation{Number: life, NextSequence: 1})}
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				l := rapid.Uint64Range(1, life).Draw(t, "life")
				n := rapid.Uint64Range(1, next[l]+3).Draw(t, "count")
				next[l] = max(next[l], n)
				if !in[[2]uint64{l, n}] {
					h = &Head{Incarnations: h.WithRecorded(l, n)}
					in[[2]uint64{l, n}] = true
				}
			}
			for l := uint64(1); l <= life; l++ {
				for n := uint64(1); n <= next[l]+3; n++ {
					if h.Contains(l, n) != in[[2]uint64{l, n}] {
						t.Fatalf(
							"entry %d of life %d: %v, should be %v: %+v",
							n,
							l,
							h.Contains(l, n),
							in[[2]uint64{l, n}],
							h.Incarnations,
						)
					}
				}
			}
		}
	})
	h := &Head{}
	for life := uint64(1); life <= 2*maxIncarnations; life++ {
		h.Incarnations = h.WithIncarnation(Incarnation{Number: life, NextSequence: 5})
	}
	if len(h.Incarnations) != maxIncarnations || !h.Contains(1, 9) || h.Contains(maxIncarnations+1, 9) ||
		h.Contains(2*maxIncarnations, 9) ||
		h.Contains(2*maxIncarnations+1, 1) ||
		(&Head{}).Contains(1, 1) {
		t.Errorf("%+v", h.Incarnations)
	}
}

// A flood takes bounded room and is counted whole.
func TestFloodIsCountedInBoundedMemory(t *testing.T) {
	g := Aggregator{MaxBytes: 4096}
	for i := range 200_000 {
		g.Add(
			GatheredEvent{
				Identity: fmt.Sprint("w", i%5000),
				Verb:     "GET",
				Object:   fmt.Sprint("/v1/jobs/wk-", i),
				Reason:   strings.Repeat("x", 500),
			},
			1,
		)
	}
	if g.usedBytes > 4*4096 || g.Len() > 1000 {
		t.Errorf("%d kinds in %d bytes", g.Len(), g.usedBytes)
	}
	total, entries := uint32(0), 0
	for g.Len() > 0 {
		items, size := g.Drain(1000), 0
		for _, it := range items {
			total += it.Count
			size += protobuf.Size(it)
		}
		if size > 1200 || len(items) == 0 {
			t.Errorf("%d items of %d bytes", len(items), size)
		}
		entries++
	}
	if total != 200_000 || g.usedBytes != 0 || entries > 20 {
		t.Errorf("%d counted in %d entries, %d bytes left", total, entries, g.usedBytes)
	}
}

func TestFiltersAndZones(t *testing.T) {
	zurich, err := time.LoadLocation("Europe/Zurich")
	if err != nil {
		t.Skip("no zone data here")
	}
	at := time.Date(2026, 10, 25, 0, 30, 0, 0, time.UTC)
	b := &Block{Number: 4, ClockErrorMS: 500, Entries: []*pb.AuditEntry{
		{AtMs: at.UnixMilli(), Who: "anna", Verb: "cancel", Object: "wk-1"},
		{
			AtMs: at.Add(time.Hour).UnixMilli(), Verb: "refused", Outcome: pb.AuditOutcome_refused,
			Items: []*pb.AuditItem{
				{Who: "potter", Verb: "cancel", Object: "wk-1", Count: 3},
				{Verb: "GET", Object: "/v1/jobs/x", Count: 9},
			},
		},
	}}
	acts := b.Events("n0", zurich)
	if len(acts) != 3 || acts[0].At.Format(time.TimeOnly) != "02:30:00" ||
		acts[1].At.Format(time.TimeOnly) != "02:30:00" ||
		acts[1].Count != 3 ||
		acts[2].Entry != 2 {
		t.Fatalf("%+v", acts) // the hour that the clocks go back is there twice
	}
	for _, x := range []struct {
		f    Filter
		want int
	}{
		{Filter{}, 3},
		{Filter{Verb: "cancel"}, 2},
		{Filter{Identity: "potter"}, 1},
		{Filter{Outcome: OutcomeRefused}, 2},
		{Filter{Object: "wk-1", Outcome: OutcomeDone}, 1},
		{Filter{Since: at.Add(time.Minute)}, 2},
		{Filter{Until: at.Add(time.Hour)}, 1},
		{Filter{Since: at, Until: at}, 0},
	} {
		n := 0
		for i := range acts {
			if x.f.Matches(&acts[i]) {
				n++
			}
		}
		if n != x.want {
			t.Errorf("%+v takes %d acts, not %d", x.f, n, x.want)
		}
	}
}

func FuzzChain(f *testing.F) {
	for _, raw := range newChain(f, 2, 3) {
		f.Add([]byte(raw))
	}
	good := newChain(f, 2)[0]
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := &ChainVerifier{Node: "n0", Keys: []Key{key}}
		b, err := c.VerifyNext(1, raw)
		if err == nil && len(b.Entries) == 0 {
			t.Error("an empty block is whole")
		}
		if f := (*Fault)(nil); err != nil && !errors.As(err, &f) {
			t.Errorf("%v is no fault", err)
		}
		if _, err := DecodeBlock(raw); err != nil && !errors.Is(err, archive.ErrCorrupt) {
			t.Errorf("%v", err)
		}
		if _, err := (&ChainVerifier{Node: "n0", Keys: []Key{key}}).VerifyNext(1, good); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzKeyAndCarried(f *testing.F) {
	text, err := NewKey()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text, []byte(`{"a":"n0","l":1,"q":2,"e":"CAE=","t":"AAAA"}`), "da/a/n0/000000000001")
	f.Fuzz(func(t *testing.T, text string, raw []byte, name string) {
		if k, err := ParseKey(text); err == nil && len(k) < keyBytes {
			t.Errorf("a key of %d bytes", len(k))
		}
		var c PendingEntry
		if json.Unmarshal(raw, &c) == nil {
			if _, err := key.VerifyEntry("dl/job/wk-1", &c); err == nil {
				t.Error("a forged entry is taken")
			}
		}
		if node, n, ok := SplitBlockKey(name); ok && BlockKey(node, n) != name {
			t.Errorf("%q is split into %q and %d", name, node, n)
		}
	})
}
