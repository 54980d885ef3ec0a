package core

import (
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/priorityclass"
)

// Config is all that a core needs to know at its start. A core supplies no defaults: where a comment
// does not say otherwise a zero is taken literally, and the settings of the program supply the values.
// Times are durations; rates are per second.
type Config struct {
	// SchemaVersion is the newest schema version that this controller declares and writes (see
	// schemaversion.go). 0: the version without declarations.
	SchemaVersion int

	// Name is this controller's name, unique in the cluster. Required.
	Name string

	// Zone is the zone that this controller runs in.
	Zone string

	// Peers are the names of all other controllers. Empty: this is the only one.
	Peers []string

	// Teams are the teams with a quota. Jobs of other teams have none.
	Teams []Team

	// Shards is the number of shards of jobs, the same on every controller. Required.
	Shards int

	// Permissions is the policy that is written if the store has none; nobody is served before that.
	// nil: none, and until one is stored everyone may do everything.
	Permissions *access.Policy

	// Settings by concern.
	Store        StoreConfig
	Cluster      ClusterConfig
	Agents       AgentConfig
	State        StateConfig
	Scheduling   SchedulingConfig
	Autoscaling  AutoscalingConfig
	History      HistoryConfig
	Audit        AuditConfig
	Reservations ReservationConfig
}

// Team is a team and its quota.
type Team struct {
	// Name is the team's name, as job specs give it.
	Name string

	// ReservedCPU and ReservedGPU are the reserved quota, in thousandths of a CPU or GPU. 0: none.
	ReservedCPU, ReservedGPU int64

	// MaxCPU and MaxGPU are the maximum quota, in thousandths of a CPU or GPU. 0: no limit.
	MaxCPU, MaxGPU int64
}

// StoreConfig sets how a controller uses the key-value store.
type StoreConfig struct {
	// MinWatchInterval is the least time between two watches. 0: only the request rate limits them.
	MinWatchInterval time.Duration

	// MinReadBarrierInterval is the least time between two read barriers. 0: only the request rate
	// limits them.
	MinReadBarrierInterval time.Duration

	// RequestRate is the number of requests per second that the store takes from all controllers
	// together. Required.
	RequestRate float64

	// WriteRate is the number of writes per second that the store takes from all controllers together.
	// Required.
	WriteRate float64

	// NextWriteRate replaces WriteRate once every controller knows schemaDependencies, and with it this
	// field. 0: WriteRate stays.
	NextWriteRate float64

	// MaxWriteShare is the greatest part of the write rate, from 0 to 1, that one controller uses.
	// Required: with 0 nothing is written.
	MaxWriteShare float64

	// MaxValueBytes is the store's limit of a value, in bytes. Required. A refused transaction may
	// lower it at run time.
	MaxValueBytes int

	// MaxTxnOps is the store's limit of writes in a transaction. Required. A refused transaction may
	// lower it at run time.
	MaxTxnOps int

	// SharedValues lets small jobs share values (see batchvalues.go) once every controller knows them.
	// false: each job is written under its own key.
	SharedValues bool
}

// ClusterConfig sets how controllers keep their leases and communicate with each other.
type ClusterConfig struct {
	// LeaseTTL is how long a controller's lease is in force after its grant or last extension. Required.
	LeaseTTL time.Duration

	// RelayTimeout is how long agent commands relayed by another controller may stay unanswered.
	RelayTimeout time.Duration

	// PeerTimeout is how long after its last message a peer counts as reachable. Messages to one that
	// is not are relayed by another peer.
	PeerTimeout time.Duration

	// HealthInterval is the time between two broadcasts of this controller's health. Required: the
	// write rate is measured over it.
	HealthInterval time.Duration
}

// AgentConfig sets how agents are monitored and commanded.
type AgentConfig struct {
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration

	// LeaseTTL is how long an agent's lease is in force after it sent the last heartbeat that was answered.
	LeaseTTL time.Duration

	// CancelTimeout is the time from a cancellation until all tasks of the job must have stopped.
	CancelTimeout time.Duration

	// SilenceTimeout is how long after its next heartbeat was due at the latest an agent counts as
	// silent, and its machine may be returned. 0: as soon as the heartbeat is late.
	SilenceTimeout time.Duration

	// CommandRetryInterval is the time after which a command without effect is sent again.
	CommandRetryInterval time.Duration

	// MaxCommandRequests is the number of requests with commands that may be in flight. Required: with
	// 0 none is sent.
	MaxCommandRequests int

	// MaxPollRequests is the number of status polls that may be in flight. 0: agents are not polled.
	MaxPollRequests int

	// EndedTaskClearDelay is how long the tasks that ended on a machine wait to be cleared with one
	// command. 0: they do not wait.
	EndedTaskClearDelay time.Duration

	// LostTaskBatchDelay is how long the losses of a job's tasks wait to share a write. 0: they do not
	// wait. Services never do.
	LostTaskBatchDelay time.Duration

	// CancelScaleInShare is the part of CancelTimeout, from 0 to 1, after which machines with tasks of
	// a cancelled job that are not confirmed to have stopped are returned.
	CancelScaleInShare float64
}

// StateConfig sets how the shared cluster state (package clusterstate) is pushed and kept current.
type StateConfig struct {
	// DeltaInterval is the time between two batches of deltas, which inform the peers of starts and ends.
	DeltaInterval time.Duration

	// PushInterval is the time between two pushes of the leader's cluster state to the peers.
	PushInterval time.Duration

	// CopyExpiry is how long a pushed copy is trusted. 0: never.
	CopyExpiry time.Duration

	// FullPushInterval is the time between two pushes of all rows; those between them have only the
	// rows that changed.
	FullPushInterval time.Duration

	// MinPushInterval is the least time between two pushes if one is requested early.
	MinPushInterval time.Duration
}

