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
	Root            = "dl/"
	keyNode         = Root + "node/"
	keyLeader       = Root + "leader"
	keyShard        = Root + "shard/"
	keyFencingToken = Root + "epoch"
	keyJob          = Root + "job/"
	keyTeam         = Root + "team/"
	keyMachineTypes = Root + "types"

	// KeyEpoch is the token, and KeyJob begins the keys of jobs.
	KeyFencingToken = keyFencingToken
	KeyJob          = keyJob
)

// LeasedKeyPrefixes begin the keys that are attached to a controller's lease.
var LeasedKeyPrefixes = []string{keyNode, keyLeader, keyShard}

type taskKey struct{ jobIndex, task int32 }

type attemptKey struct {
	jobIndex, task int32
	attempt        uint64
}

func (k attemptKey) compare(o attemptKey) int {
	return cmp.Or(cmp.Compare(k.jobIndex, o.jobIndex), cmp.Compare(k.task, o.task), cmp.Compare(k.attempt, o.attempt))
}

// taskStatus is a task as its machine reported it last.
type taskStatus struct {
	state        string
	cause        string
	checkpointed bool
	stateSince   time.Duration // when it was seen in this state first
}

func (p taskStatus) equal(q taskStatus) bool {
	return p.state == q.state && p.cause == q.cause && p.checkpointed == q.checkpointed
}

// attempt is what this controller knows of its orders for an attempt.
type attempt struct {
	startInFlight       bool          // a start is in a request that is not answered
	maxUnansweredToken  uint64        // highest token of an unanswered request with a start of it; it may be executed late
	lastCommandAt       time.Duration // when an order for it was sent last
	commandSent         bool
	stopReason          string // why it is to be stopped; "": not
	stopGraceSeconds    float64
	failureCounted      bool // its failure was counted
	resourcesReleased   bool // its room was given back
	orphanCheckInFlight bool // whether its job exists is being asked
	isOrphan            bool // its job does not exist
	resentAtOnce        bool // an order other than its start was sent
}

type machine struct {
	name  string
	index int32

	leaderView nodeState

	identity   machineIdentity
	status     agentStatus
	lifecycle  machineLifecycle
	commands   machineCommands
	allocation machineAllocation
	health     machineHealth
	ranking    rankCache
}

type job struct {
	index       int32
	id          string
	revision    uint64 // 0: not known to exist
	record      *jobrecord.Record
	assignments []jobrecord.Assignment

	submission *pendingSubmission

	jobDependencies // see awaits.go

	stored       storedRecord
	write        jobWrite
	cancellation jobCancellation
	ack          cancelAck
	queue        jobQueueState
	placement    jobPlacement
	archive      jobArchiveState
}

// cancelWaiter is somebody who waits for a job's cancellation; 0: nobody waits for the answer.
type cancelWaiter struct {
	requestID uint64
	caller    Credential
}

type pendingSubmission struct {
	requestIDs          []uint64
	requestsBeforeWrite int // how many of them came before its write was sent
	caller              Credential
	spec                wire.JobSpec
	submittedMS         int64
	receivedAt          time.Duration
	deadline            time.Duration
	writeFailed         bool // a write of it has failed
	lookupInFlight      bool // it is looked for among the jobs that ended long ago
	lookupDone          bool
}

type team struct {
	Team
	revision uint64
	usedCPU  int64
	usedGPU  int64
	locked   bool
}

func (t *team) hasMaxQuota() bool { return t.MaxCPU > 0 || t.MaxGPU > 0 }

// fitsMaxQuota reports whether a task may be added within the team's limits; a job of no team has none.
func (t *team) fitsMaxQuota(claim clusterstate.Resources) bool {
	return t == nil || (t.MaxCPU == 0 || t.usedCPU+claim[0] <= t.MaxCPU) && (t.MaxGPU == 0 || t.usedGPU+claim[1] <= t.MaxGPU)
}

// leasedKey is a leased key: a shard or the leadership.
type leasedKey struct {
	Node         string        `json:"n"`
	LeaseID      uint64        `json:"t"`
	FencingToken uint64        `json:"b"`
	mark         uint64        `json:"-"`
	since        time.Duration `json:"-"` // absent since
}

// Core is the state machine of one controller.
type Core struct {
	cfg          Config
	rng          *rand.Rand
	now          time.Duration
	unixOffsetMS int64 // time of day minus now, in ms
	outputs      []Output
	lastID       uint64

	pendingSubmissions int // submissions whose write is waited for
	machineIndex       map[string]int32
	machines           []*machine
	jobIndex           map[string]int32
	jobs               []*job
	openJobs           []*job     // those not over
	aliveMachines      []*machine // those not known to be gone

	teamIndex map[string]int
	teams     []*team

	history     history         // see history.go
	permissions permissionState // see rights.go
	auditLog    *auditlog.Recorder

	reservations     *reservations.Service // see bookings.go
	reservationState reservationState
	restoreMarker    restoreMarker

	nodePut bool

	overload overload.State

	outageReturn outageReturnState // see orders.go

	leaderState *leaderState

	startedAt time.Duration

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
	Accepted, TaskStarts, StartRefusals, Commits, Conflicts, UnknownOutcomes uint64
	MachineLooks                                                             uint64 // at what a machine must be told
	PlanMachineLooks                                                         uint64 // at machines, for what needs room in plans

	Archived, ArchiveWrites               uint64 // jobs whose records moved, and the changes that took
	RecordReads, BlockReads, RecalledJobs uint64 // reads of ended jobs, and answers that they or what they had left in memory gave
	PermissionDenials                     uint64 // acts refused for lack of a right
	EndedInMemory, ColdRecords            int    // ended jobs in memory, and others that still have records
	CachedBlocks, HistoryBytes            int    // blocks, and all that ended jobs take in memory
}

