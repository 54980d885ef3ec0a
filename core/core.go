package core

import (
	"time"

	"dewlift/audit"
	"dewlift/core/membership"
	"dewlift/core/quorum"
	"dewlift/core/ratelimit"
	"dewlift/core/reservations"
	"dewlift/overload"
	"dewlift/priorityclass"
)

// Core is the state machine of one controller. Its state is grouped by concern into types, each in the
// file of its concern. It is not safe for concurrent use.
type Core struct {
	*environment

	// Stats holds the counters and gauges that are logged periodically.
	Stats Stats

	fencing FencingStats

	jobTable
	pendingSubmissions int // submissions whose write is pending
	dependencies       dependencyGraph

	machineTable

	teams teamSet

	// The key-value store.
	replica      storeReplica
	storeHealth  storeHealth
	transactions transactionState
	schema       schemaState
	reads        rangeReads

	// Controllers.
	ownLease    controllerLease
	leadership  leadershipState
	leaderState *leaderState // nil unless this controller is the leader
	ownership   shardOwnership
	controllers controllerSet
	memberLists memberLists
	clusterCopy clusterCopy
	deltaLog    deltaLog

	// Agents and machines.
	agents        agentLiveness
	commands      commandDispatch
	autoscaler    autoscalerState
	outageScaleIn outageScaleInState

	// Scheduling.
	priority   priorityState
	placement  placementState
	cancelAcks cancelAcks

	// State that outlives jobs.
	history       history
	archiving     archivingState
	auditLog      auditState
	permissions   permissionState
	access        accessControl
	restoreMarker restoreMarker

	loadedAnnounced bool // ReplicaLoaded was emitted

	reservations reservationState

	overload    overload.State
	maintenance maintenanceState
	stalls      stallDetector

	lateStartLog       logLimiter
	commandConflictLog logLimiter
	absenceProofLog    logLimiter
}

// stallDetector detects pauses of this process. A heartbeat that is missing because of a pause does
// not mean that its machine is silent.
type stallDetector struct {
	lastAdvanceAt time.Duration
	runningSince  time.Duration // end of the last pause
}

// stallThreshold is the gap between two Advance calls beyond which the process counts as paused.
// Advance is normally called many times per second.
const stallThreshold = time.Second

// advance records that the process is running now.
func (s *stallDetector) advance(now time.Duration) {
	if now-s.lastAdvanceAt > stallThreshold {
		s.runningSince = now
	}
	s.lastAdvanceAt = now
}

// New returns a core that starts at time now. The same seed and inputs always give the same outputs.
func New(cfg Config, now time.Duration, seed uint64) *Core {
	c := &Core{
		environment: newEnvironment(cfg, now, seed),
		teams:       newTeamSet(cfg.Teams),
	}
	c.machineTable = machineTable{environment: c.environment, machineIndex: map[string]int32{}}
	c.jobTable = jobTable{environment: c.environment, jobIndex: map[string]int32{}}
	c.maintenance.environment = c.environment
	c.initControllers()
	c.initStore()
	c.initAgents()
	c.initScheduling()
	c.initAccess()
	c.updateRateLimit()
	c.transactions.rateLimit.FillBurst()
	return c
}

// initControllers initializes the lease, the leadership, the shards and the other controllers.
func (c *Core) initControllers() {
	c.ownLease.environment = c.environment
	c.leadership.environment, c.leadership.lease = c.environment, &c.ownLease
	c.ownership.environment, c.ownership.lease = c.environment, &c.ownLease
	c.ownership.shards = make([]leasedKey, c.cfg.Shards)
	c.controllers.environment = c.environment
	c.controllers.membership = membership.New(c.cfg.Peers, c.cfg.Cluster.PeerTimeout)
	c.controllers.registrations = map[string]leasedKey{}
	c.memberLists = newMemberLists(c.environment)
}

