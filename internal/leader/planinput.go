// This file builds the input of the capacity plan.

package leader

import (
	"slices"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// PlanInput builds the input of the capacity plan. The caller holds the lock.
func (ld *Loop) PlanInput(state *TermState, machines *placement.Fleet, now time.Time) autoscale.Input {
	b := ld.newPlanBuilder(state, machines, now)
	state.LostWhileDraining = nil
	for _, machine := range machines.Machines {
		b.addMachine(machine)
	}
	b.input.MaxDraining = int(float64(b.serviceMachines) * tuning.DrainingShare)
	b.addScalingOut()
	b.addBatchLoads()
	b.addActiveRoles()
	b.addNotScheduledYet()
	b.input.MaxGroups = ld.groupWriteBudget()
	b.input.Demands = append(b.input.Demands, ld.tasksAtRisk(machines, b.sinceHeard, now)...)
	b.addUnplaced()
	return b.input
}

// planBuilder builds the input of one capacity plan. It is used only while the lock is held, and
// all its methods require the lock.
type planBuilder struct {
	loop            *Loop
	state           *TermState
	now             time.Time
	lease           time.Duration              // time after which a worker's lease has certainly expired
	sinceHeard      map[string]time.Duration   // how long ago each machine was heard by its owner
	movable         map[string]bool            // service machines whose tasks have room elsewhere
	batchClasses    map[string]*batchClassLoad // load of the batch tasks on machines, by class
	serviceMachines int                        // number of schedulable service machines
	input           autoscale.Input
}

// newPlanBuilder returns a builder for the input of a plan.
func (ld *Loop) newPlanBuilder(state *TermState, machines *placement.Fleet, now time.Time) *planBuilder {
	return &planBuilder{
		loop:         ld,
		state:        state,
		now:          now,
		lease:        time.Duration(float64(ld.Settings.WorkerLease())*tuning.DriftFactor) + tuning.LeaseMargin,
		sinceHeard:   ld.Peers.TimeSinceHeard(now),
		movable:      movableServiceMachines(machines),
		batchClasses: map[string]*batchClassLoad{},
		input: autoscale.Input{
			Now:            now,
			Operator:       ld.Settings.Operator,
			Types:          ld.MachineTypeList,
			LastNoCapacity: state.noCapacityAt,
			SurplusSince:   state.surplusSince,
		},
	}
}

// movableServiceMachines returns the service machines whose tasks have room on other machines. It
// checks only a limited number of candidates, those with the fewest tasks first.
func movableServiceMachines(fleet *placement.Fleet) map[string]bool {
	var candidates []*placement.Machine
	for _, machine := range fleet.Machines {
		if machine.Schedulable && machine.Role == placement.Service && len(machine.Tasks) > 0 {
			candidates = append(candidates, machine)
		}
	}
	slices.SortStableFunc(candidates, func(x, y *placement.Machine) int { return len(x.Tasks) - len(y.Tasks) })
	tries := max(tuning.MinDrainChecks, int(float64(len(candidates))*tuning.DrainingShare))
	movable := map[string]bool{}
	for _, machine := range candidates[:min(len(candidates), tries)] {
		if tasksFitElsewhere(fleet, machine, true) {
			movable[machine.Name] = true
		}
	}
	return movable
}

// addMachine adds the tasks of a machine that has a record, and the machine itself if it is neither
// draining nor terminated.
func (b *planBuilder) addMachine(machine *placement.Machine) {
	phase := b.loop.Inventory.Machines[machine.Name].Phase
	b.updateLastHeard(machine)
	described := b.describeMachine(machine, phase)
	b.addTaskLoads(machine)
	if machine.Schedulable && machine.Role == placement.Service {
		b.serviceMachines++
	}
	draining := phase == inventory.Draining && len(machine.Tasks) > 0
	if draining && machine.Role == placement.Service {
		b.input.Draining++
	}
	if draining && (described.Missing || described.Silent) {
		b.state.LostWhileDraining = append(b.state.LostWhileDraining, machine.Name)
	}
	if phase == inventory.Active {
		b.input.Machines = append(b.input.Machines, described)
	}
}

// updateLastHeard updates the time when a machine was last heard.
func (b *planBuilder) updateLastHeard(machine *placement.Machine) {
	if age, ok := b.sinceHeard[machine.Name]; ok {
		b.state.updateLastHeard(machine.Name, b.now.Add(-age))
		return
	}
	listed, isListed := b.state.listed[machine.Name]
	running := len(machine.Tasks) > 0 || isListed && listed.State == wire.MachineRunning
	if _, ok := b.state.LastHeardAt[machine.Name]; !ok && running {
		// The machine is up, but this leader does not know when it was last heard. Its silence is
		// measured from now.
		b.state.updateLastHeard(machine.Name, b.now)
	}
}

// describeMachine returns the plan's view of a machine, and records since when it is idle or
// quarantined.
func (b *planBuilder) describeMachine(machine *placement.Machine, phase inventory.Phase) autoscale.Machine {
	_, wasUp := b.state.LastHeardAt[machine.Name]
	silentFor := b.silentFor(machine.Name)
	missingAfter := time.Duration(tuning.MissingHeartbeats * float64(b.loop.Settings.HeartbeatInterval()))
	described := autoscale.Machine{
		Name:             machine.Name,
		Kind:             autoscale.MachineKind{MachineType: machine.Type, Zone: machine.Zone, Spot: machine.Spot},
		Role:             machine.Role,
		Schedulable:      machine.Schedulable,
		Booting:          !wasUp && phase == inventory.Active,
		Age:              b.age(machine.Name),
		Idle:             b.idleFor(machine, phase),
		Movable:          b.movable[machine.Name],
		Claims:           len(machine.Tasks),
		Free:             machine.Free,
		Silent:           wasUp && silentFor > tuning.FailedLeases*b.lease,
		Missing:          b.state.MissingLists[machine.Name] >= tuning.MissingLists && wasUp && silentFor > missingAfter,
		HeartbeatOverdue: wasUp && silentFor > b.loop.SilenceTimeout(),
		RecordKey:        b.loop.Inventory.RecordKey(machine.Name),
	}
	described.Quarantined = b.quarantinedTooLong(machine, phase, described.Booting) || b.hasFailingTasks(machine)
	return described
}

// silentFor returns how long ago a machine was last heard by any controller.
func (b *planBuilder) silentFor(machine string) time.Duration {
	return b.now.Sub(b.state.LastHeardAt[machine])
}

// age returns the age of a machine according to the cloud's last list, or 0 if the machine is not
// listed.
func (b *planBuilder) age(machine string) time.Duration {
	listed, ok := b.state.listed[machine]
	if !ok {
		return 0
	}
	return time.Duration(listed.AgeS*float64(time.Second)) + b.now.Sub(b.state.ListedAt)
}

// idleFor returns how long a machine has had no tasks, and records since when.
func (b *planBuilder) idleFor(machine *placement.Machine, phase inventory.Phase) time.Duration {
	if len(machine.Tasks) > 0 || phase != inventory.Active {
		delete(b.state.idleSince, machine.Name)
		return 0
	}
	since, ok := b.state.idleSince[machine.Name]
	if !ok {
		since = b.now
		b.state.idleSince[machine.Name] = since
	}
	return b.now.Sub(since)
}

// quarantinedTooLong reports whether a machine has sent heartbeats for more than QuarantineLeases
// lease times without being schedulable, for instance because it receives no commands. Such a
// machine is replaced. The method records since when the machine is in this condition.
func (b *planBuilder) quarantinedTooLong(machine *placement.Machine, phase inventory.Phase, booting bool) bool {
	if machine.Schedulable || booting || phase != inventory.Active || b.silentFor(machine.Name) > b.loop.SilenceTimeout() {
		delete(b.state.quarantinedSince, machine.Name)
		return false
	}
	since, ok := b.state.quarantinedSince[machine.Name]
	if !ok {
		b.state.quarantinedSince[machine.Name] = b.now
		return false
	}
	return b.now.Sub(since) > tuning.QuarantineLeases*b.lease
}

// hasFailingTasks reports whether tasks of too many jobs have failed on a machine of this
// controller since the last task that succeeded there.
func (b *planBuilder) hasFailingTasks(machine *placement.Machine) bool {
	w := b.loop.Workers.ByMachine[machine.Name]
	return machine.Owner == b.loop.Self.Label && w != nil && len(w.FailedJobs) >= tuning.MachineFailuresMax
}

// addScalingOut adds the machines that were scaled out and have no record yet.
func (b *planBuilder) addScalingOut() {
	for machine, request := range b.state.ScalingOut {
		if _, stored := b.loop.Inventory.Machines[machine]; stored || b.now.Sub(request.requestedAt) > tuning.UnlistedBootLimit {
			delete(b.state.ScalingOut, machine)
			continue
		}
		b.input.Machines = append(b.input.Machines, autoscale.Machine{
			Name:    machine,
			Kind:    request.kind,
			Role:    request.Role,
			Booting: true,
			Age:     b.now.Sub(request.requestedAt),
			Free:    machineCapacity(b.loop.MachineTypes[request.kind.MachineType]),
		})
	}
}
