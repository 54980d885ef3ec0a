package core

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"dewlift/audit"
	"dewlift/clusterstate"
	"dewlift/core/auditlog"
	"dewlift/core/batchvalue"
	"dewlift/core/jobrecord"
	"dewlift/core/membership"
	"dewlift/core/quorum"
	"dewlift/core/ratelimit"
	"dewlift/core/reservations"
	"dewlift/overload"
	"dewlift/priorityclass"
	"dewlift/wire"
)

// Keys of the state service. All start with Root, so that one watch follows them.
const (
	Root      = "dl/"
	keyNode   = Root + "node/"
	keyLeader = Root + "leader"
	keyShard  = Root + "shard/"
	keyEpoch  = Root + "epoch"
	keyJob    = Root + "job/"
	keyTeam   = Root + "team/"
	keyTypes  = Root + "types"

	// KeyEpoch is the token, and KeyJob begins the keys of jobs.
	KeyEpoch = keyEpoch
	KeyJob   = keyJob
)

// LeasedKeys begin the keys that are attached to a controller's lease.
var LeasedKeys = []string{keyNode, keyLeader, keyShard}

type taskKey struct{ job, task int32 }

type attKey struct {
	job, task int32
	try       uint64
}

func (k attKey) compare(o attKey) int {
	return cmp.Or(cmp.Compare(k.job, o.job), cmp.Compare(k.task, o.task), cmp.Compare(k.try, o.try))
}

// piece is a task as its machine reported it last.
type piece struct {
	state string
	cause string
	kept  bool
	since time.Duration // when it was seen in this state first
}

func (p piece) same(q piece) bool {
	return p.state == q.state && p.cause == q.cause && p.kept == q.kept
}

// attempt is what this controller knows of its orders for an attempt.
type attempt struct {
	inFlight bool          // a start is in a request that is not answered
	lost     uint64        // highest token of an unanswered request with a start of it; it may be executed late
	sent     time.Duration // when an order for it was sent last
	everSent bool
	stop     string // why it is to be stopped; "": not
	grace    float64
	blamed   bool // its failure was counted
	freed    bool // its room was given back
	asked    bool // whether its job exists is being asked
	orphan   bool // its job does not exist
	switched bool // an order other than its start was sent
}

type machine struct {
	name string
	idx  int32

	lead leadMachine

	identity   machineIdentity
	status     agentStatus
	lifecycle  machineLifecycle
	commands   machineCommands
	allocation machineAllocation
	health     machineHealth
	ranking    rankCache
}

type job struct {
	idx   int32
	id    string
	mark  uint64 // 0: not known to exist
	rec   *jobrecord.Record
	place []jobrecord.Assignment

	accept *accept

	awaiting // see awaits.go

	stored       storedRecord
	write        jobWrite
	cancellation jobCancellation
	ack          cancelAck
	queue        jobQueueState
	placement    jobPlacement
	archive      jobArchiveState
}

// cancelReq is somebody who waits for a job's cancellation; 0: nobody waits for the answer.
type cancelReq struct {
	req uint64
	by  Cred
}

type accept struct {
	reqs    []uint64
	sent    int // how many of them came before its write was sent
	by      Cred
	spec    wire.JobSpec
	unixMS  int64
	since   time.Duration
	until   time.Duration
	failed  bool // a write of it has failed
	looking bool // it is looked for among the jobs that ended long ago
	looked  bool
}

type team struct {
	Team
	mark   uint64
	cpu    int64
	gpu    int64
	locked bool
}

func (t *team) limited() bool { return t.CPUMax > 0 || t.GPUMax > 0 }

// hasRoom reports whether a task may be added within the team's limits; a job of no team has none.
func (t *team) hasRoom(claim clusterstate.Resources) bool {
	return t == nil || (t.CPUMax == 0 || t.cpu+claim[0] <= t.CPUMax) && (t.GPUMax == 0 || t.gpu+claim[1] <= t.GPUMax)
}

// held is a leased key: a shard or the leadership.
type held struct {
	Node  string        `json:"n"`
	Lease uint64        `json:"t"`
	Token uint64        `json:"b"`
	mark  uint64        `json:"-"`
	since time.Duration `json:"-"` // absent since
}

// Core is the state machine of one controller.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	unix int64 // time of day minus now, in ms
	out  []Output
	ids  uint64

	accepting  int // submissions whose write is waited for
	machineIdx map[string]int32
	machines   []*machine
	jobIdx     map[string]int32
	jobs       []*job
	open       []*job     // those not over
	alive      []*machine // those not known to be gone

	teamIdx map[string]int
	teams   []*team

	hist   history // see history.go
	rights rights  // see rights.go
	audit  *auditlog.Recorder

	desk      *reservations.Service // see bookings.go
	deskState bookings
	restored  restored

	nodePut bool

	load overload.State

	rescue rescue // see orders.go

	lead *lead

	started time.Duration

	Stats Stats

	replica      storeReplica
	storeHealth  storeHealth
	ownLease     controllerLease
	leadership   leadershipState
	ownership    shardOwnership
	controllers  controllerSet
	agents       agentLiveness
	commands     commandDispatch
	transactions transactionState
	priority     priorityState
	clusterCopy  clusterCopy
	deltaLog     deltaLog
	placement    placementState
	autoscaler   autoscalerState
	schema       schemaState
	cancelAcks   cancelAcks
	archiving    archivingState
	maintenance  maintenanceState
	stalls       stallDetector
}

// Stats counts what the log reports at a modest rate.
type Stats struct {
	Accepted, Starts, Refusals, Commits, Conflicts, Unknown uint64
	Looks                                                   uint64 // at what a machine must be told
	PlanLooks                                               uint64 // at machines, for what needs room in plans

	Archived, ArchiveChanges          uint64 // jobs whose records moved, and the changes that took
	RecordReads, BlockReads, Recalled uint64 // reads of ended jobs, and answers that they or what they had left in memory gave
	Forbidden                         uint64 // acts refused for lack of a right
	Ended, Cold                       int    // ended jobs in memory, and others that still have records
	BlocksKept, HistoryBytes          int    // blocks, and all that ended jobs take in memory
}

// send is a request with orders on its way; one that another controller passes on has a time
// by which it counts as unanswered.
type send struct {
	machine int32
	by      time.Duration
}

// relayed is another controller's request that this one passed on.
type relayed struct {
	peer string
	id   uint64
}

type deltaBatch struct {
	seq    uint64
	sent   time.Duration // by this controller
	token  uint64        // of the leader it was sent to
	deltas []DeltaMsg
}

