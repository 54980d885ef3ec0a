package core

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dewlift/ccs"
	"dewlift/wire"
)

// leadMachine is what the leader keeps about a machine.
type leadMachine struct {
	seeded    bool
	seededAt  time.Duration
	wrong     bool // a start was refused although the row showed room
	lastDelta time.Duration
	rented    time.Duration // when it was rented, by our clock; 0: not known
	emptyAt   time.Duration // since when it has had no task; 0: it has some
	cordon    time.Duration // since when it is being returned as idle; 0: it is not
	closed    bool          // offered last: the rest of the machines has room enough
	keep      ccs.Vec       // room kept for work that may not use spot machines
	why       string        // why it must be returned; "": it need not
	cut       bool          // it is quiet with most of its zone: others are to take its work over
}

type pool struct {
	typ  string
	zone string
	spot bool
}

type rental struct {
	req   wire.RentRequest
	busy  bool
	sent  bool // it may have been executed: only the same name may be asked again
	again time.Duration
}

type classStat struct {
	spec   wire.Spec
	tasks  float64       // mean size of its jobs
	square float64       // mean square of it
	gap    time.Duration // mean time between them
	last   time.Duration
	atMS   int64 // time of day of the last one's acceptance
}

// lead is the state of the leader's term: the array, and the dealings with the cloud.
type lead struct {
	token    uint64
	since    time.Duration
	array    *ccs.Array
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
	stops    []StopMsg               // for the next push
	stopped  map[int32]time.Duration // when room was last made for a job
	cleanup  []string                // failed machines that are still listed
	pushNow  bool
}

// sawJob keeps the mean size of the jobs of a class, for spare room.
func (c *Core) sawJob(r *record) {
	if c.classes == nil {
		c.classes = map[string]*classStat{}
	}
	key := r.Spec.Class
	st := c.classes[key]
	if st == nil {
		st = &classStat{tasks: float64(r.Spec.Tasks), square: float64(r.Spec.Tasks) * float64(r.Spec.Tasks)}
		c.classes[key] = st
	}
	st.square += (float64(r.Spec.Tasks)*float64(r.Spec.Tasks) - st.square) / 16
	st.tasks += (float64(r.Spec.Tasks) - st.tasks) / 8
	if at := time.Duration(r.AtMS-st.atMS) * time.Millisecond; st.atMS != 0 && at >= 0 {
		st.gap += (at - st.gap) / 8
	}
	st.spec, st.last, st.atMS = *r.Spec, c.now, r.AtMS
}

