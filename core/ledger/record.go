// Package ledger is what the state service holds of jobs: their records, in all forms, and how values are packed. It knows
// no controller: machines are dense indices, and names only where a record is written or read.
package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"dewlift/archive"
	"dewlift/audit"
	"dewlift/wire"
)

// Stages of a job in its record.
const (
	Queued    = ""
	Done      = "d"
	Cancelled = "c"
)

// Record is a job as the state service holds it.
type Record struct {
	Shard    int             `json:"h"`
	Stage    string          `json:"st,omitempty"`
	Spec     *wire.JobSpec   `json:"s,omitempty"` // absent once the job is over
	Place    []Placed        `json:"a,omitempty"`
	Done     Ranges          `json:"d,omitempty"`
	Tries    uint64          `json:"t,omitempty"`  // highest attempt given out
	AtMS     int64           `json:"at,omitempty"` // time of day of acceptance
	CancelMS int64           `json:"cm,omitempty"` // time of day of cancellation
	Why      []Reason        `json:"w,omitempty"`
	Who      string          `json:"u,omitempty"`  // who submitted it, where there are rights
	Team     string          `json:"gt,omitempty"` // of a job that is over, from form 3 on
	Class    string          `json:"gc,omitempty"` // likewise
	By       string          `json:"by,omitempty"` // the cancelled job because of which this one is
	Carried  []audit.Carried `json:"e,omitempty"`  // entries of the audit record, until they are in blocks
	Packed   []byte          `json:"b,omitempty"`  // Place, Done and what the description awaits, packed
	Lane     string          `json:"ln,omitempty"` // that it was accepted into, where there is a list of lanes; from form 7 on
	Turn     uint64          `json:"nr,omitempty"` // revision of its acceptance, which is its place in its lane; absent: that of this write
	Before   uint64          `json:"ob,omitempty"` // of one that was restored: it comes before all that were accepted since, those with more first
	V        uint64          `json:"v,omitempty"`  // number of this write of the job's key, from form 5 on; of a slot's entry, that on which it counts
}

// Placed lists the tasks assigned to machines of one zone that are in the same session. Jobs
// of hundreds of tasks fit a value because neighbours share what they have in common: the
// beginning of the machines' names, and runs of tasks with consecutive numbers and attempts.
type Placed struct {
	Zone    string   `json:"z"` // a new owner must know it before it has heard of the machine
	Session uint64   `json:"s"`
	Prefix  string   `json:"p"` // of the machines' names
	Names   []string `json:"m"` // the rest of them
	Runs    []int    `json:"n"` // how many runs each machine has
	Tasks   []uint64 `json:"r"` // of each run: first task, its attempt, number of tasks
}

// each calls f for every run; false if the lists do not fit together.
func (p *Placed) each(f func(machine string, task, try, n uint64)) bool {
	at := 0
	if len(p.Names) != len(p.Runs) {
		return false
	}
	for i, name := range p.Names {
		for k := 0; k < p.Runs[i]; k++ {
			if at+3 > len(p.Tasks) || p.Tasks[at] >= wire.MaxTasksPerJob || p.Tasks[at+2] > wire.MaxTasksPerJob-p.Tasks[at] {
				return false
			}
			f(p.Prefix+name, p.Tasks[at], p.Tasks[at+1], p.Tasks[at+2])
			at += 3
		}
	}
	return at == len(p.Tasks)
}

// Reason tells why a task stopped; the time is of day, in ms.
type Reason struct {
	Task    int    `json:"i"`
	Machine string `json:"m"`
	Cause   string `json:"c"`
	AtMS    int64  `json:"t"`
}

const keptReasons = 4 // the last ones

// AddReason notes why a task stopped; of many only the last are kept. As long as nothing of a job has completed, its errors outlast the other reasons: they
// tell that it was submitted with a mistake.
func (r *Record) AddReason(w Reason) {
	r.Why = append(r.Why, w)
	if len(r.Why) <= keptReasons {
		return
	}
	first := 0
	if r.Done.Count() == 0 {
		first = max(0, slices.IndexFunc(r.Why, func(w Reason) bool { return w.Cause != wire.CauseError }))
	}
	r.Why = slices.Delete(r.Why, first, first+1)
}

// Asg is a task's assignment. Machine is an index of its controller.
type Asg struct {
	Task    int32
	Machine int32
	Session uint64
	Try     uint64
}

// Ranges is a set of task numbers as inclusive pairs.
type Ranges []int

// Count is how many numbers are in the set.
func (r Ranges) Count() int {
	n := 0
	for i := 0; i+1 < len(r); i += 2 {
		n += r[i+1] - r[i] + 1
	}
	return n
}

// Has reports whether a number is in the set.
func (r Ranges) Has(v int) bool {
	for i := 0; i+1 < len(r); i += 2 {
		if v >= r[i] && v <= r[i+1] {
			return true
		}
	}
	return false
}

