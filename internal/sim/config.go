package sim

import (
	"dewlift/core"
	"time"
)

// Options say how rough a world is.
type Options struct {
	Seed           uint64
	Duration       time.Duration
	Jobs           int
	NoFaults       bool // no failures
	FlakyCloud     bool // the cloud fails more often than not
	Controllers    int  // controllers; 0: 3
	MaxMachines    int  // the most machines there are; 0: 14
	MaxTasksPerJob int  // the most tasks of a job; 0: 9
	RollingUpgrade bool // begin with the version in production and replace it, and have the limits fall
	Pipelines      int  // pipelines of jobs that await others
	Permissions    bool // everyone needs a right, and they come and go
	AuditLog       bool // what is done is recorded
	BatchValues    bool // small jobs share values
	Archive        bool // ended jobs move into the archive, nearly at once
	// there is a list of lanes, much work of few shapes waits, and controllers end all the time
	PriorityClasses   bool
	ReservationUsers  int           // users who book equipment
	MixedVersions     bool          // one controller is of the version in production throughout
	CancelTimeout     time.Duration // 0: 40 s
	WorkerLease       time.Duration // of a worker; 0: 20 s
	FailingJobs       int           // jobs whose tasks fail on every machine, until their users cancel them
	OverlappingFaults bool          // troubles come in pairs only; then it is calm, and what is forgotten shows
	FaultNames        []string      // the only troubles that meet; nil: any two of all
	LongTasks         bool          // tasks run for up to more than a minute: those of a small job end far apart
	QuotaLimited      bool          // every team has a limit, which its work would exceed
	// jobs of one task each that come four a second, one after the other; a quarter is cancelled
	SingleTaskJobs  int
	ZonePinnedJobs  bool          // every job is bound to one zone
	MaxNetworkDelay time.Duration // every message takes up to so long; 0: 5 ms
	// what ends is back within a second, with late copies of what it did; then it is calm, and what is forgotten shows
	FlappingProcesses bool
}

const (
	defaultCancelTimeout = 40 * time.Second
	defaultWorkerLease   = 20 * time.Second
	heartbeatInterval    = 3 * time.Second
	startUnixMS          = int64(1_700_000_000_000)
)

func (w *Simulator) coreConfig(n *node) core.Config {
	cfg := core.Config{
		Cluster: core.ClusterConfig{
			LeaseTTL:       4 * time.Second,
			RelayTimeout:   3 * time.Second,
			PeerTimeout:    1500 * time.Millisecond,
			HealthInterval: 500 * time.Millisecond,
		},
		Store: core.StoreConfig{
			MinWatchInterval:       100 * time.Millisecond,
			MinReadBarrierInterval: 150 * time.Millisecond,
			RequestRate:            100,
			WriteRate:              40,
			MaxWriteShare:          0.6,
			MaxValueBytes:          8192,
			MaxTxnOps:              12,
		},
		Autoscaling: core.AutoscalingConfig{
			CloudRequestRate:  4,
			CloudListLag:      3 * time.Second,
			HeadroomShare:     0.2,
			IdleTimeout:       5 * time.Second,
			BootTimeoutFactor: 3,
			CloudListInterval: 2500 * time.Millisecond,
			ScaleOutLeadTime:  3 * time.Second,
		},
		Agents: core.AgentConfig{
			HeartbeatInterval:    heartbeatInterval,
			LeaseTTL:             w.options.WorkerLease,
			CancelTimeout:        w.options.CancelTimeout,
			SilenceTimeout:       4 * time.Second,
			CommandRetryInterval: time.Second,
			MaxCommandRequests:   400,
			MaxPollRequests:      100,
			EndedTaskClearDelay:  2 * time.Second,
			CancelScaleInShare:   0.35,
			LostTaskBatchDelay:   700 * time.Millisecond,
		},
		State: core.StateConfig{
			DeltaInterval:    500 * time.Millisecond,
			PushInterval:     time.Second,
			CopyExpiry:       10 * time.Second,
			FullPushInterval: 10 * time.Second,
			MinPushInterval:  100 * time.Millisecond,
		},
		Scheduling: core.SchedulingConfig{
			CandidateRatio:          2,
			PreferImage:             true,
			PreferSpot:              true,
			MinEndBatchDelay:        300 * time.Millisecond,
			PreemptionRetryInterval: 4 * time.Second,
			MaxEndBatchDelay:        2 * time.Second,
			SubmitWriteTimeout:      1500 * time.Millisecond,
			FullScanInterval:        20 * time.Second,
			YieldAfter:              time.Second,
		},

		SchemaVersion: core.SchemaVersion,
		Name:          n.name,
		Zone:          "a",
		Teams:         w.teams,

		Shards: 6,
	}
	cfg.History.MaxEndedJobs, cfg.History.CacheBytes, cfg.History.ReadShare = 5000, 1<<20, 0.2
	cfg.Store.SharedValues = w.options.BatchValues
	if w.options.Permissions {
		cfg.Permissions = initialPolicy()
	}
	if w.options.AuditLog {
		cfg.Audit.Key, cfg.Audit.MaxClockErrorMS, cfg.Audit.Settings = auditKey, 500, settingsFor(n)
		cfg.Audit.ForgetAfter = 60 * time.Second // requests are late by 40 s at most
		cfg.Audit.GatherDelay, cfg.Audit.BlockDelay = 2*time.Second, w.randomDuration(time.Second, 8*time.Second)
	}
	if w.options.Archive {
		cfg.History.Archive, cfg.History.MaxEndedJobs, cfg.History.CacheBytes = true, 1+int(w.options.Seed%4), 1<<10
	}
	if w.options.PriorityClasses && !n.bootsPrevious {
		cfg.Scheduling.PriorityClasses = w.queueOrder.classes
	}
	if w.options.ReservationUsers > 0 && !n.bootsPrevious {
		cfg.Reservations.Equipment, cfg.Store.MaxValueBytes = w.reservations.site, 640 // so that there are many pages
		if w.options.AuditLog {
			cfg.Store.MaxValueBytes = 4096 // entries of the record need room
		}
		cfg.Reservations.Retention = time.Duration(w.options.Seed%3) * 10 * time.Second
	}
	if w.options.RollingUpgrade && !n.bootsPrevious {
		cfg.Store.MaxValueBytes, cfg.Store.MaxTxnOps, cfg.Store.NextWriteRate = announcedLimits.valueBytes, announcedLimits.txnOps, announcedLimits.writesPerSecond
	}
	if n.bootsPrevious {
		cfg.SchemaVersion = 0
	}
	for _, o := range w.nodes {
		if o != n {
			cfg.Peers = append(cfg.Peers, o.name)
		}
	}
	return cfg
}