// initStore initializes the replica of the store, and the state of reads and writes.
func (c *Core) initStore() {
	c.storeHealth.environment = c.environment
	c.transactions.environment, c.transactions.stats = c.environment, &c.Stats
	c.transactions.inFlight = map[uint64]*pendingTxn{}
	c.transactions.limits.environment = c.environment
	c.transactions.rateLimit = ratelimit.New(c.now)
	c.transactions.completionBatchDelay = c.cfg.Scheduling.MinCompletionBatchDelay
	c.replica = storeReplica{
		environment: c.environment,
		health:      &c.storeHealth,
		rateLimit:   &c.transactions.rateLimit,
		members:     c.controllers.membership,
		slots:       slotTable{},
	}
	c.schema = schemaState{environment: c.environment, declared: map[string]int{}}
	c.reads = newRangeReads(c.environment, &c.transactions.rateLimit)
	c.history = newHistory(c.environment, &c.reads)
}

// initAgents initializes the state of agents and machines, commands to them, and calls to the cloud API.
func (c *Core) initAgents() {
	c.agents.environment, c.agents.controllers = c.environment, &c.controllers
	c.agents.zones = map[string]*zoneLiveness{}
	c.agents.missingHeartbeats = map[string][]string{}
	c.commands.environment, c.commands.agents, c.commands.controllers = c.environment, &c.agents, &c.controllers
	c.commands.inFlight = map[uint64]inFlightCommands{}
	c.commands.relayed = map[uint64]relayedCommands{}
	c.commands.fenceWaiters.machines = map[int32]bool{}
	c.autoscaler.environment = c.environment
	c.autoscaler.pendingCalls = map[uint64]func(CloudResult){}
}

// initScheduling initializes the queue order, the copy of the cluster state, and cancellations.
func (c *Core) initScheduling() {
	c.priority.environment = c.environment
	c.priority.classes = priorityclass.Default(c.cfg.Scheduling.PriorityAgingInterval)
	c.dependencies = dependencyGraph{environment: c.environment, jobs: &c.jobTable, priority: &c.priority}
	c.placement.environment, c.placement.rateLimit = c.environment, &c.transactions.rateLimit
	c.clusterCopy.environment = c.environment
	c.clusterCopy.state.MaxAge = c.cfg.State.CopyExpiry
	c.deltaLog.environment, c.deltaLog.machines = c.environment, &c.machineTable
	c.deltaLog.unacked = map[string][]deltaBatch{}
	c.cancelAcks = cancelAcks{environment: c.environment, jobs: &c.jobTable, replica: &c.replica, schema: &c.schema}
	c.cancelAcks.quorum = quorum.New(quorum.Config{
		Name:           c.cfg.Name,
		Peers:          c.cfg.Peers,
		CancelDeadline: c.cfg.Agents.CancelTimeout,
		AgentLeaseTTL:  c.cfg.Agents.LeaseTTL,
	})
}

// initAccess initializes permissions, the audit log and reservations.
func (c *Core) initAccess() {
	c.permissions = newPermissionState(c.environment)
	c.auditLog = auditState{
		environment: c.environment,
		schema:      &c.schema,
		permissions: &c.permissions,
		stats:       &c.Stats,
		recorder:    newAuditLog(c.environment),
	}
	c.access = accessControl{
		environment: c.environment,
		permissions: &c.permissions,
		auditLog:    &c.auditLog,
		schema:      &c.schema,
	}
	c.reservations = reservationState{
		environment: c.environment,
		service:     reservations.New(),
		access:      &c.access,
		auditLog:    &c.auditLog,
		schema:      &c.schema,
	}
}

// Healthy reports whether this controller can serve users: it has a replica of the store and a
// catalog, its permissions and audit log are ready, and either it holds its lease or the store is down
// for all controllers.
func (c *Core) Healthy() bool {
	return c.replica.loaded && !c.access.isNotServing() && c.autoscaler.catalog != nil &&
		(c.ownLease.isHeld() || c.isStoreOutage())
}

