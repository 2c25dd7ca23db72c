package autoscale

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// bin is the free capacity of an existing or planned machine.
type bin struct {
	kind        MachineKind
	role        placement.Role
	free        jobs.Resources
	schedulable bool // accepts tasks now
}

// fill places as many of count identical tasks as fit, and returns how many are left.
func (b *bin) fill(need jobs.Resources, count int) int {
	for ; count > 0 && need.Fits(b.free); count-- {
		b.free = b.free.Sub(need)
	}
	return count
}

// zoneRole is the key by which machines are counted to spread each role over the zones.
type zoneRole struct {
	zone string
	role placement.Role
}

func (p *planner) addBin(b *bin) {
	p.bins = append(p.bins, b)
	p.zoneCounts[zoneRole{b.kind.Zone, b.role}]++
}

// isHealthy reports whether the machine can run tasks once it is up.
func (m Machine) isHealthy() bool {
	return !m.Quarantined && !m.Silent && !m.Missing
}

// isBootOverdue reports whether the machine has exceeded the usual boot time and may never
// come up. Such a machine gets no bin, so its capacity is planned again. Otherwise tasks
// would wait for it until it is terminated, a time in which another machine could boot.
func (p *planner) isBootOverdue(m Machine) bool {
	return m.Booting && m.Age > time.Duration(tuning.LateBootFactor*float64(p.bootTime(m)))
}

// bootTime returns the usual boot time of the machine's type.
func (p *planner) bootTime(m Machine) time.Duration {
	return config.Seconds(p.types[m.Kind.MachineType].StartupS)
}

// capacity returns the resources of an empty machine of the type.
func capacity(machineType wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAM: machineType.RAMGB}
}

// isEligible reports whether the job may use machines of the kind in the role.
func isEligible(job *jobs.Job, kind MachineKind, role placement.Role) bool {
	return placement.Eligible(job, &placement.Machine{Type: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot, Role: role})
}

// roleOf returns the role of the machines that run the job's tasks.
func roleOf(job *jobs.Job) placement.Role {
	if job.IsService() {
		return placement.Service
	}
	return placement.Batch
}
