// Package wire holds the platform's message types, names and their validation.
// It is the only place that knows the names used on the wire.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// Paths of the platform's interfaces.
const (
	PathJobs          = "/v1/jobs"
	PathHealth        = "/healthz"
	PathPermissions   = "/v1/access" // of ours: rights
	PathAudit         = "/v1/audit"  // of ours: the audit record
	PathStoreEndpoint = "/v1/site"   // of ours: where the state service is
	PathHeartbeat     = "/agent/beat"
	PathAgentCommands = "/orders"
	PathAgentStatus   = "/show"
	PathCatalog       = "/catalog"
	PathInstances     = "/rentals"
	PathScaleIn       = "/rentals/return"
	PathKeys          = "/store"
	PathTxn           = "/commit"
	PathLeases        = "/holds"
	PathWatch         = "/changes"
)

// EndpointForSnapshot tells, as a query of PathSite, that the state is to be saved.
const EndpointForSnapshot = "snapshot"

// RangePath is the address of a listing of the state service: of at most so many keys with a
// prefix, behind one if there is any.
func RangePath(prefix, from string, most int) string {
	path := fmt.Sprintf("%s?starts=%s&most=%d", PathKeys, url.QueryEscape(prefix), most)
	if from != "" {
		path += "&from=" + url.QueryEscape(from)
	}
	return path
}

// MaxBodyBytes is the largest request body.
const MaxBodyBytes = 64 << 10

// MaxTasksPerJob is the largest number of tasks of a job.
const MaxTasksPerJob = 100_000

// Submission is a job as users submit it.
type Submission struct {
	ID                 *string  `json:"uid"`
	Class              *string  `json:"ware"`
	Team               *string  `json:"crew"`
	Kind               *string  `json:"form"`
	Priority           *string  `json:"heat"`
	Tasks              *int     `json:"pieces"`
	CPUs               *float64 `json:"cpus"`
	GPUs               *float64 `json:"cards"`
	MemoryGB           *float64 `json:"ram_gb"`
	Image              *string  `json:"mould"`
	ImageGB            *float64 `json:"image_gb"`
	MachineTypes       []string `json:"kilns"`
	Zone               *string  `json:"yard"`
	OneZone            *bool    `json:"one_zone"`
	Spread             *bool    `json:"spread"`
	Spot               *bool    `json:"borrowed"`
	EstimatedRuntime   *float64 `json:"firing_s"`
	CheckpointInterval *float64 `json:"glaze_s"`
	CheckpointTime     *float64 `json:"cool_s"`
	Deadline           *float64 `json:"due_s"`
	Dependencies       []string `json:"awaits"`
}

// Priorities, most important first; a job's priority is an index into it.
var priorities = []string{"critical", "high", "standard", "idle"}

// PriorityStandard is the index of the priority that needs no right of its own.
const PriorityStandard = 2

// PriorityLowest is the index of the least important one.
const PriorityLowest = 3

// Priority is the index of a priority's name; 0 is the most important.
func Priority(name string) (int, bool) {
	i := slices.Index(priorities, name)
	return i, i >= 0
}

// PriorityName is the reverse.
func PriorityName(i int) string { return priorities[i] }

// JobSpec is a valid job in the field's words. Amounts are in thousandths.
type JobSpec struct {
	ID                 string   `json:"-"`
	Class              string   `json:"cl,omitempty"`
	Team               string   `json:"tm"`
	Service            bool     `json:"sv,omitempty"`
	Priority           int      `json:"pr"`
	Tasks              int      `json:"n"`
	Request            [3]int64 `json:"rc"` // milli-CPUs, milli-GPUs, MB
	Image              string   `json:"im,omitempty"`
	MachineTypes       []string `json:"ty,omitempty"`
	Zone               string   `json:"zo,omitempty"`
	OneZone            bool     `json:"oz,omitempty"`
	Spread             bool     `json:"sp,omitempty"`
	Spot               bool     `json:"lo,omitempty"`
	EstimatedRuntimeMS int64    `json:"es,omitempty"`
	CheckpointTimeMS   int64    `json:"sa,omitempty"`
	DeadlineMS         int64    `json:"dl,omitempty"`
	CanCheckpoint      bool     `json:"cp,omitempty"`
	Dependencies       []string `json:"aw,omitempty"` // ids of jobs that must be done first, sorted
}

