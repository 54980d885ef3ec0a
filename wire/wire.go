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
	PathJobs    = "/v1/jobs"
	PathHealth  = "/healthz"
	PathAccess  = "/v1/access" // of ours: rights
	PathAudit   = "/v1/audit"  // of ours: the audit record
	PathSite    = "/v1/site"   // of ours: where the state service is
	PathBeat    = "/agent/beat"
	PathOrders  = "/orders"
	PathShow    = "/show"
	PathCatalog = "/catalog"
	PathRentals = "/rentals"
	PathReturn  = "/rentals/return"
	PathStore   = "/store"
	PathCommit  = "/commit"
	PathHolds   = "/holds"
	PathChanges = "/changes"
)

// ForSnapshot tells, as a query of PathSite, that the state is to be saved.
const ForSnapshot = "snapshot"

// ListPath is the address of a listing of the state service: of at most so many keys with a prefix, behind one if there is any.
func ListPath(prefix, from string, most int) string {
	path := fmt.Sprintf("%s?starts=%s&most=%d", PathStore, url.QueryEscape(prefix), most)
	if from != "" {
		path += "&from=" + url.QueryEscape(from)
	}
	return path
}

// MaxBody is the largest request body.
const MaxBody = 64 << 10

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// Submission is a job as users submit it.
type Submission struct {
	ID         *string  `json:"uid"`
	Class      *string  `json:"ware"`
	Team       *string  `json:"crew"`
	Kind       *string  `json:"form"`
	Priority   *string  `json:"heat"`
	Tasks      *int     `json:"pieces"`
	CPUs       *float64 `json:"cpus"`
	GPUs       *float64 `json:"cards"`
	MemoryGB   *float64 `json:"ram_gb"`
	Image      *string  `json:"mould"`
	ImageGB    *float64 `json:"image_gb"`
	Types      []string `json:"kilns"`
	Zone       *string  `json:"yard"`
	OneZone    *bool    `json:"one_zone"`
	Spread     *bool    `json:"spread"`
	Spot       *bool    `json:"borrowed"`
	Estimate   *float64 `json:"firing_s"`
	Checkpoint *float64 `json:"glaze_s"`
	Save       *float64 `json:"cool_s"`
	Deadline   *float64 `json:"due_s"`
	Awaits     []string `json:"awaits"`
}

// Priorities, most important first; a job's priority is an index into it.
var priorities = []string{"critical", "high", "standard", "idle"}

// PriorityStandard is the index of the priority that needs no right of its own.
const PriorityStandard = 2

// PriorityLeast is the index of the least important one.
const PriorityLeast = 3

// Priority is the index of a priority's name; 0 is the most important.
func Priority(name string) (int, bool) {
	i := slices.Index(priorities, name)
	return i, i >= 0
}

// PriorityName is the reverse.
func PriorityName(i int) string { return priorities[i] }