// inFlightCommands is a request with orders on its way; one that another controller passes on has a time
// by which it counts as unanswered.
type inFlightCommands struct {
	machineIndex int32
	deadline     time.Duration
}

// relayedCommands is another controller's request that this one passed on.
type relayedCommands struct {
	peer      string
	requestID uint64
}

type deltaBatch struct {
	seq         uint64
	sentAt      time.Duration // by this controller
	leaderToken uint64        // of the leader it was sent to
	deltas      []AllocationDelta
}

// New makes a core; seed feeds its randomness.
func New(cfg Config, now time.Duration, seed uint64) *Core {
	c := &Core{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, startedAt: now,
		machineIndex: map[string]int32{}, jobIndex: map[string]int32{}, teamIndex: map[string]int{},
		reservations: reservations.New(), history: newHistory(&cfg), permissions: permissionState{identities: map[string]storedIdentity{}},
	}
	c.replica.batchValues = map[int]*batchvalue.Slot{}
	c.controllers.membership = membership.New(cfg.Peers, cfg.PeerTimeout)
	c.controllers.nodeKeys = map[string]leasedKey{}
	c.ownership.shards = make([]leasedKey, cfg.Shards)
	c.schema.declared = map[string]int{}
	c.transactions.inFlight = map[uint64]*pendingTxn{}
	c.transactions.rateLimit = ratelimit.New(now)
	c.transactions.endBatchDelay = cfg.MinEndBatchDelay
	c.agents.zones = map[string]*zoneLiveness{}
	c.agents.missingHeartbeats = map[string][]string{}
	c.commands.inFlight = map[uint64]inFlightCommands{}
	c.commands.relayed = map[uint64]relayedCommands{}
	c.autoscaler.calls = map[uint64]func(CloudResult){}
	c.deltaLog.uncounted = map[string][]deltaBatch{}
	c.priority.classes = priorityclass.Default(cfg.PriorityAgingInterval)
	c.auditLog = c.newAuditLog()
	c.cancelAcks.quorum = quorum.New(quorum.Config{Peers: cfg.Peers, CancelDeadline: cfg.CancelTimeout, AgentLeaseTTL: cfg.AgentLeaseTTL})
	c.clusterCopy.state.MaxAge = cfg.StateCopyExpiry
	c.updateRateLimit()
	c.transactions.rateLimit.FillBurst()
	for i, t := range cfg.Teams {
		c.teamIndex[t.Name] = i
		c.teams = append(c.teams, &team{Team: t})
	}
	return c
}

func (c *Core) emit(o Output)  { c.outputs = append(c.outputs, o) }
func (c *Core) nextID() uint64 { c.lastID++; return c.lastID }
func (c *Core) unixMS() int64  { return c.unixOffsetMS + c.now.Milliseconds() }
func (c *Core) log(level, text string, args ...any) {
	c.emit(LogLine{Level: level, Message: text, Args: args})
}

// internMachine interns a machine by name.
func (c *Core) internMachine(name string) *machine {
	if i, ok := c.machineIndex[name]; ok {
		return c.machines[i]
	}
	m := &machine{name: name, index: int32(len(c.machines))}
	m.identity.firstSeenAt = c.now
	m.status.lastHeartbeatAt = c.now
	m.status.tasks = map[attemptKey]taskStatus{}
	m.status.images = map[string]bool{}
	m.allocation.assignments = map[taskKey]jobrecord.Assignment{}
	m.commands.attempts = map[attemptKey]*attempt{}
	c.machineIndex[name] = m.index
	c.machines = append(c.machines, m)
	c.aliveMachines = append(c.aliveMachines, m)
	return m
}

// internMachineInZone interns a machine in a zone; of one that has not reported, the zone is not known otherwise.
func (c *Core) internMachineInZone(name, zone string) int32 {
	m := c.internMachine(name)
	if m.identity.zone == "" {
		m.identity.zone = zone
	}
	return m.index
}

// encodeRecord renders a job's record.
func (c *Core) encodeRecord(r *jobrecord.Record, place []jobrecord.Assignment, packed bool) (json.RawMessage, error) {
	return jobrecord.Encode(r, place, packed, func(machine int32) (name, zone string) {
		m := c.machines[machine]
		return m.name, m.identity.zone
	})
}

// internJob interns a job by id.
func (c *Core) internJob(id string) *job {
	if i, ok := c.jobIndex[id]; ok {
		return c.jobs[i]
	}
	j := &job{index: int32(len(c.jobs)), id: id}
	if free := c.history.freeIndexes; len(free) > 0 {
		j.index = free[len(free)-1]
		c.history.freeIndexes = free[:len(free)-1]
		c.jobs[j.index] = j
	} else {
		c.jobs = append(c.jobs, j)
	}
	c.jobIndex[id] = j.index
	return j
}

func (c *Core) knownJob(id string) *job {
	if i, ok := c.jobIndex[id]; ok && c.jobs[i].revision != 0 {
		return c.jobs[i]
	}
	return nil
}

// shardOf is the shard of a job; unknown jobs have one by their name.
func (c *Core) shardOf(j *job) int {
	if j.record != nil {
		return j.record.Shard
	}
	return c.shardOfID(j.id)
}

func (c *Core) shardOfID(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(len(c.ownership.shards)))
}

func (c *Core) ownsShard(s int) bool {
	return s >= 0 && s < len(c.ownership.shards) && c.ownLease.id != 0 && c.ownership.shards[s].LeaseID == c.ownLease.id && c.ownership.shards[s].mark != 0 &&
		c.ownership.shards[s].Node == c.cfg.Name
}

func (c *Core) ownsJob(j *job) bool { return c.ownsShard(c.shardOf(j)) }

func (c *Core) isLeader() bool {
	return c.ownLease.id != 0 && c.leadership.leader.mark != 0 && c.leadership.leader.Node == c.cfg.Name && c.leadership.leader.LeaseID == c.ownLease.id
}

