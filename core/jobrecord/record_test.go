package jobrecord

import (
	"dewlift/internal/compress"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
)

// A packed value that was damaged is an error, never a crash.
func TestDamagedPackedRecordIsAnError(t *testing.T) {
	r := &Record{
		Assignments: []AssignmentGroup{
			{
				Zone:           "a",
				Incarnation:    3,
				NamePrefix:     "m-",
				NameSuffixes:   []string{"001", "017"},
				RunsPerMachine: []int{1, 2},
				TaskRuns:       []uint64{0, 5, 2, 7, 9, 1, 8, 1, 1},
			},
		},
		CompletedTasks: TaskSet{2, 3}, Spec: &wire.JobSpec{Tasks: 10, Dependencies: []string{"wk-1", "wk-12"}},
	}
	want := *r
	wantSpec := *r.Spec
	if err := r.packLists(); err != nil {
		t.Fatal(err)
	}
	plain, err := compress.Inflate(r.PackedLists, maxUnpackedBytes)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.unpackLists(); err != nil || !reflect.DeepEqual(r.Assignments, want.Assignments) ||
		!reflect.DeepEqual(r.CompletedTasks, want.CompletedTasks) ||
		!reflect.DeepEqual(*r.Spec, wantSpec) {
		t.Fatalf("got %+v %+v (%v)", r, r.Spec, err)
	}
	bad := 0
	for i := range plain {
		for _, b := range []byte{0, 1, 0x7f, 0xff} {
			x := slices.Clone(plain)
			x[i] = b
			for _, cut := range [][]byte{x, x[:i]} {
				packed, err := compress.Deflate(cut)
				if err != nil {
					t.Fatal(err)
				}
				raw, err := json.Marshal(Record{PackedLists: packed, Spec: &wire.JobSpec{Tasks: 10}})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := Decode(raw); err != nil {
					bad++
				}
			}
		}
	}
	if bad == 0 {
		t.Error("no damage was noticed")
	}
}

// The machine types must fit a value too, or a controller that restarts while the cloud is down
// serves nobody.
func TestManyMachineTypesFitAValue(t *testing.T) {
	var k wire.Catalog
	for i := range 20 {
		k.Types = append(
			k.Types,
			wire.MachineType{
				Name:     fmt.Sprintf("some-type-%d", i),
				CPUs:     float64(i),
				MemoryGB: 8,
				Price:    1.5,
				Zones:    []string{"a-zone", "b-zone"},
			},
		)
	}
	raw, err := EncodeCatalog(&k, 2048, true)
	if err != nil || len(raw) > 2048 {
		t.Fatalf("%d bytes (%v)", len(raw), err)
	}
	got, err := DecodeCatalog(raw)
	if err != nil || !reflect.DeepEqual(got, k) {
		t.Errorf("got %+v (%v)", got, err)
	}
}

// A stored record, damaged in any way, is an error or a record that says the same when written again.
func FuzzDecodeRecord(f *testing.F) {
	for _, raw := range []string{
		`{"h":1,"st":"d","d":[0,4]}`, `{"h":1,"st":"c","by":"wk-2","w":[{"i":1,"m":"m","c":"idle","t":5}]}`,
		`{"h":0,"s":{"tm":"t","n":4,"rc":[1000,0,1000],"aw":["wk-1"]},"a":[{"z":"a","s":1,"p":"m-","m":["1","2"],"n":[1,1],"r":[0,1,1,2,3,2]}],"d":[1,1],"t":4}`,
		`{"h":1,"b":"AA=="}`, `{"h":1,"d":[0]}`,
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil || len(r.Assignments) > 20 {
			return
		}
		var names, zones []string // machines are interned as they come
		seat := func(name, zone string) int32 {
			if i := slices.Index(names, name); i >= 0 {
				return int32(i)
			}
			names, zones = append(names, name), append(zones, zone)
			return int32(len(names) - 1)
		}
		for _, p := range r.Assignments { // what no controller writes: it would only be slow
			for i := 2; i < len(p.TaskRuns); i += 3 {
				if p.TaskRuns[i] > 1000 {
					return
				}
			}
		}
		place := r.ExpandAssignments(seat)
		again, err := Encode(r, place, false, func(m int32) (string, string) { return names[m], zones[m] })
		if err != nil {
			t.Fatal(err)
		}
		if r, err = Decode(again); err != nil || len(r.ExpandAssignments(seat)) != len(place) {
			t.Fatalf("%s became %s: %v", raw, again, err)
		}
	})
}

func TestTaskSetMembership(t *testing.T) {
	var r TaskSet
	for _, v := range []int{5, 3, 4, 9, 0, 8, 5} {
		r = r.Add(v)
	}
	if r.Count() != 6 || len(r) != 6 || !r.IsValid(10) || r.IsValid(9) {
		t.Fatalf("got %v", r)
	}
	for v := 0; v < 10; v++ {
		want := v == 0 || v >= 3 && v <= 5 || v >= 8
		if r.Contains(v) != want {
			t.Errorf("has(%d) is %v", v, !want)
		}
	}
}

// A snapshot's jobs keep their order, before all that come after it, also when it is restored again and again.
func TestRestoredJobsKeepQueueOrder(t *testing.T) {
	raw := func(r Record) json.RawMessage {
		r.Spec = &wire.JobSpec{Tasks: 1}
		out, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	before := func(raw json.RawMessage) uint64 {
		r, err := Decode(raw)
		if err != nil || r.EnqueueRevision != 0 || r.Spec == nil {
			t.Fatal(r, err)
		}
		return r.RestoreOrder
	}
	// Accepted as 10 and written again as 90; as 50, once; restored earlier, first and second.
	a, b := PrepareForRestore(raw(Record{EnqueueRevision: 10}), 90, 100), PrepareForRestore(raw(Record{}), 50, 100)
	c, d := PrepareForRestore(
		raw(Record{RestoreOrder: 7, EnqueueRevision: 3}),
		60,
		100,
	), PrepareForRestore(
		raw(Record{RestoreOrder: 5, EnqueueRevision: 3}),
		60,
		100,
	)
	if !(before(c) > before(d) && before(d) > before(a) && before(a) > before(b) && before(b) > 0) {
		t.Errorf("%d, %d, %d, %d", before(a), before(b), before(c), before(d))
	}
	over := json.RawMessage(`{"h":1,"st":"d"}`)
	if string(PrepareForRestore(over, 5, 100)) != string(over) {
		t.Error("one that is over")
	}
}
