package core

import (
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/priorityclass"
)

// Config is the configuration of a core. A core supplies no defaults, which come from the program's
// settings: unless a field's comment says otherwise, a zero is taken literally. Rates are per second.
type Config struct {
	// SchemaVersion is the newest schema version that this controller declares and writes (see
	// schemaversion.go). 0: the initial version, which is not declared.
	SchemaVersion int

	// Name is this controller's name, unique in the cluster. Required.
	Name string

	// Zone is the zone in which this controller runs.
	Zone string

	// Peers are the names of all other controllers. Empty: this is the only one.
	Peers []string

	// Teams are the teams with a quota. Jobs of other teams have none.
	Teams []Team

	// Shards is the number of job shards, the same on every controller. Required.
	Shards int

	// Permissions is the policy that is written if the store has none; requests are refused until it is
	// stored. nil: none is written, and everything is permitted until a policy is stored.
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
	// MinWatchInterval is the minimum time between two watches. 0: only the request rate limits them.
	MinWatchInterval time.Duration

	// MinReadBarrierInterval is the minimum time between two read barriers. 0: only the request rate
	// limits them.
	MinReadBarrierInterval time.Duration

	// RequestRate is the number of requests per second that the store accepts from all controllers
	// together. Required.
	RequestRate float64

	// WriteRate is the number of writes per second that the store accepts from all controllers together.
	// Required.
	WriteRate float64

	// NextWriteRate replaces WriteRate once schemaDependencies is active: only then does every controller
	// know this field. 0: WriteRate stays.
	NextWriteRate float64

	// MaxWriteShare is the largest share of the write rate, from 0 to 1, that one controller uses.
	// Required: with 0 nothing is written.
	MaxWriteShare float64

	// MaxValueBytes is the store's size limit of a value, in bytes. Required. A refused transaction may
	// lower it at run time.
	MaxValueBytes int

	// MaxTxnOps is the largest number of writes in a transaction that the store accepts. Required. A
	// refused transaction may lower it at run time.
	MaxTxnOps int

	// SharedValues lets small jobs share values (see batchvalues.go) once schemaSharedValues is active.
	// false: each job is written under its own key.
	SharedValues bool
}

// ClusterConfig sets how controllers keep their leases and communicate with each other.
type ClusterConfig struct {
	// LeaseTTL is how long a controller's lease is valid after its grant or last extension. Required.
	LeaseTTL time.Duration

	// RelayTimeout is how long to wait for the result of agent commands that another controller relays.
	RelayTimeout time.Duration

	// PeerTimeout is how long after its last message a peer counts as reachable. Messages to an
	// unreachable peer are relayed by another one.
	PeerTimeout time.Duration

	// HealthInterval is the time between two broadcasts of this controller's health. Required: the
	// write rate is measured over it.
	HealthInterval time.Duration
}

// AgentConfig sets how agents are monitored and commanded.
type AgentConfig struct {
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration

	// LeaseTTL is how long an agent's lease is valid after it sent the last heartbeat that was answered.
	LeaseTTL time.Duration

	// CancelTimeout is the time from a cancellation until all tasks of the job must have stopped.
	CancelTimeout time.Duration

	// SilenceTimeout is how long a heartbeat may be overdue before its agent counts as silent and its
	// machine may be scaled in. 0: the agent counts as silent as soon as the heartbeat is late.
	SilenceTimeout time.Duration

	// CommandRetryInterval is the time after which a command without effect is sent again.
	CommandRetryInterval time.Duration

	// MaxCommandRequests is the maximum number of command requests in flight. Required: with 0 none is
	// sent.
	MaxCommandRequests int

	// MaxPollRequests is the maximum number of status polls in flight. 0: agents are not polled.
	MaxPollRequests int

	// EndedTaskClearDelay is how long the ended tasks of a machine wait to be cleared together by one
	// command request. 0: they do not wait.
	EndedTaskClearDelay time.Duration

	// LostTaskBatchDelay is how long lost tasks of a job wait so that one write records several. 0: they
	// do not wait. Lost tasks of services never wait.
	LostTaskBatchDelay time.Duration

	// CancelScaleInShare is the share of CancelTimeout, from 0 to 1, after which machines are scaled in that
	// have tasks of a cancelled job which are not confirmed to have stopped.
	CancelScaleInShare float64
}

// StateConfig sets how the shared cluster state (package clusterstate) is pushed and kept current.
type StateConfig struct {
	// DeltaInterval is the time between two batches of deltas, which tell the peers which tasks have
	// started or ended.
	DeltaInterval time.Duration

	// PushInterval is the time between two pushes of the leader's cluster state to the peers.
	PushInterval time.Duration

	// CopyExpiry is how long a copy of the cluster state is used after its last push. 0: it is never used.
	CopyExpiry time.Duration

	// FullPushInterval is the time between two full pushes; the incremental pushes between them carry only
	// the rows that changed.
	FullPushInterval time.Duration

	// MinPushInterval is the minimum time between two pushes if one is requested early.
	MinPushInterval time.Duration
}

