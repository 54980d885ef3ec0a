package core

import (
	"cmp"
	"time"

	"dewlift/wire"
)

const (
	// minSilentWhenIsolated is the least number of silent machines, if they are the majority, at which this
	// controller considers itself isolated.
	minSilentWhenIsolated = 2
	// minSilentInZone is the least number of silent machines in a zone that can make the zone count as
	// unreachable.
	minSilentInZone = 3
	// unreachableZoneBlock is how long scale-out in an unreachable zone is blocked; every check renews it.
	unreachableZoneBlock = 3 * time.Second
	// defaultBootTime is the boot time assumed for a machine type that the catalog does not contain.
	defaultBootTime = 30 * time.Second
	// noticeMargin is how long before its interruption a machine is scaled in.
	noticeMargin = 1500 * time.Millisecond
	// isolatedSilenceMargin is added to the agents' lease TTL to get the silence after which a controller
	// that may be isolated scales in a machine: by then the agent has stopped its tasks itself.
	isolatedSilenceMargin = 10 * time.Second
)

// Reasons for the scale-in of a machine, as they are logged.
const (
	scaleInBootTimeout  = "boot timeout"
	scaleInInterruption = "interruption notice"
	scaleInSilent       = "silent"
	scaleInNotListed    = "not listed"
	scaleInFaulty       = "faulty"
)

// machineCounts counts the machines that have reported, and the silent ones among them.
type machineCounts struct{ up, silent int }

// add counts a machine that has reported.
func (n *machineCounts) add(silent bool) {
	n.up++
	if silent {
		n.silent++
	}
}

// machineCheck is one run of checkMachines.
type machineCheck struct {
	core        *Core
	leader      *leaderState
	all         machineCounts
	zones       map[string]*machineCounts // by zone; after findUnreachableZones, only unreachable zones
	isIsolated  bool                      // most machines are silent, so this controller is probably isolated
	pollTargets []string                  // names of machines that a peer is to poll
}

// checkMachines determines the machines to scale in: silent and faulty ones, those that did not boot in time,
// and those about to be interrupted. It polls the other machines whose heartbeats are overdue, and has a peer
// poll them.
func (c *Core) checkMachines() {
	check := machineCheck{core: c, leader: c.leaderState, zones: map[string]*machineCounts{}}
	check.countSilent()
	check.findUnreachableZones()
	for _, m := range c.aliveMachines {
		if !m.lifecycle.gone && m.leaderView.scaleInReason == "" {
			check.checkMachine(m)
		}
	}
	c.leaderState.requestPollsByPeer(c, check.pollTargets)
}

// countSilent counts the machines, and those that will soon exceed the silence timeout, by zone and in total.
func (k *machineCheck) countSilent() {
	c := k.core
	for _, m := range c.aliveMachines {
		if m.lifecycle.gone || !m.status.reported {
			continue
		}
		zone := k.zones[m.identity.zone]
		if zone == nil {
			zone = &machineCounts{}
			k.zones[m.identity.zone] = zone
		}
		silent := c.now-m.status.lastHeartbeatAt > c.agents.silenceTimeout()*4/5
		zone.add(silent)
		k.all.add(silent)
	}
	k.isIsolated = k.all.silent*2 > k.all.up && k.all.silent >= minSilentWhenIsolated
}

// findUnreachableZones reduces zones to the unreachable ones and blocks scale-out there, because new machines
// in an unreachable zone could not be used.
func (k *machineCheck) findUnreachableZones() {
	c := k.core
	for zone, count := range k.zones {
		if !c.agents.isZoneSilent(zone, replacementSilenceLimit) &&
			(k.isIsolated || count.silent*2 <= count.up || count.silent < minSilentInZone) {
			delete(k.zones, zone)
			continue
		}
		for _, machineType := range c.autoscaler.typeNames {
			for _, spot := range []bool{false, true} {
				k.leader.blockedUntil[nodeGroup{machineType, zone, spot}] = c.now + unreachableZoneBlock
			}
		}
	}
}

// checkMachine marks a machine for scale-in or polls it.
func (k *machineCheck) checkMachine(m *machine) {
	c := k.core
	silence := c.now - m.status.lastHeartbeatAt
	overdue := m.status.reported && silence > c.agents.maxHeartbeatGap()
	if overdue {
		k.pollTargets = append(k.pollTargets, m.name)
	}
	m.leaderView.zoneUnreachable = overdue && k.zones[m.identity.zone] != nil ||
		m.status.reported && c.agents.isZoneSilent(m.identity.zone, replacementSilenceLimit)
	if reason := k.scaleInReason(m, silence); reason != "" {
		c.autoscaler.markForScaleIn(m, reason)
	} else if m.status.reported {
		c.agents.pollOverdueAgent(m)
	}
}

