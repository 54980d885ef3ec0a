package wire

// JobQueue is a page of the jobs with waiting tasks, in scheduling order. It is also the body of a request that
// replaces the priority classes, of which only PriorityClasses is read.
type JobQueue struct {
	Jobs  []QueuedJob `json:"jobs,omitempty"`
	Total int         `json:"all"` // number of jobs on all pages
	// NextOffset is the number of jobs before the next page, or 0 if this is the last one.
	NextOffset      int    `json:"next,omitempty"`
	Version         uint64 `json:"version,omitempty"` // of the list of priority classes
	PriorityClasses string `json:"lanes,omitempty"`   // that list in protobuf text format, if requested
}

// QueuedJob is a job with waiting tasks.
type QueuedJob struct {
	ID            string `json:"uid"`
	Position      int    `json:"number"` // in the queue, from 1
	PriorityClass string `json:"lane"`
	// EffectivePriorityClass is the class that determines the job's order if it differs from its own class:
	// because of priority aging, or because a job of that class depends on it.
	EffectivePriorityClass string `json:"ordered_as,omitempty"`
	Class                  string `json:"class"`
	Team                   string `json:"team"`
	Tasks                  int    `json:"tasks"`
	Done                   int    `json:"done"`
	Assigned               int    `json:"assigned"` // tasks assigned to machines
	WaitedS                int64  `json:"waited_s"` // since the job was accepted
	// WaitingFor is what the job waits for: "jobs" (dependencies), "errors" (back-off after failures), "limit"
	// (quota of the team), "room" (capacity) or "changes" (a write to the store).
	WaitingFor  string `json:"for"`
	Explanation string `json:"why"` // the same as text for users
}
