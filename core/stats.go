package core

// Stats counts what the log reports at a modest rate.
type Stats struct {
	Accepted, TaskStarts, StartRefusals, Commits, Conflicts, UnknownOutcomes uint64
	MachineLooks                                                             uint64 // at what a machine must be told
	// at machines, for what needs room in plans
	PlanMachineLooks uint64

	Archived, ArchiveWrites uint64 // jobs whose records moved, and the changes that took
	// reads of ended jobs, and answers that they or what they had left in memory gave
	RecordReads, BlockReads, RecalledJobs uint64
	PermissionDenials                     uint64 // acts refused for lack of a right
	EndedInMemory, ColdRecords            int    // ended jobs in memory, and others that still have records
	CachedBlocks, HistoryBytes            int    // blocks, and all that ended jobs take in memory
}
