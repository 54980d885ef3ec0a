// Package priorityclass determines which work takes precedence. It assigns each job to one of the configured
// priority classes, which operators know as lanes, and applies priority aging to work that has waited. A list
// does not change after it has been validated. Functions are pure: the same list, job and waiting time always
// give the same class. Within a class, jobs are ordered by the store's order of their acceptances, outside
// this package.
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
	maxClasses      = 20 // each class adds a queue position to every health message between controllers
	maxSharePercent = 90 // of the starts; the rest remains for the class itself and those above it
)

// validName matches valid names of classes. They appear in job records and on command lines.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,29}$`)

// List is a validated list of priority classes, the most urgent first. It is immutable.
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

// Default returns the list that is used if none is stored: a class for each job priority. Work of the classes
// below the second moves up by one class per agingInterval; 0 disables aging.
func Default(agingInterval time.Duration) *List {
	source := &pb.Lanes{}
	for priority := range wire.PriorityLowest + 1 {
		lane := &pb.Lane{Name: wire.PriorityName(priority)}
		if priority < wire.PriorityLowest {
			lane.Priorities = []string{lane.Name}
		}
		if priority > 1 { // aging never reaches the first class, which is reserved for critical work
			lane.RiseAfterS = uint32(agingInterval / time.Second)
		}
		source.Lanes = append(source.Lanes, lane)
	}
	list, err := New(source)
	if err != nil {
		panic(err) // only the aging interval varies, and every value of it is valid
	}
	return list
}

// Parse decodes and validates a list in protobuf text format. An error is a single line and names the
// location.
func Parse(text []byte) (*List, error) {
	var source pb.Lanes
	if err := prototext.Unmarshal(text, &source); err != nil {
		return nil, err
	}
	return New(&source)
}

// New validates a list and returns it. The caller must not change the source afterwards.
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

// add validates a class and appends it. An error begins with the invalid field of the class.
func (l *List) add(lane *pb.Lane, isLast bool) error {
	isFirst := len(l.classes) == 0
	if _, duplicate := l.indexByName[lane.Name]; duplicate || !validName.MatchString(lane.Name) {
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

// checkRules validates the share, the aging interval and the conditions of a class for its position in the
// list.
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

// Source returns the list as it was passed to New. The caller must not change it.
func (l *List) Source() *pb.Lanes { return l.source }

// Len returns the number of classes.
func (l *List) Len() int { return len(l.classes) }

// Name returns the name of a class.
func (l *List) Name(classIndex int) string { return l.classes[classIndex].Name }

// Names returns the names of all classes, the most urgent first.
func (l *List) Names() []string {
	names := make([]string, 0, len(l.classes))
	for i := range l.classes {
		names = append(names, l.classes[i].Name)
	}
	return names
}

// IndexOf returns the index of the class with a name. It reports false if there is none.
func (l *List) IndexOf(name string) (int, bool) {
	i, ok := l.indexByName[name]
	return i, ok
}

// Classify returns the index of the first class whose conditions a job meets. The last class has no
// conditions.
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

// agingInterval returns how long a job of a class waits until it is ordered as one of the class above. 0
// means that it never is.
func (c *class) agingInterval() time.Duration { return time.Duration(c.RiseAfterS) * time.Second }

// EffectiveClass returns the class by which a job is ordered after it has waited. The job moves up by one
// class after the aging interval of each class that it reaches, up to the first class or a class without an
// aging interval.
func (l *List) EffectiveClass(classIndex int, waited time.Duration) int {
	for classIndex > 0 {
		interval := l.classes[classIndex].agingInterval()
		if interval == 0 || waited < interval {
			break
		}
		waited -= interval
		classIndex--
	}
	return classIndex
}

// ReservedShare returns the minimum share of starts that the classes below the given one get while their work
// waits.
func (l *List) ReservedShare(classIndex int) float64 {
	return float64(l.classes[classIndex].SharePercent) / 100
}

// AgingTime returns how long a job of a class waits until it is ordered as one of a target class above. It
// reports false if that never happens.
func (l *List) AgingTime(classIndex, target int) (sum time.Duration, ok bool) {
	for ; classIndex > target; classIndex-- {
		interval := l.classes[classIndex].agingInterval()
		if interval == 0 {
			return 0, false
		}
		sum += interval
	}
	return sum, true
}
