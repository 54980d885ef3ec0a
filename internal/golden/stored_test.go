package golden

import (
	"bytes"
	"cmp"
	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/core/auditlog"
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/core/reservations"
	"dewlift/snapshot"
	"dewlift/wire"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	pb "dewlift/proto"
)

// stored is a value of the state service, or a file: how it is written, and what it is read as.
type stored struct {
	write func() ([]byte, error)
	read  func(raw []byte) (any, error)
	want  any
}

// messageOf is a filled one.
func messageOf[T protobuf.Message](m T, path string) T {
	fillMessage(m.ProtoReflect(), path)
	return m
}

// equal compares messages as such.
func equal(got, want any) bool {
	if m, ok := want.(protobuf.Message); ok {
		have, ok := got.(protobuf.Message)
		return ok && protobuf.Equal(have, m)
	}
	return reflect.DeepEqual(got, want)
}

// placed is a record with its assignments.
type placed struct {
	record jobrecord.Record
	place  []jobrecord.Assignment
}

type machine struct{ name, zone string }

// storedRecord is a job's record with everything in it, on machines.
func storedRecord(machines []machine, packed bool) stored {
	r := filled[jobrecord.Record]("record")
	r.Assignments, r.PackedLists, r.CompletedTasks, r.Spec.Tasks = nil, nil, jobrecord.TaskSet{0, 2, 9, 9}, 40
	place := []jobrecord.Assignment{
		{Task: 3, Machine: 0, Incarnation: 5, Attempt: 7},
		{Task: 4, Machine: 0, Incarnation: 5, Attempt: 8},
		{Task: 12, Machine: 0, Incarnation: 5, Attempt: 30},
		{Task: 6, Machine: 1, Incarnation: 5, Attempt: 9},
		{Task: 10, Machine: 2, Incarnation: 1 << 40, Attempt: 1},
		{Task: 11, Machine: 3, Incarnation: 6, Attempt: 2},
	}
	return stored{
		write: func() ([]byte, error) {
			return jobrecord.Encode(
				r,
				place,
				packed,
				func(m int32) (string, string) { return machines[m].name, machines[m].zone },
			)
		},
		read: func(raw []byte) (any, error) {
			got, err := jobrecord.Decode(raw)
			if err != nil {
				return nil, err
			}
			list := got.ExpandAssignments(
				func(name, zone string) int32 { return int32(slices.Index(machines, machine{name, zone})) },
			)
			slices.SortFunc(list, func(a, b jobrecord.Assignment) int {
				return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Task, b.Task))
			})
			got.Assignments = nil
			return placed{*got, list}, nil
		},
		want: placed{*r, place},
	}
}

// plainRecord is a record without assignments.
func plainRecord(r jobrecord.Record) stored {
	return stored{
		write: func() ([]byte, error) { return jobrecord.Encode(&r, nil, false, nil) },
		read: func(raw []byte) (any, error) {
			got, err := jobrecord.Decode(raw)
			if err != nil {
				return nil, err
			}
			return *got, nil
		},
		want: r,
	}
}

func storedMessage(m protobuf.Message) stored {
	return stored{
		write: func() ([]byte, error) { return jobrecord.PackMessage(m) },
		read: func(raw []byte) (any, error) {
			got := m.ProtoReflect().New().Interface()
			return got, jobrecord.UnpackMessage(raw, got)
		},
		want: m,
	}
}

func storedCatalog(most int) stored {
	k := filled[wire.Catalog]("types")
	return stored{
		write: func() ([]byte, error) { return jobrecord.EncodeCatalog(k, most, true) },
		read:  func(raw []byte) (any, error) { return jobrecord.DecodeCatalog(raw) },
		want:  *k,
	}
}

var auditKey = audit.Key("a key of thirty-two bytes or more")

