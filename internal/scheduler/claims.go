// This file stores claims.

package scheduler

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
)

// jobClaims are the claims of one job that a pass has placed.
type jobClaims struct {
	job    *jobs.Job
	claims []placement.Claim
}

// groupByJob groups claims by job, in the order of the first of each.
func groupByJob(list []placement.Claim) []*jobClaims {
	var groups []*jobClaims
	known := map[string]*jobClaims{}
	for _, c := range list {
		g := known[c.Job.ID]
		if g == nil {
			g = &jobClaims{job: c.Job}
			known[c.Job.ID] = g
			groups = append(groups, g)
		}
		g.claims = append(g.claims, c)
	}
	return groups
}

// planClaims turns placements into guarded writes, one for each job: its chunks,
// and for constraints that span chunks its record. One write a job: if one
// loses a race, the others stand. A claim stays within this node's share of
// the team's limit; the leader, which also claims on others' machines, hands
// their owners the part of the limit that the claims take in the same write.
// The lock is held.
func (sc *Scheduler) planClaims(txns []*PendingWrite, list []placement.Claim, most *float64) []*PendingWrite {
	for _, g := range groupByJob(list) {
		if *most < 1 {
			break
		}
		if sc.WritesInFlight[g.job.ID] || sc.Quota.Ledger(g.job.Record.Spec.Team).Writing() {
			continue
		}
		if t := sc.planJobClaims(g); t != nil {
			txns = sc.addWrite(txns, t, g.job.ID, most)
		}
	}
	return txns
}

// planJobClaims is the write of a job's claims; nil if there is none to make now.
func (sc *Scheduler) planJobClaims(g *jobClaims) *PendingWrite {
	j := g.job
	t := sc.newWrite("claim")
	changes, amount, others := sc.chooseClaims(t, g)
	jobKey := jobs.JobKey(j.ID)
	t.Compares[jobKey] = sc.Cache.Version(jobKey)
	claimed := 0
	for key, c := range changes {
		tasks, due := c.apply()
		if !due {
			return nil
		}
		claimed += len(c.events)
		t.Compares[key] = sc.Cache.Version(key)
		t.put(key, jobs.ChunkRecord{Tasks: tasks})
		for id, e := range c.events {
			t.logWhenStored(logging.EventTaskClaimed, logging.KeyTask, jobs.TaskID{Job: j.ID, Task: id}, logging.KeyMachine, e.Machine, logging.KeyRole, string(sc.Inventory.Machines[e.Machine].Role))
		}
	}
	if claimed == 0 || j.Gang() && claimed < len(g.claims) || !sc.admit(t, j.Record.Spec.Team, amount, others) {
		return nil
	}
	if j.SpansChunks() {
		rec := j.Record
		rec.ClaimSerial++
		t.put(jobKey, rec)
	}
	return t
}

// chooseClaims takes as many of a job's claims as one write may hold: the changes
// of its chunks, what the claims take in all, and the part of it on others'
// machines. It adds the guards on the machines' records to the write.
func (sc *Scheduler) chooseClaims(t *PendingWrite, g *jobClaims) (changes map[string]*chunkChange, amount quota.Amount, others map[string]quota.Amount) {
	j := g.job
	changes, others = map[string]*chunkChange{}, map[string]quota.Amount{}
	for _, claim := range g.claims {
		chunk := claim.Task / j.Record.ChunkSize
		key, machineKey := jobs.ChunkKey(j.ID, chunk), sc.Inventory.KeyOf(claim.Machine)
		c := changes[key]
		if c == nil {
			if !sc.fits(t, len(changes)+3, (len(changes)+1)*sc.maxChunkBytes(j), len(changes)+5) {
				break
			}
			c = &chunkChange{job: j, chunk: chunk, events: map[int]jobs.TaskEvent{}}
			changes[key] = c
		}
		if _, ok := t.Compares[machineKey]; !ok && !sc.fits(t, 0, 0, len(changes)+4) {
			continue // more machines than one write may name
		}
		if !c.claim(claim.Task, jobs.TaskEvent{Kind: jobs.Claim, Machine: claim.Machine, Incarnation: claim.Incarnation}, int(sc.Limits.ValueKB*1024)) {
			continue // its turn comes when others of the chunk are over
		}
		t.Compares[machineKey] = sc.Cache.Version(machineKey)
		amount = amount.Add(j.Need.Amount())
		if owner := sc.ShardOwner(claim.Machine); owner != sc.Self.Label {
			others[owner] = others[owner].Add(j.Need.Amount())
		}
	}
	for key, c := range changes {
		if len(c.events) == 0 {
			delete(changes, key) // no room in its record
		}
	}
	return changes, amount, others
}
