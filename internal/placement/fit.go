package placement

import (
	"cmp"
	"slices"

	"wheatspur/internal/jobs"
)

// Eligible reports whether the job may use the machine, regardless of the zones of
// its other tasks.
func Eligible(j *jobs.Job, m *Machine) bool {
	spec := j.Record.Spec
	switch {
	case !jobs.AllowsMachineType(spec, m.Type), spec.Zone != nil && *spec.Zone != m.Zone:
		return false
	case m.Spot:
		return spec.Spot && !j.IsService()
	case j.IsService():
		return m.Role == Service
	}
	return m.Role == Batch
}

// MaxTasksPerZone is the maximum number of tasks in one zone for a job with the
// spread-zones constraint.
func MaxTasksPerZone(tasks int) int { return (tasks + 1) / 2 }

// FindOtherMachine finds a machine other than from with room for a running task, subject
// to the job's zone constraint; nil if there is none.
func FindOtherMachine(fleet *Fleet, j *jobs.Job, task int, from string) *Machine {
	in := Input{Fleet: fleet}
	// The task's own claim does not count: it is released before the task starts elsewhere.
	withoutTask := *j
	withoutTask.Claims = make(map[int]jobs.Task, len(j.Claims))
	for i, t := range j.Claims {
		if i != task {
			withoutTask.Claims[i] = t
		}
	}
	d := &Demand{Job: &withoutTask, Tasks: []int{task}, ExcludedMachines: map[string]bool{from: true}}
	if picks := in.fit(d, d.Tasks, anyOwner); len(picks) == 1 {
		return picks[0]
	}
	return nil
}

const (
	anyOwner = "" // machines of all shard owners
	anyZone  = "" // machines of all zones
)

// fitAcrossOwners chooses machines of as few shard owners as it can, starting with
// the owner whose machines hold the most tasks. Every owner stores the ends of its
// own tasks, so a job with a few tasks at each owner costs several times the writes.
func (in *Input) fitAcrossOwners(d *Demand, tasks []int) []*Machine {
	if hasZoneConstraint(d.Job) {
		return in.fit(d, tasks, anyOwner) // zone constraints apply across owners
	}
	var picksByOwner [][]*Machine
	for _, owner := range in.RankMembers(d.Job.ID) {
		if picks := in.fit(d, tasks, owner); len(picks) > 0 {
			picksByOwner = append(picksByOwner, picks)
		}
	}
	slices.SortStableFunc(picksByOwner, func(a, b []*Machine) int { return cmp.Compare(len(b), len(a)) })
	var picks []*Machine
	for _, ownerPicks := range picksByOwner {
		picks = append(picks, ownerPicks[:min(len(ownerPicks), len(tasks)-len(picks))]...)
	}
	return picks
}

// reserveMachine reserves the machine with the largest free share, among those large
// enough for a task of the job: the rest of the pass places nothing on it. It guards
// against starvation of a large task by small ones, which would otherwise take all
// room as it becomes free, so that no machine ever has enough.
func (in *Input) reserveMachine(d *Demand) {
	var best *Machine
	for _, p := range in.Fleet.pools {
		if !p.eligible(d.Job) {
			continue
		}
		for _, m := range p.machines {
			if m.Schedulable && !d.ExcludedMachines[m.Name] && d.Job.TaskResources.Fits(m.Total) &&
				(best == nil || m.Free.Share(m.Total) > best.Free.Share(best.Total)) {
				best = m
			}
		}
	}
	if best != nil {
		in.Fleet.markChanged(best)
		best.Free = jobs.Resources{}
	}
}

// fit chooses a machine for each task, for as many tasks as fit, among the machines
// of one shard owner (or of anyOwner). It prefers the shortest wait for the image,
// then the least free room left.
func (in *Input) fit(d *Demand, tasks []int, owner string) []*Machine {
	candidates := in.candidates(d, owner)
	if len(candidates) == 0 {
		return nil
	}
	tasksByZone := map[string]int{}
	if hasZoneConstraint(d.Job) {
		tasksByZone = in.Fleet.ClaimsByZone(d.Job)
		if tasksByZone[""] > 0 {
			return nil // the zone of a claimed task is unknown, because its machine is
		}
	}
	if d.Job.Record.Spec.SameZone {
		return fitSameZone(d, tasks, candidates, tasksByZone)
	}
	return fillBestFirst(d, tasks, candidates, tasksByZone, anyZone)
}

// candidate is a machine with room for a task of the demand.
type candidate struct {
	machine   *Machine
	imageWait float64
	freeShare float64 // share of the machine that stays free beside the task
}

// less orders candidates by the shortest wait for the image, then the least free room
// left, then the name.
func (c *candidate) less(other *candidate) bool {
	if c.imageWait != other.imageWait {
		return c.imageWait < other.imageWait
	}
	if c.freeShare != other.freeShare {
		return c.freeShare < other.freeShare
	}
	return c.machine.Name < other.machine.Name
}

