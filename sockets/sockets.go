// Package sockets divides a process's sockets among what it needs them for, so that no use can take those of another: a lost zone
// once had a request hanging to each of its machines, and users and workers found no socket left.
package sockets

// Parts are the most sockets that each use may have.
type Parts struct {
	Orders int // requests with orders to workers that are on their way
	Probes int // requests for reports that are
	Idle   int // connections to workers that are kept for the next request
	In     int // connections of users and workers
}

// least is what every use has, however few there are.
const least = 16

// Of divides a number of sockets. What is not in a part is for the state service, the cloud, the other controllers, files and the
// moments between the end of a connection and that of its socket.
func Of(all int) Parts {
	return Parts{Orders: max(least, all/8), Probes: max(least, all/32), Idle: max(4*least, all/8), In: max(4*least, all*9/16)}
}
