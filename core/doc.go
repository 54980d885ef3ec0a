// Package core is the state machine of a controller.
//
// It decides which controller owns which jobs, which machine runs which task, whose tasks are
// preempted, how many machines are rented, what each agent is commanded to do, and how each request
// is answered. It takes inputs with their time and returns what to send, write, log and answer; the
// same seed and inputs always give the same outputs.
//
// Its state is a replica of the keys under Root in the key-value store, the agents' heartbeats, the
// peers' messages, and the requests in flight. Nothing is durable but what a transaction has
// committed to the store: a controller may be restarted at any time.
//
// It does no I/O, and has no clock, goroutine or global randomness. It does not write a shard's jobs
// without comparing the shard's revision, except to accept or cancel a job, and does not propose
// anything for a job, team or slot while the outcome of its last write is unknown.
package core
