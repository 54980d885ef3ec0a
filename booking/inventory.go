// Package booking decides reservations of shared equipment. It is deterministic and does no I/O: the same
// reservations, equipment, time and request always give the same result. It keeps the schedule in memory; package
// core/reservations stores it. It must not authorize requests: its callers do.
package booking

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // for hosts without an installed time zone database

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

// Limits of an equipment list.
const (
	maxItems           = 500
	maxUnits           = 200 // of an item
	maxSlotMinutes     = minutesPerDay
	maxCooldownMinutes = 7 * minutesPerDay
	maxRules           = 50   // of each kind in an item: opening hours, closed days
	firstYear          = 2000 // in which a reservation may begin
	lastYear           = 2100 // exclusive
)

const (
	secondsPerDay = 86400
	minutesPerDay = 24 * 60

	// maxCachedDays bounds the days whose opening hours are cached for an item.
	maxCachedDays = 4000

	// maxQuotedBytes bounds what an error quotes of a caller's text.
	maxQuotedBytes = 80

	dayFormat   = "2006-01-02"
	clockFormat = "2006-01-02T15:04"
)

var validName = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,39}$`)

// Inventory is a validated equipment list. It is immutable except for its calendar caches, which are not
// synchronized: only one goroutine may use it.
type Inventory struct {
	source      *pb.Equipment
	location    *time.Location
	itemsByName map[string]*equipmentItem
	items       []*equipmentItem
}

// equipmentItem is a piece of equipment, which may have several interchangeable units.
type equipmentItem struct {
	*pb.Piece
	slotSeconds, cooldownSeconds int64
	unitCount                    int
	openingRules                 []openingHours
	closedDays                   []dayRule
	openingCache                 map[int]interval // opening hours by days since 1970

	// invalid is why a stored item can't be reserved, or nil. Reservations of such an item stay as they are.
	invalid error
}

// Parse reads an equipment list in protobuf text format. Its error is a single line and names the invalid field.
func Parse(text []byte) (*Inventory, error) {
	var equipment pb.Equipment
	if err := prototext.Unmarshal(text, &equipment); err != nil {
		return nil, err
	}
	return NewInventory(&equipment)
}

// NewInventory validates an equipment list. The caller must not modify the list afterwards.
func NewInventory(equipment *pb.Equipment) (*Inventory, error) {
	inv, invalid, err := LoadInventory(equipment)
	switch {
	case err != nil:
		return nil, err
	case len(invalid) > 0:
		return nil, invalid[0]
	}
	return inv, nil
}

// LoadInventory reads a stored equipment list, which an earlier version may have validated by other rules. An item
// that is invalid now can't be reserved any more; the errors in invalid tell why. The caller must not modify the list
// afterwards.
func LoadInventory(equipment *pb.Equipment) (inv *Inventory, invalid []error, err error) {
	zone, err := time.LoadLocation(equipment.TimeZone)
	if err != nil || strings.EqualFold(equipment.TimeZone, "local") {
		return nil, nil, fmt.Errorf("time_zone: %q is no time zone", quoteInput(equipment.TimeZone))
	}
	if len(equipment.Pieces) > maxItems {
		return nil, nil, fmt.Errorf("%d pieces, at most %d are allowed", len(equipment.Pieces), maxItems)
	}
	inv = &Inventory{source: equipment, location: zone, itemsByName: map[string]*equipmentItem{}}
	for i, piece := range equipment.Pieces {
		item, err := newEquipmentItem(piece)
		if err == nil && inv.itemsByName[piece.Name] != nil {
			err = errors.New(".name: used twice")
		}
		if err != nil {
			err = fmt.Errorf("pieces[%d] (%s)%w", i, quoteInput(piece.Name), err)
			invalid = append(invalid, err)
			item.invalid = err
		}
		if inv.itemsByName[piece.Name] == nil {
			inv.itemsByName[piece.Name] = item
			inv.items = append(inv.items, item)
		}
	}
	return inv, invalid, nil
}

// newEquipmentItem validates an item. It returns the item with an error too, for the reservations that it has.
func newEquipmentItem(piece *pb.Piece) (*equipmentItem, error) {
	item := &equipmentItem{
		Piece:           piece,
		slotSeconds:     60 * int64(piece.SlotMinutes),
		cooldownSeconds: 60 * int64(piece.CoolMinutes),
		unitCount:       max(1, int(piece.Units)),
		openingCache:    map[int]interval{},
	}
	if err := item.validateLimits(); err != nil {
		item.unitCount = min(item.unitCount, maxUnits)
		return item, err
	}
	if err := item.parseHours(); err != nil {
		return item, err
	}
	return item, item.parseClosedDays()
}

// validateLimits validates the names and numbers of an item.
func (item *equipmentItem) validateLimits() error {
	piece := item.Piece
	switch {
	case !validName.MatchString(piece.Name):
		return fmt.Errorf(".name: %q is no name", quoteInput(piece.Name))
	case !validName.MatchString(piece.Kind):
		return fmt.Errorf(".kind: %q is no name", quoteInput(piece.Kind))
	case item.unitCount > maxUnits:
		return fmt.Errorf(".units: %d, at most %d are allowed", item.unitCount, maxUnits)
	case piece.SlotMinutes < 1 || piece.SlotMinutes > maxSlotMinutes:
		return fmt.Errorf(".slot_minutes: %d, must be from 1 to %d", piece.SlotMinutes, maxSlotMinutes)
	case piece.CoolMinutes > maxCooldownMinutes:
		return fmt.Errorf(".cool_minutes: %d, at most %d are allowed", piece.CoolMinutes, maxCooldownMinutes)
	case len(piece.Hours) > maxRules || len(piece.Closed) > maxRules:
		return fmt.Errorf(
			": %d hours and %d closed, at most %d of each are allowed",
			len(piece.Hours),
			len(piece.Closed),
			maxRules,
		)
	}
	for _, unit := range piece.Out {
		if unit < 1 || int(unit) > item.unitCount {
			return fmt.Errorf(".out: there is no unit %d", unit)
		}
	}
	return nil
}

// parseHours parses the opening hours of an item.
func (item *equipmentItem) parseHours() error {
	for i, hours := range item.Hours {
		days, err := parseRule(hours.Rule)
		if err != nil {
			return fmt.Errorf(".hours[%d].rule: %w", i, err)
		}
		from, fromOK := parseTimeOfDay(hours.From)
		to, toOK := parseTimeOfDay(hours.To)
		if !fromOK || !toOK || from >= to {
			return fmt.Errorf(".hours[%d]: from %q to %q is no time of a day",
				i, quoteInput(hours.From), quoteInput(hours.To))
		}
		item.openingRules = append(item.openingRules, openingHours{days, from, to})
	}
	return nil
}

// parseClosedDays parses the days on which an item is closed.
func (item *equipmentItem) parseClosedDays() error {
	for i, text := range item.Closed {
		days, err := parseClosedDay(text)
		if err != nil {
			return fmt.Errorf(".closed[%d]: %w", i, err)
		}
		item.closedDays = append(item.closedDays, days)
	}
	return nil
}

// Source returns the equipment list. The caller must not modify it.
func (inv *Inventory) Source() *pb.Equipment { return inv.source }

// candidates returns the items that can meet a want.
func (inv *Inventory) candidates(want *pb.Want) []*equipmentItem {
	if want.Piece != "" {
		if item := inv.itemsByName[want.Piece]; item != nil && item.invalid == nil {
			return []*equipmentItem{item}
		}
		return nil
	}
	var out []*equipmentItem
	for _, item := range inv.items {
		if item.invalid == nil && item.Kind == want.Kind && (want.Zone == "" || item.Zone == want.Zone) {
			out = append(out, item)
		}
	}
	return out
}

// allowsTeam reports whether a team may reserve the item.
func (item *equipmentItem) allowsTeam(team string) bool {
	return len(item.Teams) == 0 || slices.Contains(item.Teams, team)
}

// isUnitUsable reports whether a unit exists and is not out of order.
func (item *equipmentItem) isUnitUsable(unit int) bool {
	return unit >= 1 && unit <= item.unitCount && !slices.Contains(item.Out, uint32(unit))
}

// ItemKind returns the kind of an item, or "" if there is none of that name.
func (inv *Inventory) ItemKind(name string) string {
	if item := inv.itemsByName[name]; item != nil {
		return item.Kind
	}
	return ""
}

// WantKind returns the kind of equipment that a want is for.
func (inv *Inventory) WantKind(want *pb.Want) string {
	if want.Piece != "" {
		return inv.ItemKind(want.Piece)
	}
	return want.Kind
}
