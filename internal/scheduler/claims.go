// This file turns the claims that a pass has placed into store writes.

package scheduler

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
)

// Number of keys other than chunks that a write of claims may use. hasRoom is asked for room for
// them as well.
const (
	claimExtraPuts     = 2 // stored: the job's record and the team's shares
	claimExtraCompares = 4 // compared: those two, the group record of the next machine, and one in reserve
)

// jobClaims holds the claims of one job that a pass has placed.
type jobClaims struct {
	job    *jobs.Job
	claims []placement.Claim
}

// groupByJob groups claims by job, in the order of each job's first claim.
func groupByJob(claims []placement.Claim) []*jobClaims {
	var groups []*jobClaims
	byJob := map[string]*jobClaims{}
	for _, claim := range claims {
		group := byJob[claim.Job.ID]
		if group == nil {
			group = &jobClaims{job: claim.Job}
			byJob[claim.Job.ID] = group
			groups = append(groups, group)
		}
		group.claims = append(group.claims, claim)
	}
	return groups
}

// countJobs returns the number of jobs that the claims belong to.
func countJobs(claims []placement.Claim) int {
	seen := map[string]bool{}
	for _, claim := range claims {
		seen[claim.Job.ID] = true
	}
	return len(seen)
}

// planClaims adds the writes of claims, one for each job. A write stores the job's chunks, and
// also the job's record if a constraint spans several chunks. Each job has its own write, so that
// a conflict on one job does not fail the claims of the others. Claims stay within this
// controller's share of the team's limit. The leader, which also claims on other controllers'
// machines, transfers the part of its share that those claims use to the shard owners in the same
// write. The caller holds the lock.
func (sc *Scheduler) planClaims(writes []*PendingWrite, claims []placement.Claim, budget *writeBudget) []*PendingWrite {
	for _, group := range groupByJob(claims) {
		if !budget.covers(1) {
			break
		}
		if sc.WritesInFlight[group.job.ID] || sc.Quota.Ledger(group.job.Record.Spec.Team).WriteInFlight() {
			continue
		}
		if write := sc.planJobClaims(group); write != nil {
			writes = sc.addWrite(writes, write, group.job.ID, budget)
		}
	}
	return writes
}

// planJobClaims returns the write of a job's claims, or nil if none can be made now.
func (sc *Scheduler) planJobClaims(group *jobClaims) *PendingWrite {
	job := group.job
	write := sc.newWrite(writeClaims)
	chosen := sc.chooseClaims(write, group)
	jobKey := jobs.JobKey(job.ID)
	sc.compareCurrent(write, jobKey)
	claimed := 0
	for key, change := range chosen.chunks {
		tasks, ok := change.apply()
		if !ok {
			return nil
		}
		claimed += len(change.events)
		sc.compareCurrent(write, key)
		write.put(key, jobs.ChunkRecord{Tasks: tasks})
		sc.logClaims(write, change)
	}
	gangIncomplete := job.IsGang() && claimed < len(group.claims)
	if claimed == 0 || gangIncomplete || !sc.admitClaims(write, job.Record.Spec.Team, chosen.amount, chosen.onOtherShards) {
		return nil
	}
	if job.ZoneConstraintSpansChunks() {
		record := job.Record
		record.ClaimSerial++
		write.put(jobKey, record)
	}
	return write
}

// logClaims makes the write log the claims of a chunk once they are stored.
func (sc *Scheduler) logClaims(write *PendingWrite, change *chunkChange) {
	for task, claim := range change.events {
		write.logWhenStored(logging.EventTaskClaimed,
			logging.KeyTask, jobs.TaskID{Job: change.job.ID, Task: task},
			logging.KeyMachine, claim.Machine,
			logging.KeyRole, string(sc.Inventory.Machines[claim.Machine].Role))
	}
}

// chosenClaims describes the claims of a job that one write stores.
type chosenClaims struct {
	chunks        map[string]*chunkChange // by chunk key
	amount        quota.Amount            // total resources of the claims
	onOtherShards map[string]quota.Amount // part of amount on other controllers' machines, by shard owner
}

// chooseClaims selects as many of a job's claims as fit into one write, and adds compares of the
// records of their machines to the write.
func (sc *Scheduler) chooseClaims(write *PendingWrite, group *jobClaims) chosenClaims {
	job, need := group.job, group.job.TaskResources.QuotaAmount()
	chosen := chosenClaims{chunks: map[string]*chunkChange{}, onOtherShards: map[string]quota.Amount{}}
	maxValueBytes := int(sc.Limits.ValueKB * tuning.BytesPerKB)
	for _, claim := range group.claims {
		chunk := chunkOf(job, claim.Task)
		key, machineKey := jobs.ChunkKey(job.ID, chunk), sc.Inventory.RecordKey(claim.Machine)
		change := chosen.chunks[key]
		if change == nil {
			chunks := len(chosen.chunks) + 1
			if !sc.hasRoom(write, chunks+claimExtraPuts, chunks*sc.maxChunkBytes(job), chunks+claimExtraCompares) {
				break
			}
			change = newChunkChange(job, chunk)
			chosen.chunks[key] = change
		}
		if _, ok := write.Compares[machineKey]; !ok && !sc.hasRoom(write, 0, 0, len(chosen.chunks)+claimExtraCompares) {
			continue // the write can't compare another group of machine records
		}
		if !change.addClaim(claim.Task, jobs.TaskEvent{Kind: jobs.EventTaskClaim, Machine: claim.Machine, Incarnation: claim.Incarnation}, maxValueBytes) {
			continue // the record is full; this task can be claimed once others of the chunk have ended
		}
		sc.compareCurrent(write, machineKey)
		chosen.amount = chosen.amount.Add(need)
		if owner := sc.ShardOwner(claim.Machine); owner != sc.Self.Label {
			chosen.onOtherShards[owner] = chosen.onOtherShards[owner].Add(need)
		}
	}
	for key, change := range chosen.chunks {
		if len(change.events) == 0 {
			delete(chosen.chunks, key) // no claim fitted into the record
		}
	}
	return chosen
}
