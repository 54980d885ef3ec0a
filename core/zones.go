package core

import "time"

// zoneNews is what is heard of a zone's machines together. One machine reports every few seconds, so it takes longer than that to
// tell that it is silent; hundreds of them report every few milliseconds, and a second without any tells that the zone is cut off.
type zoneNews struct {
	heard time.Duration // of any of them
	up    int           // how many there are, as of the last count
}

const (
	quietForWork = 1500 * time.Millisecond // from which no new tasks go there
	quietForRoom = 3 * time.Second         // from which room is sought elsewhere for what runs there
	leastOfZone  = 12                      // machines from which their silence together tells more than that of one
	reportsLost  = 10                      // reports that come in a zone's quiet time, if it is well
)

func (c *Core) zoneOf(zone string) *zoneNews {
	z := c.agents.zones[zone]
	if z == nil {
		z = &zoneNews{}
		c.agents.zones[zone] = z
	}
	return z
}

// countZones counts the machines that are up.
func (c *Core) countZones() {
	for _, z := range c.agents.zones {
		z.up = 0
	}
	for _, m := range c.alive {
		if m.status.reported && !m.lifecycle.gone {
			c.zoneOf(m.identity.zone).up++
		}
	}
}

// pause is how long a zone that is well is never quiet.
func (c *Core) pause(z *zoneNews) time.Duration {
	return reportsLost * c.cfg.ReportEvery / time.Duration(z.up)
}

// quiet reports whether nothing has been heard of a zone for a time, although it has many machines and others are heard of.
func (c *Core) quiet(zone string, least time.Duration) bool {
	z := c.agents.zones[zone]
	if z == nil || z.up < leastOfZone || c.now-z.heard <= max(least, c.pause(z)) {
		return false
	}
	for _, o := range c.agents.zones {
		if o.up >= leastOfZone && c.now-o.heard <= c.pause(o) {
			return true
		}
	}
	return false // it is rather this controller that does not hear
}
