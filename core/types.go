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
	SchemaVersion          int // the newest form of stored data that this controller knows; see form.go
	Name                   string
	Zone                   string
	Peers                  []string
	Teams                  []Team
	LeaseTTL               time.Duration // of a controller
	Shards                 int
	MinWatchInterval       time.Duration
	MinReadBarrierInterval time.Duration // between read barriers

	StoreRequestRate   float64 // of all controllers together
	StoreWriteRate     float64
	NextStoreWriteRate float64 // the same once every controller runs this version
	MaxWriteShare      float64 // the most of it that one controller uses
	MaxValueBytes      int
	MaxTxnOps          int
	CloudRequestRate   float64
	CloudListLag       time.Duration

	HeartbeatInterval time.Duration
	AgentLeaseTTL     time.Duration
	CancelTimeout     time.Duration

	DeltaInterval     time.Duration
	StatePushInterval time.Duration
	StateCopyExpiry   time.Duration
	CandidateRatio    float64
	RandomPlacement   bool
	PreferImage       bool
	PreferSpot        bool
	BusyHorizonStep   time.Duration

	HeadroomShare        float64
	ServiceHeadroomShare float64
	HeadroomDeviations   float64
	IdleBootFactor       float64
	SoonFreeBootFactor   float64
	IdleTimeout          time.Duration
	SilenceTimeout       time.Duration // after a machine's report was due at the latest
	BootTimeoutFactor    float64
	MinEndBatchDelay     time.Duration
	MaxEndBatchDelay     time.Duration

	FullStatePushInterval   time.Duration
	MinStatePushInterval    time.Duration
	CommandRetryInterval    time.Duration
	MaxCommandRequests      int // requests with orders on their way
	MaxPollRequests         int // and for reports
	EndedTaskClearDelay     time.Duration
	RelayTimeout            time.Duration
	PeerTimeout             time.Duration
	PreemptionRetryInterval time.Duration
	CloudListInterval       time.Duration
	LostTaskBatchDelay      time.Duration // how long the losses of a job of many tasks wait for each other
	SubmitWriteTimeout      time.Duration // for the write of a submission or cancellation
	HealthInterval          time.Duration
	FullScanInterval        time.Duration       // between two looks at everything
	YieldAfter              time.Duration       // that a job has waited for room when later ones no longer pass it
	PriorityAgingInterval   time.Duration       // after which waiting work counts as a step more important; 0: never
	ScaleOutLeadTime        time.Duration       // from a need to the rental, and from a boot to the first start
	Permissions             *access.Policy      // rights where the state service has none; nil: none, and everyone may do everything
	SharedValues            bool                // small jobs share values
	ReservationRetention    time.Duration       // how long bookings that are over stay in pages
	PriorityClasses         *priorityclass.List // where the state service has none; nil: a lane for each priority
	Equipment               *booking.Inventory  // what can be booked where the state service has no list; nil: nothing
	Archive                 bool                // ended jobs may move into the archive
	MaxEndedJobs            int                 // of the ended jobs, those of late that stay in memory and keep their records
	HistoryCacheBytes       int                 // bytes of blocks that are remembered
	HistoryReadShare        float64             // of the requests, what looking for ended jobs may take
	ArchiveStartDelay       time.Duration       // after every controller knows the archive, until the first move
	AuditKey                audit.Key           // nil: nothing is recorded
	AuditGatherDelay        time.Duration       // how long refusals and reads are gathered
	AuditBlockDelay         time.Duration       // how long other entries wait to share a block
	AuditForgetAfter        time.Duration       // after which nothing of a controller's former lives is executed any more
	MaxClockErrorMS         uint32              // how far the time of day may be off
	Settings                map[string]string   // as they are recorded
	CancelScaleInShare      float64             // of CancelIn, after which machines with cancelled tasks are returned
}

// Team is a team with its guarantee and limit in thousandths; 0 means none.
type Team struct {
	Name                     string
	ReservedCPU, ReservedGPU int64
	MaxCPU, MaxGPU           int64
}

// Input is something that happened.
type Input interface{ input() }

// Output is something to do.
type Output interface{ output() }

