// This file releases claims whose attempts are known to have ended.

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// earlyReleaseBudget returns the part of the budget that releases may use before claims, which is
// half. If the budget is below two operations, releases and claims alternate between passes: with
// frequent passes the budget holds a single operation at a time, and releases used to take every
// one. The caller holds the lock.
func (sc *Scheduler) earlyReleaseBudget(budget writeBudget) writeBudget {
	if budget < 2 && sc.claimsDeferred {
		return 0
	}
	return (budget + 1) / 2
}

// pendingRelease is a chunk change made of releases that may be stored now.
type pendingRelease struct {
	*chunkChange
	key      string // chunk key
	dueSince time.Time
	priority releasePriority
}

// releasePriority is the urgency of the releases of a chunk; lower values are written first.
type releasePriority int

// Priorities of releases, most urgent first.
const (
	releaseJobEnd  releasePriority = iota // the job ends; its user and dependent jobs wait for that
	releaseRestart                        // a task waits to be restarted, or these are the last releases of the job on this controller
	releaseRoutine                        // the release only frees capacity
)

// compare orders releases by priority, routine ones then by descending number of events, and all
// then by age. It returns 0 only for releases of the same chunk.
func (r *pendingRelease) compare(other *pendingRelease) int {
	if c := cmp.Compare(r.priority, other.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(len(other.events), len(r.events)); c != 0 && r.priority == releaseRoutine {
		return c
	}
	if c := r.dueSince.Compare(other.dueSince); c != 0 {
		return c
	}
	return cmp.Compare(r.key, other.key)
}

// chunkChanges holds chunk changes by chunk key.
type chunkChanges map[string]*chunkChange

// addEvent adds a task event.
func (changes chunkChanges) addEvent(job *jobs.Job, task int, event jobs.TaskEvent) {
	chunk := chunkOf(job, task)
	key := jobs.ChunkKey(job.ID, chunk)
	if changes[key] == nil {
		changes[key] = newChunkChange(job, chunk)
	}
	changes[key].events[task] = event
}

// hasEvent reports whether there is an event for the task.
func (changes chunkChanges) hasEvent(job *jobs.Job, task int) bool {
	change := changes[jobs.ChunkKey(job.ID, chunkOf(job, task))]
	if change == nil {
		return false
	}
	_, ok := change.events[task]
	return ok
}

// dueReleases returns the releases that may be stored now, by chunk, most urgent first. workers
// are the workers of this controller that may have releases. The caller holds the lock.
func (sc *Scheduler) dueReleases(workers map[string]*worker.Worker, now time.Time) []pendingRelease {
	changes := sc.provenEnds(workers, now)
	for key := range sc.releaseDueSince {
		if changes[key] == nil {
			delete(sc.releaseDueSince, key)
		}
	}
	var due []pendingRelease
	for key, change := range changes {
		since, ok := sc.releaseDueSince[key]
		if !ok {
			since = now
			sc.releaseDueSince[key] = now
		}
		if priority, ok := sc.releasePriority(change, changes, now.Sub(since)); ok {
			due = append(due, pendingRelease{change, key, since, priority})
		}
	}
	slices.SortFunc(due, func(a, b pendingRelease) int { return a.compare(&b) })
	return due
}

// provenEnds collects, by chunk, the claims whose attempts are known to have ended, with their
// outcomes: claims on terminated machines, and claims whose end the workers of this controller
// prove.
func (sc *Scheduler) provenEnds(workers map[string]*worker.Worker, now time.Time) chunkChanges {
	changes := chunkChanges{}
	sc.addReleasesOnTerminatedMachines(changes)
	sc.addEndsProvenByWorkers(changes, workers, now)
	return changes
}

// addReleasesOnTerminatedMachines adds the releases of claims on terminated machines. The
// termination of a machine is stored, so any controller may release its claims. The controller
// that ranks first for the job does, in one write for the machines of all shard owners.
func (sc *Scheduler) addReleasesOnTerminatedMachines(changes chunkChanges) {
	ranksFirst := map[string]bool{} // by job; cached, since ranking the members is expensive
	for machine := range sc.MachineIndex.TerminatedMachines {
		for id := range sc.Table.ClaimsByMachine[machine] {
			first, known := ranksFirst[id.Job]
			if !known {
				first = sc.ranksFirst(id.Job)
				ranksFirst[id.Job] = first
			}
			if first {
				changes.addEvent(sc.Table.Jobs[id.Job], id.Task, jobs.TaskEvent{Kind: jobs.EventTaskRelease})
			}
		}
	}
}

// addEndsProvenByWorkers adds the events of attempts whose end the workers prove, on machines that
// this controller owns.
func (sc *Scheduler) addEndsProvenByWorkers(changes chunkChanges, workers map[string]*worker.Worker, now time.Time) {
	lease := sc.Settings.WorkerLease()
	for machine, w := range workers {
		if w.NothingToReconcile(now, lease) || sc.ShardOwner(machine) != sc.Self.Label || sc.Inventory.Machines[machine].Phase == inventory.Terminated {
			continue
		}
		for _, end := range w.ProvenEnds(sc.Table.ClaimsByMachine[machine], now, lease) {
			changes.addEvent(sc.Table.Jobs[end.Task.Job], end.Task.Task, jobs.TaskEvent{Kind: end.Kind})
		}
	}
}

// releasePriority returns the priority of a chunk's releases, which have been due for the time
// waited. It returns false while further releases are collected for the same write, or while no
// write about the job may be made.
func (sc *Scheduler) releasePriority(change *chunkChange, changes chunkChanges, waited time.Duration) (releasePriority, bool) {
	completed, restarts := 0, false
	for _, event := range change.events {
		if event.Kind == jobs.EventTaskComplete {
			completed++
		} else {
			restarts = true
		}
	}
	job := change.job
	endsJob := job.TaskCounts[jobs.Completed]+completed == job.Record.Tasks
	keepCollecting := !endsJob && len(change.events) < len(job.Claims) && waited < tuning.ReleaseBatchDelay
	if keepCollecting || sc.WritesInFlight[job.ID] || sc.Now().Before(sc.BackoffUntil[job.ID]) {
		return releaseRoutine, false
	}
	switch {
	case endsJob:
		return releaseJobEnd, true
	case job.IsService() || restarts || waited > tuning.ReleaseOverdue || sc.releasesLastLocalClaims(job, changes):
		return releaseRestart, true
	}
	return releaseRoutine, true
}

// releasesLastLocalClaims reports whether the due releases leave no claim of the job on this
// controller's machines while no task of the job is pending. The controller that stores the job's
// end then waits for these releases. Without this rule the job's end could be 12 s late, because a
// controller took its last releases of the job for ones that only free capacity.
func (sc *Scheduler) releasesLastLocalClaims(job *jobs.Job, due chunkChanges) bool {
	if job.TaskCounts[jobs.Pending] > 0 {
		return false
	}
	for task, claim := range job.Claims {
		if sc.ShardOwner(claim.Machine) == sc.Self.Label && !due.hasEvent(job, task) {
			return false
		}
	}
	return true
}

// planRelease adds the write of one chunk's releases, if the budget covers it. The caller holds the
// lock.
func (sc *Scheduler) planRelease(writes []*PendingWrite, release pendingRelease, budget *writeBudget) []*PendingWrite {
	job := release.job
	if !budget.covers(1) || sc.WritesInFlight[job.ID] {
		return writes
	}
	tasks, ok := release.apply()
	if !ok {
		return writes
	}
	write := sc.newWrite(writeReleases)
	sc.compareCurrent(write, release.key)
	sc.compareCurrent(write, jobs.JobKey(job.ID))
	sc.putChunk(write, release.chunkChange, release.key, tasks)
	for task, event := range release.events {
		write.logWhenStored(logging.EventClaimReleased,
			logging.KeyTask, jobs.TaskID{Job: job.ID, Task: task},
			logging.KeyOutcome, string(event.Kind),
			logging.KeyMachine, job.Claims[task].Machine)
	}
	return sc.addWrite(writes, write, job.ID, budget)
}
