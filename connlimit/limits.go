// Package connlimit divides a process's sockets among what it needs them for, so that no use can
// take those of another: a lost zone once had a request hanging to each of its machines, and users
// and workers found no socket left.
package connlimit

// Limits are the most sockets that each use may have.
type Limits struct {
	AgentCommands  int // requests with orders to workers that are on their way
	AgentPolls     int // requests for reports that are
	IdleAgentConns int // connections to workers that are kept for the next request
	Inbound        int // connections of users and workers
}

// minPerUse is what every use has, however few there are.
const minPerUse = 16

// Divide divides a number of sockets. What is not in a part is for the state service, the cloud,
// the other controllers, files and the moments between the end of a connection and that of its
// socket.
func Divide(all int) Limits {
	return Limits{
		AgentCommands:  max(minPerUse, all/8),
		AgentPolls:     max(minPerUse, all/32),
		IdleAgentConns: max(4*minPerUse, all/8),
		Inbound:        max(4*minPerUse, all*9/16),
	}
}
