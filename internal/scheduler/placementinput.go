// This file builds the input of the placement.

package scheduler

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// PlacementInput builds the input of a pass's placement on the given machines. The
// caller holds the lock.
func (sc *Scheduler) PlacementInput(machines *placement.Fleet, now time.Time) placement.Input {
	input := placement.Input{
		Self:         sc.Self.Label,
		Leader:       sc.Membership.Leader.Label,
		RankNodes:    sc.Membership.RankNodes,
		Fleet:        machines,
		Teams:        sc.Allowances(),
		Now:          now,
		MaxJobs:      tuning.JobsPerPass,
		MinimizeLoss: sc.Settings.Operator.QuotaReservations,
	}
	avoid := sc.machinesToAvoid()
	dependencies := sc.DependenciesSupported()
	for jobID, job := range sc.Table.Open {
		if job.Counts[jobs.Pending] == 0 || job.Record.Phase == jobs.Waiting && !dependencies {
			continue // an old member would stop what starts on its machines
		}
		if demand := sc.demandOf(job, avoid[jobID], now); len(demand.Tasks) > 0 {
			input.Demands = append(input.Demands, demand)
		}
	}
	return input
}

// machinesToAvoid lists, by job, the machines on which its tasks failed lately.
func (sc *Scheduler) machinesToAvoid() map[string]map[string]bool {
	avoid := map[string]map[string]bool{}
	for machine, w := range sc.Workers.Failing {
		for jobID := range w.FailedJobs {
			if avoid[jobID] == nil {
				avoid[jobID] = map[string]bool{}
			}
			avoid[jobID][machine] = true
		}
	}
	return avoid
}

// demandOf describes the pending tasks of an open job to the placement.
func (sc *Scheduler) demandOf(job *jobs.Job, avoid map[string]bool, now time.Time) *placement.Demand {
	nothingStarted := job.Counts[jobs.Pending] == job.Record.Tasks
	return &placement.Demand{
		Job:   job,
		Avoid: avoid,
		Tasks: sc.pendingTasks(job, tuning.TasksPerJob, now),
		// The cloud may still bring room for a guarantee; work that is stopped
		// for it is lost.
		MayReclaim:    sc.mayReclaim(job, now),
		Starved:       nothingStarted && now.UnixMilli()-job.ReadyAtMs > tuning.StarvedAfter.Milliseconds(),
		PreemptedFor:  now.Sub(sc.preemptedFor[job.ID]) < tuning.PreemptPause,
		WriteInFlight: sc.WritesInFlight[job.ID] || now.Before(sc.BackoffUntil[job.ID]),
	}
}

// pendingTasks lists up to limit pending tasks of a job that may be tried now.
func (sc *Scheduler) pendingTasks(job *jobs.Job, limit int, now time.Time) []int {
	var pending []int
	chunkSize := job.Record.ChunkSize
	for chunk := 0; chunk*chunkSize < job.Record.Tasks && len(pending) < limit; chunk++ {
		tasks := job.Chunks[chunk] // nil: never written, all pending
		for i := 0; i < job.ChunkLen(chunk) && len(pending) < limit; i++ {
			task := chunk*chunkSize + i
			if tasks == nil || tasks[i].State == jobs.Pending && sc.retryDue(job, task, tasks[i].Failures, now) {
				pending = append(pending, task)
			}
		}
	}
	return pending
}

// retryDue reports whether a pending task may be tried now: each failure in a row
// doubles the pause before the next try.
func (sc *Scheduler) retryDue(job *jobs.Job, task int, failures uint64, now time.Time) bool {
	if failures == 0 {
		return true
	}
	pause := min(tuning.RetryBase<<min(failures-1, tuning.MaxRetryDoublings), tuning.RetryCap)
	return now.Sub(sc.Table.FailedAt[jobs.TaskID{Job: job.ID, Task: task}]) >= pause
}
