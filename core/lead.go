package core

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/allocation"
	"dewlift/core/jobrecord"
	"dewlift/wire"

	"github.com/cespare/xxhash/v2"
)

// leadMachine is what the leader keeps about a machine.
type leadMachine struct {
	account allocation.Tracker
	told    time.Duration          // when a tuple of it came last
	counted time.Duration          // when its row was worked out last; 0: it has none
	rented  time.Duration          // when it was rented, by our clock; 0: not known
	emptyAt time.Duration          // since when it has had no task; 0: it has some
	cordon  time.Duration          // since when it is being returned as idle; 0: it is not
	closed  bool                   // offered last: the rest of the machines has room enough
	keep    clusterstate.Resources // room kept for work that may not use spot machines
	why     string                 // why it must be returned; "": it need not
	cut     bool                   // it is quiet with most of its zone: others are to take its work over
}

type rental struct {
	req   wire.ScaleOutRequest
	busy  bool
	sent  bool // it may have been executed: only the same name may be asked again
	again time.Duration
}

// lead is the state of the leader's term: the array, and the dealings with the cloud.
type lead struct {
	token    uint64
	since    time.Duration
	array    *clusterstate.Array
	acks     map[string]uint64
	pushAt   time.Duration
	pushed   time.Duration
	pushRev  uint64        // of the array, as it was pushed last; 0: not yet
	fullAt   time.Duration // when the whole array is due again
	planAt   time.Duration
	noteAt   time.Duration
	listAt   time.Duration
	listed   bool
	listing  bool
	asks     int    // rounds in which others were asked for quiet machines
	listFrom string // the next page begins after this machine

	rentals  map[string]*rental
	blocked  map[pool]time.Duration
	hires    int
	calls    float64 // budget of cloud calls
	callsAt  time.Duration
	backoff  time.Duration
	returnOp bool
	gone     []string // told with every whole array
	goneNew  []string // told with the next push
	hold     *Hold
	unmet    int                     // jobs for which the last plan found no room
	stops    []StopMsg               // for the next push
	stopped  map[int32]time.Duration // when room was last made for a job
	cleanup  []string                // failed machines that are still listed
	pushNow  bool
}

// getCatalog keeps the machine types; every controller needs them.
func (c *Core) getCatalog() {
	if c.autoscaler.catalogInFlight || c.now < c.autoscaler.nextCatalogAt {
		return
	}
	c.autoscaler.catalogInFlight = true
	id := c.id()
	c.autoscaler.calls[id] = func(in Clouded) {
		c.autoscaler.catalogInFlight = false
		if in.Status != 200 || in.Catalog == nil {
			c.autoscaler.nextCatalogAt = c.now + 500*time.Millisecond + c.jitter(time.Second)
			return
		}
		c.autoscaler.nextCatalogAt = c.now + 45*time.Second + c.jitter(15*time.Second)
		if c.autoscaler.storedRevision == 0 {
			c.autoscaler.nextCatalogAt = c.now + 5*time.Second // until the leader has kept it
		}
		c.setCatalog(in.Catalog)
		c.keepCatalog(in.Catalog)
	}
	c.emit(CloudOp{ID: id, Op: "catalog"})
}

// setCatalog takes the machine types that make sense.
func (c *Core) setCatalog(k *wire.Catalog) {
	next := map[string]*wire.MachineType{}
	for i := range k.Types {
		t := &k.Types[i]
		if t.Name == "" || !(t.CPUs > 0) || t.CPUs > 1e6 || t.GPUs < 0 || !(t.MemoryGB > 0) || !(t.Price >= 0) {
			c.note("error", "machine type not understood", "type", t.Name)
			continue
		}
		next[t.Name] = t
	}
	if len(next) > 0 {
		c.autoscaler.catalog, c.autoscaler.typeNames = next, sortedKeys(next)
	}
}

