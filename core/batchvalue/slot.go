// Package batchvalue stores the frequently changing part of many jobs, which is their assignments and
// completed tasks, in one value. One write to the store then covers all jobs of a slot, instead of one write
// per job.
//
// Each job still has a key of its own that holds its description and its state as of the last write of that
// key. That write has a number. An entry of a slot builds on the write whose number it carries and becomes
// void with the next write of the key. So entries need not be removed, and a reader that receives both in any
// order can tell which one is newer.
//
// The package owns the encoding of a slot and its known state. It does not decode entries, and it does not
// decide which jobs share a slot or when the slot is written.
package batchvalue

import (
	"encoding/json"
	"fmt"
	"maps"

	"dewlift/internal/compress"
)

// Slot is the known state of one stored value, with this controller's writes in flight that depend on it.
type Slot struct {
	Revision             uint64 // 0: the key does not exist
	Entries              Entries
	WriteInFlight        bool // a write of the value is in flight or has an unknown outcome
	JobKeyWritesInFlight int  // writes in flight of the keys of its jobs, which are conditional on Revision
}

// Entries are encoded records by job ID. They must not be modified once a Slot holds them.
type Entries map[string]json.RawMessage

// compressedValue is the stored form of entries. Compression is effective because entries resemble each
// other.
type compressedValue struct {
	Data []byte `json:"b"`
}

// maxDecompressedBytes bounds the size of a value after decompression, so that a corrupt value can't exhaust
// the memory.
const maxDecompressedBytes = 1 << 20

// Decode decodes the entries of a stored value.
func Decode(raw json.RawMessage) (Entries, error) {
	var value compressedValue
	if err := json.Unmarshal(raw, &value); err != nil {
		return nil, fmt.Errorf("decode batch value: %w", err)
	}
	plain, err := compress.Inflate(value.Data, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress batch value: %w", err)
	}
	var entries Entries
	if err := json.Unmarshal(plain, &entries); err != nil {
		return nil, fmt.Errorf("decode entries of batch value: %w", err)
	}
	return entries, nil
}

// Encode encodes entries as a stored value. It is deterministic.
func (e Entries) Encode() (json.RawMessage, error) {
	plain, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode entries of batch value: %w", err)
	}
	data, err := compress.Deflate(plain)
	if err != nil {
		return nil, fmt.Errorf("compress batch value: %w", err)
	}
	raw, err := json.Marshal(compressedValue{data})
	if err != nil {
		return nil, fmt.Errorf("encode batch value: %w", err)
	}
	return raw, nil
}

// Without returns a copy of the entries that lacks the entry of one job.
func (e Entries) Without(jobID string) Entries {
	rest := maps.Clone(e)
	if rest == nil {
		rest = Entries{}
	}
	delete(rest, jobID)
	return rest
}

// size returns the total size of all entries and job IDs before compression, in bytes.
func (e Entries) size() int {
	total := 0
	for id, raw := range e {
		total += len(id) + len(raw)
	}
	return total
}

// IsNearlyFull reports whether the entries of a slot take more than three quarters of maxBytes before
// compression.
func (s *Slot) IsNearlyFull(maxBytes int) bool {
	return s.Entries.size() > maxBytes*3/4
}

// Draft is the next value of a slot while it is being assembled.
type Draft struct {
	Entries Entries
	size    int // size of Entries before compression; valid only in a draft of BeginDraft
}

// BeginDraft returns a draft with the entries of the slot that still apply.
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

// TryPut adds or replaces the entry of a job, unless the entries would then exceed maxBytes before
// compression. It reports whether it did.
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
