package placement

import (
	"cmp"
	"slices"

	"wheatspur/internal/jobs"
)

// Fleet indexes the machines of a pass: by name, and in pools of machines that
// are alike for every job, so that a job looks only at those it may use. It is
// built when machines, roles or shard owners change. Before each pass
// Machine.Snapshot takes in the machines whose tasks or images have changed, and
// Fleet.Rollback undoes what the last pass has placed.
type Fleet struct {
	Machines        []*Machine // by name
	byName          map[string]*Machine
	pools           []*pool
	candidateBuffer []candidate // of the last search, for its memory
	changed         []*Machine  // machines that the pass has placed on, or preempts tasks on
}

// poolKey is what a pool's machines have in common.
type poolKey struct {
	Owner, Type, Zone string
	Spot              bool
	Role              Role
}

// pool is machines that are alike for every job, and what they can offer at most.
type pool struct {
	poolKey
	machines       []*Machine
	stale          bool           // what follows is to be summed up again
	maxFree        jobs.Resources // no schedulable machine has more free, in any resource
	freeing        bool           // some room is being freed
	lowestPriority int            // of the tasks that could be preempted, as a number; or noPreemptibleTask
}

// eligible reports whether the job may use the pool's machines.
func (p *pool) eligible(j *jobs.Job) bool { return Eligible(j, p.machines[0]) }

// NewFleet indexes machines. It sorts the slice by name and keeps it.
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

// Machine finds a machine by name; nil if it is not known.
func (f *Fleet) Machine(name string) *Machine { return f.byName[name] }

// Refresh takes a snapshot of every machine and sums up the pools.
func (f *Fleet) Refresh() {
	for _, m := range f.Machines {
		m.Snapshot()
	}
	f.Rollback()
}

// Rollback undoes what a pass has placed and preempted, and sums up the pools whose
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

// markChanged notes that a pass changes a machine.
func (f *Fleet) markChanged(m *Machine) {
	if !m.changed {
		m.changed = true
		f.changed = append(f.changed, m)
	}
}

// summarize works out what the pool's machines can offer at most.
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

// mayFit reports whether some machine might have room for a task of the job.
func (f *Fleet) mayFit(j *jobs.Job) bool {
	for _, p := range f.pools {
		if p.eligible(j) && j.Need.Fits(p.maxFree) {
			return true
		}
	}
	return false
}

// Zones counts the live claims of a job per zone. A machine that is not known
// counts for the zone "": such a job gets no constrained placement.
func (f *Fleet) Zones(j *jobs.Job) map[string]int {
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
