// Package quorum decides for how long a controller may renew the leases of workers, and when a user may be told of a cancellation. The
// invariant: nobody renews a worker's lease without knowing every cancellation that any user was told of, but for at most MaxStale after the
// telling. Then a cancelled task is stopped by an order or dies with its lease, within the time that the platform allows.
//
// Two things make a controller's view of the cancellations current as of a moment: a read of the state service that was sent then and
// answered, and the word of a majority of all controllers, itself included, that was asked for then. The second is enough because a
// cancellation is told only once a majority holds it: the two majorities share a process that holds it, in that life or in one that has read
// all keys since. The package sends nothing, knows no job, and times come in.
package quorum

import (
	"slices"
	"time"
)

// Site is what a View depends on.
type Site struct {
	Peers    []string      // the other controllers, as configured
	CancelIn time.Duration // in which the tasks of a cancelled job must be gone
	Lease    time.Duration // of a worker, from the sending of the last report that was answered
}

// MaxStale is how long after a cancellation was told a controller that does not know of it may renew a lease. The lease counts from the
// sending of the report, which lies before the answer, so neither the way of an answer nor a controller that stands still after it has decided
// takes anything of it; clocks that drift apart and the worker's own steps do. 0 or less: the platform's times leave none.
func MaxStale(cancelIn, lease time.Duration) time.Duration {
	return cancelIn - lease - margin - time.Duration(drift*float64(cancelIn))
}

const (
	margin = time.Second // for the steps in which a worker looks at its lease, and for the time of day's error
	drift  = 0.002       // between two clocks, with room to spare: the platform allows 0.0005 each

	// Least is the smallest MaxStale with which leases can be kept: a read every quarter of it, and answers that take a second.
	Least = 4 * time.Second
)

// View is the state of one controller.
type View struct {
	site    Site
	known   bool          // the view was current at some time
	current time.Duration // as of when it was last
	nonce   uint64        // of the question that was asked last; 0: none
	sent    time.Duration // when
	said    map[string]bool
	holds   map[string]uint64 // revision up to which each of the others has held all cancellations
}

// New is that of a controller that knows nothing yet.
func New(s Site) *View {
	return &View{site: s, said: map[string]bool{}, holds: map[string]uint64{}}
}

// Read notes that a read of the state service that was sent at a time was answered, and shows all changes before it.
func (v *View) Read(sent time.Duration) {
	if !v.known || sent > v.current {
		v.known, v.current = true, sent
	}
}

// Fresh reports whether the view is current enough to renew a worker's lease, or to start a task.
func (v *View) Fresh(now time.Duration) bool {
	return v.known && now-v.current <= MaxStale(v.site.CancelIn, v.site.Lease)
}

// ReadDue reports whether a read of the state service is due, for the view to stay current.
func (v *View) ReadDue(now time.Duration) bool { return v.aged(now, 4) }

func (v *View) aged(now time.Duration, part int) bool {
	return !v.known || now-v.current > max(0, MaxStale(v.site.CancelIn, v.site.Lease))/time.Duration(part)
}

// AskDue reports whether the others are to be asked for their word: reads have brought nothing for a while.
func (v *View) AskDue(now time.Duration) bool {
	return v.aged(now, 3) && (v.nonce == 0 || now >= v.sent+askAgain)
}

const askAgain = time.Second

// Ask begins a question to all others. The nonce is one that no other life of this controller has used.
func (v *View) Ask(now time.Duration, nonce uint64) {
	v.nonce, v.sent = nonce, now
	clear(v.said)
	v.majority()
}

// Answered notes that one of the others has answered a question, and that all which it holds is held here too now. It must have read all keys.
// False: it is no answer to the last question.
func (v *View) Answered(peer string, nonce uint64) bool {
	if v.nonce == 0 || nonce != v.nonce || !v.knows(peer) {
		return false
	}
	v.said[peer] = true
	v.majority()
	return true
}

func (v *View) majority() {
	if v.most(len(v.said)) {
		v.Read(v.sent)
		v.nonce = 0
	}
}

// most reports whether so many others and this controller are a majority of all.
func (v *View) most(others int) bool { return (others+1)*2 > len(v.site.Peers)+1 }

func (v *View) knows(peer string) bool { return slices.Contains(v.site.Peers, peer) }

// Acked notes that one of the others has held all cancellations up to a revision at some time. That it has ended since changes nothing: its
// next life vouches for none before it has read all keys, and they show these.
func (v *View) Acked(peer string, revision uint64) {
	if v.knows(peer) {
		v.holds[peer] = max(v.holds[peer], revision)
	}
}

// MayTell reports whether a cancellation at a revision, which this controller holds, may be told: a majority holds it. by are others that
// have said so of this one cancellation.
func (v *View) MayTell(revision uint64, by map[string]bool) bool {
	n := 0
	for _, p := range v.site.Peers {
		if by[p] || v.holds[p] >= revision {
			n++
		}
	}
	return v.most(n)
}
