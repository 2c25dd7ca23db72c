// This file adds the tasks that need capacity to the input of the capacity plan.

package leader

import (
	"slices"
	"strings"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// addNotScheduledYet adds the tasks whose placement is not stored yet and those that the scheduling
// pass did not get to. The plan sets free capacity aside for them first. Without them, the plan
// would scale out only once the last free machine is taken, which took half a minute with hundreds
// of jobs.
func (b *planBuilder) addNotScheduledYet() {
	scheduler := b.loop.scheduler
	for jobID, job := range b.loop.Table.Open {
		reason := scheduler.UnplacedReasons[jobID]
		count := job.TaskCounts[jobs.Pending]
		if reason != placement.ReasonJobLimit {
			count -= scheduler.Unplaced[jobID]
		}
		if count > 0 && (reason == "" || reason == placement.ReasonJobLimit || reason == placement.ReasonNoRoom) {
			b.input.Demands = append(b.input.Demands, autoscale.Demand{Job: job, Count: count, NotScheduledYet: true})
		}
	}
	slices.SortFunc(b.input.Demands, byJob)
}

// byJob orders demands by job ID. No two demands in a list have the same job.
func byJob(x, y autoscale.Demand) int { return strings.Compare(x.Job.ID, y.Job.ID) }

// addUnplaced adds the tasks that the scheduling pass found no room for, those that have waited
// longest first.
func (b *planBuilder) addUnplaced() {
	scheduler := b.loop.scheduler
	for _, jobID := range b.loop.unplacedByAge() {
		job := b.loop.Table.Open[jobID]
		if job == nil || scheduler.UnplacedReasons[jobID] != placement.ReasonNoRoom {
			continue
		}
		count := scheduler.Unplaced[jobID]
		if job.IsService() {
			// These tasks will run, so the headroom is computed for them too.
			b.input.Service.Tasks += float64(count)
			b.input.Service.AwaitingBoot += float64(count)
			b.input.Service.TaskResources, b.input.Service.Spec = job.TaskResources, job.Record.Spec
		}
		b.input.Demands = append(b.input.Demands, autoscale.Demand{Job: job, Count: count, Waiting: b.now.Sub(scheduler.UnplacedSince[jobID])})
	}
}

// unplacedByAge returns the IDs of the jobs with unplaced tasks, those that have waited longest
// first. The caller holds the lock.
func (ld *Loop) unplacedByAge() []string {
	jobIDs := make([]string, 0, len(ld.scheduler.Unplaced))
	for jobID := range ld.scheduler.Unplaced {
		jobIDs = append(jobIDs, jobID)
	}
	slices.SortFunc(jobIDs, func(a, b string) int {
		return ld.scheduler.UnplacedSince[a].Compare(ld.scheduler.UnplacedSince[b])
	})
	return jobIDs
}

// tasksAtRisk returns the service tasks on silent machines as demands, so that capacity for them is
// scaled out before the machines are proven dead: booting a machine takes longer than the proof.
// After a hundred machines had died, services waited 45 s for replacements. Silent machines count
// only if their shard owner still hears from at least as many others; if it hears from fewer, the
// cause is more likely the owner itself than its machines. sinceHeard is how long ago each machine
// was heard by its owner. The caller holds the lock.
func (ld *Loop) tasksAtRisk(machines *placement.Fleet, sinceHeard map[string]time.Duration, now time.Time) []autoscale.Demand {
	heard, silent := map[string]int{}, map[string]int{} // machines by shard owner
	var atRisk []*placement.Machine
	for _, machine := range machines.Machines {
		age, ok := sinceHeard[machine.Name]
		if ok && age < ld.SilenceTimeout() {
			heard[machine.Owner]++
		} else if at, wasUp := ld.Term.LastHeardAt[machine.Name]; wasUp && now.Sub(at) > ld.SilenceTimeout() {
			silent[machine.Owner]++
			if machine.Role == placement.Service {
				atRisk = append(atRisk, machine)
			}
		}
	}
	count := map[*jobs.Job]int{}
	for _, machine := range atRisk {
		if heard[machine.Owner] < silent[machine.Owner] {
			continue
		}
		for _, task := range machine.Tasks {
			if isOpenServiceTask(task) {
				count[task.Job]++
			}
		}
	}
	demands := make([]autoscale.Demand, 0, len(count))
	for job, tasks := range count {
		demands = append(demands, autoscale.Demand{Job: job, Count: tasks, NotScheduledYet: true})
	}
	slices.SortFunc(demands, byJob)
	return demands
}