// getCatalog keeps the machine types; every controller needs them.
func (c *Core) getCatalog() {
	if c.catalogOp || c.now < c.catalogAt {
		return
	}
	c.catalogOp = true
	id := c.id()
	c.clouds[id] = func(in Clouded) {
		c.catalogOp = false
		if in.Status != 200 || in.Catalog == nil {
			c.catalogAt = c.now + 500*time.Millisecond + c.jitter(time.Second)
			return
		}
		c.catalogAt = c.now + 45*time.Second + c.jitter(15*time.Second)
		if c.typesMark == 0 {
			c.catalogAt = c.now + 5*time.Second // until the leader has kept it
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
		c.catalog, c.types = next, sortedKeys(next)
	}
}

// keepCatalog has the leader keep the machine types in the state service: a controller that
// restarts while the cloud is down would otherwise serve nobody until it is back.
func (c *Core) keepCatalog(k *wire.Catalog) {
	if c.lead == nil || c.typesBusy || !c.leaseOK() {
		return
	}
	same := slices.EqualFunc(k.Types, c.typesKept.Types, func(a, b wire.MachineType) bool {
		return a.Name == b.Name && a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.Price == b.Price &&
			a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
	})
	raw, err := json.Marshal(k)
	if same || err != nil || len(raw) > c.cfg.ValueBytes {
		return
	}
	c.typesBusy = true
	t := wire.Txn{If: []wire.Cond{{Key: keyTypes, Mark: c.typesMark}}, Then: []wire.Write{{Put: keyTypes, Value: raw}}}
	c.commit(t, &txn{done: func(int, wire.TxnReply) { c.typesBusy = false }})
}

func (c *Core) leadStep() {
	c.getCatalog()
	if !c.leads() || !c.leaseOK() {
		if !c.leads() {
			c.lead = nil
		}
		return
	}
	if c.lead == nil || c.lead.token != c.leader.Token {
		c.lead = &lead{token: c.leader.Token, since: c.now, array: ccs.NewArray(), acks: map[string]uint64{},
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
	if c.catalog == nil {
		return
	}
	if c.now >= l.planAt {
		l.planAt = c.now + 500*time.Millisecond
		c.getList()
		c.watchMachines()
		if l.listed && c.now-l.since > 2*time.Second {
			c.plan()
		}
		c.rentSome()
		c.returnSome()
	}
	if c.now >= l.pushAt || l.pushNow && c.now >= l.pushed+c.cfg.PushGap {
		c.push()
	}
}

const goneKept = 2000 // machines whose end is told with every whole array

// leadSaw seeds a machine's row from its report.
func (c *Core) leadSaw(m *machine) {
	if c.lead == nil || m.gone || !m.up || m.lead.seeded || c.catalog == nil {
		return
	}
	if c.seed(m) {
		m.lead.seeded = true
		c.lead.pushNow = c.lead.pushNow || c.cfg.PushEvery < 3*time.Second
	}
}

// occupied is the room taken on a machine, by the committed assignments and its report.
func (c *Core) occupied(m *machine) ccs.Vec {
	if m.occKnown {
		return m.occ
	}
	var occ ccs.Vec
	for k, a := range m.asg {
		if p := m.pieces[attKey{k.job, k.task, a.try}]; p.state == wire.TaskExited {
			continue // ended, only the write of it is not seen yet
		}
		if s := c.jobs[k.job].rec.Spec; s != nil {
			occ = occ.Add(s.Claim, 1)
		}
	}
	known := true
	for k, p := range m.pieces {
		if p.state == wire.TaskExited {
			continue
		}
		if a, ok := m.asg[taskKey{k.job, k.task}]; ok && a.try == k.try {
			continue
		}
		if r := c.jobs[k.job].rec; r != nil && r.Spec != nil {
			occ = occ.Add(r.Spec.Claim, 1)
		} else {
			known = false // its job's record may come, without a change here
		}
	}
	m.occ, m.occKnown = occ, known
	return occ
}

func (c *Core) seed(m *machine) bool {
	t := c.catalog[m.typ]
	if t == nil {
		return false
	}
	c.lead.array.Seed(m.idx, t.Room(), c.occupied(m), c.offered(m))
	return true
}

func (c *Core) offered(m *machine) bool {
	return m.lead.cordon == 0 && m.lead.why == "" && m.noticed == 0 && !m.returning
}

// take counts a controller's tuples.
func (l *lead) take(c *Core, from string, d *Deltas) {
	if d.Seq <= l.acks[from] && d.Seq > 1 {
		return
	}
	l.acks[from] = d.Seq
	for _, t := range d.List {
		m := c.machine(t.Machine)
		m.lead.lastDelta = c.now
		l.array.Apply(ccs.Delta{Start: t.Start, Machine: m.idx, Claim: t.Claim})
	}
}

// push sends the array to all controllers: the rows that changed since the last push, and from
// time to time all of them.
func (c *Core) push() {
	l := c.lead
	l.pushAt, l.pushNow, l.pushed = c.now+c.cfg.PushEvery, false, c.now
	for _, m := range c.alive {
		if m.gone || !m.up {
			continue
		}
		// Tuples can be lost: a row is seeded again once all is quiet about its machine. A seed
		// between a report or a record and the tuple of the same start or finish counts it twice.
		// A refusal shows that the row is wrong: then a short quiet must do, or refusals, which
		// are changes themselves, would keep it wrong for ever.
		quiet := 2 * time.Second
		if m.lead.wrong {
			quiet = 300 * time.Millisecond
		}
		last := max(m.lead.lastDelta, m.changed)
		if !m.lead.seeded || last >= m.lead.seededAt && c.now-last > 2*c.cfg.DeltaEvery+quiet {
			m.lead.wrong = false
			m.lead.seeded = c.seed(m)
			m.lead.seededAt = c.now
		}
		l.array.Offer(m.idx, c.offered(m), m.lead.closed, m.lead.keep)
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
	rows, rev := l.array.Rows(p.After)
	p.Rev, l.pushRev = rev, rev
	for _, r := range rows {
		m := c.machines[r.Machine]
		p.Rows = append(p.Rows, PushRow{Machine: m.name, Type: m.typ, Zone: m.zone, Spot: m.spot,
			Avail: r.Avail, Occ: r.Occ, Keep: r.Keep, Last: r.Last, Closed: !r.Offered})
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
		if !m.gone {
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
	if m.lead.why == "" && !m.gone {
		m.lead.why = why
		c.note("info", "machine to be returned", "machine", m.name, "type", m.typ, "zone", m.zone, "spot", m.spot, "why", why,
			"tasks", len(m.asg), "quiet_ms", (c.now - m.heard).Milliseconds())
	}
}

func (c *Core) callCloud(op CloudOp, f func(Clouded)) bool {
	l := c.lead
	if l.calls < 1 || c.now < l.backoff {
		return false
	}
	l.calls--
	op.ID = c.id()
	c.clouds[op.ID] = func(in Clouded) {
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
			if m.gone {
				continue
			}
			if m.typ == "" {
				m.typ, m.zone, m.spot = e.Type, e.Zone, e.Spot
			}
			if m.addr == "" {
				m.addr = e.Addr
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
	if m.gone {
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
		if m.gone || !m.up {
			continue
		}
		z := zones[m.zone]
		if z == nil {
			z = &count{}
			zones[m.zone] = z
		}
		for _, n := range []*count{z, all} {
			n.up++
			if c.now-m.heard > c.silent()*4/5 {
				n.silent++
			}
		}
	}
	// If most are silent at once, it is rather this controller that does not hear.
	deaf := all.silent*2 > all.up && all.silent > 1
	for zone, n := range zones {
		if deaf || n.silent*2 <= n.up || n.silent < 3 {
			delete(zones, zone)
			continue
		}
		for _, typ := range c.types { // what would be rented there could not be used
			for _, spot := range []bool{false, true} {
				l.blocked[pool{typ, zone, spot}] = c.now + 3*time.Second
			}
		}
	}
	for _, m := range c.alive {
		if m.gone || m.lead.why != "" {
			continue
		}
		quiet := c.now - m.heard
		m.lead.cut = m.up && zones[m.zone] != nil && quiet > c.reportDue()
		switch {
		case !m.up:
			boot := 30 * time.Second
			if t := c.catalog[m.typ]; t != nil {
				boot = time.Duration(t.BootS * float64(time.Second))
			}
			if c.now-max(m.first, m.lead.rented, l.since-boot) > time.Duration(float64(boot)*c.cfg.BootPatience)+c.cfg.ListLag*2 {
				c.mustReturn(m, "never came up")
			}
		case m.noticed > 0 && c.now > m.noticed-1500*time.Millisecond:
			c.mustReturn(m, "its notice runs out")
		case m.lead.cut && quiet < c.cutPatience(m):
			c.probe(m)
		case quiet > c.silent() && (!deaf || quiet > c.cfg.WorkerLease+10*time.Second) && c.now-l.since > c.silent():
			c.mustReturn(m, "silent")
		case m.faulty():
			c.mustReturn(m, "faulty")
		default:
			c.probe(m)
		}
	}
}

// cutPatience is how long the machines of a silent zone are kept. The zone may only be cut off:
// its tasks run on until the workers' leases end. So others are rented first, and these are
// returned when those should be up. When they were returned at once, all tasks there ended
// while nothing was up to take them.
func (c *Core) cutPatience(m *machine) time.Duration {
	boot := 0.0
	if t := c.catalog[m.typ]; t != nil {
		boot = t.BootS
	}
	ready := c.silent() + time.Duration(boot*float64(time.Second)) + rentTime
	return max(c.silent(), min(ready, c.cfg.WorkerLease-rentTime))
}

const rentTime = 3 * time.Second // from a need to the rental, and from a boot to the first start

// reportDue is how long a machine that is well stays quiet at most.
func (c *Core) reportDue() time.Duration { return c.cfg.ReportEvery*5/4 + 300*time.Millisecond }

// silent is how long a machine is quiet before it is given up. It follows from how often
// workers report: a fixed time was shorter than the pauses of machines that report every 6 s,
// and healthy ones were returned.
func (c *Core) silent() time.Duration { return c.reportDue() + c.cfg.Silent }

// probe asks a machine for its report when none has come, directly or from others: while the
// controllers can't reach each other, it is the only news of tasks that report elsewhere.
func (c *Core) probe(m *machine) {
	if c.now-m.heard > c.reportDue() && c.now-m.shown > time.Second && m.up {
		m.shown = c.now
		c.emit(Probe{Machine: m.name, Addr: m.addr})
	}
}

// returnSome returns what must be returned, once at a time and again until it is confirmed.
func (c *Core) returnSome() {
	l := c.lead
	if l.returnOp {
		return
	}
	var due []*machine
	for _, m := range c.alive {
		if !m.gone && m.lead.why != "" {
			due = append(due, m)
		}
	}
	// Replicas wait for the proof; those of a lost zone are many.
	first := func(m *machine) int {
		if c.horizon(m) < forever {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(due, func(x, y *machine) int { return first(x) - first(y) })
	names := slices.Clone(l.cleanup[:min(len(l.cleanup), 50)])
	for _, m := range due[:min(len(due), 100-len(names))] {
		m.returning = true
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

const rentMost = 50 // machines that the cloud rents with one call

// bin is room that is there or on its way.
type bin struct {
	m       *machine
	pool    pool
	avail   ccs.Vec
	room    ccs.Vec
	soon    ccs.Vec // room of tasks that should end before a new machine could be up
	keep    ccs.Vec
	horizon time.Duration // how long its tasks keep it
	step    time.Duration // that, in steps of the setting
	free    float64
	stopped []asg2 // tasks that were told to make room
	busy    bool   // it has tasks
	used    bool   // a need was put into it
}

type need struct {
	job     *job // nil for spare room
	spec    *wire.Spec
	n       int
	zones   map[string]int
	reserve bool
	standby bool // the tasks still run, on machines that will probably be returned
	prio    int
	at      int64
}

func (n *need) rank() int {
	switch {
	case !n.reserve && !n.spec.Spot:
		return 0
	case n.reserve && !n.spec.Spot:
		return 1
	case !n.reserve:
		return 2
	}
	return 3
}

func (b *bin) pricey() bool { return !b.pool.spot && b.horizon < forever }

// plan compares the room with what the jobs need and decides what to rent and what to empty.
func (c *Core) plan() {
	l := c.lead
	var bins []*bin
	for _, m := range c.alive {
		t := c.catalog[m.typ]
		if m.gone || m.lead.why != "" || m.lead.cut || m.noticed > 0 || t == nil || m.faulty() {
			continue
		}
		b := &bin{m: m, pool: pool{m.typ, m.zone, m.spot}, room: t.Room()}
		if m.up {
			b.avail = b.room.Add(c.occupied(m), -1)
			b.soon = c.soonFree(m, t)
			b.horizon = c.horizon(m)
		} else {
			age := c.now - max(m.first, m.lead.rented)
			if age > time.Duration(t.BootS*1.7*float64(time.Second))+2*time.Second {
				continue // late: do not count on it
			}
			b.avail = b.room
		}
		b.busy = len(m.asg) > 0
		bins = append(bins, b)
	}
	// What was not sent yet is planned anew, together with what came since: the calls are few, so
	// each should ask for as many machines as are needed of a kind.
	maps.DeleteFunc(l.rentals, func(_ string, r *rental) bool { return !r.sent })
	for _, name := range sortedKeys(l.rentals) {
		r := l.rentals[name]
		if t := c.catalog[r.req.Type]; t != nil {
			for i := 0; i < r.req.Count; i++ {
				bins = append(bins, &bin{pool: pool{r.req.Type, r.req.Zone, r.req.Spot}, avail: t.Room(), room: t.Room()})
			}
		}
	}
	needs := c.needs()
	order := map[pool]int{}
	var pools []pool // in the order of urgency
	h := c.newShelf(bins)
	l.hold = nil
	for _, n := range needs {
		if c.fit(n, h, order, &pools) < n.n && !n.reserve && !n.standby && n.spec.Spot && n.spec.Types == nil && n.spec.Zone == "" {
			l.hold = l.hold.with(n.prio, n.spec.Claim)
		}
	}
	bins = h.bins
	slices.SortStableFunc(pools, func(x, y pool) int { return order[y] - order[x] })
	// The first request for each kind comes before the second for any: a kind that is used up shows
	// with one of the few calls, not with several.
	for round, more := 0, true; more; round++ {
		more = false
		for _, p := range pools {
			n := min(order[p]-round*rentMost, rentMost)
			if n <= 0 {
				continue
			}
			more = true
			l.hires++
			name := fmt.Sprintf("h-%d-%s-%06d", l.token, c.cfg.Name, l.hires)
			l.rentals[name] = &rental{req: wire.RentRequest{Name: name, Type: p.typ, Zone: p.zone, Spot: p.spot, Count: n}}
		}
	}
	c.planNote(bins, needs)
	// Machines that nothing needs are emptied and returned.
	for _, b := range bins {
		m := b.m
		if m == nil || !m.up {
			continue
		}
		m.lead.keep = b.keep
		if len(m.asg) > 0 || c.busy(m) {
			m.lead.emptyAt = 0
		} else if m.lead.emptyAt == 0 {
			m.lead.emptyAt = c.now
		}
		// Packing comes from what is offered: a machine that neither waiting work nor the
		// spare room needs is offered last, so that it empties.
		if m.lead.closed == b.used {
			m.lead.closed = !b.used
			l.pushNow = true
		}
		if b.used || m.lead.emptyAt == 0 {
			if m.lead.cordon != 0 {
				m.lead.cordon = 0
				l.pushNow = true
			}
			continue
		}
		old := c.now-max(m.first, m.lead.rented) > 60*time.Second || m.lead.rented != 0 && c.now-m.lead.rented > 60*time.Second
		if m.lead.cordon == 0 && c.now-m.lead.emptyAt >= c.idleFor(m) && old {
			m.lead.cordon = c.now
			l.pushNow = true
		}
		if m.lead.cordon != 0 && c.now-m.lead.cordon > 1500*time.Millisecond {
			c.mustReturn(m, "idle")
		}
	}
}

// planNote logs the use of the machines at a modest rate.
func (c *Core) planNote(bins []*bin, needs []need) {
	l := c.lead
	if c.now < l.noteAt {
		return
	}
	l.noteAt = c.now + 10*time.Second
	up, boot, closed, empty, waiting, reserve := 0, 0, 0, 0, 0, 0
	var total, occ int64
	for _, b := range bins {
		switch {
		case b.m == nil || !b.m.up:
			boot++
			continue
		case b.m.lead.closed:
			closed++
		}
		up++
		if !b.busy {
			empty++
		}
		total += b.room[0]
		occ += c.occupied(b.m)[0]
	}
	for _, n := range needs {
		if n.reserve {
			reserve += n.n
		} else {
			waiting += n.n
		}
	}
	c.note("info", "machines", "up", up, "booting", boot, "closed", closed, "empty", empty, "cpus", total/1000,
		"used", occ/1000, "waiting", waiting, "reserve", reserve)
}

// idleFor is how long an empty machine is kept: the longer it took to boot, the longer.
func (c *Core) idleFor(m *machine) time.Duration {
	d := c.cfg.Idle
	if t := c.catalog[m.typ]; t != nil {
		d += time.Duration(t.BootS * c.cfg.IdleBoots * float64(time.Second))
	}
	return d
}

func (c *Core) busy(m *machine) bool {
	for _, p := range m.pieces {
		if p.state != wire.TaskExited {
			return true
		}
	}
	return false
}

// spare is the number of tasks of a class that room is kept for: a share of those that run,
// but no more than what jobs ask for beyond the mean until a new machine is up (so many standard
// deviations of it; a large class varies less for its size), and at least a job of the usual
// size; less and less once jobs have stopped coming.
func (c *Core) spare(st *classStat, running int) float64 {
	share := c.cfg.SpareShare
	if st.spec.Service {
		share = c.cfg.SpareService
	}
	n := share * float64(running)
	if st.gap > 0 {
		jobs := float64(c.bootTime(&st.spec)) / float64(st.gap)
		n = min(n, c.cfg.SpareDev*math.Sqrt(jobs*st.square))
	}
	n = max(st.tasks, n)
	if quiet := c.now - st.last; st.gap > 0 && quiet > 5*st.gap && quiet > 20*time.Second {
		n *= float64(5*st.gap) / float64(quiet)
	}
	return n
}

// bootTime is how long it takes from a need to the room for it: renting, and the boot of the
// quickest type.
func (c *Core) bootTime(s *wire.Spec) time.Duration {
	boot := 0.0
	for _, name := range c.types {
		if t := c.catalog[name]; c.typeAllowed(s, name) && ccs.Vec(t.Room()).Fits(s.Claim) && (boot == 0 || t.BootS < boot) {
			boot = t.BootS
		}
	}
	return time.Duration(boot*float64(time.Second)) + rentTime
}

// needs lists the tasks that wait, and the spare room for those to come.
func (c *Core) needs() []need {
	var out []need
	running := map[string]int{}
	left := map[*team][2]int64{}
	for _, t := range c.teams {
		left[t] = [2]int64{math.MaxInt64, math.MaxInt64}
		u := left[t]
		if t.CPUMax > 0 {
			u[0] = t.CPUMax - t.cpu
		}
		if t.GPUMax > 0 {
			u[1] = t.GPUMax - t.gpu
		}
		left[t] = u
	}
	for _, j := range c.open {
		if j.rec == nil || j.rec.Spec == nil || j.final() {
			continue
		}
		s := j.rec.Spec
		running[s.Class] += len(j.place)
		n := s.Tasks - j.rec.Done.count() - len(j.place)
		cut := 0
		zones := map[string]int{}
		for _, a := range j.place {
			if m := c.machines[a.machine]; m.lead.cut {
				cut++
			} else {
				zones[m.zone]++
			}
		}
		if n > 0 && c.now >= j.backoff {
			out = append(out, need{job: j, spec: s, n: min(n, c.maxPlaced()), zones: zones, prio: s.Priority, at: j.rec.AtMS})
		}
		if cut > 0 {
			out = append(out, need{job: j, spec: s, n: cut, zones: zones, standby: true, prio: s.Priority, at: j.rec.AtMS})
		}
	}
	for class, st := range c.classes {
		if running[class] == 0 && c.now-st.last > 3*time.Minute {
			continue
		}
		n := int(math.Ceil(c.spare(st, running[class])))
		if n <= 0 {
			continue
		}
		s := st.spec
		s.Tasks = n
		out = append(out, need{spec: &s, n: n, zones: map[string]int{}, reserve: true, prio: s.Priority})
	}
	slices.SortStableFunc(out, func(a, b need) int {
		// Spare room for work that may not use spot machines comes before waiting work that
		// may: that one would fill the few machines which the other can use.
		if d := a.rank() - b.rank(); d != 0 {
			return d
		}
		if d := a.prio - b.prio; d != 0 {
			return d
		}
		if d := cmp.Compare(a.at, b.at); d != 0 {
			return d
		}
		return cmp.Compare(a.spec.Class, b.spec.Class)
	})
	for i := range out {
		n := &out[i]
		t := c.teamOf(n.spec)
		if t == nil || n.reserve || n.standby {
			continue
		}
		u := left[t]
		for k := 0; k < 2; k++ {
			if n.spec.Claim[k] > 0 && u[k] != math.MaxInt64 {
				n.n = min(n.n, int(max(0, u[k])/n.spec.Claim[k]))
			}
		}
		for k := 0; k < 2; k++ {
			if u[k] != math.MaxInt64 {
				u[k] -= int64(n.n) * n.spec.Claim[k]
			}
		}
		left[t] = u
	}
	return out
}

// soonFree is the room of tasks that should end, by their owners' estimates, within the boot
// time of a machine like theirs.
func (c *Core) soonFree(m *machine, t *wire.MachineType) ccs.Vec {
	var v ccs.Vec
	for k, a := range m.asg {
		j := c.jobs[k.job]
		p := m.pieces[attKey{k.job, k.task, a.try}]
		if s := j.rec.Spec; s != nil && !s.Service && p.state == wire.TaskRunning {
			left := time.Duration(s.EstimateMS)*time.Millisecond - (c.now - p.since)
			if left < time.Duration(c.cfg.SoonBoots*t.BootS*float64(time.Second)) && left > -time.Duration(s.EstimateMS)*time.Millisecond/4 {
				v = v.Add(s.Claim, 1)
			}
		}
	}
	return v
}

// shelf is the room of a plan in the order in which needs fill it.
type shelf struct {
	bins  []*bin
	order [2][]*bin // for work that may not use spot machines, and for work that may
	have  map[pool]int
	zone  map[string]int
}

// newShelf orders bins. Machines that stay longest are filled first, so that the others empty;
// ordinary ones without services come last for work that may use spot machines.
func (c *Core) newShelf(bins []*bin) *shelf {
	h := &shelf{bins: bins, have: map[pool]int{}, zone: map[string]int{}}
	for _, b := range bins {
		h.have[b.pool]++
		h.zone[b.pool.zone]++
		r := ccs.Row{Avail: b.avail, Occ: b.room.Add(b.avail, -1)}
		b.free = r.FreeShare()
		if c.cfg.HorizonStep > 0 {
			b.step = b.horizon / c.cfg.HorizonStep
		}
	}
	flag := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	for spot := range h.order {
		for _, b := range bins {
			if spot == 1 || !b.pool.spot {
				h.order[spot] = append(h.order[spot], b)
			}
		}
		slices.SortStableFunc(h.order[spot], func(x, y *bin) int {
			if spot == 1 && x.pricey() != y.pricey() {
				return flag(x.pricey()) - flag(y.pricey())
			}
			return cmp.Or(cmp.Compare(y.step, x.step), flag(y.busy)-flag(x.busy), cmp.Compare(x.free, y.free))
		})
	}
	return h
}

// add puts a machine that is to be rented on the shelf.
func (h *shelf) add(b *bin) {
	h.bins = append(h.bins, b)
	h.order[1] = append(h.order[1], b)
	if !b.pool.spot {
		h.order[0] = append(h.order[0], b)
	}
	h.have[b.pool]++
	h.zone[b.pool.zone]++
}

// with is the hold with one more kind of task that waits for room.
func (h *Hold) with(prio int, claim ccs.Vec) *Hold {
	switch {
	case h == nil || prio < h.Priority:
		return &Hold{prio, claim}
	case prio == h.Priority:
		for i := range claim {
			h.Claim[i] = min(h.Claim[i], claim[i])
		}
	}
	return h
}

// fit puts a need on the shelf, and orders machines for what does not fit. It returns how many
// tasks fit on machines that are up.
func (c *Core) fit(n need, h *shelf, order map[pool]int, pools *[]pool) (now int) {
	s := n.spec
	limit := (s.Tasks + 1) / 2
	room := func(zone string) int64 {
		if !s.Spread {
			return int64(n.n)
		}
		return int64(min(n.n, limit-n.zones[zone]))
	}
	put := func(b *bin) {
		k := min(capacity(b.avail, s.Claim), room(b.pool.zone))
		if k <= 0 {
			return
		}
		b.avail = b.avail.Add(s.Claim, -k)
		b.used = true
		if !s.Spot {
			b.keep = b.keep.Add(s.Claim, k)
		}
		n.n -= int(k)
		n.zones[b.pool.zone] += int(k)
		if b.m != nil && b.m.up {
			now += int(k)
		}
	}
	may := func(b *bin) bool {
		return c.typeAllowed(s, b.pool.typ) && (s.Zone == "" || s.Zone == b.pool.zone) && (s.Spot || !b.pool.spot)
	}
	shelf := h.order[0]
	if s.Spot {
		shelf = h.order[1]
	}
	fill := func(when func(*bin) bool) {
		for _, b := range shelf {
			if n.n <= 0 {
				return
			}
			if ccs.Vec(b.avail).Fits(s.Claim) && may(b) && when(b) {
				put(b)
			}
		}
	}
	if !n.reserve && !n.standby && s.Service {
		fill(func(b *bin) bool { return b.m != nil && b.m.up })
		n.n -= c.makeRoom(n, h.bins, room)
	}
	fill(func(*bin) bool { return true })
	if !n.reserve {
		for _, b := range shelf {
			if n.n <= 0 {
				return now
			}
			if b.soon == (ccs.Vec{}) || !may(b) {
				continue
			}
			if k := min(capacity(b.soon, s.Claim), room(b.pool.zone)); k > 0 {
				b.soon = b.soon.Add(s.Claim, -k)
				b.used = true
				n.n -= int(k)
				n.zones[b.pool.zone] += int(k)
			}
		}
	}
	for n.n > 0 {
		p, ok := c.choosePool(s, n, room, h)
		if !ok {
			break
		}
		t := c.catalog[p.typ]
		b := &bin{pool: p, avail: t.Room(), room: t.Room()}
		if order[p] == 0 {
			*pools = append(*pools, p)
		}
		order[p]++
		h.add(b)
		put(b)
	}
	return now
}

// makeRoom stops tasks of lower priority for replicas that find no room now: machines that
// boot would come too late for them. It takes those with the least work to lose.
func (c *Core) makeRoom(n need, bins []*bin, room func(string) int64) int {
	l := c.lead
	if at, ok := l.stopped[n.job.idx]; n.n <= 0 || ok && c.now-at < c.cfg.RoomAgain {
		return max(0, n.n) // what was stopped is about to go
	}
	type place struct {
		bin     *bin
		victims []asg2
		cost    time.Duration
	}
	var places []place
	for _, b := range bins {
		if b.m == nil || !b.m.up || !c.usable(b.m) || !c.allowed(n.spec, b.m) {
			continue
		}
		if vs, cost, ok := c.victims(n, b); ok {
			places = append(places, place{b, vs, cost})
		}
	}
	slices.SortStableFunc(places, func(x, y place) int { return cmp.Compare(x.cost, y.cost) })
	made := 0
	for _, p := range places {
		if made >= n.n {
			break
		}
		b := p.bin
		if n.spec.Spread && room(b.pool.zone) <= 0 {
			continue
		}
		for _, v := range p.victims {
			l.stops = append(l.stops, StopMsg{Machine: b.m.name, Job: c.jobs[v.job].id, Task: v.task, Try: v.try})
			b.avail = b.avail.Add(c.jobs[v.job].rec.Spec.Claim, 1)
			b.stopped = append(b.stopped, v)
		}
		for made < n.n && b.avail.Fits(n.spec.Claim) && room(b.pool.zone) > 0 {
			b.avail = b.avail.Add(n.spec.Claim, -1)
			b.keep = b.keep.Add(n.spec.Claim, 1)
			n.zones[b.pool.zone]++
			made++
		}
		b.used = true
	}
	if made > 0 {
		l.stopped[n.job.idx] = c.now
		l.pushNow = true
		c.note("info", "making room", "job", n.job.id, "tasks", made)
	}
	return made
}

// victims chooses the tasks of a machine that must go for one task of a need.
func (c *Core) victims(n need, b *bin) (vs []asg2, cost time.Duration, ok bool) {
	var all []asg2
	ran := func(v asg2) time.Duration { return c.now - b.m.pieces[attKey{v.job, v.task, v.try}].since }
	for _, v := range b.m.sortedTasks() {
		s := c.jobs[v.job].rec.Spec
		p, there := b.m.pieces[attKey{v.job, v.task, v.try}]
		if s != nil && there && !s.Service && s.Priority > n.prio && !slices.Contains(b.stopped, v) &&
			(p.state == wire.TaskRunning || p.state == wire.TaskFetching) {
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(x, y asg2) int { return cmp.Compare(ran(x), ran(y)) })
	free := b.avail
	for _, v := range all {
		if free.Fits(n.spec.Claim) {
			break
		}
		free = free.Add(c.jobs[v.job].rec.Spec.Claim, 1)
		cost += ran(v)
		vs = append(vs, v)
	}
	return vs, cost, len(vs) > 0 && free.Fits(n.spec.Claim)
}

// choosePool is the cheapest kind of machine for the rest of a need, by price per task that
// it takes, with regard to its boot time; among equals the zone with fewest machines.
func (c *Core) choosePool(s *wire.Spec, n need, room func(string) int64, h *shelf) (pool, bool) {
	var best pool
	bestScore, found := 0.0, false
	for _, name := range c.types {
		t := c.catalog[name]
		if !c.typeAllowed(s, name) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone != "" && z != s.Zone {
				continue
			}
			for _, spot := range []bool{false, true} {
				p := pool{name, z, spot}
				if spot && (!s.Spot || t.SpotPrice <= 0) || c.now < c.lead.blocked[p] {
					continue
				}
				if n.reserve && s.Spot && !spot {
					continue // spare room for work that may use spot machines is worth only their price
				}
				k := min(capacity(t.Room(), s.Claim), room(z))
				if k <= 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				// Not all machines in one place: a kind counts as dearer the larger its share of
				// the fleet is. By numbers, ordinary machines at 2.5 times the price were taken once a
				// kind of spot machine counted 150.
				all := float64(max(1, len(h.bins)))
				score := price / float64(k) * (1 + t.BootS/120) * (1 + 0.4*float64(h.have[p])/all + 0.05*float64(h.zone[z])/all)
				if !found || score < bestScore {
					best, bestScore, found = p, score, true
				}
			}
		}
	}
	return best, found
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

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
					if m.typ == "" {
						m.typ, m.zone, m.spot = p.typ, p.zone, p.spot
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
