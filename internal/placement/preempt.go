package placement

import (
	"sort"
	"time"

	"wheatspur/internal/jobs"
)

// preemptionScansPerPass bounds how many times a pass scans the machines for tasks
// to preempt.
const preemptionScansPerPass = 16

// preemptionPlan is a machine and the tasks to preempt on it.
type preemptionPlan struct {
	machine *Machine
	victims []ClaimedTask
}

// reserveOrPreempt provides room for one task of the demand: it reserves room that is
// being freed, or else preempts tasks on the machine where the fewest victims are
// needed. It reports whether it found either.
func (in *Input) reserveOrPreempt(d *Demand, out *Output) bool {
	var best preemptionPlan
	tasksByZone := in.constrainedZoneCounts(d.Job)
	scanned := false
	for _, p := range in.Fleet.pools {
		if !p.mayReserveOrPreempt(d) || !zoneAllowed(d.Job, tasksByZone, p.Zone) {
			continue
		}
		if !scanned {
			if in.preemptionScansLeft--; in.preemptionScansLeft < 0 {
				return false
			}
			scanned = true
		}
		if in.reserveInPool(d, p, &best) {
			return true
		}
	}
	if best.machine == nil {
		return false
	}
	in.preempt(d, best, out)
	return true
}

// reserveInPool reserves room that is being freed on a machine of the pool and returns
// true. If there is none it returns false, and sets best to a machine of the pool that
// needs fewer victims than best did, if there is one.
func (in *Input) reserveInPool(d *Demand, p *pool, best *preemptionPlan) bool {
	for _, m := range p.machines {
		if !m.Schedulable || d.ExcludedMachines[m.Name] {
			continue
		}
		room := m.Free.Add(m.Freeing)
		if d.Job.TaskResources.Fits(room) {
			in.Fleet.markChanged(m)
			m.Freeing = m.Freeing.Sub(d.Job.TaskResources)
			return true
		}
		if d.RecentlyPreemptedFor {
			continue
		}
		if victims := in.selectVictims(d, m, room, newestFirst); victims != nil && (best.machine == nil || len(victims) < len(best.victims)) {
			*best = preemptionPlan{machine: m, victims: victims}
		}
	}
	return false
}

// mayReserveOrPreempt reports whether the demand may use the pool's machines, and tasks
// there are being stopped or might be preempted for it.
func (p *pool) mayReserveOrPreempt(d *Demand) bool {
	if !p.eligible(d.Job) {
		return false
	}
	if p.freeing {
		return true
	}
	return !d.RecentlyPreemptedFor && (p.lowestPriority > d.priority || d.reclaims())
}

// constrainedZoneCounts counts the job's claims by zone; nil for a job without a zone
// constraint.
func (in *Input) constrainedZoneCounts(j *jobs.Job) map[string]int {
	if hasZoneConstraint(j) {
		return in.Fleet.ClaimsByZone(j)
	}
	return nil
}

// zoneAllowed reports whether the job may have one more task in the zone. It guards
// against preempting tasks for room that the job may not use: such tasks were placed
// there again and preempted again every few seconds.
func zoneAllowed(j *jobs.Job, tasksByZone map[string]int, zone string) bool {
	if zoneFull(j, tasksByZone, zone) {
		return false
	}
	return !j.Record.Spec.SameZone || len(tasksByZone) == 0 || tasksByZone[zone] > 0
}

// preempt marks the plan's victims as stopping and reserves their room for one task of
// the demand. On this controller's machines it adds them to the output.
func (in *Input) preempt(d *Demand, plan preemptionPlan, out *Output) {
	m, victims := plan.machine, plan.victims
	if in.MinimizeLoss && m.Owner == in.Self {
		victims = in.selectVictims(d, m, m.Free.Add(m.Freeing), in.leastLostWorkFirst)
	}
	in.Fleet.markChanged(m)
	for _, victim := range victims {
		m.markPreempted(victim.ID)
		m.preempting = true
		m.Freeing = m.Freeing.Add(victim.Job.TaskResources)
		if m.Owner == in.Self {
			out.Preemptions = append(out.Preemptions, Preemption{ClaimedTask: victim, PreemptorJobID: d.Job.ID})
		}
	}
	m.Freeing = m.Freeing.Sub(d.Job.TaskResources)
}

