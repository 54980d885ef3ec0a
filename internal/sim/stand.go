package sim

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/wire"
)

// stateService stands in for the state service.
type stateService struct {
	w       *World
	ledger  uint64
	keys    map[string]*wire.KeyValue
	log     []wire.WatchEvent
	leases  map[uint64]*leaseState
	nextID  uint64
	down    bool
	refused map[string]bool
	slow    time.Duration   // what a request takes at most
	stuck   map[string]bool // controllers whose reads of changes get no answer
	watches []*watch
	limits  limits
	paid    float64
	paidAt  time.Duration
}

type leaseState struct {
	ttl time.Duration
	end time.Duration
}

type watch struct {
	from uint64
	fire func()
}

func newState(w *World) *stateService {
	s := &stateService{w: w, keys: map[string]*wire.KeyValue{}, leases: map[uint64]*leaseState{}, refused: map[string]bool{}, stuck: map[string]bool{},
		limits: limits{ops: 12, value: 8192}}
	w.after(50*time.Millisecond, s.expire)
	return s
}

func (s *stateService) expire() {
	if !s.down {
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if s.w.now <= s.leases[id].end {
				continue
			}
			delete(s.leases, id)
			var gone []string
			for k, it := range s.keys {
				if it.LeaseID == id {
					gone = append(gone, k)
				}
			}
			sort.Strings(gone)
			if len(gone) > 0 {
				s.ledger++
			}
			for _, k := range gone {
				delete(s.keys, k)
				s.log = append(s.log, wire.WatchEvent{Delete: k, Revision: s.ledger})
			}
			s.wake()
		}
	}
	s.w.after(50*time.Millisecond, s.expire)
}

func (s *stateService) wake() {
	if s.down {
		return
	}
	ws := s.watches
	s.watches = nil
	for _, x := range ws {
		if s.ledger > x.from {
			x.fire()
		} else {
			s.watches = append(s.watches, x)
		}
	}
}

func (s *stateService) outage(d time.Duration) {
	if s.down {
		return
	}
	s.down = true
	s.w.after(d, func() {
		s.down = false
		for _, l := range s.leases {
			l.end = s.w.now + l.ttl
		}
		s.wake()
	})
}

func (s *stateService) refuse(node string, d time.Duration) {
	s.refused[node] = true
	s.w.after(d, func() { delete(s.refused, node) })
}

func (s *stateService) bad(node string) bool { return s.down || s.refused[node] }

// limits are those of the state service.
type limits struct {
	ops, value int
	rate       float64 // changes a second; 0: not limited
}

func (l limits) exceeded(t wire.Txn) bool {
	if len(t.Then) > l.ops || len(t.Compare) > 4*l.ops {
		return true
	}
	for _, w := range t.Then {
		if len(w.Value) > l.value {
			return true
		}
	}
	return false
}

// pay takes changes out of what the rate allows, with bursts of a second's worth.
func (s *stateService) pay(n int) bool {
	if s.limits.rate == 0 {
		return true
	}
	s.paid = max(0, s.paid-(s.w.now-s.paidAt).Seconds()*s.limits.rate)
	s.paidAt = s.w.now
	if s.paid+float64(n) > s.limits.rate {
		return false
	}
	s.paid += float64(n)
	return true
}

func (s *stateService) commit(node string, t wire.Txn) (int, wire.TxnResponse) {
	if s.bad(node) {
		return 503, wire.TxnResponse{}
	}
	if s.limits.exceeded(t) {
		return 400, wire.TxnResponse{Error: "too large"}
	}
	if !s.pay(len(t.Then)) {
		return 429, wire.TxnResponse{}
	}
	for _, w := range t.Then {
		if w.Put != "" && w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return 400, wire.TxnResponse{Error: "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.Compare {
		var mark uint64
		if it := s.keys[c.Key]; it != nil {
			mark = it.Revision
		}
		if mark != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, wire.TxnResponse{Failed: failed, Revision: s.ledger}
	}
	if s.w.opt.Audit {
		s.w.recorder.Txn(s.keys, t)
	}
	s.ledger++
	for _, w := range t.Then {
		if w.Put != "" {
			s.keys[w.Put] = &wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.ledger, LeaseID: w.LeaseID}
			s.log = append(s.log, wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: s.ledger})
		} else {
			delete(s.keys, w.Delete)
			s.log = append(s.log, wire.WatchEvent{Delete: w.Delete, Revision: s.ledger})
		}
	}
	if s.w.opt.Lanes {
		s.w.order.stored(t, s.ledger)
	}
	if books(t) {
		s.w.booked.stored(s.keys)
	}
	s.wake()
	return 200, wire.TxnResponse{Revision: s.ledger}
}

