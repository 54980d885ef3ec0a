package sim

import (
	"strings"
	"time"

	"dewlift/core"
	"dewlift/core/reservations"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Callers without permission try to replace the inventory of equipment again and again: every request must be denied,
// and their inventories must never be stored.

const (
	// deniedItemName names the item in the inventories that are sent without permission.
	deniedItemName = "denied"

	maxDeniedEditInterval = 6 * time.Second
)

// scheduleDeniedEdits schedules changes of the inventory by users who may not change it.
func (c *reservationChecker) scheduleDeniedEdits() {
	sim := c.sim
	sim.schedule(sim.randomDuration(time.Second, maxDeniedEditInterval), func() {
		c.sendDeniedEdit()
		c.scheduleDeniedEdits()
	})
}

// sendDeniedEdit sends an inventory without permission. No response and status 503 prove nothing; any other status than
// 403 is a violation.
func (c *reservationChecker) sendDeniedEdit() {
	sim := c.sim
	caller := sim.randomUser()
	text := parseEquipment(` pieces { name: "` + deniedItemName + `" kind: "kiln" slot_minutes: 60 }`).Source().String()
	edit := wire.EquipmentEdit{Text: text, EndDisplaced: true, Reason: "sent without permission"}
	sim.sendRequest(sim.anyNode(), reservationTimeout, func(requestID uint64) core.Input {
		return core.SetEquipment{RequestID: requestID, Caller: caller, Edit: edit}
	}, func(response core.Response, ok bool) {
		if !ok || response.Status == wire.StatusUnavailable {
			return
		}
		c.deniedEdits++
		if response.Status != wire.StatusForbidden {
			sim.Checker.violated("let_in", "an inventory of %s got status %d: %v",
				caller.Identity, response.Status, response.Body)
		}
	})
}

// checkNoDeniedItem checks that no inventory of a caller without permission is stored.
func (c *reservationChecker) checkNoDeniedItem(keys map[string]*wire.KeyValue) {
	stored := keys[reservations.KeyInventory]
	if stored == nil {
		return
	}
	var equipment pb.Equipment
	if err := reservations.DecodeInventory(stored.Value, &equipment); err != nil {
		c.sim.Checker.violated("booking", "%s: %v", reservations.KeyInventory, err)
	}
	for _, item := range equipment.Pieces {
		if strings.EqualFold(item.Name, deniedItemName) {
			c.sim.Checker.violated("let_in", "the inventory of a caller without permission is stored: %v", &equipment)
		}
	}
}
