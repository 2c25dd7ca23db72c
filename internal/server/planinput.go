// This file builds the input of the capacity plan.

package server

import (
	"sort"
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// movable finds the service machines, the emptiest first, whose tasks have
// room elsewhere; only a few are looked at.
func (n *Node) movable(f *place.Fleet) map[string]bool {
	var list []*place.Machine
	for _, m := range f.Machines {
		if m.Schedulable && m.Role == place.Service && len(m.Tasks) > 0 {
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return len(list[a].Tasks) < len(list[b].Tasks) })
	out := map[string]bool{}
	for _, m := range list[:min(len(list), max(tuning.DrainableTries, int(float64(len(list))*tuning.DrainingShare)))] {
		if fitElsewhere(f, m, true) {
			out[m.Name] = true
		}
	}
	return out
}

// planInput builds the capacity plan's input; mu is held.
func (n *Node) planInput(l *leading, machines *place.Fleet, now time.Time) fleet.Input {
	b := n.newPlanBuilder(l, machines, now)
	l.lost = nil
	for _, m := range machines.Machines {
		b.addMachine(m)
	}
	b.input.MaxDraining = int(float64(b.serving) * tuning.DrainingShare)
	b.addRented()
	b.addHeadroom()
	b.addActiveRoles()
	b.addUntried()
	b.input.MaxGroups = n.groupsNow()
	b.input.Demands = append(b.input.Demands, n.tasksAtRisk(machines, b.heard, now)...)
	b.addUnmet()
	return b.input
}

// planBuilder puts the input of one capacity plan together. It lives while mu
// is held, and so do all of its methods run.
type planBuilder struct {
	node    *Node
	leader  *leading
	now     time.Time
	lease   time.Duration            // after which a machine's lease has ended for certain
	heard   map[string]time.Duration // how long ago each machine was heard by its owner
	movable map[string]bool          // service machines whose tasks have room elsewhere
	batch   map[string]*heldBatch    // what batch tasks hold, by class
	serving int                      // service machines that take tasks
	input   fleet.Input
}

func (n *Node) newPlanBuilder(l *leading, machines *place.Fleet, now time.Time) *planBuilder {
	return &planBuilder{
		node:    n,
		leader:  l,
		now:     now,
		lease:   time.Duration(float64(n.set.Lease())*tuning.DriftFactor) + tuning.LeaseMargin,
		heard:   n.lastHeard(now),
		movable: n.movable(machines),
		batch:   map[string]*heldBatch{},
		input: fleet.Input{
			Now:             now,
			Operator:        n.set.Operator,
			Types:           n.types,
			NoCapacitySince: l.refused,
			SurplusSince:    l.surplusSince,
		},
	}
}

// addMachine enters a machine that has a record: what its tasks hold, and itself
// if it is neither drained nor given back.
func (b *planBuilder) addMachine(m *place.Machine) {
	phase := b.node.reg.Machines[m.Name].Phase
	b.noteHeard(m)
	unit := b.unit(m, phase)
	b.addHeld(m)
	if m.Schedulable && m.Role == place.Service {
		b.serving++
	}
	draining := phase == fleet.Draining && len(m.Tasks) > 0
	if draining && m.Role == place.Service {
		b.input.Draining++
	}
	if draining && (unit.Missing || unit.Silent) {
		b.leader.lost = append(b.leader.lost, m.Name)
	}
	if phase == fleet.Active {
		b.input.Machines = append(b.input.Machines, unit)
	}
}

// noteHeard notes when a machine was last heard.
func (b *planBuilder) noteHeard(m *place.Machine) {
	if age, ok := b.heard[m.Name]; ok {
		b.leader.hear(m.Name, b.now.Add(-age))
		return
	}
	listed, isListed := b.leader.listed[m.Name]
	running := len(m.Tasks) > 0 || isListed && listed.State == wire.MachineRunning
	if _, ok := b.leader.heard[m.Name]; !ok && running {
		// Up, but not heard under this leader yet: its time begins now.
		b.leader.hear(m.Name, b.now)
	}
}

// unit describes a machine to the plan, and notes since when it is idle or unfit.
func (b *planBuilder) unit(m *place.Machine, phase fleet.Phase) fleet.Machine {
	_, wasUp := b.leader.heard[m.Name]
	quiet := b.quietFor(m.Name)
	missing := time.Duration(tuning.MissingHeartbeats * float64(b.node.set.Report()))
	unit := fleet.Machine{
		Name:             m.Name,
		Kind:             fleet.MachineKind{MachineType: m.Type, Zone: m.Zone, Spot: m.Spot},
		Role:             m.Role,
		Schedulable:      m.Schedulable,
		Booting:          !wasUp && phase == fleet.Active,
		Age:              b.age(m.Name),
		Idle:             b.idleFor(m, phase),
		Movable:          b.movable[m.Name],
		Claims:           len(m.Tasks),
		Free:             m.Free,
		Silent:           wasUp && quiet > 2*b.lease,
		Missing:          b.leader.absent[m.Name] >= tuning.MissingLists && wasUp && quiet > missing,
		HeartbeatOverdue: wasUp && quiet > b.node.silentAfter(),
		Group:            b.node.reg.KeyOf(m.Name),
	}
	unit.Quarantined = b.unfitTooLong(m, phase, unit.Booting) || b.failing(m)
	return unit
}

// quietFor is how long ago a machine was last heard by anybody.
func (b *planBuilder) quietFor(host string) time.Duration {
	return b.now.Sub(b.leader.heard[host])
}

// age is how old a machine is by the cloud's last list, 0 if it is not on it.
func (b *planBuilder) age(host string) time.Duration {
	listed, ok := b.leader.listed[host]
	if !ok {
		return 0
	}
	return time.Duration(listed.AgeS*float64(time.Second)) + b.now.Sub(b.leader.listAt)
}

// idleFor is how long a machine has had no claims, and notes when that began.
func (b *planBuilder) idleFor(m *place.Machine, phase fleet.Phase) time.Duration {
	if len(m.Tasks) > 0 || phase != fleet.Active {
		delete(b.leader.idle, m.Name)
		return 0
	}
	since, ok := b.leader.idle[m.Name]
	if !ok {
		since = b.now
		b.leader.idle[m.Name] = since
	}
	return b.now.Sub(since)
}

// unfitTooLong reports whether a machine has long reported and taken no tasks,
// for instance because it does not hear: another takes its place. It notes when
// that began.
func (b *planBuilder) unfitTooLong(m *place.Machine, phase fleet.Phase, booting bool) bool {
	if m.Schedulable || booting || phase != fleet.Active || b.quietFor(m.Name) > b.node.silentAfter() {
		delete(b.leader.unfit, m.Name)
		return false
	}
	since, ok := b.leader.unfit[m.Name]
	if !ok {
		b.leader.unfit[m.Name] = b.now
		return false
	}
	return b.now.Sub(since) > tuning.QuarantineLeases*b.lease
}

// failing reports whether too many tasks failed lately on a machine of this node.
func (b *planBuilder) failing(m *place.Machine) bool {
	w := b.node.workers[m.Name]
	return m.Owner == b.node.self.Label && w != nil && len(w.FailedJobs) >= tuning.MachineFailuresMax
}

// addRented enters the machines that were hired and have no record yet.
func (b *planBuilder) addRented() {
	for host, rented := range b.leader.rented {
		if _, known := b.node.reg.Machines[host]; known || b.now.Sub(rented.at) > time.Minute {
			delete(b.leader.rented, host)
			continue
		}
		t := b.node.machineTypes[rented.kind.MachineType]
		b.input.Machines = append(b.input.Machines, fleet.Machine{
			Name:    host,
			Kind:    rented.kind,
			Role:    rented.role,
			Booting: true,
			Age:     b.now.Sub(rented.at),
			Free:    jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB},
		})
	}
}

// lastHeard is how long ago each machine was heard by its owner.
func (n *Node) lastHeard(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for host, w := range n.workers {
		if !w.LastHeard.IsZero() {
			out[host] = now.Sub(w.LastHeard)
		}
	}
	for _, s := range n.siblings {
		if s.seenAt.IsZero() || now.Sub(s.seenAt) > 5*tuning.PeerFresh {
			continue
		}
		for name, h := range s.hosts {
			if h.Silent {
				continue // entered when it was told
			}
			age := now.Sub(s.seenAt)
			if old, ok := out[name]; !ok || age < old {
				out[name] = age
			}
		}
	}
	return out
}
