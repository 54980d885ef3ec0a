// Package core is the state machine of a controller: ownership of jobs, placement of tasks,
// team limits, cancellation, machines and money. It takes inputs with their time and returns
// what to send, write and answer. It does no I/O and has no clock, goroutine or global randomness.
package core
