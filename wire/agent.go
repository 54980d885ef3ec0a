package wire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// TaskStatus is the state of a task in an agent's heartbeat.
type TaskStatus struct {
	Task         string `json:"piece"`
	Attempt      uint64 `json:"try"`
	Stage        string `json:"stage"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"kept,omitempty"`
}

// Stages of a task on its machine.
const (
	TaskPullingImage  = "pulling"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "exited"
)

// Causes of a task's exit.
const (
	CauseDone       = "done"
	CauseStopped    = "stopped"
	CauseError      = "error"
	CauseNoCapacity = "full"
	CauseBusy       = "busy"
	CauseNoSuchTask = "no_such"
)

// Heartbeat is an agent's heartbeat. It describes the machine and the status of all tasks on it.
type Heartbeat struct {
	Machine             string       `json:"hearth"`
	Addr                string       `json:"address"`
	Type                string       `json:"kiln"`
	Zone                string       `json:"yard"`
	Spot                bool         `json:"borrowed"`
	Incarnation         uint64       `json:"shift"`    // of the agent; increases when it restarts
	Sequence            uint64       `json:"tally"`    // increases with each heartbeat of an incarnation
	FencingToken        uint64       `json:"baton"`    // highest that the agent knows
	InterruptionNoticeS *float64     `json:"recall_s"` // until a spot machine is reclaimed; nil without a notice
	Tasks               []TaskStatus `json:"pieces"`
}

// ParseHeartbeat decodes and validates a heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("not a valid report: %w", err)
	}
	if heartbeat.Machine == "" || len(heartbeat.Machine) > maxNameBytes || heartbeat.Type == "" ||
		heartbeat.Zone == "" || heartbeat.Addr == "" || heartbeat.Incarnation == 0 {
		return nil, errors.New("a field of the report is missing")
	}
	for _, status := range heartbeat.Tasks {
		if _, _, ok := SplitTaskName(status.Task); !ok {
			return nil, fmt.Errorf("bad task name %.80q", status.Task)
		}
		switch status.Stage {
		case TaskPullingImage, TaskRunning, TaskCheckpointing, TaskExited:
		default:
			return nil, fmt.Errorf("unknown task stage %.80q", status.Stage)
		}
	}
	return &heartbeat, nil
}

// Operations of commands to agents.
const (
	OpStart = "start"
	OpStop  = "stop"
	OpClear = "clear" // forget a task that has exited
)

// Command is one command to an agent.
type Command struct {
	Op           string   `json:"order"`
	Task         string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"damp_s,omitempty"` // time to checkpoint before a stop
}

// String returns the operation, the task and the attempt, for logs.
func (c Command) String() string { return fmt.Sprintf("%s %s@%d", c.Op, c.Task, c.Attempt) }

// MaxEncodedBytes returns an upper bound of the size of the command in a request, in bytes: its JSON form and a comma.
func (c Command) MaxEncodedBytes() int {
	const (
		fixed  = len(`{"order":"","piece":"","try":,"damp_s":},`)
		number = 24 // digits of the longest number
	)
	return fixed + len(c.Op) + len(c.Task) + 2*number
}

// HeartbeatResponse is the response to a heartbeat, with commands to the agent.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandBatch holds commands that are sent to an agent without waiting for its next heartbeat.
type CommandBatch struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"` // of the agent that the commands are for
	Commands     []Command `json:"orders"`
}
