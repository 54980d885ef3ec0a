package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// An equipment list from a caller without permission must not be written.
func TestForbiddenEquipmentIsNotWritten(t *testing.T) {
	c := newCoreWithPermissions(t)
	putEquipment(t, c, 1150*time.Millisecond, 11)
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
	grantToPotter(t, c, 3000, pb.Verb_equip) // a list is parsed only for a caller who may set it
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
		{"equipment", "equipment: ", SetEquipment{Caller: potter, Edit: wire.EquipmentEdit{Text: items.String()}}},
	} {
		c.Handle(10*time.Second, tt.input)
		responses := outputsOfType[Response](c.Advance(10 * time.Second))
		if len(responses) != 1 || responses[0].Status != wire.StatusBadRequest ||
			!strings.HasPrefix(responses[0].Body.(wire.ReservationResponse).Error, tt.want) {
			t.Errorf("%s: %+v", tt.name, responses)
		}
	}
}

// A caller without permission must learn nothing of how a list or a date is judged: both were evaluated before the
// permission was asked for, so that anybody could keep the event loop busy.
func TestPermissionIsAskedBeforeInputIsEvaluated(t *testing.T) {
	for name, in := range map[string]Input{
		"equipment": SetEquipment{
			RequestID: deniedRequestID, Caller: potter, Edit: wire.EquipmentEdit{Text: "no list"},
		},
		"classes": SetPriorityClasses{RequestID: deniedRequestID, Caller: potter, Text: "no list"},
		"date": ReserveEquipment{RequestID: deniedRequestID, Caller: potter, Request: wire.ReservationRequest{
			ID: "r-1", Team: "t", Slots: []wire.SlotRequest{{Equipment: "k", From: "0000-01-01T00:00"}},
		}},
	} {
		c := newAuditingCoreWithEquipment(t)
		c.Handle(deniedRequestAt, in)
		statuses, writes := responsesAndWrites(c, 20*time.Second)
		if !slices.Equal(statuses, []wire.Status{wire.StatusForbidden}) {
			t.Errorf("%s: statuses %v, want one %v", name, statuses, wire.StatusForbidden)
		}
		for _, write := range writes {
			if write.Put == reservations.KeyInventory || write.Put == reservations.KeyHead {
				t.Errorf("%s: a denied request writes %s", name, write.Put)
			}
		}
	}
}

// A permission that was just granted at another controller must count: a caller is denied only after a read barrier.
func TestEquipmentIsDeniedOnlyAfterAReadBarrier(t *testing.T) {
	c := newAuditingCoreWithEquipment(t)
	edit := wire.EquipmentEdit{Text: equipmentText}
	c.Handle(deniedRequestAt, SetEquipment{RequestID: deniedRequestID, Caller: potter, Edit: edit})
	grantToPotter(t, c, 3000, pb.Verb_equip)
	c.Handle(deniedRequestAt, WatchResult{Status: wire.StatusOK, Changes: wire.WatchResponse{Revision: 3000}})
	statuses, _ := responsesAndWrites(c, 20*time.Second)
	if !slices.Equal(statuses, []wire.Status{wire.StatusOK}) {
		t.Errorf("statuses %v, want one %v", statuses, wire.StatusOK)
	}
}
