// This file ends jobs, and drops the records that nothing needs any more.

package scheduler

import (
	"time"

	"wheatspur/internal/jobs"
)

// planFinishedJobs adds the writes that end jobs and drop intake records. One
// controller does it for each: the one that ranks first for its key. The caller
// holds the lock.
func (sc *Scheduler) planFinishedJobs(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	writes = sc.planCompletedJobs(writes, budget)
	writes = sc.planCancelledJobs(writes, budget)
	return sc.planIntakeRemovals(writes, budget)
}

// planCompletedJobs ends the jobs whose last chunks were completed by different
// shard owners, none of which saw all of them completed.
func (sc *Scheduler) planCompletedJobs(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	for jobID, job := range sc.Table.Open {
		if !budget.covers(1) || !job.AllDone() || sc.WritesInFlight[jobID] || !sc.ranksFirst(jobID) {
			continue
		}
		writes = sc.planFinalRecord(writes, writeCompletedJob, jobID, completedRecord(job, sc.Now()), budget)
	}
	return writes
}

// planCancelledJobs stores the final records of jobs that were cancelled with a job
// that they depend on. These say nothing that does not follow from the other job's
// record: they let intake records go, and tell versions that know no dependencies.
// So they leave an operation of the budget to others.
func (sc *Scheduler) planCancelledJobs(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	for jobID, job := range sc.Table.Unrecorded {
		if !budget.covers(2) || sc.WritesInFlight[jobID] || !sc.ranksFirst(jobID) {
			continue
		}
		writes = sc.planFinalRecord(writes, writeCancelledJob, jobID, finalRecord(job, job.Phase, sc.Now()), budget)
	}
	return writes
}

// planIntakeRemovals drops the intake records of which every job has a final record
// of its own. Guards against reading them for ever.
func (sc *Scheduler) planIntakeRemovals(writes []*PendingWrite, budget *writeBudget) []*PendingWrite {
	for key := range sc.Table.JobsByIntake {
		if !budget.covers(1) || sc.WritesInFlight[key] || !sc.Table.IntakeFinished(key) || !sc.ranksFirst(key) {
			continue
		}
		write := sc.newWrite(writeIntakeRemoval)
		sc.compareCurrent(write, key)
		write.delete(key)
		writes = sc.addWrite(writes, write, key, budget)
	}
	return writes
}

// planFinalRecord adds the write of a job's final record alone.
func (sc *Scheduler) planFinalRecord(writes []*PendingWrite, kind writeKind, jobID string, record jobs.Record, budget *writeBudget) []*PendingWrite {
	key := jobs.JobKey(jobID)
	write := sc.newWrite(kind)
	sc.compareCurrent(write, key)
	write.put(key, record)
	return sc.addWrite(writes, write, jobID, budget)
}

// ranksFirst reports whether this controller is the first of the members for a key
// or a job, which does what any of them might. The caller holds the lock.
func (sc *Scheduler) ranksFirst(key string) bool {
	return sc.Membership.RankNodes(key)[0] == sc.Self.Label
}

// completedRecord is the final record of a job whose tasks are all completed; its
// present record if the job is not open.
func completedRecord(job *jobs.Job, now time.Time) jobs.Record {
	phase, err := job.Phase.Next(jobs.JobCompleted)
	if err != nil {
		return job.Record
	}
	return finalRecord(job, phase, now)
}

// finalRecord is the short record of a job that has ended, which is kept for ever.
func finalRecord(job *jobs.Job, phase jobs.Phase, now time.Time) jobs.Record {
	return jobs.Record{
		Phase:         phase,
		AcceptedAtMs:  job.Record.AcceptedAtMs,
		Tasks:         job.Record.Tasks,
		ChunkSize:     job.Record.ChunkSize,
		EndedAtMs:     now.UnixMilli(),
		CancelledWith: job.CancelledWith,
	}
}