// holdsLease reports whether this controller's lease is certain to be in force.
func (c *Core) holdsLease() bool { return c.ownLease.id != 0 && c.now < c.ownLease.expiresAt }

// isStoreOutage reports whether the state service seems down for everyone: a majority of the
// controllers is in reach and none of them reaches it.
func (c *Core) isStoreOutage() bool {
	if c.holdsLease() || c.isStoreReachable() {
		return false
	}
	return c.controllers.membership.IsStoreOutage(c.now)
}

func (c *Core) isStoreReachable() bool {
	return c.storeHealth.everAnswered && c.now-c.storeHealth.lastAnswerAt < 2*time.Second && (c.storeHealth.lastFailureAt <= c.storeHealth.lastAnswerAt)
}

// canAnswerAgents reports whether this controller may answer workers.
func (c *Core) canAnswerAgents() bool {
	return c.replica.loaded && c.leadership.fencingToken > 0 && (c.holdsLease() || c.isStoreOutage())
}

// Healthy is the answer to health checks.
func (c *Core) Healthy() bool {
	return c.replica.loaded && !c.isNotServing() && c.autoscaler.catalog != nil && (c.holdsLease() || c.isStoreOutage())
}

// Handle takes an input; Advance returns what comes of it.
func (c *Core) Handle(now time.Duration, in Input) {
	c.now = max(c.now, now)
	switch in := in.(type) {
	case SubmitJob:
		c.handleSubmitJob(in)
	case GetJob:
		c.handleGetJob(in)
	case CancelJob:
		c.handleCancelJob(in)
	case UpdatePermissions:
		c.handleUpdatePermissions(in)
	case CheckPermission:
		c.handleCheckPermission(in)
	case ListPermissions:
		c.handleListPermissions(in)
	case ReadAudit:
		c.handleReadAudit(in)
	case ReserveEquipment:
		c.handleReserveEquipment(in)
	case ListReservations:
		c.handleListReservations(in)
	case SetEquipment:
		c.handleSetEquipment(in)
	case ListQueue:
		c.handleListQueue(in)
	case SetPriorityClasses:
		c.handleSetPriorityClasses(in)
	case RequestsDenied:
		for _, it := range in.Items {
			c.currentAuditLog().RecordRefusal(audit.GatheredEvent{Identity: it.Who, Verb: it.Verb, Object: it.Object, Reason: it.Why}, it.Count)
		}
	case AgentHeartbeat:
		c.handleHeartbeat(in)
	case AgentPolled:
		c.agents.pollsInFlight = max(0, c.agents.pollsInFlight-1)
		if in.Heartbeat != nil && in.Heartbeat.Machine == in.Machine {
			c.applyHeartbeat(in.Heartbeat, true)
		}
	case CommandsResult:
		c.handleCommandsResult(in)
	case TxnResult:
		c.handleTxnResult(in)
	case WatchResult:
		c.handleWatchResult(in)
	case SnapshotPage:
		c.handleSnapshotPage(in)
	case LeaseResult:
		c.handleLeaseResult(in)
	case CloudResult:
		if f := c.autoscaler.calls[in.ID]; f != nil {
			delete(c.autoscaler.calls, in.ID)
			f(in)
		}
	case RangeResult:
		c.handleRangeResult(in)
	case PeerMessage:
		c.handlePeerMessage(in)
	case LoadSample:
		c.handleLoadSample(in)
	case WallClock:
		c.unixOffsetMS = in.UnixMS - c.now.Milliseconds()
	}
}

const stallThreshold = time.Second // without any input: a controller has a clock that ticks many times a second

// Advance lets time pass, does what is due and returns all outputs since the last call.
func (c *Core) Advance(now time.Duration) []Output {
	c.now = max(c.now, now)
	if c.now-c.stalls.lastAdvanceAt > stallThreshold {
		c.stalls.runningSince = c.now
	}
	c.stalls.lastAdvanceAt = c.now
	c.transactions.rateLimit.Refill(c.now, c.cfg.MaxTxnOps)
	c.syncReplica()
	c.maintainLease()
	c.runMaintenance()
	c.broadcastHealth()
	if c.replica.loaded {
		c.advanceCancelAcks()
		c.acquireOwnership()
		c.declareSchemaVersion()
		c.advanceAuditLog()
		c.seedPermissions()
		c.publishPolicy()
		c.scheduleJobs()
		c.advanceReservations()
		c.advancePriorityClasses()
		c.resolveDependencies()
		c.advanceLookups()
		c.advanceArchiveSweep()
		c.runLeader()
		c.drainInterrupted()
		c.returnMachinesInOutage()
		c.dispatchCommands()
		c.broadcastUpdates()
	}
	out := c.outputs
	c.outputs = nil
	return out
}

// runMaintenance drops what is over from the lists that are walked often.
func (c *Core) runMaintenance() {
	if c.now < c.maintenance.nextCompactionAt {
		return
	}
	c.maintenance.nextCompactionAt = c.now + time.Second
	c.openJobs = slices.DeleteFunc(c.openJobs, func(j *job) bool {
		// What waits for other jobs is touched when they are over.
		over := !j.write.dirty && !j.write.inFlight && j.submission == nil && len(j.cancellation.waiters) == 0 &&
			(j.record == nil || j.record.Spec == nil || j.unmetDependencies > 0 && j.cancelledBy == nil && len(j.assignments) == 0)
		if over {
			j.write.inOpenList = false
		}
		return over
	})
	c.aliveMachines = slices.DeleteFunc(c.aliveMachines, func(m *machine) bool { return m.lifecycle.gone && len(m.allocation.assignments) == 0 })
	c.countZoneMachines()
	c.evictUnreferencedJobs()
	c.updateHistoryStats()
	// Only what changed is looked at otherwise; now and then everything is, as a safeguard against
	// a change that nobody noted.
	if c.replica.loaded && c.now >= c.maintenance.nextFullScanAt && (c.overload.Level() == overload.Normal || c.now >= c.maintenance.nextFullScanAt+c.cfg.FullScanInterval) {
		c.maintenance.nextFullScanAt = c.now + c.cfg.FullScanInterval
		for _, j := range c.openJobs {
			c.markDirtyKeepingDelay(j)
		}
		for _, m := range c.aliveMachines {
			c.markMachineDirty(m)
		}
	}
}

