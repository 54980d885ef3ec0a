package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	modelSeeds = 400
	modelSteps = 3000 // for each seed
)

// runModels runs the model of each seed, and returns how many leases were renewed and cancellations acknowledged.
func runModels(t *testing.T, create func(t *testing.T, seed uint64) *model) (renewed, acknowledged int) {
	t.Helper()
	for seed := uint64(1); seed <= modelSeeds; seed++ {
		m := create(t, seed)
		for range modelSteps {
			m.step()
		}
		renewed += m.renewed
		acknowledged += len(m.acknowledged)
	}
	return renewed, acknowledged
}

// A controller that renews a lease must know every cancellation that was acknowledged longer than MaxStaleness
// ago, whatever fails. In the model, cancellations are committed one by one, and acknowledged as soon as
// permitted. Processes crash and restart without state, pause, and lose their connection to the store or each
// other. Messages are delayed and duplicated, also across incarnations.
func TestRenewersKnowAcknowledgedCancellations(t *testing.T) {
	renewed, acknowledged := runModels(t, newModel)
	if renewed < 100_000 || acknowledged < 10_000 {
		t.Errorf("%d renewals, %d acknowledged cancellations: too few to show anything", renewed, acknowledged)
	}
	t.Logf("%d renewals, %d acknowledged cancellations", renewed, acknowledged)
}

// The same must hold while three controllers become five and three again, with different lists meanwhile.
func TestRenewersKnowAcknowledgedCancellationsWhileClusterGrows(t *testing.T) {
	renewed, acknowledged := runModels(t, newGrowingModel)
	if renewed < 100_000 || acknowledged < 5_000 {
		t.Errorf("%d renewals, %d acknowledged cancellations: too few to show anything", renewed, acknowledged)
	}
}

// While a cluster grows, a majority of the own list alone must be caught: two of them need not meet.
func TestModelCatchesMajoritiesThatDoNotMeet(t *testing.T) {
	for seed := uint64(1); seed <= modelSeeds; seed++ {
		m := newGrowingModel(t, seed)
		m.countOnly, m.ignoreLists = true, true
		for range modelSteps {
			m.step()
		}
		if m.violations > 0 {
			return
		}
	}
	t.Error("majorities that do not meet were not caught")
}

// The model must find a violation if any one of the rules is broken. Otherwise the test above would prove nothing.
func TestModelCatchesBrokenRules(t *testing.T) {
	for name, breakRule := range map[string]func(m *model){
		"acknowledging without a majority":     func(m *model) { m.ackWithoutQuorum = true },
		"accepting replies to earlier queries": func(m *model) { m.acceptAnyNonce = true },
		"replying before a snapshot is loaded": func(m *model) { m.replyUnloaded = true },
		"renewing however stale the view is":   func(m *model) { m.ignoreStaleness = true },
		"counting from the answer of a read":   func(m *model) { m.countFromReply = true },
		"ignoring what peers reply":            func(m *model) { m.ignorePeers = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= modelSeeds; seed++ {
				m := newModel(t, seed)
				m.countOnly = true
				breakRule(m)
				for range modelSteps {
					m.step()
				}
				if m.violations > 0 {
					return
				}
			}
			t.Errorf("%s was not caught", name)
		})
	}
}

const (
	cancelDeadline = 40 * time.Second
	agentLeaseTTL  = 20 * time.Second
)

// process is a controller of the model.
type process struct {
	view             *View
	loaded           bool                       // it has loaded a snapshot of the store
	revision         uint64                     // it holds all cancellations up to this revision
	heldBeyond       map[uint64]bool            // cancellations after revision that it holds
	acks             map[uint64]map[string]bool // by cancellation that it wants to acknowledge: peers that hold it
	pausedUntil      time.Duration
	storeUnreachable bool     // for this process only
	settings         []string // the list of controllers in its settings
	listRevision     uint64   // of the stored lists that it knows
	name             string
	incarnation      int
}

// holds reports whether the process holds the cancellation of a revision.
func (p *process) holds(revision uint64) bool {
	return revision <= p.revision || p.heldBeyond[revision]
}

