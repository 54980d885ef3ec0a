// Package previousversion holds frozen copies of the record and message types of the previous version, which runs in
// production. Tests use them to check that the previous version can read what a new version writes while processes of
// both may be running, and to limit simulated controllers of the previous version to the keys and fields that it knew.
// The types must not follow changes of the current types. Names in tags, and Go names of fields without a tag, are
// names on the wire. The files in testdata were written by the previous version itself, in a simulation.
package previousversion

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

const maxTasks = 100_000 // per job

// Spec is the specification of a job.
type Spec struct {
	Class        string   `json:"cl,omitempty"`
	Team         string   `json:"tm"`
	Service      bool     `json:"sv,omitempty"`
	Priority     int      `json:"pr"`
	Tasks        int      `json:"n"`
	Request      [3]int64 `json:"rc"`
	Image        string   `json:"im,omitempty"`
	Types        []string `json:"ty,omitempty"`
	Zone         string   `json:"zo,omitempty"`
	OneZone      bool     `json:"oz,omitempty"`
	Spread       bool     `json:"sp,omitempty"`
	Spot         bool     `json:"lo,omitempty"`
	EstimateMS   int64    `json:"es,omitempty"`
	CheckpointMS int64    `json:"sa,omitempty"`
	DeadlineMS   int64    `json:"dl,omitempty"`
	Checkpoints  bool     `json:"cp,omitempty"`
}

// Record is a job as it is stored.
type Record struct {
	Shard       int               `json:"h"`
	Stage       string            `json:"st,omitempty"`
	Spec        *Spec             `json:"s,omitempty"`
	Groups      []AssignmentGroup `json:"a,omitempty"`
	Done        []int             `json:"d,omitempty"`
	Attempts    uint64            `json:"t,omitempty"`
	AtMS        int64             `json:"at,omitempty"`
	CancelMS    int64             `json:"cm,omitempty"`
	StopReasons []struct {
		Task    int    `json:"i"`
		Machine string `json:"m"`
		Cause   string `json:"c"`
		AtMS    int64  `json:"t"`
	} `json:"w,omitempty"`
}

// AssignmentGroup holds assignments to machines of one zone and incarnation, in lists. Each machine has a number of
// runs; a run is three numbers of Tasks: the first task, its attempt, and how many consecutive tasks and attempts
// follow.
type AssignmentGroup struct {
	Zone        string   `json:"z"`
	Incarnation uint64   `json:"s"`
	Prefix      string   `json:"p"`
	Names       []string `json:"m"`
	Runs        []int    `json:"n"`
	Tasks       []uint64 `json:"r"`
}

// LeasedKey is the value of a key that is attached to a lease.
type LeasedKey struct {
	Node         string `json:"n"`
	Lease        uint64 `json:"t"`
	FencingToken uint64 `json:"b"`
}

// Assignment is an attempt of a task on a machine.
type Assignment struct {
	Machine       string
	Incarnation   uint64
	Task, Attempt uint64
}

// Assignments expands the assignments of a record; false if its lists are inconsistent.
func (r *Record) Assignments() ([]Assignment, bool) {
	var out []Assignment
	for _, group := range r.Groups {
		if len(group.Names) != len(group.Runs) {
			return nil, false
		}
		next := 0 // in group.Tasks
		for i, name := range group.Names {
			for range group.Runs[i] {
				if next+3 > len(group.Tasks) {
					return nil, false
				}
				task, attempt, count := group.Tasks[next], group.Tasks[next+1], group.Tasks[next+2]
				if task >= maxTasks || count > maxTasks-task {
					return nil, false
				}
				for k := range count {
					out = append(out, Assignment{group.Prefix + name, group.Incarnation, task + k, attempt + k})
				}
				next += 3
			}
		}
		if next != len(group.Tasks) {
			return nil, false
		}
	}
	return out, true
}

var (
	errBadDoneSet     = errors.New("job record: done tasks are not ascending ranges")
	errBadAssignments = errors.New("job record: lists of assignments are inconsistent")
)

// ReadRecord reads a job's record as the previous version did.
func ReadRecord(raw json.RawMessage) (*Record, error) {
	var record Record
	if err := json.Unmarshal(raw, &record); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	if record.Spec != nil && !record.isDoneSetValid() {
		return nil, errBadDoneSet
	}
	if _, ok := record.Assignments(); !ok {
		return nil, errBadAssignments
	}
	return &record, nil
}

// isDoneSetValid reports whether the done tasks are ascending ranges of first and last task.
func (r *Record) isDoneSetValid() bool {
	if len(r.Done)%2 != 0 {
		return false
	}
	previous := -2
	for i := 0; i < len(r.Done); i += 2 {
		first, last := r.Done[i], r.Done[i+1]
		if first <= previous || last < first || last >= r.Spec.Tasks {
			return false
		}
		previous = last
	}
	return true
}

