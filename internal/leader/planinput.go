// This file builds the input of the capacity plan.

package leader

import (
	"sort"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// drainable finds the service machines, the emptiest first, whose tasks have
// room elsewhere; only a few are looked at.
func (ld *Loop) drainable(f *placement.Fleet) map[string]bool {
	var list []*placement.Machine
	for _, m := range f.Machines {
		if m.Schedulable && m.Role == placement.Service && len(m.Tasks) > 0 {
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return len(list[a].Tasks) < len(list[b].Tasks) })
	out := map[string]bool{}
	for _, m := range list[:min(len(list), max(tuning.DrainableTries, int(float64(len(list))*tuning.DrainingShare)))] {
		if tasksFitElsewhere(f, m, true) {
			out[m.Name] = true
		}
	}
	return out
}

// PlanInput builds the capacity plan's input; the lock is held.
func (ld *Loop) PlanInput(l *leaderState, machines *placement.Fleet, now time.Time) autoscale.Input {
	b := ld.newPlanBuilder(l, machines, now)
	l.LostWhileDraining = nil
	for _, m := range machines.Machines {
		b.addMachine(m)
	}
	b.input.MaxDraining = int(float64(b.serviceMachines) * tuning.DrainingShare)
	b.addScalingOut()
	b.addHeadroom()
	b.addActiveRoles()
	b.addUntried()
	b.input.MaxGroups = ld.groupWriteBudget()
	b.input.Demands = append(b.input.Demands, ld.tasksAtRisk(machines, b.sinceHeard, now)...)
	b.addUnmet()
	return b.input
}

// planBuilder puts the input of one capacity plan together. It lives while the lock
// is held, and so do all of its methods run.
type planBuilder struct {
	leader          *Loop
	leaderState     *leaderState
	now             time.Time
	lease           time.Duration              // after which a machine's lease has ended for certain
	sinceHeard      map[string]time.Duration   // how long ago each machine was heard by its owner
	drainable       map[string]bool            // service machines whose tasks have room elsewhere
	batch           map[string]*batchClassLoad // what batch tasks hold, by class
	serviceMachines int                        // service machines that take tasks
	input           autoscale.Input
}

func (ld *Loop) newPlanBuilder(l *leaderState, machines *placement.Fleet, now time.Time) *planBuilder {
	return &planBuilder{
		leader:      ld,
		leaderState: l,
		now:         now,
		lease:       time.Duration(float64(ld.Settings.WorkerLease())*tuning.DriftFactor) + tuning.LeaseMargin,
		sinceHeard:  ld.Peers.LastHeardByOwners(now),
		drainable:   ld.drainable(machines),
		batch:       map[string]*batchClassLoad{},
		input: autoscale.Input{
			Now:             now,
			Operator:        ld.Settings.Operator,
			Types:           ld.MachineTypeList,
			NoCapacitySince: l.noCapacityAt,
			SurplusSince:    l.surplusSince,
		},
	}
}

// addMachine enters a machine that has a record: what its tasks hold, and itself
// if it is neither drained nor given back.
func (b *planBuilder) addMachine(m *placement.Machine) {
	phase := b.leader.Inventory.Machines[m.Name].Phase
	b.recordHeard(m)
	unit := b.describeMachine(m, phase)
	b.addClaimed(m)
	if m.Schedulable && m.Role == placement.Service {
		b.serviceMachines++
	}
	draining := phase == inventory.Draining && len(m.Tasks) > 0
	if draining && m.Role == placement.Service {
		b.input.Draining++
	}
	if draining && (unit.Missing || unit.Silent) {
		b.leaderState.LostWhileDraining = append(b.leaderState.LostWhileDraining, m.Name)
	}
	if phase == inventory.Active {
		b.input.Machines = append(b.input.Machines, unit)
	}
}

// recordHeard notes when a machine was last heard.
func (b *planBuilder) recordHeard(m *placement.Machine) {
	if age, ok := b.sinceHeard[m.Name]; ok {
		b.leaderState.recordHeard(m.Name, b.now.Add(-age))
		return
	}
	listed, isListed := b.leaderState.listed[m.Name]
	running := len(m.Tasks) > 0 || isListed && listed.State == wire.MachineRunning
	if _, ok := b.leaderState.LastHeard[m.Name]; !ok && running {
		// Up, but not heard under this leader yet: its time begins now.
		b.leaderState.recordHeard(m.Name, b.now)
	}
}

// describeMachine describes a machine to the plan, and notes since when it is idle or unfit.
func (b *planBuilder) describeMachine(m *placement.Machine, phase inventory.Phase) autoscale.Machine {
	_, wasUp := b.leaderState.LastHeard[m.Name]
	quiet := b.silentFor(m.Name)
	missing := time.Duration(tuning.MissingHeartbeats * float64(b.leader.Settings.HeartbeatInterval()))
	unit := autoscale.Machine{
		Name:             m.Name,
		Kind:             autoscale.MachineKind{MachineType: m.Type, Zone: m.Zone, Spot: m.Spot},
		Role:             m.Role,
		Schedulable:      m.Schedulable,
		Booting:          !wasUp && phase == inventory.Active,
		Age:              b.age(m.Name),
		Idle:             b.idleFor(m, phase),
		Movable:          b.drainable[m.Name],
		Claims:           len(m.Tasks),
		Free:             m.Free,
		Silent:           wasUp && quiet > 2*b.lease,
		Missing:          b.leaderState.MissingLists[m.Name] >= tuning.MissingLists && wasUp && quiet > missing,
		HeartbeatOverdue: wasUp && quiet > b.leader.SilenceTimeout(),
		Group:            b.leader.Inventory.KeyOf(m.Name),
	}
	unit.Quarantined = b.quarantinedTooLong(m, phase, unit.Booting) || b.hasFailingTasks(m)
	return unit
}

// silentFor is how long ago a machine was last heard by anybody.
func (b *planBuilder) silentFor(host string) time.Duration {
	return b.now.Sub(b.leaderState.LastHeard[host])
}

// age is how old a machine is by the cloud's last list, 0 if it is not on it.
func (b *planBuilder) age(host string) time.Duration {
	listed, ok := b.leaderState.listed[host]
	if !ok {
		return 0
	}
	return time.Duration(listed.AgeS*float64(time.Second)) + b.now.Sub(b.leaderState.ListedAt)
}

// idleFor is how long a machine has had no claims, and notes when that began.
func (b *planBuilder) idleFor(m *placement.Machine, phase inventory.Phase) time.Duration {
	if len(m.Tasks) > 0 || phase != inventory.Active {
		delete(b.leaderState.idleSince, m.Name)
		return 0
	}
	since, ok := b.leaderState.idleSince[m.Name]
	if !ok {
		since = b.now
		b.leaderState.idleSince[m.Name] = since
	}
	return b.now.Sub(since)
}

// quarantinedTooLong reports whether a machine has long reported and taken no tasks,
// for instance because it does not hear: another takes its place. It notes when
// that began.
func (b *planBuilder) quarantinedTooLong(m *placement.Machine, phase inventory.Phase, booting bool) bool {
	if m.Schedulable || booting || phase != inventory.Active || b.silentFor(m.Name) > b.leader.SilenceTimeout() {
		delete(b.leaderState.quarantinedSince, m.Name)
		return false
	}
	since, ok := b.leaderState.quarantinedSince[m.Name]
	if !ok {
		b.leaderState.quarantinedSince[m.Name] = b.now
		return false
	}
	return b.now.Sub(since) > tuning.QuarantineLeases*b.lease
}

// hasFailingTasks reports whether too many tasks failed lately on a machine of this node.
func (b *planBuilder) hasFailingTasks(m *placement.Machine) bool {
	w := b.leader.Workers.ByMachine[m.Name]
	return m.Owner == b.leader.Self.Label && w != nil && len(w.FailedJobs) >= tuning.MachineFailuresMax
}

// addScalingOut enters the machines that were hired and have no record yet.
func (b *planBuilder) addScalingOut() {
	for host, rented := range b.leaderState.ScalingOut {
		if _, known := b.leader.Inventory.Machines[host]; known || b.now.Sub(rented.requestedAt) > time.Minute {
			delete(b.leaderState.ScalingOut, host)
			continue
		}
		t := b.leader.MachineTypes[rented.kind.MachineType]
		b.input.Machines = append(b.input.Machines, autoscale.Machine{
			Name:    host,
			Kind:    rented.kind,
			Role:    rented.Role,
			Booting: true,
			Age:     b.now.Sub(rented.requestedAt),
			Free:    jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB},
		})
	}
}
