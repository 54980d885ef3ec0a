package core

import (
	"time"

	"dewlift/core/ratelimit"
)

const (
	throttledReadDelay = 100 * time.Millisecond // pause of non-urgent requests after a throttled read
	throttledJitter    = 200 * time.Millisecond // random part added to throttledReadDelay
)

// rangeReads holds the range reads of the key-value store that are in flight.
type rangeReads struct {
	*environment

	limiter *ratelimit.Limiter
	pending map[uint64]func(RangeResult) // callbacks by request ID
}

// newRangeReads returns a rangeReads without a read in flight.
func newRangeReads(env *environment, limiter *ratelimit.Limiter) rangeReads {
	return rangeReads{environment: env, limiter: limiter, pending: map[uint64]func(RangeResult){}}
}

// readKey reads one key of the store.
func (r *rangeReads) readKey(key string, callback func(RangeResult)) {
	r.send(ReadRange{Key: key}, callback)
}

// readPrefix reads a page of at most limit keys with a prefix, which begins after afterKey.
func (r *rangeReads) readPrefix(prefix, afterKey string, limit int, callback func(RangeResult)) {
	r.send(ReadRange{Prefix: prefix, AfterKey: afterKey, Limit: limit}, callback)
}

// send sends a read of the store. The callback gets its result.
func (r *rangeReads) send(request ReadRange, callback func(RangeResult)) {
	request.ID = r.nextID()
	r.limiter.SpendRequest()
	r.pending[request.ID] = callback
	r.emit(request)
}

// takeCallback removes and returns the callback of an answered read, or nil if there is none.
func (r *rangeReads) takeCallback(id uint64) func(RangeResult) {
	callback := r.pending[id]
	delete(r.pending, id)
	return callback
}

// pauseNonUrgent pauses non-urgent requests after a throttled read.
func (r *rangeReads) pauseNonUrgent() {
	r.limiter.PauseNonUrgent(r.now + throttledReadDelay + r.jitter(throttledJitter))
}
