// Package jobrecord defines how jobs are stored in the key-value store: the job record in all its schema
// versions, and the encoding of large values. It decides only the representation, has no state and must not
// depend on the scheduler: machines are dense indexes chosen by the caller, and machine names appear only
// when a record is encoded or decoded.
package jobrecord

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dewlift/archive"
	"dewlift/audit"
	"dewlift/internal/utf8text"
	"dewlift/wire"
)

// Stages of a job, as stored in [Record.Stage].
const (
	Queued    = ""
	Done      = "d"
	Cancelled = "c"
)

// Record is the stored form of a job. The JSON keys are the stored format and must not change. Fields that
// were added in a later schema version are optional.
type Record struct {
	Shard          int                  `json:"h"`
	Stage          string               `json:"st,omitempty"`
	Spec           *wire.JobSpec        `json:"s,omitempty"` // absent once the job has ended
	Assignments    []AssignmentGroup    `json:"a,omitempty"`
	CompletedTasks TaskSet              `json:"d,omitempty"`
	LastAttempt    uint64               `json:"t,omitempty"`  // highest attempt number assigned so far
	AcceptedAtMS   int64                `json:"at,omitempty"` // wall-clock time of acceptance
	CancelledAtMS  int64                `json:"cm,omitempty"` // wall-clock time of cancellation
	StopReasons    []StopReason         `json:"w,omitempty"`
	Submitter      string               `json:"u,omitempty"`  // identity of the submitter, if permissions are in force
	Team           string               `json:"gt,omitempty"` // of an ended job, since schema version 3
	Class          string               `json:"gc,omitempty"` // of an ended job, since schema version 3
	CancelledByJob string               `json:"by,omitempty"` // cancelled dependency that caused the cancellation
	PendingAudit   []audit.PendingEntry `json:"e,omitempty"`  // outbox: audit entries not yet written to a block
	PackedLists    []byte               `json:"b,omitempty"`  // packed Assignments, CompletedTasks, Spec.Dependencies
	// PriorityClass is the class that the job was accepted into, if classes are configured. Since schema
	// version 7.
	PriorityClass string `json:"ln,omitempty"`
	// EnqueueRevision is the revision of the job's acceptance, which orders the queue within its priority
	// class. If it is absent, the revision of this write takes its place.
	EnqueueRevision uint64 `json:"nr,omitempty"`
	// RestoreOrder is set on a restored job: the job precedes all jobs accepted since the restore, and
	// restored jobs with smaller values.
	RestoreOrder uint64 `json:"ob,omitempty"`
	// WriteNumber counts the writes of the job's key. In an entry of a batch value, it is the number of the
	// write that the entry builds on. Since schema version 5.
	WriteNumber uint64 `json:"v,omitempty"`
}

// AssignmentGroup lists the tasks assigned to machines of one zone and one incarnation. Jobs of hundreds of
// tasks fit in a value because neighbours share common parts: the prefix of the machine names, and runs of
// tasks with consecutive task and attempt numbers.
type AssignmentGroup struct {
	Zone           string   `json:"z"` // a new shard owner needs it before the machine's first heartbeat
	Incarnation    uint64   `json:"s"`
	NamePrefix     string   `json:"p"` // common prefix of the machine names
	NameSuffixes   []string `json:"m"` // rest of each machine name
	RunsPerMachine []int    `json:"n"` // number of runs of each machine
	TaskRuns       []uint64 `json:"r"` // three numbers per run: first task, its attempt, number of tasks
}

// runFields is the number of values per run in [AssignmentGroup.TaskRuns].
const runFields = 3

