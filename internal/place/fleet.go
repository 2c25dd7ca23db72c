package place

import (
	"sort"

	"wheatspur/internal/jobs"
)

// Fleet indexes the machines of a pass: by name, and in pools of machines that
// are alike for every job, so that a job looks only at those it may use. It is
// built when machines, roles or owners change. Before each pass the machines
// whose tasks or images have changed are entered anew (Machine.Enter), and what
// the last pass has placed is undone (Rewind).
type Fleet struct {
	Machines []*Machine // by name
	named    map[string]*Machine
	pools    []*pool
	scratch  []candidate // of the last search, for its memory
	changed  []*Machine  // machines that the pass has placed on, or plans to stop tasks on
}

// kind is what a pool's machines have in common.
type kind struct {
	Owner, Type, Zone string
	Spot              bool
	Role              Role
}

type pool struct {
	kind
	machines []*Machine
	stale    bool           // what follows is to be summed up again
	room     jobs.Resources // no open machine has more free, in any resource
	freeing  bool           // some room is being freed
	worst    int            // the lowest priority, as a number, of what could be stopped
}

// suits reports whether the job may use the pool's machines.
func (p *pool) suits(j *jobs.Job) bool { return Suits(j, p.machines[0]) }

// NewFleet indexes machines.
func NewFleet(machines []*Machine) *Fleet {
	f := &Fleet{Machines: machines, named: make(map[string]*Machine, len(machines))}
	sort.Slice(machines, func(a, b int) bool { return machines[a].Name < machines[b].Name })
	pools := map[kind]*pool{}
	for _, m := range machines {
		f.named[m.Name] = m
		k := kind{m.Owner, m.Type, m.Zone, m.Spot, m.Role}
		p := pools[k]
		if p == nil {
			p = &pool{kind: k}
			pools[k] = p
			f.pools = append(f.pools, p)
		}
		p.machines = append(p.machines, m)
		m.pool = p
		p.stale = true
	}
	return f
}

// Machine finds a machine by name; nil if it is not known.
func (f *Fleet) Machine(name string) *Machine { return f.named[name] }

// Refresh enters every machine anew and sums up the pools.
func (f *Fleet) Refresh() {
	for _, m := range f.Machines {
		m.Enter()
	}
	f.Rewind()
}

// Rewind undoes what a pass has placed and planned, and sums up the pools whose
// machines have changed.
func (f *Fleet) Rewind() {
	for _, m := range f.changed {
		m.rewind()
	}
	f.changed = f.changed[:0]
	for _, p := range f.pools {
		if p.stale {
			p.sum()
		}
	}
}

// change notes that a pass changes a machine.
func (f *Fleet) change(m *Machine) {
	if !m.changed {
		m.changed = true
		f.changed = append(f.changed, m)
	}
}

// sum works out what the pool's machines have in common.
func (p *pool) sum() {
	p.stale = false
	p.room, p.freeing, p.worst = jobs.Resources{}, false, -1
	for _, m := range p.machines {
		if !m.Open {
			continue
		}
		p.room = p.room.Max(m.Free)
		p.freeing = p.freeing || m.Freeing.GPUs > 0 || m.Freeing.CPUs > 0 || m.Freeing.RAM > 0
		p.worst = max(p.worst, m.entered.worst)
	}
}

// mayHold reports whether some machine might have room for a task of the job.
func (f *Fleet) mayHold(j *jobs.Job) bool {
	for _, p := range f.pools {
		if p.suits(j) && j.Need.Fits(p.room) {
			return true
		}
	}
	return false
}

// Zones counts the live claims of a job per zone. A machine that is not known
// counts for the zone "": such a job gets no constrained placement.
func (f *Fleet) Zones(j *jobs.Job) map[string]int {
	out := map[string]int{}
	for _, t := range j.Live {
		zone := ""
		if m := f.named[t.Host]; m != nil {
			zone = m.Zone
		}
		out[zone]++
	}
	return out
}
