package core

import (
	"dewlift/wire"
	"slices"
	"time"
)

type scaleOutRequest struct {
	request       wire.ScaleOutRequest
	inFlight      bool
	sent          bool // it may have been executed: only the same name may be asked again
	nextAttemptAt time.Duration
}

const noCapacity = "no capacity"

func (c *Core) callCloud(op CloudRequest, f func(CloudResult)) bool {
	l := c.leaderState
	if l.cloudCallBudget < 1 || c.now < l.cloudBackoffUntil {
		return false
	}
	l.cloudCallBudget--
	op.ID = c.nextID()
	c.autoscaler.calls[op.ID] = func(in CloudResult) {
		if c.leaderState == l && (in.Status == wire.StatusTooManyRequests || in.Status == wire.StatusNoAnswer || in.Status == wire.StatusUnavailable && in.Error != noCapacity) {
			l.cloudBackoffUntil = c.now + 300*time.Millisecond + c.jitter(300*time.Millisecond)
		}
		f(in)
	}
	c.emit(op)
	return true
}

// listMachines reads the cloud's list of machines, a page a call: a large fleet takes several, and
// the calls are few.
func (c *Core) listMachines() {
	l := c.leaderState
	if l.listInFlight || c.now < l.nextListAt {
		return
	}
	l.listInFlight = c.callCloud(CloudRequest{Op: CloudList, AfterMachine: l.listAfter}, func(in CloudResult) {
		if c.leaderState != l {
			return
		}
		l.listInFlight = false
		if in.Status != wire.StatusOK {
			l.nextListAt = c.now + time.Second
			return
		}
		l.nextListAt = c.now + c.cfg.Autoscaling.CloudListInterval
		l.listAfter = ""
		if n := len(in.Machines); in.More && n > 0 {
			l.listAfter = in.Machines[n-1].Name
			if !l.listComplete {
				l.nextListAt = c.now
			}
		}
		l.listComplete = l.listComplete || l.listAfter == ""
		for _, e := range in.Machines {
			m := c.internMachine(e.Name)
			if m.lifecycle.gone {
				continue
			}
			if m.identity.machineType == "" {
				m.identity.machineType, m.identity.zone, m.identity.spot = e.Type, e.Zone, e.Spot
			}
			if m.identity.address == "" {
				m.identity.address = e.Addr
			}
			if at := c.now - time.Duration(e.AgeS*float64(time.Second)); m.leaderView.rentedAt == 0 && e.AgeS >= 0 &&
				e.AgeS < 1e9 {
				m.leaderView.rentedAt = at
			}
			if e.Stage == wire.MachineFailed {
				c.confirmGone(m)
				m.leaderView.returnReason = "failed"
				l.failedMachines = append(l.failedMachines, m.name)
			}
		}
	})
}

func (c *Core) markForReturn(m *machine, why string) {
	if m.leaderView.returnReason == "" && !m.lifecycle.gone {
		m.leaderView.returnReason = why
		c.log(
			LevelInfo,
			"machine to be returned",
			"machine",
			m.name,
			"type",
			m.identity.machineType,
			"zone",
			m.identity.zone,
			"spot",
			m.identity.spot,
			"why",
			why,
			"tasks",
			len(m.allocation.assignments),
			"quiet_ms",
			(c.now - m.status.lastHeartbeatAt).Milliseconds(),
		)
	}
}

// confirmGone records and tells proof that a machine is gone.
func (c *Core) confirmGone(m *machine) {
	if m.lifecycle.gone {
		return
	}
	c.markMachineGone(m)
	c.leaderState.announceGone(m.name)
}

// returnMachines returns what must be returned, once at a time and again until it is confirmed.
func (c *Core) returnMachines() {
	l := c.leaderState
	if l.returnInFlight {
		return
	}
	// Replicas wait for the proof; those of a lost zone are many.
	var due, later []*machine
	for _, m := range c.aliveMachines {
		switch {
		case m.lifecycle.gone || m.leaderView.returnReason == "":
		case c.busyHorizon(m) < unboundedHorizon:
			later = append(later, m)
		default:
			due = append(due, m)
		}
	}
	due = append(due, later...)
	names := slices.Clone(l.failedMachines[:min(len(l.failedMachines), 50)])
	for _, m := range due[:min(len(due), 100-len(names))] {
		m.lifecycle.returnRequested = true
		names = append(names, m.name)
	}
	if len(names) == 0 {
		return
	}
	l.returnInFlight = c.callCloud(CloudRequest{Op: CloudScaleIn, MachineNames: names}, func(in CloudResult) {
		if c.leaderState != l {
			if in.Status == wire.StatusOK {
				for _, n := range names {
					c.markMachineGone(c.internMachine(n))
				}
			}
			return
		}
		l.returnInFlight = false
		if in.Status != wire.StatusOK {
			return
		}
		for _, n := range names {
			c.confirmGone(c.internMachine(n))
		}
		l.failedMachines = slices.DeleteFunc(
			l.failedMachines,
			func(n string) bool { return slices.Contains(names, n) },
		)
	})
}

// sendScaleOutRequests sends rental requests, each under its own name until it is answered.
func (c *Core) sendScaleOutRequests() {
	l := c.leaderState
	for _, name := range sortedKeys(l.scaleOutRequests) {
		r := l.scaleOutRequests[name]
		if r.inFlight || c.now < r.nextAttemptAt {
			continue
		}
		r.inFlight = c.callCloud(CloudRequest{Op: CloudScaleOut, ScaleOut: r.request}, func(in CloudResult) {
			r.inFlight = false
			r.nextAttemptAt = c.now + time.Second
			p := nodeGroup{r.request.Type, r.request.Zone, r.request.Spot}
			switch {
			case in.Status == wire.StatusOK:
				delete(l.scaleOutRequests, name)
				if len(in.MachineNames) < r.request.Count {
					l.blockedUntil[p] = c.now + 10*time.Second
				}
				for _, n := range in.MachineNames {
					m := c.internMachine(n)
					if m.identity.machineType == "" {
						m.identity.machineType, m.identity.zone, m.identity.spot = p.machineType, p.zone, p.spot
					}
					m.leaderView.rentedAt = c.now
				}
			case in.Status == wire.StatusUnavailable && in.Error == noCapacity, in.Status == wire.StatusBadRequest:
				delete(l.scaleOutRequests, name)
				l.blockedUntil[p] = c.now + 10*time.Second
			}
		})
		if !r.inFlight {
			return
		}
		if !r.sent {
			r.sent = true
			c.log(
				LevelInfo,
				"renting",
				"hire",
				name,
				"type",
				r.request.Type,
				"zone",
				r.request.Zone,
				"spot",
				r.request.Spot,
				"count",
				r.request.Count,
			)
		}
	}
}
