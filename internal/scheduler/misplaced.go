// This file evicts service tasks from machines that should no longer run them.

package scheduler

import (
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// evictMisplacedServices evicts a service task from a machine of this controller that should no
// longer run it, once another machine has room. Tasks are evicted one at a time, and none while
// service tasks are unplaced, since those have priority. The caller holds the lock.
func (sc *Scheduler) evictMisplacedServices(fleet *placement.Fleet) {
	if hasStoppingServiceTask(fleet) || sc.hasUnplacedServiceTasks() {
		return
	}
	attempts := 0
	for _, machine := range fleet.Machines {
		if machine.Owner != sc.Self.Label || !sc.mustLoseServiceTasks(machine) {
			continue
		}
		for _, task := range machine.Tasks {
			if !isOpenServiceTask(task) || task.Stopping {
				continue
			}
			if attempts++; attempts > tuning.MaxEvictionTries {
				return
			}
			if placement.FindOtherMachine(fleet, task.Job, task.ID.Task, machine.Name) != nil {
				sc.evict(machine, task)
				return
			}
		}
	}
}

// isOpenServiceTask reports whether a task belongs to a service job that is open.
func isOpenServiceTask(task placement.ClaimedTask) bool {
	return task.Job.IsService() && task.Job.Phase == jobs.Open
}

// hasStoppingServiceTask reports whether a task of an open service is being stopped on any machine.
func hasStoppingServiceTask(fleet *placement.Fleet) bool {
	for _, machine := range fleet.Machines {
		for _, task := range machine.Tasks {
			if task.Stopping && isOpenServiceTask(task) {
				return true
			}
		}
	}
	return false
}

// hasUnplacedServiceTasks reports whether the last pass left service tasks unplaced.
func (sc *Scheduler) hasUnplacedServiceTasks() bool {
	for jobID := range sc.Unplaced {
		if job := sc.Table.Jobs[jobID]; job != nil && job.IsService() {
			return true
		}
	}
	return false
}

// mustLoseServiceTasks reports whether a machine of this controller should no longer run service
// tasks: it is not active, has another role now, or has been announced for termination.
func (sc *Scheduler) mustLoseServiceTasks(machine *placement.Machine) bool {
	w := sc.Workers.ByMachine[machine.Name]
	if w == nil {
		return false // the worker has not sent a heartbeat yet
	}
	return machine.Role != placement.Service || sc.Inventory.Machines[machine.Name].Phase != inventory.Active || !w.TerminationAt.IsZero()
}

// evict stops a service task, so that it is placed again.
func (sc *Scheduler) evict(machine *placement.Machine, task placement.ClaimedTask) {
	sc.Workers.StopTask(sc.Workers.ByMachine[machine.Name], task.ID)
	sc.Log.Info(logging.EventServiceTaskEvicted, logging.KeyTask, task.ID, logging.KeyMachine, machine.Name,
		logging.KeyRole, string(machine.Role), logging.KeyPhase, string(sc.Inventory.Machines[machine.Name].Phase))
}
