package core

import (
	"dewlift/access"
	"dewlift/booking"
	"dewlift/wire"
	"time"

	pb "dewlift/proto"
)

// Input is something that happened.
type Input interface{ input() }

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
		Status         wire.Status     `json:"Status"` // 0: no answer
		MaybeDelivered bool            `json:"Sent"`   // the request may have reached the worker
		Heartbeat      *wire.Heartbeat `json:"Report"`
	}
	// TxnResult is the outcome of a transaction.
	TxnResult struct {
		ID     uint64
		Status wire.Status // 0: unknown
		Reply  wire.TxnResponse
	}
	// WatchResult is the outcome of a watch or read barrier.
	WatchResult struct {
		LongPoll bool
		Status   wire.Status
		Changes  wire.WatchResponse
	}
	// SnapshotPage is a page of all keys.
	SnapshotPage struct {
		OK       bool
		Status   wire.Status // if not OK; 0: no answer
		More     bool        // there are pages behind it
		Items    []wire.KeyValue
		Revision uint64
	}
	// RangeResult is the outcome of a Scan; 404 if the key does not exist.
	RangeResult struct {
		ID       uint64
		Status   wire.Status // 0: no answer
		Items    []wire.KeyValue
		More     bool
		Revision uint64 // revision that was read
	}
	// LeaseResult is the outcome of a call about this controller's lease.
	LeaseResult struct {
		Op      LeaseOp
		Status  wire.Status
		LeaseID uint64
	}
	// CloudResult is the outcome of a call to the cloud.
	CloudResult struct {
		ID           uint64
		Status       wire.Status
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
		MaxLoopDelay time.Duration // the longest that the core's turn was late of late
		// parts of the queue of inputs, and of the connections, that are in use
		InputQueueUsage, ConnectionUsage float64
	}
)

func (SubmitJob) input() {}

func (GetJob) input() {}

func (CancelJob) input() {}

func (UpdatePermissions) input() {}

func (ListPermissions) input() {}

func (ReadAudit) input() {}

func (RequestsDenied) input() {}

func (ReserveEquipment) input() {}

func (SetEquipment) input() {}

func (ListReservations) input() {}

func (ListQueue) input() {}

func (SetPriorityClasses) input() {}

func (CheckPermission) input() {}

func (AgentHeartbeat) input() {}

func (AgentPolled) input() {}

func (CommandsResult) input() {}

func (TxnResult) input() {}

func (WatchResult) input() {}

func (SnapshotPage) input() {}

func (RangeResult) input() {}

func (LeaseResult) input() {}

func (CloudResult) input() {}

func (PeerMessage) input() {}

func (WallClock) input() {}

func (LoadSample) input() {}
