package core

import (
	"slices"
	"time"

	"dewlift/wire"
)

// scaleOutRequest is a request for machines. It is kept until the cloud has answered it.
type scaleOutRequest struct {
	request       wire.ScaleOutRequest
	inFlight      bool
	sent          bool // it may have been executed, so retries reuse its idempotency key
	nextAttemptAt time.Duration
}

// noCapacity is the cloud's error text for a node group without machines. It comes with
// wire.StatusUnavailable, which otherwise means that the cloud is down.
const noCapacity = "no capacity"

const (
	cloudBackoff         = 300 * time.Millisecond // after a rejected or unanswered request, plus as much jitter
	cloudRetryDelay      = time.Second            // from an answer to the next attempt of the same request
	nodeGroupBlockTime   = 10 * time.Second       // for a node group that had too few machines
	maxMachineAgeSeconds = 1e9                    // listed ages of at least this are ignored as invalid
	maxScaleInMachines   = 100                    // limit per request
	maxFailedPerScaleIn  = 50                     // of maxScaleInMachines; leaves room for running machines
)

// callCloud sends a request if the cloud request budget and the back-off allow it, and reports whether
// it did. The callback handles the response, which may arrive after the leader's term has ended.
func (l *leaderState) callCloud(request CloudRequest, callback func(CloudResult)) bool {
	if l.cloudCallBudget < 1 || l.now < l.cloudBackoffUntil {
		return false
	}
	l.cloudCallBudget--
	request.ID = l.nextID()
	l.autoscaler.pendingCalls[request.ID] = func(in CloudResult) {
		if !l.ended && in.isOverload() {
			l.cloudBackoffUntil = l.now + cloudBackoff + l.jitter(cloudBackoff)
		}
		callback(in)
	}
	l.emit(request)
	return true
}

// handleCloudResult calls the callback of a cloud request.
func (a *autoscalerState) handleCloudResult(in CloudResult) {
	if onResult := a.pendingCalls[in.ID]; onResult != nil {
		delete(a.pendingCalls, in.ID)
		onResult(in)
	}
}

// isOverload reports whether the cloud was unable to handle any request.
func (in *CloudResult) isOverload() bool {
	switch in.Status {
	case wire.StatusTooManyRequests, wire.StatusNoResponse:
		return true
	case wire.StatusUnavailable:
		return in.Error != noCapacity
	}
	return false
}

// listMachines reads the next page of the cloud's list of machines when it is due. A large fleet takes
// several pages, and the cloud request rate is low.
func (c *Core) listMachines() {
	l := c.leaderState
	if l.listInFlight || c.now < l.nextListAt {
		return
	}
	if l.listAfter == "" {
		l.listStartedAt = c.now
	}
	l.listInFlight = l.callCloud(CloudRequest{Op: CloudList, AfterMachine: l.listAfter}, func(in CloudResult) {
		if l.ended {
			return
		}
		l.listInFlight = false
		if in.Status != wire.StatusOK {
			l.nextListAt = c.now + cloudRetryDelay
			return
		}
		for i := range in.Machines {
			c.applyListedMachine(&in.Machines[i])
		}
		l.advanceList(&in)
	})
}

// advanceList sets which page of the list is read next, and when. Until the list has been read
// completely once, the next page is read immediately.
func (l *leaderState) advanceList(in *CloudResult) {
	l.nextListAt = l.now + l.cfg.Autoscaling.CloudListInterval
	l.listAfter = ""
	if n := len(in.Machines); in.More && n > 0 {
		l.listAfter = in.Machines[n-1].Name
		if !l.listComplete {
			l.nextListAt = l.now
		}
	}
	if l.listAfter == "" {
		l.listComplete, l.completeListStartedAt = true, l.listStartedAt
	}
}

// applyListedMachine adopts a machine's attributes from the cloud's list as far as they are not known.
func (c *Core) applyListedMachine(listed *wire.Machine) {
	target := c.internMachine(listed.Name)
	if target.lifecycle.gone {
		return
	}
	target.leaderView.lastListedAt = c.now
	target.identity.setNodeGroup(nodeGroup{listed.Type, listed.Zone, listed.Spot})
	if target.identity.address == "" {
		target.identity.address = listed.Addr
	}
	if target.leaderView.provisionedAt == 0 && listed.AgeS >= 0 && listed.AgeS < maxMachineAgeSeconds {
		target.leaderView.provisionedAt = c.now - time.Duration(listed.AgeS*float64(time.Second))
	}
	if listed.Stage == wire.MachineFailed {
		c.confirmGone(target)
		target.leaderView.scaleInReason = "failed"
		c.leaderState.failedMachines = append(c.leaderState.failedMachines, target.name)
	}
}

// setNodeGroup sets a machine's type, zone and spot flag if its type is not known.
func (id *machineIdentity) setNodeGroup(group nodeGroup) {
	if id.machineType == "" {
		id.machineType, id.zone, id.spot = group.machineType, group.zone, group.spot
	}
}

