package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Limits of a submission.
const (
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes = 64 << 10
	// MaxTasksPerJob is the largest number of tasks of a job.
	MaxTasksPerJob = 100_000

	maxNameBytes    = 200 // of a class, team, image, zone, machine or machine type
	maxMachineTypes = 50  // per job
	maxAmount       = 1e9 // of a resource or of seconds
	jobIDPrefix     = "wk-"
	minJobIDBytes   = 4
	maxJobIDBytes   = 80
)

// Submission is a job as users submit it. Fields are pointers to distinguish a missing value from zero.
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

// Kinds of jobs.
const (
	kindBatch   = "batch"
	kindService = "daemon"
)

// priorities are the names of all priorities, highest first. A job's priority is an index into this list.
var priorities = []string{"critical", "high", "standard", "idle"}

// PriorityStandard is the index of the highest priority that requires no extra permission.
const PriorityStandard = 2

// PriorityLowest is the index of the lowest priority.
const PriorityLowest = 3

// Priority returns the index of the priority with this name. 0 is the highest priority.
func Priority(name string) (int, bool) {
	i := slices.Index(priorities, name)
	return i, i >= 0
}

// PriorityName returns the name of the priority with index i.
func PriorityName(i int) string { return priorities[i] }

// JobSpec is a validated job, with resources in thousandths. Its JSON tags define the stored form of a job.
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
	Dependencies       []string `json:"aw,omitempty"` // sorted ids of the jobs that must be done before this one
}

// ValidJobID reports whether s has the syntax of a job id.
func ValidJobID(s string) bool {
	if len(s) < minJobIDBytes || len(s) > maxJobIDBytes || !strings.HasPrefix(s, jobIDPrefix) {
		return false
	}
	for _, r := range s[len(jobIDPrefix):] {
		if !validInJobID(r) {
			return false
		}
	}
	return true
}

func validInJobID(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_'
}

// PeekJobID returns the job id in a body that may otherwise be invalid, or "" if it has no valid id.
func PeekJobID(body []byte) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	var id string
	if json.Unmarshal(fields["uid"], &id) != nil || !ValidJobID(id) {
		return ""
	}
	return id
}

// ParseSubmission decodes and validates the body of a submission.
func ParseSubmission(body []byte) (JobSpec, error) {
	trimmed := bytes.TrimSpace(body)
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return JobSpec{}, errors.New("not a JSON object")
	}
	var submission Submission
	if err := json.Unmarshal(trimmed, &submission); err != nil {
		return JobSpec{}, fmt.Errorf("not a valid job: %w", err)
	}
	if field := submission.invalidField(); field != "" {
		return JobSpec{}, fmt.Errorf("%s is missing or invalid%s", field, fieldLimit(field))
	}
	return submission.spec(), nil
}

// fieldLimit describes the limit of a submission's field for an error message. It is "" if there is none.
func fieldLimit(field string) string {
	switch field {
	case "uid", "awaits":
		return fmt.Sprintf(": %s and letters, digits, dashes and underscores, %d to %d characters in all",
			jobIDPrefix, minJobIDBytes, maxJobIDBytes)
	case "ware", "crew", "yard":
		return fmt.Sprintf(": 1 to %d bytes", maxNameBytes)
	case "mould":
		return fmt.Sprintf(": at most %d bytes", maxNameBytes)
	case "kilns":
		return fmt.Sprintf(": 1 to %d names of 1 to %d bytes", maxMachineTypes, maxNameBytes)
	case "pieces":
		return fmt.Sprintf(": from 1 to %d", MaxTasksPerJob)
	case "cpus", "cards", "ram_gb", "image_gb", "firing_s", "glaze_s", "cool_s", "due_s":
		return fmt.Sprintf(": from 0 to %.0f", float64(maxAmount))
	}
	return ""
}

// invalidField returns the wire name of the first missing or invalid field, or "" if there is none.
func (s *Submission) invalidField() string {
	if field := s.invalidIdentity(); field != "" {
		return field
	}
	if field := s.invalidAmount(); field != "" {
		return field
	}
	if field := s.invalidPlacement(); field != "" {
		return field
	}
	for _, id := range s.Dependencies {
		if !ValidJobID(id) {
			return "awaits"
		}
	}
	return ""
}