func (s *stateService) since(from uint64) wire.WatchResponse {
	out := wire.WatchResponse{Revision: s.ledger}
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > from })
	out.Events = append(out.Events, s.log[i:]...)
	return out
}

// changes serves watches; while the service is down or refuses the caller, open ones wait.
func (s *stateService) changes(n *node, o core.Changes, back func(core.Input)) {
	out := core.Changed{Hold: o.Hold}
	w := s.w
	if s.stuck[n.name] {
		w.after(map[bool]time.Duration{false: 2 * time.Second, true: 12 * time.Second}[o.Hold], func() { back(core.Changed{Hold: o.Hold}) })
		return
	}
	if !o.Hold {
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration {
			out.Status = 503
			if !s.bad(n.name) {
				out.Status, out.Changes = 200, s.since(o.From)
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out = core.Changed{}
			}
			back(out)
		})
		return
	}
	over := false
	answer := func(c core.Changed) {
		if over {
			return
		}
		over = true
		w.send("state", n.name, func() { back(c) })
	}
	w.after(12*time.Second, func() { // the caller gives up
		if !over {
			over = true
			back(core.Changed{Hold: true})
		}
	})
	w.send(n.name, "state", func() {
		if s.bad(n.name) {
			answer(core.Changed{Hold: true, Status: 503})
			return
		}
		x := &watch{from: o.From}
		x.fire = func() {
			if s.refused[n.name] {
				w.after(time.Second, x.fire)
				return
			}
			answer(core.Changed{Hold: true, Status: 200, Changes: s.since(o.From)})
		}
		if s.ledger > o.From {
			x.fire()
			return
		}
		s.watches = append(s.watches, x)
	})
}