// keepCatalog has the leader keep the machine types in the state service: a controller that
// restarts while the cloud is down would otherwise serve nobody until it is back.
func (c *Core) keepCatalog(k *wire.Catalog) {
	if c.lead == nil || c.autoscaler.storeInFlight || !c.leaseOK() {
		return
	}
	same := slices.EqualFunc(k.Types, c.autoscaler.storedCatalog.Types, func(a, b wire.MachineType) bool {
		return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.Price == b.Price &&
			a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
	})
	if same {
		return
	}
	raw, err := jobrecord.EncodeCatalog(k, c.cfg.ValueBytes, c.form() >= formAwaits)
	if err != nil || len(raw) > c.cfg.ValueBytes {
		return
	}
	c.autoscaler.storeInFlight = true
	t := wire.Txn{Compare: []wire.Compare{{Key: keyTypes, Revision: c.autoscaler.storedRevision}}, Then: []wire.Write{{Put: keyTypes, Value: raw}}}
	c.commit(t, &txn{done: func(int, wire.TxnResponse) { c.autoscaler.storeInFlight = false }})
}

func (c *Core) leadStep() {
	c.getCatalog()
	if !c.leads() || !c.leaseOK() {
		if !c.leads() {
			c.lead = nil
		}
		return
	}
	if c.lead == nil || c.lead.token != c.leadership.leader.Token {
		c.lead = &lead{token: c.leadership.leader.Token, since: c.now, array: clusterstate.NewArray(), acks: map[string]uint64{},
			rentals: map[string]*rental{}, stopped: map[int32]time.Duration{}, blocked: map[pool]time.Duration{}, callsAt: c.now}
		for _, m := range c.alive {
			r := m.lead.rented
			m.lead = leadMachine{rented: r}
			c.leadSaw(m)
		}
		c.note("info", "leading", "token", c.lead.token)
	}
	l := c.lead
	l.calls = min(l.calls+(c.now-l.callsAt).Seconds()*c.cfg.CloudRPS, c.cfg.CloudRPS)
	l.callsAt = c.now
	if c.autoscaler.catalog == nil {
		return
	}
	if c.now >= l.planAt {
		l.planAt = c.now + c.planGap()
		c.getList()
		c.watchMachines()
		if l.listed && c.now-l.since > 2*time.Second {
			c.plan()
			if len(l.rentals) == 0 && l.unmet > manyWait { // there is nothing to rent, so the next plan is much like this one
				l.planAt += c.planGap()
			}
		}
		c.rentSome()
		c.returnSome()
	}
	if c.now >= l.pushAt || l.pushNow && c.now >= l.pushed+c.cfg.PushGap {
		c.push()
	}
}

const goneKept = 2000 // machines whose end is told with every whole array

// leadSaw gives a machine a row at its first report.
func (c *Core) leadSaw(m *machine) {
	if c.lead == nil || m.lifecycle.gone || !m.status.reported || m.lead.counted != 0 || c.autoscaler.catalog == nil {
		return
	}
	if c.count(m) {
		c.lead.pushNow = c.lead.pushNow || c.cfg.PushEvery < 3*time.Second
	}
}

// occupied is the room taken on a machine, by the committed assignments and its report.
func (c *Core) occupied(m *machine) clusterstate.Resources {
	if m.allocation.known {
		return m.allocation.allocated
	}
	var occ clusterstate.Resources
	for k, a := range m.allocation.assignments {
		if p := m.status.tasks[attKey{k.job, k.task, a.Attempt}]; p.state == wire.TaskExited {
			continue // ended, only the write of it is not seen yet
		}
		if s := c.jobs[k.job].rec.Spec; s != nil {
			occ = occ.AddScaled(s.Request, 1)
		}
	}
	known := true
	for k, p := range m.status.tasks {
		if p.state == wire.TaskExited {
			continue
		}
		if a, ok := m.allocation.assignments[taskKey{k.job, k.task}]; ok && a.Attempt == k.try {
			continue
		}
		if r := c.jobs[k.job].rec; r != nil && r.Spec != nil {
			occ = occ.AddScaled(r.Spec.Request, 1)
		} else {
			known = false // its job's record may come, without a change here
		}
	}
	m.allocation.allocated, m.allocation.known = occ, known
	return occ
}

