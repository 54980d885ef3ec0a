package dewlift

import (
	"time"

	"dewlift/connlimit"
	"dewlift/core"
	pb "dewlift/proto"
	"dewlift/settings"
)

const (
	// maxStoreRequestDelay is the longest time after sending a request at which the key-value store may still
	// execute it. Delays of several minutes occur.
	maxStoreRequestDelay = 15 * time.Minute
	// cloudRateShare is the fraction of the cloud's request limit that is used.
	cloudRateShare = 0.9
	// minCloudRequestRate is the lowest request rate to the cloud, in requests per second. It also applies if the
	// cloud's limit is lower.
	minCloudRequestRate = 1
)

// CoreConfig converts the platform's settings and the operators' settings, which `dewlift settings`
// describes, into the configuration of a core.
func CoreConfig(platform *settings.Platform, tuning *pb.Tuning) core.Config {
	cfg := core.Config{
		SchemaVersion: core.SchemaVersion,

		// From the platform.
		Name: platform.Name,
		Zone: platform.Zone,

		// From the operators' settings.
		Shards: int(tuning.GetShards()),

		// From both sources, as each function says.
		Store:        storeConfig(platform, tuning),
		Cluster:      clusterConfig(tuning),
		Agents:       agentConfig(platform, tuning),
		State:        stateConfig(tuning),
		Scheduling:   schedulingConfig(tuning),
		Autoscaling:  autoscalingConfig(platform, tuning),
		History:      historyConfig(tuning),
		Audit:        auditConfig(platform, tuning),
		Reservations: reservationConfig(tuning),
	}
	for _, peer := range platform.Peers {
		cfg.Peers = append(cfg.Peers, peer.Name)
	}
	for _, team := range platform.Cluster.Teams {
		cfg.Teams = append(cfg.Teams, core.Team{
			Name:        team.Name,
			ReservedCPU: int64(team.ReservedCPUs * 1000),
			ReservedGPU: int64(team.ReservedGPUs * 1000),
			MaxCPU:      int64(team.MaxCPUs * 1000),
			MaxGPU:      int64(team.MaxGPUs * 1000),
		})
	}
	return cfg
}

// storeConfig uses the lower of the current and the announced limit, except for the write rate, where the
// core gets both.
func storeConfig(platform *settings.Platform, tuning *pb.Tuning) core.StoreConfig {
	current, announced := &platform.Cluster.State, &platform.Cluster.State.Next
	return core.StoreConfig{
		// From the platform.
		RequestRate:   lowerLimit(current.RPS, announced.RPS),
		WriteRate:     current.WriteRPS,
		NextWriteRate: lowerLimit(current.WriteRPS, announced.WriteRPS),
		MaxValueBytes: int(lowerLimit(current.ValueKB, announced.ValueKB) * 1024),
		MaxTxnOps:     lowerLimit(current.TxnOps, announced.TxnOps),

		// From the operators' settings.
		MinWatchInterval:       milliseconds(tuning.GetWatchGapMs()),
		MinReadBarrierInterval: milliseconds(tuning.GetBarrierGapMs()),
		MaxWriteShare:          tuning.GetWriteShare(),
		SharedValues:           tuning.GetSharedValues(),
	}
}

func clusterConfig(tuning *pb.Tuning) core.ClusterConfig {
	return core.ClusterConfig{
		// From the operators' settings.
		LeaseTTL:       milliseconds(tuning.GetLeaseMs()),
		RelayTimeout:   milliseconds(tuning.GetPassMs()),
		PeerTimeout:    milliseconds(tuning.GetLinkLostMs()),
		HealthInterval: milliseconds(tuning.GetHealthMs()),
	}
}

func agentConfig(platform *settings.Platform, tuning *pb.Tuning) core.AgentConfig {
	workers := &platform.Cluster.Workers
	sockets := connlimit.Divide(platform.Cluster.Quota.FDLimit)
	return core.AgentConfig{
		// From the platform.
		HeartbeatInterval:  settings.DurationFromSeconds(workers.HeartbeatIntervalS),
		LeaseTTL:           settings.DurationFromSeconds(workers.AgentLeaseS),
		CancelTimeout:      settings.DurationFromSeconds(workers.CancelDeadlineS),
		MaxCommandRequests: sockets.AgentCommands,
		MaxPollRequests:    sockets.AgentPolls,

		// From the operators' settings.
		SilenceTimeout:       milliseconds(tuning.GetSilentMs()),
		CancelScaleInShare:   tuning.GetCancelShare(),
		CommandRetryInterval: milliseconds(tuning.GetOrderAgainMs()),
		EndedTaskClearDelay:  milliseconds(tuning.GetClearMs()),
		LostTaskBatchDelay:   milliseconds(tuning.GetLossGatherMs()),
	}
}

