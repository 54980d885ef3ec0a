package core

import (
	"cmp"
	"dewlift/wire"
	"time"
)

// checkMachines finds machines that must be returned: silent ones, those that never came up,
// and those whose notice runs out.
func (c *Core) checkMachines() {
	l := c.leaderState
	type count struct{ up, silent int }
	zones, all := map[string]*count{}, &count{}
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		z := zones[m.identity.zone]
		if z == nil {
			z = &count{}
			zones[m.identity.zone] = z
		}
		for _, n := range []*count{z, all} {
			n.up++
			if c.now-m.status.lastHeartbeatAt > c.silenceTimeout()*4/5 {
				n.silent++
			}
		}
	}
	// If most are silent at once, it is rather this controller that does not hear.
	deaf := all.silent*2 > all.up && all.silent > 1
	for zone, n := range zones {
		if !c.isZoneSilent(zone, replacementSilenceLimit) && (deaf || n.silent*2 <= n.up || n.silent < 3) {
			delete(zones, zone)
			continue
		}
		for _, typ := range c.autoscaler.typeNames { // what would be rented there could not be used
			for _, spot := range []bool{false, true} {
				l.blockedUntil[nodeGroup{typ, zone, spot}] = c.now + 3*time.Second
			}
		}
	}
	var others []string // machines that others are to ask
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || m.leaderView.returnReason != "" {
			continue
		}
		quiet := c.now - m.status.lastHeartbeatAt
		if m.status.reported && quiet > c.maxHeartbeatGap() {
			others = append(others, m.name)
		}
		m.leaderView.zoneUnreachable = m.status.reported &&
			(zones[m.identity.zone] != nil && quiet > c.maxHeartbeatGap() || c.isZoneSilent(m.identity.zone, replacementSilenceLimit))
		switch {
		case !m.status.reported:
			boot := cmp.Or(c.nominalBootTime(m.identity.machineType), 30*time.Second)
			if c.now-max(
				m.identity.firstSeenAt,
				m.leaderView.rentedAt,
				l.leadingSince-boot,
			) > scaleDuration(
				boot,
				c.cfg.Autoscaling.BootTimeoutFactor,
			)+c.cfg.Autoscaling.CloudListLag*2 {
				c.markForReturn(m, "never came up")
			}
		case m.lifecycle.interruptionDeadline > 0 && c.now > m.lifecycle.interruptionDeadline-1500*time.Millisecond:
			c.markForReturn(m, "its notice runs out")
		case m.leaderView.zoneUnreachable && quiet < c.unreachableZoneGrace(m) && !c.delayMissesDeadline(m, c.unreachableZoneGrace(m)-quiet):
			c.pollQuietAgent(m)
		case quiet > c.silenceTimeout() && (!deaf || quiet > c.cfg.Agents.LeaseTTL+10*time.Second) && c.now-l.leadingSince > c.silenceTimeout():
			c.markForReturn(m, "silent")
		case c.isProvenFaulty(m):
			c.markForReturn(m, "faulty")
		default:
			c.pollQuietAgent(m)
		}
	}
	l.requestPollsByPeer(c, others)
}

// unreachableZoneGrace is how long the machines of a silent zone are kept. The zone may only be cut off:
// its tasks run on until the workers' leases end. So others are rented first, and these are
// returned when those should be up. When they were returned at once, all tasks there ended
// while nothing was up to take them.
func (c *Core) unreachableZoneGrace(m *machine) time.Duration {
	ready := c.silenceTimeout() + c.nominalBootTime(m.identity.machineType) + c.cfg.Autoscaling.ScaleOutLeadTime
	return max(c.silenceTimeout(), min(ready, c.cfg.Agents.LeaseTTL-c.cfg.Autoscaling.ScaleOutLeadTime))
}

// delayMissesDeadline reports whether waiting would make a task of a machine late for a deadline, its job's or
// that of one which needs it. Machines with replicas are not given up for it: these serve on.
func (c *Core) delayMissesDeadline(m *machine, wait time.Duration) bool {
	late := false
	for k, a := range m.allocation.assignments {
		j := c.jobs[k.jobIndex]
		s := j.record.Spec
		if s == nil || j.isFinal() ||
			m.status.tasks[attemptKey{k.jobIndex, k.task, a.Attempt}].state == wire.TaskExited {
			continue
		}
		if s.Service {
			return false
		}
		late = late ||
			j.effectiveDeadlineMS != 0 && c.unixMS()+wait.Milliseconds()+s.EstimatedRuntimeMS > j.effectiveDeadlineMS
	}
	return late
}