// New makes a core; seed feeds its randomness.
func New(cfg Config, now time.Duration, seed uint64) *Core {
	c := &Core{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, started: now,
		machineIdx: map[string]int32{}, jobIdx: map[string]int32{}, teamIdx: map[string]int{},
		desk: reservations.New(), hist: newHistory(&cfg), rights: rights{who: map[string]storedIdentity{}},
	}
	c.replica.batchValues = map[int]*batchvalue.Slot{}
	c.controllers.membership = membership.New(cfg.Peers, cfg.LinkLost)
	c.controllers.nodeKeys = map[string]held{}
	c.ownership.shards = make([]held, cfg.Shards)
	c.schema.declared = map[string]int{}
	c.transactions.inFlight = map[uint64]*txn{}
	c.transactions.rateLimit = ratelimit.New(now)
	c.transactions.endBatchDelay = cfg.Settle
	c.agents.zones = map[string]*zoneNews{}
	c.agents.missingHeartbeats = map[string][]string{}
	c.commands.inFlight = map[uint64]send{}
	c.commands.relayed = map[uint64]relayed{}
	c.autoscaler.calls = map[uint64]func(Clouded){}
	c.deltaLog.uncounted = map[string][]deltaBatch{}
	c.priority.classes = priorityclass.Default(cfg.RiseAfter)
	c.audit = c.newRecorder()
	c.cancelAcks.quorum = quorum.New(quorum.Config{Peers: cfg.Peers, CancelDeadline: cfg.CancelIn, AgentLeaseTTL: cfg.WorkerLease})
	c.clusterCopy.state.MaxAge = cfg.CopyExpire
	c.shareBudget()
	c.transactions.rateLimit.FillBurst()
	for i, t := range cfg.Teams {
		c.teamIdx[t.Name] = i
		c.teams = append(c.teams, &team{Team: t})
	}
	return c
}

func (c *Core) emit(o Output) { c.out = append(c.out, o) }
func (c *Core) id() uint64    { c.ids++; return c.ids }
func (c *Core) unixMS() int64 { return c.unix + c.now.Milliseconds() }
func (c *Core) note(level, text string, args ...any) {
	c.emit(Note{Level: level, Text: text, Args: args})
}

// machine interns a machine by name.
func (c *Core) machine(name string) *machine {
	if i, ok := c.machineIdx[name]; ok {
		return c.machines[i]
	}
	m := &machine{name: name, idx: int32(len(c.machines))}
	m.identity.firstSeenAt = c.now
	m.status.lastHeartbeatAt = c.now
	m.status.tasks = map[attKey]piece{}
	m.status.images = map[string]bool{}
	m.allocation.assignments = map[taskKey]jobrecord.Assignment{}
	m.commands.attempts = map[attKey]*attempt{}
	c.machineIdx[name] = m.idx
	c.machines = append(c.machines, m)
	c.alive = append(c.alive, m)
	return m
}

// seat interns a machine in a zone; of one that has not reported, the zone is not known otherwise.
func (c *Core) seat(name, zone string) int32 {
	m := c.machine(name)
	if m.identity.zone == "" {
		m.identity.zone = zone
	}
	return m.idx
}

// encodeRecord renders a job's record.
func (c *Core) encodeRecord(r *jobrecord.Record, place []jobrecord.Assignment, packed bool) (json.RawMessage, error) {
	return jobrecord.Encode(r, place, packed, func(machine int32) (name, zone string) {
		m := c.machines[machine]
		return m.name, m.identity.zone
	})
}

// job interns a job by id.
func (c *Core) job(id string) *job {
	if i, ok := c.jobIdx[id]; ok {
		return c.jobs[i]
	}
	j := &job{idx: int32(len(c.jobs)), id: id}
	if free := c.hist.free; len(free) > 0 {
		j.idx = free[len(free)-1]
		c.hist.free = free[:len(free)-1]
		c.jobs[j.idx] = j
	} else {
		c.jobs = append(c.jobs, j)
	}
	c.jobIdx[id] = j.idx
	return j
}

func (c *Core) knownJob(id string) *job {
	if i, ok := c.jobIdx[id]; ok && c.jobs[i].mark != 0 {
		return c.jobs[i]
	}
	return nil
}

// shardOf is the shard of a job; unknown jobs have one by their name.
func (c *Core) shardOf(j *job) int {
	if j.rec != nil {
		return j.rec.Shard
	}
	return c.shardByName(j.id)
}

func (c *Core) shardByName(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(c.ownership.shards)))
}

func (c *Core) mineShard(s int) bool {
	return s >= 0 && s < len(c.ownership.shards) && c.ownLease.id != 0 && c.ownership.shards[s].Lease == c.ownLease.id && c.ownership.shards[s].mark != 0 &&
		c.ownership.shards[s].Node == c.cfg.Name
}

func (c *Core) mine(j *job) bool { return c.mineShard(c.shardOf(j)) }

func (c *Core) leads() bool {
	return c.ownLease.id != 0 && c.leadership.leader.mark != 0 && c.leadership.leader.Node == c.cfg.Name && c.leadership.leader.Lease == c.ownLease.id
}

// leaseOK reports whether this controller's lease is certain to be in force.
func (c *Core) leaseOK() bool { return c.ownLease.id != 0 && c.now < c.ownLease.expiresAt }

// outage reports whether the state service seems down for everyone: a majority of the
// controllers is in reach and none of them reaches it.
func (c *Core) outage() bool {
	if c.leaseOK() || c.stateFresh() {
		return false
	}
	return c.controllers.membership.IsStoreOutage(c.now)
}

func (c *Core) stateFresh() bool {
	return c.storeHealth.everAnswered && c.now-c.storeHealth.lastAnswerAt < 2*time.Second && (c.storeHealth.lastFailureAt <= c.storeHealth.lastAnswerAt)
}

// entitled reports whether this controller may answer workers.
func (c *Core) entitled() bool {
	return c.replica.loaded && c.leadership.fencingToken > 0 && (c.leaseOK() || c.outage())
}

// Healthy is the answer to health checks.
func (c *Core) Healthy() bool {
	return c.replica.loaded && !c.closed() && c.autoscaler.catalog != nil && (c.leaseOK() || c.outage())
}

