package clusterstate

import (
	"slices"
	"testing"
)

// An incremental push carries only the rows that changed. A missing row would leave a controller's copy
// wrong, and unchanged rows would make the push of a large cluster too large.
func TestChangedSinceListsOnlyRealChanges(t *testing.T) {
	total, half := Resources{4000, 0, 4000}, Resources{2000, 0, 2000}
	a := NewArray()
	for _, machine := range []int32{2, 0, 1} {
		a.SetMachine(machine, total, Resources{}, true)
	}
	rows, first := a.ChangedSince(0)
	if got := machinesOf(rows); !slices.Equal(got, []int32{0, 1, 2}) {
		t.Fatalf("all rows are of machines %v, want 0, 1, 2", got)
	}

	a.SetMachine(0, total, Resources{}, true) // no change
	a.SetMachine(1, total, half, true)
	a.SetOffer(2, true, true, half)
	a.SetOffer(7, true, true, half) // unknown machine
	rows, second := a.ChangedSince(first)
	if got := machinesOf(rows); !slices.Equal(got, []int32{1, 2}) {
		t.Fatalf("changed rows are of machines %v, want 1, 2", got)
	}
	if rows[0].Available != half || rows[0].Allocated != half || !rows[1].OfferedLast || rows[1].Reserved != half {
		t.Errorf("changed rows are %+v", rows)
	}

	a.Remove(1)
	if rows, _ = a.ChangedSince(0); len(rows) != 2 || a.Row(1) != nil {
		t.Errorf("removed machine is still listed: %+v", rows)
	}
	if rows, third := a.ChangedSince(second); len(rows) != 0 || third != second {
		t.Errorf("without a change, revision went from %d to %d with rows %+v", second, third, rows)
	}
}

func machinesOf(rows []Row) (machines []int32) {
	for _, row := range rows {
		machines = append(machines, row.Machine)
	}
	return machines
}
