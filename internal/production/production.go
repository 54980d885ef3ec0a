// Package production holds the record and message types of the version that runs in production,
// frozen as they were there, for tests: what a new version writes while an old process may be
// running is read in the old one's own terms, and simulated old controllers see only what the
// old one understood. testdata was written by that version itself, in a simulated world.
package production

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

const maxTasks = 100_000

// Spec is a job's description.
type Spec struct {
	Class      string   `json:"cl,omitempty"`
	Team       string   `json:"tm"`
	Service    bool     `json:"sv,omitempty"`
	Priority   int      `json:"pr"`
	Tasks      int      `json:"n"`
	Claim      [3]int64 `json:"rc"`
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
}

// Record is a job as the state service holds it.
type Record struct {
	Shard    int      `json:"h"`
	Stage    string   `json:"st,omitempty"`
	Spec     *Spec    `json:"s,omitempty"`
	Place    []Placed `json:"a,omitempty"`
	Done     []int    `json:"d,omitempty"`
	Tries    uint64   `json:"t,omitempty"`
	AtMS     int64    `json:"at,omitempty"`
	CancelMS int64    `json:"cm,omitempty"`
	Why      []struct {
		Task    int    `json:"i"`
		Machine string `json:"m"`
		Cause   string `json:"c"`
		AtMS    int64  `json:"t"`
	} `json:"w,omitempty"`
}

// Placed lists assignments in one zone and session.
type Placed struct {
	Zone    string   `json:"z"`
	Session uint64   `json:"s"`
	Prefix  string   `json:"p"`
	Names   []string `json:"m"`
	Runs    []int    `json:"n"`
	Tasks   []uint64 `json:"r"`
}

// Held is a leased key.
type Held struct {
	Node  string `json:"n"`
	Lease uint64 `json:"t"`
	Token uint64 `json:"b"`
}

// Assignment is a task on a machine.
type Assignment struct {
	Machine   string
	Session   uint64
	Task, Try uint64
}

// Assignments lists what a record says of its tasks; false if the lists do not fit together.
func (r *Record) Assignments() ([]Assignment, bool) {
	var out []Assignment
	for _, p := range r.Place {
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
					out = append(out, Assignment{p.Prefix + name, p.Session, p.Tasks[at] + k, p.Tasks[at+1] + k})
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

// Sees is a key's value as the old version understood it, without the fields that it did not
// know; ok is false for a key that it ignored, and err tells that it could not read it.
func Sees(key string, raw json.RawMessage) (value json.RawMessage, ok bool, err error) {
	switch {
	case strings.HasPrefix(key, "dl/job/"):
		r, err := ReadRecord(raw)
		if err != nil {
			return nil, true, err
		}
		value, err = json.Marshal(r)
		return value, true, err
	case key == "dl/leader", strings.HasPrefix(key, "dl/node/"), strings.HasPrefix(key, "dl/shard/"):
		var h Held
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

// Vec is an amount of CPU, GPU and memory.
type Vec = [3]int64

type piece struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Stage string `json:"stage"`
	Cause string `json:"cause,omitempty"`
	Kept  bool   `json:"kept,omitempty"`
}

type report struct {
	Machine string   `json:"hearth"`
	Addr    string   `json:"address"`
	Type    string   `json:"kiln"`
	Zone    string   `json:"yard"`
	Spot    bool     `json:"borrowed"`
	Session uint64   `json:"shift"`
	Seq     uint64   `json:"tally"`
	Token   uint64   `json:"baton"`
	NoticeS *float64 `json:"recall_s"`
	Pieces  []piece  `json:"pieces"`
}

type order struct {
	Op     string   `json:"order"`
	Piece  string   `json:"piece"`
	Try    uint64   `json:"try"`
	GraceS *float64 `json:"damp_s,omitempty"`
}

// Msg is a message between controllers.
type Msg struct {
	To     string `json:"to,omitempty"`
	From   string `json:"fr,omitempty"`
	Orders *struct {
		ID            uint64
		Machine, Addr string
		Body          struct {
			Token   uint64  `json:"baton"`
			Session uint64  `json:"shift"`
			Orders  []order `json:"orders"`
		}
	} `json:"o,omitempty"`
	Ordered *struct {
		ID     uint64
		Status int
		Sent   bool
		Report *report
	} `json:"od,omitempty"`
	Health *struct {
		StateOK bool    `json:"ok"`
		Used    float64 `json:"u"`
	} `json:"h,omitempty"`
	Reports []*report `json:"r,omitempty"`
	Heard   []struct {
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
			Start   bool   `json:"st,omitempty"`
			Machine string `json:"m"`
			Claim   Vec    `json:"c"`
		} `json:"l"`
	} `json:"d,omitempty"`
	Push *struct {
		After uint64 `json:"after,omitempty"`
		Rev   uint64 `json:"rev"`
		Rows  []struct {
			Machine string `json:"m"`
			Type    string `json:"t"`
			Zone    string `json:"z"`
			Spot    bool   `json:"s,omitempty"`
			Avail   Vec    `json:"a"`
			Occ     Vec    `json:"o"`
			Keep    Vec    `json:"k"`
			Last    bool   `json:"l,omitempty"`
			Closed  bool   `json:"x,omitempty"`
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
			Priority int `json:"p"`
			Claim    Vec `json:"c"`
		} `json:"hold,omitempty"`
	} `json:"p,omitempty"`
	Resend bool     `json:"a,omitempty"`
	Return []string `json:"s,omitempty"`
	Silent []string `json:"q,omitempty"`
}