// Handle takes an input; Advance returns what comes of it.
func (c *Core) Handle(now time.Duration, in Input) {
	c.now = max(c.now, now)
	switch in := in.(type) {
	case Submit:
		c.submit(in)
	case Poll:
		c.poll(in)
	case Cancel:
		c.cancel(in)
	case Change:
		c.change(in)
	case Check:
		c.check(in)
	case ShowRights:
		c.showRights(in)
	case ReadAudit:
		c.readAudit(in)
	case Book:
		c.book(in)
	case ShowBookings:
		c.showBookings(in)
	case Equip:
		c.equip(in)
	case ShowQueue:
		c.showQueue(in)
	case SetLanes:
		c.changeLanes(in)
	case Refused:
		for _, it := range in.Items {
			c.recorder().RecordRefusal(audit.GatheredEvent{Identity: it.Who, Verb: it.Verb, Object: it.Object, Reason: it.Why}, it.Count)
		}
	case Beat:
		c.beat(in)
	case Seen:
		c.agents.pollsInFlight = max(0, c.agents.pollsInFlight-1)
		if in.Report != nil && in.Report.Machine == in.Machine {
			c.observe(in.Report, true)
		}
	case Ordered:
		c.ordered(in)
	case Committed:
		c.committed(in)
	case Changed:
		c.changed(in)
	case Loaded:
		c.loadedPage(in)
	case Leased:
		c.leased(in)
	case Clouded:
		if f := c.autoscaler.calls[in.ID]; f != nil {
			delete(c.autoscaler.calls, in.ID)
			f(in)
		}
	case Scanned:
		c.scanned(in)
	case FromPeer:
		c.fromPeer(in)
	case Strain:
		c.strain(in)
	case Clock:
		c.unix = in.UnixMS - c.now.Milliseconds()
	}
}

const stoodStill = time.Second // without any input: a controller has a clock that ticks many times a second

// Advance lets time pass, does what is due and returns all outputs since the last call.
func (c *Core) Advance(now time.Duration) []Output {
	c.now = max(c.now, now)
	if c.now-c.stalls.lastAdvanceAt > stoodStill {
		c.stalls.runningSince = c.now
	}
	c.stalls.lastAdvanceAt = c.now
	c.transactions.rateLimit.Refill(c.now, c.cfg.TxnOps)
	c.follow()
	c.keepLease()
	c.compact()
	c.tellHealth()
	if c.replica.loaded {
		c.tellStep()
		c.own()
		c.declare()
		c.auditStep()
		c.seedAccess()
		c.tellRights()
		c.place()
		c.bookStep()
		c.laneStep()
		c.resolve()
		c.lookup()
		c.sweepStep()
		c.leadStep()
		c.drain()
		c.returnInOutage()
		c.orders()
		c.tellPeers()
	}
	out := c.out
	c.out = nil
	return out
}

// compact drops what is over from the lists that are walked often.
func (c *Core) compact() {
	if c.now < c.maintenance.nextCompactionAt {
		return
	}
	c.maintenance.nextCompactionAt = c.now + time.Second
	c.open = slices.DeleteFunc(c.open, func(j *job) bool {
		// What waits for other jobs is touched when they are over.
		over := !j.write.dirty && !j.write.inFlight && j.accept == nil && len(j.cancellation.waiters) == 0 &&
			(j.rec == nil || j.rec.Spec == nil || j.waits > 0 && j.cause == nil && len(j.place) == 0)
		if over {
			j.write.inOpenList = false
		}
		return over
	})
	c.alive = slices.DeleteFunc(c.alive, func(m *machine) bool { return m.lifecycle.gone && len(m.allocation.assignments) == 0 })
	c.countZones()
	c.prune()
	c.countHistory()
	// Only what changed is looked at otherwise; now and then everything is, as a safeguard against
	// a change that nobody noted.
	if c.replica.loaded && c.now >= c.maintenance.nextFullScanAt && (c.load.Level() == overload.Normal || c.now >= c.maintenance.nextFullScanAt+c.cfg.LookAll) {
		c.maintenance.nextFullScanAt = c.now + c.cfg.LookAll
		for _, j := range c.open {
			c.touchLater(j)
		}
		for _, m := range c.alive {
			c.touchMachine(m)
		}
	}
}

// follow keeps the replica current: first all keys, then a watch, and barriers when asked.
func (c *Core) follow() {
	if !c.replica.loaded {
		if !c.replica.pageInFlight && c.now >= c.replica.nextPageAt {
			if c.replica.pagesRead >= loadFast && c.behind() {
				c.replica.nextPageAt = c.now + time.Second
				return
			}
			c.replica.pageInFlight = true
			if c.replica.lastPageKey == "" {
				c.replica.snapshotStartedAt = c.now
			}
			c.emit(Load{From: c.replica.lastPageKey})
		}
		return
	}
	// A barrier brings the changes too: while users ask all the time, no watch is needed.
	if !c.replica.watchInFlight && c.now >= c.replica.nextWatchAt && !c.replica.barrierInFlight && len(c.replica.barrierWaiters) == 0 {
		c.replica.watchInFlight, c.replica.watchSentAt = true, c.now
		c.replica.nextWatchAt = c.now + c.transactions.rateLimit.MinInterval(c.cfg.WatchGap, 0.25)
		c.transactions.rateLimit.SpendRequest()
		c.emit(Changes{From: c.replica.revision, Hold: true})
	}
	if !c.replica.barrierInFlight && len(c.replica.barrierWaiters) > 0 && c.now >= c.replica.nextBarrierAt {
		c.replica.barrierInFlight, c.replica.barrierSentAt = true, c.now
		c.replica.nextBarrierAt = c.now + c.transactions.rateLimit.MinInterval(c.cfg.ReadGap, 0.35)
		c.replica.inFlightWaiters, c.replica.barrierWaiters = c.replica.barrierWaiters, nil
		c.transactions.rateLimit.SpendRequest()
		c.emit(Changes{From: c.replica.revision})
	}
}

// shareBudget works out this controller's part of what the state service takes from all of
// them: an equal one, and of the changes also what the others leave.
func (c *Core) shareBudget() {
	live := float64(len(c.live()))
	if len(c.controllers.nodeKeys) == 0 {
		live = float64(len(c.cfg.Peers) + 1)
	}
	all := c.writeRPS()
	left := 0.9 * all
	for _, n := range c.cfg.Peers {
		if c.controllers.membership.IsReachable(c.now, n) {
			left -= c.controllers.membership.Peer(n).WriteRate
		} else if _, ok := c.controllers.nodeKeys[n]; ok {
			left -= all / live
		}
	}
	c.transactions.rateLimit.SetRates(all, c.cfg.StateRPS, live, left, c.cfg.WriteShare)
}

// afterBarrier calls f once all changes committed until now are known here, or with false.
func (c *Core) afterBarrier(f func(ok bool)) {
	if !c.replica.loaded || len(c.replica.barrierWaiters) > 20000 {
		f(false)
		return
	}
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, f)
}

// soonAfterBarrier is afterBarrier for a submission: its user counts the milliseconds, and there are
// few that need one. The barrier does not wait for its turn, as long as requests are left.
func (c *Core) soonAfterBarrier(f func(ok bool)) {
	c.afterBarrier(f)
	if c.transactions.rateLimit.ReadTokens > 1 {
		c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
	}
}

func (c *Core) stateAnswered(status int) {
	if status == 0 || status == 503 {
		c.storeHealth.lastFailureAt = c.now
		return
	}
	c.storeHealth.everAnswered = true
	c.storeHealth.lastAnswerAt = c.now
}

