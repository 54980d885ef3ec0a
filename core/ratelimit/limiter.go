// Package ratelimit keeps a controller within its part of the key-value store's rates: writes and
// requests per second, and pauses after the store has refused or not answered.
//
// It owns the tokens, the rates and the pauses. It does not send or refuse anything itself: callers
// look at the tokens and pauses, and charge what they send. It has no clock: times, as durations
// since the process began, are passed in.
package ratelimit

import "time"

// Limiter is a token bucket each for writes and for requests, of one controller.
type Limiter struct {
	WriteTokens, RequestTokens float64 // writes and requests that may be sent now; below 0: overdrawn
	WriteRate, RequestRate     float64 // tokens added per second

	refilledAt        time.Duration
	writesSinceSample float64 // writes since the last SampleWriteRate
	recentWriteRate   float64 // writes per second, smoothed

	pausedUntil, urgentPausedUntil time.Duration
}

// minRequestBurst is the number of request tokens that may accumulate however low the rate is.
const minRequestBurst = 4

// New returns a limiter without tokens or rates that begins at a time.
func New(now time.Duration) Limiter { return Limiter{refilledAt: now} }

// FillBurst sets both kinds of tokens to one second's worth.
func (b *Limiter) FillBurst() { b.WriteTokens, b.RequestTokens = b.WriteRate, b.RequestRate }

// SetRates sets the rates from those of all controllers together. Of the total write rate a
// controller gets an equal part, or what the others leave unused if that is more, but no more than
// maxShare of it (from 0 to 1); of the total request rate it gets an equal part.
func (b *Limiter) SetRates(totalWrites, totalRequests, controllers, unusedWrites, maxShare float64) {
	b.WriteRate = min(max(totalWrites/controllers, unusedWrites), totalWrites*maxShare)
	b.RequestRate = totalRequests / controllers
}

// WriteBurst is the number of write tokens that may accumulate: one second's worth, but at least a
// transaction of maxTxnOps writes, which could never be sent otherwise.
func (b *Limiter) WriteBurst(maxTxnOps int) float64 { return max(b.WriteRate, float64(maxTxnOps)) }

// Refill adds the tokens of the time since the last Refill.
func (b *Limiter) Refill(now time.Duration, maxTxnOps int) {
	elapsed := (now - b.refilledAt).Seconds()
	b.refilledAt = now
	b.WriteTokens = min(b.WriteTokens+elapsed*b.WriteRate, b.WriteBurst(maxTxnOps))
	b.RequestTokens = min(b.RequestTokens+elapsed*b.RequestRate, max(b.RequestRate, minRequestBurst))
}

// SpendRequest charges a request that writes nothing.
func (b *Limiter) SpendRequest() { b.RequestTokens-- }

// SpendTxn charges a transaction: its writes and the request.
func (b *Limiter) SpendTxn(writes int) {
	b.WriteTokens -= float64(writes)
	b.writesSinceSample += float64(writes)
	b.RequestTokens--
}

// SampleWriteRate returns the recent rate of writes per second. It is to be called once per
// interval: each call weighs the writes since the last one and all earlier ones equally.
func (b *Limiter) SampleWriteRate(interval time.Duration) float64 {
	b.recentWriteRate += (b.writesSinceSample/interval.Seconds() - b.recentWriteRate) / 2
	b.writesSinceSample = 0
	return b.recentWriteRate
}

// Pause pauses all writes until one time, and those that users wait for until another.
func (b *Limiter) Pause(until, urgentUntil time.Duration) {
	b.pausedUntil, b.urgentPausedUntil = until, urgentUntil
}

// PauseNonUrgent extends the pause of writes that no user waits for. It never shortens it.
func (b *Limiter) PauseNonUrgent(until time.Duration) { b.pausedUntil = max(b.pausedUntil, until) }

// IsPaused reports whether writes that no user waits for are paused.
func (b *Limiter) IsPaused(now time.Duration) bool { return now < b.pausedUntil }

// IsUrgentPaused reports whether writes that users wait for are paused too.
func (b *Limiter) IsUrgentPaused(now time.Duration) bool { return now < b.urgentPausedUntil }

// MinInterval is the time between two requests of a kind that may use a share (from 0 to 1) of the
// request rate, and at least minInterval.
func (b *Limiter) MinInterval(minInterval time.Duration, share float64) time.Duration {
	return max(minInterval, time.Duration(float64(time.Second)/(share*b.RequestRate)))
}
