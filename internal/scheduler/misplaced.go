// This file moves service tasks off machines that are to lose them.

package scheduler

import (
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
)

// evictMisplacedServices moves service tasks off machines that are to lose them, one at a
// time, each once another machine has room; the lock is held.
func (sc *Scheduler) evictMisplacedServices(f *placement.Fleet) {
	machines, tries := f.Machines, 0
	for _, m := range machines {
		for _, r := range m.Tasks {
			if r.Stopping && r.Job.Service() && r.Job.Phase == jobs.Open {
				return // one at a time
			}
		}
	}
	for jobID := range sc.Unplaced {
		if j := sc.Table.Jobs[jobID]; j != nil && j.Service() {
			return // those that wait come first
		}
	}
	for _, m := range machines {
		if m.Owner != sc.Self.Label {
			continue
		}
		rec := sc.Inventory.Machines[m.Name]
		w := sc.Workers.ByMachine[m.Name]
		if w == nil || m.Role == placement.Service && rec.Phase == inventory.Active && w.TerminationAt.IsZero() {
			continue
		}
		for _, r := range m.Tasks {
			if !r.Job.Service() || r.Stopping || r.Job.Phase != jobs.Open {
				continue
			}
			if tries++; tries > evictionTries {
				return
			}
			if placement.FitElsewhere(f, r.Job, r.ID.Task, m.Name) != nil {
				sc.Workers.StopTask(w, r.ID)
				sc.Log.Info(logging.EventServiceTaskEvicted, logging.KeyTask, r.ID, logging.KeyMachine, m.Name, logging.KeyRole, string(m.Role), logging.KeyPhase, string(rec.Phase))
				return
			}
		}
	}
}

// evictionTries bounds the tasks that a pass tries to move.
const evictionTries = 16
