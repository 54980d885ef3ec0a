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
	"dewlift/ccs"
	"dewlift/core/booking"
	"dewlift/core/budget"
	"dewlift/core/ledger"
	"dewlift/core/links"
	"dewlift/core/quorum"
	"dewlift/core/recorder"
	"dewlift/core/shared"
	"dewlift/lanes"
	"dewlift/overload"
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
	name    string
	idx     int32
	addr    string
	typ     string
	zone    string
	spot    bool
	session uint64
	seq     uint64
	token   uint64
	up      bool          // it has reported
	first   time.Duration // first known here
	heard   time.Duration
	changed time.Duration // when its report or its assignments changed last
	shown   time.Duration // when it was asked for its report last
	asked   int           // how often it was, since it was heard of
	missed  time.Duration // when orders to it stayed without an answer last
	noticed time.Duration // when the notice runs out; 0: none
	digest  uint64        // of what it reported last
	pieces  map[attKey]piece
	asg     map[taskKey]ledger.Asg
	att     map[attKey]*attempt

	occ      ccs.Vec // room taken, if occKnown
	occKnown bool
	stay     time.Duration // how long its tasks keep it, as of stayAt
	stayAt   time.Duration

	gone      bool // proof that it and all on it are gone
	returning bool // its return was asked of the cloud
	refused   time.Duration
	errs      int
	failedAt  time.Duration  // when something failed there last
	failed    map[int32]bool // jobs that failed on it since a task last completed

	send     uint64 // id of the orders on their way; 0: none
	sendTok  uint64
	sendKeys []attKey
	misses   int // requests unanswered in a row
	nextSend time.Duration
	clearAt  time.Duration // when its ended tasks are to be forgotten; 0: none is
	touched  bool
	hot      bool // in the list of machines that may need orders
	probed   time.Duration
	images   map[string]bool
	ranked   uint64 // as of which controllers, by c.around, rank holds
	rank     int    // of this controller among those that may use it, see Core.order
	lead     leadMachine
}

