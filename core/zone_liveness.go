package core

import "time"

// zoneLiveness tracks the heartbeats of all machines of a zone together. A single machine sends a heartbeat
// every few seconds, so that only a longer silence is significant; hundreds of machines together send one
// every few milliseconds, so that a second without any shows that the zone is cut off.
type zoneLiveness struct {
	lastHeartbeat time.Duration // time of the last heartbeat from any of its machines
	machinesUp    int           // machines that have reported and are not gone, as of the last count
}

const (
	// placementSilenceLimit is the least silence of a zone after which no new tasks are placed there.
	placementSilenceLimit = 1500 * time.Millisecond
	// replacementSilenceLimit is the least silence of a zone after which replacement capacity is sought in
	// other zones.
	replacementSilenceLimit = 3 * time.Second
	// minZoneMachines is the least number of machines of a zone for its common silence to be significant.
	minZoneMachines = 12
	// missedHeartbeatsForSilence is the number of heartbeats that a healthy zone would have sent in the
	// shortest silence that counts.
	missedHeartbeatsForSilence = 10
)

// zoneLivenessOf returns the liveness of a zone, and creates it if the zone is not known yet.
func (a *agentLiveness) zoneLivenessOf(zone string) *zoneLiveness {
	liveness := a.zones[zone]
	if liveness == nil {
		liveness = &zoneLiveness{}
		a.zones[zone] = liveness
	}
	return liveness
}

// countZoneMachines updates, for each zone, the number of the given machines that have reported and are not
// gone.
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

// maxZoneHeartbeatGap returns the longest time between two heartbeats from a healthy zone. The zone must have
// machines.
func (a *agentLiveness) maxZoneHeartbeatGap(zone *zoneLiveness) time.Duration {
	return missedHeartbeatsForSilence * a.cfg.Agents.HeartbeatInterval / time.Duration(zone.machinesUp)
}

// isZoneSilent reports whether a zone with many machines has sent no heartbeat for at least the given time
// while another such zone has. If all zones are silent, none counts as silent, because this controller is
// probably isolated.
func (a *agentLiveness) isZoneSilent(zone string, minSilence time.Duration) bool {
	liveness := a.zones[zone]
	if liveness == nil || liveness.machinesUp < minZoneMachines ||
		a.now-liveness.lastHeartbeat <= max(minSilence, a.maxZoneHeartbeatGap(liveness)) {
		return false
	}
	for _, other := range a.zones {
		if other.machinesUp >= minZoneMachines && a.now-other.lastHeartbeat <= a.maxZoneHeartbeatGap(other) {
			return true
		}
	}
	return false
}