func (c *Core) changed(in Changed) {
	if in.Hold {
		c.replica.watchInFlight = false
		if in.Status != 200 {
			c.replica.nextWatchAt = max(c.replica.nextWatchAt, c.now+300*time.Millisecond)
		}
	} else {
		c.stateAnswered(in.Status)
		c.replica.barrierInFlight = false
		if in.Status == 429 {
			c.replica.barrierWaiters = append(c.replica.inFlightWaiters, c.replica.barrierWaiters...)
			c.replica.inFlightWaiters = nil
			c.replica.nextBarrierAt = c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond)
			return
		}
	}
	switch in.Status {
	case 0:
		if !in.Hold && c.storeHealth.firstLostReadAt == 0 {
			c.storeHealth.firstLostReadAt = c.replica.barrierSentAt
		}
	case 200:
		c.storeHealth.firstLostReadAt = 0
		c.apply(in.Changes)
		if in.Hold {
			c.cancelAcks.quorum.ConfirmRead(c.replica.watchSentAt)
		} else {
			c.cancelAcks.quorum.ConfirmRead(c.replica.barrierSentAt)
		}
	case 410:
		c.replica.loaded, c.replica.lastPageKey = false, ""
		c.replica.nextPageAt = c.now
	}
	if !in.Hold {
		fs := c.replica.inFlightWaiters
		c.replica.inFlightWaiters = nil
		for _, f := range fs {
			f(in.Status == 200)
		}
	}
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// apply takes the changes of a watch or barrier. Those up to seen are known already: two
// answers may overlap, and an older one must not undo a newer.
func (c *Core) apply(ch wire.WatchResponse) {
	for _, e := range ch.Events {
		if e.Revision <= c.replica.revision {
			continue
		}
		if e.Delete != "" {
			c.drop(e.Delete, e.Revision)
		} else {
			c.put(e.Put, e.Value, e.Revision)
		}
	}
	c.replica.revision = max(c.replica.revision, ch.Revision)
}

// loadedPage takes a page of all keys. Later pages may show later changes than the first:
// following from the first shows them again. Only what is not over stays in memory, and what ended last.
func (c *Core) loadedPage(in Loaded) {
	c.replica.pageInFlight = false
	if !in.OK {
		if in.Status != 429 {
			c.storeHealth.lastFailureAt = c.now
		}
		c.replica.nextPageAt = c.now + 200*time.Millisecond + c.jitter(200*time.Millisecond)
		return
	}
	c.stateAnswered(200)
	if c.replica.lastPageKey == "" {
		for i := range c.ownership.shards {
			c.ownership.shards[i] = held{since: c.now}
		}
		for _, s := range c.replica.batchValues {
			s.Revision, s.Entries = 0, nil
		}
		c.leadership.leader = held{since: c.now}
		c.controllers.nodeKeys = map[string]held{}
		c.controllers.nodesVersion++
		c.hist.cold, c.hist.marker = 0, 0
		c.rights = rights{who: map[string]storedIdentity{}}
		c.hist.index.Clear()
		c.desk.Reset()
		c.setLanes(nil, 0)
		c.archiving.sweep = nil
		c.restored.mark = 0
		c.replica.snapshotRevision, c.replica.pagesRead = in.Ledger, 0
		c.replica.snapshots++
	}
	for _, it := range in.Items {
		c.put(it.Key, it.Value, it.Revision)
		c.replica.lastPageKey = it.Key
	}
	c.replica.pagesRead++
	c.prune()
	if in.More && len(in.Items) > 0 {
		if c.replica.pagesRead >= loadFast {
			c.replica.nextPageAt = c.now + time.Duration(float64(time.Second)/(loadShare*c.cfg.StateRPS))
		}
		return
	}
	c.hist.loadedTo = in.Ledger
	for _, j := range slices.Clone(c.jobs) {
		if j != nil && j.mark != 0 && !j.archive.archived && j.stored.snapshot != c.replica.snapshots {
			c.leaveArchived(j, c.replica.snapshotRevision) // it moved while the changes were not followed
		}
	}
	c.replica.revision = c.replica.snapshotRevision
	c.replica.lastPageKey = ""
	c.replica.loaded = true
	c.cancelAcks.quorum.ConfirmRead(c.replica.snapshotStartedAt)
	c.replica.watchInFlight = false
	c.note("info", "state loaded", "ledger", c.replica.revision, "pages", c.replica.pagesRead, "jobs", len(c.jobIdx), "ended", len(c.hist.ended), "cold", c.hist.cold)
}

// behind reports whether another controller is further in reading all keys. One after the other,
// the first serves when it has read its own; at a time, all would serve when everything was read by all.
func (c *Core) behind() bool {
	for _, n := range c.cfg.Peers {
		if p := c.controllers.membership.Peer(n); c.controllers.membership.IsReachable(c.now, n) && (p.SnapshotPagesLoaded > c.replica.pagesRead || p.SnapshotPagesLoaded == c.replica.pagesRead && n < c.cfg.Name) {
			return true
		}
	}
	return false
}

const (
	loadFast  = 20  // pages that are read one after the other, when all keys are
	loadShare = 0.5 // of the requests, for the others: those that serve need theirs
)

