package sim

import (
	"dewlift/archive"
	"dewlift/audit"
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// fakeStore stands in for the state service.
type fakeStore struct {
	w              *Simulator
	revision       uint64
	keys           map[string]*wire.KeyValue
	events         []wire.WatchEvent
	leases         map[uint64]*leaseState
	lastLeaseID    uint64
	down           bool
	refusedNodes   map[string]bool
	maxDelay       time.Duration   // what a request takes at most
	stalledWatches map[string]bool // controllers whose reads of changes get no answer
	watches        []*pendingWatch
	limits         storeLimits
	spentWrites    float64
	spentAt        time.Duration
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Duration
}

type pendingWatch struct {
	from    uint64
	respond func()
}

func newFakeStore(w *Simulator) *fakeStore {
	s := &fakeStore{
		w:              w,
		keys:           map[string]*wire.KeyValue{},
		leases:         map[uint64]*leaseState{},
		refusedNodes:   map[string]bool{},
		stalledWatches: map[string]bool{},
		limits:         storeLimits{txnOps: 12, valueBytes: 8192},
	}
	w.schedule(50*time.Millisecond, s.expireLeases)
	return s
}

func (s *fakeStore) expireLeases() {
	if !s.down {
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if s.w.now <= s.leases[id].expiresAt {
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
				s.revision++
			}
			for _, k := range gone {
				delete(s.keys, k)
				s.events = append(s.events, wire.WatchEvent{Delete: k, Revision: s.revision})
			}
			s.notifyWatches()
		}
	}
	s.w.schedule(50*time.Millisecond, s.expireLeases)
}

func (s *fakeStore) notifyWatches() {
	if s.down {
		return
	}
	ws := s.watches
	s.watches = nil
	for _, x := range ws {
		if s.revision > x.from {
			x.respond()
		} else {
			s.watches = append(s.watches, x)
		}
	}
}

func (s *fakeStore) startOutage(d time.Duration) {
	if s.down {
		return
	}
	s.down = true
	s.w.schedule(d, func() {
		s.down = false
		for _, l := range s.leases {
			l.expiresAt = s.w.now + l.ttl
		}
		s.notifyWatches()
	})
}

func (s *fakeStore) refuseNode(node string, d time.Duration) {
	s.refusedNodes[node] = true
	s.w.schedule(d, func() { delete(s.refusedNodes, node) })
}

func (s *fakeStore) isUnavailable(node string) bool { return s.down || s.refusedNodes[node] }

// storeLimits are those of the state service.
type storeLimits struct {
	txnOps, valueBytes int
	writesPerSecond    float64 // changes a second; 0: not limited
}

func (l storeLimits) exceeded(t wire.Txn) bool {
	if len(t.Then) > l.txnOps || len(t.Compare) > 4*l.txnOps {
		return true
	}
	for _, w := range t.Then {
		if len(w.Value) > l.valueBytes {
			return true
		}
	}
	return false
}

// allowWrites takes changes out of what the rate allows, with bursts of a second's worth.
func (s *fakeStore) allowWrites(n int) bool {
	if s.limits.writesPerSecond == 0 {
		return true
	}
	s.spentWrites = max(0, s.spentWrites-(s.w.now-s.spentAt).Seconds()*s.limits.writesPerSecond)
	s.spentAt = s.w.now
	if s.spentWrites+float64(n) > s.limits.writesPerSecond {
		return false
	}
	s.spentWrites += float64(n)
	return true
}