// markForScaleIn marks a machine for scale-in, that is, its return to the cloud. The first reason is kept.
func (a *autoscalerState) markForScaleIn(m *machine, reason string) {
	if m.leaderView.scaleInReason != "" || m.lifecycle.gone {
		return
	}
	m.leaderView.scaleInReason = reason
	a.log(LevelInfo, "scaling in machine", "machine", m.name, "type", m.identity.machineType,
		"zone", m.identity.zone, "spot", m.identity.spot, "why", reason,
		"tasks", len(m.allocation.assignments),
		"quiet_ms", (a.now - m.status.lastHeartbeatAt).Milliseconds())
}

// confirmGone records that a machine is proven to be gone and announces it.
func (c *Core) confirmGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	c.markMachineGone(m)
	c.leaderState.announceGone(m.name)
}

// scaleInMachines scales in the marked machines with one request at a time, and retries until the cloud
// confirms it. Only that confirmation proves that their tasks have ended.
func (c *Core) scaleInMachines() {
	l := c.leaderState
	if l.scaleInInFlight {
		return
	}
	names := slices.Clone(l.failedMachines[:min(len(l.failedMachines), maxFailedPerScaleIn)])
	due := c.machinesToScaleIn()
	for _, machine := range due[:min(len(due), maxScaleInMachines-len(names))] {
		machine.lifecycle.scaleInRequested = true
		names = append(names, machine.name)
	}
	if len(names) == 0 {
		return
	}
	l.scaleInInFlight = l.callCloud(CloudRequest{Op: CloudScaleIn, MachineNames: names}, func(in CloudResult) {
		if !l.ended {
			l.scaleInInFlight = false
		}
		if in.Status == wire.StatusOK {
			c.confirmScaleIn(l, names)
		}
	})
}

// machinesToScaleIn returns the machines marked for scale-in, those with services first: replacement
// replicas wait for the proof that these machines are gone, and a lost zone has many machines.
func (c *Core) machinesToScaleIn() []*machine {
	var due, later []*machine
	for _, machine := range c.aliveMachines {
		switch {
		case machine.lifecycle.gone || machine.leaderView.scaleInReason == "":
		case c.busyHorizon(machine) < unboundedHorizon:
			later = append(later, machine)
		default:
			due = append(due, machine)
		}
	}
	return append(due, later...)
}

// confirmScaleIn records that scaled-in machines are gone. It announces them if the term in which their
// scale-in was requested has not ended.
func (c *Core) confirmScaleIn(term *leaderState, names []string) {
	if term.ended {
		for _, name := range names {
			c.markMachineGone(c.internMachine(name))
		}
		return
	}
	for _, name := range names {
		c.confirmGone(c.internMachine(name))
	}
	term.failedMachines = slices.DeleteFunc(term.failedMachines, func(name string) bool {
		return slices.Contains(names, name)
	})
}

// sendScaleOutRequests sends the requests that are due, as far as the cloud request budget allows. A
// request is retried with the same idempotency key until it is answered.
func (l *leaderState) sendScaleOutRequests() {
	for _, name := range sortedKeys(l.scaleOutRequests) {
		pending := l.scaleOutRequests[name]
		if pending.inFlight || l.now < pending.nextAttemptAt {
			continue
		}
		cloudRequest := CloudRequest{Op: CloudScaleOut, ScaleOut: pending.request}
		pending.inFlight = l.callCloud(cloudRequest, func(in CloudResult) {
			l.handleScaleOutResult(pending, &in)
		})
		if !pending.inFlight {
			return
		}
		if !pending.sent {
			pending.sent = true
			request := &pending.request
			l.log(LevelInfo, "scaling out", "hire", name, "type", request.Type,
				"zone", request.Zone, "spot", request.Spot, "count", request.Count)
		}
	}
}

// handleScaleOutResult handles the response to a scale-out request of this term. Without a definite
// response, the request is retried.
func (l *leaderState) handleScaleOutResult(pending *scaleOutRequest, in *CloudResult) {
	pending.inFlight = false
	pending.nextAttemptAt = l.now + cloudRetryDelay
	request := &pending.request
	group := nodeGroup{request.Type, request.Zone, request.Spot}
	switch {
	case in.Status == wire.StatusOK:
		delete(l.scaleOutRequests, request.IdempotencyKey)
		if len(in.MachineNames) < request.Count {
			l.blockedUntil[group] = l.now + nodeGroupBlockTime
		}
		for _, name := range in.MachineNames {
			started := l.machines.internMachine(name)
			started.identity.setNodeGroup(group)
			started.leaderView.provisionedAt = l.now
		}
	case in.Status == wire.StatusUnavailable && in.Error == noCapacity, in.Status == wire.StatusBadRequest:
		delete(l.scaleOutRequests, request.IdempotencyKey)
		l.blockedUntil[group] = l.now + nodeGroupBlockTime
	}
}
