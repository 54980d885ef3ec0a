package core

import (
	"time"

	"dewlift/access"
	"dewlift/audit"
	"dewlift/booking"
	"dewlift/priorityclass"
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
	FullScanInterval        time.Duration // between two looks at everything
	YieldAfter              time.Duration // that a job has waited for room when later ones no longer pass it
	PriorityAgingInterval   time.Duration // after which waiting work counts as a step more important; 0: never
	ScaleOutLeadTime        time.Duration // from a need to the rental, and from a boot to the first start
	// rights where the state service has none; nil: none, and everyone may do everything
	Permissions          *access.Policy
	SharedValues         bool                // small jobs share values
	ReservationRetention time.Duration       // how long bookings that are over stay in pages
	PriorityClasses      *priorityclass.List // where the state service has none; nil: a lane for each priority
	Equipment            *booking.Inventory  // what can be booked where the state service has no list; nil: nothing
	Archive              bool                // ended jobs may move into the archive
	// of the ended jobs, those of late that stay in memory and keep their records
	MaxEndedJobs      int
	HistoryCacheBytes int           // bytes of blocks that are remembered
	HistoryReadShare  float64       // of the requests, what looking for ended jobs may take
	ArchiveStartDelay time.Duration // after every controller knows the archive, until the first move
	AuditKey          audit.Key     // nil: nothing is recorded
	AuditGatherDelay  time.Duration // how long refusals and reads are gathered
	AuditBlockDelay   time.Duration // how long other entries wait to share a block
	// after which nothing of a controller's former lives is executed any more
	AuditForgetAfter   time.Duration
	MaxClockErrorMS    uint32            // how far the time of day may be off
	Settings           map[string]string // as they are recorded
	CancelScaleInShare float64           // of CancelIn, after which machines with cancelled tasks are returned
}

// Team is a team with its guarantee and limit in thousandths; 0 means none.
type Team struct {
	Name                     string
	ReservedCPU, ReservedGPU int64
	MaxCPU, MaxGPU           int64
}
