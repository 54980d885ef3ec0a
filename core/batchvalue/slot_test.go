package batchvalue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// What is encoded is read back, the same bytes for the same entries, and a damaged value is an error.
func TestValuesAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Entries{}
		for id, n := range rapid.MapOf(rapid.StringMatching(`wk-[0-9]{6}`), rapid.IntRange(0, 1<<30)).Draw(t, "entries") {
			e[id] = json.RawMessage(fmt.Sprintf(`{"v":%d}`, n))
		}
		raw, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := e.Encode()
		if err != nil || !bytes.Equal(raw, again) {
			t.Fatalf("the same entries, other bytes (%v)", err)
		}
		got, err := Decode(raw)
		if err != nil || len(got) != len(e) {
			t.Fatalf("%d entries of %d, %v", len(got), len(e), err)
		}
		for id := range e {
			if !bytes.Equal(got[id], e[id]) {
				t.Fatalf("%s: %s, was %s", id, got[id], e[id])
			}
		}
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		if _, err := Decode(raw[:cut]); err == nil {
			t.Fatalf("half a value was read: %s", raw[:cut])
		}
	})
}

// A draft begins with what still counts, and never grows beyond its bound.
func TestDraftStaysWithinLimit(t *testing.T) {
	s := Slot{Entries: Entries{"wk-1": json.RawMessage(`{"v":1}`), "wk-2": json.RawMessage(`{"v":2}`)}}
	d := s.BeginDraft(func(id string, _ json.RawMessage) bool { return id == "wk-2" })
	if len(d.Entries) != 1 || d.TryPut("wk-3", json.RawMessage(`{"v":3}`), 21) ||
		!d.TryPut("wk-3", json.RawMessage(`{"v":3}`), 22) {
		t.Errorf("entries %v", d.Entries)
	}
	if !d.TryPut("wk-2", json.RawMessage(`{"v":4}`), 22) || d.TryPut("wk-2", json.RawMessage(`{"v":44}`), 22) {
		t.Error("an entry in place of one of the same size must fit, a larger one must not")
	}
	if left := d.Entries.Without("wk-2"); len(left) != 1 || len(d.Entries) != 2 {
		t.Errorf("%v without one, of %v", left, d.Entries)
	}
	if s.IsNearlyFull(30) || !s.IsNearlyFull(20) {
		t.Error("22 bytes are more than three quarters of 20, and less of 30")
	}
}
