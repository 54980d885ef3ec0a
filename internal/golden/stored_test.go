package golden

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/core/auditlog"
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/snapshot"
	"dewlift/wire"
)

// storedFormat is one form of a stored value or a file: how it is encoded and decoded, and the value that decoding
// returns.
type storedFormat struct {
	write func() ([]byte, error)
	read  func(raw []byte) (any, error)
	want  any
}

// filledProto sets all fields of a message and returns it.
func filledProto[T protobuf.Message](message T, path string) T {
	fillMessage(message.ProtoReflect(), path)
	return message
}

// equal compares messages by their contents and other values deeply.
func equal(got, want any) bool {
	if wantMessage, ok := want.(protobuf.Message); ok {
		gotMessage, ok := got.(protobuf.Message)
		return ok && protobuf.Equal(gotMessage, wantMessage)
	}
	return reflect.DeepEqual(got, want)
}

// expandedRecord is a record with its expanded assignments.
type expandedRecord struct {
	record      jobrecord.Record
	assignments []jobrecord.Assignment
}

// machine is a machine as a record refers to it.
type machine struct{ name, zone string }

// storedRecord returns the form of a job's record with all fields set and tasks on machines.
func storedRecord(machines []machine, packed bool) storedFormat {
	record := filled[jobrecord.Record]("record")
	record.Assignments, record.PackedLists = nil, nil
	record.CompletedTasks, record.Spec.Tasks = jobrecord.TaskSet{0, 2, 9, 9}, 40
	assignments := []jobrecord.Assignment{
		{Task: 3, Machine: 0, Incarnation: 5, Attempt: 7},
		{Task: 4, Machine: 0, Incarnation: 5, Attempt: 8},
		{Task: 12, Machine: 0, Incarnation: 5, Attempt: 30},
		{Task: 6, Machine: 1, Incarnation: 5, Attempt: 9},
		{Task: 10, Machine: 2, Incarnation: 1 << 40, Attempt: 1},
		{Task: 11, Machine: 3, Incarnation: 6, Attempt: 2},
	}
	return storedFormat{
		write: func() ([]byte, error) {
			return jobrecord.Encode(record, assignments, packed, func(index int32) (name, zone string) {
				return machines[index].name, machines[index].zone
			})
		},
		read: func(raw []byte) (any, error) {
			got, err := jobrecord.Decode(raw)
			if err != nil {
				return nil, err
			}
			list := got.ExpandAssignments(func(name, zone string) int32 {
				return int32(slices.Index(machines, machine{name, zone}))
			})
			slices.SortFunc(list, func(a, b jobrecord.Assignment) int {
				return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Task, b.Task))
			})
			got.Assignments = nil
			return expandedRecord{*got, list}, nil
		},
		want: expandedRecord{*record, assignments},
	}
}

// plainRecord returns the form of a record without assignments.
func plainRecord(record jobrecord.Record) storedFormat {
	return storedFormat{
		write: func() ([]byte, error) { return jobrecord.Encode(&record, nil, false, nil) },
		read: func(raw []byte) (any, error) {
			got, err := jobrecord.Decode(raw)
			if err != nil {
				return nil, err
			}
			return *got, nil
		},
		want: record,
	}
}

// storedMessage returns the form of a message that is stored compressed.
func storedMessage(message protobuf.Message) storedFormat {
	return storedFormat{
		write: func() ([]byte, error) { return jobrecord.PackMessage(message) },
		read: func(raw []byte) (any, error) {
			got := message.ProtoReflect().New().Interface()
			return got, jobrecord.UnpackMessage(raw, got)
		},
		want: message,
	}
}

// storedCatalog returns the form of the catalog, compressed if it has more than maxBytes.
func storedCatalog(maxBytes int) storedFormat {
	catalog := filled[wire.Catalog]("types")
	return storedFormat{
		write: func() ([]byte, error) { return jobrecord.EncodeCatalog(catalog, maxBytes, true) },
		read:  func(raw []byte) (any, error) { return jobrecord.DecodeCatalog(raw) },
		want:  *catalog,
	}
}

var auditKey = audit.Key("a key of thirty-two bytes or more")

