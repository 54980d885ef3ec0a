// Package priorityclass decides which work goes before which: it assigns a job to one of the listed
// priority classes (lanes, to operators), and raises the class of work that has waited. It owns the list,
// which never changes after its check. It is pure: the same list, job and time always give the same class.
// The order of the jobs of a class is not decided here, but by the store's order of their acceptances.
package priorityclass

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
	maxClasses      = 20 // each adds a queue position to every health message between controllers
	maxSharePercent = 90 // of the starts; the rest stays with the class itself and those above
)

// validName is the form of a class's name, which appears in job records and on command lines.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,29}$`)

// List is a checked list of priority classes, the most urgent first. It is immutable.
type List struct {
	source      *pb.Lanes
	classes     []class
	indexByName map[string]int
}

// class is a priority class with its conditions on jobs.
type class struct {
	*pb.Lane
	priorities []int // Lane.Priorities as numbers
}

// Default is the list in force where none is stored: a class for each priority of a job. Work of the
// classes below the second rises after a time; 0: never.
func Default(riseAfter time.Duration) *List {
	source := &pb.Lanes{}
	for priority := range wire.PriorityLowest + 1 {
		lane := &pb.Lane{Name: wire.PriorityName(priority)}
		if priority < wire.PriorityLowest {
			lane.Priorities = []string{lane.Name}
		}
		if priority > 1 { // nothing rises to the first class, which is for critical work
			lane.RiseAfterS = uint32(riseAfter / time.Second)
		}
		source.Lanes = append(source.Lanes, lane)
	}
	list, err := New(source)
	if err != nil {
		panic(err) // the list is constant but for the time of rising, which can't be wrong
	}
	return list
}

// Parse reads a list in protobuf text format. Its error is one line and names the place.
func Parse(text []byte) (*List, error) {
	var source pb.Lanes
	if err := prototext.Unmarshal(text, &source); err != nil {
		return nil, err
	}
	return New(&source)
}

// New checks a list. The source must not be changed afterwards.
func New(source *pb.Lanes) (*List, error) {
	if len(source.Lanes) == 0 || len(source.Lanes) > maxClasses {
		return nil, fmt.Errorf("%d lanes, must be from 1 to %d", len(source.Lanes), maxClasses)
	}
	list := &List{source: source, indexByName: map[string]int{}}
	for i, lane := range source.Lanes {
		if err := list.add(lane, i == len(source.Lanes)-1); err != nil {
			return nil, fmt.Errorf("lanes[%d] (%s)%w", i, lane.Name, err)
		}
	}
	return list, nil
}

// add checks a class and appends it. An error begins with the field of the class that is wrong.
func (l *List) add(lane *pb.Lane, isLast bool) error {
	isFirst := len(l.classes) == 0
	if _, twice := l.indexByName[lane.Name]; twice || !validName.MatchString(lane.Name) {
		return errors.New(".name: no name, or used twice")
	}
	if err := checkRules(lane, isFirst, isLast); err != nil {
		return err
	}
	added := class{Lane: lane}
	for _, name := range lane.Priorities {
		priority, ok := wire.Priority(name)
		if !ok {
			return fmt.Errorf(".priorities: there is no %q", name)
		}
		added.priorities = append(added.priorities, priority)
	}
	l.indexByName[lane.Name] = len(l.classes)
	l.classes = append(l.classes, added)
	return nil
}

// checkRules checks the share, the time of rising and the conditions of a class against its position.
func checkRules(lane *pb.Lane, isFirst, isLast bool) error {
	matchesByName := len(lane.Priorities)+len(lane.Classes)+len(lane.Teams) > 0
	hasConditions := matchesByName || lane.DueWithinS > 0
	switch {
	case lane.SharePercent > maxSharePercent:
		return fmt.Errorf(".share_percent: %d, at most %d is allowed", lane.SharePercent, maxSharePercent)
	case lane.SharePercent > 0 && isLast:
		return errors.New(".share_percent: no lane is below the last")
	case lane.RiseAfterS > 0 && isFirst:
		return errors.New(".rise_after_s: no lane is above the first")
	case isLast && hasConditions:
		return errors.New(": the last lane takes what no other does, without conditions")
	case !isLast && !hasConditions:
		return errors.New(": it takes everything, so nothing comes to those below it")
	}
	return nil
}

// Source is the list as it was checked; it must not be changed.
func (l *List) Source() *pb.Lanes { return l.source }

// Len is the number of classes.
func (l *List) Len() int { return len(l.classes) }

// Name is the name of a class.
func (l *List) Name(classIndex int) string { return l.classes[classIndex].Name }

// Names returns the names of all classes, the most urgent first.
func (l *List) Names() []string {
	names := make([]string, 0, len(l.classes))
	for i := range l.classes {
		names = append(names, l.classes[i].Name)
	}
	return names
}

// IndexOf is the index of the class of a name; false if there is none.
func (l *List) IndexOf(name string) (int, bool) {
	i, ok := l.indexByName[name]
	return i, ok
}

// Classify is the index of the first class whose conditions a job meets; the last class has none.
func (l *List) Classify(spec *wire.JobSpec) int {
	for i := range l.classes {
		if l.classes[i].matches(spec) {
			return i
		}
	}
	return len(l.classes) - 1
}

// matches reports whether a job meets the conditions of a class.
func (c *class) matches(spec *wire.JobSpec) bool {
	return (len(c.priorities) == 0 || slices.Contains(c.priorities, spec.Priority)) &&
		(len(c.Classes) == 0 || slices.Contains(c.Classes, spec.Class)) &&
		(len(c.Teams) == 0 || slices.Contains(c.Teams, spec.Team)) &&
		(c.DueWithinS == 0 || spec.DeadlineMS > 0 && spec.DeadlineMS <= 1000*int64(c.DueWithinS))
}

// agingInterval is how long a job of a class waits until it is ordered as one of the class above; 0: it
// never is.
func (c *class) agingInterval() time.Duration { return time.Duration(c.RiseAfterS) * time.Second }

// EffectiveClass is the class by which a job is ordered after it has waited. It rises by a class after
// the time of rising of each class it reaches, as far as a class without such a time, or the first.
func (l *List) EffectiveClass(classIndex int, waited time.Duration) int {
	for classIndex > 0 {
		after := l.classes[classIndex].agingInterval()
		if after == 0 || waited < after {
			break
		}
		waited -= after
		classIndex--
	}
	return classIndex
}

// ReservedShare is the least part of the starts that the classes below one get while their work waits.
func (l *List) ReservedShare(classIndex int) float64 {
	return float64(l.classes[classIndex].SharePercent) / 100
}

// AgingTime is how long a job of a class waits until it is ordered as one of another class above; false
// if it never is.
func (l *List) AgingTime(classIndex, target int) (sum time.Duration, ok bool) {
	for ; classIndex > target; classIndex-- {
		after := l.classes[classIndex].agingInterval()
		if after == 0 {
			return 0, false
		}
		sum += after
	}
	return sum, true
}
