// This file describes how the machines of a type are split between the roles, as input for the role
// balancers.

package leader

import (
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// describeSplit describes the on-demand machines of one type and the demand for them. The caller
// holds the lock.
func (ld *Loop) describeSplit(machineType wire.MachineType, machines *placement.Fleet) roles.Split {
	b := splitBuilder{
		loop:        ld,
		machineType: machineType,
		split:       roles.Split{MachineType: machineType.Label, DemandComplete: ld.allMemberStatusesFresh()},
		upByType:    map[string]int{},
	}
	for _, machine := range machines.Machines {
		if ld.Inventory.Machines[machine.Name].Phase == inventory.Active {
			b.addMachine(machine)
		}
	}
	for jobID, tasks := range ld.scheduler.Unplaced {
		job := ld.Table.Jobs[jobID]
		if job != nil && job.Record.Spec != nil && jobs.AllowsMachineType(job.Record.Spec, machineType.Label) {
			b.addUnplaced(job, tasks)
		}
	}
	return b.split
}

// allMemberStatusesFresh reports whether the status of every other member is fresh. The
// caller holds the lock.
func (ld *Loop) allMemberStatusesFresh() bool {
	for _, sibling := range ld.Peers.Siblings {
		node := membership.Controller{Label: sibling.Settings.Label, Incarnation: sibling.Status.Incarnation}
		if ld.Membership.Contains(node) && !ld.Peers.IsFresh(sibling) {
			return false
		}
	}
	return true
}

// splitBuilder builds the description of the split of one machine type. It is used only while the
// lock is held.
type splitBuilder struct {
	loop             *Loop
	machineType      wire.MachineType
	split            roles.Split
	upByType         map[string]int   // machines of any role that are up, by type
	bootingBatchRoom []jobs.Resources // free resources of each batch machine of the type that is booting
}

// addMachine adds an active machine of any type. Only machines that are up count as machines of a
// role and can be moved; when booting machines were counted, queued work that waited for them
// looked like a lack of batch machines.
func (b *splitBuilder) addMachine(machine *placement.Machine) {
	matchesType := machine.Type == b.machineType.Label
	if !machine.Schedulable && len(machine.Tasks) == 0 {
		if matchesType {
			b.addBooting(machine)
		}
		return
	}
	b.upByType[machine.Type]++
	if !matchesType {
		return
	}
	switch {
	case machine.Spot:
		b.split.Spot++
	case machine.Role == placement.Service:
		b.split.Service++
	default:
		b.split.Batch++
	}
	for _, task := range machine.Tasks {
		if isOpenServiceTask(task) {
			b.split.ServiceDemand += task.Job.TaskResources.Share(machine.Total)
		}
	}
}

// addBooting adds a machine of the type that does not take tasks yet.
func (b *splitBuilder) addBooting(machine *placement.Machine) {
	if machine.Role == placement.Batch {
		b.bootingBatchRoom = append(b.bootingBatchRoom, machine.Free)
	}
	switch {
	case machine.Spot:
	case machine.Role == placement.Batch:
		b.split.BatchBooting++
	default:
		b.split.ServiceBooting++
	}
}

// addUnplaced adds the demand of the unplaced tasks of a job that may use the type, except for
// batch tasks that fit on booting machines. The demand is divided between the types that the job
// may use in proportion to their machines that are up.
func (b *splitBuilder) addUnplaced(job *jobs.Job, tasks int) {
	if !job.IsService() {
		tasks = b.placeOnBooting(job, tasks)
	}
	usable := 0
	for label, machines := range b.upByType {
		if jobs.AllowsMachineType(job.Record.Spec, label) {
			usable += machines
		}
	}
	if usable == 0 {
		return
	}
	load := float64(tasks) * job.TaskResources.Share(machineCapacity(b.machineType)) * float64(b.upByType[b.machineType.Label]) / float64(usable)
	if job.IsService() {
		b.split.ServiceDemand += load
	} else {
		b.split.QueuedBatchSeconds += load * job.Record.Spec.EstimateS
	}
}

// placeOnBooting reserves room for tasks on the booting batch machines, and returns the number of
// tasks left over.
func (b *splitBuilder) placeOnBooting(job *jobs.Job, tasks int) int {
	for i := range b.bootingBatchRoom {
		for tasks > 0 && job.TaskResources.Fits(b.bootingBatchRoom[i]) {
			b.bootingBatchRoom[i] = b.bootingBatchRoom[i].Sub(job.TaskResources)
			tasks--
		}
	}
	return tasks
}

// machineCapacity returns the total resources of a machine of the type.
func machineCapacity(machineType wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAM: machineType.RAMGB}
}

// isOpenServiceTask reports whether a task belongs to a service job that is open.
func isOpenServiceTask(task placement.ClaimedTask) bool {
	return task.Job.IsService() && task.Job.Phase == jobs.Open
}
