package sim

import (
	"cmp"
	"time"

	"dewlift/core"
)

// Options configure a simulation. The zero value of a size takes its default.
type Options struct {
	Seed           uint64
	Duration       time.Duration
	Jobs           int
	NoFaults       bool // no faults are injected
	FlakyCloud     bool // the cloud fails more often than not
	Controllers    int  // number of controllers; 0: 3
	MaxMachines    int  // maximum number of machines; 0: 14
	MaxTasksPerJob int  // maximum number of tasks of a job; 0: 9
	RollingUpgrade bool // start with the previous version and replace it; the store's limits fall
	Pipelines      int  // pipelines of jobs with dependencies
	Permissions    bool // requests are authorized, and permissions change
	AuditLog       bool // the audit log is written and checked
	BatchValues    bool // small jobs share stored values
	Archive        bool // ended jobs move to the archive almost at once
	// Priority classes are configured, many jobs of few shapes queue, and controllers crash again and again.
	PriorityClasses   bool
	ReservationUsers  int           // users who reserve equipment
	MixedVersions     bool          // one controller runs the previous version throughout
	CancelTimeout     time.Duration // 0: 40 s
	WorkerLease       time.Duration // lease of a worker; 0: 20 s
	FailingJobs       int           // jobs whose tasks fail on every machine, until their users cancel them
	OverlappingFaults bool          // faults come in pairs only; the end is fault-free, so that lost state shows
	FaultNames        []string      // the faults that overlap; nil: all
	LongTasks         bool          // tasks run for up to 80 s, so that those of a small job end far apart
	QuotaLimited      bool          // every team has a maximum below its demand
	// Number of jobs with one task each; four are submitted per second, and about a quarter of them is cancelled.
	SingleTaskJobs  int
	ZonePinnedJobs  bool          // every job is bound to one zone
	MaxNetworkDelay time.Duration // maximum delay of a message; 0: 5 ms
	// A crashed process restarts within a second, while late copies of its requests still arrive. The end is
	// fault-free, so that lost state shows.
	FlappingProcesses bool
	LateCopies        bool // copies of requests that were carried out arrive late, see copyLater
	InitialMembers    int  // the cluster begins with that many controllers, see scheduleGrowth; 0: with all
}

const (
	defaultControllers    = 3
	defaultMaxMachines    = 14
	defaultMaxTasksPerJob = 9
	defaultCancelTimeout  = 40 * time.Second
	defaultWorkerLease    = 20 * time.Second
	heartbeatInterval     = 3 * time.Second
)

// withDefaults returns the options with defaults in place of zero sizes.
func (options Options) withDefaults() Options {
	options.Controllers = cmp.Or(options.Controllers, defaultControllers)
	options.MaxMachines = cmp.Or(options.MaxMachines, defaultMaxMachines)
	options.MaxTasksPerJob = cmp.Or(options.MaxTasksPerJob, defaultMaxTasksPerJob)
	options.CancelTimeout = cmp.Or(options.CancelTimeout, defaultCancelTimeout)
	options.WorkerLease = cmp.Or(options.WorkerLease, defaultWorkerLease)
	return options
}

// baseCoreConfig returns the settings that all controllers of a simulation have in common.
func (s *Simulator) baseCoreConfig() core.Config {
	return core.Config{
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
		Agents: s.agentConfig(),
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
			MinCompletionBatchDelay: 300 * time.Millisecond,
			PreemptionRetryInterval: 4 * time.Second,
			MaxCompletionBatchDelay: 2 * time.Second,
			SubmitWriteTimeout:      1500 * time.Millisecond,
			FullScanInterval:        20 * time.Second,
			YieldAfter:              time.Second,
		},

		History: core.HistoryConfig{MaxEndedJobs: 5000, CacheBytes: 1 << 20, ReadShare: 0.2},

		SchemaVersion: core.SchemaVersion,
		Zone:          "a",
		Teams:         s.teams,
		Shards:        6,
	}
}

// agentConfig returns the settings about agents.
func (s *Simulator) agentConfig() core.AgentConfig {
	return core.AgentConfig{
		HeartbeatInterval:    heartbeatInterval,
		LeaseTTL:             s.options.WorkerLease,
		CancelTimeout:        s.options.CancelTimeout,
		SilenceTimeout:       4 * time.Second,
		CommandRetryInterval: time.Second,
		MaxCommandRequests:   400,
		MaxPollRequests:      100,
		EndedTaskClearDelay:  2 * time.Second,
		CancelScaleInShare:   0.35,
		LostTaskBatchDelay:   700 * time.Millisecond,
	}
}

// coreConfig returns the settings of a controller's next process.
func (s *Simulator) coreConfig(n *node) core.Config {
	cfg := s.baseCoreConfig()
	cfg.Name = n.name
	cfg.Store.SharedValues = s.options.BatchValues
	if s.options.Permissions {
		cfg.Permissions = initialPolicy()
	}
	if s.options.AuditLog {
		cfg.Audit.Key, cfg.Audit.MaxClockErrorMS, cfg.Audit.Settings = auditKey, 500, settingsFor(n)
		cfg.Audit.LateTxnWindow = 60 * time.Second // requests are delayed by 40 s at most
		cfg.Audit.AggregationInterval, cfg.Audit.BlockDelay = 2*time.Second,
			s.randomDuration(time.Second, 8*time.Second)
	}
	if s.options.Archive {
		cfg.History.Archive, cfg.History.MaxEndedJobs, cfg.History.CacheBytes = true, 1+int(s.options.Seed%4), 1<<10
	}
	if n.bootsPrevious {
		cfg.SchemaVersion = 0
	} else {
		s.addNewVersionConfig(&cfg)
	}
	for _, peer := range s.nodes[:n.members] {
		if peer != n {
			cfg.Peers = append(cfg.Peers, peer.name)
		}
	}
	return cfg
}

// addNewVersionConfig adds the settings that the previous version does not support.
func (s *Simulator) addNewVersionConfig(cfg *core.Config) {
	if s.options.PriorityClasses {
		cfg.Scheduling.PriorityClasses = s.queueOrder.classes
	}
	if s.options.ReservationUsers > 0 {
		cfg.Reservations.Equipment = s.reservations.inventory
		cfg.Store.MaxValueBytes = 640 // small, so that there are many pages
		if s.options.AuditLog {
			cfg.Store.MaxValueBytes = 4096 // audit entries must fit
		}
		cfg.Reservations.Retention = time.Duration(s.options.Seed%3) * 10 * time.Second
	}
	if s.options.RollingUpgrade {
		cfg.Store.MaxValueBytes = announcedLimits.valueBytes
		cfg.Store.MaxTxnOps = announcedLimits.txnOps
		cfg.Store.NextWriteRate = announcedLimits.writesPerSecond
	}
}
