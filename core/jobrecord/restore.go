package jobrecord

import (
	"cmp"
	"encoding/json"
	"strconv"
)

// maxRestoreGrowth is what a record may grow by when its place is put into it, in bytes.
const maxRestoreGrowth = 40

// PrepareForRestore is a record that is put into another state service, whose revisions begin anew:
// a queued job keeps its place before all that are accepted from then on, in the order that it had.
// mark is that of its key, and at the revision that the snapshot shows. A record that nearly fills
// whole KiB, as limits are, is left as it was.
func PrepareForRestore(raw json.RawMessage, modRevision, snapshotRevision uint64) json.RawMessage {
	var m map[string]json.RawMessage
	if json.Unmarshal(raw, &m) != nil || m["s"] == nil || len(raw)%1024 > 1024-maxRestoreGrowth {
		return raw
	}
	number := func(key string) uint64 {
		v, err := strconv.ParseUint(string(m[key]), 10, 64)
		if err != nil {
			return 0 // it is not there
		}
		return v
	}
	before := snapshotRevision + 1 - min(snapshotRevision, cmp.Or(number("nr"), modRevision))
	if n := number("ob"); n > 0 { // it was restored before: it stays ahead of those accepted since
		before = snapshotRevision + 1 + n
	}
	m["ob"] = json.RawMessage(strconv.FormatUint(before, 10))
	delete(m, "nr")
	out, err := json.Marshal(m)
	if err != nil {
		return raw
	}
	return out
}
