package autoscale

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// bin is the room of a machine, one that there is or a planned one.
type bin struct {
	kind        MachineKind
	role        placement.Role
	free        jobs.Resources
	schedulable bool   // takes tasks now
	name        string // "" for a planned one
}

// zoneRole is what machines are spread over zones by.
type zoneRole struct {
	zone string
	role placement.Role
}

// healthy reports whether the machine can be counted on, once it is up.
func (u Machine) healthy() bool {
	return !u.Quarantined && !u.Silent && !u.Missing
}

// bootOverdue reports whether the machine is beyond the usual boot time: it may yet
// come, or never. What counts on it waits for the time in which another would
// boot.
func (p *planner) bootOverdue(u Machine) bool {
	return u.Booting && u.Age > time.Duration(tuning.LateBootFactor*float64(p.bootTime(u)))
}

// bootTime is the usual boot time of the machine's type.
func (p *planner) bootTime(u Machine) time.Duration {
	return config.Seconds(p.types[u.Kind.MachineType].StartupS)
}

func (p *planner) addBin(b *bin) {
	p.bins = append(p.bins, b)
	p.zoneCounts[zoneRole{b.kind.Zone, b.role}]++
}

// total is the room of an empty machine of the type.
func total(t wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
}

// eligible reports whether the job may use machines of the kind in the role.
func eligible(j *jobs.Job, k MachineKind, role placement.Role) bool {
	return placement.Eligible(j, &placement.Machine{Type: k.MachineType, Zone: k.Zone, Spot: k.Spot, Role: role})
}

// roleOf is the role of the machines that run the job's tasks.
func roleOf(j *jobs.Job) placement.Role {
	if j.Service() {
		return placement.Service
	}
	return placement.Batch
}