// storedBlock is a block of an audit chain behind a head.
func storedBlock() stored {
	h := filled[audit.Head]("head")
	entries := []*pb.AuditEntry{messageOf(&pb.AuditEntry{}, "first"), messageOf(&pb.AuditEntry{}, "second")}
	return stored{
		write: func() ([]byte, error) {
			raw, n, _, err := auditKey.EncodeNextBlock(
				h,
				"node-a",
				250,
				[][]byte{audit.Encode(entries[0]), audit.Encode(entries[1])},
				1<<20,
			)
			if n != 2 {
				return nil, errors.New("not all entries are in the block")
			}
			return raw, err
		},
		read: func(raw []byte) (any, error) {
			c := audit.ChainVerifier{
				Node:        "node-a",
				Keys:        []audit.Key{auditKey},
				BlockNumber: h.BlockNumber,
				MAC:         h.MAC,
			}
			b, err := c.VerifyNext(h.BlockNumber+1, raw)
			if err != nil {
				return nil, err
			}
			out := &pb.AuditBlock{Number: b.Number, BoundMs: b.ClockErrorMS}
			for _, e := range b.Entries {
				out.Entries = append(out.Entries, audit.Encode(e))
			}
			return out, nil
		},
		want: &pb.AuditBlock{
			Number:  h.BlockNumber + 1,
			BoundMs: 250,
			Entries: [][]byte{audit.Encode(entries[0]), audit.Encode(entries[1])},
		},
	}
}

// storedCarried is an entry as a value carries it.
func storedCarried() stored {
	e := messageOf(&pb.AuditEntry{}, "carried")
	return stored{
		write: func() ([]byte, error) { return json.Marshal(auditKey.SignEntry("node-a", "dl/job/wk-1", e)) },
		read: func(raw []byte) (any, error) {
			var c audit.PendingEntry
			if err := json.Unmarshal(raw, &c); err != nil {
				return nil, err
			}
			return auditKey.VerifyEntry("dl/job/wk-1", &c)
		},
		want: e,
	}
}

