// Package ratelimit limits a controller's writes and requests to its share of the key-value store's rates,
// and tracks pauses after the store has refused a request or not answered.
//
// It owns the tokens, the rates and the pauses. It neither sends nor refuses anything: callers check the
// tokens and pauses, and spend tokens for what they send. It has no clock: times, as durations since the
// process began, are passed in. Urgent writes are those that a user waits for.
package ratelimit

import "time"

// Limiter consists of two token buckets of one controller: one for writes, and one for requests.
type Limiter struct {
	WriteTokens, RequestTokens float64 // writes and requests that may be sent now; below 0: overdrawn
	WriteRate, RequestRate     float64 // tokens added per second

	refilledAt        time.Duration
	writesSinceSample float64 // writes since the last call of SampleWriteRate
	recentWriteRate   float64 // writes per second, smoothed

	pausedUntil, urgentPausedUntil time.Duration
}

// minRequestBurst is the number of request tokens that may accumulate however low the rate is.
const minRequestBurst = 4

// New returns a limiter without tokens or rates, which begins at time now.
func New(now time.Duration) Limiter { return Limiter{refilledAt: now} }

// FillBurst sets the tokens of both buckets to those of one second.
func (l *Limiter) FillBurst() { l.WriteTokens, l.RequestTokens = l.WriteRate, l.RequestRate }

// SetRates sets this controller's rates from the total rates of all controllers. Of the total write rate it
// gets an equal share, or what the others leave unused if that is more, but at most the fraction maxShare
// (from 0 to 1). Of the total request rate it gets an equal share.
func (l *Limiter) SetRates(totalWrites, totalRequests, controllers, unusedWrites, maxShare float64) {
	l.WriteRate = min(max(totalWrites/controllers, unusedWrites), totalWrites*maxShare)
	l.RequestRate = totalRequests / controllers
}

// WriteBurst returns the number of write tokens that may accumulate: those of one second, but at least
// maxTxnOps, as a transaction of that many writes could never be sent otherwise.
func (l *Limiter) WriteBurst(maxTxnOps int) float64 { return max(l.WriteRate, float64(maxTxnOps)) }

// Refill adds the tokens of the time since the last Refill.
func (l *Limiter) Refill(now time.Duration, maxTxnOps int) {
	elapsed := (now - l.refilledAt).Seconds()
	l.refilledAt = now
	l.WriteTokens = min(l.WriteTokens+elapsed*l.WriteRate, l.WriteBurst(maxTxnOps))
	l.RequestTokens = min(l.RequestTokens+elapsed*l.RequestRate, max(l.RequestRate, minRequestBurst))
}

// SpendRequest spends the token of a request that writes nothing.
func (l *Limiter) SpendRequest() { l.RequestTokens-- }

// SpendTxn spends the tokens of a transaction: those of its writes and of the request.
func (l *Limiter) SpendTxn(writes int) {
	l.WriteTokens -= float64(writes)
	l.writesSinceSample += float64(writes)
	l.RequestTokens--
}

// SampleWriteRate returns the smoothed rate of recent writes per second. It must be called once per
// interval: each call averages the rate since the previous call with the previous result.
func (l *Limiter) SampleWriteRate(interval time.Duration) float64 {
	l.recentWriteRate += (l.writesSinceSample/interval.Seconds() - l.recentWriteRate) / 2
	l.writesSinceSample = 0
	return l.recentWriteRate
}

// Pause pauses non-urgent writes until the time until, and urgent ones until urgentUntil.
func (l *Limiter) Pause(until, urgentUntil time.Duration) {
	l.pausedUntil, l.urgentPausedUntil = until, urgentUntil
}

// PauseNonUrgent extends the pause of non-urgent writes, and never shortens it.
func (l *Limiter) PauseNonUrgent(until time.Duration) { l.pausedUntil = max(l.pausedUntil, until) }

// IsPaused reports whether non-urgent writes are paused.
func (l *Limiter) IsPaused(now time.Duration) bool { return now < l.pausedUntil }

// IsUrgentPaused reports whether urgent writes are paused.
func (l *Limiter) IsUrgentPaused(now time.Duration) bool { return now < l.urgentPausedUntil }

// MinInterval returns the time between two requests of a kind that may use a share (from 0 to 1) of the
// request rate, but at least minInterval.
func (l *Limiter) MinInterval(minInterval time.Duration, share float64) time.Duration {
	return max(minInterval, time.Duration(float64(time.Second)/(share*l.RequestRate)))
}