// forEachRun calls visit for every run and reports whether the lists are consistent.
func (g *AssignmentGroup) forEachRun(visit func(machine string, task, attempt, tasks uint64)) bool {
	next := 0
	if len(g.NameSuffixes) != len(g.RunsPerMachine) {
		return false
	}
	for i, suffix := range g.NameSuffixes {
		for k := 0; k < g.RunsPerMachine[i]; k++ {
			if next+runFields > len(g.TaskRuns) || g.TaskRuns[next] >= wire.MaxTasksPerJob ||
				g.TaskRuns[next+2] > wire.MaxTasksPerJob-g.TaskRuns[next] {
				return false
			}
			visit(g.NamePrefix+suffix, g.TaskRuns[next], g.TaskRuns[next+1], g.TaskRuns[next+2])
			next += runFields
		}
	}
	return next == len(g.TaskRuns)
}

// StopReason records why a task stopped. AtMS is wall-clock time in milliseconds.
type StopReason struct {
	Task    int    `json:"i"`
	Machine string `json:"m"`
	Cause   string `json:"c"`
	AtMS    int64  `json:"t"`
}

// maxStopReasons bounds the stop reasons in a record, so that the record continues to fit in a value.
const maxStopReasons = 4

// AddStopReason records why a task stopped and keeps only the most recent reasons. While no task of the job
// has completed, errors are kept in preference to other reasons, because they show the submitter that the job
// itself is faulty.
func (r *Record) AddStopReason(reason StopReason) {
	r.StopReasons = append(r.StopReasons, reason)
	if len(r.StopReasons) <= maxStopReasons {
		return
	}
	first := 0
	if r.CompletedTasks.Count() == 0 {
		first = max(0, slices.IndexFunc(r.StopReasons, isNotError))
	}
	r.StopReasons = slices.Delete(r.StopReasons, first, first+1)
}

func isNotError(reason StopReason) bool { return reason.Cause != wire.CauseError }

// Assignment is the assignment of one task to a machine. Machine is the index chosen by the caller.
type Assignment struct {
	Task        int32
	Machine     int32
	Incarnation uint64
	Attempt     uint64
}

// TaskSet is a set of task numbers, stored as inclusive ranges: first, last, first, last, and so on.
type TaskSet []int

// Count returns how many numbers are in the set.
func (r TaskSet) Count() int {
	n := 0
	for i := 0; i+1 < len(r); i += 2 {
		n += r[i+1] - r[i] + 1
	}
	return n
}

// Contains reports whether a number is in the set.
func (r TaskSet) Contains(v int) bool {
	for i := 0; i+1 < len(r); i += 2 {
		if v >= r[i] && v <= r[i+1] {
			return true
		}
	}
	return false
}

// Add returns the set with v added. The receiver is not modified.
func (r TaskSet) Add(v int) TaskSet {
	if r.Contains(v) {
		return r
	}
	out := make(TaskSet, 0, len(r)+2)
	appendRange := func(first, last int) {
		if n := len(out); n > 0 && out[n-1]+1 >= first {
			out[n-1] = max(out[n-1], last)
			return
		}
		out = append(out, first, last)
	}
	added := false
	for i := 0; i+1 < len(r); i += 2 {
		if !added && v < r[i] {
			appendRange(v, v)
			added = true
		}
		appendRange(r[i], r[i+1])
	}
	if !added {
		appendRange(v, v)
	}
	return out
}

// IsValid reports whether the ranges are ordered, disjoint and below limit.
func (r TaskSet) IsValid(limit int) bool {
	if len(r)%2 != 0 {
		return false
	}
	last := -2
	for i := 0; i < len(r); i += 2 {
		if r[i] <= last || r[i+1] < r[i] || r[i+1] >= limit {
			return false
		}
		last = r[i+1]
	}
	return true
}

// ErrInvalid is the error of a record with inconsistent lists.
var ErrInvalid = errors.New("inconsistent lists")