func (s *fakeStore) commit(node string, t wire.Txn) (wire.Status, wire.TxnResponse) {
	if s.isUnavailable(node) {
		return wire.StatusUnavailable, wire.TxnResponse{}
	}
	if s.limits.exceeded(t) {
		return wire.StatusBadRequest, wire.TxnResponse{Error: "too large"}
	}
	if !s.allowWrites(len(t.Then)) {
		return wire.StatusTooManyRequests, wire.TxnResponse{}
	}
	for _, w := range t.Then {
		if w.Put != "" && w.LeaseID != 0 && s.leases[w.LeaseID] == nil {
			return wire.StatusBadRequest, wire.TxnResponse{Error: "no such lease"}
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
		return wire.StatusConflict, wire.TxnResponse{Failed: failed, Revision: s.revision}
	}
	if s.w.options.AuditLog {
		s.w.auditChecker.CheckTxn(s.keys, t)
	}
	s.revision++
	for _, w := range t.Then {
		if w.Put != "" {
			s.keys[w.Put] = &wire.KeyValue{Key: w.Put, Value: w.Value, Revision: s.revision, LeaseID: w.LeaseID}
			s.events = append(s.events, wire.WatchEvent{Put: w.Put, Value: w.Value, Revision: s.revision})
		} else {
			delete(s.keys, w.Delete)
			s.events = append(s.events, wire.WatchEvent{Delete: w.Delete, Revision: s.revision})
		}
	}
	if s.w.options.PriorityClasses {
		s.w.queueOrder.checkTxn(t, s.revision)
	}
	if writesReservations(t) {
		s.w.reservations.checkStored(s.keys)
	}
	s.notifyWatches()
	return wire.StatusOK, wire.TxnResponse{Revision: s.revision}
}

func (s *fakeStore) eventsSince(from uint64) wire.WatchResponse {
	out := wire.WatchResponse{Revision: s.revision}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > from })
	out.Events = append(out.Events, s.events[i:]...)
	return out
}

// serveWatch serves watches; while the service is down or refuses the caller, open ones wait.
func (s *fakeStore) serveWatch(n *node, o core.Watch, back func(core.Input)) {
	out := core.WatchResult{LongPoll: o.LongPoll}
	w := s.w
	if s.stalledWatches[n.name] {
		w.schedule(
			map[bool]time.Duration{false: 2 * time.Second, true: 12 * time.Second}[o.LongPoll],
			func() { back(core.WatchResult{LongPoll: o.LongPoll}) },
		)
		return
	}
	if !o.LongPoll {
		w.rpc(n.name, "state", 2*time.Second, 0, func() time.Duration {
			out.Status = wire.StatusUnavailable
			if !s.isUnavailable(n.name) {
				out.Status, out.Changes = wire.StatusOK, s.eventsSince(o.SinceRevision)
			}
			return 0
		}, func(ok bool) {
			if !ok {
				out = core.WatchResult{}
			}
			back(out)
		})
		return
	}
	over := false
	answer := func(c core.WatchResult) {
		if over {
			return
		}
		over = true
		w.send("state", n.name, func() { back(c) })
	}
	w.schedule(12*time.Second, func() { // the caller gives up
		if !over {
			over = true
			back(core.WatchResult{LongPoll: true})
		}
	})
	w.send(n.name, "state", func() {
		if s.isUnavailable(n.name) {
			answer(core.WatchResult{LongPoll: true, Status: wire.StatusUnavailable})
			return
		}
		x := &pendingWatch{from: o.SinceRevision}
		x.respond = func() {
			if s.refusedNodes[n.name] {
				w.schedule(time.Second, x.respond)
				return
			}
			answer(core.WatchResult{LongPoll: true, Status: wire.StatusOK, Changes: s.eventsSince(o.SinceRevision)})
		}
		if s.revision > o.SinceRevision {
			x.respond()
			return
		}
		s.watches = append(s.watches, x)
	})
}

