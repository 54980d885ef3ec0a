package audit

import (
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

	"dewlift/archive"
	pb "dewlift/proto"
)

// testKey signs the chains of the tests.
var testKey = Key("a key of more than thirty-two bytes")

// newChain returns a chain of blocks with the given numbers of entries.
func newChain(t testing.TB, sizes ...int) (raws []json.RawMessage) {
	t.Helper()
	head := &Head{}
	count := uint64(0)
	for _, size := range sizes {
		var entries [][]byte
		for range size {
			count++
			entries = append(
				entries,
				EncodeEntry(
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
		raw, n, mac, err := testKey.EncodeNextBlock(head, "n0", 500, entries, 1<<20)
		if err != nil || n != size {
			t.Fatal(n, err)
		}
		raws = append(raws, raw)
		head = &Head{BlockNumber: head.BlockNumber + 1, MAC: mac}
	}
	return raws
}

// verifyChain verifies blocks that have the given numbers, or are numbered from 1 if there are none.
func verifyChain(raws []json.RawMessage, numbers ...uint64) (*ChainVerifier, error) {
	verifier := &ChainVerifier{Node: "n0", Keys: []Key{Key("another key, which is of no use"), testKey}}
	for i, raw := range raws {
		number := uint64(i + 1)
		if i < len(numbers) {
			number = numbers[i]
		}
		if _, err := verifier.VerifyNext(number, raw); err != nil {
			return verifier, err
		}
	}
	return verifier, nil
}

// alterBlock changes a block and updates its checksum, as anyone with write access to the store could.
func alterBlock(t testing.TB, raw json.RawMessage, alter func(b *pb.AuditBlock)) json.RawMessage {
	t.Helper()
	var block pb.AuditBlock
	if err := archive.Unpack(raw, &block); err != nil {
		t.Fatal(err)
	}
	alter(&block)
	out, err := archive.Pack(&block)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// An alteration of a block by someone who does not know the key must be detected: verification must locate the first
// altered entry.
func TestEveryAlterationIsLocated(t *testing.T) {
	raws := newChain(t, 3, 4, 2)
	if verifier, err := verifyChain(raws); err != nil || verifier.BlockNumber != 3 || verifier.EntryCount != 9 {
		t.Fatalf("an unaltered chain: %+v, %v", verifier, err)
	}
	entry := func(i int, f func(e *pb.AuditEntry)) func(b *pb.AuditBlock) {
		return func(b *pb.AuditBlock) {
			var e pb.AuditEntry
			if err := protobuf.Unmarshal(b.Entries[i], &e); err != nil {
				t.Fatal(err)
			}
			f(&e)
			b.Entries[i] = EncodeEntry(&e)
		}
	}
	cut := func(b *pb.AuditBlock, i, j int) {
		b.Entries = slices.Delete(b.Entries, i, j)
		b.Tags = slices.Delete(b.Tags, i*tagBytes, j*tagBytes)
	}
	for name, tt := range map[string]struct {
		alter func(b *pb.AuditBlock)
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
		altered := slices.Clone(raws)
		altered[1] = alterBlock(t, raws[1], tt.alter)
		_, err := verifyChain(altered)
		if chainErr := (*ChainError)(nil); !errors.As(err, &chainErr) || chainErr.Block != 2 ||
			chainErr.Entry != tt.entry || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Removed, reordered and replaced blocks must be detected: verification must locate the first block that does not
// continue the chain.
func TestEveryReplacedBlockIsLocated(t *testing.T) {
	raws := newChain(t, 3, 4, 2)
	for name, tt := range map[string]struct {
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
		_, err := verifyChain(tt.raws, tt.numbers...)
		if chainErr := (*ChainError)(nil); !errors.As(err, &chainErr) || chainErr.Block != tt.block {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A block must hold many entries up to its size limit. An entry that exceeds the limit by itself must be an error,
// not an endless loop.
func TestBlockHoldsAsManyEntriesAsFit(t *testing.T) {
	var entries [][]byte
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 300 {
		entries = append(entries, EncodeEntry(&pb.AuditEntry{Count: uint64(i), Object: fmt.Sprint(random.Uint64())}))
	}
	raw, n, _, err := testKey.EncodeNextBlock(&Head{}, "n0", 0, entries, 2048)
	if err != nil || n < 20 || n >= 300 || len(raw) > 2048 {
		t.Errorf("%d entries in %d bytes, %v", n, len(raw), err)
	}
	if _, n, _, err := testKey.EncodeNextBlock(&Head{}, "n0", 0, entries, 100); err == nil || n != 0 {
		t.Errorf("%d entries in 100 bytes, %v", n, err)
	}
}

// A pending entry must be valid only in the value and for the controller that it was signed for: otherwise, anyone
// with write access to the store could move or forge entries.
func TestPendingEntriesCannotBeMovedOrForged(t *testing.T) {
	signed := testKey.SignEntry("n0", "dl/job/wk-1", &pb.AuditEntry{Life: 3, Count: 4, Who: "anna", Verb: "submit"})
	if entry, err := testKey.VerifyEntry("dl/job/wk-1", &signed); err != nil || entry.Who != "anna" {
		t.Fatal(entry, err)
	}
	for name, alter := range map[string]func(c *PendingEntry) string{
		"another value":           func(*PendingEntry) string { return "dl/job/wk-2" },
		"another node":            func(c *PendingEntry) string { c.Node = "n1"; return "dl/job/wk-1" },
		"another incarnation":     func(c *PendingEntry) string { c.Incarnation++; return "dl/job/wk-1" },
		"another sequence number": func(c *PendingEntry) string { c.Sequence++; return "dl/job/wk-1" },
		"another MAC":             func(c *PendingEntry) string { c.MAC = []byte{1}; return "dl/job/wk-1" },
		"another entry": func(c *PendingEntry) string {
			c.Entry = EncodeEntry(&pb.AuditEntry{Life: 3, Count: 4, Who: "potter", Verb: "submit"})
			return "dl/job/wk-1"
		},
	} {
		altered := signed
		valueKey := alter(&altered)
		if _, err := testKey.VerifyEntry(valueKey, &altered); !errors.Is(err, ErrForged) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A head must tell for every entry whether it is in a block, whatever the order in which the entries of former
// incarnations are written.
func TestHeadContainsRecordedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := &Head{}
		recorded := map[[2]uint64]bool{}
		highest := map[uint64]uint64{} // highest sequence number by incarnation
		for incarnation := uint64(1); incarnation <= 6; incarnation++ {
			head = &Head{Incarnations: head.WithIncarnation(Incarnation{Number: incarnation, NextSequence: 1})}
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				former := rapid.Uint64Range(1, incarnation).Draw(t, "life")
				sequence := rapid.Uint64Range(1, highest[former]+3).Draw(t, "count")
				highest[former] = max(highest[former], sequence)
				if !recorded[[2]uint64{former, sequence}] {
					head = &Head{Incarnations: head.WithRecorded(former, sequence)}
					recorded[[2]uint64{former, sequence}] = true
				}
			}
			for former := uint64(1); former <= incarnation; former++ {
				for sequence := uint64(1); sequence <= highest[former]+3; sequence++ {
					got, want := head.Contains(former, sequence), recorded[[2]uint64{former, sequence}]
					if got != want {
						t.Fatalf("entry %d of %d: %v, want %v: %+v", sequence, former, got, want, head.Incarnations)
					}
				}
			}
		}
	})
	head := &Head{}
	for incarnation := uint64(1); incarnation <= 2*maxIncarnations; incarnation++ {
		head.Incarnations = head.WithIncarnation(Incarnation{Number: incarnation, NextSequence: 5})
	}
	if len(head.Incarnations) != maxIncarnations || !head.Contains(1, 9) || head.Contains(maxIncarnations+1, 9) ||
		head.Contains(2*maxIncarnations, 9) ||
		head.Contains(2*maxIncarnations+1, 1) ||
		(&Head{}).Contains(1, 1) {
		t.Errorf("after many incarnations: %+v", head.Incarnations)
	}
}

// A flood of distinct events must take bounded memory, and every event must be counted.
func TestFloodIsCountedInBoundedMemory(t *testing.T) {
	aggregator := Aggregator{MaxBytes: 4096}
	for i := range 200_000 {
		aggregator.Add(
			AggregatedEvent{
				Identity: fmt.Sprint("w", i%5000),
				Verb:     "GET",
				Object:   fmt.Sprint("/v1/jobs/wk-", i),
				Reason:   strings.Repeat("x", 500),
			},
			1,
		)
	}
	if aggregator.usedBytes > 4*4096 || aggregator.Len() > 1000 {
		t.Errorf("%d kinds in %d bytes", aggregator.Len(), aggregator.usedBytes)
	}
	total, entries := uint32(0), 0
	for aggregator.Len() > 0 {
		items, size := aggregator.Drain(1000), 0
		for _, item := range items {
			total += item.Count
			size += protobuf.Size(item)
		}
		if size > 1200 || len(items) == 0 {
			t.Errorf("%d items of %d bytes", len(items), size)
		}
		entries++
	}
	if total != 200_000 || aggregator.usedBytes != 0 || entries > 20 {
		t.Errorf("%d counted in %d entries, %d bytes left", total, entries, aggregator.usedBytes)
	}
}

// Filters must combine. Events in the two occurrences of the hour that is repeated when clocks go back must be told
// apart.
func TestFiltersAndTimeZones(t *testing.T) {
	zurich, err := time.LoadLocation("Europe/Zurich")
	if err != nil {
		t.Skip("no time zone data on this host")
	}
	at := time.Date(2026, 10, 25, 0, 30, 0, 0, time.UTC)
	block := &Block{Number: 4, ClockErrorMS: 500, Entries: []*pb.AuditEntry{
		{AtMs: at.UnixMilli(), Who: "anna", Verb: "cancel", Object: "wk-1"},
		{
			AtMs: at.Add(time.Hour).UnixMilli(), Verb: "refused", Outcome: pb.AuditOutcome_refused,
			Items: []*pb.AuditItem{
				{Who: "potter", Verb: "cancel", Object: "wk-1", Count: 3},
				{Verb: "GET", Object: "/v1/jobs/x", Count: 9},
			},
		},
	}}
	events := block.Events("n0", zurich)
	if len(events) != 3 || events[0].At.Format(time.TimeOnly) != "02:30:00" ||
		events[1].At.Format(time.TimeOnly) != "02:30:00" ||
		events[1].Count != 3 ||
		events[2].Entry != 2 {
		t.Fatalf("%+v", events)
	}
	for _, tt := range []struct {
		filter Filter
		want   int
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
		for i := range events {
			if tt.filter.Matches(&events[i]) {
				n++
			}
		}
		if n != tt.want {
			t.Errorf("%+v matches %d events, want %d", tt.filter, n, tt.want)
		}
	}
}

// A damaged block must be reported as a ChainError, and must not break the verification of other blocks.
func FuzzChain(f *testing.F) {
	for _, raw := range newChain(f, 2, 3) {
		f.Add([]byte(raw))
	}
	good := newChain(f, 2)[0]
	f.Fuzz(func(t *testing.T, raw []byte) {
		verifier := &ChainVerifier{Node: "n0", Keys: []Key{testKey}}
		block, err := verifier.VerifyNext(1, raw)
		if err == nil && len(block.Entries) == 0 {
			t.Error("an empty block is accepted")
		}
		if chainErr := (*ChainError)(nil); err != nil && !errors.As(err, &chainErr) {
			t.Errorf("%v is not a ChainError", err)
		}
		if _, err := DecodeBlock(raw); err != nil && !errors.Is(err, archive.ErrCorrupt) {
			t.Errorf("%v", err)
		}
		if _, err := (&ChainVerifier{Node: "n0", Keys: []Key{testKey}}).VerifyNext(1, good); err != nil {
			t.Fatal(err)
		}
	})
}

// Arbitrary key files, pending entries and block keys must be rejected, or be parsed as they were written.
func FuzzKeyAndCarried(f *testing.F) {
	text, err := NewKey()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text, []byte(`{"a":"n0","l":1,"q":2,"e":"CAE=","t":"AAAA"}`), "da/a/n0/000000000001")
	f.Fuzz(func(t *testing.T, text string, raw []byte, name string) {
		if parsed, err := ParseKey(text); err == nil && len(parsed) < keyBytes {
			t.Errorf("a key of %d bytes is accepted", len(parsed))
		}
		var pending PendingEntry
		if json.Unmarshal(raw, &pending) == nil {
			if _, err := testKey.VerifyEntry("dl/job/wk-1", &pending); err == nil {
				t.Error("a forged entry is accepted")
			}
		}
		if node, n, ok := SplitBlockKey(name); ok && BlockKey(node, n) != name {
			t.Errorf("%q is split into %q and %d", name, node, n)
		}
	})
}