// Decode reads a record of any schema version, packed or not.
func Decode(raw json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decode job record: %w", err)
	}
	if r.PackedLists != nil {
		if err := r.unpackLists(); err != nil {
			return nil, fmt.Errorf("decode job record: %w", err)
		}
	}
	if r.Spec != nil && !r.CompletedTasks.IsValid(r.Spec.Tasks) {
		return nil, fmt.Errorf("decode job record: completed tasks: %w", ErrInvalid)
	}
	for _, group := range r.Assignments {
		if !group.forEachRun(func(string, uint64, uint64, uint64) {}) {
			return nil, fmt.Errorf("decode job record: assignments: %w", ErrInvalid)
		}
	}
	return &r, nil
}

// MachineNames returns the name and zone of the machine with the given index.
type MachineNames func(machine int32) (name, zone string)

// namedAssignment is an assignment with the stored name and zone of its machine.
type namedAssignment struct {
	Assignment
	name, zone string
}

// Encode encodes a record with the given assignments, with packed lists if packed is set.
func Encode(r *Record, assignments []Assignment, packed bool, names MachineNames) (json.RawMessage, error) {
	out := *r
	out.Assignments = groupAssignments(sortedAssignments(assignments, names))
	if packed {
		if err := out.packLists(); err != nil {
			return nil, fmt.Errorf("encode job record: %w", err)
		}
	}
	raw, err := json.Marshal(&out)
	if err != nil {
		return nil, fmt.Errorf("encode job record: %w", err)
	}
	return raw, nil
}

// sortedAssignments sorts assignments so that those of the same group, machine or run are adjacent.
func sortedAssignments(assignments []Assignment, names MachineNames) []namedAssignment {
	sorted := make([]namedAssignment, len(assignments))
	for i, assignment := range assignments {
		name, zone := names(assignment.Machine)
		sorted[i] = namedAssignment{assignment, name, zone}
	}
	slices.SortFunc(sorted, func(a, b namedAssignment) int {
		return cmp.Or(
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.name, b.name),
			cmp.Compare(a.Task, b.Task),
		)
	})
	return sorted
}

// groupAssignments merges sorted assignments into groups of runs.
func groupAssignments(sorted []namedAssignment) []AssignmentGroup {
	var groups []AssignmentGroup
	for i := range sorted {
		assignment := &sorted[i]
		if n := len(groups); n == 0 || groups[n-1].Zone != assignment.zone ||
			groups[n-1].Incarnation != assignment.Incarnation {
			groups = append(groups, AssignmentGroup{Zone: assignment.zone, Incarnation: assignment.Incarnation})
		}
		group := &groups[len(groups)-1]
		sameMachine := len(group.NameSuffixes) > 0 && sorted[i-1].Machine == assignment.Machine
		group.appendTask(assignment, sameMachine)
	}
	for i := range groups {
		groups[i].extractNamePrefix()
	}
	return groups
}

// appendTask adds an assignment to the group. It extends the last run if that is on the same machine
// and both its task and attempt numbers continue.
func (g *AssignmentGroup) appendTask(assignment *namedAssignment, sameMachine bool) {
	if !sameMachine {
		g.NameSuffixes = append(g.NameSuffixes, assignment.name)
		g.RunsPerMachine = append(g.RunsPerMachine, 0)
	}
	last := len(g.TaskRuns) - runFields
	if sameMachine && g.TaskRuns[last]+g.TaskRuns[last+2] == uint64(assignment.Task) &&
		g.TaskRuns[last+1]+g.TaskRuns[last+2] == assignment.Attempt {
		g.TaskRuns[last+2]++
		return
	}
	g.RunsPerMachine[len(g.RunsPerMachine)-1]++
	g.TaskRuns = append(g.TaskRuns, uint64(assignment.Task), assignment.Attempt, 1)
}