// storedBlock returns the form of a block of an audit chain that follows a chain head.
func storedBlock() storedFormat {
	const clockErrorMS = 250
	head := filled[audit.Head]("head")
	var entries [][]byte
	for _, name := range []string{"first", "second"} {
		entries = append(entries, audit.EncodeEntry(filledProto(&pb.AuditEntry{}, name)))
	}
	return storedFormat{
		write: func() ([]byte, error) {
			raw, count, _, err := auditKey.EncodeNextBlock(head, "node-a", clockErrorMS, entries, 1<<20)
			if count != len(entries) {
				return nil, errors.New("the block lacks some of the entries")
			}
			return raw, err
		},
		read: func(raw []byte) (any, error) {
			chain := audit.ChainVerifier{
				Node:        "node-a",
				Keys:        []audit.Key{auditKey},
				BlockNumber: head.BlockNumber,
				MAC:         head.MAC,
			}
			block, err := chain.VerifyNext(head.BlockNumber+1, raw)
			if err != nil {
				return nil, err
			}
			out := &pb.AuditBlock{Number: block.Number, BoundMs: block.ClockErrorMS}
			for _, entry := range block.Entries {
				out.Entries = append(out.Entries, audit.EncodeEntry(entry))
			}
			return out, nil
		},
		want: &pb.AuditBlock{Number: head.BlockNumber + 1, BoundMs: clockErrorMS, Entries: entries},
	}
}

// storedPendingEntry returns the form of a pending audit entry, as stored values hold it.
func storedPendingEntry() storedFormat {
	entry := filledProto(&pb.AuditEntry{}, "carried")
	return storedFormat{
		write: func() ([]byte, error) { return json.Marshal(auditKey.SignEntry("node-a", "dl/job/wk-1", entry)) },
		read: func(raw []byte) (any, error) {
			var pending audit.PendingEntry
			if err := json.Unmarshal(raw, &pending); err != nil {
				return nil, err
			}
			return auditKey.VerifyEntry("dl/job/wk-1", &pending)
		},
		want: entry,
	}
}

// storedArchive returns the form of a block of the archive.
func storedArchive() storedFormat {
	block := &archive.Block{Low: "wk-", High: archive.MaxID, Entries: []archive.Entry{
		{ID: "wk-1", CompletedTasks: 7, Team: "team", Class: "class"},
		{
			ID:             "wk-12",
			Cancelled:      true,
			CompletedTasks: 1,
			CancelledByJob: "wk-0",
			Team:           "team",
			Class:          "other",
			StopReasons:    []archive.StopReason{{Task: 3, Machine: "m-1", Cause: "idle", AtMS: 1_700_000_000_000}},
		},
		{ID: "wk-3", CompletedTasks: 100_000},
	}}
	return storedFormat{
		write: func() ([]byte, error) { return block.Encode() },
		read:  func(raw []byte) (any, error) { return archive.Decode(raw) },
		want:  block,
	}
}

// storedSnapshot returns the form of a snapshot file of two parts.
func storedSnapshot() storedFormat {
	keys := filledProto(&pb.Keys{}, "snapshot")
	keys.Keys[0].Value = bytes.Repeat([]byte("7"), 256<<10)
	want := protobuf.Clone(keys).(*pb.Keys)
	want.Keys = append(want.Keys, &pb.Key{Name: "trailer of 2 parts", Mark: 77, Value: []byte("1700000000123")})
	return storedFormat{
		write: func() ([]byte, error) {
			var file bytes.Buffer
			writer, err := snapshot.NewWriter(&file)
			if err != nil {
				return nil, err
			}
			for _, key := range keys.Keys {
				if err := writer.Add(key); err != nil {
					return nil, err
				}
			}
			err = writer.Close(77, time.UnixMilli(1_700_000_000_123))
			return file.Bytes(), err
		},
		read: func(raw []byte) (any, error) {
			var out pb.Keys
			trailer, err := snapshot.Read(bytes.NewReader(raw), func(key *pb.Key) error {
				out.Keys = append(out.Keys, key)
				return nil
			})
			if err != nil {
				return nil, err
			}
			if trailer.Version != 1 || trailer.Parts != 2 || trailer.Keys != 2 {
				return nil, errors.New("unexpected version, parts or keys in the trailer")
			}
			taken, err := json.Marshal(trailer.TakenMs)
			out.Keys = append(out.Keys, &pb.Key{Name: "trailer of 2 parts", Mark: trailer.Ledger, Value: taken})
			return &out, err
		},
		want: want,
	}
}

