package golden

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/core/booking"
	"dewlift/core/ledger"
	"dewlift/core/recorder"
	"dewlift/core/shared"
	pb "dewlift/proto"
	"dewlift/snapshot"
	"dewlift/wire"
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
	record ledger.Record
	place  []ledger.Asg
}

type machine struct{ name, zone string }

// storedRecord is a job's record with everything in it, on machines.
func storedRecord(machines []machine, packed bool) stored {
	r := filled[ledger.Record]("record")
	r.Place, r.Packed, r.Done, r.Spec.Tasks = nil, nil, ledger.Ranges{0, 2, 9, 9}, 40
	place := []ledger.Asg{{Task: 3, Machine: 0, Session: 5, Try: 7}, {Task: 4, Machine: 0, Session: 5, Try: 8}, {Task: 12, Machine: 0, Session: 5, Try: 30},
		{Task: 6, Machine: 1, Session: 5, Try: 9}, {Task: 10, Machine: 2, Session: 1 << 40, Try: 1}, {Task: 11, Machine: 3, Session: 6, Try: 2}}
	return stored{
		write: func() ([]byte, error) {
			return ledger.Encode(r, place, packed, func(m int32) (string, string) { return machines[m].name, machines[m].zone })
		},
		read: func(raw []byte) (any, error) {
			got, err := ledger.Decode(raw)
			if err != nil {
				return nil, err
			}
			list := got.Assigned(func(name, zone string) int32 { return int32(slices.Index(machines, machine{name, zone})) })
			slices.SortFunc(list, func(a, b ledger.Asg) int {
				return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Task, b.Task))
			})
			got.Place = nil
			return placed{*got, list}, nil
		},
		want: placed{*r, place},
	}
}

// plainRecord is a record without assignments.
func plainRecord(r ledger.Record) stored {
	return stored{
		write: func() ([]byte, error) { return ledger.Encode(&r, nil, false, nil) },
		read: func(raw []byte) (any, error) {
			got, err := ledger.Decode(raw)
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
		write: func() ([]byte, error) { return ledger.PackMessage(m) },
		read: func(raw []byte) (any, error) {
			got := m.ProtoReflect().New().Interface()
			return got, ledger.UnpackMessage(raw, got)
		},
		want: m,
	}
}

func storedCatalog(most int) stored {
	k := filled[wire.Catalog]("types")
	return stored{
		write: func() ([]byte, error) { return ledger.EncodeCatalog(k, most, true) },
		read:  func(raw []byte) (any, error) { return ledger.DecodeCatalog(raw) },
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
			raw, n, _, err := auditKey.Extend(h, "node-a", 250, [][]byte{audit.Encode(entries[0]), audit.Encode(entries[1])}, 1<<20)
			if n != 2 {
				return nil, errors.New("not all entries are in the block")
			}
			return raw, err
		},
		read: func(raw []byte) (any, error) {
			c := audit.Chain{Node: "node-a", Keys: []audit.Key{auditKey}, Number: h.Number, Code: h.Code}
			b, err := c.Next(h.Number+1, raw)
			if err != nil {
				return nil, err
			}
			out := &pb.AuditBlock{Number: b.Number, BoundMs: b.BoundMS}
			for _, e := range b.Entries {
				out.Entries = append(out.Entries, audit.Encode(e))
			}
			return out, nil
		},
		want: &pb.AuditBlock{Number: h.Number + 1, BoundMs: 250, Entries: [][]byte{audit.Encode(entries[0]), audit.Encode(entries[1])}},
	}
}

// storedCarried is an entry as a value carries it.
func storedCarried() stored {
	e := messageOf(&pb.AuditEntry{}, "carried")
	return stored{
		write: func() ([]byte, error) { return json.Marshal(auditKey.Carry("node-a", "dl/job/wk-1", e)) },
		read: func(raw []byte) (any, error) {
			var c audit.Carried
			if err := json.Unmarshal(raw, &c); err != nil {
				return nil, err
			}
			return auditKey.Open("dl/job/wk-1", &c)
		},
		want: e,
	}
}

