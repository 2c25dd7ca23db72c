// This file applies the decisions of package recovery: how far this controller knows the state
// of its machines, and which starts may be sent now.

package fleet

import (
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// RecoveryTracker tracks, after a start of this controller, how far it knows the state of its
// machines, and limits the rate of task starts until recovery is over.
type RecoveryTracker struct {
	*cluster.State
	workers *WorkerManager
	peers   *PeerExchange

	Progress *recovery.Progress
	pacer    *recovery.Pacer // limits the rate of task starts until recovery is over
}

func newRecoveryTracker(state *cluster.State) *RecoveryTracker {
	return &RecoveryTracker{
		State:    state,
		Progress: recovery.NewProgress(state.Now()),
		pacer:    recovery.NewPacer(float64(state.Settings.Operator.RecoveryStarts), state.Now()),
	}
}

// AdvanceRecovery updates the phase of this controller's recovery. It scans all of the
// controller's machines, but only until recovery is over. The lock is held.
func (rt *RecoveryTracker) AdvanceRecovery(now time.Time) {
	progress := rt.Progress
	if progress.IsRecovered() {
		return
	}
	if !rt.IsMember() {
		rt.applyEvent(recovery.MembershipLost, now)
		return
	}
	rt.applyEvent(recovery.Loaded, now)
	machines, backlog := rt.countMachines(now)
	progress.RecordCounts(machines, len(rt.Table.Open), backlog, now)
	rt.pacer.SetBacklog(progress.PendingStarts)
	if progress.Machines.AllAccountedFor() {
		rt.applyEvent(recovery.AllAccounted, now)
	}
	if rt.caughtUp(now) {
		rt.applyEvent(recovery.CaughtUp, now)
	}
}

// caughtUp reports whether recovery can end: no start has been due for a while, or the phase
// CatchingUp has lasted longer than a worker's lease. In the latter case, the rate limit is not
// what delays the remaining starts. The lock is held.
func (rt *RecoveryTracker) caughtUp(now time.Time) bool {
	timedOut := rt.Progress.Phase == recovery.CatchingUp && now.Sub(rt.Progress.Since) > rt.Settings.WorkerLease()
	return timedOut || rt.Progress.NoStartsPendingFor(now, rt.heartbeatIntervals(tuning.RecoveryQuietHeartbeats))
}

// heartbeatIntervals returns the duration of a number of heartbeat intervals.
func (rt *RecoveryTracker) heartbeatIntervals(intervals float64) time.Duration {
	return time.Duration(intervals * float64(rt.Settings.HeartbeatInterval()))
}

// applyEvent applies an event to the recovery, and logs a change of its phase. The lock is
// held.
func (rt *RecoveryTracker) applyEvent(event recovery.Event, now time.Time) {
	before, since := rt.Progress.Phase, rt.Progress.Since
	if rt.Progress.Apply(event, now) {
		rt.Log.Info(logging.EventRecoveryPhaseChanged, logging.KeyPhase, string(rt.Progress.Phase), logging.KeyPrevious, string(before), logging.KeyDuration, now.Sub(since).Round(time.Millisecond),
			logging.KeyMachines, len(rt.Inventory.Machines), logging.KeyMissing, rt.Progress.Machines[recovery.MachineMissing], logging.KeyStartsLeft, rt.Progress.PendingStarts.Total())
	}
}

// countMachines counts this controller's machines by their recovery state, and the starts that
// are due on those that were heard. The lock is held.
func (rt *RecoveryTracker) countMachines(now time.Time) (count recovery.MachineCounts, backlog recovery.Backlog) {
	count = recovery.MachineCounts{}
	waited := now.Sub(rt.Progress.MemberSince)
	timeout := rt.heartbeatIntervals(tuning.RecoveryMachineHeartbeats)
	for machine, record := range rt.Inventory.Machines {
		if record.Phase == inventory.Terminated || rt.ShardOwner(machine) != rt.Self.Label {
			continue
		}
		w := rt.workers.ByMachine[machine]
		heard := w != nil && !w.LastHeardAt.IsZero()
		count[recovery.MachineStateOf(heard, heard && w.State == worker.TokenAcknowledged, waited, timeout)]++
		if heard {
			rt.countDueStarts(w, machine, &backlog)
		}
	}
	return count, backlog
}

// countDueStarts adds the starts that are due on a machine to the backlog. The lock is
// held.
func (rt *RecoveryTracker) countDueStarts(w *worker.Worker, machine string, backlog *recovery.Backlog) {
	for id, job := range rt.Table.ClaimsByMachine[machine] {
		claim := job.Claims[id.Task]
		if status, listed := w.Tasks[id]; job.Phase == jobs.Open && claim.Incarnation == w.Incarnation && (!listed || status.Attempt < claim.Attempt) {
			backlog[startClass(job)]++
		}
	}
}

// startClass returns the class that is used to pace the starts of a job's tasks.
func startClass(job *jobs.Job) recovery.StartClass {
	if job.IsService() {
		return recovery.ServiceStart
	}
	return recovery.ArrayStart
}

// admitStart takes a start from this controller's rate limit, which applies until recovery is
// over and only if operators have set one. It returns false if the start has to wait. The lock
// is held.
func (rt *RecoveryTracker) admitStart(job *jobs.Job) bool {
	class := startClass(job)
	switch {
	case rt.Progress.IsRecovered():
		return true
	case rt.Progress.Phase == recovery.Loading && class != recovery.ServiceStart && rt.Settings.Operator.RecoveryStarts > 0:
		return false // more urgent starts have not been counted yet
	}
	return rt.pacer.Admit(class, rt.Now())
}

// MustAwaitMachines reports whether decisions that require the state of all machines have to
// wait, because this controller or another member does not know its machines yet. Otherwise
// work would be preempted or moved, and machines would be added, only because free machines
// have not sent a heartbeat yet. The lock is held.
func (rt *RecoveryTracker) MustAwaitMachines() bool {
	if !rt.Settings.Operator.RecoveryHold {
		return false
	}
	if rt.Membership == nil || rt.Progress.MachinesUnaccounted() {
		return true
	}
	for _, node := range rt.Membership.Members {
		if status := rt.peers.statusOf(node); status != nil && status.Recovering {
			return true
		}
	}
	return false
}