// SchedulingConfig sets how waiting tasks are ordered and placed.
type SchedulingConfig struct {
	// CandidateRatio is the number of candidate machines per task. Required.
	CandidateRatio float64

	// RandomPlacement fills up a short list of candidates with random machines that seem full.
	RandomPlacement bool

	// PreferImage ranks machines that have the job's image first.
	PreferImage bool

	// PreferSpot ranks spot machines first for jobs that may use them.
	PreferSpot bool

	// BusyHorizonStep is the granularity at which machines are ranked by how much longer a task would keep
	// them busy. 0: they are not ranked by that.
	BusyHorizonStep time.Duration

	// MinCompletionBatchDelay and MaxCompletionBatchDelay bound how long task completions wait so that
	// one write records several; within the bounds the delay grows with the number of running jobs. 0 for both:
	// they do not wait.
	MinCompletionBatchDelay time.Duration
	MaxCompletionBatchDelay time.Duration

	// PreemptionRetryInterval is the minimum time between two preemptions for the same job. 0: none.
	PreemptionRetryInterval time.Duration

	// SubmitWriteTimeout is how long the write of a submission or cancellation may take before the
	// request is refused.
	SubmitWriteTimeout time.Duration

	// FullScanInterval is the time between two scans of all open jobs and machines, which find changes that
	// were missed.
	FullScanInterval time.Duration

	// YieldAfter is how long a job must have waited for capacity before later jobs of its priority class
	// may no longer overtake it. 0: they never may.
	YieldAfter time.Duration

	// PriorityAgingInterval is the waiting time after which priority aging raises a job below critical by
	// one class, up to high. It applies to the default priority classes, in whole seconds. 0: no aging.
	PriorityAgingInterval time.Duration

	// PriorityClasses are the priority classes that the leader writes if the store has none. nil: one
	// class for each priority.
	PriorityClasses *priorityclass.List
}

// AutoscalingConfig sets how machines are provisioned (scale out) and released (scale in).
type AutoscalingConfig struct {
	// CloudRequestRate is the number of requests per second that the leader may send to the cloud API.
	// Required: with 0 none is sent.
	CloudRequestRate float64

	// CloudListLag is how stale the cloud's list of machines may be. 0: it is current.
	CloudListLag time.Duration

	// HeadroomShare is the spare capacity kept for a class of jobs, as a share of what the class uses, but
	// at least the size of its average job. 0: only that size.
	HeadroomShare float64

	// ServiceHeadroomShare is HeadroomShare for services.
	ServiceHeadroomShare float64

	// HeadroomDeviations limits the headroom to this many standard deviations of the demand that arrives
	// before a new machine is ready.
	HeadroomDeviations float64

	// IdleBootFactor is the number of boot times by which an empty machine is kept beyond IdleTimeout. 0:
	// none.
	IdleBootFactor float64

	// SoonFreeBootFactor is how long before a task's estimated end its resources count as free soon, as a
	// number of boot times. 0: only the resources of tasks past their estimated end do.
	SoonFreeBootFactor float64

	// IdleTimeout is how long an empty machine is kept, in addition to IdleBootFactor boot times. 0: only for
	// these.
	IdleTimeout time.Duration

	// BootTimeoutFactor is the number of nominal boot times within which a new machine must send its first
	// heartbeat; otherwise it is scaled in.
	BootTimeoutFactor float64

	// CloudListInterval is the time between two requests for pages of the cloud's list of machines.
	CloudListInterval time.Duration

	// ScaleOutLeadTime is the time that scale out takes in addition to the boot time: from the demand to the
	// scale-out request, and from the end of the boot to the first task.
	ScaleOutLeadTime time.Duration
}

// HistoryConfig sets how the records of ended jobs are retained.
type HistoryConfig struct {
	// Archive lets the records of ended jobs move into the archive. false: they stay.
	Archive bool

	// MaxEndedJobs is the number of most recently ended jobs whose records are not archived. Required if
	// Archive is set. Up to four times as many ended jobs stay in memory.
	MaxEndedJobs int

	// CacheBytes is the size of the cache of archive blocks, in bytes.
	CacheBytes int

	// ReadShare is the share of this controller's request rate, from 0 to 1, that lookups of ended jobs may
	// use. 0: none are sent.
	ReadShare float64

	// ArchiveStartDelay is the time from the activation of schemaArchive until the first record is archived,
	// in which an upgrade can still be rolled back. 0: none.
	ArchiveStartDelay time.Duration
}

// AuditConfig sets what is recorded in the audit log, and how.
type AuditConfig struct {
	// Key authenticates the audit entries. nil: nothing is recorded.
	Key audit.Key

	// AggregationInterval is how long denials and reads are aggregated in memory. A crash loses only these.
	AggregationInterval time.Duration

	// BlockDelay is how long other entries, which are committed together with the changes that they
	// describe, wait to share a block.
	BlockDelay time.Duration

	// LateTxnWindow is the time after a restart during which transactions that this controller sent before
	// it may still be executed.
	LateTxnWindow time.Duration

	// MaxClockErrorMS bounds the error of the wall clock, in milliseconds. It is recorded in the audit log.
	MaxClockErrorMS uint32

	// Settings are the operators' settings as recorded in the audit log. nil: none.
	Settings map[string]string
}

// ReservationConfig sets what can be reserved.
type ReservationConfig struct {
	// Retention is how long past reservations stay editable before they are archived in blocks. 0: they
	// are archived at once.
	Retention time.Duration

	// Equipment is the inventory that the leader writes if the store has none. nil: none is written, and
	// nothing can be reserved until an inventory is stored.
	Equipment *booking.Inventory
}