// ValidJobID reports whether s has the form of a job id.
func ValidJobID(s string) bool {
	if len(s) < 4 || len(s) > 80 || !strings.HasPrefix(s, "wk-") {
		return false
	}
	for _, r := range s[3:] {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_') {
			return false
		}
	}
	return true
}

// PeekJobID finds the job id of a body that may be invalid in other ways, or "".
func PeekJobID(body []byte) string {
	var m map[string]json.RawMessage
	if json.Unmarshal(body, &m) != nil {
		return ""
	}
	var id string
	if json.Unmarshal(m["uid"], &id) != nil || !ValidJobID(id) {
		return ""
	}
	return id
}

// ParseSubmission checks a submitted body.
func ParseSubmission(body []byte) (JobSpec, error) {
	var s Submission
	t := bytes.TrimSpace(body)
	if len(t) == 0 || t[0] != '{' {
		return JobSpec{}, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(t, &s); err != nil {
		return JobSpec{}, fmt.Errorf("not a valid job: %w", err)
	}
	return s.toSpec()
}

func (s *Submission) toSpec() (JobSpec, error) {
	fail := func(f string) (JobSpec, error) { return JobSpec{}, fmt.Errorf("%s is missing or invalid", f) }
	name := func(p *string) bool { return p != nil && *p != "" && len(*p) <= 200 }
	amount := func(p *float64) bool {
		return p != nil && *p >= 0 && *p <= 1e9 && !math.IsNaN(*p)
	}
	if s.ID == nil || !ValidJobID(*s.ID) {
		return fail("uid")
	}
	if !name(s.Class) {
		return fail("ware")
	}
	if !name(s.Team) {
		return fail("crew")
	}
	if s.Kind == nil || *s.Kind != "batch" && *s.Kind != "daemon" {
		return fail("form")
	}
	if s.Priority == nil {
		return fail("heat")
	}
	prio, ok := Priority(*s.Priority)
	if !ok {
		return fail("heat")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasksPerJob {
		return fail("pieces")
	}
	for _, a := range []struct {
		f string
		p *float64
	}{
		{"cpus", s.CPUs},
		{"cards", s.GPUs},
		{"ram_gb", s.MemoryGB},
		{"image_gb", s.ImageGB},
		{"firing_s", s.EstimatedRuntime},
		{"glaze_s", s.CheckpointInterval},
		{"cool_s", s.CheckpointTime},
	} {
		if !amount(a.p) {
			return fail(a.f)
		}
	}
	if s.Deadline != nil && !amount(s.Deadline) {
		return fail("due_s")
	}
	if s.Image == nil || len(*s.Image) > 200 {
		return fail("mould")
	}
	if s.OneZone == nil || s.Spread == nil || s.Spot == nil {
		return fail("one_zone, spread or borrowed")
	}
	if s.MachineTypes != nil && len(s.MachineTypes) == 0 || len(s.MachineTypes) > 50 {
		return fail("kilns")
	}
	for _, t := range s.MachineTypes {
		if t == "" || len(t) > 200 {
			return fail("kilns")
		}
	}
	if s.Zone != nil && !name(s.Zone) {
		return fail("yard")
	}
	for _, id := range s.Dependencies {
		if !ValidJobID(id) {
			return fail("awaits")
		}
	}
	slices.Sort(s.Dependencies)
	up := func(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }
	sp := JobSpec{
		ID:       *s.ID,
		Class:    *s.Class,
		Team:     *s.Team,
		Service:  *s.Kind == "daemon",
		Priority: prio,
		Tasks:    *s.Tasks,
		Request: [3]int64{
			up(*s.CPUs),
			up(*s.GPUs),
			up(*s.MemoryGB),
		},
		MachineTypes:       s.MachineTypes,
		OneZone:            *s.OneZone,
		Spread:             *s.Spread,
		Spot:               *s.Spot,
		EstimatedRuntimeMS: up(*s.EstimatedRuntime),
		CheckpointTimeMS:   up(*s.CheckpointTime),
		CanCheckpoint:      *s.CheckpointInterval > 0,
		Dependencies:       slices.Compact(s.Dependencies),
		Image:              *s.Image,
	}
	if s.Zone != nil {
		sp.Zone = *s.Zone
	}
	if s.Deadline != nil {
		sp.DeadlineMS = max(1, up(*s.Deadline))
	}
	return sp, nil
}

// Stages of a job as users see them.
const (
	StageQueued    = "queued"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// JobState answers users. Additions of ours: why tasks stopped, what a queued job still waits
// for, and because of which job one is cancelled that its user did not cancel.
type JobState struct {
	ID              string     `json:"uid"`
	Stage           string     `json:"stage"`
	Done            int        `json:"done"`
	Running         int        `json:"running"`
	TaskStops       []TaskStop `json:"reasons,omitempty"`
	Note            string     `json:"note,omitempty"`         // what its user should know, in plain words
	Dependencies    []string   `json:"awaits,omitempty"`       // the first of them
	DependencyCount int        `json:"awaits_count,omitempty"` // all of them
	CancelledBy     string     `json:"cancelled_by,omitempty"`
}

// TaskStop tells why a task stopped.
type TaskStop struct {
	Task    int    `json:"piece"`
	Machine string `json:"hearth"`
	Cause   string `json:"cause"`
	AtMS    int64  `json:"at_ms"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
}

// TaskStatus is a task as a worker reports it.
type TaskStatus struct {
	Task         string `json:"piece"`
	Attempt      uint64 `json:"try"`
	Stage        string `json:"stage"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"kept,omitempty"`
}

// Task states and causes of exit.
const (
	TaskPullingImage  = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "exited"

	CauseDone       = "done"
	CauseStopped    = "stopped"
	CauseError      = "error"
	CauseNoCapacity = "full"
	CauseBusy       = "busy"
	CauseNoSuchTask = "no_such"
)

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine             string       `json:"hearth"`
	Addr                string       `json:"address"`
	Type                string       `json:"kiln"`
	Zone                string       `json:"yard"`
	Spot                bool         `json:"borrowed"`
	Incarnation         uint64       `json:"shift"`
	Sequence            uint64       `json:"tally"`
	FencingToken        uint64       `json:"baton"`
	InterruptionNoticeS *float64     `json:"recall_s"`
	Tasks               []TaskStatus `json:"pieces"`
}

// ParseHeartbeat checks a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("not a valid report: %w", err)
	}
	if r.Machine == "" || len(r.Machine) > 200 || r.Type == "" || r.Zone == "" || r.Addr == "" || r.Incarnation == 0 {
		return nil, errors.New("a field of the report is missing")
	}
	for _, p := range r.Tasks {
		if _, _, ok := SplitTaskName(p.Task); !ok {
			return nil, fmt.Errorf("bad task name %.80q", p.Task)
		}
		switch p.Stage {
		case TaskPullingImage, TaskRunning, TaskCheckpointing, TaskExited:
		default:
			return nil, fmt.Errorf("unknown task stage %.80q", p.Stage)
		}
	}
	return &r, nil
}

// SplitTaskName takes a task name apart.
func SplitTaskName(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 || !ValidJobID(s[:i]) {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 || n >= MaxTasksPerJob {
		return "", 0, false
	}
	return s[:i], n, true
}

// TaskName is the name of a task on the wire.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// Order operations.
const (
	OpStart = "start"
	OpStop  = "stop"
	OpClear = "clear"
)

// Command is one command to a worker.
type Command struct {
	Op           string   `json:"order"`
	Task         string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"damp_s,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandBatch is sent straight to a worker.
type CommandBatch struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name            string   `json:"sku"`
	CPUs            float64  `json:"cpus"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"ram_gb"`
	LocalDiskGB     float64  `json:"local_gb"`
	ImagePullGBPerS float64  `json:"pull_gb_per_s"`
	Price           float64  `json:"price"`
	SpotPrice       float64  `json:"low_price"`
	BootS           float64  `json:"startup_s"`
	Zones           []string `json:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"kilns"`
}

// Capacity is the whole room of a machine of this type.
func (t *MachineType) Capacity() [3]int64 {
	return [3]int64{int64(t.CPUs * 1000), int64(t.GPUs * 1000), int64(t.MemoryGB * 1000)}
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	IdempotencyKey string `json:"hire"`
	Type           string `json:"kiln"`
	Zone           string `json:"yard"`
	Spot           bool   `json:"borrowed"`
	Count          int    `json:"how_many"`
}

// MachineNames lists machines by name, in rental answers and returns.
type MachineNames struct {
	Machines []string `json:"hearths"`
}

// Machine stages as the cloud lists them.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Machine is an entry of the cloud's list.
type Machine struct {
	Name  string  `json:"uid"`
	Addr  string  `json:"address"`
	Type  string  `json:"kiln"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"borrowed"`
	Stage string  `json:"stage"`
	AgeS  float64 `json:"age_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"hearths"`
	More     bool      `json:"more"`
}

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"mark"`
	LeaseID  uint64          `json:"tenure,omitempty"`
}

// PermissionsEdit changes what an identity may do; names are those of the site's rights.
type PermissionsEdit struct {
	GrantRoles   []string    `json:"grant_roles,omitempty"`
	RevokeRoles  []string    `json:"revoke_roles,omitempty"`
	AddKeys      []PublicKey `json:"add_keys,omitempty"`
	RevokeKeys   []string    `json:"revoke_keys,omitempty"`
	Service      bool        `json:"service,omitempty"`     // of a new identity
	Certificate  *bool       `json:"certificate,omitempty"` // whether a certificate proves who it is
	Delete       bool        `json:"delete,omitempty"`
	CancelQueued bool        `json:"cancel_queued,omitempty"` // cancel what it has submitted and has not begun
}

// PublicKey is a public key of an identity.
type PublicKey struct {
	ID      string `json:"id"`
	Ed25519 string `json:"ed25519"`
}

// PermissionsEditResult answers a change of rights.
type PermissionsEditResult struct {
	Identity  string   `json:"who"`
	Cancelled []string `json:"cancelled,omitempty"` // jobs that are being cancelled with it
}

// Permissions answers with all rights, in protobuf text format.
type Permissions struct {
	Text string `json:"rights"`
}

// AuditChainHead is the end of a controller's chain.
type AuditChainHead struct {
	Node        string `json:"node"`
	BlockNumber uint64 `json:"number"` // of the last block
	Code        []byte `json:"code"`
}

// AuditChainHeads lists the ends of all chains.
type AuditChainHeads struct {
	Heads []AuditChainHead `json:"heads"`
}

// AuditBlock is a block as it is stored.
type AuditBlock struct {
	Number uint64          `json:"number"`
	Value  json.RawMessage `json:"value"`
}

// AuditPage is a part of a chain.
type AuditPage struct {
	Blocks []AuditBlock `json:"blocks"`
	More   bool         `json:"more"`
}

// StoreEndpoint tells operators' commands where the state service is and what it takes of all together.
type StoreEndpoint struct {
	Addr     string  `json:"state"`
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	TxnOps   int     `json:"txn_ops"`
}

// GetResponse is a key of the state service, or, if there is none, the revision that shows it.
type GetResponse struct {
	KeyValue
	StoreRevision uint64 `json:"ledger"`
}

// RangeResponse is a page of items.
type RangeResponse struct {
	Items    []KeyValue `json:"rows"`
	More     bool       `json:"more"`
	Revision uint64     `json:"ledger"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"`
}

// Write is a put or a delete.
type Write struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tenure,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Compare []Compare `json:"if"`
	Then    []Write   `json:"writes"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"`
	Error    string   `json:"error"`
}

// WatchEvent is a change followed by a watch.
type WatchEvent struct {
	Put      string          `json:"put"`
	Delete   string          `json:"delete"`
	Value    json.RawMessage `json:"data"`
	Revision uint64          `json:"mark"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64       `json:"ledger"`
	Events   []WatchEvent `json:"log"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS uint64 `json:"life_ms"`
}

// LeaseResponse names a lease.
type LeaseResponse struct {
	LeaseID uint64 `json:"tenure"`
}
