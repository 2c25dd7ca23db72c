package placement

import (
	"cmp"
	"slices"

	"wheatspur/internal/jobs"
)

// Eligible reports whether the job may use the machine, leaving aside zones of
// its other tasks.
func Eligible(j *jobs.Job, m *Machine) bool {
	spec := j.Record.Spec
	switch {
	case !jobs.AllowsMachineType(spec, m.Type), spec.Zone != nil && *spec.Zone != m.Zone:
		return false
	case m.Spot:
		return spec.Spot && !j.Service()
	case j.Service():
		return m.Role == Service
	}
	return m.Role == Batch
}

// MaxTasksPerZone is the most tasks in one zone of a job that is to be spread
// over zones.
func MaxTasksPerZone(tasks int) int { return (tasks + 1) / 2 }

// FitElsewhere finds another machine with room for a running task, given where
// the job's other tasks are; nil if there is none.
func FitElsewhere(fleet *Fleet, j *jobs.Job, task int, from string) *Machine {
	in := Input{Fleet: fleet}
	// The task's own claim is released before it starts elsewhere.
	others := *j
	others.Claims = make(map[int]jobs.Task, len(j.Claims))
	for i, t := range j.Claims {
		if i != task {
			others.Claims[i] = t
		}
	}
	d := &Demand{Job: &others, Tasks: []int{task}, Avoid: map[string]bool{from: true}}
	if picks := in.fit(d, d.Tasks, anyOwner); len(picks) == 1 {
		return picks[0]
	}
	return nil
}

const (
	anyOwner = "" // machines of all shard owners
	anyZone  = "" // machines of all zones
)

// fitAcrossOwners chooses machines of as few shard owners as it can, those with
// the most places first: every owner stores the ends of its tasks by itself, so
// a job spread thin over all of them costs several times the writes.
func (in *Input) fitAcrossOwners(d *Demand, tasks []int) []*Machine {
	if constrainedByZone(d.Job) {
		return in.fit(d, tasks, anyOwner) // zones count across owners
	}
	var picksByOwner [][]*Machine
	for _, owner := range in.RankNodes(d.Job.ID) {
		if picks := in.fit(d, tasks, owner); len(picks) > 0 {
			picksByOwner = append(picksByOwner, picks)
		}
	}
	slices.SortStableFunc(picksByOwner, func(a, b []*Machine) int { return cmp.Compare(len(b), len(a)) })
	var picks []*Machine
	for _, ofOwner := range picksByOwner {
		picks = append(picks, ofOwner[:min(len(ofOwner), len(tasks)-len(picks))]...)
	}
	return picks
}

