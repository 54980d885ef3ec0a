// Package core is the state machine of a controller: ownership of jobs, placement of tasks,
// team limits, cancellation, machines and money. It takes inputs with their time and returns
// what to send, write and answer. It does no I/O and has no clock, goroutine or global randomness.
package core

import (
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/clusterstate"
	"dewlift/priorityclass"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Config is all that a core needs to know at its start.
type Config struct {
	Form     int // the newest form of stored data that this controller knows; see form.go
	Name     string
	Zone     string
	Peers    []string
	Teams    []Team
	Lease    time.Duration // of a controller
	Shards   int
	WatchGap time.Duration
	ReadGap  time.Duration // between read barriers

	StateRPS     float64 // of all controllers together
	WriteRPS     float64
	NextWriteRPS float64 // the same once every controller runs this version
	WriteShare   float64 // the most of it that one controller uses
	ValueBytes   int
	TxnOps       int
	CloudRPS     float64
	ListLag      time.Duration

	ReportEvery time.Duration
	WorkerLease time.Duration
	CancelIn    time.Duration

	DeltaEvery  time.Duration
	PushEvery   time.Duration
	CopyExpire  time.Duration
	ProbeRatio  float64
	RandomFill  bool
	PreferImage bool
	PreferSpot  bool
	HorizonStep time.Duration

	SpareShare   float64
	SpareService float64
	SpareDev     float64
	IdleBoots    float64
	SoonBoots    float64
	Idle         time.Duration
	Silent       time.Duration // after a machine's report was due at the latest
	BootPatience float64
	Settle       time.Duration
	SettleMost   time.Duration

	WholePush    time.Duration
	PushGap      time.Duration
	OrderAgain   time.Duration
	OrdersMost   int // requests with orders on their way
	ProbesMost   int // and for reports
	ClearWait    time.Duration
	PassTime     time.Duration
	LinkLost     time.Duration
	RoomAgain    time.Duration
	ListEvery    time.Duration
	LossGather   time.Duration // how long the losses of a job of many tasks wait for each other
	AcceptWait   time.Duration // for the write of a submission or cancellation
	HealthEvery  time.Duration
	LookAll      time.Duration       // between two looks at everything
	GiveWay      time.Duration       // that a job has waited for room when later ones no longer pass it
	RiseAfter    time.Duration       // after which waiting work counts as a step more important; 0: never
	RentAhead    time.Duration       // from a need to the rental, and from a boot to the first start
	Access       *access.Policy      // rights where the state service has none; nil: none, and everyone may do everything
	SharedValues bool                // small jobs share values
	BookingKeep  time.Duration       // how long bookings that are over stay in pages
	Lanes        *priorityclass.List // where the state service has none; nil: a lane for each priority
	Equipment    *booking.Inventory  // what can be booked where the state service has no list; nil: nothing
	Archive      bool                // ended jobs may move into the archive
	EndedKept    int                 // of the ended jobs, those of late that stay in memory and keep their records
	HistoryCache int                 // bytes of blocks that are remembered
	HistoryShare float64             // of the requests, what looking for ended jobs may take
	HistoryWait  time.Duration       // after every controller knows the archive, until the first move
	AuditKey     audit.Key           // nil: nothing is recorded
	AuditGather  time.Duration       // how long refusals and reads are gathered
	AuditBlock   time.Duration       // how long other entries wait to share a block
	AuditForget  time.Duration       // after which nothing of a controller's former lives is executed any more
	TimeBoundMS  uint32              // how far the time of day may be off
	Settings     map[string]string   // as they are recorded
	CancelShare  float64             // of CancelIn, after which machines with cancelled tasks are returned
}

// Team is a team with its guarantee and limit in thousandths; 0 means none.
type Team struct {
	Name           string
	CPU, GPU       int64
	CPUMax, GPUMax int64
}

// Input is something that happened.
type Input interface{ input() }

// Output is something to do.
type Output interface{ output() }

// Inputs.
type (
	// Submit is a submission; Bad is set when the body is malformed.
	Submit struct {
		Req    uint64
		ID     string
		Spec   wire.JobSpec
		Bad    string
		UnixMS int64
		By     Cred
	}
	// Poll asks for a job's state.
	Poll struct {
		Req uint64
		ID  string
		By  Cred
	}
	// Cancel withdraws a job.
	Cancel struct {
		Req    uint64
		ID     string
		UnixMS int64
		By     Cred
	}
	// Change changes the rights of an identity.
	Change struct {
		Req  uint64
		By   Cred
		Who  string
		Edit wire.PermissionsEdit
	}
	// Check asks whether somebody may do what is bound to no job.
	Check struct {
		Req    uint64
		By     Cred
		Verb   access.Verb
		Object string
	}
	// Refused tells of requests that the edge refused, as it could not tell who asked.
	Refused struct {
		Items []*pb.AuditItem
	}
	// ReadAudit asks for blocks of a controller's chain behind one; without a controller, for the ends of all chains.
	ReadAudit struct {
		Req   uint64
		By    Cred
		Node  string
		After uint64
	}
	// ShowRights asks for all rights.
	ShowRights struct {
		Req uint64
		By  Cred
	}
	// Book asks for a booking, or changes one.
	Book struct {
		Req  uint64
		By   Cred
		Verb booking.Verb
		Ask  wire.ReservationRequest
	}
	// ShowBookings asks about bookings.
	ShowBookings struct {
		Req   uint64
		By    Cred
		Query wire.ReservationQuery
	}
	// Equip puts another list of equipment in force.
	Equip struct {
		Req  uint64
		By   Cred
		Edit wire.EquipmentEdit
	}
	// ShowQueue asks for the jobs that wait, in their order, behind a number of them; or why one waits.
	ShowQueue struct {
		Req   uint64
		By    Cred
		ID    string
		After int
		Most  int
		Lanes bool // instead: for the list of lanes
	}
	// SetLanes puts another list of lanes in force.
	SetLanes struct {
		Req  uint64
		By   Cred
		Text string
	}
	// Beat is a worker's report to this controller.
	Beat struct {
		Req    uint64
		Report *wire.Heartbeat
		By     Cred
	}
	// Seen is a report that came as an answer of a worker; nil if none came.
	Seen struct {
		Machine string
		Report  *wire.Heartbeat
	}
	// Ordered is the outcome of orders sent to a worker. Controllers pass it on to each other (Msg).
	Ordered struct {
		ID     uint64          `json:"ID"`
		Status int             `json:"Status"` // 0: no answer
		Sent   bool            `json:"Sent"`   // the request may have reached the worker
		Report *wire.Heartbeat `json:"Report"`
	}
	// Committed is the outcome of a transaction.
	Committed struct {
		ID     uint64
		Status int // 0: unknown
		Reply  wire.TxnResponse
	}
	// Changed is the outcome of a watch or read barrier.
	Changed struct {
		Hold    bool
		Status  int
		Changes wire.WatchResponse
	}
	// Loaded is a page of all keys.
	Loaded struct {
		OK     bool
		Status int  // if not OK; 0: no answer
		More   bool // there are pages behind it
		Items  []wire.KeyValue
		Ledger uint64
	}
	// Scanned is the outcome of a Scan; 404 if the key does not exist.
	Scanned struct {
		ID     uint64
		Status int // 0: no answer
		Items  []wire.KeyValue
		More   bool
		Ledger uint64 // revision that was read
	}
	// Leased is the outcome of a call about this controller's lease.
	Leased struct {
		Op     string
		Status int
		Lease  uint64
	}
	// Clouded is the outcome of a call to the cloud.
	Clouded struct {
		ID       uint64
		Status   int
		Catalog  *wire.Catalog
		Machines []wire.Machine
		More     bool // the list goes on
		Names    []string
		Error    string
	}
	// FromPeer is a message of another controller.
	FromPeer struct {
		Peer string
		Msg  Msg
	}
	// Clock tells the time of day.
	Clock struct{ UnixMS int64 }
	// Strain tells how the process stands.
	Strain struct {
		Late           time.Duration // the longest that the core's turn was late of late
		Queue, Sockets float64       // parts of the queue of inputs, and of the connections, that are in use
	}
)

func (Submit) input()     {}
func (Poll) input()       {}
func (Cancel) input()     {}
func (Change) input()     {}
func (ShowRights) input() {}
func (ReadAudit) input()  {}
func (Refused) input()    {}
func (Book) input()       {}
func (Equip) input()      {}

func (ShowBookings) input() {}
func (ShowQueue) input()    {}
func (SetLanes) input()     {}
func (Check) input()        {}
func (Beat) input()         {}
func (Seen) input()         {}
func (Ordered) input()      {}
func (Committed) input()    {}
func (Changed) input()      {}
func (Loaded) input()       {}
func (Scanned) input()      {}
func (Leased) input()       {}
func (Clouded) input()      {}
func (FromPeer) input()     {}
func (Clock) input()        {}
func (Strain) input()       {}

// Outputs.
type (
	// Reply answers a user or a worker.
	Reply struct {
		Req        uint64
		Status     int
		Body       any
		RetryAfter int // seconds; 0: none
	}
	// Commit is a transaction to send.
	Commit struct {
		ID  uint64
		Txn wire.Txn
	}
	// Changes asks for the changes since a revision; with Hold it waits for one.
	Changes struct {
		From uint64
		Hold bool
	}
	// Load reads a page of all keys, behind the named one.
	Load struct{ From string }
	// Scan reads a key, or a page of the keys with a prefix that lie behind From.
	Scan struct {
		ID     uint64
		Key    string
		Prefix string
		From   string
		Most   int
	}
	// LeaseOp grants or extends a lease.
	LeaseOp struct {
		Op    string // "grant" or "extend"
		TTL   time.Duration
		Lease uint64
	}
	// Orders go straight to a worker, or by way of another controller (Msg).
	Orders struct {
		ID      uint64            `json:"ID"`
		Machine string            `json:"Machine"`
		Addr    string            `json:"Addr"`
		Body    wire.CommandBatch `json:"Body"`
	}
	// Probe asks a worker for its report.
	Probe struct {
		Machine string
		Addr    string
	}
	// CloudOp is a call to the cloud: "catalog", "list", "rent" or "return".
	CloudOp struct {
		ID    uint64
		Op    string
		Rent  wire.ScaleOutRequest
		Names []string
		From  string // of a list: it begins after this machine
	}
	// ToPeer is a message to another controller; an empty name means all.
	ToPeer struct {
		Peer string
		Msg  Msg
	}
	// Rights are those in force, for the edges: they tell from them whose token it is.
	Rights struct{ Policy *access.Policy }
	// Bookings tells the edges whether something can be booked.
	Bookings struct{ Open bool }
	// Queue tells the edges whether there is a list of lanes.
	Queue struct{ Open bool }
	// Note is a line for the log.
	Note struct {
		Level string
		Text  string
		Args  []any
	}
)

func (Reply) output()   {}
func (Commit) output()  {}
func (Changes) output() {}
func (Load) output()    {}
func (Scan) output()    {}
func (LeaseOp) output() {}
func (Orders) output()  {}
func (Probe) output()   {}
func (CloudOp) output() {}
func (ToPeer) output()  {}
func (Rights) output()  {}

func (Bookings) output() {}
func (Queue) output()    {}

func (Note) output() {}

// Msg is a message between controllers. Exactly the fields that are set count.
type Msg struct {
	To          string            `json:"to,omitempty"` // to be passed on to this controller
	From        string            `json:"fr,omitempty"` // the sender of a message passed on
	Orders      *Orders           `json:"o,omitempty"`  // to be sent to a worker that the sender does not reach
	Ordered     *Ordered          `json:"od,omitempty"` // what came of it
	Health      *Health           `json:"h,omitempty"`
	Reports     []*wire.Heartbeat `json:"r,omitempty"` // of machines on which something changed
	Heard       []Heard           `json:"e,omitempty"` // of machines on which nothing did
	Want        []string          `json:"w,omitempty"` // machines whose reports the sender lacks
	Deltas      *Deltas           `json:"d,omitempty"`
	Push        *Push             `json:"p,omitempty"`
	Resend      bool              `json:"a,omitempty"` // the sender missed a push
	Return      []string          `json:"s,omitempty"` // machines that the leader must return
	Silent      []string          `json:"q,omitempty"` // machines that the sender does not hear of
	QuorumRead  *QuorumRead       `json:"v,omitempty"` // which cancellations the receiver holds
	QuorumReply *QuorumReply      `json:"vd,omitempty"`
	Cancels     []wire.KeyValue   `json:"c,omitempty"` // cancellations, as the state service holds them
	CancelAcks  []string          `json:"y,omitempty"` // jobs that the sender knows to be cancelled
	Show        []string          `json:"l,omitempty"` // machines to be asked for their reports: the sender may not reach them
}

// Heard is a report that says nothing new. The digest shows whether its receiver knows what the
// machine reported before; if not, it asks for the whole report.
type Heard struct {
	Machine string `json:"m"`
	Session uint64 `json:"s"`
	Seq     uint64 `json:"q"`
	Token   uint64 `json:"b"`
	Digest  uint64 `json:"d"`
}

// Health tells how a controller stands.
type Health struct {
	StateOK bool      `json:"ok"`          // it reached the state service of late
	Used    float64   `json:"u"`           // changes of the state service a second that it made of late
	Hears   []string  `json:"n,omitempty"` // controllers in reach; the version without forms does not tell
	Loading int       `json:"g,omitempty"` // pages of all keys that it has read, while it reads them
	Upto    uint64    `json:"v,omitempty"` // the sender knows all cancellations up to this revision; 0: it has not read all keys, or its version does not tell
	Wait    []Waiting `json:"w,omitempty"` // of each lane, the first of its jobs that wait for room; none: none does, or its version does not tell
}

// Waiting is the place of a job in the order of work: its lane, by how much its priority counts, and its turn.
type Waiting struct {
	Priority int   `json:"p"`
	AtMS     int64 `json:"a"`           // its turn, a time of day
	Spot     bool  `json:"s,omitempty"` // it may use spot machines
}

// Deltas is a batch of start and finish tuples.
type Deltas struct {
	Seq  uint64     `json:"q"`
	List []DeltaMsg `json:"l"`
}

// DeltaMsg is a start or finish tuple by machine name.
type DeltaMsg struct {
	Start   bool                   `json:"st,omitempty"`
	Machine string                 `json:"m"`
	Claim   clusterstate.Resources `json:"c"`
	Key     uint64                 `json:"k,omitempty"` // of the attempt; the version before does not tell it
}

// Push is the leader's array: all of it from time to time, and in between the rows that
// changed since the push before.
type Push struct {
	After uint64            `json:"after,omitempty"` // revision that the rows lead on from; 0: these are all rows
	Rev   uint64            `json:"rev"`             // revision that they lead to
	Rows  []PushRow         `json:"rows,omitempty"`
	Stop  []StopMsg         `json:"stop,omitempty"` // tasks that must make room
	Gone  []string          `json:"gone,omitempty"` // machines that are gone for certain
	Acks  map[string]uint64 `json:"acks,omitempty"` // last batch counted of each controller
	Token uint64            `json:"tok"`            // of the leader
	Hold  *Hold             `json:"hold,omitempty"` // nil: no room is held
}

// Hold says that tasks of a priority wait for room: work of lower priority leaves them what
// their smallest claim fits into.
type Hold struct {
	Priority int                    `json:"p"`
	Claim    clusterstate.Resources `json:"c"`
}

// StopMsg names a task's attempt that must make room for work of higher priority.
type StopMsg struct {
	Machine string `json:"m"`
	Job     string `json:"j"`
	Task    int32  `json:"i"`
	Try     uint64 `json:"t"`
}

// PushRow is a machine in a pushed array.
type PushRow struct {
	Machine string                 `json:"m"`
	Type    string                 `json:"t"`
	Zone    string                 `json:"z"`
	Spot    bool                   `json:"s,omitempty"`
	Avail   clusterstate.Resources `json:"a"`
	Occ     clusterstate.Resources `json:"o"`
	Keep    clusterstate.Resources `json:"k"`
	Last    bool                   `json:"l,omitempty"`
	Closed  bool                   `json:"x,omitempty"`
}