// model is a cluster of controllers and their store, with faults.
type model struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	revision     uint64 // of the last cancellation committed
	processes    []*process
	acknowledged map[uint64]time.Duration // by cancellation: when a user was first answered with it
	storeDown    bool                     // for all processes
	cutLinks     map[[2]int]bool
	delayed      []message
	lists        []map[string][]string // the stored lists of controllers, after each change
	growing      bool
	renewed      int
	violations   int
	countOnly    bool // violations don't fail the test

	// Rules that the model breaks.
	ackWithoutQuorum, acceptAnyNonce, replyUnloaded, ignoreStaleness, countFromReply, ignorePeers, ignoreLists bool
}

// message is a message in transit.
type message struct {
	deliverAt time.Duration
	deliver   func()
}

// newModel returns a cluster of 1, 3 or 5 controllers, depending on the seed.
func newModel(t *testing.T, seed uint64) *model {
	t.Helper()
	m := &model{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 5)),
		acknowledged: map[uint64]time.Duration{},
		cutLinks:     map[[2]int]bool{},
	}
	size := []int{3, 5, 1}[seed%3]
	m.lists = []map[string][]string{{}}
	for i := range size {
		m.processes = append(m.processes, &process{name: fmt.Sprint("n", i)})
	}
	for _, p := range m.processes {
		p.settings = m.names(size)
		m.lists[0][p.name] = p.settings
		m.boot(p)
	}
	return m
}

// names returns the names of the first controllers.
func (m *model) names(count int) (names []string) {
	for _, p := range m.processes[:count] {
		names = append(names, p.name)
	}
	return names
}

// newGrowingModel returns a cluster that grows from three to five controllers: some of the three have been restarted
// with the longer list, the others are at random times, and the two new ones have started.
func newGrowingModel(t *testing.T, seed uint64) *model {
	t.Helper()
	m := newModel(t, 1) // five controllers
	m.rng, m.growing = rand.New(rand.NewPCG(seed, 6)), true
	m.lists = []map[string][]string{{}}
	for i, p := range m.processes {
		p.settings = m.names(5)
		if i < 3 && m.rng.IntN(3) > 0 {
			p.settings = m.names(3)
		}
		m.lists[0][p.name] = p.settings
		m.boot(p)
	}
	return m
}

// boot starts the next incarnation of a process, without the state of the last one.
func (m *model) boot(p *process) {
	peers := slices.DeleteFunc(slices.Clone(p.settings), func(name string) bool { return name == p.name })
	p.incarnation++
	p.view, p.loaded, p.revision = New(Config{p.name, peers, cancelDeadline, agentLeaseTTL}), false, 0
	p.listRevision = 0
	p.heldBeyond, p.acks = map[uint64]bool{}, map[uint64]map[string]bool{}
}

// storeList writes the settings' list of a process to the store.
func (m *model) storeList(p *process) {
	lists := maps.Clone(m.lists[len(m.lists)-1])
	if !slices.Equal(lists[p.name], p.settings) {
		lists[p.name] = p.settings
		m.lists = append(m.lists, lists)
	}
}

// applyLists lets a process know the lists as stored after a change.
func (m *model) applyLists(p *process, change uint64) {
	p.listRevision = max(p.listRevision, change)
	stored := m.lists[p.listRevision]
	var others [][]string
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		if name != p.name && !m.ignoreLists {
			others = append(others, stored[name])
		}
	}
	p.view.SetMemberLists(slices.Equal(stored[p.name], p.settings), others)
}

// knows reports whether a process has another in its settings: it ignores messages of others.
func (p *process) knows(other *process) bool { return slices.Contains(p.settings, other.name) }

// send sends a message between two processes. Some messages are late or delivered more than once.
func (m *model) send(from, to int, deliver func()) {
	if m.cutLinks[[2]int{min(from, to), max(from, to)}] {
		return
	}
	delay := m.randomMillis(300)
	for m.rng.IntN(4) == 0 {
		delay += m.randomMillis(30_000)
		m.delayed = append(m.delayed, message{m.now + delay, deliver})
	}
	m.delayed = append(m.delayed, message{m.now + delay, deliver})
}

