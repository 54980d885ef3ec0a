package core

import (
	"time"

	"dewlift/access"
	"dewlift/booking"
	pb "dewlift/proto"
	"dewlift/wire"
)

// Input is an event for Core.Handle: a request, the outcome of an output, or a measurement.
type Input interface{ input() }

// Requests of users and agents. The API chooses RequestID, and finds the caller of a Response by it. Caller
// is the authenticated caller, empty if there is none.
type (
	// SubmitJob is an idempotent submission of a job.
	SubmitJob struct {
		RequestID   uint64
		ID          string // chosen by the user; empty if the body did not give one
		Spec        wire.JobSpec
		DecodeError string // why the body is malformed; empty: it is well-formed
		UnixMS      int64  // when it was received, in ms since 1970
		Caller      Credential
	}
	// GetJob requests the state of a job.
	GetJob struct {
		RequestID uint64
		ID        string
		Caller    Credential
	}
	// CancelJob cancels a job.
	CancelJob struct {
		RequestID uint64
		ID        string
		UnixMS    int64 // when it was received, in ms since 1970
		Caller    Credential
	}
	// UpdatePermissions changes the permissions of an identity.
	UpdatePermissions struct {
		RequestID uint64
		Caller    Credential
		Identity  string
		Edit      wire.PermissionsEdit
	}
	// CheckPermission asks whether the caller may perform an operation that is not about a particular job.
	CheckPermission struct {
		RequestID uint64
		Caller    Credential
		Verb      access.Verb
		Object    string // the object of the operation, for the audit log
	}
	// RequestsDenied reports requests that the API denied because the caller could not be authenticated.
	RequestsDenied struct {
		Items []*pb.AuditItem // each counts identical requests
	}
	// ReadAudit requests blocks of a controller's audit log.
	ReadAudit struct {
		RequestID  uint64
		Caller     Credential
		Controller string // the controller; empty: the heads of all chains are requested
		AfterBlock uint64 // blocks with higher numbers are requested
	}
	// ListPermissions requests all permissions.
	ListPermissions struct {
		RequestID uint64
		Caller    Credential
	}
	// ReserveEquipment makes a reservation, or changes one.
	ReserveEquipment struct {
		RequestID uint64
		Caller    Credential
		Verb      booking.Verb
		Request   wire.ReservationRequest
	}
	// ListReservations requests reservations.
	ListReservations struct {
		RequestID uint64
		Caller    Credential
		Query     wire.ReservationQuery
	}
	// SetEquipment replaces the inventory of equipment that can be reserved.
	SetEquipment struct {
		RequestID uint64
		Caller    Credential
		Edit      wire.EquipmentEdit
	}
	// ListQueue requests a page of the waiting jobs in queue order, why a single job waits, or the priority classes.
	ListQueue struct {
		RequestID           uint64
		Caller              Credential
		ID                  string // the single job; empty: a page is requested
		AfterPosition       int    // number of jobs before the page
		Limit               int    // maximum number of jobs in the page
		ShowPriorityClasses bool   // the priority classes are requested instead
	}
	// SetPriorityClasses replaces the list of priority classes.
	SetPriorityClasses struct {
		RequestID uint64
		Caller    Credential
		Text      string // the list in text format
	}
	// AgentHeartbeat is a heartbeat that an agent sent to this controller.
	AgentHeartbeat struct {
		RequestID uint64
		Heartbeat *wire.Heartbeat // never nil
		Caller    Credential
	}
)

// Outcomes of outputs. ID is that of the output. The status wire.StatusNoResponse (0) means that no answer came:
// the request may have been executed or not.
type (
	// AgentPolled is the outcome of a PollAgent.
	AgentPolled struct {
		Machine   string
		Heartbeat *wire.Heartbeat // nil: no answer came
	}
	// CommandsResult is the outcome of a SendCommands. Controllers relay it inside a Message, in JSON.
	CommandsResult struct {
		ID             uint64          `json:"ID"`
		Status         wire.Status     `json:"Status"`
		MaybeDelivered bool            `json:"Sent"`   // the request may have reached the agent, and be executed late
		Heartbeat      *wire.Heartbeat `json:"Report"` // status after the commands; nil: the answer had none
	}
	// TxnResult is the outcome of a CommitTxn.
	TxnResult struct {
		ID     uint64
		Status wire.Status
		Reply  wire.TxnResponse
	}
	// WatchResult is the outcome of a Watch.
	WatchResult struct {
		LongPoll bool // as in the Watch; false: a read barrier
		Status   wire.Status
		Changes  wire.WatchResponse // empty unless the status is OK
	}
	// SnapshotPage is the outcome of a LoadSnapshot.
	SnapshotPage struct {
		OK       bool            // the page was read
		Status   wire.Status     // the reason if it was not read
		More     bool            // there are further pages
		Items    []wire.KeyValue // in key order
		Revision uint64          // revision of the store when the page was read
	}
	// RangeResult is the outcome of a ReadRange; wire.StatusNotFound if a single key does not exist.
	RangeResult struct {
		ID       uint64
		Status   wire.Status
		Items    []wire.KeyValue // in key order
		More     bool            // there are further pages
		Revision uint64          // revision of the store when the range was read
	}
	// LeaseResult is the outcome of a LeaseRequest.
	LeaseResult struct {
		Op      LeaseOp // as in the request: at most one is in flight
		Status  wire.Status
		LeaseID uint64 // the lease that was granted; 0: none was
	}
	// CloudResult is the outcome of a CloudRequest. The fields that are set depend on its operation.
	CloudResult struct {
		ID           uint64
		Status       wire.Status
		Catalog      *wire.Catalog  // CloudCatalog
		Machines     []wire.Machine // CloudList: a page
		More         bool           // CloudList: there are further pages
		MachineNames []string       // CloudScaleOut: the new machines, possibly fewer than requested
		Error        string         // the error, for the log; empty: none
	}
)

// Other inputs.
type (
	// PeerMessage is a message from another controller.
	PeerMessage struct {
		Peer    string // the controller that delivered it, which may relay it for another one
		Message Message
	}
	// WallClock sets the wall-clock time, which the core can't read itself.
	WallClock struct {
		UnixMS int64 // in ms since 1970
	}
	// LoadSample is a measurement of the load of this process.
	LoadSample struct {
		MaxLoopDelay    time.Duration // longest delay of the core's loop since the last sample
		InputQueueUsage float64       // fraction of the input queue in use, from 0 to 1
		ConnectionUsage float64       // fraction of the permitted connections in use, from 0 to 1
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
