package autoscale

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// headroomTasks returns the number of typical tasks that a role's headroom has room for.
func headroomTasks(load Load, share float64) int {
	if load.Spec == nil || share <= 0 {
		return 0
	}
	return max(int(math.Ceil(load.Tasks*share)), load.MinTasks)
}

// typicalJob returns a job that represents a load and may run in any zone.
func typicalJob(load Load) *jobs.Job {
	spec := *load.Spec
	spec.Zone = nil
	return &jobs.Job{Record: jobs.Record{Phase: jobs.Open, Spec: &spec}, TaskResources: load.TaskResources}
}

// provisionHeadroom plans capacity for future tasks, and for tasks whose booting machines
// may be late.
func (p *planner) provisionHeadroom(role placement.Role, load Load, share float64) {
	if !p.input.ActiveRoles[role] {
		return
	}
	tasks := headroomTasks(load, share)
	if load.Spec != nil && load.AwaitingBoot > 0 {
		tasks += p.lateBootReserve(typicalJob(load), load.AwaitingBoot)
	}
	if tasks > 0 {
		p.provision(typicalJob(load), tasks, false, 0, reasonHeadroom)
	}
}

// maxSlots bounds the slots counted on one machine, for tasks that need next to nothing.
const maxSlots = 1000

// slots counts the free capacity of the machines that typical tasks may use, in typical
// tasks, and how much of it the headroom needs.
type slots struct {
	job       *jobs.Job // typical; nil if none is known
	needed    int
	total     int
	ofMachine map[string]int // by machine name
}

func (p *planner) newSlots(load Load, share float64) *slots {
	if load.Spec == nil {
		return &slots{needed: headroomTasks(load, share), ofMachine: map[string]int{}}
	}
	s := &slots{
		job:       typicalJob(load),
		needed:    headroomTasks(load, share),
		ofMachine: make(map[string]int, len(p.input.Machines)),
	}
	for _, m := range p.input.Machines {
		if !(m.Schedulable || m.Booting) || !m.isHealthy() || !isEligible(s.job, m.Kind, m.Role) {
			continue
		}
		room := bin{free: m.Free}
		count := maxSlots - room.fill(s.job.TaskResources, maxSlots)
		s.ofMachine[m.Name] = count
		s.total += count
	}
	return s
}

// canRemove reports whether enough slots are left without the machine for the headroom and
// for the service tasks that would have to move. Batch tasks finish on the machine.
func (s *slots) canRemove(m Machine) bool {
	needed := s.needed
	if m.Role == placement.Service {
		needed += m.Claims
	}
	if needed == 0 {
		return true
	}
	return s.job != nil && s.total-s.ofMachine[m.Name] >= needed
}

// remove excludes a machine that is to be terminated from the count.
func (s *slots) remove(m Machine) {
	s.total -= s.ofMachine[m.Name]
	if m.Role == placement.Service {
		s.needed += m.Claims
	}
	s.ofMachine[m.Name] = 0
}
