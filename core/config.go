package core

import (
	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/priorityclass"
	"time"
)

// Config is all that a core needs to know at its start.
type Config struct {
	SchemaVersion int // the newest form of stored data that this controller knows; see form.go
	Name          string
	Zone          string
	Peers         []string
	Teams         []Team

	Shards int

	// rights where the state service has none; nil: none, and everyone may do everything
	Permissions *access.Policy

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

// Team is a team with its guarantee and limit in thousandths; 0 means none.
type Team struct {
	Name                     string
	ReservedCPU, ReservedGPU int64
	MaxCPU, MaxGPU           int64
}

// StoreConfig sets how a controller uses the key-value store.
type StoreConfig struct {
	MinWatchInterval       time.Duration
	MinReadBarrierInterval time.Duration // between read barriers
	RequestRate            float64       // of all controllers together
	WriteRate              float64
	NextWriteRate          float64 // the same once every controller runs this version
	MaxWriteShare          float64 // the most of it that one controller uses
	MaxValueBytes          int
	MaxTxnOps              int
	SharedValues           bool // small jobs share values
}

// ClusterConfig sets how controllers keep their leases and hear of each other.
type ClusterConfig struct {
	LeaseTTL       time.Duration // of a controller
	RelayTimeout   time.Duration
	PeerTimeout    time.Duration
	HealthInterval time.Duration
}

// AgentConfig sets how agents are heard, commanded and given up.
type AgentConfig struct {
	HeartbeatInterval    time.Duration
	LeaseTTL             time.Duration
	CancelTimeout        time.Duration
	SilenceTimeout       time.Duration // after a machine's report was due at the latest
	CommandRetryInterval time.Duration
	MaxCommandRequests   int // requests with orders on their way
	MaxPollRequests      int // and for reports
	EndedTaskClearDelay  time.Duration
	LostTaskBatchDelay   time.Duration // how long the losses of a job of many tasks wait for each other
	CancelScaleInShare   float64       // of CancelIn, after which machines with cancelled tasks are returned
}

// StateConfig sets how the shared cluster state is pushed and kept current.
type StateConfig struct {
	DeltaInterval    time.Duration
	PushInterval     time.Duration
	CopyExpiry       time.Duration
	FullPushInterval time.Duration
	MinPushInterval  time.Duration
}

// SchedulingConfig sets how waiting tasks are ordered and placed.
type SchedulingConfig struct {
	CandidateRatio          float64
	RandomPlacement         bool
	PreferImage             bool
	PreferSpot              bool
	BusyHorizonStep         time.Duration
	MinEndBatchDelay        time.Duration
	MaxEndBatchDelay        time.Duration
	PreemptionRetryInterval time.Duration
	SubmitWriteTimeout      time.Duration       // for the write of a submission or cancellation
	FullScanInterval        time.Duration       // between two looks at everything
	YieldAfter              time.Duration       // that a job has waited for room when later ones no longer pass it
	PriorityAgingInterval   time.Duration       // after which waiting work counts as a step more important; 0: never
	PriorityClasses         *priorityclass.List // where the state service has none; nil: a lane for each priority
}

// AutoscalingConfig sets how machines are rented and returned.
type AutoscalingConfig struct {
	CloudRequestRate     float64
	CloudListLag         time.Duration
	HeadroomShare        float64
	ServiceHeadroomShare float64
	HeadroomDeviations   float64
	IdleBootFactor       float64
	SoonFreeBootFactor   float64
	IdleTimeout          time.Duration
	BootTimeoutFactor    float64
	CloudListInterval    time.Duration
	ScaleOutLeadTime     time.Duration // from a need to the rental, and from a boot to the first start
}

// HistoryConfig sets what is kept of jobs that ended.
type HistoryConfig struct {
	Archive bool // ended jobs may move into the archive
	// of the ended jobs, those of late that stay in memory and keep their records
	MaxEndedJobs      int
	CacheBytes        int           // bytes of blocks that are remembered
	ReadShare         float64       // of the requests, what looking for ended jobs may take
	ArchiveStartDelay time.Duration // after every controller knows the archive, until the first move
}

// AuditConfig sets what is recorded, and how.
type AuditConfig struct {
	Key         audit.Key     // nil: nothing is recorded
	GatherDelay time.Duration // how long refusals and reads are gathered
	BlockDelay  time.Duration // how long other entries wait to share a block
	// after which nothing of a controller's former lives is executed any more
	ForgetAfter     time.Duration
	MaxClockErrorMS uint32            // how far the time of day may be off
	Settings        map[string]string // as they are recorded
}

// ReservationConfig sets what can be reserved.
type ReservationConfig struct {
	Retention time.Duration      // how long bookings that are over stay in pages
	Equipment *booking.Inventory // what can be booked where the state service has no list; nil: nothing
}
