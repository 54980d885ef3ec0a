// Package links knows which of the other controllers are in reach, by when they were heard of, and how one that is not
// is reached by way of another. It sends nothing, and times come in.
package links

import (
	"slices"
	"time"
)

// Peer is what is known of another controller.
type Peer struct {
	StateOK bool     // it reached the state service of late
	Used    float64  // changes of the state service a second
	Hears   []string // controllers that it reaches
	Loading int      // pages of all keys that it has read; 0: it is not reading them
	Waits   []Wait   // of each lane, the first of its jobs that wait for room

	known bool
	heard time.Duration
}

// Wait is the place of a job in the order of work: a smaller priority comes first, then the earlier time of day.
type Wait struct {
	Priority int
	AtMS     int64
	Spot     bool // it may use spot machines
}

// before reports whether a job's turn comes clearly before another's.
func (w Wait) before(o Wait) bool {
	return w.Priority < o.Priority || w.Priority == o.Priority && w.AtMS+apartMS < o.AtMS
}

const apartMS = 3000 // by which two jobs' turns must differ: what is known of the others' is older than that it is told

// Order tells how many of the controllers that are there have work that comes before a job, and how many have none that comes clearly before
// or after it. What may not use spot machines is not in the way on one.
func (l *Links) Order(now time.Duration, there func(name string) bool, job Wait, spot bool) (before, alike int) {
	for _, n := range l.names {
		p := l.peers[n]
		switch {
		case !there(n):
		case len(p.Waits) == 0 || !p.StateOK || !l.Linked(now, n) || spot && !p.Waits[0].Spot:
			alike++
		case p.Waits[0].before(job):
			before++
		case !job.before(p.Waits[0]):
			alike++
		}
	}
	return before, alike
}

// Before reports whether another controller that is there has work below a lane that comes before a job of these.
func (l *Links) Before(now time.Duration, there func(name string) bool, job Wait, below int) bool {
	return slices.ContainsFunc(l.names, func(n string) bool {
		p := l.peers[n]
		return there(n) && p.StateOK && l.Linked(now, n) && slices.ContainsFunc(p.Waits, func(w Wait) bool { return w.Priority > below && w.before(job) })
	})
}

// Links are the other controllers of a site.
type Links struct {
	names []string
	lost  time.Duration // not heard of for so long, one is not in reach
	peers map[string]*Peer
}

const vouches = 2 * time.Second // how long what a controller says of the state service counts

// New knows the others by name; none was heard of yet.
func New(names []string, lost time.Duration) *Links {
	l := &Links{names: names, lost: lost, peers: map[string]*Peer{}}
	for _, n := range names {
		l.peers[n] = &Peer{}
	}
	return l
}

// Names are the others, in the order of the settings.
func (l *Links) Names() []string { return l.names }

// Peer is one of them, nil if there is none of that name.
func (l *Links) Peer(name string) *Peer { return l.peers[name] }

// Heard notes that one was heard of.
func (l *Links) Heard(now time.Duration, name string) {
	p := l.peers[name]
	p.known, p.heard = true, now
}

// Linked reports whether one is in reach.
func (l *Links) Linked(now time.Duration, name string) bool {
	p := l.peers[name]
	return p != nil && p.known && now-p.heard < l.lost
}

// InReach lists those in reach but one.
func (l *Links) InReach(now time.Duration, not string) []string {
	var out []string
	for _, n := range l.names {
		if n != not && l.Linked(now, n) {
			out = append(out, n)
		}
	}
	return out
}

// Way is by whom one that was known and is not in reach is reached; "": straight. As long as none in reach says that
// it reaches it, all of them are tried in turn: one in the same zone is cut off from the other zone as well.
func (l *Links) Way(now time.Duration, to string) string {
	if !l.peers[to].known || l.Linked(now, to) {
		return ""
	}
	in := l.InReach(now, to)
	for _, n := range in {
		if slices.Contains(l.peers[n].Hears, to) {
			return n
		}
	}
	if len(in) == 0 {
		return ""
	}
	return in[int(now/l.lost)%len(in)]
}

// Outage reports whether a majority of all controllers, of whom the caller is one that does not reach the state
// service, is in reach and none of it reaches it.
func (l *Links) Outage(now time.Duration) bool {
	reached := 1
	for _, p := range l.peers {
		if p.known && now-p.heard < vouches {
			reached++
			if p.StateOK {
				return false
			}
		}
	}
	return reached*2 > len(l.peers)+1
}