// put takes a key's new value into the replica.
func (c *Core) put(key string, raw json.RawMessage, mark uint64) {
	bad := func(err error) {
		if err != nil {
			c.note("error", "value not understood", "key", key, "err", err.Error())
		}
	}
	switch {
	case key == keyEpoch:
		var v uint64
		if err := json.Unmarshal(raw, &v); err != nil {
			bad(err)
			return
		}
		if mark >= c.leadership.fencingTokenRevision {
			c.leadership.fencingToken, c.leadership.fencingTokenRevision = v, mark
		}
	case key == keyLeader:
		var h held
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.leadership.leader = h
	case strings.HasPrefix(key, keyNode):
		var h held
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.controllers.nodeKeys[key[len(keyNode):]] = h
		c.controllers.nodesVersion++
	case strings.HasPrefix(key, keyShard):
		var h held
		n := c.shardNum(key)
		if err := json.Unmarshal(raw, &h); err != nil || n < 0 {
			bad(err)
			return
		}
		h.mark = mark
		c.ownership.shards[n] = h
		if h.Node == c.cfg.Name && h.Lease == c.ownLease.id {
			c.gained(n)
		}
	case key == keyTypes:
		v, err := jobrecord.DecodeCatalog(raw)
		if err != nil {
			bad(err)
			return
		}
		c.autoscaler.storedRevision, c.autoscaler.storedCatalog = mark, v
		if c.autoscaler.catalog == nil {
			c.setCatalog(&v)
		}
	case strings.HasPrefix(key, keyTeam):
		if i, ok := c.teamIdx[key[len(keyTeam):]]; ok {
			c.teams[i].mark = max(c.teams[i].mark, mark)
		}
	case strings.HasPrefix(key, keyJob):
		j := c.job(key[len(keyJob):])
		j.stored.snapshot = c.replica.snapshots
		if mark <= j.mark {
			if j.rec != nil { // its own write's reply came before
				c.recorder().ObserveEntries(key, j.mark, j.rec.PendingAudit)
			}
			return
		}
		r, err := jobrecord.Decode(raw)
		if err != nil {
			c.hist.cold++ // it exists: whoever asks for it must not be told otherwise
			bad(err)
			return
		}
		c.recorder().ObserveEntries(key, mark, r.PendingAudit)
		r = c.laid(j.id, r)
		c.adopt(j, r, r.ExpandAssignments(c.seat), mark, len(raw))
	case strings.HasPrefix(key, keySlot):
		bad(c.putSlot(key, raw, mark))
	case strings.HasPrefix(key, keyForm):
		bad(c.putForm(key, raw, mark))
	case strings.HasPrefix(key, keyAccess):
		bad(c.putAccess(key, raw, mark))
	case strings.HasPrefix(key, auditlog.Prefix):
		bad(c.recorder().ApplyPut(key, raw, mark))
	case key == KeyRestored:
		bad(c.putRestored(raw, mark))
	case key == keyHistory:
		c.putHistory(mark)
	case key == keyLanes:
		bad(c.putLanes(raw, mark))
	case strings.HasPrefix(key, reservations.Prefix):
		bad(c.putBooking(key, raw, mark))
	case strings.HasPrefix(key, keyCancel):
		bad(c.putCancel(key, raw, mark))
	}
}

func (c *Core) shardNum(key string) int {
	for i := range c.ownership.shards {
		if shardKey(i) == key {
			return i
		}
	}
	return -1
}

func (c *Core) drop(key string, mark uint64) {
	switch {
	case key == keyLeader:
		c.leadership.leader = held{since: c.now}
	case strings.HasPrefix(key, keyNode):
		delete(c.controllers.nodeKeys, key[len(keyNode):])
		c.controllers.nodesVersion++
	case strings.HasPrefix(key, keyShard):
		if n := c.shardNum(key); n >= 0 {
			c.ownership.shards[n] = held{since: c.now}
		}
	case strings.HasPrefix(key, keyAccess):
		c.dropAccess(key)
	case key == KeyRestored:
		c.restored.mark = 0
	case strings.HasPrefix(key, reservations.Prefix):
		c.desk.ApplyDelete(key, mark)
	case strings.HasPrefix(key, keyJob):
		c.moved(key[len(keyJob):], mark)
	}
}

// adopt makes a committed record of a size the known state of a job.
func (c *Core) adopt(j *job, r *jobrecord.Record, place []jobrecord.Assignment, mark uint64, size int) {
	was, held := j.final(), len(j.place)
	if j.cancellation.markerRevision != 0 && r.Stage == jobrecord.Queued {
		r.Stage, r.CancelledAtMS = jobrecord.Cancelled, j.cancellation.markerMS
	}
	c.unplace(j)
	if j.mark == 0 && r.Spec != nil {
		c.sawJob(r)
	}
	if mark != j.mark {
		j.stored.needsOwnKey = false
	}
	j.rec, j.place, j.mark, j.stored.bytes = r, place, mark, size
	if r.EnqueueRevision != 0 || j.queue.enqueueRevision == 0 {
		j.queue.enqueueRevision = cmp.Or(r.EnqueueRevision, mark)
	}
	if r.Spec != nil {
		r.Spec.ID = j.id
	}
	c.link(j)
	tm, claim := c.claimOf(j)
	j.placement.completedTasks = 0
	for _, a := range place {
		m := c.machines[a.Machine]
		m.allocation.assignments[taskKey{j.idx, a.Task}] = a
		c.changedOn(m)
		if p := m.status.tasks[attKey{j.idx, a.Task, a.Attempt}]; p.state == wire.TaskExited && p.cause == wire.CauseDone {
			j.placement.completedTasks++
		}
		if tm != nil {
			tm.cpu += claim[0]
			tm.gpu += claim[1]
		}
	}
	j.placement.tasksLost = false
	j.placement.hasUnplacedTasks = !j.final() && r.Spec != nil && j.waits == 0 && r.CompletedTasks.Count()+len(place) < r.Spec.Tasks
	if !j.endedWhole() || j.accept != nil || len(j.cancellation.waiters) > 0 {
		c.touch(j)
	}
	c.placement.capacityFreed = c.placement.capacityFreed || len(place) < held
	if j.final() && !was {
		c.over(j)
	}
	c.noteEnd(j)
}

// unplace takes what a job's record assigned off the machines and off its team's use.
func (c *Core) unplace(j *job) {
	tm, claim := c.claimOf(j)
	for _, a := range j.place {
		m := c.machines[a.Machine]
		if cur, ok := m.allocation.assignments[taskKey{j.idx, a.Task}]; ok && cur == a {
			delete(m.allocation.assignments, taskKey{j.idx, a.Task})
		}
		c.changedOn(m)
		if tm != nil {
			tm.cpu -= claim[0]
			tm.gpu -= claim[1]
		}
	}
}

func (c *Core) claimOf(j *job) (*team, clusterstate.Resources) {
	if j.rec == nil || j.rec.Spec == nil {
		return nil, clusterstate.Resources{}
	}
	if i, ok := c.teamIdx[j.rec.Spec.Team]; ok {
		return c.teams[i], j.rec.Spec.Request
	}
	return nil, j.rec.Spec.Request
}

// touch has a job looked at again.
func (c *Core) touch(j *job) {
	c.touchLater(j)
	j.write.nextLookAt = 0
}

// touchLater has a job looked at again, when its last look asked for one.
func (c *Core) touchLater(j *job) {
	if !j.write.inOpenList {
		j.write.inOpenList = true
		c.open = append(c.open, j)
	}
	if !j.write.dirty {
		j.write.dirty = true
		j.write.dirtySince = c.now
	}
}

// touchMachine has a machine's orders looked at again.
func (c *Core) touchMachine(m *machine) {
	m.commands.dirty = true
	if !m.commands.queued {
		m.commands.queued = true
		c.commands.dirtyMachines = append(c.commands.dirtyMachines, m)
	}
}

// changedOn notes that a machine's tasks are others than they were.
func (c *Core) changedOn(m *machine) {
	m.status.lastChangeAt, m.allocation.known = c.now, false
	c.touchMachine(m)
}