// randomMillis returns a random duration below that many milliseconds.
func (m *model) randomMillis(below int) time.Duration {
	return time.Duration(m.rng.IntN(below)) * time.Millisecond
}

// step advances the time and lets one process act, and checks each lease that it renews.
func (m *model) step() {
	m.now += m.randomMillis(200)
	m.deliverDue()
	i := m.rng.IntN(len(m.processes))
	p := m.processes[i]
	m.injectFault(i)
	if m.now < p.pausedUntil {
		return
	}
	storeReachable := !m.storeDown && !p.storeUnreachable
	if storeReachable && m.rng.IntN(3) == 0 {
		if p.loaded {
			m.storeList(p)
		}
		m.readStore(p)
	}
	if storeReachable && p.loaded && m.rng.IntN(8) == 0 {
		m.commitCancellation(p)
	}
	m.acknowledge(i)
	if p.loaded && p.view.IsQueryDue(m.now) {
		m.queryPeers(i)
	}
	m.renewLease(p)
}

// deliverDue delivers all messages that are due.
func (m *model) deliverDue() {
	var due []message
	later := m.delayed[:0]
	for _, msg := range m.delayed {
		if msg.deliverAt <= m.now {
			due = append(due, msg)
		} else {
			later = append(later, msg)
		}
	}
	m.delayed = later
	for _, msg := range due {
		msg.deliver()
	}
}

// injectFault randomly begins or ends a fault, mostly one of process i.
func (m *model) injectFault(i int) {
	p := m.processes[i]
	switch m.rng.IntN(120) {
	case 0:
		m.boot(p)
	case 1:
		m.storeDown = m.rng.IntN(3) > 0
	case 2:
		p.storeUnreachable = m.rng.IntN(2) == 0
	case 3:
		k := m.rng.IntN(len(m.processes))
		m.cutLinks[[2]int{min(i, k), max(i, k)}] = m.rng.IntN(2) == 0
	case 4:
		p.pausedUntil = m.now + m.randomMillis(40_000)
	case 5:
		if m.growing && i < 3 && m.rng.IntN(4) == 0 { // it is restarted with the other list
			p.settings = m.names(len(m.processes) + 3 - len(p.settings))
			m.boot(p)
		}
	case 6:
		if m.growing {
			m.cutBetweenLists(m.rng.IntN(2) == 0)
		}
	}
}

// cutBetweenLists cuts or restores the links between controllers with different lists.
func (m *model) cutBetweenLists(cut bool) {
	for i, p := range m.processes {
		for k := range i {
			if !slices.Equal(p.settings, m.processes[k].settings) {
				m.cutLinks[[2]int{k, i}] = cut
			}
		}
	}
}

// readStore lets a process read the store. The read shows the store as of its sending, and may be answered late.
func (m *model) readStore(p *process) {
	sentAt, shown, incarnation := m.now, m.revision, p.incarnation
	lists := uint64(len(m.lists) - 1)
	answer := func() {
		if p.incarnation != incarnation || m.now < p.pausedUntil {
			return
		}
		p.revision, p.loaded = max(p.revision, shown), true
		m.applyLists(p, lists)
		if m.countFromReply {
			sentAt = m.now
		}
		p.view.ConfirmRead(sentAt)
	}
	if m.rng.IntN(5) == 0 {
		m.delayed = append(m.delayed, message{m.now + m.randomMillis(30_000), answer})
		return
	}
	answer()
}

// commitCancellation lets a process commit a cancellation, which it then wants to acknowledge.
func (m *model) commitCancellation(p *process) {
	m.revision++
	p.heldBeyond[m.revision] = true
	p.acks[m.revision] = map[string]bool{}
}

// acknowledge lets process i acknowledge the cancellations that it may, and sometimes send the others to its
// peers.
func (m *model) acknowledge(i int) {
	p := m.processes[i]
	for _, revision := range slices.Sorted(maps.Keys(p.acks)) {
		acks := p.acks[revision]
		if m.ackWithoutQuorum || p.view.CanAcknowledge(revision, acks) {
			if _, ok := m.acknowledged[revision]; !ok {
				m.acknowledged[revision] = m.now
			}
			delete(p.acks, revision)
			continue
		}
		m.broadcastCancellation(i, revision, acks)
	}
}

