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
		t.put(jobs.JobKey(jobID), finalRecord(j, jobs.JobCompleted, sc.Now()))
		txns = sc.addWrite(txns, t, jobID, most)
	}
	for jobID, j := range sc.Table.Unrecorded {
		// It says nothing new: it lets intake records go, and tells old versions.
		if *most < 2 || sc.WritesInFlight[jobID] || sc.Membership.RankNodes(jobID)[0] != sc.Self.Label {
			continue
		}
		t := sc.newWrite("cancelled with another")
		t.Compares[jobs.JobKey(jobID)] = sc.Cache.Version(jobs.JobKey(jobID))
		t.put(jobs.JobKey(jobID), jobs.Record{Phase: j.Phase, AcceptedAtMs: j.Record.AcceptedAtMs, Tasks: j.Record.Tasks, ChunkSize: j.Record.ChunkSize, EndedAtMs: sc.Now().UnixMilli(), CancelledWith: j.CancelledWith})
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

// finalRecord is the short record kept forever.
func finalRecord(j *jobs.Job, e jobs.JobEvent, now time.Time) jobs.Record {
	phase, err := j.Phase.Next(e)
	if err != nil {
		return j.Record
	}
	return jobs.Record{Phase: phase, AcceptedAtMs: j.Record.AcceptedAtMs, Tasks: j.Record.Tasks, ChunkSize: j.Record.ChunkSize, EndedAtMs: now.UnixMilli(), CancelledWith: j.CancelledWith}
}