// plainRecords returns records without assignments, by description.
func plainRecords() map[string]storedFormat {
	entry := jobrecord.Record{
		WriteNumber:    7,
		Shard:          3,
		CompletedTasks: jobrecord.TaskSet{1, 4},
		LastAttempt:    12,
		StopReasons:    []jobrecord.StopReason{*filled[jobrecord.StopReason]("reason")},
	}
	ended := jobrecord.Record{
		WriteNumber:    9,
		Shard:          3,
		Stage:          jobrecord.Done,
		CompletedTasks: jobrecord.TaskSet{0, 39},
		AcceptedAtMS:   1_700_000_000_000,
		Submitter:      "anna",
		Team:           "team",
		Class:          "class",
	}
	cancelled := jobrecord.Record{
		WriteNumber:    9,
		Shard:          3,
		Stage:          jobrecord.Cancelled,
		CancelledAtMS:  1_700_000_000_000,
		CancelledByJob: "wk-2",
		Team:           "team",
		Class:          "class",
	}
	return map[string]storedFormat{
		"record, nothing in it":        plainRecord(jobrecord.Record{}),
		"record of a job that is done": plainRecord(ended),
		"record of a cancelled job":    plainRecord(cancelled),
		"entry of a shared value":      plainRecord(entry),
	}
}

// assignedRecords returns records with assignments, in each of their stored forms.
func assignedRecords() map[string]storedFormat {
	numbers := []machine{{"m-001", "a"}, {"m-017", "a"}, {"m-900", "b"}, {"m-002", "c"}}
	words := []machine{{"kiln-ab", "a"}, {"kiln-cdé", "a"}, {"oven", "b"}, {"x", "c"}}
	return map[string]storedFormat{
		"record, machines by number":                  storedRecord(numbers, false),
		"record, machines by number, packed":          storedRecord(numbers, true),
		"record, machines by name":                    storedRecord(words, false),
		"record, machines by name, packed":            storedRecord(words, true),
		"record that was restored":                    restoredRecord(storedRecord(numbers, false)),
		"record that was restored for the first time": firstRestoredRecord(),
	}
}

// readOrder reads what determines a job's position in the queue.
func readOrder(raw []byte) (any, error) {
	got, err := jobrecord.Decode(raw)
	if err != nil {
		return nil, err
	}
	return []uint64{got.EnqueueRevision, got.RestoreOrder}, nil
}

// restoredRecord returns the form of a record that was restored before and is prepared for another restore.
func restoredRecord(record storedFormat) storedFormat {
	return storedFormat{
		write: func() ([]byte, error) {
			raw, err := record.write()
			return jobrecord.PrepareForRestore(raw, 7, 2_000_000), err
		},
		read: readOrder,
		want: []uint64{0, 2_000_001 + number("record.ob")},
	}
}

// firstRestoredRecord returns the form of a record that is prepared for its first restore.
func firstRestoredRecord() storedFormat {
	first := jobrecord.Record{WriteNumber: 1, Shard: 2, EnqueueRevision: 11, Spec: filled[wire.JobSpec]("spec")}
	return storedFormat{
		write: func() ([]byte, error) {
			raw, err := jobrecord.Encode(&first, nil, false, nil)
			return jobrecord.PrepareForRestore(raw, 7, 30), err
		},
		read: readOrder,
		want: []uint64{0, 20},
	}
}

// storedInventory returns the form of the inventory of equipment.
func storedInventory() storedFormat {
	list := filledProto(&pb.Equipment{}, "list")
	return storedFormat{
		write: func() ([]byte, error) { return reservations.EncodeInventory(list) },
		// In operation core/reservations decodes this form. The test moves the compressed message to the field that
		// UnpackMessage reads.
		read: func(raw []byte) (any, error) {
			var packed struct {
				Data []byte `json:"p"`
			}
			if err := json.Unmarshal(raw, &packed); err != nil {
				return nil, err
			}
			again, err := json.Marshal(map[string][]byte{"b": packed.Data})
			if err != nil {
				return nil, err
			}
			got := &pb.Equipment{}
			return got, jobrecord.UnpackMessage(again, got)
		},
		want: list,
	}
}

