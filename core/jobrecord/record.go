// Package jobrecord is what the state service holds of jobs: their records, in all forms, and how
// values are packed. It knows no controller: machines are dense indices, and names only where a
// record is written or read.
package jobrecord

import (
	"cmp"
	"dewlift/archive"
	"dewlift/audit"
	"dewlift/wire"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Stages of a job in its record.
const (
	Queued    = ""
	Done      = "d"
	Cancelled = "c"
)

// Record is a job as the state service holds it.
type Record struct {
	Shard          int                  `json:"h"`
	Stage          string               `json:"st,omitempty"`
	Spec           *wire.JobSpec        `json:"s,omitempty"` // absent once the job is over
	Assignments    []AssignmentGroup    `json:"a,omitempty"`
	CompletedTasks TaskSet              `json:"d,omitempty"`
	LastAttempt    uint64               `json:"t,omitempty"`  // highest attempt given out
	AcceptedAtMS   int64                `json:"at,omitempty"` // time of day of acceptance
	CancelledAtMS  int64                `json:"cm,omitempty"` // time of day of cancellation
	StopReasons    []StopReason         `json:"w,omitempty"`
	Submitter      string               `json:"u,omitempty"`  // who submitted it, where there are rights
	Team           string               `json:"gt,omitempty"` // of a job that is over, from form 3 on
	Class          string               `json:"gc,omitempty"` // likewise
	CancelledByJob string               `json:"by,omitempty"` // the cancelled job because of which this one is
	PendingAudit   []audit.PendingEntry `json:"e,omitempty"`  // entries of the audit record, until they are in blocks
	PackedLists    []byte               `json:"b,omitempty"`  // Place, Done and what the description awaits, packed
	// that it was accepted into, where there is a list of lanes; from form 7 on
	PriorityClass string `json:"ln,omitempty"`
	// revision of its acceptance, which is its place in its lane; absent: that of this write
	EnqueueRevision uint64 `json:"nr,omitempty"`
	// of one that was restored: it comes before all that were accepted since, those with more first
	RestoreOrder uint64 `json:"ob,omitempty"`
	// number of this write of the job's key, from form 5 on; of a slot's entry, that on which it counts
	WriteNumber uint64 `json:"v,omitempty"`
}

// AssignmentGroup lists the tasks assigned to machines of one zone that are in the same session. Jobs
// of hundreds of tasks fit a value because neighbours share what they have in common: the
// beginning of the machines' names, and runs of tasks with consecutive numbers and attempts.
type AssignmentGroup struct {
	Zone           string   `json:"z"` // a new owner must know it before it has heard of the machine
	Incarnation    uint64   `json:"s"`
	NamePrefix     string   `json:"p"` // of the machines' names
	NameSuffixes   []string `json:"m"` // the rest of them
	RunsPerMachine []int    `json:"n"` // how many runs each machine has
	TaskRuns       []uint64 `json:"r"` // of each run: first task, its attempt, number of tasks
}

// forEachRun calls f for every run; false if the lists do not fit together.
func (p *AssignmentGroup) forEachRun(f func(machine string, task, try, n uint64)) bool {
	at := 0
	if len(p.NameSuffixes) != len(p.RunsPerMachine) {
		return false
	}
	for i, name := range p.NameSuffixes {
		for k := 0; k < p.RunsPerMachine[i]; k++ {
			if at+3 > len(p.TaskRuns) || p.TaskRuns[at] >= wire.MaxTasksPerJob ||
				p.TaskRuns[at+2] > wire.MaxTasksPerJob-p.TaskRuns[at] {
				return false
			}
			f(p.NamePrefix+name, p.TaskRuns[at], p.TaskRuns[at+1], p.TaskRuns[at+2])
			at += 3
		}
	}
	return at == len(p.TaskRuns)
}

// StopReason tells why a task stopped; the time is of day, in ms.
type StopReason struct {
	Task    int    `json:"i"`
	Machine string `json:"m"`
	Cause   string `json:"c"`
	AtMS    int64  `json:"t"`
}

const maxStopReasons = 4 // the last ones

// AddStopReason notes why a task stopped; of many only the last are kept. As long as nothing of a
// job has completed, its errors outlast the other reasons: they tell that it was submitted with a
// mistake.
func (r *Record) AddStopReason(w StopReason) {
	r.StopReasons = append(r.StopReasons, w)
	if len(r.StopReasons) <= maxStopReasons {
		return
	}
	first := 0
	if r.CompletedTasks.Count() == 0 {
		first = max(0, slices.IndexFunc(r.StopReasons, func(w StopReason) bool { return w.Cause != wire.CauseError }))
	}
	r.StopReasons = slices.Delete(r.StopReasons, first, first+1)
}

// Assignment is a task's assignment. Machine is an index of its controller.
type Assignment struct {
	Task        int32
	Machine     int32
	Incarnation uint64
	Attempt     uint64
}

// TaskSet is a set of task numbers as inclusive pairs.
type TaskSet []int

// Count is how many numbers are in the set.
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

// Add returns the set with v in it; the receiver stays as it was.
func (r TaskSet) Add(v int) TaskSet {
	if r.Contains(v) {
		return r
	}
	out := make(TaskSet, 0, len(r)+2)
	put := func(a, b int) {
		if n := len(out); n > 0 && out[n-1]+1 >= a {
			out[n-1] = max(out[n-1], b)
			return
		}
		out = append(out, a, b)
	}
	done := false
	for i := 0; i+1 < len(r); i += 2 {
		if !done && v < r[i] {
			put(v, v)
			done = true
		}
		put(r[i], r[i+1])
	}
	if !done {
		put(v, v)
	}
	return out
}

// IsValid reports whether the pairs are in order, apart, and below a limit.
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

// Decode reads a record in any form.
func Decode(raw json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	if r.PackedLists != nil {
		if err := r.unpackLists(); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
	}
	if r.Spec != nil && !r.CompletedTasks.IsValid(r.Spec.Tasks) {
		return nil, fmt.Errorf("job record: bad done set")
	}
	for _, p := range r.Assignments {
		if !p.forEachRun(func(string, uint64, uint64, uint64) {}) {
			return nil, fmt.Errorf("job record: bad assignments")
		}
	}
	return &r, nil
}

// MachineNames tells the name and zone of a machine.
type MachineNames func(machine int32) (name, zone string)

// Encode renders a record with the given assignments, packed or not.
func Encode(r *Record, place []Assignment, packed bool, names MachineNames) (json.RawMessage, error) {
	out := *r
	out.Assignments = nil
	type named struct {
		Assignment
		name, zone string
	}
	sorted := make([]named, len(place))
	for i, a := range place {
		name, zone := names(a.Machine)
		sorted[i] = named{a, name, zone}
	}
	slices.SortFunc(sorted, func(a, b named) int {
		return cmp.Or(
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.name, b.name),
			cmp.Compare(a.Task, b.Task),
		)
	})
	for i, a := range sorted {
		if n := len(out.Assignments); n == 0 || out.Assignments[n-1].Zone != a.zone ||
			out.Assignments[n-1].Incarnation != a.Incarnation {
			out.Assignments = append(out.Assignments, AssignmentGroup{Zone: a.zone, Incarnation: a.Incarnation})
		}
		p := &out.Assignments[len(out.Assignments)-1]
		same := len(p.NameSuffixes) > 0 && sorted[i-1].Machine == a.Machine
		if !same {
			p.NameSuffixes = append(p.NameSuffixes, a.name)
			p.RunsPerMachine = append(p.RunsPerMachine, 0)
		}
		last := len(p.TaskRuns) - 3
		if same && p.TaskRuns[last]+p.TaskRuns[last+2] == uint64(a.Task) &&
			p.TaskRuns[last+1]+p.TaskRuns[last+2] == a.Attempt {
			p.TaskRuns[last+2]++
			continue
		}
		p.RunsPerMachine[len(p.RunsPerMachine)-1]++
		p.TaskRuns = append(p.TaskRuns, uint64(a.Task), a.Attempt, 1)
	}
	for i := range out.Assignments {
		out.Assignments[i].extractNamePrefix()
	}
	if packed {
		if err := out.packLists(); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
	}
	raw, err := json.Marshal(&out)
	if err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	return raw, nil
}