// syncReplica keeps the replica current: first all keys, then a watch, and barriers when asked.
func (c *Core) syncReplica() {
	if !c.replica.loaded {
		if !c.replica.pageInFlight && c.now >= c.replica.nextPageAt {
			if c.replica.pagesRead >= fastSnapshotPages && c.isSlowestToLoad() {
				c.replica.nextPageAt = c.now + time.Second
				return
			}
			c.replica.pageInFlight = true
			if c.replica.lastPageKey == "" {
				c.replica.snapshotStartedAt = c.now
			}
			c.emit(LoadSnapshot{AfterKey: c.replica.lastPageKey})
		}
		return
	}
	// A barrier brings the changes too: while users ask all the time, no watch is needed.
	if !c.replica.watchInFlight && c.now >= c.replica.nextWatchAt && !c.replica.barrierInFlight && len(c.replica.barrierWaiters) == 0 {
		c.replica.watchInFlight, c.replica.watchSentAt = true, c.now
		c.replica.nextWatchAt = c.now + c.transactions.rateLimit.MinInterval(c.cfg.MinWatchInterval, 0.25)
		c.transactions.rateLimit.SpendRequest()
		c.emit(Watch{SinceRevision: c.replica.revision, LongPoll: true})
	}
	if !c.replica.barrierInFlight && len(c.replica.barrierWaiters) > 0 && c.now >= c.replica.nextBarrierAt {
		c.replica.barrierInFlight, c.replica.barrierSentAt = true, c.now
		c.replica.nextBarrierAt = c.now + c.transactions.rateLimit.MinInterval(c.cfg.MinReadBarrierInterval, 0.35)
		c.replica.inFlightWaiters, c.replica.barrierWaiters = c.replica.barrierWaiters, nil
		c.transactions.rateLimit.SpendRequest()
		c.emit(Watch{SinceRevision: c.replica.revision})
	}
}

// updateRateLimit works out this controller's part of what the state service takes from all of
// them: an equal one, and of the changes also what the others leave.
func (c *Core) updateRateLimit() {
	live := float64(len(c.liveControllers()))
	if len(c.controllers.nodeKeys) == 0 {
		live = float64(len(c.cfg.Peers) + 1)
	}
	all := c.storeWriteRate()
	left := 0.9 * all
	for _, n := range c.cfg.Peers {
		if c.controllers.membership.IsReachable(c.now, n) {
			left -= c.controllers.membership.Peer(n).WriteRate
		} else if _, ok := c.controllers.nodeKeys[n]; ok {
			left -= all / live
		}
	}
	c.transactions.rateLimit.SetRates(all, c.cfg.StoreRequestRate, live, left, c.cfg.MaxWriteShare)
}

// afterReadBarrier calls f once all changes committed until now are known here, or with false.
func (c *Core) afterReadBarrier(f func(ok bool)) {
	if !c.replica.loaded || len(c.replica.barrierWaiters) > 20000 {
		f(false)
		return
	}
	c.replica.barrierWaiters = append(c.replica.barrierWaiters, f)
}

// afterUrgentReadBarrier is afterBarrier for a submission: its user counts the milliseconds, and there are
// few that need one. The barrier does not wait for its turn, as long as requests are left.
func (c *Core) afterUrgentReadBarrier(f func(ok bool)) {
	c.afterReadBarrier(f)
	if c.transactions.rateLimit.ReadTokens > 1 {
		c.replica.nextBarrierAt = min(c.replica.nextBarrierAt, c.now)
	}
}

func (c *Core) recordStoreStatus(status int) {
	if status == 0 || status == 503 {
		c.storeHealth.lastFailureAt = c.now
		return
	}
	c.storeHealth.everAnswered = true
	c.storeHealth.lastAnswerAt = c.now
}