func stateConfig(tuning *pb.Tuning) core.StateConfig {
	return core.StateConfig{
		// From the operators' settings.
		DeltaInterval:    milliseconds(tuning.GetDeltaMs()),
		PushInterval:     milliseconds(tuning.GetPushMs()),
		CopyExpiry:       milliseconds(tuning.GetExpireMs()),
		FullPushInterval: milliseconds(tuning.GetWholePushMs()),
		MinPushInterval:  milliseconds(tuning.GetPushGapMs()),
	}
}

func schedulingConfig(tuning *pb.Tuning) core.SchedulingConfig {
	return core.SchedulingConfig{
		// From the operators' settings.
		CandidateRatio:          tuning.GetProbeRatio(),
		RandomPlacement:         tuning.GetRandomFill(),
		PreferImage:             tuning.GetPreferImage(),
		PreferSpot:              tuning.GetPreferSpot(),
		BusyHorizonStep:         milliseconds(tuning.GetHorizonMs()),
		MinCompletionBatchDelay: milliseconds(tuning.GetSettleMs()),
		MaxCompletionBatchDelay: milliseconds(tuning.GetSettleMostMs()),
		PreemptionRetryInterval: milliseconds(tuning.GetRoomAgainMs()),
		SubmitWriteTimeout:      milliseconds(tuning.GetAcceptWaitMs()),
		FullScanInterval:        milliseconds(tuning.GetLookAllMs()),
		YieldAfter:              milliseconds(tuning.GetGiveWayMs()),
		PriorityAgingInterval:   milliseconds(tuning.GetRiseMs()),
	}
}

func autoscalingConfig(platform *settings.Platform, tuning *pb.Tuning) core.AutoscalingConfig {
	limits := &platform.Cluster.Cloud
	return core.AutoscalingConfig{
		// From the platform.
		CloudRequestRate: max(minCloudRequestRate, limits.RPS*cloudRateShare),
		CloudListLag:     settings.DurationFromSeconds(limits.ListLagS),

		// From the operators' settings.
		HeadroomShare:        tuning.GetSpareShare(),
		ServiceHeadroomShare: tuning.GetSpareService(),
		HeadroomDeviations:   tuning.GetSpareDeviations(),
		IdleTimeout:          milliseconds(tuning.GetIdleMs()),
		IdleBootFactor:       tuning.GetIdleBoots(),
		SoonFreeBootFactor:   tuning.GetSoonBoots(),
		BootTimeoutFactor:    tuning.GetBootPatience(),
		CloudListInterval:    milliseconds(tuning.GetListMs()),
		ScaleOutLeadTime:     milliseconds(tuning.GetRentAheadMs()),
	}
}

func historyConfig(tuning *pb.Tuning) core.HistoryConfig {
	return core.HistoryConfig{
		// From the operators' settings.
		Archive:           tuning.GetArchive(),
		MaxEndedJobs:      int(tuning.GetEndedKept()),
		CacheBytes:        int(tuning.GetHistoryCacheKb()) << 10,
		ReadShare:         tuning.GetHistoryShare(),
		ArchiveStartDelay: milliseconds(tuning.GetHistoryWaitMs()),
	}
}

func auditConfig(platform *settings.Platform, tuning *pb.Tuning) core.AuditConfig {
	return core.AuditConfig{
		LateTxnWindow: maxStoreRequestDelay,

		// From the platform.
		MaxClockErrorMS: uint32(platform.Cluster.TimeBoundMS),

		// From the operators' settings.
		AggregationInterval: milliseconds(tuning.GetAuditGatherMs()),
		BlockDelay:          milliseconds(tuning.GetAuditBlockMs()),
	}
}

func reservationConfig(tuning *pb.Tuning) core.ReservationConfig {
	return core.ReservationConfig{
		// From the operators' settings.
		Retention: time.Duration(tuning.GetBookingKeepMin()) * time.Minute,
	}
}

func milliseconds(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }

// lowerLimit returns the lower of the current and the announced limit. With nil, no limit is announced.
func lowerLimit[T int | float64](current T, announced *T) T {
	if announced == nil {
		return current
	}
	return min(current, *announced)
}