type job struct {
	idx   int32
	id    string
	mark  uint64 // 0: not known to exist
	rec   *ledger.Record
	place []ledger.Asg

	inflight bool
	resync   bool // an unknown outcome is being cleared up by a read barrier
	dirty    bool
	listed   bool          // in the list of open jobs
	since    time.Duration // dirty since
	lookAt   time.Duration // not looked at before, although dirty
	ended    int           // assigned tasks that have completed, as their machines say
	accept   *accept
	cancels  []cancelReq
	cancelMS int64
	cancelBy time.Duration // until when an answer must be given
	errs     int
	backoff  time.Duration
	pending  bool          // has tasks to place now
	lost     bool          // tasks of it are gone, and must be started again
	missing  int           // replicas of it that are gone, as of the last turn that ordered writes
	placedMS int64         // time of day when tasks of it were placed last
	size     int           // of its record, as it is stored
	accepted uint64        // revision of its acceptance: its place in its lane
	rank     rank          // as it was worked out last
	boosted  time.Duration // until then it is ordered as one of the first lane, for the share of its own
	settling bool          // its next record only tells of ends, and waits for others
	ownKey   bool          // its next write is to be of its own key: it did not fit its slot

	mayTell bool            // users may be told that it is cancelled
	heldBy  map[string]bool // controllers that have said that they hold its cancellation
	toldAt  time.Duration   // when the others are told of that again

	cancelMark  uint64 // of the mark of its cancellation; 0: there is none
	markedMS    int64
	markCarried []audit.Carried // by that mark

	counted  bool   // among the ended jobs in memory whose records have not moved
	archived bool   // it has moved
	leaving  bool   // to be dropped from memory
	load     uint64 // when all keys were read last, it was there

	awaiting // see awaits.go
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
	spec    wire.Spec
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
func (t *team) hasRoom(claim ccs.Vec) bool {
	return t == nil || (t.CPUMax == 0 || t.cpu+claim[0] <= t.CPUMax) && (t.GPUMax == 0 || t.gpu+claim[1] <= t.GPUMax)
}

// held is a leased key: a shard or the leadership.
type held struct {
	Node  string `json:"n"`
	Lease uint64 `json:"t"`
	Token uint64 `json:"b"`
	mark  uint64
	since time.Duration // absent since
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
	hot        []*machine // those that may need orders
	probing    int        // requests for reports on their way
	zones      map[string]*zoneNews
	teamIdx    map[string]int
	teams      []*team
	links      *links.Links

	// The replica of the state service.
	seen    uint64
	loaded  bool
	loading bool
	retryAt time.Duration
	epoch   uint64
	epochMk uint64
	shards  []held
	slots   map[int]*shared.Slot // by shard, see share.go
	leader  held
	nodes   map[string]held
	around  uint64 // counts how often nodes changed

	hist      history // see history.go
	rights    rights  // see rights.go
	audit     *recorder.Recorder
	lanes     *lanes.List // see lanes.go
	lanesMark uint64      // 0: that of the priorities is in force
	lanesAt   time.Duration
	lanesTold bool
	shares    shares
	waits     []Waiting     // of each lane, the first of its jobs that wait for room, of late
	desk      *booking.Desk // see bookings.go
	deskState bookings
	restored  restored
	sweep     *sweep // see sweep.go
	sweepLook time.Duration
	loadFrom  string // the key up to which all keys were read
	loadAt    uint64 // revision of the first page
	loads     uint64
	loadPages int

	forms     map[string]int // what each controller declared
	formNow   int
	formMark  uint64        // of this controller's declaration
	formAt    time.Duration // since when it may be written
	declaring bool
	declareAt time.Duration

	watching  bool
	watchAt   time.Duration
	waiting   []func(ok bool) // for the next read barrier
	inBarrier []func(ok bool)
	barrier   bool
	barrierAt time.Duration
	barrierOf time.Duration // when the barrier on its way was sent
	watchOf   time.Duration // when the watch was
	loadOf    time.Duration // when the first page of all keys was asked for
	readLost  time.Duration // when the first of the reads of changes was sent that got no answer, since the last that did; 0: there is none
	stateGood time.Duration // last answer of the state service
	stateBad  time.Duration // last failure
	anyGood   bool

	lease      uint64
	leaseUntil time.Duration
	leaseOp    string
	leaseSent  time.Duration
	nodePut    bool
	claiming   bool
	claimAt    time.Duration
	giveAt     time.Duration
	bumping    bool
	bumpAt     time.Duration

	txns   map[uint64]*txn
	budget budget.Budget
	settle time.Duration // how long ends may wait to share a write

	load        overload.State
	scanAt      time.Duration // when what waits for a write is looked at even if none can be made
	cancelsTill time.Duration // until then, somebody may wait for a cancellation

	view   *quorum.View // see cancellations.go
	untold []untold
	heldTo uint64        // up to this revision others have told of all cancellations
	readAt time.Duration // when the state service is read next for the sake of that
	rescue rescue        // see orders.go

	waiters int // jobs that waited to be looked at for a write, at the last look

	copy      ccs.Copy
	copyRev   uint64 // revision and leader of the last push taken
	copyTok   uint64
	copyAcks  map[string]uint64 // what it had counted
	resendAt  time.Duration
	hold      *Hold         // as the leader told with the last push
	noRoom    []noRoom      // claims that found no room since some became free
	heardAt   time.Duration // when the others are told next of machines that report nothing new
	reports   []*wire.Report
	heardOf   []Heard
	wanted    map[string][]string // by controller: machines whose reports it has and this one lacks
	deltas    []DeltaMsg
	batches   map[string][]deltaBatch // of each controller, not yet counted by the leader
	batchSeq  uint64
	ackTime   time.Duration // how long it takes of late until a push shows that a batch was counted
	deltaAt   time.Duration
	healthAt  time.Duration
	placeAt   time.Duration
	sweepAt   time.Duration
	lookAllAt time.Duration
	drainAt   time.Duration
	room      bool          // room may have become free
	turnAt    time.Duration // when room is to be looked at that was another's to take first; 0: there is none
	askAt     time.Duration

	catalog   map[string]*wire.MachineType
	types     []string // its names, sorted
	catalogAt time.Duration
	typesMark uint64       // of the kept catalog
	typesKept wire.Catalog // as the state service holds it
	typesBusy bool
	catalogOp bool
	lead      *lead
	classes   map[string]*classStat
	clouds    map[uint64]func(Clouded)
	sends     map[uint64]send
	relayed   map[uint64]relayed
	started   time.Duration
	advanced  time.Duration // when time passed here last
	awake     time.Duration // since when it has without a pause: what was not heard in one is no sign of silence
	Stats     Stats
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
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, started: now,
		machineIdx: map[string]int32{}, jobIdx: map[string]int32{}, teamIdx: map[string]int{}, links: links.New(cfg.Peers, cfg.LinkLost),
		shards: make([]held, cfg.Shards), slots: map[int]*shared.Slot{}, nodes: map[string]held{}, forms: map[string]int{}, txns: map[uint64]*txn{},
		zones: map[string]*zoneNews{}, wanted: map[string][]string{}, clouds: map[uint64]func(Clouded){}, batches: map[string][]deltaBatch{}, sends: map[uint64]send{}, relayed: map[uint64]relayed{},
		budget: budget.New(now), settle: cfg.Settle, desk: booking.New(), lanes: lanes.ByPriority(cfg.RiseAfter), hist: newHistory(&cfg), rights: rights{who: map[string]storedIdentity{}}}
	c.audit = c.newRecorder()
	c.view = quorum.New(quorum.Site{Peers: cfg.Peers, CancelIn: cfg.CancelIn, Lease: cfg.WorkerLease})
	c.copy.Expire = cfg.CopyExpire
	c.shareBudget()
	c.budget.Fill()
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
	m := &machine{name: name, idx: int32(len(c.machines)), first: c.now, heard: c.now, pieces: map[attKey]piece{},
		asg: map[taskKey]ledger.Asg{}, att: map[attKey]*attempt{}, images: map[string]bool{}}
	c.machineIdx[name] = m.idx
	c.machines = append(c.machines, m)
	c.alive = append(c.alive, m)
	return m
}

