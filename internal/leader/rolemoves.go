// This file chooses the initial role of a machine and the moves between roles.

package leader

import (
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// RecordArrivals records new service jobs with the role balancers, and new batch jobs for the
// batch headroom. The caller holds the lock.
func (ld *Loop) RecordArrivals(state *TermState, now time.Time) {
	for _, machineType := range ld.MachineTypeList {
		if state.roleBalancers[machineType.Label] == nil {
			state.roleBalancers[machineType.Label] = roles.New(ld.Settings.Operator, now)
		}
	}
	for jobID, job := range ld.Table.Open {
		if state.seenJobs[jobID] {
			continue
		}
		state.seenJobs[jobID] = true
		if !job.IsService() {
			state.recordBatchArrival(job, now)
		} else if now.Sub(job.FirstSeen) <= tuning.RoleStep { // older jobs were open before this term
			ld.recordServiceArrival(state, job, now)
		}
	}
	for jobID := range state.seenJobs {
		if ld.Table.Open[jobID] == nil {
			delete(state.seenJobs, jobID)
		}
	}
}

// recordBatchArrival records the arrival of a job array, and updates the mean size of the arrays of
// the typical class.
func (ls *TermState) recordBatchArrival(job *jobs.Job, now time.Time) {
	if ls.batchLoad.Spec == nil || ls.batchLoad.Spec.Class == job.Record.Spec.Class {
		size := min(float64(job.Record.Tasks), tuning.TasksPerJob)
		if ls.meanArraySize == 0 {
			ls.meanArraySize = size
		}
		ls.meanArraySize += (size - ls.meanArraySize) * tuning.ArraySizeWeight
	}
	ls.lastArrayAt = now
}

// recordServiceArrival records the arrival of a service job with the role balancer of every
// machine type that the job may use. The caller holds the lock.
func (ld *Loop) recordServiceArrival(state *TermState, job *jobs.Job, now time.Time) {
	for _, machineType := range ld.MachineTypeList {
		if jobs.AllowsMachineType(job.Record.Spec, machineType.Label) {
			load := job.TaskResources.Share(machineCapacity(machineType)) * float64(job.Record.Tasks)
			state.roleBalancers[machineType.Label].RecordArrival(now, load)
		}
	}
}

// PlanRoleMoves evaluates the role split of every machine type and returns the record changes of
// the resulting moves. The caller holds the lock.
func (ld *Loop) PlanRoleMoves(state *TermState, machines *placement.Fleet, now time.Time) []inventory.RecordChange {
	var moves []inventory.RecordChange
	for _, machineType := range ld.MachineTypeList {
		balancer := state.roleBalancers[machineType.Label]
		if balancer == nil {
			continue
		}
		service, batch := ld.movableMachines(machineType.Label, machines)
		serviceMachine := roles.ServiceMachineToMove(service)
		fits := func() bool { return serviceMachine != nil && tasksFitElsewhere(machines, serviceMachine, false) }
		decision := balancer.Evaluate(now, ld.describeSplit(machineType, machines), fits)
		state.RoleDecisions[machineType.Label] = decision
		ld.logRoleDecision(machineType.Label, decision)
		switch decision.Move {
		case roles.ToBatch:
			moves = ld.appendMove(moves, serviceMachine, placement.Batch, decision)
		case roles.ToService:
			moves = ld.appendMove(moves, roles.BatchMachineToMove(batch), placement.Service, decision)
		}
	}
	return moves
}

// movableMachines returns the on-demand machines of a type that are up, by role.
func (ld *Loop) movableMachines(machineType string, machines *placement.Fleet) (service, batch []*placement.Machine) {
	for _, machine := range machines.Machines {
		if machine.Type != machineType || machine.Spot || ld.Inventory.Machines[machine.Name].Phase != inventory.Active || !machine.Schedulable && len(machine.Tasks) == 0 {
			continue
		}
		if machine.Role == placement.Service {
			service = append(service, machine)
		} else {
			batch = append(batch, machine)
		}
	}
	return service, batch
}

// logRoleDecision logs the evaluation of the split of a machine type.
func (ld *Loop) logRoleDecision(machineType string, decision roles.Decision) {
	ld.Log.Debug(logging.EventRoleSplitEvaluated, logging.KeyMachineType, machineType, logging.KeyBatchMachines, decision.Batch, logging.KeyServiceMachines, decision.Service, logging.KeyBatchLoad, decision.BatchLoad,
		logging.KeyServiceLoad, decision.ServiceLoad, logging.KeyProposal, string(decision.Proposal.Direction), logging.KeyRule, string(decision.Proposal.Rule),
		logging.KeyConfirmations, decision.Confirmations, logging.KeyGate, string(decision.Gate), logging.KeyEvidenceOpen, decision.EvidenceOpen)
}

// appendMove appends the record change that moves a machine to a role. It appends nothing if
// machine is nil.
func (ld *Loop) appendMove(moves []inventory.RecordChange, machine *placement.Machine, role placement.Role, decision roles.Decision) []inventory.RecordChange {
	if machine == nil {
		return moves
	}
	record := ld.Inventory.Machines[machine.Name]
	moved := record
	moved.Role, moved.Reason = role, string(decision.Proposal.Rule)
	ld.Log.Info(logging.EventMachineRoleChanged, logging.KeyMachine, machine.Name, logging.KeyMachineType, machine.Type, logging.KeyTarget, string(role), logging.KeyRule, string(decision.Proposal.Rule),
		logging.KeyBatchLoad, decision.BatchLoad, logging.KeyServiceLoad, decision.ServiceLoad)
	return append(moves, inventory.RecordChange{Machine: machine.Name, Before: &record, After: &moved})
}

// tasksFitElsewhere reports whether all service tasks of a machine have room on the other machines
// at the same time. With withImage, a task may only go to a machine that already has its image. The
// fleet is unchanged afterwards.
func tasksFitElsewhere(fleet *placement.Fleet, from *placement.Machine, withImage bool) bool {
	type booking struct {
		machine *placement.Machine
		need    jobs.Resources
	}
	var booked []booking
	defer func() {
		for _, b := range booked {
			b.machine.Free = b.machine.Free.Add(b.need)
		}
	}()
	for _, task := range from.Tasks {
		if !isOpenServiceTask(task) {
			continue
		}
		target := placement.FindOtherMachine(fleet, task.Job, task.ID.Task, from.Name)
		if target == nil || withImage && !target.HasImage(task.Job.Record.Spec.Image) {
			return false
		}
		target.Free = target.Free.Sub(task.Job.TaskResources)
		booked = append(booked, booking{target, task.Job.TaskResources})
	}
	return true
}

// initialRole returns the role of a machine that has no record yet: the role for which it was
// scaled out; else a role that is below its floor; else the batch role if only batch tasks are
// unplaced and it has fewer machines; else the service role. added holds the record changes from
// the same list, which are not stored yet. The caller holds the lock.
func (ld *Loop) initialRole(state *TermState, machine wire.Machine, added []inventory.RecordChange) placement.Role {
	if machine.Spot {
		return placement.Batch
	}
	if request, ok := state.ScalingOut[machine.Name]; ok {
		return request.Role
	}
	counts := ld.countRoles(machine.MachineType, added)
	services, batch := ld.unplacedJobKinds()
	switch {
	case counts[placement.Service] < tuning.RoleFloor:
		return placement.Service
	case counts[placement.Batch] < tuning.RoleFloor, batch && !services && counts[placement.Batch] < counts[placement.Service]:
		return placement.Batch
	}
	// Services use only on-demand machines, and users wait for them. Most batch jobs may use spot
	// machines, which are scaled out when the jobs arrive.
	return placement.Service
}

// countRoles counts the active on-demand machines of a type by role, including those in added.
func (ld *Loop) countRoles(machineType string, added []inventory.RecordChange) map[placement.Role]int {
	counts := map[placement.Role]int{}
	add := func(record inventory.Record) {
		if record.MachineType == machineType && !record.Spot && record.Phase == inventory.Active {
			counts[record.Role]++
		}
	}
	for _, record := range ld.Inventory.Machines {
		add(record)
	}
	for _, change := range added {
		add(*change.After)
	}
	return counts
}

// unplacedJobKinds reports whether service jobs have unplaced tasks, and whether batch jobs have.
func (ld *Loop) unplacedJobKinds() (services, batch bool) {
	for jobID := range ld.scheduler.Unplaced {
		if job := ld.Table.Open[jobID]; job != nil && job.IsService() {
			services = true
		} else if job != nil {
			batch = true
		}
	}
	return services, batch
}
