package core

import (
	"dewlift/audit"
	"dewlift/core/auditlog"
	"dewlift/core/batchvalue"
	"dewlift/core/membership"
	"dewlift/core/quorum"
	"dewlift/core/ratelimit"
	"dewlift/core/reservations"
	"dewlift/overload"
	"dewlift/priorityclass"
	"math/rand/v2"
	"time"
)

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

// New makes a core; seed feeds its randomness.
func New(cfg Config, now time.Duration, seed uint64) *Core {
	c := &Core{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now:          now,
		startedAt:    now,
		machineIndex: map[string]int32{},
		jobIndex:     map[string]int32{},
		teamIndex:    map[string]int{},
		reservations: reservations.New(),
		history:      newHistory(&cfg),
		permissions:  permissionState{identities: map[string]storedIdentity{}},
	}
	c.replica.batchValues = map[int]*batchvalue.Slot{}
	c.controllers.membership = membership.New(cfg.Peers, cfg.Cluster.PeerTimeout)
	c.controllers.nodeKeys = map[string]leasedKey{}
	c.ownership.shards = make([]leasedKey, cfg.Shards)
	c.schema.declared = map[string]int{}
	c.transactions.inFlight = map[uint64]*pendingTxn{}
	c.transactions.rateLimit = ratelimit.New(now)
	c.transactions.endBatchDelay = cfg.Scheduling.MinEndBatchDelay
	c.agents.zones = map[string]*zoneLiveness{}
	c.agents.missingHeartbeats = map[string][]string{}
	c.commands.inFlight = map[uint64]inFlightCommands{}
	c.commands.relayed = map[uint64]relayedCommands{}
	c.autoscaler.calls = map[uint64]func(CloudResult){}
	c.deltaLog.uncounted = map[string][]deltaBatch{}
	c.priority.classes = priorityclass.Default(cfg.Scheduling.PriorityAgingInterval)
	c.auditLog = c.newAuditLog()
	c.cancelAcks.quorum = quorum.New(
		quorum.Config{Peers: cfg.Peers, CancelDeadline: cfg.Agents.CancelTimeout, AgentLeaseTTL: cfg.Agents.LeaseTTL},
	)
	c.clusterCopy.state.MaxAge = cfg.State.CopyExpiry
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
func (c *Core) log(level LogLevel, text string, args ...any) {
	c.emit(LogLine{Level: level, Message: text, Args: args})
}

// Healthy is the answer to health checks.
func (c *Core) Healthy() bool {
	return c.replica.loaded && !c.isNotServing() && c.autoscaler.catalog != nil &&
		(c.holdsLease() || c.isStoreOutage())
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
			c.currentAuditLog().RecordRefusal(audit.GatheredEvent{
				Identity: it.Who,
				Verb:     it.Verb,
				Object:   it.Object,
				Reason:   it.Why,
			}, it.Count)
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
	c.transactions.rateLimit.Refill(c.now, c.cfg.Store.MaxTxnOps)
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

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// stallDetector is pauses of this process: silence in one is no sign that a machine is silent.
type stallDetector struct {
	lastAdvanceAt time.Duration // when time passed here last
	runningSince  time.Duration // since when it has without a pause: what was not heard in one is no sign of silence
}
