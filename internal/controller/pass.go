package controller

import (
	"context"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// runScheduler runs the owner's part whenever something has changed.
func (n *Controller) runScheduler(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-n.passWake:
		case <-time.After(tuning.TickEvery):
		}
		n.recordProgress(passLoop)
		start := time.Now()
		n.mu.Lock()
		txns := n.schedule()
		n.mu.Unlock()
		took := time.Since(start)
		for _, t := range txns {
			go n.commit(ctx, t)
		}
		// Guards against passes that leave no processor for reports and polls.
		sleep(ctx, min(max(tuning.PassPause, tuning.PassRest*took), tuning.PassPauseMax))
	}
	return nil
}

// schedule computes the writes of this node and sends what is due to workers; mu
// is held.
func (n *Controller) schedule() []*pendingWrite {
	if !n.isMember() || !n.hasStore() || n.draining() {
		return nil
	}
	now := n.now()
	n.applyRecordChanges()
	workers, all := n.workersToScan(now)
	if all {
		n.advanceRecovery(now)
	}
	n.pruneFinished(workers, now)
	// What can't be written now is not decided now: it would wait in the
	// budget's queue until its guards are old, and fail.
	most := n.limiter.AvailableWrites(tuning.WriteReserve)
	txns := n.planRebalances(now, &most)
	due := n.dueReleases(workers, now)
	fleet := n.refreshMachines(now)
	in := n.placeInput(fleet, now)
	out := placement.Schedule(in)
	n.recordUnplaced(out, now)
	if !n.machinesUnknown() {
		n.preempt(out.Preemptions, now)
		if all {
			n.evictMisplacedServices(fleet)
		}
	}
	txns = n.planReleasesAndClaims(txns, due, out.Claims, &most)
	txns = append(txns, n.planTransfers(in.Teams, out.ShareShortfall, now, &most)...)
	txns = append(txns, n.planReservations(out.GuaranteeShortfall, now, &most)...)
	txns = n.planFinishedJobs(txns, &most)
	n.updateQueuedWrites(len(due) + countJobs(out.Claims) - len(txns))
	n.updateBudgetShare()
	n.commandWorkers(workers, now)
	n.removeQuiescent()
	return txns
}

// pruneFinished drops what is remembered of tasks, machines and jobs and is over; mu
// is held.
func (n *Controller) pruneFinished(workers map[string]*worker.Worker, now time.Time) {
	for host, w := range workers {
		if len(w.Stopping) > 0 && w.PruneStopping(n.table.ClaimsByMachine[host]) {
			n.machineIndex.markChanged(host)
		}
	}
	for host, w := range n.failingWorkers {
		if len(w.FailedJobs) == 0 || n.workers[host] != w {
			delete(n.failingWorkers, host)
		}
	}
	for jobID, at := range n.preemptedFor {
		if now.Sub(at) > tuning.PreemptPause {
			delete(n.preemptedFor, jobID)
		}
	}
	for jobID, at := range n.backoffUntil {
		if now.After(at) {
			delete(n.backoffUntil, jobID)
		}
	}
}

// preempt stops tasks whose room others need; mu is held.
func (n *Controller) preempt(list []placement.Preemption, now time.Time) {
	for _, r := range list {
		w := n.workers[n.machineOf(r.ClaimedTask)]
		if w == nil {
			continue
		}
		n.stopTask(w, r.ID)
		n.preemptedFor[r.For] = now
		n.log.Debug("task stopped for a job of higher claim", "task", r.ID, "host", w.Machine, "for", r.For)
	}
}