// digest is the same for two reports that say the same of their tasks, in whatever order.
func digest(r *wire.Heartbeat) uint64 {
	var sum uint64
	var buf []byte
	h := fnv.New64a()
	for i := range r.Tasks {
		p := &r.Tasks[i]
		buf = append(buf[:0], p.Task...)
		buf = append(append(append(append(buf, ' '), p.Stage...), ' '), p.Cause...)
		buf = strconv.AppendBool(strconv.AppendUint(append(buf, ' '), p.Attempt, 10), p.Checkpointed)
		h.Reset()
		h.Write(buf)
		sum += h.Sum64()
	}
	if r.InterruptionNoticeS != nil {
		sum++
	}
	return sum
}

// observe takes a worker's report. Older ones are ignored: reports may come late and by way
// of other controllers.
func (c *Core) observe(r *wire.Heartbeat, direct bool) {
	m := c.machine(r.Machine)
	if m.lifecycle.gone || r.Incarnation < m.status.incarnation || r.Incarnation == m.status.incarnation && r.Sequence <= m.status.heartbeatSeq {
		return
	}
	d := digest(r)
	if m.status.reported && m.status.incarnation == r.Incarnation && m.status.digest == d {
		// Nothing new: most reports of a large fleet. The others need only know that it lives.
		c.signOfLife(m, r.Sequence, r.FencingToken)
		if direct {
			c.agents.digestsToRelay = append(c.agents.digestsToRelay, Heard{r.Machine, r.Incarnation, r.Sequence, r.FencingToken, d})
		}
		return
	}
	m.status.digest = d
	if r.Incarnation > m.status.incarnation {
		m.status.images = map[string]bool{}
	}
	fresh, renewed := !m.status.reported, m.status.reported && m.status.incarnation != r.Incarnation
	m.status.reported = true
	m.identity.address, m.identity.machineType, m.identity.zone, m.identity.spot = r.Addr, r.Type, r.Zone, r.Spot
	m.status.incarnation = r.Incarnation
	if r.InterruptionNoticeS != nil {
		m.lifecycle.interruptionDeadline = c.now + time.Duration(*r.InterruptionNoticeS*float64(time.Second))
		if *r.InterruptionNoticeS < 0 || *r.InterruptionNoticeS > 1e6 {
			m.lifecycle.interruptionDeadline = c.now + time.Second
		}
	}
	next := make(map[attKey]piece, len(r.Tasks))
	for _, p := range r.Tasks {
		id, t, ok := wire.SplitTaskName(p.Task)
		if !ok {
			continue
		}
		j := c.job(id)
		k := attKey{j.idx, int32(t), p.Attempt}
		n := piece{state: p.Stage, cause: p.Cause, kept: p.Checkpointed}
		old := m.status.tasks[k]
		n.since = old.since
		if !old.same(n) {
			n.since = c.now
		}
		next[k] = n
		delete(m.status.tasks, k)
		if old.same(n) {
			continue
		}
		a, assigned := m.allocation.assignments[taskKey{j.idx, int32(t)}]
		assigned = assigned && a.Attempt == p.Attempt && a.Incarnation == m.status.incarnation
		if p.Stage == wire.TaskExited {
			if assigned {
				c.freed(j, a)
				if p.Cause == wire.CauseDone {
					j.placement.completedTasks++
				}
			}
			if p.Cause == wire.CauseDone && assigned && !j.final() && j.rec != nil && j.rec.Spec != nil &&
				j.rec.CompletedTasks.Count()+j.placement.completedTasks < j.rec.Spec.Tasks {
				c.touchLater(j) // others of its tasks run on: the write of this end may wait for theirs
			} else {
				c.touch(j)
			}
			c.judgeEnd(m, j, p.Cause)
		}
		if p.Stage == wire.TaskRunning && j.rec != nil && j.rec.Spec != nil {
			m.status.images[j.rec.Spec.Image] = true
		}
	}
	for k := range m.status.tasks { // what is not reported any more
		c.touch(c.jobs[k.job])
	}
	m.status.tasks = next
	c.signOfLife(m, r.Sequence, r.FencingToken)
	c.changedOn(m)
	if renewed {
		c.lostTasks(m)
	}
	if fresh {
		for _, a := range m.sortedTasks() {
			c.touch(c.jobs[a.job])
		}
		c.placement.capacityFreed = true
	}
	if direct {
		c.agents.heartbeatsToRelay = append(c.agents.heartbeatsToRelay, r)
	}
	c.leadSaw(m)
}

// signOfLife notes that a machine gave a sign of life with these numbers. A higher token
// settles what became of earlier orders.
func (c *Core) signOfLife(m *machine, seq, token uint64) {
	m.status.lastHeartbeatAt, m.status.heartbeatSeq, m.status.polls = c.now, seq, 0
	c.zoneOf(m.identity.zone).heard = c.now
	if token > m.status.fencingToken {
		m.status.fencingToken = token
		m.status.lastChangeAt = c.now
		c.touchMachine(m)
		for _, a := range m.sortedTasks() {
			if j := c.jobs[a.job]; j.final() {
				c.touch(j)
			}
		}
	}
}

// heard takes the news that a machine reported nothing new to another controller.
func (c *Core) heard(peer string, h Heard) {
	m := c.machine(h.Machine)
	if m.lifecycle.gone || h.Session < m.status.incarnation || h.Session == m.status.incarnation && h.Seq <= m.status.heartbeatSeq {
		return
	}
	if m.status.reported && m.status.incarnation == h.Session && m.status.digest == h.Digest {
		c.signOfLife(m, h.Seq, h.Token)
		return
	}
	// What changed there before was not heard of here.
	m.status.lastHeartbeatAt = c.now
	c.agents.missingHeartbeats[peer] = append(c.agents.missingHeartbeats[peer], h.Machine)
}

// reportOf is a machine's last report, for a controller that lacks it.
func (c *Core) reportOf(m *machine) *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: m.name, Addr: m.identity.address, Type: m.identity.machineType, Zone: m.identity.zone, Spot: m.identity.spot, Incarnation: m.status.incarnation, Sequence: m.status.heartbeatSeq, FencingToken: m.status.fencingToken}
	if m.lifecycle.interruptionDeadline != 0 {
		left := (m.lifecycle.interruptionDeadline - c.now).Seconds()
		r.InterruptionNoticeS = &left
	}
	for _, k := range m.sortedPieces() {
		p := m.status.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(c.jobs[k.job].id, int(k.task)), Attempt: k.try, Stage: p.state, Cause: p.cause, Checkpointed: p.kept})
	}
	return r
}

// judgeEnd draws conclusions about a machine from the end of a task there.
func (c *Core) judgeEnd(m *machine, j *job, cause string) {
	switch cause {
	case wire.CauseDone:
		m.health.failedJobs, m.health.failures = nil, 0
	case wire.CauseError:
		if m.health.failedJobs == nil {
			m.health.failedJobs = map[int32]bool{}
		}
		m.health.failedJobs[j.idx], m.health.lastFailureAt = true, c.now
	}
}

