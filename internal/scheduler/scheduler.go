// Package scheduler runs the passes of a controller: it places tasks, claims
// machines, releases claims whose end is proven and admits within quotas, as
// guarded writes to the store. Packages placement and quota decide.
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

// Scheduler places tasks, claims machines for them and releases claims whose end
// is proven. It decides in passes; each pass returns guarded writes.
type Scheduler struct {
	*cluster.State
	*fleet.Fleet

	WritesInFlight  map[string]bool      // jobs, and intake records, that a write under way is about
	claimsDeferred  bool                 // the last pass wrote releases, and no claim though some were due
	releaseDueSince map[string]time.Time // chunks with releases to store, since when
	BackoffUntil    map[string]time.Time // jobs that lost a race, by when to try again
	preemptedFor    map[string]time.Time // jobs that others were preempted for, by when
	Unplaced        map[string]int       // tasks without a place, by job, of the last pass
	PendingReasons  map[string]string    // why they wait, by job
	UnplacedSince   map[string]time.Time // since when they wait, by job
}

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

// RunScheduler runs the owner's part whenever something has changed.
func (sc *Scheduler) RunScheduler(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-sc.PassWake:
		case <-time.After(tuning.TickEvery):
		}
		sc.RecordProgress(cluster.PassLoop)
		start := time.Now()
		sc.Lock()
		txns := sc.Schedule()
		sc.Unlock()
		took := time.Since(start)
		for _, t := range txns {
			go sc.Commit(ctx, t)
		}
		// Guards against passes that leave no processor for reports and polls.
		timing.Sleep(ctx, min(max(tuning.PassPause, tuning.PassRest*took), tuning.PassPauseMax))
	}
	return nil
}

// Schedule computes the writes of this node and sends what is due to workers; the
// lock is held.
func (sc *Scheduler) Schedule() []*PendingWrite {
	if !sc.IsMember() || !sc.HasStore() || sc.Draining() {
		return nil
	}
	now := sc.Now()
	sc.MachineIndex.ApplyRecordChanges()
	workers, all := sc.MachineIndex.WorkersToScan(now)
	if all {
		sc.Recovery.AdvanceRecovery(now)
	}
	sc.pruneFinished(workers, now)
	// What can't be written now is not decided now: it would wait in the
	// budget's queue until its guards are old, and fail.
	most := sc.Limiter.AvailableWrites(tuning.WriteReserve)
	txns := sc.planRebalances(now, &most)
	due := sc.dueReleases(workers, now)
	machines := sc.MachineIndex.RefreshMachines(now)
	in := sc.PlaceInput(machines, now)
	out := placement.Schedule(in)
	sc.recordUnplaced(out, now)
	if !sc.Recovery.MachinesUnknown() {
		sc.preempt(out.Preemptions, now)
		if all {
			sc.evictMisplacedServices(machines)
		}
	}
	txns = sc.planReleasesAndClaims(txns, due, out.Claims, &most)
	txns = append(txns, sc.planTransfers(in.Teams, out.ShareShortfall, now, &most)...)
	txns = append(txns, sc.planReservations(out.GuaranteeShortfall, now, &most)...)
	txns = sc.planFinishedJobs(txns, &most)
	sc.updateQueuedWrites(len(due) + countJobs(out.Claims) - len(txns))
	sc.Peers.UpdateBudgetShare()
	sc.Workers.CommandWorkers(workers, now)
	sc.MachineIndex.RemoveQuiescent()
	return txns
}

// pruneFinished drops what is remembered of tasks, machines and jobs and is over; the
// lock is held.
func (sc *Scheduler) pruneFinished(workers map[string]*worker.Worker, now time.Time) {
	for host, w := range workers {
		if len(w.Stopping) > 0 && w.PruneStopping(sc.Table.ClaimsByMachine[host]) {
			sc.MachineIndex.MarkChanged(host)
		}
	}
	for host, w := range sc.Workers.Failing {
		if len(w.FailedJobs) == 0 || sc.Workers.ByMachine[host] != w {
			delete(sc.Workers.Failing, host)
		}
	}
	for jobID, at := range sc.preemptedFor {
		if now.Sub(at) > tuning.PreemptPause {
			delete(sc.preemptedFor, jobID)
		}
	}
	for jobID, at := range sc.BackoffUntil {
		if now.After(at) {
			delete(sc.BackoffUntil, jobID)
		}
	}
}

// preempt stops tasks whose room others need; the lock is held.
func (sc *Scheduler) preempt(list []placement.Preemption, now time.Time) {
	for _, r := range list {
		w := sc.Workers.ByMachine[sc.machineOf(r.ClaimedTask)]
		if w == nil {
			continue
		}
		sc.Workers.StopTask(w, r.ID)
		sc.preemptedFor[r.For] = now
		sc.Log.Debug(logging.EventTaskPreempted, logging.KeyTask, r.ID, logging.KeyMachine, w.Machine, logging.KeyPreemptedFor, r.For)
	}
}

// planReleasesAndClaims adds the writes of ends and claims. Ends of jobs and of tasks
// that are to start again come first, but no more than half of what can be
// written while tasks wait for their claims. The other ends only free room,
// which is not short while there are claims. Guards against a half-empty fleet
// beside a queue: the ends of hundreds of tasks took the budget from the claims.
// The lock is held.
func (sc *Scheduler) planReleasesAndClaims(txns []*PendingWrite, due []pendingRelease, claims []placement.Claim, most *float64) []*PendingWrite {
	early := *most
	if len(claims) > 0 {
		early = sc.earlyReleaseBudget(*most)
	}
	*most -= early
	for _, r := range due {
		if r.priority < releaseRoutine {
			txns = sc.planRelease(txns, r, &early)
		}
	}
	*most += early
	released := len(txns)
	txns = sc.planClaims(txns, claims, most)
	sc.claimsDeferred = len(claims) > 0 && len(txns) == released && released > 0
	for _, r := range due {
		txns = sc.planRelease(txns, r, most) // those that were not written yet
	}
	return txns
}

// countJobs is how many jobs the claims are of.
func countJobs(claims []placement.Claim) int {
	seen := map[string]bool{}
	for _, c := range claims {
		seen[c.Job.ID] = true
	}
	return len(seen)
}

// updateQueuedWrites enters how many writes were due and had no room in the budget in the
// mean of what waits for it; the lock is held.
func (sc *Scheduler) updateQueuedWrites(left int) {
	waits := sc.Limiter.QueuedWrites() + float64(sc.MachineWritesLeft+max(0, left))
	sc.QueuedWrites += (waits - sc.QueuedWrites) / 2
}

// machineOf is the machine that a claimed task is on.
func (sc *Scheduler) machineOf(r placement.ClaimedTask) string {
	return r.Job.Claims[r.ID.Task].Machine
}

// recordUnplaced notes the tasks without a place, why, and since when; the lock is held.
func (sc *Scheduler) recordUnplaced(out placement.Output, now time.Time) {
	sc.Unplaced, sc.PendingReasons = out.Unplaced, out.Reasons
	sc.recordShortages(out, now)
	for jobID := range sc.UnplacedSince {
		if out.Unplaced[jobID] == 0 {
			delete(sc.UnplacedSince, jobID)
		}
	}
	for jobID := range out.Unplaced {
		if _, ok := sc.UnplacedSince[jobID]; !ok {
			sc.UnplacedSince[jobID] = now
		}
	}
}