// storedAuditHead returns the form of the head of an audit chain.
func storedAuditHead() storedFormat {
	return storedFormat{
		write: func() ([]byte, error) { return json.Marshal(filled[audit.Head]("head")) },
		read: func(raw []byte) (any, error) {
			head := &audit.Head{}
			return head, json.Unmarshal(raw, head)
		},
		want: filled[audit.Head]("head"),
	}
}

// otherValues returns all stored values other than records, and the snapshot file.
func otherValues() map[string]storedFormat {
	entries := batchvalue.Entries{
		"wk-1": json.RawMessage(`{"h":3,"v":7}`),
		"wk-2": json.RawMessage(`{"h":3,"v":8,"d":[0,1]}`),
	}
	return map[string]storedFormat{
		"shared value": {
			write: func() ([]byte, error) { return entries.Encode() },
			read:  func(raw []byte) (any, error) { return batchvalue.Decode(raw) },
			want:  entries,
		},
		"machine types":         storedCatalog(1 << 20),
		"machine types, packed": storedCatalog(1),
		"roles":                 storedMessage(&pb.Access{Roles: filledProto(&pb.Access{}, "roles").Roles}),
		"identity":              storedMessage(filledProto(&pb.Identity{}, "identity")),
		"lanes":                 storedMessage(filledProto(&pb.Lanes{}, "lanes")),
		"list of equipment":     storedInventory(),
		"audit block":           storedBlock(),
		"carried entry":         storedPendingEntry(),
		"audit head":            storedAuditHead(),
		"archive":               storedArchive(),
		"snapshot file":         storedSnapshot(),
	}
}

// Every stored value that has exported types must be encoded as the same bytes as in earlier versions, in all its
// forms, and those bytes must be decoded.
func TestStoredValues(t *testing.T) {
	all := map[string]storedFormat{}
	for _, values := range []map[string]storedFormat{plainRecords(), assignedRecords(), otherValues()} {
		maps.Copy(all, values)
	}
	got := map[string]any{}
	for name, value := range all {
		raw, err := value.write()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if json.Valid(raw) {
			got[name] = string(raw)
		} else {
			got[name] = raw
		}
	}
	for name, golden := range checkGolden(t, "stored", got) {
		value, ok := all[name]
		if !ok {
			continue
		}
		raw := storedBytes(t, golden)
		if v, err := value.read(raw); err != nil || !equal(v, value.want) {
			t.Errorf("%s is decoded as %+v (%v), was encoded from %+v", name, v, err, value.want)
		}
	}
}

// storedBytes returns the stored bytes from a golden file, which holds JSON as text and other bytes in base64.
func storedBytes(t *testing.T, golden json.RawMessage) []byte {
	t.Helper()
	var text string
	if err := json.Unmarshal(golden, &text); err != nil {
		t.Fatal(err)
	}
	if json.Valid([]byte(text)) {
		return []byte(text)
	}
	var raw []byte
	if err := json.Unmarshal(golden, &raw); err != nil {
		t.Fatal(err)
	}
	return raw
}

// The exported keys of the store, its schema version and stored constants must not change.
func TestKeys(t *testing.T) {
	checkGolden(t, "keys", map[string]any{
		"all": []string{
			core.Root,
			core.KeyFencingToken,
			core.KeyJob,
			core.KeyRestored,
			auditlog.Prefix,
			auditlog.KeyInitialized,
			auditlog.HeadPrefix,
			reservations.Prefix,
			reservations.KeyHead,
			reservations.KeyInventory,
			reservations.ArchivePrefix,
			archive.BlockPrefix,
			archive.BlockKey("wk-7"),
			archive.SeekKey("wk-7"),
			archive.MaxID,
			audit.BlockPrefix,
			audit.BlockKey("node-a", 7),
		},
		"leased": core.LeasedKeyPrefixes,
		"form":   core.SchemaVersion,
		"acts": []string{
			auditlog.VerbTakeOver,
			auditlog.VerbStart,
			auditlog.VerbStop,
			auditlog.VerbRestore,
			auditlog.VerbForged,
		},
		"audit states": []string{audit.OutcomeDone, audit.OutcomeRefused},
		"job stages":   []string{jobrecord.Queued, jobrecord.Done, jobrecord.Cancelled},
		"snapshot":     snapshot.Magic,
		"its version":  snapshot.FormatVersion,
	})
}
