package jobrecord

import (
	"cmp"
	"encoding/json"
	"strconv"
)

// maxRestoreGrowth is the maximum number of bytes by which a record grows when its restore order is set.
const maxRestoreGrowth = 40

// valueSizeStep is the granularity, in bytes, of limits on the size of a value.
const valueSizeStep = 1024

// PrepareForRestore returns a record for another key-value store, whose revisions start anew. A queued job
// keeps its position before all jobs that are accepted after the restore, and its order among the restored
// ones. modRevision is the revision of the record's key and snapshotRevision that of the snapshot. The record
// is returned unchanged if its job has ended, if it can't be decoded, or if its size is so close to a multiple
// of valueSizeStep that the change might exceed a size limit.
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
	if n := number("ob"); n > 0 { // restored before: the job stays ahead of those accepted since
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
