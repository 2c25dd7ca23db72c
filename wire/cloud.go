package wire

// States of machines in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Label       string   `cbor:"label"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"cards"`
	RAMGB       float64  `cbor:"ram_gb"`
	LocalGB     float64  `cbor:"local_gb"`
	FetchGBPerS float64  `cbor:"fetch_gb_per_s"`
	Price       float64  `cbor:"price"`
	SpotPrice   float64  `cbor:"spot_price"`
	StartupS    float64  `cbor:"startup_s"`
	Zones       []string `cbor:"plots"`
}

// MachineTypes answers GET /machine_types.
type MachineTypes struct {
	Types []MachineType `cbor:"rigs"`
}

// ScaleOutRequest is the body of POST /hosts. Name is an idempotency key: a repeat of the request
// adds no further machines, so every new request needs a new name.
type ScaleOutRequest struct {
	Name        string `cbor:"hire"`
	MachineType string `cbor:"rig"`
	Zone        string `cbor:"plot"`
	Spot        bool   `cbor:"windfall"`
	Count       int    `cbor:"number"`
}

// MachineNames is a list of machine names.
type MachineNames struct {
	Machines []string `cbor:"hosts"`
}

// Machine is one machine in the cloud's list.
type Machine struct {
	Name        string  `cbor:"ref"`
	Address     string  `cbor:"address"`
	MachineType string  `cbor:"rig"`
	Zone        string  `cbor:"plot"`
	Spot        bool    `cbor:"windfall"`
	State       string  `cbor:"phase"`
	AgeS        float64 `cbor:"held_s"`
}

// MachinePage answers GET /hosts with one page of the list. More pages follow if it is truncated.
type MachinePage struct {
	Machines  []Machine `cbor:"hosts"`
	Truncated bool      `cbor:"truncated"`
}
