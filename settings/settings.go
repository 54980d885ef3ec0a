// Package settings reads and validates the platform's settings file and the operators' settings. The defaults
// of the latter are in proto/tuning.proto.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	protobuf "google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"dewlift/core/quorum"
	pb "dewlift/proto"
)

// Peer identifies another controller.
type Peer struct {
	Name string `json:"node_name"`
	Zone string `json:"zone"`
	Addr string `json:"endpoint"`
}

// Team is a team with its reserved resources and its maximum. 0 means that there is none.
type Team struct {
	Name         string  `json:"name"`
	ReservedCPUs float64 `json:"cpus"`
	MaxCPUs      float64 `json:"cpus_max"`
	ReservedGPUs float64 `json:"gpus"`
	MaxGPUs      float64 `json:"gpus_max"`
}

// Objective is a service-level objective of the users.
type Objective struct {
	Kind        string  `json:"kind"`
	Class       string  `json:"class"`
	WithinS     float64 `json:"within_s"`
	WithinMS    float64 `json:"within_ms"`
	TargetShare float64 `json:"share"`
}

// NextStoreLimits are the announced limits of the key-value store. A nil limit stays as it is.
type NextStoreLimits struct {
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
			HeartbeatIntervalS float64 `json:"report_s"`
			AgentLeaseS        float64 `json:"lease_s"`
			CancelDeadlineS    float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64         `json:"rps"`
			WriteRPS float64         `json:"write_rps"`
			ValueKB  float64         `json:"value_kb"`
			TxnOps   int             `json:"txn_ops"`
			Next     NextStoreLimits `json:"next"`
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

// LoadPlatform reads and validates the platform's settings file.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	platform := &Platform{}
	if err := json.Unmarshal(raw, platform); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := platform.validate(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return platform, nil
}

// DurationFromSeconds converts a number of seconds, the platform's unit of durations, to a Duration.
func DurationFromSeconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

const (
	// minTxnOps is the smallest transaction limit of the store, in writes, with which the controller works: a
	// claim of leadership also raises the fencing token, and task starts of a team with a maximum also write
	// the team's key.
	minTxnOps = 2
	// maxPlatformNumber is the largest valid number in the platform's settings.
	maxPlatformNumber = 1e9
)

// validate returns an error that names the first invalid field.
func (p *Platform) validate() error {
	if err := p.validateAddrs(); err != nil {
		return err
	}
	if err := p.validateNumbers(); err != nil {
		return err
	}
	if err := p.validateStoreLimits(); err != nil {
		return err
	}
	return p.validateTeams()
}

// validateAddrs checks the names and addresses of this controller, its peers and the services.
func (p *Platform) validateAddrs() error {
	if p.Name == "" {
		return errors.New("node_name is missing")
	}
	addrs := []struct{ field, addr string }{
		{"serve_on", p.Listen},
		{"mesh_addr", p.MeshAddr},
		{"services.cloud", p.Services.Cloud},
		{"services.state", p.Services.State},
	}
	used := map[string]bool{p.Name: true}
	for i, peer := range p.Peers {
		if peer.Name == "" || used[peer.Name] {
			return fmt.Errorf("peers[%d]: node_name is missing or not unique", i)
		}
		used[peer.Name] = true
		addrs = append(addrs, struct{ field, addr string }{fmt.Sprintf("peers[%d].endpoint", i), peer.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: not an address and port: %q", a.field, a.addr)
		}
	}
	return nil
}

// validateNumbers checks the numbers that must be positive, and that the cancellation deadline exceeds the
// agents' lease by enough for controllers to renew leases in time.
func (p *Platform) validateNumbers() error {
	cluster := &p.Cluster
	for _, number := range []struct {
		field string
		value float64
	}{
		{"workers.report_s", cluster.Workers.HeartbeatIntervalS},
		{"workers.lease_s", cluster.Workers.AgentLeaseS},
		{"workers.cancel_s", cluster.Workers.CancelDeadlineS},
		{"state.rps", cluster.State.RPS},
		{"state.write_rps", cluster.State.WriteRPS},
		{"state.value_kb", cluster.State.ValueKB},
		{"cloud.rps", cluster.Cloud.RPS},
		{"quota.mem_mb", cluster.Quota.MemMB},
	} {
		if !isPositive(number.value) {
			return fmt.Errorf("cluster.%s must be greater than 0 and at most 1e9", number.field)
		}
	}
	for _, number := range []struct {
		field string
		value float64
	}{
		{"cloud.list_lag_s", cluster.Cloud.ListLagS},
		{"quota.fd_limit", float64(cluster.Quota.FDLimit)},
		{"time_bound_ms", cluster.TimeBoundMS},
	} {
		if !(number.value >= 0 && number.value <= maxPlatformNumber) {
			return fmt.Errorf("cluster.%s must be from 0 to 1e9", number.field)
		}
	}
	staleness := quorum.MaxStaleness(
		DurationFromSeconds(cluster.Workers.CancelDeadlineS),
		DurationFromSeconds(cluster.Workers.AgentLeaseS),
	)
	if staleness < quorum.MinUsableStaleness {
		return fmt.Errorf(
			"cluster.workers.cancel_s must exceed lease_s by about 6 s (they are %v and %v): "+
				"otherwise a task could outlive its cancellation in an outage",
			cluster.Workers.CancelDeadlineS,
			cluster.Workers.AgentLeaseS,
		)
	}
	return nil
}

// validateStoreLimits checks the current and the announced limits of the store.
func (p *Platform) validateStoreLimits() error {
	if ops := p.Cluster.State.TxnOps; ops < minTxnOps || ops > maxPlatformNumber {
		return fmt.Errorf("cluster.state.txn_ops must be at least %d and at most 1e9", minTxnOps)
	}
	next := &p.Cluster.State.Next
	for _, number := range []struct {
		field string
		value *float64
	}{{"rps", next.RPS}, {"write_rps", next.WriteRPS}, {"value_kb", next.ValueKB}} {
		if number.value != nil && !isPositive(*number.value) {
			return fmt.Errorf("cluster.state.next.%s must be greater than 0 and at most 1e9", number.field)
		}
	}
	if next.TxnOps != nil && (*next.TxnOps < minTxnOps || *next.TxnOps > maxPlatformNumber) {
		return fmt.Errorf("cluster.state.next.txn_ops must be at least %d and at most 1e9", minTxnOps)
	}
	return nil
}

// validateTeams checks the names and quotas of the teams.
func (p *Platform) validateTeams() error {
	used := map[string]bool{}
	for i, team := range p.Cluster.Teams {
		if team.Name == "" || used[team.Name] {
			return fmt.Errorf("cluster.teams[%d]: name is missing or not unique", i)
		}
		used[team.Name] = true
		for _, v := range []float64{team.ReservedCPUs, team.MaxCPUs, team.ReservedGPUs, team.MaxGPUs} {
			if !(v >= 0) || v > maxPlatformNumber {
				return fmt.Errorf("cluster.teams[%d]: a quota is not from 0 to 1e9", i)
			}
		}
	}
	return nil
}

// isPositive reports whether v is greater than 0 and at most maxPlatformNumber. It is false for NaN.
func isPositive(v float64) bool { return v > 0 && v <= maxPlatformNumber }

// Setting is one of the operators' settings: a field of pb.Tuning with its description in proto/tuning.proto.
type Setting struct {
	Name       string
	Kind       protoreflect.Kind // bool, uint32 or double
	About      *pb.About
	descriptor protoreflect.FieldDescriptor
}

// OperatorSettings lists the operators' settings in the order of proto/tuning.proto.
func OperatorSettings() []Setting {
	fields := (&pb.Tuning{}).ProtoReflect().Descriptor().Fields()
	out := make([]Setting, fields.Len())
	for i := range out {
		f := fields.Get(i)
		// A field without a description has an empty range, which TestEverySettingIsDescribed detects.
		about, _ := protobuf.GetExtension(f.Options(), pb.E_About).(*pb.About)
		out[i] = Setting{Name: string(f.Name()), Kind: f.Kind(), About: about, descriptor: f}
	}
	return out
}

// protoValue converts a number to the type of the setting's field.
func (s *Setting) protoValue(v float64) protoreflect.Value {
	switch s.Kind {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(v != 0)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(v))
	}
	return protoreflect.ValueOfFloat64(v)
}

// Default returns the default value in protobuf text format.
func (s *Setting) Default() string { return s.protoValue(s.About.Is).String() }

// DefaultTuning returns the operators' settings with their default values.
func DefaultTuning() *pb.Tuning {
	tuning := &pb.Tuning{}
	for _, s := range OperatorSettings() {
		tuning.ProtoReflect().Set(s.descriptor, s.protoValue(s.About.Is))
	}
	return tuning
}

// AuditedValues returns the platform's and the operators' settings by name, as the audit log records them.
func AuditedValues(platform *Platform, tuning *pb.Tuning) map[string]string {
	out := map[string]string{}
	tuning.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		out[string(f.Name())] = v.String()
		return true
	})
	raw, err := json.Marshal(platform)
	var tree any
	if err == nil {
		err = json.Unmarshal(raw, &tree)
	}
	if err != nil {
		panic(err) // unreachable: the settings were decoded from JSON
	}
	flattenJSON("", tree, out)
	return out
}

