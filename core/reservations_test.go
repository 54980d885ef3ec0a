package core

import (
	"slices"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/core/reservations"
	"dewlift/wire"
)

// An equipment list that its sender may not set must not be written: the response is 403, and the list in force stays.
func TestForbiddenEquipmentIsNotWritten(t *testing.T) {
	c := newCoreWithPermissions(t)
	c.schema.active = SchemaVersion
	inventory, err := booking.Parse([]byte(`pieces { name: "k" kind: "kiln" slot_minutes: 1 }`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := reservations.EncodeInventory(inventory.Source())
	if err != nil {
		t.Fatal(err)
	}
	list := wire.WatchEvent{Put: reservations.KeyInventory, Value: raw, Revision: 11}
	watchEvents(c, 1150*time.Millisecond, 11, list)
	c.Handle(1200*time.Millisecond, WallClock{UnixMS: 1_700_000_000_000})
	edit := wire.EquipmentEdit{Text: `pieces { name: "other" kind: "kiln" slot_minutes: 1 }`}
	c.Handle(1200*time.Millisecond, SetEquipment{RequestID: 5, Caller: potter, Edit: edit})
	for _, commit := range outputsOfType[CommitTxn](c.Advance(1200 * time.Millisecond)) {
		if slices.ContainsFunc(commit.Txn.Then, func(w wire.Write) bool { return w.Put == reservations.KeyInventory }) {
			t.Errorf("the list of a caller without permission is written: %+v", commit.Txn)
		}
	}
}