func (c *Core) handleWatchResult(in WatchResult) {
	if in.LongPoll {
		c.replica.watchInFlight = false
		if in.Status != 200 {
			c.replica.nextWatchAt = max(c.replica.nextWatchAt, c.now+300*time.Millisecond)
		}
	} else {
		c.recordStoreStatus(in.Status)
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
		if !in.LongPoll && c.storeHealth.firstLostReadAt == 0 {
			c.storeHealth.firstLostReadAt = c.replica.barrierSentAt
		}
	case 200:
		c.storeHealth.firstLostReadAt = 0
		c.applyWatchEvents(in.Changes)
		if in.LongPoll {
			c.cancelAcks.quorum.ConfirmRead(c.replica.watchSentAt)
		} else {
			c.cancelAcks.quorum.ConfirmRead(c.replica.barrierSentAt)
		}
	case 410:
		c.replica.loaded, c.replica.lastPageKey = false, ""
		c.replica.nextPageAt = c.now
	}
	if !in.LongPoll {
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

// applyWatchEvents takes the changes of a watch or barrier. Those up to seen are known already: two
// answers may overlap, and an older one must not undo a newer.
func (c *Core) applyWatchEvents(ch wire.WatchResponse) {
	for _, e := range ch.Events {
		if e.Revision <= c.replica.revision {
			continue
		}
		if e.Delete != "" {
			c.applyDelete(e.Delete, e.Revision)
		} else {
			c.applyPut(e.Put, e.Value, e.Revision)
		}
	}
	c.replica.revision = max(c.replica.revision, ch.Revision)
}

// handleSnapshotPage takes a page of all keys. Later pages may show later changes than the first:
// following from the first shows them again. Only what is not over stays in memory, and what ended last.
func (c *Core) handleSnapshotPage(in SnapshotPage) {
	c.replica.pageInFlight = false
	if !in.OK {
		if in.Status != 429 {
			c.storeHealth.lastFailureAt = c.now
		}
		c.replica.nextPageAt = c.now + 200*time.Millisecond + c.jitter(200*time.Millisecond)
		return
	}
	c.recordStoreStatus(200)
	if c.replica.lastPageKey == "" {
		for i := range c.ownership.shards {
			c.ownership.shards[i] = leasedKey{since: c.now}
		}
		for _, s := range c.replica.batchValues {
			s.Revision, s.Entries = 0, nil
		}
		c.leadership.leader = leasedKey{since: c.now}
		c.controllers.nodeKeys = map[string]leasedKey{}
		c.controllers.nodesVersion++
		c.history.coldRecords, c.history.markerRevision = 0, 0
		c.permissions = permissionState{identities: map[string]storedIdentity{}}
		c.history.archiveIndex.Clear()
		c.reservations.Reset()
		c.setPriorityClasses(nil, 0)
		c.archiving.sweep = nil
		c.restoreMarker.revision = 0
		c.replica.snapshotRevision, c.replica.pagesRead = in.Revision, 0
		c.replica.snapshots++
	}
	for _, it := range in.Items {
		c.applyPut(it.Key, it.Value, it.Revision)
		c.replica.lastPageKey = it.Key
	}
	c.replica.pagesRead++
	c.evictUnreferencedJobs()
	if in.More && len(in.Items) > 0 {
		if c.replica.pagesRead >= fastSnapshotPages {
			c.replica.nextPageAt = c.now + time.Duration(float64(time.Second)/(snapshotRequestShare*c.cfg.StoreRequestRate))
		}
		return
	}
	c.history.snapshotRevision = in.Revision
	for _, j := range slices.Clone(c.jobs) {
		if j != nil && j.revision != 0 && !j.archive.archived && j.stored.snapshot != c.replica.snapshots {
			c.evictArchivedJob(j, c.replica.snapshotRevision) // it moved while the changes were not followed
		}
	}
	c.replica.revision = c.replica.snapshotRevision
	c.replica.lastPageKey = ""
	c.replica.loaded = true
	c.cancelAcks.quorum.ConfirmRead(c.replica.snapshotStartedAt)
	c.replica.watchInFlight = false
	c.log("info", "state loaded", "ledger", c.replica.revision, "pages", c.replica.pagesRead, "jobs", len(c.jobIndex), "ended", len(c.history.endedJobs), "cold", c.history.coldRecords)
}

// isSlowestToLoad reports whether another controller is further in reading all keys. One after the other,
// the first serves when it has read its own; at a time, all would serve when everything was read by all.
func (c *Core) isSlowestToLoad() bool {
	for _, n := range c.cfg.Peers {
		if p := c.controllers.membership.Peer(n); c.controllers.membership.IsReachable(c.now, n) && (p.SnapshotPagesLoaded > c.replica.pagesRead || p.SnapshotPagesLoaded == c.replica.pagesRead && n < c.cfg.Name) {
			return true
		}
	}
	return false
}

const (
	fastSnapshotPages    = 20  // pages that are read one after the other, when all keys are
	snapshotRequestShare = 0.5 // of the requests, for the others: those that serve need theirs
)

// applyPut takes a key's new value into the replica.
func (c *Core) applyPut(key string, raw json.RawMessage, mark uint64) {
	bad := func(err error) {
		if err != nil {
			c.log("error", "value not understood", "key", key, "err", err.Error())
		}
	}
	switch {
	case key == keyFencingToken:
		var v uint64
		if err := json.Unmarshal(raw, &v); err != nil {
			bad(err)
			return
		}
		if mark >= c.leadership.fencingTokenRevision {
			c.leadership.fencingToken, c.leadership.fencingTokenRevision = v, mark
		}
	case key == keyLeader:
		var h leasedKey
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.leadership.leader = h
	case strings.HasPrefix(key, keyNode):
		var h leasedKey
		if err := json.Unmarshal(raw, &h); err != nil {
			bad(err)
			return
		}
		h.mark = mark
		c.controllers.nodeKeys[key[len(keyNode):]] = h
		c.controllers.nodesVersion++
	case strings.HasPrefix(key, keyShard):
		var h leasedKey
		n := c.shardOfKey(key)
		if err := json.Unmarshal(raw, &h); err != nil || n < 0 {
			bad(err)
			return
		}
		h.mark = mark
		c.ownership.shards[n] = h
		if h.Node == c.cfg.Name && h.LeaseID == c.ownLease.id {
			c.handleShardGained(n)
		}
	case key == keyMachineTypes:
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
		if i, ok := c.teamIndex[key[len(keyTeam):]]; ok {
			c.teams[i].revision = max(c.teams[i].revision, mark)
		}
	case strings.HasPrefix(key, keyJob):
		j := c.internJob(key[len(keyJob):])
		j.stored.snapshot = c.replica.snapshots
		if mark <= j.revision {
			if j.record != nil { // its own write's reply came before
				c.currentAuditLog().ObserveEntries(key, j.revision, j.record.PendingAudit)
			}
			return
		}
		r, err := jobrecord.Decode(raw)
		if err != nil {
			c.history.coldRecords++ // it exists: whoever asks for it must not be told otherwise
			bad(err)
			return
		}
		c.currentAuditLog().ObserveEntries(key, mark, r.PendingAudit)
		r = c.withSlotEntry(j.id, r)
		c.adoptRecord(j, r, r.ExpandAssignments(c.internMachineInZone), mark, len(raw))
	case strings.HasPrefix(key, keySlot):
		bad(c.applySlot(key, raw, mark))
	case strings.HasPrefix(key, keySchemaVersion):
		bad(c.applySchemaVersion(key, raw, mark))
	case strings.HasPrefix(key, keyPermissions):
		bad(c.applyPermission(key, raw, mark))
	case strings.HasPrefix(key, auditlog.Prefix):
		bad(c.currentAuditLog().ApplyPut(key, raw, mark))
	case key == KeyRestored:
		bad(c.applyRestoreMarker(raw, mark))
	case key == keyHistory:
		c.applyHistoryMarker(mark)
	case key == keyPriorityClasses:
		bad(c.applyPriorityClasses(raw, mark))
	case strings.HasPrefix(key, reservations.Prefix):
		bad(c.applyReservation(key, raw, mark))
	case strings.HasPrefix(key, keyCancel):
		bad(c.applyCancelMarker(key, raw, mark))
	}
}

func (c *Core) shardOfKey(key string) int {
	for i := range c.ownership.shards {
		if shardKey(i) == key {
			return i
		}
	}
	return -1
}

func (c *Core) applyDelete(key string, mark uint64) {
	switch {
	case key == keyLeader:
		c.leadership.leader = leasedKey{since: c.now}
	case strings.HasPrefix(key, keyNode):
		delete(c.controllers.nodeKeys, key[len(keyNode):])
		c.controllers.nodesVersion++
	case strings.HasPrefix(key, keyShard):
		if n := c.shardOfKey(key); n >= 0 {
			c.ownership.shards[n] = leasedKey{since: c.now}
		}
	case strings.HasPrefix(key, keyPermissions):
		c.applyPermissionDelete(key)
	case key == KeyRestored:
		c.restoreMarker.revision = 0
	case strings.HasPrefix(key, reservations.Prefix):
		c.reservations.ApplyDelete(key, mark)
	case strings.HasPrefix(key, keyJob):
		c.handleRecordArchived(key[len(keyJob):], mark)
	}
}

// adoptRecord makes a committed record of a size the known state of a job.
func (c *Core) adoptRecord(j *job, r *jobrecord.Record, place []jobrecord.Assignment, mark uint64, size int) {
	was, held := j.isFinal(), len(j.assignments)
	if j.cancellation.markerRevision != 0 && r.Stage == jobrecord.Queued {
		r.Stage, r.CancelledAtMS = jobrecord.Cancelled, j.cancellation.markerMS
	}
	c.removeAssignments(j)
	if j.revision == 0 && r.Spec != nil {
		c.recordClassArrival(r)
	}
	if mark != j.revision {
		j.stored.needsOwnKey = false
	}
	j.record, j.assignments, j.revision, j.stored.bytes = r, place, mark, size
	if r.EnqueueRevision != 0 || j.queue.enqueueRevision == 0 {
		j.queue.enqueueRevision = cmp.Or(r.EnqueueRevision, mark)
	}
	if r.Spec != nil {
		r.Spec.ID = j.id
	}
	c.indexDependencies(j)
	tm, claim := c.teamAndRequestOf(j)
	j.placement.completedTasks = 0
	for _, a := range place {
		m := c.machines[a.Machine]
		m.allocation.assignments[taskKey{j.index, a.Task}] = a
		c.noteMachineChange(m)
		if p := m.status.tasks[attemptKey{j.index, a.Task, a.Attempt}]; p.state == wire.TaskExited && p.cause == wire.CauseDone {
			j.placement.completedTasks++
		}
		if tm != nil {
			tm.usedCPU += claim[0]
			tm.usedGPU += claim[1]
		}
	}
	j.placement.tasksLost = false
	j.placement.hasUnplacedTasks = !j.isFinal() && r.Spec != nil && j.unmetDependencies == 0 && r.CompletedTasks.Count()+len(place) < r.Spec.Tasks
	if !j.hasFinalRecord() || j.submission != nil || len(j.cancellation.waiters) > 0 {
		c.markDirty(j)
	}
	c.placement.capacityFreed = c.placement.capacityFreed || len(place) < held
	if j.isFinal() && !was {
		c.propagateJobEnd(j)
	}
	c.trackEndedJob(j)
}

// removeAssignments takes what a job's record assigned off the machines and off its team's use.
func (c *Core) removeAssignments(j *job) {
	tm, claim := c.teamAndRequestOf(j)
	for _, a := range j.assignments {
		m := c.machines[a.Machine]
		if cur, ok := m.allocation.assignments[taskKey{j.index, a.Task}]; ok && cur == a {
			delete(m.allocation.assignments, taskKey{j.index, a.Task})
		}
		c.noteMachineChange(m)
		if tm != nil {
			tm.usedCPU -= claim[0]
			tm.usedGPU -= claim[1]
		}
	}
}

func (c *Core) teamAndRequestOf(j *job) (*team, clusterstate.Resources) {
	if j.record == nil || j.record.Spec == nil {
		return nil, clusterstate.Resources{}
	}
	if i, ok := c.teamIndex[j.record.Spec.Team]; ok {
		return c.teams[i], j.record.Spec.Request
	}
	return nil, j.record.Spec.Request
}

// markDirty has a job looked at again.
func (c *Core) markDirty(j *job) {
	c.markDirtyKeepingDelay(j)
	j.write.nextLookAt = 0
}

// markDirtyKeepingDelay has a job looked at again, when its last look asked for one.
func (c *Core) markDirtyKeepingDelay(j *job) {
	if !j.write.inOpenList {
		j.write.inOpenList = true
		c.openJobs = append(c.openJobs, j)
	}
	if !j.write.dirty {
		j.write.dirty = true
		j.write.dirtySince = c.now
	}
}

// markMachineDirty has a machine's orders looked at again.
func (c *Core) markMachineDirty(m *machine) {
	m.commands.dirty = true
	if !m.commands.queued {
		m.commands.queued = true
		c.commands.dirtyMachines = append(c.commands.dirtyMachines, m)
	}
}

// noteMachineChange notes that a machine's tasks are others than they were.
func (c *Core) noteMachineChange(m *machine) {
	m.status.lastChangeAt, m.allocation.known = c.now, false
	c.markMachineDirty(m)
}

// taskStatusDigest is the same for two reports that say the same of their tasks, in whatever order.
func taskStatusDigest(r *wire.Heartbeat) uint64 {
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

// applyHeartbeat takes a worker's report. Older ones are ignored: reports may come late and by way
// of other controllers.
func (c *Core) applyHeartbeat(r *wire.Heartbeat, direct bool) {
	m := c.internMachine(r.Machine)
	if m.lifecycle.gone || r.Incarnation < m.status.incarnation || r.Incarnation == m.status.incarnation && r.Sequence <= m.status.heartbeatSeq {
		return
	}
	d := taskStatusDigest(r)
	if m.status.reported && m.status.incarnation == r.Incarnation && m.status.digest == d {
		// Nothing new: most reports of a large fleet. The others need only know that it lives.
		c.recordLiveness(m, r.Sequence, r.FencingToken)
		if direct {
			c.agents.digestsToRelay = append(c.agents.digestsToRelay, HeartbeatDigest{r.Machine, r.Incarnation, r.Sequence, r.FencingToken, d})
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
	next := make(map[attemptKey]taskStatus, len(r.Tasks))
	for _, p := range r.Tasks {
		id, t, ok := wire.SplitTaskName(p.Task)
		if !ok {
			continue
		}
		j := c.internJob(id)
		k := attemptKey{j.index, int32(t), p.Attempt}
		n := taskStatus{state: p.Stage, cause: p.Cause, checkpointed: p.Checkpointed}
		old := m.status.tasks[k]
		n.stateSince = old.stateSince
		if !old.equal(n) {
			n.stateSince = c.now
		}
		next[k] = n
		delete(m.status.tasks, k)
		if old.equal(n) {
			continue
		}
		a, assigned := m.allocation.assignments[taskKey{j.index, int32(t)}]
		assigned = assigned && a.Attempt == p.Attempt && a.Incarnation == m.status.incarnation
		if p.Stage == wire.TaskExited {
			if assigned {
				c.releaseOnce(j, a)
				if p.Cause == wire.CauseDone {
					j.placement.completedTasks++
				}
			}
			if p.Cause == wire.CauseDone && assigned && !j.isFinal() && j.record != nil && j.record.Spec != nil &&
				j.record.CompletedTasks.Count()+j.placement.completedTasks < j.record.Spec.Tasks {
				c.markDirtyKeepingDelay(j) // others of its tasks run on: the write of this end may wait for theirs
			} else {
				c.markDirty(j)
			}
			c.recordTaskEnd(m, j, p.Cause)
		}
		if p.Stage == wire.TaskRunning && j.record != nil && j.record.Spec != nil {
			m.status.images[j.record.Spec.Image] = true
		}
	}
	for k := range m.status.tasks { // what is not reported any more
		c.markDirty(c.jobs[k.jobIndex])
	}
	m.status.tasks = next
	c.recordLiveness(m, r.Sequence, r.FencingToken)
	c.noteMachineChange(m)
	if renewed {
		c.markTasksLost(m)
	}
	if fresh {
		for _, a := range m.sortedAssignments() {
			c.markDirty(c.jobs[a.jobIndex])
		}
		c.placement.capacityFreed = true
	}
	if direct {
		c.agents.heartbeatsToRelay = append(c.agents.heartbeatsToRelay, r)
	}
	c.addRowOnFirstHeartbeat(m)
}

// recordLiveness notes that a machine gave a sign of life with these numbers. A higher token
// settles what became of earlier orders.
func (c *Core) recordLiveness(m *machine, seq, token uint64) {
	m.status.lastHeartbeatAt, m.status.heartbeatSeq, m.status.polls = c.now, seq, 0
	c.zoneLivenessOf(m.identity.zone).lastHeartbeat = c.now
	if token > m.status.fencingToken {
		m.status.fencingToken = token
		m.status.lastChangeAt = c.now
		c.markMachineDirty(m)
		for _, a := range m.sortedAssignments() {
			if j := c.jobs[a.jobIndex]; j.isFinal() {
				c.markDirty(j)
			}
		}
	}
}

// applyHeartbeatDigest takes the news that a machine reported nothing new to another controller.
func (c *Core) applyHeartbeatDigest(peer string, h HeartbeatDigest) {
	m := c.internMachine(h.Machine)
	if m.lifecycle.gone || h.Incarnation < m.status.incarnation || h.Incarnation == m.status.incarnation && h.Seq <= m.status.heartbeatSeq {
		return
	}
	if m.status.reported && m.status.incarnation == h.Incarnation && m.status.digest == h.Digest {
		c.recordLiveness(m, h.Seq, h.FencingToken)
		return
	}
	// What changed there before was not heard of here.
	m.status.lastHeartbeatAt = c.now
	c.agents.missingHeartbeats[peer] = append(c.agents.missingHeartbeats[peer], h.Machine)
}

// lastHeartbeatOf is a machine's last report, for a controller that lacks it.
func (c *Core) lastHeartbeatOf(m *machine) *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: m.name, Addr: m.identity.address, Type: m.identity.machineType, Zone: m.identity.zone, Spot: m.identity.spot, Incarnation: m.status.incarnation, Sequence: m.status.heartbeatSeq, FencingToken: m.status.fencingToken}
	if m.lifecycle.interruptionDeadline != 0 {
		left := (m.lifecycle.interruptionDeadline - c.now).Seconds()
		r.InterruptionNoticeS = &left
	}
	for _, k := range m.sortedAttemptKeys() {
		p := m.status.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(c.jobs[k.jobIndex].id, int(k.task)), Attempt: k.attempt, Stage: p.state, Cause: p.cause, Checkpointed: p.checkpointed})
	}
	return r
}

// recordTaskEnd draws conclusions about a machine from the end of a task there.
func (c *Core) recordTaskEnd(m *machine, j *job, cause string) {
	switch cause {
	case wire.CauseDone:
		m.health.failedJobs, m.health.failures = nil, 0
	case wire.CauseError:
		if m.health.failedJobs == nil {
			m.health.failedJobs = map[int32]bool{}
		}
		m.health.failedJobs[j.index], m.health.lastFailureAt = true, c.now
	}
}

// markMachineGone records the proof that a machine and all on it are gone.
func (c *Core) markMachineGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	m.lifecycle.gone = true
	c.clusterCopy.state.Remove(m.index)
	c.markTasksLost(m)
	if c.leaderState != nil {
		c.leaderState.array.Remove(m.index)
	}
}

