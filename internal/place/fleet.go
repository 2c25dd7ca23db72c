package place

import (
	"sort"

	"wheatspur/internal/jobs"
)

// Fleet indexes the machines of a pass: by name, and in pools of machines that
// are alike for every job, so that a job looks only at those it may use. It is
// built when machines, roles or owners change, and refreshed before each pass.
type Fleet struct {
	Machines []*Machine // by name
	named    map[string]*Machine
	pools    []*pool
	scratch  []candidate // of the last search, for its memory
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
	}
	return f
}

// Machine finds a machine by name; nil if it is not known.
func (f *Fleet) Machine(name string) *Machine { return f.named[name] }

// Refresh sums up the pools after their machines' tasks, room and images were
// entered.
func (f *Fleet) Refresh() {
	for _, p := range f.pools {
		p.room, p.freeing, p.worst = jobs.Resources{}, false, -1
		for _, m := range p.machines {
			m.Refresh()
			if !m.Open {
				continue
			}
			p.room = p.room.Max(m.Free)
			p.freeing = p.freeing || m.Freeing.GPUs > 0 || m.Freeing.CPUs > 0 || m.Freeing.RAM > 0
			for _, r := range m.Tasks {
				if r.Job.Record.Spec != nil && !r.Stopping {
					p.worst = max(p.worst, r.Job.Priority)
				}
			}
		}
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