// candidates returns the machines of one shard owner (or of anyOwner) with room for a
// task of the demand. The next call reuses the slice. It updates maxFree of the pools
// that it scans, if trackMaxFree is set.
func (in *Input) candidates(d *Demand, owner string) []candidate {
	candidates := in.Fleet.candidateBuffer[:0]
	for _, p := range in.Fleet.pools {
		if owner != anyOwner && p.Owner != owner || !p.eligible(d.Job) || !d.Job.TaskResources.Fits(p.maxFree) {
			continue
		}
		var maxFree jobs.Resources
		for _, m := range p.machines {
			if !m.Schedulable {
				continue
			}
			maxFree = maxFree.Max(m.Free)
			if d.Job.TaskResources.Fits(m.Free) && !d.ExcludedMachines[m.Name] && m.freeTaskSlots() > 0 {
				candidates = append(candidates, candidate{machine: m, imageWait: m.imageWait(d.Job), freeShare: m.Free.Sub(d.Job.TaskResources).Share(m.Total)})
			}
		}
		if in.trackMaxFree && p.maxFree != maxFree {
			p.maxFree, p.stale = maxFree, true
		}
	}
	in.Fleet.candidateBuffer = candidates
	return candidates
}

// fitSameZone chooses machines in one zone: the zone of the job's claimed tasks if it
// has any, else the zone that holds the most of the tasks.
func fitSameZone(d *Demand, tasks []int, candidates []candidate, tasksByZone map[string]int) []*Machine {
	var best []*Machine
	tried := map[string]bool{}
	for _, c := range candidates {
		zone := c.machine.Zone
		if tried[zone] || len(tasksByZone) > 0 && tasksByZone[zone] == 0 {
			continue
		}
		tried[zone] = true
		if picks := fillBestFirst(d, tasks, candidates, tasksByZone, zone); len(picks) > len(best) {
			best = picks
		}
	}
	return best
}

// fillBestFirst chooses machines for as many of the tasks as fit, in one zone (or
// in anyZone). It fills the best candidate before it goes on to the next one.
// tasksByZone counts the job's claimed tasks; it is not modified.
func fillBestFirst(d *Demand, tasks []int, candidates []candidate, tasksByZone map[string]int, zone string) []*Machine {
	counts := tasksByZone
	if d.Job.Record.Spec.SpreadZones {
		// maps.Clone would make the callers' maps escape to the heap.
		counts = make(map[string]int, len(tasksByZone))
		for z, count := range tasksByZone {
			counts[z] = count
		}
	}
	picks := make([]*Machine, 0, len(tasks))
	full := make([]bool, len(candidates))
	for len(picks) < len(tasks) {
		// Each task placed on the best machine leaves it less free room, so it stays
		// the best until it is full. One scan per machine, not per task, is enough.
		best := bestCandidate(d.Job, candidates, full, counts, zone)
		if best < 0 {
			break
		}
		full[best] = true
		picks = fillMachine(d.Job, candidates[best].machine, counts, picks, len(tasks))
	}
	return picks
}

// bestCandidate returns the index of the best candidate in the zone (or in anyZone)
// that is not full, -1 if there is none.
func bestCandidate(j *jobs.Job, candidates []candidate, full []bool, tasksByZone map[string]int, zone string) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if full[i] || zone != anyZone && c.machine.Zone != zone || zoneFull(j, tasksByZone, c.machine.Zone) {
			continue
		}
		if best < 0 || c.less(&candidates[best]) {
			best = i
		}
	}
	return best
}

// fillMachine appends the machine to picks once for each task that it has room for, up
// to maxPicks in total. For a job with the spread-zones constraint it counts them in
// tasksByZone.
func fillMachine(j *jobs.Job, m *Machine, tasksByZone map[string]int, picks []*Machine, maxPicks int) []*Machine {
	free := m.Free
	for filled := 0; len(picks) < maxPicks && filled < m.freeTaskSlots() && j.TaskResources.Fits(free); filled++ {
		if zoneFull(j, tasksByZone, m.Zone) {
			break
		}
		if j.Record.Spec.SpreadZones {
			tasksByZone[m.Zone]++
		}
		picks = append(picks, m)
		free = free.Sub(j.TaskResources)
	}
	return picks
}

// hasZoneConstraint reports whether the zones of the job's other tasks restrict where
// a task may be placed.
func hasZoneConstraint(j *jobs.Job) bool {
	return j.Record.Spec.SpreadZones || j.Record.Spec.SameZone
}

// zoneFull reports whether the job has the spread-zones constraint and already has the
// maximum number of tasks in the zone.
func zoneFull(j *jobs.Job, tasksByZone map[string]int, zone string) bool {
	return j.Record.Spec.SpreadZones && tasksByZone[zone] >= MaxTasksPerZone(j.Record.Tasks)
}
