package autoscale

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// headroomTasks is the number of typical tasks that a role's headroom holds.
func headroomTasks(l Load, share float64) int {
	if l.Spec == nil || share <= 0 {
		return 0
	}
	return max(int(math.Ceil(l.Tasks*share)), l.MinTasks)
}

// typical makes a job that stands for a load.
func typical(l Load) *jobs.Job {
	w := *l.Spec
	w.Zone = nil
	return &jobs.Job{Record: jobs.Record{Phase: jobs.Open, Spec: &w}, Need: l.Need}
}

// headroom plans room for tasks that are yet to come, and for some of the
// machines that are booting to come late.
func (p *planner) headroom(role placement.Role, l Load, share float64) {
	if !p.input.ActiveRoles[role] {
		return
	}
	tasks := headroomTasks(l, share)
	if l.Spec != nil && l.AwaitingBoot > 0 {
		tasks += p.lateBootHedge(typical(l), l.AwaitingBoot)
	}
	if tasks > 0 {
		p.cover(typical(l), tasks, false, 0, reasonHeadroom)
	}
}

// rooms is the room of a role's machines in typical tasks, against what its
// headroom must hold.
type rooms struct {
	job  *jobs.Job // nil: nothing typical is known
	need int
	all  int
	of   map[string]int
}

func (p *planner) rooms(l Load, share float64) *rooms {
	if l.Spec == nil {
		return &rooms{need: headroomTasks(l, share), of: map[string]int{}}
	}
	r := &rooms{
		job:  typical(l),
		need: headroomTasks(l, share),
		of:   make(map[string]int, len(p.input.Machines)),
	}
	for _, v := range p.input.Machines {
		if !(v.Schedulable || v.Booting) || !v.healthy() || !eligible(r.job, v.Kind, v.Role) {
			continue
		}
		n := 0
		for f := v.Free; r.job.Need.Fits(f) && n < roomsMost; f = f.Sub(r.job.Need) {
			n++
		}
		r.of[v.Name] = n
		r.all += n
	}
	return r
}

// roomsMost bounds the count of tiny tasks on one machine.
const roomsMost = 1000

// spares reports whether the role's headroom stands without the machine, with
// the service tasks that would have to move. Batch tasks end where they are.
func (r *rooms) spares(u Machine) bool {
	need := r.need
	if u.Role == placement.Service {
		need += u.Claims
	}
	if need == 0 {
		return true
	}
	return r.job != nil && r.all-r.of[u.Name] >= need
}

// leave takes a machine that is given back out of the room.
func (r *rooms) leave(u Machine) {
	r.all -= r.of[u.Name]
	if u.Role == placement.Service {
		r.need += u.Claims
	}
	r.of[u.Name] = 0
}