// markGone records the proof that a machine and all on it are gone.
func (c *Core) markGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	m.lifecycle.gone = true
	c.clusterCopy.state.Remove(m.idx)
	c.lostTasks(m)
	if c.lead != nil {
		c.lead.array.Remove(m.idx)
	}
}

// lostTasks has the jobs looked at whose tasks were lost with a machine or its session. The
// machines of a lost zone go one after the other: a job of many tasks waits a moment for the
// others, as it would take a write for each; replicas do not wait.
func (c *Core) lostTasks(m *machine) {
	for _, a := range m.sortedTasks() {
		j := c.jobs[a.job]
		j.placement.tasksLost = true
		if j.write.dirty || j.rec == nil || j.rec.Spec == nil || j.rec.Spec.Service || j.final() {
			c.touch(j)
			continue
		}
		c.touchLater(j)
		j.write.nextLookAt = max(j.write.nextLookAt, c.now+c.cfg.LossGather)
	}
}

// sortedTasks lists a machine's assignments in a fixed order.
func (m *machine) sortedTasks() []asg2 {
	out := make([]asg2, 0, len(m.allocation.assignments))
	for k, a := range m.allocation.assignments {
		out = append(out, asg2{k.job, a})
	}
	slices.SortFunc(out, func(x, y asg2) int {
		return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.Task, y.Task))
	})
	return out
}

// sortedPieces lists what a machine reported in a fixed order.
func (m *machine) sortedPieces() []attKey {
	out := make([]attKey, 0, len(m.status.tasks))
	for k := range m.status.tasks {
		out = append(out, k)
	}
	slices.SortFunc(out, attKey.compare)
	return out
}

// asg2 is an assignment with its job.
type asg2 struct {
	job int32
	jobrecord.Assignment
}

// storeReplica is this controller's copy of the key-value store: how far it has read, the snapshot load, the watch and the read barriers.
type storeReplica struct {
	// The replica of the state service.
	revision          uint64
	loaded            bool
	pageInFlight      bool
	nextPageAt        time.Duration
	batchValues       map[int]*batchvalue.Slot // by shard, see share.go
	lastPageKey       string                   // the key up to which all keys were read
	snapshotRevision  uint64                   // revision of the first page
	snapshots         uint64
	pagesRead         int
	watchInFlight     bool
	nextWatchAt       time.Duration
	barrierWaiters    []func(ok bool) // for the next read barrier
	inFlightWaiters   []func(ok bool)
	barrierInFlight   bool
	nextBarrierAt     time.Duration
	barrierSentAt     time.Duration // when the barrier on its way was sent
	watchSentAt       time.Duration // when the watch was
	snapshotStartedAt time.Duration // when the first page of all keys was asked for
}

// storeHealth is whether the key-value store answers this controller: its last answer and failure, and the first unanswered read.
type storeHealth struct {
	firstLostReadAt time.Duration // when the first of the reads of changes was sent that got no answer, since the last that did; 0: there is none
	lastAnswerAt    time.Duration // last answer of the state service
	lastFailureAt   time.Duration // last failure
	everAnswered    bool
}

// controllerLease is this controller's own lease in the store and the grant or extension on its way.
type controllerLease struct {
	id            uint64
	expiresAt     time.Duration
	opInFlight    string
	requestSentAt time.Duration
}

// leadershipState is who leads, by which fencing token, and raising that token.
type leadershipState struct {
	fencingToken         uint64
	fencingTokenRevision uint64
	leader               held
	raiseInFlight        bool
	nextRaiseAt          time.Duration
}

// shardOwnership is which controller holds each shard, and claiming and handing over shards.
type shardOwnership struct {
	shards         []held
	claimInFlight  bool
	nextClaimAt    time.Duration
	nextHandoverAt time.Duration
}

// controllerSet is the other controllers: their leased keys, which are in reach, what health was told them.
type controllerSet struct {
	membership   *membership.Members
	nodeKeys     map[string]held
	nodesVersion uint64 // counts how often nodes changed
	nextHealthAt time.Duration
}

// agentLiveness is what agents said of late and what of it goes to the other controllers; status polls; liveness of zones.
type agentLiveness struct {
	pollsInFlight     int // requests for reports on their way
	zones             map[string]*zoneNews
	nextDigestAt      time.Duration // when the others are told next of machines that report nothing new
	heartbeatsToRelay []*wire.Heartbeat
	digestsToRelay    []Heard
	missingHeartbeats map[string][]string // by controller: machines whose reports it has and this one lacks
}

// commandDispatch is commands to agents: which machines may need some, requests in flight, requests relayed for other controllers.
type commandDispatch struct {
	dirtyMachines       []*machine // those that may need orders
	nextDrainAt         time.Duration
	nextReturnRequestAt time.Duration
	inFlight            map[uint64]send
	relayed             map[uint64]relayed
}

// transactionState is transactions in flight, the rate limit of the store, and what waits to be written.
type transactionState struct {
	inFlight          map[uint64]*txn
	rateLimit         ratelimit.Limiter
	endBatchDelay     time.Duration // how long ends may wait to share a write
	nextBlockedScanAt time.Duration // when what waits for a write is looked at even if none can be made
	backlog           int           // jobs that waited to be looked at for a write, at the last look
}

// priorityState is the list of priority classes in force, their shares of starts, and the first waiting job of each.
type priorityState struct {
	classes          *priorityclass.List // see lanes.go
	revision         uint64              // 0: that of the priorities is in force
	nextSeedAt       time.Duration
	enabledPublished bool
	startShares      shares
	firstWaiting     []Waiting // of each lane, the first of its jobs that wait for room, of late
}

// clusterCopy is this controller's copy of the shared cluster state, as of the leader's last push.
type clusterCopy struct {
	state          clusterstate.Copy
	revision       uint64 // revision and leader of the last push taken
	leaderToken    uint64
	countedBatches map[string]uint64 // what it had counted
	nextResendAt   time.Duration
	capacityHold   *Hold // as the leader told with the last push
}

// deltaLog is start and finish tuples of this controller on their way to the leader and the others.
type deltaLog struct {
	unsent        []DeltaMsg
	uncounted     map[string][]deltaBatch // of each controller, not yet counted by the leader
	lastSeq       uint64
	countingDelay time.Duration // how long it takes of late until a push shows that a batch was counted
	nextBatchAt   time.Duration
}

// placementState is when waiting tasks are placed next, and which requests are known to find no capacity.
type placementState struct {
	unplaceable   []noRoom // claims that found no room since some became free
	nextScanAt    time.Duration
	capacityFreed bool          // room may have become free
	yieldedUntil  time.Duration // when room is to be looked at that was another's to take first; 0: there is none
}

