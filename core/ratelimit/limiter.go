// Package ratelimit keeps a controller to its part of what the state service takes from all of
// them: changes and requests a second, and a pause where the service said that it was too much. It
// has no clock: times, since the process began, come in.
package ratelimit

import "time"

// Limiter is what one controller may use now.
type Limiter struct {
	WriteTokens, ReadTokens        float64 // changes and requests that may be made; below 0: overdrawn
	WriteRate, ReadRate            float64 // what comes in a second
	refilledAt                     time.Duration
	writesSinceSample              float64 // changes since Used was asked last
	recentWriteRate                float64 // changes a second of late
	pausedUntil, urgentPausedUntil time.Duration
}

const minReadBurst = 4 // that may gather, however low the rate

// New is a budget from a time on.
func New(now time.Duration) Limiter { return Limiter{refilledAt: now} }

// FillBurst has a second's worth of both gather at once.
func (b *Limiter) FillBurst() { b.WriteTokens, b.ReadTokens = b.WriteRate, b.ReadRate }

// SetRates sets the rates: of all changes a second an equal part, or what the others leave if that is more, and at
// most a share of them; of the requests an equal part.
func (b *Limiter) SetRates(changes, requests, controllers, left, most float64) {
	b.WriteRate = min(max(changes/controllers, left), changes*most)
	b.ReadRate = requests / controllers
}

// WriteBurst is how many changes may gather: a second's worth, and a whole transaction at least.
func (b *Limiter) WriteBurst(txnOps int) float64 { return max(b.WriteRate, float64(txnOps)) }

// Refill lets time pass.
func (b *Limiter) Refill(now time.Duration, txnOps int) {
	dt := (now - b.refilledAt).Seconds()
	b.refilledAt = now
	b.WriteTokens = min(b.WriteTokens+dt*b.WriteRate, b.WriteBurst(txnOps))
	b.ReadTokens = min(b.ReadTokens+dt*b.ReadRate, max(b.ReadRate, minReadBurst))
}

// SpendRequest pays for a request.
func (b *Limiter) SpendRequest() { b.ReadTokens-- }

// SpendTxn pays for a transaction of so many changes.
func (b *Limiter) SpendTxn(changes int) {
	b.WriteTokens -= float64(changes)
	b.writesSinceSample += float64(changes)
	b.ReadTokens--
}

// SampleWriteRate is how many changes a second were made of late; it is asked once in a time, and
// halves what was before.
func (b *Limiter) SampleWriteRate(every time.Duration) float64 {
	b.recentWriteRate += (b.writesSinceSample/every.Seconds() - b.recentWriteRate) / 2
	b.writesSinceSample = 0
	return b.recentWriteRate
}

// Pause has nothing written until a time, and not even what users wait for until another.
func (b *Limiter) Pause(until, urgent time.Duration) {
	b.pausedUntil, b.urgentPausedUntil = until, urgent
}

// PauseNonUrgent has nothing written until a time but what users wait for.
func (b *Limiter) PauseNonUrgent(until time.Duration) { b.pausedUntil = max(b.pausedUntil, until) }

// IsPaused reports whether nothing may be written now but what users wait for.
func (b *Limiter) IsPaused(now time.Duration) bool { return now < b.pausedUntil }

// IsUrgentPaused reports whether not even that may be.
func (b *Limiter) IsUrgentPaused(now time.Duration) bool { return now < b.urgentPausedUntil }

// MinInterval is the time between two requests of a kind that may take a share of all.
func (b *Limiter) MinInterval(least time.Duration, share float64) time.Duration {
	return max(least, time.Duration(float64(time.Second)/(share*b.ReadRate)))
}
