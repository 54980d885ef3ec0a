package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/core/jobrecord"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// snapshotWithPermissions returns a snapshot with the permissions of examplePolicy, equipment and the current schema
// version.
func snapshotWithPermissions(t *testing.T) SnapshotPage {
	t.Helper()
	page := SnapshotPage{OK: true, Revision: 9}
	put := func(key string, raw json.RawMessage, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		page.Items = append(page.Items, wire.KeyValue{Key: key, Value: raw, Revision: 9})
	}
	policy := examplePolicy(t)
	for _, identity := range policy.Source().Identities {
		raw, err := jobrecord.PackMessage(identity)
		put(keyIdentity+identity.Name, raw, err)
	}
	raw, err := jobrecord.PackMessage(&pb.Access{Roles: policy.Source().Roles})
	put(keyRoles, raw, err)
	inventory, err := booking.Parse([]byte(equipmentText))
	if err != nil {
		t.Fatal(err)
	}
	raw, err = reservations.EncodeInventory(inventory.Source())
	put(reservations.KeyInventory, raw, err)
	put(keyActiveSchema, json.RawMessage(fmt.Sprint(SchemaVersion)), nil)
	return page
}

// Before the permissions are announced, a caller with a valid token is nobody and gets 404 for an accepted job.
func TestReplicaIsAnnouncedAfterWhatItShows(t *testing.T) {
	c := New(testConfig(), 0, 1)
	before := c.Advance(time.Second)
	c.Handle(1100*time.Millisecond, snapshotWithPermissions(t))
	out := c.Advance(1100 * time.Millisecond)
	indexOf := func(is func(o Output) bool) int { return slices.IndexFunc(out, is) }
	loaded := indexOf(func(o Output) bool { _, ok := o.(ReplicaLoaded); return ok })
	permissions := indexOf(func(o Output) bool { _, ok := o.(PermissionsChanged); return ok })
	equipment := indexOf(func(o Output) bool { _, ok := o.(ReservationsEnabled); return ok })
	if len(outputsOfType[ReplicaLoaded](before)) != 0 || permissions < 0 || equipment < 0 ||
		loaded < max(permissions, equipment) {
		t.Errorf("announced: permissions at %d, equipment at %d, replica at %d", permissions, equipment, loaded)
	}
	if again := outputsOfType[ReplicaLoaded](c.Advance(2 * time.Second)); len(again) != 0 {
		t.Error("the replica is announced again")
	}
}