// autoscalerState is the catalog of machine types (from the cloud, and as stored), arrivals by job class, cloud calls in flight.
type autoscalerState struct {
	catalog         map[string]*wire.MachineType
	typeNames       []string // its names, sorted
	nextCatalogAt   time.Duration
	storedRevision  uint64       // of the kept catalog
	storedCatalog   wire.Catalog // as the state service holds it
	storeInFlight   bool
	catalogInFlight bool
	classStats      map[string]*classStat
	calls           map[uint64]func(Clouded)
}

// schemaState is schema versions: what each controller declared, the one in force, this controller's own declaration.
type schemaState struct {
	declared            map[string]int // what each controller declared
	active              int
	declarationRevision uint64        // of this controller's declaration
	activeSince         time.Duration // since when it may be written
	declarationInFlight bool
	nextDeclarationAt   time.Duration
}

// cancelAcks is acknowledging cancellations: the quorum's view, answers that wait for it, and how long somebody may wait.
type cancelAcks struct {
	waitersUntil  time.Duration // until then, somebody may wait for a cancellation
	quorum        *quorum.View  // see cancellations.go
	pending       []untold
	peersKnowUpTo uint64        // up to this revision others have told of all cancellations
	nextReadAt    time.Duration // when the state service is read next for the sake of that
}

// archivingState is the sweep that moves ended jobs into the archive.
type archivingState struct {
	sweep            *sweep // see sweep.go
	nextSweepCheckAt time.Duration
}

// maintenanceState is periodic upkeep: compaction of the walked lists and the full scan, a safeguard against missed changes.
type maintenanceState struct {
	nextCompactionAt time.Duration
	nextFullScanAt   time.Duration
}

// stallDetector is pauses of this process: silence in one is no sign that a machine is silent.
type stallDetector struct {
	lastAdvanceAt time.Duration // when time passed here last
	runningSince  time.Duration // since when it has without a pause: what was not heard in one is no sign of silence
}

// machineIdentity is what the machine is, as its agent says.
type machineIdentity struct {
	address     string
	machineType string
	zone        string
	spot        bool
	firstSeenAt time.Duration // first known here
}

// agentStatus is the last heartbeat of its agent and the status polls since.
type agentStatus struct {
	incarnation     uint64
	heartbeatSeq    uint64
	fencingToken    uint64
	reported        bool // it has reported
	lastHeartbeatAt time.Duration
	lastChangeAt    time.Duration // when its report or its assignments changed last
	lastPollAt      time.Duration // when it was asked for its report last
	polls           int           // how often it was, since it was heard of
	digest          uint64        // of what it reported last
	tasks           map[attKey]piece
	images          map[string]bool
}

// machineLifecycle is its end: interruption notice, return to the cloud, proof that it is gone.
type machineLifecycle struct {
	interruptionDeadline time.Duration // when the notice runs out; 0: none
	gone                 bool          // proof that it and all on it are gone
	returnRequested      bool          // its return was asked of the cloud
}

// machineCommands is commands to its agent: attempts known, the request in flight, when the next may go.
type machineCommands struct {
	lastUnansweredAt time.Duration // when orders to it stayed without an answer last
	attempts         map[attKey]*attempt
	requestID        uint64 // id of the orders on their way; 0: none
	requestToken     uint64
	requestAttempts  []attKey
	unanswered       int // requests unanswered in a row
	nextSendAt       time.Duration
	nextClearAt      time.Duration // when its ended tasks are to be forgotten; 0: none is
	dirty            bool
	queued           bool // in the list of machines that may need orders
	lastExaminedAt   time.Duration
}

// machineAllocation is tasks assigned to it, resources allocated for them, and how long they keep it busy.
type machineAllocation struct {
	assignments   map[taskKey]jobrecord.Assignment
	allocated     clusterstate.Resources // room taken, if occKnown
	known         bool
	busyHorizon   time.Duration // how long its tasks keep it, as of stayAt
	busyHorizonAt time.Duration
}

// machineHealth is failures there: from when it takes work again, and what points to a faulty machine.
type machineHealth struct {
	avoidUntil    time.Duration
	failures      int
	lastFailureAt time.Duration  // when something failed there last
	failedJobs    map[int32]bool // jobs that failed on it since a task last completed
}

// rankCache is this controller's cached rank among those that may use the machine.
type rankCache struct {
	nodesVersion uint64 // as of which controllers, by c.around, rank holds
	rank         int    // of this controller among those that may use it, see Core.order
}

// storedRecord is how its record lies in the store.
type storedRecord struct {
	bytes       int    // of its record, as it is stored
	needsOwnKey bool   // its next write is to be of its own key: it did not fit its slot
	snapshot    uint64 // when all keys were read last, it was there
}

// jobWrite is when its record is looked at for a write, and the write on its way.
type jobWrite struct {
	inFlight       bool
	outcomeUnknown bool // an unknown outcome is being cleared up by a read barrier
	dirty          bool
	inOpenList     bool          // in the list of open jobs
	dirtySince     time.Duration // dirty since
	nextLookAt     time.Duration // not looked at before, although dirty
	waitsForEnds   bool          // its next record only tells of ends, and waits for others
}

// jobCancellation is who waits for its cancellation, and the cancel marker in a key of its own.
type jobCancellation struct {
	waiters        []cancelReq
	requestedMS    int64
	answerBy       time.Duration // until when an answer must be given
	markerRevision uint64        // of the mark of its cancellation; 0: there is none
	markerMS       int64
	markerAudit    []audit.PendingEntry // by that mark
}

// cancelAck is whether its cancellation may be acknowledged, and which controllers hold it.
type cancelAck struct {
	allowed         bool            // users may be told that it is cancelled
	heldBy          map[string]bool // controllers that have said that they hold its cancellation
	nextBroadcastAt time.Duration   // when the others are told of that again
}

// jobQueueState is its position among the waiting jobs.
type jobQueueState struct {
	missingReplicas int           // replicas of it that are gone, as of the last turn that ordered writes
	enqueueRevision uint64        // revision of its acceptance: its place in its lane
	rank            rank          // as it was worked out last
	boostedUntil    time.Duration // until then it is ordered as one of the first lane, for the share of its own
}

// jobPlacement is its tasks: to be placed, lost, ended; back-off after failures.
type jobPlacement struct {
	completedTasks   int // assigned tasks that have completed, as their machines say
	failures         int
	backoffUntil     time.Duration
	hasUnplacedTasks bool  // has tasks to place now
	tasksLost        bool  // tasks of it are gone, and must be started again
	lastPlacedMS     int64 // time of day when tasks of it were placed last
}

// jobArchiveState is its way out of memory once it has ended.
type jobArchiveState struct {
	counted  bool // among the ended jobs in memory whose records have not moved
	archived bool // it has moved
	evicting bool // to be dropped from memory
}
