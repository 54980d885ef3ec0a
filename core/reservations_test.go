package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/booking"
	"dewlift/core/reservations"
	"dewlift/wire"
)

// An equipment list from a caller without permission must not be written.
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

// A request with a text that can't be stored must be refused at once, with the name of the field, and not be
// queued.
func TestUnstorableReservationIsRefusedAtOnce(t *testing.T) {
	c := newAuditingCoreWithEquipment(t)
	long := strings.Repeat("é", 101)
	var items strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&items, "pieces { name: \"k%x\" kind: \"kiln\" slot_minutes: %d }\n", i*7919*104729, 1+i%50)
	}
	for _, tt := range []struct {
		name, want string
		input      Input
	}{
		{"team", "team: ", ReserveEquipment{Request: wire.ReservationRequest{ID: "r-1", Team: long}}},
		{"team of no UTF-8", "team: ", ReserveEquipment{Request: wire.ReservationRequest{ID: "r-1", Team: "a\xff"}}},
		{"id", "id: ", ReserveEquipment{Request: wire.ReservationRequest{ID: "r-\x00"}}},
		{"equipment", "equipment: ", SetEquipment{Edit: wire.EquipmentEdit{Text: items.String()}}},
	} {
		c.Handle(10*time.Second, tt.input)
		responses := outputsOfType[Response](c.Advance(10 * time.Second))
		if len(responses) != 1 || responses[0].Status != wire.StatusBadRequest ||
			!strings.HasPrefix(responses[0].Body.(wire.ReservationResponse).Error, tt.want) {
			t.Errorf("%s: %+v", tt.name, responses)
		}
	}
}
