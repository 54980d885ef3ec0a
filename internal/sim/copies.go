package sim

import "time"

// copyKind is a kind of request of which late copies are delivered, see Simulator.copyLater.
type copyKind string

const (
	copyCommands     copyKind = "commands"
	copyTxn          copyKind = "transaction"
	copyLease        copyKind = "lease request"
	copyCloudRequest copyKind = "cloud request"
	copyHeartbeat    copyKind = "heartbeat"
	copyPeerMessage  copyKind = "peer message"
	copyUserRequest  copyKind = "user request"
)

const (
	// shortCopyDelay is the maximum delay of half of the copies: a process that crashed may be back by then.
	shortCopyDelay = 3 * time.Second
	// maxCopyDelay is the maximum delay of the other copies.
	maxCopyDelay = 120 * time.Second
	// maxTxnCopyDelay is the same for transactions: it is within core.AuditConfig.LateTxnWindow.
	maxTxnCopyDelay = 40 * time.Second
)

// copyShares are the shares of the requests of which a copy is delivered. Kinds with few requests have higher shares.
var copyShares = map[copyKind]float64{
	copyCommands:     0.3,
	copyTxn:          0.1,
	copyLease:        0.05,
	copyCloudRequest: 0.2,
	copyHeartbeat:    0.03,
	copyPeerMessage:  0.02,
	copyUserRequest:  0.1,
}

// copyRoute is the kind of a request and its route.
type copyRoute struct {
	kind     copyKind
	from, to string
}

// copyLater delivers, with the probability of its kind, a copy of a request that was just carried out, seconds to
// minutes late. Nobody waits for the response.
func (s *Simulator) copyLater(route copyRoute, deliver func()) {
	if !s.options.LateCopies || s.now > s.lastCopyAt() || !s.chance(copyShares[route.kind]) {
		return
	}
	limit := maxCopyDelay
	if route.kind == copyTxn {
		limit = maxTxnCopyDelay
	}
	if s.chance(0.5) {
		limit = shortCopyDelay
	}
	s.schedule(s.randomDuration(10*time.Millisecond, limit), func() {
		s.send(route.from, route.to, func() {
			s.copies[route.kind]++
			deliver()
		})
	})
}

// lastCopyAt returns until when requests are copied: the end of the simulation is without faults, so that lost state
// shows.
func (s *Simulator) lastCopyAt() time.Duration {
	if s.options.OverlappingFaults {
		return s.options.Duration - overlapFreeTail
	}
	return s.options.Duration - flapFreeTail
}