// count works out a machine's row.
func (c *Core) count(m *machine) bool {
	t := c.autoscaler.catalog[m.identity.machineType]
	if t == nil {
		return false
	}
	seen := make([]allocation.ObservedTask, 0, len(m.allocation.assignments))
	for k, a := range m.allocation.assignments {
		if s := c.jobs[k.job].rec.Spec; s != nil {
			seen = append(seen, allocation.ObservedTask{AttemptKey: taskHash(c.jobs[k.job].id, k.task, a.Attempt), Request: s.Request})
		}
	}
	for k, p := range m.status.tasks {
		if a, ok := m.allocation.assignments[taskKey{k.job, k.task}]; ok && a.Attempt == k.try || p.state == wire.TaskExited {
			continue
		}
		if r := c.jobs[k.job].rec; r != nil && r.Spec != nil {
			seen = append(seen, allocation.ObservedTask{AttemptKey: taskHash(c.jobs[k.job].id, k.task, k.try), Request: r.Spec.Request})
		}
	}
	c.lead.array.SetMachine(m.idx, t.Capacity(), m.lead.account.Allocated(c.now, seen), c.offered(m))
	m.lead.counted = max(1, c.now)
	return true
}

// taskHash names an attempt in tuples.
func taskHash(job string, task int32, try uint64) uint64 {
	raw := append(make([]byte, 0, 64), job...)
	raw = binary.LittleEndian.AppendUint32(raw, uint32(task))
	return max(1, xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, try)))
}

func (c *Core) offered(m *machine) bool {
	return m.lead.cordon == 0 && m.lead.why == "" && m.lifecycle.interruptionDeadline == 0 && !m.lifecycle.returnRequested
}

// take counts a controller's tuples.
func (l *lead) take(c *Core, from string, d *Deltas) {
	if d.Seq <= l.acks[from] && d.Seq > 1 {
		return
	}
	l.acks[from] = d.Seq
	for _, t := range d.List {
		m := c.machine(t.Machine)
		m.lead.told = c.now
		m.lead.account.RecordDelta(c.now, t.Start, t.Key, t.Claim)
	}
}

// push sends the array to all controllers: the rows that changed since the last push, and from
// time to time all of them.
func (c *Core) push() {
	l := c.lead
	l.pushAt, l.pushNow, l.pushed = c.now+c.cfg.PushEvery, false, c.now
	for _, m := range c.alive {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		// Tuples can be lost: a row with open ones is worked out again now and then.
		if last := max(m.lead.told, m.status.lastChangeAt); last >= m.lead.counted || m.lead.account.HasPending() && c.now-m.lead.counted > time.Second {
			c.count(m)
		}
		l.array.SetOffer(m.idx, c.offered(m), m.lead.closed, m.lead.keep)
	}
	p := &Push{Token: l.token, Acks: map[string]uint64{}, After: l.pushRev}
	for k, v := range l.acks {
		p.Acks[k] = v
	}
	p.Gone, l.goneNew = l.goneNew, nil
	if c.now >= l.fullAt || l.pushRev == 0 {
		p.After = 0
		l.fullAt = c.now + c.cfg.WholePush
		l.gone = l.gone[max(0, len(l.gone)-goneKept):]
		p.Gone = slices.Clone(l.gone)
	}
	rows, rev := l.array.ChangedSince(p.After)
	p.Rev, l.pushRev = rev, rev
	for _, r := range rows {
		m := c.machines[r.Machine]
		p.Rows = append(p.Rows, PushRow{Machine: m.name, Type: m.identity.machineType, Zone: m.identity.zone, Spot: m.identity.spot,
			Avail: r.Available, Occ: r.Allocated, Keep: r.Reserved, Last: r.OfferedLast, Closed: !r.Schedulable})
	}
	p.Stop, l.stops = l.stops, nil
	p.Hold = l.hold
	c.tell("", Msg{Push: p})
	c.pushed(p)
}

