// This file releases claims whose attempts have surely ended.

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

// earlyReleaseBudget is the part of the budget that releases may take before
// claims: half. If that is less than one operation each, they take turns: with
// passes that come often, a single operation is due at a time, and releases took
// every one. The caller holds the lock.
func (sc *Scheduler) earlyReleaseBudget(budget writeBudget) writeBudget {
	if budget < 2 && sc.claimsDeferred {
		return 0
	}
	return (budget + 1) / 2
}

// pendingRelease is the change of one chunk by releases that may be stored now.
type pendingRelease struct {
	*chunkChange
	key      string // of the chunk
	dueSince time.Time
	priority releasePriority
}

// releasePriority orders releases.
type releasePriority int

// Priorities of releases, the most urgent first.
const (
	releaseJobEnd  releasePriority = iota // the job ends: its user and the jobs that depend on it wait for that
	releaseRestart                        // a task waits for a new start, or this controller's part of the job has ended
	releaseRoutine                        // the release only frees room
)

// compare orders releases by priority; routine ones by how many there are of the
// chunk; then by age. It is 0 only for releases of one chunk.
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

// chunkChanges are changes of chunks by the keys of their records.
type chunkChanges map[string]*chunkChange

// add enters a task event.
func (changes chunkChanges) add(job *jobs.Job, task int, event jobs.TaskEvent) {
	chunk := chunkOf(job, task)
	key := jobs.ChunkKey(job.ID, chunk)
	if changes[key] == nil {
		changes[key] = newChunkChange(job, chunk)
	}
	changes[key].events[task] = event
}

// has reports whether a task event is entered for the task.
func (changes chunkChanges) has(job *jobs.Job, task int) bool {
	change := changes[jobs.ChunkKey(job.ID, chunkOf(job, task))]
	if change == nil {
		return false
	}
	_, ok := change.events[task]
	return ok
}

// dueReleases lists the releases that may be stored now, by chunk, the most urgent
// first. workers are the workers of this controller that may have any. The caller
// holds the lock.
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

// provenEnds collects the claims whose attempts have surely ended, with what became
// of them, by chunk: those on machines that were terminated, and those that the
// workers of this controller prove.
func (sc *Scheduler) provenEnds(workers map[string]*worker.Worker, now time.Time) chunkChanges {
	changes := chunkChanges{}
	sc.addTerminatedMachines(changes)
	sc.addWorkerEnds(changes, workers, now)
	return changes
}

// addTerminatedMachines enters the claims on terminated machines. That a machine is
// terminated is stored, so any controller may release its claims: the one that
// ranks first for the job does, in one write for the machines of all shard owners.
func (sc *Scheduler) addTerminatedMachines(changes chunkChanges) {
	ranksFirst := map[string]bool{} // by job, since ranking the members is expensive
	for machine := range sc.MachineIndex.Terminated {
		for id := range sc.Table.ClaimsByMachine[machine] {
			first, known := ranksFirst[id.Job]
			if !known {
				first = sc.ranksFirst(id.Job)
				ranksFirst[id.Job] = first
			}
			if first {
				changes.add(sc.Table.Jobs[id.Job], id.Task, jobs.TaskEvent{Kind: jobs.Release})
			}
		}
	}
}

// addWorkerEnds enters the claims whose ends the workers prove, on machines that
// this controller owns.
func (sc *Scheduler) addWorkerEnds(changes chunkChanges, workers map[string]*worker.Worker, now time.Time) {
	lease := sc.Settings.WorkerLease()
	for machine, w := range workers {
		if w.NothingToReconcile(now, lease) || sc.ShardOwner(machine) != sc.Self.Label || sc.Inventory.Machines[machine].Phase == inventory.Terminated {
			continue
		}
		for _, end := range w.ProvenEnds(sc.Table.ClaimsByMachine[machine], now, lease) {
			changes.add(sc.Table.Jobs[end.Task.Job], end.Task.Task, jobs.TaskEvent{Kind: end.Kind})
		}
	}
}

// releasePriority says how urgent the releases of a chunk are that have been due
// for so long; false if they are gathered, or can't be written, for now.
func (sc *Scheduler) releasePriority(change *chunkChange, changes chunkChanges, waiting time.Duration) (releasePriority, bool) {
	completed, restarts := 0, false
	for _, event := range change.events {
		if event.Kind == jobs.Complete {
			completed++
		} else {
			restarts = true
		}
	}
	job := change.job
	endsJob := job.Counts[jobs.Completed]+completed == job.Record.Tasks
	gather := !endsJob && len(change.events) < len(job.Claims) && waiting < tuning.ReleaseGather
	if gather || sc.WritesInFlight[job.ID] || sc.Now().Before(sc.BackoffUntil[job.ID]) {
		return releaseRoutine, false
	}
	switch {
	case endsJob:
		return releaseJobEnd, true
	case job.Service() || restarts || waiting > tuning.ReleaseOverdue || sc.endsShare(job, changes):
		return releaseRestart, true
	}
	return releaseRoutine, true
}

// endsShare reports whether the releases that are due leave no claim of the job on
// this controller's machines, and no task is pending: the controller that stores
// the job's end waits for these releases. Guards against jobs whose last release
// came 12 s late because those of other controllers were thought to free room only.
func (sc *Scheduler) endsShare(job *jobs.Job, due chunkChanges) bool {
	if job.Counts[jobs.Pending] > 0 {
		return false
	}
	for task, claim := range job.Claims {
		if sc.ShardOwner(claim.Machine) == sc.Self.Label && !due.has(job, task) {
			return false
		}
	}
	return true
}

// planRelease adds the write of one chunk's releases, if the budget has room for it.
// The caller holds the lock.
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
		write.logWhenStored(logging.EventTaskReleased,
			logging.KeyTask, jobs.TaskID{Job: job.ID, Task: task},
			logging.KeyOutcome, string(event.Kind),
			logging.KeyMachine, job.Claims[task].Machine)
	}
	return sc.addWrite(writes, write, job.ID, budget)
}
