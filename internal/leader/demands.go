// This file enters the tasks that need room in the input of the capacity plan.

package leader

import (
	"slices"
	"strings"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// addNotScheduledYet enters the tasks that have a place that is not stored yet, and
// those that had no turn in the pass: they take their room first. Guards against
// scaling out only when the last free machine is taken: with hundreds of jobs that
// took half a minute.
func (b *planBuilder) addNotScheduledYet() {
	scheduler := b.loop.scheduler
	for jobID, job := range b.loop.Table.Open {
		reason := scheduler.PendingReasons[jobID]
		count := job.Counts[jobs.Pending]
		if reason != placement.ReasonNoTurn {
			count -= scheduler.Unplaced[jobID]
		}
		if count > 0 && (reason == "" || reason == placement.ReasonNoTurn || reason == placement.ReasonNoRoom) {
			b.input.Demands = append(b.input.Demands, autoscale.Demand{Job: job, Count: count, NotScheduledYet: true})
		}
	}
	slices.SortFunc(b.input.Demands, byJob)
}

// byJob orders demands by job; no two are of the same.
func byJob(x, y autoscale.Demand) int { return strings.Compare(x.Job.ID, y.Job.ID) }

// addUnplaced enters the tasks that the pass found no room for, those that have
// waited longest first.
func (b *planBuilder) addUnplaced() {
	scheduler := b.loop.scheduler
	for _, jobID := range b.loop.unplacedByAge() {
		job := b.loop.Table.Open[jobID]
		if job == nil || scheduler.PendingReasons[jobID] != placement.ReasonNoRoom {
			continue
		}
		count := scheduler.Unplaced[jobID]
		if job.Service() {
			// The headroom is for what will run too.
			b.input.Service.Tasks += float64(count)
			b.input.Service.AwaitingBoot += float64(count)
			b.input.Service.Need, b.input.Service.Spec = job.Need, job.Record.Spec
		}
		b.input.Demands = append(b.input.Demands, autoscale.Demand{Job: job, Count: count, Waiting: b.now.Sub(scheduler.UnplacedSince[jobID])})
	}
}

// unplacedByAge lists the jobs with tasks without a place, those that have waited
// longest first. The caller holds the lock.
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

// tasksAtRisk lists the service tasks on machines that have fallen silent beside
// others of their shard owner that are heard. Room for them is scaled out before
// there is proof that they are gone, since a boot takes longer than that: after a
// hundred machines had died, services waited for their replacements for 45 s. A
// controller that hears hardly any of its machines has trouble of its own. sinceHeard
// is how long ago each machine was heard by its owner. The caller holds the lock.
func (ld *Loop) tasksAtRisk(machines *placement.Fleet, sinceHeard map[string]time.Duration, now time.Time) []autoscale.Demand {
	heard, silent := map[string]int{}, map[string]int{} // machines by shard owner
	var atRisk []*placement.Machine
	for _, machine := range machines.Machines {
		age, ok := sinceHeard[machine.Name]
		if ok && age < ld.SilenceTimeout() {
			heard[machine.Owner]++
		} else if at, wasUp := ld.Term.LastHeard[machine.Name]; wasUp && now.Sub(at) > ld.SilenceTimeout() {
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