// tellGone has the others told that a machine is gone.
func (l *lead) tellGone(name string) {
	l.gone = append(l.gone, name)
	l.goneNew = append(l.goneNew, name)
	l.pushNow = true
}

// asked returns machines whose tasks' owners need proof that they are gone. For silence the
// leader's own ears count.
func (l *lead) asked(c *Core, must, silent []string) {
	look := func(n string) *machine {
		m := c.machine(n)
		if !m.lifecycle.gone {
			return m
		}
		if !slices.Contains(l.goneNew, n) {
			l.tellGone(n)
		}
		return nil
	}
	for _, n := range must {
		if m := look(n); m != nil {
			c.mustReturn(m, "holds cancelled tasks")
		}
	}
	for _, n := range silent {
		look(n) // a silent machine is found by watchMachines
	}
}

func (c *Core) mustReturn(m *machine, why string) {
	if m.lead.why == "" && !m.lifecycle.gone {
		m.lead.why = why
		c.note("info", "machine to be returned", "machine", m.name, "type", m.identity.machineType, "zone", m.identity.zone, "spot", m.identity.spot, "why", why,
			"tasks", len(m.allocation.assignments), "quiet_ms", (c.now - m.status.lastHeartbeatAt).Milliseconds())
	}
}

func (c *Core) callCloud(op CloudOp, f func(Clouded)) bool {
	l := c.lead
	if l.calls < 1 || c.now < l.backoff {
		return false
	}
	l.calls--
	op.ID = c.id()
	c.autoscaler.calls[op.ID] = func(in Clouded) {
		if c.lead == l && (in.Status == 429 || in.Status == 0 || in.Status == 503 && in.Error != noCapacity) {
			l.backoff = c.now + 300*time.Millisecond + c.jitter(300*time.Millisecond)
		}
		f(in)
	}
	c.emit(op)
	return true
}

const noCapacity = "no capacity"

// getList reads the cloud's list of machines, a page a call: a large fleet takes several, and
// the calls are few.
func (c *Core) getList() {
	l := c.lead
	if l.listing || c.now < l.listAt {
		return
	}
	l.listing = c.callCloud(CloudOp{Op: "list", From: l.listFrom}, func(in Clouded) {
		if c.lead != l {
			return
		}
		l.listing = false
		if in.Status != 200 {
			l.listAt = c.now + time.Second
			return
		}
		l.listAt = c.now + c.cfg.ListEvery
		l.listFrom = ""
		if n := len(in.Machines); in.More && n > 0 {
			l.listFrom = in.Machines[n-1].Name
			if !l.listed {
				l.listAt = c.now
			}
		}
		l.listed = l.listed || l.listFrom == ""
		for _, e := range in.Machines {
			m := c.machine(e.Name)
			if m.lifecycle.gone {
				continue
			}
			if m.identity.machineType == "" {
				m.identity.machineType, m.identity.zone, m.identity.spot = e.Type, e.Zone, e.Spot
			}
			if m.identity.address == "" {
				m.identity.address = e.Addr
			}
			if at := c.now - time.Duration(e.AgeS*float64(time.Second)); m.lead.rented == 0 && e.AgeS >= 0 && e.AgeS < 1e9 {
				m.lead.rented = at
			}
			if e.Stage == wire.MachineFailed {
				c.proved(m)
				m.lead.why = "failed"
				l.cleanup = append(l.cleanup, m.name)
			}
		}
	})
}

// proved records and tells proof that a machine is gone.
func (c *Core) proved(m *machine) {
	if m.lifecycle.gone {
		return
	}
	c.markGone(m)
	c.lead.tellGone(m.name)
}

