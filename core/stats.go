package core

// Stats holds the counters and gauges that are logged periodically. Counters only grow; gauges are updated
// by the periodic maintenance.
type Stats struct {
	Accepted        uint64 // jobs whose submission was accepted
	TaskStarts      uint64 // start commands to agents
	StartRefusals   uint64 // attempts that agents refused for lack of capacity
	Commits         uint64 // transactions sent
	Conflicts       uint64 // transactions whose compares failed
	UnknownOutcomes uint64 // transactions that were not answered

	MachineLooks     uint64 // machines examined for commands to send
	PlanMachineLooks uint64 // machines examined by the autoscaler for capacity

	Archived      uint64 // jobs whose records were archived
	ArchiveWrites uint64 // writes to the store for archiving
	RecordReads   uint64 // reads of ended jobs' records
	BlockReads    uint64 // reads of archive blocks
	RecalledJobs  uint64 // ended jobs read back into memory

	PermissionDenials uint64 // requests denied for lack of permission

	EndedInMemory int // gauge: ended jobs in memory
	ColdRecords   int // gauge: other ended jobs that still have records
	CachedBlocks  int // gauge: archive blocks in memory
	HistoryBytes  int // gauge: estimated memory of ended jobs and blocks
}

// FencingStats holds counters about start fences. They are logged in a line of their own, as tools of operators read
// the names of Stats.
type FencingStats struct {
	TaskClears       uint64 // clear commands to agents
	CommandConflicts uint64 // command requests that agents rejected because of their fencing token or incarnation
	TokenRaises      uint64 // increments of the fencing token outside of claims
	WaitingMachines  int    // gauge: machines with ended tasks that wait for a higher fencing token
}

// FencingStats returns the counters about start fences.
func (c *Core) FencingStats() FencingStats {
	stats := c.fencing
	stats.WaitingMachines = len(c.commands.fenceWaiters.machines)
	return stats
}
