package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dewlift/clusterstate"
	"dewlift/core/jobrecord"
	"dewlift/wire"
)

type pool struct {
	typ  string
	zone string
	spot bool
}

type classStat struct {
	spec   wire.JobSpec
	tasks  float64       // mean size of its jobs
	square float64       // mean square of it
	gap    time.Duration // mean time between them
	last   time.Duration
	atMS   int64 // time of day of the last one's acceptance
}

// sawJob keeps the mean size of the jobs of a class, for spare room.
func (c *Core) sawJob(r *jobrecord.Record) {
	if c.autoscaler.classStats == nil {
		c.autoscaler.classStats = map[string]*classStat{}
	}
	key := r.Spec.Class
	st := c.autoscaler.classStats[key]
	if st == nil {
		st = &classStat{tasks: float64(r.Spec.Tasks), square: float64(r.Spec.Tasks) * float64(r.Spec.Tasks)}
		c.autoscaler.classStats[key] = st
	}
	st.square += (float64(r.Spec.Tasks)*float64(r.Spec.Tasks) - st.square) / 16
	st.tasks += (float64(r.Spec.Tasks) - st.tasks) / 8
	if at := time.Duration(r.AcceptedAtMS-st.atMS) * time.Millisecond; st.atMS != 0 && at >= 0 {
		st.gap += (at - st.gap) / 8
	}
	st.spec, st.last, st.atMS = *r.Spec, c.now, r.AcceptedAtMS
}

const (
	manyWait = 50              // jobs
	rentMost = 50              // machines that the cloud rents with one call
	rentTime = 4 * time.Second // for which rentals are planned
)

// rentAtOnce is how many machines a plan orders at most, those that the cloud's calls can ask for in a while. What is not sent is planned
// anew; without a bound, each plan of a full fleet was about thousands of machines that there are not.
func (c *Core) rentAtOnce() int {
	return max(4*rentMost, int(c.cfg.CloudRPS*rentTime.Seconds())*rentMost)
}

// bin is room that is there or on its way.
type bin struct {
	m       *machine
	pool    pool
	avail   clusterstate.Resources
	room    clusterstate.Resources
	soon    clusterstate.Resources // room of tasks that should end before a new machine could be up
	keep    clusterstate.Resources
	horizon time.Duration // how long its tasks keep it
	step    time.Duration // that, in steps of the setting
	free    float64
	stopped []asg2 // tasks that were told to make room
	movable []asg2 // see Core.movable; nil: not worked out
	below   int    // for which priority it was
	busy    bool   // it has tasks
	judged  bool   // good is known
	good    bool
	used    bool // a need was put into it
}

// usable reports whether new tasks may go to its machine now; that is found out once a plan.
func (b *bin) usable(c *Core) bool {
	if !b.judged {
		b.judged, b.good = true, c.usable(b.m)
	}
	return b.good
}

