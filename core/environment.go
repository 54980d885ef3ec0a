package core

import (
	"math/rand/v2"
	"time"
)

// environment is what every concern of a core shares: the settings, the time of the current input, the
// random source and the outputs since the last Advance. Core and its parts hold the same one.
type environment struct {
	cfg          Config
	rng          *rand.Rand
	now          time.Duration // since the process began; it never goes back
	unixOffsetMS int64         // time of day minus now, in ms
	startedAt    time.Duration
	outputs      []Output // since the last Advance
	lastID       uint64   // last request ID
}

// newEnvironment returns the environment of a core that starts at a time.
func newEnvironment(cfg Config, now time.Duration, seed uint64) *environment {
	return &environment{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now:       now,
		startedAt: now,
	}
}

// emit adds an output, which the next Advance returns.
func (e *environment) emit(o Output) { e.outputs = append(e.outputs, o) }

// nextID returns a new request ID. IDs are never 0.
func (e *environment) nextID() uint64 { e.lastID++; return e.lastID }

// unixMS is the time of day in milliseconds since 1970, as of the last WallClock input.
func (e *environment) unixMS() int64 { return e.unixOffsetMS + e.now.Milliseconds() }

// log emits a log line.
func (e *environment) log(level LogLevel, text string, args ...any) {
	e.emit(LogLine{Level: level, Message: text, Args: args})
}

// jitter draws a random duration between 0 and limit.
func (e *environment) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(limit) + 1))
}
