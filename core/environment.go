package core

import (
	"math/rand/v2"
	"time"
)

// environment is shared by all parts of a core: the configuration, the time of the current input, the
// random source and the outputs since the last Advance.
type environment struct {
	cfg          Config
	rng          *rand.Rand
	now          time.Duration // monotonic, since the process began
	unixOffsetMS int64         // wall-clock time minus now, in ms
	startedAt    time.Duration
	outputs      []Output // since the last Advance
	lastID       uint64   // last request ID
}

// firstIDBits is the size of the random number with which the request IDs of a process begin, so that a late answer to
// an earlier process of the same controller matches no request of this one.
const firstIDBits = 62

// requestIDStream selects a random sequence of its own for the first request ID.
const requestIDStream = 0xd1342543de82ef95

// newEnvironment returns the environment of a core that starts at time now.
func newEnvironment(cfg Config, now time.Duration, seed uint64) *environment {
	return &environment{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now:       now,
		startedAt: now,
		lastID:    rand.New(rand.NewPCG(seed, requestIDStream)).Uint64() >> (64 - firstIDBits),
	}
}

// emit adds an output, which the next Advance returns.
func (e *environment) emit(o Output) { e.outputs = append(e.outputs, o) }

// nextID returns a new request ID. IDs are never 0.
func (e *environment) nextID() uint64 { e.lastID++; return e.lastID }

// unixMS returns the wall-clock time in milliseconds since 1970, as set by the last WallClock input.
func (e *environment) unixMS() int64 { return e.unixOffsetMS + e.now.Milliseconds() }

// unixSeconds returns the wall-clock time in seconds since 1970, as set by the last WallClock input.
func (e *environment) unixSeconds() int64 { return e.unixMS() / 1000 }

// log emits a log line; args are keys and values in turn.
func (e *environment) log(level LogLevel, text string, args ...any) {
	e.emit(LogLine{Level: level, Message: text, Args: args})
}

// jitter returns a random duration from 0 to limit.
func (e *environment) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(limit) + 1))
}
