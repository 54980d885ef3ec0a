// Package batchvalue keeps what changes often of many jobs in one value: their assignments, which
// tasks are done. A change of the state service then serves all jobs of a slot at once, where a key
// for each took a change for each.
//
// A job's own key stays, with its description and with everything as of its last write, which has a
// number. An entry of a slot counts on top of the write that it names; with the next write of the
// key it is void. So nobody needs to take it away, and a reader of both, in whatever order they
// come, knows which of them is newer.
package batchvalue

import (
	"dewlift/internal/compress"
	"encoding/json"
	"fmt"
	"maps"
)

// Slot is one value, as far as it is known, and what this controller has on its way that depends on it.
type Slot struct {
	Revision             uint64 // 0: it is not there
	Entries              Entries
	WriteInFlight        bool // a write of it is on its way, or its outcome is not known yet
	JobKeyWritesInFlight int  // writes of its jobs' own keys, on condition of its mark, are on their way
}

// Entries are encoded, by job.
type Entries map[string]json.RawMessage

// compressedValue is how entries are stored: compressed, as neighbours say much of the same.
type compressedValue struct {
	Data []byte `json:"b"`
}

const maxExpandedBytes = 1 << 20

// Decode reads a value.
func Decode(raw json.RawMessage) (Entries, error) {
	var v compressedValue
	err := json.Unmarshal(raw, &v)
	if err == nil {
		var plain []byte
		if plain, err = compress.Inflate(v.Data, maxExpandedBytes); err == nil {
			var e Entries
			if err = json.Unmarshal(plain, &e); err == nil {
				return e, nil
			}
		}
	}
	return nil, fmt.Errorf("shared value: %w", err)
}

// Encode renders a value: the same entries, the same bytes.
func (e Entries) Encode() (json.RawMessage, error) {
	plain, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("shared value: %w", err)
	}
	data, err := compress.Deflate(plain)
	if err != nil {
		return nil, fmt.Errorf("shared value: %w", err)
	}
	raw, err := json.Marshal(compressedValue{data})
	if err != nil {
		return nil, fmt.Errorf("shared value: %w", err)
	}
	return raw, nil
}

// Draft is a slot's next value while jobs are put into it.
type Draft struct {
	Entries Entries
	size    int
}

// BeginDraft begins the next value with those entries that still count.
func (s *Slot) BeginDraft(counts func(job string, entry json.RawMessage) bool) *Draft {
	d := &Draft{Entries: Entries{}}
	for id, raw := range s.Entries {
		if counts(id, raw) {
			d.Entries[id] = raw
			d.size += len(id) + len(raw)
		}
	}
	return d
}

// TryPut puts an entry in, if all of them then stay within so many bytes before they are compressed.
func (d *Draft) TryPut(job string, entry json.RawMessage, most int) bool {
	n := d.size + len(job) + len(entry)
	if old, ok := d.Entries[job]; ok {
		n -= len(job) + len(old)
	}
	if n > most {
		return false
	}
	d.Entries[job], d.size = entry, n
	return true
}

// IsNearlyFull reports whether a slot is nearly full.
func (s *Slot) IsNearlyFull(most int) bool {
	n := 0
	for id, raw := range s.Entries {
		n += len(id) + len(raw)
	}
	return n > most*3/4
}

// Without is a copy of the entries without one.
func (e Entries) Without(job string) Entries {
	out := maps.Clone(e)
	if out == nil {
		out = Entries{}
	}
	delete(out, job)
	return out
}
