package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A model of a site: cancellations are committed one by one, told when they may be, and every controller that may renew a lease must know all
// that were told longer ago than the bound. Processes end and come back without memory, stand still, lose the state service or each
// other; messages come late and twice, also of former lives.
func TestWhoMayRenewKnowsWhatWasTold(t *testing.T) {
	renewed, told := 0, 0
	for seed := uint64(1); seed <= 400; seed++ {
		m := newModel(t, seed)
		for range 3000 {
			m.step()
		}
		renewed += m.renewed
		told += len(m.told)
	}
	if renewed < 100_000 || told < 10_000 {
		t.Errorf("%d renewals, %d cancellations told", renewed, told)
	}
	t.Logf("%d renewals, %d cancellations told", renewed, told)
}

// The model must catch a site that breaks the rule in each of the ways that the package rules out.
func TestModelCatchesBrokenSites(t *testing.T) {
	for name, flaw := range map[string]func(m *model){
		"telling at once":                func(m *model) { m.tellAtOnce = true },
		"answers of earlier questions":   func(m *model) { m.anyNonce = true },
		"vouching before it has loaded":  func(m *model) { m.vouchUnloaded = true },
		"no bound":                       func(m *model) { m.unbounded = true },
		"counting from a read's answer":  func(m *model) { m.fromAnswer = true },
		"taking none of what others say": func(m *model) { m.deaf = true },
	} {
		caught := false
		for seed := uint64(1); seed <= 400 && !caught; seed++ {
			m := newModel(t, seed)
			m.quiet = true
			flaw(m)
			for range 3000 {
				m.step()
			}
			caught = m.broken > 0
		}
		if !caught {
			t.Errorf("%s was not caught", name)
		}
	}
}

const (
	cancelIn = 40 * time.Second
	lease    = 20 * time.Second
)

type process struct {
	v      *View
	loaded bool
	seen   uint64
	extra  map[uint64]bool            // held beyond it
	acks   map[uint64]map[string]bool // of cancellations that it wants to tell
	still  time.Duration              // until when it stands still
	cut    bool                       // from the state service
	name   string
	life   int
}

func (p *process) holds(r uint64) bool { return r <= p.seen || p.extra[r] }

type model struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	ledger  uint64
	procs   []*process
	told    map[uint64]time.Duration
	down    bool
	mesh    map[[2]int]bool // cut
	late    []message
	renewed int
	broken  int
	quiet   bool

	tellAtOnce, anyNonce, vouchUnloaded, unbounded, fromAnswer, deaf bool
}

type message struct {
	at time.Duration
	f  func()
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 5)), told: map[uint64]time.Duration{}, mesh: map[[2]int]bool{}}
	for i := range []int{3, 5, 1}[seed%3] {
		m.procs = append(m.procs, &process{name: fmt.Sprint("n", i)})
	}
	for _, p := range m.procs {
		m.boot(p)
	}
	return m
}

func (m *model) boot(p *process) {
	var peers []string
	for _, o := range m.procs {
		if o != p {
			peers = append(peers, o.name)
		}
	}
	p.life++
	p.v, p.loaded, p.seen = New(Site{peers, cancelIn, lease}), false, 0
	p.extra, p.acks = map[uint64]bool{}, map[uint64]map[string]bool{}
}

// send carries something to a process, late at times, and once more at times.
func (m *model) send(from, to int, f func()) {
	if m.mesh[[2]int{min(from, to), max(from, to)}] {
		return
	}
	after := time.Duration(m.rng.IntN(300)) * time.Millisecond
	for m.rng.IntN(4) == 0 {
		after += time.Duration(m.rng.IntN(30_000)) * time.Millisecond
		m.late = append(m.late, message{m.now + after, f})
	}
	m.late = append(m.late, message{m.now + after, f})
}

