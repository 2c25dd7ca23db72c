// This file builds the input of package placement.

package scheduler

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// PlacementInput builds the input of a pass's placement on the given fleet. The caller holds the
// lock.
func (sc *Scheduler) PlacementInput(fleet *placement.Fleet, now time.Time) placement.Input {
	input := placement.Input{
		Self:         sc.Self.Label,
		Leader:       sc.Membership.Leader.Label,
		RankMembers:  sc.Membership.RankMembers,
		Fleet:        fleet,
		Allowances:   sc.Allowances(),
		Now:          now,
		MaxJobs:      tuning.JobsPerPass,
		MinimizeLoss: sc.Settings.Operator.QuotaReservations,
	}
	avoid := sc.machinesToAvoid()
	dependencies := sc.DependenciesSupported()
	for jobID, job := range sc.Table.Open {
		if job.TaskCounts[jobs.Pending] == 0 || job.Record.Phase == jobs.Waiting && !dependencies {
			continue // a member of an older version would stop the tasks that start on its machines
		}
		if demand := sc.demandOf(job, avoid[jobID], now); len(demand.Tasks) > 0 {
			input.Demands = append(input.Demands, demand)
		}
	}
	return input
}

// machinesToAvoid returns, by job, the machines on which its tasks failed recently.
func (sc *Scheduler) machinesToAvoid() map[string]map[string]bool {
	avoid := map[string]map[string]bool{}
	for machine, w := range sc.Workers.WorkersWithFailures {
		for jobID := range w.FailedJobs {
			if avoid[jobID] == nil {
				avoid[jobID] = map[string]bool{}
			}
			avoid[jobID][machine] = true
		}
	}
	return avoid
}

// demandOf returns the demand of an open job's pending tasks for the placement.
func (sc *Scheduler) demandOf(job *jobs.Job, avoid map[string]bool, now time.Time) *placement.Demand {
	nothingStarted := job.TaskCounts[jobs.Pending] == job.Record.Tasks
	return &placement.Demand{
		Job:              job,
		ExcludedMachines: avoid,
		Tasks:            sc.pendingTasks(job, tuning.TasksPerJob, now),
		// Work that is preempted for a guarantee is lost, and the cloud may still provide
		// machines for it, so preemption waits.
		MayReclaim:           sc.mayReclaim(job, now),
		Starved:              nothingStarted && now.UnixMilli()-job.ReadyAtMs > tuning.StarvedAfter.Milliseconds(),
		RecentlyPreemptedFor: now.Sub(sc.preemptedFor[job.ID]) < tuning.PreemptPause,
		WriteInFlight:        sc.WritesInFlight[job.ID] || now.Before(sc.BackoffUntil[job.ID]),
	}
}

// pendingTasks returns up to limit pending tasks of a job that may be started now.
func (sc *Scheduler) pendingTasks(job *jobs.Job, limit int, now time.Time) []int {
	var pending []int
	tasksPerChunk := job.Record.TasksPerChunk
	for chunk := 0; chunk*tasksPerChunk < job.Record.Tasks && len(pending) < limit; chunk++ {
		tasks := job.Chunks[chunk] // nil: the chunk was never written, so all tasks are pending
		for i := 0; i < job.ChunkLen(chunk) && len(pending) < limit; i++ {
			task := chunk*tasksPerChunk + i
			if tasks == nil || tasks[i].State == jobs.Pending && sc.retryDue(job, task, tasks[i].Failures, now) {
				pending = append(pending, task)
			}
		}
	}
	return pending
}

// retryDue reports whether a pending task may be started now: each consecutive failure doubles the
// delay before the next attempt, up to tuning.RetryCap.
func (sc *Scheduler) retryDue(job *jobs.Job, task int, failures uint64, now time.Time) bool {
	if failures == 0 {
		return true
	}
	delay := min(tuning.RetryBase<<min(failures-1, tuning.MaxRetryDoublings), tuning.RetryCap)
	return now.Sub(sc.Table.LastFailureAt[jobs.TaskID{Job: job.ID, Task: task}]) >= delay
}
