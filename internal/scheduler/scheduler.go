// Package scheduler runs the scheduling passes of a controller. A pass places pending tasks, claims
// machines for them, releases claims whose attempts are known to have ended, and admits claims
// within the teams' quotas. Each change is a compare-and-swap in the store. The package owns the
// state that is carried over from one pass to the next. Packages placement and quota make the
// decisions, package cluster holds the state that passes are based on, and package fleet manages
// the workers.
package scheduler

import (
	"context"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// Scheduler makes decisions in passes. A pass is one critical section that returns writes, each of
// which is then committed separately. The state's lock guards all fields.
type Scheduler struct {
	*cluster.State
	*fleet.Fleet

	WritesInFlight  map[string]bool      // jobs and intake record keys with a write in flight
	claimsDeferred  bool                 // the last pass planned releases or shares, but no claims although some were due
	releaseDueSince map[string]time.Time // since when a chunk has releases to store, by chunk key
	BackoffUntil    map[string]time.Time // end of the backoff after a failed write, by job
	preemptedFor    map[string]time.Time // time of the last preemption for a job, by job
	Unplaced        map[string]int       // number of tasks that the last pass could not place, by job
	UnplacedReasons map[string]string    // why those tasks could not be placed, by job
	UnplacedSince   map[string]time.Time // since when a job has unplaced tasks
}

// New returns a scheduler that has not run a pass yet.
func New(state *cluster.State, fleet *fleet.Fleet) *Scheduler {
	return &Scheduler{
		State:           state,
		Fleet:           fleet,
		WritesInFlight:  map[string]bool{},
		releaseDueSince: map[string]time.Time{},
		BackoffUntil:    map[string]time.Time{},
		preemptedFor:    map[string]time.Time{},
		Unplaced:        map[string]int{},
		UnplacedReasons: map[string]string{},
		UnplacedSince:   map[string]time.Time{},
	}
}

// Run runs a pass whenever something has changed, or after tuning.TickEvery without a change, until
// ctx ends.
//
// The writes of a pass are committed concurrently with the next passes, which skip the jobs and
// records in WritesInFlight. Run does not wait for the commits: a graceful stop waits for
// WritesInFlight to be empty before it cancels ctx, and a forced stop must not wait. Each commit
// ends within the time limits documented at Commit.
func (sc *Scheduler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-sc.PassWake:
		case <-time.After(tuning.TickEvery):
		}
		sc.RecordProgress(cluster.PassLoop)
		start := time.Now()
		writes := sc.runPass()
		elapsed := time.Since(start)
		for _, write := range writes {
			go sc.Commit(ctx, write)
		}
		// Without this pause, passes could leave no CPU time for heartbeats and polls.
		timing.Sleep(ctx, min(max(tuning.PassPause, tuning.PassRestFactor*elapsed), tuning.PassPauseMax))
	}
	return nil
}

// runPass runs a pass under the lock.
func (sc *Scheduler) runPass() []*PendingWrite {
	sc.Lock()
	defer sc.Unlock()
	return sc.PlanPass()
}

// PlanPass runs a pass. It returns the writes to commit, and sends the due commands to workers.
// The caller holds the lock.
func (sc *Scheduler) PlanPass() []*PendingWrite {
	if !sc.IsMember() || !sc.StoreReadRecently() || sc.IsStopping() {
		return nil
	}
	now := sc.Now()
	sc.MachineIndex.ApplyRecordChanges()
	workers, fullScan := sc.MachineIndex.WorkersToScan(now)
	if fullScan {
		sc.Recovery.AdvanceRecovery(now)
	}
	sc.pruneFinished(workers, now)
	budget := writeBudget(sc.Limiter.AvailableWrites(tuning.SubmissionWriteReserve))
	writes := sc.planRebalances(now, &budget)
	due := sc.dueReleases(workers, now)
	machines := sc.MachineIndex.RefreshMachines(now)
	input := sc.PlacementInput(machines, now)
	output := placement.Schedule(input)
	sc.recordUnplaced(output, now)
	if !sc.Recovery.MustAwaitMachines() {
		sc.preempt(output.Preemptions, now)
		if fullScan {
			sc.evictMisplacedServices(machines)
		}
	}
	writes = sc.planReleasesAndClaims(writes, due, output.Claims, &budget)
	writes = append(writes, sc.planTransfers(input.Allowances, output.ShareShortfall, now, &budget)...)
	writes = append(writes, sc.planReservations(output.GuaranteeShortfall, now, &budget)...)
	writes = sc.planFinishedJobs(writes, &budget)
	sc.updateQueuedWrites(len(due) + countJobs(output.Claims) - len(writes))
	sc.Peers.UpdateStoreBudgetShare()
	sc.Workers.SendDueCommands(workers, now)
	sc.MachineIndex.RemoveQuiescent()
	return writes
}

