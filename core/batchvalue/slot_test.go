package batchvalue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Encoding and decoding must preserve the entries, encoding must be deterministic, and decoding a truncated
// value must fail.
func TestEntriesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := Entries{}
		ids, values := rapid.StringMatching(`wk-[0-9]{6}`), rapid.IntRange(0, 1<<30)
		for id, value := range rapid.MapOf(ids, values).Draw(t, "entries") {
			entries[id] = json.RawMessage(fmt.Sprintf(`{"v":%d}`, value))
		}
		raw, err := entries.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := entries.Encode()
		if err != nil || !bytes.Equal(raw, again) {
			t.Fatalf("encoding is not deterministic (%v)", err)
		}
		got, err := Decode(raw)
		if err != nil || len(got) != len(entries) {
			t.Fatalf("decoded %d entries of %d (%v)", len(got), len(entries), err)
		}
		for id := range entries {
			if !bytes.Equal(got[id], entries[id]) {
				t.Fatalf("%s: got %s, want %s", id, got[id], entries[id])
			}
		}
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if _, err := Decode(raw[:cut]); err == nil {
			t.Fatalf("a truncated value was decoded: %s", raw[:cut])
		}
	})
}

// A draft must contain only the entries that still apply and must not exceed its size limit, because the
// store would refuse the value.
func TestDraftStaysWithinLimit(t *testing.T) {
	slot := Slot{Entries: Entries{"wk-1": json.RawMessage(`{"v":1}`), "wk-2": json.RawMessage(`{"v":2}`)}}
	draft := slot.BeginDraft(func(id string, _ json.RawMessage) bool { return id == "wk-2" })
	if len(draft.Entries) != 1 || draft.TryPut("wk-3", json.RawMessage(`{"v":3}`), 21) ||
		!draft.TryPut("wk-3", json.RawMessage(`{"v":3}`), 22) {
		t.Errorf("entries %v", draft.Entries)
	}
	if !draft.TryPut("wk-2", json.RawMessage(`{"v":4}`), 22) || draft.TryPut("wk-2", json.RawMessage(`{"v":44}`), 22) {
		t.Error("replacing an entry must succeed at the same size and fail at a larger one")
	}
	if rest := draft.Entries.Without("wk-2"); len(rest) != 1 || len(draft.Entries) != 2 {
		t.Errorf("Without returned %v for %v", rest, draft.Entries)
	}
	if slot.IsNearlyFull(30) || !slot.IsNearlyFull(20) {
		t.Error("a slot of 22 bytes must be nearly full at a limit of 20 bytes and not at 30")
	}
}
