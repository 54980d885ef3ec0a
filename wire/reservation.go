package wire

// Paths of bookings; all are ours.
const (
	PathReservations = "/v1/bookings"
	PathEquipment    = "/v1/equipment"
)

// ReservationRequest asks for a booking, or changes one. Times are as the site's clocks show them,
// 2027-03-04T08:00, or with an offset.
type ReservationRequest struct {
	ID     string        `json:"id,omitempty"` // chosen by whoever books; a repeat names the same
	Team   string        `json:"team,omitempty"`
	Slots  []SlotRequest `json:"slots,omitempty"`  // all or none
	Repeat string        `json:"repeat,omitempty"` // rule of recurrence, as FREQ=WEEKLY;COUNT=8, for all slots
	// held so long, until it is confirmed; 0: it is confirmed at once
	HoldS    uint32 `json:"hold_s,omitempty"`
	Priority string `json:"priority,omitempty"` // on the waiting list
	Waitlist bool   `json:"wait,omitempty"`     // if it is not to be had, it goes on the waiting list
	Reason   string `json:"why,omitempty"`      // of an end
}

// SlotRequest is slots in a row, of a piece or of any piece of a kind.
type SlotRequest struct {
	Equipment string `json:"piece,omitempty"`
	Kind      string `json:"kind,omitempty"`
	Zone      string `json:"zone,omitempty"` // of a kind
	From      string `json:"from"`
	Slots     uint32 `json:"slots,omitempty"` // 0: 1
}

// Reservation is a booking as it stands.
type Reservation struct {
	ID               string         `json:"id"`
	State            string         `json:"state"` // waiting, held, confirmed or ended
	Team             string         `json:"team,omitempty"`
	Owner            string         `json:"who,omitempty"`
	Slots            []ReservedSlot `json:"slots"` // of one that waits: what it waits for
	HeldUntil        string         `json:"held_until,omitempty"`
	Priority         string         `json:"priority,omitempty"`
	WaitlistPosition int            `json:"place,omitempty"` // on the waiting list, from 1
	EndReason        string         `json:"why,omitempty"`   // it ended
	EndedAt          string         `json:"ended_at,omitempty"`
}

// ReservedSlot is a time of a unit.
type ReservedSlot struct {
	Equipment    string `json:"piece,omitempty"`
	Kind         string `json:"kind,omitempty"` // of what is waited for
	Unit         uint32 `json:"unit,omitempty"`
	From         string `json:"from"`
	To           string `json:"to,omitempty"`
	ReusableFrom string `json:"clear,omitempty"` // when it has cooled, or is clean
	Slots        uint32 `json:"slots,omitempty"` // of what is waited for
}

// FreeInterval is a time that could be booked.
type FreeInterval struct {
	Equipment string `json:"piece"`
	From      string `json:"from"`
	To        string `json:"to"`
}

// ReservationResponse answers all that is asked of bookings.
type ReservationResponse struct {
	Error        string         `json:"error,omitempty"`
	Reservation  *Reservation   `json:"booking,omitempty"`
	Reservations []Reservation  `json:"bookings,omitempty"`  // of a day, or of the waiting list
	Free         []FreeInterval `json:"free,omitempty"`      // what could be had, or what could instead
	Displaced    []Reservation  `json:"displaced,omitempty"` // what has no place in a list of equipment
	Equipment    string         `json:"equipment,omitempty"` // the list in force, in protobuf text format
	Version      uint64         `json:"version,omitempty"`   // of that list
}

// EquipmentEdit puts another list of equipment in force.
type EquipmentEdit struct {
	Text         string `json:"equipment"`
	EndDisplaced bool   `json:"end,omitempty"` // bookings that it has no place for are ended, for this reason
	Reason       string `json:"why,omitempty"`
}

// ReservationQuery asks about bookings. One of ID, Day and Free is set, or none: then for the equipment.
type ReservationQuery struct {
	ID        string
	Day       string // of a piece: its bookings
	Equipment string
	Waiting   bool // the waiting list
	FreeSlots bool // free times
	Kind      string
	Zone      string
	Team      string
	Slots     uint32
	From      string // empty: now
	Before    string
	Limit     int
}
