// Package core is the state machine of a controller.
//
// It decides which controller owns which jobs, which machine runs which task, whose tasks are
// preempted, how many machines are provisioned, which commands each agent gets, and how each request
// is answered. It takes inputs with their times and returns outputs: messages, writes, log lines and
// responses. The same seed and inputs always give the same outputs.
//
// Its state consists of a replica of the keys under Root in the key-value store, the agents'
// heartbeats, the peers' messages, and the requests in flight. Only what a transaction has committed
// to the store is durable, so a controller may be restarted at any time.
//
// It does no I/O, and has no clock, goroutine or global randomness. A write of a shard's jobs compares
// the shard's revision, unless it accepts or cancels a job. Nothing is proposed for a job, team or slot
// while the outcome of its last write is unknown.
package core
