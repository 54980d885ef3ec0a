package wire

// ReservationRequest creates or changes a reservation. Times are local times of the site, for example
// 2027-03-04T08:00, or have a UTC offset.
type ReservationRequest struct {
	ID     string        `json:"id,omitempty"` // chosen by the client; the same in a retried request
	Team   string        `json:"team,omitempty"`
	Slots  []SlotRequest `json:"slots,omitempty"`  // all or none
	Repeat string        `json:"repeat,omitempty"` // recurrence rule for all slots, for example FREQ=WEEKLY;COUNT=8
	// HoldS is how many seconds the reservation is held for confirmation. With 0, it is confirmed at once.
	HoldS    uint32 `json:"hold_s,omitempty"`
	Priority string `json:"priority,omitempty"` // on the waitlist
	Waitlist bool   `json:"wait,omitempty"`     // put it on the waitlist if it conflicts
	Reason   string `json:"why,omitempty"`      // for ending it
}

// SlotRequest requests consecutive slots of one piece of equipment, or of any piece of a kind.
type SlotRequest struct {
	Equipment string `json:"piece,omitempty"`
	Kind      string `json:"kind,omitempty"`
	Zone      string `json:"zone,omitempty"` // only with Kind
	From      string `json:"from"`
	Slots     uint32 `json:"slots,omitempty"` // 0 means 1
}

// Reservation is the current state of a reservation.
type Reservation struct {
	ID               string         `json:"id"`
	State            string         `json:"state"` // waiting, held, confirmed or ended
	Team             string         `json:"team,omitempty"`
	Owner            string         `json:"who,omitempty"`
	Slots            []ReservedSlot `json:"slots"` // the requested slots if it is waiting
	HeldUntil        string         `json:"held_until,omitempty"`
	Priority         string         `json:"priority,omitempty"`
	WaitlistPosition int            `json:"place,omitempty"` // from 1
	EndReason        string         `json:"why,omitempty"`   // only of an ended reservation
	EndedAt          string         `json:"ended_at,omitempty"`
}

// ReservedSlot is a reserved interval of one unit of equipment.
type ReservedSlot struct {
	Equipment    string `json:"piece,omitempty"`
	Kind         string `json:"kind,omitempty"` // only of a waiting reservation
	Unit         uint32 `json:"unit,omitempty"`
	From         string `json:"from"`
	To           string `json:"to,omitempty"`
	ReusableFrom string `json:"clear,omitempty"` // when cooling or cleaning is finished
	Slots        uint32 `json:"slots,omitempty"` // only of a waiting reservation
}

// FreeInterval is an interval in which equipment can be reserved.
type FreeInterval struct {
	Equipment string `json:"piece"`
	From      string `json:"from"`
	To        string `json:"to"`
}

// ReservationResponse is the response to all requests about reservations. Fields that do not apply are empty.
type ReservationResponse struct {
	Error        string         `json:"error,omitempty"`
	Reservation  *Reservation   `json:"booking,omitempty"`
	Reservations []Reservation  `json:"bookings,omitempty"`  // of a day or on the waitlist
	Free         []FreeInterval `json:"free,omitempty"`      // free intervals, or alternatives in case of a conflict
	Displaced    []Reservation  `json:"displaced,omitempty"` // reservations that do not fit a new inventory
	Equipment    string         `json:"equipment,omitempty"` // current inventory in protobuf text format
	Version      uint64         `json:"version,omitempty"`   // of the inventory
}

// EquipmentEdit replaces the equipment inventory.
type EquipmentEdit struct {
	Text         string `json:"equipment"`
	EndDisplaced bool   `json:"end,omitempty"` // end displaced reservations, with Reason
	Reason       string `json:"why,omitempty"`
}

// ReservationQuery selects reservations. At most one of ID, Day, Waiting and FreeSlots is set. Without any of
// them, the query is for the equipment inventory.
type ReservationQuery struct {
	ID        string
	Day       string // reservations of Equipment on this day
	Equipment string
	Waiting   bool // the waitlist
	FreeSlots bool // free intervals
	Kind      string
	Zone      string
	Team      string
	Slots     uint32
	From      string // empty means now
	Before    string
	Limit     int
}