func storedArchive() stored {
	b := &archive.Block{Low: "wk-", High: archive.Top, Entries: []archive.Entry{
		{ID: "wk-1", Done: 7, Team: "team", Class: "class"},
		{ID: "wk-12", Cancelled: true, Done: 1, By: "wk-0", Team: "team", Class: "other", Why: []archive.Reason{{Task: 3, Machine: "m-1", Cause: "idle", AtMS: 1_700_000_000_000}}},
		{ID: "wk-3", Done: 100_000},
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

// Every stored value that has exported types, in all its forms: the same bytes are written, and those of before are read.
func TestStored(t *testing.T) {
	numbers := []machine{{"m-001", "a"}, {"m-017", "a"}, {"m-900", "b"}, {"m-002", "c"}}
	words := []machine{{"kiln-ab", "a"}, {"kiln-cdé", "a"}, {"oven", "b"}, {"x", "c"}}
	entry := ledger.Record{V: 7, Shard: 3, Done: ledger.Ranges{1, 4}, Tries: 12, Why: []ledger.Reason{*filled[ledger.Reason]("reason")}}
	ended := ledger.Record{V: 9, Shard: 3, Stage: ledger.Done, Done: ledger.Ranges{0, 39}, AtMS: 1_700_000_000_000, Who: "anna", Team: "team", Class: "class"}
	cancelled := ledger.Record{V: 9, Shard: 3, Stage: ledger.Cancelled, CancelMS: 1_700_000_000_000, By: "wk-2", Team: "team", Class: "class"}
	entries := shared.Entries{"wk-1": json.RawMessage(`{"h":3,"v":7}`), "wk-2": json.RawMessage(`{"h":3,"v":8,"d":[0,1]}`)}
	list := messageOf(&pb.Equipment{}, "list")
	restored := storedRecord(numbers, false)
	first := ledger.Record{V: 1, Shard: 2, Turn: 11, Spec: filled[wire.JobSpec]("spec")}
	all := map[string]stored{
		"record, machines by number":         storedRecord(numbers, false),
		"record, machines by number, packed": storedRecord(numbers, true),
		"record, machines by name":           storedRecord(words, false),
		"record, machines by name, packed":   storedRecord(words, true),
		"record, nothing in it":              plainRecord(ledger.Record{}),
		"record of a job that is done":       plainRecord(ended),
		"record of a cancelled job":          plainRecord(cancelled),
		"entry of a shared value":            plainRecord(entry),
		"record that was restored": {
			write: func() ([]byte, error) {
				raw, err := restored.write()
				return ledger.Restored(raw, 7, 2_000_000), err
			},
			read: func(raw []byte) (any, error) {
				got, err := ledger.Decode(raw)
				if err != nil {
					return nil, err
				}
				return []uint64{got.Turn, got.Before}, nil
			},
			want: []uint64{0, 2_000_001 + number("record.ob")},
		},
		"record that was restored for the first time": {
			write: func() ([]byte, error) {
				raw, err := ledger.Encode(&first, nil, false, nil)
				return ledger.Restored(raw, 7, 30), err
			},
			read: func(raw []byte) (any, error) {
				got, err := ledger.Decode(raw)
				if err != nil {
					return nil, err
				}
				return []uint64{got.Turn, got.Before}, nil
			},
			want: []uint64{0, 20},
		},
		"shared value": {
			write: func() ([]byte, error) { return entries.Encode() },
			read:  func(raw []byte) (any, error) { return shared.Decode(raw) },
			want:  entries,
		},
		"machine types":         storedCatalog(1 << 20),
		"machine types, packed": storedCatalog(1),
		"roles":                 storedMessage(&pb.Access{Roles: messageOf(&pb.Access{}, "roles").Roles}),
		"identity":              storedMessage(messageOf(&pb.Identity{}, "identity")),
		"lanes":                 storedMessage(messageOf(&pb.Lanes{}, "lanes")),
		"list of equipment": {
			write: func() ([]byte, error) { return booking.EncodeList(list) },
			read: func(raw []byte) (any, error) { // core/booking reads it; here it is the packed message, under another name
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
				return got, ledger.UnpackMessage(again, got)
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
		"all": []string{core.Root, core.KeyEpoch, core.KeyJob, core.KeyRestored, recorder.Prefix, recorder.KeyBegun, recorder.KeyHead, booking.Prefix, booking.KeyHead,
			booking.KeyList, booking.PastPrefix, archive.Prefix, archive.Key("wk-7"), archive.Before("wk-7"), archive.Top, audit.Prefix, audit.BlockKey("node-a", 7)},
		"leased":       core.LeasedKeys,
		"form":         core.Form,
		"acts":         []string{recorder.Take, recorder.Start, recorder.Stop, recorder.Restore, recorder.Forged},
		"audit states": []string{audit.Done, audit.Refused},
		"job stages":   []string{ledger.Queued, ledger.Done, ledger.Cancelled},
		"snapshot":     snapshot.Magic,
		"its version":  snapshot.Version,
	})
}
