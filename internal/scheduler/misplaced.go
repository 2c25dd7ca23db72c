// This file evicts service tasks from machines that are to lose them.

package scheduler

import (
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// evictMisplacedServices evicts a service task from a machine of this controller
// that is to lose it, once another machine has room. One task at a time, and none
// while service tasks wait for a place: those come first. The caller holds the lock.
func (sc *Scheduler) evictMisplacedServices(fleet *placement.Fleet) {
	if stoppingServiceTask(fleet) || sc.unplacedServices() {
		return
	}
	tries := 0
	for _, machine := range fleet.Machines {
		if machine.Owner != sc.Self.Label || !sc.misplacesServices(machine) {
			continue
		}
		for _, task := range machine.Tasks {
			if !openService(task) || task.Stopping {
				continue
			}
			if tries++; tries > tuning.MaxEvictionTries {
				return
			}
			if placement.FitElsewhere(fleet, task.Job, task.ID.Task, machine.Name) != nil {
				sc.evict(machine, task)
				return
			}
		}
	}
}

// openService reports whether a task belongs to a service that is to run on.
func openService(task placement.ClaimedTask) bool {
	return task.Job.Service() && task.Job.Phase == jobs.Open
}

// stoppingServiceTask reports whether a service task is being stopped anywhere.
func stoppingServiceTask(fleet *placement.Fleet) bool {
	for _, machine := range fleet.Machines {
		for _, task := range machine.Tasks {
			if task.Stopping && openService(task) {
				return true
			}
		}
	}
	return false
}

// unplacedServices reports whether the last pass left service tasks without a place.
func (sc *Scheduler) unplacedServices() bool {
	for jobID := range sc.Unplaced {
		if job := sc.Table.Jobs[jobID]; job != nil && job.Service() {
			return true
		}
	}
	return false
}

// misplacesServices reports whether a machine of this controller is to lose its
// service tasks: it is drained, of another role now, or about to be taken away.
func (sc *Scheduler) misplacesServices(machine *placement.Machine) bool {
	w := sc.Workers.ByMachine[machine.Name]
	if w == nil {
		return false // not heard yet
	}
	return machine.Role != placement.Service || sc.Inventory.Machines[machine.Name].Phase != inventory.Active || !w.TerminationAt.IsZero()
}

// evict stops a service task so that it is placed anew.
func (sc *Scheduler) evict(machine *placement.Machine, task placement.ClaimedTask) {
	sc.Workers.StopTask(sc.Workers.ByMachine[machine.Name], task.ID)
	sc.Log.Info(logging.EventServiceTaskEvicted, logging.KeyTask, task.ID, logging.KeyMachine, machine.Name,
		logging.KeyRole, string(machine.Role), logging.KeyPhase, string(sc.Inventory.Machines[machine.Name].Phase))
}
