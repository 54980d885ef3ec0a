package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"dewlift/audit"
	"dewlift/wire"
)

// Stages of a job in its record.
const (
	stQueued    = ""
	stDone      = "d"
	stCancelled = "c"
)

// record is a job as the state service holds it.
type record struct {
	Shard    int             `json:"h"`
	Stage    string          `json:"st,omitempty"`
	Spec     *wire.Spec      `json:"s,omitempty"` // absent once the job is over
	Place    []placed        `json:"a,omitempty"`
	Done     ranges          `json:"d,omitempty"`
	Tries    uint64          `json:"t,omitempty"`  // highest attempt given out
	AtMS     int64           `json:"at,omitempty"` // time of day of acceptance
	CancelMS int64           `json:"cm,omitempty"` // time of day of cancellation
	Why      []reason        `json:"w,omitempty"`
	Who      string          `json:"u,omitempty"`  // who submitted it, where there are rights
	Team     string          `json:"gt,omitempty"` // of a job that is over, from form 3 on
	Class    string          `json:"gc,omitempty"` // likewise
	By       string          `json:"by,omitempty"` // the cancelled job because of which this one is
	Carried  []audit.Carried `json:"e,omitempty"`  // entries of the audit record, until they are in blocks
	Packed   []byte          `json:"b,omitempty"`  // Place, Done and what the description awaits, packed
}

// placed lists the tasks assigned to machines of one zone that are in the same session. Jobs
// of hundreds of tasks fit a value because neighbours share what they have in common: the
// beginning of the machines' names, and runs of tasks with consecutive numbers and attempts.
type placed struct {
	Zone    string   `json:"z"` // a new owner must know it before it has heard of the machine
	Session uint64   `json:"s"`
	Prefix  string   `json:"p"` // of the machines' names
	Names   []string `json:"m"` // the rest of them
	Runs    []int    `json:"n"` // how many runs each machine has
	Tasks   []uint64 `json:"r"` // of each run: first task, its attempt, number of tasks
}

// each calls f for every run; false if the lists do not fit together.
func (p *placed) each(f func(machine string, task, try, n uint64)) bool {
	at := 0
	if len(p.Names) != len(p.Runs) {
		return false
	}
	for i, name := range p.Names {
		for k := 0; k < p.Runs[i]; k++ {
			if at+3 > len(p.Tasks) || p.Tasks[at] >= wire.MaxTasks || p.Tasks[at+2] > wire.MaxTasks-p.Tasks[at] {
				return false
			}
			f(p.Prefix+name, p.Tasks[at], p.Tasks[at+1], p.Tasks[at+2])
			at += 3
		}
	}
	return at == len(p.Tasks)
}

type reason struct {
	Task    int    `json:"i"`
	Machine string `json:"m"`
	Cause   string `json:"c"`
	AtMS    int64  `json:"t"`
}

const keptReasons = 4

func (r *record) addReason(w reason) {
	r.Why = append(r.Why, w)
	if len(r.Why) > keptReasons {
		r.Why = r.Why[len(r.Why)-keptReasons:]
	}
}

// asg is a task's assignment.
type asg struct {
	task    int32
	machine int32
	session uint64
	try     uint64
}

// ranges is a set of task numbers as inclusive pairs.
type ranges []int

func (r ranges) count() int {
	n := 0
	for i := 0; i+1 < len(r); i += 2 {
		n += r[i+1] - r[i] + 1
	}
	return n
}

func (r ranges) has(v int) bool {
	for i := 0; i+1 < len(r); i += 2 {
		if v >= r[i] && v <= r[i+1] {
			return true
		}
	}
	return false
}

// add returns the set with v in it; the receiver stays as it was.
func (r ranges) add(v int) ranges {
	if r.has(v) {
		return r
	}
	out := make(ranges, 0, len(r)+2)
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

func (r ranges) valid(limit int) bool {
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

func decodeRecord(raw json.RawMessage) (*record, error) {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	if r.Packed != nil {
		if err := r.unpackAll(); err != nil {
			return nil, fmt.Errorf("job record: %w", err)
		}
	}
	if r.Spec != nil && !r.Done.valid(r.Spec.Tasks) {
		return nil, fmt.Errorf("job record: bad done set")
	}
	for _, p := range r.Place {
		if !p.each(func(string, uint64, uint64, uint64) {}) {
			return nil, fmt.Errorf("job record: bad assignments")
		}
	}
	return &r, nil
}

// encode renders a record with the given assignments, packed or not.
func (c *Core) encode(r *record, place []asg, packed bool) (json.RawMessage, error) {
	out := *r
	out.Place = nil
	sorted := slices.Clone(place)
	slices.SortFunc(sorted, func(a, b asg) int {
		x, y := c.machines[a.machine], c.machines[b.machine]
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(a.session, b.session), cmp.Compare(x.name, y.name), cmp.Compare(a.task, b.task))
	})
	for i, a := range sorted {
		zone := c.machines[a.machine].zone
		if n := len(out.Place); n == 0 || out.Place[n-1].Zone != zone || out.Place[n-1].Session != a.session {
			out.Place = append(out.Place, placed{Zone: zone, Session: a.session})
		}
		p := &out.Place[len(out.Place)-1]
		same := len(p.Names) > 0 && sorted[i-1].machine == a.machine
		if !same {
			p.Names = append(p.Names, c.machines[a.machine].name)
			p.Runs = append(p.Runs, 0)
		}
		last := len(p.Tasks) - 3
		if same && p.Tasks[last]+p.Tasks[last+2] == uint64(a.task) && p.Tasks[last+1]+p.Tasks[last+2] == a.try {
			p.Tasks[last+2]++
			continue
		}
		p.Runs[len(p.Runs)-1]++
		p.Tasks = append(p.Tasks, uint64(a.task), a.try, 1)
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
func (p *placed) cutPrefix() {
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

// growth is by how much a record with these assignments can grow while they end one by one:
// at worst every other task of a run ends first, which leaves a run and a done range for each.
func (c *Core) growth(r *record, place []asg) int {
	if r.Spec == nil || r.Spec.Service {
		return 0
	}
	return len(place) * (2*len(strconv.FormatUint(max(r.Tries, uint64(r.Spec.Tasks)), 10)) + 3)
}

// unpack lists a record's assignments.
func (c *Core) unpack(r *record) []asg {
	var out []asg
	for i := range r.Place {
		p := &r.Place[i]
		p.each(func(name string, task, try, n uint64) {
			m := c.machine(name)
			if m.zone == "" {
				m.zone = p.Zone
			}
			for k := range n {
				out = append(out, asg{int32(task + k), m.idx, p.Session, try + k})
			}
		})
	}
	return out
}