// pruneFinished drops obsolete state: stop requests of released tasks, entries of failing machines
// whose failures are cleared or whose worker was replaced, and expired preemption pauses and
// backoffs of jobs.
func (sc *Scheduler) pruneFinished(workers map[string]*worker.Worker, now time.Time) {
	for machine, w := range workers {
		if len(w.StopRequested) > 0 && w.PruneStopRequests(sc.Table.ClaimsByMachine[machine]) {
			sc.MachineIndex.MarkChanged(machine)
		}
	}
	for machine, w := range sc.Workers.WorkersWithFailures {
		if len(w.FailedJobs) == 0 || sc.Workers.ByMachine[machine] != w {
			delete(sc.Workers.WorkersWithFailures, machine)
		}
	}
	for jobID, at := range sc.preemptedFor {
		if now.Sub(at) > tuning.PreemptPause {
			delete(sc.preemptedFor, jobID)
		}
	}
	for jobID, until := range sc.BackoffUntil {
		if now.After(until) {
			delete(sc.BackoffUntil, jobID)
		}
	}
}

// preempt stops the tasks that the placement chose to preempt. The caller holds the lock.
func (sc *Scheduler) preempt(preemptions []placement.Preemption, now time.Time) {
	for _, preemption := range preemptions {
		w := sc.Workers.ByMachine[preemption.Job.Claims[preemption.ID.Task].Machine]
		if w == nil {
			continue
		}
		sc.Workers.StopTask(w, preemption.ID)
		sc.preemptedFor[preemption.PreemptorJobID] = now
		sc.Log.Debug(logging.EventTaskPreempted, logging.KeyTask, preemption.ID, logging.KeyMachine, w.Machine, logging.KeyPreemptedFor, preemption.PreemptorJobID)
	}
}

// planReleasesAndClaims adds the writes of releases and claims. Releases that end jobs or allow
// tasks to be restarted come first, but use at most half of the budget while there are claims to
// write. All other releases only free capacity, which is not short while tasks can be placed, so
// they come last. Without this order, the releases of hundreds of tasks used up the budget and left
// the fleet half empty while tasks were queued. The caller holds the lock.
func (sc *Scheduler) planReleasesAndClaims(writes []*PendingWrite, due []pendingRelease, claims []placement.Claim, budget *writeBudget) []*PendingWrite {
	earlyBudget := *budget
	if len(claims) > 0 {
		earlyBudget = sc.earlyReleaseBudget(*budget)
	}
	*budget -= earlyBudget
	for _, release := range due {
		if release.priority < releaseRoutine {
			writes = sc.planRelease(writes, release, &earlyBudget)
		}
	}
	*budget += earlyBudget
	beforeClaims := len(writes)
	writes = sc.planClaims(writes, claims, budget)
	// The writes planned before the claims include rebalances, which count as releases here.
	sc.claimsDeferred = len(claims) > 0 && len(writes) == beforeClaims && beforeClaims > 0
	for _, release := range due {
		writes = sc.planRelease(writes, release, budget) // skips jobs with a release planned above, which are in flight
	}
	return writes
}

// updateQueuedWrites updates the moving average of the writes that wait for the store's budget with
// the number of due writes that this pass deferred. The caller holds the lock.
func (sc *Scheduler) updateQueuedWrites(deferred int) {
	waiting := sc.Limiter.QueuedWrites() + float64(sc.MachineWritesLeft+max(0, deferred))
	sc.QueuedWrites += (waiting - sc.QueuedWrites) / 2
}

// recordUnplaced records which tasks could not be placed, why, and since when. The caller holds the
// lock.
func (sc *Scheduler) recordUnplaced(output placement.Output, now time.Time) {
	sc.Unplaced, sc.UnplacedReasons = output.Unplaced, output.UnplacedReasons
	sc.recordShortages(output, now)
	for jobID := range sc.UnplacedSince {
		if output.Unplaced[jobID] == 0 {
			delete(sc.UnplacedSince, jobID)
		}
	}
	for jobID := range output.Unplaced {
		if _, ok := sc.UnplacedSince[jobID]; !ok {
			sc.UnplacedSince[jobID] = now
		}
	}
}
