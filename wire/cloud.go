package wire

// MachineType is a machine type in the cloud's catalog.
type MachineType struct {
	Name            string   `json:"sku"`
	CPUs            float64  `json:"cpus"`
	GPUs            float64  `json:"cards"`
	MemoryGB        float64  `json:"ram_gb"`
	LocalDiskGB     float64  `json:"local_gb"`
	ImagePullGBPerS float64  `json:"pull_gb_per_s"`
	Price           float64  `json:"price"`
	SpotPrice       float64  `json:"low_price"`
	BootS           float64  `json:"startup_s"`
	Zones           []string `json:"yards"`
}

// Catalog lists the machine types that the cloud offers.
type Catalog struct {
	Types []MachineType `json:"kilns"`
}

// Capacity returns the resources of an empty machine of this type in milli-CPUs, milli-GPUs and MB.
func (t *MachineType) Capacity() [3]int64 {
	return [3]int64{int64(t.CPUs * 1000), int64(t.GPUs * 1000), int64(t.MemoryGB * 1000)}
}

// ScaleOutRequest requests machines from the cloud.
type ScaleOutRequest struct {
	IdempotencyKey string `json:"hire"`
	Type           string `json:"kiln"`
	Zone           string `json:"yard"`
	Spot           bool   `json:"borrowed"`
	Count          int    `json:"how_many"`
}

// MachineNames lists machines by name, in the response to a scale-out and in the request for a scale-in.
type MachineNames struct {
	Machines []string `json:"hearths"`
}

// Stages of a machine in the cloud's list of machines.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Machine is a machine in the cloud's list.
type Machine struct {
	Name  string  `json:"uid"`
	Addr  string  `json:"address"`
	Type  string  `json:"kiln"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"borrowed"`
	Stage string  `json:"stage"`
	AgeS  float64 `json:"age_s"`
}

// MachineList is a page of the cloud's list of machines.
type MachineList struct {
	Machines []Machine `json:"hearths"`
	More     bool      `json:"more"`
}