// broadcastCancellation lets process i send a cancellation to random peers, and collects those that
// acknowledge holding it.
func (m *model) broadcastCancellation(i int, revision uint64, acks map[string]bool) {
	p := m.processes[i]
	for k, peer := range m.processes {
		incarnation := p.incarnation
		if peer == p || m.rng.IntN(10) > 0 {
			continue
		}
		m.send(i, k, func() {
			if !peer.loaded || m.now < peer.pausedUntil || !peer.knows(p) {
				return
			}
			peer.heldBeyond[revision] = true
			m.send(k, i, func() {
				if p.incarnation == incarnation {
					acks[peer.name] = true
				}
			})
		})
	}
}

// queryPeers lets process i query its peers for the cancellations that it may lack.
func (m *model) queryPeers(i int) {
	p := m.processes[i]
	nonce, since := m.rng.Uint64(), p.revision
	p.view.BeginQuery(m.now, nonce)
	for k, peer := range m.processes {
		if peer == p {
			continue
		}
		m.send(i, k, func() {
			if !peer.loaded && !m.replyUnloaded || m.now < peer.pausedUntil || !peer.knows(p) {
				return
			}
			var held []uint64
			for revision := since + 1; revision <= m.revision; revision++ {
				if peer.holds(revision) {
					held = append(held, revision)
				}
			}
			upTo := peer.revision
			m.send(k, i, func() { m.applyReply(p, peer.name, &nonce, held, upTo) })
		})
	}
}

// applyReply lets a process apply a peer's reply to a query. nonce is shared by all replies to the query, so
// that a broken rule which replaces it also affects the later ones.
func (m *model) applyReply(p *process, peer string, nonce *uint64, held []uint64, upTo uint64) {
	if !p.loaded || m.now < p.pausedUntil {
		return
	}
	if !m.ignorePeers {
		for _, revision := range held {
			p.heldBeyond[revision] = true
		}
		p.view.RecordHeldRevision(peer, upTo)
	}
	if m.acceptAnyNonce {
		*nonce = p.view.queryNonce
	}
	p.view.HandleReply(peer, *nonce)
}

// renewLease lets a process renew a lease if it may, and checks that it holds every cancellation whose deadline
// the lease would exceed.
func (m *model) renewLease(p *process) {
	fresh := p.view.IsFresh(m.now) || m.ignoreStaleness && p.view.initialized
	if !p.loaded || !fresh {
		return
	}
	m.renewed++
	for revision, at := range m.acknowledged {
		if m.now+agentLeaseTTL > at+cancelDeadline && !p.holds(revision) {
			m.violations++
			if !m.countOnly {
				m.t.Fatalf(
					"at %v %s renews a lease and lacks cancellation %d, acknowledged at %v",
					m.now, p.name, revision, at,
				)
			}
		}
	}
}

// MaxStaleness must not be positive for times that allow no renewal, so that such settings are rejected.
func TestMaxStaleness(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		cancelDeadline, agentLeaseTTL time.Duration
		least, most                   time.Duration
	}{
		{"usable", 66 * time.Second, 36 * time.Second, 28 * time.Second, 29 * time.Second},
		{"lease as long as the deadline", 30 * time.Second, 30 * time.Second, -2 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := MaxStaleness(tc.cancelDeadline, tc.agentLeaseTTL)
			if got < tc.least || got > tc.most {
				t.Errorf("got %v, want %v to %v", got, tc.least, tc.most)
			}
		})
	}
}

// A single controller must be a majority by itself, or it could never renew a lease in a store outage.
func TestOneControllerIsItsOwnQuorum(t *testing.T) {
	v := New(Config{"n0", nil, cancelDeadline, agentLeaseTTL})
	v.SetMemberLists(true, nil)
	v.BeginQuery(time.Minute, 7)
	if !v.IsFresh(time.Minute + 10*time.Second) {
		t.Error("the view is not fresh after a query")
	}
	if !v.CanAcknowledge(9, nil) {
		t.Error("a cancellation can't be acknowledged")
	}
}
