// Package scheduler runs the passes of a controller: it places pending tasks,
// claims machines for them, releases claims whose attempts have surely ended, and
// admits claims within the teams' quotas, each as compare-and-swaps in the store.
// It owns what a pass carries over to the next. Packages placement and quota
// decide; package cluster holds the state that passes start from, and package
// fleet the workers.
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

// Scheduler decides in passes. A pass is one critical section that returns writes;
// each of them is then committed on its own. The state's lock guards all fields.
type Scheduler struct {
	*cluster.State
	*fleet.Fleet

	WritesInFlight  map[string]bool      // jobs, and keys of intake records, that a write is in flight for
	claimsDeferred  bool                 // the last pass wrote releases or shares, and no claims though some were due
	releaseDueSince map[string]time.Time // since when there are releases to store, by key of the chunk
	BackoffUntil    map[string]time.Time // until when a job waits after a write about it failed
	preemptedFor    map[string]time.Time // when tasks were last preempted for a job
	Unplaced        map[string]int       // tasks without a place in the last pass, by job
	PendingReasons  map[string]string    // why they have none, by job
	UnplacedSince   map[string]time.Time // since when a job has tasks without a place
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
		PendingReasons:  map[string]string{},
		UnplacedSince:   map[string]time.Time{},
	}
}

// Run runs a pass whenever something has changed, until ctx ends.
//
// The commits of a pass's writes run beside the next passes, which leave alone
// what WritesInFlight names. They are not waited for here: a clean stop waits for
// WritesInFlight to empty before it ends ctx, and a forced one must not wait. Each
// ends by itself within the bounds that Commit states.
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
		took := time.Since(start)
		for _, write := range writes {
			go sc.Commit(ctx, write)
		}
		// Guards against passes that leave no processor for heartbeats and polls.
		timing.Sleep(ctx, min(max(tuning.PassPause, tuning.PassRest*took), tuning.PassPauseMax))
	}
	return nil
}

// runPass takes the lock for a pass.
func (sc *Scheduler) runPass() []*PendingWrite {
	sc.Lock()
	defer sc.Unlock()
	return sc.Schedule()
}

// Schedule runs a pass: it returns the writes to commit, and sends workers the
// commands that are due. The caller holds the lock.
func (sc *Scheduler) Schedule() []*PendingWrite {
	if !sc.IsMember() || !sc.HasStore() || sc.Draining() {
		return nil
	}
	now := sc.Now()
	sc.MachineIndex.ApplyRecordChanges()
	workers, fullScan := sc.MachineIndex.WorkersToScan(now)
	if fullScan {
		sc.Recovery.AdvanceRecovery(now)
	}
	sc.pruneFinished(workers, now)
	budget := writeBudget(sc.Limiter.AvailableWrites(tuning.WriteReserve))
	writes := sc.planRebalances(now, &budget)
	due := sc.dueReleases(workers, now)
	machines := sc.MachineIndex.RefreshMachines(now)
	input := sc.PlacementInput(machines, now)
	output := placement.Schedule(input)
	sc.recordUnplaced(output, now)
	if !sc.Recovery.MachinesUnknown() {
		sc.preempt(output.Preemptions, now)
		if fullScan {
			sc.evictMisplacedServices(machines)
		}
	}
	writes = sc.planReleasesAndClaims(writes, due, output.Claims, &budget)
	writes = append(writes, sc.planTransfers(input.Teams, output.ShareShortfall, now, &budget)...)
	writes = append(writes, sc.planReservations(output.GuaranteeShortfall, now, &budget)...)
	writes = sc.planFinishedJobs(writes, &budget)
	sc.updateQueuedWrites(len(due) + countJobs(output.Claims) - len(writes))
	sc.Peers.UpdateBudgetShare()
	sc.Workers.CommandWorkers(workers, now)
	sc.MachineIndex.RemoveQuiescent()
	return writes
}

// pruneFinished forgets what no longer matters of tasks that were stopped, of
// machines with failures, and of jobs that were preempted for or backed off.
func (sc *Scheduler) pruneFinished(workers map[string]*worker.Worker, now time.Time) {
	for machine, w := range workers {
		if len(w.Stopping) > 0 && w.PruneStopping(sc.Table.ClaimsByMachine[machine]) {
			sc.MachineIndex.MarkChanged(machine)
		}
	}
	for machine, w := range sc.Workers.Failing {
		if len(w.FailedJobs) == 0 || sc.Workers.ByMachine[machine] != w {
			delete(sc.Workers.Failing, machine)
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

// preempt stops the victims of a placement. The caller holds the lock.
func (sc *Scheduler) preempt(preemptions []placement.Preemption, now time.Time) {
	for _, preemption := range preemptions {
		w := sc.Workers.ByMachine[preemption.Job.Claims[preemption.ID.Task].Machine]
		if w == nil {
			continue
		}
		sc.Workers.StopTask(w, preemption.ID)
		sc.preemptedFor[preemption.For] = now
		sc.Log.Debug(logging.EventTaskPreempted, logging.KeyTask, preemption.ID, logging.KeyMachine, w.Machine, logging.KeyPreemptedFor, preemption.For)
	}
}

// planReleasesAndClaims adds the writes of releases and claims. Releases that end
// jobs, or of tasks that are to start again, come first, but take no more than half
// of the budget while tasks wait for their claims. The other releases only free
// room, which is not short while there are claims. Guards against a half-empty
// fleet beside a queue: the releases of hundreds of tasks took the budget from the
// claims. The caller holds the lock.
func (sc *Scheduler) planReleasesAndClaims(writes []*PendingWrite, due []pendingRelease, claims []placement.Claim, budget *writeBudget) []*PendingWrite {
	early := *budget
	if len(claims) > 0 {
		early = sc.earlyReleaseBudget(*budget)
	}
	*budget -= early
	for _, release := range due {
		if release.priority < releaseRoutine {
			writes = sc.planRelease(writes, release, &early)
		}
	}
	*budget += early
	beforeClaims := len(writes)
	writes = sc.planClaims(writes, claims, budget)
	// Rebalances, which were planned before, count as releases here.
	sc.claimsDeferred = len(claims) > 0 && len(writes) == beforeClaims && beforeClaims > 0
	for _, release := range due {
		writes = sc.planRelease(writes, release, budget) // those that were not written yet
	}
	return writes
}

// updateQueuedWrites enters how many writes were due and had no room in the budget
// in the mean of what waits for it. The caller holds the lock.
func (sc *Scheduler) updateQueuedWrites(left int) {
	waiting := sc.Limiter.QueuedWrites() + float64(sc.MachineWritesLeft+max(0, left))
	sc.QueuedWrites += (waiting - sc.QueuedWrites) / 2
}

// recordUnplaced notes the tasks without a place, why they have none, and since
// when. The caller holds the lock.
func (sc *Scheduler) recordUnplaced(output placement.Output, now time.Time) {
	sc.Unplaced, sc.PendingReasons = output.Unplaced, output.Reasons
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
