// Package batchvalue keeps the frequently changing part of many jobs in one stored value: their
// assignments and which tasks have completed. One write to the store then serves all jobs of a slot,
// where a key for each job takes a write for each.
//
// A job's own key stays, with its description and with everything as of its last write, which has a
// number. An entry of a slot applies on top of the write whose number it has, and is void with the
// next write of the key. So no entry has to be removed, and a reader of both, in whatever order they
// arrive, knows which of them is newer.
//
// The package owns the encoding of a slot and the known state of one. It does not decode entries and
// does not decide which jobs share a slot or when it is written.
package batchvalue

import (
	"encoding/json"
	"fmt"
	"maps"

	"dewlift/internal/compress"
)

// Slot is the known state of one value, and this controller's writes in flight that depend on it.
type Slot struct {
	Revision             uint64 // 0: the key does not exist
	Entries              Entries
	WriteInFlight        bool // a write of it is in flight, or its outcome is unknown
	JobKeyWritesInFlight int  // writes of its jobs' own keys in flight, which compare its revision
}

// Entries are encoded records by job ID. They are treated as immutable once a Slot has them.
type Entries map[string]json.RawMessage

// compressedValue is the stored form of entries. They are compressed, as they resemble each other.
type compressedValue struct {
	Data []byte `json:"b"`
}

// maxDecompressedBytes bounds a value after decompression, so that a damaged one can't exhaust the memory.
const maxDecompressedBytes = 1 << 20

// Decode decodes a stored value.
func Decode(raw json.RawMessage) (Entries, error) {
	var value compressedValue
	if err := json.Unmarshal(raw, &value); err != nil {
		return nil, fmt.Errorf("decode shared value: %w", err)
	}
	plain, err := compress.Inflate(value.Data, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress shared value: %w", err)
	}
	var entries Entries
	if err := json.Unmarshal(plain, &entries); err != nil {
		return nil, fmt.Errorf("decode shared entries: %w", err)
	}
	return entries, nil
}

// Encode encodes entries for the store. The same entries always give the same bytes.
func (e Entries) Encode() (json.RawMessage, error) {
	plain, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode shared entries: %w", err)
	}
	data, err := compress.Deflate(plain)
	if err != nil {
		return nil, fmt.Errorf("compress shared value: %w", err)
	}
	raw, err := json.Marshal(compressedValue{data})
	if err != nil {
		return nil, fmt.Errorf("encode shared value: %w", err)
	}
	return raw, nil
}

// Without returns a copy of the entries without one job's.
func (e Entries) Without(jobID string) Entries {
	rest := maps.Clone(e)
	if rest == nil {
		rest = Entries{}
	}
	delete(rest, jobID)
	return rest
}

// size is the number of bytes of all entries and their IDs before compression.
func (e Entries) size() int {
	total := 0
	for id, raw := range e {
		total += len(id) + len(raw)
	}
	return total
}

// IsNearlyFull reports whether a slot has more than three quarters of maxBytes before compression.
func (s *Slot) IsNearlyFull(maxBytes int) bool {
	return s.Entries.size() > maxBytes*3/4
}

// Draft is the next value of a slot while entries are put into it.
type Draft struct {
	Entries Entries
	size    int // bytes of Entries before compression, if begun with BeginDraft
}

// BeginDraft begins the next value with the entries that still apply.
func (s *Slot) BeginDraft(applies func(jobID string, entry json.RawMessage) bool) *Draft {
	draft := &Draft{Entries: Entries{}}
	for id, raw := range s.Entries {
		if applies(id, raw) {
			draft.Entries[id] = raw
		}
	}
	draft.size = draft.Entries.size()
	return draft
}

// TryPut adds or replaces a job's entry if all entries then have at most maxBytes before
// compression, and reports whether it did.
func (d *Draft) TryPut(jobID string, entry json.RawMessage, maxBytes int) bool {
	size := d.size + len(jobID) + len(entry)
	if old, ok := d.Entries[jobID]; ok {
		size -= len(jobID) + len(old)
	}
	if size > maxBytes {
		return false
	}
	d.Entries[jobID], d.size = entry, size
	return true
}
