// This file finds room for tasks without a place: room that is being freed, or
// that of tasks which the protocol lets it stop.

package placement

import (
	"sort"
	"time"

	"wheatspur/internal/jobs"
)

// preemptionScansPerPass bounds how often a pass looks through all machines for tasks
// to stop.
const preemptionScansPerPass = 16

// mayPreempt reports whether the protocol lets the job displace the resident.
func (in *Input) mayPreempt(d *Demand, r ClaimedTask) bool {
	j := d.Job
	w, v := j.Record.Spec, r.Job.Record.Spec
	if v == nil {
		return false
	}
	if j.Priority < r.Job.Priority {
		return true
	}
	if r.Job.Service() {
		// A running service is worth more to people than a start in time.
		return false
	}
	other := in.Teams[v.Team]
	return d.MayReclaim && v.Team != w.Team && in.guaranteed(j) && other != nil && !other.WithinGuarantee(other.Used)
}

// makeRoom reserves room that is being freed for one task, or stops the fewest
// tasks that the protocol lets it stop.
func (in *Input) makeRoom(d *Demand, out *Output) bool {
	var best *Machine
	var victims []ClaimedTask
	zones := in.zonesInUse(d.Job)
	scanned := false
	for _, p := range in.Fleet.pools {
		if !p.mayMakeRoom(d) || !zoneAllowed(d.Job, zones, p.Zone) {
			continue
		}
		if !scanned {
			if in.preemptionScansLeft--; in.preemptionScansLeft < 0 {
				return false
			}
			scanned = true
		}
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
			if list := in.victims(d, m, room, startedLater); list != nil && (best == nil || len(list) < len(victims)) {
				best, victims = m, list
			}
		}
	}
	if best == nil {
		return false
	}
	in.preempt(d, best, victims, out)
	return true
}

// mayMakeRoom reports whether the demand may use the pool's machines, and tasks
// there are being stopped, or may be for it.
func (p *pool) mayMakeRoom(d *Demand) bool {
	if !p.eligible(d.Job) {
		return false
	}
	if p.freeing {
		return true
	}
	return !d.PreemptedFor && (p.lowestPriority > d.priority || d.MayReclaim && d.guaranteedAtStart)
}

// zonesInUse counts the job's tasks by zone, if it matters for others of them.
func (in *Input) zonesInUse(j *jobs.Job) map[string]int {
	if w := j.Record.Spec; w.SpreadZones || w.SameZone {
		return in.Fleet.Zones(j)
	}
	return nil
}

// zoneAllowed reports whether the job may have one more task in the zone. It
// guards against stopping tasks for room that the job may not use: they came
// back to it and were stopped again, every few seconds.
func zoneAllowed(j *jobs.Job, zones map[string]int, zone string) bool {
	if zoneFull(j, zones, zone) {
		return false
	}
	return !j.Record.Spec.SameZone || len(zones) == 0 || zones[zone] > 0
}

// preempt stops tasks of the machine and reserves their room for one task of
// the demand.
func (in *Input) preempt(d *Demand, m *Machine, victims []ClaimedTask, out *Output) {
	if in.MinimizeLoss && m.Owner == in.Self {
		victims = in.victims(d, m, m.Free.Add(m.Freeing), in.losesLess)
	}
	in.Fleet.markChanged(m)
	for _, victim := range victims {
		m.markPreempted(victim.ID)
		m.preempting = true
		m.Freeing = m.Freeing.Add(victim.Job.Need)
		if m.Owner == in.Self {
			out.Preemptions = append(out.Preemptions, Preemption{victim, d.Job.ID})
		}
	}
	m.Freeing = m.Freeing.Sub(d.Job.Need)
}

// markPreempted notes that a task of the machine is being stopped by the pass.
func (m *Machine) markPreempted(task jobs.TaskID) {
	for i := range m.Tasks {
		if r := &m.Tasks[i]; r.ID == task {
			r.Stopping, r.preempted = true, true
		}
	}
}

// startedLater orders the tasks of a rank that could be stopped by the age of their
// jobs, which every node knows: the youngest first.
func startedLater(a, b *ClaimedTask) bool { return a.Job.ReadyAtMs > b.Job.ReadyAtMs }

// losesLess orders the tasks of a rank that could be stopped on this node's machines:
// those that have not begun first, then by what a stop loses.
func (in *Input) losesLess(a, b *ClaimedTask) bool {
	if x, y := in.lostWork(a), in.lostWork(b); x != y {
		return x < y
	}
	return startedLater(a, b)
}

// lostWork is the run time that a stop of the task loses: all of it, or what it takes
// to save for a task that can.
func (in *Input) lostWork(r *ClaimedTask) time.Duration {
	if r.RunningSince.IsZero() {
		return 0
	}
	ran := in.Now.Sub(r.RunningSince)
	if spec := r.Job.Record.Spec; spec != nil && spec.CheckpointIntervalS > 0 {
		ran = min(ran, time.Duration(spec.CheckpointWriteS*float64(time.Second)))
	}
	return ran
}

// victims is the shortest list of tasks whose stop makes room for a task of the
// job, the lowest priority first, and in a rank in the given order; nil if there
// is none.
func (in *Input) victims(d *Demand, m *Machine, room jobs.Resources, before func(a, b *ClaimedTask) bool) []ClaimedTask {
	var list []ClaimedTask
	for _, r := range m.Tasks {
		if !r.Stopping && in.mayPreempt(d, r) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if ra, rb := list[a].Job.Priority, list[b].Job.Priority; ra != rb {
			return ra > rb
		}
		return before(&list[a], &list[b])
	})
	for i, r := range list {
		if room = room.Add(r.Job.Need); d.Job.Need.Fits(room) {
			return list[:i+1]
		}
	}
	return nil
}
