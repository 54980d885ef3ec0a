package core

import "time"

// zoneLiveness is the signs of life of a zone's machines together. A single machine reports every few seconds, so its
// silence shows only after longer than that; of hundreds, one reports every few milliseconds, and a second
// without any shows that the zone is cut off.
type zoneLiveness struct {
	lastHeartbeat time.Duration // of any of its machines
	machinesUp    int           // as of the last count
}

const (
	// placementSilenceLimit is the least silence of a zone from which no new tasks are placed there.
	placementSilenceLimit = 1500 * time.Millisecond
	// replacementSilenceLimit is the least silence from which capacity is sought elsewhere for its tasks.
	replacementSilenceLimit = 3 * time.Second
	// minZoneMachines is the least number of machines whose common silence shows more than that of one.
	minZoneMachines = 12
	// missedHeartbeatsForSilence is how many heartbeats a healthy zone would have sent in the shortest silence
	// that counts.
	missedHeartbeatsForSilence = 10
)

// zoneLivenessOf returns the liveness of a zone, which becomes known with it.
func (a *agentLiveness) zoneLivenessOf(zone string) *zoneLiveness {
	liveness := a.zones[zone]
	if liveness == nil {
		liveness = &zoneLiveness{}
		a.zones[zone] = liveness
	}
	return liveness
}

// countZoneMachines counts, of some machines, those of each zone that have reported and are not gone.
func (a *agentLiveness) countZoneMachines(machines []*machine) {
	for _, liveness := range a.zones {
		liveness.machinesUp = 0
	}
	for _, m := range machines {
		if m.status.reported && !m.lifecycle.gone {
			a.zoneLivenessOf(m.identity.zone).machinesUp++
		}
	}
}

// maxZoneHeartbeatGap is the longest time between two heartbeats from a healthy zone. It must have machines.
func (a *agentLiveness) maxZoneHeartbeatGap(zone *zoneLiveness) time.Duration {
	return missedHeartbeatsForSilence * a.cfg.Agents.HeartbeatInterval / time.Duration(zone.machinesUp)
}

// isZoneSilent reports whether a zone of many machines has sent no heartbeat for at least a time, while another
// such zone has. If all are silent, it is rather this controller that does not hear them.
func (a *agentLiveness) isZoneSilent(zone string, least time.Duration) bool {
	liveness := a.zones[zone]
	if liveness == nil || liveness.machinesUp < minZoneMachines ||
		a.now-liveness.lastHeartbeat <= max(least, a.maxZoneHeartbeatGap(liveness)) {
		return false
	}
	for _, other := range a.zones {
		if other.machinesUp >= minZoneMachines && a.now-other.lastHeartbeat <= a.maxZoneHeartbeatGap(other) {
			return true
		}
	}
	return false
}