// extractNamePrefix takes what all names begin with out of them.
func (p *AssignmentGroup) extractNamePrefix() {
	n := len(p.NameSuffixes[0])
	for _, name := range p.NameSuffixes {
		for !strings.HasPrefix(name, p.NameSuffixes[0][:n]) {
			n--
		}
	}
	for n > 0 && !utf8.RuneStart((p.NameSuffixes[0] + "x")[n]) {
		n--
	}
	p.NamePrefix = p.NameSuffixes[0][:n]
	for i := range p.NameSuffixes {
		p.NameSuffixes[i] = p.NameSuffixes[i][n:]
	}
}

// MaxGrowth is by how much a record with these assignments can grow while they end one by one:
// at worst every other task of a run ends first, which leaves a run and a done range for each.
func (r *Record) MaxGrowth(place []Assignment) int {
	if r.Spec == nil || r.Spec.Service {
		return 0
	}
	return len(place) * (2*len(strconv.FormatUint(max(r.LastAttempt, uint64(r.Spec.Tasks)), 10)) + 3)
}

// ExpandAssignments lists a record's assignments; seat is the index of a machine by its name, and is told the zone.
func (r *Record) ExpandAssignments(seat func(name, zone string) int32) []Assignment {
	var out []Assignment
	for i := range r.Assignments {
		p := &r.Assignments[i]
		p.forEachRun(func(name string, task, try, n uint64) {
			machine := seat(name, p.Zone)
			for k := range n {
				out = append(out, Assignment{int32(task + k), machine, p.Incarnation, try + k})
			}
		})
	}
	return out
}

