// Package lanes decides which work goes ahead of which. It is pure: the same list, the same job and the same time always give the same
// place. The place of a job in its lane comes from the state service's own order of acceptances, no clock's.
package lanes

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
	"dewlift/wire"
)

const (
	mostLanes = 20
	mostShare = 90 // percent
)

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,29}$`)

// List is a list of lanes, checked. It never changes.
type List struct {
	source *pb.Lanes
	lanes  []lane
	byName map[string]int
}

type lane struct {
	*pb.Lane
	priorities []int
}

// ByPriority is the list without a file: a lane for each priority, and routine work rises after a time; 0: never.
func ByPriority(rise time.Duration) *List {
	p := &pb.Lanes{}
	for i := range wire.PriorityLowest + 1 {
		l := &pb.Lane{Name: wire.PriorityName(i)}
		if i < wire.PriorityLowest {
			l.Priorities = []string{l.Name}
		}
		if i > 1 { // nothing rises to critical
			l.RiseAfterS = uint32(rise / time.Second)
		}
		p.Lanes = append(p.Lanes, l)
	}
	l, err := New(p)
	if err != nil {
		panic(err) // it is a constant
	}
	return l
}

// Parse reads a list in protobuf text format. An error is one line and names the place.
func Parse(text []byte) (*List, error) {
	var p pb.Lanes
	if err := prototext.Unmarshal(text, &p); err != nil {
		return nil, err
	}
	return New(&p)
}

// New checks a list.
func New(p *pb.Lanes) (*List, error) {
	if len(p.Lanes) == 0 || len(p.Lanes) > mostLanes {
		return nil, fmt.Errorf("%d lanes, must be from 1 to %d", len(p.Lanes), mostLanes)
	}
	l := &List{source: p, byName: map[string]int{}}
	for i, x := range p.Lanes {
		n := lane{Lane: x}
		var err error
		switch _, twice := l.byName[x.Name]; {
		case !name.MatchString(x.Name) || twice:
			err = errors.New(".name: no name, or used twice")
		case x.SharePercent > mostShare:
			err = fmt.Errorf(".share_percent: %d, at most %d is allowed", x.SharePercent, mostShare)
		case x.SharePercent > 0 && i == len(p.Lanes)-1:
			err = errors.New(".share_percent: no lane is below the last")
		case x.RiseAfterS > 0 && i == 0:
			err = errors.New(".rise_after_s: no lane is above the first")
		case i == len(p.Lanes)-1 && (len(x.Priorities)+len(x.Classes)+len(x.Teams) > 0 || x.DueWithinS > 0):
			err = errors.New(": the last lane takes what no other does, without conditions")
		case i < len(p.Lanes)-1 && len(x.Priorities)+len(x.Classes)+len(x.Teams) == 0 && x.DueWithinS == 0:
			err = errors.New(": it takes everything, so nothing comes to those below it")
		}
		for _, text := range x.Priorities {
			v, ok := wire.Priority(text)
			if !ok && err == nil {
				err = fmt.Errorf(".priorities: there is no %q", text)
			}
			n.priorities = append(n.priorities, v)
		}
		if err != nil {
			return nil, fmt.Errorf("lanes[%d] (%s)%w", i, x.Name, err)
		}
		l.byName[x.Name] = i
		l.lanes = append(l.lanes, n)
	}
	return l, nil
}

// Source is the list as it was checked; it must not be changed.
func (l *List) Source() *pb.Lanes { return l.source }

// Len is how many lanes there are.
func (l *List) Len() int { return len(l.lanes) }

// Name is a lane's name.
func (l *List) Name(i int) string { return l.lanes[i].Name }

// Named is the lane of a name.
func (l *List) Named(name string) (int, bool) {
	i, ok := l.byName[name]
	return i, ok
}

// Of is the lane to which a job belongs.
func (l *List) Of(s *wire.JobSpec) int {
	for i, x := range l.lanes {
		if (len(x.priorities) == 0 || slices.Contains(x.priorities, s.Priority)) &&
			(len(x.Classes) == 0 || slices.Contains(x.Classes, s.Class)) &&
			(len(x.Teams) == 0 || slices.Contains(x.Teams, s.Team)) &&
			(x.DueWithinS == 0 || s.DeadlineMS > 0 && s.DeadlineMS <= 1000*int64(x.DueWithinS)) {
			return i
		}
	}
	return len(l.lanes) - 1
}

// Risen is the lane by which a job of a lane is ordered after it has waited: a lane higher for each time of rising of the lane that it has come
// to. It rises to the first lane whose jobs do not rise, or to the lane above the last one that do.
func (l *List) Risen(lane int, waited time.Duration) int {
	for lane > 0 {
		after := time.Duration(l.lanes[lane].RiseAfterS) * time.Second
		if after == 0 || waited < after {
			break
		}
		waited -= after
		lane--
	}
	return lane
}

// Share is the least part of the starts that the lanes below one keep, while they have work that waits.
func (l *List) Share(lane int) float64 { return float64(l.lanes[lane].SharePercent) / 100 }

// Longest is for how long a job of a lane waits at most until it is ordered as one of another: the sum of the times of rising between them; false
// if it never is.
func (l *List) Longest(lane, to int) (sum time.Duration, ok bool) {
	for ; lane > to; lane-- {
		if l.lanes[lane].RiseAfterS == 0 {
			return 0, false
		}
		sum += time.Duration(l.lanes[lane].RiseAfterS) * time.Second
	}
	return sum, true
}