// watchMachines finds machines that must be returned: silent ones, those that never came up,
// and those whose notice runs out.
func (c *Core) watchMachines() {
	l := c.lead
	type count struct{ up, silent int }
	zones, all := map[string]*count{}, &count{}
	for _, m := range c.alive {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		z := zones[m.identity.zone]
		if z == nil {
			z = &count{}
			zones[m.identity.zone] = z
		}
		for _, n := range []*count{z, all} {
			n.up++
			if c.now-m.status.lastHeartbeatAt > c.silent()*4/5 {
				n.silent++
			}
		}
	}
	// If most are silent at once, it is rather this controller that does not hear.
	deaf := all.silent*2 > all.up && all.silent > 1
	for zone, n := range zones {
		if !c.quiet(zone, quietForRoom) && (deaf || n.silent*2 <= n.up || n.silent < 3) {
			delete(zones, zone)
			continue
		}
		for _, typ := range c.autoscaler.typeNames { // what would be rented there could not be used
			for _, spot := range []bool{false, true} {
				l.blocked[pool{typ, zone, spot}] = c.now + 3*time.Second
			}
		}
	}
	var others []string // machines that others are to ask
	for _, m := range c.alive {
		if m.lifecycle.gone || m.lead.why != "" {
			continue
		}
		quiet := c.now - m.status.lastHeartbeatAt
		if m.status.reported && quiet > c.reportDue() {
			others = append(others, m.name)
		}
		m.lead.cut = m.status.reported && (zones[m.identity.zone] != nil && quiet > c.reportDue() || c.quiet(m.identity.zone, quietForRoom))
		switch {
		case !m.status.reported:
			boot := cmp.Or(c.boot(m.identity.machineType), 30*time.Second)
			if c.now-max(m.identity.firstSeenAt, m.lead.rented, l.since-boot) > times(boot, c.cfg.BootPatience)+c.cfg.ListLag*2 {
				c.mustReturn(m, "never came up")
			}
		case m.lifecycle.interruptionDeadline > 0 && c.now > m.lifecycle.interruptionDeadline-1500*time.Millisecond:
			c.mustReturn(m, "its notice runs out")
		case m.lead.cut && quiet < c.cutPatience(m) && !c.hurried(m, c.cutPatience(m)-quiet):
			c.probe(m)
		case quiet > c.silent() && (!deaf || quiet > c.cfg.WorkerLease+10*time.Second) && c.now-l.since > c.silent():
			c.mustReturn(m, "silent")
		case c.mustGo(m):
			c.mustReturn(m, "faulty")
		default:
			c.probe(m)
		}
	}
	l.askOthers(c, others)
}

// cutPatience is how long the machines of a silent zone are kept. The zone may only be cut off:
// its tasks run on until the workers' leases end. So others are rented first, and these are
// returned when those should be up. When they were returned at once, all tasks there ended
// while nothing was up to take them.
func (c *Core) cutPatience(m *machine) time.Duration {
	ready := c.silent() + c.boot(m.identity.machineType) + c.cfg.RentAhead
	return max(c.silent(), min(ready, c.cfg.WorkerLease-c.cfg.RentAhead))
}

// hurried reports whether waiting would make a task of a machine late for a deadline, its job's or
// that of one which needs it. Machines with replicas are not given up for it: these serve on.
func (c *Core) hurried(m *machine, wait time.Duration) bool {
	late := false
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.job]
		s := j.rec.Spec
		if s == nil || j.final() || m.status.tasks[attKey{k.job, k.task, a.Attempt}].state == wire.TaskExited {
			continue
		}
		if s.Service {
			return false
		}
		late = late || j.dueMS != 0 && c.unixMS()+wait.Milliseconds()+s.EstimatedRuntimeMS > j.dueMS
	}
	return late
}

