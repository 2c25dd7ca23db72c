// This file turns the claims that a pass has placed into writes.

package scheduler

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
)

// Keys that a write of claims may name beside the chunks: hasRoom keeps room for
// them.
const (
	claimRecords  = 2 // put: the job's record and the team's shares
	claimCompares = 4 // compared: those two, the next machine's group, and one to spare
)

// jobClaims are the claims of one job that a pass has placed.
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

// countJobs is how many jobs the claims are of.
func countJobs(claims []placement.Claim) int {
	seen := map[string]bool{}
	for _, claim := range claims {
		seen[claim.Job.ID] = true
	}
	return len(seen)
}

// planClaims adds the writes of claims, one for each job: of its chunks, and for
// constraints that span chunks of its record. One write a job: if one loses a
// race, the others stand. Claims stay within this controller's share of the team's
// limit. The leader, which also claims on others' machines, hands the part of the
// limit that those claims take to the shard owners in the same write. The caller
// holds the lock.
func (sc *Scheduler) planClaims(writes []*PendingWrite, claims []placement.Claim, budget *writeBudget) []*PendingWrite {
	for _, group := range groupByJob(claims) {
		if !budget.covers(1) {
			break
		}
		if sc.WritesInFlight[group.job.ID] || sc.Quota.Ledger(group.job.Record.Spec.Team).Writing() {
			continue
		}
		if write := sc.planJobClaims(group); write != nil {
			writes = sc.addWrite(writes, write, group.job.ID, budget)
		}
	}
	return writes
}

// planJobClaims is the write of a job's claims; nil if there is none to make now.
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
	gangIncomplete := job.Gang() && claimed < len(group.claims)
	if claimed == 0 || gangIncomplete || !sc.admit(write, job.Record.Spec.Team, chosen.amount, chosen.onOthers) {
		return nil
	}
	if job.SpansChunks() {
		record := job.Record
		record.ClaimSerial++
		write.put(jobKey, record)
	}
	return write
}

// logClaims logs the claims of a chunk once they are stored.
func (sc *Scheduler) logClaims(write *PendingWrite, change *chunkChange) {
	for task, claim := range change.events {
		write.logWhenStored(logging.EventTaskClaimed,
			logging.KeyTask, jobs.TaskID{Job: change.job.ID, Task: task},
			logging.KeyMachine, claim.Machine,
			logging.KeyRole, string(sc.Inventory.Machines[claim.Machine].Role))
	}
}

// chosenClaims are the claims of a job that go into one write.
type chosenClaims struct {
	chunks   map[string]*chunkChange // by key of the chunk
	amount   quota.Amount            // what they take in all
	onOthers map[string]quota.Amount // the part of it on machines of other shard owners
}

// chooseClaims takes as many of a job's claims as one write may hold, and lets the
// write compare the records of their machines.
func (sc *Scheduler) chooseClaims(write *PendingWrite, group *jobClaims) chosenClaims {
	job, need := group.job, group.job.Need.Amount()
	chosen := chosenClaims{chunks: map[string]*chunkChange{}, onOthers: map[string]quota.Amount{}}
	maxValueBytes := int(sc.Limits.ValueKB * tuning.BytesPerKB)
	for _, claim := range group.claims {
		chunk := chunkOf(job, claim.Task)
		key, machineKey := jobs.ChunkKey(job.ID, chunk), sc.Inventory.KeyOf(claim.Machine)
		change := chosen.chunks[key]
		if change == nil {
			chunks := len(chosen.chunks) + 1
			if !sc.hasRoom(write, chunks+claimRecords, chunks*sc.maxChunkBytes(job), chunks+claimCompares) {
				break
			}
			change = newChunkChange(job, chunk)
			chosen.chunks[key] = change
		}
		if _, ok := write.Compares[machineKey]; !ok && !sc.hasRoom(write, 0, 0, len(chosen.chunks)+claimCompares) {
			continue // more groups of machines than one write may compare
		}
		if !change.addClaim(claim.Task, jobs.TaskEvent{Kind: jobs.Claim, Machine: claim.Machine, Incarnation: claim.Incarnation}, maxValueBytes) {
			continue // its turn comes when others of the chunk have ended
		}
		sc.compareCurrent(write, machineKey)
		chosen.amount = chosen.amount.Add(need)
		if owner := sc.ShardOwner(claim.Machine); owner != sc.Self.Label {
			chosen.onOthers[owner] = chosen.onOthers[owner].Add(need)
		}
	}
	for key, change := range chosen.chunks {
		if len(change.events) == 0 {
			delete(chosen.chunks, key) // no claim had room in its record
		}
	}
	return chosen
}
