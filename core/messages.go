package core

import (
	"dewlift/clusterstate"
	"dewlift/wire"
)

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
	// machines to be asked for their reports: the sender may not reach them
	PollMachines []string `json:"l,omitempty"`
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
	StoreReachable    bool     `json:"ok"`          // it reached the state service of late
	WriteRate         float64  `json:"u"`           // changes of the state service a second that it made of late
	ReachablePeers    []string `json:"n,omitempty"` // controllers in reach; the version without forms does not tell
	SnapshotPagesRead int      `json:"g,omitempty"` // pages of all keys that it has read, while it reads them
	// the sender knows all cancellations up to this revision; 0: it has not read all keys, or its version does not tell
	CancellationsUpTo uint64 `json:"v,omitempty"`
	// of each lane, the first of its jobs that wait for room; none: none does, or its version does not tell
	QueueHeads []QueueHead `json:"w,omitempty"`
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
	// revision that the rows lead on from; 0: these are all rows
	AfterRevision uint64            `json:"after,omitempty"`
	Revision      uint64            `json:"rev"` // revision that they lead to
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