// markPreempted records that the pass stops a task of the machine.
func (m *Machine) markPreempted(id jobs.TaskID) {
	for i := range m.Tasks {
		if task := &m.Tasks[i]; task.ID == id {
			task.Stopping, task.preemptedInPass = true, true
		}
	}
}

// selectVictims returns the tasks to preempt on the machine to make room for a task of
// the demand: the first ones that are enough, the lowest priority first and within a
// priority in the order of less. It returns nil if preemption can't make enough room.
func (in *Input) selectVictims(d *Demand, m *Machine, room jobs.Resources, less func(a, b *ClaimedTask) bool) []ClaimedTask {
	var preemptible []ClaimedTask
	for _, task := range m.Tasks {
		if !task.Stopping && in.mayPreempt(d, task) {
			preemptible = append(preemptible, task)
		}
	}
	// The order of equal tasks, such as those of one job, is whatever sort.Slice
	// produces. All controllers, also those of other versions, must choose the same
	// victims, so sort.Slice stays until all of them are known to use another order.
	//revive:disable-next-line:use-slices-sort // passing tasks by value would copy two to the heap per comparison
	sort.Slice(preemptible, func(a, b int) bool {
		if x, y := preemptible[a].Job.Priority, preemptible[b].Job.Priority; x != y {
			return x > y
		}
		return less(&preemptible[a], &preemptible[b])
	})
	for i, task := range preemptible {
		if room = room.Add(task.Job.TaskResources); d.Job.TaskResources.Fits(room) {
			return preemptible[:i+1]
		}
	}
	return nil
}

// mayPreempt reports whether the demand may preempt the task: one of a lower priority,
// or borrowed work of another team that is not a service, if the demand reclaims its
// team's guarantee.
func (in *Input) mayPreempt(d *Demand, task ClaimedTask) bool {
	spec, victimSpec := d.Job.Record.Spec, task.Job.Record.Spec
	if victimSpec == nil {
		return false
	}
	if d.Job.Priority < task.Job.Priority {
		return true
	}
	if task.Job.IsService() {
		// Keeping a service running matters more to users than starting a job on time.
		return false
	}
	victimTeam := in.Allowances[victimSpec.Team]
	return d.MayReclaim && victimSpec.Team != spec.Team && in.guaranteed(d.Job) && victimTeam != nil && !victimTeam.WithinGuarantee(victimTeam.Used)
}

// newestFirst orders victims of one priority by the age of their jobs, which every
// controller knows: the newest first.
func newestFirst(a, b *ClaimedTask) bool { return a.Job.ReadyAtMs > b.Job.ReadyAtMs }

// leastLostWorkFirst orders victims of one priority on this controller's machines by the
// run time that a preemption loses, which is 0 for a task that has not started; equal
// ones by newestFirst.
func (in *Input) leastLostWorkFirst(a, b *ClaimedTask) bool {
	if x, y := in.lostWork(a), in.lostWork(b); x != y {
		return x < y
	}
	return newestFirst(a, b)
}

// lostWork is the run time that a preemption of the task loses: all of it, but for a
// task that writes checkpoints at most the time that writing one takes.
func (in *Input) lostWork(task *ClaimedTask) time.Duration {
	if task.RunningSince.IsZero() {
		return 0
	}
	lost := in.Now.Sub(task.RunningSince)
	if spec := task.Job.Record.Spec; spec != nil && spec.CheckpointIntervalS > 0 {
		lost = min(lost, time.Duration(spec.CheckpointWriteS*float64(time.Second)))
	}
	return lost
}
