package core

import (
	"dewlift/clusterstate"
	"dewlift/wire"
)

// Message is a message between controllers, in JSON, of which only the fields that are set are sent. Controllers of
// another version ignore fields that they do not know, so a tag must never change its meaning.
type Message struct {
	RelayTo     string `json:"to,omitempty"` // the controller to relay it to; empty: it is for the receiver
	RelayedFrom string `json:"fr,omitempty"` // the sender of a relayed message; empty: it is not relayed

	Commands       *SendCommands   `json:"o,omitempty"`  // to be sent to an agent that the sender may not reach
	CommandsResult *CommandsResult `json:"od,omitempty"` // outcome of Commands in an earlier message of the receiver
	Health         *Health         `json:"h,omitempty"`

	Heartbeats       []*wire.Heartbeat `json:"r,omitempty"` // heartbeats that changed something
	HeartbeatDigests []HeartbeatDigest `json:"e,omitempty"` // heartbeats that changed nothing
	WantedHeartbeats []string          `json:"w,omitempty"` // machines whose last heartbeat the sender lacks

	AllocationDeltas *AllocationDeltas `json:"d,omitempty"`
	StatePush        *StatePush        `json:"p,omitempty"`
	ResendStatePush  bool              `json:"a,omitempty"` // the sender missed a push and needs a full one

	MachinesToScaleIn []string `json:"s,omitempty"` // machines that the leader must scale in
	SilentMachines    []string `json:"q,omitempty"` // machines without a heartbeat at the sender

	QuorumRead    *QuorumRead     `json:"v,omitempty"`  // requests the cancellations that the receiver holds
	QuorumReply   *QuorumReply    `json:"vd,omitempty"` // the reply to a QuorumRead
	Cancellations []wire.KeyValue `json:"c,omitempty"`  // cancellations, as the store holds them
	CancelAcks    []string        `json:"y,omitempty"`  // jobs whose cancellation the sender holds
	PollMachines  []string        `json:"l,omitempty"`  // machines for the receiver to poll, in case it reaches them
}

// HeartbeatDigest replaces a heartbeat that changed nothing. The receiver compares the digest with its last heartbeat
// of the machine, and requests the full heartbeat if they differ.
type HeartbeatDigest struct {
	Machine      string `json:"m"`
	Incarnation  uint64 `json:"s"` // of the agent
	Seq          uint64 `json:"q"` // sequence number in this incarnation
	FencingToken uint64 `json:"b"` // highest token that the agent has seen
	Digest       uint64 `json:"d"` // hash of the task statuses, see taskStatusDigest
}

// Health is the state of a controller, which it sends to its peers periodically.
type Health struct {
	StoreReachable    bool     `json:"ok"`          // it has reached the store recently
	WriteRate         float64  `json:"u"`           // recent writes to the store per second
	ReachablePeers    []string `json:"n,omitempty"` // empty: there are none, or an earlier version sent it
	SnapshotPagesRead int      `json:"g,omitempty"` // pages of its snapshot load so far; 0: none is in progress
	// CancellationsUpTo is the revision up to which the sender holds all cancellations. 0: its replica is not
	// loaded, or an earlier version sent it.
	CancellationsUpTo uint64 `json:"v,omitempty"`
	// QueueHeads are, for each priority class, the first of the sender's jobs that have waited for capacity for
	// at least YieldAfter. Empty: there are none, or an earlier version sent it.
	QueueHeads []QueueHead `json:"w,omitempty"`
}

// QueueHead is the queue position of a job.
type QueueHead struct {
	Priority     int   `json:"p"`           // index of its priority class; 0 is the first
	EnqueuedAtMS int64 `json:"a"`           // effective enqueue time, in ms since 1970
	Spot         bool  `json:"s,omitempty"` // it may use spot machines
}

// AllocationDeltas is a batch of starts and ends of tasks, sent by one controller.
type AllocationDeltas struct {
	Seq    uint64            `json:"q"` // sequence number of the batch at its sender, from 1
	Deltas []AllocationDelta `json:"l"`
}

// AllocationDelta is a start or an end of a task on a machine.
type AllocationDelta struct {
	Start       bool                   `json:"st,omitempty"` // false: an end
	Machine     string                 `json:"m"`
	Request     clusterstate.Resources `json:"c"`           // resources of the task
	AttemptHash uint64                 `json:"k,omitempty"` // identifies the attempt; 0: an earlier version sent it
}

// StatePush is a push of the leader's array of available capacity. A full push carries all rows, an incremental push
// the rows that changed since an earlier push.
type StatePush struct {
	AfterRevision uint64            `json:"after,omitempty"` // Rows are those changed after it; 0: a full push
	Revision      uint64            `json:"rev"`             // revision of the array with these rows
	Rows          []MachineCapacity `json:"rows,omitempty"`
	Preempted     []PreemptedTask   `json:"stop,omitempty"` // task attempts to preempt
	GoneMachines  []string          `json:"gone,omitempty"` // machines that are proven to be gone
	DeltaAcks     map[string]uint64 `json:"acks,omitempty"` // by controller: last batch of deltas that Rows include
	FencingToken  uint64            `json:"tok"`            // fencing token of the leader
	CapacityHold  *CapacityHold     `json:"hold,omitempty"` // nil: no capacity is held
}

// CapacityHold means that tasks of a priority class wait for capacity: work of the classes below it must leave
// Request free, the minimum of each resource over the requests of these tasks.
type CapacityHold struct {
	Priority int                    `json:"p"` // index of the priority class; 0 is the first
	Request  clusterstate.Resources `json:"c"`
}

// PreemptedTask identifies a task attempt that is preempted by work of higher priority.
type PreemptedTask struct {
	Machine string `json:"m"`
	Job     string `json:"j"`
	Task    int32  `json:"i"`
	Attempt uint64 `json:"t"`
}

// MachineCapacity is the row of a machine in a StatePush.
type MachineCapacity struct {
	Machine       string                 `json:"m"`
	Type          string                 `json:"t"`
	Zone          string                 `json:"z"`
	Spot          bool                   `json:"s,omitempty"`
	Available     clusterstate.Resources `json:"a"`
	Allocated     clusterstate.Resources `json:"o"`
	Reserved      clusterstate.Resources `json:"k"`           // reserved for work that may not use spot machines
	OfferedLast   bool                   `json:"l,omitempty"` // used only if no other machine fits
	Unschedulable bool                   `json:"x,omitempty"` // no new tasks are placed on it
}