// seat interns a machine in a zone; of one that has not reported, the zone is not known otherwise.
func (c *Core) seat(name, zone string) int32 {
	m := c.machine(name)
	if m.zone == "" {
		m.zone = zone
	}
	return m.idx
}

// encodeRecord renders a job's record.
func (c *Core) encodeRecord(r *ledger.Record, place []ledger.Asg, packed bool) (json.RawMessage, error) {
	return ledger.Encode(r, place, packed, func(machine int32) (name, zone string) {
		m := c.machines[machine]
		return m.name, m.zone
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
	return int(h.Sum32() % uint32(len(c.shards)))
}

func (c *Core) mineShard(s int) bool {
	return s >= 0 && s < len(c.shards) && c.lease != 0 && c.shards[s].Lease == c.lease && c.shards[s].mark != 0 &&
		c.shards[s].Node == c.cfg.Name
}

func (c *Core) mine(j *job) bool { return c.mineShard(c.shardOf(j)) }

func (c *Core) leads() bool {
	return c.lease != 0 && c.leader.mark != 0 && c.leader.Node == c.cfg.Name && c.leader.Lease == c.lease
}

// leaseOK reports whether this controller's lease is certain to be in force.
func (c *Core) leaseOK() bool { return c.lease != 0 && c.now < c.leaseUntil }

// outage reports whether the state service seems down for everyone: a majority of the
// controllers is in reach and none of them reaches it.
func (c *Core) outage() bool {
	if c.leaseOK() || c.stateFresh() {
		return false
	}
	return c.links.Outage(c.now)
}

func (c *Core) stateFresh() bool {
	return c.anyGood && c.now-c.stateGood < 2*time.Second && (c.stateBad <= c.stateGood)
}

// entitled reports whether this controller may answer workers.
func (c *Core) entitled() bool { return c.loaded && c.epoch > 0 && (c.leaseOK() || c.outage()) }

// Healthy is the answer to health checks.
func (c *Core) Healthy() bool {
	return c.loaded && !c.closed() && c.catalog != nil && (c.leaseOK() || c.outage())
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
			c.recorder().Refused(audit.Item{Who: it.Who, Verb: it.Verb, Object: it.Object, Why: it.Why}, it.Count)
		}
	case Beat:
		c.beat(in)
	case Seen:
		c.probing = max(0, c.probing-1)
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
		if f := c.clouds[in.ID]; f != nil {
			delete(c.clouds, in.ID)
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
	if c.now-c.advanced > stoodStill {
		c.awake = c.now
	}
	c.advanced = c.now
	c.budget.Advance(c.now, c.cfg.TxnOps)
	c.follow()
	c.keepLease()
	c.compact()
	c.tellHealth()
	if c.loaded {
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
	if c.now < c.sweepAt {
		return
	}
	c.sweepAt = c.now + time.Second
	c.open = slices.DeleteFunc(c.open, func(j *job) bool {
		// What waits for other jobs is touched when they are over.
		over := !j.dirty && !j.inflight && j.accept == nil && len(j.cancels) == 0 &&
			(j.rec == nil || j.rec.Spec == nil || j.waits > 0 && j.cause == nil && len(j.place) == 0)
		if over {
			j.listed = false
		}
		return over
	})
	c.alive = slices.DeleteFunc(c.alive, func(m *machine) bool { return m.gone && len(m.asg) == 0 })
	c.countZones()
	c.prune()
	c.countHistory()
	// Only what changed is looked at otherwise; now and then everything is, as a safeguard against
	// a change that nobody noted.
	if c.loaded && c.now >= c.lookAllAt && (c.load.Level() == overload.Calm || c.now >= c.lookAllAt+c.cfg.LookAll) {
		c.lookAllAt = c.now + c.cfg.LookAll
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
	if !c.loaded {
		if !c.loading && c.now >= c.retryAt {
			if c.loadPages >= loadFast && c.behind() {
				c.retryAt = c.now + time.Second
				return
			}
			c.loading = true
			if c.loadFrom == "" {
				c.loadOf = c.now
			}
			c.emit(Load{From: c.loadFrom})
		}
		return
	}
	// A barrier brings the changes too: while users ask all the time, no watch is needed.
	if !c.watching && c.now >= c.watchAt && !c.barrier && len(c.waiting) == 0 {
		c.watching, c.watchOf = true, c.now
		c.watchAt = c.now + c.budget.Gap(c.cfg.WatchGap, 0.25)
		c.budget.Request()
		c.emit(Changes{From: c.seen, Hold: true})
	}
	if !c.barrier && len(c.waiting) > 0 && c.now >= c.barrierAt {
		c.barrier, c.barrierOf = true, c.now
		c.barrierAt = c.now + c.budget.Gap(c.cfg.ReadGap, 0.35)
		c.inBarrier, c.waiting = c.waiting, nil
		c.budget.Request()
		c.emit(Changes{From: c.seen})
	}
}

// shareBudget works out this controller's part of what the state service takes from all of
// them: an equal one, and of the changes also what the others leave.
func (c *Core) shareBudget() {
	live := float64(len(c.live()))
	if len(c.nodes) == 0 {
		live = float64(len(c.cfg.Peers) + 1)
	}
	all := c.writeRPS()
	left := 0.9 * all
	for _, n := range c.cfg.Peers {
		if c.links.Linked(c.now, n) {
			left -= c.links.Peer(n).Used
		} else if _, ok := c.nodes[n]; ok {
			left -= all / live
		}
	}
	c.budget.Share(all, c.cfg.StateRPS, live, left, c.cfg.WriteShare)
}

// afterBarrier calls f once all changes committed until now are known here, or with false.
func (c *Core) afterBarrier(f func(ok bool)) {
	if !c.loaded || len(c.waiting) > 20000 {
		f(false)
		return
	}
	c.waiting = append(c.waiting, f)
}

// soonAfterBarrier is afterBarrier for a submission: its user counts the milliseconds, and there are
// few that need one. The barrier does not wait for its turn, as long as requests are left.
func (c *Core) soonAfterBarrier(f func(ok bool)) {
	c.afterBarrier(f)
	if c.budget.Reads > 1 {
		c.barrierAt = min(c.barrierAt, c.now)
	}
}

func (c *Core) stateAnswered(status int) {
	if status == 0 || status == 503 {
		c.stateBad = c.now
		return
	}
	c.anyGood = true
	c.stateGood = c.now
}

func (c *Core) changed(in Changed) {
	if in.Hold {
		c.watching = false
		if in.Status != 200 {
			c.watchAt = max(c.watchAt, c.now+300*time.Millisecond)
		}
	} else {
		c.stateAnswered(in.Status)
		c.barrier = false
		if in.Status == 429 {
			c.waiting = append(c.inBarrier, c.waiting...)
			c.inBarrier = nil
			c.barrierAt = c.now + 100*time.Millisecond + c.jitter(200*time.Millisecond)
			return
		}
	}
	switch in.Status {
	case 0:
		if !in.Hold && c.readLost == 0 {
			c.readLost = c.barrierOf
		}
	case 200:
		c.readLost = 0
		c.apply(in.Changes)
		if in.Hold {
			c.view.Read(c.watchOf)
		} else {
			c.view.Read(c.barrierOf)
		}
	case 410:
		c.loaded, c.loadFrom = false, ""
		c.retryAt = c.now
	}
	if !in.Hold {
		fs := c.inBarrier
		c.inBarrier = nil
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
func (c *Core) apply(ch wire.Changes) {
	for _, e := range ch.Log {
		if e.Mark <= c.seen {
			continue
		}
		if e.Delete != "" {
			c.drop(e.Delete, e.Mark)
		} else {
			c.put(e.Put, e.Value, e.Mark)
		}
	}
	c.seen = max(c.seen, ch.Ledger)
}

// loadedPage takes a page of all keys. Later pages may show later changes than the first:
// following from the first shows them again. Only what is not over stays in memory, and what ended last.
func (c *Core) loadedPage(in Loaded) {
	c.loading = false
	if !in.OK {
		if in.Status != 429 {
			c.stateBad = c.now
		}
		c.retryAt = c.now + 200*time.Millisecond + c.jitter(200*time.Millisecond)
		return
	}
	c.stateAnswered(200)
	if c.loadFrom == "" {
		for i := range c.shards {
			c.shards[i] = held{since: c.now}
		}
		for _, s := range c.slots {
			s.Mark, s.Entries = 0, nil
		}
		c.leader = held{since: c.now}
		c.nodes = map[string]held{}
		c.around++
		c.hist.cold, c.hist.marker = 0, 0
		c.rights = rights{who: map[string]storedIdentity{}}
		c.hist.index.Clear()
		c.desk.Clear()
		c.setLanes(nil, 0)
		c.sweep = nil
		c.restored.mark = 0
		c.loadAt, c.loadPages = in.Ledger, 0
		c.loads++
	}
	for _, it := range in.Items {
		c.put(it.Key, it.Value, it.Mark)
		c.loadFrom = it.Key
	}
	c.loadPages++
	c.prune()
	if in.More && len(in.Items) > 0 {
		if c.loadPages >= loadFast {
			c.retryAt = c.now + time.Duration(float64(time.Second)/(loadShare*c.cfg.StateRPS))
		}
		return
	}
	c.hist.loadedTo = in.Ledger
	for _, j := range slices.Clone(c.jobs) {
		if j != nil && j.mark != 0 && !j.archived && j.load != c.loads {
			c.leaveArchived(j, c.loadAt) // it moved while the changes were not followed
		}
	}
	c.seen = c.loadAt
	c.loadFrom = ""
	c.loaded = true
	c.view.Read(c.loadOf)
	c.watching = false
	c.note("info", "state loaded", "ledger", c.seen, "pages", c.loadPages, "jobs", len(c.jobIdx), "ended", len(c.hist.ended), "cold", c.hist.cold)
}

// behind reports whether another controller is further in reading all keys. One after the other,
// the first serves when it has read its own; at a time, all would serve when everything was read by all.
func (c *Core) behind() bool {
	for _, n := range c.cfg.Peers {
		if p := c.links.Peer(n); c.links.Linked(c.now, n) && (p.Loading > c.loadPages || p.Loading == c.loadPages && n < c.cfg.Name) {
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
		if mark >= c.epochMk {
			c.epoch, c.epochMk = v, mark
		}
	case key == keyLeader:
		var h held
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.leader = h
	case strings.HasPrefix(key, keyNode):
		var h held
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.nodes[key[len(keyNode):]] = h
		c.around++
	case strings.HasPrefix(key, keyShard):
		var h held
		n := c.shardNum(key)
		if err := json.Unmarshal(raw, &h); err != nil || n < 0 {
			bad(err)
			return
		}
		h.mark = mark
		c.shards[n] = h
		if h.Node == c.cfg.Name && h.Lease == c.lease {
			c.gained(n)
		}
	case key == keyTypes:
		v, err := ledger.DecodeCatalog(raw)
		if err != nil {
			bad(err)
			return
		}
		c.typesMark, c.typesKept = mark, v
		if c.catalog == nil {
			c.setCatalog(&v)
		}
	case strings.HasPrefix(key, keyTeam):
		if i, ok := c.teamIdx[key[len(keyTeam):]]; ok {
			c.teams[i].mark = max(c.teams[i].mark, mark)
		}
	case strings.HasPrefix(key, keyJob):
		j := c.job(key[len(keyJob):])
		j.load = c.loads
		if mark <= j.mark {
			if j.rec != nil { // its own write's reply came before
				c.recorder().Saw(key, j.mark, j.rec.Carried)
			}
			return
		}
		r, err := ledger.Decode(raw)
		if err != nil {
			c.hist.cold++ // it exists: whoever asks for it must not be told otherwise
			bad(err)
			return
		}
		c.recorder().Saw(key, mark, r.Carried)
		r = c.laid(j.id, r)
		c.adopt(j, r, r.Assigned(c.seat), mark, len(raw))
	case strings.HasPrefix(key, keySlot):
		bad(c.putSlot(key, raw, mark))
	case strings.HasPrefix(key, keyForm):
		bad(c.putForm(key, raw, mark))
	case strings.HasPrefix(key, keyAccess):
		bad(c.putAccess(key, raw, mark))
	case strings.HasPrefix(key, recorder.Prefix):
		bad(c.recorder().Put(key, raw, mark))
	case key == KeyRestored:
		bad(c.putRestored(raw, mark))
	case key == keyHistory:
		c.putHistory(mark)
	case key == keyLanes:
		bad(c.putLanes(raw, mark))
	case strings.HasPrefix(key, booking.Prefix):
		bad(c.putBooking(key, raw, mark))
	case strings.HasPrefix(key, keyCancel):
		bad(c.putCancel(key, raw, mark))
	}
}

func (c *Core) shardNum(key string) int {
	for i := range c.shards {
		if shardKey(i) == key {
			return i
		}
	}
	return -1
}

func (c *Core) drop(key string, mark uint64) {
	switch {
	case key == keyLeader:
		c.leader = held{since: c.now}
	case strings.HasPrefix(key, keyNode):
		delete(c.nodes, key[len(keyNode):])
		c.around++
	case strings.HasPrefix(key, keyShard):
		if n := c.shardNum(key); n >= 0 {
			c.shards[n] = held{since: c.now}
		}
	case strings.HasPrefix(key, keyAccess):
		c.dropAccess(key)
	case key == KeyRestored:
		c.restored.mark = 0
	case strings.HasPrefix(key, booking.Prefix):
		c.desk.Drop(key, mark)
	case strings.HasPrefix(key, keyJob):
		c.moved(key[len(keyJob):], mark)
	}
}

// adopt makes a committed record of a size the known state of a job.
func (c *Core) adopt(j *job, r *ledger.Record, place []ledger.Asg, mark uint64, size int) {
	was, held := j.final(), len(j.place)
	if j.cancelMark != 0 && r.Stage == ledger.Queued {
		r.Stage, r.CancelMS = ledger.Cancelled, j.markedMS
	}
	c.unplace(j)
	if j.mark == 0 && r.Spec != nil {
		c.sawJob(r)
	}
	if mark != j.mark {
		j.ownKey = false
	}
	j.rec, j.place, j.mark, j.size = r, place, mark, size
	if r.Turn != 0 || j.accepted == 0 {
		j.accepted = cmp.Or(r.Turn, mark)
	}
	if r.Spec != nil {
		r.Spec.ID = j.id
	}
	c.link(j)
	tm, claim := c.claimOf(j)
	j.ended = 0
	for _, a := range place {
		m := c.machines[a.Machine]
		m.asg[taskKey{j.idx, a.Task}] = a
		c.changedOn(m)
		if p := m.pieces[attKey{j.idx, a.Task, a.Try}]; p.state == wire.TaskExited && p.cause == wire.CauseDone {
			j.ended++
		}
		if tm != nil {
			tm.cpu += claim[0]
			tm.gpu += claim[1]
		}
	}
	j.lost = false
	j.pending = !j.final() && r.Spec != nil && j.waits == 0 && r.Done.Count()+len(place) < r.Spec.Tasks
	if !j.endedWhole() || j.accept != nil || len(j.cancels) > 0 {
		c.touch(j)
	}
	c.room = c.room || len(place) < held
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
		if cur, ok := m.asg[taskKey{j.idx, a.Task}]; ok && cur == a {
			delete(m.asg, taskKey{j.idx, a.Task})
		}
		c.changedOn(m)
		if tm != nil {
			tm.cpu -= claim[0]
			tm.gpu -= claim[1]
		}
	}
}

func (c *Core) claimOf(j *job) (*team, ccs.Vec) {
	if j.rec == nil || j.rec.Spec == nil {
		return nil, ccs.Vec{}
	}
	if i, ok := c.teamIdx[j.rec.Spec.Team]; ok {
		return c.teams[i], j.rec.Spec.Claim
	}
	return nil, j.rec.Spec.Claim
}

// touch has a job looked at again.
func (c *Core) touch(j *job) {
	c.touchLater(j)
	j.lookAt = 0
}

// touchLater has a job looked at again, when its last look asked for one.
func (c *Core) touchLater(j *job) {
	if !j.listed {
		j.listed = true
		c.open = append(c.open, j)
	}
	if !j.dirty {
		j.dirty = true
		j.since = c.now
	}
}

// touchMachine has a machine's orders looked at again.
func (c *Core) touchMachine(m *machine) {
	m.touched = true
	if !m.hot {
		m.hot = true
		c.hot = append(c.hot, m)
	}
}

// changedOn notes that a machine's tasks are others than they were.
func (c *Core) changedOn(m *machine) {
	m.changed, m.occKnown = c.now, false
	c.touchMachine(m)
}

// digest is the same for two reports that say the same of their tasks, in whatever order.
func digest(r *wire.Report) uint64 {
	var sum uint64
	var buf []byte
	h := fnv.New64a()
	for i := range r.Pieces {
		p := &r.Pieces[i]
		buf = append(buf[:0], p.Piece...)
		buf = append(append(append(append(buf, ' '), p.Stage...), ' '), p.Cause...)
		buf = strconv.AppendBool(strconv.AppendUint(append(buf, ' '), p.Try, 10), p.Kept)
		h.Reset()
		h.Write(buf)
		sum += h.Sum64()
	}
	if r.NoticeS != nil {
		sum++
	}
	return sum
}

// observe takes a worker's report. Older ones are ignored: reports may come late and by way
// of other controllers.
func (c *Core) observe(r *wire.Report, direct bool) {
	m := c.machine(r.Machine)
	if m.gone || r.Session < m.session || r.Session == m.session && r.Seq <= m.seq {
		return
	}
	d := digest(r)
	if m.up && m.session == r.Session && m.digest == d {
		// Nothing new: most reports of a large fleet. The others need only know that it lives.
		c.signOfLife(m, r.Seq, r.Token)
		if direct {
			c.heardOf = append(c.heardOf, Heard{r.Machine, r.Session, r.Seq, r.Token, d})
		}
		return
	}
	m.digest = d
	if r.Session > m.session {
		m.images = map[string]bool{}
	}
	fresh, renewed := !m.up, m.up && m.session != r.Session
	m.up = true
	m.addr, m.typ, m.zone, m.spot = r.Addr, r.Type, r.Zone, r.Spot
	m.session = r.Session
	if r.NoticeS != nil {
		m.noticed = c.now + time.Duration(*r.NoticeS*float64(time.Second))
		if *r.NoticeS < 0 || *r.NoticeS > 1e6 {
			m.noticed = c.now + time.Second
		}
	}
	next := make(map[attKey]piece, len(r.Pieces))
	for _, p := range r.Pieces {
		id, t, ok := wire.SplitTask(p.Piece)
		if !ok {
			continue
		}
		j := c.job(id)
		k := attKey{j.idx, int32(t), p.Try}
		n := piece{state: p.Stage, cause: p.Cause, kept: p.Kept}
		old := m.pieces[k]
		n.since = old.since
		if !old.same(n) {
			n.since = c.now
		}
		next[k] = n
		delete(m.pieces, k)
		if old.same(n) {
			continue
		}
		a, assigned := m.asg[taskKey{j.idx, int32(t)}]
		assigned = assigned && a.Try == p.Try && a.Session == m.session
		if p.Stage == wire.TaskExited {
			if assigned {
				c.freed(j, a)
				if p.Cause == wire.CauseDone {
					j.ended++
				}
			}
			if p.Cause == wire.CauseDone && assigned && !j.final() && j.rec != nil && j.rec.Spec != nil &&
				j.rec.Done.Count()+j.ended < j.rec.Spec.Tasks {
				c.touchLater(j) // others of its tasks run on: the write of this end may wait for theirs
			} else {
				c.touch(j)
			}
			c.judgeEnd(m, j, p.Cause)
		}
		if p.Stage == wire.TaskRunning && j.rec != nil && j.rec.Spec != nil {
			m.images[j.rec.Spec.Image] = true
		}
	}
	for k := range m.pieces { // what is not reported any more
		c.touch(c.jobs[k.job])
	}
	m.pieces = next
	c.signOfLife(m, r.Seq, r.Token)
	c.changedOn(m)
	if renewed {
		c.lostTasks(m)
	}
	if fresh {
		for _, a := range m.sortedTasks() {
			c.touch(c.jobs[a.job])
		}
		c.room = true
	}
	if direct {
		c.reports = append(c.reports, r)
	}
	c.leadSaw(m)
}

// signOfLife notes that a machine gave a sign of life with these numbers. A higher token
// settles what became of earlier orders.
func (c *Core) signOfLife(m *machine, seq, token uint64) {
	m.heard, m.seq, m.asked = c.now, seq, 0
	c.zoneOf(m.zone).heard = c.now
	if token > m.token {
		m.token = token
		m.changed = c.now
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
	if m.gone || h.Session < m.session || h.Session == m.session && h.Seq <= m.seq {
		return
	}
	if m.up && m.session == h.Session && m.digest == h.Digest {
		c.signOfLife(m, h.Seq, h.Token)
		return
	}
	// What changed there before was not heard of here.
	m.heard = c.now
	c.wanted[peer] = append(c.wanted[peer], h.Machine)
}

// reportOf is a machine's last report, for a controller that lacks it.
func (c *Core) reportOf(m *machine) *wire.Report {
	r := &wire.Report{Machine: m.name, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot, Session: m.session, Seq: m.seq, Token: m.token}
	if m.noticed != 0 {
		left := (m.noticed - c.now).Seconds()
		r.NoticeS = &left
	}
	for _, k := range m.sortedPieces() {
		p := m.pieces[k]
		r.Pieces = append(r.Pieces, wire.Piece{Piece: wire.TaskName(c.jobs[k.job].id, int(k.task)), Try: k.try, Stage: p.state, Cause: p.cause, Kept: p.kept})
	}
	return r
}

// judgeEnd draws conclusions about a machine from the end of a task there.
func (c *Core) judgeEnd(m *machine, j *job, cause string) {
	switch cause {
	case wire.CauseDone:
		m.failed, m.errs = nil, 0
	case wire.CauseError:
		if m.failed == nil {
			m.failed = map[int32]bool{}
		}
		m.failed[j.idx], m.failedAt = true, c.now
	}
}

// markGone records the proof that a machine and all on it are gone.
func (c *Core) markGone(m *machine) {
	if m.gone {
		return
	}
	m.gone = true
	c.copy.Drop(m.idx)
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
		j.lost = true
		if j.dirty || j.rec == nil || j.rec.Spec == nil || j.rec.Spec.Service || j.final() {
			c.touch(j)
			continue
		}
		c.touchLater(j)
		j.lookAt = max(j.lookAt, c.now+c.cfg.LossGather)
	}
}

// sortedTasks lists a machine's assignments in a fixed order.
func (m *machine) sortedTasks() []asg2 {
	out := make([]asg2, 0, len(m.asg))
	for k, a := range m.asg {
		out = append(out, asg2{k.job, a})
	}
	slices.SortFunc(out, func(x, y asg2) int {
		return cmp.Or(cmp.Compare(x.job, y.job), cmp.Compare(x.Task, y.Task))
	})
	return out
}

// sortedPieces lists what a machine reported in a fixed order.
func (m *machine) sortedPieces() []attKey {
	out := make([]attKey, 0, len(m.pieces))
	for k := range m.pieces {
		out = append(out, k)
	}
	slices.SortFunc(out, attKey.compare)
	return out
}

// asg2 is an assignment with its job.
type asg2 struct {
	job int32
	ledger.Asg
}