func (m *model) step() {
	m.now += time.Duration(m.rng.IntN(200)) * time.Millisecond
	var due []message
	left := m.late[:0]
	for _, x := range m.late {
		if x.at <= m.now {
			due = append(due, x)
		} else {
			left = append(left, x)
		}
	}
	m.late = left
	for _, x := range due {
		x.f()
	}
	i := m.rng.IntN(len(m.procs))
	p := m.procs[i]
	switch m.rng.IntN(120) {
	case 0:
		m.boot(p)
	case 1:
		m.down = m.rng.IntN(3) > 0
	case 2:
		p.cut = m.rng.IntN(2) == 0
	case 3:
		j := m.rng.IntN(len(m.procs))
		m.mesh[[2]int{min(i, j), max(i, j)}] = m.rng.IntN(2) == 0
	case 4:
		p.still = m.now + time.Duration(m.rng.IntN(40_000))*time.Millisecond
	}
	if m.now < p.still {
		return
	}
	reach := !m.down && !p.cut
	if reach && m.rng.IntN(3) == 0 { // a read: what it shows is of some moment between its sending and its answer
		sent, shows, life := m.now, m.ledger, p.life
		answer := func() {
			if p.life != life || m.now < p.still {
				return
			}
			p.seen, p.loaded = max(p.seen, shows), true
			if m.fromAnswer {
				sent = m.now
			}
			p.v.Read(sent)
		}
		if m.rng.IntN(5) == 0 {
			m.late = append(m.late, message{m.now + time.Duration(m.rng.IntN(30_000))*time.Millisecond, answer})
		} else {
			answer()
		}
	}
	if reach && p.loaded && m.rng.IntN(8) == 0 { // a cancellation
		m.ledger++
		p.extra[m.ledger] = true
		p.acks[m.ledger] = map[string]bool{}
	}
	for _, r := range slices.Sorted(maps.Keys(p.acks)) { // it wants to tell them
		acks := p.acks[r]
		if m.tellAtOnce || p.v.MayTell(r, acks) {
			if _, ok := m.told[r]; !ok {
				m.told[r] = m.now
			}
			delete(p.acks, r)
			continue
		}
		for k, o := range m.procs {
			life := p.life
			if o == p || m.rng.IntN(10) > 0 {
				continue
			}
			m.send(i, k, func() {
				if !o.loaded || m.now < o.still {
					return
				}
				o.extra[r] = true
				m.send(k, i, func() {
					if p.life == life {
						acks[o.name] = true
					}
				})
			})
		}
	}
	if p.loaded && p.v.AskDue(m.now) {
		nonce, since := m.rng.Uint64(), p.seen
		p.v.Ask(m.now, nonce)
		for k, o := range m.procs {
			if o == p {
				continue
			}
			m.send(i, k, func() {
				if !o.loaded && !m.vouchUnloaded || m.now < o.still {
					return
				}
				var told []uint64
				for r := since + 1; r <= m.ledger; r++ {
					if o.holds(r) {
						told = append(told, r)
					}
				}
				upTo := o.seen
				m.send(k, i, func() {
					if !p.loaded || m.now < p.still {
						return
					}
					if !m.deaf {
						for _, r := range told {
							p.extra[r] = true
						}
						p.v.Acked(o.name, upTo)
					}
					if m.anyNonce {
						nonce = p.v.nonce
					}
					p.v.Answered(o.name, nonce)
				})
			})
		}
	}
	if !p.loaded || !(p.v.Fresh(m.now) || m.unbounded && p.v.known) {
		return
	}
	m.renewed++
	for r, at := range m.told {
		if m.now+lease > at+cancelIn && !p.holds(r) {
			m.broken++
			if !m.quiet {
				m.t.Fatalf("at %v %s renews a lease and does not know of %d, told at %v", m.now, p.name, r, at)
			}
		}
	}
}

// What times leave no room for is told before it matters.
func TestMaxStale(t *testing.T) {
	for _, x := range []struct {
		cancel, lease time.Duration
		least, most   time.Duration
	}{{66 * time.Second, 36 * time.Second, 28 * time.Second, 29 * time.Second}, {30 * time.Second, 30 * time.Second, -2 * time.Second, 0}} {
		if b := MaxStale(x.cancel, x.lease); b < x.least || b > x.most {
			t.Errorf("%v, %v: %v", x.cancel, x.lease, b)
		}
	}
}

// A site of one controller is its own majority.
func TestOneControllerIsItsOwnQuorum(t *testing.T) {
	v := New(Site{nil, cancelIn, lease})
	v.Ask(time.Minute, 7)
	if !v.Fresh(time.Minute+10*time.Second) || !v.MayTell(9, nil) {
		t.Error("it does not")
	}
}