// Handle applies an input. Its outputs are returned by the next Advance.
func (c *Core) Handle(now time.Duration, in Input) {
	c.now = max(c.now, now)
	if !c.handlePlatformInput(in) { // first, as heartbeats are the most frequent inputs
		c.handleUserRequest(in)
	}
}

// handlePlatformInput handles inputs from agents, the store, the cloud, peers and clocks, and reports
// whether the input was one of these.
func (c *Core) handlePlatformInput(in Input) bool {
	switch in := in.(type) {
	case AgentHeartbeat:
		c.handleHeartbeat(in)
	case AgentPolled:
		c.handleAgentPolled(in)
	case CommandsResult:
		c.handleCommandsResult(in)
	case TxnResult:
		c.handleTxnResult(in)
	case WatchResult:
		c.handleWatchResult(in)
	case SnapshotPage:
		c.handleSnapshotPage(in)
	case RangeResult:
		c.handleRangeResult(in)
	case LeaseResult:
		c.handleLeaseResult(in)
	case CloudResult:
		c.autoscaler.handleCloudResult(in)
	case PeerMessage:
		c.handlePeerMessage(in)
	case LoadSample:
		c.handleLoadSample(in)
	case WallClock:
		c.unixOffsetMS = in.UnixMS - c.now.Milliseconds()
	default:
		return false
	}
	return true
}

// handleUserRequest handles users' requests, and reports of requests that the API denied.
func (c *Core) handleUserRequest(in Input) {
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
		c.handleRequestsDenied(in)
	}
}

// handleRequestsDenied records in the audit log requests that the API denied before they reached the core.
func (c *Core) handleRequestsDenied(in RequestsDenied) {
	for _, denied := range in.Items {
		c.auditLog.current().RecordDenial(audit.AggregatedEvent{
			Identity: denied.Who,
			Verb:     denied.Verb,
			Object:   denied.Object,
			Reason:   denied.Why,
		}, denied.Count)
	}
}

// handleAgentPolled applies the heartbeat that a poll of an agent returned. A heartbeat of another
// machine than the polled one is ignored.
func (c *Core) handleAgentPolled(in AgentPolled) {
	c.agents.pollsInFlight = max(0, c.agents.pollsInFlight-1)
	if in.Heartbeat != nil && in.Heartbeat.Machine == in.Machine {
		c.applyHeartbeat(in.Heartbeat, true)
	}
}

// Advance moves the time forward, does all work that is due and returns the outputs since the last call.
// The order of its steps matters: each step sees the changes of the earlier ones.
func (c *Core) Advance(now time.Duration) []Output {
	c.now = max(c.now, now)
	c.stalls.advance(c.now)
	c.transactions.rateLimit.Refill(c.now, c.cfg.Store.MaxTxnOps)
	c.replica.sync()
	if c.mayKeepLease() {
		c.ownLease.maintain()
	}
	c.runMaintenance()
	c.broadcastHealth()
	if c.replica.loaded {
		c.advanceCancelAcks()
		c.acquireOwnership()
		c.declareSchemaVersion()
		c.storeActiveSchema()
		c.storeMemberList()
		c.advanceAuditLog()
		c.seedPermissions()
		c.permissions.publishPolicy()
		c.scheduleJobs()
		c.advanceReservations()
		c.advancePriorityClasses()
		c.resolveDependencies()
		c.advanceLookups()
		c.advanceArchiveSweep()
		c.runLeader()
		c.evictInterrupted()
		c.scaleInDuringOutage()
		c.dispatchCommands()
		c.broadcastUpdates()
		c.announceLoaded()
	}
	out := c.outputs
	c.outputs = nil
	return out
}

// announceLoaded tells the API once that requests can be answered from now on.
func (c *Core) announceLoaded() {
	if !c.loadedAnnounced {
		c.loadedAnnounced = true
		c.emit(ReplicaLoaded{})
	}
}
