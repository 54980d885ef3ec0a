package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A model of a site: cancellations are committed one by one, told when they may be, and every
// controller that may renew a lease must know all that were told longer ago than the bound.
// Processes end and come back without memory, stand still, lose the state service or each other;
// messages come late and twice, also of former lives.
func TestRenewersKnowAcknowledgedCancellations(t *testing.T) {
	renewed, told := 0, 0
	for seed := uint64(1); seed <= 400; seed++ {
		m := newModel(t, seed)
		for range 3000 {
			m.step()
		}
		renewed += m.renewed
		told += len(m.acknowledged)
	}
	if renewed < 100_000 || told < 10_000 {
		t.Errorf("%d renewals, %d cancellations told", renewed, told)
	}
	t.Logf("%d renewals, %d cancellations told", renewed, told)
}

// The model must catch a site that breaks the rule in each of the ways that the package rules out.
func TestModelCatchesBrokenRules(t *testing.T) {
	for name, flaw := range map[string]func(m *model){
		"telling at once":                func(m *model) { m.ackWithoutQuorum = true },
		"answers of earlier questions":   func(m *model) { m.acceptAnyNonce = true },
		"vouching before it has loaded":  func(m *model) { m.vouchUnloaded = true },
		"no bound":                       func(m *model) { m.ignoreStaleness = true },
		"counting from a read's answer":  func(m *model) { m.countFromReply = true },
		"taking none of what others say": func(m *model) { m.ignorePeers = true },
	} {
		caught := false
		for seed := uint64(1); seed <= 400 && !caught; seed++ {
			m := newModel(t, seed)
			m.countOnly = true
			flaw(m)
			for range 3000 {
				m.step()
			}
			caught = m.violations > 0
		}
		if !caught {
			t.Errorf("%s was not caught", name)
		}
	}
}

const (
	cancelDeadline = 40 * time.Second
	agentLeaseTTL  = 20 * time.Second
)

type process struct {
	view             *View
	loaded           bool
	revision         uint64
	heldBeyond       map[uint64]bool            // held beyond it
	acks             map[uint64]map[string]bool // of cancellations that it wants to tell
	pausedUntil      time.Duration              // until when it stands still
	storeUnreachable bool                       // from the state service
	name             string
	incarnation      int
}

func (p *process) holds(r uint64) bool { return r <= p.revision || p.heldBeyond[r] }

type model struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	revision     uint64
	processes    []*process
	acknowledged map[uint64]time.Duration
	storeDown    bool
	cutLinks     map[[2]int]bool // cut
	delayed      []message
	renewed      int
	violations   int
	countOnly    bool

	ackWithoutQuorum, acceptAnyNonce, vouchUnloaded, ignoreStaleness, countFromReply, ignorePeers bool
}

type message struct {
	deliverAt time.Duration
	deliver   func()
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		acknowledged: map[uint64]time.Duration{},
		cutLinks:     map[[2]int]bool{},
	}
	for i := range []int{3, 5, 1}[seed%3] {
		m.processes = append(m.processes, &process{name: fmt.Sprint("n", i)})
	}
	for _, p := range m.processes {
		m.boot(p)
	}
	return m
}

func (m *model) boot(p *process) {
	var peers []string
	for _, o := range m.processes {
		if o != p {
			peers = append(peers, o.name)
		}
	}
	p.incarnation++
	p.view, p.loaded, p.revision = New(Config{peers, cancelDeadline, agentLeaseTTL}), false, 0
	p.heldBeyond, p.acks = map[uint64]bool{}, map[uint64]map[string]bool{}
}

// send carries something to a process, late at times, and once more at times.
func (m *model) send(from, to int, f func()) {
	if m.cutLinks[[2]int{min(from, to), max(from, to)}] {
		return
	}
	after := time.Duration(m.rng.IntN(300)) * time.Millisecond
	for m.rng.IntN(4) == 0 {
		after += time.Duration(m.rng.IntN(30_000)) * time.Millisecond
		m.delayed = append(m.delayed, message{m.now + after, f})
	}
	m.delayed = append(m.delayed, message{m.now + after, f})
}

