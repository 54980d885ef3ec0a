package sim

import (
	"dewlift/core"
	"dewlift/wire"
	"fmt"
	"time"
)

// fakeCloud stands in for the cloud.
type fakeCloud struct {
	sim      *Simulator
	machines []*fakeWorker
	byName   map[string]*fakeWorker
	rentals  map[string][]string
	down     bool
}

func newFakeCloud(w *Simulator) *fakeCloud {
	return &fakeCloud{sim: w, byName: map[string]*fakeWorker{}, rentals: map[string][]string{}}
}

var catalog = wire.Catalog{Types: []wire.MachineType{
	{
		Name:            "big",
		CPUs:            16,
		MemoryGB:        64,
		LocalDiskGB:     50,
		ImagePullGBPerS: 1,
		Price:           1,
		SpotPrice:       0.4,
		BootS:           8,
		Zones:           zones,
	},
	{
		Name:            "small",
		CPUs:            4,
		MemoryGB:        16,
		LocalDiskGB:     50,
		ImagePullGBPerS: 1,
		Price:           0.3,
		SpotPrice:       0.1,
		BootS:           5,
		Zones:           zones,
	},
}}

func (c *fakeCloud) find(name string) *fakeWorker { return c.byName[name] }

func (c *fakeCloud) randomMachine() *fakeWorker {
	var live []*fakeWorker
	for _, m := range c.machines {
		if !m.gone && m.up {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[c.sim.rng.IntN(len(live))]
}

// startOutage makes the cloud's interface unavailable for a duration.
func (c *fakeCloud) startOutage(duration time.Duration) {
	c.down = true
	c.sim.schedule(duration, func() { c.down = false })
}

func (c *fakeCloud) serve(o core.CloudRequest) core.CloudResult {
	out := core.CloudResult{ID: o.ID, Status: wire.StatusOK}
	if c.down || c.sim.options.FlakyCloud && c.sim.chance(0.7) {
		out.Status, out.Error = wire.StatusUnavailable, "trouble"
		return out
	}
	switch o.Op {
	case core.CloudCatalog:
		k := catalog
		out.Catalog = &k
	case core.CloudScaleOut:
		if names, ok := c.rentals[o.ScaleOut.IdempotencyKey]; ok {
			out.MachineNames = names
			return out
		}
		live := 0
		for _, m := range c.machines {
			if !m.gone {
				live++
			}
		}
		n := min(o.ScaleOut.Count, max(0, c.sim.options.MaxMachines-live))
		if n == 0 || !c.sim.options.NoFaults && c.sim.chance(0.2) {
			out.Status, out.Error = wire.StatusUnavailable, "no capacity"
			return out
		}
		for i := 0; i < n; i++ {
			name := fmt.Sprintf("m-%06d", len(c.machines)+1)
			m := &fakeWorker{sim: c.sim, machine: wire.Machine{
				Name: name, Addr: "x:" + name, Type: o.ScaleOut.Type, Zone: o.ScaleOut.Zone,
				Spot: o.ScaleOut.Spot, Stage: wire.MachineBooting,
			}, rentedAt: c.sim.now, tasks: map[string]*fakeTask{}, images: map[string]bool{}}
			c.machines = append(c.machines, m)
			c.byName[name] = m
			out.MachineNames = append(out.MachineNames, name)
			if c.sim.options.NoFaults || !c.sim.chance(0.05) {
				boot := c.sim.randomDuration(2*time.Second, 12*time.Second)
				if c.sim.now < c.sim.fastBootsUntil {
					boot = c.sim.randomDuration(0, 2*time.Second)
				}
				c.sim.schedule(boot, m.start)
			}
			if m.machine.Spot && !c.sim.options.NoFaults {
				c.sim.schedule(c.sim.randomDuration(10*time.Second, 300*time.Second), m.reclaimSpot)
			}
		}
		c.rentals[o.ScaleOut.IdempotencyKey] = out.MachineNames
	case core.CloudScaleIn:
		for _, n := range o.MachineNames {
			if m := c.find(n); m != nil {
				m.returnToCloud()
			}
		}
	case core.CloudList:
		for _, m := range c.machines {
			if m.machine.Name > o.AfterMachine && (!m.gone || m.failed || c.sim.now-m.goneAt < 5*time.Second) &&
				c.sim.now-m.rentedAt > 3*time.Second &&
				!m.returned {
				if len(out.Machines) == cloudPageSize {
					out.More = true
					break
				}
				e := m.machine
				e.AgeS = (c.sim.now - m.rentedAt).Seconds()
				if m.failed {
					e.Stage = wire.MachineFailed
				}
				out.Machines = append(out.Machines, e)
			}
		}
	}
	return out
}

const cloudPageSize = 20

func cpuCapacity(typ string) int64 {
	for _, t := range catalog.Types {
		if t.Name == typ {
			return int64(t.CPUs * 1000)
		}
	}
	return 0
}
