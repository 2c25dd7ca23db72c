// This file stores the final records of jobs, and deletes intake records that are no longer needed.

package scheduler

import (
	"time"

	"wheatspur/internal/jobs"
)

// planFinishedJobs adds the writes that end jobs and delete intake records. For each job or
// record, only the controller that ranks first for its key writes. The caller holds the lock.
func (sc *Scheduler) planFinishedJobs(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	writes = sc.planCompletedJobs(writes, budget)
	writes = sc.planCancelledJobs(writes, budget)
	return sc.planIntakeRemovals(writes, budget)
}

// planCompletedJobs adds the writes that end jobs whose last chunks were completed by different
// shard owners at the same time, so that no owner's write saw all tasks completed.
func (sc *Scheduler) planCompletedJobs(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	for jobID, job := range sc.Table.Open {
		if !budget.covers(1) || !job.AllTasksCompleted() || sc.WritesInFlight[jobID] || !sc.ranksFirst(jobID) {
			continue
		}
		writes = sc.planFinalRecord(writes, writeCompletedJob, jobID, completedRecord(job, sc.Now()), budget)
	}
	return writes
}

// planCancelledJobs adds the writes of final records for jobs that were cancelled because a job
// they depend on was cancelled. The other job's record already implies these. They are stored so
// that intake records can be deleted, and so that members of older versions without support for
// dependencies learn of the cancellation. They are not urgent, and are planned only while the
// budget covers two operations, so that one is left for other writes.
func (sc *Scheduler) planCancelledJobs(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	for jobID, job := range sc.Table.AwaitingFinalRecord {
		if !budget.covers(2) || sc.WritesInFlight[jobID] || !sc.ranksFirst(jobID) {
			continue
		}
		writes = sc.planFinalRecord(writes, writeCancelledJob, jobID, finalRecord(job, job.Phase, sc.Now()), budget)
	}
	return writes
}

// planIntakeRemovals adds the writes that delete intake records whose jobs all have a final record
// of their own. Otherwise intake records would accumulate and be read forever.
func (sc *Scheduler) planIntakeRemovals(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	for key := range sc.Table.JobsByIntake {
		if !budget.covers(1) || sc.WritesInFlight[key] || !sc.Table.AllIntakeJobsFinal(key) || !sc.ranksFirst(key) {
			continue
		}
		write := sc.newWrite(writeIntakeRemoval)
		sc.compareCurrent(write, key)
		write.delete(key)
		writes = sc.addWrite(writes, write, key, budget)
	}
	return writes
}

// planFinalRecord adds a write that stores only a job's final record.
func (sc *Scheduler) planFinalRecord(writes []*PendingWrite, kind writeKind, jobID string, record jobs.Record, budget *writeBudget) []*PendingWrite {
	key := jobs.JobKey(jobID)
	write := sc.newWrite(kind)
	sc.compareCurrent(write, key)
	write.put(key, record)
	return sc.addWrite(writes, write, jobID, budget)
}

// ranksFirst reports whether this controller ranks first among the members for a key or a job ID.
// That member does the work that any member could do. The caller holds the lock.
func (sc *Scheduler) ranksFirst(key string) bool {
	return sc.Membership.RankMembers(key)[0] == sc.Self.Label
}

// completedRecord returns the final record of a job whose tasks are all completed, or its current
// record if the job is not open.
func completedRecord(job *jobs.Job, now time.Time) jobs.Record {
	phase, err := job.Phase.Next(jobs.EventComplete)
	if err != nil {
		return job.Record
	}
	return finalRecord(job, phase, now)
}

// finalRecord returns the short record of a job that has ended, which is kept forever.
func finalRecord(job *jobs.Job, phase jobs.Phase, now time.Time) jobs.Record {
	return jobs.Record{
		Phase:                 phase,
		AcceptedAtMs:          job.Record.AcceptedAtMs,
		Tasks:                 job.Record.Tasks,
		TasksPerChunk:         job.Record.TasksPerChunk,
		EndedAtMs:             now.UnixMilli(),
		CancelledByDependency: job.CancelledByDependency,
	}
}
