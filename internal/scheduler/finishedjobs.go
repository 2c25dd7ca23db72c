// This file ends jobs, and drops the records that nothing needs any more.

package scheduler

import (
	"time"

	"wheatspur/internal/jobs"
)

// planFinishedJobs ends jobs whose chunks were completed by different owners; the
// job's first node does it.
func (sc *Scheduler) planFinishedJobs(txns []*PendingWrite, most *float64) []*PendingWrite {
	for jobID, j := range sc.Table.Open {
		if *most < 1 || !j.AllDone() || sc.WritesInFlight[jobID] || sc.Membership.RankNodes(jobID)[0] != sc.Self.Label {
			continue
		}
		t := sc.newWrite("finish")
		t.Compares[jobs.JobKey(jobID)] = sc.Cache.Version(jobs.JobKey(jobID))
		t.put(jobs.JobKey(jobID), completedRecord(j, sc.Now()))
		txns = sc.addWrite(txns, t, jobID, most)
	}
	for jobID, j := range sc.Table.Unrecorded {
		// It says nothing new: it lets intake records go, and tells old versions.
		if *most < 2 || sc.WritesInFlight[jobID] || sc.Membership.RankNodes(jobID)[0] != sc.Self.Label {
			continue
		}
		t := sc.newWrite("cancelled with another")
		t.Compares[jobs.JobKey(jobID)] = sc.Cache.Version(jobs.JobKey(jobID))
		t.put(jobs.JobKey(jobID), finalRecord(j, j.Phase, sc.Now()))
		txns = sc.addWrite(txns, t, jobID, most)
	}
	for key := range sc.Table.JobsByIntake {
		// Nothing needs it any more: guards against reading it for ever.
		if *most >= 1 && !sc.WritesInFlight[key] && sc.Table.IntakeFinished(key) && sc.Membership.RankNodes(key)[0] == sc.Self.Label {
			t := sc.newWrite("intake over")
			t.Compares[key] = sc.Cache.Version(key)
			t.delete(key)
			txns = sc.addWrite(txns, t, key, most)
		}
	}
	return txns
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