// Inputs.
type (
	// SubmitJob is a submission; Bad is set when the body is malformed.
	SubmitJob struct {
		RequestID   uint64
		ID          string
		Spec        wire.JobSpec
		DecodeError string
		UnixMS      int64
		Caller      Credential
	}
	// GetJob asks for a job's state.
	GetJob struct {
		RequestID uint64
		ID        string
		Caller    Credential
	}
	// CancelJob withdraws a job.
	CancelJob struct {
		RequestID uint64
		ID        string
		UnixMS    int64
		Caller    Credential
	}
	// UpdatePermissions changes the rights of an identity.
	UpdatePermissions struct {
		RequestID uint64
		Caller    Credential
		Identity  string
		Edit      wire.PermissionsEdit
	}
	// CheckPermission asks whether somebody may do what is bound to no job.
	CheckPermission struct {
		RequestID uint64
		Caller    Credential
		Verb      access.Verb
		Object    string
	}
	// RequestsDenied tells of requests that the edge refused, as it could not tell who asked.
	RequestsDenied struct {
		Items []*pb.AuditItem
	}
	// ReadAudit asks for blocks of a controller's chain behind one; without a controller, for the ends of all chains.
	ReadAudit struct {
		RequestID  uint64
		Caller     Credential
		Node       string
		AfterBlock uint64
	}
	// ListPermissions asks for all rights.
	ListPermissions struct {
		RequestID uint64
		Caller    Credential
	}
	// ReserveEquipment asks for a booking, or changes one.
	ReserveEquipment struct {
		RequestID uint64
		Caller    Credential
		Verb      booking.Verb
		Request   wire.ReservationRequest
	}
	// ListReservations asks about bookings.
	ListReservations struct {
		RequestID uint64
		Caller    Credential
		Query     wire.ReservationQuery
	}
	// SetEquipment puts another list of equipment in force.
	SetEquipment struct {
		RequestID uint64
		Caller    Credential
		Edit      wire.EquipmentEdit
	}
	// ListQueue asks for the jobs that wait, in their order, behind a number of them; or why one waits.
	ListQueue struct {
		RequestID           uint64
		Caller              Credential
		ID                  string
		AfterPosition       int
		Limit               int
		ShowPriorityClasses bool // instead: for the list of lanes
	}
	// SetPriorityClasses puts another list of lanes in force.
	SetPriorityClasses struct {
		RequestID uint64
		Caller    Credential
		Text      string
	}
	// AgentHeartbeat is a worker's report to this controller.
	AgentHeartbeat struct {
		RequestID uint64
		Heartbeat *wire.Heartbeat
		Caller    Credential
	}
	// AgentPolled is a report that came as an answer of a worker; nil if none came.
	AgentPolled struct {
		Machine   string
		Heartbeat *wire.Heartbeat
	}
	// CommandsResult is the outcome of orders sent to a worker. Controllers pass it on to each other (Msg).
	CommandsResult struct {
		ID             uint64          `json:"ID"`
		Status         int             `json:"Status"` // 0: no answer
		MaybeDelivered bool            `json:"Sent"`   // the request may have reached the worker
		Heartbeat      *wire.Heartbeat `json:"Report"`
	}
	// TxnResult is the outcome of a transaction.
	TxnResult struct {
		ID     uint64
		Status int // 0: unknown
		Reply  wire.TxnResponse
	}
	// WatchResult is the outcome of a watch or read barrier.
	WatchResult struct {
		LongPoll bool
		Status   int
		Changes  wire.WatchResponse
	}
	// SnapshotPage is a page of all keys.
	SnapshotPage struct {
		OK       bool
		Status   int  // if not OK; 0: no answer
		More     bool // there are pages behind it
		Items    []wire.KeyValue
		Revision uint64
	}
	// RangeResult is the outcome of a Scan; 404 if the key does not exist.
	RangeResult struct {
		ID       uint64
		Status   int // 0: no answer
		Items    []wire.KeyValue
		More     bool
		Revision uint64 // revision that was read
	}
	// LeaseResult is the outcome of a call about this controller's lease.
	LeaseResult struct {
		Op      string
		Status  int
		LeaseID uint64
	}
	// CloudResult is the outcome of a call to the cloud.
	CloudResult struct {
		ID           uint64
		Status       int
		Catalog      *wire.Catalog
		Machines     []wire.Machine
		More         bool // the list goes on
		MachineNames []string
		Error        string
	}
	// PeerMessage is a message of another controller.
	PeerMessage struct {
		Peer    string
		Message Message
	}
	// WallClock tells the time of day.
	WallClock struct{ UnixMS int64 }
	// LoadSample tells how the process stands.
	LoadSample struct {
		MaxLoopDelay                     time.Duration // the longest that the core's turn was late of late
		InputQueueUsage, ConnectionUsage float64       // parts of the queue of inputs, and of the connections, that are in use
	}
)