// planReleasesAndClaims adds the writes of ends and claims. Ends of jobs and of tasks
// that are to start again come first, but no more than half of what can be
// written while tasks wait for their claims. The other ends only free room,
// which is not short while there are claims. Guards against a half-empty fleet
// beside a queue: the ends of hundreds of tasks took the budget from the claims.
// mu is held.
func (n *Controller) planReleasesAndClaims(txns []*pendingWrite, due []pendingRelease, claims []placement.Claim, most *float64) []*pendingWrite {
	early := *most
	if len(claims) > 0 {
		early = n.earlyReleaseBudget(*most)
	}
	*most -= early
	for _, r := range due {
		if r.priority < releaseRoutine {
			txns = n.planRelease(txns, r, &early)
		}
	}
	*most += early
	released := len(txns)
	txns = n.planClaims(txns, claims, most)
	n.claimsDeferred = len(claims) > 0 && len(txns) == released && released > 0
	for _, r := range due {
		txns = n.planRelease(txns, r, most) // those that were not written yet
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
// mean of what waits for it; mu is held.
func (n *Controller) updateQueuedWrites(left int) {
	waits := n.limiter.QueuedWrites() + float64(n.machineWritesLeft+max(0, left))
	n.queuedWrites += (waits - n.queuedWrites) / 2
}

// commandWorkers sends workers what is due, and forgets those of machines that are
// gone; mu is held.
func (n *Controller) commandWorkers(workers map[string]*worker.Worker, now time.Time) {
	for host, w := range workers {
		if n.shardOwner(host) == n.self.Label {
			n.fencePendingStarts(w)
			n.sendDirectCommands(w, now)
		} else if n.inventory.KeyOf(host) == "" && now.Sub(w.LastHeard) > 2*n.settings.WorkerLease() {
			delete(n.workers, host)
		}
	}
}

// machineOf is the machine that a claimed task is on.
func (n *Controller) machineOf(r placement.ClaimedTask) string {
	return r.Job.Claims[r.ID.Task].Machine
}

// recordUnplaced notes the tasks without a place, why, and since when; mu is held.
func (n *Controller) recordUnplaced(out placement.Output, now time.Time) {
	n.unplaced, n.pendingReasons = out.Unplaced, out.Reasons
	n.recordShortages(out, now)
	for jobID := range n.unplacedSince {
		if out.Unplaced[jobID] == 0 {
			delete(n.unplacedSince, jobID)
		}
	}
	for jobID := range out.Unplaced {
		if _, ok := n.unplacedSince[jobID]; !ok {
			n.unplacedSince[jobID] = now
		}
	}
}

// placeInput builds the pass's input; mu is held.
func (n *Controller) placeInput(fleet *placement.Fleet, now time.Time) placement.Input {
	in := placement.Input{Self: n.self.Label, Leader: n.membership.Leader.Label, RankNodes: n.membership.RankNodes,
		Fleet: fleet, Teams: n.allowances(), Now: now, MaxJobs: tuning.JobsPerPass,
		MinimizeLoss: n.settings.Operator.QuotaReservations}
	avoid := map[string]map[string]bool{}
	for host, w := range n.failingWorkers {
		for jobID := range w.FailedJobs {
			if avoid[jobID] == nil {
				avoid[jobID] = map[string]bool{}
			}
			avoid[jobID][host] = true
		}
	}
	pipelines := n.dependenciesSupported()
	for jobID, j := range n.table.Open {
		if j.Counts[jobs.Pending] == 0 || j.Record.Phase == jobs.Waiting && !pipelines {
			continue // an old member would stop what starts on its machines
		}
		d := &placement.Demand{Job: j, Avoid: avoid[jobID]}
		d.Tasks = n.pendingTasks(j, tuning.TasksPerJob, now)
		// The cloud may still bring room for a guarantee; work that is stopped
		// for it is lost.
		d.MayReclaim = n.mayReclaim(j, now)
		d.Starved = j.Counts[jobs.Pending] == j.Record.Tasks && now.UnixMilli()-j.ReadyAtMs > tuning.StarvedAfter.Milliseconds()
		d.PreemptedFor = now.Sub(n.preemptedFor[jobID]) < tuning.PreemptPause
		d.WriteInFlight = n.writesInFlight[jobID] || now.Before(n.backoffUntil[jobID])
		if len(d.Tasks) > 0 {
			in.Demands = append(in.Demands, d)
		}
	}
	return in
}

// pendingTasks lists up to most pending tasks of a job that may be tried now.
func (n *Controller) pendingTasks(j *jobs.Job, most int, now time.Time) []int {
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
				if now.Sub(n.table.FailedAt[jobs.TaskID{Job: j.ID, Task: i}]) < pause {
					continue
				}
			}
			out = append(out, i)
		}
	}
	return out
}
