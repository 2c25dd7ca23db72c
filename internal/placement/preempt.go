package placement

import (
	"sort"
	"time"

	"wheatspur/internal/jobs"
)

// preemptionScansPerPass bounds how often a pass looks through all machines for
// tasks to preempt.
const preemptionScansPerPass = 16

// preemptionPlan is a machine, and the tasks that are to be preempted there.
type preemptionPlan struct {
	machine *Machine
	victims []ClaimedTask
}

// makeRoom reserves room that is being freed for one task, or preempts the fewest
// tasks that the protocol lets it preempt.
func (in *Input) makeRoom(d *Demand, out *Output) bool {
	var best preemptionPlan
	tasksByZone := in.constrainedZones(d.Job)
	scanned := false
	for _, p := range in.Fleet.pools {
		if !p.mayMakeRoom(d) || !zoneAllowed(d.Job, tasksByZone, p.Zone) {
			continue
		}
		if !scanned {
			if in.preemptionScansLeft--; in.preemptionScansLeft < 0 {
				return false
			}
			scanned = true
		}
		if in.makeRoomInPool(d, p, &best) {
			return true
		}
	}
	if best.machine == nil {
		return false
	}
	in.preempt(d, best, out)
	return true
}

// makeRoomInPool reserves room that is being freed on a machine of the pool. If
// there is none it returns false, and best is a machine of the pool where it takes
// fewer victims than before.
func (in *Input) makeRoomInPool(d *Demand, p *pool, best *preemptionPlan) bool {
	for _, m := range p.machines {
		if !m.Schedulable || d.Avoid[m.Name] {
			continue
		}
		room := m.Free.Add(m.Freeing)
		if d.Job.Need.Fits(room) {
			in.Fleet.markChanged(m)
			m.Freeing = m.Freeing.Sub(d.Job.Need)
			return true
		}
		if d.PreemptedFor {
			continue
		}
		if victims := in.victims(d, m, room, readyLater); victims != nil && (best.machine == nil || len(victims) < len(best.victims)) {
			*best = preemptionPlan{machine: m, victims: victims}
		}
	}
	return false
}

// mayMakeRoom reports whether the demand may use the pool's machines, and tasks
// there are being stopped, or may be preempted for it.
func (p *pool) mayMakeRoom(d *Demand) bool {
	if !p.eligible(d.Job) {
		return false
	}
	if p.freeing {
		return true
	}
	return !d.PreemptedFor && (p.lowestPriority > d.priority || d.reclaims())
}

// constrainedZones counts the job's tasks by zone, if it matters for others of them.
func (in *Input) constrainedZones(j *jobs.Job) map[string]int {
	if hasZoneConstraint(j) {
		return in.Fleet.Zones(j)
	}
	return nil
}

// zoneAllowed reports whether the job may have one more task in the zone. It
// guards against preempting tasks for room that the job may not use: they came
// back to it and were preempted again, every few seconds.
func zoneAllowed(j *jobs.Job, tasksByZone map[string]int, zone string) bool {
	if zoneFull(j, tasksByZone, zone) {
		return false
	}
	return !j.Record.Spec.SameZone || len(tasksByZone) == 0 || tasksByZone[zone] > 0
}

// preempt stops tasks of the machine and reserves their room for one task of
// the demand.
func (in *Input) preempt(d *Demand, plan preemptionPlan, out *Output) {
	m, victims := plan.machine, plan.victims
	if in.MinimizeLoss && m.Owner == in.Self {
		victims = in.victims(d, m, m.Free.Add(m.Freeing), in.losesLess)
	}
	in.Fleet.markChanged(m)
	for _, victim := range victims {
		m.markPreempted(victim.ID)
		m.preempting = true
		m.Freeing = m.Freeing.Add(victim.Job.Need)
		if m.Owner == in.Self {
			out.Preemptions = append(out.Preemptions, Preemption{ClaimedTask: victim, For: d.Job.ID})
		}
	}
	m.Freeing = m.Freeing.Sub(d.Job.Need)
}

// markPreempted notes that a task of the machine is being stopped by the pass.
func (m *Machine) markPreempted(id jobs.TaskID) {
	for i := range m.Tasks {
		if task := &m.Tasks[i]; task.ID == id {
			task.Stopping, task.preemptedInPass = true, true
		}
	}
}

// victims is the shortest list of tasks whose preemption makes room for a task of
// the demand, the lowest priority first, and within a priority in the given
// order; nil if there is none.
func (in *Input) victims(d *Demand, m *Machine, room jobs.Resources, before func(a, b *ClaimedTask) bool) []ClaimedTask {
	var list []ClaimedTask
	for _, task := range m.Tasks {
		if !task.Stopping && in.mayPreempt(d, task) {
			list = append(list, task)
		}
	}
	// The order of equal tasks, such as those of one job, is what sort.Slice makes
	// of them. All controllers, also those of other versions, must choose the same
	// victims, so this stays until they are known to agree on another order.
	//revive:disable-next-line:use-slices-sort // by value, that copies two tasks to the heap for each comparison
	sort.Slice(list, func(a, b int) bool {
		if x, y := list[a].Job.Priority, list[b].Job.Priority; x != y {
			return x > y
		}
		return before(&list[a], &list[b])
	})
	for i, task := range list {
		if room = room.Add(task.Job.Need); d.Job.Need.Fits(room) {
			return list[:i+1]
		}
	}
	return nil
}

// mayPreempt reports whether the protocol lets the demand preempt a task.
func (in *Input) mayPreempt(d *Demand, task ClaimedTask) bool {
	spec, victimSpec := d.Job.Record.Spec, task.Job.Record.Spec
	if victimSpec == nil {
		return false
	}
	if d.Job.Priority < task.Job.Priority {
		return true
	}
	if task.Job.Service() {
		// A running service is worth more to people than a start in time.
		return false
	}
	victimTeam := in.Teams[victimSpec.Team]
	return d.MayReclaim && victimSpec.Team != spec.Team && in.guaranteed(d.Job) && victimTeam != nil && !victimTeam.WithinGuarantee(victimTeam.Used)
}

// readyLater orders victims of one priority by the age of their jobs, which
// every controller knows: the youngest first.
func readyLater(a, b *ClaimedTask) bool { return a.Job.ReadyAtMs > b.Job.ReadyAtMs }

// losesLess orders victims of one priority on this controller's machines: those
// that have not begun first, then by what a preemption loses.
func (in *Input) losesLess(a, b *ClaimedTask) bool {
	if x, y := in.lostWork(a), in.lostWork(b); x != y {
		return x < y
	}
	return readyLater(a, b)
}

// lostWork is the run time that a preemption of the task loses: all of it, or
// what it takes to write a checkpoint for a task that can.
func (in *Input) lostWork(task *ClaimedTask) time.Duration {
	if task.RunningSince.IsZero() {
		return 0
	}
	ran := in.Now.Sub(task.RunningSince)
	if spec := task.Job.Record.Spec; spec != nil && spec.CheckpointIntervalS > 0 {
		ran = min(ran, time.Duration(spec.CheckpointWriteS*float64(time.Second)))
	}
	return ran
}