func (SubmitJob) input()         {}
func (GetJob) input()            {}
func (CancelJob) input()         {}
func (UpdatePermissions) input() {}
func (ListPermissions) input()   {}
func (ReadAudit) input()         {}
func (RequestsDenied) input()    {}
func (ReserveEquipment) input()  {}
func (SetEquipment) input()      {}

func (ListReservations) input()   {}
func (ListQueue) input()          {}
func (SetPriorityClasses) input() {}
func (CheckPermission) input()    {}
func (AgentHeartbeat) input()     {}
func (AgentPolled) input()        {}
func (CommandsResult) input()     {}
func (TxnResult) input()          {}
func (WatchResult) input()        {}
func (SnapshotPage) input()       {}
func (RangeResult) input()        {}
func (LeaseResult) input()        {}
func (CloudResult) input()        {}
func (PeerMessage) input()        {}
func (WallClock) input()          {}
func (LoadSample) input()         {}

// Outputs.
type (
	// Response answers a user or a worker.
	Response struct {
		RequestID         uint64
		Status            int
		Body              any
		RetryAfterSeconds int // seconds; 0: none
	}
	// CommitTxn is a transaction to send.
	CommitTxn struct {
		ID  uint64
		Txn wire.Txn
	}
	// Watch asks for the changes since a revision; with Hold it waits for one.
	Watch struct {
		SinceRevision uint64
		LongPoll      bool
	}
	// LoadSnapshot reads a page of all keys, behind the named one.
	LoadSnapshot struct{ AfterKey string }
	// ReadRange reads a key, or a page of the keys with a prefix that lie behind From.
	ReadRange struct {
		ID       uint64
		Key      string
		Prefix   string
		AfterKey string
		Limit    int
	}
	// LeaseRequest grants or extends a lease.
	LeaseRequest struct {
		Op      string // "grant" or "extend"
		TTL     time.Duration
		LeaseID uint64
	}
	// SendCommands go straight to a worker, or by way of another controller (Msg).
	SendCommands struct {
		ID      uint64            `json:"ID"`
		Machine string            `json:"Machine"`
		Addr    string            `json:"Addr"`
		Batch   wire.CommandBatch `json:"Body"`
	}
	// PollAgent asks a worker for its report.
	PollAgent struct {
		Machine string
		Addr    string
	}
	// CloudRequest is a call to the cloud: "catalog", "list", "rent" or "return".
	CloudRequest struct {
		ID           uint64
		Op           string
		ScaleOut     wire.ScaleOutRequest
		MachineNames []string
		AfterMachine string // of a list: it begins after this machine
	}
	// SendToPeer is a message to another controller; an empty name means all.
	SendToPeer struct {
		Peer    string
		Message Message
	}
	// PermissionsChanged are those in force, for the edges: they tell from them whose token it is.
	PermissionsChanged struct{ Policy *access.Policy }
	// ReservationsEnabled tells the edges whether something can be booked.
	ReservationsEnabled struct{ Enabled bool }
	// QueueEnabled tells the edges whether there is a list of lanes.
	QueueEnabled struct{ Enabled bool }
	// LogLine is a line for the log.
	LogLine struct {
		Level   string
		Message string
		Args    []any
	}
)

func (Response) output()           {}
func (CommitTxn) output()          {}
func (Watch) output()              {}
func (LoadSnapshot) output()       {}
func (ReadRange) output()          {}
func (LeaseRequest) output()       {}
func (SendCommands) output()       {}
func (PollAgent) output()          {}
func (CloudRequest) output()       {}
func (SendToPeer) output()         {}
func (PermissionsChanged) output() {}

func (ReservationsEnabled) output() {}
func (QueueEnabled) output()        {}

func (LogLine) output() {}

// Message is a message between controllers. Exactly the fields that are set count.
type Message struct {
	RelayTo          string            `json:"to,omitempty"` // to be passed on to this controller
	RelayedFrom      string            `json:"fr,omitempty"` // the sender of a message passed on
	Commands         *SendCommands     `json:"o,omitempty"`  // to be sent to a worker that the sender does not reach
	CommandsResult   *CommandsResult   `json:"od,omitempty"` // what came of it
	Health           *Health           `json:"h,omitempty"`
	Heartbeats       []*wire.Heartbeat `json:"r,omitempty"` // of machines on which something changed
	HeartbeatDigests []HeartbeatDigest `json:"e,omitempty"` // of machines on which nothing did
	WantedHeartbeats []string          `json:"w,omitempty"` // machines whose reports the sender lacks
	AllocationDeltas *AllocationDeltas `json:"d,omitempty"`
	StatePush        *StatePush        `json:"p,omitempty"`
	ResendStatePush  bool              `json:"a,omitempty"` // the sender missed a push
	MachinesToReturn []string          `json:"s,omitempty"` // machines that the leader must return
	SilentMachines   []string          `json:"q,omitempty"` // machines that the sender does not hear of
	QuorumRead       *QuorumRead       `json:"v,omitempty"` // which cancellations the receiver holds
	QuorumReply      *QuorumReply      `json:"vd,omitempty"`
	Cancellations    []wire.KeyValue   `json:"c,omitempty"` // cancellations, as the state service holds them
	CancelAcks       []string          `json:"y,omitempty"` // jobs that the sender knows to be cancelled
	PollMachines     []string          `json:"l,omitempty"` // machines to be asked for their reports: the sender may not reach them
}

