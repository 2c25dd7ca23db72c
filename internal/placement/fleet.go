package placement

import (
	"cmp"
	"slices"

	"wheatspur/internal/jobs"
)

// Fleet indexes the machines of a pass: by name, and in pools of machines that
// are equally eligible for every job, so that the search for a job skips whole
// pools. It is built when machines, roles or shard owners change. Before each pass
// Machine.SaveState saves the state of the machines whose tasks or images have
// changed, and Fleet.Rollback undoes the last pass's placements.
type Fleet struct {
	Machines        []*Machine // by name
	byName          map[string]*Machine
	pools           []*pool
	candidateBuffer []candidate // reused by each search, to save allocations
	changed         []*Machine  // machines that the pass has placed tasks on, preempted tasks on or reserved
}

// poolKey has the properties that all machines of a pool share.
type poolKey struct {
	Owner, Type, Zone string
	Spot              bool
	Role              Role
}

// pool is a group of machines that are equally eligible for every job, with a summary
// of the room they can offer at most.
type pool struct {
	poolKey
	machines       []*Machine
	stale          bool           // the fields below have to be computed again
	maxFree        jobs.Resources // no schedulable machine has more free of any resource
	freeing        bool           // resources of some machine are being freed
	lowestPriority int            // number of the lowest priority among the tasks that could be preempted, or noPreemptibleTask
}

// eligible reports whether the job may use the pool's machines.
func (p *pool) eligible(j *jobs.Job) bool { return Eligible(j, p.machines[0]) }

// NewFleet indexes machines. It sorts the slice by name and retains it.
func NewFleet(machines []*Machine) *Fleet {
	f := &Fleet{Machines: machines, byName: make(map[string]*Machine, len(machines))}
	slices.SortFunc(machines, func(a, b *Machine) int { return cmp.Compare(a.Name, b.Name) })
	pools := map[poolKey]*pool{}
	for _, m := range machines {
		f.byName[m.Name] = m
		key := poolKey{Owner: m.Owner, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Role: m.Role}
		p := pools[key]
		if p == nil {
			p = &pool{poolKey: key}
			pools[key] = p
			f.pools = append(f.pools, p)
		}
		p.machines = append(p.machines, m)
		m.pool = p
		p.stale = true
	}
	return f
}

// Machine returns the machine with the name, nil if it is not known.
func (f *Fleet) Machine(name string) *Machine { return f.byName[name] }

// SaveStates saves the state of every machine and summarizes the pools.
func (f *Fleet) SaveStates() {
	for _, m := range f.Machines {
		m.SaveState()
	}
	f.Rollback()
}

// Rollback undoes a pass's changes to the machines, and summarizes the pools whose
// machines have changed.
func (f *Fleet) Rollback() {
	for _, m := range f.changed {
		m.rollback()
	}
	f.changed = f.changed[:0]
	for _, p := range f.pools {
		if p.stale {
			p.summarize()
		}
	}
}

// markChanged records that the pass changes a machine, so that Rollback restores it.
func (f *Fleet) markChanged(m *Machine) {
	if !m.changed {
		m.changed = true
		f.changed = append(f.changed, m)
	}
}

// summarize computes the room that the pool's machines can offer at most.
func (p *pool) summarize() {
	p.stale = false
	p.maxFree, p.freeing, p.lowestPriority = jobs.Resources{}, false, noPreemptibleTask
	for _, m := range p.machines {
		if !m.Schedulable {
			continue
		}
		p.maxFree = p.maxFree.Max(m.Free)
		p.freeing = p.freeing || m.Freeing.GPUs > 0 || m.Freeing.CPUs > 0 || m.Freeing.RAM > 0
		p.lowestPriority = max(p.lowestPriority, m.snapshot.lowestPriority)
	}
}

// mayFit reports whether some machine might have room for a task of the job, judging
// by the summaries of the pools alone.
func (f *Fleet) mayFit(j *jobs.Job) bool {
	for _, p := range f.pools {
		if p.eligible(j) && j.TaskResources.Fits(p.maxFree) {
			return true
		}
	}
	return false
}

// ClaimsByZone counts the job's claims by zone. A claim on a machine that is not known
// counts for the zone ""; with such a claim, no task of a job with a zone constraint
// is placed.
func (f *Fleet) ClaimsByZone(j *jobs.Job) map[string]int {
	tasksByZone := map[string]int{}
	for _, task := range j.Claims {
		zone := ""
		if m := f.byName[task.Machine]; m != nil {
			zone = m.Zone
		}
		tasksByZone[zone]++
	}
	return tasksByZone
}