// page lists the keys with a prefix that lie behind another, in order.
func (s *stateService) page(prefix, from string, most int) (items []wire.KeyValue, more bool) {
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > from {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	if more = len(names) > most; more {
		names = names[:most]
	}
	for _, k := range names {
		items = append(items, *s.keys[k])
	}
	return items, more
}

// archived lists the jobs in the archive.
func (s *stateService) archived() map[string]archive.Entry {
	out := map[string]archive.Entry{}
	for k, it := range s.keys {
		if !strings.HasPrefix(k, archive.BlockPrefix) {
			continue
		}
		b, err := archive.Decode(it.Value)
		if err != nil || archive.BlockKey(b.High) != k {
			s.w.Check.broken("archive", "%s: %v", k, err)
			continue
		}
		for _, e := range b.Entries {
			if _, twice := out[e.ID]; twice {
				s.w.Check.broken("archive", "%s is in two blocks", e.ID)
			}
			out[e.ID] = e
		}
	}
	return out
}

// moves reports whether a transaction moves ended jobs into the archive.
func moves(t wire.Txn) bool {
	return slices.ContainsFunc(t.Then, func(x wire.Write) bool { return strings.HasPrefix(x.Put, archive.BlockPrefix) })
}

// records reports whether a transaction extends the audit record.
func records(t wire.Txn) bool {
	return slices.ContainsFunc(t.Then, func(x wire.Write) bool { return strings.HasPrefix(x.Put, audit.BlockPrefix) })
}

// checkKept checks that every accepted job is kept once, by its record or in the archive, and as its
// users were told.
func (w *World) checkKept() {
	in := w.state.archived()
	for id, j := range w.Check.jobs {
		e, there := in[id]
		if record := w.state.keys[core.Root+"job/"+id] != nil; j.accepted && record == there {
			w.Check.broken("forgotten", "%s: has a record: %v, is archived: %v", id, record, there)
		}
		if there && (j.stage == wire.StageDone && e.Cancelled || j.stage == wire.StageCancelled && !e.Cancelled || !e.Cancelled && e.CompletedTasks != j.spec.Tasks) {
			w.Check.broken("went_back", "%s was called %s and is archived as %+v", id, j.stage, e)
		}
	}
}

const loadPage = 20 // keys of a page when all are read: small, so that much changes meanwhile

func (s *stateService) load(node string, o core.Load) core.Loaded {
	if s.bad(node) {
		return core.Loaded{Status: 503}
	}
	out := core.Loaded{OK: true, Status: 200, Ledger: s.ledger}
	out.Items, out.More = s.page(core.Root, o.From, loadPage)
	return out
}

func (s *stateService) scan(node string, o core.Scan) core.Scanned {
	out := core.Scanned{ID: o.ID, Status: 503}
	if s.bad(node) {
		return out
	}
	out.Status, out.Ledger = 200, s.ledger
	if o.Key == "" {
		out.Items, out.More = s.page(o.Prefix, o.From, o.Most)
	} else if it := s.keys[o.Key]; it != nil {
		out.Items = []wire.KeyValue{*it}
	} else {
		out.Status = 404
	}
	return out
}

func (s *stateService) leaseOp(node string, o core.LeaseOp) core.Leased {
	out := core.Leased{Op: o.Op, Lease: o.Lease, Status: 503}
	if s.bad(node) {
		return out
	}
	out.Status = 200
	if o.Op == "grant" {
		s.nextID++
		s.leases[s.nextID] = &leaseState{o.TTL, s.w.now + o.TTL}
		out.Lease = s.nextID
		return out
	}
	l := s.leases[o.Lease]
	if l == nil {
		out.Status = 404
		return out
	}
	l.end = s.w.now + l.ttl
	return out
}

// cloudStandIn stands in for the cloud.
type cloudStandIn struct {
	w        *World
	machines []*workerStandIn
	byName   map[string]*workerStandIn
	hires    map[string][]string
	down     bool
}

func newCloud(w *World) *cloudStandIn {
	return &cloudStandIn{w: w, byName: map[string]*workerStandIn{}, hires: map[string][]string{}}
}

var catalog = wire.Catalog{Types: []wire.MachineType{
	{Name: "big", CPUs: 16, MemoryGB: 64, LocalDiskGB: 50, ImagePullGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 8, Zones: zones},
	{Name: "small", CPUs: 4, MemoryGB: 16, LocalDiskGB: 50, ImagePullGBPerS: 1, Price: 0.3, SpotPrice: 0.1, BootS: 5, Zones: zones},
}}

func (c *cloudStandIn) find(name string) *workerStandIn { return c.byName[name] }

func (c *cloudStandIn) random() *workerStandIn {
	var live []*workerStandIn
	for _, m := range c.machines {
		if !m.gone && m.up {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[c.w.rng.IntN(len(live))]
}

func (c *cloudStandIn) do(o core.CloudOp) core.Clouded {
	out := core.Clouded{ID: o.ID, Status: 200}
	if c.down || c.w.opt.CloudBad && c.w.chance(0.7) {
		out.Status, out.Error = 503, "trouble"
		return out
	}
	switch o.Op {
	case "catalog":
		k := catalog
		out.Catalog = &k
	case "rent":
		if names, ok := c.hires[o.Rent.IdempotencyKey]; ok {
			out.Names = names
			return out
		}
		live := 0
		for _, m := range c.machines {
			if !m.gone {
				live++
			}
		}
		n := min(o.Rent.Count, max(0, c.w.opt.Fleet-live))
		if n == 0 || !c.w.opt.Quiet && c.w.chance(0.2) {
			out.Status, out.Error = 503, "no capacity"
			return out
		}
		for i := 0; i < n; i++ {
			name := fmt.Sprintf("m-%06d", len(c.machines)+1)
			m := &workerStandIn{w: c.w, m: wire.Machine{Name: name, Addr: "x:" + name, Type: o.Rent.Type, Zone: o.Rent.Zone,
				Spot: o.Rent.Spot, Stage: wire.MachineBooting}, born: c.w.now, tasks: map[string]*workerTask{}, images: map[string]bool{}}
			c.machines = append(c.machines, m)
			c.byName[name] = m
			out.Names = append(out.Names, name)
			if c.w.opt.Quiet || !c.w.chance(0.05) {
				boot := c.w.between(2*time.Second, 12*time.Second)
				if c.w.now < c.w.fastBoots {
					boot = c.w.between(0, 2*time.Second)
				}
				c.w.after(boot, m.start)
			}
			if m.m.Spot && !c.w.opt.Quiet {
				c.w.after(c.w.between(10*time.Second, 300*time.Second), m.take)
			}
		}
		c.hires[o.Rent.IdempotencyKey] = out.Names
	case "return":
		for _, n := range o.Names {
			if m := c.find(n); m != nil {
				m.end()
			}
		}
	case "list":
		for _, m := range c.machines {
			if m.m.Name > o.From && (!m.gone || m.failed || c.w.now-m.ended < 5*time.Second) && c.w.now-m.born > 3*time.Second && !m.deleted {
				if len(out.Machines) == listPage {
					out.More = true
					break
				}
				e := m.m
				e.AgeS = (c.w.now - m.born).Seconds()
				if m.failed {
					e.Stage = wire.MachineFailed
				}
				out.Machines = append(out.Machines, e)
			}
		}
	}
	return out
}

const listPage = 20

type workerTask struct {
	job   string
	task  int
	try   uint64
	stage string
	cause string
	run   int // counts changes, so that old timers do nothing
}

// workerStandIn stands in for a worker and its machine.
type workerStandIn struct {
	w        *World
	m        wire.Machine
	born     time.Duration
	ended    time.Duration
	up       bool
	gone     bool
	failed   bool
	deleted  bool
	frozen   time.Duration // hangs until then
	session  uint64
	seq      uint64
	token    uint64
	answered time.Duration // when the last answered report was sent, or the session began
	notice   time.Duration
	tasks    map[string]*workerTask // by name and attempt
	images   map[string]bool
	at       int
	inFlight bool
}

func (m *workerStandIn) start() {
	if m.gone {
		return
	}
	m.up, m.session, m.answered = true, 1, m.w.now
	m.m.Stage = wire.MachineRunning
	m.at = m.w.rng.IntN(len(m.w.nodes))
	m.loop()
	m.leaseLoop()
}

// hang stops the machine for a while; what reaches it meanwhile is executed afterwards.
func (m *workerStandIn) hang(d time.Duration) { m.frozen = max(m.frozen, m.w.now+d) }

func (m *workerStandIn) end() {
	if m.gone {
		m.deleted = true
		return
	}
	m.deleted = true
	m.stopAll()
}

func (m *workerStandIn) die() {
	m.stopAll()
	m.failed = true
}

func (m *workerStandIn) stopAll() {
	for _, k := range m.names() {
		m.off(m.tasks[k])
	}
	m.tasks = map[string]*workerTask{}
	m.gone, m.up, m.ended = true, false, m.w.now
}

// take is the cloud taking a spot machine back, mostly with a notice.
func (m *workerStandIn) take() {
	if m.gone {
		return
	}
	if m.w.chance(0.7) {
		d := m.w.between(4*time.Second, 12*time.Second)
		m.notice = m.w.now + d
		m.w.after(d, func() {
			if !m.gone {
				m.stopAll()
			}
		})
		return
	}
	m.stopAll()
}

func (m *workerStandIn) names() []string {
	var out []string
	for k := range m.tasks {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (m *workerStandIn) off(t *workerTask) {
	if t.stage == wire.TaskRunning || t.stage == wire.TaskCheckpointing {
		m.w.Check.Off(t.job, t.task, m.m.Name)
	}
}

func (m *workerStandIn) leaseLoop() {
	if m.gone {
		return
	}
	if m.w.now >= m.frozen && m.w.now-m.answered > m.w.opt.Lease {
		for _, k := range m.names() {
			m.off(m.tasks[k])
			m.tasks[k].run++
		}
		m.tasks = map[string]*workerTask{}
		m.session++
		m.answered = m.w.now
	}
	m.w.after(100*time.Millisecond, m.leaseLoop)
}

func (m *workerStandIn) loop() {
	if m.gone {
		return
	}
	m.beat()
	m.w.after(m.w.between(reportEvery*3/4, reportEvery*5/4), m.loop)
}

func (m *workerStandIn) report() *wire.Heartbeat {
	m.seq++
	r := &wire.Heartbeat{Machine: m.m.Name, Addr: m.m.Addr, Type: m.m.Type, Zone: m.m.Zone, Spot: m.m.Spot, Incarnation: m.session,
		Sequence: m.seq, FencingToken: m.token}
	if m.notice > 0 {
		s := (m.notice - m.w.now).Seconds()
		r.InterruptionNoticeS = &s
	}
	for _, k := range m.names() {
		t := m.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(t.job, t.task), Attempt: t.try, Stage: t.stage, Cause: t.cause})
	}
	return r
}

func (m *workerStandIn) beat() {
	if m.gone || m.inFlight || m.w.now < m.frozen {
		return
	}
	m.inFlight = true
	n := m.w.nodes[m.at]
	r := m.report()
	sent, session := m.w.now, m.session
	over := false
	finish := func(rep core.Reply, ok bool) {
		if over || m.gone {
			return
		}
		over = true
		m.inFlight = false
		b, isBeat := rep.Body.(wire.HeartbeatResponse)
		if !ok || rep.Status != 200 || !isBeat {
			m.at = (m.at + 1) % len(m.w.nodes)
			m.w.after(time.Second, m.beat)
			return
		}
		if b.FencingToken < m.token || session != m.session || m.w.now < m.frozen {
			return
		}
		m.token = b.FencingToken
		m.answered = sent
		m.execute(b.Commands)
	}
	m.w.after(4*time.Second, func() { finish(core.Reply{}, false) })
	m.w.send(m.m.Name, n.name, func() {
		if n.down || m.w.now < m.w.muted[m.m.Name] {
			m.w.after(time.Millisecond, func() { finish(core.Reply{}, false) })
			return
		}
		m.w.lateReport(r)
		m.w.req++
		id := m.w.req
		n.reqs[id] = func(rep core.Reply) { m.w.send(n.name, m.m.Name, func() { finish(rep, true) }) }
		m.w.step(n, core.Beat{Req: id, Report: r})
	})
}

// orders executes direct orders; a hanging machine does so when it goes on.
func (m *workerStandIn) orders(b wire.CommandBatch) (int, *wire.Heartbeat) {
	if m.gone || !m.up {
		return 0, nil
	}
	if m.w.now < m.frozen {
		m.w.after(m.frozen-m.w.now+time.Millisecond, func() { m.orders(b) })
		return 0, nil
	}
	if b.FencingToken < m.token || b.Incarnation != m.session {
		return 409, m.report()
	}
	m.token = b.FencingToken
	m.execute(b.Commands)
	return 200, m.report()
}

func (m *workerStandIn) execute(orders []wire.Command) {
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
		t := m.tasks[key]
		switch o.Op {
		case wire.OpStart:
			if t == nil {
				m.startTask(key, o)
			}
		case wire.OpStop:
			if t != nil && t.stage != wire.TaskExited {
				m.exit(t, wire.CauseStopped)
			}
		case wire.OpClear:
			if t != nil && t.stage == wire.TaskExited {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *workerStandIn) exit(t *workerTask, cause string) {
	m.off(t)
	t.stage, t.cause = wire.TaskExited, cause
	t.run++
}

func (m *workerStandIn) startTask(key string, o wire.Command) {
	id, n, _ := wire.SplitTaskName(o.Task)
	t := &workerTask{job: id, task: n, try: o.Attempt, stage: wire.TaskPullingImage}
	m.tasks[key] = t
	j := m.w.Check.jobs[id]
	if j == nil {
		m.exit(t, wire.CauseNoSuchTask)
		return
	}
	for _, x := range m.tasks {
		if x != t && x.stage != wire.TaskExited && x.job == id && x.task == n {
			m.exit(t, wire.CauseBusy)
			return
		}
	}
	if m.room() < 0 {
		m.exit(t, wire.CauseNoCapacity)
		return
	}
	run := t.run
	fetch := time.Duration(0)
	if !m.images[j.spec.Image] {
		fetch = m.w.between(500*time.Millisecond, 4*time.Second)
	}
	m.w.after(fetch, func() {
		if m.gone || t.run != run {
			return
		}
		m.images[j.spec.Image] = true
		if j.done[n] {
			m.exit(t, wire.CauseDone)
			return
		}
		t.stage = wire.TaskRunning
		m.w.Check.On(m.w.now, id, n, m.m)
		m.w.order.begins(id)
		if m.w.Check.mistaken[id] != nil {
			m.w.after(m.w.between(100*time.Millisecond, 3*time.Second), func() {
				if !m.gone && t.run == run {
					m.exit(t, wire.CauseError)
				}
			})
			return
		}
		if j.spec.Service {
			return
		}
		most := 25 * time.Second
		if m.w.opt.Apart {
			most = 80 * time.Second
		}
		m.w.after(m.w.between(2*time.Second, most), func() {
			if m.gone || t.run != run {
				return
			}
			if !m.w.opt.Quiet && m.w.chance(0.02) {
				m.exit(t, wire.CauseError)
				return
			}
			if len(j.done) == j.spec.Tasks-1 && !j.done[n] {
				m.w.atEnd(id)
			}
			m.w.Check.Completed(id, n)
			m.exit(t, wire.CauseDone)
			m.beat()
		})
	})
}