// invalidIdentity checks the job's id, class, team, kind, priority and number of tasks.
func (s *Submission) invalidIdentity() string {
	if s.ID == nil || !ValidJobID(*s.ID) {
		return "uid"
	}
	if !validName(s.Class) {
		return "ware"
	}
	if !validName(s.Team) {
		return "crew"
	}
	if s.Kind == nil || *s.Kind != kindBatch && *s.Kind != kindService {
		return "form"
	}
	if s.Priority == nil {
		return "heat"
	}
	if _, ok := Priority(*s.Priority); !ok {
		return "heat"
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasksPerJob {
		return "pieces"
	}
	return ""
}

// invalidAmount checks the resources and durations.
func (s *Submission) invalidAmount() string {
	for _, amount := range []struct {
		field string
		value *float64
	}{
		{"cpus", s.CPUs},
		{"cards", s.GPUs},
		{"ram_gb", s.MemoryGB},
		{"image_gb", s.ImageGB},
		{"firing_s", s.EstimatedRuntime},
		{"glaze_s", s.CheckpointInterval},
		{"cool_s", s.CheckpointTime},
	} {
		if !validAmount(amount.value) {
			return amount.field
		}
	}
	if s.Deadline != nil && !validAmount(s.Deadline) {
		return "due_s"
	}
	return ""
}

// invalidPlacement checks the image and the placement constraints.
func (s *Submission) invalidPlacement() string {
	if s.Image == nil || len(*s.Image) > maxNameBytes {
		return "mould"
	}
	if s.OneZone == nil || s.Spread == nil || s.Spot == nil {
		return "one_zone, spread or borrowed"
	}
	if s.MachineTypes != nil && len(s.MachineTypes) == 0 || len(s.MachineTypes) > maxMachineTypes {
		return "kilns"
	}
	for _, machineType := range s.MachineTypes {
		if machineType == "" || len(machineType) > maxNameBytes {
			return "kilns"
		}
	}
	if s.Zone != nil && !validName(s.Zone) {
		return "yard"
	}
	return ""
}

// ValidTeamName reports whether name is valid as the name of a team.
func ValidTeamName(name string) bool { return len(name) <= maxNameBytes && utf8.ValidString(name) }

// TeamNameLimit describes the valid names of a team for an error message.
func TeamNameLimit() string { return fmt.Sprintf("valid UTF-8 of at most %d bytes", maxNameBytes) }

func validName(name *string) bool { return name != nil && *name != "" && len(*name) <= maxNameBytes }

func validAmount(v *float64) bool { return v != nil && *v >= 0 && *v <= maxAmount && !math.IsNaN(*v) }

// spec converts a valid submission. It sorts the submission's dependencies in place.
func (s *Submission) spec() JobSpec {
	priority, _ := Priority(*s.Priority) // invalidIdentity has checked that it is known
	slices.Sort(s.Dependencies)
	spec := JobSpec{
		ID:                 *s.ID,
		Class:              *s.Class,
		Team:               *s.Team,
		Service:            *s.Kind == kindService,
		Priority:           priority,
		Tasks:              *s.Tasks,
		Request:            [3]int64{toThousandths(*s.CPUs), toThousandths(*s.GPUs), toThousandths(*s.MemoryGB)},
		MachineTypes:       s.MachineTypes,
		OneZone:            *s.OneZone,
		Spread:             *s.Spread,
		Spot:               *s.Spot,
		EstimatedRuntimeMS: toThousandths(*s.EstimatedRuntime),
		CheckpointTimeMS:   toThousandths(*s.CheckpointTime),
		CanCheckpoint:      *s.CheckpointInterval > 0,
		Dependencies:       slices.Compact(s.Dependencies),
		Image:              *s.Image,
	}
	if s.Zone != nil {
		spec.Zone = *s.Zone
	}
	if s.Deadline != nil {
		spec.DeadlineMS = max(1, toThousandths(*s.Deadline)) // 0 means no deadline
	}
	return spec
}

// toThousandths converts an amount to thousandths and rounds up, with a tolerance for floating-point errors.
func toThousandths(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }

// Stages of a job in responses to users.
const (
	StageQueued    = "queued"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// JobState is the state of a job in responses to users. The fields after Running are extensions of the
// platform's interface.
type JobState struct {
	ID              string     `json:"uid"`
	Stage           string     `json:"stage"`
	Done            int        `json:"done"`
	Running         int        `json:"running"`
	TaskStops       []TaskStop `json:"reasons,omitempty"`
	Note            string     `json:"note,omitempty"`         // explanation for the user
	Dependencies    []string   `json:"awaits,omitempty"`       // the first dependencies that are not done
	DependencyCount int        `json:"awaits_count,omitempty"` // number of all dependencies that are not done
	CancelledBy     string     `json:"cancelled_by,omitempty"` // id of the job whose end caused the cancellation
}

// TaskStop says why a task stopped.
type TaskStop struct {
	Task    int    `json:"piece"`
	Machine string `json:"hearth"`
	Cause   string `json:"cause"`
	AtMS    int64  `json:"at_ms"`
}

// Error is the body of an error response.
type Error struct {
	Error string `json:"error"`
}

// SplitTaskName splits a task name into the id of its job and the index of the task.
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

// TaskName returns the wire name of a task.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }
