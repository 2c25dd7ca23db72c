package autoscale

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// bin is the room of a machine, an existing one or a planned one.
type bin struct {
	kind        MachineKind
	role        placement.Role
	free        jobs.Resources
	schedulable bool // takes tasks now
}

// fill places as many of count like tasks as fit, and returns how many are left.
func (b *bin) fill(need jobs.Resources, count int) int {
	for ; count > 0 && need.Fits(b.free); count-- {
		b.free = b.free.Sub(need)
	}
	return count
}

// zoneRole is what machines are spread over zones by.
type zoneRole struct {
	zone string
	role placement.Role
}

func (p *planner) addBin(b *bin) {
	p.bins = append(p.bins, b)
	p.zoneCounts[zoneRole{b.kind.Zone, b.role}]++
}

// isHealthy reports whether the machine can be counted on, once it is up.
func (m Machine) isHealthy() bool {
	return !m.Quarantined && !m.Silent && !m.Missing
}

// isBootOverdue reports whether the machine is beyond the usual boot time: it may
// yet come up, or never. Without it as a bin, its room is planned anew. Guards
// against tasks that wait, until the machine is given up, for the time in which
// another would boot.
func (p *planner) isBootOverdue(m Machine) bool {
	return m.Booting && m.Age > time.Duration(tuning.LateBootFactor*float64(p.bootTime(m)))
}

// bootTime is the usual boot time of the machine's type.
func (p *planner) bootTime(m Machine) time.Duration {
	return config.Seconds(p.types[m.Kind.MachineType].StartupS)
}

// capacity is the room of an empty machine of the type.
func capacity(machineType wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAM: machineType.RAMGB}
}

// isEligible reports whether the job may use machines of the kind in the role.
func isEligible(job *jobs.Job, kind MachineKind, role placement.Role) bool {
	return placement.Eligible(job, &placement.Machine{Type: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot, Role: role})
}

// roleOf is the role of the machines that run the job's tasks.
func roleOf(job *jobs.Job) placement.Role {
	if job.Service() {
		return placement.Service
	}
	return placement.Batch
}
