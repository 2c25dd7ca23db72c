package controller

import (
	"context"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// scheduler places tasks, claims machines for them and releases claims whose end
// is proven. It decides in passes; each pass returns guarded writes.
type scheduler struct {
	*clusterState
	*fleet

	writesInFlight  map[string]bool      // jobs, and intake records, that a write under way is about
	claimsDeferred  bool                 // the last pass wrote releases, and no claim though some were due
	releaseDueSince map[string]time.Time // chunks with releases to store, since when
	backoffUntil    map[string]time.Time // jobs that lost a race, by when to try again
	preemptedFor    map[string]time.Time // jobs that others were preempted for, by when
	unplaced        map[string]int       // tasks without a place, by job, of the last pass
	pendingReasons  map[string]string    // why they wait, by job
	unplacedSince   map[string]time.Time // since when they wait, by job
}

func newScheduler(state *clusterState, fleet *fleet) *scheduler {
	return &scheduler{
		clusterState:    state,
		fleet:           fleet,
		writesInFlight:  map[string]bool{},
		releaseDueSince: map[string]time.Time{},
		backoffUntil:    map[string]time.Time{},
		preemptedFor:    map[string]time.Time{},
		unplaced:        map[string]int{},
		pendingReasons:  map[string]string{},
		unplacedSince:   map[string]time.Time{},
	}
}

// runScheduler runs the owner's part whenever something has changed.
func (sc *scheduler) runScheduler(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-sc.passWake:
		case <-time.After(tuning.TickEvery):
		}
		sc.recordProgress(passLoop)
		start := time.Now()
		sc.Lock()
		txns := sc.schedule()
		sc.Unlock()
		took := time.Since(start)
		for _, t := range txns {
			go sc.commit(ctx, t)
		}
		// Guards against passes that leave no processor for reports and polls.
		sleep(ctx, min(max(tuning.PassPause, tuning.PassRest*took), tuning.PassPauseMax))
	}
	return nil
}