// rangePage lists the keys with a prefix that lie behind another, in order.
func (s *fakeStore) rangePage(prefix, from string, most int) (items []wire.KeyValue, more bool) {
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

// archivedJobs lists the jobs in the archive.
func (s *fakeStore) archivedJobs() map[string]archive.Entry {
	out := map[string]archive.Entry{}
	for k, it := range s.keys {
		if !strings.HasPrefix(k, archive.BlockPrefix) {
			continue
		}
		b, err := archive.Decode(it.Value)
		if err != nil || archive.BlockKey(b.High) != k {
			s.w.Checker.violated("archive", "%s: %v", k, err)
			continue
		}
		for _, e := range b.Entries {
			if _, twice := out[e.ID]; twice {
				s.w.Checker.violated("archive", "%s is in two blocks", e.ID)
			}
			out[e.ID] = e
		}
	}
	return out
}

// movesToArchive reports whether a transaction moves ended jobs into the archive.
func movesToArchive(t wire.Txn) bool {
	return slices.ContainsFunc(
		t.Then,
		func(x wire.Write) bool { return strings.HasPrefix(x.Put, archive.BlockPrefix) },
	)
}

// writesAuditLog reports whether a transaction extends the audit record.
func writesAuditLog(t wire.Txn) bool {
	return slices.ContainsFunc(t.Then, func(x wire.Write) bool { return strings.HasPrefix(x.Put, audit.BlockPrefix) })
}

// checkJobsKept checks that every accepted job is kept once, by its record or in the archive, and as its
// users were told.
func (w *Simulator) checkJobsKept() {
	in := w.store.archivedJobs()
	for id, j := range w.Checker.jobs {
		e, there := in[id]
		if record := w.store.keys[core.Root+"job/"+id] != nil; j.accepted && record == there {
			w.Checker.violated("forgotten", "%s: has a record: %v, is archived: %v", id, record, there)
		}
		if there &&
			(j.stage == wire.StageDone && e.Cancelled || j.stage == wire.StageCancelled && !e.Cancelled || !e.Cancelled && e.CompletedTasks != j.spec.Tasks) {
			w.Checker.violated("went_back", "%s was called %s and is archived as %+v", id, j.stage, e)
		}
	}
}

const snapshotPageSize = 20 // keys of a page when all are read: small, so that much changes meanwhile

func (s *fakeStore) loadSnapshot(node string, o core.LoadSnapshot) core.SnapshotPage {
	if s.isUnavailable(node) {
		return core.SnapshotPage{Status: wire.StatusUnavailable}
	}
	out := core.SnapshotPage{OK: true, Status: wire.StatusOK, Revision: s.revision}
	out.Items, out.More = s.rangePage(core.Root, o.AfterKey, snapshotPageSize)
	return out
}

func (s *fakeStore) readRange(node string, o core.ReadRange) core.RangeResult {
	out := core.RangeResult{ID: o.ID, Status: wire.StatusUnavailable}
	if s.isUnavailable(node) {
		return out
	}
	out.Status, out.Revision = wire.StatusOK, s.revision
	if o.Key == "" {
		out.Items, out.More = s.rangePage(o.Prefix, o.AfterKey, o.Limit)
	} else if it := s.keys[o.Key]; it != nil {
		out.Items = []wire.KeyValue{*it}
	} else {
		out.Status = wire.StatusNotFound
	}
	return out
}

func (s *fakeStore) serveLease(node string, o core.LeaseRequest) core.LeaseResult {
	out := core.LeaseResult{Op: o.Op, LeaseID: o.LeaseID, Status: wire.StatusUnavailable}
	if s.isUnavailable(node) {
		return out
	}
	out.Status = wire.StatusOK
	if o.Op == core.LeaseGrant {
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &leaseState{o.TTL, s.w.now + o.TTL}
		out.LeaseID = s.lastLeaseID
		return out
	}
	l := s.leases[o.LeaseID]
	if l == nil {
		out.Status = wire.StatusNotFound
		return out
	}
	l.expiresAt = s.w.now + l.ttl
	return out
}

// fakeCloud stands in for the cloud.
type fakeCloud struct {
	w        *Simulator
	machines []*fakeWorker
	byName   map[string]*fakeWorker
	rentals  map[string][]string
	down     bool
}

func newFakeCloud(w *Simulator) *fakeCloud {
	return &fakeCloud{w: w, byName: map[string]*fakeWorker{}, rentals: map[string][]string{}}
}

var catalog = wire.Catalog{Types: []wire.MachineType{
	{
		Name:            "big",
		CPUs:            16,
		MemoryGB:        64,
		LocalDiskGB:     50,
		ImagePullGBPerS: 1,
		Price:           1,
		SpotPrice:       0.4,
		BootS:           8,
		Zones:           zones,
	},
	{
		Name:            "small",
		CPUs:            4,
		MemoryGB:        16,
		LocalDiskGB:     50,
		ImagePullGBPerS: 1,
		Price:           0.3,
		SpotPrice:       0.1,
		BootS:           5,
		Zones:           zones,
	},
}}

func (c *fakeCloud) find(name string) *fakeWorker { return c.byName[name] }

func (c *fakeCloud) randomMachine() *fakeWorker {
	var live []*fakeWorker
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

func (c *fakeCloud) serve(o core.CloudRequest) core.CloudResult {
	out := core.CloudResult{ID: o.ID, Status: wire.StatusOK}
	if c.down || c.w.options.FlakyCloud && c.w.chance(0.7) {
		out.Status, out.Error = wire.StatusUnavailable, "trouble"
		return out
	}
	switch o.Op {
	case core.CloudCatalog:
		k := catalog
		out.Catalog = &k
	case core.CloudScaleOut:
		if names, ok := c.rentals[o.ScaleOut.IdempotencyKey]; ok {
			out.MachineNames = names
			return out
		}
		live := 0
		for _, m := range c.machines {
			if !m.gone {
				live++
			}
		}
		n := min(o.ScaleOut.Count, max(0, c.w.options.MaxMachines-live))
		if n == 0 || !c.w.options.NoFaults && c.w.chance(0.2) {
			out.Status, out.Error = wire.StatusUnavailable, "no capacity"
			return out
		}
		for i := 0; i < n; i++ {
			name := fmt.Sprintf("m-%06d", len(c.machines)+1)
			m := &fakeWorker{w: c.w, machine: wire.Machine{
				Name: name, Addr: "x:" + name, Type: o.ScaleOut.Type, Zone: o.ScaleOut.Zone,
				Spot: o.ScaleOut.Spot, Stage: wire.MachineBooting,
			}, rentedAt: c.w.now, tasks: map[string]*fakeTask{}, images: map[string]bool{}}
			c.machines = append(c.machines, m)
			c.byName[name] = m
			out.MachineNames = append(out.MachineNames, name)
			if c.w.options.NoFaults || !c.w.chance(0.05) {
				boot := c.w.randomDuration(2*time.Second, 12*time.Second)
				if c.w.now < c.w.fastBootsUntil {
					boot = c.w.randomDuration(0, 2*time.Second)
				}
				c.w.schedule(boot, m.start)
			}
			if m.machine.Spot && !c.w.options.NoFaults {
				c.w.schedule(c.w.randomDuration(10*time.Second, 300*time.Second), m.reclaimSpot)
			}
		}
		c.rentals[o.ScaleOut.IdempotencyKey] = out.MachineNames
	case core.CloudScaleIn:
		for _, n := range o.MachineNames {
			if m := c.find(n); m != nil {
				m.returnToCloud()
			}
		}
	case core.CloudList:
		for _, m := range c.machines {
			if m.machine.Name > o.AfterMachine && (!m.gone || m.failed || c.w.now-m.goneAt < 5*time.Second) &&
				c.w.now-m.rentedAt > 3*time.Second &&
				!m.returned {
				if len(out.Machines) == cloudPageSize {
					out.More = true
					break
				}
				e := m.machine
				e.AgeS = (c.w.now - m.rentedAt).Seconds()
				if m.failed {
					e.Stage = wire.MachineFailed
				}
				out.Machines = append(out.Machines, e)
			}
		}
	}
	return out
}

const cloudPageSize = 20

type fakeTask struct {
	job        string
	task       int
	attempt    uint64
	stage      string
	cause      string
	generation int // counts changes, so that old timers do nothing
}

// fakeWorker stands in for a worker and its machine.
type fakeWorker struct {
	w                 *Simulator
	machine           wire.Machine
	rentedAt          time.Duration
	goneAt            time.Duration
	up                bool
	gone              bool
	failed            bool
	returned          bool
	hungUntil         time.Duration // hangs until then
	incarnation       uint64
	seq               uint64
	fencingToken      uint64
	lastAckedAt       time.Duration // when the last answered report was sent, or the session began
	interruptionAt    time.Duration
	tasks             map[string]*fakeTask // by name and attempt
	images            map[string]bool
	controllerIndex   int
	heartbeatInFlight bool
}

func (m *fakeWorker) start() {
	if m.gone {
		return
	}
	m.up, m.incarnation, m.lastAckedAt = true, 1, m.w.now
	m.machine.Stage = wire.MachineRunning
	m.controllerIndex = m.w.rng.IntN(len(m.w.nodes))
	m.heartbeatLoop()
	m.leaseCheckLoop()
}

// hangFor stops the machine for a while; what reaches it meanwhile is executed afterwards.
func (m *fakeWorker) hangFor(d time.Duration) { m.hungUntil = max(m.hungUntil, m.w.now+d) }

func (m *fakeWorker) returnToCloud() {
	if m.gone {
		m.returned = true
		return
	}
	m.returned = true
	m.stopAll()
}

func (m *fakeWorker) fail() {
	m.stopAll()
	m.failed = true
}

func (m *fakeWorker) stopAll() {
	for _, k := range m.taskKeys() {
		m.noteTaskStopped(m.tasks[k])
	}
	m.tasks = map[string]*fakeTask{}
	m.gone, m.up, m.goneAt = true, false, m.w.now
}

// reclaimSpot is the cloud taking a spot machine back, mostly with a notice.
func (m *fakeWorker) reclaimSpot() {
	if m.gone {
		return
	}
	if m.w.chance(0.7) {
		d := m.w.randomDuration(4*time.Second, 12*time.Second)
		m.interruptionAt = m.w.now + d
		m.w.schedule(d, func() {
			if !m.gone {
				m.stopAll()
			}
		})
		return
	}
	m.stopAll()
}

func (m *fakeWorker) taskKeys() []string {
	var out []string
	for k := range m.tasks {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (m *fakeWorker) noteTaskStopped(t *fakeTask) {
	if t.stage == wire.TaskRunning || t.stage == wire.TaskCheckpointing {
		m.w.Checker.TaskStopped(t.job, t.task, m.machine.Name)
	}
}

func (m *fakeWorker) leaseCheckLoop() {
	if m.gone {
		return
	}
	if m.w.now >= m.hungUntil && m.w.now-m.lastAckedAt > m.w.options.WorkerLease {
		for _, k := range m.taskKeys() {
			m.noteTaskStopped(m.tasks[k])
			m.tasks[k].generation++
		}
		m.tasks = map[string]*fakeTask{}
		m.incarnation++
		m.lastAckedAt = m.w.now
	}
	m.w.schedule(100*time.Millisecond, m.leaseCheckLoop)
}

func (m *fakeWorker) heartbeatLoop() {
	if m.gone {
		return
	}
	m.sendHeartbeat()
	m.w.schedule(m.w.randomDuration(heartbeatInterval*3/4, heartbeatInterval*5/4), m.heartbeatLoop)
}

func (m *fakeWorker) nextHeartbeat() *wire.Heartbeat {
	m.seq++
	r := &wire.Heartbeat{
		Machine:      m.machine.Name,
		Addr:         m.machine.Addr,
		Type:         m.machine.Type,
		Zone:         m.machine.Zone,
		Spot:         m.machine.Spot,
		Incarnation:  m.incarnation,
		Sequence:     m.seq,
		FencingToken: m.fencingToken,
	}
	if m.interruptionAt > 0 {
		s := (m.interruptionAt - m.w.now).Seconds()
		r.InterruptionNoticeS = &s
	}
	for _, k := range m.taskKeys() {
		t := m.tasks[k]
		r.Tasks = append(
			r.Tasks,
			wire.TaskStatus{Task: wire.TaskName(t.job, t.task), Attempt: t.attempt, Stage: t.stage, Cause: t.cause},
		)
	}
	return r
}

func (m *fakeWorker) sendHeartbeat() {
	if m.gone || m.heartbeatInFlight || m.w.now < m.hungUntil {
		return
	}
	m.heartbeatInFlight = true
	n := m.w.nodes[m.controllerIndex]
	r := m.nextHeartbeat()
	sent, session := m.w.now, m.incarnation
	over := false
	finish := func(rep core.Response, ok bool) {
		if over || m.gone {
			return
		}
		over = true
		m.heartbeatInFlight = false
		b, isBeat := rep.Body.(wire.HeartbeatResponse)
		if !ok || rep.Status != wire.StatusOK || !isBeat {
			m.controllerIndex = (m.controllerIndex + 1) % len(m.w.nodes)
			m.w.schedule(time.Second, m.sendHeartbeat)
			return
		}
		if b.FencingToken < m.fencingToken || session != m.incarnation || m.w.now < m.hungUntil {
			return
		}
		m.fencingToken = b.FencingToken
		m.lastAckedAt = sent
		m.executeCommands(b.Commands)
	}
	m.w.schedule(4*time.Second, func() { finish(core.Response{}, false) })
	m.w.send(m.machine.Name, n.name, func() {
		if n.down || m.w.now < m.w.outboundBlockedUntil[m.machine.Name] {
			m.w.schedule(time.Millisecond, func() { finish(core.Response{}, false) })
			return
		}
		m.w.onHeartbeat(r)
		m.w.lastRequestID++
		id := m.w.lastRequestID
		n.pendingRequests[id] = func(rep core.Response) { m.w.send(n.name, m.machine.Name, func() { finish(rep, true) }) }
		m.w.deliver(n, core.AgentHeartbeat{RequestID: id, Heartbeat: r})
	})
}

// handleCommands executes direct orders; a hanging machine does so when it goes on.
func (m *fakeWorker) handleCommands(b wire.CommandBatch) (wire.Status, *wire.Heartbeat) {
	if m.gone || !m.up {
		return wire.StatusNoAnswer, nil
	}
	if m.w.now < m.hungUntil {
		m.w.schedule(m.hungUntil-m.w.now+time.Millisecond, func() { m.handleCommands(b) })
		return wire.StatusNoAnswer, nil
	}
	if b.FencingToken < m.fencingToken || b.Incarnation != m.incarnation {
		return wire.StatusConflict, m.nextHeartbeat()
	}
	m.fencingToken = b.FencingToken
	m.executeCommands(b.Commands)
	return wire.StatusOK, m.nextHeartbeat()
}

func (m *fakeWorker) executeCommands(orders []wire.Command) {
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
				m.exitTask(t, wire.CauseStopped)
			}
		case wire.OpClear:
			if t != nil && t.stage == wire.TaskExited {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *fakeWorker) exitTask(t *fakeTask, cause string) {
	m.noteTaskStopped(t)
	t.stage, t.cause = wire.TaskExited, cause
	t.generation++
}

func (m *fakeWorker) startTask(key string, o wire.Command) {
	id, n, _ := wire.SplitTaskName(o.Task)
	t := &fakeTask{job: id, task: n, attempt: o.Attempt, stage: wire.TaskPullingImage}
	m.tasks[key] = t
	j := m.w.Checker.jobs[id]
	if j == nil {
		m.exitTask(t, wire.CauseNoSuchTask)
		return
	}
	for _, x := range m.tasks {
		if x != t && x.stage != wire.TaskExited && x.job == id && x.task == n {
			m.exitTask(t, wire.CauseBusy)
			return
		}
	}
	if m.freeCPU() < 0 {
		m.exitTask(t, wire.CauseNoCapacity)
		return
	}
	run := t.generation
	fetch := time.Duration(0)
	if !m.images[j.spec.Image] {
		fetch = m.w.randomDuration(500*time.Millisecond, 4*time.Second)
	}
	m.w.schedule(fetch, func() {
		if m.gone || t.generation != run {
			return
		}
		m.images[j.spec.Image] = true
		if j.completedTasks[n] {
			m.exitTask(t, wire.CauseDone)
			return
		}
		t.stage = wire.TaskRunning
		m.w.Checker.TaskStarted(m.w.now, id, n, m.machine)
		m.w.queueOrder.jobStarted(id)
		if m.w.Checker.failingJobs[id] != nil {
			m.w.schedule(m.w.randomDuration(100*time.Millisecond, 3*time.Second), func() {
				if !m.gone && t.generation == run {
					m.exitTask(t, wire.CauseError)
				}
			})
			return
		}
		if j.spec.Service {
			return
		}
		most := 25 * time.Second
		if m.w.options.LongTasks {
			most = 80 * time.Second
		}
		m.w.schedule(m.w.randomDuration(2*time.Second, most), func() {
			if m.gone || t.generation != run {
				return
			}
			if !m.w.options.NoFaults && m.w.chance(0.02) {
				m.exitTask(t, wire.CauseError)
				return
			}
			if len(j.completedTasks) == j.spec.Tasks-1 && !j.completedTasks[n] {
				m.w.onLastTaskEnding(id)
			}
			m.w.Checker.TaskCompleted(id, n)
			m.exitTask(t, wire.CauseDone)
			m.sendHeartbeat()
		})
	})
}
