// This file carries out what package recovery decides: how far this controller is in
// knowing its machines, and which starts may go now.

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

// RecoveryTracker follows how far this controller is in knowing its machines after a
// start, and paces the starts of tasks meanwhile.
type RecoveryTracker struct {
	*cluster.State
	workers *WorkerManager
	peers   *PeerExchange

	Progress *recovery.Progress
	pacer    *recovery.Pacer // of the starts of tasks until recovery is over
}

func newRecoveryTracker(state *cluster.State) *RecoveryTracker {
	return &RecoveryTracker{
		State:    state,
		Progress: recovery.NewProgress(state.Now()),
		pacer:    recovery.NewPacer(float64(state.Settings.Operator.RecoveryStarts), state.Now()),
	}
}

// AdvanceRecovery takes this controller's recovery a step further. It looks at all of
// the controller's machines, and only until recovery is over. The lock is held.
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

// caughtUp reports whether the starts that recovery waits for are over: none has been
// due for a while, or they can't be sent for as long as a lease, so that no rate of
// starts would help them. The lock is held.
func (rt *RecoveryTracker) caughtUp(now time.Time) bool {
	overdue := rt.Progress.Phase == recovery.CatchingUp && now.Sub(rt.Progress.Since) > rt.Settings.WorkerLease()
	return overdue || rt.Progress.NoStartsPendingFor(now, rt.heartbeats(tuning.RecoveryQuietHeartbeats))
}

// heartbeats is how long that many heartbeat intervals are.
func (rt *RecoveryTracker) heartbeats(intervals float64) time.Duration {
	return time.Duration(intervals * float64(rt.Settings.HeartbeatInterval()))
}

// applyEvent enters an event of the recovery, and logs a change of its phase. The lock
// is held.
func (rt *RecoveryTracker) applyEvent(event recovery.Event, now time.Time) {
	before, since := rt.Progress.Phase, rt.Progress.Since
	if rt.Progress.Apply(event, now) {
		rt.Log.Info(logging.EventRecoveryPhaseChanged, logging.KeyPhase, string(rt.Progress.Phase), logging.KeyPrevious, string(before), logging.KeyDuration, now.Sub(since).Round(time.Millisecond),
			logging.KeyMachines, len(rt.Inventory.Machines), logging.KeyMissing, rt.Progress.Machines[recovery.Missing], logging.KeyStartsLeft, rt.Progress.PendingStarts.Total())
	}
}

// countMachines counts this controller's machines by what is known of them, and the
// starts that are due on those that were heard. The lock is held.
func (rt *RecoveryTracker) countMachines(now time.Time) (count recovery.MachineCounts, backlog recovery.Backlog) {
	count = recovery.MachineCounts{}
	waited := now.Sub(rt.Progress.MemberSince)
	patience := rt.heartbeats(tuning.RecoveryHeartbeats)
	for machine, record := range rt.Inventory.Machines {
		if record.Phase == inventory.Terminated || rt.ShardOwner(machine) != rt.Self.Label {
			continue
		}
		w := rt.workers.ByMachine[machine]
		heard := w != nil && !w.LastHeard.IsZero()
		count[recovery.MachineStateOf(heard, heard && w.State == worker.TokenAcknowledged, waited, patience)]++
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

// startClass is the class in which the starts of a job's tasks are paced.
func startClass(job *jobs.Job) recovery.StartClass {
	if job.Service() {
		return recovery.ServiceStart
	}
	return recovery.ArrayStart
}

// admitStart takes a start from this controller's rate of starts until its recovery is
// over, if operators have set one; false says that the start has to wait. The lock is
// held.
func (rt *RecoveryTracker) admitStart(job *jobs.Job) bool {
	class := startClass(job)
	switch {
	case rt.Progress.IsRecovered():
		return true
	case rt.Progress.Phase == recovery.Loading && class != recovery.ServiceStart && rt.Settings.Operator.RecoveryStarts > 0:
		return false // the starts that are more urgent have not been counted yet
	}
	return rt.pacer.Admit(class, rt.Now())
}

// MachinesUnknown reports whether decisions that need to know all machines have to
// wait, since this controller or another member does not know its own yet. Guards
// against work that is preempted or moved, and machines that are scaled out, only
// because free machines have not sent a heartbeat yet. The lock is held.
func (rt *RecoveryTracker) MachinesUnknown() bool {
	if !rt.Settings.Operator.RecoveryHold {
		return false
	}
	if rt.Membership == nil || rt.Progress.MachinesUnknown() {
		return true
	}
	for _, node := range rt.Membership.Nodes {
		if status := rt.peers.statusOf(node); status != nil && status.Recovering {
			return true
		}
	}
	return false
}
