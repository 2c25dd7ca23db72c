// This file chooses the machines for a demand: which of them hold its tasks, and
// which are best.

package placement

import (
	"sort"

	"wheatspur/internal/jobs"
)

// fitAcrossOwners chooses machines of as few owners as it can, those with the most
// places first: every owner stores the ends of its tasks by itself, so a job
// spread thin over all of them costs several times the changes.
func (in *Input) fitAcrossOwners(d *Demand, tasks []int) []*Machine {
	if w := d.Job.Record.Spec; w.SpreadZones || w.SameZone {
		return in.fit(d, tasks, "") // zones count across owners
	}
	var parts [][]*Machine
	for _, node := range in.RankNodes(d.Job.ID) {
		if p := in.fit(d, tasks, node); len(p) > 0 {
			parts = append(parts, p)
		}
	}
	sort.SliceStable(parts, func(a, b int) bool { return len(parts[a]) > len(parts[b]) })
	var picks []*Machine
	for _, p := range parts {
		picks = append(picks, p[:min(len(p), len(tasks)-len(picks))]...)
	}
	return picks
}

// reserveMachine keeps the machine that comes closest to holding a task of the job from
// what comes later in the pass. It guards against small tasks taking all room
// as it comes free, so that a large one never finds enough on one machine.
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

// Eligible reports whether the job may use the machine, leaving aside zones of
// its other tasks.
func Eligible(j *jobs.Job, m *Machine) bool {
	w := j.Record.Spec
	switch {
	case !jobs.AllowsMachineType(w, m.Type), w.Zone != nil && *w.Zone != m.Zone:
		return false
	case m.Spot:
		return w.Spot && !j.Service()
	case j.Service():
		return m.Role == Service
	}
	return m.Role == Batch
}

// fit chooses a machine for each task, as many as fit, among those of one
// node (or all): least free room left, among those with the shortest wait for
// the image.
func (in *Input) fit(d *Demand, tasks []int, node string) []*Machine {
	cand := in.candidates(d, node)
	if len(cand) == 0 {
		return nil
	}
	w := d.Job.Record.Spec
	zones := map[string]int{}
	if w.SpreadZones || w.SameZone {
		zones = in.Fleet.Zones(d.Job)
		if zones[""] > 0 {
			return nil
		}
	}
	if w.SameZone {
		return fitSameZone(d, tasks, cand, zones)
	}
	return fillBestFirst(d, tasks, cand, zones, "")
}

// candidates lists the machines of one node (or all) that a task of the demand
// fits, in memory that the next call uses again. It notes what room is left in
// the pools that it looks through.
func (in *Input) candidates(d *Demand, node string) []candidate {
	cand := in.Fleet.candidateBuffer[:0]
	for _, p := range in.Fleet.pools {
		if node != "" && p.Owner != node || !p.eligible(d.Job) || !d.Job.Need.Fits(p.maxFree) {
			continue
		}
		var room jobs.Resources
		for _, m := range p.machines {
			if !m.Schedulable {
				continue
			}
			room = room.Max(m.Free)
			if d.Job.Need.Fits(m.Free) && !d.Avoid[m.Name] && m.freeTaskSlots() > 0 {
				cand = append(cand, candidate{m, m.imageWait(d.Job), m.Free.Sub(d.Job.Need).Share(m.Total)})
			}
		}
		if in.trackMaxFree && p.maxFree != room {
			p.maxFree, p.stale = room, true
		}
	}
	in.Fleet.candidateBuffer = cand
	return cand
}

// fitSameZone chooses machines in the zone that holds the most of the tasks; if
// the job has tasks already, in theirs.
func fitSameZone(d *Demand, tasks []int, cand []candidate, zones map[string]int) []*Machine {
	var best []*Machine
	seen := map[string]bool{}
	for _, c := range cand {
		zone := c.machine.Zone
		if seen[zone] || len(zones) > 0 && zones[zone] == 0 {
			continue
		}
		seen[zone] = true
		if picks := fillBestFirst(d, tasks, cand, zones, zone); len(picks) > len(best) {
			best = picks
		}
	}
	return best
}

// candidate is a machine that a task of the demand fits.
type candidate struct {
	machine   *Machine
	imageWait float64
	freeShare float64 // share that stays free
}

// before orders candidates: the shortest wait, least free room left, the name.
func (c *candidate) before(o *candidate) bool {
	if c.imageWait != o.imageWait {
		return c.imageWait < o.imageWait
	}
	if c.freeShare != o.freeShare {
		return c.freeShare < o.freeShare
	}
	return c.machine.Name < o.machine.Name
}

// MaxTasksPerZone is the most tasks that an apart job may have in one zone.
func MaxTasksPerZone(tasks int) int { return (tasks + 1) / 2 }

// fillBestFirst chooses machines for as many of the tasks as fit, in one zone if only
// names it: the best candidate is filled before the next. zones counts the
// job's tasks that have a place already, and stays as it is.
func fillBestFirst(d *Demand, tasks []int, cand []candidate, zones map[string]int, only string) []*Machine {
	used := zones
	if d.Job.Record.Spec.SpreadZones {
		// maps.Clone would move the callers' maps to the heap.
		used = make(map[string]int, len(zones))
		for zone, n := range zones {
			used[zone] = n
		}
	}
	picks := make([]*Machine, 0, len(tasks))
	full := make([]bool, len(cand))
	for len(picks) < len(tasks) {
		// The best machine has less room after each task, so it stays the best
		// until it is full: one look through the others for each machine.
		best := bestCandidate(d.Job, cand, full, used, only)
		if best < 0 {
			break
		}
		full[best] = true
		picks = fillMachine(d.Job, cand[best].machine, used, picks, len(tasks))
	}
	return picks
}

// bestCandidate is the index of the best candidate that is not full, -1 if
// there is none.
func bestCandidate(j *jobs.Job, cand []candidate, full []bool, used map[string]int, only string) int {
	best := -1
	for i := range cand {
		zone := cand[i].machine.Zone
		if full[i] || only != "" && zone != only || zoneFull(j, used, zone) {
			continue
		}
		if best < 0 || cand[i].before(&cand[best]) {
			best = i
		}
	}
	return best
}

// fillMachine picks the machine for as many tasks as it holds, until there are most
// picks, and counts them in used if the job is to be spread over zones.
func fillMachine(j *jobs.Job, m *Machine, used map[string]int, picks []*Machine, most int) []*Machine {
	free := m.Free
	for n := 0; len(picks) < most && n < m.freeTaskSlots() && j.Need.Fits(free); n++ {
		if zoneFull(j, used, m.Zone) {
			break
		}
		if j.Record.Spec.SpreadZones {
			used[m.Zone]++
		}
		picks = append(picks, m)
		free = free.Sub(j.Need)
	}
	return picks
}

// zoneFull reports whether the job is to be spread over zones, and has as
// many tasks in this one as it may.
func zoneFull(j *jobs.Job, used map[string]int, zone string) bool {
	return j.Record.Spec.SpreadZones && used[zone] >= MaxTasksPerZone(j.Record.Tasks)
}

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
	if picks := in.fit(d, d.Tasks, ""); len(picks) == 1 {
		return picks[0]
	}
	return nil
}