// Spec is a valid job in the field's words. Amounts are in thousandths.
type Spec struct {
	ID         string   `json:"-"`
	Class      string   `json:"cl,omitempty"`
	Team       string   `json:"tm"`
	Service    bool     `json:"sv,omitempty"`
	Priority   int      `json:"pr"`
	Tasks      int      `json:"n"`
	Claim      [3]int64 `json:"rc"` // milli-CPUs, milli-GPUs, MB
	Image      string   `json:"im,omitempty"`
	Types      []string `json:"ty,omitempty"`
	Zone       string   `json:"zo,omitempty"`
	OneZone    bool     `json:"oz,omitempty"`
	Spread     bool     `json:"sp,omitempty"`
	Spot       bool     `json:"lo,omitempty"`
	EstimateMS int64    `json:"es,omitempty"`
	SaveMS     int64    `json:"sa,omitempty"`
	DeadlineMS int64    `json:"dl,omitempty"`
	Saves      bool     `json:"cp,omitempty"`
	Awaits     []string `json:"aw,omitempty"` // ids of jobs that must be done first, sorted
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
func ParseSubmission(body []byte) (Spec, error) {
	var s Submission
	t := bytes.TrimSpace(body)
	if len(t) == 0 || t[0] != '{' {
		return Spec{}, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(t, &s); err != nil {
		return Spec{}, fmt.Errorf("not a valid job: %w", err)
	}
	return s.spec()
}

func (s *Submission) spec() (Spec, error) {
	fail := func(f string) (Spec, error) { return Spec{}, fmt.Errorf("%s is missing or invalid", f) }
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
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		return fail("pieces")
	}
	for _, a := range []struct {
		f string
		p *float64
	}{{"cpus", s.CPUs}, {"cards", s.GPUs}, {"ram_gb", s.MemoryGB}, {"image_gb", s.ImageGB}, {"firing_s", s.Estimate}, {"glaze_s", s.Checkpoint}, {"cool_s", s.Save}} {
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
	if s.Types != nil && len(s.Types) == 0 || len(s.Types) > 50 {
		return fail("kilns")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > 200 {
			return fail("kilns")
		}
	}
	if s.Zone != nil && !name(s.Zone) {
		return fail("yard")
	}
	for _, id := range s.Awaits {
		if !ValidJobID(id) {
			return fail("awaits")
		}
	}
	slices.Sort(s.Awaits)
	up := func(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }
	sp := Spec{ID: *s.ID, Class: *s.Class, Team: *s.Team, Service: *s.Kind == "daemon", Priority: prio, Tasks: *s.Tasks,
		Claim: [3]int64{up(*s.CPUs), up(*s.GPUs), up(*s.MemoryGB)}, Types: s.Types, OneZone: *s.OneZone, Spread: *s.Spread,
		Spot: *s.Spot, EstimateMS: up(*s.Estimate), SaveMS: up(*s.Save), Saves: *s.Checkpoint > 0,
		Awaits: slices.Compact(s.Awaits), Image: *s.Image}
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
	ID          string   `json:"uid"`
	Stage       string   `json:"stage"`
	Done        int      `json:"done"`
	Running     int      `json:"running"`
	Reasons     []Reason `json:"reasons,omitempty"`
	Note        string   `json:"note,omitempty"`         // what its user should know, in plain words
	Awaits      []string `json:"awaits,omitempty"`       // the first of them
	AwaitsCount int      `json:"awaits_count,omitempty"` // all of them
	CancelledBy string   `json:"cancelled_by,omitempty"`
}

// Reason tells why a task stopped.
type Reason struct {
	Task    int    `json:"piece"`
	Machine string `json:"hearth"`
	Cause   string `json:"cause"`
	AtMS    int64  `json:"at_ms"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `json:"error"`
}

// Piece is a task as a worker reports it.
type Piece struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`
}

// Task states and causes of exit.
const (
	TaskFetching = "pulling"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"

	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseBusy    = "busy"
	CauseUnknown = "no_such"
)

// Report is a worker's report.
type Report struct {
	Machine string   `json:"hearth"`
	Addr    string   `json:"address"`
	Type    string   `json:"kiln"`
	Zone    string   `json:"yard"`
	Spot    bool     `json:"borrowed"`
	Session uint64   `json:"shift"`
	Seq     uint64   `json:"tally"`
	Token   uint64   `json:"baton"`
	NoticeS *float64 `json:"recall_s"`
	Pieces  []Piece  `json:"pieces"`
}

// ParseReport checks a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("not a valid report: %w", err)
	}
	if r.Machine == "" || len(r.Machine) > 200 || r.Type == "" || r.Zone == "" || r.Addr == "" || r.Session == 0 {
		return nil, errors.New("a field of the report is missing")
	}
	for _, p := range r.Pieces {
		if _, _, ok := SplitTask(p.Piece); !ok {
			return nil, fmt.Errorf("bad task name %.80q", p.Piece)
		}
		switch p.Stage {
		case TaskFetching, TaskRunning, TaskSaving, TaskExited:
		default:
			return nil, fmt.Errorf("unknown task stage %.80q", p.Stage)
		}
	}
	return &r, nil
}