// TeamAndClass is the team and class that a job's readers need a grant for; "" if that is not known any more.
func (r *Record) TeamAndClass() (team, class string) {
	if r.Spec != nil {
		return r.Spec.Team, r.Spec.Class
	}
	return r.Team, r.Class
}

// UnassignedTasks lists up to limit tasks that are neither done nor assigned, lowest first, so that
// the done set stays a few ranges.
func (r *Record) UnassignedTasks(place []Assignment, limit int) []int32 {
	have := make(map[int32]bool, len(place))
	for _, a := range place {
		have[a.Task] = true
	}
	var out []int32
	d := 0
	for t := 0; t < r.Spec.Tasks && len(out) < limit; t++ {
		for d+1 < len(r.CompletedTasks) && t > r.CompletedTasks[d+1] {
			d += 2
		}
		if d+1 < len(r.CompletedTasks) && t >= r.CompletedTasks[d] {
			t = r.CompletedTasks[d+1]
			continue
		}
		if !have[int32(t)] {
			out = append(out, int32(t))
		}
	}
	return out
}

// FromArchive is the record of a job of a shard that is archived.
func FromArchive(e archive.Entry, shard int) *Record {
	r := &Record{Shard: shard, Stage: Done, CancelledByJob: e.CancelledByJob, Team: e.Team, Class: e.Class}
	if e.Cancelled {
		r.Stage = Cancelled
	}
	if e.CompletedTasks > 0 {
		r.CompletedTasks = TaskSet{0, e.CompletedTasks - 1}
	}
	for _, w := range e.StopReasons {
		r.StopReasons = append(r.StopReasons, StopReason(w))
	}
	return r
}

// ToArchive is what is archived of an ended job's record.
func (r *Record) ToArchive(id string) archive.Entry {
	e := archive.Entry{
		ID:             id,
		Cancelled:      r.Stage == Cancelled,
		CompletedTasks: r.CompletedTasks.Count(),
		CancelledByJob: r.CancelledByJob,
		Team:           r.Team,
		Class:          r.Class,
	}
	for _, w := range r.StopReasons {
		e.StopReasons = append(e.StopReasons, archive.StopReason(w))
	}
	return e
}
