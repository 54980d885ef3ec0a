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
func (c *Core) zoneLivenessOf(zone string) *zoneLiveness {
	liveness := c.agents.zones[zone]
	if liveness == nil {
		liveness = &zoneLiveness{}
		c.agents.zones[zone] = liveness
	}
	return liveness
}

// countZoneMachines counts the machines of each zone that have reported and are not gone.
func (c *Core) countZoneMachines() {
	for _, liveness := range c.agents.zones {
		liveness.machinesUp = 0
	}
	for _, m := range c.aliveMachines {
		if m.status.reported && !m.lifecycle.gone {
			c.zoneLivenessOf(m.identity.zone).machinesUp++
		}
	}
}

// maxZoneHeartbeatGap is the longest time between two heartbeats from a healthy zone. It must have machines.
func (c *Core) maxZoneHeartbeatGap(zone *zoneLiveness) time.Duration {
	return missedHeartbeatsForSilence * c.cfg.Agents.HeartbeatInterval / time.Duration(zone.machinesUp)
}

// isZoneSilent reports whether a zone of many machines has sent no heartbeat for at least a time, while another
// such zone has. If all are silent, it is rather this controller that does not hear them.
func (c *Core) isZoneSilent(zone string, least time.Duration) bool {
	liveness := c.agents.zones[zone]
	if liveness == nil || liveness.machinesUp < minZoneMachines ||
		c.now-liveness.lastHeartbeat <= max(least, c.maxZoneHeartbeatGap(liveness)) {
		return false
	}
	for _, other := range c.agents.zones {
		if other.machinesUp >= minZoneMachines && c.now-other.lastHeartbeat <= c.maxZoneHeartbeatGap(other) {
			return true
		}
	}
	return false
}