type need struct {
	job     *job // nil for spare room
	spec    *wire.JobSpec
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
		t := c.autoscaler.catalog[m.identity.machineType]
		if m.lifecycle.gone || m.lead.why != "" || m.lead.cut || m.lifecycle.interruptionDeadline > 0 || t == nil || c.faulty(m) {
			continue
		}
		b := &bin{m: m, pool: pool{m.identity.machineType, m.identity.zone, m.identity.spot}, room: t.Capacity()}
		if m.status.reported {
			b.avail = b.room.AddScaled(c.occupied(m), -1)
			b.soon = c.soonFree(m)
			b.horizon = c.horizon(m)
		} else {
			age := c.now - max(m.identity.firstSeenAt, m.lead.rented)
			if age > times(c.boot(m.identity.machineType), 1.7)+2*time.Second {
				continue // late: do not count on it
			}
			b.avail = b.room
		}
		b.busy = len(m.allocation.assignments) > 0
		bins = append(bins, b)
	}
	// What was not sent yet is planned anew, together with what came since: the calls are few, so
	// each should ask for as many machines as are needed of a kind.
	maps.DeleteFunc(l.rentals, func(_ string, r *rental) bool { return !r.sent })
	for _, name := range sortedKeys(l.rentals) {
		r := l.rentals[name]
		if t := c.autoscaler.catalog[r.req.Type]; t != nil {
			for i := 0; i < r.req.Count; i++ {
				bins = append(bins, &bin{pool: pool{r.req.Type, r.req.Zone, r.req.Spot}, avail: t.Capacity(), room: t.Capacity()})
			}
		}
	}
	needs := c.needs()
	order := map[pool]int{}
	var pools []pool // in the order of urgency
	h := c.newShelf(bins)
	l.hold, l.unmet = nil, 0
	for _, n := range needs {
		now := c.fit(n, h, order, &pools)
		if now < n.n && !n.reserve {
			l.unmet++
		}
		if now < n.n && !n.reserve && !n.standby && n.spec.Spot && n.spec.MachineTypes == nil && n.spec.Zone == "" {
			l.hold = l.hold.with(n.prio, n.spec.Request)
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
			l.rentals[name] = &rental{req: wire.ScaleOutRequest{IdempotencyKey: name, Type: p.typ, Zone: p.zone, Spot: p.spot, Count: n}}
		}
	}
	c.planNote(bins, needs)
	// Machines that nothing needs are emptied and returned.
	for _, b := range bins {
		m := b.m
		if m == nil || !m.status.reported {
			continue
		}
		m.lead.keep = b.keep
		if len(m.allocation.assignments) > 0 || c.busy(m) {
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
		old := c.now-max(m.identity.firstSeenAt, m.lead.rented) > 60*time.Second || m.lead.rented != 0 && c.now-m.lead.rented > 60*time.Second
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
		case b.m == nil || !b.m.status.reported:
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
	return c.cfg.Idle + times(c.boot(m.identity.machineType), c.cfg.IdleBoots)
}

func (c *Core) busy(m *machine) bool {
	for _, p := range m.status.tasks {
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
func (c *Core) bootTime(s *wire.JobSpec) time.Duration {
	var quickest time.Duration
	for _, name := range c.autoscaler.typeNames {
		if t := c.autoscaler.catalog[name]; c.typeAllowed(s, name) && clusterstate.Resources(t.Capacity()).Fits(s.Request) && (quickest == 0 || c.boot(name) < quickest) {
			quickest = c.boot(name)
		}
	}
	return quickest + c.cfg.RentAhead
}

// boot is the nominal boot time of a machine type; 0 if the type is not known.
func (c *Core) boot(typ string) time.Duration {
	t := c.autoscaler.catalog[typ]
	if t == nil {
		return 0
	}
	return time.Duration(t.BootS * float64(time.Second))
}

func times(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

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
	asked := map[*job]bool{}
	for _, j := range c.open {
		if j.rec == nil || j.rec.Spec == nil || j.final() {
			continue
		}
		// What should be ready before a machine that is rented now could be up.
		for _, o := range j.next {
			if asked[o] {
				continue
			}
			asked[o] = true
			if in, ok := c.readyIn(o); ok && in < c.bootTime(o.rec.Spec) {
				out = append(out, need{job: o, spec: o.rec.Spec, n: min(o.rec.Spec.Tasks, c.maxPlaced()), zones: map[string]int{},
					reserve: true, prio: o.prio, at: o.turn()})
			}
		}
		if j.waits > 0 {
			continue
		}
		s := j.rec.Spec
		running[s.Class] += len(j.place)
		n := s.Tasks - j.rec.CompletedTasks.Count() - len(j.place)
		cut := 0
		zones := map[string]int{}
		for _, a := range j.place {
			if m := c.machines[a.Machine]; m.lead.cut {
				cut++
			} else {
				zones[m.identity.zone]++
			}
		}
		if failing(j.rec, c.unixMS()) {
			n = min(n, max(0, c.mostTried(j, j.place)-len(j.place)))
		}
		if n > 0 && c.now >= j.placement.backoffUntil {
			out = append(out, need{job: j, spec: s, n: min(n, c.maxPlaced()), zones: zones, prio: c.laneOf(j), at: j.turn()})
		}
		if cut > 0 {
			out = append(out, need{job: j, spec: s, n: cut, zones: zones, standby: true, prio: c.laneOf(j), at: j.turn()})
		}
	}
	for class, st := range c.autoscaler.classStats {
		if running[class] == 0 && c.now-st.last > 3*time.Minute {
			continue
		}
		n := int(math.Ceil(c.spare(st, running[class])))
		if n <= 0 {
			continue
		}
		s := st.spec
		s.Tasks = n
		out = append(out, need{spec: &s, n: n, zones: map[string]int{}, reserve: true, prio: c.priority.classes.Classify(&s)})
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
			if n.spec.Request[k] > 0 && u[k] != math.MaxInt64 {
				n.n = min(n.n, int(max(0, u[k])/n.spec.Request[k]))
			}
		}
		for k := 0; k < 2; k++ {
			if u[k] != math.MaxInt64 {
				u[k] -= int64(n.n) * n.spec.Request[k]
			}
		}
		left[t] = u
	}
	return out
}

// soonFree is the room of tasks that should end, by their owners' estimates, within the boot
// time of a machine like theirs.
func (c *Core) soonFree(m *machine) clusterstate.Resources {
	var v clusterstate.Resources
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.job]
		p := m.status.tasks[attKey{k.job, k.task, a.Attempt}]
		if s := j.rec.Spec; s != nil && !s.Service && p.state == wire.TaskRunning {
			left := time.Duration(s.EstimatedRuntimeMS)*time.Millisecond - (c.now - p.since)
			if left < times(c.boot(m.identity.machineType), c.cfg.SoonBoots) && left > -time.Duration(s.EstimatedRuntimeMS)*time.Millisecond/4 {
				v = v.AddScaled(s.Request, 1)
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
	full  [2][]seen
	added int // machines that are to be rented
}

// seen is a claim for which the first bins of an order have no room, now or soon.
type seen struct {
	claim clusterstate.Resources
	bins  int
}

// from is where in its order a need may find room: what is no larger found none before. While hundreds of jobs wait for a full fleet, each
// looked at all its machines in each plan.
func (h *shelf) from(n *need) (first int) {
	if n.anywhere() {
		for _, x := range h.full[n.kind()] {
			if clusterstate.Resources(n.spec.Request).Fits(x.claim) {
				first = max(first, x.bins)
			}
		}
	}
	return first
}

// noteFull notes that a need finds no room.
func (h *shelf) noteFull(n *need) {
	if !n.anywhere() {
		return
	}
	list := &h.full[n.kind()]
	*list = slices.DeleteFunc(*list, func(x seen) bool { return x.claim.Fits(n.spec.Request) })
	*list = append(*list, seen{n.spec.Request, len(h.order[n.kind()])})
}

// kind is the order of the shelf that a need looks at.
func (n *need) kind() int {
	if n.spec.Spot {
		return 1
	}
	return 0
}

// anywhere reports whether a need takes any machine of its order that has room.
func (n *need) anywhere() bool {
	s := n.spec
	return !s.Spread && s.MachineTypes == nil && s.Zone == "" && !n.reserve
}

// newShelf orders bins. Machines that stay longest are filled first, so that the others empty;
// ordinary ones without services come last for work that may use spot machines.
func (c *Core) newShelf(bins []*bin) *shelf {
	h := &shelf{bins: bins, have: map[pool]int{}, zone: map[string]int{}}
	for _, b := range bins {
		h.have[b.pool]++
		h.zone[b.pool.zone]++
		r := clusterstate.Row{Available: b.avail, Allocated: b.room.AddScaled(b.avail, -1)}
		b.free = r.MinFreeFraction()
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
	h.added++
}

// with is the hold with one more kind of task that waits for room.
func (h *Hold) with(prio int, claim clusterstate.Resources) *Hold {
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
		k := min(capacity(b.avail, s.Request), room(b.pool.zone))
		if k <= 0 {
			return
		}
		b.avail = b.avail.AddScaled(s.Request, -k)
		b.used = true
		if !s.Spot {
			b.keep = b.keep.AddScaled(s.Request, k)
		}
		n.n -= int(k)
		n.zones[b.pool.zone] += int(k)
		if b.m != nil && b.m.status.reported {
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
			c.Stats.PlanLooks++
			if clusterstate.Resources(b.avail).Fits(s.Request) && may(b) && when(b) {
				put(b)
			}
		}
	}
	if !n.reserve && !n.standby && s.Service {
		fill(func(b *bin) bool { return b.m != nil && b.m.status.reported })
		if made := c.makeRoom(n, h.bins, room); made > 0 {
			n.n -= made
			h.full = [2][]seen{} // what was stopped may leave room over
		}
	}
	first := h.from(&n)
	shelf = shelf[first:]
	fill(func(*bin) bool { return true })
	if !n.reserve && n.n > 0 && first == 0 {
		for _, b := range shelf {
			if n.n <= 0 {
				return now
			}
			if b.soon == (clusterstate.Resources{}) || !may(b) {
				continue
			}
			if k := min(capacity(b.soon, s.Request), room(b.pool.zone)); k > 0 {
				b.soon = b.soon.AddScaled(s.Request, -k)
				b.used = true
				n.n -= int(k)
				n.zones[b.pool.zone] += int(k)
			}
		}
	}
	if n.n > 0 {
		h.noteFull(&n)
	}
	for n.n > 0 && h.added < c.rentAtOnce() {
		p, ok := c.choosePool(s, n, room, h)
		if !ok {
			break
		}
		t := c.autoscaler.catalog[p.typ]
		b := &bin{pool: p, avail: t.Capacity(), room: t.Capacity()}
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
		if b.m == nil || !b.m.status.reported || b.pool.spot && !n.spec.Spot || n.spec.Spread && room(b.pool.zone) <= 0 || !b.usable(c) || !c.allowed(n.spec, b.m) {
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
			l.stops = append(l.stops, StopMsg{Machine: b.m.name, Job: c.jobs[v.job].id, Task: v.Task, Try: v.Attempt})
			b.avail = b.avail.AddScaled(c.jobs[v.job].rec.Spec.Request, 1)
			b.stopped = append(b.stopped, v)
		}
		b.movable = nil
		for made < n.n && b.avail.Fits(n.spec.Request) && room(b.pool.zone) > 0 {
			b.avail = b.avail.AddScaled(n.spec.Request, -1)
			b.keep = b.keep.AddScaled(n.spec.Request, 1)
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
	free := b.avail
	all := c.movable(b, n.spec.Priority)
	for i, v := range all {
		if free.Fits(n.spec.Request) {
			break
		}
		free = free.AddScaled(c.jobs[v.job].rec.Spec.Request, 1)
		cost += c.ran(b.m, v)
		vs = all[:i+1]
	}
	return vs, cost, len(vs) > 0 && free.Fits(n.spec.Request)
}

// movable lists the tasks of a machine that may be stopped for a priority, those that have run least first. It is worked
// out once a plan: hundreds of replicas that find no room look at all machines.
func (c *Core) movable(b *bin, below int) []asg2 {
	if b.movable != nil && b.below == below {
		return b.movable
	}
	all := []asg2{}
	for _, v := range b.m.sortedTasks() {
		s := c.jobs[v.job].rec.Spec
		p, there := b.m.status.tasks[attKey{v.job, v.Task, v.Attempt}]
		if s != nil && there && !s.Service && s.Priority > below && !slices.Contains(b.stopped, v) &&
			(p.state == wire.TaskRunning || p.state == wire.TaskPullingImage) {
			all = append(all, v)
		}
	}
	slices.SortStableFunc(all, func(x, y asg2) int { return cmp.Compare(c.ran(b.m, x), c.ran(b.m, y)) })
	b.movable, b.below = all, below
	return all
}

// ran is how long a task has been in its state.
func (c *Core) ran(m *machine, v asg2) time.Duration {
	return c.now - m.status.tasks[attKey{v.job, v.Task, v.Attempt}].since
}

// choosePool is the cheapest kind of machine for the rest of a need, by price per task that
// it takes, with regard to its boot time; among equals the zone with fewest machines.
func (c *Core) choosePool(s *wire.JobSpec, n need, room func(string) int64, h *shelf) (pool, bool) {
	var best pool
	bestScore, found := 0.0, false
	for _, name := range c.autoscaler.typeNames {
		t := c.autoscaler.catalog[name]
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
				k := min(capacity(t.Capacity(), s.Request), room(z))
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