// SchedulingConfig sets how waiting tasks are ordered and placed.
type SchedulingConfig struct {
	// CandidateRatio is the number of candidate machines per task. Required.
	CandidateRatio float64

	// RandomPlacement adds random machines that seem full to the candidates where others are too few.
	RandomPlacement bool

	// PreferImage ranks machines that have the job's image first.
	PreferImage bool

	// PreferSpot ranks spot machines first for jobs that may use them.
	PreferSpot bool

	// BusyHorizonStep is the step in which machines are ranked by how much longer a task keeps them
	// busy. 0: they are not ranked by that.
	BusyHorizonStep time.Duration

	// MinEndBatchDelay and MaxEndBatchDelay bound how long task ends wait to share a write; in between
	// the delay grows with the number of running jobs. 0 for both: they do not wait.
	MinEndBatchDelay time.Duration
	MaxEndBatchDelay time.Duration

	// PreemptionRetryInterval is the least time between two preemptions for the same job. 0: none.
	PreemptionRetryInterval time.Duration

	// SubmitWriteTimeout is how long the write of a submission or cancellation may take until the
	// request is refused.
	SubmitWriteTimeout time.Duration

	// FullScanInterval is the time between two scans of all open jobs and machines, a safeguard against
	// missed changes.
	FullScanInterval time.Duration

	// YieldAfter is how long a job has waited for capacity when later jobs of its priority class no
	// longer pass it. 0: at once.
	YieldAfter time.Duration

	// PriorityAgingInterval is the waiting time after which work below critical counts as one priority
	// more important, up to high. It applies to the default priority classes, in whole seconds. 0: never.
	PriorityAgingInterval time.Duration

	// PriorityClasses are the priority classes that the leader writes if the store has none. nil: one
	// class for each priority.
	PriorityClasses *priorityclass.List
}

// AutoscalingConfig sets how machines are rented (scale out) and returned (scale in).
type AutoscalingConfig struct {
	// CloudRequestRate is the number of requests per second that the leader may send to the cloud.
	// Required: with 0 none is sent.
	CloudRequestRate float64

	// CloudListLag is how far the cloud's list of machines may be behind. 0: it is current.
	CloudListLag time.Duration

	// HeadroomShare is the spare capacity kept for a class of jobs, as a part of what it uses. A job of
	// the usual size is the least. 0: no more than that.
	HeadroomShare float64

	// ServiceHeadroomShare is HeadroomShare for services.
	ServiceHeadroomShare float64

	// HeadroomDeviations bounds the headroom to this many standard deviations of the demand that
	// arrives until a new machine is up.
	HeadroomDeviations float64

	// IdleBootFactor is how many boot times an empty machine is kept beyond IdleTimeout. 0: none.
	IdleBootFactor float64

	// SoonFreeBootFactor is how many boot times before their estimated end tasks count as capacity that
	// is released soon. 0: only those past their estimated end.
	SoonFreeBootFactor float64

	// IdleTimeout is how long an empty machine is kept. 0: it is returned at once.
	IdleTimeout time.Duration

	// BootTimeoutFactor is how many nominal boot times a new machine has for its first heartbeat; after
	// that it is returned.
	BootTimeoutFactor float64

	// CloudListInterval is the time between two requests for pages of the cloud's list of machines.
	CloudListInterval time.Duration

	// ScaleOutLeadTime is the time that scale out takes beside the boot: from the demand to the rental,
	// and from the boot to the first task.
	ScaleOutLeadTime time.Duration
}

// HistoryConfig sets what is kept of jobs that ended.
type HistoryConfig struct {
	// Archive lets the records of ended jobs move into the archive. false: they stay.
	Archive bool

	// MaxEndedJobs is how many of the jobs that ended last keep their records when others are archived.
	// Required if Archive is set. Up to four times as many stay in memory.
	MaxEndedJobs int

	// CacheBytes is the size of the cache of archive blocks, in bytes.
	CacheBytes int

	// ReadShare is the part of this controller's request rate, from 0 to 1, that lookups of ended jobs
	// may use. 0: none are sent.
	ReadShare float64

	// ArchiveStartDelay is the time from when every controller knows the archive until the first record
	// moves, in which an upgrade can still be rolled back. 0: none.
	ArchiveStartDelay time.Duration
}

// AuditConfig sets what is recorded in the audit log, and how.
type AuditConfig struct {
	// Key authenticates the entries. nil: nothing is recorded.
	Key audit.Key

	// GatherDelay is how long refusals and reads are gathered in memory. A crash loses at most these.
	AggregationInterval time.Duration

	// BlockDelay is how long other entries, which are stored with what they are about, wait to share a
	// block.
	BlockDelay time.Duration

	// ForgetAfter is the time after which no transaction that this controller sent before a restart can
	// be executed any more.
	LateTxnWindow time.Duration

	// MaxClockErrorMS bounds the error of the time of day, in milliseconds. It is recorded in the log.
	MaxClockErrorMS uint32

	// Settings are the operators' settings, as they are recorded. nil: none.
	Settings map[string]string
}

// ReservationConfig sets what can be reserved.
type ReservationConfig struct {
	// Retention is how long past reservations stay where they can be changed before they move into
	// blocks. 0: they move at once.
	Retention time.Duration

	// Equipment is the inventory that the leader writes if the store has none. nil: none, and nothing
	// can be reserved until one is stored.
	Equipment *booking.Inventory
}
