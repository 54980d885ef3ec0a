// Package connlimit divides a process's sockets among their uses, so that no use can take those of
// another: a lost zone once had a request hanging to each of its machines, and users and agents found no
// socket left. It also closes idle inbound connections when there are too many. It decides nothing about
// the requests on them.
package connlimit

// Limits are the most sockets that each use may have.
type Limits struct {
	AgentCommands  int // requests with commands to agents, in flight
	AgentPolls     int // status polls of agents, in flight
	IdleAgentConns int // connections to agents that are kept for the next request
	Inbound        int // connections of users and agents
}

// minSocketsPerUse is the least number of sockets of a use, however few there are in all.
const minSocketsPerUse = 16

// Divide divides a number of sockets. The rest is for the key-value store, the cloud, the other
// controllers, files, and sockets that outlive their connections for a moment.
func Divide(total int) Limits {
	return Limits{
		AgentCommands:  max(minSocketsPerUse, total/8),
		AgentPolls:     max(minSocketsPerUse, total/32),
		IdleAgentConns: max(4*minSocketsPerUse, total/8),
		Inbound:        max(4*minSocketsPerUse, total*9/16),
	}
}