// schedule computes the writes of this node and sends what is due to workers; the
// lock is held.
func (sc *scheduler) schedule() []*pendingWrite {
	if !sc.isMember() || !sc.hasStore() || sc.draining() {
		return nil
	}
	now := sc.now()
	sc.machineIndex.applyRecordChanges()
	workers, all := sc.machineIndex.workersToScan(now)
	if all {
		sc.recovery.advanceRecovery(now)
	}
	sc.pruneFinished(workers, now)
	// What can't be written now is not decided now: it would wait in the
	// budget's queue until its guards are old, and fail.
	most := sc.limiter.AvailableWrites(tuning.WriteReserve)
	txns := sc.planRebalances(now, &most)
	due := sc.dueReleases(workers, now)
	machines := sc.machineIndex.refreshMachines(now)
	in := sc.placeInput(machines, now)
	out := placement.Schedule(in)
	sc.recordUnplaced(out, now)
	if !sc.recovery.machinesUnknown() {
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
	sc.peers.updateBudgetShare()
	sc.workers.commandWorkers(workers, now)
	sc.machineIndex.removeQuiescent()
	return txns
}

// pruneFinished drops what is remembered of tasks, machines and jobs and is over; the
// lock is held.
func (sc *scheduler) pruneFinished(workers map[string]*worker.Worker, now time.Time) {
	for host, w := range workers {
		if len(w.Stopping) > 0 && w.PruneStopping(sc.table.ClaimsByMachine[host]) {
			sc.machineIndex.markChanged(host)
		}
	}
	for host, w := range sc.workers.failing {
		if len(w.FailedJobs) == 0 || sc.workers.byMachine[host] != w {
			delete(sc.workers.failing, host)
		}
	}
	for jobID, at := range sc.preemptedFor {
		if now.Sub(at) > tuning.PreemptPause {
			delete(sc.preemptedFor, jobID)
		}
	}
	for jobID, at := range sc.backoffUntil {
		if now.After(at) {
			delete(sc.backoffUntil, jobID)
		}
	}
}

// preempt stops tasks whose room others need; the lock is held.
func (sc *scheduler) preempt(list []placement.Preemption, now time.Time) {
	for _, r := range list {
		w := sc.workers.byMachine[sc.machineOf(r.ClaimedTask)]
		if w == nil {
			continue
		}
		sc.workers.stopTask(w, r.ID)
		sc.preemptedFor[r.For] = now
		sc.log.Debug("task stopped for a job of higher claim", "task", r.ID, "host", w.Machine, "for", r.For)
	}
}

// planReleasesAndClaims adds the writes of ends and claims. Ends of jobs and of tasks
// that are to start again come first, but no more than half of what can be
// written while tasks wait for their claims. The other ends only free room,
// which is not short while there are claims. Guards against a half-empty fleet
// beside a queue: the ends of hundreds of tasks took the budget from the claims.
// The lock is held.
func (sc *scheduler) planReleasesAndClaims(txns []*pendingWrite, due []pendingRelease, claims []placement.Claim, most *float64) []*pendingWrite {
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
func (sc *scheduler) updateQueuedWrites(left int) {
	waits := sc.limiter.QueuedWrites() + float64(sc.machineWritesLeft+max(0, left))
	sc.queuedWrites += (waits - sc.queuedWrites) / 2
}

// commandWorkers sends workers what is due, and forgets those of machines that are
// gone; the lock is held.
func (wm *workerManager) commandWorkers(workers map[string]*worker.Worker, now time.Time) {
	for host, w := range workers {
		if wm.shardOwner(host) == wm.self.Label {
			wm.fencePendingStarts(w)
			wm.sendDirectCommands(w, now)
		} else if wm.inventory.KeyOf(host) == "" && now.Sub(w.LastHeard) > 2*wm.settings.WorkerLease() {
			delete(wm.byMachine, host)
		}
	}
}

// machineOf is the machine that a claimed task is on.
func (sc *scheduler) machineOf(r placement.ClaimedTask) string {
	return r.Job.Claims[r.ID.Task].Machine
}

// recordUnplaced notes the tasks without a place, why, and since when; the lock is held.
func (sc *scheduler) recordUnplaced(out placement.Output, now time.Time) {
	sc.unplaced, sc.pendingReasons = out.Unplaced, out.Reasons
	sc.recordShortages(out, now)
	for jobID := range sc.unplacedSince {
		if out.Unplaced[jobID] == 0 {
			delete(sc.unplacedSince, jobID)
		}
	}
	for jobID := range out.Unplaced {
		if _, ok := sc.unplacedSince[jobID]; !ok {
			sc.unplacedSince[jobID] = now
		}
	}
}

// placeInput builds the pass's input; the lock is held.
func (sc *scheduler) placeInput(machines *placement.Fleet, now time.Time) placement.Input {
	in := placement.Input{Self: sc.self.Label, Leader: sc.membership.Leader.Label, RankNodes: sc.membership.RankNodes,
		Fleet: machines, Teams: sc.allowances(), Now: now, MaxJobs: tuning.JobsPerPass,
		MinimizeLoss: sc.settings.Operator.QuotaReservations}
	avoid := map[string]map[string]bool{}
	for host, w := range sc.workers.failing {
		for jobID := range w.FailedJobs {
			if avoid[jobID] == nil {
				avoid[jobID] = map[string]bool{}
			}
			avoid[jobID][host] = true
		}
	}
	pipelines := sc.dependenciesSupported()
	for jobID, j := range sc.table.Open {
		if j.Counts[jobs.Pending] == 0 || j.Record.Phase == jobs.Waiting && !pipelines {
			continue // an old member would stop what starts on its machines
		}
		d := &placement.Demand{Job: j, Avoid: avoid[jobID]}
		d.Tasks = sc.pendingTasks(j, tuning.TasksPerJob, now)
		// The cloud may still bring room for a guarantee; work that is stopped
		// for it is lost.
		d.MayReclaim = sc.mayReclaim(j, now)
		d.Starved = j.Counts[jobs.Pending] == j.Record.Tasks && now.UnixMilli()-j.ReadyAtMs > tuning.StarvedAfter.Milliseconds()
		d.PreemptedFor = now.Sub(sc.preemptedFor[jobID]) < tuning.PreemptPause
		d.WriteInFlight = sc.writesInFlight[jobID] || now.Before(sc.backoffUntil[jobID])
		if len(d.Tasks) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	return in
}

// pendingTasks lists up to most pending tasks of a job that may be tried now.
func (sc *scheduler) pendingTasks(j *jobs.Job, most int, now time.Time) []int {
	var out []int
	for c := 0; c*j.Record.ChunkSize < j.Record.Tasks && len(out) < most; c++ {
		tasks := j.Chunks[c] // nil: all pending
		for k := 0; k < j.ChunkLen(c) && len(out) < most; k++ {
			i := c*j.Record.ChunkSize + k
			if tasks == nil {
				out = append(out, i)
				continue
			}
			if tasks[k].State != jobs.Pending {
				continue
			}
			if errs := tasks[k].Failures; errs > 0 {
				pause := min(tuning.RetryBase<<min(errs-1, 10), tuning.RetryCap)
				if now.Sub(sc.table.FailedAt[jobs.TaskID{Job: j.ID, Task: i}]) < pause {
					continue
				}
			}
			out = append(out, i)
		}
	}
	return out
}
