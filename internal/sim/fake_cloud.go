package sim

import (
	"fmt"
	"time"

	"dewlift/core"
	"dewlift/wire"
)

const (
	cloudPageSize = 20              // machines per page of the list
	cloudListLag  = 3 * time.Second // age from which a machine is listed
	// goneListedFor is how long a machine stays in the list after it has ended.
	goneListedFor = 5 * time.Second
)

// fakeCloud is a fake of the cloud provider: it scales machines out and in, and interrupts spot machines.
type fakeCloud struct {
	sim       *Simulator
	machines  []*fakeWorker // all that were ever provisioned, ordered by name
	byName    map[string]*fakeWorker
	scaleOuts map[string][]string // machine names by idempotency key
	down      bool
}

func newFakeCloud(sim *Simulator) *fakeCloud {
	return &fakeCloud{sim: sim, byName: map[string]*fakeWorker{}, scaleOuts: map[string][]string{}}
}

// catalog lists the machine types of every simulation.
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

// cpuCapacity returns the cores of a machine type, in thousandths.
func cpuCapacity(machineType string) int64 {
	for _, t := range catalog.Types {
		if t.Name == machineType {
			return int64(t.CPUs * 1000)
		}
	}
	return 0
}

// find returns a machine by its name, or nil.
func (c *fakeCloud) find(name string) *fakeWorker { return c.byName[name] }

// randomMachine draws a running machine; nil if there is none.
func (c *fakeCloud) randomMachine() *fakeWorker {
	var running []*fakeWorker
	for _, worker := range c.machines {
		if !worker.gone && worker.up {
			running = append(running, worker)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[c.sim.rng.IntN(len(running))]
}

// startOutage makes the cloud unavailable for a duration.
func (c *fakeCloud) startOutage(duration time.Duration) {
	c.down = true
	c.sim.schedule(duration, func() { c.down = false })
}

// serve executes a request of a controller.
func (c *fakeCloud) serve(request core.CloudRequest) core.CloudResult {
	out := core.CloudResult{ID: request.ID, Status: wire.StatusOK}
	if c.down || c.sim.options.FlakyCloud && c.sim.chance(0.7) {
		out.Status, out.Error = wire.StatusUnavailable, "trouble"
		return out
	}
	switch request.Op {
	case core.CloudCatalog:
		types := catalog
		out.Catalog = &types
	case core.CloudScaleOut:
		c.scaleOut(request, &out)
	case core.CloudScaleIn:
		for _, name := range request.MachineNames {
			if worker := c.find(name); worker != nil {
				worker.scaleIn()
			}
		}
	case core.CloudList:
		c.list(request, &out)
	}
	return out
}

// scaleOut provisions machines. A repeated request returns the machines of the first.
func (c *fakeCloud) scaleOut(request core.CloudRequest, out *core.CloudResult) {
	order := request.ScaleOut
	if names, ok := c.scaleOuts[order.IdempotencyKey]; ok {
		out.MachineNames = names
		return
	}
	live := 0
	for _, worker := range c.machines {
		if !worker.gone {
			live++
		}
	}
	count := min(order.Count, max(0, c.sim.options.MaxMachines-live))
	if count == 0 || !c.sim.options.NoFaults && c.sim.chance(0.2) {
		out.Status, out.Error = wire.StatusUnavailable, "no capacity"
		return
	}
	for range count {
		name := fmt.Sprintf("m-%06d", len(c.machines)+1)
		c.addMachine(wire.Machine{
			Name: name, Addr: "x:" + name, Type: order.Type, Zone: order.Zone, Spot: order.Spot,
			Stage: wire.MachineBooting,
		})
		out.MachineNames = append(out.MachineNames, name)
	}
	c.scaleOuts[order.IdempotencyKey] = out.MachineNames
}

// addMachine adds a machine, schedules its boot, which a few machines never finish, and the interruption of a spot
// machine.
func (c *fakeCloud) addMachine(machine wire.Machine) {
	sim := c.sim
	worker := &fakeWorker{
		sim: sim, machine: machine, provisionedAt: sim.now, tasks: map[string]*fakeTask{}, images: map[string]bool{},
		cleared: map[string]bool{},
	}
	c.machines = append(c.machines, worker)
	c.byName[machine.Name] = worker
	if sim.options.NoFaults || !sim.chance(0.05) {
		bootTime := sim.randomDuration(2*time.Second, 12*time.Second)
		if sim.now < sim.fastBootsUntil {
			bootTime = sim.randomDuration(0, 2*time.Second)
		}
		sim.schedule(bootTime, worker.start)
	}
	if machine.Spot && !sim.options.NoFaults {
		sim.schedule(sim.randomDuration(10*time.Second, 300*time.Second), worker.reclaimSpot)
	}
}

// list returns a page of the machines after request.AfterMachine.
func (c *fakeCloud) list(request core.CloudRequest, out *core.CloudResult) {
	for _, worker := range c.machines {
		if worker.machine.Name <= request.AfterMachine || !c.isListed(worker) {
			continue
		}
		if len(out.Machines) == cloudPageSize {
			out.More = true
			return
		}
		entry := worker.machine
		entry.AgeS = (c.sim.now - worker.provisionedAt).Seconds()
		if worker.failed {
			entry.Stage = wire.MachineFailed
		}
		out.Machines = append(out.Machines, entry)
	}
}

// isListed reports whether a machine is in the list: it must not be too new, scaled in, or gone for long. A failed
// machine stays until it is scaled in.
func (c *fakeCloud) isListed(worker *fakeWorker) bool {
	age, gone := c.sim.now-worker.provisionedAt, worker.gone && !worker.failed
	return !worker.scaledIn && age > cloudListLag && (!gone || c.sim.now-worker.goneAt < goneListedFor)
}