// scaleInReason returns why a machine without a heartbeat for the given time must be scaled in; "" if it need
// not be.
func (k *machineCheck) scaleInReason(m *machine, silence time.Duration) string {
	c := k.core
	deadline := m.lifecycle.interruptionDeadline
	switch {
	case !m.status.reported && k.isMissingFromList(m):
		return scaleInNotListed
	case !m.status.reported:
		if k.bootTimedOut(m) {
			return scaleInBootTimeout
		}
		return ""
	case deadline > 0 && c.now > deadline-noticeMargin:
		return scaleInInterruption
	case m.leaderView.zoneUnreachable && k.awaitsReplacement(m, silence):
		return ""
	case k.isSilent(silence):
		return scaleInSilent
	case c.isProvenFaulty(m):
		return scaleInFaulty
	}
	return ""
}

// isMissingFromList reports whether a machine with tasks, which this controller knows only from the store, is missing
// from a complete list of the cloud's machines. Lists lag by up to twice CloudListLag, so the list must have been
// requested that long after the machine became known. The scale-in then proves that its tasks are gone. Otherwise they
// would wait as long as a machine may take to boot.
func (k *machineCheck) isMissingFromList(m *machine) bool {
	listedSince := max(m.identity.firstSeenAt, m.leaderView.provisionedAt) + 2*k.core.cfg.Autoscaling.CloudListLag
	return len(m.allocation.assignments) > 0 && k.leader.completeListStartedAt > listedSince &&
		m.leaderView.lastListedAt < k.leader.completeListStartedAt
}

// bootTimedOut reports whether a machine has taken too long until its first heartbeat. A new leader does not
// know when the machine was started, and waits as if that had been one boot time before its term.
func (k *machineCheck) bootTimedOut(m *machine) bool {
	c := k.core
	boot := cmp.Or(c.autoscaler.nominalBootTime(m.identity.machineType), defaultBootTime)
	since := max(m.identity.firstSeenAt, m.leaderView.provisionedAt, k.leader.leadingSince-boot)
	return c.now-since > scaleDuration(boot, c.cfg.Autoscaling.BootTimeoutFactor)+c.cfg.Autoscaling.CloudListLag*2
}

// awaitsReplacement reports whether a machine of an unreachable zone is kept until its replacement is up.
func (k *machineCheck) awaitsReplacement(m *machine, silence time.Duration) bool {
	c := k.core
	grace := c.autoscaler.unreachableZoneGrace(m, c.agents.silenceTimeout())
	return silence < grace && !m.delayMissesDeadline(c.jobs, c.unixMS(), grace-silence)
}

// isSilent reports whether a machine without a heartbeat for the given time counts as lost. A new leader first
// waits for heartbeats for one silence timeout. A controller that may be isolated waits until the agent must have
// stopped its tasks.
func (k *machineCheck) isSilent(silence time.Duration) bool {
	c := k.core
	if silence <= c.agents.silenceTimeout() || c.now-k.leader.leadingSince <= c.agents.silenceTimeout() {
		return false
	}
	return !k.isIsolated || silence > c.cfg.Agents.LeaseTTL+isolatedSilenceMargin
}

// unreachableZoneGrace returns how long the machines of an unreachable zone are kept. The zone may only be
// partitioned, and its tasks run on until the agents' leases expire. So replacements are started first, and
// these machines are scaled in when the replacements should be up. Scaling them in at once would end all
// tasks there while no machine is up to take them.
func (a *autoscalerState) unreachableZoneGrace(m *machine, silenceTimeout time.Duration) time.Duration {
	bootTime := a.nominalBootTime(m.identity.machineType)
	ready := silenceTimeout + bootTime + a.cfg.Autoscaling.ScaleOutLeadTime
	return max(silenceTimeout, min(ready, a.cfg.Agents.LeaseTTL-a.cfg.Autoscaling.ScaleOutLeadTime))
}

// delayMissesDeadline reports whether waiting would make a task of a machine miss the deadline of its job or
// of a dependent job. It is false for a machine with service replicas, because these go on serving while the
// machine is kept.
func (m *machine) delayMissesDeadline(jobs []*job, nowMS int64, wait time.Duration) bool {
	misses := false
	for task, assignment := range m.allocation.assignments {
		j := jobs[task.jobIndex]
		spec := j.record.Spec
		key := attemptKey{task.jobIndex, task.task, assignment.Attempt}
		if spec == nil || j.isFinal() || m.status.tasks[key].state == wire.TaskExited {
			continue
		}
		if spec.Service {
			return false
		}
		if j.effectiveDeadlineMS == 0 {
			continue
		}
		expectedEndMS := nowMS + wait.Milliseconds() + spec.EstimatedRuntimeMS
		misses = misses || expectedEndMS > j.effectiveDeadlineMS
	}
	return misses
}
