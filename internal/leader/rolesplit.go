// This file describes to the role controllers how a machine type is split between
// the roles.

package leader

import (
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// describeSplit describes one type's on-demand machines and the demand for them. The
// caller holds the lock.
func (ld *Loop) describeSplit(machineType wire.MachineType, machines *placement.Fleet) roles.Split {
	b := splitBuilder{
		loop:        ld,
		machineType: machineType,
		split:       roles.Split{Type: machineType.Label, Complete: ld.allMemberStatusesFresh()},
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
		node := membership.Node{Label: sibling.Settings.Label, Incarnation: sibling.Status.Incarnation}
		if ld.Membership.Contains(node) && !ld.Peers.IsFresh(sibling) {
			return false
		}
	}
	return true
}

// splitBuilder puts the description of one type's split together. It lives while the
// lock is held.
type splitBuilder struct {
	loop             *Loop
	machineType      wire.MachineType
	split            roles.Split
	upByType         map[string]int   // machines that take tasks, of any role, by type
	bootingBatchRoom []jobs.Resources // room on the type's batch machines that still boot
}

// addMachine enters an active machine of any type. Only machines that are up count,
// and only they move. Counting those that boot made queued work that waits for them
// look like a lack of batch machines.
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
			b.split.ServiceBooked += task.Job.Need.Share(machine.Total)
		}
	}
}

// addBooting enters a machine of the type that does not take tasks yet.
func (b *splitBuilder) addBooting(machine *placement.Machine) {
	if machine.Role == placement.Batch {
		b.bootingBatchRoom = append(b.bootingBatchRoom, machine.Free)
	}
	switch {
	case machine.Spot:
	case machine.Role == placement.Batch:
		b.split.BatchComing++
	default:
		b.split.ServiceComing++
	}
}

// addUnplaced enters the tasks without a place of a job that may use the type, but
// for the batch tasks that wait for machines that boot. The type's part of them is
// that of its machines among all that the job may use.
func (b *splitBuilder) addUnplaced(job *jobs.Job, tasks int) {
	if !job.Service() {
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
	load := float64(tasks) * job.Need.Share(machineCapacity(b.machineType)) * float64(b.upByType[b.machineType.Label]) / float64(usable)
	if job.Service() {
		b.split.ServiceBooked += load
	} else {
		b.split.BatchWork += load * job.Record.Spec.EstimateS
	}
}

// placeOnBooting gives tasks room on the machines that boot, and returns how many are
// left.
func (b *splitBuilder) placeOnBooting(job *jobs.Job, tasks int) int {
	for i := range b.bootingBatchRoom {
		for tasks > 0 && job.Need.Fits(b.bootingBatchRoom[i]) {
			b.bootingBatchRoom[i] = b.bootingBatchRoom[i].Sub(job.Need)
			tasks--
		}
	}
	return tasks
}

// machineCapacity is the room on a machine of the type that holds no task.
func machineCapacity(machineType wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAM: machineType.RAMGB}
}

// isOpenServiceTask reports whether a task belongs to a service that is to run on.
func isOpenServiceTask(task placement.ClaimedTask) bool {
	return task.Job.Service() && task.Job.Phase == jobs.Open
}
