package jobrecord

import (
	"cmp"
	"encoding/json"
	"strconv"
)

// maxRestoreGrowth is the most bytes by which a record grows when its restore order is set.
const maxRestoreGrowth = 40

// valueSizeStep is the granularity, in bytes, of limits on the size of a value.
const valueSizeStep = 1024

// PrepareForRestore returns a record fit for another key-value store, whose revisions begin anew:
// a queued job keeps its position before all jobs that are accepted from then on, and its order among
// the restored ones. modRevision is the revision of its key, snapshotRevision that of the snapshot.
// A record so close to a multiple of valueSizeStep that the change might exceed a size limit is
// returned unchanged, and so is one that can't be read.
func PrepareForRestore(raw json.RawMessage, modRevision, snapshotRevision uint64) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil || fields["s"] == nil ||
		len(raw)%valueSizeStep > valueSizeStep-maxRestoreGrowth {
		return raw
	}
	number := func(key string) uint64 {
		v, err := strconv.ParseUint(string(fields[key]), 10, 64)
		if err != nil {
			return 0 // absent
		}
		return v
	}
	order := snapshotRevision + 1 - min(snapshotRevision, cmp.Or(number("nr"), modRevision))
	if n := number("ob"); n > 0 { // restored before: it stays ahead of the jobs accepted since
		order = snapshotRevision + 1 + n
	}
	fields["ob"] = json.RawMessage(strconv.FormatUint(order, 10))
	delete(fields, "nr")
	out, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return out
}
