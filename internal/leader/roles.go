// This file chooses the roles of machines: the first one, and the moves.

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

// RecordArrivals enters new service jobs in the role controllers' demand, and new
// batch jobs in that of the headroom. The caller holds the lock.
func (ld *Loop) RecordArrivals(state *State, now time.Time) {
	for _, machineType := range ld.MachineTypeList {
		if state.roleControllers[machineType.Label] == nil {
			state.roleControllers[machineType.Label] = roles.New(ld.Settings.Operator, now)
		}
	}
	for jobID, job := range ld.Table.Open {
		if state.seenJobs[jobID] {
			continue
		}
		state.seenJobs[jobID] = true
		if !job.Service() {
			state.recordBatchArrival(job, now)
		} else if now.Sub(job.FirstSeen) <= tuning.RoleStep { // else it was there before this term
			ld.recordServiceArrival(state, job, now)
		}
	}
	for jobID := range state.seenJobs {
		if ld.Table.Open[jobID] == nil {
			delete(state.seenJobs, jobID)
		}
	}
}

// recordBatchArrival enters a new job array in the mean size of those of the typical
// class.
func (ls *State) recordBatchArrival(job *jobs.Job, now time.Time) {
	if ls.batchLoad.Spec == nil || ls.batchLoad.Spec.Class == job.Record.Spec.Class {
		size := min(float64(job.Record.Tasks), tuning.TasksPerJob)
		if ls.meanArraySize == 0 {
			ls.meanArraySize = size
		}
		ls.meanArraySize += (size - ls.meanArraySize) * tuning.BatchSizeAlpha
	}
	ls.lastArrayAt = now
}

// recordServiceArrival enters a new service job with the role controller of every
// type that it may use. The caller holds the lock.
func (ld *Loop) recordServiceArrival(state *State, job *jobs.Job, now time.Time) {
	for _, machineType := range ld.MachineTypeList {
		if jobs.AllowsMachineType(job.Record.Spec, machineType.Label) {
			load := job.Need.Share(machineCapacity(machineType)) * float64(job.Record.Tasks)
			state.roleControllers[machineType.Label].Arrive(now, load)
		}
	}
}

// MoveRoles evaluates every type's split and returns the moves that follow. The
// caller holds the lock.
func (ld *Loop) MoveRoles(state *State, machines *placement.Fleet, now time.Time) []inventory.RecordChange {
	var moves []inventory.RecordChange
	for _, machineType := range ld.MachineTypeList {
		controller := state.roleControllers[machineType.Label]
		if controller == nil {
			continue
		}
		service, batch := ld.movableMachines(machineType.Label, machines)
		serviceMachine := roles.ServiceMachineToMove(service)
		fits := func() bool { return serviceMachine != nil && tasksFitElsewhere(machines, serviceMachine, false) }
		decision := controller.Evaluate(now, ld.describeSplit(machineType, machines), fits)
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

// movableMachines lists the on-demand machines of a type that are up, by role.
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

// logRoleDecision logs an evaluation of a type's split.
func (ld *Loop) logRoleDecision(machineType string, decision roles.Decision) {
	ld.Log.Debug(logging.EventRoleSplitEvaluated, logging.KeyMachineType, machineType, logging.KeyBatchMachines, decision.Batch, logging.KeyServiceMachines, decision.Service, logging.KeyBatchLoad, decision.BatchLoad,
		logging.KeyServiceLoad, decision.ServiceLoad, logging.KeyProposal, string(decision.Proposal.Direction), logging.KeyRule, string(decision.Proposal.Rule),
		logging.KeyConfirmations, decision.Confirmations, logging.KeyGate, string(decision.Gate), logging.KeyEvidenceOpen, decision.EvidenceOpen)
}

// appendMove adds the move of a machine to a role; nil: there is none to move.
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

// tasksFitElsewhere reports whether all service tasks of a machine have room on the
// others at once; withImage: on machines that hold their images. It leaves the fleet
// as it was.
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
		target := placement.FitElsewhere(fleet, task.Job, task.ID.Task, from.Name)
		if target == nil || withImage && !target.HasImage(task.Job.Record.Spec.Image) {
			return false
		}
		target.Free = target.Free.Sub(task.Job.Need)
		booked = append(booked, booking{target, task.Job.Need})
	}
	return true
}

// initialRole is the role of a machine that is new to the store: what it was scaled
// out for; else what the role floors lack, then what waits, then services. added are
// the record changes of the same list, which are not stored yet. The caller holds
// the lock.
func (ld *Loop) initialRole(state *State, machine wire.Machine, added []inventory.RecordChange) placement.Role {
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
	// Services have on-demand machines only, and people wait for them; most batch
	// work may use spot machines, which are scaled out when it comes.
	return placement.Service
}

// countRoles counts the active on-demand machines of a type by role, those that are
// being added included.
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

// unplacedJobKinds reports whether service jobs, and whether others, have tasks without
// a place.
func (ld *Loop) unplacedJobKinds() (services, batch bool) {
	for jobID := range ld.scheduler.Unplaced {
		if job := ld.Table.Open[jobID]; job != nil && job.Service() {
			services = true
		} else if job != nil {
			batch = true
		}
	}
	return services, batch
}