// Add returns the set with v in it; the receiver stays as it was.
func (r Ranges) Add(v int) Ranges {
	if r.Has(v) {
		return r
	}
	out := make(Ranges, 0, len(r)+2)
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

// Valid reports whether the pairs are in order, apart, and below a limit.
func (r Ranges) Valid(limit int) bool {
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
	if r.Packed != nil {
		if err := r.unpackAll(); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
	}
	if r.Spec != nil && !r.Done.Valid(r.Spec.Tasks) {
		return nil, fmt.Errorf("job record: bad done set")
	}
	for _, p := range r.Place {
		if !p.each(func(string, uint64, uint64, uint64) {}) {
			return nil, fmt.Errorf("job record: bad assignments")
		}
	}
	return &r, nil
}

// Names tells the name and zone of a machine.
type Names func(machine int32) (name, zone string)

// Encode renders a record with the given assignments, packed or not.
func Encode(r *Record, place []Asg, packed bool, names Names) (json.RawMessage, error) {
	out := *r
	out.Place = nil
	type named struct {
		Asg
		name, zone string
	}
	sorted := make([]named, len(place))
	for i, a := range place {
		name, zone := names(a.Machine)
		sorted[i] = named{a, name, zone}
	}
	slices.SortFunc(sorted, func(a, b named) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.Session, b.Session), cmp.Compare(a.name, b.name), cmp.Compare(a.Task, b.Task))
	})
	for i, a := range sorted {
		if n := len(out.Place); n == 0 || out.Place[n-1].Zone != a.zone || out.Place[n-1].Session != a.Session {
			out.Place = append(out.Place, Placed{Zone: a.zone, Session: a.Session})
		}
		p := &out.Place[len(out.Place)-1]
		same := len(p.Names) > 0 && sorted[i-1].Machine == a.Machine
		if !same {
			p.Names = append(p.Names, a.name)
			p.Runs = append(p.Runs, 0)
		}
		last := len(p.Tasks) - 3
		if same && p.Tasks[last]+p.Tasks[last+2] == uint64(a.Task) && p.Tasks[last+1]+p.Tasks[last+2] == a.Try {
			p.Tasks[last+2]++
			continue
		}
		p.Runs[len(p.Runs)-1]++
		p.Tasks = append(p.Tasks, uint64(a.Task), a.Try, 1)
	}
	for i := range out.Place {
		out.Place[i].cutPrefix()
	}
	if packed {
		if err := out.packAll(); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
	}
	raw, err := json.Marshal(&out)
	if err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	return raw, nil
}

// cutPrefix takes what all names begin with out of them.
func (p *Placed) cutPrefix() {
	n := len(p.Names[0])
	for _, name := range p.Names {
		for !strings.HasPrefix(name, p.Names[0][:n]) {
			n--
		}
	}
	for n > 0 && !utf8.RuneStart((p.Names[0] + "x")[n]) {
		n--
	}
	p.Prefix = p.Names[0][:n]
	for i := range p.Names {
		p.Names[i] = p.Names[i][n:]
	}
}

// Growth is by how much a record with these assignments can grow while they end one by one:
// at worst every other task of a run ends first, which leaves a run and a done range for each.
func (r *Record) Growth(place []Asg) int {
	if r.Spec == nil || r.Spec.Service {
		return 0
	}
	return len(place) * (2*len(strconv.FormatUint(max(r.Tries, uint64(r.Spec.Tasks)), 10)) + 3)
}

// Assigned lists a record's assignments; seat is the index of a machine by its name, and is told the zone.
func (r *Record) Assigned(seat func(name, zone string) int32) []Asg {
	var out []Asg
	for i := range r.Place {
		p := &r.Place[i]
		p.each(func(name string, task, try, n uint64) {
			machine := seat(name, p.Zone)
			for k := range n {
				out = append(out, Asg{int32(task + k), machine, p.Session, try + k})
			}
		})
	}
	return out
}

// Group is the team and class that a job's readers need a grant for; "" if that is not known any more.
func (r *Record) Group() (team, class string) {
	if r.Spec != nil {
		return r.Spec.Team, r.Spec.Class
	}
	return r.Team, r.Class
}

// Waiting lists up to limit tasks that are neither done nor assigned, lowest first, so that
// the done set stays a few ranges.
func (r *Record) Waiting(place []Asg, limit int) []int32 {
	have := make(map[int32]bool, len(place))
	for _, a := range place {
		have[a.Task] = true
	}
	var out []int32
	d := 0
	for t := 0; t < r.Spec.Tasks && len(out) < limit; t++ {
		for d+1 < len(r.Done) && t > r.Done[d+1] {
			d += 2
		}
		if d+1 < len(r.Done) && t >= r.Done[d] {
			t = r.Done[d+1]
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
	r := &Record{Shard: shard, Stage: Done, By: e.By, Team: e.Team, Class: e.Class}
	if e.Cancelled {
		r.Stage = Cancelled
	}
	if e.Done > 0 {
		r.Done = Ranges{0, e.Done - 1}
	}
	for _, w := range e.Why {
		r.Why = append(r.Why, Reason(w))
	}
	return r
}

// ToArchive is what is archived of an ended job's record.
func (r *Record) ToArchive(id string) archive.Entry {
	e := archive.Entry{ID: id, Cancelled: r.Stage == Cancelled, Done: r.Done.Count(), By: r.By, Team: r.Team, Class: r.Class}
	for _, w := range r.Why {
		e.Why = append(e.Why, archive.Reason(w))
	}
	return e
}
