package core

import (
	"dewlift/access"
	"dewlift/wire"
	"time"
)

// Output is something to do.
type Output interface{ output() }

// Outputs.
type (
	// Response answers a user or a worker.
	Response struct {
		RequestID         uint64
		Status            wire.Status
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
		Op      LeaseOp
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
	// CloudRequest is a call to the cloud.
	CloudRequest struct {
		ID           uint64
		Op           CloudOp
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
		Level   LogLevel
		Message string
		Args    []any
	}
)

func (Response) output() {}

func (CommitTxn) output() {}

func (Watch) output() {}

func (LoadSnapshot) output() {}

func (ReadRange) output() {}

func (LeaseRequest) output() {}

func (SendCommands) output() {}

func (PollAgent) output() {}

func (CloudRequest) output() {}

func (SendToPeer) output() {}

func (PermissionsChanged) output() {}

func (ReservationsEnabled) output() {}

func (QueueEnabled) output() {}

func (LogLine) output() {}

// LeaseOp is what is asked of the store about this controller's lease.
type LeaseOp string

// The requests about a lease.
const (
	LeaseGrant  LeaseOp = "grant"
	LeaseExtend LeaseOp = "extend"
)

// CloudOp is a kind of call to the cloud.
type CloudOp string

// The calls to the cloud.
const (
	CloudCatalog  CloudOp = "catalog"
	CloudList     CloudOp = "list"
	CloudScaleOut CloudOp = "rent"
	CloudScaleIn  CloudOp = "return"
)

// LogLevel is the weight of a line for the log.
type LogLevel string

// The levels of the log.
const (
	LevelError LogLevel = "error"
	LevelInfo  LogLevel = "info"
	LevelDebug LogLevel = "debug"
)