// flattenJSON adds the leaf values of decoded JSON to out, keyed by their paths.
func flattenJSON(path string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for key, child := range v {
			flattenJSON(strings.TrimPrefix(path+"."+key, "."), child, out)
		}
	case []any:
		for i, child := range v {
			flattenJSON(fmt.Sprintf("%s[%d]", path, i), child, out)
		}
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// LoadTuning reads the operators' settings from a file and uses the defaults for those that it does not set. With
// an empty path it returns the defaults.
func LoadTuning(path string) (*pb.Tuning, error) {
	tuning := DefaultTuning()
	if path == "" {
		return tuning, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tuning: %w", err)
	}
	var fromFile pb.Tuning
	if err := prototext.Unmarshal(raw, &fromFile); err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	protobuf.Merge(tuning, &fromFile)
	if err := ValidateTuning(tuning); err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	return tuning, nil
}

// ValidateTuning returns an error that names the first invalid setting.
func ValidateTuning(tuning *pb.Tuning) error {
	for _, s := range OperatorSettings() {
		value := tuning.ProtoReflect().Get(s.descriptor)
		var number float64
		switch s.Kind {
		case protoreflect.BoolKind:
			continue
		case protoreflect.Uint32Kind:
			number = float64(value.Uint())
		default:
			number = value.Float()
		}
		if !(number >= s.About.GetMin() && number <= s.About.GetMax()) { // NaN is out of range
			return fmt.Errorf("%s is %v, must be from %v to %v", s.Name, number, s.About.GetMin(), s.About.GetMax())
		}
	}
	if tuning.GetExpireMs() <= tuning.GetPushMs() {
		return fmt.Errorf("expire_ms is %d, must be more than push_ms (%d)", tuning.GetExpireMs(), tuning.GetPushMs())
	}
	return nil
}
