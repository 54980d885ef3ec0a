package core

import (
	"time"

	"dewlift/access"
	"dewlift/wire"
)

// Output is an action that Core.Advance requests. The outcome of an output with an ID is an Input with the same ID.
type Output interface{ output() }

// Outputs.
type (
	// Response answers a request of a user or an agent.
	Response struct {
		RequestID         uint64 // as in the request
		Status            wire.Status
		Body              any // encoded as JSON
		RetryAfterSeconds int // when the client may retry; 0: not set
	}
	// CommitTxn sends a compare-and-swap transaction to the store. Outcome: TxnResult.
	CommitTxn struct {
		ID  uint64
		Txn wire.Txn
	}
	// Watch reads the changes of the store since a revision. Outcome: WatchResult.
	Watch struct {
		SinceRevision uint64 // changes after this revision are read
		LongPoll      bool   // wait for a change if there is none; false: a read barrier, answered at once
	}
	// LoadSnapshot reads a page of all keys. Outcome: SnapshotPage.
	LoadSnapshot struct {
		AfterKey string // the page begins after this key; empty: the first page
	}
	// ReadRange reads one key, or a page of the keys with a prefix. Outcome: RangeResult.
	ReadRange struct {
		ID       uint64
		Key      string // the single key; empty: a page is read
		Prefix   string
		AfterKey string // the page begins after this key; empty: the first page
		Limit    int    // maximum number of keys in the page
	}
	// LeaseRequest grants or extends this controller's lease in the store. Outcome: LeaseResult.
	LeaseRequest struct {
		Op      LeaseOp
		TTL     time.Duration
		LeaseID uint64 // the lease to extend; 0 for a grant
	}
	// SendCommands sends commands to an agent. Controllers relay it inside a Message, in JSON. Outcome: CommandsResult.
	SendCommands struct {
		ID      uint64            `json:"ID"`
		Machine string            `json:"Machine"`
		Addr    string            `json:"Addr"` // host and port of the agent
		Batch   wire.CommandBatch `json:"Body"`
	}
	// PollAgent requests the status of an agent. Outcome: AgentPolled.
	PollAgent struct {
		Machine string
		Addr    string // host and port of the agent
	}
	// CloudRequest is a call to the cloud API. Outcome: CloudResult. The fields that are set depend on its operation.
	CloudRequest struct {
		ID           uint64
		Op           CloudOp
		ScaleOut     wire.ScaleOutRequest // CloudScaleOut
		MachineNames []string             // CloudScaleIn: the machines to scale in
		AfterMachine string               // CloudList: the page begins after this machine; empty: the first page
	}
	// SendToPeer sends a message to another controller. It may be lost.
	SendToPeer struct {
		Peer    string // empty: all other controllers
		Message Message
	}
	// PermissionsChanged gives the API the policy in force, by which it authenticates callers.
	PermissionsChanged struct{ Policy *access.Policy }
	// ReservationsEnabled tells the API whether there is equipment to reserve.
	ReservationsEnabled struct{ Enabled bool }
	// QueueEnabled tells the API whether a list of priority classes is in force.
	QueueEnabled struct{ Enabled bool }
	// ReplicaLoaded tells the API that the replica of the store is loaded for the first time. It follows all outputs
	// that tell what the replica shows: PermissionsChanged, ReservationsEnabled and QueueEnabled. Before it, no request
	// can be answered, as neither the callers' permissions nor what exists is known.
	ReplicaLoaded struct{}
	// LogLine is a line for the log.
	LogLine struct {
		Level   LogLevel
		Message string
		Args    []any // keys and values in turn
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

func (ReplicaLoaded) output() {}

func (LogLine) output() {}

// LeaseOp is the operation of a LeaseRequest; empty: none.
type LeaseOp string

// Operations on a lease.
const (
	LeaseGrant  LeaseOp = "grant"
	LeaseExtend LeaseOp = "extend"
)

// CloudOp is the operation of a CloudRequest.
type CloudOp string

// Operations of the cloud API.
const (
	CloudCatalog  CloudOp = "catalog"
	CloudList     CloudOp = "list"
	CloudScaleOut CloudOp = "rent"
	CloudScaleIn  CloudOp = "return"
)

// LogLevel is the severity of a LogLine.
type LogLevel string

// Log levels, the most severe first.
const (
	LevelError LogLevel = "error"
	LevelInfo  LogLevel = "info"
	LevelDebug LogLevel = "debug"
)
