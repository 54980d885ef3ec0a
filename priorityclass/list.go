// Package priorityclass decides which work goes ahead of which. It is pure: the same list, the same
// job and the same time always give the same place. The place of a job in its lane comes from the
// state service's own order of acceptances, no clock's.
package priorityclass

import (
	"dewlift/wire"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	pb "dewlift/proto"
)

const (
	maxClasses      = 20
	maxSharePercent = 90 // percent
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,29}$`)

// List is a list of lanes, checked. It never changes.
type List struct {
	source      *pb.Lanes
	classes     []class
	indexByName map[string]int
}

type class struct {
	*pb.Lane
	priorities []int
}

// Default is the list without a file: a lane for each priority, and routine work rises after a time; 0: never.
func Default(riseAfter time.Duration) *List {
	p := &pb.Lanes{}
	for i := range wire.PriorityLowest + 1 {
		l := &pb.Lane{Name: wire.PriorityName(i)}
		if i < wire.PriorityLowest {
			l.Priorities = []string{l.Name}
		}
		if i > 1 { // nothing rises to critical
			l.RiseAfterS = uint32(riseAfter / time.Second)
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
	if len(p.Lanes) == 0 || len(p.Lanes) > maxClasses {
		return nil, fmt.Errorf("%d lanes, must be from 1 to %d", len(p.Lanes), maxClasses)
	}
	l := &List{source: p, indexByName: map[string]int{}}
	for i, x := range p.Lanes {
		n := class{Lane: x}
		var err error
		switch _, twice := l.indexByName[x.Name]; {
		case !validName.MatchString(x.Name) || twice:
			err = errors.New(".name: no name, or used twice")
		case x.SharePercent > maxSharePercent:
			err = fmt.Errorf(".share_percent: %d, at most %d is allowed", x.SharePercent, maxSharePercent)
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
		l.indexByName[x.Name] = i
		l.classes = append(l.classes, n)
	}
	return l, nil
}

// Source is the list as it was checked; it must not be changed.
func (l *List) Source() *pb.Lanes { return l.source }

// Len is how many lanes there are.
func (l *List) Len() int { return len(l.classes) }

// Name is a lane's name.
func (l *List) Name(i int) string { return l.classes[i].Name }

// IndexOf is the lane of a name.
func (l *List) IndexOf(name string) (int, bool) {
	i, ok := l.indexByName[name]
	return i, ok
}

// Classify is the lane to which a job belongs.
func (l *List) Classify(s *wire.JobSpec) int {
	for i, x := range l.classes {
		if (len(x.priorities) == 0 || slices.Contains(x.priorities, s.Priority)) &&
			(len(x.Classes) == 0 || slices.Contains(x.Classes, s.Class)) &&
			(len(x.Teams) == 0 || slices.Contains(x.Teams, s.Team)) &&
			(x.DueWithinS == 0 || s.DeadlineMS > 0 && s.DeadlineMS <= 1000*int64(x.DueWithinS)) {
			return i
		}
	}
	return len(l.classes) - 1
}

// EffectiveClass is the lane by which a job of a lane is ordered after it has waited: a lane higher
// for each time of rising of the lane that it has come to. It rises to the first lane whose jobs do
// not rise, or to the lane above the last one that do.
func (l *List) EffectiveClass(classIndex int, waited time.Duration) int {
	for classIndex > 0 {
		after := time.Duration(l.classes[classIndex].RiseAfterS) * time.Second
		if after == 0 || waited < after {
			break
		}
		waited -= after
		classIndex--
	}
	return classIndex
}

// ReservedShare is the least part of the starts that the lanes below one keep, while they have work that waits.
func (l *List) ReservedShare(classIndex int) float64 {
	return float64(l.classes[classIndex].SharePercent) / 100
}

// RiseTime is for how long a job of a lane waits at most until it is ordered as one of another: the
// sum of the times of rising between them; false if it never is.
func (l *List) RiseTime(classIndex, to int) (sum time.Duration, ok bool) {
	for ; classIndex > to; classIndex-- {
		if l.classes[classIndex].RiseAfterS == 0 {
			return 0, false
		}
		sum += time.Duration(l.classes[classIndex].RiseAfterS) * time.Second
	}
	return sum, true
}
