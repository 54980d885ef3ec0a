package wire

// ReservationRequest makes or changes a reservation. Times are local times of the site, as
// 2027-03-04T08:00, or have an offset.
type ReservationRequest struct {
	ID     string        `json:"id,omitempty"` // chosen by the client; a repeated request has the same
	Team   string        `json:"team,omitempty"`
	Slots  []SlotRequest `json:"slots,omitempty"`  // all or none
	Repeat string        `json:"repeat,omitempty"` // rule of recurrence, as FREQ=WEEKLY;COUNT=8, for all slots
	// HoldS is how many seconds it is held for confirmation; 0: it is confirmed at once.
	HoldS    uint32 `json:"hold_s,omitempty"`
	Priority string `json:"priority,omitempty"` // on the waiting list
	Waitlist bool   `json:"wait,omitempty"`     // put it on the waiting list if it conflicts
	Reason   string `json:"why,omitempty"`      // of ending it
}

// SlotRequest asks for consecutive slots of one piece of equipment, or of any of a kind.
type SlotRequest struct {
	Equipment string `json:"piece,omitempty"`
	Kind      string `json:"kind,omitempty"`
	Zone      string `json:"zone,omitempty"` // with Kind only
	From      string `json:"from"`
	Slots     uint32 `json:"slots,omitempty"` // 0: 1
}

// Reservation is the present state of a reservation.
type Reservation struct {
	ID               string         `json:"id"`
	State            string         `json:"state"` // waiting, held, confirmed or ended
	Team             string         `json:"team,omitempty"`
	Owner            string         `json:"who,omitempty"`
	Slots            []ReservedSlot `json:"slots"` // of a waiting one: those requested
	HeldUntil        string         `json:"held_until,omitempty"`
	Priority         string         `json:"priority,omitempty"`
	WaitlistPosition int            `json:"place,omitempty"` // on the waiting list, from 1
	EndReason        string         `json:"why,omitempty"`   // if it has ended
	EndedAt          string         `json:"ended_at,omitempty"`
}

// ReservedSlot is a reserved interval of one unit of equipment.
type ReservedSlot struct {
	Equipment    string `json:"piece,omitempty"`
	Kind         string `json:"kind,omitempty"` // of a waiting one
	Unit         uint32 `json:"unit,omitempty"`
	From         string `json:"from"`
	To           string `json:"to,omitempty"`
	ReusableFrom string `json:"clear,omitempty"` // after cooling or cleaning
	Slots        uint32 `json:"slots,omitempty"` // of a waiting one
}

// FreeInterval is an interval that can be reserved.
type FreeInterval struct {
	Equipment string `json:"piece"`
	From      string `json:"from"`
	To        string `json:"to"`
}

// ReservationResponse answers every request about reservations; fields that do not apply are empty.
type ReservationResponse struct {
	Error        string         `json:"error,omitempty"`
	Reservation  *Reservation   `json:"booking,omitempty"`
	Reservations []Reservation  `json:"bookings,omitempty"`  // of a day, or of the waiting list
	Free         []FreeInterval `json:"free,omitempty"`      // free intervals, or alternatives to what conflicts
	Displaced    []Reservation  `json:"displaced,omitempty"` // reservations that a list of equipment leaves no slot for
	Equipment    string         `json:"equipment,omitempty"` // the list in force, in protobuf text format
	Version      uint64         `json:"version,omitempty"`   // of that list
}

// EquipmentEdit replaces the list of equipment.
type EquipmentEdit struct {
	Text         string `json:"equipment"`
	EndDisplaced bool   `json:"end,omitempty"` // end displaced reservations, for Reason
	Reason       string `json:"why,omitempty"`
}

// ReservationQuery reads reservations. At most one of ID, Day, Waiting and FreeSlots is set; with none of
// them it reads the list of equipment.
type ReservationQuery struct {
	ID        string
	Day       string // the reservations of Equipment on this day
	Equipment string
	Waiting   bool // the waiting list
	FreeSlots bool // the free intervals
	Kind      string
	Zone      string
	Team      string
	Slots     uint32
	From      string // empty: now
	Before    string
	Limit     int
}