func storedArchive() stored {
	b := &archive.Block{Low: "wk-", High: archive.MaxID, Entries: []archive.Entry{
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
	return stored{
		write: func() ([]byte, error) { return b.Encode() },
		read:  func(raw []byte) (any, error) { return archive.Decode(raw) },
		want:  b,
	}
}

// storedSnapshot is a file of two parts.
func storedSnapshot() stored {
	keys := messageOf(&pb.Keys{}, "snapshot")
	keys.Keys[0].Value = bytes.Repeat([]byte("7"), 256<<10)
	want := protobuf.Clone(keys).(*pb.Keys)
	want.Keys = append(want.Keys, &pb.Key{Name: "trailer of 2 parts", Mark: 77, Value: []byte("1700000000123")})
	return stored{
		write: func() ([]byte, error) {
			var b bytes.Buffer
			w, err := snapshot.NewWriter(&b)
			if err != nil {
				return nil, err
			}
			for _, k := range keys.Keys {
				if err := w.Add(k); err != nil {
					return nil, err
				}
			}
			err = w.Close(77, time.UnixMilli(1_700_000_000_123))
			return b.Bytes(), err
		},
		read: func(raw []byte) (any, error) {
			var out pb.Keys
			t, err := snapshot.Read(bytes.NewReader(raw), func(k *pb.Key) error {
				out.Keys = append(out.Keys, k)
				return nil
			})
			if err != nil {
				return nil, err
			}
			if t.Version != 1 || t.Parts != 2 || t.Keys != 2 {
				return nil, errors.New("other parts or keys")
			}
			taken, err := json.Marshal(t.TakenMs)
			out.Keys = append(out.Keys, &pb.Key{Name: "trailer of 2 parts", Mark: t.Ledger, Value: taken})
			return &out, err
		},
		want: want,
	}
}

// Every stored value that has exported types, in all its forms: the same bytes are written, and
// those of before are read.
func TestStored(t *testing.T) {
	numbers := []machine{{"m-001", "a"}, {"m-017", "a"}, {"m-900", "b"}, {"m-002", "c"}}
	words := []machine{{"kiln-ab", "a"}, {"kiln-cdé", "a"}, {"oven", "b"}, {"x", "c"}}
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
	entries := batchvalue.Entries{
		"wk-1": json.RawMessage(`{"h":3,"v":7}`),
		"wk-2": json.RawMessage(`{"h":3,"v":8,"d":[0,1]}`),
	}
	list := messageOf(&pb.Equipment{}, "list")
	restored := storedRecord(numbers, false)
	first := jobrecord.Record{WriteNumber: 1, Shard: 2, EnqueueRevision: 11, Spec: filled[wire.JobSpec]("spec")}
	all := map[string]stored{
		"record, machines by number":         storedRecord(numbers, false),
		"record, machines by number, packed": storedRecord(numbers, true),
		"record, machines by name":           storedRecord(words, false),
		"record, machines by name, packed":   storedRecord(words, true),
		"record, nothing in it":              plainRecord(jobrecord.Record{}),
		"record of a job that is done":       plainRecord(ended),
		"record of a cancelled job":          plainRecord(cancelled),
		"entry of a shared value":            plainRecord(entry),
		"record that was restored": {
			write: func() ([]byte, error) {
				raw, err := restored.write()
				return jobrecord.PrepareForRestore(raw, 7, 2_000_000), err
			},
			read: func(raw []byte) (any, error) {
				got, err := jobrecord.Decode(raw)
				if err != nil {
					return nil, err
				}
				return []uint64{got.EnqueueRevision, got.RestoreOrder}, nil
			},
			want: []uint64{0, 2_000_001 + number("record.ob")},
		},
		"record that was restored for the first time": {
			write: func() ([]byte, error) {
				raw, err := jobrecord.Encode(&first, nil, false, nil)
				return jobrecord.PrepareForRestore(raw, 7, 30), err
			},
			read: func(raw []byte) (any, error) {
				got, err := jobrecord.Decode(raw)
				if err != nil {
					return nil, err
				}
				return []uint64{got.EnqueueRevision, got.RestoreOrder}, nil
			},
			want: []uint64{0, 20},
		},
		"shared value": {
			write: func() ([]byte, error) { return entries.Encode() },
			read:  func(raw []byte) (any, error) { return batchvalue.Decode(raw) },
			want:  entries,
		},
		"machine types":         storedCatalog(1 << 20),
		"machine types, packed": storedCatalog(1),
		"roles":                 storedMessage(&pb.Access{Roles: messageOf(&pb.Access{}, "roles").Roles}),
		"identity":              storedMessage(messageOf(&pb.Identity{}, "identity")),
		"lanes":                 storedMessage(messageOf(&pb.Lanes{}, "lanes")),
		"list of equipment": {
			write: func() ([]byte, error) { return reservations.EncodeInventory(list) },
			// core/booking reads it; here it is the packed message, under another name
			read: func(raw []byte) (any, error) {
				var v struct {
					Data []byte `json:"p"`
				}
				if err := json.Unmarshal(raw, &v); err != nil {
					return nil, err
				}
				again, err := json.Marshal(map[string][]byte{"b": v.Data})
				if err != nil {
					return nil, err
				}
				got := &pb.Equipment{}
				return got, jobrecord.UnpackMessage(again, got)
			},
			want: list,
		},
		"audit block":   storedBlock(),
		"carried entry": storedCarried(),
		"audit head": {
			write: func() ([]byte, error) { return json.Marshal(filled[audit.Head]("head")) },
			read: func(raw []byte) (any, error) {
				h := &audit.Head{}
				return h, json.Unmarshal(raw, h)
			},
			want: filled[audit.Head]("head"),
		},
		"archive":       storedArchive(),
		"snapshot file": storedSnapshot(),
	}
	got := map[string]any{}
	for name, x := range all {
		raw, err := x.write()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if json.Valid(raw) {
			got[name] = string(raw)
		} else {
			got[name] = raw
		}
	}
	for name, was := range same(t, "stored", got) {
		x, ok := all[name]
		if !ok {
			continue
		}
		var raw []byte
		var text string
		if err := json.Unmarshal(was, &text); err != nil {
			t.Fatal(err)
		}
		if raw = []byte(text); !json.Valid(raw) {
			if err := json.Unmarshal(was, &raw); err != nil {
				t.Fatal(err)
			}
		}
		if v, err := x.read(raw); err != nil || !equal(v, x.want) {
			t.Errorf("%s is read as %+v (%v), was written from %+v", name, v, err, x.want)
		}
	}
}

// The keys of the state service, as far as they are exported, and the forms.
func TestKeys(t *testing.T) {
	same(t, "keys", map[string]any{
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