// extractNamePrefix moves the common prefix of all names to NamePrefix. The prefix ends at a character
// boundary, because JSON would replace a partial UTF-8 sequence.
func (g *AssignmentGroup) extractNamePrefix() {
	n := len(g.NameSuffixes[0])
	for _, name := range g.NameSuffixes {
		for !strings.HasPrefix(name, g.NameSuffixes[0][:n]) {
			n--
		}
	}
	n = utf8text.PrefixLength(g.NameSuffixes[0], n)
	g.NamePrefix = g.NameSuffixes[0][:n]
	for i := range g.NameSuffixes {
		g.NameSuffixes[i] = g.NameSuffixes[i][n:]
	}
}

// MaxGrowth returns the maximum number of bytes by which a record with these assignments can grow while its
// tasks complete one by one. In the worst case every second task of a run completes first, which leaves one run
// and one completed range for each task.
func (r *Record) MaxGrowth(assignments []Assignment) int {
	if r.Spec == nil || r.Spec.Service {
		return 0
	}
	digits := len(strconv.FormatUint(max(r.LastAttempt, uint64(r.Spec.Tasks)), 10))
	const separators = 3 // bytes
	return len(assignments) * (2*digits + separators)
}

// ExpandAssignments returns the record's assignments, one for each task. machineIndex returns the caller's
// index of the machine with the given name and zone.
func (r *Record) ExpandAssignments(machineIndex func(name, zone string) int32) []Assignment {
	var out []Assignment
	for i := range r.Assignments {
		group := &r.Assignments[i]
		group.forEachRun(func(name string, task, attempt, tasks uint64) {
			machine := machineIndex(name, group.Zone)
			for k := range tasks {
				out = append(out, Assignment{int32(task + k), machine, group.Incarnation, attempt + k})
			}
		})
	}
	return out
}

// TeamAndClass returns the team and class for which readers of the job need a grant. Both are empty if they
// are no longer known.
func (r *Record) TeamAndClass() (team, class string) {
	if r.Spec != nil {
		return r.Spec.Team, r.Spec.Class
	}
	return r.Team, r.Class
}

// UnassignedTasks returns up to limit tasks that are neither completed nor assigned, lowest first, so that
// the set of completed tasks consists of few ranges.
func (r *Record) UnassignedTasks(assignments []Assignment, limit int) []int32 {
	assigned := make(map[int32]bool, len(assignments))
	for _, assignment := range assignments {
		assigned[assignment.Task] = true
	}
	var out []int32
	completed := 0 // index of the first range that does not end before the task
	for task := 0; task < r.Spec.Tasks && len(out) < limit; task++ {
		for completed+1 < len(r.CompletedTasks) && task > r.CompletedTasks[completed+1] {
			completed += 2
		}
		if completed+1 < len(r.CompletedTasks) && task >= r.CompletedTasks[completed] {
			task = r.CompletedTasks[completed+1]
			continue
		}
		if !assigned[int32(task)] {
			out = append(out, int32(task))
		}
	}
	return out
}

// FromArchive returns the record of an archived job of the given shard.
func FromArchive(entry archive.Entry, shard int) *Record {
	r := &Record{
		Shard:          shard,
		Stage:          Done,
		CancelledByJob: entry.CancelledByJob,
		Team:           entry.Team,
		Class:          entry.Class,
	}
	if entry.Cancelled {
		r.Stage = Cancelled
	}
	if entry.CompletedTasks > 0 {
		r.CompletedTasks = TaskSet{0, entry.CompletedTasks - 1}
	}
	for _, reason := range entry.StopReasons {
		r.StopReasons = append(r.StopReasons, StopReason(reason))
	}
	return r
}

// ToArchive returns the archive entry of an ended job's record.
func (r *Record) ToArchive(id string) archive.Entry {
	entry := archive.Entry{
		ID:             id,
		Cancelled:      r.Stage == Cancelled,
		CompletedTasks: r.CompletedTasks.Count(),
		CancelledByJob: r.CancelledByJob,
		Team:           r.Team,
		Class:          r.Class,
	}
	for _, reason := range r.StopReasons {
		entry.StopReasons = append(entry.StopReasons, archive.StopReason(reason))
	}
	return entry
}