// markTasksLost has the jobs looked at whose tasks were lost with a machine or its session. The
// machines of a lost zone go one after the other: a job of many tasks waits a moment for the
// others, as it would take a write for each; replicas do not wait.
func (c *Core) markTasksLost(m *machine) {
	for _, a := range m.sortedAssignments() {
		j := c.jobs[a.jobIndex]
		j.placement.tasksLost = true
		if j.write.dirty || j.record == nil || j.record.Spec == nil || j.record.Spec.Service || j.isFinal() {
			c.markDirty(j)
			continue
		}
		c.markDirtyKeepingDelay(j)
		j.write.nextLookAt = max(j.write.nextLookAt, c.now+c.cfg.LostTaskBatchDelay)
	}
}

// sortedAssignments lists a machine's assignments in a fixed order.
func (m *machine) sortedAssignments() []jobAssignment {
	out := make([]jobAssignment, 0, len(m.allocation.assignments))
	for k, a := range m.allocation.assignments {
		out = append(out, jobAssignment{k.jobIndex, a})
	}
	slices.SortFunc(out, func(x, y jobAssignment) int {
		return cmp.Or(cmp.Compare(x.jobIndex, y.jobIndex), cmp.Compare(x.Task, y.Task))
	})
	return out
}

// sortedAttemptKeys lists what a machine reported in a fixed order.
func (m *machine) sortedAttemptKeys() []attemptKey {
	out := make([]attemptKey, 0, len(m.status.tasks))
	for k := range m.status.tasks {
		out = append(out, k)
	}
	slices.SortFunc(out, attemptKey.compare)
	return out
}