// reportDue is how long a machine that is well stays quiet at most.
func (c *Core) reportDue() time.Duration { return c.cfg.ReportEvery*5/4 + 300*time.Millisecond }

// silent is how long a machine is quiet before it is given up. It follows from how often
// workers report: a fixed time was shorter than the pauses of machines that report every 6 s,
// and healthy ones were returned.
func (c *Core) silent() time.Duration { return c.reportDue() + c.cfg.Silent }

// probe asks a machine for its report when none has come, directly or from others: while the
// controllers can't reach each other, it is the only news of tasks that report elsewhere. One that does not answer
// is asked less and less often, and few are asked at a time: every controller asked every machine of a lost zone once a second,
// and each question held a socket until its timeout. Machines that answer make room for the next at once.
func (c *Core) probe(m *machine) {
	if c.agents.pollsInFlight >= c.cfg.ProbesMost || !m.status.reported || c.now-m.status.lastHeartbeatAt <= c.reportDue() || m.status.polls > 0 && c.now-m.status.lastPollAt <= time.Second<<min(m.status.polls-1, 4) {
		return
	}
	m.status.lastPollAt, m.status.polls = c.now, m.status.polls+1
	c.agents.pollsInFlight++
	c.emit(Probe{Machine: m.name, Addr: m.identity.address})
}

// returnSome returns what must be returned, once at a time and again until it is confirmed.
func (c *Core) returnSome() {
	l := c.lead
	if l.returnOp {
		return
	}
	// Replicas wait for the proof; those of a lost zone are many.
	var due, later []*machine
	for _, m := range c.alive {
		switch {
		case m.lifecycle.gone || m.lead.why == "":
		case c.horizon(m) < forever:
			later = append(later, m)
		default:
			due = append(due, m)
		}
	}
	due = append(due, later...)
	names := slices.Clone(l.cleanup[:min(len(l.cleanup), 50)])
	for _, m := range due[:min(len(due), 100-len(names))] {
		m.lifecycle.returnRequested = true
		names = append(names, m.name)
	}
	if len(names) == 0 {
		return
	}
	l.returnOp = c.callCloud(CloudOp{Op: "return", Names: names}, func(in Clouded) {
		if c.lead != l {
			if in.Status == 200 {
				for _, n := range names {
					c.markGone(c.machine(n))
				}
			}
			return
		}
		l.returnOp = false
		if in.Status != 200 {
			return
		}
		for _, n := range names {
			c.proved(c.machine(n))
		}
		l.cleanup = slices.DeleteFunc(l.cleanup, func(n string) bool { return slices.Contains(names, n) })
	})
}

// rentSome sends rental requests, each under its own name until it is answered.
func (c *Core) rentSome() {
	l := c.lead
	for _, name := range sortedKeys(l.rentals) {
		r := l.rentals[name]
		if r.busy || c.now < r.again {
			continue
		}
		r.busy = c.callCloud(CloudOp{Op: "rent", Rent: r.req}, func(in Clouded) {
			r.busy = false
			r.again = c.now + time.Second
			p := pool{r.req.Type, r.req.Zone, r.req.Spot}
			switch {
			case in.Status == 200:
				delete(l.rentals, name)
				if len(in.Names) < r.req.Count {
					l.blocked[p] = c.now + 10*time.Second
				}
				for _, n := range in.Names {
					m := c.machine(n)
					if m.identity.machineType == "" {
						m.identity.machineType, m.identity.zone, m.identity.spot = p.typ, p.zone, p.spot
					}
					m.lead.rented = c.now
				}
			case in.Status == 503 && in.Error == noCapacity, in.Status == 400:
				delete(l.rentals, name)
				l.blocked[p] = c.now + 10*time.Second
			}
		})
		if !r.busy {
			return
		}
		if !r.sent {
			r.sent = true
			c.note("info", "renting", "hire", name, "type", r.req.Type, "zone", r.req.Zone, "spot", r.req.Spot, "count", r.req.Count)
		}
	}
}