// RoundTripValue returns a key's value as the previous version understood it, without the fields that it did not
// know. ok is false for a key that it ignored; err is set if it could not read the value.
func RoundTripValue(key string, raw json.RawMessage) (value json.RawMessage, ok bool, err error) {
	switch {
	case strings.HasPrefix(key, "dl/job/"):
		record, err := ReadRecord(raw)
		if err != nil {
			return nil, true, err
		}
		value, err = json.Marshal(record)
		return value, true, err
	case key == "dl/leader", strings.HasPrefix(key, "dl/node/"), strings.HasPrefix(key, "dl/shard/"):
		var leased LeasedKey
		if err := json.Unmarshal(raw, &leased); err != nil {
			return nil, true, fmt.Errorf("leased key: %w", err)
		}
		value, err = json.Marshal(leased)
		return value, true, err
	case key == "dl/epoch", key == "dl/types", strings.HasPrefix(key, "dl/team/"):
		return raw, true, nil
	}
	return nil, false, nil
}

// Resources is an amount of CPU, GPU and memory.
type Resources = [3]int64

// taskStatus is the status of a task in a heartbeat.
type taskStatus struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Stage   string `json:"stage"`
	Cause   string `json:"cause,omitempty"`
	Kept    bool   `json:"kept,omitempty"`
}

// heartbeat is a heartbeat of an agent that a controller relays.
type heartbeat struct {
	Machine      string       `json:"hearth"`
	Addr         string       `json:"address"`
	Type         string       `json:"kiln"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"borrowed"`
	Incarnation  uint64       `json:"shift"`
	Seq          uint64       `json:"tally"`
	FencingToken uint64       `json:"baton"`
	NoticeS      *float64     `json:"recall_s"`
	Tasks        []taskStatus `json:"pieces"`
}

// command is an agent command.
type command struct {
	Op      string   `json:"order"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"damp_s,omitempty"`
}

// Message is a message between controllers. The Go names of fields without a tag are names on the wire and must not
// change.
type Message struct {
	RelayTo      string `json:"to,omitempty"`
	RelayedFrom  string `json:"fr,omitempty"`
	SendCommands *struct {
		ID            uint64
		Machine, Addr string
		Body          struct {
			FencingToken uint64    `json:"baton"`
			Incarnation  uint64    `json:"shift"`
			Commands     []command `json:"orders"`
		}
	} `json:"o,omitempty"`
	CommandsResult *struct {
		ID     uint64
		Status int
		Sent   bool
		Report *heartbeat
	} `json:"od,omitempty"`
	Health *struct {
		StoreReachable bool    `json:"ok"`
		WriteRate      float64 `json:"u"`
	} `json:"h,omitempty"`
	Heartbeats       []*heartbeat `json:"r,omitempty"`
	HeartbeatDigests []struct {
		Machine      string `json:"m"`
		Incarnation  uint64 `json:"s"`
		Seq          uint64 `json:"q"`
		FencingToken uint64 `json:"b"`
		Digest       uint64 `json:"d"`
	} `json:"e,omitempty"`
	WantedHeartbeats []string `json:"w,omitempty"`
	AllocationDeltas *struct {
		Seq    uint64 `json:"q"`
		Deltas []struct {
			Start   bool      `json:"st,omitempty"`
			Machine string    `json:"m"`
			Request Resources `json:"c"`
		} `json:"l"`
	} `json:"d,omitempty"`
	StatePush *struct {
		AfterRevision uint64 `json:"after,omitempty"`
		Revision      uint64 `json:"rev"`
		Rows          []struct {
			Machine       string    `json:"m"`
			Type          string    `json:"t"`
			Zone          string    `json:"z"`
			Spot          bool      `json:"s,omitempty"`
			Available     Resources `json:"a"`
			Allocated     Resources `json:"o"`
			Reserved      Resources `json:"k"`
			OfferedLast   bool      `json:"l,omitempty"`
			Unschedulable bool      `json:"x,omitempty"`
		} `json:"rows,omitempty"`
		Preempted []struct {
			Machine string `json:"m"`
			Job     string `json:"j"`
			Task    int32  `json:"i"`
			Attempt uint64 `json:"t"`
		} `json:"stop,omitempty"`
		GoneMachines []string          `json:"gone,omitempty"`
		DeltaAcks    map[string]uint64 `json:"acks,omitempty"`
		FencingToken uint64            `json:"tok"`
		CapacityHold *struct {
			Priority int       `json:"p"`
			Request  Resources `json:"c"`
		} `json:"hold,omitempty"`
	} `json:"p,omitempty"`
	ResendStatePush   bool     `json:"a,omitempty"`
	MachinesToScaleIn []string `json:"s,omitempty"`
	SilentMachines    []string `json:"q,omitempty"`
}
