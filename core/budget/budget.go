// Package budget keeps a controller to its part of what the state service takes from all of them: changes and requests
// a second, and a pause where the service said that it was too much. It has no clock: times, since the process began,
// come in.
package budget

import "time"

// Budget is what one controller may use now.
type Budget struct {
	Writes, Reads         float64 // changes and requests that may be made; below 0: overdrawn
	WriteRate, ReadRate   float64 // what comes in a second
	at                    time.Duration
	spent                 float64 // changes since Used was asked last
	used                  float64 // changes a second of late
	pause, pauseForUrgent time.Duration
}

const leastReads = 4 // that may gather, however low the rate

// New is a budget from a time on.
func New(now time.Duration) Budget { return Budget{at: now} }

// Fill has a second's worth of both gather at once.
func (b *Budget) Fill() { b.Writes, b.Reads = b.WriteRate, b.ReadRate }

// Share sets the rates: of all changes a second an equal part, or what the others leave if that is more, and at
// most a share of them; of the requests an equal part.
func (b *Budget) Share(changes, requests, controllers, left, most float64) {
	b.WriteRate = min(max(changes/controllers, left), changes*most)
	b.ReadRate = requests / controllers
}

// Burst is how many changes may gather: a second's worth, and a whole transaction at least.
func (b *Budget) Burst(txnOps int) float64 { return max(b.WriteRate, float64(txnOps)) }

// Advance lets time pass.
func (b *Budget) Advance(now time.Duration, txnOps int) {
	dt := (now - b.at).Seconds()
	b.at = now
	b.Writes = min(b.Writes+dt*b.WriteRate, b.Burst(txnOps))
	b.Reads = min(b.Reads+dt*b.ReadRate, max(b.ReadRate, leastReads))
}

// Request pays for a request.
func (b *Budget) Request() { b.Reads-- }

// Txn pays for a transaction of so many changes.
func (b *Budget) Txn(changes int) {
	b.Writes -= float64(changes)
	b.spent += float64(changes)
	b.Reads--
}

// Used is how many changes a second were made of late; it is asked once in a time, and halves what was before.
func (b *Budget) Used(every time.Duration) float64 {
	b.used += (b.spent/every.Seconds() - b.used) / 2
	b.spent = 0
	return b.used
}

// Pause has nothing written until a time, and not even what users wait for until another.
func (b *Budget) Pause(until, urgent time.Duration) { b.pause, b.pauseForUrgent = until, urgent }

// PauseOthers has nothing written until a time but what users wait for.
func (b *Budget) PauseOthers(until time.Duration) { b.pause = max(b.pause, until) }

// Paused reports whether nothing may be written now but what users wait for.
func (b *Budget) Paused(now time.Duration) bool { return now < b.pause }

// PausedAll reports whether not even that may be.
func (b *Budget) PausedAll(now time.Duration) bool { return now < b.pauseForUrgent }

// Gap is the time between two requests of a kind that may take a share of all.
func (b *Budget) Gap(least time.Duration, share float64) time.Duration {
	return max(least, time.Duration(float64(time.Second)/(share*b.ReadRate)))
}