// jobAssignment is an assignment with its job.
type jobAssignment struct {
	jobIndex int32
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
	leader               leasedKey
	raiseInFlight        bool
	nextRaiseAt          time.Duration
}

// shardOwnership is which controller holds each shard, and claiming and handing over shards.
type shardOwnership struct {
	shards         []leasedKey
	claimInFlight  bool
	nextClaimAt    time.Duration
	nextHandoverAt time.Duration
}

// controllerSet is the other controllers: their leased keys, which are in reach, what health was told them.
type controllerSet struct {
	membership   *membership.Members
	nodeKeys     map[string]leasedKey
	nodesVersion uint64 // counts how often nodes changed
	nextHealthAt time.Duration
}

// agentLiveness is what agents said of late and what of it goes to the other controllers; status polls; liveness of zones.
type agentLiveness struct {
	pollsInFlight     int // requests for reports on their way
	zones             map[string]*zoneLiveness
	nextDigestAt      time.Duration // when the others are told next of machines that report nothing new
	heartbeatsToRelay []*wire.Heartbeat
	digestsToRelay    []HeartbeatDigest
	missingHeartbeats map[string][]string // by controller: machines whose reports it has and this one lacks
}

// commandDispatch is commands to agents: which machines may need some, requests in flight, requests relayed for other controllers.
type commandDispatch struct {
	dirtyMachines       []*machine // those that may need orders
	nextDrainAt         time.Duration
	nextReturnRequestAt time.Duration
	inFlight            map[uint64]inFlightCommands
	relayed             map[uint64]relayedCommands
}

