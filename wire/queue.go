package wire

// Paths of the queue and of the lanes; both are ours.
const (
	PathQueue           = "/v1/queue"
	PathPriorityClasses = "/v1/lanes"
)

// JobQueue lists the jobs that wait, in the order of work, a page at a time.
type JobQueue struct {
	Jobs  []QueuedJob `json:"jobs,omitempty"`
	Total int         `json:"all"` // jobs that wait
	// the page behind this one begins after so many; 0: there is none
	NextOffset      int    `json:"next,omitempty"`
	Version         uint64 `json:"version,omitempty"` // of the list of lanes
	PriorityClasses string `json:"lanes,omitempty"`   // that list, in protobuf text format, if it is asked for
}

// QueuedJob is a job with tasks that wait.
type QueuedJob struct {
	ID            string `json:"uid"`
	Position      int    `json:"number"` // in the queue, from 1
	PriorityClass string `json:"lane"`
	// the lane by which it is ordered, if it has risen or a job of that lane needs it
	EffectivePriorityClass string `json:"ordered_as,omitempty"`
	Class                  string `json:"class"`
	Team                   string `json:"team"`
	Tasks                  int    `json:"tasks"`
	Done                   int    `json:"done"`
	Assigned               int    `json:"assigned"` // to machines
	WaitedS                int64  `json:"waited_s"` // since it was accepted
	WaitingFor             string `json:"for"`      // what it waits for: jobs, errors, limit, room or changes
	Explanation            string `json:"why"`      // the same in words
}
