package jobrecord

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"dewlift/internal/compress"
	"dewlift/wire"
)

// A corrupt packed value must be reported as an error and must not crash the controller.
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
	plain, err := compress.Inflate(r.PackedLists, maxDecompressedBytes)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.unpackLists(); err != nil || !reflect.DeepEqual(r.Assignments, want.Assignments) ||
		!reflect.DeepEqual(r.CompletedTasks, want.CompletedTasks) ||
		!reflect.DeepEqual(*r.Spec, wantSpec) {
		t.Fatalf("got %+v %+v (%v)", r, r.Spec, err)
	}
	rejected := 0
	for i := range plain {
		for _, b := range []byte{0, 1, 0x7f, 0xff} {
			altered := slices.Clone(plain)
			altered[i] = b
			for _, damaged := range [][]byte{altered, altered[:i]} {
				packed, err := compress.Deflate(damaged)
				if err != nil {
					t.Fatal(err)
				}
				raw, err := json.Marshal(Record{PackedLists: packed, Spec: &wire.JobSpec{Tasks: 10}})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := Decode(raw); err != nil {
					rejected++
				}
			}
		}
	}
	if rejected == 0 {
		t.Error("no damaged record was rejected")
	}
}

// A large catalog of machine types must fit in a value. Otherwise a controller that restarts during an outage
// of the cloud can't serve requests.
func TestLargeCatalogFitsValueLimit(t *testing.T) {
	var catalog wire.Catalog
	for i := range 20 {
		catalog.Types = append(
			catalog.Types,
			wire.MachineType{
				Name:     fmt.Sprintf("some-type-%d", i),
				CPUs:     float64(i),
				MemoryGB: 8,
				Price:    1.5,
				Zones:    []string{"a-zone", "b-zone"},
			},
		)
	}
	raw, err := EncodeCatalog(&catalog, 2048, true)
	if err != nil || len(raw) > 2048 {
		t.Fatalf("%d bytes (%v)", len(raw), err)
	}
	got, err := DecodeCatalog(raw)
	if err != nil || !reflect.DeepEqual(got, catalog) {
		t.Errorf("got %+v (%v)", got, err)
	}
}

// A corrupt stored record is either an error or decodes to a record that keeps its content when it is encoded
// again.
func FuzzDecodeRecord(f *testing.F) {
	for _, raw := range []string{
		`{"h":1,"st":"d","d":[0,4]}`, `{"h":1,"st":"c","by":"wk-2","w":[{"i":1,"m":"m","c":"idle","t":5}]}`,
		`{"h":0,"s":{"tm":"t","n":4,"rc":[1000,0,1000],"aw":["wk-1"]},` +
			`"a":[{"z":"a","s":1,"p":"m-","m":["1","2"],"n":[1,1],"r":[0,1,1,2,3,2]}],"d":[1,1],"t":4}`,
		`{"h":1,"b":"AA=="}`, `{"h":1,"d":[0]}`,
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil || len(r.Assignments) > 20 {
			return
		}
		var names, zones []string // by machine index, in order of first use
		machineIndex := func(name, zone string) int32 {
			if i := slices.Index(names, name); i >= 0 {
				return int32(i)
			}
			names, zones = append(names, name), append(zones, zone)
			return int32(len(names) - 1)
		}
		for _, group := range r.Assignments { // longer runs than a controller writes only slow the test down
			for i := 2; i < len(group.TaskRuns); i += 3 {
				if group.TaskRuns[i] > 1000 {
					return
				}
			}
		}
		assignments := r.ExpandAssignments(machineIndex)
		again, err := Encode(r, assignments, false, func(m int32) (string, string) { return names[m], zones[m] })
		if err != nil {
			t.Fatal(err)
		}
		if r, err = Decode(again); err != nil || len(r.ExpandAssignments(machineIndex)) != len(assignments) {
			t.Fatalf("%s became %s: %v", raw, again, err)
		}
	})
}

// Membership, count and validity of a task set must not depend on the order in which tasks complete.
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
			t.Errorf("Contains(%d) is %v", v, !want)
		}
	}
}

// Restored jobs must keep their order and precede all jobs accepted later, also after repeated restores.
func TestRestoredJobsKeepQueueOrder(t *testing.T) {
	encode := func(r Record) json.RawMessage {
		t.Helper()
		r.Spec = &wire.JobSpec{Tasks: 1}
		out, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	restoreOrder := func(raw json.RawMessage) uint64 {
		t.Helper()
		r, err := Decode(raw)
		if err != nil || r.EnqueueRevision != 0 || r.Spec == nil {
			t.Fatal(r, err)
		}
		return r.RestoreOrder
	}
	const snapshotRevision = 100
	// In queue order: two jobs restored earlier, one accepted at revision 10 and written again at 90, one
	// accepted at 50.
	var orders []uint64
	for _, restored := range []json.RawMessage{
		PrepareForRestore(encode(Record{RestoreOrder: 7, EnqueueRevision: 3}), 60, snapshotRevision),
		PrepareForRestore(encode(Record{RestoreOrder: 5, EnqueueRevision: 3}), 60, snapshotRevision),
		PrepareForRestore(encode(Record{EnqueueRevision: 10}), 90, snapshotRevision),
		PrepareForRestore(encode(Record{}), 50, snapshotRevision),
	} {
		orders = append(orders, restoreOrder(restored))
	}
	if orders[0] <= orders[1] || orders[1] <= orders[2] || orders[2] <= orders[3] || orders[3] <= 0 {
		t.Errorf("restore orders %d do not decrease", orders)
	}
	ended := json.RawMessage(`{"h":1,"st":"d"}`)
	if string(PrepareForRestore(ended, 5, snapshotRevision)) != string(ended) {
		t.Error("an ended job's record was changed")
	}
}