func (m *model) step() {
	m.now += time.Duration(m.rng.IntN(200)) * time.Millisecond
	var due []message
	left := m.delayed[:0]
	for _, x := range m.delayed {
		if x.deliverAt <= m.now {
			due = append(due, x)
		} else {
			left = append(left, x)
		}
	}
	m.delayed = left
	for _, x := range due {
		x.deliver()
	}
	i := m.rng.IntN(len(m.processes))
	p := m.processes[i]
	switch m.rng.IntN(120) {
	case 0:
		m.boot(p)
	case 1:
		m.storeDown = m.rng.IntN(3) > 0
	case 2:
		p.storeUnreachable = m.rng.IntN(2) == 0
	case 3:
		j := m.rng.IntN(len(m.processes))
		m.cutLinks[[2]int{min(i, j), max(i, j)}] = m.rng.IntN(2) == 0
	case 4:
		p.pausedUntil = m.now + time.Duration(m.rng.IntN(40_000))*time.Millisecond
	}
	if m.now < p.pausedUntil {
		return
	}
	reach := !m.storeDown && !p.storeUnreachable
	if reach && m.rng.IntN(3) == 0 { // a read: what it shows is of some moment between its sending and its answer
		sent, shows, life := m.now, m.revision, p.incarnation
		answer := func() {
			if p.incarnation != life || m.now < p.pausedUntil {
				return
			}
			p.revision, p.loaded = max(p.revision, shows), true
			if m.countFromReply {
				sent = m.now
			}
			p.view.ConfirmRead(sent)
		}
		if m.rng.IntN(5) == 0 {
			m.delayed = append(m.delayed, message{m.now + time.Duration(m.rng.IntN(30_000))*time.Millisecond, answer})
		} else {
			answer()
		}
	}
	if reach && p.loaded && m.rng.IntN(8) == 0 { // a cancellation
		m.revision++
		p.heldBeyond[m.revision] = true
		p.acks[m.revision] = map[string]bool{}
	}
	for _, r := range slices.Sorted(maps.Keys(p.acks)) { // it wants to tell them
		acks := p.acks[r]
		if m.ackWithoutQuorum || p.view.CanAcknowledge(r, acks) {
			if _, ok := m.acknowledged[r]; !ok {
				m.acknowledged[r] = m.now
			}
			delete(p.acks, r)
			continue
		}
		for k, o := range m.processes {
			life := p.incarnation
			if o == p || m.rng.IntN(10) > 0 {
				continue
			}
			m.send(i, k, func() {
				if !o.loaded || m.now < o.pausedUntil {
					return
				}
				o.heldBeyond[r] = true
				m.send(k, i, func() {
					if p.incarnation == life {
						acks[o.name] = true
					}
				})
			})
		}
	}
	if p.loaded && p.view.IsQueryDue(m.now) {
		nonce, since := m.rng.Uint64(), p.revision
		p.view.BeginQuery(m.now, nonce)
		for k, o := range m.processes {
			if o == p {
				continue
			}
			m.send(i, k, func() {
				if !o.loaded && !m.vouchUnloaded || m.now < o.pausedUntil {
					return
				}
				var told []uint64
				for r := since + 1; r <= m.revision; r++ {
					if o.holds(r) {
						told = append(told, r)
					}
				}
				upTo := o.revision
				m.send(k, i, func() {
					if !p.loaded || m.now < p.pausedUntil {
						return
					}
					if !m.ignorePeers {
						for _, r := range told {
							p.heldBeyond[r] = true
						}
						p.view.RecordHeldRevision(o.name, upTo)
					}
					if m.acceptAnyNonce {
						nonce = p.view.queryNonce
					}
					p.view.HandleReply(o.name, nonce)
				})
			})
		}
	}
	if !p.loaded || !(p.view.IsFresh(m.now) || m.ignoreStaleness && p.view.initialized) {
		return
	}
	m.renewed++
	for r, at := range m.acknowledged {
		if m.now+agentLeaseTTL > at+cancelDeadline && !p.holds(r) {
			m.violations++
			if !m.countOnly {
				m.t.Fatalf("at %v %s renews a lease and does not know of %d, told at %v", m.now, p.name, r, at)
			}
		}
	}
}

// What times leave no room for is told before it matters.
func TestMaxStaleness(t *testing.T) {
	for _, x := range []struct {
		cancel, lease time.Duration
		least, most   time.Duration
	}{
		{66 * time.Second, 36 * time.Second, 28 * time.Second, 29 * time.Second},
		{30 * time.Second, 30 * time.Second, -2 * time.Second, 0},
	} {
		if b := MaxStaleness(x.cancel, x.lease); b < x.least || b > x.most {
			t.Errorf("%v, %v: %v", x.cancel, x.lease, b)
		}
	}
}

// A site of one controller is its own majority.
func TestOneControllerIsItsOwnQuorum(t *testing.T) {
	v := New(Config{nil, cancelDeadline, agentLeaseTTL})
	v.BeginQuery(time.Minute, 7)
	if !v.IsFresh(time.Minute+10*time.Second) || !v.CanAcknowledge(9, nil) {
		t.Error("it does not")
	}
}
