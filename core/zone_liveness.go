package core

import "time"

// zoneLiveness is what is heard of a zone's machines together. One machine reports every few
// seconds, so it takes longer than that to tell that it is silent; hundreds of them report every
// few milliseconds, and a second without any tells that the zone is cut off.
type zoneLiveness struct {
	lastHeartbeat time.Duration // of any of them
	machinesUp    int           // how many there are, as of the last count
}

const (
	placementSilenceLimit   = 1500 * time.Millisecond // from which no new tasks go there
	replacementSilenceLimit = 3 * time.Second         // from which room is sought elsewhere for what runs there
	// machines from which their silence together tells more than that of one
	minZoneMachines            = 12
	missedHeartbeatsForSilence = 10 // reports that come in a zone's quiet time, if it is well
)

func (c *Core) zoneLivenessOf(zone string) *zoneLiveness {
	z := c.agents.zones[zone]
	if z == nil {
		z = &zoneLiveness{}
		c.agents.zones[zone] = z
	}
	return z
}

// countZoneMachines counts the machines that are up.
func (c *Core) countZoneMachines() {
	for _, z := range c.agents.zones {
		z.machinesUp = 0
	}
	for _, m := range c.aliveMachines {
		if m.status.reported && !m.lifecycle.gone {
			c.zoneLivenessOf(m.identity.zone).machinesUp++
		}
	}
}

// maxZoneHeartbeatGap is how long a zone that is well is never quiet.
func (c *Core) maxZoneHeartbeatGap(z *zoneLiveness) time.Duration {
	return missedHeartbeatsForSilence * c.cfg.Agents.HeartbeatInterval / time.Duration(z.machinesUp)
}

// isZoneSilent reports whether nothing has been heard of a zone for a time, although it has many
// machines and others are heard of.
func (c *Core) isZoneSilent(zone string, least time.Duration) bool {
	z := c.agents.zones[zone]
	if z == nil || z.machinesUp < minZoneMachines || c.now-z.lastHeartbeat <= max(least, c.maxZoneHeartbeatGap(z)) {
		return false
	}
	for _, o := range c.agents.zones {
		if o.machinesUp >= minZoneMachines && c.now-o.lastHeartbeat <= c.maxZoneHeartbeatGap(o) {
			return true
		}
	}
	return false // it is rather this controller that does not hear
}
