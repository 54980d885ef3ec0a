// Package settings reads the platform's settings file and the operators' own settings.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"
	protobuf "google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "dewlift/proto"
)

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name"`
	Zone string `json:"zone"`
	Addr string `json:"endpoint"`
}

// Team is a team with its guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is an aim that the users stated.
type Objective struct {
	Kind     string  `json:"kind"`
	Class    string  `json:"class"`
	WithinS  float64 `json:"within_s"`
	WithinMS float64 `json:"within_ms"`
	Share    float64 `json:"share"`
}

// Limits are those that the state service will have some day; nil means as they are now.
type Limits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Platform is the settings file of the platform. Unknown fields are ignored.
type Platform struct {
	Name     string `json:"node_name"`
	Zone     string `json:"zone"`
	Listen   string `json:"serve_on"`
	MeshAddr string `json:"mesh_addr"`
	Peers    []Peer `json:"peers"`
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Cluster struct {
		Count      int         `json:"count"`
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS float64 `json:"report_s"`
			LeaseS  float64 `json:"lease_s"`
			CancelS float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
			Next     Limits  `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Quota struct {
			CoreShare float64 `json:"core_share"`
			MemMB     float64 `json:"mem_mb"`
			FDLimit   int     `json:"fd_limit"`
		} `json:"quota"`
		TimeBoundMS float64 `json:"time_bound_ms"`
	} `json:"cluster"`
}

// Load reads and checks the platform's settings file.
func Load(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	p := &Platform{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return p, nil
}

// leastOps is the least number of changes a transaction must take: a claim raises the token, and
// starts of a team with a limit write its key.
const leastOps = 2

func (p *Platform) check() error {
	if p.Name == "" {
		return errors.New("node_name is missing")
	}
	addrs := []struct{ field, addr string }{{"serve_on", p.Listen}, {"mesh_addr", p.MeshAddr},
		{"services.cloud", p.Services.Cloud}, {"services.state", p.Services.State}}
	seen := map[string]bool{p.Name: true}
	for i, peer := range p.Peers {
		if peer.Name == "" || seen[peer.Name] {
			return fmt.Errorf("peers[%d]: node_name is missing or used twice", i)
		}
		seen[peer.Name] = true
		addrs = append(addrs, struct{ field, addr string }{fmt.Sprintf("peers[%d].endpoint", i), peer.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: not an address and port: %q", a.field, a.addr)
		}
	}
	c := &p.Cluster
	for _, v := range []struct {
		field string
		v     float64
	}{{"workers.report_s", c.Workers.ReportS}, {"workers.lease_s", c.Workers.LeaseS}, {"workers.cancel_s", c.Workers.CancelS},
		{"state.rps", c.State.RPS}, {"state.write_rps", c.State.WriteRPS}, {"state.value_kb", c.State.ValueKB},
		{"cloud.rps", c.Cloud.RPS}, {"quota.mem_mb", c.Quota.MemMB}} {
		if !(v.v > 0) || v.v > 1e9 {
			return fmt.Errorf("cluster.%s must be greater than 0", v.field)
		}
	}
	if c.State.TxnOps < leastOps {
		return fmt.Errorf("cluster.state.txn_ops must be at least %d", leastOps)
	}
	n := &c.State.Next
	for _, v := range []struct {
		field string
		v     *float64
	}{{"rps", n.RPS}, {"write_rps", n.WriteRPS}, {"value_kb", n.ValueKB}} {
		if v.v != nil && (!(*v.v > 0) || *v.v > 1e9) {
			return fmt.Errorf("cluster.state.next.%s must be greater than 0", v.field)
		}
	}
	if n.TxnOps != nil && *n.TxnOps < leastOps {
		return fmt.Errorf("cluster.state.next.txn_ops must be at least %d", leastOps)
	}
	teams := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("cluster.teams[%d]: name is missing or used twice", i)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || v > 1e9 {
				return fmt.Errorf("cluster.teams[%d]: an amount is out of range", i)
			}
		}
	}
	return nil
}

func ptr[T any](v T) *T { return &v }

// Defaults returns the built-in tuning.
func Defaults() *pb.Tuning {
	return &pb.Tuning{
		LeaseMs: ptr(uint32(4000)), Shards: ptr(uint32(12)), WatchGapMs: ptr(uint32(150)), BarrierGapMs: ptr(uint32(200)),
		WriteShare: ptr(0.95), DeltaMs: ptr(uint32(50)), PushMs: ptr(uint32(500)), ExpireMs: ptr(uint32(30000)),
		ProbeRatio: ptr(2.0), RandomFill: ptr(false), PreferImage: ptr(true), PreferSpot: ptr(true), HorizonMs: ptr(uint32(10000)),
		SpareShare: ptr(0.25), SpareService: ptr(0.2), SpareDeviations: ptr(1.0), IdleBoots: ptr(0.0), SoonBoots: ptr(1.0), IdleMs: ptr(uint32(4000)), SilentMs: ptr(uint32(2500)), BootPatience: ptr(3.0),
		SettleMs: ptr(uint32(300)), CancelShare: ptr(0.35),
		WholePushMs: ptr(uint32(10000)), PushGapMs: ptr(uint32(100)), OrderAgainMs: ptr(uint32(1000)), ClearMs: ptr(uint32(2000)), PassMs: ptr(uint32(3000)),
		LinkLostMs: ptr(uint32(1500)), RoomAgainMs: ptr(uint32(4000)), ListMs: ptr(uint32(2500)), SettleMostMs: ptr(uint32(2000)),
		LossGatherMs: ptr(uint32(700)), AcceptWaitMs: ptr(uint32(1500)), HealthMs: ptr(uint32(500)), LookAllMs: ptr(uint32(20000)), RentAheadMs: ptr(uint32(3000)),
		Archive: ptr(false), EndedKept: ptr(uint32(5000)), HistoryCacheKb: ptr(uint32(4096)), HistoryShare: ptr(0.2), HistoryWaitMs: ptr(uint32(600000)),
		AuditGatherMs: ptr(uint32(5000)), AuditBlockMs: ptr(uint32(20000)),
	}
}

// Recorded lists all settings by name, as the audit record has them.
func Recorded(p *Platform, t *pb.Tuning) map[string]string {
	out := map[string]string{}
	t.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		out[string(f.Name())] = v.String()
		return true
	})
	raw, err := json.Marshal(p)
	var tree any
	if err == nil {
		err = json.Unmarshal(raw, &tree)
	}
	if err != nil {
		panic(err) // it was read from JSON
	}
	flatten("", tree, out)
	return out
}

// flatten lists the leaves of JSON by their paths.
func flatten(path string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(strings.TrimPrefix(path+"."+k, "."), x, out)
		}
	case []any:
		for i, x := range v {
			flatten(fmt.Sprintf("%s[%d]", path, i), x, out)
		}
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// LoadTuning reads the operators' settings over the defaults; no path means defaults alone.
func LoadTuning(path string) (*pb.Tuning, error) {
	t := Defaults()
	if path == "" {
		return t, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tuning: %w", err)
	}
	var own pb.Tuning
	if err := prototext.Unmarshal(raw, &own); err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	protobuf.Merge(t, &own)
	if err := CheckTuning(t); err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	return t, nil
}

// CheckTuning names the first bad value.
func CheckTuning(t *pb.Tuning) error {
	for _, r := range []struct {
		field    string
		v        float64
		min, max float64
	}{
		{"lease_ms", float64(t.GetLeaseMs()), 1000, 60000}, {"shards", float64(t.GetShards()), 1, 64},
		{"watch_gap_ms", float64(t.GetWatchGapMs()), 10, 5000}, {"barrier_gap_ms", float64(t.GetBarrierGapMs()), 10, 1500},
		{"write_share", t.GetWriteShare(), 0.05, 1}, {"delta_ms", float64(t.GetDeltaMs()), 20, 60000},
		{"push_ms", float64(t.GetPushMs()), 20, 120000}, {"expire_ms", float64(t.GetExpireMs()), 100, 600000},
		{"probe_ratio", t.GetProbeRatio(), 1, 100}, {"spare_share", t.GetSpareShare(), 0, 10},
		{"spare_service", t.GetSpareService(), 0, 10}, {"spare_deviations", t.GetSpareDeviations(), 0, 100}, {"horizon_ms", float64(t.GetHorizonMs()), 0, 3600000}, {"idle_boots", t.GetIdleBoots(), 0, 100},
		{"soon_boots", t.GetSoonBoots(), 0, 100},
		{"idle_ms", float64(t.GetIdleMs()), 0, 3600000}, {"silent_ms", float64(t.GetSilentMs()), 500, 3600000},
		{"boot_patience", t.GetBootPatience(), 1, 100}, {"settle_ms", float64(t.GetSettleMs()), 0, 2000},
		{"cancel_share", t.GetCancelShare(), 0.05, 0.9},
		{"whole_push_ms", float64(t.GetWholePushMs()), 100, 600000},
		{"push_gap_ms", float64(t.GetPushGapMs()), 20, 10000},
		{"order_again_ms", float64(t.GetOrderAgainMs()), 100, 10000},
		{"clear_ms", float64(t.GetClearMs()), 0, 10000},
		{"pass_ms", float64(t.GetPassMs()), 500, 30000},
		{"link_lost_ms", float64(t.GetLinkLostMs()), 600, 30000},
		{"room_again_ms", float64(t.GetRoomAgainMs()), 500, 60000},
		{"list_ms", float64(t.GetListMs()), 500, 60000},
		{"loss_gather_ms", float64(t.GetLossGatherMs()), 0, 5000},
		{"accept_wait_ms", float64(t.GetAcceptWaitMs()), 100, 1800},
		{"health_ms", float64(t.GetHealthMs()), 100, 1000},
		{"look_all_ms", float64(t.GetLookAllMs()), 1000, 600000},
		{"rent_ahead_ms", float64(t.GetRentAheadMs()), 0, 60000},
		{"ended_kept", float64(t.GetEndedKept()), 1, 1e6},
		{"history_cache_kb", float64(t.GetHistoryCacheKb()), 64, 1e6},
		{"history_share", t.GetHistoryShare(), 0.01, 0.9},
		{"history_wait_ms", float64(t.GetHistoryWaitMs()), 0, 86400000},
		{"audit_gather_ms", float64(t.GetAuditGatherMs()), 1000, 60000},
		{"audit_block_ms", float64(t.GetAuditBlockMs()), 1000, 600000},
		{"settle_most_ms", float64(t.GetSettleMostMs()), 0, 2500},
	} {
		if !(r.v >= r.min && r.v <= r.max) {
			return fmt.Errorf("%s is %v, must be from %v to %v", r.field, r.v, r.min, r.max)
		}
	}
	if t.GetExpireMs() <= t.GetPushMs() {
		return fmt.Errorf("expire_ms is %d, must be more than push_ms (%d)", t.GetExpireMs(), t.GetPushMs())
	}
	return nil
}
