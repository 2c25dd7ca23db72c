// This file builds the input of the placement.

package scheduler

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// PlaceInput builds the pass's input; the lock is held.
func (sc *Scheduler) PlaceInput(machines *placement.Fleet, now time.Time) placement.Input {
	in := placement.Input{Self: sc.Self.Label, Leader: sc.Membership.Leader.Label, RankNodes: sc.Membership.RankNodes,
		Fleet: machines, Teams: sc.Allowances(), Now: now, MaxJobs: tuning.JobsPerPass,
		MinimizeLoss: sc.Settings.Operator.QuotaReservations}
	avoid := map[string]map[string]bool{}
	for host, w := range sc.Workers.Failing {
		for jobID := range w.FailedJobs {
			if avoid[jobID] == nil {
				avoid[jobID] = map[string]bool{}
			}
			avoid[jobID][host] = true
		}
	}
	pipelines := sc.DependenciesSupported()
	for jobID, j := range sc.Table.Open {
		if j.Counts[jobs.Pending] == 0 || j.Record.Phase == jobs.Waiting && !pipelines {
			continue // an old member would stop what starts on its machines
		}
		d := &placement.Demand{Job: j, Avoid: avoid[jobID]}
		d.Tasks = sc.pendingTasks(j, tuning.TasksPerJob, now)
		// The cloud may still bring room for a guarantee; work that is stopped
		// for it is lost.
		d.MayReclaim = sc.mayReclaim(j, now)
		d.Starved = j.Counts[jobs.Pending] == j.Record.Tasks && now.UnixMilli()-j.ReadyAtMs > tuning.StarvedAfter.Milliseconds()
		d.PreemptedFor = now.Sub(sc.preemptedFor[jobID]) < tuning.PreemptPause
		d.WriteInFlight = sc.WritesInFlight[jobID] || now.Before(sc.BackoffUntil[jobID])
		if len(d.Tasks) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	return in
}

// pendingTasks lists up to most pending tasks of a job that may be tried now.
func (sc *Scheduler) pendingTasks(j *jobs.Job, most int, now time.Time) []int {
	var out []int
	for c := 0; c*j.Record.ChunkSize < j.Record.Tasks && len(out) < most; c++ {
		tasks := j.Chunks[c] // nil: all pending
		for k := 0; k < j.ChunkLen(c) && len(out) < most; k++ {
			i := c*j.Record.ChunkSize + k
			if tasks == nil {
				out = append(out, i)
				continue
			}
			if tasks[k].State != jobs.Pending {
				continue
			}
			if errs := tasks[k].Failures; errs > 0 {
				pause := min(tuning.RetryBase<<min(errs-1, 10), tuning.RetryCap)
				if now.Sub(sc.Table.FailedAt[jobs.TaskID{Job: j.ID, Task: i}]) < pause {
					continue
				}
			}
			out = append(out, i)
		}
	}
	return out
}
