// Package connlimit divides a process's sockets among their uses, so that no use can exhaust those of
// another: when a zone was lost, hanging requests to each of its machines left no sockets for users and
// agents. The package also closes idle inbound connections when there are too many. It does not look at
// the requests on them.
package connlimit

// Limits are the largest numbers of sockets for each use.
type Limits struct {
	AgentCommands  int // command requests to agents in flight
	AgentPolls     int // status polls of agents in flight
	IdleAgentConns int // idle connections to agents that are kept for reuse
	Inbound        int // connections of users and agents
}

// minSocketsPerUse is the smallest limit of a use, even if the total is too small for it.
const minSocketsPerUse = 16

// Divide divides a total number of sockets. The remainder is for the key-value store, the cloud, the other
// controllers, files, and sockets that briefly outlive their connections.
func Divide(total int) Limits {
	return Limits{
		AgentCommands:  max(minSocketsPerUse, total/8),
		AgentPolls:     max(minSocketsPerUse, total/32),
		IdleAgentConns: max(4*minSocketsPerUse, total/8),
		Inbound:        max(4*minSocketsPerUse, total*9/16),
	}
}
