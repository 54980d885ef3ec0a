package wire

// Paths of bookings; all are ours.
const (
	PathBookings  = "/v1/bookings"
	PathEquipment = "/v1/equipment"
)

// BookingAsk asks for a booking, or changes one. Times are as the site's clocks show them, 2027-03-04T08:00, or with an offset.
type BookingAsk struct {
	ID       string        `json:"id,omitempty"` // chosen by whoever books; a repeat names the same
	Team     string        `json:"team,omitempty"`
	Slots    []BookingWant `json:"slots,omitempty"`    // all or none
	Repeat   string        `json:"repeat,omitempty"`   // rule of recurrence, as FREQ=WEEKLY;COUNT=8, for all slots
	HoldS    uint32        `json:"hold_s,omitempty"`   // held so long, until it is confirmed; 0: it is confirmed at once
	Priority string        `json:"priority,omitempty"` // on the waiting list
	Wait     bool          `json:"wait,omitempty"`     // if it is not to be had, it goes on the waiting list
	Why      string        `json:"why,omitempty"`      // of an end
}

// BookingWant is slots in a row, of a piece or of any piece of a kind.
type BookingWant struct {
	Piece string `json:"piece,omitempty"`
	Kind  string `json:"kind,omitempty"`
	Zone  string `json:"zone,omitempty"` // of a kind
	From  string `json:"from"`
	Slots uint32 `json:"slots,omitempty"` // 0: 1
}

// Booking is a booking as it stands.
type Booking struct {
	ID        string       `json:"id"`
	State     string       `json:"state"` // waiting, held, confirmed or ended
	Team      string       `json:"team,omitempty"`
	Who       string       `json:"who,omitempty"`
	Slots     []BookedSlot `json:"slots"` // of one that waits: what it waits for
	HeldUntil string       `json:"held_until,omitempty"`
	Priority  string       `json:"priority,omitempty"`
	Place     int          `json:"place,omitempty"` // on the waiting list, from 1
	Why       string       `json:"why,omitempty"`   // it ended
	EndedAt   string       `json:"ended_at,omitempty"`
}

// BookedSlot is a time of a unit.
type BookedSlot struct {
	Piece string `json:"piece,omitempty"`
	Kind  string `json:"kind,omitempty"` // of what is waited for
	Unit  uint32 `json:"unit,omitempty"`
	From  string `json:"from"`
	To    string `json:"to,omitempty"`
	Clear string `json:"clear,omitempty"` // when it has cooled, or is clean
	Slots uint32 `json:"slots,omitempty"` // of what is waited for
}

// FreeTime is a time that could be booked.
type FreeTime struct {
	Piece string `json:"piece"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// BookingAnswer answers all that is asked of bookings.
type BookingAnswer struct {
	Error     string     `json:"error,omitempty"`
	Booking   *Booking   `json:"booking,omitempty"`
	Bookings  []Booking  `json:"bookings,omitempty"`  // of a day, or of the waiting list
	Free      []FreeTime `json:"free,omitempty"`      // what could be had, or what could instead
	Displaced []Booking  `json:"displaced,omitempty"` // what has no place in a list of equipment
	Equipment string     `json:"equipment,omitempty"` // the list in force, in protobuf text format
	Version   uint64     `json:"version,omitempty"`   // of that list
}

// EquipmentEdit puts another list of equipment in force.
type EquipmentEdit struct {
	Text string `json:"equipment"`
	End  bool   `json:"end,omitempty"` // bookings that it has no place for are ended, for this reason
	Why  string `json:"why,omitempty"`
}

// BookingQuery asks about bookings. One of ID, Day and Free is set, or none: then for the equipment.
type BookingQuery struct {
	ID      string
	Day     string // of a piece: its bookings
	Piece   string
	Waiting bool // the waiting list
	Free    bool // free times
	Kind    string
	Zone    string
	Team    string
	Slots   uint32
	From    string // empty: now
	By      string
	Most    int
}