// reserveMachine keeps the machine that comes closest to holding a task of the
// job from what comes later in the pass. It guards against small tasks taking
// all room as it comes free, so that a large one never finds enough on one
// machine.
func (in *Input) reserveMachine(d *Demand) {
	var best *Machine
	for _, p := range in.Fleet.pools {
		if !p.eligible(d.Job) {
			continue
		}
		for _, m := range p.machines {
			if m.Schedulable && !d.Avoid[m.Name] && d.Job.Need.Fits(m.Total) &&
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

// fit chooses a machine for each task, as many as fit, among those of one shard
// owner (or of anyOwner): the shortest wait for the image first, among equals
// the least free room left.
func (in *Input) fit(d *Demand, tasks []int, owner string) []*Machine {
	candidates := in.candidates(d, owner)
	if len(candidates) == 0 {
		return nil
	}
	tasksByZone := map[string]int{}
	if constrainedByZone(d.Job) {
		tasksByZone = in.Fleet.Zones(d.Job)
		if tasksByZone[""] > 0 {
			return nil // a task is on a machine that is not known, and so is its zone
		}
	}
	if d.Job.Record.Spec.SameZone {
		return fitSameZone(d, tasks, candidates, tasksByZone)
	}
	return fillBestFirst(d, tasks, candidates, tasksByZone, anyZone)
}

// candidate is a machine that a task of the demand fits.
type candidate struct {
	machine   *Machine
	imageWait float64
	freeShare float64 // that stays free beside the task
}

// before orders candidates: the shortest wait, least free room left, the name.
func (c *candidate) before(other *candidate) bool {
	if c.imageWait != other.imageWait {
		return c.imageWait < other.imageWait
	}
	if c.freeShare != other.freeShare {
		return c.freeShare < other.freeShare
	}
	return c.machine.Name < other.machine.Name
}

// candidates lists the machines of one shard owner (or of anyOwner) that a task
// of the demand fits, in memory that the next call uses again. It notes what
// room is left in the pools that it looks through.
func (in *Input) candidates(d *Demand, owner string) []candidate {
	list := in.Fleet.candidateBuffer[:0]
	for _, p := range in.Fleet.pools {
		if owner != anyOwner && p.Owner != owner || !p.eligible(d.Job) || !d.Job.Need.Fits(p.maxFree) {
			continue
		}
		var maxFree jobs.Resources
		for _, m := range p.machines {
			if !m.Schedulable {
				continue
			}
			maxFree = maxFree.Max(m.Free)
			if d.Job.Need.Fits(m.Free) && !d.Avoid[m.Name] && m.freeTaskSlots() > 0 {
				list = append(list, candidate{machine: m, imageWait: m.imageWait(d.Job), freeShare: m.Free.Sub(d.Job.Need).Share(m.Total)})
			}
		}
		if in.trackMaxFree && p.maxFree != maxFree {
			p.maxFree, p.stale = maxFree, true
		}
	}
	in.Fleet.candidateBuffer = list
	return list
}

// fitSameZone chooses machines in the zone that holds the most of the tasks; if
// the job has tasks already, in theirs.
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
// in anyZone): the best candidate is filled before the next. tasksByZone counts
// the job's tasks that have a place already, and stays as it is.
func fillBestFirst(d *Demand, tasks []int, candidates []candidate, tasksByZone map[string]int, zone string) []*Machine {
	counts := tasksByZone
	if d.Job.Record.Spec.SpreadZones {
		// maps.Clone would move the callers' maps to the heap.
		counts = make(map[string]int, len(tasksByZone))
		for z, count := range tasksByZone {
			counts[z] = count
		}
	}
	picks := make([]*Machine, 0, len(tasks))
	full := make([]bool, len(candidates))
	for len(picks) < len(tasks) {
		// The best machine has less room after each task, so it stays the best
		// until it is full: one look through the others for each machine.
		best := bestCandidate(d.Job, candidates, full, counts, zone)
		if best < 0 {
			break
		}
		full[best] = true
		picks = fillMachine(d.Job, candidates[best].machine, counts, picks, len(tasks))
	}
	return picks
}

// bestCandidate is the index of the best candidate in the zone that is not full,
// -1 if there is none.
func bestCandidate(j *jobs.Job, candidates []candidate, full []bool, tasksByZone map[string]int, zone string) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if full[i] || zone != anyZone && c.machine.Zone != zone || zoneFull(j, tasksByZone, c.machine.Zone) {
			continue
		}
		if best < 0 || c.before(&candidates[best]) {
			best = i
		}
	}
	return best
}

// fillMachine picks the machine for as many tasks as it holds, until there are
// maxPicks, and counts them in tasksByZone if the job is to be spread over zones.
func fillMachine(j *jobs.Job, m *Machine, tasksByZone map[string]int, picks []*Machine, maxPicks int) []*Machine {
	free := m.Free
	for filled := 0; len(picks) < maxPicks && filled < m.freeTaskSlots() && j.Need.Fits(free); filled++ {
		if zoneFull(j, tasksByZone, m.Zone) {
			break
		}
		if j.Record.Spec.SpreadZones {
			tasksByZone[m.Zone]++
		}
		picks = append(picks, m)
		free = free.Sub(j.Need)
	}
	return picks
}

// constrainedByZone reports whether it matters to the job's tasks in which zones
// the others are.
func constrainedByZone(j *jobs.Job) bool {
	return j.Record.Spec.SpreadZones || j.Record.Spec.SameZone
}

// zoneFull reports whether the job is to be spread over zones, and has as many
// tasks in this one as it may.
func zoneFull(j *jobs.Job, tasksByZone map[string]int, zone string) bool {
	return j.Record.Spec.SpreadZones && tasksByZone[zone] >= MaxTasksPerZone(j.Record.Tasks)
}
