// Package settings reads the platform's settings file and the operators' own settings.
package settings

import (
	"dewlift/core/quorum"
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
	Name         string  `json:"name"`
	ReservedCPUs float64 `json:"cpus"`
	MaxCPUs      float64 `json:"cpus_max"`
	ReservedGPUs float64 `json:"gpus"`
	MaxGPUs      float64 `json:"gpus_max"`
}

// Objective is an aim that the users stated.
type Objective struct {
	Kind        string  `json:"kind"`
	Class       string  `json:"class"`
	WithinS     float64 `json:"within_s"`
	WithinMS    float64 `json:"within_ms"`
	TargetShare float64 `json:"share"`
}

// NextStoreLimits are those that the state service will have some day; nil means as they are now.
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

// LoadPlatform reads and checks the platform's settings file.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	p := &Platform{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return p, nil
}

// DurationFromSeconds is a duration as the platform writes it.
func DurationFromSeconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// minTxnOps is the least number of changes a transaction must take: a claim raises the token, and
// starts of a team with a limit write its key.
const minTxnOps = 2

func (p *Platform) validate() error {
	if p.Name == "" {
		return errors.New("node_name is missing")
	}
	addrs := []struct{ field, addr string }{
		{"serve_on", p.Listen},
		{"mesh_addr", p.MeshAddr},
		{"services.cloud", p.Services.Cloud},
		{"services.state", p.Services.State},
	}
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
	}{
		{"workers.report_s", c.Workers.HeartbeatIntervalS},
		{"workers.lease_s", c.Workers.AgentLeaseS},
		{"workers.cancel_s", c.Workers.CancelDeadlineS},
		{"state.rps", c.State.RPS},
		{"state.write_rps", c.State.WriteRPS},
		{"state.value_kb", c.State.ValueKB},
		{"cloud.rps", c.Cloud.RPS},
		{"quota.mem_mb", c.Quota.MemMB},
	} {
		if !(v.v > 0) || v.v > 1e9 {
			return fmt.Errorf("cluster.%s must be greater than 0", v.field)
		}
	}
	if quorum.MaxStaleness(
		DurationFromSeconds(c.Workers.CancelDeadlineS),
		DurationFromSeconds(c.Workers.AgentLeaseS),
	) < quorum.MinUsableStaleness {
		return fmt.Errorf(
			"cluster.workers.cancel_s is too little above lease_s (%v and %v): a task could outlive its cancellation in an outage; some 6 s more are needed",
			c.Workers.CancelDeadlineS,
			c.Workers.AgentLeaseS,
		)
	}
	if c.State.TxnOps < minTxnOps {
		return fmt.Errorf("cluster.state.txn_ops must be at least %d", minTxnOps)
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
	if n.TxnOps != nil && *n.TxnOps < minTxnOps {
		return fmt.Errorf("cluster.state.next.txn_ops must be at least %d", minTxnOps)
	}
	teams := map[string]bool{}
	for i, t := range c.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("cluster.teams[%d]: name is missing or used twice", i)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.ReservedCPUs, t.MaxCPUs, t.ReservedGPUs, t.MaxGPUs} {
			if !(v >= 0) || v > 1e9 {
				return fmt.Errorf("cluster.teams[%d]: an amount is out of range", i)
			}
		}
	}
	return nil
}

// Setting is one of the operators' own settings, as proto/tuning.proto describes it.
type Setting struct {
	Name       string
	Kind       protoreflect.Kind // bool, uint32 or double
	About      *pb.About
	descriptor protoreflect.FieldDescriptor
}

// OperatorSettings lists the operators' own settings, in the order of their descriptions.
func OperatorSettings() []Setting {
	fields := (&pb.Tuning{}).ProtoReflect().Descriptor().Fields()
	out := make([]Setting, fields.Len())
	for i := range out {
		f := fields.Get(i)
		// without one its range is empty, which tests find
		about, _ := protobuf.GetExtension(f.Options(), pb.E_About).(*pb.About)
		out[i] = Setting{Name: string(f.Name()), Kind: f.Kind(), About: about, descriptor: f}
	}
	return out
}

// protoValue is a number as a field of the setting holds it.
func (s *Setting) protoValue(v float64) protoreflect.Value {
	switch s.Kind {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(v != 0)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(v))
	}
	return protoreflect.ValueOfFloat64(v)
}

// Default is the setting's value by default, as it is written in a file.
func (s *Setting) Default() string { return s.protoValue(s.About.Is).String() }

// DefaultTuning returns the built-in tuning.
func DefaultTuning() *pb.Tuning {
	t := &pb.Tuning{}
	for _, s := range OperatorSettings() {
		t.ProtoReflect().Set(s.descriptor, s.protoValue(s.About.Is))
	}
	return t
}

// AuditedValues lists all settings by name, as the audit record has them.
func AuditedValues(p *Platform, t *pb.Tuning) map[string]string {
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
	flattenJSON("", tree, out)
	return out
}

// flattenJSON lists the leaves of JSON by their paths.
func flattenJSON(path string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flattenJSON(strings.TrimPrefix(path+"."+k, "."), x, out)
		}
	case []any:
		for i, x := range v {
			flattenJSON(fmt.Sprintf("%s[%d]", path, i), x, out)
		}
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}

// LoadTuning reads the operators' settings over the defaults; no path means defaults alone.
func LoadTuning(path string) (*pb.Tuning, error) {
	t := DefaultTuning()
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
	if err := ValidateTuning(t); err != nil {
		return nil, fmt.Errorf("tuning %s: %w", path, err)
	}
	return t, nil
}

// ValidateTuning names the first bad value.
func ValidateTuning(t *pb.Tuning) error {
	for _, s := range OperatorSettings() {
		var v float64
		switch s.Kind {
		case protoreflect.BoolKind:
			continue
		case protoreflect.Uint32Kind:
			v = float64(t.ProtoReflect().Get(s.descriptor).Uint())
		default:
			v = t.ProtoReflect().Get(s.descriptor).Float()
		}
		if !(v >= s.About.GetMin() && v <= s.About.GetMax()) {
			return fmt.Errorf("%s is %v, must be from %v to %v", s.Name, v, s.About.GetMin(), s.About.GetMax())
		}
	}
	if t.GetExpireMs() <= t.GetPushMs() {
		return fmt.Errorf("expire_ms is %d, must be more than push_ms (%d)", t.GetExpireMs(), t.GetPushMs())
	}
	return nil
}