// HeartbeatDigest is a report that says nothing new. The digest shows whether its receiver knows what the
// machine reported before; if not, it asks for the whole report.
type HeartbeatDigest struct {
	Machine      string `json:"m"`
	Incarnation  uint64 `json:"s"`
	Seq          uint64 `json:"q"`
	FencingToken uint64 `json:"b"`
	Digest       uint64 `json:"d"`
}

// Health tells how a controller stands.
type Health struct {
	StoreReachable    bool        `json:"ok"`          // it reached the state service of late
	WriteRate         float64     `json:"u"`           // changes of the state service a second that it made of late
	ReachablePeers    []string    `json:"n,omitempty"` // controllers in reach; the version without forms does not tell
	SnapshotPagesRead int         `json:"g,omitempty"` // pages of all keys that it has read, while it reads them
	CancellationsUpTo uint64      `json:"v,omitempty"` // the sender knows all cancellations up to this revision; 0: it has not read all keys, or its version does not tell
	QueueHeads        []QueueHead `json:"w,omitempty"` // of each lane, the first of its jobs that wait for room; none: none does, or its version does not tell
}

// QueueHead is the place of a job in the order of work: its lane, by how much its priority counts, and its turn.
type QueueHead struct {
	Priority     int   `json:"p"`
	EnqueuedAtMS int64 `json:"a"`           // its turn, a time of day
	Spot         bool  `json:"s,omitempty"` // it may use spot machines
}

// AllocationDeltas is a batch of start and finish tuples.
type AllocationDeltas struct {
	Seq    uint64            `json:"q"`
	Deltas []AllocationDelta `json:"l"`
}

// AllocationDelta is a start or finish tuple by machine name.
type AllocationDelta struct {
	Start       bool                   `json:"st,omitempty"`
	Machine     string                 `json:"m"`
	Request     clusterstate.Resources `json:"c"`
	AttemptHash uint64                 `json:"k,omitempty"` // of the attempt; the version before does not tell it
}

// StatePush is the leader's array: all of it from time to time, and in between the rows that
// changed since the push before.
type StatePush struct {
	AfterRevision uint64            `json:"after,omitempty"` // revision that the rows lead on from; 0: these are all rows
	Revision      uint64            `json:"rev"`             // revision that they lead to
	Rows          []MachineCapacity `json:"rows,omitempty"`
	Preempted     []PreemptedTask   `json:"stop,omitempty"` // tasks that must make room
	GoneMachines  []string          `json:"gone,omitempty"` // machines that are gone for certain
	DeltaAcks     map[string]uint64 `json:"acks,omitempty"` // last batch counted of each controller
	FencingToken  uint64            `json:"tok"`            // of the leader
	CapacityHold  *CapacityHold     `json:"hold,omitempty"` // nil: no room is held
}

// CapacityHold says that tasks of a priority wait for room: work of lower priority leaves them what
// their smallest claim fits into.
type CapacityHold struct {
	Priority int                    `json:"p"`
	Request  clusterstate.Resources `json:"c"`
}

// PreemptedTask names a task's attempt that must make room for work of higher priority.
type PreemptedTask struct {
	Machine string `json:"m"`
	Job     string `json:"j"`
	Task    int32  `json:"i"`
	Attempt uint64 `json:"t"`
}

// MachineCapacity is a machine in a pushed array.
type MachineCapacity struct {
	Machine       string                 `json:"m"`
	Type          string                 `json:"t"`
	Zone          string                 `json:"z"`
	Spot          bool                   `json:"s,omitempty"`
	Available     clusterstate.Resources `json:"a"`
	Allocated     clusterstate.Resources `json:"o"`
	Reserved      clusterstate.Resources `json:"k"`
	OfferedLast   bool                   `json:"l,omitempty"`
	Unschedulable bool                   `json:"x,omitempty"`
}
