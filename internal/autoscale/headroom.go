package autoscale

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// headroomTasks is the number of typical tasks that a role's headroom holds.
func headroomTasks(load Load, share float64) int {
	if load.Spec == nil || share <= 0 {
		return 0
	}
	return max(int(math.Ceil(load.Tasks*share)), load.MinTasks)
}

// typicalJob makes a job that stands for a load, in any zone.
func typicalJob(load Load) *jobs.Job {
	spec := *load.Spec
	spec.Zone = nil
	return &jobs.Job{Record: jobs.Record{Phase: jobs.Open, Spec: &spec}, Need: load.Need}
}

// coverHeadroom plans room for tasks that are yet to come, and for some of the
// machines that are booting to be late.
func (p *planner) coverHeadroom(role placement.Role, load Load, share float64) {
	if !p.input.ActiveRoles[role] {
		return
	}
	tasks := headroomTasks(load, share)
	if load.Spec != nil && load.AwaitingBoot > 0 {
		tasks += p.lateBootHedge(typicalJob(load), load.AwaitingBoot)
	}
	if tasks > 0 {
		p.cover(typicalJob(load), tasks, false, 0, reasonHeadroom)
	}
}

// maxSlots bounds the count of tiny tasks on one machine.
const maxSlots = 1000

// slots is the room of a role's machines, counted in typical tasks, against what
// its headroom must hold.
type slots struct {
	job       *jobs.Job // typical; nil: none is known
	needed    int
	total     int
	ofMachine map[string]int // by name
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
		count := maxSlots - room.fill(s.job.Need, maxSlots)
		s.ofMachine[m.Name] = count
		s.total += count
	}
	return s
}

// canSpare reports whether the role's headroom stands without the machine, with
// the service tasks that would have to move. Batch tasks end where they are.
func (s *slots) canSpare(m Machine) bool {
	needed := s.needed
	if m.Role == placement.Service {
		needed += m.Claims
	}
	if needed == 0 {
		return true
	}
	return s.job != nil && s.total-s.ofMachine[m.Name] >= needed
}

// remove takes a machine that is to be terminated out of the count.
func (s *slots) remove(m Machine) {
	s.total -= s.ofMachine[m.Name]
	if m.Role == placement.Service {
		s.needed += m.Claims
	}
	s.ofMachine[m.Name] = 0
}