// transactionState is transactions in flight, the rate limit of the store, and what waits to be written.
type transactionState struct {
	inFlight          map[uint64]*pendingTxn
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
	startShares      startShares
	firstWaiting     []QueueHead // of each lane, the first of its jobs that wait for room, of late
}

// clusterCopy is this controller's copy of the shared cluster state, as of the leader's last push.
type clusterCopy struct {
	state          clusterstate.Copy
	revision       uint64 // revision and leader of the last push taken
	leaderToken    uint64
	countedBatches map[string]uint64 // what it had counted
	nextResendAt   time.Duration
	capacityHold   *CapacityHold // as the leader told with the last push
}

// deltaLog is start and finish tuples of this controller on their way to the leader and the others.
type deltaLog struct {
	unsent        []AllocationDelta
	uncounted     map[string][]deltaBatch // of each controller, not yet counted by the leader
	lastSeq       uint64
	countingDelay time.Duration // how long it takes of late until a push shows that a batch was counted
	nextBatchAt   time.Duration
}

// placementState is when waiting tasks are placed next, and which requests are known to find no capacity.
type placementState struct {
	unplaceable   []unplaceable // claims that found no room since some became free
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
	classStats      map[string]*classStats
	calls           map[uint64]func(CloudResult)
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
	pending       []pendingAck
	peersKnowUpTo uint64        // up to this revision others have told of all cancellations
	nextReadAt    time.Duration // when the state service is read next for the sake of that
}

// archivingState is the sweep that moves ended jobs into the archive.
type archivingState struct {
	sweep            *archiveSweep // see sweep.go
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
	tasks           map[attemptKey]taskStatus
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
	attempts         map[attemptKey]*attempt
	requestID        uint64 // id of the orders on their way; 0: none
	requestToken     uint64
	requestAttempts  []attemptKey
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
	waiters        []cancelWaiter
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
	rank            queueRank     // as it was worked out last
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
