// Package previousversion holds the record and message types of the version that runs in production,
// frozen as they were there, for tests: what a new version writes while an old process may be
// running is read in the old one's own terms, and simulated old controllers see only what the
// old one understood. testdata was written by that version itself, in a simulated world.
package previousversion

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

const maxTasks = 100_000

// Spec is a job's description.
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

// Record is a job as the state service holds it.
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

// AssignmentGroup lists assignments in one zone and session.
type AssignmentGroup struct {
	Zone        string   `json:"z"`
	Incarnation uint64   `json:"s"`
	Prefix      string   `json:"p"`
	Names       []string `json:"m"`
	Runs        []int    `json:"n"`
	Tasks       []uint64 `json:"r"`
}

// LeasedKey is a leased key.
type LeasedKey struct {
	Node         string `json:"n"`
	Lease        uint64 `json:"t"`
	FencingToken uint64 `json:"b"`
}

// Assignment is a task on a machine.
type Assignment struct {
	Machine       string
	Incarnation   uint64
	Task, Attempt uint64
}

// Assignments lists what a record says of its tasks; false if the lists do not fit together.
func (r *Record) Assignments() ([]Assignment, bool) {
	var out []Assignment
	for _, p := range r.Groups {
		at := 0
		if len(p.Names) != len(p.Runs) {
			return nil, false
		}
		for i, name := range p.Names {
			for range p.Runs[i] {
				if at+3 > len(p.Tasks) || p.Tasks[at] >= maxTasks || p.Tasks[at+2] > maxTasks-p.Tasks[at] {
					return nil, false
				}
				for k := range p.Tasks[at+2] {
					out = append(out, Assignment{p.Prefix + name, p.Incarnation, p.Tasks[at] + k, p.Tasks[at+1] + k})
				}
				at += 3
			}
		}
		if at != len(p.Tasks) {
			return nil, false
		}
	}
	return out, true
}

// ReadRecord reads a job's record as the old version did.
func ReadRecord(raw json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("job record: %w", err)
	}
	if r.Spec != nil {
		last := -2
		if len(r.Done)%2 != 0 {
			return nil, errors.New("bad done set")
		}
		for i := 0; i < len(r.Done); i += 2 {
			if r.Done[i] <= last || r.Done[i+1] < r.Done[i] || r.Done[i+1] >= r.Spec.Tasks {
				return nil, errors.New("bad done set")
			}
			last = r.Done[i+1]
		}
	}
	if _, ok := r.Assignments(); !ok {
		return nil, errors.New("bad assignments")
	}
	return &r, nil
}

// RoundTripValue is a key's value as the old version understood it, without the fields that it did not
// know; ok is false for a key that it ignored, and err tells that it could not read it.
func RoundTripValue(key string, raw json.RawMessage) (value json.RawMessage, ok bool, err error) {
	switch {
	case strings.HasPrefix(key, "dl/job/"):
		r, err := ReadRecord(raw)
		if err != nil {
			return nil, true, err
		}
		value, err = json.Marshal(r)
		return value, true, err
	case key == "dl/leader", strings.HasPrefix(key, "dl/node/"), strings.HasPrefix(key, "dl/shard/"):
		var h LeasedKey
		if err := json.Unmarshal(raw, &h); err != nil {
			return nil, true, err
		}
		value, err = json.Marshal(h)
		return value, true, err
	case key == "dl/epoch", key == "dl/types", strings.HasPrefix(key, "dl/team/"):
		return raw, true, nil
	}
	return nil, false, nil
}

// Resources is an amount of CPU, GPU and memory.
type Resources = [3]int64

type taskStatus struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Stage   string `json:"stage"`
	Cause   string `json:"cause,omitempty"`
	Kept    bool   `json:"kept,omitempty"`
}

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

type command struct {
	Op      string   `json:"order"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"damp_s,omitempty"`
}

// Message is a message between controllers.
type Message struct {
	To           string `json:"to,omitempty"`
	From         string `json:"fr,omitempty"`
	SendCommands *struct {
		ID            uint64
		Machine, Addr string
		Body          struct {
			Token   uint64    `json:"baton"`
			Session uint64    `json:"shift"`
			Orders  []command `json:"orders"`
		}
	} `json:"o,omitempty"`
	CommandsResult *struct {
		ID     uint64
		Status int
		Sent   bool
		Report *heartbeat
	} `json:"od,omitempty"`
	Health *struct {
		StateOK bool    `json:"ok"`
		Used    float64 `json:"u"`
	} `json:"h,omitempty"`
	Heartbeats       []*heartbeat `json:"r,omitempty"`
	HeartbeatDigests []struct {
		Machine string `json:"m"`
		Session uint64 `json:"s"`
		Seq     uint64 `json:"q"`
		Token   uint64 `json:"b"`
		Digest  uint64 `json:"d"`
	} `json:"e,omitempty"`
	Want   []string `json:"w,omitempty"`
	Deltas *struct {
		Seq  uint64 `json:"q"`
		List []struct {
			Start   bool      `json:"st,omitempty"`
			Machine string    `json:"m"`
			Claim   Resources `json:"c"`
		} `json:"l"`
	} `json:"d,omitempty"`
	Push *struct {
		After uint64 `json:"after,omitempty"`
		Rev   uint64 `json:"rev"`
		Rows  []struct {
			Machine string    `json:"m"`
			Type    string    `json:"t"`
			Zone    string    `json:"z"`
			Spot    bool      `json:"s,omitempty"`
			Avail   Resources `json:"a"`
			Occ     Resources `json:"o"`
			Keep    Resources `json:"k"`
			Last    bool      `json:"l,omitempty"`
			Closed  bool      `json:"x,omitempty"`
		} `json:"rows,omitempty"`
		Stop []struct {
			Machine string `json:"m"`
			Job     string `json:"j"`
			Task    int32  `json:"i"`
			Try     uint64 `json:"t"`
		} `json:"stop,omitempty"`
		Gone  []string          `json:"gone,omitempty"`
		Acks  map[string]uint64 `json:"acks,omitempty"`
		Token uint64            `json:"tok"`
		Hold  *struct {
			Priority int       `json:"p"`
			Claim    Resources `json:"c"`
		} `json:"hold,omitempty"`
	} `json:"p,omitempty"`
	Resend bool     `json:"a,omitempty"`
	Return []string `json:"s,omitempty"`
	Silent []string `json:"q,omitempty"`
}