// SplitTask takes a task name apart.
func SplitTask(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 || !ValidJobID(s[:i]) {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return s[:i], n, true
}

// TaskName is the name of a task on the wire.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// Order operations.
const (
	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "clear"
)

// Order is one command to a worker.
type Order struct {
	Op     string   `json:"order"`
	Piece  string   `json:"piece"`
	Try    uint64   `json:"try"`
	GraceS *float64 `json:"damp_s,omitempty"`
}

// BeatReply answers a report.
type BeatReply struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// OrdersBody is sent straight to a worker.
type OrdersBody struct {
	Token   uint64  `json:"baton"`
	Session uint64  `json:"shift"`
	Orders  []Order `json:"orders"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"sku"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"cards"`
	MemoryGB  float64  `json:"ram_gb"`
	CacheGB   float64  `json:"local_gb"`
	FetchRate float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	BootS     float64  `json:"startup_s"`
	Zones     []string `json:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"kilns"`
}

// Room is the whole room of a machine of this type.
func (t *MachineType) Room() [3]int64 {
	return [3]int64{int64(t.CPUs * 1000), int64(t.GPUs * 1000), int64(t.MemoryGB * 1000)}
}

// RentRequest asks the cloud for machines.
type RentRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"kiln"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"borrowed"`
	Count int    `json:"how_many"`
}

// Names lists machines by name, in rental answers and returns.
type Names struct {
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

// Item is a key of the state service with its value.
type Item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"data"`
	Mark  uint64          `json:"mark"`
	Lease uint64          `json:"tenure,omitempty"`
}

// RightsEdit changes what an identity may do; names are those of the site's rights.
type RightsEdit struct {
	GrantRoles   []string    `json:"grant_roles,omitempty"`
	RevokeRoles  []string    `json:"revoke_roles,omitempty"`
	AddKeys      []RightsKey `json:"add_keys,omitempty"`
	RevokeKeys   []string    `json:"revoke_keys,omitempty"`
	Service      bool        `json:"service,omitempty"`     // of a new identity
	Certificate  *bool       `json:"certificate,omitempty"` // whether a certificate proves who it is
	Delete       bool        `json:"delete,omitempty"`
	CancelQueued bool        `json:"cancel_queued,omitempty"` // cancel what it has submitted and has not begun
}

// RightsKey is a public key of an identity.
type RightsKey struct {
	ID      string `json:"id"`
	Ed25519 string `json:"ed25519"`
}

// Changed answers a change of rights.
type Changed struct {
	Who       string   `json:"who"`
	Cancelled []string `json:"cancelled,omitempty"` // jobs that are being cancelled with it
}

// Rights answers with all rights, in protobuf text format.
type Rights struct {
	Text string `json:"rights"`
}

// AuditHead is the end of a controller's chain.
type AuditHead struct {
	Node   string `json:"node"`
	Number uint64 `json:"number"` // of the last block
	Code   []byte `json:"code"`
}

// AuditHeads lists the ends of all chains.
type AuditHeads struct {
	Heads []AuditHead `json:"heads"`
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

// Site tells operators' commands where the state service is and what it takes of all together.
type Site struct {
	State    string  `json:"state"`
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	TxnOps   int     `json:"txn_ops"`
}

// Found is a key of the state service, or, if there is none, the revision that shows it.
type Found struct {
	Item
	Ledger uint64 `json:"ledger"`
}

// Page is a page of items.
type Page struct {
	Items  []Item `json:"rows"`
	More   bool   `json:"more"`
	Ledger uint64 `json:"ledger"`
}

// Cond is a condition of a transaction.
type Cond struct {
	Key  string `json:"k"`
	Mark uint64 `json:"mark"`
}

// Write is a put or a delete.
type Write struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"tenure,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Cond  `json:"if"`
	Then []Write `json:"writes"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Ledger uint64   `json:"ledger"`
	Failed []string `json:"failed"`
	Error  string   `json:"error"`
}

// Event is a change followed by a watch.
type Event struct {
	Put    string          `json:"put"`
	Delete string          `json:"delete"`
	Value  json.RawMessage `json:"data"`
	Mark   uint64          `json:"mark"`
}

// Changes answers a watch.
type Changes struct {
	Ledger uint64  `json:"ledger"`
	Log    []Event `json:"log"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS uint64 `json:"life_ms"`
}

// LeaseReply names a lease.
type LeaseReply struct {
	Lease uint64 `json:"tenure"`
}
